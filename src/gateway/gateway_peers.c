/*
** gateway_peers.c - what routers tell each other, as datagrams
*/
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "gateway_peers.h"
#include "drain_exchange.h"
#include "load_reporter.h"
#include "kv_cache.h"
#include "share_exchange.h"
#include "suspect_exchange.h"

#define ROW_VALID_MS 2500 /* a load that is not repeated */
/* A greeting is larger than the datagram that it answers, which anybody may
   have sent. */
#define GREET_LEAST_MS 200
#define READ_AT_ONCE 4096 /* datagrams, in one turn of the loop */

struct mt_gateway_peers_t {
  uv_loop_t *loop;
  uv_udp_t udp;
  mt_relay_t *relay;
  mt_log_writer_t *log;
  mt_gateway_peers_calls_t calls;
  uint16_t port;
  uint64_t boot, number;
  mt_membership_t members;
  mt_load_reporter_t teller;
  mt_share_exchange_t exchange;
  mt_feed_exchange_t feeds;
  mt_suspect_exchange_t suspects;
  mt_drain_exchange_t draining;
  bool led; /* at the last tick: it watched the source for others */
  mt_peer_traffic_t traffic[MT_PEER_KINDS];
  uint64_t news[MT_FEED_OUTCOMES];
  mt_peer_message_t in, out;
  char input[MT_PEER_DATAGRAM_MAX], output[MT_PEER_DATAGRAM_MAX];
};

/* {== Sending ========================================================== */

static void say (mt_gateway_peers_t *peers, uint32_t ip,
                 const char *outcome) {
  char text[INET_ADDRSTRLEN];
  inet_ntop(AF_INET, &ip, text, sizeof text);
  mt_log_line(peers->log, MT_LOG_STATE, mt_boot_clock_now(peers->loop),
              "peer", "peer=%s routers=%d outcome=%s", text,
              peers->members.live, outcome);
}

