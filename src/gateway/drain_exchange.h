/*
** drain_exchange.h - gossip about engines that advertise that they drain
**
** An engine may advertise a drain only in its responses, while the
** configuration source still lists it as ready. Then only the routers that it
** answers know, and the others would go on sending it work. A router that
** learns of a drain, from the engine or from a peer, forwards it to a few
** random peers, which reaches nearly all routers within a few ticks. In
** addition each router sends known drains to one random peer several times a
** second (anti-entropy), for routers that have just started, were partitioned
** or lost a datagram. Engines that the source lists as draining are gossiped
** as changes of the source instead (feed_exchange.h).
**
** Datagrams are not trusted. A forged one keeps an engine from work for
** MT_ENGINE_DRAIN_GOSSIP_TTL_MS, at routers that did not receive the drain
** notice from the engine itself.
*/
#ifndef drain_exchange_h
#define drain_exchange_h

#include "engine.h"
#include "membership.h"

typedef struct mt_drain_exchange_callbacks_t {
  /* Starts an outgoing message; `send` sends it to these addresses. */
  mt_peer_message_t *(*begin)(void *ud, mt_peer_kind_t kind);
  void (*send)(void *ud, const uint32_t *to, size_t count);
  /* Handles a drain sent by a peer. True if it was new: the engine is known
     and was not considered draining. */
  bool (*receive_drain)(void *ud, const mt_peer_drain_t *drain,
                        uint32_t router);
  void *ud;
} mt_drain_exchange_callbacks_t;

typedef struct mt_drain_exchange_t {
  mt_membership_t *members;
  const mt_engines_t *engines;
  mt_drain_exchange_callbacks_t callbacks;
  uint64_t random; /* state of the generator that selects peers */
  uint64_t *keys;  /* keys of engines; entries expire lazily */
  size_t count, cap;
  size_t pending;      /* the last of `keys`, which are not forwarded yet */
  size_t cursor;       /* index of the next one to gossip */
  mt_ms_t next_gossip; /* when some are gossiped to one peer again */
} mt_drain_exchange_t;

void mt_drain_exchange_open (mt_drain_exchange_t *exchange,
                             mt_membership_t *members,
                             const mt_engines_t *engines,
                             const mt_drain_exchange_callbacks_t *callbacks,
                             uint64_t seed);
void mt_drain_exchange_free (mt_drain_exchange_t *exchange);

/* The engine itself has just advertised to this router that it drains. */
void mt_drain_exchange_add (mt_drain_exchange_t *exchange, uint64_t engine);

/* Handles a DRAINS message of a peer. */
void mt_drain_exchange_receive (mt_drain_exchange_t *exchange,
                                uint32_t router,
                                const mt_peer_message_t *message);

/* Sends the latest drains to a router that has just become live or has
   restarted, and may know none. */
void mt_drain_exchange_sync_peer (mt_drain_exchange_t *exchange, uint32_t ip);

void mt_drain_exchange_tick (mt_drain_exchange_t *exchange);

#endif
