/*
** gateway_load.c - log line about the load of a gateway that is short of
** processor time
*/
#include "gateway_load.h"

#define PERIOD_MS 1000

typedef unsigned long long number_t;

static uint64_t refused (const mt_relay_counters_t *c) {
  uint64_t total = 0;
  for (int i = 0; i < MT_RELAY_REFUSAL_COUNT; i++) total += c->refusals[i];
  return total;
}

static void begin_period (mt_gateway_load_t *load,
                          const mt_gateway_load_view_t *view, mt_ms_t now) {
  const mt_relay_counters_t *c = &view->relay->counters;
  *load =
      (mt_gateway_load_t){.since = now,
                          .processor = view->processor,
                          .requests = c->requests,
                          .answers = c->answers,
                          .refused = refused(c),
                          .full = c->refusals[MT_RELAY_FULL],
                          .lagging = c->refused_lagging,
                          .accepted = mt_http_server_accepted(view->callers)};
}

static void log_period (const mt_gateway_load_t *load,
                        const mt_gateway_load_view_t *view,
                        mt_log_writer_t *log, mt_ms_t now) {
  const mt_relay_t *relay = view->relay;
  const mt_relay_counters_t *c = &relay->counters;
  const mt_overload_t *o = view->overload;
  mt_log_line(
      log, MT_LOG_LOAD, now, "load",
      "period=%llu lag=%.0f turn=%llu processor=%llu arrivals=%llu "
      "answers=%llu refused=%llu full=%llu lagging=%llu accepted=%llu "
      "requests=%zu connections=%zu "
      "outcome=%s",
      (number_t)(now - load->since), o->lag, (number_t)load->longest,
      (number_t)(view->processor - load->processor),
      (number_t)(c->requests - load->requests),
      (number_t)(c->answers - load->answers),
      (number_t)(refused(c) - load->refused),
      (number_t)(c->refusals[MT_RELAY_FULL] - load->full),
      (number_t)(c->refused_lagging - load->lagging),
      (number_t)(mt_http_server_accepted(view->callers) - load->accepted),
      relay->count, mt_http_server_connections(view->callers),
      o->severe       ? "refuses"
      : o->overloaded ? "not-ready"
                      : "ready");
}

void mt_gateway_load_tick (mt_gateway_load_t *load,
                           const mt_gateway_load_view_t *view,
                           mt_log_writer_t *log, mt_ms_t elapsed,
                           mt_ms_t now) {
  if (load->since == 0) begin_period(load, view, now);
  load->longest = mt_max(load->longest, elapsed);
  if (now - load->since < PERIOD_MS) return;
  if (view->overload->overloaded ||
      view->relay->counters.refusals[MT_RELAY_FULL] > load->full)
    log_period(load, view, log, now);
  begin_period(load, view, now);
}
