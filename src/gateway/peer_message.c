/*
** peer_message.c - messages between routers, and their encoding in msgpack
**
** A message is an array: first the header's numbers, then lists. A list is a
** flat array with a fixed number of fields per row. The last field of a
** change is itself an array. A list may end with an array that is no row:
** readers that don't know it ignore it. The list of engines ends with the
** measurements (LOAD) or figures (QUOTE) of its rows: first the number of
** fields per row, then the rows. The list of changes ends with the part of an
** inventory. Unknown fields are ignored.
*/
#include <msgpack.h>
#include <stdio.h>
#include <string.h>

#include "mtmsg.h"
#include "peer_message.h"

#define FORMAT_VERSION 8
#define HEADER_FIELDS 21 /* numbers before the lists */
#define FEEDS_OFFSET 8   /* index of the first number of the feeds */
#define FEED_FIELDS 4
#define SPANS_OFFSET (FEEDS_OFFSET + MT_FEEDS * FEED_FIELDS)
#define SPAN_FIELDS 2
#define ERA_OFFSET (SPANS_OFFSET + MT_FEEDS * SPAN_FIELDS)
#define LISTS 7
#define MEMBER_FIELDS 3
#define SHARE_FIELDS 3
#define ENGINE_FIELDS 7
/* Of a row's measurements and figures: of times to first token, and then of
   gaps between events, which an older build doesn't send. */
#define SPEED_SUM_FIELDS 3
#define GAP_SUM_FIELDS (2 + MT_GAP_BOUNDS)
#define SPEED_FIGURE_FIELDS 2
#define GAP_FIGURE_FIELDS (2 + MT_GAP_BOUNDS)
/* A quote's rejection rate, which an older build doesn't send. */
#define REJECTION_FIELDS 1
#define FIGURE_FIELDS \
  (SPEED_FIGURE_FIELDS + GAP_FIGURE_FIELDS + REJECTION_FIELDS)
#define SPEED_FIELDS_MAX 32
#define DRAIN_FIELDS 3
#define ORIGIN_FIELDS 9
#define ORIGIN_FIELDS_MIN 7 /* of older builds */
#define SEGMENT_FIELDS 2
#define CHANGE_FIELDS 5
#define CHANGE_ENGINE_FIELDS 7
#define CHANGE_ROUTE_FIELDS 2
#define RANGES_WORDS (MT_INVENTORY_RANGES / 64)
#define INVENTORY_FIELDS (5 + 2 * RANGES_WORDS) /* before the values */
#define SUSPECT_FIELDS 7
#define SUSPECT_END_FIELDS 3 /* of each engine end in a suspect's row */
#define SUSPECT_ROW_FIELDS \
  (SUSPECT_FIELDS + MT_SUSPECT_ENDS_MAX * SUSPECT_END_FIELDS)
#define SUSPECT_RUN_FIELDS 2 /* further ones of each engine end */
#define SUSPECT_ROW_DETAILS (MT_SUSPECT_ENDS_MAX * SUSPECT_RUN_FIELDS + 1)
#define SUSPECT_MESSAGE_DETAILS 2
#define SUSPECT_MESSAGE_FIELDS 8
#define CHANGE_BASE_BYTES 57 /* packed size of a change without its texts */

/* Upper bounds of received values. */
#define TOKENS_MAX 1000000000
#define RUNNING_MAX 1000000
#define TOKENS_PROCESSED_MAX ((int64_t)1 << 52)
#define DURATION_MAX_MS 600000
#define SLOWNESS_SCALE 1000.0 /* slowness on the wire is in thousandths */
/* Fractions are in ten-thousandths: a stream of 56 events that pauses
   once in 180 is no matter. */
#define FRACTION_SCALE 10000.0
#define SUSPECT_AGE_MAX_MS 7200000
#define EARLIER_ENDS_MAX 1000

const char *mt_peer_kind_name (mt_peer_kind_t kind) {
  switch (kind) {
    case MT_PEER_HELLO: return "hello";
    case MT_PEER_GROUP_SUMMARY: return "summary";
    case MT_PEER_DOMAIN_SUMMARY: return "domain";
    case MT_PEER_MEMBERS: return "welcome";
    case MT_PEER_CHANGES: return "news";
    case MT_PEER_CHANGES_REQUEST: return "lack";
    case MT_PEER_QUOTE_REQUEST: return "ask";
    case MT_PEER_QUOTE: return "quote";
    case MT_PEER_LOAD: return "load";
    case MT_PEER_PREFIX_HOLDER: return "holds";
    case MT_PEER_PERMIT_RETURN: return "back";
    case MT_PEER_SUSPECTS: return "suspects";
    case MT_PEER_SUSPECT_MESSAGE: return "word";
    case MT_PEER_TRIAL_VERDICT: return "verdict";
    case MT_PEER_DRAINS: return "leaving";
    case MT_PEER_NOT_RUN: return "not-run";
    case MT_PEER_ORIGIN: return "origin";
    case MT_PEER_ORIGIN_REQUEST: return "origin-request";
    case MT_PEER_ORIGIN_REPLY: return "origin-reply";
    case MT_PEER_KINDS: break;
  }
  return "";
}

void mt_peer_message_begin (mt_peer_message_t *m, mt_peer_kind_t kind) {
  m->kind = kind;
  m->boot = m->number = m->request_number = 0;
  m->interval = 0;
  m->groups = m->group = 0;
  for (int i = 0; i < MT_FEEDS; i++) {
    m->feeds[i] = (mt_peer_feed_t){MT_REVISION_NONE, MT_REVISION_NONE,
                                   MT_REVISION_NONE, 0};
    m->spans[i] = (mt_peer_span_t){0};
  }
  m->members_count = m->shares_count = 0;
  m->engines_count = m->segments_count = m->changes_count = 0;
  m->inventory.present = false;
  m->inventory.count = 0;
  m->suspects_count = m->drains_count = 0;
  m->suspect_message =
      (mt_suspect_message_t){.kind = MT_SUSPECT_MESSAGE_COUNT};
  m->verdict = MT_TRIAL_COUNT;
  m->origin = (mt_peer_origin_t){.report = {.key = 0}};
}

