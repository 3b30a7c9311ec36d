/*
** mtledger.c - the accounts of one scheduler: service, debts, what others
** told
*/
#include <stdlib.h>
#include <string.h>

#include "mtledger.h"
#include "mtmember.h"
#include "mtsched.h"

#define DEBT_LIMIT ((mt_units_t)MT_DEBT_TOKENS * MT_UNIT)

/* {== Accounts ========================================================= */

mt_units_t mtG_tag (const mt_account_t *a) {
  mt_units_t served = a->retired + a->served + a->rserved;
  return served + a->pending + a->unseen + a->rpending + a->lift -
         a->forgiven;
}

mt_account_t *mtS_account (mt_sched_t *G, mt_id_t ws) {
  mt_account_t *a = mtV_get(&G->accounts, ws);
  if (a != NULL) return a;
  a = mtV_new(sizeof *a);
  a->ws = ws;
  a->cost = (mt_units_t)MT_COST_START * MT_UNIT;
  mtV_put(&G->accounts, ws, a);
  *mtV_push(G->list, G->naccounts, G->list_cap) = a;
  return a;
}

static int32_t waitingof (const mt_ws_row_t *r) {
  int32_t n = 0;
  for (size_t i = 0; i < r->nbacklogs; i++) n += r->backlogs[i].waiting;
  return n;
}

static mt_units_t totalof (const mt_account_t *a) {
  return a->retired + a->served;
}

/* Copies a row into a map, keeping `served` at its maximum. */
static mt_ws_row_t *keeprow (mt_map_t *rows, const mt_ws_row_t *from) {
  mt_ws_row_t *r = mtV_get(rows, from->ws);
  if (r == NULL) {
    r = mtV_new(sizeof *r);
    r->ws = from->ws;
    mtV_put(rows, from->ws, r);
  }
  for (size_t i = 0; i < r->nbacklogs; i++) free(r->backlogs[i].targets);
  free(r->backlogs);
  r->served = mt_max(r->served, from->served);
  r->pending = from->pending;
  r->cost = from->cost;
  r->nbacklogs = from->nbacklogs;
  r->backlogs =
      from->nbacklogs ? mtV_new(from->nbacklogs * sizeof *r->backlogs) : NULL;
  for (size_t i = 0; i < r->nbacklogs; i++) {
    r->backlogs[i] = from->backlogs[i];
    if (from->backlogs[i].ntargets == 0) continue;
    size_t size = from->backlogs[i].ntargets * sizeof(mt_id_t);
    r->backlogs[i].targets = mtV_new(size);
    memcpy(r->backlogs[i].targets, from->backlogs[i].targets, size);
  }
  return r;
}

static void droplanes (mt_ws_row_t *r) {
  for (size_t i = 0; i < r->nbacklogs; i++) free(r->backlogs[i].targets);
  free(r->backlogs);
  r->backlogs = NULL;
  r->nbacklogs = 0;
  r->pending = 0;
}

static void freemap (mt_map_t *rows) {
  mtV_each (rows, i) {
    droplanes(rows->vals[i]);
    free(rows->vals[i]);
  }
  mtV_free(rows);
}

/* Adds a row to its account's sums, or takes it out (sign -1). */
static void sumlocal (mt_account_t *a, const mt_ws_row_t *r, int sign) {
  a->served += sign * r->served;
  a->pending += sign * r->pending;
  a->waiting += sign * waitingof(r);
}

static void sumremote (mt_account_t *a, const mt_ws_row_t *r, bool current,
                       int sign) {
  a->rserved += sign * r->served;
  if (!current) return;
  a->rpending += sign * r->pending;
  a->rwaiting += sign * waitingof(r);
}

/* }== */

/* {== Reports ========================================================== */

static mt_edgeview_t *findedge (mt_sched_t *G, mt_id_t node) {
  for (size_t i = 0; i < G->nedges; i++)
    if (G->edges[i]->node == node) return G->edges[i];
  mt_edgeview_t *e = mtV_new(sizeof *e);
  e->node = node;
  *mtV_push(G->edges, G->nedges, G->edges_cap) = e;
  return e;
}

