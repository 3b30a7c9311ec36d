/*
** suspects.c - what is suspected of crashing engines, and its quarantine
*/
#include <stdlib.h>
#include <string.h>

#include "suspects.h"

#define PROBATION_ENDS 2
#define QUARANTINE_ENDS 3
#define QUARANTINE_ALONE 2 /* of these, by a copy that ran alone */
/* Reports of an engine's end that differ by less are of the same end: all
   routers lose an engine at about the same time, and it takes longer to
   restart. A copy that ran alone was lost by one router, whose repeated
   reports agree more closely. */
#define SAME_END_MS 1000
#define SAME_ALONE_MS 100
/* Ends of engines that come together within this time have one cause. */
#define OUTAGE_MS 500
#define QUARANTINE_MS 600000 /* the first; each further one twice as long */
#define DOUBLINGS_MAX 3
#define SUSPECT_TTL_MS 7200000 /* longer than any quarantine */
#define NOTED_TTL_MS 600000
#define CLEARED_TTL_MS 60000 /* late reports of ends arrive sooner */
#define SUSPECTS_MAX 4096
#define EVICTION_SAMPLE 64 /* slots searched for an entry to evict */
#define ANSWERS_MAX 4096
#define SEGMENT_SALT 0x6b8f2d94c1a7e053u

const char *mt_suspicion_name (mt_suspicion_t state) {
  switch (state) {
    case MT_SUSPICION_NONE: return "cleared";
    case MT_SUSPICION_NOTED: return "noted";
    case MT_SUSPICION_PROBATION: return "probation";
    case MT_SUSPICION_QUARANTINE: return "quarantine";
    case MT_SUSPICION_COUNT: break;
  }
  return "";
}

/* Digests of requests are odd. */
uint64_t mt_suspect_segment (uint64_t segment) {
  return (mtV_mix(segment, SEGMENT_SALT) | 3) ^ 1;
}

const char *mt_suspect_name_kind (uint64_t name) {
  return (name & 1) != 0 ? "digest" : "part";
}

void mt_suspects_free (mt_suspects_t *t) {
  mtV_each (&t->by_digest, i) free(t->by_digest.vals[i]);
  mtV_free(&t->by_digest);
  mt_lease_table_free(&t->leases);
  mtV_free(&t->answer_slots);
  free(t->answers);
}

/* {== The table ======================================================== */

mt_suspect_t *mt_suspects_get (const mt_suspects_t *t, uint64_t digest) {
  return mtV_get(&t->by_digest, digest);
}

static void remove_suspect (mt_suspects_t *t, mt_suspect_t *s) {
  mtV_del(&t->by_digest, s->digest);
  free(s);
}

static int count_ends (const mt_suspect_t *s) {
  return s->earlier + s->listed;
}

/* Too few ends to restrict the request. */
static bool is_below_threshold (const mt_suspect_t *s) {
  return count_ends(s) < PROBATION_ENDS;
}

bool mt_suspect_is_restricted (const mt_suspect_t *s) {
  return !is_below_threshold(s);
}

/* Ends of copies that ran alone, whoever else was there. */
static int count_alone (const mt_suspect_t *s) {
  int count = s->earlier_alone;
  for (int i = 0; i < s->listed; i++) count += s->list[i].alone;
  return count;
}

/* What is known of an entry, and would be lost with it. After an outage most
   entries have ends, but no trials. */
typedef enum evidence_t {
  EVIDENCE_NONE, /* at most one end */
  EVIDENCE_ENDS,
  EVIDENCE_TRIALS /* engines ended under a copy that ran alone */
} evidence_t;

static evidence_t evidence_of (const mt_suspect_t *s) {
  if (count_alone(s) > 0) return EVIDENCE_TRIALS;
  return is_below_threshold(s) ? EVIDENCE_NONE : EVIDENCE_ENDS;
}

/* True if `a` is to be evicted before `b`. */
static bool is_evicted_before (const mt_suspect_t *a, const mt_suspect_t *b) {
  if (evidence_of(a) != evidence_of(b))
    return evidence_of(a) < evidence_of(b);
  return a->expires < b->expires;
}

/* Makes room for one entry: evicts that with the least evidence, and of these
   the one that would expire first, among those of EVICTION_SAMPLE slots.
   False if there is no room and all have had trials. */
static bool make_room (mt_suspects_t *t) {
  mt_suspect_t *first = NULL;
  if (t->by_digest.used < SUSPECTS_MAX) return true;
  for (size_t i = 0; i < EVICTION_SAMPLE; i++) {
    size_t slot = t->cursor++ % t->by_digest.cap;
    mt_suspect_t *s = t->by_digest.vals[slot];
    if (t->by_digest.keys[slot] == 0 || evidence_of(s) == EVIDENCE_TRIALS)
      continue;
    if (first == NULL || is_evicted_before(s, first)) first = s;
  }
  if (first != NULL) remove_suspect(t, first);
  return first != NULL;
}

