// soak.cc - real gateways under faults from outside, for as long as asked
//
// Gateways run as processes of their own; this program plays their store,
// their engines and their callers, and delays, resets, cuts or silences its
// own ends of the connections. Gateways are killed, paused and stopped by
// signals. What callers and engines see is held against the promises while it
// runs. The same seed draws the same faults; their moments vary with the
// machine.
#include <memory>

#include "caller.h"
#include "selftest.h"

namespace soak {

const long RECOVER_MS = 30000;
const long PARTS_REST_MS = 1500; // longer between troubles of them all
const long GRACE_MS = 8000;      // as in the gateways' settings
const long RESTORE_FIRST_MS = 6000;
const long LEAVINGS_MS = 2500; // engines leave for so long behind a restore
const size_t LIST_PAGE = 4;    // items of an answer, with restores
const int BODIES = 3;          // that come again and again, of each sort

struct Options {
  unsigned seed = 1;
  int seconds = 10, gateways = 4, callers = 12;
  std::string seeds_file;
  bool parts = false;    // troubles of a part of the gateways
  bool kills = true;     // gateways are killed, paused and stopped
  bool keep = false;     // the logs, also of a run without breaches
  bool calm = false;     // no trouble but that of engines that end
  bool times = false;    // late requests are breaches, not only counted
  bool deadly = false;   // engines end under some bodies that come again
  bool ends = false;     // engines end by themselves, each second one
  bool streams = false;  // of the two above: at the model's engines
  bool notices = false;  // engines say that they leave, and ask for rest
  bool all_rest = false; // the same, most of the time all of a service
  bool restores = false; // the store comes back from copies
};

// {== The soak =============================================================

class Soak {
public:
  Soak(const Options &chosen)
      : options(chosen), world(chosen.seed, chosen.gateways, chosen.parts),
        random(chosen.seed * 7919), more(chosen.seed * 104729),
        choices(chosen.seed * 15485863) {
    char name[] = "/tmp/mt-soak-XXXXXX";
    dir = mkdtemp(name);
    network.reset(new Network(dir + "/links"));
    world.checker.judges_times = options.times;
    peers = free_datagram_port();
    gateways.resize((size_t)options.gateways);
    for (int i = 0; i < options.gateways; i++) {
      gateways[(size_t)i].index = i;
      gateways[(size_t)i].dir = dir;
      start(gateways[(size_t)i]);
    }
    callers.resize((size_t)options.callers);
    for (int i = 0; options.deadly && i < BODIES; i++)
      world.deadly.insert(body_of(true, i));
    if (options.ends) world.down_ms = 1500;
    world.random_of_notices.seed(chosen.seed * 32452843);
    of_restores.seed(chosen.seed * 86028121);
    if (options.restores) world.page = LIST_PAGE;
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
         next_fault = now_ms() + 500, next_part = next_fault,
         next_end = next_fault, next_notice = next_fault,
         next_restore = now_ms() + RESTORE_FIRST_MS, next_change = next_fault;
    while (now_ms() < end) {
      if (!options.calm && now_ms() >= next_fault) {
        fault();
        next_fault = now_ms() + 50 + (long)(random() % 500);
        if (options.parts) next_fault += PARTS_REST_MS;
      }
      if (options.parts && now_ms() >= next_part) {
        part_fault();
        next_part = now_ms() + 50 + (long)(more() % 500);
      }
      if (options.notices && now_ms() >= next_notice) {
        notice();
        next_notice =
            now_ms() + 300 + (long)(world.random_of_notices() % 800);
      }
      if (options.restores && now_ms() >= next_restore)
        next_restore = now_ms() + restore();
      if (options.restores && now_ms() >= next_change)
        next_change = now_ms() + change();
      if (options.ends && now_ms() >= next_end) {
        world.end_any(options.streams ? "model" : "plain", choices);
        next_end = now_ms() + 1000;
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
  Random random, more; // of the troubles, of those of a part
  Random choices;      // of callers, beyond what the first draws
  Random of_restores;
  long restored_at = 0; // 0: it never was
  std::unique_ptr<Network> network;
  long network_until = 0;
  std::string dir;
  int peers;
  std::vector<Gateway> gateways;
  std::vector<Caller> callers;
  long asked = 0, kills = 0, pauses = 0, stops = 0;
  long repeated = 0, repeated_well = 0; // harmless ones; those answered 200

  void start (Gateway &g) {
    world.checker.touch.disturbed(g.index, now_ms());
    g.start(peers, world.stores[(size_t)g.index]->port, options.gateways,
            options.parts ? network->file : "");
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
    unsigned kind = random() % 9;
    if (!options.kills && (kind < 3 || kind == 8)) return;
    if (options.parts && kind == 3) return; // part_fault has its own
    switch (kind) {
      case 0: kill_one(g); break;
      case 1: pause(g, 100 + (long)(random() % 1500)); break;
      case 2: stop(g); break;
      case 3: {
        int how = (int)(random() % 4);
        store_away(how, 200 + (long)(random() % 3000));
        break;
      }
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
  // Troubles of some gateways beside the others, and changes among them.
  // What excuses late requests is rare, so that there are times to judge.
  void part_fault () {
    unsigned kind = more() % 40;
    switch (kind) {
      case 0:
        store_away((int)(more() % 4), 200 + (long)(more() % 3000));
        break;
      case 1: spoil_network(); break;
      case 2: cut_domain(200 + (long)(more() % 4000)); break;
      case 3: world.retire_any(true, world.random); break;
      case 4:
      case 5: world.evacuate("d2"); break;
      default:
        if (kind < 14)
          turn_away(0.35, (int)(more() % 3), 200 + (long)(more() % 8000));
        else if (kind < 20)
          world.configure();
        else
          world.retire_any(false, world.random);
    }
  }
  // An engine begins to say that it leaves, or turns all away for a while.
  void notice () {
    Random &draw = world.random_of_notices;
    const char *service = draw() % 2 ? "model" : "plain";
    long rest = 1500 + (long)(draw() % 4000);
    switch (draw() % 4) {
      case 0:
        world.leave_in_answers(service, 5000 + (long)(draw() % 6000));
        break;
      case 1: world.shed_one(service, rest); break;
      default:
        if (options.all_rest)
          world.shed_all(service, rest);
        else
          world.shed_one(service, rest);
    }
  }
  // The store goes back some seconds, at times twice in a row; when the next
  // restore is due.
  long restore () {
    world.restore(1000 + (long)(of_restores() % 3500), of_restores);
    restored_at = now_ms();
    if (chance(of_restores, 0.2)) return 200;
    return 8000 + (long)(of_restores() % 3000);
  }
  // Versions follow each other fast, so that the next restore goes back by
  // many revisions. Behind one nothing changes until gateways are bound
  // again; then engines leave, each among versions. When the next change is
  // due.
  long change () {
    long since = now_ms() - restored_at,
         quiet = World::WRITE_AGAIN_MS + CONTACT_MS;
    if (restored_at != 0 && since < quiet) return quiet - since;
    bool leaves = restored_at != 0 && since < quiet + LEAVINGS_MS;
    if (leaves) world.retire_any(false, of_restores);
    for (unsigned i = 0; i < 1 + of_restores() % 4; i++) world.configure();
    return leaves ? 200 + (long)(of_restores() % 300) : 150;
  }
  void store_away (int kind, long ms) {
    world.trouble.store_kind = kind;
    world.trouble.store_until = now_ms() + ms;
    world.checker.touch.store_unstable(world.trouble.store_until);
  }
  void turn_away (double part, int kind, long ms) {
    for (Refusal &refusal : world.refusals)
      refusal = {chance(more, part) ? now_ms() + ms : 0, kind};
  }
  // Datagrams between some pairs are lost or late, one way or both.
  void spoil_network () {
    network_until = now_ms() + 500 + (long)(more() % 4000);
    unsigned lost = more() % 1001, delay = more() % 400;
    for (Gateway &g : gateways) {
      if (!chance(more, 0.3)) continue;
      int other = (int)(more() % gateways.size());
      network->set(g.index, other, lost, delay);
      if (chance(more, 0.5)) network->set(other, g.index, lost, delay);
      world.checker.touch.disturbed(g.index, network_until);
      world.checker.touch.disturbed(other, network_until);
    }
  }
  // A failure domain has no path to the store nor to the other domain.
  void cut_domain (long ms) {
    int domain = (int)(more() % 2);
    network_until = now_ms() + ms;
    for (Gateway &g : gateways) {
      if (g.index % 2 != domain) continue;
      world.refusals[(size_t)g.index] = {network_until, 1};
      world.checker.touch.disturbed(g.index, network_until);
      for (Gateway &other : gateways) {
        if (other.index % 2 == domain) continue;
        network->set(g.index, other.index, 1000, 0);
        network->set(other.index, g.index, 1000, 0);
      }
    }
  }
  void kill_one (Gateway &g) {
    if (g.pid <= 0 || g.stopping) return;
    kills++;
    world.checker.touch.disturbed(g.index, now_ms());
    kill(g.pid, SIGKILL);
    waitpid(g.pid, nullptr, 0);
    gone(g);
  }
  void gone (Gateway &g) {
    g.pid = -1;
    g.port = 0;
    g.suspended_at = 0;
    g.resume_at = 0;
    g.restart_at = now_ms() + 50 + (long)(random() % 700);
  }
  void pause (Gateway &g, long ms) {
    if (g.pid <= 0 || g.resume_at != 0 || g.stopping) return;
    pauses++;
    kill(g.pid, SIGSTOP);
    bool suspended = options.parts && chance(choices, 0.5);
    g.suspended_at = suspended ? now_ms() : 0;
    g.resume_at = now_ms() + ms;
    world.checker.touch.disturbed(g.index, g.resume_at);
  }
  void stop (Gateway &g) {
    if (g.pid <= 0 || g.stopping || g.resume_at != 0) return;
    stops++;
    g.stopping = true;
    world.checker.touch.disturbed(g.index, now_ms() + GRACE_MS);
    kill(g.pid, SIGTERM);
  }
  void look_after (Gateway &g) {
    int status = 0;
    long now = now_ms();
    if (g.resume_at != 0 && now >= g.resume_at) {
      if (g.suspended_at != 0)
        network->slept(g.index, (unsigned)(now - g.suspended_at));
      g.suspended_at = 0;
      if (g.pid > 0) kill(g.pid, SIGCONT);
      world.checker.touch.disturbed(g.index, now);
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
    c.kind = (Kind)(random() % 3);
    c.id = "q" + std::to_string(options.seed) + "-" + std::to_string(++asked);
    std::string fields, body = chance(random, 0.3) ? "some body" : "";
    if (c.kind == Kind::Stream)
      fields = "X-Model: m\r\nX-Token-Usage: 600,20\r\nX-Prefix-Hash: " +
               std::to_string(1 + random() % 5) + "a:400," +
               std::to_string(asked) + "b:200\r\n";
    static const char *const paths[] = {"/once/", "/safe/", "/gen/"};
    bool second = options.parts && chance(choices, 0.25);
    std::string path = paths[(int)c.kind], key = second ? some_key() : "";
    if (options.parts && c.kind == Kind::Again && chance(choices, 0.6))
      path = chance(choices, 0.5) ? "/side/" : some_path();
    c.repeats = false;
    bool repeats = (options.deadly || options.ends) &&
                   repeat_some(c, path, body, fields);
    if (repeats) { // the caller is always the same
      second = false;
      key = "";
    }
    world.checker.ask(c.id, c.kind, second ? "w2" : "w1");
    Asked &asked_now = world.checker.asked[c.id];
    asked_now.gateway = c.gateway->index;
    asked_now.at = now_ms();
    asked_now.path = path;
    asked_now.key = key;
    c.conn->in.clear();
    c.conn->send(::World::ask(path + "x", c.id, body, fields,
                              second ? key : "key-w1"));
    c.busy = true;
    bool soon = chance(random, 0.08);
    c.leave_at = now_ms() + (soon ? (long)(random() % 40) : 4000);
  }
  // Some requests repeat path, caller and body: with `ends` 40 in 100, else 5
  // in 100 harmless ones and 2 under which engines end.
  bool repeat_some (Caller &c, std::string &path, std::string &body,
                    std::string &fields) {
    unsigned draw = choices() % 100, which = choices() % BODIES;
    unsigned deadly = options.deadly ? 2 : 0, all = options.ends ? 40 : 7;
    if (draw >= all) return false;
    c.repeats = draw >= deadly;
    body = body_of(draw < deadly, (int)which);
    c.kind = options.streams ? Kind::Stream
                             : (which % 2 ? Kind::Once : Kind::Again);
    path = options.streams ? "/gen/" : which % 2 ? "/once/" : "/safe/";
    fields = options.streams ? "X-Model: m\r\nX-Token-Usage: 600,20\r\n"
                               "X-Prefix-Hash: 1a:400,2b:200\r\n"
                             : "";
    repeated += c.repeats;
    return true;
  }
  static std::string body_of (bool deadly, int which) {
    return (deadly ? "ends engines " : "does no harm ") +
           std::to_string(which);
  }
  // Valid now, or before one of the last changes.
  std::string some_key () {
    size_t n = world.keys.size(), back = choices() % std::min(n, (size_t)3);
    return world.keys[n - 1 - back];
  }
  std::string some_path () {
    return "/v" +
           std::to_string(std::max(2, world.version - (int)(choices() % 3))) +
           "/";
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
    c.gateway = &g;
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
    repeated_well += c.repeats && a.whole && a.status == 200;
    if (a.events)
      world.checker.streamed(c.id, a.body, a.whole);
    else if (a.whole)
      world.checker.answered(c.id, a.status, a.seal, a.body);
  }
  // Refused though an engine had room.
  void count_refusal (const Caller &c, const Answer &a) {
    const Asked &asked_then = world.checker.asked[c.id];
    std::string service = c.kind == Kind::Stream ? "model" : "plain";
    if (asked_then.path == "/side/") return; // it changes sides
    if (!world.has_room(service, asked_then.at)) return;
    world.checker.refused_with_room[a.body]++;
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
    if (a.leaving) // as soon as its head is there
      world.checker.passes_on(c.gateway->index, a.engine, now);
    if (!a.whole && !c.conn->closed && now < c.leave_at) return;
    judge(c, a);
    if (options.notices && a.whole && a.status == 503) count_refusal(c, a);
    c.busy = false;
    c.conn->in.clear();
    c.next_at = now + (long)(random() % 30);
    if (!a.whole || a.closes || chance(random, 0.2)) drop(c);
  }

  // }==

  void turn (bool go_on) {
    world.pump();
    if (network_until != 0 && now_ms() >= network_until) heal_network();
    for (Gateway &g : gateways) look_after(g);
    for (Caller &c : callers) look_after(c, go_on);
  }

  void heal_network () {
    network_until = 0;
    network->heal();
  }

  // Trouble is over: what is at hand ends, and each gateway serves again.
  void calm () {
    world.trouble = Trouble();
    for (Refusal &refusal : world.refusals) refusal = Refusal();
    heal_network();
    if (!world.emptied.empty()) world.evacuate("d2");
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
    if (options.restores) printf("  %d restores\n", world.restores);
    if (options.parts || options.restores) {
      printf("  late:");
      for (auto &row : k.late)
        printf(" %s %ld", row.first.c_str(), row.second);
      printf(" (latest %ld ms); %ld by gateways that were not bound\n",
             k.latest, k.excused);
    }
    if (options.notices) {
      long rooms = 0;
      for (auto &row : k.refused_with_room) rooms += row.second;
      printf("  engines: %ld rests asked, %ld with over %d requests in them; "
             "%ld leavings passed on; late: own %ld, others' %ld (latest %ld "
             "ms); refused while there was room: %ld of %ld",
             k.rests_asked, k.rests_broken, RESTS_ALLOWED, k.leaves_passed,
             k.late.count("SAID") ? k.late.at("SAID") : 0,
             k.late.count("TOLD") ? k.late.at("TOLD") : 0, k.latest, rooms,
             asked);
      for (auto &row : k.refused_with_room)
        printf(" %s %ld", row.first.c_str(), row.second);
      printf("\n  late behind the first of all, in contact or not: %zu",
             k.told_late.size());
      for (const std::string &late : k.told_late)
        printf("; %s", late.c_str());
      printf("\n");
    }
    if (options.deadly || options.ends) {
      int most = 0;
      for (auto &row : k.deadly) most = std::max(most, row.second.arrivals);
      printf("  %d engines ended; arrivals of one body once it is known: at "
             "most %d; harmless repeated ones not answered 200: %ld of %ld\n",
             world.ended, most, repeated - repeated_well, repeated);
    }
    for (const std::string &b : k.breaches) printf("  %s\n", b.c_str());
    if (!k.breaches.empty() || options.keep) {
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
    else if (name == "--parts")
      options.parts = true;
    else if (name == "--times")
      options.times = true;
    else if (name == "--no-kills")
      options.kills = false;
    else if (name == "--deadly")
      options.deadly = true;
    else if (name == "--ends")
      options.ends = true;
    else if (name == "--streams")
      options.streams = true;
    else if (name == "--notices")
      options.notices = true;
    else if (name == "--all-rest")
      options.notices = options.all_rest = true;
    else if (name == "--restores")
      options.restores = true;
    else if (name == "--keep")
      options.keep = true;
    else if (name == "--calm")
      options.calm = true;
    else if (name == "--selftest")
      return soak::selftest();
    else {
      fprintf(stderr, "usage: soak [--seed N] [--count N] [--seconds N] "
                      "[--gateways N] [--callers N] [--seeds FILE] "
                      "[--parts] [--times] [--no-kills] [--calm] [--keep] "
                      "[--deadly] [--ends] [--streams] "
                      "[--notices] [--all-rest] [--restores] [--selftest]\n");
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
