/*
** feed_exchange.c - gossip about changes at the configuration source
*/
#include <stdlib.h>
#include <string.h>

#include "feed_exchange.h"
#include "inventory_exchange.h"

/* A change arrives within a tick or two of the first header that shows it; an
   immediate request would be for changes that are on their way. */
#define REQUEST_DELAY_MS 60
#define REQUEST_INTERVAL_MS 150      /* between two requests */
#define REQUEST_INTERVAL_MAX_MS 1200 /* while no peer can close the gap */
/* For one gap, at the shorter interval. If so many peers of all domains could
   not close it, hardly any can. */
#define QUICK_REQUESTS_MAX 8
/* Being behind for this long, until inventories are compared though calls to
   the source do not fail. It leaves time for that before an engine that left
   must get no requests. */
#define COMPARE_DELAY_MS 1000
/* Sent after a read of the source; peers request what is left. */
#define MESSAGES_PER_READ_MAX 8

static void log_outcome (const mt_feed_exchange_t *x, uint32_t router,
                         mt_feed_kind_t kind, const mt_peer_span_t *span,
                         size_t changes, mt_feed_outcome_t outcome) {
  if (x->callbacks.log_outcome != NULL)
    x->callbacks.log_outcome(x->callbacks.ud, router, kind, span, changes,
                             outcome);
}

/* {== Known revisions ================================================== */

void mt_feed_exchange_write_header (const mt_feed_exchange_t *x,
                                    mt_peer_message_t *m) {
  for (int i = 0; i < MT_FEEDS; i++) {
    const mt_feed_state_t *feed = &x->feeds[i].state;
    if (feed->confirmed == 0) continue;
    m->feeds[i] = (mt_peer_feed_t){feed->newest, feed->at, feed->received,
                                   x->members->now - feed->confirmed};
  }
}

/* Peers that could not close an earlier gap may close this one. */
static void start_gap (mt_feed_t *feed, mt_ms_t now) {
  feed->gap_began = now;
  feed->gap_newest = feed->state.newest;
  feed->gap_requests = 0;
  feed->unheard_since = 0;
  feed->got_gap = false;
  feed->retry_ms = REQUEST_INTERVAL_MS;
}

/*
** True if the source was restored since the gap began, or a change since then
** has not come, though others know it: its message was lost. An earlier gap
** that no peer can close must not delay the requests for such a change.
*/
static bool is_another_gap (mt_feed_t *feed, mt_ms_t now) {
  mt_revision_t newest = feed->state.newest;
  if (mt_revision_era(newest) != mt_revision_era(feed->gap_newest))
    return true;
  if (newest <= mt_max(feed->gap_newest, feed->heard)) {
    feed->unheard_since = 0;
    return false;
  }
  if (feed->unheard_since == 0) feed->unheard_since = now;
  return now - feed->unheard_since >= REQUEST_DELAY_MS;
}

/* `since`: when some router knew the changes that may be missing here. */
static void update_behind_since (mt_feed_t *feed, mt_ms_t since,
                                 mt_ms_t now) {
  if (!mt_feed_state_is_behind(&feed->state)) {
    feed->behind_since = 0;
    feed->log_too_short = false;
    return;
  }
  bool is_new = feed->behind_since == 0;
  if (is_new) feed->behind_since = since;
  if (is_new || is_another_gap(feed, now)) start_gap(feed, now);
}

void mt_feed_exchange_receive_header (mt_feed_exchange_t *x, mt_peer_t *peer,
                                      const mt_peer_message_t *m) {
  mt_ms_t now = x->members->now;
  for (int i = 0; i < MT_FEEDS; i++) {
    const mt_peer_feed_t *known = &m->feeds[i];
    if (known->at == MT_REVISION_NONE || known->age > now) continue;
    peer->received[i] = known->received;
    mt_feed_state_merge(&x->feeds[i].state, known->newest, known->at,
                        now - known->age);
    update_behind_since(&x->feeds[i], now - known->age, now);
  }
}

