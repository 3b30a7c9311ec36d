// kept_connection_test.cc - requests on connections that callers keep
#include "gateway_world.h"

#include <chrono>

extern "C" {
#include "boot_clock.h"
#include "http_server.h"
}

namespace {

using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

void pump_for (World &w, int ms) {
  auto end = Clock::now() + std::chrono::milliseconds(ms);
  while (Clock::now() < end) w.pump();
}

void set_limit (std::string &text, const std::string &name, int value) {
  size_t at = text.find(name) + name.size() + 2;
  text.replace(at, text.find_first_of(",}", at) - at, std::to_string(value));
}

std::string config (int version, int idle_ms, int header_ms = 3000) {
  std::string text = World::config(version, "key-w1");
  set_limit(text, "idle_timeout_ms", idle_ms);
  set_limit(text, "header_timeout_ms", header_ms);
  set_limit(text, "max_body_bytes", 64 << 20);
  return text;
}

// Sends what the kernel takes of a text, from `sent` on.
void send_some (const Conn &c, const std::string &text, size_t &sent) {
  if (c.fd < 0) return;
  ssize_t n = send(c.fd, text.data() + sent, text.size() - sent,
                   MSG_NOSIGNAL | MSG_DONTWAIT);
  if (n > 0) sent += (size_t)n;
}

// Answers with status 200 that a caller has received.
size_t answers (const Conn &c) {
  size_t n = 0;
  const std::string line = "HTTP/1.1 200 ";
  for (size_t at = c.in.find(line); at != c.in.npos;
       at = c.in.find(line, at + 1))
    n++;
  return n;
}

void answer_ok (Conn &c, const Request &r) {
  c.send(answer(
      200,
      "X-Engine-Seal: s\r\nX-Attempt-Id: " + r.field("X-Attempt-Id") + "\r\n",
      "ok"));
}

// The value of a counter of caller_closes_*, of one reason.
int closes (World &w, const std::string &name, const std::string &why) {
  std::string page =
      w.fetch(w.metrics, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
  std::string line =
      "\nmartentiller_gateway_caller_" + name + "{reason=\"" + why + "\"} ";
  size_t at = page.find(line);
  EXPECT_NE(at, page.npos) << line;
  return at == page.npos ? -1 : atoi(page.c_str() + at + line.size());
}

// Without them a connection that is closed leaves no trace.
TEST(KeptConnection, ClosesAreCountedByReason) {
  enum class End { CALLER, ANSWERED, IDLE, INVALID, LATE };
  struct Row {
    const char *why;
    End end;
  } rows[] = {
      {"caller", End::CALLER},
      {"answered", End::ANSWERED},
      {"idle", End::IDLE},
      {"invalid", End::INVALID}, // with input beyond it
      {"late", End::LATE},
  };
  for (const Row &row : rows) {
    World w;
    w.put("op/config", config(7, row.end == End::IDLE ? 200 : 15000));
    w.engine("i-0", "plain", w.listen(answer_ok));
    w.start();
    Conn *caller = w.connect(w.callers);
    std::string fields =
        row.end == End::ANSWERED ? "Connection: close\r\n" : "";
    std::string text = World::ask("/safe/x", "id1", "", fields);
    if (row.end == End::LATE) text.resize(text.size() / 2);
    if (row.end == End::INVALID) text = "?" + std::string(200000, 'x');
    caller->send(text);
    ASSERT_TRUE(row.end == End::LATE ||
                w.until([&] { return World::is_complete(caller->in); }));
    if (row.end == End::CALLER) caller->close();
    EXPECT_TRUE(w.until([&] {
      return closes(w, "closes_total", row.why) == 1;
    })) << row.why;
    EXPECT_EQ(closes(w, "closes_unread_total", row.why), 0) << row.why;
    EXPECT_EQ(w.log.find("event=caller-closed"), w.log.npos) << row.why;
  }
}

// A caller whose connection rests after a first answer.
Conn *rested (World &w) {
  Conn *caller = w.connect(w.callers);
  caller->send(World::ask("/safe/x", "id1"));
  EXPECT_TRUE(w.until([&] { return World::is_complete(caller->in); }));
  caller->in.clear();
  return caller;
}

// Guards against connections that are closed as idle while a whole request
// lies unread in them.
TEST(KeptConnection, ARequestThatArrivesInTimeIsAnswered) {
  enum class Beside {
    NOTHING,
    STALL,       // the process stands still past the idle time
    SHORTER_IDLE // a configuration shortens the idle time meanwhile
  };
  struct Row {
    const char *what;
    Beside beside;
  } rows[] = {
      {"nothing", Beside::NOTHING},
      {"a stall", Beside::STALL},
      {"a shorter idle time", Beside::SHORTER_IDLE},
  };
  for (const Row &row : rows) {
    World w;
    w.put("op/config", config(7, 1000));
    w.engine("i-0", "plain", w.listen(answer_ok));
    w.start();
    Conn *caller = rested(w);
    pump_for(w, 300);
    if (row.beside == Beside::STALL) kill(w.pid, SIGSTOP);
    if (row.beside == Beside::SHORTER_IDLE)
      w.put("op/config", config(8, 200));
    pump_for(w, 400);
    caller->send(World::ask("/safe/x", "id2"));
    pump_for(w, 500);
    if (row.beside == Beside::STALL) kill(w.pid, SIGCONT);
    w.until([&] { return caller->closed || World::is_complete(caller->in); });
    EXPECT_EQ(World::status_of(caller->in), 200) << row.what;
  }
}

// Guards against new limits that hold for requests that callers have begun,
// or may send, by the ones before; and against old ones that hold for too
// long.
TEST(KeptConnection, NarrowerLimitsHoldFromTheNextAnswerOn) {
  struct Row {
    const char *limit;
    int before, after;
    size_t body;
    int pause_ms; // midway in the request
    int status;   // of a request after the next answer; 0: closed
  } rows[] = {
      {"idle_timeout_ms", 5000, 200, 0, 0, 0},
      {"header_timeout_ms", 5000, 200, 1000, 500, 408},
      {"max_body_bytes", 5000, 500, 1000, 0, 413},
      {"max_header_bytes", 4096, 100, 0, 0, 431},
  };
  for (const Row &row : rows) {
    World w;
    std::string text = World::config(7, "key-w1");
    set_limit(text, row.limit, row.before);
    w.put("op/config", text);
    w.engine("i-0", "plain", w.listen(answer_ok));
    w.start();
    Conn *caller = rested(w);
    text = World::config(8, "key-w1");
    set_limit(text, row.limit, row.after);
    w.put("op/config", text);
    ASSERT_TRUE(w.until([&] {
      return w.log.find("event=configuration version=8") != w.log.npos;
    }));
    pump_for(w, 500);
    text = World::ask("/safe/x", "id2", std::string(row.body, 'x'));
    for (int status : {200, row.status}) {
      caller->send(text.substr(0, text.size() / 2));
      pump_for(w, row.pause_ms);
      caller->send(text.substr(text.size() / 2));
      w.until(
          [&] { return caller->closed || World::is_complete(caller->in); });
      EXPECT_EQ(World::status_of(caller->in), status) << row.limit;
      caller->in.clear();
      if (row.status != 0) continue;
      EXPECT_TRUE(w.until([&] { return caller->closed; })) << row.limit;
    }
  }
}

// Guards against a 408 for a request whose rest came in time and lies unread,
// or could not be sent as nobody read.
TEST(KeptConnection, ARequestThatWasNotReadInTimeIsNotLate) {
  struct Row {
    const char *what;
    size_t body;
  } rows[] = {
      {"all of it lies unread", 0},
      {"more than the kernel takes", 16u << 20},
  };
  for (const Row &row : rows) {
    World w;
    w.put("op/config", config(7, 15000, 600));
    w.engine("i-0", "plain", w.listen(answer_ok));
    w.start();
    Conn *caller = rested(w);
    std::string text =
        World::ask("/safe/x", "id2", std::string(row.body, 'x'));
    size_t sent = 60;
    caller->send(text.substr(0, sent));
    pump_for(w, 100);
    kill(w.pid, SIGSTOP);
    send_some(*caller, text, sent);
    EXPECT_EQ(sent<text.size(), row.body> 0) << row.what;
    pump_for(w, 1000);
    kill(w.pid, SIGCONT);
    w.until([&] {
      send_some(*caller, text, sent);
      return caller->closed || World::is_complete(caller->in);
    });
    EXPECT_EQ(World::status_of(caller->in), 200) << row.what;
  }
}

// Guards against room for a new connection that is made by closing one whose
// request lies unread.
TEST(KeptConnection, AnUnreadRequestIsNotEvictedForANewConnection) {
  World w;
  w.descriptors = 100;
  w.engine("i-0", "plain", w.listen(answer_ok));
  w.start();
  std::vector<Conn *> callers;
  while (callers.size() < 55) callers.push_back(rested(w));
  pump_for(w, 200);
  kill(w.pid, SIGSTOP);
  w.connect(w.callers);
  for (size_t i = 0; i + 1 < callers.size(); i++)
    callers[i]->send(World::ask("/safe/x", "id2"));
  pump_for(w, 100);
  kill(w.pid, SIGCONT);
  for (size_t i = 0; i + 1 < callers.size(); i++) {
    Conn *c = callers[i];
    w.until([&] { return c->closed || World::is_complete(c->in); });
    EXPECT_NE(World::status_of(c->in), 0) << i; // answered or refused
  }
  // The one that rested made the room.
  EXPECT_TRUE(w.until([&] { return callers.back()->closed; }));
  for (Conn *c : callers) c->close();
  pump_for(w, 100);
  EXPECT_EQ(closes(w, "closes_total", "evicted"), 1);
  EXPECT_EQ(closes(w, "closes_unread_total", "evicted"), 0);
}

// Guards against new callers that are closed unread as connections to other
// addresses of the gateway take up the descriptors.
TEST(KeptConnection, OtherAddressesLeaveDescriptorsForCallers) {
  for (const char *address : {"ready", "metrics"}) {
    World w;
    w.descriptors = 100;
    w.engine("i-0", "plain", w.listen(answer_ok));
    w.start();
    int port = address == std::string("ready") ? w.ready : w.metrics;
    std::vector<Conn *> others;
    while (others.size() < 100) others.push_back(w.connect(port));
    pump_for(w, 200);
    for (int i = 0; i < 10; i++) {
      Conn *caller = w.connect(w.callers);
      caller->send(World::ask("/safe/x", "id1"));
      w.until(
          [&] { return caller->closed || World::is_complete(caller->in); });
      EXPECT_EQ(World::status_of(caller->in), 200) << address << ' ' << i;
    }
  }
}

// Guards against requests that a process that ends leaves unread.
TEST(KeptConnection, ARequestBeforeTheEndOfTheProcessIsAnswered) {
  enum class Where { KEPT, NEW, PIPELINED };
  struct Row {
    const char *what;
    Where where;
    size_t requests;
  } rows[] = {
      {"on a kept connection", Where::KEPT, 1},
      {"on one that was not accepted", Where::NEW, 1},
      {"behind another one", Where::PIPELINED, 2},
  };
  for (const Row &row : rows) {
    World w;
    w.engine("i-0", "plain", w.listen(answer_ok));
    w.start();
    Conn *caller = row.where == Where::NEW ? nullptr : rested(w);
    kill(w.pid, SIGTERM);
    ASSERT_TRUE(
        w.until([&] { return w.log.find("event=stopping") != w.log.npos; }));
    pump_for(w, 1500);
    kill(w.pid, SIGSTOP);
    if (caller == nullptr) caller = w.connect(w.callers);
    std::string text;
    for (size_t i = 0; i < row.requests; i++)
      text += World::ask("/safe/x", "id2");
    caller->send(text);
    pump_for(w, 1500);
    kill(w.pid, SIGCONT);
    EXPECT_TRUE(w.until([&] { return caller->closed; })) << row.what;
    EXPECT_EQ(answers(*caller), row.requests) << row.what;
    int status = -1;
    EXPECT_TRUE(w.until([&] {
      return waitpid(w.pid, &status, WNOHANG) == w.pid;
    })) << row.what;
    w.pid = -1;
    EXPECT_EQ(status, 0) << row.what;
  }
}

// Guards against connections that a stopping process closes before their
// first request can have come.
TEST(KeptConnection, ANewConnectionIsNotClosedAtOnceByAStop) {
  uv_loop_t loop{};
  mt_boot_clock_init_loop(&loop);
  char reason[80];
  const mt_http_server_handler_t handler{};
  mt_http_server_t *server = mt_http_server_open(
      &loop, "127.0.0.1", 0, &handler, nullptr, reason, sizeof reason);
  ASSERT_NE(server, nullptr) << reason;
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in a = loopback(mt_http_server_port(server));
  ASSERT_EQ(connect(fd, (sockaddr *)&a, sizeof a), 0);
  while (mt_http_server_connections(server) == 0)
    uv_run(&loop, UV_RUN_NOWAIT);
  mt_http_server_tick(server);
  mt_http_server_close_idle(server);
  EXPECT_EQ(mt_http_server_connections(server), 1u);
  while (mt_http_server_connections(server) == 1) {
    uv_run(&loop, UV_RUN_NOWAIT);
    mt_http_server_tick(server);
    mt_http_server_close_idle(server);
  }
  ::close(fd);
  mt_http_server_close(server);
  while (uv_run(&loop, UV_RUN_DEFAULT) != 0) continue;
  uv_loop_close(&loop);
}

// Guards against requests that are cut, without an answer, as the grace of a
// process runs out.
TEST(KeptConnection, ARequestThatOutlastsTheGraceIsAnswered) {
  struct Row {
    const char *what;
    bool sent_in_stall; // else it is at an engine
    int status;
  } rows[] = {
      {"it is at an engine", false, 504},
      {"it lies unread behind a stall", true, 503},
  };
  for (const Row &row : rows) {
    World w;
    w.grace_ms = 2000;
    bool at_engine = false;
    w.engine("i-0", "plain", w.listen([&] (Conn &c, const Request &r) {
      at_engine = r.field("X-Attempt-Id") == "id2";
      if (!at_engine) answer_ok(c, r);
    }));
    w.start();
    Conn *caller = rested(w);
    if (!row.sent_in_stall) {
      caller->send(World::ask("/once/x", "id2"));
      ASSERT_TRUE(w.until([&] { return at_engine; }));
    }
    kill(w.pid, SIGTERM);
    ASSERT_TRUE(
        w.until([&] { return w.log.find("event=stopping") != w.log.npos; }));
    if (row.sent_in_stall) {
      pump_for(w, 1000);
      kill(w.pid, SIGSTOP);
      caller->send(World::ask("/once/x", "id2"));
      pump_for(w, 1000);
      kill(w.pid, SIGCONT);
    }
    EXPECT_TRUE(w.until([&] { return caller->closed; })) << row.what;
    EXPECT_EQ(World::status_of(caller->in), row.status) << row.what;
    EXPECT_FALSE(caller->reset) << row.what;
    EXPECT_EQ(at_engine, !row.sent_in_stall) << row.what;
  }
}

// Callers that use what they may of the idle time, beside stalls.
TEST(KeptConnection, ManyCallersAreAnsweredBesideStalls) {
  const int CALLERS = 60, STALLS = 6, IDLE_MS = 600;
  World w;
  w.put("op/config", config(7, IDLE_MS));
  w.engine("i-0", "plain", w.listen(answer_ok));
  w.start();
  struct Caller {
    Conn *conn;
    Clock::time_point next;
    bool asked = false;
  };
  std::vector<Caller> callers;
  while (callers.size() < CALLERS)
    callers.push_back({w.connect(w.callers), Clock::now()});
  int answered = 0, lost = 0, refused = 0, rest = 0;
  auto step = [&] (Caller &c) {
    bool whole = World::is_complete(c.conn->in);
    if (c.asked && (whole || c.conn->closed)) {
      int status = World::status_of(c.conn->in);
      (status == 200 ? answered : whole ? refused : lost)++;
      c.asked = false;
      if (c.conn->in.find("Connection: close") != c.conn->in.npos)
        c.conn->close();
      c.conn->in.clear();
      rest = (rest + 77) % (IDLE_MS * 9 / 10);
      c.next = Clock::now() + std::chrono::milliseconds(rest);
    }
    if (c.conn->closed) c.conn = w.connect(w.callers);
    if (c.asked || Clock::now() < c.next) return;
    c.conn->send(World::ask("/safe/x", "id"));
    c.asked = true;
  };
  for (int i = 0; i < 2 * STALLS; i++) {
    kill(w.pid, i % 2 ? SIGSTOP : SIGCONT);
    for (auto t = Clock::now(); Clock::now() - t < 450ms;) {
      w.pump();
      for (Caller &c : callers) step(c);
    }
  }
  kill(w.pid, SIGCONT);
  printf("%d answered, %d refused, %d lost\n", answered, refused, lost);
  EXPECT_GT(answered, CALLERS);
  EXPECT_EQ(closes(w, "closes_unread_total", "idle"), 0);
  // A caller whose own step was late may cross an orderly close.
  EXPECT_LE(50 * lost, answered);
}

} // namespace
