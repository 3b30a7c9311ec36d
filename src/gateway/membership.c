/*
** membership.c - which routers serve, in which groups, and who keeps what
*/
#include <stdlib.h>

#include "membership.h"

#define LOST_MS 2500  /* without a word it no longer counts */
#define PROBE_MS 1000 /* between questions to who does not answer */
#define YOUNG_MS 3000 /* after the start: at each occasion */
/* After the start others may not be known yet, and the routers that kept
   engines before do not know this one. */
#define SETTLE_MS 1500
#define FORGET_MS 60000 /* an address is not tried any more */
/* Anybody may name addresses, so they are bounded: those of 2,000 routers and
   of as many that replaced others lately. */
#define ADDRESSES_MAX 4096
#define ANSWER_MS 80   /* an owner answers within that */
#define SUSPECT_MS 700 /* one that did not keeps nothing for so long */
#define WATCHERS 2     /* of the source, in each failure domain */
#define ALL_WATCH 9    /* a fleet below that is all watchers */

#define WATCH_SALT 0x9d5f1c3a7b2e8463u

static void free_peer (mt_peer_t *peer) {
  free(peer->shares);
  free(peer);
}

void mt_membership_free (mt_membership_t *m) {
  for (size_t i = 0; i < m->count; i++) free_peer(m->list[i]);
  free(m->list);
  mtV_free(&m->by_ip);
}

mt_peer_t *mt_membership_know (mt_membership_t *m, uint32_t ip) {
  if (ip == 0 || ip == m->own_ip) return NULL;
  mt_peer_t *peer = mtV_get(&m->by_ip, ip);
  if (peer == NULL) {
    if (m->count >= ADDRESSES_MAX) {
      m->refused++;
      return NULL;
    }
    peer = mtV_new(sizeof *peer);
    peer->ip = ip;
    peer->valid = LOST_MS;
    mtV_put(&m->by_ip, ip, peer);
    *mtV_push(m->list, m->count, m->cap) = peer;
  }
  peer->known = m->now;
  return peer;
}

bool mt_membership_is_live (const mt_membership_t *m, const mt_peer_t *p) {
  bool heard = p->heard != 0 && m->now - p->heard < p->valid;
  return heard || m->now < p->told_until;
}

/* As many groups as members in each, about. */
static uint32_t groups_for (int members) {
  uint32_t groups = 1;
  while ((int)(groups * groups) < members) groups *= 2;
  return groups;
}

/* {== Other failure domains ============================================ */

/* Its entry, made if it is new; NULL: the own one, unknown, or too many. */
static mt_member_domain_t *domain_of (mt_membership_t *m, mt_id_t id) {
  if (id == 0 || id == m->own_domain) return NULL;
  for (size_t i = 0; i < m->domains_count; i++)
    if (m->domains[i].id == id) return &m->domains[i];
  if (m->domains_count >= MT_MEMBERSHIP_DOMAINS) return NULL;
  m->domains[m->domains_count] = (mt_member_domain_t){.id = id};
  return &m->domains[m->domains_count++];
}

void mt_membership_note_groups (mt_membership_t *m, mt_id_t domain,
                                uint32_t groups) {
  bool power_of_two = groups != 0 && (groups & (groups - 1)) == 0;
  mt_member_domain_t *d = power_of_two ? domain_of(m, domain) : NULL;
  if (d != NULL) d->told = mt_min(groups, (uint32_t)MT_MEMBERSHIP_GROUPS);
}

/*
** Into how many groups another domain is divided. Where it says less than is
** seen here some of its groups hear a thing twice; the other way round some
** would not hear it.
*/
static uint32_t groups_of (const mt_member_domain_t *d) {
  uint32_t seen = groups_for(d->live);
  return mt_min(mt_max(seen, d->told), (uint32_t)MT_MEMBERSHIP_GROUPS);
}

/* }== */

static void forget (mt_membership_t *m, size_t index) {
  mt_peer_t *peer = m->list[index];
  m->list[index] = m->list[--m->count];
  mtV_del(&m->by_ip, peer->ip);
  free_peer(peer);
}

