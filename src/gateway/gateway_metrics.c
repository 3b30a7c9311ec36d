/*
** gateway_metrics.c - metrics in the Prometheus text format
*/
#include <time.h>

#include "gateway_metrics.h"

#define PREFIX "martentiller_gateway_"

static void describe (mt_strbuf_t *out, const char *name, const char *type,
                      const char *help) {
  mt_strbuf_format(out, "# HELP " PREFIX "%s %s\n# TYPE " PREFIX "%s %s\n",
                   name, help, name, type);
}

static void number (mt_strbuf_t *out, const char *name, const char *type,
                    const char *help, double value) {
  describe(out, name, type, help);
  mt_strbuf_format(out, PREFIX "%s %.10g\n", name, value);
}

static void reasons (const mt_relay_counters_t *c, mt_strbuf_t *out) {
  describe(out, "refusals_total", "counter", "Requests refused, by reason.");
  for (int i = 0; i < MT_RELAY_REFUSAL_COUNT; i++)
    mt_strbuf_format(out, PREFIX "refusals_total{reason=\"%s\"} %llu\n",
                     mt_relay_refusal_code((mt_relay_refusal_t)i),
                     (unsigned long long)c->refusals[i]);
  describe(out, "retries_total", "counter",
           "Retries at another engine, by reason.");
  for (int i = 0; i < MT_RELAY_RETRY_COUNT; i++)
    mt_strbuf_format(out, PREFIX "retries_total{reason=\"%s\"} %llu\n",
                     mt_relay_retry_code((mt_relay_retry_t)i),
                     (unsigned long long)c->retries[i]);
}

static void admissions (const mt_relay_counters_t *c, mt_strbuf_t *out) {
  static const char *const names[MT_ADMIT_COUNT] = {
      [MT_ADMIT_UNKNOWN] = "unknown",
      [MT_ADMIT_WARM] = "warm",
      [MT_ADMIT_PERMIT] = "place",
      [MT_ADMIT_NONE] = "none"};
  describe(out, "admissions_total", "counter",
           "Answers of engine owners to admission queries, by answer.");
  for (int i = 0; i < MT_ADMIT_COUNT; i++)
    mt_strbuf_format(out, PREFIX "admissions_total{answer=\"%s\"} %llu\n",
                     names[i], (unsigned long long)c->admissions[i]);
}

static void suspects (const mt_relay_t *relay, mt_strbuf_t *out) {
  static const char *const names[MT_TRIAL_COUNT] = {
      [MT_TRIAL_FREE] = "free",
      [MT_TRIAL_GRANTED] = "granted",
      [MT_TRIAL_BUSY] = "busy",
      [MT_TRIAL_REFUSED] = "refused"};
  describe(out, "suspects", "gauge",
           "Requests suspected of crashing engines, by state.");
  for (int i = MT_SUSPICION_NOTED; i < MT_SUSPICION_COUNT; i++) {
    mt_suspicion_t state = (mt_suspicion_t)i;
    mt_strbuf_format(out, PREFIX "suspects{state=\"%s\"} %zu\n",
                     mt_suspicion_name(state),
                     mt_suspects_count(&relay->suspects, state, relay->now));
  }
  describe(out, "trials_total", "counter",
           "Answers of owners to queries whether a suspect may run.");
  for (int i = 0; i < MT_TRIAL_COUNT; i++)
    mt_strbuf_format(out, PREFIX "trials_total{answer=\"%s\"} %llu\n",
                     names[i], (unsigned long long)relay->counters.trials[i]);
}

static void peers (const mt_peer_traffic_t *traffic, mt_strbuf_t *out) {
  describe(out, "peer_messages_total", "counter",
           "Messages sent to other routers, by kind.");
  for (int i = 0; i < MT_PEER_KINDS; i++)
    mt_strbuf_format(out, PREFIX "peer_messages_total{kind=\"%s\"} %llu\n",
                     mt_peer_kind_name((mt_peer_kind_t)i),
                     (unsigned long long)traffic[i].messages);
  describe(out, "peer_bytes_total", "counter",
           "Bytes sent to other routers, by kind and to which domains.");
  for (int i = 0; i < MT_PEER_KINDS; i++) {
    const char *kind = mt_peer_kind_name((mt_peer_kind_t)i);
    uint64_t remote_bytes = traffic[i].bytes_remote;
    mt_strbuf_format(
        out, PREFIX "peer_bytes_total{kind=\"%s\",to=\"domain\"} %llu\n",
        kind, (unsigned long long)(traffic[i].bytes - remote_bytes));
    mt_strbuf_format(
        out, PREFIX "peer_bytes_total{kind=\"%s\",to=\"others\"} %llu\n",
        kind, (unsigned long long)remote_bytes);
  }
}

static void updates (const uint64_t *counts, mt_strbuf_t *out) {
  describe(out, "news_total", "counter",
           "Updates of the source sent to or received from routers.");
  for (int i = 0; i < MT_FEED_OUTCOMES; i++)
    mt_strbuf_format(out, PREFIX "news_total{outcome=\"%s\"} %llu\n",
                     mt_feed_outcome_name((mt_feed_outcome_t)i),
                     (unsigned long long)counts[i]);
}

