/*
** http_server.c - an HTTP/1.1 server on libuv and http-parser
*/
#include <errno.h>
#include <http_parser.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http_server.h"
#include "mtmem.h"
#include "boot_clock.h"

#define READ_BYTES 65536 /* of the read buffer that all connections share */
/* Beyond, reading stops; where memory is short it stops earlier. */
#define PIPELINED_BYTES_MAX (64u << 10)
#define PIPELINED_BYTES_MIN 4096
#define LISTEN_BACKLOG 511
#define USER_TIMEOUT_MS 10000 /* for unacknowledged data */
#define TARGET_BYTES_MAX 8192 /* of a request target */
#define CLOSE_WAIT_MS 2000    /* for a caller to close its side, too */
#define REST_MIN_MS 300       /* without a request, until a stop closes it */
#define HELD_UP_MS 600  /* between two ticks: the loop has been held up */
#define STALLED_MS 1000 /* without progress: others go before it */
/* Requests that hold no more may use all of the budget. */
#define SMALL_BYTES (16u << 10)
/* Refusing what holds no more makes no room. */
#define LITTLE_BYTES 4096
#define KEPT_BYTES (16u << 10) /* of a buffer, between two requests */
/* Input of all connections in an iteration of the loop, and of one. */
#define TURN_BYTES (1u << 20)
#define TURN_BYTES_MIN 4096
/* Of a connection in the kernel, which the box counts as well: as much as a
   body needs on a long way, and the least where there may be many. */
#define RECEIVE_BUFFER_MAX (64u << 10)
#define RECEIVE_BUFFER_MIN 16384
/* Of the budget, all connections may have 1/4 unread by such buffers; the
   kernel takes twice what it is told. */
#define RECEIVE_FRACTION 8
#define RETRY_AFTER_MIN_MS 500 /* about the time until memory comes free */
#define RETRY_AFTER_SPREAD_MS 500

typedef enum mt_exchange_state_t {
  STATE_IDLE,       /* waiting for a request */
  STATE_READING,    /* part of a request has arrived */
  STATE_HANDLING,   /* the handler has it, no response yet */
  STATE_RESPONDING, /* the head of the response is written */
  STATE_CLOSING     /* the last response is written and the connection is shut
                       down for sending; input is discarded */
} mt_exchange_state_t;

/* A growable byte array. */
typedef struct buffer_t {
  char *p;
  size_t n, cap;
} buffer_t;

/* A connection and the exchange on it: there is at most one at a time. */
struct mt_http_exchange_t {
  uv_tcp_t tcp;
  mt_http_server_t *server;
  mt_http_exchange_t *prev, *next;             /* in the server's list */
  mt_http_exchange_t *dirty_prev, *dirty_next; /* ones with data to write */
  bool dirty, closing, close_after, chunked, no_body, keep_alive, too_large;
  bool fresh;       /* no tick has come since `since`, or it is not idle yet:
                       its caller is still to receive the last response */
  bool counted;     /* in the server's `closes` */
  bool handed_over; /* the handler has the request and has not completed it */
  bool output_lost; /* there was no memory for a part of it */
  bool stopped;     /* no input is read until the response is complete */
  bool has_head;    /* all of the request's head has come */
  bool asked;       /* whether the request is refused whatever its body is */
  bool no_room;     /* for the request in the budget */
  bool discarding;  /* what comes further on the connection is not read */
  mt_exchange_state_t state;
  mt_http_server_limits_t limits; /* the widest since the last response */
  http_parser parser;
  mt_http_headers_t headers;
  buffer_t target, pipelined, out;
  mt_shared_bytes_t *body; /* NULL: no byte of it has come */
  size_t length;           /* the body's, or else the largest it may have */
  size_t received;         /* bytes of the request */
  size_t writing;          /* bytes passed to libuv and not yet written */
  size_t queued;           /* of these, as of the last tick */
  mt_ms_t blocked_at; /* when some of them were last written, or passed */
  mt_memory_holder_t holder;
  size_t requests_held, responses_held; /* counted in the budget */
  size_t window;    /* its receive buffer, if that is a large one; or 0 */
  size_t unread;    /* bytes in the kernel, as of the last tick */
  uint64_t turn;    /* iteration in which it was last read */
  size_t turn_read; /* bytes that were read of it in that iteration */
  mt_ms_t since; /* when it became STATE_IDLE or STATE_READING, or later: the
                    ages that limits are compared with never exceed the
                    caller's; STATE_CLOSING: when data was last
                    unacknowledged */
  mt_ms_t excused;  /* by how much `since` was moved */
  uint64_t busy_at; /* iteration in which the kernel last held bytes of it */
  void *user;
};

struct mt_http_server_t {
  uv_loop_t *loop;
  uv_tcp_t listener;
  uv_prepare_t flusher;
  mt_http_server_handler_t handler;
  void *ud;
  mt_http_server_limits_t limits;
  /* All connections, in the order in which they last became idle, began to
     receive a request or were shut down; `since` may be equal. */
  mt_http_exchange_t *first, *last;
  mt_http_exchange_t *dirty;
  size_t count, max_connections; /* connections; maximum 0: no limit */
  uint64_t accepted;
  uint64_t iteration; /* of the loop */
  mt_http_closes_t closes;
  mt_ms_t last_tick;
  mt_http_server_guard_t guard;
  mt_memory_budget_t own_budget;
  size_t receive_buffer;        /* of a connection in the kernel */
  size_t unread;                /* as counted in the budget */
  size_t readers, last_readers; /* connections with input in an iteration */
  int spare_fd; /* closed to free a descriptor when none is left; -1: none */
  bool draining;
  char input[READ_BYTES];
};

/* A write that libuv has not finished. */
typedef struct pending_write_t {
  uv_write_t req;
  mt_http_exchange_t *exchange;
  size_t n;
  char *bytes;
} pending_write_t;

static const mt_http_server_limits_t default_limits = {.header_bytes = 16384,
                                                       .body_bytes =
                                                           MT_BODY_MAX,
                                                       .header_ms = 10000,
                                                       .idle_ms = 60000};

/* {== Buffers ========================================================== */

/* False if there is no memory. */
static bool buffer_add (buffer_t *b, const char *p, size_t n) {
  if (n == 0) return true;
  if (b->n + n > b->cap) {
    size_t cap = mt_max(b->cap * 2, (size_t)1024);
    while (cap < b->n + n) cap *= 2;
    char *grown = realloc(b->p, cap);
    if (grown == NULL) return false;
    b->p = grown;
    b->cap = cap;
  }
  memcpy(b->p + b->n, p, n);
  b->n += n;
  return true;
}

static void buffer_free (buffer_t *b) {
  free(b->p);
  *b = (buffer_t){0};
}

