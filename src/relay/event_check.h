/*
** event_check.h - tells the events of a stream from other bytes
**
** An engine may send bytes that are no event of its response. What goes on to
** a caller cannot be taken back, so each block of lines is checked before it
** is forwarded. A block is an event if every line is a field or a comment by
** the grammar of text/event-stream, it has data, and it has one id, which
** follows the id before it.
**
** A strict list of fields is not what the grammar asks for, which ignores
** unknown ones: any line with a colon would pass then. Fields that a platform
** adds are listed by it, and by the settings.
*/
#ifndef event_check_h
#define event_check_h

#include "event_stream.h"

#define MT_EVENT_FIELDS_MAX 8 /* fields besides those of the grammar */
#define MT_EVENT_FIELD_NAME_MAX 31

/* How the ids of a stream's events follow each other. */
typedef enum mt_event_ids_t {
  MT_EVENT_IDS_CONSECUTIVE, /* they count the events, from 0 or from 1 */
  MT_EVENT_IDS_RISING,      /* by any steps: a missing event is not noticed */
  MT_EVENT_IDS_UNCHECKED    /* every block of lines passes as an event */
} mt_event_ids_t;

typedef struct mt_event_rules_t {
  mt_event_ids_t ids;
  /* Names of further fields. */
  char fields[MT_EVENT_FIELDS_MAX][MT_EVENT_FIELD_NAME_MAX + 1];
  size_t fields_count;
} mt_event_rules_t;

/* What a block of lines is: symbol, name in logs and metrics. The first three
   are no fault of the engine. */
#define MT_EVENT_VERDICTS(ROW)                                               \
  ROW(MT_EVENT_DUE, "due")           /* the caller's next event */           \
  ROW(MT_EVENT_KNOWN, "known")       /* one that the caller has */           \
  ROW(MT_EVENT_NOTHING, "nothing")   /* no event: comments, a retry time */  \
  ROW(MT_EVENT_BAD_LINE, "bad_line") /* a line is no field */                \
  ROW(MT_EVENT_NO_ID, "no_id")                                               \
  ROW(MT_EVENT_BAD_ID, "bad_id") /* not one whole number */                  \
  ROW(MT_EVENT_NO_DATA, "no_data")                                           \
  ROW(MT_EVENT_REPEATED, "repeated") /* its id is not above the last */      \
  ROW(MT_EVENT_GAP, "gap")           /* an event before it is missing */     \
  ROW(MT_EVENT_TOO_LONG, "too_long") /* it has no end within MT_EVENT_MAX */ \
  ROW(MT_EVENT_UNFINISHED, "unfinished") /* the response ends within it */   \
  ROW(MT_EVENT_MISSING, "missing")       /* the response ends without any */

typedef enum mt_event_verdict_t {
#define MT_EVENT_SYMBOL(symbol, name) symbol,
  MT_EVENT_VERDICTS(MT_EVENT_SYMBOL)
#undef MT_EVENT_SYMBOL
      MT_EVENT_VERDICT_COUNT
} mt_event_verdict_t;

/* Where in its stream an event comes. */
typedef struct mt_event_position_t {
  int64_t previous; /* id before it in the same response; -1: none */
  int64_t last;     /* of the last event that the caller has; -1: none */
  int64_t first;    /* of the first event of a stream; -1: 0 or 1 */
} mt_event_position_t;

/* A byte order mark is to be dropped before (mt_event_drop_mark). */
mt_event_verdict_t mt_event_check (const mt_event_rules_t *rules,
                                   const mt_event_position_t *position,
                                   const mt_stream_event_t *event);

/* True if the engine has sent what is no event of its response. */
bool mt_event_is_fault (mt_event_verdict_t verdict);

const char *mt_event_verdict_name (mt_event_verdict_t verdict);

/* Adds a field; false if the name is not one, or there is no room. */
bool mt_event_rules_add_field (mt_event_rules_t *rules, const char *name);

#endif
