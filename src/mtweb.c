/*
** mtweb.c - an HTTP listener, on h2o over libuv
*/
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <h2o.h>

#include "mtmem.h"
#include "mtweb.h"

#define BACKLOG 1024
#define ABORTED 502    /* never seen: the connection is shut by then */
#define IDLE_MS 300000 /* an idle connection is kept this long */

struct mt_web_t {
  uv_tcp_t listener;
  h2o_globalconf_t config;
  h2o_context_t ctx;
  h2o_accept_ctx_t accept;
  mt_webfn_t fn;
  void *ud;
  uint16_t port;
};

struct mt_webreq_t {
  h2o_generator_t generator; /* first: h2o hands it back */
  h2o_req_t *req;
  void *ud;
  mt_webgone_t gone;
  mt_webdrained_t drained;
  char *pending, *sending;
  size_t npending, pending_cap, nsending, sending_cap;
  bool begun, ending, ended, busy, aborted;
};

/* A handler that knows its listener. */
typedef struct handler_t {
  h2o_handler_t super;
  mt_web_t *web;
} handler_t;

/* {== Sending ========================================================== */

static void flush (mt_webreq_t *r) {
  if (r->busy || r->ended) return;
  if (r->npending == 0 && !r->ending && !r->aborted) return;
  char *p = r->sending;
  size_t cap = r->sending_cap;
  r->sending = r->pending;
  r->sending_cap = r->pending_cap;
  r->nsending = r->npending;
  r->pending = p;
  r->pending_cap = cap;
  r->npending = 0;
  r->busy = true;
  h2o_iovec_t buf = h2o_iovec_init(r->sending, r->nsending);
  h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
  if (r->ending) state = H2O_SEND_STATE_FINAL;
  if (r->aborted) state = H2O_SEND_STATE_ERROR;
  r->ended = r->ending || r->aborted;
  h2o_send(r->req, &buf, r->nsending > 0 ? 1 : 0, state);
}

static void onproceed (h2o_generator_t *g, h2o_req_t *req) {
  (void)req;
  mt_webreq_t *r = (mt_webreq_t *)g;
  r->busy = false;
  r->nsending = 0;
  if (r->npending > 0 || r->ending || r->aborted) {
    flush(r); /* the last one ends the request, and `r` with it */
    return;
  }
  if (!r->ended && r->drained && r->ud) r->drained(r->ud, r);
}

static void onstop (h2o_generator_t *g, h2o_req_t *req) {
  (void)req;
  mt_webreq_t *r = (mt_webreq_t *)g;
  r->ended = true;
  void *ud = r->ud;
  r->ud = NULL;
  if (r->gone && ud) r->gone(ud, r);
}

static void append (mt_webreq_t *r, const char *p, size_t n) {
  if (r->npending + n > r->pending_cap) {
    size_t cap = mt_max(r->pending_cap * 2, r->npending + n);
    char *q = realloc(r->pending, cap);
    if (q == NULL) abort();
    r->pending = q;
    r->pending_cap = cap;
  }
  if (n > 0) memcpy(r->pending + r->npending, p, n);
  r->npending += n;
}

void mtB_begin (mt_webreq_t *r, int status, const mt_header_t *h, size_t n) {
  if (r->begun) return;
  r->begun = true;
  r->req->res.status = status;
  r->req->res.reason = status < 400 ? "OK" : "Refused";
  for (size_t i = 0; i < n; i++) {
    h2o_iovec_t name = h2o_strdup(&r->req->pool, h[i].name, SIZE_MAX);
    h2o_iovec_t value = h2o_strdup(&r->req->pool, h[i].value, SIZE_MAX);
    h2o_add_header_by_str(&r->req->pool, &r->req->res.headers, name.base,
                          name.len, 1, NULL, value.base, value.len);
  }
  h2o_start_response(r->req, &r->generator);
}

void mtB_length (mt_webreq_t *r, size_t n) {
  r->req->res.content_length = n;
}

void mtB_write (mt_webreq_t *r, const char *p, size_t n) {
  if (r->ending || r->ended || n == 0) return;
  append(r, p, n);
  flush(r);
}

void mtB_end (mt_webreq_t *r) {
  if (r->ended || r->ending) return;
  r->ending = true;
  r->ud = NULL;
  flush(r);
}

void mtB_abort (mt_webreq_t *r) {
  if (r->ended || r->ending) return;
  if (!r->begun) {
    h2o_socket_t *sock = r->req->conn->callbacks->get_socket(r->req->conn);
    if (sock != NULL) shutdown(h2o_socket_get_fd(sock), SHUT_RDWR);
    mtB_begin(r, ABORTED, NULL, 0);
  }
  r->aborted = true;
  r->ud = NULL;
  r->req->http1_is_persistent = 0;
  flush(r);
}

void mtB_reply (mt_webreq_t *r, int status, const mt_header_t *h, size_t n,
                const char *body, size_t size) {
  r->req->res.content_length = size;
  mtB_begin(r, status, h, n);
  append(r, body, size);
  mtB_end(r);
}

size_t mtB_backlog (const mt_webreq_t *r) {
  return r->npending + r->nsending;
}

/* }== */

/* {== Receiving ======================================================== */

static void ondispose (void *p) {
  mt_webreq_t *r = p;
  void *ud = r->ud;
  r->ud = NULL;
  r->ended = true;
  if (r->gone && ud) r->gone(ud, r);
  free(r->pending);
  free(r->sending);
}

