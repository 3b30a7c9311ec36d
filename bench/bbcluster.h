/*
** bbcluster.h - a test cluster of real processes on loopback
*/
#ifndef bbcluster_h
#define bbcluster_h

#include <jansson.h>
#include <sys/types.h>
#include <uv.h>

#include "mtcall.h"
#include "mtmem.h"

#define BB_ROUTERS_MAX 384
#define BB_PROCS_MAX 512
/* The key that authenticates peer messages, in hex. */
#define BB_PEER_KEY \
  "5f1c9d3e7a2b4c6d8e0f1a2b3c4d5e6f708192a3b4c5d6e7f8091a2b3c4d5e6f"

typedef struct bb_proc_t {
  pid_t pid;
  int out;       /* reads its standard output */
  json_t *ready; /* the line of JSON that it printed when it was ready */
} bb_proc_t;

typedef struct bb_router_t {
  bb_proc_t *proc;
  char name[32], domain[32], settings[256]; /* settings: path of the file */
  mt_addr_t callers, operators, peers;      /* where it listens for each */
} bb_router_t;

typedef struct bb_engine_t {
  char name[32], domain[32];
  mt_addr_t addr;
  int slots, speed; /* concurrent streams; factor on the token rate */
  bb_proc_t *proc;  /* may run other engines as well */
} bb_engine_t;

typedef struct bb_cluster_t {
  uv_loop_t loop;
  mt_http_t *http;
  char bin[256], dir[256]; /* of the programs; of logs and settings */
  bb_proc_t procs[BB_PROCS_MAX];
  size_t nprocs;
  mt_addr_t store, service, proxy; /* port 0: not started */
  bb_router_t routers[BB_ROUTERS_MAX];
  size_t nrouters;
  bb_engine_t *engines;
  size_t nengines;
  json_t *doc;            /* the declared pools, targets and workspaces */
  uint64_t first_byte_ns; /* when the last reply's body began, uv_hrtime */
  bool proxied; /* routers connect to peers, store, targets by the proxy */
  char sharing[16]; /* the routers' setting of that name */
} bb_cluster_t;

/*
** What a cluster starts with. Routers and engines are spread evenly over
** the failure domains and engines over the pools (0: one). `slots` is per
** engine; `rate` is the tokens per second of a lone stream on an engine of
** speed 1.
*/
typedef struct bb_cluster_spec_t {
  int domains, routers, engines, slots, rate, workspaces, pools;
  int engineprocs;     /* processes that the engines are split over; 0: one */
  const char *speeds;  /* repeated over the engines, "1,2,4"; NULL: "1" */
  const char *sharing; /* fleet, alone, fifo, pinned; NULL: fleet */
  bool service, proxied;
  const int *shares; /* one for each workspace; NULL: all 1 */
  int cache;         /* prefixes that an engine keeps; 0: 32 */
} bb_cluster_spec_t;

/*
** Starts store, engines and routers, applies the configuration and waits
** until the routers have converged. A failure ends the process.
*/
bb_cluster_t *bb_start_cluster (const char *bin,
                                const bb_cluster_spec_t *spec);

/*
** Kills all processes, frees the cluster and deletes its directory, unless
** MT_KEEP_LOGS is set in the environment.
*/
void bb_stop_cluster (bb_cluster_t *cluster);

/*
** Starts a program of the project and waits for its ready line. Standard
** error goes to `log`.log in the cluster's directory. A failure ends the
** process.
*/
bb_proc_t *bb_spawn (bb_cluster_t *cluster, const char *const *argv,
                     const char *log);

/* Starts or restarts router i and reads its addresses. */
void bb_start_router (bb_cluster_t *cluster, size_t i);

/*
** Sends a signal, and SIGCONT in case the process is paused, and waits for
** its end. Returns the status of waitpid, or 0 if it has ended before.
*/
int bb_end_proc (bb_proc_t *p, int signum);

/*
** Sends a request and waits for the reply. Returns the HTTP status, or 0 if
** no complete reply came. `headers`: whole lines, each with CRLF; `headers`
** and `body` may be NULL. `text` (may be NULL) receives the reply's body,
** for the caller to free.
*/
int bb_request (bb_cluster_t *cluster, const mt_addr_t *a, const char *method,
                const char *path, const char *headers, const char *body,
                char **text);

/* The JSON reply to a GET; NULL if the status is not 200 or it is no JSON. */
json_t *bb_get_json (bb_cluster_t *cluster, const mt_addr_t *a,
                     const char *path);

/* Runs `martentiller apply` on the cluster's `doc`; returns its exit code. */
int bb_apply_config (bb_cluster_t *cluster);

/*
** Runs martentiller with NULL-terminated arguments against the cluster's
** store. Returns the exit code, or -1 when a signal ended it. `out` (may be
** NULL) receives at most 64 KiB of what it printed, for the caller to free.
*/
int bb_cli (bb_cluster_t *cluster, const char *const *args, char **out);

/* Runs the cluster's event loop for `ms`. */
void bb_run_loop (bb_cluster_t *cluster, unsigned ms);

/*
** Waits until every router has applied this or a later revision and sees all
** routers alive; false when that takes longer than `ms`.
*/
bool bb_wait_converged (bb_cluster_t *cluster, int64_t revision, unsigned ms);

/*
** A metric of one router, as the sum over its series, or one series when
** `name` includes the labels. `name` comes without "martentiller_".
*/
double bb_metric (bb_cluster_t *cluster, size_t router, const char *name);

/* Adds a link to the proxy that leads to an address; returns its port. */
uint16_t bb_add_link (bb_cluster_t *cluster, const mt_addr_t *to);

/* Sets the fault mode (see standin --help) and delay, ms, of a link. */
void bb_set_link (bb_cluster_t *cluster, uint16_t port, const char *mode,
                  int delay);

/*
** Port of the link by which router i connects to a router or target of this
** name, or to the store when `name` is "store"; 0 when there is none.
*/
uint16_t bb_link_port (const bb_cluster_t *cluster, size_t i,
                       const char *name);

#endif
