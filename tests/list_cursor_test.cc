// list_cursor_test.cc - where the next page of a list of the store begins
#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "json_scan.h"
#include "list_cursor.h"
}

namespace {

std::string repeated (const std::string &text, int count) {
  std::string all;
  for (int i = 0; i < count; i++) all += text;
  return all;
}

// Items as a response has them.
json_t *read_page (const std::string &items) {
  std::string text = "{\"items\":[" + items + "]}";
  json_t *doc = mt_json_read_items(text.data(), text.size());
  EXPECT_NE(doc, nullptr) << items;
  json_t *list = json_incref(json_object_get(doc, "items"));
  json_decref(doc);
  return list;
}

class Cursor {
public:
  ~Cursor() {
    mt_list_cursor_reset(&cursor);
  }
  bool advance (const std::string &items) {
    json_t *page = read_page(items);
    bool moved = mt_list_cursor_advance(&cursor, page);
    json_decref(page);
    return moved;
  }
  std::string query () const {
    char text[MT_LIST_QUERY_SIZE];
    mt_list_cursor_format(&cursor, text);
    return text;
  }
  bool is_first () const {
    return mt_list_cursor_is_first(&cursor);
  }
  void reset () {
    mt_list_cursor_reset(&cursor);
  }

private:
  mt_list_cursor_t cursor{};
};

std::string keyed (const std::string &key) {
  return "{\"key\":\"" + key + "\",\"rev\":3}";
}

const std::string LAST = "%F4%8F%BF%BF"; // U+10FFFF

TEST(ListCursor, StandsBehindTheLastKey) {
  const std::string deep =
      std::string(100000, '[') + std::string(100000, ']');
  struct Row {
    const char *what;
    std::string items, place; // empty: there is none
  } rows[] = {
      {"plain", keyed("a-1._~Z"), "a-1._~Z"},
      {"the last of several", keyed("a") + "," + keyed("b"), "b"},
      {"in no order", keyed("b") + "," + keyed("a"), "a"},
      {"separators", keyed("a/b&c=d?e#f"), "a%2Fb%26c%3Dd%3Fe%23f"},
      {"a plus, a percent sign, a blank", keyed("+%% %41"),
       "%2B%25%25%20%2541"},
      {"escapes", keyed("\\t\\r\\n\\\"\\\\"), "%09%0D%0A%22%5C"},
      {"two bytes", keyed("\\u00e4\xc3\xa4"), "%C3%A4%C3%A4"},
      {"a pair of surrogates", keyed("\\ud83d\\ude00"), "%F0%9F%98%80"},
      {"200 bytes", keyed(repeated("a", 200)), repeated("a", 200)},
      {"201 bytes", keyed(repeated("a", 201)), repeated("a", 200) + LAST},
      {"200 bytes within a character", keyed("a" + repeated("\xc3\xa4", 100)),
       "a" + repeated("%C3%A4", 99) + LAST},
      {"a megabyte", keyed(repeated("&", 1000000)),
       repeated("%26", 200) + LAST},
      {"a NUL", keyed("ab\\u0000c"), "ab%01"},
      {"a NUL at the end", keyed("ab\\u0000"), "ab%01"},
      {"a NUL behind escapes", keyed("\\\"\\u00e4\\u0000"), "%22%C3%A4%01"},
      {"a NUL behind 200 bytes", keyed(repeated("a", 200) + "\\u0000"),
       repeated("a", 200) + "%01"},
      {"a NUL behind 300 bytes", keyed(repeated("a", 300) + "\\u0000"),
       repeated("a", 200) + LAST},
      {"a lone surrogate", keyed("ab\\ud800c"), "ab" + LAST},
      {"the other half of one", keyed("ab\\udc00"), "ab" + LAST},
      {"half a pair", keyed("ab\\ud83d\\u0041"), "ab" + LAST},
      {"no UTF-8", keyed("ab\xff"), "ab" + LAST},
      {"a bare tab", keyed("ab\tc"), "ab%0A"},
      {"a bare NUL", keyed(std::string("ab\0c", 4)), "ab%01"},
      {"no escape", keyed("a") + "," + keyed("b\\xc"), "a"},
      {"no escape of 200 bytes", keyed(repeated("a", 200) + "\\x"), ""},
      {"no escape behind 300 bytes", keyed(repeated("a", 300) + "\\x"),
       repeated("a", 200) + LAST},
      {"a deep member beside it",
       "{\"value\":" + deep + ",\"key\":\"a&b\",\"x\":" + deep + "}",
       "a%26b"},
      {"a key within a member beside it",
       "{\"x\":{\"key\":\"no\"},\"y\":[\"key\"],\"key\":\"a\",\"z\":1e999}",
       "a"},
      {"a name with an escape", "{\"k\\u0065y\":\"a\",\"z\":1e999}", "a"},
      {"a number for a key", keyed("a") + ",{\"key\":7}", "a"},
      {"other items", keyed("a") + ",7,null,[],\"key\",{},{\"key\":null}",
       "a"},
      {"an empty key", keyed("a") + "," + keyed(""), "a"},
      {"a number that is too large", keyed("a") + ",{\"key\":1e999}", "a"},
      {"no item", "", ""},
      {"no item with a key", "7,{},{\"key\":7},{\"key\":1e999},\"x\"", ""},
  };
  for (const Row &row : rows) {
    SCOPED_TRACE(row.what);
    Cursor c;
    EXPECT_TRUE(c.is_first());
    EXPECT_EQ(c.query(), "");
    EXPECT_EQ(c.advance(row.items), !row.place.empty());
    EXPECT_EQ(c.query(), row.place.empty() ? "" : "&since_rev=" + row.place);
  }
}

TEST(ListCursor, NeverReturns) {
  Cursor c;
  EXPECT_TRUE(c.advance(keyed("a")));
  EXPECT_TRUE(c.advance(keyed("b")));
  EXPECT_TRUE(c.advance(keyed("c\\u0000")));
  EXPECT_TRUE(c.advance(keyed("d")));
  EXPECT_FALSE(c.advance(keyed("c\\u0000x")));
  EXPECT_FALSE(c.advance(keyed("a")));
  c.reset();
  EXPECT_TRUE(c.is_first());
  EXPECT_TRUE(c.advance(keyed("a")));
  EXPECT_FALSE(c.is_first());
}

TEST(ListCursor, ReadsKeysWithinTheLimit) {
  struct Row {
    const char *what;
    std::string item;
    bool read;
    std::string beginning; // of the key, for messages
  } rows[] = {
      {"plain", keyed("a b"), true, "a b"},
      {"200 bytes", keyed(repeated("a", 200)), true, repeated("a", 200)},
      {"201 bytes", keyed(repeated("a", 201)), false, repeated("a", 201)},
      {"a NUL", keyed("a\\u0000b"), false, "a"},
      {"a lone surrogate", keyed("a\\ud800"), false, "a"},
      {"no text", "{\"key\":7}", false, ""},
      {"none", "{}", false, ""},
      {"no object", "7", false, ""},
  };
  for (const Row &row : rows) {
    SCOPED_TRACE(row.what);
    json_t *page = read_page(row.item);
    mt_bytes_t key;
    const json_t *item = json_array_get(page, 0);
    EXPECT_EQ(mt_store_read_key(item, &key), row.read);
    json_t *beginning = mt_store_key_beginning(item);
    EXPECT_EQ(json_string_value(beginning), row.beginning);
    json_decref(beginning);
    json_decref(page);
  }
}

} // namespace
