/*
** mtcli.c - the command line
*/
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <argtable2.h>
#include <malloc.h>

#include "boot_clock.h"
#include "explain.h"
#include "mtcall.h"
#include "mtconf.h"
#include "mtpolicy.h"
#include "mtpublish.h"
#include "mtrouter.h"
#include "platform.h"

#define VERSION "0.1.0"
#define PROGRAM "martentiller"

/* Exit codes of the process. */
enum { SUCCESS = 0, FAILURE = 1, USAGE_ERROR = 2 };

#define STORE_VARIABLE "MARTENTILLER_STORE"
#define DRAIN_POLL_MS 500
#define LARGE_BLOCK_BYTES (128 << 10)

/* {== Help ============================================================= */

typedef int (*command_fn_t)(int argc, char **argv);

typedef struct subcommand_t {
  const char *name, *summary;
  command_fn_t run;
} subcommand_t;

/*
** Parses a command's arguments. Returns SUCCESS if the command is to run,
** USAGE_ERROR if an argument is wrong, -1 if only the help was printed.
*/
static int parse (const char *name, const char *summary, int argc,
                  char **argv, void **table, struct arg_lit *help,
                  struct arg_end *end) {
  int errors = arg_parse(argc, argv, table);
  if (help->count > 0) {
    printf("Usage: " PROGRAM " %s", name);
    arg_print_syntax(stdout, table, "\n");
    printf("%s\n\n", summary);
    arg_print_glossary_gnu(stdout, table);
    return -1;
  }
  if (errors == 0) return SUCCESS;
  arg_print_errors(stderr, end, PROGRAM);
  fprintf(stderr, "Try '" PROGRAM " %s --help'.\n", name);
  return USAGE_ERROR;
}

/* Frees the arguments; returns the exit code. */
static int finish (void **table, size_t n, int code) {
  arg_freetable(table, n);
  return code < 0 ? SUCCESS : code;
}

static void printfaults (const char *subject, const mt_faults_t *fs) {
  for (size_t i = 0; i < fs->n; i++)
    fprintf(stderr, "%s: %s: %s\n", subject, fs->at[i].where,
            fs->at[i].reason);
}

/* }== */

/* {== Router and settings ============================================== */

static int cmdrouter (int argc, char **argv) {
  struct arg_file *file =
      arg_file1(NULL, "settings", "FILE", "settings of this router");
  struct arg_lit *help = arg_lit0("h", "help", "print this help");
  struct arg_end *end = arg_end(10);
  void *table[] = {file, help, end};
  int code =
      parse("router", "Runs a router until a signal or request to drain.",
            argc, argv, table, help, end);
  if (code == SUCCESS) code = mtX_run(file->filename[0]);
  return finish(table, mt_countof(table), code);
}

static int cmdcheck (int argc, char **argv) {
  struct arg_file *file = arg_file1(NULL, NULL, "FILE", "settings to check");
  struct arg_lit *help = arg_lit0("h", "help", "print this help");
  struct arg_end *end = arg_end(10);
  void *table[] = {file, help, end};
  int code =
      parse("settings check", "Reports every error in a settings file.", argc,
            argv, table, help, end);
  if (code == SUCCESS) {
    mt_settings_t set;
    mt_faults_t fs = {.n = 0};
    code = mtC_read(file->filename[0], &set, &fs) ? SUCCESS : FAILURE;
    printfaults(file->filename[0], &fs);
    if (code == SUCCESS) printf("%s: valid\n", file->filename[0]);
  }
  return finish(table, mt_countof(table), code);
}

/* }== */

/* {== The store ======================================================== */

static bool storeaddress (const struct arg_str *arg, mt_addr_t *a) {
  const char *s = arg->count ? arg->sval[0] : getenv(STORE_VARIABLE);
  if (s != NULL && mtJ_address(s, a->ip, &a->port)) return true;
  fprintf(stderr,
          PROGRAM
          ": no store address: give --store http://IP:PORT or set %s\n",
          STORE_VARIABLE);
  return false;
}

