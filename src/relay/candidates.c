/*
** candidates.c - which engines a request asks about before it is placed
*/
#include <string.h>

#include "admission.h"
#include "candidates.h"
#include "placement.h"
#include "quotes.h"

/*
** Engines that are looked at for one question. Each request looks at others,
** in an order of its own: in one order all routers would go to the same few
** engines, and a question would take longer the more engines there are.
*/
#define LOOKED_AT_MOST 16
#define HOMES 2 /* of the own failure domain, asked before other engines */

static bool was_tried (const mt_relay_request_t *r, uint64_t key) {
  for (int i = 0; i < r->tried_count; i++)
    if (r->tried[i] == key) return true;
  return false;
}

bool mt_candidates_usable (const mt_relay_t *relay,
                           const mt_relay_request_t *r,
                           const mt_engine_t *e) {
  if (e->service != r->service || !mt_engine_takes_work(e, relay->now))
    return false;
  if (e->unreachable || e->evacuated) return false;
  if (e->suspended_until > relay->now && !relay->terms.off[MT_RELAY_REST])
    return false;
  return !was_tried(r, e->key);
}

mt_ms_t mt_candidates_backoff_left (const mt_relay_t *relay,
                                    const mt_relay_request_t *r) {
  mt_ms_t least = 0;
  for (size_t i = 0; i < relay->engines.count; i++) {
    const mt_engine_t *e = relay->engines.list[i];
    if (e->service != r->service || !mt_engine_is_available(e, relay->now))
      continue;
    if (e->unreachable || e->evacuated) continue;
    mt_ms_t left = mt_engine_backoff_left(e, relay->now);
    if (left == 0) return 0;
    if (least == 0 || left < least) least = left;
  }
  return least;
}

/* {== Homes ============================================================ */

/* An engine that may be home, and its weight; NULL: none yet. */
typedef struct home_t {
  const mt_engine_t *engine;
  uint64_t weight;
} home_t;

static void keep_heavier (home_t *home, const mt_engine_t *e,
                          uint64_t weight) {
  if (home->engine != NULL && weight <= home->weight) return;
  *home = (home_t){e, weight};
}

/* True for an engine where parts of the request's prompt may gather. */
static bool may_be_home (const mt_relay_t *relay, const mt_relay_request_t *r,
                         const mt_engine_t *e) {
  return e->service == r->service && mt_engine_is_available(e, relay->now) &&
         !e->evacuated;
}

/*
** Every router finds the same homes without being told: the engines with the
** greatest hash of part and engine, of all and of the own failure domain.
** `but` leaves one out.
*/
static void find_homes (const mt_relay_t *relay, const mt_relay_request_t *r,
                        uint64_t but, home_t *of_all, home_t *near) {
  uint64_t part = mt_kv_cache_home_segment(r->parts, r->parts_count);
  *of_all = *near = (home_t){NULL, 0};
  if (part == 0 || relay->terms.off[MT_RELAY_HOME]) return;
  for (size_t i = 0; i < relay->engines.count; i++) {
    const mt_engine_t *e = relay->engines.list[i];
    if (e->key == but || !may_be_home(relay, r, e)) continue;
    uint64_t weight = mtV_mix(part, e->key);
    keep_heavier(of_all, e, weight);
    if (!e->remote) keep_heavier(near, e, weight);
  }
}

void mt_candidates_find_homes (mt_relay_t *relay, mt_relay_request_t *r) {
  home_t of_all, near;
  find_homes(relay, r, 0, &of_all, &near);
  r->home_of_all = of_all.engine != NULL ? of_all.engine->key : 0;
  r->home_near = near.engine != NULL ? near.engine->key : 0;
}

/* True when the engine may be asked about: usable, and not asked yet. */
static bool askable (const mt_relay_t *relay, const mt_relay_request_t *r,
                     const mt_engine_t *e) {
  return mt_quotes_find(r, e->key) == NULL &&
         mt_candidates_usable(relay, r, e);
}

static const mt_engine_t *askable_at (const mt_relay_t *relay,
                                      const mt_relay_request_t *r,
                                      uint64_t key) {
  const mt_engine_t *e = mt_engines_get(&relay->engines, key);
  return e != NULL && askable(relay, r, e) ? e : NULL;
}

