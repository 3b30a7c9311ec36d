/*
** feed_exchange.c - how changes at the source go round among routers
*/
#include <string.h>

#include "feed_exchange.h"

/* News of a change come within a turn or two of word that there is one; who
   asked at once would ask for what is on its way. */
#define LACK_WAIT_MS 60
#define LACK_REPEAT_MS 150      /* between questions for what is lacking */
#define LACK_REPEAT_MAX_MS 1200 /* where nobody can tell all of it */
#define NEWS_MOST 8 /* messages for one read; the rest is asked for */

static void note (const mt_feed_exchange_t *x, uint32_t router,
                  mt_feed_kind_t kind, const mt_peer_span_t *span,
                  size_t changes, mt_feed_outcome_t outcome) {
  if (x->calls.note != NULL)
    x->calls.note(x->calls.ud, router, kind, span, changes, outcome);
}

/* {== How far feeds are known ========================================== */

void mt_feed_exchange_header (const mt_feed_exchange_t *x,
                              mt_peer_message_t *m) {
  for (int i = 0; i < MT_FEEDS; i++) {
    const mt_feed_state_t *feed = &x->feeds[i].state;
    if (feed->confirmed == 0) continue;
    m->feeds[i] = (mt_peer_feed_t){feed->newest, feed->at, feed->told,
                                   x->members->now - feed->confirmed};
  }
}

/* `since`: somebody knew then what is lacking here. */
static void note_lacking (mt_feed_t *feed, mt_ms_t since) {
  if (!mt_feed_state_lacks(&feed->state))
    feed->lacking = 0;
  else if (feed->lacking == 0)
    feed->lacking = since;
}

void mt_feed_exchange_heard (mt_feed_exchange_t *x, mt_peer_t *peer,
                             const mt_peer_message_t *m) {
  mt_ms_t now = x->members->now;
  for (int i = 0; i < MT_FEEDS; i++) {
    const mt_peer_feed_t *told = &m->feeds[i];
    if (told->at == 0 || told->age > now) continue;
    peer->told[i] = told->told;
    mt_feed_state_heard(&x->feeds[i].state, told->newest, told->at,
                        now - told->age);
    note_lacking(&x->feeds[i], now - told->age);
  }
}

mt_ms_t mt_feed_exchange_lacking (const mt_feed_exchange_t *x,
                                  mt_feed_kind_t kind) {
  return x->feeds[kind].lacking;
}

/* }== */

/* {== Telling ========================================================== */

/* The routers of the own failure domain. */
static size_t list_near (const mt_membership_t *members, uint32_t *to,
                         size_t most) {
  size_t count = 0;
  for (size_t i = 0; i < members->count && count < most; i++) {
    const mt_peer_t *peer = members->list[i];
    if (!mt_membership_is_near(members, peer)) continue;
    if (mt_membership_is_live(members, peer)) to[count++] = peer->ip;
  }
  return count;
}

/*
** One router of each other failure domain, another one for each sender: a
** domain whose own watchers get no answers from the source depends on these.
*/
static size_t list_far (const mt_membership_t *members, uint32_t *to,
                        size_t most) {
  const mt_peer_t *chosen[MT_MEMBERSHIP_DOMAINS];
  size_t count = 0;
  most = mt_min(most, mt_countof(chosen));
  for (size_t i = 0; i < members->count; i++) {
    const mt_peer_t *peer = members->list[i];
    size_t at = 0;
    if (peer->domain == 0 || mt_membership_is_near(members, peer)) continue;
    if (!mt_membership_is_live(members, peer)) continue;
    while (at < count && chosen[at]->domain != peer->domain) at++;
    if (at == count && count < most) chosen[count++] = peer;
    if (at < count && mtV_mix(peer->ip, members->own_ip) >
                          mtV_mix(chosen[at]->ip, members->own_ip))
      chosen[at] = peer;
  }
  for (size_t i = 0; i < count; i++) to[i] = chosen[i]->ip;
  return count;
}

/* How many of a message's changes it can hold. */
static size_t fitting (const mt_peer_message_t *m) {
  size_t bytes = 0;
  for (size_t i = 0; i < m->changes_count; i++) {
    bytes += mt_peer_change_size(&m->changes[i]);
    if (bytes > MT_PEER_CHANGES_BYTES) return i;
  }
  return m->changes_count;
}

