// restart_test.cc - engines that restart under the same id
#include <gtest/gtest.h>

#include "gateway_world.h"
#include "relay.h"

namespace {

// State of the previous start (cache, loads, failures, slowness) is
// discarded.
TEST(Restart, DiscardsStateOfThePreviousStart) {
  Relay r(2);
  r.declare();
  mt_engine_t *e = r.find("m1");
  const mt_prefix_segment_t segment = {7, 500};
  mt_prefix_cache_use(&e->cached, &segment, 1, 100000);
  mt_prefix_holders_set(&r.relay->holders, 7, e->key, r.now);
  e->state = MT_ENGINE_DRAINING;
  e->unlisted_since = r.now;
  e->peers.running = 60;
  e->failures = 5;
  e->suspended_until = r.now + 3000;
  e->unreachable = true;
  e->slowness = 6;
  const mt_load_row_t row = {nullptr, 9, {100, 200, 3}, 50, r.now + 2500, {}};
  mt_load_table_set(&r.relay->router_loads, e->key, &row);
  mt_relay_event_t event{};
  event.kind = MT_RELAY_RESTARTED;
  event.u.restarted.engine = e->key;
  r.step(event);
  EXPECT_EQ(mt_prefix_cache_match(&e->cached, &segment, 1, 100000), 0);
  EXPECT_EQ(mt_prefix_holders_find(&r.relay->holders, 7), 0u);
  EXPECT_EQ(
      mt_load_table_sum(&r.relay->router_loads, e->key, 0, r.now).running, 0);
  EXPECT_EQ(e->unlisted_since, 0u);
  EXPECT_EQ(e->peers.running, 0);
  EXPECT_EQ(e->failures, 0);
  EXPECT_EQ(e->suspended_until, 0u);
  EXPECT_FALSE(e->unreachable);
  EXPECT_EQ(e->slowness, 1.0);
}

// Requests at the previous start are treated as lost before their connections
// fail.
TEST(Restart, RunningRequestsAreLostAtOnce) {
  struct Row {
    const char *what, *path;
    bool retried;
  } rows[] = {{"it may be repeated", "/again/x", true},
              {"it may run once", "/once/x", false}};
  for (const Row &row : rows) {
    SCOPED_TRACE(row.what);
    Relay r(2);
    r.declare();
    r.request(1, row.path);
    uint64_t engine = r.find(MT_RELAY_DO_START)->u.start.engine;
    r.sent(1);
    mt_relay_event_t event{};
    event.kind = MT_RELAY_RESTARTED;
    event.u.restarted.engine = engine;
    r.step(event);
    EXPECT_NE(r.find(MT_RELAY_DO_CANCEL, 1), nullptr);
    const mt_relay_effect_t *fx = r.find(MT_RELAY_DO_START);
    EXPECT_EQ(fx != nullptr, row.retried);
    if (fx != nullptr) {
      EXPECT_NE(fx->u.start.engine, engine);
    }
    EXPECT_EQ(r.refusal() == MT_RELAY_ENGINE_LOST, !row.retried);
  }
}

std::string listed (int port, long started_at, const char *state = "ready") {
  return "{\"service\":\"plain\",\"addr\":\"127.0.0.1:" +
         std::to_string(port) + "\",\"zone\":\"d1\",\"slots\":8,\"born\":" +
         std::to_string(started_at) + ",\"state\":\"" + state + "\"}";
}

struct RestartedEngine {
  World w;
  Listener *first, *second;
  int served[2] = {0, 0};
  RestartedEngine() {
    auto serve = [this] (int which) {
      return [this, which] (Conn &c, const Request &r) {
        served[which]++;
        c.send(answer(200,
                      "X-Attempt-Id: " + r.field("X-Attempt-Id") +
                          "\r\nX-Engine-Seal: s\r\n",
                      "x"));
      };
    };
    first = w.listen(serve(0));
    second = w.listen(serve(1));
  }
  bool logged (const std::string &line) {
    return w.until([&] { return w.log.find(line) != w.log.npos; });
  }
  int ask () {
    return World::status_of(w.call(World::ask("/safe/x", "id1")));
  }
};

// An idle connection leads to the previous start, and the address may be new.
TEST(Restart, UsesNewConnections) {
  RestartedEngine t;
  t.w.put("servers/i-1", listed(t.first->port, 100));
  t.w.start();
  ASSERT_EQ(t.ask(), 200);
  t.w.log.clear();
  t.w.put("servers/i-1", listed(t.second->port, 200));
  ASSERT_TRUE(t.logged("engine=i-1 address=127.0.0.1:" +
                       std::to_string(t.second->port)));
  ASSERT_EQ(t.ask(), 200);
  EXPECT_EQ(t.served[0], 1);
  EXPECT_EQ(t.served[1], 1);
}

// A drain is final for one start of an engine, not for its id.
TEST(Restart, ServesAgainAfterDraining) {
  RestartedEngine t;
  t.w.put("servers/i-1", listed(t.first->port, 100));
  t.w.start();
  t.w.put("servers/i-1", listed(t.first->port, 100, "draining"));
  ASSERT_TRUE(t.logged("outcome=leaving"));
  EXPECT_EQ(t.ask(), 503);
  t.w.log.clear();
  t.w.put("servers/i-1", listed(t.second->port, 200));
  ASSERT_TRUE(t.logged("outcome=ready"));
  EXPECT_EQ(t.ask(), 200);
  EXPECT_EQ(t.served[1], 1);
}

// An invalid entry removes the engine that it replaces, and no other.
TEST(Restart, InvalidEntryRemovesOnlyItsEngine) {
  RestartedEngine t;
  t.w.put("servers/i-1", listed(t.first->port, 100));
  t.w.put("servers/i-2", listed(t.second->port, 100));
  t.w.put("servers/i-3", "\xff not an entry");
  t.w.start();
  t.w.put("servers/i-1", "{\"state\":7}");
  ASSERT_TRUE(t.logged(
      "engine=i-1 address=127.0.0.1:" + std::to_string(t.first->port) +
      " running=0 outcome=gone"));
  t.served[0] = 0;
  for (int i = 0; i < 6; i++) EXPECT_EQ(t.ask(), 200);
  EXPECT_EQ(t.served[0], 0);
  EXPECT_EQ(t.served[1], 6);
}

} // namespace
