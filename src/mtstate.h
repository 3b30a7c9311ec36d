/*
** mtstate.h - the whole state of a router, as the reducer keeps it
*/
#ifndef mtstate_h
#define mtstate_h

#include "mtcost.h"
#include "mtevent.h"

/* {== Membership ======================================================= */

typedef struct mt_member_t {
  mt_node_t node;
  mt_id_t id, domain;
  mt_ms_t heard;    /* last message straight from it; 0: never */
  mt_ms_t changed;  /* when its entry last changed here */
  mt_ms_t fullsent; /* last whole view sent to it */
  mt_ms_t beatsent;
  int64_t revision; /* configuration it said is in force */
  uint64_t clock;   /* its clock in its last message */
  int mismatches;   /* heartbeats in a row with another view */
  bool suspect;
} mt_member_t;

typedef struct mt_members_t {
  mt_map_t byid; /* mt_member_t, owned */
  mt_member_t *self;
  uint64_t digest;
  mt_ms_t nextbeat, nextcross;
  mt_ms_t staleuntil; /* after a pause: take no role before this */
  uint64_t epoch;     /* raised whenever roles may have changed */
} mt_members_t;

/* }== */

/* {== Scheduling ======================================================= */

/* A workspace as one scheduler accounts for it. */
typedef struct mt_account_t {
  mt_id_t ws;
  mt_units_t retired; /* served by routers that are gone */
  mt_units_t served;  /* by the domain's routers, sum of rows */
  mt_units_t pending; /* running, beyond served; sum of rows */
  mt_units_t unseen;  /* granted, not yet reported back */
  mt_units_t rserved; /* the other domains' sums */
  mt_units_t rpending;
  mt_units_t lift; /* raised when it returns from idleness; maximum wins */
  mt_units_t forgiven; /* raised when its debt is cut; maximum wins */
  mt_units_t cost;     /* estimate of its next request */
  mt_units_t echo;     /* the domain's total as another domain remembers it */
  int32_t waiting;     /* in this domain */
  int32_t rwaiting;    /* in the others */
  int32_t told;        /* waiting, as last told to the others */
  uint32_t turn;
  bool active; /* had waiting work when last looked at */
  bool dirty;  /* not yet told to the others */
} mt_account_t;

/* What one router reported to this scheduler. */
typedef struct mt_edgeview_t {
  mt_id_t node;
  uint64_t boot;
  uint64_t clock; /* the router's clock in its last report */
  mt_ms_t heard;
  uint32_t reports;
  bool dead;
  mt_map_t rows;    /* workspace -> mt_ws_row_t, owned */
  mt_map_t running; /* target -> count */
} mt_edgeview_t;

/* What another domain's scheduler told. */
typedef struct mt_remote_t {
  mt_id_t domain;
  uint64_t boot;
  mt_ms_t heard;
  bool current; /* its waiting work still counts */
  bool wantsfull;
  mt_map_t rows; /* workspace -> mt_ws_row_t, owned */
} mt_remote_t;

/* A grant or offer that nobody has reported back yet. */
typedef struct mt_unseen_t {
  uint64_t id;
  mt_id_t target, ws;
  mt_id_t edge;     /* router it went to, or 0 */
  mt_id_t todomain; /* domain it was offered to, or 0 */
  mt_units_t est;
  mt_ms_t sent;
} mt_unseen_t;

/* The scheduler of one pool's targets in one failure domain. */
typedef struct mt_sched_t {
  mt_id_t domain, pool;
  bool primary;        /* this router decides */
  bool ready;          /* it knows enough to decide */
  bool fresh;          /* it has not yet asked the others for its history */
  mt_ms_t since;       /* when it became primary */
  mt_units_t vtime;    /* least tag of the waiting workspaces; only grows */
  mt_map_t accounts;   /* workspace -> mt_account_t, owned */
  mt_account_t **list; /* the same, in order of arrival */
  size_t naccounts, list_cap;
  mt_edgeview_t **edges;
  size_t nedges, edges_cap;
  mt_remote_t **remotes;
  size_t nremotes, remotes_cap;
  mt_unseen_t *unseen;
  size_t nunseen, unseen_cap;
  mt_map_t held; /* target -> time until which it is not granted */
  mt_ms_t nextexchange, nextfull, lasttold;
  mt_ms_t interval; /* between exchanges, as the bytes allow */
  bool urgent;      /* waiting work appeared that has no room here */
  bool dirty;       /* something changed since the last run */
} mt_sched_t;

/* }== */

/* {== Requests ========================================================= */

typedef enum mt_reqstate_t {
  MT_R_CLAIMING, /* its claim is being written */
  MT_R_WAITING,  /* in its queue */
  MT_R_BACKOFF,  /* to be queued again after a pause */
  MT_R_RUNNING,  /* an attempt is under way, nothing forwarded yet */
  MT_R_FORWARDING
} mt_reqstate_t;

