/*
** strbuf.c - a growable string buffer
*/
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dialect.h"

#define FORMAT_BYTES 512

void mt_strbuf_append (mt_strbuf_t *text, const char *p, size_t n) {
  if (text->n + n > text->cap) {
    size_t cap = mt_max(text->cap * 2, (size_t)1024);
    while (cap < text->n + n) cap *= 2;
    char *grown = realloc(text->p, cap);
    if (grown == NULL) abort();
    text->p = grown;
    text->cap = cap;
  }
  if (n > 0) memcpy(text->p + text->n, p, n);
  text->n += n;
}

void mt_strbuf_format (mt_strbuf_t *text, const char *format, ...) {
  char part[FORMAT_BYTES];
  va_list ap;
  va_start(ap, format);
  int n = vsnprintf(part, sizeof part, format, ap);
  va_end(ap);
  mt_strbuf_append(text, part, mt_min((size_t)n, sizeof part - 1));
}

void mt_strbuf_free (mt_strbuf_t *text) {
  free(text->p);
  *text = (mt_strbuf_t){0};
}
