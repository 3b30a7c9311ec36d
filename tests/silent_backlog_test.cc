// silent_backlog_test.cc - a silent engine whose kernel takes no connections
#include "gateway_world.h"

#include <chrono>

namespace {

using Clock = std::chrono::steady_clock;

std::string chunk_of (int id) {
  std::string text = "id: " + std::to_string(id) + "\ndata: x\n\n";
  char size[16];
  snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

void pump_for (World &w, int ms) {
  auto end = Clock::now() + std::chrono::milliseconds(ms);
  while (Clock::now() < end) w.pump();
}

std::vector<int> ids_of (const std::string &in) {
  std::vector<int> ids;
  size_t at = in.find("\r\n\r\n");
  while (at != in.npos && (at = in.find("id: ", at)) != in.npos) {
    ids.push_back(atoi(in.c_str() + at + 4));
    at += 4;
  }
  return ids;
}

// A process that stands still for a second accepts nothing, so under load its
// kernel drops connects, as that of a box that is gone would. It goes on; the
// other engine shows nothing and breaks off.
TEST(SilentBacklog, AFullBacklogIsNotTheEndOfAnAnswer) {
  for (bool full : {false, true}) {
    World w;
    Conn *silent = nullptr, *second = nullptr;
    std::vector<int> fillers;
    auto either = [&] (Conn &c, const Request &r) {
      if (silent != nullptr) {
        second = &c;
        return;
      }
      silent = &c;
      c.send("HTTP/1.1 200 X\r\nX-Attempt-Id: " + r.field("X-Attempt-Id") +
             "\r\nX-Engine-Seal: s\r\nContent-Type: text/event-stream\r\n"
             "Transfer-Encoding: chunked\r\n\r\n" +
             chunk_of(1) + chunk_of(2));
    };
    for (int i = 0; i < 2; i++)
      w.engine("i-" + std::to_string(i), "model", w.listen(either));
    w.start();
    Conn *caller = w.connect(w.callers);
    std::string text = World::ask("/gen/x", "id1");
    text.replace(text.find("Ms: 3000"), 8, "Ms: 8000");
    caller->send(text);
    ASSERT_TRUE(w.until([&] { return ids_of(caller->in).size() == 2; }));
    Listener *l = (Listener *)silent->listener;
    int fd = l->fd;
    if (full) { // no longer accepted, and filled
      l->fd = -1;
      ::listen(fd, 0);
      for (int i = 0; i < 4; i++) {
        int s = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        sockaddr_in a = loopback(l->port);
        (void)!::connect(s, (sockaddr *)&a, sizeof a);
        fillers.push_back(s);
      }
    }
    EXPECT_TRUE(w.until([&] { return second != nullptr; }));
    pump_for(w, 300);
    if (second->fd >= 0) second->abort();
    if (silent->fd >= 0)
      silent->send(chunk_of(3) + chunk_of(4) + "0\r\n\r\n");
    w.until([&] { return caller->closed || World::is_complete(caller->in); });
    EXPECT_EQ(ids_of(caller->in), (std::vector<int>{1, 2, 3, 4}))
        << full << ": " << w.log;
    EXPECT_TRUE(World::is_complete(caller->in)) << full;
    for (int s : fillers) ::close(s);
    if (l->fd < 0) l->fd = fd;
  }
}

// Two streams of a silent engine have hedges at another one, one 100 ms
// behind the other. That engine sends the head of the first, or nothing, and
// later breaks off both: nothing came of it since it got the second hedge.
TEST(OldSignWorld, AHeadBeforeTheHedgeIsNoSignOfItsEngine) {
  for (bool head : {false, true}) {
    World w;
    std::map<std::string, Conn *> silent;
    std::vector<Conn *> hedges;
    auto begin = [] (Conn &c, const std::string &id) {
      c.send("HTTP/1.1 200 X\r\nX-Attempt-Id: " + id +
             "\r\nX-Engine-Seal: s\r\nContent-Type: text/event-stream\r\n"
             "Transfer-Encoding: chunked\r\n\r\n");
    };
    Listener *first = w.listen([&] (Conn &c, const Request &r) {
      std::string id = r.field("X-Attempt-Id");
      silent[id] = &c;
      if (id != "id1") return;
      begin(c, id);
      c.send(chunk_of(1) + chunk_of(2));
    });
    Listener *other = w.listen([&] (Conn &c, const Request &r) {
      hedges.push_back(&c);
      if (head && hedges.size() == 1) begin(c, r.field("X-Attempt-Id"));
    });
    w.engine("i-0", "model", first);
    w.start();
    std::vector<Conn *> callers;
    for (const char *id : {"id1", "id2"}) {
      Conn *caller = w.connect(w.callers);
      std::string text = World::ask("/gen/x", id);
      text.replace(text.find("Ms: 3000"), 8, "Ms: 8000");
      caller->send(text);
      ASSERT_TRUE(w.until([&] { return silent.count(id) == 1; }));
      callers.push_back(caller);
      pump_for(w, 100);
    }
    w.engine("i-1", "model", other);
    ASSERT_TRUE(w.until([&] { return hedges.size() == 2; })) << w.log;
    pump_for(w, 350);
    for (Conn *c : hedges)
      if (c->fd >= 0) c->abort();
    if (silent["id2"]->fd >= 0) {
      begin(*silent["id2"], "id2");
      silent["id2"]->send(chunk_of(1) + chunk_of(2) + "0\r\n\r\n");
    }
    w.until([&] {
      return callers[1]->closed || World::is_complete(callers[1]->in);
    });
    EXPECT_EQ(World::status_of(callers[1]->in), 200)
        << head << callers[1]->in << w.log;
    EXPECT_EQ(ids_of(callers[1]->in), (std::vector<int>{1, 2})) << head;
    EXPECT_TRUE(World::is_complete(callers[1]->in)) << head;
  }
}

} // namespace
