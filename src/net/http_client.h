/*
** http_client.h - HTTP/1.1 client with keep-alive, on libuv and http-parser
**
** Connections belong to an endpoint: one incarnation of one server. They are
** never shared between endpoints, so when an address is reassigned, the new
** server gets nothing that was meant for the old one. A connection on which
** anything unexpected happened is not reused.
*/
#ifndef http_client_h
#define http_client_h

#include <uv.h>

#include "http_headers.h"
#include "shared_bytes.h"

typedef struct mt_http_client_t mt_http_client_t;
typedef struct mt_http_call_t mt_http_call_t;

/* Why a call ended without a complete response. */
typedef enum mt_http_failure_t {
  MT_HTTP_NOT_SENT, /* no connection was made: no byte was sent */
  MT_HTTP_CLOSED,   /* the connection ended, perhaps during the response */
  MT_HTTP_MALFORMED /* the response is not valid HTTP, or has no end */
} mt_http_failure_t;

/* Why the head of a response is none. */
typedef enum mt_http_head_fault_t {
  MT_HTTP_HEAD_SOUND,  /* or it has not come, or is no HTTP at all */
  MT_HTTP_HEAD_STATUS, /* not a status of HTTP, or an interim one that has a
                          body */
  MT_HTTP_HEAD_NAME,   /* a field's name is none */
  MT_HTTP_HEAD_FAULTS
} mt_http_head_fault_t;

/* Result of a probe, an attempt to connect. */
typedef enum mt_http_probe_t {
  MT_HTTP_CONNECTED,
  MT_HTTP_REFUSED,    /* the box answers, but nothing listens on the port */
  MT_HTTP_UNREACHABLE /* no reply, or a network error */
} mt_http_probe_t;

typedef struct mt_http_call_handler_t {
  /* A new connection is made and the request is being sent; may be NULL. */
  void (*sent)(void *ud, mt_http_call_t *call);
  /*
  ** Status and header fields of a response. False skips the response: it does
  ** not belong to this call. The call fails if its own cannot follow, and the
  ** connection is not reused.
  */
  bool (*head)(void *ud, mt_http_call_t *call, int status,
               const mt_http_headers_t *headers);
  /* A piece of the body. */
  void (*data)(void *ud, mt_http_call_t *call, const char *p, size_t n);
  /* The last callback is `end`, after a complete response, or `failed`; the
     call is not valid afterwards. */
  void (*end)(void *ud, mt_http_call_t *call);
  void (*failed)(void *ud, mt_http_call_t *call, mt_http_failure_t failure);
  /* The result of a probe; may be NULL if the client makes none. */
  void (*probed)(void *ud, uint64_t endpoint, mt_http_probe_t result);
} mt_http_call_handler_t;

typedef struct mt_http_endpoint_t {
  uint64_t key; /* identifies the incarnation; never 0 */
  const char *ip;
  uint16_t port;
} mt_http_endpoint_t;

typedef struct mt_http_client_options_t {
  mt_ms_t connect_ms;    /* limit for connecting */
  mt_ms_t idle_ms;       /* idle connections are closed after this time */
  size_t connections;    /* at this number an idle one is evicted; 0: never */
  unsigned user_timeout; /* TCP_USER_TIMEOUT, ms: for unacknowledged data */
} mt_http_client_options_t;

mt_http_client_t *
mt_http_client_open (uv_loop_t *loop, const mt_http_client_options_t *options,
                     const mt_http_call_handler_t *handler);
/* The budget that counts what lies unread in connections whose reading is
   paused; it is counted nowhere before. */
void mt_http_client_set_budget (mt_http_client_t *client,
                                mt_memory_budget_t *budget);
/* Closes all connections; of the calls only those that linger or whose body
   is discarded get `failed`. */
void mt_http_client_close (mt_http_client_t *client);

/*
** Starts a call; head and body are copied. No callback comes before this
** returns, and `sent` only for a new connection. An idle connection is reused
** only if it has been idle for less than `max_idle_ms`.
*/
mt_http_call_t *mt_http_client_call (mt_http_client_t *client,
                                     const mt_http_endpoint_t *endpoint,
                                     mt_bytes_t head, mt_bytes_t body,
                                     mt_ms_t max_idle_ms, void *ud);

/* The same, with a reference to the body that the call takes over; NULL: no
   body. */
mt_http_call_t *mt_http_client_call_shared (
    mt_http_client_t *client, const mt_http_endpoint_t *endpoint,
    mt_bytes_t head, mt_shared_bytes_t *body, mt_ms_t max_idle_ms, void *ud);

/* Connects without a call, to see if the server can be reached; a connection
   that is made is kept as idle. */
void mt_http_client_probe (mt_http_client_t *client,
                           const mt_http_endpoint_t *endpoint, void *ud);

/* Ends a call and closes its connection; no further callbacks. */
void mt_http_call_cancel (mt_http_call_t *call);

/*
** Ends a call, but waits up to `ms` for the head of its response, which may
** carry a notice about the server. `head` is called until it doesn't skip a
** response, then `failed`. False, and nothing is done, when the request has
** not been sent completely or the response has begun.
*/
bool mt_http_call_linger (mt_http_call_t *call, mt_ms_t ms);

/*
** Reads the rest of the response for up to `ms` and `max` bytes of its body,
** and discards it, so that its connection can be reused. `data` is not called
** any more; `failed` is if the response does not end by then.
*/
void mt_http_call_discard (mt_http_call_t *call, mt_ms_t ms, size_t max);

/* True when bytes of the request may have been sent. */
bool mt_http_call_is_sent (const mt_http_call_t *call);

/* In `failed`: true if the connection was refused, as nothing listens on the
   port. */
bool mt_http_call_was_refused (const mt_http_call_t *call);

/* In `failed`: what was wrong with the head, and the name of the field if it
   was that. */
mt_http_head_fault_t mt_http_call_head_fault (const mt_http_call_t *call,
                                              mt_bytes_t *name);
const char *mt_http_head_fault_name (mt_http_head_fault_t fault);

/*
** False when only the end of the connection ends the response: a truncated
** one looks like a complete one then.
*/
bool mt_http_call_is_framed (const mt_http_call_t *call);

/* Pauses or resumes reading the response, for backpressure. */
void mt_http_call_pause (mt_http_call_t *call, bool pause);
bool mt_http_call_is_paused (const mt_http_call_t *call);

/* Closes the idle connections of an endpoint that no longer exists. */
void mt_http_client_close_idle (mt_http_client_t *client, uint64_t key);

/* Enforces the time limits; call it several times a second. */
void mt_http_client_tick (mt_http_client_t *client);

/* Connections opened since the start. */
uint64_t mt_http_client_opened (const mt_http_client_t *client);
/* Responses that belonged to no call. */
uint64_t mt_http_client_skipped (const mt_http_client_t *client);
/* Responses whose heads had this fault. */
uint64_t mt_http_client_head_faults (const mt_http_client_t *client,
                                     mt_http_head_fault_t fault);
/* Connections open now. */
size_t mt_http_client_connections (const mt_http_client_t *client);

#endif