/* Nothing waits or runs there any more; what was served stays counted. */
static void emptyrow (mt_sched_t *G, mt_ws_row_t *r) {
  mt_account_t *a = mtS_account(G, r->ws);
  if (r->nbacklogs == 0 && r->pending == 0) return;
  sumlocal(a, r, -1);
  droplanes(r);
  sumlocal(a, r, 1);
  a->dirty = true;
}

static void emptyedge (mt_sched_t *G, mt_edgeview_t *e) {
  mtV_each (&e->rows, i) emptyrow(G, e->rows.vals[i]);
  mtV_free(&e->running);
}

/* The process behind a view was replaced: its service goes to `retired`. */
static void retire (mt_sched_t *G, mt_edgeview_t *e) {
  emptyedge(G, e);
  mtV_each (&e->rows, i) {
    mt_ws_row_t *r = e->rows.vals[i];
    mt_account_t *a = mtS_account(G, r->ws);
    sumlocal(a, r, -1);
    a->retired += r->served;
  }
  freemap(&e->rows);
}

static void reportrow (mt_sched_t *G, mt_edgeview_t *e,
                       const mt_ws_row_t *from) {
  mt_account_t *a = mtS_account(G, from->ws);
  mt_ws_row_t *old = mtV_get(&e->rows, from->ws);
  mt_account_t before = *a;
  if (old != NULL) sumlocal(a, old, -1);
  mt_ws_row_t *r = keeprow(&e->rows, from);
  r->report_no = e->reports;
  sumlocal(a, r, 1);
  if (from->cost > 0) a->cost = from->cost;
  bool same = before.served == a->served && before.pending == a->pending &&
              before.waiting == a->waiting;
  a->dirty |= !same;
}

/* A full report leaves out what is no longer there. */
static void dropunmarked (mt_sched_t *G, mt_edgeview_t *e) {
  mtV_each (&e->rows, i) {
    mt_ws_row_t *r = e->rows.vals[i];
    if (r->report_no != e->reports) emptyrow(G, r);
  }
}

void mtS_report (mt_state_t *S, mt_sched_t *G, mt_id_t from,
                 const mt_demand_t *d, uint64_t clock) {
  bool statement = d->full || d->nrows > 0 || d->nrunning > 0;
  if (!statement) return;
  mt_edgeview_t *e = findedge(G, from);
  if (e->boot != 0 && d->boot < e->boot) return;
  if (e->boot == d->boot && clock < e->clock) return;
  if (e->boot != d->boot) retire(G, e);
  e->boot = d->boot;
  e->clock = clock;
  e->heard = S->now;
  e->dead = false;
  e->reports++;
  if (d->full) mtV_free(&e->running);
  for (size_t i = 0; i < d->nrows; i++) reportrow(G, e, &d->rows[i]);
  for (size_t i = 0; i < d->nrunning; i++) {
    mt_id_t t = d->running[i].target;
    if (t == 0) continue;
    if (d->running[i].count > 0)
      mtV_put(&e->running, t, (void *)(intptr_t)d->running[i].count);
    else
      mtV_del(&e->running, t);
  }
  if (d->full) dropunmarked(G, e);
}

void mtS_routers (mt_state_t *S, mt_sched_t *G) {
  for (size_t i = 0; i < G->nedges; i++) {
    mt_edgeview_t *e = G->edges[i];
    const mt_member_t *m = mtM_get(S, e->node);
    bool gone = m == NULL || m->node.state >= MT_LEFT;
    if (!gone || e->dead) continue;
    emptyedge(G, e);
    e->dead = true;
    G->dirty = true;
  }
}

/* }== */

/* {== Tags ============================================================= */

/* The least tag among workspaces that wait; false when none does. */
static bool leasttag (const mt_sched_t *G, mt_units_t *least) {
  bool any = false;
  for (size_t i = 0; i < G->naccounts; i++) {
    const mt_account_t *a = G->list[i];
    if (!a->active || a->waiting + a->rwaiting <= 0) continue;
    mt_units_t tag = mtG_tag(a);
    if (!any || tag < *least) *least = tag;
    any = true;
  }
  return any;
}