/* True for the kinds that have an origin in place of the list of engines. */
static bool has_origin (mt_peer_kind_t kind) {
  return kind == MT_PEER_ORIGIN || kind == MT_PEER_ORIGIN_REQUEST ||
         kind == MT_PEER_ORIGIN_REPLY;
}

/* {== Packing ========================================================== */

/* Truncates a rate or load to an integer; negative values give 0. */
static uint64_t to_unsigned (double value) {
  return value > 0 ? (uint64_t)value : 0;
}

static void pack_members (const mt_peer_message_t *m, msgpack_packer *pk) {
  msgpack_pack_array(pk, m->members_count * MEMBER_FIELDS);
  for (size_t i = 0; i < m->members_count; i++) {
    msgpack_pack_uint32(pk, m->members[i].ip);
    msgpack_pack_uint32(pk, m->members[i].domain);
    msgpack_pack_uint32(pk, m->members[i].reaches_source);
  }
}

static void pack_shares (const mt_peer_message_t *m, msgpack_packer *pk) {
  msgpack_pack_array(pk, m->shares_count * SHARE_FIELDS);
  for (size_t i = 0; i < m->shares_count; i++) {
    msgpack_pack_uint32(pk, m->shares[i].workspace);
    msgpack_pack_uint64(pk, to_unsigned(m->shares[i].rates.demand));
    msgpack_pack_uint64(pk, to_unsigned(m->shares[i].rates.served));
  }
}

/* Number of fields of each row in the element after the engines; 0: there is
   none, as no row has anything to say. */
static uint32_t count_speed_fields (const mt_peer_message_t *m) {
  bool sums = false, gap_sums = false;
  bool figures = false, gap_figures = false, rejections = false;
  for (size_t i = 0; i < m->engines_count; i++) {
    const mt_peer_engine_t *e = &m->engines[i];
    sums = sums || e->measured.known;
    gap_sums = gap_sums || e->measured.gaps.known;
    figures = figures || e->speed.slowness > 0;
    gap_figures = gap_figures || e->speed.gaps.mean_ms > 0;
    rejections = rejections || e->rejection_rate > 0;
  }
  switch (m->kind) {
    case MT_PEER_LOAD:
      if (gap_sums) return SPEED_SUM_FIELDS + GAP_SUM_FIELDS;
      return sums ? SPEED_SUM_FIELDS : 0;
    case MT_PEER_QUOTE:
      if (rejections) return FIGURE_FIELDS;
      if (gap_figures) return SPEED_FIGURE_FIELDS + GAP_FIGURE_FIELDS;
      return figures ? SPEED_FIGURE_FIELDS : 0;
    default: return 0;
  }
}

static void pack_gap_sums (const mt_gap_sums_t *s, msgpack_packer *pk) {
  msgpack_pack_uint64(pk, to_unsigned((double)s->count));
  msgpack_pack_uint64(pk, to_unsigned((double)s->ms));
  for (int i = 0; i < MT_GAP_BOUNDS; i++)
    msgpack_pack_uint64(pk, to_unsigned((double)s->over[i]));
}

static void pack_fraction (double fraction, msgpack_packer *pk) {
  msgpack_pack_uint64(pk, to_unsigned(fraction * FRACTION_SCALE + 0.5));
}

static void pack_gap_figures (const mt_gap_figures_t *f, msgpack_packer *pk) {
  msgpack_pack_uint64(pk, to_unsigned(f->mean_ms + 0.5));
  msgpack_pack_uint64(pk, f->age);
  for (int i = 0; i < MT_GAP_BOUNDS; i++) pack_fraction(f->over[i], pk);
}

static void pack_speed_sums (const mt_speed_sums_t *s, msgpack_packer *pk) {
  msgpack_pack_uint64(pk, to_unsigned((double)s->answers));
  msgpack_pack_uint64(pk, to_unsigned((double)s->expected_ms));
  msgpack_pack_uint64(pk, to_unsigned((double)s->measured_ms));
}

static void pack_speed_figures (const mt_speed_figures_t *f,
                                msgpack_packer *pk) {
  msgpack_pack_uint64(pk, to_unsigned(f->slowness * SLOWNESS_SCALE + 0.5));
  msgpack_pack_uint64(pk, f->age);
}

static void pack_speeds (const mt_peer_message_t *m, uint32_t fields,
                         msgpack_packer *pk) {
  msgpack_pack_array(pk, 1 + m->engines_count * fields);
  msgpack_pack_uint32(pk, fields);
  for (size_t i = 0; i < m->engines_count; i++) {
    const mt_peer_engine_t *e = &m->engines[i];
    if (m->kind == MT_PEER_LOAD) {
      pack_speed_sums(&e->measured, pk);
      if (fields > SPEED_SUM_FIELDS) pack_gap_sums(&e->measured.gaps, pk);
    } else {
      pack_speed_figures(&e->speed, pk);
      if (fields > SPEED_FIGURE_FIELDS) pack_gap_figures(&e->speed.gaps, pk);
      if (fields == FIGURE_FIELDS) pack_fraction(e->rejection_rate, pk);
    }
  }
}

static void pack_engines (const mt_peer_message_t *m, msgpack_packer *pk) {
  uint32_t speed_fields = count_speed_fields(m);
  msgpack_pack_array(pk,
                     m->engines_count * ENGINE_FIELDS + (speed_fields > 0));
  for (size_t i = 0; i < m->engines_count; i++) {
    const mt_peer_engine_t *e = &m->engines[i];
    msgpack_pack_uint64(pk, e->key);
    msgpack_pack_uint64(pk, to_unsigned((double)e->load.pending_prefill));
    msgpack_pack_uint64(pk, to_unsigned((double)e->load.held));
    msgpack_pack_uint64(pk, to_unsigned(e->load.running));
    msgpack_pack_uint64(pk, to_unsigned((double)e->tokens));
    msgpack_pack_uint64(pk, e->holder);
    msgpack_pack_uint8(pk, (uint8_t)e->admission);
  }
  if (speed_fields > 0) pack_speeds(m, speed_fields, pk);
}

