/*
** strbuf.c - a growable string buffer
*/
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dialect.h"

#define FORMAT_BYTES 512

void mt_strbuf_append (mt_strbuf_t *buf, const char *p, size_t n) {
  if (buf->n + n > buf->cap) {
    size_t cap = mt_max(buf->cap * 2, (size_t)1024);
    while (cap < buf->n + n) cap *= 2;
    char *grown = realloc(buf->p, cap);
    if (grown == NULL) abort();
    buf->p = grown;
    buf->cap = cap;
  }
  if (n > 0) memcpy(buf->p + buf->n, p, n);
  buf->n += n;
}

void mt_strbuf_format (mt_strbuf_t *buf, const char *format, ...) {
  char part[FORMAT_BYTES];
  va_list ap;
  va_start(ap, format);
  int n = vsnprintf(part, sizeof part, format, ap);
  va_end(ap);
  mt_strbuf_append(buf, part, mt_min((size_t)n, sizeof part - 1));
}

void mt_strbuf_free (mt_strbuf_t *buf) {
  free(buf->p);
  *buf = (mt_strbuf_t){0};
}
