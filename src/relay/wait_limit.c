/*
** wait_limit.c - how long a prompt may wait at an engine and still be in time
*/
#include <math.h>

#include "wait_limit.h"

/* Part of the limit that is left to the longest prompts. Without it they
   would go to idle engines only, and hardly ever be served under load. */
#define LEAST_FRACTION (1.0 / 3)

double mt_wait_limit_in_time (const mt_wait_case_t *r) {
  if (r->limit <= 0 || r->ttft_fraction <= 0 || r->objective <= 0)
    return r->limit;
  double left = r->objective * r->ttft_fraction - r->own;
  return fmin(r->limit, fmax(left, r->limit * LEAST_FRACTION));
}