static void pack_drains (const mt_peer_message_t *m, msgpack_packer *pk) {
  msgpack_pack_array(pk, m->drains_count * DRAIN_FIELDS);
  for (size_t i = 0; i < m->drains_count; i++) {
    msgpack_pack_uint64(pk, m->drains[i].engine);
    msgpack_pack_uint64(pk, to_unsigned((double)m->drains[i].started_at));
    msgpack_pack_uint64(pk, m->drains[i].age);
  }
}

static void pack_origin (const mt_peer_message_t *m, msgpack_packer *pk) {
  const mt_origin_report_t *report = &m->origin.report;
  const mt_origin_answer_t *answer = &m->origin.answer;
  msgpack_pack_array(pk, ORIGIN_FIELDS);
  msgpack_pack_uint64(pk, report->key);
  msgpack_pack_uint32(pk, report->origin.service);
  msgpack_pack_uint32(pk, report->origin.version);
  msgpack_pack_uint64(pk, report->ttl);
  msgpack_pack_uint8(pk, answer->known);
  msgpack_pack_uint32(pk, answer->sole);
  msgpack_pack_uint8(pk, answer->several);
  msgpack_pack_uint64(pk, (uint64_t)(answer->list_rev + 1)); /* 0: none */
  msgpack_pack_uint64(pk, answer->up);
}

static void pack_segments (const mt_peer_message_t *m, msgpack_packer *pk) {
  msgpack_pack_array(pk, m->segments_count * SEGMENT_FIELDS);
  for (size_t i = 0; i < m->segments_count; i++) {
    msgpack_pack_uint64(pk, m->segments[i].id);
    msgpack_pack_uint64(pk, to_unsigned((double)m->segments[i].tokens));
  }
}

static void pack_text (msgpack_packer *pk, const char *text) {
  msgpack_pack_str_with_body(pk, text, strlen(text));
}

static void pack_engine (msgpack_packer *pk, const mt_change_engine_t *e) {
  msgpack_pack_array(pk, CHANGE_ENGINE_FIELDS);
  pack_text(pk, e->domain);
  pack_text(pk, e->ip);
  pack_text(pk, e->service);
  msgpack_pack_uint16(pk, e->port);
  msgpack_pack_uint16(pk, e->slots);
  msgpack_pack_uint32(pk, e->cold);
  msgpack_pack_uint64(pk, (uint64_t)e->started_at);
}

/* The details of a change as an array, which is empty for most kinds. */
static void pack_details (msgpack_packer *pk, const mt_change_t *change) {
  switch (change->kind) {
    case MT_CHANGE_ENGINE_READY:
    case MT_CHANGE_ENGINE_DRAINING: pack_engine(pk, &change->u.engine); break;
    case MT_CHANGE_ROUTE_REMOVED:
    case MT_CHANGE_ROUTE_ADDED:
      msgpack_pack_array(pk, CHANGE_ROUTE_FIELDS);
      msgpack_pack_uint32(pk, change->u.path.route);
      msgpack_pack_uint32(pk, change->u.path.service);
      break;
    default: msgpack_pack_array(pk, 0); break;
  }
}

size_t mt_peer_change_size (const mt_change_t *change) {
  const mt_change_engine_t *e = &change->u.engine;
  size_t size = CHANGE_BASE_BYTES + strlen(change->name);
  switch (change->kind) {
    case MT_CHANGE_ENGINE_READY:
    case MT_CHANGE_ENGINE_DRAINING:
      return size + strlen(e->domain) + strlen(e->ip) + strlen(e->service);
    default: return size;
  }
}

/*
** The least era that a revision can be encoded with. On the wire eras are
** counted back from one of the message, so that most revisions are small
** numbers. 0 is no revision there, so the one before the first change of an
** era has to be counted back from a later era.
*/
static int64_t least_wire_era (mt_revision_t rev) {
  if (rev == MT_REVISION_NONE) return 0;
  return mt_revision_era(rev) + (mt_revision_count(rev) == 0);
}

/* The era that the message's revisions are encoded with. */
static int64_t wire_era (const mt_peer_message_t *m) {
  int64_t era = 0;
  for (int i = 0; i < MT_FEEDS; i++) {
    const mt_peer_feed_t *feed = &m->feeds[i];
    const mt_peer_span_t *span = &m->spans[i];
    era = mt_max(era, least_wire_era(feed->newest));
    era = mt_max(era, least_wire_era(feed->at));
    era = mt_max(era, least_wire_era(feed->received));
    if (span->reach == 0) continue;
    era = mt_max(era, least_wire_era(span->base));
    era = mt_max(era, least_wire_era(span->reach));
  }
  for (size_t i = 0; i < m->changes_count; i++)
    era = mt_max(era, least_wire_era(m->changes[i].rev));
  if (m->inventory.present) {
    era = mt_max(era, least_wire_era(m->inventory.at));
    era = mt_max(era, least_wire_era(m->inventory.rev));
  }
  return mt_min(era, MT_REVISION_ERA_MAX);
}

static uint64_t encode_revision (int64_t era, mt_revision_t rev) {
  if (rev == MT_REVISION_NONE) return 0;
  return (uint64_t)mt_revision(era - mt_revision_era(rev),
                               mt_revision_count(rev));
}

static void pack_ranges (const mt_inventory_ranges_t *ranges,
                         msgpack_packer *pk) {
  for (int i = 0; i < RANGES_WORDS; i++)
    msgpack_pack_uint64(pk, ranges->bits[i]);
}

