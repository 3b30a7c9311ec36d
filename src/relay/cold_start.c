/*
** cold_start.c - how many requests engines get while they are cold
*/
#include <math.h>
#include <stdlib.h>

#include "cold_start.h"

/* From a place's question until the request it was for arrives: the place's
   time, and trips of question, answer and request. */
#define PLACE_TIME_MS (MT_COLD_PLACE_MS + 30)
/* Of the bound that the operators declare; the rest is for requests that were
   under way when the engine turned cold. */
#define BOUND_PART 0.85
#define BURST_PART 0.5 /* of the slack, at once */
#define KEPT_MS 10000  /* that an engine was cold is remembered so long */
#define SWEEP_MS 1000

typedef struct bucket_t {
  mt_ms_t until;    /* cold until then */
  double tokens;    /* places that can be given now; below 0: owed */
  double most;      /* of them at once */
  mt_ms_t refilled; /* 0: it has not been asked */
} bucket_t;

static bucket_t *find (const mt_cold_starts_t *s, uint64_t engine) {
  return mtV_get(&s->by_engine, engine);
}

void mt_cold_starts_free (mt_cold_starts_t *s) {
  mtV_each (&s->by_engine, i) free(s->by_engine.vals[i]);
  mtV_free(&s->by_engine);
}

void mt_cold_starts_note (mt_cold_starts_t *s, uint64_t engine, mt_ms_t until,
                          mt_ms_t now) {
  bucket_t *b = find(s, engine);
  if (b == NULL) {
    if (until <= now) return;
    b = mtV_new(sizeof *b);
    mtV_put(&s->by_engine, engine, b);
  }
  b->until = until;
}

bool mt_cold_starts_is_cold (const mt_cold_starts_t *s, uint64_t engine,
                             mt_ms_t now) {
  const bucket_t *b = find(s, engine);
  return b != NULL && b->until > now;
}

size_t mt_cold_starts_count (const mt_cold_starts_t *s, mt_ms_t now) {
  size_t count = 0;
  mtV_each (&s->by_engine, i) {
    const bucket_t *b = s->by_engine.vals[i];
    count += b->until > now;
  }
  return count;
}

/* {== The bucket ======================================================= */

/*
** Places given in a second and in the time that one counts are at most
** `most` and what is refilled meanwhile: that stays within the bound.
*/
static void refill (bucket_t *b, double rate, const mt_cold_terms_t *terms,
                    double part, mt_ms_t now) {
  double bound = BOUND_PART * (rate * terms->overage + terms->slack);
  double burst = fmax(terms->slack * BURST_PART, 1);
  double per_s = (bound - burst) / (1 + PLACE_TIME_MS / 1000.0);
  b->most = fmax(burst * part, 1);
  if (b->refilled == 0)
    b->tokens += burst * part;
  else
    b->tokens += per_s * part * (double)(now - b->refilled) / 1000.0;
  b->refilled = now;
  b->tokens = fmin(b->tokens, b->most);
}

mt_admission_t mt_cold_starts_ask (mt_cold_starts_t *s, uint64_t engine,
                                   double rate, const mt_cold_terms_t *terms,
                                   double part, mt_ms_t now) {
  bucket_t *b = find(s, engine);
  if (b == NULL) return MT_ADMIT_UNKNOWN;
  if (b->until <= now) return MT_ADMIT_WARM;
  if (part <= 0) return MT_ADMIT_NONE;
  refill(b, rate, terms, part, now);
  if (b->tokens < 1) return MT_ADMIT_NONE;
  b->tokens--;
  return MT_ADMIT_PLACE;
}

void mt_cold_starts_give_back (mt_cold_starts_t *s, uint64_t engine) {
  bucket_t *b = find(s, engine);
  if (b != NULL) b->tokens = fmin(b->tokens + 1, b->most);
}

void mt_cold_starts_charge (mt_cold_starts_t *s, uint64_t engine) {
  bucket_t *b = find(s, engine);
  if (b != NULL) b->tokens--;
}

/* }== */

void mt_cold_starts_expire (mt_cold_starts_t *s, mt_ms_t now) {
  if (now < s->next_sweep) return;
  s->next_sweep = now + SWEEP_MS;
  for (size_t i = s->by_engine.cap; i-- > 0;) {
    if (s->by_engine.keys[i] == 0) continue;
    bucket_t *b = s->by_engine.vals[i];
    if (now < b->until + KEPT_MS) continue;
    mtV_del(&s->by_engine, s->by_engine.keys[i]);
    free(b);
  }
}
