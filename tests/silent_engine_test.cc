// silent_engine_test.cc - engines that send nothing for a second and go on
#include "gateway_world.h"

#include <chrono>

namespace {

using Clock = std::chrono::steady_clock;

std::string event (int id) {
  return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

std::string chunk (const std::string &text) {
  char size[16];
  snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

std::string head_of (const Request &r, const char *fields) {
  return "HTTP/1.1 200 X\r\nX-Attempt-Id: " + r.field("X-Attempt-Id") +
         "\r\nX-Engine-Seal: s\r\n" + fields + "\r\n";
}

const char *const stream_fields =
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";

// Of silence behind the end of the other attempt.
const int AFTER_MS = 300;

void pump_for (World &w, int ms) {
  auto end = Clock::now() + std::chrono::milliseconds(ms);
  while (Clock::now() < end) w.pump();
}

// The ids of the whole events in an answer's body, in order.
std::vector<int> ids_of (const std::string &in) {
  std::vector<int> ids;
  size_t at = in.find("\r\n\r\n");
  while (at != in.npos && (at = in.find("id: ", at)) != in.npos) {
    if (in.find("\n\n", at) == in.npos) break;
    ids.push_back(atoi(in.c_str() + at + 4));
    at += 4;
  }
  return ids;
}

// What another engine does with the request.
enum class Other {
  NONE,
  ANSWERS,
  REJECTS,
  RESETS,
  IS_SILENT,
  FALLS_SILENT_AND_RESETS,
  REFUSES
};

// Guards against the loss of answers whose engines fall silent and go on: the
// attempt was cancelled before it was certain that another one could be made.
TEST(SilentEngine, AStreamOutlivesASecondOfSilence) {
  struct Row {
    const char *what;
    Other other;
    bool budget; // for retries
    int before;  // events before the silence
    int silence; // ms, where no other engine gets it
  } rows[] = {
      {"no budget", Other::ANSWERS, false, 2, 1100},
      {"no budget, before the first event", Other::ANSWERS, false, 0, 2600},
      {"no other engine", Other::NONE, true, 2, 1100},
      {"the other engine rejects it", Other::REJECTS, true, 2, 0},
      {"the other engine breaks off", Other::RESETS, true, 2, 0},
      {"the other engine is silent, too", Other::IS_SILENT, true, 2, 0},
      {"the other engine is silent, too, and crashes",
       Other::FALLS_SILENT_AND_RESETS, true, 2, 0},
      {"the other engine is silent, too, and crashes; before the first event",
       Other::FALLS_SILENT_AND_RESETS, true, 0, 0},
      {"the other engine refuses connections", Other::REFUSES, true, 2, 1100},
      {"the other engine goes on with it", Other::ANSWERS, true, 2, 0},
      {"the other engine begins it", Other::ANSWERS, true, 0, 0},
  };
  for (const Row &row : rows) {
    World w;
    if (!row.budget) w.further = ",\"retry\":{\"ratio\":0,\"slack\":0}";
    Conn *silent = nullptr, *second = nullptr;
    int others = 0;
    auto begin = [&] (Conn &c, const Request &r) {
      silent = &c;
      c.send(head_of(r, stream_fields));
      for (int id = 1; id <= row.before; id++) c.send(chunk(event(id)));
    };
    auto other = [&] (Conn &c, const Request &r) {
      std::string last = r.field("Last-Event-Id");
      others++;
      second = &c;
      switch (row.other) {
        case Other::NONE:
        case Other::REFUSES:
        case Other::FALLS_SILENT_AND_RESETS:
        case Other::IS_SILENT: break;
        case Other::ANSWERS:
          c.send(head_of(r, stream_fields));
          for (int id = last.empty() ? 1 : atoi(last.c_str()) + 1; id <= 5;
               id++)
            c.send(chunk(event(id)));
          c.send("0\r\n\r\n");
          break;
        case Other::REJECTS:
          c.send(answer(503,
                        "X-Not-Executed: 1\r\nX-Attempt-Id: " +
                            r.field("X-Attempt-Id") + "\r\n",
                        ""));
          break;
        case Other::RESETS: c.abort(); break;
      }
    };
    // The engine that gets the request first is the one that falls silent.
    auto either = [&] (Conn &c, const Request &r) {
      if (silent == nullptr)
        begin(c, r);
      else
        other(c, r);
    };
    std::list<Listener *> engines;
    for (int i = 0; i < (row.other == Other::NONE ? 1 : 2); i++) {
      engines.push_back(w.listen(either));
      w.engine("i-" + std::to_string(i), "model", engines.back());
    }
    w.start();
    Conn *caller = w.connect(w.callers);
    std::string text = World::ask("/gen/x", "id1");
    text.replace(text.find("Ms: 3000"), 8, "Ms: 8000");
    caller->send(text);
    ASSERT_TRUE(w.until([&] {
      return silent != nullptr &&
             ids_of(caller->in).size() == (size_t)row.before;
    })) << row.what;
    if (row.other == Other::REFUSES)
      for (Listener *l : engines)
        if (silent->listener != l) shutdown(l->fd, SHUT_RDWR);
    bool goes_elsewhere =
        row.other != Other::NONE && row.other != Other::REFUSES && row.budget;
    if (goes_elsewhere) {
      EXPECT_TRUE(w.until([&] { return others > 0; })) << row.what;
    } else {
      pump_for(w, row.silence);
    }
    if (row.other != Other::ANSWERS && row.other != Other::IS_SILENT &&
        goes_elsewhere)
      pump_for(w, AFTER_MS);
    if (row.other == Other::FALLS_SILENT_AND_RESETS && second->fd >= 0)
      second->abort();
    if (silent->fd >= 0) {
      for (int id = row.before + 1; id <= 5; id++)
        silent->send(chunk(event(id)));
      silent->send("0\r\n\r\n");
    }
    w.until([&] { return caller->closed || World::is_complete(caller->in); });
    EXPECT_EQ(ids_of(caller->in), (std::vector<int>{1, 2, 3, 4, 5}))
        << row.what << ": " << caller->in << w.log;
    EXPECT_TRUE(World::is_complete(caller->in)) << row.what;
    EXPECT_EQ(others > 0, goes_elsewhere) << row.what;
  }
}

} // namespace
