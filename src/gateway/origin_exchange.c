/*
** origin_exchange.c - tells owners of streams where they began, and asks them
*/
#include "origin_exchange.h"
#include "stream_resume.h"

/* Owners in the failure domain of the router that began the stream, and other
   domains that have one owner each. */
#define LOCAL_OWNERS MT_MEMBERSHIP_LOCAL_TOLD
#define REMOTE_OWNERS 2
/* A router that asks may count the one that began the stream among the live
   ones, and so asks one more of each. */
#define LOCAL_ASKED (LOCAL_OWNERS + 1)
#define REMOTE_ASKED (REMOTE_OWNERS + 1)
#define ASKED_MAX (LOCAL_ASKED + REMOTE_ASKED)
/* Of each failure domain, if all are asked: one of the two that would have
   been told there, apart from the router that began the stream. */
#define DOMAIN_ASKED 2
#define DOMAINS_ASKED_MAX (LOCAL_ASKED + DOMAIN_ASKED * MT_MEMBERSHIP_DOMAINS)

/* The first routers of this failure domain, and the first one of each of the
   first other domains; returns their number. */
static size_t rank_owners (const mt_origin_exchange_t *x, uint64_t key,
                           size_t local, size_t remote,
                           uint32_t to[ASKED_MAX]) {
  const mt_membership_t *m = x->members;
  mt_id_t domains[REMOTE_ASKED];
  size_t count = mt_membership_rank_routers(m, key, m->own_domain, to, local);
  size_t ranked = mt_membership_rank_domains(m, key, domains, remote);
  for (size_t i = 0; i < ranked; i++)
    count += mt_membership_rank_routers(m, key, domains[i], &to[count], 1);
  return count;
}

void mt_origin_exchange_tell (mt_origin_exchange_t *x,
                              const mt_origin_report_t *report) {
  uint32_t to[ASKED_MAX];
  size_t count = rank_owners(x, report->key, LOCAL_OWNERS, REMOTE_OWNERS, to);
  if (count == 0) return;
  mt_peer_message_t *m = x->callbacks.begin(x->callbacks.ud, MT_PEER_ORIGIN);
  m->origin.report = *report;
  x->callbacks.send(x->callbacks.ud, to, count);
}

static mt_origin_asked_t ask (mt_origin_exchange_t *x, uint64_t request,
                              const mt_origin_report_t *report,
                              const uint32_t *to, size_t count) {
  const mt_origin_asked_t asked = {(int)count,
                                   mt_membership_domains(x->members)};
  if (count == 0) return asked;
  mt_peer_message_t *m =
      x->callbacks.begin(x->callbacks.ud, MT_PEER_ORIGIN_REQUEST);
  m->request_number = request;
  m->origin.report = *report;
  x->callbacks.send(x->callbacks.ud, to, count);
  return asked;
}

mt_origin_asked_t mt_origin_exchange_ask (mt_origin_exchange_t *x,
                                          uint64_t request,
                                          const mt_origin_report_t *report) {
  uint32_t to[ASKED_MAX];
  size_t count = rank_owners(x, report->key, LOCAL_ASKED, REMOTE_ASKED, to);
  return ask(x, request, report, to, count);
}

mt_origin_asked_t
mt_origin_exchange_ask_domains (mt_origin_exchange_t *x, uint64_t request,
                                const mt_origin_report_t *report) {
  const mt_membership_t *m = x->members;
  uint32_t to[DOMAINS_ASKED_MAX];
  uint64_t key = report->key;
  size_t count =
      mt_membership_rank_routers(m, key, m->own_domain, to, LOCAL_ASKED);
  for (size_t i = 0; i < m->domains_count; i++)
    count += mt_membership_rank_routers(m, key, m->domains[i].id, &to[count],
                                        DOMAIN_ASKED);
  return ask(x, request, report, to, count);
}

static void reply (mt_origin_exchange_t *x, uint32_t ip,
                   const mt_peer_message_t *request) {
  const mt_origin_report_t *asked = &request->origin.report;
  mt_origin_answer_t answer = mt_resume_answer(
      x->relay, asked->key, asked->origin.service, x->members->now);
  mt_peer_message_t *m =
      x->callbacks.begin(x->callbacks.ud, MT_PEER_ORIGIN_REPLY);
  m->request_number = request->request_number;
  m->origin.report = *asked;
  if (answer.known) m->origin.report.origin = answer.origin;
  m->origin.answer = answer;
  m->origin.answer.up = x->members->now - x->members->started;
  x->callbacks.send(x->callbacks.ud, &ip, 1);
}

void mt_origin_exchange_receive (mt_origin_exchange_t *x, uint32_t ip,
                                 const mt_peer_message_t *m) {
  const mt_origin_report_t *report = &m->origin.report;
  mt_origin_answer_t answer = m->origin.answer;
  if (report->key == 0) return;
  switch (m->kind) {
    case MT_PEER_ORIGIN:
      mt_resume_told(x->relay, report, x->members->now);
      break;
    case MT_PEER_ORIGIN_REQUEST: reply(x, ip, m); break;
    case MT_PEER_ORIGIN_REPLY:
      answer.domain = mt_membership_domain_of(x->members, ip);
      x->callbacks.answered(x->callbacks.ud, m->request_number,
                            report->origin.service, &answer);
      break;
    default: break;
  }
}

void mt_origin_exchange_open (
    mt_origin_exchange_t *x, const mt_membership_t *members,
    mt_relay_t *relay, const mt_origin_exchange_callbacks_t *callbacks) {
  *x = (mt_origin_exchange_t){
      .members = members, .relay = relay, .callbacks = *callbacks};
}