static int report_result (mt_uerr_t err, int64_t revision,
                          const mt_faults_t *fs) {
  switch (err) {
    case MT_U_OK:
      printf("revision %lld is published\n", (long long)revision);
      return SUCCESS;
    case MT_U_UNREACHABLE:
      fprintf(stderr, "the store did not reply; run the command again\n");
      break;
    case MT_U_CONFLICT:
      fprintf(
          stderr,
          "another change came first: revision %lld is in force; review it and run the command again\n",
          (long long)revision);
      break;
    case MT_U_INVALID: printfaults("invalid", fs); break;
    case MT_U_CORRUPT:
      fprintf(stderr, "the configuration in the store cannot be read\n");
      break;
  }
  return FAILURE;
}

static int read_snapshot (mt_publisher_t *U, mt_snapshot_t *base) {
  mt_faults_t none = {.n = 0};
  mt_uerr_t err = mtU_read(U, base);
  return err == MT_U_OK ? SUCCESS : report_result(err, 0, &none);
}

/* Prints what publishing `dir` would change; with `apply`, publishes it. */
static int applydir (mt_publisher_t *U, const char *dir, bool apply) {
  mt_faults_t fs = {.n = 0};
  mt_snapshot_t base;
  int64_t revision = 0;
  json_t *declared = mtU_load(dir, &fs);
  int code =
      fs.n ? report_result(MT_U_INVALID, 0, &fs) : read_snapshot(U, &base);
  if (code != SUCCESS) {
    json_decref(declared);
    return code;
  }
  json_t *doc = mtU_merge(&base, declared);
  size_t n = mtU_diff(base.doc, doc);
  if (n == 0) {
    printf("nothing to change; revision %lld is in force\n",
           (long long)base.revision);
  } else if (apply) {
    mt_uerr_t err = mtU_write(U, &base, doc, "apply", &revision, &fs);
    code = report_result(err, revision, &fs);
  }
  json_decref(doc);
  json_decref(declared);
  mtU_free(&base);
  return code;
}

static int run_declarations (const char *name, const char *summary,
                             bool apply, int argc, char **argv) {
  struct arg_str *store =
      arg_str0(NULL, "store", "URL", "the platform's store");
  struct arg_file *dir = arg_file1(NULL, NULL, "DIR",
                                   "declarations: pools.json, targets.json, "
                                   "workspaces.json, policies/NAME.lua");
  struct arg_lit *help = arg_lit0("h", "help", "print this help");
  struct arg_end *end = arg_end(10);
  void *table[] = {store, dir, help, end};
  mt_addr_t addr;
  int code = parse(name, summary, argc, argv, table, help, end);
  if (code == SUCCESS && !storeaddress(store, &addr)) code = USAGE_ERROR;
  if (code == SUCCESS) {
    mt_publisher_t *U = mtU_open(&addr);
    code = applydir(U, dir->filename[0], apply);
    mtU_close(U);
  }
  return finish(table, mt_countof(table), code);
}

static int cmdplan (int argc, char **argv) {
  return run_declarations(
      "plan", "Prints what 'apply' would change, and changes nothing.", false,
      argc, argv);
}

static int cmdapply (int argc, char **argv) {
  return run_declarations(
      "apply",
      "Publishes the declarations in DIR as the fleet's configuration; idempotent.",
      true, argc, argv);
}

/* }== */

/* {== Policies ========================================================= */

static char *readprogram (const char *file) {
  FILE *f = fopen(file, "rb");
  if (f == NULL) {
    fprintf(stderr, "%s: cannot be read\n", file);
    return NULL;
  }
  char *text = mtV_new(MT_PROGRAM_MAX + 2);
  size_t n = fread(text, 1, MT_PROGRAM_MAX + 1, f);
  fclose(f);
  if (n <= MT_PROGRAM_MAX) return text;
  fprintf(stderr, "%s: is larger than %u bytes\n", file, MT_PROGRAM_MAX);
  free(text);
  return NULL;
}

