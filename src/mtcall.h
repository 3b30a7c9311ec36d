/*
** mtcall.h - HTTP client of the router, on src/net
*/
#ifndef mtcall_h
#define mtcall_h

#include <uv.h>

#include "mtobject.h"
#include "mtset.h"

typedef struct mt_http_t mt_http_t; /* a client with its connections */
typedef struct mt_call_t mt_call_t; /* one request and its reply */

typedef enum mt_callkind_t {
  MT_CALL_HEAD,  /* status line and header fields */
  MT_CALL_BODY,  /* a piece of the body */
  MT_CALL_END,   /* the reply is complete */
  MT_CALL_FAILED /* no reply, or an incomplete one */
} mt_callkind_t;

/* The x-outcome header of a reply: whether the request was executed. */
typedef enum mt_outcome_t {
  MT_OUTCOME_NONE,   /* no such header */
  MT_OUTCOME_NOTRUN, /* "not-run": certainly not executed */
  MT_OUTCOME_UNKNOWN /* any other value: it may have been executed */
} mt_outcome_t;

/* An event of a call; END or FAILED is the last. Texts are borrowed. */
typedef struct mt_callev_t {
  mt_callkind_t kind;
  int status;
  mt_bytes_t type;      /* HEAD: content type */
  mt_bytes_t revision;  /* HEAD: x-revision */
  int64_t length;       /* HEAD: bytes of the body, -1: unknown */
  mt_outcome_t outcome; /* END: from the reply's header */
  mt_bytes_t data;      /* BODY */
  bool notsent;         /* FAILED: no byte of the request was sent */
  bool silent;          /* FAILED: nothing was received in time */
} mt_callev_t;

typedef void (*mt_callfn_t)(void *ud, mt_call_t *call, const mt_callev_t *ev);

typedef struct mt_callspec_t {
  mt_addr_t addr;
  const char *method;
  const char *path;
  const char *headers; /* lines that each end in CRLF, or NULL */
  mt_bytes_t body;     /* copied */
  bool fresh;          /* on a new connection, closed afterwards */
} mt_callspec_t;

/* A client; a call fails when nothing is received for `timeout_ms`. */
mt_http_t *mtY_open (uv_loop_t *loop, mt_ms_t timeout_ms);
void mtY_close (mt_http_t *http);

/* Starts a call. The callback is never called before this returns. */
mt_call_t *mtY_call (mt_http_t *http, const mt_callspec_t *spec,
                     mt_callfn_t fn, void *ud);

/* Cancels a call; there is no further callback. */
void mtY_cancel (mt_call_t *call);

/* Stops or resumes reading the reply; paused calls do not time out. */
void mtY_pause (mt_call_t *call, bool pause);

#endif
