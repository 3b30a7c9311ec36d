/*
** http_client.c - HTTP/1.1 client with keep-alive, on libuv and http-parser
*/
#include <errno.h>
#include <http_parser.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "http_client.h"
#include "mtmem.h"
#include "boot_clock.h"

#define READ_BYTES 65536
#define SKIPPED_MAX 3                /* responses that one call may skip */
#define SKIPPED_MAX_BYTES (1u << 20) /* of their bodies */
/* Of a response without its body: heads, interim responses, chunk sizes. An
   allowance per byte of the body admits chunks of one byte. */
#define OVERHEAD_MAX_BYTES (64u << 10)
#define OVERHEAD_PER_BYTE 16
/* From the last chunk to the end of the trailer, which has no bytes of the
   body: longer than a lost segment takes. */
#define TRAILER_MS 500
#define STATUS_DIGITS 3
#define STATUS_MIN 100
#define STATUS_FINAL_MIN 200 /* below: an interim response */
#define STATUS_MAX 599
/* Of a connection in the kernel, which the box counts as well. */
#define RECEIVE_BUFFER_BYTES (64u << 10)
#define IDLE_MARGIN_MS 1000 /* closed this long before the server would */

/* The part of a status line that is read. */
typedef enum status_part_t {
  PART_BEGIN, /* empty lines may come before it */
  PART_VERSION,
  PART_STATUS,
  PART_REST
} status_part_t;

/* http-parser reads a status of four digits, as "0200", like one of three. */
typedef struct status_line_t {
  status_part_t part;
  int digits; /* of the status */
} status_line_t;

/* A connection and the call on it: there is at most one at a time. */
struct mt_http_call_t {
  uv_tcp_t tcp;
  uv_connect_t connect;
  mt_http_client_t *client;
  mt_http_call_t *prev, *next; /* all connections */
  mt_http_call_t *idle_next;   /* idle ones of the endpoint */
  uint64_t key;
  void *ud;
  /* `busy`: has a call; `keep`: reusable after the response; `skipping`: the
     response is of an earlier call; `until_close`: the response ends with the
     connection. */
  bool busy, connected, closing, keep, skipping, until_close, paused;
  bool probing;       /* connecting without a call */
  bool head_received; /* the head of the call's response has arrived */
  bool lingering;     /* ends with the head of its response */
  bool discarding;    /* up to `discard_max` bytes of the body are read */
  mt_ms_t closes_at;  /* the call has ended, and its connection is closed
                         at this time; 0: it has not */
  size_t discard_max;
  bool refused;         /* the connection was refused */
  int skipped;          /* responses that were skipped */
  size_t skipped_bytes; /* of their bodies */
  /* Bytes of the response: those that are not of its body, and its body. */
  size_t overhead, body;
  mt_ms_t whole_at; /* when the last chunk came; 0: it has not */
  size_t writing;   /* unfinished writes */
  char *request;    /* head, until the connection is made */
  size_t request_size;
  mt_shared_bytes_t *request_body; /* the same; NULL: none */
  mt_ms_t since;      /* connecting or idle since; 0: connecting failed */
  mt_ms_t idle_limit; /* how long it may stay idle */
  http_parser parser;
  status_line_t line; /* of the response that is parsed */
  mt_http_head_fault_t head_fault;
  mt_http_headers_t headers;
};

struct mt_http_client_t {
  uv_loop_t *loop;
  mt_http_client_options_t options;
  mt_http_call_handler_t handler;
  mt_http_call_t *all;
  mt_map_t idle; /* endpoint -> its most recently used idle connection */
  size_t count;
  mt_ms_t last_tick;
  uint64_t opened;
  uint64_t skipped; /* responses */
  uint64_t head_faults[MT_HTTP_HEAD_FAULTS];
  mt_memory_budget_t *budget; /* may be NULL */
  size_t unread;              /* as counted in it */
  char input[READ_BYTES];
};

typedef struct pending_write_t {
  uv_write_t req;
  mt_http_call_t *call;
  mt_shared_bytes_t *bytes;
} pending_write_t;

/* {== Connections ====================================================== */

