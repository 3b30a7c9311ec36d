/*
** catalog.h - one version of the operators' configuration: routes, services,
** workspaces and their keys
*/
#ifndef catalog_h
#define catalog_h

#include "mtmem.h"

/* Whether a request may be repeated, and the form of its answer. */
typedef enum mt_route_kind_t {
  MT_ROUTE_REPEATABLE, /* idempotent: may run more than once */
  MT_ROUTE_ONCE,       /* may run at most once */
  MT_ROUTE_STREAM      /* answered by a stream of numbered events */
} mt_route_kind_t;

#define MT_SPLIT_MAX 8 /* services that share the traffic of one route */

typedef struct mt_split_t {
  mt_id_t service;
  int weight;
} mt_split_t;

typedef struct mt_catalog_route_t {
  char *name, *host, *prefix;
  size_t prefix_size;
  mt_id_t id;
  mt_route_kind_t kind;
  bool resumable;    /* streams: another engine may continue one */
  bool open;         /* needs no API key */
  mt_ms_t timeout;   /* of a request, end to end; 0: MT_WAIT_MAX_MS */
  mt_ms_t objective; /* latency target; of a stream: of its first event */
  mt_ms_t pause;     /* streams: target for the time between events */
  int priority;      /* 0 is the most urgent */
  int attempts;      /* engines that one request may be sent to */
  mt_split_t split[MT_SPLIT_MAX];
  int splits;
  /* Other routes of its host, and of its id; numbers + 1, 0: none. */
  size_t next_same_host, next_same_id;
} mt_catalog_route_t;

/* Engines that serve the same requests. */
typedef struct mt_catalog_service_t {
  char *name;
  mt_id_t id;
  int connections;     /* that one engine accepts in total */
  bool model;          /* a language model, whose engines cache prefixes */
  int64_t kv_capacity; /* KV cache capacity of one engine, tokens */
  mt_ms_t objective;   /* the shortest of its stream routes; 0: none */
  /* The longest time-out of its stream routes; 0: it has none. */
  mt_ms_t longest_stream;
  bool kv_transfer; /* its engines can fetch KV cache from each other */
  int64_t kv_bytes_per_token; /* KV cache bytes of one token */
  double link_mbps;           /* bandwidth between engines, Mbit/s */
  double cold_rate; /* requests/s that a cold engine can take; 0: any */
  mt_ms_t cold;     /* how long an engine is cold after its start */
} mt_catalog_service_t;

typedef struct mt_catalog_workspace_t {
  char *name;
  mt_id_t id;
  int priority; /* -1: the route's applies */
} mt_catalog_workspace_t;

/* An API key; keys with the same hash are chained. */
typedef struct mt_catalog_key_t {
  struct mt_catalog_key_t *next;
  size_t workspace; /* index in the catalog's `workspaces` */
  size_t size;
  char text[];
} mt_catalog_key_t;

typedef struct mt_catalog_limits_t {
  uint32_t header_bytes, body_bytes;
  mt_ms_t header_ms, idle_ms;
  int64_t tokens_per_s; /* capacity of all engines together; 0: unknown */
} mt_catalog_limits_t;

typedef struct mt_catalog_t {
  int64_t version;
  mt_catalog_route_t *routes;
  size_t routes_count, routes_cap;
  mt_catalog_service_t *services;
  size_t services_count, services_cap;
  mt_catalog_workspace_t *workspaces;
  size_t workspaces_count, workspaces_cap;
  mt_map_t keys;    /* hash of a key -> mt_catalog_key_t, owned */
  mt_map_t digests; /* mt_catalog_digest_key of a key -> mt_catalog_key_t */
  /* By the hash of a host, or an id: numbers + 1, the first ones of chains.
   */
  mt_map_t hosts, routes_by_id, services_by_id;
  mt_catalog_limits_t limits;
  int parts; /* in which it was read; 0: unknown */
} mt_catalog_t;

mt_catalog_t *mt_catalog_new (int64_t version);
void mt_catalog_free (mt_catalog_t *catalog);

/* Append an entry; strings are copied. The pointer is valid until the next
   entry of that kind is added. */
mt_catalog_route_t *mt_catalog_add_route (mt_catalog_t *catalog,
                                          const char *name, const char *host,
                                          const char *prefix);
mt_catalog_service_t *mt_catalog_add_service (mt_catalog_t *catalog,
                                              const char *name);
mt_catalog_workspace_t *mt_catalog_add_workspace (mt_catalog_t *catalog,
                                                  const char *name);
/* Adds a key to the workspace added last. */
void mt_catalog_add_key (mt_catalog_t *catalog, const char *key);

/* Sets what follows from all entries; to be called once, after the last. */
void mt_catalog_complete (mt_catalog_t *catalog);

/* The host's route with the longest prefix of the path, or NULL. */
const mt_catalog_route_t *mt_catalog_find_route (const mt_catalog_t *catalog,
                                                 mt_bytes_t host,
                                                 mt_bytes_t path);
/* The workspace of this API key, or NULL. */
const mt_catalog_workspace_t *
mt_catalog_find_workspace (const mt_catalog_t *catalog, mt_bytes_t key);
const mt_catalog_service_t *
mt_catalog_find_service (const mt_catalog_t *catalog, mt_id_t id);

/* The next route with the id, in no given order; NULL as `route` asks for the
   first one, NULL is returned behind the last. */
const mt_catalog_route_t *
mt_catalog_next_route (const mt_catalog_t *catalog,
                       const mt_catalog_route_t *route, mt_id_t id);

/* True if any of the route's traffic goes to the service; `route` may be
   NULL. */
bool mt_catalog_route_leads_to (const mt_catalog_route_t *route,
                                mt_id_t service);
/* The same of any route with the id. */
bool mt_catalog_routes_to (const mt_catalog_t *catalog, mt_id_t route,
                           mt_id_t service);

/* The key of a digest (SHA-256, hexadecimal) in the catalog's `digests`. */
uint64_t mt_catalog_digest_key (const char *digest);

#endif
