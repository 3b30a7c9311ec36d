/*
** tick_pace.c - how often a gateway looks at what time has done
**
** Requests need short ticks: owners' answers are waited for 20 ms. Without
** requests only rounds with other routers and their pauses depend on ticks,
** and a box in a large fleet has none for much of the time.
*/
#include "tick_pace.h"

#define YOUNG_MS 3000 /* while routers get to know each other */
#define LINGER_MS 250 /* until owners were told that the last one ended */

mt_ms_t mt_tick_pace (const mt_tick_view_t *view) {
  bool idle = view->running > YOUNG_MS && view->quiet > LINGER_MS;
  return idle && !view->stopping ? MT_TICK_IDLE_MS : MT_TICK_BUSY_MS;
}
