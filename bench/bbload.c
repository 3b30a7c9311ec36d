/*
** bbload.c - callers: many requests at once against a lab's routers
*/
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bbload.h"

#define MAX_FLOWS 64
#define TICK_MS 5
#define BACKOFF_MS 50 /* after a refusal, in a closed loop */

typedef struct flow_t {
  bb_flow_t f;
  bb_seen_t seen;
  bb_load_t *L;
  double due; /* requests owed, open loop */
  uint64_t quietuntil;
  uint64_t count;
  bool stopped;
} flow_t;

struct bb_load_t {
  bb_lab_t *lab;
  uint64_t seed;
  flow_t flows[MAX_FLOWS];
  int n;
  uv_timer_t timer;
  uint64_t last;
};

typedef struct one_t {
  flow_t *flow;
  uint64_t begun;
  bool first, good;
  int64_t tokens;
  char tail[16];
  size_t ntail;
} one_t;

/* {== One request ====================================================== */

/* Counts events; a mark may be cut between two reads. */
static int64_t countevents (one_t *o, mt_bytes_t data) {
  static const char mark[] = "\"content\"";
  size_t m = sizeof mark - 1;
  int64_t n = 0;
  char joined[64];
  size_t head = mt_min(data.n, m - 1);
  memcpy(joined, o->tail, o->ntail);
  memcpy(joined + o->ntail, data.p, head);
  const char *p = joined, *end = joined + o->ntail + head;
  while ((p = memmem(p, (size_t)(end - p), mark, m)) != NULL) {
    if (p < joined + o->ntail) n++;
    p += m;
  }
  p = data.p;
  end = data.p + data.n;
  while ((p = memmem(p, (size_t)(end - p), mark, m)) != NULL) {
    n++;
    p += m;
  }
  o->ntail = mt_min(data.n, m - 1);
  memcpy(o->tail, data.p + data.n - o->ntail, o->ntail);
  return n;
}

static void onanswer (void *ud, mt_call_t *call, const mt_callev_t *ev) {
  (void)call;
  one_t *o = ud;
  flow_t *w = o->flow;
  uint64_t now = uv_now(&w->L->lab->loop);
  switch (ev->kind) {
    case MT_CALL_HEAD:
      o->good = ev->status == 200;
      if (!o->good) w->quietuntil = now + BACKOFF_MS;
      return;
    case MT_CALL_BODY:
      if (!o->good) return;
      if (!o->first) {
        *mtV_push(w->seen.waits, w->seen.nwaits, w->seen.waits_cap) =
            (double)(uv_hrtime() - o->begun) / 1e6;
        o->first = true;
      }
      w->seen.tokens += w->f.whole ? 0 : countevents(o, ev->data);
      return;
    case MT_CALL_FAILED:
      w->seen.failed++;
      w->quietuntil = now + BACKOFF_MS;
      break;
    case MT_CALL_END:
      if (o->good)
        w->seen.answered++;
      else
        w->seen.refused++;
      if (o->good && w->f.whole) w->seen.tokens += o->tokens;
      break;
  }
  w->seen.inflight--;
  free(o);
}