mt_ms_t mt_feed_exchange_behind_since (const mt_feed_exchange_t *x,
                                       mt_feed_kind_t kind) {
  return x->feeds[kind].behind_since;
}

/* }== */

/* {== Sending ========================================================== */

/* The live routers of this failure domain. */
static size_t list_local (const mt_membership_t *members, uint32_t *to,
                          size_t max) {
  size_t count = 0;
  for (size_t i = 0; i < members->count && count < max; i++) {
    const mt_peer_t *peer = members->list[i];
    if (!mt_membership_is_local(members, peer)) continue;
    if (mt_membership_is_live(members, peer)) to[count++] = peer->ip;
  }
  return count;
}

/*
** One live router of every other failure domain, by a hash of sender and
** receiver, so that senders choose different ones: a domain whose own
** watchers cannot reach the source depends on these messages.
*/
static size_t list_remote (const mt_membership_t *members, uint32_t *to,
                           size_t max) {
  const mt_peer_t *chosen[MT_MEMBERSHIP_DOMAINS];
  size_t count = 0;
  max = mt_min(max, mt_countof(chosen));
  for (size_t i = 0; i < members->count; i++) {
    const mt_peer_t *peer = members->list[i];
    size_t at = 0;
    if (peer->domain == 0 || mt_membership_is_local(members, peer)) continue;
    if (!mt_membership_is_live(members, peer)) continue;
    while (at < count && chosen[at]->domain != peer->domain) at++;
    if (at == count && count < max) chosen[count++] = peer;
    if (at < count && mtV_mix(peer->ip, members->own_ip) >
                          mtV_mix(chosen[at]->ip, members->own_ip))
      chosen[at] = peer;
  }
  for (size_t i = 0; i < count; i++) to[i] = chosen[i]->ip;
  return count;
}

/* How many of the changes in the message fit into a datagram. */
static size_t count_fitting (const mt_peer_message_t *m) {
  size_t bytes = 0;
  for (size_t i = 0; i < m->changes_count; i++) {
    bytes += mt_peer_change_size(&m->changes[i]);
    if (bytes > MT_PEER_CHANGES_BYTES) return i;
  }
  return m->changes_count;
}

static void add_changes (mt_feed_exchange_t *x, mt_peer_message_t *m,
                         mt_feed_kind_t kind, mt_revision_t rev,
                         bool omit_new, size_t max, mt_revision_t *reach) {
  m->changes_count +=
      mt_change_log_since(&x->feeds[kind].log, rev, x->members->now, omit_new,
                          m->changes + m->changes_count, max, reach);
}

/* Adds as many changes after `rev` as fit; returns the revision up to which
   they are complete, `reach` if all fit. */
static mt_revision_t add_fitting (mt_feed_exchange_t *x, mt_peer_message_t *m,
                                  mt_feed_kind_t kind, mt_revision_t rev,
                                  mt_revision_t reach, bool omit_new) {
  size_t before = m->changes_count;
  mt_revision_t end = reach;
  add_changes(x, m, kind, rev, omit_new, MT_PEER_CHANGES_MAX - before, &end);
  size_t max = count_fitting(m) - before;
  if (before + max == m->changes_count) return end;
  m->changes_count = before;
  end = reach;
  add_changes(x, m, kind, rev, omit_new, max, &end);
  return end;
}

/*
** Adds the known changes of a feed after `rev`; false if some did not fit. If
** there are more than a message holds, new engines are not named: receivers
** have to read them at the source in any case.
** The span does not cover revisions whose changes the log may have dropped.
*/
static bool pack_since (mt_feed_exchange_t *x, mt_peer_message_t *m,
                        mt_feed_kind_t kind, mt_revision_t rev,
                        mt_revision_t reach) {
  size_t before = m->changes_count;
  mt_revision_t end = add_fitting(x, m, kind, rev, reach, false);
  if (end < reach && m->changes_count > before) {
    m->changes_count = before;
    end = add_fitting(x, m, kind, rev, reach, true);
  }
  m->spans[kind] =
      (mt_peer_span_t){mt_max(rev, x->feeds[kind].log.dropped_to), end};
  return end == reach;
}

