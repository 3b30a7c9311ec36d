/*
** prefix_cache.h - which parts of prompts one engine probably still keeps
**
** A bounded memory, least recently used first out, of what was sent there.
** It is a belief: the engine may have dropped a part or read it for others.
*/
#ifndef prefix_cache_h
#define prefix_cache_h

#include "mtmem.h"

typedef struct mt_prefix_part_t {
  uint64_t id; /* never 0 */
  int64_t tokens;
} mt_prefix_part_t;

typedef struct mt_prefix_cache_t {
  mt_map_t entries; /* part -> entry, owned */
  struct mt_prefix_entry_t *newest, *oldest;
  int64_t tokens;
} mt_prefix_cache_t;

void mt_prefix_cache_free (mt_prefix_cache_t *cache);

/* Tokens of the longest run of leading parts that are kept. */
int64_t mt_prefix_cache_match (const mt_prefix_cache_t *cache,
                               const mt_prefix_part_t *parts, size_t count);

/* The engine reads these parts; forgets the oldest beyond `capacity`. */
void mt_prefix_cache_use (mt_prefix_cache_t *cache,
                          const mt_prefix_part_t *parts, size_t count,
                          int64_t capacity);

#endif
