/*
** relay.c - the life of relayed requests: one reducer over all events
*/
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admission.h"
#include "answer.h"
#include "candidates.h"
#include "quarantine.h"
#include "quotes.h"
#include "relay_load.h"
#include "request.h"
#include "silence.h"

#define UPDATE_MS 100 /* between updates of shares */
#define MADE_WEIGHT 2 /* of a token made, beside one that is read */
/* After the order to stop, long streams are refused. */
#define LEAVE_MS 2000

/* {== Callers' events ================================================== */

/* What a service of the split weighs; nothing where others say that the
   route no longer leads there. */
static int weight_of (const mt_relay_t *relay,
                      const mt_catalog_route_t *route, int i) {
  mt_id_t service = route->split[i].service;
  if (mt_denials_has_route(&relay->denials, route->id, service)) return 0;
  return route->split[i].weight;
}

/* The service of the split that the id falls to; 0: none is left. */
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

static void take_route (const mt_relay_t *relay, mt_relay_request_t *r,
                        const mt_catalog_route_t *route,
                        const mt_relay_ask_t *ask) {
  r->kind = route->kind;
  r->resumable = route->kind == MT_ROUTE_STREAM && route->resumable;
  r->repeatable = route->kind == MT_ROUTE_REPEATABLE || r->resumable;
  r->attempts_max = route->attempts;
  r->route = route->id;
  r->service = choose_service(relay, route, ask->id);
  r->objective = route->objective;
  r->pause = route->pause;
  r->expires =
      r->arrived + (route->timeout ? route->timeout : MT_WAIT_MAX_MS);
  if (ask->deadline_ms >= 0)
    r->expires = mt_min(r->expires, r->arrived + (mt_ms_t)ask->deadline_ms);
}

static void take_prompt (mt_relay_request_t *r, const mt_relay_ask_t *ask) {
  r->tokens_in = ask->tokens_in;
  r->tokens_out = ask->tokens_out;
  r->last_event = ask->last_event;
  r->parts_count = ask->parts_count;
  memcpy(r->parts, ask->parts, ask->parts_count * sizeof *r->parts);
  int64_t out = ask->tokens_hint > 0 ? ask->tokens_hint : ask->tokens_out;
  if (ask->tokens_out > 0) out = mt_min(out, ask->tokens_out);
  r->cost = mt_max(ask->tokens_in + MADE_WEIGHT * out, 1);
}

/* Others know declarations that do not allow it any more. */
static bool is_denied (const mt_relay_t *relay, const mt_relay_request_t *r,
                       const mt_catalog_route_t *route,
                       const mt_relay_ask_t *ask) {
  if (r->service == 0 && relay->denials.routes_count > 0 && route->splits > 0)
    return true;
  return mt_denials_has_key(&relay->denials, ask->key);
}

/* Finds route and workspace; false when the request was refused. */
static bool identify (mt_relay_t *relay, mt_relay_request_t *r,
                      const mt_relay_ask_t *ask) {
  mt_catalog_t *c = relay->catalog;
  if (c == NULL) {
    mt_request_refuse(relay, r, MT_RELAY_NO_CATALOG);
    return false;
  }
  const mt_catalog_route_t *route =
      mt_catalog_find_route(c, ask->host, ask->path);
  if (route == NULL) {
    mt_request_refuse(relay, r,
                      relay->unsure ? MT_RELAY_UNSURE : MT_RELAY_NO_ROUTE);
    return false;
  }
  take_route(relay, r, route, ask);
  if (is_denied(relay, r, route, ask)) {
    mt_request_refuse(relay, r, MT_RELAY_UNSURE);
    return false;
  }
  if (c->workspaces_count == 0 || (route->open && ask->key.n == 0))
    return true;
  const mt_catalog_workspace_t *w = mt_catalog_find_workspace(c, ask->key);
  if (w != NULL) {
    r->workspace = w->id;
    return true;
  }
  if (route->open) return true;
  mt_request_refuse(relay, r,
                    relay->unsure ? MT_RELAY_UNSURE : MT_RELAY_BAD_KEY);
  return false;
}

/*
** A router that is to stop takes streams only while the balancer may still
** send callers, and other requests only if they can end in time.
*/
static bool too_late (const mt_relay_t *relay, const mt_relay_request_t *r) {
  if (relay->stop_since == 0) return false;
  if (r->kind == MT_ROUTE_STREAM)
    return relay->now - relay->stop_since > LEAVE_MS;
  return r->expires > relay->stop_until;
}

/* Asks the owners of the next engines; false when there are none to ask. */
static bool ask_owners (mt_relay_t *relay, mt_relay_request_t *r) {
  if (!mt_quotes_ask(relay, r)) return false;
  r->phase = MT_RELAY_ASKING;
  relay->counters.quotes_asked++;
  mt_request_effect(relay, MT_RELAY_DO_ASK, r);
  return true;
}

