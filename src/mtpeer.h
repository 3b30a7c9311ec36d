/*
** mtpeer.h - frames between routers over TCP
**
** Each direction of a pair has its own connection, opened by the sender.
** The receiver opens with a random challenge; every frame then carries a
** code over challenge, frame number and bytes, so a forged or replayed one
** is refused. The first frame says who sends.
*/
#ifndef mtpeer_h
#define mtpeer_h

#include <uv.h>

#include "mtcount.h"
#include "mtmsg.h"

typedef struct mt_peers_t mt_peers_t;

typedef void (*mt_peerfn_t)(void *ud, mt_id_t from, const mt_msg_t *m);

/* Listens; NULL and a reason when that fails. */
mt_peers_t *mtN_open (uv_loop_t *loop, const mt_settings_t *set,
                      mt_peerfn_t fn, void *ud, char *reason, size_t size);
uint16_t mtN_port (const mt_peers_t *N);

/* What this router says of itself in its first frame; kept by the caller. */
/* Where forged and malformed frames are counted. */
void mtN_counts (mt_peers_t *N, mt_counts_t *counts);

void mtN_self (mt_peers_t *N, const mt_node_t *self);

/* Takes new keys; connections at hand keep theirs until they close. */
void mtN_keys (mt_peers_t *N, const mt_settings_t *set);

/* Sends a packed message; n 0 only makes sure that a connection is up. */
void mtN_send (mt_peers_t *N, const mt_addr_t *to, const char *bytes,
               size_t n);

void mtN_close (mt_peers_t *N);

#endif
