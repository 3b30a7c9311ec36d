/*
** catalog.c - one version of the operators' configuration
*/
#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "catalog.h"
#include "mtcrypt.h"

static char *copy (const char *text) {
  char *p = strdup(text);
  if (p == NULL) abort();
  return p;
}

/* Hosts are compared without regard to case and without their port. */
static uint64_t host_hash (mt_bytes_t host) {
  char lower[MT_URL_MAX];
  size_t n = 0;
  while (n < host.n && n < sizeof lower && host.p[n] != ':') {
    lower[n] = (char)tolower((unsigned char)host.p[n]);
    n++;
  }
  return mtV_hash(lower, n) | 1;
}

static uint64_t key_hash (mt_bytes_t key) {
  return mtV_hash(key.p, key.n) | 1;
}

static mt_bytes_t bytes_of (const char *text) {
  return (mt_bytes_t){text, strlen(text)};
}

mt_catalog_t *mt_catalog_new (int64_t version) {
  mt_catalog_t *c = mtV_new(sizeof *c);
  c->version = version;
  return c;
}

static void free_keys (mt_catalog_key_t *key) {
  while (key != NULL) {
    mt_catalog_key_t *next = key->next;
    free(key);
    key = next;
  }
}

void mt_catalog_free (mt_catalog_t *c) {
  if (c == NULL) return;
  for (size_t i = 0; i < c->routes_count; i++) {
    free(c->routes[i].name);
    free(c->routes[i].host);
    free(c->routes[i].prefix);
  }
  for (size_t i = 0; i < c->services_count; i++) free(c->services[i].name);
  for (size_t i = 0; i < c->workspaces_count; i++)
    free(c->workspaces[i].name);
  free(c->routes);
  free(c->services);
  free(c->workspaces);
  mtV_each (&c->keys, i) free_keys(c->keys.vals[i]);
  mtV_free(&c->keys);
  mtV_free(&c->digests);
  mtV_free(&c->hosts);
  mtV_free(&c->routes_by_id);
  mtV_free(&c->services_by_id);
  free(c);
}

/* Makes the entry that was added last the first one of its chain in an index;
   returns the one that was the first, as its number + 1; 0: none. */
static size_t chain (mt_map_t *index, uint64_t key, size_t count) {
  size_t next = (size_t)(uintptr_t)mtV_get(index, key);
  mtV_put(index, key, (void *)(uintptr_t)count);
  return next;
}

mt_catalog_route_t *mt_catalog_add_route (mt_catalog_t *c, const char *name,
                                          const char *host,
                                          const char *prefix) {
  mt_catalog_route_t *r = mtV_push(c->routes, c->routes_count, c->routes_cap);
  *r = (mt_catalog_route_t){.attempts = 1};
  r->name = copy(name);
  r->host = copy(host);
  r->prefix = copy(prefix);
  r->prefix_size = strlen(prefix);
  r->id = mtV_id(name, strlen(name));
  r->next_same_host =
      chain(&c->hosts, host_hash(bytes_of(host)), c->routes_count);
  r->next_same_id = chain(&c->routes_by_id, r->id, c->routes_count);
  return r;
}

mt_catalog_service_t *mt_catalog_add_service (mt_catalog_t *c,
                                              const char *name) {
  mt_catalog_service_t *s =
      mtV_push(c->services, c->services_count, c->services_cap);
  *s = (mt_catalog_service_t){.name = copy(name)};
  s->id = mtV_id(name, strlen(name));
  if (mtV_get(&c->services_by_id, s->id) == NULL)
    mtV_put(&c->services_by_id, s->id, (void *)(uintptr_t)c->services_count);
  return s;
}

mt_catalog_workspace_t *mt_catalog_add_workspace (mt_catalog_t *c,
                                                  const char *name) {
  mt_catalog_workspace_t *w =
      mtV_push(c->workspaces, c->workspaces_count, c->workspaces_cap);
  *w = (mt_catalog_workspace_t){.name = copy(name), .priority = -1};
  w->id = mtV_id(name, strlen(name));
  return w;
}

