/*
** gateway_metrics.h - counters as Prometheus text
*/
#ifndef gateway_metrics_h
#define gateway_metrics_h

#include "dialect.h"
#include "http_client.h"
#include "log_writer.h"

void mt_gateway_metrics (const mt_relay_t *relay,
                         const mt_http_client_t *engines,
                         const mt_log_writer_t *log, mt_text_t *out);

#endif