/* Sends the changes of a feed after `base` up to `reach` to some routers. */
static void send_changes (mt_feed_exchange_t *x, mt_feed_kind_t kind,
                          mt_revision_t base, mt_revision_t reach,
                          const uint32_t *to, size_t count) {
  bool all = false;
  for (int i = 0; i < MESSAGES_PER_READ_MAX && !all && count > 0; i++) {
    mt_peer_message_t *m =
        x->callbacks.begin(x->callbacks.ud, MT_PEER_CHANGES);
    all = pack_since(x, m, kind, base, reach);
    log_outcome(x, x->members->own_ip, kind, &m->spans[kind],
                m->changes_count, MT_FEED_SENT);
    x->callbacks.send(x->callbacks.ud, to, count);
    if (m->spans[kind].reach <= base) return;
    base = m->spans[kind].reach;
  }
}

/*
** Ready engines of this router's first list are known to the others and would
** only fill the log. Withdrawals are kept for routers that missed them.
*/
static bool should_keep (const mt_feed_t *feed, const mt_change_t *change) {
  if (feed->state.received == MT_REVISION_NONE)
    return change->kind != MT_CHANGE_ENGINE_READY;
  return change->rev > feed->state.received;
}

bool mt_feed_exchange_add_change (mt_feed_exchange_t *x,
                                  const mt_change_t *change) {
  mt_feed_t *feed = &x->feeds[mt_change_feed(change->kind)];
  if (should_keep(feed, change) &&
      mt_change_log_add(&feed->log, change, x->members->now) == MT_CHANGE_NEW)
    feed->unannounced = true;
  mt_change_log_entry_t *entry = mt_change_log_find(&feed->log, change);
  if (entry == NULL) return true;
  entry->complete = entry->complete || entry->change.rev == change->rev;
  return entry->change.rev <= change->rev;
}

void mt_feed_exchange_resize_log (mt_feed_exchange_t *x, size_t engines) {
  mt_change_log_resize(&x->feeds[MT_FEED_ENGINES].log, engines);
}

/* True for an engine's change up to `rev` if the engine is not in `seen` and
   not known to be gone. */
static bool is_unlisted (const mt_change_t *change, const mt_map_t *seen,
                         mt_revision_t rev) {
  if (change == NULL || change->rev > rev) return false;
  if (mt_change_subject(change->kind) != MT_SUBJECT_ENGINE) return false;
  if (change->kind == MT_CHANGE_ENGINE_GONE) return false;
  if (strcmp(change->name, MT_CHANGE_UNNAMED) == 0) return false;
  uint64_t key = mt_engine_key(change->name, strlen(change->name));
  return mtV_get(seen, key) == NULL;
}

void mt_feed_exchange_remove_unlisted (mt_feed_exchange_t *x,
                                       const mt_map_t *seen,
                                       mt_revision_t rev) {
  mt_feed_t *feed = &x->feeds[MT_FEED_ENGINES];
  for (size_t i = 0; i < feed->log.slots; i++) {
    const mt_change_t *change = mt_change_log_slot(&feed->log, i);
    if (!is_unlisted(change, seen, rev)) continue;
    mt_change_t gone =
        mt_change_make(MT_CHANGE_ENGINE_GONE, change->name, rev);
    gone.age =
        feed->behind_since != 0 ? x->members->now - feed->behind_since : 0;
    mt_change_log_add(&feed->log, &gone, x->members->now);
    feed->unannounced = true;
  }
}

/*
** A list shows what exists and not what was deleted. So the log does not
** cover revisions up to the list's: peers would take its changes for complete
** and miss the removal of an engine that was deleted in between.
*/
static void mark_history_unknown (mt_feed_t *feed, mt_revision_t at) {
  feed->log.dropped_to = mt_max(feed->log.dropped_to, at);
}

