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

/* Prefill tokens per ms, if nothing is declared. */
#define DEFAULT_RATE 20.0
/* Slowness of an engine: measured over expected time to first token. */
#define SLOWNESS_DECAY 0.9 /* weight of the old value against a sample */
#define SLOWNESS_MIN 0.7
#define SLOWNESS_MAX 8.0
#define SLOWNESS_RECOVERY 0.998 /* of the distance to 1 left per update */
/* Without probes an unreachable engine gets no request for this long. */
#define UNPROBED_WAIT_MS 800
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

void mt_relay_learn_prefill (mt_relay_t *relay, mt_relay_request_t *r) {
  mt_relay_service_t *s = mt_relay_service(relay, r->service);
  double took = mt_max((double)(relay->now - r->sent), 1.0);
  mt_prefill_model_t model = mt_relay_prefill_time(relay, r->service);
  double expected =
      model.fixed_ms + (double)r->work_ahead * model.ms_per_token;
  mt_prefill_time_add(&s->prefill_time, (double)r->work_ahead, took);
  double ratio = took / mt_max(expected, 1.0);
  if (relay->params.off[MT_RELAY_SLOWNESS]) return;
  if (expected < (double)r->objective / 8) return; /* mostly constant term */
  mt_engine_t *e = r->engine;
  e->slowness = e->slowness * SLOWNESS_DECAY + ratio * (1 - SLOWNESS_DECAY);
  e->slowness = fmin(fmax(e->slowness, SLOWNESS_MIN), SLOWNESS_MAX);
}

/* }== */

/* {== Load at engines ================================================== */

void mt_relay_add_load (mt_relay_t *relay, mt_relay_request_t *r,
                        const mt_placement_t *p) {
  mt_engine_t *e = p->engine;
  const mt_catalog_service_t *s =
      mt_catalog_find_service(relay->catalog, r->service);
  r->engine = e;
  snprintf(r->engine_name, sizeof r->engine_name, "%s", e->name);
  r->pending_prefill = p->miss;
  r->home = p->home;
  r->fetched = p->fetch.tokens;
  int64_t own = r->tokens_in;
  if (r->segments_count > 0) own = r->segments[r->segments_count - 1].tokens;
  r->held = own + r->tokens_out;
  r->awaiting_event = true;
  r->work_ahead =
      e->local.pending_prefill + e->peers.pending_prefill + p->miss;
  r->wait_expected = p->wait_ms;
  r->ttft_expected = p->ttft_ms;
  e->local.running++;
  e->local.pending_prefill += r->pending_prefill;
  e->local.held += r->held;
  e->tokens_processed += p->miss + r->tokens_out;
  e->cached.clock += p->miss + r->tokens_out;
  mt_engine_load_changed(e);
  if (s == NULL || s->kv_capacity == 0 || r->segments_count == 0) return;
  mt_prefix_cache_use(&e->cached, r->segments, r->segments_count,
                      s->kv_capacity);
}

void mt_relay_engine_gone (mt_relay_t *relay, mt_engine_t *e) {
  if (e->state == MT_ENGINE_GONE) return;
  e->state = MT_ENGINE_GONE;
  e->removed_at = relay->now;
  if (relay->log_engine != NULL) relay->log_engine(relay->log_ud, e);
}

void mt_relay_prefill_done (mt_relay_request_t *r) {
  if (r->engine == NULL || !r->awaiting_event) return;
  r->awaiting_event = false;
  r->engine->local.pending_prefill -= r->pending_prefill;
  mt_engine_load_changed(r->engine);
}

void mt_relay_remove_load (mt_relay_request_t *r) {
  if (r->engine == NULL) return;
  mt_relay_prefill_done(r);
  r->engine->local.running--;
  r->engine->local.held -= r->held;
  mt_engine_load_changed(r->engine);
  r->engine = NULL;
}

/* }== */

/* {== Periodic updates ================================================= */

void mt_relay_update_engines (mt_relay_t *relay) {
  mt_quotes_decay(relay);
  mtV_each (&relay->services, i)
    ((mt_relay_service_t *)relay->services.vals[i])->ready = 0;
  for (size_t i = relay->engines.count; i-- > 0;) {
    mt_engine_t *e = relay->engines.list[i];
    e->slowness = 1 + (e->slowness - 1) * SLOWNESS_RECOVERY;
    if (mt_engine_is_available(e, relay->now))
      mt_relay_service(relay, e->service)->ready++;
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

void mt_relay_update_peer_load (mt_relay_t *relay, uint64_t engine,
                                const mt_load_row_t *row,
                                const mt_prefix_segment_t *segments,
                                size_t count) {
  mt_engine_t *e = mt_engines_get(&relay->engines, engine);
  int64_t tokens_processed =
      mt_load_table_set(&relay->router_loads, engine, row);
  if (e == NULL) return;
  e->cached.clock += tokens_processed;
  if (count == 0 || relay->catalog == NULL) return;
  const mt_catalog_service_t *s =
      mt_catalog_find_service(relay->catalog, e->service);
  if (s != NULL && s->kv_capacity > 0)
    mt_prefix_cache_use(&e->cached, segments, count, s->kv_capacity);
}

mt_relay_quote_t mt_relay_quote (mt_relay_t *relay, uint64_t engine,
                                 uint64_t router,
                                 const mt_prefix_segment_t *segments,
                                 size_t count) {
  mt_relay_quote_t quote = {.engine = engine};
  mt_engine_t *e = mt_engines_get(&relay->engines, engine);
  quote.peers =
      mt_load_table_sum(&relay->router_loads, engine, router, relay->now);
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
