// silent_world.h - a gateway with engines that fall silent in their answers
#ifndef tests_silent_world_h
#define tests_silent_world_h

#include "gateway_world.h"

#include <chrono>
#include <memory>

namespace {

using Clock = std::chrono::steady_clock;

int ms_since (Clock::time_point t) {
  return (int)std::chrono::duration_cast<std::chrono::milliseconds>(
             Clock::now() - t)
      .count();
}

// {== Answers ==============================================================

enum class Framing { LENGTH, CHUNKED, UNFRAMED };
enum class Kind { RESUMABLE, STREAM_ONCE, SAFE, ONCE };

// Where an answer's engine falls silent.
enum class Place {
  BEFORE_HEAD,
  IN_HEAD,
  AFTER_HEAD,
  IN_FIRST_EVENT,
  AFTER_TWO,     // events, chunks
  IN_THIRD,      // event, chunk
  IN_CHUNK_SIZE, // after the third; without chunks: its start
  BEFORE_END     // before the last bytes
};

const Place places[] = {Place::BEFORE_HEAD,   Place::IN_HEAD,
                        Place::AFTER_HEAD,    Place::IN_FIRST_EVENT,
                        Place::AFTER_TWO,     Place::IN_THIRD,
                        Place::IN_CHUNK_SIZE, Place::BEFORE_END};

const int EVENTS = 6;

bool is_stream (Kind kind) {
  return kind == Kind::RESUMABLE || kind == Kind::STREAM_ONCE;
}
bool is_repeatable (Kind kind) {
  return kind == Kind::RESUMABLE || kind == Kind::SAFE;
}

std::string event (int id) {
  return "id: " + std::to_string(id) + "\ndata: some text of an event\n\n";
}

// The parts of the body; those of a stream are events.
std::vector<std::string> parts_of (Kind kind, const std::string &id,
                                   int last) {
  std::vector<std::string> parts;
  for (int i = last + 1; i <= EVENTS; i++)
    parts.push_back(is_stream(kind) ? event(i)
                                    : id + " part " + std::to_string(i));
  return parts;
}

std::string joined (const std::vector<std::string> &parts) {
  std::string all;
  for (const std::string &p : parts) all += p;
  return all;
}

// The bytes of an answer, and the offsets of places in it.
struct Answer {
  std::string text;
  size_t at[(int)Place::BEFORE_END + 1] = {0};
  size_t &place (Place p) {
    return at[(int)p];
  }
};

Answer answer_of (Kind kind, Framing framing, const std::string &id,
                  int last = 0) {
  Answer a;
  std::vector<std::string> parts = parts_of(kind, id, last);
  std::string head =
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Engine-Seal: s\r\n";
  if (is_stream(kind)) head += "Content-Type: text/event-stream\r\n";
  if (framing == Framing::LENGTH)
    head +=
        "Content-Length: " + std::to_string(joined(parts).size()) + "\r\n";
  if (framing == Framing::CHUNKED) head += "Transfer-Encoding: chunked\r\n";
  if (framing == Framing::UNFRAMED) head += "Connection: close\r\n";
  a.text = head + "\r\n";
  a.place(Place::IN_HEAD) = 30;
  a.place(Place::AFTER_HEAD) = a.text.size();
  for (size_t i = 0; i < parts.size(); i++) {
    char size[16] = "";
    if (framing == Framing::CHUNKED)
      snprintf(size, sizeof size, "%zx\r\n", parts[i].size());
    if (i == 2) a.place(Place::AFTER_TWO) = a.text.size();
    if (i == 3) a.place(Place::IN_CHUNK_SIZE) = a.text.size() + 1;
    a.text += size;
    if (i == 0) a.place(Place::IN_FIRST_EVENT) = a.text.size() + 5;
    if (i == 2) a.place(Place::IN_THIRD) = a.text.size() + 9;
    a.text += parts[i];
    if (framing == Framing::CHUNKED) a.text += "\r\n";
  }
  if (framing == Framing::CHUNKED) a.text += "0\r\n\r\n";
  a.place(Place::BEFORE_END) = a.text.size() - 2;
  return a;
}

// }==

// {== Requests =============================================================

struct Stop {
  Place place;
  int ms;
};

enum class Other { NONE, ANSWERS, REJECTS, RESETS, SILENT };
enum class End { GOES_ON, RESETS };

struct Row {
  Kind kind;
  Framing framing;
  std::vector<Stop> stops; // of the first engine
  Other other = Other::ANSWERS;
  End end = End::GOES_ON;             // behind the last of the stops
  std::vector<Stop> other_stops = {}; // of the other engine, if it answers
  int trickle = 0; // ms between single bytes in the pauses; 0: none come
  int engines = 2; // of its service; one with Other::NONE
  End other_end = End::GOES_ON; // once; then it answers

