/*
** origin_records.h - origins of streams, recorded at the configuration source
**
** Owners keep the origin of a stream in memory, so it is lost when all
*routers
** lose power together. While several software versions serve a service, each
** router therefore records the origins of the streams that it runs: one
** record a process, written anew when a stream has begun that it lacks. A
** router that would refuse a resumed stream, as nobody knows its origin,
** reads the records first.
**
** Owners precede records, since they also know which origins have been
** withdrawn. The version of a key never changes but to "cannot be told", and
** rows of one key that differ make it so; a record that is old, or that the
** source shows again after it was set back, lacks streams but names no other
** version.
*/
#ifndef origin_records_h
#define origin_records_h

#include "stream_origins.h"

/* Streams in one record; further ones are not recorded. */
#define MT_ORIGIN_RECORD_ROWS 512

/* The streams that a router runs. */
typedef struct mt_origin_record_t {
  mt_origin_report_t rows[MT_ORIGIN_RECORD_ROWS];
  size_t count;
  mt_ms_t ttl; /* the longest of its rows */
} mt_origin_record_t;

typedef struct mt_origin_records_t {
  mt_origin_record_t own;    /* what runs here, as of the last tick */
  mt_stream_origins_t known; /* rows of records that were read */
  mt_ms_t known_until;       /* all of them have expired by then */
  mt_ms_t next_write, next_read;
  mt_ms_t read_at;    /* when the last complete read began; 0: none has */
  mt_ms_t reading_at; /* when the read in progress began; 0: none is */
  bool writing;       /* a write is in progress */
  bool exists;        /* a write was sent */
  bool obsolete;      /* the record may not be what it should be */
} mt_origin_records_t;

void mt_origin_records_free (mt_origin_records_t *records);

/* {== Writes =========================================================== */

/* True if the record may be written: the fleet's writes are bounded. */
bool mt_origin_records_may_write (const mt_origin_records_t *records,
                                  mt_ms_t now);

/* Adds a row to the router's own record; false if it is full. */
bool mt_origin_records_add (mt_origin_records_t *records,
                            const mt_origin_report_t *row);

/* The record is sent, by one of so many routers. */
void mt_origin_records_write_began (mt_origin_records_t *records, int routers,
                                    mt_ms_t now);

/* That write has ended; false: the source has not taken it. */
void mt_origin_records_written (mt_origin_records_t *records, bool taken,
                                mt_ms_t now);

/* }== */

/* {== Reads ============================================================ */

/* True, and a read begins, if a request that arrived at `since` is to wait
   for one that is not in progress yet. */
bool mt_origin_records_start_read (mt_origin_records_t *records,
                                   mt_ms_t since, int routers, mt_ms_t now);

/* A row of a record was read, which is valid for `ttl` ms. */
void mt_origin_records_add_read (mt_origin_records_t *records,
                                 const mt_origin_report_t *row, mt_ms_t now);

/* The read has ended; `complete`: all records were read. */
void mt_origin_records_read_ended (mt_origin_records_t *records,
                                   bool complete, mt_ms_t now);

/* False if no record is known to have the key. */
bool mt_origin_records_find (const mt_origin_records_t *records, uint64_t key,
                             mt_ms_t now, mt_stream_origin_t *origin);

/* }== */

#endif
