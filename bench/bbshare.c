/*
** bbshare.c - benchmarks of sharing: fair, share, flood, use, wake, skew
**
** Service is measured by what callers received and utilization by what the
** engines did; neither relies on the routers' own metrics.
*/
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bbload.h"
#include "bbout.h"

#define SAMPLE_MS 50
#define WARMUP_MS 8000
#define SHORT_TOKENS 4
#define LONG_TOKENS 400
#define LONG_PCT 10
#define TOKENS_PER_S 150 /* of a lone stream on an engine of speed 1 */
#define SLOTS 8
#define ENGINES 22
#define LARGE_CONCURRENCY 236 /* requests in flight of a large workspace */
#define BACKLOGGED_MAX 8      /* workspaces whose gap is measured */

/*
** A cluster that a workload is run on. `sharing` is the routers' setting:
** fleet, or a baseline. In alone and fifo every router decides for itself,
** in fifo in order of arrival; in pinned a session never leaves its target.
*/
typedef struct setup_t {
  const char *name, *sharing;
  int routers, domains;
} setup_t;

static const setup_t setups[] = {{"ideal", "fleet", 1, 4},
                                 {"fleet", "fleet", 8, 4},
                                 {"alone", "alone", 8, 4},
                                 {"fifo", "fifo", 8, 4},
                                 {"pinned", "pinned", 8, 4}};
#define NFAIRNESS_SETUPS 4 /* the first of them are compared for fairness */

/* {== Gap ============================================================== */

/*
** The fairness gap: over all intervals, the largest difference between the
** service per share, in tokens, of two workspaces that stay backlogged. That
** is the range of the running difference, kept for each pair.
*/
typedef struct gap_t {
  int flows[BACKLOGGED_MAX], shares[BACKLOGGED_MAX], n;
  double low[BACKLOGGED_MAX][BACKLOGGED_MAX];
  double high[BACKLOGGED_MAX][BACKLOGGED_MAX];
} gap_t;

static double weighted_service (const gap_t *g, bb_load_t *L, int i) {
  return (double)bb_flow_stats(L, g->flows[i])->tokens / g->shares[i];
}

static void start_gap (gap_t *g, bb_load_t *L) {
  for (int i = 0; i < g->n; i++)
    for (int j = 0; j < i; j++)
      g->low[i][j] = g->high[i][j] =
          weighted_service(g, L, i) - weighted_service(g, L, j);
}

static void sample_gap (gap_t *g, bb_load_t *L) {
  for (int i = 0; i < g->n; i++) {
    for (int j = 0; j < i; j++) {
      double d = weighted_service(g, L, i) - weighted_service(g, L, j);
      g->low[i][j] = mt_min(g->low[i][j], d);
      g->high[i][j] = mt_max(g->high[i][j], d);
    }
  }
}

static double max_gap (const gap_t *g) {
  double widest = 0;
  for (int i = 0; i < g->n; i++)
    for (int j = 0; j < i; j++)
      widest = mt_max(widest, g->high[i][j] - g->low[i][j]);
  return widest;
}

/* Runs for `ms` and samples the gap every SAMPLE_MS. */
static void measure_gap (bb_cluster_t *cluster, bb_load_t *L, gap_t *g,
                         int ms) {
  start_gap(g, L);
  for (; ms > 0; ms -= SAMPLE_MS) {
    bb_run_loop(cluster, SAMPLE_MS);
    sample_gap(g, L);
  }
}

/*
** The bound on the gap that docs/DESIGN.md states, in tokens, for these
** workloads: `largest` request, requests `inflight`, and `age`, s, of the
** service counts of other routers. `rate` is in tokens per second.
*/
static double gap_bound (double rate) {
  double largest = LONG_TOKENS, inflight = (double)ENGINES * SLOTS, age = 0.2;
  return 2 * (largest + largest * sqrt(inflight) + rate * age);
}

/* }== */

/* {== fair and share =================================================== */

typedef struct result_t {
  double gap, utilization, rate;
  uint64_t rejected;
  bb_control_cost_t control;
} result_t;

