/*
** mtobject.h - basic types and macros of all modules
*/
#ifndef mtobject_h
#define mtobject_h

#include <assert.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mtlimits.h"

/* 32-bit hash of a name: the same on every node, never 0. */
typedef uint32_t mt_id_t;

/* Milliseconds of the event loop's monotonic clock; in a gateway, the time
   that its box was suspended is included (boot_clock.h). */
typedef uint64_t mt_ms_t;

/* Weighted service: cost (tokens times the pool's weights) times
   MT_UNIT_SCALE, divided by the workspace's share. */
typedef int64_t mt_units_t;

typedef char mt_name_t[MT_NAME_MAX + 1];

/* Bytes owned by another object; they need not end with NUL. */
typedef struct mt_bytes_t {
  const char *p;
  size_t n;
} mt_bytes_t;

/* An error: where in the input and why; an empty `reason` means success. */
typedef struct mt_fault_t {
  char where[128];
  char reason[160];
} mt_fault_t;

#define mt_assert(c) assert(c)
#define MT_DIGEST_HEX 64 /* characters of a SHA-256 digest */

#define mt_countof(a) (sizeof(a) / sizeof((a)[0]))
#define mt_min(a, b) ((a) < (b) ? (a) : (b))
#define mt_max(a, b) ((a) > (b) ? (a) : (b))

#endif
