/*
** mtmember.c - membership of routers: heartbeats, incarnations, roles
*/
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mtmember.h"

#define HEARTBEAT_PER_MEMBER_MS 40 /* longer intervals in large domains */
#define CROSS_HEARTBEAT_MS 1000    /* interval between domains */
#define RECENT_MS 8000             /* age of the changes in a partial view */
#define VIEW_GAP_MS 5000     /* shortest gap of full views to one router */
#define VIEW_MISMATCHES 3    /* mismatches before a full view is sent */
#define DOMAIN_DEAD_MS 10000 /* silence after which a domain is dead */

/* {== Entries ========================================================== */

/* An entry's addend in the view digest; 0 for one that is not live. */
static uint64_t entrydigest (const mt_member_t *m) {
  if (m->node.state == MT_DEAD || m->node.state == MT_LEFT) return 0;
  return mtV_mix(mtV_mix(m->id, m->node.inc), m->node.state);
}

/* Updates the digest; `before` is the entry's addend before its change. */
static void changed (mt_state_t *S, mt_member_t *m, uint64_t before) {
  S->members.digest += entrydigest(m) - before;
  S->members.epoch++;
  m->changed = S->now;
}

static mt_member_t *add_member (mt_state_t *S, const mt_node_t *n) {
  mt_member_t *m = mtV_new(sizeof *m);
  m->node = *n;
  m->id = mtV_id(n->name, strlen(n->name));
  m->domain = mtV_id(n->domain, strlen(n->domain));
  mtV_put(&S->members.byid, m->id, m);
  changed(S, m, 0);
  return m;
}

mt_member_t *mtM_get (mt_state_t *S, mt_id_t id) {
  return mtV_get(&S->members.byid, id);
}

bool mtM_usable (const mt_member_t *m) {
  return m->node.state == MT_ALIVE && !m->suspect;
}

static void mark_dead (mt_state_t *S, mt_member_t *m) {
  uint64_t before = entrydigest(m);
  m->node.state = MT_DEAD;
  m->suspect = false;
  changed(S, m, before);
  mtR_count(S, MT_C_DEATHS);
  mtR_log(S, MT_WARN, MT_L_PEER,
          "router %s is dead: no message within its time limit",
          m->node.name);
}

/* Raises this router's incarnation above that of a wrong report about it. */
static void refute (mt_state_t *S, uint64_t inc) {
  mt_member_t *self = S->members.self;
  uint64_t before = entrydigest(self);
  self->node.inc = mt_max(self->node.inc, inc) + 1;
  changed(S, self, before);
  S->members.next_heartbeat = S->now;
  mtR_log(S, MT_WARN, MT_L_PEER,
          "a peer reported a wrong state of this router; incarnation raised");
}

static void mergeself (mt_state_t *S, const mt_node_t *n) {
  mt_member_t *self = S->members.self;
  if (n->inc < self->node.inc) return;
  if (n->inc == self->node.inc && n->state <= self->node.state) return;
  refute(S, n->inc);
}

/* True when this router itself has had a message from the member lately; a
   third router's report of its death is then ignored. */
static bool received_recently (const mt_state_t *S, const mt_member_t *m) {
  return m->last_received != 0 && S->now - m->last_received < MT_SUSPECT_MS;
}

static void mergenode (mt_state_t *S, const mt_node_t *n) {
  mt_id_t id = mtV_id(n->name, strlen(n->name));
  mt_member_t *m = mtM_get(S, id);
  if (m != NULL && m == S->members.self) {
    mergeself(S, n);
    return;
  }
  if (m == NULL) {
    if (S->members.byid.used >= MT_NODES_MAX || n->state >= MT_LEFT) return;
    add_member(S, n);
    mtR_log(S, MT_INFO, MT_L_PEER, "router %s joined in domain %s", n->name,
            n->domain);
    return;
  }
  if (n->inc < m->node.inc) return;
  if (n->inc == m->node.inc && n->state <= m->node.state) return;
  if (n->inc == m->node.inc && n->state == MT_DEAD && received_recently(S, m))
    return;
  uint64_t before = entrydigest(m);
  m->node = *n;
  m->domain = mtV_id(n->domain, strlen(n->domain));
  changed(S, m, before);
}

/* }== */

/* {== Sending ========================================================== */

static void send_heartbeat (mt_state_t *S, mt_member_t *m) {
  mt_msg_t msg = {.kind = MT_M_HEARTBEAT};
  mt_member_t *self = S->members.self;
  msg.u.heartbeat = (mt_heartbeat_t){self->node.inc, self->node.state,
                                     S->conf.revision, S->members.digest};
  m->heartbeat_sent = S->now;
  mtR_send(S, m->id, &msg);
}

