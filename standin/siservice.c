/*
** siservice.c - simulated plain service that counts its requests by name
*/
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin.h"

#define CALL_NAME_BYTES 64

typedef struct count_t {
  char call[CALL_NAME_BYTES]; /* the 'call' parameter of the requests */
  int n;
} count_t;

typedef struct service_t {
  uv_loop_t *loop;
  mt_map_t calls; /* hash of the name -> count_t */
} service_t;

/* A reply that is sent after the delay that the request asks for. */
typedef struct delayed_t {
  uv_timer_t timer;
  mt_webreq_t *r;
  char text[128];
} delayed_t;

static void onclosed (uv_handle_t *h) {
  free(h->data);
}

static void ondelayed (uv_timer_t *t) {
  delayed_t *l = t->data;
  if (l->r != NULL) {
    mtB_set_callbacks(l->r, NULL, NULL, NULL);
    si_reply(l->r, 200, "application/json", l->text);
  }
  uv_close((uv_handle_t *)t, onclosed);
}

static void ondisconnect (void *ud, mt_webreq_t *r) {
  (void)r;
  ((delayed_t *)ud)->r = NULL;
}

static void reply_counts (service_t *s, mt_webreq_t *r) {
  size_t cap = s->calls.used * (CALL_NAME_BYTES + 16) + 16, n = 1;
  char *text = mtV_new(cap);
  text[0] = '{';
  mtV_each (&s->calls, i) {
    const count_t *c = s->calls.vals[i];
    n += (size_t)snprintf(text + n, cap - n, "%s\"%s\":%d", n > 1 ? "," : "",
                          c->call, c->n);
  }
  snprintf(text + n, cap - n, "}");
  si_reply(r, 200, "application/json", text);
  free(text);
}

/* Counts the request on arrival: it has run even if the client leaves. */
static void call (service_t *s, mt_webreq_t *r) {
  char name[CALL_NAME_BYTES] = "unnamed";
  mtB_param(r, "call", name, sizeof name);
  uint64_t key = mtV_hash(name, strlen(name)) | 1;
  count_t *c = mtV_get(&s->calls, key);
  if (c == NULL) {
    c = mtV_new(sizeof *c);
    memcpy(c->call, name, sizeof name);
    mtV_put(&s->calls, key, c);
  }
  c->n++;
  delayed_t *l = mtV_new(sizeof *l);
  l->r = r;
  snprintf(l->text, sizeof l->text, "{\"call\":\"%s\",\"ran\":%d}", name,
           c->n);
  uv_timer_init(s->loop, &l->timer);
  l->timer.data = l;
  mtB_set_callbacks(r, l, ondisconnect, NULL);
  uv_timer_start(&l->timer, ondelayed, (uint64_t)si_query_int(r, "delay", 1),
                 0);
}

static void handle (void *ud, mt_webreq_t *r) {
  if (mtB_is(r, "GET", "/calls"))
    reply_counts(ud, r);
  else
    call(ud, r);
}

int si_service (int argc, char **argv, uv_loop_t *loop) {
  service_t *s = mtV_new(sizeof *s);
  s->loop = loop;
  mt_web_t *web = si_listen(
      loop, (uint16_t)si_option_int(argc, argv, "--port", 0), handle, s);
  printf("{\"url\": \"http://127.0.0.1:%u\"}\n", mtB_port(web));
  return 0;
}
