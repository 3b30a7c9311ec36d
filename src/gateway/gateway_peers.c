/*
** gateway_peers.c - messages between routers, as UDP datagrams
*/
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "gateway_log.h"
#include "gateway_peers.h"
#include "drain_exchange.h"
#include "load_reporter.h"
#include "origin_exchange.h"
#include "kv_cache.h"
#include "share_exchange.h"
#include "suspect_exchange.h"

/* A reported load expires after this time unless it is repeated. */
#define LOAD_VALID_MS 2500
/* Of one request that was not run: a forged report must not take back the
   whole clock of an engine's cache. */
#define TOKENS_NOT_RUN_MAX 1000000
/* Minimum interval between two syncs of one peer. A sync is larger than
   the datagram that causes it, which may be forged: this limits
   amplification. */
#define SYNC_MIN_INTERVAL_MS 200
#define READ_BATCH_MAX 4096 /* datagrams in one tick */

struct mt_gateway_peers_t {
  uv_loop_t *loop;
  uv_udp_t udp;
  mt_relay_t *relay;
  mt_log_writer_t *log;
  mt_gateway_peers_callbacks_t callbacks;
  uint16_t port;
  uint64_t boot, number; /* of this process; of the last message sent */
  mt_membership_t members;
  mt_load_reporter_t load_reports;
  mt_share_exchange_t share_sync;
  mt_feed_exchange_t feeds;
  mt_suspect_exchange_t suspects;
  mt_drain_exchange_t draining;
  mt_origin_exchange_t origins;
  bool watched_for_domain; /* as of the last tick */
  mt_peer_traffic_t traffic[MT_PEER_KINDS];
  uint64_t updates[MT_FEED_OUTCOMES]; /* counts */
  mt_peer_message_t in, out;
  char input[MT_PEER_DATAGRAM_MAX], output[MT_PEER_DATAGRAM_MAX];
};

/* {== Sending ========================================================== */

static void log_peer (mt_gateway_peers_t *peers, uint32_t ip,
                      const char *outcome) {
  char text[INET_ADDRSTRLEN];
  inet_ntop(AF_INET, &ip, text, sizeof text);
  mt_log_line(peers->log, MT_LOG_STATE, mt_boot_clock_now(peers->loop),
              "peer", "peer=%s routers=%d outcome=%s", text,
              peers->members.live, outcome);
}

/* Logs and counts an update that was sent or received: its peer, the span of
   revisions, and the outcome. */
static void log_update (void *ud, uint32_t ip, mt_feed_kind_t kind,
                        const mt_peer_span_t *span, size_t changes,
                        mt_feed_outcome_t outcome) {
  static const char *const names[MT_FEEDS] = {"declarations", "engines"};
  mt_gateway_peers_t *peers = ud;
  const mt_feed_state_t *feed = &peers->feeds.feeds[kind].state;
  char text[INET_ADDRSTRLEN], base[MT_REVISION_TEXT_SIZE],
      reach[MT_REVISION_TEXT_SIZE], received[MT_REVISION_TEXT_SIZE],
      applied[MT_REVISION_TEXT_SIZE], newest[MT_REVISION_TEXT_SIZE];
  inet_ntop(AF_INET, &ip, text, sizeof text);
  peers->updates[outcome]++;
  mt_log_line(
      peers->log, MT_LOG_STATE, mt_boot_clock_now(peers->loop), "news",
      "peer=%s feed=%s base=%s reach=%s changes=%zu told=%s taken=%s "
      "newest=%s outcome=%s",
      text, names[kind], mt_revision_text(span->base, base),
      mt_revision_text(span->reach, reach), changes,
      mt_revision_text(feed->received, received),
      mt_revision_text(feed->applied, applied),
      mt_revision_text(feed->newest, newest), mt_feed_outcome_name(outcome));
}

static mt_peer_message_t *begin (mt_gateway_peers_t *peers,
                                 mt_peer_kind_t kind) {
  mt_peer_message_begin(&peers->out, kind);
  peers->out.boot = peers->boot;
  peers->out.number = ++peers->number;
  peers->out.groups = peers->members.groups;
  mt_feed_exchange_write_header(&peers->feeds, &peers->out);
  return &peers->out;
}

