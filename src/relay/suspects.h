/*
** suspects.h - requests under which engines ended, and what that allows
**
** An engine that ends takes with it all that runs there, and nobody sees
** which of these requests did it. One request is in common to many ends; a
** harmless one is answered whole sooner or later. So ends are counted for
** each request since it was last answered whole: after two it goes on
** probation, one copy at a time in the whole fleet, at an engine where no
** other suspect runs; when two engines have ended under a copy that ran
** alone, the request is refused for some time. Ends that come together, as
** when a failure domain loses power, put a request on probation at most, and
** one answer clears it.
**
** Who is blamed for an end may be a bystander. An end counts only while no
** other suspect was there: with ends counted as they came, a harmless
** request was refused whose trials two new deadly ones had joined. As the
** other is cleared the end counts again, so nothing is derived but from the
** ends themselves.
**
** Each request has one owner among the routers, which counts ends and hands
** out trials. Rows of the requests on probation and in quarantine go round,
** so that all routers have them and another can take over as owner; who has
** the greater version is right.
*/
#ifndef suspects_h
#define suspects_h

#include "lease_table.h"

#define MT_SUSPECT_ENDS_MAX 4

typedef enum mt_suspicion_t {
  MT_SUSPICION_NONE,       /* it was cleared */
  MT_SUSPICION_NOTED,      /* an engine ended; nothing follows from that */
  MT_SUSPICION_PROBATION,  /* it runs one copy at a time */
  MT_SUSPICION_QUARANTINE, /* it is refused */
  MT_SUSPICION_COUNT
} mt_suspicion_t;

/* An engine ended under the request. */
typedef struct mt_suspect_end_t {
  uint64_t engine;
  mt_ms_t at;
  bool alone; /* no other copy of the request ran */
} mt_suspect_end_t;

typedef struct mt_suspect_t {
  uint64_t digest, version;
  mt_suspect_end_t list[MT_SUSPECT_ENDS_MAX]; /* the last ones */
  int listed;
  int earlier, earlier_alone; /* that are only counted */
  mt_ms_t since;   /* the first of the ends; without any: it was cleared */
  mt_ms_t expires; /* it is forgotten then */
} mt_suspect_t;

/* The same for other routers: times are ms before or from now. */
typedef struct mt_suspect_row_t {
  uint64_t digest, version;
  mt_suspect_end_t list[MT_SUSPECT_ENDS_MAX]; /* `at`: so long ago */
  int listed, earlier, earlier_alone;
  mt_ms_t age, expires_in; /* since `since`, until `expires` */
} mt_suspect_row_t;

/* An owner's word to who wants to run a copy. */
typedef enum mt_trial_verdict_t {
  MT_TRIAL_FREE,    /* nothing against it: any number may run */
  MT_TRIAL_GRANTED, /* this one may, and no other until it is over */
  MT_TRIAL_BUSY,    /* another one runs */
  MT_TRIAL_REFUSED, /* it is in quarantine */
  MT_TRIAL_COUNT
} mt_trial_verdict_t;

/* What a router tells the owner of a request. */
typedef enum mt_suspect_message_kind_t {
  MT_SUSPECT_MESSAGE_ENDED,        /* an engine ended under it */
  MT_SUSPECT_MESSAGE_ANSWERED,     /* it was answered whole */
  MT_SUSPECT_MESSAGE_LEASE,        /* may it run? */
  MT_SUSPECT_MESSAGE_RELEASE,      /* it does not run any more */
  MT_SUSPECT_MESSAGE_LEASE_ENGINE, /* of an engine's: may a suspect run there?
                                    */
  MT_SUSPECT_MESSAGE_RELEASE_ENGINE, /* it does not run there any more */
  MT_SUSPECT_MESSAGE_COUNT
} mt_suspect_message_kind_t;

