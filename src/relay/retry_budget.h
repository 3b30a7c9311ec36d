/*
** retry_budget.h - this router's part of the fleet's retry budget
**
** In any window the whole fleet may send `ratio` retries per request plus a
** fixed slack. Each router takes that ratio of its own requests and an even
** share of the slack, so routers exchange no messages about retries, and the
** ratio holds also while they cannot reach each other. The slack is shared by
** the live routers: each side of a network partition uses all of it.
*/
#ifndef retry_budget_h
#define retry_budget_h

#include "mtmem.h"

#define MT_RETRY_SLICES 10 /* of the window */

typedef struct mt_retry_params_t {
  double ratio; /* retries per request */
  mt_ms_t window;
  int slack; /* retries of the whole fleet per window */
} mt_retry_params_t;

/* Requests and retries of one service, per slice of the window. */
typedef struct mt_retry_budget_t {
  int32_t requests[MT_RETRY_SLICES], retries[MT_RETRY_SLICES];
  uint64_t slice; /* number of the current slice */
} mt_retry_budget_t;

void mt_retry_budget_request (mt_retry_budget_t *budget,
                              const mt_retry_params_t *params, mt_ms_t now);

/* Takes one retry; false if it would exceed the budget. `routers`: number of
   live routers, this one included. */
bool mt_retry_budget_take (mt_retry_budget_t *budget,
                           const mt_retry_params_t *params, int routers,
                           mt_ms_t now);

#endif
