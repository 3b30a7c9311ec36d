/*
** mtobject.h - the basic types that every part uses
*/
#ifndef mtobject_h
#define mtobject_h

#include <assert.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mtlimits.h"

/* A name's 32-bit hash: the same on every node, never zero. */
typedef uint32_t mt_id_t;

/* Milliseconds of the monotonic clock, as the loop reports it; of a gateway,
   with what its machine slept (boot_clock.h). */
typedef uint64_t mt_ms_t;

/* Service in units: tokens times MT_UNIT, divided by the share. */
typedef int64_t mt_units_t;

typedef char mt_name_t[MT_NAME_MAX + 1];

/* A borrowed run of bytes; the owner is named where one is passed. */
typedef struct mt_bytes_t {
  const char *p;
  size_t n;
} mt_bytes_t;

/* A result with a place and a reason; `reason` empty means success. */
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
