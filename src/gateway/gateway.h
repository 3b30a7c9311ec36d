/*
** gateway.h - connections around the relay: callers, engines, readiness,
** metrics
**
** The gateway turns what happens on sockets into the relay's events and the
** relay's effects into bytes. Where declarations and engines come from is the
** business of whoever opens it.
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
#include "peer_message.h"
#include "boot_clock.h"

typedef struct mt_gateway_t mt_gateway_t;

typedef struct mt_gateway_settings_t {
  mt_name_t node, domain;
  mt_addr_t callers, ready, metrics, peers;
  mt_addr_t seeds[MT_MAX_SEEDS]; /* routers to begin with; port of `peers` */
  size_t seeds_count;
  mt_ms_t grace; /* from the order to stop until the process is killed */
  int lines_per_s;
  size_t descriptors; /* that the process may open */
  mt_relay_terms_t terms;
} mt_gateway_settings_t;

/* An engine as its listing says. */
typedef struct mt_gateway_engine_t {
  const char *name, *domain, *ip;
  uint16_t port;
  const char *service;
  int slots;
  bool draining;
  int64_t started_at; /* ms of the time of day when it started; 0: not told */
  mt_ms_t cold;       /* for so long from when it was listed; 0: it is warm */
} mt_gateway_engine_t;

/* NULL and a reason when it cannot listen. */
mt_gateway_t *mt_gateway_open (uv_loop_t *loop,
                               const mt_gateway_settings_t *settings,
                               const mt_dialect_t *dialect, char *reason,
                               size_t size);

/*
** What the source itself says, with the revision at which it took that. Where
** a later word is known the earlier one changes nothing. Others are told.
*/
/* Takes a newer version of the declarations, which it then owns. */
void mt_gateway_declare (mt_gateway_t *gateway, mt_catalog_t *catalog,
                         mt_revision_t rev);

/* The declarations cannot be read, for that reason: those in force stay. */
void mt_gateway_unreadable (mt_gateway_t *gateway, const char *reason);

/* Takes what a listing says of an engine; NULL engine: it is gone. */
void mt_gateway_engine (mt_gateway_t *gateway, const char *name,
                        const mt_gateway_engine_t *engine, mt_revision_t rev);

/*
** The source was restored from a copy. A grace follows, in which its writers
** write again what the copy lacks: meanwhile lists end nothing by what they
** lack, and undo no end of an earlier era.
*/
void mt_gateway_restored (mt_gateway_t *gateway);
/* True in that grace. */
bool mt_gateway_in_restore_grace (const mt_gateway_t *gateway);

/* All engines were listed; `seen` holds the keys of their names. Any other is
   gone. */
void mt_gateway_listed (mt_gateway_t *gateway, const mt_map_t *seen,
                        mt_revision_t rev);

/* The operators empty a failure domain of work, or use it again. */
void mt_gateway_evacuate (mt_gateway_t *gateway, const char *domain, bool on,
                          mt_revision_t rev);

/* Whether newer declarations may exist that cannot be seen from here. */
void mt_gateway_set_unsure (mt_gateway_t *gateway, bool unsure);

/*
** The source of declarations, as this router and the others see it: what is
** known of a feed; what the source said of it just now; whether it answers
** here; whether this router is to watch it, and whether others rely on that.
*/
mt_peer_feed_t mt_gateway_feed (const mt_gateway_t *gateway,
                                mt_feed_kind_t kind);
void mt_gateway_set_feed (mt_gateway_t *gateway, mt_feed_kind_t kind,
                          mt_revision_t newest, mt_revision_t at,
                          mt_feed_reading_t reading);
/* Up to which revision all changes of a feed are known here. */
mt_revision_t mt_gateway_taken (const mt_gateway_t *gateway,
                                mt_feed_kind_t kind);
/* The same, but for engines that have come and that only the source tells. */
mt_revision_t mt_gateway_told (const mt_gateway_t *gateway,
                               mt_feed_kind_t kind);
void mt_gateway_set_source (mt_gateway_t *gateway, bool reachable);
bool mt_gateway_watches (const mt_gateway_t *gateway);
bool mt_gateway_leads (const mt_gateway_t *gateway);

/* What becomes of calls to the source, counted. */
typedef enum mt_source_event_t {
  MT_SOURCE_LISTED,       /* a whole range was read */
  MT_SOURCE_HISTORY_GONE, /* it no longer has the changes behind a revision */
  MT_SOURCE_RESTORED,     /* it came back from a copy */
  MT_SOURCE_EVENTS
} mt_source_event_t;

void mt_gateway_count_source (mt_gateway_t *gateway, mt_source_event_t event);

/* Takes no role any more, finishes what is at hand, then stops the loop. */
void mt_gateway_stop (mt_gateway_t *gateway);

mt_log_writer_t *mt_gateway_log (mt_gateway_t *gateway);
mt_relay_t *mt_gateway_relay (mt_gateway_t *gateway);

void mt_gateway_close (mt_gateway_t *gateway);

#endif
