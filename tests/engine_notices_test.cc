// engine_notices_test.cc - what engines say of themselves in their answers
//
// While the store answered nobody an engine said in its answers that it
// leaves, and routers that had passed these on went on sending it requests;
// engines that had turned requests away and asked for 3 s of rest got 28 to
// 39 more in that time. Nothing read what an answer says of the engine
// itself: it was known in the process and no decision used it, with no other
// trouble around. A router printed the one line, and later ran at that
// engine:
//
//   t=1796281146.244 node=g0 event=engine engine=i-2 outcome=says-leaving
//   t=1796281150.567 node=g0 event=request engine=i-2 attempt=1 age=16
//     status=200 outcome=answered
//
// Of 12,663 requests at 12 routers 831 went to an engine more than 2,000 ms
// after the same router had passed on that it leaves, the last 7,827 ms;
// 4,817 of 5,556 rests had more than two requests in them.
#include <gtest/gtest.h>

#include "soak/fleet.h"

namespace {

using soak::Fleet;

std::string seal_of (const Request &r) {
  return "X-Attempt-Id: " + r.field("X-Attempt-Id") +
         "\r\nX-Engine-Seal: seal-1\r\n";
}

std::string entry (const Listener *l, long started_at) {
  return "{\"service\":\"plain\",\"addr\":\"127.0.0.1:" +
         std::to_string(l->port) +
         "\",\"zone\":\"d1\",\"slots\":8,\"state\":\"ready\",\"born\":" +
         std::to_string(started_at) + "}";
}

// Two engines of one service; the first says something of itself.
class Pair {
public:
  World w;
  Listener *first, *second;
  int at_first = 0, at_second = 0;

