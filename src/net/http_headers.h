/*
** http_headers.h - the header fields of one HTTP message
*/
#ifndef http_headers_h
#define http_headers_h

#include "mtobject.h"

/* One field: offsets and sizes of zero-terminated strings in the list's
   buffer. */
typedef struct mt_http_field_t {
  uint32_t name, name_size;
  uint32_t value, value_size;
} mt_http_field_t;

/* Fields in the order of arrival. An all-zero list is empty and valid. */
typedef struct mt_http_headers_t {
  char *text;
  size_t used, text_cap;
  mt_http_field_t *fields;
  size_t count, fields_cap;
  bool in_value; /* the last piece was of a value, not of a name */
} mt_http_headers_t;

/* Empties the list and keeps its memory. */
void mt_http_headers_reset (mt_http_headers_t *headers);
void mt_http_headers_free (mt_http_headers_t *headers);
/* Bytes of memory that the list has. */
size_t mt_http_headers_memory (const mt_http_headers_t *headers);

/* Append a piece of a name or value, as an incremental parser reports it. */
void mt_http_headers_append_name (mt_http_headers_t *headers, const char *p,
                                  size_t n);
void mt_http_headers_append_value (mt_http_headers_t *headers, const char *p,
                                   size_t n);

/*
** True if every field's name is one: http-parser lets a blank pass in it, so
** that "Content-Length : 5" is read by some recipients and not by others.
*/
bool mt_http_headers_are_valid (const mt_http_headers_t *headers);
/* The name of the first field for which that is not so; empty: none. */
mt_bytes_t mt_http_headers_invalid_name (const mt_http_headers_t *headers);

/* The value of the first field with this name, ignoring case; its `n` is 0 if
   there is none. */
mt_bytes_t mt_http_headers_find (const mt_http_headers_t *headers,
                                 const char *name);

/* Name and value of the field with this index. */
mt_bytes_t mt_http_headers_name_at (const mt_http_headers_t *headers,
                                    size_t index);
mt_bytes_t mt_http_headers_value_at (const mt_http_headers_t *headers,
                                     size_t index);

/*
** True for a hop-by-hop field, which is not forwarded: the fixed ones and
** those named by the message's Connection field.
*/
bool mt_http_headers_is_hop_by_hop (const mt_http_headers_t *headers,
                                    size_t index);

/* True when both are the same text, ignoring case. */
bool mt_bytes_equal_nocase (mt_bytes_t a, const char *b);

/* A whole number in decimal digits; -1 if the text is not one or has more
   than 15 digits. */
int64_t mt_bytes_number (mt_bytes_t text);

#endif
