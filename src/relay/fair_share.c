/*
** fair_share.c - max-min fair shares of workspaces over the whole fleet
*/
#include <math.h>
#include <stdlib.h>

#include "fair_share.h"

#define DECAY_MS 1000.0 /* time constant of the rates */
/* Total served below this part of total demand: capacity is scarce. */
#define SCARCITY_RATIO 0.97
/* A workspace served below this part of its demand is backlogged. */
#define BACKLOG_RATIO 0.9
/* Served below this part of the level: its engines are unavailable, so its
   backlog is no reason to refuse other workspaces. */
#define REACHABLE_RATIO 0.03
#define IDLE_RATE 0.01 /* tokens/s; lower rates count as 0 */

void mt_fair_share_free (mt_fair_share_t *s) {
  for (size_t i = 0; i < s->count; i++) free(s->list[i]);
  free(s->list);
  mtV_free(&s->by_id);
}

mt_share_t *mt_fair_share_get (mt_fair_share_t *s, mt_id_t workspace) {
  mt_share_t *w = mtV_get(&s->by_id, workspace);
  if (w != NULL) return w;
  w = mtV_new(sizeof *w);
  w->workspace = workspace;
  mtV_put(&s->by_id, workspace, w);
  *mtV_push(s->list, s->count, s->cap) = w;
  return w;
}

mt_share_t *mt_fair_share_of_peer (mt_fair_share_t *s, mt_id_t workspace) {
  mt_share_t *known = mtV_get(&s->by_id, workspace);
  if (known != NULL || s->count >= MT_FAIR_SHARE_WORKSPACES_MAX) return known;
  return mt_fair_share_get(s, workspace);
}

/* What an amount adds to a rate that decays with DECAY_MS, tokens/s. */
static double as_rate (int64_t tokens) {
  return (double)tokens * 1000.0 / DECAY_MS;
}

void mt_fair_share_record_demand (mt_fair_share_t *s, mt_id_t workspace,
                                  int64_t tokens) {
  mt_fair_share_get(s, workspace)->local.demand += as_rate(tokens);
}

void mt_fair_share_record_served (mt_fair_share_t *s, mt_id_t workspace,
                                  int64_t tokens) {
  mt_fair_share_get(s, workspace)->local.served += as_rate(tokens);
}

static double decay_factor (mt_ms_t since, mt_ms_t now) {
  return exp(-(double)(now - since) / DECAY_MS);
}

void mt_fair_share_refund (mt_fair_share_t *s, mt_id_t workspace,
                           int64_t tokens, mt_ms_t recorded_at) {
  mt_fair_share_get(s, workspace)->local.served -=
      as_rate(tokens) * decay_factor(recorded_at, s->decayed_at);
}

static void decay (mt_fair_share_t *s, mt_ms_t now) {
  double factor = decay_factor(s->decayed_at, now);
  s->decayed_at = now;
  for (size_t i = 0; i < s->count; i++) {
    s->list[i]->local.demand *= factor;
    s->list[i]->local.served *= factor;
  }
}

static double demand (const mt_share_t *w) {
  return w->local.demand + w->peers.demand;
}

static double served (const mt_share_t *w) {
  return w->local.served + w->peers.served;
}

static void remove_idle (mt_fair_share_t *s) {
  for (size_t i = s->count; i-- > 0;) {
    mt_share_t *w = s->list[i];
    if (demand(w) > IDLE_RATE || served(w) > IDLE_RATE) continue;
    s->list[i] = s->list[--s->count];
    mtV_del(&s->by_id, w->workspace);
    free(w);
  }
}

static int by_demand (const void *a, const void *b) {
  double x = demand(*(mt_share_t *const *)a);
  double y = demand(*(mt_share_t *const *)b);
  return (x > y) - (x < y);
}

/* Progressive filling from the smallest demand: a workspace that asks for
   less than an even part of the remaining capacity is served in full. */
static double water_level (mt_fair_share_t *s, double capacity) {
  qsort(s->list, s->count, sizeof *s->list, by_demand);
  size_t left = 0;
  for (size_t i = 0; i < s->count; i++)
    left += demand(s->list[i]) > IDLE_RATE;
  for (size_t i = s->count - left; i < s->count; i++, left--) {
    double even = capacity / (double)left;
    if (demand(s->list[i]) > even) return even;
    capacity -= demand(s->list[i]);
  }
  return 0;
}

/* Finds the highest service ratio of workspaces that ask for more than the
   level. */
static void find_max_service_ratio (mt_fair_share_t *s) {
  s->max_service_ratio = 1;
  if (s->level <= 0) return;
  for (size_t i = 0; i < s->count; i++) {
    if (demand(s->list[i]) <= s->level) continue;
    double service_ratio = served(s->list[i]) / s->level;
    s->max_service_ratio = fmax(s->max_service_ratio, service_ratio);
  }
}

static bool is_backlogged (const mt_fair_share_t *s, const mt_share_t *w) {
  return demand(w) > s->level && served(w) < BACKLOG_RATIO * demand(w) &&
         served(w) > REACHABLE_RATIO * s->level;
}

/* Finds the lowest service ratio of backlogged workspaces. */
static void find_min_service_ratio (mt_fair_share_t *s, double declared) {
  s->min_service_ratio = 0;
  if (s->level <= 0 || declared <= 0) return;
  for (size_t i = 0; i < s->count; i++) {
    if (!is_backlogged(s, s->list[i])) continue;
    double service_ratio = served(s->list[i]) / s->level;
    if (s->min_service_ratio <= 0 || service_ratio < s->min_service_ratio)
      s->min_service_ratio = service_ratio;
  }
}

static void find_mean_local_demand (mt_fair_share_t *s) {
  double total = 0;
  size_t count = 0;
  for (size_t i = 0; i < s->count; i++) {
    if (s->list[i]->local.demand <= IDLE_RATE) continue;
    total += s->list[i]->local.demand;
    count++;
  }
  s->mean_local_demand = count > 0 ? total / (double)count : 0;
}

void mt_fair_share_update (mt_fair_share_t *s, double declared,
                           double accepted, mt_ms_t now) {
  double total_demand = 0, total_served = 0;
  decay(s, now);
  remove_idle(s);
  for (size_t i = 0; i < s->count; i++) {
    total_demand += demand(s->list[i]);
    total_served += served(s->list[i]);
  }
  bool scarce = total_served < SCARCITY_RATIO * total_demand;
  s->level = scarce ? water_level(s, fmax(total_served, declared)) : 0;
  s->accepted_level =
      scarce ? water_level(s, fmax(total_served, declared * accepted)) : 0;
  find_max_service_ratio(s);
  find_min_service_ratio(s, declared);
  find_mean_local_demand(s);
}

double mt_fair_share_local_ratio (mt_fair_share_t *s, mt_id_t workspace) {
  if (s->mean_local_demand <= 0) return 0;
  return mt_fair_share_get(s, workspace)->local.demand / s->mean_local_demand;
}

static double served_over (mt_fair_share_t *s, mt_id_t workspace,
                           double level) {
  if (level <= 0) return 0;
  return served(mt_fair_share_get(s, workspace)) / level;
}

double mt_fair_share_service_ratio (mt_fair_share_t *s, mt_id_t workspace) {
  return served_over(s, workspace, s->level);
}

double mt_fair_share_accepted_ratio (mt_fair_share_t *s, mt_id_t workspace) {
  return served_over(s, workspace, s->accepted_level);
}
