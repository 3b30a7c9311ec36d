/*
** mtedge.c - the life of a request: admission, attempts, outcome
*/
#include <stdlib.h>
#include <string.h>

#include "mtedge.h"
#include "mtledger.h"
#include "mtmember.h"
#include "mtpolicy.h"
#include "mtqueue.h"

#define SCAN_MS 200        /* interval of checks for expired requests */
#define SESSIONS_MAX 65536 /* beyond it the table is cleared */
#define BYTES_PER_TOKEN 4  /* of a prompt without reported usage */
#define PRIORITY_BASE 0
#define SPEED_MAX 16 /* cap of a speed in session hashing */

/* {== Ending a request ================================================= */

static mt_req_t *find (mt_state_t *S, uint64_t id) {
  return mtV_get(&S->edge.reqs, id);
}

static void forgetidem (mt_state_t *S, const mt_req_t *r) {
  if (r->idem != 0 && mtV_get(&S->edge.idems, r->idem) == r)
    mtV_del(&S->edge.idems, r->idem);
}

static void drop (mt_state_t *S, mt_req_t *r) {
  forgetidem(S, r);
  mtV_del(&S->edge.reqs, r->id);
  free(r->targets);
  free(r);
}

static void reject_id (mt_state_t *S, uint64_t id, mt_rejection_t why) {
  mt_effect_t *fx = mtR_effect(S, MT_FX_REJECT, id);
  fx->u.reject.why = why;
  fx->u.reject.notrun = mtA_rejection(why)->notrun;
  S->counts.rejections[why]++;
}

/* Ends a request with an error; "not-run" only if no attempt may have run. */
static void reject (mt_state_t *S, mt_req_t *r, mt_rejection_t why) {
  bool notrun = mtA_rejection(why)->notrun && !r->mayhaverun;
  mt_effect_t *fx = mtR_effect(S, MT_FX_REJECT, r->id);
  fx->u.reject.why = why;
  fx->u.reject.notrun = notrun;
  S->counts.rejections[why]++;
  if (r->claimed && notrun)
    mtR_effect(S, MT_FX_RELEASE, r->id)->u.claim = r->idem;
  drop(S, r);
}

/* Cost in the pool's unit: weighted tokens, or 1 for a call to a service. */
static int64_t costof (const mt_state_t *S, const mt_req_t *r, int64_t prompt,
                       int64_t output) {
  const mt_pool_t *p = mtF_pool(S->fleet, r->pool);
  if (p == NULL || p->kind == MT_POOL_SERVICE) return 1;
  return prompt * p->promptweight + output * p->outputweight;
}

/* Frees an attempt's slot and charges its cost; a negative one is not
   charged. */
static void endattempt (mt_state_t *S, mt_req_t *r, int64_t cost,
                        bool complete) {
  if (cost >= 0) mtQ_settle(S, r, cost, complete);
  mtQ_adjust_running(S, r, -1);
}

/* }== */

/* {== Admission ======================================================== */

static bool anytarget (const mt_state_t *S, mt_id_t pool) {
  for (size_t i = 0; i < S->fleet->ntargets; i++)
    if (S->fleet->targets[i].pool == pool && !S->fleet->targets[i].drain)
      return true;
  return false;
}

static const mt_pool_t *poolfor (const mt_state_t *S,
                                 const mt_reqparams_t *request) {
  if (!request->service) return mtF_model(S->fleet, request->model);
  const mt_pool_t *p =
      mtF_pool(S->fleet, mtV_id(request->model.p, request->model.n));
  return p != NULL && p->kind == MT_POOL_SERVICE ? p : NULL;
}

/* Finds the workspace and the pool of a request; returns MT_OK or the reason
   to reject it. */
static mt_rejection_t admit (mt_state_t *S, const mt_reqparams_t *request,
                             const mt_workspace_t **w, const mt_pool_t **p) {
  if (S->fleet == NULL) return MT_NO_CONFIG;
  *w = mtF_bykey(S->fleet, request->keydigest);
  if (*w == NULL) return MT_BAD_KEY;
  if (S->draining) return MT_DRAINING;
  *p = poolfor(S, request);
  if (*p == NULL || !mtF_mayuse(*w, *p)) return MT_NO_MODEL;
  if (S->edge.waiting >= MT_WAITING_MAX) return MT_ROUTER_QUEUE_FULL;
  if (mtQ_get(S, (*w)->id, (*p)->id)->n >= (*w)->maxwaiting)
    return MT_WS_QUEUE_FULL;
  return anytarget(S, (*p)->id) ? MT_OK : MT_NO_TARGET;
}