/* Only the domain where work appears lifts; the others learn of it. */
static void wake (mt_state_t *S, mt_sched_t *G, mt_account_t *a) {
  bool waits = a->waiting + a->rwaiting > 0;
  if (waits && !a->active && a->waiting > 0 && a->rwaiting <= 0) {
    mt_units_t behind = G->vtime - mtG_tag(a);
    if (behind > 0) {
      a->lift += behind;
      a->dirty = true;
      mtR_count(S, MT_C_IDLE_LIFTS);
    }
  }
  a->active = waits;
}

static void forgive (mt_state_t *S, mt_sched_t *G, mt_account_t *a) {
  mt_units_t ahead = mtG_tag(a) - G->vtime - DEBT_LIMIT;
  if (!a->active || ahead <= 0) return;
  a->forgiven += ahead;
  a->dirty = true;
  mtR_count(S, MT_C_DEBT_FORGIVEN);
}

void mtS_settle (mt_state_t *S, mt_sched_t *G) {
  mt_units_t least = 0;
  if (leasttag(G, &least)) G->vtime = mt_max(G->vtime, least);
  for (size_t i = 0; i < G->naccounts; i++) wake(S, G, G->list[i]);
  for (size_t i = 0; i < G->naccounts; i++) forgive(S, G, G->list[i]);
}

/* }== */

/* {== Exchange ========================================================= */

static mt_remote_t *findremote (mt_sched_t *G, mt_id_t domain) {
  for (size_t i = 0; i < G->nremotes; i++)
    if (G->remotes[i]->domain == domain) return G->remotes[i];
  mt_remote_t *r = mtV_new(sizeof *r);
  r->domain = domain;
  r->wantsfull = true;
  *mtV_push(G->remotes, G->nremotes, G->remotes_cap) = r;
  return r;
}

static void setcurrent (mt_sched_t *G, mt_remote_t *d, bool current) {
  if (d->current == current) return;
  mtV_each (&d->rows, i) {
    const mt_ws_row_t *r = d->rows.vals[i];
    sumremote(mtS_account(G, r->ws), r, d->current, -1);
    sumremote(mtS_account(G, r->ws), r, current, 1);
  }
  d->current = current;
}

/* Gives a scheduler without history its own domain's totals back. */
static void giveback (mt_state_t *S, mt_sched_t *G, mt_id_t to,
                      const mt_remote_t *d) {
  mt_msg_t m = {.kind = MT_M_EXCHANGE};
  mt_exchange_t *x = &m.u.exchange;
  *x = (mt_exchange_t){
      .domain = G->domain, .pool = G->pool, .todomain = d->domain, .echo = 1};
  x->boot = S->members.self->node.boot;
  x->vtime = G->vtime;
  mtV_each (&d->rows, i) {
    const mt_ws_row_t *r = d->rows.vals[i];
    const mt_account_t *a = mtS_account(G, r->ws);
    mt_ws_row_t *row = mtV_push(x->rows, x->nrows, x->rows_cap);
    *row = (mt_ws_row_t){.ws = r->ws,
                         .served = r->served,
                         .lift = a->lift,
                         .forgiven = a->forgiven};
  }
  mtR_send(S, to, &m);
  free(x->rows);
}

static void learnrow (mt_sched_t *G, mt_remote_t *d,
                      const mt_ws_row_t *from) {
  mt_account_t *a = mtS_account(G, from->ws);
  mt_ws_row_t *old = mtV_get(&d->rows, from->ws);
  if (old != NULL) sumremote(a, old, d->current, -1);
  sumremote(a, keeprow(&d->rows, from), d->current, 1);
  a->lift = mt_max(a->lift, from->lift);
  a->forgiven = mt_max(a->forgiven, from->forgiven);
}

