/*
** bbfault.c - injects faults into a cluster under load and checks invariants
**
** The checks use what callers, targets and the store observed, not what the
** routers report, except for the configuration revision in each router's
** metrics.
*/
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "bbout.h"

#define ROUTERS 3
#define ENGINES 3
#define STEP_MS 50    /* one step sends one or two requests */
#define LOAD_STEPS 70 /* steps under load, within which faults occur */
#define REQUESTS_MAX 4096
#define ATTEMPTS_MAX 3       /* per request, by the caller */
#define CONVERGE_MS 40000    /* time-out after the faults */
#define DRAIN_NOTICE_MS 3000 /* for routers to apply an engine's drain */

/* {== Invariants and faults ============================================ */

typedef enum invariant_t {
  CORRECT_REPLY,  /* a complete reply is exactly the one to this request */
  CORRECT_NOTRUN, /* a request reported as "not-run" has not run */
  AT_MOST_ONCE,   /* a non-repeatable request ran at most once */
  DRAINED_ENGINE_IDLE, /* no new request 3 s after its drain began */
  CLEAN_STOP,          /* a draining router finishes all replies and exits */
  REVISION_MONOTONIC, /* the revision that a router applies never decreases */
  CONFIG_CONVERGED,   /* after the faults all routers apply the newest */
  SERVED,             /* after the faults every router serves all requests */
  NINVARIANTS
} invariant_t;

static const char *const invariants[] = {
    "own_answer", "true_not_run", "at_most_once", "no_new_work",
    "clean_stop", "never_back",   "in_force",     "served"};

typedef enum faultkind_t {
  F_NONE,
  F_ROUTER_KILL,     /* a router is killed and restarted without its state */
  F_ROUTER_PAUSE,    /* a router is stopped by SIGSTOP and continued */
  F_PEER_CUT,        /* connections between two routers are closed */
  F_PEER_BLACKHOLE,  /* connections stay open but pass no bytes */
  F_PEER_ONEWAY,     /* only bytes from the first to the second are stopped */
  F_ROUTER_ISOLATED, /* a router loses all other routers and the store */
  F_ENGINE_CUT,      /* a router cannot connect to one engine */
  F_ENGINE_KILL,     /* an engine is killed */
  F_ENGINE_STALL,    /* an engine makes no progress for a while */
  F_STORE_OUTAGE,    /* the store aborts all requests */
  F_STORE_SLOW,      /* the store replies after 300 ms */
  F_STORE_LOST_ACKS, /* the replies to the next four writes are lost */
  F_ENGINE_DRAIN,    /* an engine is drained through the configuration */
  F_ROUTER_DRAIN,    /* a router is drained by SIGTERM and restarted */
  F_PUBLISH_RACE,    /* two operators publish the same policy at once */
  NFAULTS
} faultkind_t;

static const char *const faults[] = {
    "none",    "kill",   "pause",  "cut",   "blackhole", "oneway",
    "alone",   "target", "engine", "stall", "outage",    "slow",
    "lostack", "leave",  "drain",  "race"};

/* }== */

/* {== Requests ========================================================= */

typedef enum request_kind_t {
  STREAMED,       /* to an engine */
  UNSTREAMED,     /* to an engine */
  SERVICE_KEYED,  /* to the service, not repeatable, with idempotency key */
  SERVICE_UNKEYED /* the same without a key: the caller does not retry it */
} request_kind_t;

typedef struct run_t run_t;

/*
** A request of a caller, over all its attempts. `completed` counts attempts
** with a complete reply of status 200, `not_run` those that surely did not
** run, `unknowns` all but the latter. `status` and the flags are the last
** attempt's.
*/
typedef struct request_t {
  run_t *T;
  request_kind_t kind;
  int id, attempts, tokens;
  size_t router;
  uint64_t incarnation; /* of the router, when the attempt was sent */
  char content[64];
  int status, completed, not_run, unknowns;
  bool got_head, in_flight, complete, wrong;
  char *text;
  size_t n, cap;
} request_t;

