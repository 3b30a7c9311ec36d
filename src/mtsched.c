/*
** mtsched.c - schedulers: which workspace gets the next slot of a target
*/
#include <stdlib.h>
#include <string.h>

#include "mtmember.h"
#include "mtledger.h"
#include "mtsched.h"

#define TAKEOVER_WAIT_MS 600   /* longest wait for routers' reports */
#define FULL_EXCHANGE_MS 10000 /* interval of full exchanges */
#define URGENT_GAP_MS 10       /* shortest gap before an urgent exchange */
/* Every 4th grant of a workspace tries remote domains before the routers of
   this domain, the others after them. */
#define REMOTE_FIRST_EVERY 4

/* {== Roles ============================================================ */

mt_sched_t *mtG_get (mt_state_t *S, mt_id_t domain, mt_id_t pool) {
  return mtV_get(&S->scheds, mtR_key(domain, pool));
}

static mt_sched_t *get_or_create (mt_state_t *S, mt_id_t domain,
                                  mt_id_t pool) {
  mt_sched_t *G = mtG_get(S, domain, pool);
  if (G != NULL) return G;
  G = mtV_new(sizeof *G);
  G->domain = domain;
  G->pool = pool;
  G->since = S->now;
  G->fresh = true;
  mtV_put(&S->scheds, mtR_key(domain, pool), G);
  return G;
}

static bool shouldlead (mt_state_t *S, mt_id_t domain, mt_id_t pool) {
  if (mtR_standalone(S)) return true;
  return mtM_ranked(S, domain, MT_ROLE_POOL(pool), 0) == S->members.self->id;
}

static void setrole (mt_state_t *S, mt_id_t domain, mt_id_t pool) {
  bool lead = shouldlead(S, domain, pool);
  mt_sched_t *G =
      lead ? get_or_create(S, domain, pool) : mtG_get(S, domain, pool);
  if (G == NULL || G->primary == lead) return;
  G->primary = lead;
  G->since = S->now;
  G->ready = false;
  G->dirty = true;
  G->nextfull = S->now;
  G->nunacked = 0;
  for (size_t i = 0; i < G->naccounts; i++) G->list[i]->unacked = 0;
  if (lead) mtR_count(S, MT_C_TAKEOVERS);
}

void mtG_roles (mt_state_t *S) {
  if (S->fleet == NULL) return;
  mt_id_t domain = S->members.self->domain;
  for (size_t i = 0; i < S->fleet->npools; i++)
    setrole(S, domain, S->fleet->pools[i].id);
  for (size_t i = 0; i < S->fleet->ntargets; i++) {
    const mt_target_t *t = &S->fleet->targets[i];
    setrole(S, t->domainid, t->pool);
  }
  mtV_each (&S->scheds, i) mtS_mark_dead(S, S->scheds.vals[i]);
}

/* }== */

/* {== Free slots ======================================================= */

/* Free slots of a target by the reports and the unacknowledged grants;
   negative when it is overcommitted. */
static int free_slots (mt_state_t *S, const mt_sched_t *G,
                       const mt_target_t *t) {
  int used = 0;
  for (size_t i = 0; i < G->nedges; i++)
    if (!G->edges[i]->dead)
      used += (int)(intptr_t)mtV_get(&G->edges[i]->running, t->id);
  for (size_t i = 0; i < G->nunacked; i++)
    used += G->unacked[i].target == t->id;
  return t->slots - used;
}

static bool in_backoff (const mt_state_t *S, const mt_sched_t *G,
                        mt_id_t target) {
  return (mt_ms_t)(uintptr_t)mtV_get(&G->in_backoff, target) > S->now;
}

typedef struct mt_freetarget_t {
  const mt_target_t *t;
  int free_slots;
} mt_freetarget_t;

/* Collects this scheduler's targets that have free slots. */
static size_t findfree (mt_state_t *S, mt_sched_t *G, mt_freetarget_t *out) {
  size_t n = 0;
  for (size_t i = 0; i < S->fleet->ntargets && n < MT_POOL_TARGETS_MAX; i++) {
    const mt_target_t *t = &S->fleet->targets[i];
    if (t->pool != G->pool || t->drain) continue;
    if (t->domainid != G->domain && !mtR_standalone(S)) continue;
    if (in_backoff(S, G, t->id)) continue;
    int r = free_slots(S, G, t);
    if (r < 0) mtA_add(&S->counts, MT_C_OVERCOMMIT, -r);
    if (r > 0) out[n++] = (mt_freetarget_t){t, r};
  }
  return n;
}

