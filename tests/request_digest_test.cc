// request_digest_test.cc - which requests have the same digest
#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "request_digest.h"
}

namespace {

uint64_t digest (const std::string &method, const std::string &host,
                 const std::string &target, const std::string &body) {
  auto bytes = [] (const std::string &s) {
    return mt_bytes_t{s.data(), s.size()};
  };
  const mt_request_text_t text = {bytes(method), bytes(host), bytes(target),
                                  bytes(body)};
  return mt_request_digest(&text);
}

TEST(RequestDigest, DependsOnEveryPart) {
  const uint64_t first = digest("POST", "h", "/a/b", "body");
  EXPECT_EQ(first, digest("POST", "h", "/a/b", "body"));
  EXPECT_NE(first, 0u);
  struct Row {
    const char *what, *method, *host, *target, *body;
  } rows[] = {
      {"method", "PUT", "h", "/a/b", "body"},
      {"host", "POST", "g", "/a/b", "body"},
      {"path", "POST", "h", "/a/c", "body"},
      {"query", "POST", "h", "/a/b?c", "body"},
      {"body", "POST", "h", "/a/b", "bodies"},
      {"no body", "POST", "h", "/a/b", ""},
      {"the same bytes, divided otherwise", "POST", "h", "/a/bb", "ody"}};
  for (const Row &row : rows)
    EXPECT_NE(first, digest(row.method, row.host, row.target, row.body))
        << row.what;
}

} // namespace
