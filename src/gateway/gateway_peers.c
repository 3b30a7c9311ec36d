/*
** gateway_peers.c - what routers tell each other, as datagrams
*/
#include <arpa/inet.h>
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "gateway_peers.h"
#include "mtmsg.h"

#define FORMAT_VERSION 1
#define INTERVAL_MIN_MS 100 /* between two messages to a peer, at least */
#define BYTES_PER_S 14000   /* sent to all peers together, at most */
#define PROBE_MS 1000       /* between messages to who has not answered */
#define SILENT_MS 800       /* what an older message said is left out */
#define SILENT_PACES 3      /* or so many of the sender's intervals */
#define LOST_MS 3000        /* no longer counted as a router */
#define FORGET_MS 60000     /* an address is not tried any more */
#define ADDRESSES_MAX 1024
#define ADDRESSES_TOLD 8 /* of other routers, in each message */
#define ENGINES_TOLD 320
#define SHARES_TOLD 320
#define DATAGRAM_MAX 16384
#define MEMBERS 9      /* of a message */
#define LOAD_NUMBERS 3 /* of an engine's row: key, unread, running */
#define USE_NUMBERS 3  /* of its other row: key, held, read */
#define WHOLE_EVERY 4  /* messages; the others leave out what can wait */
#define PLACED_TOLD 24 /* in one message */

/* What one router can claim at most. */
#define TOKENS_MOST 1000000000
#define RUNNING_MOST 1000000
#define READ_MOST ((int64_t)1 << 52)
#define PACE_MOST 60000 /* ms */

typedef struct engine_row_t {
  uint64_t key;
  int64_t unread, held, read;
  int32_t running;
} engine_row_t;

typedef struct share_row_t {
  mt_id_t workspace;
  mt_share_rates_t rates;
} share_row_t;

/* An address where a router is or may be, and what it said last. */
typedef struct peer_t {
  uint32_t ip; /* network order */
  mt_ms_t known, heard, asked;
  uint64_t boot, number;
  mt_ms_t valid; /* what it said counts for so long */
  engine_row_t engines[ENGINES_TOLD];
  size_t engines_count;
  share_row_t shares[SHARES_TOLD];
  size_t shares_count;
} peer_t;

struct mt_gateway_peers_t {
  uv_loop_t *loop;
  uv_udp_t udp;
  mt_relay_t *relay;
  mt_log_writer_t *log;
  uint32_t own_ip;
  uint16_t port;
  uint64_t boot, number;
  mt_map_t by_ip; /* peer_t, owned */
  peer_t **list;
  size_t count, cap, next_told;
  mt_ms_t next_send, pace;
  size_t last_size;
  char input[DATAGRAM_MAX];
};

/* A router that said nothing for so long is no longer counted as one. */
static mt_ms_t lost_after (const peer_t *peer) {
  return mt_max(peer->valid, (mt_ms_t)LOST_MS);
}

/* {== Sums over peers ================================================== */

/* Adds (sign 1) or takes off (sign -1) what a peer said. */
static void count_rows (mt_gateway_peers_t *peers, const peer_t *peer,
                        int sign) {
  for (size_t i = 0; i < peer->engines_count; i++) {
    const engine_row_t *row = &peer->engines[i];
    mt_engine_t *e = mt_engines_get(&peers->relay->engines, row->key);
    if (e == NULL) continue;
    e->peers.unread += sign * row->unread;
    e->peers.held += sign * row->held;
    e->peers.running += sign * row->running;
  }
  for (size_t i = 0; i < peer->shares_count; i++) {
    const share_row_t *row = &peer->shares[i];
    mt_share_t *share =
        mt_fair_share_get(&peers->relay->shares, row->workspace);
    share->peers.asked += sign * row->rates.asked;
    share->peers.served += sign * row->rates.served;
  }
}

/* Engines come and go between messages, so sums are made anew. */
static void sum_up (mt_gateway_peers_t *peers) {
  mt_relay_t *relay = peers->relay;
  mt_ms_t now = uv_now(peers->loop);
  for (size_t i = 0; i < relay->engines.count; i++)
    relay->engines.list[i]->peers = (mt_engine_load_t){0};
  for (size_t i = 0; i < relay->shares.count; i++)
    relay->shares.list[i]->peers = (mt_share_rates_t){0};
  for (size_t i = 0; i < peers->count; i++) {
    const peer_t *peer = peers->list[i];
    if (peer->heard != 0 && now - peer->heard < peer->valid)
      count_rows(peers, peer, 1);
  }
}

