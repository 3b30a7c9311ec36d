/*
** mttarget.h - attempts: single requests to engines and plain services
*/
#ifndef mttarget_h
#define mttarget_h

#include "mtcall.h"
#include "mtfleet.h"

typedef struct mt_attempt_t mt_attempt_t;

typedef enum mt_attkind_t {
  MT_ATT_HEAD,  /* status line and header fields */
  MT_ATT_CHUNK, /* a piece of the body */
  MT_ATT_END,   /* the reply is complete */
  MT_ATT_FAILED /* no reply, or an incomplete one */
} mt_attkind_t;

/* An event of an attempt; END or FAILED is the last. Texts are borrowed. */
typedef struct mt_attev_t {
  mt_attkind_t kind;
  int status;             /* HEAD */
  mt_bytes_t type;        /* HEAD: content type */
  int64_t length;         /* HEAD: bytes of the body, or -1 if unknown */
  mt_bytes_t data;        /* CHUNK */
  int64_t tokens;         /* CHUNK: output tokens in it */
  int64_t prompt, output; /* END: tokens as the target reports, or -1 */
  /*
  ** FAILED. notrun: the request cannot have been executed; busy: an engine
  ** replied 429 or 503; silent: nothing was received in time.
  */
  bool notrun, busy, silent;
} mt_attev_t;

typedef void (*mt_attfn_t)(void *ud, const mt_attev_t *ev);

/* The request of an attempt; texts are borrowed during the call. */
typedef struct mt_attspec_t {
  mt_addr_t addr;
  mt_poolkind_t kind;
  const char *method, *path;
  mt_bytes_t type, body; /* type: content type, empty for JSON */
  uint64_t id;           /* sent as X-Request-Id; for resume and cancel */
  int priority;          /* sent as X-Priority */
  /* stream: events are expected; fresh: use a connection of its own */
  bool stream, fresh;
} mt_attspec_t;

/* Starts an attempt; the callback is never called before this returns. */
mt_attempt_t *mtT_start (mt_http_t *http, const mt_attspec_t *spec,
                         mt_attfn_t fn, void *ud);

/* Resumes the stream of attempt `id` after its first `from` events. */
mt_attempt_t *mtT_resume (mt_http_t *http, const mt_addr_t *addr, uint64_t id,
                          long from, mt_attfn_t fn, void *ud);

/*
** Ends an attempt without a further callback; an engine is also asked to
** cancel the request.
*/
void mtT_cancel (mt_attempt_t *a);

/* Stops or resumes reading the reply, for flow control. */
void mtT_pause (mt_attempt_t *a, bool pause);

#endif