static void count (mt_gateway_peers_t *peers, uint32_t ip, size_t n) {
  mt_peer_traffic_t *traffic = &peers->traffic[peers->out.kind];
  const mt_peer_t *peer = mtV_get(&peers->members.by_ip, ip);
  bool same_domain =
      peer != NULL && mt_membership_is_local(&peers->members, peer);
  traffic->messages++;
  traffic->bytes += n;
  traffic->bytes_remote += same_domain ? 0 : n;
}

static void send_bytes (mt_gateway_peers_t *peers, uint32_t ip, size_t n) {
  struct sockaddr_in addr = {.sin_family = AF_INET,
                             .sin_port = htons(peers->port)};
  addr.sin_addr.s_addr = ip;
  count(peers, ip, n);
  uv_buf_t buf = uv_buf_init(peers->output, (unsigned)n);
  uv_udp_try_send(&peers->udp, &buf, 1, (const struct sockaddr *)&addr);
}

static size_t pack (mt_gateway_peers_t *peers) {
  return mt_peer_message_pack(&peers->out, peers->output,
                              sizeof peers->output);
}

/* Sends the message that was begun; returns its size, 0: it is too large. */
static size_t send_message (mt_gateway_peers_t *peers, uint32_t ip) {
  size_t n = pack(peers);
  if (n > 0) send_bytes(peers, ip, n);
  return n;
}

static mt_peer_message_t *begin_callback (void *ud, mt_peer_kind_t kind) {
  return begin(ud, kind);
}

static void send_callback (void *ud, const uint32_t *to, size_t count) {
  mt_gateway_peers_t *peers = ud;
  size_t n = pack(peers);
  for (size_t i = 0; i < count && n > 0; i++) send_bytes(peers, to[i], n);
}

static size_t send_sized_callback (void *ud, const uint32_t *to,
                                   size_t count) {
  mt_gateway_peers_t *peers = ud;
  size_t n = pack(peers);
  for (size_t i = 0; i < count && n > 0; i++) send_bytes(peers, to[i], n);
  return n;
}

/*
** Sends all members to a router that has just started, in as many messages as
** it takes, unless it seems to know as many: when all routers start at once
** each is new to each, and every one would send the list to every other.
*/
static void send_member_list (mt_gateway_peers_t *peers, uint32_t ip,
                              uint32_t peer_groups) {
  if (peer_groups >= peers->members.groups && peer_groups > 1) return;
  for (size_t next = 0; next < peers->members.count;) {
    mt_peer_message_t *m = begin(peers, MT_PEER_MEMBERS);
    next = mt_share_exchange_list_members(&peers->members, next, m);
    send_message(peers, ip);
  }
}

/* }== */

/* {== Suspects ========================================================= */

/* Logs the state of a suspect and which router sent the change. */
static void log_suspect (void *ud, const mt_suspect_t *s, uint32_t router,
                         const char *why) {
  mt_gateway_peers_t *peers = ud;
  char text[INET_ADDRSTRLEN];
  inet_ntop(AF_INET, &router, text, sizeof text);
  mt_gateway_log_suspect(peers->log, mt_boot_clock_now(peers->loop),
                         peers->relay, s->digest, text, why);
}

static void on_verdict (void *ud, const mt_suspect_message_t *message,
                        mt_trial_verdict_t verdict) {
  mt_gateway_peers_t *peers = ud;
  peers->callbacks.trial(peers->callbacks.ud, message, verdict);
}

void mt_gateway_peers_send_suspect_message (
    mt_gateway_peers_t *peers, const mt_suspect_message_t *message) {
  peers->members.now = mt_boot_clock_now(peers->loop);
  mt_suspect_exchange_send(&peers->suspects, message);
}

bool mt_gateway_peers_owns_suspect (mt_gateway_peers_t *peers,
                                    uint64_t name) {
  return mt_membership_owner(&peers->members, name, 0) ==
         peers->members.own_ip;
}

/* }== */

/* {== Where streams began ============================================== */

static void on_origin (void *ud, uint64_t request, mt_id_t service,
                       const mt_origin_answer_t *answer) {
  mt_gateway_peers_t *peers = ud;
  peers->callbacks.origin(peers->callbacks.ud, request, service, answer);
}

void mt_gateway_peers_tell_origin (mt_gateway_peers_t *peers,
                                   const mt_origin_report_t *report) {
  peers->members.now = mt_boot_clock_now(peers->loop);
  mt_origin_exchange_tell(&peers->origins, report);
}