/* Sends the entries that changed within RECENT_MS, or all of them. */
static void sendview (mt_state_t *S, mt_member_t *to, bool all) {
  mt_node_t *nodes = mtV_new(S->members.byid.used * sizeof *nodes);
  size_t n = 0;
  mtV_each (&S->members.byid, i) {
    const mt_member_t *m = S->members.byid.vals[i];
    if (all || S->now - m->changed < RECENT_MS) nodes[n++] = m->node;
  }
  mt_msg_t msg = {.kind = MT_M_VIEW};
  msg.u.view.nodes = nodes;
  msg.u.view.n = n;
  if (n > 0) mtR_send(S, to->id, &msg);
  if (all) to->view_sent = S->now;
  free(nodes);
}

static void handle_mismatch (mt_state_t *S, mt_member_t *m) {
  m->mismatches++;
  bool first = m->view_sent == 0;
  bool due = m->mismatches >= VIEW_MISMATCHES &&
             S->now - m->view_sent >= VIEW_GAP_MS;
  sendview(S, m, first || due);
}

/* }== */

/* {== Messages ========================================================= */

void mtM_received (mt_state_t *S, mt_id_t from, uint64_t clock) {
  mt_member_t *m = mtM_get(S, from);
  if (m == NULL) return;
  m->last_received = S->now;
  m->clock = clock;
  if (!m->suspect) return;
  m->suspect = false;
  S->members.epoch++;
}

void mtM_hello (mt_state_t *S, const mt_node_t *n) {
  mergenode(S, n);
  mt_member_t *m = mtM_get(S, mtV_id(n->name, strlen(n->name)));
  if (m == NULL || m == S->members.self) return;
  mtM_received(S, m->id, 0);
  if (m->view_sent == 0) sendview(S, m, true);
}

void mtM_heartbeat (mt_state_t *S, mt_id_t from, const mt_heartbeat_t *hb) {
  mt_member_t *m = mtM_get(S, from);
  if (m == NULL || m == S->members.self) return;
  mt_node_t n = m->node;
  n.inc = hb->inc;
  n.state = hb->state;
  bool wasdead = m->node.state == MT_DEAD && hb->inc == m->node.inc &&
                 hb->state != MT_DEAD;
  if (wasdead) {
    /* The view contains the death of the member, which then refutes it. */
    sendview(S, m, true);
    return;
  }
  mergenode(S, &n);
  m->revision = hb->revision;
  if (hb->digest == S->members.digest)
    m->mismatches = 0;
  else
    handle_mismatch(S, m);
}

void mtM_view (mt_state_t *S, mt_id_t from, const mt_node_t *nodes,
               size_t n) {
  uint64_t epoch = S->members.epoch;
  for (size_t i = 0; i < n; i++) mergenode(S, &nodes[i]);
  mt_member_t *m = mtM_get(S, from);
  if (m != NULL && m->view_sent == 0 && m != S->members.self)
    sendview(S, m, true);
  if (epoch != S->members.epoch)
    S->members.next_heartbeat =
        mt_min(S->members.next_heartbeat, S->now + MT_TICK_MS);
}

/* Sets this router's state and sends it to every router of all domains. */
static void announce (mt_state_t *S, mt_memberstate_t state) {
  mt_member_t *self = S->members.self;
  if (self->node.state >= state) return;
  uint64_t before = entrydigest(self);
  self->node.state = state;
  changed(S, self, before);
  mtV_each (&S->members.byid, i) {
    mt_member_t *m = S->members.byid.vals[i];
    if (m != self && m->node.state < MT_LEFT) send_heartbeat(S, m);
  }
}

void mtM_leave (mt_state_t *S) {
  announce(S, MT_LEAVING);
}

void mtM_left (mt_state_t *S) {
  announce(S, MT_LEFT);
}

/* }== */

/* {== Roles ============================================================ */

/* Ranks members of one state; `domain` 0 ranks the whole fleet. */
static mt_id_t rankin (mt_state_t *S, mt_id_t domain, uint64_t role, int rank,
                       mt_memberstate_t state) {
  uint64_t above = UINT64_MAX;
  mt_id_t best = 0;
  for (int r = 0; r <= rank; r++) {
    uint64_t top = 0;
    best = 0;
    mtV_each (&S->members.byid, i) {
      const mt_member_t *m = S->members.byid.vals[i];
      if (domain != 0 && m->domain != domain) continue;
      if (m->node.state != state || m->suspect) continue;
      uint64_t w = mtV_mix(m->id, role);
      if (w >= above || w < top) continue;
      top = w;
      best = m->id;
    }
    if (best == 0) return 0;
    above = top;
  }
  return best;
}

