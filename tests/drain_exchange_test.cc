// drain_exchange_test.cc - engines that leave, told from router to router
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

const int64_t kBorn = 1780000000000;

// A leaving is to be heeded that long after a router passed it on.
const mt_ms_t kAimMs = 2000;

struct Mesh;

struct Member {
  Mesh *mesh = nullptr;
  mt_membership_t members{};
  mt_engines_t engines{};
  mt_drain_exchange_t exchange{};
  mt_peer_message_t out{};
  bool cut = false;
  ~Member() {
    mt_drain_exchange_free(&exchange);
    mt_engines_free(&engines);
    mt_membership_free(&members);
  }
};

// Routers of three failure domains before the same engines.
struct Mesh {
  std::vector<std::unique_ptr<Member>> all;
  std::map<uint32_t, Member *> by_ip;
  mt_ms_t now = 1000000;
  std::mt19937 random;
  unsigned lost; // of 1,000 messages
  uint64_t bytes = 0;

  Mesh(int count, int engines, unsigned seed = 1, unsigned lost_of_1000 = 0)
      : random(seed), lost(lost_of_1000) {
    for (int i = 0; i < count; i++) {
      all.push_back(std::make_unique<Member>());
      Member *m = all.back().get();
      m->mesh = this;
      m->members.own_ip = 0x0a000001u + (uint32_t)i * 0x101u;
      m->members.own_domain = (mt_id_t)(1 + i % 3);
      for (int k = 0; k < engines; k++)
        mt_engines_add(&m->engines, name(k).c_str())->started_at = kBorn;
      open(m);
      by_ip[m->members.own_ip] = m;
    }
    hear_each_other();
  }
  static std::string name (int engine) {
    return "i-" + std::to_string(engine);
  }
  static uint64_t key (int engine) {
    return mt_engine_key(name(engine).data(), name(engine).size());
  }
  static mt_engine_t *engine (Member *m, int number) {
    return mt_engines_get(&m->engines, key(number));
  }
  void open (Member *m) {
    const mt_drain_exchange_calls_t calls = {begin, send, take, m};
    mt_drain_exchange_open(&m->exchange, &m->members, &m->engines, &calls,
                           random());
  }
  void hear_each_other () {
    for (auto &m : all) {
      for (auto &other : all) {
        mt_peer_t *peer =
            mt_membership_know(&m->members, other->members.own_ip);
        if (peer == nullptr) continue;
        peer->domain = other->members.own_domain;
        if (other->cut == m->cut) peer->heard = now;
      }
      mt_membership_update(&m->members, now);
    }
  }
  // It knows nothing any more; others hear of it as of one that is new.
  void restart (Member *m) {
    for (size_t i = 0; i < m->engines.count; i++)
      m->engines.list[i]->drain = mt_engine_drain_t{};
    mt_drain_exchange_free(&m->exchange);
    open(m);
    for (auto &other : all)
      if (other.get() != m && !other->cut)
        mt_drain_exchange_greet(&other->exchange, m->members.own_ip);
  }
  static mt_peer_message_t *begin (void *ud, mt_peer_kind_t kind) {
    auto *m = (Member *)ud;
    mt_peer_message_begin(&m->out, kind);
    return &m->out;
  }
  static void send (void *ud, const uint32_t *to, size_t count) {
    auto *m = (Member *)ud;
    Mesh *mesh = m->mesh;
    char packed[MT_PEER_DATAGRAM_MAX];
    size_t n = mt_peer_message_pack(&m->out, packed, sizeof packed);
    ASSERT_GT(n, 0u);
    auto copy = std::make_unique<mt_peer_message_t>();
    ASSERT_TRUE(mt_peer_message_unpack(copy.get(), packed, n));
    for (size_t i = 0; i < count; i++) {
      Member *other = mesh->by_ip[to[i]];
      mesh->bytes += n;
      if (other->cut != m->cut) continue;
      if (mesh->random() % 1000 < mesh->lost) continue;
      mt_drain_exchange_take(&other->exchange, m->members.own_ip, copy.get());
    }
  }
  static bool take (void *ud, const mt_peer_drain_t *told, uint32_t) {
    auto *m = (Member *)ud;
    mt_engine_t *e = mt_engines_get(&m->engines, told->engine);
    const mt_engine_drain_t leave = {m->mesh->now - told->age,
                                     told->started_at, true};
    return e != nullptr && mt_engine_apply_drain(e, &leave, m->mesh->now);
  }
  void pass (mt_ms_t ms) {
    for (mt_ms_t end = now + ms; now < end; now += 25) {
      hear_each_other();
      for (auto &m : all) mt_drain_exchange_tick(&m->exchange);
    }
  }
  void says (size_t member, int number, int64_t started_at = kBorn) {
    Member *m = all[member].get();
    const mt_engine_drain_t leave = {now, started_at, false};
    if (mt_engine_apply_drain(engine(m, number), &leave, now))
      mt_drain_exchange_heard(&m->exchange, key(number));
  }
  size_t that_know (int number) {
    size_t count = 0;
    for (auto &m : all)
      count += mt_engine_is_draining(engine(m.get(), number), now);
    return count;
  }
};

