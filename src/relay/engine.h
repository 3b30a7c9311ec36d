/*
** engine.h - the table of engines: what is known of each and of its load
**
** An engine here is a start of a server: one that starts again under its name
** holds nothing of before. Loads are what this router sent and what the other
** routers say they sent.
*/
#ifndef engine_h
#define engine_h

#include "prefix_cache.h"
#include "revision.h"

typedef enum mt_engine_state_t {
  MT_ENGINE_READY,
  MT_ENGINE_DRAINING, /* finishes its work, gets none */
  MT_ENGINE_GONE      /* no longer listed */
} mt_engine_state_t;

/* What an answer of an engine advertises of the engine. */
typedef struct mt_engine_notice_t {
  bool draining;   /* it ends soon and is to get no new work */
  mt_ms_t backoff; /* it asks this router to send nothing for so long; 0: it
                      does not */
} mt_engine_notice_t;

/* A drain that other routers gossip counts for so long: datagrams come from
   anybody, and one of them must not take an engine away for good. */
#define MT_ENGINE_DRAIN_GOSSIP_TTL_MS 60000

/* That an engine drains, as it advertises itself. */
typedef struct mt_engine_drain_t {
  mt_ms_t since;      /* it last did so then; 0: never */
  int64_t started_at; /* the start of it that did; 0: not known */
  bool gossiped;      /* other routers heard it, not this one */
} mt_engine_drain_t;

/* Work at an engine. */
typedef struct mt_engine_load_t {
  int64_t pending_prefill; /* prompt tokens sent and not yet answered by an
                              event */
  int64_t held; /* tokens that running requests hold for themselves */
  int32_t running;
} mt_engine_load_t;

typedef struct mt_engine_t {
  struct mt_engines_t *table; /* that it stands in */
  size_t list_index;          /* its index in the table's list */
  bool active;                /* it stands in the list that ticks look at */
  uint64_t key;               /* hash of its name; never 0 */
  int64_t started_at; /* which start of that name it is; 0: not told */
  char *name, *domain;
  mt_id_t domain_id;
  char ip[46];
  uint16_t port;
  mt_id_t service;
  int slots;
  mt_engine_state_t state;
  bool remote;            /* in another failure domain than this router */
  bool evacuated;         /* the operators emptied its failure domain */
  mt_ms_t unlisted_since; /* it left the list without a word then; 0: it did
                             not */
  mt_ms_t removed_at;     /* gone since */
  mt_revision_t rev;      /* of the source, as it last told of it */
  mt_engine_load_t local, peers;
  mt_ms_t quoted;  /* its owner last told `peers` then; 0: never */
  bool load_dirty; /* `local` has changed since its owner was told */
  mt_ms_t told;    /* its owner was told last then */
  double slowness; /* time to first event, seen over expected; 1: usual */
  int failures;    /* in a row */
  double rejection_rate;   /* of this router's attempts, as of `rate_at` */
  mt_ms_t rate_at;         /* it last took or rejected one; 0: never */
  mt_ms_t suspended_until; /* gets no work before this time */
  mt_ms_t backoff;         /* it asked for none until then; 0: no */
  mt_ms_t half_open_since; /* the first request behind it went then; 0: none
                              has */
  mt_engine_drain_t drain;
  bool unreachable;      /* no connection comes up: no work until one does */
  bool probing;          /* one is being tried */
  mt_ms_t probe;         /* the next is tried then */
  mt_ms_t last_received; /* last byte of any answer */
  mt_prefix_cache_t cached;
  int64_t
      tokens_processed; /* tokens read or made there for this router, ever */
} mt_engine_t;

typedef struct mt_engines_t {
  mt_map_t by_key;
  mt_engine_t **list;
  size_t count, cap;
  /* Those that a tick may have to do something about: a router of a large
     fleet uses few of its engines. */
  mt_engine_t **active;
  size_t active_count, active_cap;
} mt_engines_t;

uint64_t mt_engine_key (const char *name, size_t size);

/* The engine of that name, made if it is new. */
mt_engine_t *mt_engines_add (mt_engines_t *engines, const char *name);
mt_engine_t *mt_engines_get (const mt_engines_t *engines, uint64_t key);
/* Forgets one for good; nothing may refer to it any more. */
void mt_engines_remove (mt_engines_t *engines, mt_engine_t *engine);
void mt_engines_free (mt_engines_t *engines);

/* The router's load there has changed, which its owner is to be told. */
void mt_engine_load_changed (mt_engine_t *engine);

/* Takes those from the list of attended ones that have no load of this router
   that was not told, run nothing for it and are not out of reach. */
void mt_engines_prune_active (mt_engines_t *engines);

/* Notes a failure of the engine itself: it gets no work for a growing while.
 */
void mt_engine_failed (mt_engine_t *engine, mt_ms_t now);
void mt_engine_succeeded (mt_engine_t *engine, mt_ms_t now);

/*
** Takes that a start of it drains. False when that was known, or it is an
** earlier start's.
*/
bool mt_engine_apply_drain (mt_engine_t *engine,
                            const mt_engine_drain_t *drain, mt_ms_t now);

/* True while its present start is believed to drain. */
bool mt_engine_is_draining (const mt_engine_t *engine, mt_ms_t now);

/*
** True for one that is listed as ready and does not drain. What it advertises
** itself stands against the list: a list may be old, and the source may not
** answer.
*/
bool mt_engine_is_available (const mt_engine_t *engine, mt_ms_t now);

/*
** It asked this router to back off; of several times the longest counts.
** False when the router did so already.
*/
bool mt_engine_set_backoff (mt_engine_t *engine, mt_ms_t backoff,
                            mt_ms_t now);

/*
** How long until it is known whether its backoff is over: behind it one
** request goes first, and the others when that was not rejected. 0: there is
** none.
*/
mt_ms_t mt_engine_backoff_left (const mt_engine_t *engine, mt_ms_t now);

/* True for one that stays and asks for no backoff: it may get a request. */
bool mt_engine_takes_work (const mt_engine_t *engine, mt_ms_t now);

/* A request goes to it. */
void mt_engine_request_sent (mt_engine_t *engine, mt_ms_t now);

/* It took the request that went to it at `sent`. */
void mt_engine_request_accepted (mt_engine_t *engine, mt_ms_t sent,
                                 mt_ms_t now);

/* It rejected a request without running it. */
void mt_engine_request_rejected (mt_engine_t *engine, mt_ms_t now);

/*
** Part of this router's latest attempts that it rejected, 0 to 1. Fades
** without attempts, so that an engine is tried again.
*/
double mt_engine_rejection_rate (const mt_engine_t *engine, mt_ms_t now);

/* It has started again: nothing that is believed of it holds, but for a
   backoff that it asked for. */
void mt_engine_restarted (mt_engine_t *engine);

/* A connection to it came up, or did not: then another is tried soon. */
void mt_engine_set_reachable (mt_engine_t *engine, bool up, mt_ms_t now);

#endif