typedef struct mt_suspect_message_t {
  mt_suspect_message_kind_t kind;
  uint64_t digest;
  uint64_t engine;  /* ENDED, HOLD, DROP */
  uint64_t request; /* its number at that router, as leases go */
  bool alone;       /* ENDED: no other copy ran */
  mt_ms_t age;      /* ENDED, ANSWERED: since then */
  mt_ms_t lease;    /* TRY, HOLD: for so long at most */
} mt_suspect_message_t;

typedef struct mt_suspect_answer_t {
  uint64_t digest;
  mt_ms_t at;
} mt_suspect_answer_t;

typedef struct mt_suspects_t {
  mt_map_t by_digest;           /* mt_suspect_t, owned */
  mt_lease_table_t leases;      /* of suspects that run, and where they do */
  size_t cursor;                /* of the search for one to forget */
  mt_suspect_answer_t *answers; /* a ring of the last whole answers */
  mt_map_t answer_slots;        /* digest -> its place in the ring, plus 1 */
  size_t answers_added;
} mt_suspects_t;

void mt_suspects_free (mt_suspects_t *suspects);

/* NULL when nothing is known of it. */
mt_suspect_t *mt_suspects_get (const mt_suspects_t *suspects,
                               uint64_t digest);

/* What holds of a request now. */
typedef struct mt_suspect_status_t {
  mt_suspicion_t state;
  int ends, alone; /* alone: that count */
  mt_ms_t left;    /* of the quarantine */
} mt_suspect_status_t;

mt_suspect_status_t mt_suspects_status (const mt_suspects_t *suspects,
                                        uint64_t digest, mt_ms_t now);
mt_suspicion_t mt_suspects_state (const mt_suspects_t *suspects,
                                  uint64_t digest, mt_ms_t now);

/* {== The owner's part ================================================= */

/* Counts an end once, whoever tells of it; true when others have to know. */
bool mt_suspects_add_end (mt_suspects_t *suspects, uint64_t digest,
                          const mt_suspect_end_t *end, mt_ms_t now);

/* It was answered whole: earlier ends say nothing. True as above. */
bool mt_suspects_clear (mt_suspects_t *suspects, uint64_t digest, mt_ms_t at,
                        mt_ms_t now);

/* Hands out the one lease to run it. */
mt_trial_verdict_t mt_suspects_lease (mt_suspects_t *suspects,
                                      uint64_t digest, uint64_t holder,
                                      mt_ms_t lease, mt_ms_t now);

/* The same of an engine, for any suspect to run there. */
mt_trial_verdict_t mt_suspects_lease_engine (mt_suspects_t *suspects,
                                             uint64_t engine, uint64_t holder,
                                             mt_ms_t lease, mt_ms_t now);

/* The holder does not need the lease of a request or an engine any more. */
void mt_suspects_release (mt_suspects_t *suspects, uint64_t name,
                          uint64_t holder);

/* }== */

/* {== What goes round =================================================== */

mt_suspect_row_t mt_suspects_row (const mt_suspect_t *suspect, mt_ms_t now);

/* Takes another router's row; false when it tells nothing newer. */
bool mt_suspects_merge (mt_suspects_t *suspects, const mt_suspect_row_t *row,
                        mt_ms_t now);

/* Rows that others should have, from a place in the table on; returns how
   many, at most `most`, and moves the place. */
size_t mt_suspects_list (const mt_suspects_t *suspects, size_t *place,
                         mt_suspect_row_t *rows, size_t most, mt_ms_t now);

/* }== */

/* {== Answers here ====================================================== */

void mt_suspects_note_answer (mt_suspects_t *suspects, uint64_t digest,
                              mt_ms_t now);

/* When it was last answered whole at this router; 0: not lately. */
mt_ms_t mt_suspects_last_answer (const mt_suspects_t *suspects,
                                 uint64_t digest);

/* }== */

/* How many are in a state. */
size_t mt_suspects_count (const mt_suspects_t *suspects, mt_suspicion_t state,
                          mt_ms_t now);

/* Forgets what is over; some times a second. */
void mt_suspects_expire (mt_suspects_t *suspects, mt_ms_t now);

const char *mt_suspicion_name (mt_suspicion_t state);

#endif
