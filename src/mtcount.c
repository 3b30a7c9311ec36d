/*
** mtcount.c - tables of the router's counters and rejections
*/
#include "mtcount.h"

static const mt_rejection_row_t rejections[] = {
#define REJECTION(sym, code, status, notrun, after) \
  {code, status, notrun, after},
    MT_REJECTIONS(REJECTION)
#undef REJECTION
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

const mt_rejection_row_t *mtA_rejection (mt_rejection_t why) {
  mt_assert(why < MT_NREJECTIONS);
  return &rejections[why];
}

const char *mtA_retryname (mt_retry_t why) {
  mt_assert(why < MT_NRETRIES);
  return retries[why];
}

const char *mtA_countername (mt_counter_t c) {
  mt_assert(c < MT_NCOUNTERS);
  return counters[c];
}
