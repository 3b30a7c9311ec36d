/*
** tick_interval.c - interval of the gateway's periodic tick
**
** Requests need short intervals: the engines' owners have 20 ms to answer.
** Without requests only the exchanges with other routers and the detection of
** their loss depend on ticks, and a box in a large fleet is idle for much of
** the time.
*/
#include "tick_interval.h"

#define STARTUP_MS 3000   /* while the router discovers its peers */
#define IDLE_DELAY_MS 250 /* until owners know that all load is gone */

mt_ms_t mt_tick_interval (const mt_tick_state_t *state) {
  bool idle = state->uptime > STARTUP_MS && state->idle_time > IDLE_DELAY_MS;
  return idle && !state->stopping ? MT_TICK_IDLE_MS : MT_TICK_BUSY_MS;
}
