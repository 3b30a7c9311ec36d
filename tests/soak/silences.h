// silences.h - engines of a soak that send nothing for a while and go on
#ifndef tests_soak_silences_h
#define tests_soak_silences_h

#include <map>
#include <string>

namespace soak {

// The engine of a listener works and accepts connections, and holds all bytes
// that it has to send until a moment.
struct Silence {
  const void *listener;
  long until;
  bool trickles = false; // sends some of the bytes meanwhile
  bool dies = false;     // crashes then, in place of going on
  bool dark = false;     // also takes nothing in
};

// All times are ms of the steady clock.
class Silences {
public:
  long count = 0, deaths = 0;
  std::map<std::string, Silence> by_engine;

  void begin (const std::string &engine, const Silence &silence) {
    by_engine[engine] = silence;
    count++;
    deaths += silence.dies;
  }
  const Silence *find (const void *listener) const {
    for (auto &row : by_engine)
      if (row.second.listener == listener) return &row.second;
    return nullptr;
  }
  bool holds (const void *listener) const {
    return find(listener) != nullptr;
  }
  bool is_dark (const void *listener) const {
    const Silence *silence = find(listener);
    return silence != nullptr && silence->dark;
  }
  // An engine whose silence is over; empty: none.
  std::string due (long now) const {
    for (auto &row : by_engine)
      if (row.second.until <= now) return row.first;
    return "";
  }
};

} // namespace soak

#endif
