/*
** overload.c - tells whether the process has more work than processor
*/
#include "overload.h"

#define SMOOTH_MS 1000.0 /* time constant */
#define LAG_MOST 400.0   /* one long pause is not yet an overload */
#define BEGIN_LAG 60.0
#define END_LAG 15.0
#define SEVERE_LAG 100.0

bool mt_overload_turn (mt_overload_t *o, mt_ms_t took, mt_ms_t usual) {
  double lag = took > usual ? (double)(took - usual) : 0;
  double part = mt_min((double)took / SMOOTH_MS, 0.5);
  o->lag += (mt_min(lag, LAG_MOST) - o->lag) * part;
  bool before = o->overloaded;
  if (o->lag > BEGIN_LAG) o->overloaded = true;
  if (o->lag < END_LAG) o->overloaded = false;
  o->severe = o->lag > SEVERE_LAG;
  return o->overloaded != before;
}
