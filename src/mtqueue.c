/*
** mtqueue.c - the edge's queues: waiting requests, charges, what is reported
*/
#include <stdlib.h>
#include <string.h>

#include "mtledger.h"
#include "mtmember.h"
#include "mtqueue.h"

#define SKIPS_MAX 128 /* times a request is passed over for a prefix */
#define IDLE_FULLS 3  /* full reports after work has ended */
#define HUNDRED 100
#define FEW 4           /* waiting requests whose number is told at once */
#define RECENT_MS 10000 /* what changed since is in every full report */
#define BUDGET_MAX (100 * HUNDRED)

/* {== Tables =========================================================== */

/* All workspaces share one queue in the first-come-first-served baseline. */
static mt_id_t queueof (const mt_state_t *S, mt_id_t ws) {
  return S->set.fifo ? 1 : ws;
}

mt_queue_t *mtQ_get (mt_state_t *S, mt_id_t ws, mt_id_t pool) {
  uint64_t key = mtR_key(queueof(S, ws), pool);
  mt_queue_t *q = mtV_get(&S->edge.queues, key);
  if (q != NULL) return q;
  q = mtV_new(sizeof *q);
  q->ws = queueof(S, ws);
  q->pool = pool;
  mtV_put(&S->edge.queues, key, q);
  return q;
}

static mt_link_t *getlink (mt_state_t *S, mt_id_t domain, mt_id_t pool) {
  mt_link_t *l = mtV_get(&S->edge.links, mtR_key(domain, pool));
  if (l != NULL) return l;
  l = mtV_new(sizeof *l);
  l->domain = domain;
  l->pool = pool;
  mtV_put(&S->edge.links, mtR_key(domain, pool), l);
  return l;
}

/*
** A queue has changed. Its scheduler hears of it at once when that may lead
** to a grant, else with the next batch.
*/
static void touch (mt_state_t *S, mt_queue_t *q, bool atonce) {
  mt_link_t *l = getlink(S, S->members.self->domain, q->pool);
  q->changed = S->now;
  q->atonce |= atonce;
  l->atonce |= atonce;
  if (q->dirty) return;
  q->dirty = true;
  *mtV_push(l->queues, l->nqueues, l->queues_cap) = q;
}

static int shareof (const mt_state_t *S, mt_id_t ws) {
  const mt_workspace_t *w = S->fleet ? mtF_workspace(S->fleet, ws) : NULL;
  return w ? w->share : 1;
}

static mt_units_t units (const mt_state_t *S, mt_id_t ws, int64_t cost) {
  return cost * MT_UNIT / shareof(S, ws);
}

/* }== */

/* {== Order ============================================================ */

static void linkafter (mt_queue_t *q, mt_req_t *at, mt_req_t *r) {
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
  linkafter(q, at, r);
  q->n++;
  S->edge.waiting++;
  r->state = MT_R_WAITING;
  touch(S, q, q->n <= FEW);
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
  touch(S, q, q->n <= FEW);
}

static bool mayuse (const mt_req_t *r, mt_id_t target) {
  if (r->set == 0) return true;
  for (size_t i = 0; i < r->ntargets; i++)
    if (r->targets[i] == target) return true;
  return false;
}

/* How well a request fits a target: 0 not at all, larger is better. */
static int fitness (const mt_req_t *r, mt_id_t target) {
  if (!mayuse(r, target)) return 0;
  if (r->avoid == target) return 1;
  if (r->home == target) return 4;
  return r->home == 0 ? 3 : 2;
}

