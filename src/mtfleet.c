/*
** mtfleet.c - checks a configuration document and builds its tables
*/
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <openssl/crypto.h>

#include "mtfleet.h"

#define SLOTS_MAX 4096
#define SPEED_MAX 1000
#define DEFAULT_POLICY "default"

static const mt_field_t poolfields[] = {
    {"kind", MT_F_NAME, true, 0, 0},
    {"models", MT_F_NAMES, false, 0, 0},
    {"prompt_weight", MT_F_INT, false, 0, 1000},
    {"output_weight", MT_F_INT, false, 0, 1000},
    {"repeatable", MT_F_BOOL, false, 0, 0},
};

static const mt_field_t targetfields[] = {
    {"pool", MT_F_NAME, true, 0, 0},
    {"domain", MT_F_NAME, true, 0, 0},
    {"url", MT_F_URL, true, 0, 0},
    {"slots", MT_F_INT, true, 1, SLOTS_MAX},
    {"speed", MT_F_INT, false, 1, SPEED_MAX},
    {"leaving", MT_F_BOOL, false, 0, 0},
};

static const mt_field_t workspacefields[] = {
    {"key_sha256", MT_F_STRING, true, MT_DIGEST_HEX, MT_DIGEST_HEX},
    {"share", MT_F_INT, false, 1, MT_SHARE_MAX},
    {"max_waiting", MT_F_INT, false, 1, MT_WAITING_MAX},
    {"policy", MT_F_NAME, false, 0, 0},
    {"pools", MT_F_NAMES, false, 0, 0},
};

static const mt_field_t policyfields[] = {
    {"program", MT_F_STRING, true, 1, MT_PROGRAM_MAX},
    {"revision", MT_F_INT, true, 1, INT64_MAX},
};

/* {== Rows ============================================================= */

/* Checks a name and maps its id to the row's index; false on a fault. */
static bool register_name (mt_map_t *map, const char *name, size_t index,
                           mt_id_t *id, const char *path, mt_faults_t *fs) {
  if (!mtJ_isname(name)) {
    mtJ_fault(fs, path, "must be a name of [a-z0-9._-], at most %d bytes",
              MT_NAME_MAX);
    return false;
  }
  *id = mtV_id(name, strlen(name));
  if (mtV_get(map, *id) != NULL) {
    mtJ_fault(fs, path,
              "hashes to the same 32-bit id as another name; "
              "choose another name");
    return false;
  }
  mtV_put(map, *id, (void *)(uintptr_t)(index + 1));
  return true;
}

static void addpool (mt_fleet_t *F, const char *name, json_t *v,
                     const char *path, mt_faults_t *fs) {
  mtJ_check(v, path, poolfields, mt_countof(poolfields), fs);
  mt_pool_t *p = mtV_push(F->pools, F->npools, F->pools_cap);
  snprintf(p->name, sizeof p->name, "%s", name);
  if (!register_name(&F->pools_by_id, name, F->npools - 1, &p->id, path, fs))
    return;
  const char *kind = mtJ_str(v, "kind", "");
  if (strcmp(kind, "model") != 0 && strcmp(kind, "service") != 0)
    mtJ_fault(fs, path, "kind must be model or service");
  p->kind = strcmp(kind, "service") == 0 ? MT_POOL_SERVICE : MT_POOL_MODEL;
  p->promptweight = (int)mtJ_int(v, "prompt_weight", 1);
  p->outputweight = (int)mtJ_int(v, "output_weight", 1);
  p->repeatable = mtJ_int(v, "repeatable", 1) != 0;
  p->models = json_object_get(v, "models");
  size_t i;
  json_t *m;
  json_array_foreach (p->models, i, m) {
    const char *s = json_string_value(m);
    if (s == NULL) continue;
    mt_id_t mid = mtV_id(s, strlen(s));
    if (mtV_get(&F->models, mid))
      mtJ_fault(fs, path, "model %s is served by another pool", s);
    mtV_put(&F->models, mid, (void *)(uintptr_t)F->npools);
  }
}

