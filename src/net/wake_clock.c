/*
** wake_clock.c - time that goes on while the machine is suspended
*/
#include <time.h>

#include "wake_clock.h"

/* Readings of two clocks differ by as little; time must not go back by it. */
#define STEP_MS 10
#define NS_PER_MS 1000000

static int64_t read_clock (clockid_t id) {
  struct timespec ts;
  clock_gettime(id, &ts);
  return (int64_t)ts.tv_sec * 1000 * NS_PER_MS + ts.tv_nsec;
}

void mt_wake_clock_read (mt_wake_clock_t *clock, int64_t counting_ns,
                         int64_t steady_ns) {
  int64_t slept_ns = counting_ns - steady_ns - clock->ahead_ns;
  int64_t slept = slept_ns / NS_PER_MS / STEP_MS * STEP_MS;
  if (slept > (int64_t)clock->asleep) clock->asleep = (mt_ms_t)slept;
}

void mt_wake_clock_open (mt_wake_clock_t *clock, uv_loop_t *loop) {
  int64_t counting_ns = read_clock(CLOCK_BOOTTIME);
  clock->ahead_ns = counting_ns - read_clock(CLOCK_MONOTONIC);
  clock->asleep = 0;
  loop->data = clock;
}

mt_ms_t mt_wake_clock_now (uv_loop_t *loop) {
  mt_wake_clock_t *clock = loop->data;
  if (clock == NULL) return uv_now(loop);
  int64_t counting_ns = read_clock(CLOCK_BOOTTIME);
  mt_wake_clock_read(clock, counting_ns, read_clock(CLOCK_MONOTONIC));
  return uv_now(loop) + clock->asleep;
}

mt_ms_t mt_wake_clock_asleep (const uv_loop_t *loop) {
  const mt_wake_clock_t *clock = loop->data;
  return clock != NULL ? clock->asleep : 0;
}
