/*
** share_exchange.h - aggregates workspaces' demand and service over the fleet
**
** There are three levels, so that a router's traffic grows slowly with the
** fleet: a router sends its own rates to its group, the group's sum to the
** other groups of its failure domain, and the domain's sum to other domains,
** where it is forwarded within the groups. The bytes sent in a round set the
** interval until the next one. Messages carry absolute values that expire, so
** the next round makes up for a lost message or router. Where rounds are far
** apart, heartbeats between them show which routers are live.
** There are no sockets here: messages are sent by callbacks.
*/
#ifndef share_exchange_h
#define share_exchange_h

#include "membership.h"

typedef struct mt_share_exchange_callbacks_t {
  /* Starts an outgoing message, with its header. */
  mt_peer_message_t *(*begin)(void *ud, mt_peer_kind_t kind);
  /* Sends that message to each address; returns the size of one in bytes. */
  size_t (*send)(void *ud, const uint32_t *to, size_t count);
  void *ud;
} mt_share_exchange_callbacks_t;

/* The last summary received from a group or another failure domain. */
typedef struct mt_share_summary_t {
  mt_ms_t valid_until, interval; /* `interval`: time until the next one */
  uint32_t groups;               /* number of groups in its failure domain */
  mt_peer_share_t *shares;
  size_t shares_count, shares_cap;
  mt_peer_member_t *members; /* of another domain only */
  size_t members_count, members_cap;
  bool forward_pending; /* received from its domain; not forwarded yet */
} mt_share_summary_t;

typedef struct mt_share_exchange_t {
  mt_membership_t *members;
  mt_fair_share_t *shares;
  mt_share_exchange_callbacks_t callbacks;
  mt_share_summary_t groups[MT_MEMBERSHIP_GROUPS];
  mt_map_t domains;              /* id -> mt_share_summary_t, owned */
  size_t next_named, next_probe; /* indices of members, for taking turns */
  size_t bytes;                  /* sent in this round */
  /* Two points in time, and the time from this round to the next. */
  mt_ms_t next_sum, next_round, interval;
  /* A point in time, and the time from one heartbeat to the next. */
  mt_ms_t next_heartbeat, heartbeat;
} mt_share_exchange_t;

void mt_share_exchange_open (mt_share_exchange_t *exchange,
                             mt_membership_t *members,
                             mt_fair_share_t *shares,
                             const mt_share_exchange_callbacks_t *callbacks);
void mt_share_exchange_free (mt_share_exchange_t *exchange);

/*
** Sums up the rates received from other routers into the shares, and sends
** messages that are due. To be called after mt_membership_update.
*/
void mt_share_exchange_tick (mt_share_exchange_t *exchange);

/* Handles a HELLO, GROUP_SUMMARY, DOMAIN_SUMMARY or MEMBERS message. */
void mt_share_exchange_receive (mt_share_exchange_t *exchange,
                                mt_peer_t *peer,
                                const mt_peer_message_t *message);

/*
** Adds this router and the live ones of the list, from index `first` on, to a
** message. Returns the index of the first that did not fit, or the list's
** count.
*/
size_t mt_share_exchange_list_members (const mt_membership_t *members,
                                       size_t first,
                                       mt_peer_message_t *message);

#endif
