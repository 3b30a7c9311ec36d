// loop_turns_test.cc - length and work of the turns of the event loop
#include "gateway_world.h"

extern "C" {
#include "boot_clock.h"
#include "loop_turns.h"
}

namespace {

const uint64_t ns_per_ms = 1000000;

// Alerts are set on these bounds.
TEST(LoopTurns, AreCountedByTheirLength) {
  struct Row {
    mt_ms_t length;
    size_t part; // of the histogram
  } rows[] = {{0, 0},   {10, 0},  {11, 1},   {50, 1},   {51, 2},
              {250, 3}, {400, 4}, {1000, 5}, {1001, 6}, {90000, 6}};
  for (const Row &row : rows) {
    mt_loop_turns_t turns{};
    mt_loop_turns_count(&turns, row.length);
    EXPECT_EQ(turns.counts[row.part], 1u) << row.length;
    EXPECT_EQ(turns.total_ms, row.length);
  }
}

struct Loop {
  uv_loop_t loop;
  mt_loop_turns_t turns;
  uv_timer_t timer;
  std::vector<mt_ms_t> lengths; // of long turns
  uint32_t engines = 0;         // in the last one
  std::function<void()> work;

  Loop() {
    mt_boot_clock_init_loop(&loop);
    mt_loop_turns_open(
        &turns, &loop,
        [] (void *ud, const mt_loop_turns_t *t, mt_ms_t length) {
          ((Loop *)ud)->lengths.push_back(length);
          ((Loop *)ud)->engines = t->work[MT_TURN_ENGINES];
        },
        this);
    uv_timer_init(&loop, &timer);
    timer.data = this;
  }
  ~Loop() {
    uv_close((uv_handle_t *)&timer, nullptr);
    mt_loop_turns_close(&turns);
    uv_run(&loop, UV_RUN_DEFAULT);
    uv_loop_close(&loop);
  }
  // Runs the work in a callback of the loop.
  void run (std::function<void()> f, mt_ms_t after = 1) {
    work = f;
    uv_timer_start(
        &timer, [] (uv_timer_t *t) { ((Loop *)t->data)->work(); }, after, 0);
    uv_run(&loop, UV_RUN_DEFAULT);
    for (int i = 0; i < 2; i++) uv_run(&loop, UV_RUN_NOWAIT);
  }
};

// What callbacks take is the turn's, also where one updates the loop's time.
TEST(LoopTurns, CallbacksAreMeasured) {
  for (bool updates : {false, true}) {
    Loop l;
    l.run([&] {
      mt_loop_turns_add(&l.turns, MT_TURN_ENGINES, 7);
      uint64_t end = uv_hrtime() + 120 * ns_per_ms;
      while (uv_hrtime() < end) continue;
      if (updates) mt_loop_turns_update_time(&l.turns);
    });
    l.run([] {});
    EXPECT_GE(l.lengths.size(), 1u) << updates;
    EXPECT_EQ(l.engines, 7u) << updates;
  }
}

// Else a gateway with little work would seem to stand still.
TEST(LoopTurns, WaitsAreNotMeasured) {
  Loop l;
  uint64_t began = uv_hrtime();
  uv_update_time(&l.loop);
  l.run([] {}, 200);
  mt_ms_t took = (uv_hrtime() - began) / ns_per_ms;
  EXPECT_GE(took - l.turns.total_ms, 100u);
}

TEST(LoopTurns, AreShownAtTheMetricsAddress) {
  World w;
  w.engine("i-0", "plain", w.listen([] (Conn &, const Request &) {}));
  w.start();
  std::string page = w.fetch(w.metrics, "GET /metrics HTTP/1.1\r\n"
                                        "Host: x\r\n\r\n");
  for (const char *part : {"bucket{le=\"10\"} ", "bucket{le=\"1000\"} ",
                           "bucket{le=\"+Inf\"} ", "sum ", "count "})
    EXPECT_NE(
        page.find(std::string("\nmartentiller_gateway_turn_ms_") + part),
        page.npos)
        << part;
}

} // namespace