/* State of one run of the benchmark. */
struct run_t {
  bb_cluster_t *cluster;
  uint64_t seed;
  request_t requests[REQUESTS_MAX];
  int nrequests, nin_flight;
  int violations[NINVARIANTS];
  uint64_t incarnations[ROUTERS];      /* incremented at each restart */
  bool draining[ROUTERS], up[ROUTERS]; /* up: neither killed nor paused */
  double revision[ROUTERS];            /* the highest seen */
  int rejected, failed, sent;
  bool engineup[ENGINES];
  char description[160]; /* seed and faults, for messages */
};

/* A random number from 0 to n - 1. */
static uint64_t random_below (run_t *T, uint64_t n) {
  return mtV_random(&T->seed) % n;
}

static void violation (run_t *T, invariant_t p, const char *why, int id) {
  T->violations[p]++;
  fprintf(stderr, "invariant %s violated: %s (id %d; %s)\n", invariants[p],
          why, id, T->description);
}

/* The text that an engine stand-in generates for a message. */
static char *expected_text (const request_t *c) {
  char *s = mtV_new((size_t)c->tokens * 8 + 1);
  uint64_t seed = mtV_hash(c->content, strlen(c->content));
  size_t n = 0;
  for (int i = 0; i < c->tokens; i++)
    n += (size_t)sprintf(s + n, "w%x ",
                         (unsigned)(mtV_mix(seed, (uint64_t)i) & 0xffff));
  return s;
}

/* The concatenated contents of a reply, streamed or not. */
static char *reply_text (const char *text) {
  static const char mark[] = "\"content\":\"";
  char *out = mtV_new(strlen(text) + 1), *to = out;
  for (const char *p = strstr(text, mark); p != NULL; p = strstr(p, mark)) {
    p += sizeof mark - 1;
    while (*p != '\0' && *p != '"') *to++ = *p++;
  }
  return out;
}

static void check_reply (request_t *c) {
  char *want = expected_text(c), *got = reply_text(c->text ? c->text : "");
  if (strcmp(want, got) != 0)
    violation(c->T, CORRECT_REPLY,
              "a complete reply has a different text than expected", c->id);
  free(want);
  free(got);
}

static void send_request (request_t *c);

static void onfinished (request_t *c) {
  run_t *T = c->T;
  bool service = c->kind == SERVICE_UNKEYED || c->kind == SERVICE_KEYED;
  c->in_flight = false;
  T->nin_flight--;
  bool marked = c->kind != STREAMED || (c->text && strstr(c->text, "[DONE]"));
  if (c->status == 200 && !marked)
    c->complete = false; /* detectably truncated */
  if (c->complete && c->status == 200 && !service) check_reply(c);
  if (c->complete && c->status == 200) c->completed++;
  if (c->complete && c->status != 200) T->rejected++;
  if (!c->complete) T->failed++;
  if (!c->complete && c->got_head && T->draining[c->router] &&
      T->incarnations[c->router] == c->incarnation)
    violation(T, CLEAN_STOP, "a draining router did not finish a reply",
              c->id);
  if (c->completed || c->attempts >= ATTEMPTS_MAX ||
      c->kind == SERVICE_UNKEYED)
    return;
  c->router = random_below(T, ROUTERS);
  send_request(c);
}

static void onresponse (void *ud, mt_call_t *call, const mt_callev_t *ev) {
  (void)call;
  request_t *c = ud;
  switch (ev->kind) {
    case MT_CALL_HEAD:
      c->status = ev->status;
      c->got_head = true;
      return;
    case MT_CALL_BODY:
      if (c->n + ev->data.n + 1 > c->cap) {
        c->cap = (c->n + ev->data.n + 1) * 2;
        c->text = realloc(c->text, c->cap);
      }
      memcpy(c->text + c->n, ev->data.p, ev->data.n);
      c->n += ev->data.n;
      c->text[c->n] = '\0';
      return;
    case MT_CALL_FAILED: c->complete = false; break;
    case MT_CALL_END: c->complete = true; break;
  }
  if (ev->kind == MT_CALL_FAILED && ev->notsent)
    c->not_run++; /* no byte of the request was sent */
  else if (!c->complete)
    c->unknowns++;
  else if (c->status != 200 && ev->outcome == MT_OUTCOME_NOTRUN)
    c->not_run++;
  else
    c->unknowns++;
  onfinished(c);
}

