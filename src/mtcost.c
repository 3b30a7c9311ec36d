/*
** mtcost.c - cost estimates from the requests that have ended
*/
#include "mtcost.h"

#define SCALE 1024              /* weight of one request, halved with age */
#define HALVE_AT (1024 * SCALE) /* total at which all counts are halved */
#define ENOUGH (24 * SCALE)     /* total from which estimates are made */

/* Two buckets per doubling: [2^k, 1.5 * 2^k) and [1.5 * 2^k, 2^(k+1)). */
static int bucketof (int64_t cost) {
  int k = 0;
  if (cost < 1) return 0;
  while (k < MT_COST_BUCKETS / 2 - 1 && cost >> (k + 1)) k++;
  int64_t half = (int64_t)1 << k;
  return 2 * k + (cost >= half + half / 2 && half > 1);
}

static void halve (mt_costs_t *c) {
  c->total = 0;
  for (int i = 0; i < MT_COST_BUCKETS; i++) {
    c->n[i] /= 2;
    c->sum[i] /= 2;
    c->total += c->n[i];
  }
}

void mtZ_add (mt_costs_t *c, int64_t cost) {
  int b = bucketof(cost);
  c->n[b] += SCALE;
  c->sum[b] += SCALE * cost;
  c->total += SCALE;
  if (c->total >= HALVE_AT) halve(c);
}

bool mtZ_enough (const mt_costs_t *c) {
  return c->total >= ENOUGH;
}

int64_t mtZ_remaining (const mt_costs_t *c, int64_t sofar) {
  int64_t n = 0, sum = 0;
  for (int i = MT_COST_BUCKETS - 1; i >= bucketof(sofar); i--) {
    if (c->n[i] == 0 || c->sum[i] / c->n[i] <= sofar) continue;
    n += c->n[i];
    sum += c->sum[i];
  }
  if (n == 0) return mt_max(sofar, 1); /* no larger one: as much again */
  return mt_max(sum / n - sofar, 1);
}
