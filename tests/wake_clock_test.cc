// wake_clock_test.cc - time that goes on while the machine is suspended
#include <gtest/gtest.h>

extern "C" {
#include "wake_clock.h"
}

namespace {

const int64_t kMs = 1000000;

TEST(WakeClock, CountsSleepAndNothingElse) {
  struct Row {
    const char *what;
    int64_t counting, steady; // ms since it was opened
    mt_ms_t asleep;
  } rows[] = {
      {"awake", 1000, 1000, 0},
      {"asleep for five seconds", 8000, 3000, 5000},
      {"awake again", 9000, 4000, 5000},
      {"a pause between two readings", 9000, 4700, 5000},
      {"readings that differ a little", 9004, 4000, 5000},
      {"asleep once more", 11000, 4010, 6990},
  };
  mt_wake_clock_t clock = {3 * kMs, 0};
  for (const Row &row : rows) {
    mt_wake_clock_read(&clock, (row.counting + 3) * kMs, row.steady * kMs);
    EXPECT_EQ(clock.asleep, row.asleep) << row.what;
  }
}

TEST(WakeClock, ALoopWithoutOneHasItsOwnTime) {
  uv_loop_t loop;
  uv_loop_init(&loop);
  loop.data = nullptr;
  EXPECT_EQ(mt_wake_clock_now(&loop), uv_now(&loop));
  mt_wake_clock_t clock;
  mt_wake_clock_open(&clock, &loop);
  EXPECT_EQ(mt_wake_clock_now(&loop), uv_now(&loop));
  clock.asleep = 70000;
  EXPECT_EQ(mt_wake_clock_now(&loop), uv_now(&loop) + 70000);
  uv_loop_close(&loop);
}

} // namespace
