/*
** relay.c - the reducer of the HTTP relay: events in, effects out
*/
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admission.h"
#include "response.h"
#include "candidates.h"
#include "connects.h"
#include "hedge.h"
#include "quarantine.h"
#include "quotes.h"
#include "relay_load.h"
#include "request.h"
#include "response_timeout.h"
#include "stream_resume.h"

#define UPDATE_MS 100   /* between updates of fair shares and engines */
#define OUTPUT_WEIGHT 2 /* cost of a completion token; a prompt token: 1 */
/* After STOP, new streams are accepted for this long: the load balancer may
   still send callers. */
#define STREAM_GRACE_MS 2000

/* {== Requests and quotes ============================================== */

/* Weight of a service in the route's split; 0 if other routers know of a
   newer configuration where the route no longer leads to it. */
static int weight_of (const mt_relay_t *relay,
                      const mt_catalog_route_t *route, int i) {
  mt_id_t service = route->split[i].service;
  if (mt_denials_has_route(&relay->denials, route->id, service)) return 0;
  return route->split[i].weight;
}

/* The service of the split that the request id hashes to; 0: none is left. */
static mt_id_t choose_service (const mt_relay_t *relay,
                               const mt_catalog_route_t *route,
                               mt_bytes_t id) {
  int declared = 0, total = 0;
  for (int i = 0; i < route->splits; i++) {
    declared += route->split[i].weight;
    total += weight_of(relay, route, i);
  }
  if (declared <= 0) return route->splits ? route->split[0].service : 0;
  if (total <= 0) return 0;
  int at = (int)(mtV_hash(id.p, id.n) % (uint64_t)total);
  for (int i = 0; i < route->splits; i++) {
    at -= weight_of(relay, route, i);
    if (at < 0) return route->split[i].service;
  }
  return 0;
}

/* The id of the request that began the stream; of the request itself, if it
   resumes none. */
static mt_bytes_t first_id (const mt_relay_incoming_t *incoming) {
  return incoming->resumes.n > 0 ? incoming->resumes : incoming->id;
}

static void copy_route (const mt_relay_t *relay, mt_relay_request_t *r,
                        const mt_catalog_route_t *route,
                        const mt_relay_incoming_t *incoming) {
  r->kind = route->kind;
  r->resumable = route->kind == MT_ROUTE_STREAM && route->resumable;
  r->repeatable = route->kind == MT_ROUTE_REPEATABLE || r->resumable;
  r->attempts_max = route->attempts;
  r->route = route->id;
  r->service = choose_service(relay, route, first_id(incoming));
  r->objective = route->objective;
  r->pause = route->pause;
  r->expires =
      r->arrived + (route->timeout ? route->timeout : MT_WAIT_MAX_MS);
  if (incoming->deadline_ms >= 0)
    r->expires =
        mt_min(r->expires, r->arrived + (mt_ms_t)incoming->deadline_ms);
}

static void copy_prompt (mt_relay_request_t *r,
                         const mt_relay_incoming_t *incoming) {
  r->tokens_in = incoming->tokens_in;
  r->tokens_out = incoming->tokens_out;
  r->last_event = r->first_event = incoming->last_event;
  snprintf(r->resumes, sizeof r->resumes, "%.*s", (int)incoming->resumes.n,
           incoming->resumes.p);
  r->segments_count = incoming->segments_count;
  memcpy(r->segments, incoming->segments,
         incoming->segments_count * sizeof *r->segments);
  int64_t out = incoming->tokens_hint > 0 ? incoming->tokens_hint
                                          : incoming->tokens_out;
  if (incoming->tokens_out > 0) out = mt_min(out, incoming->tokens_out);
  r->tokens_expected = out;
  r->cost = mt_max(incoming->tokens_in + OUTPUT_WEIGHT * out, 1);
}

/* The prompt's last segment belongs to the request or its session alone and
   says no more than the digest. */
