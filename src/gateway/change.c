/*
** change.c - one change of the configuration, as routers gossip it
*/
#include <stdio.h>
#include <string.h>

#include "change.h"

mt_change_subject_t mt_change_subject (mt_change_kind_t kind) {
  switch (kind) {
    case MT_CHANGE_ENGINE_READY:
    case MT_CHANGE_ENGINE_DRAINING:
    case MT_CHANGE_ENGINE_GONE: return MT_SUBJECT_ENGINE;
    case MT_CHANGE_DOMAIN_EVACUATED:
    case MT_CHANGE_DOMAIN_REINSTATED: return MT_SUBJECT_DOMAIN;
    case MT_CHANGE_KEY_REVOKED:
    case MT_CHANGE_KEY_GRANTED: return MT_SUBJECT_KEY;
    case MT_CHANGE_ROUTE_REMOVED:
    case MT_CHANGE_ROUTE_ADDED: return MT_SUBJECT_ROUTE;
    case MT_CHANGE_OTHER:
    case MT_CHANGE_KINDS: break;
  }
  return MT_SUBJECT_OTHER;
}

mt_feed_kind_t mt_change_feed (mt_change_kind_t kind) {
  bool engine = mt_change_subject(kind) == MT_SUBJECT_ENGINE;
  return engine ? MT_FEED_ENGINES : MT_FEED_DECLARATIONS;
}

bool mt_change_is_withdrawal (mt_change_kind_t kind) {
  switch (kind) {
    case MT_CHANGE_ENGINE_DRAINING:
    case MT_CHANGE_ENGINE_GONE:
    case MT_CHANGE_DOMAIN_EVACUATED:
    case MT_CHANGE_KEY_REVOKED:
    case MT_CHANGE_ROUTE_REMOVED: return true;
    case MT_CHANGE_ENGINE_READY:
    case MT_CHANGE_DOMAIN_REINSTATED:
    case MT_CHANGE_KEY_GRANTED:
    case MT_CHANGE_ROUTE_ADDED:
    case MT_CHANGE_OTHER:
    case MT_CHANGE_KINDS: break;
  }
  return false;
}

bool mt_change_same_subject (const mt_change_t *a, const mt_change_t *b) {
  return mt_change_subject(a->kind) == mt_change_subject(b->kind) &&
         strcmp(a->name, b->name) == 0;
}

mt_change_t mt_change_make (mt_change_kind_t kind, const char *name,
                            mt_revision_t rev) {
  mt_change_t change = {.kind = kind, .rev = rev};
  snprintf(change.name, sizeof change.name, "%s", name);
  return change;
}

mt_change_t mt_change_make_route (mt_change_kind_t kind, mt_id_t route,
                                  mt_id_t service, mt_revision_t rev) {
  mt_change_t change = {.kind = kind, .rev = rev};
  snprintf(change.name, sizeof change.name, "%08x %08x", route, service);
  change.u.path.route = route;
  change.u.path.service = service;
  return change;
}
