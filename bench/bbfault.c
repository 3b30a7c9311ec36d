/*
** bbfault.c - faults on a real fleet under load, and a checker of promises
**
** The checker reads what callers, targets and the store saw, never what the
** routers claim (but for the revision that each says is in force).
*/
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "bbout.h"

#define ROUTERS 3
#define ENGINES 3
#define STEP_MS 50
#define LOAD_STEPS 70
#define MAX_CALLS 4096
#define TRIES 3
#define SETTLE_MS 40000
#define LEAVE_MS 3000

/* {== Promises ========================================================= */

typedef enum promise_t {
  OWN_ANSWER,   /* each whole answer is the caller's own, and whole */
  TRUE_NOTRUN,  /* "not-run" is true */
  AT_MOST_ONCE, /* what may not be repeated ran at most once */
  NO_NEW_WORK,  /* a leaving engine gets nothing new after 3 s */
  CLEAN_STOP,   /* a planned stop cuts nothing off and ends by itself */
  NEVER_BACK,   /* a revision in force never falls */
  IN_FORCE,     /* after the faults the newest is in force everywhere */
  SERVED,       /* after the faults everyone is served */
  NPROMISES
} promise_t;

static const char *const promises[] = {
    "own_answer", "true_not_run", "at_most_once", "no_new_work",
    "clean_stop", "never_back",   "in_force",     "served"};

typedef enum faultkind_t {
  F_NONE,
  F_KILL,      /* a router dies and comes back without memory */
  F_PAUSE,     /* a router is paused and resumes */
  F_CUT,       /* two routers lose each other */
  F_BLACKHOLE, /* the same, without an error */
  F_ONEWAY,    /* the same, in one direction */
  F_ALONE,     /* a router loses the others and the store */
  F_TARGET,    /* a router loses one engine */
  F_ENGINE,    /* an engine dies */
  F_STALL,     /* an engine answers late */
  F_OUTAGE,    /* the store is out of reach for all */
  F_SLOW,      /* the store is slow */
  F_LOSTACK,   /* the store's next acknowledgements are lost */
  F_LEAVE,     /* an engine leaves, by configuration */
  F_DRAIN,     /* a router is stopped as planned */
  F_RACE,      /* two operators change the same policy */
  NFAULTS
} faultkind_t;

static const char *const faults[] = {
    "none",    "kill",   "pause",  "cut",   "blackhole", "oneway",
    "alone",   "target", "engine", "stall", "outage",    "slow",
    "lostack", "leave",  "drain",  "race"};

/* }== */

/* {== Calls ============================================================ */

typedef enum callkind_t { STREAM, WHOLE, ONCE_KEYED, ONCE } callkind_t;

typedef struct test_t test_t;

/* One request of a caller, with its repeats. */
typedef struct call_t {
  test_t *T;
  callkind_t kind;
  int id, tries, tokens;
  size_t router;
  uint64_t boot; /* of the router's process, as we count it */
  char content[64];
  int status, answered, notruns, unknowns;
  bool head, busy, whole, wrong;
  char *text;
  size_t n, cap;
} call_t;

struct test_t {
  bb_lab_t *lab;
  uint64_t seed;
  call_t calls[MAX_CALLS];
  int ncalls, open;
  int breaches[NPROMISES];
  uint64_t boots[ROUTERS]; /* raised at each start of a router */
  bool draining[ROUTERS], up[ROUTERS];
  double revision[ROUTERS];
  int refused, failed, asked;
  bool engineup[ENGINES];
  char what[160];
};

static uint64_t rnd (test_t *T, uint64_t n) {
  return mtV_random(&T->seed) % n;
}

static void breach (test_t *T, promise_t p, const char *why, int id) {
  T->breaches[p]++;
  fprintf(stderr, "breach of %s: %s (call %d; %s)\n", promises[p], why, id,
          T->what);
}

/* The text that the engine stand-in makes of a message. */
static char *expected (const call_t *c) {
  char *s = mtV_new((size_t)c->tokens * 8 + 1);
  uint64_t seed = mtV_hash(c->content, strlen(c->content));
  size_t n = 0;
  for (int i = 0; i < c->tokens; i++)
    n += (size_t)sprintf(s + n, "w%x ",
                         (unsigned)(mtV_mix(seed, (uint64_t)i) & 0xffff));
  return s;
}