typedef struct mt_req_t {
  uint64_t id;
  mt_reqstate_t state;
  mt_id_t ws, pool, target;
  mt_id_t home;  /* target that holds its prefix, or 0 */
  mt_id_t avoid; /* target of the attempt before */
  bool stream, repeatable, claimed, resumed;
  bool mayhaverun; /* an attempt may have been acted upon */
  int joined;      /* requests that get the same answer */
  uint32_t attempt;
  uint64_t session, idem;
  int32_t order; /* a policy's; larger goes first */
  uint64_t set;  /* digest of the targets it may use, 0 for any */
  mt_id_t *targets;
  size_t ntargets;
  int32_t skipped; /* times a younger one of its workspace went first */
  mt_ms_t arrived, deadline, notbefore, started;
  int64_t tokens;
  uint32_t promptbytes;
  int64_t maxcost;          /* what it can cost at most, 0: not told */
  mt_units_t rest, charged; /* expected yet; charged so far */
  struct mt_req_t *prev, *next;
} mt_req_t;

/* A bucket of retries: a share of the requests, and a floor per second. */
typedef struct mt_budget_t {
  mt_ms_t at;
  int64_t left; /* in hundredths of a retry */
} mt_budget_t;

/* The waiting requests of one workspace for one pool. */
typedef struct mt_queue_t {
  mt_id_t ws, pool;
  mt_req_t *head, *tail;
  int32_t n;
  mt_units_t served; /* only grows */
  mt_units_t credit; /* charged ahead by mistake, taken off later charges */
  mt_units_t pending;
  mt_costs_t costs; /* of its ended requests */
  int32_t running;
  mt_ms_t changed;
  uint64_t waits, waitsum, waitmost; /* granted ones; their waits in ms */
  bool dirty;                        /* in its link's list */
  bool atonce;                       /* to be told at once */
  mt_budget_t budget;
} mt_queue_t;

/* What this router owes one scheduler. */
typedef struct mt_link_t {
  mt_id_t domain, pool;
  mt_id_t told[MT_REPLICAS]; /* routers that have had a full report */
  mt_ms_t lastfull, lastbatch;
  bool atonce;
  int idlefulls;       /* full reports still due after work has ended */
  mt_queue_t **queues; /* that changed since the last report */
  size_t nqueues, queues_cap;
  mt_id_t *targets; /* whose running count changed */
  size_t ntargets, targets_cap;
  mt_grant_result_t *results;
  size_t nresults, results_cap;
} mt_link_t;

typedef struct mt_edge_t {
  mt_map_t reqs;     /* id -> mt_req_t, owned */
  mt_map_t queues;   /* workspace and pool -> mt_queue_t, owned */
  mt_map_t links;    /* domain and pool -> mt_link_t, owned */
  mt_map_t running;  /* target -> count */
  mt_map_t costs;    /* pool -> mt_costs_t, owned */
  mt_map_t sessions; /* session -> target */
  mt_map_t idems;    /* idempotency key -> leading mt_req_t */
  size_t waiting, inprogress;
  mt_map_t held;     /* target -> time until which this router avoids it */
  uint64_t *backoff; /* requests that wait before a retry */
  size_t nbackoff, backoff_cap;
  mt_ms_t nextscan;
  mt_budget_t budget;
} mt_edge_t;

/* }== */

/* {== Configuration ==================================================== */

typedef struct mt_conf_t {
  int64_t revision; /* in force; 0: none */
  int64_t wanted;   /* of the head being completed; 0: none */
  char *head, *wantedhead;
  mt_map_t parts;  /* hash of digest -> text, owned */
  int64_t written; /* the store's own revision of the head last seen */
  int64_t refused; /* the last revision that could not be read */
  mt_id_t wantedfrom;
  mt_ms_t adopted, nextpoll, asked;
  bool watching, seen;
} mt_conf_t;

/* }== */

struct mt_policies_t;

/* A message to itself, kept until the current one is done with. */
typedef struct mt_loopmsg_t {
  char *bytes;
  size_t n;
} mt_loopmsg_t;

typedef struct mt_state_t {
  mt_ms_t now;
  uint64_t random;
  mt_effects_t *fx; /* of the step being taken */
  mt_counts_t counts;
  mt_settings_t set;
  mt_members_t members;
  mt_conf_t conf;
  mt_fleet_t *fleet; /* NULL until a configuration is in force */
  struct mt_policies_t *policies;
  mt_edge_t edge;
  mt_map_t scheds;    /* domain and pool -> mt_sched_t, owned */
  mt_loopmsg_t *loop; /* messages to itself, not yet handled */
  size_t nloop, loop_cap;
  mt_ms_t lasttick;
  uint64_t grantno;
  uint64_t epoch; /* members.epoch when roles were last chosen */
  bool draining, stopped;
} mt_state_t;

/* {== Shared helpers =================================================== */

#define mtR_key(a, b) (((uint64_t)(a) << 32) | (uint64_t)(b))
/* A baseline without exchange: every router decides for itself. */
#define mtR_alone(S) ((S)->set.standalone || (S)->set.fifo)
#define mtR_count(S, c) mtA_inc(&(S)->counts, c)

/* Appends an empty effect of this kind. */
mt_effect_t *mtR_effect (mt_state_t *S, mt_fxkind_t kind, uint64_t req);

/* Appends a log line. */
void mtR_log (mt_state_t *S, mt_level_t level, mt_component_t part,
              const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/*
** Sends a message to a router by its id; one to itself is handled within
** the same step. The message's arrays stay the caller's.
*/
void mtR_send (mt_state_t *S, mt_id_t to, mt_msg_t *m);

/* }== */

#endif
