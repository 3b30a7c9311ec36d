/*
** memory_budget.c - a bound for the memory that callers make a process hold
*/
#include <sys/resource.h>
#include <sys/sysinfo.h>

#include "memory_budget.h"

#define LIMIT_FRACTION 0.45 /* of the box */
#define SMALL_FRACTION 16   /* 1/16 of the budget is left to small requests */
#define SHARE_FRACTION 8    /* of what is left, one may hold 1/8 */
#define PROGRESS_FRACTION 8 /* growth by 1/8 is progress */

static size_t lower (size_t memory, int resource) {
  struct rlimit limit;
  if (getrlimit(resource, &limit) != 0) return memory;
  return (size_t)mt_min((rlim_t)memory, limit.rlim_cur);
}

size_t mt_memory_of_box (void) {
  struct sysinfo info;
  size_t memory = SIZE_MAX;
  if (sysinfo(&info) == 0) memory = (size_t)info.totalram * info.mem_unit;
  return lower(lower(memory, RLIMIT_AS), RLIMIT_DATA);
}

size_t mt_memory_default_limit (size_t box) {
  return (size_t)(LIMIT_FRACTION * (double)box);
}

size_t mt_memory_held (const mt_memory_budget_t *b) {
  size_t total = 0;
  for (int i = 0; i < MT_MEMORY_KINDS; i++) total += b->held[i];
  return total;
}

size_t mt_memory_left (const mt_memory_budget_t *b) {
  size_t held = mt_memory_held(b);
  return held < b->limit ? b->limit - held : 0;
}

size_t mt_memory_left_for_large (const mt_memory_budget_t *b) {
  size_t left = mt_memory_left(b), small = b->limit / SMALL_FRACTION;
  return left > small ? left - small : 0;
}

void mt_memory_set (mt_memory_budget_t *b, mt_memory_kind_t kind, size_t *own,
                    size_t now) {
  b->held[kind] += now - *own;
  *own = now;
}

size_t mt_memory_share (const mt_memory_budget_t *b, size_t min, size_t max) {
  return mt_min(mt_max(mt_memory_left(b) / SHARE_FRACTION, min), max);
}

static void append (mt_memory_budget_t *b, mt_memory_holder_t *h) {
  h->prev = b->last;
  h->next = NULL;
  if (h->prev)
    h->prev->next = h;
  else
    b->first = h;
  b->last = h;
  h->listed = true;
}

void mt_memory_begin (mt_memory_budget_t *b, mt_memory_holder_t *h,
                      mt_ms_t now) {
  mt_memory_end(b, h);
  h->progress = 0;
  h->progressed = now;
  append(b, h);
}

void mt_memory_end (mt_memory_budget_t *b, mt_memory_holder_t *h) {
  if (!h->listed) return;
  if (h->prev)
    h->prev->next = h->next;
  else
    b->first = h->next;
  if (h->next)
    h->next->prev = h->prev;
  else
    b->last = h->prev;
  h->listed = false;
}

void mt_memory_excuse (mt_memory_budget_t *b, mt_memory_holder_t *h,
                       mt_ms_t now) {
  if (!h->listed) return;
  mt_memory_end(b, h);
  h->progressed = now;
  append(b, h);
}

void mt_memory_progress (mt_memory_budget_t *b, mt_memory_holder_t *h,
                         size_t received, mt_ms_t now) {
  if (received <= h->progress + h->progress / PROGRESS_FRACTION) return;
  h->progress = received;
  mt_memory_excuse(b, h, now);
}

const char *mt_memory_kind_name (mt_memory_kind_t kind) {
  static const char *const names[MT_MEMORY_KINDS] = {
      [MT_MEMORY_REQUESTS] = "requests",
      [MT_MEMORY_RESPONSES] = "responses",
      [MT_MEMORY_BUFFERED] = "buffered",
      [MT_MEMORY_UNREAD] = "unread"};
  return names[kind];
}
