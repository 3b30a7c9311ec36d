/*
** mtmem.h - growing arrays, a map with 64-bit keys, hashes, random numbers
*/
#ifndef mtmem_h
#define mtmem_h

#include "mtobject.h"

/*
** Makes room in an array for one more element of `size` bytes; new elements
** are zero. Aborts the process when out of memory, as every size is bounded
** by a limit of its caller.
*/
void *mtV_grow (void *p, size_t used, size_t *cap, size_t size);

/* Allocates zeroed memory; aborts the process when out of memory. */
void *mtV_new (size_t size);

/* Appends an element to an array; the result points to it. */
#define mtV_push(vec, used, cap) \
  ((vec) = mtV_grow((vec), (used), &(cap), sizeof *(vec)), &(vec)[(used)++])

/* A hash map from non-zero 64-bit keys to pointers; all zero when empty. */
typedef struct mt_map_t {
  uint64_t *keys;
  void **vals;
  size_t used; /* live entries */
  size_t cap;  /* a power of two, or 0 */
} mt_map_t;

/*
** The value of a key, or NULL. mtV_del also removes it; mtV_free frees the
** map, not the values.
*/
void *mtV_get (const mt_map_t *m, uint64_t key);
void mtV_put (mt_map_t *m, uint64_t key, void *val);
void *mtV_del (mt_map_t *m, uint64_t key);
void mtV_free (mt_map_t *m);

/*
** Loops over the indices i of all entries: keys[i], vals[i]. The loop must
** not add or remove any.
*/
#define mtV_each(m, i)                  \
  for (size_t i = 0; i < (m)->cap; i++) \
    if ((m)->keys[i] != 0)

/* The id of a name: its mtV_hash folded to 32 bits, never zero. */
mt_id_t mtV_id (const char *name, size_t n);

/* 64-bit FNV-1a of n bytes with a final mix; the same on every router. */
uint64_t mtV_hash (const void *p, size_t n);

/* Hashes two words into one; also the weight of rendezvous hashing. */
uint64_t mtV_mix (uint64_t a, uint64_t b);

/*
** The next number of a pseudo-random sequence, not for cryptography; `state`
** starts as the seed.
*/
uint64_t mtV_random (uint64_t *state);

#endif