/* All contents in an answer, streamed or not, one after the other. */
static char *contents (const char *text) {
  static const char mark[] = "\"content\":\"";
  char *out = mtV_new(strlen(text) + 1), *to = out;
  for (const char *p = strstr(text, mark); p != NULL; p = strstr(p, mark)) {
    p += sizeof mark - 1;
    while (*p != '\0' && *p != '"') *to++ = *p++;
  }
  return out;
}

static void checkanswer (call_t *c) {
  char *want = expected(c), *got = contents(c->text ? c->text : "");
  if (strcmp(want, got) != 0)
    breach(c->T, OWN_ANSWER, "an answer that ended well is not the right one",
           c->id);
  free(want);
  free(got);
}

static void ask (call_t *c);

static void finished (call_t *c) {
  test_t *T = c->T;
  bool service = c->kind == ONCE || c->kind == ONCE_KEYED;
  c->busy = false;
  T->open--;
  bool marked = c->kind != STREAM || (c->text && strstr(c->text, "[DONE]"));
  if (c->status == 200 && !marked) c->whole = false; /* a caller can tell */
  if (c->whole && c->status == 200 && !service) checkanswer(c);
  if (c->whole && c->status == 200) c->answered++;
  if (c->whole && c->status != 200) T->refused++;
  if (!c->whole) T->failed++;
  if (!c->whole && c->head && T->draining[c->router] &&
      T->boots[c->router] == c->boot)
    breach(T, CLEAN_STOP, "an answer was cut off by a planned stop", c->id);
  if (c->answered || c->tries >= TRIES || c->kind == ONCE) return;
  c->router = rnd(T, ROUTERS);
  ask(c);
}

static void onanswer (void *ud, mt_call_t *call, const mt_callev_t *ev) {
  (void)call;
  call_t *c = ud;
  switch (ev->kind) {
    case MT_CALL_HEAD:
      c->status = ev->status;
      c->head = true;
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
    case MT_CALL_FAILED: c->whole = false; break;
    case MT_CALL_END: c->whole = true; break;
  }
  if (ev->kind == MT_CALL_FAILED && ev->notsent)
    c->notruns++; /* the caller itself knows that nothing went out */
  else if (!c->whole)
    c->unknowns++;
  else if (c->status != 200 && ev->outcome == MT_OUTCOME_NOTRUN)
    c->notruns++;
  else
    c->unknowns++;
  finished(c);
}

static void ask (call_t *c) {
  test_t *T = c->T;
  char headers[300], body[256] = "", path[96];
  int n = snprintf(
      headers, sizeof headers,
      "Authorization: Bearer key-w%d\r\nContent-Type: application/json\r\n",
      c->id % 2 + 1);
  if (c->kind == ONCE || c->kind == ONCE_KEYED)
    n += snprintf(headers + n, sizeof headers - (size_t)n,
                  "X-Not-Repeatable: 1\r\n");
  if (c->kind == ONCE_KEYED)
    snprintf(headers + n, sizeof headers - (size_t)n,
             "Idempotency-Key: c%d\r\n", c->id);
  bool service = c->kind == ONCE || c->kind == ONCE_KEYED;
  snprintf(path, sizeof path, "/services/portal/pay?call=c%d&delay=%d", c->id,
           c->tokens);
  if (!service)
    snprintf(
        body, sizeof body,
        "{\"model\":\"m1\",\"stream\":%s,\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}",
        c->kind == STREAM ? "true" : "false", c->content);
  mt_callspec_t spec = {T->lab->routers[c->router].callers,
                        service ? "GET" : "POST",
                        service ? path : "/v1/chat/completions",
                        headers,
                        {body, strlen(body)},
                        true};
  c->tries++;
  c->status = 0;
  c->n = 0;
  c->head = c->whole = false;
  c->busy = true;
  c->boot = T->boots[c->router];
  T->asked++;
  T->open++;
  mtY_call(T->lab->http, &spec, onanswer, c);
}

static void newcall (test_t *T, size_t router) {
  if (T->ncalls == MAX_CALLS) return;
  call_t *c = &T->calls[T->ncalls];
  c->T = T;
  c->id = T->ncalls++;
  c->kind = (callkind_t)rnd(T, 4);
  c->router = router;
  c->tokens = 5 + (int)rnd(T, 60);
  snprintf(c->content, sizeof c->content, "call %d tokens=%d", c->id,
           c->tokens);
  ask(c);
}