static void pack_inventory (const mt_peer_inventory_t *p, int64_t era,
                            msgpack_packer *pk) {
  msgpack_pack_array(pk, INVENTORY_FIELDS + p->count);
  msgpack_pack_uint8(pk, (uint8_t)p->feed);
  msgpack_pack_uint64(pk, (uint64_t)mt_max(p->version, (int64_t)0));
  msgpack_pack_uint64(pk, encode_revision(era, p->at));
  msgpack_pack_uint64(pk, encode_revision(era, p->rev));
  msgpack_pack_uint64(pk, p->digest);
  pack_ranges(&p->equal, pk);
  pack_ranges(&p->listed, pk);
  for (size_t i = 0; i < p->count; i++) msgpack_pack_uint64(pk, p->values[i]);
}

static void pack_changes (const mt_peer_message_t *m, int64_t era,
                          msgpack_packer *pk) {
  msgpack_pack_array(pk,
                     m->changes_count * CHANGE_FIELDS + m->inventory.present);
  for (size_t i = 0; i < m->changes_count; i++) {
    const mt_change_t *change = &m->changes[i];
    msgpack_pack_uint8(pk, (uint8_t)change->kind);
    pack_text(pk, change->name);
    msgpack_pack_uint64(pk, encode_revision(era, change->rev));
    msgpack_pack_uint64(pk, change->age);
    pack_details(pk, change);
  }
  if (m->inventory.present) pack_inventory(&m->inventory, era, pk);
}

/* What older builds don't know of rows and of the suspect message: a list
   behind the rows, which they skip, as it is no whole row. */
static void pack_suspect_details (const mt_peer_message_t *m,
                                  msgpack_packer *pk) {
  msgpack_pack_array(pk, m->suspects_count * SUSPECT_ROW_DETAILS +
                             SUSPECT_MESSAGE_DETAILS);
  for (size_t i = 0; i < m->suspects_count; i++) {
    const mt_suspect_row_t *row = &m->suspects[i];
    for (int k = 0; k < MT_SUSPECT_ENDS_MAX; k++) {
      msgpack_pack_uint64(pk, row->list[k].run);
      msgpack_pack_uint32(pk, row->list[k].workspace);
    }
    msgpack_pack_uint8(pk, row->known);
  }
  msgpack_pack_uint32(pk, m->suspect_message.workspace);
  msgpack_pack_uint8(pk, m->suspect_message.known);
}

static void pack_suspects (const mt_peer_message_t *m, msgpack_packer *pk) {
  bool has_details = m->suspects_count > 0 ||
                     m->suspect_message.kind != MT_SUSPECT_MESSAGE_COUNT;
  msgpack_pack_array(pk,
                     m->suspects_count * SUSPECT_ROW_FIELDS + has_details);
  for (size_t i = 0; i < m->suspects_count; i++) {
    const mt_suspect_row_t *row = &m->suspects[i];
    msgpack_pack_uint64(pk, row->digest);
    msgpack_pack_uint64(pk, row->version);
    msgpack_pack_uint64(pk, to_unsigned(row->listed));
    msgpack_pack_uint64(pk, to_unsigned(row->earlier));
    msgpack_pack_uint64(pk, to_unsigned(row->earlier_alone));
    msgpack_pack_uint64(pk, row->age);
    msgpack_pack_uint64(pk, row->expires_in);
    for (int k = 0; k < MT_SUSPECT_ENDS_MAX; k++) {
      msgpack_pack_uint64(pk, row->list[k].engine);
      msgpack_pack_uint64(pk, row->list[k].at);
      msgpack_pack_uint8(pk, row->list[k].alone);
    }
  }
  if (has_details) pack_suspect_details(m, pk);
}

/* A list of one suspect message, or an empty one. */
static void pack_suspect_message (const mt_peer_message_t *m,
                                  msgpack_packer *pk) {
  const mt_suspect_message_t *message = &m->suspect_message;
  msgpack_pack_array(pk, message->kind == MT_SUSPECT_MESSAGE_COUNT
                             ? 0
                             : SUSPECT_MESSAGE_FIELDS);
  if (message->kind == MT_SUSPECT_MESSAGE_COUNT) return;
  msgpack_pack_uint8(pk, (uint8_t)message->kind);
  msgpack_pack_uint64(pk, message->digest);
  msgpack_pack_uint64(pk, message->engine);
  msgpack_pack_uint64(pk, message->request);
  msgpack_pack_uint8(pk, message->alone);
  msgpack_pack_uint64(pk, message->age);
  msgpack_pack_uint64(pk, message->lease);
  msgpack_pack_uint8(pk, (uint8_t)m->verdict);
}

static int write_bytes (void *to, const char *bytes, size_t n) {
  mt_bytes_t *out_left = to;
  if (out_left->p != NULL && n > out_left->n) out_left->p = NULL;
  if (out_left->p == NULL) return -1;
  memcpy((char *)out_left->p, bytes, n);
  out_left->p += n;
  out_left->n -= n;
  return 0;
}

static void pack_feeds (const mt_peer_message_t *m, int64_t era,
                        uint64_t *fields) {
  fields[ERA_OFFSET] = (uint64_t)era;
  for (int i = 0; i < MT_FEEDS; i++) {
    uint64_t *feed = &fields[FEEDS_OFFSET + i * FEED_FIELDS];
    uint64_t *span = &fields[SPANS_OFFSET + i * SPAN_FIELDS];
    feed[0] = encode_revision(era, m->feeds[i].newest);
    feed[1] = encode_revision(era, m->feeds[i].at);
    feed[2] = encode_revision(era, m->feeds[i].received);
    feed[3] = m->feeds[i].age;
    if (m->spans[i].reach == 0) continue;
    span[0] = encode_revision(era, m->spans[i].base);
    span[1] = encode_revision(era, m->spans[i].reach);
  }
}

