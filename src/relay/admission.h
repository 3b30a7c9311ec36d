/*
** admission.h - whether a request may be sent to an engine now
**
** A cold engine takes a request only with a permit from its owner
** (cold_start.h); engines of an evacuated failure domain take none.
*/
#ifndef admission_h
#define admission_h

#include "relay.h"

/* True if the request may go to the engine, by its quotes. */
bool mt_admission_allows (const mt_relay_t *relay,
                          const mt_relay_request_t *request,
                          const mt_engine_t *engine);

/* True if the engine takes requests only with a permit. */
bool mt_admission_is_cold (const mt_relay_t *relay,
                           const mt_engine_t *engine);

/* Returns all unused permits of the request to their owners. */
void mt_admission_return_permits (mt_relay_t *relay,
                                  mt_relay_request_t *request);

/* The request goes to this engine: uses its permit there, if it has one, and
   returns all others. */
void mt_admission_use_permit (mt_relay_t *relay, mt_relay_request_t *request,
                              const mt_engine_t *engine);

#endif
