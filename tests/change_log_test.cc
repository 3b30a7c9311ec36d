// change_log_test.cc - the latest changes of a feed, ordered by revision.
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
  mt_change_result_t add (mt_change_kind_t kind, const char *name,
                          int64_t rev, mt_ms_t now = 1000) {
    mt_change_t change = mt_change_make(kind, name, rev);
    return mt_change_log_add(&log, &change, now);
  }
  std::string since (int64_t rev, size_t max, int64_t *reach,
                     bool brief = false) {
    std::vector<mt_change_t> list(max);
    size_t n =
        mt_change_log_since(&log, rev, 1000, brief, list.data(), max, reach);
    std::string names;
    for (size_t i = 0; i < n; i++)
      names += std::string(i ? " " : "") + list[i].name + "@" +
               std::to_string(list[i].rev);
    return names;
  }
};

TEST(ChangeLog, KeepsTheLastChangeOfEachSubject) {
  const auto ready = MT_CHANGE_ENGINE_READY,
             draining = MT_CHANGE_ENGINE_DRAINING,
             gone = MT_CHANGE_ENGINE_GONE,
             evacuated = MT_CHANGE_DOMAIN_EVACUATED;
  struct Row {
    mt_change_kind_t kind;
    const char *name;
    int64_t rev;
    mt_change_result_t result;
    const char *known; // all changes in the log after it
  } rows[] = {{ready, "a", 10, MT_CHANGE_NEW, "a@10"},
              {ready, "a", 10, MT_CHANGE_DUPLICATE, "a@10"},
              {gone, "a", 30, MT_CHANGE_NEW, "a@30"},
              {draining, "a", 20, MT_CHANGE_STALE, "a@30"}, // arrives late
              {draining, "b", 20, MT_CHANGE_NEW, "b@20 a@30"},
              {evacuated, "a", 25, MT_CHANGE_NEW, "b@20 a@25 a@30"},
              {ready, "a", 40, MT_CHANGE_NEW, "b@20 a@25 a@40"}};
  Log log;
  for (const Row &row : rows) {
    int64_t reach = 99;
    EXPECT_EQ(log.add(row.kind, row.name, row.rev), row.result);
    EXPECT_EQ(log.since(0, 9, &reach), row.known);
  }
}

TEST(ChangeLog, ListsChangesAfterARevision) {
  Log log;
  const struct {
    const char *name;
    int64_t rev;
  } changes[] = {{"a", 10}, {"b", 20}, {"c", 20}, {"d", 20}, {"e", 30}};
  for (auto &c : changes) log.add(MT_CHANGE_ENGINE_GONE, c.name, c.rev);
  struct Row {
    int64_t rev;
    size_t max;
    const char *listed;
    int64_t reach; // up to here it is complete; the log is up to 40
  } rows[] = {{0, 9, "a@10 b@20 c@20 d@20 e@30", 40},
              {10, 9, "b@20 c@20 d@20 e@30", 40},
              {30, 9, "", 40},
              {0, 4, "a@10 b@20 c@20 d@20", 20},
              {0, 3, "a@10", 10}, // changes of one revision stay together
              {10, 2, "b@20 c@20", 10}}; // incomplete: d is missing
  for (const Row &row : rows) {
    int64_t reach = 40;
    EXPECT_EQ(log.since(row.rev, row.max, &reach), row.listed) << row.rev;
    EXPECT_EQ(reach, row.reach) << row.rev;
  }
}

TEST(ChangeLog, AddsToAgesAndDropsTheOldest) {
  Log log;
  mt_change_t listed[4];
  int64_t reach = 5000;
  mt_change_t old = mt_change_make(MT_CHANGE_ENGINE_GONE, "old", 1);
  old.age = 300;
  mt_change_log_add(&log.log, &old, 1000);
  ASSERT_EQ(mt_change_log_since(&log.log, 0, 1250, false, listed, 4, &reach),
            1u);
  EXPECT_EQ(listed[0].age, 550u);
  for (int i = 2; i < 2000; i++)
    log.add(MT_CHANGE_ENGINE_GONE, std::to_string(i).c_str(), i);
  ASSERT_EQ(mt_change_log_since(&log.log, 0, 1250, false, listed, 1, &reach),
            1u);
  EXPECT_EQ(log.log.dropped_to, listed[0].rev - 1);
  EXPECT_EQ(mt_change_log_find(&log.log, &old), nullptr);
}

// On request new engines are not listed one by one, to save room; withdrawals
// and engines that are back after one are.
TEST(ChangeLog, NewEnginesAreListedAsOneUnnamedChange) {
  Log log;
  const auto ready = MT_CHANGE_ENGINE_READY,
             draining = MT_CHANGE_ENGINE_DRAINING,
             gone = MT_CHANGE_ENGINE_GONE;
  const struct {
    mt_change_kind_t kind;
    const char *name;
    int64_t rev;
  } changes[] = {{ready, "a", 10},    {ready, "b", 20}, {draining, "a", 30},
                 {gone, "c", 40},     {ready, "d", 50}, {ready, "c", 60},
                 {draining, "e", 70}, {ready, "f", 80}};
  for (auto &c : changes) log.add(c.kind, c.name, c.rev);
  struct Row {
    int64_t rev;
    size_t max;
    const char *listed;
    int64_t reach; // up to here it is complete; the log is up to 90
  } rows[] = {{0, 9, "a@30 c@60 e@70 *@80", 90},
              {0, 4, "a@30 c@60 e@70 *@80", 90},
              {0, 3, "a@30 c@60 *@60", 60}, // * stands for b and d
              {70, 9, "*@80", 90},
              {80, 9, "", 90},
              {0, 1, "*@20", 0}, // complete for no revision
              {0, 0, "", 0}};    // no room for any change
  for (const Row &row : rows) {
    int64_t reach = 90;
    EXPECT_EQ(log.since(row.rev, row.max, &reach, true), row.listed)
        << row.rev << " " << row.max;
    EXPECT_EQ(reach, row.reach) << row.rev << " " << row.max;
  }
}

