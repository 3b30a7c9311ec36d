/*
** catalog.h - one version of what the operators declared: routes, services,
** workspaces and their keys
*/
#ifndef catalog_h
#define catalog_h

#include "mtmem.h"

/* What may be repeated, and how an answer comes. */
typedef enum mt_route_kind_t {
  MT_ROUTE_REPEATABLE, /* may run more than once */
  MT_ROUTE_ONCE,       /* at most once */
  MT_ROUTE_STREAM      /* a series of numbered events */
} mt_route_kind_t;

#define MT_SPLIT_MAX 8 /* services that one route may be split over */

typedef struct mt_split_t {
  mt_id_t service;
  int weight;
} mt_split_t;

typedef struct mt_catalog_route_t {
  char *name, *host, *prefix;
  size_t prefix_size;
  mt_id_t id;
  mt_route_kind_t kind;
  bool resumable;    /* streams: may be taken up at another engine */
  bool open;         /* needs no key */
  mt_ms_t timeout;   /* longest that a request is held */
  mt_ms_t objective; /* time within which an answer is wanted */
  mt_ms_t pause;     /* streams: longest pause between events */
  int priority;      /* 0 is the most urgent */
  int attempts;      /* engines that one request may be sent to */
  mt_split_t split[MT_SPLIT_MAX];
  int splits;
} mt_catalog_route_t;

/* Engines that serve the same requests. */
typedef struct mt_catalog_service_t {
  char *name;
  mt_id_t id;
  int connections;     /* that one engine takes from all callers */
  bool model;          /* a language model: prompts, kept prefixes */
  int64_t kv_capacity; /* tokens that one engine holds */
  mt_ms_t objective;   /* the shortest of its stream routes; 0: none */
  bool kv_transfer;    /* its engines can take kept parts of prompts from each
                          other */
  int64_t kv_bytes_per_token; /* of an engine's memory for one token */
  double link_mbps;           /* of an engine's link to the others */
  double cold_rate; /* requests a second that a cold engine bears; 0: any */
  mt_ms_t cold;     /* an engine that starts is cold for so long */
} mt_catalog_service_t;

typedef struct mt_catalog_workspace_t {
  char *name;
  mt_id_t id;
  int priority; /* -1: the route's */
} mt_catalog_workspace_t;

/* A caller's key; several whose hashes are the same hang together. */
typedef struct mt_catalog_key_t {
  struct mt_catalog_key_t *next;
  size_t workspace; /* its index */
  size_t size;
  char text[];
} mt_catalog_key_t;

typedef struct mt_catalog_limits_t {
  uint32_t header_bytes, body_bytes;
  mt_ms_t header_ms, idle_ms;
  int64_t tokens_per_s; /* what the engines together make; 0: not told */
} mt_catalog_limits_t;

typedef struct mt_catalog_t {
  int64_t version;
  mt_catalog_route_t *routes;
  size_t routes_count, routes_cap;
  mt_catalog_service_t *services;
  size_t services_count, services_cap;
  mt_catalog_workspace_t *workspaces;
  size_t workspaces_count, workspaces_cap;
  mt_map_t keys;          /* hash of a key -> mt_catalog_key_t, owned */
  mt_map_t hosts;         /* hash of a host -> first route's index + 1 */
  size_t *next_same_host; /* per route: the next of its host + 1 */
  mt_catalog_limits_t limits;
} mt_catalog_t;

mt_catalog_t *mt_catalog_new (int64_t version);
void mt_catalog_free (mt_catalog_t *catalog);

/* Append an entry; texts are copied. The entry is valid until the next. */
mt_catalog_route_t *mt_catalog_add_route (mt_catalog_t *catalog,
                                          const char *name, const char *host,
                                          const char *prefix);
mt_catalog_service_t *mt_catalog_add_service (mt_catalog_t *catalog,
                                              const char *name);
mt_catalog_workspace_t *mt_catalog_add_workspace (mt_catalog_t *catalog,
                                                  const char *name);
/* Gives the workspace added last one more key. */
void mt_catalog_add_key (mt_catalog_t *catalog, const char *key);

/* Builds the indexes, once all is added. */
void mt_catalog_build_index (mt_catalog_t *catalog);

/* The route with the longest prefix of the path, or NULL. */
const mt_catalog_route_t *mt_catalog_find_route (const mt_catalog_t *catalog,
                                                 mt_bytes_t host,
                                                 mt_bytes_t path);
/* The workspace that holds this key, or NULL. */
const mt_catalog_workspace_t *
mt_catalog_find_workspace (const mt_catalog_t *catalog, mt_bytes_t key);
const mt_catalog_service_t *
mt_catalog_find_service (const mt_catalog_t *catalog, mt_id_t id);

#endif
