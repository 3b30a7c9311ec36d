// http_client_test.cc - calls that end before their response
#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "boot_clock.h"
#include "http_client.h"
}

namespace {

// A client, and a server that accepts one connection, in one loop.
class ClientAndServer {
public:
  std::string response; // that the server sends by respond()
  int heads = 0, ends = 0, failures = 0;
  size_t bytes = 0;                    // of bodies
  bool sent = false, received = false; // the request
  bool closed = false;                 // as the server saw it

  ClientAndServer() {
    sockaddr_in any{};
    mt_boot_clock_init_loop(&loop);
    uv_tcp_init(&loop, &server);
    server.data = this;
    uv_ip4_addr("127.0.0.1", 0, &any);
    uv_tcp_bind(&server, (const sockaddr *)&any, 0);
    uv_listen((uv_stream_t *)&server, 1, on_connection);
    const mt_http_client_options_t options = {1000, 20000, 0, 2000};
    const mt_http_call_handler_t handler = {on_sent, on_head,   on_data,
                                            on_end,  on_failed, nullptr};
    client = mt_http_client_open(&loop, &options, &handler);
  }
  ~ClientAndServer() {
    mt_http_client_close(client);
    uv_close((uv_handle_t *)&server, nullptr);
    if (accepted) uv_close((uv_handle_t *)&peer, nullptr);
    while (uv_run(&loop, UV_RUN_DEFAULT) != 0) continue;
    uv_loop_close(&loop);
  }
  mt_http_call_t *call (mt_ms_t max_idle_ms = 0) {
    sockaddr_in addr{};
    int size = sizeof addr;
    uv_tcp_getsockname(&server, (sockaddr *)&addr, &size);
    const mt_http_endpoint_t endpoint = {1, "127.0.0.1",
                                         ntohs(addr.sin_port)};
    static const char head[] = "GET / HTTP/1.1\r\n\r\n";
    return mt_http_client_call(client, &endpoint, {head, sizeof head - 1},
                               {"", 0}, max_idle_ms, this);
  }
  void respond () {
    uv_buf_t buf = uv_buf_init(&response[0], (unsigned)response.size());
    uv_try_write((uv_stream_t *)&peer, &buf, 1);
  }
  void close_peer () {
    accepted = false;
    uv_close((uv_handle_t *)&peer, nullptr);
  }
  void reset_peer () {
    accepted = false;
    uv_tcp_close_reset(&peer, nullptr);
  }
  void half_close_peer () {
    uv_os_fd_t fd;
    if (uv_fileno((uv_handle_t *)&peer, &fd) == 0) shutdown(fd, SHUT_WR);
  }
  // Runs the loop and the client's ticks until the condition holds.
  template <class F> void until (F condition) {
    while (!condition()) {
      uv_run(&loop, UV_RUN_NOWAIT);
      mt_http_client_tick(client);
    }
  }

private:
  uv_loop_t loop{}; // without a boot clock
  uv_tcp_t server, peer;
  bool accepted = false;
  mt_http_client_t *client;
  char input[4096];