void mt_catalog_add_key (mt_catalog_t *c, const char *text) {
  char digest[MT_DIGEST_HEX + 1];
  size_t size = strlen(text);
  uint64_t hash = key_hash(bytes_of(text));
  mt_catalog_key_t *key = mtV_new(sizeof *key + size + 1);
  key->next = mtV_get(&c->keys, hash);
  key->workspace = c->workspaces_count - 1;
  key->size = size;
  memcpy(key->text, text, size);
  mtV_put(&c->keys, hash, key);
  mtH_sha256(text, size, digest);
  mtV_put(&c->digests, mt_catalog_digest_key(digest), key);
}

/* Compares in constant time, so that timing does not reveal a key. */
static bool equals_key (const mt_catalog_key_t *key, mt_bytes_t given) {
  unsigned char difference = 0;
  if (key->size != given.n) return false;
  for (size_t i = 0; i < given.n; i++)
    difference |= (unsigned char)(key->text[i] ^ given.p[i]);
  return difference == 0;
}

static mt_ms_t shorter (mt_ms_t a, mt_ms_t b) {
  return a != 0 && b != 0 ? mt_min(a, b) : mt_max(a, b);
}

static mt_catalog_service_t *find_service (const mt_catalog_t *c,
                                           mt_id_t id) {
  size_t number = (size_t)(uintptr_t)mtV_get(&c->services_by_id, id);
  return number == 0 ? NULL : &c->services[number - 1];
}

/* Sets what a service has by one of its stream routes. */
static void set_stream_times (const mt_catalog_t *c,
                              const mt_catalog_route_t *r) {
  mt_ms_t timeout = r->timeout != 0 ? r->timeout : MT_WAIT_MAX_MS;
  for (int i = 0; i < r->splits; i++) {
    mt_catalog_service_t *s = find_service(c, r->split[i].service);
    if (s == NULL) continue;
    s->objective = shorter(s->objective, r->objective);
    s->longest_stream = mt_max(s->longest_stream, timeout);
  }
}

void mt_catalog_complete (mt_catalog_t *c) {
  for (size_t i = 0; i < c->routes_count; i++)
    if (c->routes[i].kind == MT_ROUTE_STREAM)
      set_stream_times(c, &c->routes[i]);
}

const mt_catalog_route_t *mt_catalog_find_route (const mt_catalog_t *c,
                                                 mt_bytes_t host,
                                                 mt_bytes_t path) {
  const mt_catalog_route_t *best = NULL;
  size_t i = (size_t)(uintptr_t)mtV_get(&c->hosts, host_hash(host));
  for (; i != 0; i = c->routes[i - 1].next_same_host) {
    const mt_catalog_route_t *r = &c->routes[i - 1];
    if (r->prefix_size > path.n) continue;
    if (memcmp(r->prefix, path.p, r->prefix_size) != 0) continue;
    if (best == NULL || r->prefix_size > best->prefix_size) best = r;
  }
  return best;
}

const mt_catalog_workspace_t *
mt_catalog_find_workspace (const mt_catalog_t *c, mt_bytes_t key) {
  const mt_catalog_key_t *k = mtV_get(&c->keys, key_hash(key));
  while (k != NULL && !equals_key(k, key)) k = k->next;
  return k == NULL ? NULL : &c->workspaces[k->workspace];
}

const mt_catalog_service_t *mt_catalog_find_service (const mt_catalog_t *c,
                                                     mt_id_t id) {
  return find_service(c, id);
}

bool mt_catalog_route_leads_to (const mt_catalog_route_t *r,
                                mt_id_t service) {
  for (int i = 0; r != NULL && i < r->splits; i++)
    if (r->split[i].service == service && r->split[i].weight > 0) return true;
  return false;
}

const mt_catalog_route_t *mt_catalog_next_route (const mt_catalog_t *c,
                                                 const mt_catalog_route_t *r,
                                                 mt_id_t id) {
  size_t next = r != NULL ? r->next_same_id
                          : (size_t)(uintptr_t)mtV_get(&c->routes_by_id, id);
  return next == 0 ? NULL : &c->routes[next - 1];
}

bool mt_catalog_routes_to (const mt_catalog_t *c, mt_id_t route,
                           mt_id_t service) {
  const mt_catalog_route_t *r = mt_catalog_next_route(c, NULL, route);
  while (r != NULL && !mt_catalog_route_leads_to(r, service))
    r = mt_catalog_next_route(c, r, route);
  return r != NULL;
}

uint64_t mt_catalog_digest_key (const char *digest) {
  return mtV_hash(digest, strlen(digest)) | 1;
}