/*
** The target for a session that this router does not know: by rendezvous
** hashing, in proportion to the speeds up to SPEED_MAX, so that every router
** picks the same.
*/
static mt_id_t default_target (mt_state_t *S, uint64_t session,
                               mt_id_t pool) {
  uint64_t best = 0;
  mt_id_t affinity = 0;
  for (size_t i = 0; i < S->fleet->ntargets; i++) {
    const mt_target_t *t = &S->fleet->targets[i];
    if (t->pool != pool || t->drain) continue;
    for (int k = 0; k < mt_min(t->speed, SPEED_MAX); k++) {
      uint64_t w = mtV_mix(mtV_mix(session, t->id), (uint64_t)k);
      if (w <= best) continue;
      best = w;
      affinity = t->id;
    }
  }
  return affinity;
}

/* The target on which a session last ran, or where it would be sent first. */
static mt_id_t preferred_target (mt_state_t *S, uint64_t session,
                                 mt_id_t pool) {
  if (session == 0) return 0;
  mt_id_t known = (mt_id_t)(uintptr_t)mtV_get(&S->edge.sessions, session);
  const mt_target_t *t = known ? mtF_target(S->fleet, known) : NULL;
  if (t != NULL && t->pool == pool && !t->drain) return known;
  return default_target(S, session, pool);
}

static uint64_t setdigest (const mt_id_t *ids, size_t n) {
  uint64_t sum = 0;
  for (size_t i = 0; i < n; i++) sum += mtV_mix(ids[i], 7);
  return sum ? sum : 1;
}

/* Runs the workspace's policy program; if it fails, the built-in choice of
   targets stays. */
static void apply_policy (mt_state_t *S, mt_req_t *r,
                          const mt_reqparams_t *request,
                          const mt_workspace_t *w) {
  mt_program_t *program = w->policy ? mtP_get(S->policies, w->policy) : NULL;
  if (program == NULL) return;
  mt_policy_decision_t choice;
  mt_fault_t fault;
  mt_policy_request_t policy_request = {.workspace = w->name,
                                        .model = request->model,
                                        .stream = request->stream,
                                        .session = request->session != 0};
  policy_request.promptbytes = request->promptbytes;
  policy_request.maxtokens = request->maxtokens;
  policy_request.domain = S->members.self->domain;
  mtR_count(S, MT_C_POLICY_RUNS);
  const mt_pool_t *pool = mtF_pool(S->fleet, r->pool);
  if (mtP_decide(program, S->fleet, pool, &policy_request, &choice, &fault) !=
      MT_P_OK) {
    mtR_count(S, MT_C_POLICY_FAILED);
    mtR_log(S, MT_WARN, MT_L_POLICY,
            "program of workspace %s failed at %s: %s", w->name, fault.where,
            fault.reason);
    return;
  }
  r->order = choice.order;
  if (choice.n == 0) return;
  free(r->targets);
  r->set = setdigest(choice.targets, choice.n);
  r->targets = mtV_new(choice.n * sizeof *r->targets);
  r->ntargets = choice.n;
  memcpy(r->targets, choice.targets, choice.n * sizeof *r->targets);
  if (r->session == 0) r->affinity = choice.targets[0];
}

/* Baseline for comparison: a session never leaves its target. */
static void pin (mt_req_t *r) {
  r->set = setdigest(&r->affinity, 1);
  r->targets = mtV_new(sizeof *r->targets);
  r->ntargets = 1;
  r->targets[0] = r->affinity;
}

static mt_req_t *makereq (mt_state_t *S, const mt_event_t *ev,
                          const mt_workspace_t *w, const mt_pool_t *p) {
  const mt_reqparams_t *request = &ev->u.request;
  mt_req_t *r = mtV_new(sizeof *r);
  r->id = ev->req;
  r->ws = w->id;
  r->pool = p->id;
  r->stream = request->stream;
  r->repeatable = p->repeatable && request->repeat != MT_REPEAT_NEVER;
  r->session = request->session;
  r->idem = request->idem;
  r->arrived = S->now;
  r->deadline =
      S->now + (request->wait ? mt_min(request->wait, MT_WAIT_MAX_MS)
                              : MT_WAIT_MAX_MS);
  r->affinity = preferred_target(S, r->session, r->pool);
  r->promptbytes = request->promptbytes;
  if (request->maxtokens > 0 && p->kind == MT_POOL_MODEL)
    r->maxcost = request->promptbytes * p->promptweight +
                 request->maxtokens * p->outputweight;
  mtV_put(&S->edge.reqs, r->id, r);
  if (S->set.pinned && r->affinity != 0) pin(r);
  return r;
}

