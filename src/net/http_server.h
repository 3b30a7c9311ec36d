/*
** http_server.h - an HTTP/1.1 listener, on http-parser over libuv
**
** A request is handed over once it is whole. While its answer is awaited the
** connection is still read, so that a caller that leaves is noticed at once;
** what it sends ahead is kept, up to a limit, for after the answer.
** Answers are gathered and written once per turn of the loop.
*/
#ifndef http_server_h
#define http_server_h

#include <uv.h>

#include "http_headers.h"

typedef struct mt_http_server_t mt_http_server_t;

/* One request and its answer; it ends with the answer or with `gone`. */
typedef struct mt_http_exchange_t mt_http_exchange_t;

typedef struct mt_http_server_limits_t {
  uint32_t header_bytes; /* beyond: 431 */
  uint32_t body_bytes;   /* beyond: 413 */
  mt_ms_t header_ms;     /* from the first byte to the last: else 408 */
  mt_ms_t idle_ms;       /* between requests: the connection is closed */
} mt_http_server_limits_t;

typedef struct mt_http_server_handler_t {
  /* A whole request; it is answered now or later. */
  void (*request)(void *ud, mt_http_exchange_t *exchange);
  /* The caller left before its answer was through; never used again. */
  void (*gone)(void *ud, mt_http_exchange_t *exchange);
  /* All that was written has been handed to the system. */
  void (*drained)(void *ud, mt_http_exchange_t *exchange);
} mt_http_server_handler_t;

/* Listens; NULL and a reason when that fails. Port 0 takes a free one. */
mt_http_server_t *
mt_http_server_open (uv_loop_t *loop, const char *ip, uint16_t port,
                     const mt_http_server_handler_t *handler, void *ud,
                     char *reason, size_t size);
uint16_t mt_http_server_port (const mt_http_server_t *server);
void mt_http_server_limits (mt_http_server_t *server,
                            const mt_http_server_limits_t *limits);
size_t mt_http_server_connections (const mt_http_server_t *server);

/*
** Holds at most so many connections: a further one takes the place of that
** which has been idle longest; where none is idle it is closed unread.
*/
void mt_http_server_set_most (mt_http_server_t *server, size_t connections);

/* Whether each answer ends its connection from now on. */
void mt_http_server_drain (mt_http_server_t *server, bool drain);

/* Closes the connections that hold no request and no part of one. */
void mt_http_server_close_idle (mt_http_server_t *server);

/* Takes no more connections; those at hand are finished. */
void mt_http_server_stop (mt_http_server_t *server);

/* Enforces the time limits; to be called some times a second. */
void mt_http_server_tick (mt_http_server_t *server);

/* Closes listener and connections; memory goes with the loop's next turns. */
void mt_http_server_close (mt_http_server_t *server);

/* {== The request ====================================================== */

mt_bytes_t mt_http_exchange_method (const mt_http_exchange_t *exchange);
mt_bytes_t mt_http_exchange_target (const mt_http_exchange_t *exchange);
mt_bytes_t mt_http_exchange_body (const mt_http_exchange_t *exchange);
const mt_http_headers_t *
mt_http_exchange_headers (const mt_http_exchange_t *exchange);
/* The handler's own pointer, kept with the exchange. */
void *mt_http_exchange_user (const mt_http_exchange_t *exchange);
void mt_http_exchange_set_user (mt_http_exchange_t *exchange, void *user);
/*
** Looks whether the caller has closed its connection, which the loop may not
** have come to yet. False when it has: `gone` has been called, and the
** exchange is not to be used again.
*/
bool mt_http_exchange_look (mt_http_exchange_t *exchange);

/* }== */

/* {== The answer ======================================================= */

#define MT_HTTP_CHUNKED (-1)
/* The end of the connection ends the body. */
#define MT_HTTP_UNTIL_CLOSE (-2)

/*
** Starts an answer. `lines` are whole header lines, each with CRLF; `length`
** is that of the body, or one of the above.
*/
void mt_http_exchange_head (mt_http_exchange_t *exchange, int status,
                            const char *lines, size_t lines_size,
                            int64_t length);
void mt_http_exchange_data (mt_http_exchange_t *exchange, const char *p,
                            size_t n);
/* The answer is whole; the exchange is not to be used again. */
void mt_http_exchange_end (mt_http_exchange_t *exchange);
/* Cuts the connection: the answer cannot be completed. No call of `gone`. */
void mt_http_exchange_abort (mt_http_exchange_t *exchange);
/* Bytes of answers that the caller has not taken yet. */
size_t mt_http_exchange_backlog (const mt_http_exchange_t *exchange);

/* }== */

#endif
