// prefill_time_test.cc - the model of the time that engines take to prefill
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "relay.h"

namespace {

struct Sample {
  double tokens, ms;
};

mt_prefill_model_t fit_samples (const std::vector<Sample> &samples,
                                double declared, int times) {
  mt_prefill_time_t t{};
  for (int i = 0; i < times; i++)
    for (const Sample &s : samples) mt_prefill_time_add(&t, s.tokens, s.ms);
  return mt_prefill_time_fit(&t, declared);
}

TEST(PrefillTime, FitsFixedCostAndRate) {
  struct Row {
    const char *what;
    std::vector<Sample> samples;
    double fixed, rate, within; // within: relative tolerance of both
  } rows[] = {
      {"fixed 50 ms, 100 tokens per ms",
       {{500, 55}, {2000, 70}, {8000, 130}, {20000, 250}},
       50,
       100,
       0.15},
      {"fixed 0 ms, 40 tokens per ms",
       {{400, 10}, {4000, 100}, {12000, 300}},
       0,
       40,
       0.1},
      {"long prompts only: a less exact fit",
       {{10000, 150}, {30000, 350}},
       50,
       100,
       0.3},
  };
  for (const Row &row : rows) {
    mt_prefill_model_t model = fit_samples(row.samples, 50, 60);
    EXPECT_NEAR(model.fixed_ms, row.fixed,
                row.within * std::max(row.fixed, 20.0))
        << row.what;
    EXPECT_NEAR(1 / model.ms_per_token, row.rate, row.within * row.rate)
        << row.what;
  }
}

TEST(PrefillTime, FitIsBoundedForAnyInput) {
  struct Row {
    const char *what;
    std::vector<Sample> samples;
    double tokens, ms, within; // predicted `ms` for `tokens`
  } rows[] = {
      {"no samples: the configured rate", {}, 5000, 100, 1},
      {"prompts of one length: exact for it", {{4000, 90}}, 4000, 90, 5},
      {"longer prompts took less time: never negative",
       {{100, 300}, {9000, 20}},
       5000,
       100,
       250},
      {"samples of 0 ms", {{1000, 0}, {9000, 0}}, 5000, 0, 20},
  };
  for (const Row &row : rows) {
    mt_prefill_model_t model = fit_samples(row.samples, 50, 100);
    EXPECT_GE(model.fixed_ms, 0) << row.what;
    EXPECT_GT(model.ms_per_token, 0) << row.what;
    EXPECT_NEAR(model.fixed_ms + row.tokens * model.ms_per_token, row.ms,
                row.within)
        << row.what;
  }
}

TEST(PrefillTime, FollowsChangingEngines) {
  mt_prefill_time_t t{};
  for (int i = 0; i < 500; i++)
    mt_prefill_time_add(&t, 1000 + i % 9 * 1000, 50 + (1 + i % 9) * 10);
  for (int i = 0; i < 500; i++)
    mt_prefill_time_add(&t, 1000 + i % 9 * 1000, 50 + (1 + i % 9) * 40);
  mt_prefill_model_t model = mt_prefill_time_fit(&t, 50);
  EXPECT_NEAR(model.ms_per_token, 0.04, 0.004);
  EXPECT_NEAR(model.fixed_ms, 50, 10);
}

// An engine that adds a fixed 50 ms to every prompt: if that counted as a
// slow rate, the router would overestimate waits and refuse requests
// needlessly.
TEST(PrefillTime, FixedCostIsNotCountedAsSlowPrefill) {
  Relay r(1);
  r.declare();
  for (uint64_t i = 1; i <= 300; i++) {
    int64_t tokens = 500 + (int64_t)(i % 10) * 1000;
    r.request(i, "/stream/x", i % 2 ? "key-w1" : "key-w2", 5000, tokens);
    ASSERT_NE(r.find(MT_RELAY_DO_START), nullptr) << i;
    auto *request = (mt_relay_request_t *)mtV_get(&r.relay->requests, i);
    r.sent(i);
    r.now += 50 + (mt_ms_t)request->current.work_ahead / 100;
    r.head(i, 200, true);
    r.event(i, 1);
    r.end(i);
    r.pass(25);
  }
  EXPECT_NEAR(mt_relay_prefill_rate(r.relay, mtV_id("model", 5)), 100, 20);
}

} // namespace
