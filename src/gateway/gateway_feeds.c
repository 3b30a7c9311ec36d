/*
** gateway_feeds.c - changes of configuration and engines, from the source or
** from other routers
*/
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catalog_diff.h"
#include "gateway_log.h"
#include "gateway_state.h"
#include "mtcrypt.h"
#include "percent_encoding.h"
#include "stream_resume.h"

/* Longer than a watch that reports no change is held by the source. */
#define LIST_AGE_MAX_MS 6000
/* By then all writers that reach the source have repeated their entries. */
#define RESTORE_GRACE_MS 2500
#define FAULT_LOG_INTERVAL_MS 1000
#define FAULT_NAME_SIZE 128 /* of an encoded name in a line */
#define DOMAIN_TEXT_SIZE MT_PERCENT_ENCODED_SIZE(MT_NAME_MAX)

void mt_gateway_source_restored (mt_gateway_t *g) {
  g->restored_at = mt_boot_clock_now(g->loop);
  mt_resume_record_lost(g->relay);
}

bool mt_gateway_in_restore_grace (const mt_gateway_t *g) {
  mt_ms_t now = mt_boot_clock_now(g->loop);
  return g->restored_at != 0 && now < g->restored_at + RESTORE_GRACE_MS;
}

/* {== Configuration ==================================================== */

/* Added keys and routes that are announced for one version. The change log is
   bounded: a large change of routes would push out everything else. */
#define ADDITIONS_MAX 64

/* A new version of the configuration, while the other routers are sent how it
   differs from the previous one. */
typedef struct announcement_t {
  mt_gateway_t *gateway;
  mt_revision_t rev;
  int additions; /* added keys and routes announced so far */
  /* In the grace period after a restore: the version may be an old one, and a
     later one may have removed what it adds. */
  bool removals_only;
} announcement_t;

static void announce (announcement_t *d, const mt_change_t *change,
                      bool is_addition) {
  if (is_addition && (d->removals_only || d->additions++ >= ADDITIONS_MAX))
    return;
  mt_gateway_peers_source_changed(d->gateway->peers, change);
}

static void announce_key (void *ud, mt_bytes_t key, bool granted) {
  announcement_t *d = ud;
  char digest[MT_DIGEST_HEX + 1];
  mtH_sha256(key.p, key.n, digest);
  mt_change_t change =
      mt_change_make(granted ? MT_CHANGE_KEY_GRANTED : MT_CHANGE_KEY_REVOKED,
                     digest, d->rev);
  announce(d, &change, granted);
}

static void announce_route (void *ud, mt_id_t route, mt_id_t service,
                            bool added) {
  announcement_t *d = ud;
  mt_change_t change = mt_change_make_route(added ? MT_CHANGE_ROUTE_ADDED
                                                  : MT_CHANGE_ROUTE_REMOVED,
                                            route, service, d->rev);
  announce(d, &change, added);
}

/* True if the configuration contradicts a change that other routers sent;
   `change` gets what holds instead. */
static bool contradicts (const mt_catalog_t *c, const mt_change_t *received,
                         mt_revision_t rev, mt_change_t *change) {
  bool present = false;
  *change = *received;
  change->rev = rev;
  change->age = 0;
  switch (mt_change_subject(received->kind)) {
    case MT_SUBJECT_KEY:
      present =
          mtV_get(&c->digests, mt_catalog_digest_key(received->name)) != NULL;
      change->kind = present ? MT_CHANGE_KEY_GRANTED : MT_CHANGE_KEY_REVOKED;
      break;
    case MT_SUBJECT_ROUTE:
      present = mt_catalog_routes_to(c, received->u.path.route,
                                     received->u.path.service);
      change->kind =
          present ? MT_CHANGE_ROUTE_ADDED : MT_CHANGE_ROUTE_REMOVED;
      break;
    default: break;
  }
  return change->kind != received->kind;
}

