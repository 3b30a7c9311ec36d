/*
** http_client.h - HTTP/1.1 calls with kept connections, on http-parser
**
** Connections belong to an endpoint: one incarnation of one server. They are
** never shared between endpoints, so an address that is given to another
** server gets nothing that was meant for the first. A connection on which
** anything unexpected happened is not used again.
*/
#ifndef http_client_h
#define http_client_h

#include <uv.h>

#include "http_headers.h"

typedef struct mt_http_client_t mt_http_client_t;
typedef struct mt_http_call_t mt_http_call_t;

/* Why a call ended without a whole answer. */
typedef enum mt_http_failure_t {
  MT_HTTP_NOT_SENT, /* no connection came up: no byte of it went out */
  MT_HTTP_CLOSED,   /* the connection ended; part of an answer may be there */
  MT_HTTP_GARBLED   /* what came is no answer in the protocol */
} mt_http_failure_t;

/* How a try to connect ended. */
typedef enum mt_http_probe_t {
  MT_HTTP_UP,
  MT_HTTP_REFUSED, /* the machine is there, and nobody listens */
  MT_HTTP_LOST     /* nothing came back, or something on the way failed */
} mt_http_probe_t;

typedef struct mt_http_call_handler_t {
  /* The connection is up and the request goes out on it; may be NULL. */
  void (*sent)(void *ud, mt_http_call_t *call);
  /*
  ** Status and header fields; false: the answer is not this call's, but a
  ** surplus one of an earlier call, and is passed over.
  */
  bool (*head)(void *ud, mt_http_call_t *call, int status,
               const mt_http_headers_t *headers);
  void (*data)(void *ud, mt_http_call_t *call, const char *p, size_t n);
  /* END and FAILED are the last; the call is gone afterwards. */
  void (*end)(void *ud, mt_http_call_t *call);
  void (*failed)(void *ud, mt_http_call_t *call, mt_http_failure_t why);
  /* How a probe ended; NULL if none is made. */
  void (*probed)(void *ud, uint64_t endpoint, mt_http_probe_t how);
} mt_http_call_handler_t;

typedef struct mt_http_endpoint_t {
  uint64_t key; /* names the incarnation; never 0 */
  const char *ip;
  uint16_t port;
} mt_http_endpoint_t;

typedef struct mt_http_client_options_t {
  mt_ms_t connect_ms; /* longest wait for a connection */
  mt_ms_t idle_ms;    /* a kept connection rests no longer than this */
  size_t
      connections; /* beyond so many a resting one gives way; 0: no bound */
  unsigned user_timeout; /* ms that sent bytes may stay unacknowledged */
} mt_http_client_options_t;

mt_http_client_t *
mt_http_client_open (uv_loop_t *loop, const mt_http_client_options_t *options,
                     const mt_http_call_handler_t *handler);
void mt_http_client_close (mt_http_client_t *client);

/*
** Begins a call; head and body are copied. No callback comes before this
** returns, nor `sent` for a call on a kept connection. A kept one is taken
** only if it has rested for less than `rested_ms`.
*/
mt_http_call_t *mt_http_client_call (mt_http_client_t *client,
                                     const mt_http_endpoint_t *endpoint,
                                     mt_bytes_t head, mt_bytes_t body,
                                     mt_ms_t rested_ms, void *ud);

/* Tries to connect, for no call; a connection that comes up is kept. */
void mt_http_client_probe (mt_http_client_t *client,
                           const mt_http_endpoint_t *endpoint, void *ud);

/* Ends a call at once and its connection with it; no further callback. */
void mt_http_call_cancel (mt_http_call_t *call);

/*
** Ends a call, but waits up to `ms` for the head of its answer, which may say
** something of the server. HEAD comes at most once more, then FAILED. False,
** and nothing is done, where no such head can come: the request has not gone
** out whole, or the answer has begun.
*/
bool mt_http_call_linger (mt_http_call_t *call, mt_ms_t ms);

/* True when bytes of the request may have gone out. */
bool mt_http_call_is_sent (const mt_http_call_t *call);

/*
** False when only the end of the connection ends the answer at hand: whether
** it is whole cannot be told then.
*/
bool mt_http_call_is_framed (const mt_http_call_t *call);

/* Stops and resumes reading the answer, for a slow reader behind it. */
void mt_http_call_pause (mt_http_call_t *call, bool pause);

/* Closes the resting connections of an endpoint that is gone. */
void mt_http_client_forget (mt_http_client_t *client, uint64_t key);

/* Enforces the time limits; to be called some times a second. */
void mt_http_client_tick (mt_http_client_t *client);

/* Connections opened since the start, and those that exist. */
uint64_t mt_http_client_opened (const mt_http_client_t *client);
size_t mt_http_client_connections (const mt_http_client_t *client);

#endif
