// touch.h - which gateways are bound by promises that carry a time
#ifndef tests_soak_touch_h
#define tests_soak_touch_h

#include <algorithm>
#include <map>

namespace soak {

const long CONTACT_MS = 3000;

// A gateway is bound at a moment if it ran undisturbed throughout CONTACT_MS
// before, and the store was there for the fleet. Disturbed is one that is
// killed, started, ordered to stop, paused, whose datagrams are lost, or that
// has no path to the store. One that the store turns away is not: the store
// serves the others, and so it can be known.
class Touch {
public:
  // Up to that moment; a later call never shortens it.
  void disturbed (int gateway, long until) {
    long &last = gateways[gateway];
    last = std::max(last, until);
  }
  // The whole store is away, or has dropped its history, up to that moment.
  void store_unstable (long until) {
    store = std::max(store, until);
  }
  bool stable (long now) const {
    return now >= store + CONTACT_MS;
  }
  bool binds (int gateway, long now) const {
    auto it = gateways.find(gateway);
    bool calm = it == gateways.end() || now >= it->second + CONTACT_MS;
    return calm && stable(now);
  }

private:
  std::map<int, long> gateways;
  long store = 0;
};

} // namespace soak

#endif
