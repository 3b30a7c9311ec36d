/*
** domain_load.c - load of remote failure domains, from their owners' quotes
*/
#include "domain_load.h"

#define SAMPLE_WEIGHT 0.25 /* weight of one quote in the smoothed load */

mt_domain_load_t *mt_domain_loads_get (mt_relay_t *relay,
                                       const mt_engine_t *e) {
  for (size_t i = 0; i < relay->domain_loads_count; i++) {
    mt_domain_load_t *load = &relay->domain_loads[i];
    if (load->domain == e->domain_id && load->service == e->service)
      return load;
  }
  /* When the table is full the last entry is reused. */
  if (relay->domain_loads_count < MT_DOMAIN_LOADS_MAX)
    relay->domain_loads_count++;
  mt_domain_load_t *load =
      &relay->domain_loads[relay->domain_loads_count - 1];
  *load = (mt_domain_load_t){e->domain_id, e->service, 0, 0};
  return load;
}

void mt_domain_loads_learn (mt_relay_t *relay, const mt_engine_t *e,
                            const mt_engine_load_t *quoted) {
  mt_domain_load_t *load = mt_domain_loads_get(relay, e);
  double pending_prefill = (double)quoted->pending_prefill;
  if (load->quoted_at == 0) load->pending_prefill = pending_prefill;
  load->pending_prefill +=
      (pending_prefill - load->pending_prefill) * SAMPLE_WEIGHT;
  load->quoted_at = relay->now;
}
