// feed_timing_test.cc - timeouts and backoff of calls to the store, in
// simulated time, with a store that is unreachable for a while.
#include <gtest/gtest.h>

#include <algorithm>
#include <utility>

extern "C" {
#include "feed_plan.h"
}

namespace {

TEST(FeedTiming, StatusOfACallInProgress) {
  struct Row {
    const char *what;
    mt_ms_t started, wait;
    mt_feed_health_t health; // read, failed, answered, behind
    mt_feed_call_status_t status;
    mt_ms_t received = 0, begun = 0;
  } rows[] = {
      {"a watch within its hold",
       1000,
       1800,
       {2700, 0, 900, 0},
       MT_FEED_CALL_PENDING},
      {"a watch beyond its hold and the response timeout",
       1000,
       1800,
       {4001, 0, 900, 0},
       MT_FEED_CALL_TIMED_OUT},
      {"data that came meanwhile is not processed yet",
       1000,
       1800,
       {3900, 0, 900, 0},
       MT_FEED_CALL_PENDING},
      {"another call failed, none was answered since",
       1000,
       1800,
       {2000, 1500, 900, 0},
       MT_FEED_CALL_PENDING},
      {"another call failed, and a later one was answered",
       1000,
       1800,
       {2000, 1500, 1600, 0},
       MT_FEED_CALL_LOST},
      {"the failure was before this call",
       1000,
       1800,
       {2000, 900, 1600, 0},
       MT_FEED_CALL_PENDING},
      {"others have just learned of a change",
       1000,
       1800,
       {2000, 0, 900, 1800},
       MT_FEED_CALL_PENDING},
      {"others have known a change for long, this watch did not report it",
       1000,
       1800,
       {2200, 0, 900, 1800},
       MT_FEED_CALL_LOST},
      {"this call started after others knew the change",
       1800,
       1800,
       {2000, 0, 900, 1000},
       MT_FEED_CALL_PENDING},
      {"a probe gets the response timeout, whatever others know",
       1000,
       MT_FEED_PROBE_WAIT_MS,
       {2000, 0, 900, 500},
       MT_FEED_CALL_PENDING},
      {"a list beyond the response timeout",
       1000,
       0,
       {2201, 0, 900, 0},
       MT_FEED_CALL_TIMED_OUT},
      {"a long response that is arriving",
       1000,
       0,
       {3000, 0, 900, 0},
       MT_FEED_CALL_PENDING,
       1900},
      {"a long response that has stopped",
       1000,
       0,
       {3101, 0, 900, 0},
       MT_FEED_CALL_TIMED_OUT,
       1900},
      {"a response that has been arriving for 5 s",
       1000,
       0,
       {6100, 0, 900, 0},
       MT_FEED_CALL_PENDING,
       6000,
       1100},
      {"a response that arrives without end",
       1000,
       0,
       {6101, 0, 900, 0},
       MT_FEED_CALL_TIMED_OUT,
       6000,
       1100},
  };
  for (const Row &row : rows) {
    mt_feed_timing_t timing{};
    timing.started = row.started;
    timing.wait = row.wait;
    timing.received = row.received;
    timing.begun = row.begun;
    EXPECT_EQ(mt_feed_timing_check(&timing, &row.health), row.status)
        << row.what;
  }
}

TEST(FeedTiming, BackoffGrowsAndEnds) {
  mt_feed_timing_t timing{};
  mt_ms_t now = 100000, pauses[] = {100, 200, 400, 800, 800};
  for (mt_ms_t backoff : pauses) {
    mt_feed_timing_failed(&timing, now, MT_FEED_BACKOFF_MAX_MS);
    EXPECT_EQ(timing.not_before, now + backoff);
    EXPECT_FALSE(mt_feed_timing_may_call(&timing, now + backoff - 1, false));
    EXPECT_TRUE(mt_feed_timing_may_call(&timing, now + backoff, false));
    EXPECT_EQ(mt_feed_timing_watch_wait(&timing, 1800),
              (mt_ms_t)MT_FEED_PROBE_WAIT_MS);
    now += backoff + MT_FEED_RESPONSE_TIMEOUT_MS;
  }
  mt_feed_timing_answered(&timing);
  EXPECT_EQ(mt_feed_timing_watch_wait(&timing, 1800), 1800u);
  // A failure long after another starts a new backoff. A known change ends a
  // long backoff.
  mt_feed_timing_failed(&timing, now, MT_FEED_BACKOFF_LONG_MS);
  now += 60000;
  mt_feed_timing_failed(&timing, now, MT_FEED_BACKOFF_LONG_MS);
  EXPECT_EQ(timing.backoff, (mt_ms_t)MT_FEED_BACKOFF_MIN_MS);
  for (int i = 0; i < 8; i++)
    mt_feed_timing_failed(&timing, now, MT_FEED_BACKOFF_LONG_MS);
  EXPECT_FALSE(
      mt_feed_timing_may_call(&timing, now + MT_FEED_BACKOFF_MAX_MS, false));
  EXPECT_TRUE(
      mt_feed_timing_may_call(&timing, now + MT_FEED_BACKOFF_MAX_MS, true));
}

// A router with two feeds and a store that is unreachable from `from` to
// `to`: a call that is sent, held or due then is never answered.
struct Outage {
  static constexpr mt_ms_t tick = 50, round_trip = 10;
  mt_ms_t hold;              // of a watch
  mt_ms_t from, to, changed; // when a new version was written
  struct Feed {
    mt_feed_timing_t timing{};
    bool in_progress = false;
  } feeds[2];
  mt_ms_t failed = 0, answered = 0, in_force = 0;

