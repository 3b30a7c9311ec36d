/*
** cold_start.h - how many requests engines get while they are cold
**
** An engine that has just started, or was emptied and is used again, bears
** few requests a second until it is warm. The bound holds for all routers
** together, so it is handed out in one place: the engine's owner gives each
** request that asks one place of a token bucket, or none. Without a place
** nobody sends a request to a cold engine. A place counts for a short time. A
** router that does not use one gives it back; whatever the owner hears
** nothing of is taken for used, so lost messages make the engine get less,
** never more: when silence counted as unused, 38 requests came in a second
** where 19.7 are allowed (tests, half of the messages lost).
**
** Owners may be mistaken about who owns an engine while routers are cut off
** from each other. Each hands out only the part of the bucket that its
** routers are of all it knows, so parts that do not see each other hand out
** one bucket together.
*/
#ifndef cold_start_h
#define cold_start_h

#include "mtmem.h"

/* A place that is used counts from its question for at most so long. */
#define MT_COLD_PLACE_MS 50

/* What an engine's owner says of sending it one request. */
typedef enum mt_admission_t {
  MT_ADMIT_UNKNOWN, /* the owner knows of nothing against it */
  MT_ADMIT_WARM,    /* it was cold and is not any more */
  MT_ADMIT_PLACE,   /* it is cold; the request has a place there */
  MT_ADMIT_NONE,    /* it is cold and has none now, or gets no work */
  MT_ADMISSIONS
} mt_admission_t;

/*
** The bound on what arrives at one cold engine in any second, as the
** operators declare it: a service's rate times `overage`, and `slack`.
*/
typedef struct mt_cold_terms_t {
  double overage;
  double slack; /* requests */
} mt_cold_terms_t;

typedef struct mt_cold_starts_t {
  mt_map_t by_engine; /* engine's key -> its bucket, owned */
  mt_ms_t next_sweep;
} mt_cold_starts_t;

void mt_cold_starts_free (mt_cold_starts_t *starts);

/* The engine is cold until then; until now or earlier: it is warm. */
void mt_cold_starts_note (mt_cold_starts_t *starts, uint64_t engine,
                          mt_ms_t until, mt_ms_t now);

bool mt_cold_starts_is_cold (const mt_cold_starts_t *starts, uint64_t engine,
                             mt_ms_t now);

/* How many are cold. */
size_t mt_cold_starts_count (const mt_cold_starts_t *starts, mt_ms_t now);

/*
** The owner's answer to whoever asks for one request. `rate`: requests
** a second that a cold engine of the service bears. `part`: of the bucket, 0
** to 1; 0 hands out nothing.
*/
mt_admission_t mt_cold_starts_ask (mt_cold_starts_t *starts, uint64_t engine,
                                   double rate, const mt_cold_terms_t *terms,
                                   double part, mt_ms_t now);

/* A place was not used. */
void mt_cold_starts_give_back (mt_cold_starts_t *starts, uint64_t engine);

/* The engine got a request that had no place. */
void mt_cold_starts_charge (mt_cold_starts_t *starts, uint64_t engine);

/* Forgets engines that have been warm for long; some times a second. */
void mt_cold_starts_expire (mt_cold_starts_t *starts, mt_ms_t now);

#endif
