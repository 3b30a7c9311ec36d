// rejection_test.cc - requests that an engine rejects without running them
#include <gtest/gtest.h>

#include <string>

#include "relay.h"

namespace {

// How an attempt ends before its answer.
enum class End { REJECTED, NOT_SENT, LOST };

class Rejecting : public Relay {
public:
  explicit Rejecting(int engines) : Relay(engines) {
    declare();
  }
  using Relay::find;
  // The engine of the attempt that was started in the last step, or nullptr.
  mt_engine_t *started (uint64_t number) const {
    const mt_relay_effect_t *fx = Relay::find(MT_RELAY_DO_START, number);
    if (fx == nullptr) return nullptr;
    return mt_engines_get(&relay->engines, fx->u.start.engine);
  }
  void finish (uint64_t number, End end) {
    if (end != End::NOT_SENT) sent(number);
    switch (end) {
      case End::REJECTED: head(number, 503, false, MT_RELAY_NOT_RUN); break;
      case End::NOT_SENT: fail(number, true); break;
      case End::LOST: fail(number); break;
    }
  }
};

// Retries passed over the wait limit, so that a few engines that still took
// work had queues of seconds, where nobody was served in time.
TEST(Rejection, ARetryNeedsRoomLikeAFirstAttempt) {
  struct Row {
    const char *what;
    const char *path;
    End end;
    int64_t queued; // tokens at the other engine
    bool retried;
  } rows[] = {
      {"rejected, room elsewhere", "/stream/x", End::REJECTED, 0, true},
      {"rejected, a queue elsewhere", "/stream/x", End::REJECTED, 100000,
       false},
      {"not sent, room elsewhere", "/stream/x", End::NOT_SENT, 0, true},
      {"not sent, a queue elsewhere", "/stream/x", End::NOT_SENT, 100000,
       false},
      {"work already done is not given up", "/stream/x", End::LOST, 100000,
       true},
      {"a service that has no prompts", "/again/x", End::REJECTED, 0, true},
  };
  for (const Row &row : rows) {
    Rejecting r(2);
    r.ask(1, row.path);
    mt_engine_t *first = r.started(1);
    ASSERT_NE(first, nullptr) << row.what;
    for (size_t i = 0; i < r.relay->engines.count; i++)
      if (r.relay->engines.list[i] != first)
        r.relay->engines.list[i]->peers.unread = row.queued;
    r.finish(1, row.end);
    EXPECT_EQ(r.started(1) != nullptr, row.retried) << row.what;
    EXPECT_EQ(r.refusal() == MT_RELAY_REFUSAL_COUNT, row.retried) << row.what;
  }
}

} // namespace
