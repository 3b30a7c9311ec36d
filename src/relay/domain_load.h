/*
** domain_load.h - load of remote failure domains, from their owners' quotes
**
** A request that finds no room in the local domain asks for quotes in remote
** ones. Each quote is also a sample of the load of that domain, so that
** requests that would find no room there need not ask.
*/
#ifndef domain_load_h
#define domain_load_h

#include "relay.h"

/* The load of the engine's service in its failure domain; never NULL. */
mt_domain_load_t *mt_domain_loads_get (mt_relay_t *relay,
                                       const mt_engine_t *engine);

/* Takes the load from a quote for the engine. */
void mt_domain_loads_learn (mt_relay_t *relay, const mt_engine_t *engine,
                            const mt_engine_load_t *load);

#endif
