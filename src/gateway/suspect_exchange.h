/*
** suspect_exchange.h - gossip about what may crash engines
**
** A suspect (suspects.h) is a request or a prompt segment under which engines
** ended. The outcome of a run is reported for each name to its owner alone,
** the live router with the greatest hash: an engine that ends under 64
** requests costs a small datagram for each name of theirs, whatever the size
** of the fleet. The resulting state is gossiped: a router that receives a
** newer row forwards it to a few random peers, which reaches nearly all
** routers within a few ticks. In addition each router sends rows to one
** random peer several times a second (anti-entropy), for routers that have
** just started, were partitioned or lost a datagram.
**
** Datagrams are not trusted. With a forged one an attacker who knows a
** request's whole text and workspace, or the id of a prompt segment, can keep
** it from engines, for at most as long as the longest quarantine; or clear a
** suspect, which costs three more engines.
*/
#ifndef suspect_exchange_h
#define suspect_exchange_h

#include "membership.h"

/* Logs that a suspect's state has changed. `router`: address of the router
   that reported it; `why`: "ended", "answered" or "told". */
typedef void (*mt_suspect_log_t)(void *ud, const mt_suspect_t *suspect,
                                 uint32_t router, const char *why);

typedef struct mt_suspect_exchange_callbacks_t {
  /* Starts an outgoing message; `send` sends it to these addresses. */
  mt_peer_message_t *(*begin)(void *ud, mt_peer_kind_t kind);
  void (*send)(void *ud, const uint32_t *to, size_t count);
  /* An owner's answer to a question of this router. */
  void (*replied)(void *ud, const mt_suspect_message_t *message,
                  mt_trial_verdict_t verdict);
  mt_suspect_log_t log_event;
  void *ud;
} mt_suspect_exchange_callbacks_t;

typedef struct mt_suspect_exchange_t {
  mt_membership_t *members;
  mt_suspects_t *suspects;
  mt_suspect_exchange_callbacks_t callbacks;
  uint64_t random;     /* state of the generator that selects peers */
  mt_ms_t next_gossip; /* when rows are sent to one peer again */
  size_t cursor;       /* index in the table of the next row to send */
} mt_suspect_exchange_t;

void mt_suspect_exchange_open (
    mt_suspect_exchange_t *exchange, mt_membership_t *members,
    mt_suspects_t *suspects, const mt_suspect_exchange_callbacks_t *callbacks,
    uint64_t seed);

/* Sends a report or question to the owner of the request or engine. If that
   is this router, a question is answered before the call returns. */
void mt_suspect_exchange_send (mt_suspect_exchange_t *exchange,
                               const mt_suspect_message_t *message);

/* Handles a SUSPECTS, SUSPECT_MESSAGE or TRIAL_VERDICT message of a peer. */
void mt_suspect_exchange_receive (mt_suspect_exchange_t *exchange,
                                  mt_peer_t *peer,
                                  const mt_peer_message_t *m);

/* Sends rows to a router that has just become live or has restarted, and may
   have none. */
void mt_suspect_exchange_sync_peer (mt_suspect_exchange_t *exchange,
                                    uint32_t ip);

void mt_suspect_exchange_tick (mt_suspect_exchange_t *exchange);

#endif
