/*
** siproxy.c - a TCP proxy that injects faults, set over HTTP
*/
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mtset.h"
#include "standin.h"

#define READ_BUFFER_BYTES 65536

typedef enum faultmode_t {
  PASS,
  CUT,       /* closes connections, also new ones */
  BLACKHOLE, /* stops reading in both directions */
  HALFOPEN,  /* the same; new connections never reach the upstream */
  BLOCK_UP,  /* stops reading from clients */
  BLOCK_DOWN /* stops reading from the upstream */
} faultmode_t;

static const char *const modes[] = {"pass",     "cut", "blackhole",
                                    "halfopen", "up",  "down"};

/* A loopback port whose connections go to one upstream address. */
typedef struct link_t {
  uv_tcp_t listener;
  uv_loop_t *loop;
  struct sockaddr_in to; /* the upstream */
  uint16_t port;
  faultmode_t mode;
  long delay; /* of each chunk, ms */
  struct conn_t *conns;
} link_t;

/* One end of a proxied connection. */
typedef struct endpoint_t {
  uv_tcp_t tcp;
  struct conn_t *conn;
  bool from_client; /* bytes read here go to the upstream */
  bool reading;
} endpoint_t;

/* A connection from a client and its connection to the upstream. */
typedef struct conn_t {
  link_t *link;
  endpoint_t client, upstream;
  uv_connect_t connect;
  bool connected, closing;
  int refs; /* open ends and chunks on their way */
  struct conn_t *next;
} conn_t;

/* Bytes to be written to the other end after the link's delay. */
typedef struct chunk_t {
  uv_timer_t timer;
  uv_write_t write;
  conn_t *conn;
  endpoint_t *to;
  char *bytes;
  size_t n; /* 0: the end of the stream */
} chunk_t;

typedef struct proxy_t {
  uv_loop_t *loop;
  mt_map_t links; /* port -> link_t */
} proxy_t;

static void onread (uv_stream_t *s, ssize_t n, const uv_buf_t *buf);

/* {== Connections ====================================================== */

static void unref (conn_t *p) {
  if (--p->refs > 0) return;
  for (conn_t **at = &p->link->conns; *at; at = &(*at)->next) {
    if (*at != p) continue;
    *at = p->next;
    break;
  }
  free(p);
}

static void onendpointclosed (uv_handle_t *h) {
  unref(((endpoint_t *)h->data)->conn);
}

static void close_conn (conn_t *p) {
  if (p->closing) return;
  p->closing = true;
  uv_close((uv_handle_t *)&p->client.tcp, onendpointclosed);
  uv_close((uv_handle_t *)&p->upstream.tcp, onendpointclosed);
}

/* True when the link's mode stops what this end sends. */
static bool blocked (const endpoint_t *s) {
  switch (s->conn->link->mode) {
    case BLACKHOLE:
    case HALFOPEN: return true;
    case BLOCK_UP: return s->from_client;
    case BLOCK_DOWN: return !s->from_client;
    case PASS:
    case CUT: break;
  }
  return false;
}

static void onalloc (uv_handle_t *h, size_t size, uv_buf_t *buf) {
  (void)h;
  (void)size;
  *buf = uv_buf_init(mtV_new(READ_BUFFER_BYTES), READ_BUFFER_BYTES);
}

/* Starts or stops reading an end, by the mode of its link. */
static void update_reading (endpoint_t *s) {
  bool want = s->conn->connected && !s->conn->closing && !blocked(s);
  if (want && !s->reading)
    uv_read_start((uv_stream_t *)&s->tcp, onalloc, onread);
  if (!want && s->reading) uv_read_stop((uv_stream_t *)&s->tcp);
  s->reading = want;
}

static void onchunkclosed (uv_handle_t *h) {
  chunk_t *k = h->data;
  free(k->bytes);
  free(k);
}

static void onchunkwritten (uv_write_t *w, int status) {
  chunk_t *k = w->data;
  if (status != 0 && status != UV_ECANCELED) close_conn(k->conn);
  unref(k->conn);
  uv_close((uv_handle_t *)&k->timer, onchunkclosed);
}

static void onchunkdue (uv_timer_t *t) {
  chunk_t *k = t->data;
  uv_buf_t buf = uv_buf_init(k->bytes, (unsigned)k->n);
  k->write.data = k;
  if (k->n == 0) close_conn(k->conn); /* the other end was closed */
  bool gone = k->conn->closing;
  if (!gone && uv_write(&k->write, (uv_stream_t *)&k->to->tcp, &buf, 1,
                        onchunkwritten) == 0)
    return;
  onchunkwritten(&k->write, UV_ECANCELED);
}

