// share_exchange_test.cc - whole fleets that tell each other their shares,
// with a clock by hand and messages that arrive at once, or not at all.
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

constexpr mt_ms_t kTick = 25;

struct World;

struct Router {
  World *world = nullptr;
  mt_membership_t members{};
  mt_fair_share_t shares{};
  mt_share_exchange_t exchange{};
  mt_peer_message_t out{};
  uint64_t sent = 0, crossed = 0; // bytes
  bool dark = false;
};

// Routers in failure domains 1, 2, ...; workspace w asks for 100 tokens a
// second at each router i with i % workspaces == w - 1.
struct World {
  std::vector<std::unique_ptr<Router>> routers;
  std::map<uint32_t, Router *> by_ip;
  std::deque<std::pair<uint32_t, std::unique_ptr<mt_peer_message_t>>> mail;
  int workspaces;
  bool everywhere = false; // all workspaces ask for much at all routers
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
      Router *other = r->world->by_ip[to[i]];
      r->sent += n;
      r->crossed +=
          other->members.own_domain != r->members.own_domain ? n : 0;
      r->world->deliver(r, other, copy);
    }
    return n;
  }
  void deliver (Router *from, Router *to, const mt_peer_message_t &m) {
    if (from->dark || to->dark) return;
    mt_peer_t *peer = mt_membership_know(&to->members, from->members.own_ip);
    peer->heard = now;
    mt_share_exchange_take(&to->exchange, peer, &m);
  }
  World(int count, int domains, int kinds) : workspaces(kinds) {
    for (int i = 0; i < count; i++) {
      routers.push_back(std::make_unique<Router>());
      Router *r = routers.back().get();
      r->world = this;
      r->members.own_ip = ip(i);
      r->members.own_domain = (mt_id_t)(1 + i % domains);
      r->members.own_source = true;
      by_ip[r->members.own_ip] = r;
    }
    for (auto &r : routers) {
      for (int k = 0; k < count; k++) {
        mt_peer_t *peer = mt_membership_know(&r->members, ip(k));
        if (peer == nullptr) continue;
        peer->domain = (mt_id_t)(1 + k % domains);
        peer->heard = now;
      }
      mt_membership_update(&r->members, now);
      mt_share_exchange_calls_t calls = {begin, send, r.get()};
      mt_share_exchange_open(&r->exchange, &r->members, &r->shares, &calls);
    }
  }
  ~World() {
    for (auto &r : routers) {
      mt_share_exchange_free(&r->exchange);
      mt_membership_free(&r->members);
      mt_fair_share_free(&r->shares);
    }
  }
  void pass (mt_ms_t ms) {
    for (mt_ms_t end = now + ms; now < end;) {
      now += kTick;
      for (size_t i = 0; i < routers.size(); i++) {
        Router *r = routers[i].get();
        if (r->dark) continue;
        mt_id_t workspace = (mt_id_t)(1 + i % (size_t)workspaces);
        mt_share_t *share = mt_fair_share_get(&r->shares, workspace);
        share->local = {100, 50};
        for (int k = 1; everywhere && k <= workspaces; k++)
          mt_fair_share_get(&r->shares, (mt_id_t)k)->local = {1e6, 5e5};
        mt_membership_update(&r->members, now);
        mt_share_exchange_tick(&r->exchange);
      }
    }
  }
  // What all asked for, as one router sees it.
  double seen (const Router &r, mt_id_t workspace) {
    mt_share_t *share = mt_fair_share_get(&((Router &)r).shares, workspace);
    return share->local.asked + share->peers.asked;
  }
};

