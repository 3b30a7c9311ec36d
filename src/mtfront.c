/*
** mtfront.c - HTTP front end for callers: OpenAI-style API and plain services
*/
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "mtcrypt.h"
#include "mtfront.h"
#include "mttarget.h"

#define SERVICES "/services/"
#define BEARER "Bearer "
#define RECORD_MAX (4u << 20) /* reply bytes kept to replay to followers */
#define MAX_TOKENS (1 << 20)  /* largest max_tokens that is accepted */

/*
** One caller's request, from arrival to the end of its reply. Repeatable
** requests of one API key with the same idempotency key share one run: the
** first is the leader, the others are followers and get the same reply.
*/
typedef struct request_t {
  struct mt_front_t *O;
  uint64_t id;
  mt_webreq_t *r; /* NULL once the caller has disconnected */
  char *body;     /* of the request, as sent to the target */
  size_t nbody;
  char path[512]; /* with the query, as sent to the target */
  char method[8];
  char type[128]; /* the request's content type */
  bool stream, head_sent, has_idem_key, paused;
  mt_id_t ws;
  mt_resume_token_t token; /* resume token of its stream */
  long from;               /* number of events to skip on resuming */
  mt_attempt_t *attempt;
  uint32_t attempt_number; /* as the reducer counts, to match its events */
  int status;              /* of the reply, 0 until its head has arrived */
  int64_t length;          /* of the reply's body, -1: unknown */
  char reply_type[128];
  char *record; /* the reply's body so far, for later followers */
  size_t nrecord, record_cap;
  struct request_t *leader, *followers, *nextfollower;
} request_t;

struct mt_front_t {
  mt_router_t *X;
  mt_map_t requests;
  uint64_t lastid;
  const mt_attev_t *ev; /* event being handled, for FORWARD */
  /* Requests whose callers have disconnected; ended by the next check. */
  uint64_t *disconnected;
  size_t ndisconnected, disconnected_cap;
};

/* {== Requests in progress ============================================= */

static void unfollow (request_t *c) {
  if (c->leader == NULL) return;
  request_t **at = &c->leader->followers;
  while (*at != c) at = &(*at)->nextfollower;
  *at = c->nextfollower;
  c->leader = NULL;
}

static void free_request (request_t *c) {
  unfollow(c);
  mtV_del(&c->O->requests, c->id);
  if (c->r != NULL) mtB_set_callbacks(c->r, NULL, NULL, NULL);
  free(c->body);
  free(c->record);
  free(c);
}

static request_t *find (mt_front_t *O, uint64_t id) {
  return mtV_get(&O->requests, id);
}

static void report_disconnect (mt_front_t *O, uint64_t id) {
  mt_event_t ev = {.kind = MT_EV_CALLER_LEFT, .req = id};
  mtX_step(O->X, &ev);
}

static void on_disconnect (void *ud, mt_webreq_t *r) {
  (void)r;
  request_t *c = ud;
  c->r = NULL;
  if (c->leader != NULL) {
    free_request(c);
    return;
  }
  uint64_t id = c->id;
  mt_front_t *O = c->O;
  if (c->followers != NULL) return; /* they still need the reply */
  report_disconnect(O, id);
  if (find(O, id) == c) free_request(c);
}

static void ondrained (void *ud, mt_webreq_t *r) {
  (void)r;
  request_t *c = ud;
  if (!c->paused || c->attempt == NULL) return;
  c->paused = false;
  mtT_pause(c->attempt, false);
}

static request_t *new_request (mt_front_t *O, mt_webreq_t *r) {
  request_t *c = mtV_new(sizeof *c);
  c->O = O;
  c->id = ++O->lastid;
  c->r = r;
  mtV_put(&O->requests, c->id, c);
  mtB_set_callbacks(r, c, on_disconnect, ondrained);
  return c;
}

/* }== */

/* {== Error replies ==================================================== */

