/*
** share_exchange.c - aggregates workspaces' demand and service over the fleet
*/
#include <stdlib.h>
#include <string.h>

#include "share_exchange.h"

#define ROUND_INTERVAL_MIN_MS 150 /* between two rounds */
#define ROUND_BYTES_PER_S 8000    /* that a router sends in rounds, about */
/*
** Messages of a round have a row for each workspace, so rounds are rare where
** boxes and workspaces are many. Heartbeats between them show which routers
** are live. Else a router that has ended would count as live for three
** rounds: as an owner of engines, and as a watcher of the source that no
** other router replaces.
*/
#define HEARTBEAT_MS 1000
/* That a router sends in heartbeats, about. */
#define HEARTBEAT_BYTES_PER_S 4000
/* Members that a heartbeat names are live for so many heartbeat intervals.
   When its sender ends, the group notices after three of them and another
   member sends from then on. */
#define HEARTBEATS_VALID 5
/* Upper bound on that time, and on how long a message shows that a router of
   this failure domain is live, however far off the next round is. */
#define MEMBER_VALID_MAX_MS 8000
#define SUM_INTERVAL_MS 100 /* as often as fair shares are computed */
#define INTERVALS_VALID 3   /* rates are valid for so many intervals */
#define VALID_MIN_MS 1000   /* and at least for so long */
/* Members in a MEMBERS message that is no heartbeat are live for so long. */
#define MEMBERS_VALID_MS 2500
#define ADDRESSES_PER_HELLO 8 /* members per HELLO, besides the sender */
#define PROBES_MAX 8          /* per round, to addresses that are not live */
#define SHARE_MIN 1.0 /* tokens per second; lower rates are not sent */

static mt_ms_t validity_of (mt_ms_t interval) {
  return mt_max(INTERVALS_VALID * interval, (mt_ms_t)VALID_MIN_MS);
}

static mt_ms_t message_validity (const mt_peer_message_t *m) {
  return validity_of(m->interval);
}

/* {== Members ========================================================== */

static void add_member (mt_peer_message_t *m, uint32_t ip, mt_id_t domain,
                        bool reaches_source) {
  if (m->members_count >= MT_PEER_MEMBERS_MAX) return;
  m->members[m->members_count++] =
      (mt_peer_member_t){ip, domain, reaches_source};
}

static void add_self (const mt_membership_t *members, mt_peer_message_t *m) {
  add_member(m, members->own_ip, members->own_domain,
             members->own_reaches_source);
}

static void add_peer (mt_peer_message_t *m, const mt_peer_t *peer) {
  add_member(m, peer->ip, peer->domain, peer->reaches_source);
}

size_t mt_share_exchange_list_members (const mt_membership_t *members,
                                       size_t first, mt_peer_message_t *m) {
  size_t next = first;
  add_self(members, m);
  for (; next < members->count; next++) {
    if (m->members_count >= MT_PEER_MEMBERS_MAX) break;
    if (mt_membership_is_live(members, members->list[next]))
      add_peer(m, members->list[next]);
  }
  return next;
}

/* For how long members named in a message count as live, in ms. */
static mt_ms_t member_validity (const mt_peer_message_t *m) {
  if (m->interval == 0) return MEMBERS_VALID_MS;
  switch (m->kind) {
    case MT_PEER_MEMBERS:
      return mt_min(HEARTBEATS_VALID * m->interval,
                    (mt_ms_t)MEMBER_VALID_MAX_MS);
    case MT_PEER_GROUP_SUMMARY:
      return mt_min(message_validity(m), (mt_ms_t)MEMBER_VALID_MAX_MS);
    default: return message_validity(m);
  }
}

/* Adds the addresses in a message to the membership; `live`: the sender
   reports them as live. */
static void merge_members (mt_membership_t *members,
                           const mt_peer_message_t *m, bool live) {
  mt_ms_t valid = member_validity(m);
  for (size_t i = 0; i < m->members_count; i++) {
    const mt_peer_member_t *member = &m->members[i];
    mt_peer_t *peer = mt_membership_add(members, member->ip);
    if (peer == NULL) continue;
    if (peer->domain == 0) peer->domain = member->domain;
    if (!live) continue;
    peer->domain = member->domain;
    peer->reaches_source = member->reaches_source;
    peer->reported_until = members->now + valid;
  }
}

