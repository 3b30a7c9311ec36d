/*
** mtlimits.h - sizes, counts and time limits shared by several modules
*/
#ifndef mtlimits_h
#define mtlimits_h

/* {== Names and sizes ================================================== */

#define MT_NAME_MAX 63          /* bytes of a configured name, without NUL */
#define MT_API_KEY_MAX 255      /* bytes of a caller's bearer key */
#define MT_URL_MAX 255          /* bytes of a target's URL, without NUL */
#define MT_BODY_MAX (8u << 20)  /* bytes of a request's body */
#define MT_VALUE_MAX (1u << 20) /* bytes of a value in the store */
#define MT_FRAME_MAX (2u << 20) /* bytes of a frame between routers */
#define MT_PROGRAM_MAX (64u << 10) /* bytes of a policy program */
/* Unsent bytes of a slow caller above which its target is not read. */
#define MT_BACKLOG_MAX (256u << 10)

/* }== */

/* {== Counts =========================================================== */

#define MT_NODES_MAX 1024
#define MT_DOMAINS_MAX 64
#define MT_POOLS_MAX 128
#define MT_WORKSPACES_MAX 16384
#define MT_TARGETS_MAX 8192
#define MT_POOL_TARGETS_MAX 512    /* targets of one pool */
#define MT_WAITING_MAX 8192        /* queued in one router: some 94 MB */
#define MT_RUNNING_MAX 16384       /* requests in progress at one router */
#define MT_WS_WAITING_DEFAULT 4096 /* queued requests of one workspace */
#define MT_AFFINITY_WINDOW 256     /* requests searched for affinity */
/* Sections of the stored configuration over which workspaces are hashed. */
#define MT_WS_SECTIONS 64
#define MT_ATTEMPTS_MAX 3   /* attempts at one request */
#define MT_REPLICAS 2       /* routers that hold a scheduler's state */
#define MT_WATCHERS 2       /* routers per domain that watch the store */
#define MT_BORDER_ROUTERS 2 /* per domain: link it to the others */

/* }== */

/* {== Times, in milliseconds =========================================== */

#define MT_TICK_MS 50
#define MT_HEARTBEAT_MS 500     /* heartbeat interval inside a domain */
#define MT_SUSPECT_MS 1500      /* silence that makes a member suspect */
#define MT_DEAD_MS 3000         /* silence that makes a member dead */
#define MT_FORGET_MS 600000     /* time that a dead member is remembered */
#define MT_PAUSE_MS 1200        /* gap of ticks: the process was paused */
#define MT_DEMAND_MS 1000       /* interval of full demand reports */
#define MT_BATCH_MS 200         /* interval of reports that can wait */
#define MT_EXCHANGE_MIN_MS 50   /* shortest interval of exchanges */
#define MT_EXCHANGE_MAX_MS 1000 /* longest interval of exchanges */
#define MT_EXCHANGE_BYTES_PER_S 4000 /* exchanges of one scheduler */
#define MT_EXCHANGE_TTL_MS 3000  /* lifetime of a remote domain's demand */
#define MT_GRANT_TIMEOUT_MS 1500 /* until a grant or offer is taken back */
/* A grant is declined when the demand report it is based on is older. */
#define MT_GRANT_STALE_MS 2000
#define MT_TARGET_BACKOFF_MS 1000  /* no request to a target that failed */
#define MT_WAIT_MAX_MS 120000      /* longest wait in a queue; the default */
#define MT_RETRY_BACKOFF_MS 50     /* doubled by each attempt */
#define MT_CLAIM_TIMEOUT_MS 2000   /* until a claim is no longer retried */
#define MT_LONG_POLL_MS 10000      /* one watch request to the store */
#define MT_POLL_MS 5000            /* for a non-watcher to check its role */
#define MT_CONNECT_TIMEOUT_MS 2000 /* also for the store to reply */
#define MT_TARGET_IDLE_MS 60000    /* silence of a target in an attempt */
#define MT_CALLER_CHECK_MS 1000    /* interval of checks for lost callers */
#define MT_RESUME_TOKEN_MS 600000  /* lifetime of a resume token */

/* }== */

/* {== Sharing ========================================================== */

/* mt_units_t per unit of cost at share 1; at MT_SHARE_MAX it is still 10. */
#define MT_UNIT_SCALE 10000
#define MT_SHARE_MAX 1000
#define MT_COST_DEFAULT 64        /* estimate until requests have ended */
#define MT_COST_MAX 65536         /* largest estimate charged in advance */
#define MT_DEBT_TOKENS_MAX 262144 /* debt above it is forgiven */
#define MT_RETRY_BUDGET_PCT 10    /* retries allowed per 100 requests */
#define MT_RETRIES_PER_S_MIN 10   /* retries allowed at any request rate */

/* }== */

/* {== Policy programs ================================================== */

#define MT_POLICY_STEPS 20000      /* Lua instructions per decision */
#define MT_POLICY_BYTES (1u << 20) /* memory of a program's Lua state */

/* }== */

#endif