/* Another request with this idempotency key is in progress at this router:
   shares its response when both are repeatable. */
static void join_or_reject (mt_state_t *S, uint64_t id, mt_req_t *leader,
                            bool repeatable) {
  if (!repeatable || !leader->repeatable) {
    reject_id(S, id, MT_IN_PROGRESS);
    return;
  }
  leader->joined++;
  mtR_effect(S, MT_FX_JOIN, id)->u.leader = leader->id;
}

void mtE_request (mt_state_t *S, const mt_event_t *ev) {
  const mt_workspace_t *w = NULL;
  const mt_pool_t *p = NULL;
  const mt_reqparams_t *request = &ev->u.request;
  mtR_count(S, MT_C_REQUESTS);
  mt_rejection_t why = admit(S, request, &w, &p);
  if (why != MT_OK) {
    reject_id(S, ev->req, why);
    return;
  }
  bool repeatable = p->repeatable && request->repeat != MT_REPEAT_NEVER;
  mt_req_t *leader =
      request->idem ? mtV_get(&S->edge.idems, request->idem) : NULL;
  if (leader != NULL) {
    join_or_reject(S, ev->req, leader, repeatable);
    return;
  }
  mt_req_t *r = makereq(S, ev, w, p);
  if (r->idem != 0) mtV_put(&S->edge.idems, r->idem, r);
  apply_policy(S, r, request, w);
  mtQ_earn(&S->edge.budget);
  mtQ_earn(&mtQ_get(S, r->ws, r->pool)->budget);
  if (r->repeatable || r->idem == 0) {
    mtQ_add(S, r);
    return;
  }
  r->state = MT_R_CLAIMING;
  mtR_count(S, MT_C_CLAIMS);
  mtR_effect(S, MT_FX_CLAIM, r->id)->u.claim = r->idem;
}

void mtE_claimed (mt_state_t *S, const mt_event_t *ev) {
  mt_req_t *r = find(S, ev->req);
  if (r == NULL || r->state != MT_R_CLAIMING) {
    if (ev->u.claimed.result == MT_CLAIM_ACQUIRED)
      mtR_effect(S, MT_FX_RELEASE, ev->req)->u.claim = ev->u.claimed.key;
    return;
  }
  switch (ev->u.claimed.result) {
    case MT_CLAIM_ACQUIRED:
      r->claimed = true;
      mtQ_add(S, r);
      break;
    case MT_CLAIM_HELD: reject(S, r, MT_CLAIMED); break;
    case MT_CLAIM_UNAVAILABLE:
      r->claimed = true; /* the write may have succeeded */
      reject(S, r, MT_STORE_UNREACHABLE);
      break;
  }
}

/* Reconnects a caller to its stream, which its target still holds. */
void mtE_resume (mt_state_t *S, const mt_event_t *ev) {
  const mt_workspace_t *w =
      S->fleet ? mtF_bykey(S->fleet, ev->u.resume.keydigest) : NULL;
  const mt_target_t *t =
      S->fleet ? mtF_target(S->fleet, ev->u.resume.target) : NULL;
  if (S->fleet == NULL) {
    reject_id(S, ev->req, MT_NO_CONFIG);
    return;
  }
  if (w == NULL || t == NULL || w->id != ev->u.resume.ws) {
    reject_id(S, ev->req, w == NULL ? MT_BAD_KEY : MT_BAD_TOKEN);
    return;
  }
  mtR_count(S, MT_C_RESUMES);
  mt_req_t *r = mtV_new(sizeof *r);
  r->id = ev->req;
  r->ws = w->id;
  r->pool = t->pool;
  r->target = t->id;
  r->stream = r->resumed = true;
  r->mayhaverun = true;
  r->attempt = 1;
  r->state = MT_R_RUNNING;
  r->arrived = r->started = S->now;
  mtV_put(&S->edge.reqs, r->id, r);
  mtQ_adjust_running(S, r, 1);
  mt_effect_t *fx = mtR_effect(S, MT_FX_RESUME, r->id);
  fx->attempt = r->attempt;
  fx->u.start.target = r->target;
}

/* }== */

/* {== Attempts ========================================================= */

static bool target_in_backoff (mt_state_t *S, mt_id_t target) {
  return (mt_ms_t)(uintptr_t)mtV_get(&S->edge.in_backoff, target) > S->now;
}

