/*
** mtops.h - HTTP endpoints for operators: metrics, health, status, drain
*/
#ifndef mtops_h
#define mtops_h

#include "mtrouter.h"

/* Request handler of the operators' listener; `ud` is the mt_router_t. */
void mtI_handle (void *ud, mt_webreq_t *r);

#endif
