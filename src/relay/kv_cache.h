/*
** kv_cache.h - cached prefixes of a prompt, and KV transfers between engines
**
** An engine that has to prefill a prompt can fetch the KV cache of a prefix
** from another engine over the engines' own network: a transfer takes some
** milliseconds where the prefill takes tens.
*/
#ifndef kv_cache_h
#define kv_cache_h

#include "relay.h"

/* A KV transfer that saves an engine some prefill. */
typedef struct mt_kv_fetch_t {
  mt_engine_t *source; /* NULL: no transfer */
  int64_t tokens;      /* fetched, beyond those that the engine has cached */
  double ms;           /* expected duration of the transfer */
} mt_kv_fetch_t;

/* The segment that selects the home engine: the last one that other prompts
   may share, since with it the longest shared prefix is cached; or the only
   one. 0: there is none. */
uint64_t mt_kv_cache_home_segment (const mt_prefix_segment_t *segments,
                                   size_t count);

/* Tokens of the segments that other prompts may share: all but the last. */
int64_t mt_kv_cache_shared_tokens (const mt_relay_request_t *request);

/*
** True if the request uses shared segments at an engine other than the home
** engine, which the owner of the home engine should know. Uses of cached
** segments count, too: caches evict what was not used for some seconds, so
** the last engine that used a segment is the best one to fetch it from.
*/
bool mt_kv_cache_should_report (const mt_catalog_service_t *service,
                                const mt_relay_request_t *request);

/* Tokens of KV cache that running requests leave free; at least an eighth of
   its capacity. */
int64_t mt_kv_cache_available (const mt_engine_t *engine,
                               int64_t kv_capacity);

/*
** Leading tokens of the prompt that the engine has cached, as its owner
** quoted for this request, or else by this router's own estimate.
*/
int64_t mt_kv_cache_cached_tokens (const mt_relay_request_t *request,
                                   const mt_engine_t *engine,
                                   int64_t kv_capacity);

/*
** The engine to fetch from, for engines of a software version: of those of
** the same version that are available and have not just failed, the one with
** most of the prompt cached; `tokens` gets how many it has. NULL if no engine
** has any, or the service does not support transfers.
*/
mt_engine_t *mt_kv_cache_find_source (mt_relay_t *relay,
                                      const mt_relay_request_t *request,
                                      const mt_catalog_service_t *service,
                                      mt_id_t version, int64_t *tokens);

/*
** The transfer from `source`, which has `source_tokens` of the prompt cached,
** to an engine that has `cached` of them and prefills a token in
** `ms_per_token`; none if the prefill is faster.
*/
mt_kv_fetch_t mt_kv_cache_plan_fetch (const mt_catalog_service_t *service,
                                      mt_engine_t *source,
                                      int64_t source_tokens,
                                      const mt_engine_t *to, int64_t cached,
                                      double ms_per_token);

#endif
