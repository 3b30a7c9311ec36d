/*
** mtweb.h - an HTTP listener for callers and operators, on src/net
*/
#ifndef mtweb_h
#define mtweb_h

#include <uv.h>

#include "mtobject.h"

typedef struct mt_web_t mt_web_t;
typedef struct mt_webreq_t mt_webreq_t;

typedef struct mt_header_t {
  const char *name, *value;
} mt_header_t;

/* A request has arrived whole. The handler answers now or later. */
typedef void (*mt_webfn_t)(void *ud, mt_webreq_t *r);

/* The caller left before the answer was through; `r` ends with the call. */
typedef void (*mt_webgone_t)(void *ud, mt_webreq_t *r);

/* All that was written has been sent. */
typedef void (*mt_webdrained_t)(void *ud, mt_webreq_t *r);

/* Listens; NULL and a reason when that fails. Port 0 takes a free one. */
mt_web_t *mtB_open (uv_loop_t *loop, const char *ip, uint16_t port,
                    mt_webfn_t fn, void *ud, char *reason, size_t size);
uint16_t mtB_port (const mt_web_t *web);

/* Stops taking connections; those at hand are finished. */
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

/* Names who is told of this request's end; `ud` NULL: nobody. */
void mtB_watch (mt_webreq_t *r, void *ud, mt_webgone_t gone,
                mt_webdrained_t drained);

/* True when the caller has closed its side of the connection. */
bool mtB_left (const mt_webreq_t *r);

/* }== */

/* {== The answer ======================================================= */

/* A whole answer at once. */
void mtB_reply (mt_webreq_t *r, int status, const mt_header_t *h, size_t n,
                const char *body, size_t size);

/* Says how long the answer will be; before mtB_begin. */
void mtB_length (mt_webreq_t *r, size_t n);

/* An answer in parts. */
void mtB_begin (mt_webreq_t *r, int status, const mt_header_t *h, size_t n);
void mtB_write (mt_webreq_t *r, const char *p, size_t n);
void mtB_end (mt_webreq_t *r);
/* Cuts the connection, so that the caller sees that the answer is not whole.
 */
void mtB_abort (mt_webreq_t *r);
/* Bytes written and not yet sent. */
size_t mtB_backlog (const mt_webreq_t *r);

/* }== */

#endif
