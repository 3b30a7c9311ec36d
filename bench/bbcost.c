/*
** bbcost.c - runs that measure cost: overhead, scale, failover
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

#define TOKENS 40 /* of a measured call */

/* Time to the first token, and from there per token, of one call. */
typedef struct timing_t {
  double first, token;
} timing_t;

static timing_t timecall (bb_lab_t *lab, const mt_addr_t *at) {
  static const char body[] =
      "{\"model\":\"m1\",\"stream\":true,\"messages\":[{\"role\":\"user\","
      "\"content\":\"tokens=40\"}]}";
  static const char headers[] =
      "Authorization: Bearer key-w1\r\nContent-Type: application/json\r\n";
  uint64_t begun = uv_hrtime();
  bb_call(lab, at, "POST", "/v1/chat/completions", headers, body, NULL);
  uint64_t ended = uv_hrtime();
  timing_t t = {(double)(lab->firstbyte - begun) / 1e6,
                (double)(ended - lab->firstbyte) / 1e6 / TOKENS};
  return t;
}

/* Microseconds of one decision of a policy program, on 6 targets. */
static double decisioncost (void) {
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

/* Bytes that one router holds more for each of n requests of a flow. */
static double heldbytes (const bb_options_t *o, int slots, int n) {
  bb_spec_t spec = {.domains = 1,
                    .routers = 1,
                    .engines = 1,
                    .slots = slots,
                    .rate = 1,
                    .workspaces = 1};
  bb_lab_t *lab = bb_start(o->bin, &spec);
  bb_load_t *L = bb_load(lab, o->seed);
  bb_flow_t f = {
      .workspace = 1, .router = 0, .concurrency = n, .shorttokens = 4000};
  double before = bb_metric(lab, 0, "memory_bytes");
  bb_flow(L, &f);
  bb_run(lab, 4000);
  double after = bb_metric(lab, 0, "memory_bytes");
  double held = bb_metric(lab, 0, "requests_waiting") +
                bb_metric(lab, 0, "requests_running");
  bb_stop(lab);
  return (after - before) / held;
}

/* Paired: one call to the engine, one through the router, in turn. */
int bb_overhead (const bb_options_t *o) {
  int pairs = o->seconds ? o->seconds * 20 : 300;
  bb_spec_t spec = {.domains = 1,
                    .routers = 1,
                    .engines = 1,
                    .slots = 64,
                    .rate = 20000,
                    .workspaces = 1};
  bb_lab_t *lab = bb_start(o->bin, &spec);
  double *first = mtV_new((size_t)pairs * sizeof *first);
  double *token = mtV_new((size_t)pairs * sizeof *token);
  for (int i = 0; i < pairs; i++) {
    timing_t direct = timecall(lab, &lab->engines[0].addr);
    timing_t routed = timecall(lab, &lab->routers[0].callers);
    first[i] = routed.first - direct.first;
    token[i] = routed.token - direct.token;
  }
  double p99 = bb_percentile(first, (size_t)pairs, 0.99);
  bb_line("added_first_token_median", first[pairs / 2], "ms");
  bb_line("added_first_token_p99", p99, "ms");
  p99 = bb_percentile(token, (size_t)pairs, 0.99);
  bb_line("added_per_chunk_median", token[pairs / 2], "ms");
  bb_line("added_per_chunk_p99", p99, "ms");
  free(first);
  free(token);
  bb_load_t *L = bb_load(lab, o->seed);
  bb_flow_t f = {.workspace = 1,
                 .router = 0,
                 .concurrency = 48,
                 .shorttokens = 1,
                 .whole = true};
  static bb_control_t c0, c1;
  bb_flow(L, &f);
  bb_run(lab, 1000);
  bb_control(lab, &c0);
  uint64_t before = bb_seen(L, 0)->answered;
  bb_run(lab, 4000);
  bb_control(lab, &c1);
  bb_rates(lab, &c0, &c1);
  double rate = (double)(bb_seen(L, 0)->answered - before) / 4.0;
  bb_line("requests_per_second", rate, "1/s");
  bb_line("requests_per_core_second", rate / c1.meancore, "1/s");
  bb_stop(lab);
  bb_line("policy_decision", decisioncost(), "us");
  bb_line("bytes_per_waiting", heldbytes(o, 1, 2000), "bytes");
  bb_line("bytes_per_stream", heldbytes(o, 1000, 1000), "bytes");
  bb_summary(o);
  return 0;
}

/* }== */

/* {== scale ============================================================ */

typedef struct point_t {
  int routers, domains, workspaces, engines, pools;
  double rate; /* requests per second per router */
} point_t;

static void scalepoint (const bb_options_t *o, const char *axis,
                        const point_t *p, bb_control_t *out) {
  static bb_control_t before;
  bb_spec_t spec = {.domains = p->domains,
                    .routers = p->routers,
                    .engines = p->engines,
                    .slots = 4,
                    .rate = 400};
  spec.workspaces = p->workspaces;
  spec.pools = p->pools;
  spec.engineprocs = 2;
  bb_lab_t *lab = bb_start(o->bin, &spec);
  bb_load_t *L = bb_load(lab, o->seed);
  /* A tenth of the workspaces have work, spread over the pools. */
  int active = mt_min(mt_max(p->workspaces / 10, 3), 60);
  static char models[128][16];
  for (int i = 0; i < active && p->rate > 0; i++) {
    snprintf(models[i], sizeof models[i], "m%d", i % p->pools + 1);
    bb_flow_t f = {.workspace = i + 1,
                   .router = -1,
                   .rate = p->rate * p->routers / active,
                   .shorttokens = 4};
    f.model = models[i];
    f.whole = true;
    bb_flow(L, &f);
  }
  bb_run(lab, 4000);
  bb_control(lab, &before);
  bb_run(lab, 6000);
  bb_control(lab, out);
  bb_rates(lab, &before, out);
  char name[96];
  snprintf(name, sizeof name, "%s_%d_%d_%d_%g", axis, p->routers,
           p->workspaces, p->engines, p->rate);
  printf(
      "%-32s bytes/s mean %8.0f most %8.0f  messages/s %7.1f  core %6.4f  memory %5.1f MB\n",
      name, out->meanbytes, out->mostbytes, out->meanmessages, out->meancore,
      out->memory / 1e6);
  fflush(stdout);
  bb_stop(lab);
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

typedef struct axis_t {
  const char *name;
  point_t points[6];
  int n;
  double target; /* of the axis, at the size in two years */
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

/* Slopes of one axis. */
typedef struct slopes_t {
  double bytes, core, memory;
} slopes_t;

/*
** The point that all axes share, carried along each axis to the size in two
** years: 370 routers in 20 domains, 2,500 workspaces and engines, 2,000
** requests per second.
*/
static void extrapolate (const bb_control_t *base, const slopes_t *s) {
  static const double steps[] = {18.5 - 3, 20 - 4, 2500 - 50, 2500 - 24,
                                 5.4 - 2};
  double bytes = base->meanbytes, core = base->meancore,
         memory = base->memory;
  for (size_t k = 0; k < mt_countof(steps); k++) {
    bytes += s[k].bytes * steps[k];
    core += s[k].core * steps[k];
    memory += s[k].memory * steps[k];
  }
  bb_line("control_bytes_370", bytes, "bytes/s");
  bb_line("control_core_370", core, "share");
  bb_line("control_memory_370", memory, "bytes");
}

/* Fits one measure along an axis, prints the line and returns its slope. */
static double axisfit (const axis_t *x, const char *what, const double *xs,
                       const double *ys) {
  double a, b, rms = fit(xs, ys, x->n, &a, &b);
  printf("fit %-20s %-8s = %.6g + %.6g x (rms %.3g), at %g: %.6g\n", x->name,
         what, a, b, rms, x->target, a + b * x->target);
  fflush(stdout);
  return b;
}

int bb_scale (const bb_options_t *o) {
  static bb_control_t base;
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
    double xs[6], bytes[6], core[6], memory[6];
    if (o->only != NULL && strcmp(o->only, x->name) != 0) continue;
    for (int i = 0; i < x->n; i++) {
      static bb_control_t c;
      scalepoint(o, x->name, &x->points[i], &c);
      bool shared = x->name[0] == 'r' && x->points[i].rate == 2;
      if (shared) base = c;
      xs[i] = coordinate(x, i);
      bytes[i] = c.meanbytes;
      core[i] = c.meancore;
      memory[i] = c.memory;
    }
    slopes[k].bytes = axisfit(x, "bytes/s", xs, bytes);
    slopes[k].core = axisfit(x, "core", xs, core);
    slopes[k].memory = axisfit(x, "memory", xs, memory);
  }
  if (o->only == NULL) extrapolate(&base, slopes);
  bb_summary(o);
  return 0;
}

/* }== */

/* {== config =========================================================== */

/* Calls that the store has counted. */
static double storecalls (bb_lab_t *lab) {
  json_t *c = bb_json(lab, &lab->store, "/counts");
  double n = (double)(mtJ_int(c, "reads", 0) + mtJ_int(c, "writes", 0) +
                      mtJ_int(c, "watches", 0));
  json_decref(c);
  return n;
}

/* Time from the end of a publication until it is in force on every router. */
static double inforce (bb_lab_t *lab, int64_t revision) {
  char file[300], name[32], *out;
  snprintf(file, sizeof file, "%s/p.lua", lab->dir);
  FILE *f = fopen(file, "w");
  fprintf(f, "function order(r) return 1 end\n");
  fclose(f);
  snprintf(name, sizeof name, "x%lld", (long long)revision);
  const char *args[] = {"policy", "publish", name, file, NULL};
  if (bb_cli(lab, args, &out) != 0) printf("%s", out);
  free(out);
  uint64_t begun = uv_hrtime();
  for (size_t i = 0; i < lab->nrouters;) {
    if (bb_metric(lab, i, "config_revision") >= (double)revision)
      i++;
    else
      bb_run(lab, 10);
  }
  return (double)(uv_hrtime() - begun) / 1e9;
}

int bb_config (const bb_options_t *o) {
  static const int sizes[][2] = {{8, 4}, {24, 8}, {60, 20}};
  for (size_t k = 0; k < mt_countof(sizes); k++) {
    bb_spec_t spec = {.domains = sizes[k][1],
                      .routers = sizes[k][0],
                      .engines = 24,
                      .slots = 4,
                      .rate = 100};
    spec.workspaces = 2500;
    bb_lab_t *lab = bb_start(o->bin, &spec);
    double took[8];
    char name[64];
    for (int i = 0; i < 8; i++) took[i] = inforce(lab, i + 2);
    double before = storecalls(lab);
    bb_run(lab, 10000);
    double calls = (storecalls(lab) - before) / 10;
    snprintf(name, sizeof name, "in_force_most_%d", sizes[k][0]);
    bb_line(name, bb_percentile(took, 8, 1), "s");
    snprintf(name, sizeof name, "in_force_median_%d", sizes[k][0]);
    bb_line(name, took[4], "s");
    snprintf(name, sizeof name, "store_calls_quiet_%d", sizes[k][0]);
    bb_line(name, calls, "calls/s");
    bb_stop(lab);
  }
  bb_summary(o);
  return 0;
}

/* }== */

/* {== failover ========================================================= */

/* Tokens that arrive in each slice after the scheduler's router is killed. */
static double regrant (bb_lab_t *lab, bb_load_t *L, int flow) {
  uint64_t begun = uv_hrtime();
  uint64_t before = bb_seen(L, flow)->answered + bb_seen(L, flow)->nwaits;
  while (uv_hrtime() - begun < 20000000000ull) {
    bb_run(lab, 20);
    uint64_t firsts = bb_seen(L, flow)->answered + bb_seen(L, flow)->nwaits;
    /* What was granted before the kill still answers; look for a stream of
     * new ones. */
    if (firsts > before + 60) return (double)(uv_hrtime() - begun) / 1e9;
  }
  return 20;
}

/* The router that schedules the pool in domain d0, by its own status. */
static size_t leader (bb_lab_t *lab) {
  for (size_t i = 0; i < lab->nrouters; i++) {
    json_t *s = bb_json(lab, &lab->routers[i].operators, "/status");
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
    bb_spec_t spec = {.domains = 1,
                      .routers = 4,
                      .engines = 6,
                      .slots = 4,
                      .rate = 300,
                      .workspaces = 2};
    spec.service = true;
    bb_lab_t *lab = bb_start(o->bin, &spec);
    bb_load_t *L = bb_load(lab, o->seed + (uint64_t)k);
    size_t lead = leader(lab);
    size_t other = (lead + 1) % lab->nrouters;
    bb_flow_t f = {.workspace = 1,
                   .router = (int)other,
                   .concurrency = 60,
                   .shorttokens = 20};
    int flow = bb_flow(L, &f);
    bb_run(lab, 1500);
    bb_end(lab->routers[lead].proc, SIGKILL);
    bb_line("regrant_seconds", regrant(lab, L, flow), "s");
    bb_stopflow(L, flow);
    bb_idle(L, 30000);
    const bb_seen_t *s = bb_seen(L, flow);
    bb_line("lost", (double)(s->asked - s->answered), "requests");
    bb_line("doubled", (double)s->tokens - 20.0 * (double)s->answered,
            "tokens too many");
    bb_stop(lab);
  }
  bb_summary(&oo);
  return 0;
}

/* }== */