/* }== */

/* {== Addresses ======================================================== */

static void say (mt_gateway_peers_t *peers, uint32_t ip,
                 const char *outcome) {
  char text[INET_ADDRSTRLEN];
  inet_ntop(AF_INET, &ip, text, sizeof text);
  mt_log_line(peers->log, MT_LOG_BELIEF, uv_now(peers->loop), "peer",
              "peer=%s outcome=%s", text, outcome);
}

static peer_t *know (mt_gateway_peers_t *peers, uint32_t ip) {
  if (ip == 0 || ip == peers->own_ip) return NULL;
  peer_t *peer = mtV_get(&peers->by_ip, ip);
  if (peer == NULL) {
    if (peers->count >= ADDRESSES_MAX) return NULL;
    peer = mtV_new(sizeof *peer);
    peer->ip = ip;
    mtV_put(&peers->by_ip, ip, peer);
    *mtV_push(peers->list, peers->count, peers->cap) = peer;
  }
  peer->known = uv_now(peers->loop);
  return peer;
}

static void forget (mt_gateway_peers_t *peers, size_t index) {
  peer_t *peer = peers->list[index];
  peers->list[index] = peers->list[--peers->count];
  mtV_del(&peers->by_ip, peer->ip);
  free(peer);
}

/* }== */

/* {== Messages ========================================================= */

static void pack_addresses (mt_gateway_peers_t *peers, msgpack_packer *pk) {
  size_t n = mt_min(peers->count, (size_t)ADDRESSES_TOLD);
  uint32_t told[ADDRESSES_TOLD];
  size_t used = 0;
  mt_ms_t now = uv_now(peers->loop);
  for (size_t i = 0; i < n; i++) {
    const peer_t *peer = peers->list[peers->next_told++ % peers->count];
    if (peer->heard != 0 && now - peer->heard < lost_after(peer))
      told[used++] = peer->ip;
  }
  msgpack_pack_array(pk, used);
  for (size_t i = 0; i < used; i++) msgpack_pack_uint32(pk, told[i]);
}

static bool has_load (const mt_engine_t *e) {
  return e->here.running > 0 || e->here.unread > 0;
}

static void pack_engines (const mt_relay_t *relay, msgpack_packer *pk) {
  size_t n = 0;
  for (size_t i = 0; i < relay->engines.count && n < ENGINES_TOLD; i++)
    n += has_load(relay->engines.list[i]);
  msgpack_pack_array(pk, n * LOAD_NUMBERS);
  for (size_t i = 0; i < relay->engines.count && n > 0; i++) {
    const mt_engine_t *e = relay->engines.list[i];
    if (!has_load(e)) continue;
    msgpack_pack_uint64(pk, e->key);
    msgpack_pack_int64(pk, e->here.unread);
    msgpack_pack_int32(pk, e->here.running);
    n--;
  }
}

/* What changes more slowly: memory held, and all that was read so far. */
static void pack_use (const mt_relay_t *relay, msgpack_packer *pk) {
  size_t n = mt_min(relay->engines.count, (size_t)ENGINES_TOLD);
  msgpack_pack_array(pk, n * USE_NUMBERS);
  for (size_t i = 0; i < n; i++) {
    const mt_engine_t *e = relay->engines.list[i];
    msgpack_pack_uint64(pk, e->key);
    msgpack_pack_int64(pk, e->here.held);
    msgpack_pack_int64(pk, e->read);
  }
}

static void pack_shares (const mt_relay_t *relay, msgpack_packer *pk) {
  size_t n = 0;
  for (size_t i = 0; i < relay->shares.count && n < SHARES_TOLD; i++)
    n += relay->shares.list[i]->here.asked >= 1;
  msgpack_pack_array(pk, n * 3);
  for (size_t i = 0; i < relay->shares.count && n > 0; i++) {
    const mt_share_t *s = relay->shares.list[i];
    if (s->here.asked < 1) continue;
    msgpack_pack_uint32(pk, s->workspace);
    msgpack_pack_uint64(pk, (uint64_t)s->here.asked);
    msgpack_pack_uint64(pk, (uint64_t)s->here.served);
    n--;
  }
}

