/*
** peer_message.c - what routers tell each other: typed, and as msgpack
*/
#include <msgpack.h>
#include <stdio.h>
#include <string.h>

#include "mtmsg.h"
#include "peer_message.h"

#define FORMAT_VERSION 8
#define NUMBERS 21 /* before the lists */
#define FEEDS_AT 8 /* the first number of the feeds */
#define FEED_NUMBERS 4
#define SPANS_AT (FEEDS_AT + MT_FEEDS * FEED_NUMBERS)
#define SPAN_NUMBERS 2
#define ERA_AT (SPANS_AT + MT_FEEDS * SPAN_NUMBERS)
#define LISTS 7
#define MEMBER_NUMBERS 3
#define SHARE_NUMBERS 3
#define ENGINE_NUMBERS 7
#define DRAIN_NUMBERS 3
#define PART_NUMBERS 2
#define CHANGE_MEMBERS 5
#define CHANGE_ENGINE_MEMBERS 7
#define CHANGE_ROUTE_MEMBERS 2
#define SUSPECT_NUMBERS 7
#define END_NUMBERS 3 /* of each end that a suspect lists */
#define SUSPECT_ROW_NUMBERS \
  (SUSPECT_NUMBERS + MT_SUSPECT_ENDS_MAX * END_NUMBERS)
#define WORD_NUMBERS 8
#define CHANGE_BYTES 57 /* of one, its texts not counted */

/* What one router can claim at most. */
#define TOKENS_MOST 1000000000
#define RUNNING_MOST 1000000
#define READ_MOST ((int64_t)1 << 52)
#define MS_MOST 600000
#define SUSPECT_MS_MOST 7200000
#define ENDS_MOST 1000

const char *mt_peer_kind_name (mt_peer_kind_t kind) {
  switch (kind) {
    case MT_PEER_HELLO: return "hello";
    case MT_PEER_SUMMARY: return "summary";
    case MT_PEER_DOMAIN: return "domain";
    case MT_PEER_WELCOME: return "welcome";
    case MT_PEER_NEWS: return "news";
    case MT_PEER_LACK: return "lack";
    case MT_PEER_ASK: return "ask";
    case MT_PEER_QUOTE: return "quote";
    case MT_PEER_LOAD: return "load";
    case MT_PEER_HOLDS: return "holds";
    case MT_PEER_BACK: return "back";
    case MT_PEER_SUSPECTS: return "suspects";
    case MT_PEER_WORD: return "word";
    case MT_PEER_VERDICT: return "verdict";
    case MT_PEER_DRAINING: return "leaving";
    case MT_PEER_KINDS: break;
  }
  return "";
}

void mt_peer_message_begin (mt_peer_message_t *m, mt_peer_kind_t kind) {
  m->kind = kind;
  m->boot = m->number = m->token = 0;
  m->pace = 0;
  m->groups = m->group = 0;
  for (int i = 0; i < MT_FEEDS; i++) {
    m->feeds[i] = (mt_peer_feed_t){0};
    m->spans[i] = (mt_peer_span_t){0};
  }
  m->members_count = m->shares_count = 0;
  m->engines_count = m->parts_count = m->changes_count = 0;
  m->suspects_count = m->drains_count = 0;
  m->word = (mt_suspect_message_t){.kind = MT_SUSPECT_MESSAGE_COUNT};
  m->verdict = MT_TRIAL_COUNT;
}

/* {== Packing ========================================================== */

/* A rate or load as a whole number that is not negative. */
static uint64_t whole (double value) {
  return value > 0 ? (uint64_t)value : 0;
}

static void pack_members (const mt_peer_message_t *m, msgpack_packer *pk) {
  msgpack_pack_array(pk, m->members_count * MEMBER_NUMBERS);
  for (size_t i = 0; i < m->members_count; i++) {
    msgpack_pack_uint32(pk, m->members[i].ip);
    msgpack_pack_uint32(pk, m->members[i].domain);
    msgpack_pack_uint32(pk, m->members[i].source);
  }
}

static void pack_shares (const mt_peer_message_t *m, msgpack_packer *pk) {
  msgpack_pack_array(pk, m->shares_count * SHARE_NUMBERS);
  for (size_t i = 0; i < m->shares_count; i++) {
    msgpack_pack_uint32(pk, m->shares[i].workspace);
    msgpack_pack_uint64(pk, whole(m->shares[i].rates.asked));
    msgpack_pack_uint64(pk, whole(m->shares[i].rates.served));
  }
}

