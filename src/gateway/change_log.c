/*
** change_log.c - the last changes of a feed, by revision
*/
#include <stdlib.h>
#include <string.h>

#include "change_log.h"
#include "mtmem.h"

/* Some minutes of an eager day; beyond it the oldest are dropped. */
#define ITEMS_MAX 1024

void mt_change_log_free (mt_change_log_t *log) {
  free(log->items);
}

mt_change_log_item_t *mt_change_log_find (const mt_change_log_t *log,
                                          const mt_change_t *like) {
  for (size_t i = 0; i < log->count; i++)
    if (mt_change_same_subject(&log->items[i].change, like))
      return &log->items[i];
  return NULL;
}

static void take_out (mt_change_log_t *log, mt_change_log_item_t *item) {
  size_t at = (size_t)(item - log->items);
  log->count--;
  memmove(item, item + 1, (log->count - at) * sizeof *item);
}

static void drop_oldest (mt_change_log_t *log) {
  log->from = mt_max(log->from, log->items[0].change.rev);
  take_out(log, &log->items[0]);
}

/* Changes come nearly in order, so the place is near the end. */
static void put_in (mt_change_log_t *log, const mt_change_log_item_t *item) {
  mtV_push(log->items, log->count, log->cap);
  size_t at = log->count - 1;
  for (; at > 0 && log->items[at - 1].change.rev > item->change.rev; at--)
    log->items[at] = log->items[at - 1];
  log->items[at] = *item;
}

mt_change_news_t mt_change_log_add (mt_change_log_t *log,
                                    const mt_change_t *change, mt_ms_t now) {
  const mt_change_log_item_t item = {*change, now, false};
  mt_change_log_item_t *known = mt_change_log_find(log, change);
  if (known != NULL && known->change.rev == change->rev)
    return MT_CHANGE_SAME;
  if (known != NULL && known->change.rev > change->rev)
    return MT_CHANGE_STALE;
  if (known != NULL) take_out(log, known);
  put_in(log, &item);
  if (log->count > ITEMS_MAX) drop_oldest(log);
  return MT_CHANGE_NEW;
}

/* Of changes with the same revision none is told without the others. */
static size_t whole_revisions (const mt_change_t *list, size_t count,
                               int64_t next) {
  size_t whole = count;
  while (whole > 0 && list[whole - 1].rev == next) whole--;
  return whole;
}

size_t mt_change_log_since (const mt_change_log_t *log, int64_t rev,
                            mt_ms_t now, mt_change_t *to, size_t most,
                            int64_t *reach) {
  size_t count = 0;
  for (size_t i = 0; i < log->count; i++) {
    const mt_change_log_item_t *item = &log->items[i];
    if (item->change.rev <= rev) continue;
    if (count == most) {
      size_t whole = whole_revisions(to, count, item->change.rev);
      *reach = whole > 0 ? to[whole - 1].rev : rev;
      return whole > 0 ? whole : count;
    }
    to[count] = item->change;
    to[count++].age += now - item->heard;
  }
  return count;
}
