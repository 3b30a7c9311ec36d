/*
** gateway_state.h - private state of a gateway, shared by its source files
**
** gateway.c handles connections and the process's start and stop,
** gateway_feeds.c changes from the configuration source, gateway_inventory.c
** lists what is in force by it, gateway_notices.c handles what engines'
** answers say about engines, gateway_suspects.c shows and records suspects.
** No other file includes this.
*/
#ifndef gateway_state_h
#define gateway_state_h

#include "gateway.h"
#include "gateway_load.h"
#include "gateway_peers.h"
#include "loop_turns.h"
#include "overload.h"

struct mt_gateway_t {
  uv_loop_t *loop;
  mt_gateway_settings_t settings;
  const mt_dialect_t *dialect;
  mt_relay_t *relay;
  mt_http_server_t *callers, *ready, *metrics; /* listeners */
  mt_http_client_t *engines;
  mt_memory_budget_t budget; /* for what callers make the process hold */
  size_t buffered;           /* of the relay, as counted in it */
  mt_ms_t denied_logged;     /* when a denied caller was last logged */
  uint64_t denied;           /* since then */
  mt_gateway_peers_t *peers;
  mt_log_writer_t *log;
  mt_gateway_source_t source;
  uv_timer_t tick;
  mt_map_t inflight_by_number; /* inflight_t (gateway.c), owned */
  uint64_t next_number;        /* last request number that was given out */
  mt_ms_t started, stopping;   /* `stopping`: when the stop began, or 0 */
  int out_of_time;             /* ticks that found the grace nearly over */
  mt_ms_t last_tick; /* time of the last tick, or of the last timer restart */
  mt_ms_t tick_ms;   /* interval of the tick timer */
  mt_ms_t last_busy; /* when a request was last in progress */
  mt_ms_t suspended_ms; /* total time suspended, as of the last tick */
  mt_overload_t overload;
  mt_gateway_load_t load;
  mt_loop_turns_t turns;
  uint64_t source_events[MT_SOURCE_EVENTS];
  mt_source_faults_t source_faults;
  mt_ms_t restored_at; /* when the source was last restored; 0: never */
  mt_revision_t
      catalog_rev; /* of that configuration; valid if there is one */
  mt_suspect_records_t records; /* of suspects, at the source */
  mt_strbuf_t scratch; /* for heads and pages that are being written */
};

/* Feeds an event to the relay, with the current time, and carries out the
   resulting effects. */
void mt_gateway_step (mt_gateway_t *gateway, mt_relay_event_t *event);

/* Callbacks of gateway_peers.h, see mt_feed_inventory_callbacks_t. */
void mt_gateway_list_items (void *gateway, mt_feed_kind_t kind,
                            mt_inventory_t *inventory);
bool mt_gateway_item_change (void *gateway, const mt_item_t *item,
                             mt_item_match_t match,
                             const mt_peer_inventory_t *part,
                             mt_change_t *change);

/* Applies what the head of an answer says about its engine (draining,
   backoff). `started_at`: the start of the engine that the request was sent
   to; `id`: the caller's id of the request. */
void mt_gateway_apply_notice (mt_gateway_t *gateway, uint64_t engine,
                              int64_t started_at, int status,
                              const mt_http_headers_t *headers,
                              mt_bytes_t id);

/* Writes the list of suspects (GET) to `scratch`, or clears one first
   (DELETE) at all routers: it is reported to its owner as answered. False if
   it is not known. */
bool mt_gateway_write_suspects_page (mt_gateway_t *gateway, mt_bytes_t method,
                                     mt_bytes_t target);

/* Tells the relay if its list of engines is up to date. */
void mt_gateway_check_list (mt_gateway_t *gateway);

/* Callback of gateway_peers.h: applies a drain notice that another router
   gossiped. True if it was new and the engine was listed as ready. */
bool mt_gateway_apply_peer_drain (void *gateway,
                                  const mt_peer_drain_t *received,
                                  uint32_t router);

/* Callback of the relay: an engine is gone and gets no further requests. Logs
   that and closes idle connections to it. */
void mt_gateway_engine_gone (void *gateway, const mt_engine_t *engine);

/* An engine has restarted under its name: the requests that ran there are
   lost, and idle connections to it are closed. `version_changed`: its
   software version is another one. */
void mt_gateway_engine_restarted (mt_gateway_t *gateway,
                                  const mt_engine_t *engine,
                                  bool version_changed);

/* Callback of gateway_peers.h: applies a change at the source that another
   router sent; `since`: when a router first read it. False if only the source
   itself may supply it. */
bool mt_gateway_apply_change (void *gateway, const mt_change_t *change,
                              mt_ms_t since);

#endif
