/*
** rejections.h - how often an engine rejects requests, from the attempts of
** all routers
**
** Load: most engines of a service reject most requests while some take all.
** Rejections come at once, so an engine that rejects looks idle, and in a
** large fleet each router makes too few attempts at one engine to notice. The
** engine's owner counts the attempts of all routers, and its quotes carry the
** rate to the routers that place requests.
*/
#ifndef rejections_h
#define rejections_h

#include "mtobject.h"

/* Recent attempts at one engine, as decaying sums. All zero: none. */
typedef struct mt_rejections_t {
  double attempts, rejected; /* as of `at` */
  mt_ms_t at;                /* last attempt; 0: none */
} mt_rejections_t;

/* An attempt was sent to the engine; it was rejected; it was not sent after
   all. */
void mt_rejections_sent (mt_rejections_t *rejections, mt_ms_t now);
void mt_rejections_rejected (mt_rejections_t *rejections, mt_ms_t now);
void mt_rejections_not_sent (mt_rejections_t *rejections, mt_ms_t now);

/* Fraction of the recent attempts that were rejected, 0 to 1; low while there
   are few attempts, so that the engine is tried again. */
double mt_rejections_rate (const mt_rejections_t *rejections, mt_ms_t now);

/*
** Weight of an engine as a home of prompt segments, 0 to 1. Engines that
** reject a few requests keep their homes; those that reject most lose nearly
** all to engines that take work.
*/
double mt_rejections_home_weight (double rate);

#endif
