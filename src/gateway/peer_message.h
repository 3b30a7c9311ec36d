/*
** peer_message.h - messages between routers, and their encoding in msgpack
**
** One datagram is one message. Messages carry absolute values and no
** differences, so a lost or repeated one does no harm. A datagram may be
** forged: unpacked values and list lengths are bounded.
*/
#ifndef peer_message_h
#define peer_message_h

#include "change.h"
#include "cold_start.h"
#include "fair_share.h"
#include "inventory.h"
#include "load_table.h"
#include "stream_origins.h"
#include "suspects.h"

#define MT_PEER_DATAGRAM_MAX 16384
#define MT_PEER_MEMBERS_MAX 512
#define MT_PEER_SHARES_MAX 700
#define MT_PEER_ENGINES_MAX 64
#define MT_PEER_SEGMENTS_MAX 16
#define MT_PEER_CHANGES_MAX 256
#define MT_PEER_SUSPECTS_MAX 64
#define MT_PEER_DRAINS_MAX 64
#define MT_PEER_INVENTORY_MAX 1536 /* ids in a message */

/* Kinds of messages. Some have other names in metrics (mt_peer_kind_name). */
typedef enum mt_peer_kind_t {
  /* The sender's own shares, to the routers of its group. */
  MT_PEER_HELLO,
  /* The members and summed shares of a group, to the other groups of its
     failure domain. */
  MT_PEER_GROUP_SUMMARY,
  /* Those of a failure domain, to other domains, where they are forwarded. */
  MT_PEER_DOMAIN_SUMMARY,
  /* All members, to a router that has just started; or as a heartbeat, the
     members of a group, to the routers of its failure domain. */
  MT_PEER_MEMBERS,
  /* Changes at the configuration source, or a part of the inventory. */
  MT_PEER_CHANGES,
  /* Requests the changes after the revisions in the header and, where no log
     reaches back to them, a comparison of inventories. */
  MT_PEER_CHANGES_REQUEST,
  /* Requests the load of engines that the receiver owns. */
  MT_PEER_QUOTE_REQUEST,
  /* The reply to it: load, cached tokens and admission. */
  MT_PEER_QUOTE,
  /* The sender's load at engines that the receiver owns. */
  MT_PEER_LOAD,
  /* An engine has the cached prefix of a prompt segment whose home engine the
     receiver owns. */
  MT_PEER_PREFIX_HOLDER,
  /* A permit for a cold engine that the receiver owns was not used. */
  MT_PEER_PERMIT_RETURN,
  /* Rows of suspects that are on probation, in quarantine or cleared. */
  MT_PEER_SUSPECTS,
  /* The outcome of a request that the receiver owns, or a question whether it
     may run; or the same about an engine that a suspect uses. */
  MT_PEER_SUSPECT_MESSAGE,
  /* The reply to such a question. */
  MT_PEER_TRIAL_VERDICT,
  /* Engines that advertise that they drain. */
  MT_PEER_DRAINS,
  /* An engine that the receiver owns has not run a prompt that the sender had
     reported as sent there. */
  MT_PEER_NOT_RUN,
  /* At which service and software version a stream began, to its owners. */
  MT_PEER_ORIGIN,
  /* Asks where a stream began, and the reply. */
  MT_PEER_ORIGIN_REQUEST,
  MT_PEER_ORIGIN_REPLY,
  MT_PEER_KINDS
} mt_peer_kind_t;

/* A live router. */
typedef struct mt_peer_member_t {
  uint32_t ip;             /* network order */
  mt_id_t domain;          /* failure domain */
  uint32_t reaches_source; /* 1: it reaches the configuration source; or 0 */
} mt_peer_member_t;

/* Rates that a workspace asked for and was served. */
typedef struct mt_peer_share_t {
  mt_id_t workspace;
  mt_share_rates_t rates;
} mt_peer_share_t;

typedef struct mt_peer_engine_t {
  uint64_t key;
  mt_engine_load_t load; /* NOT_RUN: `running` is 1 if the engine rejected
                            the request, else 0 */
  int64_t tokens;        /* QUOTE: cached tokens of the prompt; LOAD: read and
                            generated for the sender, in total; NOT_RUN: counted
                            there for the request, which is taken back */
  uint64_t holder;       /* QUOTE: another engine that has the prompt's shared
                            segments cached; 0: none */
  /* QUOTE: whether the engine may get the request; LOAD of a request sent
     just now: MT_ADMIT_PERMIT if it had a permit. */
  mt_admission_t admission;
  mt_speed_sums_t measured; /* LOAD: by the sender */
  mt_speed_figures_t speed; /* QUOTE */
  double rejection_rate;    /* QUOTE: of all routers' attempts, 0 to 1 */
} mt_peer_engine_t;

/* An engine that advertised in a response that it drains. */
typedef struct mt_peer_drain_t {
  uint64_t engine; /* its key */
  /* Start time of its process, ms since 1970; 0: unknown. */
  int64_t started_at;
  mt_ms_t age; /* since a router last received this from the engine */
} mt_peer_drain_t;