static mt_suspect_t *add (mt_suspects_t *t, uint64_t digest) {
  mt_suspect_t *s = mt_suspects_get(t, digest);
  if (s != NULL || digest == 0 || !make_room(t)) return s;
  s = mtV_new(sizeof *s);
  s->digest = digest;
  mtV_put(&t->by_digest, digest, s);
  return s;
}

/* }== */

/* {== State of a request =============================================== */

static mt_ms_t time_between (const mt_suspect_end_t *a,
                             const mt_suspect_end_t *b) {
  return mt_max(a->at, b->at) - mt_min(a->at, b->at);
}

static bool is_same_end (const mt_suspect_end_t *a,
                         const mt_suspect_end_t *b) {
  return a->engine == b->engine && time_between(a, b) < SAME_END_MS;
}

/* True if this end of the request has been counted already. */
static bool is_counted (const mt_suspect_t *s, const mt_suspect_end_t *end) {
  for (int i = 0; i < s->listed; i++) {
    const mt_suspect_end_t *known = &s->list[i];
    bool in_time = !end->alone || time_between(known, end) < SAME_ALONE_MS;
    if (in_time && is_same_end(known, end)) return true;
  }
  return false;
}

static bool has_end (const mt_suspect_t *s, const mt_suspect_end_t *end) {
  for (int i = 0; i < s->listed; i++)
    if (is_same_end(&s->list[i], end)) return true;
  return false;
}

bool mt_suspect_covers (const mt_suspect_t *s, const mt_suspect_t *other) {
  if (count_ends(other) > count_ends(s)) return false;
  for (int i = 0; i < other->listed; i++)
    if (!has_end(s, &other->list[i])) return false;
  return true;
}

/* True if the suspect has that end by another run than the end's. */
static bool has_other_run (const mt_suspect_t *s,
                           const mt_suspect_end_t *end) {
  for (int i = 0; i < s->listed; i++) {
    const mt_suspect_end_t *known = &s->list[i];
    bool same_run = known->run != 0 && known->run == end->run;
    if (is_same_end(known, end) && !same_run) return true;
  }
  return false;
}

/* True if another run of a suspect was at that engine when it ended. Names of
   the same run are no other cause: requests that have them all are refused,
   and one that has a part of them tells which it is. */
static bool is_shared (const mt_suspects_t *t, const mt_suspect_t *s,
                       const mt_suspect_end_t *end) {
  mtV_each (&t->by_digest, i) {
    const mt_suspect_t *other = t->by_digest.vals[i];
    if (other != s && !is_below_threshold(other) &&
        has_other_run(other, end) && !mt_suspect_covers(s, other))
      return true;
  }
  return false;
}

bool mt_suspect_applies_to (const mt_suspect_t *s, mt_id_t workspace) {
  for (int i = 0; i < s->listed; i++) {
    mt_id_t known = s->list[i].workspace;
    if (known == 0 || known == workspace) return true;
    if (known != s->list[0].workspace) return true;
  }
  return s->listed == 0;
}

static bool is_one_of (uint64_t name, const uint64_t *names, size_t count) {
  for (size_t i = 0; i < count; i++)
    if (names[i] == name) return true;
  return false;
}

bool mt_suspects_is_explained (const mt_suspects_t *t, const mt_suspect_t *s,
                               const uint64_t *names, size_t count) {
  mtV_each (&t->by_digest, i) {
    const mt_suspect_t *other = t->by_digest.vals[i];
    if (other == s || is_below_threshold(other)) continue;
    if (is_one_of(other->digest, names, count)) continue;
    if (mt_suspect_covers(other, s)) return true;
  }
  return false;
}

static mt_ms_t quarantine_duration (int alone) {
  int doublings = mt_min(mt_max(alone - QUARANTINE_ALONE, 0), DOUBLINGS_MAX);
  return (mt_ms_t)QUARANTINE_MS << doublings;
}

static mt_suspect_status_t status_of (const mt_suspects_t *t,
                                      const mt_suspect_t *s, mt_ms_t now) {
  mt_suspect_status_t status = {.ends = count_ends(s),
                                .alone = s->earlier_alone};
  mt_ms_t last = 0;
  for (int i = 0; i < s->listed; i++) {
    const mt_suspect_end_t *end = &s->list[i];
    if (!end->alone || is_shared(t, s, end)) continue;
    status.alone++;
    last = end->at;
  }
  mt_ms_t until = last + quarantine_duration(status.alone);
  bool quarantined = status.ends >= QUARANTINE_ENDS &&
                     status.alone >= QUARANTINE_ALONE && last > 0;
  if (quarantined && now < until) {
    status.state = MT_SUSPICION_QUARANTINE;
    status.left = until - now;
  } else if (!is_below_threshold(s)) {
    status.state = MT_SUSPICION_PROBATION;
  } else if (status.ends > 0) {
    status.state = MT_SUSPICION_NOTED;
  }
  return status;
}

