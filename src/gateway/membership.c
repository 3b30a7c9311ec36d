/*
** membership.c - which routers serve, in which groups, and who keeps what
*/
#include <stdlib.h>

#include "membership.h"

#define LOST_MS 2500    /* without a word it no longer counts */
#define PROBE_MS 1000   /* between questions to who does not answer */
#define YOUNG_MS 3000   /* after the start: at each occasion */
#define FORGET_MS 60000 /* an address is not tried any more */
#define ADDRESSES_MAX 1024
#define ANSWER_MS 80   /* a keeper answers within that */
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
    if (m->count >= ADDRESSES_MAX) return NULL;
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
  mt_ms_t last = mt_max(p->heard, p->told);
  return last != 0 && m->now - last < p->valid;
}

/* As many groups as members in each, about. */
static uint32_t groups_for (int members) {
  uint32_t groups = 1;
  while ((int)(groups * groups) < members) groups *= 2;
  return groups;
}

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

bool mt_membership_probes (mt_membership_t *m, mt_peer_t *peer) {
  bool young = m->now - m->opened < YOUNG_MS;
  if (!young && m->now - peer->probed < PROBE_MS) return false;
  peer->probed = m->now;
  return true;
}

void mt_membership_update (mt_membership_t *m, mt_ms_t now) {
  m->now = now;
  if (m->opened == 0) m->opened = now;
  m->live = 1;
  for (size_t i = m->count; i-- > 0;) {
    mt_peer_t *peer = m->list[i];
    judge_answers(m, peer);
    if (mt_membership_is_live(m, peer))
      m->live++;
    else if (now - peer->known > FORGET_MS)
      forget(m, i);
  }
  m->groups = groups_for(m->live);
}

uint32_t mt_membership_group (const mt_membership_t *m, uint32_t ip) {
  return (uint32_t)mtV_mix(ip, 1) & (m->groups - 1);
}

bool mt_membership_tells (const mt_membership_t *m, uint32_t ip) {
  uint32_t own = mt_membership_group(m, m->own_ip);
  uint64_t weight = mtV_mix(m->own_ip, ip);
  for (size_t i = 0; i < m->count; i++) {
    const mt_peer_t *peer = m->list[i];
    if (mt_membership_group(m, peer->ip) != own) continue;
    if (!mt_membership_is_live(m, peer)) continue;
    if (mtV_mix(peer->ip, ip) > weight) return false;
  }
  return true;
}

/* The greatest hash among the routers of a failure domain; 0: all domains. */
static uint32_t heaviest (const mt_membership_t *m, uint64_t engine,
                          mt_id_t domain) {
  uint32_t best = 0;
  uint64_t best_weight = 0;
  if (domain == 0 || domain == m->own_domain) {
    best = m->own_ip;
    best_weight = mtV_mix(engine, m->own_ip);
  }
  for (size_t i = 0; i < m->count; i++) {
    const mt_peer_t *peer = m->list[i];
    if (domain != 0 && peer->domain != domain) continue;
    if (peer->suspect > m->now || !mt_membership_is_live(m, peer)) continue;
    uint64_t weight = mtV_mix(engine, peer->ip);
    if (best != 0 && weight <= best_weight) continue;
    best = peer->ip;
    best_weight = weight;
  }
  return best;
}

uint32_t mt_membership_keeper (const mt_membership_t *m, uint64_t engine,
                               mt_id_t domain) {
  uint32_t keeper = heaviest(m, engine, domain);
  return keeper != 0 ? keeper : heaviest(m, engine, 0);
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
