/*
** siproxy.c - a TCP proxy that injects faults on command
*/
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mtset.h"
#include "standin.h"

#define CHUNK 65536

typedef enum faultmode_t {
  PASS,
  CUT,
  BLACKHOLE,
  HALFOPEN,
  UP,
  DOWN
} faultmode_t;

static const char *const modes[] = {"pass",     "cut", "blackhole",
                                    "halfopen", "up",  "down"};

typedef struct link_t {
  uv_tcp_t listener;
  uv_loop_t *loop;
  struct sockaddr_in to;
  uint16_t port;
  faultmode_t mode;
  long delay;
  struct pipe_t *pipes;
} link_t;

/* One side of a connection. */
typedef struct side_t {
  uv_tcp_t tcp;
  struct pipe_t *pipe;
  bool up; /* bytes read here go towards the target */
  bool reading;
} side_t;

typedef struct pipe_t {
  link_t *link;
  side_t near, far;
  uv_connect_t connect;
  bool connected, closing;
  int open;
  struct pipe_t *next;
} pipe_t;

/* Bytes on their way to the other side. */
typedef struct parcel_t {
  uv_timer_t timer;
  uv_write_t write;
  pipe_t *pipe;
  side_t *to;
  char *bytes;
  size_t n;
} parcel_t;

typedef struct proxy_t {
  uv_loop_t *loop;
  mt_map_t links; /* port -> link_t */
} proxy_t;

static void onread (uv_stream_t *s, ssize_t n, const uv_buf_t *buf);

/* {== Pipes ============================================================ */

static void release (pipe_t *p) {
  if (--p->open > 0) return;
  for (pipe_t **at = &p->link->pipes; *at; at = &(*at)->next) {
    if (*at != p) continue;
    *at = p->next;
    break;
  }
  free(p);
}

static void onsideclosed (uv_handle_t *h) {
  release(((side_t *)h->data)->pipe);
}

static void closepipe (pipe_t *p) {
  if (p->closing) return;
  p->closing = true;
  uv_close((uv_handle_t *)&p->near.tcp, onsideclosed);
  uv_close((uv_handle_t *)&p->far.tcp, onsideclosed);
}

static bool blocked (const side_t *s) {
  switch (s->pipe->link->mode) {
    case BLACKHOLE:
    case HALFOPEN: return true;
    case UP: return s->up;
    case DOWN: return !s->up;
    case PASS:
    case CUT: break;
  }
  return false;
}

static void onalloc (uv_handle_t *h, size_t size, uv_buf_t *buf) {
  (void)h;
  (void)size;
  *buf = uv_buf_init(mtV_new(CHUNK), CHUNK);
}

/* Reads a side unless its link swallows what comes from there. */
static void regulate (side_t *s) {
  bool want = s->pipe->connected && !s->pipe->closing && !blocked(s);
  if (want && !s->reading)
    uv_read_start((uv_stream_t *)&s->tcp, onalloc, onread);
  if (!want && s->reading) uv_read_stop((uv_stream_t *)&s->tcp);
  s->reading = want;
}

static void onparcelclosed (uv_handle_t *h) {
  parcel_t *k = h->data;
  free(k->bytes);
  free(k);
}

static void onparcelwritten (uv_write_t *w, int status) {
  parcel_t *k = w->data;
  if (status != 0 && status != UV_ECANCELED) closepipe(k->pipe);
  release(k->pipe);
  uv_close((uv_handle_t *)&k->timer, onparcelclosed);
}

static void ondue (uv_timer_t *t) {
  parcel_t *k = t->data;
  uv_buf_t buf = uv_buf_init(k->bytes, (unsigned)k->n);
  k->write.data = k;
  if (k->n == 0) closepipe(k->pipe); /* the end of this side */
  bool gone = k->pipe->closing;
  if (!gone && uv_write(&k->write, (uv_stream_t *)&k->to->tcp, &buf, 1,
                        onparcelwritten) == 0)
    return;
  onparcelwritten(&k->write, UV_ECANCELED);
}

