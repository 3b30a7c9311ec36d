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

/* Returns the exit code. */
typedef int (*bb_run_t)(const bb_options_t *o);

int bb_demo (const bb_options_t *o);
int bb_fair (const bb_options_t *o);

#endif
