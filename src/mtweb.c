/*
** mtweb.c - HTTP server of the router, on src/net
*/
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http_server.h"
#include "mtmem.h"
#include "mtweb.h"

#define IDLE_MS 300000     /* limit for idling and for receiving a request */
#define TICK_MS 500        /* period of the time-limit checks */
#define HEADER_BYTES 65536 /* limit of a request's header */
/* Limit of a reply's header lines in bytes; lines beyond it are dropped. */
#define HEADER_LINES_MAX 2048

struct mt_web_t {
  mt_http_server_t *server;
  uv_timer_t tick;
  mt_webfn_t fn;
  void *ud;
  uint16_t port;
  mt_webreq_t *ended; /* freed by the next tick, as handlers may use them */
};

struct mt_webreq_t {
  mt_web_t *web;
  mt_http_exchange_t *exchange; /* NULL: reply ended or caller disconnected */
  mt_webreq_t *next;            /* in the list of ended requests */
  void *ud;
  mt_webclosed_t gone;
  mt_webdrained_t drained;
  int64_t length; /* of the reply's body, or MT_HTTP_CHUNKED */
  bool head_sent;
};

static const mt_http_server_limits_t limits = {.header_bytes = HEADER_BYTES,
                                               .body_bytes = 4 * MT_BODY_MAX,
                                               .header_ms = IDLE_MS,
                                               .idle_ms = IDLE_MS};

static void finish (mt_webreq_t *r) {
  r->exchange = NULL;
  r->ud = NULL;
  r->next = r->web->ended;
  r->web->ended = r;
}

/* {== Sending ========================================================== */

void mtB_begin (mt_webreq_t *r, int status, const mt_header_t *h, size_t n) {
  char lines[HEADER_LINES_MAX];
  size_t used = 0;
  if (r->head_sent || r->exchange == NULL) return;
  r->head_sent = true;
  for (size_t i = 0; i < n; i++) {
    int size = snprintf(lines + used, sizeof lines - used, "%s: %s\r\n",
                        h[i].name, h[i].value);
    if (size < 0 || (size_t)size >= sizeof lines - used) break;
    used += (size_t)size;
  }
  mt_http_exchange_head(r->exchange, status, lines, used, r->length);
}

void mtB_set_length (mt_webreq_t *r, size_t n) {
  r->length = (int64_t)n;
}

void mtB_write (mt_webreq_t *r, const char *p, size_t n) {
  if (r->exchange != NULL) mt_http_exchange_data(r->exchange, p, n);
}

void mtB_end (mt_webreq_t *r) {
  if (r->exchange == NULL) return;
  mt_http_exchange_end(r->exchange);
  finish(r);
}

void mtB_abort (mt_webreq_t *r) {
  if (r->exchange == NULL) return;
  mt_http_exchange_abort(r->exchange);
  finish(r);
}

void mtB_reply (mt_webreq_t *r, int status, const mt_header_t *h, size_t n,
                const char *body, size_t size) {
  mtB_set_length(r, size);
  mtB_begin(r, status, h, n);
  mtB_write(r, body, size);
  mtB_end(r);
}

size_t mtB_backlog (const mt_webreq_t *r) {
  return r->exchange ? mt_http_exchange_backlog(r->exchange) : 0;
}

/* }== */

/* {== Receiving ======================================================== */

static void on_request (void *ud, mt_http_exchange_t *exchange) {
  mt_web_t *web = ud;
  mt_webreq_t *r = mtV_new(sizeof *r);
  r->web = web;
  r->exchange = exchange;
  r->length = MT_HTTP_CHUNKED;
  mt_http_exchange_set_user(exchange, r);
  web->fn(web->ud, r);
}

static void on_closed (void *ud, mt_http_exchange_t *exchange) {
  mt_webreq_t *r = mt_http_exchange_user(exchange);
  if (r == NULL) return;
  void *callback_ud = r->ud;
  mt_webclosed_t gone = r->gone;
  finish(r);
  if (gone != NULL && callback_ud != NULL) gone(callback_ud, r);
}

