/*
** gateway_settings.h - a gateway's settings, from one JSON object
*/
#ifndef gateway_settings_h
#define gateway_settings_h

#include "gateway.h"

/*
** Reads and checks the members that a gateway has; every fault is listed.
** The member "source" is left to whoever opens the source of declarations.
*/
bool mt_gateway_settings_read (const json_t *doc,
                               mt_gateway_settings_t *settings,
                               mt_faults_t *faults);

#endif
