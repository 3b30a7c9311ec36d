// repeats_test.cc - a request that crashes engines and is sent repeatedly
//
// Guards against gateways that limit attempts only within one arrival of a
// request. A caller that sends the same crashing request again, at any
// gateway, then crashes one more engine each time, with all that runs there:
// 16 engines ended under one request in 12 s, each with 6 to 16 other
// requests. On a repeatable route the gateway also retried it at a second
// engine: 24 arrivals ended 40 to 48 engines.
#include "soak/fleet.h"

namespace {

using soak::Fleet;

// The body of a request that ends each engine that runs it.
const char CRASHING_BODY[] = "this one ends engines";

// Three ends are enough to quarantine the request; three more are tolerated.
const int ENDS_TO_QUARANTINE = 3, ENDS_TOLERATED = 3;

struct Case {
  const char *what;
  int gateways;
  const char *path;
  bool renews; // engines restart under new ids
};

class CrashingFleet : public Fleet {
public:
  explicit CrashingFleet(const Case &row) : Fleet(row.gateways) {
    world.poison_bodies.insert(CRASHING_BODY);
    world.poison_delay_ms = 5;
    world.down_ms = 100;
    world.renews = row.renews;
  }
  // Waits until all engines listen again and every gateway gets answers.
  bool engines_serve () {
    return until([&] { return world.all_restarted(); }) && until([&] {
             for (size_t i = 0; i < gateways.size(); i++)
               if (ask((int)i, "/safe/x", "key-w1") != 200) return false;
             return true;
           });
  }
};

void run_case (const Case &row) {
  CrashingFleet fleet(row);
  ASSERT_TRUE(fleet.wait_ready());
  for (int i = 0; i < 24; i++) {
    fleet.post(i % row.gateways, row.path, CRASHING_BODY);
    ASSERT_TRUE(fleet.engines_serve());
  }
  EXPECT_GE(fleet.world.crash_count, 1);
  EXPECT_LE(fleet.world.crash_count, ENDS_TO_QUARANTINE + ENDS_TOLERATED);
  for (int i = 0; i < row.gateways; i++) {
    std::string in = fleet.post(i, row.path, CRASHING_BODY);
    EXPECT_EQ(::World::status_of(in), 503) << in;
    in = fleet.post(i, row.path, "another one");
    EXPECT_EQ(::World::status_of(in), 200) << in;
  }
}

// Operators find the request in the list of suspects and clear it by its
// digest.
TEST(RepeatedRequest, IsListedAndClearedByOperators) {
  CrashingFleet fleet({"", 3, "/safe/x", false});
  ASSERT_TRUE(fleet.wait_ready());
  std::string list;
  auto ask = [&] (int gateway, const std::string &method,
                  const std::string &path) {
    const soak::Gateway &g = fleet.gateways[(size_t)gateway];
    return fleet.exchange(
        g, g.metrics, method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
  };
  for (int i = 0; i < 24 && list.find("state=quarantine") == list.npos; i++) {
    fleet.post(i % 3, "/safe/x", CRASHING_BODY);
    ASSERT_TRUE(fleet.engines_serve());
    list = ask(0, "GET", "/suspects");
  }
  ASSERT_NE(list.find("state=quarantine"), list.npos) << list;
  size_t line = list.rfind("digest=", list.find("state=quarantine"));
  std::string digest = list.substr(line + 7, 16);
  EXPECT_EQ(
      ::World::status_of(ask(1, "DELETE", "/suspects/0000000000000002")),
      404);
  EXPECT_EQ(::World::status_of(ask(1, "DELETE", "/suspects/" + digest)), 200);
  fleet.world.poison_bodies.clear(); // engines no longer crash
  for (int i = 0; i < 3; i++)
    EXPECT_TRUE(fleet.until([&] {
      return ::World::status_of(fleet.post(i, "/safe/x", CRASHING_BODY)) ==
             200;
    }));
}

TEST(RepeatedRequest, CrashesABoundedNumberOfEngines) {
  const Case rows[] = {
      {"one gateway", 1, "/safe/x", false},
      {"some gateways", 4, "/safe/x", false},
      {"many gateways", 10, "/safe/x", false},
      {"not repeatable", 4, "/once/x", false},
      {"a stream", 4, "/gen/x", false},
      {"engines restart under new ids", 4, "/safe/x", true},
  };
  for (const Case &row : rows) {
    SCOPED_TRACE(row.what);
    run_case(row);
  }
}

} // namespace
