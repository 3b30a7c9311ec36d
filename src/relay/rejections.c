/*
** rejections.c - how often an engine rejects requests, from the attempts of
** all routers
*/
#include <math.h>

#include "rejections.h"

#define DECAY_MS 1000.0 /* time constant of the sums */
/* Accepted attempts that are added to those counted: a single rejection shows
   little. */
#define PRIOR_ATTEMPTS 3.0
/* Up to this rate an engine keeps its homes: one that rejects a few requests
   for want of slots has the segments cached. */
#define HOME_RATE_TOLERATED 0.25
/* Above it the weight falls with this power of the accepted fraction. */
#define HOME_WEIGHT_POWER 4.0

/* Brings the sums to the present. */
static void advance (mt_rejections_t *r, mt_ms_t now) {
  if (now <= r->at) return;
  double left = exp(-(double)(now - r->at) / DECAY_MS);
  r->attempts *= left;
  r->rejected *= left;
  r->at = now;
}

void mt_rejections_sent (mt_rejections_t *r, mt_ms_t now) {
  advance(r, now);
  r->attempts++;
}

void mt_rejections_rejected (mt_rejections_t *r, mt_ms_t now) {
  advance(r, now);
  r->rejected++;
  r->attempts = fmax(r->attempts, r->rejected); /* its report may be lost */
}

void mt_rejections_not_sent (mt_rejections_t *r, mt_ms_t now) {
  advance(r, now);
  r->attempts = fmax(r->attempts - 1, r->rejected);
}

double mt_rejections_rate (const mt_rejections_t *r, mt_ms_t now) {
  mt_rejections_t present = *r;
  advance(&present, now);
  return present.rejected / (present.attempts + PRIOR_ATTEMPTS);
}

double mt_rejections_home_weight (double rate) {
  if (rate <= HOME_RATE_TOLERATED) return 1;
  return pow((1 - fmin(rate, 1)) / (1 - HOME_RATE_TOLERATED),
             HOME_WEIGHT_POWER);
}
