// tick_interval_test.cc - interval of the gateway's periodic tick.
#include <gtest/gtest.h>

extern "C" {
#include "tick_interval.h"
}

namespace {

TEST(TickInterval, IsShortWhileWorkIsPending) {
  struct Row {
    const char *what;
    mt_tick_state_t state; // running, quiet, stopping
    mt_ms_t interval;
  } rows[] = {{"just started", {100, 100, false}, MT_TICK_BUSY_MS},
              {"end of the start-up phase", {3000, 3000, false}, 25},
              {"a request is in progress", {90000, 0, false}, 25},
              {"a request has just ended", {90000, 250, false}, 25},
              {"idle", {90000, 251, false}, MT_TICK_IDLE_MS},
              {"stopping", {90000, 9000, true}, 25}};
  for (const Row &row : rows)
    EXPECT_EQ(mt_tick_interval(&row.state), row.interval) << row.what;
}

} // namespace
