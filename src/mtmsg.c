/*
** mtmsg.c - messages between routers and their msgpack encoding
*/
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <msgpack.h>

#include "mtmsg.h"

#define ROWS_MAX MT_WORKSPACES_MAX
#define BACKLOGS_MAX 64

static const char *const kinds[] = {
    "none",  "hello",    "beat",    "view",     "demand",  "grant",
    "offer", "exchange", "confask", "confhead", "partask", "part"};
static const char *const errors[] = {"ok", "syntax", "unknown message kind",
                                     "missing, unexpected or mistyped field",
                                     "value out of range"};

/* {== Packing ========================================================== */

static void packstr (msgpack_packer *pk, const char *s) {
  msgpack_pack_str_with_body(pk, s, strlen(s));
}

static void packbin (msgpack_packer *pk, mt_bytes_t b) {
  msgpack_pack_bin_with_body(pk, b.p, b.n);
}

static void packnode (msgpack_packer *pk, const mt_node_t *n) {
  msgpack_pack_array(pk, 8);
  packstr(pk, n->name);
  packstr(pk, n->domain);
  packstr(pk, n->region);
  packstr(pk, n->addr.ip);
  msgpack_pack_uint16(pk, n->addr.port);
  msgpack_pack_uint64(pk, n->boot);
  msgpack_pack_uint64(pk, n->inc);
  msgpack_pack_uint8(pk, (uint8_t)n->state);
}

static void packbacklog (msgpack_packer *pk, const mt_backlog_t *l) {
  msgpack_pack_array(pk, l->set ? 4 : 2);
  msgpack_pack_int32(pk, l->waiting);
  msgpack_pack_uint32(pk, l->preferred);
  if (l->set == 0) return;
  msgpack_pack_uint64(pk, l->set);
  msgpack_pack_array(pk, l->ntargets);
  for (size_t i = 0; i < l->ntargets; i++)
    msgpack_pack_uint32(pk, l->targets[i]);
}

static void packrow (msgpack_packer *pk, const mt_ws_row_t *r) {
  msgpack_pack_array(pk, 7);
  msgpack_pack_uint32(pk, r->ws);
  msgpack_pack_int64(pk, r->served);
  msgpack_pack_int64(pk, r->pending);
  msgpack_pack_int64(pk, r->cost);
  msgpack_pack_int64(pk, r->lift);
  msgpack_pack_int64(pk, r->forgiven);
  msgpack_pack_array(pk, r->nbacklogs);
  for (size_t i = 0; i < r->nbacklogs; i++) packbacklog(pk, &r->backlogs[i]);
}

static void packrows (msgpack_packer *pk, const mt_ws_row_t *rows, size_t n) {
  msgpack_pack_array(pk, n);
  for (size_t i = 0; i < n; i++) packrow(pk, &rows[i]);
}

static void packdemand (msgpack_packer *pk, const mt_demand_t *d) {
  msgpack_pack_uint32(pk, d->domain);
  msgpack_pack_uint32(pk, d->pool);
  msgpack_pack_uint8(pk, d->full);
  msgpack_pack_uint64(pk, d->boot);
  packrows(pk, d->rows, d->nrows);
  msgpack_pack_array(pk, d->nrunning * 2);
  for (size_t i = 0; i < d->nrunning; i++) {
    msgpack_pack_uint32(pk, d->running[i].target);
    msgpack_pack_int32(pk, d->running[i].count);
  }
  msgpack_pack_array(pk, d->nresults * 2);
  for (size_t i = 0; i < d->nresults; i++) {
    msgpack_pack_uint64(pk, d->results[i].grant);
    msgpack_pack_uint8(pk, d->results[i].used);
  }
}

static void packgrant (msgpack_packer *pk, const mt_grant_t *g) {
  msgpack_pack_uint32(pk, g->domain);
  msgpack_pack_uint32(pk, g->pool);
  msgpack_pack_uint32(pk, g->todomain);
  msgpack_pack_uint32(pk, g->issuer);
  msgpack_pack_uint32(pk, g->target);
  msgpack_pack_uint32(pk, g->ws);
  msgpack_pack_uint64(pk, g->id);
  msgpack_pack_uint64(pk, g->echo);
}

static void packexchange (msgpack_packer *pk, const mt_exchange_t *x) {
  msgpack_pack_uint32(pk, x->domain);
  msgpack_pack_uint32(pk, x->pool);
  msgpack_pack_uint32(pk, x->todomain);
  msgpack_pack_uint64(pk, x->boot);
  msgpack_pack_uint8(pk, x->fresh);
  msgpack_pack_uint8(pk, x->echo);
  msgpack_pack_uint8(pk, x->full);
  msgpack_pack_int64(pk, x->vtime);
  packrows(pk, x->rows, x->nrows);
}

