/*
** relay.c - the life of relayed requests: one reducer over all events
*/
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admission.h"
#include "candidates.h"
#include "placement.h"
#include "quarantine.h"
#include "quotes.h"
#include "relay.h"
#include "relay_load.h"
#include "silence.h"

/* A longer answer is passed on as it comes. */
#define HOLD_BODY_MAX (256u << 10)
#define UPDATE_MS 100     /* between updates of shares */
#define SHED_HOLD_MS 30   /* rest of an engine that refused */
#define LAST_CHANCE_MS 20 /* less time left: no new attempt */
#define MADE_WEIGHT 2     /* of a token made, beside one that is read */
#define RETRY_SOON_MS 200
#define RESTED_MS 60000
#define RESTED_ONCE_MS 2000 /* what may run once shuns what may be closed */
/* After the order to stop, long streams are refused. */
#define LEAVE_MS 2000

/* {== Effects ========================================================== */

mt_relay_effect_t *mt_relay_effect (mt_relay_t *relay,
                                    mt_relay_effect_kind_t kind) {
  mt_relay_effects_t *all = relay->effects;
  mt_relay_effect_t *fx = mtV_push(all->list, all->count, all->cap);
  *fx = (mt_relay_effect_t){.kind = kind};
  return fx;
}

static mt_relay_effect_t *effect (mt_relay_t *relay,
                                  mt_relay_effect_kind_t kind,
                                  const mt_relay_request_t *r) {
  mt_relay_effect_t *fx = mt_relay_effect(relay, kind);
  fx->request = r->number;
  fx->attempt = r->attempt;
  return fx;
}

static void note (mt_relay_t *relay, const mt_relay_request_t *r,
                  const char *outcome, const char *why) {
  if (relay->log != NULL) relay->log(relay->log_ud, r, outcome, why);
}

/* }== */

/* {== Requests ========================================================= */

static mt_relay_request_t *add_request (mt_relay_t *relay, uint64_t number) {
  mt_relay_request_t *r = mtV_new(sizeof *r);
  r->number = number;
  r->index = relay->count;
  r->arrived = relay->now;
  r->outcome = MT_RELAY_REFUSAL_COUNT;
  *mtV_push(relay->list, relay->count, relay->cap) = r;
  mtV_put(&relay->requests, number, r);
  return r;
}

static void free_finished (mt_relay_t *relay) {
  while (relay->finished != NULL) {
    mt_relay_request_t *r = relay->finished;
    relay->finished = r->finished_next;
    mt_event_stream_free(&r->stream);
    free(r->body);
    free(r);
  }
}

/* Its texts stay until the next step: effects may have borrowed them. */
static void remove_request (mt_relay_t *relay, mt_relay_request_t *r) {
  if (relay->effects != NULL) mt_quarantine_leave(relay, r);
  mt_relay_disengage(r);
  relay->list[r->index] = relay->list[--relay->count];
  relay->list[r->index]->index = r->index;
  mtV_del(&relay->requests, r->number);
  r->finished_next = relay->finished;
  relay->finished = r;
}

/* A moment to come back at, spread so that not all come at once. */
static mt_ms_t come_back (const mt_relay_t *relay,
                          const mt_relay_request_t *r,
                          mt_relay_refusal_t why) {
  if (mt_relay_refusal_status(why) != 503) return 0;
  if (why == MT_RELAY_QUARANTINED)
    return mt_suspects_standing(&relay->suspects, r->digest, relay->now).left;
  mt_ms_t base = RETRY_SOON_MS;
  if (why == MT_RELAY_BUSY || why == MT_RELAY_OVER_SHARE)
    base = mt_max(r->objective, RETRY_SOON_MS);
  return base / 2 + mtV_mix(r->number, r->arrived) % base;
}

static void refuse (mt_relay_t *relay, mt_relay_request_t *r,
                    mt_relay_refusal_t why) {
  mt_admission_give_back(relay, r);
  mt_relay_effect_t *fx = effect(relay, MT_RELAY_DO_REFUSE, r);
  fx->u.refuse.why = why;
  fx->u.refuse.retry_after = come_back(relay, r, why);
  relay->counters.refusals[why]++;
  note(relay, r, "refused", mt_relay_refusal_code(why));
  remove_request(relay, r);
}