void mtS_learn (mt_state_t *S, mt_sched_t *G, mt_id_t from,
                const mt_exchange_t *x) {
  G->vtime = mt_max(G->vtime, x->vtime);
  if (x->echo) {
    for (size_t i = 0; i < x->nrows; i++) {
      mt_account_t *a = mtS_account(G, x->rows[i].ws);
      a->echo = mt_max(a->echo, x->rows[i].served);
      a->lift = mt_max(a->lift, x->rows[i].lift);
      a->forgiven = mt_max(a->forgiven, x->rows[i].forgiven);
    }
    if (G->ready) mtS_restore(S, G);
    return;
  }
  if (x->domain == G->domain) return;
  mt_remote_t *d = findremote(G, x->domain);
  d->wantsfull |= d->boot != x->boot;
  d->boot = x->boot;
  d->heard = S->now;
  if (x->full) {
    setcurrent(G, d, false);
    mtV_each (&d->rows, i) droplanes(d->rows.vals[i]);
  }
  setcurrent(G, d, true);
  for (size_t i = 0; i < x->nrows; i++) learnrow(G, d, &x->rows[i]);
  if (x->fresh) giveback(S, G, from, d);
}

void mtS_restore (mt_state_t *S, mt_sched_t *G) {
  (void)S;
  for (size_t i = 0; i < G->naccounts; i++) {
    mt_account_t *a = G->list[i];
    if (a->echo > totalof(a)) a->retired += a->echo - totalof(a);
    a->echo = 0;
  }
}

/* Takes the waiting work out of a row; what runs stays. */
static void nowaiting (mt_ws_row_t *r) {
  mt_units_t pending = r->pending;
  droplanes(r);
  r->pending = pending;
}

void mtS_nothingthere (mt_sched_t *G, mt_id_t edge, mt_id_t domain,
                       mt_id_t ws) {
  mt_account_t *a = mtS_account(G, ws);
  if (edge != 0) {
    mt_ws_row_t *r = mtV_get(&findedge(G, edge)->rows, ws);
    if (r == NULL) return;
    sumlocal(a, r, -1);
    nowaiting(r);
    sumlocal(a, r, 1);
    return;
  }
  mt_remote_t *d = findremote(G, domain);
  mt_ws_row_t *r = mtV_get(&d->rows, ws);
  if (r == NULL) return;
  sumremote(a, r, d->current, -1);
  nowaiting(r);
  sumremote(a, r, d->current, 1);
}

void mtS_expire (mt_state_t *S, mt_sched_t *G) {
  for (size_t i = 0; i < G->nremotes; i++) {
    mt_remote_t *d = G->remotes[i];
    if (d->current && S->now - d->heard > MT_EXCHANGE_TTL_MS)
      setcurrent(G, d, false);
  }
}

/* One workspace of this domain as the other domains are told of it. */
static void summarise (const mt_sched_t *G, const mt_account_t *a,
                       mt_ws_row_t *out) {
  *out =
      (mt_ws_row_t){.ws = a->ws, .served = totalof(a), .pending = a->pending};
  out->lift = a->lift;
  out->forgiven = a->forgiven;
  size_t cap = 0;
  for (size_t i = 0; i < G->nedges; i++) {
    const mt_ws_row_t *r = mtV_get(&G->edges[i]->rows, a->ws);
    for (size_t j = 0; r != NULL && j < r->nbacklogs; j++) {
      size_t k = 0;
      while (k < out->nbacklogs && out->backlogs[k].set != r->backlogs[j].set)
        k++;
      if (k == out->nbacklogs) {
        *mtV_push(out->backlogs, out->nbacklogs, cap) = r->backlogs[j];
        continue;
      }
      out->backlogs[k].waiting += r->backlogs[j].waiting;
      if (out->backlogs[k].preferred == 0)
        out->backlogs[k].preferred = r->backlogs[j].preferred;
    }
  }
}

/* The domains that share this pool: those with targets of it or routers. */
static size_t sharedwith (mt_state_t *S, const mt_sched_t *G, mt_id_t *out) {
  size_t n = mtM_domains(S, out);
  for (size_t i = 0; i < S->fleet->ntargets && n < MT_MAX_DOMAINS; i++) {
    const mt_target_t *t = &S->fleet->targets[i];
    if (t->pool != G->pool) continue;
    size_t j = 0;
    while (j < n && out[j] != t->domainid) j++;
    if (j == n) out[n++] = t->domainid;
  }
  return n;
}

