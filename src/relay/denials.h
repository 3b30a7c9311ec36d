/*
** denials.h - keys and routes that other routers report as withdrawn
**
** A router that cannot read the configuration from its source still learns
** from other routers that a key was revoked or that a route no longer leads
** to a service. It then refuses what its own configuration would allow, until
** it has read a newer one.
*/
#ifndef denials_h
#define denials_h

#include "revision.h"

typedef struct mt_denied_key_t {
  /* SHA-256 of the key, hexadecimal: routers do not send each other keys. */
  char digest[MT_DIGEST_HEX + 1];
  mt_revision_t rev; /* source revision of the revocation */
} mt_denied_key_t;

typedef struct mt_denied_route_t {
  mt_id_t route, service;
  mt_revision_t rev;
} mt_denied_route_t;

#define MT_DENIALS_MAX 256 /* of each kind; further ones are ignored */

typedef struct mt_denials_t {
  mt_denied_key_t keys[MT_DENIALS_MAX];
  size_t keys_count;
  mt_denied_route_t routes[MT_DENIALS_MAX];
  size_t routes_count;
} mt_denials_t;

/* Adds a denial (`on`) or lifts it. */
void mt_denials_set_key (mt_denials_t *denials, const char *digest,
                         mt_revision_t rev, bool on);
void mt_denials_set_route (mt_denials_t *denials, mt_id_t route,
                           mt_id_t service, mt_revision_t rev, bool on);

bool mt_denials_has_key (const mt_denials_t *denials, mt_bytes_t key);
bool mt_denials_has_route (const mt_denials_t *denials, mt_id_t route,
                           mt_id_t service);

/* Drops denials up to `rev`, the revision of the configuration now in force:
   it contains those changes itself. */
void mt_denials_prune (mt_denials_t *denials, mt_revision_t rev);

#endif
