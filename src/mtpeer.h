/*
** mtpeer.h - authenticated frames between routers over TCP
**
** Each direction of a pair has its own connection, opened by the sender.
** The receiver first sends a random challenge. Every frame then carries a MAC
** over challenge, frame number and bytes, so that forged and replayed frames
** are rejected. The first frame is a HELLO that names the sender.
*/
#ifndef mtpeer_h
#define mtpeer_h

#include <uv.h>

#include "mtcount.h"
#include "mtmsg.h"

typedef struct mt_peers_t mt_peers_t;

/* Receives a message of router `from`; the message is borrowed. */
typedef void (*mt_peerfn_t)(void *ud, mt_id_t from, const mt_msg_t *m);

/* Starts listening on set->peers; NULL and a reason when that fails. */
mt_peers_t *mtN_open (uv_loop_t *loop, const mt_settings_t *set,
                      mt_peerfn_t fn, void *ud, char *reason, size_t size);
uint16_t mtN_port (const mt_peers_t *N);

/* Sets where forged and malformed frames are counted; borrowed. */
void mtN_set_counts (mt_peers_t *N, mt_counts_t *counts);

/* Sets what the first frame of a connection contains; borrowed. */
void mtN_set_self (mt_peers_t *N, const mt_node_t *self);

/*
** Replaces the keys. Open connections use them from their next frame on; an
** inbound one keeps to the index of the key that its first frame matched.
*/
void mtN_set_keys (mt_peers_t *N, const mt_settings_t *set);

/*
** Sends a packed message, opening a connection if there is none; with n 0
** nothing is sent but the connection is opened. When the connection fails, or
** more than 4 MiB are queued for it, it is closed and the queued messages are
** lost.
*/
void mtN_send (mt_peers_t *N, const mt_addr_t *to, const char *bytes,
               size_t n);

/* Stops listening; open connections are not closed. */
void mtN_close (mt_peers_t *N);

#endif
