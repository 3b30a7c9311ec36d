/*
** bbcluster.c - starts, configures and queries a test cluster on loopback
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

#include "boot_clock.h"
#include "bbcluster.h"
#include "mtcrypt.h"

#define READY_MS 60000 /* time-out for a start and for convergence */
#define READY_LINE_BYTES 262144
#define PORT_MIN 10000
#define PORT_COUNT 20000

extern char **environ;

/* {== Processes ======================================================== */

static void die (const char *what) {
  fprintf(stderr, "bench: %s\n", what);
  exit(1);
}

/*
** Reads one line of JSON; NULL when nothing comes for READY_MS, the writer
** closes its end, or the line is not JSON or too long.
*/
static json_t *read_ready_line (int fd) {
  static char line[READY_LINE_BYTES];
  size_t n = 0;
  struct pollfd p = {fd, POLLIN, 0};
  while (n + 1 < sizeof line && poll(&p, 1, READY_MS) == 1) {
    if (read(fd, line + n, 1) != 1) break;
    if (line[n] == '\n') return json_loadb(line, n, 0, NULL);
    n++;
  }
  return NULL;
}

bb_proc_t *bb_spawn (bb_cluster_t *cluster, const char *const *argv,
                     const char *log) {
  if (cluster->nprocs == BB_PROCS_MAX)
    die("more processes than BB_PROCS_MAX");
  bb_proc_t *p = &cluster->procs[cluster->nprocs++];
  char path[512], logpath[512];
  int fds[2];
  snprintf(path, sizeof path, "%s/%s", cluster->bin, argv[0]);
  snprintf(logpath, sizeof logpath, "%s/%s.log", cluster->dir, log);
  if (pipe2(fds, O_CLOEXEC) != 0) die("cannot create a pipe");
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
  p->ready = read_ready_line(p->out);
  if (p->ready == NULL) {
    fprintf(stderr, "bench: %s %s printed no ready line; see %s\n", argv[0],
            argv[1], logpath);
    exit(1);
  }
  return p;
}

