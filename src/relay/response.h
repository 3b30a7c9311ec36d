/*
** response.h - forwards or discards the responses of engines
*/
#ifndef response_h
#define response_h

#include "relay.h"

/* Events of the request's current attempt: response head, body bytes
   (`delayed`: they may have come earlier), end of the response, and failure
   of the connection (`not_sent`: no byte reached the engine; `refused`: as no
   process listens on the port). */
void mt_response_head (mt_relay_t *relay, mt_relay_request_t *request,
                       const mt_relay_event_t *event);
void mt_response_data (mt_relay_t *relay, mt_relay_request_t *request,
                       mt_bytes_t data, bool delayed);
/* What is wrong with the head of the attempt's response; MT_HEAD_FAULTS:
   nothing. */
mt_head_fault_t mt_response_head_fault (const mt_relay_request_t *request,
                                        const mt_attempt_t *attempt,
                                        const mt_relay_event_t *event);
/* True if the response of the current attempt has ended with its connection
   and can't be taken for complete: the engine may have crashed. */
bool mt_response_is_truncated (const mt_relay_request_t *request);
/* What is wrong with a stream that its engine has ended; MT_EVENT_NOTHING: it
   is complete. */
mt_event_verdict_t mt_response_end_fault (const mt_relay_t *relay,
                                          const mt_relay_request_t *request);
void mt_response_end (mt_relay_t *relay, mt_relay_request_t *request);
/* The engine has accepted the request: its response has begun. */
void mt_response_accepted (mt_relay_t *relay, mt_relay_request_t *request);
/* A connect to an engine failed. Requests whose connects to the same failure
   domain are in progress may be retried elsewhere. */
void mt_response_connect_failed (mt_relay_t *relay, mt_engine_t *engine,
                                 bool refused);
void mt_response_failed (mt_relay_t *relay, mt_relay_request_t *request,
                         bool not_sent, bool refused);

#endif
