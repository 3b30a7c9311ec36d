/*
** relay.h - the reducer of the HTTP relay: events in, effects out
**
** Requests of callers (the HTTP clients), responses of engines, timer ticks
** and replies of other routers come in as events; the reducer returns the
** effects that its adapter has to carry out, such as sending a request to an
** engine. It reads no clock, opens no socket and draws no random number, so
** the same events always give the same effects.
**
** Every engine has an owner, one of the routers, which adds up the load that
** all routers put on it. Before a router places a request it asks the owners
** of some engines for quotes: load, cached prompt prefix, admission.
**
** A prompt is a chain of segments, each a hash and a number of tokens; all
** but the last may be shared with other prompts. Engines cache the KV state
** of segments that they have prefilled.
**
** A workspace's service ratio is what it was served as a multiple of its fair
** (max-min) share.
*/
#ifndef relay_h
#define relay_h

#include "catalog.h"
#include "cold_start.h"
#include "domain_reach.h"
#include "early_drains.h"
#include "ended_runs.h"
#include "engine.h"
#include "denials.h"
#include "evacuation.h"
#include "event_check.h"
#include "fair_share.h"
#include "load_table.h"
#include "origin_records.h"
#include "prefix_holders.h"
#include "prefill_time.h"
#include "retry_budget.h"
#include "stream_origins.h"
#include "suspects.h"

/* {== Refusals ========================================================= */

/*
** Error responses that the router sends itself: symbol, code in logs and
** metrics, HTTP status. CONFIG_MAYBE_STALE: refused by the present
** configuration, but a newer one may exist that this router cannot read.
** BACKOFF: all engines are in backoff. BUSY, OVER_SHARE: no room at any
** engine, for a workspace within or beyond its fair share. REJECTED: the last
** engine tried rejected it. FULL: this router itself takes no more.
** ON_PROBATION, QUARANTINED: the request may have crashed engines
** (quarantine.h). STREAM_UNKNOWN, VERSION_GONE: the software version at which
** the stream began is not known, or no longer serves. STREAM_UNCONFIRMED: it
** would follow from the list of engines, but neither the source nor other
** routers could confirm that now. ENGINE_LOST: an attempt failed that may
** have run, and no retry was possible.
*/
#define MT_RELAY_REFUSALS(ROW)                                  \
  ROW(MT_RELAY_BAD_REQUEST, "bad_request", 400)                 \
  ROW(MT_RELAY_BAD_KEY, "bad_key", 401)                         \
  ROW(MT_RELAY_NO_ROUTE, "no_route", 404)                       \
  ROW(MT_RELAY_NO_CATALOG, "no_configuration", 503)             \
  ROW(MT_RELAY_CONFIG_MAYBE_STALE, "configuration_unsure", 503) \
  ROW(MT_RELAY_NO_ENGINE, "no_engine", 503)                     \
  ROW(MT_RELAY_BACKOFF, "engines_resting", 503)                 \
  ROW(MT_RELAY_BUSY, "engines_busy", 503)                       \
  ROW(MT_RELAY_OVER_SHARE, "over_share", 503)                   \
  ROW(MT_RELAY_REJECTED, "engines_refused", 503)                \
  ROW(MT_RELAY_UNREACHABLE, "engines_unreachable", 503)         \
  ROW(MT_RELAY_TIMEOUT_NOT_RUN, "timeout_not_run", 503)         \
  ROW(MT_RELAY_FULL, "router_full", 503)                        \
  ROW(MT_RELAY_STOPPING, "router_stopping", 503)                \
  ROW(MT_RELAY_ON_PROBATION, "on_probation", 503)               \
  ROW(MT_RELAY_QUARANTINED, "quarantined", 503)                 \
  ROW(MT_RELAY_STREAM_UNKNOWN, "stream_unknown", 503)           \
  ROW(MT_RELAY_STREAM_UNCONFIRMED, "stream_unconfirmed", 503)   \
  ROW(MT_RELAY_VERSION_GONE, "version_gone", 503)               \
  ROW(MT_RELAY_ENGINE_LOST, "engine_lost", 502)                 \
  ROW(MT_RELAY_TIMEOUT, "timeout", 504)

typedef enum mt_relay_refusal_t {
#define MT_RELAY_SYMBOL(symbol, code, status) symbol,
  MT_RELAY_REFUSALS(MT_RELAY_SYMBOL)
#undef MT_RELAY_SYMBOL
      MT_RELAY_REFUSAL_COUNT
} mt_relay_refusal_t;

/* Why a request was retried at another engine: symbol, code in logs and
   metrics. */
#define MT_RELAY_RETRIES(ROW)                     \
  ROW(MT_RELAY_RETRY_CONNECT, "connect_failed")   \
  ROW(MT_RELAY_RETRY_REJECTED, "engine_refused")  \
  ROW(MT_RELAY_RETRY_REPLACED, "engine_replaced") \
  ROW(MT_RELAY_RETRY_NOTICE, "engine_notice")     \
  ROW(MT_RELAY_RETRY_ERROR, "engine_error")       \
  ROW(MT_RELAY_RETRY_LOST, "engine_lost")         \
  ROW(MT_RELAY_RETRY_INVALID, "engine_invalid")   \
  ROW(MT_RELAY_RETRY_SILENT, "engine_silent")