/* Empties a buffer; its memory is kept only if it is small. */
static void buffer_reset (buffer_t *b) {
  b->n = 0;
  if (b->cap > KEPT_BYTES) buffer_free(b);
}

/* }== */

/* {== Memory =========================================================== */

static mt_memory_budget_t *budget_of (const mt_http_exchange_t *x) {
  return x->server->guard.budget;
}

/* Adds to the output. Without memory the connection is closed when it is
   written: not within a call of the handler. */
static void add_output (mt_http_exchange_t *x, const char *p, size_t n) {
  if (!buffer_add(&x->out, p, n)) x->output_lost = true;
}

/* Bytes that a connection holds, without the body, which is counted by
   itself. */
static void count_memory (mt_http_exchange_t *x) {
  size_t requests = x->target.cap + x->pipelined.cap + x->window +
                    mt_http_headers_memory(&x->headers);
  mt_memory_set(budget_of(x), MT_MEMORY_REQUESTS, &x->requests_held,
                requests);
  mt_memory_set(budget_of(x), MT_MEMORY_RESPONSES, &x->responses_held,
                x->out.cap + x->writing);
}

static size_t held_bytes (const mt_http_exchange_t *x) {
  return x->requests_held + (x->body != NULL ? x->body->cap : 0);
}

/* Sets what the kernel receives ahead of this process: the window that it
   offers follows from that. */
static void set_receive_buffer (const mt_http_exchange_t *x, size_t size) {
  uv_os_fd_t fd;
  int bytes = (int)size;
  if (uv_fileno((const uv_handle_t *)&x->tcp, &fd) != 0) return;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  setsockopt(fd, IPPROTO_TCP, TCP_WINDOW_CLAMP, &bytes, sizeof bytes);
}

/* A large body gets a large receive buffer if that fits. */
static void widen_window (mt_http_exchange_t *x) {
  if (x->server->receive_buffer >= RECEIVE_BUFFER_MAX) return;
  if (mt_memory_left_for_large(budget_of(x)) < RECEIVE_BUFFER_MAX) return;
  x->window = RECEIVE_BUFFER_MAX;
  set_receive_buffer(x, x->window);
  count_memory(x);
}

static void narrow_window (mt_http_exchange_t *x) {
  if (x->window == 0) return;
  x->window = 0;
  set_receive_buffer(x, x->server->receive_buffer);
}

static void release_body (mt_http_exchange_t *x) {
  mt_shared_bytes_unref(x->body);
  x->body = NULL;
}

/* }== */

/* {== Connections ====================================================== */

static void unlink_connection (mt_http_exchange_t *x) {
  mt_http_server_t *server = x->server;
  if (x->prev)
    x->prev->next = x->next;
  else
    server->first = x->next;
  if (x->next)
    x->next->prev = x->prev;
  else
    server->last = x->prev;
}

static void append_connection (mt_http_exchange_t *x) {
  mt_http_server_t *server = x->server;
  x->prev = server->last;
  x->next = NULL;
  if (x->prev)
    x->prev->next = x;
  else
    server->first = x;
  server->last = x;
}

static void move_to_end (mt_http_exchange_t *x) {
  unlink_connection(x);
  append_connection(x);
}

static void unlink_dirty (mt_http_exchange_t *x) {
  if (!x->dirty) return;
  x->dirty = false;
  if (x->dirty_prev)
    x->dirty_prev->dirty_next = x->dirty_next;
  else
    x->server->dirty = x->dirty_next;
  if (x->dirty_next) x->dirty_next->dirty_prev = x->dirty_prev;
}

static void mark_dirty (mt_http_exchange_t *x) {
  if (x->dirty || x->closing) return;
  x->dirty = true;
  x->dirty_prev = NULL;
  x->dirty_next = x->server->dirty;
  if (x->dirty_next) x->dirty_next->dirty_prev = x;
  x->server->dirty = x;
}

static void on_closed (uv_handle_t *h) {
  mt_http_exchange_t *x = h->data;
  free(x);
}

/* What a connection holds goes back before its handle is closed: the budget
   may be gone by then. */
static void release_memory (mt_http_exchange_t *x) {
  mt_memory_end(budget_of(x), &x->holder);
  release_body(x);
  mt_http_headers_free(&x->headers);
  buffer_free(&x->target);
  buffer_free(&x->pipelined);
  buffer_free(&x->out);
  x->writing = 0;
  x->window = 0;
  count_memory(x);
}

