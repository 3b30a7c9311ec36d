/*
** gateway.h - the gateway process: listeners for callers, readiness and
** metrics, connections to engines and to other routers
**
** The gateway turns socket activity into events of the relay (relay.h), which
** makes the decisions, and carries out the relay's effects. Configuration and
** the list of engines come from the configuration source, a store with
** revisions; its client (platform/) calls the functions below.
*/
#ifndef gateway_h
#define gateway_h

#include <uv.h>

#include "dialect.h"
#include "feed_state.h"
#include "http_client.h"
#include "http_server.h"
#include "log_writer.h"
#include "mtset.h"
#include "origin_records.h"
#include "peer_message.h"
#include "suspect_records.h"
#include "boot_clock.h"

typedef struct mt_gateway_t mt_gateway_t;

typedef struct mt_gateway_settings_t {
  mt_name_t node, domain;
  mt_addr_t callers, ready, metrics, peers; /* to listen on; peers: UDP */
  mt_addr_t seeds[MT_SEEDS_MAX]; /* routers to contact first, at the port of
                                    `peers` */
  size_t seeds_count;
  mt_ms_t grace;       /* from the stop signal until the process is killed */
  int log_lines_per_s; /* log lines a second, of each class */
  size_t descriptors;  /* file descriptors that the process may open */
  size_t memory;       /* bytes that callers may make the process hold */
  mt_relay_params_t params; /* parameters of the relay's decisions */
} mt_gateway_settings_t;

/* An engine as it is registered at the source. */
typedef struct mt_gateway_engine_t {
  const char *name, *domain, *ip;
  uint16_t port;
  const char *service;
  const char *version; /* of its software; NULL: not stated */
  bool version_known;  /* false: `version` is not valid */
  int slots;           /* requests that it runs at a time */
  bool draining;
  int64_t started_at; /* start time, ms since 1970; 0: unknown */
  mt_ms_t cold; /* time that it stays cold, with a limited request rate; 0:
                   warm */
} mt_gateway_engine_t;

/* Opens the listeners and starts the tick timer; NULL and a reason when it
   cannot listen. */
mt_gateway_t *mt_gateway_open (uv_loop_t *loop,
                               const mt_gateway_settings_t *settings,
                               const mt_dialect_t *dialect, char *reason,
                               size_t size);

/*
** Changes read from the source, each with the revision at which the source
** took it. A change that is older than what is known of the same subject is
** ignored. Changes are passed on to the other routers.
*/
/* Puts a new version of the configuration into force and takes ownership of
   it. */
void mt_gateway_set_catalog (mt_gateway_t *gateway, mt_catalog_t *catalog,
                             mt_revision_t rev);

/* Logs that a new configuration is invalid; the one in force stays. */
void mt_gateway_catalog_invalid (mt_gateway_t *gateway, const char *reason);

/* Adds or updates an engine; NULL engine: it is of no use any more. */
void mt_gateway_set_engine (mt_gateway_t *gateway, const char *name,
                            const mt_gateway_engine_t *engine,
                            mt_revision_t rev);

/* An engine's entry was deleted. */
void mt_gateway_engine_deleted (mt_gateway_t *gateway, const char *name,
                                mt_revision_t rev);

/*
** The source was restored from a backup. For a grace period, in which its
** writers repeat what the backup lacks, an engine that is missing from a list
** is not removed, and an entry does not undo a drain or removal that is known
** from before the restore.
*/
void mt_gateway_source_restored (mt_gateway_t *gateway);
/* True in that grace period. */
bool mt_gateway_in_restore_grace (const mt_gateway_t *gateway);

/* A list of all engines was read; `seen` holds the keys of their names.
   Others are removed, except in the grace period after a restore. */
void mt_gateway_engines_listed (mt_gateway_t *gateway, const mt_map_t *seen,
                                mt_revision_t rev);

/* Operators evacuated a failure domain (no new requests to its engines), or
   ended that. */
void mt_gateway_evacuate (mt_gateway_t *gateway, const char *domain, bool on,
                          mt_revision_t rev);

/*
** Records of suspects at the source (suspect_records.h): the next write that
** is due; a write that the source has taken; a record that was read at the
** start.
*/
mt_suspect_record_t mt_gateway_next_suspect_record (mt_gateway_t *gateway);
void mt_gateway_suspect_recorded (mt_gateway_t *gateway,
                                  const mt_suspect_record_t *record);
void mt_gateway_suspect_read (mt_gateway_t *gateway,
                              const mt_suspect_row_t *row);

/* Sets whether a newer configuration may exist that cannot be read here. */
void mt_gateway_set_config_maybe_stale (mt_gateway_t *gateway, bool stale);

/*
** Feeds: the ranges of the source's keys that routers follow (feed_state.h).
*/
/* What this router and others know of a feed. */
mt_peer_feed_t mt_gateway_feed (const mt_gateway_t *gateway,
                                mt_feed_kind_t kind);
/* The source was read up to revision `at`; the feed's last change then was
   `newest`. */
