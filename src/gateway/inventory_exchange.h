/*
** inventory_exchange.h - compares what is in force here and at peers
**
** When a peer's log of changes does not reach back to what this router knows,
** its next requests have the digests of its inventory. A peer that has read
** the source since replies with what it has in the ranges that differ. What
** it lacks is taken for withdrawn; what it has beyond this router's inventory
** is not added, as only the source itself is trusted for that. Once all
** ranges have been compared, nothing up to their revision is missing here.
*/
#ifndef inventory_exchange_h
#define inventory_exchange_h

#include "feed_exchange.h"

/* Adds the digests of the feed's inventory to a CHANGES_REQUEST. */
void mt_inventory_exchange_request (mt_feed_exchange_t *exchange,
                                    mt_feed_kind_t kind,
                                    mt_peer_message_t *message);

/* True for a request for the rest of a comparison that has begun. It needs no
   changes from the log, whose repetition would cost more than the parts. */
bool mt_inventory_exchange_continues (const mt_peer_message_t *request,
                                      mt_feed_kind_t kind);

/* Answers the digests of a CHANGES_REQUEST, in CHANGES messages. False if
   there is nothing to send: this router has not read more of the source than
   the peer knows. */
bool mt_inventory_exchange_answer (mt_feed_exchange_t *exchange,
                                   const mt_peer_t *peer,
                                   const mt_peer_message_t *request);

/* Handles the part of an inventory in a CHANGES message. */
void mt_inventory_exchange_receive (mt_feed_exchange_t *exchange,
                                    mt_peer_t *peer,
                                    const mt_peer_message_t *message);

#endif
