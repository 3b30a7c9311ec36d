/*
** engine.h - the engine table: state, load and cached prefixes of each engine
**
** An entry stands for one incarnation of an engine: a process that starts
** again under the same name has nothing cached and runs nothing. Its load is
** what this router sent there plus what the other routers report.
*/
#ifndef engine_h
#define engine_h

#include "engine_speed.h"
#include "prefix_cache.h"
#include "rejections.h"
#include "revision.h"

typedef enum mt_engine_state_t {
  MT_ENGINE_READY,
  MT_ENGINE_DRAINING, /* finishes its requests and gets no new ones */
  /* Removed from the list, or another one answers at its address. */
  MT_ENGINE_GONE
} mt_engine_state_t;

/* What an engine advertises about itself in an answer. */
typedef struct mt_engine_notice_t {
  bool draining;   /* it shuts down soon and accepts no new requests */
  mt_ms_t backoff; /* how long to send it no requests; 0: no backoff */
} mt_engine_notice_t;

/* A drain reported by other routers is believed this long: datagrams are not
   authenticated, so a forged one must not disable an engine for good. */
#define MT_ENGINE_DRAIN_GOSSIP_TTL_MS 60000

/* A drain that an engine advertised itself. */
typedef struct mt_engine_drain_t {
  mt_ms_t since;      /* when it was last advertised; 0: never */
  int64_t started_at; /* incarnation that advertised it; 0: unknown */
  bool gossiped;      /* known from other routers only */
} mt_engine_drain_t;

/* Load at an engine. */
typedef struct mt_engine_load_t {
  /* Prompt tokens sent and not prefilled yet: a request's prefill ends with
     its first token. */
  int64_t pending_prefill;
  /* KV cache tokens of running requests, without shared prompt segments. */
  int64_t held;
  int32_t running; /* requests in progress */
} mt_engine_load_t;

typedef struct mt_engine_t {
  struct mt_engines_t *table; /* the table that contains it */
  size_t list_index;          /* its index in the table's list */
  bool active;                /* it is in the table's `active` list */
  uint64_t key;               /* hash of its name; never 0 */
  int64_t started_at;         /* of its process, ms since 1970; 0: unknown */
  char *name, *domain;
  mt_id_t domain_id;
  char ip[46];
  uint16_t port;
  mt_id_t service;
  mt_id_t version;         /* of its software; 0: it cannot be told */
  char *version_name;      /* as listed; NULL: not stated */
  mt_ms_t version_read_at; /* when the entry that states it was read */
  /* When a connection to it last failed: it may have restarted under its
     name, at another version; 0: never. */
  mt_ms_t doubted_at;
  int slots;
  mt_engine_state_t state;
  bool remote;            /* in another failure domain than this router */
  bool evacuated;         /* operators have evacuated its failure domain */
  mt_ms_t unlisted_since; /* left the list without draining; 0: listed */
  mt_ms_t removed_at;     /* when it became MT_ENGINE_GONE */
  mt_revision_t rev;      /* of the source's latest change to its entry */
  mt_engine_load_t local, peers; /* of this router; of all other routers */
  mt_ms_t quoted;  /* when its owner last reported `peers`; 0: never */
  bool load_dirty; /* `local` has changed since it was sent to the owner */
  mt_ms_t reported_at; /* when `local` was last sent to the owner */
  /* Time to first token, measured over expected, of this router's requests
     alone; smoothed. */
  double slowness;
  mt_speed_sums_t measured; /* by this router, for the engine's owner */
  mt_engine_speed_t speed;  /* model, complete at the engine's owner */
  mt_speed_figures_t quoted_speed; /* the owner's, as of `quoted` */
  int failures;                    /* in a row */
  double rejection_rate;      /* of this router's attempts, as of `rate_at` */
  mt_ms_t rate_at;            /* last accepted or rejected attempt; 0: none */
  mt_rejections_t rejections; /* complete at the engine's owner */
  double quoted_rejection_rate; /* the owner's, as of `quoted` */
  double invalid_rate;     /* of its responses here, as of `invalid_at` */
  mt_ms_t invalid_at;      /* last response that was judged; 0: none */
  mt_ms_t suspended_until; /* gets no requests before this time */
  mt_ms_t backoff_until;   /* end of the backoff that it asked for; 0: none */
  mt_ms_t half_open_since; /* when the trial request was sent; 0: not yet */
  mt_engine_drain_t drain;
  bool unreachable; /* the last connection attempt failed: no requests until
                       one succeeds */
  bool probing;     /* a probe is in progress */
  mt_ms_t next_probe;
  mt_ms_t last_received;    /* when it last sent any byte of a response */
  mt_ms_t last_progress;    /* when a response last began or went on */
  mt_ms_t silent_at;        /* when it was last found silent; 0: never */
  mt_prefix_cache_t cached; /* prompt segments that it probably has cached */
  int64_t tokens_processed; /* of this router's requests, prompt and output */
} mt_engine_t;

typedef struct mt_engines_t {
  mt_map_t by_key;
  mt_engine_t **list;
  size_t count, cap;
  /* Engines that ticks check: those with unreported load, those that run
     requests of this router and those that are unreachable. A router of a
     large fleet uses few of its engines, so ticks do not scan them all. */
  mt_engine_t **active;
  size_t active_count, active_cap;
} mt_engines_t;