TEST(ShareExchange, EverybodyKnowsTheSums) {
  struct Row {
    int routers, domains, workspaces;
  } rows[] = {{2, 1, 1}, {2, 2, 1},   {6, 3, 4},    {8, 4, 4},
              {9, 3, 9}, {58, 3, 30}, {295, 5, 60}, {100, 20, 20}};
  for (const Row &row : rows) {
    World w(row.routers, row.domains, row.workspaces);
    w.pass(6000);
    for (auto &r : w.routers)
      for (int k = 1; k <= row.workspaces; k++) {
        int at = (row.routers - k) / row.workspaces + 1;
        ASSERT_EQ(w.seen(*r, (mt_id_t)k), 100.0 * at)
            << row.routers << " routers, workspace " << k;
      }
  }
}

// A domain that says nothing any more is not counted for long, nor routers of
// the own one; the rest goes on knowing each other.
TEST(ShareExchange, WhoIsGoneIsNotCounted) {
  struct Row {
    const char *what;
    int every, from; // each such router goes dark
  } rows[] = {{"a failure domain", 5, 0}, {"half of all", 2, 1}};
  for (const Row &row : rows) {
    World w(60, 5, 1);
    w.pass(3000);
    int left = 60;
    for (int i = row.from; i < 60; i += row.every, left--)
      w.routers[(size_t)i]->dark = true;
    w.pass(8000);
    for (auto &r : w.routers) {
      if (r->dark) continue;
      EXPECT_EQ(w.seen(*r, 1), 100.0 * left) << row.what;
      EXPECT_EQ(r->members.live, left) << row.what;
    }
  }
}

// Where routers and workspaces are many, rounds are far apart. Who serves in
// the own failure domain is known all the same, and who has ended is within
// some seconds.
TEST(ShareExchange, RareRoundsDoNotHideWhoServes) {
  World w(100, 2, 300);
  w.everywhere = true;
  auto wrong = [&] (bool dark) {
    int count = 0;
    for (auto &r : w.routers)
      for (size_t i = 0; !r->dark && i < r->members.count; i++) {
        const mt_peer_t *peer = r->members.list[i];
        bool live = mt_membership_is_live(&r->members, peer);
        if (!mt_membership_is_near(&r->members, peer)) continue;
        count += w.by_ip[peer->ip]->dark == dark && live == dark;
      }
    return count;
  };
  w.pass(30000);
  mt_ms_t pace = 0;
  for (auto &r : w.routers) pace = std::max(pace, r->exchange.pace);
  EXPECT_GE(pace, 5000u); // else this shows nothing
  EXPECT_EQ(wrong(false), 0);
  for (size_t i = 0; i < 8; i++) w.routers[i]->dark = true;
  w.pass(12000);
  EXPECT_EQ(wrong(true), 0);
}

// Bytes a second that a router sends stay within the bound, and few of them
// leave the failure domain.
TEST(ShareExchange, WhatItTakesGrowsSlowly) {
  struct Row {
    int routers, domains, workspaces;
    mt_ms_t pace;   // between rounds, at most
    double crossed; // bytes a second and router, at most
  } rows[] = {{30, 5, 60, 400, 4500},
              {100, 5, 60, 900, 2600},
              {295, 5, 60, 1700, 1400},
              {370, 20, 250, 8000, 6000}};
  for (const Row &row : rows) {
    World w(row.routers, row.domains, row.workspaces);
    w.pass(4000);
    uint64_t sent = 0, crossed = 0;
    mt_ms_t pace = 0;
    for (auto &r : w.routers) r->sent = r->crossed = 0;
    const double seconds = 10;
    w.pass((mt_ms_t)(seconds * 1000));
    for (auto &r : w.routers) {
      sent += r->sent;
      crossed += r->crossed;
      pace = std::max(pace, r->exchange.pace);
    }
    double each = (double)sent / seconds / row.routers;
    double across = (double)crossed / seconds / row.routers;
    printf("  %d routers: %.0f bytes a second each, %.0f across domains, "
           "rounds every %d ms at most\n",
           row.routers, each, across, (int)pace);
    EXPECT_LE(each, 9000) << row.routers;
    EXPECT_LE(across, row.crossed) << row.routers;
    EXPECT_LE(pace, row.pace) << row.routers;
  }
}

} // namespace
