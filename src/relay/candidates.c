/*
** candidates.c - which engines are asked for quotes before a request is
** placed
*/
#include <math.h>
#include <string.h>

#include "admission.h"
#include "candidates.h"
#include "connects.h"
#include "placement.h"
#include "quotes.h"
#include "stream_resume.h"

/*
** Engines that are compared to find one candidate. Each request compares
** others, from a start given by its id: with a common order all routers would
** choose the same few engines. The bound keeps the time independent of the
** number of engines.
*/
#define SAMPLE_MAX 16
#define HOMES_MAX 2 /* asked in the first round, before other engines */

static bool was_tried (const mt_relay_request_t *r, uint64_t key) {
  for (int i = 0; i < r->tried_count; i++)
    if (r->tried[i] == key) return true;
  return false;
}

void mt_candidates_forget_try (mt_relay_request_t *r, uint64_t key) {
  for (int i = 0; i < r->tried_count; i++)
    if (r->tried[i] == key) r->tried[i] = 0;
}

bool mt_candidates_was_reached (const mt_relay_request_t *r, uint64_t key) {
  for (int i = 0; i < r->reached_count; i++)
    if (r->reached[i] == key) return true;
  return false;
}

void mt_candidates_note_invalid (mt_relay_request_t *r, uint64_t key) {
  if (r->resumable) r->invalid[r->invalid_count++] = key;
}

bool mt_candidates_may_return (const mt_relay_request_t *r) {
  for (int i = 0; r->resumable && i < r->reached_count; i++)
    if (!was_tried(r, r->reached[i])) return true;
  return r->invalid_count > 0;
}

bool mt_candidates_return (mt_relay_request_t *r) {
  bool any = r->invalid_count > 0;
  while (r->invalid_count > 0)
    mt_candidates_forget_try(r, r->invalid[--r->invalid_count]);
  return any;
}

/* True if the request may be sent to this engine without reaching more of
   them than its route allows. */
static bool is_within_limit (const mt_relay_request_t *r, uint64_t key) {
  return r->reached_count == 0 || r->reached_count < r->attempts_max ||
         mt_candidates_was_reached(r, key);
}

/* True if the failure domain of the engine is unreachable, and others are
   not. */
static bool is_cut_off (const mt_relay_t *relay, const mt_relay_request_t *r,
                        const mt_engine_t *e) {
  return !r->ignores_cuts && mt_connects_cut_off(relay, e);
}

/* The same as usable, but for the number of engines that may receive it. */
static bool takes_request (const mt_relay_t *relay,
                           const mt_relay_request_t *r,
                           const mt_engine_t *e) {
  if (e->service != r->service || !mt_engine_takes_work(e, relay->now))
    return false;
  if (e->unreachable || e->evacuated || mt_resume_excludes(relay, r, e))
    return false;
  if (e->suspended_until > relay->now && !relay->params.off[MT_RELAY_SUSPEND])
    return false;
  return !was_tried(r, e->key) && !is_cut_off(relay, r, e);
}

bool mt_candidates_usable (const mt_relay_t *relay,
                           const mt_relay_request_t *r,
                           const mt_engine_t *e) {
  return is_within_limit(r, e->key) && takes_request(relay, r, e);
}

void mt_candidates_check_cuts (mt_relay_t *relay, mt_relay_request_t *r) {
  r->ignores_cuts = false;
  if (relay->reaches.unreachable == 0) return;
  for (size_t i = 0; i < relay->engines.count; i++)
    if (takes_request(relay, r, relay->engines.list[i])) return;
  r->ignores_cuts = true;
}

mt_ms_t mt_candidates_backoff_left (const mt_relay_t *relay,
                                    const mt_relay_request_t *r) {
  mt_ms_t least = 0;
  for (size_t i = 0; i < relay->engines.count; i++) {
    const mt_engine_t *e = relay->engines.list[i];
    if (e->service != r->service || !mt_engine_is_available(e, relay->now))
      continue;
    if (mt_resume_excludes(relay, r, e)) continue;
    if (e->unreachable || e->evacuated || is_cut_off(relay, r, e)) continue;
    mt_ms_t left = mt_engine_backoff_left(e, relay->now);
    if (left == 0) return 0;
    if (least == 0 || left < least) least = left;
  }
  return least;
}

/* {== Homes ============================================================ */

