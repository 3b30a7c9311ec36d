/*
** change.h - one change at the source of declarations, as routers tell it
**
** Taken from peers, things only end (an engine drains, a key is revoked), or
** such an end is undone. What begins (an engine's address, a key, a route)
** is taken from the source alone, since datagrams come from anybody; it is
** told so that its end can be.
*/
#ifndef change_h
#define change_h

#include "revision.h"

#define MT_CHANGE_NAME_SIZE 72 /* a SHA-256 digest in hexadecimal fits */
#define MT_CHANGE_TEXT_SIZE 64

/* The two feeds that come from the source of declarations. */
typedef enum mt_feed_kind_t {
  MT_FEED_DECLARATIONS,
  MT_FEED_ENGINES,
  MT_FEEDS
} mt_feed_kind_t;

typedef enum mt_change_kind_t {
  MT_CHANGE_ENGINE_READY,
  MT_CHANGE_ENGINE_DRAINING,
  MT_CHANGE_ENGINE_GONE,
  MT_CHANGE_DOMAIN_EMPTIED, /* a failure domain is to get no work */
  MT_CHANGE_DOMAIN_USED,
  MT_CHANGE_KEY_REVOKED,
  MT_CHANGE_KEY_GRANTED,
  MT_CHANGE_ROUTE_CLOSED, /* it no longer leads to that service */
  MT_CHANGE_ROUTE_OPENED,
  MT_CHANGE_DOCUMENT, /* other declarations changed: only the source tells */
  MT_CHANGE_KINDS
} mt_change_kind_t;

/* What is changed; one thing's changes follow each other by revision. */
typedef enum mt_change_subject_t {
  MT_SUBJECT_ENGINE,
  MT_SUBJECT_DOMAIN,
  MT_SUBJECT_KEY,
  MT_SUBJECT_ROUTE,
  MT_SUBJECT_DOCUMENT
} mt_change_subject_t;

/*
** Stands, as a READY engine, for several that have come and are not named. No
** engine has that name, so whoever is told knows that the source has more.
*/
#define MT_CHANGE_SEVERAL "*"

/* Of a READY or LEAVING engine. */
typedef struct mt_change_engine_t {
  char domain[MT_CHANGE_TEXT_SIZE], ip[46], service[MT_CHANGE_TEXT_SIZE];
  uint16_t port, slots;
  uint32_t cold;      /* ms that it stays cold; 0: it is warm */
  int64_t started_at; /* which start of its name it is; 0: not told */
} mt_change_engine_t;

typedef struct mt_change_t {
  mt_change_kind_t kind;
  char name[MT_CHANGE_NAME_SIZE]; /* the engine's or failure domain's; the
                                     digest of the key; route and service */
  mt_revision_t rev;              /* of the source, when it took the change */
  mt_ms_t age; /* since a router heard it from the source */
  union {
    mt_change_engine_t engine;
    struct {
      mt_id_t route, service;
    } path;
  } u;
} mt_change_t;

mt_change_subject_t mt_change_subject (mt_change_kind_t kind);
mt_feed_kind_t mt_change_feed (mt_change_kind_t kind);
/* True for a change by which something is no longer to be used. */
bool mt_change_ends (mt_change_kind_t kind);

/* True when both are about the same engine, domain, key, ... */
bool mt_change_same_subject (const mt_change_t *a, const mt_change_t *b);

/* A change of something that its name alone tells; `age` 0. */
mt_change_t mt_change_named (mt_change_kind_t kind, const char *name,
                             mt_revision_t rev);

/* A change of what a route leads to. */
mt_change_t mt_change_of_route (mt_change_kind_t kind, mt_id_t route,
                                mt_id_t service, mt_revision_t rev);

#endif
