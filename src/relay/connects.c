/*
** connects.c - what the outcomes of connects tell about engines and their
** failure domains
*/
#include "connects.h"

/* Without probes an unreachable failure domain gets no requests for this
   long. */
#define UNPROBED_WAIT_MS 1000
#define SILENT_PROBE_INTERVAL_MS 500 /* between probes of a silent engine */

static mt_domain_change_t record (mt_relay_t *relay, const mt_engine_t *e,
                                  mt_connect_outcome_t outcome) {
  if (!e->remote || relay->params.off[MT_RELAY_DOMAIN_REACH])
    return MT_DOMAIN_UNCHANGED;
  mt_domain_change_t change = mt_domain_reach_record(
      &relay->reaches, e->domain_id, e->key, outcome, relay->now);
  if (change == MT_DOMAIN_LOST) relay->counters.domain_cuts++;
  if (change != MT_DOMAIN_UNCHANGED && relay->log_domain != NULL)
    relay->log_domain(relay->log_ud, e, change == MT_DOMAIN_REGAINED);
  return change;
}

void mt_connects_made (mt_relay_t *relay, const mt_engine_t *e) {
  record(relay, e, MT_CONNECT_MADE);
}

bool mt_connects_cut_off (const mt_relay_t *relay, const mt_engine_t *e) {
  return e->remote &&
         mt_domain_reach_is_unreachable(&relay->reaches, e->domain_id);
}

void mt_connects_engine_failed (mt_relay_t *relay, mt_engine_t *e) {
  mt_engine_doubt_version(e, relay->now);
  if (!mt_connects_cut_off(relay, e)) mt_engine_failed(e, relay->now);
}

static void probe_silent (mt_relay_t *relay, mt_engine_t *e) {
  if (relay->params.off[MT_RELAY_PROBE] || e->probing || e->unreachable ||
      relay->now < e->next_probe)
    return;
  e->probing = true;
  e->next_probe = relay->now + SILENT_PROBE_INTERVAL_MS;
  mt_relay_effect(relay, MT_RELAY_DO_PROBE)->u.probe = e->key;
  relay->counters.probes++;
}

/* It may have restarted without a word, at another version. */
void mt_connects_engine_silent (mt_relay_t *relay, mt_engine_t *e) {
  if (!mt_engine_is_silent(e, relay->now)) {
    relay->counters.silent_engines++;
    mt_engine_doubt_version(e, relay->now);
  }
  mt_engine_found_silent(e, relay->now);
  probe_silent(relay, e);
}

/*
** An engine that is already marked as unreachable gives no new evidence by
** another time-out: two engines that are down would otherwise mark their
** domain again with each probe of them.
*/
bool mt_connects_failed (mt_relay_t *relay, mt_engine_t *e, bool refused) {
  mt_domain_change_t change = MT_DOMAIN_UNCHANGED;
  if (refused)
    change = record(relay, e, MT_CONNECT_REFUSED);
  else if (!e->unreachable)
    change = record(relay, e, MT_CONNECT_TIMED_OUT);
  mt_engine_set_reachable(e, false, relay->now);
  mt_engine_doubt_version(e, relay->now);
  e->next_probe = relay->now;
  return change == MT_DOMAIN_LOST;
}

/*
** A connection that opens clears the failures of an engine that was
** unreachable, not those of one that failed requests. An engine that was
** probed only for its domain gets no mark of its own, so that it is usable as
** soon as any engine of the domain is reached; a silent one does.
*/
void mt_connects_probed (mt_relay_t *relay, mt_engine_t *e, bool up,
                         bool refused) {
  if (!up) mt_engine_doubt_version(e, relay->now);
  if (up || refused)
    record(relay, e, up ? MT_CONNECT_MADE : MT_CONNECT_REFUSED);
  bool silent = !up && mt_engine_is_silent(e, relay->now);
  if (!e->unreachable && !refused && !silent)
    e->probing = false;
  else
    mt_engine_set_reachable(e, up, relay->now);
}

/* {== Probes =========================================================== */

/* The order of an engine among those of its domain: by key, after the one
   that was probed last. At first those whose own connects failed come last:
   the domain may be reachable, and only they may be down. */
static uint64_t probe_order (const mt_domain_reach_t *reach,
                             const mt_engine_t *e) {
  if (reach->probed == 0 && e->unreachable) return UINT64_MAX;
  return e->key - reach->probed - 1; /* modulo 2^64 */
}

/* The engine to probe: each of the domain in turn, so that one that is down
   does not keep its domain unreachable. */
static mt_engine_t *next_to_probe (const mt_relay_t *relay,
                                   const mt_domain_reach_t *reach) {
  mt_engine_t *best = NULL;
  uint64_t best_order = 0;
  for (size_t i = 0; i < relay->engines.count; i++) {
    mt_engine_t *e = relay->engines.list[i];
    if (!e->remote || e->domain_id != reach->domain) continue;
    if (e->probing || !mt_engine_is_available(e, relay->now)) continue;
    uint64_t order = probe_order(reach, e);
    if (best != NULL && order >= best_order) continue;
    best = e;
    best_order = order;
  }
  return best;
}

static void probe_domain (mt_relay_t *relay, mt_domain_reach_t *reach) {
  const mt_engine_t *last = mt_engines_get(&relay->engines, reach->probed);
  if (last != NULL && last->probing) return;
  mt_engine_t *e = next_to_probe(relay, reach);
  if (e == NULL) return;
  e->probing = true;
  mt_domain_reach_probed(reach, e->key, relay->now);
  mt_relay_effect(relay, MT_RELAY_DO_PROBE)->u.probe = e->key;
  relay->counters.probes++;
}

void mt_connects_probe_domains (mt_relay_t *relay) {
  mt_domain_reaches_t *reaches = &relay->reaches;
  bool probes = !relay->params.off[MT_RELAY_PROBE];
  for (size_t i = 0; i < reaches->count && reaches->unreachable > 0; i++) {
    mt_domain_reach_t *reach = &reaches->list[i];
    if (probes && mt_domain_reach_probe_due(reach, relay->now))
      probe_domain(relay, reach);
    if (!probes && reach->unreachable &&
        relay->now >= reach->since + UNPROBED_WAIT_MS)
      mt_domain_reach_end_wait(reaches, reach);
  }
}

/* }== */
