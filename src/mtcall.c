/*
** mtcall.c - HTTP client of the router, on src/net
*/
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http_client.h"
#include "mtcall.h"
#include "mtmem.h"

#define IDLE_MS 60000 /* then an idle connection is closed */
#define SWEEP_MS 100  /* period of the timeout check */

struct mt_http_t {
  uv_loop_t *loop;
  mt_http_client_t *client;
  mt_ms_t timeout_ms;
  uv_timer_t sweep;
  mt_ms_t last_sweep;
  mt_call_t *calls;
};

struct mt_call_t {
  mt_http_t *http;
  mt_http_call_t *call; /* NULL once it has ended */
  mt_callfn_t fn;
  void *ud;
  mt_ms_t last_activity; /* start, last event or last pause or resume */
  bool paused;
  mt_outcome_t outcome;
  bool in_callback; /* its callback is running */
  bool cancelled;   /* by its own callback; freed when that returns */
  mt_call_t *prev, *next;
};

/* {== Calls ============================================================ */

static void free_call (mt_call_t *c) {
  if (c->prev)
    c->prev->next = c->next;
  else
    c->http->calls = c->next;
  if (c->next) c->next->prev = c->prev;
  free(c);
}

/* Calls the callback; false when that has cancelled the call. */
static bool deliver (mt_call_t *c, const mt_callev_t *ev) {
  c->in_callback = true;
  if (!c->cancelled) c->fn(c->ud, c, ev);
  c->in_callback = false;
  return !c->cancelled;
}

/* Delivers an event that is not the last; frees a call cancelled by it. */
static void deliver_partial (mt_call_t *c, const mt_callev_t *ev) {
  c->last_activity = uv_now(c->http->loop);
  if (deliver(c, ev)) return;
  mt_http_call_cancel(c->call);
  free_call(c);
}

static void finish (mt_call_t *c, const mt_callev_t *ev) {
  c->call = NULL;
  deliver(c, ev);
  free_call(c);
}

static bool on_head (void *ud, mt_http_call_t *call, int status,
                     const mt_http_headers_t *headers) {
  mt_call_t *c = ud;
  mt_callev_t ev = {.kind = MT_CALL_HEAD, .status = status};
  ev.type = mt_http_headers_find(headers, "content-type");
  ev.revision = mt_http_headers_find(headers, "x-revision");
  ev.length =
      mt_bytes_number(mt_http_headers_find(headers, "content-length"));
  mt_bytes_t outcome = mt_http_headers_find(headers, "x-outcome");
  if (outcome.n > 0)
    c->outcome = mt_bytes_equal_nocase(outcome, "not-run")
                     ? MT_OUTCOME_NOTRUN
                     : MT_OUTCOME_UNKNOWN;
  deliver_partial(c, &ev);
  return true;
}

static void on_data (void *ud, mt_http_call_t *call, const char *p,
                     size_t n) {
  mt_callev_t ev = {.kind = MT_CALL_BODY, .data = {p, n}};
  deliver_partial(ud, &ev);
}

static void on_end (void *ud, mt_http_call_t *call) {
  mt_call_t *c = ud;
  mt_callev_t ev = {.kind = MT_CALL_END, .outcome = c->outcome};
  finish(c, &ev);
}

static void on_failed (void *ud, mt_http_call_t *call,
                       mt_http_failure_t why) {
  mt_callev_t ev = {.kind = MT_CALL_FAILED,
                    .notsent = why == MT_HTTP_NOT_SENT};
  finish(ud, &ev);
}

static const mt_http_call_handler_t handler = {
    .head = on_head, .data = on_data, .end = on_end, .failed = on_failed};

/* }== */

/* {== Starting ========================================================= */

static char *format_head (const mt_callspec_t *s, size_t *size) {
  const char *extra = s->headers ? s->headers : "";
  size_t cap = strlen(s->method) + strlen(s->path) + strlen(extra) + 160;
  char *head = mtV_new(cap);
  *size = (size_t)snprintf(
      head, cap,
      "%s %s HTTP/1.1\r\nHost: %s:%u\r\nContent-Length: %zu\r\n%s%s\r\n",
      s->method, s->path, s->addr.ip, s->addr.port, s->body.n,
      s->fresh ? "Connection: close\r\n" : "", extra);
  return head;
}

