/*
** gateway.c - the gateway process: connections, effects, ticks, start, stop
*/
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "gateway.h"
#include "gateway_log.h"
#include "gateway_metrics.h"
#include "gateway_state.h"
#include "request_digest.h"
#include "suspects_page.h"
#include "tick_interval.h"

/* Several round trips on any link. A lost SYN is only retransmitted after
   1 s, so waiting somewhat longer does not help. */
#define CONNECT_MS 150
/* Of connections to engines: idle time until they are closed, and
   TCP_USER_TIMEOUT. */
#define IDLE_MS 20000
#define USER_TIMEOUT_MS 2000
/* Unsent answer bytes of a slow caller at which reading from the engine
   pauses. */
#define BACKLOG_MAX_BYTES (256u << 10)
#define BACKLOG_MIN_BYTES (8u << 10) /* where memory is short */
/* Time after the stop signal for load balancers to see that the gateway is
   not ready and to send no new connections. */
#define BALANCER_REMOVAL_MS 2500
#define CALLER_FD_FRACTION 0.55 /* of the file descriptors, for callers */
#define ENGINE_FD_FRACTION 0.35 /* and for connections to engines */
/* Connections to the addresses for readiness and for metrics, each: where no
   descriptor is left callers' new connections are closed unread. */
#define PROBE_CONNECTIONS_MAX 16
#define PROBE_BODY_BYTES 4096 /* of a request there; nobody reads it */
#define DENIED_LOG_MS 1000    /* between two lines on denied callers */
/* How long to wait for the head of an answer after the caller has
   disconnected; an engine that rejects a request does so at once. */
#define LINGER_MS 50
/* Of a response that no request waits for any more: how long and how much of
   it is read for its connection to be reusable. */
#define DISCARD_MS 1000
#define DISCARD_MAX_BYTES (64u << 10)
#define FLUSH_RESERVE_MS 400 /* of the stop grace, for the last writes */

#define CALLS_MAX 2 /* of a request: its current attempt and a hedge */

/* A request in progress: the caller's exchange and the calls for it. */
typedef struct inflight_t {
  mt_gateway_t *gateway;
  uint64_t number;
  mt_http_exchange_t *exchange;
  mt_bytes_t id; /* the caller's id, borrowed from the exchange */
  struct attempt_t *calls[CALLS_MAX]; /* NULL: free */
} inflight_t;

/* One call to an engine. It may outlive its request, to read a late head. */
typedef struct attempt_t {
  inflight_t *inflight; /* NULL: the request no longer waits for it */
  mt_gateway_t *gateway;
  mt_http_call_t *call; /* NULL: it is over */
  int number;
  /* Status and header lines of the answer, for the caller. */
  int status;
  mt_strbuf_t head;
  bool paused;        /* reading was paused since the last data */
  uint64_t engine;    /* its key */
  int64_t started_at; /* the start of the engine that it was sent to */
  mt_strbuf_t id;     /* the caller's id of the request */
} attempt_t;

/* {== Effects ========================================================== */

static void notify_sent (attempt_t *a, bool connected);

static void free_attempt (attempt_t *a) {
  mt_strbuf_free(&a->head);
  mt_strbuf_free(&a->id);
  free(a);
}

/* The request no longer waits for the call. The rest of a short response is
   read; one that does not end is an engine's fault. */
static void detach (attempt_t *a) {
  inflight_t *p = a->inflight;
  if (p == NULL) return;
  for (int i = 0; i < CALLS_MAX; i++)
    if (p->calls[i] == a) p->calls[i] = NULL;
  a->inflight = NULL;
  if (a->call != NULL)
    mt_http_call_discard(a->call, DISCARD_MS, DISCARD_MAX_BYTES);
}

static void detach_all (inflight_t *p) {
  for (int i = 0; i < CALLS_MAX; i++)
    if (p->calls[i] != NULL) detach(p->calls[i]);
}

/* Calls of attempts that are over may still be read to their end. */
static void detach_superseded (inflight_t *p, const mt_relay_request_t *r) {
  for (int i = 0; i < CALLS_MAX; i++) {
    attempt_t *a = p->calls[i];
    if (a != NULL && mt_relay_attempt(r, a->number) == NULL) detach(a);
  }
}

static attempt_t *find_attempt (const inflight_t *p, int number) {
  for (int i = 0; i < CALLS_MAX; i++)
    if (p->calls[i] != NULL && p->calls[i]->number == number)
      return p->calls[i];
  return NULL;
}

static void add_attempt (inflight_t *p, attempt_t *a) {
  for (int i = 0; i < CALLS_MAX; i++) {
    if (p->calls[i] != NULL) continue;
    p->calls[i] = a;
    a->inflight = p;
    return;
  }
}

static void release (mt_gateway_t *g, inflight_t *p) {
  detach_all(p);
  mtV_del(&g->inflight_by_number, p->number);
  free(p);
}

/* An engine that rejects a request at once may ask for backoff in that
   answer, so the connection stays open for it if the caller disconnects
   first. */
static void abandon_attempt (attempt_t *a) {
  if (a == NULL) return;
  detach(a);
  if (a->call == NULL) return; /* freed by the callback that ended it */
  if (mt_http_call_linger(a->call, LINGER_MS)) return;
  mt_http_call_cancel(a->call);
  free_attempt(a);
}

