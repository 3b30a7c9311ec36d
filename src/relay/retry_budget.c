/*
** retry_budget.c - this router's part of the fleet's retry budget
*/
#include <string.h>

#include "retry_budget.h"

/* Fraction of the budget that is used: the budget has to hold in every
   window, also in those that do not begin with a slice. */
#define SAFETY_FRACTION 0.75

/* Advances to the current slice and clears those in between. */
static void advance (mt_retry_budget_t *b, const mt_retry_params_t *params,
                     mt_ms_t now) {
  uint64_t slice = now / mt_max(params->window / MT_RETRY_SLICES, 1);
  if (slice - b->slice >= MT_RETRY_SLICES) {
    memset(b, 0, sizeof *b);
    b->slice = slice;
  }
  while (b->slice < slice) {
    b->slice++;
    b->requests[b->slice % MT_RETRY_SLICES] = 0;
    b->retries[b->slice % MT_RETRY_SLICES] = 0;
  }
}

static int sum (const int32_t *slices) {
  int total = 0;
  for (int i = 0; i < MT_RETRY_SLICES; i++) total += slices[i];
  return total;
}

void mt_retry_budget_request (mt_retry_budget_t *b,
                              const mt_retry_params_t *params, mt_ms_t now) {
  advance(b, params, now);
  b->requests[b->slice % MT_RETRY_SLICES]++;
}

bool mt_retry_budget_take (mt_retry_budget_t *b,
                           const mt_retry_params_t *params, int routers,
                           mt_ms_t now) {
  advance(b, params, now);
  double own = params->ratio * SAFETY_FRACTION * sum(b->requests);
  double slack = (double)params->slack * SAFETY_FRACTION / mt_max(routers, 1);
  if (sum(b->retries) + 1 > own + slack) return false;
  b->retries[b->slice % MT_RETRY_SLICES]++;
  return true;
}