static void copy_names (mt_relay_request_t *r,
                        const mt_relay_incoming_t *incoming) {
  size_t segments = incoming->segments_count + incoming->further_count;
  r->names = mtV_new((1 + segments) * sizeof *r->names);
  if (r->digest != 0) r->names[r->names_count++] = r->digest;
  for (size_t i = 0; i + 1 < segments; i++) {
    size_t behind = i - incoming->segments_count;
    uint64_t id = i < incoming->segments_count ? incoming->segments[i].id
                                               : incoming->further[behind];
    r->names[r->names_count++] = mt_suspect_segment(id);
  }
}

static void copy_stream (mt_relay_t *relay, mt_relay_request_t *r,
                         const mt_relay_incoming_t *incoming) {
  mt_bytes_t first = first_id(incoming);
  if (r->kind != MT_ROUTE_STREAM) return;
  if (first.n > 0)
    r->stream_key = mt_stream_key(first.p, first.n, r->workspace);
  r->resumes_stream = incoming->last_event >= 0 || incoming->resumes.n > 0;
  relay->counters.resumed += r->resumes_stream;
  if (incoming->deadline_ms > 0)
    mt_resume_note_deadline(relay, r->service,
                            (mt_ms_t)incoming->deadline_ms);
}

/* True if other routers know of a newer configuration that revoked the key or
   the route's services. */
static bool is_denied (const mt_relay_t *relay, const mt_relay_request_t *r,
                       const mt_catalog_route_t *route,
                       const mt_relay_incoming_t *incoming) {
  if (r->service == 0 && relay->denials.routes.count > 0 && route->splits > 0)
    return true;
  return mt_denials_has_key(&relay->denials, incoming->key);
}

/* The refusal, unless there may be a configuration that allows it. */
static mt_relay_refusal_t unless_stale (const mt_relay_t *relay,
                                        mt_relay_refusal_t why) {
  return relay->config_maybe_stale ? MT_RELAY_CONFIG_MAYBE_STALE : why;
}

/* Finds route and workspace; MT_RELAY_REFUSAL_COUNT, or why the request is
   refused. */
static mt_relay_refusal_t resolve (const mt_relay_t *relay,
                                   mt_relay_request_t *r,
                                   const mt_relay_incoming_t *incoming) {
  mt_catalog_t *c = relay->catalog;
  if (c == NULL) return MT_RELAY_NO_CATALOG;
  const mt_catalog_route_t *route =
      mt_catalog_find_route(c, incoming->host, incoming->path);
  if (route == NULL) return unless_stale(relay, MT_RELAY_NO_ROUTE);
  copy_route(relay, r, route, incoming);
  if (is_denied(relay, r, route, incoming))
    return MT_RELAY_CONFIG_MAYBE_STALE;
  if (c->workspaces_count == 0 || (route->open && incoming->key.n == 0))
    return MT_RELAY_REFUSAL_COUNT;
  const mt_catalog_workspace_t *w =
      mt_catalog_find_workspace(c, incoming->key);
  if (w != NULL) r->workspace = w->id;
  if (w != NULL || route->open) return MT_RELAY_REFUSAL_COUNT;
  return unless_stale(relay, MT_RELAY_BAD_KEY);
}

/*
** A stopping router accepts only requests that expire before it exits: what
** it would cut off is better refused while its caller can go elsewhere. It
** accepts streams only while the load balancer may still send callers.
*/
static bool is_too_late_to_start (const mt_relay_t *relay,
                                  const mt_relay_request_t *r) {
  if (relay->stop_since == 0) return false;
  if (r->expires > relay->stop_until) return true;
  return r->kind == MT_ROUTE_STREAM &&
         relay->now - relay->stop_since > STREAM_GRACE_MS;
}

/* Starts a round of quotes; false if no owner is to be asked. */
static bool request_quotes (mt_relay_t *relay, mt_relay_request_t *r) {
  if (!mt_quotes_ask(relay, r)) return false;
  r->phase = MT_RELAY_AWAITING_QUOTES;
  relay->counters.quotes_asked++;
  mt_request_effect(relay, MT_RELAY_DO_GET_QUOTES, r);
  return true;
}

