/*
** suspect_policy.h - what the suspects among a request's names mean for it
**
** Needs nothing but the table of suspects (suspects.h).
*/
#ifndef suspect_policy_h
#define suspect_policy_h

#include "suspects.h"

typedef enum mt_suspect_decision_t {
  MT_SUSPECT_PASS,  /* the request may run */
  MT_SUSPECT_TRIAL, /* it needs the lease of `name` */
  MT_SUSPECT_REFUSE /* `name` is in quarantine, for `left` ms */
} mt_suspect_decision_t;

typedef struct mt_suspect_ruling_t {
  mt_suspect_decision_t decision;
  uint64_t name;
  mt_ms_t left;
} mt_suspect_ruling_t;

/*
** Decides on a request with these names, of a workspace. A trial takes the
** lease of the name with the most ends: its answer clears most, and its end
** is the strongest evidence. A name that this router has seen answered since
** its first end is no suspect here, though its owner may not know yet: a
** popular name never waits for a lease.
*/
mt_suspect_ruling_t mt_suspect_rule (const mt_suspects_t *suspects,
                                     const uint64_t *names, size_t count,
                                     mt_id_t workspace, mt_ms_t now);

/* True if engines ended under both names together only: a copy that holds the
   lease of one runs alone as to the other, too. */
bool mt_suspect_is_inseparable (const mt_suspects_t *suspects, uint64_t name,
                                uint64_t other);

#endif
