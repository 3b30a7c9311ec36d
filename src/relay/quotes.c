/*
** quotes.c - asks the owners of a few engines before a request is placed
*/
#include "candidates.h"
#include "domain_load.h"
#include "quotes.h"

#define WAIT_MS 20      /* for answers of owners */
#define USUAL_FADE 0.95 /* per answer of a home's owner */
#define ROUNDS_MOST 2   /* the own failure domain's engines, then others' */
#define FAR_ASKED 2     /* failure domains, in the second round */
#define FRESH_MS 250    /* an answer is taken as it is for so long */
#define FADE_PART 0.2   /* of the difference, per update */

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

static void add_candidate (mt_relay_request_t *r, const mt_engine_t *e) {
  r->candidates[r->candidates_count++] =
      (mt_relay_candidate_t){.engine = e->key};
}

bool mt_quotes_ask (mt_relay_t *relay, mt_relay_request_t *r) {
  size_t before = r->candidates_count;
  r->round_first = before;
  bool alone = relay->routers < 2;
  if (alone && mt_cold_starts_count(&relay->cold, relay->now) == 0)
    return false;
  if (r->rounds >= ROUNDS_MOST) return false;
  if (relay->terms.off[MT_RELAY_QUOTES]) return false;
  if (r->rounds > 0 && relay->terms.off[MT_RELAY_FAR_ROUND]) return false;
  int most = r->rounds > 0 ? FAR_ASKED : MT_RELAY_ROUND_MAX;
  for (int i = 0; i < most; i++) {
    const mt_engine_t *e = mt_candidates_next(relay, r);
    if (e == NULL) break;
    add_candidate(r, e);
  }
  if (r->candidates_count == before) return false;
  r->rounds++;
  r->asked = relay->now;
  return true;
}

/* Homes are chosen by a hash, so what is told of them is a fair sample. */
static void learn_usual (mt_relay_t *relay, const mt_relay_request_t *r,
                         const mt_engine_load_t *load) {
  mt_relay_service_t *s = mt_relay_service(relay, r->service);
  double pending_prefill = (double)load->pending_prefill,
         running = load->running;
  s->usual_unread =
      s->usual_unread * USUAL_FADE + pending_prefill * (1 - USUAL_FADE);
  s->usual_running =
      s->usual_running * USUAL_FADE + running * (1 - USUAL_FADE);
}

bool mt_quotes_take (mt_relay_t *relay, mt_relay_request_t *r,
                     const mt_relay_quote_t *quotes, size_t count) {
  for (size_t i = 0; i < count; i++) {
    const mt_relay_quote_t *quote = &quotes[i];
    mt_engine_t *e = mt_engines_get(&relay->engines, quote->engine);
    if (e != NULL) {
      e->peers = quote->peers;
      e->quoted = relay->now;
      if (e->remote) mt_domain_loads_learn(relay, e, &quote->peers);
      if (quote->admission == MT_ADMIT_WARM)
        mt_cold_starts_note(&relay->cold, e->key, relay->now, relay->now);
    }
    for (size_t k = 0; k < r->candidates_count; k++) {
      mt_relay_candidate_t *candidate = &r->candidates[k];
      if (candidate->engine != quote->engine) continue;
      candidate->quoted = true;
      candidate->cached = quote->cached;
      candidate->holder = quote->holder;
      candidate->admission = quote->admission;
      relay->counters.admissions[quote->admission]++;
      if (k == 0) learn_usual(relay, r, &quote->peers);
    }
  }
  for (size_t k = r->round_first; k < r->candidates_count; k++)
    if (!r->candidates[k].quoted) return false;
  return true;
}

bool mt_quotes_overdue (const mt_relay_t *relay,
                        const mt_relay_request_t *r) {
  return relay->seen >= r->asked + WAIT_MS;
}

void mt_quotes_fade (mt_relay_t *relay) {
  for (size_t i = 0; i < relay->engines.count; i++) {
    mt_engine_t *e = relay->engines.list[i];
    if (e->quoted == 0 || relay->now - e->quoted < FRESH_MS) continue;
    const mt_relay_service_t *s = mt_relay_service(relay, e->service);
    double pending_prefill = (double)e->peers.pending_prefill;
    double running = e->peers.running;
    e->peers.pending_prefill +=
        (int64_t)((s->usual_unread - pending_prefill) * FADE_PART);
    e->peers.running += (int32_t)((s->usual_running - running) * FADE_PART);
  }
}