/* Replies with the status and code of `why`; `detail` may be NULL. */
static void reply_error (mt_webreq_t *r, mt_rejection_t why, bool notrun,
                         const char *detail) {
  const mt_rejection_row_t *row = mtA_rejection(why);
  char after[16];
  mt_header_t h[3] = {{"content-type", "application/json"},
                      {"x-outcome", notrun ? "not-run" : "unknown"}};
  size_t n = 2;
  if (row->retryafter > 0) {
    snprintf(after, sizeof after, "%d", row->retryafter);
    h[n++] = (mt_header_t){"retry-after", after};
  }
  json_t *doc =
      json_pack("{s:{s:s,s:s,s:s}}", "error", "type", "martentiller", "code",
                row->code, "message", detail ? detail : row->code);
  char *text = json_dumps(doc, JSON_COMPACT);
  mtB_reply(r, row->status, h, n, text, strlen(text));
  free(text);
  json_decref(doc);
}

/* Rejects a request that has not been passed to the reducer. */
static void reject_now (mt_front_t *O, mt_webreq_t *r, mt_rejection_t why,
                        const char *detail) {
  O->X->S->counts.rejections[why]++;
  reply_error(r, why, mtA_rejection(why)->notrun, detail);
}

/* Frees a request; returns its caller's HTTP request, or NULL when the caller
   has disconnected. */
static mt_webreq_t *detach (request_t *c) {
  mt_webreq_t *r = c->r;
  free_request(c);
  return r;
}

/* Rejects a request and its followers. */
static void reject (request_t *c, mt_rejection_t why, bool notrun) {
  while (c->followers != NULL) reject(c->followers, why, notrun);
  mt_webreq_t *r = detach(c);
  if (r != NULL) reply_error(r, why, notrun, NULL);
}

/* }== */

/* {== Forwarding ======================================================= */

/* Sends the head of the reply that `from` has received. */
static void begin_reply (request_t *c, const request_t *from) {
  if (c->r == NULL || c->head_sent) return;
  c->head_sent = true;
  char token[MT_TOKEN_BYTES];
  mt_header_t h[3] = {{"content-type", from->reply_type}};
  size_t n = 1;
  if (from->token.stream != 0) {
    mtH_sign(&c->O->X->set, &from->token, token);
    h[n++] = (mt_header_t){"x-resume-token", token};
  }
  const mt_target_t *t = mtF_target(c->O->X->S->fleet, from->token.target);
  if (t != NULL) h[n++] = (mt_header_t){"x-served-by", t->name};
  if (from->length >= 0) mtB_set_length(c->r, (size_t)from->length);
  mtB_begin(c->r, from->status, h, n);
}

/* Keeps a piece of the body for later followers, up to RECORD_MAX bytes. */
static void record (request_t *c, mt_bytes_t data) {
  if (!c->has_idem_key || c->nrecord + data.n > RECORD_MAX) return;
  while (c->nrecord + data.n > c->record_cap)
    c->record = mtV_grow(c->record, c->record_cap, &c->record_cap, 1);
  memcpy(c->record + c->nrecord, data.p, data.n);
  c->nrecord += data.n;
}

/*
** Passes a piece of the body on. Reading from the target is paused while
** MT_BACKLOG_MAX bytes or more wait for a slow caller.
*/
static void forwardchunk (request_t *c, mt_bytes_t data) {
  record(c, data);
  for (request_t *f = c->followers; f != NULL; f = f->nextfollower)
    if (f->r != NULL) mtB_write(f->r, data.p, data.n);
  if (c->r == NULL) return;
  mtB_write(c->r, data.p, data.n);
  if (c->paused || mtB_backlog(c->r) < MT_BACKLOG_MAX || c->attempt == NULL)
    return;
  c->paused = true;
  mtT_pause(c->attempt, true);
}

/* Ends the replies of a request and its followers; aborts incomplete ones. */
static void finish (request_t *c, bool complete) {
  while (c->followers != NULL) finish(c->followers, complete);
  mt_webreq_t *r = detach(c);
  if (r == NULL) return;
  if (complete)
    mtB_end(r);
  else
    mtB_abort(r);
}

static void forward (request_t *c, const mt_attev_t *ev) {
  switch (ev->kind) {
    case MT_ATT_HEAD:
      c->status = ev->status;
      c->length = ev->length;
      snprintf(c->reply_type, sizeof c->reply_type, "%.*s", (int)ev->type.n,
               ev->type.p);
      begin_reply(c, c);
      for (request_t *f = c->followers; f != NULL; f = f->nextfollower)
        begin_reply(f, c);
      break;
    case MT_ATT_CHUNK: forwardchunk(c, ev->data); break;
    case MT_ATT_END: finish(c, true); break;
    case MT_ATT_FAILED: break;
  }
}

/* }== */

