/*
** bbout.h - output and measurements of benchmarks
*/
#ifndef bbout_h
#define bbout_h

#include "bbrun.h"

/* Prints a line "name value unit" and records the value for the summary. */
void bb_print_value (const char *name, double value, const char *unit);

/*
** Prints minimum, median and maximum of each recorded name when the benchmark
** was repeated, and writes all values to the JSON file of the options, if
** there is one.
*/
void bb_print_summary (const bb_options_t *o);

/* {== Measurements of a cluster ======================================== */

/*
** Sums of the engines' own counters: busy slot milliseconds and slots, both
** weighted by speed; tokens, prefix cache hits and misses, requests run.
*/
typedef struct bb_engine_totals_t {
  double busy, slots, tokens, hits, misses, runs;
  uint64_t at; /* when they were read, ns */
} bb_engine_totals_t;

bb_engine_totals_t bb_engine_totals (bb_cluster_t *cluster);

/* Fraction of the slots, weighted by speed, busy between two readings. */
double bb_engine_utilization (const bb_engine_totals_t *before,
                              const bb_engine_totals_t *after);

/*
** Cost of the routers' control traffic. The arrays hold each router's
** counters: bytes, CPU seconds and messages. The other fields are computed
** over the routers: bytes and messages per second, CPU cores, and the
** largest resident memory, bytes.
*/
typedef struct bb_control_cost_t {
  double bytes[BB_ROUTERS_MAX], cpu[BB_ROUTERS_MAX], messages[BB_ROUTERS_MAX];
  double mean_bytes, max_bytes, mean_cores, mean_messages, max_memory;
  uint64_t at; /* when the counters were read, ns */
} bb_control_cost_t;

/* Reads the counters and the memory. */
void bb_read_control_cost (bb_cluster_t *cluster, bb_control_cost_t *c);

/* Computes the rates of `now` since the reading `before`. */
void bb_control_rates (const bb_cluster_t *cluster,
                       const bb_control_cost_t *before,
                       bb_control_cost_t *now);

/* }== */

#endif
