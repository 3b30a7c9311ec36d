/*
** leave_exchange.c - how routers tell each other of engines that leave
*/
#include <stdlib.h>

#include "leave_exchange.h"

#define FANOUT 8    /* routers that something new is passed on to */
#define TELL_MS 250 /* between tellings of what is known already */
/* What was heard lately may have missed some routers; what is older goes to
   those that missed it by a cut or a start, and little is sent of it. */
#define YOUNG_MS 3000
#define TELL_OLD_MOST 16 /* engines at a time */

/* {== What is known ====================================================
 */

/* The engine while it is worth telling of, or NULL. */
static const mt_engine_t *leaving (const mt_leave_exchange_t *x,
                                   uint64_t key) {
  const mt_engine_t *e = mt_engines_get(x->engines, key);
  mt_ms_t now = x->members->now;
  if (e == NULL || !mt_engine_leaves(e, now)) return NULL;
  return now < e->leave.said + MT_ENGINE_TOLD_MS ? e : NULL;
}

static void add (mt_leave_exchange_t *x, uint64_t key) {
  *mtV_push(x->known, x->count, x->cap) = key;
  x->fresh++;
}

/* Those that are to be passed on stay the last. */
static void forget (mt_leave_exchange_t *x) {
  size_t kept = 0, old = x->count - x->fresh;
  for (size_t i = 0; i < x->count; i++)
    if (i >= old || leaving(x, x->known[i]) != NULL)
      x->known[kept++] = x->known[i];
  x->count = kept;
}

/* }== */

/* {== Telling ========================================================== */

static void add_row (mt_leave_exchange_t *x, mt_peer_message_t *m,
                     uint64_t key) {
  const mt_engine_t *e = leaving(x, key);
  if (e == NULL) return;
  m->leaves[m->leaves_count++] =
      (mt_peer_leave_t){key, e->leave.born, x->members->now - e->leave.said};
}

/* Tells some routers of engines from a place in the list on, `most` of them;
   how many it told of. */
static size_t tell (mt_leave_exchange_t *x, const uint32_t *to,
                    size_t routers, size_t first, size_t most) {
  size_t count = mt_min(x->count - first, most);
  mt_peer_message_t *m = x->calls.begin(x->calls.ud, MT_PEER_LEAVING);
  for (size_t i = 0; i < count; i++) add_row(x, m, x->known[first + i]);
  if (m->leaves_count > 0) x->calls.send(x->calls.ud, to, routers);
  return count;
}

static void pass_on (mt_leave_exchange_t *x) {
  uint32_t to[FANOUT];
  size_t routers = mt_membership_some(x->members, &x->random, to, FANOUT);
  while (x->fresh > 0) {
    size_t first = x->count - x->fresh;
    x->fresh -= tell(x, to, routers, first, MT_PEER_LEAVES_MAX);
  }
}

/* Where those begin that were heard lately; they stand last. */
static size_t first_young (const mt_leave_exchange_t *x) {
  size_t first = x->count;
  for (; first > 0; first--) {
    const mt_engine_t *e = leaving(x, x->known[first - 1]);
    if (e == NULL || x->members->now - e->leave.said > YOUNG_MS) break;
  }
  return first;
}

/* Tells one router the next of the young, or of all if there are none. */
static void tell_one (mt_leave_exchange_t *x) {
  uint32_t to;
  forget(x);
  if (x->count == 0) return;
  if (mt_membership_some(x->members, &x->random, &to, 1) == 0) return;
  size_t young = first_young(x);
  bool any = young < x->count;
  size_t first = any ? young : 0;
  size_t most = any ? MT_PEER_LEAVES_MAX : TELL_OLD_MOST;
  if (x->place < first || x->place >= x->count) x->place = first;
  x->place += tell(x, &to, 1, x->place, most);
}

/* }== */

void mt_leave_exchange_heard (mt_leave_exchange_t *x, uint64_t engine) {
  add(x, engine);
}

void mt_leave_exchange_take (mt_leave_exchange_t *x, uint32_t router,
                             const mt_peer_message_t *m) {
  for (size_t i = 0; i < m->leaves_count; i++)
    if (x->calls.take(x->calls.ud, &m->leaves[i], router))
      add(x, m->leaves[i].engine);
}

void mt_leave_exchange_greet (mt_leave_exchange_t *x, uint32_t ip) {
  size_t most = mt_min(x->count, (size_t)MT_PEER_LEAVES_MAX);
  if (most > 0) tell(x, &ip, 1, x->count - most, most);
}

void mt_leave_exchange_tick (mt_leave_exchange_t *x) {
  if (x->fresh > 0) pass_on(x);
  if (x->members->now < x->next) return;
  x->next = x->members->now + TELL_MS;
  tell_one(x);
}

void mt_leave_exchange_open (mt_leave_exchange_t *x, mt_membership_t *members,
                             const mt_engines_t *engines,
                             const mt_leave_exchange_calls_t *calls,
                             uint64_t seed) {
  *x = (mt_leave_exchange_t){.members = members,
                             .engines = engines,
                             .calls = *calls,
                             .random = seed | 1};
}

void mt_leave_exchange_free (mt_leave_exchange_t *x) {
  free(x->known);
}
