/*
** gateway_peers.h - what routers tell each other, as datagrams
**
** Shares go round in groups (membership.h); loads go to the owners of the
** engines, who answer what a request asks; changes at the source of
** declarations go to all (feed_exchange.h); so does what engines ended under
** (suspect_exchange.h), and which drain (drain_exchange.h).
*/
#ifndef gateway_peers_h
#define gateway_peers_h

#include "feed_exchange.h"
#include "gateway.h"

typedef struct mt_gateway_peers_t mt_gateway_peers_t;

/* Owners' answers to what a request asked. */
typedef void (*mt_gateway_quoted_t)(void *ud, uint64_t request,
                                    const mt_relay_quote_t *quotes,
                                    size_t count);

/* A change at the source that another router told: as in feed_exchange.h. */
typedef bool (*mt_gateway_change_t)(void *ud, const mt_change_t *change,
                                    mt_ms_t since);

/* An owner's answer to a suspect that asked whether it may run. */
typedef void (*mt_gateway_tried_t)(void *ud, const mt_suspect_message_t *word,
                                   mt_trial_verdict_t verdict);

/* Another router sent that an engine drains: as in drain_exchange.h. */
typedef bool (*mt_gateway_drain_t)(void *ud, const mt_peer_drain_t *drain,
                                   uint32_t router);

typedef struct mt_gateway_peers_calls_t {
  mt_gateway_quoted_t quoted;
  mt_gateway_change_t change;
  mt_gateway_tried_t tried;
  mt_gateway_drain_t draining;
  void *ud;
} mt_gateway_peers_calls_t;

mt_gateway_peers_t *
mt_gateway_peers_open (uv_loop_t *loop, const mt_gateway_settings_t *settings,
                       mt_relay_t *relay, mt_log_writer_t *log,
                       const mt_gateway_peers_calls_t *calls);

/* Takes all datagrams that have come; in each turn of the loop. */
void mt_gateway_peers_read (mt_gateway_peers_t *peers);

/* Tells and forgets, when it is time; the number of routers, this one too. */
int mt_gateway_peers_tick (mt_gateway_peers_t *peers);

/*
** Asks the owners of the request's candidates of this round. What this
** router keeps itself is answered before the call returns.
*/
void mt_gateway_peers_ask (mt_gateway_peers_t *peers,
                           const mt_relay_request_t *request);

/* A place at a cold engine was not used: its owner gets it back. */
void mt_gateway_peers_give_back (mt_gateway_peers_t *peers, uint64_t engine);

/* A request went to an engine: its owner is told at once. */
void mt_gateway_peers_placed (mt_gateway_peers_t *peers,
                              const mt_relay_request_t *request);

/* Tells the owner of a suspect. A question that this router keeps itself is
   answered before the call returns. */
void mt_gateway_peers_say (mt_gateway_peers_t *peers,
                           const mt_suspect_message_t *word);

/* An answer to this router has just advertised that an engine drains. */
void mt_gateway_peers_draining (mt_gateway_peers_t *peers, uint64_t engine);

/* What is known of a feed, also from others. */
mt_peer_feed_t mt_gateway_peers_feed (const mt_gateway_peers_t *peers,
                                      mt_feed_kind_t kind);
/* The source itself said so; all up to there is known here. */
void mt_gateway_peers_set_feed (mt_gateway_peers_t *peers,
                                mt_feed_kind_t kind, mt_revision_t newest,
                                mt_revision_t at, mt_feed_reading_t reading);
/* All engines were listed: as in feed_exchange.h. */
void mt_gateway_peers_listed (mt_gateway_peers_t *peers, const mt_map_t *seen,
                              mt_revision_t rev);
/* The source itself told of this change, before the next set_feed. False
   when a later one of the same thing stands. */
bool mt_gateway_peers_changed (mt_gateway_peers_t *peers,
                               const mt_change_t *change);
/* Since when others know what is lacking here: as in feed_exchange.h. */
mt_ms_t mt_gateway_peers_lacking (const mt_gateway_peers_t *peers,
                                  mt_feed_kind_t kind);
/* What was told of a feed lately; valid until the next change. */
const mt_change_log_t *mt_gateway_peers_log (const mt_gateway_peers_t *peers,
                                             mt_feed_kind_t kind);
/* Up to which revision everything is known here, by whomever. */
mt_revision_t mt_gateway_peers_taken (const mt_gateway_peers_t *peers,
                                      mt_feed_kind_t kind);
/* The same, but for engines that have come and that only the source tells. */
mt_revision_t mt_gateway_peers_told (const mt_gateway_peers_t *peers,
                                     mt_feed_kind_t kind);
/* Whether this router reaches the source. */
void mt_gateway_peers_set_source (mt_gateway_peers_t *peers, bool reachable);
/* Whether this router should watch the source, and for others, too. */
bool mt_gateway_peers_watches (const mt_gateway_peers_t *peers);
bool mt_gateway_peers_leads (const mt_gateway_peers_t *peers);

/* What was sent of one kind of message, since the start. */
typedef struct mt_peer_traffic_t {
  uint64_t messages, bytes;
  uint64_t bytes_far; /* to other failure domains */
} mt_peer_traffic_t;

/* By kind, MT_PEER_KINDS of them. */
const mt_peer_traffic_t *
mt_gateway_peers_traffic (const mt_gateway_peers_t *peers);

/* Times that an address was not taken, since there are too many. */
uint64_t mt_gateway_peers_refused (const mt_gateway_peers_t *peers);

/* News told and heard since the start, by mt_feed_outcome_t. */
const uint64_t *mt_gateway_peers_news (const mt_gateway_peers_t *peers);

/* The port that it listens on, also where the settings leave it open. */
uint16_t mt_gateway_peers_port (const mt_gateway_peers_t *peers);

void mt_gateway_peers_close (mt_gateway_peers_t *peers);

#endif
