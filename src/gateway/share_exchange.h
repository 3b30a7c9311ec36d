/*
** share_exchange.h - how what workspaces asked for and got goes round
**
** Three levels, so that what a router sends and hears grows slowly with the
** fleet: its own rates to its group, the group's sum to the other groups of
** its failure domain, the domain's sum to the other domains, where it is
** passed on within groups. What a router sends in one round sets when the
** next one is. Everything told is absolute and expires, so a lost
** message or a lost router does no harm that the next round does not mend.
** Where rounds are far apart, heartbeats between them tell who serves.
** No sockets here: messages go out by calls.
*/
#ifndef share_exchange_h
#define share_exchange_h

#include "membership.h"

typedef struct mt_share_exchange_calls_t {
  /* An empty message of the kind, filled in for the sender. */
  mt_peer_message_t *(*begin)(void *ud, mt_peer_kind_t kind);
  /* Sends the message that was begun to each; the bytes of one. */
  size_t (*send)(void *ud, const uint32_t *to, size_t count);
  void *ud;
} mt_share_exchange_calls_t;

/* What some routers asked for and got, as one of them summed it up. */
typedef struct mt_share_sum_t {
  mt_ms_t valid_until, pace;
  uint32_t groups; /* into how many the sender's domain was divided then */
  mt_peer_share_t *shares;
  size_t shares_count, shares_cap;
  mt_peer_member_t *members; /* of another domain */
  size_t members_count, members_cap;
  bool to_pass_on; /* of another domain, told to this router alone */
} mt_share_sum_t;

typedef struct mt_share_exchange_t {
  mt_membership_t *members;
  mt_fair_share_t *shares;
  mt_share_exchange_calls_t calls;
  mt_share_sum_t groups[MT_MEMBERSHIP_GROUPS];
  mt_map_t domains;              /* id -> mt_share_sum_t, owned */
  size_t next_told, next_probed; /* indices of members */
  size_t bytes;                  /* sent in this round */
  mt_ms_t next_sum, next_round, pace;
  /* Of heartbeats, between rounds that are further apart. */
  mt_ms_t next_heartbeat, heartbeat;
} mt_share_exchange_t;

void mt_share_exchange_open (mt_share_exchange_t *exchange,
                             mt_membership_t *members,
                             mt_fair_share_t *shares,
                             const mt_share_exchange_calls_t *calls);
void mt_share_exchange_free (mt_share_exchange_t *exchange);

/*
** Sums up what others told into the shares; when it is time also tells what
** is known here. After the update of the members.
*/
void mt_share_exchange_tick (mt_share_exchange_t *exchange);

/* Takes a HELLO, SUMMARY, DOMAIN or WELCOME of a peer. */
void mt_share_exchange_take (mt_share_exchange_t *exchange, mt_peer_t *peer,
                             const mt_peer_message_t *message);

/*
** Fills in this router and live members, from an index of their list on; the
** index of the first that did not fit, or the list's count.
*/
size_t mt_share_exchange_list_members (const mt_membership_t *members,
                                       size_t first,
                                       mt_peer_message_t *message);

#endif
