/*
** engine.c - the engine table: state, load and cached prefixes of each engine
*/
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "engine.h"

/* Suspension after repeated failures: doubles with each further one. */
#define SUSPEND_FIRST_MS 200
#define SUSPEND_MAX_MS 3200
#define PROBE_INTERVAL_MS 200 /* between probes of an unreachable engine */
#define FAILURES_TOLERATED 1  /* consecutive ones that cause no suspension */
/* An overloaded engine cannot predict its load beyond a minute, and a backoff
   of a year, sent by mistake, must not disable it. */
#define BACKOFF_MAX_MS 60000
/* Up to a tenth of a backoff is added at random: many routers are rejected at
   the same moment and would otherwise return at the same moment. */
#define BACKOFF_JITTER_DIVISOR 10
/* Engines reject at once: a trial request counts as accepted if it has not
   been rejected in this time. */
#define HALF_OPEN_MS 100
#define REJECTION_WEIGHT 0.2      /* of one attempt in the rejection rate */
#define REJECTION_DECAY_MS 2000.0 /* time constant without attempts */
/* A rejection rate is known for this long after a quote or an attempt. */
#define RATE_VALID_MS 2000
#define REJECTING_RATE 0.5      /* above it an engine rejects most requests */
#define REJECTION_SUSPEND_MS 30 /* suspension after a rejection */
#define INVALID_WEIGHT 0.2 /* of one response in the rate of invalid ones */
#define INVALID_MOST 0.5   /* above it most responses are invalid */
#define INVALID_DECAY_MS 10000.0 /* time constant without responses */
/* An engine at which nothing runs any more is taken for silent this long. */
#define SILENCE_VALID_MS 1000

uint64_t mt_engine_key (const char *name, size_t size) {
  return mtV_hash(name, size) | 1;
}

void mt_engine_set_version (mt_engine_t *e, const char *version) {
  const char *text = version != NULL ? version : "";
  mt_id_t id = mtV_id(text, strlen(text));
  if (e->version == id) return;
  free(e->version_name);
  e->version_name = version != NULL ? strdup(version) : NULL;
  e->version = id;
}

void mt_engine_forget_version (mt_engine_t *e) {
  free(e->version_name);
  e->version_name = NULL;
  e->version = 0;
}

/* Where entries state no start, every start has a name of its own. */
void mt_engine_doubt_version (mt_engine_t *e, mt_ms_t now) {
  if (e->started_at != 0) e->doubted_at = now;
}

mt_engine_t *mt_engines_add (mt_engines_t *engines, const char *name) {
  uint64_t key = mt_engine_key(name, strlen(name));
  mt_engine_t *e = mtV_get(&engines->by_key, key);
  if (e != NULL) return e;
  e = mtV_new(sizeof *e);
  e->table = engines;
  e->list_index = engines->count;
  e->key = key;
  e->name = strdup(name);
  e->slowness = 1.0;
  mt_engine_set_version(e, NULL);
  mtV_put(&engines->by_key, key, e);
  *mtV_push(engines->list, engines->count, engines->cap) = e;
  return e;
}

mt_engine_t *mt_engines_get (const mt_engines_t *engines, uint64_t key) {
  return mtV_get(&engines->by_key, key);
}

static void free_engine (mt_engine_t *e) {
  mt_prefix_cache_free(&e->cached);
  free(e->name);
  free(e->domain);
  free(e->version_name);
  free(e);
}

/* {== Active engines =================================================== */

static void activate (mt_engine_t *e) {
  mt_engines_t *t = e->table;
  if (e->active) return;
  e->active = true;
  *mtV_push(t->active, t->active_count, t->active_cap) = e;
}

static void deactivate (mt_engines_t *t, size_t index) {
  t->active[index]->active = false;
  t->active[index] = t->active[--t->active_count];
}

void mt_engine_load_changed (mt_engine_t *e) {
  e->load_dirty = true;
  activate(e);
}

void mt_engines_prune_active (mt_engines_t *engines) {
  for (size_t i = engines->active_count; i-- > 0;) {
    const mt_engine_t *e = engines->active[i];
    if (e->load_dirty || e->local.running > 0 || e->unreachable) continue;
    deactivate(engines, i);
  }
}

