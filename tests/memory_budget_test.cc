// memory_budget_test.cc - what callers make a process hold, and who gives way
#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <vector>

#include "relay.h"

extern "C" {
#include "boot_clock.h"
#include "gateway_settings.h"
#include "http_server.h"
}

namespace {

// {== The budget ===========================================================

TEST(MemoryBudget, LeavesAPartToSmallRequests) {
  struct Row {
    size_t held, left, left_for_large;
  } rows[] = {{0, 1600, 1500},
              {1000, 600, 500},
              {1550, 50, 0},
              {1600, 0, 0},
              {1700, 0, 0}};
  for (const Row &row : rows) {
    mt_memory_budget_t b{};
    size_t own = 0;
    b.limit = 1600;
    mt_memory_set(&b, MT_MEMORY_REQUESTS, &own, row.held);
    EXPECT_EQ(mt_memory_left(&b), row.left);
    EXPECT_EQ(mt_memory_left_for_large(&b), row.left_for_large);
    mt_memory_set(&b, MT_MEMORY_REQUESTS, &own, 0);
    EXPECT_EQ(mt_memory_held(&b), 0u);
  }
}

// However many take what they may, the budget holds.
TEST(MemoryBudget, SharesStayWithinIt) {
  mt_memory_budget_t b{};
  b.limit = 1 << 20;
  std::vector<size_t> own(1000);
  for (size_t &o : own)
    mt_memory_set(&b, MT_MEMORY_RESPONSES, &o,
                  mt_memory_share(&b, 0, 1 << 18));
  EXPECT_EQ(own[0], (size_t)(1 << 17));
  EXPECT_LE(mt_memory_held(&b), b.limit);
  EXPECT_EQ(mt_memory_share(&b, 10, 1 << 18), 10u);
}

TEST(MemoryBudget, ByteAfterByteIsNoProgress) {
  struct Row {
    const char *what;
    std::vector<size_t> received; // a second each, by the first holder
    bool is_first;                // it has stalled longest
  } rows[] = {{"nothing more", {}, true},
              {"byte after byte", {1001, 1002, 1003}, true},
              {"a large part", {1200}, false},
              {"parts that are large together", {1050, 1100, 1150}, false}};
  for (const Row &row : rows) {
    mt_memory_budget_t b{};
    mt_memory_holder_t one{}, other{};
    mt_memory_begin(&b, &one, 0);
    mt_memory_progress(&b, &one, 1000, 1);
    mt_memory_begin(&b, &other, 2);
    mt_ms_t now = 1000;
    for (size_t received : row.received)
      mt_memory_progress(&b, &one, received, now += 1000);
    EXPECT_EQ(b.first == &one, row.is_first) << row.what;
    mt_memory_end(&b, &one);
    mt_memory_end(&b, &one);
    EXPECT_EQ(b.first, &other) << row.what;
    mt_memory_end(&b, &other);
    EXPECT_EQ(b.first, nullptr) << row.what;
  }
}

TEST(MemoryBudget, SettingIsOfTheBox) {
  struct Row {
    const char *field;
    bool valid;
    size_t bytes; // 0: of this machine
  } rows[] = {{"", true, 0},
              {",\"memory_mb\":100", true, 45000000},
              {",\"memory_mb\":1", false, 0},
              {",\"memory_mb\":\"100\"", false, 0}};
  for (const Row &row : rows) {
    std::string text =
        "{\"node\":\"n\",\"domain\":\"d\",\"callers\":\"127.0.0.1:1\","
        "\"ready\":\"127.0.0.1:2\",\"metrics\":\"127.0.0.1:3\","
        "\"peers\":\"127.0.0.1:4\"" +
        std::string(row.field) + "}";
    json_t *doc = json_loads(text.c_str(), 0, nullptr);
    mt_gateway_settings_t set;
    mt_faults_t faults{};
    EXPECT_EQ(mt_gateway_settings_read(doc, &set, &faults), row.valid)
        << text;
    json_decref(doc);
    if (!row.valid) continue;
    EXPECT_GT(set.memory, 0u) << text;
    EXPECT_EQ(set.memory == row.bytes, row.bytes > 0) << text;
  }
}

// }==

// {== The server ===========================================================

const size_t BODY = 100000;

// A server with a small budget, and callers in the same thread.
class CrowdedServer {
public:
  mt_http_server_t *server;
  mt_memory_budget_t budget{};
  size_t requests = 0;
  bool refuses = false;            // whatever the body is
  std::vector<std::string> denied; // reasons
  mt_shared_bytes_t *kept = nullptr;
  std::vector<int> callers;
  std::vector<std::string> in; // of each caller

