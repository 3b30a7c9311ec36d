/*
** catalog_diff.h - keys and routes that differ between two configurations
*/
#ifndef catalog_diff_h
#define catalog_diff_h

#include "catalog.h"

typedef struct mt_catalog_diff_callbacks_t {
  /* A key was granted, or revoked. */
  void (*key)(void *ud, mt_bytes_t key, bool granted);
  /* A route now leads to a service (`opened`), or no longer does; a removed
     route leads to none. */
  void (*route)(void *ud, mt_id_t route, mt_id_t service, bool opened);
  void *ud;
} mt_catalog_diff_callbacks_t;

/*
** Reports each key, and each pair of a route and a service, that only one of
** the versions has. A route that keeps its name but changes its host or
** prefix counts as another route.
*/
void mt_catalog_diff (const mt_catalog_t *from, const mt_catalog_t *to,
                      const mt_catalog_diff_callbacks_t *callbacks);

#endif
