/*
** mtevent.h - everything that reaches the reducer and everything it asks for
*/
#ifndef mtevent_h
#define mtevent_h

#include "mtcount.h"
#include "mtfleet.h"
#include "mtlog.h"
#include "mtmsg.h"

/* {== Events =========================================================== */

typedef enum mt_evkind_t {
  MT_EV_TICK,    /* the clock moved on */
  MT_EV_REQUEST, /* a caller asks */
  MT_EV_RESUME,  /* a caller comes back to a stream */
  MT_EV_GONE,    /* a caller left, or its answer is through */
  MT_EV_FAILED,  /* an attempt ended without an answer */
  MT_EV_HEAD,    /* an attempt's status line */
  MT_EV_CHUNK,   /* a part of an attempt's answer */
  MT_EV_END,     /* an attempt's answer is whole */
  MT_EV_PEER,    /* a message from another router */
  MT_EV_STORED,  /* the store answered for the head */
  MT_EV_PART,    /* the store answered for a part */
  MT_EV_CLAIMED, /* the store answered for a claim */
  MT_EV_DRAIN    /* finish and stop */
} mt_evkind_t;

typedef enum mt_repeat_t { MT_REPEAT_DEFAULT, MT_REPEAT_NEVER } mt_repeat_t;

/* A caller's request, read by the HTTP adapter; texts are borrowed. */
typedef struct mt_ask_t {
  const char *keydigest; /* SHA-256 of the caller's key, hexadecimal */
  mt_bytes_t model;      /* or the service's name */
  bool service;
  bool stream;
  mt_repeat_t repeat;
  uint64_t session; /* hash of workspace and session, or 0 */
  uint64_t idem;    /* hash of workspace and key, or 0 */
  uint32_t promptbytes;
  int64_t maxtokens; /* 0: unknown */
  mt_ms_t wait;      /* longest wait for a target; 0: default */
} mt_ask_t;

typedef enum mt_claim_t {
  MT_CLAIM_OURS,   /* the claim is written and is ours */
  MT_CLAIM_OTHERS, /* another request holds it */
  MT_CLAIM_AWAY    /* the store could not be asked */
} mt_claim_t;

typedef struct mt_event_t {
  mt_evkind_t kind;
  mt_ms_t now;
  uint64_t req;     /* requests: the adapter's number of it */
  uint32_t attempt; /* attempts */
  union {
    mt_ask_t ask;
    struct {
      const char *keydigest;
      mt_id_t ws, target; /* as the token says */
    } resume;
    struct {
      bool notrun; /* no byte of it can have been acted upon */
      bool busy;   /* the target refused it */
      bool silent; /* nothing came in time */
    } failed;
    int status;     /* HEAD */
    int64_t tokens; /* CHUNK: tokens in it */
    struct {
      int64_t prompt, output; /* -1: not told */
    } end;
    struct {
      mt_id_t from;
      const mt_msg_t *msg;
    } peer;
    struct {
      int status;       /* 200, 404 none yet, 0 out of reach */
      int64_t revision; /* of the configuration */
      int64_t written;  /* the store's own, of the head */
      mt_bytes_t text;
    } stored;
    struct {
      int status;
      mt_bytes_t digest, text;
    } part;
    struct {
      uint64_t key;
      mt_claim_t result;
    } claimed;
  } u;
} mt_event_t;

/* }== */

/* {== Effects ========================================================== */

typedef enum mt_fxkind_t {
  MT_FX_REFUSE,  /* answer the caller in place of a target */
  MT_FX_START,   /* begin an attempt at a target */
  MT_FX_RESUME,  /* take up a stream at a target */
  MT_FX_CANCEL,  /* give an attempt up */
  MT_FX_FORWARD, /* pass this event's bytes on to the caller */
  MT_FX_JOIN,    /* give the caller the answer of another request */
  MT_FX_ABORT,   /* cut the caller's answer: it cannot be completed */
  MT_FX_SEND,    /* a frame to another router */
  MT_FX_GETHEAD, /* ask the store for the configuration's head */
  MT_FX_WATCH,   /* wait at the store for a newer head */
  MT_FX_GETPART, /* ask the store for one part */
  MT_FX_CLAIM,   /* write a claim */
  MT_FX_RELEASE, /* take a claim back: the request did not run */
  MT_FX_LOG,
  MT_FX_STOP /* all is finished: end the process */
} mt_fxkind_t;

typedef struct mt_effect_t {
  mt_fxkind_t kind;
  uint64_t req;
  uint32_t attempt;
  union {
    struct {
      mt_rejection_t why;
      bool notrun;
    } refuse;
    struct {
      mt_id_t target;
      int priority;
      bool fresh; /* on a new connection: the request is not repeatable */
    } start;
    uint64_t leader; /* JOIN */
    struct {
      mt_id_t to;
      mt_addr_t addr;
      mt_msgkind_t kind;
      char *bytes; /* owned by the effect */
      size_t n;
    } send;
    int64_t revision; /* WATCH: the store's own; wait for a newer one */
    char digest[MT_DIGEST_HEX + 1]; /* GETPART */
    uint64_t claim;                 /* CLAIM, RELEASE: its key */
    struct {
      mt_level_t level;
      mt_component_t part;
      char text[160];
    } log;
  } u;
} mt_effect_t;

typedef struct mt_effects_t {
  mt_effect_t *at;
  size_t n, cap;
} mt_effects_t;

/* }== */

#endif
