/*
** suspect_exchange.c - how routers tell each other of suspects
*/
#include "suspect_exchange.h"

#define FANOUT 5     /* routers that something newer is passed on to */
#define TELL_MS 250  /* between tellings of everything */
#define EVERYWHERE 0 /* a request's owner may be of any failure domain */

static void note (const mt_suspect_exchange_t *x, uint64_t digest,
                  uint32_t router, const char *why) {
  const mt_suspect_t *s = mt_suspects_get(x->suspects, digest);
  if (s != NULL) x->calls.note(x->calls.ud, s, router, why);
}

/* {== Telling ========================================================== */

/* The owner may know less of it than who asks: it may have just started. */
static void add_row (mt_suspect_exchange_t *x, mt_peer_message_t *m,
                     uint64_t digest) {
  const mt_suspect_t *s = mt_suspects_get(x->suspects, digest);
  if (s != NULL)
    m->suspects[m->suspects_count++] = mt_suspects_row(s, x->members->now);
}

/* Passes one on. */
static void spread (mt_suspect_exchange_t *x, uint64_t digest) {
  uint32_t to[FANOUT];
  size_t count = mt_membership_some(x->members, &x->random, to, FANOUT);
  if (count == 0) return;
  add_row(x, x->calls.begin(x->calls.ud, MT_PEER_SUSPECTS), digest);
  x->calls.send(x->calls.ud, to, count);
}

/* Tells one router of as many as a message holds. */
static void tell_all (mt_suspect_exchange_t *x, uint32_t ip) {
  mt_suspect_row_t rows[MT_PEER_SUSPECTS_MAX];
  size_t count = mt_suspects_list(x->suspects, &x->place, rows,
                                  mt_countof(rows), x->members->now);
  if (count == 0) return;
  mt_peer_message_t *m = x->calls.begin(x->calls.ud, MT_PEER_SUSPECTS);
  for (size_t i = 0; i < count; i++)
    m->suspects[m->suspects_count++] = rows[i];
  x->calls.send(x->calls.ud, &ip, 1);
}

void mt_suspect_exchange_greet (mt_suspect_exchange_t *x, uint32_t ip) {
  tell_all(x, ip);
}

void mt_suspect_exchange_tick (mt_suspect_exchange_t *x) {
  uint32_t ip;
  if (x->members->now < x->next) return;
  x->next = x->members->now + TELL_MS;
  if (mt_membership_some(x->members, &x->random, &ip, 1) > 0) tell_all(x, ip);
}

/* }== */

/* {== The owner ======================================================= */

/* Whose router keeps what a word is about. */
static uint64_t subject_of (const mt_suspect_message_t *word) {
  bool engine = word->kind == MT_SUSPECT_MESSAGE_LEASE_ENGINE ||
                word->kind == MT_SUSPECT_MESSAGE_RELEASE_ENGINE;
  return engine ? word->engine : word->digest;
}

/* Who asks, as a lease's holder; never 0. */
static uint64_t holder_of (uint32_t router,
                           const mt_suspect_message_t *word) {
  return mtV_mix(router, word->request) | 1;
}

/* Answers here are clearer than what is told of ends. */
static bool cleared_here (mt_suspect_exchange_t *x, uint64_t digest) {
  mt_ms_t at = mt_suspects_last_answer(x->suspects, digest);
  return at != 0 &&
         mt_suspects_clear(x->suspects, digest, at, x->members->now);
}

static void on_ended (mt_suspect_exchange_t *x, uint32_t router,
                      const mt_suspect_message_t *word) {
  mt_ms_t now = x->members->now;
  const mt_suspect_end_t end = {word->engine, now - mt_min(word->age, now),
                                word->alone};
  bool known = !mt_suspects_add_end(x->suspects, word->digest, &end, now);
  bool cleared = cleared_here(x, word->digest);
  if (known) return;
  note(x, word->digest, router, cleared ? "answered" : "ended");
  spread(x, word->digest);
}

static void on_answered (mt_suspect_exchange_t *x, uint32_t router,
                         const mt_suspect_message_t *word) {
  mt_ms_t now = x->members->now, at = now - mt_min(word->age, now);
  if (!mt_suspects_clear(x->suspects, word->digest, at, now)) return;
  note(x, word->digest, router, "answered");
  spread(x, word->digest);
}

static mt_trial_verdict_t judge (mt_suspect_exchange_t *x, uint32_t router,
                                 const mt_suspect_message_t *word) {
  uint64_t holder = holder_of(router, word);
  mt_ms_t now = x->members->now;
  if (word->kind == MT_SUSPECT_MESSAGE_LEASE_ENGINE)
    return mt_suspects_lease_engine(x->suspects, word->engine, holder,
                                    word->lease, now);
  return mt_suspects_lease(x->suspects, word->digest, holder, word->lease,
                           now);
}

