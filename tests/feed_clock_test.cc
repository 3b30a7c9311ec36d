// feed_clock_test.cc - when calls to the store are given up, against a store
// that is away for a while, with a clock by hand.
#include <gtest/gtest.h>

#include <algorithm>
#include <utility>

extern "C" {
#include "feed_plan.h"
}

namespace {

TEST(FeedClock, WhatToThinkOfACallUnderWay) {
  struct Row {
    const char *what;
    mt_ms_t asked, wait;
    mt_feed_signs_t signs; // read, failed, answered, behind
    mt_feed_verdict_t verdict;
    mt_ms_t heard = 0;
  } rows[] = {
      {"a watch that is held",
       1000,
       1800,
       {2700, 0, 900, 0},
       MT_FEED_WAITING},
      {"longer than the store may hold it, and an answer's time",
       1000,
       1800,
       {4001, 0, 900, 0},
       MT_FEED_SILENT},
      {"what came meanwhile is not read yet",
       1000,
       1800,
       {3900, 0, 900, 0},
       MT_FEED_WAITING},
      {"another call failed, none was answered since",
       1000,
       1800,
       {2000, 1500, 900, 0},
       MT_FEED_WAITING},
      {"another failed and the store is back",
       1000,
       1800,
       {2000, 1500, 1600, 0},
       MT_FEED_OVERTAKEN},
      {"the trouble was before this call",
       1000,
       1800,
       {2000, 900, 1600, 0},
       MT_FEED_WAITING},
      {"others have just heard of a change",
       1000,
       1800,
       {2000, 0, 900, 1800},
       MT_FEED_WAITING},
      {"others know of it for long, this call did not tell",
       1000,
       1800,
       {2200, 0, 900, 1800},
       MT_FEED_OVERTAKEN},
      {"this call was made because others know",
       1800,
       1800,
       {2000, 0, 900, 1000},
       MT_FEED_WAITING},
      {"a probe has its answer's time, whatever others know",
       1000,
       MT_FEED_PROBE_MS,
       {2000, 0, 900, 500},
       MT_FEED_WAITING},
      {"a list likewise", 1000, 0, {2201, 0, 900, 0}, MT_FEED_SILENT},
      {"a long answer that is on its way",
       1000,
       0,
       {3000, 0, 900, 0},
       MT_FEED_WAITING,
       1900},
      {"a long answer that has stopped",
       1000,
       0,
       {3101, 0, 900, 0},
       MT_FEED_SILENT,
       1900},
  };
  for (const Row &row : rows) {
    mt_feed_clock_t clock{};
    clock.asked = row.asked;
    clock.wait = row.wait;
    clock.heard = row.heard;
    EXPECT_EQ(mt_feed_clock_judge(&clock, &row.signs), row.verdict)
        << row.what;
  }
}

TEST(FeedClock, PausesGrowAndEnd) {
  mt_feed_clock_t clock{};
  mt_ms_t now = 100000, pauses[] = {100, 200, 400, 800, 800};
  for (mt_ms_t pause : pauses) {
    mt_feed_clock_failed(&clock, now, MT_FEED_RETRY_MAX_MS);
    EXPECT_EQ(clock.not_before, now + pause);
    EXPECT_FALSE(mt_feed_clock_may_ask(&clock, now + pause - 1, false));
    EXPECT_TRUE(mt_feed_clock_may_ask(&clock, now + pause, false));
    EXPECT_EQ(mt_feed_clock_wait(&clock, 1800), (mt_ms_t)MT_FEED_PROBE_MS);
    now += pause + MT_FEED_ANSWER_MS;
  }
  mt_feed_clock_answered(&clock);
  EXPECT_EQ(mt_feed_clock_wait(&clock, 1800), 1800u);
  // A failure long after another is a first one, news end a long pause.
  mt_feed_clock_failed(&clock, now, MT_FEED_RETRY_LONG_MS);
  now += 60000;
  mt_feed_clock_failed(&clock, now, MT_FEED_RETRY_LONG_MS);
  EXPECT_EQ(clock.pause, (mt_ms_t)MT_FEED_RETRY_MS);
  for (int i = 0; i < 8; i++)
    mt_feed_clock_failed(&clock, now, MT_FEED_RETRY_LONG_MS);
  EXPECT_FALSE(
      mt_feed_clock_may_ask(&clock, now + MT_FEED_RETRY_MAX_MS, false));
  EXPECT_TRUE(
      mt_feed_clock_may_ask(&clock, now + MT_FEED_RETRY_MAX_MS, true));
}

// A router with two feeds and a store that is away from `from` to `to`: what
// is sent, held or due then is lost without a word.
struct Outage {
  static constexpr mt_ms_t tick = 50, trip = 10;
  mt_ms_t hold;              // of a watch
  mt_ms_t from, to, changed; // a new version is there from then on
  struct Feed {
    mt_feed_clock_t clock{};
    bool under_way = false;
  } feeds[2];
  mt_ms_t failed = 0, answered = 0, in_force = 0;

