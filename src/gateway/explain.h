/*
** explain.h - prints the log lines that explain the outcome of one request
*/
#ifndef explain_h
#define explain_h

#include <stddef.h>

/*
** Reads the gateways' log files and prints, in order of time, every line of
** the request `id` and the state changes (engines, store, configuration)
** that the routers which handled it logged in the 10 s before it and the 1 s
** after. Lines about the request as a suspect (suspects.h) may be up to 2 h
** older, and of any router. Returns 0, 1 when the id is in no file, 2 when a
** file cannot be read.
*/
int mt_explain (const char *id, const char *const *files, size_t count);

#endif
