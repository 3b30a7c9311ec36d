/*
** feed_exchange.h - gossip about changes at the configuration source
**
** A router that reads a change which no peer has sent yet sends it to all
** routers of its failure domain and to one router of every other domain,
** which forwards it within that domain. Every message's header has the
** revisions that the sender knows, so a router that is behind notices and
** requests the missing changes from a peer. Thus all routers learn what one
** of them has read, even those that the source rejects.
**
** No peer can send changes that all of them have read as parts of a list. A
** router that misses such changes compares what it has in force with what a
** peer has that has read the source since, and stops using what that one
** lacks (inventory_exchange.h).
**
** Correctness does not depend on the order of messages: of each subject the
** change with the greatest revision wins, whoever sent it first. The spans of
** revisions only show whether changes are missing.
*/
#ifndef feed_exchange_h
#define feed_exchange_h

#include "change_log.h"
#include "feed_state.h"
#include "membership.h"

typedef struct mt_feed_exchange_callbacks_t {
  /* Starts an outgoing message, with its header; valid until the next. */
  mt_peer_message_t *(*begin)(void *ud, mt_peer_kind_t kind);
  /* Sends that message to these addresses. */
  void (*send)(void *ud, const uint32_t *to, size_t count);
  /* Applies a change received from a peer; `since`: when a router first read
     it from the source. False if some of it must be read at the source. */
  bool (*apply)(void *ud, const mt_change_t *change, mt_ms_t since);
  /* Logs that changes were sent, received or requested; may be NULL. */
  void (*log_outcome)(void *ud, uint32_t router, mt_feed_kind_t kind,
                      const mt_peer_span_t *span, size_t changes,
                      mt_feed_outcome_t outcome);
  void *ud;
} mt_feed_exchange_callbacks_t;

/* What a feed has in force at this router. */
typedef struct mt_feed_inventory_callbacks_t {
  /* Appends the items to an empty inventory and sets its other fields. */
  void (*list)(void *ud, mt_feed_kind_t kind, mt_inventory_t *inventory);
  /* The change that makes an item of this router agree with a peer's part,
     where it matches as given. False if there is none. */
  bool (*change)(void *ud, const mt_item_t *item, mt_item_match_t match,
                 const mt_peer_inventory_t *part, mt_change_t *change);
  void *ud;
} mt_feed_inventory_callbacks_t;

/* The comparison of this router's inventory with its peers'. */
typedef struct mt_feed_comparison_t {
  /* As sent with the last request; digest 0: none was. */
  uint64_t digests[MT_INVENTORY_RANGES], digest;
  /* By range: as of which revision it agrees with a peer's. */
  mt_revision_t agreed[MT_INVENTORY_RANGES];
} mt_feed_comparison_t;

/* What this router knows of one feed. */
typedef struct mt_feed_t {
  mt_feed_state_t state;
  mt_change_log_t log;
  bool unannounced;     /* changes were read that no peer has sent */
  mt_ms_t behind_since; /* peers know changes not received here; 0: none */
  /* The present gap: when this router learned of it, the last change that
     was known then, and the requests for it. */
  mt_ms_t gap_began;
  mt_revision_t gap_newest;
  uint64_t gap_requests;
  mt_revision_t heard;   /* the greatest reach of a span received */
  mt_ms_t unheard_since; /* since when peers know later changes; 0: none */
  mt_ms_t requested_at;  /* time of the last request to a peer */
  mt_ms_t retry_ms;      /* from that request to the next */
  bool got_gap;       /* a span received since then did not close the gap */
  bool log_too_short; /* a peer that was requested could not close it */
  uint64_t requests;  /* requests since the start */
  mt_feed_comparison_t comparison;
} mt_feed_t;

typedef struct mt_feed_exchange_t {
  mt_membership_t *members;
  mt_feed_t feeds[MT_FEEDS];
  mt_feed_exchange_callbacks_t callbacks;
  mt_feed_inventory_callbacks_t inventory_callbacks;
  mt_inventory_t inventory; /* for the one that is being compared */
} mt_feed_exchange_t;

void mt_feed_exchange_open (mt_feed_exchange_t *exchange,
                            mt_membership_t *members,
                            const mt_feed_exchange_callbacks_t *callbacks);
void mt_feed_exchange_free (mt_feed_exchange_t *exchange);

/* Lets this router compare inventories with its peers. */
void mt_feed_exchange_set_inventory (
    mt_feed_exchange_t *exchange,
    const mt_feed_inventory_callbacks_t *callbacks);

/* Writes the revisions that this router knows into a message's header. */
void mt_feed_exchange_write_header (const mt_feed_exchange_t *exchange,
                                    mt_peer_message_t *message);

/* Reads the revisions that the sender knows from the header of a message of
   any kind. */
void mt_feed_exchange_receive_header (mt_feed_exchange_t *exchange,
                                      mt_peer_t *peer,
                                      const mt_peer_message_t *message);

/*
** Since when other routers know of changes that were not received here; 0:
** this router is not behind. An engine that a list no longer shows counts as
** gone since then: if it crashed as both watchers of its domain ended, it
** would otherwise get work for too long.
*/
mt_ms_t mt_feed_exchange_behind_since (const mt_feed_exchange_t *exchange,
                                       mt_feed_kind_t kind);

/*
** Adds a change read from the source, before the call of
** mt_feed_exchange_source_read for that read. False if a later change of the
** same subject is known, which prevails.
*/
bool mt_feed_exchange_add_change (mt_feed_exchange_t *exchange,
                                  const mt_change_t *change);

/* Adapts the capacity of the engine feed's log to the number of engines. */
void mt_feed_exchange_resize_log (mt_feed_exchange_t *exchange,
                                  size_t engines);

/*
** A list of all engines was read, as of revision `rev`; `seen` holds their
** keys. Adds a removal for every other engine in the log, also for those that
** this router knows from peers only. To be called before
** mt_feed_exchange_source_read.
*/
void mt_feed_exchange_remove_unlisted (mt_feed_exchange_t *exchange,
                                       const mt_map_t *seen,
                                       mt_revision_t rev);

/*
** All changes of a feed up to `at` were read from the source; the last one is
** `newest`. Sends other routers the changes that they may not have.
*/
void mt_feed_exchange_source_read (mt_feed_exchange_t *exchange,
                                   mt_feed_kind_t kind, mt_revision_t newest,
                                   mt_revision_t at,
                                   mt_feed_reading_t reading);

/* Handles a CHANGES message. */
void mt_feed_exchange_receive_changes (mt_feed_exchange_t *exchange,
                                       mt_peer_t *peer,
                                       const mt_peer_message_t *message);

/* Answers a CHANGES_REQUEST with the changes that the sender is missing. */
void mt_feed_exchange_receive_request (mt_feed_exchange_t *exchange,
                                       const mt_peer_t *peer,
                                       const mt_peer_message_t *message);

/* Requests missing changes from a peer when a request is due. */
void mt_feed_exchange_tick (mt_feed_exchange_t *exchange);

#endif