void mt_feed_exchange_source_read (mt_feed_exchange_t *x, mt_feed_kind_t kind,
                                   mt_revision_t newest, mt_revision_t at,
                                   mt_feed_reading_t reading) {
  mt_feed_t *feed = &x->feeds[kind];
  uint32_t to[MT_PEER_MEMBERS_MAX];
  mt_ms_t now = reading == MT_FEED_STALE_LISTING ? 0 : x->members->now;
  mt_feed_update_t update =
      mt_feed_state_read(&feed->state, newest, at, now, feed->unannounced);
  feed->unannounced = false;
  if (reading != MT_FEED_CHANGES) mark_history_unknown(feed, at);
  if (!update.due) return;
  size_t count = list_local(x->members, to, mt_countof(to));
  count += list_remote(x->members, to + count, mt_countof(to) - count);
  send_changes(x, kind, update.base, update.reach, to, count);
}

/* }== */

/* {== Receiving ======================================================== */

/*
** Applies the received changes of one feed. They can be applied in any order:
** a withdrawal holds even if changes before it are missing. Sets `all` to
** false if some must be read at the source. True if some are to be forwarded.
** A change as old as those that the log has dropped is not forwarded: it may
** have been before, and would be again each time it comes.
*/
static bool merge_changes (mt_feed_exchange_t *x, mt_feed_kind_t kind,
                           const mt_peer_message_t *m, bool *all) {
  mt_feed_t *feed = &x->feeds[kind];
  mt_ms_t now = x->members->now;
  bool has_new = false;
  for (size_t i = 0; i < m->changes_count; i++) {
    const mt_change_t *change = &m->changes[i];
    if (mt_change_feed(change->kind) != kind) continue;
    if (change->rev <= feed->state.received) continue;
    mt_change_result_t result = mt_change_log_add(&feed->log, change, now);
    mt_change_log_entry_t *entry = mt_change_log_find(&feed->log, change);
    mt_ms_t since = change->age < now ? now - change->age : 1;
    bool complete = entry == NULL || entry->complete;
    if (result == MT_CHANGE_NEW || result == MT_CHANGE_TOO_OLD)
      complete = x->callbacks.apply(x->callbacks.ud, change, since);
    if (entry != NULL) entry->complete = complete;
    *all = *all && complete;
    has_new = has_new || result == MT_CHANGE_NEW;
  }
  return has_new;
}

/* Forwards a span from another failure domain, unchanged, to the routers of
   this one. */
static void forward_changes (mt_feed_exchange_t *x, mt_feed_kind_t kind,
                             const mt_peer_message_t *m) {
  uint32_t to[MT_PEER_MEMBERS_MAX];
  size_t count = list_local(x->members, to, mt_countof(to));
  mt_peer_message_t *out =
      x->callbacks.begin(x->callbacks.ud, MT_PEER_CHANGES);
  out->spans[kind] = m->spans[kind];
  for (size_t i = 0; i < m->changes_count; i++)
    if (mt_change_feed(m->changes[i].kind) == kind)
      out->changes[out->changes_count++] = m->changes[i];
  x->callbacks.send(x->callbacks.ud, to, count);
  log_outcome(x, x->members->own_ip, kind, &out->spans[kind],
              out->changes_count, MT_FEED_SENT);
}

/* True if the peer was requested to close the present gap. */
static bool was_requested (const mt_feed_exchange_t *x, mt_feed_kind_t kind,
                           const mt_peer_t *peer) {
  return peer->requested_at[kind] != 0 &&
         peer->requested_at[kind] >= x->feeds[kind].gap_began;
}

/* True if a comparison of inventories is due. A router that reaches the
   source reads it instead, unless its call stays without an answer. */
static bool should_compare (const mt_feed_exchange_t *x,
                            const mt_feed_t *feed) {
  mt_ms_t behind = x->members->now - feed->behind_since;
  return feed->log_too_short &&
         (!x->members->own_reaches_source || behind >= COMPARE_DELAY_MS);
}

/* A span did not close the gap. If it was requested, the peer's log does not
   reach back far enough. */