/*
** A request without a prompt is never refused for want of room. It stays in
** the own failure domain unless it would wait for a slot there, or the engine
** has just failed another.
*/
static bool leaves_for_better (const mt_relay_request_t *r,
                               const mt_placement_t *p) {
  if (r->parts_count > 0 || p->engine->remote) return false;
  return p->full || p->engine->failures > 0;
}

/* False when it can't go there, or nowhere, and why. */
static bool admits (mt_relay_t *relay, const mt_relay_request_t *r,
                    const mt_placement_t *p, mt_relay_refusal_t *why) {
  if (p->engine != NULL) return mt_placement_admits(relay, r, p, why);
  *why = mt_request_lack(relay, r);
  return false;
}

/* Sends the request to the best engine or refuses it. */
static void place (mt_relay_t *relay, mt_relay_request_t *r) {
  mt_relay_refusal_t why;
  mt_placement_t p = mt_placement_choose(relay, r);
  r->wait_expected = p.wait_ms;
  if (admits(relay, r, &p, &why)) {
    if (leaves_for_better(r, &p) && ask_owners(relay, r)) return;
    mt_attempt_start(relay, r, &p);
    return;
  }
  if (!ask_owners(relay, r)) mt_request_refuse(relay, r, why);
}

/* Looks for an engine. */
static void seek (mt_relay_t *relay, mt_relay_request_t *r) {
  mt_candidates_find_homes(relay, r);
  if (ask_owners(relay, r)) return;
  r->rounds = mt_max(r->rounds, 1); /* there is nobody to ask here */
  if (!ask_owners(relay, r)) place(relay, r);
}

/* What engines ended under is refused, or runs one copy at a time. */
static void pass_gate (mt_relay_t *relay, mt_relay_request_t *r) {
  switch (mt_quarantine_check(relay, r)) {
    case MT_QUARANTINE_PASS: seek(relay, r); break;
    case MT_QUARANTINE_ASK: r->phase = MT_RELAY_TRYING; break;
    case MT_QUARANTINE_BUSY:
      mt_request_refuse(relay, r, MT_RELAY_NO_ENGINE);
      break;
    case MT_QUARANTINE_REFUSE:
      mt_request_refuse(relay, r, MT_RELAY_QUARANTINED);
      break;
  }
}

static void on_request (mt_relay_t *relay, uint64_t number,
                        const mt_relay_ask_t *ask) {
  mt_relay_request_t *r = mt_request_add(relay, number);
  relay->counters.requests++;
  snprintf(r->id, sizeof r->id, "%.*s", (int)ask->id.n, ask->id.p);
  if (!identify(relay, r, ask)) return;
  take_prompt(r, ask);
  if (ask->digest != 0) r->digest = mtV_mix(ask->digest, r->workspace) | 1;
  if (too_late(relay, r)) {
    mt_request_refuse(relay, r, MT_RELAY_STOPPING);
    return;
  }
  bool stream = r->kind == MT_ROUTE_STREAM;
  if (relay->count > relay->terms.running_most ||
      (stream && relay->overloaded)) {
    mt_request_refuse(relay, r, MT_RELAY_FULL);
    return;
  }
  mt_relay_service_t *s = mt_relay_service(relay, r->service);
  mt_retry_budget_request(&s->budget, &relay->terms.retry, relay->now);
  if (r->workspace != 0 && r->parts_count > 0)
    mt_fair_share_record_demand(&relay->shares, r->workspace, r->cost);
  if (r->workspace != 0)
    r->standing = mt_fair_share_service_ratio(&relay->shares, r->workspace);
  pass_gate(relay, r);
}

/* All leases are there: it runs at the engine that was chosen, or not. */
static void start_trial (mt_relay_t *relay, mt_relay_request_t *r) {
  mt_relay_refusal_t why;
  mt_placement_t p = mt_placement_choose(relay, r);
  if (admits(relay, r, &p, &why))
    mt_attempt_start(relay, r, &p);
  else
    mt_request_refuse(relay, r, why);
}