/*
** Sets how the kernel ends the connection when its descriptor is closed: by a
** reset or in order. That holds also if the process is killed.
*/
static void set_reset_on_close (mt_http_exchange_t *x, bool reset) {
  uv_os_fd_t fd;
  const struct linger linger = {.l_onoff = reset, .l_linger = 0};
  if (uv_fileno((uv_handle_t *)&x->tcp, &fd) == 0)
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

/* Bytes of input that have not been read. */
static size_t kernel_bytes (const mt_http_exchange_t *x) {
  uv_os_fd_t fd;
  int bytes = 0;
  if (uv_fileno((const uv_handle_t *)&x->tcp, &fd) != 0 ||
      ioctl(fd, FIONREAD, &bytes) != 0)
    return 0;
  return (size_t)bytes;
}

/* The same, with those that the parser has not had. */
static size_t unread_bytes (const mt_http_exchange_t *x) {
  return x->pipelined.n + kernel_bytes(x);
}

/* Bytes of responses that the caller's kernel has not acknowledged. */
static int unacknowledged_bytes (const mt_http_exchange_t *x) {
  uv_os_fd_t fd;
  int bytes = 0;
  if (uv_fileno((const uv_handle_t *)&x->tcp, &fd) != 0 ||
      ioctl(fd, SIOCOUTQ, &bytes) != 0)
    return 0;
  return bytes;
}

/*
** True if closing the connection loses nothing that its caller has sent or is
** still to receive. Timers run before sockets are read, which decides behind
** a long step of the loop: so the kernel is asked.
*/
static bool is_idle (const mt_http_exchange_t *x) {
  switch (x->state) {
    case STATE_IDLE: return unread_bytes(x) == 0;
    case STATE_CLOSING: return unacknowledged_bytes(x) == 0;
    case STATE_READING:
    case STATE_HANDLING:
    case STATE_RESPONDING: return false;
  }
  return false;
}

/* False where the caller has closed, or was told that its request has not
   run. */
static bool may_lose_input (mt_http_close_t why) {
  return why != MT_HTTP_CLOSE_CALLER && why != MT_HTTP_CLOSE_INVALID &&
         why != MT_HTTP_CLOSE_STALLED && why != MT_HTTP_CLOSE_MEMORY;
}

/* The connection's first reason counts: behind it no request is expected. */
static void count_close (mt_http_exchange_t *x, mt_http_close_t why) {
  mt_http_server_t *server = x->server;
  if (x->counted) return;
  x->counted = true;
  server->closes.total[why]++;
  if (!may_lose_input(why)) return;
  size_t unread = unread_bytes(x);
  if (unread == 0) return;
  server->closes.unread[why]++;
  if (server->handler.lost != NULL)
    server->handler.lost(server->ud, why, unread);
}

/* Closes a connection; calls `gone` if the handler has a request of it. */
static void close_connection (mt_http_exchange_t *x, mt_http_close_t why) {
  if (x->closing) return;
  mt_http_server_t *server = x->server;
  count_close(x, why);
  unlink_dirty(x);
  x->closing = true;
  unlink_connection(x);
  server->count--;
  bool handed_over = x->handed_over;
  x->handed_over = false;
  if (handed_over) server->handler.gone(server->ud, x);
  release_memory(x);
  uv_close((uv_handle_t *)&x->tcp, on_closed);
}

static void finish_exchange (mt_http_exchange_t *x);

static void on_written (uv_write_t *req, int status) {
  pending_write_t *w = (pending_write_t *)req;
  mt_http_exchange_t *x = w->exchange;
  size_t n = w->n;
  free(w->bytes);
  free(w);
  if (x->closing) return;
  x->writing -= n;
  count_memory(x);
  if (status < 0) {
    close_connection(x, MT_HTTP_CLOSE_CALLER);
    return;
  }
  if (x->writing > 0) return;
  if (x->handed_over) x->server->handler.drained(x->server->ud, x);
  if (!x->closing) finish_exchange(x);
}

/* Passes what follows the first `done` bytes of the output to libuv, without
   a copy. */
static void write_later (mt_http_exchange_t *x, size_t done) {
  pending_write_t *w = calloc(1, sizeof *w);
  if (w == NULL) {
    close_connection(x, MT_HTTP_CLOSE_MEMORY);
    return;
  }
  w->exchange = x;
  w->n = x->out.n - done;
  w->bytes = x->out.p;
  uv_buf_t buf = uv_buf_init(x->out.p + done, (unsigned)w->n);
  x->out = (buffer_t){0};
  x->writing += w->n;
  x->blocked_at = mt_boot_clock_now(x->server->loop);
  if (uv_write(&w->req, (uv_stream_t *)&x->tcp, &buf, 1, on_written) < 0) {
    free(w->bytes);
    free(w);
    close_connection(x, MT_HTTP_CLOSE_CALLER);
  }
}

/* Writes what the kernel accepts at once. Returns the number of bytes, or an
   error of libuv. */
static int write_now (mt_http_exchange_t *x) {
  if (x->out.n == 0 || x->writing > 0) return 0;
  uv_buf_t buf = uv_buf_init(x->out.p, (unsigned)x->out.n);
  int written = uv_try_write((uv_stream_t *)&x->tcp, &buf, 1);
  return written == UV_EAGAIN ? 0 : written;
}

/* Writes what the kernel accepts at once; libuv writes the rest later. */
static void flush (mt_http_exchange_t *x) {
  unlink_dirty(x);
  int written = write_now(x);
  if (written < 0 || x->output_lost) {
    close_connection(x, x->output_lost ? MT_HTTP_CLOSE_MEMORY
                                       : MT_HTTP_CLOSE_CALLER);
    return;
  }
  if ((size_t)written < x->out.n)
    write_later(x, (size_t)written);
  else
    buffer_reset(&x->out);
  if (!x->closing) count_memory(x);
  if (!x->closing && x->writing == 0 && x->handed_over)
    x->server->handler.drained(x->server->ud, x);
  if (!x->closing) finish_exchange(x);
}

static void on_prepare (uv_prepare_t *prepare) {
  mt_http_server_t *server = prepare->data;
  server->iteration++;
  server->last_readers = server->readers;
  server->readers = 0;
  while (server->dirty != NULL) flush(server->dirty);
}

/* }== */

/* {== Parsing ========================================================== */

static int on_target (http_parser *parser, const char *p, size_t n) {
  mt_http_exchange_t *x = parser->data;
  if (x->target.n + n > TARGET_BYTES_MAX) return 1;
  x->no_room = !buffer_add(&x->target, p, n);
  return x->no_room;
}

static bool headers_too_large (const mt_http_exchange_t *x) {
  return x->headers.used + x->target.n > x->limits.header_bytes;
}

/* Fields of a trailer are no part of the head. */
static int on_name (http_parser *parser, const char *p, size_t n) {
  mt_http_exchange_t *x = parser->data;
  if (parser->flags & F_TRAILING) return 0;
  mt_http_headers_append_name(&x->headers, p, n);
  return headers_too_large(x);
}

static int on_value (http_parser *parser, const char *p, size_t n) {
  mt_http_exchange_t *x = parser->data;
  if (parser->flags & F_TRAILING) return 0;
  mt_http_headers_append_value(&x->headers, p, n);
  return headers_too_large(x);
}

static int on_headers (http_parser *parser) {
  mt_http_exchange_t *x = parser->data;
  uint64_t length = parser->content_length;
  if (!mt_http_headers_are_valid(&x->headers)) return -1;
  bool announced = parser->flags & F_CONTENTLENGTH;
  x->too_large = announced && length > x->limits.body_bytes;
  x->length = announced ? (size_t)length : x->limits.body_bytes;
  x->has_head = true;
  return x->too_large ? -1 : 0;
}

static size_t body_size (const mt_http_exchange_t *x) {
  return x->body != NULL ? x->body->n : 0;
}

/* A chunk that exceeds the limit is refused before it comes. */
static int on_chunk (http_parser *parser) {
  mt_http_exchange_t *x = parser->data;
  x->too_large = parser->content_length > x->limits.body_bytes - body_size(x);
  return x->too_large;
}

static bool make_memory (mt_http_exchange_t *x, size_t more);

static int on_body (http_parser *parser, const char *p, size_t n) {
  mt_http_exchange_t *x = parser->data;
  x->too_large = body_size(x) + n > x->limits.body_bytes;
  if (x->too_large) return 1;
  if (x->body == NULL) x->body = mt_shared_bytes_new(budget_of(x));
  if (x->body != NULL) {
    size_t cap = mt_shared_bytes_cap(x->body, n, x->length);
    x->no_room = !make_memory(x, cap - x->body->cap) ||
                 !mt_shared_bytes_append(x->body, p, n, cap);
  } else {
    x->no_room = true;
  }
  return x->no_room;
}

static int on_complete (http_parser *parser) {
  mt_http_exchange_t *x = parser->data;
  x->keep_alive = http_should_keep_alive(parser) && !parser->upgrade;
  x->state = STATE_HANDLING;
  http_parser_pause(parser, 1);
  return 0;
}

static const http_parser_settings parser_settings = {
    .on_url = on_target,
    .on_header_field = on_name,
    .on_header_value = on_value,
    .on_headers_complete = on_headers,
    .on_chunk_header = on_chunk,
    .on_body = on_body,
    .on_message_complete = on_complete};

/* A step of the loop may have been long before this point: the loop's time is
   then earlier than what the caller sees. */
static void begin_age (mt_http_exchange_t *x) {
  x->since = mt_boot_clock_now(x->server->loop);
  x->fresh = true;
  x->excused = 0;
  move_to_end(x);
}

static void begin_reading (mt_http_exchange_t *x) {
  http_parser_init(&x->parser, HTTP_REQUEST);
  x->parser.data = x;
  if (mt_http_headers_memory(&x->headers) > KEPT_BYTES)
    mt_http_headers_free(&x->headers);
  mt_http_headers_reset(&x->headers);
  buffer_reset(&x->target);
  release_body(x);
  x->received = 0;
  x->has_head = x->asked = x->no_room = false;
  count_memory(x);
  x->state = STATE_IDLE;
  x->limits = x->server->limits;
  begin_age(x);
  x->user = NULL;
}

/* A request that is refused or handed over does not give way any more. */
static void end_receiving (mt_http_exchange_t *x) {
  mt_memory_end(budget_of(x), &x->holder);
  narrow_window(x);
}

/* Responds to a request that is not handed over and closes the connection. */
static void respond_and_close (mt_http_exchange_t *x, int status,
                               mt_http_close_t why, const char *lines,
                               const char *body) {
  count_close(x, why);
  end_receiving(x);
  release_body(x);
  mt_http_headers_free(&x->headers);
  x->unread = 0;
  x->keep_alive = false;
  x->discarding = true;
  x->state = STATE_HANDLING;
  mt_http_exchange_head(x, status, lines, strlen(lines),
                        (int64_t)strlen(body));
  mt_http_exchange_data(x, body, strlen(body));
  mt_http_exchange_end(x);
}

/* Responds to an invalid or late request. */
static void reject_request (mt_http_exchange_t *x, int status) {
  mt_http_close_t why =
      status == 408 ? MT_HTTP_CLOSE_LATE : MT_HTTP_CLOSE_INVALID;
  respond_and_close(x, status, why, "", "");
}

static void report_denied (mt_http_exchange_t *x, mt_http_close_t why) {
  struct sockaddr_in addr = {0};
  char ip[INET_ADDRSTRLEN] = "-", peer[INET_ADDRSTRLEN + 8];
  int size = sizeof addr;
  if (x->server->guard.denied == NULL) return;
  uv_tcp_getpeername(&x->tcp, (struct sockaddr *)&addr, &size);
  uv_ip4_name(&addr, ip, sizeof ip);
  snprintf(peer, sizeof peer, "%s:%u", ip, ntohs(addr.sin_port));
  x->server->guard.denied(x->server->ud, why, peer);
}

/* The request has not run: its caller may come again, here or elsewhere. */
static void deny_request (mt_http_exchange_t *x, mt_http_close_t why) {
  static const char body[] = "{\"error\":\"router_memory\"}";
  char lines[96];
  uint64_t spread = mtV_mix(x->server->accepted, (uint64_t)(uintptr_t)x);
  double wait = (double)(RETRY_AFTER_MIN_MS + spread % RETRY_AFTER_SPREAD_MS);
  snprintf(lines, sizeof lines,
           "Content-Type: application/json\r\nRetry-After: %.3f\r\n",
           wait / 1000);
  report_denied(x, why);
  respond_and_close(x, 503, why, lines, body);
}

/* True if a request has made no progress for a while, and not because this
   process has not read it. */
static bool has_stalled (mt_http_exchange_t *x, mt_ms_t now) {
  if (now - x->holder.progressed <= STALLED_MS) return false;
  if (unread_bytes(x) == 0) return true;
  mt_memory_excuse(budget_of(x), &x->holder, now);
  return false;
}

/* The request whose caller has stalled longest and that holds more than
   `least` bytes: of `server`, or of any; NULL if there is none. */
static mt_http_exchange_t *find_stalled (const mt_memory_budget_t *budget,
                                         const mt_http_server_t *server,
                                         size_t least, mt_ms_t now) {
  mt_memory_holder_t *next;
  for (mt_memory_holder_t *h = budget->first; h != NULL; h = next) {
    mt_http_exchange_t *x = h->owner;
    next = h->next;
    if (now - h->progressed <= STALLED_MS) return NULL;
    if (server != NULL && x->server != server) continue;
    if (held_bytes(x) > least && has_stalled(x, now)) return x;
  }
  return NULL;
}

static bool fits (const mt_http_exchange_t *x, size_t more) {
  bool small = held_bytes(x) + more <= SMALL_BYTES;
  return more <= (small ? mt_memory_left(budget_of(x))
                        : mt_memory_left_for_large(budget_of(x)));
}

/* Makes room for `more` bytes of a request: those that have stalled are
   refused for it. */
static bool make_memory (mt_http_exchange_t *x, size_t more) {
  mt_ms_t now = mt_boot_clock_now(x->server->loop);
  while (more > 0 && !fits(x, more)) {
    mt_http_exchange_t *stalled =
        find_stalled(budget_of(x), NULL, LITTLE_BYTES, now);
    if (stalled == NULL || stalled == x) return false;
    deny_request(stalled, MT_HTTP_CLOSE_STALLED);
  }
  return true;
}

/* True if the caller waits to be told to send the body. */
static bool expects_continue (const mt_http_exchange_t *x) {
  mt_bytes_t expect = mt_http_headers_find(&x->headers, "expect");
  return mt_bytes_equal_nocase(expect, "100-continue");
}

static void send_continue (mt_http_exchange_t *x) {
  static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";
  add_output(x, interim, sizeof interim - 1);
  mark_dirty(x);
}

static bool has_length (const mt_http_exchange_t *x) {
  return x->parser.flags & F_CONTENTLENGTH;
}

/* True if there is a body worth refusing before it comes: after a small one
   the connection is of use for the next request. */
static bool is_worth_asking (const mt_http_exchange_t *x) {
  if (!x->has_head || x->asked) return false;
  size_t size = has_length(x) ? x->length : body_size(x);
  return size > SMALL_BYTES || expects_continue(x);
}

/* The head has come without the whole body: refuses at once what is refused
   whatever its body is. */
static void check_head (mt_http_exchange_t *x) {
  const mt_http_server_t *server = x->server;
  size_t held = held_bytes(x);
  size_t expected = has_length(x) ? mt_max(x->length, held) : held;
  x->asked = true;
  if (server->guard.refuses != NULL && server->guard.refuses(server->ud, x)) {
    x->keep_alive = false;
    x->discarding = x->handed_over = true;
    x->state = STATE_HANDLING;
    end_receiving(x);
    release_body(x);
    server->handler.request(server->ud, x);
    return;
  }
  if (!make_memory(x, expected - held)) {
    deny_request(x, MT_HTTP_CLOSE_MEMORY);
    return;
  }
  widen_window(x);
  if (expects_continue(x)) send_continue(x);
}

/* Empty lines before a request are ignored, as HTTP asks for. */
static size_t empty_lines (const char *p, size_t n) {
  size_t used = 0;
  while (used < n && (p[used] == '\r' || p[used] == '\n')) used++;
  return used;
}

/* False if what has come of a request exceeds the budget, and it is
   refused. */
static bool keep_within_budget (mt_http_exchange_t *x) {
  if (mt_memory_left(budget_of(x)) > 0 || make_memory(x, 1)) return true;
  deny_request(x, MT_HTTP_CLOSE_MEMORY);
  return false;
}

/* A part of a request has been parsed. */
static void go_on_receiving (mt_http_exchange_t *x) {
  count_memory(x);
  mt_memory_progress(budget_of(x), &x->holder, x->received,
                     mt_boot_clock_now(x->server->loop));
  if (keep_within_budget(x) && is_worth_asking(x)) check_head(x);
}

/* All of a request has been parsed. Its body has its room; a head of many
   fields holds several times its size. */
static void hand_over (mt_http_exchange_t *x) {
  narrow_window(x);
  count_memory(x);
  if (x->requests_held > SMALL_BYTES && !keep_within_budget(x)) return;
  end_receiving(x);
  x->handed_over = true;
  x->server->handler.request(x->server->ud, x);
}

/* Parses bytes of a request; bytes beyond its end are buffered. */
static void parse (mt_http_exchange_t *x, const char *p, size_t n) {
  if (x->state == STATE_IDLE) {
    size_t empty = empty_lines(p, n);
    p += empty;
    n -= empty;
    if (n == 0) return;
    x->state = STATE_READING;
    begin_age(x);
    mt_memory_begin(budget_of(x), &x->holder, x->since);
  }
  x->received += n;
  size_t used = http_parser_execute(&x->parser, &parser_settings, p, n);
  if (x->state == STATE_HANDLING) {
    http_parser_pause(&x->parser, 0);
    if (!buffer_add(&x->pipelined, p + used, n - used)) x->keep_alive = false;
    hand_over(x);
    return;
  }
  if (HTTP_PARSER_ERRNO(&x->parser) == HPE_OK) {
    go_on_receiving(x);
    return;
  }
  if (x->no_room)
    deny_request(x, MT_HTTP_CLOSE_MEMORY);
  else if (x->too_large)
    reject_request(x, 413);
  else if (headers_too_large(x))
    reject_request(x, 431);
  else
    reject_request(x, 400);
}

/* }== */

/* {== Reading ========================================================== */

/* Input that one connection may have in an iteration of the loop. */
static size_t turn_share (const mt_http_server_t *server) {
  size_t readers = mt_max(server->last_readers, (size_t)1);
  size_t share = mt_max(TURN_BYTES / readers, (size_t)TURN_BYTES_MIN);
  return mt_min(share, (size_t)READ_BYTES);
}

/* No buffer when the connection has had its share: it is read again in the
   next iteration. */
static void on_alloc (uv_handle_t *h, size_t hint, uv_buf_t *buf) {
  mt_http_exchange_t *x = h->data;
  mt_http_server_t *server = x->server;
  size_t share = turn_share(server);
  if (x->turn != server->iteration) {
    x->turn = server->iteration;
    x->turn_read = 0;
    server->readers++;
  }
  size_t left = share - mt_min(share, x->turn_read);
  *buf = uv_buf_init(server->input, (unsigned)left);
}

/* A caller that sends behind a request that runs has to wait with it. */
static bool is_reading_stopped (const mt_http_exchange_t *x) {
  return x->pipelined.n > mt_memory_share(budget_of(x), PIPELINED_BYTES_MIN,
                                          PIPELINED_BYTES_MAX);
}

static void on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf) {
  mt_http_exchange_t *x = stream->data;
  if (n == 0 || n == UV_ENOBUFS) return;
  if (n < 0) {
    close_connection(x, MT_HTTP_CLOSE_CALLER);
    return;
  }
  x->turn_read += (size_t)n;
  if (x->state == STATE_CLOSING || x->discarding) return;
  if (x->state == STATE_IDLE || x->state == STATE_READING) {
    parse(x, buf->base, (size_t)n);
    return;
  }
  if (!buffer_add(&x->pipelined, buf->base, (size_t)n)) {
    close_connection(x, MT_HTTP_CLOSE_MEMORY);
    return;
  }
  count_memory(x);
  if (is_reading_stopped(x)) {
    x->stopped = true;
    uv_read_stop(stream);
  }
}