mt_origin_asked_t
mt_gateway_peers_ask_origin (mt_gateway_peers_t *peers, uint64_t request,
                             const mt_origin_report_t *report,
                             bool all_domains) {
  peers->members.now = mt_boot_clock_now(peers->loop);
  return all_domains
             ? mt_origin_exchange_ask_domains(&peers->origins, request,
                                              report)
             : mt_origin_exchange_ask(&peers->origins, request, report);
}

/* }== */

/* {== Engines that drain =============================================== */

static bool on_peer_drain (void *ud, const mt_peer_drain_t *drain,
                           uint32_t router) {
  mt_gateway_peers_t *peers = ud;
  return peers->callbacks.draining(peers->callbacks.ud, drain, router);
}

void mt_gateway_peers_engine_draining (mt_gateway_peers_t *peers,
                                       uint64_t engine) {
  mt_drain_exchange_add(&peers->draining, engine);
}

/* }== */

/* {== The configuration source ========================================= */

mt_peer_feed_t mt_gateway_peers_feed (const mt_gateway_peers_t *peers,
                                      mt_feed_kind_t kind) {
  const mt_feed_state_t *feed = &peers->feeds.feeds[kind].state;
  mt_peer_feed_t known = {feed->newest, feed->at, feed->received, UINT32_MAX};
  if (feed->confirmed != 0)
    known.age = mt_boot_clock_now(peers->loop) - feed->confirmed;
  return known;
}

bool mt_gateway_peers_source_changed (mt_gateway_peers_t *peers,
                                      const mt_change_t *change) {
  peers->members.now = mt_boot_clock_now(peers->loop);
  return mt_feed_exchange_add_change(&peers->feeds, change);
}

void mt_gateway_peers_set_feed (mt_gateway_peers_t *peers,
                                mt_feed_kind_t kind, mt_revision_t newest,
                                mt_revision_t at, mt_feed_reading_t reading) {
  peers->members.now = mt_boot_clock_now(peers->loop);
  mt_feed_exchange_resize_log(&peers->feeds, peers->relay->engines.count);
  mt_feed_exchange_source_read(&peers->feeds, kind, newest, at, reading);
}

void mt_gateway_peers_engines_listed (mt_gateway_peers_t *peers,
                                      const mt_map_t *seen,
                                      mt_revision_t rev) {
  peers->members.now = mt_boot_clock_now(peers->loop);
  mt_feed_exchange_remove_unlisted(&peers->feeds, seen, rev);
}

mt_ms_t mt_gateway_peers_behind_since (const mt_gateway_peers_t *peers,
                                       mt_feed_kind_t kind) {
  return mt_feed_exchange_behind_since(&peers->feeds, kind);
}

const mt_change_log_t *
mt_gateway_peers_change_log (const mt_gateway_peers_t *peers,
                             mt_feed_kind_t kind) {
  return &peers->feeds.feeds[kind].log;
}

mt_revision_t mt_gateway_peers_applied_rev (const mt_gateway_peers_t *peers,
                                            mt_feed_kind_t kind) {
  return peers->feeds.feeds[kind].state.applied;
}

mt_revision_t mt_gateway_peers_received_rev (const mt_gateway_peers_t *peers,
                                             mt_feed_kind_t kind) {
  return peers->feeds.feeds[kind].state.received;
}

static bool apply_change (void *ud, const mt_change_t *change,
                          mt_ms_t since) {
  mt_gateway_peers_t *peers = ud;
  return peers->callbacks.change(peers->callbacks.ud, change, since);
}

void mt_gateway_peers_set_source_reachable (mt_gateway_peers_t *peers,
                                            bool reachable) {
  peers->members.own_reaches_source = reachable;
}

bool mt_gateway_peers_watches_source (const mt_gateway_peers_t *peers) {
  return mt_membership_watches(&peers->members);
}

bool mt_gateway_peers_watches_for_domain (const mt_gateway_peers_t *peers) {
  return mt_membership_watches_for_domain(&peers->members);
}

/* }== */

/* {== Loads and quotes ================================================= */

static uint32_t owner_of (const mt_gateway_peers_t *peers,
                          const mt_engine_t *e) {
  mt_id_t domain = e->domain ? mtV_id(e->domain, strlen(e->domain)) : 0;
  return mt_membership_owner(&peers->members, e->key, domain);
}

