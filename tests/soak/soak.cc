// soak.cc - real gateways under faults from outside, for as long as asked
//
// Gateways run as processes of their own; this program plays their store,
// their engines and their callers, and delays, resets, cuts or silences its
// own ends of the connections. Gateways are killed, paused and stopped by
// signals. What callers and engines see is held against the promises while it
// runs. The same seed draws the same faults; their moments vary with the
// machine.
#include <memory>
#include <sys/prctl.h>

#include "world.h"

namespace soak {

const long RECOVER_MS = 30000;

struct Options {
  unsigned seed = 1;
  int seconds = 10, gateways = 4, callers = 12;
  std::string seeds_file;
  bool selftest = false;
};

// {== A gateway as a process ===============================================

struct Gateway {
  int index;
  pid_t pid = -1;
  int port = 0;
  std::string dir, log;
  long restart_at = 0, resume_at = 0; // 0: not due
  bool stopping = false;

  std::string ip () const {
    return "127.0.1." + std::to_string(index + 1);
  }
  void start (int peers, int store, int gateways) {
    std::string file = dir + "/g" + std::to_string(index) + ".json";
    std::string seeds;
    for (int i = 0; i < gateways && i < 3; i++)
      seeds += std::string(i ? "," : "") + "\"127.0.1." +
               std::to_string(i + 1) + ":1\"";
    std::ofstream(file) << "{\"node\":\"g" << index << "\",\"domain\":\"d"
                        << 1 + index % 2 << "\",\"callers\":\"" << ip()
                        << ":0\",\"ready\":\"" << ip()
                        << ":0\",\"metrics\":\"" << ip()
                        << ":0\",\"peers\":\"" << ip() << ":" << peers
                        << "\",\"seeds\":[" << seeds
                        << "],\"grace_ms\":8000,\"log_lines_per_s\":10000,"
                           "\"source\":{\"store\":\"127.0.0.1:"
                        << store << "\"}}";
    log = dir + "/g" + std::to_string(index) + ".log";
    int out =
        open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    before = (size_t)lseek(out, 0, SEEK_END);
    const char *bin = getenv("MT_BIN");
    std::string program = std::string(bin ? bin : "build") + "/martentiller";
    pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL); // it ends with the soak
      dup2(out, 1);
      execl(program.c_str(), program.c_str(), "gateway", "--settings",
            file.c_str(), (char *)nullptr);
      _exit(127);
    }
    ::close(out);
    port = 0;
    stopping = false;
    restart_at = resume_at = 0;
  }
  // The port of the newest start, once it has said so.
  void find_port () {
    if (pid < 0 || port != 0) return;
    std::ifstream in(log);
    std::string text((std::istreambuf_iterator<char>(in)),
                     std::istreambuf_iterator<char>());
    size_t at = text.find("event=start ", before); // of this life
    if (at == text.npos) return;
    at = text.find("callers=", at);
    port = atoi(text.c_str() + text.find(':', at) + 1);
  }
  size_t before = 0; // bytes of the log that earlier lives wrote
};

// }==

// {== A caller =============================================================

struct Caller {
  Conn *conn = nullptr;
  Gateway *gateway = nullptr;
  std::string id;
  Kind kind = Kind::Once;
  bool busy = false;
  long leave_at = 0, next_at = 0;
};

struct Answer {
  int status = 0;
  bool whole = false, events = false, closes = false;
  std::string seal, body;
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

// }==

// {== The soak =============================================================

class Soak {
public:
  Soak(const Options &chosen)
      : options(chosen), world(chosen.seed), random(chosen.seed * 7919) {
    char name[] = "/tmp/mt-soak-XXXXXX";
    dir = mkdtemp(name);
    peers = free_port();
    gateways.resize((size_t)options.gateways);
    for (int i = 0; i < options.gateways; i++) {
      gateways[(size_t)i].index = i;
      gateways[(size_t)i].dir = dir;
      start(gateways[(size_t)i]);
    }
    callers.resize((size_t)options.callers);
  }
  ~Soak() {
    for (Gateway &g : gateways) {
      if (g.pid <= 0) continue;
      kill(g.pid, SIGKILL);
      waitpid(g.pid, nullptr, 0);
    }
  }