/*
** Ends the connection in order after a complete response. The kernel resets a
** connection that is closed with unread input, or gets input afterwards, and
** what the caller has not received by then is lost. So input is read, and
** discarded, until the caller closes its side.
*/
static void shut_down (mt_http_exchange_t *x) {
  uv_os_fd_t fd;
  count_close(x, MT_HTTP_CLOSE_ANSWERED);
  set_reset_on_close(x, false);
  if (uv_fileno((uv_handle_t *)&x->tcp, &fd) != 0 ||
      shutdown(fd, SHUT_WR) != 0) {
    close_connection(x, MT_HTTP_CLOSE_CALLER);
    return;
  }
  x->state = STATE_CLOSING;
  x->stopped = false;
  x->since = mt_boot_clock_now(x->server->loop);
  move_to_end(x);
  buffer_free(&x->pipelined);
  count_memory(x);
  uv_read_start((uv_stream_t *)&x->tcp, on_alloc, on_read);
}

/* After a response is written: reads the next request or closes. */
static void finish_exchange (mt_http_exchange_t *x) {
  if (x->handed_over) return;
  if (x->state != STATE_HANDLING && x->state != STATE_RESPONDING) return;
  if (x->writing > 0 || x->out.n > 0) return;
  if (x->close_after) {
    shut_down(x);
    return;
  }
  begin_reading(x);
  buffer_t pipelined = x->pipelined;
  x->pipelined = (buffer_t){0};
  count_memory(x);
  x->stopped = false;
  uv_read_start((uv_stream_t *)&x->tcp, on_alloc, on_read);
  if (pipelined.n > 0) parse(x, pipelined.p, pipelined.n);
  buffer_free(&pipelined);
}

