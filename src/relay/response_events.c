/*
** response_events.c - the events in responses of engines
*/
#include "response_events.h"

/* How streams of the engine's software version begin. */
static mt_first_ids_t *first_ids_of (mt_relay_t *relay,
                                     const mt_engine_t *e) {
  mt_service_versions_t *all = &mt_relay_service(relay, e->service)->versions;
  mt_first_ids_t *found = mt_service_versions_first_ids(all, e->version);
  if (found != NULL) return found;
  mt_service_versions_listed(all, e->version, relay->now);
  return mt_service_versions_first_ids(all, e->version);
}

static mt_event_position_t position_of (mt_relay_t *relay,
                                        const mt_relay_request_t *r,
                                        const mt_attempt_t *a) {
  mt_event_position_t at = {a->last_id, r->last_event, -1};
  if (at.previous < 0 && at.last < 0)
    at.first = mt_first_ids_known(first_ids_of(relay, a->engine));
  return at;
}

/* An event that is refused only as the streams of its engine's version begin
   with another id also counts: they may have changed. */
static void note_other_first_id (mt_relay_t *relay, const mt_attempt_t *a,
                                 const mt_event_position_t *at,
                                 const mt_stream_event_t *event) {
  const mt_event_position_t any = {at->previous, at->last, -1};
  if (at->first < 0) return;
  if (mt_event_check(&relay->params.events, &any, event) == MT_EVENT_DUE)
    mt_first_ids_add(first_ids_of(relay, a->engine), event->id);
}

mt_event_verdict_t mt_response_next_event (mt_relay_t *relay,
                                           const mt_relay_request_t *r,
                                           mt_attempt_t *a,
                                           mt_stream_event_t *event) {
  while (mt_event_stream_peek(&a->stream, event)) {
    if (a->last_id < 0) mt_event_drop_mark(event);
    const mt_event_position_t at = position_of(relay, r, a);
    mt_event_verdict_t verdict =
        mt_event_check(&relay->params.events, &at, event);
    if (verdict == MT_EVENT_DUE || verdict == MT_EVENT_KNOWN) return verdict;
    relay->counters.checked[verdict]++;
    if (mt_event_is_fault(verdict)) {
      note_other_first_id(relay, a, &at, event);
      return verdict;
    }
    a->has_others = true;
    mt_event_stream_consume(&a->stream, event);
  }
  return MT_EVENT_NOTHING;
}

mt_event_verdict_t mt_response_fault_ahead (mt_relay_t *relay,
                                            const mt_relay_request_t *r,
                                            const mt_attempt_t *a) {
  mt_event_stream_t ahead = a->stream; /* its bytes are not touched */
  mt_event_position_t at = position_of(relay, r, a);
  mt_stream_event_t event;
  while (mt_event_stream_peek(&ahead, &event)) {
    if (at.previous < 0) mt_event_drop_mark(&event);
    mt_event_verdict_t verdict =
        mt_event_check(&relay->params.events, &at, &event);
    if (mt_event_is_fault(verdict)) return verdict;
    mt_event_stream_consume(&ahead, &event);
    if (verdict == MT_EVENT_NOTHING) continue;
    at.previous = event.id;
    if (verdict == MT_EVENT_DUE) at.last = event.id;
  }
  return MT_EVENT_NOTHING;
}

void mt_response_take_event (mt_relay_t *relay, mt_attempt_t *a,
                             const mt_stream_event_t *event,
                             mt_event_verdict_t verdict) {
  relay->counters.checked[verdict]++;
  relay->counters.events++;
  a->last_id = event->id;
  a->has_events = true;
  mt_event_stream_consume(&a->stream, event);
}

void mt_response_note_first_id (mt_relay_t *relay,
                                const mt_relay_request_t *r) {
  bool began = r->first_event < 0 && r->events_count == 1;
  if (began && r->current.last_id == r->last_event)
    mt_first_ids_add(first_ids_of(relay, r->current.engine), r->last_event);
}
