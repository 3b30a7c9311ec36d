/*
** relay_load.c - load, prefill speed, cached segments and reachability of
** engines
*/
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "connects.h"
#include "kv_cache.h"
#include "quotes.h"
#include "relay_load.h"
#include "stream_resume.h"

/* Prefill tokens per ms, if nothing is declared. */
#define DEFAULT_RATE 20.0
/* Slowness of an engine: measured over expected time to first token. */
#define SLOWNESS_DECAY 0.9 /* weight of the old value against a sample */
#define SLOWNESS_MIN 0.7
#define SLOWNESS_MAX 8.0
#define SLOWNESS_RECOVERY 0.998 /* of the distance to 1 left per update */
/* Without probes an unreachable engine gets no request for this long. */
#define UNPROBED_WAIT_MS 800
/* Weight of the old sums of stream lengths against one stream: some hundred
   count. */
#define STREAM_LENGTH_DECAY 0.99
/* A gone engine, with the record of its cache, is kept for this long. */
#define FORGET_MS 10000

/* {== Services ========================================================= */

mt_relay_service_t *mt_relay_service (mt_relay_t *relay, mt_id_t id) {
  mt_relay_service_t *s = mtV_get(&relay->services, id);
  if (s != NULL) return s;
  s = mtV_new(sizeof *s);
  s->id = id;
  mtV_put(&relay->services, id, s);
  return s;
}

/* Declared prefill rate of one engine, or a default, in tokens per ms. */
static double declared_rate (const mt_relay_t *relay,
                             const mt_relay_service_t *s) {
  int64_t total = relay->catalog ? relay->catalog->limits.tokens_per_s : 0;
  if (total <= 0 || s->ready == 0) return DEFAULT_RATE;
  return (double)total / 1000.0 / s->ready;
}

mt_prefill_model_t mt_relay_prefill_time (mt_relay_t *relay,
                                          mt_id_t service) {
  mt_relay_service_t *s = mt_relay_service(relay, service);
  double declared = declared_rate(relay, s);
  if (relay->params.off[MT_RELAY_FIXED_PART])
    return mt_prefill_time_fit_ratio(&s->prefill_time, declared);
  return mt_prefill_time_fit(&s->prefill_time, declared);
}

double mt_relay_prefill_rate (mt_relay_t *relay, mt_id_t service) {
  return 1 / mt_relay_prefill_time(relay, service).ms_per_token;
}

static void learn_own_slowness (mt_engine_t *e, double ratio) {
  e->slowness = e->slowness * SLOWNESS_DECAY + ratio * (1 - SLOWNESS_DECAY);
  e->slowness = fmin(fmax(e->slowness, SLOWNESS_MIN), SLOWNESS_MAX);
}

void mt_relay_learn_prefill (mt_relay_t *relay, mt_relay_request_t *r) {
  mt_relay_service_t *s = mt_relay_service(relay, r->service);
  double took = mt_max((double)(relay->now - r->current.sent), 1.0);
  mt_prefill_model_t model = mt_relay_prefill_time(relay, r->service);
  double expected =
      model.fixed_ms + (double)r->current.work_ahead * model.ms_per_token;
  mt_prefill_time_add(&s->prefill_time, (double)r->current.work_ahead, took);
  if (expected < (double)r->objective / 8) return; /* mostly constant term */
  if (!relay->params.off[MT_RELAY_SLOWNESS])
    learn_own_slowness(r->current.engine, took / mt_max(expected, 1.0));
  if (relay->params.off[MT_RELAY_FLEET_SPEED]) return;
  mt_speed_sums_add(&r->current.engine->measured, expected, took);
  mt_engine_speed_add(&r->current.engine->speed, expected, took, relay->now);
}

static mt_ms_t since_quote (const mt_relay_t *relay, const mt_engine_t *e) {
  return relay->now > e->quoted ? relay->now - e->quoted : 0;
}

double mt_relay_slowness (const mt_relay_t *relay, const mt_engine_t *e) {
  if (relay->params.off[MT_RELAY_FLEET_SPEED]) return e->slowness;
  return mt_speed_slowness(&e->quoted_speed, since_quote(relay, e),
                           e->slowness);
}

/* }== */

/* {== Gaps between the events of streams =============================== */

