/*
** change_log.h - the last changes of a feed, by revision
**
** Of each thing only its last change is kept, whoever told it and in whatever
** order, so changes may come late, twice or not in turn. Whoever lacks some
** can be told all that came after a revision.
*/
#ifndef change_log_h
#define change_log_h

#include "change.h"
#include "mtmem.h"

typedef struct mt_change_log_item_t {
  mt_change_t change; /* its age as of `heard` */
  mt_ms_t heard;
  bool whole;  /* taken as a whole: nothing of it is for the source to tell */
  bool begins; /* an engine has come of which nothing was known before */
  uint32_t serial; /* of the change, never the same twice; 0: a free slot */
} mt_change_log_item_t;

/* One change in the order of revisions. It is over when its slot holds a
   change with another serial. */
typedef struct mt_change_log_place_t {
  mt_revision_t rev;
  uint32_t slot, serial;
} mt_change_log_place_t;

typedef struct mt_change_log_t {
  mt_change_log_item_t *items; /* slots, in no order */
  size_t slots, slots_cap;
  size_t count;        /* slots that hold a change */
  mt_map_t by_subject; /* slot + 1 */
  uint32_t *free;
  size_t free_count, free_cap;
  mt_change_log_place_t *order;
  size_t first, order_count,
      order_cap;   /* `first`: those before it are over */
  bool sorted;     /* `order` has rising revisions */
  uint32_t serial; /* the last that was given */
  size_t most; /* changes that are kept; beyond it the oldest are dropped */
  mt_revision_t from; /* changes up to there may have been dropped */
} mt_change_log_t;

void mt_change_log_free (mt_change_log_t *log);

/*
** So many things are there whose changes it is to hold. It keeps as many
** changes, once more as many for what went, and never fewer than some
** hundred.
*/
void mt_change_log_expect (mt_change_log_t *log, size_t things);

/* What the log makes of a change. */
typedef enum mt_change_news_t {
  MT_CHANGE_NEW,   /* nothing so late was known of its subject */
  MT_CHANGE_SAME,  /* that very change was known */
  MT_CHANGE_STALE, /* a later one is known */
  MT_CHANGE_OLD,   /* as old as what was dropped: it may have been known */
} mt_change_news_t;

/* Takes a change, unless it is STALE or OLD. */
mt_change_news_t mt_change_log_add (mt_change_log_t *log,
                                    const mt_change_t *change, mt_ms_t now);

/* The last change of the same subject, valid until the next; or NULL. */
mt_change_log_item_t *mt_change_log_find (const mt_change_log_t *log,
                                          const mt_change_t *like);

/* The change in a slot below `slots`, or NULL. Adding a change of a subject
   that is in the log moves no other to another slot. */
const mt_change_t *mt_change_log_at (const mt_change_log_t *log, size_t slot);

/*
** The first changes behind a revision, `most` at most, with their age now.
** `reach`: up to there they are all; the given one if there are no more. Of
** more than `most` that share a revision only the first are ever told.
** `brief`: one change, MT_CHANGE_SEVERAL, stands for all engines that have
** come; what ends, or goes on after an end, is there as ever.
*/
size_t mt_change_log_since (mt_change_log_t *log, mt_revision_t rev,
                            mt_ms_t now, bool brief, mt_change_t *to,
                            size_t most, mt_revision_t *reach);

#endif