static void ask (flow_t *w) {
  bb_load_t *L = w->L;
  one_t *o = mtV_new(sizeof *o);
  o->flow = w;
  o->begun = uv_hrtime();
  bool isslong = mtV_random(&L->seed) % 100 < (uint64_t)w->f.longpct;
  o->tokens = isslong ? w->f.longtokens : w->f.shorttokens;
  char headers[256], body[512], prefix[48] = "", session[64] = "";
  if (w->f.sessions > 0) {
    uint64_t s = mtV_random(&L->seed) % (uint64_t)w->f.sessions;
    snprintf(prefix, sizeof prefix, "prefix=w%d-s%llu ", w->f.workspace,
             (unsigned long long)s);
    snprintf(session, sizeof session, "X-Session-Id: s%llu\r\n",
             (unsigned long long)s);
  }
  snprintf(
      headers, sizeof headers,
      "Authorization: Bearer key-w%d\r\nContent-Type: application/json\r\n%s",
      w->f.workspace, session);
  snprintf(
      body, sizeof body,
      "{\"model\":\"%s\",\"stream\":%s,\"messages\":[{\"role\":\"user\",\"content\":\"%stokens=%lld n=%llu\"}]}",
      w->f.model ? w->f.model : "m1", w->f.whole ? "false" : "true", prefix,
      (long long)o->tokens, (unsigned long long)w->count);
  size_t r = w->f.router >= 0 ? (size_t)w->f.router
                              : (size_t)(w->count % L->lab->nrouters);
  mt_callspec_t spec = {L->lab->routers[r].callers, "POST",
                        "/v1/chat/completions",     headers,
                        {body, strlen(body)},       false};
  w->count++;
  w->seen.asked++;
  w->seen.inflight++;
  mtY_call(L->lab->http, &spec, onanswer, o);
}

/* }== */

/* {== Flows ============================================================ */

static void openloop (flow_t *w, double ms) {
  int burst = mt_max(w->f.burst, 1);
  w->due += w->f.rate * ms / 1000.0;
  while (w->due >= burst) {
    for (int i = 0; i < burst; i++) ask(w);
    w->due -= burst;
  }
}

static void ontick (uv_timer_t *t) {
  bb_load_t *L = t->data;
  uint64_t now = uv_hrtime();
  double ms = (double)(now - L->last) / 1e6;
  L->last = now;
  for (int i = 0; i < L->n; i++) {
    flow_t *w = &L->flows[i];
    if (w->stopped) continue;
    if (w->f.concurrency == 0) {
      openloop(w, ms);
      continue;
    }
    while (w->seen.inflight < w->f.concurrency &&
           uv_now(t->loop) >= w->quietuntil)
      ask(w);
  }
}

bb_load_t *bb_load (bb_lab_t *lab, uint64_t seed) {
  bb_load_t *L = mtV_new(sizeof *L);
  L->lab = lab;
  L->seed = seed;
  L->last = uv_hrtime();
  uv_timer_init(&lab->loop, &L->timer);
  L->timer.data = L;
  uv_timer_start(&L->timer, ontick, 0, TICK_MS);
  return L;
}

int bb_flow (bb_load_t *L, const bb_flow_t *f) {
  flow_t *w = &L->flows[L->n];
  w->f = *f;
  w->L = L;
  return L->n++;
}

void bb_stopflow (bb_load_t *L, int flow) {
  for (int i = 0; i < L->n; i++)
    if (flow < 0 || i == flow) L->flows[i].stopped = true;
}

bb_seen_t *bb_seen (bb_load_t *L, int flow) {
  return &L->flows[flow].seen;
}

bool bb_idle (bb_load_t *L, unsigned ms) {
  uint64_t until = uv_hrtime() + (uint64_t)ms * 1000000;
  for (;;) {
    int n = 0;
    for (int i = 0; i < L->n; i++) n += L->flows[i].seen.inflight;
    if (n == 0) return true;
    if (uv_hrtime() > until) return false;
    bb_run(L->lab, 20);
  }
}

static void onclosed (uv_handle_t *h) {
  free(h->data);
}

void bb_endload (bb_load_t *L) {
  for (int i = 0; i < L->n; i++) free(L->flows[i].seen.waits);
  uv_close((uv_handle_t *)&L->timer, onclosed);
  uv_run(&L->lab->loop, UV_RUN_NOWAIT);
}

/* }== */

static int bydouble (const void *a, const void *b) {
  double x = *(const double *)a, y = *(const double *)b;
  return (x > y) - (x < y);
}

double bb_percentile (double *v, size_t n, double p) {
  if (n == 0) return 0;
  qsort(v, n, sizeof *v, bydouble);
  return v[(size_t)(p * (double)(n - 1) + 0.5)];
}