static bool in_own_group (const mt_membership_t *members,
                          const mt_peer_t *peer) {
  return mt_membership_is_local(members, peer) &&
         mt_membership_group(members, peer->ip) ==
             mt_membership_group(members, members->own_ip);
}

static bool seen_recently (const mt_membership_t *members,
                           const mt_peer_t *peer) {
  return peer->last_seen != 0 && members->now - peer->last_seen < peer->valid;
}

/* }== */

/* {== Sums ============================================================= */

static void store_shares (mt_peer_share_t **to, size_t *count, size_t *cap,
                          const mt_peer_message_t *m) {
  while (*cap < m->shares_count) *to = mtV_grow(*to, *cap, cap, sizeof **to);
  if (m->shares_count > 0)
    memcpy(*to, m->shares, m->shares_count * sizeof **to);
  *count = m->shares_count;
}

static void store_members (mt_share_summary_t *summary,
                           const mt_peer_message_t *m) {
  while (summary->members_cap < m->members_count)
    summary->members =
        mtV_grow(summary->members, summary->members_cap,
                 &summary->members_cap, sizeof *summary->members);
  memcpy(summary->members, m->members, m->members_count * sizeof *m->members);
  summary->members_count = m->members_count;
}

static void store_summary (const mt_share_exchange_t *x,
                           mt_share_summary_t *summary,
                           const mt_peer_message_t *m) {
  summary->groups = m->groups;
  summary->interval = m->interval;
  summary->valid_until = x->members->now + message_validity(m);
  store_shares(&summary->shares, &summary->shares_count, &summary->shares_cap,
               m);
}

static void add_rates (mt_share_exchange_t *x, const mt_peer_share_t *rows,
                       size_t count) {
  for (size_t i = 0; i < count; i++) {
    mt_share_t *share = mt_fair_share_of_peer(x->shares, rows[i].workspace);
    if (share == NULL) continue;
    share->peers.demand += rows[i].rates.demand;
    share->peers.served += rows[i].rates.served;
  }
}

/* Sums up the rates of the other routers in the own group. */
static void sum_group (mt_share_exchange_t *x) {
  const mt_membership_t *members = x->members;
  for (size_t i = 0; i < x->shares->count; i++)
    x->shares->list[i]->peers = (mt_share_rates_t){0};
  for (size_t i = 0; i < members->count; i++) {
    const mt_peer_t *peer = members->list[i];
    if (!in_own_group(members, peer)) continue;
    if (members->now - peer->shares_received < peer->shares_valid)
      add_rates(x, peer->shares, peer->shares_count);
  }
}

/* Adds the other groups, which gives the sum of the failure domain. */
static void sum_domain (mt_share_exchange_t *x) {
  const mt_membership_t *members = x->members;
  uint32_t own = mt_membership_group(members, members->own_ip);
  for (uint32_t i = 0; i < mt_countof(x->groups); i++) {
    const mt_share_summary_t *summary = &x->groups[i];
    if (i == own || summary->valid_until <= members->now) continue;
    if (summary->groups == members->groups)
      add_rates(x, summary->shares, summary->shares_count);
  }
}

/* Adds the other failure domains, which gives the sum of the fleet. */
static void sum_fleet (mt_share_exchange_t *x) {
  mtV_each (&x->domains, i) {
    const mt_share_summary_t *summary = x->domains.vals[i];
    if (summary->valid_until > x->members->now)
      add_rates(x, summary->shares, summary->shares_count);
  }
}

/* }== */

/* {== Sending ========================================================== */

typedef enum scope_t { SCOPE_OWN, SCOPE_SUM } scope_t;

/* Adds this router's own rates, or their sum with the received ones. */
static void pack_shares (const mt_share_exchange_t *x, mt_peer_message_t *m,
                         scope_t scope) {
  for (size_t i = 0; i < x->shares->count; i++) {
    const mt_share_t *share = x->shares->list[i];
    mt_share_rates_t rates = share->local;
    if (scope == SCOPE_SUM) {
      rates.demand += share->peers.demand;
      rates.served += share->peers.served;
    }
    if (rates.demand < SHARE_MIN && rates.served < SHARE_MIN) continue;
    if (m->shares_count >= MT_PEER_SHARES_MAX) return;
    m->shares[m->shares_count++] = (mt_peer_share_t){share->workspace, rates};
  }
}

