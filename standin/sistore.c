/*
** sistore.c - simulated key-value store: values, watches, leases, faults
*/
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin.h"

/* Requests beyond these are rejected with 429, unless --limit is 0. */
#define WRITES_PER_S_MAX 100
#define READS_PER_S_MAX 2000
#define TICK_MS 20 /* interval at which watches and leases are checked */

typedef struct entry_t {
  char key[160];
  char *text;
  size_t n;
  int64_t revision; /* of its last write */
  uint64_t lease;   /* that it ends with; 0: none */
} entry_t;

/* A long poll for a revision of a key that is later than `after`. */
typedef struct watch_t {
  mt_webreq_t *r;
  uint64_t key;
  int64_t after;
  uint64_t expires; /* loop time, ms */
  struct watch_t *next;
  struct store_t *s;
} watch_t;

typedef struct lease_t {
  uint64_t ttl, expires; /* ms; loop time, ms */
} lease_t;

/* A request that is delayed while the store is slow. */
typedef struct delayed_t {
  mt_webreq_t *r;
  uv_timer_t timer;
  struct store_t *s;
} delayed_t;

typedef struct store_t {
  uv_loop_t *loop;
  mt_map_t entries, leases;
  int64_t revision; /* of the last change */
  uint64_t last_lease;
  watch_t *watches;
  uint64_t reads, writes, watch_requests, rejected;
  bool outage, rate_limited;
  long delay_ms, lost_acks; /* lost_acks: replies to writes to lose */
  uint64_t second;          /* that the next two counters are for */
  int second_reads, second_writes;
} store_t;

static void reply_value (mt_webreq_t *r, int status, int64_t revision,
                         const char *text, size_t n) {
  char rev[24];
  snprintf(rev, sizeof rev, "%" PRId64, revision);
  mt_header_t h[2] = {{"content-type", "application/octet-stream"},
                      {"x-revision", rev}};
  mtB_reply(r, status, h, 2, text, n);
}

/* The map key for the path after its prefix `head`; never 0. */
static uint64_t path_key (mt_bytes_t path, const char *head) {
  size_t n = strlen(head);
  return mtV_hash(path.p + n, path.n - n) | 1;
}

/* {== Watches ========================================================== */

static void onwatch_disconnect (void *ud, mt_webreq_t *r) {
  watch_t *w = ud;
  for (watch_t **at = &w->s->watches; *at; at = &(*at)->next) {
    if (*at != w) continue;
    *at = w->next;
    break;
  }
  (void)r;
  free(w);
}

/* Completes watches whose key has changed, that timed out, or on outage. */
static void complete_watches (store_t *s) {
  for (watch_t **at = &s->watches; *at;) {
    watch_t *w = *at;
    entry_t *e = mtV_get(&s->entries, w->key);
    bool newer = e != NULL && e->revision > w->after;
    if (!newer && uv_now(s->loop) < w->expires && !s->outage) {
      at = &w->next;
      continue;
    }
    *at = w->next;
    mtB_set_callbacks(w->r, NULL, NULL, NULL);
    if (s->outage)
      mtB_abort(w->r);
    else if (newer)
      reply_value(w->r, 200, e->revision, e->text, e->n);
    else
      reply_value(w->r, 204, 0, "", 0);
    free(w);
  }
}

static void add_watch (store_t *s, mt_webreq_t *r) {
  watch_t *w = mtV_new(sizeof *w);
  w->s = s;
  w->r = r;
  w->key = path_key(mtB_path(r), "/watch/");
  w->after = si_query_int(r, "after", 0);
  w->expires = uv_now(s->loop) + (uint64_t)si_query_int(r, "wait", 1000);
  w->next = s->watches;
  s->watches = w;
  mtB_set_callbacks(r, w, onwatch_disconnect, NULL);
  complete_watches(s);
}

/* }== */

/* {== Values =========================================================== */

