/*
** engine_speed.c - the performance of an engine, from the measurements of
** all routers
*/
#include <math.h>

#include "engine_speed.h"

/* Time constants of the windows, ms: of the engine's present speed, of a
   speed that it has kept for a second or more, and of its usual speed. */
#define BRIEF_MS 150.0
#define RECENT_MS 2000.0
#define USUAL_MS 10000.0
/* The usual speed counts as this many answers in the two shorter windows, and
   the expected one in its own, so that a few answers move an estimate little.
 */
#define PRIOR_ANSWERS 3.0
/* Parts of the deviation from the usual speed, as a logarithm, that are
   expected to last as long as the next request's prefill: most slowdowns are
   half over when the answers that they delayed have come, so a deviation
   counts in full only if the recent window shows it as well. */
#define BRIEF_PART 0.4
#define LASTING_PART 0.6
/* Figures that rest on older measurements are not used, ms: slowdowns last
   some 600 ms. */
#define FRESH_MS 2000
/* Without answers for so many ms nothing is known of the engine any more. */
#define FORGET_MS 60000
/* Bounds of one report: a router has no more answers of an engine between two
   reports (25 ms to 800 ms), and none is expected to take longer. */
#define REPORT_ANSWERS_MAX 64.0
#define ANSWER_MS_MAX 60000.0

static const char *const report_names[] = {
#define ROW(symbol, name) name,
    MT_SPEED_REPORTS(ROW)
#undef ROW
};

const char *mt_speed_report_name (mt_speed_report_t outcome) {
  return report_names[outcome];
}

void mt_speed_sums_add (mt_speed_sums_t *sums, double expected,
                        double measured) {
  sums->answers++;
  sums->expected_ms += llround(expected);
  sums->measured_ms += llround(measured);
}

/* {== Windows ========================================================== */

static void decay (mt_speed_window_t *w, double time_constant,
                   double elapsed) {
  double left = exp(-elapsed / time_constant);
  w->answers *= left;
  w->expected_ms *= left;
  w->measured_ms *= left;
}

/* Brings the windows to the present. */
static void advance (mt_engine_speed_t *speed, mt_ms_t now) {
  if (now <= speed->measured_at) return;
  double elapsed = (double)(now - speed->measured_at);
  decay(&speed->brief, BRIEF_MS, elapsed);
  decay(&speed->recent, RECENT_MS, elapsed);
  decay(&speed->usual, USUAL_MS, elapsed);
}

static void add (mt_speed_window_t *w, const mt_speed_window_t *sample) {
  w->answers += sample->answers;
  w->expected_ms += sample->expected_ms;
  w->measured_ms += sample->measured_ms;
}

static void add_sample (mt_engine_speed_t *speed,
                        const mt_speed_window_t *sample, mt_ms_t now) {
  advance(speed, now);
  add(&speed->brief, sample);
  add(&speed->recent, sample);
  add(&speed->usual, sample);
  speed->measured_at = mt_max(speed->measured_at, now);
}

/* Measured over expected; `prior`: the value for PRIOR_ANSWERS further
   answers of `answer_ms`. */
static double ratio (const mt_speed_window_t *w, double answer_ms,
                     double prior) {
  double prior_ms = PRIOR_ANSWERS * answer_ms;
  return (w->measured_ms + prior_ms * prior) / (w->expected_ms + prior_ms);
}

/* }== */

/* {== Reports ========================================================== */

/* Reduces a sample to plausible values; true if it was not plausible. */
static bool bound (mt_speed_window_t *s) {
  mt_speed_window_t given = *s;
  double most_ms = s->answers * ANSWER_MS_MAX;
  s->expected_ms = fmin(fmax(s->expected_ms, s->answers), most_ms);
  s->measured_ms =
      fmin(fmax(s->measured_ms, 0), s->expected_ms * MT_SLOWNESS_MAX);
  if (s->answers > REPORT_ANSWERS_MAX) {
    double part = REPORT_ANSWERS_MAX / s->answers;
    s->answers *= part;
    s->expected_ms *= part;
    s->measured_ms *= part;
  }
  return s->answers < given.answers || s->expected_ms != given.expected_ms ||
         s->measured_ms != given.measured_ms;
}

void mt_engine_speed_add (mt_engine_speed_t *speed, double expected,
                          double measured, mt_ms_t now) {
  mt_speed_window_t sample = {1, expected, measured};
  bound(&sample);
  add_sample(speed, &sample, now);
}