static void addtarget (mt_fleet_t *F, const char *name, json_t *v,
                       const char *path, mt_faults_t *fs) {
  mtJ_check(v, path, targetfields, mt_countof(targetfields), fs);
  mt_target_t *t = mtV_push(F->targets, F->ntargets, F->targets_cap);
  snprintf(t->name, sizeof t->name, "%s", name);
  if (!register_name(&F->targets_by_id, name, F->ntargets - 1, &t->id, path,
                     fs))
    return;
  const char *pool = mtJ_str(v, "pool", "");
  t->pool = mtV_id(pool, strlen(pool));
  if (mtF_pool(F, t->pool) == NULL)
    mtJ_fault(fs, path, "pool %s is not declared", pool);
  snprintf(t->domain, sizeof t->domain, "%s", mtJ_str(v, "domain", ""));
  t->domainid = mtV_id(t->domain, strlen(t->domain));
  snprintf(t->url, sizeof t->url, "%s", mtJ_str(v, "url", ""));
  mtJ_address(t->url, t->ip, &t->port);
  t->slots = (int)mtJ_int(v, "slots", 1);
  t->speed = (int)mtJ_int(v, "speed", 1);
  t->drain = mtJ_int(v, "leaving", 0) != 0;
}

static void addworkspace (mt_fleet_t *F, const char *name, json_t *v,
                          const char *path, mt_faults_t *fs) {
  mtJ_check(v, path, workspacefields, mt_countof(workspacefields), fs);
  mt_workspace_t *w =
      mtV_push(F->workspaces, F->nworkspaces, F->workspaces_cap);
  snprintf(w->name, sizeof w->name, "%s", name);
  if (!register_name(&F->workspaces_by_id, name, F->nworkspaces - 1, &w->id,
                     path, fs))
    return;
  snprintf(w->keydigest, sizeof w->keydigest, "%s",
           mtJ_str(v, "key_sha256", ""));
  w->share = (int)mtJ_int(v, "share", 1);
  w->maxwaiting = (int)mtJ_int(v, "max_waiting", MT_WS_WAITING_DEFAULT);
  w->pools = json_object_get(v, "pools");
  uint64_t h = mtV_hash(w->keydigest, strlen(w->keydigest));
  if (mtV_get(&F->keys, h))
    mtJ_fault(fs, path, "key_sha256 is used by another workspace");
  mtV_put(&F->keys, h, (void *)(uintptr_t)F->nworkspaces);
  const char *policy = mtJ_str(v, "policy", NULL);
  if (policy == NULL) return;
  w->policy = mtV_id(policy, strlen(policy));
}

static void addpolicy (mt_fleet_t *F, const char *name, json_t *v,
                       const char *path, mt_faults_t *fs) {
  mtJ_check(v, path, policyfields, mt_countof(policyfields), fs);
  mt_policy_t *p = mtV_push(F->policies, F->npolicies, F->policies_cap);
  snprintf(p->name, sizeof p->name, "%s", name);
  if (!register_name(&F->policies_by_id, name, F->npolicies - 1, &p->id, path,
                     fs))
    return;
  p->revision = mtJ_int(v, "revision", 0);
  p->program = mtJ_str(v, "program", "");
}

/* }== */

/* {== Tables =========================================================== */

typedef void (*addrow_t)(mt_fleet_t *, const char *, json_t *, const char *,
                         mt_faults_t *);

static void addtable (mt_fleet_t *F, const char *table, size_t max,
                      addrow_t add, mt_faults_t *fs) {
  json_t *rows = json_object_get(F->doc, table);
  char path[128];
  snprintf(path, sizeof path, "$.%s", table);
  if (rows == NULL) return;
  if (!json_is_object(rows) || json_object_size(rows) > max) {
    mtJ_fault(fs, path, "must be an object of at most %zu entries", max);
    return;
  }
  const char *name;
  json_t *v;
  json_object_foreach (rows, name, v) {
    snprintf(path, sizeof path, "$.%s.%s", table, name);
    add(F, name, v, path, fs);
  }
}

static void checkkeys (const json_t *doc, mt_faults_t *fs) {
  static const char *const known[] = {"pools", "targets", "workspaces",
                                      "policies"};
  const char *name;
  json_t *v;
  json_object_foreach ((json_t *)doc, name, v) {
    bool found = false;
    for (size_t i = 0; i < mt_countof(known); i++)
      found |= strcmp(name, known[i]) == 0;
    if (!found) mtJ_fault(fs, name, "unknown key");
  }
}

