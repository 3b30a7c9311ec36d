/*
** suspect_records.h - which quarantines are recorded at the configuration
** source
**
** The list of suspects is kept by the routers alone. If all of them lost
** power together, each quarantined request would crash several engines again
** before it is known. So the owner of a quarantined name records its row at
** the source, and every router reads the records once when it starts. Records
** expire by themselves; their number and the rate of writes are bounded.
*/
#ifndef suspect_records_h
#define suspect_records_h

#include "suspects.h"

/* A record lasts as long as a first quarantine. */
#define MT_SUSPECT_RECORD_TTL_MS 600000

typedef enum mt_record_write_t {
  MT_RECORD_NOTHING, /* nothing is to be written */
  MT_RECORD_PUT,     /* the row is to be written */
  MT_RECORD_DELETE   /* the record of the row's name is to be deleted */
} mt_record_write_t;

typedef struct mt_suspect_record_t {
  mt_record_write_t write;
  mt_suspect_row_t row; /* DELETE: the digest alone */
} mt_suspect_record_t;

typedef struct mt_suspect_records_t {
  mt_map_t kept; /* name -> time until which its record is kept */
  mt_ms_t next;  /* when the table is searched again */
} mt_suspect_records_t;

/* True if this router owns the name. */
typedef bool (*mt_suspect_owns_t)(void *ud, uint64_t name);

void mt_suspect_records_free (mt_suspect_records_t *records);

/* The next write that is due, if any. */
mt_suspect_record_t mt_suspect_records_next (mt_suspect_records_t *records,
                                             const mt_suspects_t *suspects,
                                             mt_suspect_owns_t owns, void *ud,
                                             mt_ms_t now);

/* The source has taken that write. */
void mt_suspect_records_written (mt_suspect_records_t *records,
                                 const mt_suspect_record_t *record,
                                 mt_ms_t now);

/* A record of this name was read. */
void mt_suspect_records_read (mt_suspect_records_t *records, uint64_t name,
                              mt_ms_t now);

#endif
