/*
** request.c - the life cycle of a request and of its attempts at engines
*/
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admission.h"
#include "candidates.h"
#include "connects.h"
#include "hedge.h"
#include "quarantine.h"
#include "quotes.h"
#include "relay_load.h"
#include "request.h"
#include "stream_resume.h"

#define MIN_TIME_LEFT_MS 20 /* with less time left no attempt is started */
#define RETRY_AFTER_BASE_MS 200 /* mean Retry-After by default */
/* Mean Retry-After without room at any engine, as a fraction of the
   objective: a caller that returns after 3/20 of it has time left for a whole
   attempt. */
#define RETRY_AFTER_NO_ROOM_FRACTION 0.1
#define RETRY_AFTER_NO_ROOM_MIN_MS 100 /* the least such mean */
/* Retry-After is spread over the base and 1/4 of a backoff. */
#define BACKOFF_SPREAD 4
/* Longest idle time of a connection that is reused. It is short for a request
   that may run only once: the engine may have closed an idle connection, and
   a request lost with it could not be retried. */
#define MAX_IDLE_MS 60000
#define MAX_IDLE_ONCE_MS 2000

/* {== Effects ========================================================== */

mt_relay_effect_t *mt_relay_effect (mt_relay_t *relay,
                                    mt_relay_effect_kind_t kind) {
  mt_relay_effects_t *all = relay->effects;
  mt_relay_effect_t *fx = mtV_push(all->list, all->count, all->cap);
  *fx = (mt_relay_effect_t){.kind = kind};
  return fx;
}

mt_relay_effect_t *mt_request_effect (mt_relay_t *relay,
                                      mt_relay_effect_kind_t kind,
                                      const mt_relay_request_t *r) {
  mt_relay_effect_t *fx = mt_relay_effect(relay, kind);
  fx->request = r->number;
  fx->attempt = r->current.number;
  return fx;
}

void mt_request_log (mt_relay_t *relay, const mt_relay_request_t *r,
                     const char *outcome, const char *why) {
  if (relay->log != NULL) relay->log(relay->log_ud, r, outcome, why);
}

/* }== */

/* {== Requests ========================================================= */

mt_relay_request_t *mt_request_add (mt_relay_t *relay, uint64_t number) {
  mt_relay_request_t *r = mtV_new(sizeof *r);
  r->number = number;
  r->index = relay->count;
  r->arrived = relay->now;
  r->outcome = MT_RELAY_REFUSAL_COUNT;
  *mtV_push(relay->list, relay->count, relay->cap) = r;
  mtV_put(&relay->requests, number, r);
  return r;
}

void mt_request_free_finished (mt_relay_t *relay) {
  free(relay->spent);
  relay->spent = NULL;
  while (relay->finished != NULL) {
    mt_relay_request_t *r = relay->finished;
    relay->finished = r->finished_next;
    mt_event_stream_free(&r->current.stream);
    mt_event_stream_free(&r->hedge.stream);
    free(r->body);
    free(r->names);
    free(r);
  }
}

/* The next step frees the request, since effects may borrow its texts. */
void mt_request_remove (mt_relay_t *relay, mt_relay_request_t *r) {
  if (relay->effects != NULL) mt_quarantine_release_leases(relay, r);
  mt_hedge_remove(relay, r);
  mt_relay_remove_load(r);
  relay->buffered -= r->body_cap;
  relay->list[r->index] = relay->list[--relay->count];
  relay->list[r->index]->index = r->index;
  mtV_del(&relay->requests, r->number);
  r->finished_next = relay->finished;
  relay->finished = r;
}

/* Room for a request comes free within a fraction of its objective, and a
   later return is too late to be served in time. */
static mt_ms_t no_room_base_ms (const mt_relay_request_t *r) {
  double base = (double)r->objective * RETRY_AFTER_NO_ROOM_FRACTION;
  return mt_max((mt_ms_t)base, (mt_ms_t)RETRY_AFTER_NO_ROOM_MIN_MS);
}

