/*
** mtmsg.h - typed messages between routers and their msgpack form
*/
#ifndef mtmsg_h
#define mtmsg_h

#include "mtmem.h"
#include "mtset.h"

typedef enum mt_msgkind_t {
  MT_M_NONE,
  MT_M_HELLO,    /* first frame of a connection */
  MT_M_BEAT,     /* heartbeat */
  MT_M_VIEW,     /* members that changed, or all */
  MT_M_DEMAND,   /* edge -> scheduler: waiting, running, service */
  MT_M_GRANT,    /* scheduler -> edge: run one request there */
  MT_M_OFFER,    /* scheduler -> scheduler of another domain: a slot */
  MT_M_EXCHANGE, /* scheduler -> schedulers of the other domains: totals */
  MT_M_CONFASK,  /* what configuration have you? */
  MT_M_CONFHEAD, /* the head of a revision */
  MT_M_PARTASK,  /* the parts that I lack */
  MT_M_PART,     /* one part */
  MT_NKINDS
} mt_msgkind_t;

typedef enum mt_memberstate_t {
  MT_ALIVE,
  MT_LEAVING, /* finishes its work, takes no role */
  MT_LEFT,
  MT_DEAD
} mt_memberstate_t;

/* What is told of one router. */
typedef struct mt_node_t {
  mt_name_t name, domain, region;
  mt_addr_t addr;
  uint64_t boot; /* constant for one process */
  uint64_t inc;  /* incarnation: boot, raised to refute a report of death */
  mt_memberstate_t state;
} mt_node_t;

typedef struct mt_beat_t {
  uint64_t inc;
  mt_memberstate_t state;
  int64_t revision; /* configuration in force */
  uint64_t digest;  /* of the member view */
} mt_beat_t;

/* Waiting requests of one workspace that may use the same targets. */
typedef struct mt_lane_t {
  uint64_t set; /* digest of the targets, 0 for any */
  int32_t waiting;
  mt_id_t want;     /* target that holds the first one's prefix, or 0 */
  mt_id_t *targets; /* when set is not 0 */
  size_t ntargets;
} mt_lane_t;

/* One workspace in one pool, as an edge or a whole domain sees it. */
typedef struct mt_claimrow_t {
  mt_id_t ws;
  mt_units_t served;  /* only grows */
  mt_units_t pending; /* estimate of what runs beyond `served` */
  mt_units_t cost;    /* estimate of the next request */
  mt_units_t lift;    /* exchange only: see mtledger.h */
  mt_units_t forgiven;
  mt_lane_t *lanes;
  size_t nlanes;
  uint32_t mark; /* the receiver's: number of the last report that held it */
} mt_claimrow_t;

typedef struct mt_running_t {
  mt_id_t target;
  int32_t count;
} mt_running_t;

typedef struct mt_taken_t {
  uint64_t grant;
  uint8_t used;
} mt_taken_t;

typedef struct mt_demand_t {
  mt_id_t domain, pool; /* of the scheduler */
  uint8_t full;         /* replaces all that was said before */
  uint64_t boot;        /* of the edge */
  mt_claimrow_t *rows;
  size_t nrows, rows_cap;
  mt_running_t *running;
  size_t nrunning, running_cap;
  mt_taken_t *taken;
  size_t ntaken, taken_cap;
} mt_demand_t;

/* A slot at a target; an offer when it goes to another domain. */
typedef struct mt_grant_t {
  mt_id_t domain, pool; /* of the issuer's scheduler */
  mt_id_t todomain;     /* offers: the domain that may use it */
  mt_id_t issuer;       /* node */
  mt_id_t target, ws;
  uint64_t id;
  uint64_t echo; /* the edge's own clock when it last reported, or 0 */
} mt_grant_t;

typedef struct mt_exchange_t {
  mt_id_t domain, pool; /* of the sender's scheduler */
  mt_id_t todomain;     /* of the receiver's */
  uint64_t boot;        /* of the sender */
  uint8_t fresh;        /* sender lacks history: answer with `echo` */
  uint8_t echo;         /* rows are the receiver's own totals, given back */
  uint8_t full;
  mt_units_t vtime; /* least tag of the waiting workspaces; only grows */
  mt_claimrow_t *rows;
  size_t nrows, rows_cap;
} mt_exchange_t;

typedef struct mt_msg_t {
  mt_msgkind_t kind;
  union {
    mt_node_t hello;
    mt_beat_t beat;
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
    } head; /* CONFASK uses the revision only */
    struct {
      mt_bytes_t digest, text;
    } part; /* PARTASK uses the digest only */
  } u;
  uint64_t clock; /* the sender's clock in ms */
} mt_msg_t;

/* Why a frame was not understood. */
typedef enum mt_msgerr_t {
  MT_MSG_OK,
  MT_MSG_SYNTAX, /* not msgpack, or cut short */
  MT_MSG_KIND,   /* unknown kind */
  MT_MSG_SHAPE,  /* a member has the wrong type or is missing */
  MT_MSG_RANGE   /* a count or value beyond its limit */
} mt_msgerr_t;

/* Appends a message's msgpack form to a malloc'ed buffer; returns its size.
 */
size_t mtW_pack (const mt_msg_t *m, char **out);

/*
** Reads one message. Texts are borrowed from `p`; arrays are allocated and
** go with mtW_clear.
*/
mt_msgerr_t mtW_unpack (const char *p, size_t n, mt_msg_t *m);
void mtW_clear (mt_msg_t *m);

/*
** True when the bytes are one whole msgpack object whose counts its own size
** bears out. The library trusts them: five bytes can ask for 128 GB.
*/
bool mtW_wellsized (const char *bytes, size_t n);

const char *mtW_kind (mt_msgkind_t kind);
const char *mtW_error (mt_msgerr_t err);

void mtW_freerows (mt_claimrow_t *rows, size_t n);

#endif
