/*
** mtcore.h - the reducer: one event in, effects out
**
** Time, network and store reach it only as events, and its random numbers
** come from a seed, so the same events give the same effects, byte for byte.
*/
#ifndef mtcore_h
#define mtcore_h

#include "mtstate.h"

/* Creates a router's state; `boot` identifies the process and must exceed
   that of its earlier ones, `seed` is for random numbers. */
mt_state_t *mtR_new (const mt_settings_t *set, mt_ms_t now, uint64_t boot,
                     uint64_t seed);
void mtR_free (mt_state_t *S);

/* Handles one event and appends the resulting effects to `fx`. */
void mtR_step (mt_state_t *S, const mt_event_t *ev, mt_effects_t *fx);

/* Empties a list of effects and frees what they own, but not `fx->at`. */
void mtR_clear (mt_effects_t *fx);

#endif