/* {== Attempts ========================================================= */

static void onattempt (void *ud, const mt_attev_t *a) {
  request_t *c = ud;
  mt_front_t *O = c->O;
  mt_event_t ev = {.req = c->id, .attempt = c->attempt_number};
  switch (a->kind) {
    case MT_ATT_HEAD:
      ev.kind = MT_EV_HEAD;
      ev.u.status = a->status;
      break;
    case MT_ATT_CHUNK:
      ev.kind = MT_EV_CHUNK;
      ev.u.tokens = a->tokens;
      break;
    case MT_ATT_END:
      c->attempt = NULL;
      ev.kind = MT_EV_END;
      ev.u.end.prompt = a->prompt;
      ev.u.end.output = a->output;
      break;
    case MT_ATT_FAILED:
      c->attempt = NULL;
      ev.kind = MT_EV_FAILED;
      ev.u.failed.notrun = a->notrun;
      ev.u.failed.busy = a->busy;
      ev.u.failed.silent = a->silent;
      break;
  }
  const mt_attev_t *outer = O->ev;
  O->ev = a;
  mtX_step(O->X, &ev);
  O->ev = outer;
}

static void mark_disconnected (mt_front_t *O, uint64_t id) {
  *mtV_push(O->disconnected, O->ndisconnected, O->disconnected_cap) = id;
}

static void start (request_t *c, const mt_effect_t *fx) {
  mt_router_t *X = c->O->X;
  const mt_target_t *t = mtF_target(X->S->fleet, fx->u.start.target);
  mt_addr_t direct = {.port = t->port};
  memcpy(direct.ip, t->ip, sizeof direct.ip);
  mt_addr_t addr = mtC_resolve(&X->set, t->id, &direct);
  if (c->r != NULL && c->followers == NULL && mtB_disconnected(c->r))
    mark_disconnected(c->O, c->id);
  c->attempt_number = fx->attempt;
  c->token.ws = c->ws;
  c->token.target = fx->u.start.target;
  c->token.expires = (uint64_t)time(NULL) + MT_RESUME_TOKEN_MS / 1000;
  if (fx->kind == MT_FX_RESUME) {
    c->attempt = mtT_resume(X->target_http, &addr, c->token.stream, c->from,
                            onattempt, c);
    return;
  }
  const mt_pool_t *p = mtF_pool(X->S->fleet, t->pool);
  mt_attspec_t s = {
      .addr = addr, .kind = p->kind, .method = c->method, .path = c->path};
  s.type = (mt_bytes_t){c->type, strlen(c->type)};
  s.body = (mt_bytes_t){c->body, c->nbody};
  s.id = mtV_mix(mtV_mix(X->boot, c->id), fx->attempt) | 1;
  s.priority = fx->u.start.priority;
  s.stream = c->stream;
  s.fresh = fx->u.start.fresh;
  c->token.stream = c->stream ? s.id : 0;
  c->attempt = mtT_start(X->target_http, &s, onattempt, c);
}

/* Attaches a request to the one that already runs with its key. */
static void join (mt_front_t *O, request_t *c, uint64_t leaderid) {
  request_t *l = find(O, leaderid);
  if (l == NULL || l->nrecord >= RECORD_MAX) {
    reject(c, MT_IN_PROGRESS, false);
    return;
  }
  c->leader = l;
  c->nextfollower = l->followers;
  l->followers = c;
  if (l->status == 0) return;
  begin_reply(c, l);
  mtB_write(c->r, l->record, l->nrecord);
}

static void onclaim (void *ud, mt_claimresult_t res) {
  static const mt_claim_t results[] = {MT_CLAIM_ACQUIRED, MT_CLAIM_HELD,
                                       MT_CLAIM_UNAVAILABLE};
  struct {
    mt_front_t *O;
    uint64_t id, key;
  } *w = ud;
  mt_event_t ev = {.kind = MT_EV_CLAIMED, .req = w->id};
  ev.u.claimed.key = w->key;
  ev.u.claimed.result = results[res];
  mt_front_t *O = w->O;
  free(w);
  mtX_step(O->X, &ev);
}

/* The owner written into a request's claim: names process and request. */
static void claim_owner (mt_front_t *O, uint64_t id, char out[64]) {
  snprintf(out, 64, "%s/%016" PRIx64 "/%" PRIu64, "claim", O->X->boot, id);
}

