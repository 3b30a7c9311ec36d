/*
** response_timeout.h - when an engine has sent nothing for too long
*/
#ifndef response_timeout_h
#define response_timeout_h

#include "relay.h"

/* True if the engine has sent nothing, or next to nothing, for so long that
   the request should be sent to another as well. */
bool mt_response_overdue (const mt_relay_t *relay,
                          const mt_relay_request_t *request);

/* True if the body that is buffered should be complete by now, and comes so
   slowly that it may never be. */
bool mt_response_trickles (const mt_relay_t *relay,
                           const mt_relay_request_t *request);

/* True if this router has read nothing for so long before this tick that
   responses may lie unread. */
bool mt_response_stalled (const mt_relay_t *relay);

/* True if the engine has sent nothing to any request for so long, as far as
   this router has read. */
bool mt_response_engine_silent (const mt_relay_t *relay,
                                const mt_relay_request_t *request);

#endif
