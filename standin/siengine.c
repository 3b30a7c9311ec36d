/*
** siengine.c - simulated model engines, many in one process
**
** An engine batches continuously: with n streams each runs at
** rate * speed / (1 + BATCH_SLOWDOWN * (n - 1)) tokens per second. The last
** message may contain "tokens=N" (length of the reply) and "prefix=NAME" (the
** cached prefix); routers do not read these.
*/
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "standin.h"

#define STEP_MS 5           /* interval at which streams advance */
#define BATCH_SLOWDOWN 0.10 /* cost of each further stream to all others */
#define PREFILL_RATIO 200.0 /* prompt tokens read in the time of one */
#define PREFIX_TOKENS 400   /* more to read when the prefix is not cached */
#define RESUMABLE_MS 60000  /* a finished stream can be resumed this long */
#define EVENTS_MAX 64       /* latest cache events that are kept */
#define EVENT_LOSS_PERIOD 7 /* every seventh cache event is never sent */
#define LOAD_REPORT_MS 500  /* GET /load returns a load up to this old */
#define DEFAULT_TOKENS 24

typedef struct stream_t {
  struct engine_t *e;
  mt_webreq_t *r;    /* NULL while no client is connected */
  uint64_t id, seed; /* seed: hash of the message, which gives the text */
  int prompt, total, generated, sent; /* tokens; sent: to this client */
  int priority;                       /* larger starts first */
  double progress; /* tokens, below zero while the prompt is read */
  bool sse, running, done, cancelled, head_sent;
  uint64_t finished_ms; /* loop time */
  struct stream_t *next;
} stream_t;

typedef struct engine_t {
  uv_loop_t *loop;
  mt_web_t *web;
  int index, slots, active; /* active: running streams */
  double rate, speed;       /* tokens per second; factor on it */
  stream_t *streams;
  mt_map_t byid;       /* x-request-id -> stream_t */
  uint64_t cache[256]; /* prefixes, most recent first */
  int ncache, cache_cap;
  char events[EVENTS_MAX][64];
  uint64_t nevents;
  /* Counters; prompts: tokens; found_full: arrived while no slot was free. */
  uint64_t hits, misses, runs, cancels, tokens, prompts, found_full;
  double busy_slot_ms; /* sum over the slots */
  int reported_active; /* what GET /load returns */
  uint64_t reported_ms;
  int64_t fencing_token; /* the highest seen */
  bool fencing;          /* orders with a lower token are rejected */
  long stalled_until;    /* loop time, ms; no progress until then */
} engine_t;

typedef struct engine_group_t {
  engine_t *engines;
  int n;
  uint64_t last; /* time of the last step, ns */
} engine_group_t;

/* {== Cache ============================================================ */

/* `what` is "store" or "evict". */
static void add_cache_event (engine_t *e, const char *what, uint64_t prefix) {
  e->nevents++;
  snprintf(e->events[e->nevents % EVENTS_MAX], 64,
           "%" PRIu64 " %s %016" PRIx64, e->nevents, what, prefix);
}

/* True on a cache hit. In any case the prefix becomes the most recent. */
static bool lookup_prefix (engine_t *e, uint64_t prefix) {
  int at = 0;
  while (at < e->ncache && e->cache[at] != prefix) at++;
  bool hit = at < e->ncache;
  if (!hit) {
    if (e->ncache == e->cache_cap)
      add_cache_event(e, "evict", e->cache[--e->ncache]);
    at = e->ncache++;
    add_cache_event(e, "store", prefix);
  }
  memmove(&e->cache[1], &e->cache[0], (size_t)at * sizeof e->cache[0]);
  e->cache[0] = prefix;
  return hit;
}

/* }== */

/* {== Streams ========================================================== */

static void free_stream (stream_t *s) {
  for (stream_t **at = &s->e->streams; *at; at = &(*at)->next) {
    if (*at != s) continue;
    *at = s->next;
    break;
  }
  if (mtV_get(&s->e->byid, s->id) == s) mtV_del(&s->e->byid, s->id);
  free(s);
}

static void finish_stream (stream_t *s) {
  if (s->done) return;
  s->done = true;
  s->finished_ms = uv_now(s->e->loop);
  if (s->running) s->e->active--;
  s->running = false;
}

static void ondisconnect (void *ud, mt_webreq_t *r) {
  (void)r;
  ((stream_t *)ud)->r = NULL;
}

/* The text of token i, which depends on the message only. */
static const char *token_text (const stream_t *s, int i, char out[24]) {
  snprintf(out, 24, "w%x ",
           (unsigned)(mtV_mix(s->seed, (uint64_t)i) & 0xffff));
  return out;
}

