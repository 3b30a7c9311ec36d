/*
** wake_clock.h - time that goes on while the machine is suspended
**
** The steady clock that a loop goes by stands still while its machine is
** suspended. Whatever is believed for some time would be held for younger
** than it is: an engine that vanished, a load that somebody told, the
** deadline of a request. So time here is the loop's, and what the machine
** has slept since.
*/
#ifndef wake_clock_h
#define wake_clock_h

#include <uv.h>

#include "mtobject.h"

typedef struct mt_wake_clock_t {
  int64_t ahead_ns; /* of the clock that counts sleep, before the steady one,
                       when this was opened */
  mt_ms_t asleep;   /* since then */
} mt_wake_clock_t;

/* Gives the loop such a clock; a loop without one has its own time. */
void mt_wake_clock_open (mt_wake_clock_t *clock, uv_loop_t *loop);

/* How long the machine has slept since; 0 for a loop without such a clock. */
mt_ms_t mt_wake_clock_asleep (const uv_loop_t *loop);

/* Never goes back. */
mt_ms_t mt_wake_clock_now (uv_loop_t *loop);

/* Takes readings of both clocks; the one that counts sleep was read first, so
   a pause in between hides sleep and never invents it. */
void mt_wake_clock_read (mt_wake_clock_t *clock, int64_t counting_ns,
                         int64_t steady_ns);

#endif
