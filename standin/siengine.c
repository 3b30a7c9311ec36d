/*
** siengine.c - stand-in for model engines: one process plays many
**
** An engine batches continuously: with n streams each runs at
** rate * speed / (1 + CROWDING * (n - 1)). The last message may say
** "tokens=N" (length of the answer) and "prefix=NAME" (what is cached);
** the router does not look there.
*/
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "standin.h"

#define STEP_MS 5
#define CROWDING 0.10
#define PREFILL 200.0     /* prompt tokens read in the time of one token */
#define PREFIX_TOKENS 400 /* read again when the prefix is not cached */
#define KEEP_MS 60000     /* a finished stream can be resumed this long */
#define EVENTS_KEPT 64
#define EVENT_GAP 7 /* every which cache event is lost */
#define LOAD_LAG_MS 500
#define DEFAULT_TOKENS 24

typedef struct stream_t {
  struct engine_t *e;
  mt_webreq_t *r; /* NULL while nobody listens */
  uint64_t id, seed;
  int prompt, total, made, sent;
  int priority;
  double progress; /* tokens, below zero while the prompt is read */
  bool sse, running, done, cancelled, begun;
  uint64_t ended;
  struct stream_t *next;
} stream_t;

typedef struct engine_t {
  uv_loop_t *loop;
  mt_web_t *web;
  int index, slots, active;
  double rate, speed;
  stream_t *streams;
  mt_map_t byid;
  uint64_t cache[256]; /* prefixes, most recent first */
  int ncache, cachecap;
  char events[EVENTS_KEPT][64];
  uint64_t nevents;
  uint64_t hits, misses, runs, cancels, tokens, prompts, over;
  double busy; /* slot milliseconds */
  int reported;
  uint64_t reportedat;
  int64_t fence;
  bool fenced;
  long stall; /* engine stops until this time */
} engine_t;

typedef struct farm_t {
  engine_t *engines;
  int n;
  uint64_t last;
} farm_t;

/* {== Cache ============================================================ */

static void event (engine_t *e, const char *what, uint64_t prefix) {
  e->nevents++;
  snprintf(e->events[e->nevents % EVENTS_KEPT], 64,
           "%" PRIu64 " %s %016" PRIx64, e->nevents, what, prefix);
}

/* True when the prefix was cached; it is most recent afterwards. */
static bool touch (engine_t *e, uint64_t prefix) {
  int at = 0;
  while (at < e->ncache && e->cache[at] != prefix) at++;
  bool hit = at < e->ncache;
  if (!hit) {
    if (e->ncache == e->cachecap) event(e, "evict", e->cache[--e->ncache]);
    at = e->ncache++;
    event(e, "store", prefix);
  }
  memmove(&e->cache[1], &e->cache[0], (size_t)at * sizeof e->cache[0]);
  e->cache[0] = prefix;
  return hit;
}

/* }== */

/* {== Streams ========================================================== */

static void unlinkstream (stream_t *s) {
  for (stream_t **at = &s->e->streams; *at; at = &(*at)->next) {
    if (*at != s) continue;
    *at = s->next;
    break;
  }
  if (mtV_get(&s->e->byid, s->id) == s) mtV_del(&s->e->byid, s->id);
  free(s);
}

static void endstream (stream_t *s) {
  if (s->done) return;
  s->done = true;
  s->ended = uv_now(s->e->loop);
  if (s->running) s->e->active--;
  s->running = false;
}

static void onleft (void *ud, mt_webreq_t *r) {
  (void)r;
  ((stream_t *)ud)->r = NULL;
}

static const char *word (const stream_t *s, int i, char out[24]) {
  snprintf(out, 24, "w%x ",
           (unsigned)(mtV_mix(s->seed, (uint64_t)i) & 0xffff));
  return out;
}

static int usage (const stream_t *s, char *out, size_t size) {
  return snprintf(
      out, size,
      "\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}",
      s->prompt, s->made, s->prompt + s->made);
}

static void sendevents (stream_t *s) {
  char line[256], w[24], u[128];
  for (; s->sent < s->made; s->sent++) {
    int n = snprintf(
        line, sizeof line,
        "data: {\"id\":\"%016" PRIx64
        "\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,"
        "\"delta\":{\"content\":\"%s\"}}]}\n\n",
        s->id, word(s, s->sent, w));
    mtB_write(s->r, line, (size_t)n);
  }
  if (!s->done) return;
  usage(s, u, sizeof u);
  int n = snprintf(line, sizeof line,
                   "data: {\"choices\":[],%s}\n\ndata: [DONE]\n\n", u);
  mtB_write(s->r, line, (size_t)n);
  mt_webreq_t *r = s->r;
  s->r = NULL;
  mtB_end(r);
}

