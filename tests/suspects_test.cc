// suspects_test.cc - requests suspected of crashing engines, in one table and
// among routers that share a simulated clock
#include <gtest/gtest.h>

#include <cstring>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "suspect_exchange.h"
#include "suspects_page.h"
}

namespace {

const uint64_t kDigest = 77;

// {== One table ============================================================

struct Table {
  mt_suspects_t suspects{};
  mt_ms_t now = 1000000;
  ~Table() {
    mt_suspects_free(&suspects);
  }
  bool ended (uint64_t engine, bool alone = false, mt_ms_t age = 0,
              uint64_t digest = kDigest) {
    const mt_suspect_end_t end = {engine, now - age, alone, 0, 0};
    return mt_suspects_add_end(&suspects, digest, &end, false, now);
  }
  bool answered (mt_ms_t age = 0) {
    return mt_suspects_clear(&suspects, kDigest, now - age, now);
  }
  mt_suspicion_t state (uint64_t digest = kDigest) const {
    return mt_suspects_state(&suspects, digest, now);
  }
  mt_trial_verdict_t attempt (uint64_t holder) {
    return mt_suspects_lease(&suspects, kDigest, 0, holder, 2000, now);
  }
};

// The history of one request: a letter is an engine that ends while running
// it (upper case: it ran alone), '+' an answer, '.' two seconds, ',' 150 ms.
TEST(Suspects, StateFollowsEndsAndAnswers) {
  struct Row {
    const char *what, *history;
    mt_suspicion_t state;
  } rows[] = {
      {"nothing", "", MT_SUSPICION_NONE},
      {"one end", "a", MT_SUSPICION_NOTED},
      {"two", "ab", MT_SUSPICION_PROBATION},
      {"two of four alone", "abCD", MT_SUSPICION_QUARANTINE},
      {"one of three alone", "abC", MT_SUSPICION_PROBATION},
      {"an engine that is back counts again", "a.a.A.A",
       MT_SUSPICION_QUARANTINE},
      {"alone, an engine back within a second counts again", "a,A,A",
       MT_SUSPICION_QUARANTINE},
      {"repeated reports of an end while alone", "aAAA", MT_SUSPICION_NOTED},
      {"later reports of the same end", "a,a,a", MT_SUSPICION_NOTED},
      {"several routers report the same end", "aaaa", MT_SUSPICION_NOTED},
      {"a failure domain loses power", "abcdefgh", MT_SUSPICION_PROBATION},
      {"more than the list holds", "abcdefghijklmnop",
       MT_SUSPICION_PROBATION},
      {"more than the list holds, two alone", "abcdefghijklmnopQR",
       MT_SUSPICION_QUARANTINE},
      {"two ends, both alone", "AB", MT_SUSPICION_PROBATION},
      {"an answer clears probation", "ab.+", MT_SUSPICION_NONE},
      {"an answer clears quarantine", "abCD.+", MT_SUSPICION_NONE},
      {"ends before an answer no longer count", "ab.+.a", MT_SUSPICION_NOTED},
      {"a frequent request, answered after each end", "a.+.b.+.c.+.d.+.e",
       MT_SUSPICION_NOTED},
  };
  for (const Row &row : rows) {
    SCOPED_TRACE(row.what);
    Table t;
    for (const char *p = row.history; *p != '\0'; p++) {
      if (*p == '.')
        t.now += 2000;
      else if (*p == ',')
        t.now += 150;
      else if (*p == '+')
        t.answered();
      else
        t.ended((uint64_t)tolower(*p), isupper(*p));
    }
    EXPECT_EQ(t.state(), row.state);
  }
}

// Each of two suspects at the same ends may be a bystander, until the other
// is cleared.
TEST(Suspects, EndsSharedWithAnotherSuspectDoNotCount) {
  Table t;
  const uint64_t other = 78;
  for (uint64_t engine : {'a', 'b', 'c', 'd'}) {
    bool alone = engine >= 'c';
    t.ended(engine, alone);
    t.now += 2000;
  }
  EXPECT_EQ(t.state(), MT_SUSPICION_QUARANTINE);
  t.ended('d', false, 2000, other); // one end: not a suspect yet
  EXPECT_EQ(t.state(), MT_SUSPICION_QUARANTINE);
  t.ended('e', false, 0, other);
  EXPECT_EQ(t.state(), MT_SUSPICION_PROBATION);
  EXPECT_EQ(mt_suspects_status(&t.suspects, kDigest, t.now).alone, 1);
  EXPECT_TRUE(mt_suspects_clear(&t.suspects, other, t.now, t.now));
  EXPECT_EQ(t.state(), MT_SUSPICION_QUARANTINE);
}

TEST(Suspects, AnswerClearsEarlierEnds) {
  Table t;
  t.ended('a');
  t.ended('b');
  EXPECT_FALSE(t.answered(10)); // before the first end
  EXPECT_EQ(t.state(), MT_SUSPICION_PROBATION);
  t.now += 5000;
  t.ended('c');
  EXPECT_TRUE(t.answered(10)); // before the last one only
  EXPECT_EQ(t.state(), MT_SUSPICION_NOTED);
  // A late or repeated report of an earlier end has no effect.
  EXPECT_TRUE(t.answered() || t.state() == MT_SUSPICION_NONE);
  EXPECT_FALSE(t.ended('a', false, 5000));
  EXPECT_EQ(t.state(), MT_SUSPICION_NONE);
}

TEST(Suspects, OneTrialAtATime) {
  Table t;
  EXPECT_EQ(t.attempt(1), MT_TRIAL_FREE);
  t.ended('a');
  EXPECT_EQ(t.attempt(1), MT_TRIAL_FREE);
  t.ended('b');
  EXPECT_EQ(t.attempt(1), MT_TRIAL_GRANTED);
  EXPECT_EQ(t.attempt(1), MT_TRIAL_GRANTED); // a duplicate datagram
  EXPECT_EQ(t.attempt(2), MT_TRIAL_BUSY);
  mt_suspects_release(&t.suspects, kDigest, 2); // not the holder
  EXPECT_EQ(t.attempt(2), MT_TRIAL_BUSY);
  mt_suspects_release(&t.suspects, kDigest, 1);
  EXPECT_EQ(t.attempt(2), MT_TRIAL_GRANTED);
  t.now += 1999;
  EXPECT_EQ(t.attempt(3), MT_TRIAL_BUSY);
  t.now += 1; // the lease has expired
  EXPECT_EQ(t.attempt(3), MT_TRIAL_GRANTED);
  t.ended('c', true); // ends the trial
  EXPECT_EQ(t.attempt(4), MT_TRIAL_GRANTED);
  t.ended('d', true);
  EXPECT_EQ(t.attempt(5), MT_TRIAL_REFUSED);
}

// After a quarantine one copy may run; each further quarantine lasts longer.
TEST(Suspects, QuarantineEndsInASingleTrial) {
  Table t;
  t.ended('a');
  t.ended('b');
  t.ended('c', true);
  t.ended('e', true);
  mt_ms_t before = 0;
  for (int i = 0; i < 4; i++) {
    mt_ms_t left = mt_suspects_status(&t.suspects, kDigest, t.now).left;
    EXPECT_GT(left, before);
    before = left;
    t.now += left - 1;
    EXPECT_EQ(t.attempt(5), MT_TRIAL_REFUSED);
    t.now += 1;
    EXPECT_EQ(t.state(), MT_SUSPICION_PROBATION);
    EXPECT_EQ(t.attempt(5), MT_TRIAL_GRANTED);
    EXPECT_EQ(t.attempt(6), MT_TRIAL_BUSY);
    t.ended('d', true);
    EXPECT_EQ(t.state(), MT_SUSPICION_QUARANTINE);
    t.now += 3000;
  }
  t.now += 1000ull * 3600 * 24;
  mt_suspects_expire(&t.suspects, t.now);
  EXPECT_EQ(t.suspects.by_digest.used, 0u);
}

TEST(Suspects, TableIsBoundedAndKeepsSuspectsAboveThreshold) {
  Table t;
  t.ended('a');
  t.ended('b');
  t.ended('c', true);
  t.ended('e', true);
  for (uint64_t i = 1000; i < 100000; i++) t.ended('d', false, 0, i);
  EXPECT_LE(t.suspects.by_digest.used, 4096u);
  EXPECT_EQ(t.state(), MT_SUSPICION_QUARANTINE);
  EXPECT_EQ(t.state(99999), MT_SUSPICION_NOTED); // the newest
  for (uint64_t i = 1; i < 20000; i++)
    mt_suspects_record_answer(&t.suspects, i, t.now + i);
  EXPECT_EQ(mt_suspects_last_answer(&t.suspects, 1), 0u);
  EXPECT_EQ(mt_suspects_last_answer(&t.suspects, 19999), t.now + 19999);
  EXPECT_LE(t.suspects.answer_slots.used, 4096u);
}

TEST(Suspects, GreaterVersionWins) {
  Table t, other;
  t.ended('a');
  t.ended('b');
  mt_suspect_row_t row =
      mt_suspects_row(mt_suspects_get(&t.suspects, kDigest), t.now);
  EXPECT_TRUE(mt_suspects_merge(&other.suspects, &row, other.now));
  EXPECT_FALSE(mt_suspects_merge(&other.suspects, &row, other.now));
  EXPECT_EQ(other.state(), MT_SUSPICION_PROBATION);
  other.now += 2000; // a new owner goes on counting
  EXPECT_TRUE(other.ended('c', true));
  EXPECT_TRUE(other.ended('d', true));
  EXPECT_EQ(other.state(), MT_SUSPICION_QUARANTINE);
  EXPECT_FALSE(mt_suspects_merge(&other.suspects, &row, other.now));
  row.version += 5;
  row.listed = 0;
  EXPECT_TRUE(mt_suspects_merge(&other.suspects, &row, other.now));
  EXPECT_EQ(other.state(), MT_SUSPICION_NONE);
}

// }==

// {== Operators ============================================================

TEST(SuspectsPage, ParsesPathsAndListsStates) {
  struct Row {
    const char *path;
    bool matches;
    uint64_t digest;
  } rows[] = {{"/suspects", true, 0},
              {"/suspects/00000000000000ff", true, 255},
              {"/suspects/00000000000000fg", true, 0},
              {"/suspects/ff", true, 0},
              {"/suspects/00000000000000ff0", true, 0},
              {"/suspectsx", false, 0},
              {"/metrics", false, 0},
              {"/", false, 0}};
  for (const Row &row : rows) {
    mt_bytes_t path = {row.path, strlen(row.path)};
    EXPECT_EQ(mt_suspects_page_matches(path), row.matches) << row.path;
    EXPECT_EQ(mt_suspects_page_digest(path), row.digest) << row.path;
  }
  Table t;
  mt_strbuf_t out{};
  t.ended('a');
  t.ended('b');
  t.ended('c', true);
  t.ended('d', true);
  mt_suspects_page_list(&t.suspects, t.now, &out);
  EXPECT_EQ(std::string(out.p, out.n),
            "digest=000000000000004d state=quarantine ends=4 alone=2 "
            "left=600000\n");
  mt_strbuf_free(&out);
}

// }==

// {== Routers ==============================================================

struct Fleet;

struct Router {
  Fleet *fleet = nullptr;
  mt_membership_t members{};
  mt_suspects_t suspects{};
  mt_suspect_exchange_t exchange{};
  mt_peer_message_t out{};
  bool partitioned = false;
  mt_trial_verdict_t verdict = MT_TRIAL_COUNT;
  ~Router() {
    mt_suspects_free(&suspects);
    mt_membership_free(&members);
  }
};

struct Fleet {
  std::vector<std::unique_ptr<Router>> routers;
  std::map<uint32_t, Router *> by_ip;
  mt_ms_t now = 1000000;
  std::mt19937 random;
  unsigned loss = 0; // of 1,000 messages
  uint64_t bytes = 0;