  explicit Pair(const Handler &says) {
    first = w.listen([this, says] (Conn &c, const Request &r) {
      at_first++;
      says(c, r);
    });
    second = w.listen([this] (Conn &c, const Request &r) {
      at_second++;
      c.send(answer(200, seal_of(r), "well"));
    });
    w.put("servers/i-1", entry(first, 5));
    w.start();
  }
  // The second engine serves too from now on.
  void widen () {
    w.put("servers/i-2", entry(second, 6));
    EXPECT_TRUE(w.until([&] {
      return w.log.find("engine=i-2 address") != std::string::npos;
    }));
  }
  void ask (int times) {
    for (int i = 0; i < times; i++)
      w.call(World::ask("/safe/x", "id" + std::to_string(++asked)));
  }

private:
  int asked = 100;
};

// {== Leaving ==============================================================

// Each kind of answer says so, whoever waits for it and whatever it is.
TEST(EngineNotices, NothingIsSentToAnEngineThatSaysItLeaves) {
  struct Row {
    const char *what;
    Handler says;
    std::string fields; // of the request
  } rows[] = {
      {"a success",
       [] (Conn &c, const Request &r) {
         c.send(answer(200, seal_of(r) + "Server-Leaving: 1\r\n", "x"));
       },
       ""},
      {"another case",
       [] (Conn &c, const Request &r) {
         c.send(answer(200, seal_of(r) + "server-leaving: 1\r\n", "x"));
       },
       ""},
      {"a failure",
       [] (Conn &c, const Request &r) {
         c.send(answer(500, seal_of(r) + "Server-Leaving: 1\r\n", "x"));
       },
       ""},
      {"not run",
       [] (Conn &c, const Request &r) {
         c.send(
             answer(503, "X-Not-Executed: 1\r\nServer-Leaving: 1\r\n", ""));
       },
       ""},
      {"an answer whose rest is still to come",
       [] (Conn &c, const Request &r) {
         c.send("HTTP/1.1 200 OK\r\n" + seal_of(r) +
                "Server-Leaving: 1\r\nContent-Length: 100\r\n\r\nsome");
       },
       "X-Deadline-Ms: 300\r\n"},
      {"an earlier request's answer",
       [] (Conn &c, const Request &r) {
         c.send(answer(200,
                       "X-Attempt-Id: other\r\nX-Engine-Seal: s\r\n"
                       "Server-Leaving: 1\r\n",
                       "other") +
                answer(200, seal_of(r), "mine"));
       },
       ""},
  };
  for (const Row &row : rows) {
    SCOPED_TRACE(row.what);
    Pair p(row.says);
    Conn *c = p.w.connect(p.w.callers);
    c->send(World::ask("/safe/x", "first", "", row.fields));
    ASSERT_TRUE(p.w.until([&] {
      return p.w.log.find("engine=i-1 address") != std::string::npos &&
             p.w.log.find("outcome=says-leaving") != std::string::npos;
    }));
    p.widen();
    p.at_first = 0;
    p.ask(20);
    EXPECT_EQ(p.at_first, 0);
    // The store still says that it is ready, and says so anew.
    p.w.put("servers/i-1", entry(p.first, 5));
    p.w.put("servers/i-3", entry(p.second, 7));
    ASSERT_TRUE(p.w.until([&] {
      return p.w.log.find("engine=i-3 address") != std::string::npos;
    }));
    p.ask(20);
    EXPECT_EQ(p.at_first, 0);
    // Another start of it does not leave.
    p.w.put("servers/i-1", entry(p.first, 9));
    ASSERT_TRUE(p.w.until([&] {
      p.ask(1);
      return p.at_first > 0;
    }));
  }
}

// }==

// {== Rest =================================================================

TEST(EngineNotices, AnEngineThatAsksForRestHasIt) {
  struct Row {
    const char *what, *fields;
    bool rests;
  } rows[] = {
      {"for long", "X-Not-Executed: 1\r\nRetry-After: 50\r\n", true},
      {"a fraction", "X-Not-Executed: 1\r\nRetry-After: 49.5\r\n", true},
      {"without end", "X-Not-Executed: 1\r\nRetry-After: 1e30\r\n", true},
      {"it may have run", "Retry-After: 50\r\n", true},
      {"twice", "X-Not-Executed: 1\r\nRetry-After: 0\r\nRetry-After: 50\r\n",
       true},
      {"for no time", "X-Not-Executed: 1\r\nRetry-After: 0\r\n", false},
      {"for less", "X-Not-Executed: 1\r\nRetry-After: -5\r\n", false},
      {"a date",
       "X-Not-Executed: 1\r\nRetry-After: Fri, 01 Jan 2100 00:00:00 GMT\r\n",
       false},
  };
  for (const Row &row : rows) {
    SCOPED_TRACE(row.what);
    std::string fields = row.fields;
    Pair p([fields] (Conn &c, const Request &r) {
      c.send(answer(503, fields, ""));
    });
    p.ask(1);
    EXPECT_EQ(p.at_first, 1);
    p.widen();
    p.at_first = 0;
    if (row.rests) {
      p.ask(40);
      EXPECT_EQ(p.at_first, 0);
      EXPECT_EQ(p.at_second, 40);
    } else {
      EXPECT_TRUE(p.w.until([&] {
        p.ask(1);
        return p.at_first > 0;
      }));
    }
  }
}

// }==

// {== What routers tell each other =========================================

// Gateways of both failure domains know what one of them has passed on.
TEST(EngineNotices, WhatOneRouterHeardAllKnow) {
  Fleet fleet(5);
  ASSERT_TRUE(fleet.begins());
  std::string engine = fleet.world.plains[0];
  fleet.world.notices.leave(engine, soak::now_ms() + 3600000);
  ASSERT_TRUE(fleet.until([&] {
    fleet.ask(0, "/safe/x", "key-w1");
    return fleet.said(0, "engine=" + engine + " outcome=says-leaving");
  }));
  for (int i = 1; i < 5; i++)
    ASSERT_TRUE(fleet.until([&] {
      return fleet.said(i, "engine=" + engine + " outcome=told-leaving");
    })) << i;
  fleet.world.arrived.clear();
  for (int i = 0; i < 100; i++) fleet.ask(i % 5, "/safe/x", "key-w1");
  EXPECT_EQ(fleet.world.arrived[engine], 0);
}

// }==

} // namespace