static void do_refuse (mt_gateway_t *g, inflight_t *p,
                       const mt_relay_effect_t *fx) {
  char lines[160], body[96];
  mt_relay_refusal_t why = fx->u.refuse.why;
  int n = snprintf(lines, sizeof lines, "Content-Type: application/json\r\n");
  if (fx->u.refuse.retry_after > 0)
    n +=
        snprintf(lines + n, sizeof lines - (size_t)n, "Retry-After: %.3f\r\n",
                 (double)fx->u.refuse.retry_after / 1000.0);
  int size = snprintf(body, sizeof body, "{\"error\":\"%s\"}",
                      mt_relay_refusal_code(why));
  mt_http_exchange_head(p->exchange, mt_relay_refusal_status(why), lines,
                        (size_t)n, size);
  mt_http_exchange_data(p->exchange, body, (size_t)size);
  mt_http_exchange_end(p->exchange);
  release(g, p);
}

static const char *workspace_name (const mt_gateway_t *g, mt_id_t id) {
  const mt_catalog_t *c = g->relay->catalog;
  for (size_t i = 0; id != 0 && c != NULL && i < c->workspaces_count; i++)
    if (c->workspaces[i].id == id) return c->workspaces[i].name;
  return NULL;
}

static void write_request (mt_gateway_t *g, inflight_t *p,
                           const mt_engine_t *engine,
                           const mt_relay_effect_t *fx) {
  mt_strbuf_t *out = &g->scratch;
  mt_http_exchange_t *x = p->exchange;
  mt_bytes_t method = mt_http_exchange_method(x);
  mt_bytes_t target = mt_http_exchange_target(x);
  size_t body = mt_http_exchange_body(x).n;
  char source[64] = "";
  const mt_engine_t *kv_source =
      mt_engines_get(&g->relay->engines, fx->u.start.source);
  if (fx->u.start.source != 0 && kv_source != NULL)
    snprintf(source, sizeof source, "%s:%u", kv_source->ip, kv_source->port);
  mt_dialect_fields_t fields = {.instance = engine->name,
                                .workspace =
                                    workspace_name(g, fx->u.start.workspace),
                                .deadline_ms = fx->u.start.deadline_ms,
                                .last_event = fx->u.start.last_event,
                                .source = source[0] != '\0' ? source : NULL};
  out->n = 0;
  mt_strbuf_append(out, method.p, method.n);
  mt_strbuf_append(out, " ", 1);
  mt_strbuf_append(out, target.p, target.n);
  mt_strbuf_append(out, " HTTP/1.1\r\n", 11);
  g->dialect->write_request(mt_http_exchange_headers(x), &fields, out);
  if (body > 0 || !mt_bytes_equal_nocase(method, "GET"))
    mt_strbuf_format(out, "Content-Length: %zu\r\n", body);
  mt_strbuf_append(out, "\r\n", 2);
}

/*
** When loop iterations are long a caller's close is queued behind its
** request, in the same iteration or the next. So the connection is checked
** once more right before sending: requests of callers that have disconnected
** would take engine time from others.
*/
static void do_start (mt_gateway_t *g, inflight_t *p,
                      const mt_relay_effect_t *fx) {
  if (!mt_http_exchange_check_connected(p->exchange)) return;
  const mt_relay_request_t *r = mtV_get(&g->relay->requests, p->number);
  if (r == NULL) return;
  mt_engine_t *engine =
      mt_engines_get(&g->relay->engines, fx->u.start.engine);
  detach_superseded(p, r);
  attempt_t *a = mtV_new(sizeof *a);
  a->gateway = g;
  add_attempt(p, a);
  a->number = fx->attempt;
  a->engine = engine->key;
  a->started_at = engine->started_at;
  mt_strbuf_append(&a->id, p->id.p, p->id.n);
  write_request(g, p, engine, fx);
  mt_http_endpoint_t endpoint = {engine->key, engine->ip, engine->port};
  a->call = mt_http_client_call_shared(
      g->engines, &endpoint, (mt_bytes_t){g->scratch.p, g->scratch.n},
      mt_http_exchange_share_body(p->exchange), fx->u.start.max_idle_ms, a);
  if (mt_http_call_is_sent(a->call)) notify_sent(a, false);
  const mt_attempt_t *sent = mt_relay_attempt(r, fx->attempt);
  if (sent != NULL) mt_gateway_peers_request_sent(g->peers, r, sent);
}

static void do_get_quotes (mt_gateway_t *g, const mt_relay_effect_t *fx) {
  const mt_relay_request_t *r = mtV_get(&g->relay->requests, fx->request);
  if (r != NULL) mt_gateway_peers_request_quotes(g->peers, r);
}

static void do_report_holder (mt_gateway_t *g, const mt_relay_effect_t *fx) {
  const mt_relay_request_t *r = mtV_get(&g->relay->requests, fx->request);
  if (r != NULL) mt_gateway_peers_prompt_accepted(g->peers, r);
}

static void do_head (inflight_t *p, const mt_relay_effect_t *fx) {
  const attempt_t *a = find_attempt(p, fx->attempt);
  if (a == NULL) return;
  mt_http_exchange_head(p->exchange, a->status, a->head.p, a->head.n,
                        fx->u.length);
}

static void notify_paused (attempt_t *a, bool paused) {
  mt_relay_event_t event = {.kind = MT_RELAY_PAUSED,
                            .request = a->inflight->number,
                            .attempt = a->number};
  event.u.paused = paused;
  mt_gateway_step(a->gateway, &event);
}

