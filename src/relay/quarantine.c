/*
** quarantine.c - keeps requests that crashed engines away from other engines
*/
#include <stdlib.h>

#include "placement.h"
#include "quarantine.h"

#define VERDICT_TIMEOUT_MS 40 /* for an owner's reply */
#define LEASE_SLACK_MS 1000   /* lease time beyond the request's deadline */
#define LEASE_MAX_MS 30000
/* The list entry of an engine that has ended expires in less time. */
#define LOST_RUN_TTL_MS 5000
/* Between the first report and the second; the third follows after three
   times as long. */
#define REPORT_INTERVAL_MS 200
#define REPORTS_PER_RUN 3
#define LOST_RUNS_MAX 1024 /* runs that are remembered */

static mt_suspect_message_t *add_message (mt_relay_t *relay,
                                          mt_suspect_message_kind_t kind,
                                          uint64_t digest) {
  mt_suspect_message_t *msg =
      &mt_relay_effect(relay, MT_RELAY_DO_SEND_TO_OWNER)->u.message;
  msg->kind = kind;
  msg->digest = digest;
  return msg;
}

/* {== Leases =========================================================== */

static void release_request (mt_relay_t *relay, uint64_t digest,
                             uint64_t request) {
  add_message(relay, MT_SUSPECT_MESSAGE_RELEASE, digest)->request = request;
}

static void release_engine (mt_relay_t *relay, uint64_t digest,
                            uint64_t engine, uint64_t request) {
  mt_suspect_message_t *msg =
      add_message(relay, MT_SUSPECT_MESSAGE_RELEASE_ENGINE, digest);
  msg->engine = engine;
  msg->request = request;
}

void mt_quarantine_return_lease (mt_relay_t *relay,
                                 const mt_suspect_message_t *msg) {
  if (msg->kind == MT_SUSPECT_MESSAGE_LEASE_ENGINE)
    release_engine(relay, msg->digest, msg->engine, msg->request);
  else
    release_request(relay, msg->digest, msg->request);
}

void mt_quarantine_release_leases (mt_relay_t *relay, mt_relay_request_t *r) {
  if (r->on_trial) release_request(relay, r->digest, r->number);
  if (r->holds_engine)
    release_engine(relay, r->digest, r->trial_engine, r->number);
  r->on_trial = r->holds_engine = false;
}

/* }== */

/* {== Before a placement =============================================== */

static mt_quarantine_decision_t
request_lease (mt_relay_t *relay, mt_relay_request_t *r,
               mt_suspect_message_kind_t kind) {
  mt_ms_t lease =
      r->expires - mt_min(relay->now, r->expires) + LEASE_SLACK_MS;
  mt_suspect_message_t *msg = add_message(relay, kind, r->digest);
  msg->engine = r->trial_engine;
  msg->request = r->number;
  msg->lease = mt_min(lease, (mt_ms_t)LEASE_MAX_MS);
  r->asked = relay->now;
  return MT_QUARANTINE_WAIT;
}

mt_quarantine_decision_t mt_quarantine_check (mt_relay_t *relay,
                                              mt_relay_request_t *r) {
  switch (mt_suspects_state(&relay->suspects, r->digest, relay->now)) {
    case MT_SUSPICION_PROBATION:
      return request_lease(relay, r, MT_SUSPECT_MESSAGE_LEASE);
    case MT_SUSPICION_QUARANTINE: return MT_QUARANTINE_REFUSE;
    default: return MT_QUARANTINE_PASS;
  }
}

static mt_quarantine_decision_t request_engine_lease (mt_relay_t *relay,
                                                      mt_relay_request_t *r) {
  r->on_trial = true;
  mt_placement_t p = mt_placement_choose(relay, r);
  if (p.engine == NULL) return MT_QUARANTINE_BUSY;
  r->trial_engine = p.engine->key;
  return request_lease(relay, r, MT_SUSPECT_MESSAGE_LEASE_ENGINE);
}

mt_quarantine_decision_t
mt_quarantine_on_verdict (mt_relay_t *relay, mt_relay_request_t *r,
                          const mt_suspect_message_t *msg,
                          mt_trial_verdict_t verdict) {
  switch (verdict) {
    case MT_TRIAL_FREE: return MT_QUARANTINE_PASS;
    case MT_TRIAL_REFUSED: return MT_QUARANTINE_REFUSE;
    case MT_TRIAL_BUSY:
    case MT_TRIAL_COUNT: return MT_QUARANTINE_BUSY;
    case MT_TRIAL_GRANTED: break;
  }
  if (msg->kind == MT_SUSPECT_MESSAGE_LEASE)
    return request_engine_lease(relay, r);
  r->holds_engine = true;
  return MT_QUARANTINE_PASS;
}