static bool backlog_may_use (const mt_backlog_t *l, mt_id_t target) {
  if (l->set == 0) return true;
  for (size_t i = 0; i < l->ntargets; i++)
    if (l->targets[i] == target) return true;
  return false;
}

/* The fraction of a target's slots that is free, times 1000 and its speed. */
static int64_t score (const mt_freetarget_t *f) {
  return (int64_t)f->free_slots * 1000 / f->t->slots * f->t->speed;
}

/* The free target for a backlog: the preferred one, else that of highest
   score. */
static const mt_freetarget_t *choose (const mt_backlog_t *l,
                                      const mt_freetarget_t *free, size_t n) {
  const mt_freetarget_t *best = NULL;
  for (size_t i = 0; i < n; i++) {
    if (free[i].free_slots <= 0 || !backlog_may_use(l, free[i].t->id))
      continue;
    if (free[i].t->id == l->preferred) return &free[i];
    if (best == NULL || score(&free[i]) > score(best)) best = &free[i];
  }
  return best;
}

/* }== */

/* {== Picking ========================================================== */

/* One possible grant. */
typedef struct mt_pick_t {
  mt_account_t *account;
  mt_edgeview_t *edge; /* a router of this domain, or NULL */
  mt_remote_t *remote; /* another domain, or NULL */
  const mt_freetarget_t *target;
} mt_pick_t;

/* Unacknowledged grants of a workspace to a router or a domain. */
static int32_t unacked_to (const mt_sched_t *G, mt_id_t ws, mt_id_t edge,
                           mt_id_t domain) {
  int32_t n = 0;
  for (size_t i = 0; i < G->nunacked; i++) {
    const mt_unacked_t *u = &G->unacked[i];
    n += u->ws == ws && u->edge == edge && u->todomain == domain;
  }
  return n;
}

/* Finds a free target for a backlog of a row. The first `unacked` requests
   are skipped: they have been granted already. */
static const mt_freetarget_t *match_row (const mt_ws_row_t *r,
                                         int32_t unacked,
                                         const mt_freetarget_t *free,
                                         size_t n) {
  if (r == NULL) return NULL;
  for (size_t i = 0; i < r->nbacklogs; i++) {
    const mt_backlog_t *l = &r->backlogs[i];
    if (l->waiting <= unacked) {
      unacked -= l->waiting;
      continue;
    }
    const mt_freetarget_t *f = choose(l, free, n);
    if (f != NULL) return f;
  }
  return NULL;
}

static bool match_local (mt_sched_t *G, mt_account_t *a,
                         const mt_freetarget_t *free, size_t n,
                         mt_pick_t *p) {
  for (size_t k = 0; k < G->nedges; k++) {
    mt_edgeview_t *e = G->edges[(a->turn + k) % G->nedges];
    if (e->dead) continue;
    const mt_ws_row_t *r = mtV_get(&e->rows, a->ws);
    if (r == NULL || r->nbacklogs == 0) continue;
    const mt_freetarget_t *f =
        match_row(r, unacked_to(G, a->ws, e->node, 0), free, n);
    if (f == NULL) continue;
    *p = (mt_pick_t){a, e, NULL, f};
    return true;
  }
  return false;
}

static bool match_remote (mt_sched_t *G, mt_account_t *a,
                          const mt_freetarget_t *free, size_t n,
                          mt_pick_t *p) {
  for (size_t k = 0; k < G->nremotes; k++) {
    mt_remote_t *d = G->remotes[(a->turn + k) % G->nremotes];
    if (!d->current) continue;
    const mt_ws_row_t *r = mtV_get(&d->rows, a->ws);
    if (r == NULL || r->nbacklogs == 0) continue;
    const mt_freetarget_t *f =
        match_row(r, unacked_to(G, a->ws, 0, d->domain), free, n);
    if (f == NULL) continue;
    *p = (mt_pick_t){a, NULL, d, f};
    return true;
  }
  return false;
}

static bool match (mt_sched_t *G, mt_account_t *a,
                   const mt_freetarget_t *free, size_t n, mt_pick_t *p) {
  bool remote_first = a->turn % REMOTE_FIRST_EVERY == REMOTE_FIRST_EVERY - 1;
  if (remote_first && match_remote(G, a, free, n, p)) return true;
  if (match_local(G, a, free, n, p)) return true;
  return !remote_first && match_remote(G, a, free, n, p);
}

