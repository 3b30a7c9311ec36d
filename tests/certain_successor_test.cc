// certain_successor_test.cc - what was begun is not given up before another
// engine is certain to go on with it
#include <gtest/gtest.h>

#include "relay.h"

namespace {

// The retry of a stream that has begun, or of a request that has run, waits
// for its connect. Its engine tells meanwhile that it takes no new work, as a
// planned end or a full queue does; it serves on for a while. No other engine
// is left, so to withdraw the retry ends what its caller was promised.
TEST(CertainSuccessor, ARetryIsNotWithdrawnWithoutAnotherEngine) {
  struct Row {
    const char *what, *path;
    bool begun, draining;
  } rows[] = {
      {"a begun stream, drain", "/stream/x", true, true},
      {"a begun stream, backoff", "/stream/x", true, false},
      {"a request that has run, drain", "/again/x", false, true},
      {"a request that has run, backoff", "/again/x", false, false},
  };
  for (const Row &row : rows) {
    Relay r(2);
    r.declare();
    r.request(1, row.path);
    r.sent(1);
    if (row.begun) {
      r.head(1, 200, true);
      r.event(1, 1);
    }
    r.fail(1); // its engine breaks off
    const mt_relay_effect_t *fx = r.find(MT_RELAY_DO_START);
    ASSERT_NE(fx, nullptr) << row.what;
    mt_relay_event_t ev{};
    ev.kind = MT_RELAY_NOTICE;
    ev.u.notice.engine = fx->u.start.engine;
    ev.u.notice.advertises.draining = row.draining;
    ev.u.notice.advertises.backoff = row.draining ? 0 : 50;
    if (row.draining) ev.u.notice.drain.since = r.now;
    r.step(ev);
    EXPECT_EQ(r.find(MT_RELAY_DO_ABORT), nullptr) << row.what;
    EXPECT_EQ(r.refusal(), MT_RELAY_REFUSAL_COUNT) << row.what;
  }
}

} // namespace