void mt_relay_learn_gap (mt_relay_t *relay, mt_relay_request_t *r,
                         mt_ms_t gap) {
  const mt_gap_sums_t none = {.count = 0};
  mt_gap_sums_t one = {.count = 0};
  if (relay->params.off[MT_RELAY_PAUSES]) return;
  mt_gap_sums_add(&r->current.engine->measured.gaps, gap);
  mt_gap_sums_add(&one, gap);
  mt_engine_gaps_add(&r->current.engine->speed.gaps, &none, &one, relay->now);
}

mt_gap_figures_t mt_relay_gaps (const mt_relay_t *relay,
                                const mt_engine_t *e) {
  if (relay->params.off[MT_RELAY_PAUSES]) return (mt_gap_figures_t){0};
  return mt_speed_gaps(&e->quoted_speed, since_quote(relay, e));
}

void mt_relay_learn_stream (mt_relay_t *relay, const mt_relay_request_t *r) {
  mt_stream_length_t *l = &mt_relay_service(relay, r->service)->stream_length;
  l->streams = l->streams * STREAM_LENGTH_DECAY + 1;
  l->events = l->events * STREAM_LENGTH_DECAY + (double)r->events_count;
  l->tokens = l->tokens * STREAM_LENGTH_DECAY + (double)r->tokens_expected;
}

/* By its tokens where callers state them, else as many as others have. */
double mt_relay_expected_events (mt_relay_t *relay,
                                 const mt_relay_request_t *r) {
  const mt_stream_length_t *l =
      &mt_relay_service(relay, r->service)->stream_length;
  if (l->streams <= 0) return (double)r->tokens_expected;
  if (r->tokens_expected <= 0 || l->tokens <= 0)
    return l->events / l->streams;
  return (double)r->tokens_expected * l->events / l->tokens;
}

/* }== */

/* {== Load at engines ================================================== */

/* Tokens that the engine is expected to process for the request. */
static int64_t tokens_expected (const mt_relay_request_t *r) {
  return r->current.pending_prefill + r->tokens_out;
}

void mt_relay_add_load (mt_relay_t *relay, mt_relay_request_t *r,
                        const mt_placement_t *p) {
  mt_engine_t *e = p->engine;
  const mt_catalog_service_t *s =
      mt_catalog_find_service(relay->catalog, r->service);
  r->current.engine = e;
  snprintf(r->current.engine_name, sizeof r->current.engine_name, "%s",
           e->name);
  snprintf(r->current.engine_version, sizeof r->current.engine_version, "%s",
           e->version_name != NULL ? e->version_name : "");
  r->current.sent_version = mt_resume_engine_version(relay, e);
  r->current.pending_prefill = p->miss;
  r->current.home = p->home;
  r->current.fetched = p->fetch.tokens;
  int64_t own = r->tokens_in;
  if (r->segments_count > 0) own = r->segments[r->segments_count - 1].tokens;
  r->current.held = own + r->tokens_out;
  r->current.awaiting_event = true;
  r->current.work_ahead =
      e->local.pending_prefill + e->peers.pending_prefill + p->miss;
  r->current.wait_expected = p->wait_ms;
  r->current.ttft_expected = p->ttft_ms;
  r->current.slowness = p->slowness;
  r->current.pause_expected = p->pause_ms;
  e->local.running++;
  e->local.pending_prefill += r->current.pending_prefill;
  e->local.held += r->current.held;
  e->tokens_processed += tokens_expected(r);
  e->cached.clock += tokens_expected(r);
  mt_engine_load_changed(e);
  if (r->segments_count == 0) return;
  mt_rejections_sent(&e->rejections, relay->now);
  if (s == NULL || s->kv_capacity == 0) return;
  mt_prefix_cache_use(&e->cached, r->segments, r->segments_count,
                      s->kv_capacity);
}

/* Takes back what was assumed when the prompt was sent. */
static void withdraw_prompt (mt_relay_t *relay, mt_engine_t *e,
                             const mt_prompt_not_run_t *prompt) {
  e->cached.clock -= prompt->tokens;
  mt_prefix_cache_withdraw(&e->cached, prompt->segments, prompt->count);
  if (prompt->rejected)
    mt_rejections_rejected(&e->rejections, relay->now);
  else
    mt_rejections_not_sent(&e->rejections, relay->now);
}

