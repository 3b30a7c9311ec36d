/*
** overload.h - detects that the process is short of processor time
**
** The measure is how late the ticks of the event loop are: whatever arrived
** in the meantime has waited as long. An overloaded gateway reports to
** the load balancer that it is not ready, until it has recovered.
*/
#ifndef overload_h
#define overload_h

#include "mtobject.h"

typedef struct mt_overload_t {
  double lag; /* ms by which ticks are late, smoothed */
  bool overloaded;
  bool severe; /* streams are refused: the balancer reacts too slowly */
  /* While severe: streams are refused of workspaces whose demand here is at
     least this multiple of the mean; the less, the more lag. */
  double demand_limit;
} mt_overload_t;

/*
** A tick came `elapsed` ms after the last one in place of `expected` ms. True
** if `overloaded` changes.
*/
bool mt_overload_update (mt_overload_t *overload, mt_ms_t elapsed,
                         mt_ms_t expected);

#endif