/* Elements of each kind's array after the kind and the clock. */
static const size_t elements[MT_NMSGKINDS] = {
    [MT_M_HELLO] = 1,        [MT_M_HEARTBEAT] = 4,    [MT_M_VIEW] = 1,
    [MT_M_DEMAND] = 7,       [MT_M_GRANT] = 8,        [MT_M_OFFER] = 8,
    [MT_M_EXCHANGE] = 9,     [MT_M_HEAD_REQUEST] = 1, [MT_M_HEAD] = 2,
    [MT_M_PART_REQUEST] = 1, [MT_M_PART] = 2};

static void packbody (msgpack_packer *pk, const mt_msg_t *m) {
  switch (m->kind) {
    case MT_M_HELLO: packnode(pk, &m->u.hello); break;
    case MT_M_HEARTBEAT:
      msgpack_pack_uint64(pk, m->u.heartbeat.inc);
      msgpack_pack_uint8(pk, (uint8_t)m->u.heartbeat.state);
      msgpack_pack_int64(pk, m->u.heartbeat.revision);
      msgpack_pack_uint64(pk, m->u.heartbeat.digest);
      break;
    case MT_M_VIEW:
      msgpack_pack_array(pk, m->u.view.n);
      for (size_t i = 0; i < m->u.view.n; i++)
        packnode(pk, &m->u.view.nodes[i]);
      break;
    case MT_M_DEMAND: packdemand(pk, &m->u.demand); break;
    case MT_M_GRANT:
    case MT_M_OFFER: packgrant(pk, &m->u.grant); break;
    case MT_M_EXCHANGE: packexchange(pk, &m->u.exchange); break;
    case MT_M_HEAD_REQUEST: msgpack_pack_int64(pk, m->u.head.revision); break;
    case MT_M_HEAD:
      msgpack_pack_int64(pk, m->u.head.revision);
      packbin(pk, m->u.head.text);
      break;
    case MT_M_PART_REQUEST: packbin(pk, m->u.part.digest); break;
    case MT_M_PART:
      packbin(pk, m->u.part.digest);
      packbin(pk, m->u.part.text);
      break;
    case MT_M_NONE:
    case MT_NMSGKINDS: mt_assert(0); break;
  }
}

size_t mtW_pack (const mt_msg_t *m, char **out) {
  msgpack_sbuffer buf;
  msgpack_packer pk;
  msgpack_sbuffer_init(&buf);
  msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
  msgpack_pack_array(&pk, elements[m->kind] + 2);
  msgpack_pack_uint8(&pk, (uint8_t)m->kind);
  msgpack_pack_uint64(&pk, m->clock);
  packbody(&pk, m);
  size_t n = buf.size;
  *out = msgpack_sbuffer_release(&buf);
  return n;
}

/* }== */

/* {== Unpacking ======================================================== */

/* A cursor over one msgpack array; keeps the first error. */
typedef struct cursor_t {
  const msgpack_object *at;
  size_t left;
  mt_msgerr_t err;
} cursor_t;

static const msgpack_object *next (cursor_t *c) {
  static const msgpack_object nil = {.type = MSGPACK_OBJECT_NIL};
  if (c->err != MT_MSG_OK || c->left == 0) {
    if (c->err == MT_MSG_OK) c->err = MT_MSG_FIELD;
    return &nil;
  }
  c->left--;
  return c->at++;
}

static void fail (cursor_t *c, mt_msgerr_t err) {
  if (c->err == MT_MSG_OK) c->err = err;
}

static uint64_t getuint (cursor_t *c, uint64_t max) {
  const msgpack_object *o = next(c);
  if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
    fail(c, MT_MSG_FIELD);
    return 0;
  }
  if (o->via.u64 > max) fail(c, MT_MSG_RANGE);
  return o->via.u64;
}

static int64_t getint (cursor_t *c) {
  const msgpack_object *o = next(c);
  if (o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) return o->via.i64;
  if (o->type == MSGPACK_OBJECT_POSITIVE_INTEGER && o->via.u64 <= INT64_MAX)
    return (int64_t)o->via.u64;
  fail(c, MT_MSG_FIELD);
  return 0;
}

static int32_t getcount (cursor_t *c) {
  return (int32_t)getuint(c, INT32_MAX);
}