size_t mt_peer_message_pack (const mt_peer_message_t *m, char *out,
                             size_t size) {
  mt_bytes_t out_left = {out, size};
  msgpack_packer pk;
  msgpack_packer_init(&pk, &out_left, write_bytes);
  uint64_t fields[HEADER_FIELDS] = {
      FORMAT_VERSION,    m->kind,     m->boot,   m->number,
      m->request_number, m->interval, m->groups, m->group,
  };
  int64_t era = wire_era(m);
  pack_feeds(m, era, fields);
  msgpack_pack_array(&pk, HEADER_FIELDS + LISTS);
  for (int i = 0; i < HEADER_FIELDS; i++) msgpack_pack_uint64(&pk, fields[i]);
  pack_members(m, &pk);
  pack_shares(m, &pk);
  if (m->kind == MT_PEER_DRAINS) /* it has no list of engines */
    pack_drains(m, &pk);
  else if (has_origin(m->kind))
    pack_origin(m, &pk);
  else
    pack_engines(m, &pk);
  pack_segments(m, &pk);
  pack_changes(m, era, &pk);
  pack_suspects(m, &pk);
  pack_suspect_message(m, &pk);
  if (out_left.p == NULL) return 0; /* out of room */
  return size - out_left.n;
}

/* }== */

/* {== Unpacking ======================================================== */

static uint64_t unpack_number (const msgpack_object *o) {
  if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER) return 0;
  return o->via.u64;
}

static int64_t unpack_bounded (const msgpack_object *o, int64_t max) {
  uint64_t number = unpack_number(o);
  return number > (uint64_t)max ? max : (int64_t)number;
}

/* NONE if the era would be negative. */
static mt_revision_t decode_revision (const msgpack_object *o, int64_t era) {
  mt_revision_t wire = unpack_bounded(o, INT64_MAX);
  int64_t back = mt_revision_era(wire);
  if (wire == 0 || back > era) return MT_REVISION_NONE;
  return mt_revision(era - back, mt_revision_count(wire));
}

/* An older build also sends 0 for the first revision of the latest era. In
   era 0 a span's base can be no other. */
static mt_peer_span_t decode_span (const msgpack_object *at, int64_t era) {
  mt_revision_t base = decode_revision(&at[0], era),
                reach = decode_revision(&at[1], era);
  if (reach == MT_REVISION_NONE) return (mt_peer_span_t){0};
  if (base == MT_REVISION_NONE && era == 0) base = 0;
  return (mt_peer_span_t){base, reach};
}

/* Number of rows in a list, at most `max`. */
static size_t count_rows (const msgpack_object *list, size_t fields,
                          size_t max) {
  return mt_min(list->via.array.size / fields, max);
}

static void unpack_members (mt_peer_message_t *m, const msgpack_object *o) {
  size_t n = count_rows(o, MEMBER_FIELDS, MT_PEER_MEMBERS_MAX);
  for (size_t i = 0; i < n; i++) {
    const msgpack_object *at = &o->via.array.ptr[i * MEMBER_FIELDS];
    m->members[i] = (mt_peer_member_t){(uint32_t)unpack_number(&at[0]),
                                       (mt_id_t)unpack_number(&at[1]),
                                       (uint32_t)unpack_bounded(&at[2], 1)};
  }
  m->members_count = n;
}

/* Rows with workspace 0, which is no valid id, are skipped. */
static void unpack_shares (mt_peer_message_t *m, const msgpack_object *o) {
  size_t n = count_rows(o, SHARE_FIELDS, MT_PEER_SHARES_MAX);
  for (size_t i = 0; i < n; i++) {
    const msgpack_object *at = &o->via.array.ptr[i * SHARE_FIELDS];
    mt_id_t workspace = (mt_id_t)unpack_number(&at[0]);
    if (workspace == 0) continue;
    mt_peer_share_t *share = &m->shares[m->shares_count++];
    share->workspace = workspace;
    share->rates.demand = (double)unpack_bounded(&at[1], TOKENS_MAX);
    share->rates.served = (double)unpack_bounded(&at[2], TOKENS_MAX);
  }
}

static mt_gap_sums_t unpack_gap_sums (const msgpack_object *at) {
  mt_gap_sums_t s = {.known = true,
                     .count = unpack_bounded(&at[0], TOKENS_PROCESSED_MAX),
                     .ms = unpack_bounded(&at[1], TOKENS_PROCESSED_MAX)};
  for (int i = 0; i < MT_GAP_BOUNDS; i++)
    s.over[i] = unpack_bounded(&at[2 + i], TOKENS_PROCESSED_MAX);
  return s;
}

static double unpack_fraction (const msgpack_object *at) {
  return (double)unpack_bounded(at, (int64_t)FRACTION_SCALE) / FRACTION_SCALE;
}

static mt_gap_figures_t unpack_gap_figures (const msgpack_object *at) {
  mt_gap_figures_t f = {
      .mean_ms = (double)unpack_bounded(&at[0], DURATION_MAX_MS),
      .age = (mt_ms_t)unpack_bounded(&at[1], DURATION_MAX_MS)};
  for (int i = 0; i < MT_GAP_BOUNDS; i++)
    f.over[i] = unpack_fraction(&at[2 + i]);
  return f;
}

/* `fields`: number of fields of the row. */
static mt_speed_sums_t unpack_speed_sums (const msgpack_object *at,
                                          size_t fields) {
  mt_speed_sums_t s = {
      .known = true,
      .answers = unpack_bounded(&at[0], TOKENS_PROCESSED_MAX),
      .expected_ms = unpack_bounded(&at[1], TOKENS_PROCESSED_MAX),
      .measured_ms = unpack_bounded(&at[2], TOKENS_PROCESSED_MAX)};
  if (fields >= SPEED_SUM_FIELDS + GAP_SUM_FIELDS)
    s.gaps = unpack_gap_sums(&at[SPEED_SUM_FIELDS]);
  return s;
}

