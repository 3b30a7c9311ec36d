/*
** standin.c - command line of the simulated store, engines, service, proxy
*/
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "boot_clock.h"
#include "standin.h"

const char *si_option (int argc, char **argv, const char *name,
                       const char *def) {
  for (int i = 1; i + 1 < argc; i++)
    if (strcmp(argv[i], name) == 0) return argv[i + 1];
  return def;
}

long si_option_int (int argc, char **argv, const char *name, long def) {
  const char *s = si_option(argc, argv, name, NULL);
  return s ? atol(s) : def;
}

long si_query_int (const mt_webreq_t *r, const char *name, long def) {
  char text[32];
  return mtB_param(r, name, text, sizeof text) ? atol(text) : def;
}

bool si_matches (const mt_webreq_t *r, const char *method, const char *head) {
  mt_bytes_t m = mtB_method(r), p = mtB_path(r);
  size_t n = strlen(head);
  return m.n == strlen(method) && memcmp(m.p, method, m.n) == 0 && p.n >= n &&
         memcmp(p.p, head, n) == 0;
}

void si_reply (mt_webreq_t *r, int status, const char *type,
               const char *text) {
  mt_header_t h = {"content-type", type};
  mtB_reply(r, status, &h, 1, text, strlen(text));
}

mt_web_t *si_listen (uv_loop_t *loop, uint16_t port, mt_webfn_t fn,
                     void *ud) {
  char reason[160];
  mt_web_t *web =
      mtB_open(loop, "127.0.0.1", port, fn, ud, reason, sizeof reason);
  if (web != NULL) return web;
  fprintf(stderr, "standin: %s\n", reason);
  exit(1);
}

static int help (int code) {
  fprintf(
      code ? stderr : stdout,
      "Usage: standin store|engine|service|proxy [OPTION VALUE]...\n"
      "Each prints one line of JSON with its addresses and runs until it is killed.\n"
      "  store    --limit 0|1 (100 writes/s, 2000 reads/s)\n"
      "           POST /switch?outage=0|1&slow=MS&lostack=N; GET /counts\n"
      "  engine   --count N --slots N --rate TOKENS/S --speeds 1,2,4 --cache N --fenced 0|1\n"
      "           GET /stats, /load, /cache/events; POST /orders, /v1/cancel/ID\n"
      "  service  GET /calls counts requests by their 'call' parameter\n"
      "  proxy    POST /link?to=IP:PORT; POST /set?port=P&mode=MODE&delay=MS\n"
      "           MODE: pass, cut, blackhole, halfopen, up, down\n");
  return code;
}

int main (int argc, char **argv) {
  uv_loop_t loop;
  signal(SIGPIPE, SIG_IGN);
  mt_boot_clock_init_loop(&loop);
  if (argc < 2) return help(2);
  int rc = 2;
  if (strcmp(argv[1], "store") == 0) rc = si_store(argc, argv, &loop);
  if (strcmp(argv[1], "engine") == 0) rc = si_engine(argc, argv, &loop);
  if (strcmp(argv[1], "service") == 0) rc = si_service(argc, argv, &loop);
  if (strcmp(argv[1], "proxy") == 0) rc = si_proxy(argc, argv, &loop);
  if (strcmp(argv[1], "--help") == 0) return help(0);
  if (rc == 2) return help(2);
  fflush(stdout);
  uv_run(&loop, UV_RUN_DEFAULT);
  return rc;
}
