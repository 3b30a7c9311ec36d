/*
** relay.h - the life of relayed requests: one reducer over all events
**
** Callers' requests, engines' answers, the clock, declarations and the other
** routers' loads come in as events; what is to be done comes out as effects.
** The reducer reads no clock, opens no socket and draws no random number.
*/
#ifndef relay_h
#define relay_h

#include "catalog.h"
#include "cold_start.h"
#include "early_drains.h"
#include "engine.h"
#include "denials.h"
#include "evacuation.h"
#include "event_stream.h"
#include "fair_share.h"
#include "load_table.h"
#include "prefix_holders.h"
#include "prefill_time.h"
#include "retry_budget.h"
#include "suspects.h"

/* {== Refusals ========================================================= */

/* Answers of the router itself: symbol, code in logs and counters, status. */
#define MT_RELAY_REFUSALS(ROW)                          \
  ROW(MT_RELAY_BAD_REQUEST, "bad_request", 400)         \
  ROW(MT_RELAY_BAD_KEY, "bad_key", 401)                 \
  ROW(MT_RELAY_NO_ROUTE, "no_route", 404)               \
  ROW(MT_RELAY_NO_CATALOG, "no_configuration", 503)     \
  ROW(MT_RELAY_UNSURE, "configuration_unsure", 503)     \
  ROW(MT_RELAY_NO_ENGINE, "no_engine", 503)             \
  ROW(MT_RELAY_RESTING, "engines_resting", 503)         \
  ROW(MT_RELAY_BUSY, "engines_busy", 503)               \
  ROW(MT_RELAY_OVER_SHARE, "over_share", 503)           \
  ROW(MT_RELAY_SHED, "engines_refused", 503)            \
  ROW(MT_RELAY_UNREACHABLE, "engines_unreachable", 503) \
  ROW(MT_RELAY_TIMEOUT_UNRUN, "timeout_not_run", 503)   \
  ROW(MT_RELAY_FULL, "router_full", 503)                \
  ROW(MT_RELAY_STOPPING, "router_stopping", 503)        \
  ROW(MT_RELAY_ON_PROBATION, "on_probation", 503)       \
  ROW(MT_RELAY_QUARANTINED, "quarantined", 503)         \
  ROW(MT_RELAY_ENGINE_LOST, "engine_lost", 502)         \
  ROW(MT_RELAY_TIMEOUT, "timeout", 504)

typedef enum mt_relay_refusal_t {
#define MT_RELAY_SYMBOL(symbol, code, status) symbol,
  MT_RELAY_REFUSALS(MT_RELAY_SYMBOL)
#undef MT_RELAY_SYMBOL
      MT_RELAY_REFUSAL_COUNT
} mt_relay_refusal_t;

/* Why a request went to another engine. */
#define MT_RELAY_RETRIES(ROW)                   \
  ROW(MT_RELAY_RETRY_CONNECT, "connect_failed") \
  ROW(MT_RELAY_RETRY_SHED, "engine_refused")    \
  ROW(MT_RELAY_RETRY_MOVED, "engine_replaced")  \
  ROW(MT_RELAY_RETRY_NOTICE, "engine_notice")   \
  ROW(MT_RELAY_RETRY_ERROR, "engine_error")     \
  ROW(MT_RELAY_RETRY_LOST, "engine_lost")       \
  ROW(MT_RELAY_RETRY_SILENT, "engine_silent")

typedef enum mt_relay_retry_t {
#define MT_RELAY_SYMBOL(symbol, code) symbol,
  MT_RELAY_RETRIES(MT_RELAY_SYMBOL)
#undef MT_RELAY_SYMBOL
      MT_RELAY_RETRY_COUNT
} mt_relay_retry_t;

typedef struct mt_relay_counters_t {
  uint64_t requests, answers, aborted, callers_left, attempts, events;
  uint64_t tokens_wanted, tokens_missed; /* of prompts; believed unkept */
  uint64_t refusals[MT_RELAY_REFUSAL_COUNT];
  uint64_t retries[MT_RELAY_RETRY_COUNT];
  uint64_t retries_denied;
  uint64_t fetches, tokens_fetched; /* parts moved between engines */
  uint64_t probes;                  /* connections tried for no request */
  uint64_t drains_heard;     /* engines that drain by other routers' gossip */
  uint64_t drains, backoffs; /* engines that advertised one to this router */
  uint64_t ends;             /* runs that were lost as their engine ended */
  uint64_t trials[MT_TRIAL_COUNT];    /* what owners answered to who wanted to
                                    run    what is on probation */
  uint64_t quotes_asked, quotes_late; /* rounds of questions to owners */
  uint64_t admissions[MT_ADMISSIONS]; /* what owners answered, by kind */
} mt_relay_counters_t;

