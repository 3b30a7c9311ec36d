/*
** rejections.c - how often an engine rejects requests, from the attempts of
** all routers
*/
#include <math.h>

#include "rejections.h"

#define DECAY_MS 1000.0 /* time constant of the sums */
/* Accepted attempts that are added to those counted: a single rejection shows
   little. */
#define PRIOR_ATTEMPTS 2.0
/* Up to this rate an engine keeps its homes: one that rejects a few requests
   for want of slots has the segments cached. */
#define HOME_RATE_TOLERATED 0.25
/* The weight of a home falls with this power of the accepted fraction. */
#define HOME_WEIGHT_POWER 4.0

/* Part of a sum that is left after the time since. */
static double part_left (const mt_rejections_t *r, mt_ms_t now) {
  double elapsed = now > r->at ? (double)(now - r->at) : 0;
  return exp(-elapsed / DECAY_MS);
}

void mt_rejections_add (mt_rejections_t *r, bool rejected, mt_ms_t now) {
  double left = part_left(r, now);
  r->attempts = r->attempts * left + 1;
  r->rejected = r->rejected * left + (rejected ? 1 : 0);
  r->at = mt_max(r->at, now);
}

double mt_rejections_rate (const mt_rejections_t *r, mt_ms_t now) {
  double left = part_left(r, now);
  return r->rejected * left / (r->attempts * left + PRIOR_ATTEMPTS);
}

double mt_rejections_home_weight (double rate) {
  if (rate <= HOME_RATE_TOLERATED) return 1;
  return pow(1 - fmin(rate, 1), HOME_WEIGHT_POWER);
}
