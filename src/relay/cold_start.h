/*
** cold_start.h - rate limit of requests to cold engines
**
** An engine that has just started, or whose failure domain is readmitted
** after an evacuation, can take only a few requests per second until it is
** warm. The limit holds for all routers together, so the engine's owner
** enforces it: it grants each request that asks a permit from a token bucket,
** or none, and nobody sends a request to a cold engine without one. A permit
** is valid for a short time. A router returns one that it does not use; a
** permit that is not returned counts as used, so that lost messages lower the
** rate and never raise it: when it counted as unused, with half of the
** messages lost, an engine got 38 requests in one second where 19.7 were
** allowed.
**
** While the network is partitioned, several routers may each count as owner
** of an engine. Each grants a fraction of the bucket: the number of routers
** that it can reach, itself included, over the number that it knows. So all
** partitions together grant one bucket.
*/
#ifndef cold_start_h
#define cold_start_h

#include "mtmem.h"

/* A permit is valid for this long after the request asked for quotes. */
#define MT_COLD_PERMIT_MS 50

/* An owner's admission of one request to its engine. */
typedef enum mt_admission_t {
  MT_ADMIT_UNKNOWN, /* not known to be cold or to take no work */
  MT_ADMIT_WARM,    /* was cold and is warm now */
  MT_ADMIT_PERMIT,  /* cold; a permit is granted */
  MT_ADMIT_NONE,    /* cold without a permit, or takes no work */
  MT_ADMIT_COUNT
} mt_admission_t;

/*
** Declared bound on the requests that arrive at one cold engine in any
** second: the service's rate times `overage`, plus `slack`.
*/
typedef struct mt_cold_params_t {
  double overage;
  double slack; /* requests */
} mt_cold_params_t;

typedef struct mt_cold_starts_t {
  mt_map_t by_engine; /* engine key -> token bucket, owned */
  mt_ms_t next_sweep;
} mt_cold_starts_t;

void mt_cold_starts_free (mt_cold_starts_t *starts);

/* The engine is cold until that time; warm if it is not after `now`. */
void mt_cold_starts_set (mt_cold_starts_t *starts, uint64_t engine,
                         mt_ms_t cold_until, mt_ms_t now);

bool mt_cold_starts_is_cold (const mt_cold_starts_t *starts, uint64_t engine,
                             mt_ms_t now);

/* Number of cold engines. */
size_t mt_cold_starts_count (const mt_cold_starts_t *starts, mt_ms_t now);

/*
** The owner's admission of one request; takes a permit if there is one.
** `rate`: requests per second that a cold engine of the service can take.
** `fraction`: part of the bucket that this owner may grant, 0 to 1.
*/
mt_admission_t mt_cold_starts_acquire (mt_cold_starts_t *starts,
                                       uint64_t engine, double rate,
                                       const mt_cold_params_t *params,
                                       double fraction, mt_ms_t now);

/* Returns an unused permit. */
void mt_cold_starts_return (mt_cold_starts_t *starts, uint64_t engine);

/* Takes a permit for a request that the engine got without one. */
void mt_cold_starts_charge (mt_cold_starts_t *starts, uint64_t engine);

/* Removes engines that have long been warm; called a few times per second. */
void mt_cold_starts_expire (mt_cold_starts_t *starts, mt_ms_t now);

#endif
