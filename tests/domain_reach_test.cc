// domain_reach_test.cc - failure domains that connects cannot reach
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "three_domains.h"

extern "C" {
#include "candidates.h"
#include "connects.h"
#include "gateway_log.h"
}

namespace {

const mt_ms_t CONNECT_TIMEOUT_MS = 180;

// Outcomes of connects to engines of one domain, and what they change.
TEST(DomainReach, FollowsOutcomesOfConnects) {
  struct Event {
    mt_ms_t at;
    uint64_t engine;
    mt_connect_outcome_t outcome;
    mt_domain_change_t change;
  };
  const auto MADE = MT_CONNECT_MADE, REFUSED = MT_CONNECT_REFUSED,
             TIMED_OUT = MT_CONNECT_TIMED_OUT;
  const auto SAME = MT_DOMAIN_UNCHANGED, LOST = MT_DOMAIN_LOST,
             REGAINED = MT_DOMAIN_REGAINED;
  struct Row {
    const char *what;
    std::vector<Event> events;
  } rows[] = {
      {"two engines", {{5, 1, TIMED_OUT, SAME}, {9, 2, TIMED_OUT, LOST}}},
      {"one engine again and again",
       {{5, 1, TIMED_OUT, SAME},
        {9, 1, TIMED_OUT, SAME},
        {500, 1, TIMED_OUT, SAME}}},
      {"two engines, a second apart",
       {{5, 1, TIMED_OUT, SAME}, {1005, 2, TIMED_OUT, LOST}}},
      {"two engines, longer apart",
       {{5, 1, TIMED_OUT, SAME},
        {1006, 2, TIMED_OUT, SAME},
        {1100, 1, TIMED_OUT, LOST}}},
      {"the first one timed out again",
       {{5, 1, TIMED_OUT, SAME},
        {900, 1, TIMED_OUT, SAME},
        {1500, 2, TIMED_OUT, LOST}}},
      {"a success in between",
       {{5, 1, TIMED_OUT, SAME},
        {6, 3, MADE, SAME},
        {9, 2, TIMED_OUT, SAME}}},
      {"a refusal in between",
       {{5, 1, TIMED_OUT, SAME},
        {6, 3, REFUSED, SAME},
        {9, 2, TIMED_OUT, SAME}}},
      {"two engines refuse", {{5, 1, REFUSED, SAME}, {9, 2, REFUSED, SAME}}},
      {"a success ends it",
       {{5, 1, TIMED_OUT, SAME},
        {9, 2, TIMED_OUT, LOST},
        {10, 3, TIMED_OUT, SAME},
        {99, 1, MADE, REGAINED},
        {100, 1, MADE, SAME}}},
      {"a refusal ends it",
       {{5, 1, TIMED_OUT, SAME},
        {9, 2, TIMED_OUT, LOST},
        {99, 3, REFUSED, REGAINED}}},
      {"it is lost again",
       {{5, 1, TIMED_OUT, SAME},
        {9, 2, TIMED_OUT, LOST},
        {99, 1, MADE, REGAINED},
        {100, 1, TIMED_OUT, SAME},
        {101, 2, TIMED_OUT, LOST}}},
  };
  for (const Row &row : rows) {
    mt_domain_reaches_t reaches{};
    bool lost = false;
    for (const Event &e : row.events) {
      EXPECT_EQ(
          mt_domain_reach_record(&reaches, 7, e.engine, e.outcome, e.at),
          e.change)
          << row.what << " at " << e.at;
      if (e.change != SAME) lost = e.change == LOST;
      EXPECT_EQ(mt_domain_reach_is_unreachable(&reaches, 7), lost)
          << row.what << " at " << e.at;
      EXPECT_FALSE(mt_domain_reach_is_unreachable(&reaches, 8)) << row.what;
      EXPECT_EQ(reaches.unreachable, (size_t)lost) << row.what;
    }
  }
}

// Guards against a table that grows without bound.
TEST(DomainReach, TableIsBounded) {
  mt_domain_reaches_t reaches{};
  for (mt_id_t d = 1; d <= 2 * MT_DOMAIN_REACH_MAX; d++)
    for (uint64_t engine : {1, 2})
      mt_domain_reach_record(&reaches, d, engine, MT_CONNECT_TIMED_OUT, 5);
  EXPECT_EQ(reaches.count, (size_t)MT_DOMAIN_REACH_MAX);
  EXPECT_EQ(reaches.unreachable, (size_t)MT_DOMAIN_REACH_MAX);
  EXPECT_FALSE(
      mt_domain_reach_is_unreachable(&reaches, MT_DOMAIN_REACH_MAX + 1));
}

// Carries out the relay's effects: connects to engines of the domains in
// `cut`, or to the ones in `down`, time out; all others are made at once. An
// engine answers as soon as it is connected to. Owners quote the given loads.
struct Network : ThreeDomains {
  struct Connect {
    uint64_t request, engine; // request 0: a probe
    int attempt;
    mt_ms_t due;
    bool up;
  };
  std::set<mt_id_t> cut;
  std::set<uint64_t> down;
  std::vector<Connect> connects;
  std::vector<std::pair<mt_ms_t, uint64_t>> probes; // time, engine
  std::set<uint64_t> timed_out;                     // engines
  int timeouts = 0, answers = 0, remote_answers = 0, refusals = 0;
  int64_t local_load = full, remote_load = 10;
  uint64_t last_request = 0;