typedef enum mt_relay_retry_t {
#define MT_RELAY_SYMBOL(symbol, code) symbol,
  MT_RELAY_RETRIES(MT_RELAY_SYMBOL)
#undef MT_RELAY_SYMBOL
      MT_RELAY_RETRY_COUNT
} mt_relay_retry_t;

/* What is wrong with the head of a response. */
typedef enum mt_head_fault_t {
  MT_HEAD_UNSIGNED,  /* it lacks what marks those of engines */
  MT_HEAD_NO_STREAM, /* a success on a stream's route is no event stream */
  MT_HEAD_FAULTS
} mt_head_fault_t;

/* Name of such a fault in logs and metrics. */
const char *mt_head_fault_name (mt_head_fault_t fault);

/* How a router knows at which version a stream began. */
typedef enum mt_origin_source_t {
  MT_ORIGIN_NONE,
  MT_ORIGIN_LOCAL,  /* it began the stream, or owns it */
  MT_ORIGIN_OWNER,  /* an owner replied */
  MT_ORIGIN_SOLE,   /* only one version has served, as the source confirms */
  MT_ORIGIN_PEERS,  /* the same, as routers of all failure domains confirm */
  MT_ORIGIN_RECORD, /* no owner knows it, but a record at the source does */
  MT_ORIGIN_SOURCES
} mt_origin_source_t;

/* Name of a source in logs and metrics. */
const char *mt_origin_source_name (mt_origin_source_t source);

/* How the caller of an answer that was cut can tell. */
typedef enum mt_relay_cut_t {
  MT_RELAY_CUT_SHORT, /* its length or last chunk is missing */
  MT_RELAY_CUT_RESET, /* it has neither: the connection is reset */
  MT_RELAY_CUTS
} mt_relay_cut_t;

/* Name of such an end in logs and metrics. */
const char *mt_relay_cut_name (mt_relay_cut_t cut);

/* What became of second attempts beside silent ones (hedge.h). */
typedef enum mt_hedge_outcome_t {
  MT_HEDGE_WON,       /* sent the first byte of its body before the other */
  MT_HEDGE_KEPT,      /* neither had when the overlap of the two was over */
  MT_HEDGE_TOOK_OVER, /* the other failed first */
  MT_HEDGE_CANCELLED, /* the silent engine went on, or the request ended */
  MT_HEDGE_FAILED,    /* was rejected or lost, or could not be sent */
  MT_HEDGE_OUTCOMES
} mt_hedge_outcome_t;

/* Name of such an outcome in metrics. */
const char *mt_hedge_outcome_name (mt_hedge_outcome_t outcome);

typedef struct mt_relay_counters_t {
  uint64_t requests, answers, aborted, callers_disconnected, attempts, events;
  /* Prompt tokens sent to engines, and those believed not to be cached. */
  uint64_t prompt_tokens, prompt_tokens_missed;
  uint64_t cuts[MT_RELAY_CUTS]; /* of aborted answers */
  /* Blocks of lines in streams of engines, by what they are. */
  uint64_t checked[MT_EVENT_VERDICT_COUNT];
  uint64_t invalid_heads[MT_HEAD_FAULTS];
  uint64_t refusals[MT_RELAY_REFUSAL_COUNT];
  uint64_t retries[MT_RELAY_RETRY_COUNT];
  uint64_t refused_lagging; /* of FULL: because ticks come late */
  uint64_t retries_denied;
  uint64_t hedges[MT_HEDGE_OUTCOMES];
  uint64_t hedges_denied;  /* no engine, room or permit for one */
  uint64_t silent_engines; /* times that an engine was found silent */
  uint64_t fetches, tokens_fetched; /* KV cache moved between engines */
  uint64_t probes;                  /* connections opened to test an engine */
  uint64_t domain_cuts; /* times that a failure domain became unreachable */
  uint64_t drains_gossiped;  /* draining engines known from gossip only */
  uint64_t drains, backoffs; /* advertised by engines to this router */
  uint64_t runs_lost;        /* attempts lost as their engine exited */
  uint64_t resumed;          /* requests that resume a stream */
  uint64_t origins_told;     /* origins of streams told to owners */
  uint64_t origins_found[MT_ORIGIN_SOURCES]; /* of resumed streams */
  /* Streams added to this router's record, or not, since it was full; rows
     read in records of all routers; calls that failed. */
  uint64_t origins_recorded, origins_unrecorded, origins_read;
  uint64_t origin_writes_failed, origin_reads_failed;
  /* Reads of the list of engines for resumed streams, and those that failed
     or came too late. */
  uint64_t list_checks, list_checks_failed;
  /* Retries within an answer at another software version; always 0, unless
     a stream is not bound. */
  uint64_t version_changes;
  /* Owners' replies to requests on probation. */
  uint64_t trials[MT_TRIAL_COUNT];
  uint64_t quotes_asked, quotes_late;  /* rounds: sent, timed out */
  uint64_t admissions[MT_ADMIT_COUNT]; /* quotes received, by admission */
  /* Routers' reports of measurements at engines, by what became of them. */
  uint64_t speed_reports[MT_SPEED_REPORT_COUNT];
} mt_relay_counters_t;

