/*
** inventory.h - what a feed of the source has in force at a router
**
** A log of changes tells two routers how they differ only back to a revision
** that both have read. Beyond that they compare what is in force. Items have
** 64-bit ids, which are divided into ranges, and each range has a digest, so
** that only the ids of ranges that differ are sent. Every range is compared
** by itself, as of one revision of the source: the parts of a comparison may
** be lost, repeated or reordered, and may be of different revisions.
*/
#ifndef inventory_h
#define inventory_h

#include "catalog.h"
#include "engine.h"
#include "revision.h"

#define MT_INVENTORY_RANGE_BITS 7 /* the top bits of an id */
#define MT_INVENTORY_RANGES (1 << MT_INVENTORY_RANGE_BITS)

/* A set of ranges. */
typedef struct mt_inventory_ranges_t {
  uint64_t bits[MT_INVENTORY_RANGES / 64];
} mt_inventory_ranges_t;

static inline bool mt_inventory_has (const mt_inventory_ranges_t *ranges,
                                     size_t range) {
  return ranges->bits[range / 64] >> range % 64 & 1;
}

static inline void mt_inventory_add (mt_inventory_ranges_t *ranges,
                                     size_t range) {
  ranges->bits[range / 64] |= (uint64_t)1 << range % 64;
}

typedef enum mt_item_kind_t {
  MT_ITEM_ENGINE,
  MT_ITEM_DOMAIN, /* a failure domain */
  MT_ITEM_KEY,    /* an API key of a workspace */
  MT_ITEM_ROUTE   /* a route that leads to a service */
} mt_item_kind_t;

/* The bit of an id that is set unless the item's engine drains or its domain
   is evacuated. The other bits identify the subject. */
#define MT_ITEM_IN_USE ((uint64_t)1)

/* What another router has of an item's subject. */
typedef enum mt_item_match_t {
  MT_ITEM_ABSENT,
  MT_ITEM_OTHER_STATE, /* MT_ITEM_IN_USE differs */
  MT_ITEM_SAME
} mt_item_match_t;

typedef struct mt_item_t {
  mt_item_kind_t kind;
  uint64_t id;    /* the same at all routers for the same item and state */
  bool withdrawn; /* listed here, but out of use as other routers reported */
  union {         /* valid until the tables change that it points into */
    const mt_engine_t *engine;
    const mt_catalog_key_t *key;
    struct {
      mt_id_t route, service;
    } path;
  } u;
} mt_item_t;

typedef struct mt_inventory_t {
  mt_item_t *items;
  size_t count, cap;
  /* The source's revision that the items show; NONE: this router cannot speak
     for the source. */
  mt_revision_t at;
  mt_revision_t rev; /* declarations: of the document in force */
  int64_t version;   /* of that document */
} mt_inventory_t;

static inline size_t mt_inventory_range (uint64_t id) {
  return (size_t)(id >> (64 - MT_INVENTORY_RANGE_BITS));
}

/* Whether a set of ids, a map with any values, has the item. */
mt_item_match_t mt_inventory_match (const mt_map_t *ids,
                                    const mt_item_t *item);

/* The digest of each range, of the items that are not withdrawn. It does not
   depend on their order. */
void mt_inventory_digests (const mt_inventory_t *inventory,
                           uint64_t digests[MT_INVENTORY_RANGES]);

/* One digest of all ranges' digests; never 0. */
uint64_t mt_inventory_digest (const uint64_t digests[MT_INVENTORY_RANGES]);

/* The number of items in each range, without withdrawn ones. */
void mt_inventory_counts (const mt_inventory_t *inventory,
                          size_t counts[MT_INVENTORY_RANGES]);

#endif
