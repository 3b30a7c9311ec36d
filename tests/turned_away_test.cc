// turned_away_test.cc - what a gateway hears that the store turns away
//
// Engines said that they leave, and some gateways went on sending them work
// for seconds: the store turned these away, and what their neighbours knew
// within a millisecond was of no use to them. A gateway took news only if it
// knew all that had come before. What a watcher's news build on rose with any
// other change at the source, so that nothing was lost and yet, for good:
//
//   g0 event=news peer=127.0.1.5 base=21 reach=22 entries=1 known=20
//     newest=22 declared=11/21 outcome=gap
//   g0 event=news peer=127.0.1.5 base=22 reach=23 entries=1 known=20
//     newest=23 declared=11/21 outcome=gap
//
// Where both watchers of a failure domain met silence nobody told it anything
// for 2.2 s, and in a fleet of eight or less nobody told anybody. With a
// third of twelve gateways turned away by turns, 34 requests in 30 s came
// more than 2,000 ms after the store had taken the leaving. Domains that are
// emptied, keys and routes that are taken away went the same way.
#include <sstream>

#include "soak/process.h"

namespace {

using soak::Gateway;
using soak::now_ms;

// How the store takes that an engine ends.
enum class End { Says, WithoutAWord };

// Gateways as processes; the first of them the store will turn away.
class Fleet {
public:
  soak::World world;
  std::vector<Gateway> gateways;

