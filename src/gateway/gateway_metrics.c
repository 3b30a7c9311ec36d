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
  describe(out, "retries_total", "counter", "Further attempts, by reason.");
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
           "What owners answered about sending an engine a request.");
  for (int i = 0; i < MT_ADMIT_COUNT; i++)
    mt_strbuf_format(out, PREFIX "admissions_total{answer=\"%s\"} %llu\n",
                     names[i], (unsigned long long)c->admissions[i]);
}

static double max_slowness (const mt_relay_t *relay) {
  double max = 0;
  for (size_t i = 0; i < relay->engines.count; i++)
    max = mt_max(max, mt_relay_slowness(relay, relay->engines.list[i]));
  return max;
}

static void speeds (const mt_relay_t *relay, mt_strbuf_t *out) {
  describe(out, "speed_reports_total", "counter",
           "Reports of routers on engines owned here, by outcome.");
  for (int i = 0; i < MT_SPEED_REPORT_COUNT; i++)
    mt_strbuf_format(out, PREFIX "speed_reports_total{outcome=\"%s\"} %llu\n",
                     mt_speed_report_name((mt_speed_report_t)i),
                     (unsigned long long)relay->counters.speed_reports[i]);
  number(out, "engine_slowness_max", "gauge",
         "Time to first token at the slowest engine, measured over expected.",
         max_slowness(relay));
  number(out, "accepted_fraction", "gauge",
         "Part of the requests with prompts that engines accept, on average.",
         relay->accepted);
}

static void suspects (const mt_relay_t *relay, mt_strbuf_t *out) {
  static const char *const names[MT_TRIAL_COUNT] = {
      [MT_TRIAL_FREE] = "free",
      [MT_TRIAL_GRANTED] = "granted",
      [MT_TRIAL_BUSY] = "busy",
      [MT_TRIAL_REFUSED] = "refused"};
  describe(out, "suspects", "gauge",
           "Requests and prompt segments under which engines ended, by "
           "state.");
  for (int i = MT_SUSPICION_NOTED; i < MT_SUSPICION_COUNT; i++) {
    mt_suspicion_t state = (mt_suspicion_t)i;
    mt_strbuf_format(out, PREFIX "suspects{state=\"%s\"} %zu\n",
                     mt_suspicion_name(state),
                     mt_suspects_count(&relay->suspects, state, relay->now));
  }
  describe(out, "trials_total", "counter",
           "What owners answered about running a suspect.");
  for (int i = 0; i < MT_TRIAL_COUNT; i++)
    mt_strbuf_format(out, PREFIX "trials_total{answer=\"%s\"} %llu\n",
                     names[i], (unsigned long long)relay->counters.trials[i]);
}

static void origins (const mt_relay_t *relay, mt_strbuf_t *out) {
  describe(out, "origins_found_total", "counter",
           "Resumed streams by how their origin was known.");
  for (int i = MT_ORIGIN_LOCAL; i < MT_ORIGIN_SOURCES; i++)
    mt_strbuf_format(out, PREFIX "origins_found_total{source=\"%s\"} %llu\n",
                     mt_origin_source_name((mt_origin_source_t)i),
                     (unsigned long long)relay->counters.origins_found[i]);
  number(out, "origins_recorded_total", "counter",
         "Streams added to this router's record of origins.",
         (double)relay->counters.origins_recorded);
  number(out, "origins_unrecorded_total", "counter",
         "Streams left out of a record since it was full.",
         (double)relay->counters.origins_unrecorded);
  number(out, "origins_read_total", "counter",
         "Rows read in records of origins.",
         (double)relay->counters.origins_read);
  number(out, "origin_record_writes_failed_total", "counter",
         "Writes of the record that the source has not taken.",
         (double)relay->counters.origin_writes_failed);
  number(out, "origin_record_reads_failed_total", "counter",
         "Reads of the records that failed or came too late.",
         (double)relay->counters.origin_reads_failed);
  number(out, "list_checks_total", "counter",
         "Reads of the list of engines for resumed streams.",
         (double)relay->counters.list_checks);
  number(out, "list_checks_failed_total", "counter",
         "Those that failed or came too late.",
         (double)relay->counters.list_checks_failed);
}

static void cuts (const mt_relay_counters_t *c, mt_strbuf_t *out) {
  describe(out, "cut_answers_total", "counter",
           "Answers cut off midway, by how their callers can tell.");
  for (int i = 0; i < MT_RELAY_CUTS; i++)
    mt_strbuf_format(out, PREFIX "cut_answers_total{end=\"%s\"} %llu\n",
                     mt_relay_cut_name((mt_relay_cut_t)i),
                     (unsigned long long)c->cuts[i]);
}

