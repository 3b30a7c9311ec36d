/*
** mtrouter.c - one router: event loop, reducer and the adapters around it
*/
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "boot_clock.h"
#include "mtcrypt.h"
#include "mtfront.h"
#include "mtops.h"
#include "mtrouter.h"

#define CALLER_CHECK_TICKS (MT_CALLER_CHECK_MS / MT_TICK_MS)
/* After the last request has ended: time to send buffered reply bytes. */
#define DRAIN_GRACE_MS 500

/* {== Store ============================================================ */

/* Context of a store request; `digest` is empty for the head. */
typedef struct storecall_t {
  mt_router_t *X;
  char digest[MT_DIGEST_HEX + 1];
} storecall_t;

static storecall_t *newcall (mt_router_t *X, const char *digest) {
  storecall_t *k = mtV_new(sizeof *k);
  k->X = X;
  if (digest != NULL) memcpy(k->digest, digest, sizeof k->digest);
  return k;
}

/* The configuration revision in a head document; 0 if it is unreadable. */
static int64_t headrevision (mt_bytes_t text) {
  json_t *doc = json_loadb(text.p, text.n, 0, NULL);
  int64_t revision = mtJ_int(doc, "revision", 0);
  json_decref(doc);
  return revision;
}

static void onhead (void *ud, const mt_storereply_t *reply) {
  storecall_t *k = ud;
  mt_event_t ev = {.kind = MT_EV_CONFIG_HEAD};
  ev.u.config_head.status = reply->status;
  ev.u.config_head.text = reply->text;
  ev.u.config_head.store_revision = reply->revision;
  if (reply->status == 200)
    ev.u.config_head.revision = headrevision(reply->text);
  mtX_step(k->X, &ev);
  free(k);
}

static void onpart (void *ud, const mt_storereply_t *reply) {
  storecall_t *k = ud;
  mt_event_t ev = {.kind = MT_EV_CONFIG_PART};
  ev.u.part.status = reply->status;
  ev.u.part.digest = (mt_bytes_t){k->digest, strlen(k->digest)};
  ev.u.part.text = reply->text;
  mtX_step(k->X, &ev);
  free(k);
}

static void getpart (mt_router_t *X, const char *digest) {
  char key[MT_DIGEST_HEX + 32];
  snprintf(key, sizeof key, MT_KEY_PART "%s", digest);
  mtD_get(X->store, key, onpart, newcall(X, digest));
}

/* }== */

/* {== Effects ========================================================== */

static void stop (mt_router_t *X);

static void sendframe (mt_router_t *X, const mt_effect_t *fx) {
  mtN_send(X->peers, &fx->u.send.addr, fx->u.send.bytes, fx->u.send.n);
}

static void execute (mt_router_t *X, const mt_effect_t *fx) {
  switch (fx->kind) {
    case MT_FX_REJECT:
    case MT_FX_START:
    case MT_FX_RESUME:
    case MT_FX_CANCEL:
    case MT_FX_FORWARD:
    case MT_FX_JOIN:
    case MT_FX_ABORT:
    case MT_FX_CLAIM:
    case MT_FX_RELEASE: mtO_effect(X->front, fx); break;
    case MT_FX_SEND: sendframe(X, fx); break;
    case MT_FX_GET_CONFIG_HEAD:
      mtD_get(X->store, MT_KEY_HEAD, onhead, newcall(X, NULL));
      break;
    case MT_FX_WATCH_CONFIG_HEAD:
      mtD_watch(X->store, MT_KEY_HEAD, fx->u.revision, onhead,
                newcall(X, NULL));
      break;
    case MT_FX_GET_CONFIG_PART: getpart(X, fx->u.digest); break;
    case MT_FX_LOG:
      mtL_log(fx->u.log.level, fx->u.log.component, "%s", fx->u.log.text);
      break;
    case MT_FX_STOP: stop(X); break;
  }
}

void mtX_step (mt_router_t *X, mt_event_t *ev) {
  mt_effects_t fx = {0};
  ev->now = uv_now(&X->loop);
  mtR_step(X->S, ev, &fx);
  for (size_t i = 0; i < fx.n; i++) execute(X, &fx.at[i]);
  mtR_clear(&fx);
  free(fx.at);
}

/* }== */

/* {== Clock and signals ================================================ */

static void ontick (uv_timer_t *t) {
  mt_router_t *X = t->data;
  static const mt_event_t tick = {.kind = MT_EV_TICK};
  mt_event_t ev = tick;
  mtX_step(X, &ev);
  if (++X->ticks % CALLER_CHECK_TICKS == 0) mtO_check_callers(X->front);
}

static void onpeer (void *ud, mt_id_t from, const mt_msg_t *m) {
  mt_router_t *X = ud;
  mt_event_t ev = {.kind = MT_EV_PEER};
  ev.u.peer.from = from;
  ev.u.peer.msg = m;
  mtX_step(X, &ev);
}

static void onterm (uv_signal_t *s, int signum) {
  (void)signum;
  mt_event_t ev = {.kind = MT_EV_DRAIN};
  mtX_step(s->data, &ev);
}

