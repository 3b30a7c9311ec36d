/*
** mtstore.h - the platform's key-value service, over HTTP
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

/* An answer: status 0 when none came. `revision` is the store's own. */
typedef struct mt_storeans_t {
  int status;
  int64_t revision;
  mt_bytes_t text;
} mt_storeans_t;

typedef void (*mt_storefn_t)(void *ud, const mt_storeans_t *a);

mt_store_t *mtD_open (uv_loop_t *loop, const mt_addr_t *addr,
                      mt_counts_t *counts);
void mtD_close (mt_store_t *D);

void mtD_get (mt_store_t *D, const char *key, mt_storefn_t fn, void *ud);
void mtD_put (mt_store_t *D, const char *key, int64_t expect,
              const char *lease, mt_bytes_t value, mt_storefn_t fn, void *ud);
void mtD_delete (mt_store_t *D, const char *key, int64_t expect,
                 mt_storefn_t fn, void *ud);
void mtD_watch (mt_store_t *D, const char *key, int64_t after,
                mt_storefn_t fn, void *ud);

/* Writes a claim for `owner`; an unknown acknowledgement is resolved. */
typedef enum mt_claimres_t {
  MT_CR_OURS,
  MT_CR_OTHERS,
  MT_CR_AWAY
} mt_claimres_t;
typedef void (*mt_claimfn_t)(void *ud, mt_claimres_t res);
void mtD_claim (mt_store_t *D, uint64_t key, const char *owner,
                mt_claimfn_t fn, void *ud);

/* Takes a claim back if it is still `owner`'s; best effort. */
void mtD_release (mt_store_t *D, uint64_t key, const char *owner);

#define MT_KEY_HEAD "mt/head"
#define MT_KEY_PART "mt/part/"
#define MT_KEY_CLAIM "mt/claim/"

#endif
