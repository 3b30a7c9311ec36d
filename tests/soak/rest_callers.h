// rest_callers.h - callers that let kept connections rest between requests
#ifndef tests_soak_rest_callers_h
#define tests_soak_rest_callers_h

#include <deque>

#include "caller.h"

namespace soak {

// A request that a caller sends this long before the idle time is over must
// be answered or refused; a later one may meet the gateway's close.
const long REST_MARGIN_MS = 100;
// A request may meet the close of a gateway that was told to stop if the
// connection ends within this time of its last byte.
const long STOP_CROSSING_MS = 200;
// A request that has neither an answer nor a refusal after this time is lost.
const long REST_ANSWER_MS = 6000;

// How a request on a kept connection ended without an answer. All times are
// ms of the steady clock.
struct RestEnd {
  long answered_at, idle_ms; // the answer before it, the idle time in force
  long sent_at, ended_at;
  bool stopping;  // the gateway was told to stop
  bool passed_on; // an engine has got it
};

// LOST: true if the request may not end so.
inline bool is_lost_at_rest (const RestEnd &e) {
  if (e.passed_on) return true;
  if (e.sent_at > e.answered_at + e.idle_ms - REST_MARGIN_MS) return false;
  bool crossed = e.stopping && e.sent_at + STOP_CROSSING_MS >= e.ended_at;
  return !crossed;
}

// Callers that rest for up to 1.1 of the idle time and then send a short
// request on the same connection.
class RestCallers {
public:
  long sent = 0, answered = 0, refused = 0;
  // Closed without a byte, in requests that may end so; connections that were
  // closed before their next request.
  long crossed = 0, closed_at_rest = 0;
  long longest_stall_ms = 0; // from a request to the close of its connection

  RestCallers(World &of, std::vector<Gateway> &list, unsigned seed)
      : world(of), gateways(list), random(seed * 141650939) {
  }
  void add (int count) {
    callers.resize(callers.size() + (size_t)count);
  }
  void step (bool sending) {
    for (One &c : callers) {
      if (c.busy)
        read(c);
      else if (sending && now_ms() >= c.next_at)
        send(c);
    }
  }
  bool idle () const {
    for (const One &c : callers)
      if (c.busy) return false;
    return true;
  }

private:
  struct One {
    Conn *conn = nullptr;
    Gateway *gateway = nullptr;
    pid_t pid = -1; // of the gateway's process
    std::string id;
    bool busy = false;
    long answered_at = 0, idle_ms = 0; // 0: nothing was answered yet
    long sent_at = 0, next_at = 0;
  };
  World &world;
  std::vector<Gateway> &gateways;
  Random random;
  std::deque<One> callers;

  void connect (One &c) {
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
    c.pid = g.pid;
    c.answered_at = 0;
  }
  void send (One &c) {
    if (c.conn != nullptr && c.conn->closed) {
      closed_at_rest++;
      close(c);
    }
    if (c.conn == nullptr) connect(c);
    c.next_at = now_ms() + 20;
    if (c.conn == nullptr) return;
    bool once = chance(random, 0.3);
    c.id = "k" + std::to_string(++sent);
    c.sent_at = now_ms();
    world.checker.ask(c.id, once ? RouteKind::Unsafe : RouteKind::Safe, "w1");
    c.conn->in.clear();
    c.conn->send(::World::ask(once ? "/once/x" : "/safe/x", c.id));
    c.busy = true;
  }
  void read (One &c) {
    Reply a = parse_reply(*c.conn);
    long now = now_ms();
    // What came since the poll before is not read: the soak may stand still.
    bool late = world.previous_poll_at > c.sent_at + REST_ANSWER_MS;
    if (!a.complete && !c.conn->closed && !late) return;
    c.busy = false;
    if (!a.complete) {
      on_unanswered(c, now);
      close(c);
      return;
    }
    world.checker.on_reply(c.id, a.status, a.seal, a.body);
    answered += a.status / 100 == 2;
    refused += a.status / 100 != 2;
    // The answer came after the poll before.
    c.answered_at = world.previous_poll_at;
    c.idle_ms = world.idle_in_force(c.answered_at);
    double part = chance(random, 0.15) ? 1.1 : 0.2 + 0.7 * draw();
    c.next_at = c.answered_at + (long)(part * (double)c.idle_ms);
    if (a.connection_close) close(c);
  }
  double draw () {
    return std::uniform_real_distribution<double>(0, 1)(random);
  }
  void on_unanswered (const One &c, long now) {
    const SentRequest &sent_request = world.checker.sent_requests[c.id];
    bool stopped = c.gateway->pid != c.pid || c.gateway->stopping;
    RestEnd end = {c.answered_at, c.idle_ms, c.sent_at,
                   now,           stopped,   sent_request.executions > 0};
    longest_stall_ms = std::max(longest_stall_ms, now - c.sent_at);
    // Nothing says how long a new connection has been idle.
    if (c.answered_at == 0)
      end.answered_at = c.sent_at, end.idle_ms = INT_MAX;
    std::string what =
        "no answer from g" + std::to_string(c.gateway->index) + ", sent " +
        std::to_string(c.sent_at - end.answered_at) +
        " ms after the last one, idle time " + std::to_string(end.idle_ms) +
        " ms, ended " + std::to_string(now - c.sent_at) + " ms later" +
        (stopped ? ", told to stop" : "") +
        (end.passed_on ? ", passed on" : "");
    world.log_event("unanswered id=" + c.id + " " + what);
    if (is_lost_at_rest(end))
      world.checker.breach("LOST", c.id, what);
    else
      crossed++;
  }
  void close (One &c) {
    c.conn->close();
    for (auto it = world.conns.begin(); it != world.conns.end(); ++it)
      if (&*it == c.conn) {
        world.conns.erase(it);
        break;
      }
    c.conn = nullptr;
  }
};

} // namespace soak

#endif
