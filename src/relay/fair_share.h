/*
** fair_share.h - max-min fair shares of workspaces over the whole fleet
**
** Each router measures how many tokens its workspaces ask for and are served,
** as exponentially decaying rates, and receives the rates of the other
** routers. The level is the max-min fair share of a backlogged workspace:
** those that ask for less than the level are served in full. A workspace's
** service ratio is its served rate as a multiple of the level.
*/
#ifndef fair_share_h
#define fair_share_h

#include "mtmem.h"

/* At this number of workspaces other routers can add no more. */
#define MT_FAIR_SHARE_WORKSPACES_MAX 8192

/* Rates of one workspace, tokens/s. */
typedef struct mt_share_rates_t {
  double demand, served;
} mt_share_rates_t;

typedef struct mt_share_t {
  mt_id_t workspace;
  mt_share_rates_t local, peers; /* at this router; at all other routers */
} mt_share_t;

typedef struct mt_fair_share_t {
  mt_map_t by_id;
  mt_share_t **list;
  size_t count, cap;
  mt_ms_t decayed_at;       /* when the rates were last decayed */
  double mean_local_demand; /* of the workspaces that ask at this router */
  double level;             /* tokens/s; 0: all demand is served */
  /* The level of what engines accept: lower while they reject requests. */
  double accepted_level;
  /* Highest service ratio of the workspaces that ask for more than the level,
     at least 1. */
  double max_service_ratio;
  /* Lowest service ratio of the backlogged workspaces whose engines can serve
     them. 0 if there are none, and if the capacity is not configured: the
     level then follows the served rates, so limits based on it would fall
     with each refusal. */
  double min_service_ratio;
} mt_fair_share_t;

void mt_fair_share_free (mt_fair_share_t *shares);
/* The workspace's entry, added if it is new. */
mt_share_t *mt_fair_share_get (mt_fair_share_t *shares, mt_id_t workspace);

/* The same for a workspace that a message of another router names. Such a
   message may be forged, so the result is NULL if the workspace is new and
   the table has MT_FAIR_SHARE_WORKSPACES_MAX entries. */
mt_share_t *mt_fair_share_of_peer (mt_fair_share_t *shares,
                                   mt_id_t workspace);

/* Add tokens to the demand or the service of a workspace at this router. */
void mt_fair_share_record_demand (mt_fair_share_t *shares, mt_id_t workspace,
                                  int64_t tokens);
void mt_fair_share_record_served (mt_fair_share_t *shares, mt_id_t workspace,
                                  int64_t tokens);

/* Takes back what is left of a service that was recorded when the rates were
   last decayed at `recorded_at`. */
void mt_fair_share_refund (mt_fair_share_t *shares, mt_id_t workspace,
                           int64_t tokens, mt_ms_t recorded_at);

/*
** Decays the rates, drops idle workspaces and recomputes the level.
** `declared`: the configured capacity of all engines together, tokens/s; 0:
** unknown. With it a lower served rate is not taken for their capacity.
** `accepted`: the fraction of requests that they accept.
*/
void mt_fair_share_update (mt_fair_share_t *shares, double declared,
                           double accepted, mt_ms_t now);

/* Demand of the workspace at this router as a multiple of the mean of those
   that ask here; 0 if nobody does. */
double mt_fair_share_local_ratio (mt_fair_share_t *shares, mt_id_t workspace);

/*
** Served rate of the workspace as a multiple of the level; below 1 it has had
** less than its share. 0 while all demand is served.
*/
double mt_fair_share_service_ratio (mt_fair_share_t *shares,
                                    mt_id_t workspace);

/* The same as a multiple of the level of what engines accept. */
double mt_fair_share_accepted_ratio (mt_fair_share_t *shares,
                                     mt_id_t workspace);

#endif
