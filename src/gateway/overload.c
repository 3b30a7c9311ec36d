/*
** overload.c - detects that the process is short of processor time
*/
#include "overload.h"

#define SMOOTHING_MS 1000.0 /* time constant of the smoothing */
#define LAG_MAX_MS 400.0    /* of a sample: one long pause is no overload */
/* Hysteresis: an overload begins above one lag and ends below a lower one. */
#define BEGIN_LAG_MS 60.0
#define END_LAG_MS 15.0
#define SEVERE_LAG_MS 100.0

bool mt_overload_update (mt_overload_t *o, mt_ms_t elapsed,
                         mt_ms_t expected) {
  double lag = elapsed > expected ? (double)(elapsed - expected) : 0;
  double weight = mt_min((double)elapsed / SMOOTHING_MS, 0.5);
  o->lag += (mt_min(lag, LAG_MAX_MS) - o->lag) * weight;
  bool before = o->overloaded;
  if (o->lag > BEGIN_LAG_MS) o->overloaded = true;
  if (o->lag < END_LAG_MS) o->overloaded = false;
  o->severe = o->lag > SEVERE_LAG_MS;
  o->demand_limit = o->severe ? SEVERE_LAG_MS / o->lag : 0;
  return o->overloaded != before;
}
