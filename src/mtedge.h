/*
** mtedge.h - the life of a request: admission, attempts, outcome
**
** Guarantees: each caller gets one response, to its own request; an error
** says "not-run" only when no target can have run the request; a request that
** is not repeatable runs at most once; draining interrupts no response.
*/
#ifndef mtedge_h
#define mtedge_h

#include "mtstate.h"

/* Handlers of the events of requests and attempts. */
void mtE_request (mt_state_t *S, const mt_event_t *ev);
void mtE_resume (mt_state_t *S, const mt_event_t *ev);
void mtE_claimed (mt_state_t *S, const mt_event_t *ev);
void mtE_caller_left (mt_state_t *S, const mt_event_t *ev);
void mtE_failed (mt_state_t *S, const mt_event_t *ev);
void mtE_head (mt_state_t *S, const mt_event_t *ev);
void mtE_chunk (mt_state_t *S, const mt_event_t *ev);
void mtE_end (mt_state_t *S, const mt_event_t *ev);

/* Handles a grant: starts a request on its target, or declines it. */
void mtE_grant (mt_state_t *S, const mt_grant_t *g);

/* Retries and rejects what is due; stops when draining is complete. */
void mtE_tick (mt_state_t *S);

void mtE_close (mt_state_t *S);

#endif
