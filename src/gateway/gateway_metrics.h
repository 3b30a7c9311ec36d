/*
** gateway_metrics.h - metrics in the Prometheus text format
*/
#ifndef gateway_metrics_h
#define gateway_metrics_h

#include "dialect.h"
#include "http_client.h"
#include "http_server.h"
#include "gateway_peers.h"
#include "log_writer.h"
#include "loop_turns.h"
#include "overload.h"

/* Where the values are read from. */
typedef struct mt_gateway_metrics_t {
  const mt_relay_t *relay;
  const mt_http_client_t *engines;
  const mt_http_server_t *callers;
  const mt_memory_budget_t *budget;
  const mt_overload_t *overload;
  const mt_log_writer_t *log;
  const mt_loop_turns_t *turns;
  const mt_peer_traffic_t *traffic; /* by mt_peer_kind_t */
  const uint64_t *updates;          /* by mt_feed_outcome_t */
  const uint64_t *source_events;    /* by mt_source_event_t */
  const mt_source_faults_t *source_faults;
  uint64_t addresses_refused; /* router addresses not stored */
} mt_gateway_metrics_t;

/* Appends all metrics. */
void mt_gateway_metrics (const mt_gateway_metrics_t *from, mt_strbuf_t *out);

#endif
