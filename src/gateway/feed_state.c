/*
** feed_state.c - what is known of one feed of the source, and by whose word
*/
#include "feed_state.h"

bool mt_feed_state_heard (mt_feed_state_t *feed, int64_t newest, int64_t at,
                          mt_ms_t confirmed) {
  bool changed = newest > feed->newest;
  feed->newest = mt_max(feed->newest, newest);
  feed->at = mt_max(feed->at, at);
  feed->confirmed = mt_max(feed->confirmed, confirmed);
  return changed;
}

mt_feed_news_t mt_feed_state_read (mt_feed_state_t *feed, int64_t newest,
                                   int64_t at, mt_ms_t now, bool changes) {
  int64_t base = feed->taken;
  feed->taken = mt_max(feed->taken, at);
  feed->told = mt_max(feed->told, at);
  if (now == 0) return (mt_feed_news_t){.due = false};
  bool changed = mt_feed_state_heard(feed, newest, at, now);
  if (!changes) return (mt_feed_news_t){.due = changed};
  return (mt_feed_news_t){changed || newest > base, base, newest};
}

const char *mt_feed_outcome_name (mt_feed_outcome_t outcome) {
  switch (outcome) {
    case MT_FEED_TOLD: return "told";
    case MT_FEED_TAKEN: return "taken";
    case MT_FEED_KNOWN: return "known";
    case MT_FEED_GAP: return "gap";
    case MT_FEED_BARE: return "bare";
    case MT_FEED_OUTCOMES: break;
  }
  return "";
}

mt_feed_outcome_t mt_feed_state_judge (const mt_feed_state_t *feed,
                                       int64_t base, int64_t reach) {
  if (base <= 0) return MT_FEED_BARE;
  if (feed->told >= reach) return MT_FEED_KNOWN;
  return feed->told >= base ? MT_FEED_TAKEN : MT_FEED_GAP;
}

void mt_feed_state_took (mt_feed_state_t *feed, int64_t base, int64_t reach,
                         bool all) {
  all = all && feed->taken >= base;
  feed->told = reach;
  if (all) feed->taken = reach;
}
