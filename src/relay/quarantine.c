/*
** quarantine.c - keeps engines from requests under which others ended
*/
#include <stdlib.h>

#include "placement.h"
#include "quarantine.h"

#define WAIT_MS 40    /* for the owner's answer */
#define SLACK_MS 1000 /* a trial's lease beyond the request's own end */
#define LEASE_MOST_MS 30000
#define PENDING_MS 5000 /* an engine's entry lapses within that */
#define REPEAT_MS 200   /* the first; the next after three times that */
#define REPEATS 3
#define LOST_MOST 1024 /* runs that are remembered */

static mt_suspect_word_t *tell (mt_relay_t *relay, mt_word_kind_t kind,
                                uint64_t digest) {
  mt_suspect_word_t *word = &mt_relay_effect(relay, MT_RELAY_DO_TELL)->u.word;
  word->kind = kind;
  word->digest = digest;
  return word;
}

/* {== Leases =========================================================== */

static void release (mt_relay_t *relay, uint64_t digest, uint64_t request) {
  tell(relay, MT_WORD_RELEASE, digest)->request = request;
}

static void drop (mt_relay_t *relay, uint64_t digest, uint64_t engine,
                  uint64_t request) {
  mt_suspect_word_t *word = tell(relay, MT_WORD_DROP, digest);
  word->engine = engine;
  word->request = request;
}

void mt_quarantine_too_late (mt_relay_t *relay,
                             const mt_suspect_word_t *word) {
  if (word->kind == MT_WORD_HOLD)
    drop(relay, word->digest, word->engine, word->request);
  else
    release(relay, word->digest, word->request);
}

void mt_quarantine_leave (mt_relay_t *relay, mt_relay_request_t *r) {
  if (r->on_trial) release(relay, r->digest, r->number);
  if (r->holds_engine) drop(relay, r->digest, r->trial_engine, r->number);
  r->on_trial = r->holds_engine = false;
}

/* }== */

/* {== Before a placement =============================================== */

static mt_quarantine_gate_t ask (mt_relay_t *relay, mt_relay_request_t *r,
                                 mt_word_kind_t kind) {
  mt_ms_t lease = r->expires - mt_min(relay->now, r->expires) + SLACK_MS;
  mt_suspect_word_t *word = tell(relay, kind, r->digest);
  word->engine = r->trial_engine;
  word->request = r->number;
  word->lease = mt_min(lease, (mt_ms_t)LEASE_MOST_MS);
  r->asked = relay->now;
  return MT_QUARANTINE_ASK;
}

mt_quarantine_gate_t mt_quarantine_gate (mt_relay_t *relay,
                                         mt_relay_request_t *r) {
  switch (mt_suspects_state(&relay->suspects, r->digest, relay->now)) {
    case MT_SUSPICION_PROBATION: return ask(relay, r, MT_WORD_TRY);
    case MT_SUSPICION_QUARANTINE: return MT_QUARANTINE_REFUSE;
    default: return MT_QUARANTINE_PASS;
  }
}

static mt_quarantine_gate_t choose_engine (mt_relay_t *relay,
                                           mt_relay_request_t *r) {
  r->on_trial = true;
  mt_placement_t p = mt_placement_choose(relay, r);
  if (p.engine == NULL) return MT_QUARANTINE_BUSY;
  r->trial_engine = p.engine->key;
  return ask(relay, r, MT_WORD_HOLD);
}

mt_quarantine_gate_t mt_quarantine_tried (mt_relay_t *relay,
                                          mt_relay_request_t *r,
                                          const mt_suspect_word_t *word,
                                          mt_trial_t verdict) {
  switch (verdict) {
    case MT_TRIAL_FREE: return MT_QUARANTINE_PASS;
    case MT_TRIAL_REFUSED: return MT_QUARANTINE_REFUSE;
    case MT_TRIAL_BUSY:
    case MT_TRIALS: return MT_QUARANTINE_BUSY;
    case MT_TRIAL_GRANTED: break;
  }
  if (word->kind == MT_WORD_TRY) return choose_engine(relay, r);
  r->holds_engine = true;
  return MT_QUARANTINE_PASS;
}

