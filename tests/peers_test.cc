// peers_test.cc - exchanges between routers, without sockets
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "relay.h"

extern "C" {
#include "share_exchange.h"
#include "load_reporter.h"
#include "membership.h"
#include "overload.h"
#include "peer_message.h"
}

namespace {

// {== Messages =============================================================

std::unique_ptr<mt_peer_message_t> message_of (mt_peer_kind_t kind) {
  auto m = std::make_unique<mt_peer_message_t>();
  mt_peer_message_begin(m.get(), kind);
  return m;
}

TEST(PeerMessage, RoundTripsEveryKind) {
  char bytes[MT_PEER_DATAGRAM_MAX];
  for (int kind = 0; kind < MT_PEER_KINDS; kind++) {
    auto in = message_of((mt_peer_kind_t)kind),
         out = message_of(MT_PEER_QUOTE_REQUEST);
    in->boot = UINT64_MAX;
    in->number = 7;
    in->request_number = 1ull << 40;
    in->interval = 150;
    in->groups = 8;
    in->group = 3;
    in->feeds[MT_FEED_ENGINES] = {5, 9, 7, 200};
    in->members[in->members_count++] = {0x0a000001, 77, 1};
    in->shares[in->shares_count++] = {12, {1000, 500}};
    in->engines[in->engines_count++] = {
        99, {10, 20, 3}, 400, 77, MT_ADMIT_PERMIT, {}, {}, 0};
    in->segments[in->segments_count++] = {5, 600};
    in->drains[in->drains_count++] = {99, 1780000000000, 700};
    in->spans[MT_FEED_ENGINES] = {4, 6};
    for (int k = 0; k < MT_CHANGE_KINDS; k++) {
      mt_change_t change = mt_change_make((mt_change_kind_t)k, "i-1", 5 + k);
      if (k == MT_CHANGE_ENGINE_READY || k == MT_CHANGE_ENGINE_DRAINING)
        change.u.engine = {"d1", "10.0.0.1", "s",          80,
                           64,   2500,       1780000000000};
      if (k == MT_CHANGE_ROUTE_REMOVED || k == MT_CHANGE_ROUTE_ADDED)
        change = mt_change_make_route((mt_change_kind_t)k, 7, 8, 5 + k);
      change.age = 30;
      in->changes[in->changes_count++] = change;
    }
    in->suspects[in->suspects_count++] = {
        41,  3,       {{55, 10, true, 8001, 77}, {56, 5, false, 8002, 78}},
        2,   4,       1,
        900, 1800000, true};
    in->suspect_message = {
        MT_SUSPECT_MESSAGE_ENDED, 41, 99, 1234567, true, 30, 6000, 79, true};
    in->verdict = MT_TRIAL_BUSY;
    in->origin = {{41, {12, 13}, 30000},
                  {true, {12, 13}, 14, true, 15, 16000, 0}};
    size_t n = mt_peer_message_pack(in.get(), bytes, sizeof bytes);
    ASSERT_GT(n, 0u);
    ASSERT_TRUE(mt_peer_message_unpack(out.get(), bytes, n));
    EXPECT_EQ(out->kind, kind);
    ASSERT_EQ(out->suspects_count, 1u);
    const mt_suspect_row_t &row = out->suspects[0];
    EXPECT_EQ(row.digest, 41u);
    EXPECT_EQ(row.version, 3u);
    ASSERT_EQ(row.listed, 2);
    EXPECT_EQ(row.list[0].engine, 55u);
    EXPECT_EQ(row.list[0].at, 10u);
    EXPECT_TRUE(row.list[0].alone);
    EXPECT_FALSE(row.list[1].alone);
    EXPECT_EQ(row.list[0].run, 8001u);
    EXPECT_EQ(row.list[1].run, 8002u);
    EXPECT_EQ(row.list[0].workspace, 77u);
    EXPECT_EQ(row.list[1].workspace, 78u);
    EXPECT_EQ(row.earlier, 4);
    EXPECT_EQ(row.earlier_alone, 1);
    EXPECT_EQ(row.age, 900u);
    EXPECT_EQ(row.expires_in, 1800000u);
    EXPECT_EQ(out->suspect_message.kind, MT_SUSPECT_MESSAGE_ENDED);
    EXPECT_EQ(out->suspect_message.digest, 41u);
    EXPECT_EQ(out->suspect_message.engine, 99u);
    EXPECT_EQ(out->suspect_message.request, 1234567u);
    EXPECT_TRUE(out->suspect_message.alone);
    EXPECT_EQ(out->suspect_message.age, 30u);
    EXPECT_EQ(out->suspect_message.lease, 6000u);
    EXPECT_EQ(out->suspect_message.workspace, 79u);
    EXPECT_TRUE(out->suspect_message.known);
    EXPECT_TRUE(row.known);
    EXPECT_EQ(out->verdict, MT_TRIAL_BUSY);
    EXPECT_EQ(out->boot, in->boot);
    EXPECT_EQ(out->request_number, in->request_number);
    EXPECT_EQ(out->groups, 8u);
    EXPECT_EQ(out->group, 3u);
    EXPECT_EQ(out->feeds[MT_FEED_ENGINES].newest, 5);
    EXPECT_EQ(out->feeds[MT_FEED_ENGINES].at, 9);
    EXPECT_EQ(out->feeds[MT_FEED_ENGINES].received, 7);
    EXPECT_EQ(out->feeds[MT_FEED_ENGINES].age, 200u);
    ASSERT_EQ(out->members_count, 1u);
    EXPECT_EQ(out->members[0].domain, 77u);
    ASSERT_EQ(out->shares_count, 1u);
    EXPECT_EQ(out->shares[0].rates.served, 500);
    // A kind has either a list of engines, a list of drains or an origin.
    bool is_drains = kind == MT_PEER_DRAINS;
    bool is_origin = kind == MT_PEER_ORIGIN ||
                     kind == MT_PEER_ORIGIN_REQUEST ||
                     kind == MT_PEER_ORIGIN_REPLY;
    ASSERT_EQ(out->engines_count, is_drains || is_origin ? 0u : 1u);
    EXPECT_EQ(out->origin.report.key, is_origin ? 41u : 0u);
    EXPECT_EQ(out->origin.report.origin.service, is_origin ? 12u : 0u);
    EXPECT_EQ(out->origin.report.origin.version, is_origin ? 13u : 0u);
    EXPECT_EQ(out->origin.report.ttl, is_origin ? 30000u : 0u);
    EXPECT_EQ(out->origin.answer.known, is_origin);
    EXPECT_EQ(out->origin.answer.origin.version, is_origin ? 13u : 0u);
    EXPECT_EQ(out->origin.answer.sole, is_origin ? 14u : 0u);
    EXPECT_EQ(out->origin.answer.several, is_origin);
    EXPECT_EQ(out->origin.answer.list_rev, is_origin ? 15 : 0);
    EXPECT_EQ(out->origin.answer.up, is_origin ? 16000u : 0u);
    ASSERT_EQ(out->drains_count, is_drains ? 1u : 0u);
    if (is_drains) {
      EXPECT_EQ(out->drains[0].engine, 99u);
      EXPECT_EQ(out->drains[0].started_at, 1780000000000);
      EXPECT_EQ(out->drains[0].age, 700u);
    } else if (!is_origin) {
      EXPECT_EQ(out->engines[0].load.running, 3);
      EXPECT_EQ(out->engines[0].tokens, 400);
      EXPECT_EQ(out->engines[0].holder, 77u);
      EXPECT_EQ(out->engines[0].admission, MT_ADMIT_PERMIT);
    }
    ASSERT_EQ(out->segments_count, 1u);
    EXPECT_EQ(out->segments[0].tokens, 600);
    EXPECT_EQ(out->spans[MT_FEED_ENGINES].base, 4);
    EXPECT_EQ(out->spans[MT_FEED_ENGINES].reach, 6);
    EXPECT_EQ(out->spans[MT_FEED_DECLARATIONS].reach, 0);
    ASSERT_EQ(out->changes_count, (size_t)MT_CHANGE_KINDS);
    for (int k = 0; k < MT_CHANGE_KINDS; k++) {
      EXPECT_EQ(out->changes[k].kind, k);
      EXPECT_STREQ(out->changes[k].name, in->changes[k].name);
      EXPECT_EQ(out->changes[k].rev, 5 + k);
      EXPECT_EQ(out->changes[k].age, 30u);
    }
    const mt_change_engine_t &e =
        out->changes[MT_CHANGE_ENGINE_DRAINING].u.engine;
    EXPECT_STREQ(e.domain, "d1");
    EXPECT_STREQ(e.ip, "10.0.0.1");
    EXPECT_STREQ(e.service, "s");
    EXPECT_EQ(e.port, 80);
    EXPECT_EQ(e.slots, 64);
    EXPECT_EQ(e.cold, 2500u);
    EXPECT_EQ(out->changes[MT_CHANGE_ROUTE_REMOVED].u.path.route, 7u);
    EXPECT_EQ(out->changes[MT_CHANGE_ROUTE_REMOVED].u.path.service, 8u);
  }
}

// The parts of inventories, at the end of the list of changes.
TEST(PeerMessage, InventoriesRoundTrip) {
  struct Row {
    const char *what;
    size_t changes, values;
    mt_revision_t at;
    bool fits;
  } rows[] = {{"a request", 0, MT_INVENTORY_RANGES, MT_REVISION_NONE, true},
              {"no items", 0, 0, 0, true},
              {"beside changes", 3, 140, mt_revision(2, 7), true},
              {"a large range", 0, MT_PEER_INVENTORY_MAX, 9, true},
              {"too large", 200, MT_PEER_INVENTORY_MAX, 9, false}};
  for (const Row &row : rows) {
    SCOPED_TRACE(row.what);
    char bytes[MT_PEER_DATAGRAM_MAX];
    auto in = message_of(MT_PEER_CHANGES), out = message_of(MT_PEER_HELLO);
    for (size_t i = 0; i < row.changes; i++)
      in->changes[in->changes_count++] = mt_change_make(
          MT_CHANGE_KEY_REVOKED, std::string(64, 'a').c_str(), 5);
    mt_peer_inventory_t &part = in->inventory;
    part.present = true;
    part.feed = MT_FEED_ENGINES;
    part.version = INT64_MAX;
    part.at = row.at;
    part.rev = 3;
    part.digest = UINT64_MAX;
    part.equal = {{1, 2}};
    part.listed = {{UINT64_MAX, 5}};
    part.count = row.values;
    for (size_t i = 0; i < row.values; i++) part.values[i] = UINT64_MAX - i;
    size_t n = mt_peer_message_pack(in.get(), bytes, sizeof bytes);
    ASSERT_EQ(n > 0, row.fits);
    if (!row.fits) continue;
    ASSERT_TRUE(mt_peer_message_unpack(out.get(), bytes, n));
    ASSERT_TRUE(out->inventory.present);
    EXPECT_EQ(out->changes_count, row.changes);
    EXPECT_EQ(out->inventory.feed, MT_FEED_ENGINES);
    EXPECT_EQ(out->inventory.version, INT64_MAX);
    EXPECT_EQ(out->inventory.at, row.at);
    EXPECT_EQ(out->inventory.rev, 3);
    EXPECT_EQ(out->inventory.digest, UINT64_MAX);
    EXPECT_EQ(out->inventory.equal.bits[1], 2u);
    EXPECT_EQ(out->inventory.listed.bits[0], UINT64_MAX);
    ASSERT_EQ(out->inventory.count, row.values);
    for (size_t i = 0; i < row.values; i++)
      EXPECT_EQ(out->inventory.values[i], UINT64_MAX - i);
  }
}

TEST(PeerMessage, MalformedBytesAreBounded) {
  char bytes[MT_PEER_DATAGRAM_MAX];
  auto in = message_of(MT_PEER_GROUP_SUMMARY),
       out = message_of(MT_PEER_QUOTE_REQUEST);
  for (int i = 0; i < 20; i++)
    in->shares[in->shares_count++] = {(mt_id_t)i + 1, {1e12, -5}};
  for (int k = 0; k < MT_CHANGE_KINDS; k++)
    in->changes[in->changes_count++] =
        mt_change_make((mt_change_kind_t)k, "i-1", 5 + k);
  size_t n = mt_peer_message_pack(in.get(), bytes, sizeof bytes);
  ASSERT_TRUE(mt_peer_message_unpack(out.get(), bytes, n));
  ASSERT_EQ(out->changes_count, (size_t)MT_CHANGE_KINDS);
  EXPECT_EQ(out->shares[0].rates.demand, 1000000000); // the upper bound
  EXPECT_EQ(out->shares[0].rates.served, 0);
  for (size_t cut = 0; cut < n; cut++)
    EXPECT_FALSE(mt_peer_message_unpack(out.get(), bytes, cut));
  std::mt19937 random(1);
  for (int i = 0; i < 20000; i++) {
    char spoiled[2048];
    memcpy(spoiled, bytes, n);
    for (int k = 0; k < 3; k++) spoiled[random() % n] = (char)random();
    mt_peer_message_unpack(out.get(), spoiled, n);
    ASSERT_LE(out->shares_count, (size_t)MT_PEER_SHARES_MAX);
    ASSERT_LE(out->changes_count, (size_t)MT_PEER_CHANGES_MAX);
    for (size_t c = 0; c < out->changes_count; c++)
      ASSERT_LT(out->changes[c].kind, MT_CHANGE_KINDS);
  }
}

// }==

// {== Membership ===========================================================

// Routers that all know each other, in failure domains 1, 2, ...
struct Fleet {
  std::vector<mt_membership_t> routers;
  mt_ms_t now = 100000;

