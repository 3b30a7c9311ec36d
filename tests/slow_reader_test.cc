// slow_reader_test.cc - kept connections whose callers take up answers slowly
#include "gateway_world.h"

#include <chrono>

namespace {

using Clock = std::chrono::steady_clock;

int ms_since (Clock::time_point t) {
  return (int)std::chrono::duration_cast<std::chrono::milliseconds>(
             Clock::now() - t)
      .count();
}

// Guards against connections that are closed as idle while their callers are
// still to receive the rest of the answer: the idle time begins for a caller
// with the last byte of it.
TEST(SlowReader, HasItsIdleTimeAfterTheLastByte) {
  const int IDLE_MS = 600, READ_MS = 50;
  for (size_t bytes : {400000u, 1500000u}) {
    World w;
    std::string text = World::config(7, "key-w1");
    size_t at = text.find("\"idle_timeout_ms\":") + 18;
    text.replace(at, text.find_first_of(",}", at) - at,
                 std::to_string(IDLE_MS));
    w.put("op/config", text);
    std::string body(bytes, 'x');
    w.engine("i-0", "plain", w.listen([&] (Conn &c, const Request &r) {
      std::string id = r.field("X-Attempt-Id");
      c.send(answer(200, "X-Engine-Seal: s\r\nX-Attempt-Id: " + id + "\r\n",
                    id == "id1" ? body : "ok"));
    }));
    w.start();
    // Its window is small from the handshake on.
    int fd = socket(AF_INET, SOCK_STREAM, 0), small = 8000;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    sockaddr_in a = loopback(w.callers);
    ASSERT_EQ(connect(fd, (sockaddr *)&a, sizeof a), 0);
    std::string ask = World::ask("/safe/x", "id1"), in, next;
    ::send(fd, ask.data(), ask.size(), MSG_NOSIGNAL);
    size_t step = bytes / 24 + 200; // 1.2 s in all
    auto begun = Clock::now();
    bool closed = false;
    int last = 0;
    while (!closed && !World::is_complete(in) && ms_since(begun) < 6000) {
      w.pump();
      if (ms_since(begun) < last + READ_MS) continue;
      last = ms_since(begun);
      std::string buffer(step, '\0');
      for (size_t got = 0; got < step;) {
        ssize_t n = recv(fd, &buffer[got], step - got, MSG_DONTWAIT);
        closed = n == 0 || (n < 0 && errno != EAGAIN);
        if (n <= 0) break;
        in.append(buffer, got, (size_t)n);
        got += (size_t)n;
      }
    }
    int read_ms = ms_since(begun);
    std::string what = std::to_string(bytes) + " bytes, read for " +
                       std::to_string(read_ms) + " ms: ";
    EXPECT_TRUE(World::is_complete(in)) << what << in.size();
    bool told = in.find("Connection: close") != in.npos;
    auto rested = Clock::now();
    while (ms_since(rested) < IDLE_MS / 4) w.pump();
    ask = World::ask("/safe/x", "id2");
    ssize_t sent = ::send(fd, ask.data(), ask.size(), MSG_NOSIGNAL);
    EXPECT_EQ(sent, (ssize_t)ask.size()) << what;
    closed = false;
    w.until([&] {
      char buffer[4096];
      ssize_t n = recv(fd, buffer, sizeof buffer, MSG_DONTWAIT);
      if (n > 0) next.append(buffer, (size_t)n);
      closed = n == 0 || (n < 0 && errno != EAGAIN);
      return closed || World::is_complete(next);
    });
    if (!told) {
      EXPECT_EQ(World::status_of(next), 200)
          << what << "closed " << closed << w.log;
    }
    ::close(fd);
  }
}

} // namespace