bool mt_quarantine_timed_out (const mt_relay_t *relay,
                              const mt_relay_request_t *r) {
  return relay->last_tick >= r->asked + VERDICT_TIMEOUT_MS;
}

bool mt_quarantine_forbids_retry (const mt_relay_t *relay,
                                  const mt_relay_request_t *r) {
  mt_suspicion_t state =
      mt_suspects_state(&relay->suspects, r->digest, relay->now);
  return r->on_trial || state >= MT_SUSPICION_PROBATION;
}

/* }== */

/* {== Lost runs ======================================================== */

static void report_end (mt_relay_t *relay, const mt_lost_run_t *run) {
  mt_suspect_message_t *msg =
      add_message(relay, MT_SUSPECT_MESSAGE_ENDED, run->digest);
  msg->engine = run->engine;
  msg->age = relay->now - run->at;
  msg->alone = run->alone;
}

/*
** Probes the engine at once: a box that refuses the connection shows within a
** millisecond what the engine's list entry shows seconds later, and in that
** time the request could crash further engines.
*/
void mt_quarantine_run_lost (mt_relay_t *relay, mt_relay_request_t *r) {
  mt_lost_runs_t *lost = &relay->lost;
  const mt_engine_t *e = r->engine;
  if (e == NULL || !r->written || r->digest == 0) return;
  if (!mt_engine_is_available(e, relay->now) || e->unlisted_since != 0)
    return;
  if (lost->count >= LOST_RUNS_MAX) return;
  *mtV_push(lost->list, lost->count, lost->cap) =
      (mt_lost_run_t){.digest = r->digest,
                      .engine = r->engine->key,
                      .at = relay->now,
                      .alone = r->on_trial,
                      .holds_engine = r->holds_engine,
                      .request = r->number};
  r->on_trial = r->holds_engine = false; /* the run keeps the leases */
  if (r->engine->probing) return;
  r->engine->probing = true;
  mt_relay_effect(relay, MT_RELAY_DO_PROBE)->u.probe = r->engine->key;
  relay->counters.probes++;
}

/* Sends the report of a run if it is due: at once, and again since datagrams
   may be lost. */
static void report_if_due (mt_relay_t *relay, mt_lost_run_t *run) {
  if (!run->ended || run->reports_sent >= REPORTS_PER_RUN ||
      relay->now < run->next)
    return;
  report_end(relay, run);
  /* If the engine has restarted it may run trials again. */
  if (run->holds_engine && run->reports_sent == 0)
    release_engine(relay, run->digest, run->engine, run->request);
  run->next = relay->now +
              (run->reports_sent == 0 ? 1 : 3) * (mt_ms_t)REPORT_INTERVAL_MS;
  run->reports_sent++;
}

void mt_quarantine_engine_ended (mt_relay_t *relay, uint64_t engine) {
  for (size_t i = 0; i < relay->lost.count; i++) {
    mt_lost_run_t *run = &relay->lost.list[i];
    if (run->engine != engine || run->ended) continue;
    run->ended = true;
    relay->counters.runs_lost++;
  }
}

void mt_quarantine_send_reports (mt_relay_t *relay) {
  for (size_t i = 0; i < relay->lost.count; i++)
    report_if_due(relay, &relay->lost.list[i]);
}

/* Releases the leases of a run whose engine has not been seen to end. */
static void release_run_leases (mt_relay_t *relay, const mt_lost_run_t *run) {
  if (run->ended) return;
  if (run->alone) release_request(relay, run->digest, run->request);
  if (run->holds_engine)
    release_engine(relay, run->digest, run->engine, run->request);
}

void mt_quarantine_tick (mt_relay_t *relay) {
  mt_lost_runs_t *lost = &relay->lost;
  size_t kept = 0;
  mt_quarantine_send_reports(relay);
  for (size_t i = 0; i < lost->count; i++) {
    mt_lost_run_t *run = &lost->list[i];
    if (relay->now - run->at < LOST_RUN_TTL_MS)
      lost->list[kept++] = *run;
    else
      release_run_leases(relay, run);
  }
  lost->count = kept;
  mt_suspects_expire(&relay->suspects, relay->now);
}

/* }== */

/* {== Complete answers ================================================= */

/* An answer without framing, which ends with its connection, may have been
   truncated by the end of the engine: it clears nothing. */
void mt_quarantine_run_answered (mt_relay_t *relay, mt_relay_request_t *r) {
  if (!r->framed || r->digest == 0) return;
  mt_suspects_record_answer(&relay->suspects, r->digest, relay->now);
  if (mt_suspects_get(&relay->suspects, r->digest) == NULL) return;
  add_message(relay, MT_SUSPECT_MESSAGE_ANSWERED, r->digest);
}

/* }== */
