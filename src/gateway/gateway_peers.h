/*
** gateway_peers.h - what routers tell each other, as datagrams
**
** Every message is absolute: the sender's whole load and rates. A lost or
** repeated one does no harm, and one that is too old is left out.
*/
#ifndef gateway_peers_h
#define gateway_peers_h

#include "gateway.h"

typedef struct mt_gateway_peers_t mt_gateway_peers_t;

mt_gateway_peers_t *
mt_gateway_peers_open (uv_loop_t *loop, const mt_gateway_settings_t *settings,
                       mt_relay_t *relay, mt_log_writer_t *log);

/* Tells and forgets, when it is time; the number of routers, this one too. */
int mt_gateway_peers_tick (mt_gateway_peers_t *peers);

/* The port that it listens on, also where the settings leave it open. */
uint16_t mt_gateway_peers_port (const mt_gateway_peers_t *peers);

void mt_gateway_peers_close (mt_gateway_peers_t *peers);

#endif
