/*
** bbload.h - load generator: open and closed loops of requests to routers
*/
#ifndef bbload_h
#define bbload_h

#include "bbcluster.h"

/*
** Requests that a workspace sends. `longpct` percent of the replies have
** `longtokens` tokens, the others `shorttokens`.
*/
typedef struct bb_flow_t {
  int workspace;   /* counted from 1 */
  int router;      /* index; -1: round robin over all */
  int concurrency; /* closed loop: requests in flight; 0: open loop */
  double rate;     /* open loop: requests per second */
  int shorttokens, longtokens, longpct;
  int sessions;      /* sessions, each with its own prompt prefix; 0: none */
  int burst;         /* open loop: requests sent at once; 0: one */
  bool unstreamed;   /* replies come in one piece */
  const char *model; /* NULL: m1 */
} bb_flow_t;

/*
** What the callers of a flow measured. `asked` counts the requests sent;
** each ends as `completed` (status 200), `rejected` (another status) or
** `failed` (no complete reply).
*/
typedef struct bb_flow_stats_t {
  uint64_t asked, completed, rejected, failed;
  int64_t tokens;        /* received */
  double *first_byte_ms; /* times to the first byte of 200 replies, ms */
  size_t nfirst_byte, first_byte_cap;
  int inflight;
} bb_flow_stats_t;

typedef struct bb_load_t bb_load_t;

/* Starts a load generator without flows on the cluster's loop. */
bb_load_t *bb_start_load (bb_cluster_t *cluster, uint64_t seed);

/* Adds a flow, which starts at once, and returns its index. */
int bb_add_flow (bb_load_t *L, const bb_flow_t *f);

/* Sends no more requests of a flow, or of any (-1). */
void bb_stop_flow (bb_load_t *L, int flow);

bb_flow_stats_t *bb_flow_stats (bb_load_t *L, int flow);

/* Waits until no request is in flight; false when that takes over `ms`. */
bool bb_wait_idle (bb_load_t *L, unsigned ms);

/* Frees the generator; no request may be in flight. */
void bb_stop_load (bb_load_t *L);

/* The p-quantile (0 to 1) of n values, which it sorts; 0 for n = 0. */
double bb_percentile (double *v, size_t n, double p);

#endif