static void on_drained (void *ud, mt_http_exchange_t *exchange) {
  mt_webreq_t *r = mt_http_exchange_user(exchange);
  if (r != NULL && r->drained != NULL && r->ud != NULL) r->drained(r->ud, r);
}

mt_bytes_t mtB_method (const mt_webreq_t *r) {
  return mt_http_exchange_method(r->exchange);
}

mt_bytes_t mtB_path (const mt_webreq_t *r) {
  mt_bytes_t target = mt_http_exchange_target(r->exchange);
  const char *query = memchr(target.p, '?', target.n);
  if (query != NULL) target.n = (size_t)(query - target.p);
  return target;
}

mt_bytes_t mtB_query (const mt_webreq_t *r) {
  mt_bytes_t target = mt_http_exchange_target(r->exchange);
  size_t path = mtB_path(r).n;
  if (path == target.n) return (mt_bytes_t){"", 0};
  return (mt_bytes_t){target.p + path + 1, target.n - path - 1};
}

mt_bytes_t mtB_body (const mt_webreq_t *r) {
  return mt_http_exchange_body(r->exchange);
}

mt_bytes_t mtB_header (const mt_webreq_t *r, const char *name) {
  return mt_http_headers_find(mt_http_exchange_headers(r->exchange), name);
}

bool mtB_param (const mt_webreq_t *r, const char *name, char *out,
                size_t size) {
  mt_bytes_t q = mtB_query(r);
  size_t n = strlen(name);
  for (size_t i = 0; i < q.n;) {
    size_t end = i;
    while (end < q.n && q.p[end] != '&') end++;
    if (end - i > n && memcmp(q.p + i, name, n) == 0 && q.p[i + n] == '=') {
      size_t len = end - i - n - 1;
      if (len >= size) return false;
      memcpy(out, q.p + i + n + 1, len);
      out[len] = '\0';
      return true;
    }
    i = end + 1;
  }
  return false;
}

bool mtB_is (const mt_webreq_t *r, const char *method, const char *path) {
  mt_bytes_t m = mtB_method(r), p = mtB_path(r);
  return m.n == strlen(method) && memcmp(m.p, method, m.n) == 0 &&
         p.n == strlen(path) && memcmp(p.p, path, p.n) == 0;
}

void mtB_set_callbacks (mt_webreq_t *r, void *ud, mt_webclosed_t gone,
                        mt_webdrained_t drained) {
  r->ud = ud;
  r->gone = gone;
  r->drained = drained;
}

/* on_closed clears the exchange as soon as a disconnect is detected. */
bool mtB_disconnected (const mt_webreq_t *r) {
  return r->exchange == NULL;
}

/* }== */

/* {== Listener ========================================================= */

static const mt_http_server_handler_t handler = {
    .request = on_request, .gone = on_closed, .drained = on_drained};

static void on_tick (uv_timer_t *timer) {
  mt_web_t *web = timer->data;
  mt_http_server_tick(web->server);
  while (web->ended != NULL) {
    mt_webreq_t *r = web->ended;
    web->ended = r->next;
    free(r);
  }
}

void mtB_share_memory (mt_web_t *web, mt_memory_budget_t *budget) {
  const mt_http_server_guard_t guard = {.budget = budget};
  mt_http_server_set_guard(web->server, &guard);
}

uint16_t mtB_port (const mt_web_t *web) {
  return web->port;
}

mt_web_t *mtB_open (uv_loop_t *loop, const char *ip, uint16_t port,
                    mt_webfn_t fn, void *ud, char *reason, size_t size) {
  mt_web_t *web = mtV_new(sizeof *web);
  web->fn = fn;
  web->ud = ud;
  web->server =
      mt_http_server_open(loop, ip, port, &handler, web, reason, size);
  if (web->server == NULL) {
    free(web);
    return NULL;
  }
  web->port = mt_http_server_port(web->server);
  mt_http_server_set_limits(web->server, &limits);
  uv_timer_init(loop, &web->tick);
  web->tick.data = web;
  uv_timer_start(&web->tick, on_tick, TICK_MS, TICK_MS);
  uv_unref((uv_handle_t *)&web->tick);
  return web;
}

void mtB_close (mt_web_t *web) {
  mt_http_server_stop(web->server);
}

/* }== */
