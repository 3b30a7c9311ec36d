/*
** mtmember.h - who is alive: heartbeats, incarnations, roles
**
** Inside a failure domain every router sends heartbeats to every other;
** between domains a few chosen routers do. Entries spread as differences.
** Promise served: each domain serves what it can when cut off.
*/
#ifndef mtmember_h
#define mtmember_h

#include "mtstate.h"

/* Enters this router; `boot` must exceed that of its earlier processes. */
void mtM_open (mt_state_t *S, uint64_t boot);
void mtM_close (mt_state_t *S);

/* Heartbeats, suspicion, death; `gap` is the time since the last tick. */
void mtM_tick (mt_state_t *S, mt_ms_t gap);

void mtM_beat (mt_state_t *S, mt_id_t from, const mt_heartbeat_t *b);
void mtM_view (mt_state_t *S, mt_id_t from, const mt_node_t *nodes, size_t n);
void mtM_hello (mt_state_t *S, const mt_node_t *n);

/* Any message arrived from a router. */
void mtM_heard (mt_state_t *S, mt_id_t from, uint64_t clock);

/* This router stops taking roles and tells so. */
void mtM_leave (mt_state_t *S);

/* All is finished: others may take this router's place at once. */
void mtM_left (mt_state_t *S);

mt_member_t *mtM_get (mt_state_t *S, mt_id_t id);
bool mtM_usable (const mt_member_t *m);

/*
** The router of rank `rank` for a role in a domain: rendezvous hashing over
** the usable members of it; over its leaving ones when it has no others, so
** that what waits there is still served; else over the fleet.
** 0 when there is nobody.
*/
mt_id_t mtM_ranked (mt_state_t *S, mt_id_t domain, uint64_t role, int rank);

/* The failure domains that have members, into out[MT_MAX_DOMAINS]. */
size_t mtM_domains (mt_state_t *S, mt_id_t *out);

#define MT_ROLE_GATE 1
#define MT_ROLE_WATCH 2
#define MT_ROLE_POOL(pool) (((uint64_t)(pool) << 8) | 3)

#endif
