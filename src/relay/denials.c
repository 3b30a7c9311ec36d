/*
** denials.c - keys and routes that other routers report as withdrawn
*/
#include <stdio.h>
#include <string.h>

#include "denials.h"
#include "mtcrypt.h"

/* The index of the key's denial, or the count if there is none. */
static size_t find_key (const mt_denials_t *d, const char *digest) {
  size_t i = 0;
  while (i < d->keys_count && strcmp(d->keys[i].digest, digest) != 0) i++;
  return i;
}

static size_t find_route (const mt_denials_t *d, mt_id_t route,
                          mt_id_t service) {
  size_t i = 0;
  while (i < d->routes_count &&
         (d->routes[i].route != route || d->routes[i].service != service))
    i++;
  return i;
}

void mt_denials_set_key (mt_denials_t *d, const char *digest,
                         mt_revision_t rev, bool on) {
  size_t at = find_key(d, digest);
  if (!on && at < d->keys_count) d->keys[at] = d->keys[--d->keys_count];
  if (!on || at == MT_DENIALS_MAX) return;
  if (at == d->keys_count) d->keys_count++;
  snprintf(d->keys[at].digest, sizeof d->keys[at].digest, "%s", digest);
  d->keys[at].rev = rev;
}

void mt_denials_set_route (mt_denials_t *d, mt_id_t route, mt_id_t service,
                           mt_revision_t rev, bool on) {
  size_t at = find_route(d, route, service);
  if (!on && at < d->routes_count)
    d->routes[at] = d->routes[--d->routes_count];
  if (!on || at == MT_DENIALS_MAX) return;
  if (at == d->routes_count) d->routes_count++;
  d->routes[at] = (mt_denied_route_t){route, service, rev};
}

bool mt_denials_has_key (const mt_denials_t *d, mt_bytes_t key) {
  char digest[MT_DIGEST_HEX + 1];
  if (d->keys_count == 0) return false; /* the usual case needs no hash */
  mtH_sha256(key.p, key.n, digest);
  return find_key(d, digest) < d->keys_count;
}

bool mt_denials_has_route (const mt_denials_t *d, mt_id_t route,
                           mt_id_t service) {
  return find_route(d, route, service) < d->routes_count;
}

void mt_denials_prune (mt_denials_t *d, mt_revision_t rev) {
  for (size_t i = d->keys_count; i-- > 0;)
    if (d->keys[i].rev <= rev) d->keys[i] = d->keys[--d->keys_count];
  for (size_t i = d->routes_count; i-- > 0;)
    if (d->routes[i].rev <= rev) d->routes[i] = d->routes[--d->routes_count];
}
