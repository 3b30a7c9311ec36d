/*
** suspect_exchange.c - gossip about what may crash engines
*/
#include "suspect_exchange.h"

#define FANOUT 5               /* peers that a newer row is forwarded to */
#define GOSSIP_INTERVAL_MS 250 /* between anti-entropy messages */
/* Rows in such a message; it bounds the traffic while many are suspected. */
#define GOSSIP_ROWS_MAX 8
#define ANY_DOMAIN 0 /* the owner may be in any failure domain */

static void log_event (const mt_suspect_exchange_t *x, uint64_t digest,
                       uint32_t router, const char *why) {
  const mt_suspect_t *s = mt_suspects_get(x->suspects, digest);
  if (s != NULL) x->callbacks.log_event(x->callbacks.ud, s, router, why);
}

/* {== Sending ========================================================== */

/* Adds the request's row, if there is one. */
static void add_row (mt_suspect_exchange_t *x, mt_peer_message_t *m,
                     uint64_t digest) {
  const mt_suspect_t *s = mt_suspects_get(x->suspects, digest);
  if (s != NULL)
    m->suspects[m->suspects_count++] = mt_suspects_row(s, x->members->now);
}

/* Sends the request's row to some random peers. */
static void gossip_row (mt_suspect_exchange_t *x, uint64_t digest) {
  uint32_t to[FANOUT];
  size_t count = mt_membership_sample(x->members, &x->random, to, FANOUT);
  if (count == 0) return;
  add_row(x, x->callbacks.begin(x->callbacks.ud, MT_PEER_SUSPECTS), digest);
  x->callbacks.send(x->callbacks.ud, to, count);
}

static void send_list (mt_suspect_exchange_t *x, uint32_t ip,
                       const mt_suspect_row_t *rows, size_t count) {
  if (count == 0) return;
  mt_peer_message_t *m =
      x->callbacks.begin(x->callbacks.ud, MT_PEER_SUSPECTS);
  for (size_t i = 0; i < count; i++)
    m->suspects[m->suspects_count++] = rows[i];
  x->callbacks.send(x->callbacks.ud, &ip, 1);
}

/* Sends one router the next rows of the table. */
static void send_rows (mt_suspect_exchange_t *x, uint32_t ip) {
  mt_suspect_row_t rows[GOSSIP_ROWS_MAX];
  size_t count = mt_suspects_list(x->suspects, &x->cursor, rows,
                                  mt_countof(rows), x->members->now);
  send_list(x, ip, rows, count);
}

void mt_suspect_exchange_sync_peer (mt_suspect_exchange_t *x, uint32_t ip) {
  mt_suspect_row_t rows[MT_PEER_SUSPECTS_MAX];
  size_t count = mt_suspects_list_tried(x->suspects, rows, mt_countof(rows),
                                        x->members->now);
  send_list(x, ip, rows, count);
  send_rows(x, ip);
}

void mt_suspect_exchange_tick (mt_suspect_exchange_t *x) {
  uint32_t ip;
  if (x->members->now < x->next_gossip) return;
  x->next_gossip = x->members->now + GOSSIP_INTERVAL_MS;
  if (mt_membership_sample(x->members, &x->random, &ip, 1) > 0)
    send_rows(x, ip);
}

/* }== */

/* {== The owner ======================================================= */

/* The key that decides which router owns the subject of a message. */
static uint64_t owner_key (const mt_suspect_message_t *message) {
  bool engine = message->kind == MT_SUSPECT_MESSAGE_LEASE_ENGINE ||
                message->kind == MT_SUSPECT_MESSAGE_RELEASE_ENGINE;
  return engine ? message->engine : message->digest;
}

/* Identifies the router and request that ask for a lease; never 0. */
static uint64_t lease_holder (uint32_t router,
                              const mt_suspect_message_t *message) {
  return mtV_mix(router, message->request) | 1;
}

/* Identifies a lost run; 0: an older build, which doesn't name it. */
static uint64_t run_of (uint32_t router,
                        const mt_suspect_message_t *message) {
  return message->request != 0 ? lease_holder(router, message) : 0;
}

/* Clears the request of reported ends if this router itself has received a
   complete answer to it since. */
static bool clear_by_local_answer (mt_suspect_exchange_t *x,
                                   uint64_t digest) {
  mt_ms_t at = mt_suspects_last_answer(x->suspects, digest);
  return at != 0 &&
         mt_suspects_clear(x->suspects, digest, at, x->members->now);
}

static void on_ended (mt_suspect_exchange_t *x, uint32_t router,
                      const mt_suspect_message_t *message) {
  mt_ms_t now = x->members->now;
  const mt_suspect_end_t end = {.engine = message->engine,
                                .at = now - mt_min(message->age, now),
                                .alone = message->alone,
                                .run = run_of(router, message),
                                .workspace = message->workspace};
  bool known = message->known ||
               mt_suspects_last_answer(x->suspects, message->digest) != 0;
  bool changed =
      mt_suspects_add_end(x->suspects, message->digest, &end, known, now);
  bool cleared = clear_by_local_answer(x, message->digest);
  if (!changed) return;
  log_event(x, message->digest, router, cleared ? "answered" : "ended");
  gossip_row(x, message->digest);
}

static void on_answered (mt_suspect_exchange_t *x, uint32_t router,
                         const mt_suspect_message_t *message) {
  mt_ms_t now = x->members->now, at = now - mt_min(message->age, now);
  if (!mt_suspects_clear(x->suspects, message->digest, at, now)) return;
  log_event(x, message->digest, router, "answered");
  gossip_row(x, message->digest);
}