/* True if a sum has fallen, as after a restart of the router. */
static bool has_restarted (const mt_speed_sums_t *last,
                           const mt_speed_sums_t *sums) {
  return sums->answers < last->answers ||
         sums->expected_ms < last->expected_ms ||
         sums->measured_ms < last->measured_ms;
}

static mt_speed_report_t report_answers (mt_engine_speed_t *speed,
                                         const mt_speed_sums_t *last,
                                         const mt_speed_sums_t *sums,
                                         mt_ms_t now) {
  if (!sums->known) return MT_SPEED_REPORT_UNCHANGED;
  if (!last->known || has_restarted(last, sums))
    return MT_SPEED_REPORT_BASELINE;
  if (sums->answers == last->answers) return MT_SPEED_REPORT_UNCHANGED;
  mt_speed_window_t sample = {
      (double)(sums->answers - last->answers),
      (double)(sums->expected_ms - last->expected_ms),
      (double)(sums->measured_ms - last->measured_ms)};
  bool bounded = bound(&sample);
  add_sample(speed, &sample, now);
  return bounded ? MT_SPEED_REPORT_BOUNDED : MT_SPEED_REPORT_USED;
}

static mt_speed_report_t report_gaps (mt_engine_gaps_t *gaps,
                                      const mt_gap_sums_t *last,
                                      const mt_gap_sums_t *sums,
                                      mt_ms_t now) {
  if (!sums->known) return MT_SPEED_REPORT_UNCHANGED;
  if (!last->known || mt_gap_sums_fell(last, sums))
    return MT_SPEED_REPORT_BASELINE;
  if (sums->count == last->count) return MT_SPEED_REPORT_UNCHANGED;
  bool bounded = mt_engine_gaps_add(gaps, last, sums, now);
  return bounded ? MT_SPEED_REPORT_BOUNDED : MT_SPEED_REPORT_USED;
}

/* Of the two outcomes the one that says more counts. */
mt_speed_report_t mt_engine_speed_report (mt_engine_speed_t *speed,
                                          const mt_speed_sums_t *last,
                                          const mt_speed_sums_t *sums,
                                          mt_ms_t now) {
  if (last == NULL) return MT_SPEED_REPORT_BASELINE;
  mt_speed_report_t answers = report_answers(speed, last, sums, now);
  mt_speed_report_t gaps =
      report_gaps(&speed->gaps, &last->gaps, &sums->gaps, now);
  return mt_max(answers, gaps);
}

/* }== */

static double bounded_slowness (double slowness) {
  return fmin(fmax(slowness, MT_SLOWNESS_MIN), MT_SLOWNESS_MAX);
}

/* What two deviations have in common; 0 if they differ in sign. */
static double common_part (double a, double b) {
  if (a * b <= 0) return 0;
  return fabs(a) < fabs(b) ? a : b;
}

static double slowness_of (const mt_engine_speed_t *speed) {
  double answer_ms = speed->usual.expected_ms / speed->usual.answers;
  double usual = ratio(&speed->usual, answer_ms, 1);
  double recent = log(ratio(&speed->recent, answer_ms, usual) / usual);
  double brief = log(ratio(&speed->brief, answer_ms, usual) / usual);
  /* The first answers are all that the usual speed rests on: they must not
     count twice. */
  double independent = 1 - speed->brief.answers / speed->usual.answers;
  double deviation =
      BRIEF_PART * brief + LASTING_PART * common_part(brief, recent);
  return bounded_slowness(usual * exp(independent * deviation));
}

mt_speed_figures_t mt_engine_speed_figures (const mt_engine_speed_t *speed,
                                            mt_ms_t now) {
  mt_engine_speed_t present = *speed;
  mt_ms_t age = now > speed->measured_at ? now - speed->measured_at : 0;
  mt_speed_figures_t figures = {
      .age = age, .gaps = mt_engine_gaps_figures(&speed->gaps, now)};
  if (speed->measured_at == 0 || age > FORGET_MS) return figures;
  advance(&present, now);
  figures.slowness = slowness_of(&present);
  return figures;
}

static bool is_fresh (mt_ms_t age, mt_ms_t elapsed) {
  return age <= FRESH_MS && elapsed <= FRESH_MS - age;
}

double mt_speed_slowness (const mt_speed_figures_t *figures, mt_ms_t elapsed,
                          double own) {
  if (figures->slowness <= 0 || !is_fresh(figures->age, elapsed)) return own;
  return bounded_slowness(figures->slowness);
}

mt_gap_figures_t mt_speed_gaps (const mt_speed_figures_t *figures,
                                mt_ms_t elapsed) {
  if (!is_fresh(figures->gaps.age, elapsed)) return (mt_gap_figures_t){0};
  return figures->gaps;
}
