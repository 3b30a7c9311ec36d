/*
** load_teller.c - which loads have to be told to which owners
*/
#include <stdlib.h>

#include "load_teller.h"

#define REPEAT_MS 800 /* a load that stands is told again */

static bool is_due (const mt_engine_t *e, mt_ms_t now) {
  if (e->load_dirty) return true;
  return e->local.running > 0 && now - e->told >= REPEAT_MS;
}

static int by_owner (const void *a, const void *b) {
  uint32_t x = ((const mt_load_due_t *)a)->owner;
  uint32_t y = ((const mt_load_due_t *)b)->owner;
  return (x > y) - (x < y);
}

/* Tells the loads of one owner; returns how many rows that were. */
static size_t tell_run (const mt_load_due_t *due, size_t left,
                        const mt_load_teller_calls_t *calls) {
  mt_engine_t *engines[MT_LOADS_TOLD];
  size_t n = 0;
  while (n < left && n < MT_LOADS_TOLD && due[n].owner == due[0].owner) {
    engines[n] = due[n].engine;
    n++;
  }
  calls->tell(calls->ud, due[0].owner, engines, n);
  return n;
}

void mt_load_teller_tick (mt_load_teller_t *t, mt_engines_t *engines,
                          mt_ms_t now, const mt_load_teller_calls_t *calls) {
  t->count = 0;
  mt_engines_prune_active(engines);
  for (size_t i = 0; i < engines->active_count; i++) {
    mt_engine_t *e = engines->active[i];
    if (!is_due(e, now)) continue;
    *mtV_push(t->due, t->count, t->cap) =
        (mt_load_due_t){calls->owner(calls->ud, e), e};
  }
  if (t->count == 0) return;
  qsort(t->due, t->count, sizeof *t->due, by_owner);
  for (size_t i = 0; i < t->count;)
    i += tell_run(&t->due[i], t->count - i, calls);
}

void mt_load_teller_free (mt_load_teller_t *t) {
  free(t->due);
}
