/*
** mtmem.c - growing arrays, a map with 64-bit keys, hashes, random numbers
*/
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mtmem.h"

#define MAP_CAP_MIN 16 /* a power of two */
#define FNV_OFFSET_BASIS 0xcbf29ce484222325ull
#define FNV_PRIME 0x100000001b3ull

/* {== Memory =========================================================== */

static void outofmemory (void) {
  fputs("martentiller: out of memory\n", stderr);
  abort();
}

void *mtV_new (size_t size) {
  void *p = calloc(1, size);
  if (p == NULL) outofmemory();
  return p;
}

void *mtV_grow (void *p, size_t used, size_t *cap, size_t size) {
  if (used < *cap) return p;
  size_t cap2 = *cap ? *cap * 2 : 8;
  void *q = realloc(p, cap2 * size);
  if (q == NULL) outofmemory();
  memset((char *)q + *cap * size, 0, (cap2 - *cap) * size);
  *cap = cap2;
  return q;
}

/* }== */

/* {== Hashes and random numbers ======================================== */

uint64_t mtV_mix (uint64_t a, uint64_t b) {
  uint64_t x = a ^ (b + 0x9e3779b97f4a7c15ull + (a << 6) + (a >> 2));
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
  return x ^ (x >> 31);
}

uint64_t mtV_hash (const void *p, size_t n) {
  const unsigned char *s = p;
  uint64_t h = FNV_OFFSET_BASIS;
  for (size_t i = 0; i < n; i++) h = (h ^ s[i]) * FNV_PRIME;
  return mtV_mix(h, n);
}

mt_id_t mtV_id (const char *name, size_t n) {
  uint64_t h = mtV_hash(name, n);
  mt_id_t id = (mt_id_t)(h ^ (h >> 32));
  return id ? id : 1;
}

uint64_t mtV_random (uint64_t *state) {
  *state += 0x9e3779b97f4a7c15ull;
  return mtV_mix(*state, 0);
}

/* }== */

/* {== Map ============================================================== */

/* Linear probing: the slot of a key, or the free one where it belongs. */
static size_t slotof (const mt_map_t *m, uint64_t key) {
  size_t i = (size_t)mtV_mix(key, 1) & (m->cap - 1);
  while (m->keys[i] != 0 && m->keys[i] != key) i = (i + 1) & (m->cap - 1);
  return i;
}

static void rehash (mt_map_t *m, size_t cap) {
  mt_map_t old = *m;
  m->cap = cap;
  m->keys = mtV_new(cap * sizeof *m->keys);
  m->vals = mtV_new(cap * sizeof *m->vals);
  for (size_t i = 0; i < old.cap; i++) {
    if (old.keys[i] == 0) continue;
    size_t j = slotof(m, old.keys[i]);
    m->keys[j] = old.keys[i];
    m->vals[j] = old.vals[i];
  }
  free(old.keys);
  free(old.vals);
}

void *mtV_get (const mt_map_t *m, uint64_t key) {
  if (m->cap == 0 || key == 0) return NULL;
  size_t i = slotof(m, key);
  return m->keys[i] == key ? m->vals[i] : NULL;
}

void mtV_put (mt_map_t *m, uint64_t key, void *val) {
  mt_assert(key != 0);
  if ((m->used + 1) * 4 > m->cap * 3)
    rehash(m, m->cap ? m->cap * 2 : MAP_CAP_MIN);
  size_t i = slotof(m, key);
  if (m->keys[i] == 0) m->used++;
  m->keys[i] = key;
  m->vals[i] = val;
}

/* Moves entries back over a removed one, so that no tombstones are needed. */
static void closegap (mt_map_t *m, size_t gap) {
  size_t mask = m->cap - 1;
  for (size_t i = (gap + 1) & mask; m->keys[i] != 0; i = (i + 1) & mask) {
    size_t home = (size_t)mtV_mix(m->keys[i], 1) & mask;
    if (((i - home) & mask) < ((i - gap) & mask)) continue;
    m->keys[gap] = m->keys[i];
    m->vals[gap] = m->vals[i];
    m->keys[i] = 0;
    gap = i;
  }
}

void *mtV_del (mt_map_t *m, uint64_t key) {
  if (m->cap == 0 || key == 0) return NULL;
  size_t i = slotof(m, key);
  if (m->keys[i] != key) return NULL;
  void *val = m->vals[i];
  m->keys[i] = 0;
  m->used--;
  closegap(m, i);
  return val;
}

void mtV_free (mt_map_t *m) {
  free(m->keys);
  free(m->vals);
  memset(m, 0, sizeof *m);
}

/* }== */
