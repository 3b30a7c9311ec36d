/*
** mtconf.h - fetches configuration revisions and puts them in force
**
** A configuration is split into sections. The store holds a head
** {revision, sections: {name: digest}} and, under its SHA-256 digest, the
** text of each section, called a part. MT_WATCHERS routers of each domain
** watch the head in the store. The others learn of a new revision from
** heartbeats and fetch its head and the missing parts from that peer; when
** parts fail to arrive, also from the store.
** Guarantees: a new revision is in force on every router within seconds, and
** a router never goes back to an older revision.
*/
#ifndef mtconf_h
#define mtconf_h

#include "mtstate.h"

/*
** Handles a head received from a peer, or from the store when `from` is 0.
** Ignores it if it was rejected before or is not newer than the revision in
** force and the one being fetched; otherwise requests the missing parts.
*/
void mtK_recv_head (mt_state_t *S, mt_id_t from, int64_t revision,
                    mt_bytes_t text);

/* Handles the store's reply to a read or watch of the head. */
void mtK_store_reply (mt_state_t *S, const mt_event_t *ev);

/* Handles a received part; false when its text does not match its digest. */
bool mtK_recv_part (mt_state_t *S, mt_bytes_t digest, mt_bytes_t text);

/* Replies to a peer's request for a head newer than its `revision`. */
void mtK_head_request (mt_state_t *S, mt_id_t from, int64_t revision);

/* Replies to a peer's request for a part; no reply if it is not held. */
void mtK_part_request (mt_state_t *S, mt_id_t from, mt_bytes_t digest);

/* A peer reported the revision it has in force; requests a newer head. */
void mtK_peer_revision (mt_state_t *S, mt_id_t from, int64_t revision);

/* Retries requests and restarts the watch of the head. */
void mtK_tick (mt_state_t *S);
void mtK_close (mt_state_t *S);

/* {== Configuration document =========================================== */

/* Splits a configuration into sections; returns {name: JSON text}. */
json_t *mtK_split (const json_t *doc);

/* Joins sections into a configuration; NULL, with faults, on bad JSON. */
json_t *mtK_join (const json_t *parts, mt_faults_t *fs);

/* }== */

#endif
