// checker.h - what callers and engines saw, held against the promises
#ifndef tests_soak_checker_h
#define tests_soak_checker_h

#include <map>
#include <string>
#include <vector>

#include "touch.h"

namespace soak {

// From the moment when the store took it until it binds.
const long DRAIN_MS = 2000, EVACUATE_MS = 5000, REVOKE_MS = 5000,
           CONFIG_MS = 2000;

// A request under which so many engines ended is known; how often it may
// reach engines after that and CONTACT_MS.
const int ENDS_KNOWN = 3, ARRIVALS_MORE = 3;

// An engine that asked for rest gets at most so many requests from that
// gateway, behind the first half second.
const int RESTS_ALLOWED = 2;
const long REST_SLACK_MS = 500;

// A gateway that is killed sooner may have told nobody what it learnt.
const long TEACH_MS = 500;

enum class Kind { Once, Again, Stream };

// One request of a caller, as it saw it.
struct Asked {
  Kind kind;
  std::string workspace;
  int runs = 0;          // engines that began it
  bool promised = false; // refused as not run
  int gateway = -1;      // that took it; -1: it does not matter
  long at = 0;           // when it was sent
  std::string key, path;
};

// An engine as the store lists it.
struct Listed {
  std::string service, domain;
};

// Collects breaches of promises; a caller's and an engine's view meet here.
class Checker {
public:
  std::vector<std::string> breaches;
  std::map<std::string, Asked> asked;
  long answers = 0, refusals = 0, failures = 0, streams = 0, cuts = 0;
  // Late, but from gateways that are not bound; the latest of those that are.
  long excused = 0, latest = 0;
  Touch touch;
  bool judges_times = true; // else breaches of times are counted alone
  std::map<std::string, long> late;
  std::map<std::string, Listed> engines;

  void ask (const std::string &id, Kind kind, const std::string &workspace) {
    asked[id] = {kind, workspace, 0, false, -1, 0, "", ""};
  }

  // {== What the store takes, and when

  // Something may not be used any more: an engine, a failure domain, a key, a
  // path, a path at a service. While the store is unstable that binds nobody.
  void ends (const std::string &what, long now) {
    if (touch.stable(now)) forbidden[what] = now;
  }
  void again (const std::string &what) {
    forbidden.erase(what);
  }

  // A request is at an engine; it came no earlier than `now`.
  void arrives (const std::string &id, const std::string &engine, long now) {
    auto it = asked.find(id);
    if (it == asked.end() || it->second.gateway < 0) return;
    const Asked &a = it->second;
    const Listed &e = engines[engine];
    heeds_leaving(id, a, engine, now);
    judge("DRAIN", id, a, "engine " + engine, DRAIN_MS, now);
    judge("EVAC", id, a, "domain " + e.domain, EVACUATE_MS, now);
    judge("REVOKE", id, a, "key " + a.key, REVOKE_MS, a.at);
    judge("CONFIG", id, a, "path " + a.path, CONFIG_MS, a.at);
    judge("CONFIG", id, a, "path " + a.path + " at " + e.service, CONFIG_MS,
          a.at);
  }

  // }==

  // An engine begins a request.
  void run (const std::string &id, const std::string &workspace,
            bool has_key) {
    auto it = asked.find(id);
    if (it == asked.end()) {
      breach("UNASKED", id, "no caller sent it");
      return;
    }
    Asked &a = it->second;
    a.runs++;
    if (workspace != a.workspace) breach("UNASKED", id, "wrong workspace");
    if (has_key) breach("UNASKED", id, "the key was passed on");
    if (a.kind == Kind::Once && a.runs > 1) breach("TWICE", id, "ran again");
    if (a.kind == Kind::Once && a.promised)
      breach("REFUSED", id, "runs after the promise that it does not");
  }

  // A caller has a whole answer that is no stream.
  void answered (const std::string &id, int status, const std::string &seal,
                 const std::string &body) {
    Asked &a = asked[id];
    if (status / 100 == 2) {
      answers++;
      if (seal.empty()) breach("MIXED", id, "a success without a seal");
      if (body != body_of(id)) breach("MIXED", id, "another body: " + body);
      return;
    }
    if (status != 503 && status != 429 && status != 408 && status != 421) {
      failures++;
      return;
    }
    refusals++;
    a.promised = true;
    if (a.kind == Kind::Once && a.runs > 0)
      breach("REFUSED", id, "it had run");
  }

  // A caller has so much of a stream; `ended`: its end was marked.
  void streamed (const std::string &id, const std::string &text, bool ended) {
    streams++;
    size_t at = 0;
    int next = 0;
    bool last = false;
    while (at < text.size()) {
      size_t end = text.find("\n\n", at);
      if (end == std::string::npos) break; // the rest of a cut event
      std::string event = text.substr(at, end - at);
      last = event == event_of(id, next) + " end";
      if (!last && event != event_of(id, next)) {
        breach("ORDER", id, "event " + std::to_string(next) + ": " + event);
        return;
      }
      at = end + 2;
      next++;
    }
    if (!ended) cuts++;
    if (ended && (!last || at < text.size()))
      breach("ORDER", id, "ends as complete after " + std::to_string(next));
  }

  // {== Requests under which engines end

  // What a body has done: after ENDS_KNOWN ends and CONTACT_MS gateways in
  // touch may send it to engines ARRIVALS_MORE times more.
  struct Deadly {
    int ends = 0;
    long known = 0; // the last of the ends that make it known
    int arrivals = 0;
  };
  std::map<std::string, Deadly> deadly;

