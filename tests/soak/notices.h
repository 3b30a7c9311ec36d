// notices.h - Server-Leaving and Retry-After in the replies of a soak's
// engines
#ifndef tests_soak_notices_h
#define tests_soak_notices_h

#include <map>
#include <random>
#include <string>

namespace soak {

// Load shedding of an engine: it rejects all requests until a moment.
struct Shedding {
  long until = 0;
  bool not_executed = true; // with X-Not-Executed
};

// Which engines send Server-Leaving, and which reject requests and ask for a
// backoff. All times are ms of the soak's steady clock.
class Notices {
public:
  using Random = std::mt19937;

  explicit Notices(unsigned seed) : random(seed) {
  }
  // From now on all replies of the engine have Server-Leaving; it is to be
  // stopped at `stop_at`.
  void leave (const std::string &engine, long stop_at) {
    leaving[engine] = stop_at;
  }
  bool is_leaving (const std::string &engine) const {
    return leaving.count(engine) > 0;
  }
  void shed (const std::string &engine, long until, bool not_executed) {
    shedding[engine] = {until, not_executed};
  }
  // NULL if the engine accepts requests.
  const Shedding *active_shedding (const std::string &engine,
                                   long now) const {
    auto it = shedding.find(engine);
    return it != shedding.end() && now < it->second.until ? &it->second
                                                          : nullptr;
  }
  // Header fields of all replies of the engine.
  std::string fields (const std::string &engine) const {
    return "X-Engine: " + engine + "\r\n" +
           (is_leaving(engine) ? "Server-Leaving: 1\r\n" : "");
  }
  // A Retry-After value, and the backoff that it asks for; 0 if it is none
  // that counts, such as a date.
  struct Backoff {
    std::string text;
    long ms;
  };
  // A random Retry-After: mostly whole or fractional seconds, at times zero,
  // negative or a date.
  Backoff backoff () {
    static const Backoff usual[] = {{"1", 1000}, {"1.5", 1500}, {"2", 2000},
                                    {"3", 3000}, {"4", 4000},   {"0", 0},
                                    {"-1", 0},   {"1.25", 1250}};
    unsigned draw = random() % 100;
    if (draw == 0) return {"Thu, 03 Dec 2026 06:54:01 GMT", 0};
    return usual[draw % 8];
  }
  void forget (const std::string &engine) {
    leaving.erase(engine);
    shedding.erase(engine);
  }
  // When the engine last rejected a request with a Retry-After; 0: never.
  long last_backoff_at (const std::string &engine) const {
    auto it = backoff_at.find(engine);
    return it == backoff_at.end() ? 0 : it->second;
  }
  void note_backoff (const std::string &engine, long now) {
    backoff_at[engine] = now;
  }
  std::map<std::string, long> leaving; // engine -> time of its stop

private:
  Random random;
  std::map<std::string, Shedding> shedding;
  std::map<std::string, long> backoff_at;
};

} // namespace soak

#endif