mt_req_t *mtQ_take (mt_state_t *S, mt_id_t ws, mt_id_t pool, mt_id_t target) {
  mt_queue_t *q = mtQ_get(S, ws, pool);
  mt_req_t *best = NULL;
  int window = MT_AFFINITY_WINDOW;
  for (mt_req_t *r = q->head; r != NULL && (window-- > 0 || best == NULL);
       r = r->next) {
    mt_id_t seen = (mt_id_t)(uintptr_t)mtV_get(&S->edge.sessions, r->session);
    if (seen != 0 && seen != r->avoid) r->home = seen; /* it may have moved */
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
  q->waitmost = mt_max(q->waitmost, wait);
  return best;
}

/* }== */

/* {== Charges ========================================================== */

/* What a request is expected to cost beyond `sofar`, in pool units. */
static int64_t restof (mt_state_t *S, const mt_queue_t *q, int64_t sofar) {
  const mt_costs_t *pool = mtV_get(&S->edge.costs, q->pool);
  if (mtZ_known(&q->costs)) return mtZ_rest(&q->costs, sofar);
  if (pool != NULL && mtZ_known(pool)) return mtZ_rest(pool, sofar);
  return sofar < MT_COST_START ? MT_COST_START - sofar : sofar;
}

static mt_units_t estimate (mt_state_t *S, const mt_queue_t *q) {
  return units(S, q->ws, mt_min(restof(S, q, 0), MT_COST_MAX));
}

/* Renews the estimate of what a running request will still cost. */
static void setrest (mt_state_t *S, mt_queue_t *q, mt_req_t *r,
                     int64_t sofar) {
  int64_t rest = mt_min(restof(S, q, sofar), MT_COST_MAX);
  if (r->maxcost > 0) rest = mt_min(rest, mt_max(r->maxcost - sofar, 0));
  mt_units_t more = units(S, r->ws, rest);
  q->pending += more - r->rest;
  r->rest = more;
}

static mt_costs_t *poolcosts (mt_state_t *S, mt_id_t pool) {
  mt_costs_t *c = mtV_get(&S->edge.costs, pool);
  if (c != NULL) return c;
  c = mtV_new(sizeof *c);
  mtV_put(&S->edge.costs, pool, c);
  return c;
}

void mtQ_running (mt_state_t *S, mt_req_t *r, int change) {
  mt_queue_t *q = mtQ_get(S, r->ws, r->pool);
  if (change > 0) {
    r->charged = 0;
    setrest(S, q, r, 0);
  } else {
    q->pending -= r->rest;
    r->rest = 0;
  }
  q->running += change;
  S->edge.inprogress += (size_t)change;
  touch(S, q, true);
  intptr_t n = (intptr_t)mtV_get(&S->edge.running, r->target) + change;
  if (n > 0)
    mtV_put(&S->edge.running, r->target, (void *)n);
  else
    mtV_del(&S->edge.running, r->target);
  const mt_target_t *t = mtF_target(S->fleet, r->target);
  mt_id_t own = S->members.self->domain;
  mt_link_t *l = getlink(S, t && !mtR_alone(S) ? t->domainid : own, r->pool);
  *mtV_push(l->targets, l->ntargets, l->targets_cap) = r->target;
}

/* Adds to what was served; an earlier overcharge is used up first. */
static void serve (mt_queue_t *q, mt_units_t more) {
  mt_units_t off = mt_min(q->credit, more);
  q->credit -= off;
  q->served += more - off;
}

void mtQ_charge (mt_state_t *S, mt_req_t *r, int64_t cost) {
  mt_queue_t *q = mtQ_get(S, r->ws, r->pool);
  mt_units_t total = units(S, r->ws, cost);
  if (total <= r->charged) return;
  serve(q, total - r->charged);
  r->charged = total;
  setrest(S, q, r, cost);
  touch(S, q, false);
}

void mtQ_settle (mt_state_t *S, mt_req_t *r, int64_t cost, bool whole) {
  mt_queue_t *q = mtQ_get(S, r->ws, r->pool);
  mt_units_t total = units(S, r->ws, cost);
  if (total < r->charged) q->credit += r->charged - total;
  mtQ_charge(S, r, cost);
  if (!whole) return;
  mtZ_learn(&q->costs, cost);
  mtZ_learn(poolcosts(S, q->pool), cost);
}

/* }== */

/* {== Reports ========================================================== */

void mtQ_taken (mt_state_t *S, const mt_grant_t *g, uint8_t used) {
  mt_id_t own = S->members.self->domain;
  mt_link_t *l = getlink(S, g->domain, g->pool);
  *mtV_push(l->results, l->nresults, l->results_cap) =
      (mt_grant_result_t){g->id, used};
  if (g->domain == own) return;
  l = getlink(S, own, g->pool);
  *mtV_push(l->results, l->nresults, l->results_cap) =
      (mt_grant_result_t){g->id, used};
}

static mt_backlog_t *lanefor (mt_ws_row_t *row, size_t *cap,
                              const mt_req_t *r) {
  for (size_t i = 0; i < row->nbacklogs; i++)
    if (row->backlogs[i].set == r->set) return &row->backlogs[i];
  mt_backlog_t *l = mtV_push(row->backlogs, row->nbacklogs, *cap);
  *l = (mt_backlog_t){
      .set = r->set, .targets = r->targets, .ntargets = r->ntargets};
  return l;
}

/* Queues without policy sets are counted, not walked to the end. */
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
    mt_backlog_t *l = lanefor(row, &cap, r);
    l->waiting++;
    if (l->preferred == 0) l->preferred = r->home;
  }
}