  explicit CrowdedServer(size_t limit) {
    mt_boot_clock_init_loop(&loop);
    const mt_http_server_handler_t handler = {on_request, on_none, on_none,
                                              nullptr};
    char reason[128];
    server = mt_http_server_open(&loop, "127.0.0.1", 0, &handler, this,
                                 reason, sizeof reason);
    const mt_http_server_limits_t limits = {4096, BODY, 60000, 60000};
    mt_http_server_set_limits(server, &limits);
    budget.limit = limit;
    const mt_http_server_guard_t guard = {&budget, on_refuses, on_denied};
    mt_http_server_set_guard(server, &guard);
  }
  ~CrowdedServer() {
    for (int s : callers) ::close(s);
    mt_http_server_close(server);
    uv_run(&loop, UV_RUN_DEFAULT);
    uv_loop_close(&loop);
    mt_shared_bytes_unref(kept);
    EXPECT_EQ(mt_memory_held(&budget), 0u);
  }
  size_t add (const std::string &text) {
    sockaddr_in addr{};
    uv_ip4_addr("127.0.0.1", mt_http_server_port(server), &addr);
    int s = socket(AF_INET, SOCK_STREAM, 0);
    EXPECT_EQ(connect(s, (const sockaddr *)&addr, sizeof addr), 0);
    callers.push_back(s);
    in.push_back("");
    send(callers.size() - 1, text);
    return callers.size() - 1;
  }
  void send (size_t caller, const std::string &text) {
    for (size_t at = 0; at < text.size();) {
      ssize_t n = ::send(callers[caller], text.data() + at, text.size() - at,
                         MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n < 0 && errno != EAGAIN) return;
      if (n > 0) at += (size_t)n;
      run();
    }
    run();
  }
  void run () {
    for (int i = 0; i < 20; i++) uv_run(&loop, UV_RUN_NOWAIT);
    char buf[4096];
    for (size_t c = 0; c < callers.size(); c++) {
      ssize_t n;
      while ((n = recv(callers[c], buf, sizeof buf, MSG_DONTWAIT)) > 0)
        in[c].append(buf, (size_t)n);
    }
  }
  // Longer than the progress of a request may take.
  void wait () {
    usleep(1100 * 1000);
    uv_update_time(&loop);
  }
  int status (size_t caller) const {
    return in[caller].size() > 12 ? atoi(in[caller].c_str() + 9) : 0;
  }

private:
  uv_loop_t loop{};