static mt_speed_figures_t unpack_speed_figures (const msgpack_object *at,
                                                size_t fields) {
  int64_t slowness =
      unpack_bounded(&at[0], (int64_t)(MT_SLOWNESS_MAX * SLOWNESS_SCALE));
  mt_speed_figures_t f = {
      .slowness = (double)slowness / SLOWNESS_SCALE,
      .age = (mt_ms_t)unpack_bounded(&at[1], DURATION_MAX_MS)};
  if (fields >= SPEED_FIGURE_FIELDS + GAP_FIGURE_FIELDS)
    f.gaps = unpack_gap_figures(&at[SPEED_FIGURE_FIELDS]);
  return f;
}

/* The element after the engines' rows, if it is one that holds a row of at
   least `least` fields for each of them, whose number `fields` gets; else
   NULL. */
static const msgpack_object *find_speeds (const msgpack_object *engines,
                                          size_t least, size_t *fields) {
  size_t size = engines->via.array.size, rows = size / ENGINE_FIELDS;
  if (size != rows * ENGINE_FIELDS + 1) return NULL;
  const msgpack_object *last = &engines->via.array.ptr[size - 1];
  if (last->type != MSGPACK_OBJECT_ARRAY || last->via.array.size == 0)
    return NULL;
  *fields = unpack_number(&last->via.array.ptr[0]);
  if (*fields < least || *fields > SPEED_FIELDS_MAX) return NULL;
  if (last->via.array.size != 1 + rows * *fields) return NULL;
  return &last->via.array.ptr[1];
}

static void unpack_engines (mt_peer_message_t *m, const msgpack_object *o) {
  size_t fields = 0;
  const msgpack_object *sums = NULL, *figures = NULL;
  if (m->kind == MT_PEER_LOAD)
    sums = find_speeds(o, SPEED_SUM_FIELDS, &fields);
  if (m->kind == MT_PEER_QUOTE)
    figures = find_speeds(o, SPEED_FIGURE_FIELDS, &fields);
  size_t n = count_rows(o, ENGINE_FIELDS, MT_PEER_ENGINES_MAX);
  for (size_t i = 0; i < n; i++) {
    const msgpack_object *at = &o->via.array.ptr[i * ENGINE_FIELDS];
    uint64_t key = unpack_number(&at[0]);
    if (key == 0) continue;
    mt_peer_engine_t *e = &m->engines[m->engines_count++];
    e->key = key;
    e->load.pending_prefill = unpack_bounded(&at[1], TOKENS_MAX);
    e->load.held = unpack_bounded(&at[2], TOKENS_MAX);
    e->load.running = (int32_t)unpack_bounded(&at[3], RUNNING_MAX);
    e->tokens = unpack_bounded(&at[4], TOKENS_PROCESSED_MAX);
    e->holder = unpack_number(&at[5]);
    e->admission = (mt_admission_t)unpack_bounded(&at[6], MT_ADMIT_NONE);
    e->measured = (mt_speed_sums_t){.known = false};
    e->speed = (mt_speed_figures_t){0};
    e->rejection_rate = 0;
    if (sums != NULL)
      e->measured = unpack_speed_sums(&sums[i * fields], fields);
    if (figures != NULL)
      e->speed = unpack_speed_figures(&figures[i * fields], fields);
    if (figures != NULL && fields >= FIGURE_FIELDS)
      e->rejection_rate =
          unpack_fraction(&figures[i * fields + FIGURE_FIELDS - 1]);
  }
}

static void unpack_drains (mt_peer_message_t *m, const msgpack_object *o) {
  size_t n = count_rows(o, DRAIN_FIELDS, MT_PEER_DRAINS_MAX);
  for (size_t i = 0; i < n; i++) {
    const msgpack_object *at = &o->via.array.ptr[i * DRAIN_FIELDS];
    m->drains[i] = (mt_peer_drain_t){
        unpack_number(&at[0]), unpack_bounded(&at[1], INT64_MAX),
        (mt_ms_t)unpack_bounded(&at[2], DURATION_MAX_MS)};
  }
  m->drains_count = n;
}

static void unpack_origin (mt_peer_message_t *m, const msgpack_object *o) {
  size_t size = o->via.array.size;
  if (size < ORIGIN_FIELDS_MIN) return;
  const msgpack_object *at = o->via.array.ptr;
  mt_origin_report_t *report = &m->origin.report;
  mt_origin_answer_t *answer = &m->origin.answer;
  report->key = unpack_number(&at[0]);
  report->origin = (mt_stream_origin_t){(mt_id_t)unpack_number(&at[1]),
                                        (mt_id_t)unpack_number(&at[2])};
  report->ttl = (mt_ms_t)unpack_bounded(&at[3], DURATION_MAX_MS);
  answer->known = unpack_number(&at[4]) == 1;
  answer->origin = report->origin;
  answer->sole = (mt_id_t)unpack_number(&at[5]);
  answer->several = unpack_number(&at[6]) == 1;
  answer->list_rev = MT_REVISION_NONE;
  if (size < ORIGIN_FIELDS) return;
  answer->list_rev = unpack_bounded(&at[7], INT64_MAX) - 1;
  answer->up = (mt_ms_t)unpack_bounded(&at[8], DURATION_MAX_MS);
}

static void unpack_segments (mt_peer_message_t *m, const msgpack_object *o) {
  m->segments_count = count_rows(o, SEGMENT_FIELDS, MT_PEER_SEGMENTS_MAX);
  for (size_t i = 0; i < m->segments_count; i++) {
    const msgpack_object *at = &o->via.array.ptr[i * SEGMENT_FIELDS];
    m->segments[i] = (mt_prefix_segment_t){
        unpack_number(&at[0]) | 1, unpack_bounded(&at[1], TOKENS_MAX)};
  }
}

/* Copies a string; `to` is empty for one that does not fit or other types. */
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
  e->port = (uint16_t)unpack_bounded(&at[3], UINT16_MAX);
  e->slots = (uint16_t)unpack_bounded(&at[4], UINT16_MAX);
  e->cold = (uint32_t)unpack_bounded(&at[5], DURATION_MAX_MS);
  e->started_at = unpack_bounded(&at[6], INT64_MAX);
}

