/*
** placement.c - chooses the engine for a request, or finds no room for it
*/
#include <math.h>
#include <string.h>

#include "admission.h"
#include "candidates.h"
#include "placement.h"
#include "quotes.h"
#include "stream_resume.h"
#include "wait_limit.h"

/* Terms of an engine's cost, in ms of expected time to first token. */
#define FULL_PENALTY_MS 2000.0      /* no free slot */
#define MEMORY_PENALTY_MS 1000.0    /* running requests would be preempted */
#define FAILURE_PENALTY_MS 50.0     /* per failure in a row */
#define SILENCE_PENALTY_MS 1000.0   /* the engine sends nothing at present */
#define REJECTION_PENALTY_MS 2000.0 /* times the rejection rate */
#define INVALID_PENALTY_MS 2000.0   /* times the rate of invalid responses */
#define RUNNING_PENALTY_MS 1.0 /* per running request, each slows others */
/* near_idle_fraction falls with this power of the service ratio. */
#define NEAR_IDLE_POWER 3
/* A workspace is refused if its service ratio is above the first value and
   above the second times that of the least served backlogged workspace. Both
   are well below the guaranteed bound of 2, since routers receive each
   other's rates with a delay. */
#define OVER_LEVEL_RATIO 1.6
#define OVER_MIN_RATIO 1.25
/* A stream that breaks off at an engine whose version cannot be told cannot
   go on. */
#define UNKNOWN_VERSION_PENALTY_MS 100.0
/* Times the fraction of a version's engines that have left: a stream that is
   broken off goes on only while engines of its version serve. */
#define LEAVING_PENALTY_MS 50.0
/* Beyond the wait limit the request would be refused. */
#define OVER_LIMIT_PENALTY_MS 2500.0
/* The load of a failure domain is used for this long; when it is older the
   domain is asked again. */
#define DOMAIN_LOAD_VALID_MS 2000

static int running (const mt_engine_t *e) {
  return e->local.running + e->peers.running;
}

static int64_t pending_prefill (const mt_engine_t *e) {
  return e->local.pending_prefill + e->peers.pending_prefill;
}

/* Service ratio of the request's workspace; 0 without one. */
static double service_ratio_of (mt_relay_t *relay,
                                const mt_relay_request_t *r) {
  if (r->workspace == 0) return 0;
  return mt_fair_share_service_ratio(&relay->shares, r->workspace);
}

/*
** The ratio that counts at engines that reject most requests, or at others.
** While engines reject, room at those that do not is what there is to share,
** by the level of what is accepted.
*/
static double service_ratio_at (mt_relay_t *relay,
                                const mt_relay_request_t *r, bool rejecting) {
  if (rejecting || r->workspace == 0) return service_ratio_of(relay, r);
  return mt_fair_share_accepted_ratio(&relay->shares, r->workspace);
}

/*
** How much prefix locality is relaxed for a request, 0 to 1: 1 for a
** workspace that was served nothing, 0 for the one with the highest service
** ratio: prefill that an engine with the segments cached would not need
** delays the work of all workspaces, so workspaces that had their share keep
** to such engines.
*/
static double relaxation_of (mt_relay_t *relay, const mt_relay_request_t *r) {
  double max_service_ratio = fmax(relay->shares.max_service_ratio, 1);
  if (relay->params.off[MT_RELAY_RELAX_LOCALITY]) return 0;
  return fmin(fmax(1 - service_ratio_of(relay, r) / max_service_ratio, 0), 1);
}

/*
** Longest expected wait at an engine, in ms: a fraction of the service's
** shortest objective; less for a longer objective, and less the higher the
** workspace's service ratio above 1. A small part of the limit
** (near_idle_fraction) falls more slowly, so that nearly idle engines have
** room for all; it falls as well, or the workspace that sends most would get
** most of that room.
*/
static double wait_limit (mt_relay_t *relay, const mt_relay_request_t *r,
                          const mt_catalog_service_t *service,
                          double service_ratio) {
  const mt_relay_params_t *params = &relay->params;
  mt_ms_t shortest = service->objective ? service->objective : r->objective;
  double limit = (double)shortest * params->wait_fraction;
  if (r->objective > shortest)
    limit *=
        pow((double)shortest / (double)r->objective, params->objective_power);
  if (service_ratio > 1)
    limit *= fmax(pow(service_ratio, -params->over_share_power),
                  params->near_idle_fraction *
                      pow(service_ratio, -NEAR_IDLE_POWER));
  return limit;
}

