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
  printf("  %-34s %8.2f ms  %8.1f ms\n", step, ms, ms / small_core);
}

// The change from a small configuration to the large one.
void measure (const Size &size) {
  std::string text = document(2, size.routes, size);
  std::string body = "{\"events\":[{\"key\":\"op/config\",\"rev\":12,"
                     "\"value\":\"" +
                     base64(text) + "\"}],\"at\":12}";
  printf("%d routes, %d workspaces, %d services: %zu KB\n", size.routes,
         size.workspaces, size.services, body.size() / 1024);
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
    more = mt_response_documents_step(&documents);
    part = processor_ms() - began;
    longest = std::max(longest, part);
  }
  mt_response_documents_free(&documents);
  json_decref(doc);
  print("document: its longest part", longest);
  printf("  parts: %d\n", parts);
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

} // namespace

int main (int argc, char **argv) {
  std::vector<Size> sizes = {
      {30, 30, 15},     {100, 30, 15},   {1430, 30, 15},   {1430, 2500, 15},
      {2830, 2500, 15}, {13030, 30, 15}, {13030, 2500, 15}};
  if (argc >= 3)
    sizes = {{atoi(argv[1]), atoi(argv[2]), argc > 3 ? atoi(argv[3]) : 15}};
  for (const Size &size : sizes) measure(size);
  return 0;
}
