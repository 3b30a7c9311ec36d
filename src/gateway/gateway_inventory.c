/*
** gateway_inventory.c - what the gateway has in force by each feed
*/
#include <string.h>

#include "catalog_diff.h"
#include "gateway_state.h"
#include "inventory.h"
#include "mtcrypt.h"

static mt_item_t *add_item (mt_inventory_t *inventory, mt_item_kind_t kind,
                            uint64_t id, bool in_use) {
  mt_item_t *item =
      mtV_push(inventory->items, inventory->count, inventory->cap);
  id &= ~MT_ITEM_IN_USE;
  *item = (mt_item_t){.kind = kind, .id = in_use ? id | MT_ITEM_IN_USE : id};
  return item;
}

/* {== Engines ========================================================== */

static void list_engines (const mt_gateway_t *g, mt_inventory_t *inventory) {
  const mt_engines_t *engines = &g->relay->engines;
  for (size_t i = 0; i < engines->count; i++) {
    const mt_engine_t *e = engines->list[i];
    if (e->unlisted_since != 0 || e->state == MT_ENGINE_GONE) continue;
    mt_item_t *item = add_item(inventory, MT_ITEM_ENGINE, e->key,
                               e->state == MT_ENGINE_READY);
    item->u.engine = e;
  }
}

/* }== */

/* {== Declarations ===================================================== */

/* A key of another workspace is another item. */
static void list_keys (mt_gateway_t *g, mt_inventory_t *inventory) {
  const mt_catalog_t *catalog = g->relay->catalog;
  const mt_map_t *digests = &catalog->digests;
  mtV_each (digests, i) {
    const mt_catalog_key_t *key = digests->vals[i];
    uint64_t id =
        mtV_mix(digests->keys[i], catalog->workspaces[key->workspace].id);
    mt_item_t *item = add_item(inventory, MT_ITEM_KEY, id, true);
    item->u.key = key;
    item->withdrawn =
        mt_denials_has(&g->relay->denials.keys, digests->keys[i]);
  }
}

/* A route whose host or prefix changes is another item. */
static void list_route (const mt_gateway_t *g, const mt_catalog_route_t *r,
                        mt_inventory_t *inventory) {
  uint64_t id = mtV_mix(mtV_hash(r->host, strlen(r->host)),
                        mtV_hash(r->prefix, strlen(r->prefix)));
  for (int i = 0; i < r->splits; i++) {
    mt_id_t service = r->split[i].service;
    if (r->split[i].weight <= 0) continue;
    mt_item_t *item =
        add_item(inventory, MT_ITEM_ROUTE,
                 mtV_mix(id, mt_denials_route_id(r->id, service)), true);
    item->u.path.route = r->id;
    item->u.path.service = service;
    item->withdrawn =
        mt_denials_has_route(&g->relay->denials, r->id, service);
  }
}

static uint64_t domain_id (const char *name) {
  return mtV_hash(name, strlen(name)) | MT_ITEM_IN_USE;
}

static void add_domain (const mt_gateway_t *g, mt_map_t *seen,
                        const char *name, mt_inventory_t *inventory) {
  uint64_t id = domain_id(name);
  if (mtV_get(seen, id) != NULL) return;
  mtV_put(seen, id, seen);
  add_item(inventory, MT_ITEM_DOMAIN, id,
           !mt_evacuations_has(&g->relay->evacuations, name));
}

/* The domains of all engines, and others that are evacuated. */
static void list_domains (const mt_gateway_t *g, mt_inventory_t *inventory) {
  const mt_engines_t *engines = &g->relay->engines;
  const mt_evacuations_t *evacuations = &g->relay->evacuations;
  mt_map_t seen = {0};
  for (size_t i = 0; i < evacuations->count; i++)
    add_domain(g, &seen, evacuations->names[i], inventory);
  for (size_t i = 0; i < engines->count; i++)
    if (engines->list[i]->domain != NULL)
      add_domain(g, &seen, engines->list[i]->domain, inventory);
  mtV_free(&seen);
}

static void list_declarations (mt_gateway_t *g, mt_inventory_t *inventory) {
  const mt_catalog_t *catalog = g->relay->catalog;
  list_domains(g, inventory);
  if (catalog == NULL) return;
  inventory->rev = g->catalog_rev;
  inventory->version = catalog->version;
  list_keys(g, inventory);
  for (size_t i = 0; i < catalog->routes_count; i++)
    list_route(g, &catalog->routes[i], inventory);
}

/* }== */

/* Right after a restore lists may lack entries that are written again. */
static bool speaks_for_source (const mt_gateway_t *g, mt_feed_kind_t kind) {
  if (mt_gateway_in_restore_grace(g)) return false;
  return kind != MT_FEED_DECLARATIONS || g->relay->catalog != NULL;
}

