// quarantine_test.cc - lost runs, suspects and their leases in the life of a
// request
#include <gtest/gtest.h>

#include <set>

#include "relay.h"

namespace {

const uint64_t kDigest = 99;

class QuarantineRelay : public Relay {
public:
  QuarantineRelay() : Relay(4) {
    declare();
  }
  void request_suspect (uint64_t number, const char *path = "/once/x") {
    request(number, path, "key-w1", 5000, 1000, "h.example", kDigest);
  }
  const mt_suspect_message_t *message (mt_suspect_message_kind_t kind) const {
    for (size_t i = 0; i < effects.count; i++)
      if (effects.list[i].kind == MT_RELAY_DO_SEND_TO_OWNER &&
          effects.list[i].u.message.kind == kind)
        return &effects.list[i].u.message;
    return nullptr;
  }
  uint64_t started () const {
    const mt_relay_effect_t *fx = find(MT_RELAY_DO_START);
    return fx != nullptr ? fx->u.start.engine : 0;
  }
  void probed (uint64_t engine, bool up, bool refused) {
    mt_relay_event_t event{};
    event.kind = MT_RELAY_PROBED;
    event.u.probed.engine = engine;
    event.u.probed.up = up;
    event.u.probed.refused = refused;
    step(event);
  }
  void tried (uint64_t number, mt_trial_verdict_t verdict,
              mt_suspect_message_kind_t kind = MT_SUSPECT_MESSAGE_LEASE,
              uint64_t engine = 0) {
    const mt_suspect_message_t asked = {kind, digest(), engine, number, false,
                                        0,    0,        0,      false};
    mt_relay_event_t event{};
    event.kind = MT_RELAY_TRIAL_ANSWERED;
    event.request = number;
    event.u.tried.message = &asked;
    event.u.tried.verdict = verdict;
    step(event);
  }
  // The owners of the suspect and of the engine grant their leases; returns
  // the engine that the request is sent to.
  uint64_t granted (uint64_t number) {
    tried(number, MT_TRIAL_GRANTED);
    if (message(MT_SUSPECT_MESSAGE_LEASE_ENGINE) == nullptr) return 0;
    uint64_t engine = message(MT_SUSPECT_MESSAGE_LEASE_ENGINE)->engine;
    tried(number, MT_TRIAL_GRANTED, MT_SUSPECT_MESSAGE_LEASE_ENGINE, engine);
    EXPECT_EQ(started(), engine);
    return engine;
  }
  // The relay's digest of the request for workspace w1.
  static uint64_t digest () {
    return mtV_mix(kDigest, mtV_id("w1", 2)) | 1;
  }
  void set_state (mt_suspicion_t state) {
    bool alone = state == MT_SUSPICION_QUARANTINE;
    const mt_suspect_row_t row = {digest(),
                                  9,
                                  {{901, 9000, false, 0, 0},
                                   {902, 6000, alone, 0, 0},
                                   {903, 0, alone, 0, 0}},
                                  3,
                                  0,
                                  0,
                                  9000,
                                  1800000,
                                  false};
    ASSERT_TRUE(mt_suspects_merge(&relay->suspects, &row, now));
    ASSERT_EQ(mt_suspects_state(&relay->suspects, digest(), now), state);
  }
};

TEST(Quarantine, LostRunCountsOnlyIfItsEngineEnded) {
  struct Row {
    const char *what;
    bool sent, up, refused, gone, reported;
  } rows[] = {
      {"connections are refused", true, false, true, false, true},
      {"connections come up", true, true, false, false, false},
      {"the engine is unreachable", true, false, false, false, false},
      {"the engine's entry is removed later", true, false, false, true, true},
      {"the request was not sent yet", false, false, true, false, false},
  };
  for (const Row &row : rows) {
    SCOPED_TRACE(row.what);
    QuarantineRelay r;
    r.request_suspect(1);
    uint64_t engine = r.started();
    ASSERT_NE(engine, 0u);
    if (row.sent) r.sent(1);
    r.fail(1, !row.sent);
    bool probes = r.find(MT_RELAY_DO_PROBE) != nullptr;
    EXPECT_EQ(probes, row.sent);
    r.probed(engine, row.up, row.refused);
    bool reported = r.message(MT_SUSPECT_MESSAGE_ENDED) != nullptr;
    if (row.gone) {
      mt_engine_t *e = mt_engines_get(&r.relay->engines, engine);
      mt_relay_engine_unlisted(r.relay, e, r.now, r.now);
      r.pass(25);
      reported = r.message(MT_SUSPECT_MESSAGE_ENDED) != nullptr;
    }
    EXPECT_EQ(reported, row.reported);
    if (!reported) continue;
    EXPECT_EQ(r.message(MT_SUSPECT_MESSAGE_ENDED)->digest,
              QuarantineRelay::digest());
    EXPECT_EQ(r.message(MT_SUSPECT_MESSAGE_ENDED)->engine, engine);
    EXPECT_FALSE(r.message(MT_SUSPECT_MESSAGE_ENDED)->alone);
  }
}

// Another engine at its address shows that it has ended before its entry in
// the list does.
TEST(Quarantine, ReplacedEngineHasEnded) {
  QuarantineRelay r;
  r.find("m2")->state = r.find("m3")->state = r.find("m4")->state =
      MT_ENGINE_GONE;
  r.request_suspect(1, "/events/x");
  uint64_t engine = r.started();
  r.sent(1);
  r.request(2, "/events/x");
  ASSERT_EQ(r.started(), engine);
  r.sent(2);
  r.fail(1);
  r.probed(engine, true, false);
  EXPECT_EQ(r.message(MT_SUSPECT_MESSAGE_ENDED), nullptr);
  r.head(2, 421, false, MT_RELAY_REPLACED);
  r.pass(25);
  ASSERT_NE(r.message(MT_SUSPECT_MESSAGE_ENDED), nullptr);
  EXPECT_EQ(r.message(MT_SUSPECT_MESSAGE_ENDED)->digest,
            QuarantineRelay::digest());
}

// An engine that breaks connections and ends seconds later has not ended
// under the runs that it broke off, if it was heard of meanwhile.
TEST(Quarantine, RunsThatTheirEngineOutlivedAreNoEnds) {
  for (mt_ms_t heard_after : {100, 300}) {
    SCOPED_TRACE(heard_after);
    QuarantineRelay r;
    r.set_state(MT_SUSPICION_PROBATION);
    r.request_suspect(1);
    uint64_t engine = r.granted(1);
    mt_engine_t *e = mt_engines_get(&r.relay->engines, engine);
    r.sent(1);
    r.fail(1);
    r.probed(engine, true, false);
    e->last_received = r.now + heard_after;
    bool ended = false, released = false;
    for (mt_ms_t end = r.now + 1000; r.now < end;) {
      r.pass(25);
      released |= r.message(MT_SUSPECT_MESSAGE_RELEASE) != nullptr;
    }
    EXPECT_EQ(released, heard_after == 300);
    r.probed(engine, false, true);
    ended = r.message(MT_SUSPECT_MESSAGE_ENDED) != nullptr;
    EXPECT_EQ(ended, heard_after == 100);
  }
}

// Datagrams may be lost, so the report is repeated.
TEST(Quarantine, EndIsReportedThreeTimes) {
  QuarantineRelay r;
  r.request_suspect(1);
  uint64_t engine = r.started();
  r.sent(1);
  r.fail(1);
  r.probed(engine, false, true);
  int reported = r.message(MT_SUSPECT_MESSAGE_ENDED) != nullptr;
  for (int i = 0; i < 400; i++) {
    r.pass(25);
    reported += r.message(MT_SUSPECT_MESSAGE_ENDED) != nullptr;
  }
  EXPECT_EQ(reported, 3);
  EXPECT_EQ(r.relay->lost.count, 0u);
}

TEST(Quarantine, QuarantinedRequestsAreRefused) {
  QuarantineRelay r;
  r.set_state(MT_SUSPICION_QUARANTINE);
  r.request_suspect(1);
  EXPECT_EQ(r.refusal(), MT_RELAY_QUARANTINED);
  EXPECT_EQ(r.find(MT_RELAY_DO_REFUSE)->u.refuse.retry_after, 600000u);
  EXPECT_EQ(mt_relay_refusal_status(MT_RELAY_QUARANTINED), 503);
  r.request(2, "/once/x", "key-w2", 5000, 1000, "h.example", kDigest);
  EXPECT_NE(r.started(), 0u); // of another workspace
  r.request(3, "/once/x", "key-w1", 5000, 1000, "h.example", kDigest + 1);
  EXPECT_NE(r.started(), 0u); // another request
}

TEST(Quarantine, SuspectsRunOnlyWithTheirOwnersLease) {
  struct Row {
    const char *what;
    mt_trial_verdict_t verdict;
    bool starts;
    mt_relay_refusal_t refusal;
  } rows[] = {
      {"granted", MT_TRIAL_GRANTED, true, MT_RELAY_REFUSAL_COUNT},
      {"free", MT_TRIAL_FREE, true, MT_RELAY_REFUSAL_COUNT},
      {"another copy runs", MT_TRIAL_BUSY, false, MT_RELAY_ON_PROBATION},
      {"refused", MT_TRIAL_REFUSED, false, MT_RELAY_QUARANTINED},
      {"no answer", MT_TRIAL_COUNT, false, MT_RELAY_ON_PROBATION},
  };
  for (const Row &row : rows) {
    SCOPED_TRACE(row.what);
    QuarantineRelay r;
    r.set_state(MT_SUSPICION_PROBATION);
    r.request_suspect(1);
    ASSERT_NE(r.message(MT_SUSPECT_MESSAGE_LEASE), nullptr);
    EXPECT_EQ(r.message(MT_SUSPECT_MESSAGE_LEASE)->request, 1u);
    EXPECT_EQ(r.started(), 0u);
    if (row.verdict == MT_TRIAL_GRANTED) {
      EXPECT_NE(r.granted(1), 0u);
    } else if (row.verdict != MT_TRIAL_COUNT) {
      r.tried(1, row.verdict);
    } else {
      r.pass(25);
      r.pass(25);
      if (r.refusal() == MT_RELAY_REFUSAL_COUNT) r.pass(25);
    }
    EXPECT_EQ(r.started() != 0, row.starts);
    EXPECT_EQ(r.refusal(), row.refusal);
  }
}

TEST(Quarantine, LeasesAreReleasedWhenATrialEnds) {
  struct Row {
    const char *what;
    int outcome;
    mt_suspect_message_kind_t message;
  } rows[] = {{"answered completely", 0, MT_SUSPECT_MESSAGE_ANSWERED},
              {"its caller left", 1, MT_SUSPECT_MESSAGE_RELEASE},
              {"its engine ended", 2, MT_SUSPECT_MESSAGE_ENDED},
              {"its engine still runs", 3, MT_SUSPECT_MESSAGE_RELEASE},
              {"granted too late", 4, MT_SUSPECT_MESSAGE_RELEASE}};
  for (const Row &row : rows) {
    SCOPED_TRACE(row.what);
    QuarantineRelay r;
    r.set_state(MT_SUSPICION_PROBATION);
    r.request_suspect(1, "/again/x");
    if (row.outcome == 4) {
      r.step(r.make_event(MT_RELAY_CALLER_DISCONNECTED, 1));
      r.tried(1, MT_TRIAL_GRANTED);
      EXPECT_NE(r.message(row.message), nullptr);
      continue;
    }
    uint64_t engine = r.granted(1);
    ASSERT_NE(engine, 0u);
    r.sent(1);
    if (row.outcome == 0) {
      r.head(1, 200);
      r.end(1);
    } else if (row.outcome == 1) {
      r.step(r.make_event(MT_RELAY_CALLER_DISCONNECTED, 1));
    } else {
      r.fail(1);
      EXPECT_EQ(r.started(), 0u); // no retry at another engine
      EXPECT_EQ(r.message(MT_SUSPECT_MESSAGE_RELEASE), nullptr);
      r.probed(engine, row.outcome == 3, row.outcome == 2);
      for (int i = 0; i < 240 && r.message(row.message) == nullptr; i++)
        r.pass(25);
    }
    const mt_suspect_message_t *message = r.message(row.message);
    ASSERT_NE(message, nullptr);
    EXPECT_EQ(message->digest, QuarantineRelay::digest());
    EXPECT_EQ(message->alone, row.outcome == 2);
    EXPECT_NE(r.message(MT_SUSPECT_MESSAGE_RELEASE_ENGINE),
              nullptr); // whatever the outcome
  }
}

// A trial may crash its engine, so it goes where it would end the fewest
// requests.
TEST(Quarantine, TrialGoesToTheLeastLoadedEngine) {
  QuarantineRelay r;
  for (size_t i = 0; i < r.relay->engines.count; i++)
    r.relay->engines.list[i]->peers.running = 3;
  r.find("p3")->peers.running = 0;
  r.find("m2")->peers.running = 0;
  r.set_state(MT_SUSPICION_PROBATION);
  r.request_suspect(1);
  EXPECT_EQ(r.granted(1), r.find("p3")->key);
  r.step(r.make_event(MT_RELAY_CALLER_DISCONNECTED, 1));
  r.request_suspect(2, "/stream/x");
  EXPECT_EQ(r.granted(2), r.find("m2")->key);
}

// Two suspects at one engine would both be blamed for its end.
TEST(Quarantine, OneSuspectPerEngine) {
  QuarantineRelay r;
  r.set_state(MT_SUSPICION_PROBATION);
  r.request_suspect(1);
  r.tried(1, MT_TRIAL_GRANTED);
  ASSERT_NE(r.message(MT_SUSPECT_MESSAGE_LEASE_ENGINE), nullptr);
  uint64_t engine = r.message(MT_SUSPECT_MESSAGE_LEASE_ENGINE)->engine;
  r.tried(1, MT_TRIAL_BUSY, MT_SUSPECT_MESSAGE_LEASE_ENGINE, engine);
  EXPECT_EQ(r.refusal(), MT_RELAY_ON_PROBATION);
  EXPECT_NE(r.message(MT_SUSPECT_MESSAGE_RELEASE), nullptr);
  EXPECT_EQ(r.message(MT_SUSPECT_MESSAGE_RELEASE_ENGINE), nullptr);
  // A lease granted too late is released, and so is one whose request is
  // over.
  r.tried(1, MT_TRIAL_GRANTED, MT_SUSPECT_MESSAGE_LEASE_ENGINE, engine);
  ASSERT_NE(r.message(MT_SUSPECT_MESSAGE_RELEASE_ENGINE), nullptr);
  EXPECT_EQ(r.message(MT_SUSPECT_MESSAGE_RELEASE_ENGINE)->engine, engine);
  r.request_suspect(2);
  engine = r.granted(2);
  r.step(r.make_event(MT_RELAY_CALLER_DISCONNECTED, 2));
  ASSERT_NE(r.message(MT_SUSPECT_MESSAGE_RELEASE_ENGINE), nullptr);
  EXPECT_EQ(r.message(MT_SUSPECT_MESSAGE_RELEASE_ENGINE)->engine, engine);
  EXPECT_NE(r.message(MT_SUSPECT_MESSAGE_RELEASE), nullptr);
}

// Names that were reported in this step as of a kind, without repeats.
std::multiset<uint64_t> reported (const QuarantineRelay &r,
                                  mt_suspect_message_kind_t kind) {
  std::multiset<uint64_t> names;
  for (size_t i = 0; i < r.effects.count; i++)
    if (r.effects.list[i].kind == MT_RELAY_DO_SEND_TO_OWNER &&
        r.effects.list[i].u.message.kind == kind)
      names.insert(r.effects.list[i].u.message.digest);
  return names;
}

// The segment that all requests of the fixture share.
uint64_t shared_segment () {
  return mt_suspect_segment(7);
}

// An end is evidence against all that ran there, and each name is reported
// once for an engine.
TEST(Quarantine, EndsAreReportedForEachName) {
  QuarantineRelay r;
  for (size_t i = 0; i < r.relay->engines.count; i++)
    if (r.relay->engines.list[i] != r.find("m1"))
      r.relay->engines.list[i]->state = MT_ENGINE_GONE;
  for (uint64_t number : {1, 2}) {
    r.request_suspect(number, "/stream/x");
    r.sent(number);
  }
  r.request(3, "/stream/x", "key-w1", 5000, 1000, "h.example", kDigest + 1);
  r.sent(3);
  for (uint64_t number : {1, 2, 3}) r.fail(number);
  r.probed(r.find("m1")->key, false, true);
  const uint64_t other = mtV_mix(kDigest + 1, mtV_id("w1", 2)) | 1;
  EXPECT_EQ(reported(r, MT_SUSPECT_MESSAGE_ENDED),
            (std::multiset<uint64_t>{QuarantineRelay::digest(), other,
                                     shared_segment()}));
}

// What an answer clears: the request and its segments, unless it only tells
// that the engine did not come to generate.
TEST(Quarantine, AnswersClearNames) {
  struct Row {
    const char *what;
    int status;
    bool framed, clears_segments;
  } rows[] = {{"success", 200, true, true},
              {"an error of the engine", 500, true, false},
              {"not found", 404, true, false},
              {"success, unframed", 200, false, true},
              {"not found, unframed", 404, false, false}};
  for (const Row &row : rows) {
    SCOPED_TRACE(row.what);
    QuarantineRelay r;
    r.request_suspect(1);
    uint64_t engine = r.started();
    r.sent(1);
    r.head(1, row.status, false, MT_RELAY_RAN, row.framed);
    r.end(1);
    if (!row.framed) {
      r.now += 300;
      mt_engines_get(&r.relay->engines, engine)->last_received = r.now;
      r.pass(25);
    }
    EXPECT_NE(mt_suspects_last_answer(&r.relay->suspects,
                                      QuarantineRelay::digest()),
              0u);
    EXPECT_EQ(mt_suspects_last_answer(&r.relay->suspects, shared_segment()) !=
                  0,
              row.clears_segments);
  }
}

// An unframed answer looks complete when its engine has ended. It clears its
// names once the engine is heard of later than that.
TEST(Quarantine, UnframedAnswersAreConfirmed) {
  enum Then { HeardAtOnce, HeardLater, Connects, Refuses, Unlisted, Silence };
  struct Row {
    const char *what;
    Then then;
    bool suspect, clears, ended;
  } rows[] = {
      {"bytes of the engine from the same moment", HeardAtOnce, false, false,
       false},
      {"bytes of the engine later", HeardLater, false, true, false},
      {"of a suspect: the engine accepts connections", Connects, true, true,
       false},
      {"of a suspect: the engine refuses connections", Refuses, true, false,
       true},
      {"the engine's entry is removed", Unlisted, false, false, true},
      {"the engine's entry stays", Silence, false, true, false},
  };
  for (const Row &row : rows) {
    SCOPED_TRACE(row.what);
    QuarantineRelay r;
    if (row.suspect) r.set_state(MT_SUSPICION_PROBATION);
    r.request_suspect(1);
    uint64_t engine = row.suspect ? r.granted(1) : r.started();
    mt_engine_t *e = mt_engines_get(&r.relay->engines, engine);
    r.sent(1);
    r.head(1, 200, false, MT_RELAY_RAN, false);
    r.data(1, "body");
    r.end(1);
    EXPECT_NE(r.find(MT_RELAY_DO_END), nullptr); // it is delivered at once
    EXPECT_EQ(r.message(MT_SUSPECT_MESSAGE_ANSWERED), nullptr);
    EXPECT_EQ(r.message(MT_SUSPECT_MESSAGE_RELEASE), nullptr);
    mt_ms_t at = r.now;
    if (row.then == HeardAtOnce) e->last_received = at + 20;
    if (row.then == HeardLater) e->last_received = at + 200;
    if (row.then == Unlisted) mt_relay_engine_unlisted(r.relay, e, at, at);
    bool answered = false, ended = false, released = false, probes = false;
    for (int i = 0; i < 240 && (row.then == Silence || r.now < at + 1000);
         i++) {
      r.pass(25);
      probes = r.find(MT_RELAY_DO_PROBE) != nullptr;
      if (probes) r.probed(engine, row.then == Connects, row.then == Refuses);
      answered |= r.message(MT_SUSPECT_MESSAGE_ANSWERED) != nullptr;
      ended |= r.message(MT_SUSPECT_MESSAGE_ENDED) != nullptr;
      released |= r.message(MT_SUSPECT_MESSAGE_RELEASE) != nullptr;
    }
    mt_ms_t recorded = mt_suspects_last_answer(&r.relay->suspects,
                                               QuarantineRelay::digest());
    EXPECT_EQ(recorded, row.clears ? at : 0);
    EXPECT_EQ(answered, row.suspect && row.clears);
    EXPECT_EQ(released, row.suspect && row.clears);
    EXPECT_EQ(ended, row.ended);
  }
}

// A stream without framing that ends before its first event was broken off.
TEST(Quarantine, UnframedStreamWithoutEventsIsLost) {
  QuarantineRelay r;
  r.request_suspect(1, "/stream/x");
  r.sent(1);
  r.head(1, 200, true, MT_RELAY_RAN, false);
  r.end(1);
  EXPECT_EQ(r.find(MT_RELAY_DO_END), nullptr);
  EXPECT_NE(r.find(MT_RELAY_DO_PROBE), nullptr);
  EXPECT_NE(r.started(), 0u); // at another engine
}

// A segment that crashes engines does so as the answer begins. A stream that
// has gone on since clears its segments, and its end says nothing of them.
TEST(Quarantine, LongStreamsClearTheirSegments) {
  for (mt_ms_t gone_on : {500, 1500}) {
    SCOPED_TRACE(gone_on);
    bool outlived = gone_on > 1000;
    QuarantineRelay r;
    r.request_suspect(1, "/events/x");
    uint64_t engine = r.started();
    r.sent(1);
    r.head(1, 200, true);
    r.event(1, 1);
    r.now += gone_on;
    r.event(1, 2);
    mt_ms_t answered =
        mt_suspects_last_answer(&r.relay->suspects, shared_segment());
    EXPECT_EQ(answered, outlived ? r.now : 0);
    EXPECT_EQ(mt_suspects_last_answer(&r.relay->suspects,
                                      QuarantineRelay::digest()),
              0u);
    r.fail(1);
    r.probed(engine, false, true);
    EXPECT_EQ(reported(r, MT_SUSPECT_MESSAGE_ENDED).count(shared_segment()),
              outlived ? 0u : 1u);
    EXPECT_EQ(reported(r, MT_SUSPECT_MESSAGE_ENDED)
                  .count(QuarantineRelay::digest()),
              1u);
  }
}

// An engine that fails requests stays suspended though connections come up.
TEST(Quarantine, ProbeDoesNotResetFailures) {
  QuarantineRelay r;
  mt_engine_t *e = r.find("p1");
  e->failures = 5;
  e->suspended_until = r.now + 500;
  r.probed(e->key, true, false);
  EXPECT_EQ(e->failures, 5);
  EXPECT_GT(e->suspended_until, r.now);
}

} // namespace
