/*
** gateway_peers.h - messages between routers, as UDP datagrams
**
** Each engine has one owner among the routers, which collects the loads that
** all routers have there and answers quotes: the engine's load, cached
** tokens and admission, for one request. Workspaces' rates are exchanged in
** groups of routers. Changes at the configuration source, requests suspected
** of crashing engines, and draining engines are made known to all routers.
** This file has the socket, loads and quotes, and connects the rest to the
** socket.
*/
#ifndef gateway_peers_h
#define gateway_peers_h

#include "feed_exchange.h"
#include "gateway.h"

typedef struct mt_gateway_peers_t mt_gateway_peers_t;

/* Quotes for a request came from an engine owner. */
typedef void (*mt_gateway_on_quotes_t)(void *ud, uint64_t request,
                                       const mt_relay_quote_t *quotes,
                                       size_t count);

/* Applies a change at the source that another router sent; `since`: when a
   router first read it. False if only the source itself may supply it. */
typedef bool (*mt_gateway_on_change_t)(void *ud, const mt_change_t *change,
                                       mt_ms_t since);

/* The owner of a suspect answered whether the request may run. */
typedef void (*mt_gateway_on_trial_t)(void *ud,
                                      const mt_suspect_message_t *message,
                                      mt_trial_verdict_t verdict);

/* Applies a drain notice that another router sent; true if it was new. */
typedef bool (*mt_gateway_on_drain_t)(void *ud, const mt_peer_drain_t *drain,
                                      uint32_t router);

/* A router answered where the stream that a request resumes began; request 0:
   what it knows of all streams of the service. */
typedef void (*mt_gateway_on_origin_t)(void *ud, uint64_t request,
                                       mt_id_t service,
                                       const mt_origin_answer_t *answer);

typedef struct mt_gateway_peers_callbacks_t {
  mt_gateway_on_quotes_t quoted;
  mt_gateway_on_change_t change;
  mt_gateway_on_trial_t trial;
  mt_gateway_on_drain_t draining;
  mt_gateway_on_origin_t origin;
  mt_feed_inventory_callbacks_t inventory;
  void *ud;
} mt_gateway_peers_callbacks_t;

mt_gateway_peers_t *
mt_gateway_peers_open (uv_loop_t *loop, const mt_gateway_settings_t *settings,
                       mt_relay_t *relay, mt_log_writer_t *log,
                       const mt_gateway_peers_callbacks_t *callbacks);

/* Handles all datagrams that are waiting, up to a limit per call; to be
   called in each tick. */
void mt_gateway_peers_read (mt_gateway_peers_t *peers);

/* Sends what is due and drops expired state; returns the number of live
   routers, this one included. */
int mt_gateway_peers_tick (mt_gateway_peers_t *peers);

/*
** Requests quotes from the owners of the request's candidate engines of the
** current round. For engines that this router owns the callback is called
** before this returns.
*/
void mt_gateway_peers_request_quotes (mt_gateway_peers_t *peers,
                                      const mt_relay_request_t *request);

/* Returns an unused permit for a cold engine to the engine's owner. */
void mt_gateway_peers_return_permit (mt_gateway_peers_t *peers,
                                     uint64_t engine);

/* An attempt of the request was sent: reports the new load to the owner of
   its engine. */
void mt_gateway_peers_request_sent (mt_gateway_peers_t *peers,
                                    const mt_relay_request_t *request,
                                    const mt_attempt_t *attempt);

/* An engine accepted a request. If it is not the home of the prompt's shared
   segments, the owner of that one is told where they are cached now. */
void mt_gateway_peers_prompt_accepted (mt_gateway_peers_t *peers,
                                       const mt_relay_request_t *request);

/* A request was not run: its prompt is not cached there, as the engine's
   owner was told when it was sent. */
void mt_gateway_peers_prompt_not_run (mt_gateway_peers_t *peers,
                                      const mt_prompt_not_run_t *prompt);

/* Sends a message about a suspect to the suspect's owner. If that is this
   router, a question is answered (callback) before this returns. */
void mt_gateway_peers_send_suspect_message (
    mt_gateway_peers_t *peers, const mt_suspect_message_t *message);

