/*
** relay_load.h - what requests mean to engines: load, speed, kept parts
*/
#ifndef relay_load_h
#define relay_load_h

#include "placement.h"

/* A request goes to the placement's engine: it counts there from now on. */
void mt_relay_engage (mt_relay_t *relay, mt_relay_request_t *request,
                      const mt_placement_t *placement);

/* Its prompt has been read; its answer is over. Both may be said twice. */
void mt_relay_prompt_read (mt_relay_request_t *request);
void mt_relay_disengage (mt_relay_request_t *request);

/* Learns from a first event how fast the engine reads; before prompt_read. */
void mt_relay_learn_rate (mt_relay_t *relay, mt_relay_request_t *request);

/* The engine gets no more work. */
void mt_relay_engine_gone (mt_relay_t *relay, mt_engine_t *engine);

/* Counts engines, ends vanished ones, forgets those long gone; some times a
** second. */
void mt_relay_update_engines (mt_relay_t *relay);

/* Tries to connect to engines that could not be reached; at each tick. */
void mt_relay_probe_engines (mt_relay_t *relay);

#endif
