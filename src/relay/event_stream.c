/*
** event_stream.c - splits a text/event-stream into complete events
*/
#include <stdlib.h>
#include <string.h>

#include "event_stream.h"

#define END_MAX 3 /* bytes from a line's end to that of an empty line */
#define ID_DIGITS_MAX 15 /* of an id: it fits into 64 bits */

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
  if (n > 0) memcpy(s->bytes + s->used, p, n);
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

/* Bytes of the line ends before the event's first line. */
static size_t blank_prefix (const char *p, size_t n) {
  size_t blank = 0;
  for (size_t i = 0; i < n && (p[i] == '\n' || p[i] == '\r'); i++)
    if (p[i] == '\n') blank = i + 1;
  return blank;
}

int64_t mt_event_id (mt_bytes_t value) {
  int64_t id = 0;
  if (value.n == 0 || value.n > ID_DIGITS_MAX) return -1;
  for (size_t i = 0; i < value.n; i++) {
    if (value.p[i] < '0' || value.p[i] > '9') return -1;
    id = id * 10 + (value.p[i] - '0');
  }
  return id;
}

/* The number in the event's first line "id: N"; -1 if there is none. */
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
    if (stop > line && stop[-1] == '\r') stop--;
    return mt_event_id((mt_bytes_t){line, (size_t)(stop - line)});
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

bool mt_event_stream_peek (mt_event_stream_t *s, mt_stream_event_t *event) {
  size_t size = next_size(s);
  if (size == 0) return false;
  const char *p = s->bytes + s->consumed;
  size_t blank = blank_prefix(p, size);
  event->text = (mt_bytes_t){p + blank, size - blank};
  event->id = event_id(event->text.p, event->text.n);
  event->size = size;
  return true;
}

void mt_event_stream_consume (mt_event_stream_t *s,
                              const mt_stream_event_t *event) {
  s->consumed += event->size;
  s->searched = 0;
}

void mt_event_drop_mark (mt_stream_event_t *event) {
  static const char mark[] = "\xef\xbb\xbf";
  size_t n = sizeof mark - 1;
  mt_bytes_t *text = &event->text;
  if (text->n < n || memcmp(text->p, mark, n) != 0) return;
  n += blank_prefix(text->p + n, text->n - n);
  *text = (mt_bytes_t){text->p + n, text->n - n};
  event->id = event_id(text->p, text->n);
}

bool mt_event_stream_has_next (mt_event_stream_t *s) {
  return next_size(s) > 0;
}

bool mt_event_stream_next (mt_event_stream_t *s, mt_stream_event_t *event) {
  if (!mt_event_stream_peek(s, event)) return false;
  mt_event_stream_consume(s, event);
  return true;
}

/* True if the line tells a reader nothing: it is empty, a comment, or the
   time after which to connect again. */
static bool is_idle_line (const char *p, size_t n) {
  static const char retry[] = "retry:";
  if (n == 0 || *p == ':' || *p == '\r') return true;
  return n >= sizeof retry - 1 && memcmp(p, retry, sizeof retry - 1) == 0;
}

bool mt_event_stream_partial (const mt_event_stream_t *s) {
  if (s->used == s->consumed) return false;
  const char *p = s->bytes + s->consumed, *end = s->bytes + s->used;
  while (p < end) {
    const char *stop = memchr(p, '\n', (size_t)(end - p));
    if (stop == NULL) stop = end;
    if (!is_idle_line(p, (size_t)(stop - p))) return true;
    p = stop + 1;
  }
  return false;
}

void mt_event_stream_reset (mt_event_stream_t *s) {
  s->used = s->consumed = s->searched = 0;
}

void mt_event_stream_free (mt_event_stream_t *s) {
  free(s->bytes);
  *s = (mt_event_stream_t){0};
}
