/*
** feed_state.c - up to which revision a feed of the source is known here
*/
#include "feed_state.h"

/* Moves `known` up to the source's revision if no change is missing. Never
   across eras: after a restore of the source, what was known before shows
   nothing about the new era. */
static void advance_to_source (mt_revision_t *known,
                               const mt_feed_state_t *feed) {
  bool same_era = mt_revision_era(*known) == mt_revision_era(feed->at);
  if (*known != MT_REVISION_NONE && *known >= feed->newest && same_era)
    *known = mt_max(*known, feed->at);
}

bool mt_feed_state_merge (mt_feed_state_t *feed, mt_revision_t newest,
                          mt_revision_t at, mt_ms_t confirmed) {
  bool changed = newest > feed->newest;
  feed->newest = mt_max(feed->newest, newest);
  feed->at = mt_max(feed->at, at);
  feed->confirmed = mt_max(feed->confirmed, confirmed);
  advance_to_source(&feed->received, feed);
  advance_to_source(&feed->applied, feed);
  return changed;
}

mt_feed_update_t mt_feed_state_read (mt_feed_state_t *feed,
                                     mt_revision_t newest, mt_revision_t at,
                                     mt_ms_t now, bool unannounced) {
  /* Where `newest` is less than `received`, no change lies between them. */
  bool unheard = feed->newest == MT_REVISION_NONE;
  mt_revision_t last = unheard ? feed->received : feed->newest;
  mt_revision_t base = mt_min(feed->received, last);
  bool first = feed->received == MT_REVISION_NONE;
  bool changed = newest > feed->newest;
  feed->applied = mt_max(feed->applied, at);
  feed->received = mt_max(feed->received, at);
  /* A list that may be out of date still shows that its last change exists.
   */
  mt_feed_state_merge(feed, newest, now != 0 ? at : newest, now);
  if (first || newest <= base) return (mt_feed_update_t){.due = false};
  bool due = unannounced || (now != 0 && changed);
  return (mt_feed_update_t){due, base, newest};
}

const char *mt_feed_outcome_name (mt_feed_outcome_t outcome) {
  switch (outcome) {
    case MT_FEED_SENT: return "told";
    case MT_FEED_APPLIED: return "taken";
    case MT_FEED_KNOWN: return "known";
    case MT_FEED_GAP: return "gap";
    case MT_FEED_REQUESTED: return "asked";
    case MT_FEED_COMPARED: return "compared";
    case MT_FEED_OUTCOMES: break;
  }
  return "";
}

mt_feed_outcome_t mt_feed_state_classify (const mt_feed_state_t *feed,
                                          mt_revision_t base,
                                          mt_revision_t reach) {
  if (feed->received >= reach) return MT_FEED_KNOWN;
  bool complete = base != MT_REVISION_NONE && feed->received >= base;
  return complete ? MT_FEED_APPLIED : MT_FEED_GAP;
}

void mt_feed_state_apply (mt_feed_state_t *feed, mt_revision_t base,
                          mt_revision_t reach, bool all) {
  if (all && feed->applied >= base)
    feed->applied = mt_max(feed->applied, reach);
  feed->received = mt_max(feed->received, reach);
  feed->newest = mt_max(feed->newest, reach);
}

void mt_feed_state_complete (mt_feed_state_t *feed, mt_revision_t reach) {
  feed->received = mt_max(feed->received, reach);
  advance_to_source(&feed->received, feed);
}

bool mt_feed_state_is_behind (const mt_feed_state_t *feed) {
  return feed->received != MT_REVISION_NONE && feed->newest > feed->received;
}