int bb_end_proc (bb_proc_t *p, int signum) {
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

static void parse_address (const json_t *v, mt_addr_t *a) {
  const char *s = json_string_value(v);
  if (s == NULL || !mtJ_address(s, a->ip, &a->port))
    die("a ready line has no valid IP:PORT address");
}

/* }== */

/* {== Requests ========================================================= */

typedef struct response_t {
  uv_loop_t *loop;
  uint64_t first_byte_ns;
  int status;
  bool done;
  char *text;
  size_t n, cap;
} response_t;

static void onresponse (void *ud, mt_call_t *call, const mt_callev_t *ev) {
  (void)call;
  response_t *p = ud;
  switch (ev->kind) {
    case MT_CALL_HEAD: p->status = ev->status; return;
    case MT_CALL_BODY:
      if (p->first_byte_ns == 0) p->first_byte_ns = uv_hrtime();
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

int bb_request (bb_cluster_t *cluster, const mt_addr_t *a, const char *method,
                const char *path, const char *headers, const char *body,
                char **text) {
  response_t p = {.loop = &cluster->loop};
  mt_callspec_t spec = {
      *a,  method, path, headers, {body ? body : "", body ? strlen(body) : 0},
      true};
  uv_update_time(&cluster->loop);
  mtY_call(cluster->http, &spec, onresponse, &p);
  while (!p.done) uv_run(&cluster->loop, UV_RUN_DEFAULT);
  cluster->first_byte_ns = p.first_byte_ns;
  if (text != NULL)
    *text = p.text ? p.text : strdup("");
  else
    free(p.text);
  return p.status;
}

json_t *bb_get_json (bb_cluster_t *cluster, const mt_addr_t *a,
                     const char *path) {
  char *text;
  int status = bb_request(cluster, a, "GET", path, NULL, NULL, &text);
  json_t *doc = status == 200 ? json_loads(text, 0, NULL) : NULL;
  free(text);
  return doc;
}

static void ontimeout (uv_timer_t *t) {
  uv_stop(t->loop);
}

static void onclosed (uv_handle_t *h) {
  *(bool *)h->data = true;
}

void bb_run_loop (bb_cluster_t *cluster, unsigned ms) {
  uv_timer_t t;
  bool closed = false;
  uv_update_time(&cluster->loop);
  uint64_t until = uv_now(&cluster->loop) + ms;
  uv_timer_init(&cluster->loop, &t);
  t.data = &closed;
  uv_timer_start(&t, ontimeout, ms, 0);
  while (uv_now(&cluster->loop) < until)
    uv_run(&cluster->loop, UV_RUN_DEFAULT);
  uv_close((uv_handle_t *)&t, onclosed);
  while (!closed) uv_run(&cluster->loop, UV_RUN_NOWAIT);
}

double bb_metric (bb_cluster_t *cluster, size_t router, const char *name) {
  char *text;
  double sum = 0;
  size_t n = strlen(name);
  if (bb_request(cluster, &cluster->routers[router].operators, "GET",
                 "/metrics", NULL, NULL, &text) == 200) {
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

uint16_t bb_add_link (bb_cluster_t *cluster, const mt_addr_t *to) {
  char path[128], *text;
  snprintf(path, sizeof path, "/link?to=%s:%u", to->ip, to->port);
  bb_request(cluster, &cluster->proxy, "POST", path, NULL, NULL, &text);
  json_t *doc = json_loads(text, 0, NULL);
  uint16_t port = (uint16_t)json_integer_value(json_object_get(doc, "port"));
  json_decref(doc);
  free(text);
  return port;
}

void bb_set_link (bb_cluster_t *cluster, uint16_t port, const char *mode,
                  int delay) {
  char path[128];
  snprintf(path, sizeof path, "/set?port=%u&mode=%s&delay=%d", port, mode,
           delay);
  bb_request(cluster, &cluster->proxy, "POST", path, NULL, NULL, NULL);
}

uint16_t bb_link_port (const bb_cluster_t *cluster, size_t i,
                       const char *name) {
  mt_addr_t a = {"", 0};
  json_t *doc = json_load_file(cluster->routers[i].settings, 0, NULL);
  const char *s = strcmp(name, "store") == 0
                      ? mtJ_str(doc, "store", "")
                      : mtJ_str(json_object_get(doc, "routes"), name, "");
  mtJ_address(s, a.ip, &a.port);
  json_decref(doc);
  return a.port;
}

/* Adds a link for each route of a router: to routers, targets and store. */
static void add_links (bb_cluster_t *cluster, json_t *set) {
  json_t *routes = json_object();
  char text[64];
  for (size_t j = 0; j < cluster->nrouters; j++) {
    snprintf(text, sizeof text, "127.0.0.1:%u",
             bb_add_link(cluster, &cluster->routers[j].peers));
    json_object_set_new(routes, cluster->routers[j].name, json_string(text));
  }
  for (size_t j = 0; j < cluster->nengines; j++) {
    snprintf(text, sizeof text, "127.0.0.1:%u",
             bb_add_link(cluster, &cluster->engines[j].addr));
    json_object_set_new(routes, cluster->engines[j].name, json_string(text));
  }
  if (cluster->service.port != 0) {
    snprintf(text, sizeof text, "127.0.0.1:%u",
             bb_add_link(cluster, &cluster->service));
    json_object_set_new(routes, "portal-1", json_string(text));
  }
  snprintf(text, sizeof text, "http://127.0.0.1:%u",
           bb_add_link(cluster, &cluster->store));
  json_object_set_new(set, "store", json_string(text));
  json_object_set_new(set, "routes", routes);
}

/* }== */

/* {== Routers ========================================================== */

/*
** A port that is free now, for a router to bind when it starts. It lies below
** the ephemeral range, so the kernel does not give it out in between.
*/
static uint16_t free_port (void) {
  static uint64_t state;
  if (state == 0) state = mtV_mix(uv_hrtime(), (uint64_t)getpid());
  for (;;) {
    struct sockaddr_in a = {.sin_family = AF_INET};
    uint16_t port = (uint16_t)(PORT_MIN + mtV_random(&state) % PORT_COUNT);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    a.sin_port = htons(port);
    int rc = bind(fd, (struct sockaddr *)&a, sizeof a);
    close(fd);
    if (rc == 0) return port;
  }
}

static void write_settings (bb_cluster_t *cluster, size_t i) {
  bb_router_t *r = &cluster->routers[i];
  char peers[64], store[64], seed[64];
  snprintf(peers, sizeof peers, "127.0.0.1:%u", r->peers.port);
  snprintf(store, sizeof store, "http://127.0.0.1:%u", cluster->store.port);
  json_t *seeds = json_array();
  for (size_t j = 0; j < cluster->nrouters && json_array_size(seeds) < 3;
       j++) {
    if (j == i) continue;
    snprintf(seed, sizeof seed, "127.0.0.1:%u",
             cluster->routers[j].peers.port);
    json_array_append_new(seeds, json_string(seed));
  }
  json_t *set =
      json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:[s],s:o,s:s}", "node", r->name,
                "domain", r->domain, "callers", "127.0.0.1:0", "operators",
                "127.0.0.1:0", "peers", peers, "store", store, "peer_keys",
                BB_PEER_KEY, "seeds", seeds, "sharing", cluster->sharing);
  if (cluster->proxied) add_links(cluster, set);
  json_dump_file(set, r->settings, JSON_INDENT(1));
  json_decref(set);
}

void bb_start_router (bb_cluster_t *cluster, size_t i) {
  bb_router_t *r = &cluster->routers[i];
  const char *argv[] = {"martentiller", "router", "--settings", r->settings,
                        NULL};
  r->proc = bb_spawn(cluster, argv, r->name);
  parse_address(json_object_get(r->proc->ready, "callers"), &r->callers);
  parse_address(json_object_get(r->proc->ready, "operators"), &r->operators);
}

static void start_routers (bb_cluster_t *cluster,
                           const bb_cluster_spec_t *spec) {
  cluster->nrouters = (size_t)spec->routers;
  for (size_t i = 0; i < cluster->nrouters; i++) {
    bb_router_t *r = &cluster->routers[i];
    snprintf(r->name, sizeof r->name, "r%zu", i + 1);
    snprintf(r->domain, sizeof r->domain, "d%zu", i % (size_t)spec->domains);
    snprintf(r->settings, sizeof r->settings, "%s/%s.json", cluster->dir,
             r->name);
    snprintf(r->peers.ip, sizeof r->peers.ip, "127.0.0.1");
    r->peers.port = free_port();
  }
  for (size_t i = 0; i < cluster->nrouters; i++) write_settings(cluster, i);
  for (size_t i = 0; i < cluster->nrouters; i++) bb_start_router(cluster, i);
}

/* }== */

/* {== Cluster ========================================================== */

static void start_engines (bb_cluster_t *cluster,
                           const bb_cluster_spec_t *spec) {
  int procs = mt_max(spec->engineprocs, 1), left = spec->engines;
  cluster->engines =
      mtV_new((size_t)mt_max(spec->engines, 1) * sizeof *cluster->engines);
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
    bb_proc_t *p = bb_spawn(cluster, argv, "engine");
    size_t i;
    json_t *e;
    json_array_foreach (json_object_get(p->ready, "engines"), i, e) {
      bb_engine_t *x = &cluster->engines[cluster->nengines];
      snprintf(x->name, sizeof x->name, "e%zu", cluster->nengines + 1);
      snprintf(x->domain, sizeof x->domain, "d%zu",
               cluster->nengines % (size_t)spec->domains);
      parse_address(json_object_get(e, "url"), &x->addr);
      x->slots = (int)json_integer_value(json_object_get(e, "slots"));
      x->speed = (int)json_number_value(json_object_get(e, "speed"));
      x->proc = p;
      cluster->nengines++;
    }
    left -= count;
  }
}

static void add_workspaces (bb_cluster_t *cluster,
                            const bb_cluster_spec_t *spec) {
  json_t *ws = json_object_get(cluster->doc, "workspaces");
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

static void make_config (bb_cluster_t *cluster,
                         const bb_cluster_spec_t *spec) {
  cluster->doc =
      json_pack("{s:{},s:{},s:{}}", "pools", "targets", "workspaces");
  json_t *pools = json_object_get(cluster->doc, "pools"),
         *targets = json_object_get(cluster->doc, "targets");
  int npools = mt_max(spec->pools, 1);
  for (int i = 0; i < npools; i++) {
    char pool[32], model[32];
    snprintf(pool, sizeof pool, "p%d", i + 1);
    snprintf(model, sizeof model, "m%d", i + 1);
    json_object_set_new(pools, pool,
                        json_pack("{s:s,s:[s],s:i}", "kind", "model",
                                  "models", model, "prompt_weight", 0));
  }
  for (size_t i = 0; i < cluster->nengines; i++) {
    const bb_engine_t *e = &cluster->engines[i];
    char url[64], pool[32];
    snprintf(url, sizeof url, "http://%s:%u", e->addr.ip, e->addr.port);
    snprintf(pool, sizeof pool, "p%d",
             (int)(i / (size_t)mt_max(spec->domains, 1)) % npools + 1);
    json_object_set_new(targets, e->name,
                        json_pack("{s:s,s:s,s:s,s:i,s:i}", "pool", pool,
                                  "domain", e->domain, "url", url, "slots",
                                  e->slots, "speed", e->speed));
  }
  if (cluster->service.port != 0) {
    char url[64];
    snprintf(url, sizeof url, "http://%s:%u", cluster->service.ip,
             cluster->service.port);
    json_object_set_new(pools, "portal",
                        json_pack("{s:s}", "kind", "service"));
    json_object_set_new(targets, "portal-1",
                        json_pack("{s:s,s:s,s:s,s:i}", "pool", "portal",
                                  "domain", "d0", "url", url, "slots", 64));
  }
  add_workspaces(cluster, spec);
}

static void dump_table (const bb_cluster_t *cluster, const char *table) {
  char path[512];
  snprintf(path, sizeof path, "%s/decl/%s.json", cluster->dir, table);
  json_dump_file(json_object_get(cluster->doc, table), path, JSON_INDENT(1));
}

int bb_cli (bb_cluster_t *cluster, const char *const *args, char **out) {
  char command[4096];
  size_t n = (size_t)snprintf(
      command, sizeof command,
      "MARTENTILLER_STORE=http://127.0.0.1:%u %s/martentiller",
      cluster->store.port, cluster->bin);
  for (; *args != NULL; args++)
    n += (size_t)snprintf(command + n, sizeof command - n, " '%s'", *args);
  snprintf(command + n, sizeof command - n, " 2>&1");
  FILE *f = popen(command, "r");
  if (f == NULL) die("cannot start a shell");
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

int bb_apply_config (bb_cluster_t *cluster) {
  char dir[300], *out;
  snprintf(dir, sizeof dir, "%s/decl", cluster->dir);
  mkdir(dir, 0755);
  dump_table(cluster, "pools");
  dump_table(cluster, "targets");
  dump_table(cluster, "workspaces");
  const char *args[] = {"apply", dir, NULL};
  int code = bb_cli(cluster, args, &out);
  if (code != 0)
    fprintf(stderr, "bench: martentiller apply failed: %s\n", out);
  free(out);
  return code;
}

bool bb_wait_converged (bb_cluster_t *cluster, int64_t revision,
                        unsigned ms) {
  uint64_t until = uv_hrtime() + (uint64_t)ms * 1000000;
  size_t i = 0;
  while (uv_hrtime() < until) {
    json_t *s =
        bb_get_json(cluster, &cluster->routers[i].operators, "/status");
    size_t alive = 0, j;
    json_t *m;
    json_array_foreach (json_object_get(s, "members"), j, m) {
      alive += strcmp(mtJ_str(m, "state", ""), "alive") == 0;
    }
    bool good =
        mtJ_int(s, "revision", 0) >= revision && alive == cluster->nrouters;
    json_decref(s);
    if (good && ++i == cluster->nrouters) return true;
    if (!good) bb_run_loop(cluster, 20);
  }
  return false;
}

bb_cluster_t *bb_start_cluster (const char *bin,
                                const bb_cluster_spec_t *spec) {
  static int number;
  bb_cluster_t *cluster = mtV_new(sizeof *cluster);
  signal(SIGPIPE, SIG_IGN);
  mt_boot_clock_init_loop(&cluster->loop);
  cluster->http = mtY_open(&cluster->loop, MT_WAIT_MAX_MS);
  snprintf(cluster->bin, sizeof cluster->bin, "%s", bin);
  snprintf(cluster->dir, sizeof cluster->dir, "%s/lab-%d-%d", bin,
           (int)getpid(), ++number);
  snprintf(cluster->sharing, sizeof cluster->sharing, "%s",
           spec->sharing ? spec->sharing : "fleet");
  cluster->proxied = spec->proxied;
  mkdir(cluster->dir, 0755);
  const char *store[] = {"standin", "store", NULL},
             *service[] = {"standin", "service", NULL};
  const char *proxy[] = {"standin", "proxy", NULL};
  parse_address(
      json_object_get(bb_spawn(cluster, store, "store")->ready, "url"),
      &cluster->store);
  if (spec->service)
    parse_address(
        json_object_get(bb_spawn(cluster, service, "service")->ready, "url"),
        &cluster->service);
  if (spec->proxied)
    parse_address(
        json_object_get(bb_spawn(cluster, proxy, "proxy")->ready, "url"),
        &cluster->proxy);
  start_engines(cluster, spec);
  make_config(cluster, spec);
  if (bb_apply_config(cluster) != 0)
    die("the initial configuration was rejected");
  start_routers(cluster, spec);
  if (!bb_wait_converged(cluster, 1, READY_MS))
    die("the routers did not converge within 60 s");
  return cluster;
}

void bb_stop_cluster (bb_cluster_t *cluster) {
  for (size_t i = cluster->nprocs; i-- > 0;)
    bb_end_proc(&cluster->procs[i], SIGKILL);
  char command[300];
  snprintf(command, sizeof command, "rm -rf '%s'", cluster->dir);
  if (getenv("MT_KEEP_LOGS") == NULL && system(command) != 0)
    fprintf(stderr, "bench: cannot delete %s\n", cluster->dir);
  mtY_close(cluster->http);
  json_decref(cluster->doc);
  free(cluster->engines);
  free(cluster);
}

/* }== */