static void onread (uv_stream_t *s, ssize_t n, const uv_buf_t *buf) {
  endpoint_t *side = s->data;
  conn_t *p = side->conn;
  if (n == 0) {
    free(buf->base);
    return;
  }
  if (n < 0) uv_read_stop(s);
  chunk_t *k = mtV_new(sizeof *k);
  k->conn = p;
  k->to = side->from_client ? &p->upstream : &p->client;
  k->bytes = buf->base;
  k->n = n > 0 ? (size_t)n : 0;
  k->write.data = k;
  p->refs++;
  uv_timer_init(p->link->loop, &k->timer);
  k->timer.data = k;
  uv_timer_start(&k->timer, onchunkdue, (uint64_t)p->link->delay, 0);
}

static void onconnected (uv_connect_t *c, int status) {
  conn_t *p = c->data;
  if (p->closing) return;
  if (status != 0) {
    close_conn(p);
    return;
  }
  p->connected = true;
  uv_tcp_nodelay(&p->client.tcp, 1);
  uv_tcp_nodelay(&p->upstream.tcp, 1);
  update_reading(&p->client);
  update_reading(&p->upstream);
}

static void init_endpoint (conn_t *p, endpoint_t *s, bool from_client) {
  s->conn = p;
  s->from_client = from_client;
  uv_tcp_init(p->link->loop, &s->tcp);
  s->tcp.data = s;
}

static void onincoming (uv_stream_t *listener, int status) {
  link_t *l = listener->data;
  if (status != 0) return;
  conn_t *p = mtV_new(sizeof *p);
  p->link = l;
  p->refs = 2;
  init_endpoint(p, &p->client, true);
  init_endpoint(p, &p->upstream, false);
  p->next = l->conns;
  l->conns = p;
  p->connect.data = p;
  if (uv_accept(listener, (uv_stream_t *)&p->client.tcp) != 0 ||
      l->mode == CUT) {
    close_conn(p);
    return;
  }
  if (l->mode == HALFOPEN) return;
  if (uv_tcp_connect(&p->connect, &p->upstream.tcp, (struct sockaddr *)&l->to,
                     onconnected) != 0)
    close_conn(p);
}

/* }== */

/* {== Commands ========================================================= */

static void add_link (proxy_t *x, mt_webreq_t *r) {
  char to[80], text[64];
  mt_addr_t a;
  if (!mtB_param(r, "to", to, sizeof to) || !mtJ_address(to, a.ip, &a.port)) {
    si_reply(r, 400, "text/plain", "to=IP:PORT is missing");
    return;
  }
  link_t *l = mtV_new(sizeof *l);
  struct sockaddr_in here;
  int len = sizeof here;
  l->loop = x->loop;
  l->delay = si_query_int(r, "delay", 0);
  uv_ip4_addr(a.ip, a.port, &l->to);
  uv_ip4_addr("127.0.0.1", 0, &here);
  uv_tcp_init(x->loop, &l->listener);
  l->listener.data = l;
  uv_tcp_bind(&l->listener, (struct sockaddr *)&here, 0);
  uv_listen((uv_stream_t *)&l->listener, 256, onincoming);
  uv_tcp_getsockname(&l->listener, (struct sockaddr *)&here, &len);
  l->port = ntohs(here.sin_port);
  mtV_put(&x->links, l->port, l);
  snprintf(text, sizeof text, "{\"port\": %u}", l->port);
  si_reply(r, 200, "application/json", text);
}

static void set_link (link_t *l, faultmode_t mode, long delay) {
  l->mode = mode;
  l->delay = delay;
  for (conn_t *p = l->conns, *next; p != NULL; p = next) {
    next = p->next;
    if (mode == CUT) {
      close_conn(p);
    } else if (!p->closing) {
      update_reading(&p->client);
      update_reading(&p->upstream);
    }
  }
}

static void handle_set (proxy_t *x, mt_webreq_t *r) {
  char name[16] = "pass";
  mtB_param(r, "mode", name, sizeof name);
  link_t *l = mtV_get(&x->links, (uint64_t)si_query_int(r, "port", 0));
  int mode = 0;
  while (mode < (int)mt_countof(modes) && strcmp(modes[mode], name) != 0)
    mode++;
  if (l == NULL || mode == (int)mt_countof(modes)) {
    si_reply(r, 400, "text/plain", "no such port or mode");
    return;
  }
  set_link(l, (faultmode_t)mode, si_query_int(r, "delay", l->delay));
  si_reply(r, 200, "text/plain", "ok");
}

static void handle (void *ud, mt_webreq_t *r) {
  if (mtB_is(r, "POST", "/link"))
    add_link(ud, r);
  else if (mtB_is(r, "POST", "/set"))
    handle_set(ud, r);
  else
    si_reply(r, 404, "text/plain", "no such page");
}

/* }== */

int si_proxy (int argc, char **argv, uv_loop_t *loop) {
  proxy_t *x = mtV_new(sizeof *x);
  x->loop = loop;
  mt_web_t *web = si_listen(
      loop, (uint16_t)si_option_int(argc, argv, "--port", 0), handle, x);
  printf("{\"url\": \"http://127.0.0.1:%u\"}\n", mtB_port(web));
  return 0;
}