/*
** Closes the connection that has been idle or closing longest; false if there
** is none. One that has bytes in the kernel is asked again only when it has
** been read: a stall may leave many such, and many callers to be accepted.
*/
static bool close_oldest_idle (mt_http_server_t *server,
                               mt_http_close_t why) {
  for (mt_http_exchange_t *x = server->first; x != NULL; x = x->next) {
    if (x->state != STATE_IDLE && x->state != STATE_CLOSING) continue;
    if (x->busy_at == server->iteration) continue;
    if (is_idle(x)) {
      close_connection(x, why);
      return true;
    }
    x->busy_at = server->iteration;
  }
  return false;
}

/* Refuses the request of the server that has stalled longest, and closes its
   connection at once; false if there is none. */
static bool close_stalled (mt_http_server_t *server) {
  mt_http_exchange_t *x = find_stalled(server->guard.budget, server, 0,
                                       mt_boot_clock_now(server->loop));
  if (x == NULL) return false;
  deny_request(x, MT_HTTP_CLOSE_STALLED);
  write_now(x);
  close_connection(x, MT_HTTP_CLOSE_STALLED);
  return true;
}

static int open_spare_fd (void) {
  return socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
}

/*
** Frees a descriptor when none is left to accept a connection: otherwise the
** loop would retry at once and forever. A connection that is accepted with
** the spare descriptor is closed.
*/
static void release_descriptor (mt_http_server_t *server) {
  if (close_stalled(server) ||
      close_oldest_idle(server, MT_HTTP_CLOSE_DESCRIPTORS) ||
      server->spare_fd < 0)
    return;
  close(server->spare_fd);
  server->spare_fd = -1;
}

