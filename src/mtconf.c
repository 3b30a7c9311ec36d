/*
** mtconf.c - fetches configuration revisions and puts them in force
*/
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mtconf.h"
#include "mtcrypt.h"
#include "mtmember.h"
#include "mtpolicy.h"

#define REQUEST_RETRY_MS 1000 /* before missing parts are requested again */

/* {== Configuration document =========================================== */

static void putpart (json_t *parts, const char *name, const json_t *value) {
  char *text = json_dumps(value, JSON_COMPACT | JSON_SORT_KEYS);
  json_object_set_new(parts, name, json_string(text));
  free(text);
}

json_t *mtK_split (const json_t *doc) {
  json_t *parts = json_object();
  static const char *const whole[] = {"pools", "targets"};
  for (size_t i = 0; i < mt_countof(whole); i++) {
    const json_t *v = json_object_get(doc, whole[i]);
    if (v != NULL) putpart(parts, whole[i], v);
  }
  const char *name;
  json_t *v;
  json_t *workspace_sections = json_object();
  char key[MT_NAME_MAX + 32];
  json_object_foreach (json_object_get(doc, "workspaces"), name, v) {
    snprintf(key, sizeof key, "workspaces/%d", mtF_section(name));
    if (json_object_get(workspace_sections, key) == NULL)
      json_object_set_new(workspace_sections, key, json_object());
    json_object_set(json_object_get(workspace_sections, key), name, v);
  }
  json_object_foreach (workspace_sections, name, v) putpart(parts, name, v);
  json_decref(workspace_sections);
  json_object_foreach (json_object_get(doc, "policies"), name, v) {
    snprintf(key, sizeof key, "policies/%s", name);
    putpart(parts, key, v);
  }
  return parts;
}

static void joinpart (json_t *doc, const char *name, json_t *value) {
  const char *slash = strchr(name, '/');
  if (slash == NULL) {
    json_object_set(doc, name, value);
  } else if (strncmp(name, "workspaces/", 11) == 0) {
    json_object_update(json_object_get(doc, "workspaces"), value);
  } else if (strncmp(name, "policies/", 9) == 0) {
    json_object_set(json_object_get(doc, "policies"), slash + 1, value);
  }
}

json_t *mtK_join (const json_t *parts, mt_faults_t *fs) {
  json_t *doc = json_pack("{s:{},s:{},s:{},s:{}}", "pools", "targets",
                          "workspaces", "policies");
  const char *name;
  json_t *text;
  json_object_foreach ((json_t *)parts, name, text) {
    json_error_t err;
    json_t *v = json_loads(
        json_string_value(text) ? json_string_value(text) : "", 0, &err);
    if (v == NULL || !json_is_object(v))
      mtJ_fault(fs, name, "is not a JSON object: %s",
                v ? "another JSON type" : err.text);
    else
      joinpart(doc, name, v);
    json_decref(v);
  }
  if (fs->n == 0) return doc;
  json_decref(doc);
  return NULL;
}

/* }== */

/* {== Parts ============================================================ */

static uint64_t partkey (const char *digest) {
  return mtV_hash(digest, strlen(digest)) | 1;
}

static const char *find_part (const mt_state_t *S, const char *digest) {
  return mtV_get(&S->conf.parts, partkey(digest));
}

static void abandon_wanted (mt_state_t *S) {
  free(S->conf.wantedhead);
  S->conf.wantedhead = NULL;
  S->conf.wanted = 0;
}

/* Frees the parts that `sections` does not refer to. */
static void drop_unused (mt_state_t *S, const json_t *sections) {
  mt_map_t kept = {0};
  const char *name;
  json_t *v;
  json_object_foreach ((json_t *)sections, name, v) {
    uint64_t key = partkey(json_string_value(v));
    void *text = mtV_del(&S->conf.parts, key);
    if (text != NULL) mtV_put(&kept, key, text);
  }
  mtV_each (&S->conf.parts, i) free(S->conf.parts.vals[i]);
  mtV_free(&S->conf.parts);
  S->conf.parts = kept;
}

/* }== */

/* {== Applying a revision ============================================== */

