// share_exchange_test.cc - fleets that exchange shares, with a simulated
// clock and messages that arrive at once or not at all.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <deque>
#include <map>
#include <memory>
#include <vector>

extern "C" {
#include "share_exchange.h"
}

namespace {

constexpr mt_ms_t kTickMs = 25;

struct Fleet;

struct Router {
  Fleet *fleet = nullptr;
  mt_membership_t members{};
  mt_fair_share_t shares{};
  mt_share_exchange_t exchange{};
  mt_peer_message_t out{};
  uint64_t sent = 0, cross_domain = 0; // bytes
  bool down = false;
};

// Routers in failure domains 1, 2, ...; workspace w asks for 100 tokens a
// second at each router i with i % workspaces == w - 1.
struct Fleet {
  std::vector<std::unique_ptr<Router>> routers;
  std::map<uint32_t, Router *> by_ip;
  std::deque<std::pair<uint32_t, std::unique_ptr<mt_peer_message_t>>>
      in_flight;
  int workspaces;
  bool all_ask = false; // all workspaces have high rates at all routers
  mt_ms_t now = 100000;

  static uint32_t ip (int i) {
    return 0x0a000001u + (uint32_t)i * 0x101u;
  }
  static mt_peer_message_t *begin (void *ud, mt_peer_kind_t kind) {
    auto *r = (Router *)ud;
    mt_peer_message_begin(&r->out, kind);
    return &r->out;
  }
  static size_t send (void *ud, const uint32_t *to, size_t count) {
    auto *r = (Router *)ud;
    char bytes[MT_PEER_DATAGRAM_MAX];
    size_t n = mt_peer_message_pack(&r->out, bytes, sizeof bytes);
    static mt_peer_message_t copy;
    EXPECT_TRUE(mt_peer_message_unpack(&copy, bytes, n));
    for (size_t i = 0; i < count; i++) {
      Router *other = r->fleet->by_ip[to[i]];
      r->sent += n;
      r->cross_domain +=
          other->members.own_domain != r->members.own_domain ? n : 0;
      r->fleet->deliver(r, other, copy);
    }
    return n;
  }
  void deliver (Router *from, Router *to, const mt_peer_message_t &m) {
    if (from->down || to->down) return;
    mt_peer_t *peer = mt_membership_add(&to->members, from->members.own_ip);
    peer->last_seen = now;
    mt_share_exchange_receive(&to->exchange, peer, &m);
  }
  Fleet(int count, int domains, int workspace_count)
      : workspaces(workspace_count) {
    for (int i = 0; i < count; i++) {
      routers.push_back(std::make_unique<Router>());
      Router *r = routers.back().get();
      r->fleet = this;
      r->members.own_ip = ip(i);
      r->members.own_domain = (mt_id_t)(1 + i % domains);
      r->members.own_reaches_source = true;
      by_ip[r->members.own_ip] = r;
    }
    for (auto &r : routers) {
      for (int k = 0; k < count; k++) {
        mt_peer_t *peer = mt_membership_add(&r->members, ip(k));
        if (peer == nullptr) continue;
        peer->domain = (mt_id_t)(1 + k % domains);
        peer->last_seen = now;
      }
      mt_membership_update(&r->members, now);
      mt_share_exchange_callbacks_t callbacks = {begin, send, r.get()};
      mt_share_exchange_open(&r->exchange, &r->members, &r->shares,
                             &callbacks);
    }
  }
  ~Fleet() {
    for (auto &r : routers) {
      mt_share_exchange_free(&r->exchange);
      mt_membership_free(&r->members);
      mt_fair_share_free(&r->shares);
    }
  }
  void run (mt_ms_t ms) {
    for (mt_ms_t end = now + ms; now < end;) {
      now += kTickMs;
      for (size_t i = 0; i < routers.size(); i++) {
        Router *r = routers[i].get();
        if (r->down) continue;
        mt_id_t workspace = (mt_id_t)(1 + i % (size_t)workspaces);
        mt_share_t *share = mt_fair_share_get(&r->shares, workspace);
        share->local = {100, 50};
        for (int k = 1; all_ask && k <= workspaces; k++)
          mt_fair_share_get(&r->shares, (mt_id_t)k)->local = {1e6, 5e5};
        mt_membership_update(&r->members, now);
        mt_share_exchange_tick(&r->exchange);
      }
    }
  }
  // Rate asked for in the whole fleet, as known at one router.
  double seen (const Router &r, mt_id_t workspace) {
    mt_share_t *share = mt_fair_share_get(&((Router &)r).shares, workspace);
    return share->local.demand + share->peers.demand;
  }
};

TEST(ShareExchange, AllRoutersKnowTheSums) {
  struct Row {
    int routers, domains, workspaces;
  } rows[] = {{2, 1, 1}, {2, 2, 1},   {6, 3, 4},    {8, 4, 4},
              {9, 3, 9}, {58, 3, 30}, {295, 5, 60}, {100, 20, 20}};
  for (const Row &row : rows) {
    Fleet w(row.routers, row.domains, row.workspaces);
    w.run(6000);
    for (auto &r : w.routers)
      for (int k = 1; k <= row.workspaces; k++) {
        int at = (row.routers - k) / row.workspaces + 1;
        ASSERT_EQ(w.seen(*r, (mt_id_t)k), 100.0 * at)
            << row.routers << " routers, workspace " << k;
      }
  }
}

// Rates of a failure domain that is lost expire, as do those of lost routers
// of the local one; the other routers still know each other.
TEST(ShareExchange, LostRoutersAreNotCounted) {
  struct Row {
    const char *what;
    int every, from; // these routers go down
  } rows[] = {{"a failure domain", 5, 0}, {"half of all", 2, 1}};
  for (const Row &row : rows) {
    Fleet w(60, 5, 1);
    w.run(3000);
    int remaining = 60;
    for (int i = row.from; i < 60; i += row.every, remaining--)
      w.routers[(size_t)i]->down = true;
    w.run(8000);
    for (auto &r : w.routers) {
      if (r->down) continue;
      EXPECT_EQ(w.seen(*r, 1), 100.0 * remaining) << row.what;
      EXPECT_EQ(r->members.live, remaining) << row.what;
    }
  }
}

// With many routers and workspaces rounds are far apart. Heartbeats still
// keep live routers of the local failure domain known, and show within
// seconds which ones have ended.
TEST(ShareExchange, HeartbeatsKeepMembershipCurrentBetweenRareRounds) {
  Fleet w(100, 2, 300);
  w.all_ask = true;
  auto count_wrong = [&] (bool down) {
    int count = 0;
    for (auto &r : w.routers)
      for (size_t i = 0; !r->down && i < r->members.count; i++) {
        const mt_peer_t *peer = r->members.list[i];
        bool live = mt_membership_is_live(&r->members, peer);
        if (!mt_membership_is_local(&r->members, peer)) continue;
        count += w.by_ip[peer->ip]->down == down && live == down;
      }
    return count;
  };
  w.run(30000);
  mt_ms_t interval = 0;
  for (auto &r : w.routers)
    interval = std::max(interval, r->exchange.interval);
  EXPECT_GE(interval, 5000u); // else the test proves nothing
  EXPECT_EQ(count_wrong(false), 0);
  for (size_t i = 0; i < 8; i++) w.routers[i]->down = true;
  w.run(12000);
  EXPECT_EQ(count_wrong(true), 0);
}

// The bytes per second that a router sends are bounded, and few of them go to
// other failure domains.
TEST(ShareExchange, TrafficGrowsSlowly) {
  struct Row {
    int routers, domains, workspaces;
    mt_ms_t interval;    // upper bound on the time between rounds
    double cross_domain; // upper bound on bytes per second and router
  } rows[] = {{30, 5, 60, 400, 4500},
              {100, 5, 60, 900, 2600},
              {295, 5, 60, 1700, 1400},
              {370, 20, 250, 8000, 6000}};
  for (const Row &row : rows) {
    Fleet w(row.routers, row.domains, row.workspaces);
    w.run(4000);
    uint64_t sent = 0, cross_domain = 0;
    mt_ms_t interval = 0;
    for (auto &r : w.routers) r->sent = r->cross_domain = 0;
    const double seconds = 10;
    w.run((mt_ms_t)(seconds * 1000));
    for (auto &r : w.routers) {
      sent += r->sent;
      cross_domain += r->cross_domain;
      interval = std::max(interval, r->exchange.interval);
    }
    double each = (double)sent / seconds / row.routers;
    double across = (double)cross_domain / seconds / row.routers;
    printf("  %d routers: %.0f bytes per second each, %.0f across domains, "
           "at most %d ms between rounds\n",
           row.routers, each, across, (int)interval);
    EXPECT_LE(each, 9000) << row.routers;
    EXPECT_LE(across, row.cross_domain) << row.routers;
    EXPECT_LE(interval, row.interval) << row.routers;
  }
}

} // namespace