  std::string name () const {
    std::string text = "kind " + std::to_string((int)kind) + " framing " +
                       std::to_string((int)framing) + " other " +
                       std::to_string((int)other) + " end " +
                       std::to_string((int)end);
    for (const Stop &s : stops)
      text += " " + std::to_string((int)s.place) + "/" +
              std::to_string(s.ms) + "ms";
    return text;
  }
};

// An engine that sends an answer with pauses.
struct Sender {
  Conn *conn;
  Answer answer;
  std::vector<Stop> stops;
  End end;
  Framing framing;
  size_t sent = 0, stop = 0;
  Clock::time_point since = Clock::now(); // of the pause
  bool over = false;
  int trickle = 0;
  Clock::time_point byte_at = Clock::now();

  void send_byte () {
    if (trickle == 0 || ms_since(byte_at) < trickle) return;
    if (sent + 1 >= answer.text.size()) return;
    conn->send(answer.text.substr(sent++, 1));
    byte_at = Clock::now();
  }
  void step () {
    if (over) return;
    if (conn->fd < 0) over = true;
    while (!over) {
      size_t to = stop < stops.size() ? answer.place(stops[stop].place)
                                      : answer.text.size();
      if (sent < to) {
        conn->send(answer.text.substr(sent, to - sent));
        sent = to;
        since = Clock::now();
      }
      if (stop == stops.size()) {
        over = true;
        if (framing == Framing::UNFRAMED) conn->close();
        return;
      }
      if (ms_since(since) < stops[stop].ms) {
        send_byte();
        return;
      }
      stop++;
      since = Clock::now();
      if (stop < stops.size() || end == End::GOES_ON) continue;
      over = true;
      conn->abort();
    }
  }
};

// One gateway; each row has a route, a service and engines of its own.
struct SilentWorld : World {
  struct Case {
    Row row;
    std::string id;
    Conn *caller = nullptr;
    int arrivals = 0;
    Conn *first = nullptr, *second = nullptr; // of engines
    Clock::time_point second_at;
    int overlap = 0; // ms of two engines at work
    bool overlapping = false;
  };
  std::vector<std::unique_ptr<Case>> cases;
  std::list<Sender> senders;

