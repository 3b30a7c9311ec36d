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
#include "soak/fleet.h"

namespace {

using soak::Fleet;

// How the store takes that an engine ends.
enum class End { Says, WithoutAWord };

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
