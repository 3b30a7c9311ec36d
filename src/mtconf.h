/*
** mtconf.h - the configuration in force: how a revision reaches a router
**
** The store holds a head {revision, sections: {name: digest}} and parts
** named by their SHA-256. Few routers of a domain watch the head; the others
** hear of it in heartbeats and fetch what they lack from each other.
** Promise served: in force everywhere within seconds, never an older one.
*/
#ifndef mtconf_h
#define mtconf_h

#include "mtstate.h"

/* The store answered for the head, or a peer sent it (from 0: the store). */
void mtK_head (mt_state_t *S, mt_id_t from, int64_t revision,
               mt_bytes_t text);
void mtK_stored (mt_state_t *S, const mt_event_t *ev);

/* A part arrived; false when its text does not match its digest. */
bool mtK_part (mt_state_t *S, mt_bytes_t digest, mt_bytes_t text);

/* A peer asks for our head, or for a part. */
void mtK_asked (mt_state_t *S, mt_id_t from, int64_t revision);
void mtK_partasked (mt_state_t *S, mt_id_t from, mt_bytes_t digest);

/* A peer said which revision it has in force. */
void mtK_heard (mt_state_t *S, mt_id_t from, int64_t revision);

void mtK_tick (mt_state_t *S);
void mtK_close (mt_state_t *S);

/* {== The document ===================================================== */

/* Splits a whole configuration into parts; returns {name: text}. */
json_t *mtK_split (const json_t *doc);

/* Joins parts into a whole configuration; NULL with a fault. */
json_t *mtK_join (const json_t *parts, mt_faults_t *fs);

/* }== */

#endif
