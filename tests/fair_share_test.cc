// fair_share_test.cc - admission by fair share while capacity is scarce
//
// Guards against unequal service of backlogged workspaces after all engines
// of a service have ended. Workspaces above their share are refused where an
// engine has requests queued, but not at an engine that is idle for a moment,
// so these moments go to the workspace that tries most often. Over six
// seconds one that asked at all 64 routers reached a service ratio of 2.89
// (729 requests answered, 6,746 refused), one that asked at two routers 1.38
// (399 answered, 645 refused).
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "relay.h"

namespace {

// Rates of a workspace at the other routers, thousands of tokens/s.
struct PeerRates {
  double demand, served;
};

// True if a request of the first workspace is admitted at an idle engine.
// `declared`: configured capacity of all engines, thousands of tokens/s.
bool is_admitted (const std::vector<PeerRates> &rates, int64_t declared) {
  Relay r(1);
  r.declare();
  r.relay->catalog->limits.tokens_per_s = declared * 1000;
  for (size_t i = 0; i < rates.size(); i++) {
    std::string name = "w" + std::to_string(i + 1);
    mt_share_t *w =
        mt_fair_share_get(&r.relay->shares, mtV_id(name.data(), name.size()));
    w->peers = {rates[i].demand * 1000, rates[i].served * 1000};
  }
  r.pass(200);
  r.request(1, "/stream/x", "key-w1");
  return r.find(MT_RELAY_DO_START, 1) != nullptr;
}

TEST(FairShareAdmission, RefusesWorkspacesFarAboveABackloggedOne) {
  const PeerRates some = {100, 5.25}, much = {100, 15.25}, all = {5.25, 5.25};
  struct Row {
    const char *what;
    PeerRates who, others;
    bool admitted;
  } rows[] = {
      {"far above backlogged others", {100, 29}, some, false},
      {"about as much as backlogged others", {100, 14}, much, true},
      {"far above others that are served in full", {100, 29}, all, true},
      {"below others", {100, 2}, much, true},
      {"the only workspace", {100, 29}, {0, 0}, true},
  };
  for (const Row &row : rows)
    EXPECT_EQ(
        is_admitted({row.who, row.others, row.others, row.others, row.others},
                    50),
        row.admitted)
        << row.what;
}

// A workspace whose engines are unavailable is no reason to leave engines
// idle for one that has had its share. While the capacity is not configured,
// shares follow the served rates, so that a bound would fall with each
// refusal: there is none.
TEST(FairShareAdmission, AdmitsWorkspacesAtTheirShare) {
  EXPECT_TRUE(is_admitted({{100, 15}, {100, 0}}, 15));
  EXPECT_TRUE(is_admitted({{100, 12}, {100, 12}, {100, 0}}, 24));
  EXPECT_TRUE(is_admitted({{100, 29}, {100, 1}, {100, 1}}, 0));
}

// Datagrams are not authenticated: workspaces that they name must neither
// fill the table without bound nor stay in it.
TEST(FairShareTable, WorkspacesNamedByPeersAreBoundedAndExpire) {
  mt_fair_share_t shares{};
  mt_fair_share_record_demand(&shares, 1, 1000);
  for (mt_id_t id = 2; id < 3 * MT_FAIR_SHARE_WORKSPACES_MAX; id++) {
    mt_share_t *w = mt_fair_share_of_peer(&shares, id);
    if (w != nullptr) w->peers = {100, 0};
  }
  EXPECT_EQ(shares.count, (size_t)MT_FAIR_SHARE_WORKSPACES_MAX);
  EXPECT_NE(mt_fair_share_of_peer(&shares, 2), nullptr) << "known";
  EXPECT_NE(mt_fair_share_get(&shares, 9 * MT_FAIR_SHARE_WORKSPACES_MAX),
            nullptr)
      << "workspace of a caller";
  for (size_t i = 0; i < shares.count; i++) shares.list[i]->peers = {0, 0};
  mt_fair_share_update(&shares, 0, 1, 0);
  EXPECT_EQ(shares.count, 1u) << "with demand at this router";
  mt_fair_share_free(&shares);
}

} // namespace
