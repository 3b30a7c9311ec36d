// version_cuts.h - a software version that begins while a failure domain is
// cut off
#ifndef tests_soak_version_cuts_h
#define tests_soak_version_cuts_h

#include "process.h"

namespace soak {

// Repeats a cycle: one version serves for longer than a stream may live; a
// failure domain loses the store, the other domain, or both; the first engine
// of another version starts; it crashes; the domain is whole again, and the
// engine leaves. Moments and kinds are drawn.
class VersionCuts {
public:
  // Life of a stream: the time-out of its route.
  static const long LIFE_MS = 3000;
  int cuts = 0;

  VersionCuts(World &of, Network &links, int count, unsigned seed)
      : world(of), network(links), gateways(count), random(seed * 67867967) {
    std::string text = ::World::config(8, "key-w1");
    const std::string timeout = "\"timeout_ms\":9000";
    world.version = 8;
    world.put("op/config",
              text.replace(text.find(timeout), timeout.size(),
                           "\"timeout_ms\":" + std::to_string(LIFE_MS)));
    next_at = now_ms() + LIFE_MS + 2500;
  }
  void step () {
    if (now_ms() < next_at) return;
    switch (state) {
      case State::CALM: cut(); break;
      case State::CUT: begin_version(); break;
      case State::VERSION: crash_version(); break;
      case State::CRASHED: heal(); break;
    }
  }
  void heal () {
    network.heal();
    for (Rejection &rejection : world.rejections) rejection = Rejection();
    if (state == State::CRASHED) world.retire("model", fresh_id(), true);
    go(State::CALM, LIFE_MS + 2000 + draw(1500));
  }

private:
  enum class State { CALM, CUT, VERSION, CRASHED };
  World &world;
  Network &network;
  int gateways;
  Random random;
  State state = State::CALM;
  long next_at;
  std::string old_version,
      fresh; // `fresh`: the engine's listener outlives ids

  long draw (long below) {
    return (long)(random() % (unsigned long)below);
  }
  void go (State to, long ms) {
    state = to;
    next_at = now_ms() + ms;
  }
  void cut () {
    int domain = (int)draw(2), how = (int)draw(5), store = (int)draw(3);
    bool from_peers = how != 0, from_store = how != 1;
    cuts++;
    world.log_event(
        "cut d" + std::to_string(domain + 1) +
        (from_peers ? " from peers" : "") +
        (from_store ? " from store " + std::to_string(store) : ""));
    for (int i = domain; i < gateways; i += 2) {
      if (from_store) {
        world.rejections[(size_t)i] = {now_ms() + 60000, store};
        world.fail_watches(i, store);
      }
      if (!from_peers) continue;
      world.checker.disturbances.disturb(i, now_ms() + 9000);
      for (int k = 1 - domain; k < gateways; k += 2) {
        network.set(i, k, 1000, 0);
        network.set(k, i, 1000, 0);
      }
    }
    go(State::CUT, draw(1500));
  }
  void begin_version () {
    old_version = world.versions[0];
    world.versions[0] = old_version + ".1";
    world.add_engine("model");
    fresh = world.last_engine();
    world.versions[0] = old_version;
    go(State::VERSION, 300 + draw(4000));
  }
  // A crash may give the engine another id, at the same port.
  std::string fresh_id () const {
    for (const std::string &id : world.model_engines)
      if (world.ports.at(id) == world.ports.at(fresh)) return id;
    return fresh;
  }
  void crash_version () {
    world.crash_engine(fresh_id());
    go(State::CRASHED, 200 + draw(1500));
  }
};

} // namespace soak

#endif