// A change as old as the dropped ones is not new, however often it is added.
TEST(ChangeLog, ChangesAsOldAsDroppedOnesAreNotNew) {
  Log log;
  for (int i = 1; i <= 3000; i++)
    log.add(MT_CHANGE_ENGINE_GONE, std::to_string(i).c_str(), i);
  int64_t dropped_to = log.log.dropped_to;
  ASSERT_GT(dropped_to, 0);
  size_t count = log.log.count;
  for (int i = 1; i <= dropped_to; i++)
    EXPECT_EQ(log.add(MT_CHANGE_ENGINE_GONE, std::to_string(i).c_str(), i),
              MT_CHANGE_TOO_OLD);
  for (int i = (int)dropped_to + 1; i <= 3000; i++)
    EXPECT_EQ(log.add(MT_CHANGE_ENGINE_GONE, std::to_string(i).c_str(), i),
              MT_CHANGE_DUPLICATE);
  EXPECT_EQ(log.log.count, count);
  // For a subject in the log an older change is stale in any case.
  EXPECT_EQ(log.add(MT_CHANGE_ENGINE_READY, "3000", 1), MT_CHANGE_STALE);
}

// The log holds a list of all engines and as many removals without dropping
// any change.
TEST(ChangeLog, CapacityGrowsWithTheNumberOfSubjects) {
  const struct {
    int subjects, gone;
    int64_t dropped_to; // 0: nothing was dropped
  } rows[] = {{0, 1000, 0},
              {100, 900, 0},
              {3000, 3000, 0},
              {10000, 10000, 0},
              {20000, 20000, 0}};
  for (auto &row : rows) {
    Log log;
    mt_change_log_resize(&log.log, (size_t)row.subjects);
    for (int i = 0; i < row.subjects; i++)
      log.add(MT_CHANGE_ENGINE_READY, std::to_string(i).c_str(), 1 + i);
    for (int i = 0; i < row.gone; i++)
      log.add(MT_CHANGE_ENGINE_GONE, ("gone" + std::to_string(i)).c_str(),
              100000 + i);
    EXPECT_EQ(log.log.dropped_to, row.dropped_to) << row.subjects;
    EXPECT_EQ(log.log.count, (size_t)(row.subjects + row.gone))
        << row.subjects;
  }
}

// A list arrives in the order of names and not of revisions.
TEST(ChangeLog, UnorderedChangesAreListedByRevision) {
  for (int subjects : {10, 63, 64, 65, 66, 1000, 10000}) {
    Log log;
    std::vector<int64_t> revs;
    std::mt19937 random((unsigned)subjects);
    mt_change_log_resize(&log.log, (size_t)subjects);
    for (int i = 0; i < subjects; i++) revs.push_back(i + 1);
    std::shuffle(revs.begin(), revs.end(), random);
    for (int64_t rev : revs)
      log.add(MT_CHANGE_ENGINE_READY, std::to_string(rev).c_str(), rev);
    for (int i = 0; i < subjects; i += 3) // some have changed once more
      log.add(MT_CHANGE_ENGINE_DRAINING, std::to_string(i + 1).c_str(),
              subjects + i + 1);
    std::vector<mt_change_t> listed((size_t)subjects);
    int64_t reach = 0;
    ASSERT_EQ(mt_change_log_since(&log.log, 0, 1000, false, listed.data(),
                                  listed.size(), &reach),
              (size_t)subjects);
    for (size_t i = 1; i < listed.size(); i++)
      ASSERT_LT(listed[i - 1].rev, listed[i].rev) << subjects;
  }
}

// Superseded changes are removed from the order, so its size is bounded by
// the number of subjects, however often they change.
TEST(ChangeLog, FrequentChangesOfFewSubjectsUseNoMoreMemory) {
  Log log;
  for (int64_t rev = 1; rev <= 100000; rev++)
    log.add(rev % 2 ? MT_CHANGE_ENGINE_GONE : MT_CHANGE_ENGINE_READY,
            std::to_string(rev % 10).c_str(), rev);
  EXPECT_EQ(log.log.count, 10u);
  EXPECT_LE(log.log.order_cap, 256u);
  int64_t reach = 100000;
  EXPECT_EQ(log.since(99998, 9, &reach), "9@99999 0@100000");
}

// The result does not depend on the order or repetition of changes.
TEST(ChangeLog, OrderDoesNotMatter) {
  for (unsigned seed = 0; seed < 50; seed++) {
    std::mt19937 random(seed);
    std::vector<mt_change_t> changes;
    for (int64_t rev = 1; rev <= 60; rev++)
      changes.push_back(mt_change_make(
          (mt_change_kind_t)(random() % MT_CHANGE_DOMAIN_REINSTATED),
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
