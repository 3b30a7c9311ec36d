/*
** mtedge.h - the life of a request: admission, attempts, outcome
**
** Promises served: one answer to each caller, its own; "not-run" is true;
** not repeatable means at most once; a planned stop cuts nothing off.
*/
#ifndef mtedge_h
#define mtedge_h

#include "mtstate.h"

void mtE_request (mt_state_t *S, const mt_event_t *ev);
void mtE_resume (mt_state_t *S, const mt_event_t *ev);
void mtE_claimed (mt_state_t *S, const mt_event_t *ev);
void mtE_gone (mt_state_t *S, const mt_event_t *ev);
void mtE_failed (mt_state_t *S, const mt_event_t *ev);
void mtE_head (mt_state_t *S, const mt_event_t *ev);
void mtE_chunk (mt_state_t *S, const mt_event_t *ev);
void mtE_end (mt_state_t *S, const mt_event_t *ev);
void mtE_grant (mt_state_t *S, const mt_grant_t *g);
void mtE_tick (mt_state_t *S);
void mtE_close (mt_state_t *S);

#endif
