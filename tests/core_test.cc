// core_test.cc - the reducer: admission, grants, retries, outcomes, replay.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "reducer.h"

namespace {

const Fleet &small () {
  static Fleet *f = [] {
    Fleet *x = new Fleet;
    x->target("e1", "d0", 2);
    x->target("e2", "d0", 2);
    x->target("s1", "d0", 4, "s");
    for (int i = 1; i <= 4; i++) x->workspace("w" + std::to_string(i));
    return x;
  }();
  return *f;
}

TEST(Admission, RefusesAtTheDoorWithTheReason) {
  struct Row {
    const char *ws, *model;
    bool configured, draining;
    mt_rejection_t why;
  } rows[] = {
      {"w1", "m", false, false, MT_NO_CONFIG},
      {"nobody", "m", true, false, MT_BAD_KEY},
      {"w1", "other", true, false, MT_NO_MODEL},
      {"w1", "m", true, true, MT_DRAINING},
  };
  for (const Row &row : rows) {
    Router r;
    if (row.configured) r.configure(small(), 1);
    mt_event_t drain{};
    drain.kind = MT_EV_DRAIN;
    if (row.draining) r.step(drain);
    mt_ask_t a{};
    a.model = mt_bytes_t{row.model, strlen(row.model)};
    r.ask(1, row.ws, a);
    const mt_effect_t *fx = r.find(MT_FX_REFUSE, 1);
    ASSERT_NE(fx, nullptr);
    EXPECT_EQ(fx->u.refuse.why, row.why);
    EXPECT_TRUE(fx->u.refuse.notrun);
    EXPECT_EQ(r.S->counts.rejections[row.why], 1u);
  }
}

TEST(Admission, QueueOfAWorkspaceIsBounded) {
  Fleet f;
  f.target("e1", "d0", 1);
  f.workspace("w1");
  json_object_set_new(
      json_object_get(json_object_get(f.doc, "workspaces"), "w1"),
      "max_waiting", json_integer(3));
  Router r;
  r.configure(f, 1);
  r.tick();
  for (uint64_t i = 1; i <= 4; i++) r.ask(i, "w1"); // one runs, three wait
  EXPECT_EQ(r.find(MT_FX_REFUSE, 4), nullptr);
  r.ask(5, "w1");
  ASSERT_NE(r.find(MT_FX_REFUSE, 5), nullptr);
  EXPECT_EQ(r.find(MT_FX_REFUSE, 5)->u.refuse.why, MT_WS_QUEUE_FULL);
}

// What follows a failed attempt, and what the caller is told at the end.
TEST(Outcome, RetriesOnlyWhatIsSafeAndTellsTheTruth) {
  struct Row {
    const char *name;
    bool never, notrun[3];
    int attempts;
    mt_rejection_t why;
    bool toldnotrun;
  } rows[] = {
      {"never ran, repeatable",
       false,
       {1, 1, 1},
       3,
       MT_TARGET_UNREACHABLE,
       true},
      {"never ran, not repeatable",
       true,
       {1, 1, 1},
       3,
       MT_TARGET_UNREACHABLE,
       true},
      {"lost, not repeatable", true, {0, 0, 0}, 1, MT_TARGET_LOST, false},
      {"lost, repeatable", false, {0, 0, 0}, 3, MT_TARGET_LOST, false},
      {"lost once, then unreachable",
       false,
       {0, 1, 1},
       3,
       MT_TARGET_UNREACHABLE,
       false},
  };
  for (const Row &row : rows) {
    SCOPED_TRACE(row.name);
    Fleet f;
    for (int i = 0; i < 8; i++)
      f.target(("e" + std::to_string(i)).c_str(), "d0", 1);
    f.workspace("w1");
    Router r;
    r.configure(f, 1);
    r.tick();
    mt_ask_t a{};
    if (row.never) a.repeat = MT_REPEAT_NEVER;
    r.ask(1, "w1", a);
    int attempts = 0;
    const mt_effect_t *refused = nullptr;
    for (int i = 0; i < 100 && refused == nullptr; i++) {
      const mt_effect_t *start = r.find(MT_FX_START, 1);
      if (start != nullptr) {
        EXPECT_EQ(start->u.start.fresh, row.never);
        r.failed(1, start->attempt, row.notrun[attempts++]);
      } else {
        r.tick();
      }
      refused = r.find(MT_FX_REFUSE, 1);
    }
    ASSERT_NE(refused, nullptr);
    EXPECT_EQ(attempts, row.attempts);
    EXPECT_EQ(refused->u.refuse.why, row.why);
    EXPECT_EQ(refused->u.refuse.notrun, row.toldnotrun);
  }
}

TEST(Outcome, LateEventsOfAPastAttemptAreDroppedAndCounted) {
  Router r;
  r.configure(small(), 1);
  r.tick();
  r.ask(1, "w1");
  uint32_t first = r.find(MT_FX_START, 1)->attempt;
  r.failed(1, first, true);
  for (int i = 0; i < 40 && r.find(MT_FX_START, 1) == nullptr; i++) r.tick();
  ASSERT_NE(r.find(MT_FX_START, 1), nullptr);
  uint64_t before = r.S->counts.totals[MT_C_LATE_DROPPED];
  r.step(r.attempt(MT_EV_HEAD, 1, first));
  r.step(r.attempt(MT_EV_CHUNK, 1, first));
  r.step(r.attempt(MT_EV_END, 1, first));
  EXPECT_EQ(r.S->counts.totals[MT_C_LATE_DROPPED], before + 3);
  EXPECT_EQ(r.find(MT_FX_FORWARD, 1), nullptr);
}

// Claims: what each answer of the store leads to.
TEST(Claim, NotRepeatableRunsOnlyOnItsOwnClaim) {
  struct Row {
    mt_claim_t answer;
    bool starts, release;
    mt_rejection_t why;
    bool notrun;
  } rows[] = {
      {MT_CLAIM_OURS, true, false, MT_OK, false},
      {MT_CLAIM_OTHERS, false, false, MT_CLAIMED, false},
      {MT_CLAIM_AWAY, false, true, MT_STORE_UNREACHABLE, true},
  };
  for (const Row &row : rows) {
    Router r;
    r.configure(small(), 1);
    r.tick();
    mt_ask_t a{};
    a.service = true;
    a.repeat = MT_REPEAT_NEVER;
    a.idem = 99;
    r.ask(1, "w1", a);
    EXPECT_EQ(r.find(MT_FX_START, 1), nullptr);
    ASSERT_NE(r.find(MT_FX_CLAIM, 1), nullptr);
    mt_event_t ev = r.attempt(MT_EV_CLAIMED, 1, 0);
    ev.u.claimed.result = row.answer;
    ev.u.claimed.key = 99;
    r.step(ev);
    EXPECT_EQ(r.find(MT_FX_START, 1) != nullptr, row.starts);
    EXPECT_EQ(r.find(MT_FX_RELEASE, 1) != nullptr, row.release);
    const mt_effect_t *refused = r.find(MT_FX_REFUSE, 1);
    ASSERT_EQ(refused != nullptr, !row.starts);
    if (refused == nullptr) continue;
    EXPECT_EQ(refused->u.refuse.why, row.why);
    EXPECT_EQ(refused->u.refuse.notrun, row.notrun);
  }
}

TEST(Claim, SameKeyJoinsWhenRepeatableAndIsRefusedWhenNot) {
  for (bool never : {false, true}) {
    Router r;
    r.configure(small(), 1);
    r.tick();
    mt_ask_t a{};
    a.idem = 5;
    if (never) a.repeat = MT_REPEAT_NEVER;
    r.ask(1, "w1", a);
    r.ask(2, "w1", a);
    EXPECT_EQ(r.find(MT_FX_JOIN, 2) != nullptr, !never);
    EXPECT_EQ(r.find(MT_FX_REFUSE, 2) != nullptr, never);
  }
}

TEST(Config, NeverGoesBackAndRefusesWhatIsFaulty) {
  Router r;
  Fleet bad;
  bad.target("x", "d0", 0); // no slots
  r.configure(small(), 5);
  EXPECT_EQ(r.S->conf.revision, 5);
  r.configure(small(), 4);
  EXPECT_EQ(r.S->conf.revision, 5);
  r.configure(bad, 6);
  EXPECT_EQ(r.S->conf.revision, 5);
  EXPECT_EQ(r.S->counts.totals[MT_C_CONFIG_BAD], 1u);
  r.configure(small(), 7);
  EXPECT_EQ(r.S->conf.revision, 7);
}

// A watch that named the configuration's revision came back at once, always.
TEST(Config, TheWatchNamesTheStoresOwnRevision) {
  Router r;
  mt_event_t ev{};
  ev.kind = MT_EV_STORED;
  ev.u.stored.status = 200;
  ev.u.stored.revision = 3;
  ev.u.stored.written = 40;
  std::string head = "{\"revision\":3,\"sections\":{}}";
  ev.u.stored.text = bytesof(head);
  r.step(ev);
  r.tick();
  ASSERT_NE(r.find(MT_FX_WATCH, 0), nullptr);
  EXPECT_EQ(r.find(MT_FX_WATCH, 0)->u.revision, 40);
}

TEST(Leaving, ATargetThatLeavesGetsNothingNew) {
  Fleet f;
  f.target("e1", "d0", 1);
  f.target("e2", "d0", 8);
  f.workspace("w1");
  Router r;
  r.configure(f, 1);
  r.tick();
  f.target("e2", "d0", 8, "p", true);
  r.configure(f, 2);
  std::set<mt_id_t> used;
  for (uint64_t i = 1; i <= 20; i++) {
    r.ask(i, "w1");
    for (const mt_effect_t &e : r.out)
      if (e.kind == MT_FX_START) used.insert(e.u.start.target);
  }
  EXPECT_EQ(used, std::set<mt_id_t>{mtV_id("e1", 2)});
}

// A slot offered by another domain whose target turns out to be leaving.
TEST(Leaving, AnOfferOfALeavingTargetIsDeclined) {
  Fleet f;
  f.target("e1", "d0", 1);
  f.target("e9", "d9", 1, "p", true);
  f.workspace("w1");
  Router r;
  r.configure(f, 1);
  r.tick();
  r.ask(1, "w1");
  r.ask(2, "w1"); // waits
  mt_msg_t m{};
  m.kind = MT_M_OFFER;
  m.u.grant.domain = mtV_id("d9", 2);
  m.u.grant.todomain = mtV_id("d0", 2);
  m.u.grant.pool = mtV_id("p", 1);
  m.u.grant.issuer = 999;
  m.u.grant.target = mtV_id("e9", 2);
  m.u.grant.ws = mtV_id("w1", 2);
  m.u.grant.id = 5;
  mt_event_t ev{};
  ev.kind = MT_EV_PEER;
  ev.u.peer.from = 999;
  ev.u.peer.msg = &m;
  r.step(ev);
  EXPECT_EQ(r.find(MT_FX_START, 2), nullptr);
  r.ended(1, 1, 4);
  EXPECT_NE(r.find(MT_FX_START, 2), nullptr) << "still served at home";
}

TEST(Policy, ChoosesTargetsAndAFailureFallsBack) {
  struct Row {
    const char *program;
    bool onlye2;
    uint64_t failures;
  } rows[] = {
      {"function place(r, t) return {'e2'} end", true, 0},
      {"function place(r, t) return nil end", false, 0},
      {"function place(r, t) return {'nowhere'} end", false, 6},
      {"function place(r, t) while true do end end", false, 6},
  };
  for (const Row &row : rows) {
    Fleet f;
    f.target("e1", "d0", 4);
    f.target("e2", "d0", 4);
    f.workspace("w1");
    f.policy("default", row.program);
    Router r;
    r.configure(f, 1);
    r.tick();
    std::set<mt_id_t> used;
    for (uint64_t i = 1; i <= 6; i++) {
      r.ask(i, "w1");
      for (const mt_effect_t &e : r.out)
        if (e.kind == MT_FX_START) used.insert(e.u.start.target);
    }
    EXPECT_EQ(used.count(mtV_id("e1", 2)) == 0, row.onlye2) << row.program;
    EXPECT_EQ(r.S->counts.totals[MT_C_POLICY_FAILED], row.failures);
  }
}

// With and without a router of another domain, which cannot be heard: what
// waits here must not depend on it.
static void drainall (bool other) {
  Router r;
  r.configure(small(), 1);
  r.tick();
  mt_msg_t m{};
  m.kind = MT_M_HELLO;
  snprintf(m.u.hello.name, sizeof m.u.hello.name, "r9");
  snprintf(m.u.hello.domain, sizeof m.u.hello.domain, "d9");
  m.u.hello.inc = m.u.hello.boot = 5;
  mt_event_t hello{};
  hello.kind = MT_EV_PEER;
  hello.u.peer.from = mtV_id("r9", 2);
  hello.u.peer.msg = &m;
  if (other) r.step(hello);
  for (uint64_t i = 1; i <= 6; i++) r.ask(i, "w1"); // four run, two wait
  mt_event_t drain{};
  drain.kind = MT_EV_DRAIN;
  r.step(drain);
  std::map<uint64_t, uint32_t> running;
  for (auto &q : {1, 2, 3, 4}) running[(uint64_t)q] = 1;
  int answered = 0;
  for (int i = 0; i < 200 && !r.S->stopped; i++) {
    r.tick();
    for (const mt_effect_t &e : r.out) EXPECT_NE(e.kind, MT_FX_REFUSE);
    if (running.empty()) continue;
    auto it = running.begin();
    uint64_t id = it->first;
    uint32_t n = it->second;
    running.erase(it);
    r.step(r.attempt(MT_EV_HEAD, id, n));
    mt_event_t end = r.attempt(MT_EV_END, id, n);
    r.step(end);
    answered++;
    for (const mt_effect_t &e : r.out)
      if (e.kind == MT_FX_START) running[e.req] = e.attempt;
  }
  EXPECT_EQ(answered, 6);
  EXPECT_TRUE(r.S->stopped);
}

TEST(Drain, FinishesWhatIsInHandAndStops) {
  drainall(false);
  drainall(true);
}

// A random run: what callers and targets would see, checked at every step.
struct World {
  Router r;
  uint64_t seed, next = 1;
  std::map<uint64_t, std::pair<mt_id_t, uint32_t>> running;
  std::map<uint64_t, int> answers, starts;
  std::map<std::string, int64_t> served;
  std::map<uint64_t, std::string> owner;
  std::map<uint64_t, int64_t> cost;
  std::set<uint64_t> waiting;