/* }== */

/* {== Faults =========================================================== */

typedef struct fault_t {
  faultkind_t kind;
  size_t a, b; /* routers or engines concerned */
  int from, till;
  uint64_t applied; /* when a leaving engine was declared */
} fault_t;

static void store (test_t *T, const char *query) {
  char path[64];
  snprintf(path, sizeof path, "/switch?%s", query);
  bb_call(T->lab, &T->lab->store, "POST", path, NULL, NULL, NULL);
}

static void link1 (test_t *T, size_t router, const char *name,
                   const char *mode) {
  bb_setlink(T->lab, bb_linkport(T->lab, router, name), mode, 0);
}

static void pairlinks (test_t *T, size_t a, size_t b, const char *mode,
                       bool both) {
  link1(T, a, T->lab->routers[b].name, mode);
  if (both) link1(T, b, T->lab->routers[a].name, mode);
}

static void lonely (test_t *T, size_t a, const char *mode) {
  for (size_t b = 0; b < ROUTERS; b++)
    if (b != a) pairlinks(T, a, b, mode, true);
  link1(T, a, "store", mode);
}

static void race (test_t *T) {
  char a[300], b[300], command[1600];
  snprintf(a, sizeof a, "%s/a.lua", T->lab->dir);
  snprintf(b, sizeof b, "%s/b.lua", T->lab->dir);
  snprintf(
      command, sizeof command,
      "echo 'function order(r) return 1 end' >%s; echo 'function order(r) return 2 end' >%s; "
      "export MARTENTILLER_STORE=http://127.0.0.1:%u; "
      "%s/martentiller policy publish x%d %s >/dev/null 2>&1 & "
      "%s/martentiller policy publish x%d %s >/dev/null 2>&1 & wait",
      a, b, T->lab->store.port, T->lab->bin, (int)(T->seed % 1000), a,
      T->lab->bin, (int)(T->seed % 1000), b);
  if (system(command) != 0) fprintf(stderr, "race: no shell\n");
}

static void setleaving (test_t *T, size_t e, bool leaving) {
  json_t *row = json_object_get(json_object_get(T->lab->doc, "targets"),
                                T->lab->engines[e].name);
  json_object_set_new(row, "leaving", json_boolean(leaving));
  bb_apply(T->lab);
}

static void enginestall (test_t *T, size_t e, int ms) {
  char path[48];
  snprintf(path, sizeof path, "/stall?ms=%d", ms);
  bb_call(T->lab, &T->lab->engines[e].addr, "POST", path, NULL, NULL, NULL);
}

static void restart (test_t *T, size_t a) {
  bb_router(T->lab, a);
  T->boots[a]++;
  T->draining[a] = false;
  T->up[a] = true;
}

static void begin (test_t *T, fault_t *f) {
  bb_router_t *r = &T->lab->routers[f->a];
  switch (f->kind) {
    case F_KILL:
      T->up[f->a] = false;
      bb_end(r->proc, SIGKILL);
      break;
    case F_PAUSE:
      T->up[f->a] = false; /* it does not answer for a while */
      kill(r->proc->pid, SIGSTOP);
      break;
    case F_CUT: pairlinks(T, f->a, f->b, "cut", true); break;
    case F_BLACKHOLE: pairlinks(T, f->a, f->b, "blackhole", true); break;
    case F_ONEWAY: pairlinks(T, f->a, f->b, "up", false); break;
    case F_ALONE: lonely(T, f->a, "cut"); break;
    case F_TARGET: link1(T, f->a, T->lab->engines[f->b].name, "cut"); break;
    case F_ENGINE:
      T->engineup[f->b] = false;
      bb_end(T->lab->engines[f->b].proc, SIGKILL);
      break;
    case F_STALL: enginestall(T, f->b, (f->till - f->from) * STEP_MS); break;
    case F_OUTAGE: store(T, "outage=1"); break;
    case F_SLOW: store(T, "slow=300"); break;
    case F_LOSTACK: store(T, "lostack=4"); break;
    case F_LEAVE:
      setleaving(T, f->b, true);
      f->applied = uv_hrtime();
      break;
    case F_DRAIN:
      T->draining[f->a] = true;
      kill(r->proc->pid, SIGTERM);
      break;
    case F_RACE: race(T); break;
    case F_NONE:
    case NFAULTS: break;
  }
}

