/*
** gateway_load.h - log line about the load of a gateway that is short of
** processor time
**
** One line a second while the gateway is overloaded or refuses requests for
** that. It tells the reasons apart: too many requests in progress, ticks that
** come late because the process used its processor time up, and ticks that
** come late although it used little.
*/
#ifndef gateway_load_h
#define gateway_load_h

#include "http_server.h"
#include "log_writer.h"
#include "overload.h"
#include "relay.h"

/* Counters at the start of the current period. */
typedef struct mt_gateway_load_t {
  mt_ms_t since;
  mt_ms_t longest; /* interval between two ticks in this period */
  mt_ms_t processor;
  uint64_t requests, answers, refused, full, lagging, accepted;
} mt_gateway_load_t;

/* What the line is written from. */
typedef struct mt_gateway_load_view_t {
  const mt_relay_t *relay;
  const mt_http_server_t *callers;
  const mt_overload_t *overload;
  mt_ms_t processor; /* time that the process has used, ms */
} mt_gateway_load_view_t;

/* A tick came `elapsed` ms after the last one. */
void mt_gateway_load_tick (mt_gateway_load_t *load,
                           const mt_gateway_load_view_t *view,
                           mt_log_writer_t *log, mt_ms_t elapsed,
                           mt_ms_t now);

#endif
