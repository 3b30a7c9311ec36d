/*
** quarantine.c - keeps requests that crashed engines away from other engines
*/
#include <stdlib.h>

#include "placement.h"
#include "quarantine.h"
#include "suspect_policy.h"

#define VERDICT_TIMEOUT_MS 40 /* for an owner's reply */
#define LEASE_SLACK_MS 1000   /* lease time beyond the request's deadline */
#define LEASE_MAX_MS 30000
/* The list entry of an engine that has ended expires in less time. */
#define ENDED_RUN_TTL_MS 5000
/* An engine that is heard of so long after the end of an answer has not ended
   with it: all connections of a process that exits break at once, and reach a
   router that is short of processor time within less. */
#define CONFIRM_MS 200
/* A stream that goes on for so long after its first event shows that none of
   its segments crashes the engine: those that do so end it as its answer
   begins. */
#define OUTLIVED_MS 1000
/* Reports in one step; further ones are sent by the next tick, so that the
   end of an engine with many long prompts does not hold up the loop. */
#define REPORTS_PER_STEP_MAX 256

static mt_suspect_message_t *add_message (mt_relay_t *relay,
                                          mt_suspect_message_kind_t kind,
                                          uint64_t name) {
  mt_suspect_message_t *msg =
      &mt_relay_effect(relay, MT_RELAY_DO_SEND_TO_OWNER)->u.message;
  msg->kind = kind;
  msg->digest = name;
  return msg;
}

/* {== Leases =========================================================== */

static void release_request (mt_relay_t *relay, uint64_t name,
                             uint64_t request) {
  add_message(relay, MT_SUSPECT_MESSAGE_RELEASE, name)->request = request;
}

static void release_engine (mt_relay_t *relay, uint64_t name, uint64_t engine,
                            uint64_t request) {
  mt_suspect_message_t *msg =
      add_message(relay, MT_SUSPECT_MESSAGE_RELEASE_ENGINE, name);
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
  if (r->on_trial) release_request(relay, r->trial_name, r->number);
  if (r->holds_engine)
    release_engine(relay, r->trial_name, r->trial_engine, r->number);
  r->on_trial = r->holds_engine = false;
}

/* Releases the leases of a run whose engine has not been seen to end. */
static void release_run_leases (mt_relay_t *relay,
                                const mt_ended_run_t *run) {
  if (run->trial_name == 0) return;
  release_request(relay, run->trial_name, run->request);
  if (run->holds_engine)
    release_engine(relay, run->trial_name, run->engine, run->request);
}

/* }== */

/* {== Before a placement =============================================== */

static mt_suspect_ruling_t rule (const mt_relay_t *relay,
                                 const mt_relay_request_t *r) {
  return mt_suspect_rule(&relay->suspects, r->names, r->names_count,
                         r->workspace, relay->now);
}

static mt_quarantine_decision_t
request_lease (mt_relay_t *relay, mt_relay_request_t *r,
               mt_suspect_message_kind_t kind) {
  mt_ms_t lease =
      r->expires - mt_min(relay->now, r->expires) + LEASE_SLACK_MS;
  mt_suspect_message_t *msg = add_message(relay, kind, r->trial_name);
  msg->engine = r->trial_engine;
  msg->request = r->number;
  msg->lease = mt_min(lease, (mt_ms_t)LEASE_MAX_MS);
  msg->workspace = r->workspace;
  r->asked = relay->now;
  return MT_QUARANTINE_WAIT;
}

mt_quarantine_decision_t mt_quarantine_check (mt_relay_t *relay,
                                              mt_relay_request_t *r) {
  mt_suspect_ruling_t ruling = rule(relay, r);
  switch (ruling.decision) {
    case MT_SUSPECT_PASS: return MT_QUARANTINE_PASS;
    case MT_SUSPECT_REFUSE: return MT_QUARANTINE_REFUSE;
    case MT_SUSPECT_TRIAL: break;
  }
  r->trial_name = ruling.name;
  return request_lease(relay, r, MT_SUSPECT_MESSAGE_LEASE);
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
  return r->on_trial || rule(relay, r).decision != MT_SUSPECT_PASS;
}

mt_ms_t mt_quarantine_left (const mt_relay_t *relay,
                            const mt_relay_request_t *r) {
  return rule(relay, r).left;
}

/* }== */

/* {== Answers ========================================================== */