static void claim (mt_front_t *O, uint64_t id, uint64_t key) {
  struct {
    mt_front_t *O;
    uint64_t id, key;
  } *w = mtV_new(sizeof *w);
  w->O = O;
  w->id = id;
  w->key = key;
  char owner[64];
  claim_owner(O, id, owner);
  mtD_claim(O->X->store, key, owner, onclaim, w);
}

static void release (mt_front_t *O, uint64_t id, uint64_t key) {
  char owner[64];
  claim_owner(O, id, owner);
  mtD_release(O->X->store, key, owner);
}

void mtO_effect (mt_front_t *O, const mt_effect_t *fx) {
  request_t *c = find(O, fx->req);
  if (fx->kind == MT_FX_RELEASE) release(O, fx->req, fx->u.claim);
  if (c == NULL) return;
  switch (fx->kind) {
    case MT_FX_REJECT:
      reject(c, fx->u.reject.why, fx->u.reject.notrun);
      break;
    case MT_FX_START:
    case MT_FX_RESUME: start(c, fx); break;
    case MT_FX_CANCEL:
      if (c->attempt != NULL) mtT_cancel(c->attempt);
      c->attempt = NULL;
      break;
    case MT_FX_FORWARD:
      if (O->ev != NULL) forward(c, O->ev);
      break;
    case MT_FX_JOIN: join(O, c, fx->u.leader); break;
    case MT_FX_ABORT: finish(c, false); break;
    case MT_FX_CLAIM: claim(O, fx->req, fx->u.claim); break;
    default: break;
  }
}

/* }== */

/* {== Requests ========================================================= */

/* SHA-256 of the caller's API key; false when it is missing or too long. */
static bool keydigest (const mt_webreq_t *r, char out[MT_DIGEST_HEX + 1]) {
  mt_bytes_t h = mtB_header(r, "authorization");
  size_t n = strlen(BEARER);
  if (h.n <= n || h.n > n + MT_API_KEY_MAX || memcmp(h.p, BEARER, n) != 0)
    return false;
  mtH_sha256(h.p + n, h.n - n, out);
  return true;
}

/* Hash of a header within the scope of an API key; 0 when it is missing. */
static uint64_t scoped_hash (const char *digest, mt_bytes_t text) {
  if (text.n == 0) return 0;
  return mtV_mix(mtV_hash(digest, MT_DIGEST_HEX), mtV_hash(text.p, text.n)) |
         1;
}

static void read_headers (request_t *c, const mt_webreq_t *r,
                          const char *digest, mt_reqparams_t *request) {
  const mt_workspace_t *w =
      c->O->X->S->fleet ? mtF_bykey(c->O->X->S->fleet, digest) : NULL;
  c->ws = w ? w->id : 0;
  request->keydigest = digest;
  request->session = scoped_hash(digest, mtB_header(r, "x-session-id"));
  request->idem = scoped_hash(digest, mtB_header(r, "idempotency-key"));
  mt_bytes_t not_repeatable = mtB_header(r, "x-not-repeatable");
  if (not_repeatable.n > 0 &&
      !(not_repeatable.n == 1 && not_repeatable.p[0] == '0'))
    request->repeat = MT_REPEAT_NEVER;
  mt_bytes_t wait = mtB_header(r, "x-max-wait-ms");
  for (size_t i = 0;
       i < wait.n && i < 7 && wait.p[i] >= '0' && wait.p[i] <= '9'; i++)
    request->wait = request->wait * 10 + (mt_ms_t)(wait.p[i] - '0');
  c->has_idem_key = request->idem != 0;
  mt_bytes_t type = mtB_header(r, "content-type");
  if (type.n < sizeof c->type && memchr(type.p, '\r', type.n) == NULL)
    memcpy(c->type, type.p, type.n);
}

static void submit (request_t *c, const mt_reqparams_t *request) {
  mt_event_t ev = {.kind = MT_EV_REQUEST, .req = c->id};
  ev.u.request = *request;
  mtX_step(c->O->X, &ev);
}

