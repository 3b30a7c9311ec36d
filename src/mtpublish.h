/*
** mtpublish.h - publishes declarations and policies to the store
**
** A change writes the new parts, each under its digest, and then replaces the
** head by compare-and-swap: routers see all of the change or nothing. When an
** acknowledgement is lost, the head is read back to learn the outcome.
*/
#ifndef mtpublish_h
#define mtpublish_h

#include "mtfleet.h"
#include "mtset.h"

/* The configuration in the store at one revision. */
typedef struct mt_snapshot_t {
  int64_t head_revision; /* the store's, of the head key; 0: no head */
  int64_t revision;      /* the configuration's own, in the head */
  json_t *doc;           /* pools, targets, workspaces, policies */
  json_t *history;       /* array of {revision, time, what} */
} mt_snapshot_t;

typedef enum mt_uerr_t {
  MT_U_OK,
  MT_U_UNREACHABLE, /* no usable reply from the store */
  MT_U_CONFLICT,    /* another change has replaced the head */
  MT_U_INVALID,     /* the new configuration is invalid or too large */
  MT_U_CORRUPT      /* head or a part: missing, unreadable or invalid */
} mt_uerr_t;

typedef struct mt_publisher_t mt_publisher_t;

/* Opens a store client with an event loop of its own; calls block. */
mt_publisher_t *mtU_open (const mt_addr_t *store);
void mtU_close (mt_publisher_t *U);

/* Reads the configuration; without any, `out` has empty tables. */
mt_uerr_t mtU_read (mt_publisher_t *U, mt_snapshot_t *out);
void mtU_free (mt_snapshot_t *s);

/*
** Publishes `doc` if the head is still the one of `base`. `revision` gets the
** new revision, or on MT_U_CONFLICT that of the head in force. `summary` goes
** into the history. On MT_U_INVALID `fs` lists the errors.
*/
mt_uerr_t mtU_write (mt_publisher_t *U, const mt_snapshot_t *base,
                     json_t *doc, const char *summary, int64_t *revision,
                     mt_faults_t *fs);

/*
** Reads a directory of declarations into one table per file. Missing files
** are skipped; other errors, and a directory without any, go to `fs`.
*/
json_t *mtU_load (const char *dir, mt_faults_t *fs);

/* A copy of the configuration with the declared tables replaced. */
json_t *mtU_merge (const mt_snapshot_t *base, const json_t *declared);

/* Prints one line per difference to stdout; returns their number. */
size_t mtU_diff (const json_t *from, const json_t *to);

#endif
