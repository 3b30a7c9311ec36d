/*
** mtmsg.h - messages between routers and their msgpack encoding
**
** An edge is a router in its role of receiving requests from callers. The
** scheduler of a pool in a failure domain is the router that grants the slots
** of the pool's targets there to edges.
*/
#ifndef mtmsg_h
#define mtmsg_h

#include "mtmem.h"
#include "mtset.h"

typedef enum mt_msgkind_t {
  MT_M_NONE,
  MT_M_HELLO,     /* first message of a connection: the sender's mt_node_t */
  MT_M_HEARTBEAT, /* membership state and configuration revision */
  MT_M_VIEW,      /* membership entries: the changed ones, or all */
  MT_M_DEMAND,    /* edge -> scheduler: waiting, running and served */
  MT_M_GRANT,     /* scheduler -> edge: a slot for one request */
  MT_M_OFFER,     /* scheduler -> scheduler of a remote domain: a slot */
  MT_M_EXCHANGE,  /* scheduler -> schedulers of remote domains: totals */
  MT_M_HEAD_REQUEST, /* requests the head of a newer revision */
  MT_M_HEAD,         /* the head of a revision, see mtconf.h */
  MT_M_PART_REQUEST, /* requests one part of a configuration */
  MT_M_PART,         /* the text of one part */
  MT_NMSGKINDS
} mt_msgkind_t;

typedef enum mt_memberstate_t {
  MT_ALIVE,
  MT_LEAVING, /* drains: finishes its requests, takes no roles */
  MT_LEFT,    /* announced its end */
  MT_DEAD     /* no message for MT_DEAD_MS */
} mt_memberstate_t;

/* The membership entry of one router. */
typedef struct mt_node_t {
  mt_name_t name, domain, region;
  mt_addr_t addr;
  uint64_t boot; /* start time of the process, in us; identifies it */
  uint64_t inc;  /* incarnation: starts as boot, raised to refute its death */
  mt_memberstate_t state;
} mt_node_t;

typedef struct mt_heartbeat_t {
  uint64_t inc;
  mt_memberstate_t state;
  int64_t revision; /* of the configuration in force */
  uint64_t digest;  /* of the membership entries */
} mt_heartbeat_t;

/* The waiting requests of one workspace that may use the same targets. */
typedef struct mt_backlog_t {
  uint64_t set; /* digest of the targets' ids, 0 for any target */
  int32_t waiting;
  mt_id_t preferred; /* target with the prefix of the first request, or 0 */
  mt_id_t *targets;  /* the allowed ones if `set` is not 0, else NULL */
  size_t ntargets;
} mt_backlog_t;

/*
** The usage of one pool by one workspace, as reported by one router (demand)
** or summed up over a failure domain (exchange). Fair queueing serves the
** workspace with the least tag: served + pending + lift - forgiven.
*/
typedef struct mt_ws_row_t {
  mt_id_t ws;
  mt_units_t served;  /* cost of past service; only grows */
  mt_units_t pending; /* estimated cost of running requests beyond `served` */
  mt_units_t cost;    /* estimated cost of the next request */
  mt_units_t lift;    /* exchange only: raises the tag after idle times */
  mt_units_t forgiven; /* exchange only: debt that was written off */
  mt_backlog_t *backlogs;
  size_t nbacklogs;
  uint32_t report_no; /* set by the receiver: the last report with this row */
} mt_ws_row_t;

/* Number of requests that a router runs at a target. */
typedef struct mt_running_t {
  mt_id_t target;
  int32_t count;
} mt_running_t;

/* What a router did with a grant. */
typedef struct mt_grant_result_t {
  uint64_t grant; /* its id */
  uint8_t used;   /* MT_GRANT_UNUSED and so on, see mtledger.h */
} mt_grant_result_t;

/* A router's report to the scheduler of a pool in a domain. */
typedef struct mt_demand_t {
  mt_id_t domain, pool; /* of the scheduler */
  uint8_t full;         /* workspaces left out have no requests */
  uint64_t boot;        /* of the reporting router */
  mt_ws_row_t *rows;
  size_t nrows, rows_cap;
  mt_running_t *running;
  size_t nrunning, running_cap;
  mt_grant_result_t *results;
  size_t nresults, results_cap;
} mt_demand_t;

/*
** A slot at a target for one request of a workspace. An offer is a grant to a
** remote domain.
*/
typedef struct mt_grant_t {
  mt_id_t domain, pool; /* of the issuing scheduler */
  mt_id_t todomain; /* the domain that may use it: for offers a remote one */
  mt_id_t issuer;   /* router that issued it */
  mt_id_t target, ws;
  uint64_t id;
  uint64_t echo; /* ms: the router's clock in its last report, or 0 */
} mt_grant_t;

/* Usage totals of one domain, sent to the scheduler of a remote one. */
typedef struct mt_exchange_t {
  mt_id_t domain, pool; /* of the sender's scheduler */
  mt_id_t todomain;     /* of the receiver's */
  uint64_t boot;        /* of the sender */
  uint8_t fresh;        /* sender has no history: reply with an `echo` */
  uint8_t echo;         /* rows are the receiver's totals, for its recovery */
  uint8_t full;         /* workspaces left out have no requests */
  mt_units_t vtime; /* virtual time: least tag of waiting workspaces; grows */
  mt_ws_row_t *rows;
  size_t nrows, rows_cap;
} mt_exchange_t;

typedef struct mt_msg_t {
  mt_msgkind_t kind;
  union {
    mt_node_t hello;
    mt_heartbeat_t heartbeat;
    struct {
      mt_node_t *nodes;
      size_t n;
    } view;
    mt_demand_t demand;
    mt_grant_t grant; /* also MT_M_OFFER */
    mt_exchange_t exchange;
    struct {
      int64_t revision;
      mt_bytes_t text;
    } head; /* HEAD_REQUEST uses the revision only */
    struct {
      mt_bytes_t digest, text;
    } part; /* PART_REQUEST uses the digest only */
  } u;
  uint64_t clock; /* the sender's monotonic clock, ms */
} mt_msg_t;

/* Why a message was rejected. */
typedef enum mt_msgerr_t {
  MT_MSG_OK,
  MT_MSG_SYNTAX, /* not msgpack, or truncated */
  MT_MSG_KIND,   /* unknown message kind */
  MT_MSG_FIELD,  /* a field is missing, unexpected or of the wrong type */
  MT_MSG_RANGE   /* a count or value beyond its limit */
} mt_msgerr_t;

/* Encodes a message into a malloc'ed buffer `out`; returns its size. */
size_t mtW_pack (const mt_msg_t *m, char **out);

/*
** Decodes one message of n bytes. Texts are borrowed from `p`; arrays are
** allocated and freed by mtW_clear. On an error `m` is cleared.
*/
mt_msgerr_t mtW_unpack (const char *p, size_t n, mt_msg_t *m);
void mtW_clear (mt_msg_t *m);

/*
** True when the bytes are exactly one msgpack object and no count in it
** exceeds the bytes that follow. Check this before decoding: the msgpack
** library allocates by these counts, up to 128 GB for five bytes of input.
*/
bool mtW_wellformed (const char *bytes, size_t n);

/* Names of a message kind and of an error, for metrics and logs. */
const char *mtW_kindname (mt_msgkind_t kind);
const char *mtW_error (mt_msgerr_t err);

/* Frees rows with their backlogs. */
void mtW_freerows (mt_ws_row_t *rows, size_t n);

#endif
