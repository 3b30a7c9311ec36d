// checker.h - checks what callers and engines observed against the guarantees
#ifndef tests_soak_checker_h
#define tests_soak_checker_h

#include <map>
#include <set>
#include <string>
#include <vector>

#include "disturbances.h"

namespace soak {

// Time from a change in the store until gateways must comply with it.
const long DRAIN_MS = 2000, EVACUATE_MS = 5000, REVOKE_MS = 5000,
           CONFIG_MS = 2000;

// A request body is to be quarantined after this many engine crashes. Later
// than CONTACT_MS after the last of them it may reach engines this many
// times.
const int QUARANTINE_CRASHES = 3, QUARANTINE_ARRIVALS_MAX = 3;
// The same of a prompt segment that requests with different bodies share.
const int SEGMENT_CRASHES = 5;

// Requests that a gateway may send to an engine during a backoff which that
// engine asked it for with Retry-After; the first BACKOFF_SLACK_MS are not
// counted.
const int BACKOFF_REQUESTS_MAX = 2;
const long BACKOFF_SLACK_MS = 500;

// A gateway that is disturbed within this time of learning that an engine is
// leaving may not have propagated it to the others.
const long PROPAGATE_MS = 500;

// Unsafe requests may run once at most, safe ones may be repeated; streams
// are answered as server-sent events.
enum class RouteKind { Unsafe, Safe, Stream };

// A request, as its caller knows it.
struct SentRequest {
  RouteKind kind;
  std::string workspace;
  int executions = 0;    // times that an engine began to execute it
  bool rejected = false; // its status implies that it was not executed
  int gateway = -1;      // index of the receiver; -1: deadlines not checked
  long at = 0;           // send time, ms
  std::string key, path;
  std::string resumes = ""; // id that began the stream which it takes up
};

// A stream as its caller has it, over all its tries.
struct Stream {
  int next = 0;        // number of the next event
  std::string version; // of the software of the engines of its events
  bool ended = false;  // the last event has come
  bool mixed = false;  // it has events of two versions
};

// A request body or prompt segment that crashes engines. Later than
// CONTACT_MS after the crash number `limit`, accountable gateways may send
// requests with it to engines QUARANTINE_ARRIVALS_MAX times in all.
struct PoisonBody {
  int crashes = 0, limit = QUARANTINE_CRASHES;
  long crashed_at = 0;     // time of the last crash
  long quarantined_at = 0; // time of crash `limit`; 0: not yet
  int arrivals = 0;        // counted once it is quarantined
};

// Requests that took a stream up, and new streams, while the version served:
// how many were sent, and how many of them got an event or a complete answer.
struct Share {
  long sent = 0, served = 0;
  void add (const Share &other) {
    sent += other.sent;
    served += other.served;
  }
  double part () const {
    return sent > 0 ? (double)served / (double)sent : 1;
  }
};

// With at least so many streams taken up, the share of them that go on must
// not be under half of the share of new streams that begin.
const long TAKEN_UP_MIN = 12;

// What the store lists of an engine.
struct EngineEntry {
  std::string service, domain;
};

// Matches the observations of callers and engines by request id and collects
// breaches of the guarantees. All times are ms of the steady clock.
class Checker {
public:
  std::vector<std::string> breaches;
  std::map<std::string, SentRequest> sent_requests;
  long replies = 0, rejections = 0, failures = 0, streams = 0,
       truncated_streams = 0;
  // Late requests from gateways that are not accountable, and the longest
  // delay of those from gateways that are.
  long late_exempt = 0, late_max_ms = 0;
  Disturbances disturbances;
  bool check_deadlines = true;      // false: late requests are only counted
  std::map<std::string, long> late; // number of late requests by guarantee
  std::map<std::string, EngineEntry> engines; // by id

  // A caller is about to send a request.
  void ask (const std::string &id, RouteKind kind,
            const std::string &workspace) {
    sent_requests[id] = {kind, workspace, 0, false, -1, 0, "", ""};
  }

  // {== Changes in the store and their deadlines

  // From now on something must not be used any more: an engine, a failure
  // domain, an API key, a path, or a path at a service. Not recorded while
  // the store is unstable, since no gateway is accountable then.
  void forbid (const std::string &what, long now) {
    if (disturbances.store_stable(now)) forbidden[what] = now;
  }
  void permit (const std::string &what) {
    forbidden.erase(what);
  }

