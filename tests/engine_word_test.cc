// engine_word_test.cc - what the relay makes of an engine's word of itself
#include <gtest/gtest.h>

#include "relay.h"

namespace {

class Heard : public Relay {
public:
  // Only the engines p1 to pN serve /again/ and /once/.
  explicit Heard(int engines) : Relay(engines) {
    declare();
  }
  void says (const std::string &engine, bool leaving, mt_ms_t rest,
             int64_t born = 0, bool told = false, mt_ms_t age = 0) {
    mt_relay_event_t event{};
    event.kind = MT_RELAY_NOTICE;
    event.u.notice.engine = find(engine)->key;
    event.u.notice.says = {leaving, rest};
    event.u.notice.leave = {now - age, born, told};
    step(event);
  }
  using Relay::find;
  // The engine that a request goes to now; empty: none.
  std::string goes_to (uint64_t number, const char *path = "/again/x") {
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

TEST(EngineWord, LeavingHoldsForTheStartThatSaidSo) {
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
    Heard r(1);
    mt_engine_t *e = r.find("p1");
    e->born = row.listed;
    r.says("p1", true, 0, row.said, row.told);
    r.now += row.later;
    EXPECT_EQ(mt_engine_stays(e, r.now), row.stays) << row.what;
    EXPECT_EQ(r.goes_to(1), row.stays ? "p1" : "") << row.what;
  }
}

// What this router heard itself is not forgotten for others' older word.
TEST(EngineWord, OwnWordOutlastsOthers) {
  Heard r(1);
  r.says("p1", true, 0, 5);
  r.says("p1", true, 0, 5, true);
  r.now += 3600000;
  EXPECT_FALSE(mt_engine_stays(r.find("p1"), r.now));
  Heard other(1);
  other.says("p1", true, 0, 5, true);
  other.says("p1", true, 0, 5);
  other.now += 3600000;
  EXPECT_FALSE(mt_engine_stays(other.find("p1"), other.now));
}

// The list, a connection, and answers to what was sent before say nothing
// against it.
TEST(EngineWord, NothingButAnotherStartUndoesALeaving) {
  Heard r(1);
  mt_engine_t *e = r.find("p1");
  EXPECT_EQ(r.goes_to(1), "p1");
  r.sent(1);
  r.says("p1", true, 0, 5);
  e->state = MT_ENGINE_READY;
  mt_engine_reached(e, true, r.now);
  r.head(1, 200);
  r.end(1);
  EXPECT_EQ(r.goes_to(2), "");
  EXPECT_EQ(r.refusal(), MT_RELAY_NO_ENGINE);
  mt_engine_restarted(e);
  e->born = 6;
  EXPECT_EQ(r.goes_to(3), "p1");
}

// One that gets no work for another reason still gives what it has read.
TEST(EngineWord, NothingIsFetchedFromALeavingEngine) {
  for (bool leaving : {false, true}) {
    Heard r(2);
    mt_engine_t *giver = r.find("m1");
    giver->evacuated = true;
    const mt_prefix_part_t part = {7, 500};
    mt_prefix_cache_use(&giver->kept, &part, 1, 100000);
    if (leaving) r.says("m1", true, 0);
    r.ask(1, "/stream/x");
    const mt_relay_effect_t *fx = r.find(MT_RELAY_DO_START, 1);
    ASSERT_NE(fx, nullptr);
    EXPECT_EQ(fx->u.start.engine, r.find("m2")->key);
    EXPECT_EQ(fx->u.start.source, leaving ? 0u : giver->key);
  }
}

// A keeper hands out no place at it, and no home is there.
TEST(EngineWord, KeepersOfferNoLeavingEngine) {
  Heard r(2);
  uint64_t key = r.find("m1")->key;
  EXPECT_NE(mt_relay_admission(r.relay, key, true), MT_ADMIT_NONE);
  r.says("m1", true, 0);
  EXPECT_EQ(mt_relay_admission(r.relay, key, true), MT_ADMIT_NONE);
}

// What was chosen before and waits for a connection goes elsewhere, and that
// costs it none of its attempts.
TEST(EngineWord, WhatWaitsForAConnectionIsWithdrawn) {
  Heard r(2);
  std::string engine = r.goes_to(1, "/once/x");
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

TEST(EngineWord, WhatRunsThereRunsOn) {
  Heard r(2);
  std::string engine = r.goes_to(1);
  r.sent(1);
  r.says(engine, true, 0);
  EXPECT_EQ(r.effects.count, 0u);
  r.head(1, 200);
  r.end(1);
  EXPECT_NE(r.find(MT_RELAY_DO_END, 1), nullptr);
}

// }==

} // namespace