const char *mt_relay_refusal_code (mt_relay_refusal_t why);
int mt_relay_refusal_status (mt_relay_refusal_t why);
const char *mt_relay_retry_code (mt_relay_retry_t why);

/* }== */

/* {== Events =========================================================== */

#define MT_RELAY_SEGMENTS_MAX 16 /* segments of a prompt that are placed */
/* Segments behind these that may be suspected of crashing engines; a header
   of 4 KB has no more. */
#define MT_RELAY_FURTHER_MAX 240

/* An incoming request as the adapter parsed it; texts are borrowed until the
   step returns. */
typedef struct mt_relay_incoming_t {
  mt_bytes_t id, host, path, key;
  bool head_only;      /* its body does not come: it can only be refused */
  uint64_t digest;     /* hash of the request text; 0: unknown */
  int64_t deadline_ms; /* how long the caller waits; -1: unknown */
  int64_t last_event;  /* id of the last event received; -1: none */
  mt_bytes_t resumes;  /* id of the request whose stream it resumes; empty:
                          none */
  /* Prompt tokens and the most completion tokens; 0: unknown. */
  int64_t tokens_in, tokens_out;
  int64_t tokens_hint; /* expected completion tokens; 0: unknown */
  mt_prefix_segment_t segments[MT_RELAY_SEGMENTS_MAX];
  size_t segments_count;
  uint64_t
      further[MT_RELAY_FURTHER_MAX]; /* ids of the segments behind them */
  size_t further_count;
} mt_relay_incoming_t;

typedef enum mt_relay_event_kind_t {
  MT_RELAY_TICK,
  MT_RELAY_REQUEST,
  MT_RELAY_CALLER_DISCONNECTED,
  MT_RELAY_WRITTEN,        /* the request is being written to the engine */
  MT_RELAY_HEAD,           /* an engine's response head */
  MT_RELAY_DATA,           /* bytes of the response body */
  MT_RELAY_END,            /* the response is complete */
  MT_RELAY_FAILED,         /* the connection failed before that */
  MT_RELAY_PAUSED,         /* the adapter stops or resumes reading it */
  MT_RELAY_QUOTED,         /* quotes from owners of engines */
  MT_RELAY_PROBED,         /* result of a connection test */
  MT_RELAY_TRIAL_ANSWERED, /* an owner's reply on running a suspect request */
  MT_RELAY_ORIGIN_ASKED,   /* owners were asked where a stream began */
  MT_RELAY_ORIGIN_ANSWERED, /* a reply of one of them */
  MT_RELAY_LIST_CHECKED,    /* the list of engines was read at the source */
  MT_RELAY_RECORDS_READ,    /* the records of origins were read, or not */
  MT_RELAY_RESTARTED,       /* an engine restarted under the same name */
  MT_RELAY_NOTICE,          /* an engine advertised a drain or a backoff */
  MT_RELAY_STOP             /* the process is about to stop */
} mt_relay_event_kind_t;

/* What the owner of an engine replies about it, for one request. */
typedef struct mt_relay_quote_t {
  uint64_t engine;
  mt_engine_load_t peers; /* load from all routers but the one that asked */
  int64_t cached;         /* leading prompt tokens, probably cached */
  uint64_t holder; /* another engine with the shared segments; 0: none */
  mt_admission_t admission;
  mt_speed_figures_t speed; /* all zero: the owner doesn't know */
  double rejection_rate;    /* of all routers' attempts, 0 to 1 */
} mt_relay_quote_t;

/* Whether an engine ran the request, by its response head. */
typedef enum mt_relay_verdict_t {
  MT_RELAY_RAN,      /* it ran, or may have */
  MT_RELAY_NOT_RUN,  /* rejected without running it */
  MT_RELAY_UNSIGNED, /* it may have run, but this is not its response */
  MT_RELAY_REPLACED  /* another engine now has this address; not run */
} mt_relay_verdict_t;

typedef struct mt_relay_event_t {
  mt_relay_event_kind_t kind;
  mt_ms_t now;
  uint64_t request; /* number that the adapter gave it */
  int attempt;
  /* DATA: the adapter had stopped reading, as the caller did not read. */
  bool delayed;
  union {
    const mt_relay_incoming_t *incoming; /* REQUEST */
    struct {
      int status;
      mt_relay_verdict_t verdict;
      bool events; /* the body is a text/event-stream */
      bool framed; /* has a length or is chunked: a truncated body can be
                      told from a complete one */
    } head;
    mt_bytes_t data;
    struct {
      const mt_relay_quote_t *list;
      size_t count;
    } quotes;
    struct {
      uint64_t engine;
      bool up, refused; /* refused: no process listens on the port */
    } probed;
    struct {
      const mt_suspect_message_t *message; /* the question it replies to */
      mt_trial_verdict_t verdict;
    } tried; /* TRIAL_ANSWERED */
    struct {
      uint64_t engine;
      mt_engine_notice_t advertises;
      mt_engine_drain_t drain; /* if the notice announces one */
    } notice;
    struct {
      uint64_t engine;
      bool version_changed; /* of its software */
    } restarted;
    mt_origin_asked_t asked; /* ORIGIN_ASKED */
    struct {
      uint64_t check; /* the last CHECK_LIST before the read began */
      bool complete;  /* all changes made before it are applied */
    } checked;        /* LIST_CHECKED */
    /* ORIGIN_ANSWERED; request 0: about all streams of the service */
    struct {
      mt_id_t service;
      const mt_origin_answer_t *answer;
    } origin;
    bool complete;  /* RECORDS_READ: all of them were */
    bool connected; /* WRITTEN: a new connection was made for it */
    bool paused;    /* PAUSED: it stops */
    struct {
      bool not_sent; /* no byte reached the engine */
      bool refused;  /* not sent: no process listens on the port */
    } failed;
    mt_ms_t stop_ms; /* STOP: time until the process exits */
  } u;
} mt_relay_event_t;