static bool worthtelling (const mt_account_t *a, bool full) {
  return a->dirty ||
         (full && (totalof(a) > 0 || a->waiting > 0 || a->lift > 0));
}

static void sendexchange (mt_state_t *S, mt_sched_t *G, mt_msg_t *m,
                          mt_id_t domain) {
  mt_id_t to = mtM_ranked(S, domain, MT_ROLE_POOL(G->pool), 0);
  if (to == 0 || domain == G->domain) return;
  m->u.exchange.todomain = domain;
  mtR_send(S, to, m);
}

/* Spaces the exchanges so that they stay within their bytes per second. */
static void pace (mt_sched_t *G, uint64_t bytes) {
  mt_ms_t due = bytes * 1000 / MT_EXCHANGE_BYTES;
  G->interval = mt_min(mt_max(due, MT_EXCHANGE_MIN_MS), MT_EXCHANGE_MAX_MS);
}

void mtS_tell (mt_state_t *S, mt_sched_t *G, bool full) {
  mt_msg_t m = {.kind = MT_M_EXCHANGE};
  mt_exchange_t *x = &m.u.exchange;
  for (size_t i = 0; i < G->nremotes; i++) {
    full |= G->remotes[i]->wantsfull;
    G->remotes[i]->wantsfull = false;
  }
  *x = (mt_exchange_t){
      .domain = G->domain, .pool = G->pool, .fresh = G->fresh, .full = full};
  x->boot = S->members.self->node.boot;
  x->vtime = G->vtime;
  bool alive = false;
  for (size_t i = 0; i < G->naccounts; i++) {
    mt_account_t *a = G->list[i];
    alive |= a->waiting > 0 || a->pending > 0;
    if (!worthtelling(a, full)) continue;
    summarise(G, a, mtV_push(x->rows, x->nrows, x->rows_cap));
    a->told = a->waiting;
    a->dirty = false;
  }
  G->urgent = false;
  uint64_t before = S->counts.sentbytes[MT_M_EXCHANGE];
  bool keepalive = alive && S->now - G->lasttold >= MT_EXCHANGE_TTL_MS / 3;
  if (x->nrows > 0 || G->fresh || keepalive) {
    mt_id_t domains[MT_MAX_DOMAINS];
    size_t n = sharedwith(S, G, domains);
    for (size_t i = 0; i < n; i++) sendexchange(S, G, &m, domains[i]);
    G->lasttold = S->now;
    G->fresh = false;
  }
  pace(G, S->counts.sentbytes[MT_M_EXCHANGE] - before);
  for (size_t i = 0; i < x->nrows; i++) free(x->rows[i].backlogs);
  free(x->rows);
}

void mtS_urgent (mt_state_t *S, mt_sched_t *G) {
  (void)S;
  for (size_t i = 0; i < G->naccounts; i++) {
    const mt_account_t *a = G->list[i];
    int32_t left = a->waiting;
    for (size_t j = 0; j < G->nunseen; j++)
      left -= G->unseen[j].ws == a->ws && G->unseen[j].edge != 0;
    if (left > 0 && left >= 2 * a->told) G->urgent = true;
  }
}

void mtS_close (mt_sched_t *G) {
  for (size_t i = 0; i < G->naccounts; i++) free(G->list[i]);
  free(G->list);
  mtV_free(&G->accounts);
  for (size_t i = 0; i < G->nedges; i++) {
    freemap(&G->edges[i]->rows);
    mtV_free(&G->edges[i]->running);
    free(G->edges[i]);
  }
  free(G->edges);
  for (size_t i = 0; i < G->nremotes; i++) {
    freemap(&G->remotes[i]->rows);
    free(G->remotes[i]);
  }
  free(G->remotes);
  free(G->unseen);
  mtV_free(&G->held);
}

/* }== */
