/*
** gateway_settings.h - reads a gateway's settings from a JSON object
*/
#ifndef gateway_settings_h
#define gateway_settings_h

#include "gateway.h"

/*
** Reads and checks the gateway's members and fills in defaults; adds every
** error to `faults`. False if there is any. The member "source" is left to
** the client of the configuration source.
*/
bool mt_gateway_settings_read (const json_t *doc,
                               mt_gateway_settings_t *settings,
                               mt_faults_t *faults);

#endif
