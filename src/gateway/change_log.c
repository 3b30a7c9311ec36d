/*
** change_log.c - the latest changes of a feed, ordered by revision
*/
#include <stdlib.h>
#include <string.h>

#include "change_log.h"

/* Changes. Holds some minutes of frequent changes in a small fleet. */
#define CAPACITY_MIN 1024
/* The oldest 1/8 of the capacity is dropped at once, so that the amortised
   cost of adding a change does not depend on the capacity. */
#define DROP_DIVISOR 8
/* Changes mostly arrive in order. One that would shift more refs than this
   leaves the order unsorted until it is read: a list arrives in the order of
   names, and inserting each entry in place would take quadratic time. */
#define SHIFTS_MAX 64

void mt_change_log_free (mt_change_log_t *log) {
  mtV_free(&log->slot_by_subject);
  free(log->entries);
  free(log->free);
  free(log->order);
}

void mt_change_log_resize (mt_change_log_t *log, size_t subjects) {
  log->max = mt_max(2 * subjects, (size_t)CAPACITY_MIN);
}

/* {== Slots ============================================================ */

static uint64_t map_key (const mt_change_t *change) {
  uint64_t name = mtV_hash(change->name, strlen(change->name));
  return mtV_mix(name, mt_change_subject(change->kind)) | 1;
}

mt_change_log_entry_t *mt_change_log_find (const mt_change_log_t *log,
                                           const mt_change_t *like) {
  size_t found = (size_t)mtV_get(&log->slot_by_subject, map_key(like));
  return found != 0 ? &log->entries[found - 1] : NULL;
}

const mt_change_t *mt_change_log_slot (const mt_change_log_t *log,
                                       size_t slot) {
  const mt_change_log_entry_t *entry = &log->entries[slot];
  return entry->serial != 0 ? &entry->change : NULL;
}

static mt_change_log_entry_t *take_slot (mt_change_log_t *log,
                                         const mt_change_t *change) {
  if (log->free_count == 0) {
    *mtV_push(log->free, log->free_count, log->free_cap) =
        (uint32_t)log->slots;
    *mtV_push(log->entries, log->slots, log->slots_cap) =
        (mt_change_log_entry_t){.serial = 0};
  }
  size_t slot = log->free[--log->free_count];
  mtV_put(&log->slot_by_subject, map_key(change), (void *)(slot + 1));
  log->count++;
  return &log->entries[slot];
}

static void free_slot (mt_change_log_t *log, uint32_t slot) {
  mt_change_log_entry_t *entry = &log->entries[slot];
  mtV_del(&log->slot_by_subject, map_key(&entry->change));
  entry->serial = 0;
  log->count--;
  *mtV_push(log->free, log->free_count, log->free_cap) = slot;
}

/* }== */

/* {== The order of revisions =========================================== */

static bool is_superseded (const mt_change_log_t *log,
                           const mt_change_log_ref_t *ref) {
  return log->entries[ref->slot].serial != ref->serial;
}

static int compare_revisions (const void *a, const void *b) {
  const mt_change_log_ref_t *x = a, *y = b;
  if (x->rev != y->rev) return x->rev < y->rev ? -1 : 1;
  return (x->serial > y->serial) - (x->serial < y->serial);
}

static void insert_ordered (mt_change_log_t *log, mt_change_log_ref_t ref) {
  mtV_push(log->order, log->order_count, log->order_cap);
  size_t at = log->order_count - 1, shifts = 0;
  bool late = false;
  while (log->sorted && !late && at > log->first &&
         log->order[at - 1].rev > ref.rev) {
    log->order[at] = log->order[at - 1];
    at--;
    late = ++shifts == SHIFTS_MAX;
  }
  log->order[at] = ref;
  if (late) log->sorted = false;
}

/* Removes superseded refs and sorts the others. */
static void compact (mt_change_log_t *log) {
  size_t kept = 0;
  for (size_t i = log->first; i < log->order_count; i++)
    if (!is_superseded(log, &log->order[i]))
      log->order[kept++] = log->order[i];
  log->first = 0;
  log->order_count = kept;
  if (!log->sorted && kept > 1)
    qsort(log->order, kept, sizeof *log->order, compare_revisions);
  log->sorted = true;
}