/* The home found so far and its rendezvous score; NULL: none. */
typedef struct home_t {
  const mt_engine_t *engine;
  double score;
} home_t;

/* Score of an engine in weighted rendezvous hashing, 0 to 1. One that sends
   invalid responses loses its requests as one that rejects them does. */
static double home_score (const mt_relay_t *relay, const mt_engine_t *e,
                          uint64_t hash) {
  double rate = fmax(mt_engine_rejection_rate(e, relay->now),
                     mt_engine_invalid_rate(e, relay->now));
  double weight = mt_rejections_home_weight(rate);
  double score = ((double)hash + 1) / 0x1p64;
  return weight < 1 ? pow(score, 1 / weight) : score;
}

static void keep_best (home_t *home, const mt_engine_t *e, double score) {
  if (home->engine != NULL && score <= home->score) return;
  *home = (home_t){e, score};
}

/* True if the engine can be a home for the request's segments. */
static bool may_be_home (const mt_relay_t *relay, const mt_relay_request_t *r,
                         const mt_engine_t *e) {
  return e->service == r->service && mt_engine_is_available(e, relay->now) &&
         !e->evacuated && !mt_resume_excludes(relay, r, e);
}

/*
** Weighted rendezvous hashing, so that all routers find the same homes
** without exchanging messages: engines by the hash of segment and engine, of
** all and of the local failure domain. While engines reject most requests, a
** router finds others than one that does not know of it yet. `except`: key of
** an engine to leave out.
*/
static void find_homes (const mt_relay_t *relay, const mt_relay_request_t *r,
                        uint64_t except, home_t *global, home_t *local) {
  uint64_t segment = mt_kv_cache_home_segment(r->segments, r->segments_count);
  *global = *local = (home_t){NULL, 0};
  if (segment == 0 || relay->params.off[MT_RELAY_HOME]) return;
  for (size_t i = 0; i < relay->engines.count; i++) {
    const mt_engine_t *e = relay->engines.list[i];
    if (e->key == except || !may_be_home(relay, r, e)) continue;
    double score = home_score(relay, e, mtV_mix(segment, e->key));
    keep_best(global, e, score);
    if (!e->remote) keep_best(local, e, score);
  }
}

void mt_candidates_find_homes (mt_relay_t *relay, mt_relay_request_t *r) {
  home_t global, local;
  mt_candidates_check_cuts(relay, r);
  find_homes(relay, r, 0, &global, &local);
  r->home_global = global.engine != NULL ? global.engine->key : 0;
  r->home_local = local.engine != NULL ? local.engine->key : 0;
}

/* True if the engine is usable and not a candidate yet. */
static bool may_ask (const mt_relay_t *relay, const mt_relay_request_t *r,
                     const mt_engine_t *e) {
  return mt_quotes_find(r, e->key) == NULL &&
         mt_candidates_usable(relay, r, e);
}

/* The engine with this key if its owner may be asked about it, or NULL. */
static const mt_engine_t *may_ask_key (const mt_relay_t *relay,
                                       const mt_relay_request_t *r,
                                       uint64_t key) {
  const mt_engine_t *e = mt_engines_get(&relay->engines, key);
  return e != NULL && may_ask(relay, r, e) ? e : NULL;
}

/*
** The home in the local failure domain; then that of the fleet, which may
** cache the segments or whose owner may know which engine does; if both are
** the same engine, the second in the local failure domain.
*/
static const mt_engine_t *next_home (mt_relay_t *relay,
                                     const mt_relay_request_t *r) {
  const mt_engine_t *local = may_ask_key(relay, r, r->home_local);
  const mt_engine_t *global = may_ask_key(relay, r, r->home_global);
  home_t second, second_local;
  if (local != NULL) return local;
  if (r->home_local == 0) return NULL;
  if (global != NULL) return global;
  if (r->home_local != r->home_global) return NULL;
  if (relay->params.off[MT_RELAY_SECOND_HOME]) return NULL;
  find_homes(relay, r, r->home_local, &second, &second_local);
  bool good =
      second_local.engine != NULL && may_ask(relay, r, second_local.engine);
  return good ? second_local.engine : NULL;
}

/* }== */

/* {== Remote failure domains =========================================== */

