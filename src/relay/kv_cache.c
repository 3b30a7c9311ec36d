/*
** kv_cache.c - cached prefixes of a prompt, and KV transfers between engines
*/
#include "connects.h"
#include "kv_cache.h"
#include "quotes.h"

#define TRANSFER_SETUP_MS 2.0 /* fixed cost of a transfer */
/* Fewer tokens are prefilled faster than a transfer is set up. */
#define TRANSFER_MIN_TOKENS 128
#define BITS_PER_BYTE 8
#define BITS_PER_MS_PER_MBPS 1000.0

uint64_t mt_kv_cache_home_segment (const mt_prefix_segment_t *segments,
                                   size_t count) {
  if (count == 0) return 0;
  return segments[count > 1 ? count - 2 : 0].id;
}

int64_t mt_kv_cache_shared_tokens (const mt_relay_request_t *r) {
  int64_t shared = 0;
  for (size_t i = 0; i + 1 < r->segments_count; i++)
    shared += r->segments[i].tokens;
  return shared;
}

bool mt_kv_cache_should_report (const mt_catalog_service_t *service,
                                const mt_relay_request_t *r) {
  if (r->segments_count < 2 || r->current.home) return false;
  if (!service->kv_transfer) return false;
  return mt_kv_cache_shared_tokens(r) >= TRANSFER_MIN_TOKENS;
}

int64_t mt_kv_cache_available (const mt_engine_t *e, int64_t kv_capacity) {
  return mt_max(kv_capacity - e->local.held - e->peers.held, kv_capacity / 8);
}

int64_t mt_kv_cache_cached_tokens (const mt_relay_request_t *r,
                                   const mt_engine_t *e,
                                   int64_t kv_capacity) {
  const mt_relay_candidate_t *candidate = mt_quotes_find(r, e->key);
  if (candidate != NULL && candidate->quoted) return candidate->cached;
  return mt_prefix_cache_match(&e->cached, r->segments, r->segments_count,
                               mt_kv_cache_available(e, kv_capacity));
}

/* A failing engine may never answer, and the request would wait for the
   transfer. What another software version has cached may not fit. */
static bool can_be_source (const mt_relay_t *relay,
                           const mt_relay_request_t *r, const mt_engine_t *e,
                           mt_id_t version) {
  if (e->service != r->service || !mt_engine_takes_work(e, relay->now))
    return false;
  if (e->version != version || version == 0) return false;
  if (e->unreachable || e->suspended_until > relay->now) return false;
  if (mt_connects_cut_off(relay, e)) return false;
  return e->failures == 0 && e->unlisted_since == 0;
}

/* A usable engine that an owner reported as holder of the shared segments. */
static mt_engine_t *reported_holder (const mt_relay_t *relay,
                                     const mt_relay_request_t *r,
                                     mt_id_t version) {
  if (relay->params.off[MT_RELAY_HOLDERS]) return NULL;
  for (size_t i = 0; i < r->candidates_count; i++) {
    mt_engine_t *e = mt_engines_get(&relay->engines, r->candidates[i].holder);
    if (e != NULL && can_be_source(relay, r, e, version)) return e;
  }
  return NULL;
}

mt_engine_t *mt_kv_cache_find_source (mt_relay_t *relay,
                                      const mt_relay_request_t *r,
                                      const mt_catalog_service_t *service,
                                      mt_id_t version, int64_t *tokens) {
  mt_engine_t *best = NULL;
  *tokens = 0;
  if (!service->kv_transfer || relay->params.off[MT_RELAY_FETCH]) return NULL;
  for (size_t i = 0; i < relay->engines.count; i++) {
    mt_engine_t *e = relay->engines.list[i];
    if (!can_be_source(relay, r, e, version)) continue;
    int64_t cached = mt_kv_cache_cached_tokens(r, e, service->kv_capacity);
    if (cached <= *tokens) continue;
    best = e;
    *tokens = cached;
  }
  int64_t shared = mt_kv_cache_shared_tokens(r);
  if (*tokens >= shared) return best;
  mt_engine_t *holder = reported_holder(relay, r, version);
  if (holder == NULL) return best;
  *tokens = shared;
  return holder;
}

mt_kv_fetch_t mt_kv_cache_plan_fetch (const mt_catalog_service_t *service,
                                      mt_engine_t *source,
                                      int64_t source_tokens,
                                      const mt_engine_t *to, int64_t cached,
                                      double ms_per_token) {
  int64_t saved = source_tokens - cached;
  if (source == NULL || source == to || saved < TRANSFER_MIN_TOKENS)
    return (mt_kv_fetch_t){.source = NULL};
  double bits = (double)(saved * service->kv_bytes_per_token * BITS_PER_BYTE);
  double ms =
      TRANSFER_SETUP_MS + bits / (service->link_mbps * BITS_PER_MS_PER_MBPS);
  if (ms >= (double)saved * ms_per_token)
    return (mt_kv_fetch_t){.source = NULL};
  return (mt_kv_fetch_t){source, saved, ms};
}
