/*
** cold_start.c - rate limit of requests to cold engines
*/
#include <math.h>
#include <stdlib.h>

#include "cold_start.h"

/* Longest time from asking for a permit until the request arrives at the
   engine: the validity of the permit, and the delays of the messages to and
   from the owner and of the request. */
#define PERMIT_TIME_MS (MT_COLD_PERMIT_MS + 30)
/* Fraction of the declared bound that is granted; the rest is for requests
   that were on their way when the engine became cold. */
#define BOUND_FRACTION 0.85
#define BURST_FRACTION 0.5 /* of the slack: capacity of the bucket */
#define FORGET_MS 10000    /* engines warm for this long are removed */
#define SWEEP_MS 1000      /* between removals */

typedef struct bucket_t {
  mt_ms_t cold_until;
  double permits;   /* available; below 0 after requests without one */
  double capacity;  /* most that may be available */
  mt_ms_t refilled; /* time of the last refill; 0: none yet */
} bucket_t;

static bucket_t *find (const mt_cold_starts_t *s, uint64_t engine) {
  return mtV_get(&s->by_engine, engine);
}

void mt_cold_starts_free (mt_cold_starts_t *s) {
  mtV_each (&s->by_engine, i) free(s->by_engine.vals[i]);
  mtV_free(&s->by_engine);
}

void mt_cold_starts_set (mt_cold_starts_t *s, uint64_t engine,
                         mt_ms_t cold_until, mt_ms_t now) {
  bucket_t *b = find(s, engine);
  if (b == NULL) {
    if (cold_until <= now) return;
    b = mtV_new(sizeof *b);
    mtV_put(&s->by_engine, engine, b);
  }
  b->cold_until = cold_until;
}

bool mt_cold_starts_is_cold (const mt_cold_starts_t *s, uint64_t engine,
                             mt_ms_t now) {
  const bucket_t *b = find(s, engine);
  return b != NULL && b->cold_until > now;
}

size_t mt_cold_starts_count (const mt_cold_starts_t *s, mt_ms_t now) {
  size_t count = 0;
  mtV_each (&s->by_engine, i) {
    const bucket_t *b = s->by_engine.vals[i];
    count += b->cold_until > now;
  }
  return count;
}

/* {== The bucket ======================================================= */

/*
** Requests that arrive within one second used permits granted within 1 s +
** PERMIT_TIME_MS: at most a full bucket and what is refilled in that time.
** The refill rate keeps this sum within the bound.
*/
static void refill (bucket_t *b, double rate, const mt_cold_params_t *params,
                    double fraction, mt_ms_t now) {
  double bound = BOUND_FRACTION * (rate * params->overage + params->slack);
  double burst = fmax(params->slack * BURST_FRACTION, 1);
  double per_s = (bound - burst) / (1 + PERMIT_TIME_MS / 1000.0);
  b->capacity = fmax(burst * fraction, 1);
  if (b->refilled == 0)
    b->permits += burst * fraction;
  else
    b->permits += per_s * fraction * (double)(now - b->refilled) / 1000.0;
  b->refilled = now;
  b->permits = fmin(b->permits, b->capacity);
}

mt_admission_t mt_cold_starts_acquire (mt_cold_starts_t *s, uint64_t engine,
                                       double rate,
                                       const mt_cold_params_t *params,
                                       double fraction, mt_ms_t now) {
  bucket_t *b = find(s, engine);
  if (b == NULL) return MT_ADMIT_UNKNOWN;
  if (b->cold_until <= now) return MT_ADMIT_WARM;
  if (fraction <= 0) return MT_ADMIT_NONE;
  refill(b, rate, params, fraction, now);
  if (b->permits < 1) return MT_ADMIT_NONE;
  b->permits--;
  return MT_ADMIT_PERMIT;
}

void mt_cold_starts_return (mt_cold_starts_t *s, uint64_t engine) {
  bucket_t *b = find(s, engine);
  if (b != NULL) b->permits = fmin(b->permits + 1, b->capacity);
}

void mt_cold_starts_charge (mt_cold_starts_t *s, uint64_t engine) {
  bucket_t *b = find(s, engine);
  if (b != NULL) b->permits--;
}

/* }== */

void mt_cold_starts_expire (mt_cold_starts_t *s, mt_ms_t now) {
  if (now < s->next_sweep) return;
  s->next_sweep = now + SWEEP_MS;
  for (size_t i = s->by_engine.cap; i-- > 0;) {
    if (s->by_engine.keys[i] == 0) continue;
    bucket_t *b = s->by_engine.vals[i];
    if (now < b->cold_until + FORGET_MS) continue;
    mtV_del(&s->by_engine, s->by_engine.keys[i]);
    free(b);
  }
}