/* }== */

/* {== Effects ========================================================== */

typedef enum mt_relay_effect_kind_t {
  MT_RELAY_DO_REFUSE,         /* send an error response to the caller */
  MT_RELAY_DO_GET_QUOTES,     /* ask owners of this round's candidates */
  MT_RELAY_DO_START,          /* send the request to an engine */
  MT_RELAY_DO_CANCEL,         /* end the attempt and close its connection */
  MT_RELAY_DO_HEAD,           /* forward the first response head */
  MT_RELAY_DO_DATA,           /* forward body bytes */
  MT_RELAY_DO_END,            /* finish the caller's response */
  MT_RELAY_DO_ABORT,          /* close the caller's connection mid-response */
  MT_RELAY_DO_PROBE,          /* test whether an engine accepts connections */
  MT_RELAY_DO_RETURN_PERMIT,  /* return an unused permit to its owner */
  MT_RELAY_DO_REPORT_HOLDER,  /* report where shared segments are cached */
  MT_RELAY_DO_REPORT_NOT_RUN, /* report a prompt to the engine's owner */
  MT_RELAY_DO_TELL_ORIGIN,    /* tell a stream's owners where it began */
  MT_RELAY_DO_ASK_ORIGIN,     /* ask them */
  MT_RELAY_DO_ASK_DOMAINS,    /* ask routers of all failure domains */
  MT_RELAY_DO_CHECK_LIST,     /* read the list of engines at the source */
  MT_RELAY_DO_WRITE_RECORD,   /* write this router's record of origins */
  MT_RELAY_DO_READ_RECORDS,   /* read the records of all routers */
  MT_RELAY_DO_SEND_TO_OWNER /* send a message to a suspect request's owner */
} mt_relay_effect_kind_t;

/* A prompt that was sent to an engine, or was about to be, and not run. */
typedef struct mt_prompt_not_run_t {
  uint64_t engine;
  mt_prefix_segment_t segments[MT_RELAY_SEGMENTS_MAX];
  size_t count;
  int64_t tokens; /* that the engine was expected to process for it */
  bool rejected;  /* by the engine; else it did not receive the request */
} mt_prompt_not_run_t;

#define MT_RELAY_LENGTH_UNKNOWN (-1)
#define MT_RELAY_LENGTH_UNFRAMED (-2) /* body ends with the connection */

typedef struct mt_relay_effect_t {
  mt_relay_effect_kind_t kind;
  uint64_t request;
  int attempt;
  union {
    struct {
      mt_relay_refusal_t why;
      mt_ms_t retry_after; /* Retry-After, ms; 0: no such header */
    } refuse;
    struct {
      uint64_t engine;
      mt_ms_t deadline_ms; /* time left */
      int64_t last_event; /* resume after this event id; -1: from the start */
      mt_id_t workspace;  /* 0: none */
      uint64_t source;    /* engine to fetch KV cache from; 0: none */
      bool hedge;         /* beside the current attempt, which goes on */
      mt_ms_t max_idle_ms; /* of a reused connection */
    } start;
    uint64_t probe;               /* PROBE: the engine */
    uint64_t permit;              /* RETURN_PERMIT: the engine */
    mt_prompt_not_run_t not_run;  /* REPORT_NOT_RUN */
    mt_origin_report_t origin;    /* TELL_ORIGIN; ASK_ORIGIN, ASK_DOMAINS: key
                                     and service of what to ask for */
    mt_suspect_message_t message; /* SEND_TO_OWNER */
    uint64_t check;               /* CHECK_LIST: its number; they rise */
    /* WRITE_RECORD: borrowed until the next step */
    const mt_origin_record_t *record;
    int64_t length;  /* HEAD: of the body, or MT_RELAY_LENGTH_* */
    mt_bytes_t data; /* borrowed until the next step */
  } u;
} mt_relay_effect_t;

typedef struct mt_relay_effects_t {
  mt_relay_effect_t *list;
  size_t count, cap;
} mt_relay_effects_t;

/* }== */

/* {== State ============================================================ */

/* Attempts per request, failed connections included. */
#define MT_RELAY_TRIES_MAX 6

typedef enum mt_relay_phase_t {
  MT_RELAY_SENT,      /* sent to an engine; no response body yet */
  MT_RELAY_BUFFERING, /* a short response is buffered before forwarding */
  MT_RELAY_STREAMING, /* the response head has been forwarded */
  MT_RELAY_AWAITING_QUOTES, /* not placed yet: waits for quotes */
  MT_RELAY_AWAITING_TRIAL,  /* not placed yet: waits for a suspect's lease */
  MT_RELAY_AWAITING_ORIGIN  /* not placed yet: waits for a stream's origin */
} mt_relay_phase_t;

