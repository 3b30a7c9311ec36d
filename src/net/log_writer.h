/*
** log_writer.h - structured lines on standard output, bounded, never blocking
**
** A line is logfmt: key=value pairs. Lines are gathered and written once per
** tick; what a slow reader does not take is dropped, counted and said.
*/
#ifndef log_writer_h
#define log_writer_h

#include "mtobject.h"

typedef struct mt_log_writer_t mt_log_writer_t;

/* What a line is worth when not all can be written. */
typedef enum mt_log_weight_t {
  MT_LOG_DETAIL, /* a request that went well: left out first */
  MT_LOG_FAILURE,
  MT_LOG_BELIEF /* what the process believes has changed; start and stop */
} mt_log_weight_t;

/* `fd` is made non-blocking. `lines_per_s` bounds each weight by itself. */
mt_log_writer_t *mt_log_writer_open (int fd, const char *node,
                                     int lines_per_s);
void mt_log_writer_close (mt_log_writer_t *log);

/* Adds a line with time and node in front; `now` as of the loop. */
void mt_log_line (mt_log_writer_t *log, mt_log_weight_t weight, mt_ms_t now,
                  const char *event, const char *format, ...)
    __attribute__((format(printf, 5, 6)));

/* Writes what can be written without waiting. */
void mt_log_writer_flush (mt_log_writer_t *log);

/* Lines left out since the start. */
uint64_t mt_log_writer_dropped (const mt_log_writer_t *log);

#endif
