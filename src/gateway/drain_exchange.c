/*
** drain_exchange.c - how routers gossip which engines drain
*/
#include <stdlib.h>

#include "drain_exchange.h"

#define FANOUT 8    /* routers that something new is passed on to */
#define TELL_MS 250 /* between tellings of what is known already */
/* What was heard lately may have missed some routers; what is older goes to
   those that missed it by a cut or a start, and little is sent of it. */
#define YOUNG_MS 3000
#define TELL_OLD_MOST 16 /* engines at a time */

/* {== What is known ====================================================
 */

/* The engine while it is worth telling of, or NULL. */
static const mt_engine_t *draining (const mt_drain_exchange_t *x,
                                    uint64_t key) {
  const mt_engine_t *e = mt_engines_get(x->engines, key);
  mt_ms_t now = x->members->now;
  if (e == NULL || !mt_engine_is_draining(e, now)) return NULL;
  return now < e->drain.since + MT_ENGINE_DRAIN_GOSSIP_TTL_MS ? e : NULL;
}

static void add (mt_drain_exchange_t *x, uint64_t key) {
  *mtV_push(x->known, x->count, x->cap) = key;
  x->fresh++;
}

/* Those that are to be passed on stay the last. */
static void forget (mt_drain_exchange_t *x) {
  size_t kept = 0, old = x->count - x->fresh;
  for (size_t i = 0; i < x->count; i++)
    if (i >= old || draining(x, x->known[i]) != NULL)
      x->known[kept++] = x->known[i];
  x->count = kept;
}

/* }== */

/* {== Telling ========================================================== */

static void add_row (mt_drain_exchange_t *x, mt_peer_message_t *m,
                     uint64_t key) {
  const mt_engine_t *e = draining(x, key);
  if (e == NULL) return;
  m->drains[m->drains_count++] = (mt_peer_drain_t){
      key, e->drain.started_at, x->members->now - e->drain.since};
}

/* Tells some routers of engines from a place in the list on, `most` of them;
   how many it told of. */
static size_t tell (mt_drain_exchange_t *x, const uint32_t *to,
                    size_t routers, size_t first, size_t most) {
  size_t count = mt_min(x->count - first, most);
  mt_peer_message_t *m = x->calls.begin(x->calls.ud, MT_PEER_DRAINING);
  for (size_t i = 0; i < count; i++) add_row(x, m, x->known[first + i]);
  if (m->drains_count > 0) x->calls.send(x->calls.ud, to, routers);
  return count;
}

static void pass_on (mt_drain_exchange_t *x) {
  uint32_t to[FANOUT];
  size_t routers = mt_membership_some(x->members, &x->random, to, FANOUT);
  while (x->fresh > 0) {
    size_t first = x->count - x->fresh;
    x->fresh -= tell(x, to, routers, first, MT_PEER_DRAINS_MAX);
  }
}

/* Where those begin that were heard lately; they stand last. */
static size_t first_young (const mt_drain_exchange_t *x) {
  size_t first = x->count;
  for (; first > 0; first--) {
    const mt_engine_t *e = draining(x, x->known[first - 1]);
    if (e == NULL || x->members->now - e->drain.since > YOUNG_MS) break;
  }
  return first;
}

/* Tells one router the next of the young, or of all if there are none. */
static void tell_one (mt_drain_exchange_t *x) {
  uint32_t to;
  forget(x);
  if (x->count == 0) return;
  if (mt_membership_some(x->members, &x->random, &to, 1) == 0) return;
  size_t young = first_young(x);
  bool any = young < x->count;
  size_t first = any ? young : 0;
  size_t most = any ? MT_PEER_DRAINS_MAX : TELL_OLD_MOST;
  if (x->place < first || x->place >= x->count) x->place = first;
  x->place += tell(x, &to, 1, x->place, most);
}

/* }== */

void mt_drain_exchange_heard (mt_drain_exchange_t *x, uint64_t engine) {
  add(x, engine);
}

void mt_drain_exchange_take (mt_drain_exchange_t *x, uint32_t router,
                             const mt_peer_message_t *m) {
  for (size_t i = 0; i < m->drains_count; i++)
    if (x->calls.take(x->calls.ud, &m->drains[i], router))
      add(x, m->drains[i].engine);
}

void mt_drain_exchange_greet (mt_drain_exchange_t *x, uint32_t ip) {
  size_t most = mt_min(x->count, (size_t)MT_PEER_DRAINS_MAX);
  if (most > 0) tell(x, &ip, 1, x->count - most, most);
}

void mt_drain_exchange_tick (mt_drain_exchange_t *x) {
  if (x->fresh > 0) pass_on(x);
  if (x->members->now < x->next) return;
  x->next = x->members->now + TELL_MS;
  tell_one(x);
}

void mt_drain_exchange_open (mt_drain_exchange_t *x, mt_membership_t *members,
                             const mt_engines_t *engines,
                             const mt_drain_exchange_calls_t *calls,
                             uint64_t seed) {
  *x = (mt_drain_exchange_t){.members = members,
                             .engines = engines,
                             .calls = *calls,
                             .random = seed | 1};
}

void mt_drain_exchange_free (mt_drain_exchange_t *x) {
  free(x->known);
}
