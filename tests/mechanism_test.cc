// mechanism_test.cc - parts of the placement logic that settings switch off
#include <gtest/gtest.h>

#include "relay.h"

extern "C" {
#include "gateway_settings.h"
}

namespace {

const char *const required_settings =
    "\"node\":\"n\",\"domain\":\"d\",\"callers\":\"127.0.0.1:0\",\"ready\":"
    "\"127.0.0.1:0\",\"metrics\":\"127.0.0.1:0\",\"peers\":\"127.0.0.1:0\"";

TEST(Mechanisms, SettingsSwitchThemOff) {
  struct Row {
    const char *off; // JSON
    bool valid;
    int count;
  } rows[] = {{"[]", true, 0},
              {"[\"fetch\"]", true, 1},
              {"[\"fetch\",\"fixed_part\",\"probe\"]", true, 3},
              {"[\"domain_reach\"]", true, 1},
              {"[\"fleet_speed\",\"pauses\"]", true, 2},
              {"[\"fetsh\"]", false, 0},
              {"[7]", false, 0}};
  for (const Row &row : rows) {
    std::string text = std::string("{") + required_settings +
                       ",\"relay\":{\"off\":" + row.off + "}}";
    json_t *doc = json_loads(text.c_str(), 0, nullptr);
    mt_gateway_settings_t set;
    mt_faults_t faults{};
    EXPECT_EQ(mt_gateway_settings_read(doc, &set, &faults), row.valid)
        << row.off;
    EXPECT_EQ(faults.n > 0, !row.valid) << row.off;
    int count = 0;
    for (bool off : set.params.off) count += off;
    EXPECT_EQ(count, row.count) << row.off;
    json_decref(doc);
  }
}

// Guards against a fraction that admits no prompt, or silently any.
TEST(Mechanisms, FirstPartIsAFraction) {
  struct Row {
    const char *first_part; // JSON
    bool valid;
  } rows[] = {{"0", true},
              {"0.75", true},
              {"1", true},
              {"-0.1", false},
              {"60", false}};
  for (const Row &row : rows) {
    std::string text = std::string("{") + required_settings +
                       ",\"relay\":{\"first_part\":" + row.first_part + "}}";
    json_t *doc = json_loads(text.c_str(), 0, nullptr);
    mt_gateway_settings_t set;
    mt_faults_t faults{};
    EXPECT_EQ(mt_gateway_settings_read(doc, &set, &faults), row.valid)
        << row.first_part;
    json_decref(doc);
  }
}

TEST(Mechanisms, DisabledMechanismIsNotUsed) {
  const mt_prefix_segment_t segment = {7, 4000};
  for (bool off : {false, true}) {
    Relay r(2);
    r.declare();
    r.relay->params.off[MT_RELAY_FETCH] = off;
    mt_engine_t *owner = r.find("m1");
    mt_prefix_cache_use(&owner->cached, &segment, 1, 100000);
    owner->local.pending_prefill = 100000;
    r.request(1, "/stream/x", "key-w1", 5000, 8000);
    EXPECT_EQ(r.find(MT_RELAY_DO_START)->u.start.source,
              off ? 0 : owner->key);
    owner->local.pending_prefill = 0;
    r.relay->params.off[MT_RELAY_PROBE] = off;
    mt_engine_set_reachable(owner, false, r.now);
    r.pass(1100); // ends earlier if there is a probe effect
    EXPECT_EQ(r.find(MT_RELAY_DO_PROBE) != nullptr, !off);
    EXPECT_EQ(owner->unreachable, !off);
  }
}

} // namespace
