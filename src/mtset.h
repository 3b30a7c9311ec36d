/*
** mtset.h - a router's settings, read from one JSON file
*/
#ifndef mtset_h
#define mtset_h

#include "mtjson.h"

#define MT_SEEDS_MAX 32
#define MT_PEER_KEYS_MAX 4
#define MT_ADDR_OVERRIDES_MAX 128
#define MT_PEER_KEY_BYTES 32 /* HMAC key shared by the routers */

typedef struct mt_addr_t {
  char ip[64];
  uint16_t port;
} mt_addr_t;

/* An address that is used for a router or target in place of its own. */
typedef struct mt_addr_override_t {
  mt_id_t id;
  mt_addr_t addr;
} mt_addr_override_t;

typedef struct mt_settings_t {
  mt_name_t node, domain, region;
  /* Listening addresses for requests, administration and other routers, and
     the address of the store. */
  mt_addr_t callers, operators, peers, store;
  mt_addr_t advertise; /* reported to peers; port 0: that of `peers` */
  mt_addr_t seeds[MT_SEEDS_MAX]; /* routers to join the fleet through */
  size_t nseeds;
  /* Keys of the router fleet; the first one signs, all verify. */
  unsigned char keys[MT_PEER_KEYS_MAX][MT_PEER_KEY_BYTES];
  size_t nkeys;
  int loglevel;
  mt_addr_override_t overrides[MT_ADDR_OVERRIDES_MAX]; /* key "routes" */
  size_t noverrides;
  /* Alternatives to the default, fair queueing over the fleet. */
  bool standalone; /* each router schedules on its own, without exchange */
  bool pinned;     /* strict affinity: a session never changes its target */
  bool fifo; /* one queue for all workspaces: first come, first served */
} mt_settings_t;

/* Reads and checks a settings file; false, with all faults, if invalid. */
bool mtC_read (const char *file, mt_settings_t *set, mt_faults_t *fs);

/* The same for a parsed document. */
bool mtC_parse (const json_t *doc, mt_settings_t *set, mt_faults_t *fs);

/* The address to use for a router or target: an override, or `addr`. */
mt_addr_t mtC_resolve (const mt_settings_t *set, mt_id_t id,
                       const mt_addr_t *addr);

#endif