/*
** True if this router owns the engine by the membership alone. Routers skip
** an owner that did not answer them and ask the next one; the skipped owner
** still hands out permits for cold engines, so the next one must not.
*/
static bool owns (const mt_gateway_peers_t *peers, uint64_t key) {
  const mt_engine_t *e = mt_engines_get(&peers->relay->engines, key);
  if (e == NULL || e->domain == NULL) return false;
  return mt_membership_owns(&peers->members, key,
                            mtV_id(e->domain, strlen(e->domain)));
}

static mt_speed_sums_t measured_sums (const mt_gateway_peers_t *peers,
                                      const mt_engine_t *e) {
  mt_speed_sums_t sums = e->measured;
  sums.known = !peers->relay->params.off[MT_RELAY_FLEET_SPEED];
  sums.gaps.known = !peers->relay->params.off[MT_RELAY_PAUSES];
  return sums;
}

static void add_load (mt_gateway_peers_t *peers, mt_peer_message_t *m,
                      mt_engine_t *e) {
  m->engines[m->engines_count++] =
      (mt_peer_engine_t){.key = e->key,
                         .load = e->local,
                         .tokens = e->tokens_processed,
                         .measured = measured_sums(peers, e)};
  e->load_dirty = false;
  e->reported_at = mt_boot_clock_now(peers->loop);
}

void mt_gateway_peers_prompt_accepted (mt_gateway_peers_t *peers,
                                       const mt_relay_request_t *r) {
  if (r->current.engine == NULL) return;
  const mt_engine_t *home =
      mt_engines_get(&peers->relay->engines, r->home_global);
  const mt_catalog_service_t *service =
      mt_catalog_find_service(peers->relay->catalog, r->service);
  if (home == NULL || service == NULL) return;
  if (!mt_kv_cache_should_report(service, r)) return;
  uint32_t owner = owner_of(peers, home);
  uint64_t segment = mt_kv_cache_home_segment(r->segments, r->segments_count);
  if (owner == peers->members.own_ip) {
    mt_prefix_holders_set(&peers->relay->holders, segment,
                          r->current.engine->key,
                          mt_boot_clock_now(peers->loop));
    return;
  }
  mt_peer_message_t *m = begin(peers, MT_PEER_PREFIX_HOLDER);
  m->engines[m->engines_count++] =
      (mt_peer_engine_t){.key = r->current.engine->key};
  m->segments[m->segments_count++] = (mt_prefix_segment_t){.id = segment};
  send_message(peers, owner);
}

static void on_prefix_holder (mt_gateway_peers_t *peers,
                              const mt_peer_message_t *m) {
  if (m->engines_count == 0 || m->segments_count == 0) return;
  mt_prefix_holders_set(&peers->relay->holders, m->segments[0].id,
                        m->engines[0].key, mt_boot_clock_now(peers->loop));
}

void mt_gateway_peers_request_sent (mt_gateway_peers_t *peers,
                                    const mt_relay_request_t *r,
                                    const mt_attempt_t *a) {
  uint32_t owner = owner_of(peers, a->engine);
  if (owner == peers->members.own_ip) {
    if (!a->has_permit)
      mt_cold_starts_charge(&peers->relay->cold, a->engine->key);
    return;
  }
  mt_peer_message_t *m = begin(peers, MT_PEER_LOAD);
  m->request_number = r->number;
  add_load(peers, m, a->engine);
  if (a->has_permit) m->engines[0].admission = MT_ADMIT_PERMIT;
  m->segments_count = r->segments_count;
  memcpy(m->segments, r->segments, r->segments_count * sizeof *r->segments);
  send_message(peers, owner);
}

void mt_gateway_peers_prompt_not_run (mt_gateway_peers_t *peers,
                                      const mt_prompt_not_run_t *prompt) {
  const mt_engine_t *e =
      mt_engines_get(&peers->relay->engines, prompt->engine);
  uint32_t owner = e != NULL ? owner_of(peers, e) : 0;
  if (owner == 0 || owner == peers->members.own_ip) return;
  mt_peer_message_t *m = begin(peers, MT_PEER_NOT_RUN);
  m->engines[m->engines_count++] =
      (mt_peer_engine_t){.key = prompt->engine,
                         .tokens = prompt->tokens,
                         .load = {.running = prompt->rejected}};
  m->segments_count = prompt->count;
  memcpy(m->segments, prompt->segments,
         prompt->count * sizeof *prompt->segments);
  send_message(peers, owner);
}

