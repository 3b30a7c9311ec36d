/*
** bblab.h - a fleet of real processes on loopback, for demo, bench and tests
*/
#ifndef bblab_h
#define bblab_h

#include <jansson.h>
#include <sys/types.h>
#include <uv.h>

#include "mtcall.h"
#include "mtmem.h"

#define BB_MAX_ROUTERS 384
#define BB_MAX_PROCS 512
#define BB_KEY \
  "5f1c9d3e7a2b4c6d8e0f1a2b3c4d5e6f708192a3b4c5d6e7f8091a2b3c4d5e6f"

typedef struct bb_proc_t {
  pid_t pid;
  int out;       /* its standard output */
  json_t *ready; /* the line it printed */
} bb_proc_t;

typedef struct bb_router_t {
  bb_proc_t *proc;
  char name[32], domain[32], settings[256];
  mt_addr_t callers, operators, peers;
} bb_router_t;

typedef struct bb_engine_t {
  char name[32], domain[32];
  mt_addr_t addr;
  int slots, speed;
  bb_proc_t *proc;
} bb_engine_t;

typedef struct bb_lab_t {
  uv_loop_t loop;
  mt_http_t *http;
  char bin[256], dir[256];
  bb_proc_t procs[BB_MAX_PROCS];
  size_t nprocs;
  mt_addr_t store, service, proxy;
  bb_router_t routers[BB_MAX_ROUTERS];
  size_t nrouters;
  bb_engine_t *engines;
  size_t nengines;
  json_t *doc;        /* pools, targets, workspaces, policies */
  uint64_t firstbyte; /* when the last call's answer began, ns */
  bool proxied; /* routers reach each other, store and targets through a proxy
                 */
  char sharing[16];
} bb_lab_t;

/* What a lab starts with. */
typedef struct bb_spec_t {
  int domains, routers, engines, slots, rate, workspaces, pools;
  int engineprocs;     /* processes that play the engines; 0: one */
  const char *speeds;  /* repeated over the engines, "1,2,4" */
  const char *sharing; /* fleet, alone, fifo */
  bool service, proxied;
  const int *shares; /* of the workspaces, or NULL: all one */
  int cache;
} bb_spec_t;

/* Starts store, engines and routers, and applies a configuration. */
bb_lab_t *bb_start (const char *bin, const bb_spec_t *spec);
void bb_stop (bb_lab_t *lab);

/* Starts a program of the project and waits for its line of JSON. */
bb_proc_t *bb_spawn (bb_lab_t *lab, const char *const *argv, const char *log);

/* Starts router i (again); `store` NULL: the lab's. */
void bb_router (bb_lab_t *lab, size_t i);

/* Ends a process and waits; returns its exit status as waitpid tells it. */
int bb_end (bb_proc_t *p, int signum);

/* One call; the text is the caller's to free. Status 0: no answer. */
int bb_call (bb_lab_t *lab, const mt_addr_t *a, const char *method,
             const char *path, const char *headers, const char *body,
             char **text);

/* The same, for a JSON answer; NULL when there is none. */
json_t *bb_json (bb_lab_t *lab, const mt_addr_t *a, const char *path);

/* Writes the lab's document to its store through the command line. */
int bb_apply (bb_lab_t *lab);

/* Runs the command line; returns its exit code and what it printed. */
int bb_cli (bb_lab_t *lab, const char *const *args, char **out);

/* Lets the loop run for a time. */
void bb_run (bb_lab_t *lab, unsigned ms);

/* Waits until every router has the revision in force and sees the others. */
bool bb_settled (bb_lab_t *lab, int64_t revision, unsigned ms);

/* Sum of a counter over a router's metrics; `name` with its labels, if any.
 */
double bb_metric (bb_lab_t *lab, size_t router, const char *name);

/* A link through the lab's proxy; its port. */
uint16_t bb_link (bb_lab_t *lab, const mt_addr_t *to);
void bb_setlink (bb_lab_t *lab, uint16_t port, const char *mode, int delay);

/* Port of the link that router `i` uses to reach router `j`, target or store.
 */
uint16_t bb_linkport (const bb_lab_t *lab, size_t i, const char *name);

#endif
