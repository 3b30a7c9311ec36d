/*
** candidates.h - which engines are asked for quotes before a request is
** placed
**
** The segments that a prompt shares with others have home engines, chosen by
** rendezvous hashing: one of the whole fleet, and one in each failure domain,
** so that requests need not leave their domain to find the segments cached. A
** request that finds no room in the local domain asks the homes in remote
** ones.
*/
#ifndef candidates_h
#define candidates_h

#include "relay.h"

/* An engine that was tried for the request has not failed it: it may be tried
   again. */
void mt_candidates_forget_try (mt_relay_request_t *request, uint64_t key);

/* True if the request may have reached the engine. */
bool mt_candidates_was_reached (const mt_relay_request_t *request,
                                uint64_t key);

/* The engine's response was invalid. A resumable request may return to it,
   but other engines go first. */
void mt_candidates_note_invalid (mt_relay_request_t *request, uint64_t key);
/* True if it may be sent once more to an engine that it has reached. */
bool mt_candidates_may_return (const mt_relay_request_t *request);
/* From now on it may be sent to engines whose responses were invalid; false
   if there is none. */
bool mt_candidates_return (mt_relay_request_t *request);

/* True if the engine is of the request's service, takes work and has not been
   tried for the request. Where as many engines as may have received it, only
   one of these is. */
bool mt_candidates_usable (const mt_relay_t *relay,
                           const mt_relay_request_t *request,
                           const mt_engine_t *engine);

/* Finds out whether engines of unreachable failure domains are all that is
   left for the request; they are usable for it then. */
void mt_candidates_check_cuts (mt_relay_t *relay,
                               mt_relay_request_t *request);

/*
** Time in ms until the first backoff of the service's engines is over; 0: one
** of them is not in backoff, or none is available.
*/
mt_ms_t mt_candidates_backoff_left (const mt_relay_t *relay,
                                    const mt_relay_request_t *request);

/* Sets the homes of the request's shared segments, among the engines known
   now, after mt_candidates_check_cuts. */
void mt_candidates_find_homes (mt_relay_t *relay,
                               mt_relay_request_t *request);

/*
** The next engine to get a quote for, or NULL: in the first round homes and
** then other engines of the local failure domain, in the second the homes in
** remote domains that may have room. Never one that is among the request's
** candidates.
*/
const mt_engine_t *mt_candidates_next (mt_relay_t *relay,
                                       const mt_relay_request_t *request);

/* The next engine of the local failure domain, or the next home in a remote
   one, for a further round of a request whose connect failed; NULL: none. */
const mt_engine_t *
mt_candidates_next_local (mt_relay_t *relay,
                          const mt_relay_request_t *request);
const mt_engine_t *
mt_candidates_next_remote (mt_relay_t *relay,
                           const mt_relay_request_t *request);

#endif