  Fleet(int count, unsigned seed, unsigned lost_of_1000 = 0)
      : random(seed), loss(lost_of_1000) {
    for (int i = 0; i < count; i++) {
      routers.push_back(std::make_unique<Router>());
      Router *r = routers.back().get();
      r->fleet = this;
      r->members.own_ip = 0x0a000001u + (uint32_t)i * 0x101u;
      r->members.own_domain = (mt_id_t)(1 + i % 3);
      open(r);
      by_ip[r->members.own_ip] = r;
    }
    run(0);
  }
  void open (Router *r) {
    const mt_suspect_exchange_callbacks_t callbacks = {begin, send, tried,
                                                       note, r};
    mt_suspect_exchange_open(&r->exchange, &r->members, &r->suspects,
                             &callbacks, random());
  }
  // Restarts a router, which loses its table.
  void restart (Router *r) {
    mt_suspects_free(&r->suspects);
    r->suspects = mt_suspects_t{};
    open(r);
    for (auto &other : routers)
      if (other.get() != r && !other->partitioned && !r->partitioned)
        mt_suspect_exchange_sync_peer(&other->exchange, r->members.own_ip);
  }
  static mt_peer_message_t *begin (void *ud, mt_peer_kind_t kind) {
    auto *r = (Router *)ud;
    mt_peer_message_begin(&r->out, kind);
    return &r->out;
  }
  static void send (void *ud, const uint32_t *to, size_t count) {
    auto *r = (Router *)ud;
    char packed[MT_PEER_DATAGRAM_MAX];
    size_t n = mt_peer_message_pack(&r->out, packed, sizeof packed);
    ASSERT_GT(n, 0u);
    auto copy = std::make_unique<mt_peer_message_t>();
    ASSERT_TRUE(mt_peer_message_unpack(copy.get(), packed, n));
    std::vector<uint32_t> list(to, to + count);
    for (uint32_t ip : list) {
      Router *other = r->fleet->by_ip[ip];
      r->fleet->bytes += n;
      if (other->partitioned != r->partitioned) continue;
      if (r->fleet->random() % 1000 < r->fleet->loss) continue;
      mt_peer_t *peer = mt_membership_add(&other->members, r->members.own_ip);
      mt_suspect_exchange_receive(&other->exchange, peer, copy.get());
    }
  }
  static void tried (void *ud, const mt_suspect_message_t *,
                     mt_trial_verdict_t verdict) {
    ((Router *)ud)->verdict = verdict;
  }
  static void note (void *, const mt_suspect_t *, uint32_t, const char *) {
  }
  void run (mt_ms_t ms) {
    for (mt_ms_t end = now + ms; now <= end; now += 25)
      for (auto &r : routers) {
        for (auto &other : routers) {
          mt_peer_t *peer =
              mt_membership_add(&r->members, other->members.own_ip);
          if (peer != nullptr) peer->domain = other->members.own_domain;
          if (peer != nullptr && other->partitioned == r->partitioned)
            peer->last_seen = now;
        }
        mt_membership_update(&r->members, now);
        mt_suspect_exchange_tick(&r->exchange);
      }
  }
  void send_message (size_t router, mt_suspect_message_kind_t kind,
                     uint64_t engine = 0, bool alone = false) {
    const mt_suspect_message_t message = {.kind = kind,
                                          .digest = kDigest,
                                          .engine = engine,
                                          .request = router + 1,
                                          .alone = alone,
                                          .age = 0,
                                          .lease = 5000,
                                          .workspace = 0,
                                          .known = false};
    mt_suspect_exchange_send(&routers[router]->exchange, &message);
  }
  // Reports an end three times, as routers do.
  void ended (size_t router, uint64_t engine, bool alone = false) {
    for (int i = 0; i < 3; i++) {
      send_message(router, MT_SUSPECT_MESSAGE_ENDED, engine, alone);
      run(100);
    }
  }
  mt_trial_verdict_t attempt (size_t router) {
    routers[router]->verdict = MT_TRIAL_COUNT;
    send_message(router, MT_SUSPECT_MESSAGE_LEASE);
    return routers[router]->verdict;
  }
  size_t count_in (mt_suspicion_t state) {
    size_t count = 0;
    for (auto &r : routers)
      count += mt_suspects_state(&r->suspects, kDigest, now) == state;
    return count;
  }
};

TEST(SuspectExchange, AllRoutersConvergeWithinTheBound) {
  struct Row {
    const char *what;
    int routers;
    unsigned loss; // of 1,000 messages
  } rows[] = {{"one router", 1, 0},
              {"six", 6, 0},
              {"six, a tenth of the messages lost", 6, 100},
              {"85", 85, 0},
              {"85, a tenth of the messages lost", 85, 100}};
  for (const Row &row : rows)
    for (unsigned seed = 1; seed <= 3; seed++) {
      SCOPED_TRACE(row.what + std::string(", seed ") + std::to_string(seed));
      Fleet f(row.routers, seed, row.loss);
      size_t n = (size_t)row.routers;
      f.ended(0, 'a');
      EXPECT_LE(f.count_in(MT_SUSPICION_NOTED), 1u); // at its owner only
      f.ended(1 % n, 'b');
      f.run(2500);
      EXPECT_EQ(f.count_in(MT_SUSPICION_PROBATION), n);
      f.ended(2 % n, 'c', true);
      f.ended(3 % n, 'd', true);
      f.run(2500);
      EXPECT_EQ(f.count_in(MT_SUSPICION_QUARANTINE), n);
    }
}

TEST(SuspectExchange, OneCopyInTheWholeFleet) {
  Fleet f(6, 4);
  f.ended(0, 'a');
  f.ended(1, 'b');
  EXPECT_EQ(f.attempt(0), MT_TRIAL_GRANTED);
  for (size_t i = 1; i < 6; i++) EXPECT_EQ(f.attempt(i), MT_TRIAL_BUSY);
  f.send_message(0, MT_SUSPECT_MESSAGE_RELEASE);
  EXPECT_EQ(f.attempt(3), MT_TRIAL_GRANTED);
  f.send_message(3, MT_SUSPECT_MESSAGE_ANSWERED);
  EXPECT_EQ(f.count_in(MT_SUSPICION_PROBATION), 0u);
  for (size_t i = 0; i < 6; i++) EXPECT_EQ(f.attempt(i), MT_TRIAL_FREE);
}

TEST(SuspectExchange, OneSuspectAtAnEngine) {
  Fleet f(6, 9);
  f.send_message(1, MT_SUSPECT_MESSAGE_LEASE_ENGINE, 'e');
  EXPECT_EQ(f.routers[1]->verdict, MT_TRIAL_GRANTED);
  f.send_message(2, MT_SUSPECT_MESSAGE_LEASE_ENGINE, 'e');
  EXPECT_EQ(f.routers[2]->verdict, MT_TRIAL_BUSY);
  f.send_message(3, MT_SUSPECT_MESSAGE_LEASE_ENGINE, 'f');
  EXPECT_EQ(f.routers[3]->verdict, MT_TRIAL_GRANTED);
  f.send_message(1, MT_SUSPECT_MESSAGE_RELEASE_ENGINE, 'e');
  f.send_message(2, MT_SUSPECT_MESSAGE_LEASE_ENGINE, 'e');
  EXPECT_EQ(f.routers[2]->verdict, MT_TRIAL_GRANTED);
}

// A router that has answered the request completely since its first end
// clears the suspect: a frequent harmless request is answered all the time.
TEST(SuspectExchange, RouterThatAnsweredClearsTheSuspect) {
  Fleet f(6, 5);
  f.ended(0, 'a');
  f.run(1000);
  mt_suspects_record_answer(&f.routers[4]->suspects, kDigest, f.now);
  f.run(1000);
  f.ended(1, 'b');
  EXPECT_EQ(f.count_in(MT_SUSPICION_PROBATION), 0u);
  EXPECT_EQ(f.attempt(2), MT_TRIAL_FREE);
}

TEST(SuspectExchange, SurvivesRestartsOfAllRouters) {
  Fleet f(6, 6);
  f.ended(0, 'a');
  f.ended(1, 'b');
  f.ended(2, 'c', true);
  f.ended(3, 'd', true);
  f.run(1000);
  for (auto &r : f.routers) {
    f.restart(r.get());
    EXPECT_EQ(mt_suspects_state(&r->suspects, kDigest, f.now),
              MT_SUSPICION_QUARANTINE);
  }
}

TEST(SuspectExchange, PartitionedRoutersCatchUp) {
  Fleet f(9, 7);
  for (size_t i = 0; i < 9; i += 3) f.routers[i]->partitioned = true;
  f.run(4000);
  f.ended(1, 'a');
  f.ended(2, 'b');
  f.ended(4, 'c', true);
  f.ended(5, 'd', true);
  f.run(1000);
  EXPECT_EQ(f.count_in(MT_SUSPICION_QUARANTINE), 6u);
  for (auto &r : f.routers) r->partitioned = false;
  f.run(2800);
  EXPECT_EQ(f.count_in(MT_SUSPICION_QUARANTINE), 9u);
}

// Sizes of packed messages: the report of an end for one name, and a row with
// all its ends.
TEST(SuspectExchange, MessagesAreSmall) {
  char packed[MT_PEER_DATAGRAM_MAX];
  auto m = std::make_unique<mt_peer_message_t>();
  mt_peer_message_begin(m.get(), MT_PEER_SUSPECT_MESSAGE);
  m->boot = UINT64_MAX;
  m->number = UINT32_MAX;
  m->suspect_message = {MT_SUSPECT_MESSAGE_ENDED,
                        UINT64_MAX,
                        UINT64_MAX,
                        UINT32_MAX,
                        true,
                        800,
                        0,
                        UINT32_MAX,
                        true};
  EXPECT_LE(mt_peer_message_pack(m.get(), packed, sizeof packed), 100u);
  mt_peer_message_begin(m.get(), MT_PEER_SUSPECTS);
  size_t empty = mt_peer_message_pack(m.get(), packed, sizeof packed);
  mt_suspect_row_t row{};
  row.digest = UINT64_MAX;
  row.version = UINT16_MAX;
  row.listed = MT_SUSPECT_ENDS_MAX;
  row.age = row.expires_in = 7200000;
  for (mt_suspect_end_t &end : row.list)
    end = {UINT64_MAX, 7200000, true, UINT64_MAX, UINT32_MAX};
  row.known = true;
  for (int i = 0; i < 10; i++) m->suspects[m->suspects_count++] = row;
  size_t full = mt_peer_message_pack(m.get(), packed, sizeof packed);
  EXPECT_LE((full - empty) / 10, 150u);
}

// Traffic of a router with ten suspects while nothing changes.
TEST(SuspectExchange, IdleTrafficIsBounded) {
  Fleet f(85, 8);
  for (uint64_t d = 1; d <= 10; d++) {
    const mt_suspect_row_t row = {
        d * 7, 3,       {{d, 9, true, 0, 0}, {d + 1, 5, true, 0, 0}},
        2,     1,       0,
        10,    1800000, false};
    for (auto &r : f.routers) mt_suspects_merge(&r->suspects, &row, f.now);
  }
  f.bytes = 0;
  f.run(10000);
  EXPECT_LT(f.bytes / 85 / 10, 2000u); // bytes a second
}

// }==

} // namespace