static void send_request (request_t *c) {
  run_t *T = c->T;
  char headers[300], body[256] = "", path[96];
  int n = snprintf(
      headers, sizeof headers,
      "Authorization: Bearer key-w%d\r\nContent-Type: application/json\r\n",
      c->id % 2 + 1);
  if (c->kind == SERVICE_UNKEYED || c->kind == SERVICE_KEYED)
    n += snprintf(headers + n, sizeof headers - (size_t)n,
                  "X-Not-Repeatable: 1\r\n");
  if (c->kind == SERVICE_KEYED)
    snprintf(headers + n, sizeof headers - (size_t)n,
             "Idempotency-Key: c%d\r\n", c->id);
  bool service = c->kind == SERVICE_UNKEYED || c->kind == SERVICE_KEYED;
  snprintf(path, sizeof path, "/services/portal/pay?call=c%d&delay=%d", c->id,
           c->tokens);
  if (!service)
    snprintf(
        body, sizeof body,
        "{\"model\":\"m1\",\"stream\":%s,\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}",
        c->kind == STREAMED ? "true" : "false", c->content);
  mt_callspec_t spec = {T->cluster->routers[c->router].callers,
                        service ? "GET" : "POST",
                        service ? path : "/v1/chat/completions",
                        headers,
                        {body, strlen(body)},
                        true};
  c->attempts++;
  c->status = 0;
  c->n = 0;
  c->got_head = c->complete = false;
  c->in_flight = true;
  c->incarnation = T->incarnations[c->router];
  T->sent++;
  T->nin_flight++;
  mtY_call(T->cluster->http, &spec, onresponse, c);
}

static void new_request (run_t *T, size_t router) {
  if (T->nrequests == REQUESTS_MAX) return;
  request_t *c = &T->requests[T->nrequests];
  c->T = T;
  c->id = T->nrequests++;
  c->kind = (request_kind_t)random_below(T, 4);
  c->router = router;
  c->tokens = 5 + (int)random_below(T, 60);
  snprintf(c->content, sizeof c->content, "call %d tokens=%d", c->id,
           c->tokens);
  send_request(c);
}

/* }== */

/* {== Faults =========================================================== */

typedef struct fault_t {
  faultkind_t kind;
  size_t a, b;     /* a: router; b: engine, or the other router of a pair */
  int from, until; /* steps; until: the fault is healed at its start */
  uint64_t drain_begun_ns; /* F_ENGINE_DRAIN: when it was applied */
} fault_t;

/* Sets the store's faults. */
static void store (run_t *T, const char *query) {
  char path[64];
  snprintf(path, sizeof path, "/switch?%s", query);
  bb_request(T->cluster, &T->cluster->store, "POST", path, NULL, NULL, NULL);
}

/* Sets the fault mode of the link of a router to a named peer. */
static void set_link_mode (run_t *T, size_t router, const char *name,
                           const char *mode) {
  bb_set_link(T->cluster, bb_link_port(T->cluster, router, name), mode, 0);
}

static void set_peer_links (run_t *T, size_t a, size_t b, const char *mode,
                            bool both) {
  set_link_mode(T, a, T->cluster->routers[b].name, mode);
  if (both) set_link_mode(T, b, T->cluster->routers[a].name, mode);
}

static void set_router_links (run_t *T, size_t a, const char *mode) {
  for (size_t b = 0; b < ROUTERS; b++)
    if (b != a) set_peer_links(T, a, b, mode, true);
  set_link_mode(T, a, "store", mode);
}

static void race_publishers (run_t *T) {
  char a[300], b[300], command[1600];
  snprintf(a, sizeof a, "%s/a.lua", T->cluster->dir);
  snprintf(b, sizeof b, "%s/b.lua", T->cluster->dir);
  snprintf(
      command, sizeof command,
      "echo 'function order(r) return 1 end' >%s; echo 'function order(r) return 2 end' >%s; "
      "export MARTENTILLER_STORE=http://127.0.0.1:%u; "
      "%s/martentiller policy publish x%d %s >/dev/null 2>&1 & "
      "%s/martentiller policy publish x%d %s >/dev/null 2>&1 & wait",
      a, b, T->cluster->store.port, T->cluster->bin, (int)(T->seed % 1000), a,
      T->cluster->bin, (int)(T->seed % 1000), b);
  if (system(command) != 0)
    fprintf(stderr,
            "bench: cannot start a shell for concurrent publishing\n");
}

