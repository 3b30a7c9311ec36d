/*
** gateway_notices.c - drain and backoff notices of engines, from their
** answers or gossiped by other routers
*/
#include <arpa/inet.h>

#include "gateway_log.h"
#include "gateway_state.h"

static void apply_notice (mt_gateway_t *g, uint64_t engine,
                          const mt_engine_notice_t *notice,
                          const mt_engine_drain_t *drain) {
  mt_relay_event_t event = {.kind = MT_RELAY_NOTICE};
  event.u.notice.engine = engine;
  event.u.notice.advertises = *notice;
  event.u.notice.drain = *drain;
  mt_gateway_step(g, &event);
}

/*
** A notice counts whether or not a request still waits for the answer, and
** also when the answer belongs to an earlier request. An engine may send
** bytes that are no answer: a head among them tells nothing.
*/
void mt_gateway_apply_notice (mt_gateway_t *g, uint64_t engine,
                              int64_t started_at, int status,
                              const mt_http_headers_t *headers,
                              mt_bytes_t id) {
  const mt_engine_t *e = mt_engines_get(&g->relay->engines, engine);
  const mt_engine_notice_t notice = g->dialect->notice(status, headers);
  if (!notice.draining && notice.backoff == 0) return;
  if (!g->dialect->is_genuine(status, headers, id)) return;
  /* The cached time of a long turn would end a backoff too early. */
  mt_loop_turns_update_time(&g->turns);
  mt_ms_t now = mt_boot_clock_now(g->loop);
  const mt_engine_drain_t drain = {now, started_at, false};
  if (e == NULL || (started_at != 0 && started_at < e->started_at)) return;
  const mt_relay_counters_t before = g->relay->counters;
  apply_notice(g, engine, &notice, &drain);
  if (g->relay->counters.backoffs != before.backoffs)
    mt_gateway_log_engine(g->log, now, e, "asks-rest");
  if (g->relay->counters.drains == before.drains) return;
  mt_gateway_log_engine(g->log, now, e, "says-leaving");
  if (e->state == MT_ENGINE_READY)
    mt_gateway_peers_engine_draining(g->peers, engine);
}

bool mt_gateway_apply_peer_drain (void *ud, const mt_peer_drain_t *received,
                                  uint32_t router) {
  mt_gateway_t *g = ud;
  mt_ms_t now = mt_boot_clock_now(g->loop);
  const mt_engine_t *e = mt_engines_get(&g->relay->engines, received->engine);
  const mt_engine_notice_t notice = {.draining = true};
  const mt_engine_drain_t drain = {now - mt_min(received->age, now),
                                   received->started_at, true};
  char text[INET_ADDRSTRLEN];
  uint64_t before = g->relay->counters.drains_gossiped;
  apply_notice(g, received->engine, &notice, &drain);
  if (e == NULL || g->relay->counters.drains_gossiped == before) return false;
  inet_ntop(AF_INET, &router, text, sizeof text);
  mt_log_line(g->log, MT_LOG_STATE, now, "engine",
              "engine=%s age=%llu peer=%s outcome=told-leaving", e->name,
              (unsigned long long)received->age, text);
  return e->state == MT_ENGINE_READY;
}
