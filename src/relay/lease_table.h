/*
** lease_table.h - exclusive leases that expire
**
** The owner of a name grants its lease to one holder at a time. A lease that
** is neither released nor renewed expires.
*/
#ifndef lease_table_h
#define lease_table_h

#include "mtmem.h"

typedef struct mt_lease_table_t {
  mt_map_t by_name; /* name -> lease, owned */
} mt_lease_table_t;

void mt_lease_table_free (mt_lease_table_t *table);

/* Grants or renews the lease for `ms`. False if another holder has it, or if
   the table is full. */
bool mt_lease_table_take (mt_lease_table_t *table, uint64_t name,
                          uint64_t holder, mt_ms_t ms, mt_ms_t now);

/* Ends the holder's lease; a lease of another holder stays. */
void mt_lease_table_release (mt_lease_table_t *table, uint64_t name,
                             uint64_t holder);

/* Ends the lease, whoever holds it. */
void mt_lease_table_revoke (mt_lease_table_t *table, uint64_t name);

/* Removes the leases that have expired. */
void mt_lease_table_expire (mt_lease_table_t *table, mt_ms_t now);

#endif
