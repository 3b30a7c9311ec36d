/*
** event_stream.c - splits a text/event-stream into complete events
*/
#include <stdlib.h>
#include <string.h>

#include "event_stream.h"

#define END_MAX 3 /* bytes from a line's end to that of an empty line */

bool mt_event_stream_feed (mt_event_stream_t *s, const char *p, size_t n) {
  if (s->consumed > 0) {
    memmove(s->bytes, s->bytes + s->consumed, s->used - s->consumed);
    s->used -= s->consumed;
    s->consumed = 0;
  }
  if (s->used + n > MT_EVENT_MAX) return false;
  if (s->used + n > s->cap) {
    size_t cap = mt_max(s->cap * 2, (size_t)256);
    while (cap < s->used + n) cap *= 2;
    char *grown = realloc(s->bytes, cap);
    if (grown == NULL) abort();
    s->bytes = grown;
    s->cap = cap;
  }
  memcpy(s->bytes + s->used, p, n);
  s->used += n;
  return true;
}

/* Offset after the empty line that ends the event and begins at `from` or
   later; 0: incomplete. */
static size_t event_end (const char *p, size_t n, size_t from) {
  for (size_t i = from; i + 1 < n; i++) {
    if (p[i] != '\n') continue;
    if (p[i + 1] == '\n') return i + 2;
    if (p[i + 1] == '\r' && i + 2 < n && p[i + 2] == '\n') return i + 3;
  }
  return 0;
}

/* The number in the event's line "id: N"; -1 if there is none. */
static int64_t event_id (const char *p, size_t n) {
  const char *end = p + n;
  while (p < end) {
    const char *line = p;
    const char *stop = memchr(p, '\n', (size_t)(end - p));
    if (stop == NULL) stop = end;
    p = stop + 1;
    if (stop - line < 4 || memcmp(line, "id:", 3) != 0) continue;
    line += 3;
    while (line < stop && *line == ' ') line++;
    int64_t id = 0;
    if (line == stop || *line < '0' || *line > '9') return -1;
    while (line < stop && *line >= '0' && *line <= '9')
      id = id * 10 + (*line++ - '0');
    return id;
  }
  return -1;
}

/*
** Size of the next complete event; 0: there is none. What was searched is
** not searched again, but for the begin of an end: an event that comes in
** parts of a byte would take time by the square of its size.
*/
static size_t next_size (mt_event_stream_t *s) {
  size_t n = s->used - s->consumed;
  if (n == 0) return 0;
  size_t size = event_end(s->bytes + s->consumed, n, s->searched);
  if (size == 0 && n > END_MAX) s->searched = n - END_MAX;
  return size;
}

bool mt_event_stream_has_next (mt_event_stream_t *s) {
  return next_size(s) > 0;
}

bool mt_event_stream_next (mt_event_stream_t *s, mt_stream_event_t *event) {
  size_t size = next_size(s);
  if (size == 0) return false;
  const char *p = s->bytes + s->consumed;
  event->text = (mt_bytes_t){p, size};
  event->id = event_id(p, size);
  s->consumed += size;
  s->searched = 0;
  return true;
}

bool mt_event_stream_partial (const mt_event_stream_t *s) {
  return s->used > s->consumed;
}

void mt_event_stream_free (mt_event_stream_t *s) {
  free(s->bytes);
  *s = (mt_event_stream_t){0};
}
