// disturbances.h - which gateways are accountable for guarantees with a
// deadline
#ifndef tests_soak_disturbances_h
#define tests_soak_disturbances_h

#include <algorithm>
#include <climits>
#include <map>
#include <vector>

namespace soak {

// How long a gateway must have run undisturbed to be accountable.
const long CONTACT_MS = 3000;

// A gateway is accountable at a moment if it ran undisturbed throughout the
// CONTACT_MS before and the store was stable for the fleet. It is disturbed
// when it is killed, started, ordered to stop or paused, when its datagrams
// are lost, or when its failure domain is cut off. A gateway whose calls the
// store rejects is not disturbed: the store serves the other gateways, which
// propagate what it has to know. All times are ms of the steady clock.
class Disturbances {
public:
  // Marks a gateway as disturbed until a moment; a further call never
  // shortens an earlier disturbance.
  void disturb (int gateway, long until) {
    long &last = last_end[gateway];
    last = std::max(last, until);
    all_ends[gateway].push_back(until);
  }
  // True if a disturbance of the gateway ended between two moments, or after
  // the first of them if the second is not given.
  bool was_disturbed (int gateway, long since, long until = LONG_MAX) const {
    auto it = last_end.find(gateway);
    return it != last_end.end() && it->second >= since &&
           first_after(gateway, since) <= until;
  }
  // True if the gateway has run undisturbed for CONTACT_MS and so exchanges
  // messages with the others, whatever the state of the store.
  bool in_contact (int gateway, long now) const {
    auto it = last_end.find(gateway);
    return it == last_end.end() || now >= it->second + CONTACT_MS;
  }
  // The whole store is unavailable, or has dropped its all_ends, until a
  // moment.
  void store_unstable (long until) {
    store_unstable_until = std::max(store_unstable_until, until);
  }
  bool store_stable (long now) const {
    return now >= store_unstable_until + CONTACT_MS;
  }
  bool is_accountable (int gateway, long now) const {
    auto it = last_end.find(gateway);
    bool undisturbed = it == last_end.end() || now >= it->second + CONTACT_MS;
    return undisturbed && store_stable(now);
  }

private:
  // The first end of a disturbance at or after a moment.
  long first_after (int gateway, long since) const {
    long first = LONG_MAX;
    for (long until : all_ends.at(gateway))
      if (until >= since) first = std::min(first, until);
    return first;
  }
  std::map<int, long> last_end; // of all disturbances, by gateway
  std::map<int, std::vector<long>> all_ends;
  long store_unstable_until = 0;
};

} // namespace soak

#endif