  void ended_under (const std::string &body, long now) {
    Deadly &d = deadly[body];
    if (++d.ends == ENDS_KNOWN) d.known = now;
  }
  // An engine begins it; it came no earlier than `now`.
  void begins_deadly (const std::string &id, const std::string &body,
                      long now) {
    Deadly &d = deadly[body];
    auto it = asked.find(id);
    if (d.known == 0 || now <= d.known + CONTACT_MS) return;
    if (it != asked.end() && !touch.binds(it->second.gateway, now)) return;
    if (++d.arrivals <= ARRIVALS_MORE) return;
    late["BUDGET"]++;
    if (judges_times)
      breach("BUDGET", id,
             "arrival " + std::to_string(d.arrivals) +
                 " of one that had ended " + std::to_string(d.ends) +
                 " engines");
  }

  // }==

  // {== What engines say of themselves

  // The rest that an engine asked a gateway for: its requests from `from` to
  // `until` are counted, RESTS_ALLOWED are allowed.
  struct Rest {
    long from, until;
    int arrivals;
  };
  // When a gateway first passed on that an engine leaves.
  struct Passed {
    int gateway;
    long at;
  };
  std::map<std::pair<int, std::string>, std::vector<Rest>> rests;
  std::map<std::pair<int, std::string>, long> passed;
  std::map<std::string, Passed> first_passed;
  // Later than DRAIN_MS behind the first of all, in contact or not.
  std::vector<std::string> told_late;
  long rests_asked = 0, rests_broken = 0, leaves_passed = 0;
  std::map<std::string, long> refused_with_room; // by reason

  void asks_rest (const std::string &id, const std::string &engine, long now,
                  long ms) {
    auto it = asked.find(id);
    if (it == asked.end() || it->second.gateway < 0 || ms <= REST_SLACK_MS)
      return;
    rests_asked++;
    rests[{it->second.gateway, engine}].push_back(
        {now + REST_SLACK_MS, now + ms, 0});
  }
  // A caller has the head of an answer in which the engine says that it
  // leaves.
  void passes_on (int gateway, const std::string &engine, long now) {
    if (passed.insert({{gateway, engine}, now}).second) leaves_passed++;
    first_passed.insert({engine, {gateway, now}});
  }
  // It has started again under its id: that it leaves held for the start that
  // said so.
  void starts_again (const std::string &engine) {
    first_passed.erase(engine);
    for (auto it = passed.begin(); it != passed.end();)
      it = it->first.second == engine ? passed.erase(it) : std::next(it);
  }
  // A request came no earlier than `since`, and no later than `now`.
  void heeds_rest (const std::string &id, const Asked &a,
                   const std::string &engine, long since, long now) {
    for (Rest &rest : rests[{a.gateway, engine}]) {
      if (since <= rest.from || now >= rest.until) continue;
      if (touch.was_disturbed(a.gateway, rest.from - REST_SLACK_MS)) continue;
      if (++rest.arrivals != RESTS_ALLOWED + 1) continue;
      rests_broken++;
      late["REST"]++;
      if (judges_times)
        breach("REST", id,
               "engine " + engine + " from g" + std::to_string(a.gateway) +
                   " wanted rest");
    }
  }
  void heeds_leaving (const std::string &id, const Asked &a,
                      const std::string &engine, long since) {
    auto own = passed.find({a.gateway, engine});
    if (own != passed.end() && a.at > own->second + DRAIN_MS &&
        !touch.was_disturbed(a.gateway, own->second))
      late_leaving("SAID", id, a, engine, a.at - own->second);
    auto first = first_passed.find(engine);
    if (first == first_passed.end()) return;
    const Passed &by = first->second;
    if (since > by.at + DRAIN_MS) {
      told_late.push_back(engine + " from g" + std::to_string(a.gateway) +
                          ", " + std::to_string(since - by.at) +
                          " ms behind g" + std::to_string(by.gateway));
    }
    bool taught = !touch.was_disturbed(by.gateway, by.at, by.at + TEACH_MS);
    if (!taught || since <= by.at + DRAIN_MS) return;
    if (touch.in_contact(a.gateway, since) &&
        touch.in_contact(by.gateway, since))
      late_leaving("TOLD", id, a, engine, since - by.at);
  }
  void late_leaving (const char *promise, const std::string &id,
                     const Asked &a, const std::string &engine, long ms) {
    late[promise]++;
    latest = std::max(latest, ms);
    if (judges_times)
      breach(promise, id,
             "engine " + engine + " from g" + std::to_string(a.gateway) +
                 ", " + std::to_string(ms) + " ms after");
  }

  // }==

  void judge (const char *promise, const std::string &id, const Asked &a,
              const std::string &what, long bound, long now) {
    auto it = forbidden.find(what);
    if (it == forbidden.end() || now - it->second <= bound) return;
    if (!touch.binds(a.gateway, now)) {
      excused++;
      return;
    }
    late[promise]++;
    latest = std::max(latest, now - it->second);
    if (judges_times)
      breach(promise, id,
             what + " from g" + std::to_string(a.gateway) + ", " +
                 std::to_string(now - it->second) + " ms after");
  }
  void breach (const std::string &promise, const std::string &id,
               const std::string &what) {
    breaches.push_back(promise + " " + id + ": " + what);
  }

  std::map<std::string, long> forbidden; // what, and when the store took it

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