/* }== */

void mt_engines_remove (mt_engines_t *engines, mt_engine_t *e) {
  mt_engine_t *last = engines->list[--engines->count];
  engines->list[e->list_index] = last;
  last->list_index = e->list_index;
  for (size_t i = engines->active_count; e->active && i-- > 0;)
    if (engines->active[i] == e) deactivate(engines, i);
  mtV_del(&engines->by_key, e->key);
  free_engine(e);
}

void mt_engines_free (mt_engines_t *engines) {
  for (size_t i = 0; i < engines->count; i++) free_engine(engines->list[i]);
  free(engines->list);
  free(engines->active);
  mtV_free(&engines->by_key);
}

void mt_engine_failed (mt_engine_t *e, mt_ms_t now) {
  e->failures++;
  if (e->failures <= FAILURES_TOLERATED) return;
  int doublings = mt_min(e->failures - FAILURES_TOLERATED - 1, 8);
  e->suspended_until =
      now + mt_min((mt_ms_t)SUSPEND_FIRST_MS << doublings, SUSPEND_MAX_MS);
}

void mt_engine_succeeded (mt_engine_t *e) {
  e->failures = 0;
  e->suspended_until = 0;
}

void mt_engine_progressed (mt_engine_t *e, mt_ms_t now) {
  e->last_progress = now;
}

void mt_engine_found_silent (mt_engine_t *e, mt_ms_t now) {
  e->silent_at = now;
}

bool mt_engine_is_silent (const mt_engine_t *e, mt_ms_t now) {
  return e->silent_at != 0 && e->last_received < e->silent_at &&
         now < e->silent_at + SILENCE_VALID_MS;
}

void mt_engine_set_reachable (mt_engine_t *e, bool up, mt_ms_t now) {
  e->unreachable = !up;
  if (!up) activate(e);
  e->probing = false;
  e->next_probe = now + PROBE_INTERVAL_MS;
  if (up) {
    mt_engine_succeeded(e);
    e->last_received = now;
  }
}

bool mt_engine_is_draining (const mt_engine_t *e, mt_ms_t now) {
  if (e->drain.since == 0) return false;
  if (e->drain.started_at != 0 && e->drain.started_at < e->started_at)
    return false;
  return !e->drain.gossiped ||
         now < e->drain.since + MT_ENGINE_DRAIN_GOSSIP_TTL_MS;
}

bool mt_engine_is_available (const mt_engine_t *e, mt_ms_t now) {
  return e->state == MT_ENGINE_READY && !mt_engine_is_draining(e, now);
}

bool mt_engine_apply_drain (mt_engine_t *e, const mt_engine_drain_t *drain,
                            mt_ms_t now) {
  bool was_draining = mt_engine_is_draining(e, now);
  if (drain->started_at != 0 && drain->started_at < e->started_at)
    return false;
  if (was_draining && drain->gossiped && drain->since <= e->drain.since)
    return false;
  bool gossiped_only =
      drain->gossiped && (!was_draining || e->drain.gossiped);
  e->drain = *drain;
  e->drain.gossiped = gossiped_only;
  return !was_draining && mt_engine_is_draining(e, now);
}

bool mt_engine_set_backoff (mt_engine_t *e, mt_ms_t backoff, mt_ms_t now) {
  bool in_effect = e->backoff_until > now;
  backoff = mt_min(backoff, (mt_ms_t)BACKOFF_MAX_MS);
  if (backoff == 0) return false;
  backoff += mtV_mix(e->key, now) % (backoff / BACKOFF_JITTER_DIVISOR + 1);
  if (now + backoff <= e->backoff_until) return false;
  e->backoff_until = now + backoff;
  e->half_open_since = 0;
  return !in_effect;
}

mt_ms_t mt_engine_backoff_left (const mt_engine_t *e, mt_ms_t now) {
  mt_ms_t end = e->half_open_since != 0 ? e->half_open_since + HALF_OPEN_MS
                                        : e->backoff_until;
  return end > now ? end - now : 0;
}

