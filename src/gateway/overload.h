/*
** overload.h - tells whether the process has more work than processor
**
** A turn of the loop that takes long shows it: whatever came meanwhile has
** waited so long. An overloaded gateway leaves the balancer until it is well.
*/
#ifndef overload_h
#define overload_h

#include "mtobject.h"

typedef struct mt_overload_t {
  double lag; /* ms that a turn takes beyond the usual, smoothed */
  bool overloaded;
  bool severe; /* leaving the balancer does not help soon enough */
} mt_overload_t;

/*
** A turn took so long in place of `usual` ms. True when `overloaded` changes.
*/
bool mt_overload_turn (mt_overload_t *overload, mt_ms_t took, mt_ms_t usual);

#endif