static void on_closed (uv_handle_t *h) {
  mt_http_call_t *c = h->data;
  mt_http_headers_free(&c->headers);
  free(c->request);
  free(c);
}

static void remove_idle (mt_http_call_t *c) {
  mt_http_call_t *first = mtV_get(&c->client->idle, c->key);
  if (first == c) {
    if (c->idle_next)
      mtV_put(&c->client->idle, c->key, c->idle_next);
    else
      mtV_del(&c->client->idle, c->key);
    return;
  }
  while (first != NULL && first->idle_next != c) first = first->idle_next;
  if (first != NULL) first->idle_next = c->idle_next;
}

static void close_connection (mt_http_call_t *c) {
  if (c->closing) return;
  if (!c->busy) remove_idle(c);
  c->closing = true;
  if (c->prev)
    c->prev->next = c->next;
  else
    c->client->all = c->next;
  if (c->next) c->next->prev = c->prev;
  c->client->count--;
  mt_shared_bytes_unref(c->request_body);
  c->request_body = NULL;
  uv_close((uv_handle_t *)&c->tcp, on_closed);
}

static void fail (mt_http_call_t *c, mt_http_failure_t failure) {
  bool busy = c->busy && !c->closing;
  bool probing = c->probing && !c->closing;
  close_connection(c);
  if (busy) c->client->handler.failed(c->ud, c, failure);
  mt_http_probe_t result = c->refused ? MT_HTTP_REFUSED : MT_HTTP_UNREACHABLE;
  if (probing) c->client->handler.probed(c->ud, c->key, result);
}

static void add_idle (mt_http_call_t *c) {
  c->busy = false;
  c->ud = NULL;
  c->since = mt_boot_clock_now(c->client->loop);
  c->idle_next = mtV_get(&c->client->idle, c->key);
  mtV_put(&c->client->idle, c->key, c);
}

/* The response is complete: keeps the connection open if it can be reused. */
static void finish (mt_http_call_t *c) {
  void *ud = c->ud;
  if (c->keep && c->writing == 0 && !c->paused) {
    add_idle(c);
  } else {
    close_connection(c);
  }
  c->client->handler.end(ud, c);
}

/* }== */

/* {== Parsing ========================================================== */

static int on_begin (http_parser *parser) {
  mt_http_call_t *c = parser->data;
  mt_http_headers_reset(&c->headers);
  c->skipping = false;
  return 0;
}

/* Fields of a trailer are not forwarded. */
static int on_name (http_parser *parser, const char *p, size_t n) {
  mt_http_call_t *c = parser->data;
  if (c->whole_at != 0) return 0;
  mt_http_headers_append_name(&c->headers, p, n);
  return 0;
}

static int on_value (http_parser *parser, const char *p, size_t n) {
  mt_http_call_t *c = parser->data;
  if (c->whole_at != 0) return 0;
  mt_http_headers_append_value(&c->headers, p, n);
  return 0;
}

/* How long the server keeps an idle connection, less a margin. */
static mt_ms_t idle_limit (const mt_http_call_t *c) {
  mt_ms_t limit = c->client->options.idle_ms;
  mt_bytes_t text = mt_http_headers_find(&c->headers, "keep-alive");
  static const char key[] = "timeout=";
  for (size_t i = 0; i + sizeof key - 1 < text.n; i++) {
    if (memcmp(text.p + i, key, sizeof key - 1) != 0) continue;
    mt_ms_t timeout = 1000 * (mt_ms_t)atoi(text.p + i + sizeof key - 1);
    timeout =
        timeout > IDLE_MARGIN_MS ? timeout - IDLE_MARGIN_MS : timeout / 2;
    limit = mt_min(limit, timeout);
  }
  return limit;
}

/* False if the call's response cannot follow the one that is skipped. */
static bool may_skip (mt_http_call_t *c) {
  int status = c->parser.status_code;
  bool has_body = status != 204 && status != 304;
  c->client->skipped++;
  return ++c->skipped <= SKIPPED_MAX && !(c->until_close && has_body);
}

/* False for a status that HTTP does not have, 101, which no call asks for,
   and an interim response with a body. */
