/*
** gateway_settings.c - reads a gateway's settings from a JSON object
*/
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>

#include "gateway_settings.h"

/* {== Defaults ========================================================= */

#define STOP_GRACE_MS 10000
#define DRAIN_MS 2000 /* a draining engine serves at least so long */
/* Of that: how long an engine that is unlisted without a drain still gets
   requests. */
#define UNLISTED_FRACTION 0.6
#define LOG_LINES_PER_S 100      /* of each class */
#define DESCRIPTORS_DEFAULT 1024 /* if the system's limit cannot be read */
#define DESCRIPTORS_MAX 65536
#define BYTES_PER_MB 1000000u
#define RETRY_RATIO 0.1 /* retries for each request */
#define RETRY_WINDOW_MS 10000
/* Retries of the whole fleet in a window, beyond the ratio. */
#define RETRY_SLACK 20
/* By default a cold engine gets exactly the request rate that is declared. */
#define COLD_OVERAGE 1.0
#define COLD_SLACK 0.0       /* requests */
#define RUNNING_FRACTION 0.3 /* of the descriptors: requests in progress */
/* Weights and limits of choosing an engine: mt_relay_params_t in relay.h. */
#define WAIT_FRACTION 0.38
/* Leaves time for a first token that takes 1/0.6 of the expected time. */
#define TTFT_FRACTION 0.6
#define OBJECTIVE_POWER 1.0
#define NEAR_IDLE_FRACTION 0.1
#define OVER_SHARE_POWER 10.0
#define MISS_WEIGHT 50.0
#define MISS_WEIGHT_RELAXED 13.0
#define KV_TRANSFER_WEIGHT 3.0
/* Of the wait limit, at engines of other failure domains, and the same for a
   workspace that has had its share: traffic between domains is expensive, and
   requests of other domains evict segments that are used there. */
#define REMOTE_WAIT_FRACTION 0.6
#define REMOTE_WAIT_FRACTION_OVER_SHARE 0.1
/* Added to the cost of engines in other failure domains: requests stay in
   their own domain unless another one is faster by so much. */
#define CROSS_DOMAIN_MS 15.0

/* }== */

static const mt_field_t fields[] = {
    {"node", MT_F_STRING, true, 1, MT_NAME_MAX},
    {"domain", MT_F_STRING, true, 1, MT_NAME_MAX},
    {"callers", MT_F_ADDRESS, true, 0, 0},
    {"ready", MT_F_ADDRESS, true, 0, 0},
    {"metrics", MT_F_ADDRESS, true, 0, 0},
    {"peers", MT_F_ADDRESS, true, 0, 0},
    {"seeds", MT_F_STRINGS, false, 1, 64},
    {"grace_ms", MT_F_INT, false, 0, 3600000},
    {"log_lines_per_s", MT_F_INT, false, 1, 100000},
    {"drain_ms", MT_F_INT, false, 0, 3600000},
    {"descriptors", MT_F_INT, false, 64, 1 << 20},
    {"memory_mb", MT_F_INT, false, 16, 1 << 20},
    {"retry", MT_F_OBJECT, false, 0, 0},
    {"cold_start", MT_F_OBJECT, false, 0, 0},
    {"relay", MT_F_OBJECT, false, 0, 0},
    {"events", MT_F_OBJECT, false, 0, 0},
    {"source", MT_F_OBJECT, false, 0, 0},
};

static void read_address (const json_t *doc, const char *name,
                          mt_addr_t *addr) {
  mtJ_address(mtJ_str(doc, name, ""), addr->ip, &addr->port);
}

static double get_double (const json_t *doc, const char *name,
                          double fallback) {
  const json_t *value = json_object_get(doc, name);
  return json_is_number(value) ? json_number_value(value) : fallback;
}

static void read_seeds (const json_t *doc, mt_gateway_settings_t *set) {
  size_t i;
  json_t *seed;
  json_array_foreach (json_object_get(doc, "seeds"), i, seed) {
    if (set->seeds_count >= MT_SEEDS_MAX) return;
    mt_addr_t *addr = &set->seeds[set->seeds_count];
    set->seeds_count +=
        mtJ_address(json_string_value(seed), addr->ip, &addr->port);
  }
}

/* The process's limit of file descriptors, the default of that setting. */
static int64_t descriptor_limit (void) {
  struct rlimit limit;
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return DESCRIPTORS_DEFAULT;
  return (int64_t)mt_min(limit.rlim_cur, (rlim_t)DESCRIPTORS_MAX);
}

/* For what callers make the process hold, of the box's memory. */
static size_t caller_memory (const json_t *doc) {
  size_t box = (size_t)mtJ_int(doc, "memory_mb", 0) * BYTES_PER_MB;
  return mt_memory_default_limit(box > 0 ? box : mt_memory_of_box());
}

