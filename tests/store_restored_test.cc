// store_restored_test.cc - a gateway whose store is restored from a backup
// and issues the same revisions again
#include <gtest/gtest.h>

#include <sstream>

#include "gateway_world.h"

namespace {

// A store, the engines of one service, and how many requests each ran.
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
  // Raises the store's revision without changing any content.
  void raise_revision (int count) {
    for (int i = 0; i < count; i++)
      w.put("op/config", World::config(7, "key-w1"));
  }
  bool wait_for_log (const std::string &text) {
    return w.until([&] { return w.log.find(text) != w.log.npos; });
  }
  bool wait_for_drain (const std::string &id) {
    return wait_for_log("engine=" + id + " address=127.0.0.1:" +
                        std::to_string(engines[id]->port) +
                        " running=0 outcome=leaving");
  }
  // Sends `count` requests; how many of them the engine ran.
  int runs_at (const std::string &id, int count) {
    int before = ran[id];
    for (int i = 0; i < count; i++)
      EXPECT_EQ(World::status_of(
                    w.call(World::ask("/safe/x", "q" + std::to_string(i)))),
                200);
    return ran[id] - before;
  }
};

// Guards against missing a change whose revision the router already knew
// before the restore: the store reaches it again between the list and the
// next watch.
TEST(StoreRestored, ADrainAtAReusedRevisionIsApplied) {
  Fleet f(2);
  World::Backup backup = f.w.backup();
  f.raise_revision(6);
  f.w.start();
  f.w.restore(backup);
  f.w.on_list = [&] (const std::string &range) {
    if (range != "servers/") return;
    f.w.on_list = nullptr;
    f.set("i-1", "draining");
    f.raise_revision(5);
  };
  EXPECT_TRUE(f.wait_for_drain("i-1"));
  EXPECT_EQ(f.runs_at("i-1", 5), 0);
}

// Each restore is noticed, even if the store is back before any call failed.
TEST(StoreRestored, SeveralRestoresInARow) {
  Fleet f(4);
  World::Backup backup = f.w.backup();
  f.raise_revision(6);
  f.w.start();
  for (int i = 1; i <= 3; i++) {
    std::string id = "i-" + std::to_string(i);
    f.w.restore(backup);
    f.w.restore(backup);
    for (int k = 1; k <= i; k++) f.set("i-" + std::to_string(k), "draining");
    ASSERT_TRUE(f.wait_for_drain(id));
    EXPECT_EQ(f.runs_at(id, 5), 0);
    f.raise_revision(6);
  }
}

// Guards against combining pages of a list from before and after a restore.
TEST(StoreRestored, ARestoreInTheMiddleOfAPagedList) {
  Fleet f(6);
  World::Backup backup = f.w.backup();
  f.raise_revision(6);
  f.w.page = 2;
  int lists = 0;
  f.w.on_list = [&] (const std::string &range) {
    if (range != "servers/" || ++lists != 2) return;
    f.w.restore(backup);
    f.set("i-1", "draining");
    f.raise_revision(5);
  };
  f.w.start();
  EXPECT_TRUE(f.wait_for_drain("i-1"));
  EXPECT_GE(lists, 5);
  EXPECT_EQ(f.runs_at("i-1", 5), 0);
}

// Such a response is late, or from a part of the store that was not restored.
TEST(StoreRestored, AResponseOfAnEarlierEraIsIgnored) {
  Fleet f(3);
  f.w.era = 2;
  f.w.start();
  f.set("i-1", "draining");
  ASSERT_TRUE(f.wait_for_drain("i-1"));
  World::Backup now = f.w.backup();
  size_t before = f.w.log.size();
  f.w.era = 1;
  f.set("i-1", "ready");
  f.w.compact();
  ASSERT_TRUE(f.wait_for_log("era=1 at=2/"));
  EXPECT_EQ(f.runs_at("i-1", 5), 0);
  f.w.restore(now);
  f.set("i-2", "draining");
  EXPECT_TRUE(f.wait_for_drain("i-2"));
  EXPECT_EQ(f.w.log.find("engine=i-1 ", before), f.w.log.npos);
  EXPECT_EQ(f.runs_at("i-1", 5), 0);
}

// A write after the backup was made, and the outcomes in the log when a
// router applies and undoes it; `subject` selects the lines.
struct LateWrite {
  const char *what;
  std::function<void(Fleet &)> write;
  const char *range, *subject, *taken, *undone;
};

std::vector<LateWrite> late_writes () {
  return {{"an engine is added", [] (Fleet &f) { f.set("i-3", "ready"); },
           "servers/", "engine=i-3 ", "ready", "vanished"},
          {"an engine drains", [] (Fleet &f) { f.set("i-1", "draining"); },
           "servers/", "engine=i-1 ", "leaving", "ready"},
          {"an engine is removed without draining",
           [] (Fleet &f) { f.w.remove("servers/i-1"); }, "servers/",
           "engine=i-1 ", "vanished", "ready"},
          {"a failure domain is evacuated",
           [] (Fleet &f) { f.w.put("op/evacuate/d9", "{}"); }, "op/",
           "domain=d9 ", "begun", "over"}};
}

// Restores the store after the row's write, which is then repeated or not.
// Returns true if the router undid the write.
bool is_undone (const LateWrite &row, bool again) {
  Fleet f(3);
  f.w.items.erase("servers/i-3");
  World::Backup backup = f.w.backup();
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
  f.raise_revision(4);
  size_t before = f.w.log.size();
  int lists = 0;
  f.w.on_list = [&] (const std::string &range) {
    if (range == row.range && ++lists == 1 && again) row.write(f);
  };
  f.w.restore(backup);
  EXPECT_TRUE(f.w.until([&] {
    return lists >= 2 && (again || logged(row.undone, before));
  })) << row.what;
  EXPECT_EQ(World::status_of(f.w.call(World::ask("/safe/x", "q"))), 200);
  return logged(row.undone, before);
}

// The backup lacks the last writes; their writers repeat them.
TEST(StoreRestored, WhatIsWrittenAgainIsKept) {
  for (const LateWrite &row : late_writes())
    EXPECT_FALSE(is_undone(row, true)) << row.what;
}

TEST(StoreRestored, WhatIsNotWrittenAgainIsUndone) {
  for (const LateWrite &row : late_writes())
    EXPECT_TRUE(is_undone(row, false)) << row.what;
}

// The backup has an older document, in which the revoked key is valid.
TEST(StoreRestored, ARevokedKeyStaysRevoked) {
  Fleet f(1);
  World::Backup backup = f.w.backup();
  f.w.start();
  f.w.put("op/config", World::config(8, "key-new"));
  ASSERT_TRUE(f.wait_for_log("version=8 "));
  f.w.restore(backup);
  ASSERT_TRUE(
      f.wait_for_log("version=7 routes=3 workspaces=1 outcome=older"));
  EXPECT_EQ(World::status_of(f.w.call(World::ask("/safe/x", "q"))), 401);
}

} // namespace