/* Who told what up to which revision, and of what use it was. */
static void note_news (void *ud, uint32_t ip, mt_feed_kind_t kind,
                       const mt_peer_span_t *span, size_t changes,
                       mt_feed_outcome_t outcome) {
  static const char *const names[MT_FEEDS] = {"declarations", "engines"};
  mt_gateway_peers_t *peers = ud;
  const mt_feed_state_t *feed = &peers->feeds.feeds[kind].state;
  char text[INET_ADDRSTRLEN], base[MT_REVISION_TEXT_SIZE],
      reach[MT_REVISION_TEXT_SIZE], told[MT_REVISION_TEXT_SIZE],
      taken[MT_REVISION_TEXT_SIZE], newest[MT_REVISION_TEXT_SIZE];
  inet_ntop(AF_INET, &ip, text, sizeof text);
  peers->news[outcome]++;
  mt_log_line(
      peers->log, MT_LOG_STATE, mt_boot_clock_now(peers->loop), "news",
      "peer=%s feed=%s base=%s reach=%s changes=%zu told=%s taken=%s "
      "newest=%s outcome=%s",
      text, names[kind], mt_revision_text(span->base, base),
      mt_revision_text(span->reach, reach), changes,
      mt_revision_text(feed->told, told),
      mt_revision_text(feed->taken, taken),
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
  bool near = peer != NULL && mt_membership_is_local(&peers->members, peer);
  traffic->messages++;
  traffic->bytes += n;
  traffic->bytes_far += near ? 0 : n;
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

/* Sends the message that was begun; its size. */
static size_t send_out (mt_gateway_peers_t *peers, uint32_t ip) {
  size_t n = pack(peers);
  if (n > 0) send_bytes(peers, ip, n);
  return n;
}

static mt_peer_message_t *begin_round (void *ud, mt_peer_kind_t kind) {
  return begin(ud, kind);
}

static void send_news (void *ud, const uint32_t *to, size_t count) {
  mt_gateway_peers_t *peers = ud;
  size_t n = pack(peers);
  for (size_t i = 0; i < count && n > 0; i++) send_bytes(peers, to[i], n);
}

static size_t send_round (void *ud, const uint32_t *to, size_t count) {
  mt_gateway_peers_t *peers = ud;
  size_t n = pack(peers);
  for (size_t i = 0; i < count && n > 0; i++) send_bytes(peers, to[i], n);
  return n;
}

/*
** Tells a router that has just come who else there is, if it seems to know
** less, in as many messages as it takes. When all start at once everybody
** hears everybody else for the first time, and each would tell each of all.
*/
static void welcome (mt_gateway_peers_t *peers, uint32_t ip,
                     uint32_t its_groups) {
  if (its_groups >= peers->members.groups && its_groups > 1) return;
  for (size_t next = 0; next < peers->members.count;) {
    mt_peer_message_t *m = begin(peers, MT_PEER_MEMBERS);
    next = mt_share_exchange_list_members(&peers->members, next, m);
    send_out(peers, ip);
  }
}

/* }== */

/* {== Suspects ========================================================= */

/* What is believed of a request that engines ended under, and by whose word.
 */
static void note_suspect (void *ud, const mt_suspect_t *s, uint32_t router,
                          const char *why) {
  mt_gateway_peers_t *peers = ud;
  const mt_relay_t *relay = peers->relay;
  mt_ms_t now = mt_boot_clock_now(peers->loop);
  mt_suspect_status_t standing =
      mt_suspects_status(&relay->suspects, s->digest, now);
  uint64_t last = s->listed > 0 ? s->list[s->listed - 1].engine : 0;
  const mt_engine_t *e = mt_engines_get(&relay->engines, last);
  char text[INET_ADDRSTRLEN];
  inet_ntop(AF_INET, &router, text, sizeof text);
  mt_log_line(peers->log, MT_LOG_STATE, now, "suspect",
              "digest=%016llx state=%s ends=%d alone=%d last=%s left=%llu "
              "peer=%s outcome=%s",
              (unsigned long long)s->digest,
              mt_suspicion_name(standing.state), standing.ends,
              standing.alone, e != NULL ? e->name : "-",
              (unsigned long long)standing.left, text, why);
}

static void on_verdict (void *ud, const mt_suspect_message_t *word,
                        mt_trial_verdict_t verdict) {
  mt_gateway_peers_t *peers = ud;
  peers->calls.tried(peers->calls.ud, word, verdict);
}

void mt_gateway_peers_say (mt_gateway_peers_t *peers,
                           const mt_suspect_message_t *word) {
  peers->members.now = mt_boot_clock_now(peers->loop);
  mt_suspect_exchange_send(&peers->suspects, word);
}

/* }== */

/* {== Engines that drain =============================================== */

static bool on_peer_drain (void *ud, const mt_peer_drain_t *drain,
                           uint32_t router) {
  mt_gateway_peers_t *peers = ud;
  return peers->calls.draining(peers->calls.ud, drain, router);
}

void mt_gateway_peers_draining (mt_gateway_peers_t *peers, uint64_t engine) {
  mt_drain_exchange_add(&peers->draining, engine);
}

/* }== */

/* {== The source of declarations ======================================= */

mt_peer_feed_t mt_gateway_peers_feed (const mt_gateway_peers_t *peers,
                                      mt_feed_kind_t kind) {
  const mt_feed_state_t *feed = &peers->feeds.feeds[kind].state;
  mt_peer_feed_t known = {feed->newest, feed->at, feed->told, UINT32_MAX};
  if (feed->confirmed != 0)
    known.age = mt_boot_clock_now(peers->loop) - feed->confirmed;
  return known;
}

bool mt_gateway_peers_changed (mt_gateway_peers_t *peers,
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

void mt_gateway_peers_listed (mt_gateway_peers_t *peers, const mt_map_t *seen,
                              mt_revision_t rev) {
  peers->members.now = mt_boot_clock_now(peers->loop);
  mt_feed_exchange_remove_unlisted(&peers->feeds, seen, rev);
}

mt_ms_t mt_gateway_peers_lacking (const mt_gateway_peers_t *peers,
                                  mt_feed_kind_t kind) {
  return mt_feed_exchange_behind_since(&peers->feeds, kind);
}

const mt_change_log_t *mt_gateway_peers_log (const mt_gateway_peers_t *peers,
                                             mt_feed_kind_t kind) {
  return &peers->feeds.feeds[kind].log;
}

mt_revision_t mt_gateway_peers_taken (const mt_gateway_peers_t *peers,
                                      mt_feed_kind_t kind) {
  return peers->feeds.feeds[kind].state.taken;
}

mt_revision_t mt_gateway_peers_told (const mt_gateway_peers_t *peers,
                                     mt_feed_kind_t kind) {
  return peers->feeds.feeds[kind].state.told;
}

static bool apply_change (void *ud, const mt_change_t *change,
                          mt_ms_t since) {
  mt_gateway_peers_t *peers = ud;
  return peers->calls.change(peers->calls.ud, change, since);
}

void mt_gateway_peers_set_source (mt_gateway_peers_t *peers, bool reachable) {
  peers->members.own_reaches_source = reachable;
}

bool mt_gateway_peers_watches (const mt_gateway_peers_t *peers) {
  return mt_membership_watches(&peers->members);
}

bool mt_gateway_peers_leads (const mt_gateway_peers_t *peers) {
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
** True when no router that this one hears of owns the engine. Others may
** pass over an owner that did not answer them; that one still hands out
** places, so whoever they take instead must not.
*/
static bool owns (const mt_gateway_peers_t *peers, uint64_t key) {
  const mt_engine_t *e = mt_engines_get(&peers->relay->engines, key);
  if (e == NULL || e->domain == NULL) return false;
  return mt_membership_owns(&peers->members, key,
                            mtV_id(e->domain, strlen(e->domain)));
}

static void pack_load (mt_gateway_peers_t *peers, mt_peer_message_t *m,
                       mt_engine_t *e) {
  m->engines[m->engines_count++] = (mt_peer_engine_t){
      .key = e->key, .load = e->local, .tokens = e->tokens_processed};
  e->load_dirty = false;
  e->told = mt_boot_clock_now(peers->loop);
}

/* Tells the owner of the home where parts were read instead. */
static void tell_holder (mt_gateway_peers_t *peers,
                         const mt_relay_request_t *r) {
  const mt_engine_t *home =
      mt_engines_get(&peers->relay->engines, r->home_of_all);
  if (home == NULL || !mt_kv_cache_should_report(r)) return;
  uint32_t owner = owner_of(peers, home);
  uint64_t part = mt_kv_cache_home_segment(r->parts, r->parts_count);
  if (owner == peers->members.own_ip) {
    mt_prefix_holders_set(&peers->relay->holders, part, r->engine->key,
                          mt_boot_clock_now(peers->loop));
    return;
  }
  mt_peer_message_t *m = begin(peers, MT_PEER_PREFIX_HOLDER);
  m->engines[m->engines_count++] = (mt_peer_engine_t){.key = r->engine->key};
  m->parts[m->parts_count++] = (mt_prefix_segment_t){.id = part};
  send_out(peers, owner);
}

static void on_holds (mt_gateway_peers_t *peers, const mt_peer_message_t *m) {
  if (m->engines_count == 0 || m->parts_count == 0) return;
  mt_prefix_holders_set(&peers->relay->holders, m->parts[0].id,
                        m->engines[0].key, mt_boot_clock_now(peers->loop));
}

void mt_gateway_peers_placed (mt_gateway_peers_t *peers,
                              const mt_relay_request_t *r) {
  if (r->engine == NULL) return;
  tell_holder(peers, r);
  uint32_t owner = owner_of(peers, r->engine);
  if (owner == peers->members.own_ip) {
    if (!r->has_place)
      mt_cold_starts_charge(&peers->relay->cold, r->engine->key);
    return;
  }
  mt_peer_message_t *m = begin(peers, MT_PEER_LOAD);
  m->request_number = r->number;
  pack_load(peers, m, r->engine);
  if (r->has_place) m->engines[0].admission = MT_ADMIT_PLACE;
  m->parts_count = r->parts_count;
  memcpy(m->parts, r->parts, r->parts_count * sizeof *r->parts);
  send_out(peers, owner);
}

void mt_gateway_peers_give_back (mt_gateway_peers_t *peers, uint64_t key) {
  const mt_engine_t *e = mt_engines_get(&peers->relay->engines, key);
  uint32_t owner = e != NULL ? owner_of(peers, e) : 0;
  if (owner == peers->members.own_ip) {
    mt_cold_starts_give_back(&peers->relay->cold, key);
    return;
  }
  mt_peer_message_t *m = begin(peers, MT_PEER_PERMIT_RETURN);
  m->engines[m->engines_count++] = (mt_peer_engine_t){.key = key};
  if (owner != 0) send_out(peers, owner);
}

static void on_back (mt_gateway_peers_t *peers, const mt_peer_message_t *m) {
  for (size_t i = 0; i < m->engines_count; i++)
    mt_cold_starts_give_back(&peers->relay->cold, m->engines[i].key);
}

/* Sends rows that go to one owner. */
static void tell_loads (void *ud, uint32_t owner, mt_engine_t **engines,
                        size_t count) {
  mt_gateway_peers_t *peers = ud;
  mt_peer_message_t *m = begin(peers, MT_PEER_LOAD);
  for (size_t i = 0; i < count; i++) pack_load(peers, m, engines[i]);
  if (owner != peers->members.own_ip) send_out(peers, owner);
}

static uint32_t find_owner (void *ud, const mt_engine_t *e) {
  return owner_of(ud, e);
}

static void ask_owner (mt_gateway_peers_t *peers, uint32_t owner,
                       const mt_relay_request_t *r) {
  mt_peer_t *peer = mt_membership_add(&peers->members, owner);
  if (peer == NULL || peers->out.engines_count == 0) return;
  peers->out.request_number = r->number;
  peers->out.parts_count = r->parts_count;
  memcpy(peers->out.parts, r->parts, r->parts_count * sizeof *r->parts);
  if (peer->asked == 0) peer->asked = mt_boot_clock_now(peers->loop);
  send_out(peers, owner);
}

void mt_gateway_peers_ask (mt_gateway_peers_t *peers,
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
        mt_relay_quote(peers->relay, key, 0, r->parts, r->parts_count);
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
    ask_owner(peers, owner, r);
  }
  if (own_count > 0)
    peers->calls.quoted(peers->calls.ud, r->number, own, own_count);
}

static void on_ask (mt_gateway_peers_t *peers, uint32_t ip,
                    const mt_peer_message_t *ask) {
  mt_peer_message_t *m = begin(peers, MT_PEER_QUOTE);
  peers->relay->now =
      mt_max(peers->relay->now, mt_boot_clock_now(peers->loop));
  m->request_number = ask->request_number;
  for (size_t i = 0; i < ask->engines_count; i++) {
    uint64_t key = ask->engines[i].key;
    mt_relay_quote_t quote =
        mt_relay_quote(peers->relay, key, ip, ask->parts, ask->parts_count);
    m->engines[m->engines_count++] = (mt_peer_engine_t){
        quote.engine, quote.peers, quote.cached, quote.holder,
        mt_relay_admission(peers->relay, key, owns(peers, key))};
  }
  send_out(peers, ip);
}

static void on_quote (mt_gateway_peers_t *peers, mt_peer_t *peer,
                      const mt_peer_message_t *m) {
  mt_relay_quote_t quotes[MT_PEER_ENGINES_MAX];
  for (size_t i = 0; i < m->engines_count; i++)
    quotes[i] = (mt_relay_quote_t){m->engines[i].key, m->engines[i].load,
                                   m->engines[i].tokens, m->engines[i].holder,
                                   m->engines[i].admission};
  peer->asked = 0;
  peer->suspect_until = 0;
  peers->calls.quoted(peers->calls.ud, m->request_number, quotes,
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
                         .valid_until = now + ROW_VALID_MS};
    mt_relay_heard_load(peers->relay, e->key, &row, m->parts, m->parts_count);
    if (m->request_number != 0 && e->admission != MT_ADMIT_PLACE)
      mt_cold_starts_charge(&peers->relay->cold, e->key);
  }
}

/* }== */

/* {== Receiving ======================================================== */

/* False for one that a newer message of its sender has overtaken. */
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
        mt_share_exchange_receive(&peers->exchange, peer, m);
      break;
    case MT_PEER_LOAD:
      if (is_newest(peer, m)) on_load(peers, peer->ip, m);
      break;
    case MT_PEER_PREFIX_HOLDER: on_holds(peers, m); break;
    case MT_PEER_PERMIT_RETURN: on_back(peers, m); break;
    case MT_PEER_QUOTE_REQUEST: on_ask(peers, peer->ip, m); break;
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
    case MT_PEER_KINDS: break;
  }
}