/*
** Announces what versions that this router did not read added, as it knows
** from other routers, and this version removes. Otherwise the others would
** go on accepting a key that was added in a skipped version.
*/
static void announce_skipped (announcement_t *d,
                              const mt_catalog_t *catalog) {
  mt_gateway_t *g = d->gateway;
  mt_change_t change;
  const mt_change_log_t *log =
      mt_gateway_peers_change_log(g->peers, MT_FEED_DECLARATIONS);
  for (size_t i = 0; i < log->slots; i++) {
    const mt_change_t *received = mt_change_log_slot(log, i);
    if (received == NULL || received->rev >= d->rev) continue;
    if (!contradicts(catalog, received, d->rev, &change)) continue;
    if (!d->removals_only || mt_change_is_withdrawal(change.kind))
      mt_gateway_peers_source_changed(g->peers, &change);
  }
}

static void announce_version (mt_gateway_t *g, const mt_catalog_t *catalog,
                              mt_revision_t rev) {
  announcement_t announcement = {g, rev, 0, mt_gateway_in_restore_grace(g)};
  const mt_catalog_diff_callbacks_t callbacks = {announce_key, announce_route,
                                                 &announcement};
  mt_change_t document = mt_change_make(MT_CHANGE_OTHER, "declarations", rev);
  mt_gateway_peers_source_changed(g->peers, &document);
  const mt_catalog_t *old = g->relay->catalog;
  if (old == NULL || catalog->version <= old->version) return;
  mt_catalog_diff(old, catalog, &callbacks);
  announce_skipped(&announcement, catalog);
}

/* {== What other routers report as withdrawn ============================ */

/* True if the configuration in force has the key or the route. */
static bool is_configured (mt_gateway_t *g, const mt_change_t *change) {
  const mt_catalog_t *catalog = g->relay->catalog;
  if (catalog == NULL) return false;
  if (mt_change_subject(change->kind) == MT_SUBJECT_KEY)
    return mtV_get(&catalog->digests, mt_catalog_digest_key(change->name)) !=
           NULL;
  return mt_catalog_routes_to(catalog, change->u.path.route,
                              change->u.path.service);
}

static void apply_denial (mt_gateway_t *g, const mt_change_t *change) {
  bool is_key = mt_change_subject(change->kind) == MT_SUBJECT_KEY;
  mt_denials_t *denials = &g->relay->denials;
  mt_denial_table_t *table = is_key ? &denials->keys : &denials->routes;
  uint64_t id = is_key ? mt_catalog_digest_key(change->name)
                       : mt_denials_route_id(change->u.path.route,
                                             change->u.path.service);
  if (mt_change_is_withdrawal(change->kind))
    mt_denials_add(table, id, change->rev, is_configured(g, change));
  else
    mt_denials_lift(table, id, change->rev);
}

/* A version of the configuration was put into force: drops denials that it
   contains, and notes what else of its own is denied. */
static void update_denials (mt_gateway_t *g, mt_revision_t rev) {
  const mt_catalog_t *catalog = g->relay->catalog;
  mt_denials_t *denials = &g->relay->denials;
  mt_map_t routes = {0};
  if (!mt_gateway_in_restore_grace(g)) mt_denials_prune(denials, rev);
  for (size_t i = 0; i < denials->keys.count; i++)
    mt_denials_set_configured(
        &denials->keys, i,
        mtV_get(&catalog->digests, denials->keys.list[i].id) != NULL);
  if (denials->routes.count == 0) return;
  for (size_t i = 0; i < catalog->routes_count; i++) {
    mt_catalog_route_t *r = &catalog->routes[i];
    for (int k = 0; k < r->splits; k++)
      mtV_put(&routes, mt_denials_route_id(r->id, r->split[k].service), r);
  }
  for (size_t i = 0; i < denials->routes.count; i++)
    mt_denials_set_configured(&denials->routes, i,
                              mtV_get(&routes, denials->routes.list[i].id) !=
                                  NULL);
  mtV_free(&routes);
}

