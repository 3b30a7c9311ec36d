/*
** stream_resume.c - keeps a stream at the software version that began it
*/
#include "catalog_diff.h"
#include "relay_load.h"
#include "stream_resume.h"

/* The list of engines may be out of date for this long without a gap in what
   is known of versions: a store that is slow for a moment must not make all
   routers tell the origins of their streams. */
#define LIST_LAG_MAX_MS 3000
/* From the start of an engine until its entry can be read at the source. */
#define ENTRY_LAG_MS 500
/* An entry that was read or confirmed longer ago may be of an earlier start.
   It is longer than a watch that reports no change is held by the source. */
#define ENTRY_AGE_MAX_MS 9000
#define ANSWER_TIMEOUT_MS 60      /* for replies of routers */
#define LIST_CHECK_TIMEOUT_MS 300 /* for a read of the source */
/* After a failed read, none is made for this long: the source is away. */
#define LIST_CHECK_PAUSE_MS 100
/* Replies without a record that are enough where one version serves: a router
   that is gone, but not yet known to be, does not reply. */
#define REPLIES_ENOUGH 2
/* A caller may wait longer than one request may take. The bound keeps callers
   that state any deadline from changing what a router has to remember. */
#define LIFE_MAX_TIMEOUTS 4
/* Between requests of a router that has just started to those that have run
   for longer. */
#define VERSION_REQUEST_MS 1000
#define RECORDS_TIMEOUT_MS 300 /* for a read of the records of origins */

/* The longest that one request for a stream of the service may take. */
static mt_ms_t longest_request_ms (const mt_relay_t *relay, mt_id_t service) {
  const mt_catalog_service_t *s =
      relay->catalog ? mt_catalog_find_service(relay->catalog, service)
                     : NULL;
  return s != NULL && s->longest_stream != 0 ? s->longest_stream
                                             : MT_WAIT_MAX_MS;
}

/* How long a stream of the service may live, over all requests of its caller:
   until its deadline. */
static mt_ms_t stream_life_ms (const mt_relay_t *relay, mt_id_t service) {
  const mt_relay_service_t *s = mtV_get(&relay->services, service);
  mt_ms_t longest = longest_request_ms(relay, service);
  return s != NULL ? mt_max(longest, s->longest_deadline) : longest;
}

void mt_resume_note_deadline (mt_relay_t *relay, mt_id_t service,
                              mt_ms_t deadline) {
  mt_relay_service_t *s = mt_relay_service(relay, service);
  mt_ms_t most = LIFE_MAX_TIMEOUTS * longest_request_ms(relay, service);
  s->longest_deadline = mt_max(s->longest_deadline, mt_min(deadline, most));
}

/* {== What this router knows =========================================== */

void mt_resume_list_is_current (mt_relay_t *relay, mt_ms_t confirmed,
                                mt_revision_t rev, mt_ms_t now) {
  relay->now = mt_max(relay->now, now);
  if (relay->list_since == 0 ||
      now - relay->list_current_at > LIST_LAG_MAX_MS) {
    relay->list_since = now;
    relay->list_since_rev = rev;
  }
  relay->list_rev = rev;
  relay->list_current_at = now;
  relay->list_confirmed = mt_max(relay->list_confirmed, confirmed);
}

void mt_resume_engine_missed (mt_relay_t *relay) {
  relay->list_since = 0;
}

void mt_resume_list_replaced (mt_relay_t *relay, mt_ms_t now) {
  relay->now = mt_max(relay->now, now);
  if (relay->now - relay->list_confirmed > LIST_LAG_MAX_MS)
    relay->list_since = 0;
}

static bool is_list_current (const mt_relay_t *relay) {
  return relay->list_since != 0 &&
         relay->now - relay->list_current_at <= LIST_LAG_MAX_MS;
}

/*
** True if every version was seen here at which streams began that may still
** be resumed: the list of engines has been up to date for as long as they
** live, or since an earlier revision than that of the list by which another
** router, for which that held, reported the only one. A time would not do: a
** router that is cut off may report a list of any age.
*/
static bool saw_all_versions (const mt_relay_t *relay,
                              const mt_relay_service_t *s, mt_id_t sole,
                              mt_ms_t life) {
  if (!is_list_current(relay)) return false;
  if (relay->now - relay->list_since >= life) return true;
  return s->reported_sole == sole && s->reported_rev >= relay->list_since_rev;
}

/* What the list of engines tells of all streams of the service that may still
   be resumed. */