static bool is_domain_asked (const mt_relay_t *relay,
                             const mt_relay_request_t *r, mt_id_t domain) {
  for (size_t i = r->round_first; i < r->candidates_count; i++) {
    const mt_engine_t *e =
        mt_engines_get(&relay->engines, r->candidates[i].engine);
    if (e != NULL && e->domain_id == domain) return true;
  }
  return false;
}

/* The least loaded remote failure domain of those that may have room and are
   not asked in this round, one whose engines all reject last; NULL: none. */
static const mt_domain_load_t *next_domain (mt_relay_t *relay,
                                            const mt_relay_request_t *r) {
  const mt_domain_load_t *best = NULL;
  bool best_rejects = false;
  for (size_t i = 0; i < relay->engines.count; i++) {
    const mt_engine_t *e = relay->engines.list[i];
    if (!e->remote || !may_ask(relay, r, e)) continue;
    const mt_domain_load_t *load = mt_domain_loads_get(relay, e);
    bool rejects = mt_engine_is_rejecting(e, relay->now);
    bool better = best == NULL || (best_rejects && !rejects) ||
                  (best_rejects == rejects &&
                   load->pending_prefill < best->pending_prefill);
    if (!better || is_domain_asked(relay, r, e->domain_id)) continue;
    if (!mt_placement_may_have_room(relay, r, load)) continue;
    best = load;
    best_rejects = rejects;
  }
  return best;
}

/* The home of the request's segments in the next remote failure domain;
   without segments any engine there. */
static const mt_engine_t *next_remote_home (mt_relay_t *relay,
                                            const mt_relay_request_t *r) {
  uint64_t segment = mt_kv_cache_home_segment(r->segments, r->segments_count);
  const mt_domain_load_t *load = next_domain(relay, r);
  home_t home = {NULL, 0};
  if (segment == 0) segment = r->number;
  for (size_t i = 0; load != NULL && i < relay->engines.count; i++) {
    const mt_engine_t *e = relay->engines.list[i];
    if (!e->remote || e->domain_id != load->domain) continue;
    if (!may_ask(relay, r, e)) continue;
    keep_best(&home, e, home_score(relay, e, mtV_mix(segment, e->key)));
  }
  return home.engine;
}

/* }== */

/*
** True if a cold engine is among the candidates. Its owner may grant no
** permit, so no further cold engine is sampled in place of a warm one.
*/
static bool has_cold_candidate (const mt_relay_t *relay,
                                const mt_relay_request_t *r) {
  for (size_t i = 0; i < r->candidates_count; i++) {
    const mt_engine_t *e =
        mt_engines_get(&relay->engines, r->candidates[i].engine);
    if (e != NULL && mt_admission_is_cold(relay, e)) return true;
  }
  return false;
}

/*
** The best of a sample of engines of the local failure domain; of all, if
** there are no more than SAMPLE_MAX.
*/
static const mt_engine_t *best_of_sample (mt_relay_t *relay,
                                          const mt_relay_request_t *r) {
  mt_engine_t *sample[SAMPLE_MAX];
  size_t found = 0, count = relay->engines.count;
  size_t start = count ? mtV_hash(r->id, strlen(r->id)) % count : 0;
  bool cold = has_cold_candidate(relay, r);
  for (size_t i = 0; i < count && found < SAMPLE_MAX; i++) {
    mt_engine_t *e = relay->engines.list[(start + i) % count];
    if (e->remote || e->service != r->service) continue;
    if (mt_quotes_find(r, e->key) != NULL) continue;
    if (!mt_candidates_usable(relay, r, e)) continue;
    if (cold && mt_admission_is_cold(relay, e)) continue;
    sample[found++] = e;
  }
  return mt_placement_best_of(relay, r, sample, found);
}

const mt_engine_t *mt_candidates_next (mt_relay_t *relay,
                                       const mt_relay_request_t *r) {
  const mt_engine_t *e = NULL;
  if (r->rounds > 0) return next_remote_home(relay, r);
  if (r->candidates_count < HOMES_MAX) e = next_home(relay, r);
  if (e == NULL) e = best_of_sample(relay, r);
  return e;
}

const mt_engine_t *mt_candidates_next_local (mt_relay_t *relay,
                                             const mt_relay_request_t *r) {
  return best_of_sample(relay, r);
}

const mt_engine_t *mt_candidates_next_remote (mt_relay_t *relay,
                                              const mt_relay_request_t *r) {
  return next_remote_home(relay, r);
}
