/*
** membership.c - which routers are live, their groups, and who owns what
*/
#include <stdlib.h>

#include "membership.h"

/* After a message a peer is live so long, unless later messages name another
   time. */
#define PEER_TIMEOUT_MS 2500
#define PROBE_INTERVAL_MS 1000 /* between probes of one address */
/* For so long after the start that interval does not apply. */
#define STARTUP_MS 3000
/* After the start peers may not be known yet, and the present owners of
   engines do not know this router. */
#define SETTLE_MS 1500
#define PEER_EXPIRY_MS 60000 /* an address not named so long is removed */
/* Forged datagrams may name addresses, so their number is bounded. This is
   enough for 2,000 routers that were all replaced lately. */
#define ADDRESSES_MAX 4096
#define ANSWER_TIMEOUT_MS 80 /* an owner that takes longer is suspected */
#define SUSPECT_MS 700 /* a suspected router owns no engine for so long */
#define WATCHERS_PER_DOMAIN 2 /* of the source, in each failure domain */
#define ALL_WATCH_BELOW 9 /* in a fleet of fewer routers all are watchers */

#define RANKED_MAX 8 /* routers or failure domains in one ranking */

#define WATCH_SALT 0x9d5f1c3a7b2e8463u

/* Bits of a domain set: this router's own domain; `domains` behind that;
   those that are not known, or have no bit of their own. */
#define OWN_DOMAIN ((mt_domain_set_t)1)
#define UNKNOWN_DOMAIN ((mt_domain_set_t)1 << 63)

static void free_peer (mt_peer_t *peer) {
  free(peer->shares);
  free(peer);
}

void mt_membership_free (mt_membership_t *m) {
  for (size_t i = 0; i < m->count; i++) free_peer(m->list[i]);
  free(m->list);
  mtV_free(&m->by_ip);
}

mt_peer_t *mt_membership_add (mt_membership_t *m, uint32_t ip) {
  if (ip == 0 || ip == m->own_ip) return NULL;
  mt_peer_t *peer = mtV_get(&m->by_ip, ip);
  if (peer == NULL) {
    if (m->count >= ADDRESSES_MAX) {
      m->refused++;
      return NULL;
    }
    peer = mtV_new(sizeof *peer);
    peer->ip = ip;
    peer->valid = PEER_TIMEOUT_MS;
    mtV_put(&m->by_ip, ip, peer);
    *mtV_push(m->list, m->count, m->cap) = peer;
  }
  peer->last_named = m->now;
  return peer;
}

bool mt_membership_is_live (const mt_membership_t *m, const mt_peer_t *p) {
  bool seen = p->last_seen != 0 && m->now - p->last_seen < p->valid;
  return seen || m->now < p->reported_until;
}

/* The smallest power of two whose square is at least `members`: about as many
   groups as routers in each group. */
static uint32_t count_groups (int members) {
  uint32_t groups = 1;
  while ((int)(groups * groups) < members) groups *= 2;
  return groups;
}

/* {== Other failure domains ============================================ */

/* The entry of another failure domain, added if it is new. NULL for id 0, for
   this router's own domain, and if there are too many. */
static mt_member_domain_t *get_domain (mt_membership_t *m, mt_id_t id) {
  if (id == 0 || id == m->own_domain) return NULL;
  for (size_t i = 0; i < m->domains_count; i++)
    if (m->domains[i].id == id) return &m->domains[i];
  if (m->domains_count >= MT_MEMBERSHIP_DOMAINS) return NULL;
  m->domains[m->domains_count] = (mt_member_domain_t){.id = id};
  return &m->domains[m->domains_count++];
}

void mt_membership_set_groups (mt_membership_t *m, mt_id_t domain,
                               uint32_t groups) {
  bool power_of_two = groups != 0 && (groups & (groups - 1)) == 0;
  mt_member_domain_t *d = power_of_two ? get_domain(m, domain) : NULL;
  if (d != NULL)
    d->groups_reported = mt_min(groups, (uint32_t)MT_MEMBERSHIP_GROUPS);
}

/*
** Number of groups in another domain: the greater one of what it reports and
** what follows from its live routers known here. If it is too great, some
** groups receive a message twice; if too small, some would miss it.
*/
static uint32_t domain_groups (const mt_member_domain_t *d) {
  uint32_t seen = count_groups(d->live);
  return mt_min(mt_max(seen, d->groups_reported),
                (uint32_t)MT_MEMBERSHIP_GROUPS);
}

