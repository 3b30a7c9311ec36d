// list_check_test.cc - reads of the engines' changes that a decision waits
// for
#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "boot_clock.h"
#include "list_check.h"
}

namespace {

// A check client, and a store that gives each call the same response.
class CheckAndStore {
public:
  enum class Store { ANSWERS, RESETS, IS_SILENT };
  Store store = Store::ANSWERS;
  std::string response;
  mt_revision_t known = 40; // NONE: the list is not known
  bool usable = true;       // what `apply` returns
  std::vector<std::string> calls;
  std::vector<std::pair<uint64_t, bool>> ended;
  mt_list_check_t *check;

  CheckAndStore() {
    sockaddr_in any{};
    int size = sizeof any;
    mt_boot_clock_init_loop(&loop);
    uv_tcp_init(&loop, &listener);
    listener.data = this;
    uv_ip4_addr("127.0.0.1", 0, &any);
    uv_tcp_bind(&listener, (const sockaddr *)&any, 0);
    uv_listen((uv_stream_t *)&listener, 8, on_connection);
    uv_tcp_getsockname(&listener, (sockaddr *)&any, &size);
    mt_addr_t addr{};
    snprintf(addr.ip, sizeof addr.ip, "127.0.0.1");
    addr.port = ntohs(any.sin_port);
    const mt_list_check_callbacks_t callbacks = {since, apply, on_ended,
                                                 this};
    check = mt_list_check_open(&loop, &addr, &callbacks);
  }
  ~CheckAndStore() {
    mt_list_check_close(check);
    uv_close((uv_handle_t *)&listener, nullptr);
    for (uv_tcp_t *peer : peers)
      if (!uv_is_closing((uv_handle_t *)peer))
        uv_close((uv_handle_t *)peer, nullptr);
    while (uv_run(&loop, UV_RUN_DEFAULT) != 0) continue;
    uv_loop_close(&loop);
    for (uv_tcp_t *peer : peers) delete peer;
  }
  // Runs until so many checks have ended.
  void until_ended (size_t count) {
    while (ended.size() < count) uv_run(&loop, UV_RUN_ONCE);
  }

private:
  uv_loop_t loop{};
  uv_tcp_t listener;
  std::vector<uv_tcp_t *> peers;
  char input[4096];

  static mt_revision_t since (void *ud) {
    return ((CheckAndStore *)ud)->known;
  }
  static bool apply (void *ud, mt_revision_t from, int64_t era,
                     const json_t *doc) {
    auto *p = (CheckAndStore *)ud;
    EXPECT_EQ(from, p->known);
    return p->usable && json_is_object(doc);
  }
  static void on_ended (void *ud, uint64_t number, bool complete) {
    ((CheckAndStore *)ud)->ended.push_back({number, complete});
  }
  static void on_alloc (uv_handle_t *h, size_t, uv_buf_t *buf) {
    auto *p = (CheckAndStore *)h->data;
    *buf = uv_buf_init(p->input, sizeof p->input);
  }
  static void on_read (uv_stream_t *s, ssize_t n, const uv_buf_t *buf) {
    auto *p = (CheckAndStore *)s->data;
    if (n < 0) {
      uv_read_stop(s);
      return;
    }
    p->calls.push_back(std::string(buf->base, (size_t)n));
    uv_buf_t out = uv_buf_init(&p->response[0], (unsigned)p->response.size());
    switch (p->store) {
      case Store::ANSWERS: uv_try_write(s, &out, 1); break;
      case Store::RESETS: uv_tcp_close_reset((uv_tcp_t *)s, nullptr); break;
      case Store::IS_SILENT: break;
    }
  }
  static void on_connection (uv_stream_t *s, int) {
    auto *p = (CheckAndStore *)s->data;
    uv_tcp_t *peer = new uv_tcp_t;
    p->peers.push_back(peer);
    uv_tcp_init(&p->loop, peer);
    peer->data = p;
    uv_accept(s, (uv_stream_t *)peer);
    uv_read_start((uv_stream_t *)peer, on_alloc, on_read);
  }
};

std::string response_of (int status, const std::string &body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// A check is complete only if the store has answered with changes that can be
// used; in any other case it ends all the same.
TEST(ListCheck, EndsCompleteIfTheStoreAnswers) {
  using Store = CheckAndStore::Store;
  const std::string changes = "{\"events\":[],\"at\":41}";
  struct Row {
    const char *what;
    Store store;
    std::string response;
    mt_revision_t known;
    bool usable, complete;
  } rows[] = {
      {"answered", Store::ANSWERS, response_of(200, changes), 40, true, true},
      {"of no use", Store::ANSWERS, response_of(200, changes), 40, false,
       false},
      {"refused", Store::ANSWERS, response_of(503, ""), 40, true, false},
      {"history gone", Store::ANSWERS, response_of(410, ""), 40, true, false},
      {"no JSON", Store::ANSWERS, response_of(200, "{"), 40, true, false},
      {"reset", Store::RESETS, "", 40, true, false},
      {"silent", Store::IS_SILENT, "", 40, true, false},
      {"the list is not known", Store::ANSWERS, response_of(200, changes),
       MT_REVISION_NONE, true, false},
  };
  for (const Row &row : rows) {
    SCOPED_TRACE(row.what);
    CheckAndStore p;
    p.store = row.store;
    p.response = row.response;
    p.known = row.known;
    p.usable = row.usable;
    mt_list_check_start(p.check, 7);
    EXPECT_TRUE(p.ended.empty()) << "before the call";
    p.until_ended(1);
    EXPECT_EQ(p.ended[0], std::make_pair((uint64_t)7, row.complete));
    EXPECT_EQ(p.calls.size(), row.known != MT_REVISION_NONE);
    if (p.calls.empty()) continue;
    EXPECT_NE(p.calls[0].find("since_rev=40&wait_ms=1 "), std::string::npos);
  }
}

// What is asked for during a call is not answered by it: it shows the list as
// it was before. All that are asked for meanwhile share the next call.
TEST(ListCheck, ChecksDuringACallShareTheNextOne) {
  CheckAndStore p;
  p.response = response_of(200, "{\"events\":[],\"at\":41}");
  for (uint64_t number = 1; number <= 4; number++)
    mt_list_check_start(p.check, number);
  p.until_ended(2);
  EXPECT_EQ(p.ended[0], std::make_pair((uint64_t)1, true));
  EXPECT_EQ(p.ended[1], std::make_pair((uint64_t)4, true));
  EXPECT_EQ(p.calls.size(), 2u);
}

} // namespace