static void addrunning (mt_state_t *S, mt_demand_t *d, mt_id_t target) {
  for (size_t i = 0; i < d->nrunning; i++)
    if (d->running[i].target == target) return;
  mt_running_t *r = mtV_push(d->running, d->nrunning, d->running_cap);
  *r = (mt_running_t){target,
                      (int32_t)(intptr_t)mtV_get(&S->edge.running, target)};
}

/* All that waits or runs; `all`: also what has long been quiet. */
static void fillfull (mt_state_t *S, const mt_link_t *l, mt_demand_t *d,
                      bool all) {
  bool own = l->domain == S->members.self->domain;
  mtV_each (&S->edge.queues, i) {
    const mt_queue_t *q = S->edge.queues.vals[i];
    if (!own || q->pool != l->pool) continue;
    bool quiet = q->n == 0 && q->running == 0;
    if (quiet && !all && S->now - q->changed > RECENT_MS) continue;
    fillrow(S, q, mtV_push(d->rows, d->nrows, d->rows_cap));
  }
  mtV_each (&S->edge.running, i) {
    const mt_target_t *t =
        mtF_target(S->fleet, (mt_id_t)S->edge.running.keys[i]);
    if (t != NULL && t->pool == l->pool &&
        (t->domainid == l->domain || mtR_alone(S)))
      addrunning(S, d, t->id);
  }
}

static void fillchanges (mt_state_t *S, const mt_link_t *l, mt_demand_t *d,
                         bool batch) {
  for (size_t i = 0; i < l->nqueues; i++)
    if (batch || l->queues[i]->atonce)
      fillrow(S, l->queues[i], mtV_push(d->rows, d->nrows, d->rows_cap));
  for (size_t i = 0; i < l->ntargets; i++) addrunning(S, d, l->targets[i]);
}

static bool idle (const mt_demand_t *d) {
  for (size_t i = 0; i < d->nrows; i++)
    if (d->rows[i].nbacklogs > 0 || d->rows[i].pending > 0) return false;
  return d->nrunning == 0;
}

