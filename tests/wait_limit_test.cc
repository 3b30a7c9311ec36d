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
    mt_wait_case_t request; // limit, objective, fraction, own, nearly idle
    double limit;
  } rows[] = {
      {"a short prompt", {190, 500, 0.6, 100, 19}, 190},
      {"a long prompt", {190, 500, 0.6, 200, 19}, 100},
      {"too long to be in time: nearly idle engines only",
       {190, 500, 0.6, 450, 19},
       19},
      {"a longer objective", {190, 1000, 0.6, 200, 19}, 190},
      {"no such limit", {190, 500, 0, 450, 19}, 190},
      {"no limit at all", {0, 500, 0.6, 450, 0}, 0},
      {"no objective", {190, 0, 0.6, 450, 19}, 190},
  };
  for (const Row &row : rows)
    EXPECT_DOUBLE_EQ(mt_wait_limit_in_time(&row.request), row.limit)
        << row.what;
}

// Guards against long prompts that are admitted although their own prefill
// makes them late: many arrive at engines with work queued, and none that is
// admitted may be expected later than its part of the objective.
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
      latest = std::max(latest, sent->ttft_expected);
      admitted++;
    }
    EXPECT_GT(admitted, 5) << row.what;
    EXPECT_EQ(latest <= 0.6 * 600, row.in_time) << row.what << " " << latest;
  }
}

} // namespace
