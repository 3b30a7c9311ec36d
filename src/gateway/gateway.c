/*
** gateway.c - connections around the relay: callers, engines, readiness
*/
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "gateway.h"
#include "gateway_log.h"
#include "gateway_metrics.h"
#include "gateway_state.h"
#include "request_digest.h"
#include "suspects_page.h"
#include "tick_interval.h"

/* Some trips of any link; a lost packet is sent again after 1 s only. */
#define CONNECT_MS 150
#define IDLE_MS 20000
#define USER_TIMEOUT_MS 2000
/* Of a slow caller, before its engine waits. */
#define BACKLOG_MAX (256u << 10)
/* After the order to stop: nobody new comes any more. */
#define LEAVE_MS 2500
#define CALLERS_PART 0.55 /* of the descriptors, for callers' connections */
#define ENGINES_PART 0.35 /* for those to engines */
/* Wait for an answer's head when the caller has left; an engine that rejects
   a request does so at once. */
#define LINGER_MS 50
#define LAST_MS 400 /* of the grace, kept for the last bytes */

/* One request at the gateway: a caller's connection and an engine's. */
typedef struct passage_t {
  mt_gateway_t *gateway;
  uint64_t number;
  mt_http_exchange_t *exchange;
  struct attempt_t *attempt; /* the current one */
  /* The first head that is to be passed on. */
  int status;
  mt_text_t head;
  bool head_kept;
} passage_t;

/* One call to an engine; it may outlive its passage. */
typedef struct attempt_t {
  passage_t *passage; /* NULL: nobody waits for it */
  mt_gateway_t *gateway;
  mt_http_call_t *call;
  int number;
  uint64_t engine;    /* its key */
  int64_t started_at; /* the start of it that was meant */
  char id[64];        /* of the request */
} attempt_t;

/* {== Effects ========================================================== */

static void tell_sent (attempt_t *a);

static void release (mt_gateway_t *g, passage_t *p) {
  if (p->attempt != NULL) p->attempt->passage = NULL;
  mtV_del(&g->passages, p->number);
  mt_text_free(&p->head);
  free(p);
}

/* An engine that rejects at once may ask for backoff in that answer, so the
   connection stays open for it when the caller leaves first. */
static void end_attempt (passage_t *p) {
  attempt_t *a = p->attempt;
  if (a == NULL) return;
  p->attempt = NULL;
  a->passage = NULL;
  if (mt_http_call_linger(a->call, LINGER_MS)) return;
  mt_http_call_cancel(a->call);
  free(a);
}

