// crowd.h - clients outside the limits, all from one thread
#ifndef tests_crowd_h
#define tests_crowd_h

#include <dirent.h>

#include "../gateway_world.h"

namespace {

// What each client of a crowd sends: a head of its own, then `size` bytes of
// a body that repeats `block`.
struct Script {
  std::function<std::string(int client)> head;
  std::string block;
  size_t size;
};

struct Client {
  int fd = -1;
  std::string head, in;
  size_t sent = 0; // of the head and the body
  bool closed = false;
};

class Crowd {
public:
  std::vector<Client> clients;

  // Each client may send `first` bytes in the first round, and `each_round`
  // in the others.
  Crowd(int port, int count, const Script &what, size_t first,
        size_t each_round)
      : script(what), quota(first), next_quota(each_round) {
    for (int i = 0; i < count; i++) add(port, i);
  }
  ~Crowd() {
    leave();
  }
  Crowd(const Crowd &) = delete;

  void leave () {
    for (Client &c : clients) close(c);
  }
  // Sends what each client may send in a round and the kernel takes; returns
  // the number of bytes. `reads`: false leaves the answers unread.
  size_t advance (bool reads) {
    size_t sent = 0;
    for (Client &c : clients) {
      if (c.closed) continue;
      sent += send(c);
      if (reads) receive(c);
    }
    quota = next_quota;
    return sent;
  }
  bool is_done () const {
    for (const Client &c : clients)
      if (!c.closed && c.sent < c.head.size() + script.size) return false;
    return true;
  }

private:
  const Script script;
  size_t quota;
  const size_t next_quota;

  void add (int port, int i) {
    Client c;
    c.head = script.head(i);
    c.fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in a = loopback(port);
    c.closed = connect(c.fd, (sockaddr *)&a, sizeof a) != 0;
    clients.push_back(c);
  }
  static void close (Client &c) {
    if (c.fd >= 0) ::close(c.fd);
    c.fd = -1;
    c.closed = true;
  }
  size_t send (Client &c) {
    size_t total = c.head.size() + script.size, before = c.sent;
    while (c.sent < total && c.sent - before < quota) {
      bool in_head = c.sent < c.head.size();
      const std::string &text = in_head ? c.head : script.block;
      size_t at =
          in_head ? c.sent : (c.sent - c.head.size()) % script.block.size();
      size_t n = std::min(
          {text.size() - at, total - c.sent, quota - (c.sent - before)});
      ssize_t done =
          ::send(c.fd, text.data() + at, n, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (done <= 0) {
        if (errno != EAGAIN) c.sent = total; // the other side has closed
        break;
      }
      c.sent += (size_t)done;
    }
    return c.sent - before;
  }
  static void receive (Client &c) {
    char buf[4096];
    ssize_t n;
    while ((n = recv(c.fd, buf, sizeof buf, MSG_DONTWAIT)) > 0)
      c.in.append(buf, (size_t)n);
    if (n == 0 || errno != EAGAIN) close(c);
  }
};

// An engine that answers each request at once with `size` bytes, or holds
// those whose path says so. It is never blocked by a gateway that stops
// reading.
class Engine {
public:
  std::set<std::string> ran;          // ids
  std::map<std::string, size_t> body; // by id: bytes of the request's body

  Engine(World &w, size_t size) {
    Listener *l = w.listen([this, size] (Conn &c, const Request &r) {
      std::string id = r.field("X-Attempt-Id");
      ran.insert(id);
      body[id] = r.body.size();
      if (r.line().find("/hold") != std::string::npos) return;
      size_t length = id[0] == 'o' ? 2 : size; // short for ordinary callers
      Answer &a = unsent[&c];
      a.head = "HTTP/1.1 200 X\r\nX-Engine-Seal: s\r\nX-Attempt-Id: " + id +
               "\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
      a.left = length;
    });
    w.put("servers/i-1",
          "{\"service\":\"plain\",\"addr\":\"127.0.0.1:" +
              std::to_string(l->port) +
              "\",\"zone\":\"d1\",\"slots\":900,\"state\":\"ready\"}");
  }
  void advance () {
    for (auto &u : unsent)
      if (u.first->fd >= 0) send(u.first->fd, u.second);
  }

private:
  struct Answer {
    std::string head;
    size_t left = 0; // bytes of the body
  };
  std::map<Conn *, Answer> unsent;

  static void send (int fd, Answer &a) {
    static const std::string bytes(65536, 'x');
    const int flags = MSG_NOSIGNAL | MSG_DONTWAIT;
    if (!a.head.empty()) {
      ssize_t n = ::send(fd, a.head.data(), a.head.size(), flags);
      if (n > 0) a.head.erase(0, (size_t)n);
    }
    while (a.head.empty() && a.left > 0) {
      ssize_t n =
          ::send(fd, bytes.data(), std::min(bytes.size(), a.left), flags);
      if (n <= 0) return;
      a.left -= (size_t)n;
    }
  }
};

// What a process holds, as its box counts it.
struct Usage {
  size_t resident = 0;    // bytes
  size_t unread = 0;      // bytes that have arrived in its sockets
  size_t descriptors = 0; // open
  size_t connections = 0; // of clients, which it has not closed
};

// Of sockets at these local ports: bytes in their receive queues, and how
// many are open on this side.
size_t unread_bytes (const std::set<unsigned> &ports,
                     size_t *connections = nullptr) {
  const unsigned ESTABLISHED = 0x01, CLOSE_WAIT = 0x08, LISTEN = 0x0a;
  std::ifstream in("/proc/net/tcp");
  std::string line;
  size_t total = 0;
  std::getline(in, line);
  while (std::getline(in, line)) {
    unsigned local, state;
    unsigned long rx;
    if (sscanf(line.c_str(), " %*d: %*x:%x %*x:%*x %x %*x:%lx", &local,
               &state, &rx) == 3 &&
        state != LISTEN && ports.count(local)) {
      total += rx;
      if (connections != nullptr)
        *connections += state == ESTABLISHED || state == CLOSE_WAIT;
    }
  }
  return total;
}

Usage usage_of (const World &w) {
  Usage u;
  std::string dir = "/proc/" + std::to_string(w.pid);
  std::ifstream in(dir + "/statm");
  size_t pages = 0;
  in >> pages >> pages;
  u.resident = pages * (size_t)sysconf(_SC_PAGESIZE);
  u.unread = unread_bytes(
      {(unsigned)w.callers, (unsigned)w.ready, (unsigned)w.metrics},
      &u.connections);
  if (DIR *fds = opendir((dir + "/fd").c_str())) {
    while (readdir(fds) != nullptr) u.descriptors++;
    closedir(fds);
    u.descriptors -= 2; // "." and ".."
  }
  return u;
}

} // namespace

#endif
