// unit_test.cc - settings, fleet tables, messages, policies, tokens, maps.
#include <gtest/gtest.h>

#include <map>
#include <string>

extern "C" {
#include "mtcrypt.h"
#include "mtfleet.h"
#include "mtmsg.h"
#include "mtpolicy.h"
}

namespace {

const char valid_settings[] =
    R"({"node":"r1","domain":"d0","callers":"127.0.0.1:0",
  "operators":"127.0.0.1:0","peers":"127.0.0.1:0",
  "store":"http://127.0.0.1:1",
  "peer_keys":["00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"]})";

json_t *patched (const char *text, const char *patch) {
  json_t *doc = json_loads(text, 0, nullptr);
  json_t *p = json_loads(patch, 0, nullptr);
  json_object_update(doc, p);
  json_decref(p);
  return doc;
}

TEST(Settings, ReportsEveryErrorWithItsPath) {
  struct Row {
    const char *patch, *where, *reason;
  } rows[] = {
      {R"({"node":"UP"})", "$.node", "must be a name"},
      {R"({"node":7})", "$.node", "must be a name"},
      {R"({"extra":1})", "$.extra", "unknown key"},
      {R"({"callers":"nowhere"})", "$.callers", "IP:PORT"},
      {R"({"callers":"127.0.0.1:99999"})", "$.callers", "IP:PORT"},
      {R"({"store":"ftp://1.2.3.4:5"})", "$.store", "http://"},
      {R"({"seeds":["x"]})", "$.seeds[0]", "IP:PORT"},
      {R"({"peer_keys":[]})", "$.peer_keys", "1 to"},
      {R"({"peer_keys":["zz112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"]})",
       "$.peer_keys[0]", "hexadecimal"},
      {R"({"log":"loud"})", "$.log", "must be error"},
      {R"({"sharing":"none"})", "$.sharing", "must be fleet"},
      {R"({"routes":{"e1":"x"}})", "$.routes.e1", "IP:PORT"},
  };
  for (const Row &row : rows) {
    json_t *doc = patched(valid_settings, row.patch);
    mt_settings_t set;
    mt_faults_t fs{};
    EXPECT_FALSE(mtC_parse(doc, &set, &fs)) << row.patch;
    ASSERT_GE(fs.n, 1u) << row.patch;
    EXPECT_STREQ(fs.at[0].where, row.where);
    EXPECT_NE(std::string(fs.at[0].reason).find(row.reason),
              std::string::npos)
        << fs.at[0].reason;
    json_decref(doc);
  }
  json_t *doc =
      patched(valid_settings, R"({"node":7,"extra":1,"log":"loud"})");
  mt_settings_t set;
  mt_faults_t fs{};
  EXPECT_FALSE(mtC_parse(doc, &set, &fs));
  EXPECT_EQ(fs.n, 3u) << "all faults, not just the first";
  json_decref(doc);
}

TEST(FleetTables, ReportsErrorsWithTheirPath) {
  struct Row {
    const char *doc, *where;
  } rows[] = {
      {R"([])", "$"},
      {R"({"pools":{"p":{"kind":"bus"}}})", "$.pools.p"},
      {R"({"pools":{"P!":{"kind":"model"}}})", "$.pools.P!"},
      {R"({"targets":{"t":{"pool":"p","domain":"d","url":"http://1.2.3.4:5","slots":1}}})",
       "$.targets.t"},
      {R"({"workspaces":{"w":{"key_sha256":"short"}}})",
       "$.workspaces.w.key_sha256"},
      {R"({"workspaces":{"w":{"key_sha256":"0000000000000000000000000000000000000000000000000000000000000000","share":0}}})",
       "$.workspaces.w.share"},
      {R"({"workspaces":{"w":{"key_sha256":"0000000000000000000000000000000000000000000000000000000000000000","policy":"none"}}})",
       "$.workspaces.w.policy"},
      {R"({"else":{}})", "else"},
  };
  for (const Row &row : rows) {
    json_t *doc = json_loads(row.doc, 0, nullptr);
    mt_faults_t fs{};
    EXPECT_EQ(mtF_new(doc, 1, &fs), nullptr) << row.doc;
    ASSERT_GE(fs.n, 1u);
    EXPECT_STREQ(fs.at[0].where, row.where);
    json_decref(doc);
  }
}

TEST(Message, RoundTripsAndSurvivesDamage) {
  mt_id_t targets[] = {7, 8};
  mt_backlog_t backlogs[] = {{0, 3, 9, nullptr, 0}, {77, 1, 0, targets, 2}};
  mt_ws_row_t row{};
  row.ws = 5;
  row.served = 1234567890123;
  row.pending = 17;
  row.cost = 3;
  row.backlogs = backlogs;
  row.nbacklogs = 2;
  mt_running_t running{11, 4};
  mt_grant_result_t results{99, 1};
  mt_msg_t m{};
  m.kind = MT_M_DEMAND;
  m.clock = 42;
  m.u.demand.domain = 1;
  m.u.demand.pool = 2;
  m.u.demand.full = 1;
  m.u.demand.rows = &row;
  m.u.demand.nrows = 1;
  m.u.demand.running = &running;
  m.u.demand.nrunning = 1;
  m.u.demand.results = &results;
  m.u.demand.nresults = 1;
  char *bytes;
  size_t n = mtW_pack(&m, &bytes);
  mt_msg_t back;
  ASSERT_EQ(mtW_unpack(bytes, n, &back), MT_MSG_OK);
  ASSERT_EQ(back.u.demand.nrows, 1u);
  EXPECT_EQ(back.clock, 42u);
  EXPECT_EQ(back.u.demand.rows[0].served, row.served);
  ASSERT_EQ(back.u.demand.rows[0].nbacklogs, 2u);
  EXPECT_EQ(back.u.demand.rows[0].backlogs[1].targets[1], 8u);
  EXPECT_EQ(back.u.demand.running[0].count, 4);
  EXPECT_EQ(back.u.demand.results[0].grant, 99u);
  mtW_clear(&back);
  for (size_t cut = 0; cut < n; cut++) {
    mt_msg_t part;
    EXPECT_NE(mtW_unpack(bytes, cut, &part), MT_MSG_OK) << cut;
  }
  uint64_t seed = 1;
  for (int i = 0; i < 20000; i++) {
    std::string s(bytes, n);
    s[mtV_random(&seed) % n] = (char)mtV_random(&seed);
    mt_msg_t part;
    if (mtW_unpack(s.data(), s.size(), &part) == MT_MSG_OK) mtW_clear(&part);
  }
  free(bytes);
}

TEST(Policy, RejectsWithLineAndReason) {
  json_t *doc = json_loads(
      R"({"pools":{"p":{"kind":"model","models":["m"]}}})", 0, nullptr);
  mt_faults_t fs{};
  mt_fleet_t *F = mtF_new(doc, 1, &fs);
  ASSERT_NE(F, nullptr);
  struct Row {
    const char *program, *where, *reason;
  } rows[] = {
      {"function place(", "line 1", "expected"},
      {"\n\nx = = 1", "line 3", "unexpected"},
      {"function place(r, t) while true do end end", "line 1",
       "instructions"},
      {"function place(r, t)\n  while true do pcall(place) end end", "line",
       "instructions"},
      {"function place(r, t) return 5 end", "line", "array of target names"},
      {"function place(r, t) return {'x'} end", "line", "not one of"},
      {"function order(r) return 'high' end", "line", "integer"},
      {"function order(r) return 5000 end", "line", "integer"},
      {"function order(r) return io.open('x') end", "line 1", "nil value"},
      {"function order(r) return os.time() end", "line 1", "nil value"},
      {"load('x')()", "line 1", "nil value"},
      {"string.len = nil", "line 1", "cannot be changed"},
      {"local t = {} for i = 1, 1e9 do t[i] = ('x'):rep(10) end", "line", ""},
      {"function limits(w) return {share = 0} end", "line", "share"},
      {"error('no')", "line 1", "no"},
  };
  for (const Row &row : rows) {
    mt_fault_t fault{};
    EXPECT_FALSE(mtP_check(row.program, F, &fault)) << row.program;
    EXPECT_NE(std::string(fault.where).find(row.where), std::string::npos)
        << row.program << ": " << fault.where;
    EXPECT_NE(std::string(fault.reason).find(row.reason), std::string::npos)
        << row.program << ": " << fault.reason;
  }
  mtF_free(F);
  json_decref(doc);
}

TEST(Policy, KeepsNoStateBetweenCalls) {
  mt_fault_t fault{};
  mt_program_t *p = mtP_compile("n = 0 local m = 0\n"
                                "function order(r) n = n + 1 m = m + 1 "
                                "return n + m end",
                                &fault);
  ASSERT_NE(p, nullptr) << fault.reason;
  json_t *doc = json_loads(
      R"({"pools":{"p":{"kind":"model","models":["m"]}}})", 0, nullptr);
  mt_faults_t fs{};
  mt_fleet_t *F = mtF_new(doc, 1, &fs);
  ASSERT_NE(F, nullptr);
  mt_policy_request_t request{};
  request.workspace = "w";
  request.model = mt_bytes_t{"m", 1};
  for (int i = 0; i < 3; i++) {
    mt_policy_decision_t c;
    ASSERT_EQ(mtP_decide(p, F, &F->pools[0], &request, &c, &fault), MT_P_OK);
    EXPECT_EQ(c.order, 2);
  }
  mtF_free(F);
  json_decref(doc);
  mtP_free(p);
}

TEST(Token, RejectsForgedTokens) {
  mt_settings_t a{}, b{};
  a.nkeys = b.nkeys = 1;
  memset(a.keys[0], 1, MT_PEER_KEY_BYTES);
  memset(b.keys[0], 2, MT_PEER_KEY_BYTES);
  mt_resume_token_t t{11, 22, 33, 44}, back{};
  char text[MT_TOKEN_BYTES];
  mtH_sign(&a, &t, text);
  EXPECT_TRUE(mtH_verify(&a, text, &back));
  EXPECT_EQ(back.stream, 33u);
  EXPECT_FALSE(mtH_verify(&b, text, &back));
  b.nkeys = 2;
  memcpy(b.keys[1], a.keys[0], MT_PEER_KEY_BYTES);
  EXPECT_TRUE(mtH_verify(&b, text, &back)) << "an older key still verifies";
  for (size_t i = 0; text[i]; i++) {
    std::string s = text;
    s[i] = s[i] == '0' ? '1' : '0';
    EXPECT_FALSE(mtH_verify(&a, s.c_str(), &back)) << i;
  }
}

TEST(Map, MatchesReferenceUnderRandomOperations) {
  mt_map_t m{};
  uint64_t seed = 9;
  std::map<uint64_t, void *> model;
  for (int i = 0; i < 50000; i++) {
    uint64_t k = 1 + mtV_random(&seed) % 500;
    if (mtV_random(&seed) % 2) {
      void *v = (void *)(uintptr_t)(i + 1);
      mtV_put(&m, k, v);
      model[k] = v;
    } else {
      void *was = model.count(k) ? model[k] : nullptr;
      ASSERT_EQ(mtV_del(&m, k), was);
      model.erase(k);
    }
    ASSERT_EQ(m.used, model.size());
  }
  for (auto &[k, v] : model) ASSERT_EQ(mtV_get(&m, k), v);
  mtV_free(&m);
}

} // namespace