/*
** True if remote failure domains should be asked about a request without a
** prompt. Such a request is never refused for want of room; it stays in the
** local failure domain unless it would wait for a slot there, or the engine's
** last request failed, or the engine is silent.
*/
static bool should_leave_domain (const mt_relay_t *relay,
                                 const mt_relay_request_t *r,
                                 const mt_placement_t *p) {
  if (r->segments_count > 0 || p->engine->remote) return false;
  return p->full || p->engine->failures > 0 ||
         mt_engine_is_silent(p->engine, relay->now);
}

/* True if further owners should be asked before the request is sent to the
   engine that was chosen. An engine that rejects looks idle, and the request
   would never leave a failure domain where all do. */
static bool should_ask_further (const mt_relay_t *relay,
                                const mt_relay_request_t *r,
                                const mt_placement_t *p) {
  if (should_leave_domain(relay, r, p)) return true;
  return r->segments_count > 0 &&
         mt_engine_is_rejecting(p->engine, relay->now);
}

/* False, with the reason, if there is no engine or no room at it. */
static bool admits (mt_relay_t *relay, const mt_relay_request_t *r,
                    const mt_placement_t *p, mt_relay_refusal_t *why) {
  if (p->engine != NULL) return mt_placement_admits(relay, r, p, why);
  *why = mt_request_no_engine_reason(relay, r);
  return false;
}

/* Sends the request to the best engine, asks another round of owners, or
   refuses it. */
static void place (mt_relay_t *relay, mt_relay_request_t *r) {
  if (r->attempts > 0) { /* a connect failed before */
    mt_attempt_retry_quoted(relay, r);
    return;
  }
  mt_relay_refusal_t why;
  mt_candidates_check_cuts(relay, r);
  mt_placement_t p = mt_placement_choose(relay, r);
  r->current.wait_expected = p.wait_ms;
  if (admits(relay, r, &p, &why)) {
    if (should_ask_further(relay, r, &p) && request_quotes(relay, r)) return;
    mt_attempt_start(relay, r, &p);
    return;
  }
  if (!request_quotes(relay, r)) mt_request_refuse(relay, r, why);
}

/* Asks for quotes; places the request at once if no owner is to be asked. */
static void find_engine (mt_relay_t *relay, mt_relay_request_t *r) {
  mt_candidates_find_homes(relay, r);
  if (request_quotes(relay, r)) return;
  r->rounds = mt_max(r->rounds, 1); /* no owner to ask in the local domain */
  if (!request_quotes(relay, r)) place(relay, r);
}

/* Requests that may have crashed engines are refused, or run one copy at a
   time. */
static void check_quarantine (mt_relay_t *relay, mt_relay_request_t *r) {
  switch (mt_quarantine_check(relay, r)) {
    case MT_QUARANTINE_PASS: find_engine(relay, r); break;
    case MT_QUARANTINE_WAIT: r->phase = MT_RELAY_AWAITING_TRIAL; break;
    case MT_QUARANTINE_BUSY:
      mt_request_refuse(relay, r, MT_RELAY_NO_ENGINE);
      break;
    case MT_QUARANTINE_REFUSE:
      mt_request_refuse(relay, r, MT_RELAY_QUARANTINED);
      break;
  }
}

/* A stream that is resumed goes on at the version that began it. */
static void apply_resume (mt_relay_t *relay, mt_relay_request_t *r,
                          mt_resume_decision_t decision) {
  switch (decision) {
    case MT_RESUME_PASS:
      r->phase = MT_RELAY_SENT;
      check_quarantine(relay, r);
      break;
    case MT_RESUME_WAIT: r->phase = MT_RELAY_AWAITING_ORIGIN; break;
    case MT_RESUME_UNKNOWN:
      mt_request_refuse(relay, r, MT_RELAY_STREAM_UNKNOWN);
      break;
    case MT_RESUME_UNCONFIRMED:
      mt_request_refuse(relay, r, MT_RELAY_STREAM_UNCONFIRMED);
      break;
    case MT_RESUME_GONE:
      mt_request_refuse(relay, r, MT_RELAY_VERSION_GONE);
      break;
  }
}

