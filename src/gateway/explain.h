/*
** explain.h - from a request's id to its cause, out of the logs
*/
#ifndef explain_h
#define explain_h

#include <stddef.h>

/*
** Reads the gateways' log files and prints, in order of time, every line of
** the request and, of the routers that had it, what they came to believe of
** the engines, store and configuration it met in the seconds before.
** Returns 0, 1 when the id is in no file, 2 when a file cannot be read.
*/
int mt_explain (const char *id, const char *const *files, size_t count);

#endif
