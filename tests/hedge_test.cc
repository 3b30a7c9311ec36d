// hedge_test.cc - a second attempt beside one whose engine is silent
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

#include "relay.h"

namespace {

// A relay with one request whose engine has fallen silent and which has a
// hedge.
struct Hedged : Relay {
  explicit Hedged(const char *path = "/stream/x", int events = 2) : Relay(3) {
    declare();
    request(1, path, "key-w1", 5000, 1000, "h.example", 99);
    sent(1);
    if (events > 0) head(1, 200, true);
    for (int id = 1; id <= events; id++) event(1, id);
    wait_for_hedge();
  }
  const mt_relay_request_t *get () {
    return (const mt_relay_request_t *)mtV_get(&relay->requests, 1);
  }
  void wait_for_hedge () {
    for (int i = 0; i < 200 && get()->hedge.engine == nullptr; i++) pass(25);
  }
  void written (int attempt) {
    step(make_event(MT_RELAY_WRITTEN, 1, attempt));
  }
  void head_of (int attempt, int status, bool events = true,
                mt_relay_verdict_t verdict = MT_RELAY_RAN,
                bool framed = true) {
    mt_relay_event_t ev = make_event(MT_RELAY_HEAD, 1, attempt);
    ev.u.head.status = status;
    ev.u.head.events = events;
    ev.u.head.verdict = verdict;
    ev.u.head.framed = framed;
    step(ev);
  }
  void event_of (int attempt, int id) {
    std::string text = "id: " + std::to_string(id) + "\ndata: x\n\n";
    mt_relay_event_t ev = make_event(MT_RELAY_DATA, 1, attempt);
    ev.u.data = {text.data(), text.size()};
    step(ev);
  }
  void fail_of (int attempt, bool not_sent) {
    mt_relay_event_t ev = make_event(MT_RELAY_FAILED, 1, attempt);
    ev.u.failed.not_sent = not_sent;
    step(ev);
  }
  // Numbers of the attempts that this step cancels.
  std::set<int> cancelled () const {
    std::set<int> numbers;
    for (size_t i = 0; i < effects.count; i++)
      if (effects.list[i].kind == MT_RELAY_DO_CANCEL)
        numbers.insert(effects.list[i].attempt);
    return numbers;
  }
  uint64_t outcomes (mt_hedge_outcome_t which) const {
    return relay->counters.hedges[which];
  }
};

// Whoever sends first keeps the request; the other attempt is cancelled.
TEST(Hedge, TheFirstToSendKeepsTheRequest) {
  for (int first : {1, 2}) {
    Hedged h;
    h.written(2);
    h.head_of(2, 200);
    EXPECT_TRUE(h.cancelled().empty());
    h.event_of(first, 3);
    EXPECT_EQ(h.cancelled(), std::set<int>{3 - first}) << first;
    EXPECT_NE(h.find(MT_RELAY_DO_DATA), nullptr) << first;
    EXPECT_EQ(h.attempt(1), first);
    EXPECT_EQ(h.outcomes(first == 2 ? MT_HEDGE_WON : MT_HEDGE_CANCELLED), 1u);
    h.event_of(3 - first, 4);
    EXPECT_EQ(h.find(MT_RELAY_DO_DATA), nullptr) << first;
    h.step(h.make_event(MT_RELAY_END, 1, first));
    EXPECT_NE(h.find(MT_RELAY_DO_END), nullptr) << first;
    EXPECT_TRUE(h.idle()) << first;
  }
}

// Bytes that are no whole event are no sign that the hedge is of use.
TEST(Hedge, PartOfAnEventIsNotEnough) {
  Hedged h;
  const std::string part = "id: 3\nda", rest = "ta: x\n\n";
  mt_relay_event_t ev = h.make_event(MT_RELAY_DATA, 1, 2);
  h.written(2);
  h.head_of(2, 200);
  ev.u.data = {part.data(), part.size()};
  h.step(ev);
  EXPECT_TRUE(h.cancelled().empty());
  ev.u.data = {rest.data(), rest.size()};
  h.step(ev);
  EXPECT_EQ(h.cancelled(), std::set<int>{1});
  const mt_relay_effect_t *fx = h.find(MT_RELAY_DO_DATA);
  ASSERT_NE(fx, nullptr);
  EXPECT_EQ(std::string(fx->u.data.p, fx->u.data.n), part + rest);
}

// The silent attempt is not given up for a hedge that comes to nothing.
TEST(Hedge, TheSilentAttemptOutlivesAFailedHedge) {
  enum How { REJECTED, REPLACED, ERROR, NO_STREAM, LOST, NOT_SENT, EMPTY };
  for (How how :
       {REJECTED, REPLACED, ERROR, NO_STREAM, LOST, NOT_SENT, EMPTY}) {
    Hedged h;
    if (how != NOT_SENT) h.written(2);
    switch (how) {
      case REJECTED: h.head_of(2, 503, false, MT_RELAY_NOT_RUN); break;
      case REPLACED: h.head_of(2, 421, false, MT_RELAY_REPLACED); break;
      case ERROR: h.head_of(2, 500, false); break;
      case NO_STREAM: h.head_of(2, 200, false); break;
      case LOST: h.fail_of(2, false); break;
      case NOT_SENT: h.fail_of(2, true); break;
      case EMPTY:
        h.head_of(2, 200, true, MT_RELAY_RAN, false);
        h.step(h.make_event(MT_RELAY_END, 1, 2));
        break;
    }
    EXPECT_EQ(h.cancelled().count(1), 0u) << how;
    EXPECT_EQ(h.find(MT_RELAY_DO_ABORT), nullptr) << how;
    EXPECT_EQ(h.outcomes(MT_HEDGE_FAILED), 1u) << how;
    h.event_of(1, 3);
    EXPECT_NE(h.find(MT_RELAY_DO_DATA), nullptr) << how;
    h.step(h.make_event(MT_RELAY_END, 1, 1));
    EXPECT_NE(h.find(MT_RELAY_DO_END), nullptr) << how;
    EXPECT_TRUE(h.idle()) << how;
  }
}

// The silent engine had sent all events, and the hedge has no more to send.
TEST(Hedge, AnEmptyRestCompletesTheStream) {
  Hedged h;
  h.written(2);
  h.head_of(2, 200);
  h.step(h.make_event(MT_RELAY_END, 1, 2));
  EXPECT_EQ(h.cancelled(), std::set<int>{1});
  EXPECT_NE(h.find(MT_RELAY_DO_END), nullptr);
  EXPECT_TRUE(h.idle());
}

// The hedge is the retry when the silent engine fails after all.
TEST(Hedge, TakesOverWhenTheSilentEngineFails) {
  for (bool begun : {false, true}) {
    Hedged h;
    h.written(2);
    if (begun) h.head_of(2, 200);
    uint64_t permits = h.relay->counters.retries[MT_RELAY_RETRY_SILENT];
    h.fail_of(1, false);
    EXPECT_EQ(h.find(MT_RELAY_DO_START), nullptr);
    EXPECT_EQ(h.find(MT_RELAY_DO_ABORT), nullptr);
    EXPECT_EQ(h.relay->counters.retries[MT_RELAY_RETRY_LOST], 0u);
    EXPECT_EQ(h.relay->counters.retries[MT_RELAY_RETRY_SILENT], permits);
    if (!begun) h.head_of(2, 200);
    h.event_of(2, 3);
    EXPECT_NE(h.find(MT_RELAY_DO_DATA), nullptr);
    h.step(h.make_event(MT_RELAY_END, 1, 2));
    EXPECT_TRUE(h.idle());
  }
}

// The same when the silent engine sends at last that it has not run it, sends
// an error, or breaks off when the hedge has its head.
TEST(Hedge, TakesOverWhenTheSilentEngineSendsNoAnswer) {
  enum How { REJECTED, ERROR, BREAKS_OFF };
  for (How how : {REJECTED, ERROR, BREAKS_OFF}) {
    Hedged h("/stream/x", 0);
    h.written(2);
    switch (how) {
      case REJECTED: h.head_of(1, 503, false, MT_RELAY_NOT_RUN); break;
      case ERROR: h.head_of(1, 500, false); break;
      case BREAKS_OFF: {
        h.head_of(2, 200);
        mt_relay_event_t ev = h.make_event(MT_RELAY_FAILED, 1, 1);
        h.step(ev);
        break;
      }
    }
    EXPECT_EQ(h.find(MT_RELAY_DO_START), nullptr) << how;
    EXPECT_EQ(h.refusal(), MT_RELAY_REFUSAL_COUNT) << how;
    EXPECT_EQ(h.outcomes(MT_HEDGE_TOOK_OVER), 1u) << how;
    if (how != BREAKS_OFF) h.head_of(2, 200);
    h.event_of(2, 1);
    EXPECT_NE(h.find(MT_RELAY_DO_HEAD), nullptr) << how;
    h.step(h.make_event(MT_RELAY_END, 1, 2));
    EXPECT_TRUE(h.idle()) << how;
  }
}

// Two engines may work on the request for a bounded time. The first of them
// is only given up for one that works, or if it cannot be reached
// itself.
TEST(Hedge, TheOverlapIsBounded) {
  enum Sign {
    NONE,
    HEAD,
    OTHER_ANSWER,
    EARLIER_ANSWER,
    CONNECT,
    FIRST_UNREACHABLE
  };
  struct Row {
    const char *what;
    Sign sign;
    int kept; // the attempt that goes on
  } rows[] = {
      {"nothing comes of either", NONE, 1},
      {"the head of the hedge", HEAD, 2},
      {"the engine of the hedge answers others", OTHER_ANSWER, 2},
      {"it has answered others before", EARLIER_ANSWER, 1},
      {"its box accepts a connection", CONNECT, 1},
      {"the silent engine cannot be reached", FIRST_UNREACHABLE, 2},
  };
  for (const Row &row : rows) {
    Hedged h;
    mt_engine_t *first = h.get()->current.engine;
    mt_engine_t *second = h.get()->hedge.engine;
    if (row.sign == EARLIER_ANSWER) mt_engine_progressed(second, h.now);
    h.written(2);
    mt_ms_t begun = h.now;
    std::set<int> ended;
    for (int i = 0; i < 80 && ended.empty(); i++) {
      h.pass(25);
      ended = h.cancelled();
      if (i > 0) continue;
      if (row.sign == HEAD) h.head_of(2, 200);
      if (row.sign == OTHER_ANSWER) mt_engine_progressed(second, h.now);
      if (row.sign == CONNECT) mt_engine_set_reachable(second, true, h.now);
      if (row.sign == FIRST_UNREACHABLE)
        mt_engine_set_reachable(first, false, h.now);
    }
    EXPECT_EQ(ended, std::set<int>{3 - row.kept}) << row.what;
    EXPECT_LE(h.now - begun, 300u) << row.what;
    EXPECT_EQ(h.attempt(1), row.kept) << row.what;
    EXPECT_EQ(h.outcomes(MT_HEDGE_KEPT), row.kept == 2 ? 1u : 0u) << row.what;
  }
}

// It begins once the hedge is with its engine, and a stall of the router does
// not decide between answers that it has not read.
TEST(Hedge, TheOverlapIsTimeInWhichTheRouterReads) {
  for (bool stalls : {false, true}) {
    Hedged h;
    if (stalls) h.written(2);
    h.now += stalls ? 600 : 180;
    h.pass(25);
    if (!stalls) h.written(2);
    if (!stalls) h.pass(25);
    EXPECT_TRUE(h.cancelled().empty()) << stalls;
    h.head_of(2, 503, false, MT_RELAY_NOT_RUN);
    EXPECT_TRUE(h.cancelled().empty()) << stalls;
    h.event_of(1, 3);
    EXPECT_NE(h.find(MT_RELAY_DO_DATA), nullptr) << stalls;
  }
}

// The silent attempt is not given up for a hedge that has sent its head if
// anything came from it meanwhile, or if the router may not have read it yet.
TEST(Hedge, ASignOfTheSilentEngineEndsTheOverlapForIt) {
  enum Sign { HEAD, PART, BODY, OVERLOAD, NONE };
  for (Sign sign : {HEAD, PART, BODY, OVERLOAD, NONE}) {
    bool plain = sign == BODY;
    Hedged h(plain ? "/again/x" : "/stream/x", sign == HEAD || plain ? 0 : 2);
    h.written(2);
    h.pass(100);
    h.head_of(2, 200, !plain);
    switch (sign) {
      case HEAD: h.head_of(1, 200); break;
      case PART: h.data(1, "id: 3\nda"); break;
      case BODY:
        h.head_of(1, 200, false);
        h.data(1, "x");
        break;
      case OVERLOAD: h.relay->overloaded = true; break;
      case NONE: break;
    }
    for (int i = 0; i < 20 && h.get()->hedge.engine != nullptr; i++)
      h.pass(25);
    EXPECT_EQ(h.attempt(1), sign == NONE ? 2 : 1) << sign;
  }
}

// Guards against hedges at engines that have fallen silent a little later
// than the first: nothing would show which of the two attempts to end.
TEST(Hedge, IsSentToAnEngineThatGoesOn) {
  for (int going_on : {2, 3}) {
    Relay r(3);
    r.declare();
    // Request N runs at engine mN.
    for (int request = 1; request <= 3; request++) {
      for (int i = 1; i <= 3; i++)
        r.find("m" + std::to_string(i))->evacuated = i != request;
      r.request(request, "/stream/x", "key-w1", 5000, 1000, "h.example", 99);
      r.sent(request);
      r.head(request, 200, true);
      r.event(request, 1);
    }
    for (int i = 1; i <= 3; i++)
      r.find("m" + std::to_string(i))->evacuated = false;
    auto get = [&] {
      return (const mt_relay_request_t *)mtV_get(&r.relay->requests, 1);
    };
    for (int id = 2; id < 60 && get()->hedge.engine == nullptr; id++) {
      r.event(going_on, id);
      if (id < 10) r.event(5 - going_on, id); // it falls silent later
      r.pass(25);
    }
    ASSERT_NE(get()->hedge.engine, nullptr);
    EXPECT_EQ(get()->hedge.engine, r.find("m" + std::to_string(going_on)))
        << going_on;
  }
}

// A connection that was kept says nothing of whether its engine can be
// reached.
TEST(Hedge, IsSentOnANewConnection) {
  Hedged h;
  const mt_relay_effect_t *fx = h.find(MT_RELAY_DO_START);
  ASSERT_NE(fx, nullptr);
  EXPECT_TRUE(fx->u.start.hedge);
  EXPECT_EQ(fx->u.start.max_idle_ms, 0u);
}

// A hedge may have crashed its engine, like any run.
TEST(Hedge, IsSuspectedOfTheEndOfItsEngine) {
  Hedged h;
  h.written(2);
  uint64_t engine = h.get()->hedge.engine->key;
  mt_relay_event_t ev{};
  ev.kind = MT_RELAY_RESTARTED;
  ev.u.restarted.engine = engine;
  h.step(ev);
  EXPECT_EQ(h.cancelled(), std::set<int>{2});
  EXPECT_EQ(h.outcomes(MT_HEDGE_FAILED), 1u);
  EXPECT_EQ(h.relay->lost.count, 1u);
  h.event_of(1, 3);
  EXPECT_NE(h.find(MT_RELAY_DO_DATA), nullptr);
}

TEST(Hedge, BothAttemptsEndWithTheRequest) {
  enum How { CALLER_LEAVES, DEADLINE };
  for (How how : {CALLER_LEAVES, DEADLINE}) {
    Hedged h;
    std::set<int> ended;
    if (how == CALLER_LEAVES) {
      h.step(h.make_event(MT_RELAY_CALLER_DISCONNECTED, 1));
      ended = h.cancelled();
    } else {
      h.now = h.get()->expires;
      h.pass(25);
      h.pass(25);
      ended = h.cancelled();
      EXPECT_NE(h.find(MT_RELAY_DO_ABORT), nullptr);
    }
    EXPECT_EQ(ended, (std::set<int>{1, 2})) << how;
    EXPECT_TRUE(h.idle()) << how;
  }
}

// Guards against hedges, and doubts, about silence that is not the engine's,
// and against those that could not be of use.
TEST(Hedge, IsNotTriedFor) {
  struct Row {
    const char *what;
    const char *path;
    bool paused, overloaded, stalled, no_budget;
  } rows[] = {
      {"a caller that does not read", "/stream/x", true, false, false, false},
      {"a router short of time", "/stream/x", false, true, false, false},
      {"a router that stood still", "/stream/x", false, false, true, false},
      {"want of budget", "/stream/x", false, false, false, true},
      {"a stream that may not be resumed", "/events/x", false, false, false,
       false},
  };
  for (const Row &row : rows) {
    Relay r;
    r.declare();
    if (row.no_budget) r.relay->params.retry = {0, 10000, 0};
    r.request(1, row.path);
    r.sent(1);
    r.head(1, 200, true);
    r.event(1, 1);
    r.relay->overloaded = row.overloaded;
    if (row.paused) {
      mt_relay_event_t ev = r.make_event(MT_RELAY_PAUSED, 1);
      ev.u.paused = true;
      r.step(ev);
    }
    r.pass(25);
    if (row.stalled) {
      r.now += 1500;
      r.pass(25);
      EXPECT_EQ(r.find(MT_RELAY_DO_PROBE), nullptr) << row.what;
    }
    for (int i = 0; i < (row.stalled ? 20 : 80); i++) {
      r.pass(25);
      EXPECT_EQ(r.find(MT_RELAY_DO_START), nullptr) << row.what;
      EXPECT_EQ(r.find(MT_RELAY_DO_CANCEL), nullptr) << row.what;
      EXPECT_EQ(r.find(MT_RELAY_DO_ABORT), nullptr) << row.what;
    }
    if (row.paused) {
      mt_relay_event_t ev = r.make_event(MT_RELAY_PAUSED, 1);
      r.step(ev);
      r.pass(25);
      EXPECT_EQ(r.find(MT_RELAY_DO_START), nullptr) << row.what;
    }
    r.event(1, 2);
    EXPECT_NE(r.find(MT_RELAY_DO_DATA), nullptr) << row.what;
  }
}

// Silence is no failure: a sound engine keeps its place in new work as soon
// as it sends again, while one that cannot be reached loses it until it can.
TEST(SilentEngineState, FollowsWhatIsHeardAndProbed) {
  for (bool reached : {true, false}) {
    Hedged h;
    mt_engine_t *e = h.get()->current.engine;
    EXPECT_TRUE(mt_engine_is_silent(e, h.now));
    EXPECT_EQ(e->failures, 0);
    EXPECT_TRUE(e->probing);
    mt_relay_event_t probed{};
    probed.kind = MT_RELAY_PROBED;
    probed.u.probed.engine = e->key;
    probed.u.probed.up = reached;
    h.step(probed);
    EXPECT_EQ(e->unreachable, !reached);
    h.written(2);
    h.event_of(1, 3);
    EXPECT_FALSE(mt_engine_is_silent(e, h.now));
    EXPECT_EQ(e->failures, 0);
    EXPECT_EQ(e->suspended_until, 0u);
  }
}

// In any order of events: one final effect for each request, two attempts at
// most, each of which ends; events are forwarded once and in order; and all
// load returns to 0.
TEST(HedgeProperties, HoldUnderAnyOrderOfEvents) {
  uint64_t hedges = 0;
  for (unsigned seed = 1; seed <= 400; seed++) {
    std::mt19937 random(seed);
    Relay r(4);
    r.declare();
    std::map<uint64_t, std::set<int>> live;   // calls by request
    std::map<uint64_t, std::set<int>> ending; // those that end by themselves
    auto left = [&] (uint64_t number) {
      std::set<int> calls = live[number];
      for (int call : ending[number]) calls.erase(call);
      return calls.size();
    };
    std::map<uint64_t, int> finals, last;
    auto check = [&] {
      for (size_t i = 0; i < r.effects.count; i++) {
        const mt_relay_effect_t &fx = r.effects.list[i];
        switch (fx.kind) {
          case MT_RELAY_DO_START:
            hedges += fx.u.start.hedge;
            live[fx.request].insert(fx.attempt);
            EXPECT_LE(left(fx.request), 2u) << "seed " << seed;
            break;
          case MT_RELAY_DO_CANCEL:
            EXPECT_EQ(live[fx.request].erase(fx.attempt), 1u)
                << "seed " << seed;
            break;
          case MT_RELAY_DO_DATA: {
            int id = atoi(std::string(fx.u.data.p, fx.u.data.n).c_str() + 4);
            EXPECT_EQ(id, ++last[fx.request]) << "seed " << seed;
            break;
          }
          case MT_RELAY_DO_REFUSE:
          case MT_RELAY_DO_ABORT:
          case MT_RELAY_DO_END:
            EXPECT_EQ(++finals[fx.request], 1) << "seed " << seed;
            EXPECT_EQ(left(fx.request), 0u) << "seed " << seed;
            break;
          default: break;
        }
      }
      r.effects.count = 0;
    };
    uint64_t next = 0;
    std::map<uint64_t, std::map<int, int>> sent_id; // by request and attempt
    for (int i = 0; i < 600; i++) {
      r.now += random() % 30;
      if (r.relay->count < 4 && random() % 4 == 0) {
        r.request(++next, "/stream/x", "key-w1", 8000);
        check();
        continue;
      }
      if (random() % 3 == 0) {
        r.pass(25 + random() % 400);
        check();
        continue;
      }
      if (r.relay->count == 0) continue;
      const mt_relay_request_t *q = r.relay->list[random() % r.relay->count];
      uint64_t number = q->number;
      bool other = q->hedge.engine != nullptr && random() % 2;
      mt_attempt_t a = other ? q->hedge : q->current;
      if (a.engine == nullptr) continue;
      int last_event = (int)q->last_event;
      mt_relay_event_t ev{};
      std::string text;
      switch (random() % 12) {
        case 0:
          ev = r.make_event(MT_RELAY_FAILED, number, a.number);
          ev.u.failed.not_sent = !a.written;
          live[number].erase(a.number);
          break;
        case 1:
          if (!a.written || a.status != 0) continue;
          ev = r.make_event(MT_RELAY_HEAD, number, a.number);
          ev.u.head.status = random() % 2 ? 503 : 500;
          ev.u.head.verdict =
              ev.u.head.status == 503 ? MT_RELAY_NOT_RUN : MT_RELAY_RAN;
          ending[number].insert(a.number);
          break;
        case 2:
          ev = r.make_event(MT_RELAY_CALLER_DISCONNECTED, number);
          if (random() % 6) continue;
          break;
        case 3:
          if (a.status != 200 || random() % 4) continue;
          ev = r.make_event(MT_RELAY_END, number, a.number);
          live[number].erase(a.number);
          break;
        default:
          if (!a.written) {
            ev = r.make_event(MT_RELAY_WRITTEN, number, a.number);
          } else if (a.status == 0) {
            ev = r.make_event(MT_RELAY_HEAD, number, a.number);
            ev.u.head.status = 200;
            ev.u.head.events = ev.u.head.framed = true;
            sent_id[number][a.number] = std::max(0, last_event);
          } else if (a.status == 200) {
            int id = ++sent_id[number][a.number];
            text = "id: " + std::to_string(id) + "\ndata: x\n\n";
            ev = r.make_event(MT_RELAY_DATA, number, a.number);
            ev.u.data = {text.data(), text.size()};
          } else {
            continue;
          }
      }
      r.step(ev);
      check();
    }
    for (int i = 0; i < 1000 && r.relay->count > 0; i++) {
      r.pass(100);
      check();
    }
    EXPECT_EQ(r.relay->count, 0u) << "seed " << seed;
    EXPECT_TRUE(r.idle()) << "seed " << seed;
  }
  EXPECT_GT(hedges, 400u);
}

} // namespace