bool mt_engine_takes_work (const mt_engine_t *e, mt_ms_t now) {
  return mt_engine_is_available(e, now) &&
         mt_engine_backoff_left(e, now) == 0;
}

void mt_engine_request_sent (mt_engine_t *e, mt_ms_t now) {
  if (e->backoff_until == 0) return;
  if (e->half_open_since == 0)
    e->half_open_since = now;
  else
    e->backoff_until = e->half_open_since = 0;
}

/* Of this router's attempts. */
static double own_rejection_rate (const mt_engine_t *e, mt_ms_t now) {
  if (e->rate_at == 0) return 0;
  return e->rejection_rate *
         exp(-(double)(now - e->rate_at) / REJECTION_DECAY_MS);
}

static bool is_recent (mt_ms_t at, mt_ms_t now) {
  return at != 0 && now < at + RATE_VALID_MS;
}

double mt_engine_rejection_rate (const mt_engine_t *e, mt_ms_t now) {
  double own = own_rejection_rate(e, now);
  return is_recent(e->quoted, now) ? fmax(own, e->quoted_rejection_rate)
                                   : own;
}

bool mt_engine_rejection_is_known (const mt_engine_t *e, mt_ms_t now) {
  return is_recent(e->quoted, now) || is_recent(e->rate_at, now);
}

bool mt_engine_is_rejecting (const mt_engine_t *e, mt_ms_t now) {
  return mt_engine_rejection_rate(e, now) > REJECTING_RATE;
}

static void record_attempt (mt_engine_t *e, bool rejected, mt_ms_t now) {
  double rate = own_rejection_rate(e, now);
  e->rejection_rate = rate + ((rejected ? 1 : 0) - rate) * REJECTION_WEIGHT;
  e->rate_at = now;
}

void mt_engine_request_accepted (mt_engine_t *e, mt_ms_t sent, mt_ms_t now) {
  if (e->half_open_since != 0 && sent >= e->half_open_since)
    e->backoff_until = e->half_open_since = 0;
  record_attempt(e, false, now);
}

void mt_engine_request_rejected (mt_engine_t *e, mt_ms_t now) {
  e->suspended_until = mt_max(e->suspended_until, now + REJECTION_SUSPEND_MS);
  record_attempt(e, true, now);
}

/* {== Invalid responses ================================================ */

double mt_engine_invalid_rate (const mt_engine_t *e, mt_ms_t now) {
  if (e->invalid_rate == 0) return 0;
  return e->invalid_rate *
         exp(-(double)(now - e->invalid_at) / INVALID_DECAY_MS);
}

bool mt_engine_is_invalid (const mt_engine_t *e, mt_ms_t now) {
  return mt_engine_invalid_rate(e, now) > INVALID_MOST;
}

void mt_engine_response_judged (mt_engine_t *e, bool valid, mt_ms_t now) {
  double rate = mt_engine_invalid_rate(e, now);
  e->invalid_rate = rate + ((valid ? 0 : 1) - rate) * INVALID_WEIGHT;
  e->invalid_at = now;
}

/* }== */

void mt_engine_restarted (mt_engine_t *e) {
  mt_prefix_cache_free(&e->cached);
  memset(&e->cached, 0, sizeof e->cached);
  e->peers = (mt_engine_load_t){0};
  e->quoted = 0;
  e->unlisted_since = 0;
  e->slowness = 1.0;
  e->speed = (mt_engine_speed_t){.measured_at = 0};
  e->quoted_speed = (mt_speed_figures_t){0};
  e->failures = 0;
  e->suspended_until = 0;
  e->rejection_rate = e->quoted_rejection_rate = 0;
  e->rejections = (mt_rejections_t){0};
  e->invalid_rate = 0;
  /* The backoff stays: a new incarnation answers before it is listed and may
     have asked for it already. */
  if (e->drain.started_at <= e->started_at) e->drain = (mt_engine_drain_t){0};
  e->unreachable = false;
  e->doubted_at = 0;
  e->last_received = e->last_progress = e->silent_at = 0;
}