static void apply (mt_state_t *S, mt_fleet_t *F) {
  uint64_t failures = 0;
  S->policies = mtP_open(F, S->policies, &failures);
  mtA_add(&S->counts, MT_C_POLICY_FAILED, failures);
  mtF_free(S->fleet);
  S->fleet = F;
  S->conf.revision = F->revision;
  S->conf.applied_at = S->now;
  S->members.epoch++;
  mtR_count(S, MT_C_CONFIG_APPLIED);
  mtR_log(S, MT_INFO, MT_L_CONFIG,
          "revision %lld in force: %zu workspaces, %zu targets",
          (long long)F->revision, F->nworkspaces, F->ntargets);
}

static json_t *collect_parts (const mt_state_t *S, const json_t *sections) {
  json_t *parts = json_object();
  const char *name;
  json_t *v;
  json_object_foreach ((json_t *)sections, name, v) {
    const char *text = find_part(S, json_string_value(v));
    mt_assert(text != NULL);
    json_object_set_new(parts, name, json_string(text));
  }
  return parts;
}

static void apply_wanted (mt_state_t *S, const json_t *sections) {
  mt_faults_t fs = {.n = 0};
  json_t *parts = collect_parts(S, sections);
  json_t *doc = mtK_join(parts, &fs);
  mt_fleet_t *F = doc ? mtF_new(doc, S->conf.wanted, &fs) : NULL;
  if (F == NULL) {
    mtR_count(S, MT_C_CONFIG_BAD);
    mtR_log(S, MT_ERR, MT_L_CONFIG, "revision %lld rejected: %s: %s",
            (long long)S->conf.wanted, fs.at[0].where, fs.at[0].reason);
    S->conf.rejected = S->conf.wanted;
    abandon_wanted(S);
  } else {
    apply(S, F);
    drop_unused(S, sections);
    free(S->conf.head);
    S->conf.head = S->conf.wantedhead;
    S->conf.wantedhead = NULL;
    S->conf.wanted = 0;
  }
  json_decref(doc);
  json_decref(parts);
}

static void request_part (mt_state_t *S, mt_id_t from, const char *digest) {
  if (from == 0) {
    mt_effect_t *fx = mtR_effect(S, MT_FX_GET_CONFIG_PART, 0);
    snprintf(fx->u.digest, sizeof fx->u.digest, "%s", digest);
    return;
  }
  mt_msg_t m = {.kind = MT_M_PART_REQUEST};
  m.u.part.digest = (mt_bytes_t){digest, strlen(digest)};
  mtR_send(S, from, &m);
}

/* True when `sections` is {name: digest}. */
static bool valid_sections (const json_t *sections) {
  if (!json_is_object(sections)) return false;
  const char *name;
  json_t *v;
  json_object_foreach ((json_t *)sections, name, v) {
    if (!json_is_string(v) || json_string_length(v) != MT_DIGEST_HEX)
      return false;
  }
  return true;
}

/*
** Puts the wanted revision in force if no part is missing. With `request`,
** requests missing parts from a peer, or from the store if `from` is 0.
*/
static void fetch_or_apply (mt_state_t *S, mt_id_t from, bool request) {
  if (S->conf.wanted == 0) return;
  json_t *head = json_loads(S->conf.wantedhead, 0, NULL);
  json_t *sections = json_object_get(head, "sections");
  size_t missing = 0;
  const char *name;
  json_t *v;
  if (!valid_sections(sections) ||
      mtJ_int(head, "revision", 0) != S->conf.wanted) {
    mtR_count(S, MT_C_CONFIG_BAD);
    mtR_log(S, MT_ERR, MT_L_CONFIG,
            "head of revision %lld is malformed: expected sections "
            "{name: digest} and the same revision",
            (long long)S->conf.wanted);
    abandon_wanted(S);
    goto done;
  }
  json_object_foreach (sections, name, v) {
    if (find_part(S, json_string_value(v))) continue;
    missing++;
    if (request) request_part(S, from, json_string_value(v));
  }
  if (request) S->conf.requested_at = S->now;
  if (missing == 0) apply_wanted(S, sections);
done:
  json_decref(head);
}

void mtK_recv_head (mt_state_t *S, mt_id_t from, int64_t revision,
                    mt_bytes_t text) {
  if (revision <= S->conf.revision || revision <= S->conf.wanted ||
      revision == S->conf.rejected) {
    if (revision < S->conf.revision) mtR_count(S, MT_C_CONFIG_OLD);
    return;
  }
  abandon_wanted(S);
  S->conf.wanted = revision;
  S->conf.wantedhead = mtV_new(text.n + 1);
  memcpy(S->conf.wantedhead, text.p, text.n);
  S->conf.wantedfrom = from;
  fetch_or_apply(S, from, true);
}