  explicit SilentWorld(const std::vector<Row> &rows) {
    std::string route_texts, service_texts;
    further = ",\"retry\":{\"ratio\":1,\"slack\":1000}";
    for (const Row &row : rows) {
      cases.emplace_back(new Case);
      Case &c = *cases.back();
      c.row = row;
      std::string n = std::to_string(cases.size());
      c.id = "id" + n;
      route_texts += route_text(row.kind, n);
      service_texts += "{\"name\":\"s" + n + "\",\"max_conns\":50" +
                       (is_stream(row.kind)
                            ? ",\"engine\":{\"slots\":8,\"kv_tokens\":90000,"
                              "\"kv_token_bytes\":35000,\"link_mbps\":"
                              "1000000,\"moves\":true}},"
                            : "},");
      for (int i = 0; i < (row.other == Other::NONE ? 1 : row.engines); i++)
        engine("i" + n + "-" + std::to_string(i), "s" + n,
               listen([this, &c] (Conn &conn, const Request &r) {
                 serve(c, conn, r);
               }));
    }
    std::string text = config(8, "key-w1", route_texts);
    text.insert(text.find("\"services\":[") + 12, service_texts);
    put("op/config", text);
    start();
  }
  static std::string route_text (Kind kind, const std::string &n) {
    const char *name = is_stream(kind)      ? "stream"
                       : kind == Kind::SAFE ? "safe"
                                            : "unsafe";
    return ",{\"name\":\"r" + n +
           "\",\"host\":\"h.example\",\"path_prefix\":\"/r" + n +
           "/\",\"route_kind\":\"" + name +
           "\",\"timeout_ms\":9000,\"goal_ms\":150,\"resumable\":" +
           (kind == Kind::RESUMABLE ? "true" : "false") +
           ",\"gap_aim_ms\":100,\"service\":\"s" + n +
           "\",\"max_attempts\":3}";
  }
  void serve (Case &c, Conn &conn, const Request &r) {
    const Row &row = c.row;
    int last = atoi(r.field("Last-Event-Id").c_str());
    Answer whole = answer_of(row.kind, row.framing, c.id, last);
    if (++c.arrivals == 1) {
      c.first = &conn;
      senders.push_back({&conn, whole, row.stops, row.end, row.framing});
      senders.back().trickle = row.trickle;
      return;
    }
    c.second = &conn;
    c.second_at = Clock::now();
    c.overlapping = c.first->fd >= 0;
    switch (row.other) {
      case Other::NONE:
      case Other::ANSWERS:
        senders.push_back(
            {&conn, whole,
             c.arrivals == 2 ? row.other_stops : std::vector<Stop>{},
             c.arrivals == 2 ? row.other_end : End::GOES_ON, row.framing});
        return;
      case Other::REJECTS:
        conn.send(answer(
            503, "X-Not-Executed: 1\r\nX-Attempt-Id: " + c.id + "\r\n", ""));
        return;
      case Other::RESETS: conn.abort(); return;
      case Other::SILENT:
        senders.push_back({&conn,
                           whole,
                           {{Place::BEFORE_HEAD, row.stops[0].ms}},
                           End::GOES_ON,
                           row.framing});
        return;
    }
  }
  // Whether an engine works on the request of a connection.
  bool works (const Conn *conn) const {
    for (const Sender &s : senders)
      if (s.conn == conn && !s.over) return conn->fd >= 0;
    return false;
  }
  void step () {
    pump();
    for (Sender &s : senders) s.step();
    for (auto &c : cases) {
      if (!c->overlapping) continue;
      c->overlap = ms_since(c->second_at);
      c->overlapping = works(c->first) && works(c->second);
    }
  }
  void ask (Case &c) {
    c.caller = connect(callers);
    std::string text = World::ask("/r" + c.id.substr(2) + "/x", c.id);
    text.replace(text.find("Ms: 3000"), 8, "Ms: 8000");
    c.caller->send(text);
  }
  // The body so far without its chunks; `whole`: it is complete.
  static std::string body_of (const Conn &c, bool &whole) {
    const std::string &in = c.in;
    size_t at = in.find("\r\n\r\n");
    whole = false;
    if (at == in.npos) return "";
    at += 4;
    size_t length = in.find("Content-Length: ");
    std::string body;
    if (length < at) {
      body = in.substr(at);
      whole = body.size() == (size_t)atol(&in[length + 16]);
      return body;
    }
    if (in.find("chunked") > at) {
      whole = c.closed && !c.reset;
      return in.substr(at);
    }
    for (;;) {
      size_t end = in.find("\r\n", at);
      if (end == in.npos) return body;
      size_t n = strtoul(&in[at], nullptr, 16);
      if (in.size() < end + 4 + n) return body;
      whole = n == 0;
      if (whole) return body;
      body += in.substr(end + 2, n);
      at = end + 4 + n;
    }
  }
  static bool is_over (const Conn &c) {
    bool whole;
    body_of(c, whole);
    return whole || c.closed;
  }
  bool await (const std::function<bool()> &cond, int ms = 9500) {
    auto begun = Clock::now();
    while (!cond()) {
      if (ms_since(begun) > ms) return false;
      step();
    }
    return true;
  }
  void await_all () {
    await([&] {
      for (auto &c : cases)
        if (!is_over(*c->caller)) return false;
      return true;
    });
  }
  std::string lines_of (const Case &c) const {
    std::string lines;
    for (size_t at = 0; at < log.size();) {
      size_t end = log.find('\n', at);
      if (end == log.npos) end = log.size();
      std::string line = log.substr(at, end - at);
      if (line.find(c.id + " ") != line.npos ||
          line.find("route=r" + c.id.substr(2) + " ") != line.npos)
        lines += line + "\n";
      at = end + 1;
    }
    return lines;
  }
};

const int OVERLAP_MAX_MS = 400; // TWICE, of streams and safe requests

void expect_true_answer (SilentWorld &w, SilentWorld::Case &c) {
  bool whole;
  const Row &row = c.row;
  std::string body = SilentWorld::body_of(*c.caller, whole);
  std::string expected = joined(parts_of(row.kind, c.id, 0));
  int status = World::status_of(c.caller->in);
  std::string what = row.name() + ", " + std::to_string(c.arrivals) +
                     " arrivals, got " + c.caller->in + "\n" + w.lines_of(c);
  EXPECT_TRUE(c.caller->closed || whole) << what << "no answer";
  if (!is_repeatable(row.kind)) {
    EXPECT_EQ(c.arrivals, 1) << what;
  }
  EXPECT_LE(c.overlap, OVERLAP_MAX_MS) << what;
  EXPECT_LE(c.arrivals, 3) << what;
  bool may_fail = row.end == End::RESETS &&
                  (!is_repeatable(row.kind) || row.other != Other::ANSWERS);
  if (may_fail && status != 200) {
    EXPECT_EQ(status, 502) << what;
    return;
  }
  EXPECT_EQ(status, 200) << what;
  if (may_fail && !whole) {
    EXPECT_EQ(expected.compare(0, body.size(), body), 0) << what;
    return;
  }
  EXPECT_TRUE(whole) << what;
  EXPECT_EQ(body, expected) << what;
}

inline void play (const std::vector<Row> &rows) {
  SilentWorld w(rows);
  // Engines are known once each service has an answer for its first request;
  // the start waits for the first list of engines.
  for (auto &c : w.cases) w.ask(*c);
  w.await_all();
  for (auto &c : w.cases) expect_true_answer(w, *c);
}

// }==

} // namespace

#endif
