/*
** drain_exchange.c - gossip about engines that advertise that they drain
*/
#include <stdlib.h>

#include "drain_exchange.h"

#define FANOUT 8               /* peers that a new drain is forwarded to */
#define GOSSIP_INTERVAL_MS 250 /* between anti-entropy messages */
/* A drain this recent may not have reached all routers yet. Older ones are
   only for routers that were partitioned or not running, and are sent in
   small batches. */
#define RECENT_MS 3000
#define OLD_BATCH_MAX 16 /* engines per message */

/* {== Known drains ===================================================== */

/* The engine if its drain is recent enough to be gossiped, or NULL. */
static const mt_engine_t *find_draining (const mt_drain_exchange_t *x,
                                         uint64_t key) {
  const mt_engine_t *e = mt_engines_get(x->engines, key);
  mt_ms_t now = x->members->now;
  if (e == NULL || !mt_engine_is_draining(e, now)) return NULL;
  return now < e->drain.since + MT_ENGINE_DRAIN_GOSSIP_TTL_MS ? e : NULL;
}

static void add (mt_drain_exchange_t *x, uint64_t key) {
  *mtV_push(x->keys, x->count, x->cap) = key;
  x->pending++;
}

/* Removes engines whose drain is not gossiped any more. Pending ones are kept
   at the end of the list. */
static void remove_expired (mt_drain_exchange_t *x) {
  size_t kept = 0, old = x->count - x->pending;
  for (size_t i = 0; i < x->count; i++)
    if (i >= old || find_draining(x, x->keys[i]) != NULL)
      x->keys[kept++] = x->keys[i];
  x->count = kept;
}

/* }== */

/* {== Sending ========================================================== */

static void add_drain (mt_drain_exchange_t *x, mt_peer_message_t *m,
                       uint64_t key) {
  const mt_engine_t *e = find_draining(x, key);
  if (e == NULL) return;
  m->drains[m->drains_count++] = (mt_peer_drain_t){
      key, e->drain.started_at, x->members->now - e->drain.since};
}

/* Sends at most `max` drains, from index `first` of the list on. Returns the
   number of list entries visited. */
static size_t send_drains (mt_drain_exchange_t *x, const uint32_t *to,
                           size_t routers, size_t first, size_t max) {
  size_t count = mt_min(x->count - first, max);
  mt_peer_message_t *m = x->callbacks.begin(x->callbacks.ud, MT_PEER_DRAINS);
  for (size_t i = 0; i < count; i++) add_drain(x, m, x->keys[first + i]);
  if (m->drains_count > 0) x->callbacks.send(x->callbacks.ud, to, routers);
  return count;
}

static void send_pending (mt_drain_exchange_t *x) {
  uint32_t to[FANOUT];
  size_t routers = mt_membership_sample(x->members, &x->random, to, FANOUT);
  while (x->pending > 0) {
    size_t first = x->count - x->pending;
    x->pending -= send_drains(x, to, routers, first, MT_PEER_DRAINS_MAX);
  }
}

/* Index of the first recent drain; these are at the end of the list. */
static size_t first_recent (const mt_drain_exchange_t *x) {
  size_t first = x->count;
  for (; first > 0; first--) {
    const mt_engine_t *e = find_draining(x, x->keys[first - 1]);
    if (e == NULL || x->members->now - e->drain.since > RECENT_MS) break;
  }
  return first;
}

/* Sends one peer the next recent drains, or older ones if none is recent. */
static void gossip_to_one (mt_drain_exchange_t *x) {
  uint32_t to;
  remove_expired(x);
  if (x->count == 0) return;
  if (mt_membership_sample(x->members, &x->random, &to, 1) == 0) return;
  size_t recent = first_recent(x);
  bool has_recent = recent < x->count;
  size_t first = has_recent ? recent : 0;
  size_t max = has_recent ? MT_PEER_DRAINS_MAX : OLD_BATCH_MAX;
  if (x->cursor < first || x->cursor >= x->count) x->cursor = first;
  x->cursor += send_drains(x, &to, 1, x->cursor, max);
}

/* }== */

void mt_drain_exchange_add (mt_drain_exchange_t *x, uint64_t engine) {
  add(x, engine);
}

void mt_drain_exchange_receive (mt_drain_exchange_t *x, uint32_t router,
                                const mt_peer_message_t *m) {
  for (size_t i = 0; i < m->drains_count; i++)
    if (x->callbacks.receive_drain(x->callbacks.ud, &m->drains[i], router))
      add(x, m->drains[i].engine);
}

void mt_drain_exchange_sync_peer (mt_drain_exchange_t *x, uint32_t ip) {
  size_t max = mt_min(x->count, (size_t)MT_PEER_DRAINS_MAX);
  if (max > 0) send_drains(x, &ip, 1, x->count - max, max);
}

void mt_drain_exchange_tick (mt_drain_exchange_t *x) {
  if (x->pending > 0) send_pending(x);
  if (x->members->now < x->next_gossip) return;
  x->next_gossip = x->members->now + GOSSIP_INTERVAL_MS;
  gossip_to_one(x);
}

void mt_drain_exchange_open (mt_drain_exchange_t *x, mt_membership_t *members,
                             const mt_engines_t *engines,
                             const mt_drain_exchange_callbacks_t *callbacks,
                             uint64_t seed) {
  *x = (mt_drain_exchange_t){.members = members,
                             .engines = engines,
                             .callbacks = *callbacks,
                             .random = seed | 1};
}

void mt_drain_exchange_free (mt_drain_exchange_t *x) {
  free(x->keys);
}