/* The key of an engine's name. */
uint64_t mt_engine_key (const char *name, size_t size);

/* The engine of that name, added if it is new. */
mt_engine_t *mt_engines_add (mt_engines_t *engines, const char *name);
/* Sets the version of its software; NULL: not stated, which counts as a
   version of its own. */
void mt_engine_set_version (mt_engine_t *engine, const char *version);
/* The version cannot be told until the engine's entry is read again. */
void mt_engine_forget_version (mt_engine_t *engine);
/* A connection to it failed. */
void mt_engine_doubt_version (mt_engine_t *engine, mt_ms_t now);

/* NULL if there is none. */
mt_engine_t *mt_engines_get (const mt_engines_t *engines, uint64_t key);
/* Frees an engine; no pointer to it may remain in use. */
void mt_engines_remove (mt_engines_t *engines, mt_engine_t *engine);
void mt_engines_free (mt_engines_t *engines);

/* Marks this router's load there as changed since it was reported. */
void mt_engine_load_changed (mt_engine_t *engine);

/* Removes engines from the active list that are reachable, run nothing for
   this router and have no unreported load. */
void mt_engines_prune_active (mt_engines_t *engines);

/* Records a failure of the engine itself: after repeated failures it gets no
   requests for a time that doubles with each further one. */
void mt_engine_failed (mt_engine_t *engine, mt_ms_t now);
/* Records a success, which clears its failures and suspension. */
void mt_engine_succeeded (mt_engine_t *engine);
/* One of its responses has begun or gone on, by more than a part of an
   event. */
void mt_engine_progressed (mt_engine_t *engine, mt_ms_t now);

/* Records that it sends nothing though requests run there. */
void mt_engine_found_silent (mt_engine_t *engine, mt_ms_t now);
/* True if it was found silent lately and has sent nothing since. That is no
   failure: a sound engine may pause and go on. */
bool mt_engine_is_silent (const mt_engine_t *engine, mt_ms_t now);

/*
** Records that an incarnation of it drains. False if that was known already
** or the notice is of an earlier incarnation.
*/
bool mt_engine_apply_drain (mt_engine_t *engine,
                            const mt_engine_drain_t *drain, mt_ms_t now);

/* True while its current incarnation is believed to drain. */
bool mt_engine_is_draining (const mt_engine_t *engine, mt_ms_t now);

/*
** True if it is listed as ready and does not drain. A drain that the engine
** advertises overrides the list, which may be stale while the source is
** unavailable.
*/
bool mt_engine_is_available (const mt_engine_t *engine, mt_ms_t now);

/*
** Starts or extends a backoff that it asked for, up to a limit and with
** jitter. Of several backoffs the one that ends last counts. True if none was
** in effect.
*/
bool mt_engine_set_backoff (mt_engine_t *engine, mt_ms_t backoff,
                            mt_ms_t now);

/*
** Time until it may get a request; 0: now. When a backoff ends, one request
** is sent as a trial (half-open state); the others wait until the engine has
** accepted it or has had time enough to reject it.
*/
mt_ms_t mt_engine_backoff_left (const mt_engine_t *engine, mt_ms_t now);

/* True if it is available and no backoff keeps requests from it. */
bool mt_engine_takes_work (const mt_engine_t *engine, mt_ms_t now);

/* Records that a request is sent to it. */
void mt_engine_request_sent (mt_engine_t *engine, mt_ms_t now);

/* Records that it accepted the request sent at `sent`. */
void mt_engine_request_accepted (mt_engine_t *engine, mt_ms_t sent,
                                 mt_ms_t now);

/* Records that it rejected a request without running it. */
void mt_engine_request_rejected (mt_engine_t *engine, mt_ms_t now);

/*
** Fraction of the recent attempts that it rejected: of this router's, or, if
** that is more, of all routers' by its owner's quote while the quote is
** recent. Decays without attempts, so that the engine is tried again.
*/
double mt_engine_rejection_rate (const mt_engine_t *engine, mt_ms_t now);

/* True if the rate rests on recent attempts or a recent quote. */
bool mt_engine_rejection_is_known (const mt_engine_t *engine, mt_ms_t now);

/* True if it rejects most requests. Such an engine decides itself what it has
   room for: it may look idle, and refuses all the same. */
bool mt_engine_is_rejecting (const mt_engine_t *engine, mt_ms_t now);

/* Records whether a response of it that has ended was valid. */
void mt_engine_response_judged (mt_engine_t *engine, bool valid, mt_ms_t now);
/* Fraction of its recent responses to this router that were not valid. Decays
   without responses, so that the engine is used again. */
double mt_engine_invalid_rate (const mt_engine_t *engine, mt_ms_t now);

/* True if most of them were not. */
bool mt_engine_is_invalid (const mt_engine_t *engine, mt_ms_t now);

/* Resets what is known of its previous incarnation after a restart. A backoff
   stays, and so does a drain of its new incarnation. */
void mt_engine_restarted (mt_engine_t *engine);

/* Records whether a connection to it was made; if not, a probe follows. */
void mt_engine_set_reachable (mt_engine_t *engine, bool up, mt_ms_t now);

#endif
