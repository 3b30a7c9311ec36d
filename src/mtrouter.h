/*
** mtrouter.h - one router: the loop, the reducer and the adapters around it
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
  const char *file; /* the settings, read again on SIGHUP */
  mt_state_t *S;
  mt_http_t *targets;
  mt_store_t *store;
  mt_peers_t *peers;
  mt_front_t *front;
  mt_web_t *callers, *operators;
  uv_timer_t tick;
  uv_signal_t term, intr, hup;
  uint64_t boot;
  uint64_t ticks;
} mt_router_t;

/* Gives the reducer an event and does what it asks for. */
void mtX_step (mt_router_t *X, mt_event_t *ev);

/* Runs a router until it has drained; 0 when all went well. */
int mtX_run (const char *settingsfile);

#endif
