// part_holders_test.cc - where parts were read away from their home.
#include <gtest/gtest.h>

#include "relay.h"

extern "C" {
#include "part_holders.h"
#include "prompt_memory.h"
}

namespace {

TEST(PartHolders, TheLastOneCountsForAWhile) {
  mt_part_holders_t h{};
  mt_part_holders_note(&h, 7, 100, 1000);
  mt_part_holders_note(&h, 7, 200, 2000);
  mt_part_holders_note(&h, 8, 300, 20000);
  mt_part_holders_note(&h, 0, 300, 20000); // no part
  EXPECT_EQ(mt_part_holders_find(&h, 7), 200u);
  EXPECT_EQ(mt_part_holders_find(&h, 9), 0u);
  mt_part_holders_expire(&h, 31000);
  EXPECT_EQ(mt_part_holders_find(&h, 7), 200u);
  mt_part_holders_expire(&h, 33000);
  EXPECT_EQ(mt_part_holders_find(&h, 7), 0u);
  EXPECT_EQ(mt_part_holders_find(&h, 8), 300u);
  mt_part_holders_free(&h);
}

TEST(PartHolders, AnyNumberOfPartsIsBounded) {
  mt_part_holders_t h{};
  for (uint64_t part = 1; part <= 100000; part++)
    mt_part_holders_note(&h, part, 5, 1000);
  EXPECT_LE(h.by_part.used, 65536u);
  EXPECT_EQ(mt_part_holders_find(&h, 1), 5u);
  mt_part_holders_note(&h, 1, 6, 1000); // known ones still move
  EXPECT_EQ(mt_part_holders_find(&h, 1), 6u);
  mt_part_holders_expire(&h, 1000000);
  EXPECT_EQ(h.by_part.used, 0u);
  mt_part_holders_free(&h);
}

// m3 read the part, which neither m1 nor m2 keeps; m1's owner says so.
TEST(PartHolders, AHolderThatAOwnerNamesGives) {
  struct Row {
    const char *what;
    bool told, gone, off, fetched;
  } rows[] = {{"nobody says", false, false, false, false},
              {"its owner says", true, false, false, true},
              {"the holder is gone", true, true, false, false},
              {"switched off", true, false, true, false}};
  for (const Row &row : rows) {
    Relay r(3);
    r.declare();
    r.relay->routers = 2;
    r.relay->terms.off[MT_RELAY_HOLDERS] = row.off;
    mt_engine_t *holder = r.find("m3");
    holder->here.unread = 200000;
    r.ask(1, "/stream/x", "key-w1", 5000, 8000);
    ASSERT_NE(r.find(MT_RELAY_DO_ASK), nullptr) << row.what;
    if (row.gone) holder->state = MT_ENGINE_GONE;
    std::vector<mt_relay_quote_t> quotes;
    for (const char *name : {"m1", "m2", "m3"}) {
      mt_relay_quote_t q{};
      q.engine = r.find(name)->key;
      if (row.told) q.holder = holder->key;
      quotes.push_back(q);
    }
    mt_relay_event_t event{};
    event.kind = MT_RELAY_QUOTED;
    event.request = 1;
    event.u.quotes.list = quotes.data();
    event.u.quotes.count = quotes.size();
    r.step(event);
    const mt_relay_effect_t *fx = r.find(MT_RELAY_DO_START);
    ASSERT_NE(fx, nullptr) << row.what;
    EXPECT_NE(fx->u.start.engine, holder->key) << row.what;
    EXPECT_EQ(fx->u.start.source, row.fetched ? holder->key : 0) << row.what;
    holder->here.unread = 0;
  }
}

TEST(PartHolders, OnlyWhatWasReadAwayFromHomeIsNews) {
  struct Row {
    const char *what;
    bool home;
    int64_t unread; // of 4,000 shared and 1,000 own tokens
    bool news;
  } rows[] = {{"shared parts were read away", false, 5000, true},
              {"only the own part", false, 1000, false},
              {"at home", true, 5000, false}};
  for (const Row &row : rows) {
    mt_relay_request_t r{};
    r.parts[0] = {7, 4000};
    r.parts[1] = {9, 1000};
    r.parts_count = 2;
    r.home = row.home;
    r.unread = row.unread;
    EXPECT_EQ(mt_prompt_memory_is_news(&r), row.news) << row.what;
  }
}

TEST(PartHolders, AOwnerNamesTheHolder) {
  Relay r(2);
  r.declare();
  const mt_prefix_part_t parts[] = {{11, 300}, {13, 200}};
  uint64_t home = r.find("m1")->key, other = r.find("m2")->key;
  EXPECT_EQ(mt_relay_quote(r.relay, home, 5, parts, 2).holder, 0u);
  mt_part_holders_note(&r.relay->holders, 11, other, r.now);
  EXPECT_EQ(mt_relay_quote(r.relay, home, 5, parts, 2).holder, other);
  mt_part_holders_note(&r.relay->holders, 11, home, r.now); // itself: no news
  EXPECT_EQ(mt_relay_quote(r.relay, home, 5, parts, 2).holder, 0u);
}

} // namespace
