// kept_request_test.cc - requests on kept connections that come in pieces,
// around stalls, stops and changes of limits
#include "gateway_world.h"

#include <chrono>
#include <memory>

namespace {

using Clock = std::chrono::steady_clock;

int ms_since (Clock::time_point t) {
  return (int)std::chrono::duration_cast<std::chrono::milliseconds>(
             Clock::now() - t)
      .count();
}

void pump_for (World &w, int ms) {
  auto begun = Clock::now();
  while (ms_since(begun) < ms) w.pump();
}

void set_limit (std::string &text, const std::string &name, int value) {
  size_t at = text.find(name) + name.size() + 2;
  text.replace(at, text.find_first_of(",}", at) - at, std::to_string(value));
}

const int IDLE_MS = 1000;

std::string config (int version, int idle_ms, int header_ms = 3000,
                    int body_bytes = 100000) {
  std::string text = World::config(version, "key-w1");
  set_limit(text, "idle_timeout_ms", idle_ms);
  set_limit(text, "header_timeout_ms", header_ms);
  set_limit(text, "max_body_bytes", body_bytes);
  return text;
}

// {== Requests =============================================================

enum class Body { NONE, LENGTH, CHUNKED, EXPECT };
// What is sent first; the rest follows later.
enum class First { BYTE, HALF_HEAD, HEAD, HALF_BODY, ALL };

const Body bodies[] = {Body::NONE, Body::LENGTH, Body::CHUNKED, Body::EXPECT};
const First firsts[] = {First::BYTE, First::HALF_HEAD, First::HEAD,
                        First::HALF_BODY, First::ALL};

// The text of a request, and where its head ends.
struct Text {
  std::string text;
  size_t head;
};

const size_t BODY_BYTES = 3000;

std::string body_of (const std::string &id) {
  std::string body;
  while (body.size() < BODY_BYTES) body += id + ".";
  return body;
}

Text text_of (Body kind, const std::string &path, const std::string &id) {
  std::string body = kind == Body::NONE ? "" : body_of(id);
  std::string text = World::ask(
      path, id, body, kind == Body::EXPECT ? "Expect: 100-continue\r\n" : "");
  if (kind == Body::CHUNKED) {
    size_t at = text.find("Content-Length");
    char size[16];
    snprintf(size, sizeof size, "%zx\r\n", body.size());
    text = text.substr(0, at) + "Transfer-Encoding: chunked\r\n\r\n" + size +
           body + "\r\n0\r\n\r\n";
  }
  return {text, text.find("\r\n\r\n") + 4};
}

size_t size_of (First first, const Text &t) {
  switch (first) {
    case First::BYTE: return 1;
    case First::HALF_HEAD: return t.head / 2;
    case First::HEAD: return t.head;
    case First::HALF_BODY: return (t.head + t.text.size()) / 2;
    case First::ALL: return t.text.size();
  }
  return 0;
}

// An engine that says whose request it got.
void serve (Conn &c, const Request &r) {
  std::string id = r.field("X-Attempt-Id");
  c.send(answer(200, "X-Engine-Seal: s\r\nX-Attempt-Id: " + id + "\r\n",
                id + " " + std::to_string(r.body.size()) +
                    (r.body.empty() || r.body == body_of(id) ? "" : "?")));
}

// A caller with a kept connection.
struct Caller {
  Conn *conn;
  Body body;
  First first;
  bool fresh; // its connection has had no request
  std::string id;
  Text text;
  size_t sent = 0;

  void send_to (size_t end) {
    if (conn->fd >= 0) conn->send(text.text.substr(sent, end - sent));
    sent = end;
  }
  void skip_interim () {
    const std::string line = "HTTP/1.1 100 ";
    if (conn->in.compare(0, line.size(), line) != 0) return;
    size_t end = conn->in.find("\r\n\r\n");
    if (end != conn->in.npos) conn->in.erase(0, end + 4);
  }
  bool is_over () {
    skip_interim();
    return conn->closed || World::is_complete(conn->in);
  }
  std::string name () const {
    return "body " + std::to_string((int)body) + ", first " +
           std::to_string((int)first) + (fresh ? ", fresh" : "") + ": ";
  }
  std::string expected () const {
    return id + " " + std::to_string(body == Body::NONE ? 0 : BODY_BYTES);
  }
};

// A gateway with callers of all forms.
struct KeptWorld : World {
  std::list<Caller> all;

