// feed_state_test.cc - known revisions of a feed, and which updates are due.
#include <gtest/gtest.h>

#include <algorithm>

extern "C" {
#include "feed_state.h"
}

namespace {

TEST(FeedState, SourceReadsGiveUpdates) {
  struct Row {
    const char *what;
    int64_t reported;      // last change as reported by peers before the read
    int64_t newest, at;    // as then read from the source; 100 was known
    bool now, unannounced; // current; with changes that no peer has sent
    mt_feed_update_t update; // due, base, reach
  } rows[] = {{"no change", 90, 90, 120, true, false, {false, 0, 0}},
              {"a change", 90, 110, 120, true, true, {true, 90, 110}},
              // Peers know its revision only: routers that the source rejects
              // may still need the change.
              {"a change that peers have announced",
               110,
               110,
               120,
               true,
               true,
               {true, 100, 110}},
              {"a change that peers have sent",
               110,
               110,
               120,
               true,
               false,
               {false, 0, 0}},
              {"a stale list", 90, 110, 110, false, false, {false, 0, 0}},
              {"a stale list with a new change",
               90,
               110,
               110,
               false,
               true,
               {true, 90, 110}},
              {"a removal that no change shows",
               90,
               120,
               120,
               true,
               false,
               {true, 90, 120}}};
  for (const Row &row : rows) {
    mt_feed_state_t feed = MT_FEED_STATE_UNREAD;
    mt_feed_state_read(&feed, 90, 100, 1000, true);
    mt_feed_state_merge(&feed, row.reported, row.reported, 1500);
    mt_feed_update_t update = mt_feed_state_read(
        &feed, row.newest, row.at, row.now ? 2000 : 0, row.unannounced);
    EXPECT_EQ(update.due, row.update.due) << row.what;
    if (update.due) {
      EXPECT_EQ(update.base, row.update.base) << row.what;
      EXPECT_EQ(update.reach, row.update.reach) << row.what;
    }
    EXPECT_EQ(feed.applied, row.at) << row.what;
    EXPECT_EQ(feed.received, row.at) << row.what;
    EXPECT_EQ(feed.confirmed, row.now ? 2000u : 1500u) << row.what;
    EXPECT_EQ(feed.newest, std::max(row.reported, row.newest)) << row.what;
  }
}

// After a start everything is new to this router, but not to others.
TEST(FeedState, TheFirstReadGivesNoUpdate) {
  mt_feed_state_t feed = MT_FEED_STATE_UNREAD;
  EXPECT_FALSE(mt_feed_state_read(&feed, 90, 100, 1000, true).due);
}

TEST(FeedState, ClassifiesAndAppliesSpans) {
  struct Row {
    const char *what;
    int64_t base, reach; // received; all up to 100 is known here
    bool all;            // nothing of it is left to read at the source
    mt_feed_outcome_t outcome;
    int64_t received, applied; // after it
  } rows[] = {
      {"exactly what is missing", 100, 110, true, MT_FEED_APPLIED, 110, 110},
      {"more than that", 90, 110, true, MT_FEED_APPLIED, 110, 110},
      {"with new engines", 100, 110, false, MT_FEED_APPLIED, 110, 100},
      {"leaves a gap", 105, 110, true, MT_FEED_GAP, 100, 100},
      {"known already", 90, 100, true, MT_FEED_KNOWN, 100, 100},
      {"without a base", MT_REVISION_NONE, 110, true, MT_FEED_GAP, 100, 100},
      {"all changes of the source", 0, 110, true, MT_FEED_APPLIED, 110, 110}};
  for (const Row &row : rows) {
    mt_feed_state_t feed = MT_FEED_STATE_UNREAD;
    mt_feed_state_read(&feed, 100, 100, 1000, true);
    mt_feed_outcome_t outcome =
        mt_feed_state_classify(&feed, row.base, row.reach);
    EXPECT_EQ(outcome, row.outcome) << row.what;
    if (outcome == MT_FEED_APPLIED)
      mt_feed_state_apply(&feed, row.base, row.reach, row.all);
    EXPECT_EQ(feed.received, row.received) << row.what;
    EXPECT_EQ(feed.applied, row.applied) << row.what;
  }
}

// The source's revision also rises with changes of other keys. A router that
// has the feed's last change is not behind.
TEST(FeedState, AHigherSourceRevisionAloneIsNoGap) {
  struct Row {
    const char *what;
    int64_t newest, at; // received; all up to 100 is known here
    int64_t known;      // after it
    bool behind;
  } rows[] = {{"no change of this feed", 90, 120, 120, false},
              {"a change of this feed", 110, 120, 100, true},
              {"an older report", 80, 95, 100, false}};
  for (const Row &row : rows) {
    mt_feed_state_t feed = MT_FEED_STATE_UNREAD;
    mt_feed_state_read(&feed, 90, 100, 1000, true);
    mt_feed_state_merge(&feed, row.newest, row.at, 1500);
    EXPECT_EQ(feed.received, row.known) << row.what;
    EXPECT_EQ(feed.applied, row.known) << row.what;
    EXPECT_EQ(mt_feed_state_is_behind(&feed), row.behind) << row.what;
  }
}

} // namespace
