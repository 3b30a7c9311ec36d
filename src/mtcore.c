/*
** mtcore.c - the reducer: one event in, effects out
*/
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mtconf.h"
#include "mtcore.h"
#include "mtedge.h"
#include "mtmember.h"
#include "mtqueue.h"
#include "mtsched.h"

/* {== Effects ========================================================== */

mt_effect_t *mtR_effect (mt_state_t *S, mt_fxkind_t kind, uint64_t req) {
  mt_effect_t *fx = mtV_push(S->fx->at, S->fx->n, S->fx->cap);
  memset(fx, 0, sizeof *fx);
  fx->kind = kind;
  fx->req = req;
  return fx;
}

void mtR_log (mt_state_t *S, mt_level_t level, mt_component_t component,
              const char *fmt, ...) {
  mt_effect_t *fx = mtR_effect(S, MT_FX_LOG, 0);
  fx->u.log.level = level;
  fx->u.log.component = component;
  va_list ap;
  va_start(ap, fmt);
  vsnprintf(fx->u.log.text, sizeof fx->u.log.text, fmt, ap);
  va_end(ap);
}

void mtR_send (mt_state_t *S, mt_id_t to, mt_msg_t *m) {
  m->clock = S->now;
  if (to == S->members.self->id) {
    mt_selfmsg_t *l = mtV_push(S->selfmsgs, S->nselfmsgs, S->selfmsgs_cap);
    l->n = mtW_pack(m, &l->bytes);
    return;
  }
  const mt_member_t *peer = mtM_get(S, to);
  if (peer == NULL) return;
  mt_effect_t *fx = mtR_effect(S, MT_FX_SEND, 0);
  fx->u.send.to = to;
  fx->u.send.addr = mtC_resolve(&S->set, to, &peer->node.addr);
  fx->u.send.kind = m->kind;
  fx->u.send.n = mtW_pack(m, &fx->u.send.bytes);
  S->counts.sent[m->kind]++;
  S->counts.sentbytes[m->kind] += fx->u.send.n;
}

void mtR_clear (mt_effects_t *fx) {
  for (size_t i = 0; i < fx->n; i++)
    if (fx->at[i].kind == MT_FX_SEND) free(fx->at[i].u.send.bytes);
  fx->n = 0;
}

/* }== */

/* {== Messages ========================================================= */

static void dispatch (mt_state_t *S, mt_id_t from, const mt_msg_t *m) {
  mtM_received(S, from, m->clock);
  switch (m->kind) {
    case MT_M_HELLO: mtM_hello(S, &m->u.hello); break;
    case MT_M_HEARTBEAT:
      mtM_heartbeat(S, from, &m->u.heartbeat);
      mtK_peer_revision(S, from, m->u.heartbeat.revision);
      break;
    case MT_M_VIEW: mtM_view(S, from, m->u.view.nodes, m->u.view.n); break;
    case MT_M_DEMAND: mtG_demand(S, from, &m->u.demand, m->clock); break;
    case MT_M_GRANT: mtE_grant(S, &m->u.grant); break;
    case MT_M_OFFER: mtG_offer(S, from, &m->u.grant); break;
    case MT_M_EXCHANGE: mtG_exchange(S, from, &m->u.exchange); break;
    case MT_M_HEAD_REQUEST:
      mtK_head_request(S, from, m->u.head.revision);
      break;
    case MT_M_HEAD:
      mtK_recv_head(S, from, m->u.head.revision, m->u.head.text);
      break;
    case MT_M_PART_REQUEST:
      mtK_part_request(S, from, m->u.part.digest);
      break;
    case MT_M_PART:
      if (!mtK_recv_part(S, m->u.part.digest, m->u.part.text))
        mtR_count(S, MT_C_CONFIG_BAD);
      break;
    case MT_M_NONE:
    case MT_NMSGKINDS: break;
  }
}

