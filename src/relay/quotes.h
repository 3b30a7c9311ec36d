/*
** quotes.h - asks the owners of a few engines before a request is placed
**
** Each engine has one router that keeps its book (load_book.h). A request for
** a language model asks the owners of a few engines that suit it, and is
** placed by their answers; without answers in time it is placed by what this
** router believes by itself.
*/
#ifndef quotes_h
#define quotes_h

#include "relay.h"

/*
** Chooses the engines to ask next: mostly those of the own failure domain,
** and those of others when these have no room. False when nobody is to be
** asked: there is no other router and no cold engine, or no further engine
** or round.
*/
bool mt_quotes_ask (mt_relay_t *relay, mt_relay_request_t *request);

/* Takes answers; true when all engines of the round have been told. */
bool mt_quotes_take (mt_relay_t *relay, mt_relay_request_t *request,
                     const mt_relay_quote_t *quotes, size_t count);

/* True when the answers that are still missing are not awaited any more. */
bool mt_quotes_overdue (const mt_relay_t *relay,
                        const mt_relay_request_t *request);

/* What the request was told of this engine, or NULL. */
const mt_relay_candidate_t *mt_quotes_find (const mt_relay_request_t *request,
                                            uint64_t engine);

/* True when any owner answered. */
bool mt_quotes_any (const mt_relay_request_t *request);

/* What was told long ago tends to what is usual; some times a second. */
void mt_quotes_fade (mt_relay_t *relay);

#endif