static mt_trial_verdict_t decide (mt_suspect_exchange_t *x, uint32_t router,
                                  const mt_suspect_message_t *message) {
  uint64_t holder = lease_holder(router, message);
  mt_ms_t now = x->members->now;
  if (message->kind == MT_SUSPECT_MESSAGE_LEASE_ENGINE)
    return mt_suspects_lease_engine(x->suspects, message->engine, holder,
                                    message->lease, now);
  return mt_suspects_lease(x->suspects, message->digest, message->workspace,
                           holder, message->lease, now);
}

static void reply (mt_suspect_exchange_t *x, uint32_t router,
                   const mt_suspect_message_t *message,
                   mt_trial_verdict_t verdict) {
  if (router == x->members->own_ip) {
    x->callbacks.replied(x->callbacks.ud, message, verdict);
    return;
  }
  mt_peer_message_t *m =
      x->callbacks.begin(x->callbacks.ud, MT_PEER_TRIAL_VERDICT);
  m->suspect_message = *message;
  m->verdict = verdict;
  x->callbacks.send(x->callbacks.ud, &router, 1);
}

static void handle_message (mt_suspect_exchange_t *x, uint32_t router,
                            const mt_suspect_message_t *message) {
  switch (message->kind) {
    case MT_SUSPECT_MESSAGE_ENDED: on_ended(x, router, message); break;
    case MT_SUSPECT_MESSAGE_ANSWERED: on_answered(x, router, message); break;
    case MT_SUSPECT_MESSAGE_LEASE:
    case MT_SUSPECT_MESSAGE_LEASE_ENGINE:
      reply(x, router, message, decide(x, router, message));
      break;
    case MT_SUSPECT_MESSAGE_RELEASE:
    case MT_SUSPECT_MESSAGE_RELEASE_ENGINE:
      mt_suspects_release(x->suspects, owner_key(message),
                          lease_holder(router, message));
      break;
    case MT_SUSPECT_MESSAGE_COUNT: break;
  }
}

/* }== */

void mt_suspect_exchange_send (mt_suspect_exchange_t *x,
                               const mt_suspect_message_t *message) {
  uint32_t owner =
      mt_membership_owner(x->members, owner_key(message), ANY_DOMAIN);
  if (owner == x->members->own_ip) {
    handle_message(x, owner, message);
    return;
  }
  mt_peer_t *peer = mt_membership_add(x->members, owner);
  if (peer == NULL) return;
  bool is_question = message->kind == MT_SUSPECT_MESSAGE_LEASE ||
                     message->kind == MT_SUSPECT_MESSAGE_LEASE_ENGINE;
  if (is_question && peer->unanswered_since == 0)
    peer->unanswered_since = x->members->now;
  mt_peer_message_t *m =
      x->callbacks.begin(x->callbacks.ud, MT_PEER_SUSPECT_MESSAGE);
  m->suspect_message = *message;
  /* The owner may have just started and know less than this router. */
  if (is_question) add_row(x, m, message->digest);
  x->callbacks.send(x->callbacks.ud, &owner, 1);
}

/* {== Receiving ======================================================== */

/* Reports an answer that this router has received since the first end, which
   clears the request. */
static void report_local_answer (mt_suspect_exchange_t *x,
                                 const mt_suspect_t *s) {
  mt_ms_t now = x->members->now;
  mt_ms_t at = mt_suspects_last_answer(x->suspects, s->digest);
  if (s->earlier + s->listed == 0 || at == 0 || at < s->since) return;
  const mt_suspect_message_t message = {.kind = MT_SUSPECT_MESSAGE_ANSWERED,
                                        .digest = s->digest,
                                        .age = now - mt_min(at, now)};
  mt_suspect_exchange_send(x, &message);
}

static void merge_row (mt_suspect_exchange_t *x, uint32_t router,
                       const mt_suspect_row_t *row) {
  if (!mt_suspects_merge(x->suspects, row, x->members->now)) return;
  log_event(x, row->digest, router, "told");
  gossip_row(x, row->digest);
  const mt_suspect_t *s = mt_suspects_get(x->suspects, row->digest);
  if (s != NULL) report_local_answer(x, s);
}

void mt_suspect_exchange_receive (mt_suspect_exchange_t *x, mt_peer_t *peer,
                                  const mt_peer_message_t *m) {
  for (size_t i = 0; i < m->suspects_count; i++)
    merge_row(x, peer->ip, &m->suspects[i]);
  switch (m->kind) {
    case MT_PEER_SUSPECT_MESSAGE:
      handle_message(x, peer->ip, &m->suspect_message);
      break;
    case MT_PEER_TRIAL_VERDICT:
      peer->unanswered_since = 0;
      peer->suspect_until = 0;
      if (m->verdict < MT_TRIAL_COUNT)
        x->callbacks.replied(x->callbacks.ud, &m->suspect_message,
                             m->verdict);
      break;
    default: break;
  }
}

/* }== */

void mt_suspect_exchange_open (
    mt_suspect_exchange_t *x, mt_membership_t *members,
    mt_suspects_t *suspects, const mt_suspect_exchange_callbacks_t *callbacks,
    uint64_t seed) {
  *x = (mt_suspect_exchange_t){.members = members,
                               .suspects = suspects,
                               .callbacks = *callbacks,
                               .random = seed | 1};
}