/*
** True if this process has no time for the stream. The workspaces that send
** most here are refused first: it is their load that it has no time for.
*/
static bool is_shed (mt_relay_t *relay, const mt_relay_request_t *r) {
  if (r->kind != MT_ROUTE_STREAM || !relay->overloaded) return false;
  if (r->workspace == 0) return true;
  return mt_fair_share_local_ratio(&relay->shares, r->workspace) >=
         relay->demand_limit;
}

static void on_request (mt_relay_t *relay, uint64_t number,
                        const mt_relay_incoming_t *incoming) {
  mt_relay_request_t *r = mt_request_add(relay, number);
  relay->counters.requests++;
  snprintf(r->id, sizeof r->id, "%.*s", (int)incoming->id.n, incoming->id.p);
  mt_relay_refusal_t why = resolve(relay, r, incoming);
  if (why != MT_RELAY_REFUSAL_COUNT) {
    mt_request_refuse(relay, r, why);
    return;
  }
  copy_prompt(r, incoming);
  copy_stream(relay, r, incoming);
  if (incoming->digest != 0)
    r->digest = mtV_mix(incoming->digest, r->workspace) | 1;
  copy_names(r, incoming);
  if (is_too_late_to_start(relay, r)) {
    mt_request_refuse(relay, r, MT_RELAY_STOPPING);
    return;
  }
  /* Demand that this router refuses is demand all the same: else the shares
     of other workspaces would grow by it. */
  if (r->workspace != 0 && r->segments_count > 0)
    mt_fair_share_record_demand(&relay->shares, r->workspace, r->cost);
  bool lagging = is_shed(relay, r);
  if (lagging || relay->count > relay->params.max_running ||
      incoming->head_only) {
    relay->counters.refused_lagging += lagging;
    mt_request_refuse(relay, r, MT_RELAY_FULL);
    return;
  }
  mt_relay_service_t *s = mt_relay_service(relay, r->service);
  mt_retry_budget_request(&s->budget, &relay->params.retry, relay->now);
  if (r->workspace != 0)
    r->service_ratio =
        mt_fair_share_service_ratio(&relay->shares, r->workspace);
  if (r->resumes_stream)
    apply_resume(relay, r, mt_resume_check(relay, r));
  else
    check_quarantine(relay, r);
}

/* What on_request refuses before it looks at the body. */
bool mt_relay_refuses_head (mt_relay_t *relay,
                            const mt_relay_incoming_t *incoming) {
  mt_relay_request_t r = {.arrived = relay->now};
  if (resolve(relay, &r, incoming) != MT_RELAY_REFUSAL_COUNT) return true;
  return is_too_late_to_start(relay, &r) || is_shed(relay, &r) ||
         relay->count >= relay->params.max_running;
}

/* All leases are granted: sends the suspect request to the engine chosen for
   it, or refuses it. */
static void start_trial (mt_relay_t *relay, mt_relay_request_t *r) {
  mt_relay_refusal_t why;
  mt_placement_t p = mt_placement_choose(relay, r);
  if (admits(relay, r, &p, &why))
    mt_attempt_start(relay, r, &p);
  else
    mt_request_refuse(relay, r, why);
}

/* An owner's reply to a suspect request that asked to run. */
static void on_trial_answered (mt_relay_t *relay, mt_relay_request_t *r,
                               const mt_suspect_message_t *message,
                               mt_trial_verdict_t verdict) {
  relay->counters.trials[verdict]++;
  mt_candidates_check_cuts(relay, r);
  switch (mt_quarantine_on_verdict(relay, r, message, verdict)) {
    case MT_QUARANTINE_PASS:
      r->phase = MT_RELAY_SENT;
      if (r->on_trial)
        start_trial(relay, r);
      else
        find_engine(relay, r);
      break;
    case MT_QUARANTINE_WAIT: break;
    case MT_QUARANTINE_BUSY:
      mt_request_refuse(relay, r, MT_RELAY_ON_PROBATION);
      break;
    case MT_QUARANTINE_REFUSE:
      mt_request_refuse(relay, r, MT_RELAY_QUARANTINED);
      break;
  }
}

