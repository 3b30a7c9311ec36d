/*
** mtcore.h - the reducer: one event in, effects out
**
** Clock, random numbers, sockets and the store reach it only as events, so
** the same events give the same effects, byte for byte.
*/
#ifndef mtcore_h
#define mtcore_h

#include "mtstate.h"

/* A router's state; `boot` identifies the process and only grows. */
mt_state_t *mtR_new (const mt_settings_t *set, mt_ms_t now, uint64_t boot,
                     uint64_t seed);
void mtR_free (mt_state_t *S);

/* Takes one event and appends what is to be done to `fx`. */
void mtR_step (mt_state_t *S, const mt_event_t *ev, mt_effects_t *fx);

/* Empties a list of effects and what they own. */
void mtR_clear (mt_effects_t *fx);

#endif