static void on_not_run (mt_gateway_peers_t *peers, uint32_t ip,
                        const mt_peer_message_t *m) {
  if (m->engines_count == 0) return;
  mt_ms_t now = mt_boot_clock_now(peers->loop);
  peers->relay->now = mt_max(peers->relay->now, now);
  mt_prompt_not_run_t prompt = {
      .engine = m->engines[0].key,
      .count = mt_min(m->segments_count, (size_t)MT_RELAY_SEGMENTS_MAX),
      .tokens = mt_min(m->engines[0].tokens, (int64_t)TOKENS_NOT_RUN_MAX),
      .rejected = m->engines[0].load.running > 0};
  memcpy(prompt.segments, m->segments,
         prompt.count * sizeof *prompt.segments);
  mt_relay_peer_not_run(peers->relay, ip, &prompt);
}

void mt_gateway_peers_return_permit (mt_gateway_peers_t *peers,
                                     uint64_t key) {
  const mt_engine_t *e = mt_engines_get(&peers->relay->engines, key);
  uint32_t owner = e != NULL ? owner_of(peers, e) : 0;
  if (owner == peers->members.own_ip) {
    mt_cold_starts_return(&peers->relay->cold, key);
    return;
  }
  mt_peer_message_t *m = begin(peers, MT_PEER_PERMIT_RETURN);
  m->engines[m->engines_count++] = (mt_peer_engine_t){.key = key};
  if (owner != 0) send_message(peers, owner);
}

static void on_permit_return (mt_gateway_peers_t *peers,
                              const mt_peer_message_t *m) {
  for (size_t i = 0; i < m->engines_count; i++)
    mt_cold_starts_return(&peers->relay->cold, m->engines[i].key);
}

/* Reports loads to one owner. */
static void send_loads (void *ud, uint32_t owner, mt_engine_t **engines,
                        size_t count) {
  mt_gateway_peers_t *peers = ud;
  mt_peer_message_t *m = begin(peers, MT_PEER_LOAD);
  for (size_t i = 0; i < count; i++) add_load(peers, m, engines[i]);
  if (owner != peers->members.own_ip) send_message(peers, owner);
}

static uint32_t find_owner (void *ud, const mt_engine_t *e) {
  return owner_of(ud, e);
}

static void send_quote_request (mt_gateway_peers_t *peers, uint32_t owner,
                                const mt_relay_request_t *r) {
  mt_peer_t *peer = mt_membership_add(&peers->members, owner);
  if (peer == NULL || peers->out.engines_count == 0) return;
  peers->out.request_number = r->number;
  peers->out.segments_count = r->segments_count;
  memcpy(peers->out.segments, r->segments,
         r->segments_count * sizeof *r->segments);
  if (peer->unanswered_since == 0)
    peer->unanswered_since = mt_boot_clock_now(peers->loop);
  send_message(peers, owner);
}

void mt_gateway_peers_request_quotes (mt_gateway_peers_t *peers,
                                      const mt_relay_request_t *r) {
  uint32_t owners[MT_RELAY_CANDIDATES_MAX];
  mt_relay_quote_t own[MT_RELAY_CANDIDATES_MAX];
  size_t own_count = 0, first = r->round_first, end = r->candidates_count;
  for (size_t i = first; i < end; i++) {
    uint64_t key = r->candidates[i].engine;
    const mt_engine_t *e = mt_engines_get(&peers->relay->engines, key);
    owners[i] = e ? owner_of(peers, e) : 0;
    if (owners[i] != peers->members.own_ip) continue;
    own[own_count] =
        mt_relay_quote(peers->relay, key, 0, r->segments, r->segments_count);
    own[own_count++].admission =
        mt_relay_admission(peers->relay, key, owns(peers, key));
  }
  for (size_t i = first; i < end; i++) {
    uint32_t owner = owners[i];
    if (owner == 0 || owner == peers->members.own_ip) continue;
    mt_peer_message_t *m = begin(peers, MT_PEER_QUOTE_REQUEST);
    for (size_t k = i; k < end; k++) {
      if (owners[k] != owner) continue;
      m->engines[m->engines_count++].key = r->candidates[k].engine;
      owners[k] = 0;
    }
    send_quote_request(peers, owner, r);
  }
  if (own_count > 0)
    peers->callbacks.quoted(peers->callbacks.ud, r->number, own, own_count);
}

