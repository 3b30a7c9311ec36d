/*
** gateway_feeds.c - declarations and engines, as their source or another
** router tells of them
*/
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catalog_diff.h"
#include "gateway_log.h"
#include "gateway_state.h"
#include "mtcrypt.h"

/* Writers that reach the source have written again by then. */
#define RESTORE_GRACE_MS 2500

void mt_gateway_restored (mt_gateway_t *g) {
  g->restored = mt_boot_clock_now(g->loop);
}

bool mt_gateway_in_restore_grace (const mt_gateway_t *g) {
  mt_ms_t now = mt_boot_clock_now(g->loop);
  return g->restored != 0 && now < g->restored + RESTORE_GRACE_MS;
}

/* {== Declarations ===================================================== */

/* What begins is told only while it is little; a large change of routes would
   drive everything else from the log. */
#define BEGINS_MOST 64

/* A newer version, while others are told how it differs. */
typedef struct declaring_t {
  mt_gateway_t *gateway;
  mt_revision_t rev;
  int begins;     /* told of things that begin */
  bool ends_only; /* a later version may have ended what this one begins */
} declaring_t;

static void tell_of (declaring_t *d, const mt_change_t *change, bool begins) {
  if (begins && (d->ends_only || d->begins++ >= BEGINS_MOST)) return;
  mt_gateway_peers_changed(d->gateway->peers, change);
}

static void tell_key (void *ud, mt_bytes_t key, bool granted) {
  declaring_t *d = ud;
  char digest[MT_DIGEST_HEX + 1];
  mtH_sha256(key.p, key.n, digest);
  mt_change_t change =
      mt_change_make(granted ? MT_CHANGE_KEY_GRANTED : MT_CHANGE_KEY_REVOKED,
                     digest, d->rev);
  tell_of(d, &change, granted);
}

static void tell_route (void *ud, mt_id_t route, mt_id_t service,
                        bool opened) {
  declaring_t *d = ud;
  mt_change_t change = mt_change_make_route(opened ? MT_CHANGE_ROUTE_ADDED
                                                   : MT_CHANGE_ROUTE_REMOVED,
                                            route, service, d->rev);
  tell_of(d, &change, opened);
}

/* The change that a version makes of what others told; false: none.
   `digests`: of its keys. */
static bool flip (const mt_catalog_t *c, const mt_map_t *digests,
                  const mt_change_t *told, mt_revision_t rev,
                  mt_change_t *change) {
  bool holds = false;
  *change = *told;
  change->rev = rev;
  change->age = 0;
  switch (mt_change_subject(told->kind)) {
    case MT_SUBJECT_KEY:
      holds = mtV_get(digests, mt_catalog_digest_key(told->name)) != NULL;
      change->kind = holds ? MT_CHANGE_KEY_GRANTED : MT_CHANGE_KEY_REVOKED;
      break;
    case MT_SUBJECT_ROUTE:
      holds =
          mt_catalog_routes_to(c, told->u.path.route, told->u.path.service);
      change->kind = holds ? MT_CHANGE_ROUTE_ADDED : MT_CHANGE_ROUTE_REMOVED;
      break;
    default: break;
  }
  return change->kind != told->kind;
}

/*
** A router that did not read the versions in between tells what they began
** and this one ends: it has heard of that. Without this others would let in a
** key of a version that its reader has skipped.
*/
static void tell_of_skipped (declaring_t *d, const mt_catalog_t *catalog) {
  mt_gateway_t *g = d->gateway;
  mt_change_t flips[MT_DENIALS_MAX], change;
  mt_map_t digests = {0};
  size_t count = 0;
  const mt_change_log_t *log =
      mt_gateway_peers_log(g->peers, MT_FEED_DECLARATIONS);
  mt_catalog_digests(catalog, &digests);
  for (size_t i = 0; i < log->slots && count < mt_countof(flips); i++) {
    const mt_change_t *told = mt_change_log_slot(log, i);
    if (told != NULL && told->rev < d->rev &&
        flip(catalog, &digests, told, d->rev, &change))
      flips[count++] = change;
  }
  mtV_free(&digests);
  for (size_t i = 0; i < count; i++)
    if (!d->ends_only || mt_change_is_withdrawal(flips[i].kind))
      mt_gateway_peers_changed(g->peers, &flips[i]);
}

static void tell_version (mt_gateway_t *g, const mt_catalog_t *catalog,
                          mt_revision_t rev) {
  declaring_t declaring = {g, rev, 0, mt_gateway_in_restore_grace(g)};
  const mt_catalog_diff_callbacks_t calls = {tell_key, tell_route,
                                             &declaring};
  mt_change_t document = mt_change_make(MT_CHANGE_OTHER, "declarations", rev);
  mt_gateway_peers_changed(g->peers, &document);
  const mt_catalog_t *old = g->relay->catalog;
  if (old == NULL || catalog->version <= old->version) return;
  mt_catalog_diff(old, catalog, &calls);
  tell_of_skipped(&declaring, catalog);
}