static void set_leaving (run_t *T, size_t e, bool leaving) {
  json_t *row = json_object_get(json_object_get(T->cluster->doc, "targets"),
                                T->cluster->engines[e].name);
  json_object_set_new(row, "leaving", json_boolean(leaving));
  bb_apply_config(T->cluster);
}

static void stall_engine (run_t *T, size_t e, int ms) {
  char path[48];
  snprintf(path, sizeof path, "/stall?ms=%d", ms);
  bb_request(T->cluster, &T->cluster->engines[e].addr, "POST", path, NULL,
             NULL, NULL);
}

static void restart_router (run_t *T, size_t a) {
  bb_start_router(T->cluster, a);
  T->incarnations[a]++;
  T->draining[a] = false;
  T->up[a] = true;
}

static void inject (run_t *T, fault_t *f) {
  bb_router_t *r = &T->cluster->routers[f->a];
  switch (f->kind) {
    case F_ROUTER_KILL:
      T->up[f->a] = false;
      bb_end_proc(r->proc, SIGKILL);
      break;
    case F_ROUTER_PAUSE:
      T->up[f->a] = false; /* it does not reply until it is continued */
      kill(r->proc->pid, SIGSTOP);
      break;
    case F_PEER_CUT: set_peer_links(T, f->a, f->b, "cut", true); break;
    case F_PEER_BLACKHOLE:
      set_peer_links(T, f->a, f->b, "blackhole", true);
      break;
    case F_PEER_ONEWAY: set_peer_links(T, f->a, f->b, "up", false); break;
    case F_ROUTER_ISOLATED: set_router_links(T, f->a, "cut"); break;
    case F_ENGINE_CUT:
      set_link_mode(T, f->a, T->cluster->engines[f->b].name, "cut");
      break;
    case F_ENGINE_KILL:
      T->engineup[f->b] = false;
      bb_end_proc(T->cluster->engines[f->b].proc, SIGKILL);
      break;
    case F_ENGINE_STALL:
      stall_engine(T, f->b, (f->until - f->from) * STEP_MS);
      break;
    case F_STORE_OUTAGE: store(T, "outage=1"); break;
    case F_STORE_SLOW: store(T, "slow=300"); break;
    case F_STORE_LOST_ACKS: store(T, "lostack=4"); break;
    case F_ENGINE_DRAIN:
      set_leaving(T, f->b, true);
      f->drain_begun_ns = uv_hrtime();
      break;
    case F_ROUTER_DRAIN:
      T->draining[f->a] = true;
      kill(r->proc->pid, SIGTERM);
      break;
    case F_PUBLISH_RACE: race_publishers(T); break;
    case F_NONE:
    case NFAULTS: break;
  }
}

static void heal (run_t *T, const fault_t *f) {
  bb_router_t *r = &T->cluster->routers[f->a];
  switch (f->kind) {
    case F_ROUTER_KILL: restart_router(T, f->a); break;
    case F_ROUTER_PAUSE:
      kill(r->proc->pid, SIGCONT);
      T->up[f->a] = true;
      break;
    case F_PEER_CUT:
    case F_PEER_BLACKHOLE:
    case F_PEER_ONEWAY: set_peer_links(T, f->a, f->b, "pass", true); break;
    case F_ROUTER_ISOLATED: set_router_links(T, f->a, "pass"); break;
    case F_ENGINE_CUT:
      set_link_mode(T, f->a, T->cluster->engines[f->b].name, "pass");
      break;
    case F_STORE_OUTAGE: store(T, "outage=0"); break;
    case F_STORE_SLOW: store(T, "slow=0"); break;
    case F_STORE_LOST_ACKS: store(T, "lostack=0"); break;
    default: break;
  }
}

/*
** Chooses a fault; the slot, 0 or 1, gives the router and the engine, so that
** the two faults of a run do not kill or pause the same process.
*/
static fault_t choose_fault (run_t *T, int slot) {
  fault_t f = {.kind = (faultkind_t)(1 + random_below(T, NFAULTS - 1))};
  f.a = (size_t)slot;
  f.b = (size_t)slot + 1;
  f.from = 5 + (int)random_below(T, 15);
  f.until = f.from + 15 + (int)random_below(T, 25);
  return f;
}

