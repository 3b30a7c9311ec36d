/*
** bblab.c - a fleet of real processes on loopback, for demo, bench and tests
*/
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "bblab.h"
#include "mtcrypt.h"

#define READY_MS 60000
#define LINE_BYTES 262144
#define PORT_FIRST 10000
#define PORTS 20000

extern char **environ;

/* {== Processes ======================================================== */

static void die (const char *what) {
  fprintf(stderr, "bench: %s\n", what);
  exit(1);
}

/* Reads one line, at most READY_MS after the start. */
static json_t *readline (int fd) {
  static char line[LINE_BYTES];
  size_t n = 0;
  struct pollfd p = {fd, POLLIN, 0};
  while (n + 1 < sizeof line && poll(&p, 1, READY_MS) == 1) {
    if (read(fd, line + n, 1) != 1) break;
    if (line[n] == '\n') return json_loadb(line, n, 0, NULL);
    n++;
  }
  return NULL;
}

bb_proc_t *bb_spawn (bb_lab_t *lab, const char *const *argv,
                     const char *log) {
  if (lab->nprocs == BB_MAX_PROCS) die("too many processes");
  bb_proc_t *p = &lab->procs[lab->nprocs++];
  char path[512], logpath[512];
  int fds[2];
  snprintf(path, sizeof path, "%s/%s", lab->bin, argv[0]);
  snprintf(logpath, sizeof logpath, "%s/%s.log", lab->dir, log);
  if (pipe2(fds, O_CLOEXEC) != 0) die("no pipe");
  posix_spawn_file_actions_t fa;
  posix_spawn_file_actions_init(&fa);
  posix_spawn_file_actions_adddup2(&fa, fds[1], 1);
  posix_spawn_file_actions_addopen(&fa, 2, logpath,
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  if (posix_spawn(&p->pid, path, &fa, NULL, (char *const *)argv, environ) !=
      0)
    die(path);
  posix_spawn_file_actions_destroy(&fa);
  close(fds[1]);
  p->out = fds[0];
  p->ready = readline(p->out);
  if (p->ready == NULL) {
    fprintf(stderr, "bench: %s %s did not come up; see %s\n", argv[0],
            argv[1], logpath);
    exit(1);
  }
  return p;
}

int bb_end (bb_proc_t *p, int signum) {
  int status = 0;
  if (p->pid <= 0) return 0;
  kill(p->pid, signum);
  kill(p->pid, SIGCONT);
  waitpid(p->pid, &status, 0);
  close(p->out);
  json_decref(p->ready);
  p->ready = NULL;
  p->pid = 0;
  return status;
}

static void address (const json_t *v, mt_addr_t *a) {
  const char *s = json_string_value(v);
  if (s == NULL || !mtJ_address(s, a->ip, &a->port))
    die("bad address in a ready line");
}

/* }== */

/* {== Calls ============================================================ */

typedef struct page_t {
  uv_loop_t *loop;
  uint64_t firstbyte;
  int status;
  bool done;
  char *text;
  size_t n, cap;
} page_t;

static void onpage (void *ud, mt_call_t *call, const mt_callev_t *ev) {
  (void)call;
  page_t *p = ud;
  switch (ev->kind) {
    case MT_CALL_HEAD: p->status = ev->status; return;
    case MT_CALL_BODY:
      if (p->firstbyte == 0) p->firstbyte = uv_hrtime();
      if (p->n + ev->data.n + 1 > p->cap) {
        p->cap = (p->n + ev->data.n + 1) * 2;
        p->text = realloc(p->text, p->cap);
      }
      memcpy(p->text + p->n, ev->data.p, ev->data.n);
      p->n += ev->data.n;
      p->text[p->n] = '\0';
      return;
    case MT_CALL_FAILED: p->status = 0; break;
    case MT_CALL_END: break;
  }
  p->done = true;
  uv_stop(p->loop);
}

int bb_call (bb_lab_t *lab, const mt_addr_t *a, const char *method,
             const char *path, const char *headers, const char *body,
             char **text) {
  page_t p = {.loop = &lab->loop};
  mt_callspec_t spec = {
      *a,  method, path, headers, {body ? body : "", body ? strlen(body) : 0},
      true};
  uv_update_time(&lab->loop);
  mtY_call(lab->http, &spec, onpage, &p);
  while (!p.done) uv_run(&lab->loop, UV_RUN_DEFAULT);
  lab->firstbyte = p.firstbyte;
  if (text != NULL)
    *text = p.text ? p.text : strdup("");
  else
    free(p.text);
  return p.status;
}

json_t *bb_json (bb_lab_t *lab, const mt_addr_t *a, const char *path) {
  char *text;
  int status = bb_call(lab, a, "GET", path, NULL, NULL, &text);
  json_t *doc = status == 200 ? json_loads(text, 0, NULL) : NULL;
  free(text);
  return doc;
}

static void onrun (uv_timer_t *t) {
  uv_stop(t->loop);
}

static void onclosed (uv_handle_t *h) {
  *(bool *)h->data = true;
}

void bb_run (bb_lab_t *lab, unsigned ms) {
  uv_timer_t t;
  bool closed = false;
  uv_update_time(&lab->loop);
  uint64_t until = uv_now(&lab->loop) + ms;
  uv_timer_init(&lab->loop, &t);
  t.data = &closed;
  uv_timer_start(&t, onrun, ms, 0);
  while (uv_now(&lab->loop) < until) uv_run(&lab->loop, UV_RUN_DEFAULT);
  uv_close((uv_handle_t *)&t, onclosed);
  while (!closed) uv_run(&lab->loop, UV_RUN_NOWAIT);
}

double bb_metric (bb_lab_t *lab, size_t router, const char *name) {
  char *text;
  double sum = 0;
  size_t n = strlen(name);
  if (bb_call(lab, &lab->routers[router].operators, "GET", "/metrics", NULL,
              NULL, &text) == 200) {
    for (char *line = strtok(text, "\n"); line != NULL;
         line = strtok(NULL, "\n")) {
      const char *p = line + strlen("martentiller_");
      if (strncmp(p, name, n) != 0 || (p[n] != ' ' && p[n] != '{')) continue;
      sum += atof(strrchr(line, ' ') + 1);
    }
  }
  free(text);
  return sum;
}

/* }== */

/* {== Links ============================================================ */

uint16_t bb_link (bb_lab_t *lab, const mt_addr_t *to) {
  char path[128], *text;
  snprintf(path, sizeof path, "/link?to=%s:%u", to->ip, to->port);
  bb_call(lab, &lab->proxy, "POST", path, NULL, NULL, &text);
  json_t *doc = json_loads(text, 0, NULL);
  uint16_t port = (uint16_t)json_integer_value(json_object_get(doc, "port"));
  json_decref(doc);
  free(text);
  return port;
}

void bb_setlink (bb_lab_t *lab, uint16_t port, const char *mode, int delay) {
  char path[128];
  snprintf(path, sizeof path, "/set?port=%u&mode=%s&delay=%d", port, mode,
           delay);
  bb_call(lab, &lab->proxy, "POST", path, NULL, NULL, NULL);
}

uint16_t bb_linkport (const bb_lab_t *lab, size_t i, const char *name) {
  mt_addr_t a = {"", 0};
  json_t *doc = json_load_file(lab->routers[i].settings, 0, NULL);
  const char *s = strcmp(name, "store") == 0
                      ? mtJ_str(doc, "store", "")
                      : mtJ_str(json_object_get(doc, "routes"), name, "");
  mtJ_address(s, a.ip, &a.port);
  json_decref(doc);
  return a.port;
}

/* Routes of router i to all that is up: other routers, targets, the store. */
static void addlinks (bb_lab_t *lab, json_t *set) {
  json_t *routes = json_object();
  char text[64];
  for (size_t j = 0; j < lab->nrouters; j++) {
    snprintf(text, sizeof text, "127.0.0.1:%u",
             bb_link(lab, &lab->routers[j].peers));
    json_object_set_new(routes, lab->routers[j].name, json_string(text));
  }
  for (size_t j = 0; j < lab->nengines; j++) {
    snprintf(text, sizeof text, "127.0.0.1:%u",
             bb_link(lab, &lab->engines[j].addr));
    json_object_set_new(routes, lab->engines[j].name, json_string(text));
  }
  if (lab->service.port != 0) {
    snprintf(text, sizeof text, "127.0.0.1:%u", bb_link(lab, &lab->service));
    json_object_set_new(routes, "portal-1", json_string(text));
  }
  snprintf(text, sizeof text, "http://127.0.0.1:%u",
           bb_link(lab, &lab->store));
  json_object_set_new(set, "store", json_string(text));
  json_object_set_new(set, "routes", routes);
}

/* }== */

/* {== Routers ========================================================== */

/*
** A port that is free now; the router takes it when it starts. It is below
** the range that the system hands out, so that nobody gets it meanwhile.
*/
static uint16_t freeport (void) {
  static uint64_t state;
  if (state == 0) state = mtV_mix(uv_hrtime(), (uint64_t)getpid());
  for (;;) {
    struct sockaddr_in a = {.sin_family = AF_INET};
    uint16_t port = (uint16_t)(PORT_FIRST + mtV_random(&state) % PORTS);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    a.sin_port = htons(port);
    int rc = bind(fd, (struct sockaddr *)&a, sizeof a);
    close(fd);
    if (rc == 0) return port;
  }
}

static void writesettings (bb_lab_t *lab, size_t i) {
  bb_router_t *r = &lab->routers[i];
  char peers[64], store[64], seed[64];
  snprintf(peers, sizeof peers, "127.0.0.1:%u", r->peers.port);
  snprintf(store, sizeof store, "http://127.0.0.1:%u", lab->store.port);
  json_t *seeds = json_array();
  for (size_t j = 0; j < lab->nrouters && json_array_size(seeds) < 3; j++) {
    if (j == i) continue;
    snprintf(seed, sizeof seed, "127.0.0.1:%u", lab->routers[j].peers.port);
    json_array_append_new(seeds, json_string(seed));
  }
  json_t *set =
      json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:[s],s:o,s:s}", "node", r->name,
                "domain", r->domain, "callers", "127.0.0.1:0", "operators",
                "127.0.0.1:0", "peers", peers, "store", store, "peer_keys",
                BB_KEY, "seeds", seeds, "sharing", lab->sharing);
  if (lab->proxied) addlinks(lab, set);
  json_dump_file(set, r->settings, JSON_INDENT(1));
  json_decref(set);
}

