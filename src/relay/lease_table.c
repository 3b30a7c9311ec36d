/*
** lease_table.c - exclusive leases that expire
*/
#include <stdlib.h>

#include "lease_table.h"

#define LEASES_MAX 4096

typedef struct lease_t {
  uint64_t holder;
  mt_ms_t until;
} lease_t;

void mt_lease_table_free (mt_lease_table_t *t) {
  mtV_each (&t->by_name, i) free(t->by_name.vals[i]);
  mtV_free(&t->by_name);
}

bool mt_lease_table_take (mt_lease_table_t *t, uint64_t name, uint64_t holder,
                          mt_ms_t ms, mt_ms_t now) {
  lease_t *lease = mtV_get(&t->by_name, name);
  if (lease != NULL && lease->holder != holder && now < lease->until)
    return false;
  if (lease == NULL) {
    if (name == 0 || t->by_name.used >= LEASES_MAX) return false;
    lease = mtV_new(sizeof *lease);
    mtV_put(&t->by_name, name, lease);
  }
  *lease = (lease_t){holder, now + ms};
  return true;
}

void mt_lease_table_release (mt_lease_table_t *t, uint64_t name,
                             uint64_t holder) {
  const lease_t *lease = mtV_get(&t->by_name, name);
  if (lease != NULL && lease->holder == holder)
    mt_lease_table_revoke(t, name);
}

void mt_lease_table_revoke (mt_lease_table_t *t, uint64_t name) {
  free(mtV_del(&t->by_name, name));
}

void mt_lease_table_expire (mt_lease_table_t *t, mt_ms_t now) {
  for (size_t i = t->by_name.cap; i-- > 0;) {
    if (t->by_name.keys[i] == 0) continue;
    const lease_t *lease = t->by_name.vals[i];
    if (now >= lease->until) mt_lease_table_revoke(t, t->by_name.keys[i]);
  }
}
