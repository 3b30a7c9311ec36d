// crowd.cc - real gateways on loopback before clients outside the limits
//
// Each gateway has a box of its own: its address space is limited. Limits are
// low, so that a small crowd is enough. One test at a time, apart from other
// load.
#include "crowd.h"

namespace {

const size_t MB = 1 << 20;
const size_t BOX = 48 * MB;      // memory of a gateway's box
const size_t BODY = 1 * MB;      // limit of a request's body
const size_t HEAD = 16384;       // limit of a request's head
const rlim_t DESCRIPTORS = 1000; // of the gateway's process
const size_t ALL = (size_t)1 << 40;

// {== What clients send ====================================================

std::string head_of (int client, const std::string &fields,
                     const std::string &path = "/safe/x",
                     const std::string &key = "key-w1") {
  return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: c" +
         std::to_string(client) +
         "\r\nX-Deadline-Ms: 60000\r\nAuthorization: Token " + key + "\r\n" +
         fields + "\r\n";
}

const std::string BYTES(65536, 'x');

Script announced (size_t length, size_t sent,
                  const std::string &path = "/safe/x",
                  const std::string &key = "key-w1") {
  return {[=] (int i) {
            return head_of(
                i, "Content-Length: " + std::to_string(length) + "\r\n", path,
                key);
          },
          BYTES, sent};
}

std::string chunk (size_t size) {
  char digits[32];
  snprintf(digits, sizeof digits, "%zx\r\n", size);
  return digits + std::string(size, 'x') + "\r\n";
}

const std::string CHUNKED = "Transfer-Encoding: chunked\r\n";

// Chunks of `size` bytes up to one byte before the end of the last one that
// the limit admits; `total` 0: without end.
Script chunked (size_t size, size_t total) {
  std::string one = chunk(size), block;
  while (block.size() + one.size() <= BYTES.size() + 16) block += one;
  size_t bytes = total == 0 ? 64 * BODY : total / size * one.size() - 3;
  return {[] (int i) { return head_of(i, CHUNKED); }, block, bytes};
}

// One chunk that is announced with 2^56 bytes.
Script huge_chunk () {
  return {[] (int i) { return head_of(i, CHUNKED) + "100000000000000\r\n"; },
          BYTES, 2 * BODY};
}

// Chunks that have extensions, without end.
Script extensions () {
  std::string block = "1;";
  block.resize(BYTES.size(), 'e');
  return {[] (int i) { return head_of(i, CHUNKED); }, block, 8 * BODY};
}

// Trailers without end.
Script trailers () {
  std::string lines;
  while (lines.size() < BYTES.size()) lines += "t: x\r\n";
  return {[] (int i) { return head_of(i, CHUNKED) + "1\r\nx\r\n0\r\n"; },
          lines, 8 * BODY};
}

// A head that stops before its last line.
Script short_head () {
  return {[] (int i) {
            std::string text = head_of(i, "");
            return text.substr(0, text.size() - 2);
          },
          "", 0};
}

// A head of as many fields as the limit admits, that stops short.
Script many_fields () {
  return {[] (int i) {
            std::string text = head_of(i, "");
            text.resize(text.size() - 2);
            for (size_t used = 400; used + 4 < HEAD; used += 4)
              text += "a:b\r\n";
            return text;
          },
          "", 0};
}

// A whole head of as many fields as the limit admits.
Script many_fields_whole () {
  Script s = many_fields();
  auto unfinished = s.head;
  s.head = [unfinished] (int i) {
    return unfinished(i) + "Content-Length: 0\r\n\r\n";
  };
  return s;
}

// A body whose caller waits to be told to send it, and sends it short.
Script expecting () {
  Script s = announced(BODY, BODY - 1);
  s.head = [] (int i) {
    return head_of(i, "Expect: 100-continue\r\nContent-Length: " +
                          std::to_string(BODY) + "\r\n");
  };
  return s;
}

// A request that its engine holds, and others behind it.
Script pipelined () {
  std::string next = head_of(0, "Content-Length: 0\r\n");
  return {[] (int i) {
            return head_of(i, "Content-Length: 0\r\n", "/safe/hold");
          },
          next, 512 * 1024};
}

// }==

// {== The crowds ===========================================================

enum Port { CALLERS, READY, METRICS };

struct Row {
  const char *name;
  int clients;
  Port port;
  Script script;
  size_t each_round; // bytes that a client sends at a time
  size_t first = 0;  // the same at first; 0: like the others
  size_t answer = 2; // bytes of an engine's answers
  bool reads = true; // clients read their answers
};

void PrintTo (const Row &row, std::ostream *out) {
  *out << row.name;
}

// Refusals which say that a request has not run and will not run.
bool is_promise (int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

class CrowdWorld {
public:
  World w;
  Engine engine;
  Usage most;

  CrowdWorld(size_t box, size_t body, size_t answer) : engine(w, answer) {
    std::string text = World::config(7, "key-w1");
    set(text, "max_body_bytes", body);
    set(text, "max_header_bytes", HEAD);
    set(text, "header_timeout_ms", 60000);
    set(text, "idle_timeout_ms", 60000);
    for (size_t at = 0;
         (at = text.find("\"max_conns\":50", at)) != std::string::npos;)
      text.replace(at, 14, "\"max_conns\":900");
    w.put("op/config", text);
    w.address_space = box;
    w.descriptors = DESCRIPTORS;
    w.start();
  }
  static void set (std::string &text, const std::string &name, size_t value) {
    size_t at = text.find("\"" + name + "\":") + name.size() + 3;
    text.replace(at, text.find_first_of(",}", at) - at,
                 std::to_string(value));
  }
  int port (Port p) const {
    return p == CALLERS ? w.callers : p == READY ? w.ready : w.metrics;
  }
  bool lives () {
    int status = 0;
    if (w.pid > 0 && waitpid(w.pid, &status, WNOHANG) != 0) {
      w.pid = -1;
      ADD_FAILURE() << "the process has ended, status " << status;
    }
    return w.pid > 0;
  }
  void step () {
    engine.advance();
    w.pump();
    Usage now = usage_of(w);
    most.resident = std::max(most.resident, now.resident);
    most.unread = std::max(most.unread, now.unread);
    total = std::max(total, now.resident + now.unread);
    most.descriptors = std::max(most.descriptors, now.descriptors);
  }
  // Plays until all have sent what they have, or nothing moves any more.
  void play (Crowd &crowd, const Row &row) {
    int still = 0;
    for (int i = 0; i < 2000 && still < 60 && lives(); i++) {
      if (crowd.is_done()) break;
      still = crowd.advance(row.reads) == 0 ? still + 1 : 0;
      step();
    }
    for (int i = 0; i < 20 && lives(); i++) {
      crowd.advance(row.reads);
      step();
    }
  }
  // Calm is when the process has closed its side, too.
  void settle () {
    size_t open = 1;
    for (int i = 0; i < 1000 && open > 0 && lives(); i++) {
      step();
      open = usage_of(w).connections;
    }
    EXPECT_EQ(open, 0u);
  }
  // Asks as a client does, which comes again after a refusal or a close.
  bool is_answered (const std::string &id, size_t body, int attempts = 1,
                    Crowd *beside = nullptr, const Row *row = nullptr) {
    const std::string text =
        World::ask("/safe/x", id, std::string(body, 'x'));
    for (int attempt = 0; attempt < attempts && lives(); attempt++) {
      Crowd one(w.callers, 1, {[&] (int) { return text; }, "", 0}, ALL, ALL);
      Client &c = one.clients[0];
      for (int i = 0; i < 100 && !c.closed && lives(); i++) {
        one.advance(true);
        if (beside != nullptr) beside->advance(row->reads);
        step();
        if (World::is_complete(c.in)) break;
      }
      if (World::status_of(c.in) == 200 && World::is_complete(c.in))
        return engine.body[id] == body;
      last = c.in.substr(0, c.in.find("\r\n\r\n"));
    }
    return false;
  }
  void expect_promises_kept (const Crowd &crowd) {
    for (size_t i = 0; i < crowd.clients.size(); i++) {
      int status = World::status_of(crowd.clients[i].in);
      if (!is_promise(status)) continue;
      EXPECT_EQ(engine.ran.count("c" + std::to_string(i)), 0u) << i;
    }
  }
  size_t total = 0; // most memory at a time, with unread bytes
  std::string last; // head of the last answer that was no success
};

void expect_within_box (CrowdWorld &world, size_t box) {
  EXPECT_TRUE(world.lives());
  EXPECT_LE(world.total, box);
  EXPECT_LE(world.most.descriptors, DESCRIPTORS);
  printf("  most: %.1f MB resident, %.1f MB with what is unread, "
         "%zu descriptors\n",
         (double)world.most.resident / (double)MB,
         (double)world.total / (double)MB, world.most.descriptors);
}

void play_row (const Row &row) {
  CrowdWorld world(BOX, BODY, row.answer);
  if (testing::Test::HasFatalFailure()) return;
  {
    Crowd crowd(world.port(row.port), row.clients, row.script,
                row.first ? row.first : row.each_round, row.each_round);
    world.play(crowd, row);
    EXPECT_TRUE(world.is_answered("o-beside", 100, 40, &crowd, &row));
    world.expect_promises_kept(crowd);
  }
  world.settle();
  EXPECT_TRUE(world.is_answered("o-after", 100)) << world.last;
  EXPECT_TRUE(world.is_answered("o-largest", BODY)) << world.last;
  expect_within_box(world, BOX);
}

class Crowds : public testing::TestWithParam<Row> {};

TEST_P(Crowds, LeaveTheProcessWithinItsBox) {
  play_row(GetParam());
}

const Row rows[] = {
    {"AnnouncedOneByteShort", 100, CALLERS, announced(BODY, BODY - 1), ALL},
    {"AnnouncedWhole", 100, CALLERS, announced(BODY, BODY), ALL},
    {"AnnouncedHalf", 200, CALLERS, announced(BODY, BODY / 2), ALL},
    {"InPieces", 100, CALLERS, announced(BODY, BODY - 1), BODY / 40},
    {"HalfThenByteByByte", 200, CALLERS, announced(BODY, BODY - 1), 1,
     BODY / 2},
    {"WholeAndHeld", 100, CALLERS, announced(BODY, BODY, "/safe/hold"), ALL},
    {"ExpectingContinue", 100, CALLERS, expecting(), ALL},
    {"NoRoute", 100, CALLERS, announced(BODY, BODY - 1, "/none/x"), ALL},
    {"NoKey", 100, CALLERS, announced(BODY, BODY - 1, "/safe/x", "none"),
     ALL},
    {"LargeChunks", 100, CALLERS, chunked(65536, BODY), ALL},
    {"SmallChunks", 100, CALLERS, chunked(16, BODY), ALL},
    {"ChunksOfOneByte", 200, CALLERS, chunked(1, BODY / 4), ALL},
    {"ChunksOfOneByteByMany", 530, CALLERS, chunked(1, BODY / 4), ALL},
    {"ChunksWithoutEnd", 100, CALLERS, chunked(4096, 0), ALL},
    {"HugeChunk", 100, CALLERS, huge_chunk(), ALL},
    {"AnnouncedFarOver", 100, CALLERS, announced(200 * BODY, 12 * BODY), ALL},
    {"Extensions", 50, CALLERS, extensions(), ALL},
    {"Trailers", 100, CALLERS, trailers(), ALL},
    {"ShortHeads", 700, CALLERS, short_head(), ALL},
    {"ManyFields", 500, CALLERS, many_fields(), ALL},
    {"ManyFieldsWhole", 300, CALLERS, many_fields_whole(), ALL},
    {"Pipelined", 250, CALLERS, pipelined(), ALL},
    {"PipelinedByMany", 530, CALLERS, pipelined(), ALL},
    {"AnswersUnread", 250, CALLERS, announced(2, 2), ALL, 0, 16 * MB, false},
    {"BodiesForReadiness", 16, READY, announced(8 * MB, 8 * MB - 1), ALL},
    {"BodiesForMetrics", 16, METRICS, announced(8 * MB, 8 * MB - 1), ALL},
};

INSTANTIATE_TEST_SUITE_P(Clients, Crowds, testing::ValuesIn(rows),
                         [] (const auto &row) { return row.param.name; });

// }==

// {== The older path =======================================================

// `martentiller router` in a box, without a store.
class Router {
public:
  pid_t pid = -1;
  int callers = 0, operators = 0; // its ports
  std::string dir;

  explicit Router(size_t box) {
    char name[] = "/tmp/mt-router-XXXXXX";
    dir = mkdtemp(name);
    std::string file = dir + "/settings.json", line;
    std::ofstream(file)
        << "{\"node\":\"r1\",\"domain\":\"d1\","
           "\"callers\":\"127.0.0.1:0\",\"operators\":\"127.0.0.1:0\","
           "\"peers\":\"127.0.0.1:0\",\"store\":\"http://127.0.0.1:9\","
           "\"peer_keys\":[\""
        << std::string(64, 'a') << "\"]}";
    int out[2];
    EXPECT_EQ(pipe(out), 0);
    pid = fork();
    if (pid == 0) {
      struct rlimit limit = {box, box};
      const char *bin = getenv("MT_BIN");
      std::string program =
          std::string(bin ? bin : "build") + "/martentiller";
      dup2(out[1], 1);
      setrlimit(RLIMIT_AS, &limit);
      execl(program.c_str(), program.c_str(), "router", "--settings",
            file.c_str(), (char *)nullptr);
      _exit(127);
    }
    ::close(out[1]);
    char c;
    while (read(out[0], &c, 1) == 1 && c != '\n') line += c;
    ::close(out[0]);
    callers = port(line, "\"callers\"");
    operators = port(line, "\"operators\"");
  }
  ~Router() {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
    unlink((dir + "/settings.json").c_str());
    rmdir(dir.c_str());
  }
  static int port (const std::string &line, const std::string &name) {
    size_t at = line.find("127.0.0.1:", line.find(name));
    return at == std::string::npos ? 0 : atoi(line.c_str() + at + 10);
  }
  size_t memory () const {
    std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
    size_t pages = 0;
    in >> pages >> pages;
    return pages * (size_t)sysconf(_SC_PAGESIZE) +
           unread_bytes({(unsigned)callers, (unsigned)operators});
  }
};

// Its two ports share a box.
TEST(OlderRouter, StaysWithinItsBox) {
  Router r(BOX);
  ASSERT_GT(r.callers, 0);
  const Script body = announced(8 * MB, 8 * MB - 1);
  Crowd callers(r.callers, 16, body, ALL, ALL);
  Crowd operators(r.operators, 16, body, ALL, ALL);
  size_t most = 0;
  for (int i = 0; i < 400; i++) {
    callers.advance(true);
    operators.advance(true);
    usleep(1000);
    most = std::max(most, r.memory());
  }
  for (int port : {r.callers, r.operators}) {
    Crowd one(port, 1,
              {[] (int) {
                 return std::string("GET /none HTTP/1.1\r\nHost: x\r\n\r\n");
               },
               "", 0},
              ALL, ALL);
    for (int i = 0; i < 1000 && one.clients[0].in.size() < 13; i++) {
      one.advance(true);
      usleep(1000);
    }
    EXPECT_GE(World::status_of(one.clients[0].in), 400);
  }
  EXPECT_EQ(waitpid(r.pid, nullptr, WNOHANG), 0);
  EXPECT_LE(most, BOX);
  printf("  most: %.1f MB with what is unread\n", (double)most / (double)MB);
}

// }==

// {== In calm ==============================================================

// Requests inside the limits, one after another on connections that stay.
TEST(Calm, KeptConnectionsDoNotKeepBodies) {
  CrowdWorld world(BOX, BODY, 2);
  std::list<Crowd> kept;
  for (int i = 0; i < 100 && world.lives(); i++) {
    Script one = announced(BODY, BODY);
    kept.emplace_back(world.w.callers, 1, one, ALL, ALL);
    Client &c = kept.back().clients[0];
    for (int k = 0; k < 300 && world.lives(); k++) {
      kept.back().advance(true);
      world.step();
      if (World::is_complete(c.in)) break;
    }
    ASSERT_EQ(World::status_of(c.in), 200) << i;
  }
  EXPECT_TRUE(world.is_answered("o-after", 100));
  expect_within_box(world, BOX);
}

// The same connection, again and again, and bodies that come in small parts.
TEST(Calm, OneConnectionServesLargestBodies) {
  for (size_t part : {ALL, (size_t)BODY / 50}) {
    CrowdWorld world(BOX, BODY, 2);
    Conn *c = world.w.connect(world.w.callers);
    ASSERT_NE(c, nullptr);
    for (int i = 0; i < 20; i++) {
      std::string id = "o" + std::to_string(i);
      std::string text = World::ask("/safe/x", id, std::string(BODY, 'x'));
      for (size_t at = 0; at < text.size();
           at += std::min(part, text.size())) {
        c->send(text.substr(at, part));
        world.step();
      }
      EXPECT_TRUE(world.w.until([&] {
        world.engine.advance();
        return c->closed || World::is_complete(c->in);
      }));
      EXPECT_EQ(World::status_of(c->in), 200) << i << ": " << c->in;
      EXPECT_EQ(world.engine.body[id], BODY) << i;
      c->in.clear();
    }
    c->close();
    expect_within_box(world, BOX);
  }
}

// Operators see that callers are refused, why, and who the newest one is.
TEST(Crowd, IsCountedAndLogged) {
  CrowdWorld world(BOX, BODY, 2);
  const Row row = {"", 100, CALLERS, announced(BODY, BODY - 1), ALL};
  Crowd crowd(world.w.callers, row.clients, row.script, ALL, ALL);
  world.play(crowd, row);
  std::string page =
      world.w.fetch(world.w.metrics, "GET /metrics HTTP/1.1\r\n\r\n");
  auto value = [&] (const std::string &name) {
    size_t at = page.find("\nmartentiller_gateway_" + name + " ");
    EXPECT_NE(at, page.npos) << name;
    return at == page.npos ? 0 : atof(page.c_str() + page.find(' ', at + 1));
  };
  double limit = value("caller_memory_limit_bytes");
  EXPECT_GT(value("caller_memory_bytes{kind=\"requests\"}"), limit / 2);
  EXPECT_GT(value("caller_closes_total{reason=\"memory\"}"), 0);
  for (const char *kind : {"responses", "buffered", "unread"})
    EXPECT_LE(
        value("caller_memory_bytes{kind=\"" + std::string(kind) + "\"}"),
        limit);
  EXPECT_TRUE(world.w.until([&] {
    return world.w.log.find(" event=caller-denied peer=127.0.0.1:") !=
           world.w.log.npos;
  }));
}

// The smallest box, bodies of the size that configurations allow.
TEST(Calm, LargestBodiesAtOnceAreServed) {
  const size_t box = 88 * MB, body = 4 * MB;
  CrowdWorld world(box, body, 2);
  const Row row = {"", 8, CALLERS, announced(body, body), ALL};
  Crowd crowd(world.w.callers, row.clients, row.script, ALL, ALL);
  auto all_answered = [&] {
    for (const Client &c : crowd.clients)
      if (!World::is_complete(c.in)) return false;
    return true;
  };
  for (int i = 0; i < 2000 && !all_answered() && world.lives(); i++) {
    crowd.advance(true);
    world.step();
  }
  for (const Client &c : crowd.clients)
    EXPECT_EQ(World::status_of(c.in), 200);
  expect_within_box(world, box);
}

// }==

} // namespace