/*
** Three large workspaces that stay backlogged, each sending to one router
** (two of them to the same), and seven small ones that send to all routers at
** a moderate rate: together about 1.5 times the capacity of the engines.
*/
static result_t run_fairness (const bb_options_t *o, const setup_t *t,
                              uint64_t seed, const int *shares) {
  bb_cluster_spec_t spec = {.domains = t->domains,
                            .routers = t->routers,
                            .engines = ENGINES,
                            .slots = SLOTS,
                            .rate = TOKENS_PER_S};
  spec.workspaces = 10;
  spec.engineprocs = 2;
  spec.sharing = t->sharing;
  spec.shares = shares;
  bb_cluster_t *cluster = bb_start_cluster(o->bin, &spec);
  bb_load_t *L = bb_start_load(cluster, seed);
  gap_t g = {.n = 3};
  for (int i = 0; i < 10; i++) {
    bb_flow_t f = {.workspace = i + 1,
                   .shorttokens = SHORT_TOKENS,
                   .longtokens = LONG_TOKENS,
                   .longpct = LONG_PCT};
    bool large = i < 3;
    f.router = large ? i / 2 * 5 % t->routers : -1;
    f.concurrency = large ? LARGE_CONCURRENCY : 0;
    f.rate = large ? 0 : 4;
    int n = bb_add_flow(L, &f);
    if (!large) continue;
    g.flows[i] = n;
    g.shares[i] = shares ? shares[i] : 1;
  }
  bb_run_loop(cluster, WARMUP_MS);
  static bb_control_cost_t before;
  result_t r = {0};
  bb_read_control_cost(cluster, &before);
  bb_engine_totals_t e0 = bb_engine_totals(cluster);
  measure_gap(cluster, L, &g, (o->seconds ? o->seconds : 15) * 1000);
  bb_engine_totals_t e1 = bb_engine_totals(cluster);
  bb_read_control_cost(cluster, &r.control);
  bb_control_rates(cluster, &before, &r.control);
  r.gap = max_gap(&g);
  r.utilization = bb_engine_utilization(&e0, &e1);
  r.rate = (e1.tokens - e0.tokens) * 1e9 / (double)(e1.at - e0.at);
  for (int i = 0; i < 10; i++)
    r.rejected += bb_flow_stats(L, i)->rejected + bb_flow_stats(L, i)->failed;
  bb_stop_cluster(cluster);
  return r;
}

static void print_setup_value (const char *setup, const char *what,
                               double value, const char *unit) {
  char name[64];
  snprintf(name, sizeof name, "%s_%s", setup, what);
  bb_print_value(name, value, unit);
}

static void print_result (const setup_t *t, const result_t *r) {
  print_setup_value(t->name, "gap", r->gap, "tokens");
  print_setup_value(t->name, "use", r->utilization, "share");
  print_setup_value(t->name, "rate", r->rate, "tokens/s");
  print_setup_value(t->name, "refused", (double)r->rejected, "requests");
  print_setup_value(t->name, "control_mean", r->control.mean_bytes,
                    "bytes/s");
  print_setup_value(t->name, "control_most", r->control.max_bytes, "bytes/s");
  print_setup_value(t->name, "core", r->control.mean_cores, "share");
}

static int run_fairness_setups (const bb_options_t *o, const int *shares,
                                size_t nsetups) {
  for (int k = 0; k < o->repeat; k++) {
    static result_t r[mt_countof(setups)];
    for (size_t i = 0; i < nsetups; i++) {
      if (o->only != NULL && strcmp(o->only, setups[i].name) != 0) continue;
      r[i] = run_fairness(o, &setups[i], o->seed + (uint64_t)k, shares);
      print_result(&setups[i], &r[i]);
    }
    if (o->only != NULL) continue;
    bb_print_value("gap_vs_one_router", r[1].gap / r[0].gap, "ratio");
    bb_print_value("gap_vs_bound", r[1].gap / gap_bound(r[1].rate), "ratio");
    bb_print_value("engine_use", r[1].utilization, "share");
    bb_print_value("engine_use_vs_one_router",
                   r[1].utilization / r[0].utilization, "ratio");
    if (nsetups < 3) continue;
    bb_print_value("gap_vs_no_exchange", r[1].gap / r[2].gap, "ratio");
    bb_print_value("gap_vs_fifo", r[1].gap / r[3].gap, "ratio");
  }
  bb_print_summary(o);
  return 0;
}

int bb_fair (const bb_options_t *o) {
  return run_fairness_setups(o, NULL, NFAIRNESS_SETUPS);
}

int bb_share (const bb_options_t *o) {
  static const int shares[] = {1, 2, 4, 1, 1, 1, 1, 1, 1, 1};
  return run_fairness_setups(o, shares, 2);
}

/* }== */

/* {== flood ============================================================ */

