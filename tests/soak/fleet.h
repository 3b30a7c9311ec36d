// fleet.h - gateways as processes, for tests that steer them one by one
#ifndef tests_soak_fleet_h
#define tests_soak_fleet_h

#include <sstream>

#include "process.h"

namespace soak {

// Some gateways before one world; the store has an address for each of them.
class Fleet {
public:
  World world;
  std::vector<Gateway> gateways;

  explicit Fleet(int count) : world(1, count, true), gateways((size_t)count) {
    char name[] = "/tmp/mt-turned-XXXXXX";
    dir = mkdtemp(name);
    int peers = free_datagram_port();
    for (int i = 0; i < count; i++) {
      Gateway &g = gateways[(size_t)i];
      g.index = i;
      g.dir = dir;
      g.start(peers, world.stores[(size_t)i]->port, count);
    }
  }
  ~Fleet() {
    for (Gateway &g : gateways) {
      kill(g.pid, SIGKILL);
      waitpid(g.pid, nullptr, 0);
      unlink(g.log.c_str());
      unlink((dir + "/g" + std::to_string(g.index) + ".json").c_str());
    }
    rmdir(dir.c_str());
  }
  // Waits for a condition; the bound only ends a test that has failed.
  bool until (const std::function<bool()> &cond) {
    for (int i = 0; i < 6000; i++) {
      if (cond()) return true;
      world.pump();
    }
    return false;
  }
  bool said (int gateway, const std::string &line) const {
    std::ifstream in(gateways[(size_t)gateway].log);
    for (std::string text; std::getline(in, text);) {
      size_t at = 0;
      std::istringstream words(line);
      for (std::string word; at != text.npos && words >> word;)
        at = text.find(word, at);
      if (at != text.npos) return true;
    }
    return false;
  }
  bool all_said (const std::string &line) {
    return until([&] {
      for (size_t i = 0; i < gateways.size(); i++)
        if (!said((int)i, line)) return false;
      return true;
    });
  }
  // Every gateway serves, knows of all the others and of the engines.
  bool begins () {
    for (Gateway &g : gateways) {
      if (!until([&] {
            g.find_port();
            return g.port != 0;
          }))
        return false;
      if (!until([&] { return routers(g) == (int)gateways.size(); }))
        return false;
    }
    return all_said("engine=" + world.plains[0] + " outcome=ready") &&
           all_said("engine=" + world.engine_last() + " outcome=ready");
  }
  // How many it knows of, as its metrics say.
  int routers (Gateway &g) {
    const std::string name = "\nmartentiller_gateway_routers ";
    std::string text =
        exchange(g, g.metrics, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    size_t at = text.find(name);
    return at == text.npos ? 0 : atoi(text.c_str() + at + name.size());
  }
  void turn_away (int gateway, int kind) {
    world.refusals[(size_t)gateway] = {now_ms() + 3600000, kind};
  }
  // Both watchers of the first gateway's failure domain know that the engines
  // have not changed up to the source's revision.
  bool watchers_go_on () {
    return until([&] {
      int count = 0;
      for (const World::Watch &w : world.watches)
        count += w.prefix == "servers/" && w.gateway != 0 &&
                 w.gateway % 2 == 0 && w.since >= world.rev;
      return count >= 2;
    });
  }
  // An answer to a request with this body; empty: the connection ended.
  std::string ask_with (int gateway, const std::string &path,
                        const std::string &body) {
    std::string id = "id" + std::to_string(++asked);
    Gateway &g = gateways[(size_t)gateway];
    world.checker.ask(id, Kind::Again, "w1");
    return exchange(g, g.port, ::World::ask(path, id, body));
  }
  // The status of an answer to a request that a caller sends.
  int ask (int gateway, const std::string &path, const std::string &key,
           const std::string &workspace = "w1") {
    std::string id = "id" + std::to_string(++asked);
    Gateway &g = gateways[(size_t)gateway];
    world.checker.ask(id, Kind::Again, workspace);
    return ::World::status_of(
        exchange(g, g.port, ::World::ask(path, id, "", "", key)));
  }
  // A whole exchange with a gateway; empty: it took no connection.
  std::string exchange (const Gateway &g, int port, const std::string &text) {
    sockaddr_in a = loopback(port);
    inet_pton(AF_INET, g.ip().c_str(), &a.sin_addr);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(fd, (sockaddr *)&a, sizeof a) != 0) {
      ::close(fd);
      return "";
    }
    world.conns.push_back({fd, ""});
    Conn &c = world.conns.back();
    c.send(text);
    until([&] { return c.closed || ::World::whole(c.in); });
    std::string in = c.in;
    c.close();
    return in;
  }

private:
  std::string dir;
  int asked = 0;
};

} // namespace soak

#endif
