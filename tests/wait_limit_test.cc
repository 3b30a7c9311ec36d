// wait_limit_test.cc - waits that leave time for the request's own prefill
#include <gtest/gtest.h>

#include "relay.h"

extern "C" {
#include "wait_limit.h"
}

namespace {

TEST(WaitLimit, LeavesTimeForTheOwnPrefill) {
  struct Row {
    const char *what;
    mt_wait_case_t request; // limit, objective, fraction, own
    double limit;
  } rows[] = {
      {"a short prompt", {180, 500, 0.6, 100}, 180},
      {"a long prompt", {180, 500, 0.6, 200}, 100},
      {"too long to be in time", {180, 500, 0.6, 450}, 60},
      {"a longer objective", {180, 1000, 0.6, 200}, 180},
      {"no such limit", {180, 500, 0, 450}, 180},
      {"no limit at all", {0, 500, 0.6, 450}, 0},
      {"no objective", {180, 0, 0.6, 450}, 180},
  };
  for (const Row &row : rows)
    EXPECT_DOUBLE_EQ(mt_wait_limit_in_time(&row.request), row.limit)
        << row.what;
}

// Guards against long prompts that are admitted although their own prefill
// makes them late: many arrive at engines with work queued. One that is
// admitted is expected within its part of the objective, or has waited no
// longer than a third of the limit.
TEST(WaitLimit, AdmittedPromptsAreExpectedInTime) {
  struct Row {
    const char *what;
    double ttft_fraction;
    bool in_time; // all that are admitted
  } rows[] = {{"by the own prefill", 0.6, true},
              {"by the wait alone", 0, false}};
  for (const Row &row : rows) {
    Relay r(2);
    r.declare();
    r.relay->params.ttft_fraction = row.ttft_fraction;
    double latest = 0;
    int admitted = 0;
    for (uint64_t i = 1; i <= 200; i++) {
      int64_t tokens = 500 + 97 * (int64_t)(i * 23 % 50); // 25 to 263 ms
      r.request(i, "/stream/x", "key-w1", 1, tokens);
      if (r.find(MT_RELAY_DO_START) == nullptr) continue;
      const mt_relay_request_t *sent =
          (const mt_relay_request_t *)mtV_get(&r.relay->requests, i);
      double longest_wait = 600 * r.relay->params.wait_fraction / 3;
      if (sent->current.wait_expected > longest_wait)
        latest = std::max(latest, sent->current.ttft_expected);
      admitted++;
    }
    EXPECT_GT(admitted, 5) << row.what;
    EXPECT_EQ(latest <= 0.6 * 600, row.in_time) << row.what << " " << latest;
  }
}

} // namespace
