// suspect_policy_test.cc - which of a request's names is suspected, and what
// follows for the request
#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "suspect_policy.h"
}

namespace {

// Names are letters: 'D' crashes engines, others do not.
std::vector<uint64_t> names_of (const std::string &letters) {
  std::vector<uint64_t> names;
  for (char c : letters) names.push_back(mt_suspect_segment((uint64_t)c));
  return names;
}

// What happens to one run: its engine ends, or it is answered completely.
struct Step {
  const char *names;
  bool answered;
  char trial; // the name whose lease the run has; 0: none
  char engine;
  mt_id_t workspace;
  bool known; // its names had been answered before
};

Step end (const char *names, char engine, char trial = 0,
          mt_id_t workspace = 1) {
  return {names, false, trial, engine, workspace, false};
}
Step answer (const char *names) {
  return {names, true, 0, 0, 1, false};
}

struct Table {
  mt_suspects_t suspects{};
  mt_ms_t now = 1000000;
  uint64_t runs = 0;
  ~Table() {
    mt_suspects_free(&suspects);
  }
  // Applies a step and then lets two seconds pass.
  void apply (const Step &step) {
    uint64_t trial = mt_suspect_segment((uint64_t)step.trial);
    std::vector<uint64_t> names = names_of(step.names);
    std::vector<bool> alone;
    runs++;
    for (uint64_t name : names)
      alone.push_back(step.trial != 0 &&
                      mt_suspect_is_inseparable(&suspects, name, trial));
    for (size_t i = 0; i < names.size(); i++) {
      const mt_suspect_end_t ended = {(uint64_t)step.engine, now, alone[i],
                                      runs, step.workspace};
      if (step.answered)
        mt_suspects_clear(&suspects, names[i], now, now);
      else
        mt_suspects_add_end(&suspects, names[i], &ended, step.known, now);
    }
    now += 2000;
  }
  mt_suspect_ruling_t rule (const std::string &names, mt_id_t workspace = 1) {
    std::vector<uint64_t> list = names_of(names);
    return mt_suspect_rule(&suspects, list.data(), list.size(), workspace,
                           now);
  }
};

TEST(SuspectPolicy, RequestsAreJudgedByTheirNames) {
  struct Row {
    const char *what;
    std::vector<Step> steps;
    const char *names;
    mt_id_t workspace;
    mt_suspect_decision_t decision;
    char name; // of the ruling; 0: none
  } rows[] = {
      {"nothing is known", {}, "AD", 1, MT_SUSPECT_PASS, 0},
      {"no names", {end("D", 'a'), end("D", 'b')}, "", 1, MT_SUSPECT_PASS, 0},
      {"one end", {end("AD", 'a')}, "AD", 1, MT_SUSPECT_PASS, 0},
      {"two ends under one of the names",
       {end("AD", 'a'), end("BD", 'b')},
       "CD",
       1,
       MT_SUSPECT_TRIAL,
       'D'},
      {"two ends under another name",
       {end("AD", 'a'), end("BD", 'b')},
       "AB",
       1,
       MT_SUSPECT_PASS,
       0},
      {"the name with the most ends is tried",
       {end("AD", 'a'), end("AD", 'b'), end("BD", 'c')},
       "AD",
       1,
       MT_SUSPECT_TRIAL,
       'D'},
      {"a name that is answered elsewhere is no suspect",
       {end("AD", 'a'), answer("A"), end("AD", 'b'), answer("A")},
       "AC",
       1,
       MT_SUSPECT_PASS,
       0},
      {"two ends of trials are a quarantine",
       {end("AD", 'a'), answer("A"), end("AD", 'b'), answer("A"),
        end("AD", 'c', 'D'), answer("A"), end("AD", 'd', 'D')},
       "CD",
       1,
       MT_SUSPECT_REFUSE,
       'D'},
      {"sound requests with the other names run",
       {end("AD", 'a'), answer("A"), end("AD", 'b'), answer("A"),
        end("AD", 'c', 'D'), answer("A"), end("AD", 'd', 'D')},
       "AC",
       1,
       MT_SUSPECT_PASS,
       0},
      {"names seen only together are refused together",
       {end("AD", 'a'), end("AD", 'b'), end("AD", 'c', 'A'),
        end("AD", 'd', 'A')},
       "AD",
       1,
       MT_SUSPECT_REFUSE,
       'A'},
      {"one of them without the other is tried",
       {end("AD", 'a'), end("AD", 'b'), end("AD", 'c', 'A'),
        end("AD", 'd', 'A')},
       "AC",
       1,
       MT_SUSPECT_TRIAL,
       'A'},
      {"the same of the other one",
       {end("AD", 'a'), end("AD", 'b'), end("AD", 'c', 'A'),
        end("AD", 'd', 'A')},
       "CD",
       1,
       MT_SUSPECT_TRIAL,
       'D'},
      {"its answer clears it",
       {end("AD", 'a'), end("AD", 'b'), end("AD", 'c', 'A'),
        end("AD", 'd', 'A'), answer("AC")},
       "AC",
       1,
       MT_SUSPECT_PASS,
       0},
      {"and leaves the other one in quarantine",
       {end("AD", 'a'), end("AD", 'b'), end("AD", 'c', 'A'),
        end("AD", 'd', 'A'), answer("AC")},
       "BD",
       1,
       MT_SUSPECT_REFUSE,
       'D'},
      {"an end without the other one proves it",
       {end("AD", 'a'), end("AD", 'b'), end("AD", 'c', 'A'),
        end("AD", 'd', 'A'), end("CD", 'e', 'D')},
       "BD",
       1,
       MT_SUSPECT_REFUSE,
       'D'},
      {"a name at some of the ends is no other cause",
       {end("AD", 'a'), end("AD", 'b'), end("BD", 'c', 'D'),
        end("AD", 'd', 'D')},
       "CD",
       1,
       MT_SUSPECT_REFUSE,
       'D'},
      {"another workspace's evidence alone does not refuse",
       {end("D", 'a'), end("D", 'b'), end("D", 'c', 'D'), end("D", 'd', 'D')},
       "D",
       2,
       MT_SUSPECT_TRIAL,
       'D'},
      {"evidence of two workspaces holds for all",
       {end("D", 'a'), end("D", 'b'), end("D", 'c', 'D'),
        end("D", 'd', 'D', 2)},
       "D",
       3,
       MT_SUSPECT_REFUSE,
       'D'},
  };
  for (const Row &row : rows) {
    SCOPED_TRACE(row.what);
    Table t;
    for (const Step &step : row.steps) t.apply(step);
    mt_suspect_ruling_t ruling = t.rule(row.names, row.workspace);
    EXPECT_EQ(ruling.decision, row.decision);
    uint64_t name =
        row.name != 0 ? mt_suspect_segment((uint64_t)row.name) : 0;
    EXPECT_EQ(ruling.name, name);
    EXPECT_EQ(ruling.left > 0, row.decision == MT_SUSPECT_REFUSE);
  }
}

// Popular names run at many engines, which may end together. They go on
// without waiting for a copy; what was never answered is tried.
TEST(SuspectPolicy, OutagesRestrictNoNameThatWasAnswered) {
  struct Row {
    const char *what;
    bool known;
    mt_ms_t apart; // between the ends of engines
    mt_suspect_decision_t decision;
  } rows[] = {
      {"answered before, all at once", true, 0, MT_SUSPECT_PASS},
      {"answered before, within the time of an outage", true, 40,
       MT_SUSPECT_PASS},
      {"never answered, all at once", false, 0, MT_SUSPECT_TRIAL},
      {"answered before, one after the other", true, 500, MT_SUSPECT_TRIAL},
  };
  for (const Row &row : rows) {
    SCOPED_TRACE(row.what);
    Table t;
    for (uint64_t engine = 1; engine <= 10; engine++) {
      const mt_suspect_end_t ended = {engine, t.now, false, engine, 1};
      mt_suspects_add_end(&t.suspects, names_of("A")[0], &ended, row.known,
                          t.now);
      t.now += row.apart;
    }
    EXPECT_EQ(t.rule("AB").decision, row.decision);
  }
}

// A name that was answered before and crashes engines from now on.
TEST(SuspectPolicy, KnownNamesAreQuarantinedByTrials) {
  Table t;
  for (char engine : {'a', 'b'}) {
    Step step = end("AD", engine);
    step.known = true;
    t.apply(step);
  }
  ASSERT_EQ(t.rule("BD").decision, MT_SUSPECT_TRIAL);
  t.apply(end("BD", 'c', 'D'));
  t.apply(end("BD", 'd', 'D'));
  EXPECT_EQ(t.rule("CD").decision, MT_SUSPECT_REFUSE);
}

// The gateway's own answers count before the name's owner has cleared it.
TEST(SuspectPolicy, LocalAnswersCountAtOnce) {
  Table t;
  t.apply(end("AD", 'a'));
  t.apply(end("AD", 'b'));
  ASSERT_EQ(t.rule("AC").decision, MT_SUSPECT_TRIAL);
  mt_suspects_record_answer(&t.suspects, names_of("A")[0], t.now);
  EXPECT_EQ(t.rule("AC").decision, MT_SUSPECT_PASS);
  EXPECT_EQ(t.rule("AD").decision, MT_SUSPECT_TRIAL);
}

// The lease is granted by the rules by which requests are judged.
TEST(SuspectPolicy, OwnersRefuseWhatTheRulingRefuses) {
  Table t;
  for (const Step &step :
       {end("D", 'a'), end("D", 'b'), end("D", 'c', 'D'), end("D", 'd', 'D')})
    t.apply(step);
  uint64_t name = names_of("D")[0];
  auto lease = [&] (mt_id_t workspace) {
    return mt_suspects_lease(&t.suspects, name, workspace, workspace, 2000,
                             t.now);
  };
  EXPECT_EQ(lease(1), MT_TRIAL_REFUSED);
  EXPECT_EQ(lease(2), MT_TRIAL_GRANTED);
  EXPECT_EQ(lease(3), MT_TRIAL_BUSY);
}

// After an outage of many engines the table is full of names with some ends.
// What ended engines in trials is kept, and new ends still find room.
TEST(SuspectPolicy, OutagesDoNotEvictWhatWasTried) {
  Table t;
  for (const Step &step : {end("D", 'a'), end("D", 'b'), end("D", 'c', 'D')})
    t.apply(step);
  for (uint64_t i = 1; i < 20000; i++)
    for (uint64_t engine : {1, 2}) {
      const mt_suspect_end_t ended = {engine, t.now, false, i, 1};
      mt_suspects_add_end(&t.suspects, mt_suspect_segment(1000 + i), &ended,
                          false, t.now);
    }
  EXPECT_LE(t.suspects.by_digest.used, 4096u);
  EXPECT_EQ(t.rule("D").decision, MT_SUSPECT_TRIAL);
  t.apply(end("E", 'x'));
  t.apply(end("E", 'y'));
  EXPECT_EQ(t.rule("E").decision, MT_SUSPECT_TRIAL);
}

// Requests and segments have different names.
TEST(SuspectPolicy, NamesOfSegmentsAreNoDigests) {
  for (uint64_t id = 1; id < 1000; id++) {
    EXPECT_NE(mt_suspect_segment(id), 0u);
    EXPECT_EQ(mt_suspect_segment(id) & 1, 0u);
    EXPECT_STREQ(mt_suspect_name_kind(mt_suspect_segment(id)), "part");
  }
  EXPECT_STREQ(mt_suspect_name_kind(77), "digest");
}

} // namespace
