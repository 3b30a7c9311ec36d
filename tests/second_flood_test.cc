// second_flood_test.cc - bytes without end beside callers that leave, a stop,
// and the requests that follow
#include "gateway_world.h"

#include <chrono>

namespace {

using Clock = std::chrono::steady_clock;

int ms_since (Clock::time_point t) {
  return (int)std::chrono::duration_cast<std::chrono::milliseconds>(
             Clock::now() - t)
      .count();
}

// Sends a text again and again, as far as the kernel takes it.
struct Flow {
  Conn *conn;
  std::string block;
  size_t at = 0;
  void step () {
    for (int i = 0; conn->fd >= 0 && i < 4; i++) {
      ssize_t n = ::send(conn->fd, &block[at], block.size() - at,
                         MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n <= 0) return;
      at = (at + (size_t)n) % block.size();
    }
  }
};

struct Form {
  const char *what;
  bool of_request; // begins with a head that names the request
  std::string begin, unit;
} forms[] = {
    {"a header line", true, "X-Long: ", "a"},
    {"header lines", true, "", "X-A: b\r\n"},
    {"a status line", false, "HTTP/1.1 200 ", "OK "},
    {"a status", false, "HTTP/1.1 2", "0"},
    {"a version", false, "HTTP/1.", "1"},
    {"interim responses", false, "", "HTTP/1.1 102 X\r\nX: y\r\n\r\n"},
    {"folded lines", true, "X-Fold: a\r\n", " b\r\n"},
    {"another request's answer", false,
     "HTTP/1.1 200 X\r\nX-Attempt-Id: other\r\n\r\n", "x"},
    {"answers to another request", false, "",
     "HTTP/1.1 200 X\r\nX-Attempt-Id: other\r\nContent-Length: 2\r\n\r\nok"},
    {"a body of a large length", true, "Content-Length: 99999999999\r\n\r\n",
     "x"},
    {"a body", true, "\r\n", "x"},
    {"chunks of one byte", true, "Transfer-Encoding: chunked\r\n\r\n",
     "1\r\nx\r\n"},
    {"a chunk of a large size", true,
     "Transfer-Encoding: chunked\r\n\r\nffffffffff\r\n", "x"},
    {"two lengths", true, "Content-Length: 1\r\nContent-Length: 9\r\n\r\n",
     "x"},
    {"a body behind status 204", true, "\r\n", "x"},
};

const char *const kinds[] = {"safe", "unsafe"};

struct Case {
  const Form *form;
  std::string kind, n, id;
  Conn *caller = nullptr;
  int arrivals = 0;
  Conn *first = nullptr; // of its engine
};

// A gateway with a route, a service and one engine for each form and kind.
struct FloodWorld : World {
  std::list<Case> cases;
  std::list<Flow> flows;
  bool over = false;