/* True if the caller's return cannot help: a version does not come back once
   its engines are gone, and an origin that no owner knows stays unknown. */
static bool is_final (const mt_relay_request_t *r, mt_relay_refusal_t why) {
  switch (why) {
    case MT_RELAY_VERSION_GONE: return true;
    case MT_RELAY_STREAM_UNKNOWN:
      return r->origin_source != MT_ORIGIN_NONE ||
             (r->origin_asked > 0 && r->origin_replies >= r->origin_asked &&
              !r->records_missed);
    default: return false;
  }
}

/*
** Value of Retry-After in ms, spread so that callers do not return all at
** once; 0: none. Never before the first backoff of an engine is over, when
** the caller would only be refused again.
*/
static mt_ms_t retry_after_ms (const mt_relay_t *relay,
                               const mt_relay_request_t *r,
                               mt_relay_refusal_t why) {
  if (mt_relay_refusal_status(why) != 503) return 0;
  if (is_final(r, why)) return 0;
  mt_ms_t quarantine =
      why == MT_RELAY_QUARANTINED ? mt_quarantine_left(relay, r) : 0;
  if (quarantine > 0) return quarantine;
  mt_ms_t backoff = mt_candidates_backoff_left(relay, r);
  mt_ms_t base = RETRY_AFTER_BASE_MS;
  if (backoff > 0)
    return backoff +
           mtV_mix(r->number, r->arrived) % (base + backoff / BACKOFF_SPREAD);
  if (why == MT_RELAY_BUSY || why == MT_RELAY_OVER_SHARE)
    base = no_room_base_ms(r);
  return base / 2 + mtV_mix(r->number, r->arrived) % base;
}

mt_relay_refusal_t mt_request_no_engine_reason (const mt_relay_t *relay,
                                                const mt_relay_request_t *r) {
  if (!mt_resume_is_served(relay, r)) return MT_RELAY_VERSION_GONE;
  bool backoff = mt_candidates_backoff_left(relay, r) > 0;
  return backoff ? MT_RELAY_BACKOFF : MT_RELAY_NO_ENGINE;
}

static bool is_lack_of_engine (mt_relay_refusal_t why) {
  switch (why) {
    case MT_RELAY_NO_ENGINE:
    case MT_RELAY_BACKOFF:
    case MT_RELAY_VERSION_GONE:
    case MT_RELAY_UNREACHABLE: return true;
    default: return false;
  }
}

void mt_request_refuse (mt_relay_t *relay, mt_relay_request_t *r,
                        mt_relay_refusal_t why) {
  if (is_lack_of_engine(why)) relay->no_engine_at = relay->now;
  mt_admission_return_permits(relay, r);
  mt_relay_effect_t *fx = mt_request_effect(relay, MT_RELAY_DO_REFUSE, r);
  fx->u.refuse.why = why;
  fx->u.refuse.retry_after = retry_after_ms(relay, r, why);
  relay->counters.refusals[why]++;
  mt_request_log(relay, r, "refused", mt_relay_refusal_code(why));
  mt_request_remove(relay, r);
}

void mt_attempt_cancel (mt_relay_t *relay, mt_relay_request_t *r) {
  mt_hedge_cancel(relay, r);
  if (r->current.engine == NULL) return;
  mt_request_effect(relay, MT_RELAY_DO_CANCEL, r);
  if (!r->current.written) mt_relay_prompt_not_run(relay, r, false);
  mt_relay_remove_load(r);
}

void mt_request_refund (mt_relay_t *relay, mt_relay_request_t *r) {
  if (!r->charged) return;
  mt_fair_share_refund(&relay->shares, r->workspace, r->cost, r->charged_at);
  r->charged = false;
}

mt_relay_cut_t mt_request_cut (const mt_relay_request_t *r) {
  return r->framed_to_caller ? MT_RELAY_CUT_SHORT : MT_RELAY_CUT_RESET;
}

