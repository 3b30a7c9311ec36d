// odd_request_test.cc - requests on kept connections beside bytes that are
// no request
#include "silent_world.h"

namespace {

const char *const ok_fields = "X-Engine-Seal: s\r\nX-Attempt-Id: ";

std::string config (int idle_ms, int header_ms) {
  std::string text = World::config(7, "key-w1");
  for (auto limit : {std::make_pair("\"idle_timeout_ms\":", idle_ms),
                     std::make_pair("\"header_timeout_ms\":", header_ms)}) {
    size_t at = text.find(limit.first) + strlen(limit.first);
    text.replace(at, text.find_first_of(",}", at) - at,
                 std::to_string(limit.second));
  }
  return text;
}

void pump_for (World &w, int ms) {
  auto begun = Clock::now();
  while (ms_since(begun) < ms) w.pump();
}

// Guards against an empty line behind a request that counts as the begin of
// the next one: its time is over before the idle time is.
TEST(OddRequest, AnEmptyLineBehindARequestIsNoRequest) {
  World w;
  w.put("op/config", config(3000, 500));
  w.engine("i-0", "plain", w.listen([] (Conn &c, const Request &r) {
    std::string id = r.field("X-Attempt-Id");
    c.send(answer(200, ok_fields + id + "\r\n", id));
  }));
  w.start();
  Conn *caller = w.connect(w.callers);
  caller->send(World::ask("/safe/x", "id1", "body") + "\r\n");
  ASSERT_TRUE(w.until([&] { return World::is_complete(caller->in); }));
  EXPECT_EQ(World::status_of(caller->in), 200);
  caller->in.clear();
  pump_for(w, 1200);
  EXPECT_EQ(caller->in, "") << "an answer without a request";
  caller->send(World::ask("/safe/x", "id2"));
  w.until([&] { return caller->closed || World::is_complete(caller->in); });
  EXPECT_EQ(World::status_of(caller->in), 200) << caller->in;
}

// Guards against bytes behind a whole answer that are taken for the answer to
// the next request on that connection, at once or while it rests.
TEST(OddRequest, BytesBehindAnAnswerAreNoAnswerToTheNextRequest) {
  struct Surplus {
    const char *what;
    int after_ms; // behind the answer; 0: with it
    const char *text;
  } rows[] = {
      {"an answer of another request", 0,
       "HTTP/1.1 200 X\r\nX-Attempt-Id: other\r\nX-Engine-Seal: s\r\n"
       "Content-Length: 5\r\n\r\nother"},
      {"the same, later", 30,
       "HTTP/1.1 200 X\r\nX-Attempt-Id: other\r\nX-Engine-Seal: s\r\n"
       "Content-Length: 5\r\n\r\nother"},
      {"half of it, later", 30, "HTTP/1.1 200 X\r\nX-Attempt-Id: oth"},
      {"an interim answer, later", 30, "HTTP/1.1 100 Continue\r\n\r\n"},
      {"an empty line", 0, "\r\n"},
      {"an empty line, later", 30, "\r\n"},
      {"a chunk, later", 30, "5\r\nother\r\n0\r\n\r\n"},
  };
  for (const char *path : {"/safe/x", "/once/x"})
    for (const Surplus &row : rows)
      for (int stall : {0, 1}) { // the bytes lie unread
        World w;
        Conn *last = nullptr;
        w.engine("i-0", "plain", w.listen([&] (Conn &c, const Request &r) {
          std::string id = r.field("X-Attempt-Id");
          c.send(answer(200, ok_fields + id + "\r\n", id) +
                 (row.after_ms == 0 && id == "id1" ? row.text : ""));
          last = &c;
        }));
        w.start();
        std::string what =
            std::string(path) + ' ' + row.what + (stall ? ", stall" : "");
        Conn *caller = w.connect(w.callers);
        caller->send(World::ask(path, "id1"));
        ASSERT_TRUE(w.until([&] { return World::is_complete(caller->in); }));
        caller->in.clear();
        if (stall) kill(w.pid, SIGSTOP);
        pump_for(w, row.after_ms);
        if (row.after_ms > 0 && last->fd >= 0) last->send(row.text);
        for (const char *id : {"id2", "id3"}) {
          caller->send(World::ask(path, id));
          pump_for(w, 5);
          kill(w.pid, SIGCONT);
          w.until([&] {
            return caller->closed || World::is_complete(caller->in);
          });
          EXPECT_EQ(World::status_of(caller->in), 200)
              << what << caller->in << w.log;
          EXPECT_NE(caller->in.find(std::string("\r\n\r\n") + id),
                    caller->in.npos)
              << what << caller->in;
          caller->in.clear();
        }
      }
}

} // namespace
