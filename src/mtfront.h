/*
** mtfront.h - the callers' side: OpenAI-style requests and plain services
*/
#ifndef mtfront_h
#define mtfront_h

#include "mtrouter.h"

mt_front_t *mtO_open (mt_router_t *X);
void mtO_close (mt_front_t *O);

/* The listener's handler; `ud` is the front. */
void mtO_handle (void *ud, mt_webreq_t *r);

/* Carries out an effect that concerns a caller or an attempt. */
void mtO_effect (mt_front_t *O, const mt_effect_t *fx);

/* Looks for callers that have left; called about once a second. */
void mtO_sweep (mt_front_t *O);

/* Requests at hand. */
size_t mtO_count (const mt_front_t *O);

#endif