  // True when no promise was broken.
  bool run () {
    await_ports();
    long end = now_ms() + options.seconds * 1000L,
         next_fault = now_ms() + 500;
    while (now_ms() < end) {
      if (now_ms() >= next_fault) {
        fault();
        next_fault = now_ms() + 50 + (long)(random() % 500);
      }
      turn(true);
    }
    calm();
    report();
    return world.checker.breaches.empty();
  }

private:
  Options options;
  World world;
  Random random;
  std::string dir;
  int peers;
  std::vector<Gateway> gateways;
  std::vector<Caller> callers;
  long asked = 0, kills = 0, pauses = 0, stops = 0;

  static int free_port () {
    int fd = socket(AF_INET, SOCK_DGRAM, 0);
    sockaddr_in a = loopback(0);
    inet_pton(AF_INET, "127.0.1.1", &a.sin_addr);
    bind(fd, (sockaddr *)&a, sizeof a);
    socklen_t n = sizeof a;
    getsockname(fd, (sockaddr *)&a, &n);
    ::close(fd);
    return ntohs(a.sin_port);
  }
  void start (Gateway &g) {
    g.start(peers, world.store->port, options.gateways);
  }
  void await_ports () {
    for (int i = 0; i < 5000; i++) {
      bool all = true;
      for (Gateway &g : gateways) {
        g.find_port();
        all = all && g.port != 0;
      }
      if (all) return;
      world.pump();
    }
  }

  // {== Faults

  void fault () {
    Gateway &g = gateways[random() % gateways.size()];
    long now = now_ms();
    switch (random() % 9) {
      case 0: kill_one(g); break;
      case 1: pause(g, 100 + (long)(random() % 1500)); break;
      case 2: stop(g); break;
      case 3:
        world.trouble.store_kind = (int)(random() % 4);
        world.trouble.store_until = now + 200 + (long)(random() % 3000);
        break;
      case 4:
      case 5:
        world.trouble.engine_part =
            0.05 + 0.3 * (double)(random() % 100) / 100;
        world.trouble.engines_until = now + 300 + (long)(random() % 2000);
        break;
      case 6: world.replace_engine(); break;
      case 7: world.configure(); break;
      default: // many at once
        for (Gateway &other : gateways)
          if (chance(random, 0.4)) kill_one(other);
        break;
    }
  }
  void kill_one (Gateway &g) {
    if (g.pid <= 0 || g.stopping) return;
    kills++;
    kill(g.pid, SIGKILL);
    waitpid(g.pid, nullptr, 0);
    gone(g);
  }
  void gone (Gateway &g) {
    g.pid = -1;
    g.port = 0;
    g.resume_at = 0;
    g.restart_at = now_ms() + 50 + (long)(random() % 700);
  }
  void pause (Gateway &g, long ms) {
    if (g.pid <= 0 || g.resume_at != 0 || g.stopping) return;
    pauses++;
    kill(g.pid, SIGSTOP);
    g.resume_at = now_ms() + ms;
  }
  void stop (Gateway &g) {
    if (g.pid <= 0 || g.stopping || g.resume_at != 0) return;
    stops++;
    g.stopping = true;
    kill(g.pid, SIGTERM);
  }
  void look_after (Gateway &g) {
    int status = 0;
    long now = now_ms();
    if (g.resume_at != 0 && now >= g.resume_at) {
      if (g.pid > 0) kill(g.pid, SIGCONT);
      g.resume_at = 0;
    }
    if (g.pid > 0 && waitpid(g.pid, &status, WNOHANG) == g.pid) {
      bool well = g.stopping && WIFEXITED(status) && WEXITSTATUS(status) == 0;
      if (!well)
        world.checker.breach("EXIT", "g" + std::to_string(g.index),
                             "ended by itself, status " +
                                 std::to_string(status));
      gone(g);
    }
    if (g.pid < 0 && g.restart_at != 0 && now >= g.restart_at) start(g);
    g.find_port();
  }

  // }==

  // {== Callers