static bool checkprogram (const char *file, const char *text) {
  mt_fault_t fault = {{0}, {0}};
  if (mtP_check(text, NULL, &fault)) return true;
  fprintf(stderr, "%s: %s: %s\n", file, fault.where, fault.reason);
  return false;
}

static int cmdpolicycheck (int argc, char **argv) {
  struct arg_file *file = arg_file1(NULL, NULL, "FILE", "program to check");
  struct arg_lit *help = arg_lit0("h", "help", "print this help");
  struct arg_end *end = arg_end(10);
  void *table[] = {file, help, end};
  int code = parse("policy check", "Compiles and test-runs a policy program.",
                   argc, argv, table, help, end);
  if (code == SUCCESS) {
    char *text = readprogram(file->filename[0]);
    code = text && checkprogram(file->filename[0], text) ? SUCCESS : FAILURE;
    if (code == SUCCESS) printf("%s: valid\n", file->filename[0]);
    free(text);
  }
  return finish(table, mt_countof(table), code);
}

typedef enum policyact_t { PUBLISH, REVISE, WITHDRAW } policyact_t;

/*
** Whether a policy is in the state that the command expects: not published,
** or published at revision `replaces`. Prints the difference if not.
*/
static bool check_revision (policyact_t act, const char *name,
                            const json_t *old, int64_t replaces) {
  json_int_t current = mtJ_int(old, "revision", 0);
  if (act == PUBLISH && old == NULL) return true;
  if (act != PUBLISH && old != NULL && current == replaces) return true;
  if (old == NULL)
    fprintf(stderr, "policy %s is not published\n", name);
  else if (act == PUBLISH)
    fprintf(
        stderr,
        "policy %s is published already, at revision %lld; use 'revise'\n",
        name, (long long)current);
  else
    fprintf(stderr, "policy %s: revision %lld won; you named %lld\n", name,
            (long long)current, (long long)replaces);
  return false;
}

static int changepolicy (mt_publisher_t *U, policyact_t act, const char *name,
                         const char *text, int64_t replaces) {
  static const char *const verbs[] = {"publish", "revise", "withdraw"};
  mt_snapshot_t base;
  mt_faults_t fs = {.n = 0};
  int64_t revision = 0;
  int code = read_snapshot(U, &base);
  if (code != SUCCESS) return code;
  json_t *doc = json_deep_copy(base.doc);
  json_t *policies = json_object_get(doc, "policies");
  if (!check_revision(act, name, json_object_get(policies, name), replaces)) {
    code = FAILURE;
    goto done;
  }
  if (act == WITHDRAW)
    json_object_del(policies, name);
  else
    json_object_set_new(policies, name,
                        json_pack("{s:s,s:I}", "program", text, "revision",
                                  (json_int_t)(base.revision + 1)));
  char summary[MT_NAME_MAX + 32];
  snprintf(summary, sizeof summary, "policy %s %s", verbs[act], name);
  mt_uerr_t err = mtU_write(U, &base, doc, summary, &revision, &fs);
  code = report_result(err, revision, &fs);
done:
  json_decref(doc);
  mtU_free(&base);
  return code;
}

