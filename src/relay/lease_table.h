/*
** lease_table.h - who may use what nobody else may use meanwhile
**
** The owner of a name hands its lease to one holder at a time. A holder that
** says nothing any more loses it by time.
*/
#ifndef lease_table_h
#define lease_table_h

#include "mtmem.h"

typedef struct mt_lease_table_t {
  mt_map_t by_name; /* owned */
} mt_lease_table_t;

void mt_lease_table_free (mt_lease_table_t *table);

/* True when the holder has it now, for `ms` at most; asked again it has it
   anew. False when another has it, or too many are handed out. */
bool mt_lease_table_take (mt_lease_table_t *table, uint64_t name,
                          uint64_t holder, mt_ms_t ms, mt_ms_t now);

/* Nothing where another has it. */
void mt_lease_table_release (mt_lease_table_t *table, uint64_t name,
                             uint64_t holder);

/* Whoever has it loses it. */
void mt_lease_table_revoke (mt_lease_table_t *table, uint64_t name);

void mt_lease_table_expire (mt_lease_table_t *table, mt_ms_t now);

#endif