const char *mt_relay_refusal_code (mt_relay_refusal_t why);
int mt_relay_refusal_status (mt_relay_refusal_t why);
const char *mt_relay_retry_code (mt_relay_retry_t why);

/* }== */

/* {== Events =========================================================== */

#define MT_RELAY_PARTS_MAX 16

/* A request as its adapter read it; texts are borrowed for the step. */
typedef struct mt_relay_ask_t {
  mt_bytes_t id, host, path, key;
  uint64_t digest;     /* of its text; 0: not told */
  int64_t deadline_ms; /* the caller waits this long; -1: not told */
  int64_t last_event;  /* the caller has the events up to this; -1: none */
  int64_t tokens_in, tokens_out; /* 0: not told */
  int64_t tokens_hint;           /* guess of the tokens out; 0: none */
  mt_prefix_segment_t parts[MT_RELAY_PARTS_MAX];
  size_t parts_count;
} mt_relay_ask_t;

typedef enum mt_relay_event_kind_t {
  MT_RELAY_TICK,
  MT_RELAY_REQUEST,
  MT_RELAY_CALLER_LEFT,
  MT_RELAY_GONE_OUT,  /* the request is on its way to the engine */
  MT_RELAY_HEAD,      /* an engine's answer begins */
  MT_RELAY_DATA,      /* bytes of its body */
  MT_RELAY_END,       /* it is whole */
  MT_RELAY_FAILED,    /* it ended otherwise */
  MT_RELAY_QUOTED,    /* owners say what their engines have */
  MT_RELAY_PROBED,    /* a connection to an engine came up, or did not */
  MT_RELAY_TRIED,     /* the owner of a suspect says whether it may run */
  MT_RELAY_RESTARTED, /* an engine has, under its name */
  MT_RELAY_NOTICE,    /* what an engine's answer says of the engine */
  MT_RELAY_STOP       /* finish what is at hand */
} mt_relay_event_kind_t;

/* What an engine's owner says of it, when a request asked. */
typedef struct mt_relay_quote_t {
  uint64_t engine;
  mt_engine_load_t peers; /* of all routers but the one that asked */
  int64_t cached;         /* leading tokens of the prompt, probably there */
  uint64_t holder; /* another engine that read its shared parts; 0: none */
  mt_admission_t admission;
} mt_relay_quote_t;

/* What an engine's head says of the request. */
typedef enum mt_relay_verdict_t {
  MT_RELAY_RAN,     /* it ran, or may have */
  MT_RELAY_NOT_RUN, /* the engine says it did not and will not */
  MT_RELAY_MOVED    /* another engine has the address; not run */
} mt_relay_verdict_t;

typedef struct mt_relay_event_t {
  mt_relay_event_kind_t kind;
  mt_ms_t now;
  uint64_t request; /* the adapter's number */
  int attempt;
  union {
    const mt_relay_ask_t *ask;
    struct {
      int status;
      mt_relay_verdict_t verdict;
      bool events; /* its body is a series of events */
      bool framed; /* its end can be told from a cut */
    } head;
    mt_bytes_t data;
    struct {
      const mt_relay_quote_t *list;
      size_t count;
    } quotes;
    struct {
      uint64_t engine;
      bool up, refused; /* refused: nobody listens there */
    } probed;
    struct {
      const mt_suspect_message_t *word; /* that is answered */
      mt_trial_verdict_t verdict;
    } tried;
    struct {
      uint64_t engine;
      mt_engine_notice_t says;
      mt_engine_drain_t drain; /* where the notice has one */
    } notice;
    uint64_t restarted; /* the engine */
    bool not_sent;      /* FAILED */
    mt_ms_t stop_ms;    /* STOP: the process ends after this long */
  } u;
} mt_relay_event_t;

/* }== */

/* {== Effects ========================================================== */

typedef enum mt_relay_effect_kind_t {
  MT_RELAY_DO_REFUSE,    /* answer in place of an engine */
  MT_RELAY_DO_ASK,       /* ask the owners of the request's candidates */
  MT_RELAY_DO_START,     /* send the request to an engine */
  MT_RELAY_DO_CANCEL,    /* end the attempt and its connection */
  MT_RELAY_DO_HEAD,      /* pass on the head that came first */
  MT_RELAY_DO_DATA,      /* pass on bytes */
  MT_RELAY_DO_END,       /* the caller's answer is whole */
  MT_RELAY_DO_ABORT,     /* cut the caller's connection */
  MT_RELAY_DO_PROBE,     /* try to connect to an engine, for no request */
  MT_RELAY_DO_GIVE_BACK, /* a place at a cold engine, to its owner */
  MT_RELAY_DO_TELL       /* a word to a suspect's owner */
} mt_relay_effect_kind_t;

