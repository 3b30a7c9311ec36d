/*
** suspects.c - requests under which engines ended, and what that allows
*/
#include <stdlib.h>
#include <string.h>

#include "suspects.h"

#define PROBATION_ENDS 2
#define QUARANTINE_ENDS 3
#define QUARANTINE_ALONE 2 /* of these */
/* All routers lose an engine at about the same time; it is back later. */
#define SAME_END_MS 1000
#define QUARANTINE_MS 600000 /* the first; each further one twice as long */
#define DOUBLINGS_MOST 3
#define PROBATION_MS 1800000 /* without an end it is forgotten then */
#define NOTED_MS 600000
#define CLEARED_MS 60000 /* until all that is on its way has arrived */
#define SUSPECTS_MOST 4096
#define LOOKED_AT 64 /* for one to forget, when there are so many */
#define ANSWERS_KEPT 4096

const char *mt_suspicion_name (mt_suspicion_t state) {
  switch (state) {
    case MT_SUSPICION_NONE: return "cleared";
    case MT_SUSPICION_NOTED: return "noted";
    case MT_SUSPICION_PROBATION: return "probation";
    case MT_SUSPICION_QUARANTINE: return "quarantine";
    case MT_SUSPICIONS: break;
  }
  return "";
}

void mt_suspects_free (mt_suspects_t *t) {
  mtV_each (&t->by_digest, i) free(t->by_digest.vals[i]);
  mtV_free(&t->by_digest);
  mt_lease_table_free(&t->leases);
  mtV_free(&t->answered_at);
  free(t->answered);
}

/* {== The table ======================================================== */

mt_suspect_t *mt_suspects_get (const mt_suspects_t *t, uint64_t digest) {
  return mtV_get(&t->by_digest, digest);
}

static void forget (mt_suspects_t *t, mt_suspect_t *s) {
  mtV_del(&t->by_digest, s->digest);
  free(s);
}

static bool is_minor (const mt_suspect_t *s) {
  return s->state == MT_SUSPICION_NONE || s->state == MT_SUSPICION_NOTED;
}

/* Of some, the one that would be forgotten first; those that others know of
   stay. False when there is none. */