static int format_usage (const stream_t *s, char *out, size_t size) {
  return snprintf(
      out, size,
      "\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}",
      s->prompt, s->generated, s->prompt + s->generated);
}

/* Sends new tokens as server-sent events and the end once it is done. */
static void send_events (stream_t *s) {
  char line[256], w[24], u[128];
  for (; s->sent < s->generated; s->sent++) {
    int n = snprintf(
        line, sizeof line,
        "data: {\"id\":\"%016" PRIx64
        "\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,"
        "\"delta\":{\"content\":\"%s\"}}]}\n\n",
        s->id, token_text(s, s->sent, w));
    mtB_write(s->r, line, (size_t)n);
  }
  if (!s->done) return;
  format_usage(s, u, sizeof u);
  int n = snprintf(line, sizeof line,
                   "data: {\"choices\":[],%s}\n\ndata: [DONE]\n\n", u);
  mtB_write(s->r, line, (size_t)n);
  mt_webreq_t *r = s->r;
  s->r = NULL;
  mtB_end(r);
}

/* Sends an unstreamed completion once it is done. */
static void send_completion (stream_t *s) {
  if (!s->done) return;
  size_t size = (size_t)s->generated * 24 + 512, n = 0;
  char *text = mtV_new(size), w[24], u[128];
  n += (size_t)snprintf(
      text, size,
      "{\"id\":\"%016" PRIx64
      "\",\"object\":\"chat.completion\",\"choices\":[{\"index\":0,"
      "\"message\":{\"role\":\"assistant\",\"content\":\"",
      s->id);
  for (int i = 0; i < s->generated; i++)
    n += (size_t)snprintf(text + n, size - n, "%s", token_text(s, i, w));
  format_usage(s, u, sizeof u);
  n += (size_t)snprintf(text + n, size - n,
                        "\"},\"finish_reason\":\"stop\"}],%s}", u);
  mt_header_t h = {"content-type", "application/json"};
  mt_webreq_t *r = s->r;
  s->r = NULL;
  mtB_set_callbacks(r, NULL, NULL, NULL);
  mtB_reply(r, 200, &h, 1, text, n);
  free(text);
}

static void send_output (stream_t *s) {
  if (s->r == NULL) return;
  if (!s->sse) {
    send_completion(s);
    return;
  }
  if (!s->head_sent && s->generated == 0 && !s->done) return;
  if (!s->head_sent) {
    mt_header_t h = {"content-type", "text/event-stream"};
    mtB_begin(s->r, 200, &h, 1);
    s->head_sent = true;
  }
  send_events(s);
}

/* Advances a stream by `ms`, given the number of running streams. */
static void generate (engine_t *e, stream_t *s, double ms) {
  s->progress += e->rate * e->speed * ms / 1000.0 /
                 (1 + BATCH_SLOWDOWN * (e->active - 1));
  int generated = s->progress > 0 ? (int)s->progress : 0;
  if (generated > s->total) generated = s->total;
  e->tokens += (uint64_t)(generated - s->generated);
  s->generated = generated;
  if (s->generated == s->total) finish_stream(s);
}

/* Starts the oldest waiting stream of the highest priority, given a slot. */
static bool start_waiting (engine_t *e) {
  stream_t *best = NULL;
  if (e->active >= e->slots) return false;
  for (stream_t *s = e->streams; s != NULL; s = s->next) {
    if (s->running || s->done) continue;
    if (best == NULL || s->priority >= best->priority) best = s;
  }
  if (best == NULL) return false;
  best->running = true;
  e->active++;
  return true;
}

static void step (engine_t *e, double ms, uint64_t now) {
  while (start_waiting(e)) continue;
  if ((uint64_t)e->stalled_until > now) return;
  e->busy_slot_ms += ms * e->active;
  if (now - e->reported_ms >= LOAD_REPORT_MS) {
    e->reported_ms = now;
    e->reported_active = e->active;
  }
  for (stream_t *s = e->streams, *next; s != NULL; s = next) {
    next = s->next;
    if (s->running) generate(e, s, ms);
    send_output(s);
    bool expired =
        s->done && s->r == NULL &&
        (s->cancelled || !s->sse || now - s->finished_ms > RESUMABLE_MS);
    if (expired) free_stream(s);
  }
}

/* }== */

/* {== Requests ========================================================= */

/* The number that follows `name` in a message, or `def`. */
static long content_param (const char *text, const char *name, long def) {
  const char *at = text ? strstr(text, name) : NULL;
  return at ? atol(at + strlen(name)) : def;
}

