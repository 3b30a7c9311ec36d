/*
** sistore.c - stand-in for the platform's key-value service
*/
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin.h"

#define WRITES_PER_S 100
#define READS_PER_S 2000
#define SWEEP_MS 20

typedef struct entry_t {
  char key[160];
  char *text;
  size_t n;
  int64_t revision;
  uint64_t lease;
} entry_t;

typedef struct watch_t {
  mt_webreq_t *r;
  uint64_t key;
  int64_t after;
  uint64_t until;
  struct watch_t *next;
  struct store_t *s;
} watch_t;

typedef struct lease_t {
  uint64_t ttl, until;
} lease_t;

/* An answer that is held back while the store is slow. */
typedef struct held_t {
  mt_webreq_t *r;
  uv_timer_t timer;
  struct store_t *s;
} held_t;

typedef struct store_t {
  uv_loop_t *loop;
  mt_map_t entries, leases;
  int64_t revision;
  uint64_t lastlease;
  watch_t *watches;
  uint64_t reads, writes, watchcalls, refused;
  bool outage, limit;
  long slow, lostack;
  uint64_t second;
  int readsnow, writesnow;
} store_t;

static void answer (mt_webreq_t *r, int status, int64_t revision,
                    const char *text, size_t n) {
  char rev[24];
  snprintf(rev, sizeof rev, "%" PRId64, revision);
  mt_header_t h[2] = {{"content-type", "application/octet-stream"},
                      {"x-revision", rev}};
  mtB_reply(r, status, h, 2, text, n);
}

static uint64_t keyof (mt_bytes_t path, const char *head) {
  size_t n = strlen(head);
  return mtV_hash(path.p + n, path.n - n) | 1;
}

/* {== Watches ========================================================== */

static void ongone (void *ud, mt_webreq_t *r) {
  watch_t *w = ud;
  for (watch_t **at = &w->s->watches; *at; at = &(*at)->next) {
    if (*at != w) continue;
    *at = w->next;
    break;
  }
  (void)r;
  free(w);
}

/* Answers the watches that a change or the clock has ended. */
static void sweep (store_t *s) {
  for (watch_t **at = &s->watches; *at;) {
    watch_t *w = *at;
    entry_t *e = mtV_get(&s->entries, w->key);
    bool newer = e != NULL && e->revision > w->after;
    if (!newer && uv_now(s->loop) < w->until && !s->outage) {
      at = &w->next;
      continue;
    }
    *at = w->next;
    mtB_set_callbacks(w->r, NULL, NULL, NULL);
    if (s->outage)
      mtB_abort(w->r);
    else if (newer)
      answer(w->r, 200, e->revision, e->text, e->n);
    else
      answer(w->r, 204, 0, "", 0);
    free(w);
  }
}

static void watch (store_t *s, mt_webreq_t *r) {
  watch_t *w = mtV_new(sizeof *w);
  w->s = s;
  w->r = r;
  w->key = keyof(mtB_path(r), "/watch/");
  w->after = si_param(r, "after", 0);
  w->until = uv_now(s->loop) + (uint64_t)si_param(r, "wait", 1000);
  w->next = s->watches;
  s->watches = w;
  mtB_set_callbacks(r, w, ongone, NULL);
  sweep(s);
}

/* }== */

/* {== Values =========================================================== */

static void get (store_t *s, mt_webreq_t *r) {
  entry_t *e = mtV_get(&s->entries, keyof(mtB_path(r), "/kv/"));
  if (e == NULL)
    answer(r, 404, 0, "", 0);
  else
    answer(r, 200, e->revision, e->text, e->n);
}

static void drop (store_t *s, uint64_t key) {
  entry_t *e = mtV_del(&s->entries, key);
  if (e == NULL) return;
  free(e->text);
  free(e);
}

static int writevalue (store_t *s, mt_webreq_t *r, int64_t *revision) {
  uint64_t key = keyof(mtB_path(r), "/kv/");
  entry_t *e = mtV_get(&s->entries, key);
  int64_t expect = si_param(r, "if", -1);
  uint64_t lease = (uint64_t)si_param(r, "lease", 0);
  mt_bytes_t body = mtB_body(r);
  *revision = e ? e->revision : 0;
  if (body.n > MT_VALUE_MAX) return 413;
  if (lease != 0 && mtV_get(&s->leases, lease) == NULL) return 410;
  if (expect >= 0 && expect != *revision) return 409;
  if (e == NULL) {
    e = mtV_new(sizeof *e);
    mtV_put(&s->entries, key, e);
  }
  free(e->text);
  e->text = mtV_new(body.n + 1);
  memcpy(e->text, body.p, body.n);
  e->n = body.n;
  e->lease = lease;
  e->revision = *revision = ++s->revision;
  return 200;
}

static int deletevalue (store_t *s, mt_webreq_t *r) {
  uint64_t key = keyof(mtB_path(r), "/kv/");
  entry_t *e = mtV_get(&s->entries, key);
  int64_t expect = si_param(r, "if", -1);
  if (e == NULL) return 404;
  if (expect >= 0 && expect != e->revision) return 409;
  drop(s, key);
  s->revision++;
  return 200;
}

static void lease (store_t *s, mt_webreq_t *r) {
  char text[24];
  lease_t *l = mtV_new(sizeof *l);
  l->ttl = (uint64_t)si_param(r, "ttl", 10000);
  l->until = uv_now(s->loop) + l->ttl;
  mtV_put(&s->leases, ++s->lastlease, l);
  snprintf(text, sizeof text, "%" PRIu64, s->lastlease);
  si_text(r, 200, "text/plain", text);
}

