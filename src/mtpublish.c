/*
** mtpublish.c - publishes declarations and policies to the store
*/
#include <dirent.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "boot_clock.h"
#include "mtconf.h"
#include "mtcrypt.h"
#include "mtpolicy.h"
#include "mtpublish.h"
#include "mtstore.h"

#define ATTEMPTS_MAX 8
#define RETRY_DELAY_MS 250 /* between two attempts */
#define HISTORY_MAX 100    /* changes that the head lists */
#define PATH_BYTES 512

static const char *const table_names[] = {"pools", "targets", "workspaces",
                                          "policies"};

struct mt_publisher_t {
  uv_loop_t loop;
  mt_store_t *store;
  uv_timer_t timer;
};

/* {== Blocking requests ================================================ */

typedef struct reply_t {
  uv_loop_t *loop;
  int status;
  int64_t revision;
  char *text;
} reply_t;

static void onreply (void *ud, const mt_storereply_t *reply) {
  reply_t *out = ud;
  out->status = reply->status;
  out->revision = reply->revision;
  out->text = mtV_new(reply->text.n + 1);
  memcpy(out->text, reply->text.p, reply->text.n);
  uv_stop(out->loop);
}

static void ontimer (uv_timer_t *t) {
  uv_stop(t->loop);
}

static void wait_retry_delay (mt_publisher_t *U) {
  uv_timer_start(&U->timer, ontimer, RETRY_DELAY_MS, 0);
  uv_run(&U->loop, UV_RUN_DEFAULT);
}

static void get (mt_publisher_t *U, const char *key, reply_t *out) {
  for (int i = 0; i < ATTEMPTS_MAX; i++) {
    *out = (reply_t){.loop = &U->loop};
    mtD_get(U->store, key, onreply, out);
    uv_run(&U->loop, UV_RUN_DEFAULT);
    if (out->status != 0) return;
    free(out->text);
    out->text = NULL;
    wait_retry_delay(U);
  }
}

static void put (mt_publisher_t *U, const char *key, int64_t expect,
                 const char *text, reply_t *out) {
  *out = (reply_t){.loop = &U->loop};
  mtD_put(U->store, key, expect, NULL, (mt_bytes_t){text, strlen(text)},
          onreply, out);
  uv_run(&U->loop, UV_RUN_DEFAULT);
  free(out->text);
  out->text = NULL;
}

mt_publisher_t *mtU_open (const mt_addr_t *store) {
  mt_publisher_t *U = mtV_new(sizeof *U);
  mt_boot_clock_init_loop(&U->loop);
  uv_timer_init(&U->loop, &U->timer);
  U->store = mtD_open(&U->loop, store, NULL);
  return U;
}

void mtU_close (mt_publisher_t *U) {
  mtD_close(U->store);
  free(U);
}

/* }== */

/* {== Reading ========================================================== */

/* Reads one part of the configuration by its digest. */
static bool readpart (mt_publisher_t *U, json_t *parts, const char *name,
                      const char *digest) {
  char key[MT_DIGEST_HEX + 32];
  snprintf(key, sizeof key, MT_KEY_PART "%s", digest);
  reply_t reply;
  get(U, key, &reply);
  if (reply.status == 200)
    json_object_set_new(parts, name, json_string(reply.text));
  bool ok = reply.status == 200;
  free(reply.text);
  return ok;
}

static mt_uerr_t readparts (mt_publisher_t *U, const json_t *head,
                            mt_snapshot_t *out) {
  json_t *parts = json_object();
  mt_uerr_t err = MT_U_CORRUPT;
  mt_faults_t fs = {.n = 0};
  const char *name;
  json_t *digest;
  json_object_foreach (json_object_get(head, "sections"), name, digest) {
    if (!json_is_string(digest) ||
        !readpart(U, parts, name, json_string_value(digest)))
      goto done;
  }
  out->doc = mtK_join(parts, &fs);
  if (out->doc != NULL) err = MT_U_OK;
done:
  json_decref(parts);
  return err;
}

