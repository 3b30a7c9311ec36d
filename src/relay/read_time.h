/*
** read_time.h - how long the engines of a service take to read a prompt
**
** The time from sending a request to its first event has a part that is
** always there (a step of the engine, its first token) and a part for
** every prompt token that has to be read before. Both are learnt by least
** squares over sums that fade, so that they follow engines that change.
*/
#ifndef read_time_h
#define read_time_h

/* What was seen: fading sums over requests. */
typedef struct mt_read_time_t {
  double count, tokens, ms, tokens_tokens, tokens_ms;
} mt_read_time_t;

/* ms to the first event = fixed_ms + tokens ahead * ms_per_token. */
typedef struct mt_read_line_t {
  double fixed_ms, ms_per_token;
} mt_read_line_t;

/* A first event came `ms` after the request was sent behind `tokens`. */
void mt_read_time_learn (mt_read_time_t *seen, double tokens, double ms);

/*
** The line through what was seen. `declared` is the tokens per ms that
** operators promise; it counts until there is more to go by.
*/
mt_read_line_t mt_read_time_line (const mt_read_time_t *seen,
                                  double declared);

/* The same through no time for no tokens, for the ablation. */
mt_read_line_t mt_read_time_ratio (const mt_read_time_t *seen,
                                   double declared);

#endif
