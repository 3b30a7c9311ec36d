/*
** bbdemo.c - demo: three routers, six engines of unequal speed, one service
*/
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "bbrun.h"

#define CONFIG_DIR "examples/demo"

/* Writes the cluster's addresses, API keys and process ids as JSON. */
static void write_addresses (bb_cluster_t *cluster, const char *path) {
  json_t *routers = json_array(), *workspaces = json_array(),
         *engines = json_array(), *services = json_array();
  char a[64], b[64];
  for (size_t i = 0; i < cluster->nrouters; i++) {
    const bb_router_t *r = &cluster->routers[i];
    snprintf(a, sizeof a, "http://127.0.0.1:%u", r->callers.port);
    snprintf(b, sizeof b, "http://127.0.0.1:%u", r->operators.port);
    json_array_append_new(routers,
                          json_pack("{s:i,s:s,s:s}", "pid", (int)r->proc->pid,
                                    "callers", a, "operators", b));
  }
  const char *name;
  json_t *v;
  json_object_foreach (json_object_get(cluster->doc, "workspaces"), name, v) {
    snprintf(a, sizeof a, "key-%s", name);
    json_array_append_new(workspaces,
                          json_pack("{s:s,s:s}", "name", name, "key", a));
  }
  for (size_t i = 0; i < cluster->nengines; i++) {
    const bb_engine_t *e = &cluster->engines[i];
    snprintf(a, sizeof a, "http://127.0.0.1:%u", e->addr.port);
    json_array_append_new(engines,
                          json_pack("{s:s,s:i,s:s}", "name", e->name, "pid",
                                    (int)e->proc->pid, "url", a));
  }
  snprintf(a, sizeof a, "http://127.0.0.1:%u", cluster->service.port);
  json_array_append_new(services,
                        json_pack("{s:s,s:s}", "name", "portal", "url", a));
  snprintf(a, sizeof a, "http://127.0.0.1:%u", cluster->store.port);
  json_t *doc = json_pack("{s:o,s:s,s:o,s:o,s:o}", "routers", routers,
                          "store", a, "workspaces", workspaces, "engines",
                          engines, "services", services);
  char part[320];
  snprintf(part, sizeof part, "%s.part", path);
  json_dump_file(doc, part, JSON_INDENT(1));
  rename(part, path); /* readers never see an incomplete file */
  json_decref(doc);
}

static void send_and_print (bb_cluster_t *cluster, size_t router,
                            const char *workspace, const char *method,
                            const char *path, const char *body) {
  char headers[160], *text;
  snprintf(
      headers, sizeof headers,
      "Authorization: Bearer key-%s\r\nContent-Type: application/json\r\n",
      workspace);
  int status = bb_request(cluster, &cluster->routers[router].callers, method,
                          path, headers, body, &text);
  printf("\n%s to %s: %s %s -> %d\n%.900s\n", workspace,
         cluster->routers[router].name, method, path, status, text);
  free(text);
}

static void send_examples (bb_cluster_t *cluster) {
  static const char stream[] =
      "{\"model\":\"m1\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":"
      "\"Summarise this deed. tokens=4\"}]}";
  static const char whole[] =
      "{\"model\":\"m1\",\"messages\":[{\"role\":\"user\",\"content\":"
      "\"Summarise this filing. tokens=12\"}]}";
  send_and_print(cluster, 0, "w1", "POST", "/v1/chat/completions", stream);
  send_and_print(cluster, 1, "w2", "POST", "/v1/chat/completions", whole);
  send_and_print(cluster, 2, "w1", "GET", "/v1/models", NULL);
  send_and_print(cluster, 2, "w2", "GET", "/services/portal/status?call=demo",
                 NULL);
}

static void status (bb_cluster_t *cluster) {
  for (size_t i = 0; i < cluster->nrouters; i++) {
    char url[64], *out;
    snprintf(url, sizeof url, "http://127.0.0.1:%u",
             cluster->routers[i].operators.port);
    const char *args[] = {"status", "--router", url, NULL};
    bb_cli(cluster, args, &out);
    printf("\n%s", out);
    free(out);
  }
}

static void print_addresses (const bb_cluster_t *cluster) {
  printf("\nstore http://127.0.0.1:%u, service http://127.0.0.1:%u\n",
         cluster->store.port, cluster->service.port);
  for (size_t i = 0; i < cluster->nrouters; i++)
    printf("%s callers http://127.0.0.1:%u, operators http://127.0.0.1:%u\n",
           cluster->routers[i].name, cluster->routers[i].callers.port,
           cluster->routers[i].operators.port);
}

static volatile sig_atomic_t interrupted;

static void oninterrupt (int signum) {
  (void)signum;
  interrupted = 1;
}

static void wait_for_interrupt (bb_cluster_t *cluster) {
  char path[300];
  snprintf(path, sizeof path, "%s/demo.json", cluster->bin);
  signal(SIGINT, oninterrupt);
  signal(SIGTERM, oninterrupt);
  printf(
      "\nTry:\n  curl -N -H 'Authorization: Bearer key-w1' -H 'Content-Type: application/json' \\\n"
      "    -d '{\"model\":\"m1\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]}' \\\n"
      "    http://127.0.0.1:%u/v1/chat/completions\n"
      "All addresses are in %s. Press Ctrl-C to stop.\n",
      cluster->routers[0].callers.port, path);
  fflush(stdout);
  write_addresses(cluster, path);
  while (!interrupted) bb_run_loop(cluster, 200);
  unlink(path);
}

/* Drains each router by SIGTERM; returns how many did not exit with 0. */
static int drain_routers (bb_cluster_t *cluster) {
  int bad = 0;
  for (size_t i = 0; i < cluster->nrouters; i++)
    bad += bb_end_proc(cluster->routers[i].proc, SIGTERM) != 0;
  return bad;
}

int bb_demo (const bb_options_t *o) {
  bb_cluster_spec_t spec = {.domains = 3,
                            .routers = 3,
                            .engines = 6,
                            .slots = 8,
                            .rate = 100,
                            .workspaces = 3};
  spec.speeds = "1,2,4";
  spec.service = true;
  bb_cluster_t *cluster = bb_start_cluster(o->bin, &spec);
  char *out;
  const char *args[] = {"apply", CONFIG_DIR, NULL};
  bb_cli(cluster, args, &out);
  printf("apply %s:\n%s", CONFIG_DIR, out);
  free(out);
  int bad = bb_wait_converged(cluster, 2, 10000) ? 0 : 1;
  send_examples(cluster);
  status(cluster);
  print_addresses(cluster);
  if (o->keep) wait_for_interrupt(cluster);
  bad += drain_routers(cluster);
  bb_stop_cluster(cluster);
  printf("\n%s\n", bad ? "The demo failed." : "All routers ended cleanly.");
  return bad ? 1 : 0;
}