/* False if the details do not match the change's kind. */
static bool unpack_details (const msgpack_object *o, mt_change_t *change) {
  if (o->type != MSGPACK_OBJECT_ARRAY) return false;
  const msgpack_object *at = o->via.array.ptr;
  size_t size = o->via.array.size;
  switch (change->kind) {
    case MT_CHANGE_ENGINE_READY:
    case MT_CHANGE_ENGINE_DRAINING:
      if (size != CHANGE_ENGINE_FIELDS) return false;
      unpack_engine(at, &change->u.engine);
      return true;
    case MT_CHANGE_ROUTE_REMOVED:
    case MT_CHANGE_ROUTE_ADDED:
      if (size != CHANGE_ROUTE_FIELDS) return false;
      change->u.path.route = (mt_id_t)unpack_number(&at[0]);
      change->u.path.service = (mt_id_t)unpack_number(&at[1]);
      return true;
    default: return size == 0;
  }
}

static void unpack_changes (mt_peer_message_t *m, const msgpack_object *o,
                            int64_t era) {
  size_t n = count_rows(o, CHANGE_FIELDS, MT_PEER_CHANGES_MAX);
  for (size_t i = 0; i < n; i++) {
    const msgpack_object *at = &o->via.array.ptr[i * CHANGE_FIELDS];
    mt_change_t *change = &m->changes[m->changes_count];
    *change = (mt_change_t){.kind = MT_CHANGE_OTHER};
    if (unpack_number(&at[0]) >= MT_CHANGE_KINDS) continue;
    change->kind = (mt_change_kind_t)unpack_number(&at[0]);
    unpack_text(&at[1], change->name, sizeof change->name);
    change->rev = decode_revision(&at[2], era);
    change->age = (mt_ms_t)unpack_bounded(&at[3], DURATION_MAX_MS);
    if (change->name[0] == '\0' || change->rev <= 0) continue;
    m->changes_count += unpack_details(&at[4], change);
  }
}

static void unpack_ranges (const msgpack_object *at,
                           mt_inventory_ranges_t *ranges) {
  for (int i = 0; i < RANGES_WORDS; i++)
    ranges->bits[i] = unpack_number(&at[i]);
}

/* Of the element after the changes, if there is one. */
static void unpack_inventory (mt_peer_message_t *m,
                              const msgpack_object *changes, int64_t era) {
  size_t size = changes->via.array.size;
  mt_peer_inventory_t *p = &m->inventory;
  if (size % CHANGE_FIELDS != 1) return;
  const msgpack_object *last = &changes->via.array.ptr[size - 1];
  if (last->type != MSGPACK_OBJECT_ARRAY) return;
  const msgpack_object *at = last->via.array.ptr;
  size = last->via.array.size;
  if (size < INVENTORY_FIELDS ||
      size > INVENTORY_FIELDS + mt_countof(p->values))
    return;
  if (unpack_number(&at[0]) >= MT_FEEDS) return;
  p->present = true;
  p->feed = (mt_feed_kind_t)unpack_number(&at[0]);
  p->version = unpack_bounded(&at[1], INT64_MAX);
  p->at = decode_revision(&at[2], era);
  p->rev = decode_revision(&at[3], era);
  p->digest = unpack_number(&at[4]);
  unpack_ranges(&at[5], &p->equal);
  unpack_ranges(&at[5 + RANGES_WORDS], &p->listed);
  p->count = size - INVENTORY_FIELDS;
  for (size_t i = 0; i < p->count; i++)
    p->values[i] = unpack_number(&at[INVENTORY_FIELDS + i]);
}

static void unpack_suspect (mt_suspect_row_t *row, const msgpack_object *at) {
  *row = (mt_suspect_row_t){
      .digest = unpack_number(&at[0]),
      .version = (uint64_t)unpack_bounded(&at[1], INT64_MAX),
      .listed = (int)unpack_bounded(&at[2], MT_SUSPECT_ENDS_MAX),
      .earlier = (int)unpack_bounded(&at[3], EARLIER_ENDS_MAX),
      .earlier_alone = (int)unpack_bounded(&at[4], EARLIER_ENDS_MAX),
      .age = (mt_ms_t)unpack_bounded(&at[5], SUSPECT_AGE_MAX_MS),
      .expires_in = (mt_ms_t)unpack_bounded(&at[6], SUSPECT_AGE_MAX_MS)};
  for (int k = 0; k < MT_SUSPECT_ENDS_MAX; k++) {
    const msgpack_object *end = &at[SUSPECT_FIELDS + k * SUSPECT_END_FIELDS];
    row->list[k].engine = unpack_number(&end[0]);
    row->list[k].at = (mt_ms_t)unpack_bounded(&end[1], SUSPECT_AGE_MAX_MS);
    row->list[k].alone = unpack_number(&end[2]) == 1;
  }
}

/* The list behind the rows, or NULL: an older build doesn't send it. */
static const msgpack_object *find_suspect_details (const msgpack_object *o,
                                                   size_t rows) {
  if (o->via.array.size != rows * SUSPECT_ROW_FIELDS + 1) return NULL;
  const msgpack_object *list = &o->via.array.ptr[rows * SUSPECT_ROW_FIELDS];
  size_t size = rows * SUSPECT_ROW_DETAILS + SUSPECT_MESSAGE_DETAILS;
  bool fits =
      list->type == MSGPACK_OBJECT_ARRAY && list->via.array.size == size;
  return fits ? list->via.array.ptr : NULL;
}

static void unpack_row_details (mt_suspect_row_t *row,
                                const msgpack_object *at) {
  for (int k = 0; k < MT_SUSPECT_ENDS_MAX; k++) {
    const msgpack_object *end = &at[k * SUSPECT_RUN_FIELDS];
    row->list[k].run = unpack_number(&end[0]);
    row->list[k].workspace = (mt_id_t)unpack_bounded(&end[1], UINT32_MAX);
  }
  row->known = unpack_number(&at[SUSPECT_ROW_DETAILS - 1]) == 1;
}

