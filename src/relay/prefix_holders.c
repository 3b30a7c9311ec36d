/*
** prefix_holders.c - engines other than the home that cache a shared prefix
*/
#include <stdlib.h>

#include "prefix_holders.h"

/* Engines evict a segment about this long after its last use. */
#define HOLDER_TTL_MS 30000
#define SWEEP_INTERVAL_MS 1000 /* between searches for expired entries */
#define SEGMENTS_MAX 65536

typedef struct holder_t {
  uint64_t engine;
  mt_ms_t recorded_at;
} holder_t;

void mt_prefix_holders_free (mt_prefix_holders_t *h) {
  mtV_each (&h->by_segment, i) free(h->by_segment.vals[i]);
  mtV_free(&h->by_segment);
}

void mt_prefix_holders_set (mt_prefix_holders_t *h, uint64_t segment,
                            uint64_t engine, mt_ms_t now) {
  holder_t *holder = mtV_get(&h->by_segment, segment);
  if (holder == NULL) {
    if (segment == 0 || h->by_segment.used >= SEGMENTS_MAX) return;
    holder = mtV_new(sizeof *holder);
    mtV_put(&h->by_segment, segment, holder);
  }
  *holder = (holder_t){engine, now};
}

uint64_t mt_prefix_holders_find (const mt_prefix_holders_t *h,
                                 uint64_t segment) {
  const holder_t *holder = mtV_get(&h->by_segment, segment);
  return holder != NULL ? holder->engine : 0;
}

void mt_prefix_holders_expire (mt_prefix_holders_t *h, mt_ms_t now) {
  if (now < h->next_sweep) return;
  h->next_sweep = now + SWEEP_INTERVAL_MS;
  for (size_t i = h->by_segment.cap; i-- > 0;) {
    if (h->by_segment.keys[i] == 0) continue;
    holder_t *holder = h->by_segment.vals[i];
    if (now - holder->recorded_at < HOLDER_TTL_MS) continue;
    mtV_del(&h->by_segment, h->by_segment.keys[i]);
    free(holder);
  }
}

void mt_prefix_holders_remove_engine (mt_prefix_holders_t *h,
                                      uint64_t engine) {
  mtV_each (&h->by_segment, i) {
    holder_t *holder = h->by_segment.vals[i];
    if (holder->engine == engine) holder->engine = 0;
  }
}
