/*
** mtqueue.h - the edge's queues: waiting requests, charges, what is reported
*/
#ifndef mtqueue_h
#define mtqueue_h

#include "mtstate.h"

/* The queue of a workspace for a pool, made when missing. */
mt_queue_t *mtQ_get (mt_state_t *S, mt_id_t ws, mt_id_t pool);

/* Puts a request in its place: larger order first, then the older. */
void mtQ_add (mt_state_t *S, mt_req_t *r);
void mtQ_remove (mt_state_t *S, mt_req_t *r);

/*
** The request to run on a target: one whose session is at home there, else
** the first. A request is passed over a bounded number of times.
*/
mt_req_t *mtQ_take (mt_state_t *S, mt_id_t ws, mt_id_t pool, mt_id_t target);

/* A request begins or stops to occupy a target. */
void mtQ_running (mt_state_t *S, mt_req_t *r, int change);

/* Charges a running request up to `cost` (pool units) in all. */
void mtQ_charge (mt_state_t *S, mt_req_t *r, int64_t cost);

/* The attempt is over: settles its charge; a whole one is learnt from. */
void mtQ_settle (mt_state_t *S, mt_req_t *r, int64_t cost, bool whole);

/* A grant was used or not; its issuer and this domain's scheduler are told.
 */
void mtQ_taken (mt_state_t *S, const mt_grant_t *g, uint8_t used);

/* Sends what changed to the schedulers concerned; called after each step. */
void mtQ_report (mt_state_t *S);

/* Sends full reports that are due. */
void mtQ_tick (mt_state_t *S);

/* Takes one retry from a budget; false when it is spent. */
bool mtQ_spend (mt_state_t *S, mt_budget_t *b);
void mtQ_earn (mt_budget_t *b);

void mtQ_close (mt_state_t *S);

#endif