/* Each as engine, number of parts, then each part's hash and tokens. */
static void pack_placed (mt_relay_t *relay, msgpack_packer *pk) {
  size_t n = mt_min(relay->placed_count, (size_t)PLACED_TOLD), numbers = 0;
  for (size_t i = 0; i < n; i++)
    numbers += 2 + 2 * relay->placed[i].parts_count;
  msgpack_pack_array(pk, numbers);
  for (size_t i = 0; i < n; i++) {
    const mt_relay_placed_t *placed = &relay->placed[i];
    msgpack_pack_uint64(pk, placed->engine);
    msgpack_pack_uint64(pk, placed->parts_count);
    for (size_t k = 0; k < placed->parts_count; k++) {
      msgpack_pack_uint64(pk, placed->parts[k].id);
      msgpack_pack_int64(pk, placed->parts[k].tokens);
    }
  }
  relay->placed_count -= n;
  memmove(relay->placed, relay->placed + n,
          relay->placed_count * sizeof *relay->placed);
}

static void pack (mt_gateway_peers_t *peers, msgpack_sbuffer *out) {
  msgpack_packer pk;
  msgpack_packer_init(&pk, out, msgpack_sbuffer_write);
  msgpack_pack_array(&pk, MEMBERS);
  msgpack_pack_int(&pk, FORMAT_VERSION);
  msgpack_pack_uint64(&pk, peers->boot);
  msgpack_pack_uint64(&pk, ++peers->number);
  msgpack_pack_uint64(&pk, peers->pace);
  pack_addresses(peers, &pk);
  pack_engines(peers->relay, &pk);
  pack_placed(peers->relay, &pk);
  if (peers->number % WHOLE_EVERY == 0) {
    pack_shares(peers->relay, &pk);
    pack_use(peers->relay, &pk);
  } else {
    msgpack_pack_array(&pk, 0);
    msgpack_pack_array(&pk, 0);
  }
}

static uint64_t number_of (const msgpack_object *o) {
  if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER) return 0;
  return o->via.u64;
}

/* Numbers out of a datagram that anybody may have sent: none is larger. */
static int64_t bounded (const msgpack_object *o, int64_t most) {
  uint64_t number = number_of(o);
  return number > (uint64_t)most ? most : (int64_t)number;
}

/* The peer's row of an engine; `hint` is where it probably is. */
static engine_row_t *row_of (peer_t *peer, uint64_t key, size_t hint) {
  for (size_t i = 0; i < peer->engines_count; i++) {
    engine_row_t *row = &peer->engines[(hint + i) % peer->engines_count];
    if (row->key == key) return row;
  }
  if (peer->engines_count == ENGINES_TOLD) return NULL;
  engine_row_t *row = &peer->engines[peer->engines_count++];
  *row = (engine_row_t){.key = key, .read = -1};
  return row;
}

/* Rows that are not told have no load. */
static void take_load (peer_t *peer, const msgpack_object_array *rows) {
  for (size_t i = 0; i < peer->engines_count; i++)
    peer->engines[i].unread = peer->engines[i].running = 0;
  for (uint32_t i = 0; i + LOAD_NUMBERS <= rows->size; i += LOAD_NUMBERS) {
    const msgpack_object *at = &rows->ptr[i];
    engine_row_t *row = row_of(peer, number_of(&at[0]), i / LOAD_NUMBERS);
    if (row == NULL) return;
    row->unread = bounded(&at[1], TOKENS_MOST);
    row->running = (int32_t)bounded(&at[2], RUNNING_MOST);
  }
}

/* Engines' clocks move on by what the peer had read since it last told. */
static void take_use (mt_gateway_peers_t *peers, peer_t *peer,
                      const msgpack_object_array *rows) {
  for (uint32_t i = 0; i + USE_NUMBERS <= rows->size; i += USE_NUMBERS) {
    const msgpack_object *at = &rows->ptr[i];
    engine_row_t *row = row_of(peer, number_of(&at[0]), i / USE_NUMBERS);
    if (row == NULL) return;
    int64_t read = bounded(&at[2], READ_MOST);
    mt_engine_t *e = mt_engines_get(&peers->relay->engines, row->key);
    if (e != NULL && row->read >= 0 && read > row->read)
      e->kept.clock += read - row->read;
    row->held = bounded(&at[1], TOKENS_MOST);
    row->read = read;
  }
}

