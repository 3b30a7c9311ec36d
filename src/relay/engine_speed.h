/*
** engine_speed.h - the performance of an engine, from the measurements of
** all routers
**
** Load: engines of different speeds, which also slow down for a fraction of
** a second, each used by many routers of which every one sees a few answers.
** A router sums up what it measures at an engine and reports the sums to the
** engine's owner; the owner merges the reports into a model of the engine,
** and its quotes carry the model's figures to the routers that place
** requests.
**
** How often an engine's streams pause goes the same way (engine_gaps.h).
**
** Slowness is the measured time to first token over the expected one. A
** sample weighs as much as its expected ms: relative errors of short times
** are large.
*/
#ifndef engine_speed_h
#define engine_speed_h

#include "engine_gaps.h"

/* Range of slowness. */
#define MT_SLOWNESS_MIN 0.4
#define MT_SLOWNESS_MAX 8.0

/* What one router has measured at one engine since it knows the engine. */
typedef struct mt_speed_sums_t {
  bool known;      /* in reports; false: the router has no such sums */
  int64_t answers; /* measured times to first token */
  int64_t expected_ms, measured_ms;
  mt_gap_sums_t gaps;
} mt_speed_sums_t;

/* Sums over measured answers that decay with time. */
typedef struct mt_speed_window_t {
  double answers, expected_ms, measured_ms;
} mt_speed_window_t;

/* The owner's model of an engine. All zero: nothing was measured. */
typedef struct mt_engine_speed_t {
  mt_speed_window_t brief, recent, usual; /* as of `measured_at` */
  mt_ms_t measured_at;                    /* last answer; 0: none */
  mt_engine_gaps_t gaps;
} mt_engine_speed_t;

/* What a quote says about the engine. All zero: unknown. */
typedef struct mt_speed_figures_t {
  double slowness; /* 0: unknown */
  mt_ms_t age;     /* since the owner received the last answer's time */
  mt_gap_figures_t gaps;
} mt_speed_figures_t;

/*
** What became of a router's report: symbol, name in metrics. BASELINE: it is
** the first one of this router, or the router has restarted. BOUNDED: used,
** but with its difference reduced to what is plausible. IGNORED: of an
** unknown engine.
*/
#define MT_SPEED_REPORTS(ROW)                 \
  ROW(MT_SPEED_REPORT_UNCHANGED, "unchanged") \
  ROW(MT_SPEED_REPORT_BASELINE, "baseline")   \
  ROW(MT_SPEED_REPORT_USED, "used")           \
  ROW(MT_SPEED_REPORT_BOUNDED, "bounded")     \
  ROW(MT_SPEED_REPORT_IGNORED, "ignored")

typedef enum mt_speed_report_t {
#define MT_SPEED_SYMBOL(symbol, name) symbol,
  MT_SPEED_REPORTS(MT_SPEED_SYMBOL)
#undef MT_SPEED_SYMBOL
      MT_SPEED_REPORT_COUNT
} mt_speed_report_t;

/* Name of an outcome in metrics. */
const char *mt_speed_report_name (mt_speed_report_t outcome);

/* Adds one measured answer to the sums, times in ms. */
void mt_speed_sums_add (mt_speed_sums_t *sums, double expected,
                        double measured);

/* Adds one answer that the owner measured itself, times in ms. */
void mt_engine_speed_add (mt_engine_speed_t *speed, double expected,
                          double measured, mt_ms_t now);

/* Adds what a router has measured between two of its reports. `last`: its
   previous report, NULL if there is none. */
mt_speed_report_t mt_engine_speed_report (mt_engine_speed_t *speed,
                                          const mt_speed_sums_t *last,
                                          const mt_speed_sums_t *sums,
                                          mt_ms_t now);

/* The model's figures as of now. */
mt_speed_figures_t mt_engine_speed_figures (const mt_engine_speed_t *speed,
                                            mt_ms_t now);

/*
** The slowness to be used: the owner's, received `elapsed` ms ago, while its
** measurements are recent; else `own`, which the router measured alone.
*/
double mt_speed_slowness (const mt_speed_figures_t *figures, mt_ms_t elapsed,
                          double own);

/* The figures of gaps, received `elapsed` ms ago, while their measurements
   are recent; else unknown ones. */
mt_gap_figures_t mt_speed_gaps (const mt_speed_figures_t *figures,
                                mt_ms_t elapsed);

#endif
