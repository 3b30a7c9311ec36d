/*
** inventory_exchange.c - compares what is in force here and at peers
*/
#include <string.h>

#include "inventory_exchange.h"

/* Ids in one message, so that it fits into a packet; a larger range has a
   message of its own. */
#define IDS_PER_MESSAGE 136
/* In reply to one request; the next one asks for the other ranges. */
#define MESSAGES_PER_REPLY_MAX 4
/* Until the request for the ranges that a reply has left. */
#define NEXT_REQUEST_MS 50

static const mt_inventory_t *list_items (mt_feed_exchange_t *x,
                                         mt_feed_kind_t kind) {
  mt_inventory_t *inventory = &x->inventory;
  inventory->count = 0;
  inventory->at = inventory->rev = MT_REVISION_NONE;
  inventory->version = 0;
  x->inventory_callbacks.list(x->inventory_callbacks.ud, kind, inventory);
  return inventory;
}

/* The revision up to which nothing of the range is missing here. */
static mt_revision_t known_of (const mt_feed_t *feed, size_t range) {
  return mt_max(feed->comparison.agreed[range], feed->state.received);
}

/* {== Requests ========================================================= */

void mt_inventory_exchange_request (mt_feed_exchange_t *x,
                                    mt_feed_kind_t kind,
                                    mt_peer_message_t *m) {
  mt_feed_t *feed = &x->feeds[kind];
  mt_feed_comparison_t *comparison = &feed->comparison;
  mt_peer_inventory_t *part = &m->inventory;
  if (x->inventory_callbacks.list == NULL) return;
  const mt_inventory_t *ours = list_items(x, kind);
  mt_inventory_digests(ours, comparison->digests);
  comparison->digest = mt_inventory_digest(comparison->digests);
  *part = (mt_peer_inventory_t){.present = true,
                                .feed = kind,
                                .version = ours->version,
                                .at = MT_REVISION_NONE,
                                .rev = MT_REVISION_NONE,
                                .count = MT_INVENTORY_RANGES};
  memcpy(part->values, comparison->digests, sizeof comparison->digests);
  for (size_t i = 0; i < MT_INVENTORY_RANGES; i++)
    if (known_of(feed, i) < feed->state.newest)
      mt_inventory_add(&part->listed, i);
}

bool mt_inventory_exchange_continues (const mt_peer_message_t *request,
                                      mt_feed_kind_t kind) {
  const mt_peer_inventory_t *part = &request->inventory;
  uint64_t all = UINT64_MAX;
  for (size_t i = 0; i < mt_countof(part->listed.bits); i++)
    all &= part->listed.bits[i];
  return part->present && part->feed == kind && all != UINT64_MAX;
}

/* }== */

/* {== Replies ========================================================== */

/* The ranges that are left to send, and their numbers of items. */
typedef struct remainder_t {
  mt_inventory_ranges_t ranges;
  size_t counts[MT_INVENTORY_RANGES];
} remainder_t;

/* Moves ranges from the remainder to a message, as many as fit. */
static mt_inventory_ranges_t take_ranges (remainder_t *left) {
  mt_inventory_ranges_t taken = {{0}}, rest = {{0}};
  size_t ids = 0;
  bool any = false;
  for (size_t i = 0; i < MT_INVENTORY_RANGES; i++) {
    if (!mt_inventory_has(&left->ranges, i)) continue;
    size_t max = any ? IDS_PER_MESSAGE : MT_PEER_INVENTORY_MAX;
    bool fits = ids + left->counts[i] <= max;
    mt_inventory_add(fits ? &taken : &rest, i);
    ids += fits ? left->counts[i] : 0;
    any = any || fits;
  }
  left->ranges = rest;
  return taken;
}

static bool is_empty (const mt_inventory_ranges_t *ranges) {
  uint64_t bits = 0;
  for (size_t i = 0; i < mt_countof(ranges->bits); i++)
    bits |= ranges->bits[i];
  return bits == 0;
}

static void add_ids (mt_peer_inventory_t *part,
                     const mt_inventory_t *inventory) {
  for (size_t i = 0; i < inventory->count; i++) {
    const mt_item_t *item = &inventory->items[i];
    if (!item->withdrawn &&
        mt_inventory_has(&part->listed, mt_inventory_range(item->id)))
      part->values[part->count++] = item->id;
  }
}

static void send_part (mt_feed_exchange_t *x, uint32_t to,
                       const mt_peer_inventory_t *head) {
  mt_peer_message_t *m = x->callbacks.begin(x->callbacks.ud, MT_PEER_CHANGES);
  const mt_peer_span_t span = {MT_REVISION_NONE, head->at};
  m->inventory = *head;
  add_ids(&m->inventory, &x->inventory);
  x->callbacks.send(x->callbacks.ud, &to, 1);
  if (x->callbacks.log_outcome != NULL)
    x->callbacks.log_outcome(x->callbacks.ud, to, head->feed, &span,
                             m->inventory.count, MT_FEED_SENT);
}

