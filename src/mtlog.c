/*
** mtlog.c - syslog-style lines to standard error
*/
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "mtlog.h"
#include "mtobject.h"

#define LINE_MAX_BYTES 512

static const char *const parts[] = {"router", "peer",   "store", "config",
                                    "target", "caller", "share", "policy"};

/* The one process-wide setting: where lines go is not state of the router. */
static struct {
  char node[MT_NAME_MAX + 1];
  mt_level_t level;
} sink = {"-", MT_INFO};

void mtL_open (const char *node, mt_level_t level) {
  snprintf(sink.node, sizeof sink.node, "%s", node);
  sink.level = level;
}

void mtL_log (mt_level_t level, mt_part_t part, const char *fmt, ...) {
  if (level > sink.level) return;
  char line[LINE_MAX_BYTES];
  va_list ap;
  va_start(ap, fmt);
  vsnprintf(line, sizeof line, fmt, ap);
  va_end(ap);
  for (char *p = line; *p; p++)
    if ((unsigned char)*p < ' ') *p = ' ';
  fprintf(stderr, "<%d>martentiller[%s]: %s: %s\n", (int)level, sink.node,
          parts[part], line);
}
