// engine_drain_backoff_test.cc - what the relay makes of an engine's word of
// itself
#include <gtest/gtest.h>

#include <utility>
#include <vector>

#include "relay.h"

namespace {

class NoticeRelay : public Relay {
public:
  // Only the engines p1 to pN serve /again/ and /once/.
  explicit NoticeRelay(int engines) : Relay(engines) {
    declare();
  }
  void says (const std::string &engine, bool leaving, mt_ms_t rest,
             int64_t started_at = 0, bool told = false, mt_ms_t age = 0) {
    mt_relay_event_t event{};
    event.kind = MT_RELAY_NOTICE;
    event.u.notice.engine = find(engine)->key;
    event.u.notice.says = {leaving, rest};
    event.u.notice.drain = {now - age, started_at, told};
    step(event);
  }
  // Another router says that an engine leaves, whether listed here or not.
  void gossip_drain (const std::string &engine, int64_t started_at) {
    mt_relay_event_t event{};
    event.kind = MT_RELAY_NOTICE;
    event.u.notice.engine = mt_engine_key(engine.data(), engine.size());
    event.u.notice.says = {true, 0};
    event.u.notice.drain = {now, started_at, true};
    step(event);
  }
  using Relay::find;
  // The engine that a request goes to now; empty: none.
  std::string placed_at (uint64_t number, const char *path = "/again/x") {
    ask(number, path);
    const mt_relay_effect_t *fx = find(MT_RELAY_DO_START, number);
    if (fx == nullptr) return "";
    return mt_engines_get(&relay->engines, fx->u.start.engine)->name;
  }
  void answered (uint64_t number, int status = 200) {
    sent(number);
    head(number, status);
    end(number);
  }
};

// {== Leaving ==============================================================

TEST(EngineDrainBackoff, DrainAppliesToTheIncarnationThatAdvertisedIt) {
  struct Row {
    const char *what;
    int64_t listed, said; // starts
    bool told;            // by another router
    mt_ms_t later;        // so much time has passed since
    bool stays;
  } rows[] = {
      {"its present start", 5, 5, false, 0, false},
      {"for good", 5, 5, false, 3600000, false},
      {"starts that are not told", 0, 0, false, 0, false},
      {"an earlier start", 5, 4, false, 0, true},
      {"a later start, listed late", 5, 6, false, 0, false},
      {"others heard it", 5, 5, true, 0, false},
      {"others heard it a minute ago", 5, 5, true, 60000, true},
      {"others heard an earlier start", 5, 4, true, 0, true},
  };
  for (const Row &row : rows) {
    NoticeRelay r(1);
    mt_engine_t *e = r.find("p1");
    e->started_at = row.listed;
    r.says("p1", true, 0, row.said, row.told);
    r.now += row.later;
    EXPECT_EQ(mt_engine_is_available(e, r.now), row.stays) << row.what;
    EXPECT_EQ(r.placed_at(1), row.stays ? "p1" : "") << row.what;
  }
}

// A router that was told of a leaving before it listed the engine dropped the
// word, and sent requests there for seconds.
TEST(EngineDrainBackoff, DrainGossipedBeforeListingIsApplied) {
  struct Row {
    const char *what;
    int64_t listed, said; // starts
    mt_ms_t later;        // it is listed so long after the word
    int others;           // engines that others told of since
    bool stays;
  } rows[] = {
      {"listed soon after", 5, 5, 2000, 0, false},
      {"starts that are not told", 0, 0, 2000, 0, false},
      {"a later start is listed", 6, 5, 2000, 0, true},
      {"an earlier start is listed", 4, 5, 2000, 0, false},
      {"told too long ago", 5, 5, 60000, 0, true},
      {"others were told of", 5, 5, 0, MT_EARLY_DRAINS_MAX - 1, false},
      {"more than are kept", 5, 5, 0, MT_EARLY_DRAINS_MAX, true},
  };
  for (const Row &row : rows) {
    NoticeRelay r(0);
    r.gossip_drain("late", row.said);
    for (int i = 0; i < row.others; i++) {
      r.now++;
      r.gossip_drain("other" + std::to_string(i), 5);
    }
    EXPECT_LE(r.relay->early_drains.count, (size_t)MT_EARLY_DRAINS_MAX);
    r.now += row.later;
    mt_engine_t *e = r.engine("late", "plain", 4);
    e->started_at = row.listed;
    mt_relay_engine_listed(r.relay, e, 0, r.now);
    EXPECT_EQ(mt_engine_is_available(e, r.now), row.stays) << row.what;
    EXPECT_EQ(r.placed_at(1), row.stays ? "late" : "") << row.what;
  }
}

// What this router heard itself is not forgotten for others' older word.
TEST(EngineDrainBackoff, DirectDrainOutlastsGossip) {
  NoticeRelay r(1);
  r.says("p1", true, 0, 5);
  r.says("p1", true, 0, 5, true);
  r.now += 3600000;
  EXPECT_FALSE(mt_engine_is_available(r.find("p1"), r.now));
  NoticeRelay other(1);
  other.says("p1", true, 0, 5, true);
  other.says("p1", true, 0, 5);
  other.now += 3600000;
  EXPECT_FALSE(mt_engine_is_available(other.find("p1"), other.now));
}

// The list, a connection, and answers to what was sent before say nothing
// against it.
TEST(EngineDrainBackoff, OnlyARestartEndsADrain) {
  NoticeRelay r(1);
  mt_engine_t *e = r.find("p1");
  EXPECT_EQ(r.placed_at(1), "p1");
  r.sent(1);
  r.says("p1", true, 0, 5);
  e->state = MT_ENGINE_READY;
  mt_engine_set_reachable(e, true, r.now);
  r.head(1, 200);
  r.end(1);
  EXPECT_EQ(r.placed_at(2), "");
  EXPECT_EQ(r.refusal(), MT_RELAY_NO_ENGINE);
  mt_engine_restarted(e);
  e->started_at = 6;
  EXPECT_EQ(r.placed_at(3), "p1");
}

// One that gets no work for another reason still gives what it has read.
TEST(EngineDrainBackoff, DrainingEngineIsNoFetchSource) {
  for (bool leaving : {false, true}) {
    NoticeRelay r(2);
    mt_engine_t *giver = r.find("m1");
    giver->evacuated = true;
    const mt_prefix_segment_t part = {7, 500};
    mt_prefix_cache_use(&giver->cached, &part, 1, 100000);
    if (leaving) r.says("m1", true, 0);
    r.ask(1, "/stream/x");
    const mt_relay_effect_t *fx = r.find(MT_RELAY_DO_START, 1);
    ASSERT_NE(fx, nullptr);
    EXPECT_EQ(fx->u.start.engine, r.find("m2")->key);
    EXPECT_EQ(fx->u.start.source, leaving ? 0u : giver->key);
  }
}

// An owner hands out no place at it, and no home is there.
TEST(EngineDrainBackoff, OwnersDoNotAdmitToDrainingEngines) {
  NoticeRelay r(2);
  uint64_t key = r.find("m1")->key;
  EXPECT_NE(mt_relay_admission(r.relay, key, true), MT_ADMIT_NONE);
  r.says("m1", true, 0);
  EXPECT_EQ(mt_relay_admission(r.relay, key, true), MT_ADMIT_NONE);
}

// What was chosen before and waits for a connection goes elsewhere, and that
// costs it none of its attempts.
TEST(EngineDrainBackoff, UnsentRequestsMoveElsewhere) {
  NoticeRelay r(2);
  std::string engine = r.placed_at(1, "/once/x");
  std::string other = engine == "p1" ? "p2" : "p1";
  r.says(engine, true, 0);
  EXPECT_NE(r.find(MT_RELAY_DO_CANCEL, 1), nullptr);
  const mt_relay_effect_t *fx = r.find(MT_RELAY_DO_START, 1);
  ASSERT_NE(fx, nullptr);
  EXPECT_EQ(fx->u.start.engine, r.find(other)->key);
  r.says(other, true, 0);
  EXPECT_EQ(r.refusal(), MT_RELAY_NO_ENGINE);
  EXPECT_TRUE(r.idle());
}

TEST(EngineDrainBackoff, RunningRequestsContinue) {
  NoticeRelay r(2);
  std::string engine = r.placed_at(1);
  r.sent(1);
  r.says(engine, true, 0);
  EXPECT_EQ(r.effects.count, 0u);
  r.head(1, 200);
  r.end(1);
  EXPECT_NE(r.find(MT_RELAY_DO_END, 1), nullptr);
}

// }==

// {== Rest =================================================================

// Words of an engine, each so long after the first, and when it may be tried
// again at the earliest and at the latest, behind the first.
TEST(EngineDrainBackoff, TheLongestBackoffApplies) {
  struct Row {
    const char *what;
    std::vector<std::pair<mt_ms_t, mt_ms_t>> words; // when, how long
    mt_ms_t earliest, latest;
  } rows[] = {
      {"one", {{0, 3000}}, 3000, 3300},
      {"a shorter one within it", {{0, 3000}, {500, 1000}}, 3000, 3300},
      {"a longer one within it", {{0, 3000}, {500, 4000}}, 4500, 4900},
      {"none within it", {{0, 3000}, {500, 0}}, 3000, 3300},
      {"one behind it", {{0, 1000}, {3000, 1000}}, 4000, 4100},
      {"without end", {{0, 1000000000}}, 60000, 66000},
  };
  for (const Row &row : rows) {
    NoticeRelay r(1);
    mt_ms_t begun = r.now;
    mt_engine_t *e = r.find("p1");
    for (auto &word : row.words) {
      r.now = begun + word.first;
      r.says("p1", false, word.second);
    }
    r.now = begun + row.earliest - 1;
    EXPECT_FALSE(mt_engine_takes_work(e, r.now)) << row.what;
    r.now = begun + row.latest;
    EXPECT_TRUE(mt_engine_takes_work(e, r.now)) << row.what;
  }
}

// What was sent before, a connection that comes up, a failure and a mechanism
// that is off say nothing of it.
TEST(EngineDrainBackoff, NothingEndsABackoffEarly) {
  NoticeRelay r(1);
  mt_engine_t *e = r.find("p1");
  EXPECT_EQ(r.placed_at(1), "p1");
  EXPECT_EQ(r.placed_at(2), "p1");
  r.sent(1);
  r.sent(2);
  r.relay->terms.off[MT_RELAY_REST] = true;
  r.says("p1", false, 3000);
  r.now += 100;
  r.head(1, 200);
  r.end(1);
  mt_engine_set_reachable(e, true, r.now);
  r.head(2, 500);
  mt_engine_failed(e, r.now);
  e->state = MT_ENGINE_READY;
  r.now += 2800;
  EXPECT_EQ(r.placed_at(3), "");
  EXPECT_EQ(r.refusal(), MT_RELAY_RESTING);
}

// Behind the rest one request goes first; the others when it was taken, or
// was not turned away for a moment.
TEST(EngineDrainBackoff, OneTrialRequestAfterBackoff) {
  enum class Outcome { Accepted, Failed, Rejected, Pending };
  struct Row {
    const char *what;
    Outcome outcome;
    mt_ms_t later;
    bool open;
  } rows[] = {
      {"under way", Outcome::Pending, 50, false},
      {"not turned away for a moment", Outcome::Pending, 100, true},
      {"taken", Outcome::Accepted, 5, true},
      {"it failed, which says nothing", Outcome::Failed, 5, false},
      {"turned away again", Outcome::Rejected, 100, false},
  };
  for (const Row &row : rows) {
    NoticeRelay r(1);
    r.says("p1", false, 1000);
    r.now += 1100;
    EXPECT_EQ(r.placed_at(1, "/once/x"), "p1") << row.what;
    r.sent(1);
    EXPECT_EQ(r.placed_at(2), "") << row.what;
    r.now += row.later;
    switch (row.outcome) {
      case Outcome::Accepted: r.head(1, 200); break;
      case Outcome::Failed: r.head(1, 500); break;
      case Outcome::Rejected:
        r.says("p1", false, 1000);
        r.head(1, 503, false, MT_RELAY_NOT_RUN);
        break;
      case Outcome::Pending: break;
    }
    EXPECT_EQ(r.placed_at(3), row.open ? "p1" : "") << row.what;
  }
}

// Whom nobody can serve before a rest is over comes back behind it, and not
// all in one moment.
TEST(EngineDrainBackoff, RetryAfterIsPastTheBackoffAndSpread) {
  NoticeRelay r(2);
  r.says("p1", false, 3000);
  r.says("p2", false, 2000);
  mt_ms_t least = 100000, most = 0;
  for (uint64_t i = 1; i <= 50; i++) {
    EXPECT_EQ(r.placed_at(i), "");
    EXPECT_EQ(r.refusal(), MT_RELAY_RESTING);
    mt_ms_t after = r.find(MT_RELAY_DO_REFUSE, i)->u.refuse.retry_after;
    least = std::min(least, after);
    most = std::max(most, after);
  }
  EXPECT_GE(least, 2000u);
  EXPECT_LE(most, 3000u);
  EXPECT_GT(most - least, 300u);
}

// Whoever reads the source learns that more engines are needed.
TEST(EngineDrainBackoff, LackOfEnginesIsRecorded) {
  NoticeRelay r(2);
  EXPECT_EQ(r.relay->lacked, 0u);
  r.says("p1", false, 3000);
  EXPECT_EQ(r.placed_at(1), "p2");
  EXPECT_EQ(r.relay->lacked, 0u);
  r.says("p2", true, 0);
  EXPECT_EQ(r.placed_at(2), "");
  EXPECT_EQ(r.relay->lacked, r.now);
}

// Another engine that takes work is no reason to wait for a rest.
TEST(EngineDrainBackoff, RetryAfterIgnoresBackoffWhileAnEngineIsAvailable) {
  NoticeRelay r(2);
  r.says("p1", false, 3000);
  EXPECT_EQ(r.placed_at(1), "p2");
  r.sent(1);
  r.head(1, 503, false, MT_RELAY_NOT_RUN);
  EXPECT_EQ(r.refusal(), MT_RELAY_SHED);
  EXPECT_LT(r.find(MT_RELAY_DO_REFUSE, 1)->u.refuse.retry_after, 400u);
}

// It is no failure: the engine is as good as before when its rest is over.
TEST(EngineDrainBackoff, BackoffIsNoFailure) {
  NoticeRelay r(1);
  for (uint64_t i = 1; i <= 3; i++) {
    EXPECT_EQ(r.placed_at(i, "/once/x"), "p1");
    r.sent(i);
    r.says("p1", false, 1000);
    r.head(i, 503);
    r.end(i);
    r.now += 1100;
  }
  EXPECT_EQ(r.find("p1")->failures, 0);
}

// A start answers before it is listed, and may ask for rest in that time: a
// router that forgot the rest as the list came sent it four requests too
// many.
//
//   t=136.068 node=g5 event=engine engine=i-19 outcome=asks-rest
//   t=136.138 node=g5 event=engine engine=i-19 outcome=restarted
//   t=136.139 node=g5 event=engine engine=i-19 outcome=asks-rest
TEST(EngineDrainBackoff, BackoffSurvivesARestart) {
  NoticeRelay r(1);
  r.says("p1", false, 3000);
  r.now += 70;
  mt_engine_restarted(r.find("p1"));
  r.says("p1", false, 1000);
  r.now += 1200;
  EXPECT_EQ(r.placed_at(1), "");
  EXPECT_EQ(r.refusal(), MT_RELAY_RESTING);
}

// }==

} // namespace
