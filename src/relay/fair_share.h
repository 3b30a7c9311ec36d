/*
** fair_share.h - who has had its share: max-min over the whole fleet
**
** Each router keeps what its workspaces asked for and got, as rates that
** fade; the other routers tell theirs. The level is the rate at which
** backlogged workspaces share what the engines give: whoever asks for less
** gets all.
*/
#ifndef fair_share_h
#define fair_share_h

#include "mtmem.h"

#define MT_FAIR_SHARE_WORKSPACES_MAX \
  8192 /* workspaces that other routers may name */

/* Rates of one workspace, in tokens a second. */
typedef struct mt_share_rates_t {
  double asked, served;
} mt_share_rates_t;

typedef struct mt_share_t {
  mt_id_t workspace;
  mt_share_rates_t local, peers;
} mt_share_t;

typedef struct mt_fair_share_t {
  mt_map_t by_id;
  mt_share_t **list;
  size_t count, cap;
  mt_ms_t decayed_at; /* when rates were last made to fade */
  double level;       /* a backlogged workspace's share; 0: nobody is short */
  double max_service_ratio; /* standing of the backlogged one that got most,
                               at least 1 */
  /* Standing of the one that got least of the backlogged ones that can be
     served. 0 where there is none, and where it is not declared what the
     engines give: then a level goes by what was served, and would fall with
     what is refused. */
  double min_service_ratio;
} mt_fair_share_t;

void mt_fair_share_free (mt_fair_share_t *shares);
mt_share_t *mt_fair_share_get (mt_fair_share_t *shares, mt_id_t workspace);

/* The same for one that another router names, which may be forged. NULL for
   a new one where MT_FAIR_SHARE_WORKSPACES_MAX are known. */
mt_share_t *mt_fair_share_of_peer (mt_fair_share_t *shares,
                                   mt_id_t workspace);

void mt_fair_share_record_demand (mt_fair_share_t *shares, mt_id_t workspace,
                                  int64_t tokens);
void mt_fair_share_record_served (mt_fair_share_t *shares, mt_id_t workspace,
                                  int64_t tokens);

/*
** Lets rates fade up to now, forgets workspaces without any, and works out
** the level anew. `declared` is what the engines give together by the
** operators' word, in tokens a second: a router that serves less must not
** take that for the engines' limit. 0: not told.
*/
void mt_fair_share_update (mt_fair_share_t *shares, double declared,
                           mt_ms_t now);

/*
** What the workspace got, as a multiple of the level; below 1 it is owed
** more. Always 0 while nobody is short.
*/
double mt_fair_share_service_ratio (mt_fair_share_t *shares,
                                    mt_id_t workspace);

#endif
