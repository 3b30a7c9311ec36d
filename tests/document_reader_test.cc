// document_reader_test.cc - reading the document of routes in parts
#include "gateway_world.h"

extern "C" {
#include "json_scan.h"
#include "response_documents.h"
}

namespace {

// {== JSON values ==========================================================

// The upper levels are not read by the library: what is valid must not
// differ.
TEST(JsonScan, AgreesWithTheLibrary) {
  const std::string letters(100, 'a');
  const std::string rows[] = {
      "",
      " ",
      "{}",
      " {\n\t\"a\" : [ 1 , -2.5e3 , true , null ] }\r\n",
      "[]",
      "[[[[[[1]]]]],{\"a\":{\"b\":{\"c\":{\"d\":{}}}}}]",
      "{\"a\":1,\"a\":2}",
      "[1,]",
      "[,1]",
      "[1 2]",
      "[1",
      "{\"a\":1,}",
      "{,}",
      "{\"a\" 1}",
      "{\"a\":}",
      "{a:1}",
      "{\"a\":1",
      "{\"a\":1}x",
      "{\"a\":1}{}",
      "[1]]",
      "{\"a\":\"" + letters + "\"}",
      "{\"" + letters + "\":\"" + letters + "\"}",
      "{\"a\":\"" + letters + "\\n\\u00e4\\\"" + letters + "\"}",
      "{\"a\":\"" + letters + "\xc3\xa4" + letters + "\"}",
      "{\"a\":\"" + letters + "\xff" + letters + "\"}",
      "{\"a\":\"" + letters + "\n" + letters + "\"}",
      "{\"a\":\"" + letters + std::string(1, '\0') + "\"}",
      "{\"a\":\"" + letters + "\\\"}",
      "{\"a\":\"" + letters,
      "[\"\",\"x\",\"\\u0041\",\"\\x\"]",
      "[tru]",
      "[01]",
  };
  for (const std::string &text : rows) {
    json_t *whole = json_loadb(text.data(), text.size(), 0, nullptr);
    json_t *read = mt_json_read(text.data(), text.size());
    EXPECT_EQ(read != nullptr, whole != nullptr) << text;
    bool same = whole == nullptr || json_equal(read, whole);
    EXPECT_TRUE(same) << text;
    json_decref(whole);
    json_decref(read);
  }
}

// Guards against one odd item of a list that hides all others.
TEST(JsonScan, AnItemThatIsNotValidIsItsText) {
  const std::string deep(100000, '['), digits(400, '9');
  const std::string rows[] = {
      "{\"key\":\"a\\u0000b\"}",
      "{\"key\":\"\\ud800\"}",
      "{\"key\":\"\xff\"}",
      "{\"a\":" + digits + "}",
      "{\"a\":1e999}",
      "{\"a\":" + deep + std::string(100000, ']') + "}",
      "{\"a\" 1}",
      "{\"]}\\\"\":1e999,\"x\":[{\"y\":\"]\"}]}",
      "tru",
      "",
  };
  for (const std::string &row : rows) {
    std::string text =
        "{\"items\":[{\"key\":\"x\"}," + row + ",{\"key\":\"z\"}],\"at\":7}";
    json_t *doc = mt_json_read_items(text.data(), text.size());
    const json_t *items = json_object_get(doc, "items");
    EXPECT_EQ(json_integer_value(json_object_get(doc, "at")), 7) << row;
    EXPECT_EQ(json_array_size(items), 3u) << row;
    const json_t *kept = json_array_get(items, 1);
    ASSERT_TRUE(json_is_string(kept)) << row;
    EXPECT_EQ(std::string(json_string_value(kept), json_string_length(kept)),
              row);
    json_decref(doc);
    EXPECT_EQ(mt_json_read(text.data(), text.size()), nullptr) << row;
  }
  for (const std::string &text :
       {"{\"items\":[" + deep, std::string("{\"items\":[{\"a\":\"]}"),
        std::string("{\"items\":[1e999],\"at\":1e999}"),
        std::string("{\"items\":[tru]")})
    EXPECT_EQ(mt_json_read_items(text.data(), text.size()), nullptr) << text;
}

// }==

// {== Documents ============================================================

mt_document_reader_t *reader (const std::string &text) {
  char *copy = (char *)malloc(text.size() + 1);
  memcpy(copy, text.data(), text.size());
  return mt_document_reader_new(copy, text.size());
}

// What a document has, as text; "invalid" if it cannot be read.
std::string content (const std::string &text, size_t bytes) {
  char reason[160];
  mt_document_reader_t *r = reader(text);
  while (mt_document_reader_step(r, bytes)) continue;
  mt_catalog_t *c = mt_document_reader_take(r, reason, sizeof reason);
  mt_document_reader_free(r);
  if (c == nullptr) return reason[0] != '\0' ? "invalid" : "no reason";
  std::string all = "v" + std::to_string(c->version);
  for (size_t i = 0; i < c->routes_count; i++)
    all += std::string(" ") + c->routes[i].name + c->routes[i].prefix;
  for (size_t i = 0; i < c->services_count; i++)
    all += std::string(" s:") + c->services[i].name + "=" +
           std::to_string(c->services[i].objective);
  for (size_t i = 0; i < c->workspaces_count; i++)
    all += std::string(" w:") + c->workspaces[i].name;
  all += " keys " + std::to_string(c->keys.used) + " idle " +
         std::to_string(c->limits.idle_ms);
  mt_catalog_free(c);
  return all;
}

// A document that is cut off or wrong must not be put into force in part.
TEST(DocumentReader, ReadsTheSameInPartsAsAtOnce) {
  struct Row {
    const char *what;
    std::string text, content;
  } rows[] = {
      {"empty", "{}", "invalid"},
      {"no routes", "{\"version\":7}", "invalid"},
      {"no version", "{\"routes\":[]}", "invalid"},
      {"nothing but what it must have", "{\"version\":7,\"routes\":[]}",
       "v7 keys 0 idle 60000"},
      {"empty lists",
       "{\"routes\":[],\"services\":[ ],\"tenants\":[],\"version\":3}",
       "v3 keys 0 idle 60000"},
      {"all lists",
       "{\"version\":7,\"routes\":[{\"name\":\"a\",\"path_prefix\":\"/x/\","
       "\"route_kind\":\"stream\",\"goal_ms\":900,\"service\":\"m\"},"
       "{\"name\":\"b\",\"path_prefix\":\"/y/\"}],\"services\":[{\"name\":"
       "\"m\"}],\"limits\":{\"idle_timeout_ms\":15000},\"tenants\":[{"
       "\"name\":\"w1\",\"api_keys\":[\"k\",\"l\"]},{\"name\":\"w2\"}]}",
       "v7 a/x/ b/y/ s:m=900 w:w1 w:w2 keys 2 idle 15000"},
      {"in another order, with unknown members",
       " { \"limits\" : {\"idle_timeout_ms\":15000} , \"more\" : [1,{}] ,"
       "\"tenants\" : [ {\"name\":\"w1\"} ] , \"services\":[{\"name\":\"m\"}],"
       "\"routes\" : [ {\"name\":\"a\",\"route_kind\":\"stream\",\"goal_ms\":"
       "900,\"service\":\"m\"} ] , \"version\" : 7 } ",
       "v7 a/ s:m=900 w:w1 keys 0 idle 15000"},
      {"lists of another type",
       "{\"version\":7,\"routes\":{},\"services\":1}", "invalid"},
      {"nothing", "", "invalid"},
      {"no object", "[]", "invalid"},
      {"cut off within a route", "{\"version\":7,\"routes\":[{\"name\":\"a\"",
       "invalid"},
      {"cut off behind a route",
       "{\"version\":7,\"routes\":[{\"name\":\"a\"}", "invalid"},
      {"cut off behind the routes",
       "{\"version\":7,\"routes\":[{\"name\":\"a\"}]", "invalid"},
      {"text behind the end", "{\"version\":7}}", "invalid"},
      {"no comma", "{\"version\":7,\"routes\":[{\"name\":\"a\"}{}]}",
       "invalid"},
      {"no colon", "{\"version\" 7}", "invalid"},
      {"a comma too many", "{\"version\":7,\"routes\":[{\"name\":\"a\"},]}",
       "invalid"},
  };
  for (const Row &row : rows)
    for (size_t bytes : {(size_t)1, (size_t)30, (size_t)1 << 20})
      EXPECT_EQ(content(row.text, bytes), row.content)
          << row.what << " " << bytes;
}

std::string routes (int count);

// Where the loop's turns are long, parts would put a change into force late.
TEST(DocumentReader, WhatIsLeftIsReadAtOnce) {
  for (int parts_before : {0, 1, 5, 20}) {
    mt_response_documents_t d{};
    std::vector<json_t *> items;
    for (int i = 0; i < 2; i++) {
      std::string text = World::config(7 + i, "k", routes(1400));
      items.push_back(json_pack("{s:s}", "value", base64(text).c_str()));
      mt_response_documents_add(&d, items.back());
    }
    for (int i = 0; i < parts_before; i++)
      mt_response_documents_step(&d, false);
    EXPECT_FALSE(mt_response_documents_step(&d, true)) << parts_before;
    for (json_t *item : items) {
      char reason[160];
      mt_catalog_t *c = mt_document_reader_take(
          mt_response_documents_find(&d, item), reason, sizeof reason);
      EXPECT_NE(c, nullptr) << parts_before;
      mt_catalog_free(c);
    }
    mt_response_documents_free(&d);
    for (json_t *item : items) json_decref(item);
  }
}

std::string routes (int count) {
  std::string all;
  for (int i = 0; i < count; i++)
    all += ",{\"name\":\"n" + std::to_string(i) + "\",\"host\":\"n" +
           std::to_string(i) +
           ".example\",\"path_prefix\":\"/n/\",\"route_kind\":\"safe\","
           "\"timeout_ms\":3000,\"goal_ms\":500,\"service\":\"plain\"}";
  return all;
}

// While a part is read no socket is: it must stay small where the document is
// large, and the document must not take many turns of the loop.
TEST(DocumentReader, PartsAreSmallAndFew) {
  struct Row {
    int routes, documents;
    size_t part_max; // bytes of document, or entries beyond them
  } rows[] = {{0, 1, 16384},    {100, 1, 16384},  {1400, 1, 20000},
              {1400, 3, 50000}, {2800, 1, 40000}, {13000, 1, 150000}};
  for (const Row &row : rows) {
    mt_response_documents_t d{};
    std::vector<json_t *> items;
    for (int i = 0; i < row.documents; i++) {
      std::string text = World::config(7 + i, "k", routes(row.routes));
      items.push_back(json_pack("{s:s}", "value", base64(text).c_str()));
      mt_response_documents_add(&d, items.back());
    }
    int parts = 1;
    while (mt_response_documents_step(&d, false)) parts++;
    size_t longest = d.bytes / MT_RESPONSE_PARTS_MAX + 400;
    EXPECT_LE(longest, row.part_max) << row.routes;
    EXPECT_LE(parts, MT_RESPONSE_PARTS_MAX + row.documents) << row.routes;
    EXPECT_GE(parts, (int)(d.bytes / row.part_max)) << row.routes;
    for (json_t *item : items) {
      char reason[160];
      mt_catalog_t *c = mt_document_reader_take(
          mt_response_documents_find(&d, item), reason, sizeof reason);
      ASSERT_NE(c, nullptr);
      EXPECT_EQ(c->routes_count, (size_t)row.routes + 3);
      mt_catalog_free(c);
    }
    EXPECT_EQ(mt_response_documents_find(&d, nullptr), nullptr);
    mt_response_documents_free(&d);
    for (json_t *item : items) json_decref(item);
  }
}

// }==

// {== A gateway ============================================================

struct Site : World {
  Site() {
    engine("i-0", "plain", listen([] (Conn &c, const Request &r) {
             c.send(answer(200,
                           "X-Engine-Seal: s\r\nX-Attempt-Id: " +
                               r.field("X-Attempt-Id") + "\r\n",
                           "ok"));
           }));
    start();
  }
  // The number in a field of the log line about a version; -1: no such line.
  int logged (int version, const std::string &field) {
    std::string head =
        "event=configuration version=" + std::to_string(version) + " ";
    size_t at = log.find(head);
    if (at == log.npos) return -1;
    size_t end = log.find('\n', at);
    if (end == log.npos) return -1;
    std::string line = " " + log.substr(at, end - at);
    at = line.find(" " + field + "=");
    return at == line.npos ? -1 : atoi(line.c_str() + at + field.size() + 2);
  }
  bool in_force (int version) {
    return until([&] { return logged(version, "routes") >= 0; });
  }
};

// Without parts no socket is read while a large document is. There are 10 and
// more unless a turn of the loop takes 50 ms.
TEST(Configuration, ALargeOneIsReadBetweenPolls) {
  struct Row {
    int routes, parts_min;
  } rows[] = {{0, 1}, {50, 1}, {1400, 3}, {2800, 3}, {0, 1}};
  Site w;
  int version = 7;
  for (const Row &row : rows) {
    version++;
    w.put("op/config", World::config(version, "key-w1", routes(row.routes)));
    ASSERT_TRUE(w.in_force(version)) << row.routes;
    EXPECT_EQ(w.logged(version, "routes"), row.routes + 3);
    EXPECT_GE(w.logged(version, "parts"), row.parts_min) << row.routes;
    EXPECT_LE(w.logged(version, "parts"), MT_RESPONSE_PARTS_MAX + 1)
        << row.routes;
  }
  EXPECT_EQ(World::status_of(w.call(World::ask("/safe/x", "id1"))), 200);
}

// What comes while a large document is read must not get lost or come first.
TEST(Configuration, ChangesBesideALargeOneAreApplied) {
  Site w;
  w.put("op/config", World::config(8, "key-w1", routes(2800)));
  w.put("op/evacuate/d7", "{}");
  w.put("op/config", World::config(9, "key-w2", routes(1400)));
  w.put("op/config", World::config(10, "key-w3", ""));
  ASSERT_TRUE(w.in_force(10));
  ASSERT_TRUE(w.until(
      [&] { return w.log.find("domain=d7 outcome=begun") != w.log.npos; }));
  EXPECT_EQ(w.log.find("outcome=older"), w.log.npos);
  EXPECT_EQ(w.log.find("outcome=unreadable"), w.log.npos);
  struct Row {
    const char *key;
    int status;
  } rows[] = {{"key-w1", 401}, {"key-w2", 401}, {"key-w3", 200}};
  for (const Row &row : rows)
    EXPECT_EQ(World::status_of(
                  w.call(World::ask("/safe/x", row.key, "", "", row.key))),
              row.status)
        << row.key;
}

// A restore drops what is being read; the lists that follow show what holds.
TEST(Configuration, ALargeOneBesideARestoreIsReadAgain) {
  Site w;
  w.era = 1;
  World::Backup backup = w.backup();
  w.put("op/config", World::config(8, "key-w1", routes(2800)));
  w.restore(backup);
  w.put("op/config", World::config(9, "key-w2", routes(1400)));
  ASSERT_TRUE(w.in_force(9));
  EXPECT_EQ(World::status_of(
                w.call(World::ask("/safe/x", "id1", "", "", "key-w2"))),
            200);
}

// An unreadable document leaves the version in force.
TEST(Configuration, ALargeOneThatIsCutOffIsNotPutIntoForce) {
  Site w;
  std::string text = World::config(8, "key-w1", routes(1400));
  w.put("op/config", text.substr(0, text.size() - 2));
  ASSERT_TRUE(w.until(
      [&] { return w.log.find("outcome=unreadable") != w.log.npos; }));
  EXPECT_EQ(w.logged(8, "routes"), -1);
  EXPECT_EQ(World::status_of(w.call(World::ask("/safe/x", "id1"))), 200);
  w.put("op/config", World::config(9, "key-w1", routes(1400)));
  EXPECT_TRUE(w.in_force(9));
}

// }==

} // namespace
