/*
** hedge.c - a second attempt beside one whose engine is silent
*/
#include <string.h>

#include "candidates.h"
#include "connects.h"
#include "hedge.h"
#include "quarantine.h"
#include "relay_load.h"
#include "request.h"
#include "response.h"
#include "response_events.h"
#include "response_timeout.h"

/* Longest time that both engines may work on the request. */
#define OVERLAP_MAX_MS 200
#define HEDGE_INTERVAL_MS 100 /* between tries to start one */

static bool has_hedge (const mt_relay_request_t *r) {
  return r->hedge.engine != NULL;
}

/* {== Its end ========================================================== */

void mt_hedge_remove (mt_relay_t *relay, mt_relay_request_t *r) {
  if (!has_hedge(r)) return;
  mt_attempt_swap(r);
  mt_relay_remove_load(r);
  mt_event_stream_free(&r->current.stream);
  r->current = (mt_attempt_t){.number = 0};
  mt_attempt_swap(r);
}

/* `ran`: the engine ran it, or may have. */
static void end_hedge (mt_relay_t *relay, mt_relay_request_t *r, bool ran,
                       mt_hedge_outcome_t outcome) {
  if (ran) r->may_have_run = true;
  relay->counters.hedges[outcome]++;
  mt_attempt_swap(r);
  mt_request_log(relay, r, "hedge", mt_hedge_outcome_name(outcome));
  mt_attempt_swap(r);
  mt_hedge_remove(relay, r);
}

static void cancel_call (mt_relay_t *relay, mt_relay_request_t *r) {
  mt_request_effect(relay, MT_RELAY_DO_CANCEL, r)->attempt = r->hedge.number;
}

/* The engine has not run it, and so has not cached its prompt. */
static void prompt_not_run (mt_relay_t *relay, mt_relay_request_t *r,
                            bool rejected) {
  mt_attempt_swap(r);
  mt_relay_prompt_not_run(relay, r, rejected);
  mt_attempt_swap(r);
}

void mt_hedge_cancel (mt_relay_t *relay, mt_relay_request_t *r) {
  if (!has_hedge(r)) return;
  bool written = r->hedge.written;
  cancel_call(relay, r);
  if (!written) {
    prompt_not_run(relay, r, false);
    mt_attempt_not_sent(r, &r->hedge);
  }
  end_hedge(relay, r, written, MT_HEDGE_CANCELLED);
}

/* }== */

/* {== It becomes the current attempt =================================== */

static void become_current (mt_relay_t *relay, mt_relay_request_t *r,
                            mt_hedge_outcome_t outcome) {
  mt_attempt_swap(r);
  mt_event_stream_free(&r->hedge.stream);
  r->hedge = (mt_attempt_t){.number = 0};
  mt_attempt_discard_body(r);
  relay->counters.hedges[outcome]++;
  mt_request_log(relay, r, "hedge", mt_hedge_outcome_name(outcome));
  if (r->current.status != 0) mt_response_accepted(relay, r);
}

bool mt_hedge_take_over (mt_relay_t *relay, mt_relay_request_t *r) {
  if (!has_hedge(r)) return false;
  become_current(relay, r, MT_HEDGE_TOOK_OVER);
  return true;
}

/* What the end of a silent attempt says of its engine: one that answers other
   requests has failed this one. */
static void record_silent_engine (mt_relay_t *relay,
                                  const mt_relay_request_t *r) {
  mt_engine_t *e = r->current.engine;
  if (mt_response_engine_silent(relay, r))
    mt_engine_doubt_version(e, relay->now);
  else
    mt_connects_engine_failed(relay, e);
}

/* Ends the silent attempt for the hedge. Its engine has not failed, and may
   get the request again if that of the hedge does. */
static void replace_current (mt_relay_t *relay, mt_relay_request_t *r,
                             mt_hedge_outcome_t outcome) {
  record_silent_engine(relay, r);
  mt_request_effect(relay, MT_RELAY_DO_CANCEL, r);
  mt_request_log(relay, r, "attempt-failed",
                 mt_relay_retry_code(MT_RELAY_RETRY_SILENT));
  mt_candidates_forget_try(r, r->current.engine->key);
  mt_relay_remove_load(r);
  r->may_have_run = true;
  become_current(relay, r, outcome);
}

/* }== */

/* {== Its events ======================================================= */