/*
** Five small workspaces beside one with `big` requests in flight: none, just
** enough to fill the engines, or a flood. Returns the 95th percentile of the
** small ones' times to the first byte, ms.
*/
static double run_flood (const bb_options_t *o, int big, uint64_t seed,
                         bb_flow_stats_t *flooder) {
  bb_cluster_spec_t spec = {.domains = 4,
                            .routers = 8,
                            .engines = ENGINES,
                            .slots = SLOTS,
                            .rate = TOKENS_PER_S,
                            .workspaces = 6};
  spec.engineprocs = 2;
  bb_cluster_t *cluster = bb_start_cluster(o->bin, &spec);
  bb_load_t *L = bb_start_load(cluster, seed);
  double *first_byte_ms = NULL;
  size_t n = 0, cap = 0;
  for (int i = 0; i < 5; i++) {
    bb_flow_t f = {.workspace = i + 1,
                   .router = -1,
                   .rate = 25,
                   .shorttokens = 10,
                   .longtokens = 200,
                   .longpct = 10};
    bb_add_flow(L, &f);
  }
  bb_flow_t large = {.workspace = 6,
                     .router = 0,
                     .concurrency = big,
                     .shorttokens = 10,
                     .longtokens = 200,
                     .longpct = 10};
  bb_run_loop(cluster, 2000);
  if (big > 0) bb_add_flow(L, &large);
  bb_run_loop(cluster, 6000);
  for (int i = 0; i < 5; i++) bb_flow_stats(L, i)->nfirst_byte = 0;
  bb_run_loop(cluster, (unsigned)(o->seconds ? o->seconds : 10) * 1000);
  for (int i = 0; i < 5; i++)
    for (size_t j = 0; j < bb_flow_stats(L, i)->nfirst_byte; j++)
      *mtV_push(first_byte_ms, n, cap) =
          bb_flow_stats(L, i)->first_byte_ms[j];
  if (big > 0) *flooder = *bb_flow_stats(L, 5);
  double p95 = bb_percentile(first_byte_ms, n, 0.95);
  free(first_byte_ms);
  bb_stop_cluster(cluster);
  return p95;
}

int bb_flood (const bb_options_t *o) {
  for (int k = 0; k < o->repeat; k++) {
    bb_flow_stats_t flooder = {0};
    uint64_t seed = o->seed + (uint64_t)k;
    double idle = run_flood(o, 0, seed, &flooder);
    double busy = run_flood(o, ENGINES * SLOTS, seed, &flooder);
    double flooded = run_flood(o, 3000, seed, &flooder);
    bb_print_value("small_wait_p95_idle", idle, "ms");
    bb_print_value("small_wait_p95_busy", busy, "ms");
    bb_print_value("small_wait_p95_flood", flooded, "ms");
    bb_print_value("small_wait_p95_ratio", flooded / busy, "ratio");
    bb_print_value("small_wait_p95_ratio_idle", flooded / idle, "ratio");
    bb_print_value("flooder_answered", (double)flooder.completed, "requests");
  }
  bb_print_summary(o);
  return 0;
}

/* }== */

/* {== use ============================================================== */

/*
** Bursts on an idle cluster with engines of speeds 1, 2 and 4. Utilization is
** measured over 2 s, 300 ms after the start of a burst, while more requests
** wait than there are slots. Returns its mean over the bursts; `hits` gets
** the hit fraction of the prefix caches.
*/
static double run_bursts (const bb_options_t *o, const setup_t *t,
                          int sessions, uint64_t seed, double *hits) {
  bb_cluster_spec_t spec = {.domains = t->domains,
                            .routers = t->routers,
                            .engines = ENGINES,
                            .slots = SLOTS,
                            .rate = 100};
  spec.workspaces = 4;
  spec.engineprocs = 2;
  spec.speeds = "1,2,4";
  spec.sharing = t->sharing;
  spec.cache = 24;
  bb_cluster_t *cluster = bb_start_cluster(o->bin, &spec);
  bb_load_t *L = bb_start_load(cluster, seed);
  double utilization = 0;
  int bursts = o->seconds ? o->seconds / 3 + 1 : 4;
  bb_engine_totals_t first = bb_engine_totals(cluster);
  for (int b = 0; b < bursts; b++) {
    int flows[4];
    for (int i = 0; i < 4; i++) {
      bb_flow_t f = {.workspace = i + 1,
                     .router = i * 2 % t->routers,
                     .concurrency = 150,
                     .sessions = sessions};
      f.shorttokens = 40;
      f.longtokens = 160;
      f.longpct = 20;
      flows[i] = bb_add_flow(L, &f);
    }
    bb_run_loop(cluster, 300);
    bb_engine_totals_t e0 = bb_engine_totals(cluster);
    bb_run_loop(cluster, 2000);
    bb_engine_totals_t e1 = bb_engine_totals(cluster);
    utilization += bb_engine_utilization(&e0, &e1) / bursts;
    for (int i = 0; i < 4; i++) bb_stop_flow(L, flows[i]);
    bb_wait_idle(L, 30000);
    bb_run_loop(cluster, 300);
  }
  bb_engine_totals_t last = bb_engine_totals(cluster);
  double asked = last.hits + last.misses - first.hits - first.misses;
  *hits = asked > 0 ? (last.hits - first.hits) / asked : 0;
  bb_stop_cluster(cluster);
  return utilization;
}

