/*
** change_log.c - the last changes of a feed, by revision
*/
#include <stdlib.h>
#include <string.h>

#include "change_log.h"

/* Some minutes of an eager day, where little is there. */
#define KEPT_LEAST 1024
/* Of what is kept: dropped together, so that each change costs the same
   however many are kept. */
#define DROP_PART 8
/* Changes come nearly in order. One that belongs further back waits until the
   order is read: a list is in the order of names, and putting each of its
   entries into its place at once takes the square of their number. */
#define SHIFT_MOST 64

void mt_change_log_free (mt_change_log_t *log) {
  mtV_free(&log->by_subject);
  free(log->items);
  free(log->free);
  free(log->order);
}

void mt_change_log_expect (mt_change_log_t *log, size_t things) {
  log->most = mt_max(2 * things, (size_t)KEPT_LEAST);
}

/* {== Slots ============================================================ */

static uint64_t subject_key (const mt_change_t *change) {
  uint64_t name = mtV_hash(change->name, strlen(change->name));
  return mtV_mix(name, mt_change_subject(change->kind)) | 1;
}

mt_change_log_item_t *mt_change_log_find (const mt_change_log_t *log,
                                          const mt_change_t *like) {
  size_t place = (size_t)mtV_get(&log->by_subject, subject_key(like));
  return place != 0 ? &log->items[place - 1] : NULL;
}

const mt_change_t *mt_change_log_at (const mt_change_log_t *log,
                                     size_t slot) {
  const mt_change_log_item_t *item = &log->items[slot];
  return item->serial != 0 ? &item->change : NULL;
}

static mt_change_log_item_t *take_slot (mt_change_log_t *log,
                                        const mt_change_t *change) {
  if (log->free_count == 0) {
    *mtV_push(log->free, log->free_count, log->free_cap) =
        (uint32_t)log->slots;
    *mtV_push(log->items, log->slots, log->slots_cap) =
        (mt_change_log_item_t){.serial = 0};
  }
  size_t slot = log->free[--log->free_count];
  mtV_put(&log->by_subject, subject_key(change), (void *)(slot + 1));
  log->count++;
  return &log->items[slot];
}

static void free_slot (mt_change_log_t *log, uint32_t slot) {
  mt_change_log_item_t *item = &log->items[slot];
  mtV_del(&log->by_subject, subject_key(&item->change));
  item->serial = 0;
  log->count--;
  *mtV_push(log->free, log->free_count, log->free_cap) = slot;
}

/* }== */

/* {== The order of revisions =========================================== */

static bool is_over (const mt_change_log_t *log,
                     const mt_change_log_place_t *place) {
  return log->items[place->slot].serial != place->serial;
}

static int by_revision (const void *a, const void *b) {
  const mt_change_log_place_t *x = a, *y = b;
  if (x->rev != y->rev) return x->rev < y->rev ? -1 : 1;
  return (x->serial > y->serial) - (x->serial < y->serial);
}

static void put_in_order (mt_change_log_t *log, mt_change_log_place_t place) {
  mtV_push(log->order, log->order_count, log->order_cap);
  size_t at = log->order_count - 1, shifts = 0;
  bool late = false;
  while (log->sorted && !late && at > log->first &&
         log->order[at - 1].rev > place.rev) {
    log->order[at] = log->order[at - 1];
    at--;
    late = ++shifts == SHIFT_MOST;
  }
  log->order[at] = place;
  if (late) log->sorted = false;
}

/* Leaves out what is over, and sorts the rest. */
static void sort (mt_change_log_t *log) {
  size_t kept = 0;
  for (size_t i = log->first; i < log->order_count; i++)
    if (!is_over(log, &log->order[i])) log->order[kept++] = log->order[i];
  log->first = 0;
  log->order_count = kept;
  if (!log->sorted && kept > 1)
    qsort(log->order, kept, sizeof *log->order, by_revision);
  log->sorted = true;
}

/* }== */

static void drop_oldest (mt_change_log_t *log) {
  size_t left = log->most - log->most / DROP_PART;
  sort(log);
  while (log->count > left) {
    const mt_change_log_place_t *place = &log->order[log->first++];
    log->from = mt_max(log->from, place->rev);
    free_slot(log, place->slot);
  }
}

mt_change_news_t mt_change_log_add (mt_change_log_t *log,
                                    const mt_change_t *change, mt_ms_t now) {
  mt_change_log_item_t *item = mt_change_log_find(log, change);
  if (item != NULL && item->change.rev == change->rev) return MT_CHANGE_SAME;
  if (item != NULL && item->change.rev > change->rev) return MT_CHANGE_STALE;
  if (item == NULL && change->rev <= log->from) return MT_CHANGE_OLD;
  bool begins = item == NULL && change->kind == MT_CHANGE_ENGINE_READY;
  if (item == NULL) item = take_slot(log, change);
  if (log->order_count == 0) log->sorted = true;
  *item = (mt_change_log_item_t){*change, now, false, begins, ++log->serial};
  put_in_order(log, (mt_change_log_place_t){change->rev,
                                            (uint32_t)(item - log->items),
                                            log->serial});
  if (log->order_count - log->first > 2 * log->count + SHIFT_MOST) sort(log);
  if (log->most == 0) mt_change_log_expect(log, 0);
  if (log->count > log->most) drop_oldest(log);
  return MT_CHANGE_NEW;
}

/* {== What came after a revision ======================================= */

/* Of changes with the same revision none is told without the others. */
static size_t whole_revisions (const mt_change_t *list, size_t count,
                               mt_revision_t next) {
  size_t whole = count;
  while (whole > 0 && list[whole - 1].rev == next) whole--;
  return whole;
}

/* The first place in the order that is behind a revision. */
static size_t find_behind (const mt_change_log_t *log, mt_revision_t rev) {
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

/* Adds the change that stands for engines that have come, as the last. */
static size_t add_several (mt_change_t *to, size_t count, mt_revision_t rev) {
  if (count > 0) rev = mt_max(rev, to[count - 1].rev);
  to[count] = mt_change_named(MT_CHANGE_ENGINE_READY, MT_CHANGE_SEVERAL, rev);
  return count + 1;
}

size_t mt_change_log_since (mt_change_log_t *log, mt_revision_t rev,
                            mt_ms_t now, bool brief, mt_change_t *to,
                            size_t most, mt_revision_t *reach) {
  size_t count = 0, room = most;
  mt_revision_t several = 0; /* the last of them that was left out */
  if (!log->sorted) sort(log);
  if (brief && most > 0) most--; /* kept for MT_CHANGE_SEVERAL */
  for (size_t i = find_behind(log, rev); i < log->order_count; i++) {
    const mt_change_log_place_t *place = &log->order[i];
    if (is_over(log, place)) continue;
    const mt_change_log_item_t *item = &log->items[place->slot];
    if (brief && item->begins) {
      several = place->rev;
      continue;
    }
    if (count == most) {
      size_t whole = whole_revisions(to, count, item->change.rev);
      *reach = whole > 0 ? to[whole - 1].rev : rev;
      count = whole > 0 ? whole : count;
      break;
    }
    to[count] = item->change;
    to[count++].age += now - item->heard;
  }
  if (several == 0) return count;
  if (count < room) return add_several(to, count, several);
  *reach = rev; /* there is no room to say that more have come */
  return count;
}

/* }== */