  static void on_request (void *ud, mt_http_exchange_t *x) {
    CrowdedServer *w = (CrowdedServer *)ud;
    w->requests += mt_http_exchange_has_body(x);
    if (mt_http_exchange_body(x).n > 0 && w->kept == nullptr)
      w->kept = mt_http_exchange_share_body(x);
    mt_http_exchange_head(x, w->refuses ? 404 : 200, "", 0, 0);
    mt_http_exchange_end(x);
  }
  static void on_none (void *, mt_http_exchange_t *) {
  }
  static bool on_refuses (void *ud, mt_http_exchange_t *) {
    return ((CrowdedServer *)ud)->refuses;
  }
  static void on_denied (void *ud, mt_http_close_t why, const char *peer) {
    EXPECT_EQ(strncmp(peer, "127.0.0.1:", 10), 0);
    ((CrowdedServer *)ud)->denied.push_back(mt_http_close_name(why));
  }
};

std::string head (size_t length) {
  return "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " +
         std::to_string(length) + "\r\n\r\n";
}

std::string part (size_t length, size_t size) {
  return head(length) + std::string(size, 'x');
}

TEST(CrowdedServer, StalledRequestsGiveWay) {
  struct Row {
    const char *what;
    bool waits;
    std::string text;      // of the newcomer
    int stalled, newcomer; // statuses
    const char *denied;    // last reason
  } rows[] = {
      {"no body", false, "GET / HTTP/1.1\r\nHost: x\r\n\r\n", 0, 200, ""},
      {"a small body", false, part(100, 100), 0, 200, ""},
      {"a large one, at once", false, part(BODY, BODY), 0, 503, "memory"},
      {"a large one, later", true, part(BODY, BODY), 503, 200, "stalled"},
  };
  for (const Row &row : rows) {
    CrowdedServer w(3 * BODY);
    size_t first = w.add(part(BODY, BODY - 1));
    w.add(part(BODY, BODY - 1));
    if (row.waits) w.wait();
    size_t newcomer = w.add(row.text);
    EXPECT_EQ(w.status(first), row.stalled) << row.what;
    EXPECT_EQ(w.status(newcomer), row.newcomer) << row.what;
    EXPECT_EQ(w.denied.empty() ? "" : w.denied.back(), row.denied)
        << row.what;
    EXPECT_LE(mt_memory_held(&w.budget), w.budget.limit) << row.what;
    for (const std::string &in : w.in)
      EXPECT_EQ(in.find("503") != in.npos,
                in.find("Retry-After: ") != in.npos)
          << row.what;
  }
}

// The refusal comes before the body, and no reset takes it away.
TEST(CrowdedServer, IsRefusedByItsHead) {
  struct Row {
    const char *what;
    std::string text;
    bool refuses;
    int status;
    size_t requests; // that were handled whole
  } rows[] = {
      {"refused", part(BODY, 10), true, 404, 0},
      {"refused, with a whole body", part(10, 10), true, 404, 1},
      {"not refused, not whole", part(BODY, 10), false, 0, 0},
      {"over the limit", part(BODY + 1, 10), false, 413, 0},
      {"a chunk over the limit",
       "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
       "100000000000000\r\n",
       false, 413, 0},
  };
  for (const Row &row : rows) {
    CrowdedServer w(10 * BODY);
    w.refuses = row.refuses;
    size_t caller = w.add(row.text);
    EXPECT_EQ(w.status(caller), row.status) << row.what;
    EXPECT_EQ(w.requests, row.requests) << row.what;
    if (row.status == 0 || row.requests > 0) continue;
    w.send(caller, std::string(BODY, 'x'));
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(w.callers[caller], SOL_SOCKET, SO_ERROR, &error, &size);
    EXPECT_EQ(error, 0) << row.what;
    EXPECT_LT(mt_memory_held(&w.budget), (size_t)8192) << row.what;
  }
}

// Requests that would be served wait for no place of those that stalled.
TEST(CrowdedServer, StalledRequestsLeaveTheirPlaces) {
  for (bool waits : {false, true}) {
    CrowdedServer w(10 * BODY);
    mt_http_server_set_max_connections(w.server, 2);
    size_t first = w.add("GET / HT");
    w.add(part(BODY, 10));
    if (waits) w.wait();
    size_t newcomer = w.add("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_EQ(w.status(newcomer), waits ? 200 : 0);
    EXPECT_EQ(w.status(first), waits ? 503 : 0);
  }
}

// A body is freed with the last that needs it, and a kept connection has
// none.
TEST(CrowdedServer, KeptConnectionsHoldNoBodies) {
  CrowdedServer w(10 * BODY);
  size_t caller = w.add(part(BODY, BODY));
  EXPECT_EQ(w.status(caller), 200);
  ASSERT_NE(w.kept, nullptr);
  EXPECT_EQ(w.kept->n, BODY);
  EXPECT_GE(mt_memory_held(&w.budget), BODY);
  mt_shared_bytes_unref(w.kept);
  w.kept = nullptr;
  EXPECT_LT(mt_memory_held(&w.budget), (size_t)8192);
}

// In a turn of the loop each connection has a share of what is read.
TEST(CrowdedServer, OthersAreReadBetweenPartsOfABody) {
  CrowdedServer w(100 * BODY);
  std::string tiny;
  while (tiny.size() < BODY / 2) tiny += "1\r\nx\r\n";
  for (int i = 0; i < 20; i++)
    w.add("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" +
          tiny);
  size_t caller = w.add(head(0));
  EXPECT_EQ(w.status(caller), 200);
}

// }==

// {== The relay ============================================================

// What is refused by its head is refused as a whole request, too.
TEST(HeadRefusal, IsThatOfTheRequest) {
  struct Row {
    const char *what, *path, *key;
    bool declared, overloaded;
    size_t max_running;
    bool refuses;
  } rows[] = {
      {"sound", "/again/x", "key-w1", true, false, 8, false},
      {"no route", "/none/x", "key-w1", true, false, 8, true},
      {"no key", "/again/x", "none", true, false, 8, true},
      {"open", "/open/x", "none", true, false, 8, false},
      {"no configuration", "/again/x", "key-w1", false, false, 8, true},
      {"too many run", "/again/x", "key-w1", true, false, 0, true},
      {"lagging", "/stream/x", "key-w1", true, true, 8, true}};
  for (const Row &row : rows) {
    Relay w;
    if (row.declared) w.declare();
    w.relay->overloaded = row.overloaded;
    w.relay->params.max_running = row.max_running;
    mt_relay_incoming_t incoming{};
    incoming.host = {"h.example", 9};
    incoming.path = {row.path, strlen(row.path)};
    incoming.key = {row.key, strlen(row.key)};
    incoming.deadline_ms = incoming.last_event = -1;
    EXPECT_EQ(mt_relay_refuses_head(w.relay, &incoming), row.refuses)
        << row.what;
    EXPECT_EQ(w.relay->count, 0u) << row.what;
    for (bool head_only : {true, false}) {
      incoming.head_only = head_only;
      mt_relay_event_t event{};
      event.kind = MT_RELAY_REQUEST;
      event.request = 1 + head_only;
      event.u.incoming = &incoming;
      w.step(event);
      EXPECT_EQ(w.refusal() != MT_RELAY_REFUSAL_COUNT,
                row.refuses || head_only)
          << row.what;
    }
  }
}

// A response that is kept until it is whole is passed on sooner where memory
// is short, and its buffer goes back.
TEST(BufferedResponse, KeepsNoMoreThanItMay) {
  for (size_t max : {(size_t)0, (size_t)1000}) {
    Relay w;
    w.declare();
    w.relay->buffer_max = max;
    w.request(1, "/again/x", "key-w1");
    w.head(1, 200);
    w.data(1, std::string(600, 'x'));
    EXPECT_EQ(w.relay->buffered, 600u);
    w.data(1, std::string(600, 'x'));
    EXPECT_EQ(w.relay->buffered, max > 0 ? 0u : 1200u);
    w.end(1);
    EXPECT_EQ(w.relay->buffered, 0u);
  }
}

// }==

} // namespace
