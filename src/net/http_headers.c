/*
** http_headers.c - the header fields of one HTTP message
*/
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "http_headers.h"
#include "mtmem.h"

#define NUMBER_DIGITS_MAX 15

static const char *const hop_by_hop_names[] = {
    "connection", "keep-alive", "proxy-connection", "transfer-encoding",
    "te",         "trailer",    "upgrade",          "content-length",
    "expect"};

static void append (mt_http_headers_t *headers, const char *p, size_t n) {
  if (headers->used + n + 1 > headers->text_cap) {
    size_t cap = mt_max(headers->text_cap * 2, (size_t)512);
    while (cap < headers->used + n + 1) cap *= 2;
    char *grown = realloc(headers->text, cap);
    if (grown == NULL) abort();
    headers->text = grown;
    headers->text_cap = cap;
  }
  memcpy(headers->text + headers->used, p, n);
  headers->used += n;
  headers->text[headers->used] = '\0';
}

static mt_http_field_t *last (mt_http_headers_t *headers) {
  return &headers->fields[headers->count - 1];
}

static void open_field (mt_http_headers_t *headers) {
  mt_http_field_t *f =
      mtV_push(headers->fields, headers->count, headers->fields_cap);
  *f = (mt_http_field_t){.name = (uint32_t)headers->used};
  headers->in_value = false;
}

void mt_http_headers_reset (mt_http_headers_t *headers) {
  headers->used = 0;
  headers->count = 0;
  headers->in_value = true;
}

void mt_http_headers_free (mt_http_headers_t *headers) {
  free(headers->text);
  free(headers->fields);
  *headers = (mt_http_headers_t){0};
}

size_t mt_http_headers_memory (const mt_http_headers_t *headers) {
  return headers->text_cap + headers->fields_cap * sizeof *headers->fields;
}

void mt_http_headers_append_name (mt_http_headers_t *headers, const char *p,
                                  size_t n) {
  if (headers->count == 0 || headers->in_value) {
    headers->used += headers->count > 0; /* keeps the terminating zero */
    open_field(headers);
  }
  append(headers, p, n);
  last(headers)->name_size += (uint32_t)n;
}

void mt_http_headers_append_value (mt_http_headers_t *headers, const char *p,
                                   size_t n) {
  if (headers->count == 0) return;
  mt_http_field_t *f = last(headers);
  if (!headers->in_value) {
    headers->used++;
    f->value = (uint32_t)headers->used;
    headers->in_value = true;
  }
  append(headers, p, n);
  f->value_size += (uint32_t)n;
}

mt_bytes_t mt_http_headers_name_at (const mt_http_headers_t *headers,
                                    size_t index) {
  const mt_http_field_t *f = &headers->fields[index];
  return (mt_bytes_t){headers->text + f->name, f->name_size};
}

mt_bytes_t mt_http_headers_value_at (const mt_http_headers_t *headers,
                                     size_t index) {
  const mt_http_field_t *f = &headers->fields[index];
  if (f->value_size == 0) return (mt_bytes_t){"", 0};
  return (mt_bytes_t){headers->text + f->value, f->value_size};
}

/* The characters of a token (RFC 9110) beside letters and digits. */
static bool is_token_mark (char c) {
  return c != '\0' && strchr("!#$%&'*+-.^_`|~", c) != NULL;
}

static bool is_token (mt_bytes_t text) {
  for (size_t i = 0; i < text.n; i++) {
    char c = text.p[i];
    bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                 (c >= '0' && c <= '9');
    if (!plain && !is_token_mark(c)) return false;
  }
  return text.n > 0;
}

/* The index of the first field whose name is none; the count: there is
   none. */
static size_t find_invalid (const mt_http_headers_t *headers) {
  size_t i = 0;
  while (i < headers->count && is_token(mt_http_headers_name_at(headers, i)))
    i++;
  return i;
}

bool mt_http_headers_are_valid (const mt_http_headers_t *headers) {
  return find_invalid(headers) == headers->count;
}

mt_bytes_t mt_http_headers_invalid_name (const mt_http_headers_t *headers) {
  size_t i = find_invalid(headers);
  if (i == headers->count) return (mt_bytes_t){"", 0};
  return mt_http_headers_name_at(headers, i);
}

bool mt_bytes_equal_nocase (mt_bytes_t a, const char *b) {
  return strlen(b) == a.n && strncasecmp(a.p, b, a.n) == 0;
}

mt_bytes_t mt_http_headers_find (const mt_http_headers_t *headers,
                                 const char *name) {
  size_t size = strlen(name);
  for (size_t i = 0; i < headers->count; i++) {
    if (headers->fields[i].name_size != size) continue;
    if (mt_bytes_equal_nocase(mt_http_headers_name_at(headers, i), name))
      return mt_http_headers_value_at(headers, i);
  }
  return (mt_bytes_t){"", 0};
}

/* True when a comma-separated list has this token, ignoring case. */
static bool list_contains (mt_bytes_t list, mt_bytes_t token) {
  const char *p = list.p, *end = list.p + list.n;
  while (p < end) {
    while (p < end && (*p == ',' || *p == ' ')) p++;
    const char *start = p;
    while (p < end && *p != ',' && *p != ' ') p++;
    if ((size_t)(p - start) == token.n && token.n > 0 &&
        strncasecmp(start, token.p, token.n) == 0)
      return true;
  }
  return false;
}

bool mt_http_headers_is_hop_by_hop (const mt_http_headers_t *headers,
                                    size_t index) {
  mt_bytes_t name = mt_http_headers_name_at(headers, index);
  for (size_t i = 0; i < mt_countof(hop_by_hop_names); i++)
    if (mt_bytes_equal_nocase(name, hop_by_hop_names[i])) return true;
  return list_contains(mt_http_headers_find(headers, "connection"), name);
}

int64_t mt_bytes_number (mt_bytes_t text) {
  if (text.n == 0 || text.n > NUMBER_DIGITS_MAX) return -1;
  int64_t number = 0;
  for (size_t i = 0; i < text.n; i++) {
    if (text.p[i] < '0' || text.p[i] > '9') return -1;
    number = number * 10 + (text.p[i] - '0');
  }
  return number;
}
