/*
** mtqueue.h - a router's request queues: order, charges, demand reports
*/
#ifndef mtqueue_h
#define mtqueue_h

#include "mtstate.h"

/* The queue of a workspace for a pool, created when missing. */
mt_queue_t *mtQ_get (mt_state_t *S, mt_id_t ws, mt_id_t pool);

/* Queues a request: larger `order` first, then the earlier arrival. */
void mtQ_add (mt_state_t *S, mt_req_t *r);
void mtQ_remove (mt_state_t *S, mt_req_t *r);

/*
** Removes and returns the request to run on a target: the one among the first
** MT_AFFINITY_WINDOW that suits it best by session affinity, else the first;
** NULL when none may use it. A request is passed over a bounded number of
** times.
*/
mt_req_t *mtQ_take (mt_state_t *S, mt_id_t ws, mt_id_t pool, mt_id_t target);

/* Adds `change` (1 or -1) to the running requests of its target. */
void mtQ_adjust_running (mt_state_t *S, mt_req_t *r, int change);

/* Charges a running request so that its total is `cost`, in the pool's unit
   of cost; a smaller total than before is ignored. */
void mtQ_charge (mt_state_t *S, mt_req_t *r, int64_t cost);

/* Sets the final charge of an attempt; with `complete`, its cost enters the
   estimates. */
void mtQ_settle (mt_state_t *S, mt_req_t *r, int64_t cost, bool complete);

/* Adds the result of a grant (MT_GRANT_USED etc.) to the next reports to its
   issuer and to this domain's scheduler. */
void mtQ_grant_result (mt_state_t *S, const mt_grant_t *g, uint8_t used);

/* Sends the changes that cannot wait for a batch; called after each step. */
void mtQ_report (mt_state_t *S);

/* Sends the batches and full reports that are due. */
void mtQ_tick (mt_state_t *S);

/* Takes one retry from a budget; false when it is spent. */
bool mtQ_spend (mt_state_t *S, mt_retrybudget_t *b);
/* Adds the retries that one request allows to a budget. */
void mtQ_earn (mt_retrybudget_t *b);

void mtQ_close (mt_state_t *S);

#endif
