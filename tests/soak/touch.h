// touch.h - which gateways are bound by promises that carry a time
#ifndef tests_soak_touch_h
#define tests_soak_touch_h

#include <algorithm>
#include <climits>
#include <map>
#include <vector>

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
    history[gateway].push_back(until);
  }
  // Between two moments, or since the first of them.
  bool was_disturbed (int gateway, long since, long until = LONG_MAX) const {
    auto it = gateways.find(gateway);
    return it != gateways.end() && it->second >= since &&
           first_after(gateway, since) <= until;
  }
  // It has run undisturbed and hears the other gateways, whatever the store
  // does.
  bool in_contact (int gateway, long now) const {
    auto it = gateways.find(gateway);
    return it == gateways.end() || now >= it->second + CONTACT_MS;
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
  // The first end of a disturbance behind a moment.
  long first_after (int gateway, long since) const {
    long first = LONG_MAX;
    for (long until : history.at(gateway))
      if (until >= since) first = std::min(first, until);
    return first;
  }
  std::map<int, long> gateways;
  std::map<int, std::vector<long>> history;
  long store = 0;
};

} // namespace soak

#endif
