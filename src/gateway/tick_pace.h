/*
** tick_pace.h - how often a gateway looks at what time has done
*/
#ifndef tick_pace_h
#define tick_pace_h

#include "mtmem.h"

#define MT_TICK_BUSY_MS 25  /* while requests are in progress */
#define MT_TICK_IDLE_MS 100 /* while there are none */

typedef struct mt_tick_view_t {
  mt_ms_t running; /* since the process started */
  mt_ms_t quiet;   /* since a request was in progress; 0: one is */
  bool stopping;   /* it was ordered to stop */
} mt_tick_view_t;

/* Time until the next tick. */
mt_ms_t mt_tick_pace (const mt_tick_view_t *view);

#endif