static void remember_session (mt_state_t *S, const mt_req_t *r) {
  if (r->session == 0) return;
  mtR_count(S, r->affinity == r->target ? MT_C_AFFINITY_HITS
                                        : MT_C_AFFINITY_MISSES);
  if (S->edge.sessions.used >= SESSIONS_MAX) mtV_free(&S->edge.sessions);
  mtV_put(&S->edge.sessions, r->session, (void *)(uintptr_t)r->target);
}

static void start (mt_state_t *S, mt_req_t *r, mt_id_t target) {
  r->target = target;
  r->state = MT_R_RUNNING;
  r->started = S->now;
  r->attempt++;
  r->tokens = 0;
  mtR_count(S, MT_C_ATTEMPTS);
  remember_session(S, r);
  mtQ_adjust_running(S, r, 1);
  mt_effect_t *fx = mtR_effect(S, MT_FX_START, r->id);
  fx->attempt = r->attempt;
  fx->u.start.target = target;
  fx->u.start.priority = PRIORITY_BASE + r->order;
  fx->u.start.fresh = !r->repeatable;
}

void mtE_grant (mt_state_t *S, const mt_grant_t *g) {
  const mt_target_t *t = S->fleet ? mtF_target(S->fleet, g->target) : NULL;
  if (g->echo != 0 && S->now > g->echo + MT_GRANT_STALE_MS) {
    mtR_count(S, MT_C_GRANTS_STALE);
    mtQ_grant_result(S, g, MT_GRANT_UNUSED);
    return;
  }
  if (t == NULL || t->drain || t->pool != g->pool ||
      target_in_backoff(S, g->target)) {
    mtQ_grant_result(S, g, MT_GRANT_UNREACHABLE);
    return;
  }
  mt_req_t *r = mtQ_take(S, g->ws, g->pool, g->target);
  mtQ_grant_result(S, g, r ? MT_GRANT_USED : MT_GRANT_UNUSED);
  if (r != NULL) start(S, r, g->target);
}

/* The request of an attempt's event; NULL when that attempt has ended. */
static mt_req_t *current (mt_state_t *S, const mt_event_t *ev) {
  mt_req_t *r = find(S, ev->req);
  bool runs =
      r != NULL && (r->state == MT_R_RUNNING || r->state == MT_R_FORWARDING);
  if (runs && r->attempt == ev->attempt) return r;
  mtR_count(S, MT_C_LATE_DROPPED);
  return NULL;
}

static void backoff (mt_state_t *S, mt_req_t *r, mt_retry_t why) {
  S->counts.retries[why]++;
  r->avoid = r->target;
  r->affinity = r->affinity == r->target ? 0 : r->affinity;
  r->state = MT_R_BACKOFF;
  mt_ms_t longest = (mt_ms_t)MT_RETRY_BACKOFF_MS << r->attempt;
  r->notbefore =
      S->now + longest / 2 + mtV_random(&S->random) % (longest / 2);
  *mtV_push(S->edge.backoff, S->edge.nbackoff, S->edge.backoff_cap) = r->id;
}

static bool spend_budget (mt_state_t *S, mt_req_t *r) {
  return mtQ_spend(S, &mtQ_get(S, r->ws, r->pool)->budget) &&
         mtQ_spend(S, &S->edge.budget);
}

void mtE_failed (mt_state_t *S, const mt_event_t *ev) {
  mt_req_t *r = current(S, ev);
  if (r == NULL) return;
  bool notrun = ev->u.failed.notrun;
  endattempt(S, r, notrun ? -1 : costof(S, r, 0, r->tokens), false);
  if (!notrun) r->mayhaverun = true;
  if (!ev->u.failed.busy)
    mtV_put(&S->edge.in_backoff, r->target,
            (void *)(uintptr_t)(S->now + MT_TARGET_BACKOFF_MS));
  if (r->state == MT_R_FORWARDING) {
    mtR_effect(S, MT_FX_ABORT, r->id);
    S->counts.rejections[MT_TARGET_LOST]++;
    drop(S, r);
    return;
  }
  bool may_retry = !r->resumed && (notrun || r->repeatable);
  mt_rejection_t why = notrun                ? MT_TARGET_UNREACHABLE
                       : ev->u.failed.silent ? MT_TARGET_TIMEOUT
                                             : MT_TARGET_LOST;
  if (!may_retry || r->attempt >= MT_ATTEMPTS_MAX)
    reject(S, r, why);
  else if (!spend_budget(S, r))
    reject(S, r, MT_RETRY_BUDGET_SPENT);
  else
    backoff(S, r,
            ev->u.failed.busy ? MT_RT_BUSY
            : notrun          ? MT_RT_CONNECT
                              : MT_RT_LOST);
}

