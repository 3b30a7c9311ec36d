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
** in an order of its own. While all looked at all, and in the same order, all
** routers went to the same few of 160 engines: the busiest got 1.60 times the
** mean; and a question took a router longer the more engines there were.
*/
#define LOOKED_AT_MOST 16

static bool was_tried (const mt_relay_request_t *r, uint64_t key) {
  for (int i = 0; i < r->tried_count; i++)
    if (r->tried[i] == key) return true;
  return false;
}

bool mt_candidates_usable (const mt_relay_t *relay,
                           const mt_relay_request_t *r,
                           const mt_engine_t *e) {
  if (e->service != r->service || e->state != MT_ENGINE_READY) return false;
  if (e->unreachable || e->evacuated) return false;
  if (e->hold > relay->now && !relay->terms.off[MT_RELAY_REST]) return false;
  return !was_tried(r, e->key);
}

/* {== Homes ============================================================ */

/* An engine that may be home, and the greatest hash so far. */
typedef struct home_t {
  uint64_t key, weight;
} home_t;

static void keep_heavier (home_t *home, uint64_t key, uint64_t weight) {
  if (home->key != 0 && weight <= home->weight) return;
  *home = (home_t){key, weight};
}

/*
** Every router finds the same homes without being told: the engines with the
** greatest hash of part and engine. `but` leaves one out.
*/
static void find_homes (const mt_relay_t *relay, const mt_relay_request_t *r,
                        uint64_t but, home_t *of_all, home_t *near) {
  uint64_t part = mt_prompt_memory_home_part(r->parts, r->parts_count);
  *of_all = *near = (home_t){0, 0};
  if (part == 0 || relay->terms.off[MT_RELAY_HOME]) return;
  for (size_t i = 0; i < relay->engines.count; i++) {
    const mt_engine_t *e = relay->engines.list[i];
    if (e->service != r->service || e->state != MT_ENGINE_READY) continue;
    if (e->key == but || e->evacuated) continue;
    uint64_t weight = mtV_mix(part, e->key);
    keep_heavier(of_all, e->key, weight);
    if (!e->far) keep_heavier(near, e->key, weight);
  }
}

void mt_candidates_find_homes (mt_relay_t *relay, mt_relay_request_t *r) {
  home_t of_all, near;
  find_homes(relay, r, 0, &of_all, &near);
  r->home_of_all = of_all.key;
  r->home_near = near.key;
}

/* An engine that may be asked about: usable, and not asked yet. */
static const mt_engine_t *
askable (mt_relay_t *relay, const mt_relay_request_t *r, uint64_t key) {
  const mt_engine_t *e = mt_engines_get(&relay->engines, key);
  if (e == NULL || mt_quotes_find(r, key) != NULL) return NULL;
  return mt_candidates_usable(relay, r, e) ? e : NULL;
}

/* The own domain's home, that of all, and where both are one its second. */
static const mt_engine_t *next_home (mt_relay_t *relay,
                                     const mt_relay_request_t *r) {
  const mt_engine_t *near = askable(relay, r, r->home_near);
  const mt_engine_t *of_all = askable(relay, r, r->home_of_all);
  home_t second, second_near;
  if (near != NULL) return near;
  if (of_all != NULL) return of_all;
  if (r->home_near != r->home_of_all) return NULL;
  if (relay->terms.off[MT_RELAY_SECOND_HOME]) return NULL;
  find_homes(relay, r, r->home_near, &second, &second_near);
  return askable(relay, r, second_near.key);
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
** The best of some engines on one side of the domain's border. With few
** engines these are all, and the router knows them well.
*/
static const mt_engine_t *
best_of_some (mt_relay_t *relay, const mt_relay_request_t *r, bool far) {
  mt_engine_t *some[LOOKED_AT_MOST];
  size_t found = 0, count = relay->engines.count;
  size_t start = count ? mtV_hash(r->id, strlen(r->id)) % count : 0;
  bool cold = asks_cold(relay, r);
  for (size_t i = 0; i < count && found < LOOKED_AT_MOST; i++) {
    mt_engine_t *e = relay->engines.list[(start + i) % count];
    if (e->far != far || e->service != r->service) continue;
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
  if (r->rounds > 0) return best_of_some(relay, r, true);
  if (r->candidates_count < 2) e = next_home(relay, r);
  if (e == NULL) e = best_of_some(relay, r, false);
  /* Without an engine in the own domain the others come at once. */
  if (e == NULL && r->home_near == 0) e = best_of_some(relay, r, true);
  return e;
}