/* One that left a question unanswered keeps nothing for a while. */
static void judge_answers (mt_membership_t *m, mt_peer_t *peer) {
  if (peer->asked == 0 || m->now - peer->asked < ANSWER_MS) return;
  peer->asked = 0;
  peer->suspect = m->now + SUSPECT_MS;
}

bool mt_membership_is_young (const mt_membership_t *m) {
  return m->now - m->opened < YOUNG_MS;
}

bool mt_membership_probes (mt_membership_t *m, mt_peer_t *peer) {
  if (!mt_membership_is_young(m) && m->now - peer->probed < PROBE_MS)
    return false;
  peer->probed = m->now;
  return true;
}

bool mt_membership_is_near (const mt_membership_t *m, const mt_peer_t *p) {
  return p->domain == m->own_domain;
}

void mt_membership_update (mt_membership_t *m, mt_ms_t now) {
  int near = 1;
  m->now = now;
  if (m->opened == 0) m->opened = now;
  m->live = 1;
  for (size_t i = 0; i < m->domains_count; i++) m->domains[i].live = 0;
  for (size_t i = m->count; i-- > 0;) {
    mt_peer_t *peer = m->list[i];
    judge_answers(m, peer);
    if (mt_membership_is_live(m, peer)) {
      mt_member_domain_t *domain = domain_of(m, peer->domain);
      m->live++;
      near += mt_membership_is_near(m, peer);
      if (domain != NULL) domain->live++;
    } else if (now - peer->known > FORGET_MS) {
      forget(m, i);
    }
  }
  m->groups = groups_for(near);
}

uint32_t mt_membership_group (const mt_membership_t *m, uint32_t ip) {
  return (uint32_t)mtV_mix(ip, 1) & (m->groups - 1);
}

bool mt_membership_tells (const mt_membership_t *m, uint32_t ip) {
  uint32_t own = mt_membership_group(m, m->own_ip);
  uint64_t weight = mtV_mix(m->own_ip, ip);
  for (size_t i = 0; i < m->count; i++) {
    const mt_peer_t *peer = m->list[i];
    if (!mt_membership_is_near(m, peer)) continue;
    if (mt_membership_group(m, peer->ip) != own) continue;
    if (!mt_membership_is_live(m, peer)) continue;
    if (mtV_mix(peer->ip, ip) > weight) return false;
  }
  return true;
}

/* {== Speaking for the own failure domain =============================== */

/* True when no other of the own failure domain is nearer to telling `ip`. */
static bool speaks (const mt_membership_t *m, uint32_t ip) {
  uint64_t weight = mtV_mix(m->own_ip, ip);
  for (size_t i = 0; i < m->count; i++) {
    const mt_peer_t *peer = m->list[i];
    if (!mt_membership_is_near(m, peer)) continue;
    if (!mt_membership_is_live(m, peer)) continue;
    if (mtV_mix(peer->ip, ip) > weight) return false;
  }
  return true;
}

/* A router of another failure domain, and where it stands there. */
typedef struct place_t {
  mt_peer_t *peer;
  size_t domain; /* index in the table */
  uint32_t group;
  uint64_t weight;
} place_t;

static int by_place (const void *a, const void *b) {
  const place_t *x = a, *y = b;
  if (x->domain != y->domain) return x->domain < y->domain ? -1 : 1;
  if (x->group != y->group) return x->group < y->group ? -1 : 1;
  return (x->weight > y->weight) - (x->weight < y->weight);
}

static bool same_group (const place_t *x, const place_t *y) {
  return x->domain == y->domain && x->group == y->group;
}

/* All that serve in other domains, sorted; their number. The caller frees the
   list. */
static size_t list_places (const mt_membership_t *m, place_t **list) {
  place_t *places = mtV_new((m->count + 1) * sizeof *places);
  size_t count = 0;
  for (size_t i = 0; i < m->count; i++) {
    mt_peer_t *peer = m->list[i];
    size_t at = 0;
    while (at < m->domains_count && m->domains[at].id != peer->domain) at++;
    if (at == m->domains_count || !mt_membership_is_live(m, peer)) continue;
    uint64_t weight = mtV_mix(peer->ip, 1);
    uint32_t group = (uint32_t)weight & (groups_of(&m->domains[at]) - 1);
    places[count++] = (place_t){peer, at, group, weight};
  }
  qsort(places, count, sizeof *places, by_place);
  *list = places;
  return count;
}

