// selftest.h - the checker itself: each promise broken on purpose
#ifndef tests_soak_selftest_h
#define tests_soak_selftest_h

#include <cstring>
#include <functional>

#include "checker.h"

namespace soak {

// A late request, and whether the gateway that sent it is bound.
inline int selftest_excuses () {
  struct Row {
    const char *what;
    long left, arrived;       // the engine, the request
    long disturbed, unstable; // gateway and store, until then; 0: never
    bool breach;
  } rows[] = {
      {"in touch", 10000, 12001, 0, 0, true},
      {"in time", 10000, 12000, 0, 0, false},
      {"disturbed lately", 10000, 12001, 9002, 0, false},
      {"disturbed long ago", 10000, 12001, 9001, 0, true},
      {"the store was unstable as it took it", 10000, 19000, 0, 7001, false},
      {"it had been stable again", 10000, 19000, 0, 7000, true},
      {"the store is unstable since", 10000, 12001, 0, 11000, false},
  };
  int wrong = 0;
  for (const Row &row : rows) {
    Checker k;
    k.asked["a"] = {Kind::Again, "w1", 0, false, 1, row.arrived, "", "/a/"};
    if (row.disturbed) k.touch.disturbed(1, row.disturbed);
    if (row.unstable && row.unstable <= row.left)
      k.touch.store_unstable(row.unstable);
    k.ends("engine e", row.left);
    if (row.unstable > row.left) k.touch.store_unstable(row.unstable);
    k.arrives("a", "e", row.arrived);
    if (k.breaches.empty() == !row.breach) continue;
    printf("judged wrongly: %s\n", row.what);
    wrong++;
  }
  return wrong;
}

// Arrivals of a body under which engines ended that are allowed.
inline int selftest_arrivals () {
  struct Row {
    const char *what;
    int ends, arrivals;
    long now, disturbed;
  } rows[] = {
      {"as many as are allowed", ENDS_KNOWN, ARRIVALS_MORE, 20000, 0},
      {"two ends", ENDS_KNOWN - 1, 50, 20000, 0},
      {"before it can be known", ENDS_KNOWN, 50, 10000 + CONTACT_MS, 0},
      {"by one that was disturbed", ENDS_KNOWN, 50, 20000, 19000},
  };
  int wrong = 0;
  for (const Row &row : rows) {
    Checker k;
    k.ask("a", Kind::Again, "w1");
    k.asked["a"].gateway = 1;
    if (row.disturbed) k.touch.disturbed(1, row.disturbed);
    for (int i = 0; i < row.ends; i++) k.ended_under("x", 10000);
    for (int i = 0; i < row.arrivals; i++) k.begins_deadly("a", "x", row.now);
    if (k.breaches.empty()) continue;
    printf("judged wrongly: %s\n", row.what);
    wrong++;
  }
  return wrong;
}

// Requests at an engine that wanted rest, or had said that it leaves.
inline int selftest_notices () {
  struct Row {
    const char *what;
    bool leaving;       // else it asked for 3 s of rest at 10,000
    long at, disturbed; // the requests; the gateway, until then, 0: never
    int requests;
    bool breach;
    bool again = false; // the engine started again at 10,000
    long said = 0;      // that start said so then; 0: it did not
  } rows[] = {
      {"within the rest", false, 11000, 0, 3, true},
      {"two of them", false, 11000, 0, 2, false},
      {"in the first half second", false, 10500, 0, 9, false},
      {"behind the rest", false, 13000, 0, 9, false},
      {"disturbed since", false, 11000, 10600, 9, false},
      {"disturbed before", false, 11000, 9900, 3, true},
      {"it had said so", true, 12001, 0, 1, true},
      {"a short while ago", true, 12000, 0, 1, false},
      {"restarted since", true, 12001, 10001, 1, false},
      {"an earlier start had", true, 12001, 0, 1, false, true},
      {"this start had, too", true, 12002, 0, 1, true, true, 10001},
  };
  int wrong = 0;
  for (const Row &row : rows) {
    Checker k;
    k.asked["a"] = {Kind::Again, "w1", 0, false, 1, row.at, "", "/a/"};
    if (row.disturbed) k.touch.disturbed(1, row.disturbed);
    if (row.leaving)
      k.passes_on(1, "e", 10000);
    else
      k.asks_rest("a", "e", 10000, 3000);
    if (row.again) k.starts_again("e");
    if (row.said) k.passes_on(1, "e", row.said);
    for (int i = 0; i < row.requests; i++) {
      if (!row.leaving)
        k.heeds_rest("a", k.asked["a"], "e", row.at, row.at);
      else
        k.arrives("a", "e", row.at);
    }
    if (k.breaches.empty() == !row.breach) continue;
    printf("judged wrongly: %s\n", row.what);
    wrong++;
  }
  return wrong;
}

// Each promise broken on purpose: the checker must see it.
inline int selftest () {
  struct Row {
    const char *promise;
    std::function<void(Checker &)> breaks;
  } rows[] = {
      {"UNASKED", [] (Checker &k) { k.run("x", "w1", false); }},
      {"UNASKED", [] (Checker &k) { k.run("a", "w2", false); }},
      {"UNASKED", [] (Checker &k) { k.run("a", "w1", true); }},
      {"TWICE",
       [] (Checker &k) {
         k.run("a", "w1", false);
         k.run("a", "w1", false);
       }},
      {"REFUSED",
       [] (Checker &k) {
         k.run("a", "w1", false);
         k.answered("a", 503, "", "");
       }},
      {"REFUSED",
       [] (Checker &k) {
         k.answered("a", 503, "", "");
         k.run("a", "w1", false);
       }},
      {"MIXED",
       [] (Checker &k) { k.answered("a", 200, "", Checker::body_of("a")); }},
      {"MIXED",
       [] (Checker &k) { k.answered("a", 200, "s", Checker::body_of("b")); }},
      {"ORDER",
       [] (Checker &k) {
         k.streamed("s", Checker::event_of("s", 1) + "\n\n", false);
       }},
      {"DRAIN",
       [] (Checker &k) {
         k.ends("engine e", 10000);
         k.arrives("a", "e", 10000 + DRAIN_MS + 1);
       }},
      {"EVAC",
       [] (Checker &k) {
         k.ends("domain d1", 10000);
         k.arrives("a", "e", 10000 + EVACUATE_MS + 1);
       }},
      {"REVOKE",
       [] (Checker &k) {
         k.ends("key key-a", 20000 - REVOKE_MS - 1);
         k.arrives("a", "e", 20500);
       }},
      {"CONFIG",
       [] (Checker &k) {
         k.ends("path /a/", 20000 - CONFIG_MS - 1);
         k.arrives("a", "e", 20500);
       }},
      {"CONFIG",
       [] (Checker &k) {
         k.ends("path /a/ at plain", 20000 - CONFIG_MS - 1);
         k.arrives("a", "e", 20500);
       }},
      {"ORDER",
       [] (Checker &k) {
         k.streamed("s", Checker::event_of("s", 0) + "\n\n", true);
       }},
      {"REST",
       [] (Checker &k) {
         k.asks_rest("a", "e", 10000, 3000);
         for (int i = 0; i <= RESTS_ALLOWED; i++)
           k.heeds_rest("a", k.asked["a"], "e", 11000, 11000);
       }},
      {"SAID",
       [] (Checker &k) {
         k.passes_on(1, "e", 20000 - DRAIN_MS - 1);
         k.touch.disturbed(1, 17002); // in touch or not
         k.arrives("a", "e", 20001);
       }},
      {"TOLD",
       [] (Checker &k) {
         k.passes_on(2, "e", 20000);
         k.arrives("a", "e", 20000 + DRAIN_MS + 1);
       }},
      {"BUDGET",
       [] (Checker &k) {
         for (int i = 0; i < ENDS_KNOWN; i++) k.ended_under("x", 10000);
         for (int i = 0; i <= ARRIVALS_MORE; i++)
           k.begins_deadly("a", "x", 10001 + CONTACT_MS);
       }},
  };
  int missed = 0;
  for (const Row &row : rows) {
    Checker k;
    k.ask("a", Kind::Once, "w1");
    k.ask("s", Kind::Stream, "w1");
    k.asked["a"] = {Kind::Once, "w1", 0, false, 1, 20000, "key-a", "/a/"};
    k.engines["e"] = {"plain", "d1"};
    row.breaks(k);
    bool seen =
        k.breaches.size() == 1 &&
        k.breaches[0].compare(0, strlen(row.promise), row.promise) == 0;
    if (!seen) printf("not seen: %s\n", row.promise);
    missed += !seen;
  }
  printf("checker: %d of %zu breaches seen\n",
         (int)(sizeof rows / sizeof *rows) - missed,
         sizeof rows / sizeof *rows);
  return missed + selftest_excuses() + selftest_arrivals() +
             selftest_notices() !=
         0;
}

} // namespace soak

#endif
