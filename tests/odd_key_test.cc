// odd_key_test.cc - entries of the store under keys that other writers chose,
// in lists of several pages
//
// Guards against a list that is never read to its end, or taken for whole
// when it is not, for a key that is no plain text.
#include "silent_world.h"

namespace {

// Only ends a test that has failed.
const int READ_MAX_MS = 6000;
// Calls of all feeds until a list of some pages is read, and some retries.
const int CALLS_MAX = 150;

std::string repeated (const std::string &text, int count) {
  std::string all;
  for (int i = 0; i < count; i++) all += text;
  return all;
}

// A key as it is written in JSON, behind the range's prefix.
struct OddKey {
  const char *what;
  std::string written;
  const char *reason; // of the counter
};

std::vector<OddKey> odd_keys () {
  std::vector<OddKey> rows = {
      {"a NUL", "a\\u0000b", "key"},
      {"a NUL first", "\\u0000", "key"},
      {"a lone surrogate", "a\\ud800b", "key"},
      {"the other half of one", "a\\udfffb", "key"},
      {"600 bytes", std::string(600, 'a'), "key"},
      {"5,000 bytes", std::string(5000, 'a'), "key"},
      {"characters of two bytes", "a" + repeated("\xc3\xa4", 300), "key"},
      {"5,000 bytes to encode", std::string(5000, '&'), "key"},
      {"255 bytes and more", "a" + std::string(254, 'b') + "c", "key"},
      {"a blank", "a b", "name"},
      {"blanks alone", "  ", "name"},
      {"a tab", "a\\tb", "name"},
      {"CR LF", "a\\r\\nX-Odd: 1", "name"},
      {"a second request", "a HTTP/1.1\\r\\n\\r\\nGET /-/odd", "name"},
      {"a control byte", "a\\u0001b", "name"},
      {"0x7f", "a\\u007fb", "name"},
      {"a letter beyond ASCII", "a\\u00e4b", "name"},
      {"a letter of three bytes", "a\\uffffb", "name"},
      {"a pair of surrogates", "a\\ud83d\\ude00b", "name"},
      {"quotes and backslashes", "a\\\"\\\\b'`", "name"},
      {"another range", "../op/config", "name"},
      {"all engines", "*", "name"},
  };
  for (const char *text :
       {"&", "&path_prefix=op/", "&since_rev=", "+", "#", "%", "%4", "%zz",
        "%00", "%41", "=", "?", "/", ";", "{}", "<>", "|", "^"})
    rows.push_back({text, "a" + std::string(text) + "b", "name"});
  return rows;
}

struct OddKeyWorld : World {
  Listener *odd;
  int odd_requests = 0;
  int next = 0;