static void heal (test_t *T, const fault_t *f) {
  bb_router_t *r = &T->lab->routers[f->a];
  switch (f->kind) {
    case F_KILL: restart(T, f->a); break;
    case F_PAUSE:
      kill(r->proc->pid, SIGCONT);
      T->up[f->a] = true;
      break;
    case F_CUT:
    case F_BLACKHOLE:
    case F_ONEWAY: pairlinks(T, f->a, f->b, "pass", true); break;
    case F_ALONE: lonely(T, f->a, "pass"); break;
    case F_TARGET: link1(T, f->a, T->lab->engines[f->b].name, "pass"); break;
    case F_OUTAGE: store(T, "outage=0"); break;
    case F_SLOW: store(T, "slow=0"); break;
    case F_LOSTACK: store(T, "lostack=0"); break;
    default: break;
  }
}

/* Chooses a fault; two of a run never want the same process. */
static fault_t choose (test_t *T, int slot) {
  fault_t f = {.kind = (faultkind_t)(1 + rnd(T, NFAULTS - 1))};
  f.a = (size_t)slot;
  f.b = (size_t)slot + 1;
  f.from = 5 + (int)rnd(T, 15);
  f.till = f.from + 15 + (int)rnd(T, 25);
  return f;
}

/* }== */

/* {== Checks =========================================================== */

static void samplerevisions (test_t *T) {
  for (size_t i = 0; i < ROUTERS; i++) {
    if (!T->up[i] || T->draining[i]) continue;
    double r = bb_metric(T->lab, i, "config_revision");
    if (r <= 0) continue; /* out of reach, or it has none and refuses */
    if (r < T->revision[i])
      breach(T, NEVER_BACK, "a revision in force fell", (int)i);
    T->revision[i] = mt_max(r, T->revision[i]);
  }
}

static double runsof (test_t *T, size_t e) {
  json_t *s = bb_json(T->lab, &T->lab->engines[e].addr, "/stats");
  double n = json_number_value(json_object_get(s, "runs"));
  json_decref(s);
  return n;
}

/* After three seconds the leaving engine's count of runs must stand still. */
static void checkleaving (test_t *T, const fault_t *f) {
  uint64_t waited = (uv_hrtime() - f->applied) / 1000000;
  if (waited < LEAVE_MS) bb_run(T->lab, (unsigned)(LEAVE_MS - waited));
  double before = runsof(T, f->b);
  for (int i = 0; i < 12; i++) newcall(T, (size_t)i % ROUTERS);
  bb_run(T->lab, 400);
  if (runsof(T, f->b) > before)
    breach(T, NO_NEW_WORK, "a leaving engine got new work", (int)f->b);
}

static void checkonce (test_t *T) {
  json_t *ran = bb_json(T->lab, &T->lab->service, "/calls");
  for (int i = 0; i < T->ncalls; i++) {
    const call_t *c = &T->calls[i];
    char name[16];
    if (c->kind != ONCE && c->kind != ONCE_KEYED) continue;
    snprintf(name, sizeof name, "c%d", c->id);
    int n = (int)json_integer_value(json_object_get(ran, name));
    if (n > 1) breach(T, AT_MOST_ONCE, "ran more than once", c->id);
    if (n > 0 && c->answered == 0 && c->unknowns == 0)
      breach(T, TRUE_NOTRUN, "said not-run, but it ran", c->id);
    if (n == 0 && c->answered > 0)
      breach(T, OWN_ANSWER, "answered, but it did not run", c->id);
  }
  json_decref(ran);
}

/* A planned stop must end by itself, with success, once its work is done. */
static void checkstopped (test_t *T, const fault_t *f) {
  bb_proc_t *p = T->lab->routers[f->a].proc;
  int status = 0;
  pid_t got = 0;
  for (int i = 0; i < 400 && got == 0; i++) {
    got = waitpid(p->pid, &status, WNOHANG);
    if (got == 0) bb_run(T->lab, 50);
  }
  if (got != p->pid || !WIFEXITED(status) || WEXITSTATUS(status) != 0)
    breach(T, CLEAN_STOP, "a drained router did not end well", (int)f->a);
  if (got == p->pid) p->pid = 0;
  restart(T, f->a);
}

