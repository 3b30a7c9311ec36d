/*
** prefill_time.h - model of the time that a service's engines take to prefill
**
** The time to first token has a fixed part (a step of the engine and the
** token itself) and a part for each prompt token that is prefilled before.
** Both are fitted by least squares over decaying sums, so that the model
** follows engines that change.
*/
#ifndef prefill_time_h
#define prefill_time_h

/* Decaying sums over the measured requests. */
typedef struct mt_prefill_time_t {
  double count, tokens, ms, tokens_tokens, tokens_ms;
} mt_prefill_time_t;

/* Time to first token = fixed_ms + tokens to prefill * ms_per_token. */
typedef struct mt_prefill_model_t {
  double fixed_ms, ms_per_token;
} mt_prefill_model_t;

/* Adds a request whose first token came after `ms`; `tokens`: prompt tokens
   prefilled until then, its own and those queued before it. */
void mt_prefill_time_add (mt_prefill_time_t *samples, double tokens,
                          double ms);

/*
** Fits the model to the measurements. `declared`: the configured prefill
** rate, tokens per ms, which serves as the prior while there are few
** measurements.
*/
mt_prefill_model_t mt_prefill_time_fit (const mt_prefill_time_t *samples,
                                        double declared);

/* The same without a fixed part, for use when MT_RELAY_FIXED_PART is off. */
mt_prefill_model_t
mt_prefill_time_fit_ratio (const mt_prefill_time_t *samples, double declared);

#endif
