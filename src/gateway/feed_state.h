/*
** feed_state.h - what is known of one feed of the source, and by whose word
**
** A feed is a range of the source's keys with a revision that rises at each
** change. Watchers read it and tell the others how far it has gone, and for
** the list of engines also what has changed.
*/
#ifndef feed_state_h
#define feed_state_h

#include "mtobject.h"

typedef struct mt_feed_state_t {
  int64_t newest;    /* the feed's last change, by whomever it was told */
  int64_t at;        /* the source's revision when it was the last one */
  int64_t taken;     /* all changes up to there are known here */
  int64_t told;      /* likewise, but for engines that have come */
  mt_ms_t confirmed; /* the source last said so then; 0: never */
} mt_feed_state_t;

/* Some router heard that from the source; true when that is a new change. */
bool mt_feed_state_heard (mt_feed_state_t *feed, int64_t newest, int64_t at,
                          mt_ms_t confirmed);

/* What a watcher has to tell the routers of its failure domain. */
typedef struct mt_feed_news_t {
  bool due;
  int64_t base, reach; /* the changes are all those in between; both 0: only
                          that there are some */
} mt_feed_news_t;

/*
** The source told this router of all changes up to `at`; the last one is
** `newest`. `now`: it stands there now; 0: it may have gone on since, so that
** others learn nothing from it. `changes`: they are told along.
**
** A change that others named first, but did not tell, is told as well: some
** routers may have no way to the source. Such got work to engines up to 3.1 s
** after these had said that they leave.
*/
mt_feed_news_t mt_feed_state_read (mt_feed_state_t *feed, int64_t newest,
                                   int64_t at, mt_ms_t now, bool changes);

/* What became of news that were told or came. */
typedef enum mt_feed_outcome_t {
  MT_FEED_TOLD,  /* to the routers of the own failure domain */
  MT_FEED_TAKEN, /* all changes up to their reach are known now */
  MT_FEED_KNOWN, /* they reach no further than what is known here */
  MT_FEED_GAP,   /* changes between what is known here and them are lacking */
  MT_FEED_BARE,  /* they say only that there is something */
  MT_FEED_OUTCOMES
} mt_feed_outcome_t;

/* An outcome's name in lines and metrics. */
const char *mt_feed_outcome_name (mt_feed_outcome_t outcome);

/* What a watcher told holds all changes behind `base` up to `reach`. */
mt_feed_outcome_t mt_feed_state_judge (const mt_feed_state_t *feed,
                                       int64_t base, int64_t reach);

/* It has been taken; `all`: also the engines that have come. */
void mt_feed_state_took (mt_feed_state_t *feed, int64_t base, int64_t reach,
                         bool all);

#endif