  // An engine has received a request, no earlier than `now`. Engines and
  // domains are judged by the time of arrival, keys and paths by the time
  // when the caller sent the request.
  void on_arrival (const std::string &id, const std::string &engine,
                   long now) {
    auto it = sent_requests.find(id);
    if (it == sent_requests.end() || it->second.gateway < 0) return;
    const SentRequest &a = it->second;
    const EngineEntry &e = engines[engine];
    check_leaving(id, a, engine, now);
    check_deadline("DRAIN", id, a, "engine " + engine, DRAIN_MS, now);
    check_deadline("EVAC", id, a, "domain " + e.domain, EVACUATE_MS, now);
    check_deadline("REVOKE", id, a, "key " + a.key, REVOKE_MS, a.at);
    check_deadline("CONFIG", id, a, "path " + a.path, CONFIG_MS, a.at);
    check_deadline("CONFIG", id, a, "path " + a.path + " at " + e.service,
                   CONFIG_MS, a.at);
  }

  // }==

  // An engine begins to execute a request.
  void on_execution (const std::string &id, const std::string &workspace,
                     bool has_key) {
    auto it = sent_requests.find(id);
    if (it == sent_requests.end()) {
      breach("UNASKED", id, "executed a request that no caller sent");
      return;
    }
    SentRequest &a = it->second;
    a.executions++;
    if (workspace != a.workspace)
      breach("UNASKED", id,
             "executed for workspace \"" + workspace + "\", sent by \"" +
                 a.workspace + "\"");
    if (has_key)
      breach("UNASKED", id, "the caller's API key reached the engine");
    if (a.kind == RouteKind::Unsafe && a.executions > 1)
      breach("TWICE", id,
             "unsafe request executed " + std::to_string(a.executions) +
                 " times");
    if (a.kind == RouteKind::Unsafe && a.rejected)
      breach("REFUSED", id,
             "executed after it had been rejected as not executed");
  }

  // A caller has received a complete reply that is not an event stream.
  void on_reply (const std::string &id, int status, const std::string &seal,
                 const std::string &body) {
    SentRequest &a = sent_requests[id];
    if (status / 100 == 2) {
      replies++;
      if (seal.empty())
        breach("MIXED", id,
               "status " + std::to_string(status) + " without a seal");
      if (body != body_of(id))
        breach("MIXED", id, "unexpected body: " + body);
      return;
    }
    if (status != 503 && status != 429 && status != 408 && status != 421) {
      failures++;
      return;
    }
    rejections++;
    a.rejected = true;
    if (a.kind == RouteKind::Unsafe && a.executions > 0)
      breach("REFUSED", id,
             "rejected with status " + std::to_string(status) +
                 " after it was executed");
  }

  // By the id of the request that began it.
  std::map<std::string, Stream> streams_by_id;
  Share taken_up, begun;

  // The id of the request that began the stream of this one.
  std::string stream_id (const std::string &id) {
    const std::string &resumes = sent_requests[id].resumes;
    return resumes.empty() ? id : resumes;
  }
  // Checks the version that an event names, if any; returns the rest of its
  // text.
  std::string check_version (const std::string &id, Stream &stream,
                             const std::string &rest) {
    if (rest.compare(0, 2, " v") != 0) return rest;
    std::string version = rest.substr(1, rest.find(' ', 1) - 1);
    if (stream.version.empty()) stream.version = version;
    bool mixed = version != stream.version;
    if (mixed && !stream.mixed)
      breach("ORDER", id,
             "began at version " + stream.version + ", event of " + version);
    stream.mixed = stream.mixed || mixed;
    return rest.substr(1 + version.size());
  }
  // To be called at the end.
  void check_taken_up () {
    if (taken_up.sent < TAKEN_UP_MIN) return;
    if (taken_up.part() < begun.part() / 2)
      breach("LOST", "-",
             std::to_string(taken_up.served) + " of " +
                 std::to_string(taken_up.sent) +
                 " streams taken up went on, " +
                 std::to_string(begun.served) + " of " +
                 std::to_string(begun.sent) + " new ones began");
  }

  // Requests whose engine ended its unframed answer in order, midway: nobody
  // can tell that from a whole one.
  std::set<std::string> closed_midway;

