/*
** mttarget.c - attempts: single requests to engines and plain services
*/
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mtmem.h"
#include "mttarget.h"

/* Bytes of an event line that are buffered; pieces beyond are dropped. */
#define EVENT_LINE_MAX (64u << 10)
#define STATUS_TOO_MANY_REQUESTS 429
#define STATUS_UNAVAILABLE 503

struct mt_attempt_t {
  mt_http_t *http;
  mt_call_t *call;
  mt_attfn_t fn;
  void *ud;
  mt_addr_t addr;
  uint64_t id;
  mt_poolkind_t kind;
  bool done_seen; /* the stream has sent [DONE] */
  /* stream: one was requested; is_event_stream: the reply is one */
  bool stream, is_event_stream;
  int64_t prompt, output;
  int status;
  char *buf; /* current event line, or the JSON reply, so far */
  size_t n, cap;
};

/* {== Reading replies ================================================== */

/* Reads the token usage from a JSON text; false when it is not valid JSON. */
static bool readusage (mt_attempt_t *a, const char *p, size_t n) {
  json_t *doc = json_loadb(p, n, 0, NULL);
  const json_t *usage = json_object_get(doc, "usage");
  if (json_is_object(usage)) {
    a->prompt = mtJ_int(usage, "prompt_tokens", -1);
    a->output = mtJ_int(usage, "completion_tokens", -1);
  }
  bool valid = doc != NULL;
  json_decref(doc);
  return valid;
}

static bool contains (const char *p, size_t n, const char *text) {
  return memmem(p, n, text, strlen(text)) != NULL;
}

/*
** Handles one complete line of an event stream. Returns the output tokens in
** it: each event with "content" counts as one.
*/
static int64_t readeventline (mt_attempt_t *a) {
  static const char prefix[] = "data:";
  if (a->n < sizeof prefix || memcmp(a->buf, prefix, sizeof prefix - 1) != 0)
    return 0;
  const char *p = a->buf + sizeof prefix - 1;
  size_t n = a->n - (sizeof prefix - 1);
  if (contains(p, n, "[DONE]")) a->done_seen = true;
  if (contains(p, n, "\"usage\":{")) {
    readusage(a, p, n);
    return 0;
  }
  return contains(p, n, "\"content\"") ? 1 : 0;
}

/* Appends to the buffer, unless it would grow beyond `max` bytes. */
static void append (mt_attempt_t *a, const char *p, size_t n, size_t max) {
  if (a->n + n > max) return;
  if (a->n + n > a->cap) {
    a->cap = mt_max(a->cap * 2, a->n + n);
    char *q = realloc(a->buf, a->cap);
    if (q == NULL) abort();
    a->buf = q;
  }
  memcpy(a->buf + a->n, p, n);
  a->n += n;
}

static int64_t readevents (mt_attempt_t *a, mt_bytes_t data) {
  int64_t tokens = 0;
  size_t at = 0;
  while (at < data.n) {
    const char *nl = memchr(data.p + at, '\n', data.n - at);
    size_t end = nl ? (size_t)(nl - data.p) : data.n;
    append(a, data.p + at, end - at, EVENT_LINE_MAX);
    at = end + 1;
    if (nl == NULL) break;
    tokens += readeventline(a);
    a->n = 0;
  }
  return tokens;
}

/* }== */

/* {== Calls ============================================================ */

static void freeattempt (mt_attempt_t *a) {
  free(a->buf);
  free(a);
}

static void onhead (mt_attempt_t *a, const mt_callev_t *ev) {
  bool busy = ev->status == STATUS_TOO_MANY_REQUESTS ||
              ev->status == STATUS_UNAVAILABLE;
  if (busy && a->kind == MT_POOL_MODEL) {
    mt_attev_t out = {.kind = MT_ATT_FAILED, .notrun = true, .busy = true};
    mtY_cancel(a->call);
    a->fn(a->ud, &out);
    freeattempt(a);
    return;
  }
  a->status = ev->status;
  a->is_event_stream =
      ev->type.n >= 17 && memcmp(ev->type.p, "text/event-stream", 17) == 0;
  mt_attev_t out = {.kind = MT_ATT_HEAD,
                    .status = ev->status,
                    .type = ev->type,
                    .length = ev->length};
  a->fn(a->ud, &out);
}

