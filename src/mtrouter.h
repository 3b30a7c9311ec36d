/*
** mtrouter.h - one router: event loop, reducer and the adapters around it
*/
#ifndef mtrouter_h
#define mtrouter_h

#include "mtcall.h"
#include "mtcore.h"
#include "mtpeer.h"
#include "mtstore.h"
#include "mtweb.h"

typedef struct mt_front_t mt_front_t;

typedef struct mt_router_t {
  uv_loop_t loop;
  mt_settings_t set;
  const char *settings_file; /* path; its peer keys are reloaded on SIGHUP */
  mt_state_t *S;
  mt_http_t *target_http; /* client for requests to targets */
  mt_store_t *store;
  mt_peers_t *peers;
  mt_front_t *front;
  mt_web_t *callers, *operators; /* the two HTTP listeners */
  mt_memory_budget_t memory;     /* for what callers make both of them hold */
  uv_timer_t tick;
  uv_signal_t term, intr, hup;
  uint64_t boot;  /* start time in microseconds; identifies the process */
  uint64_t ticks; /* of MT_TICK_MS, since the start */
} mt_router_t;

/*
** Sets the time of an event, passes it to the reducer and executes the
** effects it returns.
*/
void mtX_step (mt_router_t *X, mt_event_t *ev);

/*
** Runs a router until it has drained. Returns 0, or 1 when the settings are
** invalid or a listener cannot be opened; the reason is then printed or
** logged.
*/
int mtX_run (const char *settingsfile);

#endif
