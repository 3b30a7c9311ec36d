/*
** http_server.h - an HTTP/1.1 server on libuv and http-parser
**
** A request is passed to the handler once it is complete. Until its response
** is complete the connection is still read, so that a caller that disconnects
** is noticed at once; pipelined requests are buffered, up to a limit.
** Responses are buffered and written once per iteration of the loop.
**
** What callers make the server hold counts in a memory budget. Where a
** request finds no room, the one that has stalled longest is refused for it,
** or else the request itself, with 503: neither has run. In an iteration of
** the loop a connection has no more than its share of the input that is read.
**
** No connection is closed for its age or to make room while input lies unread
** in it: the loop may have been held up, and a request in it came in time.
**
** A response whose body ends with the connection is complete if the
** connection ends in order. Until its handler has completed it, the
** connection ends by a reset, whatever ends it: an abort, the caller's own
** close, the server's end or that of the process, which may be killed. What
** the caller has not received by then is lost; it learns of the cut at once.
*/
#ifndef http_server_h
#define http_server_h

#include <uv.h>

#include "http_headers.h"
#include "shared_bytes.h"

typedef struct mt_http_server_t mt_http_server_t;

/* One request and its response; ends with the response or with `gone`. */
typedef struct mt_http_exchange_t mt_http_exchange_t;

typedef struct mt_http_server_limits_t {
  uint32_t header_bytes; /* beyond: 431 */
  uint32_t body_bytes;   /* beyond: 413 */
  mt_ms_t header_ms; /* from first byte to complete request; beyond: 408 */
  mt_ms_t idle_ms;   /* between requests; beyond: closed */
} mt_http_server_limits_t;

/* Why the server reads no more requests of a connection. */
typedef enum mt_http_close_t {
  MT_HTTP_CLOSE_CALLER,      /* the caller closed it, or it failed */
  MT_HTTP_CLOSE_ANSWERED,    /* after a response that says so */
  MT_HTTP_CLOSE_IDLE,        /* no request within the idle time */
  MT_HTTP_CLOSE_INVALID,     /* a request was refused: 400, 413, 431 */
  MT_HTTP_CLOSE_LATE,        /* a request was not complete in time: 408 */
  MT_HTTP_CLOSE_EVICTED,     /* idle, at the limit of connections */
  MT_HTTP_CLOSE_DESCRIPTORS, /* idle, and no descriptor was left */
  MT_HTTP_CLOSE_FULL,        /* new, at a limit, and none was idle */
  MT_HTTP_CLOSE_STALLED,     /* its request stood still, and others need its
                                place or its memory */
  MT_HTTP_CLOSE_MEMORY,      /* no memory is left for it */
  MT_HTTP_CLOSE_STOPPING,    /* idle, and the server stops */
  MT_HTTP_CLOSE_ABORTED,     /* by the handler, before the response's end */
  MT_HTTP_CLOSE_SERVER,      /* the server was closed */
  MT_HTTP_CLOSES
} mt_http_close_t;

const char *mt_http_close_name (mt_http_close_t why);

typedef struct mt_http_closes_t {
  uint64_t total[MT_HTTP_CLOSES];
  /* Of these, with input that the server had not read; not counted where the
     caller closed or its request was invalid. */
  uint64_t unread[MT_HTTP_CLOSES];
} mt_http_closes_t;

typedef struct mt_http_server_handler_t {
  /* A complete request, to be answered now or later. */
  void (*request)(void *ud, mt_http_exchange_t *exchange);
  /* The caller disconnected before its response was complete; the exchange is
     not valid afterwards. */
  void (*gone)(void *ud, mt_http_exchange_t *exchange);
  /* All data written so far has been passed to the kernel. */
  void (*drained)(void *ud, mt_http_exchange_t *exchange);
  /* The server gave up a connection with `unread` bytes of input that it had
     not read; may be NULL. */
  void (*lost)(void *ud, mt_http_close_t why, size_t unread);
} mt_http_server_handler_t;

/* What protects a server from its callers. */
typedef struct mt_http_server_guard_t {
  /* Shared with other servers; NULL: the server has one of its own. */
  mt_memory_budget_t *budget;
  /*
  ** The head of a request with a large body has come, but not all of the
  ** body. True if the request is refused whatever that is: `request` is then
  ** called at once and must complete the response. May be NULL.
  */
  bool (*refuses)(void *ud, mt_http_exchange_t *exchange);
  /* A connection of `peer` (IP:PORT) is closed, or its request refused, as
     MT_HTTP_CLOSE_STALLED or _MEMORY; may be NULL. */
  void (*denied)(void *ud, mt_http_close_t why, const char *peer);
} mt_http_server_guard_t;

