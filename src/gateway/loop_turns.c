/*
** loop_turns.c - length and work of the turns of the event loop
*/
#include <string.h>

#include "loop_turns.h"

#define NS_PER_MS 1000000

/* Upper bounds of the histogram, ms; the last one is infinite. */
static const mt_ms_t bounds[MT_TURN_BOUNDS - 1] = {10,  50,  100,
                                                   250, 500, 1000};

static void begin_turn (mt_loop_turns_t *turns) {
  if (turns->began == 0) turns->began = uv_now(turns->check.loop);
}

/* The loop's time is that of the poll's return: its callbacks have run. */
static void on_check (uv_check_t *check) {
  begin_turn(check->data);
}

static void on_prepare (uv_prepare_t *prepare) {
  mt_loop_turns_t *turns = prepare->data;
  mt_ms_t now = uv_hrtime() / NS_PER_MS;
  mt_ms_t length = now > turns->began ? now - turns->began : 0;
  if (turns->began != 0) {
    mt_loop_turns_count(turns, length);
    if (length > MT_TURN_LONG_MS) turns->on_long(turns->ud, turns, length);
  }
  turns->began = 0;
  memset(turns->work, 0, sizeof turns->work);
}

void mt_loop_turns_open (mt_loop_turns_t *turns, uv_loop_t *loop,
                         mt_loop_turn_cb on_long, void *ud) {
  *turns = (mt_loop_turns_t){.on_long = on_long, .ud = ud};
  uv_check_init(loop, &turns->check);
  uv_prepare_init(loop, &turns->prepare);
  turns->check.data = turns->prepare.data = turns;
  uv_check_start(&turns->check, on_check);
  uv_prepare_start(&turns->prepare, on_prepare);
  uv_unref((uv_handle_t *)&turns->check);
  uv_unref((uv_handle_t *)&turns->prepare);
}

void mt_loop_turns_close (mt_loop_turns_t *turns) {
  uv_close((uv_handle_t *)&turns->check, NULL);
  uv_close((uv_handle_t *)&turns->prepare, NULL);
}

void mt_loop_turns_add (mt_loop_turns_t *turns, mt_turn_work_t work,
                        size_t items) {
  turns->work[work] += (uint32_t)items;
}

void mt_loop_turns_update_time (mt_loop_turns_t *turns) {
  begin_turn(turns);
  uv_update_time(turns->check.loop);
}

void mt_loop_turns_count (mt_loop_turns_t *turns, mt_ms_t length) {
  size_t i = 0;
  while (i < MT_TURN_BOUNDS - 1 && length > bounds[i]) i++;
  turns->counts[i]++;
  turns->total_ms += length;
}

mt_ms_t mt_loop_turns_bound (size_t part) {
  return part < MT_TURN_BOUNDS - 1 ? bounds[part] : 0;
}