static void pack_engines (const mt_peer_message_t *m, msgpack_packer *pk) {
  msgpack_pack_array(pk, m->engines_count * ENGINE_NUMBERS);
  for (size_t i = 0; i < m->engines_count; i++) {
    const mt_peer_engine_t *e = &m->engines[i];
    msgpack_pack_uint64(pk, e->key);
    msgpack_pack_uint64(pk, whole((double)e->load.pending_prefill));
    msgpack_pack_uint64(pk, whole((double)e->load.held));
    msgpack_pack_uint64(pk, whole(e->load.running));
    msgpack_pack_uint64(pk, whole((double)e->tokens));
    msgpack_pack_uint64(pk, e->holder);
    msgpack_pack_uint8(pk, (uint8_t)e->admission);
  }
}

static void pack_drains (const mt_peer_message_t *m, msgpack_packer *pk) {
  msgpack_pack_array(pk, m->drains_count * DRAIN_NUMBERS);
  for (size_t i = 0; i < m->drains_count; i++) {
    msgpack_pack_uint64(pk, m->drains[i].engine);
    msgpack_pack_uint64(pk, whole((double)m->drains[i].started_at));
    msgpack_pack_uint64(pk, m->drains[i].age);
  }
}

static void pack_parts (const mt_peer_message_t *m, msgpack_packer *pk) {
  msgpack_pack_array(pk, m->parts_count * PART_NUMBERS);
  for (size_t i = 0; i < m->parts_count; i++) {
    msgpack_pack_uint64(pk, m->parts[i].id);
    msgpack_pack_uint64(pk, whole((double)m->parts[i].tokens));
  }
}

static void pack_text (msgpack_packer *pk, const char *text) {
  msgpack_pack_str_with_body(pk, text, strlen(text));
}

static void pack_engine (msgpack_packer *pk, const mt_change_engine_t *e) {
  msgpack_pack_array(pk, CHANGE_ENGINE_MEMBERS);
  pack_text(pk, e->domain);
  pack_text(pk, e->ip);
  pack_text(pk, e->service);
  msgpack_pack_uint16(pk, e->port);
  msgpack_pack_uint16(pk, e->slots);
  msgpack_pack_uint32(pk, e->cold);
  msgpack_pack_uint64(pk, (uint64_t)e->started_at);
}

/* What a change tells besides its name, as an array; most tell nothing. */
static void pack_details (msgpack_packer *pk, const mt_change_t *change) {
  switch (change->kind) {
    case MT_CHANGE_ENGINE_READY:
    case MT_CHANGE_ENGINE_DRAINING: pack_engine(pk, &change->u.engine); break;
    case MT_CHANGE_ROUTE_CLOSED:
    case MT_CHANGE_ROUTE_OPENED:
      msgpack_pack_array(pk, CHANGE_ROUTE_MEMBERS);
      msgpack_pack_uint32(pk, change->u.path.route);
      msgpack_pack_uint32(pk, change->u.path.service);
      break;
    default: msgpack_pack_array(pk, 0); break;
  }
}

size_t mt_peer_change_size (const mt_change_t *change) {
  const mt_change_engine_t *e = &change->u.engine;
  size_t size = CHANGE_BYTES + strlen(change->name);
  switch (change->kind) {
    case MT_CHANGE_ENGINE_READY:
    case MT_CHANGE_ENGINE_DRAINING:
      return size + strlen(e->domain) + strlen(e->ip) + strlen(e->service);
    default: return size;
  }
}

/* The latest era of the message's revisions. */
static int64_t era_of (const mt_peer_message_t *m) {
  mt_revision_t last = 0;
  for (int i = 0; i < MT_FEEDS; i++) {
    const mt_peer_feed_t *feed = &m->feeds[i];
    last = mt_max(last, mt_max(feed->newest, feed->at));
    last = mt_max(last, mt_max(feed->told, m->spans[i].reach));
    last = mt_max(last, m->spans[i].base);
  }
  for (size_t i = 0; i < m->changes_count; i++)
    last = mt_max(last, m->changes[i].rev);
  return mt_revision_era(last);
}

/* Eras are counted back from the message's: most numbers stay short. */
static uint64_t wire_revision (int64_t era, mt_revision_t rev) {
  if (rev == 0) return 0;
  return (uint64_t)mt_revision(era - mt_revision_era(rev),
                               mt_revision_count(rev));
}

