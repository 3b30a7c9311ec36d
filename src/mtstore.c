/*
** mtstore.c - the platform's key-value service, over HTTP
*/
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mtmem.h"
#include "mtstore.h"

#define SILENCE_MS (MT_LONG_POLL_MS + 2000)
#define KEY_BYTES 160
#define OWNER_BYTES 96
#define CLAIM_TRIES 5
#define CLAIM_TTL_MS 86400000  /* a claim is remembered for a day */
#define LEASE_RENEW_MS 3600000 /* claims of one hour share a lease */

struct mt_store_t {
  uv_loop_t *loop;
  mt_http_t *http, *slow; /* slow: for watches */
  mt_addr_t addr;
  mt_counts_t *counts;
  char lease[32];
  mt_ms_t leased;
};

/* One call and its answer so far. */
typedef struct ask_t {
  mt_store_t *D;
  mt_storefn_t fn;
  void *ud;
  int status;
  int64_t revision;
  char *text;
  size_t n, cap;
} ask_t;

/* {== Calls ============================================================ */

static void gather (ask_t *k, mt_bytes_t data) {
  if (k->n + data.n > MT_VALUE_MAX) {
    k->status = 0;
    return;
  }
  while (k->n + data.n > k->cap)
    k->text = mtV_grow(k->text, k->cap, &k->cap, 1);
  memcpy(k->text + k->n, data.p, data.n);
  k->n += data.n;
}

static void onanswer (void *ud, mt_call_t *call, const mt_callev_t *ev) {
  (void)call;
  ask_t *k = ud;
  switch (ev->kind) {
    case MT_CALL_HEAD:
      k->status = ev->status;
      k->revision = ev->revision.n ? strtoll(ev->revision.p, NULL, 10) : 0;
      return;
    case MT_CALL_BODY: gather(k, ev->data); return;
    case MT_CALL_FAILED: k->status = 0; break;
    case MT_CALL_END: break;
  }
  if (k->status == 0 || k->status >= 500 || k->status == 429) {
    if (k->D->counts) mtA_inc(k->D->counts, MT_C_STORE_FAILED);
    k->status = 0;
  }
  mt_storeans_t a = {k->status, k->revision, {k->text ? k->text : "", k->n}};
  if (k->fn) k->fn(k->ud, &a);
  free(k->text);
  free(k);
}

static void ask (mt_store_t *D, mt_http_t *http, const char *method,
                 const char *path, mt_bytes_t body, mt_storefn_t fn,
                 void *ud) {
  ask_t *k = mtV_new(sizeof *k);
  k->D = D;
  k->fn = fn;
  k->ud = ud;
  if (D->counts) mtA_inc(D->counts, MT_C_STORE_CALLS);
  mt_callspec_t spec = {D->addr, method, path, NULL, body, false};
  mtY_call(http, &spec, onanswer, k);
}

static const mt_bytes_t nothing = {"", 0};

void mtD_get (mt_store_t *D, const char *key, mt_storefn_t fn, void *ud) {
  char path[KEY_BYTES];
  snprintf(path, sizeof path, "/kv/%s", key);
  ask(D, D->http, "GET", path, nothing, fn, ud);
}

void mtD_put (mt_store_t *D, const char *key, int64_t expect,
              const char *lease, mt_bytes_t value, mt_storefn_t fn,
              void *ud) {
  char path[KEY_BYTES];
  snprintf(path, sizeof path, "/kv/%s?if=%" PRId64 "%s%s", key, expect,
           lease ? "&lease=" : "", lease ? lease : "");
  ask(D, D->http, "PUT", path, value, fn, ud);
}

void mtD_delete (mt_store_t *D, const char *key, int64_t expect,
                 mt_storefn_t fn, void *ud) {
  char path[KEY_BYTES];
  snprintf(path, sizeof path, "/kv/%s?if=%" PRId64, key, expect);
  ask(D, D->http, "DELETE", path, nothing, fn, ud);
}

void mtD_watch (mt_store_t *D, const char *key, int64_t after,
                mt_storefn_t fn, void *ud) {
  char path[KEY_BYTES];
  snprintf(path, sizeof path, "/watch/%s?after=%" PRId64 "&wait=%d", key,
           after, MT_LONG_POLL_MS);
  ask(D, D->slow, "GET", path, nothing, fn, ud);
}

/* }== */

/* {== Claims =========================================================== */

/* A claim on its way: lease, write, and reading back what is unknown. */
typedef struct claim_t {
  mt_store_t *D;
  char key[KEY_BYTES];
  char owner[OWNER_BYTES];
  mt_claimfn_t fn;
  void *ud;
  int tries;
  mt_ms_t begun;
} claim_t;

static void writeclaim (claim_t *c);

static void endclaim (claim_t *c, mt_claimres_t res) {
  c->fn(c->ud, res);
  free(c);
}

static bool ours (const claim_t *c, mt_bytes_t text) {
  return text.n == strlen(c->owner) && memcmp(text.p, c->owner, text.n) == 0;
}

static void again (claim_t *c) {
  bool late = uv_now(c->D->loop) - c->begun >= MT_CLAIM_TIMEOUT_MS;
  if (++c->tries >= CLAIM_TRIES || late)
    endclaim(c, MT_CR_AWAY);
  else
    writeclaim(c);
}

static void onreadback (void *ud, const mt_storeans_t *a) {
  claim_t *c = ud;
  if (a->status == 404)
    c->D->lease[0] = '\0'; /* it may be the lease that ended */
  if (a->status == 200)
    endclaim(c, ours(c, a->text) ? MT_CR_OURS : MT_CR_OTHERS);
  else
    again(c);
}

static void onwritten (void *ud, const mt_storeans_t *a) {
  claim_t *c = ud;
  if (a->status == 200)
    endclaim(c, MT_CR_OURS);
  else
    mtD_get(c->D, c->key, onreadback, c);
}

static void onlease (void *ud, const mt_storeans_t *a) {
  claim_t *c = ud;
  if (a->status == 200 && a->text.n > 0 && a->text.n < sizeof c->D->lease) {
    memcpy(c->D->lease, a->text.p, a->text.n);
    c->D->lease[a->text.n] = '\0';
    c->D->leased = uv_now(c->D->loop);
  }
  if (a->status == 200)
    writeclaim(c);
  else
    again(c);
}

static void writeclaim (claim_t *c) {
  mt_store_t *D = c->D;
  bool fresh =
      D->lease[0] != '\0' && uv_now(D->loop) - D->leased < LEASE_RENEW_MS;
  if (!fresh) {
    char path[64];
    snprintf(path, sizeof path, "/lease?ttl=%d", CLAIM_TTL_MS);
    ask(D, D->http, "POST", path, nothing, onlease, c);
    return;
  }
  mtD_put(D, c->key, 0, D->lease, (mt_bytes_t){c->owner, strlen(c->owner)},
          onwritten, c);
}

static claim_t *newclaim (mt_store_t *D, uint64_t key, const char *owner) {
  claim_t *c = mtV_new(sizeof *c);
  c->D = D;
  c->begun = uv_now(D->loop);
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

static void onreleaseread (void *ud, const mt_storeans_t *a) {
  claim_t *c = ud;
  if (a->status == 200 && ours(c, a->text))
    mtD_delete(c->D, c->key, a->revision, NULL, NULL);
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
  D->slow = mtY_open(loop, SILENCE_MS);
  return D;
}

void mtD_close (mt_store_t *D) {
  mtY_close(D->http);
  mtY_close(D->slow);
  free(D);
}
