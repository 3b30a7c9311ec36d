/*
** response.c - forwards or discards the responses of engines
*/
#include <stdlib.h>
#include <string.h>

#include "response.h"
#include "response_events.h"
#include "candidates.h"
#include "connects.h"
#include "hedge.h"
#include "quarantine.h"
#include "relay_load.h"
#include "request.h"
#include "response_timeout.h"
#include "stream_resume.h"

/* A response body is buffered up to this size, so that a failed one can be
   replaced by a retry; a longer one is forwarded as it comes. */
#define BUFFERED_BODY_MAX (256u << 10)
/* Rate of an engine's invalid responses at which it counts as sound. */
#define INVALID_NEGLIGIBLE 0.05

void mt_response_accepted (mt_relay_t *relay, mt_relay_request_t *r) {
  mt_engine_succeeded(r->current.engine);
  mt_engine_request_accepted(r->current.engine, r->current.sent, relay->now);
  if (r->segments_count > 0)
    mt_request_effect(relay, MT_RELAY_DO_REPORT_HOLDER, r);
}

mt_head_fault_t mt_response_head_fault (const mt_relay_request_t *r,
                                        const mt_attempt_t *a,
                                        const mt_relay_event_t *ev) {
  if (ev->u.head.verdict == MT_RELAY_UNSIGNED) return MT_HEAD_UNSIGNED;
  bool stream = r->kind == MT_ROUTE_STREAM && a->status / 100 == 2;
  return stream && !a->events ? MT_HEAD_NO_STREAM : MT_HEAD_FAULTS;
}

void mt_response_head (mt_relay_t *relay, mt_relay_request_t *r,
                       const mt_relay_event_t *ev) {
  mt_engine_t *e = r->current.engine;
  mt_attempt_note_head(r, &r->current, ev);
  switch (ev->u.head.verdict) {
    case MT_RELAY_REPLACED:
      mt_relay_engine_gone(relay, e);
      mt_quarantine_engine_ended(relay, e->key);
      mt_request_effect(relay, MT_RELAY_DO_CANCEL, r);
      mt_attempt_failed(relay, r, MT_RELAY_RETRY_REPLACED, false);
      return;
    case MT_RELAY_NOT_RUN:
      mt_engine_request_rejected(e, relay->now);
      /* No cancel: its short response is read to the end, which keeps the
         connection usable. */
      mt_attempt_failed(relay, r, MT_RELAY_RETRY_REJECTED, false);
      return;
    case MT_RELAY_UNSIGNED:
    case MT_RELAY_RAN: break;
  }
  mt_head_fault_t fault = mt_response_head_fault(r, &r->current, ev);
  if (fault != MT_HEAD_FAULTS) {
    relay->counters.invalid_heads[fault]++;
    mt_request_effect(relay, MT_RELAY_DO_CANCEL, r);
    mt_attempt_invalid(relay, r, mt_head_fault_name(fault));
    return;
  }
  if (r->phase == MT_RELAY_STREAMING && !r->current.events) {
    /* Not a continuation of the stream that the caller is receiving. */
    if (r->current.status >= 500) mt_engine_failed(e, relay->now);
    mt_attempt_failed(relay, r, MT_RELAY_RETRY_ERROR, true);
    return;
  }
  if (r->current.status < 500) {
    mt_response_accepted(relay, r);
    return;
  }
  /* A 5xx that only asks for a backoff is not counted as a failure. */
  if (e->backoff_until <= relay->now) mt_engine_failed(e, relay->now);
  mt_attempt_retry_error(relay, r);
}

/* Forwards the head once. A body that the engine did not frame is not framed
   for the caller either, who could not tell that it is truncated. */
static void forward_head (mt_relay_t *relay, mt_relay_request_t *r,
                          int64_t length) {
  if (r->phase == MT_RELAY_STREAMING) return;
  mt_hedge_cancel(relay, r); /* its body cannot be joined to this one */
  r->phase = MT_RELAY_STREAMING;
  r->framed_to_caller = r->current.framed;
  mt_request_effect(relay, MT_RELAY_DO_HEAD, r)->u.length =
      r->current.framed ? length : MT_RELAY_LENGTH_UNFRAMED;
}

static void forward_data (mt_relay_t *relay, mt_relay_request_t *r,
                          mt_bytes_t data) {
  if (data.n > 0)
    mt_request_effect(relay, MT_RELAY_DO_DATA, r)->u.data = data;
}

/* An event came from the engine. Gaps that are not the engine's are not
   learnt: from the engine of an earlier attempt, or while the router did not
   read or was overloaded. */
static void note_received (mt_relay_t *relay, mt_relay_request_t *r) {
  if (!r->current.awaiting_event && !r->current.delayed && !relay->overloaded)
    mt_relay_learn_gap(relay, r, relay->now - r->current.event_received);
  r->current.event_received = relay->now;
  r->current.delayed = false;
  if (r->current.first_event_at == 0) r->current.first_event_at = relay->now;
  mt_quarantine_run_progressed(relay, r);
}

