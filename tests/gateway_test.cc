// gateway_test.cc - a real gateway between scripted callers, engines, store.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <msgpack.h>
#include <openssl/evp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstring>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace {

// {== Sockets by hand ======================================================

// A connection; `in` holds what came and was not taken.
struct Conn {
  int fd;
  std::string in;
  bool closed = false, reset = false;
  bool answered = false; // before the body was there
  void *listener = nullptr;

  void send (const std::string &text) {
    for (size_t at = 0; at < text.size();) {
      ssize_t n =
          ::send(fd, text.data() + at, text.size() - at, MSG_NOSIGNAL);
      if (n <= 0) return;
      at += (size_t)n;
    }
  }
  void close () {
    if (fd >= 0) ::close(fd);
    fd = -1;
    closed = true;
  }
  void abort () { // ends with a reset
    struct linger l = {1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
    close();
  }
};

struct Request {
  std::string head, body;
  std::string field (const std::string &name) const {
    size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) return "";
    at += name.size() + 4;
    return head.substr(at, head.find("\r\n", at) - at);
  }
  std::string line () const {
    return head.substr(0, head.find("\r\n"));
  }
};

using Handler = std::function<void(Conn &, const Request &)>;

struct Listener {
  int fd, port;
  Handler handler;
  int taken = 0; // connections
  Handler early; // called as soon as a head is there, before its body
};

std::string encode (const std::string &text) {
  std::string out((text.size() + 2) / 3 * 4 + 1, '\0');
  int n =
      EVP_EncodeBlock((unsigned char *)out.data(),
                      (const unsigned char *)text.data(), (int)text.size());
  out.resize((size_t)n);
  return out;
}