static mt_id_t getid (cursor_t *c) {
  return (mt_id_t)getuint(c, UINT32_MAX);
}

/* Units on the wire are not negative; the limit prevents overflow of sums. */
static mt_units_t getunits (cursor_t *c) {
  return (mt_units_t)getuint(c, INT64_MAX / 4);
}

static void getstr (cursor_t *c, char *out, size_t size) {
  const msgpack_object *o = next(c);
  if (o->type != MSGPACK_OBJECT_STR) {
    fail(c, MT_MSG_FIELD);
    return;
  }
  if (o->via.str.size >= size || memchr(o->via.str.ptr, 0, o->via.str.size)) {
    fail(c, MT_MSG_RANGE);
    return;
  }
  memcpy(out, o->via.str.ptr, o->via.str.size);
  out[o->via.str.size] = '\0';
}

static mt_bytes_t getbin (cursor_t *c) {
  const msgpack_object *o = next(c);
  if (o->type != MSGPACK_OBJECT_BIN) {
    fail(c, MT_MSG_FIELD);
    return (mt_bytes_t){"", 0};
  }
  return (mt_bytes_t){o->via.bin.ptr, o->via.bin.size};
}

static cursor_t getarray (cursor_t *c, size_t max) {
  const msgpack_object *o = next(c);
  cursor_t in = {NULL, 0, c->err};
  if (o->type != MSGPACK_OBJECT_ARRAY)
    fail(c, MT_MSG_FIELD);
  else if (o->via.array.size > max)
    fail(c, MT_MSG_RANGE);
  else
    in = (cursor_t){o->via.array.ptr, o->via.array.size, c->err};
  in.err = c->err;
  return in;
}

static void getnode (cursor_t *c, mt_node_t *n) {
  cursor_t in = getarray(c, 8);
  getstr(&in, n->name, sizeof n->name);
  getstr(&in, n->domain, sizeof n->domain);
  getstr(&in, n->region, sizeof n->region);
  getstr(&in, n->addr.ip, sizeof n->addr.ip);
  n->addr.port = (uint16_t)getuint(&in, UINT16_MAX);
  n->boot = getuint(&in, UINT64_MAX);
  n->inc = getuint(&in, UINT64_MAX);
  n->state = (mt_memberstate_t)getuint(&in, MT_DEAD);
  if (in.err == MT_MSG_OK && !(mtJ_isname(n->name) && mtJ_isname(n->domain)))
    fail(&in, MT_MSG_RANGE);
  fail(c, in.err);
}

static void getbacklog (cursor_t *c, mt_backlog_t *l) {
  cursor_t in = getarray(c, 4);
  l->waiting = getcount(&in);
  l->preferred = getid(&in);
  if (in.left > 0) {
    l->set = getuint(&in, UINT64_MAX);
    cursor_t ids = getarray(&in, MT_POOL_TARGETS_MAX);
    l->targets = ids.left ? mtV_new(ids.left * sizeof *l->targets) : NULL;
    while (ids.left > 0 && ids.err == MT_MSG_OK)
      l->targets[l->ntargets++] = getid(&ids);
    fail(&in, ids.err);
  }
  fail(c, in.err);
}

static void getrow (cursor_t *c, mt_ws_row_t *r) {
  cursor_t in = getarray(c, 7);
  r->ws = getid(&in);
  if (in.err == MT_MSG_OK && r->ws == 0) fail(&in, MT_MSG_RANGE);
  r->served = getunits(&in);
  r->pending = getunits(&in);
  r->cost = getunits(&in);
  r->lift = getunits(&in);
  r->forgiven = getunits(&in);
  cursor_t backlogs = getarray(&in, BACKLOGS_MAX);
  r->backlogs =
      backlogs.left ? mtV_new(backlogs.left * sizeof *r->backlogs) : NULL;
  while (backlogs.left > 0 && backlogs.err == MT_MSG_OK)
    getbacklog(&backlogs, &r->backlogs[r->nbacklogs++]);
  fail(&in, backlogs.err);
  fail(c, in.err);
}

static void getrows (cursor_t *c, mt_ws_row_t **rows, size_t *n) {
  cursor_t in = getarray(c, ROWS_MAX);
  *rows = in.left ? mtV_new(in.left * sizeof **rows) : NULL;
  while (in.left > 0 && in.err == MT_MSG_OK) getrow(&in, &(*rows)[(*n)++]);
  fail(c, in.err);
}

