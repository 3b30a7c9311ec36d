/*
** percent_encoding.h - text of other programs within URLs and log lines
*/
#ifndef percent_encoding_h
#define percent_encoding_h

#include "mtobject.h"

/* Size of the longest encoding of `n` bytes, with the terminating zero. */
#define MT_PERCENT_ENCODED_SIZE(n) (3 * (n) + 1)

/* True for text of the unreserved characters of RFC 3986 alone, which is its
   own encoding. */
bool mt_is_unreserved (const char *p, size_t n);

/*
** Writes the text with all bytes but unreserved characters as "%XX", and a
** terminating zero; text that does not fit is cut before an escape. Returns
** the number of bytes written.
*/
size_t mt_percent_encode (char *out, size_t size, mt_bytes_t text);

#endif