static void on_lost (mt_relay_t *relay, mt_relay_request_t *r) {
  mt_attempt_swap(r);
  mt_connects_engine_failed(relay, r->current.engine);
  mt_quarantine_run_lost(relay, r);
  mt_attempt_swap(r);
  end_hedge(relay, r, true, MT_HEDGE_FAILED);
}

/* Its response is invalid, whose fault has this name. */
static void on_invalid (mt_relay_t *relay, mt_relay_request_t *r,
                        const char *fault) {
  mt_attempt_swap(r);
  mt_attempt_note_invalid(relay, r, fault);
  mt_attempt_swap(r);
  end_hedge(relay, r, true, MT_HEDGE_FAILED);
}

void mt_hedge_engine_ended (mt_relay_t *relay, mt_relay_request_t *r) {
  if (!r->hedge.written) {
    mt_hedge_cancel(relay, r);
    return;
  }
  cancel_call(relay, r);
  on_lost(relay, r);
}

static void on_failed (mt_relay_t *relay, mt_relay_request_t *r,
                       const mt_relay_event_t *ev) {
  if (!ev->u.failed.not_sent) {
    on_lost(relay, r);
    return;
  }
  mt_engine_t *e = r->hedge.engine;
  prompt_not_run(relay, r, false);
  mt_attempt_not_sent(r, &r->hedge);
  end_hedge(relay, r, false, MT_HEDGE_FAILED);
  mt_response_connect_failed(relay, e, ev->u.failed.refused);
}

/* A response that cannot replace or continue what the caller gets. The short
   body of an error is read to the end, which keeps the connection usable. */
static bool is_useless (const mt_relay_request_t *r) {
  if (r->hedge.status >= 500) return true;
  return r->phase == MT_RELAY_STREAMING && !r->hedge.events;
}

static void on_head (mt_relay_t *relay, mt_relay_request_t *r,
                     const mt_relay_event_t *ev) {
  mt_engine_t *e = r->hedge.engine;
  mt_attempt_note_head(r, &r->hedge, ev);
  switch (ev->u.head.verdict) {
    case MT_RELAY_REPLACED:
      mt_relay_engine_gone(relay, e);
      mt_quarantine_engine_ended(relay, e->key);
      cancel_call(relay, r);
      prompt_not_run(relay, r, false);
      end_hedge(relay, r, false, MT_HEDGE_FAILED);
      return;
    case MT_RELAY_NOT_RUN:
      mt_engine_request_rejected(e, relay->now);
      prompt_not_run(relay, r, true);
      end_hedge(relay, r, false, MT_HEDGE_FAILED);
      return;
    case MT_RELAY_UNSIGNED:
    case MT_RELAY_RAN: break;
  }
  mt_head_fault_t fault = mt_response_head_fault(r, &r->hedge, ev);
  if (fault != MT_HEAD_FAULTS) {
    relay->counters.invalid_heads[fault]++;
    cancel_call(relay, r);
    on_invalid(relay, r, mt_head_fault_name(fault));
    return;
  }
  if (!is_useless(r)) return;
  if (r->hedge.status >= 500)
    mt_engine_failed(e, relay->now);
  else
    cancel_call(relay, r);
  end_hedge(relay, r, true, MT_HEDGE_FAILED);
}

/* Looks for an event that the caller lacks, and leaves it for the winner. The
   first engine is not left for a response that has failed already. */
static mt_event_verdict_t next_due (mt_relay_t *relay,
                                    mt_relay_request_t *r) {
  mt_stream_event_t event;
  for (;;) {
    mt_event_verdict_t verdict =
        mt_response_next_event(relay, r, &r->hedge, &event);
    if (verdict == MT_EVENT_DUE) {
      mt_event_verdict_t fault = mt_response_fault_ahead(relay, r, &r->hedge);
      if (mt_event_is_fault(fault)) relay->counters.checked[fault]++;
      return mt_event_is_fault(fault) ? fault : verdict;
    }
    if (verdict != MT_EVENT_KNOWN) return verdict;
    mt_response_take_event(relay, &r->hedge, &event, verdict);
  }
}

/* True if the data completes an event that the caller lacks, or is of a
   response without events: the hedge wins. */