static mt_peer_message_t *begin (mt_share_exchange_t *x,
                                 mt_peer_kind_t kind) {
  mt_peer_message_t *m = x->callbacks.begin(x->callbacks.ud, kind);
  m->interval = x->interval;
  m->groups = x->members->groups;
  return m;
}

static void send (mt_share_exchange_t *x, const uint32_t *to, size_t count) {
  if (count > 0)
    x->bytes += count * x->callbacks.send(x->callbacks.ud, to, count);
}

/* Adds some live peers in turn, so that all routers become known to all. */
static void pack_some_members (mt_share_exchange_t *x, mt_peer_message_t *m) {
  const mt_membership_t *members = x->members;
  size_t n = mt_min(members->count, (size_t)ADDRESSES_PER_HELLO);
  for (size_t i = 0; i < n; i++) {
    const mt_peer_t *peer = members->list[x->next_named++ % members->count];
    if (mt_membership_is_live(members, peer)) add_peer(m, peer);
  }
}

/* The other live routers of the own group. */
static size_t list_group (const mt_membership_t *members, uint32_t *to,
                          size_t max) {
  size_t count = 0;
  for (size_t i = 0; i < members->count && count < max; i++) {
    const mt_peer_t *peer = members->list[i];
    if (!in_own_group(members, peer)) continue;
    if (mt_membership_is_live(members, peer)) to[count++] = peer->ip;
  }
  return count;
}

/* Some addresses that are not live, in turn. */
static size_t list_probe_targets (mt_share_exchange_t *x, uint32_t *to,
                                  size_t max) {
  mt_membership_t *members = x->members;
  size_t count = 0, seen = 0, first = x->next_probe;
  for (; seen < members->count && count < max; seen++) {
    mt_peer_t *peer = members->list[(first + seen) % members->count];
    if (mt_membership_is_live(members, peer)) continue;
    if (mt_membership_should_probe(members, peer)) to[count++] = peer->ip;
  }
  x->next_probe = first + seen;
  return count;
}

/*
** Sends a HELLO to the own group, and probes some addresses that are not
** live. Probes do not count for the interval of rounds, as a third of all
** routers may be down.
*/
static void send_hello (mt_share_exchange_t *x) {
  const mt_membership_t *members = x->members;
  uint32_t to[MT_PEER_MEMBERS_MAX];
  bool starting = mt_membership_is_starting(members);
  mt_peer_message_t *m = begin(x, MT_PEER_HELLO);
  add_self(members, m);
  pack_some_members(x, m);
  pack_shares(x, m, SCOPE_OWN);
  send(x, to, list_group(members, to, mt_countof(to)));
  size_t count = list_probe_targets(
      x, to, starting ? mt_countof(to) : (size_t)PROBES_MAX);
  if (count > 0) x->callbacks.send(x->callbacks.ud, to, count);
}

/* Adds the own group's members to a message. Lists the routers of other
   groups that receive it from this one; returns their number. */
static size_t pack_group (const mt_share_exchange_t *x, mt_peer_message_t *m,
                          uint32_t *to, size_t max) {
  const mt_membership_t *members = x->members;
  size_t count = 0;
  add_self(members, m);
  for (size_t i = 0; i < members->count; i++) {
    const mt_peer_t *peer = members->list[i];
    if (!mt_membership_is_local(members, peer)) continue;
    if (in_own_group(members, peer)) {
      if (seen_recently(members, peer)) add_peer(m, peer);
      continue;
    }
    if (!mt_membership_is_live(members, peer)) continue;
    if (!mt_membership_sends_to(members, peer->ip)) continue;
    if (count < max) to[count++] = peer->ip;
  }
  return count;
}

/* Sends the own group's sum to its receivers in other groups. */
static void send_group_summary (mt_share_exchange_t *x) {
  uint32_t to[MT_PEER_MEMBERS_MAX];
  mt_peer_message_t *m = begin(x, MT_PEER_GROUP_SUMMARY);
  m->group = mt_membership_group(x->members, x->members->own_ip);
  size_t count = pack_group(x, m, to, mt_countof(to));
  pack_shares(x, m, SCOPE_SUM);
  send(x, to, count);
}