void mt_request_give_up (mt_relay_t *relay, mt_relay_request_t *r,
                         mt_relay_refusal_t why) {
  mt_attempt_cancel(relay, r);
  if (r->phase != MT_RELAY_STREAMING) {
    mt_request_refund(relay, r);
    mt_request_refuse(relay, r, why);
    return;
  }
  mt_request_effect(relay, MT_RELAY_DO_ABORT, r);
  relay->counters.aborted++;
  relay->counters.cuts[mt_request_cut(r)]++;
  mt_request_log(relay, r, "aborted", mt_relay_refusal_code(why));
  mt_request_remove(relay, r);
}

void mt_attempt_discard_body (mt_relay_request_t *r) {
  r->body_size = 0;
  if (r->phase != MT_RELAY_STREAMING) r->phase = MT_RELAY_SENT;
}

void mt_request_release_body (mt_relay_t *relay, mt_relay_request_t *r) {
  free(relay->spent);
  relay->spent = r->body;
  relay->buffered -= r->body_cap;
  r->body = NULL;
  r->body_size = r->body_cap = 0;
}

static void note_reached (mt_relay_request_t *r, mt_attempt_t *a) {
  a->again = mt_candidates_was_reached(r, a->engine->key);
  if (!a->again) r->reached[r->reached_count++] = a->engine->key;
}

void mt_attempt_not_sent (mt_relay_request_t *r, const mt_attempt_t *a) {
  if (a->again) return;
  for (int i = 0; i < r->reached_count; i++) {
    if (r->reached[i] != a->engine->key) continue;
    r->reached[i] = r->reached[--r->reached_count];
    return;
  }
}

/* Sends it to the engine of the placement as the current attempt. */
static mt_relay_effect_t *send_attempt (mt_relay_t *relay,
                                        mt_relay_request_t *r,
                                        const mt_placement_t *p) {
  if (r->phase == MT_RELAY_STREAMING && p->engine->version != r->version)
    relay->counters.version_changes++;
  r->current.number = ++r->attempts;
  r->tried[r->tried_count++ % MT_RELAY_TRIES_MAX] = p->engine->key;
  r->current.sent = r->current.last_received = relay->now;
  r->current.status = 0;
  r->current.written = r->current.outlived = false;
  r->current.first_event_at = 0;
  r->current.paused = r->current.lagged = false;
  r->current.heard = 0;
  r->current.last_id = -1;
  r->current.has_events = r->current.has_others = false;
  r->current.fault = NULL;
  mt_event_stream_reset(&r->current.stream);
  mt_engine_request_sent(p->engine, relay->now);
  mt_admission_use_permit(relay, r, p->engine);
  mt_relay_add_load(relay, r, p);
  note_reached(r, &r->current);
  relay->counters.attempts++;
  relay->counters.prompt_tokens += (uint64_t)r->tokens_in;
  relay->counters.prompt_tokens_missed += (uint64_t)p->miss;
  if (!r->charged && r->workspace != 0 && r->segments_count > 0) {
    mt_fair_share_record_served(&relay->shares, r->workspace, r->cost);
    r->charged = true;
    r->charged_at = relay->shares.decayed_at;
  }
  mt_relay_effect_t *fx = mt_request_effect(relay, MT_RELAY_DO_START, r);
  fx->u.start.engine = p->engine->key;
  fx->u.start.deadline_ms = r->expires - relay->now;
  fx->u.start.last_event = r->last_event;
  fx->u.start.workspace = r->workspace;
  if (p->fetch.source != NULL) {
    fx->u.start.source = p->fetch.source->key;
    relay->counters.fetches++;
    relay->counters.tokens_fetched += (uint64_t)p->fetch.tokens;
  }
  fx->u.start.max_idle_ms = r->repeatable ? MAX_IDLE_MS : MAX_IDLE_ONCE_MS;
  return fx;
}

void mt_attempt_start (mt_relay_t *relay, mt_relay_request_t *r,
                       const mt_placement_t *p) {
  mt_attempt_discard_body(r);
  send_attempt(relay, r, p);
}

