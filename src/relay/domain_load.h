/*
** domain_load.h - how full other failure domains are, as owners there tell
**
** A request that finds no room in the own domain asks in others. Each answer
** is also a sample of how full that domain is, so that requests which would
** be turned down need not ask.
*/
#ifndef domain_load_h
#define domain_load_h

#include "relay.h"

/* What is known of the engine's failure domain and service; never NULL. */
mt_domain_load_t *mt_domain_loads_get (mt_relay_t *relay,
                                       const mt_engine_t *engine);

/* An owner told what all others have at an engine. */
void mt_domain_loads_learn (mt_relay_t *relay, const mt_engine_t *engine,
                            const mt_engine_load_t *load);

#endif