  static void on_alloc (uv_handle_t *h, size_t, uv_buf_t *buf) {
    auto *p = (ClientAndServer *)h->data;
    *buf = uv_buf_init(p->input, sizeof p->input);
  }
  static void on_read (uv_stream_t *s, ssize_t n, const uv_buf_t *) {
    auto *p = (ClientAndServer *)s->data;
    if (n > 0) p->received = true;
    if (n < 0) p->closed = true;
    if (n < 0) uv_read_stop(s);
  }
  static void on_connection (uv_stream_t *s, int) {
    auto *p = (ClientAndServer *)s->data;
    uv_tcp_init(&p->loop, &p->peer);
    p->peer.data = p;
    p->accepted = true;
    uv_accept(s, (uv_stream_t *)&p->peer);
    uv_read_start((uv_stream_t *)&p->peer, on_alloc, on_read);
  }
  static void on_sent (void *ud, mt_http_call_t *) {
    ((ClientAndServer *)ud)->sent = true;
  }
  static bool on_head (void *ud, mt_http_call_t *, int,
                       const mt_http_headers_t *) {
    ((ClientAndServer *)ud)->heads++;
    return true;
  }
  static void on_data (void *ud, mt_http_call_t *, const char *, size_t n) {
    ((ClientAndServer *)ud)->bytes += n;
  }
  static void on_end (void *ud, mt_http_call_t *) {
    ((ClientAndServer *)ud)->ends++;
  }
  static void on_failed (void *ud, mt_http_call_t *, mt_http_failure_t) {
    ((ClientAndServer *)ud)->failures++;
  }
};

// Guards against losing an engine's Retry-After: a caller disconnected while
// its request was sent, so the 503 was never read, and the engine got further
// requests during the backoff that it had asked for.
TEST(HttpClient, ALingeringCallReadsTheHeadOfItsResponse) {
  enum class Action { RESPONDS, SILENT, CLOSES, CLIENT_CLOSES };
  struct Row {
    const char *what;
    Action action;
    int heads;
  } rows[] = {
      {"the server responds", Action::RESPONDS, 1},
      {"the server stays silent", Action::SILENT, 0},
      {"the server closes the connection", Action::CLOSES, 0},
      {"the client is closed", Action::CLIENT_CLOSES, 0},
  };
  for (const Row &row : rows) {
    int failures = 0;
    {
      ClientAndServer p;
      p.response = "HTTP/1.1 503 Busy\r\nRetry-After: 4\r\n"
                   "Content-Length: 4\r\n\r\nbusy";
      mt_http_call_t *call = p.call();
      EXPECT_FALSE(mt_http_call_linger(call, 20)) << "before it is sent";
      p.until([&] { return p.sent; });
      ASSERT_TRUE(mt_http_call_linger(call, 20)) << row.what;
      if (row.action == Action::RESPONDS) p.respond();
      if (row.action == Action::CLOSES) p.close_peer();
      if (row.action != Action::CLIENT_CLOSES)
        p.until([&] { return p.failures > 0; });
      if (row.action == Action::RESPONDS || row.action == Action::SILENT)
        p.until([&] { return p.closed; });
      EXPECT_EQ(p.heads, row.heads) << row.what;
      EXPECT_EQ(p.ends, 0) << row.what;
      failures = p.failures;
    }
    EXPECT_EQ(failures, row.action == Action::CLIENT_CLOSES ? 0 : 1)
        << row.what;
  }
}

// Guards against a response without a length or chunks that is cut and counts
// as complete: only an end in order completes it.
TEST(HttpClient, AnUnframedResponseIsCompleteIfItsConnectionEndsInOrder) {
  enum class End { CLOSE, HALF_CLOSE, RESET };
  struct Row {
    const char *what;
    End end;
    bool read_before; // the client has read all bytes by then
    int ends;
  } rows[] = {
      {"closed", End::CLOSE, true, 1},
      {"closed before all bytes were read", End::CLOSE, false, 1},
      {"half-closed", End::HALF_CLOSE, true, 1},
      {"reset behind the last byte", End::RESET, true, 0},
      {"reset before all bytes were read", End::RESET, false, 0},
  };
  for (const Row &row : rows) {
    ClientAndServer p;
    p.response = "HTTP/1.1 200 OK\r\n\r\n" + std::string(20000, 'x');
    p.call();
    p.until([&] { return p.received; });
    p.respond();
    if (row.read_before) p.until([&] { return p.bytes == 20000; });
    switch (row.end) {
      case End::CLOSE: p.close_peer(); break;
      case End::HALF_CLOSE: p.half_close_peer(); break;
      case End::RESET: p.reset_peer(); break;
    }
    p.until([&] { return p.ends + p.failures > 0; });
    EXPECT_EQ(p.ends, row.ends) << row.what;
    EXPECT_EQ(p.failures, 1 - row.ends) << row.what;
  }
}

// There is nothing to wait for once the head has been read.
TEST(HttpClient, ACallWhoseResponseHasBegunDoesNotLinger) {
  ClientAndServer p;
  p.response = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nsome";
  mt_http_call_t *call = p.call();
  p.until([&] { return p.sent; });
  p.respond();
  p.until([&] { return p.heads > 0; });
  EXPECT_FALSE(mt_http_call_linger(call, 20));
  mt_http_call_cancel(call);
  p.until([&] { return p.closed; });
  EXPECT_EQ(p.failures, 0);
}

// Guards against a request that is sent on a connection that its server has
// closed, where the loop was held up and did not see that: it may have run.
TEST(HttpClient, AConnectionIsReusedOnlyWhileItIsQuiet) {
  enum class Then { NOTHING, BYTES, CLOSES, RESETS };
  struct Row {
    const char *what;
    Then then;
    bool reused;
  } rows[] = {
      {"nothing", Then::NOTHING, true},
      {"more bytes", Then::BYTES, false},
      {"it closes", Then::CLOSES, false},
      {"it resets", Then::RESETS, false},
  };
  for (const Row &row : rows) {
    ClientAndServer w;
    w.call();
    w.until([&] { return w.received; });
    w.response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    w.respond();
    w.until([&] { return w.ends == 1; });
    switch (row.then) {
      case Then::NOTHING: break;
      case Then::BYTES: w.respond(); break;
      case Then::CLOSES: w.half_close_peer(); break;
      case Then::RESETS: w.reset_peer(); break;
    }
    mt_http_call_t *call = w.call(20000);
    EXPECT_EQ(mt_http_call_is_sent(call), row.reused) << row.what;
    mt_http_call_cancel(call);
  }
}

} // namespace
