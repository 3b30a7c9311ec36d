/*
** mtledger.c - service accounts of one scheduler: reports, exchanges, tags
*/
#include <stdlib.h>
#include <string.h>

#include "mtledger.h"
#include "mtmember.h"
#include "mtsched.h"

#define DEBT_LIMIT ((mt_units_t)MT_DEBT_TOKENS_MAX * MT_UNIT_SCALE)

/* {== Accounts ========================================================= */

mt_units_t mtG_tag (const mt_account_t *a) {
  mt_units_t served = a->retired + a->served + a->remote_served;
  return served + a->pending + a->unacked + a->remote_pending + a->lift -
         a->forgiven;
}

mt_account_t *mtS_account (mt_sched_t *G, mt_id_t ws) {
  mt_account_t *a = mtV_get(&G->accounts, ws);
  if (a != NULL) return a;
  a = mtV_new(sizeof *a);
  a->ws = ws;
  a->cost = (mt_units_t)MT_COST_DEFAULT * MT_UNIT_SCALE;
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
static mt_ws_row_t *store_row (mt_map_t *rows, const mt_ws_row_t *from) {
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

/* Clears a row's backlogs and its estimate for running requests. */
static void clear_demand (mt_ws_row_t *r) {
  for (size_t i = 0; i < r->nbacklogs; i++) free(r->backlogs[i].targets);
  free(r->backlogs);
  r->backlogs = NULL;
  r->nbacklogs = 0;
  r->pending = 0;
}

static void free_rows (mt_map_t *rows) {
  mtV_each (rows, i) {
    clear_demand(rows->vals[i]);
    free(rows->vals[i]);
  }
  mtV_free(rows);
}

/* Adds a row to its account's sums, or subtracts it (sign -1). */
static void sumlocal (mt_account_t *a, const mt_ws_row_t *r, int sign) {
  a->served += sign * r->served;
  a->pending += sign * r->pending;
  a->waiting += sign * waitingof(r);
}

static void sumremote (mt_account_t *a, const mt_ws_row_t *r, bool current,
                       int sign) {
  a->remote_served += sign * r->served;
  if (!current) return;
  a->remote_pending += sign * r->pending;
  a->remote_waiting += sign * waitingof(r);
}

/* }== */

/* {== Reports ========================================================== */

static mt_edgeview_t *get_edge (mt_sched_t *G, mt_id_t node) {
  for (size_t i = 0; i < G->nedges; i++)
    if (G->edges[i]->node == node) return G->edges[i];
  mt_edgeview_t *e = mtV_new(sizeof *e);
  e->node = node;
  *mtV_push(G->edges, G->nedges, G->edges_cap) = e;
  return e;
}

/* Clears the waiting and running requests of a row; its service stays. */
static void clear_row (mt_sched_t *G, mt_ws_row_t *r) {
  mt_account_t *a = mtS_account(G, r->ws);
  if (r->nbacklogs == 0 && r->pending == 0) return;
  sumlocal(a, r, -1);
  clear_demand(r);
  sumlocal(a, r, 1);
  a->dirty = true;
}

static void clear_edge (mt_sched_t *G, mt_edgeview_t *e) {
  mtV_each (&e->rows, i) clear_row(G, e->rows.vals[i]);
  mtV_free(&e->running);
}

/* The router's process was replaced: its service goes to `retired`. */
static void retire (mt_sched_t *G, mt_edgeview_t *e) {
  clear_edge(G, e);
  mtV_each (&e->rows, i) {
    mt_ws_row_t *r = e->rows.vals[i];
    mt_account_t *a = mtS_account(G, r->ws);
    sumlocal(a, r, -1);
    a->retired += r->served;
  }
  free_rows(&e->rows);
}

static void update_row (mt_sched_t *G, mt_edgeview_t *e,
                        const mt_ws_row_t *from) {
  mt_account_t *a = mtS_account(G, from->ws);
  mt_ws_row_t *old = mtV_get(&e->rows, from->ws);
  mt_account_t before = *a;
  if (old != NULL) sumlocal(a, old, -1);
  mt_ws_row_t *r = store_row(&e->rows, from);
  r->report_no = e->reports;
  sumlocal(a, r, 1);
  if (from->cost > 0) a->cost = from->cost;
  bool same = before.served == a->served && before.pending == a->pending &&
              before.waiting == a->waiting;
  a->dirty |= !same;
}

/* Clears the rows that the last, full report did not contain. */
static void clear_unreported (mt_sched_t *G, mt_edgeview_t *e) {
  mtV_each (&e->rows, i) {
    mt_ws_row_t *r = e->rows.vals[i];
    if (r->report_no != e->reports) clear_row(G, r);
  }
}

void mtS_report (mt_state_t *S, mt_sched_t *G, mt_id_t from,
                 const mt_demand_t *d, uint64_t clock) {
  bool has_data = d->full || d->nrows > 0 || d->nrunning > 0;
  if (!has_data) return;
  mt_edgeview_t *e = get_edge(G, from);
  if (e->boot != 0 && d->boot < e->boot) return;
  if (e->boot == d->boot && clock < e->clock) return;
  if (e->boot != d->boot) retire(G, e);
  e->boot = d->boot;
  e->clock = clock;
  e->last_received = S->now;
  e->dead = false;
  e->reports++;
  if (d->full) mtV_free(&e->running);
  for (size_t i = 0; i < d->nrows; i++) update_row(G, e, &d->rows[i]);
  for (size_t i = 0; i < d->nrunning; i++) {
    mt_id_t t = d->running[i].target;
    if (t == 0) continue;
    if (d->running[i].count > 0)
      mtV_put(&e->running, t, (void *)(intptr_t)d->running[i].count);
    else
      mtV_del(&e->running, t);
  }
  if (d->full) clear_unreported(G, e);
}

void mtS_mark_dead (mt_state_t *S, mt_sched_t *G) {
  for (size_t i = 0; i < G->nedges; i++) {
    mt_edgeview_t *e = G->edges[i];
    const mt_member_t *m = mtM_get(S, e->node);
    bool gone = m == NULL || m->node.state >= MT_LEFT;
    if (!gone || e->dead) continue;
    clear_edge(G, e);
    e->dead = true;
    G->dirty = true;
  }
}

/* }== */

/* {== Tags ============================================================= */

/* The least tag of the workspaces with waiting requests; false: none has. */
static bool min_tag (const mt_sched_t *G, mt_units_t *least) {
  bool any = false;
  for (size_t i = 0; i < G->naccounts; i++) {
    const mt_account_t *a = G->list[i];
    if (!a->active || a->waiting + a->remote_waiting <= 0) continue;
    mt_units_t tag = mtG_tag(a);
    if (!any || tag < *least) *least = tag;
    any = true;
  }
  return any;
}

/* Lifts a workspace that was idle to the virtual time. Only the domain where
   its requests arrive does so; the others receive the lift in an exchange. */
static void lift_idle (mt_state_t *S, mt_sched_t *G, mt_account_t *a) {
  bool waits = a->waiting + a->remote_waiting > 0;
  if (waits && !a->active && a->waiting > 0 && a->remote_waiting <= 0) {
    mt_units_t behind = G->vtime - mtG_tag(a);
    if (behind > 0) {
      a->lift += behind;
      a->dirty = true;
      mtR_count(S, MT_C_IDLE_LIFTS);
    }
  }
  a->active = waits;
}

/* Forgives the debt beyond DEBT_LIMIT over the virtual time. */
static void forgive (mt_state_t *S, mt_sched_t *G, mt_account_t *a) {
  mt_units_t ahead = mtG_tag(a) - G->vtime - DEBT_LIMIT;
  if (!a->active || ahead <= 0) return;
  a->forgiven += ahead;
  a->dirty = true;
  mtR_count(S, MT_C_DEBT_FORGIVEN);
}

void mtS_update_tags (mt_state_t *S, mt_sched_t *G) {
  mt_units_t least = 0;
  if (min_tag(G, &least)) G->vtime = mt_max(G->vtime, least);
  for (size_t i = 0; i < G->naccounts; i++) lift_idle(S, G, G->list[i]);
  for (size_t i = 0; i < G->naccounts; i++) forgive(S, G, G->list[i]);
}

/* }== */

/* {== Exchange ========================================================= */

static mt_remote_t *get_remote (mt_sched_t *G, mt_id_t domain) {
  for (size_t i = 0; i < G->nremotes; i++)
    if (G->remotes[i]->domain == domain) return G->remotes[i];
  mt_remote_t *r = mtV_new(sizeof *r);
  r->domain = domain;
  r->needs_full = true;
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

/* Sends a scheduler that has just started its own domain's totals, as last
   received from there. */
static void send_echo (mt_state_t *S, mt_sched_t *G, mt_id_t to,
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

static void merge_row (mt_sched_t *G, mt_remote_t *d,
                       const mt_ws_row_t *from) {
  mt_account_t *a = mtS_account(G, from->ws);
  mt_ws_row_t *old = mtV_get(&d->rows, from->ws);
  if (old != NULL) sumremote(a, old, d->current, -1);
  sumremote(a, store_row(&d->rows, from), d->current, 1);
  a->lift = mt_max(a->lift, from->lift);
  a->forgiven = mt_max(a->forgiven, from->forgiven);
}

void mtS_merge (mt_state_t *S, mt_sched_t *G, mt_id_t from,
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
  mt_remote_t *d = get_remote(G, x->domain);
  d->needs_full |= d->boot != x->boot;
  d->boot = x->boot;
  d->last_received = S->now;
  if (x->full) {
    setcurrent(G, d, false);
    mtV_each (&d->rows, i) clear_demand(d->rows.vals[i]);
  }
  setcurrent(G, d, true);
  for (size_t i = 0; i < x->nrows; i++) merge_row(G, d, &x->rows[i]);
  if (x->fresh) send_echo(S, G, from, d);
}

void mtS_restore (mt_state_t *S, mt_sched_t *G) {
  (void)S;
  for (size_t i = 0; i < G->naccounts; i++) {
    mt_account_t *a = G->list[i];
    if (a->echo > totalof(a)) a->retired += a->echo - totalof(a);
    a->echo = 0;
  }
}

/* Clears a row's waiting requests; the estimate of running ones stays. */
static void clear_waiting (mt_ws_row_t *r) {
  mt_units_t pending = r->pending;
  clear_demand(r);
  r->pending = pending;
}

void mtS_clear_waiting (mt_sched_t *G, mt_id_t edge, mt_id_t domain,
                        mt_id_t ws) {
  mt_account_t *a = mtS_account(G, ws);
  if (edge != 0) {
    mt_ws_row_t *r = mtV_get(&get_edge(G, edge)->rows, ws);
    if (r == NULL) return;
    sumlocal(a, r, -1);
    clear_waiting(r);
    sumlocal(a, r, 1);
    return;
  }
  mt_remote_t *d = get_remote(G, domain);
  mt_ws_row_t *r = mtV_get(&d->rows, ws);
  if (r == NULL) return;
  sumremote(a, r, d->current, -1);
  clear_waiting(r);
  sumremote(a, r, d->current, 1);
}

void mtS_expire (mt_state_t *S, mt_sched_t *G) {
  for (size_t i = 0; i < G->nremotes; i++) {
    mt_remote_t *d = G->remotes[i];
    if (d->current && S->now - d->last_received > MT_EXCHANGE_TTL_MS)
      setcurrent(G, d, false);
  }
}

/* Fills in the row of a workspace that goes to the other domains. */
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

/* The domains to exchange with: those with routers or targets of the pool. */
static size_t sharing_domains (mt_state_t *S, const mt_sched_t *G,
                               mt_id_t *out) {
  size_t n = mtM_domains(S, out);
  for (size_t i = 0; i < S->fleet->ntargets && n < MT_DOMAINS_MAX; i++) {
    const mt_target_t *t = &S->fleet->targets[i];
    if (t->pool != G->pool) continue;
    size_t j = 0;
    while (j < n && out[j] != t->domainid) j++;
    if (j == n) out[n++] = t->domainid;
  }
  return n;
}

static bool needs_sending (const mt_account_t *a, bool full) {
  return a->dirty ||
         (full && (totalof(a) > 0 || a->waiting > 0 || a->lift > 0));
}

static void send_to_domain (mt_state_t *S, mt_sched_t *G, mt_msg_t *m,
                            mt_id_t domain) {
  mt_id_t to = mtM_ranked(S, domain, MT_ROLE_POOL(G->pool), 0);
  if (to == 0 || domain == G->domain) return;
  m->u.exchange.todomain = domain;
  mtR_send(S, to, m);
}

/* Sets the interval of exchanges so that they stay within
   MT_EXCHANGE_BYTES_PER_S. */
static void set_interval (mt_sched_t *G, uint64_t bytes) {
  mt_ms_t due = bytes * 1000 / MT_EXCHANGE_BYTES_PER_S;
  G->interval = mt_min(mt_max(due, MT_EXCHANGE_MIN_MS), MT_EXCHANGE_MAX_MS);
}

void mtS_send_exchange (mt_state_t *S, mt_sched_t *G, bool full) {
  mt_msg_t m = {.kind = MT_M_EXCHANGE};
  mt_exchange_t *x = &m.u.exchange;
  for (size_t i = 0; i < G->nremotes; i++) {
    full |= G->remotes[i]->needs_full;
    G->remotes[i]->needs_full = false;
  }
  *x = (mt_exchange_t){
      .domain = G->domain, .pool = G->pool, .fresh = G->fresh, .full = full};
  x->boot = S->members.self->node.boot;
  x->vtime = G->vtime;
  bool busy = false;
  for (size_t i = 0; i < G->naccounts; i++) {
    mt_account_t *a = G->list[i];
    busy |= a->waiting > 0 || a->pending > 0;
    if (!needs_sending(a, full)) continue;
    summarise(G, a, mtV_push(x->rows, x->nrows, x->rows_cap));
    a->reported = a->waiting;
    a->dirty = false;
  }
  G->urgent = false;
  uint64_t before = S->counts.sentbytes[MT_M_EXCHANGE];
  bool keepalive =
      busy && S->now - G->last_exchange >= MT_EXCHANGE_TTL_MS / 3;
  if (x->nrows > 0 || G->fresh || keepalive) {
    mt_id_t domains[MT_DOMAINS_MAX];
    size_t n = sharing_domains(S, G, domains);
    for (size_t i = 0; i < n; i++) send_to_domain(S, G, &m, domains[i]);
    G->last_exchange = S->now;
    G->fresh = false;
  }
  set_interval(G, S->counts.sentbytes[MT_M_EXCHANGE] - before);
  for (size_t i = 0; i < x->nrows; i++) free(x->rows[i].backlogs);
  free(x->rows);
}

void mtS_check_urgent (mt_state_t *S, mt_sched_t *G) {
  (void)S;
  for (size_t i = 0; i < G->naccounts; i++) {
    const mt_account_t *a = G->list[i];
    int32_t left = a->waiting;
    for (size_t j = 0; j < G->nunacked; j++)
      left -= G->unacked[j].ws == a->ws && G->unacked[j].edge != 0;
    if (left > 0 && left >= 2 * a->reported) G->urgent = true;
  }
}

void mtS_close (mt_sched_t *G) {
  for (size_t i = 0; i < G->naccounts; i++) free(G->list[i]);
  free(G->list);
  mtV_free(&G->accounts);
  for (size_t i = 0; i < G->nedges; i++) {
    free_rows(&G->edges[i]->rows);
    mtV_free(&G->edges[i]->running);
    free(G->edges[i]);
  }
  free(G->edges);
  for (size_t i = 0; i < G->nremotes; i++) {
    free_rows(&G->remotes[i]->rows);
    free(G->remotes[i]);
  }
  free(G->remotes);
  free(G->unacked);
  mtV_free(&G->in_backoff);
}

/* }== */
