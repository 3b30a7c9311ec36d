/*
** mtcost.h - what a request is expected to cost, from those that ended
**
** A request's cost is known only when it ends, and costs differ a
** hundredfold. What a running one will still cost depends on how far it has
** come: the expectation is taken over the ended ones that cost more.
*/
#ifndef mtcost_h
#define mtcost_h

#include "mtobject.h"

#define MT_COST_BUCKETS 48 /* two per doubling */

/* Costs of ended requests, in buckets; older ones fade. */
typedef struct mt_costs_t {
  int64_t n[MT_COST_BUCKETS];   /* requests, times a scale */
  int64_t sum[MT_COST_BUCKETS]; /* of their costs, times the same */
  int64_t total;
} mt_costs_t;

/* An ended request cost this much. */
void mtZ_learn (mt_costs_t *c, int64_t cost);

/* True when enough have been seen to be used. */
bool mtZ_known (const mt_costs_t *c);

/* What a request that has cost `sofar` is expected to cost beyond it. */
int64_t mtZ_rest (const mt_costs_t *c, int64_t sofar);

#endif