/* }== */

/* {== Checks =========================================================== */

static void check_revisions (run_t *T) {
  for (size_t i = 0; i < ROUTERS; i++) {
    if (!T->up[i] || T->draining[i]) continue;
    double r = bb_metric(T->cluster, i, "config_revision");
    if (r <= 0) continue; /* not reachable, or no configuration yet */
    if (r < T->revision[i])
      violation(T, REVISION_MONOTONIC,
                "the applied revision of a router decreased", (int)i);
    T->revision[i] = mt_max(r, T->revision[i]);
  }
}

static double engine_runs (run_t *T, size_t e) {
  json_t *s = bb_get_json(T->cluster, &T->cluster->engines[e].addr, "/stats");
  double n = json_number_value(json_object_get(s, "runs"));
  json_decref(s);
  return n;
}

/* After DRAIN_NOTICE_MS the drained engine's count of runs must not grow. */
static void check_drained_engine (run_t *T, const fault_t *f) {
  uint64_t waited = (uv_hrtime() - f->drain_begun_ns) / 1000000;
  if (waited < DRAIN_NOTICE_MS)
    bb_run_loop(T->cluster, (unsigned)(DRAIN_NOTICE_MS - waited));
  double before = engine_runs(T, f->b);
  for (int i = 0; i < 12; i++) new_request(T, (size_t)i % ROUTERS);
  bb_run_loop(T->cluster, 400);
  if (engine_runs(T, f->b) > before)
    violation(T, DRAINED_ENGINE_IDLE, "a drained engine got a new request",
              (int)f->b);
}

static void check_service_runs (run_t *T) {
  json_t *ran = bb_get_json(T->cluster, &T->cluster->service, "/calls");
  for (int i = 0; i < T->nrequests; i++) {
    const request_t *c = &T->requests[i];
    char name[16];
    if (c->kind != SERVICE_UNKEYED && c->kind != SERVICE_KEYED) continue;
    snprintf(name, sizeof name, "c%d", c->id);
    int n = (int)json_integer_value(json_object_get(ran, name));
    if (n > 1)
      violation(T, AT_MOST_ONCE, "the request ran more than once", c->id);
    if (n > 0 && c->completed == 0 && c->unknowns == 0)
      violation(T, CORRECT_NOTRUN, "reported as not-run, but it ran", c->id);
    if (n == 0 && c->completed > 0)
      violation(T, CORRECT_REPLY,
                "replied with status 200, but it did not run", c->id);
  }
  json_decref(ran);
}

/* A draining router must exit with status 0 within 20 s; restarts it. */
static void check_drained_router (run_t *T, const fault_t *f) {
  bb_proc_t *p = T->cluster->routers[f->a].proc;
  int status = 0;
  pid_t got = 0;
  for (int i = 0; i < 400 && got == 0; i++) {
    got = waitpid(p->pid, &status, WNOHANG);
    if (got == 0) bb_run_loop(T->cluster, 50);
  }
  if (got != p->pid || !WIFEXITED(status) || WEXITSTATUS(status) != 0)
    violation(T, CLEAN_STOP,
              "a drained router did not exit with status 0 within 20 s",
              (int)f->a);
  if (got == p->pid) p->pid = 0;
  restart_router(T, f->a);
}

/* Sends requests to every router; all must be completed. */
static void check_served (run_t *T) {
  for (size_t i = 0; i < ROUTERS; i++) {
    int first = T->nrequests;
    for (int k = 0; k < 4; k++) new_request(T, i);
    for (int w = 0; w < 400 && T->nin_flight > 0; w++)
      bb_run_loop(T->cluster, 50);
    for (int k = first; k < T->nrequests; k++) {
      const request_t *c = &T->requests[k];
      if (!c->completed)
        violation(T, SERVED, "not completed after the faults had ended",
                  c->id);
    }
  }
}

/* }== */

/* {== Runs ============================================================= */

