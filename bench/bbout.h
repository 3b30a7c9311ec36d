/*
** bbout.h - what a run prints: "name value unit" lines, medians, JSON
*/
#ifndef bbout_h
#define bbout_h

#include "bbrun.h"

/* Prints one line and keeps its value. */
void bb_line (const char *name, double value, const char *unit);

/* Prints least, median and most of each line over the repeats; writes JSON.
 */
void bb_summary (const bb_options_t *o);

/* {== Measures of a lab ================================================ */

/* Sums over the engines, as they count themselves. */
typedef struct bb_engines_t {
  double busy, slots, tokens, hits, misses, runs;
  uint64_t at; /* ns */
} bb_engines_t;

bb_engines_t bb_engines (bb_lab_t *lab);

/* Share of the slots, weighed by speed, that was busy between two looks. */
double bb_use (const bb_engines_t *before, const bb_engines_t *after);

/* What the routers spend on control, between two looks. */
typedef struct bb_control_t {
  double bytes[BB_MAX_ROUTERS], cpu[BB_MAX_ROUTERS], messages[BB_MAX_ROUTERS];
  double meanbytes, mostbytes, meancore, meanmessages, memory;
  uint64_t at;
} bb_control_t;

void bb_control (bb_lab_t *lab, bb_control_t *c);
/* Fills the rates per second of `now` from an earlier look. */
void bb_rates (const bb_lab_t *lab, const bb_control_t *before,
               bb_control_t *now);

/* }== */

#endif
