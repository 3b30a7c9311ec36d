/*
** gateway_log.c - log lines about requests and engines
*/
#include <stdio.h>
#include <string.h>

#include "gateway_log.h"
#include "percent_encoding.h"
#include "request.h"

/* Names of a prompt's shared segments in a line, each of 16 digits and a
   comma; further ones are omitted. */
#define PARTS_MAX 16
#define PARTS_TEXT_BYTES (PARTS_MAX * 17 + 1)

/* Of the text of an entry or of a field in a line. */
#define TEXT_SIZE 192
/* In the line of a request, which has to hold all of its fields. */
#define SHORT_TEXT_SIZE 40

typedef unsigned long long number_t;

const char *mt_gateway_state_name (mt_engine_state_t state) {
  switch (state) {
    case MT_ENGINE_READY: return "ready";
    case MT_ENGINE_DRAINING: return "leaving";
    case MT_ENGINE_GONE: return "gone";
  }
  return "";
}

const char *mt_gateway_probe_name (mt_http_probe_t how) {
  switch (how) {
    case MT_HTTP_CONNECTED: return "reached";
    case MT_HTTP_REFUSED: return "refuses";
    case MT_HTTP_UNREACHABLE: return "unreachable";
  }
  return "";
}

/* Text of another program: a blank in it would look like the next field. */
static const char *line_text (mt_bytes_t text, char *out, size_t size) {
  if (text.n == 0) return "-";
  mt_percent_encode(out, size, text);
  return out;
}

static mt_bytes_t bytes (const char *text) {
  return (mt_bytes_t){text, text != NULL ? strlen(text) : 0};
}

void mt_gateway_log_engine (mt_log_writer_t *log, mt_ms_t now,
                            const mt_engine_t *e, const char *outcome) {
  char version[TEXT_SIZE];
  mt_log_line(log, MT_LOG_STATE, now, "engine",
              "engine=%s address=%s:%u running=%d outcome=%s software=%s",
              e->name, e->ip, e->port, e->local.running, outcome,
              line_text(bytes(e->version_name), version, sizeof version));
}

void mt_gateway_log_foreign (mt_log_writer_t *log, mt_ms_t now,
                             const mt_engine_t *e, mt_bytes_t id,
                             int status) {
  char text[SHORT_TEXT_SIZE];
  mt_log_line(log, MT_LOG_FAILURE, now, "foreign-answer",
              "engine=%s id=%s status=%d outcome=passed-over", e->name,
              line_text(id, text, sizeof text), status);
}

void mt_gateway_log_malformed (mt_log_writer_t *log, mt_ms_t now,
                               const mt_engine_t *e, mt_bytes_t id,
                               mt_http_head_fault_t why, mt_bytes_t name) {
  char text[SHORT_TEXT_SIZE], field[TEXT_SIZE];
  mt_log_line(log, MT_LOG_FAILURE, now, "malformed-head",
              "engine=%s id=%s field=%s outcome=dropped why=%s", e->name,
              line_text(id, text, sizeof text),
              line_text(name, field, sizeof field),
              mt_http_head_fault_name(why));
}

void mt_gateway_log_domain (mt_log_writer_t *log, mt_ms_t now,
                            const mt_engine_t *e, bool reachable) {
  char domain[TEXT_SIZE];
  mt_log_line(log, MT_LOG_STATE, now, "domain",
              "domain=%s engine=%s outcome=%s",
              line_text(bytes(e->domain), domain, sizeof domain), e->name,
              reachable ? "reachable" : "unreachable");
}

