/*
** placement.c - which engine a request goes to, and whether it should
*/
#include <math.h>
#include <string.h>

#include "placement.h"
#include "quotes.h"

#define FULL_PENALTY_MS 2000.0   /* a slot has to be waited for */
#define MEMORY_PENALTY_MS 1000.0 /* running requests would be preempted */
#define FAILING_PENALTY_MS 50.0  /* one failure in a row */
#define RUNNING_MS 1.0 /* each running request slows all others a little */
#define ROOM_POWER 3   /* how fast room falls beyond the share */
#define OVER_LIMIT_MS 2500.0 /* there it would be refused */

static bool was_tried (const mt_relay_request_t *r, uint64_t key) {
  for (int i = 0; i < r->tried_count; i++)
    if (r->tried[i] == key) return true;
  return false;
}

static bool usable (const mt_relay_t *relay, const mt_relay_request_t *r,
                    const mt_engine_t *e) {
  if (e->service != r->service || e->state != MT_ENGINE_READY) return false;
  if (e->unreachable) return false;
  if (e->hold > relay->now && !relay->terms.off[MT_RELAY_REST]) return false;
  return !was_tried(r, e->key);
}

static int running (const mt_engine_t *e) {
  return e->here.running + e->peers.running;
}

static int64_t unread (const mt_engine_t *e) {
  return e->here.unread + e->peers.unread;
}

/*
** Every router finds the same home for a part without being told: the engine
** with the greatest hash of both. `but` leaves one out: the second home.
*/
static mt_engine_t *find_home (mt_relay_t *relay, const mt_relay_request_t *r,
                               const mt_engine_t *but) {
  uint64_t part = mt_prompt_memory_home_part(r->parts, r->parts_count),
           best_weight = 0;
  if (relay->terms.off[MT_RELAY_HOME]) return NULL;
  mt_engine_t *best = NULL;
  for (size_t i = 0; part != 0 && i < relay->engines.count; i++) {
    mt_engine_t *e = relay->engines.list[i];
    if (e->service != r->service || e->state != MT_ENGINE_READY) continue;
    if (e == but) continue;
    uint64_t weight = mtV_mix(part, e->key);
    if (best != NULL && weight <= best_weight) continue;
    best = e;
    best_weight = weight;
  }
  return best;
}

/* What the request's workspace got, as a multiple of its share. */
static double standing_of (mt_relay_t *relay, const mt_relay_request_t *r) {
  if (r->workspace == 0) return 0;
  return mt_fair_share_standing(&relay->shares, r->workspace);
}

/*
** How far a request may leave the engine that keeps its parts, 0 to 1: the
** further the less its workspace got beside the one that got most. Whoever
** had its share stays, since reading parts elsewhere makes all work late.
*/
static double ease_of (mt_relay_t *relay, const mt_relay_request_t *r) {
  double top = fmax(relay->shares.top, 1);
  if (relay->terms.off[MT_RELAY_OWED]) return 0;
  return fmin(fmax(1 - standing_of(relay, r) / top, 0), 1);
}

/*
** How long the request may wait at an engine: a part of the service's
** shortest objective, less for a longer objective, and less the more its
** workspace has had beyond its share. An engine with little wait has room
** for all, yet more for whoever had less: else who asks most often would get
** most of the room.
*/
static double wait_limit (mt_relay_t *relay, const mt_relay_request_t *r,
                          const mt_catalog_service_t *service) {
  const mt_relay_terms_t *terms = &relay->terms;
  mt_ms_t shortest = service->objective ? service->objective : r->objective;
  double limit = (double)shortest * terms->wait_part;
  double standing = standing_of(relay, r);
  if (r->objective > shortest)
    limit *=
        pow((double)shortest / (double)r->objective, terms->urgency_power);
  if (standing > 1)
    limit *= fmax(pow(standing, -terms->over_power),
                  terms->room_part * pow(standing, -ROOM_POWER));
  return limit;
}

/* Which engines are looked at. */
typedef enum pick_t {
  PICK_ANY,
  PICK_QUOTED, /* those whose keepers answered */
  PICK_UNASKED /* those whose keepers were not asked */
} pick_t;

static bool picked (pick_t pick, const mt_relay_request_t *r,
                    const mt_engine_t *e) {
  const mt_relay_candidate_t *told = mt_quotes_find(r, e->key);
  switch (pick) {
    case PICK_ANY: return true;
    case PICK_QUOTED: return told != NULL && told->quoted;
    case PICK_UNASKED: return told == NULL;
  }
  return true;
}

