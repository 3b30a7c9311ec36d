/*
** placement.h - chooses the engine for a request, or finds no room for it
*/
#ifndef placement_h
#define placement_h

#include "domain_load.h"
#include "kv_cache.h"

typedef struct mt_placement_t {
  mt_engine_t *engine; /* NULL: none is usable */
  int64_t miss;        /* prompt tokens it probably has to prefill */
  double wait_ms;      /* expected until it begins to prefill this prompt */
  double ttft_ms;      /* expected time to first token */
  double slowness;     /* of the engine, as used for these times */
  double pause_ms;     /* expected longest gap between events; 0: unknown */
  bool full;           /* all its slots are taken */
  bool has_room;       /* a slot, and the wait is within the limit */
  double pause_cost; /* of gaps over the target, ms of time to first token */
  bool home;         /* it is the fleet's home of the segments */
  mt_kv_fetch_t fetch; /* KV cache to fetch from another engine */
} mt_placement_t;

/*
** The best engine for the request: of those with quotes, if any can take it,
** else of all. For a language model this is the engine with the least
** expected time to first token, with the prefill of uncached tokens weighted
** more; for another service the one with the lowest fraction of its slots in
** use. Among equals the local failure domain is preferred.
**
** For a hedge, engines that were seen to work since the first attempt fell
** silent are preferred, and looked for among all that run requests of this
** router.
*/
mt_placement_t mt_placement_choose (mt_relay_t *relay,
                                    const mt_relay_request_t *request);

/* False if recent quotes show the failure domain too full for the request. */
bool mt_placement_may_have_room (mt_relay_t *relay,
                                 const mt_relay_request_t *request,
                                 const mt_domain_load_t *load);

/* The best of these engines; NULL: none is usable. */
mt_engine_t *mt_placement_best_of (mt_relay_t *relay,
                                   const mt_relay_request_t *request,
                                   mt_engine_t *const *engines, size_t count);

/* True if there is room for the request at the placement's engine; `why` gets
   the reason otherwise. */
bool mt_placement_admits (mt_relay_t *relay,
                          const mt_relay_request_t *request,
                          const mt_placement_t *placement,
                          mt_relay_refusal_t *why);

#endif
