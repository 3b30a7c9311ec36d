/*
** mtcost.c - what a request is expected to cost, from those that ended
*/
#include "mtcost.h"

#define SCALE 1024             /* of one request in its bucket */
#define FADE_AT (1024 * SCALE) /* when to halve what has been seen */
#define KNOWN (24 * SCALE)

/* Two buckets per doubling: [2^k, 1.5 * 2^k) and [1.5 * 2^k, 2^(k+1)). */
static int bucketof (int64_t cost) {
  int k = 0;
  if (cost < 1) return 0;
  while (k < MT_COST_BUCKETS / 2 - 1 && cost >> (k + 1)) k++;
  int64_t half = (int64_t)1 << k;
  return 2 * k + (cost >= half + half / 2 && half > 1);
}

static void fade (mt_costs_t *c) {
  c->total = 0;
  for (int i = 0; i < MT_COST_BUCKETS; i++) {
    c->n[i] /= 2;
    c->sum[i] /= 2;
    c->total += c->n[i];
  }
}

void mtZ_learn (mt_costs_t *c, int64_t cost) {
  int b = bucketof(cost);
  c->n[b] += SCALE;
  c->sum[b] += SCALE * cost;
  c->total += SCALE;
  if (c->total >= FADE_AT) fade(c);
}

bool mtZ_known (const mt_costs_t *c) {
  return c->total >= KNOWN;
}

int64_t mtZ_rest (const mt_costs_t *c, int64_t sofar) {
  int64_t n = 0, sum = 0;
  for (int i = MT_COST_BUCKETS - 1; i >= bucketof(sofar); i--) {
    if (c->n[i] == 0 || c->sum[i] / c->n[i] <= sofar) continue;
    n += c->n[i];
    sum += c->sum[i];
  }
  if (n == 0) return mt_max(sofar, 1); /* beyond all: as much again */
  return mt_max(sum / n - sofar, 1);
}