void mtE_head (mt_state_t *S, const mt_event_t *ev) {
  mt_req_t *r = current(S, ev);
  if (r == NULL) return;
  r->state = MT_R_FORWARDING;
  r->mayhaverun = true;
  mtR_effect(S, MT_FX_FORWARD, r->id);
}

void mtE_chunk (mt_state_t *S, const mt_event_t *ev) {
  mt_req_t *r = current(S, ev);
  if (r == NULL) return;
  r->tokens += ev->u.tokens;
  mtA_add(&S->counts, MT_C_TOKENS, ev->u.tokens);
  if (ev->u.tokens > 0) mtQ_charge(S, r, costof(S, r, 0, r->tokens));
  mtR_effect(S, MT_FX_FORWARD, r->id);
}

void mtE_end (mt_state_t *S, const mt_event_t *ev) {
  mt_req_t *r = current(S, ev);
  if (r == NULL) return;
  int64_t prompt = ev->u.end.prompt, output = ev->u.end.output;
  if (prompt < 0) prompt = r->promptbytes / BYTES_PER_TOKEN;
  if (output < 0) output = r->tokens;
  endattempt(S, r, costof(S, r, prompt, output), true);
  mtR_count(S, MT_C_RESPONSES);
  mtR_effect(S, MT_FX_FORWARD, r->id);
  drop(S, r);
}

void mtE_caller_left (mt_state_t *S, const mt_event_t *ev) {
  mt_req_t *r = find(S, ev->req);
  if (r == NULL || r->joined > 0) return;
  S->counts.rejections[MT_CALLER_LEFT]++;
  switch (r->state) {
    case MT_R_WAITING: mtQ_remove(S, r); break;
    case MT_R_RUNNING:
    case MT_R_FORWARDING:
      mtR_effect(S, MT_FX_CANCEL, r->id)->attempt = r->attempt;
      endattempt(S, r,
                 costof(S, r, r->promptbytes / BYTES_PER_TOKEN, r->tokens),
                 false);
      r->mayhaverun = true;
      break;
    case MT_R_CLAIMING:
    case MT_R_BACKOFF: break;
  }
  if (r->claimed && !r->mayhaverun)
    mtR_effect(S, MT_FX_RELEASE, r->id)->u.claim = r->idem;
  drop(S, r);
}

/* }== */

/* {== Timer ============================================================ */

static void requeue_due (mt_state_t *S) {
  for (size_t i = S->edge.nbackoff; i-- > 0;) {
    mt_req_t *r = find(S, S->edge.backoff[i]);
    bool waits = r != NULL && r->state == MT_R_BACKOFF;
    if (waits && r->notbefore > S->now) continue;
    S->edge.backoff[i] = S->edge.backoff[--S->edge.nbackoff];
    if (waits) mtQ_add(S, r);
  }
}

/* Rejects the requests whose time to wait is over. Their ids are collected
   first, because a rejection changes the map. */
static void reject_expired (mt_state_t *S) {
  if (S->now < S->edge.nextscan) return;
  S->edge.nextscan = S->now + SCAN_MS;
  uint64_t *late = NULL;
  size_t n = 0, cap = 0;
  mtV_each (&S->edge.reqs, i) {
    const mt_req_t *r = S->edge.reqs.vals[i];
    bool waits = r->state == MT_R_WAITING || r->state == MT_R_BACKOFF;
    if (waits && S->now >= r->deadline) *mtV_push(late, n, cap) = r->id;
  }
  for (size_t i = 0; i < n; i++) {
    mt_req_t *r = find(S, late[i]);
    if (r->state == MT_R_WAITING) mtQ_remove(S, r);
    reject(S, r, MT_WAIT_TIMEOUT);
  }
  free(late);
}

void mtE_tick (mt_state_t *S) {
  requeue_due(S);
  reject_expired(S);
  if (S->draining && S->edge.reqs.used == 0 && !S->stopped) {
    S->stopped = true;
    mtM_left(S);
    mtR_effect(S, MT_FX_STOP, 0);
  }
}

void mtE_close (mt_state_t *S) {
  mtV_each (&S->edge.reqs, i) {
    mt_req_t *r = S->edge.reqs.vals[i];
    free(r->targets);
    free(r);
  }
  mtV_free(&S->edge.reqs);
  mtV_free(&S->edge.sessions);
  mtV_free(&S->edge.idems);
  mtV_free(&S->edge.in_backoff);
  free(S->edge.backoff);
  mtQ_close(S);
}

/* }== */