static void pack_changes (const mt_peer_message_t *m, int64_t era,
                          msgpack_packer *pk) {
  msgpack_pack_array(pk, m->changes_count * CHANGE_MEMBERS);
  for (size_t i = 0; i < m->changes_count; i++) {
    const mt_change_t *change = &m->changes[i];
    msgpack_pack_uint8(pk, (uint8_t)change->kind);
    pack_text(pk, change->name);
    msgpack_pack_uint64(pk, wire_revision(era, change->rev));
    msgpack_pack_uint64(pk, change->age);
    pack_details(pk, change);
  }
}

static void pack_suspects (const mt_peer_message_t *m, msgpack_packer *pk) {
  msgpack_pack_array(pk, m->suspects_count * SUSPECT_ROW_NUMBERS);
  for (size_t i = 0; i < m->suspects_count; i++) {
    const mt_suspect_row_t *row = &m->suspects[i];
    msgpack_pack_uint64(pk, row->digest);
    msgpack_pack_uint64(pk, row->version);
    msgpack_pack_uint64(pk, whole(row->listed));
    msgpack_pack_uint64(pk, whole(row->earlier));
    msgpack_pack_uint64(pk, whole(row->earlier_alone));
    msgpack_pack_uint64(pk, row->age);
    msgpack_pack_uint64(pk, row->expires_in);
    for (int k = 0; k < MT_SUSPECT_ENDS_MAX; k++) {
      msgpack_pack_uint64(pk, row->list[k].engine);
      msgpack_pack_uint64(pk, row->list[k].at);
      msgpack_pack_uint8(pk, row->list[k].alone);
    }
  }
}

/* A list of one word, or of none. */
static void pack_word (const mt_peer_message_t *m, msgpack_packer *pk) {
  const mt_suspect_message_t *word = &m->word;
  msgpack_pack_array(
      pk, word->kind == MT_SUSPECT_MESSAGE_COUNT ? 0 : WORD_NUMBERS);
  if (word->kind == MT_SUSPECT_MESSAGE_COUNT) return;
  msgpack_pack_uint8(pk, (uint8_t)word->kind);
  msgpack_pack_uint64(pk, word->digest);
  msgpack_pack_uint64(pk, word->engine);
  msgpack_pack_uint64(pk, word->request);
  msgpack_pack_uint8(pk, word->alone);
  msgpack_pack_uint64(pk, word->age);
  msgpack_pack_uint64(pk, word->lease);
  msgpack_pack_uint8(pk, (uint8_t)m->verdict);
}

static int write_bytes (void *to, const char *bytes, size_t n) {
  mt_bytes_t *room = to;
  if (room->p != NULL && n > room->n) room->p = NULL;
  if (room->p == NULL) return -1;
  memcpy((char *)room->p, bytes, n);
  room->p += n;
  room->n -= n;
  return 0;
}

static void list_feeds (const mt_peer_message_t *m, int64_t era,
                        uint64_t *numbers) {
  numbers[ERA_AT] = (uint64_t)era;
  for (int i = 0; i < MT_FEEDS; i++) {
    uint64_t *feed = &numbers[FEEDS_AT + i * FEED_NUMBERS];
    uint64_t *span = &numbers[SPANS_AT + i * SPAN_NUMBERS];
    feed[0] = wire_revision(era, m->feeds[i].newest);
    feed[1] = wire_revision(era, m->feeds[i].at);
    feed[2] = wire_revision(era, m->feeds[i].told);
    feed[3] = m->feeds[i].age;
    span[0] = wire_revision(era, m->spans[i].base);
    span[1] = wire_revision(era, m->spans[i].reach);
  }
}

size_t mt_peer_message_pack (const mt_peer_message_t *m, char *out,
                             size_t size) {
  mt_bytes_t room = {out, size};
  msgpack_packer pk;
  msgpack_packer_init(&pk, &room, write_bytes);
  uint64_t numbers[NUMBERS] = {
      FORMAT_VERSION, m->kind, m->boot,   m->number,
      m->token,       m->pace, m->groups, m->group,
  };
  int64_t era = era_of(m);
  list_feeds(m, era, numbers);
  msgpack_pack_array(&pk, NUMBERS + LISTS);
  for (int i = 0; i < NUMBERS; i++) msgpack_pack_uint64(&pk, numbers[i]);
  pack_members(m, &pk);
  pack_shares(m, &pk);
  if (m->kind == MT_PEER_DRAINING) /* in their place: it has no others */
    pack_drains(m, &pk);
  else
    pack_engines(m, &pk);
  pack_parts(m, &pk);
  pack_changes(m, era, &pk);
  pack_suspects(m, &pk);
  pack_word(m, &pk);
  if (room.p == NULL) return 0; /* something did not fit */
  return size - room.n;
}