static bool has_valid_status (const http_parser *parser) {
  int status = parser->status_code;
  bool has_body =
      parser->flags & F_CHUNKED ||
      (parser->flags & F_CONTENTLENGTH && parser->content_length > 0);
  if (status < STATUS_MIN || status > STATUS_MAX || status == 101)
    return false;
  return status >= STATUS_FINAL_MIN || !has_body;
}

static mt_http_head_fault_t check_head (const mt_http_call_t *c) {
  if (c->line.digits != STATUS_DIGITS || !has_valid_status(&c->parser))
    return MT_HTTP_HEAD_STATUS;
  return mt_http_headers_are_valid(&c->headers) ? MT_HTTP_HEAD_SOUND
                                                : MT_HTTP_HEAD_NAME;
}

static int on_headers (http_parser *parser) {
  mt_http_call_t *c = parser->data;
  c->head_fault = check_head(c);
  if (c->head_fault != MT_HTTP_HEAD_SOUND) {
    c->client->head_faults[c->head_fault]++;
    return -1;
  }
  if (parser->status_code < STATUS_FINAL_MIN) return 0;
  c->idle_limit = idle_limit(c);
  c->until_close = !(parser->flags & (F_CHUNKED | F_CONTENTLENGTH));
  c->skipping =
      !c->client->handler.head(c->ud, c, parser->status_code, &c->headers);
  if (c->closing) return 1;
  c->head_received = !c->skipping;
  if (c->head_received && c->lingering) return -1;
  if (c->skipping && !may_skip(c)) return -1;
  return 0;
}

/* False once more has come than may be discarded. */
static bool discard (mt_http_call_t *c, size_t n) {
  if (n > c->discard_max) return false;
  c->discard_max -= n;
  return true;
}

static int on_body (http_parser *parser, const char *p, size_t n) {
  mt_http_call_t *c = parser->data;
  c->overhead -= n;
  if (c->skipping)
    c->skipped_bytes += n;
  else
    c->body += n;
  if (c->discarding) return discard(c, n) ? 0 : 1;
  if (!c->skipping && !c->closing) c->client->handler.data(c->ud, c, p, n);
  return 0;
}

static int on_chunk (http_parser *parser) {
  mt_http_call_t *c = parser->data;
  if (parser->content_length == 0 && !c->skipping)
    c->whole_at = mt_boot_clock_now(c->client->loop);
  return 0;
}

/* True if another response follows the one that is parsed. */
static bool is_skipped (const mt_http_call_t *c) {
  return c->parser.status_code < STATUS_FINAL_MIN || c->skipping;
}

static int on_complete (http_parser *parser) {
  mt_http_call_t *c = parser->data;
  if (c->closing) return 0;
  if (!is_skipped(c))
    c->keep = http_should_keep_alive(parser) && c->skipped == 0;
  http_parser_pause(parser, 1);
  return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_begin,
    .on_header_field = on_name,
    .on_header_value = on_value,
    .on_headers_complete = on_headers,
    .on_body = on_body,
    .on_chunk_header = on_chunk,
    .on_message_complete = on_complete};

/* The end of the response, or of its trailer, is missing. A body that is
   whole is not lost with it. */
static void end_endless (mt_http_call_t *c) {
  c->keep = false;
  if (c->whole_at != 0)
    finish(c);
  else
    fail(c, MT_HTTP_MALFORMED);
}

/* True if the server sends what is no response without an end. */
static bool is_endless (const mt_http_call_t *c) {
  return c->overhead > OVERHEAD_MAX_BYTES + OVERHEAD_PER_BYTE * c->body ||
         c->skipped_bytes > SKIPPED_MAX_BYTES;
}

static bool is_digit (char c) {
  return c >= '0' && c <= '9';
}

static status_part_t next_part (status_line_t *line, char c) {
  switch (line->part) {
    case PART_BEGIN:
      return c == '\r' || c == '\n' ? PART_BEGIN : PART_VERSION;
    case PART_VERSION: return c == ' ' ? PART_STATUS : PART_VERSION;
    case PART_STATUS:
      if (c == ' ' && line->digits == 0) return PART_STATUS;
      line->digits += is_digit(c);
      return is_digit(c) ? PART_STATUS : PART_REST;
    case PART_REST: break;
  }
  return PART_REST;
}

