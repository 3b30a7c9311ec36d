/*
** bbcost.c - benchmarks of cost: overhead, scale, config, failover
*/
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bbload.h"
#include "bbout.h"
#include "mtpolicy.h"

/* {== overhead ========================================================= */

#define TOKENS 40 /* of a measured reply */

/* Time to the first byte of a reply, and from there per token, ms. */
typedef struct timing_t {
  double first, token;
} timing_t;

static timing_t time_request (bb_cluster_t *cluster, const mt_addr_t *at) {
  static const char body[] =
      "{\"model\":\"m1\",\"stream\":true,\"messages\":[{\"role\":\"user\","
      "\"content\":\"tokens=40\"}]}";
  static const char headers[] =
      "Authorization: Bearer key-w1\r\nContent-Type: application/json\r\n";
  uint64_t begun = uv_hrtime();
  bb_request(cluster, at, "POST", "/v1/chat/completions", headers, body,
             NULL);
  uint64_t ended = uv_hrtime();
  timing_t t = {(double)(cluster->first_byte_ns - begun) / 1e6,
                (double)(ended - cluster->first_byte_ns) / 1e6 / TOKENS};
  return t;
}

/* Mean time of one decision of a policy program over 6 targets, us. */
static double policy_decision_us (void) {
  static const char text[] =
      "function place(r, ts) local n = {} for _, t in ipairs(ts) do if "
      "t.speed >= 2 then table.insert(n, t.name) end end return n end\n"
      "function order(r) if r.stream then return 10 end return 0 end";
  enum { DECISIONS = 20000, TARGETS = 6 };
  json_t *doc = json_pack("{s:{s:{s:s,s:[s]}},s:{}}", "pools", "p", "kind",
                          "model", "models", "m", "targets");
  for (int i = 0; i < TARGETS; i++) {
    char name[8];
    snprintf(name, sizeof name, "e%d", i);
    json_object_set_new(json_object_get(doc, "targets"), name,
                        json_pack("{s:s,s:s,s:s,s:i,s:i}", "pool", "p",
                                  "domain", "d", "url", "http://127.0.0.1:1",
                                  "slots", 4, "speed", 1 + i % 4));
  }
  mt_faults_t fs = {.n = 0};
  mt_fault_t fault;
  mt_policy_decision_t choice;
  mt_fleet_t *F = mtF_new(doc, 1, &fs);
  mt_program_t *p = mtP_compile(text, &fault);
  mt_policy_request_t ask = {
      .workspace = "w", .model = {"m", 1}, .stream = true};
  uint64_t begun = uv_hrtime();
  for (int i = 0; i < DECISIONS; i++)
    mtP_decide(p, F, &F->pools[0], &ask, &choice, &fault);
  double us = (double)(uv_hrtime() - begun) / 1e3 / DECISIONS;
  mtP_free(p);
  mtF_free(F);
  json_decref(doc);
  return us;
}

/*
** Memory that a router uses per request while n are open. With few slots most
** of them wait; with n slots all of them are streams.
*/
static double bytes_per_request (const bb_options_t *o, int slots, int n) {
  bb_cluster_spec_t spec = {.domains = 1,
                            .routers = 1,
                            .engines = 1,
                            .slots = slots,
                            .rate = 1,
                            .workspaces = 1};
  bb_cluster_t *cluster = bb_start_cluster(o->bin, &spec);
  bb_load_t *L = bb_start_load(cluster, o->seed);
  bb_flow_t f = {
      .workspace = 1, .router = 0, .concurrency = n, .shorttokens = 4000};
  double before = bb_metric(cluster, 0, "memory_bytes");
  bb_add_flow(L, &f);
  bb_run_loop(cluster, 4000);
  double after = bb_metric(cluster, 0, "memory_bytes");
  double held = bb_metric(cluster, 0, "requests_waiting") +
                bb_metric(cluster, 0, "requests_running");
  bb_stop_cluster(cluster);
  return (after - before) / held;
}

