/*
** gateway_feeds.c - declarations and engines, as their source or a watcher
** tells of them
*/
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gateway_log.h"
#include "gateway_state.h"

void mt_gateway_declare (mt_gateway_t *g, mt_catalog_t *catalog) {
  mt_http_server_limits_t limits = {.header_bytes =
                                        catalog->limits.header_bytes,
                                    .body_bytes = catalog->limits.body_bytes,
                                    .header_ms = catalog->limits.header_ms,
                                    .idle_ms = catalog->limits.idle_ms};
  int64_t version = catalog->version;
  size_t routes = catalog->routes_count;
  size_t workspaces = catalog->workspaces_count;
  bool taken = mt_relay_declare(g->relay, catalog);
  mt_log_line(g->log, MT_LOG_BELIEF, uv_now(g->loop), "configuration",
              "version=%lld routes=%zu workspaces=%zu outcome=%s",
              (long long)version, routes, workspaces,
              taken ? "in-force" : "older");
  if (taken) mt_http_server_limits(g->callers, &limits);
}

static void log_engine (mt_gateway_t *g, const mt_engine_t *e,
                        const char *outcome) {
  mt_gateway_log_engine(g->log, uv_now(g->loop), e, outcome);
}

static void set_state (mt_gateway_t *g, mt_engine_t *e,
                       mt_engine_state_t state, bool is_new) {
  bool changed = e->state != state || e->vanished != 0 || is_new;
  e->state = state;
  e->vanished = 0;
  if (changed) log_engine(g, e, mt_gateway_state_name(state));
}

void mt_gateway_engine_gone (void *ud, const mt_engine_t *e) {
  mt_gateway_t *g = ud;
  log_engine(g, e, mt_gateway_state_name(e->state));
  mt_http_client_forget(g->engines, e->key);
}

static void engine_left (mt_gateway_t *g, mt_engine_t *e) {
  bool told = e->vanished != 0 || e->state == MT_ENGINE_GONE;
  mt_relay_engine_left(g->relay, e, uv_now(g->loop));
  if (!told && e->vanished != 0) log_engine(g, e, "vanished");
}

static void take_engine (mt_gateway_t *g, const char *name,
                         const mt_gateway_engine_t *engine) {
  uint64_t key = mt_engine_key(name, strlen(name));
  mt_engine_t *e = mt_engines_get(&g->relay->engines, key);
  if (engine == NULL) {
    if (e != NULL) engine_left(g, e);
    return;
  }
  bool is_new = e == NULL;
  if (is_new) e = mt_engines_add(&g->relay->engines, name);
  snprintf(e->ip, sizeof e->ip, "%s", engine->ip);
  e->port = engine->port;
  e->slots = engine->slots;
  e->service = mtV_id(engine->service, strlen(engine->service));
  if (e->domain == NULL || strcmp(e->domain, engine->domain) != 0) {
    free(e->domain);
    e->domain = strdup(engine->domain);
    e->domain_id = mtV_id(e->domain, strlen(e->domain));
    e->far = strcmp(e->domain, g->relay->domain) != 0;
  }
  mt_relay_engine_listed(g->relay, e, engine->cold, uv_now(g->loop));
  set_state(g, e, engine->leaving ? MT_ENGINE_LEAVING : MT_ENGINE_READY,
            is_new);
}

void mt_gateway_evacuate (mt_gateway_t *g, const char *domain, bool on) {
  if (!mt_relay_evacuate(g->relay, domain, on, uv_now(g->loop))) return;
  mt_log_line(g->log, MT_LOG_BELIEF, uv_now(g->loop), "evacuation",
              "domain=%s outcome=%s", domain, on ? "begun" : "over");
}

/* What the source itself says is told to the others, too. */
void mt_gateway_engine (mt_gateway_t *g, const char *name,
                        const mt_gateway_engine_t *engine) {
  mt_peer_entry_t entry = {.gone = engine == NULL};
  snprintf(entry.name, sizeof entry.name, "%s", name);
  if (engine != NULL) {
    snprintf(entry.domain, sizeof entry.domain, "%s", engine->domain);
    snprintf(entry.ip, sizeof entry.ip, "%s", engine->ip);
    snprintf(entry.service, sizeof entry.service, "%s", engine->service);
    entry.port = engine->port;
    entry.slots = (uint16_t)engine->slots;
    entry.leaving = engine->leaving;
    entry.cold = (uint32_t)engine->cold;
  }
  mt_gateway_peers_changed(g->peers, &entry);
  take_engine(g, name, engine);
}

void mt_gateway_take_entry (void *ud, const mt_peer_entry_t *entry) {
  const mt_gateway_engine_t engine = {.name = entry->name,
                                      .domain = entry->domain,
                                      .ip = entry->ip,
                                      .port = entry->port,
                                      .service = entry->service,
                                      .slots = entry->slots,
                                      .leaving = entry->leaving,
                                      .cold = entry->cold};
  take_engine(ud, entry->name, entry->gone ? NULL : &engine);
}

void mt_gateway_set_unsure (mt_gateway_t *g, bool unsure) {
  g->relay->unsure = unsure;
}

mt_peer_feed_t mt_gateway_feed (const mt_gateway_t *g, mt_feed_kind_t kind) {
  return mt_gateway_peers_feed(g->peers, kind);
}

int64_t mt_gateway_taken (const mt_gateway_t *g, mt_feed_kind_t kind) {
  return mt_gateway_peers_taken(g->peers, kind);
}

int64_t mt_gateway_told (const mt_gateway_t *g, mt_feed_kind_t kind) {
  return mt_gateway_peers_told(g->peers, kind);
}

void mt_gateway_set_feed (mt_gateway_t *g, mt_feed_kind_t kind,
                          int64_t newest, int64_t at, bool now) {
  mt_gateway_peers_set_feed(g->peers, kind, newest, at, now);
}

void mt_gateway_set_source (mt_gateway_t *g, bool reachable) {
  mt_gateway_peers_set_source(g->peers, reachable);
}

bool mt_gateway_watches (const mt_gateway_t *g) {
  return mt_gateway_peers_watches(g->peers);
}

bool mt_gateway_leads (const mt_gateway_t *g) {
  return mt_gateway_peers_leads(g->peers);
}
