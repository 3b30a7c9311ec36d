// steps.cc - processor time of the steps of a configuration change
//
// Prints a table: each step, and what it takes on a small box. Usage:
// steps [ROUTES WORKSPACES [SERVICES]]; without arguments a row of sizes.
#include <openssl/evp.h>
#include <time.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <string>
#include <vector>

extern "C" {
#include "catalog_diff.h"
#include "gateway_settings.h"
#include "gateway_state.h"
#include "relay_load.h"
#include "json_scan.h"
#include "store_items.h"
}

namespace {

const int runs = 9;
const double small_core = 0.12; // of a core, on a small box

struct Size {
  int routes, workspaces, services;
};

double processor_ms () {
  timespec t;
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec * 1e3 + (double)t.tv_nsec / 1e6;
}

// The median of several runs; `before` and `after` are not measured.
double median (const std::function<void()> &before,
               const std::function<void()> &step,
               const std::function<void()> &after) {
  std::vector<double> ms;
  for (int i = 0; i < runs; i++) {
    before();
    double began = processor_ms();
    step();
    ms.push_back(processor_ms() - began);
    after();
  }
  std::sort(ms.begin(), ms.end());
  return ms[runs / 2];
}

std::string document (int version, int routes, const Size &size) {
  std::string text = "{\"version\":" + std::to_string(version);
  text += ",\"routes\":[";
  for (int i = 0; i < routes; i++) {
    std::string n = std::to_string(i);
    text += (i ? "," : "") + ("{\"name\":\"route-" + n);
    text += "\",\"host\":\"h" + std::to_string(i / 4) + ".example\"," +
            "\"path_prefix\":\"/p" + std::to_string(i % 4) +
            "/\",\"route_kind\":\"stream\",\"timeout_ms\":9000,"
            "\"goal_ms\":900,\"resumable\":true,\"gap_aim_ms\":500,"
            "\"sticky\":true,\"service\":\"service-" +
            std::to_string(i % size.services) + "\",\"max_attempts\":2}";
  }
  text += "],\"services\":[";
  for (int i = 0; i < size.services; i++)
    text += (i ? "," : "") + ("{\"name\":\"service-" + std::to_string(i)) +
            "\",\"max_conns\":50,\"engine\":{\"slots\":8,"
            "\"kv_tokens\":90000,\"kv_token_bytes\":35000}}";
  text += "],\"limits\":{},\"tenants\":[";
  for (int i = 0; i < size.workspaces; i++) {
    std::string n = std::to_string(i);
    text += (i ? "," : "") + ("{\"name\":\"workspace-" + n) +
            "\",\"api_keys\":[\"key-0123456789abcdef-" + n + "\"]}";
  }
  return text + "]}";
}

std::string base64 (const std::string &text) {
  std::string out((text.size() + 2) / 3 * 4 + 1, '\0');
  int n =
      EVP_EncodeBlock((unsigned char *)&out[0],
                      (const unsigned char *)text.data(), (int)text.size());
  out.resize((size_t)n);
  return out;
}

mt_document_reader_t *start (const std::string &text) {
  char *copy = (char *)malloc(text.size());
  memcpy(copy, text.data(), text.size());
  return mt_document_reader_new(copy, text.size());
}

// All of it in one part.
mt_catalog_t *read (const std::string &text) {
  char reason[160];
  mt_document_reader_t *r = start(text);
  mt_document_reader_step(r, text.size());
  mt_catalog_t *c = mt_document_reader_take(r, reason, sizeof reason);
  mt_document_reader_free(r);
  return c;
}

void nothing () {
}

void print (const char *step, double ms) {
  fprintf(stderr, "  %-34s %8.2f ms  %8.1f ms\n", step, ms, ms / small_core);
}

// A request's route is sought among those of its host.
void measure_one_host (int routes) {
  mt_catalog_t *c = mt_catalog_new(1);
  for (int i = 0; i < routes; i++) {
    std::string n = std::to_string(i);
    mt_catalog_add_route(c, n.c_str(), "h", ("/p" + n + "/").c_str());
  }
  mt_catalog_complete(c);
  const mt_bytes_t host = {"h", 1}, path = {"/p17/x/y", 8};
  print("1,000 routes of requests, one host",
        median(
            nothing,
            [&] {
              for (int i = 0; i < 1000; i++)
                mt_catalog_find_route(c, host, path);
            },
            nothing));
  mt_catalog_free(c);
}

// The change from a small configuration to the large one.
void measure (const Size &size) {
  std::string text = document(2, size.routes, size);
  std::string body = "{\"events\":[{\"key\":\"op/config\",\"rev\":12,"
                     "\"value\":\"" +
                     base64(text) + "\"}],\"at\":12}";
  fprintf(stderr, "%d routes, %d workspaces, %d services: %zu KB\n",
          size.routes, size.workspaces, size.services, body.size() / 1024);
  json_t *doc = nullptr;
  print("response: JSON",
        median(
            nothing, [&] { doc = mt_json_read(body.data(), body.size()); },
            [&] { json_decref(doc); }));
  doc = mt_json_read(body.data(), body.size());
  const json_t *item = json_array_get(json_object_get(doc, "events"), 0);
  char *decoded = nullptr;
  size_t n = 0;
  print("response: base64",
        median(
            nothing, [&] { decoded = mt_store_decode_value(item, &n); },
            [&] { free(decoded); }));
  json_decref(doc);
  mt_catalog_t *c = nullptr;
  print("document: all of it",
        median(
            nothing, [&] { c = read(text); }, [&] { mt_catalog_free(c); }));
  mt_response_documents_t documents{};
  double longest = 0, part = 0;
  int parts = 0;
  doc = mt_json_read(body.data(), body.size());
  item = json_array_get(json_object_get(doc, "events"), 0);
  mt_response_documents_add(&documents, item);
  for (bool more = true; more; parts++) {
    double began = processor_ms();
    more = mt_response_documents_step(&documents, false);
    part = processor_ms() - began;
    longest = std::max(longest, part);
  }
  mt_response_documents_free(&documents);
  json_decref(doc);
  print("document: its longest part", longest);
  fprintf(stderr, "  parts: %d\n", parts);
  mt_catalog_t *small = read(document(1, 30, size));
  mt_catalog_t *large = read(text);
  std::string later = document(3, size.routes, size);
  mt_catalog_t *same = read(later);
  const mt_catalog_diff_callbacks_t callbacks = {
      [] (void *, mt_bytes_t, bool) {},
      [] (void *, mt_id_t, mt_id_t, bool) {}, nullptr};
  print("differences from 30 routes",
        median(
            nothing, [&] { mt_catalog_diff(small, large, &callbacks); },
            nothing));
  print("differences, none",
        median(
            nothing, [&] { mt_catalog_diff(large, same, &callbacks); },
            nothing));
  print("1,024 look-ups of a route's service",
        median(
            nothing,
            [&] {
              for (uint32_t i = 0; i < 1024; i++)
                mt_catalog_routes_to(large, i + 1, 1);
            },
            nothing));
  print("freeing a catalog", median([&] { c = read(text); },
                                    [&] { mt_catalog_free(c); }, nothing));
  mt_catalog_free(small);
  mt_catalog_free(large);
  mt_catalog_free(same);
}

// {== A gateway of this process ============================================

std::string list (int from, int count) {
  std::string all;
  for (int i = from; i < from + count; i++) {
    std::string n = std::to_string(i);
    all += (i > from ? "," : "") + ("{\"key\":\"servers/i-" + n) +
           "\",\"rev\":" + std::to_string(20 + i) + ",\"value\":\"" +
           base64("{\"service\":\"service-" + std::to_string(i % 15) +
                  "\",\"addr\":\"127.0.0.1:" + std::to_string(1024 + i) +
                  "\",\"zone\":\"d" + std::to_string(i % 20) +
                  "\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,"
                  "\"born\":1780000000000,\"version\":\"v1.2\"}") +
           "\"}";
  }
  return "{\"items\":[" + all + "],\"more\":true,\"at\":9999}";
}

struct Gateway {
  uv_loop_t loop;
  mt_boot_clock_t clock;
  mt_gateway_settings_t settings;
  mt_gateway_t *g;
  Gateway() {
    mt_faults_t faults{};
    char reason[160];
    json_t *doc =
        json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:[]}", "node", "g1", "domain",
                  "d1", "callers", "127.0.0.1:0", "ready", "127.0.0.1:0",
                  "metrics", "127.0.0.1:0", "peers", "127.0.0.1:0", "seeds");
    mt_gateway_settings_read(doc, &settings, &faults);
    json_decref(doc);
    mt_boot_clock_init_loop(&loop);
    mt_boot_clock_open(&clock, &loop);
    g = mt_gateway_open(&loop, &settings, &mt_platform_dialect, reason,
                        sizeof reason);
    if (g == nullptr) abort();
  }
  void apply (const json_t *doc) {
    mt_response_documents_t none{};
    size_t i;
    json_t *item;
    json_array_foreach (json_object_get(doc, "items"), i, item)
      mt_store_apply_item(g, MT_FEED_ENGINES, "servers/", item,
                          20 + (int64_t)i, &none);
  }
};

