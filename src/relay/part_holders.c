/*
** part_holders.c - where shared parts of prompts were read away from home
*/
#include <stdlib.h>

#include "part_holders.h"

#define KEPT_MS 30000 /* engines drop what was not used for about as long */
#define SWEEP_MS 1000 /* between looks for what is that old */
#define PARTS_MOST 65536

typedef struct holder_t {
  uint64_t engine;
  mt_ms_t noted;
} holder_t;

void mt_part_holders_free (mt_part_holders_t *h) {
  mtV_each (&h->by_part, i) free(h->by_part.vals[i]);
  mtV_free(&h->by_part);
}

void mt_part_holders_note (mt_part_holders_t *h, uint64_t part,
                           uint64_t engine, mt_ms_t now) {
  holder_t *holder = mtV_get(&h->by_part, part);
  if (holder == NULL) {
    if (part == 0 || h->by_part.used >= PARTS_MOST) return;
    holder = mtV_new(sizeof *holder);
    mtV_put(&h->by_part, part, holder);
  }
  *holder = (holder_t){engine, now};
}

uint64_t mt_part_holders_find (const mt_part_holders_t *h, uint64_t part) {
  const holder_t *holder = mtV_get(&h->by_part, part);
  return holder != NULL ? holder->engine : 0;
}

void mt_part_holders_expire (mt_part_holders_t *h, mt_ms_t now) {
  if (now < h->next_sweep) return;
  h->next_sweep = now + SWEEP_MS;
  for (size_t i = h->by_part.cap; i-- > 0;) {
    if (h->by_part.keys[i] == 0) continue;
    holder_t *holder = h->by_part.vals[i];
    if (now - holder->noted < KEPT_MS) continue;
    mtV_del(&h->by_part, h->by_part.keys[i]);
    free(holder);
  }
}

void mt_part_holders_forget (mt_part_holders_t *h, uint64_t engine) {
  mtV_each (&h->by_part, i) {
    holder_t *holder = h->by_part.vals[i];
    if (holder->engine == engine) holder->engine = 0;
  }
}