static void on_quoted (mt_relay_t *relay, mt_relay_request_t *r,
                       const mt_relay_event_t *ev) {
  bool all =
      mt_quotes_receive(relay, r, ev->u.quotes.list, ev->u.quotes.count);
  if (r->phase != MT_RELAY_AWAITING_QUOTES) /* already placed */
    mt_admission_return_permits(relay, r);
  else if (all)
    place(relay, r);
}

static void on_caller_disconnected (mt_relay_t *relay,
                                    mt_relay_request_t *r) {
  if (r->current.awaiting_event) mt_request_refund(relay, r);
  mt_admission_return_permits(relay, r);
  mt_attempt_cancel(relay, r);
  relay->counters.callers_disconnected++;
  mt_request_log(relay, r, "left", "caller");
  mt_request_remove(relay, r);
}

/* }== */

/* {== The source was read ============================================== */

/* Decides about requests that wait for a stream's origin. */
static void decide_waiting (mt_relay_t *relay) {
  for (size_t i = relay->count; i-- > 0;) {
    if (i >= relay->count) continue;
    mt_relay_request_t *r = relay->list[i];
    if (r->phase == MT_RELAY_AWAITING_ORIGIN)
      apply_resume(relay, r, mt_resume_decide(relay, r));
  }
}

static void on_list_checked (mt_relay_t *relay, const mt_relay_event_t *ev) {
  mt_resume_list_checked(relay, ev->u.checked.check, ev->u.checked.complete);
  decide_waiting(relay);
}

/* }== */

/* {== Engines that restart ============================================= */

/* The attempt is cancelled, as its connection may still look open if the
   whole box went down. */
static void lose_run (mt_relay_t *relay, mt_relay_request_t *r) {
  mt_request_effect(relay, MT_RELAY_DO_CANCEL, r);
  mt_attempt_lost(relay, r, MT_RELAY_RETRY_LOST);
}

/* Requests that ran in the previous process of the engine are lost. */
static void on_restarted (mt_relay_t *relay, uint64_t key,
                          bool version_changed) {
  mt_engine_t *e = mt_engines_get(&relay->engines, key);
  if (e == NULL) return;
  if (version_changed) mt_resume_version_changed(relay, e);
  for (size_t i = relay->count; i-- > 0;) {
    if (i >= relay->count) continue;
    if (relay->list[i]->hedge.engine == e)
      mt_hedge_engine_ended(relay, relay->list[i]);
    if (relay->list[i]->current.engine == e) lose_run(relay, relay->list[i]);
  }
  mt_quarantine_engine_ended(relay, key);
  mt_quarantine_send_reports(relay);
  mt_load_table_remove(&relay->router_loads, key);
  mt_prefix_holders_remove_engine(&relay->holders, key);
  mt_engine_restarted(e);
}

/* }== */

/* {== Drains and backoffs that engines advertise ======================= */

/*
** Requests of which nothing was written to the engine yet are retried
** elsewhere: they were placed before it advertised that it takes no work. One
** that has run elsewhere, and would be lost, stays: an engine that drains
** serves on, and one in backoff may reject it.
*/
static void withdraw_unsent (mt_relay_t *relay, const mt_engine_t *e) {
  for (size_t i = relay->count; i-- > 0;) {
    if (i >= relay->count) continue;
    mt_relay_request_t *r = relay->list[i];
    if (r->hedge.engine == e && !r->hedge.written) mt_hedge_cancel(relay, r);
    if (r->current.engine != e || r->current.written) continue;
    if (r->may_have_run) {
      mt_attempt_move_unsent(relay, r, MT_RELAY_RETRY_NOTICE);
      continue;
    }
    mt_request_effect(relay, MT_RELAY_DO_CANCEL, r);
    mt_attempt_failed(relay, r, MT_RELAY_RETRY_NOTICE, false);
  }
}