static int count_invalid_engines (const mt_relay_t *relay) {
  int count = 0;
  for (size_t i = 0; i < relay->engines.count; i++)
    count += mt_engine_is_invalid(relay->engines.list[i], relay->now);
  return count;
}

static void events (const mt_relay_t *relay, mt_strbuf_t *out) {
  const mt_relay_counters_t *c = &relay->counters;
  describe(out, "stream_events_checked_total", "counter",
           "Blocks of lines in streams of engines, by what they are.");
  for (int i = 0; i < MT_EVENT_VERDICT_COUNT; i++)
    mt_strbuf_format(
        out, PREFIX "stream_events_checked_total{verdict=\"%s\"} %llu\n",
        mt_event_verdict_name((mt_event_verdict_t)i),
        (unsigned long long)c->checked[i]);
  describe(out, "invalid_heads_total", "counter",
           "Heads of responses that are not what engines send, by fault.");
  for (int i = 0; i < MT_HEAD_FAULTS; i++)
    mt_strbuf_format(out, PREFIX "invalid_heads_total{fault=\"%s\"} %llu\n",
                     mt_head_fault_name((mt_head_fault_t)i),
                     (unsigned long long)c->invalid_heads[i]);
  number(out, "invalid_engines", "gauge",
         "Engines most of whose recent responses here were invalid.",
         count_invalid_engines(relay));
}

static void hedges (const mt_relay_counters_t *c, mt_strbuf_t *out) {
  describe(out, "hedges_total", "counter",
           "Second attempts beside silent engines, by what became of them.");
  for (int i = 0; i < MT_HEDGE_OUTCOMES; i++)
    mt_strbuf_format(out, PREFIX "hedges_total{outcome=\"%s\"} %llu\n",
                     mt_hedge_outcome_name((mt_hedge_outcome_t)i),
                     (unsigned long long)c->hedges[i]);
  number(out, "hedges_denied_total", "counter",
         "Times that no engine, room or budget was left for one.",
         (double)c->hedges_denied);
  number(out, "silent_engines_total", "counter",
         "Times that an engine sent nothing for too long.",
         (double)c->silent_engines);
}

static void peers (const mt_peer_traffic_t *traffic, mt_strbuf_t *out) {
  describe(out, "peer_messages_total", "counter",
           "Messages sent to other routers, by kind.");
  for (int i = 0; i < MT_PEER_KINDS; i++)
    mt_strbuf_format(out, PREFIX "peer_messages_total{kind=\"%s\"} %llu\n",
                     mt_peer_kind_name((mt_peer_kind_t)i),
                     (unsigned long long)traffic[i].messages);
  describe(out, "peer_bytes_total", "counter",
           "Their bytes, within the failure domain and to others.");
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
           "News of the source told to other routers or heard, by outcome.");
  for (int i = 0; i < MT_FEED_OUTCOMES; i++)
    mt_strbuf_format(out, PREFIX "news_total{outcome=\"%s\"} %llu\n",
                     mt_feed_outcome_name((mt_feed_outcome_t)i),
                     (unsigned long long)counts[i]);
}

static void source_events (const uint64_t *counts, mt_strbuf_t *out) {
  static const char *const names[MT_SOURCE_EVENTS] = {
      [MT_SOURCE_LISTED] = "listed",
      [MT_SOURCE_HISTORY_GONE] = "history_gone",
      [MT_SOURCE_RESTORED] = "restored",
      [MT_SOURCE_REFUSED] = "refused"};
  describe(out, "source_events_total", "counter",
           "What became of calls to the source of declarations.");
  for (int i = 0; i < MT_SOURCE_EVENTS; i++)
    mt_strbuf_format(out, PREFIX "source_events_total{event=\"%s\"} %llu\n",
                     names[i], (unsigned long long)counts[i]);
}

static void source_faults (const mt_source_faults_t *faults,
                           mt_strbuf_t *out) {
  describe(out, "source_faults_total", "counter",
           "Entries of the source that were ignored, and its lists that were "
           "not read, by reason.");
  for (int r = 0; r < MT_SOURCE_RANGES; r++)
    for (int i = 0; i < MT_SOURCE_FAULTS; i++)
      mt_strbuf_format(
          out, PREFIX "source_faults_total{feed=\"%s\",reason=\"%s\"} %llu\n",
          mt_source_range_name((mt_source_range_t)r),
          mt_source_fault_name((mt_source_fault_t)i),
          (unsigned long long)faults->count[r][i]);
}