static int run_policy_change (const char *command, const char *summary,
                              policyact_t act, int argc, char **argv) {
  struct arg_str *store =
      arg_str0(NULL, "store", "URL", "the platform's store");
  struct arg_int *replaces =
      arg_int0(NULL, "replaces", "REV",
               "revision of the policy that this one replaces");
  struct arg_str *name = arg_str1(NULL, NULL, "NAME", "name of the policy");
  struct arg_file *file = act == WITHDRAW
                              ? arg_file0(NULL, NULL, NULL, NULL)
                              : arg_file1(NULL, NULL, "FILE", "its program");
  struct arg_lit *help = arg_lit0("h", "help", "print this help");
  struct arg_end *end = arg_end(10);
  void *table[] = {store, replaces, name, file, help, end};
  if (act == WITHDRAW) {
    table[3] = help;
    table[4] = end;
  }
  mt_addr_t addr;
  int code = parse(command, summary, argc, argv, table, help, end);
  if (code == SUCCESS && act != PUBLISH && replaces->count == 0) {
    fprintf(stderr, PROGRAM
            ": --replaces REV is required: the revision to replace\n");
    code = USAGE_ERROR;
  }
  if (code == SUCCESS && !mtJ_isname(name->sval[0])) {
    fprintf(stderr,
            PROGRAM ": a policy name has 1 to %d characters of [a-z0-9._-]\n",
            MT_NAME_MAX);
    code = USAGE_ERROR;
  }
  if (code == SUCCESS && !storeaddress(store, &addr)) code = USAGE_ERROR;
  char *text = code == SUCCESS && act != WITHDRAW
                   ? readprogram(file->filename[0])
                   : NULL;
  if (code == SUCCESS && act != WITHDRAW &&
      (text == NULL || !checkprogram(file->filename[0], text)))
    code = FAILURE;
  if (code == SUCCESS) {
    mt_publisher_t *U = mtU_open(&addr);
    code = changepolicy(U, act, name->sval[0], text,
                        replaces->count ? replaces->ival[0] : 0);
    mtU_close(U);
  }
  free(text);
  if (act == WITHDRAW) free(file);
  return finish(table, act == WITHDRAW ? 5 : 6, code);
}

static int cmdpublish (int argc, char **argv) {
  return run_policy_change("policy publish", "Publishes a new policy.",
                           PUBLISH, argc, argv);
}

static int cmdrevise (int argc, char **argv) {
  return run_policy_change("policy revise", "Replaces a policy's program.",
                           REVISE, argc, argv);
}

static int cmdwithdraw (int argc, char **argv) {
  return run_policy_change("policy withdraw", "Withdraws a policy.", WITHDRAW,
                           argc, argv);
}

static void listpolicies (const mt_snapshot_t *s, const char *name) {
  (void)name;
  const char *key;
  json_t *p;
  json_object_foreach (json_object_get(s->doc, "policies"), key, p) {
    printf("%-32s revision %lld, %zu bytes\n", key,
           (long long)mtJ_int(p, "revision", 0),
           strlen(mtJ_str(p, "program", "")));
  }
}

static void showpolicy (const mt_snapshot_t *s, const char *name) {
  const json_t *p =
      json_object_get(json_object_get(s->doc, "policies"), name);
  printf("-- policy %s, revision %lld\n%s", name,
         (long long)mtJ_int(p, "revision", 0),
         mtJ_str(p, "program", "-- is not published\n"));
}

static void showhistory (const mt_snapshot_t *s, const char *name) {
  size_t i;
  json_t *h;
  json_array_foreach (s->history, i, h) {
    const char *summary = mtJ_str(h, "what", "");
    const char *last = strrchr(summary, ' ');
    bool apply = strcmp(summary, "apply") == 0;
    if (!apply && (last == NULL || strcmp(last + 1, name) != 0)) continue;
    printf("revision %lld at %lld: %s\n",
           (long long)mtJ_int(h, "revision", 0),
           (long long)mtJ_int(h, "time", 0), summary);
  }
}

