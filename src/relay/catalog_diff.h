/*
** catalog_diff.h - what one version of the declarations ends or allows anew
*/
#ifndef catalog_diff_h
#define catalog_diff_h

#include "catalog.h"

typedef struct mt_catalog_diff_callbacks_t {
  void (*key)(void *ud, mt_bytes_t key, bool granted);
  /* What a route leads to; a route that is gone leads to nothing. */
  void (*route)(void *ud, mt_id_t route, mt_id_t service, bool opened);
  void *ud;
} mt_catalog_diff_callbacks_t;

/*
** Calls for each key and each route's service that only one of the versions
** has. A route of the same name with another host or prefix is another route.
*/
void mt_catalog_diff (const mt_catalog_t *from, const mt_catalog_t *to,
                      const mt_catalog_diff_callbacks_t *callbacks);

/* True when the route leads to the service. */
bool mt_catalog_routes_to (const mt_catalog_t *catalog, mt_id_t route,
                           mt_id_t service);

/*
** Collects the SHA-256 digests, in hexadecimal, of all keys in a set: a map
** by mt_catalog_digest_key. The caller frees it.
*/
void mt_catalog_digests (const mt_catalog_t *catalog, mt_map_t *set);
uint64_t mt_catalog_digest_key (const char *digest);

#endif