  FloodWorld() {
    std::string routes, services;
    for (const Form &form : forms)
      for (const char *kind : kinds) {
        std::string n = std::to_string(cases.size() + 1);
        cases.push_back({&form, kind, n, "id" + n});
        Case &c = cases.back();
        routes += ",{\"name\":\"r" + n +
                  "\",\"host\":\"h.example\",\"path_prefix\":\"/r" + n +
                  "/\",\"route_kind\":\"" + kind +
                  "\",\"timeout_ms\":9000,\"goal_ms\":150,\"service\":\"s" +
                  n + "\",\"max_attempts\":1}";
        services += "{\"name\":\"s" + n + "\",\"max_conns\":50},";
        engine("i" + n, "s" + n,
               listen([this, &c] (Conn &conn, const Request &r) {
                 serve(c, conn, r);
               }));
      }
    std::string text = config(8, "key-w1", routes);
    text.insert(text.find("\"services\":[") + 12, services);
    put("op/config", text);
  }
  void serve (Case &c, Conn &conn, const Request &r) {
    std::string id = r.field("X-Attempt-Id");
    if (c.arrivals++ > 0) {
      conn.send(answer(
          200, "X-Engine-Seal: s\r\nX-Attempt-Id: " + id + "\r\n", id));
      return;
    }
    c.first = &conn;
    const Form &form = *c.form;
    bool empty = std::string(form.what).find("204") != std::string::npos;
    std::string head = "HTTP/1.1 " + std::string(empty ? "204" : "200") +
                       " X\r\nX-Attempt-Id: " + id +
                       "\r\nX-Engine-Seal: s\r\n";
    conn.send((form.of_request ? head : "") + form.begin);
    std::string block;
    while (block.size() < 60000) block += form.unit;
    flows.push_back({&conn, block});
  }
  void step () {
    pump();
    for (Flow &f : flows) f.step();
  }
  bool await (const std::function<bool()> &cond, int ms = 8000) {
    auto begun = Clock::now();
    while (!cond()) {
      if (ms_since(begun) > ms) return false;
      step();
    }
    return true;
  }
  void shorten () {
    for (Case &c : cases)
      if (c.caller != nullptr && c.caller->in.size() > 200000)
        c.caller->in.erase(4096, c.caller->in.size() - 100000);
  }
  Conn *ask_for (const Case &c, const std::string &id) {
    Conn *conn = connect(callers);
    conn->send(ask("/r" + c.n + "/x", id));
    return conn;
  }
  void ask_all () {
    for (Case &c : cases) c.caller = ask_for(c, c.id);
    EXPECT_TRUE(await([&] {
      for (Case &c : cases)
        if (c.arrivals == 0) return false;
      return true;
    }));
  }
};

// Guards against engines that are read on for callers who have left.
TEST(SecondFlood, IsNotReadOnForCallersWhoLeft) {
  FloodWorld w;
  w.start();
  w.ask_all();
  auto begun = Clock::now();
  w.await([&] {
    w.shorten();
    return ms_since(begun) > 100;
  });
  for (Case &c : w.cases) {
    if (c.id.back() % 2)
      c.caller->abort();
    else
      c.caller->close();
  }
  auto left = Clock::now();
  auto open = [&] {
    std::string names;
    for (Case &c : w.cases)
      if (c.first->fd >= 0) names += c.kind + " " + c.form->what + "; ";
    return names;
  };
  EXPECT_TRUE(w.await([&] { return open().empty(); }, 2000)) << open();
  printf("closed %d ms after the callers left\n", ms_since(left));
}

// Guards against a stop that bytes without end put off, and against answers
// that it makes look complete.
TEST(SecondFlood, DoesNotPutOffAStop) {
  FloodWorld w;
  w.grace_ms = 3000;
  w.start();
  w.ask_all();
  auto begun = Clock::now();
  kill(w.pid, SIGTERM);
  int status = -1;
  EXPECT_TRUE(w.await(
      [&] {
        w.shorten();
        return waitpid(w.pid, &status, WNOHANG) == w.pid;
      },
      w.grace_ms + 1000));
  if (status != -1) w.pid = -1;
  EXPECT_EQ(status, 0) << w.log;
  printf("ended after %d ms\n", ms_since(begun));
  begun = Clock::now();
  w.await([&] { return ms_since(begun) > 200; });
  for (Case &c : w.cases) {
    std::string what =
        c.kind + " " + c.form->what + ": " + c.caller->in.substr(0, 300);
    int code = World::status_of(c.caller->in);
    EXPECT_TRUE(c.caller->closed || World::is_complete(c.caller->in)) << what;
    EXPECT_NE(code, 0) << what;
    EXPECT_EQ(c.arrivals, 1) << what;
    // It ran, or may have.
    EXPECT_NE(code, 503) << what;
    EXPECT_NE(code, 429) << what;
    if (code != 200 || c.form->what == std::string("two lengths")) continue;
    bool framed = c.caller->in.find("chunked") != c.caller->in.npos;
    if (framed) {
      EXPECT_FALSE(World::is_complete(c.caller->in)) << what;
    } else {
      EXPECT_TRUE(c.caller->reset) << what;
    }
  }
}

// Guards against an engine that is left alone for long, or a service without
// an engine, after bytes without end on one request.
TEST(SecondFlood, AnEngineIsUsedAgainSoonAfterIt) {
  const int AGAIN_MAX_MS = 5000;
  FloodWorld w;
  w.start();
  w.ask_all();
  auto over = [&] {
    w.shorten();
    for (Case &c : w.cases)
      if (!c.caller->closed && !World::is_complete(c.caller->in))
        return false;
    return true;
  };
  EXPECT_TRUE(w.await(over));
  auto begun = Clock::now();
  std::map<const Case *, Conn *> asked;
  std::set<const Case *> served;
  int refused = 0, longest = 0;
  w.await(
      [&] {
        for (Case &c : w.cases) {
          if (served.count(&c)) continue;
          Conn *&conn = asked[&c];
          if (conn != nullptr && !conn->closed &&
              !World::is_complete(conn->in))
            continue;
          if (conn != nullptr) {
            int code = World::status_of(conn->in);
            conn->close();
            if (code == 200) {
              served.insert(&c);
              longest = ms_since(begun);
              continue;
            }
            refused++;
            EXPECT_EQ(code, 503) << c.kind << ' ' << c.form->what << conn->in;
          }
          conn = w.ask_for(c, c.id + "-" + std::to_string(refused));
        }
        return served.size() == w.cases.size();
      },
      AGAIN_MAX_MS);
  for (Case &c : w.cases)
    EXPECT_EQ(served.count(&c), 1u) << c.kind << ' ' << c.form->what;
  printf("%d refused; all are served after %d ms\n", refused, longest);
}

} // namespace