static void note_forwarded (mt_relay_t *relay, mt_relay_request_t *r) {
  if (r->events_count++ > 0)
    r->longest_gap = mt_max(r->longest_gap, relay->now - r->event_forwarded);
  r->event_forwarded = relay->now;
}

/* The answer goes on, so no second attempt is needed. */
static void note_progress (mt_relay_t *relay, mt_relay_request_t *r) {
  r->current.last_received = relay->now;
  if (!r->current.lagged) mt_engine_progressed(r->current.engine, relay->now);
  mt_hedge_cancel(relay, r);
}

/* The engine's first event has come: its prefill is over. */
static void note_prefilled (mt_relay_t *relay, mt_relay_request_t *r) {
  r->current.ttft = mt_max(relay->now - r->current.sent, (mt_ms_t)1);
  mt_relay_learn_prefill(relay, r);
  mt_relay_prefill_done(r);
}

static void forward_event (mt_relay_t *relay, mt_relay_request_t *r,
                           const mt_stream_event_t *event) {
  mt_response_note_first_id(relay, r);
  if (event->id >= 0) r->last_event = event->id;
  note_progress(relay, r);
  if (r->events_count == 0) mt_resume_began(relay, r);
  note_forwarded(relay, r);
  forward_head(relay, r, MT_RELAY_LENGTH_UNKNOWN);
  forward_data(relay, r, event->text);
}

/* Forwards the events that have come, up to a fault, which it returns. */
static mt_event_verdict_t forward_events (mt_relay_t *relay,
                                          mt_relay_request_t *r) {
  mt_stream_event_t event;
  for (;;) {
    mt_event_verdict_t verdict =
        mt_response_next_event(relay, r, &r->current, &event);
    if (verdict != MT_EVENT_DUE && verdict != MT_EVENT_KNOWN) return verdict;
    note_received(relay, r);
    if (r->current.awaiting_event) note_prefilled(relay, r);
    if (verdict == MT_EVENT_DUE) forward_event(relay, r, &event);
    mt_response_take_event(relay, &r->current, &event, verdict);
  }
}

/* Only events that the caller does not have yet are forwarded, and are
   progress: other bytes could go on for ever. */
static void on_event_data (mt_relay_t *relay, mt_relay_request_t *r,
                           mt_bytes_t data) {
  if (!mt_event_stream_feed(&r->current.stream, data.p, data.n)) {
    mt_attempt_note_endless(relay, &r->current);
    mt_request_effect(relay, MT_RELAY_DO_CANCEL, r);
    mt_attempt_lost(relay, r, MT_RELAY_RETRY_LOST);
    return;
  }
  mt_event_verdict_t verdict = forward_events(relay, r);
  if (!mt_event_is_fault(verdict)) return;
  mt_request_effect(relay, MT_RELAY_DO_CANCEL, r);
  mt_attempt_invalid(relay, r, mt_event_verdict_name(verdict));
}

static void append_body (mt_relay_t *relay, mt_relay_request_t *r,
                         mt_bytes_t data) {
  if (r->body_size + data.n > r->body_cap) {
    size_t cap = mt_max(r->body_size + data.n, r->body_cap * 2);
    r->body = realloc(r->body, cap);
    if (r->body == NULL) abort();
    relay->buffered += cap - r->body_cap;
    r->body_cap = cap;
  }
  memcpy(r->body + r->body_size, data.p, data.n);
  r->body_size += data.n;
}

static size_t buffer_max (const mt_relay_t *relay) {
  size_t max = BUFFERED_BODY_MAX;
  return relay->buffer_max > 0 ? mt_min(relay->buffer_max, max) : max;
}

static void on_plain_data (mt_relay_t *relay, mt_relay_request_t *r,
                           mt_bytes_t data) {
  if (!mt_response_trickles(relay, r)) note_progress(relay, r);
  if (r->phase == MT_RELAY_STREAMING) {
    forward_data(relay, r, data);
    return;
  }
  r->phase = MT_RELAY_BUFFERING;
  append_body(relay, r, data);
  if (r->body_size < buffer_max(relay)) return;
  forward_head(relay, r, MT_RELAY_LENGTH_UNKNOWN);
  forward_data(relay, r, (mt_bytes_t){r->body, r->body_size});
  mt_request_release_body(relay, r);
}

void mt_response_data (mt_relay_t *relay, mt_relay_request_t *r,
                       mt_bytes_t data, bool delayed) {
  r->current.engine->last_received = r->current.heard = relay->now;
  r->current.delayed = r->current.delayed || delayed;
  if (r->current.events)
    on_event_data(relay, r, data);
  else
    on_plain_data(relay, r, data);
}