static mt_origin_answer_t view_of (const mt_relay_t *relay, mt_id_t service) {
  mt_origin_answer_t view = {.known = false, .list_rev = relay->list_rev};
  mt_ms_t life = stream_life_ms(relay, service);
  const mt_relay_service_t *s = mtV_get(&relay->services, service);
  mt_id_t last;
  if (s == NULL) return view;
  int count =
      mt_service_versions_count(&s->versions, life, relay->now, &last);
  view.several = count > 1;
  if (count == 1 && saw_all_versions(relay, s, last, life)) view.sole = last;
  return view;
}

mt_id_t mt_resume_engine_version (const mt_relay_t *relay,
                                  const mt_engine_t *e) {
  if (e->started_at == 0 || e->version == 0) return e->version;
  mt_ms_t known = mt_max(relay->list_confirmed, e->version_read_at);
  if (relay->now > known + ENTRY_AGE_MAX_MS) return 0;
  if (e->doubted_at == 0 || known >= e->doubted_at + ENTRY_LAG_MS)
    return e->version;
  /* Unless an upgrade begins with it, it is of the only version. */
  return view_of(relay, e->service).sole == e->version ? e->version : 0;
}

void mt_resume_on_view (mt_relay_t *relay, mt_id_t service,
                        const mt_origin_answer_t *view) {
  mt_relay_service_t *s = mtV_get(&relay->services, service);
  if (s == NULL || view->sole == 0 || !is_list_current(relay)) return;
  if (s->reported_sole == view->sole && s->reported_rev >= view->list_rev)
    return;
  s->reported_sole = view->sole;
  s->reported_rev = view->list_rev;
}

/* True if routers that have run for longer may know more. */
static bool lacks_history (const mt_relay_t *relay,
                           const mt_relay_service_t *s) {
  mt_origin_answer_t view = view_of(relay, s->id);
  return s->versions.count > 0 && view.sole == 0 && !view.several;
}

/* Asks, by a key of no stream, what routers know of a service's versions. */
static void request_versions (mt_relay_t *relay) {
  if (!is_list_current(relay) || relay->now < relay->next_version_request)
    return;
  relay->next_version_request = relay->now + VERSION_REQUEST_MS;
  mtV_each (&relay->services, i) {
    const mt_relay_service_t *s = relay->services.vals[i];
    if (!lacks_history(relay, s)) continue;
    mt_relay_effect_t *fx = mt_relay_effect(relay, MT_RELAY_DO_ASK_ORIGIN);
    fx->u.origin.key = mtV_mix(s->id, relay->now) | 1;
    fx->u.origin.origin.service = s->id;
  }
}

void mt_resume_told (mt_relay_t *relay, const mt_origin_report_t *report,
                     mt_ms_t now) {
  mt_stream_origins_add(&relay->origins, report->key, &report->origin, 0,
                        report->ttl, now);
}

mt_origin_answer_t mt_resume_answer (mt_relay_t *relay, uint64_t key,
                                     mt_id_t service, mt_ms_t now) {
  relay->now = mt_max(relay->now, now);
  mt_origin_answer_t answer = view_of(relay, service);
  answer.known =
      mt_stream_origins_find(&relay->origins, key, now, &answer.origin);
  return answer;
}

/* }== */

/* {== At the router that begins a stream =============================== */

static void tell (mt_relay_t *relay, mt_relay_request_t *r) {
  mt_relay_effect_t *fx = mt_relay_effect(relay, MT_RELAY_DO_TELL_ORIGIN);
  fx->u.origin.key = r->stream_key;
  fx->u.origin.origin = (mt_stream_origin_t){r->service, r->version};
  fx->u.origin.ttl = stream_life_ms(relay, r->service);
  r->told = true;
  relay->counters.origins_told++;
}

static void tell_if_needed (mt_relay_t *relay, mt_relay_request_t *r) {
  if (r->told || r->stream_key == 0) return;
  if (r->version != 0 && view_of(relay, r->service).sole == r->version)
    return;
  tell(relay, r);
}

static void keep (mt_relay_t *relay, const mt_relay_request_t *r) {
  const mt_stream_origin_t origin = {r->service, r->version};
  if (r->stream_key == 0) return;
  mt_stream_origins_add(&relay->origins, r->stream_key, &origin,
                        r->current.engine != NULL ? r->current.engine->key
                                                  : 0,
                        stream_life_ms(relay, r->service), relay->now);
}

void mt_resume_began (mt_relay_t *relay, mt_relay_request_t *r) {
  if (!r->bound) r->version = r->current.sent_version;
  r->bound = true;
  keep(relay, r);
  tell_if_needed(relay, r);
}