static bool make_room (mt_suspects_t *t) {
  mt_suspect_t *first = NULL;
  if (t->by_digest.used < SUSPECTS_MOST) return true;
  for (size_t i = 0; i < LOOKED_AT; i++) {
    size_t at = t->cursor++ % t->by_digest.cap;
    mt_suspect_t *s = t->by_digest.vals[at];
    if (t->by_digest.keys[at] == 0 || !is_minor(s)) continue;
    if (first == NULL || s->expires < first->expires) first = s;
  }
  if (first != NULL) forget(t, first);
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

static mt_suspicion_t state_of (const mt_suspect_t *s, mt_ms_t now) {
  bool over = s->state == MT_SUSPICION_QUARANTINE && now >= s->until;
  return over ? MT_SUSPICION_PROBATION : s->state;
}

mt_suspicion_t mt_suspects_state (const mt_suspects_t *t, uint64_t digest,
                                  mt_ms_t now) {
  const mt_suspect_t *s = mt_suspects_get(t, digest);
  return s != NULL ? state_of(s, now) : MT_SUSPICION_NONE;
}

mt_ms_t mt_suspects_left (const mt_suspects_t *t, uint64_t digest,
                          mt_ms_t now) {
  const mt_suspect_t *s = mt_suspects_get(t, digest);
  bool held = s != NULL && state_of(s, now) == MT_SUSPICION_QUARANTINE;
  return held ? s->until - now : 0;
}

size_t mt_suspects_count (const mt_suspects_t *t, mt_suspicion_t state,
                          mt_ms_t now) {
  size_t count = 0;
  mtV_each (&t->by_digest, i)
    count += state_of(t->by_digest.vals[i], now) == state;
  return count;
}

void mt_suspects_expire (mt_suspects_t *t, mt_ms_t now) {
  mt_lease_table_expire(&t->leases, now);
  for (size_t i = t->by_digest.cap; i-- > 0;) {
    mt_suspect_t *s = t->by_digest.vals[i];
    if (t->by_digest.keys[i] != 0 && now >= s->expires) forget(t, s);
  }
}

/* }== */

/* {== The keeper's part ================================================= */

static int count_ends (const mt_suspect_t *s) {
  return s->told + s->listed;
}

static int count_alone (const mt_suspect_t *s) {
  int count = s->told_alone;
  for (int i = 0; i < s->listed; i++) count += s->list[i].alone;
  return count;
}

static mt_ms_t quarantine_of (int alone) {
  int doublings = mt_min(mt_max(alone - QUARANTINE_ALONE, 0), DOUBLINGS_MOST);
  return (mt_ms_t)QUARANTINE_MS << doublings;
}

/* What the ends amount to. */
static void judge (mt_suspect_t *s, mt_ms_t now) {
  int ends = count_ends(s), alone = count_alone(s);
  if (ends >= QUARANTINE_ENDS && alone >= QUARANTINE_ALONE) {
    s->state = MT_SUSPICION_QUARANTINE;
    s->until = now + quarantine_of(alone);
    s->expires = s->until + PROBATION_MS;
  } else if (ends >= PROBATION_ENDS) {
    s->state = MT_SUSPICION_PROBATION;
    s->expires = now + PROBATION_MS;
  } else {
    s->state = ends > 0 ? MT_SUSPICION_NOTED : MT_SUSPICION_NONE;
    s->expires = now + (ends > 0 ? NOTED_MS : CLEARED_MS);
  }
}

/* True when this end was counted, by another router's word. */
static bool is_counted (const mt_suspect_t *s, const mt_suspect_end_t *end) {
  for (int i = 0; i < s->listed; i++) {
    const mt_suspect_end_t *known = &s->list[i];
    mt_ms_t apart = mt_max(known->at, end->at) - mt_min(known->at, end->at);
    if (known->engine == end->engine && apart < SAME_END_MS) return true;
  }
  return false;
}

/* The oldest of a full list goes on among those that are only counted. */
static void list_end (mt_suspect_t *s, const mt_suspect_end_t *end) {
  if (s->listed == MT_SUSPECT_ENDS_MAX) {
    s->told++;
    s->told_alone += s->list[0].alone;
    memmove(s->list, s->list + 1, --s->listed * sizeof *s->list);
  }
  s->list[s->listed++] = *end;
}

bool mt_suspects_ended (mt_suspects_t *t, uint64_t digest,
                        const mt_suspect_end_t *end, mt_ms_t now) {
  mt_suspect_t *s = add(t, digest);
  if (s == NULL) return false;
  bool cleared = s->state == MT_SUSPICION_NONE && s->version > 0;
  if (cleared && end->at <= s->since) return false;
  if (is_counted(s, end)) return false;
  if (count_ends(s) == 0) s->since = end->at;
  list_end(s, end);
  if (end->alone) mt_lease_table_revoke(&t->leases, digest);
  judge(s, now);
  s->version++;
  return !is_minor(s);
}

bool mt_suspects_cleared (mt_suspects_t *t, uint64_t digest, mt_ms_t at,
                          mt_ms_t now) {
  mt_suspect_t *s = mt_suspects_get(t, digest);
  int kept = 0;
  if (s == NULL || count_ends(s) == 0 || at < s->since) return false;
  bool was_minor = is_minor(s);
  for (int i = 0; i < s->listed; i++)
    if (s->list[i].at > at) s->list[kept++] = s->list[i];
  s->listed = kept;
  s->told = s->told_alone = 0;
  s->since = kept > 0 ? s->list[0].at : at;
  mt_lease_table_revoke(&t->leases, digest);
  judge(s, now);
  s->version++;
  return !was_minor;
}

mt_trial_t mt_suspects_try (mt_suspects_t *t, uint64_t digest,
                            uint64_t holder, mt_ms_t lease, mt_ms_t now) {
  mt_suspect_t *s = mt_suspects_get(t, digest);
  if (s == NULL || is_minor(s)) return MT_TRIAL_FREE;
  if (state_of(s, now) == MT_SUSPICION_QUARANTINE) return MT_TRIAL_REFUSED;
  return mt_suspects_hold(t, digest, holder, lease, now);
}

mt_trial_t mt_suspects_hold (mt_suspects_t *t, uint64_t engine,
                             uint64_t holder, mt_ms_t lease, mt_ms_t now) {
  bool held = mt_lease_table_take(&t->leases, engine, holder, lease, now);
  return held ? MT_TRIAL_GRANTED : MT_TRIAL_BUSY;
}

void mt_suspects_release (mt_suspects_t *t, uint64_t name, uint64_t holder) {
  mt_lease_table_release(&t->leases, name, holder);
}

/* }== */

/* {== What goes round =================================================== */

mt_suspect_row_t mt_suspects_row (const mt_suspect_t *s, mt_ms_t now) {
  mt_ms_t left =
      state_of(s, now) == MT_SUSPICION_QUARANTINE ? s->until - now : 0;
  return (mt_suspect_row_t){.digest = s->digest,
                            .version = s->version,
                            .state = s->state,
                            .ends = count_ends(s),
                            .alone = count_alone(s),
                            .age = now - mt_min(s->since, now),
                            .left = left,
                            .rest = s->expires - mt_min(s->expires, now)};
}

/* Of two that say the same version the graver is right: two routers may have
   taken themselves for the keeper. */
static bool is_newer (const mt_suspect_t *s, const mt_suspect_row_t *row) {
  if (row->version != s->version) return row->version > s->version;
  return row->state > s->state;
}

bool mt_suspects_take (mt_suspects_t *t, const mt_suspect_row_t *row,
                       mt_ms_t now) {
  mt_suspect_t *s = mt_suspects_get(t, row->digest);
  if (row->rest == 0 || row->state >= MT_SUSPICIONS) return false;
  if (s == NULL) s = add(t, row->digest);
  if (s == NULL || !is_newer(s, row)) return false;
  s->version = row->version;
  s->state = row->state;
  s->listed = 0;
  s->told = row->ends;
  s->told_alone = row->alone;
  s->since = now - mt_min(row->age, now);
  s->until = now + row->left;
  s->expires =
      now +
      mt_min(row->rest, (mt_ms_t)PROBATION_MS +
                            quarantine_of(DOUBLINGS_MOST + QUARANTINE_ALONE));
  return true;
}

/* One that was only noted is its keeper's alone. */
static bool goes_round (const mt_suspect_t *s) {
  return s->version > 0 && s->state != MT_SUSPICION_NOTED;
}

size_t mt_suspects_list (const mt_suspects_t *t, size_t *place,
                         mt_suspect_row_t *rows, size_t most, mt_ms_t now) {
  size_t count = 0, cap = t->by_digest.cap;
  for (size_t i = 0; i < cap && count < most; i++) {
    size_t at = (*place)++ % cap;
    const mt_suspect_t *s = t->by_digest.vals[at];
    if (t->by_digest.keys[at] == 0 || !goes_round(s)) continue;
    rows[count++] = mt_suspects_row(s, now);
  }
  return count;
}

/* }== */

/* {== Answers here ====================================================== */

void mt_suspects_note_answer (mt_suspects_t *t, uint64_t digest,
                              mt_ms_t now) {
  uintptr_t place = (uintptr_t)mtV_get(&t->answered_at, digest);
  if (place != 0) {
    t->answered[place - 1].at = now;
    return;
  }
  if (t->answered == NULL)
    t->answered = mtV_new(ANSWERS_KEPT * sizeof *t->answered);
  size_t next = t->answered_next++ % ANSWERS_KEPT;
  if (t->answered[next].digest != 0)
    mtV_del(&t->answered_at, t->answered[next].digest);
  t->answered[next] = (mt_answered_t){digest, now};
  mtV_put(&t->answered_at, digest, (void *)(uintptr_t)(next + 1));
}

mt_ms_t mt_suspects_answered (const mt_suspects_t *t, uint64_t digest) {
  uintptr_t place = (uintptr_t)mtV_get(&t->answered_at, digest);
  return place != 0 ? t->answered[place - 1].at : 0;
}

/* }== */
