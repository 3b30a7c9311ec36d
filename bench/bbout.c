/*
** bbout.c - what a run prints: "name value unit" lines, medians, JSON
*/
#include <stdio.h>
#include <stdlib.h>

#include "bbload.h"
#include "bbout.h"

/* Every value of each line, over the repeats. */
static json_t *lines;

void bb_line (const char *name, double value, const char *unit) {
  printf("%-28s %14.4f %s\n", name, value, unit);
  fflush(stdout);
  if (lines == NULL) lines = json_object();
  json_t *all = json_object_get(lines, name);
  if (all == NULL) {
    all = json_array();
    json_object_set_new(lines, name, all);
  }
  json_array_append_new(all, json_real(value));
}

void bb_summary (const bb_options_t *o) {
  const char *name;
  json_t *all;
  if (o->repeat > 1) {
    printf("\n%-28s %14s %14s %14s  of %d\n", "", "least", "median", "most",
           o->repeat);
    json_object_foreach (lines, name, all) {
      size_t n = json_array_size(all);
      double *v = mtV_new(n * sizeof *v);
      for (size_t i = 0; i < n; i++)
        v[i] = json_real_value(json_array_get(all, i));
      double median = bb_percentile(v, n, 0.5);
      printf("%-28s %14.4f %14.4f %14.4f\n", name, v[0], median, v[n - 1]);
      free(v);
    }
  }
  if (o->json != NULL) json_dump_file(lines, o->json, JSON_INDENT(1));
}

bb_engines_t bb_engines (bb_lab_t *lab) {
  bb_engines_t s = {0};
  for (size_t i = 0; i < lab->nengines; i++) {
    json_t *doc = bb_json(lab, &lab->engines[i].addr, "/stats");
    double weight = lab->engines[i].speed;
    s.busy +=
        json_number_value(json_object_get(doc, "busy_slot_ms")) * weight;
    s.slots += lab->engines[i].slots * weight;
    s.tokens += json_number_value(json_object_get(doc, "tokens"));
    s.hits += json_number_value(json_object_get(doc, "hits"));
    s.misses += json_number_value(json_object_get(doc, "misses"));
    s.runs += json_number_value(json_object_get(doc, "runs"));
    json_decref(doc);
  }
  s.at = uv_hrtime();
  return s;
}

double bb_use (const bb_engines_t *before, const bb_engines_t *after) {
  double ms = (double)(after->at - before->at) / 1e6;
  return (after->busy - before->busy) / (after->slots * ms);
}

void bb_control (bb_lab_t *lab, bb_control_t *c) {
  c->memory = 0;
  for (size_t i = 0; i < lab->nrouters; i++) {
    c->bytes[i] = bb_metric(lab, i, "control_bytes_total");
    c->messages[i] = bb_metric(lab, i, "control_messages_total");
    c->cpu[i] = bb_metric(lab, i, "cpu_seconds_total");
    c->memory = mt_max(c->memory, bb_metric(lab, i, "memory_bytes"));
  }
  c->at = uv_hrtime();
}

void bb_rates (const bb_lab_t *lab, const bb_control_t *before,
               bb_control_t *now) {
  double s = (double)(now->at - before->at) / 1e9, n = (double)lab->nrouters;
  now->meanbytes = now->mostbytes = now->meancore = now->meanmessages = 0;
  for (size_t i = 0; i < lab->nrouters; i++) {
    double b = (now->bytes[i] - before->bytes[i]) / s;
    now->mostbytes = mt_max(now->mostbytes, b);
    now->meanbytes += b / n;
    now->meancore += (now->cpu[i] - before->cpu[i]) / s / n;
    now->meanmessages += (now->messages[i] - before->messages[i]) / s / n;
  }
}
