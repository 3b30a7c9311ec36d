/*
** mtlog.c - log lines with syslog levels, on standard error
*/
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "mtlog.h"
#include "mtobject.h"

#define LINE_MAX_BYTES 512 /* longer texts are truncated */

static const char *const components[] = {"router", "peer",   "store",
                                         "config", "target", "caller",
                                         "share",  "policy"};

/* Process-wide: the log output is not part of a router's state. */
static struct {
  char node[MT_NAME_MAX + 1];
  mt_level_t level;
} sink = {"-", MT_INFO};

void mtL_open (const char *node, mt_level_t level) {
  snprintf(sink.node, sizeof sink.node, "%s", node);
  sink.level = level;
}

void mtL_log (mt_level_t level, mt_component_t component, const char *fmt,
              ...) {
  if (level > sink.level) return;
  char line[LINE_MAX_BYTES];
  va_list ap;
  va_start(ap, fmt);
  vsnprintf(line, sizeof line, fmt, ap);
  va_end(ap);
  for (char *p = line; *p; p++)
    if ((unsigned char)*p < ' ') *p = ' ';
  fprintf(stderr, "<%d>martentiller[%s]: %s: %s\n", (int)level, sink.node,
          components[component], line);
}