static void start_completion (engine_t *e, mt_webreq_t *r) {
  mt_bytes_t body = mtB_body(r), id = mtB_header(r, "x-request-id"),
             pr = mtB_header(r, "x-priority");
  json_t *doc = json_loadb(body.p, body.n, 0, NULL);
  json_t *messages = json_object_get(doc, "messages");
  if (!json_is_array(messages)) {
    si_reply(r, 400, "application/json",
             "{\"error\":{\"code\":\"bad_request\"}}");
    json_decref(doc);
    return;
  }
  json_t *last = json_array_get(messages, json_array_size(messages) - 1);
  const char *text = json_string_value(json_object_get(last, "content"));
  stream_t *s = mtV_new(sizeof *s);
  s->e = e;
  s->r = r;
  s->id = id.n == 16 ? strtoull(id.p, NULL, 16) : (uint64_t)(uintptr_t)s;
  s->seed = text ? mtV_hash(text, strlen(text)) : 0;
  s->priority = pr.n ? atoi(pr.p) : 0;
  s->sse = json_is_true(json_object_get(doc, "stream"));
  s->prompt = (int)(body.n / 4);
  s->total = (int)content_param(text, "tokens=", DEFAULT_TOKENS);
  json_t *limit = json_object_get(doc, "max_tokens");
  if (json_is_integer(limit))
    s->total = (int)mt_min(s->total, json_integer_value(limit));
  const char *prefix = text ? strstr(text, "prefix=") : NULL;
  s->progress = -(double)s->prompt / PREFILL_RATIO;
  if (prefix != NULL) {
    bool hit = lookup_prefix(e, mtV_hash(prefix, strcspn(prefix, " ")));
    e->hits += hit;
    e->misses += !hit;
    if (!hit) s->progress -= PREFIX_TOKENS / PREFILL_RATIO;
  }
  s->next = e->streams;
  e->streams = s;
  e->runs++;
  e->prompts += (uint64_t)s->prompt;
  if (e->active >= e->slots) e->found_full++;
  mtV_put(&e->byid, s->id, s);
  mtB_set_callbacks(r, s, ondisconnect, NULL);
  json_decref(doc);
}

/* The hexadecimal request id that follows `head` in the path. */
static uint64_t path_id (mt_webreq_t *r, const char *head) {
  char text[17] = "";
  mt_bytes_t p = mtB_path(r);
  size_t n = mt_min(p.n - strlen(head), sizeof text - 1);
  memcpy(text, p.p + strlen(head), n);
  return strtoull(text, NULL, 16);
}

/* Sends a stream again from token `from`; replaces an earlier client. */
static void resume_stream (engine_t *e, mt_webreq_t *r) {
  stream_t *s = mtV_get(&e->byid, path_id(r, "/v1/streams/"));
  int from = (int)si_query_int(r, "from", 0);
  if (s == NULL || s->cancelled || from < 0 || from > s->total) {
    si_reply(r, 404, "application/json",
             "{\"error\":{\"code\":\"no_such_stream\"}}");
    return;
  }
  if (s->r != NULL) {
    mt_webreq_t *old = s->r;
    mtB_set_callbacks(old, NULL, NULL, NULL);
    mtB_abort(old);
  }
  s->r = r;
  s->sent = from;
  s->head_sent = false;
  mtB_set_callbacks(r, s, ondisconnect, NULL);
}

static void cancel_stream (engine_t *e, mt_webreq_t *r) {
  stream_t *s = mtV_get(&e->byid, path_id(r, "/v1/cancel/"));
  if (s != NULL && !s->done) {
    e->cancels++;
    s->cancelled = true;
    finish_stream(s);
  }
  si_reply(r, s ? 200 : 404, "application/json", "{}");
}

static void reply_stats (engine_t *e, mt_webreq_t *r) {
  char text[512];
  snprintf(
      text, sizeof text,
      "{\"slots\":%d,\"active\":%d,\"busy_slot_ms\":%.0f,\"tokens\":%" PRIu64
      ",\"prompt_tokens\":%" PRIu64 ",\"runs\":%" PRIu64
      ",\"cancels\":%" PRIu64 ",\"hits\":%" PRIu64 ",\"misses\":%" PRIu64
      ",\"over\":%" PRIu64 ",\"now_ms\":%" PRIu64 "}",
      e->slots, e->active, e->busy_slot_ms, e->tokens, e->prompts, e->runs,
      e->cancels, e->hits, e->misses, e->found_full, uv_now(e->loop));
  si_reply(r, 200, "application/json", text);
}

