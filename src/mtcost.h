/*
** mtcost.h - cost estimates from the requests that have ended
**
** The cost of a request is known only when it ends, and costs differ a
** hundredfold. What a running request will still cost is therefore estimated
** from the ended requests that cost more than it has cost so far.
*/
#ifndef mtcost_h
#define mtcost_h

#include "mtobject.h"

#define MT_COST_BUCKETS 48 /* two per doubling */

/* Histogram of the costs of ended requests; older ones weigh less. */
typedef struct mt_costs_t {
  int64_t n[MT_COST_BUCKETS];   /* requests, times 1024 */
  int64_t sum[MT_COST_BUCKETS]; /* of their costs, times 1024 */
  int64_t total;                /* of `n` */
} mt_costs_t;

/* Adds the cost of an ended request. */
void mtZ_add (mt_costs_t *c, int64_t cost);

/* True when enough requests have ended for an estimate. */
bool mtZ_enough (const mt_costs_t *c);

/* Estimate of what a request that has cost `sofar` costs beyond it, at
   least 1. */
int64_t mtZ_remaining (const mt_costs_t *c, int64_t sofar);

#endif