/* }== */

static void remove_peer (mt_membership_t *m, size_t index) {
  mt_peer_t *peer = m->list[index];
  m->list[index] = m->list[--m->count];
  mtV_del(&m->by_ip, peer->ip);
  free_peer(peer);
}

/* Suspects a peer that has not answered a question in time. */
static void check_answer (mt_membership_t *m, mt_peer_t *peer) {
  if (peer->unanswered_since == 0 ||
      m->now - peer->unanswered_since < ANSWER_TIMEOUT_MS)
    return;
  peer->unanswered_since = 0;
  peer->suspect_until = m->now + SUSPECT_MS;
}

bool mt_membership_is_starting (const mt_membership_t *m) {
  return m->now - m->started < STARTUP_MS;
}

bool mt_membership_should_probe (mt_membership_t *m, mt_peer_t *peer) {
  if (!mt_membership_is_starting(m) &&
      m->now - peer->probed < PROBE_INTERVAL_MS)
    return false;
  peer->probed = m->now;
  return true;
}

bool mt_membership_is_local (const mt_membership_t *m, const mt_peer_t *p) {
  return p->domain == m->own_domain;
}

void mt_membership_update (mt_membership_t *m, mt_ms_t now) {
  int local_count = 1;
  m->now = now;
  if (m->started == 0) m->started = now;
  m->live = 1;
  for (size_t i = 0; i < m->domains_count; i++) m->domains[i].live = 0;
  for (size_t i = m->count; i-- > 0;) {
    mt_peer_t *peer = m->list[i];
    check_answer(m, peer);
    if (mt_membership_is_live(m, peer)) {
      mt_member_domain_t *domain = get_domain(m, peer->domain);
      m->live++;
      local_count += mt_membership_is_local(m, peer);
      if (domain != NULL) domain->live++;
    } else if (now - peer->last_named > PEER_EXPIRY_MS) {
      remove_peer(m, i);
    }
  }
  m->groups = count_groups(local_count);
}

uint32_t mt_membership_group (const mt_membership_t *m, uint32_t ip) {
  return (uint32_t)mtV_mix(ip, 1) & (m->groups - 1);
}

bool mt_membership_sends_to (const mt_membership_t *m, uint32_t ip) {
  uint32_t own = mt_membership_group(m, m->own_ip);
  uint64_t hash = mtV_mix(m->own_ip, ip);
  for (size_t i = 0; i < m->count; i++) {
    const mt_peer_t *peer = m->list[i];
    if (!mt_membership_is_local(m, peer)) continue;
    if (mt_membership_group(m, peer->ip) != own) continue;
    if (!mt_membership_is_live(m, peer)) continue;
    if (mtV_mix(peer->ip, ip) > hash) return false;
  }
  return true;
}

/* {== Sending for the failure domain =================================== */

/* True if this router, of all in its failure domain, has the greatest hash
   for sending to `ip`. */
static bool sends_for_domain (const mt_membership_t *m, uint32_t ip) {
  uint64_t hash = mtV_mix(m->own_ip, ip);
  for (size_t i = 0; i < m->count; i++) {
    const mt_peer_t *peer = m->list[i];
    if (!mt_membership_is_local(m, peer)) continue;
    if (!mt_membership_is_live(m, peer)) continue;
    if (mtV_mix(peer->ip, ip) > hash) return false;
  }
  return true;
}

/* A live router of another failure domain. */
typedef struct remote_t {
  mt_peer_t *peer;
  size_t domain; /* index in `domains` */
  uint32_t group;
  uint64_t hash;
} remote_t;

static int compare_remotes (const void *a, const void *b) {
  const remote_t *x = a, *y = b;
  if (x->domain != y->domain) return x->domain < y->domain ? -1 : 1;
  if (x->group != y->group) return x->group < y->group ? -1 : 1;
  return (x->hash > y->hash) - (x->hash < y->hash);
}

static bool same_group (const remote_t *x, const remote_t *y) {
  return x->domain == y->domain && x->group == y->group;
}

/* Lists the live routers of other domains, sorted by domain, group and hash;
   returns their number. The caller frees the list. */