static int
run_policy_read (const char *command, const char *summary, bool named,
                 void (*print)(const mt_snapshot_t *, const char *), int argc,
                 char **argv) {
  struct arg_str *store =
      arg_str0(NULL, "store", "URL", "the platform's store");
  struct arg_str *name =
      named ? arg_str1(NULL, NULL, "NAME", "name of the policy") : NULL;
  struct arg_lit *help = arg_lit0("h", "help", "print this help");
  struct arg_end *end = arg_end(10);
  void *table[] = {store, help, named ? (void *)name : (void *)end, end};
  mt_addr_t addr;
  int code = parse(command, summary, argc, argv, table, help, end);
  if (code == SUCCESS && !storeaddress(store, &addr)) code = USAGE_ERROR;
  if (code == SUCCESS) {
    mt_publisher_t *U = mtU_open(&addr);
    mt_snapshot_t s;
    code = read_snapshot(U, &s);
    if (code == SUCCESS) print(&s, named ? name->sval[0] : NULL);
    if (code == SUCCESS) mtU_free(&s);
    mtU_close(U);
  }
  return finish(table, named ? 4 : 3, code);
}

static int cmdlist (int argc, char **argv) {
  return run_policy_read("policy list", "Lists the published policies.",
                         false, listpolicies, argc, argv);
}

static int cmdshow (int argc, char **argv) {
  return run_policy_read("policy show", "Prints a policy's program.", true,
                         showpolicy, argc, argv);
}

static int cmdhistory (int argc, char **argv) {
  return run_policy_read("policy history", "Prints the changes of a policy.",
                         true, showhistory, argc, argv);
}

/* }== */

/* {== Requests to a router ============================================= */

typedef struct reply_t {
  uv_loop_t *loop;
  int status;
  char *text;
  size_t n, cap;
} reply_t;

static void onreply (void *ud, mt_call_t *call, const mt_callev_t *ev) {
  (void)call;
  reply_t *p = ud;
  switch (ev->kind) {
    case MT_CALL_HEAD: p->status = ev->status; return;
    case MT_CALL_BODY:
      while (p->n + ev->data.n + 1 > p->cap)
        p->text = mtV_grow(p->text, p->cap, &p->cap, 1);
      memcpy(p->text + p->n, ev->data.p, ev->data.n);
      p->n += ev->data.n;
      p->text[p->n] = '\0';
      return;
    case MT_CALL_FAILED: p->status = 0; break;
    case MT_CALL_END: break;
  }
  uv_stop(p->loop);
}

/* Sends a request to the operators' listener; status 0 when it fails. */
static reply_t request_router (uv_loop_t *loop, mt_http_t *http,
                               const mt_addr_t *addr, const char *method,
                               const char *path) {
  reply_t p = {.loop = loop};
  mt_callspec_t spec = {.addr = *addr, .method = method, .path = path};
  mtY_call(http, &spec, onreply, &p);
  uv_run(loop, UV_RUN_DEFAULT);
  return p;
}

static void printstatus (const char *text) {
  json_t *doc = json_loads(text, 0, NULL);
  printf("node %s  domain %s  revision %lld  waiting %lld  running %lld%s\n",
         mtJ_str(doc, "node", "-"), mtJ_str(doc, "domain", "-"),
         (long long)mtJ_int(doc, "revision", 0),
         (long long)mtJ_int(doc, "waiting", 0),
         (long long)mtJ_int(doc, "running", 0),
         mtJ_int(doc, "draining", 0) ? "  draining" : "");
  size_t i, j;
  json_t *m, *g;
  json_array_foreach (json_object_get(doc, "members"), i, m) {
    printf("  %-16s %-16s %-8s revision %lld\n", mtJ_str(m, "node", "-"),
           mtJ_str(m, "domain", "-"), mtJ_str(m, "state", "-"),
           (long long)mtJ_int(m, "revision", 0));
  }
  json_array_foreach (json_object_get(doc, "schedulers"), i, g) {
    printf("  schedules %s in %s\n", mtJ_str(g, "pool", "-"),
           mtJ_str(g, "domain", "-"));
    json_array_foreach (json_object_get(g, "accounts"), j, m) {
      printf("    %-16s served %-10lld waiting %lld here, %lld elsewhere\n",
             mtJ_str(m, "workspace", "-"), (long long)mtJ_int(m, "served", 0),
             (long long)mtJ_int(m, "waiting", 0),
             (long long)mtJ_int(m, "waiting_elsewhere", 0));
    }
  }
  json_decref(doc);
}