static void unpack_suspects (mt_peer_message_t *m, const msgpack_object *o) {
  size_t n = count_rows(o, SUSPECT_ROW_FIELDS, MT_PEER_SUSPECTS_MAX);
  const msgpack_object *details = find_suspect_details(o, n);
  for (size_t i = 0; i < n; i++) {
    const msgpack_object *at = &o->via.array.ptr[i * SUSPECT_ROW_FIELDS];
    if (unpack_number(&at[0]) == 0) continue;
    mt_suspect_row_t *row = &m->suspects[m->suspects_count++];
    unpack_suspect(row, at);
    if (details != NULL)
      unpack_row_details(row, &details[i * SUSPECT_ROW_DETAILS]);
  }
  if (details == NULL) return;
  const msgpack_object *rest = &details[n * SUSPECT_ROW_DETAILS];
  m->suspect_message.workspace =
      (mt_id_t)unpack_bounded(&rest[0], UINT32_MAX);
  m->suspect_message.known = unpack_number(&rest[1]) == 1;
}

static void unpack_suspect_message (mt_peer_message_t *m,
                                    const msgpack_object *o) {
  if (o->via.array.size != SUSPECT_MESSAGE_FIELDS) return;
  const msgpack_object *at = o->via.array.ptr;
  if (unpack_number(&at[0]) >= MT_SUSPECT_MESSAGE_COUNT ||
      unpack_number(&at[1]) == 0)
    return;
  m->suspect_message = (mt_suspect_message_t){
      .workspace = m->suspect_message.workspace, /* are in another list */
      .known = m->suspect_message.known,
      .kind = (mt_suspect_message_kind_t)unpack_number(&at[0]),
      .digest = unpack_number(&at[1]),
      .engine = unpack_number(&at[2]),
      .request = unpack_number(&at[3]),
      .alone = unpack_number(&at[4]) == 1,
      .age = (mt_ms_t)unpack_bounded(&at[5], DURATION_MAX_MS),
      .lease = (mt_ms_t)unpack_bounded(&at[6], DURATION_MAX_MS)};
  m->verdict = (mt_trial_verdict_t)unpack_bounded(&at[7], MT_TRIAL_COUNT);
}

static void unpack_header (mt_peer_message_t *m, const msgpack_object *at) {
  m->boot = unpack_number(&at[2]);
  m->number = unpack_number(&at[3]);
  m->request_number = unpack_number(&at[4]);
  m->interval = (mt_ms_t)unpack_bounded(&at[5], DURATION_MAX_MS);
  m->groups = (uint32_t)unpack_bounded(&at[6], MT_PEER_MEMBERS_MAX);
  m->group = (uint32_t)unpack_bounded(&at[7], MT_PEER_MEMBERS_MAX);
  int64_t era = unpack_bounded(&at[ERA_OFFSET], MT_REVISION_ERA_MAX);
  for (int i = 0; i < MT_FEEDS; i++) {
    const msgpack_object *feed = &at[FEEDS_OFFSET + i * FEED_FIELDS];
    m->feeds[i].newest = decode_revision(&feed[0], era);
    m->feeds[i].at = decode_revision(&feed[1], era);
    m->feeds[i].received = decode_revision(&feed[2], era);
    m->feeds[i].age = (mt_ms_t)unpack_bounded(&feed[3], DURATION_MAX_MS);
    m->spans[i] = decode_span(&at[SPANS_OFFSET + i * SPAN_FIELDS], era);
  }
}

/* True if the message has the expected structure and version. */
static bool well_formed (const msgpack_object *o) {
  if (o->type != MSGPACK_OBJECT_ARRAY) return false;
  if (o->via.array.size != HEADER_FIELDS + LISTS) return false;
  const msgpack_object *at = o->via.array.ptr;
  if (unpack_number(&at[0]) != FORMAT_VERSION) return false;
  if (unpack_number(&at[1]) >= MT_PEER_KINDS) return false;
  for (int i = HEADER_FIELDS; i < HEADER_FIELDS + LISTS; i++)
    if (at[i].type != MSGPACK_OBJECT_ARRAY) return false;
  return true;
}

bool mt_peer_message_unpack (mt_peer_message_t *m, const char *bytes,
                             size_t size) {
  msgpack_unpacked unpacked;
  bool good = false;
  if (!mtW_wellformed(bytes, size)) return false;
  msgpack_unpacked_init(&unpacked);
  if (msgpack_unpack_next(&unpacked, bytes, size, NULL) !=
      MSGPACK_UNPACK_SUCCESS)
    goto done;
  good = well_formed(&unpacked.data);
  if (!good) goto done;
  const msgpack_object *at = unpacked.data.via.array.ptr;
  mt_peer_message_begin(m, (mt_peer_kind_t)unpack_number(&at[1]));
  unpack_header(m, at);
  unpack_members(m, &at[HEADER_FIELDS]);
  unpack_shares(m, &at[HEADER_FIELDS + 1]);
  if (m->kind == MT_PEER_DRAINS)
    unpack_drains(m, &at[HEADER_FIELDS + 2]);
  else if (has_origin(m->kind))
    unpack_origin(m, &at[HEADER_FIELDS + 2]);
  else
    unpack_engines(m, &at[HEADER_FIELDS + 2]);
  unpack_segments(m, &at[HEADER_FIELDS + 3]);
  int64_t era = unpack_bounded(&at[ERA_OFFSET], MT_REVISION_ERA_MAX);
  unpack_changes(m, &at[HEADER_FIELDS + 4], era);
  unpack_inventory(m, &at[HEADER_FIELDS + 4], era);
  unpack_suspects(m, &at[HEADER_FIELDS + 5]);
  unpack_suspect_message(m, &at[HEADER_FIELDS + 6]);
done:
  msgpack_unpacked_destroy(&unpacked);
  return good;
}

/* }== */