void mt_gateway_log_suspect (mt_log_writer_t *log, mt_ms_t now,
                             const mt_relay_t *relay, uint64_t name,
                             const char *router, const char *outcome) {
  const mt_suspect_t *s = mt_suspects_get(&relay->suspects, name);
  mt_suspect_status_t status =
      mt_suspects_status(&relay->suspects, name, now);
  uint64_t last =
      s != NULL && s->listed > 0 ? s->list[s->listed - 1].engine : 0;
  const mt_engine_t *e = mt_engines_get(&relay->engines, last);
  mt_log_line(log, MT_LOG_STATE, now, "suspect",
              "%s=%016llx state=%s ends=%d alone=%d last=%s left=%llu "
              "peer=%s outcome=%s",
              mt_suspect_name_kind(name), (number_t)name,
              mt_suspicion_name(status.state), status.ends, status.alone,
              e != NULL ? e->name : "-", (number_t)status.left, router,
              outcome);
}

/* Tokens of the prompt's last segment, which no other request shares. */
static int64_t unshared_tokens (const mt_relay_request_t *r) {
  return r->segments_count > 0 ? r->segments[r->segments_count - 1].tokens
                               : 0;
}

/* The names of the prompt's segments but for the last, which no other request
   shares. */
static const char *parts_text (const mt_relay_request_t *r, char *text) {
  size_t n = 0, first = r->digest != 0 ? 1 : 0;
  for (size_t i = first; i < mt_min(r->names_count, first + PARTS_MAX); i++)
    n += (size_t)snprintf(text + n, PARTS_TEXT_BYTES - n, "%s%016llx",
                          i > first ? "," : "", (number_t)r->names[i]);
  return n > 0 ? text : "-";
}

/* Time since the last byte of its answer, or since it was sent. */
static number_t silent_ms (const mt_relay_t *relay,
                           const mt_relay_request_t *r) {
  mt_ms_t last = r->current.last_received;
  return last != 0 && relay->now > last ? relay->now - last : 0;
}

void mt_gateway_log_request (mt_log_writer_t *log, const mt_relay_t *relay,
                             const mt_relay_request_t *r, const char *outcome,
                             const char *why) {
  bool routine = strcmp(outcome, "answered") == 0 && r->current.number == 1;
  bool cut = strcmp(outcome, "aborted") == 0;
  int64_t version = relay->catalog ? relay->catalog->version : 0;
  char parts[PARTS_TEXT_BYTES], id[SHORT_TEXT_SIZE],
      software[SHORT_TEXT_SIZE], resumes[SHORT_TEXT_SIZE];
  mt_log_line(
      log, routine ? MT_LOG_DETAIL : MT_LOG_FAILURE, relay->now, "request",
      "id=%s digest=%016llx parts=%s route=%08x workspace=%08x engine=%s "
      "software=%s resumes=%s from=%lld origin=%s attempt=%d age=%llu "
      "status=%d wait=%.0f expected=%.0f first=%llu slowness=%.2f "
      "pause=%.0f gap=%llu silent=%llu "
      "standing=%.2f "
      "tokens=%lld own=%lld unread=%lld fetched=%lld home=%d last=%lld "
      "version=%lld "
      "end=%s fault=%s outcome=%s why=%s",
      line_text(bytes(r->id), id, sizeof id), (number_t)r->digest,
      parts_text(r, parts), r->route, r->workspace,
      r->current.engine_name[0] ? r->current.engine_name : "-",
      line_text(bytes(r->current.engine_version), software, sizeof software),
      line_text(bytes(r->resumes), resumes, sizeof resumes),
      (long long)r->first_event, mt_origin_source_name(r->origin_source),
      r->current.number, (number_t)(relay->now - r->arrived),
      r->current.status, r->current.wait_expected, r->current.ttft_expected,
      (number_t)r->current.ttft, r->current.slowness,
      r->current.pause_expected, (number_t)r->longest_gap,
      silent_ms(relay, r), r->service_ratio, (long long)r->tokens_in,
      (long long)unshared_tokens(r), (long long)r->current.pending_prefill,
      (long long)r->current.fetched, r->current.home,
      (long long)r->last_event, (long long)version,
      cut ? mt_relay_cut_name(mt_request_cut(r)) : "-",
      r->current.fault != NULL ? r->current.fault : "-", outcome, why);
}