/*
** Pairs of requests, the first directly to the engine and the second through
** the router, so that both see the same load of the machine.
*/
int bb_overhead (const bb_options_t *o) {
  int pairs = o->seconds ? o->seconds * 20 : 300;
  bb_cluster_spec_t spec = {.domains = 1,
                            .routers = 1,
                            .engines = 1,
                            .slots = 64,
                            .rate = 20000,
                            .workspaces = 1};
  bb_cluster_t *cluster = bb_start_cluster(o->bin, &spec);
  double *first = mtV_new((size_t)pairs * sizeof *first);
  double *token = mtV_new((size_t)pairs * sizeof *token);
  for (int i = 0; i < pairs; i++) {
    timing_t direct = time_request(cluster, &cluster->engines[0].addr);
    timing_t routed = time_request(cluster, &cluster->routers[0].callers);
    first[i] = routed.first - direct.first;
    token[i] = routed.token - direct.token;
  }
  /* bb_percentile sorts, so the middle is the median afterwards. */
  double p99 = bb_percentile(first, (size_t)pairs, 0.99);
  bb_print_value("added_first_token_median", first[pairs / 2], "ms");
  bb_print_value("added_first_token_p99", p99, "ms");
  p99 = bb_percentile(token, (size_t)pairs, 0.99);
  bb_print_value("added_per_chunk_median", token[pairs / 2], "ms");
  bb_print_value("added_per_chunk_p99", p99, "ms");
  free(first);
  free(token);
  bb_load_t *L = bb_start_load(cluster, o->seed);
  bb_flow_t f = {.workspace = 1,
                 .router = 0,
                 .concurrency = 48,
                 .shorttokens = 1,
                 .unstreamed = true};
  static bb_control_cost_t c0, c1;
  bb_add_flow(L, &f);
  bb_run_loop(cluster, 1000);
  bb_read_control_cost(cluster, &c0);
  uint64_t before = bb_flow_stats(L, 0)->completed;
  bb_run_loop(cluster, 4000);
  bb_read_control_cost(cluster, &c1);
  bb_control_rates(cluster, &c0, &c1);
  double rate = (double)(bb_flow_stats(L, 0)->completed - before) / 4.0;
  bb_print_value("requests_per_second", rate, "1/s");
  bb_print_value("requests_per_core_second", rate / c1.mean_cores, "1/s");
  bb_stop_cluster(cluster);
  bb_print_value("policy_decision", policy_decision_us(), "us");
  bb_print_value("bytes_per_waiting", bytes_per_request(o, 1, 2000), "bytes");
  bb_print_value("bytes_per_stream", bytes_per_request(o, 1000, 1000),
                 "bytes");
  bb_print_summary(o);
  return 0;
}

/* }== */

/* {== scale ============================================================ */

/* A size of the cluster. */
typedef struct point_t {
  int routers, domains, workspaces, engines, pools;
  double rate; /* requests per second per router */
} point_t;

static void measure_point (const bb_options_t *o, const char *axis,
                           const point_t *p, bb_control_cost_t *out) {
  static bb_control_cost_t before;
  bb_cluster_spec_t spec = {.domains = p->domains,
                            .routers = p->routers,
                            .engines = p->engines,
                            .slots = 4,
                            .rate = 400};
  spec.workspaces = p->workspaces;
  spec.pools = p->pools;
  spec.engineprocs = 2;
  bb_cluster_t *cluster = bb_start_cluster(o->bin, &spec);
  bb_load_t *L = bb_start_load(cluster, o->seed);
  /* A tenth of the workspaces, 3 to 60, send requests, over all pools. */
  int active = mt_min(mt_max(p->workspaces / 10, 3), 60);
  static char models[128][16];
  for (int i = 0; i < active && p->rate > 0; i++) {
    snprintf(models[i], sizeof models[i], "m%d", i % p->pools + 1);
    bb_flow_t f = {.workspace = i + 1,
                   .router = -1,
                   .rate = p->rate * p->routers / active,
                   .shorttokens = 4};
    f.model = models[i];
    f.unstreamed = true;
    bb_add_flow(L, &f);
  }
  bb_run_loop(cluster, 4000);
  bb_read_control_cost(cluster, &before);
  bb_run_loop(cluster, 6000);
  bb_read_control_cost(cluster, out);
  bb_control_rates(cluster, &before, out);
  char name[96];
  snprintf(name, sizeof name, "%s_%d_%d_%d_%g", axis, p->routers,
           p->workspaces, p->engines, p->rate);
  printf(
      "%-32s bytes/s mean %8.0f most %8.0f  messages/s %7.1f  core %6.4f  memory %5.1f MB\n",
      name, out->mean_bytes, out->max_bytes, out->mean_messages,
      out->mean_cores, out->max_memory / 1e6);
  fflush(stdout);
  bb_stop_cluster(cluster);
}

