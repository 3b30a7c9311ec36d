// further_round_test.cc - quotes that a request asks for after its connect
// failed
#include <gtest/gtest.h>

#include <functional>

#include "three_domains.h"

namespace {

// Four more local engines than are asked in the first round.
struct Cut : ThreeDomains {
  Cut() {
    for (int i = 13; i <= 16; i++)
      place(engine("m" + std::to_string(i), "model", 64), 1);
  }
  // Request 1 is sent to a remote engine, since the local ones are full; then
  // all engines are full by what this router knows.
  uint64_t send (int64_t deadline = 5000) {
    request(1, "/stream/x", "key-w1", deadline);
    reply(1, full, full);
    reply(1, full, 10);
    for (size_t i = 0; i < relay->engines.count; i++)
      relay->engines.list[i]->peers.pending_prefill = full;
    return started(1);
  }
  double served () {
    return mt_fair_share_get(&relay->shares, mtV_id("w1", 2))->local.served;
  }
  mt_retry_params_t &budget () {
    return relay->params.retry;
  }
  // No quotes come: ticks until the request is sent or refused.
  void expire () {
    for (int i = 0; i < 4 && started(1) == 0; i++) {
      if (refusal() != MT_RELAY_REFUSAL_COUNT) return;
      mt_relay_event_t tick{};
      tick.kind = MT_RELAY_TICK;
      now += 25;
      step(tick);
    }
  }
};

// Guards against requests that are refused because connects to a failure
// domain fail, while engines that they did not ask about have room.
TEST(FurtherRound, FailedConnectAsksForQuotesAgain) {
  struct Row {
    const char *what;
    std::function<void(Cut &)> before; // the connect fails
    bool asks;
    int64_t local, remote; // load in the further quotes; -1: none come
    bool sent;
  } rows[] = {
      {"room in the local domain", [] (Cut &) {}, true, 10, full, true},
      {"room in a remote domain", [] (Cut &) {}, true, full, 10, true},
      {"no room", [] (Cut &) {}, true, full, full, false},
      {"no quotes", [] (Cut &) {}, true, -1, -1, false},
      {"no other router", [] (Cut &w) { w.relay->routers = 1; }, false, 0, 0,
       false},
      {"quotes are off",
       [] (Cut &w) { w.relay->params.off[MT_RELAY_QUOTES] = true; }, false, 0,
       0, false},
      {"remote domains are off",
       [] (Cut &w) { w.relay->params.off[MT_RELAY_REMOTE_ROUND] = true; },
       true, 10, full, true},
      {"little time is left", [] (Cut &w) { w.now += 4990; }, false, 0, 0,
       false},
      {"a quoted engine has room",
       [] (Cut &w) {
         for (int i : {1, 2, 3, 4}) w.m(i)->peers.pending_prefill = 10;
       },
       false, 0, 0, true},
      {"the budget is spent, but nothing was sent",
       [] (Cut &w) {
         w.budget() = {0, 10000, 0};
       },
       true, 10, full, true},
  };
  for (const Row &row : rows) {
    Cut w;
    uint64_t first = w.send();
    ASSERT_NE(first, 0u) << row.what;
    row.before(w);
    w.fail(1, true);
    std::vector<uint64_t> asked = w.asked(1);
    ASSERT_EQ(!asked.empty(), row.asks) << row.what;
    for (uint64_t key : asked) EXPECT_NE(key, first) << row.what;
    if (row.asks && row.local >= 0) w.reply(1, row.local, row.remote);
    if (row.asks && row.local < 0) w.expire();
    EXPECT_EQ(w.started(1) != 0, row.sent) << row.what;
    EXPECT_EQ(w.refusal(),
              row.sent ? MT_RELAY_REFUSAL_COUNT : MT_RELAY_UNREACHABLE)
        << row.what;
    EXPECT_EQ(w.relay->counters.retries[MT_RELAY_RETRY_CONNECT], row.sent)
        << row.what;
  }
}

// Only a request that was never sent may wait for quotes: others keep their
// outcome and their limits.
TEST(FurtherRound, OtherFailuresAskNobody) {
  struct Row {
    const char *what;
    std::function<void(Cut &)> ends; // the first attempt
    mt_relay_refusal_t why;          // or MT_RELAY_REFUSAL_COUNT: none
  } rows[] = {
      {"rejected",
       [] (Cut &w) {
         w.sent(1);
         w.head(1, 503, false, MT_RELAY_NOT_RUN);
       },
       MT_RELAY_REJECTED},
      {"lost after it was sent",
       [] (Cut &w) {
         w.sent(1);
         w.fail(1);
       },
       MT_RELAY_REFUSAL_COUNT},
  };
  for (const Row &row : rows) {
    Cut w;
    ASSERT_NE(w.send(), 0u) << row.what;
    row.ends(w);
    EXPECT_TRUE(w.asked(1).empty()) << row.what;
    EXPECT_EQ(w.refusal(), row.why) << row.what;
  }
}

// Guards against retries beyond the budget: after a rejection the attempt
// that follows the further round is a retry.
TEST(FurtherRound, RetryBudgetApplies) {
  for (bool allowed : {true, false}) {
    Cut w;
    ASSERT_NE(w.send(), 0u);
    for (int i : {1, 2, 3, 4}) w.m(i)->peers.pending_prefill = 10;
    w.sent(1);
    w.head(1, 503, false, MT_RELAY_NOT_RUN);
    ASSERT_NE(w.started(1), 0u);
    for (int i : {1, 2, 3, 4}) w.m(i)->peers.pending_prefill = full;
    if (!allowed) w.budget() = {0, 10000, 0};
    w.fail(1, true);
    ASSERT_FALSE(w.asked(1).empty());
    w.reply(1, 10, 10);
    EXPECT_EQ(w.started(1) != 0, allowed);
    EXPECT_EQ(w.relay->counters.retries_denied, !allowed);
  }
}

// Guards against a request that goes on for as long as engines can be found,
// each at the cost of a connect time-out.
TEST(FurtherRound, AttemptsAreBounded) {
  Cut w;
  int starts = w.send() != 0;
  for (int i = 0; i < 20 && w.refusal() == MT_RELAY_REFUSAL_COUNT; i++) {
    w.now += 180;
    w.fail(1, true);
    if (!w.asked(1).empty()) w.reply(1, 10, 10);
    starts += w.started(1) != 0;
  }
  EXPECT_EQ(w.refusal(), MT_RELAY_UNREACHABLE);
  EXPECT_GT(starts, 2);
  EXPECT_LE(starts, MT_RELAY_TRIES_MAX);
  EXPECT_TRUE(w.idle());
  EXPECT_EQ(w.served(), 0);
}

// A request that ends while it waits for the further quotes has cost its
// workspace nothing, and no engine keeps its load.
TEST(FurtherRound, WaitingRequestIsNotCharged) {
  for (bool disconnects : {true, false}) {
    Cut w;
    ASSERT_NE(w.send(300), 0u);
    EXPECT_GT(w.served(), 0);
    w.fail(1, true);
    ASSERT_FALSE(w.asked(1).empty());
    EXPECT_EQ(w.served(), 0);
    if (disconnects) {
      w.step(w.make_event(MT_RELAY_CALLER_DISCONNECTED, 1));
    } else {
      w.now += 400;
      w.expire();
      EXPECT_EQ(w.refusal(), MT_RELAY_TIMEOUT_NOT_RUN);
    }
    EXPECT_EQ(w.served(), 0);
    EXPECT_TRUE(w.idle());
    EXPECT_EQ(w.relay->count, 0u);
  }
}

// Guards against a permit that outlives its validity: a quote of the first
// round that arrives during a further one does not count as fresh.
TEST(FurtherRound, LatePermitOfAnEarlierRoundIsNotUsed) {
  Cut w;
  ASSERT_NE(w.send(), 0u);
  auto *r = (mt_relay_request_t *)mtV_get(&w.relay->requests, 1);
  mt_engine_t *cold =
      mt_engines_get(&w.relay->engines, r->candidates[0].engine);
  w.now += 180;
  w.fail(1, true);
  ASSERT_FALSE(w.asked(1).empty());
  cold->peers.pending_prefill = 0;
  r->candidates[0].admission = MT_ADMIT_PERMIT;
  w.reply(1, full, full);
  EXPECT_EQ(w.started(1), 0u);
}

} // namespace
