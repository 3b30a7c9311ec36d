/*
** mtsched.h - schedulers: which workspace gets the next slot of a target
**
** For each failure domain and pool one live router decides; another holds
** the same reports. See docs/DESIGN.md, "Sharing". Promises served: bounded
** difference of service, no starvation, no idle target while work waits,
** nothing new for a leaving target.
*/
#ifndef mtsched_h
#define mtsched_h

#include "mtstate.h"

/* Takes or drops roles after a change of members or configuration. */
void mtG_roles (mt_state_t *S);

/* Messages. */
void mtG_demand (mt_state_t *S, mt_id_t from, const mt_demand_t *d,
                 uint64_t clock);
void mtG_offer (mt_state_t *S, mt_id_t from, const mt_grant_t *g);
void mtG_exchange (mt_state_t *S, mt_id_t from, const mt_exchange_t *x);

/* Expires what nobody reported and tells the other domains. */
void mtG_tick (mt_state_t *S);

/* Grants what can be granted now; called at the end of each step. */
void mtG_run (mt_state_t *S);

/* The tag that orders a workspace: fleet-wide service, weighed and shifted.
 */
mt_units_t mtG_tag (const mt_account_t *a);

mt_sched_t *mtG_get (mt_state_t *S, mt_id_t domain, mt_id_t pool);
void mtG_close (mt_state_t *S);

#endif
