/*
** first_ids.c - whether streams begin with an event 0 or with an event 1
*/
#include "first_ids.h"

/* For an id to be known: as many streams, and as many times those that began
   with the other one. */
#define STREAMS_MIN 4
/* Counts are halved above it, so that what is no longer true is forgotten. */
#define STREAMS_MAX 16

void mt_first_ids_add (mt_first_ids_t *f, int64_t id) {
  if (id < 0 || id >= MT_FIRST_IDS) return;
  if (++f->streams[id] <= STREAMS_MAX) return;
  for (int i = 0; i < MT_FIRST_IDS; i++) f->streams[i] /= 2;
}

int64_t mt_first_ids_known (const mt_first_ids_t *f) {
  for (int id = 0; id < MT_FIRST_IDS; id++)
    if (f->streams[id] >= STREAMS_MIN * mt_max(f->streams[1 - id], 1))
      return id;
  return -1;
}
