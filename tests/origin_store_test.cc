// origin_store_test.cc - records of streams' origins in the platform's store
#include <gtest/gtest.h>
#include <openssl/evp.h>

#include <string>
#include <vector>

extern "C" {
#include "boot_clock.h"
#include "origin_store.h"
}

namespace {

// A client, and a store that gives each call the next of its responses; no
// response: silence.
class ClientAndStore {
public:
  std::vector<std::string> responses, calls;
  std::vector<mt_origin_report_t> rows;
  std::vector<bool> written, read;
  mt_origin_store_t *client;

  ClientAndStore() {
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
    const mt_origin_store_callbacks_t callbacks = {on_written, on_row,
                                                   on_read, this};
    client = mt_origin_store_open(&loop, &addr, &callbacks);
  }
  ~ClientAndStore() {
    mt_origin_store_close(client);
    uv_close((uv_handle_t *)&listener, nullptr);
    for (uv_tcp_t *peer : peers)
      if (!uv_is_closing((uv_handle_t *)peer))
        uv_close((uv_handle_t *)peer, nullptr);
    while (uv_run(&loop, UV_RUN_DEFAULT) != 0) continue;
    uv_loop_close(&loop);
    for (uv_tcp_t *peer : peers) delete peer;
  }
  // Writes a record of these streams; true if the store has taken it.
  bool write (size_t count, mt_ms_t ttl = 30000) {
    mt_origin_record_t record{};
    for (size_t i = 0; i < count; i++)
      record.rows[i] = {0xabc0000000000000 + i, {7, 0xfffffff0}, ttl};
    record.count = count;
    record.ttl = ttl;
    written.clear();
    mt_origin_store_write(client, &record);
    while (written.empty()) uv_run(&loop, UV_RUN_ONCE);
    return written[0];
  }
  bool read_all () {
    read.clear();
    mt_origin_store_read(client);
    while (read.empty()) uv_run(&loop, UV_RUN_ONCE);
    return read[0];
  }

private:
  uv_loop_t loop{};
  uv_tcp_t listener;
  std::vector<uv_tcp_t *> peers;
  char input[65536];

