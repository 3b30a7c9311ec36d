/*
** gateway_state.h - the state of a gateway, for the files that it consists of
**
** gateway.c has the life of connections and of the process, gateway_feeds.c
** what comes from the source of declarations. Nobody else includes this.
*/
#ifndef gateway_state_h
#define gateway_state_h

#include "gateway.h"
#include "gateway_peers.h"
#include "overload.h"

struct mt_gateway_t {
  uv_loop_t *loop;
  mt_gateway_settings_t settings;
  const mt_dialect_t *dialect;
  mt_relay_t *relay;
  mt_http_server_t *callers, *ready, *metrics;
  mt_http_client_t *engines;
  mt_gateway_peers_t *peers;
  mt_log_writer_t *log;
  uv_timer_t tick;
  mt_map_t passages;
  uint64_t next_number;
  mt_ms_t started, stopping; /* 0: not ordered to stop */
  mt_ms_t ticked;            /* the last tick, or when it was put off */
  mt_ms_t pace;              /* until the next */
  mt_ms_t busy;              /* a request was in progress last */
  mt_ms_t asleep;            /* that the machine had slept then */
  mt_overload_t overload;
  uint64_t source_events[MT_SOURCE_EVENTS];
  mt_ms_t restored; /* the source was last; 0: it was not */
  mt_text_t scratch;
};

/* Takes an event and carries out its effects; sets its time. */
void mt_gateway_step (mt_gateway_t *gateway, mt_relay_event_t *event);

/* An answer of the start `started_at` of an engine began: takes what it says
   of the engine. */
void mt_gateway_take_notice (mt_gateway_t *gateway, uint64_t engine,
                             int64_t started_at, int status,
                             const mt_http_headers_t *headers);

/* The peers' call: as in drain_exchange.h. */
bool mt_gateway_take_peer_drain (void *gateway, const mt_peer_drain_t *told,
                                 uint32_t router);

/* The relay's call: an engine is gone; nothing waits for it any more. */
void mt_gateway_engine_gone (void *gateway, const mt_engine_t *engine);

/* An engine has started again under its name: ends what ran there. */
void mt_gateway_engine_restarted (mt_gateway_t *gateway,
                                  const mt_engine_t *engine);

/* The peers' call: another router told of a change at the source. */
bool mt_gateway_take_change (void *gateway, const mt_change_t *change,
                             mt_ms_t since);

#endif
