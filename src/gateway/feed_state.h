/*
** feed_state.h - how far a feed of the source is known, and by whose word
**
** A feed is a range of the source's keys with a revision that rises at each
** change. Routers that read it tell the others how far it has gone and what
** has changed.
*/
#ifndef feed_state_h
#define feed_state_h

#include "revision.h"

/* How the source told of a feed. */
typedef enum mt_feed_reading_t {
  MT_FEED_CHANGES, /* each change, as they came; it stands there now */
  MT_FEED_LISTING, /* what there is now */
  MT_FEED_PAST     /* what there was; it may have gone on since */
} mt_feed_reading_t;

typedef struct mt_feed_state_t {
  mt_revision_t newest; /* the feed's last change, by whomever it was told */
  mt_revision_t at;     /* the source's revision when it was the last one */
  mt_revision_t taken;  /* all changes up to there are known here */
  mt_revision_t
      told;          /* likewise, but for what only the source itself tells */
  mt_ms_t confirmed; /* the source last said so then; 0: never */
} mt_feed_state_t;

/*
** Some router heard that from the source; true when that is a new change.
** Who has everything up to the last change has everything up to `at`: else
** the next change would seem to leave a gap, for the source's revision rises
** with the other feed's changes, too.
*/
bool mt_feed_state_heard (mt_feed_state_t *feed, mt_revision_t newest,
                          mt_revision_t at, mt_ms_t confirmed);

/* What a router that has read has to tell. */
typedef struct mt_feed_news_t {
  bool due;
  mt_revision_t base, reach; /* the changes are all those in between; base 0:
                          what was before them is not known here */
} mt_feed_news_t;

/*
** The source told this router of all changes up to `at`; the last one is
** `newest`. `now`: it stands there now; 0: it may have gone on since, so that
** others do not learn from it how far the feed has gone. `fresh`: some of the
** changes had been told by nobody.
*/
mt_feed_news_t mt_feed_state_read (mt_feed_state_t *feed,
                                   mt_revision_t newest, mt_revision_t at,
                                   mt_ms_t now, bool fresh);

/* What became of news that were told or came. */
typedef enum mt_feed_outcome_t {
  MT_FEED_TOLD,  /* to other routers */
  MT_FEED_TAKEN, /* all changes up to their reach are known now */
  MT_FEED_KNOWN, /* they reach no further than what is known here */
  MT_FEED_GAP,   /* changes between what is known here and them are lacking */
  MT_FEED_ASKED, /* another router was asked for what is lacking */
  MT_FEED_OUTCOMES
} mt_feed_outcome_t;

/* An outcome's name in lines and metrics. */
const char *mt_feed_outcome_name (mt_feed_outcome_t outcome);

/* News hold all changes behind `base` up to `reach`. */
mt_feed_outcome_t mt_feed_state_judge (const mt_feed_state_t *feed,
                                       mt_revision_t base,
                                       mt_revision_t reach);

/* They have been taken; `all`: none of them is for the source to tell. */
void mt_feed_state_took (mt_feed_state_t *feed, mt_revision_t base,
                         mt_revision_t reach, bool all);

/* True when others know changes that were not told here. */
bool mt_feed_state_lacks (const mt_feed_state_t *feed);

#endif
