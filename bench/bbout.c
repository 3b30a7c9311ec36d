/*
** bbout.c - output and measurements of benchmarks
*/
#include <stdio.h>
#include <stdlib.h>

#include "bbload.h"
#include "bbout.h"

/* Name -> array of all values that were printed under it. */
static json_t *values;

void bb_print_value (const char *name, double value, const char *unit) {
  printf("%-28s %14.4f %s\n", name, value, unit);
  fflush(stdout);
  if (values == NULL) values = json_object();
  json_t *all = json_object_get(values, name);
  if (all == NULL) {
    all = json_array();
    json_object_set_new(values, name, all);
  }
  json_array_append_new(all, json_real(value));
}

void bb_print_summary (const bb_options_t *o) {
  const char *name;
  json_t *all;
  if (o->repeat > 1) {
    printf("\n%-28s %14s %14s %14s  of %d\n", "", "least", "median", "most",
           o->repeat);
    json_object_foreach (values, name, all) {
      size_t n = json_array_size(all);
      double *v = mtV_new(n * sizeof *v);
      for (size_t i = 0; i < n; i++)
        v[i] = json_real_value(json_array_get(all, i));
      double median = bb_percentile(v, n, 0.5);
      printf("%-28s %14.4f %14.4f %14.4f\n", name, v[0], median, v[n - 1]);
      free(v);
    }
  }
  if (o->json != NULL) json_dump_file(values, o->json, JSON_INDENT(1));
}

bb_engine_totals_t bb_engine_totals (bb_cluster_t *cluster) {
  bb_engine_totals_t s = {0};
  for (size_t i = 0; i < cluster->nengines; i++) {
    json_t *doc = bb_get_json(cluster, &cluster->engines[i].addr, "/stats");
    double weight = cluster->engines[i].speed;
    s.busy +=
        json_number_value(json_object_get(doc, "busy_slot_ms")) * weight;
    s.slots += cluster->engines[i].slots * weight;
    s.tokens += json_number_value(json_object_get(doc, "tokens"));
    s.hits += json_number_value(json_object_get(doc, "hits"));
    s.misses += json_number_value(json_object_get(doc, "misses"));
    s.runs += json_number_value(json_object_get(doc, "runs"));
    json_decref(doc);
  }
  s.at = uv_hrtime();
  return s;
}

double bb_engine_utilization (const bb_engine_totals_t *before,
                              const bb_engine_totals_t *after) {
  double ms = (double)(after->at - before->at) / 1e6;
  return (after->busy - before->busy) / (after->slots * ms);
}

void bb_read_control_cost (bb_cluster_t *cluster, bb_control_cost_t *c) {
  c->max_memory = 0;
  for (size_t i = 0; i < cluster->nrouters; i++) {
    c->bytes[i] = bb_metric(cluster, i, "control_bytes_total");
    c->messages[i] = bb_metric(cluster, i, "control_messages_total");
    c->cpu[i] = bb_metric(cluster, i, "cpu_seconds_total");
    c->max_memory =
        mt_max(c->max_memory, bb_metric(cluster, i, "memory_bytes"));
  }
  c->at = uv_hrtime();
}

void bb_control_rates (const bb_cluster_t *cluster,
                       const bb_control_cost_t *before,
                       bb_control_cost_t *now) {
  double s = (double)(now->at - before->at) / 1e9,
         n = (double)cluster->nrouters;
  now->mean_bytes = now->max_bytes = now->mean_cores = now->mean_messages = 0;
  for (size_t i = 0; i < cluster->nrouters; i++) {
    double b = (now->bytes[i] - before->bytes[i]) / s;
    now->max_bytes = mt_max(now->max_bytes, b);
    now->mean_bytes += b / n;
    now->mean_cores += (now->cpu[i] - before->cpu[i]) / s / n;
    now->mean_messages += (now->messages[i] - before->messages[i]) / s / n;
  }
}
