/*
** retry_budget.c - this router's part of the fleet's budget of retries
*/
#include <string.h>

#include "retry_budget.h"

#define SAFE_PART 0.75 /* of the ratio: windows of others lie otherwise */

/* Moves on to the current slice and empties those passed by. */
static void advance (mt_retry_budget_t *b, const mt_retry_terms_t *terms,
                     mt_ms_t now) {
  uint64_t slice = now / mt_max(terms->window / MT_RETRY_SLICES, 1);
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
                              const mt_retry_terms_t *terms, mt_ms_t now) {
  advance(b, terms, now);
  b->requests[b->slice % MT_RETRY_SLICES]++;
}

bool mt_retry_budget_take (mt_retry_budget_t *b,
                           const mt_retry_terms_t *terms, int routers,
                           mt_ms_t now) {
  advance(b, terms, now);
  double own = terms->ratio * SAFE_PART * sum(b->requests);
  double slack = (double)terms->slack * SAFE_PART / mt_max(routers, 1);
  if (sum(b->retries) + 1 > own + slack) return false;
  b->retries[b->slice % MT_RETRY_SLICES]++;
  return true;
}
