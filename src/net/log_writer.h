/*
** log_writer.h - structured, rate-limited, non-blocking log
**
** Lines are in logfmt: key=value pairs. They are buffered and written once
** per tick. Lines beyond the rate limit, or for which a slow reader leaves no
** room, are dropped and counted; the count is logged.
*/
#ifndef log_writer_h
#define log_writer_h

#include "mtobject.h"

typedef struct mt_log_writer_t mt_log_writer_t;

/* Each class has its own rate limit: requests do not crowd out the others. */
typedef enum mt_log_class_t {
  MT_LOG_DETAIL,  /* a request that succeeded at the first attempt */
  MT_LOG_FAILURE, /* any other request */
  MT_LOG_STATE,   /* changes of state, start and stop */
  MT_LOG_LOAD     /* of this process: when engines change state at once, their
                     lines must not crowd these out */
} mt_log_class_t;

/* Makes `fd` non-blocking. `lines_per_s` limits each class. */
mt_log_writer_t *mt_log_writer_open (int fd, const char *node,
                                     int lines_per_s);
void mt_log_writer_close (mt_log_writer_t *log);

/* Adds a line that starts with time, node and event; `now` is the loop's
   time. A line is cut at 638 bytes; control characters become '?'. */
void mt_log_line (mt_log_writer_t *log, mt_log_class_t line_class,
                  mt_ms_t now, const char *event, const char *format, ...)
    __attribute__((format(printf, 5, 6)));

/* Writes what can be written without blocking. */
void mt_log_writer_flush (mt_log_writer_t *log);

/* Lines dropped since the start. */
uint64_t mt_log_writer_dropped (const mt_log_writer_t *log);

#endif