static void on_quote_request (mt_gateway_peers_t *peers, uint32_t ip,
                              const mt_peer_message_t *request) {
  mt_peer_message_t *m = begin(peers, MT_PEER_QUOTE);
  peers->relay->now =
      mt_max(peers->relay->now, mt_boot_clock_now(peers->loop));
  m->request_number = request->request_number;
  for (size_t i = 0; i < request->engines_count; i++) {
    uint64_t key = request->engines[i].key;
    mt_relay_quote_t quote = mt_relay_quote(
        peers->relay, key, ip, request->segments, request->segments_count);
    m->engines[m->engines_count++] = (mt_peer_engine_t){
        .key = quote.engine,
        .load = quote.peers,
        .tokens = quote.cached,
        .holder = quote.holder,
        .admission = mt_relay_admission(peers->relay, key, owns(peers, key)),
        .speed = quote.speed,
        .rejection_rate = quote.rejection_rate};
  }
  send_message(peers, ip);
}

static void on_quote (mt_gateway_peers_t *peers, mt_peer_t *peer,
                      const mt_peer_message_t *m) {
  mt_relay_quote_t quotes[MT_PEER_ENGINES_MAX];
  for (size_t i = 0; i < m->engines_count; i++)
    quotes[i] =
        (mt_relay_quote_t){.engine = m->engines[i].key,
                           .peers = m->engines[i].load,
                           .cached = m->engines[i].tokens,
                           .holder = m->engines[i].holder,
                           .admission = m->engines[i].admission,
                           .speed = m->engines[i].speed,
                           .rejection_rate = m->engines[i].rejection_rate};
  peer->unanswered_since = 0;
  peer->suspect_until = 0;
  peers->callbacks.quoted(peers->callbacks.ud, m->request_number, quotes,
                          m->engines_count);
}

static void on_load (mt_gateway_peers_t *peers, uint32_t ip,
                     const mt_peer_message_t *m) {
  mt_ms_t now = mt_boot_clock_now(peers->loop);
  peers->relay->now = mt_max(peers->relay->now, now);
  for (size_t i = 0; i < m->engines_count; i++) {
    const mt_peer_engine_t *e = &m->engines[i];
    mt_load_row_t row = {.router = ip,
                         .load = e->load,
                         .tokens_processed = e->tokens,
                         .measured = e->measured,
                         .valid_until = now + LOAD_VALID_MS};
    mt_relay_update_peer_load(peers->relay, e->key, &row, m->segments,
                              m->segments_count);
    if (m->request_number != 0 && e->admission != MT_ADMIT_PERMIT)
      mt_cold_starts_charge(&peers->relay->cold, e->key);
  }
}

/* }== */

/* {== Receiving ======================================================== */

/* False if a newer message of the same sender has come before. */
static bool is_newest (mt_peer_t *peer, const mt_peer_message_t *m) {
  if (m->boot == peer->boot && m->number <= peer->number) return false;
  peer->boot = m->boot;
  peer->number = m->number;
  return true;
}

static void dispatch (mt_gateway_peers_t *peers, mt_peer_t *peer,
                      const mt_peer_message_t *m) {
  switch (m->kind) {
    case MT_PEER_HELLO:
    case MT_PEER_MEMBERS:
    case MT_PEER_GROUP_SUMMARY:
    case MT_PEER_DOMAIN_SUMMARY:
      if (is_newest(peer, m))
        mt_share_exchange_receive(&peers->share_sync, peer, m);
      break;
    case MT_PEER_LOAD:
      if (is_newest(peer, m)) on_load(peers, peer->ip, m);
      break;
    case MT_PEER_PREFIX_HOLDER: on_prefix_holder(peers, m); break;
    case MT_PEER_NOT_RUN: on_not_run(peers, peer->ip, m); break;
    case MT_PEER_PERMIT_RETURN: on_permit_return(peers, m); break;
    case MT_PEER_QUOTE_REQUEST: on_quote_request(peers, peer->ip, m); break;
    case MT_PEER_QUOTE: on_quote(peers, peer, m); break;
    case MT_PEER_CHANGES:
      mt_feed_exchange_receive_changes(&peers->feeds, peer, m);
      break;
    case MT_PEER_CHANGES_REQUEST:
      mt_feed_exchange_receive_request(&peers->feeds, peer, m);
      break;
    case MT_PEER_SUSPECTS:
    case MT_PEER_SUSPECT_MESSAGE:
    case MT_PEER_TRIAL_VERDICT:
      mt_suspect_exchange_receive(&peers->suspects, peer, m);
      break;
    case MT_PEER_DRAINS:
      mt_drain_exchange_receive(&peers->draining, peer->ip, m);
      break;
    case MT_PEER_ORIGIN:
    case MT_PEER_ORIGIN_REQUEST:
    case MT_PEER_ORIGIN_REPLY:
      mt_origin_exchange_receive(&peers->origins, peer->ip, m);
      break;
    case MT_PEER_KINDS: break;
  }
}