/* Fraction of the wait limit that applies in remote failure domains. */
static double remote_wait_fraction (mt_relay_t *relay,
                                    const mt_relay_request_t *r) {
  bool over = service_ratio_of(relay, r) > 1;
  return over ? relay->params.remote_wait_fraction_over_share
              : relay->params.remote_wait_fraction;
}

/* {== Costs of engines ================================================= */

/* Search for the engine with the least cost for one request. */
typedef struct costs_t {
  mt_relay_t *relay;
  const mt_relay_request_t *request;
  const mt_catalog_service_t *service; /* of a language model, or NULL */
  mt_prefill_model_t prefill;
  const mt_service_versions_t *versions; /* of the service */
  bool may_fetch;                        /* engines may fetch KV cache */
  /* Engine that those of `source_version` can fetch from, or NULL; prompt
     tokens cached there. */
  mt_id_t source_version; /* 0: not looked for yet */
  mt_engine_t *source;
  int64_t source_tokens;
  int64_t unshared; /* tokens of the last segment */
  /* Wait limits in ms, at engines that reject most requests and at others;
     the fraction of them that applies in remote failure domains. */
  double rejecting_limit, limit, remote_fraction;
  double relaxation;  /* how much prefix locality is relaxed, 0 to 1 */
  double miss_factor; /* weight of prefill time against waiting time */
  double events;      /* expected in the response; 0: unknown */
  /* So far: without the costs of pauses, and with them, of engines that have
     room. */
  mt_placement_t best, calmest;
  double best_cost, calmest_cost;
} costs_t;

/*
** Cost of gaps between events that are over the request's target, in ms of
** expected time to first token. A stream that will be late by a gap is worth
** no more than one whose first event is late by a whole objective. While the
** prompt is prefilled between the steps of the streams that run there, these
** have gaps over the target at the same rate, and those that are late by them
** count as much.
*/
static double pause_cost (const costs_t *c, const mt_engine_t *e,
                          double prefill_ms) {
  const mt_relay_request_t *r = c->request;
  if (r->pause == 0) return 0;
  mt_gap_figures_t gaps = mt_relay_gaps(c->relay, e);
  if (gaps.mean_ms <= 0) return 0;
  double target = (double)r->pause;
  double late = mt_gap_late_fraction(&gaps, c->events, target);
  double events_meanwhile = 1 + prefill_ms / gaps.mean_ms;
  late += running(e) * mt_gap_late_fraction(&gaps, events_meanwhile, target);
  return late * (double)r->objective;
}

static costs_t begin_costs (mt_relay_t *relay, const mt_relay_request_t *r) {
  const mt_catalog_service_t *service =
      mt_catalog_find_service(relay->catalog, r->service);
  costs_t c = {.relay = relay, .request = r};
  if (service == NULL || !service->model) return c;
  c.service = service;
  c.prefill = mt_relay_prefill_time(relay, r->service);
  c.versions = &mt_relay_service(relay, r->service)->versions;
  c.unshared = mt_max(r->tokens_in - mt_kv_cache_shared_tokens(r), 1);
  c.events = r->pause > 0 ? mt_relay_expected_events(relay, r) : 0;
  c.limit = wait_limit(relay, r, service, service_ratio_at(relay, r, false));
  c.rejecting_limit =
      wait_limit(relay, r, service, service_ratio_at(relay, r, true));
  c.remote_fraction = remote_wait_fraction(relay, r);
  c.relaxation = relaxation_of(relay, r);
  c.miss_factor = relay->params.miss_weight * (1 - c.relaxation) +
                  relay->params.miss_weight_relaxed * c.relaxation;
  return c;
}

