/*
** stream_origins.h - at which service and software version streams began
**
** Engines of several software versions may serve one service, and what two
** versions generate does not fit together: a stream goes on only at the
** version that began it. Routers keep the origins of the streams that they
** began, and of those that other routers told them.
*/
#ifndef stream_origins_h
#define stream_origins_h

#include "first_ids.h"
#include "mtmem.h"
#include "revision.h"

/* A set of failure domains, one bit each. Its owner numbers them. */
typedef uint64_t mt_domain_set_t;

/* The first event of a stream came from here. */
typedef struct mt_stream_origin_t {
  mt_id_t service;
  mt_id_t version; /* of the engine's software; 0: it cannot be told */
} mt_stream_origin_t;

typedef struct mt_origin_row_t {
  uint64_t key; /* of the stream */
  mt_stream_origin_t origin;
  uint64_t engine; /* where this router began it; 0: another router did */
  mt_ms_t added, expires;
} mt_origin_row_t;

/* A ring of rows in the order in which they were added. */
typedef struct mt_stream_origins_t {
  mt_origin_row_t *ring;
  size_t cap;            /* a power of two, or 0 */
  uint64_t first, added; /* rows `first` to `added` - 1 are in use */
  mt_map_t positions;    /* key -> number of its row, plus 1 */
} mt_stream_origins_t;

/* The key of the stream that began with this request of a workspace. */
uint64_t mt_stream_key (const char *id, size_t size, mt_id_t workspace);

/*
** Adds a row that is valid for `ttl` ms. Two streams may have begun under one
** key: if a row with another origin is known, the version cannot be told.
** Beyond a maximum of rows the oldest one is dropped.
*/
void mt_stream_origins_add (mt_stream_origins_t *origins, uint64_t key,
                            const mt_stream_origin_t *origin, uint64_t engine,
                            mt_ms_t ttl, mt_ms_t now);

/* The version of streams that this router began at the engine in the last
   `period` ms cannot be told; calls `changed` for each of their rows. */
void mt_stream_origins_doubt (mt_stream_origins_t *origins, uint64_t engine,
                              mt_ms_t period, mt_ms_t now,
                              void (*changed)(void *ud,
                                              const mt_origin_row_t *row),
                              void *ud);

/* False if no row of the key is known. */
bool mt_stream_origins_find (const mt_stream_origins_t *origins, uint64_t key,
                             mt_ms_t now, mt_stream_origin_t *origin);

size_t mt_stream_origins_count (const mt_stream_origins_t *origins);
void mt_stream_origins_free (mt_stream_origins_t *origins);

/* {== Versions of a service ============================================= */

#define MT_SERVICE_VERSIONS_MAX 8

/* The software versions of a service's engines that were listed lately. */
typedef struct mt_service_versions_t {
  struct {
    mt_id_t version;
    mt_ms_t listed_at;  /* when it was last in the list */
    int ready, leaving; /* engines that serve; that drain or have left */
    mt_first_ids_t first_ids; /* of its streams */
  } list[MT_SERVICE_VERSIONS_MAX];
  size_t count;
} mt_service_versions_t;

/* An engine of the version is listed now. */
void mt_service_versions_listed (mt_service_versions_t *versions,
                                 mt_id_t version, mt_ms_t now);

/* How the streams of a listed version begin; NULL: it is not listed. */
mt_first_ids_t *
mt_service_versions_first_ids (mt_service_versions_t *versions,
                               mt_id_t version);

/* Begins a count of the engines of each version. */
void mt_service_versions_begin_count (mt_service_versions_t *versions);
void mt_service_versions_count_engine (mt_service_versions_t *versions,
                                       mt_id_t version, bool ready);

/* Fraction of the version's engines that drain or have left, while another
   version serves; 0: none does. Such a version is being replaced. */
double mt_service_versions_leaving (const mt_service_versions_t *versions,
                                    mt_id_t version);

/* The number of versions that were listed in the last `period` ms; `last`
   gets one of them. Engines whose version cannot be told count as 0. */
int mt_service_versions_count (const mt_service_versions_t *versions,
                               mt_ms_t period, mt_ms_t now, mt_id_t *last);

/* }== */

/* {== Messages ========================================================= */

/* A stream's origin, as its router tells it to owners. */
typedef struct mt_origin_report_t {
  uint64_t key;
  mt_stream_origin_t origin;
  mt_ms_t ttl; /* how long the stream may be resumed */
} mt_origin_report_t;

/* A router's answer about a stream. */
typedef struct mt_origin_answer_t {
  bool known; /* `origin` is valid */
  mt_stream_origin_t origin;
  /* If it is not known: the version at which all streams of the service began
     that may still be resumed, 0: this router cannot tell; whether it knows
     of several versions. */
  mt_id_t sole;
  bool several;
  /* `sole` follows from a list of engines with all changes up to this
     revision of the source; NONE: unknown. */
  mt_revision_t list_rev;
  mt_ms_t up;             /* for how long that router has received origins */
  mt_domain_set_t domain; /* of that router; set by the receiver */
} mt_origin_answer_t;

/* Which routers were asked about a stream. */
typedef struct mt_origin_asked_t {
  int routers;
  mt_domain_set_t domains; /* in which the stream may have begun */
} mt_origin_asked_t;

/* }== */

#endif
