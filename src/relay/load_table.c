/*
** load_table.c - load of every router at the engines that this router owns
*/
#include <stdlib.h>

#include "load_table.h"

#define ROWS_MAX 1024     /* of one engine */
#define ENGINES_MAX 16384 /* forged datagrams may name any engine */

/* The row of a router at an engine, added if it is new; NULL at a limit. */
static mt_load_row_t *find_or_add_row (mt_load_table_t *table,
                                       uint64_t engine, uint64_t router,
                                       bool *is_new) {
  mt_load_row_t *first = mtV_get(&table->engines, engine);
  size_t count = 0;
  *is_new = false;
  for (mt_load_row_t *row = first; row != NULL; row = row->next, count++)
    if (row->router == router) return row;
  if (count >= ROWS_MAX) return NULL;
  if (first == NULL && table->engines.used >= ENGINES_MAX) return NULL;
  mt_load_row_t *row = mtV_new(sizeof *row);
  row->next = first;
  mtV_put(&table->engines, engine, row);
  *is_new = true;
  return row;
}

int64_t mt_load_table_set (mt_load_table_t *table, uint64_t engine,
                           const mt_load_row_t *report) {
  bool is_new;
  mt_load_row_t *row =
      find_or_add_row(table, engine, report->router, &is_new);
  if (row == NULL) return 0;
  int64_t processed =
      is_new ? 0 : report->tokens_processed - row->tokens_processed;
  mt_load_row_t *next = row->next;
  *row = *report;
  row->next = next;
  return mt_max(processed, 0);
}

void mt_load_table_withdraw (mt_load_table_t *table, uint64_t engine,
                             uint64_t router, int64_t tokens) {
  mt_load_row_t *row = mtV_get(&table->engines, engine);
  while (row != NULL && row->router != router) row = row->next;
  if (row != NULL) row->tokens_processed -= tokens;
}

const mt_load_row_t *mt_load_table_find (const mt_load_table_t *table,
                                         uint64_t engine, uint64_t router) {
  const mt_load_row_t *row = mtV_get(&table->engines, engine);
  while (row != NULL && row->router != router) row = row->next;
  return row;
}

mt_engine_load_t mt_load_table_sum (const mt_load_table_t *table,
                                    uint64_t engine, uint64_t except,
                                    mt_ms_t now) {
  mt_engine_load_t sum = {0};
  const mt_load_row_t *row = mtV_get(&table->engines, engine);
  for (; row != NULL; row = row->next) {
    if (row->router == except || row->valid_until <= now) continue;
    sum.pending_prefill += row->load.pending_prefill;
    sum.held += row->load.held;
    sum.running += row->load.running;
  }
  return sum;
}

/* Frees the expired rows of a list; returns its new first row. */
static mt_load_row_t *remove_expired (mt_load_row_t *row, mt_ms_t now) {
  mt_load_row_t *valid = NULL;
  while (row != NULL) {
    mt_load_row_t *next = row->next;
    if (row->valid_until > now) {
      row->next = valid;
      valid = row;
    } else {
      free(row);
    }
    row = next;
  }
  return valid;
}

void mt_load_table_remove (mt_load_table_t *table, uint64_t engine) {
  remove_expired(mtV_del(&table->engines, engine), UINT64_MAX);
}

void mt_load_table_expire (mt_load_table_t *table, mt_ms_t now) {
  for (size_t i = table->engines.cap; i-- > 0;) {
    uint64_t engine = table->engines.keys[i];
    if (engine == 0) continue;
    mt_load_row_t *valid = remove_expired(table->engines.vals[i], now);
    table->engines.vals[i] = valid;
    if (valid == NULL) mtV_del(&table->engines, engine);
  }
}

void mt_load_table_free (mt_load_table_t *table) {
  mtV_each (&table->engines, i)
    remove_expired(table->engines.vals[i], UINT64_MAX);
  mtV_free(&table->engines);
}