/* Picks the waiting workspace of least tag that a free target can serve. */
static bool pick (mt_sched_t *G, const mt_freetarget_t *free, size_t n,
                  mt_pick_t *best) {
  bool found = false;
  for (size_t i = 0; i < G->naccounts; i++) {
    mt_account_t *a = G->list[i];
    if (a->waiting + a->remote_waiting <= 0) continue;
    if (found && mtG_tag(a) >= mtG_tag(best->account)) continue;
    mt_pick_t p;
    if (!match(G, a, free, n, &p)) continue;
    *best = p;
    found = true;
  }
  return found;
}

/* }== */

/* {== Granting ========================================================= */

/* Sends a grant to a router, or an offer to the scheduler of a domain. */
static void issue (mt_state_t *S, mt_sched_t *G, const mt_pick_t *p) {
  mt_msg_t m = {.kind = p->edge ? MT_M_GRANT : MT_M_OFFER};
  mt_grant_t *g = &m.u.grant;
  g->domain = G->domain;
  g->pool = G->pool;
  g->todomain = p->remote ? p->remote->domain : G->domain;
  g->issuer = S->members.self->id;
  g->target = p->target->t->id;
  g->ws = p->account->ws;
  g->id = mtV_mix(S->members.self->node.boot, ++S->grantno);
  g->echo = p->edge ? p->edge->clock : 0;
  mt_unacked_t *u = mtV_push(G->unacked, G->nunacked, G->unacked_cap);
  *u =
      (mt_unacked_t){g->id, g->target, g->ws, 0, 0, p->account->cost, S->now};
  if (p->edge) u->edge = p->edge->node;
  if (p->remote) u->todomain = p->remote->domain;
  p->account->unacked += u->est;
  p->account->turn++;
  mtR_count(S, p->edge ? MT_C_GRANTS : MT_C_OFFERS);
  mt_id_t to =
      p->edge ? p->edge->node
              : mtM_ranked(S, p->remote->domain, MT_ROLE_POOL(G->pool), 0);
  if (to != 0) mtR_send(S, to, &m);
}

/* True once every live router of the domain has reported, or TAKEOVER_WAIT_MS
   after a takeover: until then slots that are in use would look free. */
static bool has_reports (mt_state_t *S, mt_sched_t *G) {
  if (G->ready || mtR_standalone(S)) return true;
  if (S->now < S->members.paused_until) return false;
  if (S->now - G->since >= TAKEOVER_WAIT_MS) return true;
  mtV_each (&S->members.byid, i) {
    const mt_member_t *m = S->members.byid.vals[i];
    if (m->domain != G->domain || !mtM_usable(m)) continue;
    bool reported = false;
    for (size_t j = 0; j < G->nedges; j++)
      reported |= G->edges[j]->node == m->id && !G->edges[j]->dead;
    if (!reported) return false;
  }
  return true;
}

static void run_scheduler (mt_state_t *S, mt_sched_t *G) {
  G->dirty = false;
  if (!G->primary || S->now < S->members.paused_until) return;
  if (!has_reports(S, G)) {
    G->dirty = true;
    return;
  }
  if (!G->ready) {
    G->ready = true;
    mtS_restore(S, G);
  }
  mtS_update_tags(S, G);
  mt_freetarget_t free[MT_POOL_TARGETS_MAX];
  size_t n = findfree(S, G, free);
  mt_pick_t p;
  while (n > 0 && pick(G, free, n, &p)) {
    issue(S, G, &p);
    free[p.target - free].free_slots--;
    mtS_update_tags(S, G);
  }
  mtS_check_urgent(S, G);
}

void mtG_run (mt_state_t *S) {
  if (S->fleet == NULL) return;
  mtV_each (&S->scheds, i) {
    mt_sched_t *G = S->scheds.vals[i];
    if (G->dirty) run_scheduler(S, G);
    if (G->urgent && G->primary &&
        S->now - G->last_exchange >= URGENT_GAP_MS + G->interval / 8)
      mtS_send_exchange(S, G, false);
  }
}

/* }== */

/* {== Messages ========================================================= */

static void remove_unacked (mt_sched_t *G, size_t i) {
  mt_unacked_t *u = &G->unacked[i];
  mt_account_t *a = mtV_get(&G->accounts, u->ws);
  if (a != NULL) a->unacked -= u->est;
  G->unacked[i] = G->unacked[--G->nunacked];
}

