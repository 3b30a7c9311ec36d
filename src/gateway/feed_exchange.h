/*
** feed_exchange.h - how changes at the source go round among routers
**
** Whoever reads a change that nobody has told tells it to its failure domain
** and to one router of each other domain, which tells its own. Who hears that
** there are changes which it was not told asks a neighbour for them. So what
** one router knows all come to know, also those that the source turns away.
**
** Nothing here hangs on an order: of each thing the change with the greatest
** revision stands, whoever told it first. Revisions that build on each other
** say only whether something is lacking.
*/
#ifndef feed_exchange_h
#define feed_exchange_h

#include "change_log.h"
#include "feed_state.h"
#include "membership.h"

typedef struct mt_feed_exchange_calls_t {
  /* Begins a message, its header written; it is valid until the next. */
  mt_peer_message_t *(*begin)(void *ud, mt_peer_kind_t kind);
  /* Sends it to some routers. */
  void (*send)(void *ud, const uint32_t *to, size_t count);
  /* Takes a change that another router told; `since`: somebody heard it from
     the source then. False when only the source may tell all of it. */
  bool (*apply)(void *ud, const mt_change_t *change, mt_ms_t since);
  /* News of a feed came from a router or went out; may be NULL. */
  void (*note)(void *ud, uint32_t router, mt_feed_kind_t kind,
               const mt_peer_span_t *span, size_t changes,
               mt_feed_outcome_t outcome);
  void *ud;
} mt_feed_exchange_calls_t;

/* One feed, as this router knows it. */
typedef struct mt_feed_t {
  mt_feed_state_t state;
  mt_change_log_t log;
  bool fresh;      /* changes were read that nobody had told */
  mt_ms_t lacking; /* others know of changes not told here since; 0: no */
  mt_ms_t asked;   /* a neighbour was last asked for them then */
  mt_ms_t pause;   /* until the next is */
  bool in_vain;    /* since then something came and left a gap */
  uint64_t asks;   /* so many times since the start */
} mt_feed_t;

typedef struct mt_feed_exchange_t {
  mt_membership_t *members;
  mt_feed_t feeds[MT_FEEDS];
  mt_feed_exchange_calls_t calls;
} mt_feed_exchange_t;

void mt_feed_exchange_open (mt_feed_exchange_t *exchange,
                            mt_membership_t *members,
                            const mt_feed_exchange_calls_t *calls);
void mt_feed_exchange_free (mt_feed_exchange_t *exchange);

/* Writes into a message how far this router knows the feeds. */
void mt_feed_exchange_header (const mt_feed_exchange_t *exchange,
                              mt_peer_message_t *message);

/* Takes from any message how far its sender knows them. */
void mt_feed_exchange_heard (mt_feed_exchange_t *exchange, mt_peer_t *peer,
                             const mt_peer_message_t *message);

/*
** Since when others know of changes of a feed that were not told here; 0: of
** none. What a list no longer shows may have gone as early as that: else an
** engine that left without a word as both watchers of its domain ended would
** get work for too long.
*/
mt_ms_t mt_feed_exchange_lacking (const mt_feed_exchange_t *exchange,
                                  mt_feed_kind_t kind);

/*
** The source itself told of a change, before the next `read`. False when a
** later change of the same thing is known: then that one stands.
*/
bool mt_feed_exchange_changed (mt_feed_exchange_t *exchange,
                               const mt_change_t *change);

/* So many engines are known from the source: the log holds as many changes.
 */
void mt_feed_exchange_expect (mt_feed_exchange_t *exchange, size_t engines);

/*
** All engines were listed, as of a revision; `seen` holds the keys of those
** that are there. Others that were told of are gone, also those that this
** router itself never read. Before `read`.
*/
void mt_feed_exchange_listed (mt_feed_exchange_t *exchange,
                              const mt_map_t *seen, mt_revision_t rev);

/*
** The source has told all changes of a feed up to `at`; the last one is
** `newest`. Tells others what is news to them.
*/
void mt_feed_exchange_read (mt_feed_exchange_t *exchange, mt_feed_kind_t kind,
                            mt_revision_t newest, mt_revision_t at,
                            mt_feed_reading_t reading);

/* Takes NEWS. */
void mt_feed_exchange_news (mt_feed_exchange_t *exchange,
                            const mt_peer_t *peer,
                            const mt_peer_message_t *message);

/* Answers LACK: tells what the sender does not know yet. */
void mt_feed_exchange_lack (mt_feed_exchange_t *exchange,
                            const mt_peer_t *peer,
                            const mt_peer_message_t *message);

/* Asks a neighbour for what is lacking, when it is time. */
void mt_feed_exchange_tick (mt_feed_exchange_t *exchange);

#endif