static size_t list_remotes (const mt_membership_t *m, remote_t **list) {
  remote_t *remotes = mtV_new((m->count + 1) * sizeof *remotes);
  size_t count = 0;
  for (size_t i = 0; i < m->count; i++) {
    mt_peer_t *peer = m->list[i];
    size_t at = 0;
    while (at < m->domains_count && m->domains[at].id != peer->domain) at++;
    if (at == m->domains_count || !mt_membership_is_live(m, peer)) continue;
    uint64_t hash = mtV_mix(peer->ip, 1);
    uint32_t group = (uint32_t)hash & (domain_groups(&m->domains[at]) - 1);
    remotes[count++] = (remote_t){peer, at, group, hash};
  }
  qsort(remotes, count, sizeof *remotes, compare_remotes);
  *list = remotes;
  return count;
}

/*
** Which member of a group in the given domain receives this domain's summary,
** counted in the group's order. It differs from one sending domain to the
** next, so that the members share the work of forwarding.
*/
static size_t rotation (const mt_membership_t *m, size_t domain) {
  size_t offset = 0;
  for (size_t i = 0; i < m->domains_count; i++)
    offset += i != domain && m->domains[i].id < m->own_domain;
  return offset;
}

size_t mt_membership_domain_receivers (const mt_membership_t *m,
                                       mt_peer_t **list, size_t max) {
  remote_t *remotes;
  size_t remotes_count = list_remotes(m, &remotes), count = 0;
  for (size_t first = 0, end; first < remotes_count; first = end) {
    for (end = first + 1; end < remotes_count; end++)
      if (!same_group(&remotes[first], &remotes[end])) break;
    size_t offset = rotation(m, remotes[first].domain) % (end - first);
    mt_peer_t *peer = remotes[first + offset].peer;
    if (count < max && sends_for_domain(m, peer->ip)) list[count++] = peer;
  }
  free(remotes);
  return count;
}

/* }== */

/*
** Rendezvous hashing: the address of the live router of a failure domain (0:
** of all domains) that has the greatest hash with the engine; 0: there is
** none. `suspects`: suspected routers count, too.
*/
static uint32_t highest_hash (const mt_membership_t *m, uint64_t engine,
                              mt_id_t domain, bool suspects) {
  uint32_t best = 0;
  uint64_t best_hash = 0;
  if (domain == 0 || domain == m->own_domain) {
    best = m->own_ip;
    best_hash = mtV_mix(engine, m->own_ip);
  }
  for (size_t i = 0; i < m->count; i++) {
    const mt_peer_t *peer = m->list[i];
    if (domain != 0 && peer->domain != domain) continue;
    if (!suspects && peer->suspect_until > m->now) continue;
    if (!mt_membership_is_live(m, peer)) continue;
    uint64_t hash = mtV_mix(engine, peer->ip);
    if (best != 0 && hash <= best_hash) continue;
    best = peer->ip;
    best_hash = hash;
  }
  return best;
}

size_t mt_membership_sample (const mt_membership_t *members, uint64_t *random,
                             uint32_t *to, size_t max) {
  size_t count = 0, first = 0;
  if (members->count > 0) first = mtV_random(random) % members->count;
  for (size_t i = 0; i < members->count && count < max; i++) {
    const mt_peer_t *peer = members->list[(first + i) % members->count];
    if (mt_membership_is_live(members, peer)) to[count++] = peer->ip;
  }
  return count;
}

uint32_t mt_membership_owner (const mt_membership_t *m, uint64_t engine,
                              mt_id_t domain) {
  uint32_t owner = highest_hash(m, engine, domain, false);
  return owner != 0 ? owner : highest_hash(m, engine, 0, false);
}

bool mt_membership_owns (const mt_membership_t *m, uint64_t engine,
                         mt_id_t domain) {
  uint32_t owner = highest_hash(m, engine, domain, true);
  if (owner == 0) owner = highest_hash(m, engine, 0, true);
  return owner == m->own_ip;
}

/* {== Ranking by hash ================================================== */

/* A list of names by descending hash, of the greatest ones. */
typedef struct ranking_t {
  uint32_t *names;
  uint64_t hashes[RANKED_MAX];
  size_t count, max;
} ranking_t;

static ranking_t begin_ranking (uint32_t *names, size_t max) {
  return (ranking_t){.names = names, .max = mt_min(max, (size_t)RANKED_MAX)};
}