static void malformed_heads (const mt_http_client_t *engines,
                             mt_strbuf_t *out) {
  describe(out, "malformed_heads_total", "counter",
           "Heads of engines that HTTP does not have, by reason.");
  for (int i = MT_HTTP_HEAD_SOUND + 1; i < MT_HTTP_HEAD_FAULTS; i++)
    mt_strbuf_format(out,
                     PREFIX "malformed_heads_total{reason=\"%s\"} %llu\n",
                     mt_http_head_fault_name((mt_http_head_fault_t)i),
                     (unsigned long long)mt_http_client_head_faults(
                         engines, (mt_http_head_fault_t)i));
}

static void caller_closes (const mt_http_closes_t *closes, mt_strbuf_t *out) {
  describe(out, "caller_closes_total", "counter",
           "Connections of callers that were closed, by reason.");
  for (int i = 0; i < MT_HTTP_CLOSES; i++)
    mt_strbuf_format(out, PREFIX "caller_closes_total{reason=\"%s\"} %llu\n",
                     mt_http_close_name((mt_http_close_t)i),
                     (unsigned long long)closes->total[i]);
  describe(out, "caller_closes_unread_total", "counter",
           "Those with input that had not been read.");
  for (int i = 0; i < MT_HTTP_CLOSES; i++)
    mt_strbuf_format(
        out, PREFIX "caller_closes_unread_total{reason=\"%s\"} %llu\n",
        mt_http_close_name((mt_http_close_t)i),
        (unsigned long long)closes->unread[i]);
}

static void memory (const mt_memory_budget_t *budget, mt_strbuf_t *out) {
  describe(out, "caller_memory_bytes", "gauge",
           "Memory that callers make this gateway hold, by kind.");
  for (int i = 0; i < MT_MEMORY_KINDS; i++)
    mt_strbuf_format(out, PREFIX "caller_memory_bytes{kind=\"%s\"} %zu\n",
                     mt_memory_kind_name((mt_memory_kind_t)i),
                     budget->held[i]);
  number(out, "caller_memory_limit_bytes", "gauge",
         "The most that it may be: beyond it requests are refused.",
         (double)budget->limit);
}

static void turns (const mt_loop_turns_t *turns, mt_strbuf_t *out) {
  uint64_t total = 0;
  describe(out, "turn_ms", "histogram",
           "Length of the loop's turns, from one poll to the next.");
  for (size_t i = 0; i < MT_TURN_BOUNDS; i++) {
    mt_ms_t bound = mt_loop_turns_bound(i);
    total += turns->counts[i];
    if (bound != 0)
      mt_strbuf_format(out, PREFIX "turn_ms_bucket{le=\"%llu\"} %llu\n",
                       (unsigned long long)bound, (unsigned long long)total);
  }
  mt_strbuf_format(out,
                   PREFIX "turn_ms_bucket{le=\"+Inf\"} %llu\n" PREFIX
                          "turn_ms_sum %llu\n" PREFIX "turn_ms_count %llu\n",
                   (unsigned long long)total,
                   (unsigned long long)turns->total_ms,
                   (unsigned long long)total);
}

