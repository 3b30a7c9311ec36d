/*
** connects.h - what the outcomes of connects tell about engines and their
** failure domains
*/
#ifndef connects_h
#define connects_h

#include "relay.h"

/* Records that a new connection to the engine was made. */
void mt_connects_made (mt_relay_t *relay, const mt_engine_t *engine);

/*
** Records that the connect of a request failed. `refused`: no process listens
** on the port. True if the engine's failure domain has become unreachable by
** it.
*/
bool mt_connects_failed (mt_relay_t *relay, mt_engine_t *engine,
                         bool refused);

/* Records the result of a probe. `up`: the connection was made. */
void mt_connects_probed (mt_relay_t *relay, mt_engine_t *engine, bool up,
                         bool refused);

/* True if the failure domain of the engine counts as unreachable. */
bool mt_connects_cut_off (const mt_relay_t *relay, const mt_engine_t *engine);

/* Records a failure of the engine, unless its failure domain is unreachable:
   the engine is then no less fit. */
void mt_connects_engine_failed (mt_relay_t *relay, mt_engine_t *engine);

/* Records that the engine sends nothing, and probes it: one that cannot be
   reached gets no work until it can. */
void mt_connects_engine_silent (mt_relay_t *relay, mt_engine_t *engine);

/* Probes unreachable failure domains, one engine of each at a time; called at
   each tick. */
void mt_connects_probe_domains (mt_relay_t *relay);

#endif
