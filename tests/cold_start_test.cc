// cold_start_test.cc - rate limit of cold engines, evacuated failure domains
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

#include "relay.h"

extern "C" {
#include "admission.h"
#include "cold_start.h"
#include "evacuation.h"
#include "membership.h"
}

namespace {

const mt_cold_params_t params = {1.5, 5};
const double rate = 9.8;
const double allowed = rate * 1.5 + 5; // requests in any second

// {== The token bucket =====================================================

// Owners of one engine in separate network partitions, each with a fraction
// of the routers.
struct Owners {
  std::vector<mt_cold_starts_t> all;
  std::vector<double> fractions;
  mt_ms_t now = 50000;
  std::vector<mt_ms_t> sent;

  explicit Owners(std::vector<double> p) : all(p.size()), fractions(p) {
    for (mt_cold_starts_t &s : all) s = mt_cold_starts_t{};
  }
  ~Owners() {
    for (mt_cold_starts_t &s : all) mt_cold_starts_free(&s);
  }
  void cold (mt_ms_t ms) {
    for (mt_cold_starts_t &s : all) mt_cold_starts_set(&s, 7, now + ms, now);
  }
  mt_admission_t acquire (size_t owner) {
    return mt_cold_starts_acquire(&all[owner], 7, rate, &params,
                                  fractions[owner], now);
  }
  // Most requests that arrived within one second.
  size_t max_per_second () {
    size_t most_so_far = 0;
    std::sort(sent.begin(), sent.end());
    for (size_t first = 0, last = 0; last < sent.size(); last++) {
      while (sent[last] - sent[first] >= 1000) first++;
      most_so_far = std::max(most_so_far, last - first + 1);
    }
    return most_so_far;
  }
};

// Holds whichever owner is asked, whenever a permit is used, and whichever
// messages are lost.
TEST(ColdStart, BoundHoldsInEverySecond) {
  struct Row {
    const char *what;
    std::vector<double> fractions;
    double uses;     // fraction of the permits that are used
    double returned; // fraction of the others that are returned
    size_t at_least; // requests in 3 s
  } rows[] = {
      {"all are used", {1}, 1, 1, 36},
      {"some are used", {1}, 0.3, 1, 30},
      {"returned permits are lost", {1}, 0.5, 0, 15},
      {"two partitions", {0.5, 0.5}, 1, 1, 30},
      {"three partitions", {0.34, 0.33, 0.33}, 1, 1, 25},
      {"every router alone", std::vector<double>(91, 1.0 / 91), 1, 1, 0}};
  for (const Row &row : rows) {
    for (unsigned seed = 1; seed <= 10; seed++) {
      std::mt19937 random(seed);
      auto chance = [&] (double p) { return (random() % 1000) < p * 1000; };
      Owners w(row.fractions);
      w.cold(3000);
      std::vector<std::pair<mt_ms_t, size_t>> returns;
      for (int ms = 0; ms < 3000; ms++, w.now++) {
        for (size_t k = 0; k < w.all.size(); k++) {
          if (!chance(0.3) || w.acquire(k) != MT_ADMIT_PERMIT) continue;
          mt_ms_t later = w.now + random() % (MT_COLD_PERMIT_MS + 1);
          if (chance(row.uses))
            w.sent.push_back(later);
          else if (chance(row.returned))
            returns.push_back({later, k});
        }
        for (size_t i = returns.size(); i-- > 0;) {
          if (returns[i].first > w.now) continue;
          mt_cold_starts_return(&w.all[returns[i].second], 7);
          returns.erase(returns.begin() + (long)i);
        }
      }
      EXPECT_LE((double)w.max_per_second(), allowed)
          << row.what << " seed " << seed;
      EXPECT_GE(w.sent.size(), row.at_least) << row.what << " seed " << seed;
    }
  }
}

// Requests that came without a permit are deducted from later permits.
TEST(ColdStart, RequestsWithoutPermitAreCharged) {
  Owners w({1});
  w.cold(3000);
  ASSERT_EQ(w.acquire(0), MT_ADMIT_PERMIT);
  for (int i = 0; i < 10; i++) mt_cold_starts_charge(&w.all[0], 7);
  w.now += 500;
  EXPECT_EQ(w.acquire(0), MT_ADMIT_NONE);
  w.now += 1000;
  EXPECT_EQ(w.acquire(0), MT_ADMIT_PERMIT);
}

TEST(ColdStart, OwnerReplies) {
  struct Row {
    const char *what;
    mt_ms_t cold; // duration; 0: never known as cold
    mt_ms_t after;
    double fraction; // of the bucket that the owner may grant
    mt_admission_t answer;
  } rows[] = {
      {"unknown", 0, 100, 1, MT_ADMIT_UNKNOWN},
      {"cold", 3000, 100, 1, MT_ADMIT_PERMIT},
      {"cold, ownership disputed", 3000, 100, 0, MT_ADMIT_NONE},
      {"warm again", 3000, 3000, 1, MT_ADMIT_WARM},
      {"warm again, ownership disputed", 3000, 3001, 0, MT_ADMIT_WARM},
      {"long ago", 3000, 20000, 1, MT_ADMIT_UNKNOWN}};
  for (const Row &row : rows) {
    Owners w({row.fraction});
    if (row.cold > 0) w.cold(row.cold);
    w.now += row.after;
    mt_cold_starts_expire(&w.all[0], w.now);
    EXPECT_EQ(w.acquire(0), row.answer) << row.what;
  }
}

TEST(ColdStart, ColdStateMayChangeAtAnyTime) {
  Owners w({1});
  w.cold(3000);
  EXPECT_TRUE(mt_cold_starts_is_cold(&w.all[0], 7, w.now));
  EXPECT_EQ(mt_cold_starts_count(&w.all[0], w.now), 1u);
  w.now += 1000;
  mt_cold_starts_set(&w.all[0], 7, w.now, w.now); // warm
  EXPECT_FALSE(mt_cold_starts_is_cold(&w.all[0], 7, w.now));
  EXPECT_EQ(mt_cold_starts_count(&w.all[0], w.now), 0u);
  w.cold(500); // cold again
  EXPECT_TRUE(mt_cold_starts_is_cold(&w.all[0], 7, w.now + 499));
  EXPECT_FALSE(mt_cold_starts_is_cold(&w.all[0], 7, w.now + 500));
}

// }==

// {== Requests =============================================================

// Engines m1 to m4 are in domain d1, m5 to m8 in d2; this router is in d1.
struct Fleet : Relay {
  Fleet() : Relay(8) {
    declare();
    relay->routers = 2;
    relay->params.cold = params;
    for (size_t i = 0; i < relay->catalog->services_count; i++) {
      mt_catalog_service_t *s = &relay->catalog->services[i];
      s->cold_rate = s->model ? rate : 0;
      s->cold = 3000;
    }
    for (int i = 1; i <= 8; i++)
      for (const char *kind : {"m", "p"}) {
        mt_engine_t *e = find(kind + std::to_string(i));
        e->domain = strdup(i <= 4 ? "d1" : "d2");
        e->remote = i > 4;
      }
  }
  using Relay::find;
  mt_engine_t *m (int i) {
    return find("m" + std::to_string(i));
  }
  void cold (mt_engine_t *e, mt_ms_t left = 3000) {
    mt_relay_engine_listed(relay, e, left, now);
  }
  // All asked owners reply with these admissions; returns the engine chosen,
  // or 0.
  uint64_t reply_all (uint64_t number, mt_admission_t from_cold,
                      mt_admission_t from_others = MT_ADMIT_UNKNOWN) {
    std::vector<mt_relay_quote_t> quotes;
    std::vector<uint64_t> keys = asked(number);
    if (keys.empty()) return 0;
    for (uint64_t key : keys) {
      mt_relay_quote_t quote{};
      bool cold = mt_cold_starts_is_cold(&relay->cold, key, now);
      quote.engine = key;
      quote.admission = cold ? from_cold : from_others;
      quotes.push_back(quote);
    }
    mt_relay_event_t event{};
    event.kind = MT_RELAY_QUOTED;
    event.request = number;
    event.u.quotes.list = quotes.data();
    event.u.quotes.count = quotes.size();
    step(event);
    const mt_relay_effect_t *fx = find(MT_RELAY_DO_START, number);
    return fx != nullptr ? fx->u.start.engine : 0;
  }
};

TEST(ColdEngines, GetRequestsOnlyWithAPermit) {
  struct Row {
    const char *what;
    bool all_cold;
    mt_admission_t from_cold, from_others;
    bool cold_gets, any_gets;
  } rows[] = {
      {"no permit", false, MT_ADMIT_NONE, MT_ADMIT_UNKNOWN, false, true},
      {"unknown to the owner", false, MT_ADMIT_UNKNOWN, MT_ADMIT_UNKNOWN,
       false, true},
      {"a permit, others get no work", false, MT_ADMIT_PERMIT, MT_ADMIT_NONE,
       true, true},
      {"warm by now", false, MT_ADMIT_WARM, MT_ADMIT_NONE, true, true},
      {"all are cold", true, MT_ADMIT_PERMIT, MT_ADMIT_UNKNOWN, true, true},
      {"all are cold and full", true, MT_ADMIT_NONE, MT_ADMIT_UNKNOWN, false,
       false}};
  for (const Row &row : rows) {
    int to_cold = 0, to_any = 0, refused = 0;
    for (uint64_t number = 1; number <= 40; number++) {
      Fleet w;
      for (int i = 1; i <= 8; i++)
        if (row.all_cold || i == 2) w.cold(w.m(i));
      w.request(number, "/stream/x");
      uint64_t key = w.reply_all(number, row.from_cold, row.from_others);
      // The second round asks the other domain, with the same replies.
      if (key == 0) key = w.reply_all(number, row.from_cold, row.from_others);
      if (key == 0) {
        refused += w.refusal() != MT_RELAY_REFUSAL_COUNT;
        continue;
      }
      to_any++;
      to_cold += row.all_cold || key == w.m(2)->key;
    }
    EXPECT_EQ(to_cold > 0, row.cold_gets) << row.what;
    EXPECT_EQ(to_any > 0, row.any_gets) << row.what;
    EXPECT_EQ(to_any + refused, 40) << row.what; // none is left waiting
  }
}

TEST(ColdEngines, PermitIsUsedOnce) {
  Fleet w;
  for (int i = 1; i <= 8; i++) w.cold(w.m(i));
  w.request(1, "/stream/x");
  std::vector<uint64_t> keys = w.asked(1);
  ASSERT_GE(keys.size(), 2u);
  uint64_t first = w.reply_all(1, MT_ADMIT_PERMIT);
  ASSERT_NE(first, 0u);
  // The other permits are returned at once.
  std::vector<uint64_t> returned;
  for (size_t i = 0; i < w.effects.count; i++)
    if (w.effects.list[i].kind == MT_RELAY_DO_RETURN_PERMIT)
      returned.push_back(w.effects.list[i].u.permit);
  keys.erase(std::find(keys.begin(), keys.end(), first));
  EXPECT_EQ(returned, keys);
  auto *r = (mt_relay_request_t *)mtV_get(&w.relay->requests, 1);
  w.relay->now = w.now;
  EXPECT_FALSE(mt_admission_allows(w.relay, r, r->current.engine));
  EXPECT_TRUE(r->current.has_permit);
  w.sent(1); // its connection fails: there is no permit for a retry
  w.fail(1);
  EXPECT_EQ(w.find(MT_RELAY_DO_START, 1), nullptr);
  EXPECT_NE(w.refusal(), MT_RELAY_REFUSAL_COUNT);
}

// A permit may expire while the request waits for its last quote. A permit
// that arrives after the request was placed is returned.
TEST(ColdEngines, PermitExpires) {
  Fleet w;
  for (int i = 1; i <= 8; i++) w.cold(w.m(i));
  w.pass(25);
  w.request(1, "/stream/x");
  auto *r = (mt_relay_request_t *)mtV_get(&w.relay->requests, 1);
  r->candidates[0].quoted = true;
  r->candidates[0].admission = MT_ADMIT_PERMIT;
  const mt_engine_t *e =
      mt_engines_get(&w.relay->engines, r->candidates[0].engine);
  w.relay->now = r->asked + MT_COLD_PERMIT_MS;
  EXPECT_TRUE(mt_admission_allows(w.relay, r, e));
  w.relay->now = r->asked + MT_COLD_PERMIT_MS + 1;
  EXPECT_FALSE(mt_admission_allows(w.relay, r, e));
  w.request(2, "/stream/x");
  std::vector<uint64_t> keys = w.asked(2);
  w.cold(w.m(5), 0); // warm: needs no permit
  r = (mt_relay_request_t *)mtV_get(&w.relay->requests, 2);
  w.pass(100); // request 1 or 2 is placed without quotes
  w.pass(100);
  ASSERT_NE(r->current.engine, nullptr);
  mt_relay_quote_t quote{};
  quote.engine = keys[0];
  quote.admission = MT_ADMIT_PERMIT;
  mt_relay_event_t event{};
  event.kind = MT_RELAY_QUOTED;
  event.request = 2;
  event.u.quotes.list = &quote;
  event.u.quotes.count = 1;
  w.step(event);
  ASSERT_EQ(w.effects.count, 1u);
  EXPECT_EQ(w.effects.list[0].kind, MT_RELAY_DO_RETURN_PERMIT);
  EXPECT_EQ(w.effects.list[0].u.permit, keys[0]);
}

// Without a quote in time there is no permit.
TEST(ColdEngines, SilentOwnersGrantNoPermits) {
  for (bool alone : {false, true}) {
    Fleet w;
    w.relay->routers = alone ? 1 : 2;
    w.pass(25);
    for (int i = 1; i <= 8; i++) w.cold(w.m(i));
    w.request(1, "/stream/x");
    EXPECT_FALSE(w.asked(1).empty()) << alone;
    w.pass(100);
    EXPECT_EQ(w.find(MT_RELAY_DO_START, 1), nullptr) << alone;
  }
}

TEST(ColdEngines, UnlimitedServiceNeedsNoPermit) {
  Fleet w;
  for (int i = 1; i <= 8; i++) w.cold(w.find("p" + std::to_string(i)));
  w.request(1, "/again/x"); // of a service without a rate for cold engines
  EXPECT_NE(w.reply_all(1, MT_ADMIT_UNKNOWN), 0u);
}

TEST(ColdEngines, AtMostOneBesidesHomesIsAsked) {
  Fleet w;
  for (int i = 2; i <= 4; i++) w.cold(w.m(i));
  for (uint64_t number = 1; number <= 20; number++) {
    w.request(number, "/stream/x");
    int cold = 0;
    auto *r = (mt_relay_request_t *)mtV_get(&w.relay->requests, number);
    for (uint64_t key : w.asked(number))
      cold += mt_cold_starts_is_cold(&w.relay->cold, key, w.now) &&
              key != r->home_local && key != r->home_global;
    EXPECT_LE(cold, 1) << number;
  }
}

TEST(ColdEngines, OwnerAnswersForItsEngines) {
  struct Row {
    const char *what;
    bool cold, draining, evacuated, is_owner;
    mt_admission_t answer;
  } rows[] = {
      {"warm", false, false, false, true, MT_ADMIT_UNKNOWN},
      {"cold", true, false, false, true, MT_ADMIT_PERMIT},
      {"cold, of another owner", true, false, false, false, MT_ADMIT_NONE},
      {"draining", false, true, false, false, MT_ADMIT_NONE},
      {"evacuated", false, false, true, false, MT_ADMIT_NONE}};
  for (const Row &row : rows) {
    Fleet w;
    mt_engine_t *e = w.m(1);
    w.relay->now = w.now;
    if (row.cold) w.cold(e);
    if (row.draining) e->state = MT_ENGINE_DRAINING;
    if (row.evacuated) mt_relay_evacuate(w.relay, "d1", true, w.now);
    EXPECT_EQ(mt_relay_admission(w.relay, e->key, row.is_owner), row.answer)
        << row.what;
  }
  Fleet w;
  EXPECT_EQ(mt_relay_admission(w.relay, 12345, true), MT_ADMIT_UNKNOWN);
}

// }==

// {== Evacuated failure domains ============================================

TEST(Evacuation, ListOfDomains) {
  mt_evacuations_t list{};
  EXPECT_FALSE(mt_evacuations_set(&list, "", true));
  EXPECT_FALSE(mt_evacuations_set(&list, "d1", false));
  EXPECT_TRUE(mt_evacuations_set(&list, "d1", true));
  EXPECT_FALSE(mt_evacuations_set(&list, "d1", true));
  EXPECT_TRUE(mt_evacuations_set(&list, "d2", true));
  EXPECT_TRUE(mt_evacuations_set(&list, "d1", false));
  EXPECT_FALSE(mt_evacuations_has(&list, "d1"));
  EXPECT_TRUE(mt_evacuations_has(&list, "d2"));
  EXPECT_FALSE(mt_evacuations_has(&list, nullptr));
  for (int i = 0; i < 2 * MT_EVACUATIONS_MAX; i++)
    mt_evacuations_set(&list, ("x" + std::to_string(i)).c_str(), true);
  EXPECT_EQ(list.count, (size_t)MT_EVACUATIONS_MAX);
  std::string longest(MT_NAME_MAX + 1, 'x');
  EXPECT_FALSE(mt_evacuations_set(&list, longest.c_str(), true));
}

TEST(Evacuation, WhereRequestsGo) {
  struct Row {
    const char *what;
    std::vector<const char *> evacuated_domains;
    bool local, remote; // engines in these domains get requests
  } rows[] = {{"none", {}, true, true},
              {"the local domain", {"d1"}, false, true},
              {"the remote domain", {"d2"}, true, false},
              {"both", {"d1", "d2"}, false, false},
              {"a domain without engines", {"d9"}, true, true}};
  for (const Row &row : rows) {
    int local = 0, remote = 0, refused = 0;
    for (const char *path : {"/stream/x", "/again/x"})
      for (uint64_t number = 1; number <= 40; number++) {
        Fleet w;
        for (const char *domain : row.evacuated_domains)
          mt_relay_evacuate(w.relay, domain, true, w.now);
        w.request(number, path);
        uint64_t key = w.reply_all(number, MT_ADMIT_UNKNOWN);
        if (key == 0) key = w.reply_all(number, MT_ADMIT_UNKNOWN);
        if (const mt_relay_effect_t *fx = w.find(MT_RELAY_DO_START, number))
          key = fx->u.start.engine;
        refused += w.refusal() == MT_RELAY_NO_ENGINE;
        if (key == 0) continue;
        (mt_engines_get(&w.relay->engines, key)->remote ? remote : local)++;
      }
    EXPECT_EQ(local > 0, row.local) << row.what;
    EXPECT_TRUE(remote == 0 || row.remote) << row.what;
    EXPECT_EQ(local + remote + refused, 80) << row.what;
    EXPECT_EQ(refused > 0, !row.local && !row.remote) << row.what;
  }
}

TEST(Evacuation, RunningStreamsGoOnAndRetriesGoElsewhere) {
  Fleet w;
  w.request(1, "/stream/x");
  uint64_t key = w.reply_all(1, MT_ADMIT_UNKNOWN);
  ASSERT_NE(key, 0u);
  const mt_engine_t *first = mt_engines_get(&w.relay->engines, key);
  ASSERT_TRUE(mt_relay_evacuate(w.relay, first->domain, true, w.now));
  w.sent(1);
  w.head(1, 200, true);
  w.event(1, 0);
  EXPECT_NE(w.find(MT_RELAY_DO_DATA, 1), nullptr);
  w.fail(1);
  const mt_relay_effect_t *fx = w.find(MT_RELAY_DO_START, 1);
  ASSERT_NE(fx, nullptr);
  const mt_engine_t *next =
      mt_engines_get(&w.relay->engines, fx->u.start.engine);
  EXPECT_STRNE(next->domain, first->domain);
}

TEST(Evacuation, EnginesOfAReadmittedDomainAreCold) {
  Fleet w;
  ASSERT_TRUE(mt_relay_evacuate(w.relay, "d1", true, w.now));
  EXPECT_FALSE(mt_relay_evacuate(w.relay, "d1", true, w.now));
  // An engine that is listed meanwhile gets no work either.
  mt_engine_t *late = w.engine("m9", "model", 64);
  late->domain = strdup("d1");
  w.cold(late, 0);
  EXPECT_TRUE(late->evacuated);
  w.now += 8000;
  ASSERT_TRUE(mt_relay_evacuate(w.relay, "d1", false, w.now));
  EXPECT_FALSE(late->evacuated);
  EXPECT_TRUE(mt_cold_starts_is_cold(&w.relay->cold, w.m(1)->key, w.now));
  EXPECT_FALSE(mt_cold_starts_is_cold(&w.relay->cold, w.m(5)->key, w.now));
  EXPECT_FALSE(
      mt_cold_starts_is_cold(&w.relay->cold, w.find("p1")->key, w.now));
  w.cold(w.m(1), 0); // listed as warm
  EXPECT_FALSE(mt_cold_starts_is_cold(&w.relay->cold, w.m(1)->key, w.now));
}

// }==

// {== Owners of engines ====================================================

TEST(Membership, ReachIsTheFractionOfKnownRoutersAlive) {
  struct Row {
    const char *what;
    int known, alive; // other routers
    mt_ms_t since;    // own start, ms ago
    double reach;
  } rows[] = {{"a fleet of one", 0, 0, 5000, 1},
              {"all alive", 9, 9, 5000, 1},
              {"half are unreachable", 9, 4, 5000, 0.5},
              {"some known, none alive", 3, 0, 5000, 0.25},
              {"just started", 9, 9, 1000, 0}};
  for (const Row &row : rows) {
    mt_membership_t m{};
    mt_ms_t now = 100000;
    m.own_ip = 1;
    m.own_domain = 1;
    mt_membership_update(&m, now - row.since);
    for (int i = 0; i < row.known; i++) {
      mt_peer_t *peer = mt_membership_add(&m, (uint32_t)(i + 2));
      peer->domain = 1;
      if (i < row.alive) peer->last_seen = now;
    }
    mt_membership_update(&m, now);
    EXPECT_DOUBLE_EQ(mt_membership_live_fraction(&m), row.reach) << row.what;
    mt_membership_free(&m);
  }
}

// A suspected router is not asked, but may still grant permits for its
// engines; the router that is asked instead must not, or both would.
TEST(Membership, SuspectedRouterKeepsItsEngines) {
  mt_membership_t m{};
  m.own_ip = 1;
  m.own_domain = 1;
  mt_membership_update(&m, 100000);
  mt_peer_t *other = mt_membership_add(&m, 2);
  other->domain = 1;
  other->last_seen = 100000;
  uint64_t engine = 1;
  while (mt_membership_owner(&m, engine, 1) == m.own_ip) engine++;
  other->suspect_until = 100700;
  EXPECT_EQ(mt_membership_owner(&m, engine, 1), m.own_ip);
  EXPECT_FALSE(mt_membership_owns(&m, engine, 1));
  mt_membership_update(&m, 105000); // the suspect is declared dead
  EXPECT_TRUE(mt_membership_owns(&m, engine, 1));
  mt_membership_free(&m);
}

// }==

} // namespace