/* Reduces a wait limit by what the request itself needs at an engine until
   its first token, in ms. */
static double limit_in_time (const mt_relay_t *relay,
                             const mt_relay_request_t *r, double limit,
                             double own_ms) {
  const mt_relay_params_t *params = &relay->params;
  return mt_wait_limit_in_time(
      &(mt_wait_case_t){.limit = limit,
                        .objective = (double)r->objective,
                        .ttft_fraction = params->ttft_fraction,
                        .own = own_ms});
}

/*
** Wait limit at the engine. It is lower in remote failure domains, where the
** request costs traffic between domains and displaces cached segments of the
** requests there; beyond the fair share only nearly idle remote engines are
** used.
*/
static double limit_at (const costs_t *c, const mt_engine_t *e) {
  bool rejecting = mt_engine_is_rejecting(e, c->relay->now);
  double limit = rejecting ? c->rejecting_limit : c->limit;
  bool in_remote_round = e->remote && c->request->rounds > 1;
  return in_remote_round ? limit * c->remote_fraction : limit;
}

static double expected_pause (const costs_t *c, const mt_engine_t *e) {
  mt_gap_figures_t gaps = mt_relay_gaps(c->relay, e);
  return c->request->pause > 0 ? mt_gap_longest(&gaps, c->events) : 0;
}

/* Finds the engine to fetch from again when the version differs from that of
   the last engine. */
static void find_source (costs_t *c, const mt_engine_t *e) {
  if (!c->may_fetch || e->version == c->source_version) return;
  c->source_version = e->version;
  c->source = mt_kv_cache_find_source(c->relay, c->request, c->service,
                                      e->version, &c->source_tokens);
}

/*
** For a hedge: how long ago a response of the engine last began or went on,
** ms. The attempt beside it may be given up for the hedge, and engines fall
** silent together: one that is seen to work is worth more than an idle one.
*/
static double stall_ms (const costs_t *c, const mt_engine_t *e) {
  if (c->request->current.engine == NULL) return 0;
  double stalled = (double)(c->relay->now - e->last_progress);
  return fmin(stalled, SILENCE_PENALTY_MS);
}

/*
** Expected time to first token, with the prefill of uncached tokens weighted
** more, and penalties. At a home the prefill of shared segments is not
** weighted: all later requests reuse it, and the segments would otherwise
** never be cached there.
*/
static double model_cost (costs_t *c, mt_engine_t *e, mt_placement_t *p) {
  const mt_relay_request_t *r = c->request;
  const mt_relay_params_t *params = &c->relay->params;
  int64_t kv_capacity = c->service->kv_capacity;
  int64_t cached = mt_kv_cache_cached_tokens(r, e, kv_capacity);
  find_source(c, e);
  mt_kv_fetch_t fetch =
      mt_kv_cache_plan_fetch(c->service, c->source, c->source_tokens, e,
                             cached, c->prefill.ms_per_token);
  int64_t miss = mt_max(r->tokens_in - cached - fetch.tokens, 1);
  bool is_home = e->key == r->home_global || e->key == r->home_local;
  int64_t weighted = is_home ? mt_min(miss, c->unshared) : miss;
  double slowness = mt_relay_slowness(c->relay, e);
  double per_token = c->prefill.ms_per_token * slowness;
  double wait = (double)pending_prefill(e) * per_token;
  double prefill = (double)miss * per_token;
  bool full = running(e) >= e->slots;
  int64_t held = e->local.held + e->peers.held + miss;
  double cost = wait + (double)weighted * per_token * c->miss_factor;
  cost += fetch.ms * params->kv_transfer_weight * c->miss_factor;
  double own = c->prefill.fixed_ms + prefill + fetch.ms;
  bool over_limit = wait > limit_in_time(c->relay, r, limit_at(c, e), own);
  if (over_limit)
    cost += (r->rounds > 1 ? 1 : c->relaxation) * OVER_LIMIT_PENALTY_MS;
  cost += running(e) * RUNNING_PENALTY_MS;
  if (full) cost += FULL_PENALTY_MS;
  if (kv_capacity > 0 && held > kv_capacity) cost += MEMORY_PENALTY_MS;
  cost += e->failures * FAILURE_PENALTY_MS;
  if (mt_engine_is_silent(e, c->relay->now)) cost += SILENCE_PENALTY_MS;
  cost += stall_ms(c, e);
  if (mt_resume_engine_version(c->relay, e) == 0)
    cost += UNKNOWN_VERSION_PENALTY_MS;
  if (!r->bound)
    cost += LEAVING_PENALTY_MS *
            mt_service_versions_leaving(c->versions, e->version);
  /* An engine that rejects requests looks idle, and would attract more. */
  cost += mt_engine_rejection_rate(e, c->relay->now) * REJECTION_PENALTY_MS;
  cost += mt_engine_invalid_rate(e, c->relay->now) * INVALID_PENALTY_MS;
  if (e->remote) cost += params->cross_domain_ms;
  *p = (mt_placement_t){.engine = e,
                        .miss = miss,
                        .wait_ms = wait,
                        .ttft_ms = own + wait,
                        .slowness = slowness,
                        .pause_ms = expected_pause(c, e),
                        .full = full,
                        .has_room = !full && !over_limit,
                        .pause_cost = pause_cost(c, e, prefill),
                        .home = e->key == r->home_global,
                        .fetch = fetch};
  return cost;
}