static int onrequest (h2o_handler_t *self, h2o_req_t *req) {
  mt_web_t *web = ((handler_t *)self)->web;
  mt_webreq_t *r = h2o_mem_alloc_shared(&req->pool, sizeof *r, ondispose);
  memset(r, 0, sizeof *r);
  r->generator.proceed = onproceed;
  r->generator.stop = onstop;
  r->req = req;
  web->fn(web->ud, r);
  return 0;
}

static void onclosed (uv_handle_t *h) {
  free(h);
}

static void onconnection (uv_stream_t *listener, int status) {
  mt_web_t *web = listener->data;
  if (status != 0) return;
  uv_tcp_t *conn = mtV_new(sizeof *conn);
  uv_tcp_init(listener->loop, conn);
  if (uv_accept(listener, (uv_stream_t *)conn) != 0) {
    uv_close((uv_handle_t *)conn, onclosed);
    return;
  }
  uv_tcp_nodelay(conn, 1);
  h2o_socket_t *sock = h2o_uv_socket_create((uv_stream_t *)conn, onclosed);
  h2o_accept(&web->accept, sock);
}

static mt_bytes_t bytes (h2o_iovec_t v) {
  return (mt_bytes_t){v.base, v.len};
}

mt_bytes_t mtB_method (const mt_webreq_t *r) {
  return bytes(r->req->method);
}

mt_bytes_t mtB_path (const mt_webreq_t *r) {
  mt_bytes_t p = bytes(r->req->path);
  if (r->req->query_at != SIZE_MAX) p.n = r->req->query_at;
  return p;
}

mt_bytes_t mtB_query (const mt_webreq_t *r) {
  mt_bytes_t p = bytes(r->req->path);
  if (r->req->query_at == SIZE_MAX) return (mt_bytes_t){"", 0};
  return (mt_bytes_t){p.p + r->req->query_at + 1, p.n - r->req->query_at - 1};
}

mt_bytes_t mtB_body (const mt_webreq_t *r) {
  return bytes(r->req->entity);
}

mt_bytes_t mtB_header (const mt_webreq_t *r, const char *name) {
  const h2o_headers_t *hs = &r->req->headers;
  size_t n = strlen(name);
  for (size_t i = 0; i < hs->size; i++) {
    const h2o_header_t *h = &hs->entries[i];
    if (h->name->len == n && memcmp(h->name->base, name, n) == 0)
      return bytes(h->value);
  }
  return (mt_bytes_t){"", 0};
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

void mtB_watch (mt_webreq_t *r, void *ud, mt_webgone_t gone,
                mt_webdrained_t drained) {
  r->ud = ud;
  r->gone = gone;
  r->drained = drained;
}

bool mtB_left (const mt_webreq_t *r) {
  h2o_socket_t *sock = r->req->conn->callbacks->get_socket(r->req->conn);
  if (sock == NULL) return false;
  char c;
  int fd = h2o_socket_get_fd(sock);
  return fd >= 0 && recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/* }== */

/* {== Listener ========================================================= */

uint16_t mtB_port (const mt_web_t *web) {
  return web->port;
}

static int listenon (mt_web_t *web, uv_loop_t *loop, const char *ip,
                     uint16_t port) {
  struct sockaddr_in a;
  int len = sizeof a;
  uv_tcp_init(loop, &web->listener);
  web->listener.data = web;
  int rc = uv_ip4_addr(ip, port, &a);
  if (rc == 0) rc = uv_tcp_bind(&web->listener, (struct sockaddr *)&a, 0);
  if (rc == 0)
    rc = uv_listen((uv_stream_t *)&web->listener, BACKLOG, onconnection);
  if (rc == 0)
    rc = uv_tcp_getsockname(&web->listener, (struct sockaddr *)&a, &len);
  web->port = ntohs(a.sin_port);
  return rc;
}

mt_web_t *mtB_open (uv_loop_t *loop, const char *ip, uint16_t port,
                    mt_webfn_t fn, void *ud, char *reason, size_t size) {
  mt_web_t *web = mtV_new(sizeof *web);
  web->fn = fn;
  web->ud = ud;
  int rc = listenon(web, loop, ip, port);
  if (rc != 0) {
    snprintf(reason, size, "cannot listen on %s:%u: %s", ip, port,
             uv_strerror(rc));
    return NULL; /* the handle still belongs to the loop, which now ends */
  }
  h2o_config_init(&web->config);
  web->config.server_name = h2o_iovec_init(H2O_STRLIT("martentiller"));
  web->config.max_request_entity_size = 4 * (size_t)MT_BODY_MAX;
  web->config.http1.req_timeout = IDLE_MS;
  h2o_hostconf_t *host = h2o_config_register_host(
      &web->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
  h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
  handler_t *h = (handler_t *)h2o_create_handler(path, sizeof *h);
  h->super.on_req = onrequest;
  h->web = web;
  h2o_context_init(&web->ctx, loop, &web->config);
  web->accept.ctx = &web->ctx;
  web->accept.hosts = web->config.hosts;
  return web;
}

void mtB_close (mt_web_t *web) {
  if (!uv_is_closing((uv_handle_t *)&web->listener))
    uv_close((uv_handle_t *)&web->listener, NULL);
}

/* }== */
