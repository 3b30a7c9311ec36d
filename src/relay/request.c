/*
** request.c - the life of one request and of its attempts at engines
*/
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admission.h"
#include "candidates.h"
#include "quarantine.h"
#include "relay_load.h"
#include "request.h"

#define LAST_CHANCE_MS 20 /* less time left: no new attempt */
#define RETRY_SOON_MS 200
#define RESTED_SPREAD 4 /* part of a rest in which callers come back */
#define RESTED_MS 60000
#define RESTED_ONCE_MS 2000 /* what may run once shuns what may be closed */

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
  fx->attempt = r->attempt;
  return fx;
}

void mt_request_note (mt_relay_t *relay, const mt_relay_request_t *r,
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
  while (relay->finished != NULL) {
    mt_relay_request_t *r = relay->finished;
    relay->finished = r->finished_next;
    mt_event_stream_free(&r->stream);
    free(r->body);
    free(r);
  }
}

/* Its texts stay until the next step: effects may have borrowed them. */
void mt_request_remove (mt_relay_t *relay, mt_relay_request_t *r) {
  if (relay->effects != NULL) mt_quarantine_release_leases(relay, r);
  mt_relay_disengage(r);
  relay->list[r->index] = relay->list[--relay->count];
  relay->list[r->index]->index = r->index;
  mtV_del(&relay->requests, r->number);
  r->finished_next = relay->finished;
  relay->finished = r;
}

/*
** A moment to come back at, spread so that not all come at once. Before the
** first engine's rest is over a caller would only be refused again.
*/
static mt_ms_t come_back (const mt_relay_t *relay,
                          const mt_relay_request_t *r,
                          mt_relay_refusal_t why) {
  if (mt_relay_refusal_status(why) != 503) return 0;
  if (why == MT_RELAY_QUARANTINED)
    return mt_suspects_status(&relay->suspects, r->digest, relay->now).left;
  mt_ms_t rest = mt_candidates_backoff_left(relay, r);
  mt_ms_t base = RETRY_SOON_MS;
  if (rest > 0)
    return rest +
           mtV_mix(r->number, r->arrived) % (base + rest / RESTED_SPREAD);
  if (why == MT_RELAY_BUSY || why == MT_RELAY_OVER_SHARE)
    base = mt_max(r->objective, RETRY_SOON_MS);
  return base / 2 + mtV_mix(r->number, r->arrived) % base;
}

mt_relay_refusal_t mt_request_lack (const mt_relay_t *relay,
                                    const mt_relay_request_t *r) {
  bool rest = mt_candidates_backoff_left(relay, r) > 0;
  return rest ? MT_RELAY_RESTING : MT_RELAY_NO_ENGINE;
}

static bool lacked_engine (mt_relay_refusal_t why) {
  switch (why) {
    case MT_RELAY_NO_ENGINE:
    case MT_RELAY_RESTING:
    case MT_RELAY_UNREACHABLE: return true;
    default: return false;
  }
}

void mt_request_refuse (mt_relay_t *relay, mt_relay_request_t *r,
                        mt_relay_refusal_t why) {
  if (lacked_engine(why)) relay->lacked = relay->now;
  mt_admission_give_back(relay, r);
  mt_relay_effect_t *fx = mt_request_effect(relay, MT_RELAY_DO_REFUSE, r);
  fx->u.refuse.why = why;
  fx->u.refuse.retry_after = come_back(relay, r, why);
  relay->counters.refusals[why]++;
  mt_request_note(relay, r, "refused", mt_relay_refusal_code(why));
  mt_request_remove(relay, r);
}

void mt_attempt_cancel (mt_relay_t *relay, mt_relay_request_t *r) {
  if (r->engine == NULL) return;
  mt_request_effect(relay, MT_RELAY_DO_CANCEL, r);
  mt_relay_disengage(r);
}

/* What was counted as served has brought its caller nothing. */
void mt_request_take_back (mt_relay_t *relay, mt_relay_request_t *r) {
  if (!r->served) return;
  mt_fair_share_record_served(&relay->shares, r->workspace, -r->cost);
  r->served = false;
}

/* Nothing more can be done for it. */
void mt_request_give_up (mt_relay_t *relay, mt_relay_request_t *r,
                         mt_relay_refusal_t why) {
  mt_attempt_cancel(relay, r);
  if (r->phase != MT_RELAY_STREAMING) {
    mt_request_take_back(relay, r);
    mt_request_refuse(relay, r, why);
    return;
  }
  mt_request_effect(relay, MT_RELAY_DO_ABORT, r);
  relay->counters.aborted++;
  mt_request_note(relay, r, "aborted", mt_relay_refusal_code(why));
  mt_request_remove(relay, r);
}

