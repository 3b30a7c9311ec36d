/*
** early_drains.c - drain notices that arrive before their engine is listed
*/
#include "early_drains.h"

static mt_early_drain_t *find (mt_early_drains_t *l, uint64_t engine) {
  for (size_t i = 0; i < l->count; i++)
    if (l->list[i].engine == engine) return &l->list[i];
  return NULL;
}

static mt_early_drain_t *oldest (mt_early_drains_t *l) {
  mt_early_drain_t *found = &l->list[0];
  for (size_t i = 1; i < l->count; i++)
    if (l->list[i].drain.since < found->drain.since) found = &l->list[i];
  return found;
}

static bool is_newer (const mt_engine_drain_t *a,
                      const mt_engine_drain_t *b) {
  if (a->started_at != b->started_at) return a->started_at > b->started_at;
  return a->since > b->since;
}

void mt_early_drains_add (mt_early_drains_t *l, uint64_t engine,
                          const mt_engine_drain_t *drain) {
  mt_early_drain_t *known = find(l, engine);
  if (known != NULL && !is_newer(drain, &known->drain)) return;
  if (known == NULL)
    known = l->count < MT_EARLY_DRAINS_MAX ? &l->list[l->count++] : oldest(l);
  *known = (mt_early_drain_t){engine, *drain};
}

bool mt_early_drains_take (mt_early_drains_t *l, uint64_t engine,
                           mt_engine_drain_t *drain) {
  mt_early_drain_t *known = find(l, engine);
  if (known == NULL) return false;
  *drain = known->drain;
  *known = l->list[--l->count];
  return true;
}
