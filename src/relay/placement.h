/*
** placement.h - which engine a request goes to, and whether it should
*/
#ifndef placement_h
#define placement_h

#include "domain_load.h"
#include "kv_cache.h"

typedef struct mt_placement_t {
  mt_engine_t *engine; /* NULL: there is none to be had */
  int64_t miss;        /* prompt tokens that it probably has to read */
  double wait_ms;      /* expected until it begins to read this prompt */
  double first_ms;     /* expected until its first event */
  bool full;           /* all its slots are taken */
  bool home;           /* every router expects the parts there */
  mt_kv_fetch_t fetch; /* of parts that the engine does not keep */
} mt_placement_t;

/*
** The best engine for the request: of those whose owners answered, if any
** can take it, else of all. Language models: the least expected time to the
** first event, reading of unkept parts weighed more; else the least used
** share of slots. Those of the router's own failure domain go before others
** that are as good.
*/
mt_placement_t mt_placement_choose (mt_relay_t *relay,
                                    const mt_relay_request_t *request);

/* False when the failure domain was seen too full for the request lately. */
bool mt_placement_may_have_room (mt_relay_t *relay,
                                 const mt_relay_request_t *request,
                                 const mt_domain_load_t *load);

/* The best of these, as far as this router knows; NULL: none is usable. */
mt_engine_t *mt_placement_best_of (mt_relay_t *relay,
                                   const mt_relay_request_t *request,
                                   mt_engine_t *const *engines, size_t count);

/* True when the request should go there now rather than be refused. */
bool mt_placement_admits (mt_relay_t *relay,
                          const mt_relay_request_t *request,
                          const mt_placement_t *placement,
                          mt_relay_refusal_t *why);

#endif