/* Drops the rows of engines that are no longer known. */
static void drop_rows (mt_gateway_peers_t *peers, peer_t *peer) {
  for (size_t i = peer->engines_count; i-- > 0;)
    if (mt_engines_get(&peers->relay->engines, peer->engines[i].key) == NULL)
      peer->engines[i] = peer->engines[--peer->engines_count];
}

static void take_placed (mt_gateway_peers_t *peers,
                         const msgpack_object_array *rows) {
  uint32_t i = 0;
  while (i + 2 <= rows->size) {
    mt_relay_placed_t placed = {.engine = number_of(&rows->ptr[i])};
    uint64_t n = number_of(&rows->ptr[i + 1]);
    i += 2;
    if (n > MT_RELAY_PARTS_MAX || i + 2 * n > rows->size) return;
    for (uint64_t k = 0; k < n; k++, i += 2)
      placed.parts[placed.parts_count++] =
          (mt_prefix_part_t){number_of(&rows->ptr[i]) | 1,
                             bounded(&rows->ptr[i + 1], TOKENS_MOST)};
    mt_relay_heard_placed(peers->relay, &placed);
  }
}

static void take_shares (peer_t *peer, const msgpack_object_array *rows) {
  peer->shares_count = 0;
  for (uint32_t i = 0; i + 2 < rows->size; i += 3) {
    mt_id_t workspace = (mt_id_t)number_of(&rows->ptr[i]);
    if (workspace == 0) continue; /* no workspace has this handle */
    if (peer->shares_count >= SHARES_TOLD) return;
    share_row_t *row = &peer->shares[peer->shares_count++];
    row->workspace = workspace;
    row->rates.asked = (double)bounded(&rows->ptr[i + 1], TOKENS_MOST);
    row->rates.served = (double)bounded(&rows->ptr[i + 2], TOKENS_MOST);
  }
}

static void take_addresses (mt_gateway_peers_t *peers,
                            const msgpack_object_array *rows) {
  for (uint32_t i = 0; i < rows->size; i++) {
    uint32_t ip = (uint32_t)number_of(&rows->ptr[i]);
    if (mtV_get(&peers->by_ip, ip) == NULL) know(peers, ip);
  }
}

/* True when the message has the expected shape and version. */
static bool well_formed (const msgpack_object *o) {
  if (o->type != MSGPACK_OBJECT_ARRAY) return false;
  if (o->via.array.size != MEMBERS) return false;
  const msgpack_object *at = o->via.array.ptr;
  if (number_of(&at[0]) != FORMAT_VERSION) return false;
  for (int i = 4; i < MEMBERS; i++)
    if (at[i].type != MSGPACK_OBJECT_ARRAY) return false;
  return true;
}

static void take (mt_gateway_peers_t *peers, uint32_t ip,
                  const msgpack_object *at) {
  peer_t *peer = know(peers, ip);
  uint64_t boot = number_of(&at[1]), number = number_of(&at[2]);
  mt_ms_t now = uv_now(peers->loop);
  if (peer == NULL) return;
  if (boot == peer->boot && number <= peer->number) return; /* overtaken */
  if (peer->heard == 0 || now - peer->heard > lost_after(peer))
    say(peers, ip, "heard");
  if (boot != peer->boot) peer->engines_count = 0;
  peer->boot = boot;
  peer->number = number;
  peer->heard = now;
  peer->valid =
      mt_max((mt_ms_t)(SILENT_PACES * bounded(&at[3], PACE_MOST)), SILENT_MS);
  take_addresses(peers, &at[4].via.array);
  drop_rows(peers, peer);
  take_load(peer, &at[5].via.array);
  take_placed(peers, &at[6].via.array);
  if (at[7].via.array.size > 0) take_shares(peer, &at[7].via.array);
  take_use(peers, peer, &at[8].via.array);
}

static void on_message (uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
                        const struct sockaddr *from, unsigned flags) {
  mt_gateway_peers_t *peers = udp->data;
  msgpack_unpacked message;
  if (n <= 0 || from == NULL) return;
  if (!mtW_wellsized(buf->base, (size_t)n)) return;
  uint32_t ip = ((const struct sockaddr_in *)from)->sin_addr.s_addr;
  msgpack_unpacked_init(&message);
  if (msgpack_unpack_next(&message, buf->base, (size_t)n, NULL) ==
          MSGPACK_UNPACK_SUCCESS &&
      well_formed(&message.data))
    take(peers, ip, message.data.via.array.ptr);
  msgpack_unpacked_destroy(&message);
}

