/*
** mtlimits.h - every size, count and time limit of the project
*/
#ifndef mtlimits_h
#define mtlimits_h

/* {== Names and sizes ================================================== */

#define MT_NAME_MAX 63             /* bytes of any declared name */
#define MT_KEY_MAX 255             /* bytes of a caller's key */
#define MT_URL_MAX 255             /* bytes of a target's address */
#define MT_BODY_MAX (8u << 20)     /* bytes of one request's body */
#define MT_VALUE_MAX (1u << 20)    /* bytes of one stored value */
#define MT_FRAME_MAX (2u << 20)    /* bytes of one peer frame */
#define MT_PROGRAM_MAX (64u << 10) /* bytes of one policy program */
#define MT_CHUNK_MAX (256u << 10)  /* bytes kept for one slow caller */

/* }== */

/* {== Counts =========================================================== */

#define MT_MAX_NODES 1024
#define MT_MAX_DOMAINS 64
#define MT_MAX_POOLS 128
#define MT_MAX_WORKSPACES 16384
#define MT_MAX_TARGETS 8192
#define MT_POOL_TARGETS 512    /* targets of one pool */
#define MT_MAX_WAITING 8192    /* waiting requests, one router: some 94 MB */
#define MT_MAX_RUNNING 16384   /* requests in progress, one router */
#define MT_WS_WAITING 4096     /* default waiting of a workspace */
#define MT_AFFINITY_WINDOW 256 /* requests looked at for a prefix */
#define MT_BUCKETS 64          /* parts that workspaces are split in */
#define MT_MAX_ATTEMPTS 3      /* attempts of one request */
#define MT_REPLICAS 2          /* routers that hold a pool's state */
#define MT_WATCHERS 2          /* routers that watch, per domain */
#define MT_LINKS 2             /* links per pair of domains */

/* }== */

/* {== Times, in milliseconds =========================================== */

#define MT_TICK_MS 50
#define MT_BEAT_MS 500          /* heartbeat inside a domain */
#define MT_SUSPECT_MS 1500      /* silence that raises suspicion */
#define MT_DEAD_MS 3000         /* silence that ends a member */
#define MT_FORGET_MS 600000     /* time a dead member is remembered */
#define MT_PAUSE_MS 1200        /* gap between ticks that is a pause */
#define MT_DEMAND_MS 1000       /* full demand report */
#define MT_BATCH_MS 200         /* charges and counts that can wait */
#define MT_EXCHANGE_MIN_MS 50   /* totals between domains, at most */
#define MT_EXCHANGE_MAX_MS 1000 /* and at least this often */
#define MT_EXCHANGE_BYTES 4000  /* a second, of one scheduler */
#define MT_EXCHANGE_TTL_MS 3000 /* life of what another domain said */
#define MT_OFFER_MS 1500        /* life of an unanswered grant */
#define MT_GRANT_STALE_MS 2000  /* age at which a grant is refused */
#define MT_HOLD_MS 1000         /* rest of a target that failed */
#define MT_WAIT_MS 120000       /* default longest wait */
#define MT_RETRY_MS 50          /* first backoff of a retry */
#define MT_CLAIM_MS 2000        /* longest wait for a claim */
#define MT_WATCH_MS 10000       /* one watch call */
#define MT_POLL_MS 5000         /* jittered fallback of a non-watcher */
#define MT_CONNECT_MS 2000
#define MT_IO_MS 60000          /* silence of a target mid answer */
#define MT_CALLER_CHECK_MS 1000 /* look for callers that have left */
#define MT_RESUME_MS 600000     /* life of a resume token */

/* }== */

/* {== Sharing ========================================================== */

#define MT_UNIT 10000 /* units of one token at share one */
#define MT_SHARE_MAX 1000
#define MT_COST_START 64       /* estimate before anything is known */
#define MT_COST_MAX 65536      /* largest cost that is charged ahead */
#define MT_DEBT_TOKENS 262144  /* lead beyond which debt is forgiven */
#define MT_RETRY_BUDGET_PCT 10 /* retries allowed per 100 requests */
#define MT_RETRY_FLOOR 10      /* retries always allowed per second */

/* }== */

/* {== Policy programs ================================================== */

#define MT_POLICY_STEPS 20000      /* instructions of one decision */
#define MT_POLICY_BYTES (1u << 20) /* memory of one program */

/* }== */

#endif
