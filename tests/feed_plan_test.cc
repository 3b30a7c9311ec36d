// feed_plan_test.cc - the choice of the next call to the store
#include <gtest/gtest.h>

#include <algorithm>

extern "C" {
#include "feed_plan.h"
}

namespace {

TEST(FeedPlan, NextCall) {
  const mt_ms_t hold = 3000, long_ago = UINT32_MAX;
  struct Row {
    const char *what;
    mt_feed_view_t view; // uptime, has_peers, listed, fresh_only, watches,
                         // behind, only_new, idle, read, age, hold, took,
                         // partial, paged, needed, restored
    mt_feed_call_t call;
    mt_ms_t wait;
  } rows[] = {
      {"the first read is a stale list",
       {0, true, false, false, true, false, false, false, 5000, long_ago,
        hold, 0, false, false, false, false},
       MT_FEED_STALE_LIST,
       0},
      {"without peers it is a current list",
       {0, false, false, false, true, false, false, false, 5000, long_ago,
        hold, 0, false, false, false, false},
       MT_FEED_LIST,
       0},
      {"the history is gone: a current list",
       {90000, true, false, true, true, false, false, false, 5000, 100, hold,
        0, false, false, false, false},
       MT_FEED_LIST,
       0},
      {"no watch before the peers are known",
       {300, true, true, false, true, false, false, false, 5000, long_ago,
        hold, 0, false, false, false, false},
       MT_FEED_NO_CALL,
       0},
      {"without peers there is no such wait",
       {0, false, true, false, true, false, false, false, 5000, long_ago,
        hold, 0, false, false, false, false},
       MT_FEED_WATCH,
       MT_FEED_PROBE_WAIT_MS},
      {"a watcher probes when the store has answered no router yet",
       {500, true, true, false, true, false, false, false, 5000, long_ago,
        hold, 0, false, false, false, false},
       MT_FEED_WATCH,
       MT_FEED_PROBE_WAIT_MS},
      {"a watcher lets the store hold its watch",
       {90000, true, true, false, true, false, false, false, 5000, 100, hold,
        0, false, false, false, false},
       MT_FEED_WATCH,
       hold},
      {"a watcher that lacks a change probes",
       {90000, true, true, false, true, true, false, false, 5000, 100, hold,
        0, false, false, false, false},
       MT_FEED_WATCH,
       MT_FEED_PROBE_WAIT_MS},
      {"not a watcher, lacks nothing: no call",
       {90000, true, true, false, false, false, false, false, 5000, 100, hold,
        0, false, false, false, false},
       MT_FEED_NO_CALL,
       0},
      {"the store is silent and others probe it: no call",
       {90000, true, true, false, false, false, false, false, 5000, 5000,
        hold, 0, false, false, false, false},
       MT_FEED_NO_CALL,
       0},
      {"it has just started: watchers will report",
       {500, true, true, false, false, false, false, false, 5000, long_ago,
        hold, 0, false, false, false, false},
       MT_FEED_NO_CALL,
       0},
      {"the store has answered no router for long: a probe",
       {90000, true, true, false, false, false, false, false, 5000, 10001,
        hold, 0, false, false, false, false},
       MT_FEED_WATCH,
       MT_FEED_PROBE_WAIT_MS},
      {"lacks a change: a stale list first",
       {90000, true, true, false, false, true, false, false, 5000, 100, hold,
        0, false, false, false, false},
       MT_FEED_STALE_LIST,
       0},
      {"the stale list was too old: a probe",
       {90000, true, true, true, false, true, false, false, 5000, 100, hold,
        0, false, false, false, false},
       MT_FEED_WATCH,
       MT_FEED_PROBE_WAIT_MS},
      {"lacks a change: the read waits for more changes",
       {90000, true, true, false, false, true, false, false, 400, 100, hold,
        0, false, false, false, false},
       MT_FEED_NO_CALL,
       0},
      {"what may be an engine that was removed is read soon",
       {90000, true, true, false, false, true, false, false, 500, 100, hold,
        0, false, false, false, false},
       MT_FEED_STALE_LIST,
       0},
      {"added engines can wait",
       {90000, true, true, false, false, true, true, false, 500, 100, hold, 0,
        false, false, false, false},
       MT_FEED_NO_CALL,
       0},
      {"but not forever",
       {90000, true, true, false, false, true, true, false, 2000, 100, hold,
        0, false, false, false, false},
       MT_FEED_STALE_LIST,
       0},
      {"added engines that are needed are read soon",
       {90000, true, true, false, false, true, true, false, 100, 100, hold, 0,
        false, false, true, false},
       MT_FEED_STALE_LIST,
       0},
      {"needed, but the read waits for more changes",
       {90000, true, true, false, false, true, true, false, 99, 100, hold, 0,
        false, false, true, false},
       MT_FEED_NO_CALL,
       0},
      {"needed, but reads take long: one router in ten at a time",
       {90000, true, true, false, false, true, true, false, 800, 100, hold,
        100, false, false, true, false},
       MT_FEED_NO_CALL,
       0},
      {"needed, but no router knows a change",
       {90000, true, true, false, false, false, false, false, 5000, 100, hold,
        0, false, false, true, false},
       MT_FEED_NO_CALL,
       0},
      {"no request has come yet: changes can wait",
       {90000, true, true, false, false, true, false, true, 500, 100, hold, 0,
        false, false, false, false},
       MT_FEED_NO_CALL,
       0},
      {"a stale list was too old: a probe at once",
       {90000, true, true, true, false, true, true, true, 0, 100, hold, 0,
        false, false, false, false},
       MT_FEED_WATCH,
       MT_FEED_PROBE_WAIT_MS},
      {"a watcher waits briefly for more changes",
       {90000, true, true, false, true, false, false, false, 90, 100, hold, 0,
        false, false, false, false},
       MT_FEED_NO_CALL,
       0},
      {"and then watches again",
       {90000, true, true, false, true, false, false, false, 100, 100, hold,
        0, false, false, false, false},
       MT_FEED_WATCH,
       hold},
      {"a list of several pages is not read stale",
       {90000, true, true, false, false, true, false, false, 5000, 100, hold,
        0, false, true, false, false},
       MT_FEED_WATCH,
       MT_FEED_PROBE_WAIT_MS},
      {"added engines, and reads take long: one router in ten at a time",
       {90000, true, true, false, false, true, true, false, 2000, 100, hold,
        300, false, true, false, false},
       MT_FEED_NO_CALL,
       0},
      {"nine times the duration of the read later",
       {90000, true, true, false, false, true, true, false, 2700, 100, hold,
        300, false, true, false, false},
       MT_FEED_WATCH,
       MT_FEED_PROBE_WAIT_MS},
      {"after 5 s at the latest",
       {90000, true, true, false, false, true, true, false, 5000, 100, hold,
        4000, false, true, false, false},
       MT_FEED_WATCH,
       MT_FEED_PROBE_WAIT_MS},
      {"a read that lacked known changes is repeated sooner",
       {90000, true, true, false, false, true, true, true, 450, 100, hold, 50,
        true, true, false, false},
       MT_FEED_WATCH,
       MT_FEED_PROBE_WAIT_MS},
      {"what may be a removed engine is read, however long reads take",
       {90000, true, true, false, false, true, false, false, 500, 100, hold,
        400, true, true, false, false},
       MT_FEED_WATCH,
       MT_FEED_PROBE_WAIT_MS},
      {"after a restore: a current list, since a stale one may show what was lost",
       {90000, true, false, false, false, true, false, false, 5000, 100, hold,
        0, false, false, false, true},
       MT_FEED_LIST,
       0},
      {"after a restore changes are read by a probe",
       {90000, true, true, false, false, true, false, false, 5000, 100, hold,
        0, false, false, false, true},
       MT_FEED_WATCH,
       MT_FEED_PROBE_WAIT_MS},
  };
  for (const Row &row : rows) {
    mt_feed_plan_t plan = mt_feed_plan(&row.view);
    EXPECT_EQ(plan.call, row.call) << row.what;
    EXPECT_EQ(plan.wait, row.wait) << row.what;
  }
}

// The delay between pages is nine times the read's duration, up to 5 s, so
// that a tenth of many routers read at once. Watchers do not wait.
TEST(FeedPlan, DelayBetweenPages) {
  struct Row {
    bool watches;
    mt_ms_t took, delay;
  } rows[] = {{true, 0, 0},   {true, 1200, 0},    {false, 0, 0},
              {false, 5, 45}, {false, 120, 1080}, {false, 9000, 5000}};
  for (const Row &row : rows) {
    mt_feed_view_t view{};
    view.watches = row.watches;
    view.took = row.took;
    EXPECT_EQ(mt_feed_plan_page_delay(&view), row.delay) << row.took;
  }
}

TEST(FeedPlan, WatchHoldKeepsTheBounds) {
  struct Row {
    mt_feed_bounds_t bounds; // contact, apply
    bool leads;
    mt_ms_t hold;
  } rows[] = {
      {{3000, 2000}, false, 1800},  {{3000, 2000}, true, 1350},
      {{4000, 3000}, true, 2350},   {{5000, 4000}, true, 3350},
      {{5000, 2000}, true, 2000}, // a watch may end just before the change
      {{60000, 60000}, true, 4000}, {{1000, 4000}, true, 500}};
  for (const Row &row : rows)
    EXPECT_EQ(mt_feed_plan_hold(&row.bounds, row.leads), row.hold)
        << row.bounds.contact << " " << row.bounds.apply << " " << row.leads;
}

} // namespace