/* Listens; NULL and an error in `reason` when that fails. Port 0 picks a free
   port. */
mt_http_server_t *
mt_http_server_open (uv_loop_t *loop, const char *ip, uint16_t port,
                     const mt_http_server_handler_t *handler, void *ud,
                     char *reason, size_t size);
/* To be called before there are connections. */
void mt_http_server_set_guard (mt_http_server_t *server,
                               const mt_http_server_guard_t *guard);
uint16_t mt_http_server_port (const mt_http_server_t *server);
/* Wider limits hold at once. Narrower ones hold for a connection from its
   next response on: callers keep it, and send, by those that they know. */
void mt_http_server_set_limits (mt_http_server_t *server,
                                const mt_http_server_limits_t *limits);
/* Changes the limit of bodies alone. */
void mt_http_server_set_max_body (mt_http_server_t *server, uint32_t bytes);
size_t mt_http_server_connections (const mt_http_server_t *server);
/* Connections accepted since the start. */
uint64_t mt_http_server_accepted (const mt_http_server_t *server);
/* Connections closed since the start, by reason. */
const mt_http_closes_t *
mt_http_server_closes (const mt_http_server_t *server);

/*
** Limits the number of connections; 0: no limit. A further one takes the
** place of a request that has stalled, or of the connection that has been
** idle longest; if there is none it is closed unread.
*/
void mt_http_server_set_max_connections (mt_http_server_t *server,
                                         size_t connections);

/* True if there is no connection, nor one that waits to be accepted. */
bool mt_http_server_is_empty (const mt_http_server_t *server);

/* Sets whether each response closes its connection from now on, unless a
   further request has come on it. */
void mt_http_server_drain (mt_http_server_t *server, bool drain);

/* Closes the connections that have no request in progress, nor any input, and
   have had none for a moment. */
void mt_http_server_close_idle (mt_http_server_t *server);

/* Accepts no more connections; existing ones go on. */
void mt_http_server_stop (mt_http_server_t *server);

/* Enforces the time limits and closes connections that have been shut down;
   call it several times a second. */
void mt_http_server_tick (mt_http_server_t *server);

/* Closes the listener and all connections; the loop's next iterations free
   the memory. */
void mt_http_server_close (mt_http_server_t *server);

/* {== The request ====================================================== */

mt_bytes_t mt_http_exchange_method (const mt_http_exchange_t *exchange);
mt_bytes_t mt_http_exchange_target (const mt_http_exchange_t *exchange);
mt_bytes_t mt_http_exchange_body (const mt_http_exchange_t *exchange);
/* A new reference to the body; NULL if there is none. */
mt_shared_bytes_t *
mt_http_exchange_share_body (const mt_http_exchange_t *exchange);
const mt_http_headers_t *
mt_http_exchange_headers (const mt_http_exchange_t *exchange);
/* False if it is refused by its head, and its body is not read. */
bool mt_http_exchange_has_body (const mt_http_exchange_t *exchange);
/* A pointer for use by the handler; NULL at first. */
void *mt_http_exchange_user (const mt_http_exchange_t *exchange);
void mt_http_exchange_set_user (mt_http_exchange_t *exchange, void *user);
/*
** Checks the socket: the caller may have disconnected without the loop having
** noticed yet. False when it has disconnected: `gone` has been called, and
** the exchange is no longer valid.
*/
bool mt_http_exchange_check_connected (mt_http_exchange_t *exchange);

/* }== */

/* {== The response ===================================================== */

#define MT_HTTP_CHUNKED (-1)
/* The body ends with the connection. */
#define MT_HTTP_UNTIL_CLOSE (-2)

/*
** Starts a response. `lines` are complete header lines, each with CRLF;
** `length` is the size of the body in bytes, or one of the above.
*/
void mt_http_exchange_head (mt_http_exchange_t *exchange, int status,
                            const char *lines, size_t lines_size,
                            int64_t length);
void mt_http_exchange_data (mt_http_exchange_t *exchange, const char *p,
                            size_t n);
/* Completes the response; the exchange is not valid afterwards. */
void mt_http_exchange_end (mt_http_exchange_t *exchange);
/* Closes the connection before the response is complete, without waiting for
   data that the kernel does not accept at once; `gone` is not called. */
void mt_http_exchange_abort (mt_http_exchange_t *exchange);
/* Bytes of responses that are still to be passed to the kernel. */
size_t mt_http_exchange_backlog (const mt_http_exchange_t *exchange);

/* }== */

#endif