void bb_router (bb_lab_t *lab, size_t i) {
  bb_router_t *r = &lab->routers[i];
  const char *argv[] = {"martentiller", "router", "--settings", r->settings,
                        NULL};
  r->proc = bb_spawn(lab, argv, r->name);
  address(json_object_get(r->proc->ready, "callers"), &r->callers);
  address(json_object_get(r->proc->ready, "operators"), &r->operators);
}

static void startrouters (bb_lab_t *lab, const bb_spec_t *spec) {
  lab->nrouters = (size_t)spec->routers;
  for (size_t i = 0; i < lab->nrouters; i++) {
    bb_router_t *r = &lab->routers[i];
    snprintf(r->name, sizeof r->name, "r%zu", i + 1);
    snprintf(r->domain, sizeof r->domain, "d%zu", i % (size_t)spec->domains);
    snprintf(r->settings, sizeof r->settings, "%s/%s.json", lab->dir,
             r->name);
    snprintf(r->peers.ip, sizeof r->peers.ip, "127.0.0.1");
    r->peers.port = freeport();
  }
  for (size_t i = 0; i < lab->nrouters; i++) writesettings(lab, i);
  for (size_t i = 0; i < lab->nrouters; i++) bb_router(lab, i);
}

/* }== */

/* {== Lab ============================================================== */

