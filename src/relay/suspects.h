/*
** suspects.h - what is suspected of crashing engines, and its quarantine
**
** An engine that ends takes all its running requests with it, and nothing
** shows which of them caused the end, nor whether it was the whole request or
** one segment of its prompt. So each request has several names: the digest of
** its text, and one for each prompt segment that it shares with others. What
** crashes engines is common to many ends, while a harmless name is answered
** completely sooner or later. The ends of engines are counted for each name
** since its last complete answer. After two it is on probation: one copy at a
** time runs in the whole fleet, as a trial, at an engine where no other
** suspect runs. After three, of which two were of a copy that ran alone, it
** is in quarantine and requests with it are refused for some time. Ends that
** come together, as when a failure domain loses power, put a name on
** probation at most, and one answer clears it. If the name had been answered
** before, they count as one end: popular names run at many engines, and after
** an outage all of them would wait for one copy each.
**
** Another request at the engine may have caused an end. An end of a copy that
** ran alone therefore counts as such only if no other run of a suspect was at
** that engine; otherwise a harmless request is refused when two new crashing
** ones join its trials. The end counts again once the other suspect is
** cleared: the state is always derived from the list of ends.
**
** Each name is owned by one router, which counts its ends and grants its
** trials. Rows of names on probation and in quarantine are gossiped, so that
** every router has them and another one can take over as owner; the row with
** the greater version wins.
*/
#ifndef suspects_h
#define suspects_h

#include "lease_table.h"

#define MT_SUSPECT_ENDS_MAX 4

typedef enum mt_suspicion_t {
  MT_SUSPICION_NONE,       /* unknown, or cleared */
  MT_SUSPICION_NOTED,      /* an engine ended; no restriction yet */
  MT_SUSPICION_PROBATION,  /* runs one copy at a time */
  MT_SUSPICION_QUARANTINE, /* is refused */
  MT_SUSPICION_COUNT
} mt_suspicion_t;

/* The name of a prompt segment among suspects, which differs from the digest
   of any request; never 0. */
uint64_t mt_suspect_segment (uint64_t segment);

/* What a name is of, in logs and in the operators' list: "digest" of a
   request, or "part" of a prompt. */
const char *mt_suspect_name_kind (uint64_t name);

/* The end of an engine that was running the request. */
typedef struct mt_suspect_end_t {
  uint64_t engine;
  mt_ms_t at;
  bool alone;        /* no other copy of the request ran */
  uint64_t run;      /* identifies the run that was lost; 0: unknown */
  mt_id_t workspace; /* of that run; 0: unknown or none */
} mt_suspect_end_t;

typedef struct mt_suspect_t {
  uint64_t digest, version; /* the version rises with each change */
  mt_suspect_end_t list[MT_SUSPECT_ENDS_MAX]; /* the last ends */
  int listed;
  int earlier, earlier_alone; /* counts of ends that are no longer listed */
  bool known;      /* it had been answered when an engine ended under it */
  mt_ms_t since;   /* time of the first end, else of the clearing */
  mt_ms_t expires; /* when the entry is dropped */
} mt_suspect_t;

/* A suspect as it is gossiped: with durations in place of times. */
typedef struct mt_suspect_row_t {
  uint64_t digest, version;
  mt_suspect_end_t list[MT_SUSPECT_ENDS_MAX]; /* `at`: age */
  int listed, earlier, earlier_alone;
  mt_ms_t age, expires_in; /* time since `since`, and until `expires` */
  bool known;
} mt_suspect_row_t;

/* An owner's reply to a router that asks for a lease. */
typedef enum mt_trial_verdict_t {
  MT_TRIAL_FREE,    /* no lease is needed: any number of copies may run */
  MT_TRIAL_GRANTED, /* granted: no other may run until it is released */
  MT_TRIAL_BUSY,    /* another holder has the lease */
  MT_TRIAL_REFUSED, /* the request is in quarantine */
  MT_TRIAL_COUNT
} mt_trial_verdict_t;

/* Messages to the owner of a request, or to the owner of an engine. */
typedef enum mt_suspect_message_kind_t {
  MT_SUSPECT_MESSAGE_ENDED,    /* an engine ended while running the request */
  MT_SUSPECT_MESSAGE_ANSWERED, /* the request was answered completely */
  MT_SUSPECT_MESSAGE_LEASE,    /* asks for the lease to run the request */
  MT_SUSPECT_MESSAGE_RELEASE,  /* releases that lease */
  MT_SUSPECT_MESSAGE_LEASE_ENGINE,   /* asks for the lease of the engine */
  MT_SUSPECT_MESSAGE_RELEASE_ENGINE, /* releases that lease */
  MT_SUSPECT_MESSAGE_COUNT
} mt_suspect_message_kind_t;

typedef struct mt_suspect_message_t {
  mt_suspect_message_kind_t kind;
  uint64_t digest;
  uint64_t engine;   /* ENDED, LEASE_ENGINE, RELEASE_ENGINE */
  uint64_t request;  /* its number at the sender; identifies the holder */
  bool alone;        /* ENDED: no other copy ran */
  mt_ms_t age;       /* ENDED, ANSWERED: time since that event */
  mt_ms_t lease;     /* LEASE, LEASE_ENGINE: longest duration */
  mt_id_t workspace; /* ENDED, LEASE: of the request; 0: none */
  bool known;        /* ENDED: the sender has had an answer to it before */
} mt_suspect_message_t;