static void scan_status_line (status_line_t *line, const char *p, size_t n) {
  for (size_t i = 0; i < n && line->part != PART_REST; i++)
    line->part = next_part(line, p[i]);
}

/* Parses bytes of one response; returns the number of bytes up to its end. */
static size_t parse_response (mt_http_call_t *c, const char *p, size_t n) {
  scan_status_line(&c->line, p, n);
  size_t used = http_parser_execute(&c->parser, &parser_settings, p, n);
  if (c->closing) return n;
  switch (HTTP_PARSER_ERRNO(&c->parser)) {
    case HPE_OK: break;
    case HPE_HEADER_OVERFLOW: end_endless(c); return n;
    case HPE_PAUSED:
      http_parser_pause(&c->parser, 0);
      c->line = (status_line_t){PART_BEGIN, 0};
      if (is_skipped(c)) break;
      if (used < n) c->keep = false;
      finish(c);
      return n;
    default: fail(c, MT_HTTP_MALFORMED); return n;
  }
  if (!is_endless(c)) return used;
  end_endless(c);
  return n;
}

/* Parses bytes of the response, and of those that are skipped before it. A
   connection with bytes beyond its end is not reused. */
static void parse (mt_http_call_t *c, const char *p, size_t n) {
  c->overhead += n;
  while (n > 0) {
    size_t used = parse_response(c, p, n);
    p += used;
    n -= used;
  }
}

/* }== */

/* {== Reading and writing ============================================== */

static void on_alloc (uv_handle_t *h, size_t hint, uv_buf_t *buf) {
  mt_http_call_t *c = h->data;
  *buf = uv_buf_init(c->client->input, READ_BYTES);
}

/*
** True if the server closed its side in order. After a read that took all
** data libuv also reports the end of input for a connection that was reset:
** the socket then has an error.
*/
static bool has_ended_in_order (const mt_http_call_t *c) {
  uv_os_fd_t fd;
  char byte;
  return uv_fileno((const uv_handle_t *)&c->tcp, &fd) == 0 &&
         recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/* This ends a response without a length, if the server closed in order. */
static void on_end_of_input (mt_http_call_t *c) {
  bool may_complete = c->busy && c->until_close && !c->skipping;
  if (may_complete && has_ended_in_order(c)) {
    http_parser_execute(&c->parser, &parser_settings, "", 0);
    if (c->closing) return;
    if (HTTP_PARSER_ERRNO(&c->parser) == HPE_PAUSED) {
      c->keep = false;
      finish(c);
      return;
    }
  }
  fail(c, MT_HTTP_CLOSED);
}

static void on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf) {
  mt_http_call_t *c = stream->data;
  if (n == 0) return;
  if (n == UV_EOF)
    on_end_of_input(c);
  else if (n < 0)
    fail(c, MT_HTTP_CLOSED);
  else if (!c->busy)
    close_connection(c); /* data without a request */
  else
    parse(c, buf->base, (size_t)n);
}

static void on_written (uv_write_t *req, int status) {
  pending_write_t *w = (pending_write_t *)req;
  mt_http_call_t *c = w->call;
  mt_shared_bytes_unref(w->bytes);
  free(w);
  c->writing--;
  if (status < 0 && !c->closing) fail(c, MT_HTTP_CLOSED);
}

/* Writes what follows the first `done` bytes; takes over the reference. */
static void write_later (mt_http_call_t *c, mt_shared_bytes_t *bytes,
                         size_t done) {
  pending_write_t *w = mtV_new(sizeof *w);
  w->call = c;
  w->bytes = bytes;
  uv_buf_t buf = uv_buf_init(bytes->p + done, (unsigned)(bytes->n - done));
  c->writing++;
  if (uv_write(&w->req, (uv_stream_t *)&c->tcp, &buf, 1, on_written) == 0)
    return;
  c->writing--;
  mt_shared_bytes_unref(bytes);
  free(w);
}