mt_uerr_t mtU_read (mt_publisher_t *U, mt_snapshot_t *out) {
  memset(out, 0, sizeof *out);
  reply_t reply;
  get(U, MT_KEY_HEAD, &reply);
  mt_uerr_t err = MT_U_OK;
  json_t *head = NULL;
  if (reply.status == 404) {
    out->doc = json_pack("{s:{},s:{},s:{},s:{}}", table_names[0],
                         table_names[1], table_names[2], table_names[3]);
    out->history = json_array();
  } else if (reply.status != 200) {
    err = MT_U_UNREACHABLE;
  } else {
    head = json_loads(reply.text, 0, NULL);
    out->head_revision = reply.revision;
    out->revision = mtJ_int(head, "revision", 0);
    out->history = json_deep_copy(json_object_get(head, "history"));
    err = head ? readparts(U, head, out) : MT_U_CORRUPT;
  }
  json_decref(head);
  free(reply.text);
  return err;
}

void mtU_free (mt_snapshot_t *s) {
  json_decref(s->doc);
  json_decref(s->history);
  memset(s, 0, sizeof *s);
}

/* }== */

/* {== Writing ========================================================== */

/* Compiles and test-runs every policy program; adds errors to `fs`. */
static void checkprograms (const json_t *doc, const mt_fleet_t *F,
                           mt_faults_t *fs) {
  const char *name;
  json_t *p;
  json_object_foreach (json_object_get(doc, "policies"), name, p) {
    mt_fault_t f = {{0}, {0}};
    if (mtP_check(mtJ_str(p, "program", ""), F, &f)) continue;
    char where[160];
    snprintf(where, sizeof where, "policies.%s %s", name, f.where);
    mtJ_fault(fs, where, "%s", f.reason);
  }
}

static bool is_valid (json_t *doc, int64_t revision, mt_faults_t *fs) {
  mt_fleet_t *F = mtF_new(doc, revision, fs);
  if (F != NULL) checkprograms(doc, F, fs);
  mtF_free(F);
  return fs->n == 0;
}

static json_t *addhistory (const mt_snapshot_t *base, int64_t revision,
                           const char *summary) {
  json_t *h = base->history ? json_deep_copy(base->history) : json_array();
  json_array_append_new(
      h, json_pack("{s:I,s:I,s:s}", "revision", (json_int_t)revision, "time",
                   (json_int_t)time(NULL), "what", summary));
  while (json_array_size(h) > HISTORY_MAX) json_array_remove(h, 0);
  return h;
}

/*
** Writes the parts and puts their digests into `sections`. A conflict (409)
** is no error: the key is a digest, so the existing text is the same.
*/
static mt_uerr_t writeparts (mt_publisher_t *U, const json_t *parts,
                             json_t *sections, mt_faults_t *fs) {
  const char *name;
  json_t *text;
  json_object_foreach ((json_t *)parts, name, text) {
    char digest[MT_DIGEST_HEX + 1], key[MT_DIGEST_HEX + 32];
    const char *s = json_string_value(text);
    mtH_sha256(s, strlen(s), digest);
    json_object_set_new(sections, name, json_string(digest));
    snprintf(key, sizeof key, MT_KEY_PART "%s", digest);
    if (strlen(s) > MT_VALUE_MAX) {
      mtJ_fault(fs, name, "is larger than the store's limit of %u bytes",
                MT_VALUE_MAX);
      return MT_U_INVALID;
    }
    reply_t reply = {.status = 0};
    for (int i = 0;
         i < ATTEMPTS_MAX && reply.status != 200 && reply.status != 409;
         i++) {
      if (i > 0) wait_retry_delay(U);
      put(U, key, 0, s, &reply);
    }
    if (reply.status != 200 && reply.status != 409) return MT_U_UNREACHABLE;
  }
  return MT_U_OK;
}

