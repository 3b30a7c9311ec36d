// gateway_test.cc - a real gateway between scripted callers, engines, store.
#include <gtest/gtest.h>

#include <msgpack.h>
#include <netinet/in.h>

#include "gateway_world.h"

#include <memory>

extern "C" {
#include "peer_message.h"
}

namespace {

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

// A gateway that is held up finds requests and their callers' ends together.
// Only what somebody still waits for is sent on.
TEST(Gateway, SendsNothingOnForACallerThatHasLeft) {
  struct Row {
    const char *what;
    bool kept;  // the connection had another request before
    bool reset; // else it is closed
  } rows[] = {{"closed", false, false},
              {"reset", false, true},
              {"kept, closed", true, false},
              {"kept, reset", true, true}};
  for (const Row &row : rows) {
    World w;
    std::map<std::string, int> ran;
    Listener *e = w.listen([&] (Conn &c, const Request &r) {
      ran[r.field("X-Attempt-Id")]++;
      c.send(good(r, "done"));
    });
    w.engine("i-1", "plain", e);
    w.start();
    Conn *left = w.connect(w.callers);
    if (row.kept) {
      left->send(World::ask("/once/x", "before"));
      ASSERT_TRUE(w.until([&] { return World::whole(left->in); }));
    }
    kill(w.pid, SIGSTOP);
    if (!row.kept) left = w.connect(w.callers);
    left->send(World::ask("/once/x", "left"));
    row.reset ? left->abort() : left->close();
    kill(w.pid, SIGCONT);
    for (const char *id : {"after", "later"})
      EXPECT_EQ(World::status_of(w.call(World::ask("/once/x", id))), 200);
    EXPECT_EQ(ran["left"], 0) << row.what;
    EXPECT_EQ(ran["after"] + ran["later"], 2) << row.what;
  }
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

TEST(Gateway, CountsWhatItTellsOthers) {
  World w;
  w.engine("i-1", "plain", w.listen([] (Conn &, const Request &) {}));
  w.seeds = "\"127.0.0.9:1\""; // nobody is there
  w.start();
  std::string metrics;
  EXPECT_TRUE(w.until([&] {
    metrics = w.fetch(w.metrics, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    return metrics.find("peer_messages_total{kind=\"hello\"} 0\n") ==
           metrics.npos;
  }));
  for (const char *row :
       {"peer_messages_total{kind=\"ask\"} 0\n",
        "peer_bytes_total{kind=\"hello\",to=\"domain\"} 0\n",
        "peer_bytes_total{kind=\"domain\",to=\"others\"} 0\n"})
    EXPECT_NE(metrics.find(row), metrics.npos) << row;
  EXPECT_EQ(
      metrics.find("peer_bytes_total{kind=\"hello\",to=\"others\"} 0\n"),
      metrics.npos);
}

// A list from the past names the store's revision of now: what it does not
// show yet must still be learnt.
TEST(Gateway, AListFromThePastIsNotTakenAtItsWord) {
  World w;
  int ran = 0;
  Listener *e1 = w.listen([&] (Conn &c, const Request &r) {
    ran++;
    c.send(good(r, "x"));
  });
  Listener *e2 =
      w.listen([&] (Conn &c, const Request &r) { c.send(good(r, "x")); });
  w.engine("i-1", "plain", e1);
  w.engine("i-2", "plain", e2);
  w.past = w.items;
  w.engine("i-1", "plain", e1, "draining");
  w.seeds = "\"127.0.0.1:9\"";
  w.start();
  EXPECT_GT(w.past_asked, 0);
  ASSERT_TRUE(w.until(
      [&] { return w.log.find("running=0 outcome=leaving") != w.log.npos; }));
  int before = ran;
  for (int i = 0; i < 5; i++)
    EXPECT_EQ(World::status_of(w.call(World::ask("/safe/x", "id2"))), 200);
  EXPECT_EQ(ran, before);
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

// A signal that comes while the settings are read neither ends the process
// nor is lost. Seen once of a gateway that was stopped as it started: "g3:
// ended by itself, status 15".
TEST(Gateway, OutlivesSignalsWhileItStarts) {
  struct Row {
    int signal;
    bool serves; // else it ends as planned
  } rows[] = {{SIGTERM, false}, {SIGINT, false}, {SIGHUP, true}};
  for (const Row &row : rows) {
    World w;
    std::string fifo = w.dir + "/settings.json";
    ASSERT_EQ(mkfifo(fifo.c_str(), 0600), 0);
    w.launch(fifo);
    int settings = open(fifo.c_str(), O_WRONLY); // it waits for them
    ASSERT_GE(settings, 0);
    kill(w.pid, row.signal);
    std::string text = w.settings();
    ASSERT_EQ(write(settings, text.data(), text.size()),
              (ssize_t)text.size());
    close(settings);
    if (row.serves) {
      EXPECT_TRUE(
          w.until([&] { return w.log.find("event=reload") != w.log.npos; }));
      kill(w.pid, SIGTERM);
    }
    int status = -1;
    waitpid(w.pid, &status, 0);
    w.pid = -1;
    EXPECT_TRUE(WIFEXITED(status)) << status;
    EXPECT_EQ(WEXITSTATUS(status), 0);
  }
}

// More callers than descriptors: idle connections give way to new ones.
TEST(Gateway, ServesBeyondItsDescriptors) {
  World w;
  w.descriptors = 100;
  Listener *e =
      w.listen([&] (Conn &c, const Request &r) { c.send(good(r, "x")); });
  w.engine("i-1", "plain", e);
  w.start();
  std::vector<Conn *> idle;
  for (int i = 0; i < 150; i++) {
    Conn *c = w.connect(w.callers);
    ASSERT_NE(c, nullptr);
    idle.push_back(c);
  }
  EXPECT_TRUE(w.until([&] {
    size_t closed = 0;
    for (Conn *c : idle) closed += c->closed;
    return closed >= 50;
  }));
  for (int i = 0; i < 5; i++)
    EXPECT_EQ(World::status_of(w.call(World::ask("/safe/x", "id1"))), 200);
  EXPECT_FALSE(idle.back()->closed); // the one that rested least
}

// Operators empty a failure domain and use it again; a watch tells, or a
// list.
TEST(Gateway, SendsNothingToADomainThatIsEmptied) {
  World w;
  Listener *e =
      w.listen([&] (Conn &c, const Request &r) { c.send(good(r, "x")); });
  w.engine("i-1", "plain", e);
  w.put("op/evacuate/d1", "{}"); // before the gateway starts
  w.put("op/evacuate/d9", "{}"); // where it has no engine
  w.start();
  auto status = [&] {
    return World::status_of(w.call(World::ask("/safe/x", "id1")));
  };
  auto said = [&] (const std::string &domain, const char *outcome) {
    std::string line = "domain=" + domain + " outcome=" + outcome;
    return w.until([&] { return w.log.find(line) != w.log.npos; });
  };
  ASSERT_TRUE(said("d1", "begun"));
  EXPECT_EQ(status(), 503);
  EXPECT_NE(w.fetch(w.metrics, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
                .find("evacuated_domains 2"),
            std::string::npos);
  w.remove("op/evacuate/d1");
  ASSERT_TRUE(said("d1", "over"));
  EXPECT_EQ(status(), 200);
  w.log.clear();
  w.put("op/evacuate/d1", "{}");
  ASSERT_TRUE(said("d1", "begun"));
  EXPECT_EQ(status(), 503);
  w.remove("op/evacuate/d1", false);
  w.forget(); // only a list shows that it is over
  ASSERT_TRUE(said("d1", "over"));
  EXPECT_EQ(status(), 200);
  EXPECT_EQ(w.log.find("domain=d9 outcome=over"), w.log.npos);
}

// Datagrams come from anybody: none may end or mislead a gateway.
TEST(Gateway, OutlivesAnyDatagram) {
  World w;
  Listener *e =
      w.listen([&] (Conn &c, const Request &r) { c.send(good(r, "x")); });
  w.engine("i-1", "plain", e);
  w.start();
  // 21 numbers, then lists: members, shares, engines, parts, changes,
  // suspects, a word.
  auto message = [] (uint64_t kind, const std::vector<uint64_t> &rows,
                     uint64_t rest = 1, size_t lists = 7) {
    msgpack_sbuffer out;
    msgpack_packer pk;
    msgpack_sbuffer_init(&out);
    msgpack_packer_init(&pk, &out, msgpack_sbuffer_write);
    msgpack_pack_array(&pk, 21 + lists);
    msgpack_pack_uint64(&pk, 8); // of the format
    msgpack_pack_uint64(&pk, kind);
    for (int i = 2; i < 21; i++) msgpack_pack_uint64(&pk, rest);
    for (size_t list = 0; list < lists; list++) {
      msgpack_pack_array(&pk, rows.size());
      for (uint64_t n : rows) msgpack_pack_uint64(&pk, n);
    }
    std::string text(out.data, out.size);
    msgpack_sbuffer_destroy(&out);
    return text;
  };
  const uint64_t most = UINT64_MAX;
  std::string whole = message(0, {1, 2, 3, 4, 5, 6, 7});
  std::vector<std::string> datagrams = {
      "", "x", std::string(1000, '\xc1'),
      std::string("\xdd\xff\xff\xff\xff", 5), whole};
  for (uint64_t kind = 0; kind < 16; kind++) { // two of them unknown
    datagrams.push_back(message(kind, {}));
    datagrams.push_back(message(kind, {0, 0, 0, 0, 0, 5, 9}));
    datagrams.push_back(message(kind, {0, 0, 0, 0, 0, 5, 9}, most));
    datagrams.push_back(message(kind, std::vector<uint64_t>(10, most), most));
    datagrams.push_back(message(kind, std::vector<uint64_t>(3, 9), 60000));
    datagrams.push_back(message(kind, std::vector<uint64_t>(1500, 9)));
    for (uint64_t n = 0; n < 6; n++) // words of each kind, rows of each state
      datagrams.push_back(message(kind, {n, 7, n, 9, 1, 5, 600, n}));
    datagrams.push_back(message(kind, {1, 2, 3}, 1, 3));
  }
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
    size_t at = w.log.find("peer=127.0.0.2 ");
    if (at == w.log.npos) return false;
    return w.log.find("outcome=heard", at) < w.log.find('\n', at);
  }));
  close(fd);
}

// A router that starts again within its neighbours' patience has lost what
// they told it.
TEST(Gateway, TellsARestartedRouterWhatItLost) {
  World w;
  w.engine("i-1", "plain", w.listen([] (Conn &, const Request &) {}));
  int fd = socket(AF_INET, SOCK_DGRAM, 0);
  sockaddr_in from = loopback(0);
  socklen_t length = sizeof from;
  inet_pton(AF_INET, "127.0.0.2", &from.sin_addr);
  ASSERT_EQ(bind(fd, (sockaddr *)&from, sizeof from), 0);
  getsockname(fd, (sockaddr *)&from, &length);
  w.peers_port = ntohs(from.sin_port);
  w.start();
  auto in = std::make_unique<mt_peer_message_t>();
  char bytes[MT_PEER_DATAGRAM_MAX];
  for (uint64_t boot : {7, 8, 9}) {
    mt_peer_message_begin(in.get(), MT_PEER_HELLO);
    in->boot = boot;
    in->number = 1;
    size_t n = mt_peer_message_pack(in.get(), bytes, sizeof bytes);
    sockaddr_in to = loopback(w.peers_port);
    bool welcomed = w.until([&] {
      sendto(fd, bytes, n, 0, (sockaddr *)&to, sizeof to);
      char got[MT_PEER_DATAGRAM_MAX];
      ssize_t size = recv(fd, got, sizeof got, MSG_DONTWAIT);
      return size > 0 &&
             mt_peer_message_unpack(in.get(), got, (size_t)size) &&
             in->kind == MT_PEER_MEMBERS;
    });
    EXPECT_TRUE(welcomed) << boot;
  }
  close(fd);
}

// Others tell what engines do; where one is only the store may say. What
// ends is taken though something before it is missing, and nothing older
// undoes it.
TEST(Gateway, HearsOfEnginesFromOthers) {
  World w;
  Listener *e =
      w.listen([&] (Conn &c, const Request &r) { c.send(good(r, "x")); });
  w.engine("i-1", "plain", e);
  w.start();
  sockaddr_in to = loopback(w.port("peers="));
  uint64_t number = 0;
  int fd = socket(AF_INET, SOCK_DGRAM, 0);
  sockaddr_in from = loopback(0);
  inet_pton(AF_INET, "127.0.0.2", &from.sin_addr);
  ASSERT_EQ(bind(fd, (sockaddr *)&from, sizeof from), 0);
  // `newest`: what others told the sender, beyond what it has itself.
  auto tell = [&] (int64_t base, int64_t reach, int64_t newest,
                   const mt_change_t &change) {
    auto m = std::make_unique<mt_peer_message_t>();
    char bytes[MT_PEER_DATAGRAM_MAX];
    mt_peer_message_begin(m.get(), MT_PEER_CHANGES);
    m->number = ++number;
    m->feeds[MT_FEED_ENGINES] = {newest, newest, reach, 0};
    m->spans[MT_FEED_ENGINES] = {base, reach};
    m->changes[m->changes_count++] = change;
    size_t n = mt_peer_message_pack(m.get(), bytes, sizeof bytes);
    sendto(fd, bytes, n, 0, (sockaddr *)&to, sizeof to);
  };
  auto said = [&] (const std::string &event, const std::string &outcome) {
    size_t at = 0;
    while ((at = w.log.find(event, at)) != w.log.npos) {
      size_t end = w.log.find('\n', at);
      if (w.log.find(outcome, at) < end) return true;
      at = end;
    }
    return false;
  };
  ASSERT_TRUE(w.until([&] { return said("engine=i-1 ", "outcome=ready"); }));
  const auto ready = MT_CHANGE_ENGINE_READY,
             leaving = MT_CHANGE_ENGINE_DRAINING,
             gone = MT_CHANGE_ENGINE_GONE;
  struct Row {
    const char *name, *ip;
    mt_change_kind_t kind;
    int64_t base, reach, newest; // beyond the store's revision
    const char *news;            // what the gateway makes of them
    int status;                  // of a request behind that
  } rows[] = {
      {"i-new", "127.0.0.1", ready, 0, 1, 1, "taken", 200}, // only the store
      {"i-1", "127.0.0.9", ready, 1, 2, 2, "taken", 200},   // nor move one
      {"i-1", "127.0.0.9", leaving, 2, 3, 3, "taken", 200}, // another engine
      {"i-9", "127.0.0.1", gone, 3, 4, 9, "taken", 200},    // of no interest
      {"i-1", "127.0.0.1", leaving, 6, 7, 9, "gap", 503},   // it leaves
      {"i-1", "127.0.0.1", ready, 4, 5, 9, "taken", 503},   // that is older
      {"i-1", "127.0.0.1", ready, 5, 8, 9, "taken", 200}};  // and that newer
  for (const Row &row : rows) {
    mt_change_t change =
        mt_change_make(row.kind, row.name, w.rev + row.reach);
    mt_change_engine_t &engine = change.u.engine;
    snprintf(engine.domain, sizeof engine.domain, "d1");
    snprintf(engine.ip, sizeof engine.ip, "%s", row.ip);
    snprintf(engine.service, sizeof engine.service, "plain");
    engine.port = (uint16_t)e->port;
    engine.slots = 8;
    tell(w.rev + row.base, w.rev + row.reach, w.rev + row.newest, change);
    std::string news = "event=news peer=127.0.0.2 feed=engines base=" +
                       std::to_string(w.rev + row.base) +
                       " reach=" + std::to_string(w.rev + row.reach);
    EXPECT_TRUE(w.until([&] {
      return said(news, std::string("outcome=") + row.news);
    })) << news
        << " " << row.news;
    EXPECT_EQ(World::status_of(w.call(World::ask("/safe/x", "id1"))),
              row.status)
        << news;
    EXPECT_EQ(w.log.find("engine=i-new"), w.log.npos);
  }
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
  close(w.pending_prefill);
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
