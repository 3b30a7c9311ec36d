// rejections_test.cc - how often engines reject, as the whole fleet sees it
#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <string>

#include "relay.h"

extern "C" {
#include "candidates.h"
#include "peer_message.h"
#include "quotes.h"
#include "relay_load.h"
}

namespace {

// Guards against a rate that takes one rejection for many, or that outlasts
// the rejections.
TEST(Rejections, TheRateFollowsRecentAttempts) {
  struct Row {
    const char *what;
    int rejected, accepted; // attempts, 50 ms apart, in this order
    mt_ms_t later;
    double least, most;
  } rows[] = {
      {"none", 0, 0, 0, 0, 0},
      {"a single rejection", 1, 0, 0, 0.2, 0.4},
      {"rejects all", 40, 0, 0, 0.85, 1},
      {"took all for a second since", 40, 20, 0, 0.2, 0.4},
      {"took all for three seconds since", 40, 60, 0, 0, 0.1},
      {"no attempts for ten seconds", 40, 0, 10000, 0, 0.01},
  };
  for (const Row &row : rows) {
    mt_rejections_t r{};
    mt_ms_t now = 1000;
    for (int i = 0; i < row.rejected + row.accepted; i++) {
      mt_rejections_sent(&r, now += 50);
      if (i < row.rejected) mt_rejections_rejected(&r, now);
    }
    double rate = mt_rejections_rate(&r, now + row.later);
    EXPECT_GE(rate, row.least) << row.what;
    EXPECT_LE(rate, row.most) << row.what;
  }
}

// The owner counts the requests that its peers report as sent, and those that
// they report as not run, however few of their load reports arrive.
TEST(Rejections, TheOwnerCountsTheAttemptsOfItsPeers) {
  struct Row {
    const char *what;
    int accepted, rejected, not_sent; // reported by peers, in turn
    double least, most;               // quoted rate
  } rows[] = {
      {"accepted", 30, 0, 0, 0, 0},
      {"half of them rejected", 15, 15, 0, 0.4, 0.5},
      {"two in seven rejected", 25, 10, 0, 0.2, 0.3},
      {"rejected", 0, 30, 0, 0.85, 1},
      {"not sent, which the engine does not know", 0, 0, 30, 0, 0},
  };
  for (const Row &row : rows) {
    Relay r(2);
    r.declare();
    uint64_t engine = r.find("m1")->key;
    mt_prompt_not_run_t prompt = {
        engine, {{7, 500}, {8, 500}}, 2, 1050, false};
    int left[] = {row.accepted, row.rejected, row.not_sent};
    int64_t tokens[5] = {0};
    for (int i = 0; left[0] + left[1] + left[2] > 0; i++) {
      int outcome = i % 3, router = i / 3 % 5;
      if (left[outcome] == 0) continue;
      left[outcome]--;
      mt_load_row_t load{};
      load.router = 100 + (uint64_t)router;
      load.tokens_processed = tokens[router] += prompt.tokens;
      load.valid_until = r.now + 2500;
      mt_relay_update_peer_load(r.relay, engine, &load, prompt.segments, 2);
      prompt.rejected = outcome == 1;
      if (outcome == 0) continue;
      tokens[router] -= prompt.tokens;
      mt_relay_peer_not_run(r.relay, load.router, &prompt);
    }
    mt_relay_quote_t quote =
        mt_relay_quote(r.relay, engine, 100, prompt.segments, 2);
    EXPECT_GE(quote.rejection_rate, row.least) << row.what;
    EXPECT_LE(quote.rejection_rate, row.most) << row.what;
    EXPECT_EQ(quote.cached, row.accepted > 0 ? 1000 : 0) << row.what;
    /* The first report of each router is its baseline. */
    EXPECT_LE(r.find("m1")->cached.clock, row.accepted * prompt.tokens)
        << row.what;
  }
}

// Guards against a router that judges an engine by its own few attempts, and
// so finds out anew what all the others know.
TEST(Rejections, AQuoteKeepsRequestsFromRejectingEngines) {
  struct Row {
    const char *what;
    double quoted; // rejection rate of m1
    bool off;
    mt_ms_t later;      // since the quote
    const char *engine; // that gets the request
  } rows[] = {
      {"m1 takes work", 0, false, 0, "m1"},
      {"m1 rejects", 0.8, false, 0, "m2"},
      {"switched off", 0.8, true, 0, "m1"},
      {"an old quote", 0.8, false, 3000, "m1"},
  };
  for (const Row &row : rows) {
    Relay r(2);
    r.declare();
    r.relay->params.off[MT_RELAY_FLEET_REJECTIONS] = row.off;
    r.pass(25);
    mt_relay_quote_t quotes[2]{};
    quotes[0].engine = r.find("m1")->key;
    quotes[0].rejection_rate = row.quoted;
    quotes[1].engine = r.find("m2")->key;
    mt_relay_request_t asked{};
    mt_quotes_receive(r.relay, &asked, quotes, 2);
    for (mt_ms_t passed = 0; passed < row.later; passed += 100) r.pass(100);
    r.find("m2")->peers.pending_prefill = 2000; // m1 is idle
    r.request(1, "/stream/x");
    const mt_relay_effect_t *fx = r.find(MT_RELAY_DO_START, 1);
    ASSERT_NE(fx, nullptr) << row.what;
    EXPECT_EQ(fx->u.start.engine, r.find(row.engine)->key) << row.what;
  }
}

// Guards against homes that stay at engines which reject nearly everything:
// each request would ask these first. Without rejections, and at engines that
// reject a few, homes stay where they are, with their cached segments.
TEST(Rejections, HomesMoveToEnginesThatTakeWork) {
  struct Row {
    const char *what;
    double rejecting, others;    // rates of m1 to m9, and of m10
    int moved_least, moved_most; // of 200 homes
  } rows[] = {
      {"no rejections", 0, 0, 0, 0},
      {"a few", 0.25, 0, 0, 0},
      {"a few more", 0.27, 0, 0, 20},
      {"some", 0.36, 0, 10, 100},
      {"nine of ten reject", 0.85, 0, 160, 200},
      {"all reject", 0.85, 0.85, 0, 0},
  };
  for (const Row &row : rows) {
    Relay r(10);
    r.declare();
    auto home_of = [&] (uint64_t segment) {
      mt_relay_request_t request{};
      request.service = mtV_id("model", 5);
      request.segments[0] = {segment, 500};
      request.segments[1] = {segment + 1, 500};
      request.segments_count = 2;
      mt_candidates_find_homes(r.relay, &request);
      return request.home_global;
    };
    std::map<uint64_t, uint64_t> before;
    for (uint64_t s = 1; s <= 400; s += 2) before[s] = home_of(s * 977);
    for (int i = 1; i <= 10; i++) {
      mt_engine_t *e = r.find("m" + std::to_string(i));
      e->quoted = r.now;
      e->quoted_rejection_rate = i < 10 ? row.rejecting : row.others;
    }
    int moved = 0;
    for (auto &home : before) {
      uint64_t now = home_of(home.first * 977);
      moved += now != home.second;
      EXPECT_TRUE(now == home.second || now == r.find("m10")->key)
          << row.what;
    }
    EXPECT_GE(moved, row.moved_least) << row.what;
    EXPECT_LE(moved, row.moved_most) << row.what;
  }
}

// An older build neither sends the rate nor reads it, and both understand
// each other otherwise.
TEST(Rejections, QuotesCarryTheRate) {
  struct Row {
    const char *what;
    double rate, slowness;
    double received;
  } rows[] = {
      {"no rejections", 0, 1.5, 0},
      {"a rate alone", 0.5, 0, 0.5},
      {"a rate beside slowness", 0.25, 1.5, 0.25},
      {"absurd", 7, 1.5, 1},
  };
  for (const Row &row : rows) {
    mt_peer_message_t in, out;
    char bytes[MT_PEER_DATAGRAM_MAX];
    mt_peer_message_begin(&in, MT_PEER_QUOTE);
    in.engines[0] = {};
    in.engines[0].key = 99;
    in.engines[0].tokens = 400;
    in.engines[0].speed.slowness = row.slowness;
    in.engines[0].rejection_rate = row.rate;
    in.engines_count = 1;
    size_t n = mt_peer_message_pack(&in, bytes, sizeof bytes);
    ASSERT_GT(n, 0u) << row.what;
    ASSERT_TRUE(mt_peer_message_unpack(&out, bytes, n)) << row.what;
    ASSERT_EQ(out.engines_count, 1u) << row.what;
    EXPECT_EQ(out.engines[0].tokens, 400) << row.what;
    EXPECT_NEAR(out.engines[0].speed.slowness, row.slowness, 1e-9)
        << row.what;
    EXPECT_NEAR(out.engines[0].rejection_rate, row.received, 1e-9)
        << row.what;
  }
}

} // namespace