static void sendwhole (stream_t *s) {
  if (!s->done) return;
  size_t size = (size_t)s->made * 24 + 512, n = 0;
  char *text = mtV_new(size), w[24], u[128];
  n += (size_t)snprintf(
      text, size,
      "{\"id\":\"%016" PRIx64
      "\",\"object\":\"chat.completion\",\"choices\":[{\"index\":0,"
      "\"message\":{\"role\":\"assistant\",\"content\":\"",
      s->id);
  for (int i = 0; i < s->made; i++)
    n += (size_t)snprintf(text + n, size - n, "%s", word(s, i, w));
  usage(s, u, sizeof u);
  n += (size_t)snprintf(text + n, size - n,
                        "\"},\"finish_reason\":\"stop\"}],%s}", u);
  mt_header_t h = {"content-type", "application/json"};
  mt_webreq_t *r = s->r;
  s->r = NULL;
  mtB_set_callbacks(r, NULL, NULL, NULL);
  mtB_reply(r, 200, &h, 1, text, n);
  free(text);
}

static void show (stream_t *s) {
  if (s->r == NULL) return;
  if (!s->sse) {
    sendwhole(s);
    return;
  }
  if (!s->begun && s->made == 0 && !s->done) return;
  if (!s->begun) {
    mt_header_t h = {"content-type", "text/event-stream"};
    mtB_begin(s->r, 200, &h, 1);
    s->begun = true;
  }
  sendevents(s);
}

static void advance (engine_t *e, stream_t *s, double ms) {
  s->progress +=
      e->rate * e->speed * ms / 1000.0 / (1 + CROWDING * (e->active - 1));
  int made = s->progress > 0 ? (int)s->progress : 0;
  if (made > s->total) made = s->total;
  e->tokens += (uint64_t)(made - s->made);
  s->made = made;
  if (s->made == s->total) endstream(s);
}

/* Moves the best waiting stream into a free slot. */
static bool admit (engine_t *e) {
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
  while (admit(e)) continue;
  if ((uint64_t)e->stall > now) return;
  e->busy += ms * e->active;
  if (now - e->reportedat >= LOAD_LAG_MS) {
    e->reportedat = now;
    e->reported = e->active;
  }
  for (stream_t *s = e->streams, *next; s != NULL; s = next) {
    next = s->next;
    if (s->running) advance(e, s, ms);
    show(s);
    bool old = s->done && s->r == NULL &&
               (s->cancelled || !s->sse || now - s->ended > KEEP_MS);
    if (old) unlinkstream(s);
  }
}

/* }== */

/* {== Calls ============================================================ */

static long told (const char *text, const char *name, long otherwise) {
  const char *at = text ? strstr(text, name) : NULL;
  return at ? atol(at + strlen(name)) : otherwise;
}