/* True when a new connection may stay open. At the limit closes one that has
   stalled or is idle. */
static bool make_room (mt_http_server_t *server) {
  if (server->spare_fd < 0) return false;
  if (server->max_connections == 0 || server->count < server->max_connections)
    return true;
  return close_stalled(server) ||
         close_oldest_idle(server, MT_HTTP_CLOSE_EVICTED);
}

static mt_http_exchange_t *add_connection (mt_http_server_t *server) {
  mt_http_exchange_t *x = mtV_new(sizeof *x);
  x->server = server;
  uv_tcp_init(server->loop, &x->tcp);
  x->tcp.data = x;
  append_connection(x);
  server->count++;
  server->accepted++;
  x->holder.owner = x;
  begin_reading(x);
  return x;
}

static void on_connection (uv_stream_t *listener, int status) {
  mt_http_server_t *server = listener->data;
  if (status == UV_EMFILE || status == UV_ENFILE) release_descriptor(server);
  if (status < 0) return;
  bool has_room = make_room(server);
  mt_http_exchange_t *x = add_connection(server);
  if (uv_accept(listener, (uv_stream_t *)&x->tcp) < 0 || !has_room) {
    close_connection(x, MT_HTTP_CLOSE_FULL);
    if (server->spare_fd < 0) server->spare_fd = open_spare_fd();
    return;
  }
  uv_tcp_nodelay(&x->tcp, 1);
  uv_os_fd_t fd;
  int timeout = USER_TIMEOUT_MS;
  if (uv_fileno((uv_handle_t *)&x->tcp, &fd) == 0)
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
  uv_read_start((uv_stream_t *)&x->tcp, on_alloc, on_read);
}

/* }== */

/* {== The request and its response ===================================== */

mt_bytes_t mt_http_exchange_method (const mt_http_exchange_t *x) {
  const char *name = http_method_str((enum http_method)x->parser.method);
  return (mt_bytes_t){name, strlen(name)};
}

mt_bytes_t mt_http_exchange_target (const mt_http_exchange_t *x) {
  return (mt_bytes_t){x->target.p, x->target.n};
}

mt_bytes_t mt_http_exchange_body (const mt_http_exchange_t *x) {
  if (body_size(x) == 0) return (mt_bytes_t){"", 0};
  return (mt_bytes_t){x->body->p, x->body->n};
}

mt_shared_bytes_t *mt_http_exchange_share_body (const mt_http_exchange_t *x) {
  return x->body != NULL ? mt_shared_bytes_ref(x->body) : NULL;
}

bool mt_http_exchange_has_body (const mt_http_exchange_t *x) {
  return !x->discarding;
}

const mt_http_headers_t *
mt_http_exchange_headers (const mt_http_exchange_t *x) {
  return &x->headers;
}

void *mt_http_exchange_user (const mt_http_exchange_t *x) {
  return x->user;
}

void mt_http_exchange_set_user (mt_http_exchange_t *x, void *user) {
  x->user = user;
}

bool mt_http_exchange_check_connected (mt_http_exchange_t *x) {
  char byte;
  uv_os_fd_t fd;
  if (x->closing || uv_fileno((uv_handle_t *)&x->tcp, &fd) != 0) return false;
  ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  bool disconnected = n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
  if (disconnected) close_connection(x, MT_HTTP_CLOSE_CALLER);
  return !disconnected;
}

static const char *status_text (int status) {
  switch (status) {
#define STATUS_NAME(number, name, text) \
  case number: return #text;
    HTTP_STATUS_MAP(STATUS_NAME)
#undef STATUS_NAME
    default: return "Other";
  }
}

static bool has_body (const mt_http_exchange_t *x, int status) {
  return x->parser.method != HTTP_HEAD && status != 204 && status != 304;
}

void mt_http_exchange_head (mt_http_exchange_t *x, int status,
                            const char *lines, size_t lines_size,
                            int64_t length) {
  char text[128];
  if (x->closing) return;
  x->state = STATE_RESPONDING;
  x->no_body = !has_body(x, status);
  x->chunked = length == MT_HTTP_CHUNKED && !x->no_body;
  /* A further request that came before its caller could know is answered. */
  bool draining = x->server->draining && unread_bytes(x) == 0;
  x->close_after =
      !x->keep_alive || draining || length == MT_HTTP_UNTIL_CLOSE;
  /* Until the response is complete, any end of the process or the exchange
     has to show that it is not. */
  if (length == MT_HTTP_UNTIL_CLOSE && !x->no_body)
    set_reset_on_close(x, true);
  int n = snprintf(text, sizeof text, "HTTP/1.1 %d %s\r\n", status,
                   status_text(status));
  add_output(x, text, (size_t)n);
  add_output(x, lines, lines_size);
  n = 0;
  if (x->chunked)
    n = snprintf(text, sizeof text, "Transfer-Encoding: chunked\r\n");
  else if (length >= 0 && status != 204)
    n = snprintf(text, sizeof text, "Content-Length: %lld\r\n",
                 (long long)length);
  add_output(x, text, (size_t)n);
  if (x->close_after) add_output(x, "Connection: close\r\n", 19);
  add_output(x, "\r\n", 2);
  count_memory(x);
  mark_dirty(x);
}

void mt_http_exchange_data (mt_http_exchange_t *x, const char *p, size_t n) {
  char size[24];
  if (x->closing || x->no_body || n == 0) return;
  if (x->chunked) {
    int digits = snprintf(size, sizeof size, "%zx\r\n", n);
    add_output(x, size, (size_t)digits);
  }
  add_output(x, p, n);
  if (x->chunked) add_output(x, "\r\n", 2);
  count_memory(x);
  mark_dirty(x);
}

