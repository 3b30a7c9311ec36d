// world.h - store and engines of a soak, with faults of their own
#ifndef tests_soak_world_h
#define tests_soak_world_h

#include <random>
#include <set>

#include "../gateway_world.h"
#include "checker.h"
#include "notices.h"

namespace soak {

using Random = std::mt19937;

inline long now_ms () {
  struct timespec ts;
  clock_gettime(CLOCK_MONOTONIC, &ts);
  return ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

inline bool chance (Random &random, double p) {
  return std::uniform_real_distribution<double>(0, 1)(random) < p;
}

// How the store and the engines misbehave, until some time.
struct Trouble {
  long store_until = 0, engines_until = 0;
  int store_kind = 0; // 0: 503, 1: silence, 2: resets, 3: history forgotten
  double engine_part = 0;
};

// How the store turns one gateway away, until some time.
struct Refusal {
  long until = 0;
  int kind = 0; // as Trouble::store_kind, but never the last
};

// One engine's answer in progress: what is still to be sent, and when.
struct Sending {
  Conn *conn;
  std::string text;
  long at;
  int end; // 0: goes on, 1: close, 2: reset
};

class World {
public:
  Random random;
  Checker checker;
  Notices notices;
  Trouble trouble;
  std::list<Conn> conns;
  std::list<Listener> listeners;
  std::map<std::string, Item> items;
  std::set<std::string> gone;
  std::map<std::string, long> gone_at; // revision
  std::vector<Sending> sending;
  struct Watch {
    Conn *conn;
    std::string prefix;
    long since, until;
    int gateway;
  };
  std::vector<Watch> watches;
  long rev = 10, forgotten = 0;
  int era = 0;     // of the store, in all its answers; 0: they name none
  size_t page = 0; // items of one answer of a list; 0: all
  int version = 1, engines_made = 0;
  bool parts; // troubles of a part of the gateways; more to declare
  std::vector<Listener *> stores; // the store's address for each gateway
  std::vector<Refusal> refusals;  // by gateway
  std::vector<std::string> models, plains, desks;
  std::vector<std::string> keys; // of the second workspace; the last is valid
  std::set<std::string> emptied; // failure domains

  World(unsigned seed, int gateways, bool part_troubles)
      : random(seed), notices(seed * 15485867), parts(part_troubles),
        refusals((size_t)gateways) {
    for (int i = 0; i < gateways; i++)
      stores.push_back(listen(
          [this, i] (Conn &c, const Request &r) { on_store(c, r, i); }));
    configure();
    for (int i = 0; i < 4; i++) add_engine("model");
    for (int i = 0; i < 3; i++) add_engine("plain");
    for (int i = 0; parts && i < 2; i++) add_engine("desk");
  }
  World(const World &) = delete;
  ~World() {
    for (Conn &c : conns) c.close();
    for (Listener &l : listeners)
      if (l.fd >= 0) ::close(l.fd);
    for (auto &row : held)
      if (row.second >= 0) ::close(row.second);
  }

  // {== The store

  void put (const std::string &key, const std::string &value) {
    lost.erase(key);
    items[key] = {value, ++rev};
    gone_at.erase(key);
    tell();
  }
  void drop (const std::string &key) {
    lost.erase(key);
    items.erase(key);
    gone_at[key] = ++rev;
    tell();
  }

  // {== Restores

  // What the store held at a moment.
  struct Copy {
    long at;
    std::map<std::string, Item> items;
    std::map<std::string, long> gone_at;
    long rev;
  };
  // What a restore lost and its writer writes again; an empty value drops it.
  struct Lost {
    std::string value;
    long due;
  };
  std::list<Copy> copies; // the last first
  std::map<std::string, Lost> lost;
  int restores = 0;

  void copy_now () {
    if (!copies.empty() && now_ms() - copies.front().at < COPY_MS) return;
    copies.push_front({now_ms(), items, gone_at, rev});
    if (copies.size() > COPIES_MAX) copies.pop_back();
  }
  // The store comes back from a copy that is so old. Its revisions go on from
  // the copy's, and what was written since is written again.
  void restore (long age, Random &draw) {
    auto copy = std::find_if(copies.begin(), copies.end(), [&] (Copy &c) {
      return now_ms() - c.at >= age;
    });
    if (copy == copies.end()) return;
    std::map<std::string, Item> now;
    now.swap(items);
    items = copy->items;
    gone_at = copy->gone_at;
    rev = copy->rev;
    forgotten = std::min(forgotten, rev);
    copies.erase(copies.begin(), copy);
    era++;
    restores++;
    note_lost(now, draw);
    for (Watch &w : watches)
      if (w.conn->fd >= 0 && !is_silent(w.gateway)) w.conn->abort();
    watches.clear();
    checker.touch.store_unstable(now_ms() + WRITE_AGAIN_MS);
  }
  void note_lost (const std::map<std::string, Item> &now, Random &draw) {
    std::map<std::string, Lost> before;
    before.swap(lost);
    auto lose = [&] (const std::string &key, const std::string &value) {
      lost[key] = {value, now_ms() + (long)(draw() % WRITE_AGAIN_MS)};
    };
    for (auto &i : now)
      if (items.count(i.first) == 0 || items[i.first].value != i.second.value)
        lose(i.first, i.second.value);
    for (auto &i : items)
      if (now.count(i.first) == 0) lose(i.first, "");
    for (auto &l : before) lose(l.first, l.second.value);
  }
  void write_again () {
    std::map<std::string, Lost> all = lost;
    for (auto &l : all) {
      if (now_ms() < l.second.due) continue;
      if (!l.second.value.empty())
        put(l.first, l.second.value);
      else if (items.count(l.first))
        drop(l.first);
      else
        lost.erase(l.first);
    }
  }
  static const long COPY_MS = 250, WRITE_AGAIN_MS = 1500;
  static const size_t COPIES_MAX = 60;

  // }==

  // Each version has a route of its own and lets the last one's go; with part
  // troubles its second workspace has a new key, and one route changes sides.
  void configure () {
    version++;
    std::string name = "r" + std::to_string(version),
                path = "/v" + std::to_string(version) + "/";
    std::string more = route(name, path, "plain"), tenants;
    if (parts) {
      const char *sides[] = {"plain", "desk"};
      more += route("side", "/side/", sides[version % 2]);
      checker.ends("path /side/ at " + std::string(sides[1 - version % 2]),
                   now_ms());
      checker.again("path /side/ at " + std::string(sides[version % 2]));
      checker.ends("path /v" + std::to_string(version - 1) + "/", now_ms());
      if (!keys.empty()) checker.ends("key " + keys.back(), now_ms());
      keys.push_back("key-w2-" + std::to_string(version));
      tenants = ",{\"name\":\"w2\",\"api_keys\":[\"" + keys.back() + "\"]}";
    }
    put("op/config", ::World::config(version, "key-w1", more, tenants));
  }
  static std::string route (const std::string &name, const std::string &path,
                            const std::string &service) {
    return ",{\"name\":\"" + name +
           "\",\"host\":\"h.example\",\"path_prefix\":\"" + path +
           "\",\"route_kind\":\"safe\",\"timeout_ms\":3000,"
           "\"goal_ms\":500,\"service\":\"" +
           service + "\",\"max_attempts\":2}";
  }
  // A failure domain is emptied of work, or used again.
  void evacuate (const std::string &domain) {
    bool on = emptied.insert(domain).second;
    if (on) {
      put("op/evacuate/" + domain, "{}");
      checker.ends("domain " + domain, now_ms());
    } else {
      emptied.erase(domain);
      checker.again("domain " + domain);
      drop("op/evacuate/" + domain);
    }
  }
  std::string event (const std::string &key) {
    if (gone_at.count(key))
      return "{\"key\":\"" + key +
             "\",\"rev\":" + std::to_string(gone_at[key]) + ",\"gone\":true}";
    return "{\"key\":\"" + key + "\",\"value\":\"" +
           base64(items[key].value) +
           "\",\"rev\":" + std::to_string(items[key].rev) + "}";
  }
  static bool begins (const std::string &key, const std::string &prefix) {
    return key.compare(0, prefix.size(), prefix) == 0;
  }
  // What changed below a prefix after a revision, in order.
  std::string changes (const std::string &prefix, long since) {
    std::map<long, std::string> by_rev;
    for (auto &i : items)
      if (i.second.rev > since && begins(i.first, prefix))
        by_rev[i.second.rev] = i.first;
    for (auto &g : gone_at)
      if (g.second > since && begins(g.first, prefix))
        by_rev[g.second] = g.first;
    std::string all;
    for (auto &c : by_rev) all += (all.empty() ? "" : ",") + event(c.second);
    return all;
  }
  // A watch that is held ends with the store's silence, not before.
  bool is_silent (int gateway) const {
    const Refusal &refusal = refusals[(size_t)gateway];
    return now_ms() < refusal.until && refusal.kind == 1;
  }
  void tell () {
    for (size_t i = watches.size(); i-- > 0;) {
      Watch &w = watches[i];
      std::string all = changes(w.prefix, w.since);
      if (all.empty() && now_ms() < w.until) continue;
      if (is_silent(w.gateway)) continue;
      if (w.conn->fd >= 0)
        w.conn->send(answer(200, era_field(),
                            "{\"events\":[" + all +
                                "],\"at\":" + std::to_string(rev) + "}"));
      watches.erase(watches.begin() + (long)i);
    }
  }
  static std::string query (const std::string &line,
                            const std::string &name) {
    size_t at = line.find(name + "=");
    if (at == std::string::npos) return "";
    at += name.size() + 1;
    return line.substr(at, line.find_first_of("& ", at) - at);
  }
  // True when a call is done with, since the store is in trouble.
  bool refuses (Conn &c, int kind) {
    switch (kind) {
      case 0: c.send(answer(503, era_field(), "")); return true;
      case 1: return true;
      case 2: c.abort(); return true;
      default: forgotten = rev; return false;
    }
  }
  void on_store (Conn &c, const Request &r, int gateway) {
    std::string line = r.line(), prefix = query(line, "path_prefix");
    const Refusal &refusal = refusals[(size_t)gateway];
    if (now_ms() < refusal.until && refuses(c, refusal.kind)) return;
    if (now_ms() < trouble.store_until && refuses(c, trouble.store_kind))
      return;
    if (line.find("/-/kv-watch") != std::string::npos) {
      long since = std::stol("0" + query(line, "since_rev"));
      if (since < forgotten || since > rev) {
        c.send(answer(410, era_field(), ""));
        return;
      }
      long wait = std::stol("0" + query(line, "wait_ms"));
      watches.push_back({&c, prefix, since, now_ms() + wait, gateway});
      tell();
      return;
    }
    list(c, prefix, query(line, "since_rev"));
  }
  // A page of the items behind a key.
  void list (Conn &c, const std::string &prefix, const std::string &behind) {
    std::string all, more = "false";
    size_t count = 0;
    for (auto &i : items) {
      if (!begins(i.first, prefix) || i.first <= behind) continue;
      if (page > 0 && count == page) {
        more = "true";
        break;
      }
      count++;
      all += (all.empty() ? "" : ",") + event(i.first);
    }
    c.send(answer(200, era_field(),
                  "{\"items\":[" + all + "],\"more\":" + more +
                      ",\"at\":" + std::to_string(rev) + "}"));
  }
  std::string era_field () const {
    return era > 0 ? "Store-Era: " + std::to_string(era) + "\r\n" : "";
  }

  // }==

  // {== Engines

  void add_engine (const std::string &service) {
    std::string id = "i-" + std::to_string(++engines_made);
    Listener *l = listen(
        [this, id] (Conn &c, const Request &r) { on_request(c, r, id); });
    ids_of(service).push_back(id);
    checker.engines[id] = {service,
                           parts && engines_made % 2 == 0 ? "d2" : "d1"};
    places[id] = l;
    listed_at[id] = now_ms();
    borns[id] = ++born;
    announce(id, service, l->port, "ready");
    ports[id] = l->port;
  }
  std::vector<std::string> &ids_of (const std::string &service) {
    if (service == "model") return models;
    return service == "plain" ? plains : desks;
  }
  // The one that was added last.
  std::string engine_last () const {
    return "i-" + std::to_string(engines_made);
  }
  std::map<std::string, int> ports;
  std::map<std::string, long> listed_at;
  std::map<std::string, int> arrived; // requests, by engine
  void announce (const std::string &id, const std::string &service, int port,
                 const char *state) {
    put("servers/" + id,
        "{\"service\":\"" + service +
            "\",\"addr\":\"127.0.0.1:" + std::to_string(port) +
            "\",\"zone\":\"" + checker.engines[id].domain +
            "\",\"slots\":8,\"born\":" + std::to_string(borns[id]) +
            ",\"state\":\"" + state + "\"}");
  }
  // One engine leaves as planned and serves on: it says so, or its entry is
  // gone without a word. Another takes its place.
  void retire (const std::string &service, const std::string &id, bool says) {
    auto &ids = ids_of(service);
    ids.erase(std::find(ids.begin(), ids.end(), id));
    if (says)
      announce(id, service, ports[id], "draining");
    else
      drop("servers/" + id);
    checker.ends("engine " + id, now_ms());
    add_engine(service);
  }
  // `forgets`: the store drops its history around that.
  void retire_any (bool forgets, Random &draw) {
    static const char *const services[] = {"model", "plain", "plain", "desk"};
    std::string service = services[draw() % (parts ? 4 : 3)];
    auto &ids = ids_of(service);
    std::string id = ids[draw() % ids.size()];
    if (forgets) forget();
    retire(service, id, chance(draw, 0.5));
    if (forgets) forget();
  }
  // The history goes, with all that watch; they have to read lists.
  void forget () {
    forgotten = ++rev;
    for (Watch &w : watches)
      if (w.conn->fd >= 0 && !is_silent(w.gateway))
        w.conn->send(answer(410, era_field(), ""));
    watches.clear();
    checker.touch.store_unstable(now_ms());
  }
  // Replaces one engine: it says that it leaves, or crashes without a word.
  void replace_engine () {
    bool model = chance(random, 0.5);
    auto &ids = model ? models : plains;
    std::string id = ids[random() % ids.size()];
    ids.erase(std::find(ids.begin(), ids.end(), id));
    const char *service = model ? "model" : "plain";
    if (chance(random, 0.5)) {
      announce(id, service, ports[id], "draining");
    } else {
      dead.insert(id);
      drop("servers/" + id);
    }
    add_engine(service);
  }
  std::set<std::string> dead;

  // {== Engines that end, and start again

  // Bodies under which each engine ends that begins them, and how long that
  // takes; an engine is back after `down_ms`, under its id or a new one.
  std::set<std::string> deadly;
  long deadly_ms = 20, down_ms = 2000;
  bool renews = false;               // under a new id
  long born = 1780000000000;         // of the engine that started last
  std::map<std::string, long> borns; // by engine
  std::map<std::string, long> ends_at, back_at;           // by engine
  std::map<std::string, std::set<std::string>> doomed_by; // engine -> bodies
  std::map<std::string, Listener *> places;               // where it listens
  // Its port while it is down: bound, so that nobody else gets it, and nobody
  // listens. Another soak's store was given one, and answered for an engine.
  std::map<std::string, int> held;
  int ended = 0;

  void begin_deadly (const std::string &id, const std::string &body,
                     const std::string &engine) {
    checker.begins_deadly(id, body, read_since);
    doomed_by[engine].insert(body);
    if (ends_at.count(engine) == 0) ends_at[engine] = now_ms() + deadly_ms;
  }
  // Its connections are reset, and nobody listens any more.
  void end_engine (const std::string &id) {
    Listener *place = places[id];
    ends_at.erase(id);
    for (const std::string &body : doomed_by[id])
      checker.ended_under(body, now_ms());
    doomed_by.erase(id);
    if (place->fd < 0) return;
    ::close(place->fd);
    place->fd = -1;
    held[id] = bind_at(place->port);
    for (Conn &c : conns)
      if (c.listener == place && c.fd >= 0) c.abort();
    ended++;
    back_at[id] = now_ms() + down_ms;
    if (renews) drop("servers/" + id);
  }
  // False when its port is taken meanwhile: then it tries again.
  bool start_engine (const std::string &id) {
    Listener *place = places[id];
    const auto &ids = ids_of(checker.engines[id].service);
    if (std::find(ids.begin(), ids.end(), id) == ids.end())
      return true; // it has left meanwhile
    int fd = held.at(id);
    if (fd < 0) fd = bind_at(place->port);
    if (fd < 0) return false;
    held[id] = -1;
    ::listen(fd, 256);
    place->fd = fd;
    const std::string &service = checker.engines[id].service;
    borns[id] = ++born;
    checker.starts_again(id);
    if (renews)
      rename_engine(id);
    else
      announce(id, service, place->port, "ready");
    return true;
  }
  void rename_engine (const std::string &old) {
    std::string id = "i-" + std::to_string(++engines_made);
    Listed listed = checker.engines[old];
    checker.engines[id] = listed;
    places[id] = places[old];
    borns[id] = born;
    ports[id] = ports[old];
    places[id]->handler = [this, id] (Conn &c, const Request &r) {
      on_request(c, r, id);
    };
    auto &ids = ids_of(listed.service);
    std::replace(ids.begin(), ids.end(), old, id);
    announce(id, listed.service, ports[id], "ready");
  }
  void end_due () {
    long now = now_ms();
    std::vector<std::string> due;
    for (auto &row : ends_at)
      if (row.second <= now) due.push_back(row.first);
    for (const std::string &id : due) end_engine(id);
    due.clear();
    for (auto &row : back_at)
      if (row.second <= now) due.push_back(row.first);
    for (const std::string &id : due)
      if (start_engine(id)) back_at.erase(id);
  }
  // One of a service that serves, by itself.
  void end_any (const std::string &service, Random &random_of_ends) {
    const auto &ids = ids_of(service);
    const std::string &id = ids[random_of_ends() % ids.size()];
    if (back_at.count(id) == 0) end_engine(id);
  }
  bool all_back () const {
    return ends_at.empty() && back_at.empty();
  }

  // }==

  void later (Conn &c, const std::string &text, long delay, int end = 0) {
    sending.push_back({&c, text, now_ms() + delay, end});
  }
  void on_request (Conn &c, const Request &r, const std::string &engine) {
    std::string id = r.field("X-Attempt-Id");
    bool bad = now_ms() < trouble.engines_until &&
               chance(random, trouble.engine_part);
    int kind = (int)(random() % 6);
    if (dead.count(engine)) {
      c.abort();
      return;
    }
    std::string echo =
        "X-Attempt-Id: " + id + "\r\n" + notices.fields(engine);
    if (r.field("X-Expect-Instance") != engine) {
      c.send(answer(421, echo + "X-Not-Executed: 1\r\n", ""));
      return;
    }
    arrived[engine]++;
    checker.arrives(id, engine, read_since);
    auto asked = checker.asked.find(id);
    if (asked != checker.asked.end() && asked->second.gateway >= 0)
      checker.heeds_rest(id, asked->second, engine, read_since, now_ms());
    if (const Shedding *shedding = notices.sheds(engine, now_ms())) {
      turn_away(c, id, engine, echo, *shedding);
      return;
    }
    if (bad && kind == 0) { // full: it does not run
      c.send(answer(503, echo + "X-Not-Executed: 1\r\n", ""));
      return;
    }
    checker.run(id, r.field("X-Tenant"), !r.field("Authorization").empty());
    std::string seal = echo + "X-Engine-Seal: s." + id + "\r\n";
    if (deadly.count(r.body)) {
      begin_deadly(id, r.body, engine);
      return;
    }
    if (r.line().find("/gen/") != std::string::npos)
      stream(c, r, id, seal, bad ? kind : 0);
    else
      plain(c, id, seal, bad ? kind : 0);
  }
  // It turns a request away and asks the gateway that sent it for rest.
  void turn_away (Conn &c, const std::string &id, const std::string &engine,
                  const std::string &echo, const Shedding &shedding) {
    Notices::Rest rest = notices.rest();
    std::string marks = shedding.marked ? "X-Not-Executed: 1\r\n" : "";
    notices.note_asked(engine, now_ms());
    checker.asks_rest(id, engine, now_ms(), rest.ms);
    c.send(
        answer(503, echo + marks + "Retry-After: " + rest.text + "\r\n", ""));
  }
  // An engine says in its answers that it leaves while the store shows it as
  // ready; it ends after some time, and another has come.
  void leave_in_answers (const std::string &service, long ms) {
    auto &ids = ids_of(service);
    std::string id = ids[random_of_notices() % ids.size()];
    if (notices.leaves(id)) return;
    notices.leave(id, now_ms() + ms);
    add_engine(service);
  }
  void shed_one (const std::string &service, long ms) {
    const auto &ids = ids_of(service);
    const std::string &id = ids[random_of_notices() % ids.size()];
    notices.shed(id, now_ms() + ms, random_of_notices() % 6 != 0);
  }
  void shed_all (const std::string &service, long ms) {
    for (const std::string &id : ids_of(service))
      notices.shed(id, now_ms() + ms, true);
  }
  // Those that said so end: their entry goes, nobody answers any more.
  void end_leaving () {
    for (auto it = notices.leaving.begin(); it != notices.leaving.end();) {
      std::string id = it->first;
      bool due = it->second <= now_ms();
      ++it;
      if (!due) continue;
      auto &ids = ids_of(checker.engines[id].service);
      ids.erase(std::remove(ids.begin(), ids.end(), id), ids.end());
      dead.insert(id);
      drop("servers/" + id);
      notices.forget(id);
    }
  }
  // Requests at an engine whose answers are still to be sent.
  int running (const std::string &id) const {
    std::set<const Conn *> busy;
    for (const Sending &s : sending)
      if (s.conn->listener == places.at(id)) busy.insert(s.conn);
    return (int)busy.size();
  }
  // True when an engine of the service had room: listed for a second, asked
  // nobody for rest lately, and not all its slots are taken.
  bool has_room (const std::string &service, long now) {
    for (const std::string &id : ids_of(service)) {
      long asked = notices.last_asked(id);
      bool rests = asked != 0 && now - asked < ROOM_MS;
      if (rests || notices.leaves(id) || notices.sheds(id, now)) continue;
      if (now - listed_at[id] < LISTED_MS) continue;
      if (running(id) < SLOTS) return true;
    }
    return false;
  }
  static const long ROOM_MS = 4500, LISTED_MS = 1000;
  static const int SLOTS = 8; // as their entries say
  Random random_of_notices;

  void plain (Conn &c, const std::string &id, const std::string &seal,
              int fault) {
    std::string body = Checker::body_of(id);
    std::string whole = answer(200, seal, body);
    long delay = (long)(random() % 30);
    switch (fault) {
      case 1: later(c, answer(500, seal, "broken"), delay); break;
      case 2: later(c, "", delay, 2); break; // it ran, its answer is lost
      case 3: later(c, whole.substr(0, whole.size() - 5), delay, 1); break;
      case 4: later(c, whole + answer(200, seal, "surplus"), delay); break;
      case 5: break; // it says nothing
      default: later(c, whole, delay); break;
    }
  }
  static std::string chunk (const std::string &text) {
    char size[16];
    snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
  }
  void stream (Conn &c, const Request &r, const std::string &id,
               const std::string &seal, int fault) {
    std::string from = r.field("Last-Event-Id");
    int first = from.empty() ? 0 : std::stoi(from) + 1;
    const int count = 6;
    later(c,
          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + seal +
              "Transfer-Encoding: chunked\r\n\r\n",
          1);
    int broken = fault > 0 ? first + (int)(random() % count) : count + 1;
    long at = 5;
    for (int i = first; i < count; i++, at += (long)(random() % 20)) {
      std::string text = Checker::event_of(id, i);
      if (i + 1 == count) text += " end";
      text = chunk(text + "\n\n");
      if (i < broken) {
        later(c, text, at);
        continue;
      }
      switch (fault) {
        case 1: later(c, text.substr(0, text.size() / 2), at, 1); return;
        case 2: later(c, "", at, 2); return;
        case 3: later(c, "", at, 1); return;
        case 4: later(c, text.substr(0, 6), at, 2); return;
        default: return; // silence
      }
    }
    later(c, "0\r\n\r\n", at);
  }

  // }==

  // {== Sockets

  // A descriptor, or -1 when the port is taken; port 0 takes a free one.
  static int bind_at (int port) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
    sockaddr_in a = loopback(port);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(fd, (sockaddr *)&a, sizeof a) == 0) return fd;
    ::close(fd);
    return -1;
  }
  Listener *listen (Handler handler) {
    int fd = bind_at(0);
    ::listen(fd, 256);
    sockaddr_in a{};
    socklen_t n = sizeof a;
    getsockname(fd, (sockaddr *)&a, &n);
    listeners.push_back({fd, ntohs(a.sin_port), handler, 0, nullptr});
    return &listeners.back();
  }
  void send_due () {
    long now = now_ms();
    std::vector<Sending> left;
    for (Sending &s : sending) {
      if (s.at > now) {
        left.push_back(s);
        continue;
      }
      if (s.conn->fd < 0) continue;
      s.conn->send(s.text);
      if (s.end == 1) s.conn->close();
      if (s.end == 2) s.conn->abort();
    }
    sending.swap(left);
  }
  // What is read now came no earlier than that.
  long read_since = 0, reads = 0;