  // A caller has received this much of an event stream, in the answer to this
  // request. `ended`: it looks complete, by its last chunk or, `unframed`, by
  // the end of its connection; else the stream counts as truncated, which is
  // no breach.
  void on_stream (const std::string &id, const std::string &text, bool ended,
                  bool unframed = false) {
    streams++;
    size_t at = 0;
    std::string first = stream_id(id);
    Stream &stream = streams_by_id[first];
    bool last = false;
    while (at < text.size()) {
      size_t end = text.find("\n\n", at);
      if (end == std::string::npos) break; // a truncated event
      std::string event = text.substr(at, end - at),
                  expected = event_of(first, stream.next), rest;
      bool matches = event.compare(0, expected.size(), expected) == 0;
      if (matches)
        rest = check_version(id, stream, event.substr(expected.size()));
      last = rest == " end";
      if (!matches || (!last && !rest.empty())) {
        breach("ORDER", id,
               "expected event " + std::to_string(stream.next) +
                   ", got: " + event);
        return;
      }
      at = end + 2;
      stream.next++;
      stream.ended = last;
    }
    if (!ended) truncated_streams++;
    if (unframed && closed_midway.count(id)) return;
    if (ended && (!last || at < text.size()))
      breach(unframed ? "CUT" : "ORDER", id,
             "stream marked as complete after " +
                 std::to_string(stream.next) + " events");
  }

  // {== Requests that crash engines

  std::map<std::string, PoisonBody> poison_bodies;

  void on_crash (const std::string &body, long now) {
    PoisonBody &d = poison_bodies[body];
    d.crashed_at = now;
    if (++d.crashes == d.limit) d.quarantined_at = now;
  }
  // An engine has received such a body, no earlier than `now`.
  void on_poison_arrival (const std::string &id, const std::string &body,
                          long now) {
    PoisonBody &d = poison_bodies[body];
    auto it = sent_requests.find(id);
    if (d.quarantined_at == 0 || now <= d.quarantined_at + CONTACT_MS) return;
    if (it != sent_requests.end() &&
        !disturbances.is_accountable(it->second.gateway, now))
      return;
    if (++d.arrivals <= QUARANTINE_ARRIVALS_MAX) return;
    late["BUDGET"]++;
    if (check_deadlines)
      breach("BUDGET", id,
             "arrival " + std::to_string(d.arrivals) +
                 " of what had crashed " + std::to_string(d.crashes) +
                 " engines, limit " +
                 std::to_string(QUARANTINE_ARRIVALS_MAX));
  }

  // }==

  // {== Server-Leaving and Retry-After in engines' replies

  // A backoff that an engine asked a gateway for. The gateway's requests
  // between `from` and `until` are counted; BACKOFF_REQUESTS_MAX are allowed.
  struct Backoff {
    long from, until;
    int arrivals;
  };
  // A gateway, and when it first forwarded a reply with Server-Leaving.
  struct LeavingSeen {
    int gateway;
    long at;
  };
  // By gateway and engine: the backoffs, and the time when the gateway first
  // forwarded a reply with Server-Leaving.
  std::map<std::pair<int, std::string>, std::vector<Backoff>> backoffs;
  std::map<std::pair<int, std::string>, long> leaving_seen;
  // By engine: the first of all gateways that forwarded such a reply.
  std::map<std::string, LeavingSeen> first_leaving_seen;
  // Requests that arrived more than DRAIN_MS after that, whether or not the
  // gateways were in contact.
  std::vector<std::string> late_after_first;
  long backoffs_requested = 0, backoffs_violated = 0, leaving_replies = 0;
  std::map<std::string, long> rejected_with_capacity; // by reply body

