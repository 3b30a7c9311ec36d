/*
** mtpeer.c - authenticated frames between routers over TCP
*/
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mtcrypt.h"
#include "mtlog.h"
#include "mtmem.h"
#include "mtpeer.h"

#define LENGTH_BYTES 4       /* size of the length field of a frame */
#define QUEUE_MAX (4u << 20) /* bytes queued for one router */
#define IDLE_MS 60000        /* then an unused connection is closed */
#define SWEEP_MS 1000        /* period of the idle check */
/* TCP_USER_TIMEOUT: a connection with data unacknowledged so long is dead. */
#define ACK_TIMEOUT_MS 3000
#define LISTEN_BACKLOG 256
#define READ_BYTES 65536

typedef struct mt_outbound_t mt_outbound_t;
typedef struct mt_inbound_t mt_inbound_t;

struct mt_peers_t {
  uv_loop_t *loop;
  uv_tcp_t listener;
  uv_timer_t sweep;
  mt_counts_t *counts;
  mt_peerfn_t fn;
  void *ud;
  unsigned char keys[MT_PEER_KEYS_MAX][MT_PEER_KEY_BYTES];
  size_t nkeys;
  const mt_node_t *self;
  uint16_t port;
  mt_map_t outbound; /* address -> mt_outbound_t */
  bool closing;
};

/* A connection to another router. */
struct mt_outbound_t {
  uv_tcp_t tcp;
  uv_connect_t connect;
  mt_peers_t *N;
  uint64_t key;
  unsigned char nonce[MT_NONCE_BYTES];
  size_t nnonce;
  uint64_t counter; /* number of the next frame */
  char *queue; /* messages until the challenge arrives, with their lengths */
  size_t nqueue, queue_cap;
  mt_ms_t last_used, opened;
  bool ready, closing; /* ready: the challenge has arrived */
};

/* A connection from another router. */
struct mt_inbound_t {
  uv_tcp_t tcp;
  mt_peers_t *N;
  unsigned char nonce[MT_NONCE_BYTES];
  uint64_t counter;
  int key;      /* index of the key of its first frame, -1 until then */
  mt_id_t from; /* sender, 0 until its first frame */
  char *buf;
  size_t n, cap;
};

typedef struct write_t {
  uv_write_t req;
  char *bytes;
} write_t;

/* {== Writing ========================================================== */

static void onwritten (uv_write_t *req, int status) {
  (void)status;
  write_t *w = (write_t *)req;
  free(w->bytes);
  free(w);
}

static void writebytes (uv_stream_t *to, char *bytes, size_t n) {
  write_t *w = mtV_new(sizeof *w);
  w->bytes = bytes;
  uv_buf_t buf = uv_buf_init(bytes, (unsigned)n);
  if (uv_write(&w->req, to, &buf, 1, onwritten) != 0) onwritten(&w->req, 0);
}

static void putlength (char *p, size_t n) {
  for (int i = 0; i < LENGTH_BYTES; i++)
    p[i] = (char)(n >> (8 * (LENGTH_BYTES - 1 - i)));
}

static size_t getlength (const char *p) {
  size_t n = 0;
  for (int i = 0; i < LENGTH_BYTES; i++) n = n << 8 | (unsigned char)p[i];
  return n;
}

/* Frame: length of the rest, MAC, message. */
static void writeframe (mt_outbound_t *o, const char *bytes, size_t n) {
  char *frame = mtV_new(LENGTH_BYTES + MT_MAC_BYTES + n);
  putlength(frame, MT_MAC_BYTES + n);
  mtH_mac(o->N->keys[0], o->nonce, o->counter++, bytes, n,
          (unsigned char *)frame + LENGTH_BYTES);
  memcpy(frame + LENGTH_BYTES + MT_MAC_BYTES, bytes, n);
  writebytes((uv_stream_t *)&o->tcp, frame, LENGTH_BYTES + MT_MAC_BYTES + n);
}