bool mt_inventory_exchange_answer (mt_feed_exchange_t *x,
                                   const mt_peer_t *peer,
                                   const mt_peer_message_t *request) {
  const mt_peer_inventory_t *theirs = &request->inventory;
  mt_revision_t known = request->feeds[theirs->feed].received;
  uint64_t digests[MT_INVENTORY_RANGES];
  remainder_t left = {{{0}}, {0}};
  if (x->inventory_callbacks.list == NULL || known == MT_REVISION_NONE ||
      theirs->count != MT_INVENTORY_RANGES)
    return false;
  const mt_inventory_t *ours = list_items(x, theirs->feed);
  if (ours->at == MT_REVISION_NONE || ours->at <= known) return false;
  mt_inventory_digests(ours, digests);
  mt_inventory_counts(ours, left.counts);
  mt_peer_inventory_t part = {.present = true,
                              .feed = theirs->feed,
                              .version = ours->version,
                              .at = ours->at,
                              .rev = ours->rev,
                              .digest = mt_inventory_digest(theirs->values)};
  for (size_t i = 0; i < MT_INVENTORY_RANGES; i++) {
    bool equal = digests[i] == theirs->values[i];
    if (mt_inventory_has(&theirs->listed, i))
      mt_inventory_add(equal ? &part.equal : &left.ranges, i);
  }
  int sent = 0;
  for (; sent < MESSAGES_PER_REPLY_MAX; sent++) {
    part.listed = take_ranges(&left);
    if (is_empty(&part.listed) && is_empty(&part.equal)) break;
    send_part(x, peer->ip, &part);
    part.equal = (mt_inventory_ranges_t){{0}};
  }
  return sent > 0;
}

/* }== */

/* {== Comparing ======================================================== */

/* Applies a change that a comparison shows, unless a later one is known. */
static bool apply_change (mt_feed_exchange_t *x, mt_feed_t *feed,
                          mt_change_t *change) {
  mt_ms_t now = x->members->now;
  mt_ms_t since = feed->behind_since != 0 ? feed->behind_since : now;
  change->age = now - since;
  mt_change_result_t result = mt_change_log_add(&feed->log, change, now);
  if (result != MT_CHANGE_NEW && result != MT_CHANGE_TOO_OLD) return false;
  bool complete = x->callbacks.apply(x->callbacks.ud, change, since);
  mt_change_log_entry_t *entry = mt_change_log_find(&feed->log, change);
  if (entry != NULL) entry->complete = complete;
  return true;
}

/* Makes this router's items in the listed ranges agree with the part; returns
   the number of changes. */
static size_t apply_part (mt_feed_exchange_t *x,
                          const mt_peer_inventory_t *part) {
  mt_feed_t *feed = &x->feeds[part->feed];
  const mt_feed_inventory_callbacks_t *callbacks = &x->inventory_callbacks;
  mt_map_t present = {0};
  size_t changes = 0;
  for (size_t i = 0; i < part->count; i++)
    if (part->values[i] != 0) mtV_put(&present, part->values[i], feed);
  for (size_t i = 0; i < x->inventory.count; i++) {
    const mt_item_t *item = &x->inventory.items[i];
    mt_change_t change;
    size_t range = mt_inventory_range(item->id);
    if (!mt_inventory_has(&part->listed, range)) continue;
    if (feed->comparison.agreed[range] >= part->at) continue; /* it is late */
    mt_item_match_t match = mt_inventory_match(&present, item);
    if (callbacks->change(callbacks->ud, item, match, part, &change))
      changes += apply_change(x, feed, &change);
  }
  mtV_free(&present);
  return changes;
}

/* Records which ranges the part has settled. An equal one counts only if it
   is here still as it was when the digests were sent. */
static void record_agreed (mt_feed_t *feed, const mt_peer_inventory_t *part,
                           const uint64_t digests[MT_INVENTORY_RANGES]) {
  mt_feed_comparison_t *c = &feed->comparison;
  for (size_t i = 0; i < MT_INVENTORY_RANGES; i++) {
    bool equal = mt_inventory_has(&part->equal, i);
    if (equal && digests[i] != c->digests[i]) equal = false;
    if (equal || mt_inventory_has(&part->listed, i))
      c->agreed[i] = mt_max(c->agreed[i], part->at);
  }
}

/* The log does not cover revisions that a comparison has bridged: it lacks
   what was withdrawn there and was never in use here. */
static void complete_feed (mt_feed_t *feed) {
  mt_revision_t reach = known_of(feed, 0);
  for (size_t i = 1; i < MT_INVENTORY_RANGES; i++)
    reach = mt_min(reach, known_of(feed, i));
  if (reach <= feed->state.received) return;
  mt_feed_state_complete(&feed->state, reach);
  feed->log.dropped_to = mt_max(feed->log.dropped_to, reach);
}

void mt_inventory_exchange_receive (mt_feed_exchange_t *x, mt_peer_t *peer,
                                    const mt_peer_message_t *m) {
  const mt_peer_inventory_t *part = &m->inventory;
  mt_feed_t *feed = &x->feeds[part->feed];
  const mt_peer_span_t span = {feed->state.received, part->at};
  uint64_t digests[MT_INVENTORY_RANGES];
  if (x->inventory_callbacks.list == NULL || part->digest == 0 ||
      part->digest != feed->comparison.digest)
    return; /* not a reply to this router's last request */
  if (part->at <= feed->state.received) return;
  mt_inventory_digests(list_items(x, part->feed), digests);
  size_t changes = apply_part(x, part);
  record_agreed(feed, part, digests);
  complete_feed(feed);
  feed->got_gap = false;
  feed->retry_ms = NEXT_REQUEST_MS;
  peer->requested_at[part->feed] = 0; /* it may have the rest, too */
  if (x->callbacks.log_outcome != NULL)
    x->callbacks.log_outcome(x->callbacks.ud, peer->ip, part->feed, &span,
                             changes, MT_FEED_COMPARED);
}

/* }== */
