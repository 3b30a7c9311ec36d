/*
** event_stream.h - splits a text/event-stream into complete events
*/
#ifndef event_stream_h
#define event_stream_h

#include "mtobject.h"

#define MT_EVENT_MAX (256u << 10) /* bytes buffered: the largest event */

/* Input that is not split yet. All zero: empty and valid. */
typedef struct mt_event_stream_t {
  char *bytes;
  size_t used, cap;
  size_t consumed; /* bytes of events already returned */
  size_t searched; /* bytes behind these in which no event ends */
} mt_event_stream_t;

/* One block of lines with the empty line that ends it; valid until the next
   feed. Whether it is an event is for event_check.h to tell. */
typedef struct mt_stream_event_t {
  mt_bytes_t text; /* without empty lines before it */
  int64_t id;      /* -1: it has none that is a whole number */
  size_t size;     /* bytes of the stream that it takes */
} mt_stream_event_t;

/* Appends input; false if it would exceed MT_EVENT_MAX pending bytes. */
bool mt_event_stream_feed (mt_event_stream_t *stream, const char *p,
                           size_t n);
/* Sets `event` to the next complete event; false if there is none yet. */
bool mt_event_stream_next (mt_event_stream_t *stream,
                           mt_stream_event_t *event);
/* True if there is one. */
bool mt_event_stream_has_next (mt_event_stream_t *stream);
/* The same as next, and the event is still the next one afterwards, until it
   is consumed. */
bool mt_event_stream_peek (mt_event_stream_t *stream,
                           mt_stream_event_t *event);
void mt_event_stream_consume (mt_event_stream_t *stream,
                              const mt_stream_event_t *event);
/* Drops a byte order mark, which may be before the first event of a stream.
 */
void mt_event_drop_mark (mt_stream_event_t *event);
/* The number that an id field has as its value; -1: it is no whole number, or
   too long. */
int64_t mt_event_id (mt_bytes_t value);
/* True if part of an event is pending: not for empty lines, comments and a
   retry time, which readers discard at the end of a stream. */
bool mt_event_stream_partial (const mt_event_stream_t *stream);
/* Drops all input; events that were returned stay valid until the next
   feed. */
void mt_event_stream_reset (mt_event_stream_t *stream);
void mt_event_stream_free (mt_event_stream_t *stream);

#endif
