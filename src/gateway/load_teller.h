/*
** load_teller.h - which loads have to be told to which owners
*/
#ifndef load_teller_h
#define load_teller_h

#include "engine.h"

/* An engine and the router that keeps it. */
typedef struct mt_load_due_t {
  uint32_t owner;
  mt_engine_t *engine;
} mt_load_due_t;

typedef struct mt_load_teller_t {
  mt_load_due_t *due; /* scratch */
  size_t count, cap;
} mt_load_teller_t;

typedef struct mt_load_teller_calls_t {
  uint32_t (*owner)(void *ud, const mt_engine_t *engine);
  /* Tells the loads at engines of one owner, at most MT_LOADS_TOLD. */
  void (*tell)(void *ud, uint32_t owner, mt_engine_t **engines, size_t count);
  void *ud;
} mt_load_teller_calls_t;

#define MT_LOADS_TOLD 32 /* at once */

/* Has every load told that changed, and standing ones again and again. */
void mt_load_teller_tick (mt_load_teller_t *teller, mt_engines_t *engines,
                          mt_ms_t now, const mt_load_teller_calls_t *calls);

void mt_load_teller_free (mt_load_teller_t *teller);

#endif
