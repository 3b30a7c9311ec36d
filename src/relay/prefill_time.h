/*
** prefill_time.h - how long the engines of a service take to read a prompt
**
** The time from sending a request to its first event has a part that is
** always there (a step of the engine, its first token) and a part for
** every prompt token that has to be read before. Both are learnt by least
** squares over sums that fade, so that they follow engines that change.
*/
#ifndef prefill_time_h
#define prefill_time_h

/* What was seen: fading sums over requests. */
typedef struct mt_prefill_time_t {
  double count, tokens, ms, tokens_tokens, tokens_ms;
} mt_prefill_time_t;

/* ms to the first event = fixed_ms + tokens ahead * ms_per_token. */
typedef struct mt_prefill_model_t {
  double fixed_ms, ms_per_token;
} mt_prefill_model_t;

/* A first event came `ms` after the request was sent behind `tokens`. */
void mt_prefill_time_add (mt_prefill_time_t *seen, double tokens, double ms);

/*
** The line through what was seen. `declared` is the tokens per ms that
** operators promise; it counts until there is more to go by.
*/
mt_prefill_model_t mt_prefill_time_fit (const mt_prefill_time_t *seen,
                                        double declared);

/* The same through no time for no tokens, for the ablation. */
mt_prefill_model_t mt_prefill_time_fit_ratio (const mt_prefill_time_t *seen,
                                              double declared);

#endif
