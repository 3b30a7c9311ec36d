/*
** request_digest.h - identifies equal requests across the fleet
*/
#ifndef request_digest_h
#define request_digest_h

#include "mtobject.h"

/* The parts of a request that identify it, borrowed from the caller. */
typedef struct mt_request_text_t {
  mt_bytes_t method, host;
  mt_bytes_t target; /* path and query */
  mt_bytes_t body;
} mt_request_text_t;

/*
** Equal for equal requests at all routers; never 0. The first 64 bits of a
** SHA-256, so it is not feasible to make another request for a given digest.
*/
uint64_t mt_request_digest (const mt_request_text_t *text);

#endif
