/*
** admission.c - whether a request may be sent to an engine now
*/
#include "admission.h"
#include "quotes.h"

static const mt_catalog_service_t *service_of (const mt_relay_t *relay,
                                               const mt_engine_t *e) {
  if (relay->catalog == NULL) return NULL;
  return mt_catalog_find_service(relay->catalog, e->service);
}

/* Requests per second that the engine can take while cold; 0: any. */
static double cold_rate (const mt_relay_t *relay, const mt_engine_t *e) {
  const mt_catalog_service_t *service = service_of(relay, e);
  return service != NULL ? service->cold_rate : 0;
}

bool mt_admission_is_cold (const mt_relay_t *relay, const mt_engine_t *e) {
  return mt_cold_starts_is_cold(&relay->cold, e->key, relay->now) &&
         cold_rate(relay, e) > 0;
}

bool mt_admission_allows (const mt_relay_t *relay,
                          const mt_relay_request_t *r, const mt_engine_t *e) {
  const mt_relay_candidate_t *candidate = mt_quotes_find(r, e->key);
  mt_admission_t admission = MT_ADMIT_UNKNOWN;
  if (candidate != NULL && candidate->quoted)
    admission = candidate->admission;
  switch (admission) {
    case MT_ADMIT_WARM: return true;
    case MT_ADMIT_PERMIT:
      return relay->now <= candidate->asked + MT_COLD_PERMIT_MS;
    case MT_ADMIT_NONE: return false;
    case MT_ADMIT_UNKNOWN:
    case MT_ADMIT_COUNT: break;
  }
  return !mt_admission_is_cold(relay, e);
}

void mt_admission_return_permits (mt_relay_t *relay, mt_relay_request_t *r) {
  for (size_t i = 0; i < r->candidates_count; i++) {
    mt_relay_candidate_t *candidate = &r->candidates[i];
    if (candidate->admission != MT_ADMIT_PERMIT) continue;
    candidate->admission = MT_ADMIT_NONE;
    mt_relay_effect(relay, MT_RELAY_DO_RETURN_PERMIT)->u.permit =
        candidate->engine;
  }
}

void mt_admission_use_permit (mt_relay_t *relay, mt_relay_request_t *r,
                              const mt_engine_t *e) {
  r->current.has_permit = false;
  for (size_t i = 0; i < r->candidates_count; i++) {
    mt_relay_candidate_t *candidate = &r->candidates[i];
    if (candidate->engine != e->key ||
        candidate->admission != MT_ADMIT_PERMIT)
      continue;
    candidate->admission = MT_ADMIT_NONE;
    r->current.has_permit = true;
  }
  mt_admission_return_permits(relay, r);
}

/* {== Listed engines and evacuations =================================== */

void mt_relay_engine_listed (mt_relay_t *relay, mt_engine_t *e,
                             mt_ms_t cold_left, mt_ms_t now) {
  e->evacuated = mt_evacuations_has(&relay->evacuations, e->domain);
  mt_cold_starts_set(&relay->cold, e->key, now + cold_left, now);
  mt_service_versions_listed(&mt_relay_service(relay, e->service)->versions,
                             e->version, now);
  mt_engine_drain_t drain;
  if (!mt_early_drains_take(&relay->early_drains, e->key, &drain)) return;
  if (mt_engine_apply_drain(e, &drain, now))
    relay->counters.drains_gossiped++;
}

/*
** The engines of a readmitted failure domain may have become cold meanwhile,
** and the list shows it only later: they count as cold until it does.
*/
static void mark_cold (mt_relay_t *relay, const mt_engine_t *e, mt_ms_t now) {
  const mt_catalog_service_t *service = service_of(relay, e);
  if (service == NULL || service->cold_rate <= 0) return;
  mt_cold_starts_set(&relay->cold, e->key, now + service->cold, now);
}

bool mt_relay_evacuate (mt_relay_t *relay, const char *domain, bool on,
                        mt_ms_t now) {
  if (!mt_evacuations_set(&relay->evacuations, domain, on)) return false;
  for (size_t i = 0; i < relay->engines.count; i++) {
    mt_engine_t *e = relay->engines.list[i];
    bool evacuated = mt_evacuations_has(&relay->evacuations, e->domain);
    if (e->evacuated && !evacuated) mark_cold(relay, e, now);
    e->evacuated = evacuated;
  }
  return true;
}

/* }== */

mt_admission_t mt_relay_admission (mt_relay_t *relay, uint64_t engine,
                                   bool is_owner) {
  const mt_engine_t *e = mt_engines_get(&relay->engines, engine);
  if (e == NULL) return MT_ADMIT_UNKNOWN;
  if (!mt_engine_is_available(e, relay->now) || e->evacuated)
    return MT_ADMIT_NONE;
  double rate = cold_rate(relay, e);
  if (rate <= 0) return MT_ADMIT_UNKNOWN;
  return mt_cold_starts_acquire(&relay->cold, engine, rate,
                                &relay->params.cold,
                                is_owner ? relay->reach : 0, relay->now);
}