/* Sends the own group's members without shares, which is small enough to be
   sent often: to receivers in other groups, to the own group, and to some
   addresses that are not live. */
static void send_group_members (mt_share_exchange_t *x) {
  uint32_t to[3 * MT_PEER_MEMBERS_MAX];
  mt_peer_message_t *m = begin(x, MT_PEER_MEMBERS);
  m->interval = x->heartbeat;
  size_t count = pack_group(x, m, to, MT_PEER_MEMBERS_MAX);
  count += list_group(x->members, to + count, MT_PEER_MEMBERS_MAX);
  count += list_probe_targets(x, to + count, PROBES_MAX);
  send(x, to, count);
}

/* Sends this failure domain's sum to routers of other domains, which forward
   it. */
static void send_domain_summary (mt_share_exchange_t *x) {
  const mt_membership_t *members = x->members;
  mt_peer_t *peers[MT_PEER_MEMBERS_MAX];
  uint32_t to[MT_PEER_MEMBERS_MAX];
  size_t count =
      mt_membership_domain_receivers(members, peers, mt_countof(peers));
  mt_peer_message_t *m = begin(x, MT_PEER_DOMAIN_SUMMARY);
  add_self(members, m);
  for (size_t i = 0; i < members->count; i++) {
    const mt_peer_t *peer = members->list[i];
    if (!mt_membership_is_local(members, peer)) continue;
    if (mt_membership_is_live(members, peer)) add_peer(m, peer);
  }
  pack_shares(x, m, SCOPE_SUM);
  for (size_t i = 0; i < count; i++) to[i] = peers[i]->ip;
  send(x, to, count);
}

/* Forwards another domain's summary, unchanged, to the own group. */
static void forward_summary (mt_share_exchange_t *x,
                             const mt_share_summary_t *summary) {
  uint32_t to[MT_PEER_MEMBERS_MAX];
  mt_peer_message_t *m = begin(x, MT_PEER_DOMAIN_SUMMARY);
  m->interval = mt_max(summary->interval, x->interval);
  m->groups = summary->groups;
  m->members_count = summary->members_count;
  memcpy(m->members, summary->members, m->members_count * sizeof *m->members);
  m->shares_count = summary->shares_count;
  if (m->shares_count > 0)
    memcpy(m->shares, summary->shares, m->shares_count * sizeof *m->shares);
  send(x, to, list_group(x->members, to, mt_countof(to)));
}

static void forward_all (mt_share_exchange_t *x) {
  mtV_each (&x->domains, i) {
    mt_share_summary_t *summary = x->domains.vals[i];
    if (summary->forward_pending) forward_summary(x, summary);
    summary->forward_pending = false;
  }
}

/* }== */

/* {== Receiving ======================================================== */

/* For how long a peer is live after a message, by its heartbeats if any have
   come. */
static mt_ms_t peer_validity (const mt_peer_t *peer) {
  return peer->heartbeats_valid != 0 ? peer->heartbeats_valid
                                     : MEMBER_VALID_MAX_MS;
}

static void on_hello (mt_share_exchange_t *x, mt_peer_t *peer,
                      const mt_peer_message_t *m) {
  peer->shares_valid = message_validity(m);
  peer->valid = mt_min(peer->shares_valid, peer_validity(peer));
  peer->shares_received = x->members->now;
  store_shares(&peer->shares, &peer->shares_count, &peer->shares_cap, m);
  if (m->members_count > 0) { /* the first is the sender */
    peer->domain = m->members[0].domain;
    peer->reaches_source = m->members[0].reaches_source;
  }
  mt_membership_set_groups(x->members, peer->domain, m->groups);
  merge_members(x->members, m, false);
}

static void on_group_summary (mt_share_exchange_t *x,
                              const mt_peer_message_t *m) {
  if (m->members_count == 0) return;
  merge_members(x->members, m, true);
  if (m->members[0].domain != x->members->own_domain) return;
  if (m->group < mt_countof(x->groups))
    store_summary(x, &x->groups[m->group], m);
}

