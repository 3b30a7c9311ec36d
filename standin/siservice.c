/*
** siservice.c - stand-in for a plain service that counts its calls
*/
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin.h"

#define CALL_BYTES 64

typedef struct count_t {
  char call[CALL_BYTES];
  int n;
} count_t;

typedef struct service_t {
  uv_loop_t *loop;
  mt_map_t calls; /* hash of the call's name -> count_t */
} service_t;

/* An answer on its way. */
typedef struct late_t {
  uv_timer_t timer;
  mt_webreq_t *r;
  char text[128];
} late_t;

static void onclosed (uv_handle_t *h) {
  free(h->data);
}

static void onlate (uv_timer_t *t) {
  late_t *l = t->data;
  if (l->r != NULL) {
    mtB_set_callbacks(l->r, NULL, NULL, NULL);
    si_text(l->r, 200, "application/json", l->text);
  }
  uv_close((uv_handle_t *)t, onclosed);
}

static void ongone (void *ud, mt_webreq_t *r) {
  (void)r;
  ((late_t *)ud)->r = NULL;
}

static void list (service_t *s, mt_webreq_t *r) {
  size_t cap = s->calls.used * (CALL_BYTES + 16) + 16, n = 1;
  char *text = mtV_new(cap);
  text[0] = '{';
  mtV_each (&s->calls, i) {
    const count_t *c = s->calls.vals[i];
    n += (size_t)snprintf(text + n, cap - n, "%s\"%s\":%d", n > 1 ? "," : "",
                          c->call, c->n);
  }
  snprintf(text + n, cap - n, "}");
  si_text(r, 200, "application/json", text);
  free(text);
}

/* Counts the call when it arrives: from then on it has run. */
static void call (service_t *s, mt_webreq_t *r) {
  char name[CALL_BYTES] = "unnamed";
  mtB_param(r, "call", name, sizeof name);
  uint64_t key = mtV_hash(name, strlen(name)) | 1;
  count_t *c = mtV_get(&s->calls, key);
  if (c == NULL) {
    c = mtV_new(sizeof *c);
    memcpy(c->call, name, sizeof name);
    mtV_put(&s->calls, key, c);
  }
  c->n++;
  late_t *l = mtV_new(sizeof *l);
  l->r = r;
  snprintf(l->text, sizeof l->text, "{\"call\":\"%s\",\"ran\":%d}", name,
           c->n);
  uv_timer_init(s->loop, &l->timer);
  l->timer.data = l;
  mtB_set_callbacks(r, l, ongone, NULL);
  uv_timer_start(&l->timer, onlate, (uint64_t)si_param(r, "delay", 1), 0);
}

static void handle (void *ud, mt_webreq_t *r) {
  if (mtB_is(r, "GET", "/calls"))
    list(ud, r);
  else
    call(ud, r);
}

int si_service (int argc, char **argv, uv_loop_t *loop) {
  service_t *s = mtV_new(sizeof *s);
  s->loop = loop;
  mt_web_t *web = si_listen(
      loop, (uint16_t)si_number(argc, argv, "--port", 0), handle, s);
  printf("{\"url\": \"http://127.0.0.1:%u\"}\n", mtB_port(web));
  return 0;
}
