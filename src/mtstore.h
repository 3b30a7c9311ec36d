/*
** mtstore.h - client of the platform's key-value store, over HTTP
**
** GET /kv/KEY -> value, X-Revision; PUT /kv/KEY?if=REV[&lease=ID] (REV 0:
** create) -> 200 or 409; DELETE /kv/KEY?if=REV; POST /lease?ttl=MS -> id;
** GET /watch/KEY?after=REV&wait=MS -> value when newer, 204 otherwise.
*/
#ifndef mtstore_h
#define mtstore_h

#include "mtcall.h"
#include "mtcount.h"

typedef struct mt_store_t mt_store_t;

/*
** A reply, borrowed during the callback. Status is 0 when the store did not
** reply, replied 429 or 5xx, or sent a value above MT_VALUE_MAX. `revision`
** is the store's, of the key.
*/
typedef struct mt_storereply_t {
  int status;
  int64_t revision;
  mt_bytes_t text;
} mt_storereply_t;

typedef void (*mt_storefn_t)(void *ud, const mt_storereply_t *reply);

/* Opens a client; `counts` may be NULL. No connection is made yet. */
mt_store_t *mtD_open (uv_loop_t *loop, const mt_addr_t *addr,
                      mt_counts_t *counts);
void mtD_close (mt_store_t *D);

void mtD_get (mt_store_t *D, const char *key, mt_storefn_t fn, void *ud);
/*
** Writes or deletes if the key's revision is `expect`; for mtD_put, 0 means
** that the key must not exist. `lease` may be NULL.
*/
void mtD_put (mt_store_t *D, const char *key, int64_t expect,
              const char *lease, mt_bytes_t value, mt_storefn_t fn, void *ud);
void mtD_delete (mt_store_t *D, const char *key, int64_t expect,
                 mt_storefn_t fn, void *ud);
/* Replies once the key is newer than `after`; 204 after MT_LONG_POLL_MS. */
void mtD_watch (mt_store_t *D, const char *key, int64_t after,
                mt_storefn_t fn, void *ud);

typedef enum mt_claimresult_t {
  MT_CR_OWNED,      /* this owner holds the claim */
  MT_CR_TAKEN,      /* another owner holds it */
  MT_CR_UNREACHABLE /* unknown: the store did not reply in time */
} mt_claimresult_t;
typedef void (*mt_claimfn_t)(void *ud, mt_claimresult_t res);

/*
** Creates a claim on `key` for `owner`. When the acknowledgement is lost, the
** claim is read back to see who owns it.
*/
void mtD_claim (mt_store_t *D, uint64_t key, const char *owner,
                mt_claimfn_t fn, void *ud);

/* Deletes a claim if `owner` still owns it; best effort. */
void mtD_release (mt_store_t *D, uint64_t key, const char *owner);

#define MT_KEY_HEAD "mt/head"    /* the configuration's manifest */
#define MT_KEY_PART "mt/part/"   /* + digest: one part of it */
#define MT_KEY_CLAIM "mt/claim/" /* + hash of an idempotency key */

#endif
