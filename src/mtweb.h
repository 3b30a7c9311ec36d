/*
** mtweb.h - HTTP server of the router, on src/net
*/
#ifndef mtweb_h
#define mtweb_h

#include <uv.h>

#include "memory_budget.h"

typedef struct mt_web_t mt_web_t;       /* a listener */
typedef struct mt_webreq_t mt_webreq_t; /* a request and its reply */

typedef struct mt_header_t {
  const char *name, *value;
} mt_header_t;

/* A complete request has arrived. The handler replies now or later. */
typedef void (*mt_webfn_t)(void *ud, mt_webreq_t *r);

/*
** The caller disconnected before the reply was complete; `r` must not be used
** after the callback.
*/
typedef void (*mt_webclosed_t)(void *ud, mt_webreq_t *r);

/* All that was written has been handed to the kernel. */
typedef void (*mt_webdrained_t)(void *ud, mt_webreq_t *r);

/* Listens; NULL and a reason when that fails. Port 0 picks a free port. */
mt_web_t *mtB_open (uv_loop_t *loop, const char *ip, uint16_t port,
                    mt_webfn_t fn, void *ud, char *reason, size_t size);
/* Has listeners share one budget for what callers make them hold; to be
   called before there are connections. */
void mtB_share_memory (mt_web_t *web, mt_memory_budget_t *budget);
uint16_t mtB_port (const mt_web_t *web);

/* Stops accepting connections; requests in progress are completed. */
void mtB_close (mt_web_t *web);

/* {== The request ====================================================== */

mt_bytes_t mtB_method (const mt_webreq_t *r);
mt_bytes_t mtB_path (const mt_webreq_t *r);  /* without the query */
mt_bytes_t mtB_query (const mt_webreq_t *r); /* after the '?' */
mt_bytes_t mtB_body (const mt_webreq_t *r);
/* A header's value; n is 0 when it is missing. Names in lower case. */
mt_bytes_t mtB_header (const mt_webreq_t *r, const char *name);
/* The value of a query parameter, copied; false when it is missing. */
bool mtB_param (const mt_webreq_t *r, const char *name, char *out,
                size_t size);
/* True when the method and path are these. */
bool mtB_is (const mt_webreq_t *r, const char *method, const char *path);

/* Sets the callbacks of a request; `ud` NULL: none is called. */
void mtB_set_callbacks (mt_webreq_t *r, void *ud, mt_webclosed_t gone,
                        mt_webdrained_t drained);

/* True when the caller has disconnected, or the reply has ended. */
bool mtB_disconnected (const mt_webreq_t *r);

/* }== */

/* {== The reply ======================================================== */

/* Sends a complete reply: head and body. */
void mtB_reply (mt_webreq_t *r, int status, const mt_header_t *h, size_t n,
                const char *body, size_t size);

/*
** Sets the length of the body, in bytes; to be called before mtB_begin.
** Without it the body is sent in chunked encoding.
*/
void mtB_set_length (mt_webreq_t *r, size_t n);

/* A streamed reply: head, any number of writes, end. */
void mtB_begin (mt_webreq_t *r, int status, const mt_header_t *h, size_t n);
void mtB_write (mt_webreq_t *r, const char *p, size_t n);
void mtB_end (mt_webreq_t *r);
/* Closes the connection, so that the caller sees an incomplete reply. */
void mtB_abort (mt_webreq_t *r);
/* Bytes written and not yet sent. */
size_t mtB_backlog (const mt_webreq_t *r);

/* }== */

#endif