/* Whether an unframed response of a later engine is complete is unknown, but
   the caller was promised framing; and a stream has one event at least. */
bool mt_response_is_truncated (const mt_relay_request_t *r) {
  if (r->current.framed) return false;
  if (r->framed_to_caller) return true;
  if (!r->current.events) return false;
  return r->current.first_event_at == 0 ||
         mt_event_stream_partial(&r->current.stream);
}

/*
** A stream is resumed also where only its end was lost, so a response may
** have no event. That is believed of an engine whose responses were valid
** lately, and if nothing else came in its place.
*/
static bool has_nothing_to_add (const mt_relay_t *relay,
                                const mt_relay_request_t *r) {
  const mt_attempt_t *a = &r->current;
  return r->last_event >= 0 && !a->has_others &&
         mt_engine_invalid_rate(a->engine, relay->now) < INVALID_NEGLIGIBLE;
}

/* True if the engine began the stream anew, and ended it before the last
   event that the caller got here. */
static bool is_behind_caller (const mt_relay_request_t *r) {
  return r->current.last_id >= 0 && r->current.last_id < r->last_event &&
         r->last_event > r->first_event;
}

mt_event_verdict_t mt_response_end_fault (const mt_relay_t *relay,
                                          const mt_relay_request_t *r) {
  const mt_attempt_t *a = &r->current;
  if (!a->events) return MT_EVENT_NOTHING;
  if (mt_event_stream_partial(&a->stream)) return MT_EVENT_UNFINISHED;
  bool missing =
      a->has_events ? is_behind_caller(r) : !has_nothing_to_add(relay, r);
  return missing ? MT_EVENT_MISSING : MT_EVENT_NOTHING;
}

static void end_invalid (mt_relay_t *relay, mt_relay_request_t *r,
                         mt_event_verdict_t fault) {
  relay->counters.checked[fault]++;
  mt_attempt_invalid(relay, r, mt_event_verdict_name(fault));
}

void mt_response_end (mt_relay_t *relay, mt_relay_request_t *r) {
  if (mt_response_is_truncated(r)) {
    mt_attempt_lost(relay, r, MT_RELAY_RETRY_LOST);
    return;
  }
  mt_event_verdict_t fault = mt_response_end_fault(relay, r);
  if (mt_event_is_fault(fault)) {
    end_invalid(relay, r, fault);
    return;
  }
  mt_hedge_cancel(relay, r);
  if (r->phase != MT_RELAY_STREAMING) {
    forward_head(relay, r, (int64_t)r->body_size);
    forward_data(relay, r, (mt_bytes_t){r->body, r->body_size});
  }
  if (r->current.status < 500) mt_engine_succeeded(r->current.engine);
  mt_engine_response_judged(r->current.engine, true, relay->now);
  if (r->current.events) mt_relay_learn_stream(relay, r);
  mt_quarantine_run_answered(relay, r);
  mt_request_effect(relay, MT_RELAY_DO_END, r);
  relay->counters.answers++;
  mt_request_log(relay, r, "answered", "");
  mt_request_remove(relay, r);
}

static bool is_unsent_to (const mt_attempt_t *a, mt_id_t domain) {
  return a->engine != NULL && !a->written && a->engine->remote &&
         a->engine->domain_id == domain;
}

/*
** Requests whose connects to the failure domain are in progress are retried
** elsewhere: each would only wait for its time-out. One for which no other
** engine is left stays.
*/
static void withdraw_unsent (mt_relay_t *relay, mt_id_t domain) {
  for (size_t i = relay->count; i-- > 0;) {
    if (i >= relay->count) continue;
    mt_relay_request_t *r = relay->list[i];
    if (is_unsent_to(&r->hedge, domain)) mt_hedge_cancel(relay, r);
    if (!is_unsent_to(&r->current, domain)) continue;
    mt_candidates_check_cuts(relay, r);
    if (r->ignores_cuts) continue;
    mt_request_effect(relay, MT_RELAY_DO_CANCEL, r);
    mt_attempt_failed(relay, r, MT_RELAY_RETRY_CONNECT, false);
  }
}

void mt_response_connect_failed (mt_relay_t *relay, mt_engine_t *e,
                                 bool refused) {
  mt_id_t domain = e->domain_id;
  if (mt_connects_failed(relay, e, refused)) withdraw_unsent(relay, domain);
}

void mt_response_failed (mt_relay_t *relay, mt_relay_request_t *r,
                         bool not_sent, bool refused) {
  if (!not_sent) {
    mt_attempt_lost(relay, r, MT_RELAY_RETRY_LOST);
    return;
  }
  mt_id_t domain = r->current.engine->domain_id;
  bool lost = mt_connects_failed(relay, r->current.engine, refused);
  mt_attempt_failed(relay, r, MT_RELAY_RETRY_CONNECT, false);
  if (lost) withdraw_unsent(relay, domain);
}