/* Tells owners that the version of a stream cannot be told. */
static void tell_doubt (void *ud, const mt_origin_row_t *row) {
  mt_relay_t *relay = ud;
  mt_relay_effect_t *fx = mt_relay_effect(relay, MT_RELAY_DO_TELL_ORIGIN);
  fx->u.origin.key = row->key;
  fx->u.origin.origin = (mt_stream_origin_t){row->origin.service, 0};
  fx->u.origin.ttl = row->expires - relay->now;
}

void mt_resume_version_changed (mt_relay_t *relay, const mt_engine_t *e) {
  for (size_t i = 0; i < relay->count; i++) {
    mt_relay_request_t *r = relay->list[i];
    if (r->current.engine == e && r->events_count > 0) r->version = 0;
  }
  relay->records.obsolete = true;
  mt_ms_t life = stream_life_ms(relay, e->service);
  mt_ms_t lag = LIST_LAG_MAX_MS + relay->now -
                mt_min(relay->list_confirmed, relay->now);
  mt_stream_origins_doubt(&relay->origins, e->key, mt_min(lag, life),
                          relay->now, tell_doubt, relay);
}

/* True for a stream that runs here and is resumed elsewhere by a row alone:
   several versions serve, or did when the records that were read here were
   written. */
static bool needs_record (const mt_relay_t *relay,
                          const mt_relay_request_t *r) {
  if (!r->told || r->phase != MT_RELAY_STREAMING) return false;
  return relay->now < relay->records.known_until ||
         view_of(relay, r->service).several;
}

static bool add_to_record (mt_relay_t *relay, mt_relay_request_t *r) {
  const mt_origin_report_t row = {r->stream_key,
                                  {r->service, r->version},
                                  stream_life_ms(relay, r->service)};
  bool added = mt_origin_records_add(&relay->records, &row);
  bool missing = added && !r->recorded;
  relay->counters.origins_recorded += missing;
  relay->counters.origins_unrecorded += !added;
  r->recorded = added;
  return missing;
}

/* Writes this router's record if a stream has begun that it lacks. */
static void record_streams (mt_relay_t *relay) {
  mt_origin_records_t *records = &relay->records;
  bool due = records->obsolete && records->exists;
  if (!mt_origin_records_may_write(records, relay->now)) return;
  records->own.count = 0;
  records->own.ttl = 0;
  for (size_t i = 0; i < relay->count; i++)
    if (needs_record(relay, relay->list[i]))
      due = add_to_record(relay, relay->list[i]) || due;
  if (!due) return;
  mt_origin_records_write_began(records, relay->routers, relay->now);
  mt_relay_effect(relay, MT_RELAY_DO_WRITE_RECORD)->u.record = &records->own;
}

void mt_resume_record_written (mt_relay_t *relay, bool taken) {
  relay->counters.origin_writes_failed += !taken;
  mt_origin_records_written(&relay->records, taken, relay->now);
}

void mt_resume_record_lost (mt_relay_t *relay) {
  relay->records.obsolete = true;
}

void mt_resume_tick (mt_relay_t *relay) {
  request_versions(relay);
  for (size_t i = 0; i < relay->count; i++) {
    mt_relay_request_t *r = relay->list[i];
    if (r->bound && r->phase == MT_RELAY_STREAMING) tell_if_needed(relay, r);
  }
  record_streams(relay);
}

/* }== */

/* {== At the router where a stream is resumed ========================== */

bool mt_resume_excludes (const mt_relay_t *relay, const mt_relay_request_t *r,
                         const mt_engine_t *e) {
  if (!r->bound) return false;
  return r->version == 0 || e->version != r->version ||
         mt_resume_engine_version(relay, e) != r->version;
}

bool mt_resume_is_served (const mt_relay_t *relay,
                          const mt_relay_request_t *r) {
  if (!r->bound) return true;
  for (size_t i = 0; i < relay->engines.count; i++) {
    const mt_engine_t *e = relay->engines.list[i];
    if (e->service != r->service || mt_resume_excludes(relay, r, e)) continue;
    if (mt_engine_is_available(e, relay->now)) return true;
  }
  return false;
}

/* False if the configuration in force no longer allows it. */
static bool leads_to (const mt_relay_t *relay, const mt_relay_request_t *r,
                      mt_id_t service) {
  return mt_catalog_routes_to(relay->catalog, r->route, service) &&
         !mt_denials_has_route(&relay->denials, r->route, service);
}

