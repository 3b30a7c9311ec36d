/*
** relay_load.h - load, prefill speed, cached segments and reachability of
** engines
*/
#ifndef relay_load_h
#define relay_load_h

#include "placement.h"

/* Adds the request to the load of the engine that it is sent to. */
void mt_relay_add_load (mt_relay_t *relay, mt_relay_request_t *request,
                        const mt_placement_t *placement);

/* Takes the prompt off the engine's pending prefill once the engine has
   prefilled it. A second call has no effect. */
void mt_relay_prefill_done (mt_relay_request_t *request);
/* Takes the request off the load of its engine when the attempt is over. A
   second call has no effect. */
void mt_relay_remove_load (mt_relay_request_t *request);

/* The engine of the current attempt has not run it, and so has not cached its
   prompt. `rejected`: by the engine; else the request was not sent. */
void mt_relay_prompt_not_run (mt_relay_t *relay, mt_relay_request_t *request,
                              bool rejected);

/* Learns the engine's prefill speed from the time to first token; to be
   called before mt_relay_prefill_done. */
void mt_relay_learn_prefill (mt_relay_t *relay, mt_relay_request_t *request);

/* Learns from the gap between two events of a stream, in ms, and from the
   length of a complete one. */
void mt_relay_learn_gap (mt_relay_t *relay, mt_relay_request_t *request,
                         mt_ms_t gap);
void mt_relay_learn_stream (mt_relay_t *relay,
                            const mt_relay_request_t *request);

/* Marks the engine as gone: it gets no more work. */
void mt_relay_engine_gone (mt_relay_t *relay, mt_engine_t *engine);

/* Counts ready engines, marks those gone that are unlisted for too long, and
   removes those long gone; called a few times per second. */
void mt_relay_update_engines (mt_relay_t *relay);

/* Tests connections to unreachable engines; called at each tick. */
void mt_relay_probe_engines (mt_relay_t *relay);

#endif