/* Least squares of y = a + b x; returns the residual's root mean square. */
static double fit (const double *x, const double *y, int n, double *a,
                   double *b) {
  double sx = 0, sy = 0, sxx = 0, sxy = 0, ss = 0;
  for (int i = 0; i < n; i++) {
    sx += x[i];
    sy += y[i];
    sxx += x[i] * x[i];
    sxy += x[i] * y[i];
  }
  double d = n * sxx - sx * sx;
  *b = d != 0 ? (n * sxy - sx * sy) / d : 0;
  *a = (sy - *b * sx) / n;
  for (int i = 0; i < n; i++) ss += pow(y[i] - *a - *b * x[i], 2);
  return sqrt(ss / n);
}

/* Points that differ in one dimension, given by the name's first letter. */
typedef struct axis_t {
  const char *name;
  point_t points[6];
  int n;
  double target; /* coordinate of the planned size */
} axis_t;

static double coordinate (const axis_t *a, int i) {
  const point_t *p = &a->points[i];
  switch (a->name[0]) {
    case 'n': return p->routers;
    case 'd': return p->domains;
    case 'w': return p->workspaces;
    case 'e': return p->engines;
    default: return p->rate;
  }
}

/* Increase per unit of one axis: bytes/s, cores, bytes. */
typedef struct slopes_t {
  double bytes, core, max_memory;
} slopes_t;

/*
** Extrapolates the point that all axes share (12 routers in 4 domains, 50
** workspaces, 24 engines, 2 requests per second per router) along each axis
** to the planned size: 370 routers in 20 domains, 2,500 workspaces and
** engines, 2,000 requests per second.
*/
static void extrapolate (const bb_control_cost_t *base, const slopes_t *s) {
  static const double steps[] = {18.5 - 3, 20 - 4, 2500 - 50, 2500 - 24,
                                 5.4 - 2};
  double bytes = base->mean_bytes, core = base->mean_cores,
         max_memory = base->max_memory;
  for (size_t k = 0; k < mt_countof(steps); k++) {
    bytes += s[k].bytes * steps[k];
    core += s[k].core * steps[k];
    max_memory += s[k].max_memory * steps[k];
  }
  bb_print_value("control_bytes_370", bytes, "bytes/s");
  bb_print_value("control_core_370", core, "share");
  bb_print_value("control_memory_370", max_memory, "bytes");
}

/* Fits a line to one quantity along an axis, prints it, returns its slope. */
static double fit_axis (const axis_t *x, const char *what, const double *xs,
                        const double *ys) {
  double a, b, rms = fit(xs, ys, x->n, &a, &b);
  printf("fit %-20s %-8s = %.6g + %.6g x (rms %.3g), at %g: %.6g\n", x->name,
         what, a, b, rms, x->target, a + b * x->target);
  fflush(stdout);
  return b;
}