static int64_t newest_revision (run_t *T) {
  char *text;
  bb_request(T->cluster, &T->cluster->store, "GET", "/kv/mt/head", NULL, NULL,
             &text);
  json_t *doc = json_loads(text, 0, NULL);
  int64_t r = mtJ_int(doc, "revision", 0);
  json_decref(doc);
  free(text);
  return r;
}

static void run_seed (const bb_options_t *o, uint64_t seed, run_t *T) {
  bb_cluster_spec_t spec = {.domains = 3,
                            .routers = ROUTERS,
                            .engines = ENGINES,
                            .slots = 4,
                            .rate = 300,
                            .workspaces = 2};
  spec.engineprocs = ENGINES;
  spec.service = spec.proxied = true;
  T->seed = seed;
  T->cluster = bb_start_cluster(o->bin, &spec);
  for (size_t i = 0; i < ROUTERS; i++) T->up[i] = true;
  for (size_t i = 0; i < ENGINES; i++) T->engineup[i] = true;
  fault_t f[2] = {choose_fault(T, 0), choose_fault(T, 1)};
  if (o->only != NULL)
    for (int k = 0; k < NFAULTS; k++)
      if (strcmp(faults[k], o->only) == 0) f[0].kind = (faultkind_t)k;
  if (seed % 2 || o->only != NULL) f[1].kind = F_NONE;
  snprintf(T->description, sizeof T->description, "seed %llu: %s, %s",
           (unsigned long long)seed, faults[f[0].kind], faults[f[1].kind]);
  for (int step = 0; step < LOAD_STEPS; step++) {
    for (int k = 0; k < 2; k++) {
      if (step == f[k].from) inject(T, &f[k]);
      if (step == f[k].until) heal(T, &f[k]);
    }
    new_request(T, random_below(T, ROUTERS));
    if (random_below(T, 2)) new_request(T, random_below(T, ROUTERS));
    bb_run_loop(T->cluster, STEP_MS);
    if (step % 5 == 0) check_revisions(T);
  }
  for (int k = 0; k < 2; k++) {
    if (f[k].until >= LOAD_STEPS) heal(T, &f[k]);
    if (f[k].kind == F_ROUTER_DRAIN) check_drained_router(T, &f[k]);
  }
  for (int w = 0; w < 600 && T->nin_flight > 0; w++)
    bb_run_loop(T->cluster, 50);
  if (!bb_wait_converged(T->cluster, newest_revision(T), CONVERGE_MS))
    violation(T, CONFIG_CONVERGED,
              "not all routers applied the newest revision within 40 s", 0);
  for (int k = 0; k < 2; k++)
    if (f[k].kind == F_ENGINE_DRAIN) check_drained_engine(T, &f[k]);
  for (int w = 0; w < 400 && T->nin_flight > 0; w++)
    bb_run_loop(T->cluster, 50);
  check_revisions(T);
  check_served(T);
  check_service_runs(T);
  for (int i = 0; i < T->nrequests; i++) free(T->requests[i].text);
  bb_stop_cluster(T->cluster);
}

int bb_faults (const bb_options_t *o) {
  int total = 0, sums[NINVARIANTS] = {0}, rejected = 0, failed = 0, sent = 0;
  int runs = o->repeat > 1 ? o->repeat : 10;
  for (int k = 0; k < runs; k++) {
    run_t *T = mtV_new(sizeof *T);
    run_seed(o, o->seed + (uint64_t)k, T);
    int bad = 0;
    for (int p = 0; p < NINVARIANTS; p++) {
      bad += T->violations[p];
      sums[p] += T->violations[p];
    }
    fprintf(stderr, "%s: asked %d, refused %d, failed %d, breaches %d\n",
            T->description, T->sent, T->rejected, T->failed, bad);
    total += bad;
    rejected += T->rejected;
    failed += T->failed;
    sent += T->sent;
    free(T);
  }
  bb_print_value("runs", runs, "runs");
  bb_print_value("breaches", total, "breaches");
  for (int p = 0; p < NINVARIANTS; p++)
    bb_print_value(invariants[p], sums[p], "breaches");
  bb_print_value("asked", sent, "requests");
  bb_print_value("refused", rejected, "requests");
  bb_print_value("failed", failed, "requests");
  return total != 0;
}

/* }== */
