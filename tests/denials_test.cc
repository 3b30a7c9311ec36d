// denials_test.cc - differences between two versions of the configuration,
// and keys and routes that other routers report as withdrawn
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

extern "C" {
#include "catalog_diff.h"
#include "denials.h"
#include "mtcrypt.h"
}

namespace {

mt_bytes_t bytes (const std::string &text) {
  return {text.data(), text.size()};
}

std::string digest (const std::string &key) {
  char text[MT_DIGEST_HEX + 1];
  mtH_sha256(key.data(), key.size(), text);
  return text;
}

// A catalog of lines {ROUTE, PREFIX, SERVICE...} or {"WORKSPACE:", KEY...}.
struct Catalog {
  mt_catalog_t *catalog = mt_catalog_new(1);
  explicit Catalog(const std::vector<std::vector<std::string>> &lines) {
    for (auto &line : lines) {
      if (line[0].back() == ':') {
        mt_catalog_add_workspace(catalog, line[0].c_str());
        for (size_t i = 1; i < line.size(); i++)
          mt_catalog_add_key(catalog, line[i].c_str());
        continue;
      }
      mt_catalog_route_t *r = mt_catalog_add_route(catalog, line[0].c_str(),
                                                   "h", line[1].c_str());
      for (size_t i = 2; i < line.size(); i++)
        r->split[r->splits++] = {mtV_id(line[i].data(), line[i].size()), 1};
    }
    mt_catalog_complete(catalog);
  }
  ~Catalog() {
    mt_catalog_free(catalog);
  }
};

// Collects what a diff reports: "+" or "-" and a key or ROUTE>SERVICE.
struct Changes {
  std::vector<std::string> all;
  static void key (void *ud, mt_bytes_t key, bool granted) {
    ((Changes *)ud)
        ->all.push_back((granted ? "+" : "-") + std::string(key.p, key.n));
  }
  static void route (void *ud, mt_id_t route, mt_id_t service, bool opened) {
    ((Changes *)ud)
        ->all.push_back((opened ? "+" : "-") + name(route) + ">" +
                        name(service));
  }
  static std::string name (mt_id_t id) {
    for (std::string text : {"r", "q", "s", "t"})
      if (mtV_id(text.data(), text.size()) == id) return text;
    return "?";
  }
};

TEST(CatalogDiff, ReportsRemovedAndAddedEntries) {
  using Lines = std::vector<std::vector<std::string>>;
  struct Row {
    const char *what;
    Lines from, to;
    std::vector<std::string> changes;
  } rows[] = {{"nothing",
               {{"r", "/", "s"}, {"w:", "k"}},
               {{"r", "/", "s"}, {"w:", "k"}},
               {}},
              {"a key is replaced",
               {{"w:", "k", "l"}},
               {{"w:", "k", "m"}},
               {"+m", "-l"}},
              {"a key goes to another workspace",
               {{"w:", "k"}, {"v:"}},
               {{"w:"}, {"v:", "k"}},
               {"+k", "-k"}},
              {"a route gets another service",
               {{"r", "/", "s"}},
               {{"r", "/", "t"}},
               {"+r>t", "-r>s"}},
              {"a split loses a service",
               {{"r", "/", "s", "t"}},
               {{"r", "/", "t"}},
               {"-r>s"}},
              {"a route is replaced by another one",
               {{"r", "/", "s"}},
               {{"q", "/", "s"}},
               {"+q>s", "-r>s"}},
              {"a route's prefix changes",
               {{"r", "/a", "s"}},
               {{"r", "/b", "s"}},
               {"+r>s", "-r>s"}}};
  for (const Row &row : rows) {
    Catalog from(row.from), to(row.to);
    Changes changes;
    const mt_catalog_diff_callbacks_t callbacks = {Changes::key,
                                                   Changes::route, &changes};
    mt_catalog_diff(from.catalog, to.catalog, &callbacks);
    std::sort(changes.all.begin(), changes.all.end());
    EXPECT_EQ(changes.all, row.changes) << row.what;
  }
}

// Else a change would compare every route with every other.
TEST(Catalog, FindsTheRoutesOfAnId) {
  struct Row {
    const char *what, *name;
    std::vector<std::string> prefixes;
  } rows[] = {{"one", "r", {"/a"}},
              {"two of a name", "q", {"/b", "/d"}},
              {"none", "x", {}}};
  Catalog d({{"r", "/a", "s"},
             {"q", "/b", "s"},
             {"p", "/c", "s"},
             {"q", "/d", "t"}});
  for (const Row &row : rows) {
    mt_id_t id = mtV_id(row.name, strlen(row.name));
    std::vector<std::string> found;
    const mt_catalog_route_t *r = nullptr;
    while ((r = mt_catalog_next_route(d.catalog, r, id)) != nullptr)
      found.push_back(r->prefix);
    std::sort(found.begin(), found.end());
    EXPECT_EQ(found, row.prefixes) << row.what;
  }
}

TEST(CatalogDiff, FindsEntriesReportedByOthers) {
  Catalog d({{"r", "/", "s", "t"}, {"w:", "k", "l"}});
  struct Row {
    const char *key;
    bool present;
  } keys[] = {{"k", true}, {"l", true}, {"m", false}, {"", false}};
  for (const Row &row : keys)
    EXPECT_EQ(mtV_get(&d.catalog->digests,
                      mt_catalog_digest_key(digest(row.key).c_str())) !=
                  nullptr,
              row.present)
        << row.key;
  mt_id_t r = mtV_id("r", 1), q = mtV_id("q", 1);
  EXPECT_TRUE(mt_catalog_routes_to(d.catalog, r, mtV_id("t", 1)));
  EXPECT_FALSE(mt_catalog_routes_to(d.catalog, r, mtV_id("u", 1)));
  EXPECT_FALSE(mt_catalog_routes_to(d.catalog, q, mtV_id("s", 1)));
}

// Denials of keys and routes; frees them at the end.
struct Denials {
  mt_denials_t d{};
  ~Denials() {
    mt_denials_free(&d);
  }
  void add_key (const std::string &key, int64_t rev, bool configured) {
    mt_denials_add(&d.keys, mt_catalog_digest_key(digest(key).c_str()), rev,
                   configured);
  }
  void add_route (mt_id_t route, mt_id_t service, int64_t rev,
                  bool configured) {
    mt_denials_add(&d.routes, mt_denials_route_id(route, service), rev,
                   configured);
  }
  bool has_key (const std::string &key) {
    return mt_denials_has_key(&d, bytes(key));
  }
};

TEST(Denials, ApplyUntilTheirRevisionIsInForce) {
  Denials w;
  w.add_key("k", 10, true);
  w.add_key("l", 20, true);
  w.add_route(1, 2, 10, true);
  w.add_route(1, 3, 20, true);
  struct Row {
    int64_t settled;
    bool k, l, r2, r3;
  } rows[] = {{9, true, true, true, true},
              {10, false, true, false, true},
              {20, false, false, false, false}};
  for (const Row &row : rows) {
    mt_denials_prune(&w.d, row.settled);
    EXPECT_EQ(w.has_key("k"), row.k) << row.settled;
    EXPECT_EQ(w.has_key("l"), row.l) << row.settled;
    EXPECT_EQ(mt_denials_has_route(&w.d, 1, 2), row.r2) << row.settled;
    EXPECT_EQ(mt_denials_has_route(&w.d, 1, 3), row.r3) << row.settled;
    EXPECT_FALSE(mt_denials_has_route(&w.d, 2, 2));
  }
}

TEST(Denials, AreLiftedByLaterChangesAlone) {
  uint64_t key = mt_catalog_digest_key(digest("k").c_str());
  uint64_t route = mt_denials_route_id(1, 2);
  struct Row {
    int64_t denied, lifted;
    bool denied_after;
  } rows[] = {{10, 11, false}, {10, 10, true}, {10, 9, true}};
  for (const Row &row : rows) {
    Denials w;
    w.add_key("k", row.denied, true);
    mt_denials_lift(&w.d.keys, key, row.lifted);
    EXPECT_EQ(w.has_key("k"), row.denied_after) << row.lifted;
    w.add_route(1, 2, row.denied, true);
    mt_denials_lift(&w.d.routes, route, row.lifted);
    EXPECT_EQ(mt_denials_has_route(&w.d, 1, 2), row.denied_after)
        << row.lifted;
  }
}

// Guards against a full table that ignores further denials: the 257th revoked
// key was served. What the configuration lacks is bounded, the oldest denials
// of it are dropped, and they push out no others.
TEST(Denials, OfWhatIsConfiguredAreAllKept) {
  const int count = 10 * MT_DENIALS_MAX;
  auto name = [] (int i) { return "own " + std::to_string(i); };
  Denials w;
  for (int i = 0; i < count; i++) {
    w.add_key(name(i), 1 + i, true);
    w.add_route(1, (mt_id_t)i + 1, 1 + i, true);
    w.add_key(std::to_string(i), 1 + i, false);
    w.add_route(2, (mt_id_t)i + 1, 1 + i, false);
  }
  EXPECT_EQ(w.d.keys.count, (size_t)count + MT_DENIALS_MAX);
  EXPECT_EQ(w.d.routes.count, (size_t)count + MT_DENIALS_MAX);
  for (int i = 0; i < count; i++) {
    EXPECT_TRUE(w.has_key(name(i))) << i;
    EXPECT_TRUE(mt_denials_has_route(&w.d, 1, (mt_id_t)i + 1)) << i;
    bool recent = i >= count - MT_DENIALS_MAX;
    EXPECT_EQ(w.has_key(std::to_string(i)), recent) << i;
    EXPECT_EQ(mt_denials_has_route(&w.d, 2, (mt_id_t)i + 1), recent) << i;
  }
  mt_denials_prune(&w.d, count);
  EXPECT_EQ(w.d.keys.count, 0u);
  EXPECT_EQ(w.d.keys.configured, 0u);
  EXPECT_FALSE(w.has_key(name(count - 1)));
}

// The configuration may add what is denied already.
TEST(Denials, OfWhatBecomesConfiguredAreKept) {
  Denials w;
  w.add_key("k", 1, false);
  mt_denials_set_configured(&w.d.keys, 0, true);
  for (int i = 0; i < 2 * MT_DENIALS_MAX; i++)
    w.add_key(std::to_string(i), 2 + i, false);
  EXPECT_TRUE(w.has_key("k"));
}

} // namespace