static void getdemand (cursor_t *c, mt_demand_t *d) {
  d->domain = getid(c);
  d->pool = getid(c);
  d->full = (uint8_t)getuint(c, 1);
  d->boot = getuint(c, UINT64_MAX);
  if (d->domain == 0 || d->pool == 0) fail(c, MT_MSG_RANGE);
  getrows(c, &d->rows, &d->nrows);
  cursor_t in = getarray(c, 2 * MT_TARGETS_MAX);
  while (in.left > 0 && in.err == MT_MSG_OK) {
    mt_running_t *r = mtV_push(d->running, d->nrunning, d->running_cap);
    r->target = getid(&in);
    r->count = getcount(&in);
  }
  fail(c, in.err);
  in = getarray(c, 2 * MT_RUNNING_MAX);
  while (in.left > 0 && in.err == MT_MSG_OK) {
    mt_grant_result_t *t = mtV_push(d->results, d->nresults, d->results_cap);
    t->grant = getuint(&in, UINT64_MAX);
    t->used = (uint8_t)getuint(&in, 2);
  }
  fail(c, in.err);
}

static void getgrant (cursor_t *c, mt_grant_t *g) {
  g->domain = getid(c);
  g->pool = getid(c);
  g->todomain = getid(c);
  g->issuer = getid(c);
  g->target = getid(c);
  g->ws = getid(c);
  g->id = getuint(c, UINT64_MAX);
  g->echo = getuint(c, UINT64_MAX);
  if (g->domain == 0 || g->pool == 0) fail(c, MT_MSG_RANGE);
}

static void getexchange (cursor_t *c, mt_exchange_t *x) {
  x->domain = getid(c);
  x->pool = getid(c);
  x->todomain = getid(c);
  x->boot = getuint(c, UINT64_MAX);
  x->fresh = (uint8_t)getuint(c, 1);
  x->echo = (uint8_t)getuint(c, 1);
  x->full = (uint8_t)getuint(c, 1);
  x->vtime = getunits(c);
  if (x->domain == 0 || x->pool == 0 || x->todomain == 0)
    fail(c, MT_MSG_RANGE);
  getrows(c, &x->rows, &x->nrows);
}

static void getview (cursor_t *c, mt_msg_t *m) {
  cursor_t in = getarray(c, MT_NODES_MAX);
  m->u.view.nodes =
      in.left ? mtV_new(in.left * sizeof *m->u.view.nodes) : NULL;
  while (in.left > 0 && in.err == MT_MSG_OK)
    getnode(&in, &m->u.view.nodes[m->u.view.n++]);
  fail(c, in.err);
}

static void getbody (cursor_t *c, mt_msg_t *m) {
  switch (m->kind) {
    case MT_M_HELLO: getnode(c, &m->u.hello); break;
    case MT_M_HEARTBEAT:
      m->u.heartbeat.inc = getuint(c, UINT64_MAX);
      m->u.heartbeat.state = (mt_memberstate_t)getuint(c, MT_DEAD);
      m->u.heartbeat.revision = getint(c);
      m->u.heartbeat.digest = getuint(c, UINT64_MAX);
      break;
    case MT_M_VIEW: getview(c, m); break;
    case MT_M_DEMAND: getdemand(c, &m->u.demand); break;
    case MT_M_GRANT:
    case MT_M_OFFER: getgrant(c, &m->u.grant); break;
    case MT_M_EXCHANGE: getexchange(c, &m->u.exchange); break;
    case MT_M_HEAD_REQUEST: m->u.head.revision = getint(c); break;
    case MT_M_HEAD:
      m->u.head.revision = getint(c);
      m->u.head.text = getbin(c);
      break;
    case MT_M_PART_REQUEST: m->u.part.digest = getbin(c); break;
    case MT_M_PART:
      m->u.part.digest = getbin(c);
      m->u.part.text = getbin(c);
      break;
    case MT_M_NONE:
    case MT_NMSGKINDS: fail(c, MT_MSG_KIND); break;
  }
}

static uint64_t bigendian (const unsigned char *p, size_t n) {
  uint64_t v = 0;
  for (size_t i = 0; i < n; i++) v = v << 8 | p[i];
  return v;
}

/*
** The msgpack library allocates as many elements as an array's header claims.
** Therefore the headers are checked first: an array must not claim more
** elements than there are bytes left, and only the types that messages use
** (integers, strings, binaries, arrays) are accepted.
*/

/* The header of one object: the bytes and array elements that follow it. */
typedef struct header_t {
  size_t lenbytes;  /* of the length field after the tag */
  uint64_t payload; /* bytes after the length field */
  uint64_t elements;
} header_t;

