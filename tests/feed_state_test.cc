// feed_state_test.cc - what routers know of a feed and tell each other.
#include <gtest/gtest.h>

extern "C" {
#include "feed_state.h"
}

namespace {

TEST(FeedState, WhatAWatcherTells) {
  struct Row {
    const char *what;
    int64_t heard;      // of the last change, from others, before
    int64_t newest, at; // then read from the source, which stood at 100
    bool now, changes;
    mt_feed_news_t news; // due, base, reach
  } rows[] = {
      {"nothing new", 100, 100, 120, true, true, {false, 100, 100}},
      {"a change", 100, 110, 120, true, true, {true, 100, 110}},
      // Routers that the source turns away hear it from nobody else.
      {"a change that others have named",
       110,
       110,
       120,
       true,
       true,
       {true, 100, 110}},
      {"a list from the past", 100, 110, 110, false, true, {false, 0, 0}},
      // What is told of one feed says nothing of the other's changes.
      {"of a feed whose changes are not told",
       100,
       110,
       120,
       true,
       false,
       {true, 0, 0}},
      {"the same, named by others before",
       110,
       110,
       120,
       true,
       false,
       {false, 0, 0}}};
  for (const Row &row : rows) {
    mt_feed_state_t feed{};
    mt_feed_state_read(&feed, 100, 100, 1000, true);
    mt_feed_state_heard(&feed, row.heard, row.heard, 1500);
    mt_feed_news_t news = mt_feed_state_read(&feed, row.newest, row.at,
                                             row.now ? 2000 : 0, row.changes);
    EXPECT_EQ(news.due, row.news.due) << row.what;
    EXPECT_EQ(news.base, row.news.base) << row.what;
    EXPECT_EQ(news.reach, row.news.reach) << row.what;
    EXPECT_EQ(feed.taken, row.at) << row.what;
    EXPECT_EQ(feed.confirmed, row.now ? 2000u : 1500u) << row.what;
  }
}

TEST(FeedState, WhatIsTakenOfIt) {
  struct Row {
    const char *what;
    int64_t base, reach; // told; all up to 100 is known here
    bool all;            // no engine came that is not known here
    int64_t told, taken; // after it
  } rows[] = {{"all that is lacking", 100, 110, true, 110, 110},
              {"more than that", 90, 110, true, 110, 110},
              {"engines came", 100, 110, false, 110, 100},
              {"something is missing in between", 105, 110, true, 100, 100},
              {"it is known", 90, 100, true, 100, 100},
              {"only that there is something", 0, 0, true, 100, 100},
              {"no changes, whatever it reaches", 0, 110, true, 100, 100}};
  for (const Row &row : rows) {
    mt_feed_state_t feed{};
    mt_feed_state_read(&feed, 100, 100, 1000, true);
    if (mt_feed_state_judge(&feed, row.base, row.reach) == MT_FEED_TAKEN)
      mt_feed_state_took(&feed, row.base, row.reach, row.all);
    EXPECT_EQ(feed.told, row.told) << row.what;
    EXPECT_EQ(feed.taken, row.taken) << row.what;
  }
}

} // namespace
