/*
** change_log.h - the latest changes of a feed, ordered by revision
**
** A compacted log: of each subject only the change with the greatest revision
** is kept, so changes may arrive late, repeatedly or out of order. A router
** that is behind can be sent all changes after a given revision.
*/
#ifndef change_log_h
#define change_log_h

#include "change.h"
#include "mtmem.h"

typedef struct mt_change_log_entry_t {
  mt_change_t change; /* with its age as of `received_at` */
  mt_ms_t received_at;
  bool complete;   /* applied in full: nothing left to read at the source */
  bool new_engine; /* the first change of an engine, which makes it READY */
  uint32_t serial; /* unique per change; 0: the slot is free */
} mt_change_log_entry_t;

/* Refers to a change in the order of revisions. It is superseded when its
   slot holds a change with another serial. */
typedef struct mt_change_log_ref_t {
  mt_revision_t rev;
  uint32_t slot, serial;
} mt_change_log_ref_t;

typedef struct mt_change_log_t {
  mt_change_log_entry_t *entries; /* slots, unordered */
  size_t slots, slots_cap;
  size_t count;             /* slots in use */
  mt_map_t slot_by_subject; /* hash of the subject -> slot + 1 */
  uint32_t *free;
  size_t free_count, free_cap;
  mt_change_log_ref_t *order;
  /* `first`: index in `order`; all refs before it are superseded. */
  size_t first, order_count, order_cap;
  bool sorted;     /* `order` has ascending revisions */
  uint32_t serial; /* the last one assigned */
  size_t max;      /* capacity; beyond it the oldest changes are dropped */
  mt_revision_t dropped_to; /* changes up to this one may have been dropped */
} mt_change_log_t;

void mt_change_log_free (mt_change_log_t *log);

/*
** Sets the capacity for this many existing subjects, in changes: one for each
** of them, as many again for removed ones, and at least 1024.
*/
void mt_change_log_resize (mt_change_log_t *log, size_t subjects);

/* Result of adding a change. */
typedef enum mt_change_result_t {
  MT_CHANGE_NEW,       /* the latest change of its subject */
  MT_CHANGE_DUPLICATE, /* already in the log */
  MT_CHANGE_STALE,     /* a later change of the subject is known */
  MT_CHANGE_TOO_OLD,   /* as old as dropped changes: may have been known */
} mt_change_result_t;

/* Adds a change if the result is MT_CHANGE_NEW. */
mt_change_result_t mt_change_log_add (mt_change_log_t *log,
                                      const mt_change_t *change, mt_ms_t now);

/* The latest change of the same subject, or NULL; valid until the next one
   is added. */
mt_change_log_entry_t *mt_change_log_find (const mt_change_log_t *log,
                                           const mt_change_t *like);

/* The change in a slot less than `slots`, or NULL. A new change of a subject
   that is in the log goes to the same slot and moves no other change. */
const mt_change_t *mt_change_log_slot (const mt_change_log_t *log,
                                       size_t slot);

/*
** Copies the first changes after `rev`, at most `max`, with their age as of
** `now`, and returns their number. If some do not fit, `*reach` is set to the
** revision up to which the result is complete, else it is left as it is. Of
** more than `max` changes with one revision only the first are ever copied.
** With `omit_new`, one change named MT_CHANGE_UNNAMED stands for all new
** engines; withdrawals and reinstatements are still listed one by one.
*/
size_t mt_change_log_since (mt_change_log_t *log, mt_revision_t rev,
                            mt_ms_t now, bool omit_new, mt_change_t *to,
                            size_t max, mt_revision_t *reach);

#endif