/*
** True for a process that knows nothing yet. One that starts again at once is
** still taken to serve, though it has lost what it was told.
*/
static bool needs_greeting (const mt_membership_t *members,
                            const mt_peer_t *peer, uint64_t boot) {
  if (!mt_membership_is_live(members, peer)) return true;
  return boot != peer->synced_boot &&
         members->now >= peer->synced_at + GREET_LEAST_MS;
}

static void greet (mt_gateway_peers_t *peers, mt_peer_t *peer,
                   const mt_peer_message_t *m) {
  peer->synced_boot = m->boot;
  peer->synced_at = peers->members.now;
  say(peers, peer->ip, "heard");
  mt_suspect_exchange_sync_peer(&peers->suspects, peer->ip);
  mt_drain_exchange_sync_peer(&peers->draining, peer->ip);
  if (m->kind == MT_PEER_HELLO) welcome(peers, peer->ip, m->groups);
}

static void take_datagram (mt_gateway_peers_t *peers, uint32_t ip,
                           const char *bytes, size_t n) {
  mt_peer_message_t *m = &peers->in;
  if (!mt_peer_message_unpack(m, bytes, n)) return;
  peers->members.now = mt_boot_clock_now(peers->loop);
  mt_peer_t *peer = mt_membership_add(&peers->members, ip);
  if (peer == NULL) return;
  bool is_new = needs_greeting(&peers->members, peer, m->boot);
  peer->last_seen = peers->members.now;
  mt_feed_exchange_receive_header(&peers->feeds, peer, m);
  dispatch(peers, peer, m);
  if (is_new) greet(peers, peer, m);
}

