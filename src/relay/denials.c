/*
** denials.c - keys and routes that other routers report as withdrawn
*/
#include <stdlib.h>

#include "catalog_diff.h"
#include "denials.h"
#include "mtcrypt.h"

static mt_denial_t *find (const mt_denial_table_t *table, uint64_t id) {
  size_t slot = (size_t)(uintptr_t)mtV_get(&table->slot_by_id, id);
  return slot == 0 ? NULL : &table->list[slot - 1];
}

static void set_slot (mt_denial_table_t *table, uint64_t id, size_t index) {
  mtV_put(&table->slot_by_id, id, (void *)(uintptr_t)(index + 1));
}

/* Moves the last denial to the place of the removed one. */
static void remove_at (mt_denial_table_t *table, size_t index) {
  table->configured -= table->list[index].configured;
  mtV_del(&table->slot_by_id, table->list[index].id);
  table->count--;
  if (index == table->count) return;
  table->list[index] = table->list[table->count];
  set_slot(table, table->list[index].id, index);
}

/* Drops the oldest denial of what the configuration lacks. */
static void drop_oldest (mt_denial_table_t *table) {
  size_t oldest = table->count;
  for (size_t i = 0; i < table->count; i++) {
    const mt_denial_t *d = &table->list[i];
    if (d->configured) continue;
    if (oldest == table->count || d->rev < table->list[oldest].rev)
      oldest = i;
  }
  if (oldest < table->count) remove_at(table, oldest);
}

static void prune (mt_denial_table_t *table, mt_revision_t rev) {
  for (size_t i = table->count; i-- > 0;)
    if (table->list[i].rev <= rev) remove_at(table, i);
}

static void free_table (mt_denial_table_t *table) {
  free(table->list);
  mtV_free(&table->slot_by_id);
}

void mt_denials_free (mt_denials_t *d) {
  free_table(&d->keys);
  free_table(&d->routes);
}

uint64_t mt_denials_route_id (mt_id_t route, mt_id_t service) {
  return mtV_mix(mtV_mix(0, route), service) | 1;
}

void mt_denials_add (mt_denial_table_t *table, uint64_t id, mt_revision_t rev,
                     bool configured) {
  mt_denial_t *d = find(table, id);
  if (d != NULL) {
    d->rev = mt_max(d->rev, rev);
    return;
  }
  *mtV_push(table->list, table->count, table->cap) =
      (mt_denial_t){id, rev, configured};
  set_slot(table, id, table->count - 1);
  table->configured += configured;
  if (table->count - table->configured > MT_DENIALS_MAX) drop_oldest(table);
}

void mt_denials_lift (mt_denial_table_t *table, uint64_t id,
                      mt_revision_t rev) {
  const mt_denial_t *d = find(table, id);
  if (d != NULL && d->rev < rev) remove_at(table, (size_t)(d - table->list));
}

bool mt_denials_has (const mt_denial_table_t *table, uint64_t id) {
  return find(table, id) != NULL;
}

bool mt_denials_has_key (const mt_denials_t *d, mt_bytes_t key) {
  char digest[MT_DIGEST_HEX + 1];
  if (d->keys.count == 0) return false; /* the usual case needs no hash */
  mtH_sha256(key.p, key.n, digest);
  return mt_denials_has(&d->keys, mt_catalog_digest_key(digest));
}

bool mt_denials_has_route (const mt_denials_t *d, mt_id_t route,
                           mt_id_t service) {
  return mt_denials_has(&d->routes, mt_denials_route_id(route, service));
}

void mt_denials_set_configured (mt_denial_table_t *table, size_t index,
                                bool configured) {
  mt_denial_t *d = &table->list[index];
  table->configured -= d->configured;
  d->configured = configured;
  table->configured += configured;
}

void mt_denials_prune (mt_denials_t *d, mt_revision_t rev) {
  prune(&d->keys, rev);
  prune(&d->routes, rev);
}
