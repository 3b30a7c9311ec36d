// kept_connection_test.cc - requests on connections that callers keep
#include "gateway_world.h"

#include <chrono>

namespace {

using Clock = std::chrono::steady_clock;

void pump_for (World &w, int ms) {
  auto end = Clock::now() + std::chrono::milliseconds(ms);
  while (Clock::now() < end) w.pump();
}

std::string config (int version, int idle_ms) {
  std::string text = World::config(version, "key-w1");
  const std::string from = "\"idle_timeout_ms\":15000";
  text.replace(text.find(from), from.size(),
               "\"idle_timeout_ms\":" + std::to_string(idle_ms));
  return text;
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
  enum class End { CALLER, ANSWERED, IDLE, LATE };
  struct Row {
    const char *why;
    End end;
  } rows[] = {
      {"caller", End::CALLER},
      {"answered", End::ANSWERED},
      {"idle", End::IDLE},
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
    Conn *caller = w.connect(w.callers);
    caller->send(World::ask("/safe/x", "id1"));
    ASSERT_TRUE(w.until([&] { return World::is_complete(caller->in); }));
    caller->in.clear();
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

} // namespace
