// crashing_segment_test.cc - a prompt segment that crashes engines
//
// Guards against gateways that recognize only whole requests. Requests that
// share one crashing segment and nothing else were each new to them, and
// engine after engine ended: 28 under one segment.
#include "soak/fleet.h"

namespace {

using soak::Fleet;

// The fifth end is to be the last one.
const int ENDS_MAX = 5;
const int ROUNDS = 24;

struct Case {
  const char *what;
  int gateways;
  const char *path;
  int segments;          // of a prompt, without its last one
  int place;             // of the crashing one, from 0
  bool unframed, closes; // answers; connections of an engine that crashes
  int alone_from;        // the first round with a sound request
};

class CrashingFleet : public Fleet {
public:
  explicit CrashingFleet(const Case &chosen)
      : Fleet(chosen.gateways), row(chosen) {
    world.poison_segments.insert("dead");
    world.poison_delay_ms = 40;
    world.down_ms = 100;
    world.renews = true;
    world.unframed = row.unframed;
    world.crash_closes = row.closes;
  }
  bool engines_serve () {
    return until([&] { return world.all_restarted(); }) && until([&] {
             for (size_t i = 0; i < gateways.size(); i++)
               if (ask((int)i, "/safe/x", "key-w1") != 200) return false;
             return true;
           });
  }
  // A request whose prompt has `id` at the case's place and the same segments
  // as all others elsewhere, but for the last one; returns its status.
  int send (int gateway, const std::string &id) {
    std::string name = std::to_string(++sent), segments;
    for (int i = 0; i < row.segments; i++)
      segments += (i == row.place ? id : "a" + std::to_string(i)) + ":100,";
    std::string in = post(gateway, row.path, "body " + name,
                          "X-Model: m\r\nX-Token-Usage: 600,20\r\n"
                          "X-Prefix-Hash: " +
                              segments + "f" + name + ":200\r\n");
    return ::World::status_of(in);
  }

private:
  Case row;
  int sent = 0;
};

void run_case (const Case &row) {
  CrashingFleet fleet(row);
  ASSERT_TRUE(fleet.wait_ready());
  for (int i = 0; i < ROUNDS; i++) {
    fleet.send(i % row.gateways, "dead");
    ASSERT_TRUE(fleet.engines_serve());
    if (i >= row.alone_from)
      fleet.send((i + 1) % row.gateways, "50" + std::to_string(i));
  }
  EXPECT_GE(fleet.world.crash_count, 1);
  EXPECT_LE(fleet.world.crash_count, ENDS_MAX);
  for (int i = 0; i < 2 * row.gateways; i++) {
    int gateway = i % row.gateways;
    EXPECT_EQ(fleet.send(gateway, "60" + std::to_string(i)), 200) << i;
    EXPECT_EQ(fleet.send(gateway, "dead"), 503) << i;
  }
}

// Operators find the segment in the list of suspects, see by the log lines of
// a refused request which of its parts it was, and clear it.
TEST(CrashingSegment, IsListedExplainedAndCleared) {
  CrashingFleet fleet({"", 3, "/gen/x", 3, 1, false, false, 0});
  ASSERT_TRUE(fleet.wait_ready());
  auto ask = [&] (const std::string &method, const std::string &path) {
    const soak::Gateway &g = fleet.gateways[0];
    return fleet.exchange(
        g, g.metrics, method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
  };
  std::string list;
  for (int i = 0; i < ROUNDS && list.find("state=quarantine") == list.npos;
       i++) {
    fleet.send(i % 3, "dead");
    ASSERT_TRUE(fleet.engines_serve());
    fleet.send(i % 3, "50" + std::to_string(i));
    list = ask("GET", "/suspects");
  }
  ASSERT_NE(list.find("state=quarantine"), list.npos) << list;
  size_t line = list.rfind("part=", list.find("state=quarantine"));
  std::string name = list.substr(line + 5, 16);
  EXPECT_EQ(fleet.send(0, "dead"), 503);
  ASSERT_TRUE(fleet.until(
      [&] { return fleet.logged(0, "event=request why=quarantined"); }));
  std::string output = fleet.explain("id" + std::to_string(fleet.last_id()));
  EXPECT_NE(output.find(name), output.npos) << output;
  EXPECT_NE(output.find("part=" + name + " state=quarantine"), output.npos)
      << output;
  fleet.world.poison_segments.clear(); // engines no longer crash
  EXPECT_EQ(::World::status_of(ask("DELETE", "/suspects/" + name)), 200);
  for (int i = 0; i < 3; i++)
    EXPECT_TRUE(fleet.until([&] { return fleet.send(i, "dead") == 200; }));
  EXPECT_TRUE(fleet.until(
      [&] { return fleet.world.keys_below("suspects/").empty(); }));
}

// Guards against a list of suspects that all gateways forget when they lose
// power together: five more engines would end.
TEST(CrashingSegment, IsKnownAfterAllGatewaysLostPower) {
  struct Row {
    const char *what;
    int gateways;
    bool store_fails; // at the time of the quarantine
  } rows[] = {{"the store answers", 4, false},
              {"more gateways", 12, false},
              {"the store fails until later", 4, true}};
  for (const Row &row : rows) {
    SCOPED_TRACE(row.what);
    CrashingFleet fleet({"", row.gateways, "/gen/x", 3, 1, false, false, 0});
    ASSERT_TRUE(fleet.wait_ready());
    if (row.store_fails)
      fleet.world.faults.store_until = soak::now_ms() + 3600000;
    fleet.world.renews = false; // engines need no entry to be found again
    for (int i = 0; i < ROUNDS / 2; i++) {
      fleet.send(i % row.gateways, "dead");
      ASSERT_TRUE(fleet.engines_serve());
      fleet.send(i % row.gateways, "50" + std::to_string(i));
    }
    fleet.world.faults = soak::Faults();
    ASSERT_TRUE(fleet.until(
        [&] { return !fleet.world.keys_below("suspects/").empty(); }));
    fleet.lose_power();
    ASSERT_TRUE(fleet.wait_ready());
    for (int i = 0; i < ROUNDS / 2; i++) {
      fleet.send(i % row.gateways, "dead");
      ASSERT_TRUE(fleet.engines_serve());
    }
    EXPECT_LE(fleet.world.crash_count, ENDS_MAX);
    for (int i = 0; i < row.gateways; i++)
      EXPECT_EQ(fleet.send(i, "60" + std::to_string(i)), 200);
  }
}

TEST(CrashingSegment, CrashesABoundedNumberOfEngines) {
  const Case rows[] = {
      {"first, a stream", 4, "/gen/x", 3, 0, false, false, 0},
      {"in the middle, a stream", 4, "/gen/x", 3, 1, false, false, 0},
      {"last but one, a stream", 12, "/gen/x", 3, 2, false, false, 0},
      {"in the middle, plain", 4, "/safe/x", 3, 1, false, false, 0},
      {"not repeatable", 4, "/once/x", 3, 1, false, false, 0},
      {"one gateway", 1, "/gen/x", 3, 1, false, false, 0},
      {"a long prompt", 4, "/gen/x", 40, 30, false, false, 0},
      {"at first never without the others", 4, "/gen/x", 3, 1, false, false,
       10},
      {"unframed streams", 4, "/gen/x", 3, 1, true, false, 0},
      {"unframed streams, connections are closed", 4, "/gen/x", 3, 1, true,
       true, 0},
      {"unframed plain answers", 4, "/safe/x", 3, 1, true, false, 0},
  };
  for (const Case &row : rows) {
    SCOPED_TRACE(row.what);
    run_case(row);
  }
}

} // namespace
