// core_test.cc - the reducer: admission, grants, retries, outcomes, replay.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "reducer.h"

namespace {

const Fleet &small_fleet () {
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

TEST(Admission, RejectsWithTheReason) {
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
    if (row.configured) r.configure(small_fleet(), 1);
    mt_event_t drain{};
    drain.kind = MT_EV_DRAIN;
    if (row.draining) r.step(drain);
    mt_reqparams_t a{};
    a.model = mt_bytes_t{row.model, strlen(row.model)};
    r.request(1, row.ws, a);
    const mt_effect_t *fx = r.find(MT_FX_REJECT, 1);
    ASSERT_NE(fx, nullptr);
    EXPECT_EQ(fx->u.reject.why, row.why);
    EXPECT_TRUE(fx->u.reject.notrun);
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
  for (uint64_t i = 1; i <= 4; i++)
    r.request(i, "w1"); // one runs, three wait
  EXPECT_EQ(r.find(MT_FX_REJECT, 4), nullptr);
  r.request(5, "w1");
  ASSERT_NE(r.find(MT_FX_REJECT, 5), nullptr);
  EXPECT_EQ(r.find(MT_FX_REJECT, 5)->u.reject.why, MT_WS_QUEUE_FULL);
}

// After failed attempts: the number of attempts, the error, and whether it
// says "not-run".
TEST(Outcome, RetriesOnlyWhenSafeAndReportsNotRunCorrectly) {
  struct Row {
    const char *name;
    bool never, notrun[3];
    int attempts;
    mt_rejection_t why;
    bool reported_notrun;
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
    mt_reqparams_t a{};
    if (row.never) a.repeat = MT_REPEAT_NEVER;
    r.request(1, "w1", a);
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
      refused = r.find(MT_FX_REJECT, 1);
    }
    ASSERT_NE(refused, nullptr);
    EXPECT_EQ(attempts, row.attempts);
    EXPECT_EQ(refused->u.reject.why, row.why);
    EXPECT_EQ(refused->u.reject.notrun, row.reported_notrun);
  }
}

TEST(Outcome, EventsOfAPastAttemptAreDroppedAndCounted) {
  Router r;
  r.configure(small_fleet(), 1);
  r.tick();
  r.request(1, "w1");
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

// What the request does for each result of its claim.
TEST(Claim, NotRepeatableStartsOnlyAfterItsClaimIsAcquired) {
  struct Row {
    mt_claim_t answer;
    bool starts, release;
    mt_rejection_t why;
    bool notrun;
  } rows[] = {
      {MT_CLAIM_ACQUIRED, true, false, MT_OK, false},
      {MT_CLAIM_HELD, false, false, MT_CLAIMED, false},
      {MT_CLAIM_UNAVAILABLE, false, true, MT_STORE_UNREACHABLE, true},
  };
  for (const Row &row : rows) {
    Router r;
    r.configure(small_fleet(), 1);
    r.tick();
    mt_reqparams_t a{};
    a.service = true;
    a.repeat = MT_REPEAT_NEVER;
    a.idem = 99;
    r.request(1, "w1", a);
    EXPECT_EQ(r.find(MT_FX_START, 1), nullptr);
    ASSERT_NE(r.find(MT_FX_CLAIM, 1), nullptr);
    mt_event_t ev = r.attempt(MT_EV_CLAIMED, 1, 0);
    ev.u.claimed.result = row.answer;
    ev.u.claimed.key = 99;
    r.step(ev);
    EXPECT_EQ(r.find(MT_FX_START, 1) != nullptr, row.starts);
    EXPECT_EQ(r.find(MT_FX_RELEASE, 1) != nullptr, row.release);
    const mt_effect_t *refused = r.find(MT_FX_REJECT, 1);
    ASSERT_EQ(refused != nullptr, !row.starts);
    if (refused == nullptr) continue;
    EXPECT_EQ(refused->u.reject.why, row.why);
    EXPECT_EQ(refused->u.reject.notrun, row.notrun);
  }
}

TEST(Claim, SameKeyJoinsWhenRepeatableAndIsRejectedWhenNot) {
  for (bool never : {false, true}) {
    Router r;
    r.configure(small_fleet(), 1);
    r.tick();
    mt_reqparams_t a{};
    a.idem = 5;
    if (never) a.repeat = MT_REPEAT_NEVER;
    r.request(1, "w1", a);
    r.request(2, "w1", a);
    EXPECT_EQ(r.find(MT_FX_JOIN, 2) != nullptr, !never);
    EXPECT_EQ(r.find(MT_FX_REJECT, 2) != nullptr, never);
  }
}

TEST(Config, NeverGoesBackAndRejectsInvalidRevisions) {
  Router r;
  Fleet bad;
  bad.target("x", "d0", 0); // no slots
  r.configure(small_fleet(), 5);
  EXPECT_EQ(r.S->conf.revision, 5);
  r.configure(small_fleet(), 4);
  EXPECT_EQ(r.S->conf.revision, 5);
  r.configure(bad, 6);
  EXPECT_EQ(r.S->conf.revision, 5);
  EXPECT_EQ(r.S->counts.totals[MT_C_CONFIG_BAD], 1u);
  r.configure(small_fleet(), 7);
  EXPECT_EQ(r.S->conf.revision, 7);
}

// Guards against a watch that returns at once, again and again: it must name
// the revision of the head's key in the store, not the configuration's.
TEST(Config, WatchUsesTheStoreRevision) {
  Router r;
  mt_event_t ev{};
  ev.kind = MT_EV_CONFIG_HEAD;
  ev.u.config_head.status = 200;
  ev.u.config_head.revision = 3;
  ev.u.config_head.store_revision = 40;
  std::string head = "{\"revision\":3,\"sections\":{}}";
  ev.u.config_head.text = bytesof(head);
  r.step(ev);
  r.tick();
  ASSERT_NE(r.find(MT_FX_WATCH_CONFIG_HEAD, 0), nullptr);
  EXPECT_EQ(r.find(MT_FX_WATCH_CONFIG_HEAD, 0)->u.revision, 40);
}

TEST(Leaving, LeavingTargetGetsNoNewRequests) {
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
    r.request(i, "w1");
    for (const mt_effect_t &e : r.out)
      if (e.kind == MT_FX_START) used.insert(e.u.start.target);
  }
  EXPECT_EQ(used, std::set<mt_id_t>{mtV_id("e1", 2)});
}

// A remote domain offers a slot of a target that this router's configuration
// has as leaving: the offer is declined and the request stays queued.
TEST(Leaving, OfferOfALeavingTargetIsDeclined) {
  Fleet f;
  f.target("e1", "d0", 1);
  f.target("e9", "d9", 1, "p", true);
  f.workspace("w1");
  Router r;
  r.configure(f, 1);
  r.tick();
  r.request(1, "w1");
  r.request(2, "w1"); // waits
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
  EXPECT_NE(r.find(MT_FX_START, 2), nullptr)
      << "a local slot must still serve it";
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
      r.request(i, "w1");
      for (const mt_effect_t &e : r.out)
        if (e.kind == MT_FX_START) used.insert(e.u.start.target);
    }
    EXPECT_EQ(used.count(mtV_id("e1", 2)) == 0, row.onlye2) << row.program;
    EXPECT_EQ(r.S->counts.totals[MT_C_POLICY_FAILED], row.failures);
  }
}

