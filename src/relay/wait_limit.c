/*
** wait_limit.c - how long a prompt may wait at an engine and still be in time
*/
#include <math.h>

#include "wait_limit.h"

double mt_wait_limit_in_time (const mt_wait_case_t *r) {
  if (r->limit <= 0 || r->ttft_fraction <= 0 || r->objective <= 0)
    return r->limit;
  double left = r->objective * r->ttft_fraction - r->own;
  return fmin(r->limit, fmax(left, r->near_idle));
}
