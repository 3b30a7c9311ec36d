/*
** prefill_time.c - model of the time that a service's engines take to prefill
*/
#include "prefill_time.h"

#define DECAY 0.99 /* per request: about the last hundred count */
/* The configured rate counts as two measured requests: one of no tokens that
   took no time, and one that took PRIOR_MS. */
#define PRIOR_MS 100.0
#define PRIOR_COUNT 1.0
/* Highest rate as a multiple of the configured one: a fit that is flat or
   falls with the tokens has no finite rate. */
#define SPEEDUP_MAX 16.0

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

mt_prefill_model_t mt_prefill_time_fit (const mt_prefill_time_t *samples,
                                        double declared) {
  mt_prefill_time_t t = *samples;
  mt_prefill_model_t model = {0, 0};
  double min = 1 / (declared * SPEEDUP_MAX);
  add_prior(&t, declared);
  /* Never 0, since the two requests of the prior differ in their tokens. */
  double spread = t.count * t.tokens_tokens - t.tokens * t.tokens;
  model.ms_per_token = (t.count * t.tokens_ms - t.tokens * t.ms) / spread;
  if (model.ms_per_token < min) model.ms_per_token = min;
  model.fixed_ms = (t.ms - model.ms_per_token * t.tokens) / t.count;
  if (model.fixed_ms >= 0) return model;
  model.fixed_ms = 0;
  model.ms_per_token = t.tokens_ms / t.tokens_tokens;
  return model;
}

mt_prefill_model_t
mt_prefill_time_fit_ratio (const mt_prefill_time_t *samples,
                           double declared) {
  mt_prefill_time_t t = *samples;
  add_prior(&t, declared);
  return (mt_prefill_model_t){0, t.ms / t.tokens};
}
