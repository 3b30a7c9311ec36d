/*
** domain_reach.h - which remote failure domains can be reached, by the
** outcomes of connects to their engines
**
** Load: a failure domain is partitioned from this router for some seconds.
** Each connect to one of its engines then takes the whole connect time-out,
** and finding out about each engine on its own costs one request each. So a
** domain counts as unreachable once connects to two different engines of it
** have timed out shortly after each other; while it does, one of its engines
** at a time is probed, and the first connect that succeeds ends it.
**
** One engine that is unreachable says nothing about the others of its domain.
** A refused connect is a reply of the engine's box, which can be reached.
** Only connects count: messages of the domain's routers and responses on open
** connections may still arrive when the other direction is cut.
*/
#ifndef domain_reach_h
#define domain_reach_h

#include "mtmem.h"

/* Failure domains; further ones are ignored. */
#define MT_DOMAIN_REACH_MAX 64

typedef enum mt_connect_outcome_t {
  MT_CONNECT_MADE,
  MT_CONNECT_REFUSED, /* no process listens on the port */
  MT_CONNECT_TIMED_OUT
} mt_connect_outcome_t;

typedef struct mt_domain_reach_t {
  mt_id_t domain;
  bool unreachable;
  uint64_t timed_out; /* engine of the last time-out since the last success;
                         0: none */
  mt_ms_t timed_out_at;
  mt_ms_t since;      /* when it became unreachable */
  mt_ms_t next_probe; /* earliest time of the next probe */
  uint64_t probed;    /* engine that was probed last; 0: none */
} mt_domain_reach_t;

typedef struct mt_domain_reaches_t {
  mt_domain_reach_t list[MT_DOMAIN_REACH_MAX];
  size_t count;
  size_t unreachable; /* number of unreachable domains */
} mt_domain_reaches_t;

/* What an outcome changes. */
typedef enum mt_domain_change_t {
  MT_DOMAIN_UNCHANGED,
  MT_DOMAIN_LOST,    /* became unreachable */
  MT_DOMAIN_REGAINED /* became reachable */
} mt_domain_change_t;

/* Records the outcome of a connect to an engine of the domain. */
mt_domain_change_t mt_domain_reach_record (mt_domain_reaches_t *reaches,
                                           mt_id_t domain, uint64_t engine,
                                           mt_connect_outcome_t outcome,
                                           mt_ms_t now);

bool mt_domain_reach_is_unreachable (const mt_domain_reaches_t *reaches,
                                     mt_id_t domain);

/* True if an unreachable domain is to be probed now. */
bool mt_domain_reach_probe_due (const mt_domain_reach_t *reach, mt_ms_t now);

/* Records that an engine of the domain is probed. */
void mt_domain_reach_probed (mt_domain_reach_t *reach, uint64_t engine,
                             mt_ms_t now);

/* Where no probes are made: the domain counts as reachable again, so that the
   next requests test it. */
void mt_domain_reach_end_wait (mt_domain_reaches_t *reaches,
                               mt_domain_reach_t *reach);

#endif
