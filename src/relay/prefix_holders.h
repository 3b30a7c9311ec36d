/*
** prefix_holders.h - engines other than the home that cache a shared prefix
**
** A shared prefix segment is assigned to a home engine by a hash. When the
** home is overloaded, or in another failure domain, the segment is used at
** another engine, which other routers cannot know. So the router that placed
** the request reports that engine to the owner of the home, which is queried
** for every request with that segment. An entry may be missing or wrong; the
** segment is then prefilled again.
*/
#ifndef prefix_holders_h
#define prefix_holders_h

#include "mtmem.h"

typedef struct mt_prefix_holders_t {
  mt_map_t by_segment; /* segment -> holder, owned */
  mt_ms_t next_sweep;
} mt_prefix_holders_t;

void mt_prefix_holders_free (mt_prefix_holders_t *holders);

/* Records that the engine has used the segment and all before it. */
void mt_prefix_holders_set (mt_prefix_holders_t *holders, uint64_t segment,
                            uint64_t engine, mt_ms_t now);

/* The engine that used it last; 0: unknown. */
uint64_t mt_prefix_holders_find (const mt_prefix_holders_t *holders,
                                 uint64_t segment);

/* Removes an engine, whose cache is lost, from all entries. */
void mt_prefix_holders_remove_engine (mt_prefix_holders_t *holders,
                                      uint64_t engine);

/* Removes old entries; call it several times a second. */
void mt_prefix_holders_expire (mt_prefix_holders_t *holders, mt_ms_t now);

#endif