  void begin (Caller &c) {
    if (c.conn == nullptr || c.conn->fd < 0) connect(c);
    if (c.conn == nullptr) return;
    static const char *const paths[] = {"/once/x", "/safe/x", "/gen/x"};
    c.kind = (Kind)(random() % 3);
    c.id = "q" + std::to_string(options.seed) + "-" + std::to_string(++asked);
    std::string fields, body = chance(random, 0.3) ? "some body" : "";
    if (c.kind == Kind::Stream)
      fields = "X-Model: m\r\nX-Token-Usage: 600,20\r\nX-Prefix-Hash: " +
               std::to_string(1 + random() % 5) + "a:400," +
               std::to_string(asked) + "b:200\r\n";
    world.checker.ask(c.id, c.kind, "w1");
    c.conn->in.clear();
    c.conn->send(::World::ask(paths[(int)c.kind], c.id, body, fields));
    c.busy = true;
    bool soon = chance(random, 0.08);
    c.leave_at = now_ms() + (soon ? (long)(random() % 40) : 4000);
  }
  void connect (Caller &c) {
    drop(c);
    Gateway &g = gateways[random() % gateways.size()];
    if (g.port == 0) return;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in a = loopback(g.port);
    inet_pton(AF_INET, g.ip().c_str(), &a.sin_addr);
    if (::connect(fd, (sockaddr *)&a, sizeof a) != 0) {
      ::close(fd);
      return;
    }
    world.conns.push_back({fd, ""});
    c.conn = &world.conns.back();
  }
  void drop (Caller &c) {
    if (c.conn == nullptr) return;
    c.conn->close();
    for (auto it = world.conns.begin(); it != world.conns.end(); ++it)
      if (&*it == c.conn) {
        world.conns.erase(it);
        break;
      }
    c.conn = nullptr;
  }
  void judge (Caller &c, const Answer &a) {
    if (a.events)
      world.checker.streamed(c.id, a.body, a.whole);
    else if (a.whole)
      world.checker.answered(c.id, a.status, a.seal, a.body);
  }
  void look_after (Caller &c, bool go_on) {
    long now = now_ms();
    if (!c.busy) {
      if (c.conn != nullptr && !c.conn->in.empty())
        world.checker.breach("MIXED", c.id, "bytes where nothing was asked");
      if (go_on && now >= c.next_at) begin(c);
      return;
    }
    Answer a = read_answer(*c.conn);
    if (!a.whole && !c.conn->closed && now < c.leave_at) return;
    judge(c, a);
    c.busy = false;
    c.conn->in.clear();
    c.next_at = now + (long)(random() % 30);
    if (!a.whole || a.closes || chance(random, 0.2)) drop(c);
  }

  // }==

  void turn (bool go_on) {
    world.pump();
    for (Gateway &g : gateways) look_after(g);
    for (Caller &c : callers) look_after(c, go_on);
  }

