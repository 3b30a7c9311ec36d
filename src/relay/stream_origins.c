/*
** stream_origins.c - at which service and software version streams began
*/
#include <stdlib.h>

#include "stream_origins.h"

/* More than a router receives in the time that rows are valid at 2,000
   streams a second in a fleet of 10 routers. */
#define ROWS_MAX 32768
#define ROWS_MIN 64

uint64_t mt_stream_key (const char *id, size_t size, mt_id_t workspace) {
  return mtV_mix(mtV_hash(id, size), workspace) | 1;
}

/* {== The ring ========================================================= */

static mt_origin_row_t *row_at (const mt_stream_origins_t *t, uint64_t n) {
  return &t->ring[n & (t->cap - 1)];
}

static void drop_first (mt_stream_origins_t *t) {
  uint64_t key = row_at(t, t->first)->key;
  uintptr_t position = (uintptr_t)mtV_get(&t->positions, key);
  if (position == t->first + 1) mtV_del(&t->positions, key);
  t->first++;
}

static void drop_expired (mt_stream_origins_t *t, mt_ms_t now) {
  while (t->first < t->added && row_at(t, t->first)->expires <= now)
    drop_first(t);
}

static void grow (mt_stream_origins_t *t) {
  size_t cap = t->cap > 0 ? 2 * t->cap : ROWS_MIN;
  mt_origin_row_t *ring = mtV_new(cap * sizeof *ring);
  for (uint64_t n = t->first; n < t->added; n++)
    ring[n & (cap - 1)] = *row_at(t, n);
  free(t->ring);
  t->ring = ring;
  t->cap = cap;
}

static void make_room (mt_stream_origins_t *t, mt_ms_t now) {
  drop_expired(t, now);
  if (t->added - t->first < t->cap) return;
  if (t->cap < ROWS_MAX)
    grow(t);
  else
    drop_first(t);
}

static mt_origin_row_t *find_row (const mt_stream_origins_t *t, uint64_t key,
                                  mt_ms_t now) {
  uintptr_t position = (uintptr_t)mtV_get(&t->positions, key);
  if (position == 0) return NULL;
  mt_origin_row_t *row = row_at(t, position - 1);
  return row->expires > now ? row : NULL;
}

/* }== */

void mt_stream_origins_add (mt_stream_origins_t *t, uint64_t key,
                            const mt_stream_origin_t *origin, uint64_t engine,
                            mt_ms_t ttl, mt_ms_t now) {
  mt_origin_row_t *known = find_row(t, key, now);
  mt_origin_row_t row = {.key = key,
                         .origin = *origin,
                         .engine = engine,
                         .added = now,
                         .expires = now + ttl};
  if (known != NULL) {
    bool same = known->origin.service == origin->service &&
                known->origin.version == origin->version;
    if (!same) row.origin.version = 0;
    row.expires = mt_max(row.expires, known->expires);
  }
  make_room(t, now);
  *row_at(t, t->added) = row;
  mtV_put(&t->positions, key, (void *)(uintptr_t)(t->added + 1));
  t->added++;
}

void mt_stream_origins_doubt (
    mt_stream_origins_t *t, uint64_t engine, mt_ms_t period, mt_ms_t now,
    void (*changed)(void *ud, const mt_origin_row_t *row), void *ud) {
  for (uint64_t n = t->added; n > t->first; n--) {
    mt_origin_row_t *row = row_at(t, n - 1);
    if (row->added + period < now) return;
    if (row->engine != engine || row->expires <= now) continue;
    row->origin.version = 0;
    changed(ud, row);
  }
}

bool mt_stream_origins_find (const mt_stream_origins_t *t, uint64_t key,
                             mt_ms_t now, mt_stream_origin_t *origin) {
  const mt_origin_row_t *row = find_row(t, key, now);
  if (row == NULL) return false;
  *origin = row->origin;
  return true;
}

size_t mt_stream_origins_count (const mt_stream_origins_t *t) {
  return (size_t)(t->added - t->first);
}

void mt_stream_origins_free (mt_stream_origins_t *t) {
  free(t->ring);
  mtV_free(&t->positions);
}

/* {== Versions of a service ============================================= */

void mt_service_versions_listed (mt_service_versions_t *v, mt_id_t version,
                                 mt_ms_t now) {
  size_t at = 0, oldest = 0;
  while (at < v->count && v->list[at].version != version) at++;
  if (at == MT_SERVICE_VERSIONS_MAX) {
    for (size_t i = 1; i < v->count; i++)
      if (v->list[i].listed_at < v->list[oldest].listed_at) oldest = i;
    at = oldest;
  }
  if (at == v->count) v->count++;
  if (v->list[at].version != version) {
    v->list[at].ready = v->list[at].leaving = 0;
    v->list[at].first_ids = (mt_first_ids_t){{0}};
  }
  v->list[at].version = version;
  v->list[at].listed_at = now;
}

mt_first_ids_t *mt_service_versions_first_ids (mt_service_versions_t *v,
                                               mt_id_t version) {
  for (size_t i = 0; i < v->count; i++)
    if (v->list[i].version == version) return &v->list[i].first_ids;
  return NULL;
}

void mt_service_versions_begin_count (mt_service_versions_t *v) {
  for (size_t i = 0; i < v->count; i++)
    v->list[i].ready = v->list[i].leaving = 0;
}

void mt_service_versions_count_engine (mt_service_versions_t *v,
                                       mt_id_t version, bool ready) {
  for (size_t i = 0; i < v->count; i++) {
    if (v->list[i].version != version) continue;
    v->list[i].ready += ready;
    v->list[i].leaving += !ready;
  }
}

double mt_service_versions_leaving (const mt_service_versions_t *v,
                                    mt_id_t version) {
  int ready = 0, leaving = 0;
  bool others = false;
  for (size_t i = 0; i < v->count; i++) {
    if (v->list[i].version == version) {
      ready = v->list[i].ready;
      leaving = v->list[i].leaving;
    } else if (v->list[i].ready > 0) {
      others = true;
    }
  }
  return others && leaving > 0 ? (double)leaving / (ready + leaving) : 0;
}

int mt_service_versions_count (const mt_service_versions_t *v, mt_ms_t period,
                               mt_ms_t now, mt_id_t *last) {
  int count = 0;
  *last = 0;
  for (size_t i = 0; i < v->count; i++) {
    if (v->list[i].listed_at + period <= now) continue;
    *last = v->list[i].version;
    count++;
  }
  return count;
}

/* }== */