// Putting a version into force: announcing what differs, freeing the old one.
void measure_versions (const Size &size) {
  fprintf(stderr, "%d routes, %d workspaces: into force\n", size.routes,
          size.workspaces);
  Gateway gateway;
  int version = 1;
  mt_catalog_t *next = nullptr;
  auto put = [&] { mt_gateway_set_catalog(gateway.g, next, 10 + version); };
  auto prepare = [&] (int routes) {
    next = read(document(++version, routes, size));
  };
  auto apply = [&] (int routes) {
    prepare(routes);
    put();
  };
  apply(30);
  print("routes more",
        median([&] { prepare(size.routes); }, put, [&] { apply(30); }));
  apply(size.routes);
  print("routes less",
        median([&] { prepare(30); }, put, [&] { apply(size.routes); }));
  print("none", median([&] { prepare(size.routes); }, put, nothing));
}

// A list of engines in pages of 500, and the turns of a loop with nothing
// else to do.
void measure_engines (int engines) {
  Gateway gateway;
  Size size = {1430, 2500, 15};
  mt_gateway_set_catalog(gateway.g, read(document(1, size.routes, size)), 10);
  fprintf(stderr, "%d engines, a list of %d\n", engines,
          std::min(engines, 500));
  double json = 0, applied = 0;
  for (int from = 0; from < engines; from += 500) {
    std::string body = list(from, std::min(500, engines - from));
    double began = processor_ms();
    json_t *doc = mt_json_read(body.data(), body.size());
    json = std::max(json, processor_ms() - began);
    began = processor_ms();
    gateway.apply(doc);
    applied = std::max(applied, processor_ms() - began);
    json_decref(doc);
  }
  print("list: JSON, the longest", json);
  print("list: applying it, the longest", applied);
  mt_inventory_t inventory{};
  for (mt_feed_kind_t kind : {MT_FEED_DECLARATIONS, MT_FEED_ENGINES})
    print(kind == MT_FEED_ENGINES ? "inventory of engines"
                                  : "inventory of declarations",
          median([&] { inventory.count = 0; },
                 [&] { mt_gateway_list_items(gateway.g, kind, &inventory); },
                 nothing));
  free(inventory.items);
  double gone = processor_ms();
  for (int i = 0; i < std::min(engines, 500); i++)
    mt_gateway_set_engine(gateway.g, ("i-" + std::to_string(i)).c_str(),
                          nullptr, 20000 + i);
  print("500 engines are gone", processor_ms() - gone);
  std::vector<double> turns;
  double longest = 0;
  for (int i = 0; i < 400; i++) {
    double began = processor_ms();
    uv_run(&gateway.loop, UV_RUN_ONCE);
    turns.push_back(processor_ms() - began);
    longest = std::max(longest, turns.back());
  }
  std::sort(turns.begin(), turns.end());
  print("turn with a tick, median", turns[turns.size() / 2]);
  print("turn with a tick, longest of 400", longest);
  mt_relay_t *relay = mt_gateway_relay(gateway.g);
  print("slowest engine, for the metrics",
        median(
            nothing,
            [&] {
              double max = 0;
              for (size_t i = 0; i < relay->engines.count; i++)
                max = std::max(
                    max, mt_relay_slowness(relay, relay->engines.list[i]));
            },
            nothing));
}

// }==

} // namespace

// Usage: steps [ROUTES WORKSPACES [SERVICES]], or steps engines N. The
// gateway's log goes to standard output, so the table to standard error.
int main (int argc, char **argv) {
  if (argc == 3 && strcmp(argv[1], "engines") == 0) {
    measure_engines(atoi(argv[2]));
    return 0;
  }
  std::vector<Size> sizes = {
      {30, 30, 15},     {100, 30, 15},   {1430, 30, 15},   {1430, 2500, 15},
      {2830, 2500, 15}, {13030, 30, 15}, {13030, 2500, 15}};
  if (argc >= 3)
    sizes = {{atoi(argv[1]), atoi(argv[2]), argc > 3 ? atoi(argv[3]) : 15}};
  for (const Size &size : sizes) {
    measure(size);
    measure_versions(size);
    measure_one_host(size.routes);
  }
  return 0;
}