/* }== */

/* {== Outbound connections ============================================= */

static void onoutclosed (uv_handle_t *h) {
  mt_outbound_t *o = h->data;
  free(o->queue);
  free(o);
}

static void closeout (mt_outbound_t *o) {
  if (o->closing) return;
  o->closing = true;
  if (mtV_get(&o->N->outbound, o->key) == o) mtV_del(&o->N->outbound, o->key);
  uv_close((uv_handle_t *)&o->tcp, onoutclosed);
}

static void sendhello (mt_outbound_t *o) {
  mt_msg_t m = {.kind = MT_M_HELLO};
  m.u.hello = *o->N->self;
  char *bytes;
  size_t n = mtW_pack(&m, &bytes);
  writeframe(o, bytes, n);
  free(bytes);
}

static void start_sending (mt_outbound_t *o) {
  o->ready = true;
  sendhello(o);
  for (size_t at = 0; at < o->nqueue;) {
    size_t n = getlength(o->queue + at);
    writeframe(o, o->queue + at + LENGTH_BYTES, n);
    at += LENGTH_BYTES + n;
  }
  o->nqueue = 0;
}

static void onalloc (uv_handle_t *h, size_t size, uv_buf_t *buf) {
  (void)h;
  (void)size;
  *buf = uv_buf_init(mtV_new(READ_BYTES), READ_BYTES);
}

static void onchallenge (uv_stream_t *s, ssize_t n, const uv_buf_t *buf) {
  mt_outbound_t *o = s->data;
  if (n < 0) closeout(o);
  for (ssize_t i = 0; i < n && !o->ready; i++) {
    o->nonce[o->nnonce++] = (unsigned char)buf->base[i];
    if (o->nnonce == MT_NONCE_BYTES) start_sending(o);
  }
  free(buf->base);
}

static void onconnected (uv_connect_t *req, int status) {
  mt_outbound_t *o = req->data;
  if (o->closing) return;
  if (status != 0) {
    closeout(o);
    return;
  }
  uv_tcp_nodelay(&o->tcp, 1);
  unsigned unacked = ACK_TIMEOUT_MS;
  uv_os_fd_t fd;
  if (uv_fileno((uv_handle_t *)&o->tcp, &fd) == 0)
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked, sizeof unacked);
  uv_read_start((uv_stream_t *)&o->tcp, onalloc, onchallenge);
}

static mt_outbound_t *openout (mt_peers_t *N, const mt_addr_t *to,
                               uint64_t key) {
  struct sockaddr_in a;
  if (uv_ip4_addr(to->ip, to->port, &a) != 0) return NULL;
  mt_outbound_t *o = mtV_new(sizeof *o);
  o->N = N;
  o->key = key;
  o->opened = uv_now(N->loop);
  uv_tcp_init(N->loop, &o->tcp);
  o->tcp.data = o;
  o->connect.data = o;
  mtV_put(&N->outbound, key, o);
  if (uv_tcp_connect(&o->connect, &o->tcp, (struct sockaddr *)&a,
                     onconnected) == 0)
    return o;
  closeout(o);
  return NULL;
}

static void enqueue (mt_outbound_t *o, const char *bytes, size_t n) {
  if (o->nqueue + LENGTH_BYTES + n > QUEUE_MAX) {
    closeout(o);
    return;
  }
  if (o->nqueue + LENGTH_BYTES + n > o->queue_cap) {
    size_t cap = mt_max(o->queue_cap * 2, o->nqueue + LENGTH_BYTES + n);
    char *q = realloc(o->queue, cap);
    if (q == NULL) abort();
    o->queue = q;
    o->queue_cap = cap;
  }
  putlength(o->queue + o->nqueue, n);
  memcpy(o->queue + o->nqueue + LENGTH_BYTES, bytes, n);
  o->nqueue += LENGTH_BYTES + n;
}

