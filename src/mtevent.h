/*
** mtevent.h - the reducer's input events and output effects
*/
#ifndef mtevent_h
#define mtevent_h

#include "mtcount.h"
#include "mtfleet.h"
#include "mtlog.h"
#include "mtmsg.h"

/* {== Events =========================================================== */

typedef enum mt_evkind_t {
  MT_EV_TICK,        /* periodic, every MT_TICK_MS */
  MT_EV_REQUEST,     /* a caller's request */
  MT_EV_RESUME,      /* a caller reconnects to a stream by its resume token */
  MT_EV_CALLER_LEFT, /* a caller disconnected before its response ended */
  MT_EV_FAILED,      /* an attempt ended without a complete response */
  MT_EV_HEAD,        /* status and headers of an attempt's response */
  MT_EV_CHUNK,       /* some bytes of an attempt's response body */
  MT_EV_END,         /* an attempt's response is complete */
  MT_EV_PEER,        /* a message from another router */
  MT_EV_CONFIG_HEAD, /* reply of the store: the configuration's head */
  MT_EV_CONFIG_PART, /* reply of the store: one part of the configuration */
  MT_EV_CLAIMED,     /* result of writing a claim to the store */
  MT_EV_DRAIN        /* finish the requests in progress, then stop */
} mt_evkind_t;

/* Whether a request may run twice: as its pool is configured, or never. */
typedef enum mt_repeat_t { MT_REPEAT_DEFAULT, MT_REPEAT_NEVER } mt_repeat_t;

/* A caller's request as mtfront.c parses it; strings are borrowed. */
typedef struct mt_reqparams_t {
  const char *keydigest; /* SHA-256 of the caller's API key, in hexadecimal */
  mt_bytes_t model;      /* name of the model, or of the service */
  bool service;          /* a plain service, not a model */
  bool stream;
  mt_repeat_t repeat;
  uint64_t session;     /* hash of API key and session id, 0: none */
  uint64_t idem;        /* hash of API key and idempotency key, 0: none */
  uint32_t promptbytes; /* size of the body */
  int64_t maxtokens;    /* 0: not given */
  mt_ms_t wait;         /* longest wait in the queue, 0: MT_WAIT_MAX_MS */
} mt_reqparams_t;

/* Result of writing a claim, the store's record that one request with an
   idempotency key runs. */
typedef enum mt_claim_t {
  MT_CLAIM_ACQUIRED,   /* written for this request */
  MT_CLAIM_HELD,       /* written earlier for another request */
  MT_CLAIM_UNAVAILABLE /* no reply of the store; it may have been written */
} mt_claim_t;

typedef struct mt_event_t {
  mt_evkind_t kind;
  mt_ms_t now;
  uint64_t req;     /* number of the request, unique in this process */
  uint32_t attempt; /* number of the attempt at that request, from 1 */
  union {
    mt_reqparams_t request;
    struct {
      const char *keydigest;
      mt_id_t ws, target; /* from the resume token */
    } resume;
    struct {
      bool notrun; /* the target cannot have started to run it */
      bool busy;   /* the target rejected it as overloaded */
      bool silent; /* the target sent nothing within its timeout */
    } failed;
    int status;     /* HEAD: of HTTP */
    int64_t tokens; /* CHUNK: output tokens in it */
    struct {
      int64_t prompt, output; /* tokens, -1: not reported */
    } end;
    struct {
      mt_id_t from; /* the sending router */
      const mt_msg_t *msg;
    } peer;
    struct {
      int status;             /* 200, 404: no head yet, 0: no reply */
      int64_t revision;       /* of the configuration, from the text */
      int64_t store_revision; /* of the head's key in the store */
      mt_bytes_t text;
    } config_head;
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
  MT_FX_REJECT,  /* reply to the caller with an error of the router */
  MT_FX_START,   /* start an attempt at a target */
  MT_FX_RESUME,  /* reconnect to a stream at a target */
  MT_FX_CANCEL,  /* cancel an attempt */
  MT_FX_FORWARD, /* forward the bytes of the current event to the caller */
  MT_FX_JOIN,    /* give the caller the response of another request */
  MT_FX_ABORT,   /* close the caller's connection before its response ends */
  MT_FX_SEND,    /* send a frame to another router */
  MT_FX_GET_CONFIG_HEAD,   /* read the configuration's head from the store */
  MT_FX_WATCH_CONFIG_HEAD, /* long-poll the store for a newer head */
  MT_FX_GET_CONFIG_PART,   /* read one configuration part from the store */
  MT_FX_CLAIM,             /* write a claim to the store */
  MT_FX_RELEASE,           /* delete a claim: the request did not run */
  MT_FX_LOG,
  MT_FX_STOP /* draining is complete: end the process */
} mt_fxkind_t;

/* An action for the caller of mtR_step. */
typedef struct mt_effect_t {
  mt_fxkind_t kind;
  uint64_t req;
  uint32_t attempt;
  union {
    struct {
      mt_rejection_t why;
      bool notrun;
    } reject;
    struct {
      mt_id_t target;
      int priority;
      bool fresh; /* use a new connection: the request must not be repeated */
    } start;
    uint64_t leader; /* JOIN: the request whose response is shared */
    struct {
      mt_id_t to;
      mt_addr_t addr;
      mt_msgkind_t kind;
      char *bytes; /* owned by the effect */
      size_t n;
    } send;
    int64_t revision; /* WATCH_CONFIG_HEAD: the last store_revision */
    char digest[MT_DIGEST_HEX + 1]; /* GET_CONFIG_PART */
    uint64_t claim; /* CLAIM, RELEASE: the idempotency key's hash */
    struct {
      mt_level_t level;
      mt_component_t component;
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