/* Where a stream began. */
typedef struct mt_peer_origin_t {
  mt_origin_report_t report; /* ORIGIN_REQUEST: key and service alone */
  mt_origin_answer_t answer; /* ORIGIN_REPLY; its origin is the report's */
} mt_peer_origin_t;

/*
** What a router knows of a feed: at the source's revision `at`, read `age` ms
** ago, the feed's last change was `newest`. The sender has received all
** changes up to `received`. NONE: not known.
*/
typedef struct mt_peer_feed_t {
  mt_revision_t newest, at, received;
  mt_ms_t age;
} mt_peer_feed_t;

/* All changes of a feed after `base` up to `reach`; reach 0: none. Base NONE:
   the beginning is not known. */
typedef struct mt_peer_span_t {
  mt_revision_t base, reach;
} mt_peer_span_t;

/*
** A part of a comparison of inventories (inventory.h). CHANGES_REQUEST: the
** sender's digests, of all ranges, and which of them to compare. CHANGES: the
** ranges of them that are equal at the sender, and the ids of all items that
** it has in the others listed.
*/
typedef struct mt_peer_inventory_t {
  bool present; /* false: the message has none */
  mt_feed_kind_t feed;
  int64_t version;       /* as in mt_inventory_t, like `at` and `rev` */
  mt_revision_t at, rev; /* CHANGES */
  uint64_t digest;       /* CHANGES: mt_inventory_digest of the request */
  mt_inventory_ranges_t equal;            /* CHANGES */
  mt_inventory_ranges_t listed;           /* CHANGES_REQUEST: to compare */
  uint64_t values[MT_PEER_INVENTORY_MAX]; /* digests, or ids */
  size_t count;
} mt_peer_inventory_t;

/* Lists that a kind does not use are empty. */
typedef struct mt_peer_message_t {
  mt_peer_kind_t kind;
  /* Identify the sender's process and the message; `number` rises. */
  uint64_t boot, number;
  /* QUOTE_REQUEST, QUOTE, ORIGIN_REQUEST, ORIGIN_REPLY: number of the request
     at the requesting router; LOAD: of a request sent just now, or 0. */
  uint64_t request_number;
  /* Time until the next message of HELLO, both summaries and MEMBERS as a
     heartbeat; else 0. */
  mt_ms_t interval;
  /* Number of groups in the sender's failure domain, or in the one that a
     DOMAIN_SUMMARY sums up; GROUP_SUMMARY: which group it sums up. */
  uint32_t groups, group;
  mt_peer_feed_t feeds[MT_FEEDS];
  mt_peer_member_t members[MT_PEER_MEMBERS_MAX];
  size_t members_count;
  mt_peer_share_t shares[MT_PEER_SHARES_MAX];
  size_t shares_count;
  mt_peer_engine_t engines[MT_PEER_ENGINES_MAX];
  size_t engines_count;
  mt_prefix_segment_t segments[MT_PEER_SEGMENTS_MAX];
  size_t segments_count;
  /* CHANGES: the span of each feed. The changes of both feeds are in one
     list, with ascending revisions within each feed. */
  mt_peer_span_t spans[MT_FEEDS];
  mt_change_t changes[MT_PEER_CHANGES_MAX];
  size_t changes_count;
  mt_peer_inventory_t inventory; /* CHANGES, CHANGES_REQUEST */
  mt_suspect_row_t suspects[MT_PEER_SUSPECTS_MAX];
  size_t suspects_count;
  mt_peer_drain_t drains[MT_PEER_DRAINS_MAX];
  size_t drains_count;
  /* SUSPECT_MESSAGE; TRIAL_VERDICT: the question and the reply. */
  mt_suspect_message_t suspect_message;
  mt_trial_verdict_t verdict;
  mt_peer_origin_t origin; /* ORIGIN, ORIGIN_REQUEST, ORIGIN_REPLY */
} mt_peer_message_t;

/* Room for packed changes in a message, in bytes; the rest of a datagram is
   for the header. */
#define MT_PEER_CHANGES_BYTES 14000

/* Upper bound on the packed size of a change, in bytes. */
size_t mt_peer_change_size (const mt_change_t *change);

/* Name of a kind in metrics. */
const char *mt_peer_kind_name (mt_peer_kind_t kind);

/* Clears a message: numbers are 0 and lists empty. */
void mt_peer_message_begin (mt_peer_message_t *message, mt_peer_kind_t kind);

/* Packs a message into `out`. Returns its size in bytes, or 0 if it does not
   fit. */
size_t mt_peer_message_pack (const mt_peer_message_t *message, char *out,
                             size_t size);

/* Returns false if the bytes are not a message of this format version. */
bool mt_peer_message_unpack (mt_peer_message_t *message, const char *bytes,
                             size_t size);

#endif
