/*
** early_drains.h - drain notices that come before their engine is listed
**
** Routers read the source at different times, so one may hear that an engine
** drains before it lists that engine. The table is bounded, since
** datagrams come from anybody.
*/
#ifndef early_drains_h
#define early_drains_h

#include "engine.h"

#define MT_EARLY_DRAINS_MAX 256 /* beyond, the oldest is dropped */

typedef struct mt_early_drain_t {
  uint64_t engine;
  mt_engine_drain_t drain;
} mt_early_drain_t;

typedef struct mt_early_drains_t {
  mt_early_drain_t list[MT_EARLY_DRAINS_MAX];
  size_t count;
} mt_early_drains_t;

/* Keeps the notice; of one engine, that of its latest start. */
void mt_early_drains_add (mt_early_drains_t *drains, uint64_t engine,
                          const mt_engine_drain_t *drain);

/* Takes the engine's notice out of the table; false when there is none. */
bool mt_early_drains_take (mt_early_drains_t *drains, uint64_t engine,
                           mt_engine_drain_t *drain);

#endif