static void do_data (mt_gateway_t *g, inflight_t *p,
                     const mt_relay_effect_t *fx) {
  size_t most =
      mt_memory_share(&g->budget, BACKLOG_MIN_BYTES, BACKLOG_MAX_BYTES);
  mt_http_exchange_data(p->exchange, fx->u.data.p, fx->u.data.n);
  attempt_t *a = find_attempt(p, fx->attempt);
  if (a == NULL || a->call == NULL ||
      mt_http_exchange_backlog(p->exchange) <= most)
    return;
  a->paused = true;
  mt_http_call_pause(a->call, true);
  notify_paused(a, true);
}

static void do_probe (mt_gateway_t *g, const mt_relay_effect_t *fx) {
  const mt_engine_t *e = mt_engines_get(&g->relay->engines, fx->u.probe);
  if (e == NULL) return;
  mt_http_endpoint_t endpoint = {e->key, e->ip, e->port};
  mt_http_client_probe(g->engines, &endpoint, g);
}

static void do_ask_origin (mt_gateway_t *g, const mt_relay_effect_t *fx) {
  mt_relay_event_t event = {.kind = MT_RELAY_ORIGIN_ASKED,
                            .request = fx->request};
  bool all_domains = fx->kind == MT_RELAY_DO_ASK_DOMAINS;
  event.u.asked = mt_gateway_peers_ask_origin(g->peers, fx->request,
                                              &fx->u.origin, all_domains);
  mt_gateway_step(g, &event);
}

static void do_check_list (mt_gateway_t *g, const mt_relay_effect_t *fx) {
  if (g->source.check_list != NULL)
    g->source.check_list(g->source.ud, fx->u.check);
}

static void do_write_record (mt_gateway_t *g, const mt_relay_effect_t *fx) {
  if (g->source.write_record != NULL)
    g->source.write_record(g->source.ud, fx->u.record);
}

static void do_read_records (mt_gateway_t *g) {
  if (g->source.read_records != NULL) g->source.read_records(g->source.ud);
}

static void execute (mt_gateway_t *g, const mt_relay_effect_t *fx) {
  if (fx->kind == MT_RELAY_DO_PROBE) {
    do_probe(g, fx);
    return;
  }
  if (fx->kind == MT_RELAY_DO_RETURN_PERMIT) {
    mt_gateway_peers_return_permit(g->peers, fx->u.permit);
    return;
  }
  if (fx->kind == MT_RELAY_DO_REPORT_NOT_RUN) {
    mt_gateway_peers_prompt_not_run(g->peers, &fx->u.not_run);
    return;
  }
  if (fx->kind == MT_RELAY_DO_TELL_ORIGIN) {
    mt_gateway_peers_tell_origin(g->peers, &fx->u.origin);
    return;
  }
  if (fx->kind == MT_RELAY_DO_ASK_ORIGIN ||
      fx->kind == MT_RELAY_DO_ASK_DOMAINS) {
    do_ask_origin(g, fx);
    return;
  }
  if (fx->kind == MT_RELAY_DO_CHECK_LIST) {
    do_check_list(g, fx);
    return;
  }
  if (fx->kind == MT_RELAY_DO_WRITE_RECORD) {
    do_write_record(g, fx);
    return;
  }
  if (fx->kind == MT_RELAY_DO_READ_RECORDS) {
    do_read_records(g);
    return;
  }
  if (fx->kind == MT_RELAY_DO_SEND_TO_OWNER) {
    mt_gateway_peers_send_suspect_message(g->peers, &fx->u.message);
    return;
  }
  inflight_t *p = mtV_get(&g->inflight_by_number, fx->request);
  if (p == NULL) return;
  switch (fx->kind) {
    case MT_RELAY_DO_REFUSE: do_refuse(g, p, fx); break;
    case MT_RELAY_DO_GET_QUOTES: do_get_quotes(g, fx); break;
    case MT_RELAY_DO_START: do_start(g, p, fx); break;
    case MT_RELAY_DO_REPORT_HOLDER: do_report_holder(g, fx); break;
    case MT_RELAY_DO_CANCEL:
      abandon_attempt(find_attempt(p, fx->attempt));
      break;
    case MT_RELAY_DO_HEAD: do_head(p, fx); break;
    case MT_RELAY_DO_DATA: do_data(g, p, fx); break;
    case MT_RELAY_DO_END:
      mt_http_exchange_end(p->exchange);
      release(g, p);
      break;
    case MT_RELAY_DO_ABORT:
      mt_http_exchange_abort(p->exchange);
      release(g, p);
      break;
    case MT_RELAY_DO_PROBE:
    case MT_RELAY_DO_RETURN_PERMIT:
    case MT_RELAY_DO_REPORT_NOT_RUN:
    case MT_RELAY_DO_TELL_ORIGIN:
    case MT_RELAY_DO_ASK_ORIGIN:
    case MT_RELAY_DO_ASK_DOMAINS:
    case MT_RELAY_DO_CHECK_LIST:
    case MT_RELAY_DO_WRITE_RECORD:
    case MT_RELAY_DO_READ_RECORDS:
    case MT_RELAY_DO_SEND_TO_OWNER:
      break; /* not for a request: handled above */
  }
}

/*
** Effects are carried out in order, and some of them cause another event at
** once, which is handled in a nested call. Only six events nest: WRITTEN and
** PAUSED have no effects, and those of QUOTED, TRIAL_ANSWERED, ORIGIN_ASKED
** and CALLER_DISCONNECTED concern only the request whose effect is being
** carried out.
*/
void mt_gateway_step (mt_gateway_t *g, mt_relay_event_t *event) {
  mt_relay_effects_t effects = {0};
  mt_loop_turns_add(&g->turns, MT_TURN_EVENTS, 1);
  event->now = mt_boot_clock_now(g->loop);
  mt_relay_step(g->relay, event, &effects);
  mt_memory_set(&g->budget, MT_MEMORY_BUFFERED, &g->buffered,
                g->relay->buffered);
  for (size_t i = 0; i < effects.count; i++) execute(g, &effects.list[i]);
  free(effects.list);
}

