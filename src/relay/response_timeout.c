/*
** response_timeout.c - when an engine has sent nothing for too long
*/
#include "response_timeout.h"

/* A stream is overdue if no byte of any response of its engine comes for this
   long. */
#define ENGINE_SILENT_MS 700

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
** A stream is also overdue if no byte of any response comes from its engine.
** On a busy machine iterations of the event loop are long, and the tick comes
** first in each: silence is certain only up to the previous tick.
*/
bool mt_response_overdue (const mt_relay_t *relay,
                          const mt_relay_request_t *r) {
  mt_ms_t waited = elapsed(r->current.last_received, relay->last_tick);
  if (waited > silence_limit(r)) return true;
  if (r->kind != MT_ROUTE_STREAM || waited < ENGINE_SILENT_MS) return false;
  mt_ms_t engine_waited =
      elapsed(r->current.engine->last_received, relay->last_tick);
  mt_ms_t sent = elapsed(r->current.sent, relay->last_tick);
  return engine_waited > ENGINE_SILENT_MS &&
         sent > ENGINE_SILENT_MS + (mt_ms_t)r->current.wait_expected;
}