static bool is_suspected (const mt_relay_t *relay, uint64_t name,
                          mt_ms_t at) {
  const mt_suspect_t *s = mt_suspects_get(&relay->suspects, name);
  return s != NULL && s->listed > 0 && at >= s->since;
}

static void names_answered (mt_relay_t *relay, const uint64_t *names,
                            size_t count, mt_ms_t at) {
  for (size_t i = 0; i < count; i++) {
    mt_suspects_record_answer(&relay->suspects, names[i], at);
    if (is_suspected(relay, names[i], at))
      add_message(relay, MT_SUSPECT_MESSAGE_ANSWERED, names[i])->age =
          relay->now - at;
  }
}

/* The first of its names is the digest, if it has one; the others are those
   of segments. */
static size_t first_segment (const mt_relay_request_t *r) {
  return r->digest != 0 ? 1 : 0;
}

static void segments_answered (mt_relay_t *relay,
                               const mt_relay_request_t *r) {
  size_t first = first_segment(r);
  names_answered(relay, r->names + first, r->names_count - first, relay->now);
}

void mt_quarantine_run_progressed (mt_relay_t *relay, mt_relay_request_t *r) {
  if (r->current.outlived || r->current.first_event_at == 0) return;
  if (relay->now - r->current.first_event_at < OUTLIVED_MS) return;
  r->current.outlived = true;
  segments_answered(relay, r);
}

/* An error may come of an engine that has not begun to generate: it says
   nothing of the segments. */
static bool is_success (const mt_relay_request_t *r) {
  return r->current.status / 100 == 2;
}

/* Keeps the run until it is known whether its engine has ended. */
static bool keep_run (mt_relay_t *relay, mt_relay_request_t *r,
                      mt_ended_run_kind_t kind) {
  const mt_engine_t *e = r->current.engine;
  if (e == NULL || !r->current.written || r->names_count == 0) return false;
  if (!mt_engine_is_available(e, relay->now) || e->unlisted_since != 0)
    return false;
  bool has_begun = kind == MT_RUN_LOST || is_success(r);
  bool digest_only = r->current.outlived || !has_begun;
  const mt_ended_run_t run = {.kind = kind,
                              .names = r->names,
                              .names_count = digest_only ? first_segment(r)
                                                         : r->names_count,
                              .engine = e->key,
                              .at = relay->now,
                              .request = r->number,
                              .workspace = r->workspace,
                              .trial_name = r->on_trial ? r->trial_name : 0,
                              .holds_engine = r->holds_engine};
  if (!mt_ended_runs_add(&relay->lost, &run)) return false;
  r->on_trial = r->holds_engine = false; /* the run keeps the leases */
  return true;
}

void mt_quarantine_run_answered (mt_relay_t *relay, mt_relay_request_t *r) {
  if (!r->current.framed) {
    keep_run(relay, r, MT_RUN_UNCONFIRMED);
    return;
  }
  names_answered(relay, r->names, first_segment(r), relay->now);
  if (is_success(r)) segments_answered(relay, r);
}

/* The engine has outlived the run: an answer that may have been truncated was
   complete, and a run that was lost has not ended the engine. */
static void clear_run (mt_relay_t *relay, const mt_ended_run_t *run) {
  if (run->kind == MT_RUN_UNCONFIRMED)
    names_answered(relay, run->names, run->names_count, run->at);
  release_run_leases(relay, run);
}

/* }== */

/* {== Lost runs ======================================================== */

static void probe_engine (mt_relay_t *relay, mt_engine_t *e) {
  if (e->probing) return;
  e->probing = true;
  mt_relay_effect(relay, MT_RELAY_DO_PROBE)->u.probe = e->key;
  relay->counters.probes++;
}

/*
** Probes the engine at once: a box that refuses the connection shows within a
** millisecond what the engine's list entry shows seconds later, and in that
** time the request could crash further engines.
*/
void mt_quarantine_run_lost (mt_relay_t *relay, mt_relay_request_t *r) {
  mt_engine_t *e = r->current.engine;
  if (keep_run(relay, r, MT_RUN_LOST)) probe_engine(relay, e);
}

void mt_quarantine_run_invalid (mt_relay_t *relay, mt_relay_request_t *r) {
  keep_run(relay, r, MT_RUN_LOST);
}

/* True if no other copy of the name ran beside the run. */
static bool ran_alone (const mt_relay_t *relay, const mt_ended_run_t *run,
                       uint64_t name) {
  if (run->trial_name == 0) return false;
  return mt_suspect_is_inseparable(&relay->suspects, name, run->trial_name);
}

