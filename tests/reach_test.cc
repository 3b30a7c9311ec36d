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

} // namespace