mt_suspect_status_t mt_suspects_status (const mt_suspects_t *t,
                                        uint64_t digest, mt_ms_t now) {
  const mt_suspect_t *s = mt_suspects_get(t, digest);
  if (s == NULL) return (mt_suspect_status_t){.ends = 0};
  return status_of(t, s, now);
}

mt_suspicion_t mt_suspects_state (const mt_suspects_t *t, uint64_t digest,
                                  mt_ms_t now) {
  return mt_suspects_status(t, digest, now).state;
}

size_t mt_suspects_count (const mt_suspects_t *t, mt_suspicion_t state,
                          mt_ms_t now) {
  size_t count = 0;
  mtV_each (&t->by_digest, i)
    count += status_of(t, t->by_digest.vals[i], now).state == state;
  return count;
}

void mt_suspects_expire (mt_suspects_t *t, mt_ms_t now) {
  mt_lease_table_expire(&t->leases, now);
  for (size_t i = t->by_digest.cap; i-- > 0;) {
    mt_suspect_t *s = t->by_digest.vals[i];
    if (t->by_digest.keys[i] != 0 && now >= s->expires) remove_suspect(t, s);
  }
}

/* }== */

/* {== At the owner ===================================================== */

static mt_ms_t time_to_live (const mt_suspect_t *s) {
  if (count_ends(s) == 0) return CLEARED_TTL_MS;
  return is_below_threshold(s) ? NOTED_TTL_MS : SUSPECT_TTL_MS;
}

/* Appends an end. If the list is full, its oldest end is removed and from
   then on only counted. */
static void append_end (mt_suspect_t *s, const mt_suspect_end_t *end) {
  if (s->listed == MT_SUSPECT_ENDS_MAX) {
    s->earlier++;
    s->earlier_alone += s->list[0].alone;
    s->listed--;
    memmove(s->list, s->list + 1, (size_t)s->listed * sizeof *s->list);
  }
  s->list[s->listed++] = *end;
}

/* True if a known name has another end of the same outage. What ends engines
   by itself has the next one in a trial, or later. */
static bool is_of_counted_outage (const mt_suspect_t *s,
                                  const mt_suspect_end_t *end) {
  if (!s->known || end->alone) return false;
  for (int i = 0; i < s->listed; i++)
    if (time_between(&s->list[i], end) < OUTAGE_MS) return true;
  return false;
}

bool mt_suspects_add_end (mt_suspects_t *t, uint64_t digest,
                          const mt_suspect_end_t *end, bool known,
                          mt_ms_t now) {
  mt_suspect_t *s = add(t, digest);
  if (s == NULL) return false;
  bool cleared = count_ends(s) == 0 && s->version > 0;
  if (end->alone) mt_lease_table_revoke(&t->leases, digest);
  if (cleared && end->at <= s->since) return false;
  s->known = s->known || known || cleared;
  if (is_counted(s, end) || is_of_counted_outage(s, end)) return false;
  if (count_ends(s) == 0) s->since = end->at;
  append_end(s, end);
  s->version++;
  s->expires = now + time_to_live(s);
  return !is_below_threshold(s);
}

bool mt_suspects_clear (mt_suspects_t *t, uint64_t digest, mt_ms_t at,
                        mt_ms_t now) {
  mt_suspect_t *s = mt_suspects_get(t, digest);
  int kept = 0;
  if (s == NULL || count_ends(s) == 0 || at < s->since) return false;
  bool was_below = is_below_threshold(s);
  for (int i = 0; i < s->listed; i++)
    if (s->list[i].at > at) s->list[kept++] = s->list[i];
  s->listed = kept;
  s->earlier = s->earlier_alone = 0;
  s->since = kept > 0 ? s->list[0].at : at;
  mt_lease_table_revoke(&t->leases, digest);
  s->version++;
  s->expires = now + time_to_live(s);
  return !was_below;
}

mt_trial_verdict_t mt_suspects_lease (mt_suspects_t *t, uint64_t digest,
                                      mt_id_t workspace, uint64_t holder,
                                      mt_ms_t lease, mt_ms_t now) {
  mt_suspect_t *s = mt_suspects_get(t, digest);
  if (s == NULL || is_below_threshold(s)) return MT_TRIAL_FREE;
  bool refused = status_of(t, s, now).state == MT_SUSPICION_QUARANTINE &&
                 mt_suspect_applies_to(s, workspace) &&
                 !mt_suspects_is_explained(t, s, NULL, 0);
  if (refused) return MT_TRIAL_REFUSED;
  return mt_suspects_lease_engine(t, digest, holder, lease, now);
}

