/*
** percent_encoding.c - text of other programs within URLs and log lines
*/
#include <string.h>

#include "percent_encoding.h"

/* isalnum() depends on the locale. */
static bool is_unreserved (char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || (c != '\0' && strchr("-._~", c) != NULL);
}

bool mt_is_unreserved (const char *p, size_t n) {
  for (size_t i = 0; i < n; i++)
    if (!is_unreserved(p[i])) return false;
  return true;
}

size_t mt_percent_encode (char *out, size_t size, mt_bytes_t text) {
  static const char digits[] = "0123456789ABCDEF";
  size_t used = 0;
  for (size_t i = 0; i < text.n; i++) {
    unsigned char byte = (unsigned char)text.p[i];
    bool plain = is_unreserved(text.p[i]);
    if (used + (plain ? 1 : 3) >= size) break;
    if (plain) {
      out[used++] = text.p[i];
      continue;
    }
    out[used++] = '%';
    out[used++] = digits[byte >> 4];
    out[used++] = digits[byte & 15];
  }
  out[used] = '\0';
  return used;
}