void mt_attempt_swap (mt_relay_request_t *r) {
  mt_attempt_t current = r->current;
  r->current = r->hedge;
  r->hedge = current;
}

void mt_attempt_note_written (mt_attempt_t *a, mt_ms_t now) {
  a->written = true;
  a->written_at = now;
}

void mt_attempt_note_head (const mt_relay_request_t *r, mt_attempt_t *a,
                           const mt_relay_event_t *ev) {
  a->status = ev->u.head.status;
  a->events =
      r->kind == MT_ROUTE_STREAM && ev->u.head.events && a->status / 100 == 2;
  a->framed = ev->u.head.framed;
  a->last_received = a->heard = a->engine->last_received = ev->now;
  if (ev->u.head.verdict != MT_RELAY_UNSIGNED)
    mt_engine_progressed(a->engine, ev->now);
}

const mt_attempt_t *mt_relay_attempt (const mt_relay_request_t *r,
                                      int number) {
  if (r->current.engine != NULL && r->current.number == number)
    return &r->current;
  if (r->hedge.engine != NULL && r->hedge.number == number) return &r->hedge;
  return NULL;
}

/* }== */

/* {== Retries ========================================================== */

bool mt_attempt_may_retry (mt_relay_t *relay, const mt_relay_request_t *r,
                           bool ran) {
  if (r->tried_count >= MT_RELAY_TRIES_MAX) return false;
  if (r->reached_count >= r->attempts_max && !mt_candidates_may_return(r))
    return false;
  if ((ran || r->may_have_run) && !r->repeatable) return false;
  if (r->phase == MT_RELAY_STREAMING && !r->resumable) return false;
  if (ran && mt_quarantine_forbids_retry(relay, r)) return false;
  return relay->now + MIN_TIME_LEFT_MS < r->expires;
}

/* Takes a retry from the budget. An attempt is no retry as long as none has
   reached an engine. */
static bool take_budget (mt_relay_t *relay, const mt_relay_request_t *r) {
  mt_relay_service_t *s = mt_relay_service(relay, r->service);
  if (r->reached_count == 0) return true;
  if (mt_retry_budget_take(&s->budget, &relay->params.retry, relay->routers,
                           relay->now))
    return true;
  relay->counters.retries_denied++;
  return false;
}

static mt_relay_refusal_t final_refusal (const mt_relay_t *relay,
                                         const mt_relay_request_t *r,
                                         mt_relay_retry_t reason) {
  if (r->phase == MT_RELAY_STREAMING && !mt_resume_is_served(relay, r))
    return MT_RELAY_VERSION_GONE;
  if (r->may_have_run) return MT_RELAY_ENGINE_LOST;
  if (reason == MT_RELAY_RETRY_REJECTED) return MT_RELAY_REJECTED;
  if (reason == MT_RELAY_RETRY_NOTICE)
    return mt_request_no_engine_reason(relay, r);
  return MT_RELAY_UNREACHABLE;
}

/*
** A retry of a request that has not run needs room like a first attempt, or
** retries alone would fill the engines that still take work. One that has run
** is not given up for want of room.
*/
static bool retry_has_room (mt_relay_t *relay, const mt_relay_request_t *r,
                            const mt_placement_t *p, bool ran) {
  mt_relay_refusal_t why;
  if (ran || r->may_have_run || r->phase == MT_RELAY_STREAMING) return true;
  return mt_placement_admits(relay, r, p, &why);
}

/*
** While engines reject most requests the budget is short, and the workspace
** that sends most would use most of it: retries of rejected requests are
** kept for workspaces below their share.
*/
static bool may_use_budget (mt_relay_t *relay, const mt_relay_request_t *r,
                            mt_relay_retry_t reason) {
  if (reason != MT_RELAY_RETRY_REJECTED || r->workspace == 0) return true;
  return mt_fair_share_accepted_ratio(&relay->shares, r->workspace) <= 1;
}

