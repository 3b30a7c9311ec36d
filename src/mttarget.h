/*
** mttarget.h - attempts at targets: OpenAI-style engines and plain services
*/
#ifndef mttarget_h
#define mttarget_h

#include "mtcall.h"
#include "mtfleet.h"

typedef struct mt_attempt_t mt_attempt_t;

typedef enum mt_attkind_t {
  MT_ATT_HEAD,
  MT_ATT_CHUNK,
  MT_ATT_END,
  MT_ATT_FAILED
} mt_attkind_t;

/* What becomes of an attempt. END and FAILED are the last. */
typedef struct mt_attev_t {
  mt_attkind_t kind;
  int status;             /* HEAD */
  mt_bytes_t type;        /* HEAD */
  int64_t length;         /* HEAD: bytes that will come, or -1 */
  mt_bytes_t data;        /* CHUNK */
  int64_t tokens;         /* CHUNK */
  int64_t prompt, output; /* END: as the target reports, or -1 */
  bool notrun, busy, silent;
} mt_attev_t;

typedef void (*mt_attfn_t)(void *ud, const mt_attev_t *ev);

typedef struct mt_attspec_t {
  mt_addr_t addr;
  mt_poolkind_t kind;
  const char *method, *path;
  mt_bytes_t type, body;
  uint64_t id; /* names the attempt at the target */
  int priority;
  bool stream, fresh;
} mt_attspec_t;

/* Begins an attempt; the callback is never called before this returns. */
mt_attempt_t *mtT_start (mt_http_t *http, const mt_attspec_t *spec,
                         mt_attfn_t fn, void *ud);

/* Takes up a stream after `from` events of it. */
mt_attempt_t *mtT_resume (mt_http_t *http, const mt_addr_t *addr, uint64_t id,
                          long from, mt_attfn_t fn, void *ud);

/* Gives an attempt up and tells the target. */
void mtT_cancel (mt_attempt_t *a);

void mtT_pause (mt_attempt_t *a, bool pause);

#endif