/* The last complete answer to a request at this router. */
typedef struct mt_suspect_answer_t {
  uint64_t digest;
  mt_ms_t at;
} mt_suspect_answer_t;

typedef struct mt_suspects_t {
  mt_map_t by_digest;           /* digest -> mt_suspect_t, owned */
  mt_lease_table_t leases;      /* of running suspects and of their engines */
  size_t cursor;                /* where the search for an eviction goes on */
  mt_suspect_answer_t *answers; /* ring of the last complete answers */
  mt_map_t answer_slots;        /* digest -> index in the ring, plus 1 */
  size_t answers_added;         /* how many were added to the ring */
} mt_suspects_t;

void mt_suspects_free (mt_suspects_t *suspects);

/* NULL when nothing is known of it. */
mt_suspect_t *mt_suspects_get (const mt_suspects_t *suspects,
                               uint64_t digest);

/* State of a request at some time. */
typedef struct mt_suspect_status_t {
  mt_suspicion_t state;
  int ends, alone; /* all ends; those that count as of a copy alone */
  mt_ms_t left;    /* remaining time of the quarantine; else 0 */
} mt_suspect_status_t;

mt_suspect_status_t mt_suspects_status (const mt_suspects_t *suspects,
                                        uint64_t digest, mt_ms_t now);
mt_suspicion_t mt_suspects_state (const mt_suspects_t *suspects,
                                  uint64_t digest, mt_ms_t now);

/* True if two engines or more have ended since the last answer. */
bool mt_suspect_is_restricted (const mt_suspect_t *suspect);

/* True if each listed end of `other` is one of the suspect as well. */
bool mt_suspect_covers (const mt_suspect_t *suspect,
                        const mt_suspect_t *other);

/*
** True if a quarantine of the suspect holds for the workspace: an engine
** ended under it there, or in two workspaces or more. Callers choose the
** names of their segments, so what a single workspace sends may not keep
** another one's work from running.
*/
bool mt_suspect_applies_to (const mt_suspect_t *suspect, mt_id_t workspace);

/*
** True if another suspect, which is not one of `names`, was at all ends of
** this one: so far they came together, and either may be the cause. A request
** that has this one alone tells which.
*/
bool mt_suspects_is_explained (const mt_suspects_t *suspects,
                               const mt_suspect_t *suspect,
                               const uint64_t *names, size_t count);

/* {== At the owner ===================================================== */

/* Counts an end once, however often it is reported. `known`: the name had
   been answered before. True if the suspect's row has changed and is to be
   sent to other routers. */
bool mt_suspects_add_end (mt_suspects_t *suspects, uint64_t digest,
                          const mt_suspect_end_t *end, bool known,
                          mt_ms_t now);

/* Clears the ends up to a complete answer at `at`. True if the suspect's row
   is to be sent to other routers. */
bool mt_suspects_clear (mt_suspects_t *suspects, uint64_t digest, mt_ms_t at,
                        mt_ms_t now);

/* Asks for the lease to run a request of a workspace with that name; there is
   one. */
mt_trial_verdict_t mt_suspects_lease (mt_suspects_t *suspects,
                                      uint64_t digest, mt_id_t workspace,
                                      uint64_t holder, mt_ms_t lease,
                                      mt_ms_t now);

/* Asks for the lease to run a suspect at the engine. */
mt_trial_verdict_t mt_suspects_lease_engine (mt_suspects_t *suspects,
                                             uint64_t engine, uint64_t holder,
                                             mt_ms_t lease, mt_ms_t now);

/* Releases the holder's lease of a request or an engine. */
void mt_suspects_release (mt_suspects_t *suspects, uint64_t name,
                          uint64_t holder);

/* }== */

/* {== Gossip ============================================================ */

mt_suspect_row_t mt_suspects_row (const mt_suspect_t *suspect, mt_ms_t now);

/* Merges another router's row; false if it is not newer. */
bool mt_suspects_merge (mt_suspects_t *suspects, const mt_suspect_row_t *row,
                        mt_ms_t now);

/* Gets up to `max` rows of suspects of which a copy that ran alone was lost:
   those that a router without them must have first. Returns their number. */
size_t mt_suspects_list_tried (const mt_suspects_t *suspects,
                               mt_suspect_row_t *rows, size_t max,
                               mt_ms_t now);

/* Gets up to `max` rows to be gossiped, from `position` in the table on;
   advances the position and returns the number of rows. */
size_t mt_suspects_list (const mt_suspects_t *suspects, size_t *position,
                         mt_suspect_row_t *rows, size_t max, mt_ms_t now);

/* }== */

/* {== Answers at this router ============================================ */

/* Records that the request was answered completely. */
void mt_suspects_record_answer (mt_suspects_t *suspects, uint64_t digest,
                                mt_ms_t now);

/* Time of its last complete answer at this router; 0: none is recorded. */
mt_ms_t mt_suspects_last_answer (const mt_suspects_t *suspects,
                                 uint64_t digest);

/* }== */

/* The number of suspects in a state. */
size_t mt_suspects_count (const mt_suspects_t *suspects, mt_suspicion_t state,
                          mt_ms_t now);

/* Drops expired entries and leases; call it several times a second. */
void mt_suspects_expire (mt_suspects_t *suspects, mt_ms_t now);

/* A state's name in logs, metrics and the operators' list. */
const char *mt_suspicion_name (mt_suspicion_t state);

#endif