/* Fraction of the slots in use with this request, for a remote engine half a
   slot more; plus the engine's failures in a row, 1 while it is silent, up to
   1 for a stall and for the rate of its invalid responses. */
static double slot_cost (const costs_t *c, mt_engine_t *e,
                         mt_placement_t *p) {
  double slots = mt_max(e->slots, 1);
  *p = (mt_placement_t){.engine = e, .full = running(e) >= e->slots};
  return (running(e) + 1) / slots + (e->remote ? 0.5 / slots : 0) +
         e->failures + mt_engine_is_silent(e, c->relay->now) +
         stall_ms(c, e) / SILENCE_PENALTY_MS +
         mt_engine_invalid_rate(e, c->relay->now);
}

/* A suspect request, which may crash the engine, goes where the fewest
   requests run; the request number breaks ties, so that trials use different
   engines. */
static double trial_cost (const costs_t *c, const mt_engine_t *e) {
  uint64_t order = mtV_mix(c->request->number, e->key) % 1000;
  return running(e) + (double)order / 1000;
}

static void keep_cheaper (mt_placement_t *best, double *best_cost,
                          const mt_placement_t *p, double cost) {
  if (best->engine != NULL && cost >= *best_cost) return;
  *best = *p;
  *best_cost = cost;
}

/* Keeps the engine if its cost is the least so far. */
static void consider (costs_t *c, mt_engine_t *e) {
  mt_placement_t p;
  double cost = c->service ? model_cost(c, e, &p) : slot_cost(c, e, &p);
  if (c->request->on_trial) cost = trial_cost(c, e);
  keep_cheaper(&c->best, &c->best_cost, &p, cost);
  if (p.has_room)
    keep_cheaper(&c->calmest, &c->calmest_cost, &p, cost + p.pause_cost);
}

/* Pauses decide among engines with room alone: they never lead to one that
   refuses the request. */
static mt_placement_t result_of (const costs_t *c) {
  bool by_pauses = c->best.has_room && !c->request->on_trial;
  return by_pauses ? c->calmest : c->best;
}

/* }== */

static bool may_go_to (const mt_relay_t *relay, const mt_relay_request_t *r,
                       const mt_engine_t *e) {
  if (r->trial_engine != 0 && r->trial_engine != e->key) return false;
  return mt_candidates_usable(relay, r, e) &&
         mt_admission_allows(relay, r, e);
}

/* True if the request has an attempt that is silent, and the engine has not
   gone on since: a hedge may be as silent there. */
static bool may_be_silent_too (const mt_relay_request_t *r,
                               const mt_engine_t *e) {
  return r->current.engine != NULL &&
         e->last_progress <= r->current.last_received;
}

