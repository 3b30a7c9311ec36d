/*
** mtqueue.c - a router's request queues: order, charges, demand reports
*/
#include <stdlib.h>
#include <string.h>

#include "mtledger.h"
#include "mtmember.h"
#include "mtqueue.h"

#define SKIPS_MAX 128   /* times that a request is passed over for affinity */
#define FINAL_REPORTS 3 /* full reports after the last request has ended */
#define RETRY_COST 100  /* in hundredths of a retry, as budgets count */
#define IMMEDIATE_MAX 4 /* queue length up to which changes do not wait */
#define RECENT_MS 10000 /* full reports omit queues idle for longer */
#define BUDGET_MAX (100 * RETRY_COST) /* 100 retries */

/* {== Tables =========================================================== */

/* All workspaces share one queue in the first-come-first-served baseline. */
static mt_id_t queue_ws (const mt_state_t *S, mt_id_t ws) {
  return S->set.fifo ? 1 : ws;
}

mt_queue_t *mtQ_get (mt_state_t *S, mt_id_t ws, mt_id_t pool) {
  uint64_t key = mtR_key(queue_ws(S, ws), pool);
  mt_queue_t *q = mtV_get(&S->edge.queues, key);
  if (q != NULL) return q;
  q = mtV_new(sizeof *q);
  q->ws = queue_ws(S, ws);
  q->pool = pool;
  mtV_put(&S->edge.queues, key, q);
  return q;
}

static mt_outbox_t *get_outbox (mt_state_t *S, mt_id_t domain, mt_id_t pool) {
  mt_outbox_t *o = mtV_get(&S->edge.outboxes, mtR_key(domain, pool));
  if (o != NULL) return o;
  o = mtV_new(sizeof *o);
  o->domain = domain;
  o->pool = pool;
  mtV_put(&S->edge.outboxes, mtR_key(domain, pool), o);
  return o;
}

/*
** Marks a queue as changed. With `immediate`, because it may lead to a grant,
** it is reported after this step, else in the next batch.
*/
static void mark_changed (mt_state_t *S, mt_queue_t *q, bool immediate) {
  mt_outbox_t *o = get_outbox(S, S->members.self->domain, q->pool);
  q->changed = S->now;
  q->immediate |= immediate;
  o->immediate |= immediate;
  if (q->dirty) return;
  q->dirty = true;
  *mtV_push(o->queues, o->nqueues, o->queues_cap) = q;
}

static int shareof (const mt_state_t *S, mt_id_t ws) {
  const mt_workspace_t *w = S->fleet ? mtF_workspace(S->fleet, ws) : NULL;
  return w ? w->share : 1;
}

static mt_units_t units (const mt_state_t *S, mt_id_t ws, int64_t cost) {
  return cost * MT_UNIT_SCALE / shareof(S, ws);
}

/* }== */

/* {== Order ============================================================ */

static void insert_after (mt_queue_t *q, mt_req_t *at, mt_req_t *r) {
  r->prev = at;
  r->next = at ? at->next : q->head;
  if (r->next)
    r->next->prev = r;
  else
    q->tail = r;
  if (at)
    at->next = r;
  else
    q->head = r;
}

void mtQ_add (mt_state_t *S, mt_req_t *r) {
  mt_queue_t *q = mtQ_get(S, r->ws, r->pool);
  mt_req_t *at = q->tail;
  while (at && (at->order < r->order ||
                (at->order == r->order && at->arrived > r->arrived)))
    at = at->prev;
  insert_after(q, at, r);
  q->n++;
  S->edge.waiting++;
  r->state = MT_R_WAITING;
  mark_changed(S, q, q->n <= IMMEDIATE_MAX);
}

void mtQ_remove (mt_state_t *S, mt_req_t *r) {
  mt_queue_t *q = mtQ_get(S, r->ws, r->pool);
  if (r->prev)
    r->prev->next = r->next;
  else
    q->head = r->next;
  if (r->next)
    r->next->prev = r->prev;
  else
    q->tail = r->prev;
  r->prev = r->next = NULL;
  q->n--;
  S->edge.waiting--;
  mark_changed(S, q, q->n <= IMMEDIATE_MAX);
}

static bool mayuse (const mt_req_t *r, mt_id_t target) {
  if (r->set == 0) return true;
  for (size_t i = 0; i < r->ntargets; i++)
    if (r->targets[i] == target) return true;
  return false;
}

/* How well a request suits a target: 0: may not use it, 1: its last attempt
   failed there, 2: prefers another, 3: prefers none, 4: prefers it. */
static int fitness (const mt_req_t *r, mt_id_t target) {
  if (!mayuse(r, target)) return 0;
  if (r->avoid == target) return 1;
  if (r->affinity == target) return 4;
  return r->affinity == 0 ? 3 : 2;
}