/* Polls a draining router until it is gone; shows progress on a terminal. */
static void waitdrained (uv_loop_t *loop, mt_http_t *http,
                         const mt_addr_t *addr) {
  for (;;) {
    reply_t p = request_router(loop, http, addr, "GET", "/status");
    json_t *doc = p.status == 200 ? json_loads(p.text, 0, NULL) : NULL;
    if (doc != NULL && isatty(STDOUT_FILENO)) {
      printf("\rwaiting %lld, running %lld   ",
             (long long)mtJ_int(doc, "waiting", 0),
             (long long)mtJ_int(doc, "running", 0));
      fflush(stdout);
    }
    json_decref(doc);
    free(p.text);
    if (p.status == 0) break;
    usleep(DRAIN_POLL_MS * 1000);
  }
  printf("drained\n");
}

static int run_router_request (const char *command, const char *summary,
                               bool drain, int argc, char **argv) {
  struct arg_str *router = arg_str1(
      NULL, "router", "URL", "URL of the router's operators' listener");
  struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
  struct arg_lit *nowait =
      arg_lit0(NULL, "no-wait", "do not wait until it has drained");
  struct arg_lit *help = arg_lit0("h", "help", "print this help");
  struct arg_end *end = arg_end(10);
  void *table[] = {router, drain ? nowait : json, help, end};
  mt_addr_t addr;
  int code = parse(command, summary, argc, argv, table, help, end);
  if (code == SUCCESS && !mtJ_address(router->sval[0], addr.ip, &addr.port)) {
    fprintf(stderr, PROGRAM ": --router must be http://IP:PORT\n");
    code = USAGE_ERROR;
  }
  if (code == SUCCESS) {
    uv_loop_t loop;
    mt_boot_clock_init_loop(&loop);
    mt_http_t *http = mtY_open(&loop, MT_CONNECT_TIMEOUT_MS);
    reply_t p = request_router(&loop, http, &addr, drain ? "POST" : "GET",
                               drain ? "/drain" : "/status");
    if (p.status == 0) {
      fprintf(stderr, PROGRAM ": %s cannot be reached\n", router->sval[0]);
      code = FAILURE;
    } else if (drain && nowait->count == 0) {
      waitdrained(&loop, http, &addr);
    } else if (drain || json->count > 0) {
      printf("%s\n", p.text);
    } else {
      printstatus(p.text);
    }
    free(p.text);
  }
  free(drain ? json : nowait);
  return finish(table, mt_countof(table), code);
}

static int cmdstatus (int argc, char **argv) {
  return run_router_request(
      "status", "Prints a router's status, members and schedulers.", false,
      argc, argv);
}

static int cmddrain (int argc, char **argv) {
  return run_router_request(
      "drain", "Drains a router: it finishes its requests and exits.", true,
      argc, argv);
}

/* }== */

/* {== Main ============================================================= */

static const subcommand_t policies[] = {
    {"check", "compile and test-run a program", cmdpolicycheck},
    {"publish", "publish a new policy", cmdpublish},
    {"revise", "replace a policy's program", cmdrevise},
    {"withdraw", "withdraw a policy", cmdwithdraw},
    {"show", "print a policy's program", cmdshow},
    {"list", "list the published policies", cmdlist},
    {"history", "print the changes of a policy", cmdhistory},
};

static const subcommand_t settings[] = {
    {"check", "report every error in a settings file", cmdcheck}};