void mt_relay_prompt_not_run (mt_relay_t *relay, mt_relay_request_t *r,
                              bool rejected) {
  if (r->current.engine == NULL || r->segments_count == 0) return;
  mt_prompt_not_run_t prompt = {.engine = r->current.engine->key,
                                .count = r->segments_count,
                                .tokens = tokens_expected(r),
                                .rejected = rejected};
  memcpy(prompt.segments, r->segments,
         r->segments_count * sizeof *r->segments);
  r->current.engine->tokens_processed -= prompt.tokens;
  withdraw_prompt(relay, r->current.engine, &prompt);
  mt_relay_effect(relay, MT_RELAY_DO_REPORT_NOT_RUN)->u.not_run = prompt;
}

void mt_relay_peer_not_run (mt_relay_t *relay, uint64_t router,
                            const mt_prompt_not_run_t *prompt) {
  mt_engine_t *e = mt_engines_get(&relay->engines, prompt->engine);
  mt_load_table_withdraw(&relay->router_loads, prompt->engine, router,
                         prompt->tokens);
  if (e != NULL) withdraw_prompt(relay, e, prompt);
}

void mt_relay_engine_gone (mt_relay_t *relay, mt_engine_t *e) {
  if (e->state == MT_ENGINE_GONE) return;
  e->state = MT_ENGINE_GONE;
  e->removed_at = relay->now;
  if (relay->log_engine != NULL) relay->log_engine(relay->log_ud, e);
}

void mt_relay_prefill_done (mt_relay_request_t *r) {
  if (r->current.engine == NULL || !r->current.awaiting_event) return;
  r->current.awaiting_event = false;
  r->current.engine->local.pending_prefill -= r->current.pending_prefill;
  mt_engine_load_changed(r->current.engine);
}

void mt_relay_remove_load (mt_relay_request_t *r) {
  if (r->current.engine == NULL) return;
  mt_relay_prefill_done(r);
  r->current.engine->local.running--;
  r->current.engine->local.held -= r->current.held;
  mt_engine_load_changed(r->current.engine);
  r->current.engine = NULL;
}

/* }== */

/* {== Periodic updates ================================================= */

void mt_relay_update_engines (mt_relay_t *relay) {
  mt_quotes_decay(relay);
  mtV_each (&relay->services, i) {
    mt_relay_service_t *s = relay->services.vals[i];
    s->ready = 0;
    mt_service_versions_begin_count(&s->versions);
  }
  for (size_t i = relay->engines.count; i-- > 0;) {
    mt_engine_t *e = relay->engines.list[i];
    e->slowness = 1 + (e->slowness - 1) * SLOWNESS_RECOVERY;
    mt_relay_service_t *s = mt_relay_service(relay, e->service);
    bool ready = mt_engine_is_available(e, relay->now);
    s->ready += ready;
    if (e->state != MT_ENGINE_GONE)
      mt_service_versions_listed(&s->versions, e->version, relay->now);
    mt_service_versions_count_engine(&s->versions, e->version, ready);
    if (e->unlisted_since != 0 && e->state == MT_ENGINE_READY &&
        relay->now - e->unlisted_since >= relay->params.unlisted_grace_ms)
      mt_relay_engine_gone(relay, e);
    if (e->state == MT_ENGINE_GONE && e->local.running == 0 &&
        relay->now - e->removed_at > FORGET_MS)
      mt_engines_remove(&relay->engines, e);
  }
}

/* }== */

/* {== Unreachable engines =============================================== */

/*
** No request is sent to an unreachable engine: waiting for the connection
** could take as long as the request's whole latency objective. The router
** tests the connection without a request.
*/
static void probe_engines (mt_relay_t *relay) {
  for (size_t i = 0; i < relay->engines.active_count; i++) {
    mt_engine_t *e = relay->engines.active[i];
    if (!e->unreachable || e->probing || e->next_probe > relay->now) continue;
    if (!mt_engine_is_available(e, relay->now)) continue;
    if (mt_connects_cut_off(relay, e)) continue; /* probed by domain */
    e->probing = true;
    mt_relay_effect(relay, MT_RELAY_DO_PROBE)->u.probe = e->key;
    relay->counters.probes++;
  }
}

/* Without probes an unreachable engine gets no request for a while; then the
   next request tests it. */
