// store_restored_test.cc - a gateway whose store comes back from a copy, with
// revisions that are given out again.
#include <gtest/gtest.h>

#include <sstream>

#include "gateway_world.h"

namespace {

// A store, engines of one service, and which of them ran requests.
struct Fleet {
  World w;
  std::map<std::string, int> ran;
  std::map<std::string, Listener *> engines;

  explicit Fleet(int count) {
    w.era = 1;
    for (int i = 1; i <= count; i++) add("i-" + std::to_string(i));
  }
  void add (const std::string &id) {
    engines[id] = w.listen([this] (Conn &c, const Request &r) {
      ran[r.field("X-Expect-Instance")]++;
      c.send(answer(200,
                    "X-Attempt-Id: " + r.field("X-Attempt-Id") +
                        "\r\nX-Engine-Seal: s\r\n",
                    "x"));
    });
    set(id, "ready");
  }
  void set (const std::string &id, const char *state) {
    w.engine(id, "plain", engines[id], state);
  }
  // Raises the store's revision without a change of anything.
  void pass_revisions (int count) {
    for (int i = 0; i < count; i++)
      w.put("op/config", World::config(7, "key-w1"));
  }
  bool logs (const std::string &text) {
    return w.until([&] { return w.log.find(text) != w.log.npos; });
  }
  bool leaves (const std::string &id) {
    return logs("engine=" + id +
                " address=127.0.0.1:" + std::to_string(engines[id]->port) +
                " running=0 outcome=leaving");
  }
  // Requests of `count` that ran at an engine.
  int runs_at (const std::string &id, int count) {
    int before = ran[id];
    for (int i = 0; i < count; i++)
      EXPECT_EQ(World::status_of(
                    w.call(World::ask("/safe/x", "q" + std::to_string(i)))),
                200);
    return ran[id] - before;
  }
};

// Between the list and the next watch the store reaches the revision that the
// router knew before the restore.
TEST(StoreRestored, ALeavingAtARevisionSeenBeforeIsTaken) {
  Fleet f(2);
  World::Copy copy = f.w.copy();
  f.pass_revisions(6);
  f.w.start();
  f.w.restore(copy);
  f.w.on_list = [&] (const std::string &range) {
    if (range != "servers/") return;
    f.w.on_list = nullptr;
    f.set("i-1", "draining");
    f.pass_revisions(5);
  };
  EXPECT_TRUE(f.leaves("i-1"));
  EXPECT_EQ(f.runs_at("i-1", 5), 0);
}

// Each restore is noticed, also where the store is back before it was missed.
TEST(StoreRestored, SeveralTimesInARow) {
  Fleet f(4);
  World::Copy copy = f.w.copy();
  f.pass_revisions(6);
  f.w.start();
  for (int i = 1; i <= 3; i++) {
    std::string id = "i-" + std::to_string(i);
    f.w.restore(copy);
    f.w.restore(copy);
    for (int k = 1; k <= i; k++) f.set("i-" + std::to_string(k), "draining");
    ASSERT_TRUE(f.leaves(id));
    EXPECT_EQ(f.runs_at(id, 5), 0);
    f.pass_revisions(6);
  }
}

// The pages of a list that a restore divides are not of one state.
TEST(StoreRestored, InTheMiddleOfAPagedList) {
  Fleet f(6);
  World::Copy copy = f.w.copy();
  f.pass_revisions(6);
  f.w.page = 2;
  int lists = 0;
  f.w.on_list = [&] (const std::string &range) {
    if (range != "servers/" || ++lists != 2) return;
    f.w.restore(copy);
    f.set("i-1", "draining");
    f.pass_revisions(5);
  };
  f.w.start();
  EXPECT_TRUE(f.leaves("i-1"));
  EXPECT_GE(lists, 5);
  EXPECT_EQ(f.runs_at("i-1", 5), 0);
}

// A part of the store that was not restored, or an answer that comes late.
TEST(StoreRestored, AnAnswerOfAnEarlierEraMovesNothingBack) {
  Fleet f(3);
  f.w.era = 2;
  f.w.start();
  f.set("i-1", "draining");
  ASSERT_TRUE(f.leaves("i-1"));
  World::Copy now = f.w.copy();
  size_t before = f.w.log.size();
  f.w.era = 1;
  f.set("i-1", "ready");
  f.w.forget();
  ASSERT_TRUE(f.logs("era=1 at=2/"));
  EXPECT_EQ(f.runs_at("i-1", 5), 0);
  f.w.restore(now);
  f.set("i-2", "draining");
  EXPECT_TRUE(f.leaves("i-2"));
  EXPECT_EQ(f.w.log.find("engine=i-1 ", before), f.w.log.npos);
  EXPECT_EQ(f.runs_at("i-1", 5), 0);
}

// What is written behind the copy, and the lines by which a router takes it
// and undoes it: of whom, and their outcomes.
struct Written {
  const char *what;
  std::function<void(Fleet &)> write;
  const char *range, *subject, *taken, *undone;
};

std::vector<Written> all_written () {
  return {{"an engine came", [] (Fleet &f) { f.set("i-3", "ready"); },
           "servers/", "engine=i-3 ", "ready", "vanished"},
          {"an engine leaves", [] (Fleet &f) { f.set("i-1", "draining"); },
           "servers/", "engine=i-1 ", "leaving", "ready"},
          {"an engine left without a word",
           [] (Fleet &f) { f.w.remove("servers/i-1"); }, "servers/",
           "engine=i-1 ", "vanished", "ready"},
          {"a failure domain is emptied",
           [] (Fleet &f) { f.w.put("op/evacuate/d9", "{}"); }, "op/",
           "domain=d9 ", "begun", "over"}};
}

// Plays one row: the restore, and what was lost is written again or not.
// True when the router undid it.
bool is_undone (const Written &row, bool again) {
  Fleet f(3);
  f.w.items.erase("servers/i-3");
  World::Copy copy = f.w.copy();
  f.w.start();
  auto logged = [&] (const std::string &outcome, size_t from) {
    std::istringstream lines(f.w.log.substr(from));
    for (std::string line; std::getline(lines, line);)
      if (line.find(row.subject) != line.npos &&
          line.find("outcome=" + outcome) != line.npos)
        return true;
    return false;
  };
  row.write(f);
  EXPECT_TRUE(f.w.until([&] { return logged(row.taken, 0); })) << row.what;
  f.pass_revisions(4);
  size_t before = f.w.log.size();
  int lists = 0;
  f.w.on_list = [&] (const std::string &range) {
    if (range == row.range && ++lists == 1 && again) row.write(f);
  };
  f.w.restore(copy);
  EXPECT_TRUE(f.w.until([&] {
    return lists >= 2 && (again || logged(row.undone, before));
  })) << row.what;
  EXPECT_EQ(World::status_of(f.w.call(World::ask("/safe/x", "q"))), 200);
  return logged(row.undone, before);
}

// The copy lacks what was written last; its writers write that again.
TEST(StoreRestored, WhatIsWrittenAgainStandsMeanwhile) {
  for (const Written &row : all_written())
    EXPECT_FALSE(is_undone(row, true)) << row.what;
}

TEST(StoreRestored, WhatIsNotWrittenAgainIsTakenFromTheStore) {
  for (const Written &row : all_written())
    EXPECT_TRUE(is_undone(row, false)) << row.what;
}

// The copy has an older document, in which the key was valid.
TEST(StoreRestored, ARevokedKeyStaysRevoked) {
  Fleet f(1);
  World::Copy copy = f.w.copy();
  f.w.start();
  f.w.put("op/config", World::config(8, "key-new"));
  ASSERT_TRUE(f.logs("version=8 "));
  f.w.restore(copy);
  ASSERT_TRUE(f.logs("version=7 routes=3 workspaces=1 outcome=older"));
  EXPECT_EQ(World::status_of(f.w.call(World::ask("/safe/x", "q"))), 401);
}

} // namespace