  OddKeyWorld() {
    odd = listen([this] (Conn &c, const Request &r) {
      odd_requests++;
      c.abort();
    });
  }
  // Engines whose names sort before, between and after the odd keys.
  void add_engines () {
    for (const char *id : {"A1", "a-1", "aa", "b1", "z1", "~1"})
      engine(id, "plain", listen([id] (Conn &c, const Request &r) {
               c.send(answer(200,
                             "X-Engine-Seal: s\r\nX-Attempt-Id: " +
                                 r.field("X-Attempt-Id") + "\r\n",
                             id));
             }));
  }
  bool serves () {
    return status_of(call(ask("/safe/x", "q" + std::to_string(++next)))) ==
           200;
  }
  // True if the gateway's lines name all engines of the store.
  bool knows_engines () const {
    for (const char *id : {"A1", "a-1", "aa", "b1", "z1", "~1"})
      if (log.find("engine=" + std::string(id) + " ") == log.npos)
        return false;
    return true;
  }
  bool within (const std::function<bool()> &cond) {
    auto begun = Clock::now();
    while (ms_since(begun) < READ_MAX_MS) {
      if (cond()) return true;
      pump();
    }
    return false;
  }
  long faults (const char *feed, const char *reason) {
    std::string text =
        fetch(metrics, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    std::string name = "source_faults_total{feed=\"" + std::string(feed) +
                       "\",reason=\"" + reason + "\"} ";
    size_t at = text.find(name);
    return at == text.npos ? -1 : atol(text.c_str() + at + name.size());
  }
};

// {== At the start =========================================================

// True if the list of engines is read: they are known, and watched.
bool reads_engines (OddKeyWorld &w) {
  return w.within([&] { return w.knows_engines() && w.watches.size() >= 2; });
}

// An odd key costs its own entry alone, also alone on its page.
TEST(OddKey, HidesNoEngineFromAStart) {
  for (const OddKey &row : odd_keys()) {
    OddKeyWorld w;
    w.page = 1;
    w.add_engines();
    w.engine(row.written, "plain", w.odd);
    w.start();
    EXPECT_TRUE(reads_engines(w)) << row.what;
    EXPECT_LE(w.lists_served, CALLS_MAX) << row.what;
    for (int i = 0; i < 8; i++) EXPECT_TRUE(w.serves()) << row.what;
    EXPECT_EQ(w.calls_refused, 0) << row.what;
    EXPECT_EQ(w.odd_requests, 0) << row.what;
    EXPECT_EQ(w.log.find("outcome=vanished"), w.log.npos) << row.what;
    EXPECT_GE(w.faults("engines", row.reason), 1) << row.what;
    EXPECT_NE(w.log.find("event=store-entry feed=engines name="), w.log.npos)
        << row.what;
  }
}

// The same of all at once, in both ranges, at pages of any size.
TEST(OddKey, HidesNothingBesideOthers) {
  for (size_t page : {1, 2, 3, 7, 500}) {
    OddKeyWorld w;
    w.page = page;
    w.add_engines();
    for (const OddKey &row : odd_keys()) {
      w.engine(row.written, "plain", w.odd);
      for (const char *begin : {"op/", "op/conf", "op/evacuate/", "op/z"})
        w.put(begin + row.written, "{}");
    }
    w.start();
    EXPECT_TRUE(reads_engines(w)) << page;
    EXPECT_TRUE(w.serves()) << page;
    w.put("op/config", World::config(8, "key-w1"));
    EXPECT_TRUE(w.within([&] {
      return w.log.find("version=8 ") != w.log.npos;
    })) << page;
    EXPECT_EQ(w.calls_refused, 0) << page;
    EXPECT_EQ(w.odd_requests, 0) << page;
  }
}

// Records are read at the start.
TEST(OddKey, HidesNoRecordOfASuspect) {
  OddKeyWorld w;
  const std::string record =
      "{\"version\":3,\"earlier\":0,\"earlier_alone\":0,\"known\":true,"
      "\"age\":1,\"left\":1000000,\"ends\":[{\"engine\":\"1\",\"run\":\"1\","
      "\"age\":1,\"alone\":true,\"workspace\":0},{\"engine\":\"2\",\"run\":"
      "\"2\",\"age\":1,\"alone\":true,\"workspace\":0}]}";
  w.page = 1;
  w.add_engines();
  for (const OddKey &row : odd_keys()) w.put("suspects/" + row.written, "{}");
  w.put("suspects/00000000000000ab", record);
  w.put("suspects/ffffffffffffffab", record);
  w.start();
  EXPECT_TRUE(w.within([&] {
    std::string page =
        w.fetch(w.metrics, "GET /suspects HTTP/1.1\r\nHost: x\r\n\r\n");
    return page.find("00000000000000ab") != page.npos &&
           page.find("ffffffffffffffab") != page.npos;
  }));
}

// }==

// {== At run time ==========================================================

// The rows with these names, or all.
std::vector<OddKey> keys_named (const std::vector<std::string> &names) {
  std::vector<OddKey> rows;
  for (const OddKey &row : odd_keys())
    for (const std::string &name : names)
      if (name == row.what || name == "all") rows.push_back(row);
  return rows;
}

// The list is read anew while odd entries come and go.
TEST(OddKey, HidesNoEngineFromAListAtRunTime) {
  enum class Cause { HISTORY_GONE, RESTORED };
  const std::vector<std::string> plays[] = {
      {"all"},       {"a NUL"},   {"a lone surrogate"},
      {"600 bytes"}, {"a blank"}, {"&"},
      {"%"},         {"#", "+"}};
  for (Cause cause : {Cause::HISTORY_GONE, Cause::RESTORED})
    for (const auto &names : plays) {
      SCOPED_TRACE(names[0]);
      std::vector<OddKey> rows = keys_named(names);
      OddKeyWorld w;
      w.page = 1;
      w.add_engines();
      w.start();
      ASSERT_TRUE(reads_engines(w));
      for (const OddKey &row : rows) w.engine(row.written, "plain", w.odd);
      int before = w.lists_served;
      if (cause == Cause::RESTORED)
        w.restore(w.backup());
      else
        w.compact();
      w.engine("n1", "plain", w.odd);
      EXPECT_TRUE(
          w.within([&] { return w.log.find("engine=n1 ") != w.log.npos; }));
      w.remove("servers/n1");
      EXPECT_TRUE(w.within(
          [&] { return w.log.find("outcome=vanished") != w.log.npos; }));
      for (const OddKey &row : rows) w.remove("servers/" + row.written);
      EXPECT_TRUE(w.serves());
      EXPECT_EQ(w.log.find("outcome=vanished"),
                w.log.rfind("outcome=vanished"));
      EXPECT_LE(w.lists_served - before, CALLS_MAX);
    }
}

// An engine, or its removal, is not that of one whose name begins alike.
TEST(OddKey, IsNotTheEngineThatItsNameBeginsWith) {
  const std::string stem(150, 'e');
  OddKeyWorld w;
  auto logged = [&] (const std::string &id, const std::string &outcome) {
    size_t at = w.log.find("engine=" + id + " ");
    while (at != w.log.npos) {
      std::string line = w.log.substr(at, w.log.find('\n', at) - at);
      if (line.find("outcome=" + outcome + " ") != line.npos) return true;
      at = w.log.find("engine=" + id + " ", at + 1);
    }
    return false;
  };
  w.engine("e", "plain", w.odd);
  w.start();
  w.until([&] { return w.watches.size() >= 2; });
  w.compact(); // they come by a list, in which the later one stands first
  w.engine(stem + "2", "plain", w.odd);
  w.engine(stem + "1", "plain", w.odd);
  for (const std::string &id : {std::string("e"), stem + "2", stem + "1"})
    EXPECT_TRUE(w.within([&] { return logged(id, "ready"); })) << id;
  for (const std::string &odd : {std::string("e\\u0000"), stem + "1\\u0000",
                                 stem + "1" + std::string(300, 'x')}) {
    w.engine(odd, "plain", w.odd);
    w.remove("servers/" + odd);
  }
  w.remove("servers/" + stem + "2");
  EXPECT_TRUE(w.within([&] { return logged(stem + "2", "vanished"); }));
  EXPECT_FALSE(logged(stem + "1", "vanished"));
  EXPECT_FALSE(logged("e", "vanished"));
}

// }==

// {== Lists that cannot be read ============================================

// A store whose lists have no end: the gateway serves with what it knows,
// asks with pauses, and follows once the lists are whole again.
TEST(OddKey, AListWithoutAnEndCountsAsNotRead) {
  struct EndlessList {
    const char *what, *reason;
    // The answer to a call for a page behind the first one; `first`: the
    // first page's.
    std::function<std::string(const std::string &first)> further;
  } rows[] = {
      {"the first page again", "pages",
       [] (const std::string &first) { return first; }},
      {"an empty page", "pages",
       [] (const std::string &) {
         return answer(200, "", "{\"items\":[],\"more\":true,\"at\":50}");
       }},
      {"a page without a key", "pages",
       [] (const std::string &) {
         return answer(200, "",
                       "{\"items\":[{\"key\":7,\"rev\":3},7,null,{}],"
                       "\"more\":true,\"at\":50}");
       }},
      {"a page that is refused", "refused",
       [] (const std::string &) { return answer(400, "", ""); }},
      {"a page that is too far", "refused",
       [] (const std::string &) { return answer(414, "", ""); }},
  };
  for (bool at_start : {false, true})
    for (const EndlessList &row : rows) {
      OddKeyWorld w;
      w.page = 2;
      w.add_engines();
      if (!at_start) {
        w.start();
        ASSERT_TRUE(reads_engines(w)) << row.what;
      }
      Handler sound = w.store->handler;
      std::string first;
      int calls = 0;
      w.store->handler = [&] (Conn &c, const Request &r) {
        if (r.line().find("kv-range?path_prefix=servers/") ==
            std::string::npos) {
          sound(c, r);
          return;
        }
        calls++;
        if (r.line().find("since_rev") != std::string::npos)
          c.send(row.further(first));
        else {
          first =
              answer(200, "",
                     "{\"items\":[" + w.item("servers/A1") + "," +
                         w.item("servers/a-1") + "],\"more\":true,\"at\":" +
                         std::to_string(w.rev) + "}");
          c.send(first);
        }
      };
      if (at_start)
        w.start();
      else
        w.compact();
      auto begun = Clock::now();
      w.within([&] { return ms_since(begun) > 3000; });
      EXPECT_GE(calls, 4) << row.what;
      EXPECT_LE(calls, 40) << row.what;
      EXPECT_EQ(w.log.find("outcome=vanished"), w.log.npos) << row.what;
      EXPECT_GE(w.faults("engines", row.reason), 1) << row.what;
      for (int i = 0; i < 8; i++) EXPECT_TRUE(w.serves()) << row.what;
      w.store->handler = sound;
      w.engine("n1", "plain", w.odd);
      EXPECT_TRUE(w.within([&] {
        return w.log.find("engine=n1 ") != w.log.npos;
      })) << row.what;
    }
}

// }==

} // namespace
