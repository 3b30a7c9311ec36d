/*
** load_reporter.h - reports this router's loads to the owners of the engines
**
** Each engine is owned by one router (membership.h), which sums up the loads
** that all routers have there (load_table.h).
*/
#ifndef load_reporter_h
#define load_reporter_h

#include "engine.h"

/* A report that is due: an engine and the router that owns it. */
typedef struct mt_load_due_t {
  uint32_t owner;
  mt_engine_t *engine;
} mt_load_due_t;

typedef struct mt_load_reporter_t {
  mt_load_due_t *due; /* scratch space of a tick */
  size_t count, cap;
} mt_load_reporter_t;

typedef struct mt_load_reporter_callbacks_t {
  /* Address of the router that owns the engine. */
  uint32_t (*owner)(void *ud, const mt_engine_t *engine);
  /* Sends one owner the loads at some of its engines, at most
     MT_LOAD_REPORT_MAX. */
  void (*report)(void *ud, uint32_t owner, mt_engine_t **engines,
                 size_t count);
  void *ud;
} mt_load_reporter_callbacks_t;

#define MT_LOAD_REPORT_MAX 32 /* engines per report */

/* Reports the loads that have changed, and others at intervals while requests
   run. */
void mt_load_reporter_tick (mt_load_reporter_t *reporter,
                            mt_engines_t *engines, mt_ms_t now,
                            const mt_load_reporter_callbacks_t *callbacks);

void mt_load_reporter_free (mt_load_reporter_t *reporter);

#endif
