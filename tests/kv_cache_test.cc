// kv_cache_test.cc - engines fetch cached prefixes from each other
#include <gtest/gtest.h>

#include "gateway_world.h"
#include "relay.h"

namespace {

const mt_prefix_segment_t shared_segment = {7, 4000};

// Marks the shared segment as cached by an engine.
void cache_shared_segment (Relay &r, mt_engine_t *e) {
  mt_prefix_cache_use(&e->cached, &shared_segment, 1, 100000);
}

mt_catalog_service_t *model_service (Relay &r) {
  return &r.relay->catalog->services[1];
}

// A prompt of 8,000 tokens, 4,000 of them in the shared segment; m1 has that
// cached, but so much prefill queued that the request goes to m2.
TEST(KvCache, FetchSources) {
  struct Row {
    const char *what;
    void (*change)(Relay &r, mt_engine_t *source_engine);
    bool fetched;
  } rows[] = {
      {"a ready engine", [] (Relay &, mt_engine_t *) {}, true},
      {"one that drains",
       [] (Relay &, mt_engine_t *e) { e->state = MT_ENGINE_DRAINING; },
       false},
      {"one that is gone",
       [] (Relay &, mt_engine_t *e) { e->state = MT_ENGINE_GONE; }, false},
      {"one that has just failed",
       [] (Relay &r, mt_engine_t *e) { mt_engine_failed(e, r.now); }, false},
      {"one that left the list without draining",
       [] (Relay &r, mt_engine_t *e) { e->unlisted_since = r.now; }, false},
      {"engines without KV transfers",
       [] (Relay &r, mt_engine_t *) {
         model_service(r)->kv_transfer = false;
       },
       false},
      {"one of another service",
       [] (Relay &, mt_engine_t *e) { e->service = mtV_id("plain", 5); },
       false},
      {"a link so slow that the prefill is faster",
       [] (Relay &r, mt_engine_t *) { model_service(r)->link_mbps = 10; },
       false},
  };
  for (const Row &row : rows) {
    Relay r(2);
    r.declare();
    mt_engine_t *source_engine = r.find("m1");
    cache_shared_segment(r, source_engine);
    source_engine->local.pending_prefill = 100000;
    row.change(r, source_engine);
    r.request(1, "/stream/x", "key-w1", 5000, 8000);
    const mt_relay_effect_t *fx = r.find(MT_RELAY_DO_START);
    ASSERT_NE(fx, nullptr) << row.what;
    EXPECT_EQ(fx->u.start.engine, r.find("m2")->key) << row.what;
    EXPECT_EQ(fx->u.start.source, row.fetched ? source_engine->key : 0)
        << row.what;
    EXPECT_EQ(r.relay->counters.tokens_fetched, row.fetched ? 4000u : 0u)
        << row.what;
    // Fetched tokens are not prefilled, so they are no load.
    EXPECT_EQ(r.find("m2")->local.pending_prefill, row.fetched ? 4000 : 8000)
        << row.what;
    source_engine->local.pending_prefill = 0;
  }
}

TEST(KvCache, NoFetchToAnEngineThatCachesTheSegment) {
  Relay r(2);
  r.declare();
  cache_shared_segment(r, r.find("m1"));
  cache_shared_segment(r, r.find("m2"));
  r.request(1, "/stream/x", "key-w1", 5000, 8000);
  const mt_relay_effect_t *fx = r.find(MT_RELAY_DO_START);
  ASSERT_NE(fx, nullptr);
  EXPECT_EQ(fx->u.start.source, 0u);
}

// A retry does not fetch from the first attempt's source, which has failed.
TEST(KvCache, RetrySelectsANewSource) {
  Relay r(3);
  r.declare();
  mt_engine_t *source_engine = r.find("m1");
  cache_shared_segment(r, source_engine);
  source_engine->local.pending_prefill = 100000;
  r.request(1, "/stream/x", "key-w1", 5000, 8000);
  ASSERT_EQ(r.find(MT_RELAY_DO_START)->u.start.source, source_engine->key);
  mt_engine_failed(source_engine, r.now);
  r.fail(1, true);
  const mt_relay_effect_t *fx = r.find(MT_RELAY_DO_START);
  ASSERT_NE(fx, nullptr);
  EXPECT_NE(fx->u.start.source, source_engine->key);
  source_engine->local.pending_prefill = 0;
}

// Two engines of a real gateway: the one that has the segment cached has a
// long prompt queued, so the next request goes to the other, with the source
// in its Kv-Fetch field.
TEST(KvCache, KvFetchHeaderNamesTheSource) {
  World w;
  std::vector<std::pair<int, Request>> seen; // port, request
  auto silent = [&] (Conn &c, const Request &r) {
    seen.push_back({((Listener *)c.listener)->port, r});
  };
  Listener *a = w.listen(silent), *b = w.listen(silent);
  w.engine("i-1", "model", a);
  w.engine("i-2", "model", b);
  w.start();
  auto ask = [&] (const char *id, const char *own, const char *tokens) {
    Conn *c = w.connect(w.callers);
    c->send(World::ask("/gen/x", id, "",
                       std::string("Kv-Fetch: 127.0.0.1:1\r\n") +
                           "X-Prefix-Hash: aa:4000," + own +
                           "\r\nX-Token-Usage: " + tokens + ",10\r\n"));
  };
  ask("id1", "b1:40000", "44000");
  ASSERT_TRUE(w.until([&] { return seen.size() == 1; }));
  EXPECT_EQ(seen[0].second.field("Kv-Fetch"), "");
  ask("id2", "b2:1000", "5000");
  ASSERT_TRUE(w.until([&] { return seen.size() == 2; }));
  ASSERT_NE(seen[1].first, seen[0].first);
  EXPECT_EQ(seen[1].second.field("Kv-Fetch"),
            "127.0.0.1:" + std::to_string(seen[0].first));
}

} // namespace