static void handle_grant_result (mt_state_t *S, mt_sched_t *G,
                                 const mt_grant_result_t *t) {
  for (size_t i = 0; i < G->nunacked; i++) {
    if (G->unacked[i].id != t->grant) continue;
    if (!t->used) mtR_count(S, MT_C_GRANTS_UNUSED);
    if (t->used == MT_GRANT_UNREACHABLE && G->unacked[i].target != 0)
      mtV_put(&G->in_backoff, G->unacked[i].target,
              (void *)(uintptr_t)(S->now + MT_TARGET_BACKOFF_MS));
    if (t->used == MT_GRANT_UNUSED)
      mtS_clear_waiting(G, G->unacked[i].edge, G->unacked[i].todomain,
                        G->unacked[i].ws);
    remove_unacked(G, i);
    return;
  }
}

void mtG_demand (mt_state_t *S, mt_id_t from, const mt_demand_t *d,
                 uint64_t clock) {
  mt_sched_t *G = get_or_create(S, d->domain, d->pool);
  mtS_report(S, G, from, d, clock);
  for (size_t i = 0; i < d->nresults; i++)
    handle_grant_result(S, G, &d->results[i]);
  G->dirty = true;
}

/* Passes a slot that another domain offers on to a router of this domain: for
   the workspace of the offer, else for the waiting one of least tag. Declines
   it when nothing here can use it. */
void mtG_offer (mt_state_t *S, mt_id_t from, const mt_grant_t *g) {
  mt_sched_t *G = mtG_get(S, g->todomain, g->pool);
  const mt_target_t *t = S->fleet ? mtF_target(S->fleet, g->target) : NULL;
  mt_freetarget_t free = {t, 1};
  mt_pick_t p;
  mt_account_t *a = G ? mtV_get(&G->accounts, g->ws) : NULL;
  bool found =
      a != NULL && t != NULL && G->primary && match_local(G, a, &free, 1, &p);
  if (!found && G != NULL && t != NULL && G->primary) {
    for (size_t i = 0; i < G->naccounts; i++) {
      mt_pick_t q;
      if (G->list[i]->waiting <= 0 ||
          !match_local(G, G->list[i], &free, 1, &q))
        continue;
      if (!found || mtG_tag(q.account) < mtG_tag(p.account)) p = q;
      found = true;
    }
  }
  mt_msg_t m = {.kind = MT_M_DEMAND};
  mt_grant_result_t none = {g->id, 0};
  if (!found) {
    m.u.demand = (mt_demand_t){.domain = g->domain,
                               .pool = g->pool,
                               .boot = S->members.self->node.boot};
    m.u.demand.results = &none;
    m.u.demand.nresults = 1;
    mtR_send(S, from, &m);
    return;
  }
  m.kind = MT_M_GRANT;
  m.u.grant = *g;
  m.u.grant.ws = p.account->ws;
  m.u.grant.echo = p.edge->clock;
  mt_unacked_t *u = mtV_push(G->unacked, G->nunacked, G->unacked_cap);
  *u = (mt_unacked_t){g->id,           0,     p.account->ws, p.edge->node, 0,
                      p.account->cost, S->now};
  p.account->unacked += u->est;
  p.account->turn++;
  mtR_send(S, p.edge->node, &m);
}

void mtG_exchange (mt_state_t *S, mt_id_t from, const mt_exchange_t *x) {
  mt_sched_t *G = get_or_create(S, x->todomain, x->pool);
  mtS_merge(S, G, from, x);
  G->dirty = true;
}

/* }== */

/* {== Timer ============================================================ */

static void expire (mt_state_t *S, mt_sched_t *G) {
  for (size_t i = G->nunacked; i-- > 0;) {
    if (S->now - G->unacked[i].sent < MT_GRANT_TIMEOUT_MS) continue;
    mtR_count(S, MT_C_GRANTS_EXPIRED);
    remove_unacked(G, i);
    G->dirty = true;
  }
}

void mtG_tick (mt_state_t *S) {
  mtV_each (&S->scheds, i) {
    mt_sched_t *G = S->scheds.vals[i];
    expire(S, G);
    mtS_expire(S, G);
    if (G->primary) G->dirty = true;
    if (!G->primary || mtR_standalone(S) || S->now < G->nextexchange)
      continue;
    bool full = S->now >= G->nextfull;
    if (full) G->nextfull = S->now + FULL_EXCHANGE_MS;
    mtS_send_exchange(S, G, full);
    G->nextexchange = S->now + G->interval;
  }
}

void mtG_close (mt_state_t *S) {
  mtV_each (&S->scheds, i) {
    mtS_close(S->scheds.vals[i]);
    free(S->scheds.vals[i]);
  }
  mtV_free(&S->scheds);
}

/* }== */
