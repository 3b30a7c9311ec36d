/*
** placement.c - which engine a request goes to, and whether it should
*/
#include <math.h>
#include <string.h>

#include "admission.h"
#include "candidates.h"
#include "placement.h"
#include "quotes.h"

#define FULL_PENALTY_MS 2000.0      /* a slot has to be waited for */
#define MEMORY_PENALTY_MS 1000.0    /* running requests would be preempted */
#define FAILING_PENALTY_MS 50.0     /* one failure in a row */
#define REJECTION_PENALTY_MS 2000.0 /* it rejects every attempt */
#define RUNNING_MS 1.0 /* each running request slows all others a little */
#define ROOM_POWER 3   /* how fast room falls beyond the share */
/* Whoever got so much of the level, and so much of what another backlogged
   workspace got, is refused: well below the twice that is promised, since
   shares are told with a delay. */
#define OVER_LEVEL 1.6
#define OVER_BOTTOM 1.25
#define OVER_LIMIT_MS 2500.0 /* there it would be refused */
/* How full a failure domain was counts for so long; then it is asked again.
 */
#define FULL_MS 2000

static int running (const mt_engine_t *e) {
  return e->local.running + e->peers.running;
}

static int64_t pending_prefill (const mt_engine_t *e) {
  return e->local.pending_prefill + e->peers.pending_prefill;
}

/* What the request's workspace got, as a multiple of its share. */
static double standing_of (mt_relay_t *relay, const mt_relay_request_t *r) {
  if (r->workspace == 0) return 0;
  return mt_fair_share_service_ratio(&relay->shares, r->workspace);
}

