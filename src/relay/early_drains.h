/*
** early_drains.h - drain notices that arrive before their engine is listed
**
** Routers read the list of engines at different times, so a drain notice may
** arrive from a peer before its engine is listed here. The table is bounded,
** since datagrams are not authenticated.
*/
#ifndef early_drains_h
#define early_drains_h

#include "engine.h"

#define MT_EARLY_DRAINS_MAX 256 /* a further one replaces the oldest */

typedef struct mt_early_drain_t {
  uint64_t engine; /* key */
  mt_engine_drain_t drain;
} mt_early_drain_t;

typedef struct mt_early_drains_t {
  mt_early_drain_t list[MT_EARLY_DRAINS_MAX];
  size_t count;
} mt_early_drains_t;

/* Adds a notice. Of each engine only one is kept: the newest notice of its
   latest incarnation. */
void mt_early_drains_add (mt_early_drains_t *drains, uint64_t engine,
                          const mt_engine_drain_t *drain);

/* Removes the engine's notice and returns it; false if there is none. */
bool mt_early_drains_take (mt_early_drains_t *drains, uint64_t engine,
                           mt_engine_drain_t *drain);

#endif
