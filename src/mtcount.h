/*
** mtcount.h - the router's counters and their names in metrics and errors
*/
#ifndef mtcount_h
#define mtcount_h

#include "mtobject.h"

/*
** Why the router rejected or ended a request itself. Each row: symbol,
** code in the JSON error, HTTP status, 1 if the request has certainly not
** run, Retry-After in seconds (0: none).
*/
#define MT_REJECTIONS(ROW)                                        \
  ROW(MT_OK, "ok", 200, 1, 0)                                     \
  ROW(MT_BAD_REQUEST, "bad_request", 400, 1, 0)                   \
  ROW(MT_BAD_KEY, "bad_key", 401, 1, 0)                           \
  ROW(MT_NO_MODEL, "no_such_model", 404, 1, 0)                    \
  ROW(MT_NO_ROUTE, "no_such_route", 404, 1, 0)                    \
  ROW(MT_TOO_LARGE, "too_large", 413, 1, 0)                       \
  ROW(MT_WS_QUEUE_FULL, "workspace_queue_full", 429, 1, 1)        \
  ROW(MT_ROUTER_QUEUE_FULL, "router_queue_full", 503, 1, 1)       \
  ROW(MT_NO_CONFIG, "no_configuration", 503, 1, 2)                \
  ROW(MT_DRAINING, "draining", 503, 1, 1)                         \
  ROW(MT_WAIT_TIMEOUT, "waited_too_long", 503, 1, 5)              \
  ROW(MT_NO_TARGET, "no_target", 503, 1, 5)                       \
  ROW(MT_STORE_UNREACHABLE, "claim_store_unreachable", 503, 1, 5) \
  ROW(MT_CLAIMED, "already_claimed", 409, 0, 0)                   \
  ROW(MT_IN_PROGRESS, "already_in_progress", 409, 0, 1)           \
  ROW(MT_TARGET_LOST, "target_lost", 502, 0, 0)                   \
  ROW(MT_TARGET_UNREACHABLE, "target_unreachable", 503, 1, 1)     \
  ROW(MT_RETRY_BUDGET_SPENT, "retry_budget_spent", 503, 1, 2)     \
  ROW(MT_TARGET_TIMEOUT, "target_silent", 504, 0, 0)              \
  ROW(MT_BAD_TOKEN, "bad_resume_token", 403, 1, 0)                \
  ROW(MT_CALLER_LEFT, "caller_left", 499, 0, 0)

typedef enum mt_rejection_t {
#define REJECTION_SYMBOL(sym, code, status, notrun, after) sym,
  MT_REJECTIONS(REJECTION_SYMBOL)
#undef REJECTION_SYMBOL
      MT_NREJECTIONS
} mt_rejection_t;

/* Why an attempt was retried: symbol and metric label. */
#define MT_RETRIES(ROW)                \
  ROW(MT_RT_CONNECT, "connect_failed") \
  ROW(MT_RT_LOST, "target_lost")       \
  ROW(MT_RT_BUSY, "target_busy")

typedef enum mt_retry_t {
#define RETRY_SYMBOL(sym, code) sym,
  MT_RETRIES(RETRY_SYMBOL)
#undef RETRY_SYMBOL
      MT_NRETRIES
} mt_retry_t;

/* Counters without labels: symbol and metric suffix. */
#define MT_COUNTERS(ROW)                                \
  ROW(MT_C_REQUESTS, "requests_total")                  \
  ROW(MT_C_RESPONSES, "answers_total")                  \
  ROW(MT_C_ATTEMPTS, "attempts_total")                  \
  ROW(MT_C_TOKENS, "tokens_total")                      \
  ROW(MT_C_LATE_DROPPED, "late_answers_dropped_total")  \
  ROW(MT_C_GRANTS, "grants_issued_total")               \
  ROW(MT_C_GRANTS_UNUSED, "grants_unused_total")        \
  ROW(MT_C_GRANTS_STALE, "grants_stale_total")          \
  ROW(MT_C_GRANTS_EXPIRED, "grants_expired_total")      \
  ROW(MT_C_OFFERS, "offers_to_domains_total")           \
  ROW(MT_C_OVERCOMMIT, "slots_overcommitted_total")     \
  ROW(MT_C_DEBT_FORGIVEN, "debt_forgiven_total")        \
  ROW(MT_C_IDLE_LIFTS, "idle_lifts_total")              \
  ROW(MT_C_AFFINITY_HITS, "sessions_sent_home_total")   \
  ROW(MT_C_AFFINITY_MISSES, "sessions_sent_away_total") \
  ROW(MT_C_POLICY_RUNS, "policy_decisions_total")       \
  ROW(MT_C_POLICY_FAILED, "policy_failures_total")      \
  ROW(MT_C_CLAIMS, "claims_total")                      \
  ROW(MT_C_RESUMES, "resumes_total")                    \
  ROW(MT_C_SUSPECTS, "members_suspected_total")         \
  ROW(MT_C_DEATHS, "members_dead_total")                \
  ROW(MT_C_PAUSES, "pauses_noticed_total")              \
  ROW(MT_C_TAKEOVERS, "scheduler_takeovers_total")      \
  ROW(MT_C_CONFIG_APPLIED, "configurations_total")      \
  ROW(MT_C_CONFIG_OLD, "configurations_older_total")    \
  ROW(MT_C_CONFIG_BAD, "configurations_bad_total")      \
  ROW(MT_C_PEER_BAD_FRAME, "peer_frames_bad_total")     \
  ROW(MT_C_PEER_BAD_MAC, "peer_frames_forged_total")    \
  ROW(MT_C_STORE_CALLS, "store_calls_total")            \
  ROW(MT_C_STORE_FAILED, "store_calls_failed_total")

typedef enum mt_counter_t {
#define COUNTER_SYMBOL(sym, name) sym,
  MT_COUNTERS(COUNTER_SYMBOL)
#undef COUNTER_SYMBOL
      MT_NCOUNTERS
} mt_counter_t;

#define MT_MSGKINDS_MAX 16 /* at least MT_NMSGKINDS */

typedef struct mt_counts_t {
  uint64_t totals[MT_NCOUNTERS];
  uint64_t rejections[MT_NREJECTIONS];
  uint64_t retries[MT_NRETRIES];
  uint64_t sent[MT_MSGKINDS_MAX];      /* messages to peers, by kind */
  uint64_t sentbytes[MT_MSGKINDS_MAX]; /* and their bytes */
} mt_counts_t;

/* One row of MT_REJECTIONS. */
typedef struct mt_rejection_row_t {
  const char *code;
  int status;
  bool notrun;
  int retryafter; /* s; 0: none */
} mt_rejection_row_t;

/* The row of a rejection; the metric label of a retry; a counter's suffix. */
const mt_rejection_row_t *mtA_rejection (mt_rejection_t why);
const char *mtA_retryname (mt_retry_t why);
const char *mtA_countername (mt_counter_t c);

#define mtA_add(counts, c, n) ((counts)->totals[c] += (uint64_t)(n))
#define mtA_inc(counts, c) mtA_add(counts, c, 1)

#endif
