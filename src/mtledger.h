/*
** mtledger.h - service accounts of one scheduler: reports, exchanges, tags
**
** Totals of service never decrease and are merged by maximum; reports carry
** absolute values, so a repeated or late one does no harm. A workspace's tag
** is served + pending + lift - forgiven: `lift` raises the tag of one that
** was idle to the virtual time, `forgiven` lowers that of one too far ahead.
** See docs/DESIGN.md, "Accounts".
*/
#ifndef mtledger_h
#define mtledger_h

#include "mtstate.h"

/* Results of a grant. */
#define MT_GRANT_UNUSED 0 /* nothing waited, or the grant was stale */
#define MT_GRANT_USED 1
#define MT_GRANT_UNREACHABLE 2 /* target unknown, draining or in backoff */

/* Merges a router's demand report; an outdated one is ignored. */
void mtS_report (mt_state_t *S, mt_sched_t *G, mt_id_t from,
                 const mt_demand_t *d, uint64_t clock);

/* Marks the routers that have left or died and drops their demand. */
void mtS_mark_dead (mt_state_t *S, mt_sched_t *G);

/* Merges an exchange from another domain's scheduler. */
void mtS_merge (mt_state_t *S, mt_sched_t *G, mt_id_t from,
                const mt_exchange_t *x);

/* A router, or with edge 0 a domain, did not use a grant: drops the requests
   of this workspace that were reported as waiting there. */
void mtS_clear_waiting (mt_sched_t *G, mt_id_t edge, mt_id_t domain,
                        mt_id_t ws);

/* Sends the accounts that changed, or all of them, to the other domains. */
void mtS_send_exchange (mt_state_t *S, mt_sched_t *G, bool full);

/* Sets `urgent` when a workspace has waiting requests without a grant, at
   least twice as many as the last exchange had. */
void mtS_check_urgent (mt_state_t *S, mt_sched_t *G);

/*
** Updates the virtual time, lifts and forgiven debt. A workspace that was
** idle gets no credit for it; one far ahead is forgiven down to the limit.
*/
void mtS_update_tags (mt_state_t *S, mt_sched_t *G);

/* After a takeover: adds the service that only other domains know of. */
void mtS_restore (mt_state_t *S, mt_sched_t *G);

/* Drops the demand of domains that sent nothing for MT_EXCHANGE_TTL_MS. */
void mtS_expire (mt_state_t *S, mt_sched_t *G);

/* The account of a workspace, created when missing. */
mt_account_t *mtS_account (mt_sched_t *G, mt_id_t ws);
void mtS_close (mt_sched_t *G);

#endif