static void sendone (mt_state_t *S, mt_link_t *l, int rank, bool full,
                     bool batch) {
  mt_id_t to = mtR_alone(S)
                   ? (rank ? 0 : S->members.self->id)
                   : mtM_ranked(S, l->domain, MT_ROLE_POOL(l->pool), rank);
  if (to == 0 || (rank > 0 && to == l->told[0])) return;
  bool fresh = l->told[rank] != to;
  full |= fresh;
  if (!full && rank > 0) return; /* the second one gets full reports only */
  mt_msg_t m = {.kind = MT_M_DEMAND};
  mt_demand_t *d = &m.u.demand;
  *d = (mt_demand_t){.domain = l->domain,
                     .pool = l->pool,
                     .full = full,
                     .boot = S->members.self->node.boot};
  if (full)
    fillfull(S, l, d, fresh);
  else
    fillchanges(S, l, d, batch);
  if (rank == 0) {
    d->results = l->results;
    d->nresults = l->nresults;
  }
  if (full && idle(d) && l->idlefulls > 0) l->idlefulls--;
  if (!idle(d)) l->idlefulls = IDLE_FULLS;
  l->told[rank] = to;
  mtR_send(S, to, &m);
  for (size_t i = 0; i < d->nrows; i++) free(d->rows[i].backlogs);
  free(d->rows);
  free(d->running);
}

/* Drops from the list what has been told; the rest waits for the next batch.
 */
static void cleartold (mt_link_t *l, bool all) {
  size_t kept = 0;
  for (size_t i = 0; i < l->nqueues; i++) {
    mt_queue_t *q = l->queues[i];
    if (!all && !q->atonce) {
      l->queues[kept++] = q;
      continue;
    }
    q->dirty = q->atonce = false;
  }
  l->nqueues = kept;
  l->ntargets = l->nresults = 0;
  l->atonce = false;
}

static void sendlink (mt_state_t *S, mt_link_t *l, bool full, bool batch) {
  if (S->fleet == NULL) return;
  for (int rank = 0; rank < MT_REPLICAS; rank++)
    sendone(S, l, rank, full, batch);
  cleartold(l, full || batch);
  if (full) l->lastfull = S->now;
  if (full || batch) l->lastbatch = S->now;
}

void mtQ_report (mt_state_t *S) {
  mtV_each (&S->edge.links, i) {
    mt_link_t *l = S->edge.links.vals[i];
    if (l->atonce || l->ntargets > 0 || l->nresults > 0)
      sendlink(S, l, false, false);
  }
}

void mtQ_tick (mt_state_t *S) {
  mtV_each (&S->edge.links, i) {
    mt_link_t *l = S->edge.links.vals[i];
    mt_id_t first = mtM_ranked(S, l->domain, MT_ROLE_POOL(l->pool), 0);
    bool moved = first != 0 && first != l->told[0] && l->told[0] != 0;
    if (moved) l->idlefulls = IDLE_FULLS;
    bool due = l->idlefulls > 0 && S->now - l->lastfull >= MT_DEMAND_MS;
    bool batch = l->nqueues > 0 && S->now - l->lastbatch >= MT_BATCH_MS;
    if (moved || due || batch) sendlink(S, l, moved || due, batch);
  }
}

/* }== */

/* {== Retry budgets ==================================================== */

static void refill (const mt_state_t *S, mt_budget_t *b) {
  mt_ms_t passed = mt_min(S->now - b->at, 10000);
  b->at = S->now;
  b->left =
      mt_min(b->left + (int64_t)passed * MT_RETRY_FLOOR * HUNDRED / 1000,
             BUDGET_MAX);
}

bool mtQ_spend (mt_state_t *S, mt_budget_t *b) {
  refill(S, b);
  if (b->left < HUNDRED) return false;
  b->left -= HUNDRED;
  return true;
}

void mtQ_earn (mt_budget_t *b) {
  b->left = mt_min(b->left + MT_RETRY_BUDGET_PCT, BUDGET_MAX);
}

/* }== */

void mtQ_close (mt_state_t *S) {
  mtV_each (&S->edge.queues, i) free(S->edge.queues.vals[i]);
  mtV_free(&S->edge.queues);
  mtV_each (&S->edge.links, i) {
    mt_link_t *l = S->edge.links.vals[i];
    free(l->queues);
    free(l->targets);
    free(l->results);
    free(l);
  }
  mtV_free(&S->edge.links);
  mtV_free(&S->edge.running);
  mtV_each (&S->edge.costs, i) free(S->edge.costs.vals[i]);
  mtV_free(&S->edge.costs);
}
