// dialect_test.cc - what the platform's header fields say, as typed values
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
    mt_http_headers_name(&headers, field.first.data(), field.first.size());
    mt_http_headers_value(&headers, field.second.data(), field.second.size());
  }
  mt_engine_notice_t says = mt_platform_dialect.notice(status, &headers);
  mt_http_headers_free(&headers);
  return says;
}

TEST(Dialect, TellsThatAnEngineLeaves) {
  struct Row {
    const char *what;
    int status;
    Fields fields;
    bool leaving;
  } rows[] = {
      {"a success", 200, {{"Server-Leaving", "1"}}, true},
      {"another case", 200, {{"sErVeR-lEaViNg", "1"}}, true},
      {"not run",
       503,
       {{"X-Not-Executed", "1"}, {"Server-Leaving", "1"}},
       true},
      {"another engine is there", 421, {{"Server-Leaving", "1"}}, true},
      {"a failure", 500, {{"Server-Leaving", "1"}}, true},
      {"twice",
       200,
       {{"Server-Leaving", "0"}, {"Server-Leaving", "1"}},
       true},
      {"it does not", 200, {{"Server-Leaving", "0"}}, false},
      {"no word of it", 200, {{"X-Server-Leaving", "1"}}, false},
      {"no number", 200, {{"Server-Leaving", "no"}}, false},
  };
  for (const Row &row : rows)
    EXPECT_EQ(notice_of(row.status, row.fields).draining, row.leaving)
        << row.what;
}

TEST(Dialect, TellsHowLongAnEngineWantsRest) {
  struct Row {
    const char *what;
    int status;
    Fields fields;
    mt_ms_t rest;
  } rows[] = {
      {"seconds", 503, {{"Retry-After", "3"}}, 3000},
      {"a fraction", 503, {{"Retry-After", "1.5"}}, 1500},
      {"rounded up", 503, {{"retry-after", "0.0012"}}, 2},
      {"spaces behind it", 503, {{"Retry-After", "2 "}}, 2000},
      {"twice: the longer one",
       503,
       {{"Retry-After", "2"}, {"Retry-After", "4"}, {"Retry-After", "1"}},
       4000},
      {"huge", 503, {{"Retry-After", "1e30"}}, 1000000000},
      {"none", 503, {{"Retry-After", "0"}}, 0},
      {"negative", 503, {{"Retry-After", "-3"}}, 0},
      {"a date", 503, {{"Retry-After", "Thu, 03 Dec 2026 06:54:01 GMT"}}, 0},
      {"no number", 503, {{"Retry-After", "nan"}}, 0},
      {"empty", 503, {{"Retry-After", ""}}, 0},
      {"very long", 503, {{"Retry-After", std::string(100, '1')}}, 0},
      {"not turned away", 200, {{"Retry-After", "3"}}, 0},
  };
  for (const Row &row : rows)
    EXPECT_EQ(notice_of(row.status, row.fields).backoff, row.rest)
        << row.what;
}

} // namespace
