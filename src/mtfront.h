/*
** mtfront.h - HTTP front end for callers: OpenAI-style API and plain services
*/
#ifndef mtfront_h
#define mtfront_h

#include "mtrouter.h"

mt_front_t *mtO_open (mt_router_t *X);
/* Frees the front end, but no requests that are still in progress. */
void mtO_close (mt_front_t *O);

/* Request handler of the callers' listener; `ud` is the mt_front_t. */
void mtO_handle (void *ud, mt_webreq_t *r);

/* Executes an effect that concerns a caller, an attempt or a claim. */
void mtO_effect (mt_front_t *O, const mt_effect_t *fx);

/*
** Ends the requests of callers that have disconnected before their reply
** began; called every MT_CALLER_CHECK_MS.
*/
void mtO_check_callers (mt_front_t *O);

/* Number of requests in progress. */
size_t mtO_count (const mt_front_t *O);

#endif
