/*
** standin.h - small stand-ins for the outside: store, engines, service, proxy
*/
#ifndef standin_h
#define standin_h

#include <uv.h>

#include "mtmem.h"
#include "mtweb.h"

/* The value of an option "--name value", or `otherwise`. */
const char *si_option (int argc, char **argv, const char *name,
                       const char *otherwise);
long si_number (int argc, char **argv, const char *name, long otherwise);

/* A query parameter as a number, or `otherwise`. */
long si_param (const mt_webreq_t *r, const char *name, long otherwise);

/* True for this method and a path that begins so. */
bool si_is (const mt_webreq_t *r, const char *method, const char *head);

/* Answers with a text. */
void si_text (mt_webreq_t *r, int status, const char *type, const char *text);

/* Listens on a loopback address or ends the process. */
mt_web_t *si_listen (uv_loop_t *loop, uint16_t port, mt_webfn_t fn, void *ud);

int si_store (int argc, char **argv, uv_loop_t *loop);
int si_engine (int argc, char **argv, uv_loop_t *loop);
int si_service (int argc, char **argv, uv_loop_t *loop);
int si_proxy (int argc, char **argv, uv_loop_t *loop);

#endif
