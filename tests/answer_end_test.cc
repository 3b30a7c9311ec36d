// answer_end_test.cc - how a caller's connection ends tells a whole answer
// from one that was cut
#include "gateway_world.h"

namespace {

// How an engine frames the body of its answer.
enum class Framing { NONE, LENGTH, CHUNKS };

std::string head_of (const Request &r, const char *fields) {
  return "HTTP/1.1 200 X\r\nX-Attempt-Id: " + r.field("X-Attempt-Id") +
         "\r\nX-Engine-Seal: s\r\n" + fields + "\r\n";
}

std::string body_of (const std::string &in) {
  size_t end = in.find("\r\n\r\n");
  return end == in.npos ? "" : in.substr(end + 4);
}

// Guards against whole answers that a reset takes from slow callers: the
// gateway closed connections while input on them was unread.
TEST(AnswerEnd, AWholeAnswerReachesASlowCallerWithUnreadInput) {
  struct Row {
    const char *what;
    Framing framing;
    bool drain;        // the gateway is told to stop first
    size_t surplus;    // bytes that the caller sends behind its request
    const char *close; // header line of the request
  } rows[] = {
      {"unframed", Framing::NONE, false, 0, ""},
      {"unframed, unread input", Framing::NONE, false, 600000, ""},
      {"unframed, at a drain", Framing::NONE, true, 600000, ""},
      {"length, unread input", Framing::LENGTH, false, 600000,
       "Connection: close\r\n"},
      {"chunks, unread input", Framing::CHUNKS, false, 600000,
       "Connection: close\r\n"},
      {"length, at a drain", Framing::LENGTH, true, 600000, ""},
  };
  const std::string body(3000000, 'x');
  for (const Row &row : rows) {
    World w;
    Conn *at_engine = nullptr;
    w.engine("i-1", "plain",
             w.listen([&] (Conn &c, const Request &r) { at_engine = &c; }));
    w.start();
    int fd = socket(AF_INET, SOCK_STREAM, 0), size = 20000;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
    sockaddr_in a = loopback(w.callers);
    ASSERT_EQ(connect(fd, (sockaddr *)&a, sizeof a), 0);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    std::string text = World::ask("/once/x", "id1", "", row.close);
    send(fd, text.data(), text.size(), MSG_NOSIGNAL);
    ASSERT_TRUE(w.until([&] { return at_engine != nullptr; }));
    std::string surplus(row.surplus, 'y');
    send(fd, surplus.data(), surplus.size(), MSG_NOSIGNAL);
    if (row.drain) kill(w.pid, SIGTERM);
    Request r;
    r.head = "\r\nX-Attempt-Id: id1\r\n";
    char chunk[16];
    snprintf(chunk, sizeof chunk, "%zx\r\n", body.size());
    std::string rest;
    switch (row.framing) {
      case Framing::NONE: rest = head_of(r, "") + body; break;
      case Framing::LENGTH:
        rest = head_of(r, ("Content-Length: " + std::to_string(body.size()) +
                           "\r\n")
                              .c_str()) +
               body;
        break;
      case Framing::CHUNKS:
        rest = head_of(r, "Transfer-Encoding: chunked\r\n") + chunk + body +
               "\r\n0\r\n\r\n";
        break;
    }
    fcntl(at_engine->fd, F_SETFL, O_NONBLOCK);
    std::string in;
    ssize_t n = 1;
    bool reset = false;
    for (size_t at = 0; n != 0 && !reset;) {
      if (at < rest.size()) {
        ssize_t sent =
            send(at_engine->fd, &rest[at], rest.size() - at, MSG_NOSIGNAL);
        if (sent > 0) at += (size_t)sent;
        if (at == rest.size()) at_engine->close();
      }
      w.pump();
      char bytes[40000];
      for (int i = 0; i < 4; i++) {
        n = recv(fd, bytes, sizeof bytes, 0);
        if (n <= 0) break;
        in.append(bytes, (size_t)n);
      }
      reset = n < 0 && errno != EAGAIN;
    }
    close(fd);
    EXPECT_FALSE(reset) << row.what;
    EXPECT_GE(body_of(in).size(), body.size()) << row.what;
  }
}

// A refusal that comes before the whole request was read arrives, too.
TEST(AnswerEnd, ARefusalOfALongBodyReachesItsCaller) {
  World w;
  w.engine("i-1", "plain", w.listen([] (Conn &, const Request &) {}));
  w.start();
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in a = loopback(w.callers);
  ASSERT_EQ(connect(fd, (sockaddr *)&a, sizeof a), 0);
  std::string text = World::ask("/once/x", "id1", std::string(4000000, 'x'));
  size_t sent = 0;
  for (ssize_t n = 1; sent < text.size() && n > 0;) {
    n = send(fd, &text[sent], text.size() - sent, MSG_NOSIGNAL);
    if (n > 0) sent += (size_t)n;
  }
  EXPECT_EQ(sent, text.size()) << "the connection was reset midway";
  std::string in;
  char bytes[4096];
  ssize_t n;
  shutdown(fd, SHUT_WR);
  while ((n = recv(fd, bytes, sizeof bytes, 0)) > 0)
    in.append(bytes, (size_t)n);
  close(fd);
  EXPECT_EQ(n, 0) << "a reset";
  EXPECT_EQ(World::status_of(in), 413);
}

} // namespace
