/*
** response_events.h - the events in responses of engines
**
** All attempts at a stream take their events from here: first ones, retries,
** hedges, framed or not. What was forwarded cannot be taken back.
*/
#ifndef response_events_h
#define response_events_h

#include "relay.h"

/*
** Passes over what is no event. MT_EVENT_DUE, MT_EVENT_KNOWN: `event` is the
** caller's next one, or one that it has, and is to be taken;
** MT_EVENT_NOTHING: none has come yet; else the engine has sent what is no
** event of its response.
*/
mt_event_verdict_t mt_response_next_event (mt_relay_t *relay,
                                           const mt_relay_request_t *request,
                                           mt_attempt_t *attempt,
                                           mt_stream_event_t *event);
/* What is wrong with the events that have come and are not taken yet;
   MT_EVENT_NOTHING: nothing. */
mt_event_verdict_t mt_response_fault_ahead (mt_relay_t *relay,
                                            const mt_relay_request_t *request,
                                            const mt_attempt_t *attempt);
void mt_response_take_event (mt_relay_t *relay, mt_attempt_t *attempt,
                             const mt_stream_event_t *event,
                             mt_event_verdict_t verdict);

/* The second event of a stream is about to be forwarded, which shows that its
   first one was sound: counts how the stream began. */
void mt_response_note_first_id (mt_relay_t *relay,
                                const mt_relay_request_t *request);

#endif
