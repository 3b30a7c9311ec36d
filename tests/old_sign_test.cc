// old_sign_test.cc - what an engine showed before it got a hedge says nothing
// of whether it still works
#include "relay.h"
#include <gtest/gtest.h>

namespace {

// Two engines. Streams of the first fall silent, and their hedges go to the
// second; one stream runs at the second from the begin.
struct TwoEngines : Relay {
  TwoEngines() : Relay(2) {
    declare();
  }
  const mt_relay_request_t *get (uint64_t number) {
    return (const mt_relay_request_t *)mtV_get(&relay->requests, number);
  }
  void begin (uint64_t number) {
    request(number, "/stream/x", "key-w1", 20000);
    sent(number);
    head(number, 200, true);
    event(number, 1);
  }
  // Begins streams 1 to `first` at one engine, and a further one at the other
  // if `both`. Returns their numbers.
  std::vector<uint64_t> begin_at (uint64_t first, bool both) {
    std::vector<uint64_t> numbers;
    for (uint64_t n = 1; n <= first; n++) {
      begin(n);
      numbers.push_back(n);
      EXPECT_EQ(get(n)->current.engine, get(1)->current.engine);
    }
    if (!both) return numbers;
    mt_engine_t *e = get(1)->current.engine;
    e->state = MT_ENGINE_DRAINING;
    begin(first + 1);
    e->state = MT_ENGINE_READY;
    EXPECT_NE(get(first + 1)->current.engine, e);
    numbers.push_back(first + 1);
    return numbers;
  }
  bool has_hedge (uint64_t number) {
    return get(number) != nullptr && get(number)->hedge.engine != nullptr;
  }
  // Ticks until the request has a hedge. Keeps `talking` from being silent.
  void wait_for_hedge (uint64_t number, uint64_t talking = 0) {
    for (int i = 0, id = 2; i < 200 && !has_hedge(number); i++) {
      if (talking != 0 && i % 4 == 0) event(talking, id++);
      pass(25);
    }
    ASSERT_TRUE(has_hedge(number));
  }
  void hedge_written (uint64_t number) {
    step(make_event(MT_RELAY_WRITTEN, number, get(number)->hedge.number));
  }
  void hedge_head (uint64_t number) {
    mt_relay_event_t ev =
        make_event(MT_RELAY_HEAD, number, get(number)->hedge.number);
    ev.u.head.status = 200;
    ev.u.head.events = ev.u.head.framed = true;
    step(ev);
  }
  void tick (int times) {
    for (int i = 0; i < times; i++) pass(25);
  }
};

// A hedge becomes the current attempt long after its head came; that moment
// is no sign of its engine. Here the engine sends the head of the hedge of
// one stream and then nothing any more; the hedge of the other stream is
// written behind that.
TEST(OldSign, AHedgeThatIsKeptIsNoProgressOfItsEngine) {
  enum How { KEPT, TOOK_OVER };
  for (How how : {KEPT, TOOK_OVER}) {
    TwoEngines r;
    std::vector<uint64_t> n = r.begin_at(2, false);
    int current = r.attempt(n[1]);
    mt_engine_t *first = r.get(n[0])->current.engine;
    // The first stream falls silent before the second.
    r.tick(4);
    r.event(n[1], 2);
    r.wait_for_hedge(n[0]);
    r.hedge_written(n[0]);
    r.hedge_head(n[0]); // the last byte of its engine
    mt_ms_t last_byte = r.now;
    r.wait_for_hedge(n[1]);
    r.tick(1);
    r.hedge_written(n[1]);
    EXPECT_GT(r.now, last_byte);
    if (how == TOOK_OVER) {
      r.tick(1);
      mt_relay_event_t ev = r.make_event(MT_RELAY_FAILED, n[0]);
      r.step(ev);
    }
    for (int i = 0; i < 20 && r.has_hedge(n[1]); i++) r.pass(25);
    ASSERT_FALSE(r.has_hedge(n[1]));
    ASSERT_NE(r.get(n[0]), nullptr);
    EXPECT_NE(r.get(n[0])->current.engine, first) << how;
    EXPECT_EQ(r.attempt(n[1]), current)
        << how << ": the attempt was given up for an engine of which nothing "
        << "had come since it got the hedge";
  }
}

// Bytes of a response that this router did not read, as its caller did not,
// may be older than the hedge.
TEST(OldSign, ADelayedEventIsNoProgressOfItsEngine) {
  enum How { READ, PAUSED, PAUSED_AND_DELAYED };
  for (How how : {READ, PAUSED, PAUSED_AND_DELAYED}) {
    TwoEngines r;
    std::vector<uint64_t> n = r.begin_at(1, true);
    int current = r.attempt(n[0]);
    // The engine of the hedge sends events, of which the caller reads none
    // from here on, and stops to work.
    mt_relay_event_t paused = r.make_event(MT_RELAY_PAUSED, n[1]);
    paused.u.paused = true;
    if (how != READ) r.step(paused);
    r.wait_for_hedge(n[0]);
    r.hedge_written(n[0]);
    r.tick(2);
    paused.u.paused = false;
    if (how != READ) r.step(paused);
    const std::string text = "id: 2\ndata: x\n\n";
    mt_relay_event_t ev = r.make_event(MT_RELAY_DATA, n[1]);
    ev.delayed = how == PAUSED_AND_DELAYED;
    ev.u.data = {text.data(), text.size()};
    r.step(ev);
    for (int i = 0; i < 20 && r.has_hedge(n[0]); i++) r.pass(25);
    ASSERT_FALSE(r.has_hedge(n[0]));
    if (how == READ)
      EXPECT_NE(r.attempt(n[0]), current);
    else
      EXPECT_EQ(r.attempt(n[0]), current) << how;
  }
}

// The overlap ends in the tick behind a stall. What the silent engine sent
// meanwhile lies unread, and so does the end of the hedge.
TEST(OldSign, AStallAtTheEndOfTheOverlapDecidesNothing) {
  for (bool stalls : {false, true}) {
    TwoEngines r;
    uint64_t n = r.begin_at(1, false)[0];
    int current = r.attempt(n);
    r.wait_for_hedge(n);
    r.hedge_written(n);
    r.hedge_head(n);
    int hedge = r.get(n)->hedge.number;
    r.tick(9);
    ASSERT_TRUE(r.has_hedge(n));
    r.now += stalls ? 900 : 0;
    if (!stalls) r.event(n, 2); // it is read before the next tick
    mt_relay_event_t tick{};
    tick.kind = MT_RELAY_TICK;
    r.now += 25;
    r.step(tick);
    EXPECT_EQ(r.attempt(n), current) << stalls;
    if (stalls) {
      const std::string text = "id: 2\ndata: x\n\n";
      mt_relay_event_t ev = r.make_event(MT_RELAY_DATA, n, current);
      ev.u.data = {text.data(), text.size()};
      r.step(ev);
      EXPECT_NE(r.find(MT_RELAY_DO_DATA), nullptr) << stalls;
      r.step(r.make_event(MT_RELAY_FAILED, n, hedge));
      EXPECT_EQ(r.find(MT_RELAY_DO_ABORT), nullptr) << stalls;
    }
  }
}

// What came while the router stood still is read behind the tick, also by one
// that stops: the response is complete in its socket.
TEST(OldSign, AStopReadsWhatCameDuringAStall) {
  enum Limit { DEADLINE, STOP };
  for (Limit limit : {DEADLINE, STOP}) {
    Relay r;
    r.declare();
    r.request(1, "/again/x", "key-w1", limit == DEADLINE ? 1000 : 5000);
    r.sent(1);
    r.pass(25);
    if (limit == STOP) {
      mt_relay_event_t stop{};
      stop.kind = MT_RELAY_STOP;
      stop.u.stop_ms = 1000;
      r.step(stop);
    }
    mt_ms_t end = r.now + 975;
    while (r.now < end - 100) {
      r.now += 25;
      mt_relay_event_t tick{};
      tick.kind = MT_RELAY_TICK;
      r.step(tick);
    }
    ASSERT_EQ(r.refusal(), MT_RELAY_REFUSAL_COUNT);
    r.now += 325; // stands still
    mt_relay_event_t tick{};
    tick.kind = MT_RELAY_TICK;
    r.step(tick);
    EXPECT_EQ(r.refusal(), MT_RELAY_REFUSAL_COUNT) << limit;
    if (r.attempt(1) == 0) continue;
    r.head(1, 200);
    r.data(1, "ok");
    r.end(1);
    EXPECT_NE(r.find(MT_RELAY_DO_END), nullptr) << limit;
  }
}

} // namespace
