/*
** gateway_log.h - log lines about requests and engines; their fields are
** listed in docs/OPERATIONS.md
*/
#ifndef gateway_log_h
#define gateway_log_h

#include "http_client.h"
#include "log_writer.h"
#include "relay.h"

/* Logs the outcome of an attempt or of a request. Answers to a first attempt
   have a class of their own, with its own rate limit (log_writer.h), so that
   however many there are, lines about failures are not dropped for them. */
void mt_gateway_log_request (mt_log_writer_t *log, const mt_relay_t *relay,
                             const mt_relay_request_t *request,
                             const char *outcome, const char *why);

/* Logs a change of an engine's state. */
void mt_gateway_log_engine (mt_log_writer_t *log, mt_ms_t now,
                            const mt_engine_t *engine, const char *outcome);

/* Logs that the engine sent an answer that is not to its request. `id`: the
   caller's id of that request. */
void mt_gateway_log_foreign (mt_log_writer_t *log, mt_ms_t now,
                             const mt_engine_t *engine, mt_bytes_t id,
                             int status);

/* Logs that the head of the engine's answer to that request was none. `name`:
   of the field that was wrong, or empty. */
void mt_gateway_log_malformed (mt_log_writer_t *log, mt_ms_t now,
                               const mt_engine_t *engine, mt_bytes_t id,
                               mt_http_head_fault_t why, mt_bytes_t name);

/* Logs that the engine's failure domain became reachable or unreachable, by a
   connect to the engine. */
void mt_gateway_log_domain (mt_log_writer_t *log, mt_ms_t now,
                            const mt_engine_t *engine, bool reachable);

/* Names in log lines. */
const char *mt_gateway_state_name (mt_engine_state_t state);
const char *mt_gateway_probe_name (mt_http_probe_t how);

/* Logs the state of a suspect. `router`: address of the one that reported the
   change, or "-". */
void mt_gateway_log_suspect (mt_log_writer_t *log, mt_ms_t now,
                             const mt_relay_t *relay, uint64_t name,
                             const char *router, const char *outcome);

#endif