mt_req_t *mtQ_take (mt_state_t *S, mt_id_t ws, mt_id_t pool, mt_id_t target) {
  mt_queue_t *q = mtQ_get(S, ws, pool);
  mt_req_t *best = NULL;
  int window = MT_AFFINITY_WINDOW;
  for (mt_req_t *r = q->head; r != NULL && (window-- > 0 || best == NULL);
       r = r->next) {
    mt_id_t seen = (mt_id_t)(uintptr_t)mtV_get(&S->edge.sessions, r->session);
    if (seen != 0 && seen != r->avoid)
      r->affinity = seen; /* it may have moved since */
    int fit = fitness(r, target);
    if (fit == 0) continue;
    if (best == NULL ||
        (fit > fitness(best, target) && r->order == best->order))
      best = r;
    if (fit == 4 || r->skipped >= SKIPS_MAX) break;
  }
  if (best == NULL) return NULL;
  for (mt_req_t *r = q->head; r != best; r = r->next) r->skipped++;
  mtQ_remove(S, best);
  mt_ms_t wait = S->now - best->arrived;
  q->waits++;
  q->waitsum += wait;
  q->waitmax = mt_max(q->waitmax, wait);
  return best;
}

/* }== */

/* {== Charges ========================================================== */

/* Estimate of what a request costs beyond `sofar`, in the pool's unit: by its
   workspace's ended requests, else by the pool's, else by a default. */
static int64_t remaining_cost (mt_state_t *S, const mt_queue_t *q,
                               int64_t sofar) {
  const mt_costs_t *pool = mtV_get(&S->edge.costs, q->pool);
  if (mtZ_enough(&q->costs)) return mtZ_remaining(&q->costs, sofar);
  if (pool != NULL && mtZ_enough(pool)) return mtZ_remaining(pool, sofar);
  return sofar < MT_COST_DEFAULT ? MT_COST_DEFAULT - sofar : sofar;
}

/* Estimate of the whole cost of the next request of a queue. */
static mt_units_t estimate (mt_state_t *S, const mt_queue_t *q) {
  return units(S, q->ws, mt_min(remaining_cost(S, q, 0), MT_COST_MAX));
}

/* Updates the estimate of what a running request still costs. */
static void update_remaining (mt_state_t *S, mt_queue_t *q, mt_req_t *r,
                              int64_t sofar) {
  int64_t remaining = mt_min(remaining_cost(S, q, sofar), MT_COST_MAX);
  if (r->maxcost > 0)
    remaining = mt_min(remaining, mt_max(r->maxcost - sofar, 0));
  mt_units_t estimated = units(S, r->ws, remaining);
  q->pending += estimated - r->remaining;
  r->remaining = estimated;
}

static mt_costs_t *poolcosts (mt_state_t *S, mt_id_t pool) {
  mt_costs_t *c = mtV_get(&S->edge.costs, pool);
  if (c != NULL) return c;
  c = mtV_new(sizeof *c);
  mtV_put(&S->edge.costs, pool, c);
  return c;
}

void mtQ_adjust_running (mt_state_t *S, mt_req_t *r, int change) {
  mt_queue_t *q = mtQ_get(S, r->ws, r->pool);
  if (change > 0) {
    r->charged = 0;
    update_remaining(S, q, r, 0);
  } else {
    q->pending -= r->remaining;
    r->remaining = 0;
  }
  q->running += change;
  S->edge.inprogress += (size_t)change;
  mark_changed(S, q, true);
  intptr_t n = (intptr_t)mtV_get(&S->edge.running, r->target) + change;
  if (n > 0)
    mtV_put(&S->edge.running, r->target, (void *)n);
  else
    mtV_del(&S->edge.running, r->target);
  const mt_target_t *t = mtF_target(S->fleet, r->target);
  mt_id_t own = S->members.self->domain;
  mt_outbox_t *o =
      get_outbox(S, t && !mtR_standalone(S) ? t->domainid : own, r->pool);
  *mtV_push(o->targets, o->ntargets, o->targets_cap) = r->target;
}

/* Adds service to a queue, less the credit of earlier overcharges. */
static void add_served (mt_queue_t *q, mt_units_t more) {
  mt_units_t off = mt_min(q->credit, more);
  q->credit -= off;
  q->served += more - off;
}

void mtQ_charge (mt_state_t *S, mt_req_t *r, int64_t cost) {
  mt_queue_t *q = mtQ_get(S, r->ws, r->pool);
  mt_units_t total = units(S, r->ws, cost);
  if (total <= r->charged) return;
  add_served(q, total - r->charged);
  r->charged = total;
  update_remaining(S, q, r, cost);
  mark_changed(S, q, false);
}

