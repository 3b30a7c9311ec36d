/*
** request_digest.h - what a request is, whoever sends it and wherever
*/
#ifndef request_digest_h
#define request_digest_h

#include "mtobject.h"

/* What a caller asked for, borrowed. */
typedef struct mt_request_text_t {
  mt_bytes_t method, host;
  mt_bytes_t target; /* path and query */
  mt_bytes_t body;
} mt_request_text_t;

/*
** The same at every router for the same text, never 0. It is the first 64
** bits of a SHA-256, so nobody can make another request that has it.
*/
uint64_t mt_request_digest (const mt_request_text_t *text);

#endif
