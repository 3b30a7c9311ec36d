/*
** peer_message.h - what routers tell each other: typed, and as msgpack
**
** One datagram is one message. Everything in it is absolute, so a lost or
** repeated one does no harm. Anybody may have sent it: whatever is unpacked
** is bounded.
*/
#ifndef peer_message_h
#define peer_message_h

#include "change.h"
#include "cold_start.h"
#include "fair_share.h"
#include "load_table.h"
#include "suspects.h"

#define MT_PEER_DATAGRAM_MAX 16384
#define MT_PEER_MEMBERS_MAX 512
#define MT_PEER_SHARES_MAX 700
#define MT_PEER_ENGINES_MAX 64
#define MT_PEER_PARTS_MAX 16
#define MT_PEER_CHANGES_MAX 256
#define MT_PEER_SUSPECTS_MAX 64
#define MT_PEER_DRAINS_MAX 64

typedef enum mt_peer_kind_t {
  MT_PEER_HELLO,   /* a router's own shares, to the routers of its group */
  MT_PEER_SUMMARY, /* the members and shares of a group, to other groups of
                      its failure domain */
  MT_PEER_DOMAIN,  /* those of a failure domain, to other domains; passed on
                      there */
  MT_PEER_WELCOME, /* all members, to a router that was not known; those of a
                      group, to others of its failure domain */
  MT_PEER_NEWS,    /* what has changed at the source */
  MT_PEER_LACK,    /* what changed there behind what the header tells? */
  MT_PEER_ASK,     /* what do these engines, owned by you, have? */
  MT_PEER_QUOTE,   /* the answer */
  MT_PEER_LOAD,    /* what the sender has at engines owned by you */
  MT_PEER_HOLDS,   /* this engine read parts whose home is owned by you */
  MT_PEER_BACK, /* a place at this cold engine, owned by you, is not used */
  MT_PEER_SUSPECTS, /* requests that run one copy at a time, or not at all */
  MT_PEER_WORD,     /* what came of a request that is owned by you */
  MT_PEER_VERDICT,  /* the answer to a word that asks whether it may run */
  MT_PEER_DRAINING, /* these engines drain, by their own answers */
  MT_PEER_KINDS
} mt_peer_kind_t;

/* A router that is believed to serve. */
typedef struct mt_peer_member_t {
  uint32_t ip;     /* network order */
  mt_id_t domain;  /* failure domain */
  uint32_t source; /* 1: it reaches where declarations come from */
} mt_peer_member_t;

typedef struct mt_peer_share_t {
  mt_id_t workspace;
  mt_share_rates_t rates;
} mt_peer_share_t;

typedef struct mt_peer_engine_t {
  uint64_t key;
  mt_engine_load_t load;
  int64_t tokens;  /* QUOTE: kept of the prompt; LOAD: read or made so far */
  uint64_t holder; /* QUOTE: another that read its shared parts; 0: none */
  mt_admission_t admission; /* QUOTE; LOAD of a request that was sent just
                               now: PLACE if it had one */
} mt_peer_engine_t;

/* An engine that advertised in an answer that it drains. */
typedef struct mt_peer_drain_t {
  uint64_t engine;    /* its key */
  int64_t started_at; /* the start of it that drains; 0: not known */
  mt_ms_t age;        /* since any router last heard so from it */
} mt_peer_drain_t;

/*
** What some router knows of a feed: when the source stood at revision `at`,
** the feed's last change was `newest`. That was `age` ms ago. The sender was
** told of all changes up to `told`.
*/
typedef struct mt_peer_feed_t {
  mt_revision_t newest, at, told;
  mt_ms_t age;
} mt_peer_feed_t;

/* All changes of a feed behind `base` up to `reach`; both 0: none. */
typedef struct mt_peer_span_t {
  mt_revision_t base, reach;
} mt_peer_span_t;

/* Lists that a kind does not use are empty. */
typedef struct mt_peer_message_t {
  mt_peer_kind_t kind;
  uint64_t boot, number; /* of the sender's process and message */
  uint64_t token; /* ASK, QUOTE: of the request; LOAD: of one that was sent
                     just now, 0: none was */
  mt_ms_t pace;   /* HELLO, SUMMARY, DOMAIN, WELCOME of a group: the next
                     comes after so long */
  uint32_t groups, group; /* of the domain told of; SUMMARY: which group */
  mt_peer_feed_t feeds[MT_FEEDS];
  mt_peer_member_t members[MT_PEER_MEMBERS_MAX];
  size_t members_count;
  mt_peer_share_t shares[MT_PEER_SHARES_MAX];
  size_t shares_count;
  mt_peer_engine_t engines[MT_PEER_ENGINES_MAX];
  size_t engines_count;
  mt_prefix_segment_t parts[MT_PEER_PARTS_MAX];
  size_t parts_count;
  /* NEWS: what changed in each feed; the changes of both are in one list,
     rising revisions within a feed. */
  mt_peer_span_t spans[MT_FEEDS];
  mt_change_t changes[MT_PEER_CHANGES_MAX];
  size_t changes_count;
  mt_suspect_row_t suspects[MT_PEER_SUSPECTS_MAX];
  size_t suspects_count;
  mt_peer_drain_t drains[MT_PEER_DRAINS_MAX];
  size_t drains_count;
  mt_suspect_message_t word;  /* WORD; VERDICT: the one that it answers */
  mt_trial_verdict_t verdict; /* VERDICT */
} mt_peer_message_t;

/* Bytes of changes that fit into one message beside its header. */
#define MT_PEER_CHANGES_BYTES 14000

/* Bytes that a change takes in a message, at most. */
size_t mt_peer_change_size (const mt_change_t *change);

/* A kind's name in metrics. */
const char *mt_peer_kind_name (mt_peer_kind_t kind);

/* Starts a message of a kind: all numbers 0, all lists empty. */
void mt_peer_message_begin (mt_peer_message_t *message, mt_peer_kind_t kind);

/* Packs into `out`; the size, or 0 when it does not fit. */
size_t mt_peer_message_pack (const mt_peer_message_t *message, char *out,
                             size_t size);

/* False for bytes that are no message of this version. */
bool mt_peer_message_unpack (mt_peer_message_t *message, const char *bytes,
                             size_t size);

#endif