void mt_gateway_declare (mt_gateway_t *g, mt_catalog_t *catalog,
                         mt_revision_t rev) {
  mt_http_server_limits_t limits = {.header_bytes =
                                        catalog->limits.header_bytes,
                                    .body_bytes = catalog->limits.body_bytes,
                                    .header_ms = catalog->limits.header_ms,
                                    .idle_ms = catalog->limits.idle_ms};
  int64_t version = catalog->version;
  size_t routes = catalog->routes_count;
  size_t workspaces = catalog->workspaces_count;
  tell_version(g, catalog, rev);
  bool taken = mt_relay_declare(g->relay, catalog);
  mt_log_line(
      g->log, MT_LOG_STATE, mt_boot_clock_now(g->loop), "configuration",
      "version=%lld routes=%zu workspaces=%zu outcome=%s", (long long)version,
      routes, workspaces, taken ? "in-force" : "older");
  if (version == g->relay->catalog->version &&
      !mt_gateway_in_restore_grace(g))
    mt_denials_prune(&g->relay->denials, rev);
  if (taken) mt_http_server_set_limits(g->callers, &limits);
}

void mt_gateway_unreadable (mt_gateway_t *g, const char *reason) {
  mt_log_line(g->log, MT_LOG_STATE, mt_boot_clock_now(g->loop),
              "configuration", "outcome=unreadable why=\"%s\"", reason);
}

static void empty_domain (mt_gateway_t *g, const char *domain, bool on) {
  if (!mt_relay_evacuate(g->relay, domain, on, mt_boot_clock_now(g->loop)))
    return;
  mt_log_line(g->log, MT_LOG_STATE, mt_boot_clock_now(g->loop), "evacuation",
              "domain=%s outcome=%s", domain, on ? "begun" : "over");
}

void mt_gateway_evacuate (mt_gateway_t *g, const char *domain, bool on,
                          mt_revision_t rev) {
  mt_change_t change = mt_change_make(on ? MT_CHANGE_DOMAIN_EVACUATED
                                         : MT_CHANGE_DOMAIN_REINSTATED,
                                      domain, rev);
  if (mt_gateway_peers_changed(g->peers, &change))
    empty_domain(g, domain, on);
}

/* }== */

/* {== Engines ========================================================== */

static void log_engine (mt_gateway_t *g, const mt_engine_t *e,
                        const char *outcome) {
  mt_gateway_log_engine(g->log, mt_boot_clock_now(g->loop), e, outcome);
}

static void set_state (mt_gateway_t *g, mt_engine_t *e,
                       mt_engine_state_t state, bool is_new) {
  bool changed = e->state != state || e->unlisted_since != 0 || is_new;
  e->state = state;
  e->unlisted_since = 0;
  if (changed) log_engine(g, e, mt_gateway_state_name(state));
}

void mt_gateway_engine_gone (void *ud, const mt_engine_t *e) {
  mt_gateway_t *g = ud;
  log_engine(g, e, mt_gateway_state_name(e->state));
  mt_http_client_close_idle(g->engines, e->key);
}

static void engine_left (mt_gateway_t *g, mt_engine_t *e, mt_ms_t since) {
  bool told = e->unlisted_since != 0 || e->state == MT_ENGINE_GONE;
  mt_relay_engine_left(g->relay, e, since, mt_boot_clock_now(g->loop));
  if (!told && e->unlisted_since != 0) log_engine(g, e, "vanished");
}

/* Word of an earlier start of the engine, told late. */
static bool is_earlier_start (const mt_engine_t *e,
                              const mt_gateway_engine_t *engine) {
  return engine->started_at != 0 && engine->started_at < e->started_at;
}

static bool is_later_start (const mt_engine_t *e,
                            const mt_gateway_engine_t *engine) {
  return e->started_at != 0 && engine->started_at > e->started_at;
}