/* }== */

void mt_gateway_set_catalog (mt_gateway_t *g, mt_catalog_t *catalog,
                             mt_revision_t rev) {
  mt_http_server_limits_t limits = {.header_bytes =
                                        catalog->limits.header_bytes,
                                    .body_bytes = catalog->limits.body_bytes,
                                    .header_ms = catalog->limits.header_ms,
                                    .idle_ms = catalog->limits.idle_ms};
  int64_t version = catalog->version;
  size_t routes = catalog->routes_count;
  size_t workspaces = catalog->workspaces_count;
  int parts = catalog->parts;
  mt_loop_turns_add(&g->turns, MT_TURN_ROUTES, routes);
  announce_version(g, catalog, rev);
  bool applied = mt_relay_set_catalog(g->relay, catalog);
  mt_log_line(g->log, MT_LOG_STATE, mt_boot_clock_now(g->loop),
              "configuration",
              "version=%lld routes=%zu workspaces=%zu outcome=%s parts=%d",
              (long long)version, routes, workspaces,
              applied ? "in-force" : "older", parts);
  if (applied) g->catalog_rev = rev;
  if (version == g->relay->catalog->version) update_denials(g, rev);
  if (applied) mt_http_server_set_limits(g->callers, &limits);
}

void mt_gateway_catalog_invalid (mt_gateway_t *g, const char *reason) {
  mt_gateway_count_source_event(g, MT_SOURCE_REFUSED);
  mt_log_line(g->log, MT_LOG_STATE, mt_boot_clock_now(g->loop),
              "configuration", "outcome=unreadable why=\"%s\"", reason);
}

static void set_evacuated (mt_gateway_t *g, const char *domain, bool on) {
  char text[DOMAIN_TEXT_SIZE];
  if (!mt_relay_evacuate(g->relay, domain, on, mt_boot_clock_now(g->loop)))
    return;
  mt_percent_encode(text, sizeof text, (mt_bytes_t){domain, strlen(domain)});
  mt_log_line(g->log, MT_LOG_STATE, mt_boot_clock_now(g->loop), "evacuation",
              "domain=%s outcome=%s", text, on ? "begun" : "over");
}