static void cancel_attempt (mt_relay_t *relay, mt_relay_request_t *r) {
  if (r->engine == NULL) return;
  effect(relay, MT_RELAY_DO_CANCEL, r);
  mt_relay_disengage(r);
}

/* What was counted as served has brought its caller nothing. */
static void take_back (mt_relay_t *relay, mt_relay_request_t *r) {
  if (!r->served) return;
  mt_fair_share_served(&relay->shares, r->workspace, -r->cost);
  r->served = false;
}

/* Nothing more can be done for it. */
static void give_up (mt_relay_t *relay, mt_relay_request_t *r,
                     mt_relay_refusal_t why) {
  cancel_attempt(relay, r);
  if (r->phase != MT_RELAY_STREAMING) {
    take_back(relay, r);
    refuse(relay, r, why);
    return;
  }
  effect(relay, MT_RELAY_DO_ABORT, r);
  relay->counters.aborted++;
  note(relay, r, "aborted", mt_relay_refusal_code(why));
  remove_request(relay, r);
}

static void start_attempt (mt_relay_t *relay, mt_relay_request_t *r,
                           const mt_placement_t *p) {
  r->attempt++;
  r->arrivals++;
  r->tried[r->tried_count++ % MT_RELAY_TRIES_MAX] = p->engine->key;
  r->sent = r->heard = relay->now;
  r->status = 0;
  r->gone_out = false;
  r->body_size = 0;
  mt_event_stream_free(&r->stream);
  if (r->phase != MT_RELAY_STREAMING) r->phase = MT_RELAY_SENT;
  mt_admission_settle(relay, r, p->engine);
  mt_relay_engage(relay, r, p);
  relay->counters.attempts++;
  relay->counters.tokens_wanted += (uint64_t)r->tokens_in;
  relay->counters.tokens_missed += (uint64_t)p->miss;
  if (!r->served && r->workspace != 0 && r->parts_count > 0) {
    mt_fair_share_served(&relay->shares, r->workspace, r->cost);
    r->served = true;
  }
  mt_relay_effect_t *fx = effect(relay, MT_RELAY_DO_START, r);
  fx->u.start.engine = p->engine->key;
  fx->u.start.deadline_ms = r->expires - relay->now;
  fx->u.start.last_event = r->last_event;
  fx->u.start.workspace = r->workspace;
  if (p->fetch.source != NULL) {
    fx->u.start.source = p->fetch.source->key;
    relay->counters.fetches++;
    relay->counters.tokens_fetched += (uint64_t)p->fetch.tokens;
  }
  fx->u.start.rested_ms = r->repeatable ? RESTED_MS : RESTED_ONCE_MS;
}

/* }== */

/* {== Attempts that failed ============================================= */

/* True when the attempt at hand may be followed by another. */
static bool may_retry (mt_relay_t *relay, const mt_relay_request_t *r,
                       bool ran) {
  if (r->tried_count >= MT_RELAY_TRIES_MAX) return false;
  if (r->arrivals >= r->attempts_max) return false;
  if ((ran || r->may_have_run) && !r->repeatable) return false;
  if (r->phase == MT_RELAY_STREAMING && !r->resumable) return false;
  if (ran && mt_quarantine_once(relay, r)) return false;
  return relay->now + LAST_CHANCE_MS < r->expires;
}

/* Takes the retry from the budget; the first arrival is no retry. */
static bool take_budget (mt_relay_t *relay, const mt_relay_request_t *r) {
  mt_relay_service_t *s = mt_relay_service(relay, r->service);
  if (r->arrivals == 0) return true;
  if (mt_retry_budget_take(&s->budget, &relay->terms.retry, relay->routers,
                           relay->now))
    return true;
  relay->counters.retries_denied++;
  return false;
}

static mt_relay_refusal_t last_word (const mt_relay_request_t *r,
                                     mt_relay_retry_t reason) {
  if (r->may_have_run) return MT_RELAY_ENGINE_LOST;
  if (reason == MT_RELAY_RETRY_SHED) return MT_RELAY_SHED;
  return MT_RELAY_UNREACHABLE;
}

/* Starts anew elsewhere; false when there is no engine or budget for it. */
static bool retry (mt_relay_t *relay, mt_relay_request_t *r,
                   mt_relay_retry_t reason) {
  mt_candidates_find_homes(relay, r);
  mt_placement_t p = mt_placement_choose(relay, r);
  if (p.engine == NULL || !take_budget(relay, r)) return false;
  relay->counters.retries[reason]++;
  note(relay, r, "retried", mt_relay_retry_code(reason));
  start_attempt(relay, r, &p);
  return true;
}