/* Workspaces without a policy use the one called "default", if it exists. */
static void setdefault (mt_fleet_t *F) {
  mt_id_t id = mtV_id(DEFAULT_POLICY, strlen(DEFAULT_POLICY));
  if (mtF_policy(F, id) == NULL) return;
  for (size_t i = 0; i < F->nworkspaces; i++)
    if (F->workspaces[i].policy == 0) F->workspaces[i].policy = id;
}

static void checkpolicies (const mt_fleet_t *F, mt_faults_t *fs) {
  for (size_t i = 0; i < F->nworkspaces; i++) {
    const mt_workspace_t *w = &F->workspaces[i];
    if (w->policy == 0 || mtF_policy(F, w->policy)) continue;
    char path[128];
    snprintf(path, sizeof path, "$.workspaces.%s.policy", w->name);
    mtJ_fault(fs, path, "names no published policy");
  }
}

mt_fleet_t *mtF_new (json_t *doc, int64_t revision, mt_faults_t *fs) {
  if (!json_is_object(doc)) {
    mtJ_fault(fs, "$", "must be an object");
    return NULL;
  }
  mt_fleet_t *F = mtV_new(sizeof *F);
  F->doc = json_incref(doc);
  F->revision = revision;
  checkkeys(doc, fs);
  addtable(F, "pools", MT_POOLS_MAX, addpool, fs);
  addtable(F, "targets", MT_TARGETS_MAX, addtarget, fs);
  addtable(F, "policies", MT_WORKSPACES_MAX, addpolicy, fs);
  addtable(F, "workspaces", MT_WORKSPACES_MAX, addworkspace, fs);
  checkpolicies(F, fs);
  setdefault(F);
  if (fs->n == 0) return F;
  mtF_free(F);
  return NULL;
}

void mtF_free (mt_fleet_t *F) {
  if (F == NULL) return;
  free(F->pools);
  free(F->targets);
  free(F->workspaces);
  free(F->policies);
  mtV_free(&F->pools_by_id);
  mtV_free(&F->targets_by_id);
  mtV_free(&F->workspaces_by_id);
  mtV_free(&F->policies_by_id);
  mtV_free(&F->models);
  mtV_free(&F->keys);
  json_decref(F->doc);
  free(F);
}

/* }== */

/* {== Look-ups ========================================================= */

#define lookup(F, table, map, key)                             \
  (mtV_get(&(F)->map, (key))                                   \
       ? &(F)->table[(uintptr_t)mtV_get(&(F)->map, (key)) - 1] \
       : NULL)

const mt_pool_t *mtF_pool (const mt_fleet_t *F, mt_id_t id) {
  return lookup(F, pools, pools_by_id, id);
}

const mt_target_t *mtF_target (const mt_fleet_t *F, mt_id_t id) {
  return lookup(F, targets, targets_by_id, id);
}

const mt_workspace_t *mtF_workspace (const mt_fleet_t *F, mt_id_t id) {
  return lookup(F, workspaces, workspaces_by_id, id);
}

const mt_policy_t *mtF_policy (const mt_fleet_t *F, mt_id_t id) {
  return lookup(F, policies, policies_by_id, id);
}

const mt_pool_t *mtF_model (const mt_fleet_t *F, mt_bytes_t model) {
  return lookup(F, pools, models, mtV_id(model.p, model.n));
}

const mt_workspace_t *mtF_bykey (const mt_fleet_t *F, const char *digest) {
  const mt_workspace_t *w =
      lookup(F, workspaces, keys, mtV_hash(digest, strlen(digest)));
  if (w == NULL || CRYPTO_memcmp(w->keydigest, digest, MT_DIGEST_HEX) != 0)
    return NULL;
  return w;
}

bool mtF_mayuse (const mt_workspace_t *w, const mt_pool_t *p) {
  if (w->pools == NULL) return true;
  size_t i;
  json_t *e;
  json_array_foreach (w->pools, i, e) {
    if (strcmp(json_string_value(e), p->name) == 0) return true;
  }
  return false;
}

int mtF_section (const char *workspace) {
  return (int)(mtV_hash(workspace, strlen(workspace)) % MT_WS_SECTIONS);
}

/* }== */