static void answer (mt_suspect_exchange_t *x, uint32_t router,
                    const mt_suspect_message_t *word,
                    mt_trial_verdict_t verdict) {
  if (router == x->members->own_ip) {
    x->calls.tried(x->calls.ud, word, verdict);
    return;
  }
  mt_peer_message_t *m = x->calls.begin(x->calls.ud, MT_PEER_VERDICT);
  m->word = *word;
  m->verdict = verdict;
  x->calls.send(x->calls.ud, &router, 1);
}

static void keep (mt_suspect_exchange_t *x, uint32_t router,
                  const mt_suspect_message_t *word) {
  switch (word->kind) {
    case MT_SUSPECT_MESSAGE_ENDED: on_ended(x, router, word); break;
    case MT_SUSPECT_MESSAGE_ANSWERED: on_answered(x, router, word); break;
    case MT_SUSPECT_MESSAGE_LEASE:
    case MT_SUSPECT_MESSAGE_LEASE_ENGINE:
      answer(x, router, word, judge(x, router, word));
      break;
    case MT_SUSPECT_MESSAGE_RELEASE:
    case MT_SUSPECT_MESSAGE_RELEASE_ENGINE:
      mt_suspects_release(x->suspects, subject_of(word),
                          holder_of(router, word));
      break;
    case MT_SUSPECT_MESSAGE_COUNT: break;
  }
}

/* }== */

void mt_suspect_exchange_say (mt_suspect_exchange_t *x,
                              const mt_suspect_message_t *word) {
  uint32_t owner =
      mt_membership_owner(x->members, subject_of(word), EVERYWHERE);
  if (owner == x->members->own_ip) {
    keep(x, owner, word);
    return;
  }
  mt_peer_t *peer = mt_membership_know(x->members, owner);
  if (peer == NULL) return;
  bool asks = word->kind == MT_SUSPECT_MESSAGE_LEASE ||
              word->kind == MT_SUSPECT_MESSAGE_LEASE_ENGINE;
  if (asks && peer->asked == 0) peer->asked = x->members->now;
  mt_peer_message_t *m = x->calls.begin(x->calls.ud, MT_PEER_WORD);
  m->word = *word;
  if (asks) add_row(x, m, word->digest);
  x->calls.send(x->calls.ud, &owner, 1);
}

/* {== Receiving ======================================================== */

/* An answer that this router gave since the first of the ends clears it. */
static void object (mt_suspect_exchange_t *x, const mt_suspect_t *s) {
  mt_ms_t now = x->members->now;
  mt_ms_t at = mt_suspects_last_answer(x->suspects, s->digest);
  if (s->earlier + s->listed == 0 || at == 0 || at < s->since) return;
  const mt_suspect_message_t word = {.kind = MT_SUSPECT_MESSAGE_ANSWERED,
                                     .digest = s->digest,
                                     .age = now - mt_min(at, now)};
  mt_suspect_exchange_say(x, &word);
}

static void take_row (mt_suspect_exchange_t *x, uint32_t router,
                      const mt_suspect_row_t *row) {
  if (!mt_suspects_merge(x->suspects, row, x->members->now)) return;
  note(x, row->digest, router, "told");
  spread(x, row->digest);
  const mt_suspect_t *s = mt_suspects_get(x->suspects, row->digest);
  if (s != NULL) object(x, s);
}

void mt_suspect_exchange_take (mt_suspect_exchange_t *x, mt_peer_t *peer,
                               const mt_peer_message_t *m) {
  for (size_t i = 0; i < m->suspects_count; i++)
    take_row(x, peer->ip, &m->suspects[i]);
  switch (m->kind) {
    case MT_PEER_WORD: keep(x, peer->ip, &m->word); break;
    case MT_PEER_VERDICT:
      peer->asked = 0;
      peer->suspect = 0;
      if (m->verdict < MT_TRIAL_COUNT)
        x->calls.tried(x->calls.ud, &m->word, m->verdict);
      break;
    default: break;
  }
}

/* }== */

void mt_suspect_exchange_open (mt_suspect_exchange_t *x,
                               mt_membership_t *members,
                               mt_suspects_t *suspects,
                               const mt_suspect_exchange_calls_t *calls,
                               uint64_t seed) {
  *x = (mt_suspect_exchange_t){.members = members,
                               .suspects = suspects,
                               .calls = *calls,
                               .random = seed | 1};
}
