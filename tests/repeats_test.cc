// repeats_test.cc - a request under which engines end, sent again and again
//
// A request ended each engine that began it, and its caller sent it again, at
// any gateway. Every gateway counted the tries of one arrival alone, so that
// the next arrival began at nothing, and 16 engines ended under one request
// in twelve seconds, each with 6 to 16 other requests that ran there. Eight
// such arrivals at five gateways, always the first attempt:
//
//   15.416 edge-portmore-1      engine=i-65542a5a6c attempt=1 age=87
//     outcome=attempt-failed why=engine_lost
//   15.456 edge-new-kingston-3  engine=i-654051f0e8 attempt=1 age=108
//     outcome=attempt-failed why=engine_lost
//   17.577 edge-halfway-tree-2  engine=i-db3c17208d attempt=1 age=73
//     outcome=attempt-failed why=engine_lost
//
// Where the route lets a request be repeated the gateway took it to a second
// engine besides: of 24 arrivals 40 to 48 ended engines.
#include "soak/fleet.h"

namespace {

using soak::Fleet;

const char DEADLY[] = "this one ends engines";

// Three ends are enough to know it by; as many more arrivals are borne.
const int ENDS = 3, ARRIVALS_MORE = 3;

struct Repeats {
  const char *what;
  int gateways;
  const char *path;
  bool renews; // engines are back under new ids
};

class Repeated : public Fleet {
public:
  explicit Repeated(const Repeats &row) : Fleet(row.gateways) {
    world.deadly.insert(DEADLY);
    world.deadly_ms = 5;
    world.down_ms = 100;
    world.renews = row.renews;
  }
  // All engines listen again, and every gateway uses them.
  bool engines_serve () {
    return until([&] { return world.all_back(); }) && until([&] {
             for (size_t i = 0; i < gateways.size(); i++)
               if (ask((int)i, "/safe/x", "key-w1") != 200) return false;
             return true;
           });
  }
};

void play (const Repeats &row) {
  Repeated fleet(row);
  ASSERT_TRUE(fleet.begins());
  for (int i = 0; i < 24; i++) {
    fleet.ask_with(i % row.gateways, row.path, DEADLY);
    ASSERT_TRUE(fleet.engines_serve());
  }
  EXPECT_GE(fleet.world.ended, 1);
  EXPECT_LE(fleet.world.ended, ENDS + ARRIVALS_MORE);
  for (int i = 0; i < row.gateways; i++) {
    std::string in = fleet.ask_with(i, row.path, DEADLY);
    EXPECT_EQ(::World::status_of(in), 503) << in;
    in = fleet.ask_with(i, row.path, "another one");
    EXPECT_EQ(::World::status_of(in), 200) << in;
  }
}

// What operators do about it, with the line that names it.
TEST(RepeatedRequest, IsListedAndClearedByOperators) {
  Repeated fleet({"", 3, "/safe/x", false});
  ASSERT_TRUE(fleet.begins());
  std::string list;
  auto ask = [&] (int gateway, const std::string &method,
                  const std::string &path) {
    const soak::Gateway &g = fleet.gateways[(size_t)gateway];
    return fleet.exchange(
        g, g.metrics, method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
  };
  for (int i = 0; i < 24 && list.find("state=quarantine") == list.npos; i++) {
    fleet.ask_with(i % 3, "/safe/x", DEADLY);
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
  fleet.world.deadly.clear(); // the engines were mended
  for (int i = 0; i < 3; i++)
    EXPECT_TRUE(fleet.until([&] {
      return ::World::status_of(fleet.ask_with(i, "/safe/x", DEADLY)) == 200;
    }));
}

TEST(RepeatedRequest, EndsNoMoreEnginesThanItTakesToKnowIt) {
  const Repeats rows[] = {
      {"one gateway", 1, "/safe/x", false},
      {"some gateways", 4, "/safe/x", false},
      {"many gateways", 10, "/safe/x", false},
      {"what may run once", 4, "/once/x", false},
      {"a stream", 4, "/gen/x", false},
      {"engines are back under new ids", 4, "/safe/x", true},
  };
  for (const Repeats &row : rows) {
    SCOPED_TRACE(row.what);
    play(row);
  }
}

} // namespace