  // Reads what has come, answers what is due; waits some ms at most.
  void pump () {
    read_since = reads;
    reads = now_ms();
    std::vector<pollfd> fds;
    std::vector<Conn *> open;
    for (Listener &l : listeners)
      fds.push_back({l.fd, POLLIN, 0}); // < 0: none
    for (Conn &c : conns)
      if (c.fd >= 0) {
        fds.push_back({c.fd, POLLIN, 0});
        open.push_back(&c);
      }
    poll(fds.data(), fds.size(), 3);
    size_t i = 0;
    for (Listener &l : listeners)
      if (fds[i++].revents && l.fd >= 0) accept_one(l);
    for (Conn *c : open)
      if (fds[i++].revents && c->fd >= 0) read_one(*c);
    send_due();
    end_due();
    end_leaving();
    copy_now();
    write_again();
    tell();
    forget_closed();
  }
  void accept_one (Listener &l) {
    int fd = accept4(l.fd, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) return;
    conns.push_back({fd, ""});
    conns.back().listener = &l;
  }
  void read_one (Conn &c) {
    char buf[65536];
    ssize_t n = recv(c.fd, buf, sizeof buf, 0);
    if (n <= 0) {
      c.reset = n < 0;
      c.close();
      return;
    }
    c.in.append(buf, (size_t)n);
    if (c.listener == nullptr) return; // a caller's: read elsewhere
    Request r;
    while (c.fd >= 0 && ::World::take(c.in, r))
      ((Listener *)c.listener)->handler(c, r);
  }
  // Engines' and the store's connections; callers hold theirs.
  void forget_closed () {
    std::set<Conn *> used;
    for (Sending &s : sending) used.insert(s.conn);
    for (Watch &w : watches) used.insert(w.conn);
    for (auto it = conns.begin(); it != conns.end();) {
      bool done = it->fd < 0 && it->listener != nullptr && !used.count(&*it);
      it = done ? conns.erase(it) : std::next(it);
    }
  }

  // }==
};

} // namespace soak

#endif
