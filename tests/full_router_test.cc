// full_router_test.cc - what a router that is short of processor time refuses
#include <gtest/gtest.h>

#include "relay.h"

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
    mt_fair_share_update(&w.relay->shares, 100000, w.now); // rates as of now
    w.relay->overloaded = row.overloaded;
    w.relay->params.max_running = row.max_running;
    for (uint64_t i = 1; i <= 100; i++) {
      w.request(i, "/stream/x", "key-w1");
      EXPECT_NE(w.refusal(), MT_RELAY_REFUSAL_COUNT) << row.name;
    }
    mt_fair_share_update(&w.relay->shares, 100000, w.now);
    mt_share_t *w1 = mt_fair_share_get(&w.relay->shares, mtV_id("w1", 2));
    EXPECT_GT(w1->local.demand, 50000) << row.name;
    // Both ask for more than half: the level is half for each of them.
    EXPECT_NEAR(w.relay->shares.level, 50000, 1) << row.name;
  }
}

} // namespace
