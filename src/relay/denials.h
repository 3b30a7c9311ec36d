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

#include "mtmem.h"
#include "revision.h"

/*
** Denials of each kind that are kept for subjects that the router's own
** configuration lacks. They matter only if a list that is out of date adds
** the subject later, so the oldest ones are dropped. Denials of what the
** configuration has are all kept: its size bounds them, and a dropped one
** would put a revoked key in use again.
*/
#define MT_DENIALS_MAX 256

typedef struct mt_denial_t {
  uint64_t id;       /* of the key or route, see below */
  mt_revision_t rev; /* source revision of the withdrawal */
  bool configured;   /* the router's own configuration has the subject */
} mt_denial_t;

typedef struct mt_denial_table_t {
  mt_denial_t *list;
  size_t count, cap;
  size_t configured;   /* how many of them are */
  mt_map_t slot_by_id; /* index in `list` + 1 */
} mt_denial_table_t;

/* All zero when empty. */
typedef struct mt_denials_t {
  mt_denial_table_t keys, routes;
} mt_denials_t;

void mt_denials_free (mt_denials_t *denials);

/* The id of a route that leads to a service; never 0. That of a key is
   mt_catalog_digest_key, as routers send each other digests of keys. */
uint64_t mt_denials_route_id (mt_id_t route, mt_id_t service);

/* Adds a denial as of a revision, unless a later one is known. */
void mt_denials_add (mt_denial_table_t *table, uint64_t id, mt_revision_t rev,
                     bool configured);

/* Lifts a denial that is older than the revision. */
void mt_denials_lift (mt_denial_table_t *table, uint64_t id,
                      mt_revision_t rev);

bool mt_denials_has (const mt_denial_table_t *table, uint64_t id);
bool mt_denials_has_key (const mt_denials_t *denials, mt_bytes_t key);
bool mt_denials_has_route (const mt_denials_t *denials, mt_id_t route,
                           mt_id_t service);

/* The configuration has changed: sets whether it has the subject of the
   denial at this index. */
void mt_denials_set_configured (mt_denial_table_t *table, size_t index,
                                bool configured);

/* Drops denials up to `rev`, the revision of the configuration now in force:
   it contains those changes itself. */
void mt_denials_prune (mt_denials_t *denials, mt_revision_t rev);

#endif
