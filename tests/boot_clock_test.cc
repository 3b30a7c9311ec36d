// boot_clock_test.cc - monotonic time that includes suspend
#include <gtest/gtest.h>

extern "C" {
#include "boot_clock.h"
}

namespace {

const int64_t ns_per_ms = 1000000;

TEST(BootClock, CountsSuspendedTimeOnly) {
  struct Row {
    const char *what;
    int64_t boottime, monotonic; // ms since the opening
    mt_ms_t suspended;
  } rows[] = {
      {"not suspended", 1000, 1000, 0},
      {"suspended for five seconds", 8000, 3000, 5000},
      {"resumed", 9000, 4000, 5000},
      {"a delay between the two readings", 9000, 4700, 5000},
      {"readings that differ by less than the granularity", 9004, 4000, 5000},
      {"suspended once more", 11000, 4010, 6990},
  };
  mt_boot_clock_t clock = {3 * ns_per_ms, 0};
  for (const Row &row : rows) {
    mt_boot_clock_update(&clock, (row.boottime + 3) * ns_per_ms,
                         row.monotonic * ns_per_ms);
    EXPECT_EQ(clock.suspended, row.suspended) << row.what;
  }
}

TEST(BootClock, ALoopWithoutABootClockUsesItsOwnTime) {
  uv_loop_t loop;
  mt_boot_clock_init_loop(&loop);
  EXPECT_EQ(mt_boot_clock_now(&loop), uv_now(&loop));
  mt_boot_clock_t clock;
  mt_boot_clock_open(&clock, &loop);
  EXPECT_EQ(mt_boot_clock_now(&loop), uv_now(&loop));
  clock.suspended = 70000;
  EXPECT_EQ(mt_boot_clock_now(&loop), uv_now(&loop) + 70000);
  uv_loop_close(&loop);
}

} // namespace