static void startengines (bb_lab_t *lab, const bb_spec_t *spec) {
  int procs = mt_max(spec->engineprocs, 1), left = spec->engines;
  lab->engines =
      mtV_new((size_t)mt_max(spec->engines, 1) * sizeof *lab->engines);
  for (int k = 0; k < procs && left > 0; k++) {
    int count = (left + (procs - k) - 1) / (procs - k);
    char cnt[16], slots[16], rate[16], cache[16];
    snprintf(cnt, sizeof cnt, "%d", count);
    snprintf(slots, sizeof slots, "%d", spec->slots);
    snprintf(rate, sizeof rate, "%d", spec->rate);
    snprintf(cache, sizeof cache, "%d", spec->cache ? spec->cache : 32);
    const char *argv[] = {"standin",  "engine",
                          "--count",  cnt,
                          "--slots",  slots,
                          "--rate",   rate,
                          "--speeds", spec->speeds ? spec->speeds : "1",
                          "--cache",  cache,
                          NULL};
    bb_proc_t *p = bb_spawn(lab, argv, "engine");
    size_t i;
    json_t *e;
    json_array_foreach (json_object_get(p->ready, "engines"), i, e) {
      bb_engine_t *x = &lab->engines[lab->nengines];
      snprintf(x->name, sizeof x->name, "e%zu", lab->nengines + 1);
      snprintf(x->domain, sizeof x->domain, "d%zu",
               lab->nengines % (size_t)spec->domains);
      address(json_object_get(e, "url"), &x->addr);
      x->slots = (int)json_integer_value(json_object_get(e, "slots"));
      x->speed = (int)json_number_value(json_object_get(e, "speed"));
      x->proc = p;
      lab->nengines++;
    }
    left -= count;
  }
}