/*
** Asks for quotes of further engines after a failed connect: the quotes at
** hand are older than the connect time-out, and more engines may have become
** unreachable meanwhile. Its cost is not charged while it waits.
*/
static bool ask_further (mt_relay_t *relay, mt_relay_request_t *r) {
  bool asking = r->phase == MT_RELAY_AWAITING_QUOTES;
  if (asking || r->phase == MT_RELAY_STREAMING || r->may_have_run ||
      r->on_trial)
    return false;
  if (!mt_quotes_ask_further(relay, r)) return false;
  mt_request_refund(relay, r);
  r->phase = MT_RELAY_AWAITING_QUOTES;
  relay->counters.quotes_asked++;
  mt_request_effect(relay, MT_RELAY_DO_GET_QUOTES, r);
  return true;
}

static bool find_usable (mt_relay_t *relay, mt_relay_request_t *r, bool ran,
                         mt_placement_t *p) {
  mt_candidates_find_homes(relay, r);
  *p = mt_placement_choose(relay, r);
  return p->engine != NULL && retry_has_room(relay, r, p, ran);
}

/* Finds another engine, or else one whose response was invalid; false if
   there is none, or no room. */
static bool find_other (mt_relay_t *relay, mt_relay_request_t *r, bool ran,
                        mt_placement_t *p) {
  return find_usable(relay, r, ran, p) ||
         (mt_candidates_return(r) && find_usable(relay, r, ran, p));
}

static void start_retry (mt_relay_t *relay, mt_relay_request_t *r,
                         mt_relay_retry_t reason, const mt_placement_t *p) {
  relay->counters.retries[reason]++;
  mt_request_log(relay, r, "retried", mt_relay_retry_code(reason));
  mt_attempt_start(relay, r, p);
}

bool mt_attempt_move_unsent (mt_relay_t *relay, mt_relay_request_t *r,
                             mt_relay_retry_t reason) {
  mt_placement_t p;
  mt_attempt_not_sent(r, &r->current);
  if (!mt_attempt_may_retry(relay, r, false) ||
      !find_other(relay, r, false, &p) || !take_budget(relay, r)) {
    if (!r->current.again) note_reached(r, &r->current);
    return false;
  }
  mt_request_effect(relay, MT_RELAY_DO_CANCEL, r);
  mt_request_log(relay, r, "attempt-failed", mt_relay_retry_code(reason));
  mt_relay_prompt_not_run(relay, r, false);
  mt_relay_remove_load(r);
  start_retry(relay, r, reason, &p);
  return true;
}

/* Sends the request to another engine, or asks for quotes of further ones;
   false if there is no engine, room or budget. */
static bool retry (mt_relay_t *relay, mt_relay_request_t *r,
                   mt_relay_retry_t reason) {
  mt_placement_t p;
  if (!find_other(relay, r, false, &p))
    return reason == MT_RELAY_RETRY_CONNECT && ask_further(relay, r);
  if (!may_use_budget(relay, r, reason) || !take_budget(relay, r))
    return false;
  start_retry(relay, r, reason, &p);
  return true;
}

/* False if no byte of the attempt reached its engine. */
static bool was_sent (mt_relay_retry_t reason) {
  return reason != MT_RELAY_RETRY_CONNECT && reason != MT_RELAY_RETRY_NOTICE;
}

void mt_attempt_failed (mt_relay_t *relay, mt_relay_request_t *r,
                        mt_relay_retry_t reason, bool ran) {
  mt_request_log(relay, r, "attempt-failed", mt_relay_retry_code(reason));
  if (!ran)
    mt_relay_prompt_not_run(relay, r, reason == MT_RELAY_RETRY_REJECTED);
  if (!was_sent(reason)) mt_attempt_not_sent(r, &r->current);
  mt_relay_remove_load(r);
  bool again = mt_attempt_may_retry(relay, r, ran);
  if (ran) r->may_have_run = true;
  if (mt_hedge_take_over(relay, r)) return;
  if (again && retry(relay, r, reason)) return;
  mt_request_give_up(relay, r, final_refusal(relay, r, reason));
}

