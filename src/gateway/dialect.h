/*
** dialect.h - how requests and answers are spelt at one kind of platform
**
** The gateway knows HTTP; a dialect knows which header fields carry what. It
** translates and decides nothing.
*/
#ifndef dialect_h
#define dialect_h

#include "http_headers.h"
#include "relay.h"

/* A text that grows. */
typedef struct mt_text_t {
  char *p;
  size_t n, cap;
} mt_text_t;

void mt_text_add (mt_text_t *text, const char *p, size_t n);
void mt_text_format (mt_text_t *text, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void mt_text_free (mt_text_t *text);

/* What the gateway adds to a request on its way to an engine. */
typedef struct mt_dialect_sent_t {
  const char *instance;  /* the engine's incarnation */
  const char *workspace; /* NULL: none */
  mt_ms_t deadline_ms;
  int64_t last_event; /* -1: from the start */
  const char *source; /* IP:PORT to take kept parts from; NULL: none */
} mt_dialect_sent_t;

typedef struct mt_dialect_t {
  /* Reads what a caller's header fields say; all else is already set. */
  void (*read_request)(const mt_http_headers_t *headers, mt_relay_ask_t *ask);
  /* Appends the header lines for an engine, all but host and framing. */
  void (*write_request)(const mt_http_headers_t *headers,
                        const mt_dialect_sent_t *sent, mt_text_t *out);
  /* What an engine's head says of the request. */
  mt_relay_verdict_t (*judge)(int status, const mt_http_headers_t *headers);
  /* What an engine's head says of the engine itself. */
  mt_engine_notice_t (*notice)(int status, const mt_http_headers_t *headers);
  /* True when the answer belongs to the request with this id. */
  bool (*belongs)(const mt_http_headers_t *headers, mt_bytes_t id);
} mt_dialect_t;

#endif
