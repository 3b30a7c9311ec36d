// relay_test.cc - the relay's reducer: refusals, retries, streams, shutdown.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "relay.h"

namespace {

TEST(RelayAdmission, RefusesWithTheReason) {
  struct Row {
    const char *path, *key, *host;
    bool declared, config_maybe_stale;
    mt_relay_refusal_t why;
  } rows[] = {
      {"/again/x", "key-w1", "h.example", false, false, MT_RELAY_NO_CATALOG},
      {"/none/x", "key-w1", "h.example", true, false, MT_RELAY_NO_ROUTE},
      {"/again/x", "key-w1", "x.example", true, false, MT_RELAY_NO_ROUTE},
      {"/none/x", "key-w1", "h.example", true, true,
       MT_RELAY_CONFIG_MAYBE_STALE},
      {"/again/x", "wrong", "h.example", true, false, MT_RELAY_BAD_KEY},
      {"/again/x", "", "h.example", true, false, MT_RELAY_BAD_KEY},
      {"/again/x", "wrong", "h.example", true, true,
       MT_RELAY_CONFIG_MAYBE_STALE},
      {"/open/x", "", "h.example", true, false, MT_RELAY_REFUSAL_COUNT},
      {"/again/x", "other-key-w1", "H.EXAMPLE:80", true, false,
       MT_RELAY_REFUSAL_COUNT},
  };
  for (const Row &row : rows) {
    Relay r;
    if (row.declared) r.declare();
    r.relay->config_maybe_stale = row.config_maybe_stale;
    r.request(1, row.path, row.key, 5000, 1000, row.host);
    EXPECT_EQ(r.refusal(), row.why) << row.path << " " << row.key;
    bool started = r.find(MT_RELAY_DO_START) != nullptr;
    EXPECT_EQ(started, row.why == MT_RELAY_REFUSAL_COUNT);
  }
}

TEST(RelayAdmission, LongestPrefixWins) {
  Relay r;
  r.declare();
  struct Row {
    const char *path, *route;
  } rows[] = {{"/again/x", "/again/"},
              {"/again/deep/x", "/again/deep/"},
              {"/again/deeper/x", "/again/"},
              {"/again", nullptr}};
  for (const Row &row : rows) {
    const mt_catalog_route_t *found = mt_catalog_find_route(
        r.relay->catalog, {"h.example", 9}, {row.path, strlen(row.path)});
    EXPECT_STREQ(found ? found->name : nullptr, row.route) << row.path;
  }
}

TEST(RelayAdmission, OlderConfigurationIsIgnored) {
  Relay r;
  EXPECT_TRUE(mt_relay_set_catalog(r.relay, declared(5)));
  EXPECT_FALSE(mt_relay_set_catalog(r.relay, declared(4)));
  EXPECT_FALSE(mt_relay_set_catalog(r.relay, declared(5)));
  EXPECT_TRUE(mt_relay_set_catalog(r.relay, declared(9)));
  EXPECT_EQ(r.relay->catalog->version, 9);
}

// Ways in which an attempt fails.
enum Failure { NOT_SENT, LOST, REJECTED, REPLACED, ERROR };

void fail_with (Relay &r, Failure how) {
  if (how != NOT_SENT) r.sent(1);
  switch (how) {
    case NOT_SENT: r.fail(1, true); break;
    case LOST: r.fail(1); break;
    case REJECTED: r.head(1, 503, false, MT_RELAY_NOT_RUN); break;
    case REPLACED: r.head(1, 421, false, MT_RELAY_REPLACED); break;
    case ERROR: r.head(1, 500); break;
  }
}

TEST(RelayAttempts, RetriesByKindOfFailure) {
  struct Row {
    const char *path;
    Failure how;
    bool again;
    mt_relay_refusal_t why; // if not retried
  } rows[] = {
      {"/once/x", NOT_SENT, true, MT_RELAY_REFUSAL_COUNT},
      {"/once/x", REJECTED, true, MT_RELAY_REFUSAL_COUNT},
      {"/once/x", REPLACED, true, MT_RELAY_REFUSAL_COUNT},
      {"/once/x", LOST, false, MT_RELAY_ENGINE_LOST},
      {"/again/x", NOT_SENT, true, MT_RELAY_REFUSAL_COUNT},
      {"/again/x", LOST, true, MT_RELAY_REFUSAL_COUNT},
      {"/again/x", ERROR, true, MT_RELAY_REFUSAL_COUNT},
      {"/stream/x", LOST, true, MT_RELAY_REFUSAL_COUNT},
      {"/events/x", LOST, false, MT_RELAY_ENGINE_LOST},
      {"/events/x", REJECTED, false, MT_RELAY_REJECTED},
      {"/events/x", NOT_SENT, true, MT_RELAY_REFUSAL_COUNT},
  };
  for (const Row &row : rows) {
    Relay r;
    r.declare();
    r.request(1, row.path);
    uint64_t first = r.find(MT_RELAY_DO_START)->u.start.engine;
    fail_with(r, row.how);
    const mt_relay_effect_t *fx = r.find(MT_RELAY_DO_START);
    EXPECT_EQ(fx != nullptr, row.again) << row.path << row.how;
    if (fx) {
      EXPECT_NE(fx->u.start.engine, first) << row.path << row.how;
    }
    EXPECT_EQ(r.refusal(), row.why) << row.path << row.how;
    EXPECT_TRUE(row.again || r.idle());
  }
}

TEST(RelayAttempts, EngineErrorIsForwardedWithoutRetry) {
  Relay r;
  r.declare();
  r.request(1, "/once/x");
  r.sent(1);
  r.head(1, 500);
  EXPECT_EQ(r.find(MT_RELAY_DO_START), nullptr);
  r.data(1, "failed");
  r.end(1);
  EXPECT_NE(r.find(MT_RELAY_DO_HEAD), nullptr);
  EXPECT_NE(r.find(MT_RELAY_DO_END), nullptr);
}

// Guards against answers of engines that were replaced by a failure of the
// router's own, as the retry that was to follow was not to be had.
TEST(RelayAttempts,
     AnEngineErrorIsForwardedWhereNoOtherEngineTakesTheRequest) {
  enum Lack { NOTHING, BUDGET, ENGINES, ATTEMPTS };
  for (Lack lack : {NOTHING, BUDGET, ENGINES, ATTEMPTS}) {
    Relay r;
    r.declare();
    if (lack == BUDGET) r.relay->params.retry = {0, 10000, 0};
    r.request(1, "/again/x");
    uint64_t first = r.find(MT_RELAY_DO_START)->u.start.engine;
    r.sent(1);
    for (size_t i = 0; lack == ENGINES && i < r.relay->engines.count; i++) {
      mt_engine_t *e = r.relay->engines.list[i];
      if (e->key != first) e->state = MT_ENGINE_DRAINING;
    }
    if (lack == ATTEMPTS) {
      r.fail(1);
      r.sent(1);
    }
    r.head(1, 500);
    EXPECT_EQ(r.find(MT_RELAY_DO_START) != nullptr, lack == NOTHING) << lack;
    EXPECT_EQ(r.refusal(), MT_RELAY_REFUSAL_COUNT) << lack;
    if (lack == NOTHING) continue;
    r.data(1, "failed");
    r.end(1);
    EXPECT_NE(r.find(MT_RELAY_DO_HEAD), nullptr) << lack;
    EXPECT_NE(r.find(MT_RELAY_DO_END), nullptr) << lack;
    EXPECT_TRUE(r.idle()) << lack;
  }
}

TEST(RelayAttempts, EventsOfAnEarlierAttemptAreDropped) {
  Relay r;
  r.declare();
  r.request(1, "/again/x");
  r.sent(1);
  r.fail(1);
  mt_relay_event_t late = r.make_event(MT_RELAY_END, 1, 1);
  r.step(late);
  EXPECT_EQ(r.effects.count, 0u);
  EXPECT_EQ(r.attempt(1), 2);
}

TEST(RelayAttempts, TheBudgetBoundsRetries) {
  Relay r;
  r.declare();
  r.relay->params.retry.slack = 0;
  r.relay->params.retry.ratio = 0;
  r.request(1, "/again/x");
  r.sent(1);
  r.fail(1);
  EXPECT_EQ(r.refusal(), MT_RELAY_ENGINE_LOST);
  EXPECT_EQ(r.relay->counters.retries_denied, 1u);
}

// A response without length or chunks ends when the engine closes the
// connection and may be truncated: it must not be framed for the caller, who
// would take it for complete.
TEST(RelayResponses, UnframedResponseStaysUnframed) {
  struct Row {
    bool framed;
    int64_t length;
  } rows[] = {{true, 4}, {false, MT_RELAY_LENGTH_UNFRAMED}};
  for (const Row &row : rows) {
    Relay r;
    r.declare();
    r.request(1, "/again/x");
    r.sent(1);
    r.head(1, 200, false, MT_RELAY_RAN, row.framed);
    r.data(1, "body");
    r.end(1);
    ASSERT_NE(r.find(MT_RELAY_DO_HEAD), nullptr);
    EXPECT_EQ(r.find(MT_RELAY_DO_HEAD)->u.length, row.length);
  }
}

TEST(RelayStreams, ResumeElsewhereAfterLastWholeEvent) {
  Relay r;
  r.declare();
  r.request(1, "/stream/x");
  r.sent(1);
  r.head(1, 200, true);
  r.event(1, 1);
  EXPECT_NE(r.find(MT_RELAY_DO_HEAD), nullptr);
  r.event(1, 2);
  r.data(1, "id: 3\nda"); // ends within the third event
  EXPECT_EQ(r.find(MT_RELAY_DO_DATA), nullptr);
  r.fail(1);
  ASSERT_NE(r.find(MT_RELAY_DO_START), nullptr);
  EXPECT_EQ(r.find(MT_RELAY_DO_START)->u.start.last_event, 2);
  r.sent(1);
  r.head(1, 200, true);
  r.event(1, 2); // the engine repeats an event
  EXPECT_EQ(r.find(MT_RELAY_DO_DATA), nullptr);
  r.event(1, 3);
  EXPECT_EQ(r.find(MT_RELAY_DO_HEAD), nullptr);
  EXPECT_NE(r.find(MT_RELAY_DO_DATA), nullptr);
  r.end(1);
  EXPECT_NE(r.find(MT_RELAY_DO_END), nullptr);
  EXPECT_TRUE(r.idle());
}

// Guards against forwarding the body of a second engine's error response
// after the events of the first.
TEST(RelayStreams, ErrorResponseDoesNotContinueAStream) {
  Relay r;
  r.declare();
  r.request(1, "/stream/x");
  r.sent(1);
  r.head(1, 200, true);
  r.event(1, 1);
  r.fail(1);
  r.sent(1);
  r.head(1, 500);
  EXPECT_NE(r.find(MT_RELAY_DO_ABORT), nullptr);
  EXPECT_EQ(r.find(MT_RELAY_DO_DATA), nullptr);
  EXPECT_EQ(r.find(MT_RELAY_DO_END), nullptr);
}

TEST(RelayStreams, EndInsideAnEventAborts) {
  Relay r;
  r.declare();
  r.request(1, "/events/x");
  r.sent(1);
  r.head(1, 200, true);
  r.event(1, 1);
  r.data(1, "id: 2\n");
  r.end(1);
  EXPECT_EQ(r.find(MT_RELAY_DO_END), nullptr);
  EXPECT_NE(r.find(MT_RELAY_DO_ABORT), nullptr);
}

TEST(RelayStreams, SilentEngineIsReplaced) {
  Relay r;
  r.declare();
  r.request(1, "/stream/x");
  uint64_t first = r.find(MT_RELAY_DO_START)->u.start.engine;
  r.sent(1);
  r.head(1, 200, true);
  r.event(1, 1);
  r.pass(3000);
  EXPECT_EQ(r.find(MT_RELAY_DO_CANCEL), nullptr);
  ASSERT_NE(r.find(MT_RELAY_DO_START), nullptr);
  EXPECT_NE(r.find(MT_RELAY_DO_START)->u.start.engine, first);
  r.step(r.make_event(MT_RELAY_WRITTEN, 1, 2));
  mt_relay_event_t accepted = r.make_event(MT_RELAY_HEAD, 1, 2);
  accepted.u.head.status = 200;
  accepted.u.head.events = accepted.u.head.framed = true;
  r.step(accepted);
  EXPECT_EQ(r.find(MT_RELAY_DO_CANCEL), nullptr);
  r.pass(3000);
  ASSERT_NE(r.find(MT_RELAY_DO_CANCEL), nullptr);
  EXPECT_EQ(r.find(MT_RELAY_DO_CANCEL)->attempt, 1);
  EXPECT_EQ(r.find(MT_RELAY_DO_START), nullptr);
  EXPECT_EQ(r.attempt(1), 2);
}

TEST(RelayTime, OutcomeAtDeadline) {
  struct Row {
    const char *path;
    bool sent, event;
    mt_relay_refusal_t why; // REFUSAL_COUNT: the response is aborted
  } rows[] = {{"/once/x", false, false, MT_RELAY_TIMEOUT_NOT_RUN},
              {"/once/x", true, false, MT_RELAY_TIMEOUT},
              {"/events/x", true, true, MT_RELAY_REFUSAL_COUNT}};
  for (const Row &row : rows) {
    Relay r;
    r.declare();
    r.request(1, row.path, "key-w1", 300);
    EXPECT_EQ(r.find(MT_RELAY_DO_START)->u.start.deadline_ms, 300u);
    if (row.sent) r.sent(1);
    if (row.event) {
      r.head(1, 200, true);
      r.event(1, 1);
    }
    r.pass(400);
    EXPECT_EQ(r.refusal(), row.why) << row.path;
    EXPECT_EQ(r.find(MT_RELAY_DO_ABORT) != nullptr,
              row.why == MT_RELAY_REFUSAL_COUNT);
    EXPECT_NE(r.find(MT_RELAY_DO_CANCEL), nullptr);
    EXPECT_TRUE(r.idle());
  }
}

// Guards against accepting a stream so long after STOP that it is cut off
// when the process exits.
// Guards against requests that time out while their response lies unread, as
// the deadline passed while the router stood still.
TEST(RelayTime, AResponseThatCameDuringAStallIsForwarded) {
  for (bool responds : {true, false}) {
    Relay r;
    r.declare();
    r.request(1, "/once/x", "key-w1", 300);
    r.sent(1);
    r.pass(25);
    r.now += 1000;
    r.pass(25);
    EXPECT_EQ(r.find(MT_RELAY_DO_REFUSE), nullptr);
    if (responds) {
      r.head(1, 200);
      r.end(1);
      EXPECT_NE(r.find(MT_RELAY_DO_END), nullptr);
      continue;
    }
    r.pass(25);
    EXPECT_EQ(r.refusal(), MT_RELAY_TIMEOUT);
  }
}

TEST(RelayStop, AcceptsOnlyWhatCanFinish) {
  struct Row {
    const char *path;
    mt_ms_t after;
    mt_relay_refusal_t why;
  } rows[] = {{"/stream/x", 0, MT_RELAY_REFUSAL_COUNT},
              {"/stream/x", 1900, MT_RELAY_REFUSAL_COUNT},
              {"/stream/x", 2100, MT_RELAY_STOPPING},
              {"/again/x", 2100, MT_RELAY_REFUSAL_COUNT},
              {"/again/x", 7500, MT_RELAY_STOPPING}};
  for (const Row &row : rows) {
    Relay r;
    r.declare();
    mt_relay_event_t stop{};
    stop.kind = MT_RELAY_STOP;
    stop.u.stop_ms = 8000;
    r.step(stop);
    r.pass(row.after);
    r.request(1, row.path, "key-w1", 1000);
    EXPECT_EQ(r.refusal(), row.why) << row.path << row.after;
  }
}

// Guards against streams that a stopping router takes and then cuts off.
TEST(RelayStop, AcceptsNoStreamThatItMayCutOff) {
  struct Row {
    mt_ms_t after, deadline_ms;
    bool accepted;
  } rows[] = {{0, 3500, false},    {0, 3100, false},   {0, 2900, true},
              {1900, 1200, false}, {1900, 1000, true}, {1900, 3500, false}};
  for (const char *path : {"/stream/x", "/events/x"})
    for (const Row &row : rows) {
      Relay r;
      r.declare();
      mt_relay_event_t stop{};
      stop.kind = MT_RELAY_STOP;
      stop.u.stop_ms = 3000;
      r.step(stop);
      r.pass(row.after);
      r.request(1, path, "key-w1", row.deadline_ms);
      EXPECT_EQ(r.refusal(),
                row.accepted ? MT_RELAY_REFUSAL_COUNT : MT_RELAY_STOPPING)
          << path << " " << row.after << " " << row.deadline_ms;
    }
}

TEST(RelayCallers, DisconnectCancelsTheAttempt) {
  Relay r;
  r.declare();
  r.request(1, "/stream/x");
  r.sent(1);
  r.step(r.make_event(MT_RELAY_CALLER_DISCONNECTED, 1));
  EXPECT_NE(r.find(MT_RELAY_DO_CANCEL), nullptr);
  EXPECT_TRUE(r.idle());
  EXPECT_EQ(r.relay->count, 0u);
}

TEST(RelayPlacement, OnlyReadyEnginesGetWork) {
  for (mt_engine_state_t state : {MT_ENGINE_DRAINING, MT_ENGINE_GONE}) {
    Relay r(2);
    r.declare();
    r.find("p1")->state = state;
    for (uint64_t i = 1; i <= 20; i++) {
      r.request(i, "/again/x");
      ASSERT_NE(r.find(MT_RELAY_DO_START), nullptr);
      EXPECT_EQ(r.find(MT_RELAY_DO_START)->u.start.engine,
                mt_engine_key("p2", 2));
    }
    r.find("p2")->state = state;
    r.request(21, "/again/x");
    EXPECT_EQ(r.refusal(), MT_RELAY_NO_ENGINE);
  }
}

// All engines may be missing from the list while its source has trouble.
TEST(RelayPlacement, UnlistedEngineGetsWorkForGracePeriod) {
  struct Row {
    mt_engine_state_t before;
    mt_ms_t later;
    bool listed_again, used;
  } rows[] = {{MT_ENGINE_READY, 0, false, true},
              {MT_ENGINE_READY, 1000, false, true},
              {MT_ENGINE_READY, 1400, false, false},
              {MT_ENGINE_READY, 1400, true, true},
              {MT_ENGINE_DRAINING, 0, false, false}};
  for (const Row &row : rows) {
    Relay r(1);
    r.declare();
    mt_engine_t *e = r.find("p1");
    e->state = row.before;
    mt_relay_engine_unlisted(r.relay, e, r.now, r.now);
    if (row.listed_again) e->unlisted_since = 0;
    r.pass(row.later);
    r.request(1, "/again/x");
    EXPECT_EQ(r.find(MT_RELAY_DO_START) != nullptr, row.used) << row.later;
  }
}

TEST(RelayPlacement, SharedSegmentSelectsOneEngineOnAllRouters) {
  Relay a, b; // two routers that exchange no messages
  std::set<uint64_t> used;
  a.declare();
  b.declare();
  for (uint64_t i = 1; i <= 10; i++) {
    Relay &r = i % 2 ? a : b;
    r.request(i, "/stream/x", "key-w1", 5000, 400);
    used.insert(r.find(MT_RELAY_DO_START)->u.start.engine);
    r.sent(i);
    r.head(i, 200, true);
    r.event(i, 1);
  }
  EXPECT_EQ(used.size(), 1u);
}

TEST(RelayPlacement, BusyHomeSpillsOverThenRequestsAreRefused) {
  Relay r(2);
  r.declare();
  std::set<uint64_t> used;
  uint64_t i = 1;
  for (; i < 200; i++) {
    r.request(i, "/stream/x", "key-w1", 5000, 4000);
    const mt_relay_effect_t *fx = r.find(MT_RELAY_DO_START);
    if (fx == nullptr) break;
    used.insert(fx->u.start.engine);
  }
  EXPECT_EQ(used.size(), 2u);
  EXPECT_EQ(r.refusal(), MT_RELAY_BUSY);
  EXPECT_GT(r.find(MT_RELAY_DO_REFUSE)->u.refuse.retry_after, 0u);
}

// Guards against a Retry-After so late that the caller, refused for want of
// room, cannot be served within its objective any more, and against one that
// brings all callers back at once.
TEST(RelayPlacement, CallersWithoutRoomReturnWhileTheyCanBeServedInTime) {
  struct Row {
    const char *what, *path;
    mt_ms_t objective;
    double served; // by all, of the workspace, thousands of tokens/s
    mt_relay_refusal_t why;
  } rows[] = {
      {"objective 600 ms", "/stream/x", 600, 0, MT_RELAY_BUSY},
      {"objective 1000 ms", "/events/x", 1000, 0, MT_RELAY_BUSY},
      {"beyond its share", "/stream/x", 600, 900, MT_RELAY_OVER_SHARE},
  };
  for (const Row &row : rows) {
    Relay r(2);
    r.declare();
    r.relay->catalog->limits.tokens_per_s = 500000;
    if (row.served > 0) {
      mt_fair_share_get(&r.relay->shares, mtV_id("w1", 2))->peers = {
          2000000, row.served * 1000};
      mt_fair_share_get(&r.relay->shares, mtV_id("w2", 2))->peers = {2000000,
                                                                     100000};
      r.pass(200);
    }
    for (size_t i = 0; i < r.relay->engines.count; i++)
      r.relay->engines.list[i]->peers.pending_prefill = 1000000;
    // The wait limit and a first token need three quarters of the objective.
    mt_ms_t time_left = row.objective / 4;
    mt_ms_t shortest = 100000, longest = 0;
    for (uint64_t i = 1; i <= 100; i++) {
      r.request(i, row.path);
      ASSERT_EQ(r.refusal(), row.why) << row.what;
      mt_ms_t after = r.find(MT_RELAY_DO_REFUSE, i)->u.refuse.retry_after;
      shortest = std::min(shortest, after);
      longest = std::max(longest, after);
    }
    EXPECT_LE(longest, time_left) << row.what;
    EXPECT_GE(shortest, 50u) << row.what;
    EXPECT_GE(longest - shortest, 50u) << row.what;
  }
}

TEST(PrefixCache, SegmentsAgeByTokensRead) {
  mt_prefix_cache_t cache{};
  mt_prefix_segment_t chain[] = {{1, 100}, {2, 200}, {3, 300}};
  mt_prefix_cache_use(&cache, chain, 3, 1000);
  EXPECT_EQ(mt_prefix_cache_match(&cache, chain, 3, 1000), 600);
  EXPECT_EQ(mt_prefix_cache_match(&cache, chain + 1, 2, 1000), 500);
  cache.clock += 900;
  mt_prefix_cache_use(&cache, chain, 2, 1000); // segment 3: 900 tokens ago
  cache.clock += 200;
  EXPECT_EQ(mt_prefix_cache_match(&cache, chain, 3, 1000), 300);
  cache.clock += 900;
  EXPECT_EQ(mt_prefix_cache_match(&cache, chain, 3, 1000), 0);
  mt_prefix_cache_free(&cache);
}

TEST(FairShare, LevelIsMaxMin) {
  struct Row {
    std::vector<int64_t> asked, served;
    double declared; // capacity in tokens per second; 0: not declared
    double level;    // 0: all demand is met
  } rows[] = {
      {{100, 200, 300}, {100, 200, 300}, 0, 0},
      {{1000, 1000}, {500, 100}, 0, 300},
      {{100, 1000, 1000}, {100, 300, 200}, 0, 250},
      {{10, 20, 900}, {10, 20, 300}, 0, 300},
      // Refusals must not lower the level on which refusals depend.
      {{1000, 1000}, {500, 100}, 1500, 750},
      {{100, 1000, 1000}, {100, 300, 200}, 1000, 450},
      {{1000, 1000}, {500, 100}, 3000, 0},  // capacity for all demand
      {{1000, 1000}, {900, 800}, 500, 850}, // more served than declared
  };
  for (const Row &row : rows) {
    mt_fair_share_t s{};
    mt_fair_share_update(&s, row.declared, 1, 1000);
    for (size_t i = 0; i < row.asked.size(); i++) {
      mt_fair_share_record_demand(&s, (mt_id_t)i + 1, row.asked[i]);
      mt_fair_share_record_served(&s, (mt_id_t)i + 1, row.served[i]);
    }
    mt_fair_share_update(&s, row.declared, 1, 1000);
    EXPECT_NEAR(s.level, row.level, 0.5);
    mt_fair_share_free(&s);
  }
}

TEST(FairShare, OverShareWorkspaceMayWaitLess) {
  Relay r(1);
  r.declare();
  mt_share_t *over = mt_fair_share_get(&r.relay->shares, mtV_id("w1", 2));
  mt_share_t *under = mt_fair_share_get(&r.relay->shares, mtV_id("w2", 2));
  over->peers = {100000, 50000};
  under->peers = {100000, 5000};
  r.pass(200);
  int taken[2] = {0, 0};
  const char *keys[] = {"key-w1", "key-w2"};
  for (uint64_t i = 1; i <= 40; i++) {
    r.request(i, "/stream/x", keys[i % 2], 5000, 2000);
    taken[i % 2] += r.find(MT_RELAY_DO_START) != nullptr;
  }
  EXPECT_GT(taken[1], taken[0]);
}

// Guards against giving the room at idle engines to the workspace that sends
// most often.
TEST(FairShare, UnderServedWorkspaceGetsMoreRoom) {
  struct Row {
    const char *key;
    double served;
    bool taken;
  } rows[] = {
      {"key-w1", 3.0, false}, {"key-w1", 1.2, true}, {"key-w1", 0.5, true}};
  for (const Row &row : rows) {
    Relay r(1);
    r.declare();
    mt_share_t *one = mt_fair_share_get(&r.relay->shares, mtV_id("w1", 2));
    mt_share_t *other = mt_fair_share_get(&r.relay->shares, mtV_id("w2", 2));
    one->peers = {1e6, row.served * 1e4};
    other->peers = {1e6, (2 - row.served) * 1e4 + 1};
    r.pass(200);
    r.relay->shares.level = 1e4;
    r.find("m1")->peers.pending_prefill =
        (int64_t)(15 * mt_relay_prefill_rate(r.relay, mtV_id("model", 5)));
    r.request(1, "/stream/x", row.key);
    EXPECT_EQ(r.find(MT_RELAY_DO_START) != nullptr, row.taken) << row.served;
  }
}

TEST(RetryBudget, HoldsOverEveryWindow) {
  mt_retry_params_t params = {0.2, 10000, 40};
  mt_retry_budget_t budget{};
  std::vector<mt_ms_t> taken;
  mt_ms_t now = 50000;
  for (int i = 0; i < 4000; i++, now += 10) {
    mt_retry_budget_request(&budget, &params, now);
    if (mt_retry_budget_take(&budget, &params, 4, now)) taken.push_back(now);
  }
  for (size_t i = 0; i < taken.size(); i++) {
    auto last =
        std::upper_bound(taken.begin(), taken.end(), taken[i] + 10000);
    EXPECT_LE(last - taken.begin() - (long)i, 1000 * 0.2 + 40 / 4);
  }
  EXPECT_GT(taken.size(), 200u);
}

TEST(EventStream, SplitsInputOfAnyChunkSize) {
  const std::string text =
      "id: 1\ndata: a\n\nx-weights: 2\nid:22\r\ndata: b\r\n\r\ndata: c\n\n";
  for (size_t step = 1; step <= text.size(); step++) {
    mt_event_stream_t s{};
    mt_stream_event_t e;
    std::vector<int64_t> ids;
    std::string out;
    for (size_t at = 0; at < text.size(); at += step) {
      size_t n = std::min(step, text.size() - at);
      ASSERT_TRUE(mt_event_stream_feed(&s, text.data() + at, n));
      while (mt_event_stream_next(&s, &e)) {
        ids.push_back(e.id);
        out.append(e.text.p, e.text.n);
      }
    }
    EXPECT_EQ(ids, (std::vector<int64_t>{1, 22, -1})) << step;
    EXPECT_EQ(out, text);
    EXPECT_FALSE(mt_event_stream_partial(&s));
    mt_event_stream_free(&s);
  }
}

// In any order of events each request gets one final effect, a request that
// may run only once is not sent again after bytes of it were written, and all
// loads return to 0.
TEST(RelayProperties, HoldUnderAnyOrderOfEvents) {
  const char *paths[] = {"/once/x", "/again/x", "/stream/x", "/events/x"};
  for (unsigned seed = 1; seed <= 300; seed++) {
    std::mt19937 random(seed);
    Relay r;
    r.declare();
    std::map<uint64_t, int> finals;
    std::map<uint64_t, bool> once, written;
    std::set<uint64_t> open;
    uint64_t next = 0;
    auto check_effects = [&] {
      for (size_t i = 0; i < r.effects.count; i++) {
        const mt_relay_effect_t &fx = r.effects.list[i];
        EXPECT_EQ(finals[fx.request], 0) << "seed " << seed;
        if (fx.kind == MT_RELAY_DO_REFUSE || fx.kind == MT_RELAY_DO_END ||
            fx.kind == MT_RELAY_DO_ABORT) {
          finals[fx.request]++;
          open.erase(fx.request);
        }
        bool ran = once[fx.request] && written[fx.request];
        if (fx.kind == MT_RELAY_DO_REFUSE) {
          EXPECT_FALSE(ran && mt_relay_refusal_status(fx.u.refuse.why) == 503)
              << "seed " << seed;
        }
        if (fx.kind == MT_RELAY_DO_START) {
          EXPECT_FALSE(once[fx.request] && written[fx.request])
              << "seed " << seed;
          mt_engine_t *e =
              mt_engines_get(&r.relay->engines, fx.u.start.engine);
          ASSERT_NE(e, nullptr);
          EXPECT_EQ(e->state, MT_ENGINE_READY);
        }
      }
    };
    for (int i = 0; i < 400; i++) {
      r.now += random() % 40;
      r.effects.count = 0; // already checked
      int what = (int)(random() % 12);
      if (open.size() < 8 && what < 4) {
        int path = (int)(random() % 4);
        uint64_t number = ++next;
        once[number] = path == 0 || path == 3;
        open.insert(number);
        r.request(number, paths[path], random() % 2 ? "key-w1" : "key-w2",
                  200 + (int64_t)(random() % 3000),
                  200 + (int64_t)(random() % 3000));
        check_effects();
        continue;
      }
      if (what == 11) {
        r.pass(random() % 200);
        check_effects();
        continue;
      }
      if (what == 10) {
        mt_engine_t *e =
            r.relay->engines.list[random() % r.relay->engines.count];
        e->state = random() % 3 ? MT_ENGINE_READY : MT_ENGINE_DRAINING;
        continue;
      }
      if (open.empty()) continue;
      auto it = open.begin();
      std::advance(it, (long)(random() % open.size()));
      uint64_t number = *it;
      auto *q = (mt_relay_request_t *)mtV_get(&r.relay->requests, number);
      if (q == nullptr) continue;
      bool not_run = false;
      switch (what) {
        case 4:
          if (!q->current.written) {
            r.sent(number);
            written[number] = true;
          }
          break;
        case 5:
          if (q->current.status == 0)
            r.head(number, 200, q->kind == MT_ROUTE_STREAM);
          break;
        case 6:
          if (q->current.status != 0) r.event(number, (int)q->last_event + 1);
          break;
        case 7:
          if (q->current.status != 0) r.end(number);
          break;
        case 8:
          if (q->current.written && q->current.status == 0) {
            not_run = random() % 2;
            if (not_run) written[number] = false;
            r.head(number, not_run ? 503 : 500, false,
                   not_run ? MT_RELAY_NOT_RUN : MT_RELAY_RAN);
          }
          break;
        case 9:
          if (random() % 4 == 0) {
            r.step(r.make_event(MT_RELAY_CALLER_DISCONNECTED, number));
            open.erase(number);
          } else {
            r.fail(number, !q->current.written);
          }
          break;
        default: continue;
      }
      check_effects();
    }
    while (r.relay->count > 0) {
      r.effects.count = 0;
      r.pass(7000);
      check_effects();
    }
    EXPECT_TRUE(r.idle()) << "seed " << seed;
  }
}

} // namespace