/* `since`: some router heard of it from the source then. */
static void take_engine (mt_gateway_t *g, const char *name,
                         const mt_gateway_engine_t *engine, mt_revision_t rev,
                         mt_ms_t since) {
  uint64_t key = mt_engine_key(name, strlen(name));
  mt_engine_t *e = mt_engines_get(&g->relay->engines, key);
  if (engine == NULL) {
    if (e == NULL) return;
    e->rev = mt_max(e->rev, rev);
    engine_left(g, e, since);
    return;
  }
  bool is_new = e == NULL;
  if (is_new) e = mt_engines_add(&g->relay->engines, name);
  e->rev = mt_max(e->rev, rev);
  if (is_earlier_start(e, engine)) return;
  if (is_later_start(e, engine)) {
    log_engine(g, e, "restarted");
    mt_gateway_engine_restarted(g, e);
    is_new = true; /* in all but its name */
  }
  e->started_at = mt_max(e->started_at, engine->started_at);
  snprintf(e->ip, sizeof e->ip, "%s", engine->ip);
  e->port = engine->port;
  e->slots = engine->slots;
  e->service = mtV_id(engine->service, strlen(engine->service));
  if (e->domain == NULL || strcmp(e->domain, engine->domain) != 0) {
    free(e->domain);
    e->domain = strdup(engine->domain);
    e->domain_id = mtV_id(e->domain, strlen(e->domain));
    e->remote = strcmp(e->domain, g->relay->domain) != 0;
  }
  uint64_t told = g->relay->counters.drains_heard;
  mt_relay_engine_listed(g->relay, e, engine->cold,
                         mt_boot_clock_now(g->loop));
  if (g->relay->counters.drains_heard != told)
    log_engine(g, e, "told-leaving-early");
  set_state(g, e, engine->draining ? MT_ENGINE_DRAINING : MT_ENGINE_READY,
            is_new);
}

static mt_change_t change_of_engine (const char *name,
                                     const mt_gateway_engine_t *engine,
                                     mt_revision_t rev) {
  mt_change_t change = mt_change_make(MT_CHANGE_ENGINE_GONE, name, rev);
  mt_change_engine_t *details = &change.u.engine;
  if (engine == NULL) return change;
  change.kind =
      engine->draining ? MT_CHANGE_ENGINE_DRAINING : MT_CHANGE_ENGINE_READY;
  snprintf(details->domain, sizeof details->domain, "%s", engine->domain);
  snprintf(details->ip, sizeof details->ip, "%s", engine->ip);
  snprintf(details->service, sizeof details->service, "%s", engine->service);
  details->port = engine->port;
  details->slots = (uint16_t)engine->slots;
  details->cold = (uint32_t)engine->cold;
  details->started_at = engine->started_at;
  return change;
}

/* True for one that ended in an earlier era than the change which shows it as
   ready: the store's copy may be from before that end. */
static bool may_have_ended (const mt_engine_t *e, const mt_change_t *change) {
  bool ended = e->state != MT_ENGINE_READY || e->unlisted_since != 0;
  bool again = change->u.engine.started_at > e->started_at;
  bool earlier = mt_revision_era(e->rev) < mt_revision_era(change->rev);
  return change->kind == MT_CHANGE_ENGINE_READY && ended && earlier && !again;
}

static bool is_unchanged (const mt_engine_t *e,
                          const mt_change_engine_t *read) {
  return e->state == MT_ENGINE_READY && e->unlisted_since == 0 &&
         e->started_at == read->started_at && strcmp(e->ip, read->ip) == 0 &&
         e->port == read->port && e->slots == read->slots;
}

/* In the grace of a restore, an entry that shows an engine as ready changes
   nothing where that is known, or may be the copy's. */
static bool is_redundant (const mt_gateway_t *g, const mt_change_t *change) {
  uint64_t key = mt_engine_key(change->name, strlen(change->name));
  const mt_engine_t *e = mt_engines_get(&g->relay->engines, key);
  if (e == NULL || change->kind != MT_CHANGE_ENGINE_READY) return false;
  return may_have_ended(e, change) || is_unchanged(e, &change->u.engine);
}

void mt_gateway_engine (mt_gateway_t *g, const char *name,
                        const mt_gateway_engine_t *engine,
                        mt_revision_t rev) {
  mt_change_t change = change_of_engine(name, engine, rev);
  if (mt_gateway_in_restore_grace(g) && is_redundant(g, &change)) return;
  if (mt_gateway_peers_changed(g->peers, &change))
    take_engine(g, name, engine, rev, mt_boot_clock_now(g->loop));
}

/* A list no longer shows it: it went at some time since others know more. */
static void engine_unlisted (mt_gateway_t *g, const char *name,
                             mt_revision_t rev) {
  mt_ms_t now = mt_boot_clock_now(g->loop);
  mt_ms_t since = mt_gateway_peers_lacking(g->peers, MT_FEED_ENGINES);
  mt_change_t gone = mt_change_make(MT_CHANGE_ENGINE_GONE, name, rev);
  if (since == 0) since = now;
  gone.age = now - since;
  if (mt_gateway_peers_changed(g->peers, &gone))
    take_engine(g, name, NULL, rev, since);
}