static mt_placement_t choose_model (mt_relay_t *relay,
                                    const mt_relay_request_t *r,
                                    const mt_catalog_service_t *service,
                                    pick_t pick) {
  mt_placement_t best = {.engine = NULL};
  double best_cost = 0;
  mt_read_line_t line = mt_relay_read_line(relay, r->service);
  double rate = 1 / line.ms_per_token;
  mt_engine_t *home = find_home(relay, r, NULL);
  int64_t there;
  mt_engine_t *source = mt_prompt_memory_source(relay, r, service, &there);
  int64_t memory = service->memory;
  /* What is read at home is read for all that follow: it isn't held against
     the home, or parts would never gather there. */
  int64_t unshared = mt_max(r->tokens_in - mt_prompt_memory_shared(r), 1);
  double limit = wait_limit(relay, r, service), ease = ease_of(relay, r);
  double reading = relay->terms.miss_weight * (1 - ease) +
                   relay->terms.miss_weight_easy * ease;
  for (size_t i = 0; i < relay->engines.count; i++) {
    mt_engine_t *e = relay->engines.list[i];
    if (!usable(relay, r, e) || !picked(pick, r, e)) continue;
    int64_t kept = mt_prompt_memory_kept(r, e, memory);
    mt_fetch_t fetch = mt_prompt_memory_fetch(service, source, there, e, kept,
                                              line.ms_per_token);
    int64_t miss = mt_max(r->tokens_in - kept - fetch.tokens, 1);
    int64_t weighed = e == home ? mt_min(miss, unshared) : miss;
    double wait = (double)unread(e) / rate * e->slowness;
    bool full = running(e) >= e->slots;
    int64_t held = e->here.held + e->peers.held + miss;
    double read = (double)miss / rate * e->slowness;
    double first = line.fixed_ms + wait + read + fetch.ms;
    double cost = wait + (double)weighed / rate * e->slowness * reading;
    cost += fetch.ms * relay->terms.move_weight * reading;
    if (wait > limit) cost += ease * OVER_LIMIT_MS;
    cost += running(e) * RUNNING_MS;
    if (full) cost += FULL_PENALTY_MS;
    if (memory > 0 && held > memory) cost += MEMORY_PENALTY_MS;
    cost += e->failures * FAILING_PENALTY_MS;
    if (best.engine != NULL && cost >= best_cost) continue;
    best = (mt_placement_t){e, miss, wait, first, full, e == home, fetch};
    best_cost = cost;
  }
  return best;
}

static mt_placement_t
choose_plain (mt_relay_t *relay, const mt_relay_request_t *r, pick_t pick) {
  mt_placement_t best = {.engine = NULL};
  double best_cost = 0;
  for (size_t i = 0; i < relay->engines.count; i++) {
    mt_engine_t *e = relay->engines.list[i];
    if (!usable(relay, r, e) || !picked(pick, r, e)) continue;
    bool near = e->domain != NULL && strcmp(e->domain, relay->domain) == 0;
    double cost = (double)(running(e) + 1) / mt_max(e->slots, 1);
    cost += near ? 0 : 0.5 / mt_max(e->slots, 1);
    cost += e->failures;
    if (best.engine != NULL && cost >= best_cost) continue;
    best = (mt_placement_t){.engine = e, .full = running(e) >= e->slots};
    best_cost = cost;
  }
  return best;
}

static mt_placement_t choose (mt_relay_t *relay, const mt_relay_request_t *r,
                              pick_t pick) {
  const mt_catalog_service_t *service =
      mt_catalog_service(relay->catalog, r->service);
  if (service != NULL && service->model)
    return choose_model(relay, r, service, pick);
  return choose_plain(relay, r, pick);
}

mt_placement_t mt_placement_choose (mt_relay_t *relay,
                                    const mt_relay_request_t *r) {
  if (mt_quotes_any(r)) {
    mt_placement_t told = choose(relay, r, PICK_QUOTED);
    if (told.engine != NULL) return told;
  }
  return choose(relay, r, PICK_ANY);
}

const mt_engine_t *mt_placement_home (mt_relay_t *relay,
                                      const mt_relay_request_t *r) {
  return find_home(relay, r, NULL);
}

const mt_engine_t *mt_placement_candidate (mt_relay_t *relay,
                                           const mt_relay_request_t *r) {
  const mt_engine_t *home = NULL;
  if (r->parts_count > 0 && r->candidates_count < 2)
    home = find_home(relay, r, NULL);
  if (home != NULL && r->candidates_count == 1)
    home = relay->terms.off[MT_RELAY_SECOND_HOME] ? NULL
                                                  : find_home(relay, r, home);
  if (home != NULL && usable(relay, r, home) && !mt_quotes_find(r, home->key))
    return home;
  return choose(relay, r, PICK_UNASKED).engine;
}

bool mt_placement_admits (mt_relay_t *relay, const mt_relay_request_t *r,
                          const mt_placement_t *p, mt_relay_refusal_t *why) {
  const mt_catalog_service_t *service =
      mt_catalog_service(relay->catalog, r->service);
  *why = standing_of(relay, r) > 1 ? MT_RELAY_OVER_SHARE : MT_RELAY_BUSY;
  if (service == NULL || !service->model) return true; /* it sheds itself */
  if (p->full) return false;
  double limit = wait_limit(relay, r, service);
  return limit <= 0 || p->wait_ms <= limit;
}
