/*
** mtstore.c - client of the platform's key-value store, over HTTP
*/
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mtmem.h"
#include "mtstore.h"

/* The store holds a watch open for MT_LONG_POLL_MS; the rest is a margin. */
#define WATCH_TIMEOUT_MS (MT_LONG_POLL_MS + 2000)
#define KEY_BYTES 160 /* of a key or a request path */
#define OWNER_BYTES 96
#define CLAIM_ATTEMPTS_MAX 5
#define CLAIM_TTL_MS 86400000  /* lease time of claims: one day */
#define LEASE_RENEW_MS 3600000 /* claims within one hour share a lease */

struct mt_store_t {
  uv_loop_t *loop;
  mt_http_t *http, *watch_http; /* watches need a longer timeout */
  mt_addr_t addr;
  mt_counts_t *counts;
  char lease[32]; /* id of the current lease for claims, or empty */
  mt_ms_t lease_created;
};

/* One request and its reply so far. */
typedef struct call_t {
  mt_store_t *D;
  mt_storefn_t fn;
  void *ud;
  int status;
  int64_t revision;
  char *text;
  size_t n, cap;
} call_t;

/* {== Requests ========================================================= */

static void append_body (call_t *k, mt_bytes_t data) {
  if (k->n + data.n > MT_VALUE_MAX) {
    k->status = 0;
    return;
  }
  while (k->n + data.n > k->cap)
    k->text = mtV_grow(k->text, k->cap, &k->cap, 1);
  memcpy(k->text + k->n, data.p, data.n);
  k->n += data.n;
}

static void onreply (void *ud, mt_call_t *call, const mt_callev_t *ev) {
  (void)call;
  call_t *k = ud;
  switch (ev->kind) {
    case MT_CALL_HEAD:
      k->status = ev->status;
      k->revision = ev->revision.n ? strtoll(ev->revision.p, NULL, 10) : 0;
      return;
    case MT_CALL_BODY: append_body(k, ev->data); return;
    case MT_CALL_FAILED: k->status = 0; break;
    case MT_CALL_END: break;
  }
  if (k->status == 0 || k->status >= 500 || k->status == 429) {
    if (k->D->counts) mtA_inc(k->D->counts, MT_C_STORE_FAILED);
    k->status = 0;
  }
  mt_storereply_t reply = {
      k->status, k->revision, {k->text ? k->text : "", k->n}};
  if (k->fn) k->fn(k->ud, &reply);
  free(k->text);
  free(k);
}

static void send_request (mt_store_t *D, mt_http_t *http, const char *method,
                          const char *path, mt_bytes_t body, mt_storefn_t fn,
                          void *ud) {
  call_t *k = mtV_new(sizeof *k);
  k->D = D;
  k->fn = fn;
  k->ud = ud;
  if (D->counts) mtA_inc(D->counts, MT_C_STORE_CALLS);
  mt_callspec_t spec = {D->addr, method, path, NULL, body, false};
  mtY_call(http, &spec, onreply, k);
}

static const mt_bytes_t empty_body = {"", 0};

void mtD_get (mt_store_t *D, const char *key, mt_storefn_t fn, void *ud) {
  char path[KEY_BYTES];
  snprintf(path, sizeof path, "/kv/%s", key);
  send_request(D, D->http, "GET", path, empty_body, fn, ud);
}

void mtD_put (mt_store_t *D, const char *key, int64_t expect,
              const char *lease, mt_bytes_t value, mt_storefn_t fn,
              void *ud) {
  char path[KEY_BYTES];
  snprintf(path, sizeof path, "/kv/%s?if=%" PRId64 "%s%s", key, expect,
           lease ? "&lease=" : "", lease ? lease : "");
  send_request(D, D->http, "PUT", path, value, fn, ud);
}

void mtD_delete (mt_store_t *D, const char *key, int64_t expect,
                 mt_storefn_t fn, void *ud) {
  char path[KEY_BYTES];
  snprintf(path, sizeof path, "/kv/%s?if=%" PRId64, key, expect);
  send_request(D, D->http, "DELETE", path, empty_body, fn, ud);
}

void mtD_watch (mt_store_t *D, const char *key, int64_t after,
                mt_storefn_t fn, void *ud) {
  char path[KEY_BYTES];
  snprintf(path, sizeof path, "/watch/%s?after=%" PRId64 "&wait=%d", key,
           after, MT_LONG_POLL_MS);
  send_request(D, D->watch_http, "GET", path, empty_body, fn, ud);
}

/* }== */

