// feed_plan_test.cc - which call to the store comes next: a table of views.
#include <gtest/gtest.h>

#include <algorithm>

extern "C" {
#include "feed_plan.h"
}

namespace {

TEST(FeedPlan, WhichCallComesNext) {
  const mt_ms_t hold = 3000, long_ago = UINT32_MAX;
  struct Row {
    const char *what;
    mt_feed_view_t view; // running, others, listed, settled, watches, behind,
                         // only_new, idle, read, age, hold, took, partial,
                         // paged, needed, restored
    mt_feed_call_t call;
    mt_ms_t wait;
  } rows[] = {
      {"a start reads what was true some seconds ago",
       {0, true, false, false, true, false, false, false, 5000, long_ago,
        hold, 0, false, false, false, false},
       MT_FEED_OLD_LIST,
       0},
      {"alone it reads what is true now",
       {0, false, false, false, true, false, false, false, 5000, long_ago,
        hold, 0, false, false, false, false},
       MT_FEED_LIST,
       0},
      {"history is gone: what is true now",
       {90000, true, false, true, true, false, false, false, 5000, 100, hold,
        0, false, false, false, false},
       MT_FEED_LIST,
       0},
      {"nobody watches before it has met the others",
       {300, true, true, false, true, false, false, false, 5000, long_ago,
        hold, 0, false, false, false, false},
       MT_FEED_NO_CALL,
       0},
      {"where there are no others it need not wait",
       {0, false, true, false, true, false, false, false, 5000, long_ago,
        hold, 0, false, false, false, false},
       MT_FEED_WATCH,
       MT_FEED_PROBE_MS},
      {"a watcher that nobody has told anything asks at once",
       {500, true, true, false, true, false, false, false, 5000, long_ago,
        hold, 0, false, false, false, false},
       MT_FEED_WATCH,
       MT_FEED_PROBE_MS},
      {"a watcher waits",
       {90000, true, true, false, true, false, false, false, 5000, 100, hold,
        0, false, false, false, false},
       MT_FEED_WATCH,
       hold},
      {"a watcher that is behind is told at once, or notices that it is not",
       {90000, true, true, false, true, true, false, false, 5000, 100, hold,
        0, false, false, false, false},
       MT_FEED_WATCH,
       MT_FEED_PROBE_MS},
      {"who is not a watcher and lacks nothing rests",
       {90000, true, true, false, false, false, false, false, 5000, 100, hold,
        0, false, false, false, false},
       MT_FEED_NO_CALL,
       0},
      {"the store is silent and others try: it rests",
       {90000, true, true, false, false, false, false, false, 5000, 5000,
        hold, 0, false, false, false, false},
       MT_FEED_NO_CALL,
       0},
      {"it has just started: watchers will tell",
       {500, true, true, false, false, false, false, false, 5000, long_ago,
        hold, 0, false, false, false, false},
       MT_FEED_NO_CALL,
       0},
      {"nobody has got through for long: it tries",
       {90000, true, true, false, false, false, false, false, 5000, 10001,
        hold, 0, false, false, false, false},
       MT_FEED_WATCH,
       MT_FEED_PROBE_MS},
      {"who lacks a change reads cheaply first",
       {90000, true, true, false, false, true, false, false, 5000, 100, hold,
        0, false, false, false, false},
       MT_FEED_OLD_LIST,
       0},
      {"then what is true now",
       {90000, true, true, true, false, true, false, false, 5000, 100, hold,
        0, false, false, false, false},
       MT_FEED_WATCH,
       MT_FEED_PROBE_MS},
      {"a little later, with what else has come",
       {90000, true, true, false, false, true, false, false, 400, 100, hold,
        0, false, false, false, false},
       MT_FEED_NO_CALL,
       0},
      {"what may be an engine that left is read soon",
       {90000, true, true, false, false, true, false, false, 500, 100, hold,
        0, false, false, false, false},
       MT_FEED_OLD_LIST,
       0},
      {"engines that have come can wait",
       {90000, true, true, false, false, true, true, false, 500, 100, hold, 0,
        false, false, false, false},
       MT_FEED_NO_CALL,
       0},
      {"but not for ever",
       {90000, true, true, false, false, true, true, false, 2000, 100, hold,
        0, false, false, false, false},
       MT_FEED_OLD_LIST,
       0},
      {"what has come is needed: soon",
       {90000, true, true, false, false, true, true, false, 100, 100, hold, 0,
        false, false, true, false},
       MT_FEED_OLD_LIST,
       0},
      {"but with what else has come",
       {90000, true, true, false, false, true, true, false, 99, 100, hold, 0,
        false, false, true, false},
       MT_FEED_NO_CALL,
       0},
      {"and in turns where reads take long",
       {90000, true, true, false, false, true, true, false, 800, 100, hold,
        100, false, false, true, false},
       MT_FEED_NO_CALL,
       0},
      {"needed, and nobody knows of any",
       {90000, true, true, false, false, false, false, false, 5000, 100, hold,
        0, false, false, true, false},
       MT_FEED_NO_CALL,
       0},
      {"nobody needs any yet",
       {90000, true, true, false, false, true, false, true, 500, 100, hold, 0,
        false, false, false, false},
       MT_FEED_NO_CALL,
       0},
      {"a list from the past was too old: at once",
       {90000, true, true, true, false, true, true, true, 0, 100, hold, 0,
        false, false, false, false},
       MT_FEED_WATCH,
       MT_FEED_PROBE_MS},
      {"a watcher lets changes gather a little",
       {90000, true, true, false, true, false, false, false, 90, 100, hold, 0,
        false, false, false, false},
       MT_FEED_NO_CALL,
       0},
      {"and then waits for more",
       {90000, true, true, false, true, false, false, false, 100, 100, hold,
        0, false, false, false, false},
       MT_FEED_WATCH,
       hold},
      {"a list of several pages is not read from the past",
       {90000, true, true, false, false, true, false, false, 5000, 100, hold,
        0, false, true, false, false},
       MT_FEED_WATCH,
       MT_FEED_PROBE_MS},
      {"what engines have come is read by turns where reads take long",
       {90000, true, true, false, false, true, true, false, 2000, 100, hold,
        300, false, true, false, false},
       MT_FEED_NO_CALL,
       0},
      {"a tenth of the time at most",
       {90000, true, true, false, false, true, true, false, 2700, 100, hold,
        300, false, true, false, false},
       MT_FEED_WATCH,
       MT_FEED_PROBE_MS},
      {"but it is read some time",
       {90000, true, true, false, false, true, true, false, 5000, 100, hold,
        4000, false, true, false, false},
       MT_FEED_WATCH,
       MT_FEED_PROBE_MS},
      {"what did not fit into one answer is read on sooner",
       {90000, true, true, false, false, true, true, true, 450, 100, hold, 50,
        true, true, false, false},
       MT_FEED_WATCH,
       MT_FEED_PROBE_MS},
      {"what may have ended is read at once, however long that takes",
       {90000, true, true, false, false, true, false, false, 500, 100, hold,
        400, true, true, false, false},
       MT_FEED_WATCH,
       MT_FEED_PROBE_MS},
      {"behind a restore the past may show what was lost",
       {90000, true, false, false, false, true, false, false, 5000, 100, hold,
        0, false, false, false, true},
       MT_FEED_LIST,
       0},
      {"then changes are read as of now",
       {90000, true, true, false, false, true, false, false, 5000, 100, hold,
        0, false, false, false, true},
       MT_FEED_WATCH,
       MT_FEED_PROBE_MS},
  };
  for (const Row &row : rows) {
    mt_feed_plan_t plan = mt_feed_plan(&row.view);
    EXPECT_EQ(plan.call, row.call) << row.what;
    EXPECT_EQ(plan.wait, row.wait) << row.what;
  }
}

// Many that read all at once rest so long that a tenth of them reads; who
// watches for others does not.
TEST(FeedPlan, PagesAreReadByTurns) {
  struct Row {
    bool watches;
    mt_ms_t took, rest;
  } rows[] = {{true, 0, 0},   {true, 1200, 0},    {false, 0, 0},
              {false, 5, 45}, {false, 120, 1080}, {false, 9000, 5000}};
  for (const Row &row : rows) {
    mt_feed_view_t view{};
    view.watches = row.watches;
    view.took = row.took;
    EXPECT_EQ(mt_feed_plan_between_pages(&view), row.rest) << row.took;
  }
}

TEST(FeedPlan, AWatchEndsWithinTheBounds) {
  struct Row {
    mt_feed_bounds_t bounds; // contact, apply
    bool leads;
    mt_ms_t hold;
  } rows[] = {
      {{3000, 2000}, false, 1800},  {{3000, 2000}, true, 1350},
      {{4000, 3000}, true, 2350},   {{5000, 4000}, true, 3350},
      {{5000, 2000}, true, 2000}, // a watch may end just before its change
      {{60000, 60000}, true, 4000}, {{1000, 4000}, true, 500}};
  for (const Row &row : rows)
    EXPECT_EQ(mt_feed_plan_hold(&row.bounds, row.leads), row.hold)
        << row.bounds.contact << " " << row.bounds.apply << " " << row.leads;
}

} // namespace
