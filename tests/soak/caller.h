// caller.h - a caller's connection, and what it makes of an answer
#ifndef tests_soak_caller_h
#define tests_soak_caller_h

#include "process.h"

namespace soak {

struct Caller {
  Conn *conn = nullptr;
  Gateway *gateway = nullptr;
  std::string id;
  Kind kind = Kind::Once;
  bool busy = false;
  bool repeats = false; // a harmless body that comes again and again
  long leave_at = 0, next_at = 0;
};

struct Answer {
  int status = 0;
  bool whole = false, events = false, closes = false;
  std::string seal, body, engine;
  bool leaving = false; // its engine says so
};

// As much of an answer as has come.
Answer read_answer (const Conn &c) {
  Answer a;
  size_t end = c.in.find("\r\n\r\n");
  if (end == std::string::npos) return a;
  Request head;
  head.head = c.in.substr(0, end + 2);
  a.status = atoi(c.in.c_str() + 9);
  a.seal = head.field("X-Engine-Seal");
  a.events = head.field("Content-Type") == "text/event-stream";
  a.engine = head.field("X-Engine");
  a.leaving = head.field("Server-Leaving") == "1";
  a.closes = head.field("Connection") == "close";
  size_t at = end + 4;
  if (head.field("Transfer-Encoding") == "chunked") {
    while (true) {
      size_t line = c.in.find("\r\n", at);
      if (line == std::string::npos) return a;
      size_t size = std::stoul(c.in.substr(at, line - at), nullptr, 16);
      at = line + 2;
      a.whole = size == 0 && c.in.size() >= at + 2;
      if (size == 0) return a;
      a.body += c.in.substr(at, size);
      if (c.in.size() < at + size + 2) return a;
      at += size + 2;
    }
  }
  std::string length = head.field("Content-Length");
  a.body = c.in.substr(at);
  a.whole = length.empty() ? c.closed : a.body.size() >= std::stoul(length);
  if (!length.empty()) a.body = a.body.substr(0, std::stoul(length));
  return a;
}

} // namespace soak

#endif
