/*
** feed_state.c - how far a feed of the source is known, and by whose word
*/
#include "feed_state.h"

/* In a later era, what is known of an earlier one says nothing. */
static void advance (mt_revision_t *known, const mt_feed_state_t *feed) {
  bool same_era = mt_revision_era(*known) == mt_revision_era(feed->at);
  if (*known > 0 && *known >= feed->newest && same_era)
    *known = mt_max(*known, feed->at);
}

bool mt_feed_state_heard (mt_feed_state_t *feed, mt_revision_t newest,
                          mt_revision_t at, mt_ms_t confirmed) {
  bool changed = newest > feed->newest;
  feed->newest = mt_max(feed->newest, newest);
  feed->at = mt_max(feed->at, at);
  feed->confirmed = mt_max(feed->confirmed, confirmed);
  advance(&feed->told, feed);
  advance(&feed->taken, feed);
  return changed;
}

mt_feed_news_t mt_feed_state_read (mt_feed_state_t *feed,
                                   mt_revision_t newest, mt_revision_t at,
                                   mt_ms_t now, bool fresh) {
  /* Nothing changed from the last change on, however far that is known. */
  mt_revision_t last = feed->newest > 0 ? feed->newest : feed->told;
  mt_revision_t base = mt_min(feed->told, last);
  bool first = feed->told == 0, changed = newest > feed->newest;
  feed->taken = mt_max(feed->taken, at);
  feed->told = mt_max(feed->told, at);
  if (now != 0) mt_feed_state_heard(feed, newest, at, now);
  if (first || newest <= base) return (mt_feed_news_t){.due = false};
  bool due = fresh || (now != 0 && changed);
  return (mt_feed_news_t){due, base, newest};
}

const char *mt_feed_outcome_name (mt_feed_outcome_t outcome) {
  switch (outcome) {
    case MT_FEED_TOLD: return "told";
    case MT_FEED_TAKEN: return "taken";
    case MT_FEED_KNOWN: return "known";
    case MT_FEED_GAP: return "gap";
    case MT_FEED_ASKED: return "asked";
    case MT_FEED_OUTCOMES: break;
  }
  return "";
}

mt_feed_outcome_t mt_feed_state_judge (const mt_feed_state_t *feed,
                                       mt_revision_t base,
                                       mt_revision_t reach) {
  if (feed->told >= reach) return MT_FEED_KNOWN;
  return base > 0 && feed->told >= base ? MT_FEED_TAKEN : MT_FEED_GAP;
}

void mt_feed_state_took (mt_feed_state_t *feed, mt_revision_t base,
                         mt_revision_t reach, bool all) {
  if (all && feed->taken >= base) feed->taken = mt_max(feed->taken, reach);
  feed->told = mt_max(feed->told, reach);
  feed->newest = mt_max(feed->newest, reach);
}

bool mt_feed_state_lacks (const mt_feed_state_t *feed) {
  return feed->told > 0 && feed->newest > feed->told;
}
