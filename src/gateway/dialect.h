/*
** dialect.h - a platform's header fields, read and written as typed values
**
** The gateway handles HTTP itself; a dialect maps header fields to the
** relay's terms and back. It only translates and makes no decisions. Also
** declares the string buffer that header lines are written to (strbuf.c).
*/
#ifndef dialect_h
#define dialect_h

#include "http_headers.h"
#include "relay.h"

/* A growable string buffer: `n` bytes at `p`, not zero-terminated. */
typedef struct mt_strbuf_t {
  char *p;
  size_t n, cap;
} mt_strbuf_t;

void mt_strbuf_append (mt_strbuf_t *buf, const char *p, size_t n);
/* Appends formatted text, cut to 511 bytes for each call. */
void mt_strbuf_format (mt_strbuf_t *buf, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/* Frees the memory; the buffer is empty and usable afterwards. */
void mt_strbuf_free (mt_strbuf_t *buf);

/* Values that the gateway adds to a request that it forwards to an engine. */
typedef struct mt_dialect_fields_t {
  const char *instance;  /* name of the engine that the request is for */
  const char *workspace; /* NULL: none */
  mt_ms_t deadline_ms;   /* time left to answer */
  int64_t last_event;    /* id of the last stream event that the caller has;
                            -1: none */
  const char *source;    /* IP:PORT of an engine to fetch cached tokens from;
                            NULL: none */
} mt_dialect_fields_t;

typedef struct mt_dialect_t {
  /* Reads a caller's header fields into `incoming`; host, path and digest
     are already set. */
  void (*read_request)(const mt_http_headers_t *headers,
                       mt_relay_incoming_t *incoming);
  /* Appends the header lines for an engine, except Content-Length. */
  void (*write_request)(const mt_http_headers_t *headers,
                        const mt_dialect_fields_t *fields, mt_strbuf_t *out);
  /* Whether the engine ran the request, by the head of its answer. */
  mt_relay_verdict_t (*classify)(int status,
                                 const mt_http_headers_t *headers);
  /* What the head of an answer says about the engine: draining, backoff. */
  mt_engine_notice_t (*notice)(int status, const mt_http_headers_t *headers);
  /* True if the answer is to the request with this id. */
  bool (*matches)(const mt_http_headers_t *headers, mt_bytes_t id);
  /* True if the head is of an answer that engines give, to the request with
     this id or to an earlier one: what it says about the engine counts. */
  bool (*is_genuine)(int status, const mt_http_headers_t *headers,
                     mt_bytes_t id);
  /* Name of the field that engines add to events; NULL: none. */
  const char *event_field;
} mt_dialect_t;

#endif