/* Owners answer to a suspect. */
static void on_tried (mt_relay_t *relay, mt_relay_request_t *r,
                      const mt_suspect_message_t *word,
                      mt_trial_verdict_t verdict) {
  relay->counters.trials[verdict]++;
  switch (mt_quarantine_on_verdict(relay, r, word, verdict)) {
    case MT_QUARANTINE_PASS:
      r->phase = MT_RELAY_SENT;
      if (r->on_trial)
        start_trial(relay, r);
      else
        seek(relay, r);
      break;
    case MT_QUARANTINE_ASK: break;
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
  bool all = mt_quotes_take(relay, r, ev->u.quotes.list, ev->u.quotes.count);
  if (r->phase != MT_RELAY_ASKING) /* it is placed: too late */
    mt_admission_give_back(relay, r);
  else if (all)
    place(relay, r);
}

static void on_caller_left (mt_relay_t *relay, mt_relay_request_t *r) {
  if (r->awaiting_event) mt_request_take_back(relay, r);
  mt_admission_give_back(relay, r);
  mt_attempt_cancel(relay, r);
  relay->counters.callers_left++;
  mt_request_note(relay, r, "left", "caller");
  mt_request_remove(relay, r);
}

/* }== */

/* {== Engines that start again ========================================= */

/* A connection that went silent with the machine says nothing of it. */
static void lose_run (mt_relay_t *relay, mt_relay_request_t *r) {
  mt_request_effect(relay, MT_RELAY_DO_CANCEL, r);
  mt_attempt_lost(relay, r, MT_RELAY_RETRY_LOST);
}

/* What runs at the earlier start is lost with it. */
static void on_restarted (mt_relay_t *relay, uint64_t key) {
  mt_engine_t *e = mt_engines_get(&relay->engines, key);
  if (e == NULL) return;
  for (size_t i = relay->count; i-- > 0;)
    if (i < relay->count && relay->list[i]->engine == e)
      lose_run(relay, relay->list[i]);
  mt_quarantine_engine_ended(relay, key);
  mt_quarantine_send_reports(relay);
  mt_load_table_remove(&relay->book, key);
  mt_prefix_holders_remove_engine(&relay->holders, key);
  mt_engine_restarted(e);
}

/* }== */

/* {== What engines say of themselves =================================== */

/* What still waits for a connection to the engine goes elsewhere: it was
   chosen before the engine said so. */
static void withdraw_unsent (mt_relay_t *relay, const mt_engine_t *e) {
  for (size_t i = relay->count; i-- > 0;) {
    if (i >= relay->count) continue;
    mt_relay_request_t *r = relay->list[i];
    if (r->engine != e || r->gone_out) continue;
    mt_request_effect(relay, MT_RELAY_DO_CANCEL, r);
    mt_attempt_failed(relay, r, MT_RELAY_RETRY_NOTICE, false);
  }
}

static void on_notice (mt_relay_t *relay, const mt_relay_event_t *ev) {
  mt_engine_t *e = mt_engines_get(&relay->engines, ev->u.notice.engine);
  const mt_engine_notice_t *says = &ev->u.notice.says;
  if (e == NULL) {
    if (says->draining && ev->u.notice.drain.gossiped)
      mt_early_drains_add(&relay->early_drains, ev->u.notice.engine,
                          &ev->u.notice.drain);
    return;
  }
  if (says->draining &&
      mt_engine_apply_drain(e, &ev->u.notice.drain, relay->now)) {
    uint64_t *counter = ev->u.notice.drain.gossiped
                            ? &relay->counters.drains_heard
                            : &relay->counters.drains;
    (*counter)++;
    withdraw_unsent(relay, e);
  }
  if (mt_engine_set_backoff(e, says->backoff, relay->now)) {
    relay->counters.backoffs++;
    withdraw_unsent(relay, e);
  }
}

/* }== */

/* {== Time ============================================================= */

static void check_request (mt_relay_t *relay, mt_relay_request_t *r) {
  if (relay->now >= r->expires) {
    bool ran = r->may_have_run || r->gone_out;
    mt_request_give_up(relay, r,
                       ran ? MT_RELAY_TIMEOUT : MT_RELAY_TIMEOUT_UNRUN);
    return;
  }
  if (r->phase == MT_RELAY_ASKING) {
    if (!mt_quotes_overdue(relay, r)) return;
    relay->counters.quotes_late++;
    place(relay, r);
    return;
  }
  if (r->phase == MT_RELAY_TRYING && mt_quarantine_timed_out(relay, r)) {
    mt_request_refuse(relay, r, MT_RELAY_ON_PROBATION);
    return;
  }
  if (r->engine == NULL || !mt_silence_is_too_long(relay, r)) return;
  if (!mt_attempt_may_follow(relay, r, r->gone_out)) return;
  mt_engine_t *e = r->engine;
  mt_placement_t other = mt_placement_choose(relay, r);
  if (other.engine == NULL) return;
  mt_attempt_cancel(relay, r);
  mt_engine_failed(e, relay->now);
  mt_attempt_failed(relay, r, MT_RELAY_RETRY_SILENT, r->gone_out);
}

/* What the engines give together by the operators' word, tokens a second. */
static double declared_tokens (const mt_relay_t *relay) {
  if (relay->terms.off[MT_RELAY_DECLARED_LEVEL]) return 0;
  return relay->catalog ? (double)relay->catalog->limits.tokens_per_s : 0;
}

/* That a connection comes up does not excuse an engine that fails requests,
   only one that was out of reach. */
static void on_probed (mt_relay_t *relay, uint64_t key, bool up,
                       bool refused) {
  mt_engine_t *e = mt_engines_get(&relay->engines, key);
  if (e == NULL) return;
  if (refused) mt_quarantine_engine_ended(relay, key);
  mt_quarantine_send_reports(relay);
  if (up && !e->unreachable)
    e->probing = false;
  else
    mt_engine_set_reachable(e, up, relay->now);
}

static void on_tick (mt_relay_t *relay) {
  for (size_t i = relay->count; i-- > 0;)
    if (i < relay->count) check_request(relay, relay->list[i]);
  relay->seen = relay->now;
  mt_relay_probe_engines(relay);
  mt_quarantine_tick(relay);
  if (relay->now < relay->next_update) return;
  relay->next_update = relay->now + UPDATE_MS;
  mt_fair_share_update(&relay->shares, declared_tokens(relay), relay->now);
  mt_relay_update_engines(relay);
  mt_load_table_expire(&relay->book, relay->now);
  mt_prefix_holders_expire(&relay->holders, relay->now);
  mt_cold_starts_expire(&relay->cold, relay->now);
}

/* }== */

/* {== The reducer ====================================================== */

static void on_attempt_event (mt_relay_t *relay, mt_relay_request_t *r,
                              const mt_relay_event_t *ev) {
  if (r->engine == NULL || ev->attempt != r->attempt) return; /* too late */
  switch (ev->kind) {
    case MT_RELAY_GONE_OUT: r->gone_out = true; break;
    case MT_RELAY_HEAD: mt_answer_head(relay, r, ev); break;
    case MT_RELAY_DATA: mt_answer_data(relay, r, ev->u.data); break;
    case MT_RELAY_FAILED: mt_answer_failed(relay, r, ev->u.not_sent); break;
    case MT_RELAY_END: mt_answer_end(relay, r); break;
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
    case MT_RELAY_REQUEST: on_request(relay, ev->request, ev->u.ask); break;
    case MT_RELAY_CALLER_LEFT:
      if (r != NULL) on_caller_left(relay, r);
      break;
    case MT_RELAY_QUOTED:
      if (r != NULL) on_quoted(relay, r, ev);
      break;
    case MT_RELAY_TRIED:
      if (r != NULL && r->phase == MT_RELAY_TRYING)
        on_tried(relay, r, ev->u.tried.word, ev->u.tried.verdict);
      else if (ev->u.tried.verdict == MT_TRIAL_GRANTED)
        mt_quarantine_return_lease(relay, ev->u.tried.word);
      break;
    case MT_RELAY_RESTARTED: on_restarted(relay, ev->u.restarted); break;
    case MT_RELAY_NOTICE: on_notice(relay, ev); break;
    case MT_RELAY_PROBED:
      on_probed(relay, ev->u.probed.engine, ev->u.probed.up,
                ev->u.probed.refused);
      break;
    case MT_RELAY_GONE_OUT:
    case MT_RELAY_HEAD:
    case MT_RELAY_DATA:
    case MT_RELAY_END:
    case MT_RELAY_FAILED:
      if (r != NULL) on_attempt_event(relay, r, ev);
      break;
  }
  relay->effects = NULL;
}

void mt_relay_engine_left (mt_relay_t *relay, mt_engine_t *e, mt_ms_t since,
                           mt_ms_t now) {
  relay->now = mt_max(relay->now, now);
  bool serves_on = now - since < relay->terms.vanish_ms;
  mt_quarantine_engine_ended(relay, e->key);
  if (e->state == MT_ENGINE_READY && serves_on)
    e->unlisted_since = e->unlisted_since ? e->unlisted_since : since;
  else
    mt_relay_engine_gone(relay, e);
}

bool mt_relay_declare (mt_relay_t *relay, mt_catalog_t *catalog) {
  if (relay->catalog && catalog->version <= relay->catalog->version) {
    mt_catalog_free(catalog);
    return false;
  }
  mt_catalog_free(relay->catalog);
  relay->catalog = catalog;
  return true;
}

mt_relay_t *mt_relay_new (const char *domain, const mt_relay_terms_t *terms) {
  mt_relay_t *relay = mtV_new(sizeof *relay);
  snprintf(relay->domain, sizeof relay->domain, "%s", domain);
  relay->terms = *terms;
  relay->routers = 1;
  relay->reach = 1;
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
  mt_load_table_free(&relay->book);
  mt_prefix_holders_free(&relay->holders);
  mt_cold_starts_free(&relay->cold);
  mt_fair_share_free(&relay->shares);
  mt_suspects_free(&relay->suspects);
  free(relay->lost.list);
  mt_engines_free(&relay->engines);
  mt_catalog_free(relay->catalog);
  free(relay);
}

/* }== */