/* True if this router owns the suspect of that name. */
bool mt_gateway_peers_owns_suspect (mt_gateway_peers_t *peers, uint64_t name);

/* Tells the owners of a stream where it began. */
void mt_gateway_peers_tell_origin (mt_gateway_peers_t *peers,
                                   const mt_origin_report_t *report);

/* Asks the owners of a stream where it began, or routers in all failure
   domains (origin_exchange.h). */
mt_origin_asked_t
mt_gateway_peers_ask_origin (mt_gateway_peers_t *peers, uint64_t request,
                             const mt_origin_report_t *report,
                             bool all_domains);

/* An answer to this router said that its engine drains: gossips that. */
void mt_gateway_peers_engine_draining (mt_gateway_peers_t *peers,
                                       uint64_t engine);

/* What is known of a feed, from the source or from other routers. */
mt_peer_feed_t mt_gateway_peers_feed (const mt_gateway_peers_t *peers,
                                      mt_feed_kind_t kind);
/* The source was read up to revision `at`; the feed's last change then was
   `newest`. */
void mt_gateway_peers_set_feed (mt_gateway_peers_t *peers,
                                mt_feed_kind_t kind, mt_revision_t newest,
                                mt_revision_t at, mt_feed_reading_t reading);
/* A list of all engines was read; `seen` holds the keys of their names. To be
   called before mt_gateway_peers_set_feed. */
void mt_gateway_peers_engines_listed (mt_gateway_peers_t *peers,
                                      const mt_map_t *seen,
                                      mt_revision_t rev);
/* This change was read from the source. To be called before the next
   mt_gateway_peers_set_feed. False if a later change of the same subject is
   known, which then stands. */
bool mt_gateway_peers_source_changed (mt_gateway_peers_t *peers,
                                      const mt_change_t *change);
/* The time since which other routers have known changes of a feed that were
   not received here; 0: there are none. */
mt_ms_t mt_gateway_peers_behind_since (const mt_gateway_peers_t *peers,
                                       mt_feed_kind_t kind);
/* The recent changes of a feed; valid until the next change. */
const mt_change_log_t *
mt_gateway_peers_change_log (const mt_gateway_peers_t *peers,
                             mt_feed_kind_t kind);
/* The revision up to which all changes of a feed are applied here. */
mt_revision_t mt_gateway_peers_applied_rev (const mt_gateway_peers_t *peers,
                                            mt_feed_kind_t kind);
/* The revision up to which all changes were received. New engines, which are
   only added as the source lists them, may not be applied yet. */
mt_revision_t mt_gateway_peers_received_rev (const mt_gateway_peers_t *peers,
                                             mt_feed_kind_t kind);
/* Sets whether this router reaches the source. */
void mt_gateway_peers_set_source_reachable (mt_gateway_peers_t *peers,
                                            bool reachable);
/* Whether this router has to watch the source, and whether it does so for the
   other routers of its failure domain, too. */
bool mt_gateway_peers_watches_source (const mt_gateway_peers_t *peers);
bool mt_gateway_peers_watches_for_domain (const mt_gateway_peers_t *peers);

/* What was sent of one kind of message since the start. */
typedef struct mt_peer_traffic_t {
  uint64_t messages, bytes;
  uint64_t bytes_remote; /* of them, to other failure domains */
} mt_peer_traffic_t;

/* By kind, MT_PEER_KINDS of them. */
const mt_peer_traffic_t *
mt_gateway_peers_traffic (const mt_gateway_peers_t *peers);

/* How often a router's address was not stored because the table was full. */
uint64_t mt_gateway_peers_addresses_refused (const mt_gateway_peers_t *peers);

/* Updates of feeds sent and received since the start, by
   mt_feed_outcome_t. */
const uint64_t *mt_gateway_peers_updates (const mt_gateway_peers_t *peers);

/* The bound UDP port, also when the settings have port 0. */
uint16_t mt_gateway_peers_port (const mt_gateway_peers_t *peers);

/* Closes the socket; memory is freed in the loop's next iteration. */
void mt_gateway_peers_close (mt_gateway_peers_t *peers);

#endif
