/*
** ended_runs.c - runs at engines that have ended, until it is known whether
** their engine ended with them
*/
#include <stdlib.h>
#include <string.h>

#include "ended_runs.h"

#define RUNS_MAX 1024
#define REPORTS_PER_RUN 3
/* Between the first report and the second; the third follows after three
   times as long. */
#define REPORT_INTERVAL_MS 200

void mt_ended_runs_free (mt_ended_runs_t *t) {
  for (size_t i = 0; i < t->count; i++) free(t->list[i].names);
  free(t->list);
}

bool mt_ended_runs_add (mt_ended_runs_t *t, const mt_ended_run_t *run) {
  if (t->count >= RUNS_MAX) return false;
  mt_ended_run_t *added = mtV_push(t->list, t->count, t->cap);
  size_t bytes = run->names_count * sizeof *run->names;
  *added = *run;
  added->names = mtV_new(bytes + 1);
  if (bytes > 0) memcpy(added->names, run->names, bytes);
  return true;
}

size_t mt_ended_runs_mark (mt_ended_runs_t *t, uint64_t engine) {
  size_t marked = 0;
  for (size_t i = 0; i < t->count; i++) {
    mt_ended_run_t *run = &t->list[i];
    if (run->engine != engine || run->engine_ended) continue;
    run->engine_ended = true;
    marked++;
  }
  return marked;
}

void mt_ended_runs_remove (mt_ended_runs_t *t, size_t index) {
  free(t->list[index].names);
  t->count--;
  memmove(&t->list[index], &t->list[index + 1],
          (t->count - index) * sizeof *t->list);
}

bool mt_ended_run_is_due (const mt_ended_run_t *run, mt_ms_t now) {
  return run->engine_ended && run->reports < REPORTS_PER_RUN &&
         now >= run->next;
}

void mt_ended_run_reported (mt_ended_run_t *run, mt_ms_t now) {
  run->next = now + (run->reports == 0 ? 1 : 3) * (mt_ms_t)REPORT_INTERVAL_MS;
  run->reports++;
}
