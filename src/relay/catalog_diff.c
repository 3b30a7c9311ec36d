/*
** catalog_diff.c - keys and routes that differ between two configurations
*/
#include <string.h>

#include "catalog_diff.h"

/* {== Keys ============================================================= */

/* True if the key belongs to the same workspace in both versions. */
static bool maps_to_same_workspace (const mt_catalog_t *other,
                                    const mt_catalog_key_t *key,
                                    const mt_catalog_t *catalog) {
  const mt_catalog_workspace_t *w =
      mt_catalog_find_workspace(other, (mt_bytes_t){key->text, key->size});
  return w != NULL && w->id == catalog->workspaces[key->workspace].id;
}

/* Reports the keys of one version that the other lacks. */
static void
report_missing_keys (const mt_catalog_t *catalog, const mt_catalog_t *other,
                     bool granted,
                     const mt_catalog_diff_callbacks_t *callbacks) {
  mtV_each (&catalog->keys, i) {
    const mt_catalog_key_t *key = catalog->keys.vals[i];
    for (; key != NULL; key = key->next)
      if (!maps_to_same_workspace(other, key, catalog))
        callbacks->key(callbacks->ud, (mt_bytes_t){key->text, key->size},
                       granted);
  }
}

/* }== */

/* {== Routes =========================================================== */

static const mt_catalog_route_t *find_route (const mt_catalog_t *catalog,
                                             const mt_catalog_route_t *like) {
  const mt_catalog_route_t *r =
      mt_catalog_next_route(catalog, NULL, like->id);
  while (r != NULL && (strcmp(r->host, like->host) != 0 ||
                       strcmp(r->prefix, like->prefix) != 0))
    r = mt_catalog_next_route(catalog, r, like->id);
  return r;
}

/* Reports the services that routes of one version lead to and the same routes
   of the other version do not. */
static void
report_missing_routes (const mt_catalog_t *catalog, const mt_catalog_t *other,
                       bool opened,
                       const mt_catalog_diff_callbacks_t *callbacks) {
  for (size_t i = 0; i < catalog->routes_count; i++) {
    const mt_catalog_route_t *r = &catalog->routes[i];
    const mt_catalog_route_t *same = find_route(other, r);
    for (int k = 0; k < r->splits; k++) {
      mt_id_t service = r->split[k].service;
      if (mt_catalog_route_leads_to(r, service) &&
          !mt_catalog_route_leads_to(same, service))
        callbacks->route(callbacks->ud, r->id, service, opened);
    }
  }
}

/* }== */

void mt_catalog_diff (const mt_catalog_t *from, const mt_catalog_t *to,
                      const mt_catalog_diff_callbacks_t *callbacks) {
  report_missing_keys(from, to, false, callbacks);
  report_missing_keys(to, from, true, callbacks);
  report_missing_routes(from, to, false, callbacks);
  report_missing_routes(to, from, true, callbacks);
}