#define MT_RELAY_ROUND_MAX 4       /* engines asked about in one round */
#define MT_RELAY_CANDIDATES_MAX 16 /* in all rounds */

/* An engine whose owner was asked for a quote. */
typedef struct mt_relay_candidate_t {
  uint64_t engine;
  mt_ms_t asked;   /* when its owner was asked */
  bool quoted;     /* the fields below are valid */
  int64_t cached;  /* leading prompt tokens, probably cached */
  uint64_t holder; /* an engine with the shared segments; 0: unknown */
  mt_admission_t admission;
} mt_relay_candidate_t;

/* One attempt of a request at an engine. */
typedef struct mt_attempt_t {
  int number;              /* from 1 in its request; 0: none yet */
  mt_engine_t *engine;     /* NULL: the attempt is over */
  char engine_name[48];    /* for logs */
  char engine_version[24]; /* its software version; empty: not stated */
  mt_id_t sent_version;    /* the same as an id, when sent */
  bool written;            /* bytes of it may have reached the engine */
  mt_ms_t written_at;      /* since then */
  /* awaiting_event: the prompt counts as not prefilled yet; events: the
     response is a text/event-stream; framed: by this engine. */
  bool awaiting_event, events, framed;
  int64_t pending_prefill, held; /* tokens: its part of the engine's load */
  int64_t fetched;    /* tokens of KV cache that the engine fetches */
  bool home;          /* the engine is the fleet's home of its segments */
  bool has_permit;    /* has a permit for a cold engine */
  int64_t work_ahead; /* pending prefill there when sent, its own included */
  double wait_expected;  /* at placement, ms */
  double ttft_expected;  /* time to first token in ms */
  double slowness;       /* of the engine, as used */
  double pause_expected; /* longest gap between events, ms; 0: unknown */
  mt_ms_t ttft;          /* the same as measured; 0: none yet */
  /* Time sent; of its head, or of the last byte or new event of its body; of
     any byte, 0: none yet. */
  mt_ms_t sent, last_received, heard;
  int status; /* of the response; 0: none yet */
  mt_event_stream_t stream;
  int64_t last_id;        /* of its last event; -1: none */
  bool has_events;        /* one was taken */
  bool has_others;        /* lines that are no event were passed over */
  const char *fault;      /* what made the response invalid; NULL: nothing */
  bool again;             /* an earlier attempt may have reached the engine */
  mt_ms_t event_received; /* the last one; 0: none */
  mt_ms_t first_event_at; /* 0: none has come */
  bool outlived;          /* the engine has outlived the first event */
  bool delayed;           /* the router didn't read since the last event */
  bool paused;            /* the adapter does not read the response */
  bool lagged;            /* it was paused: what is read may be old */
} mt_attempt_t;

