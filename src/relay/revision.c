/*
** revision.c - revision numbers of the configuration source
*/
#include <inttypes.h>
#include <stdio.h>

#include "revision.h"

const char *mt_revision_text (mt_revision_t rev,
                              char text[MT_REVISION_TEXT_SIZE]) {
  int64_t era = mt_revision_era(rev), count = mt_revision_count(rev);
  if (rev == MT_REVISION_NONE)
    snprintf(text, MT_REVISION_TEXT_SIZE, "none");
  else if (era == 0)
    snprintf(text, MT_REVISION_TEXT_SIZE, "%" PRId64, count);
  else
    snprintf(text, MT_REVISION_TEXT_SIZE, "%" PRId64 "/%" PRId64, era, count);
  return text;
}
