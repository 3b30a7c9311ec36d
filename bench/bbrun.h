/*
** bbrun.h - the bench's runs
*/
#ifndef bbrun_h
#define bbrun_h

#include "bblab.h"

typedef struct bb_options_t {
  const char *bin, *json, *only;
  int seconds, repeat, keep;
  uint64_t seed;
} bb_options_t;

/* Each returns the exit code. */
typedef int (*bb_run_t)(const bb_options_t *o);

int bb_demo (const bb_options_t *o);
int bb_fair (const bb_options_t *o);
int bb_share (const bb_options_t *o);
int bb_flood (const bb_options_t *o);
int bb_userun (const bb_options_t *o);
int bb_wake (const bb_options_t *o);
int bb_skew (const bb_options_t *o);
int bb_overhead (const bb_options_t *o);
int bb_scale (const bb_options_t *o);
int bb_failover (const bb_options_t *o);
int bb_faults (const bb_options_t *o);
int bb_config (const bb_options_t *o);

#endif
