/*
** share_exchange.c - how what workspaces asked for and got goes round
*/
#include <stdlib.h>
#include <string.h>

#include "share_exchange.h"

#define INTERVAL_MIN_MS 150 /* between two rounds, at least */
#define BYTES_PER_S 8000    /* that a router sends in rounds, about */
/*
** Rounds hold a row for each workspace, so they come rarely where boxes and
** workspaces are many. Who serves is then told in
** heartbeats between them, or routers that have ended would count for three
** rounds: engines' owners, and watchers of the source that nobody follows.
*/
#define HEARTBEAT_MS 1000
#define HEARTBEAT_BYTES_PER_S 4000 /* that a router sends in them, about */
/* A group's members count for so many heartbeats: when the one that tells of
   them ends, its group notices after three and another one tells. */
#define HEARTBEATS_VALID 5
/* What is told of the own failure domain's routers counts no longer than
   that, however far off the next round is. */
#define VOUCHED_MAX_MS 8000
#define SUM_MS 100        /* between sums: as often as the level is found */
#define PACES_VALID 3     /* what is told counts for so many paces */
#define VALID_MIN_MS 1000 /* and for so long at least */
#define WELCOME_MS 2500   /* what a welcome says counts for so long */
#define ADDRESSES_TOLD 8  /* in a greeting */
#define PROBES_MOST 8     /* in a round, of addresses where nobody answers */
#define SHARE_LEAST 1.0   /* tokens a second; less is not told */

static mt_ms_t valid_at (mt_ms_t pace) {
  return mt_max(PACES_VALID * pace, (mt_ms_t)VALID_MIN_MS);
}

static mt_ms_t valid_for (const mt_peer_message_t *m) {
  return valid_at(m->pace);
}

/* {== Members ========================================================== */

static void add_member (mt_peer_message_t *m, uint32_t ip, mt_id_t domain,
                        bool source) {
  if (m->members_count >= MT_PEER_MEMBERS_MAX) return;
  m->members[m->members_count++] = (mt_peer_member_t){ip, domain, source};
}

static void add_self (const mt_membership_t *members, mt_peer_message_t *m) {
  add_member(m, members->own_ip, members->own_domain, members->own_source);
}