/* }== */

static void on_quoted (void *ud, uint64_t request,
                       const mt_relay_quote_t *quotes, size_t count) {
  mt_relay_event_t event = {.kind = MT_RELAY_QUOTED, .request = request};
  event.u.quotes.list = quotes;
  event.u.quotes.count = count;
  mt_gateway_step(ud, &event);
}

static void on_trial (void *ud, const mt_suspect_message_t *message,
                      mt_trial_verdict_t verdict) {
  mt_relay_event_t event = {.kind = MT_RELAY_TRIAL_ANSWERED,
                            .request = message->request};
  event.u.tried.message = message;
  event.u.tried.verdict = verdict;
  mt_gateway_step(ud, &event);
}

static void on_origin (void *ud, uint64_t request, mt_id_t service,
                       const mt_origin_answer_t *answer) {
  mt_relay_event_t event = {.kind = MT_RELAY_ORIGIN_ANSWERED,
                            .request = request};
  event.u.origin.service = service;
  event.u.origin.answer = answer;
  mt_gateway_step(ud, &event);
}

void mt_gateway_engine_restarted (mt_gateway_t *g, const mt_engine_t *e,
                                  bool version_changed) {
  mt_relay_event_t event = {.kind = MT_RELAY_RESTARTED};
  event.u.restarted.engine = e->key;
  event.u.restarted.version_changed = version_changed;
  mt_http_client_close_idle(g->engines, e->key);
  mt_gateway_step(g, &event);
}

static void on_tick (uv_timer_t *timer);

/* {== Callers ========================================================== */

/* A request has arrived: the next tick comes after the short interval. */
static void tick_soon (mt_gateway_t *g) {
  g->last_busy = mt_boot_clock_now(g->loop);
  if (g->tick_ms == MT_TICK_BUSY_MS) return;
  g->tick_ms = MT_TICK_BUSY_MS;
  g->last_tick = g->last_busy;
  uv_timer_start(&g->tick, on_tick, MT_TICK_BUSY_MS, MT_TICK_BUSY_MS);
}

static mt_bytes_t path_of (mt_bytes_t target) {
  const char *query = memchr(target.p, '?', target.n);
  if (query != NULL) target.n = (size_t)(query - target.p);
  return target;
}

static void read_incoming (const mt_gateway_t *g, mt_http_exchange_t *x,
                           mt_relay_incoming_t *incoming) {
  const mt_http_headers_t *headers = mt_http_exchange_headers(x);
  *incoming = (mt_relay_incoming_t){.deadline_ms = -1, .last_event = -1};
  incoming->host = mt_http_headers_find(headers, "host");
  incoming->path = path_of(mt_http_exchange_target(x));
  g->dialect->read_request(headers, incoming);
}

static void on_request (void *ud, mt_http_exchange_t *x) {
  mt_gateway_t *g = ud;
  tick_soon(g);
  mt_relay_incoming_t incoming;
  inflight_t *p = mtV_new(sizeof *p);
  p->gateway = g;
  p->number = ++g->next_number;
  p->exchange = x;
  mt_http_exchange_set_user(x, p);
  mtV_put(&g->inflight_by_number, p->number, p);
  read_incoming(g, x, &incoming);
  incoming.head_only = !mt_http_exchange_has_body(x);
  const mt_request_text_t text = {mt_http_exchange_method(x), incoming.host,
                                  mt_http_exchange_target(x),
                                  mt_http_exchange_body(x)};
  incoming.digest = mt_request_digest(&text);
  p->id = incoming.id;
  mt_relay_event_t event = {.kind = MT_RELAY_REQUEST, .request = p->number};
  event.u.incoming = &incoming;
  mt_gateway_step(g, &event);
}

/* Whether a request is refused by its head. Its body is then not read. */
static bool refuses_caller (void *ud, mt_http_exchange_t *x) {
  const mt_gateway_t *g = ud;
  mt_relay_incoming_t incoming;
  read_incoming(g, x, &incoming);
  return mt_relay_refuses_head(g->relay, &incoming);
}

/* At most one line a second, with the newest of those that were denied. */
static void on_caller_denied (void *ud, mt_http_close_t why,
                              const char *peer) {
  mt_gateway_t *g = ud;
  mt_ms_t now = mt_boot_clock_now(g->loop);
  g->denied++;
  if (g->denied_logged != 0 && now - g->denied_logged < DENIED_LOG_MS) return;
  mt_log_line(g->log, MT_LOG_FAILURE, now, "caller-denied",
              "peer=%s held=%zu limit=%zu connections=%zu denied=%llu "
              "outcome=refused why=%s",
              peer, mt_memory_held(&g->budget), g->budget.limit,
              mt_http_server_connections(g->callers),
              (unsigned long long)g->denied, mt_http_close_name(why));
  g->denied_logged = now;
  g->denied = 0;
}

static void on_caller_gone (void *ud, mt_http_exchange_t *x) {
  mt_gateway_t *g = ud;
  inflight_t *p = mt_http_exchange_user(x);
  if (p == NULL) return;
  mt_relay_event_t event = {.kind = MT_RELAY_CALLER_DISCONNECTED,
                            .request = p->number};
  mt_gateway_step(g, &event);
  for (int i = 0; i < CALLS_MAX; i++) abandon_attempt(p->calls[i]);
  release(g, p);
}