/* }== */

/* {== Unpacking ======================================================== */

static uint64_t number_of (const msgpack_object *o) {
  if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER) return 0;
  return o->via.u64;
}

static int64_t bounded (const msgpack_object *o, int64_t most) {
  uint64_t number = number_of(o);
  return number > (uint64_t)most ? most : (int64_t)number;
}

/* 0 for one of an era before the first. */
static mt_revision_t revision_of (const msgpack_object *o, int64_t era) {
  mt_revision_t wire = bounded(o, INT64_MAX);
  int64_t back = mt_revision_era(wire);
  if (wire == 0 || back > era) return 0;
  return mt_revision(era - back, mt_revision_count(wire));
}

/* How many rows of a list are there, and no more than there is room for. */
static size_t rows_of (const msgpack_object *list, size_t numbers,
                       size_t most) {
  return mt_min(list->via.array.size / numbers, most);
}

static void unpack_members (mt_peer_message_t *m, const msgpack_object *o) {
  size_t n = rows_of(o, MEMBER_NUMBERS, MT_PEER_MEMBERS_MAX);
  for (size_t i = 0; i < n; i++) {
    const msgpack_object *at = &o->via.array.ptr[i * MEMBER_NUMBERS];
    m->members[i] = (mt_peer_member_t){(uint32_t)number_of(&at[0]),
                                       (mt_id_t)number_of(&at[1]),
                                       (uint32_t)bounded(&at[2], 1)};
  }
  m->members_count = n;
}

/* No workspace has the handle 0. */
static void unpack_shares (mt_peer_message_t *m, const msgpack_object *o) {
  size_t n = rows_of(o, SHARE_NUMBERS, MT_PEER_SHARES_MAX);
  for (size_t i = 0; i < n; i++) {
    const msgpack_object *at = &o->via.array.ptr[i * SHARE_NUMBERS];
    mt_id_t workspace = (mt_id_t)number_of(&at[0]);
    if (workspace == 0) continue;
    mt_peer_share_t *share = &m->shares[m->shares_count++];
    share->workspace = workspace;
    share->rates.asked = (double)bounded(&at[1], TOKENS_MOST);
    share->rates.served = (double)bounded(&at[2], TOKENS_MOST);
  }
}

static void unpack_engines (mt_peer_message_t *m, const msgpack_object *o) {
  size_t n = rows_of(o, ENGINE_NUMBERS, MT_PEER_ENGINES_MAX);
  for (size_t i = 0; i < n; i++) {
    const msgpack_object *at = &o->via.array.ptr[i * ENGINE_NUMBERS];
    uint64_t key = number_of(&at[0]);
    if (key == 0) continue;
    mt_peer_engine_t *e = &m->engines[m->engines_count++];
    e->key = key;
    e->load.pending_prefill = bounded(&at[1], TOKENS_MOST);
    e->load.held = bounded(&at[2], TOKENS_MOST);
    e->load.running = (int32_t)bounded(&at[3], RUNNING_MOST);
    e->tokens = bounded(&at[4], READ_MOST);
    e->holder = number_of(&at[5]);
    e->admission = (mt_admission_t)bounded(&at[6], MT_ADMIT_NONE);
  }
}

static void unpack_drains (mt_peer_message_t *m, const msgpack_object *o) {
  size_t n = rows_of(o, DRAIN_NUMBERS, MT_PEER_DRAINS_MAX);
  for (size_t i = 0; i < n; i++) {
    const msgpack_object *at = &o->via.array.ptr[i * DRAIN_NUMBERS];
    m->drains[i] =
        (mt_peer_drain_t){number_of(&at[0]), bounded(&at[1], INT64_MAX),
                          (mt_ms_t)bounded(&at[2], MS_MOST)};
  }
  m->drains_count = n;
}

static void unpack_parts (mt_peer_message_t *m, const msgpack_object *o) {
  m->parts_count = rows_of(o, PART_NUMBERS, MT_PEER_PARTS_MAX);
  for (size_t i = 0; i < m->parts_count; i++) {
    const msgpack_object *at = &o->via.array.ptr[i * PART_NUMBERS];
    m->parts[i] = (mt_prefix_segment_t){number_of(&at[0]) | 1,
                                        bounded(&at[1], TOKENS_MOST)};
  }
}