static void on_notice (mt_relay_t *relay, const mt_relay_event_t *ev) {
  mt_engine_t *e = mt_engines_get(&relay->engines, ev->u.notice.engine);
  const mt_engine_notice_t *advertises = &ev->u.notice.advertises;
  if (e == NULL) {
    if (advertises->draining && ev->u.notice.drain.gossiped)
      mt_early_drains_add(&relay->early_drains, ev->u.notice.engine,
                          &ev->u.notice.drain);
    return;
  }
  if (advertises->draining &&
      mt_engine_apply_drain(e, &ev->u.notice.drain, relay->now)) {
    uint64_t *counter = ev->u.notice.drain.gossiped
                            ? &relay->counters.drains_gossiped
                            : &relay->counters.drains;
    (*counter)++;
    withdraw_unsent(relay, e);
  }
  if (mt_engine_set_backoff(e, advertises->backoff, relay->now)) {
    relay->counters.backoffs++;
    withdraw_unsent(relay, e);
  }
}

/* }== */

/* {== Time ============================================================= */

/* A stopping router answers what it would only cut off by its end. What came
   while this process stood still is read after this tick. */
static bool is_over (const mt_relay_t *relay, const mt_relay_request_t *r) {
  bool may_lie_unread = r->current.written && mt_response_stalled(relay);
  mt_ms_t read_until = may_lie_unread ? relay->last_tick : relay->now;
  bool stopped = relay->stop_since != 0 && read_until >= relay->stop_until;
  return stopped || read_until >= r->expires;
}

static void check_request (mt_relay_t *relay, mt_relay_request_t *r) {
  if (is_over(relay, r)) {
    bool ran = r->may_have_run || r->current.written || r->hedge.written;
    mt_request_give_up(relay, r,
                       ran ? MT_RELAY_TIMEOUT : MT_RELAY_TIMEOUT_NOT_RUN);
    return;
  }
  if (r->phase == MT_RELAY_AWAITING_QUOTES) {
    if (!mt_quotes_overdue(relay, r)) return;
    relay->counters.quotes_late++;
    place(relay, r);
    return;
  }
  if (r->phase == MT_RELAY_AWAITING_TRIAL &&
      mt_quarantine_timed_out(relay, r)) {
    mt_request_refuse(relay, r, MT_RELAY_ON_PROBATION);
    return;
  }
  if (r->phase == MT_RELAY_AWAITING_ORIGIN) {
    apply_resume(relay, r, mt_resume_decide(relay, r));
    return;
  }
  if (r->current.engine != NULL) mt_hedge_check(relay, r);
}

/* Declared capacity of all engines together, tokens per second; 0: none. */
static double declared_tokens (const mt_relay_t *relay) {
  if (relay->params.off[MT_RELAY_DECLARED_LEVEL]) return 0;
  return relay->catalog ? (double)relay->catalog->limits.tokens_per_s : 0;
}

/* Fraction of requests with prompts that engines accept: the mean of those
   whose rates are known, or 1. */
static double accepted_fraction (const mt_relay_t *relay) {
  double accepted = 0;
  int known = 0;
  for (size_t i = 0; i < relay->engines.count; i++) {
    const mt_engine_t *e = relay->engines.list[i];
    if (!mt_engine_is_available(e, relay->now)) continue;
    if (!mt_engine_rejection_is_known(e, relay->now)) continue;
    const mt_catalog_service_t *service =
        mt_catalog_find_service(relay->catalog, e->service);
    if (service == NULL || !service->model) continue;
    accepted += 1 - mt_engine_rejection_rate(e, relay->now);
    known++;
  }
  return known > 0 ? accepted / known : 1;
}

