// odd_head_test.cc - heads of answers and requests that HTTP does not have
//
// Guards against an answer that no engine may give passed on to a caller or
// waited behind, and a field that the gateway and an engine read differently.
#include "silent_world.h"

namespace {

// Of a request's deadline of 3 s, when an engine has answered at once.
const int ANSWERED_MAX_MS = 1500;

struct OddHead {
  std::string what, text; // "@" stands for the request's id
};

// A whole answer with a line above, between or below its fields.
std::string with_line (const std::string &line, int place) {
  std::string text = "HTTP/1.1 200 X\r\n";
  if (place == 0) text += line + "\r\n";
  text += "X-Attempt-Id: @\r\n";
  if (place == 1) text += line + "\r\n";
  text += "X-Engine-Seal: s\r\nContent-Length: 3\r\n";
  if (place == 2) text += line + "\r\n";
  return text + "\r\nodd";
}

std::string with_status (const std::string &status) {
  return "HTTP/1.1 " + status +
         " X\r\nX-Attempt-Id: @\r\nX-Engine-Seal: s\r\n"
         "Content-Length: 3\r\n\r\nodd";
}

std::vector<OddHead> odd_heads () {
  std::vector<OddHead> rows;
  for (const std::string &line : {std::string("X Foo: odd"),
                                  std::string("X-Foo : odd"),
                                  std::string(" X-Foo: odd"),
                                  std::string("X-Foo\t: odd"),
                                  std::string("X\x01-Foo: odd"),
                                  std::string("X\x7f-Foo: odd"),
                                  std::string("X\x80-Foo: odd"),
                                  std::string("X\0-Foo: odd", 12),
                                  std::string("X(Foo): odd"),
                                  std::string("X\"Foo: odd"),
                                  std::string(": odd"),
                                  std::string(" : odd"),
                                  std::string("X-Foo odd"),
                                  std::string("Content-Length : 3"),
                                  std::string("X-Engine-Seal : odd"),
                                  std::string("X-Attempt-Id : @"),
                                  std::string("X-Not-Executed : 1"),
                                  std::string("Retry-After : 1"),
                                  std::string("Transfer-Encoding : chunked"),
                                  std::string("X-Foo: od\x01"
                                              "d"),
                                  std::string("X-Foo: od\x7f"
                                              "d"),
                                  std::string("X-Foo: od\0d", 11)})
    for (int place : {0, 1, 2})
      // In the middle of a head it continues the line before it.
      if (line[0] != ' ' || place == 0)
        rows.push_back(
            {line + " at " + std::to_string(place), with_line(line, place)});
  for (const char *status :
       {"000", "001", "010",  "099",  "99",    "20",    "2",    "0",
        "600", "999", "1000", "0200", "00200", " 0200", "-200", "+200",
        "2e2", "abc", "",     "101",  "100",   "102",   "199"})
    rows.push_back({"status " + std::string(status), with_status(status)});
  rows.push_back({"an interim answer in chunks",
                  "HTTP/1.1 103 X\r\nX-Attempt-Id: @\r\nX-Engine-Seal: s\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n3\r\nodd\r\n0\r\n\r\n"});
  return rows;
}

std::string replaced (std::string text, const std::string &from,
                      const std::string &to) {
  for (size_t at; (at = text.find(from)) != text.npos;)
    text.replace(at, from.size(), to);
  return text;
}

struct OddHeadWorld : World {
  std::string odd;   // the engine's answer
  std::string heads; // of requests at the recording engine
  int next = 0, odd_answers = 0;

