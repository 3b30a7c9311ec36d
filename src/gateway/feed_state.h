/*
** feed_state.h - up to which revision a feed of the source is known here
**
** A feed is a range of keys at the configuration source, such as the list of
** engines. The source has one revision, which rises with each change of any
** key. Routers that read a feed send the others its latest revision and its
** changes.
*/
#ifndef feed_state_h
#define feed_state_h

#include "revision.h"

/* How this router read a feed from the source. */
typedef enum mt_feed_reading_t {
  MT_FEED_CHANGES,      /* a watch: every change, up to the present */
  MT_FEED_LISTING,      /* a list of the present entries */
  MT_FEED_STALE_LISTING /* a list that may be out of date */
} mt_feed_reading_t;

typedef struct mt_feed_state_t {
  mt_revision_t newest; /* last change of the feed that any router knows of */
  mt_revision_t at;     /* source's revision when that was the last change */
  mt_revision_t applied;  /* all changes up to this one are applied here;
                             NONE: this router has not read the feed yet */
  mt_revision_t received; /* likewise, except for details (of new engines,
                         say) that can only be read from the source */
  mt_ms_t confirmed; /* when a router last read this at the source, or 0 */
} mt_feed_state_t;

/* The state of a feed of which nothing is known. */
#define MT_FEED_STATE_UNREAD                                               \
  ((mt_feed_state_t){MT_REVISION_NONE, MT_REVISION_NONE, MT_REVISION_NONE, \
                     MT_REVISION_NONE, 0})

/*
** Merges what some router read at the source; true if it shows a new change.
** If all changes up to `newest` are known here, all up to `at` are: the
** source's revision also rises with changes of the other feed, and without
** this rule the next change would seem to leave a gap.
*/
bool mt_feed_state_merge (mt_feed_state_t *feed, mt_revision_t newest,
                          mt_revision_t at, mt_ms_t confirmed);

/* The changes that a router has to send to others after a read. */
typedef struct mt_feed_update_t {
  bool due;                  /* false: none */
  mt_revision_t base, reach; /* all changes after `base` up to `reach` */
} mt_feed_update_t;

/*
** This router has read all changes up to `at` from the source; the last one
** is `newest`. `now`: the time, or 0 for a list that may be out of date and
** does not show the feed's present revision. `unannounced`: some of the
** changes had not been received from a peer before.
*/
mt_feed_update_t mt_feed_state_read (mt_feed_state_t *feed,
                                     mt_revision_t newest, mt_revision_t at,
                                     mt_ms_t now, bool unannounced);

/* What was done with a span of changes (base, reach]. */
typedef enum mt_feed_outcome_t {
  MT_FEED_SENT,      /* sent to other routers */
  MT_FEED_APPLIED,   /* received; all changes up to `reach` are known now */
  MT_FEED_KNOWN,     /* received; everything up to `reach` was known */
  MT_FEED_GAP,       /* received; changes before `base` are missing here */
  MT_FEED_REQUESTED, /* requested from another router */
  MT_FEED_COMPARED,  /* a part of a peer's inventory was compared with ours */
  MT_FEED_OUTCOMES
} mt_feed_outcome_t;

/* Name of an outcome in log lines and metrics. */
const char *mt_feed_outcome_name (mt_feed_outcome_t outcome);

/* KNOWN, APPLIED or GAP, for a received span with all changes after `base` up
   to `reach`. Base NONE means that its beginning is not known. */
mt_feed_outcome_t mt_feed_state_classify (const mt_feed_state_t *feed,
                                          mt_revision_t base,
                                          mt_revision_t reach);

/* A span was applied; `all`: in full, nothing of it is left to read at the
   source. */
void mt_feed_state_apply (mt_feed_state_t *feed, mt_revision_t base,
                          mt_revision_t reach, bool all);

/* A comparison with a peer's inventory has shown all changes up to `reach`,
   except for details that can only be read from the source. */
void mt_feed_state_complete (mt_feed_state_t *feed, mt_revision_t reach);

/* True if other routers know of changes that were not received here. A router
   that has not read the feed is not behind: no changes would complete it. */
bool mt_feed_state_is_behind (const mt_feed_state_t *feed);

#endif