static void on_probed (mt_relay_t *relay, uint64_t key, bool up,
                       bool refused) {
  mt_engine_t *e = mt_engines_get(&relay->engines, key);
  if (e == NULL) return;
  if (refused) mt_quarantine_engine_ended(relay, key);
  if (up) mt_quarantine_engine_reached(relay, e);
  mt_quarantine_send_reports(relay);
  mt_connects_probed(relay, e, up, refused);
}

static void on_tick (mt_relay_t *relay) {
  for (size_t i = relay->count; i-- > 0;)
    if (i < relay->count) check_request(relay, relay->list[i]);
  if (mt_response_stalled(relay)) relay->reads_since = relay->now;
  relay->last_tick = relay->now;
  mt_resume_tick(relay);
  mt_relay_probe_engines(relay);
  mt_connects_probe_domains(relay);
  mt_quarantine_tick(relay);
  if (relay->now < relay->next_update) return;
  relay->next_update = relay->now + UPDATE_MS;
  relay->accepted = relay->catalog ? accepted_fraction(relay) : 1;
  mt_fair_share_update(&relay->shares, declared_tokens(relay),
                       relay->accepted, relay->now);
  mt_relay_update_engines(relay);
  mt_load_table_expire(&relay->router_loads, relay->now);
  mt_prefix_holders_expire(&relay->holders, relay->now);
  mt_cold_starts_expire(&relay->cold, relay->now);
}

/* }== */

/* {== The reducer ====================================================== */

/* The adapter does not read a response while its caller does not. */
static void on_paused (mt_relay_t *relay, mt_relay_request_t *r,
                       bool paused) {
  r->current.paused = paused;
  r->current.lagged = true;
  if (!paused) r->current.last_received = relay->now;
}

static void on_attempt_event (mt_relay_t *relay, mt_relay_request_t *r,
                              const mt_relay_event_t *ev) {
  if (mt_hedge_on_event(relay, r, ev)) return;
  if (r->current.engine == NULL || ev->attempt != r->current.number)
    return; /* of an earlier attempt */
  switch (ev->kind) {
    case MT_RELAY_WRITTEN:
      mt_attempt_note_written(&r->current, relay->now);
      if (ev->u.connected) mt_connects_made(relay, r->current.engine);
      break;
    case MT_RELAY_PAUSED: on_paused(relay, r, ev->u.paused); break;
    case MT_RELAY_HEAD: mt_response_head(relay, r, ev); break;
    case MT_RELAY_DATA:
      mt_response_data(relay, r, ev->u.data, ev->delayed);
      break;
    case MT_RELAY_FAILED:
      mt_response_failed(relay, r, ev->u.failed.not_sent,
                         ev->u.failed.refused);
      break;
    case MT_RELAY_END: mt_response_end(relay, r); break;
    default: break;
  }
}