/* Takes over the reference to the body. */
static void send_request (mt_http_call_t *c, mt_bytes_t head,
                          mt_shared_bytes_t *body) {
  size_t size = body != NULL ? body->n : 0;
  uv_buf_t bufs[2] = {uv_buf_init((char *)head.p, (unsigned)head.n),
                      uv_buf_init(size > 0 ? body->p : NULL, (unsigned)size)};
  int written = uv_try_write((uv_stream_t *)&c->tcp, bufs, size ? 2 : 1);
  size_t done = written > 0 ? (size_t)written : 0;
  if (done < head.n) {
    write_later(c, mt_shared_bytes_copy(head), done);
    done = head.n;
  }
  if (done < head.n + size)
    write_later(c, body, done - head.n);
  else
    mt_shared_bytes_unref(body);
}

static void begin_response (mt_http_call_t *c) {
  http_parser_init(&c->parser, HTTP_RESPONSE);
  c->parser.data = c;
  c->line = (status_line_t){PART_BEGIN, 0};
  c->head_fault = MT_HTTP_HEAD_SOUND;
  c->skipped = 0;
  c->skipped_bytes = c->overhead = c->body = 0;
  c->whole_at = 0;
  c->skipping = false;
  c->until_close = false;
  c->keep = false;
  c->head_received = false;
  c->lingering = c->discarding = false;
  c->closes_at = 0;
}

static void end_probe (mt_http_call_t *c) {
  void *ud = c->ud;
  c->probing = false;
  c->idle_limit = c->client->options.idle_ms;
  add_idle(c);
  c->client->handler.probed(ud, c->key, MT_HTTP_CONNECTED);
}

static void on_connected (uv_connect_t *req, int status) {
  mt_http_call_t *c = req->data;
  if (c->closing) return;
  if (status < 0) {
    c->refused = status == UV_ECONNREFUSED;
    fail(c, MT_HTTP_NOT_SENT);
    return;
  }
  c->connected = true;
  uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
  if (c->probing) {
    end_probe(c);
    return;
  }
  send_request(c, (mt_bytes_t){c->request, c->request_size}, c->request_body);
  free(c->request);
  c->request = NULL;
  c->request_body = NULL;
  if (c->client->handler.sent != NULL) c->client->handler.sent(c->ud, c);
}

/* }== */

/* {== Calls ============================================================ */

/* False when the server has closed the connection or sent anything on it: the
   loop may have been held up and not have read that yet. */