static double processor_seconds (void) {
  struct timespec ts;
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
  return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

void mt_gateway_metrics (const mt_gateway_metrics_t *from, mt_strbuf_t *out) {
  const mt_relay_t *relay = from->relay;
  const mt_relay_counters_t *c = &relay->counters;
  number(out, "requests_total", "counter", "Requests taken from callers.",
         (double)c->requests);
  number(out, "answers_total", "counter", "Whole answers passed on.",
         (double)c->answers);
  number(out, "aborted_total", "counter", "Answers cut off midway.",
         (double)c->aborted);
  events(relay, out);
  cuts(c, out);
  number(out, "callers_left_total", "counter",
         "Callers that left before their answer.",
         (double)c->callers_disconnected);
  number(out, "streams_resumed_total", "counter",
         "Requests that resume a stream.", (double)c->resumed);
  number(out, "origins_told_total", "counter",
         "Streams whose origin was told to its owners.",
         (double)c->origins_told);
  number(out, "origins_kept", "gauge", "Streams whose origin is known here.",
         (double)mt_stream_origins_count(&relay->origins));
  origins(relay, out);
  number(out, "version_changes_total", "counter",
         "Retries within an answer at another software version.",
         (double)c->version_changes);
  number(out, "attempts_total", "counter", "Requests sent to engines.",
         (double)c->attempts);
  number(out, "engine_leaves_total", "counter",
         "Engines that advertised in an answer that they drain.",
         (double)c->drains);
  number(out, "engine_leaves_told_total", "counter",
         "Engines that drain by what other routers gossip.",
         (double)c->drains_gossiped);
  number(out, "engine_rests_total", "counter",
         "Times that an engine asked for backoff.", (double)c->backoffs);
  number(out, "events_total", "counter", "Stream events passed on.",
         (double)c->events);
  number(out, "prompt_tokens_total", "counter", "Prompt tokens sent.",
         (double)c->prompt_tokens);
  number(out, "prompt_tokens_unkept_total", "counter",
         "Prompt tokens that the engine probably had to read.",
         (double)c->prompt_tokens_missed);
  number(out, "fetches_total", "counter",
         "Requests whose engine took kept parts from another.",
         (double)c->fetches);
  number(out, "prompt_tokens_fetched_total", "counter",
         "Prompt tokens taken from another engine.",
         (double)c->tokens_fetched);
  number(out, "engine_probes_total", "counter",
         "Connections tried to engines for no request.", (double)c->probes);
  number(out, "domain_cuts_total", "counter",
         "Times that a failure domain became unreachable.",
         (double)c->domain_cuts);
  number(out, "ends_total", "counter",
         "Runs that were lost as their engine ended.", (double)c->runs_lost);
  number(out, "retries_denied_total", "counter",
         "Retries that the budget did not allow.", (double)c->retries_denied);
  number(out, "quote_rounds_total", "counter",
         "Questions to the owners of engines, in rounds.",
         (double)c->quotes_asked);
  number(out, "quote_rounds_late_total", "counter",
         "Rounds that some owner did not answer in time.",
         (double)c->quotes_late);
  hedges(c, out);
  reasons(c, out);
  number(out, "refused_lagging_total", "counter",
         "Of the refusals as router_full: streams, as the loop's turns lag.",
         (double)c->refused_lagging);
  admissions(c, out);
  speeds(relay, out);
  suspects(relay, out);
  peers(from->traffic, out);
  updates(from->updates, out);
  source_events(from->source_events, out);
  source_faults(from->source_faults, out);
  number(out, "requests", "gauge", "Requests in progress.",
         (double)relay->count);
  number(out, "engines", "gauge", "Engines known.",
         (double)relay->engines.count);
  number(out, "cold_engines", "gauge",
         "Engines that take requests only with a place.",
         (double)mt_cold_starts_count(&relay->cold, relay->now));
  number(out, "domains_unreachable", "gauge",
         "Failure domains whose engines get no connects but probes.",
         (double)relay->reaches.unreachable);
  number(out, "evacuated_domains", "gauge",
         "Failure domains whose engines get no work.",
         (double)relay->evacuations.count);
  number(out, "addresses_refused_total", "counter",
         "Times that a router's address was not taken: there are too many.",
         (double)from->addresses_refused);
  number(out, "routers", "gauge", "Routers heard of, this one included.",
         relay->routers);
  number(out, "configuration_version", "gauge", "Version in force.",
         relay->catalog ? (double)relay->catalog->version : 0);
  number(out, "engine_connections_total", "counter",
         "Connections opened to engines.",
         (double)mt_http_client_opened(from->engines));
  number(out, "foreign_answers_total", "counter",
         "Answers of engines to other requests, or to none.",
         (double)mt_http_client_skipped(from->engines));
  malformed_heads(from->engines, out);
  number(out, "engine_connections", "gauge", "Connections to engines.",
         (double)mt_http_client_connections(from->engines));
  number(out, "caller_connections", "gauge", "Connections of callers.",
         (double)mt_http_server_connections(from->callers));
  caller_closes(mt_http_server_closes(from->callers), out);
  memory(from->budget, out);
  number(out, "overloaded", "gauge", "1 while it sends callers elsewhere.",
         from->overload->overloaded);
  number(out, "turn_lag_ms", "gauge", "Smoothed lag of the loop's turns.",
         from->overload->lag);
  turns(from->turns, out);
  number(out, "log_lines_dropped_total", "counter", "Log lines left out.",
         (double)mt_log_writer_dropped(from->log));
  number(out, "processor_seconds_total", "counter", "Processor time used.",
         processor_seconds());
}