static void consider_all (costs_t *c, mt_engine_t *const *engines,
                          size_t count) {
  for (size_t i = 0; i < count; i++)
    if (may_go_to(c->relay, c->request, engines[i])) consider(c, engines[i]);
}

mt_placement_t mt_placement_choose (mt_relay_t *relay,
                                    const mt_relay_request_t *r) {
  costs_t c = begin_costs(relay, r);
  c.may_fetch = c.service != NULL;
  for (size_t i = 0; i < r->candidates_count; i++) {
    const mt_relay_candidate_t *candidate = &r->candidates[i];
    mt_engine_t *e = mt_engines_get(&relay->engines, candidate->engine);
    if (candidate->quoted && e != NULL && may_go_to(relay, r, e))
      consider(&c, e);
  }
  const mt_engines_t *engines = &relay->engines;
  if (c.best.engine == NULL)
    consider_all(&c, engines->list, engines->count);
  else if (may_be_silent_too(r, c.best.engine))
    consider_all(&c, engines->active, engines->active_count);
  return result_of(&c);
}

bool mt_placement_may_have_room (mt_relay_t *relay,
                                 const mt_relay_request_t *r,
                                 const mt_domain_load_t *load) {
  if (load->quoted_at == 0 ||
      relay->now - load->quoted_at > DOMAIN_LOAD_VALID_MS)
    return true;
  costs_t c = begin_costs(relay, r);
  if (c.service == NULL) return true;
  double wait = load->pending_prefill * c.prefill.ms_per_token;
  return wait <= c.limit * c.remote_fraction;
}

mt_engine_t *mt_placement_best_of (mt_relay_t *relay,
                                   const mt_relay_request_t *r,
                                   mt_engine_t *const *engines,
                                   size_t count) {
  costs_t c = begin_costs(relay, r);
  for (size_t i = 0; i < count; i++)
    if (mt_candidates_usable(relay, r, engines[i])) consider(&c, engines[i]);
  return result_of(&c).engine;
}

/*
** True if the request is refused even at an idle engine: under overload the
** workspace that sends most often, and through most routers, would otherwise
** get every engine that is idle for a moment, however much it was served.
*/
static bool is_far_over_share (mt_relay_t *relay,
                               const mt_relay_request_t *r) {
  double min_service_ratio = relay->shares.min_service_ratio;
  double limit = fmax(OVER_LEVEL_RATIO, OVER_MIN_RATIO * min_service_ratio);
  return min_service_ratio > 0 && service_ratio_of(relay, r) > limit;
}

/* True for a stream that is known to have begun: what its caller holds would
   be lost, and only the engines of its version have room for it. */
static bool goes_on (const mt_relay_request_t *r) {
  return r->resumes_stream && (r->origin_source == MT_ORIGIN_LOCAL ||
                               r->origin_source == MT_ORIGIN_OWNER ||
                               r->origin_source == MT_ORIGIN_RECORD);
}

bool mt_placement_admits (mt_relay_t *relay, const mt_relay_request_t *r,
                          const mt_placement_t *p, mt_relay_refusal_t *why) {
  const mt_catalog_service_t *service =
      mt_catalog_find_service(relay->catalog, r->service);
  double service_ratio = service_ratio_at(
      relay, r, mt_engine_is_rejecting(p->engine, relay->now));
  *why = service_ratio > 1 ? MT_RELAY_OVER_SHARE : MT_RELAY_BUSY;
  if (service == NULL || !service->model)
    return true; /* its engines reject what they have no room for */
  if (is_far_over_share(relay, r)) return false;
  if (goes_on(r)) return true;
  if (p->full) return false;
  double limit = wait_limit(relay, r, service, service_ratio);
  if (p->engine->remote && r->rounds > 1)
    limit *= remote_wait_fraction(relay, r);
  limit = limit_in_time(relay, r, limit, p->ttft_ms - p->wait_ms);
  return limit <= 0 || p->wait_ms <= limit;
}