static void on_caller_drained (void *ud, mt_http_exchange_t *x) {
  inflight_t *p = mt_http_exchange_user(x);
  for (int i = 0; p != NULL && i < CALLS_MAX; i++) {
    attempt_t *a = p->calls[i];
    if (a == NULL || a->call == NULL || !mt_http_call_is_paused(a->call))
      continue;
    mt_http_call_pause(a->call, false);
    notify_paused(a, false);
  }
}

static void on_input_lost (void *ud, mt_http_close_t why, size_t unread) {
  mt_gateway_t *g = ud;
  mt_log_line(
      g->log, MT_LOG_FAILURE, mt_boot_clock_now(g->loop), "caller-closed",
      "unread=%zu connections=%zu outcome=lost why=%s", unread,
      mt_http_server_connections(g->callers), mt_http_close_name(why));
}

/* }== */

/* {== Engines ========================================================== */

/* Saves an answer's status and end-to-end header fields for the caller. */
static void save_head (attempt_t *a, int status,
                       const mt_http_headers_t *headers) {
  a->status = status;
  a->head.n = 0;
  for (size_t i = 0; i < headers->count; i++) {
    if (mt_http_headers_is_hop_by_hop(headers, i)) continue;
    mt_bytes_t name = mt_http_headers_name_at(headers, i);
    mt_bytes_t value = mt_http_headers_value_at(headers, i);
    mt_strbuf_append(&a->head, name.p, name.n);
    mt_strbuf_append(&a->head, ": ", 2);
    mt_strbuf_append(&a->head, value.p, value.n);
    mt_strbuf_append(&a->head, "\r\n", 2);
  }
}

static void notify_sent (attempt_t *a, bool connected) {
  if (a->inflight == NULL) return;
  mt_relay_event_t event = {.kind = MT_RELAY_WRITTEN,
                            .request = a->inflight->number,
                            .attempt = a->number};
  event.u.connected = connected;
  mt_gateway_step(a->gateway, &event);
}

static void on_sent (void *ud, mt_http_call_t *call) {
  notify_sent(ud, true);
}

/* By its head a response may end its attempt, while another one goes on. */
static void detach_rejected (mt_gateway_t *g, uint64_t number) {
  inflight_t *p = mtV_get(&g->inflight_by_number, number);
  const mt_relay_request_t *r = mtV_get(&g->relay->requests, number);
  if (p != NULL && r != NULL) detach_superseded(p, r);
}

static void log_foreign (const attempt_t *a, int status) {
  mt_gateway_t *g = a->gateway;
  const mt_engine_t *e = mt_engines_get(&g->relay->engines, a->engine);
  if (e != NULL)
    mt_gateway_log_foreign(g->log, mt_boot_clock_now(g->loop), e,
                           (mt_bytes_t){a->id.p, a->id.n}, status);
}

static bool on_head (void *ud, mt_http_call_t *call, int status,
                     const mt_http_headers_t *headers) {
  attempt_t *a = ud;
  mt_gateway_t *g = a->gateway;
  const mt_bytes_t id = {a->id.p, a->id.n};
  mt_gateway_apply_notice(g, a->engine, a->started_at, status, headers, id);
  if (!g->dialect->matches(headers, id)) {
    log_foreign(a, status);
    return false;
  }
  inflight_t *p = a->inflight;
  if (p == NULL) return true;
  save_head(a, status, headers);
  mt_relay_event_t event = {
      .kind = MT_RELAY_HEAD, .request = p->number, .attempt = a->number};
  event.u.head.status = status;
  event.u.head.verdict = g->dialect->classify(status, headers);
  mt_bytes_t type = mt_http_headers_find(headers, "content-type");
  event.u.head.events =
      type.n >= 17 && strncasecmp(type.p, "text/event-stream", 17) == 0;
  event.u.head.framed = mt_http_call_is_framed(call);
  const uint64_t number = p->number;
  mt_gateway_step(g, &event);
  detach_rejected(g, number);
  return true;
}

static void on_data (void *ud, mt_http_call_t *call, const char *bytes,
                     size_t n) {
  attempt_t *a = ud;
  if (a->inflight == NULL) return;
  mt_relay_event_t event = {.kind = MT_RELAY_DATA,
                            .request = a->inflight->number,
                            .attempt = a->number,
                            .delayed = a->paused};
  mt_gateway_t *g = a->gateway;
  a->paused = false;
  event.u.data = (mt_bytes_t){bytes, n};
  g->relay->buffer_max =
      mt_memory_share(&g->budget, BACKLOG_MIN_BYTES, BACKLOG_MAX_BYTES);
  mt_gateway_step(g, &event);
}

static void on_end (void *ud, mt_http_call_t *call) {
  attempt_t *a = ud;
  inflight_t *p = a->inflight;
  a->call = NULL;
  if (p != NULL) {
    mt_relay_event_t event = {
        .kind = MT_RELAY_END, .request = p->number, .attempt = a->number};
    mt_gateway_step(a->gateway, &event);
  }
  detach(a);
  free_attempt(a);
}