/*
** Sets the body for the target. Targets report token usage at the end of a
** stream only when stream_options.include_usage is set, so it is set here.
*/
static void setbody (request_t *c, json_t *doc, mt_bytes_t raw) {
  if (c->stream) {
    json_t *options = json_object_get(doc, "stream_options");
    if (!json_is_object(options)) {
      options = json_object();
      json_object_set_new(doc, "stream_options", options);
    }
    json_object_set_new(options, "include_usage", json_true());
    c->body = json_dumps(doc, JSON_COMPACT);
    c->nbody = strlen(c->body);
    return;
  }
  c->body = mtV_new(raw.n + 1);
  memcpy(c->body, raw.p, raw.n);
  c->nbody = raw.n;
}

/* The first error in the body of a completion request, or NULL. */
static const char *body_error (const json_t *doc) {
  const json_t *model = json_object_get(doc, "model");
  const json_t *stream = json_object_get(doc, "stream");
  const json_t *max_tokens = json_object_get(doc, "max_tokens");
  if (!json_is_object(doc)) return "the body must be a JSON object";
  if (!json_is_string(model)) return "$.model must be a string";
  if (stream != NULL && !json_is_boolean(stream))
    return "$.stream must be true or false";
  if (!json_is_array(json_object_get(doc, "messages")))
    return "$.messages must be an array";
  bool bad =
      max_tokens != NULL &&
      (!json_is_integer(max_tokens) || json_integer_value(max_tokens) < 1 ||
       json_integer_value(max_tokens) > MAX_TOKENS);
  return bad ? "$.max_tokens must be an integer, 1 to 1048576" : NULL;
}

static void completion (mt_front_t *O, mt_webreq_t *r, const char *digest) {
  mt_bytes_t raw = mtB_body(r);
  json_error_t err;
  json_t *doc = json_loadb(raw.p, raw.n, JSON_REJECT_DUPLICATES, &err);
  const char *error = doc ? body_error(doc) : err.text;
  if (error != NULL) {
    reject_now(O, r, MT_BAD_REQUEST, error);
    json_decref(doc);
    return;
  }
  request_t *c = new_request(O, r);
  mt_reqparams_t request = {.promptbytes = (uint32_t)raw.n,
                            .maxtokens = mtJ_int(doc, "max_tokens", 0)};
  read_headers(c, r, digest, &request);
  const char *model = mtJ_str(doc, "model", "");
  request.model = (mt_bytes_t){model, strlen(model)};
  request.stream = c->stream = json_is_true(json_object_get(doc, "stream"));
  snprintf(c->path, sizeof c->path, "/v1/chat/completions");
  snprintf(c->method, sizeof c->method, "POST");
  setbody(c, doc, raw);
  submit(c, &request);
  json_decref(doc);
}

static void service (mt_front_t *O, mt_webreq_t *r, const char *digest) {
  mt_bytes_t path = mtB_path(r), query = mtB_query(r), method = mtB_method(r),
             body = mtB_body(r);
  size_t at = strlen(SERVICES), end = at;
  while (end < path.n && path.p[end] != '/') end++;
  size_t rest = path.n - end;
  if (end == at || method.n >= 8 ||
      rest + query.n + 3 > sizeof((request_t *)0)->path) {
    reject_now(O, r, MT_BAD_REQUEST,
               "the path must be /services/NAME/... and not too long");
    return;
  }
  request_t *c = new_request(O, r);
  mt_reqparams_t request = {.service = true,
                            .model = {path.p + at, end - at},
                            .promptbytes = (uint32_t)body.n};
  read_headers(c, r, digest, &request);
  memcpy(c->method, method.p, method.n);
  snprintf(c->path, sizeof c->path, "%.*s%s%.*s", (int)rest,
           rest ? path.p + end : "", query.n ? "?" : "", (int)query.n,
           query.p);
  if (c->path[0] != '/') {
    memmove(c->path + 1, c->path, sizeof c->path - 1);
    c->path[0] = '/';
  }
  c->body = mtV_new(body.n + 1);
  memcpy(c->body, body.p, body.n);
  c->nbody = body.n;
  submit(c, &request);
}

