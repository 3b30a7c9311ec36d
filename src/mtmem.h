/*
** mtmem.h - growing arrays, a map from 64-bit keys, and hashes
*/
#ifndef mtmem_h
#define mtmem_h

#include "mtobject.h"

/*
** Grows an array to hold one more element. Sizes are bounded by the callers'
** named limits, so running out of memory here ends the process.
*/
void *mtV_grow (void *p, size_t used, size_t *cap, size_t size);

/* calloc that ends the process when memory is out. */
void *mtV_new (size_t size);

#define mtV_push(vec, used, cap) \
  ((vec) = mtV_grow((vec), (used), &(cap), sizeof *(vec)), &(vec)[(used)++])

/* A map from non-zero 64-bit keys to pointers. */
typedef struct mt_map_t {
  uint64_t *keys;
  void **vals;
  size_t used; /* live entries */
  size_t cap;  /* a power of two, or 0 */
} mt_map_t;

void *mtV_get (const mt_map_t *m, uint64_t key);
void mtV_put (mt_map_t *m, uint64_t key, void *val);
void *mtV_del (mt_map_t *m, uint64_t key);
void mtV_free (mt_map_t *m);

/* Calls `body` with `val` set for every entry; do not add or remove inside.
 */
#define mtV_each(m, i)                  \
  for (size_t i = 0; i < (m)->cap; i++) \
    if ((m)->keys[i] != 0)

/* The stable handle of a name: FNV-1a folded to 32 bits, never zero. */
mt_id_t mtV_id (const char *name, size_t n);

/* 64-bit FNV-1a with a final mix. */
uint64_t mtV_hash (const void *p, size_t n);

/* Mixes two words; the weight of rendezvous hashing. */
uint64_t mtV_mix (uint64_t a, uint64_t b);

/* A small seeded generator; state is the caller's. */
uint64_t mtV_random (uint64_t *state);

#endif
