// drain_exchange_test.cc - gossip about draining engines, without sockets
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "drain_exchange.h"
}

namespace {

const int64_t kStartedAt = 1780000000000;

// Time until all routers must know of a drain that one of them has learned.
const mt_ms_t kSpreadMs = 2000;

struct Fleet;

struct Router {
  Fleet *fleet = nullptr;
  mt_membership_t members{};
  mt_engines_t engines{};
  mt_drain_exchange_t exchange{};
  mt_peer_message_t out{};
  bool partitioned = false;
  ~Router() {
    mt_drain_exchange_free(&exchange);
    mt_engines_free(&engines);
    mt_membership_free(&members);
  }
};

// Routers of three failure domains that use the same engines. Messages arrive
// at once or are lost.
struct Fleet {
  std::vector<std::unique_ptr<Router>> routers;
  std::map<uint32_t, Router *> by_ip;
  mt_ms_t now = 1000000;
  std::mt19937 random;
  unsigned loss; // of 1,000 messages
  uint64_t bytes = 0;

  Fleet(int count, int engines, unsigned seed = 1, unsigned lost_of_1000 = 0)
      : random(seed), loss(lost_of_1000) {
    for (int i = 0; i < count; i++) {
      routers.push_back(std::make_unique<Router>());
      Router *m = routers.back().get();
      m->fleet = this;
      m->members.own_ip = 0x0a000001u + (uint32_t)i * 0x101u;
      m->members.own_domain = (mt_id_t)(1 + i % 3);
      for (int k = 0; k < engines; k++)
        mt_engines_add(&m->engines, name(k).c_str())->started_at = kStartedAt;
      open(m);
      by_ip[m->members.own_ip] = m;
    }
    update_members();
  }
  static std::string name (int engine) {
    return "i-" + std::to_string(engine);
  }
  static uint64_t key (int engine) {
    return mt_engine_key(name(engine).data(), name(engine).size());
  }
  static mt_engine_t *engine (Router *m, int number) {
    return mt_engines_get(&m->engines, key(number));
  }
  void open (Router *m) {
    const mt_drain_exchange_callbacks_t callbacks = {begin, send,
                                                     receive_drain, m};
    mt_drain_exchange_open(&m->exchange, &m->members, &m->engines, &callbacks,
                           random());
  }
  void update_members () {
    for (auto &m : routers) {
      for (auto &other : routers) {
        mt_peer_t *peer =
            mt_membership_add(&m->members, other->members.own_ip);
        if (peer == nullptr) continue;
        peer->domain = other->members.own_domain;
        if (other->partitioned == m->partitioned) peer->last_seen = now;
      }
      mt_membership_update(&m->members, now);
    }
  }
  // The router loses its state; the others treat it as a new one.
  void restart (Router *m) {
    for (size_t i = 0; i < m->engines.count; i++)
      m->engines.list[i]->drain = mt_engine_drain_t{};
    mt_drain_exchange_free(&m->exchange);
    open(m);
    for (auto &other : routers)
      if (other.get() != m && !other->partitioned)
        mt_drain_exchange_sync_peer(&other->exchange, m->members.own_ip);
  }
  static mt_peer_message_t *begin (void *ud, mt_peer_kind_t kind) {
    auto *m = (Router *)ud;
    mt_peer_message_begin(&m->out, kind);
    return &m->out;
  }
  static void send (void *ud, const uint32_t *to, size_t count) {
    auto *m = (Router *)ud;
    Fleet *fleet = m->fleet;
    char packed[MT_PEER_DATAGRAM_MAX];
    size_t n = mt_peer_message_pack(&m->out, packed, sizeof packed);
    ASSERT_GT(n, 0u);
    auto copy = std::make_unique<mt_peer_message_t>();
    ASSERT_TRUE(mt_peer_message_unpack(copy.get(), packed, n));
    for (size_t i = 0; i < count; i++) {
      Router *other = fleet->by_ip[to[i]];
      fleet->bytes += n;
      if (other->partitioned != m->partitioned) continue;
      if (fleet->random() % 1000 < fleet->loss) continue;
      mt_drain_exchange_receive(&other->exchange, m->members.own_ip,
                                copy.get());
    }
  }
  static bool receive_drain (void *ud, const mt_peer_drain_t *peer_drain,
                             uint32_t) {
    auto *m = (Router *)ud;
    mt_engine_t *e = mt_engines_get(&m->engines, peer_drain->engine);
    const mt_engine_drain_t notice = {m->fleet->now - peer_drain->age,
                                      peer_drain->started_at, true};
    return e != nullptr && mt_engine_apply_drain(e, &notice, m->fleet->now);
  }
  void run (mt_ms_t ms) {
    for (mt_ms_t end = now + ms; now < end; now += 25) {
      update_members();
      for (auto &m : routers) mt_drain_exchange_tick(&m->exchange);
    }
  }
  void advertise_drain (size_t router, int number,
                        int64_t started_at = kStartedAt) {
    Router *m = routers[router].get();
    const mt_engine_drain_t notice = {now, started_at, false};
    if (mt_engine_apply_drain(engine(m, number), &notice, now))
      mt_drain_exchange_add(&m->exchange, key(number));
  }
  size_t count_draining (int number) {
    size_t count = 0;
    for (auto &m : routers)
      count += mt_engine_is_draining(engine(m.get(), number), now);
    return count;
  }
};

TEST(DrainExchange, ReachesAllRoutersInTime) {
  struct Row {
    int routers;
    unsigned loss; // of 1,000 messages
  } rows[] = {{2, 0}, {6, 300}, {12, 0}, {85, 300}, {370, 100}};
  for (const Row &row : rows) {
    for (unsigned seed = 1; seed <= 3; seed++) {
      Fleet fleet(row.routers, 2, seed, row.loss);
      fleet.advertise_drain(0, 0);
      fleet.run(kSpreadMs);
      EXPECT_EQ(fleet.count_draining(0), (size_t)row.routers)
          << "lost " << row.loss << " seed " << seed;
      EXPECT_EQ(fleet.count_draining(1), 0u);
    }
  }
}

TEST(DrainExchange, ManyEnginesDrainAtOnce) {
  const int engines = 200;
  Fleet fleet(12, engines);
  for (int i = 0; i < engines; i++) fleet.advertise_drain((size_t)i % 12, i);
  fleet.run(kSpreadMs);
  for (int i = 0; i < engines; i++)
    ASSERT_EQ(fleet.count_draining(i), 12u) << i;
}

// A router that was restarted or partitioned learns of an earlier drain.
TEST(DrainExchange, RestartedAndReconnectedRoutersCatchUp) {
  Fleet fleet(12, 2);
  fleet.routers[3]->partitioned = true;
  fleet.update_members();
  fleet.advertise_drain(0, 0);
  fleet.run(20000);
  EXPECT_EQ(fleet.count_draining(0), 11u);
  fleet.routers[3]->partitioned = false;
  fleet.restart(fleet.routers[5].get());
  fleet.run(kSpreadMs);
  EXPECT_EQ(fleet.count_draining(0), 12u);
}

// A drain known by gossip alone expires, although routers keep gossiping it
// to each other.
TEST(DrainExchange, GossipedDrainsExpire) {
  Fleet fleet(12, 1);
  fleet.advertise_drain(0, 0);
  fleet.run(MT_ENGINE_DRAIN_GOSSIP_TTL_MS + 1000);
  EXPECT_EQ(fleet.count_draining(0), 1u);
  fleet.advertise_drain(4, 0);
  fleet.run(kSpreadMs);
  EXPECT_EQ(fleet.count_draining(0), 12u);
}

// A late notice of an engine's earlier start does not apply to its present
// one.
TEST(DrainExchange, AnEarlierStartIsIgnored) {
  Fleet fleet(6, 1);
  for (auto &m : fleet.routers)
    Fleet::engine(m.get(), 0)->started_at = kStartedAt + 5;
  fleet.advertise_drain(0, 0, kStartedAt);
  fleet.run(kSpreadMs);
  EXPECT_EQ(fleet.count_draining(0), 0u);
}

// With as many draining engines as fit into one message.
TEST(DrainExchange, TrafficIsBounded) {
  const int routers = 85, engines = 64;
  const double bytes_per_s_max = 2000; // sent by one router
  Fleet fleet(routers, engines);
  for (int i = 0; i < engines; i++) fleet.advertise_drain(0, i);
  fleet.run(5000);
  fleet.bytes = 0;
  fleet.run(10000);
  EXPECT_LT((double)fleet.bytes / routers / 10, bytes_per_s_max);
}

} // namespace