void mt_http_exchange_end (mt_http_exchange_t *x) {
  if (x->closing) return;
  if (x->chunked) add_output(x, "0\r\n\r\n", 5);
  x->handed_over = false;
  x->user = NULL;
  mark_dirty(x);
}

void mt_http_exchange_abort (mt_http_exchange_t *x) {
  x->handed_over = false;
  if (!x->closing) write_now(x);
  close_connection(x, MT_HTTP_CLOSE_ABORTED);
}

size_t mt_http_exchange_backlog (const mt_http_exchange_t *x) {
  return x->out.n + x->writing;
}

/* }== */

/* {== The listener ===================================================== */

/* Connections inherit the listener's receive buffer. */
static void size_receive_buffers (mt_http_server_t *server) {
  size_t count = mt_max(server->max_connections, (size_t)1);
  size_t each = server->guard.budget->limit / RECEIVE_FRACTION / count;
  each = mt_max(each, (size_t)RECEIVE_BUFFER_MIN);
  server->receive_buffer = mt_min(each, (size_t)RECEIVE_BUFFER_MAX);
  int bytes = (int)server->receive_buffer;
  uv_recv_buffer_size((uv_handle_t *)&server->listener, &bytes);
}

mt_http_server_t *
mt_http_server_open (uv_loop_t *loop, const char *ip, uint16_t port,
                     const mt_http_server_handler_t *handler, void *ud,
                     char *reason, size_t size) {
  mt_http_server_t *server = mtV_new(sizeof *server);
  struct sockaddr_in addr;
  server->loop = loop;
  server->iteration = 1;
  server->handler = *handler;
  server->ud = ud;
  server->limits = default_limits;
  server->spare_fd = open_spare_fd();
  server->own_budget.limit = mt_memory_default_limit(mt_memory_of_box());
  server->guard.budget = &server->own_budget;
  uv_tcp_init(loop, &server->listener);
  server->listener.data = server;
  int err = uv_ip4_addr(ip, port, &addr);
  if (err == 0)
    err = uv_tcp_bind(&server->listener, (const struct sockaddr *)&addr, 0);
  if (err == 0)
    err = uv_listen((uv_stream_t *)&server->listener, LISTEN_BACKLOG,
                    on_connection);
  if (err != 0) {
    snprintf(reason, size, "cannot listen on %s:%u: %s", ip, port,
             uv_strerror(err));
    uv_close((uv_handle_t *)&server->listener, NULL);
    return NULL; /* the handle still belongs to the loop */
  }
  size_receive_buffers(server);
  uv_prepare_init(loop, &server->flusher);
  server->flusher.data = server;
  uv_prepare_start(&server->flusher, on_prepare);
  return server;
}

void mt_http_server_set_guard (mt_http_server_t *server,
                               const mt_http_server_guard_t *guard) {
  server->guard = *guard;
  if (guard->budget == NULL) server->guard.budget = &server->own_budget;
  size_receive_buffers(server);
}

uint16_t mt_http_server_port (const mt_http_server_t *server) {
  struct sockaddr_in addr;
  int size = sizeof addr;
  uv_tcp_getsockname(&server->listener, (struct sockaddr *)&addr, &size);
  return ntohs(addr.sin_port);
}

/* Limits under which a caller may act that has not had an answer since. */
static void widen_limits (mt_http_server_limits_t *to,
                          const mt_http_server_limits_t *limits) {
  to->header_bytes = mt_max(to->header_bytes, limits->header_bytes);
  to->body_bytes = mt_max(to->body_bytes, limits->body_bytes);
  to->header_ms = mt_max(to->header_ms, limits->header_ms);
  to->idle_ms = mt_max(to->idle_ms, limits->idle_ms);
}

void mt_http_server_set_limits (mt_http_server_t *server,
                                const mt_http_server_limits_t *limits) {
  server->limits = *limits;
  for (mt_http_exchange_t *x = server->first; x != NULL; x = x->next)
    widen_limits(&x->limits, limits);
}

void mt_http_server_set_max_body (mt_http_server_t *server, uint32_t bytes) {
  mt_http_server_limits_t limits = server->limits;
  limits.body_bytes = bytes;
  mt_http_server_set_limits(server, &limits);
}

size_t mt_http_server_connections (const mt_http_server_t *server) {
  return server->count;
}

uint64_t mt_http_server_accepted (const mt_http_server_t *server) {
  return server->accepted;
}

const mt_http_closes_t *
mt_http_server_closes (const mt_http_server_t *server) {
  return &server->closes;
}

const char *mt_http_close_name (mt_http_close_t why) {
  static const char *const names[MT_HTTP_CLOSES] = {
      [MT_HTTP_CLOSE_CALLER] = "caller",
      [MT_HTTP_CLOSE_ANSWERED] = "answered",
      [MT_HTTP_CLOSE_IDLE] = "idle",
      [MT_HTTP_CLOSE_INVALID] = "invalid",
      [MT_HTTP_CLOSE_LATE] = "late",
      [MT_HTTP_CLOSE_EVICTED] = "evicted",
      [MT_HTTP_CLOSE_DESCRIPTORS] = "descriptors",
      [MT_HTTP_CLOSE_FULL] = "full",
      [MT_HTTP_CLOSE_STALLED] = "stalled",
      [MT_HTTP_CLOSE_MEMORY] = "memory",
      [MT_HTTP_CLOSE_STOPPING] = "stopping",
      [MT_HTTP_CLOSE_ABORTED] = "aborted",
      [MT_HTTP_CLOSE_SERVER] = "server"};
  return names[why];
}

void mt_http_server_set_max_connections (mt_http_server_t *server,
                                         size_t connections) {
  server->max_connections = connections;
  size_receive_buffers(server);
}

bool mt_http_server_is_empty (const mt_http_server_t *server) {
  uv_os_fd_t fd;
  if (server->count > 0) return false;
  if (uv_fileno((const uv_handle_t *)&server->listener, &fd) != 0)
    return true;
  struct pollfd waiting = {.fd = fd, .events = POLLIN};
  return poll(&waiting, 1, 0) <= 0;
}

void mt_http_server_drain (mt_http_server_t *server, bool drain) {
  server->draining = drain;
}

/* A request may still be on its way on a connection that is new. */
void mt_http_server_close_idle (mt_http_server_t *server) {
  mt_ms_t now = mt_boot_clock_now(server->loop);
  mt_http_exchange_t *next;
  for (mt_http_exchange_t *x = server->first; x != NULL; x = next) {
    next = x->next;
    bool rests = x->state == STATE_IDLE && now - x->since > REST_MIN_MS;
    if (rests && is_idle(x)) close_connection(x, MT_HTTP_CLOSE_STOPPING);
  }
}