int bb_utilization (const bb_options_t *o) {
  for (int k = 0; k < o->repeat; k++) {
    uint64_t seed = o->seed + (uint64_t)k;
    double none, hits, pinnedhits;
    if (o->only != NULL) {
      double u = run_bursts(o, &setups[1], 100, seed, &hits);
      bb_print_value("engine_use_sessions", u, "share");
      bb_print_value("prefix_hits", hits, "share");
      continue;
    }
    double pinneduse = run_bursts(o, &setups[4], 100, seed, &pinnedhits);
    double ideal = run_bursts(o, &setups[0], 0, seed, &none);
    double fleet = run_bursts(o, &setups[1], 0, seed, &none);
    double alone = run_bursts(o, &setups[2], 0, seed, &none);
    double sess = run_bursts(o, &setups[1], 100, seed, &hits);
    bb_print_value("ideal_use", ideal, "share");
    bb_print_value("alone_use", alone, "share");
    bb_print_value("engine_use", fleet, "share");
    bb_print_value("engine_use_sessions", sess, "share");
    bb_print_value("engine_use_vs_one_router", fleet / ideal, "ratio");
    bb_print_value("prefix_hits", hits, "share");
    bb_print_value("pinned_use", pinneduse, "share");
    bb_print_value("pinned_hits", pinnedhits, "share");
    bb_print_value("prefix_hits_vs_pinned", hits / pinnedhits, "ratio");
  }
  bb_print_summary(o);
  return 0;
}

/* }== */

/* {== wake and skew ==================================================== */

/* The cluster of both benchmarks. */
static bb_cluster_t *start_eight_routers (const bb_options_t *o,
                                          int workspaces) {
  bb_cluster_spec_t spec = {.domains = 4,
                            .routers = 8,
                            .engines = ENGINES,
                            .slots = SLOTS,
                            .rate = TOKENS_PER_S,
                            .workspaces = workspaces};
  spec.engineprocs = 2;
  return bb_start_cluster(o->bin, &spec);
}

/* An idle workspace starts to send beside one that was served all along. */
int bb_idle_return (const bb_options_t *o) {
  for (int k = 0; k < o->repeat; k++) {
    bb_cluster_t *cluster = start_eight_routers(o, 2);
    bb_load_t *L = bb_start_load(cluster, o->seed + (uint64_t)k);
    bb_flow_t f = {.workspace = 1,
                   .router = 0,
                   .concurrency = LARGE_CONCURRENCY,
                   .shorttokens = SHORT_TOKENS};
    f.longtokens = LONG_TOKENS;
    f.longpct = LONG_PCT;
    gap_t g = {.n = 2, .shares = {1, 1}};
    g.flows[0] = bb_add_flow(L, &f);
    bb_run_loop(cluster, 10000);
    f.workspace = 2;
    f.router = 5;
    g.flows[1] = bb_add_flow(L, &f);
    int64_t before = bb_flow_stats(L, g.flows[0])->tokens;
    bb_run_loop(cluster, WARMUP_MS);
    int64_t mid = bb_flow_stats(L, g.flows[0])->tokens - before;
    int64_t fresh = bb_flow_stats(L, g.flows[1])->tokens;
    measure_gap(cluster, L, &g, 10000);
    bb_print_value("wake_old_during", (double)mid, "tokens");
    bb_print_value("wake_new_during", (double)fresh, "tokens");
    bb_print_value("wake_gap", max_gap(&g), "tokens");
    bb_stop_cluster(cluster);
  }
  bb_print_summary(o);
  return 0;
}

/* All requests arrive at one router; engines of all domains should be busy.
 */
int bb_skew (const bb_options_t *o) {
  for (int k = 0; k < o->repeat; k++) {
    bb_cluster_t *cluster = start_eight_routers(o, 3);
    bb_load_t *L = bb_start_load(cluster, o->seed + (uint64_t)k);
    gap_t g = {.n = 3, .shares = {1, 1, 1}};
    for (int i = 0; i < 3; i++) {
      bb_flow_t f = {.workspace = i + 1,
                     .router = 3,
                     .concurrency = LARGE_CONCURRENCY,
                     .shorttokens = SHORT_TOKENS};
      f.longtokens = LONG_TOKENS;
      f.longpct = LONG_PCT;
      g.flows[i] = bb_add_flow(L, &f);
    }
    bb_run_loop(cluster, WARMUP_MS);
    bb_engine_totals_t e0 = bb_engine_totals(cluster);
    measure_gap(cluster, L, &g, 10000);
    bb_engine_totals_t e1 = bb_engine_totals(cluster);
    bb_print_value("skew_use", bb_engine_utilization(&e0, &e1), "share");
    bb_print_value("skew_gap", max_gap(&g), "tokens");
    bb_stop_cluster(cluster);
  }
  bb_print_summary(o);
  return 0;
}

/* }== */
