/*
** mtset.h - a router's settings, read from one JSON file
*/
#ifndef mtset_h
#define mtset_h

#include "mtjson.h"

#define MT_MAX_SEEDS 32
#define MT_MAX_KEYS 4
#define MT_MAX_ROUTES 128
#define MT_PEER_KEY 32 /* bytes of a peer key */

typedef struct mt_addr_t {
  char ip[64];
  uint16_t port;
} mt_addr_t;

/* Another address for a router or target, by its name. */
typedef struct mt_route_t {
  mt_id_t id;
  mt_addr_t addr;
} mt_route_t;

typedef struct mt_settings_t {
  mt_name_t node, domain, region;
  mt_addr_t callers, operators, peers, store;
  mt_addr_t advertise; /* what peers are told; port 0 means the bound one */
  mt_addr_t seeds[MT_MAX_SEEDS];
  size_t nseeds;
  unsigned char keys[MT_MAX_KEYS][MT_PEER_KEY]; /* first signs, all verify */
  size_t nkeys;
  int loglevel;
  mt_route_t routes[MT_MAX_ROUTES]; /* other ways to routers and targets */
  size_t nroutes;
  bool nosharing; /* baseline: no exchange, each router on its own */
  bool pinned;    /* baseline: a session never leaves its target */
  bool fifo;      /* baseline: first come, first served */
} mt_settings_t;

/* Reads and checks a file; every fault is listed. False when any. */
bool mtC_read (const char *file, mt_settings_t *set, mt_faults_t *fs);

/* The same for a parsed document. */
bool mtC_parse (const json_t *doc, mt_settings_t *set, mt_faults_t *fs);

/* The address to use for a router or target: a route's, or `addr`. */
mt_addr_t mtC_route (const mt_settings_t *set, mt_id_t id,
                     const mt_addr_t *addr);

#endif