/*
** The home in the own failure domain; then that of all, which may keep the
** parts or know who does; where both are one engine its second.
*/
static const mt_engine_t *next_home (mt_relay_t *relay,
                                     const mt_relay_request_t *r) {
  const mt_engine_t *near = askable_at(relay, r, r->home_near);
  const mt_engine_t *of_all = askable_at(relay, r, r->home_of_all);
  home_t second, second_near;
  if (near != NULL) return near;
  if (r->home_near == 0) return NULL;
  if (of_all != NULL) return of_all;
  if (r->home_near != r->home_of_all) return NULL;
  if (relay->terms.off[MT_RELAY_SECOND_HOME]) return NULL;
  find_homes(relay, r, r->home_near, &second, &second_near);
  bool good =
      second_near.engine != NULL && askable(relay, r, second_near.engine);
  return good ? second_near.engine : NULL;
}

/* }== */

/* {== Other failure domains ============================================ */

static bool asks_domain (const mt_relay_t *relay, const mt_relay_request_t *r,
                         mt_id_t domain) {
  for (size_t i = r->round_first; i < r->candidates_count; i++) {
    const mt_engine_t *e =
        mt_engines_get(&relay->engines, r->candidates[i].engine);
    if (e != NULL && e->domain_id == domain) return true;
  }
  return false;
}

/* The failure domain that was seen least loaded, of those that are not asked
   yet and may have room; NULL: there is none. */
static const mt_domain_load_t *next_domain (mt_relay_t *relay,
                                            const mt_relay_request_t *r) {
  const mt_domain_load_t *best = NULL;
  for (size_t i = 0; i < relay->engines.count; i++) {
    const mt_engine_t *e = relay->engines.list[i];
    if (!e->remote || !askable(relay, r, e)) continue;
    const mt_domain_load_t *load = mt_domain_loads_get(relay, e);
    if (best != NULL && load->pending_prefill >= best->pending_prefill)
      continue;
    if (asks_domain(relay, r, e->domain_id)) continue;
    if (mt_placement_may_have_room(relay, r, load)) best = load;
  }
  return best;
}

/* The home of the request's parts there; without parts any engine. */
static const mt_engine_t *next_far_home (mt_relay_t *relay,
                                         const mt_relay_request_t *r) {
  uint64_t part = mt_kv_cache_home_segment(r->parts, r->parts_count);
  const mt_domain_load_t *load = next_domain(relay, r);
  home_t home = {NULL, 0};
  if (part == 0) part = r->number;
  for (size_t i = 0; load != NULL && i < relay->engines.count; i++) {
    const mt_engine_t *e = relay->engines.list[i];
    if (!e->remote || e->domain_id != load->domain) continue;
    if (!askable(relay, r, e)) continue;
    keep_heavier(&home, e, mtV_mix(part, e->key));
  }
  return home.engine;
}

/* }== */

/*
** True when a cold engine is among the candidates. It may have no place, so
** no more of them are asked in the place of engines that surely have room.
*/
static bool asks_cold (const mt_relay_t *relay, const mt_relay_request_t *r) {
  for (size_t i = 0; i < r->candidates_count; i++) {
    const mt_engine_t *e =
        mt_engines_get(&relay->engines, r->candidates[i].engine);
    if (e != NULL && mt_admission_is_cold(relay, e)) return true;
  }
  return false;
}

/*
** The best of some engines of the own failure domain. With few engines these
** are all, and the router knows them well.
*/
static const mt_engine_t *best_of_some (mt_relay_t *relay,
                                        const mt_relay_request_t *r) {
  mt_engine_t *some[LOOKED_AT_MOST];
  size_t found = 0, count = relay->engines.count;
  size_t start = count ? mtV_hash(r->id, strlen(r->id)) % count : 0;
  bool cold = asks_cold(relay, r);
  for (size_t i = 0; i < count && found < LOOKED_AT_MOST; i++) {
    mt_engine_t *e = relay->engines.list[(start + i) % count];
    if (e->remote || e->service != r->service) continue;
    if (mt_quotes_find(r, e->key) != NULL) continue;
    if (!mt_candidates_usable(relay, r, e)) continue;
    if (cold && mt_admission_is_cold(relay, e)) continue;
    some[found++] = e;
  }
  return mt_placement_best_of(relay, r, some, found);
}

const mt_engine_t *mt_candidates_next (mt_relay_t *relay,
                                       const mt_relay_request_t *r) {
  const mt_engine_t *e = NULL;
  if (r->rounds > 0) return next_far_home(relay, r);
  if (r->candidates_count < HOMES) e = next_home(relay, r);
  if (e == NULL) e = best_of_some(relay, r);
  return e;
}