#define MT_RELAY_LENGTH_UNKNOWN (-1)
#define MT_RELAY_LENGTH_UNFRAMED (-2) /* the engine did not vouch for it */

typedef struct mt_relay_effect_t {
  mt_relay_effect_kind_t kind;
  uint64_t request;
  int attempt;
  union {
    struct {
      mt_relay_refusal_t why;
      mt_ms_t retry_after; /* 0: not told */
    } refuse;
    struct {
      uint64_t engine;
      mt_ms_t deadline_ms; /* what is left */
      int64_t last_event;  /* -1: from the start */
      mt_id_t workspace;   /* 0: none */
      uint64_t source;     /* engine to take kept parts from; 0: none */
      mt_ms_t rested_ms;   /* a kept connection may have rested so long */
    } start;
    uint64_t probe;            /* PROBE: the engine */
    uint64_t place;            /* GIVE_BACK: the engine */
    mt_suspect_message_t word; /* TELL */
    int64_t length;            /* HEAD: of the body, or one of the below */
    mt_bytes_t data;           /* borrowed until the next step */
  } u;
} mt_relay_effect_t;

typedef struct mt_relay_effects_t {
  mt_relay_effect_t *list;
  size_t count, cap;
} mt_relay_effects_t;

/* }== */

/* {== State ============================================================ */

/* Engines tried, failed connections included. */
#define MT_RELAY_TRIES_MAX 6

typedef enum mt_relay_phase_t {
  MT_RELAY_SENT,      /* no event or end of an answer yet */
  MT_RELAY_HOLDING,   /* a short answer is gathered before it is passed on */
  MT_RELAY_STREAMING, /* the head has been passed on */
  MT_RELAY_ASKING,    /* not placed: owners of engines were asked */
  MT_RELAY_TRYING     /* the same: its own owner was asked, as a suspect's */
} mt_relay_phase_t;

#define MT_RELAY_ROUND_MAX 4      /* owners of engines asked at a time */
#define MT_RELAY_CANDIDATES_MAX 8 /* and in all rounds */

/* An engine that a request may go to, if its owner says that it has room. */
typedef struct mt_relay_candidate_t {
  uint64_t engine;
  bool quoted;
  int64_t cached;  /* leading tokens of the prompt, probably there */
  uint64_t holder; /* an engine that read its shared parts; 0: not told */
  mt_admission_t admission;
} mt_relay_candidate_t;

typedef struct mt_relay_request_t {
  uint64_t number;
  char id[40];          /* the caller's, for logs */
  uint64_t digest;      /* the same for the same text of the same workspace;
                           0: not told */
  char engine_name[48]; /* of the last attempt, for logs */
  size_t index;         /* in the list */
  struct mt_relay_request_t *finished_next;
  mt_relay_phase_t phase;
  mt_relay_refusal_t outcome;
  /* What its route said when it came. */
  mt_route_kind_t kind;
  bool repeatable, resumable;
  int attempts_max;
  mt_id_t route, service, workspace;
  mt_ms_t objective, pause;
  mt_ms_t arrived, expires, deadline; /* deadline: the caller's; 0: none */
  /* What it brings. */
  int64_t tokens_in, tokens_out, cost, last_event;
  mt_prefix_segment_t parts[MT_RELAY_PARTS_MAX];
  size_t parts_count;
  /* Where it may go. */
  uint64_t home_of_all, home_near; /* engines where its shared parts gather,
                                      0: none */
  mt_relay_candidate_t candidates[MT_RELAY_CANDIDATES_MAX];
  size_t candidates_count, round_first; /* of the last round */
  int rounds;
  mt_ms_t asked;
  /* As a suspect: no other copy of it may run meanwhile, and at its engine no
     other suspect. */
  bool on_trial, holds_engine;
  uint64_t trial_engine; /* 0: none is chosen */
  /* Its current attempt. */
  mt_engine_t *engine;
  int attempt, arrivals; /* attempts that may have reached an engine */
  bool gone_out;         /* bytes of it may have reached the engine */
  bool awaiting_event, may_have_run, events, framed, vouched, served;
  int64_t pending_prefill, held; /* its part of the engine's load */
  int64_t fetched;    /* tokens that the engine takes from another */
  bool home;          /* all routers would look for its parts there */
  bool has_place;     /* at a cold engine */
  int64_t work_ahead; /* unread there when it was sent, itself included */
  double wait_expected, standing; /* when it was decided, for logs */
  double first_expected; /* ms from sending to the first event, likewise */
  mt_ms_t first;         /* the same as it came; 0: not yet */
  mt_ms_t sent, last_received;
  int status;
  uint64_t tried[MT_RELAY_TRIES_MAX];
  int tried_count;
  mt_event_stream_t stream;
  char *body; /* HOLDING */
  size_t body_size, body_cap;
} mt_relay_request_t;