/* {== Claims =========================================================== */

/*
** A claim in progress: obtain a lease, write, and read back if the outcome of
** the write is unknown.
*/
typedef struct claim_t {
  mt_store_t *D;
  char key[KEY_BYTES];
  char owner[OWNER_BYTES];
  mt_claimfn_t fn;
  void *ud;
  int attempts;
  mt_ms_t started;
} claim_t;

static void writeclaim (claim_t *c);

static void finish_claim (claim_t *c, mt_claimresult_t res) {
  c->fn(c->ud, res);
  free(c);
}

static bool is_owner (const claim_t *c, mt_bytes_t text) {
  return text.n == strlen(c->owner) && memcmp(text.p, c->owner, text.n) == 0;
}

static void retry_claim (claim_t *c) {
  bool late = uv_now(c->D->loop) - c->started >= MT_CLAIM_TIMEOUT_MS;
  if (++c->attempts >= CLAIM_ATTEMPTS_MAX || late)
    finish_claim(c, MT_CR_UNREACHABLE);
  else
    writeclaim(c);
}

static void onreadback (void *ud, const mt_storereply_t *reply) {
  claim_t *c = ud;
  if (reply->status == 404)
    c->D->lease[0] = '\0'; /* the lease may have expired: get a new one */
  if (reply->status == 200)
    finish_claim(c, is_owner(c, reply->text) ? MT_CR_OWNED : MT_CR_TAKEN);
  else
    retry_claim(c);
}

static void onwritten (void *ud, const mt_storereply_t *reply) {
  claim_t *c = ud;
  if (reply->status == 200)
    finish_claim(c, MT_CR_OWNED);
  else
    mtD_get(c->D, c->key, onreadback, c);
}

static void onlease (void *ud, const mt_storereply_t *reply) {
  claim_t *c = ud;
  if (reply->status == 200 && reply->text.n > 0 &&
      reply->text.n < sizeof c->D->lease) {
    memcpy(c->D->lease, reply->text.p, reply->text.n);
    c->D->lease[reply->text.n] = '\0';
    c->D->lease_created = uv_now(c->D->loop);
  }
  if (reply->status == 200)
    writeclaim(c);
  else
    retry_claim(c);
}

static void writeclaim (claim_t *c) {
  mt_store_t *D = c->D;
  bool fresh = D->lease[0] != '\0' &&
               uv_now(D->loop) - D->lease_created < LEASE_RENEW_MS;
  if (!fresh) {
    char path[64];
    snprintf(path, sizeof path, "/lease?ttl=%d", CLAIM_TTL_MS);
    send_request(D, D->http, "POST", path, empty_body, onlease, c);
    return;
  }
  mtD_put(D, c->key, 0, D->lease, (mt_bytes_t){c->owner, strlen(c->owner)},
          onwritten, c);
}

static claim_t *newclaim (mt_store_t *D, uint64_t key, const char *owner) {
  claim_t *c = mtV_new(sizeof *c);
  c->D = D;
  c->started = uv_now(D->loop);
  snprintf(c->key, sizeof c->key, MT_KEY_CLAIM "%016" PRIx64, key);
  snprintf(c->owner, sizeof c->owner, "%s", owner);
  return c;
}

void mtD_claim (mt_store_t *D, uint64_t key, const char *owner,
                mt_claimfn_t fn, void *ud) {
  claim_t *c = newclaim(D, key, owner);
  c->fn = fn;
  c->ud = ud;
  writeclaim(c);
}

static void onreleaseread (void *ud, const mt_storereply_t *reply) {
  claim_t *c = ud;
  if (reply->status == 200 && is_owner(c, reply->text))
    mtD_delete(c->D, c->key, reply->revision, NULL, NULL);
  free(c);
}

void mtD_release (mt_store_t *D, uint64_t key, const char *owner) {
  claim_t *c = newclaim(D, key, owner);
  mtD_get(D, c->key, onreleaseread, c);
}

/* }== */

mt_store_t *mtD_open (uv_loop_t *loop, const mt_addr_t *addr,
                      mt_counts_t *counts) {
  mt_store_t *D = mtV_new(sizeof *D);
  D->loop = loop;
  D->addr = *addr;
  D->counts = counts;
  D->http = mtY_open(loop, MT_CONNECT_TIMEOUT_MS);
  D->watch_http = mtY_open(loop, WATCH_TIMEOUT_MS);
  return D;
}

void mtD_close (mt_store_t *D) {
  mtY_close(D->http);
  mtY_close(D->watch_http);
  free(D);
}