static void on_domain_summary (mt_share_exchange_t *x, const mt_peer_t *peer,
                               const mt_peer_message_t *m) {
  if (m->members_count == 0) return;
  mt_id_t domain = m->members[0].domain;
  if (domain == 0 || domain == x->members->own_domain) return;
  mt_membership_set_groups(x->members, domain, m->groups);
  merge_members(x->members, m, true);
  mt_share_summary_t *summary = mtV_get(&x->domains, domain);
  if (summary == NULL && x->domains.used >= MT_MEMBERSHIP_DOMAINS) return;
  if (summary == NULL) {
    summary = mtV_new(sizeof *summary);
    mtV_put(&x->domains, domain, summary);
  }
  store_summary(x, summary, m);
  store_members(summary, m);
  /* A router of the own domain has forwarded it already. */
  if (!mt_membership_is_local(x->members, peer))
    summary->forward_pending = true;
}

void mt_share_exchange_receive (mt_share_exchange_t *x, mt_peer_t *peer,
                                const mt_peer_message_t *m) {
  switch (m->kind) {
    case MT_PEER_HELLO: on_hello(x, peer, m); break;
    case MT_PEER_GROUP_SUMMARY: on_group_summary(x, m); break;
    case MT_PEER_DOMAIN_SUMMARY: on_domain_summary(x, peer, m); break;
    case MT_PEER_MEMBERS:
      if (m->interval > 0)
        peer->valid = peer->heartbeats_valid = message_validity(m);
      merge_members(x->members, m, true);
      break;
    default: break;
  }
}

/* }== */

/* Time until the next round or heartbeat after one of this many bytes, at
   least `min`. */
static mt_ms_t interval_for (size_t bytes, size_t bytes_per_s, mt_ms_t min) {
  return mt_max((mt_ms_t)(1000 * bytes / bytes_per_s), min);
}

/* Sends a heartbeat. Its bytes set the time of the next one, and do not count
   for the interval of rounds. */
static void send_heartbeat (mt_share_exchange_t *x) {
  size_t before = x->bytes;
  send_group_members(x);
  x->heartbeat =
      interval_for(x->bytes - before, HEARTBEAT_BYTES_PER_S, HEARTBEAT_MS);
  x->next_heartbeat = x->members->now + x->heartbeat;
  x->bytes = before;
}

void mt_share_exchange_tick (mt_share_exchange_t *x) {
  bool round_due = x->members->now >= x->next_round;
  if (!round_due && x->members->now < x->next_sum) return;
  x->next_sum = x->members->now + SUM_INTERVAL_MS;
  sum_group(x);
  if (!round_due && x->members->now >= x->next_heartbeat) send_heartbeat(x);
  if (round_due) {
    send_hello(x);
    send_group_summary(x);
  }
  sum_domain(x);
  if (round_due) {
    mt_ms_t valid = validity_of(x->interval);
    send_domain_summary(x);
    forward_all(x);
    x->interval =
        interval_for(x->bytes, ROUND_BYTES_PER_S, ROUND_INTERVAL_MIN_MS);
    x->next_round = x->members->now + x->interval;
    /* However far off the next round is, the next heartbeat comes while the
       messages of this one are valid. */
    x->next_heartbeat = x->members->now + mt_min(x->heartbeat, valid / 2);
    x->bytes = 0;
  }
  sum_fleet(x);
}

void mt_share_exchange_open (mt_share_exchange_t *x, mt_membership_t *members,
                             mt_fair_share_t *shares,
                             const mt_share_exchange_callbacks_t *callbacks) {
  *x = (mt_share_exchange_t){.members = members,
                             .shares = shares,
                             .callbacks = *callbacks,
                             .interval = ROUND_INTERVAL_MIN_MS,
                             .heartbeat = HEARTBEAT_MS};
}

void mt_share_exchange_free (mt_share_exchange_t *x) {
  for (size_t i = 0; i < mt_countof(x->groups); i++)
    free(x->groups[i].shares);
  mtV_each (&x->domains, i) {
    mt_share_summary_t *summary = x->domains.vals[i];
    free(summary->shares);
    free(summary->members);
    free(summary);
  }
  mtV_free(&x->domains);
}