static void add_peer (mt_peer_message_t *m, const mt_peer_t *peer) {
  add_member(m, peer->ip, peer->domain, peer->source);
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

/* How long a member counts that a message names. */
static mt_ms_t vouched_for (const mt_peer_message_t *m) {
  if (m->pace == 0) return WELCOME_MS;
  switch (m->kind) {
    case MT_PEER_WELCOME:
      return mt_min(HEARTBEATS_VALID * m->pace, (mt_ms_t)VOUCHED_MAX_MS);
    case MT_PEER_SUMMARY:
      return mt_min(valid_for(m), (mt_ms_t)VOUCHED_MAX_MS);
    default: return valid_for(m);
  }
}

/* Takes addresses that somebody named; `vouched`: they serve, says whoever
   hears them. */
static void take_members (mt_membership_t *members,
                          const mt_peer_message_t *m, bool vouched) {
  mt_ms_t valid = vouched_for(m);
  for (size_t i = 0; i < m->members_count; i++) {
    const mt_peer_member_t *member = &m->members[i];
    mt_peer_t *peer = mt_membership_know(members, member->ip);
    if (peer == NULL) continue;
    if (peer->domain == 0) peer->domain = member->domain;
    if (!vouched) continue;
    peer->domain = member->domain;
    peer->source = member->source;
    peer->told_until = members->now + valid;
  }
}

static bool in_own_group (const mt_membership_t *members,
                          const mt_peer_t *peer) {
  return mt_membership_is_near(members, peer) &&
         mt_membership_group(members, peer->ip) ==
             mt_membership_group(members, members->own_ip);
}

static bool heard_lately (const mt_membership_t *members,
                          const mt_peer_t *peer) {
  return peer->heard != 0 && members->now - peer->heard < peer->valid;
}

/* }== */

/* {== Sums ============================================================= */

static void keep_shares (mt_peer_share_t **to, size_t *count, size_t *cap,
                         const mt_peer_message_t *m) {
  while (*cap < m->shares_count) *to = mtV_grow(*to, *cap, cap, sizeof **to);
  if (m->shares_count > 0)
    memcpy(*to, m->shares, m->shares_count * sizeof **to);
  *count = m->shares_count;
}

static void keep_members (mt_share_sum_t *sum, const mt_peer_message_t *m) {
  while (sum->members_cap < m->members_count)
    sum->members = mtV_grow(sum->members, sum->members_cap, &sum->members_cap,
                            sizeof *sum->members);
  memcpy(sum->members, m->members, m->members_count * sizeof *m->members);
  sum->members_count = m->members_count;
}

static void keep_sum (const mt_share_exchange_t *x, mt_share_sum_t *sum,
                      const mt_peer_message_t *m) {
  sum->groups = m->groups;
  sum->pace = m->pace;
  sum->valid_until = x->members->now + valid_for(m);
  keep_shares(&sum->shares, &sum->shares_count, &sum->shares_cap, m);
}

static void add_rates (mt_share_exchange_t *x, const mt_peer_share_t *rows,
                       size_t count) {
  for (size_t i = 0; i < count; i++) {
    mt_share_t *share = mt_fair_share_of_peer(x->shares, rows[i].workspace);
    if (share == NULL) continue;
    share->peers.asked += rows[i].rates.asked;
    share->peers.served += rows[i].rates.served;
  }
}

/* What the routers of this one's group told, besides itself. */
static void sum_group (mt_share_exchange_t *x) {
  const mt_membership_t *members = x->members;
  for (size_t i = 0; i < x->shares->count; i++)
    x->shares->list[i]->peers = (mt_share_rates_t){0};
  for (size_t i = 0; i < members->count; i++) {
    const mt_peer_t *peer = members->list[i];
    if (!in_own_group(members, peer)) continue;
    if (members->now - peer->shares_heard < peer->shares_valid)
      add_rates(x, peer->shares, peer->shares_count);
  }
}

/* Adds the other groups: then the shares hold the failure domain's sum. */
static void sum_domain (mt_share_exchange_t *x) {
  const mt_membership_t *members = x->members;
  uint32_t own = mt_membership_group(members, members->own_ip);
  for (uint32_t i = 0; i < mt_countof(x->groups); i++) {
    const mt_share_sum_t *sum = &x->groups[i];
    if (i == own || sum->valid_until <= members->now) continue;
    if (sum->groups == members->groups)
      add_rates(x, sum->shares, sum->shares_count);
  }
}

static void sum_fleet (mt_share_exchange_t *x) {
  mtV_each (&x->domains, i) {
    const mt_share_sum_t *sum = x->domains.vals[i];
    if (sum->valid_until > x->members->now)
      add_rates(x, sum->shares, sum->shares_count);
  }
}

/* }== */

/* {== Telling ========================================================== */

typedef enum level_t { LEVEL_OWN, LEVEL_SUMMED_UP } level_t;

/* Own rates alone, or with what has been summed up so far. */
static void pack_shares (const mt_share_exchange_t *x, mt_peer_message_t *m,
                         level_t level) {
  for (size_t i = 0; i < x->shares->count; i++) {
    const mt_share_t *share = x->shares->list[i];
    mt_share_rates_t rates = share->local;
    if (level == LEVEL_SUMMED_UP) {
      rates.asked += share->peers.asked;
      rates.served += share->peers.served;
    }
    if (rates.asked < SHARE_LEAST && rates.served < SHARE_LEAST) continue;
    if (m->shares_count >= MT_PEER_SHARES_MAX) return;
    m->shares[m->shares_count++] = (mt_peer_share_t){share->workspace, rates};
  }
}

static mt_peer_message_t *begin (mt_share_exchange_t *x,
                                 mt_peer_kind_t kind) {
  mt_peer_message_t *m = x->calls.begin(x->calls.ud, kind);
  m->pace = x->pace;
  m->groups = x->members->groups;
  return m;
}

static void send (mt_share_exchange_t *x, const uint32_t *to, size_t count) {
  if (count > 0) x->bytes += count * x->calls.send(x->calls.ud, to, count);
}

/* Some others in turn, so that nobody stays unknown. */
static void pack_others (mt_share_exchange_t *x, mt_peer_message_t *m) {
  const mt_membership_t *members = x->members;
  size_t n = mt_min(members->count, (size_t)ADDRESSES_TOLD);
  for (size_t i = 0; i < n; i++) {
    const mt_peer_t *peer = members->list[x->next_told++ % members->count];
    if (mt_membership_is_live(members, peer)) add_peer(m, peer);
  }
}

/* The others of the own group. */
static size_t list_group (const mt_membership_t *members, uint32_t *to,
                          size_t most) {
  size_t count = 0;
  for (size_t i = 0; i < members->count && count < most; i++) {
    const mt_peer_t *peer = members->list[i];
    if (!in_own_group(members, peer)) continue;
    if (mt_membership_is_live(members, peer)) to[count++] = peer->ip;
  }
  return count;
}

/* Addresses where nobody is known to serve, some of them in turn. */
static size_t list_probed (mt_share_exchange_t *x, uint32_t *to,
                           size_t most) {
  mt_membership_t *members = x->members;
  size_t count = 0, seen = 0, first = x->next_probed;
  for (; seen < members->count && count < most; seen++) {
    mt_peer_t *peer = members->list[(first + seen) % members->count];
    if (mt_membership_is_live(members, peer)) continue;
    if (mt_membership_probes(members, peer)) to[count++] = peer->ip;
  }
  x->next_probed = first + seen;
  return count;
}

/*
** To the own group; now and then to addresses where nobody answers, which
** does not slow the rounds down: a third of the routers may be away.
*/
static void greet (mt_share_exchange_t *x) {
  const mt_membership_t *members = x->members;
  uint32_t to[MT_PEER_MEMBERS_MAX];
  bool young = mt_membership_is_young(members);
  mt_peer_message_t *m = begin(x, MT_PEER_HELLO);
  add_self(members, m);
  pack_others(x, m);
  pack_shares(x, m, LEVEL_OWN);
  send(x, to, list_group(members, to, mt_countof(to)));
  size_t count =
      list_probed(x, to, young ? mt_countof(to) : (size_t)PROBES_MOST);
  if (count > 0) x->calls.send(x->calls.ud, to, count);
}

/* Fills in the own group; lists those of other groups that hear of it from
   here, and returns how many these are. */
static size_t pack_group (const mt_share_exchange_t *x, mt_peer_message_t *m,
                          uint32_t *to, size_t most) {
  const mt_membership_t *members = x->members;
  size_t count = 0;
  add_self(members, m);
  for (size_t i = 0; i < members->count; i++) {
    const mt_peer_t *peer = members->list[i];
    if (!mt_membership_is_near(members, peer)) continue;
    if (in_own_group(members, peer)) {
      if (heard_lately(members, peer)) add_peer(m, peer);
      continue;
    }
    if (!mt_membership_is_live(members, peer)) continue;
    if (!mt_membership_tells(members, peer->ip)) continue;
    if (count < most) to[count++] = peer->ip;
  }
  return count;
}

/* The own group's sum, to those of other groups that hear it from here. */
static void summarize (mt_share_exchange_t *x) {
  uint32_t to[MT_PEER_MEMBERS_MAX];
  mt_peer_message_t *m = begin(x, MT_PEER_SUMMARY);
  m->group = mt_membership_group(x->members, x->members->own_ip);
  size_t count = pack_group(x, m, to, mt_countof(to));
  pack_shares(x, m, LEVEL_SUMMED_UP);
  send(x, to, count);
}

/* Its members without shares, so that it costs little to say often who
   serves: to those, to the own group, and to some addresses where nobody
   answers. */
static void tell_group (mt_share_exchange_t *x) {
  uint32_t to[3 * MT_PEER_MEMBERS_MAX];
  mt_peer_message_t *m = begin(x, MT_PEER_WELCOME);
  m->pace = x->heartbeat;
  size_t count = pack_group(x, m, to, MT_PEER_MEMBERS_MAX);
  count += list_group(x->members, to + count, MT_PEER_MEMBERS_MAX);
  count += list_probed(x, to + count, PROBES_MOST);
  send(x, to, count);
}

/* The own failure domain's sum, to routers of others that pass it on. */
static void speak (mt_share_exchange_t *x) {
  const mt_membership_t *members = x->members;
  mt_peer_t *peers[MT_PEER_MEMBERS_MAX];
  uint32_t to[MT_PEER_MEMBERS_MAX];
  size_t count = mt_membership_spoken_to(members, peers, mt_countof(peers));
  mt_peer_message_t *m = begin(x, MT_PEER_DOMAIN);
  add_self(members, m);
  for (size_t i = 0; i < members->count; i++) {
    const mt_peer_t *peer = members->list[i];
    if (!mt_membership_is_near(members, peer)) continue;
    if (mt_membership_is_live(members, peer)) add_peer(m, peer);
  }
  pack_shares(x, m, LEVEL_SUMMED_UP);
  for (size_t i = 0; i < count; i++) to[i] = peers[i]->ip;
  send(x, to, count);
}

/* Another domain's sum, as it came, to the own group. */
static void pass_on (mt_share_exchange_t *x, const mt_share_sum_t *sum) {
  uint32_t to[MT_PEER_MEMBERS_MAX];
  mt_peer_message_t *m = begin(x, MT_PEER_DOMAIN);
  m->pace = mt_max(sum->pace, x->pace);
  m->groups = sum->groups;
  m->members_count = sum->members_count;
  memcpy(m->members, sum->members, m->members_count * sizeof *m->members);
  m->shares_count = sum->shares_count;
  if (m->shares_count > 0)
    memcpy(m->shares, sum->shares, m->shares_count * sizeof *m->shares);
  send(x, to, list_group(x->members, to, mt_countof(to)));
}

static void pass_on_all (mt_share_exchange_t *x) {
  mtV_each (&x->domains, i) {
    mt_share_sum_t *sum = x->domains.vals[i];
    if (sum->to_pass_on) pass_on(x, sum);
    sum->to_pass_on = false;
  }
}

/* }== */

/* {== Taking =========================================================== */

/* How long a router counts that was heard: by its heartbeats, if any came. */
static mt_ms_t heartbeat_valid (const mt_peer_t *peer) {
  return peer->heartbeats_valid != 0 ? peer->heartbeats_valid
                                     : VOUCHED_MAX_MS;
}

static void on_hello (mt_share_exchange_t *x, mt_peer_t *peer,
                      const mt_peer_message_t *m) {
  peer->shares_valid = valid_for(m);
  peer->valid = mt_min(peer->shares_valid, heartbeat_valid(peer));
  peer->shares_heard = x->members->now;
  keep_shares(&peer->shares, &peer->shares_count, &peer->shares_cap, m);
  if (m->members_count > 0) { /* the first is the sender */
    peer->domain = m->members[0].domain;
    peer->source = m->members[0].source;
  }
  mt_membership_note_groups(x->members, peer->domain, m->groups);
  take_members(x->members, m, false);
}

static void on_summary (mt_share_exchange_t *x, const mt_peer_message_t *m) {
  if (m->members_count == 0) return;
  take_members(x->members, m, true);
  if (m->members[0].domain != x->members->own_domain) return;
  if (m->group < mt_countof(x->groups)) keep_sum(x, &x->groups[m->group], m);
}

static void on_domain (mt_share_exchange_t *x, const mt_peer_t *peer,
                       const mt_peer_message_t *m) {
  if (m->members_count == 0) return;
  mt_id_t domain = m->members[0].domain;
  if (domain == 0 || domain == x->members->own_domain) return;
  mt_membership_note_groups(x->members, domain, m->groups);
  take_members(x->members, m, true);
  mt_share_sum_t *sum = mtV_get(&x->domains, domain);
  if (sum == NULL && x->domains.used >= MT_MEMBERSHIP_DOMAINS) return;
  if (sum == NULL) {
    sum = mtV_new(sizeof *sum);
    mtV_put(&x->domains, domain, sum);
  }
  keep_sum(x, sum, m);
  keep_members(sum, m);
  /* What a router of the own domain sends was passed on by it. */
  if (!mt_membership_is_near(x->members, peer)) sum->to_pass_on = true;
}

void mt_share_exchange_take (mt_share_exchange_t *x, mt_peer_t *peer,
                             const mt_peer_message_t *m) {
  switch (m->kind) {
    case MT_PEER_HELLO: on_hello(x, peer, m); break;
    case MT_PEER_SUMMARY: on_summary(x, m); break;
    case MT_PEER_DOMAIN: on_domain(x, peer, m); break;
    case MT_PEER_WELCOME:
      if (m->pace > 0) peer->valid = peer->heartbeats_valid = valid_for(m);
      take_members(x->members, m, true);
      break;
    default: break;
  }
}

/* }== */

/* The time that some bytes take at a rate, within which nothing is told. */
static mt_ms_t pace_of (size_t bytes, size_t bytes_per_s, mt_ms_t least) {
  return mt_max((mt_ms_t)(1000 * bytes / bytes_per_s), least);
}

/* Who serves in the own failure domain, between rounds that come rarely. */
static void tell_heartbeat (mt_share_exchange_t *x) {
  size_t before = x->bytes;
  tell_group(x);
  x->heartbeat =
      pace_of(x->bytes - before, HEARTBEAT_BYTES_PER_S, HEARTBEAT_MS);
  x->next_heartbeat = x->members->now + x->heartbeat;
  x->bytes = before;
}

void mt_share_exchange_tick (mt_share_exchange_t *x) {
  bool tells = x->members->now >= x->next_round;
  if (!tells && x->members->now < x->next_sum) return;
  x->next_sum = x->members->now + SUM_MS;
  sum_group(x);
  if (!tells && x->members->now >= x->next_heartbeat) tell_heartbeat(x);
  if (tells) {
    greet(x);
    summarize(x);
  }
  sum_domain(x);
  if (tells) {
    mt_ms_t valid = valid_at(x->pace);
    speak(x);
    pass_on_all(x);
    x->pace = pace_of(x->bytes, BYTES_PER_S, INTERVAL_MIN_MS);
    x->next_round = x->members->now + x->pace;
    /* However far off the next round is, what was told still counts then. */
    x->next_heartbeat = x->members->now + mt_min(x->heartbeat, valid / 2);
    x->bytes = 0;
  }
  sum_fleet(x);
}

void mt_share_exchange_open (mt_share_exchange_t *x, mt_membership_t *members,
                             mt_fair_share_t *shares,
                             const mt_share_exchange_calls_t *calls) {
  *x = (mt_share_exchange_t){.members = members,
                             .shares = shares,
                             .calls = *calls,
                             .pace = INTERVAL_MIN_MS,
                             .heartbeat = HEARTBEAT_MS};
}

void mt_share_exchange_free (mt_share_exchange_t *x) {
  for (size_t i = 0; i < mt_countof(x->groups); i++)
    free(x->groups[i].shares);
  mtV_each (&x->domains, i) {
    mt_share_sum_t *sum = x->domains.vals[i];
    free(sum->shares);
    free(sum->members);
    free(sum);
  }
  mtV_free(&x->domains);
}
