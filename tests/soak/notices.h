// notices.h - what a soak's engines say of themselves in their answers
#ifndef tests_soak_notices_h
#define tests_soak_notices_h

#include <map>
#include <random>
#include <string>

namespace soak {

// One engine that turns all away for a while.
struct Shedding {
  long until = 0;
  bool marked = true; // its refusals say that the request did not run
};

// Which engines say that they leave, and which turn requests away and ask for
// rest. All times are ms of the soak's clock.
class Notices {
public:
  using Random = std::mt19937;

  explicit Notices(unsigned seed) : random(seed) {
  }
  // From now on all its answers say that it leaves; it ends then.
  void leave (const std::string &engine, long ends) {
    leaving[engine] = ends;
  }
  bool leaves (const std::string &engine) const {
    return leaving.count(engine) > 0;
  }
  void shed (const std::string &engine, long until, bool marked) {
    shedding[engine] = {until, marked};
  }
  // NULL when it takes requests.
  const Shedding *sheds (const std::string &engine, long now) const {
    auto it = shedding.find(engine);
    return it != shedding.end() && now < it->second.until ? &it->second
                                                          : nullptr;
  }
  // Header fields of all its answers.
  std::string fields (const std::string &engine) const {
    return "X-Engine: " + engine + "\r\n" +
           (leaves(engine) ? "Server-Leaving: 1\r\n" : "");
  }
  // A Retry-After, and the ms of rest that it asks for.
  struct Rest {
    std::string text;
    long ms;
  };
  Rest rest () {
    static const Rest usual[] = {{"1", 1000}, {"1.5", 1500}, {"2", 2000},
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
  // When any router was last turned away and asked for rest; 0: never.
  long last_asked (const std::string &engine) const {
    auto it = asked.find(engine);
    return it == asked.end() ? 0 : it->second;
  }
  void note_asked (const std::string &engine, long now) {
    asked[engine] = now;
  }
  std::map<std::string, long> leaving; // engine -> when it ends

private:
  Random random;
  std::map<std::string, Shedding> shedding;
  std::map<std::string, long> asked;
};

} // namespace soak

#endif
