/*
** prefix_cache.h - which parts of prompts one engine probably still keeps
**
** The engine drops the parts that were used longest ago. Its clock here is
** the number of tokens that were read or made there by anybody: a part that
** was used more of them ago than the engine holds is gone. It is a belief.
*/
#ifndef prefix_cache_h
#define prefix_cache_h

#include "mtmem.h"

typedef struct mt_prefix_segment_t {
  uint64_t id; /* never 0 */
  int64_t tokens;
} mt_prefix_segment_t;

typedef struct mt_prefix_cache_t {
  mt_map_t entries; /* part -> entry, owned */
  struct mt_prefix_entry_t *newest, *oldest;
  int64_t clock; /* tokens read or made there since it is known */
} mt_prefix_cache_t;

void mt_prefix_cache_free (mt_prefix_cache_t *cache);

/*
** Tokens of the longest run of leading parts that are kept by an engine with
** room for `capacity` tokens beside what is running.
*/
int64_t mt_prefix_cache_match (const mt_prefix_cache_t *cache,
                               const mt_prefix_segment_t *parts, size_t count,
                               int64_t capacity);

/* The engine uses these parts; forgets what was used too long ago. */
void mt_prefix_cache_use (mt_prefix_cache_t *cache,
                          const mt_prefix_segment_t *parts, size_t count,
                          int64_t capacity);

#endif