  explicit Fleet(int count) : world(1, count, true), gateways((size_t)count) {
    char name[] = "/tmp/mt-turned-XXXXXX";
    dir = mkdtemp(name);
    int peers = soak::free_datagram_port();
    for (int i = 0; i < count; i++) {
      Gateway &g = gateways[(size_t)i];
      g.index = i;
      g.dir = dir;
      g.start(peers, world.stores[(size_t)i]->port, count);
    }
  }
  ~Fleet() {
    for (Gateway &g : gateways) {
      kill(g.pid, SIGKILL);
      waitpid(g.pid, nullptr, 0);
      unlink(g.log.c_str());
      unlink((dir + "/g" + std::to_string(g.index) + ".json").c_str());
    }
    rmdir(dir.c_str());
  }
  // Waits for a condition; the bound only ends a test that has failed.
  bool until (const std::function<bool()> &cond) {
    for (int i = 0; i < 6000; i++) {
      if (cond()) return true;
      world.pump();
    }
    return false;
  }
  bool said (int gateway, const std::string &line) const {
    std::ifstream in(gateways[(size_t)gateway].log);
    for (std::string text; std::getline(in, text);) {
      size_t at = 0;
      std::istringstream words(line);
      for (std::string word; at != text.npos && words >> word;)
        at = text.find(word, at);
      if (at != text.npos) return true;
    }
    return false;
  }
  bool all_said (const std::string &line) {
    return until([&] {
      for (size_t i = 0; i < gateways.size(); i++)
        if (!said((int)i, line)) return false;
      return true;
    });
  }
  // Every gateway serves, knows of all the others and of the engines.
  bool begins () {
    for (Gateway &g : gateways) {
      if (!until([&] {
            g.find_port();
            return g.port != 0;
          }))
        return false;
      if (!until([&] { return routers(g) == (int)gateways.size(); }))
        return false;
    }
    return all_said("engine=" + world.plains[0] + " outcome=ready") &&
           all_said("engine=" + world.engine_last() + " outcome=ready");
  }
  // How many it knows of, as its metrics say.
  int routers (Gateway &g) {
    const std::string name = "\nmartentiller_gateway_routers ";
    std::string text =
        exchange(g, g.metrics, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    size_t at = text.find(name);
    return at == text.npos ? 0 : atoi(text.c_str() + at + name.size());
  }
  void turn_away (int gateway, int kind) {
    world.refusals[(size_t)gateway] = {now_ms() + 3600000, kind};
  }
  // Both watchers of the first gateway's failure domain know that the engines
  // have not changed up to the source's revision.
  bool watchers_go_on () {
    return until([&] {
      int count = 0;
      for (const soak::World::Watch &w : world.watches)
        count += w.prefix == "servers/" && w.gateway != 0 &&
                 w.gateway % 2 == 0 && w.since >= world.rev;
      return count >= 2;
    });
  }
  // The status of an answer to a request that a caller sends.
  int ask (int gateway, const std::string &path, const std::string &key,
           const std::string &workspace = "w1") {
    std::string id = "id" + std::to_string(++asked);
    Gateway &g = gateways[(size_t)gateway];
    world.checker.ask(id, soak::Kind::Again, workspace);
    return ::World::status_of(
        exchange(g, g.port, ::World::ask(path, id, "", "", key)));
  }
  // A whole exchange with a gateway; empty: it took no connection.
  std::string exchange (const Gateway &g, int port, const std::string &text) {
    sockaddr_in a = loopback(port);
    inet_pton(AF_INET, g.ip().c_str(), &a.sin_addr);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(fd, (sockaddr *)&a, sizeof a) != 0) {
      ::close(fd);
      return "";
    }
    world.conns.push_back({fd, ""});
    Conn &c = world.conns.back();
    c.send(text);
    until([&] { return c.closed || ::World::whole(c.in); });
    std::string in = c.in;
    c.close();
    return in;
  }

private:
  std::string dir;
  int asked = 0;
};

struct Leaving {
  const char *what;
  int gateways;
  int refusal; // 0: 503, 1: silence, 2: resets
  End end;
  bool declared; // the declarations change first
};

void play (const Leaving &row) {
  Fleet fleet(row.gateways);
  ASSERT_TRUE(fleet.begins());
  fleet.turn_away(0, row.refusal);
  if (row.declared) {
    fleet.world.configure();
    ASSERT_TRUE(fleet.watchers_go_on());
  }
  std::string engine = fleet.world.plains[0];
  fleet.world.retire("plain", engine, row.end == End::Says);
  std::string known = "engine=" + engine;
  known += row.end == End::Says ? " outcome=leaving" : " outcome=gone";
  ASSERT_TRUE(fleet.until([&] { return fleet.said(1, known); }));
  ASSERT_TRUE(fleet.until([&] { return fleet.said(0, known); }));
  fleet.world.arrived.clear();
  for (int i = 0; i < 20; i++)
    EXPECT_EQ(fleet.ask(0, "/safe/x", "key-w1"), 200);
  EXPECT_EQ(fleet.world.arrived[engine], 0);
}

TEST(TurnedAway, SendsNothingToEnginesThatLeave) {
  const Leaving rows[] = {
      {"a small fleet", 3, 0, End::Says, false},
      {"a small fleet, silence", 3, 1, End::WithoutAWord, false},
      {"watchers tell", 10, 2, End::Says, false},
      {"what the news build on has risen", 10, 0, End::Says, true},
      {"it has risen, without a word", 10, 0, End::WithoutAWord, true},
  };
  for (const Leaving &row : rows) {
    SCOPED_TRACE(row.what);
    play(row);
  }
}

TEST(TurnedAway, SendsNothingToAnEmptiedDomain) {
  for (int gateways : {3, 10}) {
    SCOPED_TRACE(gateways);
    Fleet fleet(gateways);
    ASSERT_TRUE(fleet.begins());
    fleet.turn_away(0, 0);
    for (const char *outcome : {"begun", "over"}) {
      fleet.world.evacuate("d2");
      std::string line =
          std::string("evacuation domain=d2 outcome=") + outcome;
      ASSERT_TRUE(fleet.until([&] { return fleet.said(1, line); }));
      ASSERT_TRUE(fleet.until([&] { return fleet.said(0, line); }));
      fleet.world.arrived.clear();
      for (int i = 0; i < 20 && outcome[0] == 'b'; i++)
        EXPECT_EQ(fleet.ask(0, "/safe/x", "key-w1"), 200);
      for (auto &row : fleet.world.arrived)
        EXPECT_NE(fleet.world.checker.engines[row.first].domain, "d2");
    }
  }
}

// What is new it cannot know; what is over it refuses, and says not-run.
TEST(TurnedAway, RunsNothingThatIsOver) {
  for (int gateways : {3, 10}) {
    SCOPED_TRACE(gateways);
    Fleet fleet(gateways);
    ASSERT_TRUE(fleet.begins());
    std::string key = fleet.world.keys.back();
    struct Row {
      std::string path, key, workspace;
    } rows[] = {{"/safe/x", key, "w2"},
                {"/v2/x", "key-w1", "w1"},
                {"/side/x", "key-w1", "w1"}};
    for (const Row &row : rows)
      EXPECT_EQ(fleet.ask(0, row.path, row.key, row.workspace), 200)
          << row.path;
    fleet.turn_away(0, 0);
    fleet.world.configure();
    ASSERT_TRUE(fleet.until([&] {
      return fleet.said(1, "configuration version=3 outcome=in-force");
    }));
    for (const Row &row : rows)
      EXPECT_TRUE(fleet.until([&] {
        return fleet.ask(0, row.path, row.key, row.workspace) == 503;
      })) << row.path;
    EXPECT_EQ(fleet.ask(0, "/safe/x", "key-w1"), 200);
    fleet.world.refusals[0] = soak::Refusal();
    ASSERT_TRUE(fleet.until([&] {
      return fleet.said(0, "configuration version=3 outcome=in-force");
    }));
    EXPECT_EQ(fleet.ask(0, "/side/x", "key-w1"), 200);
    EXPECT_EQ(fleet.ask(0, "/safe/x", key, "w2"), 401);
  }
}

// Who reads a version may have missed the one before it, and cannot tell by
// its own what that one began: it has heard so from others.
TEST(TurnedAway, RunsNothingThatASkippedVersionBegan) {
  Fleet fleet(3);
  ASSERT_TRUE(fleet.begins());
  fleet.turn_away(1, 0);
  fleet.turn_away(2, 0);
  fleet.world.configure();
  ASSERT_TRUE(fleet.until([&] {
    return fleet.said(0, "configuration version=3 outcome=in-force");
  }));
  std::string key = fleet.world.keys.back();
  ASSERT_EQ(fleet.ask(0, "/v3/x", "key-w1"), 200);
  ASSERT_EQ(fleet.ask(0, "/safe/x", key, "w2"), 200);
  fleet.turn_away(0, 0);
  fleet.world.configure();
  fleet.world.refusals[1] = soak::Refusal();
  ASSERT_TRUE(fleet.until([&] {
    return fleet.said(1, "configuration version=4 outcome=in-force");
  }));
  EXPECT_FALSE(fleet.said(1, "configuration version=3 outcome=in-force"));
  EXPECT_TRUE(
      fleet.until([&] { return fleet.ask(0, "/v3/x", "key-w1") == 503; }));
  EXPECT_TRUE(
      fleet.until([&] { return fleet.ask(0, "/safe/x", key, "w2") == 503; }));
  EXPECT_EQ(fleet.ask(0, "/safe/x", "key-w1"), 200);
}

} // namespace