mt_id_t mtM_ranked (mt_state_t *S, mt_id_t domain, uint64_t role, int rank) {
  uint64_t r = mtV_mix(domain, role);
  static const mt_memberstate_t states[] = {MT_ALIVE, MT_LEAVING};
  const mt_id_t scopes[] = {domain, 0};
  for (size_t i = 0; i < mt_countof(scopes); i++)
    for (size_t j = 0; j < mt_countof(states); j++)
      if (rankin(S, scopes[i], r, 0, states[j]) != 0)
        return rankin(S, scopes[i], r, rank, states[j]);
  return 0;
}

/* The domains with members whose state is at most `worst`. */
static size_t domainsof (mt_state_t *S, mt_memberstate_t worst,
                         mt_id_t *out) {
  size_t n = 0;
  mtV_each (&S->members.byid, i) {
    const mt_member_t *m = S->members.byid.vals[i];
    if (m->node.state > worst) continue;
    size_t j = 0;
    while (j < n && out[j] != m->domain) j++;
    if (j == n && n < MT_DOMAINS_MAX) out[n++] = m->domain;
  }
  return n;
}

size_t mtM_domains (mt_state_t *S, mt_id_t *out) {
  return domainsof(S, MT_LEAVING, out);
}

/* }== */

/* {== Timer ============================================================ */

static size_t domainsize (mt_state_t *S) {
  size_t n = 0;
  mtV_each (&S->members.byid, i) {
    const mt_member_t *m = S->members.byid.vals[i];
    n += m->domain == S->members.self->domain && m->node.state < MT_LEFT;
  }
  return n;
}

/* Marks a silent member suspect or dead; `interval_ms` is that of its
   heartbeats. */
static void check_liveness (mt_state_t *S, mt_member_t *m,
                            mt_ms_t interval_ms) {
  if (m->node.state >= MT_LEFT) return;
  if (m->last_received == 0) m->last_received = S->now;
  mt_ms_t silent = S->now - m->last_received;
  mt_ms_t slack = 3 * (interval_ms - MT_HEARTBEAT_MS);
  if (silent > MT_DEAD_MS + slack) {
    mark_dead(S, m);
  } else if (silent > MT_SUSPECT_MS + slack && !m->suspect) {
    m->suspect = true;
    S->members.epoch++;
    mtR_count(S, MT_C_SUSPECTS);
  }
}

/* Dead members get heartbeats at a longer interval, so that the two sides of
   a network partition find each other after it has healed. */
static bool wants_heartbeat (const mt_state_t *S, const mt_member_t *m) {
  if (m->node.state < MT_LEFT) return true;
  return m->node.state == MT_DEAD &&
         m->heartbeat_sent + 2 * CROSS_HEARTBEAT_MS < S->now;
}

static void domain_heartbeats (mt_state_t *S) {
  mt_ms_t interval_ms =
      mt_max(MT_HEARTBEAT_MS, domainsize(S) * HEARTBEAT_PER_MEMBER_MS);
  bool due = S->now >= S->members.next_heartbeat;
  mtV_each (&S->members.byid, i) {
    mt_member_t *m = S->members.byid.vals[i];
    if (m == S->members.self || m->domain != S->members.self->domain)
      continue;
    check_liveness(S, m, interval_ms);
    if (due && wants_heartbeat(S, m)) send_heartbeat(S, m);
  }
  if (due) S->members.next_heartbeat = S->now + interval_ms;
}

/* The member of another domain to send to: the border router of this rank, or
   if it is silent, the member that was sent to longest ago. */
static mt_member_t *cross_peer (mt_state_t *S, mt_id_t domain, int rank) {
  mt_member_t *peer = NULL;
  mt_ms_t oldest = UINT64_MAX;
  mt_id_t id = mtM_ranked(S, domain, MT_ROLE_BORDER, rank);
  mt_member_t *first = id ? mtM_get(S, id) : NULL;
  if (first != NULL && first->domain == domain &&
      S->now - first->last_received < MT_DEAD_MS)
    return first;
  mtV_each (&S->members.byid, i) {
    mt_member_t *m = S->members.byid.vals[i];
    if (m->domain != domain || m->node.state == MT_LEFT ||
        m->heartbeat_sent >= oldest)
      continue;
    oldest = m->heartbeat_sent;
    peer = m;
  }
  return peer;
}