  void add_odd_engine (const char *service) {
    engine("odd-" + std::string(service), service,
           listen([this] (Conn &c, const Request &r) {
             odd_answers++;
             c.send(replaced(odd, "@", r.field("X-Attempt-Id")));
           }));
  }
  void add_sound_engine (const char *service) {
    engine("sound-" + std::string(service), service,
           listen([service] (Conn &c, const Request &r) {
             bool stream = strcmp(service, "model") == 0;
             c.send(answer(
                 200,
                 "X-Engine-Seal: s\r\nX-Attempt-Id: " +
                     r.field("X-Attempt-Id") + "\r\n" +
                     (stream ? "Content-Type: text/event-stream\r\n" : ""),
                 stream ? "id: 1\ndata: sound\n\n" : "sound"));
           }));
  }
  void add_recording_engine () {
    engine("i-1", "plain", listen([this] (Conn &c, const Request &r) {
             heads += r.head;
             c.send(answer(200,
                           "X-Engine-Seal: s\r\nX-Attempt-Id: " +
                               r.field("X-Attempt-Id") + "\r\n",
                           "mine"));
           }));
  }
  std::string send (const char *path) {
    return call(ask(path, "q" + std::to_string(++next)));
  }
};

const char *const paths[] = {"/safe/x", "/once/x", "/gen/x"};

// There is no other engine: the caller hears so at once.
TEST(OddHead, IsNoAnswer) {
  for (const OddHead &row : odd_heads()) {
    OddHeadWorld w;
    w.odd = row.text;
    w.add_odd_engine("plain");
    w.add_odd_engine("model");
    w.start();
    for (const char *path : paths) {
      auto begun = Clock::now();
      std::string in = w.send(path);
      EXPECT_TRUE(World::status_of(in) == 502 || World::status_of(in) == 503)
          << row.what << " " << path << ": " << in;
      EXPECT_EQ(in.find("odd"), in.npos) << row.what << " " << path;
      EXPECT_LE(ms_since(begun), ANSWERED_MAX_MS) << row.what << " " << path;
    }
    EXPECT_GE(w.odd_answers, 2) << row.what;
    EXPECT_TRUE(w.until([&] {
      return w.log.find(" why=engine_lost") != w.log.npos;
    })) << row.what;
  }
}

// With a sound engine beside it, requests that may be repeated are served.
TEST(OddHead, CostsNoRequestThatMayBeRepeated) {
  for (const OddHead &row : odd_heads()) {
    OddHeadWorld w;
    w.odd = row.text;
    for (const char *service : {"plain", "model"}) {
      w.add_odd_engine(service);
      w.add_sound_engine(service);
    }
    w.start();
    for (int i = 0; i < 4; i++)
      for (const char *path : {"/safe/x", "/gen/x"}) {
        auto begun = Clock::now();
        std::string in = w.send(path);
        EXPECT_EQ(World::status_of(in), 200) << row.what << " " << path;
        EXPECT_NE(in.find("sound"), in.npos) << row.what << " " << path;
        EXPECT_EQ(in.find("odd"), in.npos) << row.what << " " << path;
        EXPECT_LE(ms_since(begun), ANSWERED_MAX_MS) << row.what;
      }
  }
}

// What an engine does with the attempts at one request, in their order.
enum class Does {
  ODD,         // answers with status 000
  INTERIM_ODD, // the same, behind an interim answer
  BREAKS_OFF,  // sends the first event of a stream
  HOLDS,       // answers soundly once the next attempt has come
  SOUND
};

// Whichever way a request has come to an engine that answers with status 000,
// its caller gets nothing of that.
TEST(OddHead, WithStatusZeroIsNoAnswerOnAnyPath) {
  struct PathRow {
    const char *what, *path, *fields;
    std::vector<Does> attempts; // the last one repeats
    std::string whole;          // what the caller gets; empty: no success
  } rows[] = {
      {"a response", "/safe/x", "", {Does::ODD, Does::SOUND}, "sound"},
      {"that runs once", "/once/x", "", {Does::ODD, Does::SOUND}, ""},
      {"a stream", "/gen/x", "", {Does::ODD, Does::SOUND}, "id: 1"},
      {"all streams", "/gen/x", "", {Does::ODD}, ""},
      {"behind an interim one", "/safe/x", "", {Does::INTERIM_ODD}, ""},
      {"a stream behind an interim one",
       "/gen/x",
       "",
       {Does::INTERIM_ODD, Does::SOUND},
       "id: 1"},
      {"a stream that its caller resumes",
       "/gen/x",
       "Last-Event-Id: 1\r\nResumes: q0\r\n",
       {Does::SOUND, Does::ODD},
       ""},
      {"a stream that goes on",
       "/gen/x",
       "",
       {Does::BREAKS_OFF, Does::ODD, Does::SOUND},
       "id: 1"},
      {"a hedge", "/gen/x", "", {Does::HOLDS, Does::ODD}, "id: 1"},
  };
  const std::string STREAM = "Content-Type: text/event-stream\r\n";
  for (const PathRow &row : rows) {
    World w;
    size_t attempts = 0;
    Conn *held = nullptr;
    const bool stream = strcmp(row.path, "/gen/x") == 0;
    auto sound = [&] (const std::string &id) {
      return answer(200,
                    "X-Engine-Seal: s\r\nX-Attempt-Id: " + id + "\r\n" +
                        (stream ? STREAM : ""),
                    stream ? "id: 1\ndata: x\n\n" : "sound");
    };
    for (const char *id : {"i-1", "i-2", "i-3"})
      w.engine(id, stream ? "model" : "plain",
               w.listen([&] (Conn &c, const Request &r) {
                 std::string at = r.field("X-Attempt-Id");
                 std::string odd = replaced(with_status("000"), "@", at);
                 size_t i = std::min(attempts++, row.attempts.size() - 1);
                 if (held != nullptr) held->send(sound(at));
                 held = nullptr;
                 switch (row.attempts[i]) {
                   case Does::ODD: c.send(odd); break;
                   case Does::INTERIM_ODD:
                     c.send("HTTP/1.1 103 X\r\nX-Foo: x\r\n\r\n" + odd);
                     break;
                   case Does::BREAKS_OFF:
                     c.send("HTTP/1.1 200 X\r\nX-Engine-Seal: s\r\n"
                            "X-Attempt-Id: " +
                            at + "\r\n" + STREAM +
                            "Transfer-Encoding: chunked\r\n\r\n"
                            "f\r\nid: 1\ndata: x\n\n\r\n");
                     c.close();
                     break;
                   case Does::HOLDS: held = &c; break;
                   case Does::SOUND: c.send(sound(at)); break;
                 }
               }));
    w.start();
    if (row.fields[0] != '\0') w.call(World::ask(row.path, "q0"));
    std::string in = w.call(World::ask(row.path, "q1", "", row.fields));
    EXPECT_EQ(in.find("odd"), in.npos) << row.what << ": " << in;
    EXPECT_NE(World::status_of(in), 0) << row.what << ": " << in;
    EXPECT_EQ(World::status_of(in) == 200, !row.whole.empty())
        << row.what << ": " << in;
    EXPECT_NE(in.find(row.whole), in.npos) << row.what << ": " << in;
    size_t least = std::min(row.attempts.size(), (size_t)2);
    EXPECT_GE(attempts, stream ? least : 1) << row.what;
  }
}

// Lines have no field that an engine or a caller wrote.
TEST(OddHead, IsCountedAndLogged) {
  struct Fault {
    const char *what, *reason, *field;
    std::string text;
  } faults[] = {{"a status", "status", "-", with_status("000")},
                {"a name", "name", "X%20Foo", with_line("X Foo: odd", 1)}};
  for (const Fault &row : faults) {
    OddHeadWorld w;
    w.odd = row.text;
    w.add_odd_engine("plain");
    w.start();
    w.call(World::ask("/once/x", "q why=odd"));
    std::string page =
        w.fetch(w.metrics, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_NE(page.find("malformed_heads_total{reason=\"" +
                        std::string(row.reason) + "\"} 1\n"),
              page.npos)
        << row.what;
    EXPECT_TRUE(w.until([&] {
      return w.log.find("engine=odd-plain id=q%20why%3Dodd field=" +
                        std::string(row.field) + " outcome=dropped why=" +
                        row.reason + "\n") != w.log.npos;
    })) << row.what
        << w.log;
    EXPECT_EQ(w.log.find("why=odd"), w.log.npos) << row.what;
  }
}

// What HTTP has is passed on: interim answers, all characters of a name, and
// values on several lines.
TEST(OddHead, SoundHeadsPass) {
  struct SoundHead {
    const char *what;
    std::string before, line, value; // of "X-Foo"
  } rows[] = {
      {"interim answers",
       "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\nLink: a\r\n\r\n", "X-Foo: a",
       "a"},
      {"an interim answer of length 0",
       "HTTP/1.1 102 X\r\nContent-Length: 0\r\n\r\n", "X-Foo: a", "a"},
      {"all characters of names", "", "X!#$%&'*+-.^_`|~09aZ: b\r\nX-Foo: a",
       "a"},
      {"a value of two lines", "", "X-Foo: a\r\n b", "a b"},
      {"no blank before the value", "", "X-Foo:a", "a"},
  };
  OddHeadWorld w;
  w.add_odd_engine("plain");
  w.start();
  for (const SoundHead &row : rows) {
    w.odd = row.before + with_line(row.line, 1);
    std::string in = w.send("/once/x");
    EXPECT_EQ(World::status_of(in), 200) << row.what;
    EXPECT_NE(in.find("X-Foo: " + row.value + "\r\n"), in.npos)
        << row.what << in;
  }
}

// An engine that closes within the head of its answer, at any byte, also on a
// connection that was used before and behind an interim answer.
TEST(OddHead, ThatIsCutIsNoAnswer) {
  const std::string whole = with_line("X-Foo: a", 1);
  const std::string head = whole.substr(0, whole.find("\r\n\r\n") + 3);
  for (const char *before : {"", "HTTP/1.1 100 X\r\n\r\n"})
    for (size_t cut = 0; cut <= head.size(); cut++) {
      OddHeadWorld w;
      w.engine("i-1", "plain", w.listen([&] (Conn &c, const Request &r) {
        if (r.field("X-Attempt-Id") == "first") {
          c.send(
              answer(200, "X-Engine-Seal: s\r\nX-Attempt-Id: first\r\n", ""));
          return;
        }
        c.send(before +
               replaced(head, "@", r.field("X-Attempt-Id")).substr(0, cut));
        c.close();
      }));
      w.start();
      EXPECT_EQ(World::status_of(w.call(World::ask("/once/x", "first"))),
                200);
      std::string in = w.send("/once/x");
      EXPECT_EQ(World::status_of(in), 502) << before << cut << in;
      in = w.send("/safe/x");
      EXPECT_TRUE(World::status_of(in) == 502 || World::status_of(in) == 503)
          << before << cut << in;
    }
}

// {== Requests =============================================================

TEST(OddHead, OfARequestIsRefused) {
  OddHeadWorld w;
  w.add_recording_engine();
  w.start();
  for (const char *line :
       {"X Foo: odd", "X-Foo : odd", "X-Foo\t: odd", "X-Tenant : odd",
        "Authorization : Token odd", "X-Attempt-Id : odd",
        "X-Expect-Instance : odd", "X-Deadline-Ms : 9", "Content-Length : 9",
        "Transfer-Encoding : chunked", "Host : odd.example",
        "Connection : close", "X\x01: odd", "X(odd): 1", ": odd"})
    for (const char *path : paths) {
      if (strcmp(path, "/gen/x") == 0) continue;
      std::string in =
          w.call(World::ask(path, "q", "body", std::string(line) + "\r\n"));
      EXPECT_EQ(World::status_of(in), 400) << line;
    }
  std::string first = World::ask("/safe/x", "q");
  first.insert(first.find("\r\n") + 2, " X-Foo: odd\r\n");
  EXPECT_EQ(World::status_of(w.call(first)), 400);
  EXPECT_EQ(w.heads, "");
  EXPECT_EQ(
      World::status_of(w.call(World::ask("/safe/x", "q", "", "X!#~: 1\r\n"))),
      200);
  EXPECT_NE(w.heads.find("\r\nX!#~: 1\r\n"), w.heads.npos);
}

// Fields of a trailer would stand beside those that the gateway sets.
TEST(OddHead, FieldsOfATrailerAreNotPassedOn) {
  OddHeadWorld w;
  w.add_recording_engine();
  w.start();
  std::string in = w.call(
      "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: q1\r\n"
      "X-Deadline-Ms: 3000\r\nAuthorization: Token key-w1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
      "X-Odd: 1\r\nX Odd: 1\r\nX-Attempt-Id: odd\r\n\r\n");
  EXPECT_EQ(World::status_of(in), 200);
  EXPECT_NE(w.heads, "");
  EXPECT_EQ(w.heads.find("dd"), w.heads.npos) << w.heads;
}

// }==

// The store's answers are read by the same rules.
TEST(OddHead, OfTheStoreIsNoAnswer) {
  OddHeadWorld w;
  w.add_sound_engine("plain");
  Handler sound = w.store->handler;
  int left = 6;
  w.store->handler = [&] (Conn &c, const Request &r) {
    if (left > 0 && r.line().find("kv-range") != std::string::npos) {
      const char *odd[] = {"HTTP/1.1 000 X\r\n",
                           "HTTP/1.1 200 X\r\nX : 1\r\n",
                           "HTTP/1.1 600 X\r\n"};
      std::string body = "{\"items\":[],\"more\":false,\"at\":10}";
      c.send(odd[--left % 3] +
             ("Content-Length: " + std::to_string(body.size())) + "\r\n\r\n" +
             body);
      return;
    }
    sound(c, r);
  };
  w.start();
  EXPECT_EQ(left, 0);
  EXPECT_TRUE(
      w.until([&] { return World::status_of(w.send("/safe/x")) == 200; }));
}

} // namespace