static void addworkspaces (bb_lab_t *lab, const bb_spec_t *spec) {
  json_t *ws = json_object_get(lab->doc, "workspaces");
  for (int i = 0; i < spec->workspaces; i++) {
    char name[32], key[32], digest[MT_DIGEST_HEX + 1];
    snprintf(name, sizeof name, "w%d", i + 1);
    snprintf(key, sizeof key, "key-w%d", i + 1);
    mtH_sha256(key, strlen(key), digest);
    json_object_set_new(ws, name,
                        json_pack("{s:s,s:i}", "key_sha256", digest, "share",
                                  spec->shares ? spec->shares[i] : 1));
  }
}

static void makedoc (bb_lab_t *lab, const bb_spec_t *spec) {
  lab->doc = json_pack("{s:{},s:{},s:{}}", "pools", "targets", "workspaces");
  json_t *pools = json_object_get(lab->doc, "pools"),
         *targets = json_object_get(lab->doc, "targets");
  int npools = mt_max(spec->pools, 1);
  for (int i = 0; i < npools; i++) {
    char pool[32], model[32];
    snprintf(pool, sizeof pool, "p%d", i + 1);
    snprintf(model, sizeof model, "m%d", i + 1);
    json_object_set_new(pools, pool,
                        json_pack("{s:s,s:[s],s:i}", "kind", "model",
                                  "models", model, "prompt_weight", 0));
  }
  for (size_t i = 0; i < lab->nengines; i++) {
    const bb_engine_t *e = &lab->engines[i];
    char url[64], pool[32];
    snprintf(url, sizeof url, "http://%s:%u", e->addr.ip, e->addr.port);
    snprintf(pool, sizeof pool, "p%d",
             (int)(i / (size_t)mt_max(spec->domains, 1)) % npools + 1);
    json_object_set_new(targets, e->name,
                        json_pack("{s:s,s:s,s:s,s:i,s:i}", "pool", pool,
                                  "domain", e->domain, "url", url, "slots",
                                  e->slots, "speed", e->speed));
  }
  if (lab->service.port != 0) {
    char url[64];
    snprintf(url, sizeof url, "http://%s:%u", lab->service.ip,
             lab->service.port);
    json_object_set_new(pools, "portal",
                        json_pack("{s:s}", "kind", "service"));
    json_object_set_new(targets, "portal-1",
                        json_pack("{s:s,s:s,s:s,s:i}", "pool", "portal",
                                  "domain", "d0", "url", url, "slots", 64));
  }
  addworkspaces(lab, spec);
}

static void dumptable (const bb_lab_t *lab, const char *table) {
  char path[512];
  snprintf(path, sizeof path, "%s/decl/%s.json", lab->dir, table);
  json_dump_file(json_object_get(lab->doc, table), path, JSON_INDENT(1));
}

