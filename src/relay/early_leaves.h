/*
** early_leaves.h - leave notices that come before their engine is listed
**
** Routers read the source at different times, so one may be told that an
** engine leaves before it lists that engine. The table is bounded, since
** datagrams come from anybody.
*/
#ifndef early_leaves_h
#define early_leaves_h

#include "engine.h"

#define MT_EARLY_LEAVES_MAX 256 /* beyond, the oldest is dropped */

typedef struct mt_early_leave_t {
  uint64_t engine;
  mt_engine_leave_t leave;
} mt_early_leave_t;

typedef struct mt_early_leaves_t {
  mt_early_leave_t list[MT_EARLY_LEAVES_MAX];
  size_t count;
} mt_early_leaves_t;

/* Keeps the notice; of one engine, that of its latest start. */
void mt_early_leaves_note (mt_early_leaves_t *leaves, uint64_t engine,
                           const mt_engine_leave_t *leave);

/* Takes the engine's notice out of the table; false when there is none. */
bool mt_early_leaves_take (mt_early_leaves_t *leaves, uint64_t engine,
                           mt_engine_leave_t *leave);

#endif
