/*
** mttarget.c - attempts: single requests to engines and plain services
*/
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "event_stream.h"
#include "mtmem.h"
#include "mttarget.h"

/* Tokens of a prompt or a reply: more than any model takes or makes. */
#define TOKENS_MAX (2 << 20)
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
  bool began;               /* its first event has come */
  bool delivering;          /* its callback is running */
  bool cancelled;           /* by its own callback; freed when that returns */
  mt_event_stream_t events; /* input of the reply that is not read yet */
  int64_t prompt, output;
  int status;
  char *buf; /* data of the current event, or the JSON reply, so far */
  size_t n, cap;
};

/* {== Reading replies ================================================== */

static int64_t token_count (const json_t *usage, const char *name) {
  const json_t *value = json_object_get(usage, name);
  json_int_t n = json_is_integer(value) ? json_integer_value(value) : -1;
  return n >= 0 && n <= TOKENS_MAX ? n : -1;
}

/* Numbers that no run can have are not charged. */
static bool note_usage (mt_attempt_t *a, const json_t *doc) {
  const json_t *usage = json_object_get(doc, "usage");
  if (!json_is_object(usage)) return false;
  a->prompt = token_count(usage, "prompt_tokens");
  a->output = token_count(usage, "completion_tokens");
  return true;
}

/* Reads the token usage from a JSON text; false when it is not valid JSON. */
static bool readusage (mt_attempt_t *a, const char *p, size_t n) {
  json_t *doc = json_loadb(p, n, 0, NULL);
  bool valid = doc != NULL;
  note_usage(a, doc);
  json_decref(doc);
  return valid;
}

static bool contains (const char *p, size_t n, const char *text) {
  return memmem(p, n, text, strlen(text)) != NULL;
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

/* What a block of lines of an event stream is. */
typedef enum block_t {
  BLOCK_EVENT,
  BLOCK_EMPTY, /* comments, or fields without data */
  BLOCK_BAD    /* no event of a model's stream */
} block_t;

static bool is_text (mt_bytes_t bytes, const char *text) {
  return bytes.n == strlen(text) && memcmp(bytes.p, text, bytes.n) == 0;
}

/* Reads a line without its end; false if it is no field and no comment. Its
   data goes to the buffer. */
static bool read_line (mt_attempt_t *a, mt_bytes_t line) {
  if (line.n > 0 && line.p[line.n - 1] == '\r') line.n--;
  if (line.n == 0 || *line.p == ':') return true;
  if (memchr(line.p, '\r', line.n) || memchr(line.p, 0, line.n)) return false;
  const char *colon = memchr(line.p, ':', line.n);
  if (colon == NULL) return false;
  mt_bytes_t name = {line.p, (size_t)(colon - line.p)};
  mt_bytes_t value = {colon + 1, line.n - name.n - 1};
  if (value.n > 0 && *value.p == ' ') value.p++, value.n--;
  if (is_text(name, "data")) {
    if (a->n > 0) append(a, "\n", 1, MT_EVENT_MAX);
    append(a, value.p, value.n, MT_EVENT_MAX);
    return true;
  }
  return is_text(name, "id") || is_text(name, "event") ||
         is_text(name, "retry");
}

static bool read_lines (mt_attempt_t *a, mt_bytes_t text) {
  const char *p = text.p, *end = text.p + text.n;
  a->n = 0;
  while (p < end) {
    const char *stop = memchr(p, '\n', (size_t)(end - p));
    if (stop == NULL) stop = end;
    if (!read_line(a, (mt_bytes_t){p, (size_t)(stop - p)})) return false;
    p = stop + 1;
  }
  return true;
}

/* Reads an event. Each one with "content" counts as a token of the output. */
static block_t read_event (mt_attempt_t *a, mt_bytes_t text,
                           int64_t *tokens) {
  *tokens = 0;
  if (!read_lines(a, text)) return BLOCK_BAD;
  mt_bytes_t data = {a->buf, a->n};
  if (data.n == 0) return BLOCK_EMPTY;
  a->done_seen = is_text(data, "[DONE]");
  if (a->done_seen) return BLOCK_EVENT;
  json_t *doc = json_loadb(data.p, data.n, 0, NULL);
  bool sound = json_is_object(doc);
  if (sound && !note_usage(a, doc))
    *tokens = contains(data.p, data.n, "\"content\"") ? 1 : 0;
  json_decref(doc);
  return sound ? BLOCK_EVENT : BLOCK_BAD;
}

/* }== */

/* {== Calls ============================================================ */

static void freeattempt (mt_attempt_t *a) {
  mt_event_stream_free(&a->events);
  free(a->buf);
  free(a);
}

/* Calls the callback; false when that has cancelled the attempt. */
static bool deliver (mt_attempt_t *a, const mt_attev_t *ev) {
  a->delivering = true;
  a->fn(a->ud, ev);
  a->delivering = false;
  if (!a->cancelled) return true;
  freeattempt(a);
  return false;
}

/* Ends an attempt before its reply has ended. */
static void fail (mt_attempt_t *a, bool busy) {
  mt_attev_t out = {.kind = MT_ATT_FAILED, .notrun = busy, .busy = busy};
  mtY_cancel(a->call);
  a->call = NULL;
  a->fn(a->ud, &out);
  freeattempt(a);
}

static void onhead (mt_attempt_t *a, const mt_callev_t *ev) {
  bool busy = ev->status == STATUS_TOO_MANY_REQUESTS ||
              ev->status == STATUS_UNAVAILABLE;
  if (busy && a->kind == MT_POOL_MODEL) {
    fail(a, true);
    return;
  }
  bool model = a->kind == MT_POOL_MODEL && ev->status == 200;
  a->status = ev->status;
  a->is_event_stream = model && ev->type.n >= 17 &&
                       memcmp(ev->type.p, "text/event-stream", 17) == 0;
  if (model && a->stream && !a->is_event_stream) {
    fail(a, false);
    return;
  }
  mt_attev_t out = {.kind = MT_ATT_HEAD,
                    .status = ev->status,
                    .type = ev->type,
                    .length = a->is_event_stream ? -1 : ev->length};
  deliver(a, &out);
}

/* Passes on the events that have come. What comes behind [DONE] is no part of
   the stream. */
static void onevents (mt_attempt_t *a, mt_bytes_t data) {
  mt_stream_event_t event;
  bool sound = mt_event_stream_feed(&a->events, data.p, data.n);
  while (sound && !a->done_seen && mt_event_stream_next(&a->events, &event)) {
    if (!a->began) mt_event_drop_mark(&event);
    a->began = true;
    mt_attev_t out = {.kind = MT_ATT_CHUNK, .data = event.text};
    block_t block = read_event(a, event.text, &out.tokens);
    sound = block != BLOCK_BAD;
    if (block == BLOCK_EVENT && !deliver(a, &out)) return;
  }
  if (!sound) fail(a, false);
}

static void onbody (mt_attempt_t *a, const mt_callev_t *ev) {
  mt_attev_t out = {.kind = MT_ATT_CHUNK, .data = ev->data};
  if (a->is_event_stream) {
    if (!a->done_seen) onevents(a, ev->data);
    return;
  }
  if (a->kind == MT_POOL_MODEL)
    append(a, ev->data.p, ev->data.n, MT_VALUE_MAX);
  deliver(a, &out);
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
  if (a->delivering)
    a->cancelled = true;
  else
    freeattempt(a);
}

void mtT_pause (mt_attempt_t *a, bool pause) {
  if (a->call != NULL) mtY_pause(a->call, pause);
}

/* }== */
