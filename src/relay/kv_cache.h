/*
** kv_cache.h - what engines keep of a prompt, and moving it between
** them
**
** An engine that has to read a prompt can take the part that another
** engine keeps from there, over the engines' own network: some
** milliseconds of moving in place of tens of reading.
*/
#ifndef kv_cache_h
#define kv_cache_h

#include "relay.h"

/* A move that would spare an engine some reading. */
typedef struct mt_kv_fetch_t {
  mt_engine_t *source; /* NULL: nothing to be had */
  int64_t tokens;      /* more than the engine keeps itself */
  double ms;           /* that the move takes */
} mt_kv_fetch_t;

/* The part that others share and that is most worth finding kept; 0: none. */
uint64_t mt_kv_cache_home_segment (const mt_prefix_segment_t *parts,
                                   size_t count);

/* Tokens of the parts that others share. */
int64_t mt_kv_cache_shared_tokens (const mt_relay_request_t *request);

/*
** True when this router's request makes its engine read parts that others
** share, away from their home: the owner of the home should know.
*/
bool mt_kv_cache_should_report (const mt_relay_request_t *request);

/* Tokens that an engine can keep beside what is running there. */
int64_t mt_kv_cache_available (const mt_engine_t *engine,
                               int64_t kv_capacity);

/*
** Leading tokens of the prompt that the engine keeps, as its owner says or
** else as this router believes.
*/
int64_t mt_kv_cache_cached_tokens (const mt_relay_request_t *request,
                                   const mt_engine_t *engine,
                                   int64_t kv_capacity);

/*
** The engine that keeps most of the prompt and can be taken from: one that is
** ready and has not just failed. `tokens` gets how much it keeps. NULL when
** the service's engines move nothing or none keeps any.
*/
mt_engine_t *mt_kv_cache_find_source (mt_relay_t *relay,
                                      const mt_relay_request_t *request,
                                      const mt_catalog_service_t *service,
                                      int64_t *tokens);

/*
** The move from `source`, which keeps `there` tokens, to an engine that keeps
** `cached` and reads a token in `ms_per_token`; none if reading is faster.
*/
mt_kv_fetch_t mt_kv_cache_plan_fetch (const mt_catalog_service_t *service,
                                      mt_engine_t *source, int64_t there,
                                      const mt_engine_t *to, int64_t cached,
                                      double ms_per_token);

#endif