/*
** True for a router whose process knows nothing yet: it is not known to be
** live, or it has restarted so soon that it still counts as live, though it
** has lost its state.
*/
static bool needs_sync (const mt_membership_t *members, const mt_peer_t *peer,
                        uint64_t boot) {
  if (!mt_membership_is_live(members, peer)) return true;
  return boot != peer->synced_boot &&
         members->now >= peer->synced_at + SYNC_MIN_INTERVAL_MS;
}

/* Sends a new router the state that is otherwise only sent on changes. */
static void sync_peer (mt_gateway_peers_t *peers, mt_peer_t *peer,
                       const mt_peer_message_t *m) {
  peer->synced_boot = m->boot;
  peer->synced_at = peers->members.now;
  log_peer(peers, peer->ip, "heard");
  mt_suspect_exchange_sync_peer(&peers->suspects, peer->ip);
  mt_drain_exchange_sync_peer(&peers->draining, peer->ip);
  if (m->kind == MT_PEER_HELLO) send_member_list(peers, peer->ip, m->groups);
}

static void handle_datagram (mt_gateway_peers_t *peers, uint32_t ip,
                             const char *bytes, size_t n) {
  mt_peer_message_t *m = &peers->in;
  if (!mt_peer_message_unpack(m, bytes, n)) return;
  peers->members.now = mt_boot_clock_now(peers->loop);
  mt_peer_t *peer = mt_membership_add(&peers->members, ip);
  if (peer == NULL) return;
  bool is_new = needs_sync(&peers->members, peer, m->boot);
  peer->last_seen = peers->members.now;
  mt_feed_exchange_receive_header(&peers->feeds, peer, m);
  dispatch(peers, peer, m);
  if (is_new) sync_peer(peers, peer, m);
}

static void on_datagram (uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
                         const struct sockaddr *from, unsigned flags) {
  if (n <= 0 || from == NULL) return;
  uint32_t ip = ((const struct sockaddr_in *)from)->sin_addr.s_addr;
  handle_datagram(udp->data, ip, buf->base, (size_t)n);
}

/*
** libuv reads only a few datagrams in each iteration of the loop. When
** iterations are long, fewer are read than arrive, the socket's queue stays
** full, and messages are lost.
*/
void mt_gateway_peers_read (mt_gateway_peers_t *peers) {
  uv_os_fd_t fd;
  if (uv_fileno((uv_handle_t *)&peers->udp, &fd) != 0) return;
  for (int i = 0; i < READ_BATCH_MAX; i++) {
    struct sockaddr_in from = {.sin_port = 0};
    socklen_t size = sizeof from;
    ssize_t n = recvfrom(fd, peers->input, sizeof peers->input, MSG_DONTWAIT,
                         (struct sockaddr *)&from, &size);
    if (n < 0) return;
    handle_datagram(peers, from.sin_addr.s_addr, peers->input, (size_t)n);
  }
}

static void on_alloc (uv_handle_t *h, size_t hint, uv_buf_t *buf) {
  mt_gateway_peers_t *peers = h->data;
  *buf = uv_buf_init(peers->input, sizeof peers->input);
}

/* }== */

/* Logs when this router starts or stops watching the source for others. */
static void log_watcher_role (mt_gateway_peers_t *peers) {
  bool watches = mt_gateway_peers_watches_for_domain(peers);
  if (watches == peers->watched_for_domain) return;
  peers->watched_for_domain = watches;
  mt_log_line(peers->log, MT_LOG_STATE, mt_boot_clock_now(peers->loop),
              "watcher", "source=%d routers=%d outcome=%s",
              peers->members.own_reaches_source, peers->members.live,
              watches ? "begun" : "ended");
}