static void add_changes (mt_feed_exchange_t *x, mt_peer_message_t *m,
                         mt_feed_kind_t kind, mt_revision_t rev, bool brief,
                         size_t most, mt_revision_t *reach) {
  m->changes_count +=
      mt_change_log_since(&x->feeds[kind].log, rev, x->members->now, brief,
                          m->changes + m->changes_count, most, reach);
}

/* Adds as much as fits; how far that reaches. */
static mt_revision_t add_fitting (mt_feed_exchange_t *x, mt_peer_message_t *m,
                                  mt_feed_kind_t kind, mt_revision_t rev,
                                  mt_revision_t reach, bool brief) {
  size_t before = m->changes_count;
  mt_revision_t end = reach;
  add_changes(x, m, kind, rev, brief, MT_PEER_CHANGES_MAX - before, &end);
  size_t most = fitting(m) - before;
  if (before + most == m->changes_count) return end;
  m->changes_count = before;
  end = reach;
  add_changes(x, m, kind, rev, brief, most, &end);
  return end;
}

/*
** Adds what is known of a feed behind a revision; false when some is left. Of
** more than a message holds, engines that have come are not named: who hears
** of them has to read them at the source all the same.
** What may have been dropped from the log is not vouched for by the span.
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
      (mt_peer_span_t){mt_max(rev, x->feeds[kind].log.from), end};
  return end == reach;
}

/* Tells routers what is known of a feed behind `base` up to `reach`. */
static void tell (mt_feed_exchange_t *x, mt_feed_kind_t kind,
                  mt_revision_t base, mt_revision_t reach, const uint32_t *to,
                  size_t count) {
  bool all = false;
  for (int i = 0; i < NEWS_MOST && !all && count > 0; i++) {
    mt_peer_message_t *m = x->calls.begin(x->calls.ud, MT_PEER_NEWS);
    all = pack_since(x, m, kind, base, reach);
    note(x, x->members->own_ip, kind, &m->spans[kind], m->changes_count,
         MT_FEED_TOLD);
    x->calls.send(x->calls.ud, to, count);
    if (m->spans[kind].reach <= base) return;
    base = m->spans[kind].reach;
  }
}

/*
** Of the first list most is known to all and would fill the log. What ends is
** kept, for those that did not hear it.
*/
static bool is_worth_keeping (const mt_feed_t *feed,
                              const mt_change_t *change) {
  if (feed->state.told == 0) return change->kind != MT_CHANGE_ENGINE_READY;
  return change->rev > feed->state.told;
}

bool mt_feed_exchange_changed (mt_feed_exchange_t *x,
                               const mt_change_t *change) {
  mt_feed_t *feed = &x->feeds[mt_change_feed(change->kind)];
  if (is_worth_keeping(feed, change) &&
      mt_change_log_add(&feed->log, change, x->members->now) == MT_CHANGE_NEW)
    feed->fresh = true;
  mt_change_log_item_t *item = mt_change_log_find(&feed->log, change);
  if (item == NULL) return true;
  item->whole = item->whole || item->change.rev == change->rev;
  return item->change.rev <= change->rev;
}

void mt_feed_exchange_expect (mt_feed_exchange_t *x, size_t engines) {
  mt_change_log_expect(&x->feeds[MT_FEED_ENGINES].log, engines);
}

/* True for one that was told of, is not among `seen` and not known to be
   gone. */
static bool is_unseen (const mt_change_t *change, const mt_map_t *seen,
                       mt_revision_t rev) {
  if (change == NULL || change->rev > rev) return false;
  if (mt_change_subject(change->kind) != MT_SUBJECT_ENGINE) return false;
  if (change->kind == MT_CHANGE_ENGINE_GONE) return false;
  if (strcmp(change->name, MT_CHANGE_SEVERAL) == 0) return false;
  uint64_t key = mt_engine_key(change->name, strlen(change->name));
  return mtV_get(seen, key) == NULL;
}

void mt_feed_exchange_listed (mt_feed_exchange_t *x, const mt_map_t *seen,
                              mt_revision_t rev) {
  mt_feed_t *feed = &x->feeds[MT_FEED_ENGINES];
  for (size_t i = 0; i < feed->log.slots; i++) {
    const mt_change_t *change = mt_change_log_at(&feed->log, i);
    if (!is_unseen(change, seen, rev)) continue;
    mt_change_t gone =
        mt_change_named(MT_CHANGE_ENGINE_GONE, change->name, rev);
    gone.age = feed->lacking != 0 ? x->members->now - feed->lacking : 0;
    mt_change_log_add(&feed->log, &gone, x->members->now);
    feed->fresh = true;
  }
}

