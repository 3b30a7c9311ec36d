// full_router_test.cc - what a router that is short of processor time refuses
#include <gtest/gtest.h>

#include "relay.h"

extern "C" {
#include "overload.h"
}

namespace {

// Rates of a workspace at the other routers, tokens/s.
void rates_of_peers (Relay &w, const char *workspace, double demand,
                     double served) {
  mt_share_t *share =
      mt_fair_share_get(&w.relay->shares, mtV_id(workspace, 2));
  share->peers = {demand, served};
}

// A workspace whose callers all come to one router would else not be short of
// anything while that router refuses it: others get its share.
TEST(FullRouter, WhatItRefusesIsDemand) {
  struct Row {
    const char *name;
    bool overloaded;
    size_t max_running;
    double elsewhere; // of w1, tokens/s, asked for and served
  } rows[] = {{"refuses streams", true, 8192, 80000},
              {"too many in progress", false, 0, 0}};
  for (const Row &row : rows) {
    Relay w;
    w.declare();
    w.relay->catalog->limits.tokens_per_s = 100000;
    rates_of_peers(w, "w2", 150000, 90000 - row.elsewhere);
    rates_of_peers(w, "w1", row.elsewhere, row.elsewhere);
    mt_fair_share_update(&w.relay->shares, 100000, 1,
                         w.now); // rates as of now
    w.relay->overloaded = row.overloaded;
    w.relay->params.max_running = row.max_running;
    for (uint64_t i = 1; i <= 100; i++) {
      w.request(i, "/stream/x", "key-w1");
      EXPECT_NE(w.refusal(), MT_RELAY_REFUSAL_COUNT) << row.name;
    }
    mt_fair_share_update(&w.relay->shares, 100000, 1, w.now);
    mt_share_t *w1 = mt_fair_share_get(&w.relay->shares, mtV_id("w1", 2));
    EXPECT_GT(w1->local.demand, 50000) << row.name;
    // Both ask for more than half: the level is half for each of them.
    EXPECT_NEAR(w.relay->shares.level, 50000, 1) << row.name;
  }
}

// Guards against a workspace that sends more than a router has time for
// taking the time of the others that come in there: all were refused alike,
// and one that came in at few routers got nearly nothing.
TEST(FullRouter, ShedsTheWorkspaceThatSendsMost) {
  struct Row {
    const char *name;
    int w1, w2; // requests that have come
    bool overloaded;
    double limit; // of demand, as a multiple of the mean
    bool refuses_w1, refuses_w2;
  } rows[] = {{"has time", 100, 5, false, 0, false, false},
              {"w1 sends most", 100, 5, true, 0.9, true, false},
              {"w1 sends most, much lag", 100, 5, true, 0.25, true, false},
              {"both send the same", 50, 50, true, 0.9, true, true},
              {"one alone", 100, 0, true, 0.9, true, false},
              {"no limit given", 100, 5, true, 0, true, true}};
  for (const Row &row : rows) {
    Relay w;
    w.declare();
    uint64_t number = 0;
    w.pass(25);
    for (int i = 0; i < row.w1; i++)
      w.request(++number, "/stream/x", "key-w1");
    for (int i = 0; i < row.w2; i++)
      w.request(++number, "/stream/x", "key-w2");
    w.now += 100;
    mt_fair_share_update(&w.relay->shares, 0, 1, w.now);
    w.relay->overloaded = row.overloaded;
    w.relay->demand_limit = row.limit;
    auto is_full = [&] (const char *key) {
      w.request(++number, "/stream/x", key);
      return w.refusal() == MT_RELAY_FULL;
    };
    EXPECT_EQ(is_full("key-w1"), row.refuses_w1) << row.name;
    EXPECT_EQ(is_full("key-w2"), row.refuses_w2) << row.name;
  }
}

// The more a loop lags, the more of the load is refused.
TEST(FullRouter, TheLimitOfDemandFallsWithTheLag) {
  struct Row {
    const char *name;
    mt_ms_t elapsed; // between ticks that are due each 25 ms
    bool severe;
    double least, most; // limit
  } rows[] = {{"on time", 25, false, 0, 0},
              {"somewhat late", 105, false, 0, 0},
              {"late", 225, true, 0.45, 0.6},
              {"very late", 5000, true, 0.2, 0.3}};
  for (const Row &row : rows) {
    mt_overload_t overload{};
    for (int i = 0; i < 100; i++)
      mt_overload_update(&overload, row.elapsed, 25);
    EXPECT_EQ(overload.severe, row.severe) << row.name;
    EXPECT_GE(overload.demand_limit, row.least) << row.name;
    EXPECT_LE(overload.demand_limit, row.most) << row.name;
  }
}

} // namespace