TEST(DrainExchange, AllKnowWithinTheTimeThatIsAllowed) {
  struct Row {
    int routers;
    unsigned lost; // of 1,000 messages
  } rows[] = {{2, 0}, {6, 300}, {12, 0}, {85, 300}, {370, 100}};
  for (const Row &row : rows) {
    for (unsigned seed = 1; seed <= 3; seed++) {
      Mesh mesh(row.routers, 2, seed, row.lost);
      mesh.says(0, 0);
      mesh.pass(kAimMs);
      EXPECT_EQ(mesh.that_know(0), (size_t)row.routers)
          << "lost " << row.lost << " seed " << seed;
      EXPECT_EQ(mesh.that_know(1), 0u);
    }
  }
}

TEST(DrainExchange, ManyAtOnceAreTold) {
  const int engines = 200;
  Mesh mesh(12, engines);
  for (int i = 0; i < engines; i++) mesh.says((size_t)i % 12, i);
  mesh.pass(kAimMs);
  for (int i = 0; i < engines; i++) ASSERT_EQ(mesh.that_know(i), 12u) << i;
}

// Who restarted or was cut off hears of it, while those that know run on.
TEST(DrainExchange, WhoMissedItHearsOfIt) {
  Mesh mesh(12, 2);
  mesh.all[3]->cut = true;
  mesh.hear_each_other();
  mesh.says(0, 0);
  mesh.pass(20000);
  EXPECT_EQ(mesh.that_know(0), 11u);
  mesh.all[3]->cut = false;
  mesh.restart(mesh.all[5].get());
  mesh.pass(kAimMs);
  EXPECT_EQ(mesh.that_know(0), 12u);
}

// Others' word lapses, however long they go on to tell each other.
TEST(DrainExchange, OthersWordLapses) {
  Mesh mesh(12, 1);
  mesh.says(0, 0);
  mesh.pass(MT_ENGINE_DRAIN_GOSSIP_TTL_MS + 1000);
  EXPECT_EQ(mesh.that_know(0), 1u);
  mesh.says(4, 0);
  mesh.pass(kAimMs);
  EXPECT_EQ(mesh.that_know(0), 12u);
}

// Word of a start that is over, told late, says nothing of the present one.
TEST(DrainExchange, AnEarlierStartIsPassedOver) {
  Mesh mesh(6, 1);
  for (auto &m : mesh.all) Mesh::engine(m.get(), 0)->started_at = kBorn + 5;
  mesh.says(0, 0, kBorn);
  mesh.pass(kAimMs);
  EXPECT_EQ(mesh.that_know(0), 0u);
}

// With as many engines leaving as one router may ever tell of at once.
TEST(DrainExchange, CostsLittle) {
  const int routers = 85, engines = 64;
  const double most = 2000; // bytes a second of one router
  Mesh mesh(routers, engines);
  for (int i = 0; i < engines; i++) mesh.says(0, i);
  mesh.pass(5000);
  mesh.bytes = 0;
  mesh.pass(10000);
  EXPECT_LT((double)mesh.bytes / routers / 10, most);
}

} // namespace
