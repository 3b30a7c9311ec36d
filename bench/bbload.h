/*
** bbload.h - callers: many requests at once against a lab's routers
*/
#ifndef bbload_h
#define bbload_h

#include "bblab.h"

/* How one workspace's callers behave. */
typedef struct bb_flow_t {
  int workspace;   /* 1.. */
  int router;      /* index; -1: all in turn */
  int concurrency; /* closed loop: requests kept up; 0: open loop */
  double rate;     /* open loop: requests per second */
  int shorttokens, longtokens, longpct; /* cost of a request */
  int sessions; /* sessions that requests belong to; 0: none */
  int burst;    /* open loop: requests that come together */
  bool whole;   /* not streamed */
  const char *model;
} bb_flow_t;

/* What a flow has seen. */
typedef struct bb_seen_t {
  uint64_t asked, answered, refused, failed;
  int64_t tokens; /* received so far */
  double *waits;  /* ms to the first byte, of answered ones */
  size_t nwaits, waits_cap;
  int inflight;
} bb_seen_t;

typedef struct bb_load_t bb_load_t;

bb_load_t *bb_load (bb_lab_t *lab, uint64_t seed);
/* Adds a flow; it starts at once. Returns its number. */
int bb_flow (bb_load_t *L, const bb_flow_t *f);
/* Stops new requests of a flow, or of all (-1). */
void bb_stopflow (bb_load_t *L, int flow);
bb_seen_t *bb_seen (bb_load_t *L, int flow);
/* Waits until no request is under way. */
bool bb_idle (bb_load_t *L, unsigned ms);
void bb_endload (bb_load_t *L);

double bb_percentile (double *v, size_t n, double p);

#endif
