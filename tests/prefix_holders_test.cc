// prefix_holders_test.cc - engines outside the home that cache a shared
// prefix
#include <gtest/gtest.h>

#include "relay.h"

extern "C" {
#include "prefix_holders.h"
#include "kv_cache.h"
}

namespace {

TEST(PrefixHolders, ReturnsTheLastHolderUntilExpiry) {
  mt_prefix_holders_t h{};
  mt_prefix_holders_set(&h, 7, 100, 1000);
  mt_prefix_holders_set(&h, 7, 200, 2000);
  mt_prefix_holders_set(&h, 8, 300, 20000);
  mt_prefix_holders_set(&h, 0, 300, 20000); // no segment
  EXPECT_EQ(mt_prefix_holders_find(&h, 7), 200u);
  EXPECT_EQ(mt_prefix_holders_find(&h, 9), 0u);
  mt_prefix_holders_expire(&h, 31000);
  EXPECT_EQ(mt_prefix_holders_find(&h, 7), 200u);
  mt_prefix_holders_expire(&h, 33000);
  EXPECT_EQ(mt_prefix_holders_find(&h, 7), 0u);
  EXPECT_EQ(mt_prefix_holders_find(&h, 8), 300u);
  mt_prefix_holders_free(&h);
}

TEST(PrefixHolders, NumberOfSegmentsIsBounded) {
  mt_prefix_holders_t h{};
  for (uint64_t segment = 1; segment <= 100000; segment++)
    mt_prefix_holders_set(&h, segment, 5, 1000);
  EXPECT_LE(h.by_segment.used, 65536u);
  EXPECT_EQ(mt_prefix_holders_find(&h, 1), 5u);
  mt_prefix_holders_set(&h, 1, 6, 1000); // known ones are still updated
  EXPECT_EQ(mt_prefix_holders_find(&h, 1), 6u);
  mt_prefix_holders_expire(&h, 1000000);
  EXPECT_EQ(h.by_segment.used, 0u);
  mt_prefix_holders_free(&h);
}

// m3 has the segment cached and neither m1 nor m2 has; the owners report m3.
TEST(PrefixHolders, HolderNamedByOwnerIsFetchSource) {
  struct Row {
    const char *what;
    bool named, gone, off, fetched;
  } rows[] = {{"no owner reports it", false, false, false, false},
              {"an owner reports it", true, false, false, true},
              {"the holder is gone", true, true, false, false},
              {"switched off", true, false, true, false}};
  for (const Row &row : rows) {
    Relay r(3);
    r.declare();
    r.relay->routers = 2;
    r.relay->params.off[MT_RELAY_HOLDERS] = row.off;
    mt_engine_t *holder = r.find("m3");
    holder->local.pending_prefill = 200000;
    r.request(1, "/stream/x", "key-w1", 5000, 8000);
    ASSERT_NE(r.find(MT_RELAY_DO_GET_QUOTES), nullptr) << row.what;
    if (row.gone) holder->state = MT_ENGINE_GONE;
    std::vector<mt_relay_quote_t> quotes;
    for (const char *name : {"m1", "m2", "m3"}) {
      mt_relay_quote_t q{};
      q.engine = r.find(name)->key;
      if (row.named) q.holder = holder->key;
      quotes.push_back(q);
    }
    mt_relay_event_t event{};
    event.kind = MT_RELAY_QUOTED;
    event.request = 1;
    event.u.quotes.list = quotes.data();
    event.u.quotes.count = quotes.size();
    r.step(event);
    const mt_relay_effect_t *fx = r.find(MT_RELAY_DO_START);
    ASSERT_NE(fx, nullptr) << row.what;
    EXPECT_NE(fx->u.start.engine, holder->key) << row.what;
    EXPECT_EQ(fx->u.start.source, row.fetched ? holder->key : 0) << row.what;
    holder->local.pending_prefill = 0;
  }
}

// Guards against fetches from an engine that has evicted the segment,
// although a later user still caches it: each use away from the home is
// reported.
TEST(PrefixHolders, ReportsSharedSegmentsUsedAwayFromHome) {
  struct Row {
    const char *what;
    bool home, kv_transfer;
    int64_t shared, pending_prefill; // tokens, 1,000 more are unshared
    bool report;
  } rows[] = {{"prefilled away from home", false, true, 4000, 5000, true},
              {"cached or fetched there", false, true, 4000, 1000, true},
              {"at home", true, true, 4000, 5000, false},
              {"too short to fetch", false, true, 100, 1100, false},
              {"no transfers", false, false, 4000, 5000, false}};
  for (const Row &row : rows) {
    mt_catalog_service_t service{};
    mt_relay_request_t r{};
    service.kv_transfer = row.kv_transfer;
    r.segments[0] = {7, row.shared};
    r.segments[1] = {9, 1000};
    r.segments_count = 2;
    r.current.home = row.home;
    r.current.pending_prefill = row.pending_prefill;
    EXPECT_EQ(mt_kv_cache_should_report(&service, &r), row.report)
        << row.what;
  }
}

TEST(PrefixHolders, OwnerNamesTheHolder) {
  Relay r(2);
  r.declare();
  const mt_prefix_segment_t segments[] = {{11, 300}, {13, 200}};
  uint64_t home = r.find("m1")->key, other = r.find("m2")->key;
  EXPECT_EQ(mt_relay_quote(r.relay, home, 5, segments, 2).holder, 0u);
  mt_prefix_holders_set(&r.relay->holders, 11, other, r.now);
  EXPECT_EQ(mt_relay_quote(r.relay, home, 5, segments, 2).holder, other);
  mt_prefix_holders_set(&r.relay->holders, 11, home, r.now); // itself
  EXPECT_EQ(mt_relay_quote(r.relay, home, 5, segments, 2).holder, 0u);
}

} // namespace