static void on_alloc (uv_handle_t *h, size_t hint, uv_buf_t *buf) {
  mt_gateway_peers_t *peers = h->data;
  *buf = uv_buf_init(peers->input, sizeof peers->input);
}

/* }== */

/* {== Sending ========================================================== */

static void send_to (mt_gateway_peers_t *peers, uint32_t ip, char *bytes,
                     size_t n) {
  struct sockaddr_in addr = {.sin_family = AF_INET,
                             .sin_port = htons(peers->port)};
  addr.sin_addr.s_addr = ip;
  uv_buf_t buf = uv_buf_init(bytes, (unsigned)n);
  uv_udp_try_send(&peers->udp, &buf, 1, (const struct sockaddr *)&addr);
}

/* Tells everybody; returns how many are told at every interval. */
static size_t send_all (mt_gateway_peers_t *peers) {
  msgpack_sbuffer out;
  mt_ms_t now = uv_now(peers->loop);
  size_t live = 0;
  msgpack_sbuffer_init(&out);
  pack(peers, &out);
  for (size_t i = 0; i < peers->count; i++) {
    peer_t *peer = peers->list[i];
    bool alive = peer->heard != 0 && now - peer->heard < lost_after(peer);
    live += alive;
    if (!alive && now - peer->asked < PROBE_MS) continue;
    peer->asked = now;
    send_to(peers, peer->ip, out.data, out.size);
  }
  peers->last_size = out.size;
  msgpack_sbuffer_destroy(&out);
  return live;
}

int mt_gateway_peers_tick (mt_gateway_peers_t *peers) {
  mt_ms_t now = uv_now(peers->loop);
  int routers = 1;
  sum_up(peers);
  for (size_t i = peers->count; i-- > 0;) {
    peer_t *peer = peers->list[i];
    bool alive = peer->heard != 0 && now - peer->heard < lost_after(peer);
    routers += alive;
    if (!alive && now - peer->known > FORGET_MS) forget(peers, i);
  }
  if (now < peers->next_send) return routers;
  size_t live = send_all(peers);
  mt_ms_t pace = 1000 * live * peers->last_size / BYTES_PER_S;
  peers->pace = mt_max(pace, (mt_ms_t)INTERVAL_MIN_MS);
  peers->next_send = now + peers->pace;
  return routers;
}

/* }== */

mt_gateway_peers_t *
mt_gateway_peers_open (uv_loop_t *loop, const mt_gateway_settings_t *settings,
                       mt_relay_t *relay, mt_log_writer_t *log) {
  mt_gateway_peers_t *peers = mtV_new(sizeof *peers);
  struct sockaddr_in addr;
  peers->loop = loop;
  peers->relay = relay;
  peers->log = log;
  peers->port = settings->peers.port;
  peers->boot = uv_hrtime();
  uv_ip4_addr(settings->peers.ip, settings->peers.port, &addr);
  peers->own_ip = addr.sin_addr.s_addr;
  uv_udp_init(loop, &peers->udp);
  peers->udp.data = peers;
  if (uv_udp_bind(&peers->udp, (const struct sockaddr *)&addr, 0) == 0)
    uv_udp_recv_start(&peers->udp, on_alloc, on_message);
  for (size_t i = 0; i < settings->seeds_count; i++)
    if (uv_ip4_addr(settings->seeds[i].ip, peers->port, &addr) == 0)
      know(peers, addr.sin_addr.s_addr);
  return peers;
}

uint16_t mt_gateway_peers_port (const mt_gateway_peers_t *peers) {
  struct sockaddr_in addr = {.sin_port = 0};
  int size = sizeof addr;
  uv_udp_getsockname(&peers->udp, (struct sockaddr *)&addr, &size);
  return ntohs(addr.sin_port);
}

static void on_closed (uv_handle_t *h) {
  mt_gateway_peers_t *peers = h->data;
  for (size_t i = 0; i < peers->count; i++) free(peers->list[i]);
  free(peers->list);
  mtV_free(&peers->by_ip);
  free(peers);
}

void mt_gateway_peers_close (mt_gateway_peers_t *peers) {
  uv_close((uv_handle_t *)&peers->udp, on_closed);
}
