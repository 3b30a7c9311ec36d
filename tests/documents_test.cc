// documents_test.cc - which entries name an engine to use
#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "platform.h"
}

namespace {

struct Read {
  bool usable, leaving;
  int slots;
  int64_t started_at;
};

Read read (const std::string &text) {
  char ip[64];
  mt_gateway_engine_t e{};
  json_t *doc = json_loadb(text.data(), text.size(), 0, nullptr);
  bool usable = mt_platform_engine(doc, "i-1", ip, &e);
  json_decref(doc);
  return {usable, e.draining, e.slots, e.started_at};
}

// A whole entry, but for one member: its text instead, or nothing.
std::string entry (const std::string &name = "",
                   const std::string &value = "") {
  const char *const members[][2] = {
      {"service", "\"s\""},     {"addr", "\"10.0.0.1:80\""},
      {"zone", "\"a\""},        {"slots", "64"},
      {"state", "\"ready\""},   {"cold_left_ms", "0"},
      {"born", "1780000000000"}};
  std::string all;
  for (auto &m : members) {
    std::string text = m[0] == name ? value : m[1];
    if (text.empty()) continue;
    all +=
        (all.empty() ? "" : ",") + ("\"" + std::string(m[0])) + "\":" + text;
  }
  return "{" + all + "}";
}

TEST(Documents, WhichEntriesNameAnEngine) {
  struct Row {
    const char *what, *member, *value;
    bool usable;
  } rows[] = {
      {"as it should be", "", "", true},
      {"it leaves", "state", "\"draining\"", true},
      {"no state", "state", "", false},
      {"a state that is not named", "state", "\"standby\"", false},
      {"a state of another type", "state", "1", false},
      {"no slots", "slots", "", false},
      {"no slot", "slots", "0", false},
      {"slots as text", "slots", "\"64\"", false},
      {"a part of a slot", "slots", "1.5", false},
      {"no service", "service", "", false},
      {"an empty service", "service", "\"\"", false},
      {"a service of another type", "service", "[\"s\"]", false},
      {"no failure domain", "zone", "", false},
      {"a failure domain of another type", "zone", "7", false},
      {"no address", "addr", "", false},
      {"no port", "addr", "\"10.0.0.1\"", false},
      {"an address of another type", "addr", "null", false},
      {"cold in words", "cold_left_ms", "\"long\"", false},
      {"not cold", "cold_left_ms", "", true},
      {"its start is not told", "born", "", true},
      {"its start as text", "born", "\"1780000000000\"", false},
      {"its start in parts", "born", "1780000000000.5", false},
  };
  for (const Row &row : rows)
    EXPECT_EQ(read(entry(row.member, row.value)).usable, row.usable)
        << row.what;
  for (const char *text : {"", "x", "[]", "7", "\"ready\"", "{}", "\xff\xfe"})
    EXPECT_FALSE(read(text).usable) << text;
  Read good = read(entry());
  EXPECT_FALSE(good.leaving);
  EXPECT_EQ(good.slots, 64);
  EXPECT_EQ(good.started_at, 1780000000000);
  EXPECT_TRUE(read(entry("state", "\"draining\"")).leaving);
}

} // namespace