typedef struct mt_relay_request_t {
  uint64_t number;
  char id[40];      /* the caller's request id, for logs */
  uint64_t digest;  /* hash of text and workspace; 0: unknown */
  char resumes[40]; /* id of the request whose stream it resumes, or empty */
  size_t index;     /* in `list` of the relay */
  struct mt_relay_request_t *finished_next;
  mt_relay_phase_t phase;
  mt_relay_refusal_t outcome;
  /* Copied from its route on arrival. */
  mt_route_kind_t kind;
  bool repeatable, resumable;
  int attempts_max; /* engines that may receive it */
  mt_id_t route, service, workspace;
  /* Latency objective: for the whole response, or for the time to first token
     of a stream; target for the time between stream events. */
  mt_ms_t objective, pause;
  mt_ms_t arrived, expires, deadline; /* deadline: not used */
  /* From the incoming request; cost: weighted tokens that its workspace is
     charged. */
  int64_t tokens_in, tokens_out, cost, last_event;
  int64_t first_event;     /* of last_event: its value on arrival */
  int64_t tokens_expected; /* completion tokens, as hinted; 0: unknown */
  /* Its stream (stream_resume.h). bound: goes only to engines of `version`,
     where it began; 0 if that cannot be told; told: owners know it. */
  uint64_t stream_key; /* 0: none */
  bool resumes_stream, bound, told;
  bool recorded;       /* this router's record has it */
  bool records_missed; /* refused before the records could be read */
  mt_id_t version;
  mt_origin_source_t origin_source;
  /* While the origin is awaited: owners asked, and replies. origin_sole: the
     version that routers report as the only one; origin_doubted: they do not
     agree. */
  int origin_asked, origin_replies;
  mt_id_t origin_sole;
  bool origin_doubted;
  /* Failure domains in which it may have begun; those of which a router has
     confirmed origin_sole. */
  mt_domain_set_t origin_domains, origin_confirmed;
  bool domains_asked; /* all of them were asked */
  mt_ms_t resumed_at; /* when its origin was first asked for */
  uint64_t check;     /* number of the CHECK_LIST for it; 0: none was due */
  bool list_checked, list_check_failed; /* that read is complete; it failed */
  mt_prefix_segment_t segments[MT_RELAY_SEGMENTS_MAX];
  size_t segments_count;
  /* Home engines of its shared segments (candidates.h): of the fleet, of this
     router's failure domain; 0: none. */
  uint64_t home_global, home_local;
  mt_relay_candidate_t candidates[MT_RELAY_CANDIDATES_MAX];
  /* round_first: index of the first candidate of the last round. */
  size_t candidates_count, round_first;
  int rounds; /* of quotes asked for */
  /* Only engines of unreachable failure domains are left for it: those are
     tried. */
  bool ignores_cuts;
  mt_ms_t asked; /* when an owner was last asked */
  /* Its names as a suspect (suspects.h): the digest, if it is known, and the
     prompt's shared segments; owned. */
  uint64_t *names;
  size_t names_count;
  /* Leases of a suspect request (quarantine.h): no other request with
     trial_name may run meanwhile; no other suspect may run at trial_engine.
   */
  bool on_trial, holds_engine;
  uint64_t trial_name;   /* 0: it is no suspect */
  uint64_t trial_engine; /* 0: not chosen */
  mt_attempt_t current;
  mt_attempt_t hedge; /* beside the current one; its engine is NULL: none */
  mt_ms_t next_hedge; /* not to be tried before */
  int attempts;       /* number of the last attempt */
  /* Engines that may have received it. */
  uint64_t reached[MT_RELAY_TRIES_MAX];
  int reached_count;
  /* may_have_run: an earlier attempt; framed_to_caller: in the forwarded
     head; charged: the cost, to the workspace. */
  bool may_have_run, framed_to_caller, charged;
  mt_ms_t charged_at;   /* when the rates had last been decayed then */
  double service_ratio; /* of the workspace, at placement */
  uint64_t tried[MT_RELAY_TRIES_MAX];
  int tried_count;
  /* Those of them whose responses were invalid, and that are not to be used
     before all others. */
  uint64_t invalid[MT_RELAY_TRIES_MAX];
  int invalid_count;
  mt_ms_t event_forwarded; /* the last one; 0: none */
  mt_ms_t longest_gap;     /* between events as forwarded, ms */
  int64_t events_count;    /* forwarded */
  char *body;              /* BUFFERING: the body so far */
  size_t body_size, body_cap;
} mt_relay_request_t;

/* Decaying sums over complete streams: how many events they had, and the
   completion tokens that were expected of them. */
typedef struct mt_stream_length_t {
  double streams, events, tokens;
} mt_stream_length_t;

/* This router's measurements of a service's engines, and its retry budget. */
typedef struct mt_relay_service_t {
  mt_id_t id;
  mt_prefill_time_t prefill_time;
  mt_retry_budget_t budget;
  int ready; /* available engines, as last counted */
  double avg_pending_prefill, avg_running; /* at homes, smoothed */
  mt_stream_length_t stream_length;
  mt_service_versions_t versions;
  /* The longest time that a caller of a stream was going to wait. */
  mt_ms_t longest_deadline;
  /* Reported by another router: the only version at which streams began that
     could be resumed then, by a list of engines with all changes up to
     `reported_rev`; 0: none. */
  mt_id_t reported_sole;
  mt_revision_t reported_rev;
} mt_relay_service_t;

/*
** Features of the placement logic that settings can switch off, to measure
** what each contributes: symbol, name in the settings.
*/
#define MT_RELAY_MECHANISMS(ROW)                                          \
  /* Prefill time has a constant term beside the one per token. */        \
  ROW(MT_RELAY_FIXED_PART, "fixed_part")                                  \
  /* Engines fetch KV cache from each other. */                           \
  ROW(MT_RELAY_FETCH, "fetch")                                            \
  /* Fair shares use the declared capacity of the engines. */             \
  ROW(MT_RELAY_DECLARED_LEVEL, "declared_level")                          \
  /* Shared segments have home engines. */                                \
  ROW(MT_RELAY_HOME, "home")                                              \
  /* The home with the second greatest hash is asked, too. */             \
  ROW(MT_RELAY_SECOND_HOME, "second_home")                                \
  /* Owners are asked for quotes. */                                      \
  ROW(MT_RELAY_QUOTES, "quotes")                                          \
  /* When the local failure domain is full, remote ones are asked. */     \
  ROW(MT_RELAY_REMOTE_ROUND, "far_round")                                 \
  /* Quotes name engines that cache segments away from their home. */     \
  ROW(MT_RELAY_HOLDERS, "holders")                                        \
  /* Cached tokens count less for workspaces with a low service ratio. */ \
  ROW(MT_RELAY_RELAX_LOCALITY, "owed")                                    \
  /* The slowness of each engine is measured. */                          \
  ROW(MT_RELAY_SLOWNESS, "slowness")                                      \
  /* Engines that fail repeatedly get no work for a while. */             \
  ROW(MT_RELAY_SUSPEND, "rest")                                           \
  /* Connections to unreachable engines are tested without a request. */  \
  ROW(MT_RELAY_PROBE, "probe")                                            \
  /* Owners merge what all routers measure of an engine's slowness. */    \
  ROW(MT_RELAY_FLEET_SPEED, "fleet_speed")                                \
  /* The same of the pauses of its streams, which count as costs. */      \
  ROW(MT_RELAY_PAUSES, "pauses")                                          \
  /* Failure domains count as unreachable after connects timed out. */    \
  ROW(MT_RELAY_DOMAIN_REACH, "domain_reach")                              \
  /* Owners count how often their engines reject, and quote the rate. */  \
  ROW(MT_RELAY_FLEET_REJECTIONS, "fleet_rejections")

