/*
** suspect_exchange.h - how routers tell each other of suspects (suspects.h)
**
** What came of a request goes to its owner alone, the router with the
** greatest hash of all that serve: an engine that ends under 64 requests is
** 64 small datagrams, whatever the size of the fleet. What follows from it
** goes round: whoever takes something newer passes it on to a few routers,
** which reaches nearly all of them within some turns; and while there is
** anything to tell, each router tells one other all of it some times a
** second, so that who has just started, was cut off, or missed a datagram,
** has it soon.
**
** Datagrams come from anybody. A forged one can keep a request from engines,
** for at most as long as the longest quarantine, if its whole text and its
** workspace are known; or clear one, which costs three more engines.
*/
#ifndef suspect_exchange_h
#define suspect_exchange_h

#include "membership.h"

/* Something was counted, taken or answered: for the logs. `router`: who told;
   0: this one. */
typedef void (*mt_suspect_note_t)(void *ud, const mt_suspect_t *suspect,
                                  uint32_t router, const char *why);

typedef struct mt_suspect_exchange_calls_t {
  /* Begins a message, and sends the one that was begun. */
  mt_peer_message_t *(*begin)(void *ud, mt_peer_kind_t kind);
  void (*send)(void *ud, const uint32_t *to, size_t count);
  /* An owner's answer to a request of this router. */
  void (*tried)(void *ud, const mt_suspect_message_t *word,
                mt_trial_verdict_t verdict);
  mt_suspect_note_t note;
  void *ud;
} mt_suspect_exchange_calls_t;

typedef struct mt_suspect_exchange_t {
  mt_membership_t *members;
  mt_suspects_t *suspects;
  mt_suspect_exchange_calls_t calls;
  uint64_t random; /* whom to tell */
  mt_ms_t next;    /* all is told to one router then */
  size_t place;    /* in the table, of what is told next */
} mt_suspect_exchange_t;

void mt_suspect_exchange_open (mt_suspect_exchange_t *exchange,
                               mt_membership_t *members,
                               mt_suspects_t *suspects,
                               const mt_suspect_exchange_calls_t *calls,
                               uint64_t seed);

/* Tells the request's owner, which may be this router: then a question is
   answered before the call returns. */
void mt_suspect_exchange_say (mt_suspect_exchange_t *exchange,
                              const mt_suspect_message_t *word);

/* SUSPECTS, WORD or VERDICT of another router. */
void mt_suspect_exchange_take (mt_suspect_exchange_t *exchange,
                               mt_peer_t *peer, const mt_peer_message_t *m);

/* A router was heard of that was not known to serve: it may know nothing. */
void mt_suspect_exchange_greet (mt_suspect_exchange_t *exchange, uint32_t ip);

void mt_suspect_exchange_tick (mt_suspect_exchange_t *exchange);

#endif
