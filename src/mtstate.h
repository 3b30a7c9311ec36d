/*
** mtstate.h - the state of a router, kept by the reducer
*/
#ifndef mtstate_h
#define mtstate_h

#include "mtcost.h"
#include "mtevent.h"

/* {== Membership ======================================================= */

/* One router of the fleet, as this router knows it. */
typedef struct mt_member_t {
  mt_node_t node;
  mt_id_t id, domain;
  mt_ms_t last_received;  /* from it, or 0 */
  mt_ms_t changed;        /* last change to this entry */
  mt_ms_t view_sent;      /* last full view sent to it; 0: none */
  mt_ms_t heartbeat_sent; /* last heartbeat sent to it */
  int64_t revision;       /* configuration in force there, by its heartbeat */
  uint64_t clock;         /* sender's clock of its last message, in ms */
  int mismatches; /* consecutive heartbeats with another view digest */
  bool suspect;   /* silent for MT_SUSPECT_MS */
} mt_member_t;

typedef struct mt_members_t {
  mt_map_t byid; /* router id -> mt_member_t, owned */
  mt_member_t *self;
  uint64_t digest; /* of the live entries; heartbeats carry it */
  mt_ms_t next_heartbeat, next_cross_heartbeat;
  mt_ms_t paused_until; /* after a pause: no grants before this */
  uint64_t epoch;       /* incremented when roles may have changed */
} mt_members_t;

/* }== */

/* {== Scheduling ======================================================= */

/* One workspace's service at one scheduler; mtG_tag gives its tag. */
typedef struct mt_account_t {
  mt_id_t ws;
  mt_units_t retired; /* served by router processes that are gone */
  mt_units_t served;  /* by the domain's live routers: sum of their rows */
  mt_units_t pending; /* estimate for running requests: sum of rows */
  mt_units_t unacked; /* estimate for grants not yet acknowledged */
  mt_units_t remote_served; /* sums over the other domains */
  mt_units_t remote_pending;
  mt_units_t lift;     /* tag increase after idleness; merged by maximum */
  mt_units_t forgiven; /* tag decrease for excess debt; merged by maximum */
  mt_units_t cost;     /* estimate for its next request */
  mt_units_t echo;     /* local total as a remote domain knows it */
  int32_t waiting;     /* requests queued in this domain */
  int32_t remote_waiting; /* requests queued in the others */
  int32_t reported;       /* `waiting` as last sent to the others */
  uint32_t turn; /* grants so far: rotates over routers and domains */
  bool active;   /* had queued requests at the last update */
  bool dirty;    /* changed since the last exchange */
} mt_account_t;

/* The demand of one router, as reported to this scheduler. */
typedef struct mt_edgeview_t {
  mt_id_t node;
  uint64_t boot;  /* of the reporting process */
  uint64_t clock; /* the router's clock in its last report, in ms */
  mt_ms_t last_received;
  uint32_t reports; /* reports received; marks their rows */
  bool dead;
  mt_map_t rows;    /* workspace -> mt_ws_row_t, owned */
  mt_map_t running; /* target -> running requests */
} mt_edgeview_t;

/* The totals of another domain, as its scheduler sent them. */
typedef struct mt_remote_t {
  mt_id_t domain;
  uint64_t boot;
  mt_ms_t last_received;
  bool current;    /* not expired: its pending and queued requests count */
  bool needs_full; /* the next exchange is a full one */
  mt_map_t rows;   /* workspace -> mt_ws_row_t, owned */
} mt_remote_t;

/* A grant or offer whose result has not been reported. */
typedef struct mt_unacked_t {
  uint64_t id;        /* of the grant */
  mt_id_t target, ws; /* target 0: another domain's, passed on */
  mt_id_t edge;       /* router it was granted to, or 0 */
  mt_id_t todomain;   /* domain it was offered to, or 0 */
  mt_units_t est;     /* estimated cost of the request */
  mt_ms_t sent;
} mt_unacked_t;

/* The scheduler of one pool's targets in one failure domain; the standby
   keeps the same state without granting. */