/* Everybody is served again, at every router. */
static void checkserved (test_t *T) {
  for (size_t i = 0; i < ROUTERS; i++) {
    int first = T->ncalls;
    for (int k = 0; k < 4; k++) newcall(T, i);
    for (int w = 0; w < 400 && T->open > 0; w++) bb_run(T->lab, 50);
    for (int k = first; k < T->ncalls; k++) {
      const call_t *c = &T->calls[k];
      if (!c->answered)
        breach(T, SERVED, "not served after the faults", c->id);
    }
  }
}

/* }== */

/* {== Runs ============================================================= */

static int64_t newest (test_t *T) {
  char *text;
  bb_call(T->lab, &T->lab->store, "GET", "/kv/mt/head", NULL, NULL, &text);
  json_t *head = json_loads(text, 0, NULL);
  int64_t r = mtJ_int(head, "revision", 0);
  json_decref(head);
  free(text);
  return r;
}

static void runone (const bb_options_t *o, uint64_t seed, test_t *T) {
  bb_spec_t spec = {.domains = 3,
                    .routers = ROUTERS,
                    .engines = ENGINES,
                    .slots = 4,
                    .rate = 300,
                    .workspaces = 2};
  spec.engineprocs = ENGINES;
  spec.service = spec.proxied = true;
  T->seed = seed;
  T->lab = bb_start(o->bin, &spec);
  for (size_t i = 0; i < ROUTERS; i++) T->up[i] = true;
  for (size_t i = 0; i < ENGINES; i++) T->engineup[i] = true;
  fault_t f[2] = {choose(T, 0), choose(T, 1)};
  if (o->only != NULL)
    for (int k = 0; k < NFAULTS; k++)
      if (strcmp(faults[k], o->only) == 0) f[0].kind = (faultkind_t)k;
  if (seed % 2 || o->only != NULL) f[1].kind = F_NONE;
  snprintf(T->what, sizeof T->what, "seed %llu: %s, %s",
           (unsigned long long)seed, faults[f[0].kind], faults[f[1].kind]);
  for (int step = 0; step < LOAD_STEPS; step++) {
    for (int k = 0; k < 2; k++) {
      if (step == f[k].from) begin(T, &f[k]);
      if (step == f[k].till) heal(T, &f[k]);
    }
    newcall(T, rnd(T, ROUTERS));
    if (rnd(T, 2)) newcall(T, rnd(T, ROUTERS));
    bb_run(T->lab, STEP_MS);
    if (step % 5 == 0) samplerevisions(T);
  }
  for (int k = 0; k < 2; k++) {
    if (f[k].till >= LOAD_STEPS) heal(T, &f[k]);
    if (f[k].kind == F_DRAIN) checkstopped(T, &f[k]);
  }
  for (int w = 0; w < 600 && T->open > 0; w++) bb_run(T->lab, 50);
  if (!bb_settled(T->lab, newest(T), SETTLE_MS))
    breach(T, IN_FORCE, "the newest revision is not in force everywhere", 0);
  for (int k = 0; k < 2; k++)
    if (f[k].kind == F_LEAVE) checkleaving(T, &f[k]);
  for (int w = 0; w < 400 && T->open > 0; w++) bb_run(T->lab, 50);
  samplerevisions(T);
  checkserved(T);
  checkonce(T);
  for (int i = 0; i < T->ncalls; i++) free(T->calls[i].text);
  bb_stop(T->lab);
}

int bb_faults (const bb_options_t *o) {
  int total = 0, sums[NPROMISES] = {0}, refused = 0, failed = 0, asked = 0;
  int runs = o->repeat > 1 ? o->repeat : 10;
  for (int k = 0; k < runs; k++) {
    test_t *T = mtV_new(sizeof *T);
    runone(o, o->seed + (uint64_t)k, T);
    int bad = 0;
    for (int p = 0; p < NPROMISES; p++) {
      bad += T->breaches[p];
      sums[p] += T->breaches[p];
    }
    fprintf(stderr, "%s: asked %d, refused %d, failed %d, breaches %d\n",
            T->what, T->asked, T->refused, T->failed, bad);
    total += bad;
    refused += T->refused;
    failed += T->failed;
    asked += T->asked;
    free(T);
  }
  bb_line("runs", runs, "runs");
  bb_line("breaches", total, "breaches");
  for (int p = 0; p < NPROMISES; p++)
    bb_line(promises[p], sums[p], "breaches");
  bb_line("asked", asked, "requests");
  bb_line("refused", refused, "requests");
  bb_line("failed", failed, "requests");
  return total != 0;
}

/* }== */