/* Reports the run's names to their owners; one that another run at the engine
   has reported in this step is left out. `reported`: name and engine. */
static void report_names (mt_relay_t *relay, const mt_ended_run_t *run,
                          mt_map_t *reported) {
  static char present;
  for (size_t i = 0; i < run->names_count; i++) {
    uint64_t key = mtV_mix(run->names[i], run->engine) | 1;
    bool alone = ran_alone(relay, run, run->names[i]);
    if (!alone && mtV_get(reported, key) != NULL) continue;
    mtV_put(reported, key, &present);
    mt_suspect_message_t *msg =
        add_message(relay, MT_SUSPECT_MESSAGE_ENDED, run->names[i]);
    msg->engine = run->engine;
    msg->request = run->request;
    msg->workspace = run->workspace;
    msg->age = relay->now - run->at;
    msg->alone = alone;
    msg->known =
        mt_suspects_last_answer(&relay->suspects, run->names[i]) != 0;
  }
}

void mt_quarantine_engine_ended (mt_relay_t *relay, uint64_t engine) {
  relay->counters.runs_lost += mt_ended_runs_mark(&relay->lost, engine);
}

void mt_quarantine_send_reports (mt_relay_t *relay) {
  mt_map_t reported = {0};
  for (size_t i = 0; i < relay->lost.count; i++) {
    mt_ended_run_t *run = &relay->lost.list[i];
    if (reported.used >= REPORTS_PER_STEP_MAX) break;
    if (!mt_ended_run_is_due(run, relay->now)) continue;
    report_names(relay, run, &reported);
    /* If the engine has restarted it may run trials again. */
    if (run->holds_engine && run->reports == 0)
      release_engine(relay, run->trial_name, run->engine, run->request);
    mt_ended_run_reported(run, relay->now);
  }
  mtV_free(&reported);
}

/* True if a name of the run waits for its answer. */
static bool is_awaited (const mt_relay_t *relay, const mt_ended_run_t *run) {
  for (size_t i = 0; i < run->names_count; i++)
    if (is_suspected(relay, run->names[i], run->at)) return true;
  return run->trial_name != 0;
}

/* True if the engine, last heard of at `heard`, has outlived the run. One
   whose entry has stayed in the list for so long has not ended. */
static bool has_outlived (const mt_relay_t *relay, const mt_ended_run_t *run,
                          const mt_engine_t *e, mt_ms_t heard) {
  if (run->engine_ended) return false;
  if (heard >= run->at + CONFIRM_MS) return true;
  return e != NULL && relay->now - run->at >= ENDED_RUN_TTL_MS &&
         e->unlisted_since == 0 && mt_engine_is_available(e, relay->now);
}

/* Handles a run that is kept; true if it is no longer needed. */
static bool check_run (mt_relay_t *relay, mt_ended_run_t *run) {
  mt_engine_t *e = mt_engines_get(&relay->engines, run->engine);
  if (has_outlived(relay, run, e, e != NULL ? e->last_received : 0)) {
    clear_run(relay, run);
    return true;
  }
  if (relay->now - run->at >= ENDED_RUN_TTL_MS) {
    if (!run->engine_ended) release_run_leases(relay, run);
    return true;
  }
  bool probes = run->kind == MT_RUN_UNCONFIRMED && !run->probed &&
                !run->engine_ended && e != NULL &&
                relay->now >= run->at + CONFIRM_MS && is_awaited(relay, run);
  if (!probes) return false;
  run->probed = true;
  probe_engine(relay, e);
  return false;
}

void mt_quarantine_engine_reached (mt_relay_t *relay, const mt_engine_t *e) {
  for (size_t i = relay->lost.count; i-- > 0;) {
    mt_ended_run_t *run = &relay->lost.list[i];
    if (run->engine != e->key || !has_outlived(relay, run, e, relay->now))
      continue;
    clear_run(relay, run);
    mt_ended_runs_remove(&relay->lost, i);
  }
}

void mt_quarantine_tick (mt_relay_t *relay) {
  mt_quarantine_send_reports(relay);
  for (size_t i = relay->lost.count; i-- > 0;)
    if (check_run(relay, &relay->lost.list[i]))
      mt_ended_runs_remove(&relay->lost, i);
  mt_suspects_expire(&relay->suspects, relay->now);
}

/* }== */