/* The attempt is over; goes on elsewhere or gives the request up. */
static void attempt_failed (mt_relay_t *relay, mt_relay_request_t *r,
                            mt_relay_retry_t reason, bool ran) {
  note(relay, r, "attempt-failed", mt_relay_retry_code(reason));
  mt_relay_disengage(r);
  if (reason == MT_RELAY_RETRY_CONNECT) r->arrivals--;
  bool again = may_retry(relay, r, ran);
  if (ran) r->may_have_run = true;
  if (again && retry(relay, r, reason)) return;
  give_up(relay, r, last_word(r, reason));
}

/* }== */

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
  r->expires = r->arrived + (route->timeout ? route->timeout : MT_WAIT_MS);
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
    refuse(relay, r, MT_RELAY_NO_CATALOG);
    return false;
  }
  const mt_catalog_route_t *route = mt_catalog_route(c, ask->host, ask->path);
  if (route == NULL) {
    refuse(relay, r, relay->unsure ? MT_RELAY_UNSURE : MT_RELAY_NO_ROUTE);
    return false;
  }
  take_route(relay, r, route, ask);
  if (is_denied(relay, r, route, ask)) {
    refuse(relay, r, MT_RELAY_UNSURE);
    return false;
  }
  if (c->workspaces_count == 0 || (route->open && ask->key.n == 0))
    return true;
  const mt_catalog_workspace_t *w = mt_catalog_key(c, ask->key);
  if (w != NULL) {
    r->workspace = w->id;
    return true;
  }
  if (route->open) return true;
  refuse(relay, r, relay->unsure ? MT_RELAY_UNSURE : MT_RELAY_BAD_KEY);
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

/* Asks the keepers of the next engines; false when there are none to ask. */
static bool ask_keepers (mt_relay_t *relay, mt_relay_request_t *r) {
  if (!mt_quotes_ask(relay, r)) return false;
  r->phase = MT_RELAY_ASKING;
  relay->counters.quotes_asked++;
  effect(relay, MT_RELAY_DO_ASK, r);
  return true;
}

/*
** A request without a prompt is never refused for want of room. It stays in
** the own failure domain unless it would wait for a slot there, or the engine
** has just failed another.
*/
static bool leaves_for_better (const mt_relay_request_t *r,
                               const mt_placement_t *p) {
  if (r->parts_count > 0 || p->engine->far) return false;
  return p->full || p->engine->failures > 0;
}

/* Sends the request to the best engine or refuses it. */
static void place (mt_relay_t *relay, mt_relay_request_t *r) {
  mt_relay_refusal_t why = MT_RELAY_NO_ENGINE;
  mt_placement_t p = mt_placement_choose(relay, r);
  r->wait_expected = p.wait_ms;
  if (p.engine != NULL && mt_placement_admits(relay, r, &p, &why)) {
    if (leaves_for_better(r, &p) && ask_keepers(relay, r)) return;
    start_attempt(relay, r, &p);
    return;
  }
  if (!ask_keepers(relay, r)) refuse(relay, r, why);
}

/* Looks for an engine. */
static void seek (mt_relay_t *relay, mt_relay_request_t *r) {
  mt_candidates_find_homes(relay, r);
  if (ask_keepers(relay, r)) return;
  r->rounds = mt_max(r->rounds, 1); /* there is nobody to ask here */
  if (!ask_keepers(relay, r)) place(relay, r);
}

/* What engines ended under is refused, or runs one copy at a time. */
static void pass_gate (mt_relay_t *relay, mt_relay_request_t *r) {
  switch (mt_quarantine_gate(relay, r)) {
    case MT_QUARANTINE_PASS: seek(relay, r); break;
    case MT_QUARANTINE_ASK: r->phase = MT_RELAY_TRYING; break;
    case MT_QUARANTINE_BUSY: refuse(relay, r, MT_RELAY_NO_ENGINE); break;
    case MT_QUARANTINE_REFUSE: refuse(relay, r, MT_RELAY_QUARANTINED); break;
  }
}

