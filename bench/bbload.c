/*
** bbload.c - load generator: open and closed loops of requests to routers
*/
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bbload.h"

#define FLOWS_MAX 64
#define TICK_MS 5     /* interval at which flows send what is due */
#define BACKOFF_MS 50 /* closed loop: pause after a rejection or failure */

typedef struct flow_state_t {
  bb_flow_t f;
  bb_flow_stats_t stats;
  bb_load_t *L;
  double owed;            /* open loop: requests due and not yet sent */
  uint64_t backoff_until; /* loop time, ms */
  uint64_t count;         /* requests sent */
  bool stopped;
} flow_state_t;

struct bb_load_t {
  bb_cluster_t *cluster;
  uint64_t seed;
  flow_state_t flows[FLOWS_MAX];
  int n;
  uv_timer_t timer;
  uint64_t last; /* time of the last tick, ns */
};

typedef struct request_t {
  flow_state_t *flow;
  uint64_t begun; /* ns */
  bool got_first_byte, ok;
  int64_t tokens; /* that were requested */
  char tail[16];  /* end of the data before, for a split match */
  size_t ntail;
} request_t;

/* {== One request ====================================================== */

/* Counts token events by their mark, which may be split over two reads. */
static int64_t count_tokens (request_t *o, mt_bytes_t data) {
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

static void onresponse (void *ud, mt_call_t *call, const mt_callev_t *ev) {
  (void)call;
  request_t *o = ud;
  flow_state_t *w = o->flow;
  uint64_t now = uv_now(&w->L->cluster->loop);
  switch (ev->kind) {
    case MT_CALL_HEAD:
      o->ok = ev->status == 200;
      if (!o->ok) w->backoff_until = now + BACKOFF_MS;
      return;
    case MT_CALL_BODY:
      if (!o->ok) return;
      if (!o->got_first_byte) {
        *mtV_push(w->stats.first_byte_ms, w->stats.nfirst_byte,
                  w->stats.first_byte_cap) =
            (double)(uv_hrtime() - o->begun) / 1e6;
        o->got_first_byte = true;
      }
      w->stats.tokens += w->f.unstreamed ? 0 : count_tokens(o, ev->data);
      return;
    case MT_CALL_FAILED:
      w->stats.failed++;
      w->backoff_until = now + BACKOFF_MS;
      break;
    case MT_CALL_END:
      if (o->ok)
        w->stats.completed++;
      else
        w->stats.rejected++;
      if (o->ok && w->f.unstreamed) w->stats.tokens += o->tokens;
      break;
  }
  w->stats.inflight--;
  free(o);
}

static void send_request (flow_state_t *w) {
  bb_load_t *L = w->L;
  request_t *o = mtV_new(sizeof *o);
  o->flow = w;
  o->begun = uv_hrtime();
  bool islong = mtV_random(&L->seed) % 100 < (uint64_t)w->f.longpct;
  o->tokens = islong ? w->f.longtokens : w->f.shorttokens;
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
      w->f.model ? w->f.model : "m1", w->f.unstreamed ? "false" : "true",
      prefix, (long long)o->tokens, (unsigned long long)w->count);
  size_t r = w->f.router >= 0 ? (size_t)w->f.router
                              : (size_t)(w->count % L->cluster->nrouters);
  mt_callspec_t spec = {L->cluster->routers[r].callers, "POST",
                        "/v1/chat/completions",         headers,
                        {body, strlen(body)},           false};
  w->count++;
  w->stats.asked++;
  w->stats.inflight++;
  mtY_call(L->cluster->http, &spec, onresponse, o);
}

/* }== */

/* {== Flows ============================================================ */

static void run_open_loop (flow_state_t *w, double ms) {
  int burst = mt_max(w->f.burst, 1);
  w->owed += w->f.rate * ms / 1000.0;
  while (w->owed >= burst) {
    for (int i = 0; i < burst; i++) send_request(w);
    w->owed -= burst;
  }
}

static void ontick (uv_timer_t *t) {
  bb_load_t *L = t->data;
  uint64_t now = uv_hrtime();
  double ms = (double)(now - L->last) / 1e6;
  L->last = now;
  for (int i = 0; i < L->n; i++) {
    flow_state_t *w = &L->flows[i];
    if (w->stopped) continue;
    if (w->f.concurrency == 0) {
      run_open_loop(w, ms);
      continue;
    }
    while (w->stats.inflight < w->f.concurrency &&
           uv_now(t->loop) >= w->backoff_until)
      send_request(w);
  }
}

bb_load_t *bb_start_load (bb_cluster_t *cluster, uint64_t seed) {
  bb_load_t *L = mtV_new(sizeof *L);
  L->cluster = cluster;
  L->seed = seed;
  L->last = uv_hrtime();
  uv_timer_init(&cluster->loop, &L->timer);
  L->timer.data = L;
  uv_timer_start(&L->timer, ontick, 0, TICK_MS);
  return L;
}

int bb_add_flow (bb_load_t *L, const bb_flow_t *f) {
  flow_state_t *w = &L->flows[L->n];
  w->f = *f;
  w->L = L;
  return L->n++;
}

void bb_stop_flow (bb_load_t *L, int flow) {
  for (int i = 0; i < L->n; i++)
    if (flow < 0 || i == flow) L->flows[i].stopped = true;
}

bb_flow_stats_t *bb_flow_stats (bb_load_t *L, int flow) {
  return &L->flows[flow].stats;
}

bool bb_wait_idle (bb_load_t *L, unsigned ms) {
  uint64_t until = uv_hrtime() + (uint64_t)ms * 1000000;
  for (;;) {
    int n = 0;
    for (int i = 0; i < L->n; i++) n += L->flows[i].stats.inflight;
    if (n == 0) return true;
    if (uv_hrtime() > until) return false;
    bb_run_loop(L->cluster, 20);
  }
}

static void onclosed (uv_handle_t *h) {
  free(h->data);
}

void bb_stop_load (bb_load_t *L) {
  for (int i = 0; i < L->n; i++) free(L->flows[i].stats.first_byte_ms);
  uv_close((uv_handle_t *)&L->timer, onclosed);
  uv_run(&L->cluster->loop, UV_RUN_NOWAIT);
}

/* }== */

static int compare_doubles (const void *a, const void *b) {
  double x = *(const double *)a, y = *(const double *)b;
  return (x > y) - (x < y);
}

double bb_percentile (double *v, size_t n, double p) {
  if (n == 0) return 0;
  qsort(v, n, sizeof *v, compare_doubles);
  return v[(size_t)(p * (double)(n - 1) + 0.5)];
}