/* Marks all members of a domain dead when none has sent anything for
   DOMAIN_DEAD_MS. */
static void check_domain (mt_state_t *S, mt_id_t domain) {
  mt_ms_t last = 0;
  mtV_each (&S->members.byid, i) {
    mt_member_t *m = S->members.byid.vals[i];
    if (m->domain == domain)
      last = mt_max(last, mt_max(m->last_received, m->changed));
  }
  if (S->now - last < DOMAIN_DEAD_MS) return;
  mtV_each (&S->members.byid, i) {
    mt_member_t *m = S->members.byid.vals[i];
    if (m->domain == domain && m->node.state < MT_LEFT) mark_dead(S, m);
  }
}

static void cross_heartbeats (mt_state_t *S) {
  if (S->now < S->members.next_cross_heartbeat) return;
  S->members.next_cross_heartbeat = S->now + CROSS_HEARTBEAT_MS;
  mt_member_t *self = S->members.self;
  bool border = self->node.state == MT_LEAVING;
  for (int r = 0; r < MT_BORDER_ROUTERS; r++)
    border |= mtM_ranked(S, self->domain, MT_ROLE_BORDER, r) == self->id;
  if (!border) return;
  mt_id_t domains[MT_DOMAINS_MAX];
  size_t n = domainsof(S, MT_DEAD, domains);
  for (size_t i = 0; i < n; i++) {
    if (domains[i] == self->domain) continue;
    check_domain(S, domains[i]);
    for (int r = 0; r < MT_BORDER_ROUTERS; r++) {
      mt_member_t *m = cross_peer(S, domains[i], r);
      if (m != NULL && m->heartbeat_sent + CROSS_HEARTBEAT_MS / 2 < S->now)
        send_heartbeat(S, m);
    }
  }
}

/* Removes one entry that has been dead or left for MT_FORGET_MS. */
static void forget (mt_state_t *S) {
  mtV_each (&S->members.byid, i) {
    mt_member_t *m = S->members.byid.vals[i];
    if (m->node.state < MT_LEFT || S->now - m->changed < MT_FORGET_MS)
      continue;
    free(mtV_del(&S->members.byid, m->id));
    return;
  }
}

/* Sends a hello to the seeds whose address no known router has. */
static void contactseeds (mt_state_t *S) {
  for (size_t i = 0; i < S->set.nseeds; i++) {
    const mt_addr_t *a = &S->set.seeds[i];
    bool known = false;
    mtV_each (&S->members.byid, j) {
      const mt_member_t *m = S->members.byid.vals[j];
      known |=
          m->node.addr.port == a->port && strcmp(m->node.addr.ip, a->ip) == 0;
    }
    if (known) continue;
    mt_effect_t *fx = mtR_effect(S, MT_FX_SEND, 0);
    fx->u.send.addr = *a;
    fx->u.send.kind = MT_M_HELLO;
  }
}

void mtM_tick (mt_state_t *S, mt_ms_t gap) {
  if (gap > MT_PAUSE_MS) {
    mtR_count(S, MT_C_PAUSES);
    S->members.paused_until = S->now + 2 * MT_HEARTBEAT_MS;
    S->members.next_heartbeat = S->now;
    S->members.epoch++;
    mtV_each (&S->members.byid, i) {
      mt_member_t *m = S->members.byid.vals[i];
      if (m->last_received != 0) m->last_received = S->now;
    }
    mtR_log(
        S, MT_WARN, MT_L_ROUTER,
        "process was paused for %llu ms; no grants for two heartbeat intervals",
        (unsigned long long)gap);
  }
  if (S->now >= S->members.next_cross_heartbeat) {
    contactseeds(S);
    forget(S);
  }
  domain_heartbeats(S);
  cross_heartbeats(S);
}

void mtM_open (mt_state_t *S, uint64_t boot) {
  mt_node_t n = {
      .boot = boot, .inc = boot, .state = MT_ALIVE, .addr = S->set.advertise};
  memcpy(n.name, S->set.node, sizeof n.name);
  memcpy(n.domain, S->set.domain, sizeof n.domain);
  memcpy(n.region, S->set.region, sizeof n.region);
  S->members.self = add_member(S, &n);
}

void mtM_close (mt_state_t *S) {
  mtV_each (&S->members.byid, i) free(S->members.byid.vals[i]);
  mtV_free(&S->members.byid);
}

/* }== */
