/*
** boot_clock.c - monotonic time that includes suspend
*/
#include <time.h>

#include "boot_clock.h"

/* Suspended time is rounded down to a multiple of this: without a suspend the
   difference between the clocks varies by less from reading to reading, and
   that variation must not make time go back. */
#define GRANULARITY_MS 10
#define NS_PER_MS 1000000

static int64_t read_clock (clockid_t id) {
  struct timespec ts;
  clock_gettime(id, &ts);
  return (int64_t)ts.tv_sec * 1000 * NS_PER_MS + ts.tv_nsec;
}

void mt_boot_clock_update (mt_boot_clock_t *clock, int64_t boottime_ns,
                           int64_t monotonic_ns) {
  int64_t total_ns = boottime_ns - monotonic_ns - clock->offset_ns;
  int64_t total = total_ns / NS_PER_MS / GRANULARITY_MS * GRANULARITY_MS;
  if (total > (int64_t)clock->suspended) clock->suspended = (mt_ms_t)total;
}

void mt_boot_clock_init_loop (uv_loop_t *loop) {
  uv_loop_init(loop);
  loop->data = NULL;
}

void mt_boot_clock_open (mt_boot_clock_t *clock, uv_loop_t *loop) {
  int64_t boottime_ns = read_clock(CLOCK_BOOTTIME);
  clock->offset_ns = boottime_ns - read_clock(CLOCK_MONOTONIC);
  clock->suspended = 0;
  loop->data = clock;
}

mt_ms_t mt_boot_clock_now (uv_loop_t *loop) {
  mt_boot_clock_t *clock = loop->data;
  if (clock == NULL) return uv_now(loop);
  int64_t boottime_ns = read_clock(CLOCK_BOOTTIME);
  mt_boot_clock_update(clock, boottime_ns, read_clock(CLOCK_MONOTONIC));
  return uv_now(loop) + clock->suspended;
}

mt_ms_t mt_boot_clock_suspended (const uv_loop_t *loop) {
  const mt_boot_clock_t *clock = loop->data;
  return clock != NULL ? clock->suspended : 0;
}
