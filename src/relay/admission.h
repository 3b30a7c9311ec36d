/*
** admission.h - which engines may be sent a request now
**
** Not those of a failure domain that is evacuated, and cold ones only with a
** place from their owner (cold_start.h).
*/
#ifndef admission_h
#define admission_h

#include "relay.h"

/* True when the request may go to the engine, as far as it was told. */
bool mt_admission_allows (const mt_relay_t *relay,
                          const mt_relay_request_t *request,
                          const mt_engine_t *engine);

/* True for an engine that takes requests only with a place. */
bool mt_admission_is_cold (const mt_relay_t *relay,
                           const mt_engine_t *engine);

/* Gives back all places that the request has been given. */
void mt_admission_give_back (mt_relay_t *relay, mt_relay_request_t *request);

/* It goes to this engine: notes whether it has a place there; gives back all
   others. */
void mt_admission_settle (mt_relay_t *relay, mt_relay_request_t *request,
                          const mt_engine_t *engine);

#endif