static void read_params (const json_t *doc, mt_relay_params_t *params,
                         mt_faults_t *faults) {
  const json_t *retry = json_object_get(doc, "retry");
  const json_t *relay = json_object_get(doc, "relay");
  const json_t *cold = json_object_get(doc, "cold_start");
  json_t *name;
  size_t i;
  params->retry.ratio = get_double(retry, "ratio", RETRY_RATIO);
  params->retry.window =
      (mt_ms_t)mtJ_int(retry, "window_ms", RETRY_WINDOW_MS);
  params->retry.slack = (int)mtJ_int(retry, "slack", RETRY_SLACK);
  params->cold.overage = get_double(cold, "overage", COLD_OVERAGE);
  params->cold.slack = get_double(cold, "slack", COLD_SLACK);
  params->wait_fraction = get_double(relay, "wait_part", WAIT_FRACTION);
  params->ttft_fraction = get_double(relay, "first_part", TTFT_FRACTION);
  if (params->ttft_fraction < 0 || params->ttft_fraction > 1)
    mtJ_fault(faults, "relay.first_part", "must be from 0 to 1");
  params->objective_power =
      get_double(relay, "urgency_power", OBJECTIVE_POWER);
  params->near_idle_fraction =
      get_double(relay, "room_part", NEAR_IDLE_FRACTION);
  params->over_share_power =
      get_double(relay, "over_power", OVER_SHARE_POWER);
  params->miss_weight = get_double(relay, "miss_weight", MISS_WEIGHT);
  params->miss_weight_relaxed =
      get_double(relay, "miss_weight_easy", MISS_WEIGHT_RELAXED);
  params->kv_transfer_weight =
      get_double(relay, "move_weight", KV_TRANSFER_WEIGHT);
  params->remote_wait_fraction =
      get_double(relay, "far_part", REMOTE_WAIT_FRACTION);
  params->remote_wait_fraction_over_share =
      get_double(relay, "far_part_over", REMOTE_WAIT_FRACTION_OVER_SHARE);
  params->cross_domain_ms = get_double(relay, "cross_ms", CROSS_DOMAIN_MS);
  json_array_foreach (json_object_get(relay, "off"), i, name) {
    mt_relay_mechanism_t which = mt_relay_mechanism(
        json_string_value(name) ? json_string_value(name) : "");
    if (which < MT_RELAY_MECHANISM_COUNT)
      params->off[which] = true;
    else
      mtJ_fault(faults, "relay.off", "contains an unknown mechanism");
  }
}

static void read_event_rules (const json_t *events, mt_event_rules_t *rules,
                              mt_faults_t *faults) {
  static const char *const ids[] = {[MT_EVENT_IDS_CONSECUTIVE] =
                                        "consecutive",
                                    [MT_EVENT_IDS_RISING] = "rising",
                                    [MT_EVENT_IDS_UNCHECKED] = "unchecked"};
  const char *named = mtJ_str(events, "ids", ids[0]);
  size_t i = 0;
  json_t *field;
  while (i < mt_countof(ids) && strcmp(named, ids[i]) != 0) i++;
  if (i == mt_countof(ids))
    mtJ_fault(faults, "events.ids",
              "must be consecutive, rising or unchecked");
  else
    rules->ids = (mt_event_ids_t)i;
  json_array_foreach (json_object_get(events, "fields"), i, field) {
    const char *name = json_string_value(field);
    bool room = i + 1 < MT_EVENT_FIELDS_MAX; /* for that of the dialect */
    if (name == NULL || !room || !mt_event_rules_add_field(rules, name))
      mtJ_fault(faults, "events.fields",
                "must be up to 7 names of fields, of 31 characters each");
  }
}

bool mt_gateway_settings_read (const json_t *doc, mt_gateway_settings_t *set,
                               mt_faults_t *faults) {
  *set = (mt_gateway_settings_t){.grace = STOP_GRACE_MS};
  mtJ_check(doc, "", fields, mt_countof(fields), faults);
  if (faults->n > 0) return false;
  snprintf(set->node, sizeof set->node, "%s", mtJ_str(doc, "node", ""));
  snprintf(set->domain, sizeof set->domain, "%s", mtJ_str(doc, "domain", ""));
  read_address(doc, "callers", &set->callers);
  read_address(doc, "ready", &set->ready);
  read_address(doc, "metrics", &set->metrics);
  read_address(doc, "peers", &set->peers);
  read_seeds(doc, set);
  set->grace = (mt_ms_t)mtJ_int(doc, "grace_ms", STOP_GRACE_MS);
  set->log_lines_per_s =
      (int)mtJ_int(doc, "log_lines_per_s", LOG_LINES_PER_S);
  set->descriptors = (size_t)mtJ_int(doc, "descriptors", descriptor_limit());
  set->memory = caller_memory(doc);
  read_params(doc, &set->params, faults);
  read_event_rules(json_object_get(doc, "events"), &set->params.events,
                   faults);
  set->params.max_running = mt_min(
      (size_t)MT_RUNNING_MAX, (size_t)(RUNNING_FRACTION * set->descriptors));
  set->params.unlisted_grace_ms =
      (mt_ms_t)((double)mtJ_int(doc, "drain_ms", DRAIN_MS) *
                UNLISTED_FRACTION);
  return faults->n == 0;
}