  explicit KeptWorld(int idle_ms = IDLE_MS, int header_ms = 3000) {
    put("op/config", ::config(7, idle_ms, header_ms));
    engine("i-0", "plain", listen(serve));
    start();
  }
  void connect_all () {
    for (bool fresh : {false, true})
      for (Body body : bodies)
        for (First first : firsts) {
          if (body == Body::NONE && first == First::HALF_BODY) continue;
          std::string id = "k" + std::to_string(all.size());
          const char *path = all.size() % 2 ? "/once/x" : "/safe/x";
          all.push_back({connect(callers), body, first, fresh, id,
                         text_of(body, path, id)});
          if (!fresh) all.back().conn->send(ask("/safe/x", "w" + id));
        }
    for (Caller &c : all) {
      if (c.fresh) continue;
      EXPECT_TRUE(until([&] { return c.is_over(); }));
      c.conn->in.clear();
    }
  }
  void send_first () {
    for (Caller &c : all) c.send_to(size_of(c.first, c.text));
  }
  void send_rest () {
    for (Caller &c : all) c.send_to(c.text.text.size());
  }
  void expect_answers (const std::string &what) {
    for (Caller &c : all) {
      EXPECT_TRUE(until([&] { return c.is_over(); })) << what << c.name();
      size_t end = c.conn->in.find("\r\n\r\n");
      EXPECT_EQ(status_of(c.conn->in), 200)
          << what << c.name() << c.conn->in << log;
      if (end == c.conn->in.npos) continue;
      EXPECT_EQ(c.conn->in.substr(end + 4), c.expected()) << what << c.name();
    }
  }
};

// }==

// Guards against a request that is closed, or late, because a part of it came
// when its connection was nearly idle, or its process stood still.
TEST(KeptRequest, ARequestInPiecesIsAnswered) {
  enum class Beside {
    NOTHING,
    STALL_BEFORE,  // the first piece comes in it
    STALL_BETWEEN, // the rest does
    STALL_OVER,    // both do
    STALLS,        // short ones
    STOP,
    STOP_IN_STALL,
    LIMITS // change again and again; and SIGHUP
  };
  for (Beside beside :
       {Beside::NOTHING, Beside::STALL_BEFORE, Beside::STALL_BETWEEN,
        Beside::STALL_OVER, Beside::STALLS, Beside::STOP,
        Beside::STOP_IN_STALL, Beside::LIMITS}) {
    std::string what = "beside " + std::to_string((int)beside) + ", ";
    KeptWorld w;
    w.connect_all();
    auto begun = Clock::now();
    int version = 8;
    bool stalled = false;
    auto until_ms = [&] (int ms) {
      while (ms_since(begun) < ms) {
        w.pump();
        if (beside == Beside::LIMITS && ms_since(begun) / 70 > version - 8) {
          version++;
          w.put("op/config",
                ::config(version, version % 3 ? 200 + 50 * version : 700,
                         version % 2 ? 1500 : 2500,
                         version % 2 ? 10000 : 50000));
        }
        if (beside != Beside::STALLS) continue;
        bool stall = ms_since(begun) / 150 % 2 == 1;
        if (stall != stalled) kill(w.pid, stall ? SIGSTOP : SIGCONT);
        stalled = stall;
      }
    };
    until_ms(300);
    if (beside == Beside::STALL_BEFORE || beside == Beside::STALL_OVER)
      kill(w.pid, SIGSTOP);
    until_ms(700);
    w.send_first();
    if (beside == Beside::STOP) kill(w.pid, SIGTERM);
    if (beside == Beside::LIMITS) kill(w.pid, SIGHUP);
    until_ms(850);
    if (beside == Beside::STALL_BETWEEN || beside == Beside::STOP_IN_STALL)
      kill(w.pid, SIGSTOP);
    if (beside == Beside::STOP_IN_STALL) kill(w.pid, SIGTERM);
    until_ms(1150);
    if (beside == Beside::STALL_BEFORE) kill(w.pid, SIGCONT);
    if (beside == Beside::STOP || beside == Beside::STOP_IN_STALL)
      until_ms(1600);
    w.send_rest();
    until_ms(ms_since(begun) + 200);
    kill(w.pid, SIGCONT);
    w.expect_answers(what);
  }
}

// Guards against a body that comes in time being late, because the process
// stood still, or stops, while it came.
TEST(KeptRequest, ABodyThatComesSlowlyInTimeIsAnswered) {
  enum class Beside { STALLS, LONG_STALL_AT_THE_END, STOP, LIMITS };
  for (Beside beside : {Beside::STALLS, Beside::LONG_STALL_AT_THE_END,
                        Beside::STOP, Beside::LIMITS}) {
    std::string what = "beside " + std::to_string((int)beside) + ", ";
    const int HEADER_MS = 1200, SEND_MS = 1000;
    KeptWorld w(IDLE_MS, HEADER_MS);
    w.connect_all();
    auto begun = Clock::now();
    bool stalled = false;
    int version = 8;
    while (ms_since(begun) < SEND_MS) {
      int ms = ms_since(begun);
      for (Caller &c : w.all) {
        size_t end = c.text.text.size() * (size_t)ms / SEND_MS;
        if (end > c.sent) c.send_to(end);
      }
      bool stall = (beside == Beside::STALLS && ms / 200 % 2 == 1) ||
                   (beside == Beside::LONG_STALL_AT_THE_END && ms > 700);
      if (stall != stalled) kill(w.pid, stall ? SIGSTOP : SIGCONT);
      stalled = stall;
      if (beside == Beside::STOP && ms > 200 && version == 8) {
        version++;
        kill(w.pid, SIGTERM);
      }
      if (beside == Beside::LIMITS && ms / 100 > version - 8) {
        version++;
        w.put("op/config", ::config(version, 200, 300, 1000));
      }
      w.pump();
    }
    w.send_rest();
    if (stalled) pump_for(w, 500);
    kill(w.pid, SIGCONT);
    w.expect_answers(what);
  }
}

// Guards against requests that a stopping process loses: at each moment of
// it, on connections that rest, a request is answered or met by a close that
// was there before.
TEST(KeptRequest, ARequestToAStoppingProcessIsAnsweredOrMeetsAClose) {
  KeptWorld w(15000);
  const int STEP_MS = 100, STEPS = 32;
  struct Late {
    Conn *conn;
    std::string id;
    bool sent = false, met_close = false;
  };
  std::vector<Late> late;
  for (int i = 0; i < STEPS; i++) {
    std::string id = "l" + std::to_string(i);
    late.push_back({w.connect(w.callers), id});
    late.back().conn->send(World::ask("/safe/x", "w" + id));
    ASSERT_TRUE(
        w.until([&] { return World::is_complete(late.back().conn->in); }));
    late.back().conn->in.clear();
  }
  kill(w.pid, SIGTERM);
  auto begun = Clock::now();
  for (Late &l : late) {
    pump_for(w, 1);
    l.met_close = l.conn->closed;
    if (!l.met_close) l.conn->send(World::ask("/once/x", l.id));
    l.sent = !l.met_close;
    while (ms_since(begun) < STEP_MS * (int)(&l - &late[0] + 1)) w.pump();
  }
  int answered = 0;
  for (Late &l : late) {
    if (!l.sent) continue;
    EXPECT_TRUE(w.until([&] {
      return l.conn->closed || World::is_complete(l.conn->in);
    })) << l.id;
    EXPECT_NE(World::status_of(l.conn->in), 0) << l.id << w.log;
    answered += World::status_of(l.conn->in) == 200;
  }
  EXPECT_GT(answered, 20);
}

// Guards against an engine that works for a caller who has left, unnoticed as
// the gateway had stopped reading what the caller sent ahead.
TEST(KeptRequest, ACallerThatSentMuchAheadAndLeftIsNoticed) {
  for (bool reset : {true, false})
    for (size_t ahead : {1000u, 90000u}) {
      World w;
      Conn *engine = nullptr;
      w.put("op/config", ::config(7, 15000));
      w.engine("i-0", "plain",
               w.listen([&] (Conn &c, const Request &) { engine = &c; }));
      w.start();
      Conn *caller = w.connect(w.callers);
      caller->send(World::ask("/safe/x", "id1"));
      ASSERT_TRUE(w.until([&] { return engine != nullptr; }));
      caller->send(World::ask("/safe/x", "id2", std::string(ahead, 'b')));
      pump_for(w, 100);
      if (reset)
        caller->abort();
      else
        caller->close();
      auto left = Clock::now();
      w.until([&] { return engine->closed || ms_since(left) > 900; });
      EXPECT_TRUE(engine->closed) << ahead << " bytes ahead";
      EXPECT_LT(ms_since(left), 500)
          << ahead << " bytes ahead, reset " << reset << w.log;
    }
}

} // namespace