void mt_gateway_evacuate (mt_gateway_t *g, const char *domain, bool on,
                          mt_revision_t rev) {
  mt_change_t change = mt_change_make(on ? MT_CHANGE_DOMAIN_EVACUATED
                                         : MT_CHANGE_DOMAIN_REINSTATED,
                                      domain, rev);
  if (mt_gateway_peers_source_changed(g->peers, &change))
    set_evacuated(g, domain, on);
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

static void remove_engine (mt_gateway_t *g, mt_engine_t *e, mt_ms_t since) {
  bool known = e->unlisted_since != 0 || e->state == MT_ENGINE_GONE;
  mt_relay_engine_unlisted(g->relay, e, since, mt_boot_clock_now(g->loop));
  if (!known && e->unlisted_since != 0) log_engine(g, e, "vanished");
}

/* True for a late change that is about an earlier start of the engine. */
static bool is_earlier_start (const mt_engine_t *e,
                              const mt_gateway_engine_t *engine) {
  return engine->started_at != 0 && engine->started_at < e->started_at;
}

static bool is_later_start (const mt_engine_t *e,
                            const mt_gateway_engine_t *engine) {
  return e->started_at != 0 && engine->started_at > e->started_at;
}

/* True if the entry states another version than is known. A version belongs
   to a start of the engine, so this is another one, also without a start
   time. */
static bool states_other (const mt_engine_t *e,
                          const mt_gateway_engine_t *engine) {
  const char *text = engine->version != NULL ? engine->version : "";
  return engine->version_known && e->version != 0 &&
         e->version != mtV_id(text, strlen(text));
}

/*
** Routers' changes do not state the version of a new start. Right after a
** restore an entry may be an old one of the backup. The version is then
** unknown until the entry is read again.
*/
static void set_version (const mt_gateway_t *g, mt_engine_t *e,
                         const mt_gateway_engine_t *engine, bool new_start) {
  if (engine->version_known) e->version_read_at = mt_boot_clock_now(g->loop);
  bool may_be_old = mt_gateway_in_restore_grace(g) &&
                    engine->started_at == 0 && states_other(e, engine);
  if (may_be_old || (new_start && !engine->version_known))
    mt_engine_forget_version(e);
  else if (engine->version_known)
    mt_engine_set_version(e, engine->version);
}

/* Adds, updates or (engine NULL) removes an engine. `since`: when a router
   first read the change from the source. */
static void apply_engine (mt_gateway_t *g, const char *name,
                          const mt_gateway_engine_t *engine,
                          mt_revision_t rev, mt_ms_t since) {
  uint64_t key = mt_engine_key(name, strlen(name));
  mt_engine_t *e = mt_engines_get(&g->relay->engines, key);
  mt_loop_turns_add(&g->turns, MT_TURN_ENGINES, 1);
  if (engine == NULL) {
    if (e == NULL) return;
    e->rev = mt_max(e->rev, rev);
    remove_engine(g, e, since);
    return;
  }
  bool is_new = e == NULL;
  if (is_new) e = mt_engines_add(&g->relay->engines, name);
  e->rev = mt_max(e->rev, rev);
  if (is_earlier_start(e, engine)) return;
  if (is_later_start(e, engine) || (!is_new && states_other(e, engine))) {
    log_engine(g, e, "restarted");
    mt_gateway_engine_restarted(g, e, states_other(e, engine));
    is_new = true; /* nothing but its name is the same */
  }
  e->started_at = mt_max(e->started_at, engine->started_at);
  snprintf(e->ip, sizeof e->ip, "%s", engine->ip);
  e->port = engine->port;
  e->slots = engine->slots;
  e->service = mtV_id(engine->service, strlen(engine->service));
  set_version(g, e, engine, is_new);
  if (e->domain == NULL || strcmp(e->domain, engine->domain) != 0) {
    free(e->domain);
    e->domain = strdup(engine->domain);
    e->domain_id = mtV_id(e->domain, strlen(e->domain));
    e->remote = strcmp(e->domain, g->relay->domain) != 0;
  }
  uint64_t drains_before = g->relay->counters.drains_gossiped;
  mt_relay_engine_listed(g->relay, e, engine->cold,
                         mt_boot_clock_now(g->loop));
  if (g->relay->counters.drains_gossiped != drains_before)
    log_engine(g, e, "told-leaving-early");
  set_state(g, e, engine->draining ? MT_ENGINE_DRAINING : MT_ENGINE_READY,
            is_new);
}

static mt_change_t engine_change (const char *name,
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

/* True for an engine that drained or was removed in an earlier era than that
   of the change which shows it as ready: the backup that the store was
   restored from may be older than that end. */
static bool may_have_ended (const mt_engine_t *e, const mt_change_t *change) {
  bool ended = e->state != MT_ENGINE_READY || e->unlisted_since != 0;
  bool restarted = change->u.engine.started_at > e->started_at;
  bool earlier_era = mt_revision_era(e->rev) < mt_revision_era(change->rev);
  return change->kind == MT_CHANGE_ENGINE_READY && ended && earlier_era &&
         !restarted;
}

static bool is_unchanged (const mt_engine_t *e,
                          const mt_gateway_engine_t *read) {
  return !states_other(e, read) && e->version != 0 &&
         e->state == MT_ENGINE_READY && e->unlisted_since == 0 &&
         e->started_at == read->started_at && strcmp(e->ip, read->ip) == 0 &&
         e->port == read->port && e->slots == read->slots;
}

/* True for an entry that shows an engine as ready and changes nothing in the
   grace period after a restore: that is known already, or the entry may be an
   old one from the backup. */
static bool is_redundant (const mt_gateway_t *g, const mt_change_t *change,
                          const mt_gateway_engine_t *engine) {
  uint64_t key = mt_engine_key(change->name, strlen(change->name));
  const mt_engine_t *e = mt_engines_get(&g->relay->engines, key);
  if (e == NULL || change->kind != MT_CHANGE_ENGINE_READY) return false;
  return may_have_ended(e, change) || is_unchanged(e, engine);
}

void mt_gateway_set_engine (mt_gateway_t *g, const char *name,
                            const mt_gateway_engine_t *engine,
                            mt_revision_t rev) {
  mt_change_t change = engine_change(name, engine, rev);
  if (mt_gateway_in_restore_grace(g) && is_redundant(g, &change, engine))
    return;
  if (mt_gateway_peers_source_changed(g->peers, &change))
    apply_engine(g, name, engine, rev, mt_boot_clock_now(g->loop));
}

/* The source may report a removal alone: an engine that is not known here has
   come and gone, and its software version is not known. */
void mt_gateway_engine_deleted (mt_gateway_t *g, const char *name,
                                mt_revision_t rev) {
  uint64_t key = mt_engine_key(name, strlen(name));
  if (mt_engines_get(&g->relay->engines, key) == NULL)
    mt_resume_engine_missed(g->relay);
  mt_gateway_set_engine(g, name, NULL, rev);
}

/* A list no longer has the engine. It was removed at some time since other
   routers have known changes that were not received here. */
static void engine_unlisted (mt_gateway_t *g, const char *name,
                             mt_revision_t rev) {
  mt_ms_t now = mt_boot_clock_now(g->loop);
  mt_ms_t since = mt_gateway_peers_behind_since(g->peers, MT_FEED_ENGINES);
  mt_change_t gone = mt_change_make(MT_CHANGE_ENGINE_GONE, name, rev);
  if (since == 0) since = now;
  gone.age = now - since;
  if (mt_gateway_peers_source_changed(g->peers, &gone))
    apply_engine(g, name, NULL, rev, since);
}

void mt_gateway_engines_listed (mt_gateway_t *g, const mt_map_t *seen,
                                mt_revision_t rev) {
  mt_engines_t *engines = &g->relay->engines;
  if (mt_gateway_in_restore_grace(g)) return;
  for (size_t i = 0; i < engines->count; i++) {
    const mt_engine_t *e = engines->list[i];
    if (e->unlisted_since != 0 || e->state == MT_ENGINE_GONE) continue;
    if (mtV_get(seen, e->key) == NULL) engine_unlisted(g, e->name, rev);
  }
  mt_gateway_peers_engines_listed(g->peers, seen, rev);
}

/* A comparison with a peer shows that an engine drains, without its other
   details. False if the engine is not known here. */
static bool drain_engine (mt_gateway_t *g, mt_engine_t *e,
                          mt_revision_t rev) {
  if (e == NULL) return false;
  e->rev = mt_max(e->rev, rev);
  set_state(g, e, MT_ENGINE_DRAINING, false);
  return true;
}

/*
** Applies a change of an engine that another router sent. Datagrams are not
** authenticated, and engines receive callers' prompts, so new engines and
** addresses are only accepted from the source itself. False if the source has
** to be read for it.
*/
static bool apply_peer_engine (mt_gateway_t *g, const mt_change_t *change,
                               mt_ms_t since) {
  const mt_change_engine_t *received = &change->u.engine;
  uint64_t key = mt_engine_key(change->name, strlen(change->name));
  mt_engine_t *e = mt_engines_get(&g->relay->engines, key);
  const mt_gateway_engine_t engine = {.name = change->name,
                                      .domain = received->domain,
                                      .ip = received->ip,
                                      .port = received->port,
                                      .service = received->service,
                                      .slots = received->slots,
                                      .started_at = received->started_at,
                                      .draining = change->kind ==
                                                  MT_CHANGE_ENGINE_DRAINING,
                                      .cold = received->cold};
  if (change->kind == MT_CHANGE_ENGINE_GONE) {
    apply_engine(g, change->name, NULL, change->rev, since);
    return true;
  }
  if (change->kind == MT_CHANGE_ENGINE_DRAINING && received->ip[0] == '\0')
    return drain_engine(g, e, change->rev);
  if (e != NULL && may_have_ended(e, change) &&
      (mt_gateway_in_restore_grace(g) || e->state == MT_ENGINE_DRAINING))
    return false;
  bool known = e != NULL && strcmp(e->ip, received->ip) == 0 &&
               e->port == received->port;
  if (!known) return false;
  apply_engine(g, change->name, &engine, change->rev, since);
  return e->version != 0;
}

/* }== */

bool mt_gateway_apply_change (void *ud, const mt_change_t *change,
                              mt_ms_t since) {
  mt_gateway_t *g = ud;
  switch (change->kind) {
    case MT_CHANGE_ENGINE_READY:
    case MT_CHANGE_ENGINE_DRAINING:
    case MT_CHANGE_ENGINE_GONE: return apply_peer_engine(g, change, since);
    case MT_CHANGE_DOMAIN_EVACUATED:
    case MT_CHANGE_DOMAIN_REINSTATED:
      set_evacuated(g, change->name,
                    change->kind == MT_CHANGE_DOMAIN_EVACUATED);
      return true;
    case MT_CHANGE_KEY_REVOKED:
    case MT_CHANGE_KEY_GRANTED:
    case MT_CHANGE_ROUTE_REMOVED:
    case MT_CHANGE_ROUTE_ADDED: apply_denial(g, change); return true;
    case MT_CHANGE_OTHER:
    case MT_CHANGE_KINDS: break;
  }
  return false;
}

void mt_gateway_set_config_maybe_stale (mt_gateway_t *g, bool stale) {
  g->relay->config_maybe_stale = stale;
}

mt_peer_feed_t mt_gateway_feed (const mt_gateway_t *g, mt_feed_kind_t kind) {
  return mt_gateway_peers_feed(g->peers, kind);
}

/* The list is up to date if a router has read or confirmed it lately and no
   later change is known. */
void mt_gateway_check_list (mt_gateway_t *g) {
  mt_peer_feed_t feed = mt_gateway_peers_feed(g->peers, MT_FEED_ENGINES);
  mt_revision_t applied =
      mt_gateway_peers_applied_rev(g->peers, MT_FEED_ENGINES);
  mt_ms_t now = mt_boot_clock_now(g->loop);
  if (feed.age > LIST_AGE_MAX_MS || applied == MT_REVISION_NONE ||
      applied < feed.newest)
    return;
  mt_resume_list_is_current(g->relay, now - feed.age, applied, now);
}

void mt_gateway_set_source (mt_gateway_t *g,
                            const mt_gateway_source_t *source) {
  g->source = *source;
}

/* In the grace period after a restore the list may lack engines. */
void mt_gateway_list_checked (mt_gateway_t *g, uint64_t check,
                              bool complete) {
  mt_relay_event_t event = {.kind = MT_RELAY_LIST_CHECKED};
  event.u.checked.check = check;
  event.u.checked.complete = complete && !mt_gateway_in_restore_grace(g);
  mt_gateway_step(g, &event);
}

void mt_gateway_record_written (mt_gateway_t *g, bool taken) {
  mt_resume_record_written(g->relay, taken);
  if (!taken)
    mt_log_line(g->log, MT_LOG_STATE, mt_boot_clock_now(g->loop),
                "origin-record", "outcome=not-written");
}

void mt_gateway_record_row (mt_gateway_t *g, const mt_origin_report_t *row) {
  mt_resume_record_row(g->relay, row, mt_boot_clock_now(g->loop));
}

void mt_gateway_records_read (mt_gateway_t *g, bool complete) {
  mt_relay_event_t event = {.kind = MT_RELAY_RECORDS_READ};
  const mt_stream_origins_t *known = &g->relay->records.known;
  event.u.complete = complete;
  mt_log_line(g->log, MT_LOG_STATE, mt_boot_clock_now(g->loop),
              "origin-record", "rows=%zu outcome=%s",
              mt_stream_origins_count(known), complete ? "read" : "not-read");
  mt_gateway_step(g, &event);
}

mt_revision_t mt_gateway_applied_rev (const mt_gateway_t *g,
                                      mt_feed_kind_t kind) {
  return mt_gateway_peers_applied_rev(g->peers, kind);
}

mt_revision_t mt_gateway_received_rev (const mt_gateway_t *g,
                                       mt_feed_kind_t kind) {
  return mt_gateway_peers_received_rev(g->peers, kind);
}

void mt_gateway_set_feed (mt_gateway_t *g, mt_feed_kind_t kind,
                          mt_revision_t newest, mt_revision_t at,
                          mt_feed_reading_t reading) {
  mt_gateway_peers_set_feed(g->peers, kind, newest, at, reading);
  if (kind == MT_FEED_ENGINES && reading != MT_FEED_CHANGES)
    mt_resume_list_replaced(g->relay, mt_boot_clock_now(g->loop));
  mt_gateway_check_list(g);
}

void mt_gateway_set_source_reachable (mt_gateway_t *g, bool reachable) {
  mt_gateway_peers_set_source_reachable(g->peers, reachable);
}

void mt_gateway_count_source_event (mt_gateway_t *g,
                                    mt_source_event_t event) {
  g->source_events[event]++;
}

const char *mt_source_range_name (mt_source_range_t range) {
  switch (range) {
    case MT_RANGE_DECLARATIONS: return "configuration";
    case MT_RANGE_ENGINES: return "engines";
    case MT_RANGE_SUSPECTS: return "suspects";
    case MT_SOURCE_RANGES: break;
  }
  return "";
}

const char *mt_source_fault_name (mt_source_fault_t fault) {
  switch (fault) {
    case MT_SOURCE_FAULT_KEY: return "key";
    case MT_SOURCE_FAULT_NAME: return "name";
    case MT_SOURCE_FAULT_VALUE: return "value";
    case MT_SOURCE_FAULT_PAGES: return "pages";
    case MT_SOURCE_FAULT_REFUSED: return "refused";
    case MT_SOURCE_FAULTS: break;
  }
  return "";
}

void mt_gateway_source_fault (mt_gateway_t *g, mt_source_range_t range,
                              mt_source_fault_t fault, mt_bytes_t name) {
  char text[FAULT_NAME_SIZE];
  mt_ms_t now = mt_boot_clock_now(g->loop),
          *logged = &g->source_faults.logged[range][fault];
  uint64_t count = ++g->source_faults.count[range][fault];
  if (*logged != 0 && now - *logged < FAULT_LOG_INTERVAL_MS) return;
  *logged = now;
  mt_percent_encode(text, sizeof text, name);
  mt_log_line(g->log, MT_LOG_STATE, now, "store-entry",
              "feed=%s name=%s total=%llu outcome=ignored why=%s",
              mt_source_range_name(range), text, (unsigned long long)count,
              mt_source_fault_name(fault));
}

bool mt_gateway_watches_source (const mt_gateway_t *g) {
  return mt_gateway_peers_watches_source(g->peers);
}

bool mt_gateway_watches_for_domain (const mt_gateway_t *g) {
  return mt_gateway_peers_watches_for_domain(g->peers);
}
