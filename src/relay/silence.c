/*
** silence.c - how long an engine may say nothing before it is left
*/
#include "silence.h"

#define ENGINE_SILENT_MS 700 /* nothing at all comes from it to anybody */

/* How long this request's engine may say nothing before it is left. */
static mt_ms_t patience (const mt_relay_request_t *r) {
  if (r->kind != MT_ROUTE_STREAM) return 4 * r->objective;
  if (r->awaiting_event)
    return 2 * r->objective + (mt_ms_t)(2 * r->wait_expected);
  return mt_max(5 * r->pause, ENGINE_SILENT_MS);
}

/* From one time to another; 0 if they are the other way round. */
static mt_ms_t since (mt_ms_t from, mt_ms_t to) {
  return to > from ? to - from : 0;
}

/*
** True when nothing at all comes from the engine any more. On a busy
** machine turns of the loop are long and the tick comes first in each:
** only time up to the last tick is known to have been silent.
*/
bool mt_silence_is_too_long (const mt_relay_t *relay,
                             const mt_relay_request_t *r) {
  mt_ms_t waited = since(r->last_received, relay->seen);
  if (waited > patience(r)) return true;
  if (r->kind != MT_ROUTE_STREAM || waited < ENGINE_SILENT_MS) return false;
  mt_ms_t engine_waited = since(r->engine->last_received, relay->seen);
  mt_ms_t sent = since(r->sent, relay->seen);
  return engine_waited > ENGINE_SILENT_MS &&
         sent > ENGINE_SILENT_MS + (mt_ms_t)r->wait_expected;
}