static void keepalive (store_t *s, mt_webreq_t *r) {
  mt_bytes_t p = mtB_path(r);
  uint64_t id = strtoull(p.p + strlen("/lease/"), NULL, 10);
  lease_t *l = mtV_get(&s->leases, id);
  if (l != NULL) l->until = uv_now(s->loop) + l->ttl;
  si_text(r, l ? 200 : 410, "text/plain", "");
}

static void expire (store_t *s) {
  mtV_each (&s->leases, i) {
    lease_t *l = s->leases.vals[i];
    if (uv_now(s->loop) < l->until) continue;
    uint64_t id = s->leases.keys[i];
    free(mtV_del(&s->leases, id));
    for (size_t j = 0; j < s->entries.cap; j++) {
      entry_t *e = s->entries.keys[j] ? s->entries.vals[j] : NULL;
      if (e == NULL || e->lease != id) continue;
      drop(s, s->entries.keys[j]);
      j = (size_t)-1; /* the map has moved: look again */
    }
    return;
  }
}

/* }== */

/* {== Calls ============================================================ */

static void counts (store_t *s, mt_webreq_t *r) {
  char text[200];
  snprintf(text, sizeof text,
           "{\"reads\": %" PRIu64 ", \"writes\": %" PRIu64
           ", \"watches\": %" PRIu64 ", \"refused\": %" PRIu64 "}",
           s->reads, s->writes, s->watchcalls, s->refused);
  si_text(r, 200, "application/json", text);
}

static void switches (store_t *s, mt_webreq_t *r) {
  s->outage = si_param(r, "outage", s->outage) != 0;
  s->limit = si_param(r, "limit", s->limit) != 0;
  s->slow = si_param(r, "slow", s->slow);
  s->lostack = si_param(r, "lostack", s->lostack);
  si_text(r, 200, "text/plain", "ok");
  sweep(s);
}

static bool overlimit (store_t *s, bool writes) {
  uint64_t second = uv_now(s->loop) / 1000;
  if (second != s->second) s->readsnow = s->writesnow = 0;
  s->second = second;
  int *n = writes ? &s->writesnow : &s->readsnow;
  return ++*n > (writes ? WRITES_PER_S : READS_PER_S) && s->limit;
}

static void serve (store_t *s, mt_webreq_t *r) {
  int64_t revision = 0;
  if (s->outage) {
    mtB_abort(r);
    return;
  }
  if (si_is(r, "GET", "/kv/")) {
    get(s, r);
  } else if (si_is(r, "GET", "/watch/")) {
    watch(s, r);
  } else if (si_is(r, "POST", "/lease")) {
    lease(s, r);
  } else if (si_is(r, "PUT", "/lease/")) {
    keepalive(s, r);
  } else {
    int status = si_is(r, "PUT", "/kv/") ? writevalue(s, r, &revision)
                                         : deletevalue(s, r);
    bool lost = s->lostack > 0 && status == 200;
    if (lost) s->lostack--;
    if (lost)
      mtB_abort(r);
    else
      answer(r, status, revision, "", 0);
    sweep(s);
  }
}

static void onheldgone (void *ud, mt_webreq_t *r) {
  (void)r;
  ((held_t *)ud)->r = NULL;
}

static void onheldclosed (uv_handle_t *h) {
  free(h->data);
}

static void onheld (uv_timer_t *t) {
  held_t *h = t->data;
  if (h->r != NULL) {
    mtB_set_callbacks(h->r, NULL, NULL, NULL);
    serve(h->s, h->r);
  }
  uv_close((uv_handle_t *)t, onheldclosed);
}

static void hold (store_t *s, mt_webreq_t *r) {
  held_t *h = mtV_new(sizeof *h);
  h->r = r;
  h->s = s;
  h->timer.data = h;
  uv_timer_init(s->loop, &h->timer);
  uv_timer_start(&h->timer, onheld, (uint64_t)s->slow, 0);
  mtB_set_callbacks(r, h, onheldgone, NULL);
}

static void handle (void *ud, mt_webreq_t *r) {
  store_t *s = ud;
  if (si_is(r, "POST", "/switch")) {
    switches(s, r);
    return;
  }
  if (si_is(r, "GET", "/counts")) {
    counts(s, r);
    return;
  }
  bool watching = si_is(r, "GET", "/watch/"), reads = si_is(r, "GET", "/");
  if (watching)
    s->watchcalls++;
  else if (reads)
    s->reads++;
  else
    s->writes++;
  if (overlimit(s, !reads)) {
    s->refused++;
    si_text(r, 429, "text/plain", "too many calls");
  } else if (s->slow > 0 && !watching) {
    hold(s, r);
  } else {
    serve(s, r);
  }
}

static void onsweep (uv_timer_t *t) {
  sweep(t->data);
  expire(t->data);
}

/* }== */

int si_store (int argc, char **argv, uv_loop_t *loop) {
  store_t *s = mtV_new(sizeof *s);
  uv_timer_t *t = mtV_new(sizeof *t);
  s->loop = loop;
  s->limit = si_number(argc, argv, "--limit", 1) != 0;
  mt_web_t *web = si_listen(
      loop, (uint16_t)si_number(argc, argv, "--port", 0), handle, s);
  uv_timer_init(loop, t);
  t->data = s;
  uv_timer_start(t, onsweep, SWEEP_MS, SWEEP_MS);
  printf("{\"url\": \"http://127.0.0.1:%u\"}\n", mtB_port(web));
  return 0;
}