/* Replaces the head; when the outcome is unknown, reads it back. */
static mt_uerr_t swaphead (mt_publisher_t *U, const mt_snapshot_t *base,
                           const char *text, int64_t *revision) {
  for (int i = 0; i < ATTEMPTS_MAX; i++) {
    reply_t reply;
    put(U, MT_KEY_HEAD, base->head_revision, text, &reply);
    if (reply.status == 200) return MT_U_OK;
    get(U, MT_KEY_HEAD, &reply);
    bool mine = reply.status == 200 && strcmp(reply.text, text) == 0;
    bool moved = reply.status == 200 && reply.revision != base->head_revision;
    if (moved && !mine) {
      json_t *head = json_loads(reply.text, 0, NULL);
      *revision = mtJ_int(head, "revision", 0);
      json_decref(head);
    }
    free(reply.text);
    if (mine) return MT_U_OK;
    if (moved) return MT_U_CONFLICT;
    wait_retry_delay(U);
  }
  return MT_U_UNREACHABLE;
}

/* A random text that makes this writer's head distinct from any other. */
static void new_writer_id (char out[40]) {
  uint64_t n[2];
  mtH_random(n, sizeof n);
  snprintf(out, 40, "%016" PRIx64 "%016" PRIx64, n[0], n[1]);
}

mt_uerr_t mtU_write (mt_publisher_t *U, const mt_snapshot_t *base,
                     json_t *doc, const char *summary, int64_t *revision,
                     mt_faults_t *fs) {
  *revision = base->revision + 1;
  if (!is_valid(doc, *revision, fs)) return MT_U_INVALID;
  json_t *parts = mtK_split(doc);
  json_t *sections = json_object();
  char *text = NULL;
  mt_uerr_t err = writeparts(U, parts, sections, fs);
  if (err != MT_U_OK) goto done;
  char writer[40];
  new_writer_id(writer);
  json_t *head =
      json_pack("{s:I,s:s,s:O,s:o}", "revision", (json_int_t)*revision,
                "writer", writer, "sections", sections, "history",
                addhistory(base, *revision, summary));
  text = json_dumps(head, JSON_COMPACT);
  json_decref(head);
  err = swaphead(U, base, text, revision);
done:
  free(text);
  json_decref(sections);
  json_decref(parts);
  return err;
}

/* }== */

/* {== Declarations ===================================================== */

/* Reads a file of at most `max` bytes; the text is the caller's to free. */
static char *readfile (const char *path, size_t max, mt_faults_t *fs) {
  FILE *f = fopen(path, "rb");
  char *text = NULL;
  if (f == NULL) {
    mtJ_fault(fs, path, "cannot be read");
    return NULL;
  }
  text = mtV_new(max + 2);
  size_t n = fread(text, 1, max + 1, f);
  fclose(f);
  if (n <= max) return text;
  mtJ_fault(fs, path, "is larger than %zu bytes", max);
  free(text);
  return NULL;
}

static bool is_policy_file (const char *file) {
  size_t n = strlen(file);
  return n > 4 && strcmp(file + n - 4, ".lua") == 0 && n - 4 <= MT_NAME_MAX;
}

/* Reads DIR/policies: NAME.lua is the program of policy NAME. */
static void loadpolicies (const char *dir, json_t *out, mt_faults_t *fs) {
  char path[PATH_BYTES];
  snprintf(path, sizeof path, "%s/policies", dir);
  DIR *d = opendir(path);
  if (d == NULL) return;
  json_t *policies = json_object();
  for (struct dirent *e = readdir(d); e != NULL; e = readdir(d)) {
    if (!is_policy_file(e->d_name)) continue;
    snprintf(path, sizeof path, "%s/policies/%s", dir, e->d_name);
    char *text = readfile(path, MT_PROGRAM_MAX, fs);
    if (text == NULL) continue;
    char name[MT_NAME_MAX + 1] = "";
    memcpy(name, e->d_name, strlen(e->d_name) - 4);
    json_object_set_new(policies, name, json_pack("{s:s}", "program", text));
    free(text);
  }
  closedir(d);
  json_object_set_new(out, "policies", policies);
}