static bool is_quiet (const mt_http_call_t *c) {
  uv_os_fd_t fd;
  char byte;
  return uv_fileno((const uv_handle_t *)&c->tcp, &fd) == 0 &&
         recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

/* The idle connection used last: the server is least likely to have closed
   that one. */
static mt_http_call_t *take_idle (mt_http_client_t *client, uint64_t key,
                                  mt_ms_t max_idle_ms) {
  mt_ms_t now = mt_boot_clock_now(client->loop);
  mt_http_call_t *c;
  while ((c = mtV_get(&client->idle, key)) != NULL && !is_quiet(c))
    close_connection(c);
  if (c == NULL || now - c->since >= mt_min(c->idle_limit, max_idle_ms))
    return NULL;
  remove_idle(c);
  return c;
}

/* Sends small writes at once; ends a connection whose data stays
   unacknowledged. */
static void set_socket_options (mt_http_call_t *c) {
  uv_os_fd_t fd;
  int timeout = (int)c->client->options.user_timeout;
  int receive_buffer = RECEIVE_BUFFER_BYTES;
  uv_tcp_nodelay(&c->tcp, 1);
  uv_recv_buffer_size((uv_handle_t *)&c->tcp, &receive_buffer);
  if (uv_fileno((uv_handle_t *)&c->tcp, &fd) != 0) return;
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
}

/* A connection attempt that fails at once is reported by the next tick. */
static mt_http_call_t *connect_to (mt_http_client_t *client,
                                   const mt_http_endpoint_t *endpoint) {
  struct sockaddr_in addr;
  mt_http_call_t *c = mtV_new(sizeof *c);
  c->client = client;
  c->key = endpoint->key;
  c->next = client->all;
  if (c->next) c->next->prev = c;
  client->all = c;
  client->count++;
  client->opened++;
  c->since = mt_boot_clock_now(client->loop);
  uv_tcp_init(client->loop, &c->tcp);
  c->tcp.data = c;
  c->connect.data = c;
  if (uv_ip4_addr(endpoint->ip, endpoint->port, &addr) == 0 &&
      uv_tcp_connect(&c->connect, &c->tcp, (const struct sockaddr *)&addr,
                     on_connected) == 0)
    set_socket_options(c);
  else
    c->since = 0;
  return c;
}

/* Closes the connection that has been idle longest, of any endpoint. */
static void close_oldest_idle (mt_http_client_t *client) {
  mt_http_call_t *oldest = NULL;
  for (mt_http_call_t *c = client->all; c != NULL; c = c->next) {
    if (c->busy || c->probing) continue;
    if (oldest == NULL || c->since <= oldest->since) oldest = c;
  }
  if (oldest != NULL) close_connection(oldest);
}

static void make_room (mt_http_client_t *client) {
  size_t max = client->options.connections;
  if (max > 0 && client->count >= max) close_oldest_idle(client);
}

static void save_request (mt_http_call_t *c, mt_bytes_t head,
                          mt_shared_bytes_t *body) {
  c->request_size = head.n;
  c->request = mtV_new(head.n + 1);
  memcpy(c->request, head.p, head.n);
  c->request_body = body;
}

mt_http_call_t *mt_http_client_call_shared (
    mt_http_client_t *client, const mt_http_endpoint_t *endpoint,
    mt_bytes_t head, mt_shared_bytes_t *body, mt_ms_t max_idle_ms, void *ud) {
  mt_http_call_t *c = take_idle(client, endpoint->key, max_idle_ms);
  bool reused = c != NULL;
  if (!reused) {
    make_room(client);
    c = connect_to(client, endpoint);
  }
  c->busy = true;
  c->ud = ud;
  begin_response(c);
  if (reused)
    send_request(c, head, body);
  else
    save_request(c, head, body);
  return c;
}

mt_http_call_t *mt_http_client_call (mt_http_client_t *client,
                                     const mt_http_endpoint_t *endpoint,
                                     mt_bytes_t head, mt_bytes_t body,
                                     mt_ms_t max_idle_ms, void *ud) {
  mt_shared_bytes_t *copy = body.n > 0 ? mt_shared_bytes_copy(body) : NULL;
  return mt_http_client_call_shared(client, endpoint, head, copy, max_idle_ms,
                                    ud);
}

void mt_http_client_probe (mt_http_client_t *client,
                           const mt_http_endpoint_t *endpoint, void *ud) {
  make_room(client);
  mt_http_call_t *c = connect_to(client, endpoint);
  c->probing = true;
  c->ud = ud;
}

void mt_http_call_cancel (mt_http_call_t *c) {
  close_connection(c);
}

bool mt_http_call_linger (mt_http_call_t *c, mt_ms_t ms) {
  if (c->closing || !c->connected || c->writing > 0 || c->head_received)
    return false;
  mt_http_call_pause(c, false);
  c->lingering = true;
  c->closes_at = mt_boot_clock_now(c->client->loop) + ms;
  return true;
}

void mt_http_call_discard (mt_http_call_t *c, mt_ms_t ms, size_t max) {
  if (c->closing || c->discarding) return;
  mt_http_call_pause(c, false);
  c->discarding = true;
  c->discard_max = max;
  c->closes_at = mt_boot_clock_now(c->client->loop) + ms;
}

bool mt_http_call_is_sent (const mt_http_call_t *c) {
  return c->connected;
}

bool mt_http_call_was_refused (const mt_http_call_t *c) {
  return c->refused;
}

mt_http_head_fault_t mt_http_call_head_fault (const mt_http_call_t *c,
                                              mt_bytes_t *name) {
  *name = mt_http_headers_invalid_name(&c->headers);
  return c->head_fault;
}

const char *mt_http_head_fault_name (mt_http_head_fault_t fault) {
  switch (fault) {
    case MT_HTTP_HEAD_STATUS: return "status";
    case MT_HTTP_HEAD_NAME: return "name";
    case MT_HTTP_HEAD_SOUND:
    case MT_HTTP_HEAD_FAULTS: break;
  }
  return "";
}

bool mt_http_call_is_framed (const mt_http_call_t *c) {
  return !c->until_close;
}

void mt_http_call_pause (mt_http_call_t *c, bool pause) {
  if (c->closing || !c->connected || c->paused == pause) return;
  c->paused = pause;
  if (pause)
    uv_read_stop((uv_stream_t *)&c->tcp);
  else
    uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
}

bool mt_http_call_is_paused (const mt_http_call_t *c) {
  return c->paused;
}

/* }== */

/* {== The client ======================================================= */

mt_http_client_t *
mt_http_client_open (uv_loop_t *loop, const mt_http_client_options_t *options,
                     const mt_http_call_handler_t *handler) {
  mt_http_client_t *client = mtV_new(sizeof *client);
  client->loop = loop;
  client->options = *options;
  client->handler = *handler;
  return client;
}

/* Connections are freed in the loop's next iterations. */
void mt_http_client_set_budget (mt_http_client_t *client,
                                mt_memory_budget_t *budget) {
  client->budget = budget;
}

void mt_http_client_close (mt_http_client_t *client) {
  while (client->all != NULL) {
    if (client->all->closes_at != 0)
      fail(client->all, MT_HTTP_CLOSED);
    else
      close_connection(client->all);
  }
  mtV_free(&client->idle);
  free(client);
}

void mt_http_client_close_idle (mt_http_client_t *client, uint64_t key) {
  mt_http_call_t *c;
  while ((c = mtV_get(&client->idle, key)) != NULL) close_connection(c);
}

static size_t paused_bytes (const mt_http_call_t *c) {
  uv_os_fd_t fd;
  int bytes = 0;
  if (!c->paused || uv_fileno((const uv_handle_t *)&c->tcp, &fd) != 0 ||
      ioctl(fd, FIONREAD, &bytes) != 0)
    return 0;
  return (size_t)bytes;
}

static void count_unread (mt_http_client_t *client) {
  size_t unread = 0;
  if (client->budget == NULL) return;
  for (mt_http_call_t *c = client->all; c != NULL; c = c->next)
    unread += paused_bytes(c);
  mt_memory_set(client->budget, MT_MEMORY_UNREAD, &client->unread, unread);
}

void mt_http_client_tick (mt_http_client_t *client) {
  mt_ms_t now = mt_boot_clock_now(client->loop);
  /* A connection made while the loop was blocked is reported only after this
     tick. Up to the previous tick all events have been processed, so only a
     limit that had passed by then counts as exceeded. */
  mt_ms_t previous = client->last_tick;
  mt_http_call_t *next;
  for (mt_http_call_t *c = client->all; c != NULL; c = next) {
    next = c->next;
    bool timed_out = previous > c->since + client->options.connect_ms;
    if (!c->connected && timed_out)
      fail(c, MT_HTTP_NOT_SENT);
    else if (c->connected && !c->busy && now - c->since > c->idle_limit)
      close_connection(c);
    else if (c->busy && c->closes_at != 0 && previous >= c->closes_at)
      fail(c, MT_HTTP_CLOSED);
    else if (c->busy && c->whole_at != 0 &&
             previous >= c->whole_at + TRAILER_MS)
      end_endless(c);
  }
  count_unread(client);
  client->last_tick = now;
}

uint64_t mt_http_client_opened (const mt_http_client_t *client) {
  return client->opened;
}

uint64_t mt_http_client_skipped (const mt_http_client_t *client) {
  return client->skipped;
}

uint64_t mt_http_client_head_faults (const mt_http_client_t *client,
                                     mt_http_head_fault_t fault) {
  return client->head_faults[fault];
}

size_t mt_http_client_connections (const mt_http_client_t *client) {
  return client->count;
}

/* }== */
