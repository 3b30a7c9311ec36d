/*
** change.h - one change of the configuration, as routers gossip it
**
** The configuration source publishes the declarations (API keys, routes and
** so on) and the list of engines. Datagrams from peers are not trusted: from
** them a router accepts only withdrawals (an engine drains, a key is revoked)
** and the undoing of a withdrawal. Whatever is added (an engine's address, a
** key, a route) is read from the source itself. Additions are gossiped so
** that a router that never read them can gossip their withdrawal.
*/
#ifndef change_h
#define change_h

#include "revision.h"

/* The longest name of an engine, and a SHA-256 digest in hexadecimal, fit:
   a name that is cut would stand for another engine. */
#define MT_CHANGE_NAME_SIZE 200
#define MT_CHANGE_TEXT_SIZE 64

/* The two change feeds of the configuration source. */
typedef enum mt_feed_kind_t {
  MT_FEED_DECLARATIONS,
  MT_FEED_ENGINES,
  MT_FEEDS
} mt_feed_kind_t;

typedef enum mt_change_kind_t {
  MT_CHANGE_ENGINE_READY,
  MT_CHANGE_ENGINE_DRAINING,
  MT_CHANGE_ENGINE_GONE,
  MT_CHANGE_DOMAIN_EVACUATED,  /* no work goes to this failure domain */
  MT_CHANGE_DOMAIN_REINSTATED, /* its evacuation is over */
  MT_CHANGE_KEY_REVOKED,
  MT_CHANGE_KEY_GRANTED,
  MT_CHANGE_ROUTE_REMOVED, /* the route no longer leads to the service */
  MT_CHANGE_ROUTE_ADDED,
  MT_CHANGE_OTHER, /* of other declarations: readable at the source only */
  MT_CHANGE_KINDS
} mt_change_kind_t;

/* What a change is about. Changes of one subject are ordered by revision. */
typedef enum mt_change_subject_t {
  MT_SUBJECT_ENGINE,
  MT_SUBJECT_DOMAIN,
  MT_SUBJECT_KEY,
  MT_SUBJECT_ROUTE,
  MT_SUBJECT_OTHER
} mt_change_subject_t;

/*
** The name in an ENGINE_READY change that stands for any number of new
** engines, to keep messages small. No engine has this name; the receiver
** learns only that the source lists engines it has not read yet.
*/
#define MT_CHANGE_UNNAMED "*"

/* Details of an ENGINE_READY or ENGINE_DRAINING change. */
typedef struct mt_change_engine_t {
  char domain[MT_CHANGE_TEXT_SIZE], ip[46], service[MT_CHANGE_TEXT_SIZE];
  uint16_t port, slots;
  uint32_t cold; /* ms until the engine is warm; 0: it is */
  /* Start time of the process, ms since 1970; 0: unknown. */
  int64_t started_at;
} mt_change_engine_t;

typedef struct mt_change_t {
  mt_change_kind_t kind;
  char name[MT_CHANGE_NAME_SIZE]; /* of the engine or failure domain; digest
                                     of the key; ids of route and service */
  mt_revision_t rev;              /* of the source, as of this change */
  mt_ms_t age; /* since a router first read it from the source */
  union {
    mt_change_engine_t engine;
    struct {
      mt_id_t route, service;
    } path;
  } u;
} mt_change_t;

mt_change_subject_t mt_change_subject (mt_change_kind_t kind);
mt_feed_kind_t mt_change_feed (mt_change_kind_t kind);
/* True if the subject must no longer be used after the change. */
bool mt_change_is_withdrawal (mt_change_kind_t kind);

/* True if both are about the same engine, domain, key, route, ... */
bool mt_change_same_subject (const mt_change_t *a, const mt_change_t *b);

/* A change of age 0 without details besides the name. */
mt_change_t mt_change_make (mt_change_kind_t kind, const char *name,
                            mt_revision_t rev);

/* A change of age 0 of a route from the given route to the given service. */
mt_change_t mt_change_make_route (mt_change_kind_t kind, mt_id_t route,
                                  mt_id_t service, mt_revision_t rev);

#endif
