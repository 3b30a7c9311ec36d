/*
** bbmain.c - the bench's command line and its list of benchmarks
*/
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bbrun.h"

static const struct {
  const char *name;
  bb_bench_t run;
  const char *summary;
} runs[] = {
    {"demo", bb_demo,
     "three routers serve example requests; --keep 1 leaves them running"},
    {"fair", bb_fair,
     "fairness gap and engine utilization of 8 routers in 4 domains, against baselines"},
    {"share", bb_share, "the same for workspaces with shares of 1, 2 and 4"},
    {"flood", bb_flood,
     "waits of small workspaces while another one floods the cluster"},
    {"use", bb_utilization,
     "utilization of engines of unequal speed in bursts; prefix cache hits"},
    {"wake", bb_idle_return,
     "fairness when an idle workspace starts to send again"},
    {"skew", bb_skew, "all requests arrive at one router"},
    {"overhead", bb_overhead,
     "added latency, requests per second, memory per request"},
    {"scale", bb_scale,
     "control traffic by number of routers, domains, workspaces, engines, requests"},
    {"failover", bb_failover,
     "time until requests are granted again after a scheduler is killed"},
    {"faults", bb_faults,
     "seeded faults under load, with invariants checked; --repeat RUNS"},
    {"config", bb_config,
     "time until a change is applied on every router; requests to the store"},
};

static int usage (void) {
  fprintf(
      stderr,
      "Usage: bench NAME [--seconds N] [--seed N] [--repeat N] [--json FILE]\n\n");
  for (size_t i = 0; i < sizeof runs / sizeof runs[0]; i++)
    fprintf(stderr, "  %-10s %s\n", runs[i].name, runs[i].summary);
  return 2;
}

static const char *option (int argc, char **argv, const char *name,
                           const char *def) {
  for (int i = 2; i + 1 < argc; i++)
    if (strcmp(argv[i], name) == 0) return argv[i + 1];
  return def;
}

int main (int argc, char **argv) {
  if (argc < 2) return usage();
  bb_options_t o = {.bin = getenv("MT_BIN") ? getenv("MT_BIN") : "build"};
  o.seconds = atoi(option(argc, argv, "--seconds", "0"));
  o.seed = strtoull(option(argc, argv, "--seed", "1"), NULL, 10);
  o.repeat = atoi(option(argc, argv, "--repeat", "1"));
  o.json = option(argc, argv, "--json", NULL);
  o.keep = atoi(option(argc, argv, "--keep", "0"));
  o.only = option(argc, argv, "--only", NULL);
  for (size_t i = 0; i < sizeof runs / sizeof runs[0]; i++)
    if (strcmp(argv[1], runs[i].name) == 0) return runs[i].run(&o);
  return usage();
}