void mt_gateway_set_feed (mt_gateway_t *gateway, mt_feed_kind_t kind,
                          mt_revision_t newest, mt_revision_t at,
                          mt_feed_reading_t reading);
/* The revision up to which all changes of a feed are applied here. */
mt_revision_t mt_gateway_applied_rev (const mt_gateway_t *gateway,
                                      mt_feed_kind_t kind);
/* The revision up to which all changes were received, from the source or from
   routers. New engines, which are only added as the source lists them, may
   not be applied yet. */
mt_revision_t mt_gateway_received_rev (const mt_gateway_t *gateway,
                                       mt_feed_kind_t kind);
/* The source's client. */
typedef struct mt_gateway_source_t {
  /* Reads the changes of the list of engines now, and calls
     mt_gateway_list_checked. */
  void (*check_list)(void *ud, uint64_t check);
  /* Writes this router's record of origins, and calls
     mt_gateway_record_written; the record is borrowed. One at a time. */
  void (*write_record)(void *ud, const mt_origin_record_t *record);
  /* Reads the records of all routers, and calls mt_gateway_record_row for
     each row, then mt_gateway_records_read. One at a time. */
  void (*read_records)(void *ud);
  void *ud;
} mt_gateway_source_t;

void mt_gateway_set_source (mt_gateway_t *gateway,
                            const mt_gateway_source_t *source);

/*
** Such a read has ended; it began after `check` was asked for. `complete`: it
** was answered, and all changes that were made before it began are applied.
*/
void mt_gateway_list_checked (mt_gateway_t *gateway, uint64_t check,
                              bool complete);

/* Results of these calls; never from within them. */
void mt_gateway_record_written (mt_gateway_t *gateway, bool taken);
void mt_gateway_record_row (mt_gateway_t *gateway,
                            const mt_origin_report_t *row);
void mt_gateway_records_read (mt_gateway_t *gateway, bool complete);

/* Sets whether this router reaches the source. */
void mt_gateway_set_source_reachable (mt_gateway_t *gateway, bool reachable);
/* Whether this router has to watch the source, and whether it does so for the
   other routers of its failure domain, too. */
bool mt_gateway_watches_source (const mt_gateway_t *gateway);
bool mt_gateway_watches_for_domain (const mt_gateway_t *gateway);

/* Outcomes of calls to the source, as counted in metrics. */
typedef enum mt_source_event_t {
  MT_SOURCE_LISTED,       /* a whole range was read */
  MT_SOURCE_HISTORY_GONE, /* it no longer has the changes after a revision */
  MT_SOURCE_RESTORED,     /* it was restored from a backup */
  MT_SOURCE_REFUSED,      /* it had a configuration that cannot be */
  MT_SOURCE_EVENTS
} mt_source_event_t;

void mt_gateway_count_source_event (mt_gateway_t *gateway,
                                    mt_source_event_t event);

/* The ranges of the source that are read. */
typedef enum mt_source_range_t {
  MT_RANGE_DECLARATIONS,
  MT_RANGE_ENGINES,
  MT_RANGE_SUSPECTS,
  MT_SOURCE_RANGES
} mt_source_range_t;

/* What is wrong with an entry that some writer left in a range, or with the
   pages of a list. */
typedef enum mt_source_fault_t {
  MT_SOURCE_FAULT_KEY,     /* the key cannot be read or is too long */
  MT_SOURCE_FAULT_NAME,    /* no engine has such a name */
  MT_SOURCE_FAULT_VALUE,   /* it does not describe an engine */
  MT_SOURCE_FAULT_PAGES,   /* no page follows, and the list has more */
  MT_SOURCE_FAULT_REFUSED, /* the source refused the call for a page */
  MT_SOURCE_FAULTS
} mt_source_fault_t;

/* How often each has been found, and when it was last logged. */
typedef struct mt_source_faults_t {
  uint64_t count[MT_SOURCE_RANGES][MT_SOURCE_FAULTS];
  mt_ms_t logged[MT_SOURCE_RANGES][MT_SOURCE_FAULTS]; /* 0: never */
} mt_source_faults_t;

const char *mt_source_range_name (mt_source_range_t range);
const char *mt_source_fault_name (mt_source_fault_t fault);

/* Counts a fault and logs it, at most one of a kind in a range a second.
   `name`: of the entry or the place in the list; any bytes. */
void mt_gateway_source_fault (mt_gateway_t *gateway, mt_source_range_t range,
                              mt_source_fault_t fault, mt_bytes_t name);

/* Reports not ready, finishes the requests in progress, then stops the loop;
   at the latest when `grace` is nearly over. */
void mt_gateway_stop (mt_gateway_t *gateway);

mt_log_writer_t *mt_gateway_log (mt_gateway_t *gateway);
mt_relay_t *mt_gateway_relay (mt_gateway_t *gateway);

/* Closes all sockets and frees the gateway. */
void mt_gateway_close (mt_gateway_t *gateway);

#endif