/* Reloads the peer keys, so that they can be rotated without a restart. */
static void onhup (uv_signal_t *s, int signum) {
  (void)signum;
  mt_router_t *X = s->data;
  mt_settings_t set;
  mt_faults_t fs = {.n = 0};
  if (!mtC_read(X->settings_file, &set, &fs)) {
    mtL_log(MT_ERR, MT_L_ROUTER, "cannot reload settings: %s: %s",
            fs.at[0].where, fs.at[0].reason);
    return;
  }
  memcpy(X->set.keys, set.keys, sizeof set.keys);
  X->set.nkeys = set.nkeys;
  mtN_set_keys(X->peers, &set);
  mtL_log(MT_INFO, MT_L_ROUTER, "reloaded settings: %zu peer keys",
          set.nkeys);
}

static void onstop (uv_timer_t *t) {
  uv_stop(t->loop);
}

static void stop (mt_router_t *X) {
  mtL_log(MT_INFO, MT_L_ROUTER, "drained; stopping");
  mtB_close(X->callers);
  uv_timer_start(&X->tick, onstop, DRAIN_GRACE_MS, 0);
}

static void start_signal (mt_router_t *X, uv_signal_t *s, int signum,
                          uv_signal_cb cb) {
  uv_signal_init(&X->loop, s);
  s->data = X;
  uv_signal_start(s, cb, signum);
}

/* }== */

/* {== Running ========================================================== */

static bool openall (mt_router_t *X) {
  char reason[160] = "";
  X->front = mtO_open(X);
  X->peers = mtN_open(&X->loop, &X->set, onpeer, X, reason, sizeof reason);
  if (X->peers == NULL) goto fail;
  if (X->set.advertise.port == 0) X->set.advertise.port = mtN_port(X->peers);
  X->S = mtR_new(&X->set, uv_now(&X->loop), X->boot, X->boot);
  mtN_set_counts(X->peers, &X->S->counts);
  mtN_set_self(X->peers, &X->S->members.self->node);
  X->target_http = mtY_open(&X->loop, MT_TARGET_IDLE_MS);
  X->store = mtD_open(&X->loop, &X->set.store, &X->S->counts);
  X->callers = mtB_open(&X->loop, X->set.callers.ip, X->set.callers.port,
                        mtO_handle, X->front, reason, sizeof reason);
  if (X->callers == NULL) goto fail;
  X->operators =
      mtB_open(&X->loop, X->set.operators.ip, X->set.operators.port,
               mtI_handle, X, reason, sizeof reason);
  if (X->operators == NULL) goto fail;
  X->memory.limit = mt_memory_default_limit(mt_memory_of_box());
  mtB_share_memory(X->callers, &X->memory);
  mtB_share_memory(X->operators, &X->memory);
  return true;
fail:
  mtL_log(MT_ERR, MT_L_ROUTER, "%s", reason);
  return false;
}

/* Prints the listening addresses as one line of JSON, for scripts. */
static void announce (const mt_router_t *X) {
  printf(
      "{\"node\": \"%s\", \"callers\": \"%s:%u\", \"operators\": \"%s:%u\", \"peers\": \"%s:%u\"}\n",
      X->set.node, X->set.callers.ip, mtB_port(X->callers),
      X->set.operators.ip, mtB_port(X->operators), X->set.peers.ip,
      mtN_port(X->peers));
  fflush(stdout);
}

/*
** Identifies this process: wall-clock time in microseconds, so that a later
** start of the same router has a larger number.
*/
static uint64_t bootnumber (void) {
  struct timespec ts;
  clock_gettime(CLOCK_REALTIME, &ts);
  return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
}

int mtX_run (const char *settingsfile) {
  static const mt_settings_t none;
  mt_router_t *X = mtV_new(sizeof *X);
  mt_faults_t fs = {.n = 0};
  X->set = none;
  X->settings_file = settingsfile;
  if (!mtC_read(settingsfile, &X->set, &fs)) {
    for (size_t i = 0; i < fs.n; i++)
      fprintf(stderr, "%s: %s: %s\n", settingsfile, fs.at[i].where,
              fs.at[i].reason);
    free(X);
    return 1;
  }
  mtL_open(X->set.node, (mt_level_t)X->set.loglevel);
  signal(SIGPIPE, SIG_IGN);
  X->boot = bootnumber();
  mt_boot_clock_init_loop(&X->loop);
  if (!openall(X)) return 1;
  start_signal(X, &X->term, SIGTERM, onterm);
  start_signal(X, &X->intr, SIGINT, onterm);
  start_signal(X, &X->hup, SIGHUP, onhup);
  uv_timer_init(&X->loop, &X->tick);
  X->tick.data = X;
  uv_timer_start(&X->tick, ontick, 0, MT_TICK_MS);
  announce(X);
  uv_run(&X->loop, UV_RUN_DEFAULT);
  mtR_free(X->S);
  X->S = NULL;
  return 0;
}

/* }== */