void mtQ_settle (mt_state_t *S, mt_req_t *r, int64_t cost, bool complete) {
  mt_queue_t *q = mtQ_get(S, r->ws, r->pool);
  mt_units_t total = units(S, r->ws, cost);
  if (total < r->charged) q->credit += r->charged - total;
  mtQ_charge(S, r, cost);
  if (!complete) return;
  mtZ_add(&q->costs, cost);
  mtZ_add(poolcosts(S, q->pool), cost);
}

/* }== */

/* {== Reports ========================================================== */

void mtQ_grant_result (mt_state_t *S, const mt_grant_t *g, uint8_t used) {
  mt_id_t own = S->members.self->domain;
  mt_outbox_t *o = get_outbox(S, g->domain, g->pool);
  *mtV_push(o->results, o->nresults, o->results_cap) =
      (mt_grant_result_t){g->id, used};
  if (g->domain == own) return;
  o = get_outbox(S, own, g->pool);
  *mtV_push(o->results, o->nresults, o->results_cap) =
      (mt_grant_result_t){g->id, used};
}

static mt_backlog_t *backlog_for (mt_ws_row_t *row, size_t *cap,
                                  const mt_req_t *r) {
  for (size_t i = 0; i < row->nbacklogs; i++)
    if (row->backlogs[i].set == r->set) return &row->backlogs[i];
  mt_backlog_t *l = mtV_push(row->backlogs, row->nbacklogs, *cap);
  *l = (mt_backlog_t){
      .set = r->set, .targets = r->targets, .ntargets = r->ntargets};
  return l;
}

/* Fills in a queue's row. Past MT_AFFINITY_WINDOW requests, a queue without
   target sets is counted instead of searched. */
static void fillrow (mt_state_t *S, const mt_queue_t *q, mt_ws_row_t *row) {
  *row = (mt_ws_row_t){
      .ws = q->ws, .served = q->served, .pending = mt_max(q->pending, 0)};
  row->cost = estimate(S, q);
  size_t cap = 0;
  int32_t seen = 0;
  for (const mt_req_t *r = q->head; r != NULL; r = r->next, seen++) {
    if (seen >= MT_AFFINITY_WINDOW && row->nbacklogs == 1 &&
        row->backlogs[0].set == 0) {
      row->backlogs[0].waiting += q->n - seen;
      return;
    }
    mt_backlog_t *l = backlog_for(row, &cap, r);
    l->waiting++;
    if (l->preferred == 0) l->preferred = r->affinity;
  }
}

static void addrunning (mt_state_t *S, mt_demand_t *d, mt_id_t target) {
  for (size_t i = 0; i < d->nrunning; i++)
    if (d->running[i].target == target) return;
  mt_running_t *r = mtV_push(d->running, d->nrunning, d->running_cap);
  *r = (mt_running_t){target,
                      (int32_t)(intptr_t)mtV_get(&S->edge.running, target)};
}

/* Fills in a full report: the queues with requests or recent changes, with
   `all` every queue, and the running requests of each target. */
static void fillfull (mt_state_t *S, const mt_outbox_t *o, mt_demand_t *d,
                      bool all) {
  bool own = o->domain == S->members.self->domain;
  mtV_each (&S->edge.queues, i) {
    const mt_queue_t *q = S->edge.queues.vals[i];
    if (!own || q->pool != o->pool) continue;
    bool quiet = q->n == 0 && q->running == 0;
    if (quiet && !all && S->now - q->changed > RECENT_MS) continue;
    fillrow(S, q, mtV_push(d->rows, d->nrows, d->rows_cap));
  }
  mtV_each (&S->edge.running, i) {
    const mt_target_t *t =
        mtF_target(S->fleet, (mt_id_t)S->edge.running.keys[i]);
    if (t != NULL && t->pool == o->pool &&
        (t->domainid == o->domain || mtR_standalone(S)))
      addrunning(S, d, t->id);
  }
}

static void fillchanges (mt_state_t *S, const mt_outbox_t *o, mt_demand_t *d,
                         bool batch) {
  for (size_t i = 0; i < o->nqueues; i++)
    if (batch || o->queues[i]->immediate)
      fillrow(S, o->queues[i], mtV_push(d->rows, d->nrows, d->rows_cap));
  for (size_t i = 0; i < o->ntargets; i++) addrunning(S, d, o->targets[i]);
}

static bool idle (const mt_demand_t *d) {
  for (size_t i = 0; i < d->nrows; i++)
    if (d->rows[i].nbacklogs > 0 || d->rows[i].pending > 0) return false;
  return d->nrunning == 0;
}

/* Sends a report to the router of this rank: 0 primary, 1 standby. A router
   that has had none gets a full one. */