static void log_malformed (const attempt_t *a, const mt_http_call_t *call) {
  mt_gateway_t *g = a->gateway;
  mt_bytes_t name;
  mt_http_head_fault_t fault = mt_http_call_head_fault(call, &name);
  const mt_engine_t *e = mt_engines_get(&g->relay->engines, a->engine);
  if (fault != MT_HTTP_HEAD_SOUND && e != NULL)
    mt_gateway_log_malformed(g->log, mt_boot_clock_now(g->loop), e,
                             (mt_bytes_t){a->id.p, a->id.n}, fault, name);
}

static void on_failed (void *ud, mt_http_call_t *call,
                       mt_http_failure_t why) {
  attempt_t *a = ud;
  inflight_t *p = a->inflight;
  log_malformed(a, call);
  a->call = NULL;
  if (p != NULL) {
    mt_relay_event_t event = {
        .kind = MT_RELAY_FAILED, .request = p->number, .attempt = a->number};
    event.u.failed.not_sent = why == MT_HTTP_NOT_SENT;
    event.u.failed.refused = mt_http_call_was_refused(call);
    mt_gateway_step(a->gateway, &event);
  }
  detach(a);
  free_attempt(a);
}

static void on_probed (void *ud, uint64_t endpoint, mt_http_probe_t how) {
  mt_gateway_t *g = ud;
  const mt_engine_t *e = mt_engines_get(&g->relay->engines, endpoint);
  mt_relay_event_t event = {.kind = MT_RELAY_PROBED};
  event.u.probed.engine = endpoint;
  event.u.probed.up = how == MT_HTTP_CONNECTED;
  event.u.probed.refused = how == MT_HTTP_REFUSED;
  if (e != NULL)
    mt_gateway_log_engine(g->log, mt_boot_clock_now(g->loop), e,
                          mt_gateway_probe_name(how));
  mt_gateway_step(ud, &event);
}

static const mt_http_call_handler_t engine_handler = {.sent = on_sent,
                                                      .head = on_head,
                                                      .data = on_data,
                                                      .end = on_end,
                                                      .failed = on_failed,
                                                      .probed = on_probed};

/* }== */

/* {== Readiness and the clock ========================================== */

static bool is_ready (const mt_gateway_t *g) {
  if (g->overload.overloaded) return false;
  return g->stopping == 0 && g->relay->catalog != NULL &&
         g->relay->engines.count > 0;
}

static void on_ready_request (void *ud, mt_http_exchange_t *x) {
  mt_gateway_t *g = ud;
  mt_http_exchange_head(x, is_ready(g) ? 200 : 503, "", 0, 0);
  mt_http_exchange_end(x);
}

static void send_text (mt_gateway_t *g, mt_http_exchange_t *x, int status) {
  static const char type[] = "Content-Type: text/plain; version=0.0.4\r\n";
  mt_http_exchange_head(x, status, type, sizeof type - 1,
                        (int64_t)g->scratch.n);
  mt_http_exchange_data(x, g->scratch.p, g->scratch.n);
  mt_http_exchange_end(x);
}

static void on_suspects_request (mt_gateway_t *g, mt_http_exchange_t *x) {
  bool found = mt_gateway_write_suspects_page(g, mt_http_exchange_method(x),
                                              mt_http_exchange_target(x));
  send_text(g, x, found ? 200 : 404);
}

static void on_metrics_request (void *ud, mt_http_exchange_t *x) {
  mt_gateway_t *g = ud;
  g->scratch.n = 0;
  if (mt_suspects_page_matches(mt_http_exchange_target(x))) {
    on_suspects_request(g, x);
    return;
  }
  const mt_gateway_metrics_t from = {
      .relay = g->relay,
      .engines = g->engines,
      .callers = g->callers,
      .budget = &g->budget,
      .overload = &g->overload,
      .log = g->log,
      .turns = &g->turns,
      .traffic = mt_gateway_peers_traffic(g->peers),
      .updates = mt_gateway_peers_updates(g->peers),
      .source_events = g->source_events,
      .source_faults = &g->source_faults,
      .addresses_refused = mt_gateway_peers_addresses_refused(g->peers)};
  mt_gateway_metrics(&from, &g->scratch);
  send_text(g, x, 200);
}

static void ignore_event (void *ud, mt_http_exchange_t *x) {
}

static void finish (mt_gateway_t *g, const char *why) {
  mt_log_line(g->log, MT_LOG_STATE, mt_boot_clock_now(g->loop), "stop",
              "requests=%zu outcome=%s", g->relay->count, why);
  mt_log_writer_flush(g->log);
  uv_stop(g->loop);
}

/*
** Stops in steps: not ready, so load balancers remove it; then closes idle
** connections; exits when none is left or the grace is nearly over. This step
** may come late, before sockets are read: requests that lie unread in them
** are refused before the next one, and answers written before the one behind.
*/
static void continue_stop (mt_gateway_t *g) {
  mt_ms_t since = mt_boot_clock_now(g->loop) - g->stopping;
  if (since > BALANCER_REMOVAL_MS) {
    mt_http_server_close_idle(g->callers);
    if (mt_http_server_is_empty(g->callers)) {
      finish(g, "finished");
      return;
    }
  }
  if (g->out_of_time > 1) finish(g, "out-of-time");
  if (since + FLUSH_RESERVE_MS / 2 > g->settings.grace) g->out_of_time++;
}

/* Processor time that this process has used, ms. */
static mt_ms_t processor_ms (void) {
  struct timespec ts;
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
  return (mt_ms_t)ts.tv_sec * 1000 + (mt_ms_t)ts.tv_nsec / 1000000;
}

