/*
** ended_runs.h - runs at engines that have ended, until it is known whether
** their engine ended with them
**
** A run is lost if its connection broke. An answer without framing, which
** ends with its connection, may be complete or may be an engine's end: it is
** unconfirmed until the engine is heard of again.
*/
#ifndef ended_runs_h
#define ended_runs_h

#include "mtobject.h"
#include "mtmem.h"

typedef enum mt_ended_run_kind_t {
  MT_RUN_LOST,       /* its connection broke */
  MT_RUN_UNCONFIRMED /* its answer may be complete */
} mt_ended_run_kind_t;

typedef struct mt_ended_run_t {
  mt_ended_run_kind_t kind;
  uint64_t *names; /* of the request, as a suspect; owned */
  size_t names_count;
  uint64_t engine, request;
  mt_id_t workspace;
  mt_ms_t at, next;    /* time of its end; of the next report */
  uint64_t trial_name; /* the name whose lease it holds; 0: none */
  bool holds_engine;   /* it holds the engine's lease */
  bool engine_ended;
  bool probed; /* UNCONFIRMED: the engine was probed for it */
  int reports; /* that were sent */
} mt_ended_run_t;

typedef struct mt_ended_runs_t {
  mt_ended_run_t *list; /* by the time of their end */
  size_t count, cap;
} mt_ended_runs_t;

void mt_ended_runs_free (mt_ended_runs_t *runs);

/* Adds a copy of the run and of its names; false if there are too many. */
bool mt_ended_runs_add (mt_ended_runs_t *runs, const mt_ended_run_t *run);

/* Marks the runs of an engine that has ended; returns how many are new. */
size_t mt_ended_runs_mark (mt_ended_runs_t *runs, uint64_t engine);

/* Removes the run at this index. */
void mt_ended_runs_remove (mt_ended_runs_t *runs, size_t index);

/* True if another report of the run's end is due: at once, and twice again,
   since datagrams may be lost. */
bool mt_ended_run_is_due (const mt_ended_run_t *run, mt_ms_t now);

/* Schedules the next report after the one that is sent now. */
void mt_ended_run_reported (mt_ended_run_t *run, mt_ms_t now);

#endif
