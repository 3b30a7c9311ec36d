/*
** load_reporter.c - reports this router's loads to the owners of the engines
*/
#include <stdlib.h>

#include "load_reporter.h"

#define REPORT_INTERVAL_MS 800 /* of a load that does not change */

static bool is_due (const mt_engine_t *e, mt_ms_t now) {
  if (e->load_dirty) return true;
  return e->local.running > 0 && now - e->reported_at >= REPORT_INTERVAL_MS;
}

static int compare_owners (const void *a, const void *b) {
  uint32_t x = ((const mt_load_due_t *)a)->owner;
  uint32_t y = ((const mt_load_due_t *)b)->owner;
  return (x > y) - (x < y);
}

/* Reports the first rows that have the same owner; returns their number. */
static size_t report_owner (const mt_load_due_t *due, size_t left,
                            const mt_load_reporter_callbacks_t *callbacks) {
  mt_engine_t *engines[MT_LOAD_REPORT_MAX];
  size_t n = 0;
  while (n < left && n < MT_LOAD_REPORT_MAX && due[n].owner == due[0].owner) {
    engines[n] = due[n].engine;
    n++;
  }
  callbacks->report(callbacks->ud, due[0].owner, engines, n);
  return n;
}

void mt_load_reporter_tick (mt_load_reporter_t *r, mt_engines_t *engines,
                            mt_ms_t now,
                            const mt_load_reporter_callbacks_t *callbacks) {
  r->count = 0;
  mt_engines_prune_active(engines);
  for (size_t i = 0; i < engines->active_count; i++) {
    mt_engine_t *e = engines->active[i];
    if (!is_due(e, now)) continue;
    *mtV_push(r->due, r->count, r->cap) =
        (mt_load_due_t){callbacks->owner(callbacks->ud, e), e};
  }
  if (r->count == 0) return;
  qsort(r->due, r->count, sizeof *r->due, compare_owners);
  for (size_t i = 0; i < r->count;)
    i += report_owner(&r->due[i], r->count - i, callbacks);
}

void mt_load_reporter_free (mt_load_reporter_t *r) {
  free(r->due);
}
