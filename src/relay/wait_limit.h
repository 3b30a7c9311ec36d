/*
** wait_limit.h - how long a prompt may wait at an engine and still be in time
**
** Load: prompts of unlike length compete for engines that are never idle. A
** limit of the wait alone admits a long prompt, or one for a slow engine,
** whose own prefill then makes it late; its caller gains nothing, and all
** that queue behind it wait for it.
*/
#ifndef wait_limit_h
#define wait_limit_h

/* A request at one engine; times in ms. */
typedef struct mt_wait_case_t {
  double limit;     /* longest wait for any prompt; 0: no limit */
  double objective; /* time to first token that its caller needs */
  /* Largest part of the objective that the expected time to first token may
     take; 0: no such limit. */
  double ttft_fraction;
  double own; /* expected time to first token without waiting */
} mt_wait_case_t;

/*
** Longest expected wait, in ms: the limit, reduced so that the expected time
** to first token stays within its part of the objective. A third of the limit
** is left to any prompt: one that cannot be in time anywhere is served late
** rather than never.
*/
double mt_wait_limit_in_time (const mt_wait_case_t *request);

#endif