static void rank (ranking_t *ranking, uint32_t name, uint64_t hash) {
  size_t at = ranking->count;
  while (at > 0 && ranking->hashes[at - 1] < hash) at--;
  if (at == ranking->max) return;
  ranking->count = mt_min(ranking->count + 1, ranking->max);
  for (size_t i = ranking->count - 1; i > at; i--) {
    ranking->names[i] = ranking->names[i - 1];
    ranking->hashes[i] = ranking->hashes[i - 1];
  }
  ranking->names[at] = name;
  ranking->hashes[at] = hash;
}

size_t mt_membership_rank_routers (const mt_membership_t *m, uint64_t key,
                                   mt_id_t domain, uint32_t *to, size_t max) {
  ranking_t ranking = begin_ranking(to, max);
  for (size_t i = 0; i < m->count; i++) {
    const mt_peer_t *peer = m->list[i];
    if (peer->domain != domain || !mt_membership_is_live(m, peer)) continue;
    rank(&ranking, peer->ip, mtV_mix(key, peer->ip));
  }
  return ranking.count;
}

size_t mt_membership_rank_domains (const mt_membership_t *m, uint64_t key,
                                   mt_id_t *domains, size_t max) {
  ranking_t ranking = begin_ranking(domains, max);
  for (size_t i = 0; i < m->domains_count; i++)
    if (m->domains[i].live > 0)
      rank(&ranking, m->domains[i].id, mtV_mix(key, m->domains[i].id));
  return ranking.count;
}

/* }== */

/* {== Sets of failure domains ========================================== */

static mt_domain_set_t domain_bit (size_t index) {
  return index < 62 ? OWN_DOMAIN << (index + 1) : UNKNOWN_DOMAIN;
}

/* The bit of a failure domain; UNKNOWN_DOMAIN if it has none. */
static mt_domain_set_t bit_of (const mt_membership_t *m, mt_id_t domain) {
  if (domain == m->own_domain) return OWN_DOMAIN;
  for (size_t i = 0; i < m->domains_count; i++)
    if (m->domains[i].id == domain) return domain_bit(i);
  return UNKNOWN_DOMAIN;
}

mt_domain_set_t mt_membership_domains (const mt_membership_t *m) {
  mt_domain_set_t set = 0;
  size_t local = 0;
  for (size_t i = 0; i < m->domains_count; i++) set |= domain_bit(i);
  for (size_t i = 0; i < m->count; i++) {
    bool is_local = mt_membership_is_local(m, m->list[i]);
    local += is_local;
    if (!is_local) set |= bit_of(m, m->list[i]->domain);
  }
  if (local > MT_MEMBERSHIP_LOCAL_TOLD) set |= OWN_DOMAIN;
  bool alone = set == 0 && local == 0;
  return alone && m->has_seeds ? UNKNOWN_DOMAIN : set;
}

mt_domain_set_t mt_membership_domain_of (const mt_membership_t *m,
                                         uint32_t ip) {
  const mt_peer_t *peer = mtV_get(&m->by_ip, ip);
  return peer != NULL ? bit_of(m, peer->domain) & ~UNKNOWN_DOMAIN : 0;
}

/* }== */

double mt_membership_live_fraction (const mt_membership_t *m) {
  if (m->now - m->started < SETTLE_MS) return 0;
  return (double)m->live / (double)(m->count + 1);
}

/*
** True if the peer goes before this router in the choice of watchers: first
** the routers that reach the source, then by hash. If none reaches it the
** same few keep trying: when the next router took over from each that failed,
** an outage made all routers of a domain try.
*/
static bool outranks (const mt_membership_t *m, const mt_peer_t *peer) {
  uint64_t own = mtV_mix(WATCH_SALT, m->own_ip);
  if (peer->reaches_source != m->own_reaches_source)
    return peer->reaches_source;
  return mtV_mix(WATCH_SALT, peer->ip) > own;
}

bool mt_membership_watches (const mt_membership_t *m) {
  int outranked_by = 0;
  if (m->live < ALL_WATCH_BELOW) return true;
  for (size_t i = 0; i < m->count; i++) {
    const mt_peer_t *peer = m->list[i];
    if (peer->domain != m->own_domain) continue;
    if (!mt_membership_is_live(m, peer)) continue;
    outranked_by += outranks(m, peer);
  }
  return outranked_by < WATCHERS_PER_DOMAIN;
}

bool mt_membership_watches_for_domain (const mt_membership_t *m) {
  return m->live >= ALL_WATCH_BELOW && mt_membership_watches(m);
}