/* Prints the commands, to stdout on --help or to stderr after an error. */
static int usage (FILE *out, const char *prefix, const subcommand_t *rows,
                  size_t n) {
  fprintf(out, "Usage: " PROGRAM " %sCOMMAND ...\n\n", prefix);
  for (size_t i = 0; i < n; i++)
    fprintf(out, "  %-10s %s\n", rows[i].name, rows[i].summary);
  fprintf(out, "\nSee '" PROGRAM " %sCOMMAND --help' for the options.\n",
          prefix);
  return out == stdout ? SUCCESS : USAGE_ERROR;
}

static int run_command (const char *prefix, const subcommand_t *rows,
                        size_t n, int argc, char **argv) {
  if (argc < 2) return usage(stderr, prefix, rows, n);
  if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-h") == 0)
    return usage(stdout, prefix, rows, n);
  for (size_t i = 0; i < n; i++)
    if (strcmp(argv[1], rows[i].name) == 0)
      return rows[i].run(argc - 1, argv + 1);
  fprintf(stderr, PROGRAM ": no such command: %s%s\n", prefix, argv[1]);
  return usage(stderr, prefix, rows, n);
}

static int cmdpolicy (int argc, char **argv) {
  return run_command("policy ", policies, mt_countof(policies), argc, argv);
}

static int cmdsettings (int argc, char **argv) {
  return run_command("settings ", settings, mt_countof(settings), argc, argv);
}

/* The settings' path is --settings or else an environment variable. */
static int cmdgateway (int argc, char **argv) {
  struct arg_file *file = arg_file0(
      NULL, "settings", "FILE", "settings; else $" MT_PLATFORM_SETTINGS_ENV);
  struct arg_lit *help = arg_lit0("h", "help", "print this help");
  struct arg_end *end = arg_end(10);
  void *table[] = {file, help, end};
  int code = parse("gateway", "Runs a gateway until SIGTERM or SIGINT.", argc,
                   argv, table, help, end);
  const char *name = getenv(MT_PLATFORM_SETTINGS_ENV);
  if (code == SUCCESS && file->count > 0) name = file->filename[0];
  if (code == SUCCESS && name == NULL) {
    fprintf(stderr, PROGRAM ": no settings given; see 'gateway --help'\n");
    code = USAGE_ERROR;
  }
  if (code == SUCCESS) code = mt_platform_run(name) == 0 ? SUCCESS : FAILURE;
  return finish(table, mt_countof(table), code);
}

#define FILES_MAX 512

static int cmdexplain (int argc, char **argv) {
  struct arg_str *id = arg_str1(NULL, NULL, "ID", "id of the request");
  struct arg_file *files =
      arg_filen(NULL, NULL, "FILE", 1, FILES_MAX, "logs of gateways");
  struct arg_lit *help = arg_lit0("h", "help", "print this help");
  struct arg_end *end = arg_end(10);
  void *table[] = {id, files, help, end};
  int code =
      parse("explain", "Prints the history of a request from gateway logs.",
            argc, argv, table, help, end);
  if (code == SUCCESS)
    code = mt_explain(id->sval[0], (const char *const *)files->filename,
                      (size_t)files->count);
  return finish(table, mt_countof(table), code);
}

static const subcommand_t commands[] = {
    {"router", "run a router", cmdrouter},
    {"gateway", "run a gateway on the platform", cmdgateway},
    {"explain", "print the history of a request from logs", cmdexplain},
    {"settings", "check settings", cmdsettings},
    {"policy", "check and publish policy programs", cmdpolicy},
    {"plan", "print what 'apply' would change", cmdplan},
    {"apply", "publish the declarations in a directory", cmdapply},
    {"status", "print a router's status", cmdstatus},
    {"drain", "drain a router", cmddrain},
};

int main (int argc, char **argv) {
  /* Large blocks go back to the system when they are freed. Without this the
     allocator keeps blocks as large as any that it has seen. */
  mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES);
  if (argc > 1 && strcmp(argv[1], "--version") == 0) {
    printf(PROGRAM " " VERSION "\n");
    return SUCCESS;
  }
  return run_command("", commands, mt_countof(commands), argc, argv);
}

/* }== */