/* What is learnt of a service's engines. */
typedef struct mt_relay_service_t {
  mt_id_t id;
  mt_prefill_time_t read_time;
  mt_retry_budget_t budget;
  int ready;                          /* engines, counted by the tick */
  double usual_unread, usual_running; /* at homes, as owners told lately */
} mt_relay_service_t;

/*
** Mechanisms of the decisions that can be switched off, to measure what each
** is worth (docs/design): symbol, name in the settings.
*/
#define MT_RELAY_MECHANISMS(ROW)                                            \
  ROW(MT_RELAY_FIXED_PART, "fixed_part") /* of reading times */             \
  ROW(MT_RELAY_FETCH, "fetch")           /* parts move */                   \
  ROW(MT_RELAY_DECLARED_LEVEL, "declared_level")                            \
  ROW(MT_RELAY_HOME, "home")               /* of shared parts */            \
  ROW(MT_RELAY_SECOND_HOME, "second_home") /* is asked, too */              \
  ROW(MT_RELAY_QUOTES, "quotes")           /* of owners */                  \
  ROW(MT_RELAY_FAR_ROUND, "far_round")     /* others' when own are full */  \
  ROW(MT_RELAY_HOLDERS, "holders")         /* of parts read away */         \
  ROW(MT_RELAY_OWED, "owed")               /* leaving home below a share */ \
  ROW(MT_RELAY_SLOWNESS, "slowness")       /* of single engines */          \
  ROW(MT_RELAY_REST, "rest")               /* of failing engines */         \
  ROW(MT_RELAY_PROBE, "probe")             /* of unreachable ones */

typedef enum mt_relay_mechanism_t {
#define MT_RELAY_SYMBOL(symbol, name) symbol,
  MT_RELAY_MECHANISMS(MT_RELAY_SYMBOL)
#undef MT_RELAY_SYMBOL
      MT_RELAY_MECHANISM_COUNT
} mt_relay_mechanism_t;

/* Everything that tunes decisions, in one place. */
typedef struct mt_relay_terms_t {
  mt_retry_terms_t retry;
  mt_cold_terms_t cold;
  size_t running_most;  /* requests in progress; beyond: refused */
  mt_ms_t vanish_ms;    /* an engine that left the list serves on so long */
  double wait_part;     /* of the objective that a request may wait */
  double urgency_power; /* how much less a longer objective may wait */
  double room_part;   /* of the wait limit: below it there is room for all */
  double over_power;  /* how fast this falls beyond the share */
  double miss_weight; /* of the time to read a prompt, beside a wait */
  double miss_weight_easy; /* the same, below the share */
  double far_part;      /* of the wait limit, at engines of other domains */
  double far_part_over; /* the same, for whoever had its share */
  double move_weight;   /* of the time of a move, times that of reading */
  double
      cross_ms; /* that an engine of another failure domain must be better */
  bool off[MT_RELAY_MECHANISM_COUNT]; /* mechanisms that are not used */
} mt_relay_terms_t;

/* How full another failure domain was, as owners there told lately. */
typedef struct mt_domain_load_t {
  mt_id_t domain, service;
  double pending_prefill; /* at one engine, smoothed */
  mt_ms_t told;           /* by the last of them; 0: none has */
} mt_domain_load_t;

#define MT_DOMAIN_LOADS_MAX 256

/* A run whose connection ended before a whole answer. */
typedef struct mt_lost_run_t {
  uint64_t digest, engine, request;
  mt_ms_t at, next; /* next: its owner is told again then */
  bool alone, holds_engine;
  bool ended; /* its engine has */
  int told;   /* times */
} mt_lost_run_t;

typedef struct mt_lost_runs_t {
  mt_lost_run_t *list;
  size_t count, cap;
} mt_lost_runs_t;

