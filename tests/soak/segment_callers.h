// segment_callers.h - callers of prompts of which some have a segment that
// crashes engines
#ifndef tests_soak_segment_callers_h
#define tests_soak_segment_callers_h

#include <deque>

#include "caller.h"

namespace soak {

// Which segment of three shared ones crashes engines, in which requests.
struct SegmentMix {
  int place = 1;       // of the segment, from 0
  bool streams = true; // requests are streams, else plain
  int deadly = 2;      // of 100 requests
  int beside = 12;     // of 100: sound ones with the other segments
};

// Callers without pauses, each with one request at a time on a connection of
// its own. No two requests are alike. Requests from 2 * CONTACT_MS after the
// last end that counts on are counted for LOST.
class SegmentCallers {
public:
  SegmentCallers(World &of, std::vector<Gateway> &list, unsigned seed)
      : world(of), gateways(list), random(seed * 67867967) {
  }
  void add (int count, const SegmentMix &chosen) {
    callers.resize((size_t)count);
    mix = chosen;
    if (mix.deadly > 0) world.poison_segments.insert(DEADLY);
    world.checker.poison_bodies[DEADLY].limit = SEGMENT_CRASHES;
    started_at = now_ms();
  }
  void step (bool sending) {
    for (One &c : callers) {
      if (c.conn != nullptr)
        read(c);
      else if (sending && now_ms() >= c.next_at)
        send(c);
    }
  }
  bool idle () const {
    for (const One &c : callers)
      if (c.conn != nullptr) return false;
    return true;
  }
  // Sound requests with the other segments of the deadly ones, and all others
  // of the route.
  Share beside, others;
  long sent = 0;

private:
  static constexpr const char *DEADLY = "dead";
  enum class Kind { Deadly, Beside, Other };
  struct One {
    Conn *conn = nullptr;
    int gateway = -1;
    Kind kind = Kind::Other;
    std::string id;
    long sent_at = 0, next_at = 0;
    bool counted = false;
  };
  World &world;
  std::vector<Gateway> &gateways;
  // An engine that crashes may end its answers in order.
  bool judges (const Reply &a) const {
    return !a.unframed || !world.crash_closes;
  }
  Random random;
  std::deque<One> callers;
  SegmentMix mix;
  long started_at = 0;

  Kind pick () {
    int draw = (int)(random() % 100);
    if (draw < mix.deadly) return Kind::Deadly;
    return draw < mix.deadly + mix.beside ? Kind::Beside : Kind::Other;
  }
  // The prompt's segments but for the last. Others of the route have their
  // own, of which some are popular.
  std::string segments (Kind kind) {
    std::string text;
    std::string set =
        kind == Kind::Other ? "b" + std::to_string(random() % 12) : "a";
    for (int i = 0; i < 3; i++) {
      std::string id = set + std::to_string(i);
      if (i == mix.place && kind == Kind::Deadly) id = DEADLY;
      if (i == mix.place && kind == Kind::Beside)
        id = "c" + std::to_string(random() % 8);
      text += id + ":100,";
    }
    return text;
  }
  void send (One &c) {
    Gateway &g = gateways[random() % gateways.size()];
    c.next_at = now_ms() + 5;
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
    c.gateway = g.index;
    c.kind = pick();
    c.id = "p" + std::to_string(++sent);
    c.sent_at = now_ms();
    c.counted = counts(c);
    RouteKind kind = mix.streams ? RouteKind::Stream : RouteKind::Safe;
    world.checker.ask(c.id, kind, "w1");
    SentRequest &request = world.checker.sent_requests[c.id];
    request.gateway = c.gateway;
    request.at = c.sent_at;
    request.path = mix.streams ? "/gen/" : "/safe/";
    c.conn->send(::World::ask(request.path + "x", c.id, "body " + c.id,
                              "X-Model: m\r\nX-Token-Usage: 600,20\r\n"
                              "X-Prefix-Hash: " +
                                  segments(c.kind) + c.id + ":100\r\n"));
  }
  // The deadly segment's engines have ended, or nothing is deadly.
  bool counts (const One &c) const {
    const PoisonBody &poison = world.checker.poison_bodies.at(DEADLY);
    long since =
        poison.quarantined_at != 0 ? poison.quarantined_at : started_at;
    bool known =
        mix.deadly == 0 || poison.quarantined_at != 0 ||
        (poison.crashes > 0 && now_ms() > poison.crashed_at + 2 * CONTACT_MS);
    return known && now_ms() > since + 2 * CONTACT_MS &&
           world.checker.disturbances.is_accountable(c.gateway, now_ms());
  }
  void read (One &c) {
    Reply a = parse_reply(*c.conn);
    if (!a.complete && !c.conn->closed && now_ms() - c.sent_at < 4000) return;
    if (a.event_stream)
      world.checker.on_stream(c.id, a.body, a.complete && judges(a),
                              a.unframed);
    else if (a.complete)
      world.checker.on_reply(c.id, a.status, a.seal, a.body);
    bool begun = a.status == 200 && !a.body.empty();
    if (c.counted && c.kind != Kind::Deadly) {
      Share &share = c.kind == Kind::Beside ? beside : others;
      share.sent++;
      share.served += begun;
    }
    if (c.counted && c.kind == Kind::Beside && !begun)
      world.log_event("not begun id=" + c.id + " g" +
                      std::to_string(c.gateway) + " " + a.body);
    c.next_at = now_ms() + (begun ? 0 : 10);
    close(c);
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
