/*
** boot_clock.h - monotonic time that includes suspend
**
** A loop's time is the monotonic clock, which stops while the box is
** suspended. After a resume all that has an age would seem younger than it
** is: the absence of an engine, a reported load, a request's deadline. So
** time here is the loop's time plus the time spent suspended.
*/
#ifndef boot_clock_h
#define boot_clock_h

#include <uv.h>

#include "mtobject.h"

typedef struct mt_boot_clock_t {
  int64_t offset_ns; /* CLOCK_BOOTTIME minus CLOCK_MONOTONIC when opened */
  mt_ms_t suspended; /* total since then; never decreases */
} mt_boot_clock_t;

/* Initialises a loop that has no clock. To be used in place of uv_loop_init,
   which leaves loop->data unset: other functions here would take it for a
   clock. */
void mt_boot_clock_init_loop (uv_loop_t *loop);

/* Attaches the clock to the loop, as loop->data. A loop without one keeps its
   own time. */
void mt_boot_clock_open (mt_boot_clock_t *clock, uv_loop_t *loop);

/* Time spent suspended since mt_boot_clock_open; 0 for a loop without a
   clock. */
mt_ms_t mt_boot_clock_suspended (const uv_loop_t *loop);

/* The loop's time plus the time spent suspended; never goes back. */
mt_ms_t mt_boot_clock_now (uv_loop_t *loop);

/* Updates the suspended time from readings of CLOCK_BOOTTIME and
   CLOCK_MONOTONIC. The former is to be read first: a delay between the
   readings then hides suspended time but never adds any. */
void mt_boot_clock_update (mt_boot_clock_t *clock, int64_t boottime_ns,
                           int64_t monotonic_ns);

#endif
