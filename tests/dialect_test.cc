// dialect_test.cc - reading notices from an engine's header fields
#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

extern "C" {
#include "platform.h"
}

namespace {

using Fields = std::vector<std::pair<std::string, std::string>>;

mt_engine_notice_t notice_of (int status, const Fields &fields) {
  mt_http_headers_t headers{};
  for (const auto &field : fields) {
    mt_http_headers_append_name(&headers, field.first.data(),
                                field.first.size());
    mt_http_headers_append_value(&headers, field.second.data(),
                                 field.second.size());
  }
  mt_engine_notice_t notice = mt_platform_dialect.notice(status, &headers);
  mt_http_headers_free(&headers);
  return notice;
}

TEST(Dialect, ReadsServerLeaving) {
  struct Row {
    const char *what;
    int status;
    Fields fields;
    bool drains;
  } rows[] = {
      {"a success", 200, {{"Server-Leaving", "1"}}, true},
      {"in another case", 200, {{"sErVeR-lEaViNg", "1"}}, true},
      {"a request that was not executed",
       503,
       {{"X-Not-Executed", "1"}, {"Server-Leaving", "1"}},
       true},
      {"another engine has the address",
       421,
       {{"Server-Leaving", "1"}},
       true},
      {"a failure", 500, {{"Server-Leaving", "1"}}, true},
      {"two fields",
       200,
       {{"Server-Leaving", "0"}, {"Server-Leaving", "1"}},
       true},
      {"zero", 200, {{"Server-Leaving", "0"}}, false},
      {"another field", 200, {{"X-Server-Leaving", "1"}}, false},
      {"not a number", 200, {{"Server-Leaving", "no"}}, false},
  };
  for (const Row &row : rows)
    EXPECT_EQ(notice_of(row.status, row.fields).draining, row.drains)
        << row.what;
}

TEST(Dialect, ReadsRetryAfterOf503) {
  struct Row {
    const char *what;
    int status;
    Fields fields;
    mt_ms_t backoff_ms;
  } rows[] = {
      {"seconds", 503, {{"Retry-After", "3"}}, 3000},
      {"a fraction", 503, {{"Retry-After", "1.5"}}, 1500},
      {"rounded up", 503, {{"retry-after", "0.0012"}}, 2},
      {"trailing spaces", 503, {{"Retry-After", "2 "}}, 2000},
      {"several fields: the longest",
       503,
       {{"Retry-After", "2"}, {"Retry-After", "4"}, {"Retry-After", "1"}},
       4000},
      {"huge: clamped", 503, {{"Retry-After", "1e30"}}, 1000000000},
      {"zero", 503, {{"Retry-After", "0"}}, 0},
      {"negative", 503, {{"Retry-After", "-3"}}, 0},
      {"a date", 503, {{"Retry-After", "Thu, 03 Dec 2026 06:54:01 GMT"}}, 0},
      {"not a number", 503, {{"Retry-After", "nan"}}, 0},
      {"empty", 503, {{"Retry-After", ""}}, 0},
      {"very long", 503, {{"Retry-After", std::string(100, '1')}}, 0},
      {"not a 503", 200, {{"Retry-After", "3"}}, 0},
  };
  for (const Row &row : rows)
    EXPECT_EQ(notice_of(row.status, row.fields).backoff, row.backoff_ms)
        << row.what;
}

} // namespace
