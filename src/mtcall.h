/*
** mtcall.h - HTTP calls of the router, on src/net
*/
#ifndef mtcall_h
#define mtcall_h

#include <uv.h>

#include "mtobject.h"
#include "mtset.h"

typedef struct mt_http_t mt_http_t;
typedef struct mt_call_t mt_call_t;

typedef enum mt_callkind_t {
  MT_CALL_HEAD,
  MT_CALL_BODY,
  MT_CALL_END,
  MT_CALL_FAILED
} mt_callkind_t;

typedef enum mt_said_t {
  MT_SAID_NOTHING,
  MT_SAID_NOTRUN,
  MT_SAID_UNKNOWN
} mt_said_t;

/* What becomes of a call. END and FAILED are the last; texts are borrowed. */
typedef struct mt_callev_t {
  mt_callkind_t kind;
  int status;
  mt_bytes_t type;     /* HEAD: content type */
  mt_bytes_t revision; /* HEAD: x-revision */
  int64_t length;      /* HEAD: bytes that will come, -1: not told */
  mt_said_t outcome;   /* END: what the head's x-outcome said */
  mt_bytes_t data;     /* BODY */
  bool notsent;        /* FAILED: no byte of the request went out */
  bool silent;         /* FAILED: nothing came in time */
} mt_callev_t;

typedef void (*mt_callfn_t)(void *ud, mt_call_t *call, const mt_callev_t *ev);

typedef struct mt_callspec_t {
  mt_addr_t addr;
  const char *method;
  const char *path;
  const char *headers; /* whole lines, each with CRLF, or NULL */
  mt_bytes_t body;     /* copied */
  bool fresh;          /* on a connection of its own */
} mt_callspec_t;

/* A client; a call fails when nothing comes for `silence` milliseconds. */
mt_http_t *mtY_open (uv_loop_t *loop, mt_ms_t silence);
void mtY_close (mt_http_t *http);

/* Begins a call. The callback is never called before this returns. */
mt_call_t *mtY_call (mt_http_t *http, const mt_callspec_t *spec,
                     mt_callfn_t fn, void *ud);

/* Ends a call without any further callback. */
void mtY_cancel (mt_call_t *call);

/* Stops and resumes reading the answer. */
void mtY_pause (mt_call_t *call, bool pause);

#endif
