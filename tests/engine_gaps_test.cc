// engine_gaps_test.cc - pauses of engines' streams as the fleet measures them
#include <gtest/gtest.h>

#include <functional>
#include <vector>

#include "relay.h"

namespace {

constexpr mt_ms_t start = 100000;

// {== Figures ==============================================================

TEST(EngineGaps, FractionsAreInterpolated) {
  const mt_gap_figures_t calm = {40, {0.001, 0, 0}, 0},
                         some = {40, {0.01, 0.002, 0.0005}, 0},
                         absurd = {40, {7, 9, 1e9}, 0}, unknown{};
  struct Row {
    const char *what;
    const mt_gap_figures_t *figures;
    double ms, least, most;
  } rows[] = {
      {"at a bound", &some, 250, 0.002, 0.002},
      {"between bounds", &some, 170, 0.003, 0.008},
      {"below the first", &some, 50, 0.05, 0.2},
      {"any gap", &some, 0, 1, 1},
      {"beyond the last", &some, 1000, 1e-6, 0.0004},
      {"none so long", &calm, 250, 0, 1e-6},
      {"absurd figures", &absurd, 250, 0.9, 1},
      {"unknown", &unknown, 250, 0, 0},
  };
  for (const Row &row : rows) {
    double p = mt_gap_fraction_over(row.figures, row.ms);
    EXPECT_GE(p, row.least - 1e-9) << row.what;
    EXPECT_LE(p, row.most + 1e-9) << row.what;
  }
}

// A stream of many events has many chances to meet a long gap.
TEST(EngineGaps, LongStreamsMeetMorePauses) {
  const mt_gap_figures_t f = {40, {0.01, 0.002, 0.0005}, 0}, unknown{};
  struct Row {
    double events, ms, late, within;
  } rows[] = {{56, 250, 0.104, 0.001}, {5, 250, 0.008, 0.001},
              {56, 500, 0.027, 0.001}, {1, 250, 0, 0},
              {0, 250, 0, 0},          {1e9, 250, 1, 0}};
  for (const Row &row : rows)
    EXPECT_NEAR(mt_gap_late_fraction(&f, row.events, row.ms), row.late,
                row.within)
        << row.events << " events, " << row.ms << " ms";
  EXPECT_EQ(mt_gap_late_fraction(&unknown, 56, 250), 0);
  EXPECT_EQ(mt_gap_longest(&unknown, 56), 0);
  EXPECT_EQ(mt_gap_longest(&f, 1), 0);
  // Half of the streams have a longer gap than the longest expected one.
  for (double events : {5, 56, 400, 5000, 1000000}) {
    double ms = mt_gap_longest(&f, events);
    if (ms < 60000) {
      EXPECT_NEAR(mt_gap_late_fraction(&f, events, ms), 0.5, 0.01) << events;
    }
    EXPECT_GT(ms, 0);
    EXPECT_LE(ms, 60000);
  }
}

// }==

// {== The owner's model ====================================================

mt_gap_sums_t sums (int64_t count, int64_t ms, int64_t over_100,
                    int64_t over_250, int64_t over_500) {
  return {true, count, ms, {over_100, over_250, over_500}};
}

// Feeds the model one report of 50 gaps every 20 ms, `late` of 500 being over
// 250 ms.
void feed (mt_engine_gaps_t *g, int late, mt_ms_t from, mt_ms_t to) {
  const mt_gap_sums_t zero{};
  int reports = 0;
  for (mt_ms_t t = from; t < to; t += 20) {
    int64_t pauses = reports++ % 10 == 0 ? late : 0;
    mt_gap_sums_t s = sums(50, 2000, pauses, pauses, 0);
    mt_engine_gaps_add(g, &zero, &s, t);
  }
}

TEST(EngineGaps, TheModelFollowsAnEngine) {
  struct Row {
    const char *what;
    int first, then;    // pauses in 500 gaps, for 20 s each
    double least, most; // fraction over 250 ms in the end
  } rows[] = {{"never", 0, 0, 0, 0},
              {"one in 500", 1, 1, 0.0015, 0.0025},
              {"it has begun", 0, 2, 0.003, 0.0045},
              {"it is over", 2, 0, 0.0002, 0.001}};
  for (const Row &row : rows) {
    mt_engine_gaps_t g{};
    feed(&g, row.first, start, start + 20000);
    feed(&g, row.then, start + 20000, start + 40000);
    mt_gap_figures_t f = mt_engine_gaps_figures(&g, start + 40000);
    EXPECT_GE(f.over[1], row.least) << row.what;
    EXPECT_LE(f.over[1], row.most) << row.what;
    EXPECT_NEAR(f.mean_ms, 40, 1) << row.what;
    EXPECT_EQ(f.age, 20u) << row.what;
  }
}

// A single pause of one stream is no proof that most streams will pause.
TEST(EngineGaps, OnePauseMovesItLittle) {
  mt_engine_gaps_t g{};
  const mt_gap_sums_t zero{}, one = sums(10, 700, 1, 1, 0);
  mt_engine_gaps_add(&g, &zero, &one, start);
  mt_gap_figures_t f = mt_engine_gaps_figures(&g, start);
  EXPECT_LT(mt_gap_late_fraction(&f, 56, 250), 0.1);
  EXPECT_EQ(mt_engine_gaps_figures(&g, start + 60001).mean_ms, 0);
}

TEST(EngineGaps, ReportsCountByTheirDifference) {
  const int64_t huge = (int64_t)1 << 52;
  const mt_gap_sums_t last = sums(100, 4000, 3, 2, 1), none{};
  struct Row {
    const char *what;
    const mt_gap_sums_t *last;
    mt_gap_sums_t now;
    mt_speed_report_t outcome;
    double over; // most, of the fraction over 250 ms; < 0: nothing learnt
  } rows[] = {
      {"not measured", &last, none, MT_SPEED_REPORT_UNCHANGED, -1},
      {"first ones", &none, last, MT_SPEED_REPORT_BASELINE, -1},
      {"no gaps since", &last, last, MT_SPEED_REPORT_UNCHANGED, -1},
      {"hundred more", &last, sums(200, 8000, 5, 3, 1), MT_SPEED_REPORT_USED,
       0.001},
      {"the router has restarted", &last, sums(10, 400, 0, 0, 0),
       MT_SPEED_REPORT_BASELINE, -1},
      {"one sum fell", &last, sums(200, 8000, 5, 1, 1),
       MT_SPEED_REPORT_BASELINE, -1},
      {"more pauses than gaps", &last, sums(110, 8000, 500, 500, 1),
       MT_SPEED_REPORT_BOUNDED, 0.01},
      {"more long pauses than pauses", &last, sums(200, 8000, 3, 90, 90),
       MT_SPEED_REPORT_BOUNDED, 0},
      {"huge sums", &last, sums(huge, huge, huge, huge, huge),
       MT_SPEED_REPORT_BOUNDED, 0.81},
      {"huge time", &last, sums(101, huge, 3, 2, 1), MT_SPEED_REPORT_BOUNDED,
       0},
  };
  for (const Row &row : rows) {
    mt_engine_speed_t speed{};
    mt_speed_sums_t before{}, now{};
    before.gaps = *row.last;
    now.gaps = row.now;
    EXPECT_EQ(mt_engine_speed_report(&speed, &before, &now, start),
              row.outcome)
        << row.what;
    mt_speed_figures_t f = mt_engine_speed_figures(&speed, start);
    EXPECT_EQ(f.slowness, 0) << row.what;
    EXPECT_EQ(f.gaps.mean_ms > 0, row.over >= 0) << row.what;
    if (row.over >= 0) {
      EXPECT_LE(f.gaps.over[1], row.over) << row.what;
    }
  }
}

// }==

// {== Measuring ============================================================

// The gaps of an engine are those that it alone causes; the caller's longest
// gap is what reaches it, whatever the cause.
TEST(EngineGaps, TheGapsOfAStreamAreMeasured) {
  struct Row {
    const char *what;
    bool delayed, overloaded, off;
    int64_t learnt, over_250;
  } rows[] = {{"usual", false, false, false, 2, 1},
              {"the caller did not read", true, false, false, 1, 0},
              {"the router was overloaded", false, true, false, 0, 0},
              {"switched off", false, false, true, 0, 0}};
  for (const Row &row : rows) {
    Relay w(1);
    w.declare();
    w.relay->params.off[MT_RELAY_PAUSES] = row.off;
    w.request(1, "/stream/x");
    w.sent(1);
    w.now += 400; // up to the first event: no gap
    w.head(1, 200, true);
    w.event(1, 1);
    w.relay->overloaded = row.overloaded;
    w.now += 50;
    w.event(1, 2);
    w.now += 300;
    mt_relay_event_t late = w.make_event(MT_RELAY_DATA, 1);
    const std::string begun = "id: 3\nda", rest = "ta: x\n\n";
    late.delayed = row.delayed;
    late.u.data = {begun.data(), begun.size()};
    w.step(late);
    late.delayed = false;
    late.u.data = {rest.data(), rest.size()};
    w.step(late);
    const mt_engine_t *e = w.find("m1");
    EXPECT_EQ(e->measured.gaps.count, row.learnt) << row.what;
    EXPECT_EQ(e->measured.gaps.over[1], row.over_250) << row.what;
    auto *r = (mt_relay_request_t *)mtV_get(&w.relay->requests, 1);
    EXPECT_EQ(r->longest_gap, 300u) << row.what;
    EXPECT_EQ(
        mt_relay_quote(w.relay, e->key, 0, nullptr, 0).speed.gaps.mean_ms > 0,
        row.learnt > 0)
        << row.what;
  }
}

// A stream that goes on at another engine has a gap for its caller; it is
// neither engine's.
TEST(EngineGaps, AResumedStreamIsNoPauseOfItsEngine) {
  Relay w(2);
  w.declare();
  w.request(1, "/stream/x");
  w.sent(1);
  w.head(1, 200, true);
  w.event(1, 1);
  w.now += 700;
  w.fail(1);
  ASSERT_NE(w.find(MT_RELAY_DO_START, 1), nullptr);
  w.sent(1);
  w.head(1, 200, true);
  w.now += 100;
  w.event(1, 1); // the caller has it
  w.now += 20;
  w.event(1, 2);
  auto *r = (mt_relay_request_t *)mtV_get(&w.relay->requests, 1);
  EXPECT_EQ(r->longest_gap, 820u);
  EXPECT_EQ(w.find("m1")->measured.gaps.count +
                w.find("m2")->measured.gaps.count,
            1);
  EXPECT_EQ(w.find("m1")->measured.gaps.over[0] +
                w.find("m2")->measured.gaps.over[0],
            0);
}

TEST(EngineGaps, TheLengthOfStreamsIsLearnt) {
  Relay w(1);
  w.declare();
  w.request(1, "/stream/x"); // 50 tokens
  auto *r = (mt_relay_request_t *)mtV_get(&w.relay->requests, 1);
  EXPECT_EQ(mt_relay_expected_events(w.relay, r), 50);
  w.sent(1);
  w.head(1, 200, true);
  for (int i = 1; i <= 10; i++) w.event(1, i);
  w.end(1);
  w.request(2, "/stream/x");
  r = (mt_relay_request_t *)mtV_get(&w.relay->requests, 2);
  EXPECT_EQ(mt_relay_expected_events(w.relay, r), 10);
  r->tokens_expected = 100;
  EXPECT_EQ(mt_relay_expected_events(w.relay, r), 20);
  r->tokens_expected = 0;
  EXPECT_EQ(mt_relay_expected_events(w.relay, r), 10);
}

// }==

// {== Placement ============================================================

void quote (Relay &w, uint64_t number,
            const std::vector<mt_relay_quote_t> &quotes) {
  mt_relay_event_t event{};
  event.kind = MT_RELAY_QUOTED;
  event.request = number;
  event.u.quotes.list = quotes.data();
  event.u.quotes.count = quotes.size();
  w.step(event);
}

const mt_gap_figures_t pauses = {40, {0.02, 0.01, 0.001}, 0},
                       calm = {40, {0.001, 0, 0}, 0};

struct Placement {
  double events;  // of a stream
  mt_ms_t target; // of the route; 0: none
  int64_t tokens; // of the prompt
  int running;    // at each engine
  int64_t others; // prompt tokens ahead at the other engines
  mt_ms_t age;    // of the figures
  bool off;
};

// The engine that a request goes to; `figures`: of `engine`, whose owner has
// less work for it than the others by `others` tokens.
uint64_t placed (const Placement &p, uint64_t engine,
                 const mt_gap_figures_t &figures) {
  Relay w(4);
  w.declare();
  w.relay->routers = 2;
  w.relay->params.off[MT_RELAY_PAUSES] = p.off;
  for (size_t i = 0; i < w.relay->catalog->routes_count; i++)
    w.relay->catalog->routes[i].pause = p.target;
  mt_relay_service(w.relay, mtV_id("model", 5))->stream_length = {1, p.events,
                                                                  50};
  w.request(1, "/stream/x", "key-w1", 5000, p.tokens);
  std::vector<mt_relay_quote_t> quotes;
  for (uint64_t key : w.asked(1)) {
    mt_relay_quote_t q{};
    q.engine = key;
    // At all the same, so that the home has no advantage.
    q.cached = p.tokens > 4000 ? p.tokens / 2 : p.tokens;
    q.peers.running = p.running;
    q.peers.pending_prefill = key == engine ? 0 : p.others;
    q.speed.gaps = key == engine ? figures : calm;
    q.speed.gaps.age = p.age;
    quotes.push_back(q);
  }
  quote(w, 1, quotes);
  const mt_relay_effect_t *fx = w.find(MT_RELAY_DO_START, 1);
  if (fx == nullptr) return 0;
  auto *r = (mt_relay_request_t *)mtV_get(&w.relay->requests, 1);
  bool known = p.target > 0 && !p.off && p.age <= 2000;
  EXPECT_EQ(r->current.pause_expected > 0, known);
  return fx->u.start.engine;
}

// Without the part each goes to the engine that pauses, which has the least
// work ahead.
TEST(EngineGaps, StreamsAvoidEnginesThatPause) {
  struct Row {
    const char *what;
    Placement p;
    bool avoided;
  } rows[] = {
      {"a stream of many events", {56, 250, 1000, 0, 1000, 0, false}, true},
      {"one of few events", {3, 250, 1000, 0, 1000, 0, false}, false},
      {"its target is long", {56, 1000, 1000, 0, 1000, 0, false}, false},
      {"the route has no target", {56, 0, 1000, 0, 1000, 0, false}, false},
      {"the owner's figures are old",
       {56, 250, 1000, 0, 1000, 2001, false},
       false},
      {"switched off", {56, 250, 1000, 0, 1000, 0, true}, false},
      {"the others would refuse it",
       {56, 250, 1000, 0, 20000, 0, false},
       false},
      {"a short answer, nothing runs",
       {3, 250, 8000, 0, 1000, 0, false},
       false},
      {"a short answer, but its prefill delays those that run",
       {3, 250, 8000, 10, 1000, 0, false},
       true},
  };
  for (const Row &row : rows) {
    Placement plain = row.p, equal = row.p;
    plain.off = equal.off = true;
    equal.others = 0;
    uint64_t favourite = placed(equal, 0, calm);
    ASSERT_NE(favourite, 0u) << row.what;
    ASSERT_EQ(placed(plain, favourite, pauses), favourite) << row.what;
    uint64_t engine = placed(row.p, favourite, pauses);
    ASSERT_NE(engine, 0u) << row.what; // costs are never refusals
    EXPECT_EQ(engine != favourite, row.avoided) << row.what;
  }
}

// Where all engines pause the stream is placed as without the part.
TEST(EngineGaps, PausesNeverRefuse) {
  Relay w(2);
  w.declare();
  w.relay->now = w.now;
  for (const char *name : {"m1", "m2"}) {
    mt_engine_t *e = w.find(name);
    e->quoted = w.now;
    e->quoted_speed.gaps = {40, {1, 1, 1}, 0};
    e->peers.running = 60;
  }
  w.request(1, "/stream/x");
  EXPECT_NE(w.find(MT_RELAY_DO_START, 1), nullptr);
}

// }==

} // namespace