static void onbody (mt_attempt_t *a, const mt_callev_t *ev) {
  mt_attev_t out = {.kind = MT_ATT_CHUNK, .data = ev->data};
  if (a->is_event_stream)
    out.tokens = readevents(a, ev->data);
  else if (a->kind == MT_POOL_MODEL)
    append(a, ev->data.p, ev->data.n, MT_VALUE_MAX);
  a->fn(a->ud, &out);
}

/*
** Whether a model's reply is complete. A reply without a length ends with its
** connection, so a truncated one looks like a complete one: a stream must
** have sent [DONE], and any other reply must be empty or valid JSON.
*/
static bool is_complete (mt_attempt_t *a) {
  if (a->kind != MT_POOL_MODEL || a->status != 200) return true;
  return a->is_event_stream ? a->done_seen
                            : a->n == 0 || readusage(a, a->buf, a->n);
}

static void oncall (void *ud, mt_call_t *call, const mt_callev_t *ev) {
  (void)call;
  mt_attempt_t *a = ud;
  mt_attev_t out = {.kind = MT_ATT_END, .prompt = -1, .output = -1};
  switch (ev->kind) {
    case MT_CALL_HEAD: onhead(a, ev); return;
    case MT_CALL_BODY: onbody(a, ev); return;
    case MT_CALL_END:
      if (!is_complete(a)) {
        out = (mt_attev_t){.kind = MT_ATT_FAILED};
        break;
      }
      out.prompt = a->prompt;
      out.output = a->output;
      break;
    case MT_CALL_FAILED:
      out = (mt_attev_t){
          .kind = MT_ATT_FAILED, .notrun = ev->notsent, .silent = ev->silent};
      break;
  }
  a->call = NULL;
  a->fn(a->ud, &out);
  freeattempt(a);
}

static mt_attempt_t *new_attempt (mt_http_t *http, const mt_addr_t *addr,
                                  uint64_t id, mt_poolkind_t kind,
                                  mt_attfn_t fn, void *ud) {
  mt_attempt_t *a = mtV_new(sizeof *a);
  a->http = http;
  a->fn = fn;
  a->ud = ud;
  a->id = id;
  a->kind = kind;
  a->prompt = a->output = -1;
  a->addr = *addr;
  return a;
}

mt_attempt_t *mtT_start (mt_http_t *http, const mt_attspec_t *s,
                         mt_attfn_t fn, void *ud) {
  mt_attempt_t *a = new_attempt(http, &s->addr, s->id, s->kind, fn, ud);
  char headers[512];
  int typelen = (int)mt_min(s->type.n, 200);
  snprintf(headers, sizeof headers,
           "X-Request-Id: %016" PRIx64
           "\r\nX-Priority: %d\r\nContent-Type: %.*s\r\n",
           s->id, s->priority, typelen ? typelen : 16,
           typelen ? s->type.p : "application/json");
  mt_callspec_t call = {a->addr, s->method, s->path,
                        headers, s->body,   s->fresh};
  a->stream = s->stream;
  a->call = mtY_call(http, &call, oncall, a);
  return a;
}

mt_attempt_t *mtT_resume (mt_http_t *http, const mt_addr_t *addr, uint64_t id,
                          long from, mt_attfn_t fn, void *ud) {
  mt_attempt_t *a = new_attempt(http, addr, id, MT_POOL_MODEL, fn, ud);
  char path[96];
  snprintf(path, sizeof path, "/v1/streams/%016" PRIx64 "?from=%ld", id,
           from);
  mt_callspec_t call = {.addr = a->addr, .method = "GET", .path = path};
  a->stream = true;
  a->call = mtY_call(http, &call, oncall, a);
  return a;
}

static void ignore (void *ud, mt_call_t *call, const mt_callev_t *ev) {
  (void)ud;
  (void)call;
  (void)ev;
}

void mtT_cancel (mt_attempt_t *a) {
  if (a->call != NULL) mtY_cancel(a->call);
  if (a->kind == MT_POOL_MODEL) {
    char path[64];
    snprintf(path, sizeof path, "/v1/cancel/%016" PRIx64, a->id);
    mt_callspec_t call = {.addr = a->addr, .method = "POST", .path = path};
    mtY_call(a->http, &call, ignore, NULL);
  }
  freeattempt(a);
}

void mtT_pause (mt_attempt_t *a, bool pause) {
  if (a->call != NULL) mtY_pause(a->call, pause);
}

/* }== */
