/*
** explain.c - from a request's id to its cause, out of the logs
*/
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "explain.h"
#include "mtmem.h"

#define BEFORE_S 10.0 /* beliefs so much older than the request are shown */
#define AFTER_S 1.0
#define SUSPECT_BEFORE_S 7200.0
#define FIELD_BYTES 128

typedef struct line_t {
  double time;
  char *text;
} line_t;

typedef struct lines_t {
  line_t *list;
  size_t count, cap;
} lines_t;

/* The value of "name=" in a line, copied; false when it has none. */
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

static bool has (const char *line, const char *name, const char *value) {
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

/* True when a request's line in the list names this router or engine. */
static bool met (const lines_t *lines, const char *id, const char *name,
                 const char *value) {
  for (size_t i = 0; i < lines->count; i++)
    if (has(lines->list[i].text, "id", id) &&
        has(lines->list[i].text, name, value))
      return true;
  return false;
}

/* A belief counts if its router had the request, and its engine did; one of
   suspects if it is about this request, whichever router had it. */
static bool matters (const lines_t *lines, const char *id, const char *text) {
  char node[FIELD_BYTES], engine[FIELD_BYTES], digest[FIELD_BYTES];
  if (has(text, "event", "request")) return false;
  if (field(text, "digest", digest)) return met(lines, id, "digest", digest);
  if (!field(text, "node", node) || !met(lines, id, "node", node))
    return false;
  return !field(text, "engine", engine) || met(lines, id, "engine", engine);
}

static void span_of (const lines_t *lines, const char *id, double *first,
                     double *last) {
  *first = *last = 0;
  for (size_t i = 0; i < lines->count; i++) {
    if (!has(lines->list[i].text, "id", id)) continue;
    if (*first == 0) *first = lines->list[i].time;
    *last = lines->list[i].time;
  }
}

/* What is believed of a request itself may be as old as its quarantine. */
static double before_of (const line_t *line) {
  return has(line->text, "event", "suspect") ? SUSPECT_BEFORE_S : BEFORE_S;
}

static void print (const lines_t *lines, const char *id, double first,
                   double last) {
  for (size_t i = 0; i < lines->count; i++) {
    const line_t *line = &lines->list[i];
    bool own = has(line->text, "id", id);
    bool near =
        line->time >= first - before_of(line) && line->time <= last + AFTER_S;
    if (!own && !(near && matters(lines, id, line->text))) continue;
    printf("%+9.3f %c %s", line->time - first, own ? '>' : ' ', line->text);
  }
}

int mt_explain (const char *id, const char *const *files, size_t count) {
  lines_t lines = {0};
  double first, last;
  int code = 0;
  for (size_t i = 0; i < count; i++)
    if (!read_file(files[i], &lines)) {
      fprintf(stderr, "cannot read %s\n", files[i]);
      code = 2;
    }
  qsort(lines.list, lines.count, sizeof *lines.list, by_time);
  span_of(&lines, id, &first, &last);
  if (first == 0) {
    fprintf(stderr, "no line of request %s\n", id);
    if (code == 0) code = 1;
  } else {
    print(&lines, id, first, last);
  }
  for (size_t i = 0; i < lines.count; i++) free(lines.list[i].text);
  free(lines.list);
  return code;
}