void mt_gateway_list_items (void *ud, mt_feed_kind_t kind,
                            mt_inventory_t *inventory) {
  mt_gateway_t *g = ud;
  switch (kind) {
    case MT_FEED_ENGINES: list_engines(g, inventory); break;
    case MT_FEED_DECLARATIONS: list_declarations(g, inventory); break;
    case MT_FEEDS: break;
  }
  if (speaks_for_source(g, kind))
    inventory->at = mt_gateway_peers_applied_rev(g->peers, kind);
}

/* {== Differences ====================================================== */

/* An engine that is ready elsewhere is not used again: a drain that peers
   reported is undone by a later change, or by the source. */
static bool engine_change (const mt_engine_t *e, mt_item_match_t match,
                           mt_revision_t at, mt_change_t *change) {
  if (e->rev > at) return false;
  switch (match) {
    case MT_ITEM_SAME: return false;
    case MT_ITEM_OTHER_STATE:
      *change = mt_change_make(MT_CHANGE_ENGINE_DRAINING, e->name, at);
      return e->state == MT_ENGINE_READY;
    case MT_ITEM_ABSENT:
      *change = mt_change_make(MT_CHANGE_ENGINE_GONE, e->name, at);
      return true;
  }
  return false;
}

/* The name of a domain that has evacuations or engines, or NULL. Items do not
   point to it: each change of a domain moves the evacuations. */
static const char *domain_name (const mt_gateway_t *g, uint64_t id) {
  const mt_engines_t *engines = &g->relay->engines;
  const mt_evacuations_t *evacuations = &g->relay->evacuations;
  id |= MT_ITEM_IN_USE;
  for (size_t i = 0; i < evacuations->count; i++)
    if (domain_id(evacuations->names[i]) == id) return evacuations->names[i];
  for (size_t i = 0; i < engines->count; i++) {
    const char *name = engines->list[i]->domain;
    if (name != NULL && domain_id(name) == id) return name;
  }
  return NULL;
}

/* A domain that the peer does not have is not evacuated. */
static bool domain_change (const mt_gateway_t *g, const mt_item_t *item,
                           mt_item_match_t match, mt_revision_t at,
                           mt_change_t *change) {
  bool evacuated = (item->id & MT_ITEM_IN_USE) == 0;
  bool changes =
      match == MT_ITEM_OTHER_STATE || (evacuated && match == MT_ITEM_ABSENT);
  const char *name = changes ? domain_name(g, item->id) : NULL;
  if (name == NULL) return false;
  *change = mt_change_make(evacuated ? MT_CHANGE_DOMAIN_REINSTATED
                                     : MT_CHANGE_DOMAIN_EVACUATED,
                           name, at);
  return true;
}

/* True if the peer's configuration is a later one and shows that the use of a
   key or route ends, or begins again. */
static bool is_declared_otherwise (const mt_gateway_t *g,
                                   const mt_item_t *item,
                                   mt_item_match_t match,
                                   const mt_peer_inventory_t *part) {
  bool present = match == MT_ITEM_SAME;
  return part->version > g->relay->catalog->version &&
         present == item->withdrawn;
}

static mt_change_t key_change (const mt_item_t *item, mt_item_match_t match,
                               mt_revision_t rev) {
  char digest[MT_DIGEST_HEX + 1];
  const mt_catalog_key_t *key = item->u.key;
  mtH_sha256(key->text, key->size, digest);
  return mt_change_make(match == MT_ITEM_SAME ? MT_CHANGE_KEY_GRANTED
                                              : MT_CHANGE_KEY_REVOKED,
                        digest, rev);
}

bool mt_gateway_item_change (void *ud, const mt_item_t *item,
                             mt_item_match_t match,
                             const mt_peer_inventory_t *part,
                             mt_change_t *change) {
  const mt_gateway_t *g = ud;
  switch (item->kind) {
    case MT_ITEM_ENGINE:
      return engine_change(item->u.engine, match, part->at, change);
    case MT_ITEM_DOMAIN:
      return domain_change(g, item, match, part->at, change);
    case MT_ITEM_KEY:
      if (!is_declared_otherwise(g, item, match, part)) return false;
      *change = key_change(item, match, part->rev);
      return true;
    case MT_ITEM_ROUTE:
      *change = mt_change_make_route(
          match == MT_ITEM_SAME ? MT_CHANGE_ROUTE_ADDED
                                : MT_CHANGE_ROUTE_REMOVED,
          item->u.path.route, item->u.path.service, part->rev);
      return is_declared_otherwise(g, item, match, part);
  }
  return false;
}

/* }== */