json_t *mtU_load (const char *dir, mt_faults_t *fs) {
  json_t *out = json_object();
  for (size_t i = 0; i < 3; i++) {
    char path[PATH_BYTES];
    snprintf(path, sizeof path, "%s/%s.json", dir, table_names[i]);
    FILE *f = fopen(path, "rb");
    if (f == NULL) continue;
    json_error_t err;
    json_t *v = json_loadf(f, JSON_REJECT_DUPLICATES, &err);
    fclose(f);
    if (v == NULL)
      mtJ_fault(fs, path, "line %d: %s", err.line, err.text);
    else
      json_object_set_new(out, table_names[i], v);
  }
  loadpolicies(dir, out, fs);
  if (json_object_size(out) == 0)
    mtJ_fault(
        fs, dir,
        "contains no declarations: pools.json, targets.json, workspaces.json or policies");
  return out;
}

json_t *mtU_merge (const mt_snapshot_t *base, const json_t *declared) {
  json_t *doc = json_deep_copy(base->doc);
  for (size_t i = 0; i < mt_countof(table_names); i++) {
    json_t *v = json_object_get(declared, table_names[i]);
    if (v != NULL)
      json_object_set_new(doc, table_names[i], json_deep_copy(v));
  }
  const char *name;
  json_t *p;
  json_object_foreach (json_object_get(doc, "policies"), name, p) {
    const json_t *old =
        json_object_get(json_object_get(base->doc, "policies"), name);
    bool same = old && strcmp(mtJ_str(old, "program", ""),
                              mtJ_str(p, "program", "")) == 0;
    json_int_t revision =
        same ? mtJ_int(old, "revision", 1) : base->revision + 1;
    json_object_set_new(p, "revision", json_integer(revision));
  }
  return doc;
}

static void printchange (const char *mark, const char *table,
                         const char *name, const char *field, const json_t *a,
                         const json_t *b) {
  char *from = a ? json_dumps(a, JSON_ENCODE_ANY | JSON_COMPACT) : NULL;
  char *to = b ? json_dumps(b, JSON_ENCODE_ANY | JSON_COMPACT) : NULL;
  printf("%s %s.%s", mark, table, name);
  if (field != NULL)
    printf(".%s: %.200s -> %.200s", field, from ? from : "unset",
           to ? to : "unset");
  printf("\n");
  free(from);
  free(to);
}

static size_t diffrow (const char *table, const char *name, json_t *a,
                       json_t *b) {
  size_t n = 0;
  const char *field;
  json_t *v;
  json_object_foreach (b, field, v) {
    const json_t *old = json_object_get(a, field);
    if (old != NULL && json_equal(old, v)) continue;
    printchange("~", table, name, field, old, v);
    n++;
  }
  json_object_foreach (a, field, v) {
    if (json_object_get(b, field) != NULL) continue;
    printchange("~", table, name, field, v, NULL);
    n++;
  }
  return n;
}

static size_t difftable (const char *table, json_t *a, json_t *b) {
  size_t n = 0;
  const char *name;
  json_t *v;
  json_object_foreach (b, name, v) {
    json_t *old = json_object_get(a, name);
    if (old != NULL) {
      n += diffrow(table, name, old, v);
      continue;
    }
    printchange("+", table, name, NULL, NULL, NULL);
    n++;
  }
  json_object_foreach (a, name, v) {
    if (json_object_get(b, name) != NULL) continue;
    printchange("-", table, name, NULL, NULL, NULL);
    n++;
  }
  return n;
}

size_t mtU_diff (const json_t *from, const json_t *to) {
  size_t n = 0;
  for (size_t i = 0; i < mt_countof(table_names); i++)
    n += difftable(table_names[i], json_object_get(from, table_names[i]),
                   json_object_get(to, table_names[i]));
  return n;
}

/* }== */
