// gateway_world.h - a gateway with scripted callers, engines and store
//
// Everything runs in one thread: sockets make progress in pump() and until().
#ifndef tests_gateway_world_h
#define tests_gateway_world_h

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <openssl/evp.h>
#include <poll.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstring>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace {

// {== Sockets ==============================================================

// A connection; `in` holds bytes that were received and not yet consumed.
struct Conn {
  int fd;
  std::string in;
  bool closed = false, reset = false;
  bool answered = false; // the listener's `early` was called for this request
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

// `head` is the start line and header fields, each after a CRLF.
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
  int accepted = 0; // connections
  Handler early;    // called before the body has been received; may be null
};

std::string base64 (const std::string &text) {
  std::string out((text.size() + 2) / 3 * 4 + 1, '\0');
  int n =
      EVP_EncodeBlock((unsigned char *)out.data(),
                      (const unsigned char *)text.data(), (int)text.size());
  out.resize((size_t)n);
  return out;
}

// An HTTP answer; each of `fields` ends with CRLF.
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

// {== One gateway and its surroundings =====================================

// An entry of the store.
struct Item {
  std::string value;
  long rev;
};

// The gateway process, its configuration store, and the connections and
// listeners of callers and engines.
struct World {
  std::list<Conn> conns;
  std::list<Listener> listeners;
  std::map<std::string, Item> items; // the store's entries
  long rev = 10;                     // the store's revision
  // A watch call that waits for changes after the revision `since`.
  struct Watch {
    Conn *conn;
    std::string prefix;
    long since;
  };
  std::vector<Watch> watches;
  std::map<std::string, long> removed; // key -> revision of its removal
  std::set<std::string> compacted;     // key ranges whose next watch gets 410
  std::map<std::string, Item> stale_items; // in stale lists; empty: none
  int stale_lists_served = 0;
  int era = 0; // the store's era, in its answers; 0: not named
  int lists_served = 0, watches_gone = 0; // watches answered with 410
  int calls_refused = 0; // calls whose request line no strict server reads
  size_t page = 0;       // most items of one answer to a list; 0: no limit
  // Called after each answer to a list, with its range.
  std::function<void(const std::string &)> on_list;
  std::string seeds; // addresses of other routers, as JSON strings
  Listener *store;
  pid_t pid = -1; // the gateway's process
  int out = -1;   // pipe from its standard output
  std::string log, dir;
  int callers = 0, ready = 0, metrics = 0; // its ports

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
                             const std::string &more = "",
                             const std::string &tenants = "") {
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
           "\"kv_tokens\":90000,\"kv_token_bytes\":35000,"
           "\"link_mbps\":1000000,\"moves\":true}}],\"limits\":{\"max_header_bytes\":4096,"
           "\"max_body_bytes\":100000,\"header_timeout_ms\":3000,"
           "\"idle_timeout_ms\":15000,\"tokens_per_s\":100000},"
           "\"tenants\":[{\"name\":\"w1\",\"api_keys\":[\"" +
           key + "\"]}" + tenants + "]}";
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

  // Reads all sockets that are ready, waiting up to 20 ms for one; complete
  // requests go to their handlers.
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
    l.accepted++;
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
  // Moves one complete request out of `in`; false if there is none.
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

  // Runs until a condition holds; the limit only ends a test that has failed.
  bool until (const std::function<bool()> &cond) {
    for (int i = 0; i < 1500; i++) {
      if (cond()) return true;
      pump();
    }
    return false;
  }

  // {== Store

  // The bytes of a key that is written as in a JSON string. A lone surrogate
  // is encoded like any other code point.
  static std::string key_bytes (const std::string &written) {
    std::string bytes;
    for (size_t i = 0; i < written.size(); i++) {
      if (written[i] != '\\') {
        bytes += written[i];
        continue;
      }
      char c = written[++i];
      if (c != 'u') {
        const char *at = strchr("nrtbf", c);
        bytes += at && c ? "\n\r\t\b\f"[at - "nrtbf"] : c;
        continue;
      }
      unsigned code =
          (unsigned)strtoul(written.substr(i + 1, 4).c_str(), nullptr, 16);
      i += 4;
      if (code < 0x80) {
        bytes += (char)code;
        continue;
      }
      if (code >= 0x800) bytes += (char)(0xe0 | code >> 12);
      bytes +=
          (char)(code >= 0x800 ? 0x80 | (code >> 6 & 63) : 0xc0 | code >> 6);
      bytes += (char)(0x80 | (code & 63));
    }
    return bytes;
  }
  // The decoded query of a request line, as a strict server reads it: false
  // for a line of other than three parts, bytes that no URL has, or a "%"
  // without two digits.
  static bool read_query (const std::string &line,
                          std::map<std::string, std::string> &query) {
    size_t first = line.find(' '), last = line.rfind(' ');
    if (first == last || line.substr(last + 1) != "HTTP/1.1") return false;
    std::string target = line.substr(first + 1, last - first - 1), name, text;
    size_t mark = target.find('?');
    bool in_value = false;
    for (size_t i = mark; i < target.size(); i++) {
      char c = target[i];
      if (c <= ' ' || c > '~' || strchr("\"#<>\\^`{|}", c)) return false;
      if (c == '&' || i == mark) {
        if (in_value) query[name] = text;
        name = text = "";
        in_value = false;
      } else if (!in_value) {
        in_value = c == '=';
        if (!in_value) name += c;
      } else if (c == '%') {
        if (i + 2 >= target.size() || !isxdigit(target[i + 1]) ||
            !isxdigit(target[i + 2]))
          return false;
        text += (char)strtoul(target.substr(i + 1, 2).c_str(), nullptr, 16);
        i += 2;
      } else {
        text += c == '+' ? ' ' : c;
      }
    }
    if (in_value) query[name] = text;
    return true;
  }
  std::string item (const std::string &key) {
    const Item &i = items[key];
    return "{\"key\":\"" + key + "\",\"value\":\"" + base64(i.value) +
           "\",\"rev\":" + std::to_string(i.rev) + "}";
  }
  // Answers a list or watch call. A watch waits until there are changes.
  void serve_store (Conn &c, const Request &r) {
    std::string line = r.line();
    std::map<std::string, std::string> query;
    if (!read_query(line, query)) {
      calls_refused++;
      c.send(answer(400, era_field(), ""));
      return;
    }
    std::string prefix = query["path_prefix"];
    if (line.find("/-/kv-watch") != std::string::npos) {
      long since = std::stol(query["since_rev"]);
      if (compacted.erase(prefix) > 0 || since > rev) {
        watches_gone++;
        c.send(answer(410, era_field(), ""));
        return;
      }
      watches.push_back({&c, prefix, since});
      notify_watches();
      return;
    }
    lists_served++;
    size_t count = 0;
    std::string all, after = query["since_rev"], more = "false";
    bool stale = !stale_items.empty() && query["stale"] == "1";
    stale_lists_served += stale;
    std::map<std::string, Item> now = items;
    if (stale) items = stale_items;
    std::map<std::string, std::string> keys; // in the order of their bytes
    for (auto &i : items) keys[key_bytes(i.first)] = i.first;
    for (auto &i : keys) {
      if (i.first.compare(0, prefix.size(), prefix) != 0) continue;
      if (i.first <= after) continue;
      if (page > 0 && count == page) {
        more = "true";
        break;
      }
      count++;
      all += (all.empty() ? "" : ",") + item(i.second);
    }
    items = now;
    c.send(answer(200, "Content-Type: application/json\r\n" + era_field(),
                  "{\"items\":[" + all + "],\"more\":" + more +
                      ",\"at\":" + std::to_string(rev) + "}"));
    if (on_list) on_list(prefix);
  }
  std::string era_field () const {
    return era > 0 ? "Store-Era: " + std::to_string(era) + "\r\n" : "";
  }
  // Answers the watches that have changes.
  void notify_watches () {
    for (size_t w = watches.size(); w-- > 0;) {
      std::string all;
      for (auto &i : items)
        if (i.second.rev > watches[w].since &&
            i.first.compare(0, watches[w].prefix.size(), watches[w].prefix) ==
                0)
          all += (all.empty() ? "" : ",") + item(i.first);
      for (auto &i : removed)
        if (i.second > watches[w].since &&
            i.first.compare(0, watches[w].prefix.size(), watches[w].prefix) ==
                0)
          all += (all.empty() ? "" : ",") + ("{\"key\":\"" + i.first) +
                 "\",\"rev\":" + std::to_string(i.second) + ",\"gone\":true}";
      if (all.empty()) continue;
      if (watches[w].conn->fd >= 0)
        watches[w].conn->send(answer(
            200, era_field(),
            "{\"events\":[" + all + "],\"at\":" + std::to_string(rev) + "}"));
      watches.erase(watches.begin() + (long)w);
    }
  }
  void put (const std::string &key, const std::string &value) {
    items[key] = {value, ++rev};
    notify_watches();
  }

  // Removes an entry. `notify`: watches report that; else only lists show it.
  void remove (const std::string &key, bool notify = true) {
    items.erase(key);
    rev++;
    if (notify) removed[key] = rev;
    notify_watches();
  }
  // A backup of the store.
  struct Backup {
    std::map<std::string, Item> items;
    std::map<std::string, long> removed;
    long rev;
  };
  Backup backup () const {
    return {items, removed, rev};
  }
  // Restores the store from a backup: all watches are reset, revisions
  // continue from the backup's, and a new era begins.
  void restore (const Backup &from) {
    items = from.items;
    removed = from.removed;
    rev = from.rev;
    era++;
    for (Watch &w : watches)
      if (w.conn->fd >= 0) w.conn->abort();
    watches.clear();
  }
  // Drops the store's history: each range's watch gets 410, the present one
  // or else the next one.
  void compact () {
    compacted = {"op/", "servers/"};
    for (Watch &w : watches) {
      if (w.conn->fd < 0) continue;
      w.conn->send(answer(410, "", ""));
      compacted.erase(w.prefix);
    }
    watches.clear();
  }

  // }==

  // {== The gateway

  int peers_port = 0;       // for messages of other routers; 0: any
  int grace_ms = 8000;      // from SIGTERM until the process exits
  rlim_t descriptors = 0;   // limit of the gateway's process; 0: the default
  rlim_t address_space = 0; // the same, bytes
  std::string further;      // further settings, each after a comma

  std::string settings () const {
    return "{\"node\":\"g1\",\"domain\":\"d1\",\"callers\":\"127.0.0.1:0\","
           "\"ready\":\"127.0.0.1:0\",\"metrics\":\"127.0.0.1:0\","
           "\"peers\":\"127.0.0.1:" +
           std::to_string(peers_port) +
           "\",\"grace_ms\":" + std::to_string(grace_ms) + ",\"seeds\":[" +
           seeds +
           "],"
           "\"log_lines_per_s\":100000,\"source\":{\"store\":\"127.0.0.1:" +
           std::to_string(store->port) + "\"}" + further + "}";
  }
  // Starts the process and does not wait for it. Its output pipe is small, to
  // fill up soon where nobody reads it.
  void launch (const std::string &file) {
    int fds[2];
    ASSERT_EQ(pipe(fds), 0);
    fcntl(fds[1], F_SETPIPE_SZ, 4096);
    const char *bin = getenv("MT_BIN");
    std::string program = std::string(bin ? bin : "build") + "/martentiller";
    pid = fork();
    if (pid == 0) {
      dup2(fds[1], 1);
      if (descriptors > 0) {
        struct rlimit limit = {descriptors, descriptors};
        for (int fd = 3; fd < 1024; fd++) ::close(fd);
        setrlimit(RLIMIT_NOFILE, &limit);
      }
      if (address_space > 0) {
        struct rlimit limit = {address_space, address_space};
        setrlimit(RLIMIT_AS, &limit);
      }
      execl(program.c_str(), program.c_str(), "gateway", "--settings",
            file.c_str(), (char *)nullptr);
      _exit(127);
    }
    ::close(fds[1]);
    out = fds[0];
  }
  // Starts the gateway and waits until it is ready. `keep_log`: false leaves
  // its output unread from then on.
  void start (bool keep_log = true) {
    std::string file = dir + "/settings.json";
    std::ofstream(file) << settings();
    launch(file);
    ASSERT_TRUE(until([&] { return log.find("event=start") != log.npos; }));
    callers = port("callers=");
    ready = port("ready=");
    metrics = port("metrics=");
    ASSERT_TRUE(until([&] { return ready_status() == 200; }));
    if (!keep_log) { // no longer read, but still open
      unread_log = out;
      out = -1;
    }
  }
  int unread_log = -1; // the pipe, after start(false)
  // The port of an address in the log's start line.
  int port (const std::string &name) {
    size_t at = log.find(name);
    at = log.find(':', at) + 1;
    return atoi(log.c_str() + at);
  }
  int ready_status () {
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
  // The text of a request of the workspace w1 with this id.
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
  // Sends a request on a new connection and returns the answer.
  std::string call (const std::string &text) {
    return fetch(callers, text);
  }
  std::string fetch (int port, const std::string &text) {
    Conn *c = connect(port);
    if (c == nullptr) return "";
    c->send(text);
    until([&] { return c->closed || is_complete(c->in); });
    std::string in = c->in;
    c->close();
    return in;
  }
  // True if an answer is complete.
  static bool is_complete (const std::string &in) {
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

} // namespace

#endif
