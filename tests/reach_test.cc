// reach_test.cc - engines that cannot be reached
#include <gtest/gtest.h>

#include "gateway_world.h"
#include "relay.h"

namespace {

void probed (Relay &r, const mt_engine_t *e, bool up) {
  mt_relay_event_t event{};
  event.kind = MT_RELAY_PROBED;
  event.u.probed.engine = e->key;
  event.u.probed.up = up;
  r.step(event);
}

// The request whose connection fails goes to another engine, and no other
// request is sent to the unreachable one until a probe succeeds.
TEST(Reach, UnreachableEngineGetsNoRequests) {
  Relay r(2);
  r.declare();
  r.request(1, "/once/x");
  const mt_relay_effect_t *fx = r.find(MT_RELAY_DO_START);
  ASSERT_NE(fx, nullptr);
  mt_engine_t *lost = mt_engines_get(&r.relay->engines, fx->u.start.engine);
  r.fail(1, true);
  fx = r.find(MT_RELAY_DO_START);
  ASSERT_NE(fx, nullptr);
  ASSERT_NE(fx->u.start.engine, lost->key);
  int probes = 0;
  for (uint64_t i = 2; i < 100; i++) { // 9.8 s
    r.request(i, "/once/x");
    fx = r.find(MT_RELAY_DO_START);
    ASSERT_NE(fx, nullptr) << i;
    EXPECT_NE(fx->u.start.engine, lost->key) << i;
    r.sent(i);
    r.head(i, 200);
    r.end(i);
    for (int tick = 0; tick < 4; tick++) {
      r.pass(25);
      fx = r.find(MT_RELAY_DO_PROBE);
      if (fx == nullptr) continue;
      EXPECT_EQ(fx->u.probe, lost->key);
      probes++;
      probed(r, lost, false);
    }
  }
  EXPECT_GE(probes, 30);
  EXPECT_LE(probes, 60);
  EXPECT_EQ(r.relay->counters.probes, (uint64_t)probes);
}

TEST(Reach, SuccessfulProbeRestoresEngine) {
  struct Row {
    const char *what;
    bool answered, up;
    mt_ms_t later;
    bool used;
  } rows[] = {{"the probe is in progress", false, false, 60000, false},
              {"the probe failed", true, false, 150, false},
              {"the probe succeeded", true, true, 0, true}};
  for (const Row &row : rows) {
    Relay r(1);
    r.declare();
    r.request(1, "/once/x");
    r.fail(1, true);
    EXPECT_EQ(r.refusal(), MT_RELAY_UNREACHABLE) << row.what;
    r.pass(25);
    ASSERT_NE(r.find(MT_RELAY_DO_PROBE), nullptr) << row.what;
    if (row.answered) probed(r, r.find("p1"), row.up);
    r.now += row.later;
    r.request(2, "/once/x");
    EXPECT_EQ(r.find(MT_RELAY_DO_START) != nullptr, row.used) << row.what;
    EXPECT_EQ(r.relay->counters.probes, 1u) << row.what;
  }
}

TEST(Reach, RemovedEnginesAreNotProbed) {
  for (mt_engine_state_t state : {MT_ENGINE_DRAINING, MT_ENGINE_GONE}) {
    Relay r(1);
    r.declare();
    r.request(1, "/once/x");
    r.fail(1, true);
    r.find("p1")->state = state;
    r.pass(500);
    EXPECT_EQ(r.find(MT_RELAY_DO_PROBE), nullptr);
    probed(r, r.find("m1"), true); // an unexpected result does no harm
  }
}

// Nothing listens at the engine's port, then something does: a probe finds
// it, so that no request has to wait for a failing connection.
TEST(Reach, RecoveredEngineIsFoundByProbe) {
  World w;
  Listener *e = w.listen([&] (Conn &c, const Request &r) {
    c.send(answer(200,
                  "X-Attempt-Id: " + r.field("X-Attempt-Id") +
                      "\r\nX-Engine-Seal: s\r\n",
                  "x"));
  });
  sockaddr_in at = loopback(e->port);
  ::close(e->fd);
  e->fd = -1;
  w.engine("i-1", "plain", e);
  w.start();
  auto probes = [&] {
    std::string in =
        w.fetch(w.metrics, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    size_t n = in.rfind("engine_probes_total ");
    return n == in.npos ? 0 : atoi(in.c_str() + n + 20);
  };
  EXPECT_EQ(World::status_of(w.call(World::ask("/once/x", "id1"))), 503);
  ASSERT_TRUE(w.until([&] { return probes() > 1; }));
  int on = 1;
  e->fd = socket(AF_INET, SOCK_STREAM, 0);
  setsockopt(e->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  ASSERT_EQ(bind(e->fd, (sockaddr *)&at, sizeof at), 0);
  ::listen(e->fd, 64);
  ASSERT_TRUE(w.until([&] { return e->accepted > 0; }));
  ASSERT_TRUE(w.until([&] {
    return World::status_of(w.call(World::ask("/once/x", "id2"))) == 200;
  }));
  EXPECT_EQ(e->accepted, 1); // the request used the probe's connection
}

// An engine of a remote domain at a listener that the test opens and closes.
struct RemoteEngine {
  Listener *listener;
  int fd; // while the listener is closed
  int filler = -1;
  RemoteEngine(World &w, const std::string &id, const char *domain = "d2") {
    listener = w.listen([] (Conn &c, const Request &r) {
      c.send(answer(200,
                    "X-Attempt-Id: " + r.field("X-Attempt-Id") +
                        "\r\nX-Engine-Seal: s\r\n",
                    "x"));
    });
    fd = listener->fd;
    listener->fd = -1;
    w.put("servers/" + id, "{\"service\":\"plain\",\"addr\":\"127.0.0.1:" +
                               std::to_string(listener->port) +
                               "\",\"zone\":\"" + domain +
                               "\",\"slots\":8,\"state\":\"ready\"}");
  }
  ~RemoteEngine() {
    if (filler >= 0) ::close(filler);
    if (fd >= 0) ::close(fd);
  }
  // Connects are refused.
  void close () {
    ::close(fd);
    fd = -1;
  }
  // Connects time out: the listener's queue is full.
  void block () {
    ::listen(fd, 0);
    sockaddr_in at = loopback(listener->port);
    filler = socket(AF_INET, SOCK_STREAM, 0);
    ASSERT_EQ(connect(filler, (sockaddr *)&at, sizeof at), 0);
  }
  // Connects succeed.
  void open () {
    ::listen(fd, 64);
    std::swap(fd, listener->fd);
  }
};

// The outcome of connects reaches the relay: time-outs at two engines mark
// their domain, refused connects do not, and a probe that succeeds ends it.
TEST(Reach, DomainIsMarkedByTimeouts) {
  for (bool timeouts : {true, false}) {
    World w;
    RemoteEngine a(w, "i-1"), b(w, "i-2");
    for (RemoteEngine *e : {&a, &b}) {
      if (timeouts)
        e->block();
      else
        e->close();
    }
    w.start();
    auto metric = [&] (const std::string &name) {
      std::string in =
          w.fetch(w.metrics, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
      size_t n = in.rfind("_" + name + " ");
      return n == in.npos ? -1 : atoi(in.c_str() + n + name.size() + 2);
    };
    EXPECT_EQ(World::status_of(w.call(World::ask("/once/x", "id1"))), 503);
    EXPECT_EQ(metric("domain_cuts_total"), timeouts);
    EXPECT_EQ(metric("domains_unreachable"), timeouts);
    auto logged = [&] (const char *outcome) {
      size_t line = w.log.find("event=domain domain=d2 engine=i-");
      return line != w.log.npos &&
             w.log.find(std::string("outcome=") + outcome + "\n", line) !=
                 w.log.npos;
    };
    if (!timeouts) {
      EXPECT_EQ(w.log.find("event=domain "), w.log.npos);
      continue;
    }
    EXPECT_TRUE(w.until([&] { return logged("unreachable"); }));
    a.open();
    EXPECT_TRUE(w.until([&] { return logged("reachable"); }));
    EXPECT_EQ(metric("domains_unreachable"), 0);
    EXPECT_TRUE(w.until([&] {
      return World::status_of(w.call(World::ask("/once/x", "id2"))) == 200;
    }));
  }
}

// Requests whose connects are withdrawn are served by another domain, and
// their calls end without harm to others.
TEST(Reach, WithdrawnRequestsAreServedElsewhere) {
  World w;
  RemoteEngine a(w, "i-1"), b(w, "i-2"), c(w, "i-3", "d3");
  a.block();
  b.block();
  c.open();
  w.start();
  std::vector<Conn *> callers;
  for (int i = 0; i < 12; i++) {
    callers.push_back(w.connect(w.callers));
    ASSERT_NE(callers.back(), nullptr);
    callers.back()->send(World::ask("/once/x", "id" + std::to_string(i)));
  }
  for (Conn *caller : callers) {
    EXPECT_TRUE(w.until(
        [&] { return caller->closed || World::is_complete(caller->in); }));
    EXPECT_EQ(World::status_of(caller->in), 200);
  }
  EXPECT_TRUE(w.until(
      [&] { return w.log.find("event=domain domain=d2") != w.log.npos; }));
}

} // namespace
