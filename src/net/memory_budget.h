/*
** memory_budget.h - a bound for the memory that callers make a process hold
**
** The servers of a process share one budget: what counts is the sum over all
** ports. It has the bytes of unfinished requests, of bodies that engines are
** still to get and of responses that callers have not read, and those that
** lie unread in the kernel, which the box counts as well.
**
** Requests that are being received are ordered by their progress: where there
** is no room the one whose caller has stalled longest gives way.
*/
#ifndef memory_budget_h
#define memory_budget_h

#include "mtobject.h"

/* Kinds of memory, each with one owner that keeps its sum up to date. */
typedef enum mt_memory_kind_t {
  MT_MEMORY_REQUESTS,  /* heads and bodies of requests */
  MT_MEMORY_RESPONSES, /* responses that callers are still to read */
  MT_MEMORY_BUFFERED,  /* responses that are not passed on yet */
  MT_MEMORY_UNREAD,    /* input that the process has not read, as of the last
                          tick */
  MT_MEMORY_KINDS
} mt_memory_kind_t;

const char *mt_memory_kind_name (mt_memory_kind_t kind);

/* A request that is being received. */
typedef struct mt_memory_holder_t {
  struct mt_memory_holder_t *prev, *next;
  bool listed;
  size_t progress;    /* bytes received when `progressed` was set */
  mt_ms_t progressed; /* when the request last made progress */
  void *owner;
} mt_memory_holder_t;

typedef struct mt_memory_budget_t {
  size_t limit;                     /* bytes */
  size_t held[MT_MEMORY_KINDS];     /* bytes */
  mt_memory_holder_t *first, *last; /* the one that stalled longest first */
} mt_memory_budget_t;

/* Memory of the box in bytes: the machine's, or the limit of the process's
   address space or data if that is lower. */
size_t mt_memory_of_box (void);

/* The limit that a budget has by default in a box with so much memory: the
   rest is for the process itself. */
size_t mt_memory_default_limit (size_t box);

/* Bytes held altogether. */
size_t mt_memory_held (const mt_memory_budget_t *budget);
/* Bytes left; 0 if the limit is exceeded. */
size_t mt_memory_left (const mt_memory_budget_t *budget);
/* The same for large requests: a part of the budget is left to small ones. */
size_t mt_memory_left_for_large (const mt_memory_budget_t *budget);

/* Replaces what one owner holds: `*own` becomes `now`. */
void mt_memory_set (mt_memory_budget_t *budget, mt_memory_kind_t kind,
                    size_t *own, size_t now);

/* How much one of many may hold: a fraction of what is left, so that any
   number of them stays within the budget; from `min` to `max` bytes. */
size_t mt_memory_share (const mt_memory_budget_t *budget, size_t min,
                        size_t max);

/* A request begins, has so far `received` bytes, or is received. Progress is
   a growth by a fraction: a caller that adds byte after byte makes none. */
void mt_memory_begin (mt_memory_budget_t *budget, mt_memory_holder_t *holder,
                      mt_ms_t now);
void mt_memory_progress (mt_memory_budget_t *budget,
                         mt_memory_holder_t *holder, size_t received,
                         mt_ms_t now);
void mt_memory_end (mt_memory_budget_t *budget, mt_memory_holder_t *holder);

/* Takes a holder for one that has just made progress. */
void mt_memory_excuse (mt_memory_budget_t *budget, mt_memory_holder_t *holder,
                       mt_ms_t now);

#endif
