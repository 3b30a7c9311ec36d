/*
** prefix_cache.h - estimate of the prompt segments that an engine has cached
**
** The engine is taken to evict the least recently used segments. The clock
** counts the prompt and output tokens that it has processed, as far as this
** router knows: a segment whose last use is further back than the engine's
** capacity is taken to be evicted.
*/
#ifndef prefix_cache_h
#define prefix_cache_h

#include "mtmem.h"

/* A segment of a prompt, of which the routers see only name and length. */
typedef struct mt_prefix_segment_t {
  uint64_t id; /* hash of its name in the request; never 0 */
  int64_t tokens;
} mt_prefix_segment_t;

typedef struct mt_prefix_cache_t {
  mt_map_t entries;                          /* segment id -> entry, owned */
  struct mt_prefix_entry_t *newest, *oldest; /* by last use */
  int64_t clock; /* tokens processed there since the engine was added */
} mt_prefix_cache_t;

void mt_prefix_cache_free (mt_prefix_cache_t *cache);

/*
** Tokens of the leading segments that are still cached by an engine whose
** running requests leave room for `capacity` tokens.
*/
int64_t mt_prefix_cache_match (const mt_prefix_cache_t *cache,
                               const mt_prefix_segment_t *segments,
                               size_t count, int64_t capacity);

/* Marks the segments as used now, and drops all that are taken to be
   evicted. */
void mt_prefix_cache_use (mt_prefix_cache_t *cache,
                          const mt_prefix_segment_t *segments, size_t count,
                          int64_t capacity);

/*
** Takes back one use of the segments by a prompt that the engine did not
** prefill: those without another use are not cached.
*/
void mt_prefix_cache_withdraw (mt_prefix_cache_t *cache,
                               const mt_prefix_segment_t *segments,
                               size_t count);

#endif
