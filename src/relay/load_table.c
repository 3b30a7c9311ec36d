/*
** load_table.c - what every router has at the engines this router keeps
*/
#include <stdlib.h>

#include "load_table.h"

#define ROWS_MAX 1024     /* of one engine */
#define ENGINES_MAX 16384 /* datagrams come from anybody, and name any */

/* The row of a router at an engine, made if it is new; NULL: too many. */
static mt_load_row_t *find_or_add_row (mt_load_table_t *book, uint64_t engine,
                                       uint64_t router, bool *is_new) {
  mt_load_row_t *first = mtV_get(&book->engines, engine);
  size_t count = 0;
  *is_new = false;
  for (mt_load_row_t *row = first; row != NULL; row = row->next, count++)
    if (row->router == router) return row;
  if (count >= ROWS_MAX) return NULL;
  if (first == NULL && book->engines.used >= ENGINES_MAX) return NULL;
  mt_load_row_t *row = mtV_new(sizeof *row);
  row->next = first;
  mtV_put(&book->engines, engine, row);
  *is_new = true;
  return row;
}

int64_t mt_load_table_set (mt_load_table_t *book, uint64_t engine,
                           const mt_load_row_t *told) {
  bool is_new;
  mt_load_row_t *row = find_or_add_row(book, engine, told->router, &is_new);
  if (row == NULL) return 0;
  int64_t since = is_new ? 0 : told->tokens_processed - row->tokens_processed;
  mt_load_row_t *next = row->next;
  *row = *told;
  row->next = next;
  return mt_max(since, 0);
}

mt_engine_load_t mt_load_table_sum (const mt_load_table_t *book,
                                    uint64_t engine, uint64_t but_router,
                                    mt_ms_t now) {
  mt_engine_load_t sum = {0};
  const mt_load_row_t *row = mtV_get(&book->engines, engine);
  for (; row != NULL; row = row->next) {
    if (row->router == but_router || row->valid_until <= now) continue;
    sum.pending_prefill += row->load.pending_prefill;
    sum.held += row->load.held;
    sum.running += row->load.running;
  }
  return sum;
}

/* Takes the invalid rows out of a list; returns its new first row. */
static mt_load_row_t *remove_expired (mt_load_row_t *row, mt_ms_t now) {
  mt_load_row_t *kept = NULL;
  while (row != NULL) {
    mt_load_row_t *next = row->next;
    if (row->valid_until > now) {
      row->next = kept;
      kept = row;
    } else {
      free(row);
    }
    row = next;
  }
  return kept;
}

void mt_load_table_remove (mt_load_table_t *book, uint64_t engine) {
  remove_expired(mtV_del(&book->engines, engine), UINT64_MAX);
}

void mt_load_table_expire (mt_load_table_t *book, mt_ms_t now) {
  for (size_t i = book->engines.cap; i-- > 0;) {
    uint64_t engine = book->engines.keys[i];
    if (engine == 0) continue;
    mt_load_row_t *kept = remove_expired(book->engines.vals[i], now);
    book->engines.vals[i] = kept;
    if (kept == NULL) mtV_del(&book->engines, engine);
  }
}

void mt_load_table_free (mt_load_table_t *book) {
  mtV_each (&book->engines, i)
    remove_expired(book->engines.vals[i], UINT64_MAX);
  mtV_free(&book->engines);
}
