/*
** tick_interval.h - interval of the gateway's periodic tick
*/
#ifndef tick_interval_h
#define tick_interval_h

#include "mtmem.h"

#define MT_TICK_BUSY_MS 25  /* while requests are in progress */
#define MT_TICK_IDLE_MS 100 /* while there are none */

typedef struct mt_tick_state_t {
  mt_ms_t uptime;    /* since the process started */
  mt_ms_t idle_time; /* since the last request ended; 0: one is in progress */
  bool stopping;     /* an orderly shutdown is under way */
} mt_tick_state_t;

/* Time between ticks. */
mt_ms_t mt_tick_interval (const mt_tick_state_t *state);

#endif
