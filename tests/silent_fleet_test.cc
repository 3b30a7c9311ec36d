// silent_fleet_test.cc - engines that hold all of their answers for a while,
// and what the store says of them meanwhile
#include "silent_world.h"

namespace {

// Engines that hold all answers until they are released.
struct HeldWorld : World {
  struct Held {
    Conn *conn;
    std::string text;
  };
  std::list<Held> held;
  std::map<std::string, int> arrivals;
  bool holds = false;

  void add_engines (const char *service, bool stream, int count) {
    for (int i = 0; i < count; i++)
      engine(std::string(service) + std::to_string(i), service,
             listen([this, stream] (Conn &c, const Request &r) {
               std::string id = r.field("X-Attempt-Id");
               int last = atoi(r.field("Last-Event-Id").c_str());
               arrivals[id]++;
               std::string text =
                   answer_of(stream ? Kind::RESUMABLE : Kind::SAFE,
                             Framing::CHUNKED, id, last)
                       .text;
               if (holds)
                 held.push_back({&c, text});
               else
                 c.send(text);
             }));
  }
  void release () {
    holds = false;
    for (Held &h : held)
      if (h.conn->fd >= 0) h.conn->send(h.text);
    held.clear();
  }
};

// Guards against requests that are refused or lost since all engines of their
// service hold their answers at that time, though none has failed.
TEST(SilentFleet, RequestsThatComeInASilenceOfAllEnginesAreAnswered) {
  for (int engines : {1, 2})
    for (int silence : {900, 1400, 1900}) {
      HeldWorld w;
      w.add_engines("plain", false, engines);
      w.add_engines("model", true, engines);
      w.start();
      std::string what = std::to_string(engines) + " engines, " +
                         std::to_string(silence) + " ms: ";
      for (const char *path : {"/safe/x", "/gen/x"}) {
        EXPECT_EQ(World::status_of(w.call(World::ask(path, "first"))), 200);
      }
      w.holds = true;
      struct Asked {
        Conn *conn;
        std::string id;
        Kind kind;
      };
      std::vector<Asked> asked;
      auto begun = Clock::now();
      while (ms_since(begun) < silence) {
        if (asked.size() < 10 && ms_since(begun) > 80 * (int)asked.size()) {
          const Kind all[] = {Kind::SAFE, Kind::RESUMABLE, Kind::ONCE};
          const char *const paths[] = {"/safe/x", "/gen/x", "/once/x"};
          size_t i = asked.size() % 3;
          std::string id = "q" + std::to_string(asked.size());
          asked.push_back({w.connect(w.callers), id, all[i]});
          asked.back().conn->send(World::ask(paths[i], id));
        }
        w.pump();
      }
      w.release();
      for (Asked &a : asked) {
        EXPECT_TRUE(w.until([&] { return SilentWorld::is_over(*a.conn); }));
        bool whole;
        std::string body = SilentWorld::body_of(*a.conn, whole);
        EXPECT_EQ(World::status_of(a.conn->in), 200)
            << what << a.id << a.conn->in << w.log;
        EXPECT_TRUE(whole) << what << a.id;
        Kind kind = a.kind == Kind::ONCE ? Kind::SAFE : a.kind;
        EXPECT_EQ(body, joined(parts_of(kind, a.id, 0))) << what << a.id;
        if (a.kind == Kind::ONCE) {
          EXPECT_EQ(w.arrivals[a.id], 1) << what << a.id;
        }
      }
    }
}

// Guards against answers that are given up by what a store that fails,
// forgets or errs says of an engine that is silent.
TEST(SilentFleet, AnAnswerOutlivesAStoreThatFailsMeanwhile) {
  enum class Store { RESETS, SILENT, FORGETS, RESTORED, FLAPS, REPEATS };
  for (Store store : {Store::RESETS, Store::SILENT, Store::FORGETS,
                      Store::RESTORED, Store::FLAPS, Store::REPEATS}) {
    std::vector<Row> rows;
    for (Kind kind :
         {Kind::RESUMABLE, Kind::STREAM_ONCE, Kind::SAFE, Kind::ONCE})
      for (Place place : {Place::BEFORE_HEAD, Place::AFTER_TWO})
        for (Other other : {Other::NONE, Other::ANSWERS, Other::SILENT})
          rows.push_back({kind, Framing::CHUNKED, {{place, 1300}}, other});
    SilentWorld w(rows);
    SCOPED_TRACE((int)store);
    World::Backup backup = w.backup();
    for (auto &c : w.cases) w.ask(*c);
    ASSERT_TRUE(w.await([&] {
      for (auto &c : w.cases)
        if (c->arrivals == 0) return false;
      return true;
    }));
    auto begun = Clock::now();
    auto until_ms = [&] (int ms) {
      w.await([&] { return ms_since(begun) > ms; });
    };
    until_ms(100);
    std::map<std::string, Item> engines = w.items;
    engines.erase("op/config");
    Handler handler = w.store->handler;
    switch (store) {
      case Store::RESETS:
        w.store->handler = [] (Conn &c, const Request &) { c.abort(); };
        for (World::Watch &watch : w.watches)
          if (watch.conn->fd >= 0) watch.conn->abort();
        w.watches.clear();
        break;
      case Store::SILENT:
        w.store->handler = [] (Conn &, const Request &) {};
        w.watches.clear();
        break;
      case Store::FORGETS: w.compact(); break;
      case Store::RESTORED:
        backup.rev -= 5;
        for (auto &e : engines) backup.items.erase(e.first);
        w.restore(backup);
        break;
      case Store::FLAPS:
        for (auto &e : engines) w.remove(e.first);
        break;
      case Store::REPEATS: break;
    }
    if (store == Store::REPEATS)
      for (int i = 0; i < 5; i++) {
        until_ms(100 + 100 * i);
        for (auto &e : engines) {
          std::string value = e.second.value;
          value.insert(1, "\"seq\":" + std::to_string(100 + i) + ",");
          w.put(e.first, value);
        }
      }
    until_ms(500);
    if (store == Store::FLAPS || store == Store::RESTORED)
      for (auto &e : engines) w.put(e.first, e.second.value);
    w.store->handler = handler;
    w.await_all();
    for (auto &c : w.cases) expect_true_answer(w, *c);
  }
}

} // namespace