static mt_resume_decision_t bind (mt_relay_t *relay, mt_relay_request_t *r,
                                  const mt_stream_origin_t *origin,
                                  mt_origin_source_t source) {
  r->origin_source = source;
  r->origin_asked = r->origin_replies; /* no further reply matters */
  if (origin->version == 0) return MT_RESUME_UNKNOWN;
  if (!leads_to(relay, r, origin->service)) return MT_RESUME_GONE;
  r->service = origin->service;
  r->version = origin->version;
  r->bound = true;
  relay->counters.origins_found[source]++;
  return mt_resume_is_served(relay, r) ? MT_RESUME_PASS : MT_RESUME_GONE;
}

static mt_origin_report_t question_about (const mt_relay_request_t *r) {
  return (mt_origin_report_t){.key = r->stream_key,
                              .origin = {.service = r->service}};
}

/* Has the list of engines read at the source if the origin may follow from
   it. */
static void check_list (mt_relay_t *relay, mt_relay_request_t *r) {
  if (view_of(relay, r->service).several) return;
  mt_ms_t failed = relay->list_check_failed_at;
  if (failed != 0 && relay->now < failed + LIST_CHECK_PAUSE_MS) {
    r->list_check_failed = true;
    return;
  }
  r->check = ++relay->list_check;
  mt_relay_effect(relay, MT_RELAY_DO_CHECK_LIST)->u.check = r->check;
}

mt_resume_decision_t mt_resume_check (mt_relay_t *relay,
                                      mt_relay_request_t *r) {
  mt_stream_origin_t origin;
  if (mt_stream_origins_find(&relay->origins, r->stream_key, relay->now,
                             &origin))
    return bind(relay, r, &origin, MT_ORIGIN_LOCAL);
  mt_relay_effect_t *fx = mt_relay_effect(relay, MT_RELAY_DO_ASK_ORIGIN);
  fx->request = r->number;
  fx->u.origin = question_about(r);
  r->asked = r->resumed_at = relay->now;
  check_list(relay, r);
  return MT_RESUME_WAIT;
}

/* Views of two routers contradict each other while one of them does not know
   of a version yet, or no longer. */
static void merge_view (mt_relay_request_t *r,
                        const mt_origin_answer_t *view) {
  if (view->several) r->origin_doubted = true;
  if (view->sole == 0) return;
  if (r->origin_sole != 0 && r->origin_sole != view->sole)
    r->origin_doubted = true;
  r->origin_sole = view->sole;
}

/*
** True if a router of each failure domain, the one where the stream began
** among them, has confirmed that no other version served. A router that began
** it at another version would have told routers of its own domain. Where a
** domain does not reply, it may have been cut off together with the stream.
*/
static bool is_confirmed_by_peers (const mt_relay_request_t *r) {
  return (r->origin_domains & ~r->origin_confirmed) == 0;
}

/* True while replies of routers may still come. */
static bool awaits_replies (const mt_relay_t *relay,
                            const mt_relay_request_t *r) {
  bool settled = r->origin_sole != 0 && !r->origin_doubted &&
                 r->origin_replies >= REPLIES_ENOUGH;
  if (r->origin_replies >= r->origin_asked) return false;
  if (settled && !r->domains_asked) return false;
  return relay->last_tick < r->asked + ANSWER_TIMEOUT_MS;
}

/* Where the last read has failed, the next one is not waited for as long. */
static bool awaits_list_check (const mt_relay_t *relay,
                               const mt_relay_request_t *r) {
  mt_ms_t limit = relay->list_check_failed_at != 0 ? ANSWER_TIMEOUT_MS
                                                   : LIST_CHECK_TIMEOUT_MS;
  return r->check != 0 && !r->list_check_failed &&
         relay->last_tick < r->resumed_at + limit;
}

/* True if the source fails, or takes longer than other routers do. */
static bool is_source_late (const mt_relay_t *relay,
                            const mt_relay_request_t *r) {
  return r->check == 0 || r->list_check_failed ||
         relay->last_tick >= r->resumed_at + ANSWER_TIMEOUT_MS;
}

static mt_resume_decision_t ask_domains (mt_relay_t *relay,
                                         mt_relay_request_t *r) {
  mt_relay_effect_t *fx = mt_relay_effect(relay, MT_RELAY_DO_ASK_DOMAINS);
  fx->request = r->number;
  fx->u.origin = question_about(r);
  r->domains_asked = true;
  r->asked = relay->now;
  return MT_RESUME_WAIT;
}

/* The origin follows neither from the list of engines nor from an owner that
   has replied. */
