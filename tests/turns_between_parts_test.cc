// turns_between_parts_test.cc - what a gateway does while it reads a large
// configuration
//
// The gateway runs in this process, so that its loop is run turn by turn.
#include "gateway_world.h"

#include <atomic>
#include <thread>

extern "C" {
#include "gateway_settings.h"
#include "gateway_state.h"
#include "store.h"
}

namespace {

// The gateway's log goes to standard output, which it makes non-blocking.
struct NoOutput {
  int saved;
  NoOutput() {
    fflush(stdout);
    saved = dup(1);
    int null = open("/dev/null", O_WRONLY);
    dup2(null, 1);
    ::close(null);
  }
  ~NoOutput() {
    fflush(stdout);
    dup2(saved, 1);
    ::close(saved);
  }
};

struct InProcess {
  World w;
  uv_loop_t loop;
  mt_boot_clock_t clock;
  mt_gateway_t *g;
  mt_platform_store_t *store;

  InProcess() {
    mt_gateway_settings_t settings;
    mt_faults_t faults{};
    char reason[160];
    std::string text = w.settings();
    json_t *doc = json_loadb(text.data(), text.size(), 0, nullptr);
    mt_gateway_settings_read(doc, &settings, &faults);
    json_decref(doc);
    mt_boot_clock_init_loop(&loop);
    mt_boot_clock_open(&clock, &loop);
    g = mt_gateway_open(&loop, &settings, &mt_platform_dialect, reason,
                        sizeof reason);
    mt_platform_source_t source{};
    snprintf(source.addr.ip, sizeof source.addr.ip, "127.0.0.1");
    source.addr.port = (uint16_t)w.store->port;
    source.bounds = {2000, 3000};
    store = mt_platform_store_open(&loop, &source, g);
  }
  ~InProcess() {
    mt_platform_store_close(store);
    mt_gateway_close(g);
    uv_run(&loop, UV_RUN_DEFAULT);
    uv_loop_close(&loop);
  }
  void turn () {
    uv_run(&loop, UV_RUN_NOWAIT);
  }
  int64_t version () const {
    return g->relay->catalog != nullptr ? g->relay->catalog->version : 0;
  }
  // The watch of the declarations, or NULL.
  Conn *watch () {
    for (World::Watch &watch : w.watches)
      if (watch.prefix == "op/") return watch.conn;
    return nullptr;
  }
  bool start () {
    return w.until([&] {
      turn();
      return version() == 7 && watch() != nullptr;
    });
  }
  // Sends the answer to that watch but for its last byte; the gateway reads
  // meanwhile, as it is larger than the sockets' buffers.
  void send_most (Conn *c, const std::string &text) {
    std::atomic<bool> sent{false};
    std::thread sender([&] {
      c->send(text.substr(0, text.size() - 1));
      sent = true;
    });
    while (!sent) turn();
    sender.join();
    for (int i = 0; i < 100; i++) turn();
  }
};

std::string routes (int count) {
  std::string all;
  for (int i = 0; i < count; i++)
    all += ",{\"name\":\"n" + std::to_string(i) +
           "\",\"host\":\"n.example\",\"path_prefix\":\"/n" +
           std::to_string(i) +
           "/\",\"route_kind\":\"safe\",\"service\":"
           "\"plain\"}";
  return all;
}

struct Outcome {
  bool in_force;
  int answers; // to requests, from the store's last byte until then
};

Outcome change (InProcess &p, int version, int more_routes) {
  Conn *c = p.watch();
  Conn *caller = p.w.connect(mt_http_server_port(p.g->callers));
  p.w.items["op/config"] = {
      World::config(version, "key-w1", routes(more_routes)), ++p.w.rev};
  std::string text = answer(200, "",
                            "{\"events\":[" + p.w.item("op/config") +
                                "],\"at\":" + std::to_string(p.w.rev) + "}");
  p.w.watches.clear();
  p.send_most(c, text);
  Outcome outcome = {p.version() != 7, 0};
  const std::string ask = World::ask("/safe/x", "id", "", "", "no-key");
  caller->send(ask);
  c->send(text.substr(text.size() - 1));
  fcntl(caller->fd, F_SETFL, O_NONBLOCK);
  for (int i = 0; i < 1000 && p.version() != version; i++) {
    char buf[4096];
    p.turn();
    if (p.version() == version) break;
    ssize_t n = recv(caller->fd, buf, sizeof buf, 0);
    if (n > 0) caller->in.append(buf, (size_t)n);
    if (!World::is_complete(caller->in)) continue;
    outcome.answers += World::status_of(caller->in) == 401;
    caller->in.clear();
    caller->send(ask);
  }
  outcome.in_force = !outcome.in_force && p.version() == version;
  return outcome;
}

// Else requests lie unread for as long as a large document is read, past
// their objectives on a small box.
TEST(Configuration, RequestsAreAnsweredWhileALargeOneIsRead) {
  struct Row {
    int more_routes, answers_min;
  } rows[] = {{0, 0}, {1400, 2}, {2800, 2}};
  for (const Row &row : rows) {
    Outcome outcome{};
    bool started;
    {
      NoOutput none;
      InProcess p;
      started = p.start();
      if (started) outcome = change(p, 8, row.more_routes);
    }
    EXPECT_TRUE(started);
    EXPECT_TRUE(outcome.in_force) << row.more_routes;
    EXPECT_GE(outcome.answers, row.answers_min) << row.more_routes;
  }
}

} // namespace
