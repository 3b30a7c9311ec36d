/*
** silence.h - how long an engine may say nothing before it is left
*/
#ifndef silence_h
#define silence_h

#include "relay.h"

/* True when a request that was sent to an engine should go elsewhere. */
bool mt_silence_is_too_long (const mt_relay_t *relay,
                             const mt_relay_request_t *request);

#endif
