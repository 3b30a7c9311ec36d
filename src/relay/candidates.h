/*
** candidates.h - which engines a request asks about before it is placed
**
** A part that many prompts share gathers at homes: one engine that all
** routers agree on, and one in each failure domain, so that requests need not
** leave their domain for it. Requests that find no room in theirs ask for the
** homes in others.
*/
#ifndef candidates_h
#define candidates_h

#include "relay.h"

/* True when the request may be sent to the engine. */
bool mt_candidates_usable (const mt_relay_t *relay,
                           const mt_relay_request_t *request,
                           const mt_engine_t *engine);

/*
** How long until one of the service's engines under backoff may take work; 0:
*one
** does now, or none will.
*/
mt_ms_t mt_candidates_backoff_left (const mt_relay_t *relay,
                                    const mt_relay_request_t *request);

/* Finds the homes of the request's shared parts, among engines as they are.
 */
void mt_candidates_find_homes (mt_relay_t *relay,
                               mt_relay_request_t *request);

/*
** The next engine whose owner should be asked for the request, or NULL: in
** the first round homes and others of the own failure domain, in the second
** homes in other domains that may have room. None is named twice.
*/
const mt_engine_t *mt_candidates_next (mt_relay_t *relay,
                                       const mt_relay_request_t *request);

#endif
