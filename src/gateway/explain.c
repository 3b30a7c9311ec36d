/*
** explain.c - prints the log lines that explain the outcome of one request
*/
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "explain.h"
#include "mtmem.h"

/* State changes are shown from so long before the request's first line to so
   long after its last. Lines about suspects go back further: a quarantine can
   be that old. */
#define BEFORE_S 10.0
#define AFTER_S 1.0
#define SUSPECT_BEFORE_S 7200.0
#define FIELD_BYTES 128 /* longer values are cut */

typedef struct line_t {
  double time; /* seconds */
  char *text;
} line_t;

typedef struct lines_t {
  line_t *list;
  size_t count, cap;
} lines_t;

/* Copies the value of the field `name` of a line; false if it has none. */
static bool field (const char *line, const char *name, char *out) {
  size_t size = strlen(name);
  const char *p = line;
  while ((p = strstr(p, name)) != NULL) {
    bool starts = p == line || p[-1] == ' ';
    if (starts && p[size] == '=') break;
    p += size;
  }
  if (p == NULL) return false;
  p += size + 1;
  size_t n = mt_min(strcspn(p, " \n"), (size_t)FIELD_BYTES - 1);
  memcpy(out, p, n);
  out[n] = '\0';
  return true;
}

static bool has_value (const char *line, const char *name,
                       const char *value) {
  char found[FIELD_BYTES];
  return field(line, name, found) && strcmp(found, value) == 0;
}

static bool read_file (const char *name, lines_t *lines) {
  char *text = NULL, time[FIELD_BYTES];
  size_t cap = 0;
  FILE *file = fopen(name, "r");
  if (file == NULL) return false;
  while (getline(&text, &cap, file) > 0) {
    if (!field(text, "t", time)) continue;
    line_t *line = mtV_push(lines->list, lines->count, lines->cap);
    line->time = atof(time);
    line->text = strdup(text);
  }
  free(text);
  fclose(file);
  return true;
}

static int by_time (const void *a, const void *b) {
  const line_t *x = a, *y = b;
  return (x->time > y->time) - (x->time < y->time);
}

/* True if a line of the request `id` has this value in the field `name`. */
static bool request_names (const lines_t *lines, const char *id,
                           const char *name, const char *value) {
  for (size_t i = 0; i < lines->count; i++)
    if (has_value(lines->list[i].text, "id", id) &&
        has_value(lines->list[i].text, name, value))
      return true;
  return false;
}

/* True if a line of the request `id` lists this part of its prompt. */
static bool request_has_part (const lines_t *lines, const char *id,
                              const char *part) {
  for (size_t i = 0; i < lines->count; i++) {
    const char *list = strstr(lines->list[i].text, " parts=");
    if (list == NULL || !has_value(lines->list[i].text, "id", id)) continue;
    const char *found = strstr(list, part);
    if (found != NULL && found < list + 1 + strcspn(list + 1, " "))
      return true;
  }
  return false;
}

/* A state change is relevant if it was logged by a router that handled the
   request and, if it is about an engine, the request went there. One about a
   suspect is relevant if it is about this request or a part of its prompt, at
   any router. */
static bool is_relevant (const lines_t *lines, const char *id,
                         const char *text) {
  char node[FIELD_BYTES], engine[FIELD_BYTES], digest[FIELD_BYTES],
      part[FIELD_BYTES];
  if (has_value(text, "event", "request")) return false;
  if (field(text, "digest", digest))
    return request_names(lines, id, "digest", digest);
  if (field(text, "part", part)) return request_has_part(lines, id, part);
  if (!field(text, "node", node) || !request_names(lines, id, "node", node))
    return false;
  return !field(text, "engine", engine) ||
         request_names(lines, id, "engine", engine);
}

static void time_span (const lines_t *lines, const char *id, double *first,
                       double *last) {
  *first = *last = 0;
  for (size_t i = 0; i < lines->count; i++) {
    if (!has_value(lines->list[i].text, "id", id)) continue;
    if (*first == 0) *first = lines->list[i].time;
    *last = lines->list[i].time;
  }
}

static double lookback_s (const line_t *line) {
  return has_value(line->text, "event", "suspect") ? SUSPECT_BEFORE_S
                                                   : BEFORE_S;
}

static void print (const lines_t *lines, const char *id, double first,
                   double last) {
  for (size_t i = 0; i < lines->count; i++) {
    const line_t *line = &lines->list[i];
    bool own = has_value(line->text, "id", id);
    bool in_window = line->time >= first - lookback_s(line) &&
                     line->time <= last + AFTER_S;
    if (!own && !(in_window && is_relevant(lines, id, line->text))) continue;
    printf("%+9.3f %c %s", line->time - first, own ? '>' : ' ', line->text);
  }
}

int mt_explain (const char *id, const char *const *files, size_t count) {
  lines_t lines = {0};
  double first, last;
  int code = 0;
  for (size_t i = 0; i < count; i++)
    if (!read_file(files[i], &lines)) {
      fprintf(stderr, "cannot read log file %s\n", files[i]);
      code = 2;
    }
  qsort(lines.list, lines.count, sizeof *lines.list, by_time);
  time_span(&lines, id, &first, &last);
  if (first == 0) {
    fprintf(stderr, "request %s is in none of the log files\n", id);
    if (code == 0) code = 1;
  } else {
    print(&lines, id, first, last);
  }
  for (size_t i = 0; i < lines.count; i++) free(lines.list[i].text);
  free(lines.list);
  return code;
}
