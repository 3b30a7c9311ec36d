/*
** mtcount.c - names and rows of the router's own counters
*/
#include "mtcount.h"

static const mt_refusalrow_t refusals[] = {
#define REFUSAL(sym, code, status, notrun, after) \
  {code, status, notrun, after},
    MT_REFUSALS(REFUSAL)
#undef REFUSAL
};

static const char *const retries[] = {
#define RETRY(sym, code) code,
    MT_RETRIES(RETRY)
#undef RETRY
};

static const char *const counters[] = {
#define COUNTER(sym, name) name,
    MT_COUNTERS(COUNTER)
#undef COUNTER
};

const mt_refusalrow_t *mtA_refusal (mt_refusal_t why) {
  mt_assert(why < MT_NREFUSALS);
  return &refusals[why];
}

const char *mtA_retry (mt_retry_t why) {
  mt_assert(why < MT_NRETRIES);
  return retries[why];
}

const char *mtA_name (mt_counter_t c) {
  mt_assert(c < MT_NCOUNTERS);
  return counters[c];
}