static bool readheader (const unsigned char *p, size_t n, header_t *h) {
  unsigned tag = p[0];
  *h = (header_t){0, 0, 0};
  if (tag <= 0x7f || tag >= 0xe0) return true; /* small integers */
  if (tag >= 0x90 && tag <= 0x9f) {            /* small arrays */
    h->elements = tag & 0xf;
    return true;
  }
  if (tag >= 0xa0 && tag <= 0xbf) { /* small strings */
    h->payload = tag & 0x1f;
    return true;
  }
  if (tag >= 0xcc && tag <= 0xd3) { /* integers of 1, 2, 4, 8 bytes */
    h->payload = 1u << ((tag - 0xcc) & 3);
    return true;
  }
  switch (tag) {
    case 0xc4: /* bin 8, str 8 */
    case 0xd9: h->lenbytes = 1; break;
    case 0xc5: /* bin 16, str 16, array 16 */
    case 0xda:
    case 0xdc: h->lenbytes = 2; break;
    case 0xc6: /* bin 32, str 32, array 32 */
    case 0xdb:
    case 0xdd: h->lenbytes = 4; break;
    default: return false;
  }
  if (n < 1 + h->lenbytes) return false;
  uint64_t len = bigendian(p + 1, h->lenbytes);
  if (tag == 0xdc || tag == 0xdd)
    h->elements = len;
  else
    h->payload = len;
  return true;
}

bool mtW_wellformed (const char *bytes, size_t n) {
  const unsigned char *p = (const unsigned char *)bytes;
  uint64_t open = 1; /* objects still to be read */
  size_t at = 0;
  while (open > 0) {
    header_t h;
    if (at >= n || !readheader(p + at, n - at, &h)) return false;
    at += 1 + h.lenbytes;
    if (h.payload > n - at) return false;
    at += h.payload;
    open += h.elements - 1;
    if (open > n - at) return false;
  }
  return at == n;
}

mt_msgerr_t mtW_unpack (const char *p, size_t n, mt_msg_t *m) {
  memset(m, 0, sizeof *m);
  if (!mtW_wellformed(p, n)) return MT_MSG_SYNTAX;
  msgpack_unpacked un;
  msgpack_unpacked_init(&un);
  size_t off = 0;
  mt_msgerr_t err = MT_MSG_SYNTAX;
  if (msgpack_unpack_next(&un, p, n, &off) != MSGPACK_UNPACK_SUCCESS ||
      off != n)
    goto done;
  err = MT_MSG_FIELD;
  if (un.data.type != MSGPACK_OBJECT_ARRAY) goto done;
  cursor_t c = {un.data.via.array.ptr, un.data.via.array.size, MT_MSG_OK};
  uint64_t kind = getuint(&c, UINT64_MAX);
  m->clock = getuint(&c, UINT64_MAX);
  if (c.err == MT_MSG_OK && (kind == MT_M_NONE || kind >= MT_NMSGKINDS))
    fail(&c, MT_MSG_KIND);
  if (c.err == MT_MSG_OK) {
    m->kind = (mt_msgkind_t)kind;
    getbody(&c, m);
  }
  if (c.err == MT_MSG_OK && c.left != 0) c.err = MT_MSG_FIELD;
  err = c.err;
done:
  msgpack_unpacked_destroy(&un);
  if (err != MT_MSG_OK) mtW_clear(m);
  return err;
}

/* }== */

/* {== Freeing and names ================================================ */

void mtW_freerows (mt_ws_row_t *rows, size_t n) {
  for (size_t i = 0; i < n; i++) {
    for (size_t j = 0; j < rows[i].nbacklogs; j++)
      free(rows[i].backlogs[j].targets);
    free(rows[i].backlogs);
  }
  free(rows);
}

void mtW_clear (mt_msg_t *m) {
  switch (m->kind) {
    case MT_M_VIEW: free(m->u.view.nodes); break;
    case MT_M_DEMAND:
      mtW_freerows(m->u.demand.rows, m->u.demand.nrows);
      free(m->u.demand.running);
      free(m->u.demand.results);
      break;
    case MT_M_EXCHANGE:
      mtW_freerows(m->u.exchange.rows, m->u.exchange.nrows);
      break;
    default: break;
  }
  memset(m, 0, sizeof *m);
}

const char *mtW_kindname (mt_msgkind_t kind) {
  return kind < MT_NMSGKINDS ? kinds[kind] : "?";
}

const char *mtW_error (mt_msgerr_t err) {
  return errors[err];
}

/* }== */