/*
** A list shows what exists and not what was deleted, so its reader vouches
** for nothing before it: neighbours would skip the removal of an engine that
** was deleted in between.
*/
static void begin_log (mt_feed_t *feed, mt_revision_t at) {
  feed->log.from = mt_max(feed->log.from, at);
}

void mt_feed_exchange_read (mt_feed_exchange_t *x, mt_feed_kind_t kind,
                            mt_revision_t newest, mt_revision_t at,
                            mt_feed_reading_t reading) {
  mt_feed_t *feed = &x->feeds[kind];
  uint32_t to[MT_PEER_MEMBERS_MAX];
  mt_ms_t now = reading == MT_FEED_PAST ? 0 : x->members->now;
  mt_feed_news_t news =
      mt_feed_state_read(&feed->state, newest, at, now, feed->fresh);
  feed->fresh = false;
  if (reading != MT_FEED_CHANGES) begin_log(feed, at);
  if (!news.due) return;
  size_t count = list_near(x->members, to, mt_countof(to));
  count += list_far(x->members, to + count, mt_countof(to) - count);
  tell(x, kind, news.base, news.reach, to, count);
}

/* }== */

/* {== Taking =========================================================== */

/*
** Takes the changes of one feed. They are of use in whatever order they come:
** what leaves has left, also if something before it is not known here. `all`
** is set to false where only the source may tell some of it. True when some
** are to be passed on. Of those as old as what the log dropped none is: it
** may have been passed on before, again and again.
*/
static bool take_changes (mt_feed_exchange_t *x, mt_feed_kind_t kind,
                          const mt_peer_message_t *m, bool *all) {
  mt_feed_t *feed = &x->feeds[kind];
  mt_ms_t now = x->members->now;
  bool fresh = false;
  for (size_t i = 0; i < m->changes_count; i++) {
    const mt_change_t *change = &m->changes[i];
    if (mt_change_feed(change->kind) != kind) continue;
    if (change->rev <= feed->state.told) continue;
    mt_change_news_t news = mt_change_log_add(&feed->log, change, now);
    mt_change_log_item_t *item = mt_change_log_find(&feed->log, change);
    mt_ms_t since = change->age < now ? now - change->age : 1;
    bool whole = item == NULL || item->whole;
    if (news == MT_CHANGE_NEW || news == MT_CHANGE_OLD)
      whole = x->calls.apply(x->calls.ud, change, since);
    if (item != NULL) item->whole = whole;
    *all = *all && whole;
    fresh = fresh || news == MT_CHANGE_NEW;
  }
  return fresh;
}

/* Tells the own failure domain what came from another, as it came. */
static void pass_on (mt_feed_exchange_t *x, mt_feed_kind_t kind,
                     const mt_peer_message_t *m) {
  uint32_t to[MT_PEER_MEMBERS_MAX];
  size_t count = list_near(x->members, to, mt_countof(to));
  mt_peer_message_t *out = x->calls.begin(x->calls.ud, MT_PEER_NEWS);
  out->spans[kind] = m->spans[kind];
  for (size_t i = 0; i < m->changes_count; i++)
    if (mt_change_feed(m->changes[i].kind) == kind)
      out->changes[out->changes_count++] = m->changes[i];
  x->calls.send(x->calls.ud, to, count);
  note(x, x->members->own_ip, kind, &out->spans[kind], out->changes_count,
       MT_FEED_TOLD);
}

static void take_span (mt_feed_exchange_t *x, const mt_peer_t *peer,
                       mt_feed_kind_t kind, const mt_peer_message_t *m) {
  mt_feed_state_t *feed = &x->feeds[kind].state;
  const mt_peer_span_t *span = &m->spans[kind];
  bool all = kind == MT_FEED_ENGINES; /* declarations are read all the same */
  if (span->reach == 0) return;
  mt_feed_outcome_t outcome =
      mt_feed_state_judge(feed, span->base, span->reach);
  bool fresh = take_changes(x, kind, m, &all);
  note(x, peer->ip, kind, span, m->changes_count, outcome);
  if (outcome == MT_FEED_GAP) x->feeds[kind].in_vain = true;
  if (outcome == MT_FEED_TAKEN)
    mt_feed_state_took(feed, span->base, span->reach, all);
  if (fresh && !mt_membership_is_near(x->members, peer)) pass_on(x, kind, m);
}