static uint64_t endpoint_key (const mt_addr_t *a) {
  char text[80];
  int n = snprintf(text, sizeof text, "%s:%u", a->ip, a->port);
  return mtV_hash(text, (size_t)n) | 1;
}

mt_call_t *mtY_call (mt_http_t *http, const mt_callspec_t *spec,
                     mt_callfn_t fn, void *ud) {
  mt_call_t *c = mtV_new(sizeof *c);
  size_t size;
  c->http = http;
  c->fn = fn;
  c->ud = ud;
  c->last_activity = uv_now(http->loop);
  c->next = http->calls;
  if (c->next) c->next->prev = c;
  http->calls = c;
  char *head = format_head(spec, &size);
  mt_http_endpoint_t endpoint = {endpoint_key(&spec->addr), spec->addr.ip,
                                 spec->addr.port};
  c->call =
      mt_http_client_call(http->client, &endpoint, (mt_bytes_t){head, size},
                          spec->body, spec->fresh ? 0 : IDLE_MS, c);
  free(head);
  return c;
}

void mtY_cancel (mt_call_t *c) {
  if (c->in_callback) {
    c->cancelled = true;
    return;
  }
  if (c->call != NULL) mt_http_call_cancel(c->call);
  free_call(c);
}

void mtY_pause (mt_call_t *c, bool pause) {
  if (c->call == NULL) return;
  c->paused = pause;
  c->last_activity = uv_now(c->http->loop);
  mt_http_call_pause(c->call, pause);
}

/* }== */

/* {== Client =========================================================== */

/*
** Fails the first call that has timed out. At most one per sweep, since its
** callback may change the list; others follow in later sweeps. A response
** that came while the loop stood still is read after the sweep: only up to
** the previous one is silence certain.
*/
static void fail_timed_out (mt_http_t *http, mt_ms_t previous) {
  for (mt_call_t *c = http->calls; c != NULL; c = c->next) {
    if (c->paused || previous < c->last_activity + http->timeout_ms) continue;
    mt_callev_t ev = {.kind = MT_CALL_FAILED, .silent = true};
    ev.notsent = !mt_http_call_is_sent(c->call);
    mt_http_call_cancel(c->call);
    finish(c, &ev);
    return;
  }
}

static void on_sweep (uv_timer_t *timer) {
  mt_http_t *http = timer->data;
  mt_ms_t previous = http->last_sweep;
  http->last_sweep = uv_now(http->loop);
  mt_http_client_tick(http->client);
  fail_timed_out(http, previous);
}

mt_http_t *mtY_open (uv_loop_t *loop, mt_ms_t timeout_ms) {
  mt_http_t *http = mtV_new(sizeof *http);
  const mt_http_client_options_t options = {
      .connect_ms = MT_CONNECT_TIMEOUT_MS,
      .idle_ms = IDLE_MS,
      .user_timeout = (unsigned)timeout_ms};
  http->loop = loop;
  http->timeout_ms = timeout_ms;
  http->client = mt_http_client_open(loop, &options, &handler);
  uv_timer_init(loop, &http->sweep);
  http->sweep.data = http;
  uv_timer_start(&http->sweep, on_sweep, SWEEP_MS, SWEEP_MS);
  uv_unref((uv_handle_t *)&http->sweep);
  return http;
}

static void on_sweep_closed (uv_handle_t *h) {
  free(h->data);
}

/* The loop's next iteration frees it. */
void mtY_close (mt_http_t *http) {
  uv_timer_stop(&http->sweep);
  while (http->calls != NULL) mtY_cancel(http->calls);
  mt_http_client_close(http->client);
  uv_close((uv_handle_t *)&http->sweep, on_sweep_closed);
}

/* }== */