static void log_load (mt_gateway_t *g, mt_ms_t elapsed, mt_ms_t now) {
  const mt_gateway_load_view_t view = {.relay = g->relay,
                                       .callers = g->callers,
                                       .overload = &g->overload,
                                       .processor = processor_ms()};
  mt_gateway_load_tick(&g->load, &view, g->log, elapsed, now);
}

/* While overloaded the gateway is not ready and each answer closes its
   connection, so that callers connect to other gateways. */
static void check_overload (mt_gateway_t *g) {
  mt_ms_t now = mt_boot_clock_now(g->loop);
  mt_ms_t elapsed = g->last_tick ? now - g->last_tick : g->tick_ms;
  g->last_tick = now;
  bool changed = mt_overload_update(&g->overload, elapsed, g->tick_ms);
  g->relay->overloaded = g->overload.severe;
  g->relay->demand_limit = g->overload.demand_limit;
  log_load(g, elapsed, now);
  if (!changed) return;
  bool overloaded = g->overload.overloaded;
  mt_http_server_drain(g->callers, overloaded || g->stopping != 0);
  mt_log_line(g->log, MT_LOG_LOAD, now, "overload",
              "lag=%.0f requests=%zu connections=%zu outcome=%s",
              g->overload.lag, g->relay->count,
              mt_http_server_connections(g->callers),
              overloaded ? "begun" : "over");
}

static void on_long_turn (void *ud, const mt_loop_turns_t *turns,
                          mt_ms_t length) {
  mt_gateway_t *g = ud;
  const uint32_t *work = turns->work;
  mt_log_line(g->log, MT_LOG_LOAD, mt_boot_clock_now(g->loop), "turn",
              "length=%llu ticks=%u events=%u engines=%u routes=%u "
              "requests=%zu connections=%zu outcome=long",
              (unsigned long long)length, work[MT_TURN_TICKS],
              work[MT_TURN_EVENTS], work[MT_TURN_ENGINES],
              work[MT_TURN_ROUTES], g->relay->count,
              mt_http_server_connections(g->callers));
}

/* Logs that the machine was suspended. The clock includes that time, so all
   that expires is as much older. */
static void log_suspend (mt_gateway_t *g) {
  mt_ms_t now = mt_boot_clock_now(g->loop);
  mt_ms_t slept = mt_boot_clock_suspended(g->loop) - g->suspended_ms;
  g->suspended_ms += slept;
  if (slept > 0)
    mt_log_line(g->log, MT_LOG_STATE, now, "suspended",
                "slept=%llu requests=%zu outcome=woke",
                (unsigned long long)slept, g->relay->count);
}

/* Sets the tick interval for the current activity. */
static void set_tick_interval (mt_gateway_t *g) {
  mt_ms_t now = mt_boot_clock_now(g->loop);
  if (g->relay->count > 0) g->last_busy = now;
  const mt_tick_state_t view = {.uptime = now - g->started,
                                .idle_time = now - g->last_busy,
                                .stopping = g->stopping != 0};
  mt_ms_t tick_ms = mt_tick_interval(&view);
  if (tick_ms == g->tick_ms) return;
  g->tick_ms = tick_ms;
  uv_timer_start(&g->tick, on_tick, tick_ms, tick_ms);
}

static void on_tick (uv_timer_t *timer) {
  mt_gateway_t *g = timer->data;
  mt_loop_turns_add(&g->turns, MT_TURN_TICKS, 1);
  log_suspend(g);
  check_overload(g);
  mt_gateway_peers_read(g->peers);
  mt_gateway_check_list(g);
  mt_relay_event_t event = {.kind = MT_RELAY_TICK};
  mt_gateway_step(g, &event);
  g->relay->routers = mt_gateway_peers_tick(g->peers);
  mt_http_client_tick(g->engines);
  mt_http_server_tick(g->callers);
  mt_http_server_tick(g->ready);
  mt_http_server_tick(g->metrics);
  mt_log_writer_flush(g->log);
  set_tick_interval(g);
  if (g->stopping != 0) continue_stop(g);
}

/* }== */

/* {== Opening and closing ============================================== */

static const mt_http_server_handler_t caller_handler = {
    .request = on_request,
    .gone = on_caller_gone,
    .drained = on_caller_drained,
    .lost = on_input_lost};
static const mt_http_server_handler_t ready_handler = {
    .request = on_ready_request,
    .gone = ignore_event,
    .drained = ignore_event};
static const mt_http_server_handler_t metrics_handler = {
    .request = on_metrics_request,
    .gone = ignore_event,
    .drained = ignore_event};

static void on_request_outcome (void *ud, const mt_relay_request_t *r,
                                const char *outcome, const char *why) {
  mt_gateway_t *g = ud;
  mt_gateway_log_request(g->log, g->relay, r, outcome, why);
}

static void on_domain_changed (void *ud, const mt_engine_t *e,
                               bool reachable) {
  mt_gateway_t *g = ud;
  mt_gateway_log_domain(g->log, mt_boot_clock_now(g->loop), e, reachable);
}

static mt_http_server_t *listen_on (mt_gateway_t *g, const mt_addr_t *addr,
                                    const mt_http_server_handler_t *handler,
                                    char *reason, size_t size) {
  mt_http_server_t *server = mt_http_server_open(
      g->loop, addr->ip, addr->port, handler, g, reason, size);
  const mt_http_server_guard_t guard = {
      .budget = &g->budget,
      .refuses = handler == &caller_handler ? refuses_caller : NULL,
      .denied = on_caller_denied};
  if (server != NULL) mt_http_server_set_guard(server, &guard);
  return server;
}

