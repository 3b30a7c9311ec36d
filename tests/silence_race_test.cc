// silence_race_test.cc - engines that go on at each moment of a hedge, and
// callers and gateways that stand still beside it
#include "silent_world.h"

#include <random>

namespace {

const Kind kinds[] = {Kind::RESUMABLE, Kind::STREAM_ONCE, Kind::SAFE,
                      Kind::ONCE};

// Guards against answers that are joined, doubled or ended wrongly where the
// first engine goes on as a second one is asked, begins, or wins.
TEST(SilenceRace, AnAnswerIsWholeWhicheverEngineGoesOn) {
  for (unsigned seed : {1u, 2u}) {
    std::mt19937 random(seed);
    auto below = [&] (int n) { return (int)(random() % (unsigned)n); };
    std::vector<Row> rows;
    while (rows.size() < 120) {
      Row row{below(2) ? Kind::RESUMABLE : Kind::SAFE,
              (Framing)below(3),
              {{places[below(8)], 550 + below(700)}}};
      if (below(3) == 0) {
        int next = (int)row.stops[0].place + 1 + below(3);
        if (next <= (int)Place::BEFORE_END)
          row.stops.push_back({(Place)next, 100 + below(1000)});
      }
      if (below(4)) row.other_stops = {{places[below(8)], below(500)}};
      if (below(3) == 0 && !row.other_stops.empty())
        row.other_stops.push_back({Place::BEFORE_END, 600 + below(600)});
      rows.push_back(row);
    }
    SCOPED_TRACE(seed);
    play(rows);
  }
}

// Guards against a stall of the gateway that is taken for the silence of its
// engines, which costs a second attempt.
TEST(SilenceRace, AStallOfTheGatewayIsNoSilence) {
  std::vector<Row> rows;
  for (Kind kind : kinds)
    for (Framing framing : {Framing::CHUNKED, Framing::UNFRAMED})
      for (Place place : places)
        rows.push_back({kind, framing, {{place, 400}}});
  SilentWorld w(rows);
  for (auto &c : w.cases) w.ask(*c);
  ASSERT_TRUE(w.await([&] {
    for (auto &c : w.cases)
      if (c->arrivals == 0) return false;
    return true;
  }));
  kill(w.pid, SIGSTOP);
  auto begun = Clock::now();
  w.await([&] { return ms_since(begun) > 1700; });
  kill(w.pid, SIGCONT);
  w.await_all();
  for (auto &c : w.cases) {
    expect_true_answer(w, *c);
    EXPECT_EQ(c->arrivals, 1) << c->row.name() << w.lines_of(*c);
  }
}

// Guards against an answer that is ended, or gets a second attempt, since its
// caller did not read while its engine was silent.
TEST(SilenceRace, ACallerThatDoesNotReadIsNoSilence) {
  const size_t EVENT_BYTES = 20000, COUNT = 400;
  for (Kind kind : {Kind::RESUMABLE, Kind::SAFE})
    for (bool before : {false, true}) { // the silence; else while it is
      World w;
      std::string sent, more;
      Conn *engine = nullptr;
      int arrivals = 0;
      size_t at = 0;
      const char *service = is_stream(kind) ? "model" : "plain";
      w.further = ",\"retry\":{\"ratio\":1,\"slack\":1000}";
      w.put("op/config",
            World::config(8, "key-w1",
                          SilentWorld::route_text(kind, "1") +
                              ",{\"name\":\"z\",\"host\":\"h.example\","
                              "\"path_prefix\":\"/z/\",\"route_kind\":"
                              "\"safe\",\"timeout_ms\":3000,\"goal_ms\":500,"
                              "\"service\":\"plain\",\"max_attempts\":1}"));
      std::string text = w.items["op/config"].value;
      size_t s = text.find("\"service\":\"s1\"");
      text.replace(s, 14, std::string("\"service\":\"") + service + "\"");
      w.put("op/config", text);
      for (size_t i = 1; i <= COUNT; i++) {
        std::string e = is_stream(kind)
                            ? "id: " + std::to_string(i) +
                                  "\ndata: " + std::string(EVENT_BYTES, 'x') +
                                  "\n\n"
                            : std::string(EVENT_BYTES, (char)('a' + i % 26));
        char size[16];
        snprintf(size, sizeof size, "%zx\r\n", e.size());
        sent += e;
        more += size + e + "\r\n";
      }
      more += "0\r\n\r\n";
      for (int i = 0; i < 2; i++)
        w.engine("e" + std::to_string(i), service,
                 w.listen([&] (Conn &c, const Request &r) {
                   if (++arrivals > 1) return;
                   engine = &c;
                   c.send(
                       "HTTP/1.1 200 OK\r\nX-Attempt-Id: id1\r\n"
                       "X-Engine-Seal: s\r\nTransfer-Encoding: chunked\r\n" +
                       std::string(is_stream(kind)
                                       ? "Content-Type: text/event-stream"
                                         "\r\n\r\n"
                                       : "\r\n"));
                 }));
      w.start();
      Conn *caller = w.connect(w.callers);
      int fd = caller->fd, small = 20000;
      setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
      std::string ask = World::ask("/r1/x", "id1");
      ask.replace(ask.find("Ms: 3000"), 8, "Ms: 9000");
      caller->send(ask);
      ASSERT_TRUE(w.until([&] { return engine != nullptr; }));
      auto begun = Clock::now();
      while (at < more.size() || ms_since(begun) < 2600) {
        int ms = ms_since(begun);
        if (ms > 8000) break;
        bool reads = before ? ms < 200 || ms > 1800 : ms > 1800;
        bool speaks = ms < 300 || ms > 1500;
        caller->fd = reads ? fd : -1;
        w.pump();
        if (!speaks || at == more.size() || engine->fd < 0) continue;
        ssize_t n = ::send(engine->fd, &more[at], more.size() - at,
                           MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n > 0) at += (size_t)n;
      }
      caller->fd = fd;
      w.until([&] {
        return caller->closed || (caller->in.size() > 5 &&
                                  caller->in.compare(caller->in.size() - 5, 5,
                                                     "0\r\n\r\n") == 0);
      });
      bool whole = false;
      std::string body = SilentWorld::body_of(*caller, whole);
      std::string what = "kind " + std::to_string((int)kind) +
                         (before ? ", before" : ", during");
      EXPECT_TRUE(whole) << what << w.log;
      EXPECT_TRUE(body == sent) << what << ": " << body.size();
      EXPECT_EQ(arrivals, 1) << what << w.log;
    }
}

// Guards against answers that come a byte at a time for a while: they are no
// silence for some places of the gateway, and no progress for others.
TEST(SilenceRace, AnAnswerOutlivesATrickle) {
  for (int trickle : {60, 250})
    for (Other other : {Other::ANSWERS, Other::REJECTS}) {
      std::vector<Row> rows;
      for (Kind kind : kinds)
        for (Framing framing :
             {Framing::LENGTH, Framing::CHUNKED, Framing::UNFRAMED})
          for (Place place : places)
            rows.push_back({kind, framing, {{place, 1700}}, other});
      for (Row &row : rows) row.trickle = trickle;
      SCOPED_TRACE(trickle);
      play(rows);
    }
}

} // namespace