static bool on_data (mt_relay_t *relay, mt_relay_request_t *r,
                     const mt_relay_event_t *ev) {
  if (!r->hedge.events) return true;
  r->hedge.engine->last_received = relay->now;
  if (!mt_event_stream_feed(&r->hedge.stream, ev->u.data.p, ev->u.data.n)) {
    mt_attempt_note_endless(relay, &r->hedge);
    cancel_call(relay, r);
    on_lost(relay, r);
    return false;
  }
  mt_event_verdict_t verdict = next_due(relay, r);
  if (mt_event_is_fault(verdict)) {
    cancel_call(relay, r);
    on_invalid(relay, r, mt_event_verdict_name(verdict));
  }
  return verdict == MT_EVENT_DUE;
}

/* True if the response that has ended is of no use. */
static bool ended_badly (mt_relay_t *relay, mt_relay_request_t *r) {
  mt_attempt_swap(r);
  bool truncated = mt_response_is_truncated(r);
  mt_event_verdict_t fault = mt_response_end_fault(relay, r);
  mt_attempt_swap(r);
  if (truncated) {
    on_lost(relay, r);
  } else if (mt_event_is_fault(fault)) {
    relay->counters.checked[fault]++;
    on_invalid(relay, r, mt_event_verdict_name(fault));
  }
  return truncated || mt_event_is_fault(fault);
}

bool mt_hedge_on_event (mt_relay_t *relay, mt_relay_request_t *r,
                        const mt_relay_event_t *ev) {
  if (!has_hedge(r) || ev->attempt != r->hedge.number) return false;
  switch (ev->kind) {
    case MT_RELAY_WRITTEN:
      mt_attempt_note_written(&r->hedge, relay->now);
      if (ev->u.connected) mt_connects_made(relay, r->hedge.engine);
      return true;
    case MT_RELAY_HEAD: on_head(relay, r, ev); return true;
    case MT_RELAY_FAILED: on_failed(relay, r, ev); return true;
    case MT_RELAY_END:
      if (ended_badly(relay, r)) return true;
      replace_current(relay, r, MT_HEDGE_WON);
      return false;
    case MT_RELAY_DATA:
      if (!on_data(relay, r, ev)) return true;
      replace_current(relay, r, MT_HEDGE_WON);
      if (!r->current.events) return false;
      mt_response_data(relay, r, (mt_bytes_t){"", 0}, ev->delayed);
      return true;
    default: return true;
  }
}

/* }== */

/* {== Time ============================================================= */

/* While this process is short of processor time silence is its own. */
static void start_hedge (mt_relay_t *relay, mt_relay_request_t *r) {
  if (relay->now < r->next_hedge || relay->overloaded) return;
  r->next_hedge = relay->now + HEDGE_INTERVAL_MS;
  if (!mt_attempt_hedge(relay, r)) relay->counters.hedges_denied++;
}

/* What either engine has sent by the previous tick is read: the hedge would
   have been rejected. Not so behind a stall of this router. */
static bool is_overlap_over (const mt_relay_t *relay,
                             const mt_attempt_t *hedge) {
  return hedge->written && !mt_response_stalled(relay) &&
         relay->last_tick > hedge->written_at + OVERLAP_MAX_MS;
}

/* True if its engine has shown that it works since it got the hedge: by the
   head of its response, or by progress of any other one. */
static bool engine_works (const mt_attempt_t *hedge) {
  return hedge->status != 0 ||
         hedge->engine->last_progress > hedge->written_at;
}

/*
** One of the two has to go, and neither has won. The first attempt may be
** given up if its engine cannot be reached, or if that of the hedge works: a
** box whose kernel accepts connections says nothing of the process. It stays
** all the same if any byte of it has come meanwhile, or if this router may be
** late to read one.
*/
static void end_overlap (mt_relay_t *relay, mt_relay_request_t *r) {
  bool replaceable =
      r->current.engine->unreachable || engine_works(&r->hedge);
  if (!replaceable || relay->overloaded || r->current.heard >= r->hedge.sent)
    mt_hedge_cancel(relay, r);
  else
    replace_current(relay, r, MT_HEDGE_KEPT);
}

void mt_hedge_check (mt_relay_t *relay, mt_relay_request_t *r) {
  if (has_hedge(r)) {
    if (is_overlap_over(relay, &r->hedge)) end_overlap(relay, r);
    return;
  }
  if (!mt_response_overdue(relay, r)) return;
  if (mt_response_engine_silent(relay, r))
    mt_connects_engine_silent(relay, r->current.engine);
  start_hedge(relay, r);
}

/* }== */