static void on_datagram (uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
                         const struct sockaddr *from, unsigned flags) {
  if (n <= 0 || from == NULL) return;
  uint32_t ip = ((const struct sockaddr_in *)from)->sin_addr.s_addr;
  take_datagram(udp->data, ip, buf->base, (size_t)n);
}

/*
** The loop reads a few datagrams in each of its turns. Where turns are long
** that is less than what comes, the queue stays full, and news are lost.
*/
void mt_gateway_peers_read (mt_gateway_peers_t *peers) {
  uv_os_fd_t fd;
  if (uv_fileno((uv_handle_t *)&peers->udp, &fd) != 0) return;
  for (int i = 0; i < READ_AT_ONCE; i++) {
    struct sockaddr_in from = {.sin_port = 0};
    socklen_t size = sizeof from;
    ssize_t n = recvfrom(fd, peers->input, sizeof peers->input, MSG_DONTWAIT,
                         (struct sockaddr *)&from, &size);
    if (n < 0) return;
    take_datagram(peers, from.sin_addr.s_addr, peers->input, (size_t)n);
  }
}

static void on_alloc (uv_handle_t *h, size_t hint, uv_buf_t *buf) {
  mt_gateway_peers_t *peers = h->data;
  *buf = uv_buf_init(peers->input, sizeof peers->input);
}

