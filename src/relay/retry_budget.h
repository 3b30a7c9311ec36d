/*
** retry_budget.h - this router's part of the fleet's budget of retries
**
** The budget of the whole fleet is a part of the requests in a window and a
** fixed slack. Each router may use that part of its own requests and an even
** share of the slack, so it holds even when routers cannot hear each other.
*/
#ifndef retry_budget_h
#define retry_budget_h

#include "mtmem.h"

#define MT_RETRY_SLICES 10

typedef struct mt_retry_terms_t {
  double ratio; /* retries per request */
  mt_ms_t window;
  int slack; /* of the whole fleet, in one window */
} mt_retry_terms_t;

/* Requests and retries of one service, by slices of the window. */
typedef struct mt_retry_budget_t {
  int32_t requests[MT_RETRY_SLICES], retries[MT_RETRY_SLICES];
  uint64_t slice; /* number of the current one */
} mt_retry_budget_t;

void mt_retry_budget_request (mt_retry_budget_t *budget,
                              const mt_retry_terms_t *terms, mt_ms_t now);

/* Takes one retry; false when it would go over the budget. */
bool mt_retry_budget_take (mt_retry_budget_t *budget,
                           const mt_retry_terms_t *terms, int routers,
                           mt_ms_t now);

#endif
