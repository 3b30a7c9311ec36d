/*
** prefix_cache.c - estimate of the prompt segments that an engine has cached
*/
#include <stdlib.h>

#include "prefix_cache.h"

typedef struct mt_prefix_entry_t {
  struct mt_prefix_entry_t *newer, *older;
  mt_prefix_segment_t segment;
  int64_t used_at; /* the cache's clock at its last use */
  int32_t uses;    /* since it was added, without those withdrawn */
} mt_prefix_entry_t;

static void detach (mt_prefix_cache_t *c, mt_prefix_entry_t *e) {
  if (e->newer)
    e->newer->older = e->older;
  else
    c->newest = e->older;
  if (e->older)
    e->older->newer = e->newer;
  else
    c->oldest = e->newer;
}

static void attach (mt_prefix_cache_t *c, mt_prefix_entry_t *e) {
  e->newer = NULL;
  e->older = c->newest;
  if (e->older)
    e->older->newer = e;
  else
    c->oldest = e;
  c->newest = e;
}

static void drop (mt_prefix_cache_t *c, mt_prefix_entry_t *e) {
  detach(c, e);
  mtV_del(&c->entries, e->segment.id);
  free(e);
}

void mt_prefix_cache_free (mt_prefix_cache_t *c) {
  while (c->oldest != NULL) drop(c, c->oldest);
  mtV_free(&c->entries);
}

int64_t mt_prefix_cache_match (const mt_prefix_cache_t *c,
                               const mt_prefix_segment_t *segments,
                               size_t count, int64_t capacity) {
  int64_t tokens = 0;
  for (size_t i = 0; i < count; i++) {
    const mt_prefix_entry_t *e = mtV_get(&c->entries, segments[i].id);
    if (e == NULL || c->clock - e->used_at > capacity) break;
    tokens += segments[i].tokens;
  }
  return tokens;
}

void mt_prefix_cache_use (mt_prefix_cache_t *c,
                          const mt_prefix_segment_t *segments, size_t count,
                          int64_t capacity) {
  /* The first segment is marked last, so that it is evicted last: a segment
     is useless without those before it. */
  for (size_t i = count; i-- > 0;) {
    mt_prefix_entry_t *e = mtV_get(&c->entries, segments[i].id);
    if (e != NULL) {
      detach(c, e);
    } else {
      e = mtV_new(sizeof *e);
      e->segment = segments[i];
      mtV_put(&c->entries, e->segment.id, e);
    }
    e->used_at = c->clock;
    e->uses++;
    attach(c, e);
  }
  while (c->oldest != NULL && c->clock - c->oldest->used_at > capacity)
    drop(c, c->oldest);
}

void mt_prefix_cache_withdraw (mt_prefix_cache_t *c,
                               const mt_prefix_segment_t *segments,
                               size_t count) {
  for (size_t i = 0; i < count; i++) {
    mt_prefix_entry_t *e = mtV_get(&c->entries, segments[i].id);
    if (e != NULL && --e->uses <= 0) drop(c, e);
  }
}