static mt_resume_decision_t decide_by_record (mt_relay_t *relay,
                                              mt_relay_request_t *r) {
  mt_origin_records_t *records = &relay->records;
  mt_stream_origin_t origin;
  if (r->stream_key == 0) return MT_RESUME_UNKNOWN;
  if (r->origin_replies < r->origin_asked &&
      relay->last_tick < r->asked + ANSWER_TIMEOUT_MS)
    return MT_RESUME_WAIT;
  if (mt_origin_records_find(records, r->stream_key, relay->now, &origin))
    return bind(relay, r, &origin, MT_ORIGIN_RECORD);
  if (mt_origin_records_start_read(records, r->resumed_at, relay->routers,
                                   relay->now))
    mt_relay_effect(relay, MT_RELAY_DO_READ_RECORDS);
  r->records_missed = records->read_at == 0;
  bool may_wait = relay->last_tick < r->resumed_at + RECORDS_TIMEOUT_MS;
  return records->reading_at != 0 && may_wait ? MT_RESUME_WAIT
                                              : MT_RESUME_UNKNOWN;
}

void mt_resume_record_row (mt_relay_t *relay, const mt_origin_report_t *row,
                           mt_ms_t now) {
  mt_origin_report_t valid = *row;
  if (row->key == 0 || row->ttl == 0) return;
  valid.ttl = mt_min(row->ttl, stream_life_ms(relay, row->origin.service));
  relay->counters.origins_read++;
  mt_origin_records_add_read(&relay->records, &valid, now);
}

void mt_resume_records_read (mt_relay_t *relay, bool complete) {
  relay->counters.origin_reads_failed += !complete;
  mt_origin_records_read_ended(&relay->records, complete, relay->now);
}

/*
** No owner knows the origin. That the stream began at the only version that
** is known here follows from the list of engines, but only up to when that
** was last read, and the stream may have begun since. So it is confirmed
** for each resumed stream: by a read of the source that began after its
** caller asked, or, where the source does not answer, by routers of all
** failure domains.
*/
mt_resume_decision_t mt_resume_decide (mt_relay_t *relay,
                                       mt_relay_request_t *r) {
  mt_origin_answer_t own = view_of(relay, r->service);
  bool awaits = awaits_replies(relay, r);
  if (awaits && !r->domains_asked) return MT_RESUME_WAIT;
  merge_view(r, &own);
  if (r->origin_doubted || own.sole == 0) return decide_by_record(relay, r);
  const mt_stream_origin_t origin = {r->service, own.sole};
  if (r->list_checked) return bind(relay, r, &origin, MT_ORIGIN_SOLE);
  bool late = is_source_late(relay, r);
  if (late && is_confirmed_by_peers(r))
    return bind(relay, r, &origin, MT_ORIGIN_PEERS);
  if (late && !r->domains_asked) return ask_domains(relay, r);
  awaits = awaits || awaits_list_check(relay, r);
  return awaits ? MT_RESUME_WAIT : MT_RESUME_UNCONFIRMED;
}

mt_resume_decision_t mt_resume_asked (mt_relay_t *relay,
                                      mt_relay_request_t *r,
                                      const mt_origin_asked_t *asked) {
  r->origin_asked += asked->routers;
  r->origin_domains = asked->domains;
  return mt_resume_decide(relay, r);
}

/* A router that has started since the stream may have begun was not told of
   it. */
static void note_confirmation (const mt_relay_t *relay, mt_relay_request_t *r,
                               const mt_origin_answer_t *answer) {
  mt_ms_t life = stream_life_ms(relay, r->service);
  mt_id_t sole = view_of(relay, r->service).sole;
  if (sole != 0 && answer->sole == sole && answer->up >= life)
    r->origin_confirmed |= answer->domain;
}

mt_resume_decision_t mt_resume_on_answer (mt_relay_t *relay,
                                          mt_relay_request_t *r,
                                          const mt_origin_answer_t *answer) {
  r->origin_replies++;
  mt_resume_on_view(relay, r->service, answer);
  if (answer->known) return bind(relay, r, &answer->origin, MT_ORIGIN_OWNER);
  merge_view(r, answer);
  note_confirmation(relay, r, answer);
  return mt_resume_decide(relay, r);
}

void mt_resume_list_checked (mt_relay_t *relay, uint64_t check,
                             bool complete) {
  relay->counters.list_checks++;
  relay->counters.list_checks_failed += !complete;
  relay->list_check_failed_at = complete ? 0 : relay->now;
  for (size_t i = 0; i < relay->count; i++) {
    mt_relay_request_t *r = relay->list[i];
    if (r->check == 0 || r->check > check) continue;
    if (complete)
      r->list_checked = true;
    else
      r->list_check_failed = true;
  }
}

/* }== */
