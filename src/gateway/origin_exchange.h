/*
** origin_exchange.h - tells owners of streams where they began, and asks them
**
** A stream is owned by a few routers, which follow from a hash of its key: in
** the failure domain of the router that began it, and in other ones. The
** first are in reach where a domain is cut off, and the others where one is
** lost. Owners keep the origin for as long as the stream may be resumed.
**
** Datagrams are not trusted. With a forged one an attacker who knows a
** request's id and workspace can keep the stream from being resumed, or have
** it go on at another version.
*/
#ifndef origin_exchange_h
#define origin_exchange_h

#include "membership.h"
#include "relay.h"

typedef struct mt_origin_exchange_callbacks_t {
  /* Starts an outgoing message; `send` sends it to these addresses. */
  mt_peer_message_t *(*begin)(void *ud, mt_peer_kind_t kind);
  void (*send)(void *ud, const uint32_t *to, size_t count);
  /* A router answered a question about the stream of this request, which is
     of the service; request 0: about all streams of the service. */
  void (*answered)(void *ud, uint64_t request, mt_id_t service,
                   const mt_origin_answer_t *answer);
  void *ud;
} mt_origin_exchange_callbacks_t;

typedef struct mt_origin_exchange_t {
  const mt_membership_t *members;
  mt_relay_t *relay;
  mt_origin_exchange_callbacks_t callbacks;
} mt_origin_exchange_t;

void mt_origin_exchange_open (
    mt_origin_exchange_t *exchange, const mt_membership_t *members,
    mt_relay_t *relay, const mt_origin_exchange_callbacks_t *callbacks);

/* Tells the owners of a stream where it began. */
void mt_origin_exchange_tell (mt_origin_exchange_t *exchange,
                              const mt_origin_report_t *report);

/* Asks the routers that may own the stream; the report has its key and its
   service. Request 0: the key is of no stream. */
mt_origin_asked_t mt_origin_exchange_ask (mt_origin_exchange_t *exchange,
                                          uint64_t request,
                                          const mt_origin_report_t *report);

/* The same of routers in all failure domains. */
mt_origin_asked_t
mt_origin_exchange_ask_domains (mt_origin_exchange_t *exchange,
                                uint64_t request,
                                const mt_origin_report_t *report);

/* Handles an ORIGIN, ORIGIN_REQUEST or ORIGIN_REPLY message. */
void mt_origin_exchange_receive (mt_origin_exchange_t *exchange, uint32_t ip,
                                 const mt_peer_message_t *m);

#endif