  bool lost (mt_ms_t sent, mt_ms_t due) const {
    return sent < to && due >= from;
  }
  void end (Feed &f, mt_ms_t at, bool has_change) {
    f.in_progress = false;
    mt_feed_timing_answered(&f.timing);
    answered = at;
    if (has_change && in_force == 0) in_force = at;
  }
  void step (Feed &f, bool declarations, mt_ms_t now) {
    mt_ms_t sent = f.timing.started;
    mt_ms_t due = sent + f.timing.wait + round_trip;
    bool change = declarations && changed <= due;
    if (change) due = std::max(changed, sent) + round_trip;
    if (f.in_progress && now >= due && !lost(sent, due)) end(f, now, change);
    mt_feed_health_t health = {now, failed, answered, 0};
    mt_feed_call_status_t status =
        f.in_progress ? mt_feed_timing_check(&f.timing, &health)
                      : MT_FEED_CALL_PENDING;
    if (status != MT_FEED_CALL_PENDING) f.in_progress = false;
    if (status == MT_FEED_CALL_TIMED_OUT) {
      failed = now;
      mt_feed_timing_failed(&f.timing, now, MT_FEED_BACKOFF_MAX_MS);
    }
    if (f.in_progress || !mt_feed_timing_may_call(&f.timing, now, false))
      return;
    f.timing.wait = mt_feed_timing_watch_wait(&f.timing, hold);
    f.timing.started = now;
    f.in_progress = true;
  }
  // When the version is in force, for watches that started at these times.
  mt_ms_t run (mt_ms_t first, mt_ms_t second) {
    const mt_ms_t starts[] = {first, second};
    for (int i = 0; i < 2; i++) {
      feeds[i].timing.started = starts[i];
      feeds[i].timing.wait = hold;
      feeds[i].in_progress = true;
    }
    mt_ms_t now = std::max(first, second);
    for (; in_force == 0 && now < to + 60000; now += tick)
      for (int i = 0; i < 2; i++) step(feeds[i], i == 0, now);
    return in_force;
  }
};

// A version is in force at most `apply` after the store acknowledged it, or
// `contact` after the outage ended, whenever the watches were sent, however
// long the outage was, and whenever the version was written. Where others
// learn of it from a watcher, that one knows it `propagation` ms earlier.
TEST(FeedTiming, AVersionIsInForceInTimeAfterAnyOutage) {
  struct Row {
    mt_feed_bounds_t bounds;
    bool leads;
    mt_ms_t propagation;
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
            mt_ms_t at = o.run(from - first, from - second) + row.propagation;
            mt_ms_t bound = std::max(o.changed + row.bounds.apply,
                                     o.to + row.bounds.contact);
            ASSERT_LE(at, bound)
                << "watches " << first << " and " << second << " ms old, "
                << length << " ms of outage, version " << after
                << " ms after that, hold " << hold;
            worst = std::max(worst, at > o.to ? at - o.to : 0);
          }
    RecordProperty("worst_ms_after_the_outage", (int)worst);
  }
}

} // namespace
