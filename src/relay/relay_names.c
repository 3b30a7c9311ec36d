/*
** relay_names.c - names of refusals, retries and mechanisms in logs, metrics
** and settings
*/
#include <string.h>

#include "relay.h"

static const struct {
  const char *code;
  int status;
} refusals[] = {
#define ROW(symbol, code, status) {code, status},
    MT_RELAY_REFUSALS(ROW)
#undef ROW
};

static const char *const retries[] = {
#define ROW(symbol, code) code,
    MT_RELAY_RETRIES(ROW)
#undef ROW
};

static const char *const mechanisms[] = {
#define ROW(symbol, name) name,
    MT_RELAY_MECHANISMS(ROW)
#undef ROW
};

mt_relay_mechanism_t mt_relay_mechanism (const char *name) {
  for (int i = 0; i < MT_RELAY_MECHANISM_COUNT; i++)
    if (strcmp(mechanisms[i], name) == 0) return (mt_relay_mechanism_t)i;
  return MT_RELAY_MECHANISM_COUNT;
}

const char *mt_relay_refusal_code (mt_relay_refusal_t why) {
  return refusals[why].code;
}

int mt_relay_refusal_status (mt_relay_refusal_t why) {
  return refusals[why].status;
}

const char *mt_relay_retry_code (mt_relay_retry_t why) {
  return retries[why];
}

const char *mt_relay_cut_name (mt_relay_cut_t cut) {
  switch (cut) {
    case MT_RELAY_CUT_SHORT: return "short";
    case MT_RELAY_CUT_RESET: return "reset";
    case MT_RELAY_CUTS: break;
  }
  return "-";
}

const char *mt_hedge_outcome_name (mt_hedge_outcome_t outcome) {
  switch (outcome) {
    case MT_HEDGE_WON: return "won";
    case MT_HEDGE_KEPT: return "kept";
    case MT_HEDGE_TOOK_OVER: return "took_over";
    case MT_HEDGE_CANCELLED: return "cancelled";
    case MT_HEDGE_FAILED: return "failed";
    case MT_HEDGE_OUTCOMES: break;
  }
  return "-";
}

const char *mt_head_fault_name (mt_head_fault_t fault) {
  switch (fault) {
    case MT_HEAD_UNSIGNED: return "unsigned";
    case MT_HEAD_NO_STREAM: return "no_stream";
    case MT_HEAD_FAULTS: break;
  }
  return "-";
}

const char *mt_origin_source_name (mt_origin_source_t source) {
  switch (source) {
    case MT_ORIGIN_LOCAL: return "local";
    case MT_ORIGIN_OWNER: return "owner";
    case MT_ORIGIN_SOLE: return "sole";
    case MT_ORIGIN_PEERS: return "peers";
    case MT_ORIGIN_RECORD: return "record";
    case MT_ORIGIN_NONE:
    case MT_ORIGIN_SOURCES: break;
  }
  return "-";
}