/* }== */

/* Says when this router begins or ends to watch the source for others. */
static void note_role (mt_gateway_peers_t *peers) {
  bool leads = mt_gateway_peers_leads(peers);
  if (leads == peers->led) return;
  peers->led = leads;
  mt_log_line(peers->log, MT_LOG_STATE, mt_boot_clock_now(peers->loop),
              "watcher", "source=%d routers=%d outcome=%s",
              peers->members.own_reaches_source, peers->members.live,
              leads ? "begun" : "ended");
}

int mt_gateway_peers_tick (mt_gateway_peers_t *peers) {
  mt_ms_t now = mt_boot_clock_now(peers->loop);
  const mt_load_reporter_callbacks_t calls = {find_owner, tell_loads, peers};
  mt_membership_update(&peers->members, now);
  mt_load_reporter_tick(&peers->teller, &peers->relay->engines, now, &calls);
  mt_share_exchange_tick(&peers->exchange);
  mt_feed_exchange_tick(&peers->feeds);
  mt_suspect_exchange_tick(&peers->suspects);
  mt_drain_exchange_tick(&peers->draining);
  peers->relay->reach = mt_membership_live_fraction(&peers->members);
  note_role(peers);
  return peers->members.live;
}

mt_gateway_peers_t *
mt_gateway_peers_open (uv_loop_t *loop, const mt_gateway_settings_t *settings,
                       mt_relay_t *relay, mt_log_writer_t *log,
                       const mt_gateway_peers_calls_t *calls) {
  mt_gateway_peers_t *peers = mtV_new(sizeof *peers);
  mt_membership_t *members = &peers->members;
  struct sockaddr_in addr;
  peers->loop = loop;
  peers->relay = relay;
  peers->log = log;
  peers->calls = *calls;
  peers->port = settings->peers.port;
  peers->boot = uv_hrtime();
  uv_ip4_addr(settings->peers.ip, settings->peers.port, &addr);
  members->own_ip = addr.sin_addr.s_addr;
  members->own_domain = mtV_id(settings->domain, strlen(settings->domain));
  members->own_reaches_source = true;
  mt_membership_update(members, mt_boot_clock_now(loop));
  const mt_share_exchange_callbacks_t round = {begin_round, send_round,
                                               peers};
  mt_share_exchange_open(&peers->exchange, members, &relay->shares, &round);
  const mt_feed_exchange_callbacks_t news = {begin_round, send_news,
                                             apply_change, note_news, peers};
  mt_feed_exchange_open(&peers->feeds, members, &news);
  const mt_suspect_exchange_callbacks_t words = {
      begin_round, send_news, on_verdict, note_suspect, peers};
  mt_suspect_exchange_open(&peers->suspects, members, &relay->suspects,
                           &words, peers->boot);
  const mt_drain_exchange_callbacks_t drains = {begin_round, send_news,
                                                on_peer_drain, peers};
  mt_drain_exchange_open(&peers->draining, members, &relay->engines, &drains,
                         peers->boot);
  uv_udp_init(loop, &peers->udp);
  peers->udp.data = peers;
  if (uv_udp_bind(&peers->udp, (const struct sockaddr *)&addr, 0) == 0)
    uv_udp_recv_start(&peers->udp, on_alloc, on_datagram);
  for (size_t i = 0; i < settings->seeds_count; i++)
    if (uv_ip4_addr(settings->seeds[i].ip, peers->port, &addr) == 0)
      mt_membership_add(members, addr.sin_addr.s_addr);
  return peers;
}

const mt_peer_traffic_t *
mt_gateway_peers_traffic (const mt_gateway_peers_t *peers) {
  return peers->traffic;
}

uint64_t mt_gateway_peers_refused (const mt_gateway_peers_t *peers) {
  return peers->members.refused;
}

const uint64_t *mt_gateway_peers_news (const mt_gateway_peers_t *peers) {
  return peers->news;
}

uint16_t mt_gateway_peers_port (const mt_gateway_peers_t *peers) {
  struct sockaddr_in addr = {.sin_port = 0};
  int size = sizeof addr;
  uv_udp_getsockname(&peers->udp, (struct sockaddr *)&addr, &size);
  return ntohs(addr.sin_port);
}

static void on_closed (uv_handle_t *h) {
  mt_gateway_peers_t *peers = h->data;
  mt_share_exchange_free(&peers->exchange);
  mt_feed_exchange_free(&peers->feeds);
  mt_drain_exchange_free(&peers->draining);
  mt_membership_free(&peers->members);
  mt_load_reporter_free(&peers->teller);
  free(peers);
}

void mt_gateway_peers_close (mt_gateway_peers_t *peers) {
  uv_close((uv_handle_t *)&peers->udp, on_closed);
}