static void note_gap (mt_feed_exchange_t *x, mt_feed_kind_t kind,
                      const mt_peer_t *peer) {
  mt_feed_t *feed = &x->feeds[kind];
  feed->got_gap = true;
  if (feed->log_too_short || !was_requested(x, kind, peer)) return;
  feed->log_too_short = true;
  if (should_compare(x, feed)) feed->requested_at = 0; /* request it now */
}

/* True if changes are missing and the span reaches no further than its base:
   the next ones are of one revision, and more than a message holds. */
static bool is_stuck (const mt_feed_state_t *feed,
                      const mt_peer_span_t *span) {
  return span->reach <= span->base && mt_feed_state_is_behind(feed);
}

static void receive_span (mt_feed_exchange_t *x, mt_peer_t *peer,
                          mt_feed_kind_t kind, const mt_peer_message_t *m) {
  mt_feed_state_t *feed = &x->feeds[kind].state;
  const mt_peer_span_t *span = &m->spans[kind];
  /* Declarations must always be read at the source. */
  bool all = kind == MT_FEED_ENGINES;
  if (span->reach == 0) return;
  x->feeds[kind].heard = mt_max(x->feeds[kind].heard, span->reach);
  mt_feed_outcome_t outcome =
      mt_feed_state_classify(feed, span->base, span->reach);
  bool has_new = merge_changes(x, kind, m, &all);
  log_outcome(x, peer->ip, kind, span, m->changes_count, outcome);
  if (outcome == MT_FEED_APPLIED) {
    mt_feed_state_apply(feed, span->base, span->reach, all);
    peer->requested_at[kind] = 0; /* it may have the rest, too */
  }
  if (outcome == MT_FEED_GAP || is_stuck(feed, span)) note_gap(x, kind, peer);
  if (has_new && !mt_membership_is_local(x->members, peer))
    forward_changes(x, kind, m);
}

void mt_feed_exchange_receive_changes (mt_feed_exchange_t *x, mt_peer_t *peer,
                                       const mt_peer_message_t *m) {
  for (int i = 0; i < MT_FEEDS; i++)
    receive_span(x, peer, (mt_feed_kind_t)i, m);
  if (m->inventory.present) mt_inventory_exchange_receive(x, peer, m);
}

/* }== */

/* {== Requesting missing changes ======================================= */

void mt_feed_exchange_receive_request (mt_feed_exchange_t *x,
                                       const mt_peer_t *peer,
                                       const mt_peer_message_t *request) {
  bool compared = request->inventory.present &&
                  mt_inventory_exchange_answer(x, peer, request);
  mt_peer_message_t *m = x->callbacks.begin(x->callbacks.ud, MT_PEER_CHANGES);
  bool has_changes = false;
  for (int i = 0; i < MT_FEEDS; i++) {
    mt_revision_t ours = x->feeds[i].state.received,
                  theirs = request->feeds[i].received;
    if (theirs == MT_REVISION_NONE || theirs >= ours) continue;
    if (compared &&
        mt_inventory_exchange_continues(request, (mt_feed_kind_t)i))
      continue;
    pack_since(x, m, (mt_feed_kind_t)i, theirs, ours);
    has_changes = true;
  }
  if (has_changes) x->callbacks.send(x->callbacks.ud, &peer->ip, 1);
}

/*
** Peers that know more go first, then those not requested yet, then, for the
** first request, those of this failure domain, then in an order that differs
** with each request. Neither a peer that has listed the source lately can
** close the gap nor one that has ended, and a whole domain may be like that.
*/
static uint64_t request_priority (const mt_feed_exchange_t *x,
                                  mt_feed_kind_t kind,
                                  const mt_peer_t *peer) {
  const mt_feed_t *feed = &x->feeds[kind];
  uint64_t order = mtV_mix(peer->ip, feed->requests) >> 3;
  bool more = peer->received[kind] > feed->state.received;
  bool fresh = !was_requested(x, kind, peer);
  bool local =
      feed->gap_requests == 0 && mt_membership_is_local(x->members, peer);
  return (uint64_t)more << 63 | (uint64_t)fresh << 62 |
         (uint64_t)local << 61 | order;
}

