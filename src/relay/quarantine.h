/*
** quarantine.h - keeps engines from requests under which others ended
**
** Stands between the life of a request (relay.c) and what is known of it
** (suspects.h): says before each placement whether it may run, and tells its
** owner what came of it.
**
** A run that is lost with its connection is no end by itself: connections
** break, are cut and reset for many reasons. It counts as an end once the
** engine's machine says that nobody listens there, its entry lapses, or it
** turns out to have started again. Silence and a machine out of reach are no
** ends, unless the entry lapses meanwhile; nor is what an engine loses that
** had said, or shown, that it leaves.
*/
#ifndef quarantine_h
#define quarantine_h

#include "relay.h"

typedef enum mt_quarantine_decision_t {
  MT_QUARANTINE_PASS,
  MT_QUARANTINE_ASK,   /* an owner has to say; the effect is there */
  MT_QUARANTINE_BUSY,  /* no engine, or none for it now */
  MT_QUARANTINE_REFUSE /* it is in quarantine */
} mt_quarantine_decision_t;

mt_quarantine_decision_t mt_quarantine_check (mt_relay_t *relay,
                                              mt_relay_request_t *request);

/* What follows from an owner's answer: the request's is asked first, then
   that of the engine where the least runs that would end with it. */
mt_quarantine_decision_t
mt_quarantine_on_verdict (mt_relay_t *relay, mt_relay_request_t *request,
                          const mt_suspect_message_t *word,
                          mt_trial_verdict_t verdict);

/* True when the owner has let a question rest for too long. */
bool mt_quarantine_timed_out (const mt_relay_t *relay,
                              const mt_relay_request_t *request);

/* True for a request that is not to be sent to one more engine after a run:
   its next one may end as well. */
bool mt_quarantine_forbids_retry (const mt_relay_t *relay,
                                  const mt_relay_request_t *request);

/* The current attempt's connection ended before a whole answer. */
void mt_quarantine_run_lost (mt_relay_t *relay, mt_relay_request_t *request);

/* The current attempt's answer is whole. */
void mt_quarantine_run_answered (mt_relay_t *relay,
                                 mt_relay_request_t *request);

/* The request is over, whatever came of it. */
void mt_quarantine_release_leases (mt_relay_t *relay,
                                   mt_relay_request_t *request);

/* The engine has ended: what was lost there lately was lost with it. May be
   called between steps; the next tells the owners. */
void mt_quarantine_engine_ended (mt_relay_t *relay, uint64_t engine);

/* Tells the owners now what is due. */
void mt_quarantine_send_reports (mt_relay_t *relay);

/* A lease was granted to a request that does not wait for it any more. */
void mt_quarantine_return_lease (mt_relay_t *relay,
                                 const mt_suspect_message_t *word);

/* Repeats what may have been lost on its way; forgets what is over. */
void mt_quarantine_tick (mt_relay_t *relay);

#endif
