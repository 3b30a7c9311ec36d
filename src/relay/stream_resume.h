/*
** stream_resume.h - keeps a stream at the software version that began it
**
** A stream is bound to the version of the engine that its first event came
** from, and goes on only there: within one answer, and when its caller
** resumes it with another request, often at another router since the first
** one is gone. So the router that begins a stream keeps its origin and tells
** a few owners, routers that follow from a hash of the stream's key, before
** it forwards the first event. A router that does not know the origin of a
** stream asks them.
**
** While a single version serves nothing has to be told: the origin follows
** from the list of engines. A router relies on that only if its list has been
** up to date, and has had a single version, for as long as a stream may live,
** or since a router reported the same of its own list. Until then it tells
** the origins of its streams.
**
** While several versions serve, origins are also recorded at the source, for
** when the router that began a stream and all of its owners lose power
** together (origin_records.h).
**
** A router that resumes a stream has its list confirmed first, by a read of
** the source or by routers of every failure domain: a version may have come
** that it has not heard of. A router that cannot tell where a stream began
** refuses it.
*/
#ifndef stream_resume_h
#define stream_resume_h

#include "relay.h"

typedef enum mt_resume_decision_t {
  MT_RESUME_PASS,        /* it is bound to the version that began it */
  MT_RESUME_WAIT,        /* it has to wait for replies of owners */
  MT_RESUME_UNKNOWN,     /* nobody that was reached knows its origin */
  MT_RESUME_UNCONFIRMED, /* it would follow from the list of engines, which
                            could not be confirmed */
  MT_RESUME_GONE         /* no engine of its version serves any more */
} mt_resume_decision_t;

/* {== At the router that begins a stream =============================== */

/* The first event of the request's response is about to be forwarded: binds
   the stream and tells its origin. */
void mt_resume_began (mt_relay_t *relay, mt_relay_request_t *request);

/* The write of this router's record has ended; false: the source has not
   taken it. */
void mt_resume_record_written (mt_relay_t *relay, bool taken);

/* The source may have lost the record. */
void mt_resume_record_lost (mt_relay_t *relay);

/* The engine has restarted at another version: streams that began there since
   the list of engines was last known to be right may be of either. */
void mt_resume_version_changed (mt_relay_t *relay, const mt_engine_t *engine);

/* Tells the origins of running streams that were not told, if they no longer
   follow from the list of engines; records them while several versions serve;
   asks routers that have run for longer which versions there were. */
void mt_resume_tick (mt_relay_t *relay);

/* }== */

/* {== At the router where a stream is resumed ========================== */

/* Decides about a request that resumes a stream. */
mt_resume_decision_t mt_resume_check (mt_relay_t *relay,
                                      mt_relay_request_t *request);
/* These routers were asked. */
mt_resume_decision_t mt_resume_asked (mt_relay_t *relay,
                                      mt_relay_request_t *request,
                                      const mt_origin_asked_t *asked);
mt_resume_decision_t mt_resume_on_answer (mt_relay_t *relay,
                                          mt_relay_request_t *request,
                                          const mt_origin_answer_t *answer);
/* A row of a router's record was read. */
void mt_resume_record_row (mt_relay_t *relay, const mt_origin_report_t *row,
                           mt_ms_t now);
/* The read of the records has ended. The requests that wait for it can be
   decided about. */
void mt_resume_records_read (mt_relay_t *relay, bool complete);

/* Decides by the replies that have come, and by the source. */
mt_resume_decision_t mt_resume_decide (mt_relay_t *relay,
                                       mt_relay_request_t *request);

/* False if the request is bound to a version of which no engine is listed as
   ready. */
bool mt_resume_is_served (const mt_relay_t *relay,
                          const mt_relay_request_t *request);

/* True if the engine is not of the version that the request is bound to. */
bool mt_resume_excludes (const mt_relay_t *relay,
                         const mt_relay_request_t *request,
                         const mt_engine_t *engine);

/* }== */

/* {== What this router knows =========================================== */

/* The list of engines is up to date, with all changes up to `rev`: no change
   of it is known that was made by `confirmed`, when a router last read the
   source. */
void mt_resume_list_is_current (mt_relay_t *relay, mt_ms_t confirmed,
                                mt_revision_t rev, mt_ms_t now);

/* An engine was removed from the list of which no entry was read here. */
void mt_resume_engine_missed (mt_relay_t *relay);

/* The whole list was read, without the changes that led to it: engines may
   have come and gone since it was last confirmed. */
void mt_resume_list_replaced (mt_relay_t *relay, mt_ms_t now);

/*
** A read of the changes of the list at the source has ended, which began
** after the CHECK_LIST of this number. `complete`: all changes that were
** made until then are applied. The requests that wait for it can be decided
** about.
*/
void mt_resume_list_checked (mt_relay_t *relay, uint64_t check,
                             bool complete);

/* The software version of the process that runs as this engine now; 0: it
   cannot be told, as it may have restarted since its entry was read. */
mt_id_t mt_resume_engine_version (const mt_relay_t *relay,
                                  const mt_engine_t *engine);

/* A caller of a stream waits for `deadline` ms. */
void mt_resume_note_deadline (mt_relay_t *relay, mt_id_t service,
                              mt_ms_t deadline);

/* What another router's list of engines tells of the service's streams. */
void mt_resume_on_view (mt_relay_t *relay, mt_id_t service,
                        const mt_origin_answer_t *view);

/* Another router told the origin of a stream. */
void mt_resume_told (mt_relay_t *relay, const mt_origin_report_t *report,
                     mt_ms_t now);

/* The answer to another router that asks about a stream, of this service if
   no origin is known. */
mt_origin_answer_t mt_resume_answer (mt_relay_t *relay, uint64_t key,
                                     mt_id_t service, mt_ms_t now);

/* }== */

#endif
