/*
** standin.h - simulated store, engines, service and proxy for tests and bench
*/
#ifndef standin_h
#define standin_h

#include <uv.h>

#include "mtmem.h"
#include "mtweb.h"

/* The value of the option "NAME VALUE" of the command line, or `def`. */
const char *si_option (int argc, char **argv, const char *name,
                       const char *def);
/* The same, as an integer. */
long si_option_int (int argc, char **argv, const char *name, long def);

/* A query parameter as an integer, or `def`. */
long si_query_int (const mt_webreq_t *r, const char *name, long def);

/* True for this method and a path that begins with `head`. */
bool si_matches (const mt_webreq_t *r, const char *method, const char *head);

/* Replies with a text; `type` is its content type. */
void si_reply (mt_webreq_t *r, int status, const char *type,
               const char *text);

/* Listens on 127.0.0.1, port 0 for any free one; exits when that fails. */
mt_web_t *si_listen (uv_loop_t *loop, uint16_t port, mt_webfn_t fn, void *ud);

/*
** Each starts a stand-in on the loop with the options of the command line,
** prints its addresses as a line of JSON and returns 0.
*/
int si_store (int argc, char **argv, uv_loop_t *loop);
int si_engine (int argc, char **argv, uv_loop_t *loop);
int si_service (int argc, char **argv, uv_loop_t *loop);
int si_proxy (int argc, char **argv, uv_loop_t *loop);

#endif