typedef struct mt_relay_t {
  mt_ms_t now;
  mt_ms_t seen; /* all that came in before has been taken: the last tick */
  char domain[MT_NAME_MAX + 1];
  mt_relay_terms_t terms;
  mt_catalog_t *catalog; /* NULL: none yet */
  bool unsure;     /* a newer one may exist that this router cannot see */
  bool overloaded; /* this process cannot carry more streams */
  mt_ms_t stop_since, stop_until; /* 0: not stopping */
  int routers;  /* that are believed to serve, this one included */
  double reach; /* the part that they are of all that are known */
  mt_engines_t engines;
  mt_load_table_t book;        /* of the engines that this router keeps */
  mt_prefix_holders_t holders; /* of parts whose home is kept here */
  mt_cold_starts_t cold;       /* engines that are, and places there */
  mt_domain_load_t domain_loads[MT_DOMAIN_LOADS_MAX];
  size_t domain_loads_count;
  mt_evacuations_t evacuations;
  mt_early_drains_t early_drains;
  mt_denials_t denials; /* of what the declarations here still allow */
  mt_fair_share_t shares;
  mt_suspects_t suspects;
  mt_lost_runs_t lost; /* lately */
  mt_map_t services;   /* id -> mt_relay_service_t, owned */
  mt_map_t requests;   /* number -> mt_relay_request_t, owned */
  mt_relay_request_t **list;
  size_t count, cap;
  mt_relay_request_t *finished; /* freed by the next step */
  mt_ms_t next_update;
  mt_ms_t lacked; /* no engine took the last request that was refused for it,
                     then; 0: there was none */
  mt_relay_counters_t counters;
  mt_relay_effects_t *effects; /* of the step being taken */
  void (*log)(void *ud, const mt_relay_request_t *request,
              const char *outcome, const char *why);
  void (*log_engine)(void *ud, const mt_engine_t *engine);
  void *log_ud;
} mt_relay_t;

/* }== */

/* The mechanism of that name in settings, or MT_RELAY_MECHANISM_COUNT. */
mt_relay_mechanism_t mt_relay_mechanism (const char *name);

mt_relay_t *mt_relay_new (const char *domain, const mt_relay_terms_t *terms);
void mt_relay_free (mt_relay_t *relay);

/* Takes one event; appends what is to be done. */
void mt_relay_step (mt_relay_t *relay, const mt_relay_event_t *event,
                    mt_relay_effects_t *effects);

/* Puts a newer version in force; takes it over. Older ones are refused. */
bool mt_relay_declare (mt_relay_t *relay, mt_catalog_t *catalog);

/*
** An engine is no longer listed. One that drained is gone;
** one that had not may be back at once (a list can lose entries while its
** owner is in trouble), so it gets work for `vanish_ms` more from `since`,
** when the first router heard of it.
*/
void mt_relay_engine_left (mt_relay_t *relay, mt_engine_t *engine,
                           mt_ms_t since, mt_ms_t now);

/*
** A listing told of an engine, whose failure domain is set: it is cold for
** `cold_left` more; 0: it is warm.
*/
void mt_relay_engine_listed (mt_relay_t *relay, mt_engine_t *engine,
                             mt_ms_t cold_left, mt_ms_t now);

/*
** The engines of a failure domain get no work any more, or get it again.
** False when that is known already.
*/
bool mt_relay_evacuate (mt_relay_t *relay, const char *domain, bool on,
                        mt_ms_t now);

/*
** Another router's load at an engine that this one keeps, and the shared
** parts of the prompt that it sent there just now (none: count 0).
*/
void mt_relay_heard_load (mt_relay_t *relay, uint64_t engine,
                          const mt_load_row_t *row,
                          const mt_prefix_segment_t *parts, size_t count);

/* What this router, as the engine's owner, tells a router that asks. */
mt_relay_quote_t mt_relay_quote (mt_relay_t *relay, uint64_t engine,
                                 uint64_t router,
                                 const mt_prefix_segment_t *parts,
                                 size_t count);

/*
** Whether the engine may be sent one request of whoever asks. `keeps`: all
** routers that this one hears of take it for the engine's owner.
*/
mt_admission_t mt_relay_admission (mt_relay_t *relay, uint64_t engine,
                                   bool keeps);

/* One more effect of the step being taken. */
mt_relay_effect_t *mt_relay_effect (mt_relay_t *relay,
                                    mt_relay_effect_kind_t kind);

/* How long one engine of the service takes to read prompts. */
mt_prefill_model_t mt_relay_read_line (mt_relay_t *relay, mt_id_t service);
/* The same without the fixed part: tokens per ms. */
double mt_relay_rate (mt_relay_t *relay, mt_id_t service);
mt_relay_service_t *mt_relay_service (mt_relay_t *relay, mt_id_t id);

#endif
