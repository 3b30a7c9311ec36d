/*
** loop_turns.h - length and work of the turns of the event loop
**
** A turn is the time from one poll to the next: no socket is read meanwhile,
** so requests lie unread and engines that answer look silent. Time for which
** the machine was suspended does not count.
*/
#ifndef loop_turns_h
#define loop_turns_h

#include <uv.h>

#include "mtobject.h"

/* What a turn did; each is counted in items. */
typedef enum mt_turn_work_t {
  MT_TURN_TICKS,   /* ticks of the gateway's timer */
  MT_TURN_EVENTS,  /* events of the relay, ticks included */
  MT_TURN_ENGINES, /* entries of engines from the source or routers */
  MT_TURN_ROUTES,  /* routes of a configuration */
  MT_TURN_WORKS
} mt_turn_work_t;

#define MT_TURN_BOUNDS 7 /* of the histogram, the infinite one included */

/* A turn that takes longer than this is logged: a tenth of what the strictest
   callers allow a request. */
#define MT_TURN_LONG_MS 50

struct mt_loop_turns_t;

/* Called behind a turn that was longer than MT_TURN_LONG_MS. */
typedef void (*mt_loop_turn_cb)(void *ud, const struct mt_loop_turns_t *turns,
                                mt_ms_t length);

typedef struct mt_loop_turns_t {
  uv_check_t check;
  uv_prepare_t prepare;
  mt_loop_turn_cb on_long;
  void *ud;
  mt_ms_t began; /* when the turn's poll returned; 0: not known yet */
  uint32_t work[MT_TURN_WORKS]; /* of the current turn */
  uint64_t counts[MT_TURN_BOUNDS], total_ms;
} mt_loop_turns_t;

/* Starts to measure. To be called before other prepare handles are started:
   the loop runs them in the opposite order, and theirs belong to a turn. */
void mt_loop_turns_open (mt_loop_turns_t *turns, uv_loop_t *loop,
                         mt_loop_turn_cb on_long, void *ud);
void mt_loop_turns_close (mt_loop_turns_t *turns);

/* Notes what the current turn does. */
void mt_loop_turns_add (mt_loop_turns_t *turns, mt_turn_work_t work,
                        size_t items);

/* Updates the loop's time within a turn; to be used in place of
   uv_update_time, which would hide the turn's begin. */
void mt_loop_turns_update_time (mt_loop_turns_t *turns);

/* Counts a turn of this length, ms. */
void mt_loop_turns_count (mt_loop_turns_t *turns, mt_ms_t length);

/* The upper bound of a part of the histogram, ms; 0: the last one, which has
   none. */
mt_ms_t mt_loop_turns_bound (size_t part);

#endif
