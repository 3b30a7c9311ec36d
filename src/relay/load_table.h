/*
** load_table.h - load of every router at the engines that this router owns
**
** Each engine is owned by one router, to which the others report their load
** there. A report replaces the previous one, so a lost or repeated message
** does no harm; a report that is not renewed in time expires.
*/
#ifndef load_table_h
#define load_table_h

#include "engine.h"

/* Load of one router at one engine. */
typedef struct mt_load_row_t {
  struct mt_load_row_t *next; /* of the same engine */
  uint64_t router;            /* address of the router */
  mt_engine_load_t load;
  int64_t tokens_processed; /* of its requests there, prompt and output */
  mt_ms_t valid_until;
  mt_speed_sums_t measured; /* by the router at the engine */
} mt_load_row_t;

typedef struct mt_load_table_t {
  mt_map_t engines; /* engine's key -> first row of its list, owned */
} mt_load_table_t;

/*
** Replaces a router's load at an engine. Returns the tokens processed there
** since its previous report; 0 for the first. New rows are ignored beyond a
** number of rows of the engine, and beyond a number of engines.
*/
int64_t mt_load_table_set (mt_load_table_t *table, uint64_t engine,
                           const mt_load_row_t *report);

/* Takes back tokens that a router has reported as processed by an engine, of
   a request that was not run. */
void mt_load_table_withdraw (mt_load_table_t *table, uint64_t engine,
                             uint64_t router, int64_t tokens);

/* The last report of a router on an engine; NULL: none. */
const mt_load_row_t *mt_load_table_find (const mt_load_table_t *table,
                                         uint64_t engine, uint64_t router);

/* Sums the load at an engine over all routers except one. */
mt_engine_load_t mt_load_table_sum (const mt_load_table_t *table,
                                    uint64_t engine, uint64_t except,
                                    mt_ms_t now);

/* Removes all rows of an engine, whose load a restart has ended. */
void mt_load_table_remove (mt_load_table_t *table, uint64_t engine);

/* Removes rows that are no longer valid. */
void mt_load_table_expire (mt_load_table_t *table, mt_ms_t now);
void mt_load_table_free (mt_load_table_t *table);

#endif