static void source_events (const uint64_t *counts, mt_strbuf_t *out) {
  static const char *const names[MT_SOURCE_EVENTS] = {
      [MT_SOURCE_LISTED] = "listed",
      [MT_SOURCE_HISTORY_GONE] = "history_gone",
      [MT_SOURCE_RESTORED] = "restored"};
  describe(out, "source_events_total", "counter",
           "Calls to the configuration source, by event.");
  for (int i = 0; i < MT_SOURCE_EVENTS; i++)
    mt_strbuf_format(out, PREFIX "source_events_total{event=\"%s\"} %llu\n",
                     names[i], (unsigned long long)counts[i]);
}

static double processor_seconds (void) {
  struct timespec ts;
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
  return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

void mt_gateway_metrics (const mt_gateway_metrics_t *from, mt_strbuf_t *out) {
  const mt_relay_t *relay = from->relay;
  const mt_relay_counters_t *c = &relay->counters;
  number(out, "requests_total", "counter", "Requests received from callers.",
         (double)c->requests);
  number(out, "answers_total", "counter", "Complete answers sent to callers.",
         (double)c->answers);
  number(out, "aborted_total", "counter",
         "Answers aborted after their start.", (double)c->aborted);
  number(out, "callers_left_total", "counter",
         "Callers that disconnected before the end of their answer.",
         (double)c->callers_disconnected);
  number(out, "attempts_total", "counter", "Requests sent to engines.",
         (double)c->attempts);
  number(out, "engine_leaves_total", "counter",
         "Engines that reported draining in an answer to this router.",
         (double)c->drains);
  number(out, "engine_leaves_told_total", "counter",
         "Engines reported as draining by other routers.",
         (double)c->drains_gossiped);
  number(out, "engine_rests_total", "counter", "Backoff requests of engines.",
         (double)c->backoffs);
  number(out, "events_total", "counter", "Stream events sent to callers.",
         (double)c->events);
  number(out, "prompt_tokens_total", "counter",
         "Prompt tokens sent to engines.", (double)c->prompt_tokens);
  number(out, "prompt_tokens_unkept_total", "counter",
         "Prompt tokens probably not in the engine's prefix cache.",
         (double)c->prompt_tokens_missed);
  number(out, "fetches_total", "counter",
         "Requests whose engine fetched cached tokens from another engine.",
         (double)c->fetches);
  number(out, "prompt_tokens_fetched_total", "counter",
         "Prompt tokens fetched from another engine's prefix cache.",
         (double)c->tokens_fetched);
  number(out, "engine_probes_total", "counter",
         "Connection probes of unreachable engines.", (double)c->probes);
  number(out, "ends_total", "counter",
         "Requests lost because their engine ended.", (double)c->runs_lost);
  number(out, "retries_denied_total", "counter",
         "Retries denied by the retry budget.", (double)c->retries_denied);
  number(out, "quote_rounds_total", "counter",
         "Rounds of quote requests to the owners of engines.",
         (double)c->quotes_asked);
  number(out, "quote_rounds_late_total", "counter",
         "Rounds in which an owner did not answer in time.",
         (double)c->quotes_late);
  reasons(c, out);
  admissions(c, out);
  suspects(relay, out);
  peers(from->traffic, out);
  updates(from->updates, out);
  source_events(from->source_events, out);
  number(out, "requests", "gauge", "Requests in progress.",
         (double)relay->count);
  number(out, "engines", "gauge", "Engines known.",
         (double)relay->engines.count);
  number(out, "cold_engines", "gauge",
         "Engines in cold start, with a limited request rate.",
         (double)mt_cold_starts_count(&relay->cold, relay->now));
  number(out, "evacuated_domains", "gauge",
         "Failure domains that are evacuated: no requests go there.",
         (double)relay->evacuations.count);
  number(out, "addresses_refused_total", "counter",
         "Router addresses not stored because the table was full.",
         (double)from->addresses_refused);
  number(out, "routers", "gauge", "Live routers, this one included.",
         relay->routers);
  number(out, "configuration_version", "gauge",
         "Version of the configuration in force.",
         relay->catalog ? (double)relay->catalog->version : 0);
  number(out, "engine_connections_total", "counter",
         "Connections opened to engines.",
         (double)mt_http_client_opened(from->engines));
  number(out, "engine_connections", "gauge", "Open connections to engines.",
         (double)mt_http_client_connections(from->engines));
  number(out, "caller_connections", "gauge", "Open connections of callers.",
         (double)mt_http_server_connections(from->callers));
  number(out, "overloaded", "gauge",
         "1 while overloaded: not ready, and answers close connections.",
         from->overload->overloaded);
  number(out, "turn_lag_ms", "gauge",
         "Smoothed lag of event loop iterations.", from->overload->lag);
  number(out, "log_lines_dropped_total", "counter", "Log lines dropped.",
         (double)mt_log_writer_dropped(from->log));
  number(out, "processor_seconds_total", "counter", "CPU time used.",
         processor_seconds());
}