void mt_attempt_start (mt_relay_t *relay, mt_relay_request_t *r,
                       const mt_placement_t *p) {
  r->attempt++;
  r->arrivals++;
  r->tried[r->tried_count++ % MT_RELAY_TRIES_MAX] = p->engine->key;
  r->sent = r->last_received = relay->now;
  r->status = 0;
  r->gone_out = false;
  r->body_size = 0;
  mt_event_stream_free(&r->stream);
  if (r->phase != MT_RELAY_STREAMING) r->phase = MT_RELAY_SENT;
  mt_engine_request_sent(p->engine, relay->now);
  mt_admission_settle(relay, r, p->engine);
  mt_relay_engage(relay, r, p);
  relay->counters.attempts++;
  relay->counters.tokens_wanted += (uint64_t)r->tokens_in;
  relay->counters.tokens_missed += (uint64_t)p->miss;
  if (!r->served && r->workspace != 0 && r->parts_count > 0) {
    mt_fair_share_record_served(&relay->shares, r->workspace, r->cost);
    r->served = true;
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
  fx->u.start.rested_ms = r->repeatable ? RESTED_MS : RESTED_ONCE_MS;
}

/* }== */

/* {== Attempts that failed ============================================= */

/* True when the attempt at hand may be followed by another. */
bool mt_attempt_may_follow (mt_relay_t *relay, const mt_relay_request_t *r,
                            bool ran) {
  if (r->tried_count >= MT_RELAY_TRIES_MAX) return false;
  if (r->arrivals >= r->attempts_max) return false;
  if ((ran || r->may_have_run) && !r->repeatable) return false;
  if (r->phase == MT_RELAY_STREAMING && !r->resumable) return false;
  if (ran && mt_quarantine_forbids_retry(relay, r)) return false;
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

static mt_relay_refusal_t last_word (const mt_relay_t *relay,
                                     const mt_relay_request_t *r,
                                     mt_relay_retry_t reason) {
  if (r->may_have_run) return MT_RELAY_ENGINE_LOST;
  if (reason == MT_RELAY_RETRY_SHED) return MT_RELAY_SHED;
  if (reason == MT_RELAY_RETRY_NOTICE) return mt_request_lack(relay, r);
  return MT_RELAY_UNREACHABLE;
}

/*
** A retry of what has not run needs room like a first attempt, or retries
** alone would fill the engines that still take work. What has run is not
** given up for want of room.
*/
static bool retry_has_room (mt_relay_t *relay, const mt_relay_request_t *r,
                            const mt_placement_t *p) {
  mt_relay_refusal_t why;
  if (r->may_have_run || r->phase == MT_RELAY_STREAMING) return true;
  return mt_placement_admits(relay, r, p, &why);
}

/*
** While engines reject most requests the budget is short, and whoever asks
** most would use most of it: it is kept for workspaces below their share.
*/
static bool is_owed_retry (mt_relay_t *relay, const mt_relay_request_t *r,
                           mt_relay_retry_t reason) {
  if (reason != MT_RELAY_RETRY_SHED || r->workspace == 0) return true;
  return mt_fair_share_service_ratio(&relay->shares, r->workspace) <= 1;
}

/* Starts anew elsewhere; false when there is no engine, room or budget. */
static bool retry (mt_relay_t *relay, mt_relay_request_t *r,
                   mt_relay_retry_t reason) {
  mt_candidates_find_homes(relay, r);
  mt_placement_t p = mt_placement_choose(relay, r);
  if (p.engine == NULL || !retry_has_room(relay, r, &p)) return false;
  if (!is_owed_retry(relay, r, reason) || !take_budget(relay, r))
    return false;
  relay->counters.retries[reason]++;
  mt_request_note(relay, r, "retried", mt_relay_retry_code(reason));
  mt_attempt_start(relay, r, &p);
  return true;
}

/* False for an attempt of which no byte reached its engine. */
static bool was_sent (mt_relay_retry_t reason) {
  return reason != MT_RELAY_RETRY_CONNECT && reason != MT_RELAY_RETRY_NOTICE;
}

/* The attempt is over; goes on elsewhere or gives the request up. */
void mt_attempt_failed (mt_relay_t *relay, mt_relay_request_t *r,
                        mt_relay_retry_t reason, bool ran) {
  mt_request_note(relay, r, "attempt-failed", mt_relay_retry_code(reason));
  mt_relay_disengage(r);
  if (!was_sent(reason)) r->arrivals--;
  bool again = mt_attempt_may_follow(relay, r, ran);
  if (ran) r->may_have_run = true;
  if (again && retry(relay, r, reason)) return;
  mt_request_give_up(relay, r, last_word(relay, r, reason));
}

/* The engine's answer ended, or must end, before it was whole. */
void mt_attempt_lost (mt_relay_t *relay, mt_relay_request_t *r,
                      mt_relay_retry_t reason) {
  mt_engine_failed(r->engine, relay->now);
  mt_quarantine_run_lost(relay, r);
  mt_attempt_failed(relay, r, reason, true);
}

/* }== */