static void run_selfmsgs (mt_state_t *S) {
  mt_selfmsg_t *batch = S->selfmsgs;
  size_t n = S->nselfmsgs;
  S->selfmsgs = NULL;
  S->nselfmsgs = S->selfmsgs_cap = 0;
  for (size_t i = 0; i < n; i++) {
    mt_msg_t m;
    mt_msgerr_t err = mtW_unpack(batch[i].bytes, batch[i].n, &m);
    mt_assert(err == MT_MSG_OK);
    if (err == MT_MSG_OK) dispatch(S, S->members.self->id, &m);
    mtW_clear(&m);
    free(batch[i].bytes);
  }
  free(batch);
}

/* }== */

/* {== Steps ============================================================ */

static void tick (mt_state_t *S, mt_ms_t gap) {
  mtM_tick(S, gap);
  mtK_tick(S);
  mtE_tick(S);
  mtQ_tick(S);
  mtG_tick(S);
}

static void drain (mt_state_t *S) {
  if (S->draining) return;
  S->draining = true;
  mtM_leave(S);
  mtR_log(S, MT_INFO, MT_L_ROUTER, "draining: %zu requests in progress",
          S->edge.reqs.used);
}

static void handle (mt_state_t *S, const mt_event_t *ev, mt_ms_t gap) {
  switch (ev->kind) {
    case MT_EV_TICK: tick(S, gap); break;
    case MT_EV_REQUEST: mtE_request(S, ev); break;
    case MT_EV_RESUME: mtE_resume(S, ev); break;
    case MT_EV_CALLER_LEFT: mtE_caller_left(S, ev); break;
    case MT_EV_FAILED: mtE_failed(S, ev); break;
    case MT_EV_HEAD: mtE_head(S, ev); break;
    case MT_EV_CHUNK: mtE_chunk(S, ev); break;
    case MT_EV_END: mtE_end(S, ev); break;
    case MT_EV_PEER: dispatch(S, ev->u.peer.from, ev->u.peer.msg); break;
    case MT_EV_CONFIG_HEAD: mtK_store_reply(S, ev); break;
    case MT_EV_CONFIG_PART:
      if (ev->u.part.status == 200 &&
          !mtK_recv_part(S, ev->u.part.digest, ev->u.part.text))
        mtR_count(S, MT_C_CONFIG_BAD);
      break;
    case MT_EV_CLAIMED: mtE_claimed(S, ev); break;
    case MT_EV_DRAIN: drain(S); break;
  }
}

/* Updates roles, sends reports and issues grants until no message to this
   router is left. */
static void settle (mt_state_t *S) {
  do {
    if (S->epoch != S->members.epoch) {
      S->epoch = S->members.epoch;
      mtG_roles(S);
    }
    mtQ_report(S);
    run_selfmsgs(S);
    mtG_run(S);
  } while (S->nselfmsgs > 0 || S->epoch != S->members.epoch);
}

void mtR_step (mt_state_t *S, const mt_event_t *ev, mt_effects_t *fx) {
  S->fx = fx;
  mt_ms_t now = mt_max(ev->now, S->now);
  mt_ms_t gap = ev->kind == MT_EV_TICK && S->lasttick ? now - S->lasttick : 0;
  if (ev->kind == MT_EV_TICK) S->lasttick = now;
  S->now = now;
  handle(S, ev, gap);
  settle(S);
  S->fx = NULL;
}

mt_state_t *mtR_new (const mt_settings_t *set, mt_ms_t now, uint64_t boot,
                     uint64_t seed) {
  mt_state_t *S = mtV_new(sizeof *S);
  S->set = *set;
  S->now = now;
  S->random = seed;
  mtM_open(S, boot);
  return S;
}

void mtR_free (mt_state_t *S) {
  if (S == NULL) return;
  mtG_close(S);
  mtE_close(S);
  mtK_close(S);
  mtM_close(S);
  for (size_t i = 0; i < S->nselfmsgs; i++) free(S->selfmsgs[i].bytes);
  free(S->selfmsgs);
  free(S);
}

/* }== */