int bb_cli (bb_lab_t *lab, const char *const *args, char **out) {
  char command[4096];
  size_t n = (size_t)snprintf(
      command, sizeof command,
      "MARTENTILLER_STORE=http://127.0.0.1:%u %s/martentiller",
      lab->store.port, lab->bin);
  for (; *args != NULL; args++)
    n += (size_t)snprintf(command + n, sizeof command - n, " '%s'", *args);
  snprintf(command + n, sizeof command - n, " 2>&1");
  FILE *f = popen(command, "r");
  if (f == NULL) die("no shell");
  char *text = mtV_new(65536);
  size_t got = fread(text, 1, 65535, f);
  text[got] = '\0';
  int status = pclose(f);
  if (out != NULL)
    *out = text;
  else
    free(text);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

int bb_apply (bb_lab_t *lab) {
  char dir[300], *out;
  snprintf(dir, sizeof dir, "%s/decl", lab->dir);
  mkdir(dir, 0755);
  dumptable(lab, "pools");
  dumptable(lab, "targets");
  dumptable(lab, "workspaces");
  const char *args[] = {"apply", dir, NULL};
  int code = bb_cli(lab, args, &out);
  if (code != 0) fprintf(stderr, "bench: apply: %s\n", out);
  free(out);
  return code;
}

bool bb_settled (bb_lab_t *lab, int64_t revision, unsigned ms) {
  uint64_t until = uv_hrtime() + (uint64_t)ms * 1000000;
  size_t i = 0;
  while (uv_hrtime() < until) {
    json_t *s = bb_json(lab, &lab->routers[i].operators, "/status");
    size_t alive = 0, j;
    json_t *m;
    json_array_foreach (json_object_get(s, "members"), j, m) {
      alive += strcmp(mtJ_str(m, "state", ""), "alive") == 0;
    }
    bool good =
        mtJ_int(s, "revision", 0) >= revision && alive == lab->nrouters;
    json_decref(s);
    if (good && ++i == lab->nrouters) return true;
    if (!good) bb_run(lab, 20);
  }
  return false;
}

bb_lab_t *bb_start (const char *bin, const bb_spec_t *spec) {
  static int number;
  bb_lab_t *lab = mtV_new(sizeof *lab);
  signal(SIGPIPE, SIG_IGN);
  uv_loop_init(&lab->loop);
  lab->http = mtY_open(&lab->loop, MT_WAIT_MAX_MS);
  snprintf(lab->bin, sizeof lab->bin, "%s", bin);
  snprintf(lab->dir, sizeof lab->dir, "%s/lab-%d-%d", bin, (int)getpid(),
           ++number);
  snprintf(lab->sharing, sizeof lab->sharing, "%s",
           spec->sharing ? spec->sharing : "fleet");
  lab->proxied = spec->proxied;
  mkdir(lab->dir, 0755);
  const char *store[] = {"standin", "store", NULL},
             *service[] = {"standin", "service", NULL};
  const char *proxy[] = {"standin", "proxy", NULL};
  address(json_object_get(bb_spawn(lab, store, "store")->ready, "url"),
          &lab->store);
  if (spec->service)
    address(json_object_get(bb_spawn(lab, service, "service")->ready, "url"),
            &lab->service);
  if (spec->proxied)
    address(json_object_get(bb_spawn(lab, proxy, "proxy")->ready, "url"),
            &lab->proxy);
  startengines(lab, spec);
  makedoc(lab, spec);
  if (bb_apply(lab) != 0) die("the configuration was not accepted");
  startrouters(lab, spec);
  if (!bb_settled(lab, 1, READY_MS)) die("the routers did not come together");
  return lab;
}

void bb_stop (bb_lab_t *lab) {
  for (size_t i = lab->nprocs; i-- > 0;) bb_end(&lab->procs[i], SIGKILL);
  char command[300];
  snprintf(command, sizeof command, "rm -rf '%s'", lab->dir);
  if (getenv("MT_KEEP_LOGS") == NULL && system(command) != 0)
    fprintf(stderr, "bench: %s is left\n", lab->dir);
  mtY_close(lab->http);
  json_decref(lab->doc);
  free(lab->engines);
  free(lab);
}

/* }== */
