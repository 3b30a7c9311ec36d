/*
** answer.h - what engines answer, passed on or replaced
*/
#ifndef answer_h
#define answer_h

#include "relay.h"

/* Events of the request's current attempt. */
void mt_answer_head (mt_relay_t *relay, mt_relay_request_t *request,
                     const mt_relay_event_t *event);
void mt_answer_data (mt_relay_t *relay, mt_relay_request_t *request,
                     mt_bytes_t data);
void mt_answer_end (mt_relay_t *relay, mt_relay_request_t *request);
void mt_answer_failed (mt_relay_t *relay, mt_relay_request_t *request,
                       bool not_sent);

#endif
