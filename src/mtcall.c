/*
** mtcall.c - HTTP calls, on h2o's client over libuv
*/
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <h2o.h>
#include <h2o/http1client.h>

#include "mtcall.h"
#include "mtmem.h"

#define POOL_CONNECTIONS 4096
#define POOL_IDLE_MS 60000
#define SWEEP_MS 100

struct mt_http_t {
  uv_loop_t *loop;
  h2o_timeout_t timeout;
  h2o_multithread_queue_t *queue;
  h2o_multithread_receiver_t receiver;
  h2o_http1client_ctx_t ctx;
  uv_timer_t sweep;
  mt_map_t pools; /* address -> h2o_socketpool_t */
  mt_call_t *calls;
};

struct mt_call_t {
  mt_http_t *http;
  h2o_http1client_t *client;
  mt_callfn_t fn;
  void *ud;
  char *request;
  size_t n;
  h2o_iovec_t buf;
  h2o_socket_cb paused; /* the reading callback while paused */
  mt_ms_t begun;
  bool connected, head, silent;
  mt_said_t outcome;
  bool busy;      /* inside its own callback */
  bool cancelled; /* from there: nothing more is wanted */
  bool starting, failedearly;
  mt_call_t *prev, *next;
};

/* {== Calls ============================================================ */

static void unlinkcall (mt_call_t *c) {
  if (c->prev)
    c->prev->next = c->next;
  else
    c->http->calls = c->next;
  if (c->next) c->next->prev = c->prev;
}

static void freecall (mt_call_t *c) {
  unlinkcall(c);
  free(c->request);
  free(c);
}

/* Hands on an event; false when the call was cancelled in the callback. */
static bool deliver (mt_call_t *c, const mt_callev_t *ev) {
  c->busy = true;
  if (!c->cancelled) c->fn(c->ud, c, ev);
  c->busy = false;
  return !c->cancelled;
}

static void finish (mt_call_t *c, mt_callkind_t kind) {
  mt_callev_t ev = {.kind = kind,
                    .notsent = !c->connected,
                    .silent = c->silent,
                    .outcome = c->outcome};
  c->client = NULL;
  deliver(c, &ev);
  freecall(c);
}

static int onbody (h2o_http1client_t *client, const char *errstr) {
  mt_call_t *c = client->data;
  h2o_buffer_t **in = &client->sock->input;
  if ((*in)->size > 0 &&
      (errstr == NULL || errstr == h2o_http1client_error_is_eos)) {
    mt_callev_t ev = {.kind = MT_CALL_BODY,
                      .data = {(*in)->bytes, (*in)->size}};
    bool wanted = deliver(c, &ev);
    h2o_buffer_consume(in, (*in)->size);
    if (!wanted) {
      freecall(c);
      return -1;
    }
  }
  if (errstr == NULL) return 0;
  finish(c, errstr == h2o_http1client_error_is_eos ? MT_CALL_END
                                                   : MT_CALL_FAILED);
  return 0;
}

static bool named (const h2o_header_t *h, const char *name) {
  return h->name->len == strlen(name) &&
         strncasecmp(h->name->base, name, h->name->len) == 0;
}

/* A header's number; -1 when it is none. */
static int64_t number (mt_bytes_t v) {
  int64_t n = 0;
  for (size_t i = 0; i < v.n; i++) {
    if (v.p[i] < '0' || v.p[i] > '9' || n > INT64_MAX / 16) return -1;
    n = n * 10 + (v.p[i] - '0');
  }
  return v.n > 0 ? n : -1;
}

static h2o_http1client_body_cb
onhead (h2o_http1client_t *client, const char *errstr, int minor, int status,
        h2o_iovec_t msg, h2o_header_t *headers, size_t nheaders, int rlen) {
  (void)minor;
  (void)msg;
  (void)rlen;
  mt_call_t *c = client->data;
  if (errstr != NULL && errstr != h2o_http1client_error_is_eos) {
    c->silent = strstr(errstr, "timeout") != NULL;
    finish(c, MT_CALL_FAILED);
    return NULL;
  }
  mt_callev_t ev = {.kind = MT_CALL_HEAD,
                    .status = status,
                    .type = {"", 0},
                    .revision = {"", 0}};
  ev.length = -1;
  for (size_t i = 0; i < nheaders; i++) {
    mt_bytes_t v = {headers[i].value.base, headers[i].value.len};
    if (named(&headers[i], "content-type")) ev.type = v;
    if (named(&headers[i], "x-revision")) ev.revision = v;
    if (named(&headers[i], "content-length")) ev.length = number(v);
    if (named(&headers[i], "x-outcome"))
      c->outcome = v.n == 7 && memcmp(v.p, "not-run", 7) == 0
                       ? MT_SAID_NOTRUN
                       : MT_SAID_UNKNOWN;
  }
  c->head = true;
  if (!deliver(c, &ev)) {
    freecall(c);
    return NULL;
  }
  if (errstr == NULL) return onbody;
  finish(c, MT_CALL_END);
  return NULL;
}