// With `other`, a router of another domain has joined and then sends nothing.
// Draining must finish the queued requests in both cases.
static void drain_with_requests (bool other) {
  Router r;
  r.configure(small_fleet(), 1);
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
  for (uint64_t i = 1; i <= 6; i++) r.request(i, "w1"); // four run, two wait
  mt_event_t drain{};
  drain.kind = MT_EV_DRAIN;
  r.step(drain);
  std::map<uint64_t, uint32_t> running;
  for (auto &q : {1, 2, 3, 4}) running[(uint64_t)q] = 1;
  int answered = 0;
  for (int i = 0; i < 200 && !r.S->stopped; i++) {
    r.tick();
    for (const mt_effect_t &e : r.out) EXPECT_NE(e.kind, MT_FX_REJECT);
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

TEST(Drain, FinishesRequestsInProgressAndStops) {
  drain_with_requests(false);
  drain_with_requests(true);
}

// A random run; check() verifies what callers and targets see.
struct Simulation {
  Router r;
  uint64_t seed, next = 1;
  std::map<uint64_t, std::pair<mt_id_t, uint32_t>> running;
  std::map<uint64_t, int> answers, starts;
  std::map<std::string, int64_t> served;
  std::map<uint64_t, std::string> owner;
  std::map<uint64_t, int64_t> cost;
  std::set<uint64_t> waiting;

  explicit Simulation(uint64_t s) : seed(s) {
    r.configure(small_fleet(), 1);
    r.tick();
  }
  uint64_t rnd (uint64_t n) {
    return mtV_random(&seed) % n;
  }
  void apply_effects () {
    for (const mt_effect_t &e : r.out) {
      if (e.kind == MT_FX_START) {
        running[e.req] = {e.u.start.target, e.attempt};
        starts[e.req]++;
        waiting.erase(e.req);
      }
      if (e.kind == MT_FX_REJECT) {
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
    r.request(id, ws);
    apply_effects();
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
      apply_effects();
      return;
    }
    r.step(r.attempt(MT_EV_HEAD, id, run.second));
    mt_event_t end = r.attempt(MT_EV_END, id, run.second);
    end.u.end.prompt = 0;
    end.u.end.output = cost[id];
    r.step(end);
    answers[id]++;
    served[owner[id]] += cost[id];
    apply_effects();
  }
  void check () {
    std::map<mt_id_t, int> load;
    for (auto &[id, run] : running) load[run.first]++;
    for (auto &[t, n] : load) ASSERT_LE(n, 2) << "more requests than slots";
    for (auto &[id, n] : answers) ASSERT_LE(n, 1) << "answered twice";
    size_t queued = r.S->edge.waiting;
    if (queued > 0) {
      size_t in_backoff = r.S->edge.in_backoff.used;
      if (in_backoff == 0) {
        ASSERT_EQ(running.size(), 4u) << "a slot is idle while requests wait";
      }
    }
  }
};

TEST(Property, SlotLimitsHoldAndEachRequestIsAnsweredOnce) {
  for (uint64_t seed = 1; seed <= 20; seed++) {
    Simulation w(seed);
    for (int i = 0; i < 1500; i++) {
      switch (w.rnd(4)) {
        case 0:
        case 1: w.arrive("w" + std::to_string(1 + w.rnd(4))); break;
        case 2: w.finish(); break;
        default: w.r.tick(1 + w.rnd(20)); break;
      }
      w.apply_effects();
      w.check();
      if (HasFatalFailure()) FAIL() << "seed " << seed;
    }
    for (int i = 0; i < 20000 && w.r.S->edge.reqs.used > 0; i++) {
      w.finish();
      w.r.tick(20);
      w.apply_effects();
    }
    for (uint64_t id = 1; id < w.next; id++)
      ASSERT_EQ(w.answers[id], 1) << "seed " << seed << " request " << id;
  }
}

// The service of two workspaces that always have queued requests differs by
// at most 4 requests in flight and one more of each, all of the largest cost.
TEST(Property, BackloggedWorkspacesStayWithinTheBound) {
  for (uint64_t seed = 1; seed <= 10; seed++) {
    Simulation w(seed * 977);
    const int64_t bound = (4 + 2) * 500;
    for (int i = 0; i < 4000; i++) {
      for (const char *ws : {"w1", "w2"}) {
        mt_queue_t *q = (mt_queue_t *)mtV_get(
            &w.r.S->edge.queues, mtR_key(mtV_id(ws, 2), mtV_id("p", 1)));
        if (q == nullptr || q->n < 3) w.arrive(ws);
      }
      w.finish();
      w.r.tick(5);
      w.apply_effects();
      int64_t gap = std::abs(w.served["w1"] - w.served["w2"]);
      ASSERT_LE(gap, bound) << "seed " << seed << " step " << i;
    }
    EXPECT_GT(w.served["w1"], 10000);
  }
}

// w2 is idle while w1 is served; afterwards both get the same service.
TEST(Property, IdleWorkspaceAccumulatesNoCredit) {
  Simulation w(5);
  for (int i = 0; i < 3000; i++) {
    if (w.r.S->edge.waiting < 5) w.arrive("w1");
    w.finish();
    w.r.tick(5);
    w.apply_effects();
  }
  int64_t before1 = w.served["w1"];
  for (int i = 0; i < 600; i++) {
    for (const char *ws : {"w1", "w2"})
      for (int k = 0; k < 2; k++) w.arrive(ws);
    w.finish();
    w.finish();
    w.r.tick(5);
    w.apply_effects();
  }
  int64_t got1 = w.served["w1"] - before1, got2 = w.served["w2"];
  EXPECT_LE(std::abs(got1 - got2), (4 + 2) * 500);
  EXPECT_GT(got1, 2000);
}

TEST(Replay, TheSameEventsGiveTheSameEffects) {
  std::string traces[2];
  for (std::string &t : traces) {
    Simulation w(31337);
    for (int i = 0; i < 800; i++) {
      if (w.rnd(2)) w.arrive("w" + std::to_string(1 + w.rnd(4)));
      w.finish();
      w.r.tick(7);
      w.apply_effects();
    }
    t = w.r.trace;
  }
  EXPECT_GT(traces[0].size(), 1000u);
  EXPECT_EQ(traces[0], traces[1]);
}

TEST(Pause, NoGrantsAfterAPauseUntilPeersCanReport) {
  Router r;
  r.configure(small_fleet(), 1);
  r.tick();
  r.tick(MT_PAUSE_MS + 500);
  EXPECT_EQ(r.S->counts.totals[MT_C_PAUSES], 1u);
  r.request(1, "w1");
  EXPECT_EQ(r.find(MT_FX_START, 1), nullptr);
  for (int i = 0; i < 40 && r.find(MT_FX_START, 1) == nullptr; i++) r.tick();
  EXPECT_NE(r.find(MT_FX_START, 1), nullptr);
}

} // namespace