  static mt_id_t domain (int i) {
    std::string name = "d" + std::to_string(i);
    return mtV_id(name.data(), name.size());
  }
  void connect (uint64_t number, uint64_t key) {
    bool up = cut.count(domain_of(key)) == 0 && down.count(key) == 0;
    connects.push_back({number, key, attempt(number),
                        now + (up ? 0 : CONNECT_TIMEOUT_MS), up});
  }
  void quote (uint64_t number) {
    auto *r = (mt_relay_request_t *)mtV_get(&relay->requests, number);
    std::vector<mt_relay_quote_t> quotes;
    for (size_t i = r->round_first; i < r->candidates_count; i++) {
      mt_relay_quote_t quote{};
      quote.engine = r->candidates[i].engine;
      bool remote = mt_engines_get(&relay->engines, quote.engine)->remote;
      quote.peers.pending_prefill = remote ? remote_load : local_load;
      quotes.push_back(quote);
    }
    mt_relay_event_t event{};
    event.kind = MT_RELAY_QUOTED;
    event.request = number;
    event.u.quotes.list = quotes.data();
    event.u.quotes.count = quotes.size();
    act(event);
  }
  void act (const mt_relay_event_t &event) {
    step(event);
    std::vector<mt_relay_effect_t> list(effects.list,
                                        effects.list + effects.count);
    for (const mt_relay_effect_t &fx : list) {
      switch (fx.kind) {
        case MT_RELAY_DO_GET_QUOTES: quote(fx.request); break;
        case MT_RELAY_DO_START: connect(fx.request, fx.u.start.engine); break;
        case MT_RELAY_DO_PROBE:
          probes.push_back({now, fx.u.probe});
          connect(0, fx.u.probe);
          break;
        case MT_RELAY_DO_CANCEL:
          connects.erase(std::remove_if(connects.begin(), connects.end(),
                                        [&] (const Connect &c) {
                                          return c.request == fx.request &&
                                                 c.attempt <= fx.attempt;
                                        }),
                         connects.end());
          break;
        case MT_RELAY_DO_REFUSE: refusals++; break;
        default: break;
      }
    }
  }
  void finish (const Connect &c) {
    if (c.request == 0) {
      mt_relay_event_t event{};
      event.kind = MT_RELAY_PROBED;
      event.u.probed.engine = c.engine;
      event.u.probed.up = c.up;
      act(event);
      return;
    }
    if (!c.up) {
      timeouts++;
      timed_out.insert(c.engine);
      mt_relay_event_t event =
          make_event(MT_RELAY_FAILED, c.request, c.attempt);
      event.u.failed.not_sent = true;
      act(event);
      return;
    }
    mt_relay_event_t written =
        make_event(MT_RELAY_WRITTEN, c.request, c.attempt);
    written.u.connected = true;
    act(written);
    head(c.request, 200, true);
    event(c.request, 0);
    end(c.request);
    answers++;
    remote_answers += mt_engines_get(&relay->engines, c.engine)->remote;
  }
  void run (mt_ms_t ms) {
    for (mt_ms_t last = now + ms; now < last;) {
      now += 5;
      mt_relay_event_t tick{};
      tick.kind = MT_RELAY_TICK;
      act(tick);
      std::vector<Connect> due, rest;
      for (const Connect &c : connects)
        (c.due <= now ? due : rest).push_back(c);
      connects = rest;
      for (const Connect &c : due) finish(c);
    }
  }
  // A request whose shared segment no other has: each has other homes.
  void ask () {
    mt_relay_incoming_t incoming{};
    uint64_t number = ++last_request;
    std::string id = "r" + std::to_string(number), host = "h.example",
                path = "/stream/x", key = "key-w1";
    incoming.id = {id.data(), id.size()};
    incoming.host = {host.data(), host.size()};
    incoming.path = {path.data(), path.size()};
    incoming.key = {key.data(), key.size()};
    incoming.deadline_ms = 5000;
    incoming.last_event = -1;
    incoming.tokens_in = 1000;
    incoming.segments[0] = {number * 2 + 100, 500};
    incoming.segments[1] = {number * 2 + 101, 500};
    incoming.segments_count = 2;
    mt_relay_event_t event{};
    event.kind = MT_RELAY_REQUEST;
    event.request = number;
    event.u.incoming = &incoming;
    act(event);
  }
  // A request every 40 ms.
  void load (mt_ms_t ms) {
    for (mt_ms_t t = 0; t < ms; t += 40) {
      ask();
      run(40);
    }
  }
  bool unreachable (int i) {
    return mt_domain_reach_is_unreachable(&relay->reaches, domain(i));
  }
  // Engines of remote domains that a new request could use.
  int usable () {
    mt_relay_request_t r{};
    r.service = mtV_id("model", 5);
    int count = 0;
    for (int i = 5; i <= 12; i++)
      count += mt_candidates_usable(relay, &r, m(i));
    return count;
  }
};

// The load: the router's domain is cut off for four seconds while its own
// engines are full. Guards against each remote engine costing requests a
// connect time-out.
TEST(DomainReach, CutCostsAFewTimeouts) {
  for (bool off : {true, false}) {
    Network w;
    w.relay->params.off[MT_RELAY_DOMAIN_REACH] = off;
    w.load(1000);
    EXPECT_EQ(w.timeouts, 0);
    EXPECT_GT(w.remote_answers, 20);
    w.cut = {Network::domain(2), Network::domain(3)};
    w.load(4000);
    if (off) {
      EXPECT_EQ(w.timed_out.size(), 8u);
      EXPECT_GE(w.timeouts, 8);
    } else {
      EXPECT_LE(w.timed_out.size(), 5u);
      EXPECT_LE(w.timeouts, 5);
    }
    EXPECT_EQ(w.relay->counters.domain_cuts, off ? 0u : 2u);
    EXPECT_EQ(w.relay->reaches.unreachable, off ? 0u : 2u);
    w.cut.clear();
    w.load(500);
    int before = w.remote_answers;
    EXPECT_EQ(w.usable(), 8);
    EXPECT_EQ(w.relay->reaches.unreachable, 0u);
    w.load(200);
    EXPECT_EQ(w.remote_answers - before, 5);
    RecordProperty(off ? "timeouts_without" : "timeouts_with", w.timeouts);
  }
}

// When the local engines have room again requests are served there at once.
TEST(DomainReach, RequestsOfACutAreServedAtHome) {
  Network w;
  w.cut = {Network::domain(2), Network::domain(3)};
  w.load(1000);
  w.local_load = 10;
  int refusals = w.refusals, timeouts = w.timeouts, answers = w.answers;
  w.load(1000);
  EXPECT_EQ(w.refusals, refusals);
  EXPECT_EQ(w.timeouts, timeouts);
  EXPECT_EQ(w.answers - answers, 25);
}

TEST(DomainReach, OnlyTheCutDomainIsAvoided) {
  Network w;
  w.cut = {Network::domain(2)};
  w.load(1000);
  EXPECT_TRUE(w.unreachable(2));
  EXPECT_FALSE(w.unreachable(3));
  int timeouts = w.timeouts, answers = w.remote_answers;
  w.load(1000);
  EXPECT_EQ(w.timeouts, timeouts);
  EXPECT_EQ(w.remote_answers - answers, 25);
}

// Guards against a domain that is given up for one engine, or, since their
// probes go on timing out, for two that are down.
TEST(DomainReach, EnginesThatAreDownDoNotMarkTheirDomain) {
  Network one;
  one.down = {one.m(6)->key};
  one.load(4000);
  EXPECT_EQ(one.timeouts, 1);
  EXPECT_EQ(one.relay->counters.domain_cuts, 0u);
  EXPECT_EQ(one.usable(), 7);
  Network two;
  two.down = {two.m(6)->key, two.m(7)->key};
  two.load(4000);
  EXPECT_LE(two.timeouts, 3);
  EXPECT_LE(two.relay->counters.domain_cuts, 1u);
  EXPECT_EQ(two.usable(), 6);
}

// Probes of an unreachable domain go to one engine at a time; its engines get
// no others, and each of them is tried in turn.
TEST(DomainReach, OneEngineIsProbedAtATime) {
  Network w;
  w.cut = {Network::domain(2)};
  w.load(1000);
  ASSERT_TRUE(w.unreachable(2));
  w.probes.clear();
  w.run(4000);
  std::set<uint64_t> engines;
  for (size_t i = 0; i < w.probes.size(); i++) {
    EXPECT_EQ(w.domain_of(w.probes[i].second), Network::domain(2));
    engines.insert(w.probes[i].second);
    if (i > 0) {
      EXPECT_EQ(w.probes[i].first - w.probes[i - 1].first, 250u);
    }
  }
  EXPECT_EQ(w.probes.size(), 16u);
  EXPECT_EQ(engines.size(), 5u); // of both services
  // Those that timed out only for probes are usable with the first success.
  w.cut.clear();
  for (int i = 0; i < 100 && w.unreachable(2); i++) w.run(5);
  EXPECT_FALSE(w.unreachable(2));
  EXPECT_LE(w.timed_out.size(), 3u);
  EXPECT_GE(w.usable(), 8 - (int)w.timed_out.size());
}

// A success between two time-outs shows that the domain is reachable; that a
// request is written to a connection that was open before does not.
TEST(DomainReach, OnlyNewConnectionsCount) {
  for (bool connected : {true, false}) {
    Network w;
    w.local_load = full;
    w.ask();
    ASSERT_EQ(w.connects.size(), 1u);
    mt_engine_t *e = mt_engines_get(&w.relay->engines, w.connects[0].engine);
    std::vector<mt_engine_t *> others;
    for (int i = 5; i <= 12; i++)
      if (w.m(i) != e && w.m(i)->domain_id == e->domain_id)
        others.push_back(w.m(i));
    mt_connects_failed(w.relay, others[0], false);
    mt_relay_event_t written = w.make_event(MT_RELAY_WRITTEN, 1);
    written.u.connected = connected;
    w.step(written);
    mt_connects_failed(w.relay, others[1], false);
    EXPECT_EQ(w.relay->counters.domain_cuts, connected ? 0u : 1u);
  }
}

// Guards against two engines that are down marking their domain by connects
// that were begun before they were marked themselves.
TEST(DomainReach, RepeatedTimeoutsOfAnEngineAreNoNews) {
  Network w;
  mt_connects_failed(w.relay, w.m(5), false);
  mt_connects_made(w.relay, w.m(6));
  mt_connects_failed(w.relay, w.m(7), false);
  mt_connects_failed(w.relay, w.m(5), false);
  EXPECT_EQ(w.relay->counters.domain_cuts, 0u);
}

// Guards against a domain that stays marked because of engines in it that
// are down: any engine that is reached shows that the domain is reachable.
TEST(DomainReach, AnyEngineEndsTheCut) {
  for (int up = 5; up <= 8; up++) {
    Network w;
    w.cut = {Network::domain(2)};
    w.load(1000);
    ASSERT_TRUE(w.unreachable(2));
    w.cut.clear();
    for (int i = 5; i <= 8; i++)
      if (i != up) w.down.insert(w.m(i)->key);
    w.run(4 * 250 + CONNECT_TIMEOUT_MS);
    EXPECT_FALSE(w.unreachable(2)) << up;
    EXPECT_EQ(w.relay->counters.domain_cuts, 1u);
  }
}

// A cut of one direction: owners' quotes and responses on open connections
// still arrive, but connects time out.
TEST(DomainReach, OneWayCutIsFound) {
  Network w;
  w.local_load = 10;
  w.ask();
  w.connects.clear(); // a stream at a remote engine goes on
  auto *r = (mt_relay_request_t *)mtV_get(&w.relay->requests, 1);
  w.relay->engines.list[0]->local.running--;
  r->current.engine = w.m(5);
  r->current.engine->local.running++;
  w.sent(1);
  w.head(1, 200, true);
  w.local_load = full;
  w.cut = {Network::domain(2), Network::domain(3)};
  for (int i = 0; i < 50; i++) {
    w.ask();
    w.run(20);
    w.event(1, i);
  }
  EXPECT_EQ(w.relay->reaches.unreachable, 2u);
  EXPECT_EQ(w.relay->counters.domain_cuts, 2u);
}

// Serve what can be served: without any other engine those of unreachable
// domains are tried.
TEST(DomainReach, MarksAreIgnoredWhenNoOtherEngineIsLeft) {
  Network w;
  w.cut = {Network::domain(2), Network::domain(3)};
  w.load(1000);
  ASSERT_EQ(w.relay->reaches.unreachable, 2u);
  for (int i = 1; i <= 4; i++) w.m(i)->state = MT_ENGINE_GONE;
  int refusals = w.refusals;
  w.ask();
  EXPECT_EQ(w.refusals, refusals);
  size_t connecting = 0;
  for (const Network::Connect &c : w.connects)
    connecting += c.request == w.last_request;
  ASSERT_EQ(connecting, 1u);
  // One of the domains is reachable again: the request is served there.
  w.cut.clear();
  w.run(CONNECT_TIMEOUT_MS + 25);
  EXPECT_EQ(w.remote_answers, 1);
}

// The same holds for a request that may run only as a trial.
TEST(DomainReach, TrialsIgnoreMarksWhenNoOtherEngineIsLeft) {
  Network w;
  w.run(5);
  for (int i = 1; i <= 12; i++)
    if (w.m(i)->domain_id != Network::domain(2))
      w.m(i)->state = MT_ENGINE_GONE;
  for (int i : {5, 7}) mt_connects_failed(w.relay, w.m(i), false);
  ASSERT_TRUE(w.unreachable(2));
  uint64_t digest = mtV_mix(99, mtV_id("w1", 2)) | 1;
  for (uint64_t engine : {1001, 1002}) {
    const mt_suspect_end_t end = {engine, w.now - 3000 + engine, false, 0, 0};
    mt_suspects_add_end(&w.relay->suspects, digest, &end, false, w.now);
  }
  w.request(1, "/stream/x", "key-w1", 5000, 1000, "h.example", 99);
  const mt_relay_effect_t *fx = w.find(MT_RELAY_DO_SEND_TO_OWNER);
  ASSERT_NE(fx, nullptr);
  for (auto kind :
       {MT_SUSPECT_MESSAGE_LEASE, MT_SUSPECT_MESSAGE_LEASE_ENGINE}) {
    ASSERT_NE(fx, nullptr);
    mt_suspect_message_t message = fx->u.message;
    ASSERT_EQ(message.kind, kind);
    mt_relay_event_t event{};
    event.kind = MT_RELAY_TRIAL_ANSWERED;
    event.request = 1;
    event.u.tried.message = &message;
    event.u.tried.verdict = MT_TRIAL_GRANTED;
    w.step(event);
    fx = w.find(MT_RELAY_DO_SEND_TO_OWNER);
  }
  EXPECT_EQ(w.refusal(), MT_RELAY_REFUSAL_COUNT);
  EXPECT_NE(w.started(1), 0u);
}

// A request with the shared segments in the KV cache of an engine that cannot
// be reached does not wait for a transfer from there.
TEST(DomainReach, NoKvCacheIsFetchedFromACutDomain) {
  const mt_prefix_segment_t segment = {7, 4000};
  for (bool unreachable : {false, true}) {
    Network w;
    w.relay->routers = 1;
    mt_prefix_cache_use(&w.m(6)->cached, &segment, 1, 100000);
    w.m(6)->local.pending_prefill = full;
    if (unreachable)
      for (int i : {5, 7}) mt_connects_failed(w.relay, w.m(i), false);
    EXPECT_EQ(w.unreachable(2), unreachable);
    w.request(1, "/stream/x", "key-w1", 5000, 8000);
    ASSERT_NE(w.find(MT_RELAY_DO_START), nullptr);
    EXPECT_EQ(w.find(MT_RELAY_DO_START)->u.start.source,
              unreachable ? 0 : w.m(6)->key);
  }
}

// Requests that are lost in a cut say nothing about the engine: it is not
// suspended when the domain is reachable again.
TEST(DomainReach, FailuresInACutAreNotTheEngines) {
  for (bool unreachable : {false, true}) {
    Network w;
    if (unreachable)
      for (int i : {5, 7}) mt_connects_failed(w.relay, w.m(i), false);
    for (int i = 0; i < 3; i++) mt_connects_engine_failed(w.relay, w.m(6));
    EXPECT_EQ(w.m(6)->failures, unreachable ? 0 : 3);
  }
}

// Requests that are still connecting when the domain is found unreachable do
// not wait for their own time-outs.
TEST(DomainReach, ConnectsInProgressAreWithdrawn) {
  Network w;
  w.cut = {Network::domain(2)};
  w.down.insert(w.m(9)->key); // of the other domain, on its own
  for (int i = 0; i < 16; i++) {
    w.ask();
    w.run(10);
  }
  size_t to_cut = 0;
  for (const Network::Connect &c : w.connects)
    to_cut += w.domain_of(c.engine) == Network::domain(2);
  ASSERT_GT(to_cut, 5u);
  for (int i = 0; i < 40 && !w.unreachable(2); i++) w.run(5);
  ASSERT_TRUE(w.unreachable(2));
  for (const Network::Connect &c : w.connects)
    EXPECT_TRUE(c.request == 0 || w.domain_of(c.engine) != w.domain(2));
}

// Guards against connects that are given up with nothing to put in their
// place.
TEST(DomainReach, ConnectsStayWhenNoOtherEngineIsLeft) {
  Network w;
  w.cut = {Network::domain(2)};
  for (int i = 1; i <= 12; i++)
    if (w.m(i)->domain_id != Network::domain(2))
      w.m(i)->state = MT_ENGINE_GONE;
  for (int i = 0; i < 16; i++) {
    w.ask();
    w.run(10);
  }
  int connecting = 16 - w.refusals; // the others found no room
  ASSERT_GT(connecting, 5);
  for (int i = 0; i < 40 && !w.unreachable(2); i++) w.run(5);
  ASSERT_TRUE(w.unreachable(2));
  int first_attempts = 0;
  for (const Network::Connect &c : w.connects)
    first_attempts += c.request != 0 && c.attempt == 1;
  EXPECT_EQ(first_attempts + w.timeouts, connecting);
}

// Without probes the next requests test the domain after a while.
TEST(DomainReach, MarksEndWithoutProbes) {
  Network w;
  w.relay->params.off[MT_RELAY_PROBE] = true;
  w.run(5);
  for (int i : {5, 7}) mt_connects_failed(w.relay, w.m(i), false);
  w.run(950);
  EXPECT_TRUE(w.unreachable(2));
  w.run(100);
  EXPECT_FALSE(w.unreachable(2));
  EXPECT_EQ(w.usable(), 8);
  EXPECT_TRUE(w.probes.empty());
}

} // namespace
