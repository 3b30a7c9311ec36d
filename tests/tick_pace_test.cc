// tick_pace_test.cc - how often a gateway looks at what time has done.
#include <gtest/gtest.h>

extern "C" {
#include "tick_pace.h"
}

namespace {

TEST(TickPace, IsShortWhileSomethingWaits) {
  struct Row {
    const char *what;
    mt_tick_view_t view; // running, quiet, stopping
    mt_ms_t pace;
  } rows[] = {{"it has just started", {100, 100, false}, MT_TICK_BUSY_MS},
              {"routers get to know each other", {3000, 3000, false}, 25},
              {"a request is in progress", {90000, 0, false}, 25},
              {"one has just ended", {90000, 250, false}, 25},
              {"there are none", {90000, 251, false}, MT_TICK_IDLE_MS},
              {"it is to stop", {90000, 9000, true}, 25}};
  for (const Row &row : rows)
    EXPECT_EQ(mt_tick_pace(&row.view), row.pace) << row.what;
}

} // namespace
