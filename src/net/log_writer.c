/*
** log_writer.c - structured, rate-limited, non-blocking log
*/
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "log_writer.h"
#include "mtmem.h"

#define BUFFER_BYTES 65536
#define LINE_BYTES 1024 /* a request with all names at their longest */
#define CLASSES 4
#define SECOND_MS 1000

struct mt_log_writer_t {
  int fd;
  int lines_per_s;
  int lines[CLASSES]; /* per class in the current second */
  mt_ms_t second;
  uint64_t dropped, dropped_reported;
  char node[MT_NAME_MAX + 1];
  size_t used;
  char buffer[BUFFER_BYTES];
};

mt_log_writer_t *mt_log_writer_open (int fd, const char *node,
                                     int lines_per_s) {
  mt_log_writer_t *log = mtV_new(sizeof *log);
  log->fd = fd;
  log->lines_per_s = lines_per_s;
  snprintf(log->node, sizeof log->node, "%s", node);
  int flags = fcntl(fd, F_GETFL);
  if (flags >= 0) fcntl(fd, F_SETFL, flags | O_NONBLOCK);
  return log;
}

void mt_log_writer_close (mt_log_writer_t *log) {
  mt_log_writer_flush(log);
  free(log);
}

static void append (mt_log_writer_t *log, const char *line, size_t n) {
  if (log->used + n > sizeof log->buffer) {
    log->dropped++;
    return;
  }
  memcpy(log->buffer + log->used, line, n);
  log->used += n;
}

/*
** Starts a line with the time of day, so that the logs of several boxes can
** be merged, and with this box's monotonic time, which does not jump when the
** time of day is set.
*/
static int start_line (const mt_log_writer_t *log, char *line, size_t size,
                       mt_ms_t now, const char *event) {
  struct timespec day;
  clock_gettime(CLOCK_REALTIME, &day);
  return snprintf(line, size, "t=%lld.%03ld ms=%llu node=%s event=%s ",
                  (long long)day.tv_sec, day.tv_nsec / 1000000,
                  (unsigned long long)now, log->node, event);
}

static void log_dropped (mt_log_writer_t *log, mt_ms_t now) {
  char line[LINE_BYTES];
  if (log->dropped == log->dropped_reported) return;
  int n = start_line(log, line, sizeof line, now, "log-lines-dropped");
  n += snprintf(line + n, sizeof line - (size_t)n, "total=%llu\n",
                (unsigned long long)log->dropped);
  log->dropped_reported = log->dropped;
  append(log, line, (size_t)n);
}

/* True when the class has not reached its limit in this second. */
static bool within_budget (mt_log_writer_t *log, mt_log_class_t line_class,
                           mt_ms_t now) {
  if (now / SECOND_MS != log->second) {
    log_dropped(log, now);
    log->second = now / SECOND_MS;
    memset(log->lines, 0, sizeof log->lines);
  }
  return log->lines[line_class]++ < log->lines_per_s;
}

void mt_log_line (mt_log_writer_t *log, mt_log_class_t line_class,
                  mt_ms_t now, const char *event, const char *format, ...) {
  char line[LINE_BYTES];
  va_list ap;
  if (!within_budget(log, line_class, now)) {
    log->dropped++;
    return;
  }
  int n = start_line(log, line, sizeof line, now, event);
  va_start(ap, format);
  n += vsnprintf(line + n, sizeof line - (size_t)n, format, ap);
  va_end(ap);
  n = mt_min(n, LINE_BYTES - 2);
  for (int i = 0; i < n; i++)
    if ((unsigned char)line[i] < ' ') line[i] = '?';
  line[n] = '\n';
  append(log, line, (size_t)n + 1);
}

void mt_log_writer_flush (mt_log_writer_t *log) {
  if (log->used == 0) return;
  ssize_t n = write(log->fd, log->buffer, log->used);
  if (n <= 0) return;
  log->used -= (size_t)n;
  memmove(log->buffer, log->buffer + n, log->used);
}

uint64_t mt_log_writer_dropped (const mt_log_writer_t *log) {
  return log->dropped;
}
