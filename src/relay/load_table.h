/*
** load_table.h - what every router has at the engines this router keeps
**
** The owner of an engine is one of the routers. The others tell it their
** whole load there, so a lost or repeated message does no harm; what a router
** has not repeated in time no longer counts.
*/
#ifndef load_table_h
#define load_table_h

#include "engine.h"

/* What one router has at one engine. */
typedef struct mt_load_row_t {
  struct mt_load_row_t *next; /* of the same engine */
  uint64_t router;
  mt_engine_load_t load;
  int64_t
      tokens_processed; /* tokens read or made there for the router, ever */
  mt_ms_t valid_until;
} mt_load_row_t;

typedef struct mt_load_table_t {
  mt_map_t engines; /* engine's key -> its first row, owned */
} mt_load_table_t;

/*
** Takes a router's load at an engine in place of the one before. Returns the
** tokens read or made there since that one; 0 for the first. Rows and engines
** beyond a bound are passed over.
*/
int64_t mt_load_table_set (mt_load_table_t *book, uint64_t engine,
                           const mt_load_row_t *row);

/* The load of all routers but one at an engine. */
mt_engine_load_t mt_load_table_sum (const mt_load_table_t *book,
                                    uint64_t engine, uint64_t but_router,
                                    mt_ms_t now);

/* The engine has started again: what anybody had there is lost. */
void mt_load_table_remove (mt_load_table_t *book, uint64_t engine);

/* Drops rows that are no longer valid. */
void mt_load_table_expire (mt_load_table_t *book, mt_ms_t now);
void mt_load_table_free (mt_load_table_t *book);

#endif
