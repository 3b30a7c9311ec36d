/*
** mtsched.h - schedulers: which workspace gets the next slot of a target
**
** For each failure domain and pool one live router is the primary scheduler;
** a standby receives the same reports. See docs/DESIGN.md, "Sharing".
** Guarantees: the service of workspaces differs by a bounded amount, none
** starves, no target idles while a request that may use it waits, a draining
** target gets no new request.
*/
#ifndef mtsched_h
#define mtsched_h

#include "mtstate.h"

/* Updates the roles of this router after a change of members or
   configuration. */
void mtG_roles (mt_state_t *S);

/* Handlers of messages; `from` is the sender, `clock` its clock in ms. */
void mtG_demand (mt_state_t *S, mt_id_t from, const mt_demand_t *d,
                 uint64_t clock);
void mtG_offer (mt_state_t *S, mt_id_t from, const mt_grant_t *g);
void mtG_exchange (mt_state_t *S, mt_id_t from, const mt_exchange_t *x);

/* Expires unacknowledged grants and old demand; sends due exchanges. */
void mtG_tick (mt_state_t *S);

/* Issues every grant that is possible now; called at the end of a step. */
void mtG_run (mt_state_t *S);

/* The tag by which workspaces are served, least first: weighted service in
   all domains with estimates of running requests, plus lift, minus debt that
   is forgiven. */
mt_units_t mtG_tag (const mt_account_t *a);

/* The scheduler of a domain and pool as kept here, or NULL. */
mt_sched_t *mtG_get (mt_state_t *S, mt_id_t domain, mt_id_t pool);
void mtG_close (mt_state_t *S);

#endif
