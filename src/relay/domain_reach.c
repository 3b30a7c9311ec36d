/*
** domain_reach.c - which remote failure domains can be reached, by the
** outcomes of connects to their engines
*/
#include "domain_reach.h"

/* Time-outs of two engines that are further apart have separate causes. A cut
   shows at several engines within one connect time-out. */
#define TIMEOUTS_APART_MAX_MS 1000
/* Longer than a connect time-out, so that probes do not overlap. With it a
   domain that can be reached again is used within half a second. */
#define PROBE_INTERVAL_MS 250

static mt_domain_reach_t *find (const mt_domain_reaches_t *reaches,
                                mt_id_t domain) {
  for (size_t i = 0; i < reaches->count; i++)
    if (reaches->list[i].domain == domain)
      return (mt_domain_reach_t *)&reaches->list[i];
  return NULL;
}

static mt_domain_reach_t *add (mt_domain_reaches_t *reaches, mt_id_t domain) {
  if (reaches->count == MT_DOMAIN_REACH_MAX) return NULL;
  mt_domain_reach_t *reach = &reaches->list[reaches->count++];
  *reach = (mt_domain_reach_t){.domain = domain};
  return reach;
}

/* Of a series of time-outs only the last is kept: if any two of different
   engines are close enough, so are two that follow each other. */
static mt_domain_change_t record_timeout (mt_domain_reaches_t *reaches,
                                          mt_domain_reach_t *reach,
                                          uint64_t engine, mt_ms_t now) {
  bool other = reach->timed_out != 0 && reach->timed_out != engine;
  bool close = now <= reach->timed_out_at + TIMEOUTS_APART_MAX_MS;
  reach->timed_out = engine;
  reach->timed_out_at = now;
  if (reach->unreachable || !other || !close) return MT_DOMAIN_UNCHANGED;
  reach->unreachable = true;
  reach->since = reach->next_probe = now;
  reach->probed = 0;
  reaches->unreachable++;
  return MT_DOMAIN_LOST;
}

static mt_domain_change_t record_success (mt_domain_reaches_t *reaches,
                                          mt_domain_reach_t *reach) {
  reach->timed_out = 0;
  if (!reach->unreachable) return MT_DOMAIN_UNCHANGED;
  reach->unreachable = false;
  reaches->unreachable--;
  return MT_DOMAIN_REGAINED;
}

mt_domain_change_t mt_domain_reach_record (mt_domain_reaches_t *reaches,
                                           mt_id_t domain, uint64_t engine,
                                           mt_connect_outcome_t outcome,
                                           mt_ms_t now) {
  mt_domain_reach_t *reach = find(reaches, domain);
  switch (outcome) {
    case MT_CONNECT_MADE:
    case MT_CONNECT_REFUSED:
      if (reach == NULL) return MT_DOMAIN_UNCHANGED;
      return record_success(reaches, reach);
    case MT_CONNECT_TIMED_OUT:
      if (reach == NULL) reach = add(reaches, domain);
      if (reach == NULL) return MT_DOMAIN_UNCHANGED;
      return record_timeout(reaches, reach, engine, now);
  }
  return MT_DOMAIN_UNCHANGED;
}

bool mt_domain_reach_is_unreachable (const mt_domain_reaches_t *reaches,
                                     mt_id_t domain) {
  if (reaches->unreachable == 0) return false;
  const mt_domain_reach_t *reach = find(reaches, domain);
  return reach != NULL && reach->unreachable;
}

bool mt_domain_reach_probe_due (const mt_domain_reach_t *reach, mt_ms_t now) {
  return reach->unreachable && now >= reach->next_probe;
}

void mt_domain_reach_probed (mt_domain_reach_t *reach, uint64_t engine,
                             mt_ms_t now) {
  reach->probed = engine;
  reach->next_probe = now + PROBE_INTERVAL_MS;
}

void mt_domain_reach_end_wait (mt_domain_reaches_t *reaches,
                               mt_domain_reach_t *reach) {
  record_success(reaches, reach);
}