  // An engine rejects a request with a Retry-After of `ms`. Backoffs within
  // BACKOFF_SLACK_MS are not recorded.
  void on_backoff_request (const std::string &id, const std::string &engine,
                           long now, long ms) {
    auto it = sent_requests.find(id);
    if (it == sent_requests.end() || it->second.gateway < 0 ||
        ms <= BACKOFF_SLACK_MS)
      return;
    backoffs_requested++;
    backoffs[{it->second.gateway, engine}].push_back(
        {now + BACKOFF_SLACK_MS, now + ms, 0});
  }
  // A caller has received the header of a reply with Server-Leaving.
  void on_leaving_reply (int gateway, const std::string &engine, long now) {
    if (leaving_seen.insert({{gateway, engine}, now}).second)
      leaving_replies++;
    first_leaving_seen.insert({engine, {gateway, now}});
  }
  // An engine has restarted under the same id. Server-Leaving holds only for
  // the incarnation that sent it.
  void on_engine_restart (const std::string &engine) {
    first_leaving_seen.erase(engine);
    for (auto it = leaving_seen.begin(); it != leaving_seen.end();)
      it =
          it->first.second == engine ? leaving_seen.erase(it) : std::next(it);
  }
  // Counts a request during a backoff. It arrived between `since` and `now`;
  // one that may have arrived outside the backoff is not counted, nor one
  // from a gateway that was disturbed since the backoff began.
  void check_backoff (const std::string &id, const SentRequest &a,
                      const std::string &engine, long since, long now) {
    for (Backoff &backoff : backoffs[{a.gateway, engine}]) {
      if (since <= backoff.from || now >= backoff.until) continue;
      if (disturbances.was_disturbed(a.gateway,
                                     backoff.from - BACKOFF_SLACK_MS))
        continue;
      if (++backoff.arrivals != BACKOFF_REQUESTS_MAX + 1) continue;
      backoffs_violated++;
      late["REST"]++;
      if (check_deadlines)
        breach("REST", id,
               "engine " + engine + " from g" + std::to_string(a.gateway) +
                   ": more than " + std::to_string(BACKOFF_REQUESTS_MAX) +
                   " requests during its backoff");
    }
  }
  // Checks a request that arrived no earlier than `since` at an engine that
  // may have sent Server-Leaving. SAID: it was sent more than DRAIN_MS after
  // its own gateway had forwarded that. TOLD: it arrived more than DRAIN_MS
  // after the first of all gateways had, and both gateways are in contact.
  void check_leaving (const std::string &id, const SentRequest &a,
                      const std::string &engine, long since) {
    auto own = leaving_seen.find({a.gateway, engine});
    if (own != leaving_seen.end() && a.at > own->second + DRAIN_MS &&
        !disturbances.was_disturbed(a.gateway, own->second))
      record_late_leaving("SAID", id, a, engine, a.at - own->second);
    auto first = first_leaving_seen.find(engine);
    if (first == first_leaving_seen.end()) return;
    const LeavingSeen &by = first->second;
    if (since > by.at + DRAIN_MS) {
      late_after_first.push_back(engine + " from g" +
                                 std::to_string(a.gateway) + ", " +
                                 std::to_string(since - by.at) +
                                 " ms after g" + std::to_string(by.gateway));
    }
    bool propagated =
        !disturbances.was_disturbed(by.gateway, by.at, by.at + PROPAGATE_MS);
    if (!propagated || since <= by.at + DRAIN_MS) return;
    if (disturbances.in_contact(a.gateway, since) &&
        disturbances.in_contact(by.gateway, since))
      record_late_leaving("TOLD", id, a, engine, since - by.at);
  }
  void record_late_leaving (const char *guarantee, const std::string &id,
                            const SentRequest &a, const std::string &engine,
                            long ms) {
    late[guarantee]++;
    late_max_ms = std::max(late_max_ms, ms);
    if (check_deadlines)
      breach(guarantee, id,
             "engine " + engine + " from g" + std::to_string(a.gateway) +
                 ", " + std::to_string(ms) +
                 " ms after Server-Leaving, limit " +
                 std::to_string(DRAIN_MS) + " ms");
  }

  // }==

  // Checks the use of `what` at `now` against its deadline, `bound` ms after
  // it was forbidden.
  void check_deadline (const char *guarantee, const std::string &id,
                       const SentRequest &a, const std::string &what,
                       long bound, long now) {
    auto it = forbidden.find(what);
    if (it == forbidden.end() || now - it->second <= bound) return;
    if (!disturbances.is_accountable(a.gateway, now)) {
      late_exempt++;
      return;
    }
    late[guarantee]++;
    late_max_ms = std::max(late_max_ms, now - it->second);
    if (check_deadlines)
      breach(guarantee, id,
             what + " from g" + std::to_string(a.gateway) + ", " +
                 std::to_string(now - it->second) +
                 " ms after the change in the store, limit " +
                 std::to_string(bound) + " ms");
  }
  void breach (const std::string &guarantee, const std::string &id,
               const std::string &what) {
    breaches.push_back(guarantee + " " + id + ": " + what);
  }

  std::map<std::string, long> forbidden; // what -> since when

  static std::string body_of (const std::string &id) {
    return "answer to " + id + " and to nobody else";
  }
  static std::string event_of (const std::string &id, int number) {
    return "id: " + std::to_string(number) + "\ndata: " + id + " " +
           std::to_string(number);
  }
};

} // namespace soak

#endif
