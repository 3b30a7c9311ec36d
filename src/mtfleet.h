/*
** mtfleet.h - one revision of the fleet's configuration, as tables
*/
#ifndef mtfleet_h
#define mtfleet_h

#include "mtjson.h"
#include "mtmem.h"

/* How a pool's requests are spoken to and charged. */
typedef enum mt_poolkind_t { MT_POOL_MODEL, MT_POOL_SERVICE } mt_poolkind_t;

/* Targets that can serve the same requests. */
typedef struct mt_pool_t {
  mt_name_t name;
  mt_id_t id;
  mt_poolkind_t kind;
  int promptweight, outputweight; /* units of cost per token */
  bool repeatable;                /* services: default of its calls */
  json_t *models;                 /* array of model names, borrowed */
} mt_pool_t;

/* A target: an engine or a service. */
typedef struct mt_target_t {
  mt_name_t name, domain;
  mt_id_t id, pool, domainid;
  char url[MT_URL_MAX + 1];
  char ip[64];
  uint16_t port;
  int slots;    /* requests it runs at once */
  int speed;    /* relative; orders targets that have equal room */
  bool leaving; /* gets no new work */
} mt_target_t;

typedef struct mt_workspace_t {
  mt_name_t name;
  mt_id_t id;
  char keydigest[MT_DIGEST_HEX + 1];
  int share;      /* weight, 1 to MT_SHARE_MAX */
  int maxwaiting; /* requests waiting at one router */
  mt_id_t policy; /* 0: the built-in */
  json_t *pools;  /* names it may use, NULL for all; borrowed */
} mt_workspace_t;

typedef struct mt_policy_t {
  mt_name_t name;
  mt_id_t id;
  int64_t revision;
  const char *program; /* borrowed from the document */
} mt_policy_t;

typedef struct mt_fleet_t {
  int64_t revision;
  json_t *doc; /* owns every borrowed text */
  mt_pool_t *pools;
  size_t npools, pools_cap;
  mt_target_t *targets;
  size_t ntargets, targets_cap;
  mt_workspace_t *workspaces;
  size_t nworkspaces, workspaces_cap;
  mt_policy_t *policies;
  size_t npolicies, policies_cap;
  mt_map_t poolsby, targetsby, workspacesby, policiesby; /* by id */
  mt_map_t models; /* id of name -> pool */
  mt_map_t keys;   /* hash of key digest -> workspace */
} mt_fleet_t;

/*
** Builds the tables from a whole document {pools, targets, workspaces,
** policies}; takes a reference to it. NULL when any fault is found.
*/
mt_fleet_t *mtF_new (json_t *doc, int64_t revision, mt_faults_t *fs);
void mtF_free (mt_fleet_t *F);

const mt_pool_t *mtF_pool (const mt_fleet_t *F, mt_id_t id);
const mt_target_t *mtF_target (const mt_fleet_t *F, mt_id_t id);
const mt_workspace_t *mtF_workspace (const mt_fleet_t *F, mt_id_t id);
const mt_policy_t *mtF_policy (const mt_fleet_t *F, mt_id_t id);

/* The pool that serves a model, or NULL. */
const mt_pool_t *mtF_model (const mt_fleet_t *F, mt_bytes_t model);

/* The workspace whose key has this digest; compared in constant time. */
const mt_workspace_t *mtF_bykey (const mt_fleet_t *F, const char *digest);

/* True when the workspace may use the pool. */
bool mtF_mayuse (const mt_workspace_t *w, const mt_pool_t *p);

/* The section of the stored configuration that holds a workspace. */
int mtF_bucket (const char *workspace);

#endif