void mt_feed_exchange_news (mt_feed_exchange_t *x, const mt_peer_t *peer,
                            const mt_peer_message_t *m) {
  for (int i = 0; i < MT_FEEDS; i++) take_span(x, peer, (mt_feed_kind_t)i, m);
}

/* }== */

/* {== Asking for what is lacking ======================================= */

void mt_feed_exchange_lack (mt_feed_exchange_t *x, const mt_peer_t *peer,
                            const mt_peer_message_t *lack) {
  mt_peer_message_t *m = x->calls.begin(x->calls.ud, MT_PEER_NEWS);
  bool some = false;
  for (int i = 0; i < MT_FEEDS; i++) {
    mt_revision_t told = x->feeds[i].state.told, theirs = lack->feeds[i].told;
    if (theirs == 0 || theirs >= told) continue;
    pack_since(x, m, (mt_feed_kind_t)i, theirs, told);
    some = true;
  }
  if (some) x->calls.send(x->calls.ud, &peer->ip, 1);
}

/* Who to ask goes first: who was told more, who is near, then in turn. */
static uint64_t worth_asking (const mt_feed_exchange_t *x,
                              mt_feed_kind_t kind, const mt_peer_t *peer) {
  const mt_feed_t *feed = &x->feeds[kind];
  uint64_t turn = mtV_mix(peer->ip, feed->asks) >> 2;
  bool more = peer->told[kind] > feed->state.told;
  bool near = mt_membership_is_near(x->members, peer);
  return (uint64_t)more << 63 | (uint64_t)near << 62 | turn;
}

static const mt_peer_t *choose (const mt_feed_exchange_t *x,
                                mt_feed_kind_t kind) {
  const mt_membership_t *members = x->members;
  const mt_peer_t *best = NULL;
  for (size_t i = 0; i < members->count; i++) {
    const mt_peer_t *peer = members->list[i];
    if (!mt_membership_is_live(members, peer)) continue;
    if (best == NULL ||
        worth_asking(x, kind, peer) > worth_asking(x, kind, best))
      best = peer;
  }
  return best;
}

/*
** A router that the source rejects depends on its neighbours. Without asking,
** one that missed a datagram would send requests to draining engines until
*its
** next list.
*/
static void ask (mt_feed_exchange_t *x, mt_feed_kind_t kind) {
  mt_feed_t *feed = &x->feeds[kind];
  const mt_peer_span_t span = {feed->state.told, feed->state.newest};
  const mt_peer_t *peer = choose(x, kind);
  if (peer == NULL) return;
  mt_ms_t longer = mt_min(feed->pause * 2, (mt_ms_t)LACK_REPEAT_MAX_MS);
  feed->pause = LACK_REPEAT_MS;
  if (feed->in_vain) feed->pause = mt_max(longer, (mt_ms_t)LACK_REPEAT_MS);
  feed->in_vain = false;
  feed->asked = x->members->now;
  feed->asks++;
  x->calls.begin(x->calls.ud, MT_PEER_LACK);
  x->calls.send(x->calls.ud, &peer->ip, 1);
  note(x, peer->ip, kind, &span, 0, MT_FEED_ASKED);
}

void mt_feed_exchange_tick (mt_feed_exchange_t *x) {
  mt_ms_t now = x->members->now;
  for (int i = 0; i < MT_FEEDS; i++) {
    mt_feed_t *feed = &x->feeds[i];
    note_lacking(feed, now);
    if (feed->lacking == 0 || now - feed->lacking < LACK_WAIT_MS) continue;
    if (now - feed->asked >= feed->pause) ask(x, (mt_feed_kind_t)i);
  }
}

/* }== */

void mt_feed_exchange_open (mt_feed_exchange_t *x, mt_membership_t *members,
                            const mt_feed_exchange_calls_t *calls) {
  *x = (mt_feed_exchange_t){.members = members, .calls = *calls};
}

void mt_feed_exchange_free (mt_feed_exchange_t *x) {
  for (int i = 0; i < MT_FEEDS; i++) mt_change_log_free(&x->feeds[i].log);
}