/*
** The attempt that the hedge is beside may still go on, so the hedge needs
** room like a first attempt, unless the engine cannot be reached. A new
** connection shows that its own engine can be.
*/
bool mt_attempt_hedge (mt_relay_t *relay, mt_relay_request_t *r) {
  mt_placement_t p;
  mt_relay_refusal_t why;
  const mt_relay_retry_t reason = MT_RELAY_RETRY_SILENT;
  if (!r->current.written || !mt_attempt_may_retry(relay, r, true))
    return false;
  if (!find_other(relay, r, true, &p)) return false;
  if (!r->current.engine->unreachable &&
      !mt_placement_admits(relay, r, &p, &why))
    return false;
  if (!take_budget(relay, r)) return false;
  relay->counters.retries[reason]++;
  mt_request_log(relay, r, "hedged", mt_relay_retry_code(reason));
  mt_attempt_swap(r);
  mt_relay_effect_t *fx = send_attempt(relay, r, &p);
  mt_attempt_swap(r);
  fx->u.start.hedge = true;
  fx->u.start.max_idle_ms = 0;
  return true;
}

/* No cancel: the error response is read to the end, which keeps the
   connection usable. */
bool mt_attempt_retry_error (mt_relay_t *relay, mt_relay_request_t *r) {
  mt_placement_t p;
  const mt_relay_retry_t reason = MT_RELAY_RETRY_ERROR;
  if (!r->hedge.written) mt_hedge_cancel(relay, r);
  bool has_hedge = r->hedge.engine != NULL;
  if (!has_hedge &&
      (!mt_attempt_may_retry(relay, r, true) ||
       !find_other(relay, r, true, &p) || !take_budget(relay, r)))
    return false;
  mt_request_log(relay, r, "attempt-failed", mt_relay_retry_code(reason));
  mt_relay_remove_load(r);
  r->may_have_run = true;
  if (mt_hedge_take_over(relay, r)) return true;
  start_retry(relay, r, reason, &p);
  return true;
}

void mt_attempt_retry_quoted (mt_relay_t *relay, mt_relay_request_t *r) {
  const mt_relay_retry_t reason = MT_RELAY_RETRY_CONNECT;
  bool again = mt_attempt_may_retry(relay, r, false);
  if (again && retry(relay, r, reason)) return;
  mt_request_refuse(relay, r, final_refusal(relay, r, reason));
}

/* The engine may get the request again, where no other one may: its next
   response may well be valid. The request is suspected only if the engine
   ends next. */
void mt_attempt_note_invalid (mt_relay_t *relay, mt_relay_request_t *r,
                              const char *fault) {
  r->current.fault = fault;
  mt_engine_response_judged(r->current.engine, false, relay->now);
  mt_candidates_note_invalid(r, r->current.engine->key);
  mt_quarantine_run_invalid(relay, r);
}

/* Such an engine does not get the request again: reading as much once more
   would take the time that is left. */
void mt_attempt_note_endless (mt_relay_t *relay, mt_attempt_t *a) {
  const mt_event_verdict_t fault = MT_EVENT_TOO_LONG;
  relay->counters.checked[fault]++;
  a->fault = mt_event_verdict_name(fault);
  mt_engine_response_judged(a->engine, false, relay->now);
}

void mt_attempt_invalid (mt_relay_t *relay, mt_relay_request_t *r,
                         const char *fault) {
  mt_attempt_note_invalid(relay, r, fault);
  mt_attempt_failed(relay, r, MT_RELAY_RETRY_INVALID, true);
}

void mt_attempt_lost (mt_relay_t *relay, mt_relay_request_t *r,
                      mt_relay_retry_t reason) {
  mt_connects_engine_failed(relay, r->current.engine);
  mt_quarantine_run_lost(relay, r);
  mt_attempt_failed(relay, r, reason, true);
}

/* }== */
