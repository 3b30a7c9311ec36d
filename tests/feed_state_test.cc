// feed_state_test.cc - how far routers know a feed, and what they tell of it.
#include <gtest/gtest.h>

extern "C" {
#include "feed_state.h"
}

namespace {

TEST(FeedState, WhatAReaderTells) {
  struct Row {
    const char *what;
    int64_t heard;      // of the last change, from others, before
    int64_t newest, at; // then read from the source, which stood at 100
    bool now, fresh;
    mt_feed_news_t news; // due, base, reach
  } rows[] = {
      {"nothing new", 90, 90, 120, true, false, {false, 0, 0}},
      {"a change", 90, 110, 120, true, true, {true, 90, 110}},
      // Routers that the source turns away hear it from nobody else.
      {"a change that others have named",
       110,
       110,
       120,
       true,
       true,
       {true, 100, 110}},
      {"one that others have told",
       110,
       110,
       120,
       true,
       false,
       {false, 0, 0}},
      {"a list from the past", 90, 110, 110, false, false, {false, 0, 0}},
      {"one that shows what nobody had told",
       90,
       110,
       110,
       false,
       true,
       {true, 90, 110}},
      {"something went that no change shows",
       90,
       120,
       120,
       true,
       false,
       {true, 90, 120}}};
  for (const Row &row : rows) {
    mt_feed_state_t feed{};
    mt_feed_state_read(&feed, 90, 100, 1000, true);
    mt_feed_state_heard(&feed, row.heard, row.heard, 1500);
    mt_feed_news_t news = mt_feed_state_read(&feed, row.newest, row.at,
                                             row.now ? 2000 : 0, row.fresh);
    EXPECT_EQ(news.due, row.news.due) << row.what;
    if (news.due) {
      EXPECT_EQ(news.base, row.news.base) << row.what;
      EXPECT_EQ(news.reach, row.news.reach) << row.what;
    }
    EXPECT_EQ(feed.taken, row.at) << row.what;
    EXPECT_EQ(feed.told, row.at) << row.what;
    EXPECT_EQ(feed.confirmed, row.now ? 2000u : 1500u) << row.what;
  }
}

// At a start everything is new to the reader, and to nobody else.
TEST(FeedState, TheFirstReadTellsNothing) {
  mt_feed_state_t feed{};
  EXPECT_FALSE(mt_feed_state_read(&feed, 90, 100, 1000, true).due);
}

TEST(FeedState, WhatIsTakenOfNews) {
  struct Row {
    const char *what;
    int64_t base, reach; // told; all up to 100 is known here
    bool all;            // none of it is for the source to tell
    mt_feed_outcome_t outcome;
    int64_t told, taken; // after it
  } rows[] = {
      {"all that is lacking", 100, 110, true, MT_FEED_TAKEN, 110, 110},
      {"more than that", 90, 110, true, MT_FEED_TAKEN, 110, 110},
      {"engines came", 100, 110, false, MT_FEED_TAKEN, 110, 100},
      {"some is missing", 105, 110, true, MT_FEED_GAP, 100, 100},
      {"it is known", 90, 100, true, MT_FEED_KNOWN, 100, 100},
      {"what was before is not said", 0, 110, true, MT_FEED_GAP, 100, 100}};
  for (const Row &row : rows) {
    mt_feed_state_t feed{};
    mt_feed_state_read(&feed, 100, 100, 1000, true);
    mt_feed_outcome_t outcome =
        mt_feed_state_judge(&feed, row.base, row.reach);
    EXPECT_EQ(outcome, row.outcome) << row.what;
    if (outcome == MT_FEED_TAKEN)
      mt_feed_state_took(&feed, row.base, row.reach, row.all);
    EXPECT_EQ(feed.told, row.told) << row.what;
    EXPECT_EQ(feed.taken, row.taken) << row.what;
  }
}

// The source's revision rises with every change anywhere in it. Who has the
// feed's last change has all up to where the source stood.
TEST(FeedState, WhatDidNotChangeIsNotLacking) {
  struct Row {
    const char *what;
    int64_t newest, at; // heard; all up to 100 is known here
    int64_t known;      // after it
    bool lacks;
  } rows[] = {{"nothing changed", 90, 120, 120, false},
              {"something did", 110, 120, 100, true},
              {"an older word", 80, 95, 100, false}};
  for (const Row &row : rows) {
    mt_feed_state_t feed{};
    mt_feed_state_read(&feed, 90, 100, 1000, true);
    mt_feed_state_heard(&feed, row.newest, row.at, 1500);
    EXPECT_EQ(feed.told, row.known) << row.what;
    EXPECT_EQ(feed.taken, row.known) << row.what;
    EXPECT_EQ(mt_feed_state_lacks(&feed), row.lacks) << row.what;
  }
}

} // namespace
