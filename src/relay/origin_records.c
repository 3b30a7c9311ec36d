/*
** origin_records.c - origins of streams, recorded at the configuration source
*/
#include "origin_records.h"

/* Calls of all routers together, of each kind: a small part of the writes
   that the source takes. */
#define FLEET_CALLS_PER_S 10
#define WRITE_INTERVAL_MIN_MS 200
#define READ_INTERVAL_MIN_MS 1000
/* After a call that failed: the source may be away. */
#define RETRY_MS 1000

static mt_ms_t fleet_interval (int routers, mt_ms_t least) {
  mt_ms_t interval = (mt_ms_t)mt_max(routers, 1) * 1000 / FLEET_CALLS_PER_S;
  return mt_max(interval, least);
}

void mt_origin_records_free (mt_origin_records_t *t) {
  mt_stream_origins_free(&t->known);
}

/* {== Writes =========================================================== */

bool mt_origin_records_may_write (const mt_origin_records_t *t, mt_ms_t now) {
  return !t->writing && now >= t->next_write;
}

bool mt_origin_records_add (mt_origin_records_t *t,
                            const mt_origin_report_t *row) {
  if (t->own.count == MT_ORIGIN_RECORD_ROWS) return false;
  t->own.rows[t->own.count++] = *row;
  t->own.ttl = mt_max(t->own.ttl, row->ttl);
  return true;
}

void mt_origin_records_write_began (mt_origin_records_t *t, int routers,
                                    mt_ms_t now) {
  t->writing = t->exists = true;
  t->obsolete = false;
  t->next_write = now + fleet_interval(routers, WRITE_INTERVAL_MIN_MS);
}

void mt_origin_records_written (mt_origin_records_t *t, bool taken,
                                mt_ms_t now) {
  t->writing = false;
  if (taken) return;
  t->obsolete = true;
  t->next_write = mt_max(t->next_write, now + RETRY_MS);
}

/* }== */

/* {== Reads ============================================================ */

bool mt_origin_records_start_read (mt_origin_records_t *t, mt_ms_t since,
                                   int routers, mt_ms_t now) {
  if (t->reading_at != 0 || now < t->next_read || t->read_at > since)
    return false;
  t->reading_at = mt_max(now, (mt_ms_t)1);
  t->next_read = now + fleet_interval(routers, READ_INTERVAL_MIN_MS);
  return true;
}

void mt_origin_records_add_read (mt_origin_records_t *t,
                                 const mt_origin_report_t *row, mt_ms_t now) {
  mt_stream_origins_add(&t->known, row->key, &row->origin, 0, row->ttl, now);
  t->known_until = mt_max(t->known_until, now + row->ttl);
}

void mt_origin_records_read_ended (mt_origin_records_t *t, bool complete,
                                   mt_ms_t now) {
  if (complete) t->read_at = t->reading_at;
  t->reading_at = 0;
  if (!complete) t->next_read = now + RETRY_MS;
}

bool mt_origin_records_find (const mt_origin_records_t *t, uint64_t key,
                             mt_ms_t now, mt_stream_origin_t *origin) {
  return mt_stream_origins_find(&t->known, key, now, origin);
}

/* }== */
