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

typedef struct mt_change_log_item_t {
  mt_change_t change; /* its age as of `heard` */
  mt_ms_t heard;
  bool whole; /* taken as a whole: nothing of it is for the source to tell */
} mt_change_log_item_t;

typedef struct mt_change_log_t {
  mt_change_log_item_t *items; /* rising revisions */
  size_t count, cap;
  int64_t from; /* changes up to there may have been dropped */
} mt_change_log_t;

void mt_change_log_free (mt_change_log_t *log);

/* What the log makes of a change. */
typedef enum mt_change_news_t {
  MT_CHANGE_NEW,   /* nothing so late was known of its subject */
  MT_CHANGE_SAME,  /* that very change was known */
  MT_CHANGE_STALE, /* a later one is known */
} mt_change_news_t;

mt_change_news_t mt_change_log_add (mt_change_log_t *log,
                                    const mt_change_t *change, mt_ms_t now);

/* The last change of the same subject, valid until the next; or NULL. */
mt_change_log_item_t *mt_change_log_find (const mt_change_log_t *log,
                                          const mt_change_t *like);

/*
** The first changes behind a revision, `most` at most, with their age now.
** `reach`: up to there they are all; the given one if there are no more. Of
** more than `most` that share a revision only the first are ever told.
*/
size_t mt_change_log_since (const mt_change_log_t *log, int64_t rev,
                            mt_ms_t now, mt_change_t *to, size_t most,
                            int64_t *reach);

#endif
