/*
** mtops.c - HTTP endpoints for operators: metrics, health, status, drain
*/
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include "mtmember.h"
#include "mtops.h"
#include "mtsched.h"

/* A growable string. */
typedef struct text_t {
  char *p;
  size_t n, cap;
} text_t;

static void put (text_t *t, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* Appends formatted text, at most 511 bytes of it. */
static void put (text_t *t, const char *fmt, ...) {
  char line[512];
  va_list ap;
  va_start(ap, fmt);
  int n = vsnprintf(line, sizeof line, fmt, ap);
  va_end(ap);
  if (n < 0) return;
  size_t len = mt_min((size_t)n, sizeof line - 1);
  while (t->n + len + 1 > t->cap) t->p = mtV_grow(t->p, t->cap, &t->cap, 1);
  memcpy(t->p + t->n, line, len);
  t->n += len;
  t->p[t->n] = '\0';
}

/* {== Metrics ========================================================== */

static void putcounts (text_t *t, const mt_counts_t *c) {
  for (int i = 0; i < MT_NCOUNTERS; i++)
    put(t, "martentiller_%s %llu\n", mtA_countername((mt_counter_t)i),
        (unsigned long long)c->totals[i]);
  for (int i = 1; i < MT_NREJECTIONS; i++)
    put(t, "martentiller_refusals_total{reason=\"%s\"} %llu\n",
        mtA_rejection((mt_rejection_t)i)->code,
        (unsigned long long)c->rejections[i]);
  for (int i = 0; i < MT_NRETRIES; i++)
    put(t, "martentiller_retries_total{reason=\"%s\"} %llu\n",
        mtA_retryname((mt_retry_t)i), (unsigned long long)c->retries[i]);
  for (int i = 1; i < MT_NMSGKINDS; i++) {
    const char *kind = mtW_kindname((mt_msgkind_t)i);
    put(t, "martentiller_control_messages_total{kind=\"%s\"} %llu\n", kind,
        (unsigned long long)c->sent[i]);
    put(t, "martentiller_control_bytes_total{kind=\"%s\"} %llu\n", kind,
        (unsigned long long)c->sentbytes[i]);
  }
}

static const char *wsname (const mt_state_t *S, mt_id_t ws) {
  const mt_workspace_t *w = S->fleet ? mtF_workspace(S->fleet, ws) : NULL;
  return w ? w->name : "-";
}

static const char *poolname (const mt_state_t *S, mt_id_t pool) {
  const mt_pool_t *p = S->fleet ? mtF_pool(S->fleet, pool) : NULL;
  return p ? p->name : "-";
}

static void putqueues (text_t *t, const mt_state_t *S) {
  mtV_each (&S->edge.queues, i) {
    const mt_queue_t *q = S->edge.queues.vals[i];
    const char *w = wsname(S, q->ws), *p = poolname(S, q->pool);
    put(t, "martentiller_service_tokens{workspace=\"%s\",pool=\"%s\"} %lld\n",
        w, p, (long long)(q->served / MT_UNIT_SCALE));
    put(t, "martentiller_waiting{workspace=\"%s\",pool=\"%s\"} %d\n", w, p,
        (int)q->n);
    put(t, "martentiller_running{workspace=\"%s\",pool=\"%s\"} %d\n", w, p,
        (int)q->running);
    put(t, "martentiller_wait_ms_sum{workspace=\"%s\",pool=\"%s\"} %llu\n", w,
        p, (unsigned long long)q->waitsum);
    put(t, "martentiller_wait_ms_count{workspace=\"%s\",pool=\"%s\"} %llu\n",
        w, p, (unsigned long long)q->waits);
    put(t, "martentiller_wait_ms_most{workspace=\"%s\",pool=\"%s\"} %llu\n",
        w, p, (unsigned long long)q->waitmax);
  }
}

/*
** Current resident memory in bytes, 0 when it cannot be read. ru_maxrss is
** not used because it also counts the peak of the parent before exec.
*/
static long residentbytes (void) {
  long total = 0, resident = 0;
  FILE *f = fopen("/proc/self/statm", "r");
  if (f == NULL) return 0;
  if (fscanf(f, "%ld %ld", &total, &resident) != 2) resident = 0;
  fclose(f);
  return resident * sysconf(_SC_PAGESIZE);
}

static void putgauges (text_t *t, const mt_router_t *X) {
  const mt_state_t *S = X->S;
  struct rusage ru;
  getrusage(RUSAGE_SELF, &ru);
  double cpu = (double)ru.ru_utime.tv_sec + (double)ru.ru_stime.tv_sec +
               (double)(ru.ru_utime.tv_usec + ru.ru_stime.tv_usec) / 1e6;
  put(t, "martentiller_config_revision %lld\n", (long long)S->conf.revision);
  put(t, "martentiller_config_age_seconds %.1f\n",
      (double)(S->now - S->conf.applied_at) / 1000.0);
  put(t, "martentiller_requests_waiting %zu\n", S->edge.waiting);
  put(t, "martentiller_requests_running %zu\n", S->edge.inprogress);
  put(t, "martentiller_cpu_seconds_total %.3f\n", cpu);
  put(t, "martentiller_memory_bytes %ld\n", residentbytes());
  put(t, "martentiller_boot %llu\n", (unsigned long long)X->boot);
}

static void metrics (mt_router_t *X, mt_webreq_t *r) {
  text_t t = {0};
  putcounts(&t, &X->S->counts);
  putgauges(&t, X);
  putqueues(&t, X->S);
  mt_header_t h = {"content-type", "text/plain; version=0.0.4"};
  mtB_reply(r, 200, &h, 1, t.p, t.n);
  free(t.p);
}

/* }== */

/* {== Status =========================================================== */

static const char *statename (const mt_member_t *m) {
  static const char *const names[] = {"alive", "leaving", "left", "dead"};
  return m->suspect ? "suspect" : names[m->node.state];
}

static json_t *membersof (const mt_state_t *S) {
  json_t *all = json_array();
  mtV_each (&S->members.byid, i) {
    const mt_member_t *m = S->members.byid.vals[i];
    json_array_append_new(
        all, json_pack("{s:s,s:s,s:s,s:I}", "node", m->node.name, "domain",
                       m->node.domain, "state", statename(m), "revision",
                       (json_int_t)(m == S->members.self ? S->conf.revision
                                                         : m->revision)));
  }
  return all;
}

static json_t *accountsof (const mt_state_t *S, const mt_sched_t *G) {
  json_t *all = json_array();
  for (size_t i = 0; i < G->naccounts; i++) {
    const mt_account_t *a = G->list[i];
    json_array_append_new(
        all,
        json_pack("{s:s,s:I,s:I,s:i,s:i}", "workspace", wsname(S, a->ws),
                  "tag", (json_int_t)(mtG_tag(a) / MT_UNIT_SCALE), "served",
                  (json_int_t)((a->retired + a->served + a->remote_served) /
                               MT_UNIT_SCALE),
                  "waiting", a->waiting, "waiting_elsewhere",
                  a->remote_waiting));
  }
  return all;
}

static const char *domainname (const mt_state_t *S, mt_id_t domain) {
  if (domain == S->members.self->domain) return S->set.domain;
  for (size_t i = 0; S->fleet && i < S->fleet->ntargets; i++)
    if (S->fleet->targets[i].domainid == domain)
      return S->fleet->targets[i].domain;
  return "-";
}

/* The schedulers for which this router is the primary. */
static json_t *schedsof (const mt_state_t *S) {
  json_t *all = json_array();
  mtV_each (&S->scheds, i) {
    const mt_sched_t *G = S->scheds.vals[i];
    if (!G->primary) continue;
    json_array_append_new(all, json_pack("{s:s,s:s,s:o}", "domain",
                                         domainname(S, G->domain), "pool",
                                         poolname(S, G->pool), "accounts",
                                         accountsof(S, G)));
  }
  return all;
}

static void status (mt_router_t *X, mt_webreq_t *r) {
  const mt_state_t *S = X->S;
  json_t *doc = json_pack("{s:s,s:s,s:I,s:b,s:I,s:I,s:o,s:o}", "node",
                          S->set.node, "domain", S->set.domain, "revision",
                          (json_int_t)S->conf.revision, "draining",
                          S->draining, "waiting", (json_int_t)S->edge.waiting,
                          "running", (json_int_t)S->edge.inprogress,
                          "members", membersof(S), "schedulers", schedsof(S));
  char *text = json_dumps(doc, JSON_INDENT(1));
  mt_header_t h = {"content-type", "application/json"};
  mtB_reply(r, 200, &h, 1, text, strlen(text));
  free(text);
  json_decref(doc);
}

/* }== */

static void reply_text (mt_webreq_t *r, int code, const char *text) {
  mt_header_t h = {"content-type", "text/plain"};
  mtB_reply(r, code, &h, 1, text, strlen(text));
}

void mtI_handle (void *ud, mt_webreq_t *r) {
  mt_router_t *X = ud;
  if (mtB_is(r, "GET", "/metrics")) {
    metrics(X, r);
  } else if (mtB_is(r, "GET", "/healthz")) {
    reply_text(r, 200, "ok\n");
  } else if (mtB_is(r, "GET", "/readyz")) {
    bool ready = X->S->fleet != NULL && !X->S->draining;
    reply_text(r, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
  } else if (mtB_is(r, "GET", "/status")) {
    status(X, r);
  } else if (mtB_is(r, "POST", "/drain")) {
    reply_text(r, 202, "draining\n");
    mt_event_t ev = {.kind = MT_EV_DRAIN};
    mtX_step(X, &ev);
  } else {
    reply_text(r, 404, "no such page\n");
  }
}