void mt_relay_step (mt_relay_t *relay, const mt_relay_event_t *ev,
                    mt_relay_effects_t *effects) {
  relay->now = ev->now;
  relay->effects = effects;
  mt_request_free_finished(relay);
  mt_relay_request_t *r = NULL;
  if (ev->request != 0) r = mtV_get(&relay->requests, ev->request);
  switch (ev->kind) {
    case MT_RELAY_TICK: on_tick(relay); break;
    case MT_RELAY_STOP:
      relay->stop_since = relay->now;
      relay->stop_until = relay->now + ev->u.stop_ms;
      break;
    case MT_RELAY_REQUEST:
      on_request(relay, ev->request, ev->u.incoming);
      break;
    case MT_RELAY_CALLER_DISCONNECTED:
      if (r != NULL) on_caller_disconnected(relay, r);
      break;
    case MT_RELAY_QUOTED:
      if (r != NULL) on_quoted(relay, r, ev);
      break;
    case MT_RELAY_TRIAL_ANSWERED:
      if (r != NULL && r->phase == MT_RELAY_AWAITING_TRIAL)
        on_trial_answered(relay, r, ev->u.tried.message, ev->u.tried.verdict);
      else if (ev->u.tried.verdict == MT_TRIAL_GRANTED)
        mt_quarantine_return_lease(relay, ev->u.tried.message);
      break;
    case MT_RELAY_ORIGIN_ASKED:
      if (r != NULL && r->phase == MT_RELAY_AWAITING_ORIGIN)
        apply_resume(relay, r, mt_resume_asked(relay, r, &ev->u.asked));
      break;
    case MT_RELAY_ORIGIN_ANSWERED:
      if (r != NULL && r->phase == MT_RELAY_AWAITING_ORIGIN)
        apply_resume(relay, r,
                     mt_resume_on_answer(relay, r, ev->u.origin.answer));
      else if (ev->request == 0)
        mt_resume_on_view(relay, ev->u.origin.service, ev->u.origin.answer);
      break;
    case MT_RELAY_LIST_CHECKED: on_list_checked(relay, ev); break;
    case MT_RELAY_RECORDS_READ:
      mt_resume_records_read(relay, ev->u.complete);
      decide_waiting(relay);
      break;
    case MT_RELAY_RESTARTED:
      on_restarted(relay, ev->u.restarted.engine,
                   ev->u.restarted.version_changed);
      break;
    case MT_RELAY_NOTICE: on_notice(relay, ev); break;
    case MT_RELAY_PROBED:
      on_probed(relay, ev->u.probed.engine, ev->u.probed.up,
                ev->u.probed.refused);
      break;
    case MT_RELAY_WRITTEN:
    case MT_RELAY_HEAD:
    case MT_RELAY_DATA:
    case MT_RELAY_END:
    case MT_RELAY_PAUSED:
    case MT_RELAY_FAILED:
      if (r != NULL) on_attempt_event(relay, r, ev);
      break;
  }
  relay->effects = NULL;
}

void mt_relay_engine_unlisted (mt_relay_t *relay, mt_engine_t *e,
                               mt_ms_t since, mt_ms_t now) {
  relay->now = mt_max(relay->now, now);
  bool in_grace_period = now - since < relay->params.unlisted_grace_ms;
  mt_quarantine_engine_ended(relay, e->key);
  if (e->state == MT_ENGINE_READY && in_grace_period)
    e->unlisted_since = e->unlisted_since ? e->unlisted_since : since;
  else
    mt_relay_engine_gone(relay, e);
}

bool mt_relay_set_catalog (mt_relay_t *relay, mt_catalog_t *catalog) {
  if (relay->catalog && catalog->version <= relay->catalog->version) {
    mt_catalog_free(catalog);
    return false;
  }
  mt_catalog_free(relay->catalog);
  relay->catalog = catalog;
  return true;
}

mt_relay_t *mt_relay_new (const char *domain,
                          const mt_relay_params_t *params) {
  mt_relay_t *relay = mtV_new(sizeof *relay);
  snprintf(relay->domain, sizeof relay->domain, "%s", domain);
  relay->params = *params;
  relay->routers = 1;
  relay->reach = relay->accepted = 1;
  return relay;
}

void mt_relay_free (mt_relay_t *relay) {
  if (relay == NULL) return;
  while (relay->count > 0) mt_request_remove(relay, relay->list[0]);
  mt_request_free_finished(relay);
  free(relay->list);
  mtV_free(&relay->requests);
  mtV_each (&relay->services, i) free(relay->services.vals[i]);
  mtV_free(&relay->services);
  mt_load_table_free(&relay->router_loads);
  mt_prefix_holders_free(&relay->holders);
  mt_cold_starts_free(&relay->cold);
  mt_fair_share_free(&relay->shares);
  mt_suspects_free(&relay->suspects);
  mt_stream_origins_free(&relay->origins);
  mt_origin_records_free(&relay->records);
  mt_denials_free(&relay->denials);
  mt_ended_runs_free(&relay->lost);
  mt_engines_free(&relay->engines);
  mt_catalog_free(relay->catalog);
  free(relay);
}

/* }== */