mt_trial_verdict_t mt_suspects_lease_engine (mt_suspects_t *t,
                                             uint64_t engine, uint64_t holder,
                                             mt_ms_t lease, mt_ms_t now) {
  bool held = mt_lease_table_take(&t->leases, engine, holder, lease, now);
  return held ? MT_TRIAL_GRANTED : MT_TRIAL_BUSY;
}

void mt_suspects_release (mt_suspects_t *t, uint64_t name, uint64_t holder) {
  mt_lease_table_release(&t->leases, name, holder);
}

/* }== */

/* {== Gossip ============================================================ */

mt_suspect_row_t mt_suspects_row (const mt_suspect_t *s, mt_ms_t now) {
  mt_suspect_row_t row = {.digest = s->digest,
                          .version = s->version,
                          .listed = s->listed,
                          .earlier = s->earlier,
                          .earlier_alone = s->earlier_alone,
                          .known = s->known,
                          .age = now - mt_min(s->since, now),
                          .expires_in = s->expires - mt_min(s->expires, now)};
  for (int i = 0; i < s->listed; i++) {
    row.list[i] = s->list[i];
    row.list[i].at = now - mt_min(s->list[i].at, now);
  }
  return row;
}

/* Of two rows of the same version the one with more ends wins: two routers
   may both have acted as the owner. */
static bool is_newer (const mt_suspect_t *s, const mt_suspect_row_t *row) {
  if (row->version != s->version) return row->version > s->version;
  return row->earlier + row->listed > count_ends(s);
}

bool mt_suspects_merge (mt_suspects_t *t, const mt_suspect_row_t *row,
                        mt_ms_t now) {
  mt_suspect_t *s = mt_suspects_get(t, row->digest);
  if (row->expires_in == 0) return false;
  if (s == NULL) s = add(t, row->digest);
  if (s == NULL || !is_newer(s, row)) return false;
  s->version = row->version;
  s->listed = mt_min(row->listed, MT_SUSPECT_ENDS_MAX);
  s->earlier = row->earlier;
  s->earlier_alone = row->earlier_alone;
  s->known = s->known || row->known;
  s->since = now - mt_min(row->age, now);
  s->expires = now + mt_min(row->expires_in, (mt_ms_t)SUSPECT_TTL_MS);
  for (int i = 0; i < s->listed; i++) {
    s->list[i] = row->list[i];
    s->list[i].at = now - mt_min(row->list[i].at, now);
  }
  return true;
}

/* A suspect with a single end is known to its owner only. */
static bool is_gossiped (const mt_suspect_t *s) {
  return s->version > 0 && count_ends(s) != 1;
}

size_t mt_suspects_list_tried (const mt_suspects_t *t, mt_suspect_row_t *rows,
                               size_t max, mt_ms_t now) {
  size_t count = 0;
  mtV_each (&t->by_digest, i) {
    const mt_suspect_t *s = t->by_digest.vals[i];
    if (count < max && is_gossiped(s) && count_alone(s) > 0)
      rows[count++] = mt_suspects_row(s, now);
  }
  return count;
}

size_t mt_suspects_list (const mt_suspects_t *t, size_t *position,
                         mt_suspect_row_t *rows, size_t max, mt_ms_t now) {
  size_t count = 0, cap = t->by_digest.cap;
  for (size_t i = 0; i < cap && count < max; i++) {
    size_t slot = (*position)++ % cap;
    const mt_suspect_t *s = t->by_digest.vals[slot];
    if (t->by_digest.keys[slot] == 0 || !is_gossiped(s)) continue;
    rows[count++] = mt_suspects_row(s, now);
  }
  return count;
}

/* }== */

/* {== Answers at this router ============================================ */

void mt_suspects_record_answer (mt_suspects_t *t, uint64_t digest,
                                mt_ms_t now) {
  uintptr_t slot = (uintptr_t)mtV_get(&t->answer_slots, digest);
  if (slot != 0) {
    t->answers[slot - 1].at = mt_max(t->answers[slot - 1].at, now);
    return;
  }
  if (t->answers == NULL)
    t->answers = mtV_new(ANSWERS_MAX * sizeof *t->answers);
  size_t next = t->answers_added++ % ANSWERS_MAX;
  if (t->answers[next].digest != 0)
    mtV_del(&t->answer_slots, t->answers[next].digest);
  t->answers[next] = (mt_suspect_answer_t){digest, now};
  mtV_put(&t->answer_slots, digest, (void *)(uintptr_t)(next + 1));
}

mt_ms_t mt_suspects_last_answer (const mt_suspects_t *t, uint64_t digest) {
  uintptr_t slot = (uintptr_t)mtV_get(&t->answer_slots, digest);
  return slot != 0 ? t->answers[slot - 1].at : 0;
}

/* }== */
