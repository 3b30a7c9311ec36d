/*
** early_leaves.c - leave notices that come before their engine is listed
*/
#include "early_leaves.h"

static mt_early_leave_t *find (mt_early_leaves_t *l, uint64_t engine) {
  for (size_t i = 0; i < l->count; i++)
    if (l->list[i].engine == engine) return &l->list[i];
  return NULL;
}

static mt_early_leave_t *oldest (mt_early_leaves_t *l) {
  mt_early_leave_t *old = &l->list[0];
  for (size_t i = 1; i < l->count; i++)
    if (l->list[i].leave.said < old->leave.said) old = &l->list[i];
  return old;
}

static bool is_newer (const mt_engine_leave_t *a,
                      const mt_engine_leave_t *b) {
  if (a->born != b->born) return a->born > b->born;
  return a->said > b->said;
}

void mt_early_leaves_note (mt_early_leaves_t *l, uint64_t engine,
                           const mt_engine_leave_t *leave) {
  mt_early_leave_t *known = find(l, engine);
  if (known != NULL && !is_newer(leave, &known->leave)) return;
  if (known == NULL)
    known = l->count < MT_EARLY_LEAVES_MAX ? &l->list[l->count++] : oldest(l);
  *known = (mt_early_leave_t){engine, *leave};
}

bool mt_early_leaves_take (mt_early_leaves_t *l, uint64_t engine,
                           mt_engine_leave_t *leave) {
  mt_early_leave_t *known = find(l, engine);
  if (known == NULL) return false;
  *leave = known->leave;
  *known = l->list[--l->count];
  return true;
}