void mt_gateway_listed (mt_gateway_t *g, const mt_map_t *seen,
                        mt_revision_t rev) {
  mt_engines_t *engines = &g->relay->engines;
  if (mt_gateway_in_restore_grace(g)) return;
  for (size_t i = 0; i < engines->count; i++) {
    const mt_engine_t *e = engines->list[i];
    if (e->unlisted_since != 0 || e->state == MT_ENGINE_GONE) continue;
    if (mtV_get(seen, e->key) == NULL) engine_unlisted(g, e->name, rev);
  }
  mt_gateway_peers_listed(g->peers, seen, rev);
}

/*
** Datagrams come from anybody, and an engine gets members' prompts: that one
** is there, and where, is only taken from the source itself. A change of an
** engine that is not known here is of no use until the source tells of it.
*/
static bool take_told_engine (mt_gateway_t *g, const mt_change_t *change,
                              mt_ms_t since) {
  const mt_change_engine_t *told = &change->u.engine;
  const mt_gateway_engine_t engine = {.name = change->name,
                                      .domain = told->domain,
                                      .ip = told->ip,
                                      .port = told->port,
                                      .service = told->service,
                                      .slots = told->slots,
                                      .started_at = told->started_at,
                                      .draining = change->kind ==
                                                  MT_CHANGE_ENGINE_DRAINING,
                                      .cold = told->cold};
  uint64_t key = mt_engine_key(change->name, strlen(change->name));
  const mt_engine_t *e = mt_engines_get(&g->relay->engines, key);
  if (change->kind == MT_CHANGE_ENGINE_GONE) {
    take_engine(g, change->name, NULL, change->rev, since);
    return true;
  }
  if (e != NULL && may_have_ended(e, change) &&
      (mt_gateway_in_restore_grace(g) || e->state == MT_ENGINE_DRAINING))
    return false;
  bool known =
      e != NULL && strcmp(e->ip, told->ip) == 0 && e->port == told->port;
  if (known) take_engine(g, change->name, &engine, change->rev, since);
  return known;
}

/* }== */

bool mt_gateway_take_change (void *ud, const mt_change_t *change,
                             mt_ms_t since) {
  mt_gateway_t *g = ud;
  mt_denials_t *denials = &g->relay->denials;
  switch (change->kind) {
    case MT_CHANGE_ENGINE_READY:
    case MT_CHANGE_ENGINE_DRAINING:
    case MT_CHANGE_ENGINE_GONE: return take_told_engine(g, change, since);
    case MT_CHANGE_DOMAIN_EVACUATED:
    case MT_CHANGE_DOMAIN_REINSTATED:
      empty_domain(g, change->name,
                   change->kind == MT_CHANGE_DOMAIN_EVACUATED);
      return true;
    case MT_CHANGE_KEY_REVOKED:
    case MT_CHANGE_KEY_GRANTED:
      mt_denials_set_key(denials, change->name, change->rev,
                         change->kind == MT_CHANGE_KEY_REVOKED);
      return true;
    case MT_CHANGE_ROUTE_REMOVED:
    case MT_CHANGE_ROUTE_ADDED:
      mt_denials_set_route(denials, change->u.path.route,
                           change->u.path.service, change->rev,
                           change->kind == MT_CHANGE_ROUTE_REMOVED);
      return true;
    case MT_CHANGE_OTHER:
    case MT_CHANGE_KINDS: break;
  }
  return false;
}

void mt_gateway_set_unsure (mt_gateway_t *g, bool unsure) {
  g->relay->unsure = unsure;
}

mt_peer_feed_t mt_gateway_feed (const mt_gateway_t *g, mt_feed_kind_t kind) {
  return mt_gateway_peers_feed(g->peers, kind);
}

mt_revision_t mt_gateway_taken (const mt_gateway_t *g, mt_feed_kind_t kind) {
  return mt_gateway_peers_taken(g->peers, kind);
}

mt_revision_t mt_gateway_told (const mt_gateway_t *g, mt_feed_kind_t kind) {
  return mt_gateway_peers_told(g->peers, kind);
}

void mt_gateway_set_feed (mt_gateway_t *g, mt_feed_kind_t kind,
                          mt_revision_t newest, mt_revision_t at,
                          mt_feed_reading_t reading) {
  mt_gateway_peers_set_feed(g->peers, kind, newest, at, reading);
}

void mt_gateway_set_source (mt_gateway_t *g, bool reachable) {
  mt_gateway_peers_set_source(g->peers, reachable);
}

void mt_gateway_count_source (mt_gateway_t *g, mt_source_event_t event) {
  g->source_events[event]++;
}

bool mt_gateway_watches (const mt_gateway_t *g) {
  return mt_gateway_peers_watches(g->peers);
}

bool mt_gateway_leads (const mt_gateway_t *g) {
  return mt_gateway_peers_leads(g->peers);
}