static void reply_load (engine_t *e, mt_webreq_t *r) {
  char text[64];
  snprintf(text, sizeof text, "{\"running\":%d,\"slots\":%d}",
           e->reported_active, e->slots);
  si_reply(r, 200, "application/json", text);
}

/* Cache events arrive late (the last two are held back) and some are lost. */
static void reply_cache_events (engine_t *e, mt_webreq_t *r) {
  uint64_t after = (uint64_t)si_query_int(r, "after", 0);
  char text[EVENTS_MAX * 64] = "";
  size_t n = 0;
  uint64_t first = e->nevents > EVENTS_MAX ? e->nevents - EVENTS_MAX + 1 : 1;
  for (uint64_t i = mt_max(first, after + 1); i + 2 <= e->nevents; i++)
    if (i % EVENT_LOSS_PERIOD != 0)
      n += (size_t)snprintf(text + n, sizeof text - n, "%s\n",
                            e->events[i % EVENTS_MAX]);
  si_reply(r, 200, "text/plain", text);
}

/* Sets the number of slots, unless the fencing token is out of date. */
static void set_slots (engine_t *e, mt_webreq_t *r) {
  int64_t token = si_query_int(r, "token", 0);
  if (e->fencing && token < e->fencing_token) {
    si_reply(r, 409, "application/json",
             "{\"error\":{\"code\":\"stale_order\"}}");
    return;
  }
  e->fencing_token = mt_max(e->fencing_token, token);
  long slots = si_query_int(r, "slots", 0);
  if (slots > 0) e->slots = (int)slots;
  si_reply(r, 200, "application/json", "{}");
}

static void handle (void *ud, mt_webreq_t *r) {
  engine_t *e = ud;
  if (si_matches(r, "POST", "/v1/chat/completions")) {
    start_completion(e, r);
  } else if (si_matches(r, "GET", "/v1/streams/")) {
    resume_stream(e, r);
  } else if (si_matches(r, "POST", "/v1/cancel/")) {
    cancel_stream(e, r);
  } else if (si_matches(r, "GET", "/stats")) {
    reply_stats(e, r);
  } else if (si_matches(r, "GET", "/load")) {
    reply_load(e, r);
  } else if (si_matches(r, "GET", "/cache/events")) {
    reply_cache_events(e, r);
  } else if (si_matches(r, "POST", "/orders")) {
    set_slots(e, r);
  } else if (si_matches(r, "POST", "/stall")) {
    e->stalled_until = (long)uv_now(e->loop) + si_query_int(r, "ms", 0);
    si_reply(r, 200, "text/plain", "ok");
  } else {
    si_reply(r, 404, "application/json", "{}");
  }
}

/* }== */

static void onstep (uv_timer_t *t) {
  engine_group_t *f = t->data;
  uint64_t now = uv_hrtime();
  double ms = (double)(now - f->last) / 1e6;
  f->last = now;
  for (int i = 0; i < f->n; i++) step(&f->engines[i], ms, uv_now(t->loop));
}

int si_engine (int argc, char **argv, uv_loop_t *loop) {
  engine_group_t *f = mtV_new(sizeof *f);
  uv_timer_t *t = mtV_new(sizeof *t);
  f->n = (int)si_option_int(argc, argv, "--count", 1);
  f->engines = mtV_new((size_t)f->n * sizeof *f->engines);
  f->last = uv_hrtime();
  const char *speeds = si_option(argc, argv, "--speeds", "1");
  printf("{\"engines\": [");
  for (int i = 0; i < f->n; i++) {
    engine_t *e = &f->engines[i];
    e->loop = loop;
    e->index = i;
    e->slots = (int)si_option_int(argc, argv, "--slots", 8);
    e->rate = (double)si_option_int(argc, argv, "--rate", 100);
    e->cache_cap = (int)mt_min(si_option_int(argc, argv, "--cache", 32), 256);
    e->fencing = si_option_int(argc, argv, "--fenced", 1) != 0;
    e->speed = atof(speeds);
    const char *comma = strchr(speeds, ',');
    speeds = comma ? comma + 1 : si_option(argc, argv, "--speeds", "1");
    e->web = si_listen(
        loop,
        (uint16_t)(f->n == 1 ? si_option_int(argc, argv, "--port", 0) : 0),
        handle, e);
    printf(
        "%s{\"url\": \"http://127.0.0.1:%u\", \"speed\": %g, \"slots\": %d}",
        i ? ", " : "", mtB_port(e->web), e->speed, e->slots);
  }
  printf("]}\n");
  uv_timer_init(loop, t);
  t->data = f;
  uv_timer_start(t, onstep, STEP_MS, STEP_MS);
  return 0;
}
