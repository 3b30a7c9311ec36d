/*
** hedge.h - a second attempt beside one whose engine is silent
**
** An engine may send nothing for a second and go on, so silence alone does
** not end an attempt. When it has lasted too long a second engine gets the
** request as well, if there is one with room and the retry budget has a
** permit. The first of the two to send an event, or a byte of a body that has
** none, keeps the request.
*/
#ifndef hedge_h
#define hedge_h

#include "relay.h"

/* Starts a hedge if the engine of the current attempt is silent for too long,
   and ends the overlap of the two in time; called at each tick. */
void mt_hedge_check (mt_relay_t *relay, mt_relay_request_t *request);

/* Handles an event of the hedge. False if it is of the current attempt, which
   the hedge may have become by it. */
bool mt_hedge_on_event (mt_relay_t *relay, mt_relay_request_t *request,
                        const mt_relay_event_t *event);

/* Cancels the hedge, if there is one. */
void mt_hedge_cancel (mt_relay_t *relay, mt_relay_request_t *request);

/* Its engine has ended. */
void mt_hedge_engine_ended (mt_relay_t *relay, mt_relay_request_t *request);

/* The current attempt is over: the hedge becomes the current one. False if
   there is none. */
bool mt_hedge_take_over (mt_relay_t *relay, mt_relay_request_t *request);

/* Takes the hedge off the load of its engine and frees it. */
void mt_hedge_remove (mt_relay_t *relay, mt_relay_request_t *request);

#endif
