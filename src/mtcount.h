/*
** mtcount.h - the router's own counters
*/
#ifndef mtcount_h
#define mtcount_h

#include "mtobject.h"

/*
** Why the router answered in place of a target. Each row: symbol, code in
** the JSON error, HTTP status, "not-run" true, Retry-After seconds (0: none).
*/
#define MT_REFUSALS(ROW)                                   \
  ROW(MT_OK, "ok", 200, 1, 0)                              \
  ROW(MT_BAD_REQUEST, "bad_request", 400, 1, 0)            \
  ROW(MT_BAD_KEY, "bad_key", 401, 1, 0)                    \
  ROW(MT_NO_MODEL, "no_such_model", 404, 1, 0)             \
  ROW(MT_NO_ROUTE, "no_such_route", 404, 1, 0)             \
  ROW(MT_TOO_LARGE, "too_large", 413, 1, 0)                \
  ROW(MT_WS_FULL, "workspace_queue_full", 429, 1, 1)       \
  ROW(MT_FULL, "router_queue_full", 503, 1, 1)             \
  ROW(MT_NO_CONFIG, "no_configuration", 503, 1, 2)         \
  ROW(MT_DRAINING, "draining", 503, 1, 1)                  \
  ROW(MT_WAITED_OUT, "waited_too_long", 503, 1, 5)         \
  ROW(MT_NO_TARGET, "no_target", 503, 1, 5)                \
  ROW(MT_STORE_AWAY, "claim_store_unreachable", 503, 1, 5) \
  ROW(MT_CLAIMED, "already_claimed", 409, 0, 0)            \
  ROW(MT_IN_PROGRESS, "already_in_progress", 409, 0, 1)    \
  ROW(MT_TARGET_LOST, "target_lost", 502, 0, 0)            \
  ROW(MT_TARGET_REFUSED, "target_unreachable", 503, 1, 1)  \
  ROW(MT_BUDGET, "retry_budget_spent", 503, 1, 2)          \
  ROW(MT_TARGET_SILENT, "target_silent", 504, 0, 0)        \
  ROW(MT_BAD_TOKEN, "bad_resume_token", 403, 1, 0)         \
  ROW(MT_CALLER_LEFT, "caller_left", 499, 0, 0)

typedef enum mt_refusal_t {
#define REFUSAL_SYMBOL(sym, code, status, notrun, after) sym,
  MT_REFUSALS(REFUSAL_SYMBOL)
#undef REFUSAL_SYMBOL
      MT_NREFUSALS
} mt_refusal_t;

/* Why a request was tried again. */
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

/* Plain counters: symbol and metric suffix. */
#define MT_COUNTERS(ROW)                               \
  ROW(MT_C_REQUESTS, "requests_total")                 \
  ROW(MT_C_ANSWERS, "answers_total")                   \
  ROW(MT_C_ATTEMPTS, "attempts_total")                 \
  ROW(MT_C_TOKENS, "tokens_total")                     \
  ROW(MT_C_LATE_DROPPED, "late_answers_dropped_total") \
  ROW(MT_C_GRANTS, "grants_issued_total")              \
  ROW(MT_C_GRANTS_UNUSED, "grants_unused_total")       \
  ROW(MT_C_GRANTS_STALE, "grants_stale_total")         \
  ROW(MT_C_GRANTS_EXPIRED, "grants_expired_total")     \
  ROW(MT_C_OFFERS, "offers_to_domains_total")          \
  ROW(MT_C_OVERCOMMIT, "slots_overcommitted_total")    \
  ROW(MT_C_FORGIVEN, "debt_forgiven_total")            \
  ROW(MT_C_LIFTED, "idle_lifts_total")                 \
  ROW(MT_C_PREFIX_HOME, "sessions_sent_home_total")    \
  ROW(MT_C_PREFIX_AWAY, "sessions_sent_away_total")    \
  ROW(MT_C_POLICY_RUNS, "policy_decisions_total")      \
  ROW(MT_C_POLICY_FAILED, "policy_failures_total")     \
  ROW(MT_C_CLAIMS, "claims_total")                     \
  ROW(MT_C_RESUMES, "resumes_total")                   \
  ROW(MT_C_SUSPECTS, "members_suspected_total")        \
  ROW(MT_C_DEATHS, "members_dead_total")               \
  ROW(MT_C_PAUSES, "pauses_noticed_total")             \
  ROW(MT_C_TAKEOVERS, "scheduler_takeovers_total")     \
  ROW(MT_C_CONFIG_APPLIED, "configurations_total")     \
  ROW(MT_C_CONFIG_OLD, "configurations_older_total")   \
  ROW(MT_C_CONFIG_BAD, "configurations_bad_total")     \
  ROW(MT_C_PEER_BAD_FRAME, "peer_frames_bad_total")    \
  ROW(MT_C_PEER_BAD_MAC, "peer_frames_forged_total")   \
  ROW(MT_C_STORE_CALLS, "store_calls_total")           \
  ROW(MT_C_STORE_FAILED, "store_calls_failed_total")

typedef enum mt_counter_t {
#define COUNTER_SYMBOL(sym, name) sym,
  MT_COUNTERS(COUNTER_SYMBOL)
#undef COUNTER_SYMBOL
      MT_NCOUNTERS
} mt_counter_t;

#define MT_NMESSAGES 16 /* kinds of peer messages */

typedef struct mt_counts_t {
  uint64_t plain[MT_NCOUNTERS];
  uint64_t refusals[MT_NREFUSALS];
  uint64_t retries[MT_NRETRIES];
  uint64_t sent[MT_NMESSAGES];      /* peer messages by kind */
  uint64_t sentbytes[MT_NMESSAGES]; /* and their bytes */
} mt_counts_t;

typedef struct mt_refusalrow_t {
  const char *code;
  int status;
  bool notrun;
  int retryafter;
} mt_refusalrow_t;

const mt_refusalrow_t *mtA_refusal (mt_refusal_t why);
const char *mtA_retry (mt_retry_t why);
const char *mtA_name (mt_counter_t c);

#define mtA_add(counts, c, n) ((counts)->plain[c] += (uint64_t)(n))
#define mtA_one(counts, c) mtA_add(counts, c, 1)

#endif
