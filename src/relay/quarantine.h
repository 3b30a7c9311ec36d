/*
** quarantine.h - keeps requests that crashed engines away from other engines
**
** Connects the life of a request (relay.c) with the table of suspects
** (suspects.h): decides before a placement whether the request may run, and
** reports to its owner what became of the run.
**
** A run that is lost with its connection does not count as an end of the
** engine by itself: connections break for many reasons. It counts once the
** engine's box refuses connections, another engine answers at its address,
** the engine's entry in the list expires, or the engine turns out to have
** restarted. No response and an unreachable box do not count unless the entry
** expires meanwhile, nor do runs at an engine that drains or has left the
** list.
**
** A complete answer clears the request's names. One without framing, which
** ends with its connection, does so once the engine is heard of again; if the
** engine turns out to have ended, the run was lost with it.
*/
#ifndef quarantine_h
#define quarantine_h

#include "relay.h"

typedef enum mt_quarantine_decision_t {
  MT_QUARANTINE_PASS,  /* it may run */
  MT_QUARANTINE_WAIT,  /* it has to wait for the reply of an owner */
  MT_QUARANTINE_BUSY,  /* no engine or no lease is available for it */
  MT_QUARANTINE_REFUSE /* it is in quarantine */
} mt_quarantine_decision_t;

/* Whether a request that has just arrived may run. */
mt_quarantine_decision_t mt_quarantine_check (mt_relay_t *relay,
                                              mt_relay_request_t *request);

/* Handles an owner's reply to `msg`. The owner of the request is asked for a
   lease first, then the owner of the engine that runs the fewest requests,
   since those would be lost if the trial crashes it. */
mt_quarantine_decision_t
mt_quarantine_on_verdict (mt_relay_t *relay, mt_relay_request_t *request,
                          const mt_suspect_message_t *msg,
                          mt_trial_verdict_t verdict);

/* True if the owner has not replied in time. */
bool mt_quarantine_timed_out (const mt_relay_t *relay,
                              const mt_relay_request_t *request);

/* True if the request must not be retried after a run, since it may crash the
   next engine, too. */
bool mt_quarantine_forbids_retry (const mt_relay_t *relay,
                                  const mt_relay_request_t *request);

/* How long the request is still in quarantine; 0: it is not. */
mt_ms_t mt_quarantine_left (const mt_relay_t *relay,
                            const mt_relay_request_t *request);

/* An event of the current attempt's stream has come. */
void mt_quarantine_run_progressed (mt_relay_t *relay,
                                   mt_relay_request_t *request);

/* The current attempt's connection ended before its answer was complete. */
void mt_quarantine_run_lost (mt_relay_t *relay, mt_relay_request_t *request);

/* The current attempt ends as its response is invalid; the connection was
   open. */
void mt_quarantine_run_invalid (mt_relay_t *relay,
                                mt_relay_request_t *request);

/* The current attempt's answer is complete, or seems so if it is not framed.
 */
void mt_quarantine_run_answered (mt_relay_t *relay,
                                 mt_relay_request_t *request);

/* Releases the leases of a request that has ended. */
void mt_quarantine_release_leases (mt_relay_t *relay,
                                   mt_relay_request_t *request);

/* The engine has ended: each run lost there recently counts as an end under
   its request. May be called between steps; the next step reports to the
   owners. */
void mt_quarantine_engine_ended (mt_relay_t *relay, uint64_t engine);

/* A connection to the engine was made for a probe. */
void mt_quarantine_engine_reached (mt_relay_t *relay,
                                   const mt_engine_t *engine);

/* Sends the owners the reports that are due. */
void mt_quarantine_send_reports (mt_relay_t *relay);

/* Returns a lease that was granted after its request had stopped waiting. */
void mt_quarantine_return_lease (mt_relay_t *relay,
                                 const mt_suspect_message_t *msg);

/* Repeats reports, since datagrams may be lost; confirms answers, and drops
   old runs. */
void mt_quarantine_tick (mt_relay_t *relay);

#endif
