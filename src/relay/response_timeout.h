/*
** response_timeout.h - when an engine has sent nothing for too long
*/
#ifndef response_timeout_h
#define response_timeout_h

#include "relay.h"

/* True if the engine has sent nothing for so long that the request should be
   retried at another. */
bool mt_response_overdue (const mt_relay_t *relay,
                          const mt_relay_request_t *request);

#endif
