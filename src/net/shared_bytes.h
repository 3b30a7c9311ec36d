/*
** shared_bytes.h - the body of a request, shared by all that still need it
**
** The server appends to it while it has the only reference; calls to engines
** then send it without copies of their own.
*/
#ifndef shared_bytes_h
#define shared_bytes_h

#include "memory_budget.h"

typedef struct mt_shared_bytes_t {
  char *p;
  size_t n, cap;
  size_t counted; /* in the budget */
  size_t refs;
  mt_memory_budget_t *budget; /* NULL: counted nowhere */
} mt_shared_bytes_t;

/* An empty one, with one reference; NULL if there is no memory. */
mt_shared_bytes_t *mt_shared_bytes_new (mt_memory_budget_t *budget);
/* A copy of `bytes`, counted nowhere. Aborts when out of memory. */
mt_shared_bytes_t *mt_shared_bytes_copy (mt_bytes_t bytes);

mt_shared_bytes_t *mt_shared_bytes_ref (mt_shared_bytes_t *bytes);
/* Drops a reference, the last one with the memory; NULL is allowed. */
void mt_shared_bytes_unref (mt_shared_bytes_t *bytes);

/* The capacity for `more` bytes behind those that it has, of `total` at most;
   `total` is at least that. */
size_t mt_shared_bytes_cap (const mt_shared_bytes_t *bytes, size_t more,
                            size_t total);
/* Appends bytes, after growing to `cap` if need be; false if there is no
   memory. */
bool mt_shared_bytes_append (mt_shared_bytes_t *bytes, const char *p,
                             size_t n, size_t cap);

#endif
