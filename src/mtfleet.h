/*
** mtfleet.h - tables of one configuration revision: pools, targets,
** workspaces, policies
*/
#ifndef mtfleet_h
#define mtfleet_h

#include "mtjson.h"
#include "mtmem.h"

/* Requests cost their weighted tokens in model pools, 1 in service pools. */
typedef enum mt_poolkind_t { MT_POOL_MODEL, MT_POOL_SERVICE } mt_poolkind_t;

/* A group of targets that serve the same models or the same service. */
typedef struct mt_pool_t {
  mt_name_t name;
  mt_id_t id;
  mt_poolkind_t kind;
  int promptweight, outputweight; /* cost per prompt and output token */
  bool repeatable; /* requests may run more than once, unless marked */
  json_t *models;  /* array of model names, borrowed */
} mt_pool_t;

/* A target: an engine or a service. */
typedef struct mt_target_t {
  mt_name_t name, domain;
  mt_id_t id, pool, domainid;
  char url[MT_URL_MAX + 1];
  char ip[64];
  uint16_t port;
  int slots;  /* maximum of concurrent requests */
  int speed;  /* relative; weighs targets of a pool against each other */
  bool drain; /* receives no new requests */
} mt_target_t;

typedef struct mt_workspace_t {
  mt_name_t name;
  mt_id_t id;
  char keydigest[MT_DIGEST_HEX + 1];
  int share;      /* fair-queueing weight, 1 to MT_SHARE_MAX */
  int maxwaiting; /* maximum of queued requests per router */
  mt_id_t policy; /* 0: none, the built-in placement */
  json_t *pools;  /* names of pools it may use, NULL for all; borrowed */
} mt_workspace_t;

typedef struct mt_policy_t {
  mt_name_t name;
  mt_id_t id;
  int64_t revision;
  const char *program; /* Lua source, borrowed from the document */
} mt_policy_t;

typedef struct mt_fleet_t {
  int64_t revision;
  json_t *doc; /* owns all borrowed values */
  mt_pool_t *pools;
  size_t npools, pools_cap;
  mt_target_t *targets;
  size_t ntargets, targets_cap;
  mt_workspace_t *workspaces;
  size_t nworkspaces, workspaces_cap;
  mt_policy_t *policies;
  size_t npolicies, policies_cap;
  /* From ids to indices + 1. */
  mt_map_t pools_by_id, targets_by_id, workspaces_by_id, policies_by_id;
  mt_map_t models; /* from ids of model names to pool indices + 1 */
  mt_map_t keys;   /* from hashes of key digests to workspace indices + 1 */
} mt_fleet_t;

/*
** Checks a document {pools, targets, workspaces, policies} and builds its
** tables; takes a reference to it. NULL, with faults, if it is invalid.
*/
mt_fleet_t *mtF_new (json_t *doc, int64_t revision, mt_faults_t *fs);
void mtF_free (mt_fleet_t *F);

/* Look-ups by id; NULL when there is none. */
const mt_pool_t *mtF_pool (const mt_fleet_t *F, mt_id_t id);
const mt_target_t *mtF_target (const mt_fleet_t *F, mt_id_t id);
const mt_workspace_t *mtF_workspace (const mt_fleet_t *F, mt_id_t id);
const mt_policy_t *mtF_policy (const mt_fleet_t *F, mt_id_t id);

/* The pool that serves a model, or NULL. */
const mt_pool_t *mtF_model (const mt_fleet_t *F, mt_bytes_t model);

/*
** The workspace whose API key has this digest (SHA-256, hexadecimal), or
** NULL. The final comparison takes constant time.
*/
const mt_workspace_t *mtF_bykey (const mt_fleet_t *F, const char *digest);

/* True when the workspace may use the pool. */
bool mtF_mayuse (const mt_workspace_t *w, const mt_pool_t *p);

/* Number of the section that stores a workspace, 0 to MT_WS_SECTIONS - 1. */
int mtF_section (const char *workspace);

#endif
