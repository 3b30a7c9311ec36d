// http_server_test.cc - what the server closes behind a stall of its loop
#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <vector>

extern "C" {
#include "boot_clock.h"
#include "http_server.h"
}

namespace {

const int LIMIT_MS = 120; // of idling, and of receiving a request
const std::string ASK = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

// A server that answers at once, and a connection to it, in one thread. The
// loop and the ticks make progress only where a test says so.
class ServerAndCaller {
public:
  std::string in; // what the caller has received
  bool closed = false;
  mt_http_server_t *server;

  ServerAndCaller() {
    mt_boot_clock_init_loop(&loop);
    const mt_http_server_handler_t handler = {on_request, on_none, on_none,
                                              nullptr};
    const mt_http_server_limits_t limits = {4096, 4096, LIMIT_MS, LIMIT_MS};
    char reason[128];
    server = mt_http_server_open(&loop, "127.0.0.1", 0, &handler, nullptr,
                                 reason, sizeof reason);
    mt_http_server_set_limits(server, &limits);
    fd = connect_to_server();
    run();
  }
  ~ServerAndCaller() {
    ::close(fd);
    for (int other : others) ::close(other);
    mt_http_server_close(server);
    uv_run(&loop, UV_RUN_DEFAULT);
    uv_loop_close(&loop);
  }
  void send (const std::string &text) {
    EXPECT_EQ(::send(fd, text.data(), text.size(), MSG_NOSIGNAL),
              (ssize_t)text.size());
  }
  // Another connection to the server; returns its index.
  size_t add_connection () {
    others.push_back(connect_to_server());
    run();
    return others.size() - 1;
  }
  void ask_on (size_t connection) {
    EXPECT_EQ(::send(others[connection], ASK.data(), ASK.size(), 0),
              (ssize_t)ASK.size());
    run();
  }
  // True if the server has closed the connection; reads what it has sent.
  bool has_closed (size_t connection) {
    char buf[4096];
    ssize_t n;
    while ((n = recv(others[connection], buf, sizeof buf, MSG_DONTWAIT)) > 0)
      ;
    return n == 0;
  }
  // Turns of the loop, without a tick.
  void run () {
    for (int i = 0; i < 5; i++) uv_run(&loop, UV_RUN_NOWAIT);
    char buf[4096];
    ssize_t n;
    while ((n = recv(fd, buf, sizeof buf, MSG_DONTWAIT)) > 0)
      in.append(buf, (size_t)n);
    closed = n == 0;
  }
  void tick () {
    mt_http_server_tick(server);
  }
  // All limits pass, and the loop does not turn.
  void stall () {
    usleep(3 * LIMIT_MS * 1000);
    uv_update_time(&loop);
  }

private:
  uv_loop_t loop{}; // without a boot clock
  int fd;
  std::vector<int> others;

  int connect_to_server () const {
    sockaddr_in addr{};
    uv_ip4_addr("127.0.0.1", mt_http_server_port(server), &addr);
    int s = socket(AF_INET, SOCK_STREAM, 0);
    EXPECT_EQ(connect(s, (const sockaddr *)&addr, sizeof addr), 0);
    return s;
  }

  static void on_request (void *, mt_http_exchange_t *x) {
    mt_http_exchange_head(x, 200, "", 0, 0);
    mt_http_exchange_end(x);
  }
  static void on_none (void *, mt_http_exchange_t *) {
  }
};

int status_of (const std::string &in) {
  return in.size() > 12 ? std::stoi(in.substr(9)) : 0;
}

// Guards against closes by age or state without a look at the input.
TEST(HttpServer, UnreadInputIsNeitherIdleNorLate) {
  enum class By { TICK, CLOSE_IDLE };
  struct Row {
    const char *what;
    std::string read, unread, later;
    By by;
    int status; // 0: closed without an answer
  };
  const std::string HALF = ASK.substr(0, 9), REST = ASK.substr(9);
  const Row rows[] = {
      {"idle, unread", "", ASK, "", By::TICK, 200},
      {"idle after an answer, unread", ASK, ASK, "", By::TICK, 200},
      {"a part unread", "", HALF, REST, By::TICK, 200},
      {"a part read, the rest unread", HALF, REST, "", By::TICK, 200},
      {"the server stops, unread", "", ASK, "", By::CLOSE_IDLE, 200},
      {"idle", "", "", "", By::TICK, 0},
      {"idle after an answer", ASK, "", "", By::TICK, 0},
      {"a part read", HALF, "", "", By::TICK, 408},
      {"the server stops", "", "", "", By::CLOSE_IDLE, 0},
  };
  for (const Row &row : rows) {
    ServerAndCaller w;
    if (!row.read.empty()) w.send(row.read);
    w.run();
    w.tick();
    w.in.clear();
    w.stall();
    if (!row.unread.empty()) w.send(row.unread);
    if (row.by == By::TICK)
      w.tick();
    else
      mt_http_server_close_idle(w.server);
    w.run();
    if (!row.later.empty()) w.send(row.later);
    w.run();
    EXPECT_EQ(status_of(w.in), row.status) << row.what;
    EXPECT_EQ(w.closed, row.status != 200) << row.what;
  }
}

// Guards against ages that begin with a time of the loop that is long past:
// of an answer at the end of a long step.
TEST(HttpServer, AgesBeginAfterTheStep) {
  ServerAndCaller w;
  w.send(ASK);
  w.run();
  EXPECT_EQ(status_of(w.in), 200);
  w.stall(); // the step goes on
  w.tick();
  w.run();
  EXPECT_FALSE(w.closed);
  w.stall();
  w.tick();
  w.run();
  EXPECT_TRUE(w.closed);
}

// Guards against an order of ages that ticks have made equal: a connection
// that has just come is closed in place of one that has long been idle.
TEST(HttpServer, EvictsWhatHasBeenIdleLongest) {
  const size_t MAX = 3;
  struct Row {
    const char *what;
    std::vector<size_t> asked; // on these connections, in this order
    bool ticks;                // behind it
    size_t evicted;
  };
  const Row rows[] = {
      {"none asked", {}, false, 0},
      {"none asked, a tick", {}, true, 0},
      {"the first asked", {0}, false, 1},
      {"the first asked, a tick", {0}, true, 1},
      {"all asked, the last first, a tick", {2, 1, 0}, true, 2},
  };
  for (const Row &row : rows) {
    ServerAndCaller w;
    mt_http_server_set_max_connections(w.server, MAX + 1);
    w.send(ASK.substr(0, 9)); // the caller's own connection is not idle
    for (size_t i = 0; i < MAX; i++) w.add_connection();
    for (size_t connection : row.asked) w.ask_on(connection);
    if (row.ticks) w.tick();
    w.add_connection();
    for (size_t i = 0; i <= MAX; i++)
      EXPECT_EQ(w.has_closed(i), i == row.evicted) << row.what << ": " << i;
  }
}

} // namespace