static void on_request (mt_relay_t *relay, uint64_t number,
                        const mt_relay_ask_t *ask) {
  mt_relay_request_t *r = add_request(relay, number);
  relay->counters.requests++;
  snprintf(r->id, sizeof r->id, "%.*s", (int)ask->id.n, ask->id.p);
  if (!identify(relay, r, ask)) return;
  take_prompt(r, ask);
  if (ask->digest != 0) r->digest = mtV_mix(ask->digest, r->workspace) | 1;
  if (too_late(relay, r)) {
    refuse(relay, r, MT_RELAY_STOPPING);
    return;
  }
  bool stream = r->kind == MT_ROUTE_STREAM;
  if (relay->count > relay->terms.running_most ||
      (stream && relay->overloaded)) {
    refuse(relay, r, MT_RELAY_FULL);
    return;
  }
  mt_relay_service_t *s = mt_relay_service(relay, r->service);
  mt_retry_budget_request(&s->budget, &relay->terms.retry, relay->now);
  if (r->workspace != 0 && r->parts_count > 0)
    mt_fair_share_asked(&relay->shares, r->workspace, r->cost);
  if (r->workspace != 0)
    r->standing = mt_fair_share_standing(&relay->shares, r->workspace);
  pass_gate(relay, r);
}

/* All leases are there: it runs at the engine that was chosen, or not. */
static void start_trial (mt_relay_t *relay, mt_relay_request_t *r) {
  mt_relay_refusal_t why = MT_RELAY_NO_ENGINE;
  mt_placement_t p = mt_placement_choose(relay, r);
  if (p.engine != NULL && mt_placement_admits(relay, r, &p, &why))
    start_attempt(relay, r, &p);
  else
    refuse(relay, r, why);
}

