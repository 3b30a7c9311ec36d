/*
** denials.h - what other routers say is no longer allowed
**
** A router that the source of declarations turns away still hears from
** others that a key was revoked or that a route no longer leads to a
** service. It then refuses what its own declarations would allow, until it
** has read newer ones.
*/
#ifndef denials_h
#define denials_h

#include "revision.h"

typedef struct mt_denied_key_t {
  char digest[MT_DIGEST_HEX + 1]; /* of the key, never the key itself */
  mt_revision_t rev;              /* of the source, as it was revoked */
} mt_denied_key_t;

typedef struct mt_denied_route_t {
  mt_id_t route, service;
  mt_revision_t rev;
} mt_denied_route_t;

#define MT_DENIALS_MAX 256 /* of each kind; more are passed over */

typedef struct mt_denials_t {
  mt_denied_key_t keys[MT_DENIALS_MAX];
  size_t keys_count;
  mt_denied_route_t routes[MT_DENIALS_MAX];
  size_t routes_count;
} mt_denials_t;

/* Denies something (`on`) or allows it again. */
void mt_denials_set_key (mt_denials_t *denials, const char *digest,
                         mt_revision_t rev, bool on);
void mt_denials_set_route (mt_denials_t *denials, mt_id_t route,
                           mt_id_t service, mt_revision_t rev, bool on);

bool mt_denials_has_key (const mt_denials_t *denials, mt_bytes_t key);
bool mt_denials_has_route (const mt_denials_t *denials, mt_id_t route,
                           mt_id_t service);

/* The declarations of that revision are in force: they say it themselves. */
void mt_denials_prune (mt_denials_t *denials, mt_revision_t rev);

#endif