static void completion (engine_t *e, mt_webreq_t *r) {
  mt_bytes_t body = mtB_body(r), id = mtB_header(r, "x-request-id"),
             pr = mtB_header(r, "x-priority");
  json_t *doc = json_loadb(body.p, body.n, 0, NULL);
  json_t *messages = json_object_get(doc, "messages");
  if (!json_is_array(messages)) {
    si_text(r, 400, "application/json",
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
  s->total = (int)told(text, "tokens=", DEFAULT_TOKENS);
  json_t *most = json_object_get(doc, "max_tokens");
  if (json_is_integer(most))
    s->total = (int)mt_min(s->total, json_integer_value(most));
  const char *prefix = text ? strstr(text, "prefix=") : NULL;
  s->progress = -(double)s->prompt / PREFILL;
  if (prefix != NULL) {
    bool hit = touch(e, mtV_hash(prefix, strcspn(prefix, " ")));
    e->hits += hit;
    e->misses += !hit;
    if (!hit) s->progress -= PREFIX_TOKENS / PREFILL;
  }
  s->next = e->streams;
  e->streams = s;
  e->runs++;
  e->prompts += (uint64_t)s->prompt;
  if (e->active >= e->slots) e->over++;
  mtV_put(&e->byid, s->id, s);
  mtB_set_callbacks(r, s, onleft, NULL);
  json_decref(doc);
}

static uint64_t idafter (mt_webreq_t *r, const char *head) {
  char text[17] = "";
  mt_bytes_t p = mtB_path(r);
  size_t n = mt_min(p.n - strlen(head), sizeof text - 1);
  memcpy(text, p.p + strlen(head), n);
  return strtoull(text, NULL, 16);
}

static void resume (engine_t *e, mt_webreq_t *r) {
  stream_t *s = mtV_get(&e->byid, idafter(r, "/v1/streams/"));
  int from = (int)si_param(r, "from", 0);
  if (s == NULL || s->cancelled || from < 0 || from > s->total) {
    si_text(r, 404, "application/json",
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
  s->begun = false;
  mtB_set_callbacks(r, s, onleft, NULL);
}

static void cancel (engine_t *e, mt_webreq_t *r) {
  stream_t *s = mtV_get(&e->byid, idafter(r, "/v1/cancel/"));
  if (s != NULL && !s->done) {
    e->cancels++;
    s->cancelled = true;
    endstream(s);
  }
  si_text(r, s ? 200 : 404, "application/json", "{}");
}

static void stats (engine_t *e, mt_webreq_t *r) {
  char text[512];
  snprintf(
      text, sizeof text,
      "{\"slots\":%d,\"active\":%d,\"busy_slot_ms\":%.0f,\"tokens\":%" PRIu64
      ",\"prompt_tokens\":%" PRIu64 ",\"runs\":%" PRIu64
      ",\"cancels\":%" PRIu64 ",\"hits\":%" PRIu64 ",\"misses\":%" PRIu64
      ",\"over\":%" PRIu64 ",\"now_ms\":%" PRIu64 "}",
      e->slots, e->active, e->busy, e->tokens, e->prompts, e->runs,
      e->cancels, e->hits, e->misses, e->over, uv_now(e->loop));
  si_text(r, 200, "application/json", text);
}

static void load (engine_t *e, mt_webreq_t *r) {
  char text[64];
  snprintf(text, sizeof text, "{\"running\":%d,\"slots\":%d}", e->reported,
           e->slots);
  si_text(r, 200, "application/json", text);
}

/* Cache events come late (the last two are held back) and with gaps. */
static void cacheevents (engine_t *e, mt_webreq_t *r) {
  uint64_t after = (uint64_t)si_param(r, "after", 0);
  char text[EVENTS_KEPT * 64] = "";
  size_t n = 0;
  uint64_t first =
      e->nevents > EVENTS_KEPT ? e->nevents - EVENTS_KEPT + 1 : 1;
  for (uint64_t i = mt_max(first, after + 1); i + 2 <= e->nevents; i++)
    if (i % EVENT_GAP != 0)
      n += (size_t)snprintf(text + n, sizeof text - n, "%s\n",
                            e->events[i % EVENTS_KEPT]);
  si_text(r, 200, "text/plain", text);
}

static void order (engine_t *e, mt_webreq_t *r) {
  int64_t token = si_param(r, "token", 0);
  if (e->fenced && token < e->fence) {
    si_text(r, 409, "application/json",
            "{\"error\":{\"code\":\"stale_order\"}}");
    return;
  }
  e->fence = mt_max(e->fence, token);
  long slots = si_param(r, "slots", 0);
  if (slots > 0) e->slots = (int)slots;
  si_text(r, 200, "application/json", "{}");
}

static void handle (void *ud, mt_webreq_t *r) {
  engine_t *e = ud;
  if (si_is(r, "POST", "/v1/chat/completions")) {
    completion(e, r);
  } else if (si_is(r, "GET", "/v1/streams/")) {
    resume(e, r);
  } else if (si_is(r, "POST", "/v1/cancel/")) {
    cancel(e, r);
  } else if (si_is(r, "GET", "/stats")) {
    stats(e, r);
  } else if (si_is(r, "GET", "/load")) {
    load(e, r);
  } else if (si_is(r, "GET", "/cache/events")) {
    cacheevents(e, r);
  } else if (si_is(r, "POST", "/orders")) {
    order(e, r);
  } else if (si_is(r, "POST", "/stall")) {
    e->stall = (long)uv_now(e->loop) + si_param(r, "ms", 0);
    si_text(r, 200, "text/plain", "ok");
  } else {
    si_text(r, 404, "application/json", "{}");
  }
}

/* }== */

static void onstep (uv_timer_t *t) {
  farm_t *f = t->data;
  uint64_t now = uv_hrtime();
  double ms = (double)(now - f->last) / 1e6;
  f->last = now;
  for (int i = 0; i < f->n; i++) step(&f->engines[i], ms, uv_now(t->loop));
}

int si_engine (int argc, char **argv, uv_loop_t *loop) {
  farm_t *f = mtV_new(sizeof *f);
  uv_timer_t *t = mtV_new(sizeof *t);
  f->n = (int)si_number(argc, argv, "--count", 1);
  f->engines = mtV_new((size_t)f->n * sizeof *f->engines);
  f->last = uv_hrtime();
  const char *speeds = si_option(argc, argv, "--speeds", "1");
  printf("{\"engines\": [");
  for (int i = 0; i < f->n; i++) {
    engine_t *e = &f->engines[i];
    e->loop = loop;
    e->index = i;
    e->slots = (int)si_number(argc, argv, "--slots", 8);
    e->rate = (double)si_number(argc, argv, "--rate", 100);
    e->cachecap = (int)mt_min(si_number(argc, argv, "--cache", 32), 256);
    e->fenced = si_number(argc, argv, "--fenced", 1) != 0;
    e->speed = atof(speeds);
    const char *comma = strchr(speeds, ',');
    speeds = comma ? comma + 1 : si_option(argc, argv, "--speeds", "1");
    e->web = si_listen(
        loop, (uint16_t)(f->n == 1 ? si_number(argc, argv, "--port", 0) : 0),
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