static void send_report (mt_state_t *S, mt_outbox_t *o, int rank, bool full,
                         bool batch) {
  mt_id_t to = mtR_standalone(S)
                   ? (rank ? 0 : S->members.self->id)
                   : mtM_ranked(S, o->domain, MT_ROLE_POOL(o->pool), rank);
  if (to == 0 || (rank > 0 && to == o->reported[0])) return;
  bool fresh = o->reported[rank] != to;
  full |= fresh;
  if (!full && rank > 0) return; /* the standby gets full reports only */
  mt_msg_t m = {.kind = MT_M_DEMAND};
  mt_demand_t *d = &m.u.demand;
  *d = (mt_demand_t){.domain = o->domain,
                     .pool = o->pool,
                     .full = full,
                     .boot = S->members.self->node.boot};
  if (full)
    fillfull(S, o, d, fresh);
  else
    fillchanges(S, o, d, batch);
  if (rank == 0) {
    d->results = o->results;
    d->nresults = o->nresults;
  }
  if (full && idle(d) && o->final_reports > 0) o->final_reports--;
  if (!idle(d)) o->final_reports = FINAL_REPORTS;
  o->reported[rank] = to;
  mtR_send(S, to, &m);
  for (size_t i = 0; i < d->nrows; i++) free(d->rows[i].backlogs);
  free(d->rows);
  free(d->running);
}

/* Clears what has been reported; the rest waits for the next batch. */
static void clear_reported (mt_outbox_t *o, bool all) {
  size_t kept = 0;
  for (size_t i = 0; i < o->nqueues; i++) {
    mt_queue_t *q = o->queues[i];
    if (!all && !q->immediate) {
      o->queues[kept++] = q;
      continue;
    }
    q->dirty = q->immediate = false;
  }
  o->nqueues = kept;
  o->ntargets = o->nresults = 0;
  o->immediate = false;
}

static void send_outbox (mt_state_t *S, mt_outbox_t *o, bool full,
                         bool batch) {
  if (S->fleet == NULL) return;
  for (int rank = 0; rank < MT_REPLICAS; rank++)
    send_report(S, o, rank, full, batch);
  clear_reported(o, full || batch);
  if (full) o->lastfull = S->now;
  if (full || batch) o->lastbatch = S->now;
}

void mtQ_report (mt_state_t *S) {
  mtV_each (&S->edge.outboxes, i) {
    mt_outbox_t *o = S->edge.outboxes.vals[i];
    if (o->immediate || o->ntargets > 0 || o->nresults > 0)
      send_outbox(S, o, false, false);
  }
}

void mtQ_tick (mt_state_t *S) {
  mtV_each (&S->edge.outboxes, i) {
    mt_outbox_t *o = S->edge.outboxes.vals[i];
    mt_id_t first = mtM_ranked(S, o->domain, MT_ROLE_POOL(o->pool), 0);
    bool moved = first != 0 && first != o->reported[0] && o->reported[0] != 0;
    if (moved) o->final_reports = FINAL_REPORTS;
    bool due = o->final_reports > 0 && S->now - o->lastfull >= MT_DEMAND_MS;
    bool batch = o->nqueues > 0 && S->now - o->lastbatch >= MT_BATCH_MS;
    if (moved || due || batch) send_outbox(S, o, moved || due, batch);
  }
}

/* }== */

/* {== Retry budgets ==================================================== */

static void refill (const mt_state_t *S, mt_retrybudget_t *b) {
  mt_ms_t passed = mt_min(S->now - b->at, 10000);
  b->at = S->now;
  b->left = mt_min(b->left + (int64_t)passed * MT_RETRIES_PER_S_MIN *
                                 RETRY_COST / 1000,
                   BUDGET_MAX);
}

bool mtQ_spend (mt_state_t *S, mt_retrybudget_t *b) {
  refill(S, b);
  if (b->left < RETRY_COST) return false;
  b->left -= RETRY_COST;
  return true;
}

void mtQ_earn (mt_retrybudget_t *b) {
  b->left = mt_min(b->left + MT_RETRY_BUDGET_PCT, BUDGET_MAX);
}

/* }== */

void mtQ_close (mt_state_t *S) {
  mtV_each (&S->edge.queues, i) free(S->edge.queues.vals[i]);
  mtV_free(&S->edge.queues);
  mtV_each (&S->edge.outboxes, i) {
    mt_outbox_t *o = S->edge.outboxes.vals[i];
    free(o->queues);
    free(o->targets);
    free(o->results);
    free(o);
  }
  mtV_free(&S->edge.outboxes);
  mtV_free(&S->edge.running);
  mtV_each (&S->edge.costs, i) free(S->edge.costs.vals[i]);
  mtV_free(&S->edge.costs);
}
