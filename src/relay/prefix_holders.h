/*
** prefix_holders.h - where shared parts of prompts were read away from home
**
** A part belongs at its home engine, but when that has too much to do it is
** read elsewhere, and no other router knows where. So whoever sends it there
** tells the owner of the home, which is asked for every request with that
** part. What is noted here may be lost or wrong: then it is read again.
*/
#ifndef prefix_holders_h
#define prefix_holders_h

#include "mtmem.h"

typedef struct mt_prefix_holders_t {
  mt_map_t by_segment; /* owned */
  mt_ms_t next_sweep;
} mt_prefix_holders_t;

void mt_prefix_holders_free (mt_prefix_holders_t *holders);

/* The engine has read the part, and all that come before it. */
void mt_prefix_holders_set (mt_prefix_holders_t *holders, uint64_t part,
                            uint64_t engine, mt_ms_t now);

/* The engine that read it last; 0: not known. */
uint64_t mt_prefix_holders_find (const mt_prefix_holders_t *holders,
                                 uint64_t part);

/* The engine holds nothing any more. */
void mt_prefix_holders_remove_engine (mt_prefix_holders_t *holders,
                                      uint64_t engine);

/* Forgets what was noted long ago; some times a second. */
void mt_prefix_holders_expire (mt_prefix_holders_t *holders, mt_ms_t now);

#endif
