/*
** drain_exchange.h - how routers gossip which engines drain
**
** An engine may advertise that it drains in its answers alone, while the
** source lists it as ready: then only the routers that it answers know, and
** the others go on sending it work. Whoever hears it, from the engine or from
** a router, passes it on to a few others, which reaches nearly all of them
** within some turns; each router sends another some of what it knows some
** times a second, so that who has just started, was cut off, or missed a
** datagram, has it soon. What the source lists as draining is gossiped as a
** change of the source (feed_exchange.h) and not here.
**
** Datagrams come from anybody. A forged one keeps an engine from work, at
** routers that have not heard the engine itself, for
*MT_ENGINE_DRAIN_GOSSIP_TTL_MS.
*/
#ifndef drain_exchange_h
#define drain_exchange_h

#include "engine.h"
#include "membership.h"

typedef struct mt_drain_exchange_calls_t {
  /* Begins a message, and sends the one that was begun. */
  mt_peer_message_t *(*begin)(void *ud, mt_peer_kind_t kind);
  void (*send)(void *ud, const uint32_t *to, size_t count);
  /* Takes what another router sent. True when it was news: the engine is
     known, and was not believed to drain. */
  bool (*take)(void *ud, const mt_peer_drain_t *drain, uint32_t router);
  void *ud;
} mt_drain_exchange_calls_t;

typedef struct mt_drain_exchange_t {
  mt_membership_t *members;
  const mt_engines_t *engines;
  mt_drain_exchange_calls_t calls;
  uint64_t random; /* whom to tell */
  uint64_t *known; /* engines that may be believed to drain */
  size_t count, cap;
  size_t fresh; /* the last of them, that are still to be passed on */
  size_t place; /* of the one that is told next */
  mt_ms_t next; /* some are told to one router then */
} mt_drain_exchange_t;

void mt_drain_exchange_open (mt_drain_exchange_t *exchange,
                             mt_membership_t *members,
                             const mt_engines_t *engines,
                             const mt_drain_exchange_calls_t *calls,
                             uint64_t seed);
void mt_drain_exchange_free (mt_drain_exchange_t *exchange);

/* This router has just heard from the engine itself that it drains. */
void mt_drain_exchange_heard (mt_drain_exchange_t *exchange, uint64_t engine);

/* DRAINING of another router. */
void mt_drain_exchange_take (mt_drain_exchange_t *exchange, uint32_t router,
                             const mt_peer_message_t *message);

/* A router was heard of that was not known to serve: it may know nothing. */
void mt_drain_exchange_greet (mt_drain_exchange_t *exchange, uint32_t ip);

void mt_drain_exchange_tick (mt_drain_exchange_t *exchange);

#endif
