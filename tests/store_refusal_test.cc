// store_refusal_test.cc - a gateway that cannot read the store learns of
// changes from other routers
//
// Guards against a gateway that the store refuses and that goes on sending
// requests to engines that drain, to evacuated domains, or for revoked keys
// and closed routes, though its peers know better. Causes were updates that
// were only applied without a gap before them, while an update's base
// revision also rose with unrelated changes; failure domains both of whose
// watchers got no answers from the store, which were sent nothing for 2.2 s;
// and fleets of eight or fewer, where no router sent updates. With a third of
// twelve gateways refused in turn, 34 requests in 30 s came more than 2 s
// after the store had taken the drain.
#include "soak/fleet.h"

namespace {

using soak::Fleet;

// How an engine's end shows in the store: its entry says that it drains, or
// is deleted.
enum class Removal { Drained, Deleted };

struct Case {
  const char *what;
  int gateways;
  int refusal; // how the store refuses: 0: 503, 1: no answer, 2: reset
  Removal end;
  bool config_first; // the configuration changes first
};

void run_case (const Case &row) {
  Fleet fleet(row.gateways);
  ASSERT_TRUE(fleet.wait_ready());
  fleet.reject_store_calls(0, row.refusal);
  if (row.config_first) {
    fleet.world.configure();
    ASSERT_TRUE(fleet.watchers_caught_up());
  }
  std::string engine = fleet.world.plain_engines[0];
  fleet.world.retire("plain", engine, row.end == Removal::Drained);
  std::string known = "engine=" + engine;
  known += row.end == Removal::Drained ? " outcome=leaving" : " outcome=gone";
  ASSERT_TRUE(fleet.until([&] { return fleet.logged(1, known); }));
  ASSERT_TRUE(fleet.until([&] { return fleet.logged(0, known); }));
  fleet.world.engine_requests.clear();
  for (int i = 0; i < 20; i++)
    EXPECT_EQ(fleet.ask(0, "/safe/x", "key-w1"), 200);
  EXPECT_EQ(fleet.world.engine_requests[engine], 0);
}

TEST(StoreRefusal, SendsNothingToRemovedEngines) {
  const Case rows[] = {
      {"a small fleet", 3, 0, Removal::Drained, false},
      {"a small fleet, no answer", 3, 1, Removal::Deleted, false},
      {"watchers send updates", 10, 2, Removal::Drained, false},
      {"the base revision has risen", 10, 0, Removal::Drained, true},
      {"it has risen, the entry is deleted", 10, 0, Removal::Deleted, true},
  };
  for (const Case &row : rows) {
    SCOPED_TRACE(row.what);
    run_case(row);
  }
}

TEST(StoreRefusal, SendsNothingToAnEvacuatedDomain) {
  for (int gateways : {3, 10}) {
    SCOPED_TRACE(gateways);
    Fleet fleet(gateways);
    ASSERT_TRUE(fleet.wait_ready());
    fleet.reject_store_calls(0, 0);
    for (const char *outcome : {"begun", "over"}) {
      fleet.world.evacuate("d2");
      std::string line =
          std::string("evacuation domain=d2 outcome=") + outcome;
      ASSERT_TRUE(fleet.until([&] { return fleet.logged(1, line); }));
      ASSERT_TRUE(fleet.until([&] { return fleet.logged(0, line); }));
      fleet.world.engine_requests.clear();
      for (int i = 0; i < 20 && outcome[0] == 'b'; i++)
        EXPECT_EQ(fleet.ask(0, "/safe/x", "key-w1"), 200);
      for (auto &row : fleet.world.engine_requests)
        EXPECT_NE(fleet.world.checker.engines[row.first].domain, "d2");
    }
  }
}

// A gateway that the store refuses cannot know which keys and routes were
// added, but refuses removed ones with 503.
TEST(StoreRefusal, RefusesRevokedKeysAndClosedRoutes) {
  for (int gateways : {3, 10}) {
    SCOPED_TRACE(gateways);
    Fleet fleet(gateways);
    ASSERT_TRUE(fleet.wait_ready());
    std::string key = fleet.world.keys.back();
    struct Row {
      std::string path, key, workspace;
    } rows[] = {{"/safe/x", key, "w2"},
                {"/v2/x", "key-w1", "w1"},
                {"/side/x", "key-w1", "w1"}};
    for (const Row &row : rows)
      EXPECT_EQ(fleet.ask(0, row.path, row.key, row.workspace), 200)
          << row.path;
    fleet.reject_store_calls(0, 0);
    fleet.world.configure();
    ASSERT_TRUE(fleet.until([&] {
      return fleet.logged(1, "configuration version=3 outcome=in-force");
    }));
    for (const Row &row : rows)
      EXPECT_TRUE(fleet.until([&] {
        return fleet.ask(0, row.path, row.key, row.workspace) == 503;
      })) << row.path;
    EXPECT_EQ(fleet.ask(0, "/safe/x", "key-w1"), 200);
    fleet.world.rejections[0] = soak::Rejection();
    ASSERT_TRUE(fleet.until([&] {
      return fleet.logged(0, "configuration version=3 outcome=in-force");
    }));
    EXPECT_EQ(fleet.ask(0, "/side/x", "key-w1"), 200);
    EXPECT_EQ(fleet.ask(0, "/safe/x", key, "w2"), 401);
  }
}

// Guards against a refused gateway whose open watch still reports the next
// version: it then answers 401 and 404 as that version says, and the tests
// above wait in vain for the 503 of one that cannot read it.
TEST(StoreRefusal, ReadsNothingOnceRefusedWhileItsWatchIsOpen) {
  const struct {
    const char *what;
    int gateways;
    int refusal; // as in Case
  } rows[] = {{"503", 3, 0},
              {"no answer", 3, 1},
              {"reset", 3, 2},
              {"some gateways watch for all", 10, 0}};
  for (const auto &row : rows) {
    SCOPED_TRACE(row.what);
    Fleet fleet(row.gateways);
    ASSERT_TRUE(fleet.wait_ready());
    ASSERT_TRUE(fleet.all_logged("configuration version=2 outcome=in-force"));
    std::string key = fleet.world.keys.back();
    for (int i = 0; i < row.gateways; i++) {
      EXPECT_EQ(fleet.ask(i, "/safe/x", key, "w2"), 200);
      EXPECT_EQ(fleet.ask(i, "/v2/x", "key-w1"), 200);
    }
    int refused = -1;
    ASSERT_TRUE(fleet.until(
        [&] { return (refused = fleet.find_watcher("op/")) >= 0; }));
    int other = refused == 1 ? 2 : 1;
    fleet.reject_store_calls(refused, row.refusal);
    fleet.world.configure();
    ASSERT_TRUE(fleet.until([&] {
      return fleet.logged(other, "configuration version=3 outcome=in-force");
    }));
    EXPECT_TRUE(fleet.until([&] {
      return fleet.ask(refused, "/safe/x", key, "w2") == 503 &&
             fleet.ask(refused, "/v2/x", "key-w1") == 503;
    }));
    EXPECT_FALSE(fleet.logged(refused, "configuration version=3"));
  }
}

// A gateway that reads a version may have missed the one before. It knows
// what the missed version added, and this one removes, only from other
// routers, and must still announce the removal.
TEST(StoreRefusal, RefusesAdditionsOfASkippedVersion) {
  Fleet fleet(3);
  ASSERT_TRUE(fleet.wait_ready());
  fleet.reject_store_calls(1, 0);
  fleet.reject_store_calls(2, 0);
  fleet.world.configure();
  ASSERT_TRUE(fleet.until([&] {
    return fleet.logged(0, "configuration version=3 outcome=in-force");
  }));
  std::string key = fleet.world.keys.back();
  ASSERT_EQ(fleet.ask(0, "/v3/x", "key-w1"), 200);
  ASSERT_EQ(fleet.ask(0, "/safe/x", key, "w2"), 200);
  fleet.reject_store_calls(0, 0);
  fleet.world.configure();
  fleet.world.rejections[1] = soak::Rejection();
  ASSERT_TRUE(fleet.until([&] {
    return fleet.logged(1, "configuration version=4 outcome=in-force");
  }));
  EXPECT_FALSE(fleet.logged(1, "configuration version=3 outcome=in-force"));
  EXPECT_TRUE(
      fleet.until([&] { return fleet.ask(0, "/v3/x", "key-w1") == 503; }));
  EXPECT_TRUE(
      fleet.until([&] { return fleet.ask(0, "/safe/x", key, "w2") == 503; }));
  EXPECT_EQ(fleet.ask(0, "/safe/x", "key-w1"), 200);
}

// Starts all gateways but the first anew, while the store fails the calls of
// all; `change` changes the source meanwhile. Then the store answers the new
// ones: they know what changed as parts of a list alone.
void replace_peers (Fleet &fleet, int refusal,
                    const std::function<void()> &change) {
  int count = (int)fleet.gateways.size();
  for (int i = 0; i < count; i++) fleet.reject_store_calls(i, refusal);
  change();
  for (int i = 1; i < count; i++) fleet.restart(i);
  for (int i = 1; i < count; i++) fleet.world.rejections[i] = {};
}

bool peers_logged (Fleet &fleet, const std::string &line) {
  return fleet.until([&] {
    for (size_t i = 1; i < fleet.gateways.size(); i++)
      if (!fleet.logged((int)i, line)) return false;
    return true;
  });
}

// Guards against a refused gateway that goes on serving a revoked key and
// closed routes because none of its peers has read the versions between: each
// answered its requests for changes with a gap.
TEST(StoreRefusal, RefusesWhatVersionsRemovedThatNoPeerReadOneByOne) {
  const struct {
    const char *what;
    int gateways;
    int refusal;  // as in Case
    int versions; // that the gateway misses
  } rows[] = {{"one version", 3, 0, 1},
              {"two versions, reset", 3, 2, 2},
              {"three versions, no answer", 3, 1, 3},
              {"some gateways watch for all", 8, 0, 1}};
  for (const auto &row : rows) {
    SCOPED_TRACE(row.what);
    Fleet fleet(row.gateways);
    ASSERT_TRUE(fleet.wait_ready());
    ASSERT_TRUE(fleet.all_logged("configuration version=2 outcome=in-force"));
    std::string key = fleet.world.keys.back();
    bool side_moves = row.versions % 2 == 1; // the route's service changes
    EXPECT_EQ(fleet.ask(0, "/safe/x", key, "w2"), 200);
    EXPECT_EQ(fleet.ask(0, "/v2/x", "key-w1"), 200);
    EXPECT_EQ(fleet.ask(0, "/side/x", "key-w1"), 200);
    replace_peers(fleet, row.refusal, [&] {
      for (int i = 0; i < row.versions; i++) fleet.world.configure();
    });
    std::string version =
        "configuration version=" + std::to_string(2 + row.versions) +
        " outcome=in-force";
    ASSERT_TRUE(peers_logged(fleet, version));
    EXPECT_TRUE(fleet.until([&] {
      EXPECT_EQ(fleet.ask(0, "/safe/x", "key-w1"), 200);
      return fleet.ask(0, "/safe/x", key, "w2") == 503 &&
             fleet.ask(0, "/v2/x", "key-w1") == 503;
    }));
    EXPECT_EQ(fleet.ask(0, "/side/x", "key-w1"), side_moves ? 503 : 200);
    EXPECT_FALSE(fleet.logged(0, version));
    fleet.world.rejections[0] = soak::Rejection();
    ASSERT_TRUE(fleet.until([&] { return fleet.logged(0, version); }));
    EXPECT_EQ(fleet.ask(0, "/safe/x", key, "w2"), 401);
    EXPECT_EQ(fleet.ask(0, "/safe/x", fleet.world.keys.back(), "w2"), 200);
    EXPECT_EQ(fleet.ask(0, "/side/x", "key-w1"), 200);
  }
}

// A gap that closes again: what one version removed and a later one has again
// is served again, also if no peer has read either of them on its own.
TEST(StoreRefusal, ServesAgainWhatALaterVersionHas) {
  Fleet fleet(3);
  ASSERT_TRUE(fleet.wait_ready());
  ASSERT_TRUE(fleet.all_logged("configuration version=2 outcome=in-force"));
  for (int version : {3, 4, 5}) {
    SCOPED_TRACE(version);
    replace_peers(fleet, 0, [&] { fleet.world.configure(); });
    ASSERT_TRUE(peers_logged(
        fleet, "configuration version=" + std::to_string(version) +
                   " outcome=in-force"));
    int status = version % 2 == 0 ? 200 : 503; // as of version 2, or moved
    EXPECT_TRUE(fleet.until(
        [&] { return fleet.ask(0, "/side/x", "key-w1") == status; }));
    EXPECT_EQ(fleet.ask(0, "/safe/x", "key-w1"), 200);
    EXPECT_EQ(fleet.ask(0, "/v2/x", "key-w1"), 503);
  }
}

// Guards against the same in the other feed: a refused gateway that goes on
// sending requests to an engine whose entry was deleted.
TEST(StoreRefusal, SendsNothingToEnginesWhoseDeletionNoPeerRead) {
  const struct {
    const char *what;
    int gateways;
    Removal end;
    const char *outcome;
  } rows[] = {
      {"deleted", 3, Removal::Deleted, "gone"},
      {"deleted, some gateways watch for all", 8, Removal::Deleted, "gone"},
      {"draining", 3, Removal::Drained, "leaving"}};
  for (const auto &row : rows) {
    SCOPED_TRACE(row.what);
    Fleet fleet(row.gateways);
    ASSERT_TRUE(fleet.wait_ready());
    std::string engine = fleet.world.plain_engines[0];
    replace_peers(fleet, 0, [&] {
      fleet.world.retire("plain", engine, row.end == Removal::Drained);
    });
    ASSERT_TRUE(peers_logged(fleet, "engine=" + fleet.world.last_engine() +
                                        " outcome=ready"));
    ASSERT_TRUE(fleet.until([&] {
      return fleet.logged(0, "engine=" + engine + " outcome=" + row.outcome);
    }));
    fleet.world.engine_requests.clear();
    for (int i = 0; i < 20; i++)
      EXPECT_EQ(fleet.ask(0, "/safe/x", "key-w1"), 200);
    EXPECT_EQ(fleet.world.engine_requests[engine], 0);
  }
}

// Publishes a version in which the second workspace has these keys.
void publish_keys (Fleet &fleet, const std::vector<std::string> &keys) {
  std::string list;
  for (const std::string &key : keys)
    list += (list.empty() ? "\"" : ",\"") + key + "\"";
  fleet.world.put(
      "op/config",
      ::World::config(++fleet.world.version, "key-w1", "",
                      ",{\"name\":\"w2\",\"api_keys\":[" + list + "]}"));
}

// Guards against a table of denials that is full: the 257th key that one
// version revokes was served, and so was each key after those that fit into a
// message.
TEST(StoreRefusal, RefusesAllKeysThatOneVersionRevokes) {
  for (bool peers_restart : {false, true})
    for (int count : {300, 2000}) {
      SCOPED_TRACE(count);
      SCOPED_TRACE(peers_restart ? "the peers read a list" : "they watch");
      Fleet fleet(3);
      ASSERT_TRUE(fleet.wait_ready());
      std::vector<std::string> keys;
      for (int i = 0; i < count; i++)
        keys.push_back("many-" + std::to_string(i));
      publish_keys(fleet, keys);
      ASSERT_TRUE(
          fleet.all_logged("configuration version=3 outcome=in-force"));
      std::string kept = keys[(size_t)count / 2];
      auto revoke = [&] { publish_keys(fleet, {kept}); };
      if (peers_restart) {
        replace_peers(fleet, 0, revoke);
      } else {
        fleet.reject_store_calls(0, 0);
        revoke();
      }
      ASSERT_TRUE(
          peers_logged(fleet, "configuration version=4 outcome=in-force"));
      for (int i : {0, 100, 255, 256, 257, 299, count - 2, count - 1})
        EXPECT_TRUE(fleet.until([&] {
          return fleet.ask(0, "/safe/x", keys[(size_t)i], "w2") == 503;
        })) << i;
      EXPECT_EQ(fleet.ask(0, "/safe/x", kept, "w2"), 200);
      EXPECT_EQ(fleet.ask(0, "/safe/x", "key-w1"), 200);
    }
}

// An evacuation that ended unseen, likewise.
TEST(StoreRefusal, UsesADomainAgainWhoseReinstatementNoPeerRead) {
  Fleet fleet(3);
  ASSERT_TRUE(fleet.wait_ready());
  // The middle one of three stays, another one begins.
  for (const char *domain : {"d7", "d8", "d2"}) {
    fleet.world.evacuate(domain);
    ASSERT_TRUE(fleet.all_logged(std::string("evacuation domain=") + domain +
                                 " outcome=begun"));
  }
  replace_peers(fleet, 0, [&] {
    fleet.world.evacuate("d7");
    fleet.world.evacuate("d2");
    fleet.world.evacuate("d1");
    fleet.world.configure(); // the list's revision is past the evacuation
  });
  for (const char *line : {"domain=d7 outcome=over", "domain=d2 outcome=over",
                           "domain=d1 outcome=begun"})
    EXPECT_TRUE(fleet.until([&] {
      return fleet.logged(0, std::string("evacuation ") + line);
    })) << line;
  EXPECT_FALSE(fleet.logged(0, "evacuation domain=d8 outcome=over"));
  EXPECT_EQ(fleet.ask(0, "/safe/x", "key-w1"), 200);
}

} // namespace