static void end_unprobed_waits (mt_relay_t *relay) {
  for (size_t i = 0; i < relay->engines.active_count; i++) {
    mt_engine_t *e = relay->engines.active[i];
    if (e->next_probe + UNPROBED_WAIT_MS <= relay->now)
      e->unreachable = false;
  }
}

void mt_relay_probe_engines (mt_relay_t *relay) {
  if (relay->params.off[MT_RELAY_PROBE])
    end_unprobed_waits(relay);
  else
    probe_engines(relay);
}

/* }== */

/* {== Owned engines ==================================================== */

/* Merges what a peer has measured since its last report; to be called before
   that one is replaced. */
static void take_speed_report (mt_relay_t *relay, mt_engine_t *e,
                               uint64_t engine, const mt_load_row_t *row) {
  mt_speed_sums_t sums = row->measured;
  if (relay->params.off[MT_RELAY_FLEET_SPEED]) sums.known = false;
  if (relay->params.off[MT_RELAY_PAUSES]) sums.gaps.known = false;
  if (!sums.known && !sums.gaps.known) return;
  const mt_load_row_t *last =
      mt_load_table_find(&relay->router_loads, engine, row->router);
  mt_speed_report_t outcome = MT_SPEED_REPORT_IGNORED;
  if (e != NULL)
    outcome = mt_engine_speed_report(&e->speed, last ? &last->measured : NULL,
                                     &sums, relay->now);
  relay->counters.speed_reports[outcome]++;
}

void mt_relay_update_peer_load (mt_relay_t *relay, uint64_t engine,
                                const mt_load_row_t *row,
                                const mt_prefix_segment_t *segments,
                                size_t count) {
  mt_engine_t *e = mt_engines_get(&relay->engines, engine);
  take_speed_report(relay, e, engine, row);
  int64_t tokens_processed =
      mt_load_table_set(&relay->router_loads, engine, row);
  if (e == NULL) return;
  e->cached.clock += tokens_processed;
  if (count > 0) mt_rejections_sent(&e->rejections, relay->now);
  if (count == 0 || relay->catalog == NULL) return;
  const mt_catalog_service_t *s =
      mt_catalog_find_service(relay->catalog, e->service);
  if (s != NULL && s->kv_capacity > 0)
    mt_prefix_cache_use(&e->cached, segments, count, s->kv_capacity);
}

static mt_speed_figures_t owned_figures (const mt_relay_t *relay,
                                         const mt_engine_t *e) {
  mt_speed_figures_t f = mt_engine_speed_figures(&e->speed, relay->now);
  if (relay->params.off[MT_RELAY_FLEET_SPEED]) f.slowness = 0;
  if (relay->params.off[MT_RELAY_PAUSES]) f.gaps = (mt_gap_figures_t){0};
  return f;
}

mt_relay_quote_t mt_relay_quote (mt_relay_t *relay, uint64_t engine,
                                 uint64_t router,
                                 const mt_prefix_segment_t *segments,
                                 size_t count) {
  mt_relay_quote_t quote = {.engine = engine};
  mt_engine_t *e = mt_engines_get(&relay->engines, engine);
  quote.peers =
      mt_load_table_sum(&relay->router_loads, engine, router, relay->now);
  if (e != NULL) {
    quote.speed = owned_figures(relay, e);
    quote.rejection_rate = mt_rejections_rate(&e->rejections, relay->now);
  }
  if (e == NULL || relay->catalog == NULL) return quote;
  const mt_catalog_service_t *s =
      mt_catalog_find_service(relay->catalog, e->service);
  mt_engine_load_t all =
      mt_load_table_sum(&relay->router_loads, engine, 0, relay->now);
  if (router != 0) {
    /* For the peer that asks, this router's own load is a peer's, too. */
    quote.peers.pending_prefill += e->local.pending_prefill;
    quote.peers.held += e->local.held;
    quote.peers.running += e->local.running;
  }
  if (s == NULL || s->kv_capacity == 0) return quote;
  int64_t room =
      mt_max(s->kv_capacity - e->local.held - all.held, s->kv_capacity / 8);
  quote.cached = mt_prefix_cache_match(&e->cached, segments, count, room);
  uint64_t holder = mt_prefix_holders_find(
      &relay->holders, mt_kv_cache_home_segment(segments, count));
  if (holder != engine) quote.holder = holder;
  return quote;
}

/* }== */