void mtK_store_reply (mt_state_t *S, const mt_event_t *ev) {
  S->conf.watching = false;
  S->conf.nextpoll = S->now;
  if (ev->u.config_head.status == 200) {
    S->conf.store_replied = true;
    S->conf.store_revision =
        mt_max(S->conf.store_revision, ev->u.config_head.store_revision);
    mtK_recv_head(S, 0, ev->u.config_head.revision, ev->u.config_head.text);
  } else if (ev->u.config_head.status == 0) {
    S->conf.nextpoll =
        S->now + REQUEST_RETRY_MS + mtV_random(&S->random) % REQUEST_RETRY_MS;
  } else {
    S->conf.store_replied = true;
  }
}

bool mtK_recv_part (mt_state_t *S, mt_bytes_t digest, mt_bytes_t text) {
  char real[MT_DIGEST_HEX + 1];
  mtH_sha256(text.p, text.n, real);
  if (digest.n != MT_DIGEST_HEX || memcmp(real, digest.p, MT_DIGEST_HEX) != 0)
    return false;
  if (S->conf.wanted == 0 || find_part(S, real)) return true;
  char *copy = mtV_new(text.n + 1);
  memcpy(copy, text.p, text.n);
  mtV_put(&S->conf.parts, partkey(real), copy);
  fetch_or_apply(S, 0, false);
  return true;
}

/* }== */

/* {== Peers and timers ================================================= */

void mtK_head_request (mt_state_t *S, mt_id_t from, int64_t revision) {
  if (S->conf.head == NULL || revision >= S->conf.revision) return;
  mt_msg_t m = {.kind = MT_M_HEAD};
  m.u.head.revision = S->conf.revision;
  m.u.head.text = (mt_bytes_t){S->conf.head, strlen(S->conf.head)};
  mtR_send(S, from, &m);
}

void mtK_part_request (mt_state_t *S, mt_id_t from, mt_bytes_t digest) {
  char name[MT_DIGEST_HEX + 1] = "";
  if (digest.n != MT_DIGEST_HEX) return;
  memcpy(name, digest.p, MT_DIGEST_HEX);
  const char *text = find_part(S, name);
  if (text == NULL) return;
  mt_msg_t m = {.kind = MT_M_PART};
  m.u.part.digest = digest;
  m.u.part.text = (mt_bytes_t){text, strlen(text)};
  mtR_send(S, from, &m);
}

void mtK_peer_revision (mt_state_t *S, mt_id_t from, int64_t revision) {
  if (revision <= S->conf.revision || revision <= S->conf.wanted ||
      revision == S->conf.rejected)
    return;
  mt_msg_t m = {.kind = MT_M_HEAD_REQUEST};
  m.u.head.revision = S->conf.revision;
  mtR_send(S, from, &m);
}

static bool iswatcher (mt_state_t *S) {
  mt_member_t *self = S->members.self;
  for (int r = 0; r < MT_WATCHERS; r++)
    if (mtM_ranked(S, self->domain, MT_ROLE_WATCH, r) == self->id)
      return true;
  return false;
}

void mtK_tick (mt_state_t *S) {
  if (S->conf.wanted != 0 &&
      S->now - S->conf.requested_at >= REQUEST_RETRY_MS) {
    /* Half of the retries go to the store, as the peer may be gone. */
    bool store = mtV_random(&S->random) % 2;
    fetch_or_apply(S, store ? 0 : S->conf.wantedfrom, true);
  }
  if (S->conf.watching || S->now < S->conf.nextpoll) return;
  if (iswatcher(S) && S->conf.store_replied) {
    S->conf.watching = true;
    mtR_effect(S, MT_FX_WATCH_CONFIG_HEAD, 0)->u.revision =
        S->conf.store_revision;
  } else if (!S->conf.store_replied || S->conf.revision == 0) {
    S->conf.watching = true;
    mtR_effect(S, MT_FX_GET_CONFIG_HEAD, 0);
  } else {
    S->conf.nextpoll = S->now + MT_POLL_MS;
  }
}

void mtK_close (mt_state_t *S) {
  mtV_each (&S->conf.parts, i) free(S->conf.parts.vals[i]);
  mtV_free(&S->conf.parts);
  free(S->conf.head);
  free(S->conf.wantedhead);
  mtF_free(S->fleet);
  mtP_close(S->policies);
}

/* }== */