bool mt_quarantine_overdue (const mt_relay_t *relay,
                            const mt_relay_request_t *r) {
  return relay->seen >= r->asked + WAIT_MS;
}

bool mt_quarantine_once (const mt_relay_t *relay,
                         const mt_relay_request_t *r) {
  mt_suspicion_t state =
      mt_suspects_state(&relay->suspects, r->digest, relay->now);
  return r->on_trial || state >= MT_SUSPICION_PROBATION;
}

/* }== */

/* {== Runs that were lost ============================================== */

static void tell_end (mt_relay_t *relay, const mt_lost_run_t *run) {
  mt_suspect_word_t *word = tell(relay, MT_WORD_ENDED, run->digest);
  word->engine = run->engine;
  word->age = relay->now - run->at;
  word->alone = run->alone;
}

/*
** The engine is tried at once: a machine that says that nobody listens
** settles within a millisecond what the entry shows some seconds later, and
** others are kept from it.
*/
void mt_quarantine_lost (mt_relay_t *relay, mt_relay_request_t *r) {
  mt_lost_runs_t *lost = &relay->lost;
  const mt_engine_t *e = r->engine;
  if (e == NULL || !r->gone_out || r->digest == 0) return;
  if (!mt_engine_stays(e, relay->now) || e->vanished != 0) return;
  if (lost->count >= LOST_MOST) return;
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

/* Tells what is due: at once, and again since datagrams may be lost. */
static void tell_due (mt_relay_t *relay, mt_lost_run_t *run) {
  if (!run->ended || run->told >= REPEATS || relay->now < run->next) return;
  tell_end(relay, run);
  if (run->holds_engine && run->told == 0) /* who is back may be tried */
    drop(relay, run->digest, run->engine, run->request);
  run->next = relay->now + (run->told == 0 ? 1 : 3) * (mt_ms_t)REPEAT_MS;
  run->told++;
}

void mt_quarantine_engine_ended (mt_relay_t *relay, uint64_t engine) {
  for (size_t i = 0; i < relay->lost.count; i++) {
    mt_lost_run_t *run = &relay->lost.list[i];
    if (run->engine != engine || run->ended) continue;
    run->ended = true;
    relay->counters.ends++;
  }
}

void mt_quarantine_tell (mt_relay_t *relay) {
  for (size_t i = 0; i < relay->lost.count; i++)
    tell_due(relay, &relay->lost.list[i]);
}

/* Nothing shows that its engine ended: the leases go back. */
static void give_up (mt_relay_t *relay, const mt_lost_run_t *run) {
  if (run->ended) return;
  if (run->alone) release(relay, run->digest, run->request);
  if (run->holds_engine) drop(relay, run->digest, run->engine, run->request);
}

void mt_quarantine_tick (mt_relay_t *relay) {
  mt_lost_runs_t *lost = &relay->lost;
  size_t kept = 0;
  mt_quarantine_tell(relay);
  for (size_t i = 0; i < lost->count; i++) {
    mt_lost_run_t *run = &lost->list[i];
    if (relay->now - run->at < PENDING_MS)
      lost->list[kept++] = *run;
    else
      give_up(relay, run);
  }
  lost->count = kept;
  mt_suspects_expire(&relay->suspects, relay->now);
}

/* }== */

/* {== Whole answers ==================================================== */

/* An answer whose end nobody vouches for may have been cut by the engine's
   own end. */
void mt_quarantine_answered (mt_relay_t *relay, mt_relay_request_t *r) {
  if (!r->framed || r->digest == 0) return;
  mt_suspects_note_answer(&relay->suspects, r->digest, relay->now);
  if (mt_suspects_get(&relay->suspects, r->digest) == NULL) return;
  tell(relay, MT_WORD_ANSWERED, r->digest);
}

/* }== */