void mtN_send (mt_peers_t *N, const mt_addr_t *to, const char *bytes,
               size_t n) {
  char text[80];
  int len = snprintf(text, sizeof text, "%s:%u", to->ip, to->port);
  uint64_t key = mtV_hash(text, (size_t)len) | 1;
  mt_outbound_t *o = mtV_get(&N->outbound, key);
  if (o == NULL) o = openout(N, to, key);
  if (o == NULL) return;
  o->last_used = uv_now(N->loop);
  if (n == 0) return;
  if (!o->ready) {
    enqueue(o, bytes, n);
  } else if (uv_stream_get_write_queue_size((uv_stream_t *)&o->tcp) >
             QUEUE_MAX) {
    closeout(o);
  } else {
    writeframe(o, bytes, n);
  }
}

/* }== */

/* {== Inbound connections ============================================== */

static void oninclosed (uv_handle_t *h) {
  mt_inbound_t *in = h->data;
  free(in->buf);
  free(in);
}

static void closein (mt_inbound_t *in) {
  if (!uv_is_closing((uv_handle_t *)&in->tcp))
    uv_close((uv_handle_t *)&in->tcp, oninclosed);
}

/*
** Verifies a frame's MAC. The first frame may be signed with any of the keys;
** later ones must use the same.
*/
static bool authenticate (mt_inbound_t *in, const char *frame, size_t n) {
  unsigned char mac[MT_MAC_BYTES];
  mt_peers_t *N = in->N;
  for (int k = 0; k < (int)N->nkeys; k++) {
    if (in->key >= 0 && in->key != k) continue;
    mtH_mac(N->keys[k], in->nonce, in->counter, frame + MT_MAC_BYTES,
            n - MT_MAC_BYTES, mac);
    if (!mtH_equal(mac, frame, MT_MAC_BYTES)) continue;
    in->key = k;
    in->counter++;
    return true;
  }
  return false;
}

static bool handleframe (mt_inbound_t *in, const char *frame, size_t n) {
  mt_peers_t *N = in->N;
  if (n < MT_MAC_BYTES || !authenticate(in, frame, n)) {
    mtA_inc(N->counts, MT_C_PEER_BAD_MAC);
    mtL_log(MT_WARN, MT_L_PEER,
            "closing connection: peer frame with a wrong MAC");
    return false;
  }
  mt_msg_t m;
  mt_msgerr_t err = mtW_unpack(frame + MT_MAC_BYTES, n - MT_MAC_BYTES, &m);
  bool first = err == MT_MSG_OK && in->from == 0;
  if (first && m.kind != MT_M_HELLO) err = MT_MSG_KIND;
  if (err != MT_MSG_OK) {
    mtA_inc(N->counts, MT_C_PEER_BAD_FRAME);
    mtL_log(MT_WARN, MT_L_PEER, "closing connection: peer frame rejected: %s",
            mtW_error(err));
    mtW_clear(&m);
    return false;
  }
  if (first) in->from = mtV_id(m.u.hello.name, strlen(m.u.hello.name));
  N->fn(N->ud, in->from, &m);
  mtW_clear(&m);
  return true;
}

static bool handlebytes (mt_inbound_t *in) {
  size_t at = 0;
  bool ok = true;
  while (ok && in->n - at >= LENGTH_BYTES) {
    size_t n = getlength(in->buf + at);
    if (n > MT_FRAME_MAX) {
      mtA_inc(in->N->counts, MT_C_PEER_BAD_FRAME);
      return false;
    }
    if (in->n - at < LENGTH_BYTES + n) break;
    ok = handleframe(in, in->buf + at + LENGTH_BYTES, n);
    at += LENGTH_BYTES + n;
  }
  if (at > 0) memmove(in->buf, in->buf + at, in->n - at);
  in->n -= at;
  return ok;
}

