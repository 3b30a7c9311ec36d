/*
** mtset.c - a router's settings, read from one JSON file
*/
#include <stdio.h>
#include <string.h>

#include "mtlog.h"
#include "mtmem.h"
#include "mtset.h"

static const mt_field_t fields[] = {
    {"node", MT_F_NAME, true, 0, 0},
    {"domain", MT_F_NAME, true, 0, 0},
    {"region", MT_F_NAME, false, 0, 0},
    {"callers", MT_F_ADDRESS, true, 0, 0},
    {"operators", MT_F_ADDRESS, true, 0, 0},
    {"peers", MT_F_ADDRESS, true, 0, 0},
    {"advertise", MT_F_ADDRESS, false, 0, 0},
    {"store", MT_F_URL, true, 0, 0},
    {"seeds", MT_F_STRINGS, false, 1, 80},
    {"peer_keys", MT_F_STRINGS, true, 2 * MT_PEER_KEY_BYTES,
     2 * MT_PEER_KEY_BYTES},
    {"routes", MT_F_OBJECT, false, 0, 0},
    {"log", MT_F_NAME, false, 0, 0},
    {"sharing", MT_F_NAME, false, 0, 0},
};

static bool unhex (const char *s, unsigned char *out, size_t n) {
  for (size_t i = 0; i < n; i++) {
    unsigned v;
    if (strspn(s + 2 * i, "0123456789abcdef") < 2) return false;
    if (sscanf(s + 2 * i, "%2x", &v) != 1) return false;
    out[i] = (unsigned char)v;
  }
  return true;
}

static void readseeds (const json_t *doc, mt_settings_t *set,
                       mt_faults_t *fs) {
  size_t i;
  json_t *e;
  json_array_foreach (json_object_get(doc, "seeds"), i, e) {
    char where[32];
    snprintf(where, sizeof where, "$.seeds[%zu]", i);
    const char *s = json_string_value(e);
    if (i >= MT_SEEDS_MAX) {
      mtJ_fault(fs, where, "more than %d seeds", MT_SEEDS_MAX);
      return;
    }
    mt_addr_t *a = &set->seeds[set->nseeds];
    if (s == NULL) continue;
    if (!mtJ_address(s, a->ip, &a->port))
      mtJ_fault(fs, where, "must be \"IP:PORT\"");
    else
      set->nseeds++;
  }
}

static void readkeys (const json_t *doc, mt_settings_t *set,
                      mt_faults_t *fs) {
  const json_t *keys = json_object_get(doc, "peer_keys");
  size_t i;
  json_t *e;
  if (json_is_array(keys) && (json_array_size(keys) == 0 ||
                              json_array_size(keys) > MT_PEER_KEYS_MAX))
    mtJ_fault(fs, "$.peer_keys", "must hold 1 to %d keys", MT_PEER_KEYS_MAX);
  json_array_foreach (keys, i, e) {
    const char *s = json_string_value(e);
    if (i >= MT_PEER_KEYS_MAX || s == NULL ||
        strlen(s) != 2 * MT_PEER_KEY_BYTES)
      continue;
    char where[32];
    snprintf(where, sizeof where, "$.peer_keys[%zu]", i);
    if (unhex(s, set->keys[set->nkeys], MT_PEER_KEY_BYTES))
      set->nkeys++;
    else
      mtJ_fault(fs, where, "must be lower-case hexadecimal");
  }
}

static void read_overrides (const json_t *doc, mt_settings_t *set,
                            mt_faults_t *fs) {
  const char *name;
  json_t *v;
  json_object_foreach (json_object_get(doc, "routes"), name, v) {
    char where[128];
    snprintf(where, sizeof where, "$.routes.%s", name);
    mt_addr_override_t *r = &set->overrides[set->noverrides];
    const char *s = json_string_value(v);
    if (set->noverrides >= MT_ADDR_OVERRIDES_MAX) {
      mtJ_fault(fs, where, "more than %d routes", MT_ADDR_OVERRIDES_MAX);
      return;
    }
    r->id = mtV_id(name, strlen(name));
    if (s == NULL || !mtJ_address(s, r->addr.ip, &r->addr.port))
      mtJ_fault(fs, where, "must be \"IP:PORT\"");
    else
      set->noverrides++;
  }
}

mt_addr_t mtC_resolve (const mt_settings_t *set, mt_id_t id,
                       const mt_addr_t *addr) {
  for (size_t i = 0; i < set->noverrides; i++)
    if (set->overrides[i].id == id) return set->overrides[i].addr;
  return *addr;
}

static int loglevel (const json_t *doc, mt_faults_t *fs) {
  const char *s = mtJ_str(doc, "log", "info");
  if (strcmp(s, "error") == 0) return MT_ERR;
  if (strcmp(s, "warning") == 0) return MT_WARN;
  if (strcmp(s, "info") == 0) return MT_INFO;
  if (strcmp(s, "debug") == 0) return MT_DEBUG;
  mtJ_fault(fs, "$.log", "must be error, warning, info or debug");
  return MT_INFO;
}

static void readsharing (const json_t *doc, mt_settings_t *set,
                         mt_faults_t *fs) {
  const char *s = mtJ_str(doc, "sharing", "fleet");
  set->standalone = strcmp(s, "alone") == 0;
  set->fifo = strcmp(s, "fifo") == 0;
  set->pinned = strcmp(s, "pinned") == 0;
  if (!set->standalone && !set->fifo && !set->pinned &&
      strcmp(s, "fleet") != 0)
    mtJ_fault(fs, "$.sharing", "must be fleet, alone, fifo or pinned");
}

static void read_address (const json_t *doc, const char *name, mt_addr_t *a) {
  const char *s = mtJ_str(doc, name, NULL);
  if (s != NULL && !mtJ_address(s, a->ip, &a->port)) memset(a, 0, sizeof *a);
}

bool mtC_parse (const json_t *doc, mt_settings_t *set, mt_faults_t *fs) {
  memset(set, 0, sizeof *set);
  mtJ_check(doc, "$", fields, mt_countof(fields), fs);
  if (!json_is_object(doc)) return false;
  snprintf(set->node, sizeof set->node, "%s", mtJ_str(doc, "node", ""));
  snprintf(set->domain, sizeof set->domain, "%s", mtJ_str(doc, "domain", ""));
  snprintf(set->region, sizeof set->region, "%s",
           mtJ_str(doc, "region", "one"));
  read_address(doc, "callers", &set->callers);
  read_address(doc, "operators", &set->operators);
  read_address(doc, "peers", &set->peers);
  set->advertise = set->peers;
  read_address(doc, "advertise", &set->advertise);
  read_address(doc, "store", &set->store);
  readseeds(doc, set, fs);
  readkeys(doc, set, fs);
  read_overrides(doc, set, fs);
  readsharing(doc, set, fs);
  set->loglevel = loglevel(doc, fs);
  return fs->n == 0;
}

bool mtC_read (const char *file, mt_settings_t *set, mt_faults_t *fs) {
  json_error_t err;
  json_t *doc = json_load_file(file, JSON_REJECT_DUPLICATES, &err);
  if (doc == NULL) {
    char where[64];
    snprintf(where, sizeof where, "line %d, column %d", err.line, err.column);
    mtJ_fault(fs, where, "%s", err.text);
    return false;
  }
  bool ok = mtC_parse(doc, set, fs);
  json_decref(doc);
  return ok;
}
