/*
** engine_gaps.c - how often the streams of an engine pause, from the
** measurements of all routers
*/
#include <math.h>

#include "engine_gaps.h"

/* Time constant of the sums: a busy engine has about 50 pauses of its streams
   in it at the rate that matters (one in 500 gaps). */
#define DECAY_MS 10000.0
/* An engine counts as many gaps without a pause beside the measured ones: one
   pause alone is no proof. */
#define PRIOR_COUNT 1000.0
/* Lowest fraction of gaps over a bound that is told from 0. */
#define FRACTION_MIN 1e-7
/* Without gaps for this long nothing is known of the engine any more, ms. */
#define FORGET_MS 60000
/* Bounds of one report: a router's streams at an engine have no more events
   between two reports, and no gap counts as longer. */
#define REPORT_COUNT_MAX 4096.0
#define GAP_MAX_MS 60000.0

static const int bounds_ms[MT_GAP_BOUNDS] = {100, 250, 500};

void mt_gap_sums_add (mt_gap_sums_t *sums, mt_ms_t ms) {
  sums->count++;
  sums->ms += (int64_t)mt_min(ms, (mt_ms_t)GAP_MAX_MS);
  for (int i = 0; i < MT_GAP_BOUNDS; i++)
    sums->over[i] += ms > (mt_ms_t)bounds_ms[i];
}

bool mt_gap_sums_fell (const mt_gap_sums_t *last, const mt_gap_sums_t *sums) {
  if (sums->count < last->count || sums->ms < last->ms) return true;
  for (int i = 0; i < MT_GAP_BOUNDS; i++)
    if (sums->over[i] < last->over[i]) return true;
  return false;
}

/* {== The model ======================================================== */

static void advance (mt_engine_gaps_t *g, mt_ms_t now) {
  if (now <= g->measured_at) return;
  double left = exp(-(double)(now - g->measured_at) / DECAY_MS);
  g->count *= left;
  g->ms *= left;
  for (int i = 0; i < MT_GAP_BOUNDS; i++) g->over[i] *= left;
}

/* Lowers a value to a bound; true if it was above. */
static bool lower (double *value, double most) {
  if (*value <= most) return false;
  *value = most;
  return true;
}

/* Reduces a difference of sums to plausible values; true if it was not. */
static bool bound (mt_engine_gaps_t *d) {
  bool bounded = lower(&d->count, REPORT_COUNT_MAX);
  bounded = lower(&d->ms, d->count * GAP_MAX_MS) || bounded;
  for (int i = 0; i < MT_GAP_BOUNDS; i++)
    bounded =
        lower(&d->over[i], i == 0 ? d->count : d->over[i - 1]) || bounded;
  return bounded;
}

bool mt_engine_gaps_add (mt_engine_gaps_t *g, const mt_gap_sums_t *last,
                         const mt_gap_sums_t *sums, mt_ms_t now) {
  mt_engine_gaps_t d = {.count = (double)(sums->count - last->count),
                        .ms = (double)(sums->ms - last->ms)};
  for (int i = 0; i < MT_GAP_BOUNDS; i++)
    d.over[i] = (double)(sums->over[i] - last->over[i]);
  bool bounded = bound(&d);
  advance(g, now);
  g->count += d.count;
  g->ms += d.ms;
  for (int i = 0; i < MT_GAP_BOUNDS; i++) g->over[i] += d.over[i];
  g->measured_at = mt_max(g->measured_at, now);
  return bounded;
}

mt_gap_figures_t mt_engine_gaps_figures (const mt_engine_gaps_t *gaps,
                                         mt_ms_t now) {
  mt_engine_gaps_t present = *gaps;
  mt_ms_t age = now > gaps->measured_at ? now - gaps->measured_at : 0;
  if (gaps->measured_at == 0 || age > FORGET_MS) return (mt_gap_figures_t){0};
  advance(&present, now);
  mt_gap_figures_t f = {.mean_ms = fmax(present.ms / present.count, 1),
                        .age = age};
  for (int i = 0; i < MT_GAP_BOUNDS; i++)
    f.over[i] = present.over[i] / (present.count + PRIOR_COUNT);
  return f;
}

/* }== */

/* {== Figures ========================================================== */

/* The fraction over a bound, never 0 and never above 1; bound -1: over 0 ms.
 */
static double fraction (const mt_gap_figures_t *f, int i) {
  return i < 0 ? 1 : fmin(fmax(f->over[i], FRACTION_MIN), 1);
}

static double bound_ms (int i) {
  return i < 0 ? 0 : bounds_ms[i];
}

/* Between two bounds, and beyond the last one, the logarithm of the fraction
   falls evenly. Its fall per ms from bound `i` on; never 0. */
static double fall (const mt_gap_figures_t *f, int i) {
  i = mt_min(i, MT_GAP_BOUNDS - 2);
  double by = log(fraction(f, i) / fraction(f, i + 1));
  return fmax(by, 1e-3) / (bound_ms(i + 1) - bound_ms(i));
}

double mt_gap_fraction_over (const mt_gap_figures_t *f, double ms) {
  int i = -1;
  if (f->mean_ms <= 0) return 0;
  while (i + 1 < MT_GAP_BOUNDS && ms >= bound_ms(i + 1)) i++;
  return fraction(f, i) * exp(-fall(f, i) * (ms - bound_ms(i)));
}

double mt_gap_late_fraction (const mt_gap_figures_t *f, double events,
                             double ms) {
  double gaps = fmax(events - 1, 0);
  return 1 - pow(1 - fmin(mt_gap_fraction_over(f, ms), 1), gaps);
}

double mt_gap_longest (const mt_gap_figures_t *f, double events) {
  int i = -1;
  if (f->mean_ms <= 0 || events < 2) return 0;
  double sought = 1 - pow(0.5, 1 / (events - 1));
  while (i + 1 < MT_GAP_BOUNDS && fraction(f, i + 1) >= sought) i++;
  double ms = bound_ms(i) + log(fraction(f, i) / sought) / fall(f, i);
  return fmin(ms, GAP_MAX_MS);
}

/* }== */