/*
** Each domain in its turn: the members of a group hear different domains, so
** that none has to pass on much more than the others.
*/
static size_t turn_of (const mt_membership_t *m, size_t domain) {
  size_t turn = 0;
  for (size_t i = 0; i < m->domains_count; i++)
    turn += i != domain && m->domains[i].id < m->own_domain;
  return turn;
}

size_t mt_membership_spoken_to (const mt_membership_t *m, mt_peer_t **list,
                                size_t most) {
  place_t *places;
  size_t places_count = list_places(m, &places), count = 0;
  for (size_t first = 0, end; first < places_count; first = end) {
    for (end = first + 1; end < places_count; end++)
      if (!same_group(&places[first], &places[end])) break;
    size_t turn = turn_of(m, places[first].domain) % (end - first);
    mt_peer_t *peer = places[first + turn].peer;
    if (count < most && speaks(m, peer->ip)) list[count++] = peer;
  }
  free(places);
  return count;
}

/* }== */

/*
** The greatest hash among the routers of a failure domain; 0: all domains.
** `suspects`: those that left a question unanswered count, too.
*/
static uint32_t heaviest (const mt_membership_t *m, uint64_t engine,
                          mt_id_t domain, bool suspects) {
  uint32_t best = 0;
  uint64_t best_weight = 0;
  if (domain == 0 || domain == m->own_domain) {
    best = m->own_ip;
    best_weight = mtV_mix(engine, m->own_ip);
  }
  for (size_t i = 0; i < m->count; i++) {
    const mt_peer_t *peer = m->list[i];
    if (domain != 0 && peer->domain != domain) continue;
    if (!suspects && peer->suspect > m->now) continue;
    if (!mt_membership_is_live(m, peer)) continue;
    uint64_t weight = mtV_mix(engine, peer->ip);
    if (best != 0 && weight <= best_weight) continue;
    best = peer->ip;
    best_weight = weight;
  }
  return best;
}

size_t mt_membership_some (const mt_membership_t *members, uint64_t *random,
                           uint32_t *to, size_t most) {
  size_t count = 0, first = 0;
  if (members->count > 0) first = mtV_random(random) % members->count;
  for (size_t i = 0; i < members->count && count < most; i++) {
    const mt_peer_t *peer = members->list[(first + i) % members->count];
    if (mt_membership_is_live(members, peer)) to[count++] = peer->ip;
  }
  return count;
}

uint32_t mt_membership_owner (const mt_membership_t *m, uint64_t engine,
                              mt_id_t domain) {
  uint32_t owner = heaviest(m, engine, domain, false);
  return owner != 0 ? owner : heaviest(m, engine, 0, false);
}

bool mt_membership_owns (const mt_membership_t *m, uint64_t engine,
                         mt_id_t domain) {
  uint32_t owner = heaviest(m, engine, domain, true);
  if (owner == 0) owner = heaviest(m, engine, 0, true);
  return owner == m->own_ip;
}

double mt_membership_reach (const mt_membership_t *m) {
  if (m->now - m->opened < SETTLE_MS) return 0;
  return (double)m->live / (double)(m->count + 1);
}

/*
** Who reaches the source goes before who does not, then the greater hash.
** Where nobody reaches it the same few go on trying: when each that failed
** was followed by the next, an outage set all routers of a domain to trying.
*/
static bool goes_before (const mt_membership_t *m, const mt_peer_t *peer) {
  uint64_t own = mtV_mix(WATCH_SALT, m->own_ip);
  if (peer->source != m->own_source) return peer->source;
  return mtV_mix(WATCH_SALT, peer->ip) > own;
}

bool mt_membership_watches (const mt_membership_t *m) {
  int before = 0;
  if (m->live < ALL_WATCH) return true;
  for (size_t i = 0; i < m->count; i++) {
    const mt_peer_t *peer = m->list[i];
    if (peer->domain != m->own_domain) continue;
    if (!mt_membership_is_live(m, peer)) continue;
    before += goes_before(m, peer);
  }
  return before < WATCHERS;
}

bool mt_membership_leads (const mt_membership_t *m) {
  return m->live >= ALL_WATCH && mt_membership_watches(m);
}