int bb_scale (const bb_options_t *o) {
  static bb_control_cost_t base;
  slopes_t slopes[5] = {{0}};
  static const axis_t axes[] = {
      {"nodes_in_a_domain",
       {{3, 1, 50, 24, 2, 2},
        {6, 1, 50, 24, 2, 2},
        {12, 1, 50, 24, 2, 2},
        {18, 1, 50, 24, 2, 2}},
       4,
       18.5},
      {"domains",
       {{6, 2, 50, 24, 2, 2},
        {12, 4, 50, 24, 2, 2},
        {24, 8, 50, 24, 2, 2},
        {48, 16, 50, 24, 2, 2},
        {60, 20, 50, 24, 2, 2}},
       5,
       20},
      {"workspaces",
       {{12, 4, 10, 24, 2, 2},
        {12, 4, 100, 24, 2, 2},
        {12, 4, 600, 24, 2, 2},
        {12, 4, 2500, 24, 2, 2}},
       4,
       2500},
      {"engines",
       {{12, 4, 50, 18, 4, 2},
        {12, 4, 50, 100, 4, 2},
        {12, 4, 50, 400, 4, 2},
        {12, 4, 50, 1000, 4, 2},
        {12, 4, 50, 2500, 4, 2}},
       5,
       2500},
      {"requests",
       {{12, 4, 50, 24, 2, 0},
        {12, 4, 50, 24, 2, 2},
        {12, 4, 50, 24, 2, 5},
        {12, 4, 50, 24, 2, 10},
        {12, 4, 50, 24, 2, 20}},
       5,
       5.4},
  };
  for (size_t k = 0; k < mt_countof(axes); k++) {
    const axis_t *x = &axes[k];
    double xs[6], bytes[6], core[6], max_memory[6];
    if (o->only != NULL && strcmp(o->only, x->name) != 0) continue;
    for (int i = 0; i < x->n; i++) {
      static bb_control_cost_t c;
      measure_point(o, x->name, &x->points[i], &c);
      bool shared = x->name[0] == 'r' && x->points[i].rate == 2;
      if (shared) base = c;
      xs[i] = coordinate(x, i);
      bytes[i] = c.mean_bytes;
      core[i] = c.mean_cores;
      max_memory[i] = c.max_memory;
    }
    slopes[k].bytes = fit_axis(x, "bytes/s", xs, bytes);
    slopes[k].core = fit_axis(x, "core", xs, core);
    slopes[k].max_memory = fit_axis(x, "memory", xs, max_memory);
  }
  if (o->only == NULL) extrapolate(&base, slopes);
  bb_print_summary(o);
  return 0;
}

/* }== */

/* {== config =========================================================== */

/* Requests that the store has received. */
static double store_requests (bb_cluster_t *cluster) {
  json_t *c = bb_get_json(cluster, &cluster->store, "/counts");
  double n = (double)(mtJ_int(c, "reads", 0) + mtJ_int(c, "writes", 0) +
                      mtJ_int(c, "watches", 0));
  json_decref(c);
  return n;
}

/* Seconds from publishing a policy until every router has applied it. */
static double time_to_apply (bb_cluster_t *cluster, int64_t revision) {
  char file[300], name[32], *out;
  snprintf(file, sizeof file, "%s/p.lua", cluster->dir);
  FILE *f = fopen(file, "w");
  fprintf(f, "function order(r) return 1 end\n");
  fclose(f);
  snprintf(name, sizeof name, "x%lld", (long long)revision);
  const char *args[] = {"policy", "publish", name, file, NULL};
  if (bb_cli(cluster, args, &out) != 0) printf("%s", out);
  free(out);
  uint64_t begun = uv_hrtime();
  for (size_t i = 0; i < cluster->nrouters;) {
    if (bb_metric(cluster, i, "config_revision") >= (double)revision)
      i++;
    else
      bb_run_loop(cluster, 10);
  }
  return (double)(uv_hrtime() - begun) / 1e9;
}