int mt_gateway_peers_tick (mt_gateway_peers_t *peers) {
  mt_ms_t now = mt_boot_clock_now(peers->loop);
  const mt_load_reporter_callbacks_t load_callbacks = {find_owner, send_loads,
                                                       peers};
  mt_membership_update(&peers->members, now);
  mt_load_reporter_tick(&peers->load_reports, &peers->relay->engines, now,
                        &load_callbacks);
  mt_share_exchange_tick(&peers->share_sync);
  mt_feed_exchange_tick(&peers->feeds);
  mt_suspect_exchange_tick(&peers->suspects);
  mt_drain_exchange_tick(&peers->draining);
  peers->relay->reach = mt_membership_live_fraction(&peers->members);
  log_watcher_role(peers);
  return peers->members.live;
}

mt_gateway_peers_t *
mt_gateway_peers_open (uv_loop_t *loop, const mt_gateway_settings_t *settings,
                       mt_relay_t *relay, mt_log_writer_t *log,
                       const mt_gateway_peers_callbacks_t *callbacks) {
  mt_gateway_peers_t *peers = mtV_new(sizeof *peers);
  mt_membership_t *members = &peers->members;
  struct sockaddr_in addr;
  peers->loop = loop;
  peers->relay = relay;
  peers->log = log;
  peers->callbacks = *callbacks;
  peers->port = settings->peers.port;
  peers->boot = uv_hrtime();
  uv_ip4_addr(settings->peers.ip, settings->peers.port, &addr);
  members->own_ip = addr.sin_addr.s_addr;
  members->own_domain = mtV_id(settings->domain, strlen(settings->domain));
  members->own_reaches_source = true;
  mt_membership_update(members, mt_boot_clock_now(loop));
  const mt_share_exchange_callbacks_t share_callbacks = {
      begin_callback, send_sized_callback, peers};
  mt_share_exchange_open(&peers->share_sync, members, &relay->shares,
                         &share_callbacks);
  const mt_feed_exchange_callbacks_t feed_callbacks = {
      begin_callback, send_callback, apply_change, log_update, peers};
  mt_feed_exchange_open(&peers->feeds, members, &feed_callbacks);
  mt_feed_exchange_set_inventory(&peers->feeds, &callbacks->inventory);
  const mt_suspect_exchange_callbacks_t suspect_callbacks = {
      begin_callback, send_callback, on_verdict, log_suspect, peers};
  mt_suspect_exchange_open(&peers->suspects, members, &relay->suspects,
                           &suspect_callbacks, peers->boot);
  const mt_drain_exchange_callbacks_t drain_callbacks = {
      begin_callback, send_callback, on_peer_drain, peers};
  mt_drain_exchange_open(&peers->draining, members, &relay->engines,
                         &drain_callbacks, peers->boot);
  const mt_origin_exchange_callbacks_t origin_callbacks = {
      begin_callback, send_callback, on_origin, peers};
  mt_origin_exchange_open(&peers->origins, members, relay, &origin_callbacks);
  uv_udp_init(loop, &peers->udp);
  peers->udp.data = peers;
  if (uv_udp_bind(&peers->udp, (const struct sockaddr *)&addr, 0) == 0)
    uv_udp_recv_start(&peers->udp, on_alloc, on_datagram);
  for (size_t i = 0; i < settings->seeds_count; i++)
    if (uv_ip4_addr(settings->seeds[i].ip, peers->port, &addr) == 0)
      members->has_seeds |=
          mt_membership_add(members, addr.sin_addr.s_addr) != NULL;
  return peers;
}

const mt_peer_traffic_t *
mt_gateway_peers_traffic (const mt_gateway_peers_t *peers) {
  return peers->traffic;
}

uint64_t
mt_gateway_peers_addresses_refused (const mt_gateway_peers_t *peers) {
  return peers->members.refused;
}

const uint64_t *mt_gateway_peers_updates (const mt_gateway_peers_t *peers) {
  return peers->updates;
}

uint16_t mt_gateway_peers_port (const mt_gateway_peers_t *peers) {
  struct sockaddr_in addr = {.sin_port = 0};
  int size = sizeof addr;
  uv_udp_getsockname(&peers->udp, (struct sockaddr *)&addr, &size);
  return ntohs(addr.sin_port);
}

static void on_closed (uv_handle_t *h) {
  mt_gateway_peers_t *peers = h->data;
  mt_share_exchange_free(&peers->share_sync);
  mt_feed_exchange_free(&peers->feeds);
  mt_drain_exchange_free(&peers->draining);
  mt_membership_free(&peers->members);
  mt_load_reporter_free(&peers->load_reports);
  free(peers);
}

void mt_gateway_peers_close (mt_gateway_peers_t *peers) {
  uv_close((uv_handle_t *)&peers->udp, on_closed);
}
