// slow_successor_test.cc - a silent engine that never goes on, and a sound
// one that needs time for the prompt
#include "gateway_world.h"

#include <chrono>

namespace {

using Clock = std::chrono::steady_clock;

std::string chunk_of (int id) {
  std::string text = "id: " + std::to_string(id) + "\ndata: x\n\n";
  char size[16];
  snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

// The other engine answers the request within its objective; the caller gets
// all of it long before the deadline.
TEST(SlowSuccessor, AHungEngineIsLeftForOneThatPrefills) {
  for (int prefill_ms : {50, 400}) {
    World w;
    bool hung = false;
    struct Due {
      Conn *conn;
      std::string text;
      Clock::time_point at;
    };
    std::vector<Due> due;
    auto either = [&] (Conn &c, const Request &r) {
      std::string head =
          "HTTP/1.1 200 X\r\nX-Attempt-Id: " + r.field("X-Attempt-Id") +
          "\r\nX-Engine-Seal: s\r\nContent-Type: text/event-stream\r\n"
          "Transfer-Encoding: chunked\r\n\r\n";
      if (!hung) {
        hung = true;
        c.send(head + chunk_of(1));
        return;
      }
      due.push_back({&c, head + chunk_of(2) + "0\r\n\r\n",
                     Clock::now() + std::chrono::milliseconds(prefill_ms)});
    };
    for (int i = 0; i < 2; i++)
      w.engine("i-" + std::to_string(i), "model", w.listen(either));
    w.start();
    Conn *caller = w.connect(w.callers);
    caller->send(World::ask("/gen/x", "id1")); // its deadline: 3 s
    w.until([&] {
      for (Due &d : due)
        if (d.conn != nullptr && Clock::now() >= d.at) {
          if (d.conn->fd >= 0) d.conn->send(d.text);
          d.conn = nullptr;
        }
      return caller->closed || World::is_complete(caller->in);
    });
    EXPECT_TRUE(World::is_complete(caller->in))
        << prefill_ms << ": " << caller->in << w.log;
  }
}

} // namespace
