/*
** request.h - the life cycle of a request and of its attempts at engines
**
** Shared by the reducer (relay.c) and the handling of responses (response.c).
** All functions run within a step and append to its effects. A request that
** is removed is freed by the next step, since effects may borrow its texts.
*/
#ifndef request_h
#define request_h

#include "placement.h"

/* {== Requests ========================================================= */

mt_relay_request_t *mt_request_add (mt_relay_t *relay, uint64_t number);
void mt_request_remove (mt_relay_t *relay, mt_relay_request_t *request);
/* Frees the requests that the last step removed. */
void mt_request_free_finished (mt_relay_t *relay);

/* Appends an effect for this request and its current attempt. */
mt_relay_effect_t *mt_request_effect (mt_relay_t *relay,
                                      mt_relay_effect_kind_t kind,
                                      const mt_relay_request_t *request);

/* Writes a log line about the request. */
void mt_request_log (mt_relay_t *relay, const mt_relay_request_t *request,
                     const char *outcome, const char *why);

/* Why there is no engine for it: none is available, or all are in backoff. */
mt_relay_refusal_t
mt_request_no_engine_reason (const mt_relay_t *relay,
                             const mt_relay_request_t *request);

/* Sends an error response and removes the request. */
void mt_request_refuse (mt_relay_t *relay, mt_relay_request_t *request,
                        mt_relay_refusal_t why);

/* How the caller can tell that its answer was cut. */
mt_relay_cut_t mt_request_cut (const mt_relay_request_t *request);

/* Cancels the attempt and refuses the request, or aborts the response if it
   has begun. */
void mt_request_give_up (mt_relay_t *relay, mt_relay_request_t *request,
                         mt_relay_refusal_t why);

/* Takes its cost off what its workspace was served: the caller got nothing
   for it. */
void mt_request_refund (mt_relay_t *relay, mt_relay_request_t *request);

/* }== */

/* {== Attempts ========================================================= */

/* Sends it to the engine of the placement. */
void mt_attempt_start (mt_relay_t *relay, mt_relay_request_t *request,
                       const mt_placement_t *placement);

/* Sends it to another engine as well, as a hedge beside the current attempt.
   False if that may not be retried, or there is no engine, room or budget. */
bool mt_attempt_hedge (mt_relay_t *relay, mt_relay_request_t *request);

/* Sends a request of which nothing was written to its engine yet to another
   one; false, and nothing changes, if no engine or budget is left for it. */
bool mt_attempt_move_unsent (mt_relay_t *relay, mt_relay_request_t *request,
                             mt_relay_retry_t reason);

/* Exchanges the current attempt and the hedge. */
void mt_attempt_swap (mt_relay_request_t *request);

/* Bytes of it may have reached its engine from now on. */
void mt_attempt_note_written (mt_attempt_t *attempt, mt_ms_t now);

/* Copies what the head of its response states. Only the response to a request
   for a stream is read as events. */
void mt_attempt_note_head (const mt_relay_request_t *request,
                           mt_attempt_t *attempt,
                           const mt_relay_event_t *event);

/* Drops the part of a body that was buffered from an earlier attempt. */
void mt_attempt_discard_body (mt_relay_request_t *request);
/* Frees the buffer of a body that was passed on, with the next step. */
void mt_request_release_body (mt_relay_t *relay, mt_relay_request_t *request);

/* Ends the current attempt, and its hedge, and closes their connections. */
void mt_attempt_cancel (mt_relay_t *relay, mt_relay_request_t *request);

/* True if another attempt may follow. `ran`: the current one ran, or may
   have. */
bool mt_attempt_may_retry (mt_relay_t *relay,
                           const mt_relay_request_t *request, bool ran);

/* No byte of it has reached its engine, and none will. */
void mt_attempt_not_sent (mt_relay_request_t *request,
                          const mt_attempt_t *attempt);

/* The current attempt failed: retries at another engine, or gives up. */
void mt_attempt_failed (mt_relay_t *relay, mt_relay_request_t *request,
                        mt_relay_retry_t reason, bool ran);

/* The engine responds with an error: sends the request to another one. False,
   and the response stands, if there is none, or no budget. */
bool mt_attempt_retry_error (mt_relay_t *relay, mt_relay_request_t *request);

/* The further round of quotes that a request asked for after a failed connect
   is over: retries at an engine with room, or refuses the request. */
void mt_attempt_retry_quoted (mt_relay_t *relay, mt_relay_request_t *request);

/* The same as mt_attempt_failed when the response is invalid, with the name
   of its fault: bytes of it are not what the engine's run made. */
void mt_attempt_invalid (mt_relay_t *relay, mt_relay_request_t *request,
                         const char *fault);
/* Records that without ending the attempt. */
void mt_attempt_note_invalid (mt_relay_t *relay, mt_relay_request_t *request,
                              const char *fault);
/* Records an event without end, for which the attempt counts as lost. */
void mt_attempt_note_endless (mt_relay_t *relay, mt_attempt_t *attempt);

/* The same as mt_attempt_failed when the response ended early: counts as a
   failure of the engine, which may have crashed. */
void mt_attempt_lost (mt_relay_t *relay, mt_relay_request_t *request,
                      mt_relay_retry_t reason);

/* }== */

#endif