/* }== */

static void drop_oldest (mt_change_log_t *log) {
  size_t left = log->max - log->max / DROP_DIVISOR;
  compact(log);
  while (log->count > left) {
    const mt_change_log_ref_t *ref = &log->order[log->first++];
    log->dropped_to = mt_max(log->dropped_to, ref->rev);
    free_slot(log, ref->slot);
  }
}

mt_change_result_t mt_change_log_add (mt_change_log_t *log,
                                      const mt_change_t *change,
                                      mt_ms_t now) {
  mt_change_log_entry_t *entry = mt_change_log_find(log, change);
  if (entry != NULL && entry->change.rev == change->rev)
    return MT_CHANGE_DUPLICATE;
  if (entry != NULL && entry->change.rev > change->rev)
    return MT_CHANGE_STALE;
  if (entry == NULL && change->rev <= log->dropped_to)
    return MT_CHANGE_TOO_OLD;
  bool new_engine = entry == NULL && change->kind == MT_CHANGE_ENGINE_READY;
  if (entry == NULL) entry = take_slot(log, change);
  if (log->order_count == 0) log->sorted = true;
  *entry =
      (mt_change_log_entry_t){*change, now, false, new_engine, ++log->serial};
  insert_ordered(log, (mt_change_log_ref_t){change->rev,
                                            (uint32_t)(entry - log->entries),
                                            log->serial});
  if (log->order_count - log->first > 2 * log->count + SHIFTS_MAX)
    compact(log);
  if (log->max == 0) mt_change_log_resize(log, 0);
  if (log->count > log->max) drop_oldest(log);
  return MT_CHANGE_NEW;
}

/* {== Changes after a revision ========================================= */

/*
** Changes with the same revision are only listed together: the number of the
** first changes in the list that have other revisions than the `next` one.
*/
static size_t count_whole_revisions (const mt_change_t *list, size_t count,
                                     mt_revision_t next) {
  size_t complete = count;
  while (complete > 0 && list[complete - 1].rev == next) complete--;
  return complete;
}

/* Index of the first ref after a revision. */
static size_t find_after (const mt_change_log_t *log, mt_revision_t rev) {
  size_t low = log->first, high = log->order_count;
  while (low < high) {
    size_t middle = low + (high - low) / 2;
    if (log->order[middle].rev <= rev)
      low = middle + 1;
    else
      high = middle;
  }
  return low;
}

/* Appends the change that stands for all new engines. */
static size_t add_unnamed (mt_change_t *to, size_t count, mt_revision_t rev) {
  if (count > 0) rev = mt_max(rev, to[count - 1].rev);
  to[count] = mt_change_make(MT_CHANGE_ENGINE_READY, MT_CHANGE_UNNAMED, rev);
  return count + 1;
}

size_t mt_change_log_since (mt_change_log_t *log, mt_revision_t rev,
                            mt_ms_t now, bool omit_new, mt_change_t *to,
                            size_t max, mt_revision_t *reach) {
  size_t count = 0, space = max;
  mt_revision_t omitted = 0; /* revision of the last engine left out */
  if (!log->sorted) compact(log);
  if (omit_new && max > 0) max--; /* room for MT_CHANGE_UNNAMED */
  for (size_t i = find_after(log, rev); i < log->order_count; i++) {
    const mt_change_log_ref_t *ref = &log->order[i];
    if (is_superseded(log, ref)) continue;
    const mt_change_log_entry_t *entry = &log->entries[ref->slot];
    if (omit_new && entry->new_engine) {
      omitted = ref->rev;
      continue;
    }
    if (count == max) {
      size_t complete = count_whole_revisions(to, count, entry->change.rev);
      *reach = complete > 0 ? to[complete - 1].rev : rev;
      count = complete > 0 ? complete : count;
      break;
    }
    to[count] = entry->change;
    to[count++].age += now - entry->received_at;
  }
  if (omitted == 0) return count;
  if (count < space) return add_unnamed(to, count, omitted);
  *reach = rev; /* no room for MT_CHANGE_UNNAMED */
  return count;
}

/* }== */
