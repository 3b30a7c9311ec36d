/*
** response_timeout.c - when an engine has sent nothing for too long
*/
#include "response_timeout.h"

/* A stream is overdue if no byte of any response of its engine comes for this
   long. */
#define ENGINE_SILENT_MS 700
/* Of a body that is buffered, in bytes per ms: one that comes more slowly is
   overdue as if nothing came. */
#define BODY_RATE_MIN 1
/* Between ticks: this process, or its box, stood still meanwhile. */
#define STALL_MS 200

/* Longest time without a byte of the request's response, in ms. */
static mt_ms_t silence_limit (const mt_relay_request_t *r) {
  if (r->kind != MT_ROUTE_STREAM) return 4 * r->objective;
  if (r->current.awaiting_event)
    return 2 * r->objective + (mt_ms_t)(2 * r->current.wait_expected);
  return mt_max(5 * r->pause, ENGINE_SILENT_MS);
}

/* Time in ms between two moments; 0 if the second is earlier. */
static mt_ms_t elapsed (mt_ms_t from, mt_ms_t to) {
  return to > from ? to - from : 0;
}

/*
** Time in ms from a moment to the last tick. On a busy machine iterations of
** the event loop are long, and the tick comes first in each: silence is
** certain only up to the previous one. What was sent while this router stood
** still may not have come yet.
*/
static mt_ms_t silence_since (const mt_relay_t *relay, mt_ms_t from) {
  return elapsed(mt_max(from, relay->reads_since), relay->last_tick);
}

bool mt_response_stalled (const mt_relay_t *relay) {
  return relay->now - relay->last_tick > STALL_MS;
}

bool mt_response_engine_silent (const mt_relay_t *relay,
                                const mt_relay_request_t *r) {
  mt_ms_t heard =
      mt_max(r->current.engine->last_received, r->current.last_received);
  return silence_since(relay, heard) > ENGINE_SILENT_MS;
}

bool mt_response_trickles (const mt_relay_t *relay,
                           const mt_relay_request_t *r) {
  if (r->phase != MT_RELAY_BUFFERING) return false;
  mt_ms_t waited = silence_since(relay, r->current.sent);
  return waited > silence_limit(r) && r->body_size < waited * BODY_RATE_MIN;
}

/* A stream is also overdue if no byte of any response comes from its engine.
   Nothing comes while this router does not read. */
bool mt_response_overdue (const mt_relay_t *relay,
                          const mt_relay_request_t *r) {
  if (r->current.paused) return false;
  if (mt_response_trickles(relay, r)) return true;
  mt_ms_t waited = silence_since(relay, r->current.last_received);
  if (waited > silence_limit(r)) return true;
  if (r->kind != MT_ROUTE_STREAM || waited < ENGINE_SILENT_MS) return false;
  mt_ms_t sent = elapsed(r->current.sent, relay->last_tick);
  return mt_response_engine_silent(relay, r) &&
         sent > ENGINE_SILENT_MS + (mt_ms_t)r->current.wait_expected;
}
