// revision_test.cc - revisions of a source that is restored from backups
#include <gtest/gtest.h>

#include <memory>
#include <string>

extern "C" {
#include "feed_state.h"
#include "peer_message.h"
#include "revision.h"
}

namespace {

TEST(Revision, LaterEraIsNewer) {
  struct Row {
    int64_t era, count;
    const char *text;
  } rows[] = {{0, 0, "0"},
              {0, 1, "1"},
              {0, MT_REVISION_COUNT_MAX, "1099511627775"},
              {1, 0, "1/0"},
              {1, 7, "1/7"},
              {2, 3, "2/3"},
              {MT_REVISION_ERA_MAX, 0, "8388607/0"}};
  mt_revision_t last = -1;
  for (const Row &row : rows) {
    char text[MT_REVISION_TEXT_SIZE];
    mt_revision_t rev = mt_revision(row.era, row.count);
    EXPECT_GT(rev, last) << row.text;
    EXPECT_EQ(mt_revision_era(rev), row.era);
    EXPECT_EQ(mt_revision_count(rev), row.count);
    EXPECT_STREQ(mt_revision_text(rev, text), row.text);
    last = rev;
  }
}

TEST(Revision, OutOfRangeValuesAreClamped) {
  EXPECT_EQ(mt_revision(-1, 5), mt_revision(0, 5));
  EXPECT_EQ(mt_revision(3, -5), mt_revision(3, 0));
  EXPECT_EQ(mt_revision(3, INT64_MAX), mt_revision(3, MT_REVISION_COUNT_MAX));
  EXPECT_EQ(mt_revision(INT64_MAX, 1), mt_revision(MT_REVISION_ERA_MAX, 1));
}

// One message may hold revisions of several eras.
TEST(PeerMessage, RevisionsKeepTheirEra) {
  const mt_revision_t none = 0, old = mt_revision(2, 90),
                      now = mt_revision(4, 12);
  char bytes[MT_PEER_DATAGRAM_MAX];
  auto in = std::make_unique<mt_peer_message_t>(),
       out = std::make_unique<mt_peer_message_t>();
  mt_peer_message_begin(in.get(), MT_PEER_CHANGES);
  in->feeds[MT_FEED_ENGINES] = {now, now, old, 200};
  in->feeds[MT_FEED_DECLARATIONS] = {old, old, none, 200};
  in->spans[MT_FEED_ENGINES] = {old, now};
  in->changes[in->changes_count++] =
      mt_change_make(MT_CHANGE_ENGINE_GONE, "i-1", old);
  in->changes[in->changes_count++] =
      mt_change_make(MT_CHANGE_ENGINE_GONE, "i-2", now);
  size_t n = mt_peer_message_pack(in.get(), bytes, sizeof bytes);
  ASSERT_TRUE(mt_peer_message_unpack(out.get(), bytes, n));
  for (int i = 0; i < MT_FEEDS; i++) {
    EXPECT_EQ(out->feeds[i].newest, in->feeds[i].newest);
    EXPECT_EQ(out->feeds[i].at, in->feeds[i].at);
    EXPECT_EQ(out->feeds[i].received, in->feeds[i].received);
    EXPECT_EQ(out->spans[i].base, in->spans[i].base);
    EXPECT_EQ(out->spans[i].reach, in->spans[i].reach);
  }
  ASSERT_EQ(out->changes_count, 2u);
  EXPECT_EQ(out->changes[0].rev, old);
  EXPECT_EQ(out->changes[1].rev, now);
}

// A source without a change is at revision 0, also right after a restore from
// an empty backup. Guards against taking that for a revision that is not
// known: a router that had read an empty list never requested the first
// change.
TEST(PeerMessage, RevisionZeroIsARevision) {
  const mt_revision_t none = MT_REVISION_NONE;
  struct Row {
    const char *what;
    mt_peer_feed_t feed;
    mt_peer_span_t span;
  } rows[] = {{"nothing is known", {none, none, none, 0}, {0, 0}},
              {"the source has had no change", {0, 0, 0, 5}, {0, 0}},
              {"its first change", {1, 1, 0, 5}, {0, 1}},
              {"not read here", {1, 1, none, 5}, {none, 1}},
              {"restored from an empty backup",
               {mt_revision(1, 0), mt_revision(1, 0), 0, 5},
               {0, mt_revision(1, 0)}},
              {"and changed",
               {mt_revision(1, 1), mt_revision(1, 1), mt_revision(1, 0), 5},
               {mt_revision(1, 0), mt_revision(1, 1)}},
              {"restored again",
               {mt_revision(2, 7), mt_revision(2, 7), mt_revision(1, 0), 5},
               {mt_revision(1, 0), mt_revision(2, 7)}}};
  for (const Row &row : rows) {
    SCOPED_TRACE(row.what);
    char bytes[MT_PEER_DATAGRAM_MAX];
    auto in = std::make_unique<mt_peer_message_t>(),
         out = std::make_unique<mt_peer_message_t>();
    mt_peer_message_begin(in.get(), MT_PEER_CHANGES);
    in->feeds[MT_FEED_ENGINES] = row.feed;
    in->spans[MT_FEED_ENGINES] = row.span;
    size_t n = mt_peer_message_pack(in.get(), bytes, sizeof bytes);
    ASSERT_TRUE(mt_peer_message_unpack(out.get(), bytes, n));
    const mt_peer_feed_t &feed = out->feeds[MT_FEED_ENGINES];
    EXPECT_EQ(feed.newest, row.feed.newest);
    EXPECT_EQ(feed.at, row.feed.at);
    EXPECT_EQ(feed.received, row.feed.received);
    EXPECT_EQ(out->feeds[MT_FEED_DECLARATIONS].at, none);
    const mt_peer_span_t &span = out->spans[MT_FEED_ENGINES];
    EXPECT_EQ(span.reach, row.span.reach);
    /* The beginning of a span in era 0 is taken to be the first revision. */
    bool first = row.span.base == none;
    EXPECT_EQ(span.base, first ? 0 : row.span.base);
  }
}

// Nearly all revisions are of the latest era, so they are packed without it.
TEST(PeerMessage, EraDoesNotGrowTheMessage) {
  char bytes[MT_PEER_DATAGRAM_MAX];
  auto m = std::make_unique<mt_peer_message_t>();
  size_t sizes[2];
  for (int64_t era : {0, 1}) {
    mt_revision_t rev = mt_revision(era, 5000);
    mt_peer_message_begin(m.get(), MT_PEER_HELLO);
    for (auto &feed : m->feeds) feed = {rev, rev, rev, 200};
    sizes[era] = mt_peer_message_pack(m.get(), bytes, sizeof bytes);
  }
  EXPECT_EQ(sizes[0], sizes[1]);
}

// A router that knows all changes of one era knows none of the next.
TEST(FeedState, LaterEraMarksTheFeedAsBehind) {
  struct Row {
    const char *what;
    mt_revision_t newest, at; // reported; all changes up to 1/100 are known
    mt_revision_t known;      // afterwards
    bool behind;
  } rows[] = {{"nothing changed", mt_revision(1, 90), mt_revision(1, 120),
               mt_revision(1, 120), false},
              {"the source was restored", mt_revision(2, 40),
               mt_revision(2, 50), mt_revision(1, 100), true},
              {"it changed before", mt_revision(1, 90), mt_revision(2, 50),
               mt_revision(1, 100), false},
              {"a report of an earlier era", mt_revision(0, 200),
               mt_revision(0, 300), mt_revision(1, 100), false}};
  for (const Row &row : rows) {
    mt_feed_state_t feed = MT_FEED_STATE_UNREAD;
    mt_feed_state_read(&feed, mt_revision(1, 90), mt_revision(1, 100), 1000,
                       true);
    mt_feed_state_merge(&feed, row.newest, row.at, 1500);
    EXPECT_EQ(feed.received, row.known) << row.what;
    EXPECT_EQ(feed.applied, row.known) << row.what;
    EXPECT_EQ(mt_feed_state_is_behind(&feed), row.behind) << row.what;
  }
}

} // namespace