static void get_value (store_t *s, mt_webreq_t *r) {
  entry_t *e = mtV_get(&s->entries, path_key(mtB_path(r), "/kv/"));
  if (e == NULL)
    reply_value(r, 404, 0, "", 0);
  else
    reply_value(r, 200, e->revision, e->text, e->n);
}

static void delete_entry (store_t *s, uint64_t key) {
  entry_t *e = mtV_del(&s->entries, key);
  if (e == NULL) return;
  free(e->text);
  free(e);
}

/* Handles PUT /kv/ and returns the status; *revision is the key's. */
static int put_value (store_t *s, mt_webreq_t *r, int64_t *revision) {
  uint64_t key = path_key(mtB_path(r), "/kv/");
  entry_t *e = mtV_get(&s->entries, key);
  int64_t expect = si_query_int(r, "if", -1);
  uint64_t lease = (uint64_t)si_query_int(r, "lease", 0);
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

static int delete_value (store_t *s, mt_webreq_t *r) {
  uint64_t key = path_key(mtB_path(r), "/kv/");
  entry_t *e = mtV_get(&s->entries, key);
  int64_t expect = si_query_int(r, "if", -1);
  if (e == NULL) return 404;
  if (expect >= 0 && expect != e->revision) return 409;
  delete_entry(s, key);
  s->revision++;
  return 200;
}

static void lease (store_t *s, mt_webreq_t *r) {
  char text[24];
  lease_t *l = mtV_new(sizeof *l);
  l->ttl = (uint64_t)si_query_int(r, "ttl", 10000);
  l->expires = uv_now(s->loop) + l->ttl;
  mtV_put(&s->leases, ++s->last_lease, l);
  snprintf(text, sizeof text, "%" PRIu64, s->last_lease);
  si_reply(r, 200, "text/plain", text);
}

static void keepalive (store_t *s, mt_webreq_t *r) {
  mt_bytes_t p = mtB_path(r);
  uint64_t id = strtoull(p.p + strlen("/lease/"), NULL, 10);
  lease_t *l = mtV_get(&s->leases, id);
  if (l != NULL) l->expires = uv_now(s->loop) + l->ttl;
  si_reply(r, l ? 200 : 410, "text/plain", "");
}

/* Deletes the entries of an expired lease; at most one lease a tick. */
static void expire_leases (store_t *s) {
  mtV_each (&s->leases, i) {
    lease_t *l = s->leases.vals[i];
    if (uv_now(s->loop) < l->expires) continue;
    uint64_t id = s->leases.keys[i];
    free(mtV_del(&s->leases, id));
    for (size_t j = 0; j < s->entries.cap; j++) {
      entry_t *e = s->entries.keys[j] ? s->entries.vals[j] : NULL;
      if (e == NULL || e->lease != id) continue;
      delete_entry(s, s->entries.keys[j]);
      j = (size_t)-1; /* deleting moves entries: start over */
    }
    return;
  }
}

/* }== */

/* {== Requests ========================================================= */

static void reply_counts (store_t *s, mt_webreq_t *r) {
  char text[200];
  snprintf(text, sizeof text,
           "{\"reads\": %" PRIu64 ", \"writes\": %" PRIu64
           ", \"watches\": %" PRIu64 ", \"refused\": %" PRIu64 "}",
           s->reads, s->writes, s->watch_requests, s->rejected);
  si_reply(r, 200, "application/json", text);
}

static void set_faults (store_t *s, mt_webreq_t *r) {
  s->outage = si_query_int(r, "outage", s->outage) != 0;
  s->rate_limited = si_query_int(r, "limit", s->rate_limited) != 0;
  s->delay_ms = si_query_int(r, "slow", s->delay_ms);
  s->lost_acks = si_query_int(r, "lostack", s->lost_acks);
  si_reply(r, 200, "text/plain", "ok");
  complete_watches(s);
}

/* Counts the request; true when it is over the limit of this second. */
static bool over_rate (store_t *s, bool writes) {
  uint64_t second = uv_now(s->loop) / 1000;
  if (second != s->second) s->second_reads = s->second_writes = 0;
  s->second = second;
  int *n = writes ? &s->second_writes : &s->second_reads;
  return ++*n > (writes ? WRITES_PER_S_MAX : READS_PER_S_MAX) &&
         s->rate_limited;
}

static void serve (store_t *s, mt_webreq_t *r) {
  int64_t revision = 0;
  if (s->outage) {
    mtB_abort(r);
    return;
  }
  if (si_matches(r, "GET", "/kv/")) {
    get_value(s, r);
  } else if (si_matches(r, "GET", "/watch/")) {
    add_watch(s, r);
  } else if (si_matches(r, "POST", "/lease")) {
    lease(s, r);
  } else if (si_matches(r, "PUT", "/lease/")) {
    keepalive(s, r);
  } else {
    int status = si_matches(r, "PUT", "/kv/") ? put_value(s, r, &revision)
                                              : delete_value(s, r);
    bool lost = s->lost_acks > 0 && status == 200;
    if (lost) s->lost_acks--;
    if (lost)
      mtB_abort(r);
    else
      reply_value(r, status, revision, "", 0);
    complete_watches(s);
  }
}

static void ondelayed_disconnect (void *ud, mt_webreq_t *r) {
  (void)r;
  ((delayed_t *)ud)->r = NULL;
}

static void ondelayed_closed (uv_handle_t *h) {
  free(h->data);
}

static void ondelayed (uv_timer_t *t) {
  delayed_t *h = t->data;
  if (h->r != NULL) {
    mtB_set_callbacks(h->r, NULL, NULL, NULL);
    serve(h->s, h->r);
  }
  uv_close((uv_handle_t *)t, ondelayed_closed);
}

/* Serves a request after delay_ms. */
static void delay_request (store_t *s, mt_webreq_t *r) {
  delayed_t *h = mtV_new(sizeof *h);
  h->r = r;
  h->s = s;
  h->timer.data = h;
  uv_timer_init(s->loop, &h->timer);
  uv_timer_start(&h->timer, ondelayed, (uint64_t)s->delay_ms, 0);
  mtB_set_callbacks(r, h, ondelayed_disconnect, NULL);
}

static void handle (void *ud, mt_webreq_t *r) {
  store_t *s = ud;
  if (si_matches(r, "POST", "/switch")) {
    set_faults(s, r);
    return;
  }
  if (si_matches(r, "GET", "/counts")) {
    reply_counts(s, r);
    return;
  }
  bool watching = si_matches(r, "GET", "/watch/"),
       reads = si_matches(r, "GET", "/");
  if (watching)
    s->watch_requests++;
  else if (reads)
    s->reads++;
  else
    s->writes++;
  if (over_rate(s, !reads)) {
    s->rejected++;
    si_reply(r, 429, "text/plain", "too many calls");
  } else if (s->delay_ms > 0 && !watching) {
    delay_request(s, r);
  } else {
    serve(s, r);
  }
}

static void ontick (uv_timer_t *t) {
  complete_watches(t->data);
  expire_leases(t->data);
}

/* }== */

int si_store (int argc, char **argv, uv_loop_t *loop) {
  store_t *s = mtV_new(sizeof *s);
  uv_timer_t *t = mtV_new(sizeof *t);
  s->loop = loop;
  s->rate_limited = si_option_int(argc, argv, "--limit", 1) != 0;
  mt_web_t *web = si_listen(
      loop, (uint16_t)si_option_int(argc, argv, "--port", 0), handle, s);
  uv_timer_init(loop, t);
  t->data = s;
  uv_timer_start(t, ontick, TICK_MS, TICK_MS);
  printf("{\"url\": \"http://127.0.0.1:%u\"}\n", mtB_port(web));
  return 0;
}
