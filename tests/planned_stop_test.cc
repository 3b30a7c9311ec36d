// planned_stop_test.cc - requests that come while a gateway stops
#include "silent_world.h"

namespace {

const int GRACE_MS = 3000;

// A caller that sends one request during the stop.
struct StopCaller {
  const char *path;
  int sent_ms; // after SIGTERM
  Conn *conn;
  bool sent;
};

std::string with_deadline (std::string text, int ms) {
  const std::string usual = "X-Deadline-Ms: 3000";
  return text.replace(text.find(usual), usual.size(),
                      "X-Deadline-Ms: " + std::to_string(ms));
}

// An engine that takes its time: answers are sent when they are due.
struct SlowEngine {
  struct Run {
    Conn *conn;
    std::string id;
    Clock::time_point begun;
    int events;
  };
  std::vector<Run> runs;
  int lasts_ms;
  World &w;

  SlowEngine(World &world, const char *id, const char *service, int ms)
      : lasts_ms(ms), w(world) {
    w.engine(id, service, w.listen([this] (Conn &c, const Request &r) {
      runs.push_back({&c, r.field("X-Attempt-Id"), Clock::now(), 0});
    }));
  }
  // Streams have four events; other answers come whole.
  void step (bool stream) {
    for (Run &r : runs) {
      if (r.events < 0 || r.conn->fd < 0) continue;
      int due = ms_since(r.begun) * 4 / lasts_ms;
      if (!stream) {
        if (due < 4) continue;
        r.conn->send(
            answer(200, "X-Engine-Seal: s\r\nX-Attempt-Id: " + r.id + "\r\n",
                   "whole"));
        r.events = -1;
        continue;
      }
      if (due > 0 && r.events == 0)
        r.conn->send(
            "HTTP/1.1 200 X\r\nX-Engine-Seal: s\r\nX-Attempt-Id: " + r.id +
            "\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n");
      while (r.events < due && r.events < 4) {
        std::string text = event(++r.events);
        char size[16];
        snprintf(size, sizeof size, "%zx\r\n", text.size());
        r.conn->send(size + text + "\r\n");
      }
      if (r.events < 4) continue;
      r.conn->send("0\r\n\r\n");
      r.events = -1;
    }
  }
};

// Whatever is taken is answered whole; the rest is refused at once, with the
// promise that it has not run, so that its caller can still go elsewhere.
TEST(PlannedStop, CutsNothingThatItTakes) {
  for (bool kept : {false, true})
    for (int lasts_ms : {300, 1200, 2500}) {
      World w;
      w.grace_ms = GRACE_MS;
      SlowEngine plain(w, "i-1", "plain", lasts_ms),
          model(w, "i-2", "model", lasts_ms);
      w.start();
      auto step = [&] {
        w.pump();
        plain.step(false);
        model.step(true);
      };
      std::vector<StopCaller> callers;
      for (int ms = 0; ms < GRACE_MS - 600; ms += 100)
        for (const char *path : {"/safe/x", "/once/x", "/gen/x"})
          callers.push_back(
              {path, ms, kept ? w.connect(w.callers) : nullptr, false});
      for (int i = 0; i < 10; i++) step(); // connections are accepted
      kill(w.pid, SIGTERM);
      auto begun = Clock::now();
      while (ms_since(begun) < GRACE_MS + 500) {
        for (StopCaller &c : callers) {
          if (c.sent || ms_since(begun) < c.sent_ms) continue;
          c.sent = true;
          if (c.conn == nullptr) c.conn = w.connect(w.callers);
          if (c.conn == nullptr || c.conn->fd < 0) continue;
          std::string text =
              World::ask(c.path, "q" + std::to_string(&c - callers.data()));
          if (lasts_ms == 300) text = with_deadline(text, 1500);
          c.conn->send(text);
        }
        step();
      }
      int answered = 0, refused = 0;
      for (const StopCaller &c : callers) {
        std::string what = std::string(c.path) + " sent after " +
                           std::to_string(c.sent_ms) + " ms, lasts " +
                           std::to_string(lasts_ms) +
                           (kept ? ", kept" : ", new");
        // Closed before it was sent: the caller knows that it was not read.
        if (c.conn == nullptr || c.conn->in.empty()) {
          EXPECT_GE(c.sent_ms, 2000) << what;
          continue;
        }
        int status = World::status_of(c.conn->in);
        bool whole = status == 200 && World::is_complete(c.conn->in);
        EXPECT_TRUE(whole || status == 503) << what << "\n" << c.conn->in;
        answered += whole;
        refused += status == 503;
      }
      if (lasts_ms == 300) {
        EXPECT_GT(answered, 0);
      }
      EXPECT_GT(refused, 0);
    }
}

// What was taken before the stop is not cut by it.
TEST(PlannedStop, EndsWhatItTookBefore) {
  World w;
  w.grace_ms = GRACE_MS;
  SlowEngine plain(w, "i-1", "plain", 2000), model(w, "i-2", "model", 2000);
  w.start();
  std::vector<Conn *> callers;
  for (const char *path : {"/safe/x", "/once/x", "/gen/x"}) {
    callers.push_back(w.connect(w.callers));
    callers.back()->send(
        World::ask(path, "q" + std::to_string(callers.size())));
  }
  auto step = [&] {
    w.pump();
    plain.step(false);
    model.step(true);
  };
  for (int i = 0; i < 500 && plain.runs.size() + model.runs.size() < 3; i++)
    step();
  kill(w.pid, SIGTERM);
  auto begun = Clock::now();
  while (ms_since(begun) < GRACE_MS) step();
  for (Conn *c : callers) {
    EXPECT_EQ(World::status_of(c->in), 200) << c->in;
    EXPECT_TRUE(World::is_complete(c->in)) << c->in;
  }
}

} // namespace
