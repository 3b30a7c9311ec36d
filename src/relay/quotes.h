/*
** quotes.h - asks owners of engines for quotes before a request is placed
**
** The owner of an engine is the router that adds up the load that all routers
** put on it (load_table.h). A router asks the owners of a few engines that
** suit a request and places it by their quotes; without quotes in time it
** places the request by its own data.
*/
#ifndef quotes_h
#define quotes_h

#include "relay.h"

/*
** Starts a round: chooses the engines to ask about, in the first round in the
** local failure domain, in the second in remote ones. False if nobody is to
** be asked: there is no other router and no cold engine, or no further engine
** or round.
*/
bool mt_quotes_ask (mt_relay_t *relay, mt_relay_request_t *request);

/*
** Starts a further round for a request whose connect failed: in the local
** failure domain and in remote ones, among engines that it has not asked
** about. False if nobody is to be asked.
*/
bool mt_quotes_ask_further (mt_relay_t *relay, mt_relay_request_t *request);

/* Takes quotes; true if all engines of the round have one now. */
bool mt_quotes_receive (mt_relay_t *relay, mt_relay_request_t *request,
                        const mt_relay_quote_t *quotes, size_t count);

/* True if the round has timed out. */
bool mt_quotes_overdue (const mt_relay_t *relay,
                        const mt_relay_request_t *request);

/* The request's candidate for this engine, or NULL. */
const mt_relay_candidate_t *mt_quotes_find (const mt_relay_request_t *request,
                                            uint64_t engine);

/* True if any owner sent a quote. */
bool mt_quotes_any (const mt_relay_request_t *request);

/* Moves loads from old quotes towards the average of the service; called a
   few times per second. */
void mt_quotes_decay (mt_relay_t *relay);

#endif