static void onread (uv_stream_t *s, ssize_t n, const uv_buf_t *buf) {
  side_t *side = s->data;
  pipe_t *p = side->pipe;
  if (n == 0) {
    free(buf->base);
    return;
  }
  if (n < 0) uv_read_stop(s);
  parcel_t *k = mtV_new(sizeof *k);
  k->pipe = p;
  k->to = side->up ? &p->far : &p->near;
  k->bytes = buf->base;
  k->n = n > 0 ? (size_t)n : 0;
  k->write.data = k;
  p->open++;
  uv_timer_init(p->link->loop, &k->timer);
  k->timer.data = k;
  uv_timer_start(&k->timer, ondue, (uint64_t)p->link->delay, 0);
}

static void onconnected (uv_connect_t *c, int status) {
  pipe_t *p = c->data;
  if (p->closing) return;
  if (status != 0) {
    closepipe(p);
    return;
  }
  p->connected = true;
  uv_tcp_nodelay(&p->near.tcp, 1);
  uv_tcp_nodelay(&p->far.tcp, 1);
  regulate(&p->near);
  regulate(&p->far);
}

static void initside (pipe_t *p, side_t *s, bool up) {
  s->pipe = p;
  s->up = up;
  uv_tcp_init(p->link->loop, &s->tcp);
  s->tcp.data = s;
}

static void onincoming (uv_stream_t *listener, int status) {
  link_t *l = listener->data;
  if (status != 0) return;
  pipe_t *p = mtV_new(sizeof *p);
  p->link = l;
  p->open = 2;
  initside(p, &p->near, true);
  initside(p, &p->far, false);
  p->next = l->pipes;
  l->pipes = p;
  p->connect.data = p;
  if (uv_accept(listener, (uv_stream_t *)&p->near.tcp) != 0 ||
      l->mode == CUT) {
    closepipe(p);
    return;
  }
  if (l->mode == HALFOPEN) return;
  if (uv_tcp_connect(&p->connect, &p->far.tcp, (struct sockaddr *)&l->to,
                     onconnected) != 0)
    closepipe(p);
}

/* }== */

/* {== Commands ========================================================= */

static void addlink (proxy_t *x, mt_webreq_t *r) {
  char to[80], text[64];
  mt_addr_t a;
  if (!mtB_param(r, "to", to, sizeof to) || !mtJ_address(to, a.ip, &a.port)) {
    si_text(r, 400, "text/plain", "to=IP:PORT is missing");
    return;
  }
  link_t *l = mtV_new(sizeof *l);
  struct sockaddr_in here;
  int len = sizeof here;
  l->loop = x->loop;
  l->delay = si_param(r, "delay", 0);
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
  si_text(r, 200, "application/json", text);
}

static void setlink (link_t *l, faultmode_t mode, long delay) {
  l->mode = mode;
  l->delay = delay;
  for (pipe_t *p = l->pipes, *next; p != NULL; p = next) {
    next = p->next;
    if (mode == CUT) {
      closepipe(p);
    } else if (!p->closing) {
      regulate(&p->near);
      regulate(&p->far);
    }
  }
}

static void set (proxy_t *x, mt_webreq_t *r) {
  char name[16] = "pass";
  mtB_param(r, "mode", name, sizeof name);
  link_t *l = mtV_get(&x->links, (uint64_t)si_param(r, "port", 0));
  int mode = 0;
  while (mode < (int)mt_countof(modes) && strcmp(modes[mode], name) != 0)
    mode++;
  if (l == NULL || mode == (int)mt_countof(modes)) {
    si_text(r, 400, "text/plain", "no such port or mode");
    return;
  }
  setlink(l, (faultmode_t)mode, si_param(r, "delay", l->delay));
  si_text(r, 200, "text/plain", "ok");
}

static void handle (void *ud, mt_webreq_t *r) {
  if (mtB_is(r, "POST", "/link"))
    addlink(ud, r);
  else if (mtB_is(r, "POST", "/set"))
    set(ud, r);
  else
    si_text(r, 404, "text/plain", "no such page");
}

/* }== */

int si_proxy (int argc, char **argv, uv_loop_t *loop) {
  proxy_t *x = mtV_new(sizeof *x);
  x->loop = loop;
  mt_web_t *web = si_listen(
      loop, (uint16_t)si_number(argc, argv, "--port", 0), handle, x);
  printf("{\"url\": \"http://127.0.0.1:%u\"}\n", mtB_port(web));
  return 0;
}
