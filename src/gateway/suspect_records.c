/*
** suspect_records.c - which quarantines are recorded at the configuration
** source
*/
#include "suspect_records.h"

#define INTERVAL_MS 200 /* between searches, and so between writes */
#define RECORDS_MAX 64  /* further quarantines are not recorded */

void mt_suspect_records_free (mt_suspect_records_t *t) {
  mtV_free(&t->kept);
}

static void keep (mt_suspect_records_t *t, uint64_t name, mt_ms_t now) {
  mt_ms_t until = now + MT_SUSPECT_RECORD_TTL_MS;
  mtV_put(&t->kept, name, (void *)(uintptr_t)until);
}

static void drop_expired (mt_suspect_records_t *t, mt_ms_t now) {
  for (size_t i = t->kept.cap; i-- > 0;)
    if (t->kept.keys[i] != 0 && now >= (uintptr_t)t->kept.vals[i])
      mtV_del(&t->kept, t->kept.keys[i]);
}

static bool is_quarantined (const mt_suspects_t *suspects, uint64_t name,
                            mt_ms_t now) {
  return mt_suspects_state(suspects, name, now) == MT_SUSPICION_QUARANTINE;
}

/* A record of a name that is no longer in quarantine; 0: none. */
static uint64_t find_obsolete (const mt_suspect_records_t *t,
                               const mt_suspects_t *suspects,
                               mt_suspect_owns_t owns, void *ud,
                               mt_ms_t now) {
  mtV_each (&t->kept, i) {
    uint64_t name = t->kept.keys[i];
    if (!is_quarantined(suspects, name, now) && owns(ud, name)) return name;
  }
  return 0;
}

/* A name in quarantine without a record; NULL: none. */
static const mt_suspect_t *find_missing (const mt_suspect_records_t *t,
                                         const mt_suspects_t *suspects,
                                         mt_suspect_owns_t owns, void *ud,
                                         mt_ms_t now) {
  if (t->kept.used >= RECORDS_MAX) return NULL;
  mtV_each (&suspects->by_digest, i) {
    const mt_suspect_t *s = suspects->by_digest.vals[i];
    if (!mt_suspect_is_restricted(s) || mtV_get(&t->kept, s->digest) != NULL)
      continue;
    if (is_quarantined(suspects, s->digest, now) && owns(ud, s->digest))
      return s;
  }
  return NULL;
}

mt_suspect_record_t mt_suspect_records_next (mt_suspect_records_t *t,
                                             const mt_suspects_t *suspects,
                                             mt_suspect_owns_t owns, void *ud,
                                             mt_ms_t now) {
  mt_suspect_record_t record = {.write = MT_RECORD_NOTHING};
  if (now < t->next) return record;
  t->next = now + INTERVAL_MS;
  drop_expired(t, now);
  uint64_t obsolete = find_obsolete(t, suspects, owns, ud, now);
  const mt_suspect_t *missing = find_missing(t, suspects, owns, ud, now);
  if (missing != NULL) {
    record.write = MT_RECORD_PUT;
    record.row = mt_suspects_row(missing, now);
  } else if (obsolete != 0) {
    record.write = MT_RECORD_DELETE;
    record.row.digest = obsolete;
  }
  return record;
}

void mt_suspect_records_written (mt_suspect_records_t *t,
                                 const mt_suspect_record_t *record,
                                 mt_ms_t now) {
  switch (record->write) {
    case MT_RECORD_PUT: keep(t, record->row.digest, now); break;
    case MT_RECORD_DELETE: mtV_del(&t->kept, record->row.digest); break;
    case MT_RECORD_NOTHING: break;
  }
}

void mt_suspect_records_read (mt_suspect_records_t *t, uint64_t name,
                              mt_ms_t now) {
  keep(t, name, now);
}
