// http_server_order_test.cc - the order of connections under any events
#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <random>
#include <string>
#include <vector>

extern "C" {
#include "boot_clock.h"
#include "http_server.h"
}

namespace {

const std::string ASK = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

// A handler that answers at once, later, in parts, or aborts.
struct Answers {
  std::mt19937 random;
  std::vector<mt_http_exchange_t *> open;
  uint64_t requests = 0, gone = 0, ended = 0;

  void drop (mt_http_exchange_t *x) {
    for (size_t i = open.size(); i-- > 0;)
      if (open[i] == x) open.erase(open.begin() + (long)i);
  }
  void end (mt_http_exchange_t *x) {
    drop(x);
    ended++;
    switch (random() % 4) {
      case 0: mt_http_exchange_abort(x); return;
      case 1: {
        std::string big(random() % 400000, 'x');
        mt_http_exchange_head(x, 200, "", 0, MT_HTTP_CHUNKED);
        mt_http_exchange_data(x, big.data(), big.size());
        break;
      }
      case 2:
        mt_http_exchange_head(x, 200, "", 0, MT_HTTP_UNTIL_CLOSE);
        break;
      default: mt_http_exchange_head(x, 200, "", 0, 0); break;
    }
    mt_http_exchange_end(x);
  }
  static void on_request (void *ud, mt_http_exchange_t *x) {
    Answers *a = (Answers *)ud;
    a->requests++;
    if (a->random() % 8 == 0 && !mt_http_exchange_check_connected(x)) return;
    a->open.push_back(x);
    if (a->random() % 2) a->end(x);
  }
  static void on_gone (void *ud, mt_http_exchange_t *x) {
    ((Answers *)ud)->gone++;
    ((Answers *)ud)->drop(x);
  }
  static void on_drained (void *, mt_http_exchange_t *) {
  }
};

TEST(HttpServerOrder, HoldsUnderAnyEvents) {
  for (unsigned seed = 1; seed <= 60; seed++) {
    std::mt19937 random(seed);
    Answers answers;
    answers.random.seed(seed);
    uv_loop_t loop{};
    mt_boot_clock_init_loop(&loop);
    const mt_http_server_handler_t handler = {
        Answers::on_request, Answers::on_gone, Answers::on_drained, nullptr};
    char reason[128];
    mt_http_server_t *server = mt_http_server_open(
        &loop, "127.0.0.1", 0, &handler, &answers, reason, sizeof reason);
    ASSERT_NE(server, nullptr) << reason;
    mt_http_server_set_max_connections(server, 6);
    std::vector<int> callers;
    sockaddr_in addr{};
    uv_ip4_addr("127.0.0.1", mt_http_server_port(server), &addr);
    for (int step = 0; step < 500; step++) {
      switch (random() % 14) {
        case 0:
        case 1: {
          int s = socket(AF_INET, SOCK_STREAM, 0);
          if (connect(s, (const sockaddr *)&addr, sizeof addr) == 0)
            callers.push_back(s);
          else
            close(s);
          break;
        }
        case 2: // a caller leaves
          if (callers.empty()) break;
          {
            size_t i = random() % callers.size();
            close(callers[i]);
            callers.erase(callers.begin() + (long)i);
          }
          break;
        case 3:
        case 4:
        case 5:
        case 6: { // whole, pipelined, part of a request, or none
          if (callers.empty()) break;
          std::string text = ASK;
          switch (random() % 5) {
            case 0: text += ASK + ASK; break;
            case 1: text.resize(1 + random() % (ASK.size() - 1)); break;
            case 2: text = "?\r\n\r\n"; break;
            default: break;
          }
          (void)!send(callers[random() % callers.size()], text.data(),
                      text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
          break;
        }
        case 7:
          if (!answers.open.empty())
            answers.end(answers.open[random() % answers.open.size()]);
          break;
        case 8: mt_http_server_tick(server); break;
        case 9: {
          const mt_http_server_limits_t limits = {4096, 4096, random() % 4,
                                                  random() % 4};
          mt_http_server_set_limits(server, &limits);
          break;
        }
        case 10:
          if (random() % 3 == 0) mt_http_server_close_idle(server);
          break;
        case 11: { // a caller reads
          if (callers.empty()) break;
          static char buf[65536];
          (void)!recv(callers[random() % callers.size()], buf, sizeof buf,
                      MSG_DONTWAIT);
          break;
        }
        case 12:
          if (random() % 10 == 0) usleep(2000);
          uv_update_time(&loop);
          break;
        case 13: mt_http_server_drain(server, random() % 4 == 0); break;
      }
      if (random() % 3) uv_run(&loop, UV_RUN_NOWAIT);
      ASSERT_LE(mt_http_server_connections(server), 6u) << seed;
    }
    for (int s : callers) close(s);
    for (int i = 0; i < 20; i++) uv_run(&loop, UV_RUN_NOWAIT);
    mt_http_server_close(server);
    for (int i = 0; i < 20; i++) uv_run(&loop, UV_RUN_NOWAIT);
    EXPECT_EQ(answers.requests, answers.ended + answers.gone) << seed;
    uv_run(&loop, UV_RUN_DEFAULT);
    uv_loop_close(&loop);
  }
}

// An exchange may be aborted by the callback that tells of its output; its
// connection must not return to the list.
TEST(HttpServerOrder, AnAbortWhenDrainedLeavesTheList) {
  struct State {
    mt_http_exchange_t *x = nullptr;
    bool aborted = false;
  } state;
  uv_loop_t loop{};
  mt_boot_clock_init_loop(&loop);
  const mt_http_server_handler_t handler = {
      [] (void *ud, mt_http_exchange_t *x) {
        static const std::string big(8 << 20, 'x');
        ((State *)ud)->x = x;
        mt_http_exchange_head(x, 200, "", 0, MT_HTTP_CHUNKED);
        mt_http_exchange_data(x, big.data(), big.size());
      },
      [] (void *, mt_http_exchange_t *) {},
      [] (void *ud, mt_http_exchange_t *x) {
        ((State *)ud)->aborted = true;
        mt_http_exchange_abort(x);
      },
      nullptr};
  char reason[128];
  mt_http_server_t *server = mt_http_server_open(
      &loop, "127.0.0.1", 0, &handler, &state, reason, sizeof reason);
  sockaddr_in addr{};
  uv_ip4_addr("127.0.0.1", mt_http_server_port(server), &addr);
  int s = socket(AF_INET, SOCK_STREAM, 0);
  ASSERT_EQ(connect(s, (const sockaddr *)&addr, sizeof addr), 0);
  ASSERT_EQ(send(s, ASK.data(), ASK.size(), 0), (ssize_t)ASK.size());
  static char buf[65536];
  for (int i = 0; i < 5000 && !state.aborted; i++) {
    uv_run(&loop, UV_RUN_NOWAIT);
    (void)!recv(s, buf, sizeof buf, MSG_DONTWAIT);
  }
  ASSERT_TRUE(state.aborted);
  for (int i = 0; i < 5; i++) uv_run(&loop, UV_RUN_NOWAIT);
  EXPECT_EQ(mt_http_server_connections(server), 0u);
  mt_http_server_tick(server);
  mt_http_server_close(server);
  uv_run(&loop, UV_RUN_DEFAULT);
  uv_loop_close(&loop);
  close(s);
}

// At the limit, with all others in use, connections come faster than their
// requests, as behind a link of some milliseconds. If each is closed as idle
// for the next one, none is ever served.
TEST(HttpServerOrder, NewConnectionsAtTheLimitDoNotEvictEachOther) {
  for (bool sends_at_once : {true, false}) {
    Answers answers; // only counts here
    uv_loop_t loop{};
    mt_boot_clock_init_loop(&loop);
    const mt_http_server_handler_t handler = {
        [] (void *ud, mt_http_exchange_t *x) {
          ((Answers *)ud)->requests++;
          mt_http_exchange_head(x, 200, "", 0, 0);
          mt_http_exchange_end(x);
        },
        Answers::on_gone, Answers::on_drained, nullptr};
    char reason[128];
    mt_http_server_t *server = mt_http_server_open(
        &loop, "127.0.0.1", 0, &handler, &answers, reason, sizeof reason);
    mt_http_server_set_max_connections(server, 2);
    sockaddr_in addr{};
    uv_ip4_addr("127.0.0.1", mt_http_server_port(server), &addr);
    auto open = [&] {
      int s = socket(AF_INET, SOCK_STREAM, 0);
      EXPECT_EQ(connect(s, (const sockaddr *)&addr, sizeof addr), 0);
      return s;
    };
    auto run = [&] {
      for (int i = 0; i < 5; i++) uv_run(&loop, UV_RUN_NOWAIT);
    };
    auto ask = [&] (int s) {
      (void)!send(s, ASK.data(), ASK.size(), MSG_NOSIGNAL);
      run();
    };
    int busy = open(), last = -1;
    (void)!send(busy, ASK.data(), 9, 0);
    run();
    std::vector<int> callers;
    for (int i = 0; i < 20; i++) {
      int s = open();
      run();
      callers.push_back(s);
      if (sends_at_once) ask(s);
      if (!sends_at_once && last >= 0) ask(last);
      last = s;
    }
    EXPECT_GT(answers.requests, 0u) << sends_at_once;
    for (int s : callers) close(s);
    close(busy);
    mt_http_server_close(server);
    uv_run(&loop, UV_RUN_DEFAULT);
    uv_loop_close(&loop);
  }
}

} // namespace
