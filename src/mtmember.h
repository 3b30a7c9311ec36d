/*
** mtmember.h - membership of routers: heartbeats, incarnations, roles
**
** Inside a failure domain every router sends heartbeats to every other;
** between domains the border routers do. When the view digests of two routers
** differ, they exchange the entries that changed lately, or all. Guarantee: a
** domain that is cut off from the others still serves what it can.
*/
#ifndef mtmember_h
#define mtmember_h

#include "mtstate.h"

/* Adds this router; `boot` must exceed that of its earlier processes. */
void mtM_open (mt_state_t *S, uint64_t boot);
void mtM_close (mt_state_t *S);

/* Sends heartbeats and updates suspect and dead members; `gap` is the time
   since the last tick. */
void mtM_tick (mt_state_t *S, mt_ms_t gap);

/* Handlers of messages; `from` is the sender. */
void mtM_heartbeat (mt_state_t *S, mt_id_t from, const mt_heartbeat_t *hb);
void mtM_view (mt_state_t *S, mt_id_t from, const mt_node_t *nodes, size_t n);
void mtM_hello (mt_state_t *S, const mt_node_t *n);

/* Notes a message of any kind; `clock` is the sender's, in ms. */
void mtM_received (mt_state_t *S, mt_id_t from, uint64_t clock);

/* Announces that this router takes no more roles. */
void mtM_leave (mt_state_t *S);

/* Announces that this router has finished and ends. */
void mtM_left (mt_state_t *S);

/* The entry of a router, or NULL. */
mt_member_t *mtM_get (mt_state_t *S, mt_id_t id);
/* True for a member that may take a role: alive and not suspect. */
bool mtM_usable (const mt_member_t *m);

/*
** The router of rank `rank`, from 0, for a role in a domain, by rendezvous
** hashing over its usable members; over its leaving ones when it has no
** others, so that their queued requests are still served; else over the whole
** fleet. 0 when there is none.
*/
mt_id_t mtM_ranked (mt_state_t *S, mt_id_t domain, uint64_t role, int rank);

/* Writes the domains that have members to out[MT_DOMAINS_MAX]; returns their
   number. */
size_t mtM_domains (mt_state_t *S, mt_id_t *out);

/* Roles, for mtM_ranked. */
#define MT_ROLE_BORDER 1 /* sends heartbeats to other domains */
#define MT_ROLE_WATCH 2  /* watches the configuration in the store */
/* Scheduler of a pool's targets in the domain. */
#define MT_ROLE_POOL(pool) (((uint64_t)(pool) << 8) | 3)

#endif
