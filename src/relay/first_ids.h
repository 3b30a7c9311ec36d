/*
** first_ids.h - whether streams begin with an event 0 or with an event 1
**
** Both are in use. Engines of one software version agree, so the streams that
** began at some of them tell whether the first event of another is missing.
*/
#ifndef first_ids_h
#define first_ids_h

#include "mtobject.h"

#define MT_FIRST_IDS 2 /* 0 and 1 */

/* Streams that began with either, the recent ones. All zero: none. */
typedef struct mt_first_ids_t {
  int streams[MT_FIRST_IDS];
} mt_first_ids_t;

/* A stream has begun with the event `id`, whether it was passed on or not. */
void mt_first_ids_add (mt_first_ids_t *first_ids, int64_t id);

/* What the streams begin with; -1: too few have, or they do not agree. */
int64_t mt_first_ids_known (const mt_first_ids_t *first_ids);

#endif
