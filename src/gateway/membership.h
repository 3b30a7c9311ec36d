/*
** membership.h - which routers serve, in which groups, and who owns what
**
** The routers of a failure domain are divided into groups by a hash of their
** address. Each hears the routers of its own group directly, and of every
** other group of its domain through one of that group's members. What one
** domain tells another goes to one router of each group there, which passes
** it on. All arithmetic here is the same at every router, so nobody has to be
** appointed.
*/
#ifndef membership_h
#define membership_h

#include "peer_message.h"

/* An address where a router is or may be. */
typedef struct mt_peer_t {
  uint32_t ip;        /* network order */
  mt_id_t domain;     /* 0: not known */
  bool source;        /* it reaches where declarations come from */
  mt_ms_t known;      /* last named by anybody */
  mt_ms_t heard;      /* last message of its own; 0: never */
  mt_ms_t told_until; /* somebody who hears it says that it serves, and that
                         counts until then */
  mt_ms_t valid;      /* a message counts for so long */
  mt_ms_t heartbeats_valid; /* its last heartbeat did; 0: none came */
  mt_ms_t probed;           /* last message to it while it did not serve */
  uint64_t boot, number;
  uint64_t greeted; /* the boot that was last told what is known here */
  mt_ms_t greeted_at;
  mt_revision_t
      told[MT_FEEDS]; /* all changes of a feed up to there it knows */
  mt_ms_t asked;      /* the oldest question it has not answered; 0: none */
  mt_ms_t suspect;    /* owns no engine until then */
  mt_ms_t shares_heard, shares_valid; /* they count for so long */
  mt_peer_share_t *shares;            /* of its own, for its group */
  size_t shares_count, shares_cap;
} mt_peer_t;

#define MT_MEMBERSHIP_DOMAINS 64 /* failure domains that are told apart */
#define MT_MEMBERSHIP_GROUPS 32  /* groups of one of them */

/* Another failure domain. */
typedef struct mt_member_domain_t {
  mt_id_t id;
  int live; /* its routers that serve, as far as is known here */
  uint32_t
      told; /* its groups, as one of its routers last said; 0: none did */
} mt_member_domain_t;

typedef struct mt_membership_t {
  uint32_t own_ip;
  mt_id_t own_domain;
  bool own_source;
  mt_map_t by_ip; /* mt_peer_t, owned */
  mt_peer_t **list;
  size_t count, cap;
  uint64_t refused;    /* addresses that were not taken: there are too many */
  mt_ms_t now, opened; /* opened: of the first update */
  uint32_t groups;     /* of the own failure domain: a power of two */
  int live;            /* routers that serve, this one included */
  mt_member_domain_t domains[MT_MEMBERSHIP_DOMAINS]; /* without the own one */
  size_t domains_count;
} mt_membership_t;

void mt_membership_free (mt_membership_t *members);

/* The peer at that address, made if it is new; NULL for this router itself.
 */
mt_peer_t *mt_membership_know (mt_membership_t *members, uint32_t ip);

bool mt_membership_is_live (const mt_membership_t *members,
                            const mt_peer_t *peer);

/* True in the first seconds of this router. */
bool mt_membership_is_young (const mt_membership_t *members);

/*
** True when it is time to ask an address where nobody is known to serve;
** notes that it is asked. A router that has just started asks often: all
** may have lost power together, and until they know each other each of
** them fills engines as if it were alone.
*/
bool mt_membership_probes (mt_membership_t *members, mt_peer_t *peer);

/* Counts who serves, forgets addresses of long ago; some times a second. */
void mt_membership_update (mt_membership_t *members, mt_ms_t now);

/* True for a router of the own failure domain. */
bool mt_membership_is_near (const mt_membership_t *members,
                            const mt_peer_t *peer);

/* The group of a router of the own failure domain. */
uint32_t mt_membership_group (const mt_membership_t *members, uint32_t ip);

/*
** True when this router is the one of its group that tells `ip`, a router of
** another group of its failure domain.
*/
bool mt_membership_tells (const mt_membership_t *members, uint32_t ip);

/* One of another failure domain says into how many groups that is divided. */
void mt_membership_note_groups (mt_membership_t *members, mt_id_t domain,
                                uint32_t groups);

/*
** The routers of other failure domains to whom this one speaks for its own
** domain; at most `most`. Together the routers of a domain speak to one
** router of each group of every other domain.
*/
size_t mt_membership_spoken_to (const mt_membership_t *members,
                                mt_peer_t **list, size_t most);

/* Some routers that serve, from a random one on; how many. */
size_t mt_membership_some (const mt_membership_t *members, uint64_t *random,
                           uint32_t *to, size_t most);

/*
** The router that owns an engine's book: one of the engine's failure domain
*if any
** serves there. The own address when it is this one.
*/
uint32_t mt_membership_owner (const mt_membership_t *members, uint64_t engine,
                              mt_id_t domain);

/*
** True when this router owns the engine whomever others pass over since it
** left a question unanswered.
*/
bool mt_membership_owns (const mt_membership_t *members, uint64_t engine,
                         mt_id_t domain);

/*
** The part of all known routers that serve as far as is known here, 0 to 1.
** Of routers that do not hear each other the parts add up to 1 at most. 0 in
** the first second, when most others are not known yet.
*/
double mt_membership_reach (const mt_membership_t *members);

/*
** True when this router watches the source of declarations: all do in a
** small fleet; in a larger one some of each failure domain, and the others
** hear from them.
*/
bool mt_membership_watches (const mt_membership_t *members);

/* True when it does so for others, too. */
bool mt_membership_leads (const mt_membership_t *members);

#endif