/* A caller that reads slowly may still send; one that does not read at all is
   ended by USER_TIMEOUT_MS. */
static void check_closing (mt_http_exchange_t *x, mt_ms_t now) {
  if (!is_idle(x))
    x->since = now;
  else if (now - x->since > CLOSE_WAIT_MS)
    close_connection(x, MT_HTTP_CLOSE_ANSWERED);
}

/* A caller that always has some bytes on their way is late in the end. */
static void excuse (mt_http_exchange_t *x, mt_ms_t elapsed, mt_ms_t now) {
  if (x->excused >= x->limits.header_ms) return;
  x->since = mt_min(now, x->since + elapsed);
  x->excused += elapsed;
}

/*
** Leaves out of a connection's age what is not its caller's time: what came
** before the first tick, or before the last response was received, and
** `elapsed` since the last tick if its input lay unread or, as the loop was
** held up, may have had no room in the kernel.
*/
static void correct_age (mt_http_exchange_t *x, mt_ms_t elapsed,
                         mt_ms_t now) {
  if (x->fresh)
    x->since = now;
  else if (x->state == STATE_READING &&
           (elapsed > HELD_UP_MS || x->pipelined.n + x->unread > 0))
    excuse(x, elapsed, now);
  x->fresh =
      x->fresh && x->state == STATE_IDLE && unacknowledged_bytes(x) > 0;
}

/* The loop does not tell where reading is stopped. */
static void check_connected (mt_http_exchange_t *x) {
  uv_os_fd_t fd;
  if (!x->stopped || uv_fileno((uv_handle_t *)&x->tcp, &fd) != 0) return;
  struct pollfd caller = {.fd = fd, .events = POLLRDHUP};
  if (poll(&caller, 1, 0) > 0) close_connection(x, MT_HTTP_CLOSE_CALLER);
}

/* What lies in the kernel of a connection that may be left unread. */
static size_t count_unread (const mt_http_exchange_t *x) {
  switch (x->state) {
    case STATE_READING:
    case STATE_CLOSING: return kernel_bytes(x);
    case STATE_HANDLING:
    case STATE_RESPONDING: return x->stopped ? kernel_bytes(x) : 0;
    case STATE_IDLE: break;
  }
  return 0;
}

static void check_output (mt_http_exchange_t *x, mt_ms_t now) {
  if (x->writing == 0) return;
  size_t queued = uv_stream_get_write_queue_size((uv_stream_t *)&x->tcp);
  if (queued < x->queued) x->blocked_at = now;
  x->queued = queued;
}

static void check_age (mt_http_exchange_t *x, mt_ms_t elapsed, mt_ms_t now) {
  const mt_http_server_limits_t *limits = &x->limits;
  x->unread = count_unread(x);
  check_output(x, now);
  switch (x->state) {
    case STATE_IDLE:
      correct_age(x, elapsed, now);
      if (now - x->since > limits->idle_ms && is_idle(x))
        close_connection(x, MT_HTTP_CLOSE_IDLE);
      break;
    case STATE_READING:
      correct_age(x, elapsed, now);
      if (now - x->since > limits->header_ms) reject_request(x, 408);
      break;
    case STATE_CLOSING: check_closing(x, now); break;
    case STATE_HANDLING:
    case STATE_RESPONDING: check_connected(x); break;
  }
}

/* True if the caller has not taken up its response for a while. */
static bool is_blocked (const mt_http_exchange_t *x, mt_ms_t now) {
  return x->writing > 0 && now - x->blocked_at > STALLED_MS;
}

/*
** Frees memory where the budget is exceeded, which unread input may do: by
** connections that have had their response, by requests in the order of
** their progress, by callers that send more behind a request, and last by
** those that do not read.
*/
static bool shed_one (mt_http_server_t *server, mt_ms_t now) {
  mt_memory_budget_t *budget = server->guard.budget;
  for (mt_http_exchange_t *x = server->first; x != NULL; x = x->next) {
    if (x->state != STATE_CLOSING || x->unread == 0) continue;
    close_connection(x, MT_HTTP_CLOSE_MEMORY);
    return true;
  }
  for (mt_memory_holder_t *h = budget->first; h != NULL; h = h->next) {
    mt_http_exchange_t *x = h->owner;
    if (x->server != server || held_bytes(x) + x->unread <= LITTLE_BYTES)
      continue;
    deny_request(x, MT_HTTP_CLOSE_MEMORY);
    return true;
  }
  for (mt_http_exchange_t *x = server->first; x != NULL; x = x->next) {
    if (!x->stopped && !is_blocked(x, now)) continue;
    report_denied(x, MT_HTTP_CLOSE_MEMORY);
    close_connection(x, MT_HTTP_CLOSE_MEMORY);
    return true;
  }
  return false;
}

static size_t sum_unread (const mt_http_server_t *server) {
  size_t sum = 0;
  for (mt_http_exchange_t *x = server->first; x != NULL; x = x->next)
    sum += x->unread;
  return sum;
}

/* What a refused request has in the kernel is discarded soon. */
static void shed (mt_http_server_t *server, mt_ms_t now) {
  mt_memory_budget_t *budget = server->guard.budget;
  do
    mt_memory_set(budget, MT_MEMORY_UNREAD, &server->unread,
                  sum_unread(server));
  while (mt_memory_left(budget) == 0 && shed_one(server, now));
}

void mt_http_server_tick (mt_http_server_t *server) {
  mt_ms_t now = mt_boot_clock_now(server->loop);
  mt_ms_t elapsed = server->last_tick ? now - server->last_tick : 0;
  mt_http_exchange_t *next;
  server->last_tick = now;
  for (mt_http_exchange_t *x = server->first; x != NULL; x = next) {
    next = x->next;
    check_age(x, elapsed, now);
  }
  shed(server, now);
}

static void on_server_closed (uv_handle_t *h) {
  free(h->data);
}

static void on_listener_closed (uv_handle_t *h) {
  mt_http_server_t *server = h->data;
  uv_prepare_stop(&server->flusher);
  uv_close((uv_handle_t *)&server->flusher, on_server_closed);
}

void mt_http_server_stop (mt_http_server_t *server) {
  if (!uv_is_closing((uv_handle_t *)&server->listener))
    uv_close((uv_handle_t *)&server->listener, NULL);
}

void mt_http_server_close (mt_http_server_t *server) {
  if (server->spare_fd >= 0) close(server->spare_fd);
  server->spare_fd = -1;
  while (server->first != NULL)
    close_connection(server->first, MT_HTTP_CLOSE_SERVER);
  if (uv_is_closing((uv_handle_t *)&server->listener))
    on_listener_closed((uv_handle_t *)&server->listener);
  else
    uv_close((uv_handle_t *)&server->listener, on_listener_closed);
}

/* }== */