/*
** How far a request may leave the engine that keeps its parts, 0 to 1: the
** further the less its workspace got beside the one that got most. Whoever
** had its share stays, since reading parts elsewhere makes all work late.
*/
static double ease_of (mt_relay_t *relay, const mt_relay_request_t *r) {
  double max_service_ratio = fmax(relay->shares.max_service_ratio, 1);
  if (relay->terms.off[MT_RELAY_OWED]) return 0;
  return fmin(fmax(1 - standing_of(relay, r) / max_service_ratio, 0), 1);
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

/* Of the wait limit, at engines of other failure domains. */
static double far_part (mt_relay_t *relay, const mt_relay_request_t *r) {
  bool over = standing_of(relay, r) > 1;
  return over ? relay->terms.far_part_over : relay->terms.far_part;
}

/* {== Costs of engines ================================================= */

/* What is the same for all engines that a request may go to. */
typedef struct costs_t {
  const mt_relay_t *relay;
  const mt_relay_request_t *request;
  const mt_catalog_service_t *service; /* of a model, or NULL */
  mt_prefill_model_t line;
  mt_engine_t *source; /* keeps `there` tokens of the prompt, or NULL */
  int64_t there;
  int64_t unshared; /* tokens of the prompt that only it has */
  double limit, far_limit, ease;
  double reading; /* weight of the time to read, beside a wait */
  mt_placement_t best;
  double best_cost;
} costs_t;

static costs_t begin_costs (mt_relay_t *relay, const mt_relay_request_t *r) {
  const mt_catalog_service_t *service =
      mt_catalog_find_service(relay->catalog, r->service);
  costs_t c = {.relay = relay, .request = r};
  if (service == NULL || !service->model) return c;
  c.service = service;
  c.line = mt_relay_read_line(relay, r->service);
  c.unshared = mt_max(r->tokens_in - mt_kv_cache_shared_tokens(r), 1);
  c.limit = wait_limit(relay, r, service);
  c.far_limit = c.limit * far_part(relay, r);
  c.ease = ease_of(relay, r);
  c.reading = relay->terms.miss_weight * (1 - c.ease) +
              relay->terms.miss_weight_easy * c.ease;
  return c;
}

/*
** How long it may wait there. Bytes between failure domains are dear and work
** abroad displaces what has its parts there, so less; and whoever had its
** share leaves only for engines that are all but idle.
*/
static double limit_at (const costs_t *c, const mt_engine_t *e) {
  return e->remote && c->request->rounds > 1 ? c->far_limit : c->limit;
}

/*
** The expected time to the first event, reading of unkept parts weighed more.
** What is read at a home is read for all that follow: it isn't held against
** the home, or parts would never gather there.
*/
static double model_cost (const costs_t *c, mt_engine_t *e,
                          mt_placement_t *p) {
  const mt_relay_request_t *r = c->request;
  const mt_relay_terms_t *terms = &c->relay->terms;
  int64_t kv_capacity = c->service->kv_capacity;
  int64_t cached = mt_kv_cache_cached_tokens(r, e, kv_capacity);
  mt_kv_fetch_t fetch = mt_kv_cache_plan_fetch(
      c->service, c->source, c->there, e, cached, c->line.ms_per_token);
  int64_t miss = mt_max(r->tokens_in - cached - fetch.tokens, 1);
  bool gathers = e->key == r->home_of_all || e->key == r->home_near;
  int64_t weighed = gathers ? mt_min(miss, c->unshared) : miss;
  double per_token = c->line.ms_per_token * e->slowness;
  double wait = (double)pending_prefill(e) * per_token;
  double read = (double)miss * per_token;
  bool full = running(e) >= e->slots;
  int64_t held = e->local.held + e->peers.held + miss;
  double cost = wait + (double)weighed * per_token * c->reading;
  cost += fetch.ms * terms->move_weight * c->reading;
  if (wait > limit_at(c, e))
    cost += (r->rounds > 1 ? 1 : c->ease) * OVER_LIMIT_MS;
  cost += running(e) * RUNNING_MS;
  if (full) cost += FULL_PENALTY_MS;
  if (kv_capacity > 0 && held > kv_capacity) cost += MEMORY_PENALTY_MS;
  cost += e->failures * FAILING_PENALTY_MS;
  /* An engine that rejects its work is idle, and would attract all of it. */
  cost += mt_engine_rejection_rate(e, c->relay->now) * REJECTION_PENALTY_MS;
  if (e->remote) cost += terms->cross_ms;
  *p = (mt_placement_t){.engine = e,
                        .miss = miss,
                        .wait_ms = wait,
                        .first_ms = c->line.fixed_ms + wait + read + fetch.ms,
                        .full = full,
                        .home = e->key == r->home_of_all,
                        .fetch = fetch};
  return cost;
}

/* The used share of slots, those of the router's own domain first. */
static double plain_cost (const costs_t *c, mt_engine_t *e,
                          mt_placement_t *p) {
  double slots = mt_max(e->slots, 1);
  *p = (mt_placement_t){.engine = e, .full = running(e) >= e->slots};
  return (running(e) + 1) / slots + (e->remote ? 0.5 / slots : 0) +
         e->failures;
}

/* What an engine may end under goes where the least runs that would end with
   it; of several each trial goes to another. */
static double trial_cost (const costs_t *c, const mt_engine_t *e) {
  uint64_t order = mtV_mix(c->request->number, e->key) % 1000;
  return running(e) + (double)order / 1000;
}

/* Keeps the engine if it is better than the best so far. */
static void weigh (costs_t *c, mt_engine_t *e) {
  mt_placement_t p;
  double cost = c->service ? model_cost(c, e, &p) : plain_cost(c, e, &p);
  if (c->request->on_trial) cost = trial_cost(c, e);
  if (c->best.engine != NULL && cost >= c->best_cost) return;
  c->best = p;
  c->best_cost = cost;
}

/* }== */

static bool may_go_to (const mt_relay_t *relay, const mt_relay_request_t *r,
                       const mt_engine_t *e) {
  if (r->trial_engine != 0 && r->trial_engine != e->key) return false;
  return mt_candidates_usable(relay, r, e) &&
         mt_admission_allows(relay, r, e);
}

mt_placement_t mt_placement_choose (mt_relay_t *relay,
                                    const mt_relay_request_t *r) {
  costs_t c = begin_costs(relay, r);
  if (c.service != NULL)
    c.source = mt_kv_cache_find_source(relay, r, c.service, &c.there);
  for (size_t i = 0; i < r->candidates_count; i++) {
    const mt_relay_candidate_t *told = &r->candidates[i];
    mt_engine_t *e = mt_engines_get(&relay->engines, told->engine);
    if (told->quoted && e != NULL && may_go_to(relay, r, e)) weigh(&c, e);
  }
  if (c.best.engine != NULL) return c.best;
  for (size_t i = 0; i < relay->engines.count; i++) {
    mt_engine_t *e = relay->engines.list[i];
    if (may_go_to(relay, r, e)) weigh(&c, e);
  }
  return c.best;
}

bool mt_placement_may_have_room (mt_relay_t *relay,
                                 const mt_relay_request_t *r,
                                 const mt_domain_load_t *load) {
  if (load->told == 0 || relay->now - load->told > FULL_MS) return true;
  costs_t c = begin_costs(relay, r);
  if (c.service == NULL) return true;
  return load->pending_prefill * c.line.ms_per_token <= c.far_limit;
}

mt_engine_t *mt_placement_best_of (mt_relay_t *relay,
                                   const mt_relay_request_t *r,
                                   mt_engine_t *const *engines,
                                   size_t count) {
  costs_t c = begin_costs(relay, r);
  for (size_t i = 0; i < count; i++)
    if (mt_candidates_usable(relay, r, engines[i])) weigh(&c, engines[i]);
  return c.best.engine;
}

/*
** Engines that are idle for a moment would all go to whoever tries most often
** and at most routers, however much it had, where little is left for all.
*/
static bool got_far_more (mt_relay_t *relay, const mt_relay_request_t *r) {
  double min_service_ratio = relay->shares.min_service_ratio;
  double most = fmax(OVER_LEVEL, OVER_BOTTOM * min_service_ratio);
  return min_service_ratio > 0 && standing_of(relay, r) > most;
}

bool mt_placement_admits (mt_relay_t *relay, const mt_relay_request_t *r,
                          const mt_placement_t *p, mt_relay_refusal_t *why) {
  const mt_catalog_service_t *service =
      mt_catalog_find_service(relay->catalog, r->service);
  *why = standing_of(relay, r) > 1 ? MT_RELAY_OVER_SHARE : MT_RELAY_BUSY;
  if (service == NULL || !service->model) return true; /* it sheds itself */
  if (p->full || got_far_more(relay, r)) return false;
  double limit = wait_limit(relay, r, service);
  if (p->engine->remote && r->rounds > 1) limit *= far_part(relay, r);
  return limit <= 0 || p->wait_ms <= limit;
}
