/*
** mtpublish.h - the operators' writes: declarations and policies to the store
**
** A change writes the parts that are new, each under its digest, and then
** swaps the head: routers see all of it or nothing. A write whose
** acknowledgement is lost is resolved by reading the head back.
*/
#ifndef mtpublish_h
#define mtpublish_h

#include "mtfleet.h"
#include "mtset.h"

/* The configuration as it stands in the store. */
typedef struct mt_stand_t {
  int64_t stored;   /* the store's revision of the head, 0: none yet */
  int64_t revision; /* ours */
  json_t *doc;      /* pools, targets, workspaces, policies */
  json_t *history;  /* array of {revision, time, what} */
} mt_stand_t;

typedef enum mt_uerr_t {
  MT_U_OK,
  MT_U_STORE,  /* out of reach */
  MT_U_LOST,   /* another operator's change came first */
  MT_U_FAULTY, /* the configuration would not be accepted */
  MT_U_BROKEN  /* what stands in the store cannot be read */
} mt_uerr_t;

typedef struct mt_operator_t mt_operator_t;

/* A connection to the store for one command. */
mt_operator_t *mtU_open (const mt_addr_t *store);
void mtU_close (mt_operator_t *U);

mt_uerr_t mtU_read (mt_operator_t *U, mt_stand_t *out);
void mtU_free (mt_stand_t *s);

/*
** Puts `doc` in place of what `was` says stands there. `revision` gets the
** new one; on MT_U_LOST it is the winner's. Faults say why it is refused.
*/
mt_uerr_t mtU_write (mt_operator_t *U, const mt_stand_t *was, json_t *doc,
                     const char *what, int64_t *revision, mt_faults_t *fs);

/* Reads a directory of declarations into tables; absent files are left out.
 */
json_t *mtU_load (const char *dir, mt_faults_t *fs);

/* What stands, with the declared tables in place of its own. */
json_t *mtU_merge (const mt_stand_t *was, const json_t *declared);

/* Prints one line per difference; returns their number. */
size_t mtU_diff (const json_t *from, const json_t *to);

#endif
