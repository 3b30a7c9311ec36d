/*
** bbmain.c - the bench: names of its runs
*/
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bbrun.h"

static const struct {
  const char *name;
  bb_run_t run;
  const char *what;
} runs[] = {
    {"demo", bb_demo,
     "three routers serve a streamed answer; --keep 1 leaves them up"},
    {"fair", bb_fair,
     "gap and use of 8 routers in 4 domains, against baselines"},
    {"share", bb_share, "the same with shares of 1, 2 and 4"},
    {"flood", bb_flood, "wait of small workspaces while one floods"},
    {"use", bb_userun, "use of unequal engines in bursts; prefix hits"},
    {"wake", bb_wake, "an idle workspace returns"},
    {"skew", bb_skew, "everything enters at one router"},
    {"overhead", bb_overhead, "added time, requests per second"},
    {"scale", bb_scale,
     "control cost over routers, workspaces, engines, requests"},
    {"failover", bb_failover,
     "time until grants flow after a scheduler is killed"},
    {"faults", bb_faults,
     "seeded faults under load, promises checked; --repeat RUNS"},
    {"config", bb_config,
     "time until a change is in force; calls to the store"},
};

static int usage (void) {
  fprintf(
      stderr,
      "Usage: bench NAME [--seconds N] [--seed N] [--repeat N] [--json FILE]\n\n");
  for (size_t i = 0; i < sizeof runs / sizeof runs[0]; i++)
    fprintf(stderr, "  %-10s %s\n", runs[i].name, runs[i].what);
  return 2;
}

static const char *option (int argc, char **argv, const char *name,
                           const char *otherwise) {
  for (int i = 2; i + 1 < argc; i++)
    if (strcmp(argv[i], name) == 0) return argv[i + 1];
  return otherwise;
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