  explicit World(uint64_t s) : seed(s) {
    r.configure(small(), 1);
    r.tick();
  }
  uint64_t rnd (uint64_t n) {
    return mtV_random(&seed) % n;
  }
  void absorb () {
    for (const mt_effect_t &e : r.out) {
      if (e.kind == MT_FX_START) {
        running[e.req] = {e.u.start.target, e.attempt};
        starts[e.req]++;
        waiting.erase(e.req);
      }
      if (e.kind == MT_FX_REFUSE) {
        answers[e.req]++;
        waiting.erase(e.req);
      }
    }
  }
  void arrive (const std::string &ws) {
    uint64_t id = next++;
    owner[id] = ws;
    cost[id] = rnd(10) == 0 ? 500 : 5 + (int64_t)rnd(20);
    waiting.insert(id);
    r.ask(id, ws);
    absorb();
  }
  void finish () {
    if (running.empty()) return;
    auto it = running.begin();
    std::advance(it, (long)rnd(running.size()));
    auto [id, run] = *it;
    running.erase(it);
    if (rnd(20) == 0) {
      r.failed(id, run.second, rnd(2) == 0);
      waiting.insert(id);
      absorb();
      return;
    }
    r.step(r.attempt(MT_EV_HEAD, id, run.second));
    mt_event_t end = r.attempt(MT_EV_END, id, run.second);
    end.u.end.prompt = 0;
    end.u.end.output = cost[id];
    r.step(end);
    answers[id]++;
    served[owner[id]] += cost[id];
    absorb();
  }
  void check () {
    std::map<mt_id_t, int> load;
    for (auto &[id, run] : running) load[run.first]++;
    for (auto &[t, n] : load) ASSERT_LE(n, 2) << "more than the slots";
    for (auto &[id, n] : answers) ASSERT_LE(n, 1) << "answered twice";
    size_t queued = r.S->edge.waiting;
    if (queued > 0) {
      size_t held = r.S->edge.held.used;
      if (held == 0) {
        ASSERT_EQ(running.size(), 4u) << "a slot idles";
      }
    }
  }
};

TEST(Property, SlotsAreKeptAndUsedAndAnswersComeOnce) {
  for (uint64_t seed = 1; seed <= 20; seed++) {
    World w(seed);
    for (int i = 0; i < 1500; i++) {
      switch (w.rnd(4)) {
        case 0:
        case 1: w.arrive("w" + std::to_string(1 + w.rnd(4))); break;
        case 2: w.finish(); break;
        default: w.r.tick(1 + w.rnd(20)); break;
      }
      w.absorb();
      w.check();
      if (HasFatalFailure()) FAIL() << "seed " << seed;
    }
    for (int i = 0; i < 20000 && w.r.S->edge.reqs.used > 0; i++) {
      w.finish();
      w.r.tick(20);
      w.absorb();
    }
    for (uint64_t id = 1; id < w.next; id++)
      ASSERT_EQ(w.answers[id], 1) << "seed " << seed << " request " << id;
  }
}

// Two workspaces that stay backlogged: their service never drifts apart by
// more than what is in flight and one more of the largest requests.
TEST(Property, BackloggedWorkspacesStayWithinTheBound) {
  for (uint64_t seed = 1; seed <= 10; seed++) {
    World w(seed * 977);
    const int64_t bound = (4 + 2) * 500;
    for (int i = 0; i < 4000; i++) {
      for (const char *ws : {"w1", "w2"}) {
        mt_queue_t *q = (mt_queue_t *)mtV_get(
            &w.r.S->edge.queues, mtR_key(mtV_id(ws, 2), mtV_id("p", 1)));
        if (q == nullptr || q->n < 3) w.arrive(ws);
      }
      w.finish();
      w.r.tick(5);
      w.absorb();
      int64_t gap = std::abs(w.served["w1"] - w.served["w2"]);
      ASSERT_LE(gap, bound) << "seed " << seed << " step " << i;
    }
    EXPECT_GT(w.served["w1"], 10000);
  }
}

TEST(Property, OneThatWasIdleBringsNoCredit) {
  World w(5);
  for (int i = 0; i < 3000; i++) {
    if (w.r.S->edge.waiting < 5) w.arrive("w1");
    w.finish();
    w.r.tick(5);
    w.absorb();
  }
  int64_t before1 = w.served["w1"];
  for (int i = 0; i < 600; i++) {
    for (const char *ws : {"w1", "w2"})
      for (int k = 0; k < 2; k++) w.arrive(ws);
    w.finish();
    w.finish();
    w.r.tick(5);
    w.absorb();
  }
  int64_t got1 = w.served["w1"] - before1, got2 = w.served["w2"];
  EXPECT_LE(std::abs(got1 - got2), (4 + 2) * 500);
  EXPECT_GT(got1, 2000);
}

TEST(Replay, TheSameEventsGiveTheSameEffects) {
  std::string traces[2];
  for (std::string &t : traces) {
    World w(31337);
    for (int i = 0; i < 800; i++) {
      if (w.rnd(2)) w.arrive("w" + std::to_string(1 + w.rnd(4)));
      w.finish();
      w.r.tick(7);
      w.absorb();
    }
    t = w.r.trace;
  }
  EXPECT_GT(traces[0].size(), 1000u);
  EXPECT_EQ(traces[0], traces[1]);
}

TEST(Pause, AfterAPauseNothingIsGrantedUntilPeersHadTimeToSpeak) {
  Router r;
  r.configure(small(), 1);
  r.tick();
  r.tick(MT_PAUSE_MS + 500);
  EXPECT_EQ(r.S->counts.totals[MT_C_PAUSES], 1u);
  r.ask(1, "w1");
  EXPECT_EQ(r.find(MT_FX_START, 1), nullptr);
  for (int i = 0; i < 40 && r.find(MT_FX_START, 1) == nullptr; i++) r.tick();
  EXPECT_NE(r.find(MT_FX_START, 1), nullptr);
}

} // namespace
