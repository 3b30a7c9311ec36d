/*
** membership.h - which routers are live, their groups, and who owns what
**
** The routers of a failure domain are divided into groups by a hash of their
** address. A router receives the messages of its own group directly, and a
** summary of every other group of its domain from one member of that group.
** What a domain sends to another goes to one router of each group there,
** which forwards it within the group. All roles (owner, sender, watcher)
** follow from hashes that are the same at every router, so no election is
** needed.
*/
#ifndef membership_h
#define membership_h

#include "peer_message.h"

/* An address where a router is or may be. Fields named `valid` are lengths of
   time, all others of type mt_ms_t are points in time. */
typedef struct mt_peer_t {
  uint32_t ip;              /* network order */
  mt_id_t domain;           /* failure domain; 0: not known */
  bool reaches_source;      /* it reaches the configuration source */
  mt_ms_t last_named;       /* when any message last named the address */
  mt_ms_t last_seen;        /* its last message; 0: none came */
  mt_ms_t reported_until;   /* live until then, as reported by a router that
                               receives its messages */
  mt_ms_t valid;            /* how long it is live after a message */
  mt_ms_t heartbeats_valid; /* the same by its last heartbeat; 0: none came */
  mt_ms_t probed;           /* last probe sent while it was not live */
  uint64_t boot, number;    /* its process and last message, see
                               peer_message.h */
  uint64_t synced_boot;     /* its process that was last sent known drains,
                               suspects and members */
  mt_ms_t synced_at;
  /* By feed: the revision up to which it knows all changes. */
  mt_revision_t received[MT_FEEDS];
  /* By feed: when it was last requested to send missing changes; 0: never. */
  mt_ms_t requested_at[MT_FEEDS];
  mt_ms_t unanswered_since; /* when its oldest unanswered question was sent;
                               0: none */
  mt_ms_t suspect_until;    /* owns no engine until then */
  /* When `shares` came, and for how long they are valid. */
  mt_ms_t shares_received, shares_valid;
  mt_peer_share_t *shares; /* its own workspaces' rates, if in this group */
  size_t shares_count, shares_cap;
} mt_peer_t;

#define MT_MEMBERSHIP_DOMAINS 64 /* other failure domains, at most */
#define MT_MEMBERSHIP_GROUPS 32  /* groups of one domain, at most */
/* Routers of its own failure domain that a router tells of a stream. */
#define MT_MEMBERSHIP_LOCAL_TOLD 2

/* Another failure domain. */
typedef struct mt_member_domain_t {
  mt_id_t id;
  int live;                 /* live routers known here */
  uint32_t groups_reported; /* number of its groups as it reported, or 0 */
} mt_member_domain_t;

typedef struct mt_membership_t {
  uint32_t own_ip;
  mt_id_t own_domain;
  bool own_reaches_source;
  mt_map_t by_ip; /* mt_peer_t, owned */
  mt_peer_t **list;
  size_t count, cap;
  uint64_t refused;     /* addresses not added because there are too many */
  mt_ms_t now, started; /* times of the last and the first update */
  uint32_t groups;      /* in this failure domain: a power of two */
  int live;             /* live routers, this one included */
  mt_member_domain_t domains[MT_MEMBERSHIP_DOMAINS]; /* all other ones */
  size_t domains_count;
  bool has_seeds; /* there may be other routers */
} mt_membership_t;

void mt_membership_free (mt_membership_t *members);

/* The peer at that address, added if it is new. NULL for this router itself
   and if there are too many. */
mt_peer_t *mt_membership_add (mt_membership_t *members, uint32_t ip);

bool mt_membership_is_live (const mt_membership_t *members,
                            const mt_peer_t *peer);

/* True in the first seconds after this router's start. */
bool mt_membership_is_starting (const mt_membership_t *members);

/*
** True if a probe of an address without a live router is due; then records
** that it is sent. A router that has just started probes often: all may have
** lost power together, and until they have found each other each of them
** loads the engines as if it were alone.
*/
bool mt_membership_should_probe (mt_membership_t *members, mt_peer_t *peer);

/* Counts live routers and removes addresses that have expired; to be called
   several times a second. */
void mt_membership_update (mt_membership_t *members, mt_ms_t now);

/* True for a router of this router's failure domain. */
bool mt_membership_is_local (const mt_membership_t *members,
                             const mt_peer_t *peer);

/* The group of a router of this failure domain, 0 to `groups` - 1. */
uint32_t mt_membership_group (const mt_membership_t *members, uint32_t ip);

/*
** True if this router is the member of its group that sends the group's
** summary to `ip`, a router of another group of the failure domain.
*/
bool mt_membership_sends_to (const mt_membership_t *members, uint32_t ip);

/* Another failure domain reports the number of its groups. Ignored unless it
   is a power of two. */
void mt_membership_set_groups (mt_membership_t *members, mt_id_t domain,
                               uint32_t groups);

/*
** The routers of other failure domains to which this one sends its domain's
** summary, at most `max`; returns their number. Together the routers of a
** domain send it to one router of each group of every other domain.
*/
size_t mt_membership_domain_receivers (const mt_membership_t *members,
                                       mt_peer_t **list, size_t max);

/* Addresses of at most `max` live routers, from a random one of the list on;
   returns their number. */
size_t mt_membership_sample (const mt_membership_t *members, uint64_t *random,
                             uint32_t *to, size_t max);

/*
** Address of the router that owns an engine: one of the engine's failure
** domain if any is live there, else of any domain.
*/
uint32_t mt_membership_owner (const mt_membership_t *members, uint64_t engine,
                              mt_id_t domain);

/*
** True if this router owns the engine even when suspected routers, which have
** not answered a question in time, are counted as possible owners.
*/
bool mt_membership_owns (const mt_membership_t *members, uint64_t engine,
                         mt_id_t domain);

/*
** Addresses of the live routers of a failure domain with the greatest hashes
** with the key, in this order, without this router; at most `max`. Returns
** their number.
*/
size_t mt_membership_rank_routers (const mt_membership_t *members,
                                   uint64_t key, mt_id_t domain, uint32_t *to,
                                   size_t max);

/* The other failure domains with live routers that have the greatest hashes
   with the key, in this order; at most `max`. Returns their number. */
size_t mt_membership_rank_domains (const mt_membership_t *members,
                                   uint64_t key, mt_id_t *domains,
                                   size_t max);

/*
** The failure domains with other routers, whether or not one of them is
** heard: a domain that is cut off goes on. A bit that stands for none is
** added if not all are known, as a router has only been named. This
** router's own domain is left out where it has so few routers that this one
** is told by each of them.
*/
mt_domain_set_t mt_membership_domains (const mt_membership_t *members);

/* The failure domain of a router; empty if it is not known. */
mt_domain_set_t mt_membership_domain_of (const mt_membership_t *members,
                                         uint32_t ip);

/*
** Live routers as a fraction of all known ones, 0 to 1. Over the sides of a
** network partition the fractions add up to 1 at most. 0 in the first 1.5 s,
** when most other routers are not known yet.
*/
double mt_membership_live_fraction (const mt_membership_t *members);

/*
** True if this router watches the configuration source: in a small fleet all
** routers do, in a larger one two of each failure domain, which send the
** changes to the others.
*/
bool mt_membership_watches (const mt_membership_t *members);

/* True if it does so on behalf of other routers. */
bool mt_membership_watches_for_domain (const mt_membership_t *members);

#endif
