/*
** prefill_time.c - how long the engines of a service take to read a prompt
*/
#include "prefill_time.h"

#define DECAY 0.99 /* per request: some hundred are remembered */
/* The declared rate counts as two requests: one of no tokens that took no
   time, and one that took this long. */
#define PRIOR_MS 100.0
#define PRIOR_COUNT 1.0
#define SPEEDUP_MAX                                       \
  16.0 /* times the declared rate; a flat line is no rate \
        */

void mt_prefill_time_add (mt_prefill_time_t *t, double tokens, double ms) {
  t->count = t->count * DECAY + 1;
  t->tokens = t->tokens * DECAY + tokens;
  t->ms = t->ms * DECAY + ms;
  t->tokens_tokens = t->tokens_tokens * DECAY + tokens * tokens;
  t->tokens_ms = t->tokens_ms * DECAY + tokens * ms;
}

static void add_prior (mt_prefill_time_t *t, double declared) {
  double tokens = declared * PRIOR_MS;
  t->count += 2 * PRIOR_COUNT;
  t->tokens += PRIOR_COUNT * tokens;
  t->ms += PRIOR_COUNT * PRIOR_MS;
  t->tokens_tokens += PRIOR_COUNT * tokens * tokens;
  t->tokens_ms += PRIOR_COUNT * tokens * PRIOR_MS;
}

mt_prefill_model_t mt_prefill_time_fit (const mt_prefill_time_t *seen,
                                        double declared) {
  mt_prefill_time_t t = *seen;
  mt_prefill_model_t line = {0, 0};
  double least = 1 / (declared * SPEEDUP_MAX);
  add_prior(&t, declared);
  /* Never 0: the two requests of the prior differ in their tokens. */
  double spread = t.count * t.tokens_tokens - t.tokens * t.tokens;
  line.ms_per_token = (t.count * t.tokens_ms - t.tokens * t.ms) / spread;
  if (line.ms_per_token < least) line.ms_per_token = least;
  line.fixed_ms = (t.ms - line.ms_per_token * t.tokens) / t.count;
  if (line.fixed_ms >= 0) return line;
  line.fixed_ms = 0;
  line.ms_per_token = t.tokens_ms / t.tokens_tokens;
  return line;
}

mt_prefill_model_t mt_prefill_time_fit_ratio (const mt_prefill_time_t *seen,
                                              double declared) {
  mt_prefill_time_t t = *seen;
  add_prior(&t, declared);
  return (mt_prefill_model_t){0, t.ms / t.tokens};
}
