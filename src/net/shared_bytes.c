/*
** shared_bytes.c - the body of a request, shared by all that still need it
*/
#include <stdlib.h>
#include <string.h>

#include "mtmem.h"
#include "shared_bytes.h"

#define CAP_MIN 1024

mt_shared_bytes_t *mt_shared_bytes_new (mt_memory_budget_t *budget) {
  mt_shared_bytes_t *b = calloc(1, sizeof *b);
  if (b == NULL) return NULL;
  b->refs = 1;
  b->budget = budget;
  return b;
}

mt_shared_bytes_t *mt_shared_bytes_copy (mt_bytes_t bytes) {
  mt_shared_bytes_t *b = mtV_new(sizeof *b);
  b->refs = 1;
  if (bytes.n == 0) return b;
  b->p = mtV_new(bytes.n);
  memcpy(b->p, bytes.p, bytes.n);
  b->n = b->cap = bytes.n;
  return b;
}

mt_shared_bytes_t *mt_shared_bytes_ref (mt_shared_bytes_t *b) {
  b->refs++;
  return b;
}

void mt_shared_bytes_unref (mt_shared_bytes_t *b) {
  if (b == NULL || --b->refs > 0) return;
  if (b->budget != NULL)
    mt_memory_set(b->budget, MT_MEMORY_REQUESTS, &b->counted, 0);
  free(b->p);
  free(b);
}

size_t mt_shared_bytes_cap (const mt_shared_bytes_t *b, size_t more,
                            size_t total) {
  if (b->n + more <= b->cap) return b->cap;
  size_t cap = mt_max(mt_max(b->cap * 2, b->n + more), (size_t)CAP_MIN);
  return mt_max(mt_min(cap, total), b->n + more);
}

bool mt_shared_bytes_append (mt_shared_bytes_t *b, const char *p, size_t n,
                             size_t cap) {
  if (cap > b->cap) {
    char *grown = realloc(b->p, cap);
    if (grown == NULL) return false;
    b->p = grown;
    b->cap = cap;
    if (b->budget != NULL)
      mt_memory_set(b->budget, MT_MEMORY_REQUESTS, &b->counted, cap);
  }
  memcpy(b->p + b->n, p, n);
  b->n += n;
  return true;
}