/* A text that fits; empty for anything else. */
static void unpack_text (const msgpack_object *o, char *to, size_t size) {
  to[0] = '\0';
  if (o->type != MSGPACK_OBJECT_STR || o->via.str.size >= size) return;
  memcpy(to, o->via.str.ptr, o->via.str.size);
  to[o->via.str.size] = '\0';
}

static void unpack_engine (const msgpack_object *at, mt_change_engine_t *e) {
  unpack_text(&at[0], e->domain, sizeof e->domain);
  unpack_text(&at[1], e->ip, sizeof e->ip);
  unpack_text(&at[2], e->service, sizeof e->service);
  e->port = (uint16_t)bounded(&at[3], UINT16_MAX);
  e->slots = (uint16_t)bounded(&at[4], UINT16_MAX);
  e->cold = (uint32_t)bounded(&at[5], MS_MOST);
  e->started_at = bounded(&at[6], INT64_MAX);
}

/* False when the change's details are not those of its kind. */
static bool unpack_details (const msgpack_object *o, mt_change_t *change) {
  if (o->type != MSGPACK_OBJECT_ARRAY) return false;
  const msgpack_object *at = o->via.array.ptr;
  size_t size = o->via.array.size;
  switch (change->kind) {
    case MT_CHANGE_ENGINE_READY:
    case MT_CHANGE_ENGINE_DRAINING:
      if (size != CHANGE_ENGINE_MEMBERS) return false;
      unpack_engine(at, &change->u.engine);
      return true;
    case MT_CHANGE_ROUTE_CLOSED:
    case MT_CHANGE_ROUTE_OPENED:
      if (size != CHANGE_ROUTE_MEMBERS) return false;
      change->u.path.route = (mt_id_t)number_of(&at[0]);
      change->u.path.service = (mt_id_t)number_of(&at[1]);
      return true;
    default: return size == 0;
  }
}

static void unpack_changes (mt_peer_message_t *m, const msgpack_object *o,
                            int64_t era) {
  size_t n = rows_of(o, CHANGE_MEMBERS, MT_PEER_CHANGES_MAX);
  for (size_t i = 0; i < n; i++) {
    const msgpack_object *at = &o->via.array.ptr[i * CHANGE_MEMBERS];
    mt_change_t *change = &m->changes[m->changes_count];
    *change = (mt_change_t){.kind = MT_CHANGE_DOCUMENT};
    if (number_of(&at[0]) >= MT_CHANGE_KINDS) continue;
    change->kind = (mt_change_kind_t)number_of(&at[0]);
    unpack_text(&at[1], change->name, sizeof change->name);
    change->rev = revision_of(&at[2], era);
    change->age = (mt_ms_t)bounded(&at[3], MS_MOST);
    if (change->name[0] == '\0' || change->rev == 0) continue;
    m->changes_count += unpack_details(&at[4], change);
  }
}

static void unpack_suspect (mt_suspect_row_t *row, const msgpack_object *at) {
  *row = (mt_suspect_row_t){
      .digest = number_of(&at[0]),
      .version = (uint64_t)bounded(&at[1], INT64_MAX),
      .listed = (int)bounded(&at[2], MT_SUSPECT_ENDS_MAX),
      .earlier = (int)bounded(&at[3], ENDS_MOST),
      .earlier_alone = (int)bounded(&at[4], ENDS_MOST),
      .age = (mt_ms_t)bounded(&at[5], SUSPECT_MS_MOST),
      .expires_in = (mt_ms_t)bounded(&at[6], SUSPECT_MS_MOST)};
  for (int k = 0; k < MT_SUSPECT_ENDS_MAX; k++) {
    const msgpack_object *end = &at[SUSPECT_NUMBERS + k * END_NUMBERS];
    row->list[k].engine = number_of(&end[0]);
    row->list[k].at = (mt_ms_t)bounded(&end[1], SUSPECT_MS_MOST);
    row->list[k].alone = number_of(&end[2]) == 1;
  }
}

static void unpack_suspects (mt_peer_message_t *m, const msgpack_object *o) {
  size_t n = rows_of(o, SUSPECT_ROW_NUMBERS, MT_PEER_SUSPECTS_MAX);
  for (size_t i = 0; i < n; i++) {
    const msgpack_object *at = &o->via.array.ptr[i * SUSPECT_ROW_NUMBERS];
    if (number_of(&at[0]) != 0)
      unpack_suspect(&m->suspects[m->suspects_count++], at);
  }
}