  bool lost (mt_ms_t sent, mt_ms_t due) const {
    return sent < to && due >= from;
  }
  void end (Feed &f, mt_ms_t at, bool has_change) {
    f.under_way = false;
    mt_feed_clock_answered(&f.clock);
    answered = at;
    if (has_change && in_force == 0) in_force = at;
  }
  void step (Feed &f, bool declarations, mt_ms_t now) {
    mt_ms_t sent = f.clock.asked;
    mt_ms_t due = sent + f.clock.wait + trip;
    bool change = declarations && changed <= due;
    if (change) due = std::max(changed, sent) + trip;
    if (f.under_way && now >= due && !lost(sent, due)) end(f, now, change);
    mt_feed_signs_t signs = {now, failed, answered, 0};
    mt_feed_verdict_t verdict =
        f.under_way ? mt_feed_clock_judge(&f.clock, &signs) : MT_FEED_WAITING;
    if (verdict != MT_FEED_WAITING) f.under_way = false;
    if (verdict == MT_FEED_SILENT) {
      failed = now;
      mt_feed_clock_failed(&f.clock, now, MT_FEED_RETRY_MAX_MS);
    }
    if (f.under_way || !mt_feed_clock_may_ask(&f.clock, now, false)) return;
    f.clock.wait = mt_feed_clock_wait(&f.clock, hold);
    f.clock.asked = now;
    f.under_way = true;
  }
  // When the version is in force, for watches that began at these times.
  mt_ms_t play (mt_ms_t first, mt_ms_t second) {
    const mt_ms_t begun[] = {first, second};
    for (int i = 0; i < 2; i++) {
      feeds[i].clock.asked = begun[i];
      feeds[i].clock.wait = hold;
      feeds[i].under_way = true;
    }
    mt_ms_t now = std::max(first, second);
    for (; in_force == 0 && now < to + 60000; now += tick)
      for (int i = 0; i < 2; i++) step(feeds[i], i == 0, now);
    return in_force;
  }
};

// The promise: `apply` after the store acknowledged a version, or `contact`
// after its trouble ended, it is in force, whenever the watches were sent,
// however long the trouble was, and wherever the version fell. Where others
// hear of it from a watcher, it knows `tell` ms earlier.
TEST(FeedClock, AVersionIsInForceInTimeBehindAnyOutage) {
  struct Row {
    mt_feed_bounds_t bounds;
    bool leads;
    mt_ms_t tell;
  } rows[] = {{{3000, 2000}, false, 0},
              {{3000, 2000}, true, 300},
              {{4000, 3000}, true, 300},
              {{5000, 4000}, false, 0},
              {{5000, 4000}, true, 300}};
  const mt_ms_t from = 100000;
  for (const Row &row : rows) {
    mt_ms_t worst = 0, hold = mt_feed_plan_hold(&row.bounds, row.leads);
    for (mt_ms_t first = 50; first <= hold; first += 125)
      for (mt_ms_t second = 50; second <= hold; second += 125)
        for (mt_ms_t length = 500; length <= 9000; length += 350)
          for (mt_ms_t after = 0; after <= 3000; after += 300) {
            Outage o{};
            o.hold = hold;
            o.from = from;
            o.to = from + length;
            o.changed = o.to + after;
            mt_ms_t at = o.play(from - first, from - second) + row.tell;
            mt_ms_t bound = std::max(o.changed + row.bounds.apply,
                                     o.to + row.bounds.contact);
            ASSERT_LE(at, bound)
                << "watches " << first << " and " << second << " ms old, "
                << length << " ms away, version " << after
                << " ms after that, hold " << hold;
            worst = std::max(worst, at > o.to ? at - o.to : 0);
          }
    RecordProperty("worst_ms_after_the_outage", (int)worst);
  }
}

} // namespace