typedef struct mt_sched_t {
  mt_id_t domain, pool;
  bool primary;      /* this router issues the grants */
  bool ready;        /* enough reports have arrived to grant */
  bool fresh;        /* has not yet requested its totals from other domains */
  mt_ms_t since;     /* when it became primary */
  mt_units_t vtime;  /* least tag of waiting workspaces; never decreases */
  mt_map_t accounts; /* workspace -> mt_account_t, owned */
  mt_account_t **list; /* the same, in order of creation */
  size_t naccounts, list_cap;
  mt_edgeview_t **edges;
  size_t nedges, edges_cap;
  mt_remote_t **remotes;
  size_t nremotes, remotes_cap;
  mt_unacked_t *unacked;
  size_t nunacked, unacked_cap;
  mt_map_t in_backoff; /* target -> time until which it gets no grant */
  mt_ms_t nextexchange, nextfull, last_exchange;
  mt_ms_t interval; /* between exchanges, within MT_EXCHANGE_BYTES_PER_S */
  bool urgent; /* more requests wait here without a slot: exchange early */
  bool dirty;  /* something changed since the last run */
} mt_sched_t;

/* }== */

/* {== Requests ========================================================= */

typedef enum mt_reqstate_t {
  MT_R_CLAIMING,  /* waits for its claim to be written */
  MT_R_WAITING,   /* in its workspace's queue */
  MT_R_BACKOFF,   /* waits to be queued again */
  MT_R_RUNNING,   /* an attempt has started, nothing is forwarded yet */
  MT_R_FORWARDING /* the response has begun */
} mt_reqstate_t;

typedef struct mt_req_t {
  uint64_t id;
  mt_reqstate_t state;
  mt_id_t ws, pool, target;
  mt_id_t affinity; /* target that probably caches its prefix, or 0 */
  mt_id_t avoid;    /* target of the previous attempt, or 0 */
  bool stream, repeatable, claimed, resumed;
  bool mayhaverun;        /* a target may have started to run it */
  int joined;             /* requests that share its response */
  uint32_t attempt;       /* number of the current one; 0: none yet */
  uint64_t session, idem; /* as in mt_reqparams_t */
  int32_t order;          /* from the policy program; larger goes first */
  uint64_t set;           /* digest of `targets`; 0: any target of the pool */
  mt_id_t *targets;
  size_t ntargets;
  int32_t skipped; /* later requests of its queue that were taken before it */
  mt_ms_t arrived, deadline, notbefore, started;
  int64_t tokens; /* output of the current attempt so far */
  uint32_t promptbytes;
  int64_t maxcost;               /* upper bound by max_tokens, 0: none */
  mt_units_t remaining, charged; /* expected; so far */
  struct mt_req_t *prev, *next;
} mt_req_t;

/* A token bucket of retries: filled by a percentage of the requests and by
   MT_RETRIES_PER_S_MIN. */
typedef struct mt_retrybudget_t {
  mt_ms_t at;   /* last refill */
  int64_t left; /* in hundredths of a retry */
} mt_retrybudget_t;

/* The queued requests of one workspace for one pool. */
typedef struct mt_queue_t {
  mt_id_t ws, pool;
  mt_req_t *head, *tail;
  int32_t n;
  mt_units_t served;  /* never decreases */
  mt_units_t credit;  /* overcharge, deducted from later charges */
  mt_units_t pending; /* estimate of what its running requests still cost */
  mt_costs_t costs;   /* of its ended requests */
  int32_t running;
  mt_ms_t changed;
  uint64_t waits, waitsum, waitmax; /* granted requests; their waits, ms */
  bool dirty;                       /* in its outbox's list */
  bool immediate; /* to be reported without waiting for a batch */
  mt_retrybudget_t budget;
} mt_queue_t;