typedef enum mt_relay_mechanism_t {
#define MT_RELAY_SYMBOL(symbol, name) symbol,
  MT_RELAY_MECHANISMS(MT_RELAY_SYMBOL)
#undef MT_RELAY_SYMBOL
      MT_RELAY_MECHANISM_COUNT
} mt_relay_mechanism_t;

/* Parameters of placement, admission and retries. */
typedef struct mt_relay_params_t {
  mt_retry_params_t retry;
  mt_cold_params_t cold;
  size_t max_running; /* requests in progress; more are refused */
  /* An engine that is no longer listed gets work for this much longer. */
  mt_ms_t unlisted_grace_ms;
  /* The wait limit (placement.c) is this fraction of the service's shortest
     objective, */
  double wait_fraction;
  /* times (shortest objective / own objective) to this power, */
  double objective_power;
  /* and for a service ratio s > 1 times the greater of near_idle_fraction *
     s^-3 and s^-over_share_power. */
  double near_idle_fraction;
  double over_share_power;
  /* The wait limit is reduced where the expected time to first token would
     exceed this fraction of the objective (wait_limit.h); 0: it is not. */
  double ttft_fraction;
  /* Weight of prefill time against waiting time, for the workspace with the
     highest service ratio and for one that was served nothing. */
  double miss_weight;
  double miss_weight_relaxed;
  /* Fraction of the wait limit that applies in remote failure domains, up to
     and beyond the fair share. */
  double remote_wait_fraction;
  double remote_wait_fraction_over_share;
  /* Weight of the time to fetch KV cache, to be multiplied by miss_weight. */
  double kv_transfer_weight;
  double cross_domain_ms;  /* cost of a remote failure domain, in ms */
  mt_event_rules_t events; /* what counts as an event of a stream */
  bool off[MT_RELAY_MECHANISM_COUNT]; /* mechanisms switched off */
} mt_relay_params_t;

/* Load of one service in a remote failure domain, from its owners' quotes. */
typedef struct mt_domain_load_t {
  mt_id_t domain, service;
  double pending_prefill; /* pending prefill of one engine, smoothed */
  mt_ms_t quoted_at;      /* time of the last quote; 0: none */
} mt_domain_load_t;

#define MT_DOMAIN_LOADS_MAX 256 /* pairs of failure domain and service */

typedef struct mt_relay_t {
  mt_ms_t now;
  mt_ms_t last_tick;   /* last tick: all input before it is processed */
  mt_ms_t reads_since; /* it has read its input in time since then */
  char domain[MT_NAME_MAX + 1];
  mt_relay_params_t params;
  mt_catalog_t *catalog; /* configuration in force; NULL: none yet */
  /* A newer configuration may exist that this router cannot read. */
  bool config_maybe_stale;
  /* This process is short of processor time: it takes streams only of
     workspaces whose demand here is below a multiple of the mean. */
  bool overloaded;
  double demand_limit; /* that multiple */
  /* Memory is short: of a response that is kept until it is whole; 0: no more
     than usual. */
  size_t buffer_max;
  size_t buffered; /* bytes of all that are kept */
  char *spent;     /* one that was passed on, freed by the next step */
  mt_ms_t stop_since, stop_until; /* 0: not stopping */
  int routers;                    /* alive, this one included */
  double reach; /* fraction of the known routers that are alive, 0 to 1 */
  mt_engines_t engines;
  mt_load_table_t router_loads; /* loads of peers at engines owned here */
  mt_prefix_holders_t holders;  /* of segments whose home is owned here */
  mt_cold_starts_t cold;        /* cold engines and their permits */
  mt_domain_load_t domain_loads[MT_DOMAIN_LOADS_MAX];
  size_t domain_loads_count;
  mt_domain_reaches_t reaches; /* of remote failure domains */
  mt_evacuations_t evacuations;
  mt_early_drains_t early_drains;
  mt_denials_t denials; /* revoked, but still in the catalog here */
  mt_fair_share_t shares;
  double accepted; /* fraction of requests that engines accept, 0 to 1 */
  mt_suspects_t suspects;
  mt_stream_origins_t origins;
  mt_origin_records_t records; /* of origins, at the source */
  /* The list of engines was last up to date at `list_current_at`, and was so
     since `list_since` without a gap; 0: never. */
  mt_ms_t list_current_at, list_since;
  /* The list has all changes up to `list_rev`, and was followed without a gap
     since it was at `list_since_rev`. */
  mt_revision_t list_rev, list_since_rev;
  mt_ms_t list_confirmed;       /* all changes made by then are known */
  uint64_t list_check;          /* number of the last CHECK_LIST */
  mt_ms_t list_check_failed_at; /* when the last one failed; 0: it did not */
  mt_ms_t next_version_request; /* to routers that have run for longer */
  mt_ended_runs_t lost;         /* recent ones, and unconfirmed answers */
  mt_map_t services;            /* id -> mt_relay_service_t, owned */
  mt_map_t requests;            /* number -> mt_relay_request_t, owned */
  mt_relay_request_t **list;
  size_t count, cap;
  mt_relay_request_t *finished; /* freed by the next step */
  mt_ms_t next_update;
  mt_ms_t no_engine_at; /* last refusal for want of an engine; 0: none */
  mt_relay_counters_t counters;
  mt_relay_effects_t *effects; /* of the current step */
  void (*log)(void *ud, const mt_relay_request_t *request,
              const char *outcome, const char *why);
  void (*log_engine)(void *ud, const mt_engine_t *engine);
  /* The failure domain of the engine became reachable or unreachable. */
  void (*log_domain)(void *ud, const mt_engine_t *engine, bool reachable);
  void *log_ud;
} mt_relay_t;

