/*
** bbrun.h - the benchmarks and their options
*/
#ifndef bbrun_h
#define bbrun_h

#include "bbcluster.h"

/*
** Command-line options. `bin` is the directory of the programs, `json` a file
** for all values or NULL, `only` restricts a benchmark to one of its setups,
** axes or faults, or is NULL. `seconds` is the length of the measurement (0:
** the benchmark's own), `repeat` the number of runs, each with the next seed.
** `keep` 1 leaves the demo running until it is interrupted.
*/
typedef struct bb_options_t {
  const char *bin, *json, *only;
  int seconds, repeat, keep;
  uint64_t seed;
} bb_options_t;

/* A benchmark; returns the exit code of the process. */
typedef int (*bb_bench_t)(const bb_options_t *o);

/* Three routers serve a few example requests. */
int bb_demo (const bb_options_t *o);
/* Fairness between equal workspaces, against baselines. */
int bb_fair (const bb_options_t *o);
/* Fairness between workspaces with unequal shares. */
int bb_share (const bb_options_t *o);
/* Waits of small workspaces while another one floods the cluster. */
int bb_flood (const bb_options_t *o);
/* Utilization of unequal engines and prefix cache hits, in bursts. */
int bb_utilization (const bb_options_t *o);
/* Fairness when an idle workspace starts to send again. */
int bb_idle_return (const bb_options_t *o);
/* All requests arrive at one router. */
int bb_skew (const bb_options_t *o);
/* Latency, CPU and memory that a router adds. */
int bb_overhead (const bb_options_t *o);
/* Control traffic by number of routers, workspaces, engines, requests. */
int bb_scale (const bb_options_t *o);
/* Time without grants after the router that schedules is killed. */
int bb_failover (const bb_options_t *o);
/* Invariants under injected faults; 1 if one was violated. */
int bb_faults (const bb_options_t *o);
/* Time until a configuration change is applied; load on the store. */
int bb_config (const bb_options_t *o);

#endif
