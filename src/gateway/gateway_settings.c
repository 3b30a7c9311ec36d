/*
** gateway_settings.c - a gateway's settings, from one JSON object
*/
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>

#include "gateway_settings.h"

#define GRACE_MS 10000
#define DRAIN_MS 2000   /* an engine that leaves serves on at least so long */
#define VANISH_PART 0.6 /* of that: an unlisted engine still gets work */
#define LINES_PER_S 100
#define DESCRIPTORS 1024
#define DESCRIPTORS_MOST 65536
#define RETRY_RATIO 0.1
#define RETRY_WINDOW_MS 10000
#define RETRY_SLACK 20
/* Where nothing is declared a cold engine gets just what it bears. */
#define COLD_OVERAGE 1.0
#define COLD_SLACK 0.0
#define RUNNING_PART 0.3 /* of the descriptors: requests in progress */
#define WAIT_PART 0.45
#define URGENCY_POWER 1.0
#define ROOM_PART 0.1
#define OVER_POWER 10.0
#define MISS_WEIGHT 50.0
#define MISS_WEIGHT_EASY 13.0
#define MOVE_WEIGHT 3.0
/* Of the wait limit, at engines of other failure domains, and the same for a
   workspace that had its share: bytes between domains are dear, and work
   abroad displaces what has its parts there. */
#define FAR_PART 0.6
#define FAR_PART_OVER 0.1
/* Keeps requests and answers in their failure domain where that is as good;
   the value is a guess, no other was measured. */
#define CROSS_MS 15.0

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
    {"retry", MT_F_OBJECT, false, 0, 0},
    {"cold_start", MT_F_OBJECT, false, 0, 0},
    {"relay", MT_F_OBJECT, false, 0, 0},
    {"source", MT_F_OBJECT, false, 0, 0},
};

static void read_address (const json_t *doc, const char *name,
                          mt_addr_t *addr) {
  mtJ_address(mtJ_str(doc, name, ""), addr->ip, &addr->port);
}

static double real (const json_t *doc, const char *name, double otherwise) {
  const json_t *value = json_object_get(doc, name);
  return json_is_number(value) ? json_number_value(value) : otherwise;
}

static void read_seeds (const json_t *doc, mt_gateway_settings_t *set) {
  size_t i;
  json_t *seed;
  json_array_foreach (json_object_get(doc, "seeds"), i, seed) {
    if (set->seeds_count >= MT_MAX_SEEDS) return;
    mt_addr_t *addr = &set->seeds[set->seeds_count];
    set->seeds_count +=
        mtJ_address(json_string_value(seed), addr->ip, &addr->port);
  }
}

/* What the system allows the process, where the settings do not say. */
static int64_t system_descriptors (void) {
  struct rlimit limit;
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return DESCRIPTORS;
  return (int64_t)mt_min(limit.rlim_cur, (rlim_t)DESCRIPTORS_MOST);
}

static void read_terms (const json_t *doc, mt_relay_terms_t *terms,
                        mt_faults_t *faults) {
  const json_t *retry = json_object_get(doc, "retry");
  const json_t *relay = json_object_get(doc, "relay");
  const json_t *cold = json_object_get(doc, "cold_start");
  json_t *name;
  size_t i;
  terms->retry.ratio = real(retry, "ratio", RETRY_RATIO);
  terms->retry.window = (mt_ms_t)mtJ_int(retry, "window_ms", RETRY_WINDOW_MS);
  terms->retry.slack = (int)mtJ_int(retry, "slack", RETRY_SLACK);
  terms->cold.overage = real(cold, "overage", COLD_OVERAGE);
  terms->cold.slack = real(cold, "slack", COLD_SLACK);
  terms->wait_part = real(relay, "wait_part", WAIT_PART);
  terms->urgency_power = real(relay, "urgency_power", URGENCY_POWER);
  terms->room_part = real(relay, "room_part", ROOM_PART);
  terms->over_power = real(relay, "over_power", OVER_POWER);
  terms->miss_weight = real(relay, "miss_weight", MISS_WEIGHT);
  terms->miss_weight_easy = real(relay, "miss_weight_easy", MISS_WEIGHT_EASY);
  terms->move_weight = real(relay, "move_weight", MOVE_WEIGHT);
  terms->far_part = real(relay, "far_part", FAR_PART);
  terms->far_part_over = real(relay, "far_part_over", FAR_PART_OVER);
  terms->cross_ms = real(relay, "cross_ms", CROSS_MS);
  json_array_foreach (json_object_get(relay, "off"), i, name) {
    mt_relay_mechanism_t which = mt_relay_mechanism(
        json_string_value(name) ? json_string_value(name) : "");
    if (which < MT_RELAY_MECHANISM_COUNT)
      terms->off[which] = true;
    else
      mtJ_fault(faults, "relay.off", "names no mechanism");
  }
}

bool mt_gateway_settings_read (const json_t *doc, mt_gateway_settings_t *set,
                               mt_faults_t *faults) {
  *set = (mt_gateway_settings_t){.grace = GRACE_MS};
  mtJ_check(doc, "", fields, mt_countof(fields), faults);
  if (faults->n > 0) return false;
  snprintf(set->node, sizeof set->node, "%s", mtJ_str(doc, "node", ""));
  snprintf(set->domain, sizeof set->domain, "%s", mtJ_str(doc, "domain", ""));
  read_address(doc, "callers", &set->callers);
  read_address(doc, "ready", &set->ready);
  read_address(doc, "metrics", &set->metrics);
  read_address(doc, "peers", &set->peers);
  read_seeds(doc, set);
  set->grace = (mt_ms_t)mtJ_int(doc, "grace_ms", GRACE_MS);
  set->lines_per_s = (int)mtJ_int(doc, "log_lines_per_s", LINES_PER_S);
  set->descriptors =
      (size_t)mtJ_int(doc, "descriptors", system_descriptors());
  read_terms(doc, &set->terms, faults);
  set->terms.running_most = mt_min((size_t)MT_MAX_RUNNING,
                                   (size_t)(RUNNING_PART * set->descriptors));
  set->terms.vanish_ms =
      (mt_ms_t)((double)mtJ_int(doc, "drain_ms", DRAIN_MS) * VANISH_PART);
  return faults->n == 0;
}
