/*
** bbdemo.c - three routers, six engines of unequal speed, one service
*/
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "bbrun.h"

#define DECLARATIONS "examples/demo"

static void writefile (bb_lab_t *lab, const char *path) {
  json_t *routers = json_array(), *workspaces = json_array(),
         *engines = json_array(), *services = json_array();
  char a[64], b[64];
  for (size_t i = 0; i < lab->nrouters; i++) {
    const bb_router_t *r = &lab->routers[i];
    snprintf(a, sizeof a, "http://127.0.0.1:%u", r->callers.port);
    snprintf(b, sizeof b, "http://127.0.0.1:%u", r->operators.port);
    json_array_append_new(routers,
                          json_pack("{s:i,s:s,s:s}", "pid", (int)r->proc->pid,
                                    "callers", a, "operators", b));
  }
  const char *name;
  json_t *v;
  json_object_foreach (json_object_get(lab->doc, "workspaces"), name, v) {
    snprintf(a, sizeof a, "key-%s", name);
    json_array_append_new(workspaces,
                          json_pack("{s:s,s:s}", "name", name, "key", a));
  }
  for (size_t i = 0; i < lab->nengines; i++) {
    const bb_engine_t *e = &lab->engines[i];
    snprintf(a, sizeof a, "http://127.0.0.1:%u", e->addr.port);
    json_array_append_new(engines,
                          json_pack("{s:s,s:i,s:s}", "name", e->name, "pid",
                                    (int)e->proc->pid, "url", a));
  }
  snprintf(a, sizeof a, "http://127.0.0.1:%u", lab->service.port);
  json_array_append_new(services,
                        json_pack("{s:s,s:s}", "name", "portal", "url", a));
  snprintf(a, sizeof a, "http://127.0.0.1:%u", lab->store.port);
  json_t *doc = json_pack("{s:o,s:s,s:o,s:o,s:o}", "routers", routers,
                          "store", a, "workspaces", workspaces, "engines",
                          engines, "services", services);
  char part[320];
  snprintf(part, sizeof part, "%s.part", path);
  json_dump_file(doc, part, JSON_INDENT(1));
  rename(part, path); /* readers see all of it or nothing */
  json_decref(doc);
}

static void show (bb_lab_t *lab, size_t router, const char *workspace,
                  const char *method, const char *path, const char *body) {
  char headers[160], *text;
  snprintf(
      headers, sizeof headers,
      "Authorization: Bearer key-%s\r\nContent-Type: application/json\r\n",
      workspace);
  int status = bb_call(lab, &lab->routers[router].callers, method, path,
                       headers, body, &text);
  printf("\n%s asks %s: %s %s -> %d\n%.900s\n", workspace,
         lab->routers[router].name, method, path, status, text);
  free(text);
}

static void calls (bb_lab_t *lab) {
  static const char stream[] =
      "{\"model\":\"m1\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":"
      "\"Summarise this deed. tokens=4\"}]}";
  static const char whole[] =
      "{\"model\":\"m1\",\"messages\":[{\"role\":\"user\",\"content\":"
      "\"Summarise this filing. tokens=12\"}]}";
  show(lab, 0, "w1", "POST", "/v1/chat/completions", stream);
  show(lab, 1, "w2", "POST", "/v1/chat/completions", whole);
  show(lab, 2, "w1", "GET", "/v1/models", NULL);
  show(lab, 2, "w2", "GET", "/services/portal/status?call=demo", NULL);
}

static void status (bb_lab_t *lab) {
  for (size_t i = 0; i < lab->nrouters; i++) {
    char url[64], *out;
    snprintf(url, sizeof url, "http://127.0.0.1:%u",
             lab->routers[i].operators.port);
    const char *args[] = {"status", "--router", url, NULL};
    bb_cli(lab, args, &out);
    printf("\n%s", out);
    free(out);
  }
}

static void addresses (const bb_lab_t *lab) {
  printf("\nstore http://127.0.0.1:%u, service http://127.0.0.1:%u\n",
         lab->store.port, lab->service.port);
  for (size_t i = 0; i < lab->nrouters; i++)
    printf("%s callers http://127.0.0.1:%u, operators http://127.0.0.1:%u\n",
           lab->routers[i].name, lab->routers[i].callers.port,
           lab->routers[i].operators.port);
}

static volatile sig_atomic_t interrupted;

static void oninterrupt (int signum) {
  (void)signum;
  interrupted = 1;
}

static void keepup (bb_lab_t *lab) {
  char path[300];
  snprintf(path, sizeof path, "%s/demo.json", lab->bin);
  signal(SIGINT, oninterrupt);
  signal(SIGTERM, oninterrupt);
  printf(
      "\nTry:\n  curl -N -H 'Authorization: Bearer key-w1' -H 'Content-Type: application/json' \\\n"
      "    -d '{\"model\":\"m1\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]}' \\\n"
      "    http://127.0.0.1:%u/v1/chat/completions\n"
      "The addresses are in %s. Interrupt to stop.\n",
      lab->routers[0].callers.port, path);
  fflush(stdout);
  writefile(lab, path);
  while (!interrupted) bb_run(lab, 200);
  unlink(path);
}

/* Each router must end by itself when told to. */
static int drainall (bb_lab_t *lab) {
  int bad = 0;
  for (size_t i = 0; i < lab->nrouters; i++)
    bad += bb_end(lab->routers[i].proc, SIGTERM) != 0;
  return bad;
}

int bb_demo (const bb_options_t *o) {
  bb_spec_t spec = {.domains = 3,
                    .routers = 3,
                    .engines = 6,
                    .slots = 8,
                    .rate = 100,
                    .workspaces = 3};
  spec.speeds = "1,2,4";
  spec.service = true;
  bb_lab_t *lab = bb_start(o->bin, &spec);
  char *out;
  const char *args[] = {"apply", DECLARATIONS, NULL};
  bb_cli(lab, args, &out);
  printf("apply %s:\n%s", DECLARATIONS, out);
  free(out);
  int bad = bb_settled(lab, 2, 10000) ? 0 : 1;
  calls(lab);
  status(lab);
  addresses(lab);
  if (o->keep) keepup(lab);
  bad += drainall(lab);
  bb_stop(lab);
  printf("\n%s\n", bad ? "The demo failed." : "All routers ended cleanly.");
  return bad ? 1 : 0;
}
