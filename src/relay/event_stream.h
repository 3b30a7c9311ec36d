/*
** event_stream.h - cuts a text/event-stream into whole events
*/
#ifndef event_stream_h
#define event_stream_h

#include "mtobject.h"

#define MT_EVENT_MAX (256u << 10) /* bytes of one event */

/* An all-zero splitter is empty and valid. */
typedef struct mt_event_stream_t {
  char *bytes;
  size_t used, cap;
  size_t taken; /* bytes already given out */
} mt_event_stream_t;

/* One event with its empty last line; valid until the next feed. */
typedef struct mt_stream_event_t {
  mt_bytes_t text;
  int64_t id; /* -1: it has none */
} mt_stream_event_t;

/* Adds bytes; false when an event is larger than MT_EVENT_MAX. */
bool mt_event_stream_feed (mt_event_stream_t *stream, const char *p,
                           size_t n);
/* Gives the next whole event; false when there is none yet. */
bool mt_event_stream_next (mt_event_stream_t *stream,
                           mt_stream_event_t *event);
/* True when part of an event is left over. */
bool mt_event_stream_partial (const mt_event_stream_t *stream);
void mt_event_stream_free (mt_event_stream_t *stream);

#endif
