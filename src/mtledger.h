/*
** mtledger.h - the accounts of one scheduler: service, debts, what others
** told
**
** Served totals only grow and are merged by maximum; reports are absolute,
** so a repeated or late one does no harm. A workspace's tag is served +
** pending + lift - forgiven; see docs/DESIGN.md, "Accounts".
*/
#ifndef mtledger_h
#define mtledger_h

#include "mtstate.h"

#define MT_TAKEN_UNUSED 0
#define MT_TAKEN_USED 1
#define MT_TAKEN_UNREACHABLE 2 /* the target could not be reached */

/* Takes in a router's report. */
void mtS_report (mt_state_t *S, mt_sched_t *G, mt_id_t from,
                 const mt_demand_t *d, uint64_t clock);

/* Marks the views of routers that are gone, and revives returned ones. */
void mtS_routers (mt_state_t *S, mt_sched_t *G);

/* Takes in what another domain's scheduler told. */
void mtS_learn (mt_state_t *S, mt_sched_t *G, mt_id_t from,
                const mt_exchange_t *x);

/* A router, or else a domain, declined: nothing of this workspace waits
 * there. */
void mtS_nothingthere (mt_sched_t *G, mt_id_t edge, mt_id_t domain,
                       mt_id_t ws);

/* Tells the other domains what changed, or everything. */
void mtS_tell (mt_state_t *S, mt_sched_t *G, bool full);

/* Notes that the other domains should hear of waiting work at once. */
void mtS_urgent (mt_state_t *S, mt_sched_t *G);

/*
** Brings lifts, debts and the scheduler's least tag up to date. One that was
** idle brings no credit; one far ahead is forgiven down to the limit.
*/
void mtS_settle (mt_state_t *S, mt_sched_t *G);

/* After a takeover: adds what only other domains still remember. */
void mtS_restore (mt_state_t *S, mt_sched_t *G);

/* Drops what other domains have not repeated in time. */
void mtS_expire (mt_state_t *S, mt_sched_t *G);

mt_account_t *mtS_account (mt_sched_t *G, mt_id_t ws);
void mtS_close (mt_sched_t *G);

#endif
