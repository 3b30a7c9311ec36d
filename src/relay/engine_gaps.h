/*
** engine_gaps.h - how often the streams of an engine pause, from the
** measurements of all routers
**
** Load: streams whose callers need the next event within a target time, at
** engines of which some pause now and then: an engine's step grows with what
** runs there, and prompts are prefilled between the steps. Pauses are rare,
** one gap between events in hundreds, so that one router alone sees too
** few. As in engine_speed.h, routers report sums, the engine's owner merges
** them, and its quotes carry the figures.
*/
#ifndef engine_gaps_h
#define engine_gaps_h

#include "mtobject.h"

/* Gaps are counted that are longer than 100, 250 and 500 ms. */
#define MT_GAP_BOUNDS 3

/* Gaps between events that one router has measured at one engine since it
   knows the engine. */
typedef struct mt_gap_sums_t {
  bool known; /* in reports; false: the router has no such sums */
  int64_t count, ms;
  int64_t over[MT_GAP_BOUNDS]; /* how many were longer than each bound */
} mt_gap_sums_t;

/* The owner's model: decaying sums. All zero: nothing was measured. */
typedef struct mt_engine_gaps_t {
  double count, ms, over[MT_GAP_BOUNDS]; /* as of `measured_at` */
  mt_ms_t measured_at;                   /* last gap; 0: none */
} mt_engine_gaps_t;

/* What a quote says about the engine's gaps. All zero: unknown. */
typedef struct mt_gap_figures_t {
  double mean_ms;             /* 0: unknown */
  double over[MT_GAP_BOUNDS]; /* fractions that are longer than each bound */
  mt_ms_t age; /* since the owner received the last measurement */
} mt_gap_figures_t;

/* Adds one gap of `ms` to the sums. */
void mt_gap_sums_add (mt_gap_sums_t *sums, mt_ms_t ms);

/* True if a sum is lower than in `last`, as after a restart of the router. */
bool mt_gap_sums_fell (const mt_gap_sums_t *last, const mt_gap_sums_t *sums);

/* Adds what was measured between two reports; all zero for `last`: since the
   start. True if the difference was implausible and had to be reduced. */
bool mt_engine_gaps_add (mt_engine_gaps_t *gaps, const mt_gap_sums_t *last,
                         const mt_gap_sums_t *sums, mt_ms_t now);

/* The model's figures as of now. */
mt_gap_figures_t mt_engine_gaps_figures (const mt_engine_gaps_t *gaps,
                                         mt_ms_t now);

/* Fraction of gaps longer than `ms`, from those over the bounds. */
double mt_gap_fraction_over (const mt_gap_figures_t *figures, double ms);

/* Probability that a stream of `events` has a gap longer than `ms`. */
double mt_gap_late_fraction (const mt_gap_figures_t *figures, double events,
                             double ms);

/* The longest gap, in ms, that a stream of `events` is to expect: half of
   such streams have a longer one. */
double mt_gap_longest (const mt_gap_figures_t *figures, double events);

#endif