static h2o_http1client_head_cb onconnect (h2o_http1client_t *client,
                                          const char *errstr,
                                          h2o_iovec_t **bufs, size_t *nbufs,
                                          int *head) {
  mt_call_t *c = client->data;
  if (errstr != NULL) {
    c->failedearly = c->starting;
    c->client = NULL;
    if (!c->starting) finish(c, MT_CALL_FAILED);
    return NULL;
  }
  c->connected = true;
  c->buf = h2o_iovec_init(c->request, c->n);
  *bufs = &c->buf;
  *nbufs = 1;
  *head = 0;
  return onhead;
}

/* }== */

/* {== Beginning ======================================================== */

static void compose (mt_call_t *c, const mt_callspec_t *s) {
  const char *extra = s->headers ? s->headers : "";
  size_t cap =
      strlen(s->method) + strlen(s->path) + strlen(extra) + s->body.n + 160;
  c->request = mtV_new(cap);
  int n = snprintf(
      c->request, cap,
      "%s %s HTTP/1.1\r\nHost: %s:%u\r\nContent-Length: %zu\r\n%s%s\r\n",
      s->method, s->path, s->addr.ip, s->addr.port, s->body.n,
      s->fresh ? "Connection: close\r\n" : "", extra);
  if (s->body.n > 0) memcpy(c->request + n, s->body.p, s->body.n);
  c->n = (size_t)n + s->body.n;
}

static h2o_socketpool_t *poolof (mt_http_t *http, const mt_addr_t *a) {
  char text[80];
  int n = snprintf(text, sizeof text, "%s:%u", a->ip, a->port);
  uint64_t key = mtV_hash(text, (size_t)n) | 1;
  h2o_socketpool_t *pool = mtV_get(&http->pools, key);
  if (pool != NULL) return pool;
  struct sockaddr_in sin;
  uv_ip4_addr(a->ip, a->port, &sin);
  pool = mtV_new(sizeof *pool);
  h2o_socketpool_init_by_address(pool, (struct sockaddr *)&sin, sizeof sin, 0,
                                 POOL_CONNECTIONS);
  h2o_socketpool_set_timeout(pool, http->loop, POOL_IDLE_MS);
  mtV_put(&http->pools, key, pool);
  return pool;
}

mt_call_t *mtY_call (mt_http_t *http, const mt_callspec_t *spec,
                     mt_callfn_t fn, void *ud) {
  mt_call_t *c = mtV_new(sizeof *c);
  c->http = http;
  c->fn = fn;
  c->ud = ud;
  c->begun = uv_now(http->loop);
  compose(c, spec);
  c->next = http->calls;
  if (c->next) c->next->prev = c;
  http->calls = c;
  c->starting = true;
  if (spec->fresh) {
    h2o_iovec_t host = h2o_iovec_init(spec->addr.ip, strlen(spec->addr.ip));
    h2o_http1client_connect(&c->client, c, &http->ctx, host, spec->addr.port,
                            0, onconnect);
  } else {
    h2o_http1client_connect_with_pool(&c->client, c, &http->ctx,
                                      poolof(http, &spec->addr), onconnect);
  }
  c->starting = false;
  return c;
}

void mtY_cancel (mt_call_t *c) {
  if (c->busy) {
    c->cancelled = true;
    return;
  }
  if (c->client != NULL) h2o_http1client_cancel(c->client);
  freecall(c);
}

void mtY_pause (mt_call_t *c, bool pause) {
  if (c->client == NULL || c->client->sock == NULL || !c->head) return;
  h2o_socket_t *sock = c->client->sock;
  if (pause && c->paused == NULL) {
    c->paused = sock->_cb.read;
    h2o_socket_read_stop(sock);
  } else if (!pause && c->paused != NULL) {
    h2o_socket_cb cb = c->paused;
    c->paused = NULL;
    h2o_socket_read_start(sock, cb);
  }
}

/* }== */

/* {== Client =========================================================== */

/* Gives up connections that take too long to come about. */
static void onsweep (uv_timer_t *t) {
  mt_http_t *http = t->data;
  mt_ms_t now = uv_now(http->loop);
  for (mt_call_t *c = http->calls, *next; c != NULL; c = next) {
    next = c->next;
    if (!c->failedearly && (c->connected || now - c->begun < MT_CONNECT_MS))
      continue;
    if (c->client != NULL) h2o_http1client_cancel(c->client);
    finish(c, MT_CALL_FAILED);
    return;
  }
}

static void nomessages (h2o_multithread_receiver_t *receiver,
                        h2o_linklist_t *messages) {
  h2o_hostinfo_getaddr_receiver(receiver, messages);
}

mt_http_t *mtY_open (uv_loop_t *loop, mt_ms_t silence) {
  mt_http_t *http = mtV_new(sizeof *http);
  http->loop = loop;
  h2o_timeout_init(loop, &http->timeout, silence);
  http->queue = h2o_multithread_create_queue(loop);
  h2o_multithread_register_receiver(http->queue, &http->receiver, nomessages);
  http->ctx.loop = loop;
  http->ctx.getaddr_receiver = &http->receiver;
  http->ctx.io_timeout = &http->timeout;
  uv_timer_init(loop, &http->sweep);
  http->sweep.data = http;
  uv_timer_start(&http->sweep, onsweep, SWEEP_MS, SWEEP_MS);
  uv_unref((uv_handle_t *)&http->sweep);
  return http;
}

void mtY_close (mt_http_t *http) {
  uv_timer_stop(&http->sweep);
  while (http->calls != NULL) mtY_cancel(http->calls);
}

/* }== */
