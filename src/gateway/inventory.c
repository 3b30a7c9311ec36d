/*
** inventory.c - what a feed of the source has in force at a router
*/
#include <string.h>

#include "inventory.h"
#include "mtmem.h"

#define DIGEST_SEED 0x9e3779b97f4a7c15u

mt_item_match_t mt_inventory_match (const mt_map_t *ids,
                                    const mt_item_t *item) {
  if (mtV_get(ids, item->id) != NULL) return MT_ITEM_SAME;
  bool other = mtV_get(ids, item->id ^ MT_ITEM_IN_USE) != NULL;
  return other ? MT_ITEM_OTHER_STATE : MT_ITEM_ABSENT;
}

void mt_inventory_digests (const mt_inventory_t *inventory,
                           uint64_t digests[MT_INVENTORY_RANGES]) {
  memset(digests, 0, MT_INVENTORY_RANGES * sizeof *digests);
  for (size_t i = 0; i < inventory->count; i++) {
    const mt_item_t *item = &inventory->items[i];
    if (item->withdrawn) continue;
    digests[mt_inventory_range(item->id)] += mtV_mix(item->id, DIGEST_SEED);
  }
}

uint64_t mt_inventory_digest (const uint64_t digests[MT_INVENTORY_RANGES]) {
  return mtV_hash(digests, MT_INVENTORY_RANGES * sizeof *digests) | 1;
}

void mt_inventory_counts (const mt_inventory_t *inventory,
                          size_t counts[MT_INVENTORY_RANGES]) {
  memset(counts, 0, MT_INVENTORY_RANGES * sizeof *counts);
  for (size_t i = 0; i < inventory->count; i++) {
    const mt_item_t *item = &inventory->items[i];
    counts[mt_inventory_range(item->id)] += !item->withdrawn;
  }
}
