// second_silence_test.cc - silences of sound engines at any place of an
// answer, more than once, and beside other events
#include "silent_world.h"

namespace {

const Kind kinds[] = {Kind::RESUMABLE, Kind::STREAM_ONCE, Kind::SAFE,
                      Kind::ONCE};
const Framing framings[] = {Framing::LENGTH, Framing::CHUNKED,
                            Framing::UNFRAMED};

std::vector<Row>
each (const std::function<void(const Row &, std::vector<Row> &)> &add) {
  std::vector<Row> rows;
  for (Kind kind : kinds)
    for (Framing framing : framings) add({kind, framing, {}}, rows);
  return rows;
}

// Guards against answers that are ended, joined wrongly or doubled by a
// silence at one place of them.
TEST(SecondSilence, AnAnswerOutlivesASilenceAtAnyPlace) {
  for (int ms : {300, 800, 1300, 1900})
    play(each([&] (const Row &base, std::vector<Row> &rows) {
      for (Place place : places) {
        rows.push_back(base);
        rows.back().stops = {{place, ms}};
        rows.back().other = (int)place % 2 ? Other::ANSWERS : Other::REJECTS;
      }
    }));
}

// Guards against a silence that is survived once: attempts, the budget and
// the state of the hedge before it are used up or left behind.
TEST(SecondSilence, AnAnswerOutlivesSeveralSilences) {
  play(each([&] (const Row &base, std::vector<Row> &rows) {
    for (Other other :
         {Other::NONE, Other::ANSWERS, Other::REJECTS, Other::SILENT}) {
      rows.push_back(base);
      rows.back().other = other;
      rows.back().stops = {{Place::BEFORE_HEAD, 800},
                           {Place::AFTER_TWO, 1300},
                           {Place::BEFORE_END, 800}};
      rows.push_back(base);
      rows.back().other = other;
      rows.back().stops = {{Place::IN_HEAD, 900},
                           {Place::IN_FIRST_EVENT, 900},
                           {Place::IN_THIRD, 900}};
    }
  }));
}

// Guards against a cut that looks complete, a refusal of what ran, and a
// second run, where the silent engine crashes.
TEST(SecondSilence, ASilentEngineThatCrashesIsNoAnswer) {
  play(each([&] (const Row &base, std::vector<Row> &rows) {
    for (Other other :
         {Other::NONE, Other::ANSWERS, Other::REJECTS, Other::RESETS})
      for (Place place : {Place::BEFORE_HEAD, Place::AFTER_HEAD,
                          Place::IN_THIRD, Place::BEFORE_END}) {
        rows.push_back(base);
        rows.back().other = other;
        rows.back().end = End::RESETS;
        rows.back().stops = {{place, place == Place::IN_THIRD ? 300 : 1000}};
      }
  }));
}

// {== Beside other events ==================================================

enum class Event {
  STOP,
  RELOAD,
  ROUTES_GO,
  KEY_GOES,
  SHORTER_TIMEOUT,
  SILENT_ENGINE_GOES,
  SILENT_ENGINE_DRAINS,
  OTHER_ENGINE_GOES,
  OTHER_ENGINE_DRAINS
};

void replace_all (std::string &text, const std::string &from,
                  const std::string &to) {
  for (size_t at = 0; (at = text.find(from, at)) != text.npos;
       at += to.size())
    text.replace(at, from.size(), to);
}

// Changes the entry of an engine of each case: of the silent one or not.
void change_engines (SilentWorld &w, bool silent, bool drains) {
  for (auto &c : w.cases)
    for (int i = 0; i < 2; i++) {
      std::string key =
          "servers/i" + c->id.substr(2) + "-" + std::to_string(i);
      if (w.items.count(key) == 0) continue;
      const Listener *l = (const Listener *)c->first->listener;
      std::string value = w.items[key].value;
      bool is_silent =
          value.find(":" + std::to_string(l->port) + "\"") != value.npos;
      if (is_silent != silent) continue;
      if (!drains) {
        w.remove(key);
        continue;
      }
      replace_all(value, "ready", "draining");
      w.put(key, value);
    }
}

void cause (SilentWorld &w, Event e) {
  std::string text = w.items["op/config"].value;
  replace_all(text, "\"version\":8", "\"version\":9");
  switch (e) {
    case Event::STOP: kill(w.pid, SIGTERM); return;
    case Event::RELOAD: kill(w.pid, SIGHUP); return;
    case Event::ROUTES_GO:
      w.put("op/config", World::config(9, "key-w1"));
      return;
    case Event::KEY_GOES:
      replace_all(text, "key-w1", "key-w2");
      w.put("op/config", text);
      return;
    case Event::SHORTER_TIMEOUT:
      replace_all(text, "\"timeout_ms\":9000", "\"timeout_ms\":400");
      w.put("op/config", text);
      return;
    case Event::SILENT_ENGINE_GOES: change_engines(w, true, false); return;
    case Event::SILENT_ENGINE_DRAINS: change_engines(w, true, true); return;
    case Event::OTHER_ENGINE_GOES: change_engines(w, false, false); return;
    case Event::OTHER_ENGINE_DRAINS: change_engines(w, false, true); return;
  }
}

std::vector<Row> beside_rows () {
  std::vector<Row> rows;
  for (Kind kind : kinds)
    for (Place place : {Place::BEFORE_HEAD, Place::AFTER_TWO})
      for (Other other : {Other::NONE, Other::ANSWERS})
        rows.push_back(
            {kind,
             rows.size() % 4 < 2 ? Framing::CHUNKED : Framing::UNFRAMED,
             {{place, 1100}},
             other});
  return rows;
}

// Guards against answers that are given up by what happens while their engine
// is silent, though none of it says that the engine has failed.
TEST(SecondSilence, AnAnswerOutlivesWhatHappensBesideIt) {
  struct {
    const char *what;
    Event event;
    bool other_is_left; // no request comes to the other engine
  } events[] = {
      {"SIGTERM", Event::STOP, false},
      {"SIGHUP", Event::RELOAD, false},
      {"the routes go", Event::ROUTES_GO, false},
      {"the key goes", Event::KEY_GOES, false},
      {"a shorter time-out", Event::SHORTER_TIMEOUT, false},
      {"the entry of the engine goes", Event::SILENT_ENGINE_GOES, false},
      {"the engine drains", Event::SILENT_ENGINE_DRAINS, false},
      // One that is no longer listed is used for a part of the drain time.
      {"the entry of the other one goes", Event::OTHER_ENGINE_GOES, false},
      {"the other one drains", Event::OTHER_ENGINE_DRAINS, true},
  };
  for (const auto &e : events) {
    SCOPED_TRACE(e.what);
    SilentWorld w(beside_rows());
    for (auto &c : w.cases) w.ask(*c);
    ASSERT_TRUE(w.await([&] {
      for (auto &c : w.cases)
        if (c->arrivals == 0) return false;
      return true;
    }));
    auto begun = Clock::now();
    w.await([&] { return ms_since(begun) > 150; });
    cause(w, e.event);
    w.await_all();
    for (auto &c : w.cases) {
      expect_true_answer(w, *c);
      if (e.other_is_left) {
        EXPECT_EQ(c->arrivals, 1) << c->row.name();
      }
    }
  }
}

// }==

// {== Behind a silent answer on the same connection ========================

// Moves one whole answer out of `in`; false if there is none.
bool take_answer (std::string &in, int &status, std::string &body) {
  Conn copy{-1, in};
  bool whole;
  body = SilentWorld::body_of(copy, whole);
  status = World::status_of(in);
  size_t end = in.find("\r\n\r\n"), length = in.find("Content-Length: ");
  if (end == in.npos) return false;
  if (length < end) {
    size_t n = (size_t)atol(&in[length + 16]);
    if (in.size() < end + 4 + n) return false;
    body = in.substr(end + 4, n);
    in.erase(0, end + 4 + n);
    return true;
  }
  size_t last = in.find("\r\n0\r\n\r\n", end);
  if (last == in.npos) return false;
  in.erase(0, last + 7);
  return true;
}

// Guards against a request that is lost, or answered by what belongs to
// another one, behind an answer whose engine is silent.
TEST(SecondSilence, ARequestBehindASilentAnswerIsAnswered) {
  enum class Sent { AT_ONCE, LATER, IN_PIECES, BEFORE_STOP };
  for (Sent sent :
       {Sent::AT_ONCE, Sent::LATER, Sent::IN_PIECES, Sent::BEFORE_STOP}) {
    std::vector<Row> rows;
    for (Kind kind : kinds)
      for (Place place : {Place::BEFORE_HEAD, Place::AFTER_TWO})
        rows.push_back({kind, Framing::CHUNKED, {{place, 1100}}});
    // Each with a second request: of the case that follows.
    for (Kind kind : kinds)
      for (int i = 0; i < 2; i++)
        rows.push_back({kind, Framing::CHUNKED, {}});
    SilentWorld w(rows);
    size_t n = rows.size() / 2;
    auto second = [&] (size_t i) {
      SilentWorld::Case &c = *w.cases[n + (i + 3) % n];
      return World::ask("/r" + c.id.substr(2) + "/x", c.id,
                        std::string(2000, 'b'));
    };
    auto begun = Clock::now();
    for (size_t i = 0; i < n; i++) {
      w.ask(*w.cases[i]);
      std::string text = second(i);
      if (sent == Sent::AT_ONCE) w.cases[i]->caller->send(text);
      if (sent == Sent::IN_PIECES)
        w.cases[i]->caller->send(text.substr(0, 100 + 50 * i));
    }
    w.await([&] { return ms_since(begun) > 500; });
    for (size_t i = 0; i < n; i++) {
      std::string text = second(i);
      if (sent == Sent::LATER || sent == Sent::BEFORE_STOP)
        w.cases[i]->caller->send(text);
      if (sent == Sent::IN_PIECES)
        w.cases[i]->caller->send(text.substr(100 + 50 * i));
    }
    w.await([&] { return ms_since(begun) > 600; });
    if (sent == Sent::BEFORE_STOP) kill(w.pid, SIGTERM);
    for (size_t i = 0; i < n; i++) {
      SilentWorld::Case &first = *w.cases[i];
      SilentWorld::Case &other = *w.cases[n + (i + 3) % n];
      for (SilentWorld::Case *c : {&first, &other}) {
        int status = 0;
        std::string body;
        std::string what = "sent " + std::to_string((int)sent) + ", " +
                           first.row.name() + (c == &first ? "" : ", second");
        EXPECT_TRUE(w.await([&] {
          return take_answer(first.caller->in, status, body) ||
                 first.caller->closed;
        })) << what;
        EXPECT_EQ(status, 200) << what << w.lines_of(*c);
        EXPECT_EQ(body, joined(parts_of(c->row.kind, c->id, 0)))
            << what << w.lines_of(*c);
        if (!is_repeatable(c->row.kind)) {
          EXPECT_EQ(c->arrivals, 1) << what;
        }
      }
      EXPECT_EQ(first.caller->in, "") << first.row.name();
    }
  }
}

// }==

} // namespace