  static void on_written (void *ud, bool taken) {
    ((ClientAndStore *)ud)->written.push_back(taken);
  }
  static void on_row (void *ud, const mt_origin_report_t *row) {
    ((ClientAndStore *)ud)->rows.push_back(*row);
  }
  static void on_read (void *ud, bool complete) {
    ((ClientAndStore *)ud)->read.push_back(complete);
  }
  static void on_alloc (uv_handle_t *h, size_t, uv_buf_t *buf) {
    auto *p = (ClientAndStore *)h->data;
    *buf = uv_buf_init(p->input, sizeof p->input);
  }
  static void on_input (uv_stream_t *s, ssize_t n, const uv_buf_t *buf) {
    auto *p = (ClientAndStore *)s->data;
    if (n < 0) {
      uv_read_stop(s);
      return;
    }
    p->calls.push_back(std::string(buf->base, (size_t)n));
    if (p->responses.empty()) return;
    std::string text = p->responses.front();
    p->responses.erase(p->responses.begin());
    uv_buf_t out = uv_buf_init(&text[0], (unsigned)text.size());
    if (!text.empty()) uv_try_write(s, &out, 1);
  }
  static void on_connection (uv_stream_t *s, int) {
    auto *p = (ClientAndStore *)s->data;
    uv_tcp_t *peer = new uv_tcp_t;
    p->peers.push_back(peer);
    uv_tcp_init(&p->loop, peer);
    peer->data = p;
    uv_accept(s, (uv_stream_t *)peer);
    uv_read_start((uv_stream_t *)peer, on_alloc, on_input);
  }
};

std::string response (int status, const std::string &body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string item (const std::string &key, const std::string &value) {
  std::string text((value.size() + 2) / 3 * 4 + 1, '\0');
  int n =
      EVP_EncodeBlock((unsigned char *)&text[0],
                      (const unsigned char *)value.data(), (int)value.size());
  text.resize((size_t)n);
  return "{\"key\":\"" + key + "\",\"rev\":5,\"value\":\"" + text + "\"}";
}

std::string page (const std::vector<std::string> &items, bool more = false) {
  std::string list;
  for (auto &i : items) list += (list.empty() ? "" : ",") + i;
  return response(200, "{\"items\":[" + list + "],\"more\":" +
                           (more ? "true" : "false") + ",\"at\":9}");
}

const std::string LEASE = response(200, "{\"lease\":3,\"ttl_ms\":60000}"),
                  TAKEN = response(200, "{\"rev\":41}"),
                  CONFLICT = response(
                      412,
                      "{\"items\":[{\"key\":\"origins/x\",\"rev\":40}]}"),
                  GONE = response(412, "{\"items\":[]}"),
                  NO_LEASE = response(404, "{}"), AWAY = response(503, "");

// A letter is a call: 'l' a lease, 'w' a write.
TEST(OriginStore, ARecordIsReplacedByALaterOneAlone) {
  struct Row {
    const char *what;
    std::vector<std::string> responses;
    const char *calls;
    bool taken;
    const char *expected; // revision, of the last write
  } rows[] = {
      {"taken", {LEASE, TAKEN}, "lw", true, "0"},
      {"no lease", {AWAY}, "l", false, nullptr},
      {"not taken", {LEASE, AWAY}, "lw", false, "0"},
      {"silence", {LEASE, ""}, "lw", false, "0"},
      {"an earlier write was done",
       {LEASE, CONFLICT, TAKEN},
       "lww",
       true,
       "40"},
      {"the record is gone", {LEASE, GONE, TAKEN}, "lww", true, "0"},
      {"it changes again", {LEASE, CONFLICT, CONFLICT}, "lww", false, "40"},
      {"the lease is over", {LEASE, NO_LEASE}, "lw", false, "0"},
  };
  for (const Row &row : rows) {
    SCOPED_TRACE(row.what);
    ClientAndStore t;
    t.responses = row.responses;
    EXPECT_EQ(t.write(2), row.taken);
    std::string calls;
    for (auto &call : t.calls)
      calls += call.find("kv-lease") != call.npos ? 'l' : 'w';
    EXPECT_EQ(calls, row.calls);
    if (row.expected == nullptr) continue;
    EXPECT_NE(
        t.calls.back().find("\"rev\":" + std::string(row.expected) + "}"),
        std::string::npos);
  }
}

TEST(OriginStore, ALeaseServesUntilItIsHalfOver) {
  struct Row {
    const char *what;
    mt_ms_t ttl; // of the second record
    bool leases;
  } rows[] = {{"long enough", 30000, false}, {"too short", 90000, true}};
  for (const Row &row : rows) {
    SCOPED_TRACE(row.what);
    ClientAndStore t;
    t.responses = {LEASE, TAKEN};
    EXPECT_TRUE(t.write(1));
    t.calls.clear();
    t.responses = {TAKEN};
    if (row.leases) t.responses = {LEASE, TAKEN};
    EXPECT_TRUE(t.write(1, row.ttl));
    EXPECT_EQ(t.calls[0].find("kv-lease") != std::string::npos, row.leases);
    EXPECT_NE(t.calls.back().find("\"rev\":41}"), std::string::npos);
  }
}

// Other programs may write such items, too.
TEST(OriginStore, ReadsWhatIsARecord) {
  const std::string sound =
      "{\"ttl_ms\":9000,\"rows\":[\"ab1:7:fffffff0\",\"ab3:7:0\"]}";
  struct Row {
    const char *what;
    std::vector<std::string> responses;
    bool complete;
    size_t rows;
  } rows[] = {
      {"none", {page({})}, true, 0},
      {"one", {page({item("origins/1", sound)})}, true, 2},
      {"of two pages",
       {page({item("origins/1", sound)}, true),
        page({item("origins/2", sound)})},
       true,
       4},
      {"the second page begins like the first",
       {page({item("origins/1", sound)}, true),
        page({item("origins/1", sound)}, true)},
       false,
       4},
      {"the second page has no key",
       {page({item("origins/1", sound)}, true), page({"7"}, true)},
       false,
       2},
      {"no page follows", {page({}, true)}, false, 0},
      {"an item with a NUL",
       {page({"{\"key\":\"origins/a\\u0000\"}", item("origins/1", sound)})},
       true,
       2},
      {"the second page fails",
       {page({item("origins/1", sound)}, true), AWAY},
       false,
       2},
      {"the store is away", {AWAY}, false, 0},
      {"silence", {""}, false, 0},
      {"no JSON", {response(200, "items")}, false, 0},
      {"no items", {response(200, "{\"items\":7}")}, true, 0},
      {"odd ones",
       {page({item("origins/1", "text"), item("origins/2", "[]"),
              item("origins/3", "{\"rows\":{}}"),
              item("origins/4", "{\"ttl_ms\":9,\"rows\":[7,null,\"\","
                                "\"x:y:z\",\"1:2\",[[]],{}]}"),
              item("origins/5", std::string(100000, '[')),
              "{\"key\":7,\"value\":{}}", "7", item("origins/6", sound)})},
       true,
       2},
  };
  for (const Row &row : rows) {
    SCOPED_TRACE(row.what);
    ClientAndStore t;
    t.responses = row.responses;
    EXPECT_EQ(t.read_all(), row.complete);
    ASSERT_EQ(t.rows.size(), row.rows);
    if (row.rows == 0) continue;
    EXPECT_EQ(t.rows[0].key, 0xab1u);
    EXPECT_EQ(t.rows[0].origin.service, 7u);
    EXPECT_EQ(t.rows[0].origin.version, 0xfffffff0u);
    EXPECT_EQ(t.rows[0].ttl, 9000u);
    EXPECT_EQ(t.rows[1].origin.version, 0u);
  }
}

// Other programs' keys may be any text.
TEST(OriginStore, BeginsAPageBehindAnOddKey) {
  struct Row {
    const char *written, *place;
  } rows[] = {{"1", "1"},
              {"a b&since_rev=%41+#", "a%20b%26since_rev%3D%2541%2B%23"},
              {"a\\r\\n", "a%0D%0A"},
              {"a\\u0000b", "a%01"},
              {"a\\ud800", "a%F4%8F%BF%BF"}};
  for (const Row &row : rows) {
    SCOPED_TRACE(row.written);
    ClientAndStore t;
    std::string odd = "origins/" + std::string(row.written);
    t.responses = {page({item(odd, "{}")}, true),
                   page({item("origins/x", "{\"ttl_ms\":9,\"rows\":["
                                           "\"ab1:7:0\"]}")})};
    EXPECT_TRUE(t.read_all());
    EXPECT_EQ(t.rows.size(), 1u);
    ASSERT_EQ(t.calls.size(), 2u);
    EXPECT_EQ(t.calls[1].substr(0, t.calls[1].find("\r\n")),
              "GET /-/kv-range?path_prefix=origins/&since_rev=origins%2F" +
                  std::string(row.place) + " HTTP/1.1");
  }
}

} // namespace