static mt_peer_t *choose_peer (const mt_feed_exchange_t *x,
                               mt_feed_kind_t kind) {
  const mt_membership_t *members = x->members;
  mt_peer_t *best = NULL;
  for (size_t i = 0; i < members->count; i++) {
    mt_peer_t *peer = members->list[i];
    if (!mt_membership_is_live(members, peer)) continue;
    if (best == NULL ||
        request_priority(x, kind, peer) > request_priority(x, kind, best))
      best = peer;
  }
  return best;
}

/* True if the next request is more likely to close the gap than the ones
   before were. */
static bool may_close_gap (const mt_feed_exchange_t *x, mt_feed_kind_t kind,
                           const mt_peer_t *peer) {
  const mt_feed_t *feed = &x->feeds[kind];
  return feed->gap_requests < QUICK_REQUESTS_MAX &&
         peer->received[kind] > feed->state.received &&
         !was_requested(x, kind, peer);
}

/*
** A router that the source rejects depends on its peers. If it lost a
** datagram and did not request the changes, it would send work to draining
** engines until its next list.
*/
static void request_changes (mt_feed_exchange_t *x, mt_feed_kind_t kind) {
  mt_feed_t *feed = &x->feeds[kind];
  const mt_peer_span_t span = {feed->state.received, feed->state.newest};
  mt_peer_t *peer = choose_peer(x, kind);
  if (peer == NULL) return;
  mt_ms_t longer =
      mt_min(feed->retry_ms * 2, (mt_ms_t)REQUEST_INTERVAL_MAX_MS);
  feed->retry_ms = REQUEST_INTERVAL_MS;
  if (feed->got_gap && !may_close_gap(x, kind, peer))
    feed->retry_ms = mt_max(longer, (mt_ms_t)REQUEST_INTERVAL_MS);
  feed->got_gap = false;
  feed->requested_at = x->members->now;
  peer->requested_at[kind] = x->members->now;
  feed->requests++;
  feed->gap_requests++;
  mt_peer_message_t *m =
      x->callbacks.begin(x->callbacks.ud, MT_PEER_CHANGES_REQUEST);
  if (should_compare(x, feed)) mt_inventory_exchange_request(x, kind, m);
  x->callbacks.send(x->callbacks.ud, &peer->ip, 1);
  log_outcome(x, peer->ip, kind, &span, 0, MT_FEED_REQUESTED);
}

void mt_feed_exchange_tick (mt_feed_exchange_t *x) {
  mt_ms_t now = x->members->now;
  for (int i = 0; i < MT_FEEDS; i++) {
    mt_feed_t *feed = &x->feeds[i];
    update_behind_since(feed, now, now);
    if (feed->behind_since == 0 ||
        now - feed->behind_since < REQUEST_DELAY_MS)
      continue;
    if (now - feed->requested_at >= feed->retry_ms)
      request_changes(x, (mt_feed_kind_t)i);
  }
}

/* }== */

void mt_feed_exchange_open (mt_feed_exchange_t *x, mt_membership_t *members,
                            const mt_feed_exchange_callbacks_t *callbacks) {
  *x = (mt_feed_exchange_t){.members = members, .callbacks = *callbacks};
  for (int i = 0; i < MT_FEEDS; i++) {
    mt_feed_t *feed = &x->feeds[i];
    feed->state = MT_FEED_STATE_UNREAD;
    for (size_t k = 0; k < MT_INVENTORY_RANGES; k++)
      feed->comparison.agreed[k] = MT_REVISION_NONE;
  }
}

void mt_feed_exchange_set_inventory (
    mt_feed_exchange_t *x, const mt_feed_inventory_callbacks_t *callbacks) {
  x->inventory_callbacks = *callbacks;
}

void mt_feed_exchange_free (mt_feed_exchange_t *x) {
  free(x->inventory.items);
  for (int i = 0; i < MT_FEEDS; i++) mt_change_log_free(&x->feeds[i].log);
}