static void do_refuse (mt_gateway_t *g, passage_t *p,
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

static void write_request (mt_gateway_t *g, passage_t *p,
                           const mt_engine_t *engine,
                           const mt_relay_effect_t *fx) {
  mt_text_t *out = &g->scratch;
  mt_http_exchange_t *x = p->exchange;
  mt_bytes_t method = mt_http_exchange_method(x);
  mt_bytes_t target = mt_http_exchange_target(x);
  mt_bytes_t body = mt_http_exchange_body(x);
  char source[64] = "";
  const mt_engine_t *giver =
      mt_engines_get(&g->relay->engines, fx->u.start.source);
  if (fx->u.start.source != 0 && giver != NULL)
    snprintf(source, sizeof source, "%s:%u", giver->ip, giver->port);
  mt_dialect_sent_t sent = {.instance = engine->name,
                            .workspace =
                                workspace_name(g, fx->u.start.workspace),
                            .deadline_ms = fx->u.start.deadline_ms,
                            .last_event = fx->u.start.last_event,
                            .source = source[0] != '\0' ? source : NULL};
  out->n = 0;
  mt_text_add(out, method.p, method.n);
  mt_text_add(out, " ", 1);
  mt_text_add(out, target.p, target.n);
  mt_text_add(out, " HTTP/1.1\r\n", 11);
  g->dialect->write_request(mt_http_exchange_headers(x), &sent, out);
  if (body.n > 0 || !mt_bytes_equal_nocase(method, "GET"))
    mt_text_format(out, "Content-Length: %zu\r\n", body.n);
  mt_text_add(out, "\r\n", 2);
}

/*
** Where turns of the loop are long a caller's close waits behind its request,
** in the same turn's list or in the next one's. The last look is right before
** the send: work for callers that have left keeps engines from others.
*/
static void do_start (mt_gateway_t *g, passage_t *p,
                      const mt_relay_effect_t *fx) {
  if (!mt_http_exchange_check_connected(p->exchange)) return;
  mt_engine_t *engine =
      mt_engines_get(&g->relay->engines, fx->u.start.engine);
  if (p->attempt != NULL) p->attempt->passage = NULL; /* it ends by itself */
  attempt_t *a = mtV_new(sizeof *a);
  a->gateway = g;
  a->passage = p;
  a->number = fx->attempt;
  a->engine = engine->key;
  a->started_at = engine->started_at;
  mt_bytes_t id = {NULL, 0};
  mt_relay_request_t *r = mtV_get(&g->relay->requests, p->number);
  if (r != NULL) id = (mt_bytes_t){r->id, strlen(r->id)};
  snprintf(a->id, sizeof a->id, "%.*s", (int)id.n, id.p);
  p->attempt = a;
  write_request(g, p, engine, fx);
  mt_http_endpoint_t endpoint = {engine->key, engine->ip, engine->port};
  a->call = mt_http_client_call(
      g->engines, &endpoint, (mt_bytes_t){g->scratch.p, g->scratch.n},
      mt_http_exchange_body(p->exchange), fx->u.start.rested_ms, a);
  if (mt_http_call_is_sent(a->call)) tell_sent(a);
  if (r != NULL) mt_gateway_peers_placed(g->peers, r);
}

static void do_ask (mt_gateway_t *g, const mt_relay_effect_t *fx) {
  const mt_relay_request_t *r = mtV_get(&g->relay->requests, fx->request);
  if (r != NULL) mt_gateway_peers_ask(g->peers, r);
}

static void do_data (passage_t *p, const mt_relay_effect_t *fx) {
  mt_http_exchange_data(p->exchange, fx->u.data.p, fx->u.data.n);
  if (p->attempt != NULL &&
      mt_http_exchange_backlog(p->exchange) > BACKLOG_MAX)
    mt_http_call_pause(p->attempt->call, true);
}

static void do_probe (mt_gateway_t *g, const mt_relay_effect_t *fx) {
  const mt_engine_t *e = mt_engines_get(&g->relay->engines, fx->u.probe);
  if (e == NULL) return;
  mt_http_endpoint_t endpoint = {e->key, e->ip, e->port};
  mt_http_client_probe(g->engines, &endpoint, g);
}

static void execute (mt_gateway_t *g, const mt_relay_effect_t *fx) {
  if (fx->kind == MT_RELAY_DO_PROBE) {
    do_probe(g, fx);
    return;
  }
  if (fx->kind == MT_RELAY_DO_GIVE_BACK) {
    mt_gateway_peers_give_back(g->peers, fx->u.place);
    return;
  }
  if (fx->kind == MT_RELAY_DO_TELL) {
    mt_gateway_peers_say(g->peers, &fx->u.word);
    return;
  }
  passage_t *p = mtV_get(&g->passages, fx->request);
  if (p == NULL) return;
  switch (fx->kind) {
    case MT_RELAY_DO_REFUSE: do_refuse(g, p, fx); break;
    case MT_RELAY_DO_ASK: do_ask(g, fx); break;
    case MT_RELAY_DO_START: do_start(g, p, fx); break;
    case MT_RELAY_DO_CANCEL: end_attempt(p); break;
    case MT_RELAY_DO_HEAD:
      mt_http_exchange_head(p->exchange, p->status, p->head.p, p->head.n,
                            fx->u.length);
      p->head_kept = true;
      break;
    case MT_RELAY_DO_DATA: do_data(p, fx); break;
    case MT_RELAY_DO_END:
      mt_http_exchange_end(p->exchange);
      release(g, p);
      break;
    case MT_RELAY_DO_ABORT:
      mt_http_exchange_abort(p->exchange);
      release(g, p);
      break;
    case MT_RELAY_DO_PROBE:
    case MT_RELAY_DO_GIVE_BACK:
    case MT_RELAY_DO_TELL: break; /* of no request */
  }
}

/*
** Effects are taken in order. Only four events nest: GONE_OUT has no effects,
** and those of QUOTED, TRIED and CALLER_LEFT are of the one request that was
** asked about or was to be sent.
*/
void mt_gateway_step (mt_gateway_t *g, mt_relay_event_t *event) {
  mt_relay_effects_t effects = {0};
  event->now = mt_boot_clock_now(g->loop);
  mt_relay_step(g->relay, event, &effects);
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

static void on_tried (void *ud, const mt_suspect_message_t *word,
                      mt_trial_verdict_t verdict) {
  mt_relay_event_t event = {.kind = MT_RELAY_TRIED, .request = word->request};
  event.u.tried.word = word;
  event.u.tried.verdict = verdict;
  mt_gateway_step(ud, &event);
}

void mt_gateway_engine_restarted (mt_gateway_t *g, const mt_engine_t *e) {
  mt_relay_event_t event = {.kind = MT_RELAY_RESTARTED};
  event.u.restarted = e->key;
  mt_http_client_close_idle(g->engines, e->key);
  mt_gateway_step(g, &event);
}

static void on_tick (uv_timer_t *timer);

/* {== Callers ========================================================== */

/* A request has come: the next tick is near, however long it was to be. */
static void hurry (mt_gateway_t *g) {
  g->busy = mt_boot_clock_now(g->loop);
  if (g->pace == MT_TICK_BUSY_MS) return;
  g->pace = MT_TICK_BUSY_MS;
  g->ticked = g->busy;
  uv_timer_start(&g->tick, on_tick, MT_TICK_BUSY_MS, MT_TICK_BUSY_MS);
}

static mt_bytes_t path_of (mt_bytes_t target) {
  const char *query = memchr(target.p, '?', target.n);
  if (query != NULL) target.n = (size_t)(query - target.p);
  return target;
}

static void on_request (void *ud, mt_http_exchange_t *x) {
  mt_gateway_t *g = ud;
  hurry(g);
  const mt_http_headers_t *headers = mt_http_exchange_headers(x);
  mt_relay_ask_t ask = {.deadline_ms = -1, .last_event = -1};
  passage_t *p = mtV_new(sizeof *p);
  p->gateway = g;
  p->number = ++g->next_number;
  p->exchange = x;
  mt_http_exchange_set_user(x, p);
  mtV_put(&g->passages, p->number, p);
  ask.host = mt_http_headers_find(headers, "host");
  ask.path = path_of(mt_http_exchange_target(x));
  const mt_request_text_t text = {mt_http_exchange_method(x), ask.host,
                                  mt_http_exchange_target(x),
                                  mt_http_exchange_body(x)};
  ask.digest = mt_request_digest(&text);
  g->dialect->read_request(headers, &ask);
  mt_relay_event_t event = {.kind = MT_RELAY_REQUEST, .request = p->number};
  event.u.ask = &ask;
  mt_gateway_step(g, &event);
}

static void on_caller_gone (void *ud, mt_http_exchange_t *x) {
  mt_gateway_t *g = ud;
  passage_t *p = mt_http_exchange_user(x);
  if (p == NULL) return;
  mt_relay_event_t event = {.kind = MT_RELAY_CALLER_LEFT,
                            .request = p->number};
  mt_gateway_step(g, &event);
  end_attempt(p);
  release(g, p);
}

static void on_caller_drained (void *ud, mt_http_exchange_t *x) {
  passage_t *p = mt_http_exchange_user(x);
  if (p != NULL && p->attempt != NULL)
    mt_http_call_pause(p->attempt->call, false);
}

/* }== */

/* {== Engines ========================================================== */

/* Keeps an answer's own header fields, for passing them on. */
static void keep_head (passage_t *p, int status,
                       const mt_http_headers_t *headers) {
  if (p->head_kept) return;
  p->status = status;
  p->head.n = 0;
  for (size_t i = 0; i < headers->count; i++) {
    if (mt_http_headers_is_hop_by_hop(headers, i)) continue;
    mt_bytes_t name = mt_http_headers_name_at(headers, i);
    mt_bytes_t value = mt_http_headers_value_at(headers, i);
    mt_text_add(&p->head, name.p, name.n);
    mt_text_add(&p->head, ": ", 2);
    mt_text_add(&p->head, value.p, value.n);
    mt_text_add(&p->head, "\r\n", 2);
  }
}

static void tell_sent (attempt_t *a) {
  if (a->passage == NULL) return;
  mt_relay_event_t event = {.kind = MT_RELAY_GONE_OUT,
                            .request = a->passage->number,
                            .attempt = a->number};
  mt_gateway_step(a->gateway, &event);
}

static void on_sent (void *ud, mt_http_call_t *call) {
  tell_sent(ud);
}

static bool on_head (void *ud, mt_http_call_t *call, int status,
                     const mt_http_headers_t *headers) {
  attempt_t *a = ud;
  mt_gateway_t *g = a->gateway;
  mt_gateway_take_notice(g, a->engine, a->started_at, status, headers);
  if (!g->dialect->belongs(headers, (mt_bytes_t){a->id, strlen(a->id)}))
    return false;
  passage_t *p = a->passage;
  if (p == NULL) return true;
  keep_head(p, status, headers);
  mt_relay_event_t event = {
      .kind = MT_RELAY_HEAD, .request = p->number, .attempt = a->number};
  event.u.head.status = status;
  event.u.head.verdict = g->dialect->judge(status, headers);
  mt_bytes_t type = mt_http_headers_find(headers, "content-type");
  event.u.head.events =
      type.n >= 17 && strncasecmp(type.p, "text/event-stream", 17) == 0;
  event.u.head.framed = mt_http_call_is_framed(call);
  mt_gateway_step(g, &event);
  return true;
}

static void on_data (void *ud, mt_http_call_t *call, const char *bytes,
                     size_t n) {
  attempt_t *a = ud;
  if (a->passage == NULL) return;
  mt_relay_event_t event = {.kind = MT_RELAY_DATA,
                            .request = a->passage->number,
                            .attempt = a->number};
  event.u.data = (mt_bytes_t){bytes, n};
  mt_gateway_step(a->gateway, &event);
}

/* The call is over: nothing refers to the attempt any more. */
static void forget_attempt (attempt_t *a) {
  if (a->passage != NULL) a->passage->attempt = NULL;
}

static void on_end (void *ud, mt_http_call_t *call) {
  attempt_t *a = ud;
  passage_t *p = a->passage;
  forget_attempt(a);
  if (p != NULL) {
    mt_relay_event_t event = {
        .kind = MT_RELAY_END, .request = p->number, .attempt = a->number};
    mt_gateway_step(a->gateway, &event);
  }
  free(a);
}

static void on_failed (void *ud, mt_http_call_t *call,
                       mt_http_failure_t why) {
  attempt_t *a = ud;
  passage_t *p = a->passage;
  forget_attempt(a);
  if (p != NULL) {
    mt_relay_event_t event = {
        .kind = MT_RELAY_FAILED, .request = p->number, .attempt = a->number};
    event.u.not_sent = why == MT_HTTP_NOT_SENT;
    mt_gateway_step(a->gateway, &event);
  }
  free(a);
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

static void on_ready_asked (void *ud, mt_http_exchange_t *x) {
  mt_gateway_t *g = ud;
  mt_http_exchange_head(x, is_ready(g) ? 200 : 503, "", 0, 0);
  mt_http_exchange_end(x);
}

static void answer_text (mt_gateway_t *g, mt_http_exchange_t *x, int status) {
  static const char type[] = "Content-Type: text/plain; version=0.0.4\r\n";
  mt_http_exchange_head(x, status, type, sizeof type - 1,
                        (int64_t)g->scratch.n);
  mt_http_exchange_data(x, g->scratch.p, g->scratch.n);
  mt_http_exchange_end(x);
}

/* Operators see the list (GET) or clear one (DELETE), here and everywhere. */
static void on_suspects_asked (mt_gateway_t *g, mt_http_exchange_t *x) {
  uint64_t digest = mt_suspects_page_digest(mt_http_exchange_target(x));
  bool clears = mt_bytes_equal_nocase(mt_http_exchange_method(x), "DELETE");
  bool known = mt_suspects_get(&g->relay->suspects, digest) != NULL;
  const mt_suspect_message_t word = {.kind = MT_SUSPECT_MESSAGE_ANSWERED,
                                     .digest = digest};
  if (clears && known) mt_gateway_peers_say(g->peers, &word);
  mt_suspects_page_list(&g->relay->suspects, mt_boot_clock_now(g->loop),
                        &g->scratch);
  answer_text(g, x, clears && !known ? 404 : 200);
}

static void on_metrics_asked (void *ud, mt_http_exchange_t *x) {
  mt_gateway_t *g = ud;
  g->scratch.n = 0;
  if (mt_suspects_page_is_at(mt_http_exchange_target(x))) {
    on_suspects_asked(g, x);
    return;
  }
  const mt_gateway_metrics_t from = {
      .relay = g->relay,
      .engines = g->engines,
      .callers = g->callers,
      .overload = &g->overload,
      .log = g->log,
      .traffic = mt_gateway_peers_traffic(g->peers),
      .news = mt_gateway_peers_news(g->peers),
      .source_events = g->source_events,
      .addresses_refused = mt_gateway_peers_refused(g->peers)};
  mt_gateway_metrics(&from, &g->scratch);
  answer_text(g, x, 200);
}

static void on_nothing (void *ud, mt_http_exchange_t *x) {
}

static void finish (mt_gateway_t *g, const char *why) {
  mt_log_line(g->log, MT_LOG_STATE, mt_boot_clock_now(g->loop), "stop",
              "requests=%zu outcome=%s", g->relay->count, why);
  mt_log_writer_flush(g->log);
  uv_stop(g->loop);
}

/* A stop goes in steps: out of the balancer, idle connections, the end. */
static void go_on_stopping (mt_gateway_t *g) {
  mt_ms_t since = mt_boot_clock_now(g->loop) - g->stopping;
  if (since > LEAVE_MS) {
    mt_http_server_close_idle(g->callers);
    if (mt_http_server_connections(g->callers) == 0) {
      finish(g, "finished");
      return;
    }
  }
  if (since + LAST_MS > g->settings.grace) finish(g, "out-of-time");
}

/* Whoever cannot keep up sends its callers elsewhere until it can. */
static void judge_load (mt_gateway_t *g) {
  mt_ms_t now = mt_boot_clock_now(g->loop);
  mt_ms_t took = g->ticked ? now - g->ticked : g->pace;
  g->ticked = now;
  bool changed = mt_overload_update(&g->overload, took, g->pace);
  g->relay->overloaded = g->overload.severe;
  if (!changed) return;
  bool overloaded = g->overload.overloaded;
  mt_http_server_drain(g->callers, overloaded || g->stopping != 0);
  mt_log_line(g->log, MT_LOG_STATE, now, "overload",
              "lag=%.0f requests=%zu connections=%zu outcome=%s",
              g->overload.lag, g->relay->count,
              mt_http_server_connections(g->callers),
              overloaded ? "begun" : "over");
}

/* All that was believed is as much older. */
static void note_sleep (mt_gateway_t *g) {
  mt_ms_t now = mt_boot_clock_now(g->loop);
  mt_ms_t slept = mt_boot_clock_suspended(g->loop) - g->asleep;
  g->asleep += slept;
  if (slept > 0)
    mt_log_line(g->log, MT_LOG_STATE, now, "suspended",
                "slept=%llu requests=%zu outcome=woke",
                (unsigned long long)slept, g->relay->count);
}

/* When the next tick comes. */
static void set_pace (mt_gateway_t *g) {
  mt_ms_t now = mt_boot_clock_now(g->loop);
  if (g->relay->count > 0) g->busy = now;
  const mt_tick_state_t view = {.uptime = now - g->started,
                                .idle_time = now - g->busy,
                                .stopping = g->stopping != 0};
  mt_ms_t pace = mt_tick_interval(&view);
  if (pace == g->pace) return;
  g->pace = pace;
  uv_timer_start(&g->tick, on_tick, pace, pace);
}

static void on_tick (uv_timer_t *timer) {
  mt_gateway_t *g = timer->data;
  note_sleep(g);
  judge_load(g);
  mt_gateway_peers_read(g->peers);
  mt_relay_event_t event = {.kind = MT_RELAY_TICK};
  mt_gateway_step(g, &event);
  g->relay->routers = mt_gateway_peers_tick(g->peers);
  mt_http_client_tick(g->engines);
  mt_http_server_tick(g->callers);
  mt_log_writer_flush(g->log);
  set_pace(g);
  if (g->stopping != 0) go_on_stopping(g);
}

/* }== */

/* {== Opening and closing ============================================== */

static const mt_http_server_handler_t caller_handler = {
    .request = on_request,
    .gone = on_caller_gone,
    .drained = on_caller_drained};
static const mt_http_server_handler_t ready_handler = {
    .request = on_ready_asked, .gone = on_nothing, .drained = on_nothing};
static const mt_http_server_handler_t metrics_handler = {
    .request = on_metrics_asked, .gone = on_nothing, .drained = on_nothing};

static void on_request_outcome (void *ud, const mt_relay_request_t *r,
                                const char *outcome, const char *why) {
  mt_gateway_t *g = ud;
  mt_gateway_log_request(g->log, g->relay, r, outcome, why);
}

static mt_http_server_t *listen_on (mt_gateway_t *g, const mt_addr_t *addr,
                                    const mt_http_server_handler_t *handler,
                                    char *reason, size_t size) {
  return mt_http_server_open(g->loop, addr->ip, addr->port, handler, g,
                             reason, size);
}

mt_gateway_t *mt_gateway_open (uv_loop_t *loop,
                               const mt_gateway_settings_t *settings,
                               const mt_dialect_t *dialect, char *reason,
                               size_t size) {
  size_t descriptors = settings->descriptors;
  const mt_http_client_options_t options = {
      .connect_ms = CONNECT_MS,
      .idle_ms = IDLE_MS,
      .connections = (size_t)(ENGINES_PART * descriptors),
      .user_timeout = USER_TIMEOUT_MS};
  mt_gateway_t *g = mtV_new(sizeof *g);
  g->loop = loop;
  g->settings = *settings;
  g->dialect = dialect;
  g->started = mt_boot_clock_now(loop);
  g->log = mt_log_writer_open(STDOUT_FILENO, settings->node,
                              settings->lines_per_s);
  g->relay = mt_relay_new(settings->domain, &settings->terms);
  g->relay->log = on_request_outcome;
  g->relay->log_engine = mt_gateway_engine_gone;
  g->relay->log_ud = g;
  g->engines = mt_http_client_open(loop, &options, &engine_handler);
  g->callers =
      listen_on(g, &settings->callers, &caller_handler, reason, size);
  if (g->callers == NULL) return NULL;
  mt_http_server_set_max_connections(g->callers,
                                     (size_t)(CALLERS_PART * descriptors));
  g->ready = listen_on(g, &settings->ready, &ready_handler, reason, size);
  if (g->ready == NULL) return NULL;
  g->metrics =
      listen_on(g, &settings->metrics, &metrics_handler, reason, size);
  if (g->metrics == NULL) return NULL;
  const mt_gateway_peers_calls_t calls = {on_quoted, mt_gateway_take_change,
                                          on_tried,
                                          mt_gateway_take_peer_drain, g};
  g->peers = mt_gateway_peers_open(loop, settings, g->relay, g->log, &calls);
  uv_timer_init(loop, &g->tick);
  g->tick.data = g;
  g->pace = MT_TICK_BUSY_MS;
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
  event.u.stop_ms = g->settings.grace - LAST_MS;
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

/* The process ends: sockets go with it, memory is given back for checkers. */
void mt_gateway_close (mt_gateway_t *g) {
  uv_close((uv_handle_t *)&g->tick, NULL);
  mt_gateway_peers_close(g->peers);
  mt_http_server_close(g->metrics);
  mt_http_server_close(g->ready);
  mt_http_server_close(g->callers);
  mt_http_client_close(g->engines);
  uv_run(g->loop, UV_RUN_NOWAIT);
  mtV_each (&g->passages, i) {
    passage_t *p = g->passages.vals[i];
    if (p->attempt) free(p->attempt);
    mt_text_free(&p->head);
    free(p);
  }
  mtV_free(&g->passages);
  mt_relay_free(g->relay);
  mt_log_writer_close(g->log);
  mt_text_free(&g->scratch);
  free(g);
}

/* }== */
