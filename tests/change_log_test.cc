// change_log_test.cc - the last changes of a feed, whoever told them.
#include <gtest/gtest.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "change_log.h"
}

namespace {

struct Log {
  mt_change_log_t log{};
  ~Log() {
    mt_change_log_free(&log);
  }
  mt_change_news_t add (mt_change_kind_t kind, const char *name, int64_t rev,
                        mt_ms_t now = 1000) {
    mt_change_t change = mt_change_named(kind, name, rev);
    return mt_change_log_add(&log, &change, now);
  }
  std::string since (int64_t rev, size_t most, int64_t *reach,
                     bool brief = false) {
    std::vector<mt_change_t> list(most);
    size_t n =
        mt_change_log_since(&log, rev, 1000, brief, list.data(), most, reach);
    std::string names;
    for (size_t i = 0; i < n; i++)
      names += std::string(i ? " " : "") + list[i].name + "@" +
               std::to_string(list[i].rev);
    return names;
  }
};

TEST(ChangeLog, OfEachThingTheLastChangeStands) {
  const auto ready = MT_CHANGE_ENGINE_READY,
             leaving = MT_CHANGE_ENGINE_DRAINING,
             gone = MT_CHANGE_ENGINE_GONE, emptied = MT_CHANGE_DOMAIN_EMPTIED;
  struct Row {
    mt_change_kind_t kind;
    const char *name;
    int64_t rev;
    mt_change_news_t news;
    const char *known; // behind it
  } rows[] = {{ready, "a", 10, MT_CHANGE_NEW, "a@10"},
              {ready, "a", 10, MT_CHANGE_SAME, "a@10"},
              {gone, "a", 30, MT_CHANGE_NEW, "a@30"},
              {leaving, "a", 20, MT_CHANGE_STALE, "a@30"}, // it came late
              {leaving, "b", 20, MT_CHANGE_NEW, "b@20 a@30"},
              {emptied, "a", 25, MT_CHANGE_NEW, "b@20 a@25 a@30"},
              {ready, "a", 40, MT_CHANGE_NEW, "b@20 a@25 a@40"}};
  Log log;
  for (const Row &row : rows) {
    int64_t reach = 99;
    EXPECT_EQ(log.add(row.kind, row.name, row.rev), row.news);
    EXPECT_EQ(log.since(0, 9, &reach), row.known);
  }
}

TEST(ChangeLog, TellsWhatCameAfter) {
  Log log;
  const struct {
    const char *name;
    int64_t rev;
  } changes[] = {{"a", 10}, {"b", 20}, {"c", 20}, {"d", 20}, {"e", 30}};
  for (auto &c : changes) log.add(MT_CHANGE_ENGINE_GONE, c.name, c.rev);
  struct Row {
    int64_t rev;
    size_t most;
    const char *told;
    int64_t reach; // of 40 that is known
  } rows[] = {{0, 9, "a@10 b@20 c@20 d@20 e@30", 40},
              {10, 9, "b@20 c@20 d@20 e@30", 40},
              {30, 9, "", 40},
              {0, 4, "a@10 b@20 c@20 d@20", 20},
              {0, 3, "a@10", 10}, // those of one revision stay together
              {10, 2, "b@20 c@20", 10}}; // and are never told as all
  for (const Row &row : rows) {
    int64_t reach = 40;
    EXPECT_EQ(log.since(row.rev, row.most, &reach), row.told) << row.rev;
    EXPECT_EQ(reach, row.reach) << row.rev;
  }
}

TEST(ChangeLog, AgesAndForgetsTheOldest) {
  Log log;
  mt_change_t told[4];
  int64_t reach = 5000;
  mt_change_t old = mt_change_named(MT_CHANGE_ENGINE_GONE, "old", 1);
  old.age = 300;
  mt_change_log_add(&log.log, &old, 1000);
  ASSERT_EQ(mt_change_log_since(&log.log, 0, 1250, false, told, 4, &reach),
            1u);
  EXPECT_EQ(told[0].age, 550u);
  for (int i = 2; i < 2000; i++)
    log.add(MT_CHANGE_ENGINE_GONE, std::to_string(i).c_str(), i);
  ASSERT_EQ(mt_change_log_since(&log.log, 0, 1250, false, told, 1, &reach),
            1u);
  EXPECT_EQ(log.log.from, told[0].rev - 1);
  EXPECT_EQ(mt_change_log_find(&log.log, &old), nullptr);
}

// Engines that have come are not named where that takes too much room; what
// ended, and what goes on after an end, is.
TEST(ChangeLog, ManyThatHaveComeAreToldAsOne) {
  Log log;
  const auto ready = MT_CHANGE_ENGINE_READY,
             leaving = MT_CHANGE_ENGINE_DRAINING,
             gone = MT_CHANGE_ENGINE_GONE;
  const struct {
    mt_change_kind_t kind;
    const char *name;
    int64_t rev;
  } changes[] = {{ready, "a", 10},   {ready, "b", 20}, {leaving, "a", 30},
                 {gone, "c", 40},    {ready, "d", 50}, {ready, "c", 60},
                 {leaving, "e", 70}, {ready, "f", 80}};
  for (auto &c : changes) log.add(c.kind, c.name, c.rev);
  struct Row {
    int64_t rev;
    size_t most;
    const char *told;
    int64_t reach; // of 90 that is known
  } rows[] = {{0, 9, "a@30 c@60 e@70 *@80", 90},
              {0, 4, "a@30 c@60 e@70 *@80", 90},
              {0, 3, "a@30 c@60 *@60", 60}, // b and d
              {70, 9, "*@80", 90},
              {80, 9, "", 90},
              {0, 1, "*@20", 0}, // nothing is told as a whole
              {0, 0, "", 0}};    // there is no room for any
  for (const Row &row : rows) {
    int64_t reach = 90;
    EXPECT_EQ(log.since(row.rev, row.most, &reach, true), row.told)
        << row.rev << " " << row.most;
    EXPECT_EQ(reach, row.reach) << row.rev << " " << row.most;
  }
}

// What is as old as what was dropped is not taken for new, however often it
// is told.
TEST(ChangeLog, WhatIsOlderThanAllThatIsKeptIsNotNew) {
  Log log;
  for (int i = 1; i <= 3000; i++)
    log.add(MT_CHANGE_ENGINE_GONE, std::to_string(i).c_str(), i);
  int64_t from = log.log.from;
  ASSERT_GT(from, 0);
  size_t count = log.log.count;
  for (int i = 1; i <= from; i++)
    EXPECT_EQ(log.add(MT_CHANGE_ENGINE_GONE, std::to_string(i).c_str(), i),
              MT_CHANGE_OLD);
  for (int i = (int)from + 1; i <= 3000; i++)
    EXPECT_EQ(log.add(MT_CHANGE_ENGINE_GONE, std::to_string(i).c_str(), i),
              MT_CHANGE_SAME);
  EXPECT_EQ(log.log.count, count);
  // Of a thing that is known by a later change still nothing older counts.
  EXPECT_EQ(log.add(MT_CHANGE_ENGINE_READY, "3000", 1), MT_CHANGE_STALE);
}

// What one list of a fleet brings drives out nothing, and what went meanwhile
// is told with it.
TEST(ChangeLog, HoldsAsMuchAsIsThere) {
  const struct {
    int things, gone;
    int64_t from; // 0: nothing was dropped
  } rows[] = {{0, 1000, 0},
              {100, 900, 0},
              {3000, 3000, 0},
              {10000, 10000, 0},
              {20000, 20000, 0}};
  for (auto &row : rows) {
    Log log;
    mt_change_log_expect(&log.log, (size_t)row.things);
    for (int i = 0; i < row.things; i++)
      log.add(MT_CHANGE_ENGINE_READY, std::to_string(i).c_str(), 1 + i);
    for (int i = 0; i < row.gone; i++)
      log.add(MT_CHANGE_ENGINE_GONE, ("gone" + std::to_string(i)).c_str(),
              100000 + i);
    EXPECT_EQ(log.log.from, row.from) << row.things;
    EXPECT_EQ(log.log.count, (size_t)(row.things + row.gone)) << row.things;
  }
}

// Entries of a list come by name and not by revision.
TEST(ChangeLog, AListInAnyOrderIsToldByRevision) {
  for (int things : {10, 63, 64, 65, 66, 1000, 10000}) {
    Log log;
    std::vector<int64_t> revs;
    std::mt19937 random((unsigned)things);
    mt_change_log_expect(&log.log, (size_t)things);
    for (int i = 0; i < things; i++) revs.push_back(i + 1);
    std::shuffle(revs.begin(), revs.end(), random);
    for (int64_t rev : revs)
      log.add(MT_CHANGE_ENGINE_READY, std::to_string(rev).c_str(), rev);
    for (int i = 0; i < things; i += 3) // some have changed once more
      log.add(MT_CHANGE_ENGINE_DRAINING, std::to_string(i + 1).c_str(),
              things + i + 1);
    std::vector<mt_change_t> told((size_t)things);
    int64_t reach = 0;
    ASSERT_EQ(mt_change_log_since(&log.log, 0, 1000, false, told.data(),
                                  told.size(), &reach),
              (size_t)things);
    for (size_t i = 1; i < told.size(); i++)
      ASSERT_LT(told[i - 1].rev, told[i].rev) << things;
  }
}

// What is not told any more takes no place: the order stays as long as the
// things are many, however often they change.
TEST(ChangeLog, ThingsThatChangeOftenTakeNoMoreRoom) {
  Log log;
  for (int64_t rev = 1; rev <= 100000; rev++)
    log.add(rev % 2 ? MT_CHANGE_ENGINE_GONE : MT_CHANGE_ENGINE_READY,
            std::to_string(rev % 10).c_str(), rev);
  EXPECT_EQ(log.log.count, 10u);
  EXPECT_LE(log.log.order_cap, 256u);
  int64_t reach = 100000;
  EXPECT_EQ(log.since(99998, 9, &reach), "9@99999 0@100000");
}

// In whatever order and however often changes come, the same stands.
TEST(ChangeLog, OrderDoesNotMatter) {
  for (unsigned seed = 0; seed < 50; seed++) {
    std::mt19937 random(seed);
    std::vector<mt_change_t> changes;
    for (int64_t rev = 1; rev <= 60; rev++)
      changes.push_back(mt_change_named(
          (mt_change_kind_t)(random() % MT_CHANGE_DOMAIN_USED),
          std::to_string(random() % 9).c_str(), rev));
    Log first, second;
    for (auto &c : changes) mt_change_log_add(&first.log, &c, 1000);
    std::shuffle(changes.begin(), changes.end(), random);
    for (int round = 0; round < 2; round++)
      for (auto &c : changes) mt_change_log_add(&second.log, &c, 1000);
    int64_t reach = 60;
    EXPECT_EQ(first.since(0, 99, &reach), second.since(0, 99, &reach));
  }
}

} // namespace