static void unpack_word (mt_peer_message_t *m, const msgpack_object *o) {
  if (o->via.array.size != WORD_NUMBERS) return;
  const msgpack_object *at = o->via.array.ptr;
  if (number_of(&at[0]) >= MT_SUSPECT_MESSAGE_COUNT || number_of(&at[1]) == 0)
    return;
  m->word = (mt_suspect_message_t){
      .kind = (mt_suspect_message_kind_t)number_of(&at[0]),
      .digest = number_of(&at[1]),
      .engine = number_of(&at[2]),
      .request = number_of(&at[3]),
      .alone = number_of(&at[4]) == 1,
      .age = (mt_ms_t)bounded(&at[5], MS_MOST),
      .lease = (mt_ms_t)bounded(&at[6], MS_MOST)};
  m->verdict = (mt_trial_verdict_t)bounded(&at[7], MT_TRIAL_COUNT);
}

static void unpack_numbers (mt_peer_message_t *m, const msgpack_object *at) {
  m->boot = number_of(&at[2]);
  m->number = number_of(&at[3]);
  m->token = number_of(&at[4]);
  m->pace = (mt_ms_t)bounded(&at[5], MS_MOST);
  m->groups = (uint32_t)bounded(&at[6], MT_PEER_MEMBERS_MAX);
  m->group = (uint32_t)bounded(&at[7], MT_PEER_MEMBERS_MAX);
  int64_t era = bounded(&at[ERA_AT], MT_REVISION_ERA_MAX);
  for (int i = 0; i < MT_FEEDS; i++) {
    const msgpack_object *feed = &at[FEEDS_AT + i * FEED_NUMBERS];
    const msgpack_object *span = &at[SPANS_AT + i * SPAN_NUMBERS];
    m->feeds[i].newest = revision_of(&feed[0], era);
    m->feeds[i].at = revision_of(&feed[1], era);
    m->feeds[i].told = revision_of(&feed[2], era);
    m->feeds[i].age = (mt_ms_t)bounded(&feed[3], MS_MOST);
    m->spans[i].base = revision_of(&span[0], era);
    m->spans[i].reach = revision_of(&span[1], era);
  }
}

/* True when the message has the expected shape and version. */
static bool well_formed (const msgpack_object *o) {
  if (o->type != MSGPACK_OBJECT_ARRAY) return false;
  if (o->via.array.size != NUMBERS + LISTS) return false;
  const msgpack_object *at = o->via.array.ptr;
  if (number_of(&at[0]) != FORMAT_VERSION) return false;
  if (number_of(&at[1]) >= MT_PEER_KINDS) return false;
  for (int i = NUMBERS; i < NUMBERS + LISTS; i++)
    if (at[i].type != MSGPACK_OBJECT_ARRAY) return false;
  return true;
}

bool mt_peer_message_unpack (mt_peer_message_t *m, const char *bytes,
                             size_t size) {
  msgpack_unpacked unpacked;
  bool good = false;
  if (!mtW_wellsized(bytes, size)) return false;
  msgpack_unpacked_init(&unpacked);
  if (msgpack_unpack_next(&unpacked, bytes, size, NULL) !=
      MSGPACK_UNPACK_SUCCESS)
    goto done;
  good = well_formed(&unpacked.data);
  if (!good) goto done;
  const msgpack_object *at = unpacked.data.via.array.ptr;
  mt_peer_message_begin(m, (mt_peer_kind_t)number_of(&at[1]));
  unpack_numbers(m, at);
  unpack_members(m, &at[NUMBERS]);
  unpack_shares(m, &at[NUMBERS + 1]);
  if (m->kind == MT_PEER_DRAINING)
    unpack_drains(m, &at[NUMBERS + 2]);
  else
    unpack_engines(m, &at[NUMBERS + 2]);
  unpack_parts(m, &at[NUMBERS + 3]);
  unpack_changes(m, &at[NUMBERS + 4],
                 bounded(&at[ERA_AT], MT_REVISION_ERA_MAX));
  unpack_suspects(m, &at[NUMBERS + 5]);
  unpack_word(m, &at[NUMBERS + 6]);
done:
  msgpack_unpacked_destroy(&unpacked);
  return good;
}

/* }== */