static void onframes (uv_stream_t *s, ssize_t n, const uv_buf_t *buf) {
  mt_inbound_t *in = s->data;
  bool ok = n >= 0;
  if (n > 0) {
    if (in->n + (size_t)n > in->cap) {
      in->cap = mt_max(in->cap * 2, in->n + (size_t)n);
      char *p = realloc(in->buf, in->cap);
      if (p == NULL) abort();
      in->buf = p;
    }
    memcpy(in->buf + in->n, buf->base, (size_t)n);
    in->n += (size_t)n;
    ok = handlebytes(in);
  }
  free(buf->base);
  if (!ok) closein(in);
}

static void onincoming (uv_stream_t *listener, int status) {
  mt_peers_t *N = listener->data;
  if (status != 0) return;
  mt_inbound_t *in = mtV_new(sizeof *in);
  in->N = N;
  in->key = -1;
  uv_tcp_init(N->loop, &in->tcp);
  in->tcp.data = in;
  if (uv_accept(listener, (uv_stream_t *)&in->tcp) != 0) {
    closein(in);
    return;
  }
  mtH_random(in->nonce, MT_NONCE_BYTES);
  char *nonce = mtV_new(MT_NONCE_BYTES);
  memcpy(nonce, in->nonce, MT_NONCE_BYTES);
  writebytes((uv_stream_t *)&in->tcp, nonce, MT_NONCE_BYTES);
  uv_read_start((uv_stream_t *)&in->tcp, onalloc, onframes);
}

/* }== */

/* {== Opening ========================================================== */

static void onsweep (uv_timer_t *t) {
  mt_peers_t *N = t->data;
  mt_ms_t now = uv_now(N->loop);
  mtV_each (&N->outbound, i) {
    mt_outbound_t *o = N->outbound.vals[i];
    bool stuck = !o->ready && now - o->opened > MT_CONNECT_TIMEOUT_MS;
    if (now - o->last_used < IDLE_MS && !stuck) continue;
    closeout(o);
    return;
  }
}

uint16_t mtN_port (const mt_peers_t *N) {
  return N->port;
}

void mtN_set_counts (mt_peers_t *N, mt_counts_t *counts) {
  N->counts = counts;
}

void mtN_set_self (mt_peers_t *N, const mt_node_t *self) {
  N->self = self;
}

void mtN_set_keys (mt_peers_t *N, const mt_settings_t *set) {
  memcpy(N->keys, set->keys, sizeof N->keys);
  N->nkeys = set->nkeys;
}

mt_peers_t *mtN_open (uv_loop_t *loop, const mt_settings_t *set,
                      mt_peerfn_t fn, void *ud, char *reason, size_t size) {
  mt_peers_t *N = mtV_new(sizeof *N);
  N->loop = loop;
  N->fn = fn;
  N->ud = ud;
  mtN_set_keys(N, set);
  struct sockaddr_in a;
  int len = sizeof a;
  uv_tcp_init(loop, &N->listener);
  N->listener.data = N;
  int rc = uv_ip4_addr(set->peers.ip, set->peers.port, &a);
  if (rc == 0) rc = uv_tcp_bind(&N->listener, (struct sockaddr *)&a, 0);
  if (rc == 0)
    rc = uv_listen((uv_stream_t *)&N->listener, LISTEN_BACKLOG, onincoming);
  if (rc == 0)
    rc = uv_tcp_getsockname(&N->listener, (struct sockaddr *)&a, &len);
  if (rc != 0) {
    snprintf(reason, size, "cannot listen on %s:%u: %s", set->peers.ip,
             set->peers.port, uv_strerror(rc));
    return NULL;
  }
  N->port = ntohs(a.sin_port);
  uv_timer_init(loop, &N->sweep);
  N->sweep.data = N;
  uv_timer_start(&N->sweep, onsweep, SWEEP_MS, SWEEP_MS);
  return N;
}

void mtN_close (mt_peers_t *N) {
  N->closing = true;
  uv_timer_stop(&N->sweep);
  uv_close((uv_handle_t *)&N->listener, NULL);
}

/* }== */
