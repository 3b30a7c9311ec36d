// fair_share_test.cc - who is served where little is left
//
// A workspace that asked at two routers got less than half of what another
// one got that asked at all 64, for six seconds, while both were refused most
// of what they asked, behind the end of all engines of a service. Both had
// had more than their share, and whoever has is refused where an engine has
// work waiting, yet not at one that is idle for a moment. Such moments went
// to whoever tried most often. By the lines of all routers, in the six
// seconds:
//
//   jeye120  standing 2.89  729 answered, 6,746 refused as over_share
//   cura541  standing 1.38  399 answered, 645 refused as over_share
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "relay.h"

namespace {

// What the other routers say of workspaces, in thousands of tokens a second.
struct PeerRates {
  double asked, served;
};

// True when a request of the first of them is taken at an idle engine, of
// engines that give so many thousands of tokens a second together.
bool is_admitted (const std::vector<PeerRates> &rates, int64_t declared) {
  Relay r(1);
  r.declare();
  r.relay->catalog->limits.tokens_per_s = declared * 1000;
  for (size_t i = 0; i < rates.size(); i++) {
    std::string name = "w" + std::to_string(i + 1);
    mt_share_t *w =
        mt_fair_share_get(&r.relay->shares, mtV_id(name.data(), name.size()));
    w->peers = {rates[i].asked * 1000, rates[i].served * 1000};
  }
  r.pass(200);
  r.ask(1, "/stream/x", "key-w1");
  return r.find(MT_RELAY_DO_START, 1) != nullptr;
}

TEST(FairShareAdmission, RefusesWorkspacesFarAboveABackloggedOne) {
  const PeerRates some = {100, 5.25}, much = {100, 15.25}, all = {5.25, 5.25};
  struct Row {
    const char *what;
    PeerRates who, others;
    bool admitted;
  } rows[] = {
      {"far more than others, who want more", {100, 29}, some, false},
      {"more than others, who want more", {100, 14}, much, true},
      {"far more, and the others have all", {100, 29}, all, true},
      {"less than others", {100, 2}, much, true},
      {"far more, and nobody else is there", {100, 29}, {0, 0}, true},
  };
  for (const Row &row : rows)
    EXPECT_EQ(
        is_admitted({row.who, row.others, row.others, row.others, row.others},
                    50),
        row.admitted)
        << row.what;
}

// Others that cannot be given more for now, since their engines are not
// there, are no reason to leave engines idle for who has its share. Where it
// is not told what engines give, shares go by what was served: there a bound
// would fall with what it refuses.
TEST(FairShareAdmission, AdmitsWorkspacesAtTheirShare) {
  EXPECT_TRUE(is_admitted({{100, 15}, {100, 0}}, 15));
  EXPECT_TRUE(is_admitted({{100, 12}, {100, 12}, {100, 0}}, 24));
  EXPECT_TRUE(is_admitted({{100, 29}, {100, 1}, {100, 1}}, 0));
}

// Datagrams come from anybody: workspaces that they named were kept for good.
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
      << "a caller's own";
  for (size_t i = 0; i < shares.count; i++) shares.list[i]->peers = {0, 0};
  mt_fair_share_update(&shares, 0, 0);
  EXPECT_EQ(shares.count, 1u) << "who asks here";
  mt_fair_share_free(&shares);
}

} // namespace