/* }== */

/* The mechanism with this name in settings, or MT_RELAY_MECHANISM_COUNT. */
mt_relay_mechanism_t mt_relay_mechanism (const char *name);

mt_relay_t *mt_relay_new (const char *domain,
                          const mt_relay_params_t *params);
void mt_relay_free (mt_relay_t *relay);

/* The current attempt or hedge of that number; NULL: it is over. */
const mt_attempt_t *mt_relay_attempt (const mt_relay_request_t *request,
                                      int number);

/* Processes one event; appends the effects that follow from it. */
void mt_relay_step (mt_relay_t *relay, const mt_relay_event_t *event,
                    mt_relay_effects_t *effects);

/* True if a request with this head is refused, whatever its body is. */
bool mt_relay_refuses_head (mt_relay_t *relay,
                            const mt_relay_incoming_t *incoming);

/*
** Puts a configuration in force and takes ownership of it. False, and it is
** freed, if it is not newer than the present one.
*/
bool mt_relay_set_catalog (mt_relay_t *relay, mt_catalog_t *catalog);

/*
** An engine is no longer listed. One that drained is gone. One that had not
** may be listed again at once (a list can lose entries while its source has
** trouble), so it gets work for `unlisted_grace_ms` from `since`, when the
** first router noticed.
*/
void mt_relay_engine_unlisted (mt_relay_t *relay, mt_engine_t *engine,
                               mt_ms_t since, mt_ms_t now);

/*
** An engine was listed; its failure domain is already set. It is cold for
** `cold_left` ms more; 0: it is warm.
*/
void mt_relay_engine_listed (mt_relay_t *relay, mt_engine_t *engine,
                             mt_ms_t cold_left, mt_ms_t now);

/*
** Evacuates a failure domain, whose engines then get no new work, or readmits
** it. False if nothing changes.
*/
bool mt_relay_evacuate (mt_relay_t *relay, const char *domain, bool on,
                        mt_ms_t now);

/*
** Updates a peer's load at an engine that this router owns, and the cached
** segments of the engine by those of the prompt that the peer has just sent
** there (count 0: none).
*/
void mt_relay_update_peer_load (mt_relay_t *relay, uint64_t engine,
                                const mt_load_row_t *row,
                                const mt_prefix_segment_t *segments,
                                size_t count);

/* A peer reports a prompt that an engine which this router owns has not run:
   its segments were counted as cached with the peer's load. */
void mt_relay_peer_not_run (mt_relay_t *relay, uint64_t router,
                            const mt_prompt_not_run_t *prompt);

/* The slowness of an engine, by which its times to first token are
   multiplied: its owner's figure while it is recent, else this router's own.
 */
double mt_relay_slowness (const mt_relay_t *relay, const mt_engine_t *engine);

/* Gaps between the events of an engine's streams by its owner's recent
   figures; unknown without them. */
mt_gap_figures_t mt_relay_gaps (const mt_relay_t *relay,
                                const mt_engine_t *engine);

/* Expected number of events in the response to a request; 0: unknown. */
double mt_relay_expected_events (mt_relay_t *relay,
                                 const mt_relay_request_t *request);

/* The owner's quote for `router`; 0: for this router itself. Its admission
   is left unknown. */
mt_relay_quote_t mt_relay_quote (mt_relay_t *relay, uint64_t engine,
                                 uint64_t router,
                                 const mt_prefix_segment_t *segments,
                                 size_t count);

/*
** The owner's admission of one request to the engine. `is_owner`: this router
** owns the engine also if suspected routers count as owners; otherwise it
** grants no permits, since a suspected owner may still grant them.
*/
mt_admission_t mt_relay_admission (mt_relay_t *relay, uint64_t engine,
                                   bool is_owner);

/* Appends an effect of the current step. */
mt_relay_effect_t *mt_relay_effect (mt_relay_t *relay,
                                    mt_relay_effect_kind_t kind);

/* Prefill time at one engine of the service: a constant term and one per
   token. */
mt_prefill_model_t mt_relay_prefill_time (mt_relay_t *relay, mt_id_t service);
/* The same without the constant term, in tokens per ms. */
double mt_relay_prefill_rate (mt_relay_t *relay, mt_id_t service);
/* What was measured of a service; created on first use. */
mt_relay_service_t *mt_relay_service (mt_relay_t *relay, mt_id_t id);

#endif
