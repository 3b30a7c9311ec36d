/*
** mtops.h - the operators' side: metrics, health, status, drain
*/
#ifndef mtops_h
#define mtops_h

#include "mtrouter.h"

/* The listener's handler; `ud` is the router. */
void mtI_handle (void *ud, mt_webreq_t *r);

#endif