  // Trouble is over: what is at hand ends, and each gateway serves again.
  void calm () {
    world.trouble = Trouble();
    for (Gateway &g : gateways)
      if (g.resume_at != 0) g.resume_at = 1;
    for (int i = 0; i < 5000 && !idle(); i++) turn(false);
    for (Gateway &g : gateways) {
      bool serves = false;
      long end = now_ms() + RECOVER_MS; // only ends a soak that has failed
      while (!serves && now_ms() < end) {
        serves = serves_one(g);
        for (int i = 0; i < 20 && !serves; i++) turn(false);
      }
      if (!serves)
        world.checker.breach("RECOVER", "g" + std::to_string(g.index),
                             "does not serve after the trouble");
    }
  }
  bool idle () const {
    for (const Caller &c : callers)
      if (c.busy) return false;
    for (const Gateway &g : gateways)
      if (g.pid <= 0 || g.port == 0 || g.stopping) return false;
    return true;
  }
  bool serves_one (Gateway &g) {
    Caller c;
    for (int i = 0; i < 200 && g.port == 0; i++) turn(false);
    if (g.port == 0) return false;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in a = loopback(g.port);
    inet_pton(AF_INET, g.ip().c_str(), &a.sin_addr);
    if (::connect(fd, (sockaddr *)&a, sizeof a) != 0) {
      ::close(fd);
      return false;
    }
    world.conns.push_back({fd, ""});
    c.conn = &world.conns.back();
    c.id = "last" + std::to_string(++asked);
    c.kind = Kind::Again;
    world.checker.ask(c.id, c.kind, "w1");
    c.conn->send(::World::ask("/safe/x", c.id));
    Answer got;
    for (int i = 0; i < 1500 && !got.whole && !c.conn->closed; i++) {
      turn(false);
      got = read_answer(*c.conn);
    }
    judge(c, got);
    drop(c);
    return got.status == 200;
  }
  void report () {
    const Checker &k = world.checker;
    printf("seed %u: %ld asked, %ld answers, %ld streams (%ld cut), %ld "
           "refused, %ld failed; %ld kills, %ld pauses, %ld stops; %zu "
           "breaches\n",
           options.seed, asked, k.answers, k.streams, k.cuts, k.refusals,
           k.failures, kills, pauses, stops, k.breaches.size());
    for (const std::string &b : k.breaches) printf("  %s\n", b.c_str());
    if (!k.breaches.empty()) {
      printf("  logs: %s\n", dir.c_str());
    } else {
      std::string clean = dir;
      for (Gateway &g : gateways) {
        unlink(g.log.c_str());
        unlink((clean + "/g" + std::to_string(g.index) + ".json").c_str());
      }
      rmdir(clean.c_str());
    }
    fflush(stdout);
  }
};

// }==

// {== The checker itself ===================================================

// Each promise broken on purpose: the checker must see it.
int selftest () {
  struct Row {
    const char *promise;
    std::function<void(Checker &)> breaks;
  } rows[] = {
      {"UNASKED", [] (Checker &k) { k.run("x", "w1", false); }},
      {"UNASKED", [] (Checker &k) { k.run("a", "w2", false); }},
      {"UNASKED", [] (Checker &k) { k.run("a", "w1", true); }},
      {"TWICE",
       [] (Checker &k) {
         k.run("a", "w1", false);
         k.run("a", "w1", false);
       }},
      {"REFUSED",
       [] (Checker &k) {
         k.run("a", "w1", false);
         k.answered("a", 503, "", "");
       }},
      {"REFUSED",
       [] (Checker &k) {
         k.answered("a", 503, "", "");
         k.run("a", "w1", false);
       }},
      {"MIXED",
       [] (Checker &k) { k.answered("a", 200, "", Checker::body_of("a")); }},
      {"MIXED",
       [] (Checker &k) { k.answered("a", 200, "s", Checker::body_of("b")); }},
      {"ORDER",
       [] (Checker &k) {
         k.streamed("s", Checker::event_of("s", 1) + "\n\n", false);
       }},
      {"ORDER",
       [] (Checker &k) {
         k.streamed("s", Checker::event_of("s", 0) + "\n\n", true);
       }},
  };
  int missed = 0;
  for (const Row &row : rows) {
    Checker k;
    k.ask("a", Kind::Once, "w1");
    k.ask("s", Kind::Stream, "w1");
    row.breaks(k);
    bool seen =
        k.breaches.size() == 1 &&
        k.breaches[0].compare(0, strlen(row.promise), row.promise) == 0;
    if (!seen) printf("not seen: %s\n", row.promise);
    missed += !seen;
  }
  printf("checker: %d of %zu breaches seen\n",
         (int)(sizeof rows / sizeof *rows) - missed,
         sizeof rows / sizeof *rows);
  return missed != 0;
}

// }==

// Seeds of a file: a number at the start of each line, then its cause.
std::vector<unsigned> read_seeds (const std::string &file) {
  std::vector<unsigned> seeds;
  std::ifstream in(file);
  for (std::string line; std::getline(in, line);)
    if (!line.empty() && isdigit(line[0]))
      seeds.push_back((unsigned)std::stoul(line));
  return seeds;
}

} // namespace soak

int main (int argc, char **argv) {
  soak::Options options;
  int count = 1;
  for (int i = 1; i < argc; i++) {
    std::string name = argv[i];
    auto value = [&] { return i + 1 < argc ? argv[++i] : "0"; };
    if (name == "--seed")
      options.seed = (unsigned)atoi(value());
    else if (name == "--count")
      count = atoi(value());
    else if (name == "--seconds")
      options.seconds = atoi(value());
    else if (name == "--gateways")
      options.gateways = atoi(value());
    else if (name == "--callers")
      options.callers = atoi(value());
    else if (name == "--seeds")
      options.seeds_file = value();
    else if (name == "--selftest")
      return soak::selftest();
    else {
      fprintf(stderr, "usage: soak [--seed N] [--count N] [--seconds N] "
                      "[--gateways N] [--callers N] [--seeds FILE] "
                      "[--selftest]\n");
      return 2;
    }
  }
  signal(SIGPIPE, SIG_IGN);
  std::vector<unsigned> seeds;
  if (!options.seeds_file.empty())
    seeds = soak::read_seeds(options.seeds_file);
  for (int i = 0; seeds.size() < (size_t)count && options.seeds_file.empty();
       i++)
    seeds.push_back(options.seed + (unsigned)i);
  int bad = 0;
  for (unsigned seed : seeds) {
    options.seed = seed;
    bad += !std::make_unique<soak::Soak>(options)->run();
  }
  return bad != 0;
}