static void models (mt_front_t *O, mt_webreq_t *r, const char *digest) {
  const mt_fleet_t *F = O->X->S->fleet;
  const mt_workspace_t *w = F ? mtF_bykey(F, digest) : NULL;
  if (w == NULL) {
    reject_now(O, r, F ? MT_BAD_KEY : MT_NO_CONFIG, NULL);
    return;
  }
  json_t *data = json_array();
  for (size_t i = 0; i < F->npools; i++) {
    size_t j;
    json_t *m;
    if (!mtF_mayuse(w, &F->pools[i])) continue;
    json_array_foreach (F->pools[i].models, j, m) {
      json_array_append_new(data,
                            json_pack("{s:O,s:s,s:s}", "id", m, "object",
                                      "model", "owned_by", "martentiller"));
    }
  }
  json_t *doc = json_pack("{s:s,s:o}", "object", "list", "data", data);
  char *text = json_dumps(doc, JSON_COMPACT);
  mt_header_t h = {"content-type", "application/json"};
  mtB_reply(r, 200, &h, 1, text, strlen(text));
  free(text);
  json_decref(doc);
}

static void resume (mt_front_t *O, mt_webreq_t *r, const char *digest) {
  mt_bytes_t h = mtB_header(r, "x-resume-token");
  char text[MT_TOKEN_BYTES] = "", from[16] = "0";
  mt_resume_token_t token;
  if (h.n < sizeof text) memcpy(text, h.p, h.n);
  mtB_param(r, "from", from, sizeof from);
  char *end;
  long n = strtol(from, &end, 10);
  bool valid = mtH_verify(&O->X->set, text, &token) &&
               token.expires >= (uint64_t)time(NULL);
  if (!valid || *end != '\0' || n < 0) {
    reject_now(O, r, valid ? MT_BAD_REQUEST : MT_BAD_TOKEN, NULL);
    return;
  }
  request_t *c = new_request(O, r);
  c->token = token;
  c->ws = token.ws;
  c->from = n;
  c->stream = true;
  mt_event_t ev = {.kind = MT_EV_RESUME, .req = c->id};
  ev.u.resume.keydigest = digest;
  ev.u.resume.ws = token.ws;
  ev.u.resume.target = token.target;
  mtX_step(O->X, &ev);
}

static bool startswith (mt_bytes_t s, const char *prefix) {
  return s.n >= strlen(prefix) && memcmp(s.p, prefix, strlen(prefix)) == 0;
}

void mtO_handle (void *ud, mt_webreq_t *r) {
  mt_front_t *O = ud;
  char digest[MT_DIGEST_HEX + 1];
  if (!keydigest(r, digest)) {
    reject_now(O, r, MT_BAD_KEY, "send Authorization: Bearer KEY");
  } else if (mtB_body(r).n > MT_BODY_MAX) {
    reject_now(O, r, MT_TOO_LARGE, "the body is larger than 8 MiB");
  } else if (mtB_is(r, "POST", "/v1/chat/completions")) {
    completion(O, r, digest);
  } else if (mtB_is(r, "GET", "/v1/models")) {
    models(O, r, digest);
  } else if (mtB_is(r, "GET", "/v1/streams")) {
    resume(O, r, digest);
  } else if (startswith(mtB_path(r), SERVICES)) {
    service(O, r, digest);
  } else {
    reject_now(O, r, MT_NO_ROUTE, NULL);
  }
}

/* }== */

/* {== Disconnects and lifetime ========================================= */

/* Ends the requests whose callers were found to have disconnected. */
static void flush_disconnected (mt_front_t *O) {
  while (O->ndisconnected > 0) {
    request_t *c = find(O, O->disconnected[--O->ndisconnected]);
    if (c == NULL || c->r == NULL) continue;
    mt_webreq_t *r = c->r;
    c->r = NULL;
    mtB_set_callbacks(r, NULL, NULL, NULL);
    reply_error(r, MT_CALLER_LEFT, false, NULL);
    uint64_t id = c->id;
    report_disconnect(O, id);
    if (find(O, id) == c && c->followers == NULL) free_request(c);
  }
}

void mtO_check_callers (mt_front_t *O) {
  mtV_each (&O->requests, i) {
    request_t *c = O->requests.vals[i];
    bool awaiting_reply = c->r != NULL && !c->head_sent && c->leader == NULL;
    if (awaiting_reply && mtB_disconnected(c->r)) mark_disconnected(O, c->id);
  }
  flush_disconnected(O);
}

size_t mtO_count (const mt_front_t *O) {
  return O->requests.used;
}

mt_front_t *mtO_open (mt_router_t *X) {
  mt_front_t *O = mtV_new(sizeof *O);
  O->X = X;
  return O;
}

void mtO_close (mt_front_t *O) {
  mtV_free(&O->requests);
  free(O->disconnected);
  free(O);
}

/* }== */