std::string answer (int status, const std::string &fields,
                    const std::string &body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

sockaddr_in loopback (int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons((uint16_t)port);
  inet_pton(AF_INET, "127.0.0.1", &a.sin_addr);
  return a;
}

// }==

// {== The world around one gateway =========================================

struct Item {
  std::string value;
  long rev;
};

struct World {
  std::list<Conn> conns;
  std::list<Listener> listeners;
  std::map<std::string, Item> items;
  long rev = 10;
  struct Watch {
    Conn *conn;
    std::string prefix;
    long since;
  };
  std::vector<Watch> watches;
  Listener *store;
  pid_t pid = -1;
  int out = -1;
  std::string log, dir;
  int callers = 0, ready = 0, metrics = 0;

  World() {
    char name[] = "/tmp/mt-gateway-XXXXXX";
    dir = mkdtemp(name);
    store = listen([this] (Conn &c, const Request &r) { serve_store(c, r); });
    put("op/config", config(7, "key-w1"));
  }
  ~World() {
    if (pid > 0) {
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
    for (Conn &c : conns) c.close();
    for (Listener &l : listeners) ::close(l.fd);
    if (out >= 0) ::close(out);
    unlink((dir + "/settings.json").c_str());
    rmdir(dir.c_str());
  }
  World(const World &) = delete;

  static std::string config (int version, const std::string &key,
                             const std::string &more = "") {
    return "{\"version\":" + std::to_string(version) +
           ",\"routes\":["
           "{\"name\":\"a\",\"host\":\"h.example\",\"path_prefix\":\"/safe/\","
           "\"route_kind\":\"safe\",\"timeout_ms\":3000,\"goal_ms\":500,"
           "\"service\":\"plain\",\"max_attempts\":2},"
           "{\"name\":\"b\",\"host\":\"h.example\",\"path_prefix\":\"/once/\","
           "\"route_kind\":\"unsafe\",\"timeout_ms\":3000,\"goal_ms\":500,"
           "\"service\":\"plain\",\"max_attempts\":1},"
           "{\"name\":\"c\",\"host\":\"h.example\",\"path_prefix\":\"/gen/\","
           "\"route_kind\":\"stream\",\"timeout_ms\":9000,\"goal_ms\":900,"
           "\"resumable\":true,\"gap_aim_ms\":500,\"sticky\":true,"
           "\"service\":\"model\",\"max_attempts\":2}" +
           more +
           "],\"services\":[{\"name\":\"plain\",\"max_conns\":50},"
           "{\"name\":\"model\",\"max_conns\":50,\"engine\":{\"slots\":8,"
           "\"kv_tokens\":90000}}],\"limits\":{\"max_header_bytes\":4096,"
           "\"max_body_bytes\":100000,\"header_timeout_ms\":3000,"
           "\"idle_timeout_ms\":15000,\"tokens_per_s\":100000},"
           "\"tenants\":[{\"name\":\"w1\",\"api_keys\":[\"" +
           key + "\"]}]}";
  }

  Listener *listen (Handler handler) {
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in a = loopback(0);
    bind(fd, (sockaddr *)&a, sizeof a);
    ::listen(fd, 64);
    socklen_t n = sizeof a;
    getsockname(fd, (sockaddr *)&a, &n);
    listeners.push_back({fd, ntohs(a.sin_port), handler, 0, nullptr});
    return &listeners.back();
  }
  Conn *connect (int port) {
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in a = loopback(port);
    if (::connect(fd, (sockaddr *)&a, sizeof a) != 0) {
      ::close(fd);
      return nullptr;
    }
    conns.push_back({fd, ""});
    return &conns.back();
  }
  void engine (const std::string &id, const std::string &service,
               const Listener *l, const char *state = "ready") {
    put("servers/" + id,
        "{\"service\":\"" + service +
            "\",\"addr\":\"127.0.0.1:" + std::to_string(l->port) +
            "\",\"zone\":\"d1\",\"slots\":8,\"state\":\"" + state + "\"}");
  }

  // Sockets that are ready are read; whole requests go to their handlers.
  void pump () {
    std::vector<pollfd> fds;
    std::vector<void *> owners;
    for (Listener &l : listeners) {
      fds.push_back({l.fd, POLLIN, 0});
      owners.push_back(&l);
    }
    size_t first = fds.size();
    for (Conn &c : conns) {
      if (c.fd < 0) continue;
      fds.push_back({c.fd, POLLIN, 0});
      owners.push_back(&c);
    }
    if (out >= 0) fds.push_back({out, POLLIN, 0});
    poll(fds.data(), fds.size(), 20);
    for (size_t i = 0; i < first; i++)
      if (fds[i].revents) accept_one(*(Listener *)owners[i]);
    for (size_t i = first; i < owners.size(); i++)
      if (fds[i].revents) read_one(*(Conn *)owners[i]);
    if (out >= 0 && fds.back().revents) read_log();
  }
  void accept_one (Listener &l) {
    int fd = accept(l.fd, nullptr, nullptr);
    if (fd < 0) return;
    l.taken++;
    conns.push_back({fd, ""});
    conns.back().listener = &l;
  }
  void read_one (Conn &c) {
    char buf[65536];
    if (c.fd < 0) return;
    ssize_t n = recv(c.fd, buf, sizeof buf, 0);
    if (n <= 0) {
      c.reset = n < 0;
      c.close();
      return;
    }
    c.in.append(buf, (size_t)n);
    if (c.listener == nullptr) return;
    Listener *l = (Listener *)c.listener;
    Request r;
    size_t end = c.in.find("\r\n\r\n");
    if (l->early && !c.answered && end != std::string::npos) {
      r.head = c.in.substr(0, end + 2);
      c.answered = true;
      l->early(c, r);
    }
    while (c.fd >= 0 && take(c.in, r)) {
      if (l->early && !c.answered) l->early(c, r);
      l->handler(c, r);
      c.answered = false;
    }
  }
  void read_log () {
    char buf[65536];
    ssize_t n = read(out, buf, sizeof buf);
    if (n > 0) {
      log.append(buf, (size_t)n);
      return;
    }
    ::close(out);
    out = -1;
  }
  static bool take (std::string &in, Request &r) {
    size_t end = in.find("\r\n\r\n");
    if (end == std::string::npos) return false;
    r.head = in.substr(0, end + 2);
    std::string length = r.field("Content-Length");
    size_t n = length.empty() ? 0 : std::stoul(length);
    if (in.size() < end + 4 + n) return false;
    r.body = in.substr(end + 4, n);
    in.erase(0, end + 4 + n);
    return true;
  }

  // Waits for a condition; the bound only ends a test that has failed.
  bool until (const std::function<bool()> &cond) {
    for (int i = 0; i < 1500; i++) {
      if (cond()) return true;
      pump();
    }
    return false;
  }

  // {== Store

  std::string item (const std::string &key) {
    const Item &i = items[key];
    return "{\"key\":\"" + key + "\",\"value\":\"" + encode(i.value) +
           "\",\"rev\":" + std::to_string(i.rev) + "}";
  }
  void serve_store (Conn &c, const Request &r) {
    std::string line = r.line();
    size_t at = line.find("path_prefix=") + 12;
    std::string prefix = line.substr(at, line.find_first_of("& ", at) - at);
    if (line.find("/-/kv-watch") != std::string::npos) {
      at = line.find("since_rev=") + 10;
      watches.push_back({&c, prefix, std::stol(line.substr(at))});
      tell();
      return;
    }
    std::string all;
    for (auto &i : items)
      if (i.first.compare(0, prefix.size(), prefix) == 0)
        all += (all.empty() ? "" : ",") + item(i.first);
    c.send(answer(200, "Content-Type: application/json\r\n",
                  "{\"items\":[" + all + "],\"more\":false,\"at\":" +
                      std::to_string(rev) + "}"));
  }
  void tell () {
    for (size_t w = watches.size(); w-- > 0;) {
      std::string all;
      for (auto &i : items)
        if (i.second.rev > watches[w].since &&
            i.first.compare(0, watches[w].prefix.size(), watches[w].prefix) ==
                0)
          all += (all.empty() ? "" : ",") + item(i.first);
      if (all.empty()) continue;
      if (watches[w].conn->fd >= 0)
        watches[w].conn->send(answer(
            200, "",
            "{\"events\":[" + all + "],\"at\":" + std::to_string(rev) + "}"));
      watches.erase(watches.begin() + (long)w);
    }
  }
  void put (const std::string &key, const std::string &value) {
    items[key] = {value, ++rev};
    tell();
  }

  // }==

  // {== The gateway

  void start (bool keep_log = true) {
    std::string file = dir + "/settings.json";
    std::ofstream(file)
        << "{\"node\":\"g1\",\"domain\":\"d1\",\"callers\":\"127.0.0.1:0\","
           "\"ready\":\"127.0.0.1:0\",\"metrics\":\"127.0.0.1:0\","
           "\"peers\":\"127.0.0.1:0\",\"grace_ms\":8000,"
           "\"log_lines_per_s\":100000,\"source\":{\"store\":\"127.0.0.1:"
        << store->port << "\"}}";
    int fds[2];
    ASSERT_EQ(pipe(fds), 0);
    fcntl(fds[1], F_SETPIPE_SZ, 4096);
    const char *bin = getenv("MT_BIN");
    std::string program = std::string(bin ? bin : "build") + "/martentiller";
    pid = fork();
    if (pid == 0) {
      dup2(fds[1], 1);
      execl(program.c_str(), program.c_str(), "gateway", "--settings",
            file.c_str(), (char *)nullptr);
      _exit(127);
    }
    ::close(fds[1]);
    out = fds[0];
    ASSERT_TRUE(until([&] { return log.find("event=start") != log.npos; }));
    callers = port("callers=");
    ready = port("ready=");
    metrics = port("metrics=");
    ASSERT_TRUE(until([&] { return ask_ready() == 200; }));
    if (!keep_log) { // nobody reads it any more, nor is it closed
      unread = out;
      out = -1;
    }
  }
  int unread = -1;
  int port (const std::string &name) {
    size_t at = log.find(name);
    at = log.find(':', at) + 1;
    return atoi(log.c_str() + at);
  }
  int ask_ready () {
    Conn *c = connect(ready);
    if (c == nullptr) return 0;
    c->send("GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
    until([&] { return c->closed || c->in.find("\r\n\r\n") != c->in.npos; });
    int status = status_of(c->in);
    c->close();
    return status;
  }
  static int status_of (const std::string &in) {
    return in.size() > 12 ? atoi(in.c_str() + 9) : 0;
  }
  static std::string ask (const std::string &path, const std::string &id,
                          const std::string &body = "",
                          const std::string &fields = "",
                          const std::string &key = "key-w1") {
    return "POST " + path +
           " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id +
           "\r\nX-Deadline-Ms: 3000\r\nAuthorization: Token " + key + "\r\n" +
           fields + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }
  // A whole exchange on a connection of its own, until its end.
  std::string call (const std::string &text) {
    Conn *c = connect(callers);
    if (c == nullptr) return "";
    c->send(text);
    until([&] { return c->closed || whole(c->in); });
    std::string in = c->in;
    c->close();
    return in;
  }
  static bool whole (const std::string &in) {
    size_t end = in.find("\r\n\r\n");
    if (end == std::string::npos) return false;
    size_t at = in.find("Content-Length: ");
    if (at != std::string::npos && at < end)
      return in.size() >= end + 4 + (size_t)atoi(in.c_str() + at + 16);
    if (in.find("chunked") < end)
      return in.find("\r\n0\r\n\r\n", end) != std::string::npos;
    return false;
  }

  // }==
};

std::string body_of (const std::string &in) {
  size_t end = in.find("\r\n\r\n");
  return end == std::string::npos ? "" : in.substr(end + 4);
}

// The usual answer of an engine.
std::string good (const Request &r, const std::string &body) {
  return answer(200,
                "X-Attempt-Id: " + r.field("X-Attempt-Id") +
                    "\r\nX-Engine-Seal: seal-1\r\n",
                body);
}

std::string event (int id) {
  return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) +
         "\n\n";
}

std::string chunk (const std::string &text) {
  char size[16];
  snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

std::string stream_head (const Request &r) {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
         "X-Attempt-Id: " +
         r.field("X-Attempt-Id") +
         "\r\nX-Engine-Seal: seal-s\r\nTransfer-Encoding: chunked\r\n\r\n";
}

// }==

TEST(Gateway, PassesRequestAndAnswerOn) {
  World w;
  Request seen;
  Listener *e = w.listen([&] (Conn &c, const Request &r) {
    seen = r;
    c.send(good(r, "the bytes"));
  });
  w.engine("i-1", "plain", e);
  w.start();
  std::string in = w.call(World::ask(
      "/safe/a?b=c", "id1", "hello",
      "X-Other: kept\r\nX-Tenant: forged\r\nX-Expect-Instance: forged\r\n"
      "Kv-From: forged\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"));
  EXPECT_EQ(World::status_of(in), 200);
  EXPECT_EQ(body_of(in), "the bytes");
  EXPECT_NE(in.find("X-Engine-Seal: seal-1"), in.npos);
  EXPECT_EQ(seen.line(), "POST /safe/a?b=c HTTP/1.1");
  EXPECT_EQ(seen.body, "hello");
  EXPECT_EQ(seen.field("X-Other"), "kept");
  EXPECT_EQ(seen.field("X-Tenant"), "w1");
  EXPECT_EQ(seen.field("X-Expect-Instance"), "i-1");
  EXPECT_EQ(seen.field("X-Attempt-Id"), "id1");
  EXPECT_EQ(seen.field("Kv-From"), "");
  EXPECT_EQ(seen.field("X-Hop"), "");
  EXPECT_EQ(seen.head.find("key-w1"), seen.head.npos);
  EXPECT_LE(std::stoi(seen.field("X-Deadline-Ms")), 3000);
}

// What engines do wrong, and what the caller may get of it.
TEST(Gateway, BrokenAnswersAreNotPassedOnAsWhole) {
  struct Row {
    const char *name, *path;
    std::function<void(Conn &, const Request &)> misbehave;
    int status;
    const char *body;
  } rows[] = {
      {"reset in the body", "/once/x",
       [] (Conn &c, const Request &r) {
         std::string text = good(r, "0123456789");
         c.send(text.substr(0, text.size() - 4));
         c.abort();
       },
       502, nullptr},
      {"closed in the body", "/once/x",
       [] (Conn &c, const Request &r) {
         std::string text = good(r, "0123456789");
         c.send(text.substr(0, text.size() - 4));
         c.close();
       },
       502, nullptr},
      {"closed without an answer", "/once/x",
       [] (Conn &c, const Request &r) { c.close(); }, 502, nullptr},
      {"no answer in the protocol", "/once/x",
       [] (Conn &c, const Request &r) { c.send("nonsense\r\n\r\n"); }, 502,
       nullptr},
      {"another request's answer first", "/once/x",
       [] (Conn &c, const Request &r) {
         c.send(answer(200, "X-Attempt-Id: other\r\nX-Engine-Seal: s\r\n",
                       "other"));
         c.send(good(r, "mine"));
       },
       200, "mine"},
      {"not run", "/once/x",
       [] (Conn &c, const Request &r) {
         c.send(answer(503, "X-Not-Executed: 1\r\n", ""));
       },
       503, nullptr},
  };
  for (const Row &row : rows) {
    World w;
    Listener *e = w.listen(row.misbehave);
    w.engine("i-1", "plain", e);
    w.start();
    std::string in = w.call(World::ask(row.path, "id1"));
    EXPECT_EQ(World::status_of(in), row.status) << row.name;
    if (row.body != nullptr) {
      EXPECT_EQ(body_of(in), row.body) << row.name;
    }
    if (row.status == 503) {
      EXPECT_NE(in.find("Retry-After: "), in.npos) << row.name;
    }
  }
}

TEST(Gateway, SurplusBytesBelongToNoRequest) {
  World w;
  int n = 0;
  Listener *e = w.listen([&] (Conn &c, const Request &r) {
    std::string text = good(r, "answer " + std::to_string(++n));
    c.send(n == 1 ? text + good(r, "surplus") : text);
  });
  w.engine("i-1", "plain", e);
  w.start();
  EXPECT_EQ(body_of(w.call(World::ask("/safe/x", "id1"))), "answer 1");
  EXPECT_EQ(body_of(w.call(World::ask("/safe/x", "id2"))), "answer 2");
  EXPECT_EQ(e->taken, 2); // the first connection is not used again
}

// An engine answers before it has read a long body, and reads on later: no
// other bytes may come where the rest of that body is due.
TEST(Gateway, TheRestOfABodyIsNotMixedWithOtherBytes) {
  World w;
  std::vector<std::pair<std::string, std::string>> seen; // id, body
  Listener *e = w.listen([&] (Conn &c, const Request &r) {
    seen.push_back({r.field("X-Attempt-Id"), r.body});
  });
  int small = 2048; // the gateway cannot hand over a long body at once
  setsockopt(e->fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  e->early = [] (Conn &c, const Request &r) { c.send(good(r, "early")); };
  w.engine("i-1", "plain", e);
  w.start();
  const std::string bodies[] = {std::string(90000, 'a'), "b",
                                std::string(90000, 'c'), "d"};
  for (int i = 0; i < 4; i++) {
    std::string id = "id" + std::to_string(i);
    std::string in = w.call(World::ask("/safe/x", id, bodies[i]));
    EXPECT_EQ(World::status_of(in), 200);
    EXPECT_EQ(body_of(in), "early");
  }
  for (int i = 0; i < 20; i++) w.pump();
  for (const auto &s : seen) {
    ASSERT_EQ(s.first.size(), 3u);
    EXPECT_EQ(s.second, bodies[s.first[2] - '0']) << s.first;
  }
  EXPECT_GE(seen.size(), 2u); // the short ones at least came whole
}

TEST(Gateway, AnAnswerWithoutLengthStaysWithout) {
  World w;
  Listener *e = w.listen([&] (Conn &c, const Request &r) {
    c.send("HTTP/1.1 200 OK\r\nX-Engine-Seal: s\r\nX-Attempt-Id: " +
           r.field("X-Attempt-Id") + "\r\n\r\nhalf of");
    c.close();
  });
  w.engine("i-1", "plain", e);
  w.start();
  Conn *c = w.connect(w.callers);
  c->send(World::ask("/once/x", "id1"));
  EXPECT_TRUE(w.until([&] { return c->closed; }));
  EXPECT_EQ(World::status_of(c->in), 200);
  EXPECT_EQ(c->in.find("Content-Length"), c->in.npos);
  EXPECT_EQ(c->in.find("chunked"), c->in.npos);
}

TEST(Gateway, AStreamGoesOnAtAnotherEngine) {
  World w;
  std::string last;
  int first = 0;
  Handler handler = [&] (Conn &c, const Request &r) {
    if (first++ == 0) { // two events and a part of the third
      c.send(stream_head(r) + chunk(event(1)) + chunk(event(2)) +
             chunk("id: 3\nda"));
      c.abort();
      return;
    }
    last = r.field("Last-Event-Id");
    c.send(stream_head(r) + chunk(event(3)) + chunk(event(4)) + "0\r\n\r\n");
  };
  w.engine("i-1", "model", w.listen(handler));
  w.engine("i-2", "model", w.listen(handler));
  w.start();
  std::string in = w.call(World::ask("/gen/x", "id1", "",
                                     "X-Token-Usage: 100,20\r\n"
                                     "X-Prefix-Hash: aa:60,bb:40\r\n"));
  EXPECT_EQ(last, "2");
  EXPECT_EQ(World::status_of(in), 200);
  std::string body = body_of(in), text;
  for (int i = 1; i <= 4; i++) {
    size_t at = body.find(event(i));
    EXPECT_NE(at, body.npos) << i;
    EXPECT_EQ(body.find(event(i), at + 1), body.npos) << i;
  }
}

TEST(Gateway, ACallerThatLeavesEndsTheWork) {
  World w;
  Conn *at_engine = nullptr;
  Listener *e = w.listen([&] (Conn &c, const Request &r) { at_engine = &c; });
  w.engine("i-1", "plain", e);
  w.start();
  Conn *c = w.connect(w.callers);
  c->send(World::ask("/once/x", "id1"));
  ASSERT_TRUE(w.until([&] { return at_engine != nullptr; }));
  c->close();
  EXPECT_TRUE(w.until([&] { return at_engine->closed; }));
}

TEST(Gateway, FollowsTheStore) {
  World w;
  std::map<std::string, int> ran;
  Handler handler = [&] (Conn &c, const Request &r) {
    ran[r.field("X-Expect-Instance")]++;
    c.send(good(r, "x"));
  };
  Listener *e1 = w.listen(handler), *e2 = w.listen(handler);
  w.engine("i-1", "plain", e1);
  w.start();
  EXPECT_EQ(World::status_of(w.call(World::ask("/safe/x", "id1"))), 200);
  w.engine("i-2", "plain", e2);
  w.engine("i-1", "plain", e1, "draining");
  ASSERT_TRUE(w.until([&] {
    return w.log.find(
               "engine=i-1 address=127.0.0.1:" + std::to_string(e1->port) +
               " running=0 outcome=leaving") != w.log.npos;
  }));
  int before = ran["i-1"];
  for (int i = 0; i < 5; i++)
    EXPECT_EQ(World::status_of(w.call(World::ask("/safe/x", "id2"))), 200);
  EXPECT_EQ(ran["i-1"], before);
  w.put("op/config", World::config(9, "key-new"));
  ASSERT_TRUE(w.until([&] { return w.log.find("version=9") != w.log.npos; }));
  EXPECT_EQ(World::status_of(w.call(World::ask("/safe/x", "id3"))), 401);
  EXPECT_EQ(World::status_of(
                w.call(World::ask("/safe/x", "id4", "", "", "key-new"))),
            200);
  w.put("op/config", World::config(8, "key-w1")); // an older one
  ASSERT_TRUE(
      w.until([&] { return w.log.find("outcome=older") != w.log.npos; }));
  EXPECT_EQ(World::status_of(w.call(World::ask("/safe/x", "id5"))), 401);
}

TEST(Gateway, APlannedStopFinishesWhatIsAtHand) {
  World w;
  Conn *at_engine = nullptr;
  Request asked;
  Listener *e = w.listen([&] (Conn &c, const Request &r) {
    at_engine = &c;
    asked = r;
  });
  w.engine("i-1", "plain", e);
  w.start();
  Conn *c = w.connect(w.callers);
  c->send(World::ask("/once/x", "id1"));
  ASSERT_TRUE(w.until([&] { return at_engine != nullptr; }));
  kill(w.pid, SIGTERM);
  ASSERT_TRUE(
      w.until([&] { return w.log.find("event=stopping") != w.log.npos; }));
  EXPECT_EQ(w.ask_ready(), 503);
  at_engine->send(good(asked, "done"));
  EXPECT_TRUE(w.until([&] { return World::whole(c->in); }));
  EXPECT_EQ(body_of(c->in), "done");
  EXPECT_NE(c->in.find("Connection: close"), c->in.npos);
  int status = -1;
  EXPECT_TRUE(
      w.until([&] { return waitpid(w.pid, &status, WNOHANG) == w.pid; }));
  w.pid = -1;
  EXPECT_EQ(status, 0);
}

// Datagrams come from anybody: none may end or mislead a gateway.
TEST(Gateway, OutlivesAnyDatagram) {
  World w;
  Listener *e =
      w.listen([&] (Conn &c, const Request &r) { c.send(good(r, "x")); });
  w.engine("i-1", "plain", e);
  w.start();
  auto message = [] (std::vector<uint64_t> shares,
                     std::vector<uint64_t> engines) {
    msgpack_sbuffer out;
    msgpack_packer pk;
    msgpack_sbuffer_init(&out);
    msgpack_packer_init(&pk, &out, msgpack_sbuffer_write);
    msgpack_pack_array(&pk, 9);
    for (uint64_t head : {1, 7, 1, 1 << 30}) msgpack_pack_uint64(&pk, head);
    for (int member = 4; member < 9; member++) {
      const auto &rows = member == 7 ? shares : engines;
      msgpack_pack_array(&pk, rows.size());
      for (uint64_t n : rows) msgpack_pack_uint64(&pk, n);
    }
    std::string text(out.data, out.size);
    msgpack_sbuffer_destroy(&out);
    return text;
  };
  const uint64_t most = UINT64_MAX;
  std::string whole = message({1, 2, 3}, {1, 2, 3});
  std::vector<std::string> datagrams = {
      "",
      "x",
      std::string(1000, '\xc1'),
      std::string("\xdd\xff\xff\xff\xff", 5),
      message({0, 5, 5}, {0, 0, 0}),
      message({most, most, most}, {most, most, most}),
      message({1}, {1, 2}),
      message(std::vector<uint64_t>(3000, 9), std::vector<uint64_t>(999, 9)),
      whole};
  for (size_t n = 1; n < whole.size(); n++)
    datagrams.push_back(whole.substr(0, n));
  int fd = socket(AF_INET, SOCK_DGRAM, 0);
  sockaddr_in from{}; // another address than the gateway's own
  from.sin_family = AF_INET;
  inet_pton(AF_INET, "127.0.0.2", &from.sin_addr);
  ASSERT_EQ(bind(fd, (sockaddr *)&from, sizeof from), 0);
  sockaddr_in to = loopback(w.port("peers="));
  for (const std::string &d : datagrams) {
    sendto(fd, d.data(), d.size(), 0, (sockaddr *)&to, sizeof to);
    EXPECT_EQ(World::status_of(w.call(World::ask("/safe/x", "id1"))), 200);
  }
  EXPECT_TRUE(w.until([&] {
    return w.log.find("peer=127.0.0.2 outcome=heard") != w.log.npos;
  }));
  close(fd);
}

// From the id of a failed request to its cause, by the command alone.
TEST(Gateway, ExplainNamesTheCause) {
  struct Row {
    const char *name;
    Handler misbehave;
    const char *line;
  } rows[] = {{"lost", [] (Conn &c, const Request &r) { c.abort(); },
               "outcome=refused why=engine_lost"},
              {"refused",
               [] (Conn &c, const Request &r) {
                 c.send(answer(503, "X-Not-Executed: 1\r\n", ""));
               },
               "outcome=refused why=engines_refused"},
              {"late", [] (Conn &c, const Request &r) {},
               "outcome=refused why=timeout"}};
  for (const Row &row : rows) {
    World w;
    w.engine("i-1", "plain", w.listen(row.misbehave));
    w.start();
    w.call(World::ask("/once/x", "id-failed"));
    ASSERT_TRUE(w.until([&] { return w.log.find(row.line) != w.log.npos; }))
        << row.name;
    std::string file = w.dir + "/log",
                bin = getenv("MT_BIN") ? getenv("MT_BIN") : "build";
    std::ofstream(file) << w.log;
    std::string command =
        bin + "/martentiller explain id-failed " + file + " 2>&1";
    FILE *pipe = popen(command.c_str(), "r");
    std::string told;
    char buf[4096];
    while (fgets(buf, sizeof buf, pipe)) told += buf;
    EXPECT_EQ(pclose(pipe), 0);
    EXPECT_NE(told.find(row.line), told.npos) << row.name;
    EXPECT_NE(told.find("event=engine engine=i-1"), told.npos) << row.name;
    EXPECT_NE(told.find("event=configuration version=7"), told.npos);
    unlink(file.c_str());
  }
}

TEST(Gateway, ServesWhenNobodyReadsItsLog) {
  World w;
  Listener *e =
      w.listen([&] (Conn &c, const Request &r) { c.send(good(r, "x")); });
  w.engine("i-1", "plain", e);
  w.start(false);
  Conn *c = w.connect(w.callers);
  for (int i = 0; i < 600; i++) {
    c->in.clear();
    c->send(World::ask("/safe/x", "id" + std::to_string(i)));
    ASSERT_TRUE(w.until([&] { return World::whole(c->in); })) << i;
  }
  EXPECT_EQ(World::status_of(c->in), 200);
  close(w.unread);
}

TEST(Gateway, ReadsCallersByTheRules) {
  struct Row {
    const char *name;
    std::string text;
    int status;
  } rows[] = {
      {"no request", "hello there\r\n\r\n", 400},
      {"two lengths",
       "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 3\r\n"
       "Content-Length: 4\r\n\r\nabcd",
       400},
      {"length and chunks",
       "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 3\r\n"
       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       400},
      {"too long a body",
       "POST /safe/x HTTP/1.1\r\nHost: h.example\r\n"
       "Content-Length: 100001\r\n\r\n",
       413},
      {"too long a head",
       "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nX: " +
           std::string(5000, 'x') + "\r\n\r\n",
       431},
      {"no route", "GET /none/x HTTP/1.1\r\nHost: h.example\r\n\r\n", 404},
      {"no key", "GET /safe/x HTTP/1.1\r\nHost: h.example\r\n\r\n", 401},
  };
  World w;
  Listener *e =
      w.listen([&] (Conn &c, const Request &r) { c.send(good(r, r.body)); });
  w.engine("i-1", "plain", e);
  w.start();
  for (const Row &row : rows)
    EXPECT_EQ(World::status_of(w.call(row.text)), row.status) << row.name;
  // In chunks and in pieces, and two requests sent ahead.
  Conn *c = w.connect(w.callers);
  std::string head =
      "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: id1\r\n"
      "Authorization: Token key-w1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (char byte : head + chunk("abc") + chunk("de") + "0\r\n\r\n")
    c->send(std::string(1, byte));
  ASSERT_TRUE(w.until([&] { return World::whole(c->in); }));
  EXPECT_EQ(body_of(c->in), "abcde");
  c->in.clear();
  c->send(World::ask("/safe/x", "id2", "first") +
          World::ask("/safe/x", "id3", "second"));
  ASSERT_TRUE(w.until([&] { return c->in.find("second") != c->in.npos; }));
  EXPECT_LT(c->in.find("first"), c->in.find("second"));
}

} // namespace