int bb_config (const bb_options_t *o) {
  static const int sizes[][2] = {{8, 4}, {24, 8}, {60, 20}};
  for (size_t k = 0; k < mt_countof(sizes); k++) {
    bb_cluster_spec_t spec = {.domains = sizes[k][1],
                              .routers = sizes[k][0],
                              .engines = 24,
                              .slots = 4,
                              .rate = 100};
    spec.workspaces = 2500;
    bb_cluster_t *cluster = bb_start_cluster(o->bin, &spec);
    double took[8];
    char name[64];
    for (int i = 0; i < 8; i++) took[i] = time_to_apply(cluster, i + 2);
    double before = store_requests(cluster);
    bb_run_loop(cluster, 10000);
    double calls = (store_requests(cluster) - before) / 10;
    snprintf(name, sizeof name, "in_force_most_%d", sizes[k][0]);
    bb_print_value(name, bb_percentile(took, 8, 1), "s");
    snprintf(name, sizeof name, "in_force_median_%d", sizes[k][0]);
    bb_print_value(name, took[4], "s");
    snprintf(name, sizeof name, "store_calls_quiet_%d", sizes[k][0]);
    bb_print_value(name, calls, "calls/s");
    bb_stop_cluster(cluster);
  }
  bb_print_summary(o);
  return 0;
}

/* }== */

/* {== failover ========================================================= */

/*
** Seconds until requests are granted again after the scheduler's router was
** killed; 20 when that takes longer. Counts replies and first bytes.
*/
static double time_to_regrant (bb_cluster_t *cluster, bb_load_t *L,
                               int flow) {
  uint64_t begun = uv_hrtime();
  uint64_t before =
      bb_flow_stats(L, flow)->completed + bb_flow_stats(L, flow)->nfirst_byte;
  while (uv_hrtime() - begun < 20000000000ull) {
    bb_run_loop(cluster, 20);
    uint64_t firsts = bb_flow_stats(L, flow)->completed +
                      bb_flow_stats(L, flow)->nfirst_byte;
    /* Requests that were granted before the kill still complete; wait for
     * more than those. */
    if (firsts > before + 60) return (double)(uv_hrtime() - begun) / 1e9;
  }
  return 20;
}

/* The router whose status lists it as the scheduler of domain d0; or 0. */
static size_t find_scheduler (bb_cluster_t *cluster) {
  for (size_t i = 0; i < cluster->nrouters; i++) {
    json_t *s =
        bb_get_json(cluster, &cluster->routers[i].operators, "/status");
    size_t j;
    json_t *g;
    bool leads = false;
    json_array_foreach (json_object_get(s, "schedulers"), j, g) {
      leads |= strcmp(mtJ_str(g, "domain", ""), "d0") == 0 &&
               strcmp(mtJ_str(g, "pool", ""), "p1") == 0;
    }
    json_decref(s);
    if (leads) return i;
  }
  return 0;
}

int bb_failover (const bb_options_t *o) {
  int n = o->repeat > 1 ? o->repeat : 5;
  bb_options_t oo = *o;
  oo.repeat = n;
  for (int k = 0; k < n; k++) {
    bb_cluster_spec_t spec = {.domains = 1,
                              .routers = 4,
                              .engines = 6,
                              .slots = 4,
                              .rate = 300,
                              .workspaces = 2};
    spec.service = true;
    bb_cluster_t *cluster = bb_start_cluster(o->bin, &spec);
    bb_load_t *L = bb_start_load(cluster, o->seed + (uint64_t)k);
    size_t lead = find_scheduler(cluster);
    size_t other = (lead + 1) % cluster->nrouters;
    bb_flow_t f = {.workspace = 1,
                   .router = (int)other,
                   .concurrency = 60,
                   .shorttokens = 20};
    int flow = bb_add_flow(L, &f);
    bb_run_loop(cluster, 1500);
    bb_end_proc(cluster->routers[lead].proc, SIGKILL);
    bb_print_value("regrant_seconds", time_to_regrant(cluster, L, flow), "s");
    bb_stop_flow(L, flow);
    bb_wait_idle(L, 30000);
    const bb_flow_stats_t *s = bb_flow_stats(L, flow);
    bb_print_value("lost", (double)(s->asked - s->completed), "requests");
    bb_print_value("doubled", (double)s->tokens - 20.0 * (double)s->completed,
                   "tokens too many");
    bb_stop_cluster(cluster);
  }
  bb_print_summary(&oo);
  return 0;
}

/* }== */
