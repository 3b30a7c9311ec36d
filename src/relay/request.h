/*
** request.h - the life of one request and of its attempts at engines
**
** Steps that the reducer (relay.c) and what engines answer (answer.c) share.
** All act within a step: effects go to its list. What removes a request
** leaves its memory until the next step, since effects may borrow its texts.
*/
#ifndef request_h
#define request_h

#include "placement.h"

/* {== Requests ========================================================= */

mt_relay_request_t *mt_request_add (mt_relay_t *relay, uint64_t number);
void mt_request_remove (mt_relay_t *relay, mt_relay_request_t *request);
/* Those that the last step removed. */
void mt_request_free_finished (mt_relay_t *relay);

/* One more effect of the step, of this request and its current attempt. */
mt_relay_effect_t *mt_request_effect (mt_relay_t *relay,
                                      mt_relay_effect_kind_t kind,
                                      const mt_relay_request_t *request);

/* A line of the log. */
void mt_request_note (mt_relay_t *relay, const mt_relay_request_t *request,
                      const char *outcome, const char *why);

/* Why no engine can be chosen for it: there is none, or all that are there
   rest. */
mt_relay_refusal_t mt_request_lack (const mt_relay_t *relay,
                                    const mt_relay_request_t *request);

/* Answers in place of an engine; the request is over. */
void mt_request_refuse (mt_relay_t *relay, mt_relay_request_t *request,
                        mt_relay_refusal_t why);

/* Nothing more can be done for it: refuses it, or cuts what has begun. */
void mt_request_give_up (mt_relay_t *relay, mt_relay_request_t *request,
                         mt_relay_refusal_t why);

/* What was counted as served has brought its caller nothing. */
void mt_request_take_back (mt_relay_t *relay, mt_relay_request_t *request);

/* }== */

/* {== Attempts ========================================================= */

/* Sends it to the placement's engine. */
void mt_attempt_start (mt_relay_t *relay, mt_relay_request_t *request,
                       const mt_placement_t *placement);

/* Ends the current one and its connection. */
void mt_attempt_cancel (mt_relay_t *relay, mt_relay_request_t *request);

/* True when another may follow. `ran`: the current one ran, or may have. */
bool mt_attempt_may_follow (mt_relay_t *relay,
                            const mt_relay_request_t *request, bool ran);

/* The current one is over; goes on elsewhere or gives the request up. */
void mt_attempt_failed (mt_relay_t *relay, mt_relay_request_t *request,
                        mt_relay_retry_t reason, bool ran);

/* The same where the engine's answer ended, or must end, before it was whole:
   the engine failed, and may have ended. */
void mt_attempt_lost (mt_relay_t *relay, mt_relay_request_t *request,
                      mt_relay_retry_t reason);

/* }== */

#endif