/* For readiness or metrics. */
static mt_http_server_t *
listen_for_probes (mt_gateway_t *g, const mt_addr_t *addr,
                   const mt_http_server_handler_t *handler, char *reason,
                   size_t size) {
  mt_http_server_t *server = listen_on(g, addr, handler, reason, size);
  if (server == NULL) return NULL;
  mt_http_server_set_max_connections(server, PROBE_CONNECTIONS_MAX);
  mt_http_server_set_max_body(server, PROBE_BODY_BYTES);
  return server;
}

mt_gateway_t *mt_gateway_open (uv_loop_t *loop,
                               const mt_gateway_settings_t *settings,
                               const mt_dialect_t *dialect, char *reason,
                               size_t size) {
  size_t descriptors = settings->descriptors;
  const mt_http_client_options_t options = {
      .connect_ms = CONNECT_MS,
      .idle_ms = IDLE_MS,
      .connections = (size_t)(ENGINE_FD_FRACTION * descriptors),
      .user_timeout = USER_TIMEOUT_MS};
  mt_gateway_t *g = mtV_new(sizeof *g);
  g->loop = loop;
  g->settings = *settings;
  g->dialect = dialect;
  g->started = mt_boot_clock_now(loop);
  g->log = mt_log_writer_open(STDOUT_FILENO, settings->node,
                              settings->log_lines_per_s);
  mt_loop_turns_open(&g->turns, loop, on_long_turn, g);
  mt_relay_params_t params = settings->params;
  if (dialect->event_field != NULL)
    mt_event_rules_add_field(&params.events, dialect->event_field);
  g->relay = mt_relay_new(settings->domain, &params);
  g->relay->log = on_request_outcome;
  g->relay->log_engine = mt_gateway_engine_gone;
  g->relay->log_domain = on_domain_changed;
  g->relay->log_ud = g;
  g->budget.limit = settings->memory;
  g->engines = mt_http_client_open(loop, &options, &engine_handler);
  mt_http_client_set_budget(g->engines, &g->budget);
  g->callers =
      listen_on(g, &settings->callers, &caller_handler, reason, size);
  if (g->callers == NULL) return NULL;
  mt_http_server_set_max_connections(
      g->callers, (size_t)(CALLER_FD_FRACTION * descriptors));
  g->ready =
      listen_for_probes(g, &settings->ready, &ready_handler, reason, size);
  if (g->ready == NULL) return NULL;
  g->metrics = listen_for_probes(g, &settings->metrics, &metrics_handler,
                                 reason, size);
  if (g->metrics == NULL) return NULL;
  const mt_gateway_peers_callbacks_t callbacks = {
      on_quoted, mt_gateway_apply_change,
      on_trial,  mt_gateway_apply_peer_drain,
      on_origin, {mt_gateway_list_items, mt_gateway_item_change, g},
      g};
  g->peers =
      mt_gateway_peers_open(loop, settings, g->relay, g->log, &callbacks);
  uv_timer_init(loop, &g->tick);
  g->tick.data = g;
  g->tick_ms = MT_TICK_BUSY_MS;
  uv_timer_start(&g->tick, on_tick, MT_TICK_BUSY_MS, MT_TICK_BUSY_MS);
  mt_log_line(g->log, MT_LOG_STATE, g->started, "start",
              "domain=%s callers=%s:%u ready=%s:%u metrics=%s:%u peers=%s:%u "
              "outcome=started",
              settings->domain, settings->callers.ip,
              mt_http_server_port(g->callers), settings->ready.ip,
              mt_http_server_port(g->ready), settings->metrics.ip,
              mt_http_server_port(g->metrics), settings->peers.ip,
              mt_gateway_peers_port(g->peers));
  return g;
}

void mt_gateway_stop (mt_gateway_t *g) {
  if (g->stopping != 0) return;
  g->stopping = mt_boot_clock_now(g->loop);
  mt_relay_event_t event = {.kind = MT_RELAY_STOP};
  event.u.stop_ms = g->settings.grace - FLUSH_RESERVE_MS;
  mt_gateway_step(g, &event);
  mt_http_server_drain(g->callers, true);
  mt_log_line(g->log, MT_LOG_STATE, g->stopping, "stopping",
              "requests=%zu outcome=draining", g->relay->count);
}

mt_log_writer_t *mt_gateway_log (mt_gateway_t *g) {
  return g->log;
}

mt_relay_t *mt_gateway_relay (mt_gateway_t *g) {
  return g->relay;
}

/* The process exits next; memory is freed for leak checkers. */
void mt_gateway_close (mt_gateway_t *g) {
  uv_close((uv_handle_t *)&g->tick, NULL);
  mt_loop_turns_close(&g->turns);
  mt_gateway_peers_close(g->peers);
  mt_http_server_close(g->metrics);
  mt_http_server_close(g->ready);
  mt_http_server_close(g->callers);
  mt_http_client_close(g->engines);
  uv_run(g->loop, UV_RUN_NOWAIT);
  mtV_each (&g->inflight_by_number, i) {
    inflight_t *p = g->inflight_by_number.vals[i];
    for (int k = 0; k < CALLS_MAX; k++)
      if (p->calls[k] != NULL) free_attempt(p->calls[k]);
    free(p);
  }
  mtV_free(&g->inflight_by_number);
  mt_suspect_records_free(&g->records);
  mt_relay_free(g->relay);
  mt_log_writer_close(g->log);
  mt_strbuf_free(&g->scratch);
  free(g);
}

/* }== */
