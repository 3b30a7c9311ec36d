/*
** quotes.c - asks owners of engines for quotes before a request is placed
*/
#include "candidates.h"
#include "domain_load.h"
#include "quotes.h"

#define QUOTE_TIMEOUT_MS 20  /* a round's quotes are awaited for this long */
#define AVG_DECAY 0.95       /* weight of the old average against one quote */
#define ROUNDS_MAX 2         /* local failure domain, then remote ones */
#define REMOTE_DOMAINS_MAX 2 /* failure domains asked in one round */
/* Engines of the local failure domain that are asked in a further round. */
#define FURTHER_LOCAL_MAX (MT_RELAY_ROUND_MAX - REMOTE_DOMAINS_MAX)
/* The load of a quote is used unchanged for this long; then it decays towards
   the average of the service. */
#define FRESH_MS 250
#define DECAY_FRACTION 0.2 /* of the distance to the average, per update */

const mt_relay_candidate_t *mt_quotes_find (const mt_relay_request_t *r,
                                            uint64_t engine) {
  for (size_t i = 0; i < r->candidates_count; i++)
    if (r->candidates[i].engine == engine) return &r->candidates[i];
  return NULL;
}

bool mt_quotes_any (const mt_relay_request_t *r) {
  for (size_t i = 0; i < r->candidates_count; i++)
    if (r->candidates[i].quoted) return true;
  return false;
}

/* Adds the engine to the round; false if there is none, or no space. */
static bool add_candidate (mt_relay_t *relay, mt_relay_request_t *r,
                           const mt_engine_t *e) {
  if (e == NULL || r->candidates_count == MT_RELAY_CANDIDATES_MAX)
    return false;
  r->candidates[r->candidates_count++] =
      (mt_relay_candidate_t){.engine = e->key, .asked = relay->now};
  return true;
}

/* True if the relay asks owners at all: there is another router, or a cold
   engine. */
static bool asks_owners (const mt_relay_t *relay) {
  if (relay->params.off[MT_RELAY_QUOTES]) return false;
  return relay->routers >= 2 ||
         mt_cold_starts_count(&relay->cold, relay->now) > 0;
}

/* Ends the choice of the engines of a round; false if there are none. */
static bool begin_round (mt_relay_t *relay, mt_relay_request_t *r) {
  if (r->candidates_count == r->round_first) return false;
  r->rounds++;
  r->asked = relay->now;
  return true;
}

bool mt_quotes_ask (mt_relay_t *relay, mt_relay_request_t *r) {
  r->round_first = r->candidates_count;
  if (!asks_owners(relay) || r->rounds >= ROUNDS_MAX) return false;
  if (r->rounds > 0 && relay->params.off[MT_RELAY_REMOTE_ROUND]) return false;
  int limit = r->rounds > 0 ? REMOTE_DOMAINS_MAX : MT_RELAY_ROUND_MAX;
  for (int i = 0; i < limit; i++)
    if (!add_candidate(relay, r, mt_candidates_next(relay, r))) break;
  return begin_round(relay, r);
}

bool mt_quotes_ask_further (mt_relay_t *relay, mt_relay_request_t *r) {
  r->round_first = r->candidates_count;
  if (!asks_owners(relay)) return false;
  for (int i = 0; i < FURTHER_LOCAL_MAX; i++)
    if (!add_candidate(relay, r, mt_candidates_next_local(relay, r))) break;
  bool remote = !relay->params.off[MT_RELAY_REMOTE_ROUND];
  for (int i = 0; remote && i < REMOTE_DOMAINS_MAX; i++)
    if (!add_candidate(relay, r, mt_candidates_next_remote(relay, r))) break;
  /* The limits of remote failure domains apply from the second round on. */
  r->rounds = mt_max(r->rounds, ROUNDS_MAX - 1);
  return begin_round(relay, r);
}

/* Called for the first candidate only, mostly a home: homes are chosen by
   hash, so their load is an unbiased sample of the engines that accept. */
static void update_averages (mt_relay_t *relay, const mt_relay_request_t *r,
                             const mt_engine_load_t *load) {
  mt_relay_service_t *s = mt_relay_service(relay, r->service);
  double pending_prefill = (double)load->pending_prefill,
         running = load->running;
  s->avg_pending_prefill =
      s->avg_pending_prefill * AVG_DECAY + pending_prefill * (1 - AVG_DECAY);
  s->avg_running = s->avg_running * AVG_DECAY + running * (1 - AVG_DECAY);
}

bool mt_quotes_receive (mt_relay_t *relay, mt_relay_request_t *r,
                        const mt_relay_quote_t *quotes, size_t count) {
  for (size_t i = 0; i < count; i++) {
    const mt_relay_quote_t *quote = &quotes[i];
    mt_engine_t *e = mt_engines_get(&relay->engines, quote->engine);
    if (e != NULL) {
      e->peers = quote->peers;
      e->quoted = relay->now;
      e->quoted_speed = quote->speed;
      e->quoted_rejection_rate = relay->params.off[MT_RELAY_FLEET_REJECTIONS]
                                     ? 0
                                     : quote->rejection_rate;
      if (e->remote) mt_domain_loads_learn(relay, e, &quote->peers);
      if (quote->admission == MT_ADMIT_WARM)
        mt_cold_starts_set(&relay->cold, e->key, relay->now, relay->now);
    }
    for (size_t k = 0; k < r->candidates_count; k++) {
      mt_relay_candidate_t *candidate = &r->candidates[k];
      if (candidate->engine != quote->engine) continue;
      candidate->quoted = true;
      candidate->cached = quote->cached;
      candidate->holder = quote->holder;
      candidate->admission = quote->admission;
      relay->counters.admissions[quote->admission]++;
      if (k == 0) update_averages(relay, r, &quote->peers);
    }
  }
  for (size_t k = r->round_first; k < r->candidates_count; k++)
    if (!r->candidates[k].quoted) return false;
  return true;
}

bool mt_quotes_overdue (const mt_relay_t *relay,
                        const mt_relay_request_t *r) {
  return relay->last_tick >= r->asked + QUOTE_TIMEOUT_MS;
}

void mt_quotes_decay (mt_relay_t *relay) {
  for (size_t i = 0; i < relay->engines.count; i++) {
    mt_engine_t *e = relay->engines.list[i];
    if (e->quoted == 0 || relay->now - e->quoted < FRESH_MS) continue;
    const mt_relay_service_t *s = mt_relay_service(relay, e->service);
    double pending_prefill = (double)e->peers.pending_prefill;
    double running = e->peers.running;
    e->peers.pending_prefill +=
        (int64_t)((s->avg_pending_prefill - pending_prefill) *
                  DECAY_FRACTION);
    e->peers.running +=
        (int32_t)((s->avg_running - running) * DECAY_FRACTION);
  }
}