/* Changes not yet reported to one scheduler. */
typedef struct mt_outbox_t {
  mt_id_t domain, pool;
  mt_id_t reported[MT_REPLICAS]; /* that have a full report */
  mt_ms_t lastfull, lastbatch;
  bool immediate;
  int final_reports;   /* full reports left to send while idle */
  mt_queue_t **queues; /* changed since the last report */
  size_t nqueues, queues_cap;
  mt_id_t *targets; /* whose running count changed */
  size_t ntargets, targets_cap;
  mt_grant_result_t *results; /* results of grants */
  size_t nresults, results_cap;
} mt_outbox_t;

/* The requests of this router's callers. */
typedef struct mt_edge_t {
  mt_map_t reqs;     /* id -> mt_req_t, owned */
  mt_map_t queues;   /* workspace and pool -> mt_queue_t, owned */
  mt_map_t outboxes; /* domain and pool -> mt_outbox_t, owned */
  mt_map_t running;  /* target -> running requests */
  mt_map_t costs;    /* pool -> mt_costs_t, owned */
  mt_map_t sessions; /* session -> target it last ran on */
  mt_map_t idems;    /* idempotency key's hash -> mt_req_t that runs */
  size_t waiting, inprogress;
  mt_map_t in_backoff; /* target -> end time */
  uint64_t *backoff;   /* ids of requests in MT_R_BACKOFF */
  size_t nbackoff, backoff_cap;
  mt_ms_t nextscan; /* for requests past their deadline */
  mt_retrybudget_t budget;
} mt_edge_t;

/* }== */

/* {== Configuration ==================================================== */

typedef struct mt_conf_t {
  int64_t revision; /* in force; 0: none */
  int64_t wanted;   /* whose parts are being fetched; 0: none */
  char *head, *wantedhead;
  mt_map_t parts;         /* hash of digest -> text, owned */
  int64_t store_revision; /* of the head's key, as the store last sent it */
  int64_t rejected;       /* the last invalid revision */
  mt_id_t wantedfrom;     /* router that sent the wanted head, 0: the store */
  /* applied_at: when `revision` was put in force; nextpoll: no request for
     the head before it; requested_at: last request for missing parts. */
  mt_ms_t applied_at, nextpoll, requested_at;
  /* watching: a read or watch of the head is in progress; store_replied: to
     an earlier one, also that there is no head yet. */
  bool watching, store_replied;
} mt_conf_t;

/* }== */

struct mt_policies_t;

/* A packed message from this router to itself, handled in the same step. */
typedef struct mt_selfmsg_t {
  char *bytes;
  size_t n;
} mt_selfmsg_t;

typedef struct mt_state_t {
  mt_ms_t now;
  uint64_t random;
  mt_effects_t *fx; /* of the current mtR_step */
  mt_counts_t counts;
  mt_settings_t set;
  mt_members_t members;
  mt_conf_t conf;
  mt_fleet_t *fleet; /* NULL until a configuration is in force */
  struct mt_policies_t *policies;
  mt_edge_t edge;
  mt_map_t scheds;        /* domain and pool -> mt_sched_t, owned */
  mt_selfmsg_t *selfmsgs; /* to this router, not yet handled */
  size_t nselfmsgs, selfmsgs_cap;
  mt_ms_t lasttick;
  uint64_t grantno; /* grants and offers issued so far */
  uint64_t epoch;   /* members.epoch when roles were last chosen */
  bool draining, stopped;
} mt_state_t;

/* {== Shared helpers =================================================== */

#define mtR_key(a, b) (((uint64_t)(a) << 32) | (uint64_t)(b))
/* Baselines for comparison: each router schedules without the others. */
#define mtR_standalone(S) ((S)->set.standalone || (S)->set.fifo)
#define mtR_count(S, c) mtA_inc(&(S)->counts, c)

/* Appends an effect of this kind whose other fields are 0. */
mt_effect_t *mtR_effect (mt_state_t *S, mt_fxkind_t kind, uint64_t req);

/* Appends a log line of at most 159 bytes. */
void mtR_log (mt_state_t *S, mt_level_t level, mt_component_t component,
              const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/*
** Sends a message to a router by its id; a message to this router itself is
** handled within the same step. The arrays of `m` stay the caller's.
*/
void mtR_send (mt_state_t *S, mt_id_t to, mt_msg_t *m);

/* }== */

#endif
