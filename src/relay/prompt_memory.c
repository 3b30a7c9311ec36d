/*
** prompt_memory.c - what engines keep of a prompt, and moving it between them
*/
#include "prompt_memory.h"
#include "quotes.h"

#define SETUP_MS 2.0     /* of a move, whatever its size */
#define LEAST_TOKENS 128 /* fewer are read faster than a move is set up */
#define BITS_PER_BYTE 8
#define BITS_PER_MS_OF_MBPS 1000.0

uint64_t mt_prompt_memory_home_part (const mt_prefix_part_t *parts,
                                     size_t count) {
  if (count == 0) return 0;
  return parts[count > 1 ? count - 2 : 0].id;
}

int64_t mt_prompt_memory_shared (const mt_relay_request_t *r) {
  int64_t shared = 0;
  for (size_t i = 0; i + 1 < r->parts_count; i++)
    shared += r->parts[i].tokens;
  return shared;
}

bool mt_prompt_memory_is_news (const mt_relay_request_t *r) {
  if (r->parts_count < 2 || r->home) return false;
  int64_t own = r->parts[r->parts_count - 1].tokens;
  return r->unread >= own + LEAST_TOKENS;
}

int64_t mt_prompt_memory_room (const mt_engine_t *e, int64_t memory) {
  return mt_max(memory - e->here.held - e->peers.held, memory / 8);
}

int64_t mt_prompt_memory_kept (const mt_relay_request_t *r,
                               const mt_engine_t *e, int64_t memory) {
  const mt_relay_candidate_t *told = mt_quotes_find(r, e->key);
  if (told != NULL && told->quoted) return told->kept;
  return mt_prefix_cache_match(&e->kept, r->parts, r->parts_count,
                               mt_prompt_memory_room(e, memory));
}

/* What is suspect may never answer: the request would wait for the move. */
static bool can_give (const mt_relay_t *relay, const mt_relay_request_t *r,
                      const mt_engine_t *e) {
  if (e->service != r->service || !mt_engine_takes_work(e, relay->now))
    return false;
  if (e->unreachable || e->hold > relay->now) return false;
  return e->failures == 0 && e->vanished == 0;
}

/* An engine that some owner names as holder of all shared parts. */
static mt_engine_t *told_holder (const mt_relay_t *relay,
                                 const mt_relay_request_t *r) {
  if (relay->terms.off[MT_RELAY_HOLDERS]) return NULL;
  for (size_t i = 0; i < r->candidates_count; i++) {
    mt_engine_t *e = mt_engines_get(&relay->engines, r->candidates[i].holder);
    if (e != NULL && can_give(relay, r, e)) return e;
  }
  return NULL;
}

mt_engine_t *mt_prompt_memory_source (mt_relay_t *relay,
                                      const mt_relay_request_t *r,
                                      const mt_catalog_service_t *service,
                                      int64_t *tokens) {
  mt_engine_t *best = NULL;
  *tokens = 0;
  if (!service->moves || relay->terms.off[MT_RELAY_FETCH]) return NULL;
  for (size_t i = 0; i < relay->engines.count; i++) {
    mt_engine_t *e = relay->engines.list[i];
    if (!can_give(relay, r, e)) continue;
    int64_t kept = mt_prompt_memory_kept(r, e, service->memory);
    if (kept <= *tokens) continue;
    best = e;
    *tokens = kept;
  }
  int64_t shared = mt_prompt_memory_shared(r);
  if (*tokens >= shared) return best;
  mt_engine_t *holder = told_holder(relay, r);
  if (holder == NULL) return best;
  *tokens = shared;
  return holder;
}

mt_fetch_t mt_prompt_memory_fetch (const mt_catalog_service_t *service,
                                   mt_engine_t *source, int64_t there,
                                   const mt_engine_t *to, int64_t kept,
                                   double ms_per_token) {
  int64_t more = there - kept;
  if (source == NULL || source == to || more < LEAST_TOKENS)
    return (mt_fetch_t){.source = NULL};
  double bits = (double)(more * service->token_bytes * BITS_PER_BYTE);
  double ms = SETUP_MS + bits / (service->link_mbps * BITS_PER_MS_OF_MBPS);
  if (ms >= (double)more * ms_per_token) return (mt_fetch_t){.source = NULL};
  return (mt_fetch_t){source, more, ms};
}