  Fleet(int count, int domains) : routers((size_t)count) {
    for (int i = 0; i < count; i++) {
      mt_membership_t &m = routers[(size_t)i];
      m = mt_membership_t{};
      m.own_ip = ip(i);
      m.own_domain = (mt_id_t)(1 + i % domains);
      m.own_reaches_source = true;
      m.now = now;
      for (int k = 0; k < count; k++) {
        mt_peer_t *peer = mt_membership_add(&m, ip(k));
        if (peer == nullptr) continue;
        peer->domain = (mt_id_t)(1 + k % domains);
        peer->reaches_source = true;
        peer->last_seen = now;
      }
      mt_membership_update(&m, now);
    }
  }
  ~Fleet() {
    for (mt_membership_t &m : routers) mt_membership_free(&m);
  }
  static uint32_t ip (int i) {
    return 0x0a000001u + (uint32_t)i * 0x101u;
  }
  mt_peer_t *peer (mt_membership_t &m, uint32_t who) {
    return (mt_peer_t *)mtV_get(&m.by_ip, who);
  }
};

// Within a failure domain every router receives the summary of each other
// group once; from every other domain one router of each group does.
TEST(Membership, EachGroupAndDomainIsSentToOnce) {
  for (int count : {2, 6, 8, 58, 300}) {
    Fleet fleet(count, 3);
    std::map<uint32_t, mt_membership_t *> by_ip;
    for (mt_membership_t &m : fleet.routers) by_ip[m.own_ip] = &m;
    for (mt_membership_t &to : fleet.routers) {
      std::map<uint32_t, int> copies;
      for (mt_membership_t &from : fleet.routers) {
        if (from.own_ip == to.own_ip) continue;
        if (from.own_domain != to.own_domain) continue;
        uint32_t group = mt_membership_group(&from, from.own_ip);
        if (group == mt_membership_group(&from, to.own_ip)) continue;
        copies[group] += mt_membership_sends_to(&from, to.own_ip);
      }
      for (auto &group : copies) EXPECT_EQ(group.second, 1) << count;
    }
    // (sending domain, receiving domain and group)
    std::map<std::array<uint32_t, 3>, int> sent_to;
    std::set<std::array<uint32_t, 3>> expected;
    for (mt_membership_t &from : fleet.routers) {
      mt_peer_t *list[512];
      size_t n = mt_membership_domain_receivers(&from, list, 512);
      for (size_t i = 0; i < n; i++) {
        mt_membership_t *to = by_ip[list[i]->ip];
        ASSERT_NE(to->own_domain, from.own_domain);
        sent_to[{from.own_domain, to->own_domain,
                 mt_membership_group(to, to->own_ip)}]++;
      }
      for (mt_membership_t &to : fleet.routers)
        if (to.own_domain != from.own_domain)
          expected.insert({from.own_domain, to.own_domain,
                           mt_membership_group(&to, to.own_ip)});
    }
    EXPECT_EQ(sent_to.size(), expected.size()) << count;
    for (auto &row : sent_to) EXPECT_EQ(row.second, 1) << count;
  }
}

// All routers of a fleet of 2,000 are known, and a new router is sent all of
// them.
TEST(Membership, ALargeFleetIsKnownInFull) {
  for (int count : {300, 986, 2000}) {
    mt_membership_t m{};
    m.own_ip = 1;
    m.own_domain = 1;
    mt_membership_update(&m, 100000);
    for (int i = 1; i < count; i++) {
      mt_peer_t *peer = mt_membership_add(&m, (uint32_t)(1 + i * 0x101));
      ASSERT_NE(peer, nullptr) << i;
      peer->domain = (mt_id_t)(1 + i % 5);
      peer->last_seen = 100000;
    }
    mt_membership_update(&m, 100000);
    EXPECT_EQ(m.live, count);
    EXPECT_EQ(m.refused, 0u);
    std::set<uint32_t> listed;
    for (size_t next = 0; next < m.count;) {
      static mt_peer_message_t message;
      mt_peer_message_begin(&message, MT_PEER_MEMBERS);
      next = mt_share_exchange_list_members(&m, next, &message);
      char bytes[MT_PEER_DATAGRAM_MAX];
      EXPECT_GT(mt_peer_message_pack(&message, bytes, sizeof bytes), 0u);
      for (size_t i = 0; i < message.members_count; i++)
        listed.insert(message.members[i].ip);
    }
    EXPECT_EQ(listed.size(), (size_t)count);
    mt_membership_free(&m);
  }
}

// Addresses beyond the bound are not added, and are counted.
TEST(Membership, AddressesAreBounded) {
  mt_membership_t m{};
  m.own_ip = 1;
  mt_membership_update(&m, 100000);
  for (uint32_t i = 2; i < 10002; i++) mt_membership_add(&m, i);
  EXPECT_EQ(m.count + m.refused, 10000u);
  EXPECT_GE(m.count, 4000u); // 2,000 routers, all replaced once
  EXPECT_GT(m.refused, 0u);
  mt_membership_free(&m);
}

TEST(Membership, AllAgreeOnOwners) {
  for (int count : {6, 58, 300}) {
    Fleet fleet(count, 5);
    std::map<uint32_t, int> owned;
    for (uint64_t engine = 1; engine <= 500; engine++) {
      mt_id_t domain = (mt_id_t)(1 + engine % 5);
      uint32_t owner = mt_membership_owner(&fleet.routers[0], engine, domain);
      owned[owner]++;
      for (mt_membership_t &m : fleet.routers)
        ASSERT_EQ(mt_membership_owner(&m, engine, domain), owner);
      for (mt_membership_t &m : fleet.routers)
        EXPECT_TRUE(m.own_ip != owner || m.own_domain == domain);
    }
    for (auto &k : owned)
      EXPECT_LE(k.second, 500 / count * 3 + 12); // about evenly
  }
}

TEST(Membership, AStartingRouterProbesOften) {
  struct Row {
    mt_ms_t started, probed; // ms ago
    bool due;
  } rows[] = {{0, 0, true},       {300, 150, true},   {2900, 150, true},
              {3100, 150, false}, {9000, 999, false}, {9000, 1000, true}};
  for (const Row &row : rows) {
    mt_membership_t m{};
    m.own_ip = 1;
    mt_membership_update(&m, 100000 - row.started);
    mt_peer_t *seed = mt_membership_add(&m, 2);
    seed->probed = 100000 - row.probed;
    mt_membership_update(&m, 100000);
    EXPECT_EQ(mt_membership_should_probe(&m, seed), row.due)
        << row.started << " " << row.probed;
    EXPECT_EQ(seed->probed == m.now, row.due || row.probed == 0);
    mt_membership_free(&m);
  }
}

TEST(Membership, OwnersThatDoNotAnswerAreReplaced) {
  Fleet fleet(12, 3);
  mt_membership_t &m = fleet.routers[0];
  uint64_t engine = 1;
  while (mt_membership_owner(&m, engine, 2) == m.own_ip) engine++;
  uint32_t first = mt_membership_owner(&m, engine, 2);
  fleet.peer(m, first)->unanswered_since = fleet.now;
  mt_membership_update(&m, fleet.now + 50);
  EXPECT_EQ(mt_membership_owner(&m, engine, 2), first); // may still answer
  mt_membership_update(&m, fleet.now + 100);
  uint32_t second = mt_membership_owner(&m, engine, 2);
  EXPECT_NE(second, first);
  EXPECT_EQ(fleet.peer(m, second)->domain, 2u);
  mt_membership_update(&m, fleet.now + 1000); // no longer suspected
  EXPECT_EQ(mt_membership_owner(&m, engine, 2), first);
  for (size_t i = 0; i < m.count; i++)
    if (m.list[i]->domain == 2) m.list[i]->last_seen = 1; // all of them lost
  uint32_t other = mt_membership_owner(&m, engine, 2);
  EXPECT_NE(other, 0u);
  EXPECT_TRUE(other == m.own_ip || fleet.peer(m, other)->domain != 2);
}

TEST(Membership, EachFailureDomainHasWatchers) {
  struct Row {
    int count, domains, watchers;
  } rows[] = {{1, 1, 1},  {6, 3, 6},   {8, 4, 8},    {9, 3, 6},
              {58, 3, 6}, {64, 5, 10}, {300, 20, 40}};
  for (const Row &row : rows) {
    Fleet fleet(row.count, row.domains);
    int watchers = 0;
    for (mt_membership_t &m : fleet.routers)
      watchers += mt_membership_watches(&m);
    EXPECT_EQ(watchers, row.watchers) << row.count;
  }
  // Watchers that do not reach the source are replaced by others.
  Fleet fleet(30, 3);
  std::set<uint32_t> before, after;
  for (mt_membership_t &m : fleet.routers)
    if (mt_membership_watches(&m)) before.insert(m.own_ip);
  for (mt_membership_t &m : fleet.routers)
    for (uint32_t cut : before)
      if (mt_peer_t *peer = fleet.peer(m, cut)) peer->reaches_source = false;
  for (mt_membership_t &m : fleet.routers)
    if (before.count(m.own_ip) == 0 && mt_membership_watches(&m))
      after.insert(m.own_ip);
  EXPECT_EQ(after.size(), 6u);
  // Where no router reaches the source a few keep trying, not all.
  size_t trying = 0;
  for (mt_membership_t &m : fleet.routers) {
    m.own_reaches_source = false;
    for (size_t i = 0; i < m.count; i++) m.list[i]->reaches_source = false;
    trying += mt_membership_watches(&m);
  }
  EXPECT_EQ(trying, 6u);
}

// }==

// {== Loads ================================================================

// Datagrams are not authenticated: they may report loads at any number of
// engines that do not exist, so the table is bounded.
TEST(LoadTable, EnginesFromDatagramsAreBounded) {
  mt_load_table_t router_loads{};
  mt_load_row_t row{};
  row.router = 1;
  row.load.running = 1;
  row.valid_until = 2;
  for (uint64_t engine = 1; engine <= 40000; engine++)
    mt_load_table_set(&router_loads, engine, &row);
  EXPECT_LE(router_loads.engines.used, 16384u);
  EXPECT_EQ(mt_load_table_sum(&router_loads, 1, 0, 1).running, 1)
      << "first is kept";
  mt_load_table_expire(&router_loads, 2);
  EXPECT_EQ(router_loads.engines.used, 0u);
  mt_load_table_free(&router_loads);
}

TEST(LoadTable, SumsLoadsOfOtherRouters) {
  mt_load_table_t router_loads{};
  mt_load_row_t a{}, b{};
  a.router = 1;
  a.load = {100, 200, 3};
  a.tokens_processed = 1000;
  a.valid_until = 50;
  b.router = 2;
  b.load = {10, 20, 1};
  b.valid_until = 90;
  EXPECT_EQ(mt_load_table_set(&router_loads, 7, &a),
            0); // nothing to compare with
  a.tokens_processed = 1500;
  EXPECT_EQ(mt_load_table_set(&router_loads, 7, &a), 500);
  a.tokens_processed = 100; // the router has restarted
  EXPECT_EQ(mt_load_table_set(&router_loads, 7, &a), 0);
  mt_load_table_set(&router_loads, 7, &b);
  mt_load_table_set(&router_loads, 8, &b);
  EXPECT_EQ(mt_load_table_sum(&router_loads, 7, 0, 40).pending_prefill, 110);
  EXPECT_EQ(mt_load_table_sum(&router_loads, 7, 1, 40).pending_prefill, 10);
  EXPECT_EQ(mt_load_table_sum(&router_loads, 7, 2, 40).running, 3);
  EXPECT_EQ(mt_load_table_sum(&router_loads, 9, 0, 40).held, 0);
  EXPECT_EQ(mt_load_table_sum(&router_loads, 7, 0, 60).pending_prefill,
            10); // a has expired
  mt_load_table_expire(&router_loads, 60);
  EXPECT_EQ(mt_load_table_sum(&router_loads, 7, 0, 40).pending_prefill, 10);
  mt_load_table_expire(&router_loads, 100);
  EXPECT_EQ(router_loads.engines.used, 0u);
  mt_load_table_free(&router_loads);
}

struct Reports {
  std::map<uint32_t, std::vector<uint64_t>> rows;
  static uint32_t owner (void *, const mt_engine_t *e) {
    return (uint32_t)(e->key % 2) + 1;
  }
  static void report (void *ud, uint32_t to, mt_engine_t **engines,
                      size_t count) {
    for (size_t i = 0; i < count; i++) {
      ((Reports *)ud)->rows[to].push_back(engines[i]->key);
      engines[i]->load_dirty = false;
      engines[i]->reported_at = 1000;
    }
  }
};

TEST(LoadReporter, ReportsChangesAndRepeatsRunningLoads) {
  mt_engines_t engines{};
  for (int i = 0; i < 100; i++) {
    mt_engine_t *e = mt_engines_add(&engines, std::to_string(i).c_str());
    if (i < 80) mt_engine_load_changed(e);
  }
  Reports reports;
  mt_load_reporter_t reporter{};
  const mt_load_reporter_callbacks_t callbacks = {Reports::owner,
                                                  Reports::report, &reports};
  mt_load_reporter_tick(&reporter, &engines, 1000, &callbacks);
  EXPECT_EQ(reports.rows[1].size() + reports.rows[2].size(), 80u);
  for (auto &to : reports.rows)
    for (uint64_t key : to.second) EXPECT_EQ(key % 2 + 1, to.first);
  reports.rows.clear();
  engines.list[0]->local.running = 1;
  mt_engine_load_changed(engines.list[0]);
  engines.list[0]->load_dirty = false; // it was reported at once
  mt_load_reporter_tick(&reporter, &engines, 1100, &callbacks);
  EXPECT_TRUE(reports.rows.empty());
  mt_load_reporter_tick(&reporter, &engines, 2000, &callbacks);
  EXPECT_EQ(reports.rows[1].size() + reports.rows[2].size(), 1u);
  mt_load_reporter_free(&reporter);
  mt_engines_free(&engines);
}

// A tick visits only the engines that this router uses, however many exist.
TEST(LoadReporter, VisitsOnlyEnginesInUse) {
  for (int count : {100, 1000, 10000, 20000}) {
    mt_engines_t engines{};
    Reports reports;
    mt_load_reporter_t reporter{};
    const mt_load_reporter_callbacks_t callbacks = {
        Reports::owner, Reports::report, &reports};
    for (int i = 0; i < count; i++)
      mt_engines_add(&engines, std::to_string(i).c_str());
    for (size_t i = 0; i < 10; i++) mt_engine_load_changed(engines.list[i]);
    mt_engine_set_reachable(engines.list[20], false, 1000);
    engines.list[0]->local.running = 1;
    mt_load_reporter_tick(&reporter, &engines, 1000, &callbacks);
    EXPECT_EQ(engines.active_count, 11u) << count;
    mt_load_reporter_tick(&reporter, &engines, 1100, &callbacks);
    EXPECT_EQ(engines.active_count, 2u) << count; // running; unreachable
    mt_engines_remove(&engines, engines.list[20]);
    mt_engines_remove(&engines, engines.list[0]);
    EXPECT_EQ(engines.active_count, 0u) << count;
    for (size_t i = 0; i < engines.count; i++)
      ASSERT_EQ(engines.list[i]->list_index, i);
    mt_load_reporter_free(&reporter);
    mt_engines_free(&engines);
  }
}

// }==

// {== Placement by quotes ==================================================

std::vector<uint64_t> asked (Relay &w, uint64_t number) {
  std::vector<uint64_t> keys;
  auto *r = (mt_relay_request_t *)mtV_get(&w.relay->requests, number);
  if (r == nullptr || !w.find(MT_RELAY_DO_GET_QUOTES, number)) return keys;
  for (size_t i = 0; i < r->candidates_count; i++)
    keys.push_back(r->candidates[i].engine);
  return keys;
}

void quote (Relay &w, uint64_t number,
            const std::vector<mt_relay_quote_t> &quotes) {
  mt_relay_event_t event{};
  event.kind = MT_RELAY_QUOTED;
  event.request = number;
  event.u.quotes.list = quotes.data();
  event.u.quotes.count = quotes.size();
  w.step(event);
}

mt_relay_quote_t quote_of (uint64_t engine, int64_t pending_prefill,
                           int64_t cached = 0) {
  mt_relay_quote_t q{};
  q.engine = engine;
  q.peers.pending_prefill = pending_prefill;
  q.cached = cached;
  return q;
}

TEST(RelayQuotes, ARequestGoesWhereOwnersReportCapacity) {
  Relay w(8);
  w.declare();
  w.relay->routers = 2;
  w.request(1, "/stream/x");
  std::vector<uint64_t> keys = asked(w, 1);
  ASSERT_EQ(keys.size(), (size_t)MT_RELAY_ROUND_MAX);
  EXPECT_EQ(std::set<uint64_t>(keys.begin(), keys.end()).size(), keys.size());
  std::vector<mt_relay_quote_t> quotes;
  for (uint64_t key : keys) quotes.push_back(quote_of(key, 500000));
  quotes[2] = quote_of(keys[2], 0);
  quote(w, 1, {quotes[0], quotes[1]});
  EXPECT_EQ(w.effects.count, 0u); // two quotes are missing
  quote(w, 1, {quotes[2], quotes[3]});
  const mt_relay_effect_t *fx = w.find(MT_RELAY_DO_START, 1);
  ASSERT_NE(fx, nullptr);
  EXPECT_EQ(fx->u.start.engine, keys[2]);
}

TEST(RelayQuotes, TheEngineThatHoldsThePrefixIsPreferred) {
  Relay w(8);
  w.declare();
  w.relay->routers = 2;
  w.request(1, "/stream/x", "key-w1", 5000, 8000);
  std::vector<uint64_t> keys = asked(w, 1);
  std::vector<mt_relay_quote_t> quotes;
  for (uint64_t key : keys) quotes.push_back(quote_of(key, 200));
  quotes[3].cached = 4000;
  quote(w, 1, quotes);
  ASSERT_NE(w.find(MT_RELAY_DO_START, 1), nullptr);
  EXPECT_EQ(w.find(MT_RELAY_DO_START, 1)->u.start.engine, keys[3]);
}

TEST(RelayQuotes, SilentOwnersDelayNothing) {
  Relay w(8);
  w.declare();
  w.relay->routers = 2;
  w.pass(25);
  w.request(1, "/stream/x");
  ASSERT_FALSE(asked(w, 1).empty());
  w.pass(100);
  EXPECT_NE(w.find(MT_RELAY_DO_START, 1), nullptr);
}

// If no engine that was asked about has room, the request is refused at once:
// a second round of quotes for other engines does not find room either.
TEST(RelayQuotes, OwnersAreAskedOnce) {
  struct Row {
    const char *what;
    int64_t pending_prefill; // at every engine that was asked about
    bool taken;
  } rows[] = {{"room", 0, true}, {"no room", 500000, false}};
  for (const Row &row : rows) {
    Relay w(8);
    w.declare();
    w.relay->routers = 2;
    w.request(1, "/stream/x");
    std::vector<uint64_t> first = asked(w, 1);
    EXPECT_EQ(first.size(), (size_t)MT_RELAY_ROUND_MAX);
    std::vector<mt_relay_quote_t> quotes;
    for (uint64_t key : first)
      quotes.push_back(quote_of(key, row.pending_prefill));
    quote(w, 1, quotes);
    EXPECT_TRUE(asked(w, 1).empty()) << row.what;
    EXPECT_EQ(w.find(MT_RELAY_DO_START) != nullptr, row.taken) << row.what;
    EXPECT_EQ(w.refusal() == MT_RELAY_BUSY, !row.taken) << row.what;
  }
}

// Engines m1 to m8 are in the local failure domain, m9 to m16 in a remote
// one.
TEST(RelayQuotes, RemoteDomainsAreAskedWhenTheLocalOneIsFull) {
  struct Row {
    const char *what;
    int64_t local, remote; // pending prefill at every engine there
    bool off;              // the second round
    bool taken;
  } rows[] = {{"room in the local domain", 0, 0, false, true},
              {"room in the remote domain", 500000, 0, false, true},
              {"no room", 500000, 500000, false, false},
              {"second round switched off", 500000, 0, true, false}};
  for (const Row &row : rows) {
    Relay w(16);
    w.declare();
    w.relay->routers = 2;
    w.relay->params.cross_domain_ms = 15;
    w.relay->params.off[MT_RELAY_REMOTE_ROUND] = row.off;
    std::set<uint64_t> remote;
    for (int i = 1; i <= 16; i++) {
      mt_engine_t *e = w.find("m" + std::to_string(i));
      e->remote = i > 8;
      if (i > 8) remote.insert(e->key);
    }
    w.request(1, "/stream/x");
    size_t quoted = 0, rounds = 0;
    std::vector<uint64_t> keys = asked(w, 1);
    while (!keys.empty()) {
      std::vector<mt_relay_quote_t> quotes;
      size_t remote_count = 0;
      for (; quoted < keys.size(); quoted++) {
        bool is_remote = remote.count(keys[quoted]) > 0;
        remote_count += is_remote;
        quotes.push_back(
            quote_of(keys[quoted], is_remote ? row.remote : row.local));
      }
      // First round: engines of the local domain, and the home engine of the
      // fleet, which may be in the remote domain.
      EXPECT_TRUE(rounds == 0 ? remote_count <= 1
                              : remote_count == quotes.size());
      rounds++;
      // The home engine of the fleet has no more room than local engines.
      if (rounds == 1)
        for (mt_relay_quote_t &q : quotes)
          q.peers.pending_prefill = row.local;
      quote(w, 1, quotes);
      keys = asked(w, 1);
    }
    EXPECT_EQ(w.find(MT_RELAY_DO_START) != nullptr, row.taken) << row.what;
    EXPECT_EQ(w.refusal() == MT_RELAY_BUSY, !row.taken) << row.what;
    EXPECT_EQ(rounds, row.local > 0 && !row.off ? 2u : 1u) << row.what;
  }
}

// Each request asks for quotes of a few engines; together they ask about all.
TEST(RelayQuotes, RequestsAskAboutDifferentEngines) {
  Relay w(60);
  w.declare();
  w.relay->routers = 2;
  std::map<uint64_t, int> asked_about;
  const int requests = 600;
  for (uint64_t number = 1; number <= requests; number++) {
    w.request(number, "/stream/x");
    std::vector<uint64_t> keys = asked(w, number);
    for (size_t i = 2; i < keys.size(); i++) asked_about[keys[i]]++;
  }
  EXPECT_GE(asked_about.size(), 58u); // all but the two home engines
  for (auto &engine : asked_about)
    EXPECT_LE(engine.second, 5 * 2 * requests / 60) << engine.first;
}

TEST(RelayQuotes, ASingleRouterAsksNobody) {
  Relay w(8);
  w.declare();
  w.request(1, "/stream/x");
  EXPECT_TRUE(asked(w, 1).empty());
  EXPECT_NE(w.find(MT_RELAY_DO_START, 1), nullptr);
}

TEST(RelayQuotes, ACallerMayDisconnectWhileQuotesArePending) {
  Relay w(8);
  w.declare();
  w.relay->routers = 2;
  w.request(1, "/stream/x");
  std::vector<uint64_t> keys = asked(w, 1);
  w.step(w.make_event(MT_RELAY_CALLER_DISCONNECTED, 1));
  EXPECT_EQ(w.relay->count, 0u);
  quote(w, 1, {quote_of(keys[0], 0)}); // late, has no effect
  EXPECT_EQ(w.effects.count, 0u);
  EXPECT_TRUE(w.idle());
}

TEST(RelayQuotes, AnOwnerQuotesPeerLoadsAndTheHeldPrefix) {
  Relay w(1);
  w.declare();
  mt_engine_t *e = w.find("m1");
  const mt_prefix_segment_t segments[] = {{11, 300}, {13, 200}};
  mt_load_row_t row{};
  row.router = 5;
  row.load = {700, 50, 2};
  row.valid_until = w.now + 1000;
  w.relay->now = w.now;
  mt_relay_update_peer_load(w.relay, e->key, &row, segments, 2);
  e->local = {30, 0, 1};
  mt_relay_quote_t own = mt_relay_quote(w.relay, e->key, 0, segments, 2);
  EXPECT_EQ(own.peers.pending_prefill, 700);
  EXPECT_EQ(own.cached, 500);
  mt_relay_quote_t other = mt_relay_quote(w.relay, e->key, 5, segments, 1);
  EXPECT_EQ(other.peers.pending_prefill, 30);
  EXPECT_EQ(other.peers.running, 1);
  EXPECT_EQ(other.cached, 300);
  mt_relay_quote_t third = mt_relay_quote(w.relay, e->key, 6, segments, 0);
  EXPECT_EQ(third.peers.pending_prefill, 730);
  e->local = {};
}

TEST(RelayShares, RequestsThatDidNotRunAreNotCountedAsServed) {
  struct Row {
    const char *name;
    std::function<void(Relay &)> end;
    bool served;
  } rows[] = {
      {"caller left before an event",
       [] (Relay &w) {
         w.step(w.make_event(MT_RELAY_CALLER_DISCONNECTED, 1));
       },
       false},
      {"caller left after an event",
       [] (Relay &w) {
         w.head(1, 200, true);
         w.event(1, 0);
         w.step(w.make_event(MT_RELAY_CALLER_DISCONNECTED, 1));
       },
       true},
      {"engine lost before an event",
       [] (Relay &w) {
         w.relay->catalog->routes[2].attempts = 1;
         w.fail(1);
       },
       false},
      {"rejected by all engines",
       [] (Relay &w) { w.head(1, 503, false, MT_RELAY_NOT_RUN); }, false},
  };
  for (const Row &row : rows) {
    Relay w(1);
    w.declare();
    w.request(1, "/stream/x");
    w.sent(1);
    row.end(w);
    mt_share_t *share = mt_fair_share_get(&w.relay->shares, mtV_id("w1", 2));
    EXPECT_EQ(share->local.served > 1, row.served) << row.name;
    EXPECT_GT(share->local.demand, 1) << row.name;
  }
}

// }==

// {== Overload =============================================================

TEST(Overload, StreamsAreRefusedUnderSevereOverload) {
  Relay w;
  w.declare();
  w.relay->overloaded = true;
  w.request(1, "/stream/x");
  EXPECT_EQ(w.refusal(), MT_RELAY_FULL);
  EXPECT_GT(w.find(MT_RELAY_DO_REFUSE)->u.refuse.retry_after, 0u);
  w.request(2, "/once/x"); // no stream: costs little
  EXPECT_NE(w.find(MT_RELAY_DO_START, 2), nullptr);
  w.relay->overloaded = false;
  w.request(3, "/stream/x");
  EXPECT_NE(w.find(MT_RELAY_DO_START, 3), nullptr);
}

TEST(Overload, FollowsTheLengthOfTicks) {
  struct Row {
    const char *name;
    std::vector<std::pair<int, mt_ms_t>> ticks; // number, length in ms
    bool overloaded;
  } rows[] = {{"idle", {{100, 25}}, false},
              {"one long pause", {{10, 25}, {1, 60}, {10, 25}}, false},
              {"late", {{30, 150}}, true},
              {"a little late", {{100, 60}}, false},
              {"late, then recovered", {{30, 150}, {200, 25}}, false},
              {"late, then a little", {{30, 150}, {5, 50}}, true}};
  for (const Row &row : rows) {
    mt_overload_t overload{};
    int changes = 0;
    for (auto &ticks : row.ticks)
      for (int i = 0; i < ticks.first; i++)
        changes += mt_overload_update(&overload, ticks.second, 25);
    EXPECT_EQ(overload.overloaded, row.overloaded) << row.name;
    EXPECT_EQ(changes % 2 == 1, row.overloaded) << row.name;
  }
}

// }==

} // namespace
