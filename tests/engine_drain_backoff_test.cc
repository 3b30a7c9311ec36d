// engine_drain_backoff_test.cc - how the relay treats engines that advertise
// a drain or ask for a backoff
#include <gtest/gtest.h>

#include <utility>
#include <vector>

#include "relay.h"

namespace {

class NoticeRelay : public Relay {
public:
  // Engines p1 to pN, and only they, serve /again/ and /once/.
  explicit NoticeRelay(int engines) : Relay(engines) {
    declare();
  }
  // An answer or, if `gossiped`, another router says that the engine drains
  // or asks for a backoff.
  void advertises (const std::string &engine, bool draining, mt_ms_t backoff,
                   int64_t started_at = 0, bool gossiped = false,
                   mt_ms_t age = 0) {
    mt_relay_event_t event{};
    event.kind = MT_RELAY_NOTICE;
    event.u.notice.engine = find(engine)->key;
    event.u.notice.advertises = {draining, backoff};
    event.u.notice.drain = {now - age, started_at, gossiped};
    step(event);
  }
  // Another router reports that an engine drains, which need not be listed.
  void gossip_drain (const std::string &engine, int64_t started_at) {
    mt_relay_event_t event{};
    event.kind = MT_RELAY_NOTICE;
    event.u.notice.engine = mt_engine_key(engine.data(), engine.size());
    event.u.notice.advertises = {true, 0};
    event.u.notice.drain = {now, started_at, true};
    step(event);
  }
  using Relay::find;
  // The engine that a new request is sent to; empty: none.
  std::string placed_at (uint64_t number, const char *path = "/again/x") {
    request(number, path);
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

// {== Drains ===============================================================

TEST(EngineDrainBackoff, DrainAppliesToTheIncarnationThatAdvertisedIt) {
  struct Row {
    const char *what;
    int64_t listed, advertised; // incarnations
    bool gossiped;              // by another router
    mt_ms_t later;              // time since then
    bool available;
  } rows[] = {
      {"its current incarnation", 5, 5, false, 0, false},
      {"does not expire", 5, 5, false, 3600000, false},
      {"unknown incarnations", 0, 0, false, 0, false},
      {"an earlier incarnation", 5, 4, false, 0, true},
      {"a later incarnation, not listed yet", 5, 6, false, 0, false},
      {"gossiped", 5, 5, true, 0, false},
      {"gossiped a minute ago", 5, 5, true, 60000, true},
      {"gossiped, of an earlier incarnation", 5, 4, true, 0, true},
  };
  for (const Row &row : rows) {
    NoticeRelay r(1);
    mt_engine_t *e = r.find("p1");
    e->started_at = row.listed;
    r.advertises("p1", true, 0, row.advertised, row.gossiped);
    r.now += row.later;
    EXPECT_EQ(mt_engine_is_available(e, r.now), row.available) << row.what;
    EXPECT_EQ(r.placed_at(1), row.available ? "p1" : "") << row.what;
  }
}

// Guards against a router that drops a drain notice of an engine it does not
// list yet, and then sends the engine requests for seconds.
TEST(EngineDrainBackoff, DrainGossipedBeforeListingIsApplied) {
  struct Row {
    const char *what;
    int64_t listed, advertised; // incarnations
    mt_ms_t later;              // time from the notice to the listing
    int others;                 // notices of other engines in between
    bool available;
  } rows[] = {
      {"listed soon after", 5, 5, 2000, 0, false},
      {"unknown incarnations", 0, 0, 2000, 0, false},
      {"a later incarnation is listed", 6, 5, 2000, 0, true},
      {"an earlier incarnation is listed", 4, 5, 2000, 0, false},
      {"the notice has expired", 5, 5, 60000, 0, true},
      {"the table is full", 5, 5, 0, MT_EARLY_DRAINS_MAX - 1, false},
      {"the notice was replaced", 5, 5, 0, MT_EARLY_DRAINS_MAX, true},
  };
  for (const Row &row : rows) {
    NoticeRelay r(0);
    r.gossip_drain("late", row.advertised);
    for (int i = 0; i < row.others; i++) {
      r.now++;
      r.gossip_drain("other" + std::to_string(i), 5);
    }
    EXPECT_LE(r.relay->early_drains.count, (size_t)MT_EARLY_DRAINS_MAX);
    r.now += row.later;
    mt_engine_t *e = r.engine("late", "plain", 4);
    e->started_at = row.listed;
    mt_relay_engine_listed(r.relay, e, 0, r.now);
    EXPECT_EQ(mt_engine_is_available(e, r.now), row.available) << row.what;
    EXPECT_EQ(r.placed_at(1), row.available ? "late" : "") << row.what;
  }
}

// A drain that this router received from the engine itself does not expire
// when the same drain is gossiped.
TEST(EngineDrainBackoff, DirectDrainOutlastsGossip) {
  NoticeRelay r(1);
  r.advertises("p1", true, 0, 5);
  r.advertises("p1", true, 0, 5, true);
  r.now += 3600000;
  EXPECT_FALSE(mt_engine_is_available(r.find("p1"), r.now));
  NoticeRelay other(1);
  other.advertises("p1", true, 0, 5, true);
  other.advertises("p1", true, 0, 5);
  other.now += 3600000;
  EXPECT_FALSE(mt_engine_is_available(other.find("p1"), other.now));
}

// Neither the list nor a connection nor answers to earlier requests end a
// drain.
TEST(EngineDrainBackoff, OnlyARestartEndsADrain) {
  NoticeRelay r(1);
  mt_engine_t *e = r.find("p1");
  EXPECT_EQ(r.placed_at(1), "p1");
  r.sent(1);
  r.advertises("p1", true, 0, 5);
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

// An engine that gets no requests for another reason, such as an evacuation,
// remains a fetch source.
TEST(EngineDrainBackoff, DrainingEngineIsNoFetchSource) {
  for (bool draining : {false, true}) {
    NoticeRelay r(2);
    mt_engine_t *source_engine = r.find("m1");
    source_engine->evacuated = true;
    const mt_prefix_segment_t segment = {7, 500};
    mt_prefix_cache_use(&source_engine->cached, &segment, 1, 100000);
    if (draining) r.advertises("m1", true, 0);
    r.request(1, "/stream/x");
    const mt_relay_effect_t *fx = r.find(MT_RELAY_DO_START, 1);
    ASSERT_NE(fx, nullptr);
    EXPECT_EQ(fx->u.start.engine, r.find("m2")->key);
    EXPECT_EQ(fx->u.start.source, draining ? 0u : source_engine->key);
  }
}

// The owner of a draining engine admits no requests to it.
TEST(EngineDrainBackoff, OwnersDoNotAdmitToDrainingEngines) {
  NoticeRelay r(2);
  uint64_t key = r.find("m1")->key;
  EXPECT_NE(mt_relay_admission(r.relay, key, true), MT_ADMIT_NONE);
  r.advertises("m1", true, 0);
  EXPECT_EQ(mt_relay_admission(r.relay, key, true), MT_ADMIT_NONE);
}

// A request that still waits for a connection to the engine is sent to
// another one, which does not use up its attempts.
TEST(EngineDrainBackoff, UnsentRequestsMoveElsewhere) {
  NoticeRelay r(2);
  std::string engine = r.placed_at(1, "/once/x");
  std::string other = engine == "p1" ? "p2" : "p1";
  r.advertises(engine, true, 0);
  EXPECT_NE(r.find(MT_RELAY_DO_CANCEL, 1), nullptr);
  const mt_relay_effect_t *fx = r.find(MT_RELAY_DO_START, 1);
  ASSERT_NE(fx, nullptr);
  EXPECT_EQ(fx->u.start.engine, r.find(other)->key);
  r.advertises(other, true, 0);
  EXPECT_EQ(r.refusal(), MT_RELAY_NO_ENGINE);
  EXPECT_TRUE(r.idle());
}

TEST(EngineDrainBackoff, RunningRequestsContinue) {
  NoticeRelay r(2);
  std::string engine = r.placed_at(1);
  r.sent(1);
  r.advertises(engine, true, 0);
  EXPECT_EQ(r.effects.count, 0u);
  r.head(1, 200);
  r.end(1);
  EXPECT_NE(r.find(MT_RELAY_DO_END, 1), nullptr);
}

// }==

// {== Backoff ==============================================================

// Backoffs that an engine asks for, and the earliest and latest time at which
// it may get a request, all from the first of them on.
TEST(EngineDrainBackoff, TheLongestBackoffApplies) {
  struct Row {
    const char *what;
    std::vector<std::pair<mt_ms_t, mt_ms_t>> backoffs; // time, duration
    mt_ms_t earliest, latest;
  } rows[] = {
      {"one", {{0, 3000}}, 3000, 3300},
      {"a shorter one within it", {{0, 3000}, {500, 1000}}, 3000, 3300},
      {"a longer one within it", {{0, 3000}, {500, 4000}}, 4500, 4900},
      {"none within it", {{0, 3000}, {500, 0}}, 3000, 3300},
      {"one after it", {{0, 1000}, {3000, 1000}}, 4000, 4100},
      {"longer than the limit", {{0, 1000000000}}, 60000, 66000},
  };
  for (const Row &row : rows) {
    NoticeRelay r(1);
    mt_ms_t started = r.now;
    mt_engine_t *e = r.find("p1");
    for (auto &backoff : row.backoffs) {
      r.now = started + backoff.first;
      r.advertises("p1", false, backoff.second);
    }
    r.now = started + row.earliest - 1;
    EXPECT_FALSE(mt_engine_takes_work(e, r.now)) << row.what;
    r.now = started + row.latest;
    EXPECT_TRUE(mt_engine_takes_work(e, r.now)) << row.what;
  }
}

// Neither answers to earlier requests nor a new connection, a failure or the
// switch that turns suspensions off end a backoff.
TEST(EngineDrainBackoff, NothingEndsABackoffEarly) {
  NoticeRelay r(1);
  mt_engine_t *e = r.find("p1");
  EXPECT_EQ(r.placed_at(1), "p1");
  EXPECT_EQ(r.placed_at(2), "p1");
  r.sent(1);
  r.sent(2);
  r.relay->params.off[MT_RELAY_SUSPEND] = true;
  r.advertises("p1", false, 3000);
  r.now += 100;
  r.head(1, 200);
  r.end(1);
  mt_engine_set_reachable(e, true, r.now);
  r.head(2, 500);
  mt_engine_failed(e, r.now);
  e->state = MT_ENGINE_READY;
  r.now += 2800;
  EXPECT_EQ(r.placed_at(3), "");
  EXPECT_EQ(r.refusal(), MT_RELAY_BACKOFF);
}

// After the backoff one request is sent as a trial; the others follow once
// the engine has accepted it, or has not rejected it within 100 ms.
TEST(EngineDrainBackoff, OneTrialRequestAfterBackoff) {
  enum class Outcome { Accepted, Failed, Rejected, Pending };
  struct Row {
    const char *what;
    Outcome outcome;
    mt_ms_t later;
    bool open;
  } rows[] = {
      {"in progress", Outcome::Pending, 50, false},
      {"not rejected within 100 ms", Outcome::Pending, 100, true},
      {"accepted", Outcome::Accepted, 5, true},
      {"failed, which is no acceptance", Outcome::Failed, 5, false},
      {"rejected again", Outcome::Rejected, 100, false},
  };
  for (const Row &row : rows) {
    NoticeRelay r(1);
    r.advertises("p1", false, 1000);
    r.now += 1100;
    EXPECT_EQ(r.placed_at(1, "/once/x"), "p1") << row.what;
    r.sent(1);
    EXPECT_EQ(r.placed_at(2), "") << row.what;
    r.now += row.later;
    switch (row.outcome) {
      case Outcome::Accepted: r.head(1, 200); break;
      case Outcome::Failed: r.head(1, 500); break;
      case Outcome::Rejected:
        r.advertises("p1", false, 1000);
        r.head(1, 503, false, MT_RELAY_NOT_RUN);
        break;
      case Outcome::Pending: break;
    }
    EXPECT_EQ(r.placed_at(3), row.open ? "p1" : "") << row.what;
  }
}

// While all engines are under backoff, the Retry-After of refused callers is
// past the end of the first backoff, and spread so that they do not all retry
// at once.
TEST(EngineDrainBackoff, RetryAfterIsPastTheBackoffAndSpread) {
  NoticeRelay r(2);
  r.advertises("p1", false, 3000);
  r.advertises("p2", false, 2000);
  mt_ms_t shortest = 100000, longest = 0;
  for (uint64_t i = 1; i <= 50; i++) {
    EXPECT_EQ(r.placed_at(i), "");
    EXPECT_EQ(r.refusal(), MT_RELAY_BACKOFF);
    mt_ms_t after = r.find(MT_RELAY_DO_REFUSE, i)->u.refuse.retry_after;
    shortest = std::min(shortest, after);
    longest = std::max(longest, after);
  }
  EXPECT_GE(shortest, 2000u);
  EXPECT_LE(longest, 3000u);
  EXPECT_GT(longest - shortest, 300u);
}

// The relay records when it last refused a request for lack of an engine, so
// that added engines are read from the store without delay.
TEST(EngineDrainBackoff, LackOfEnginesIsRecorded) {
  NoticeRelay r(2);
  EXPECT_EQ(r.relay->no_engine_at, 0u);
  r.advertises("p1", false, 3000);
  EXPECT_EQ(r.placed_at(1), "p2");
  EXPECT_EQ(r.relay->no_engine_at, 0u);
  r.advertises("p2", true, 0);
  EXPECT_EQ(r.placed_at(2), "");
  EXPECT_EQ(r.relay->no_engine_at, r.now);
}

// A caller need not wait for a backoff while another engine is available.
TEST(EngineDrainBackoff, RetryAfterIgnoresBackoffWhileAnEngineIsAvailable) {
  NoticeRelay r(2);
  r.advertises("p1", false, 3000);
  EXPECT_EQ(r.placed_at(1), "p2");
  r.sent(1);
  r.head(1, 503, false, MT_RELAY_NOT_RUN);
  EXPECT_EQ(r.refusal(), MT_RELAY_REJECTED);
  EXPECT_LT(r.find(MT_RELAY_DO_REFUSE, 1)->u.refuse.retry_after, 400u);
}

// After its backoff the engine gets requests as before.
TEST(EngineDrainBackoff, BackoffIsNoFailure) {
  NoticeRelay r(1);
  for (uint64_t i = 1; i <= 3; i++) {
    EXPECT_EQ(r.placed_at(i, "/once/x"), "p1");
    r.sent(i);
    r.advertises("p1", false, 1000);
    r.head(i, 503);
    r.end(i);
    r.now += 1100;
  }
  EXPECT_EQ(r.find("p1")->failures, 0);
}

// A new incarnation answers before it is listed and may ask for a backoff in
// that time: a router that drops the backoff when it lists the restart, 70 ms
// later here, sends it requests too many (four in one run).
TEST(EngineDrainBackoff, BackoffSurvivesARestart) {
  NoticeRelay r(1);
  r.advertises("p1", false, 3000);
  r.now += 70;
  mt_engine_restarted(r.find("p1"));
  r.advertises("p1", false, 1000);
  r.now += 1200;
  EXPECT_EQ(r.placed_at(1), "");
  EXPECT_EQ(r.refusal(), MT_RELAY_BACKOFF);
}

// }==

} // namespace