/* Keepers answer to a suspect. */
static void on_tried (mt_relay_t *relay, mt_relay_request_t *r,
                      const mt_suspect_word_t *word, mt_trial_t verdict) {
  relay->counters.trials[verdict]++;
  switch (mt_quarantine_tried(relay, r, word, verdict)) {
    case MT_QUARANTINE_PASS:
      r->phase = MT_RELAY_SENT;
      if (r->on_trial)
        start_trial(relay, r);
      else
        seek(relay, r);
      break;
    case MT_QUARANTINE_ASK: break;
    case MT_QUARANTINE_BUSY: refuse(relay, r, MT_RELAY_ON_PROBATION); break;
    case MT_QUARANTINE_REFUSE: refuse(relay, r, MT_RELAY_QUARANTINED); break;
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
  if (r->awaiting_event) take_back(relay, r);
  mt_admission_give_back(relay, r);
  cancel_attempt(relay, r);
  relay->counters.callers_left++;
  note(relay, r, "left", "caller");
  remove_request(relay, r);
}

/* }== */

/* {== Engines' events ================================================== */

static void on_head (mt_relay_t *relay, mt_relay_request_t *r,
                     const mt_relay_event_t *ev) {
  mt_engine_t *e = r->engine;
  r->status = ev->u.head.status;
  r->events = ev->u.head.events && r->status / 100 == 2;
  r->framed = ev->u.head.framed;
  r->heard = relay->now;
  switch (ev->u.head.verdict) {
    case MT_RELAY_MOVED:
      mt_relay_engine_gone(relay, e);
      effect(relay, MT_RELAY_DO_CANCEL, r);
      attempt_failed(relay, r, MT_RELAY_RETRY_MOVED, false);
      return;
    case MT_RELAY_NOT_RUN:
      e->hold = mt_max(e->hold, relay->now + SHED_HOLD_MS);
      e->heard = relay->now;
      /* Its short answer is read to the end; the connection stays. */
      attempt_failed(relay, r, MT_RELAY_RETRY_SHED, false);
      return;
    case MT_RELAY_RAN: break;
  }
  if (r->phase == MT_RELAY_STREAMING && !r->events) {
    /* Not the rest of the stream that the caller has begun to get. */
    if (r->status >= 500) mt_engine_failed(e, relay->now);
    attempt_failed(relay, r, MT_RELAY_RETRY_ERROR, true);
    return;
  }
  if (r->status < 500) {
    mt_engine_worked(e, relay->now);
    return;
  }
  mt_engine_failed(e, relay->now);
  if (!may_retry(relay, r, true)) return;
  attempt_failed(relay, r, MT_RELAY_RETRY_ERROR, true);
}

/* What the engine did not frame is not framed for the caller either. */
static void pass_head (mt_relay_t *relay, mt_relay_request_t *r,
                       int64_t length) {
  if (r->phase == MT_RELAY_STREAMING) return;
  r->phase = MT_RELAY_STREAMING;
  r->vouched = r->framed;
  effect(relay, MT_RELAY_DO_HEAD, r)->u.length =
      r->framed ? length : MT_RELAY_LENGTH_UNFRAMED;
}

static void pass_data (mt_relay_t *relay, mt_relay_request_t *r,
                       mt_bytes_t data) {
  if (data.n > 0) effect(relay, MT_RELAY_DO_DATA, r)->u.data = data;
}

/* The engine's answer ended, or must end, before it was whole. */
static void attempt_lost (mt_relay_t *relay, mt_relay_request_t *r,
                          mt_relay_retry_t reason) {
  mt_engine_failed(r->engine, relay->now);
  mt_quarantine_lost(relay, r);
  attempt_failed(relay, r, reason, true);
}

static void on_event_data (mt_relay_t *relay, mt_relay_request_t *r,
                           mt_bytes_t data) {
  mt_stream_event_t event;
  if (!mt_event_stream_feed(&r->stream, data.p, data.n)) {
    effect(relay, MT_RELAY_DO_CANCEL, r);
    attempt_lost(relay, r, MT_RELAY_RETRY_LOST);
    return;
  }
  while (mt_event_stream_next(&r->stream, &event)) {
    if (r->awaiting_event) {
      r->first = mt_max(relay->now - r->sent, (mt_ms_t)1);
      mt_relay_learn_rate(relay, r);
      mt_relay_prompt_read(r);
    }
    relay->counters.events++;
    if (event.id >= 0 && event.id <= r->last_event) continue;
    if (event.id >= 0) r->last_event = event.id;
    pass_head(relay, r, MT_RELAY_LENGTH_UNKNOWN);
    pass_data(relay, r, event.text);
  }
}

/* Gathers a short answer, so that a broken one can still be replaced. */
static void on_plain_data (mt_relay_t *relay, mt_relay_request_t *r,
                           mt_bytes_t data) {
  if (r->phase == MT_RELAY_STREAMING) {
    pass_data(relay, r, data);
    return;
  }
  r->phase = MT_RELAY_HOLDING;
  if (r->body_size + data.n > r->body_cap) {
    r->body_cap = mt_max(r->body_size + data.n, r->body_cap * 2);
    r->body = realloc(r->body, r->body_cap);
    if (r->body == NULL) abort();
  }
  memcpy(r->body + r->body_size, data.p, data.n);
  r->body_size += data.n;
  if (r->body_size < HOLD_BODY_MAX) return;
  pass_head(relay, r, MT_RELAY_LENGTH_UNKNOWN);
  pass_data(relay, r, (mt_bytes_t){r->body, r->body_size});
}

static void on_data (mt_relay_t *relay, mt_relay_request_t *r,
                     mt_bytes_t data) {
  r->heard = relay->now;
  r->engine->heard = relay->now;
  if (r->events)
    on_event_data(relay, r, data);
  else
    on_plain_data(relay, r, data);
}

static void on_end (mt_relay_t *relay, mt_relay_request_t *r) {
  bool doubtful = r->vouched && !r->framed; /* a later engine's end */
  if (doubtful || (r->events && mt_event_stream_partial(&r->stream))) {
    attempt_lost(relay, r, MT_RELAY_RETRY_LOST);
    return;
  }
  if (r->phase != MT_RELAY_STREAMING) {
    pass_head(relay, r, (int64_t)r->body_size);
    pass_data(relay, r, (mt_bytes_t){r->body, r->body_size});
  }
  if (r->status < 500) mt_engine_worked(r->engine, relay->now);
  mt_quarantine_answered(relay, r);
  effect(relay, MT_RELAY_DO_END, r);
  relay->counters.answers++;
  note(relay, r, "answered", "");
  remove_request(relay, r);
}

static void on_failed (mt_relay_t *relay, mt_relay_request_t *r,
                       bool not_sent) {
  if (!not_sent) {
    attempt_lost(relay, r, MT_RELAY_RETRY_LOST);
    return;
  }
  mt_engine_reached(r->engine, false, relay->now);
  r->engine->probe = relay->now;
  attempt_failed(relay, r, MT_RELAY_RETRY_CONNECT, false);
}

/* }== */

/* {== Engines that start again ========================================= */

/* A connection that went silent with the machine says nothing of it. */
static void lose_run (mt_relay_t *relay, mt_relay_request_t *r) {
  effect(relay, MT_RELAY_DO_CANCEL, r);
  attempt_lost(relay, r, MT_RELAY_RETRY_LOST);
}

/* What runs at the earlier start is lost with it. */
static void on_restarted (mt_relay_t *relay, uint64_t key) {
  mt_engine_t *e = mt_engines_get(&relay->engines, key);
  if (e == NULL) return;
  for (size_t i = relay->count; i-- > 0;)
    if (i < relay->count && relay->list[i]->engine == e)
      lose_run(relay, relay->list[i]);
  mt_quarantine_engine_ended(relay, key);
  mt_quarantine_tell(relay);
  mt_load_book_forget(&relay->book, key);
  mt_part_holders_forget(&relay->holders, key);
  mt_engine_restarted(e);
}

/* }== */

/* {== Time ============================================================= */

static void check_request (mt_relay_t *relay, mt_relay_request_t *r) {
  if (relay->now >= r->expires) {
    bool ran = r->may_have_run || r->gone_out;
    give_up(relay, r, ran ? MT_RELAY_TIMEOUT : MT_RELAY_TIMEOUT_UNRUN);
    return;
  }
  if (r->phase == MT_RELAY_ASKING) {
    if (!mt_quotes_overdue(relay, r)) return;
    relay->counters.quotes_late++;
    place(relay, r);
    return;
  }
  if (r->phase == MT_RELAY_TRYING && mt_quarantine_overdue(relay, r)) {
    refuse(relay, r, MT_RELAY_ON_PROBATION);
    return;
  }
  if (r->engine == NULL || !mt_silence_is_too_long(relay, r)) return;
  if (!may_retry(relay, r, r->gone_out)) return;
  mt_engine_t *e = r->engine;
  mt_placement_t other = mt_placement_choose(relay, r);
  if (other.engine == NULL) return;
  cancel_attempt(relay, r);
  mt_engine_failed(e, relay->now);
  attempt_failed(relay, r, MT_RELAY_RETRY_SILENT, r->gone_out);
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
  mt_quarantine_tell(relay);
  if (up && !e->unreachable)
    e->probing = false;
  else
    mt_engine_reached(e, up, relay->now);
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
  mt_load_book_expire(&relay->book, relay->now);
  mt_part_holders_expire(&relay->holders, relay->now);
  mt_cold_starts_expire(&relay->cold, relay->now);
}

/* }== */

/* {== The reducer ====================================================== */

static void on_attempt_event (mt_relay_t *relay, mt_relay_request_t *r,
                              const mt_relay_event_t *ev) {
  if (r->engine == NULL || ev->attempt != r->attempt) return; /* too late */
  switch (ev->kind) {
    case MT_RELAY_GONE_OUT: r->gone_out = true; break;
    case MT_RELAY_HEAD: on_head(relay, r, ev); break;
    case MT_RELAY_DATA: on_data(relay, r, ev->u.data); break;
    case MT_RELAY_FAILED: on_failed(relay, r, ev->u.not_sent); break;
    case MT_RELAY_END: on_end(relay, r); break;
    default: break;
  }
}

void mt_relay_step (mt_relay_t *relay, const mt_relay_event_t *ev,
                    mt_relay_effects_t *effects) {
  relay->now = ev->now;
  relay->effects = effects;
  free_finished(relay);
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
        mt_quarantine_too_late(relay, ev->u.tried.word);
      break;
    case MT_RELAY_RESTARTED: on_restarted(relay, ev->u.restarted); break;
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
    e->vanished = e->vanished ? e->vanished : since;
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
  while (relay->count > 0) remove_request(relay, relay->list[0]);
  free_finished(relay);
  free(relay->list);
  mtV_free(&relay->requests);
  mtV_each (&relay->services, i) free(relay->services.vals[i]);
  mtV_free(&relay->services);
  mt_load_book_free(&relay->book);
  mt_part_holders_free(&relay->holders);
  mt_cold_starts_free(&relay->cold);
  mt_fair_share_free(&relay->shares);
  mt_suspects_free(&relay->suspects);
  free(relay->lost.list);
  mt_engines_free(&relay->engines);
  mt_catalog_free(relay->catalog);
  free(relay);
}

/* }== */
