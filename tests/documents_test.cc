// documents_test.cc - which entries of engines are usable
#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "platform.h"
}

namespace {

struct ParsedEntry {
  bool usable, drains;
  int slots;
  int64_t started_at;
  std::string version; // "-": not stated
};

ParsedEntry parse_entry (const std::string &text) {
  char ip[64];
  mt_gateway_engine_t e{};
  json_t *doc = json_loadb(text.data(), text.size(), 0, nullptr);
  bool usable = mt_platform_read_engine(doc, "i-1", ip, &e);
  ParsedEntry parsed = {usable, e.draining, e.slots, e.started_at,
                        e.version != nullptr ? e.version : "-"};
  json_decref(doc);
  return parsed;
}

// A complete entry; member `name` has the text `value` instead, or is missing
// if that is empty.
std::string entry (const std::string &name = "",
                   const std::string &value = "") {
  const char *const members[][2] = {
      {"service", "\"s\""},      {"addr", "\"10.0.0.1:80\""},
      {"zone", "\"a\""},         {"slots", "64"},
      {"state", "\"ready\""},    {"cold_left_ms", "0"},
      {"born", "1780000000000"}, {"version", "\"v1.2\""}};
  std::string all;
  for (auto &m : members) {
    std::string text = m[0] == name ? value : m[1];
    if (text.empty()) continue;
    all +=
        (all.empty() ? "" : ",") + ("\"" + std::string(m[0])) + "\":" + text;
  }
  return "{" + all + "}";
}

TEST(Documents, AcceptsOnlyUsableEngineEntries) {
  struct Row {
    const char *what, *member, *value;
    bool usable;
  } rows[] = {
      {"complete", "", "", true},
      {"draining", "state", "\"draining\"", true},
      {"no state", "state", "", false},
      {"an unknown state", "state", "\"standby\"", false},
      {"a state of another type", "state", "1", false},
      {"no slots", "slots", "", false},
      {"zero slots", "slots", "0", false},
      {"slots as a string", "slots", "\"64\"", false},
      {"a fractional number of slots", "slots", "1.5", false},
      {"no service", "service", "", false},
      {"an empty service", "service", "\"\"", false},
      {"a service of another type", "service", "[\"s\"]", false},
      {"no failure domain", "zone", "", false},
      {"a failure domain of another type", "zone", "7", false},
      {"no address", "addr", "", false},
      {"no port", "addr", "\"10.0.0.1\"", false},
      {"an address of another type", "addr", "null", false},
      {"the cold time as a string", "cold_left_ms", "\"long\"", false},
      {"no cold time", "cold_left_ms", "", true},
      {"no version", "version", "", true},
      {"a version of another type", "version", "1", false},
      {"no start time", "born", "", true},
      {"the start time as a string", "born", "\"1780000000000\"", false},
      {"a fractional start time", "born", "1780000000000.5", false},
  };
  for (const Row &row : rows)
    EXPECT_EQ(parse_entry(entry(row.member, row.value)).usable, row.usable)
        << row.what;
  for (const char *text : {"", "x", "[]", "7", "\"ready\"", "{}", "\xff\xfe"})
    EXPECT_FALSE(parse_entry(text).usable) << text;
  ParsedEntry complete = parse_entry(entry());
  EXPECT_FALSE(complete.drains);
  EXPECT_EQ(complete.slots, 64);
  EXPECT_EQ(complete.started_at, 1780000000000);
  EXPECT_EQ(complete.version, "v1.2");
  EXPECT_EQ(parse_entry(entry("version", "\"\"")).version, "-");
  EXPECT_EQ(parse_entry(entry("version", "")).version, "-");
  EXPECT_TRUE(parse_entry(entry("state", "\"draining\"")).drains);
}

} // namespace
