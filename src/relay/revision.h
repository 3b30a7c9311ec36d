/*
** revision.h - revision numbers of the configuration source
**
** The source counts its changes. When it is restored from a backup it goes on
** from the backup's count, which begins a new era. The bits of a revision
** above the count hold the era, so revisions compare as plain integers and a
** later era is always newer.
*/
#ifndef revision_h
#define revision_h

#include "mtobject.h"

#define MT_REVISION_COUNT_BITS 40
#define MT_REVISION_COUNT_MAX (((int64_t)1 << MT_REVISION_COUNT_BITS) - 1)
#define MT_REVISION_ERA_MAX \
  (((int64_t)1 << (63 - MT_REVISION_COUNT_BITS)) - 1)
#define MT_REVISION_TEXT_SIZE 32

/* 0 is the revision of a source that has had no change. A source that reports
   no era is in era 0. */
typedef int64_t mt_revision_t;

/* No revision is known. Less than every revision, and of no source's era. */
#define MT_REVISION_NONE ((mt_revision_t)-1)

/* Values out of range are clamped. */
static inline mt_revision_t mt_revision (int64_t era, int64_t count) {
  era = mt_min(mt_max(era, (int64_t)0), MT_REVISION_ERA_MAX);
  count = mt_min(mt_max(count, (int64_t)0), MT_REVISION_COUNT_MAX);
  return era << MT_REVISION_COUNT_BITS | count;
}

static inline int64_t mt_revision_era (mt_revision_t rev) {
  return rev >> MT_REVISION_COUNT_BITS;
}

static inline int64_t mt_revision_count (mt_revision_t rev) {
  return rev & MT_REVISION_COUNT_MAX;
}

/* Writes "ERA/COUNT", the count alone in era 0, or "none"; returns `text`. */
const char *mt_revision_text (mt_revision_t rev,
                              char text[MT_REVISION_TEXT_SIZE]);

#endif
