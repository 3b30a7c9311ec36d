// resumed_silence_test.cc - streams that callers resume, at engines that fall
// silent
#include "silent_world.h"

namespace {

// Guards against a stream that its caller has resumed and that is begun anew,
// has gaps or is refused when the engine that goes on with it is silent.
TEST(ResumedSilence, AResumedStreamGoesOnBehindASilence) {
  for (Framing framing : {Framing::CHUNKED, Framing::UNFRAMED})
    for (Place place :
         {Place::BEFORE_HEAD, Place::IN_FIRST_EVENT, Place::AFTER_TWO})
      for (bool two : {false, true}) { // engines are left
        World w;
        std::list<Sender> senders;
        std::vector<std::string> from;
        auto serve = [&] (Conn &c, const Request &r) {
          std::string id = r.field("X-Attempt-Id");
          from.push_back(r.field("Last-Event-Id"));
          Answer a = answer_of(Kind::RESUMABLE, framing, id,
                               atoi(from.back().c_str()));
          std::vector<Stop> stops;
          End end = End::GOES_ON;
          if (id == "id1") {
            stops = {{Place::AFTER_TWO, 50}};
            end = End::RESETS;
          } else if (from.size() == 2) {
            stops = {{place, 1300}};
          }
          senders.push_back({&c, a, stops, end, framing});
        };
        w.engine("i-0", "model", w.listen(serve));
        w.start();
        auto until = [&] (const std::function<bool()> &cond) {
          return w.until([&] {
            for (Sender &s : senders) s.step();
            return cond();
          });
        };
        std::string what = std::to_string((int)framing) + "/" +
                           std::to_string((int)place) +
                           (two ? " two: " : " one: ");
        Conn *first = w.connect(w.callers);
        first->send(World::ask("/gen/x", "id1"));
        ASSERT_TRUE(until([&] { return first->closed; })) << what;
        ASSERT_EQ(from.size(), 1u) << what << w.log;
        w.remove("servers/i-0");
        for (int i = 1; i <= (two ? 2 : 1); i++)
          w.engine("i-" + std::to_string(i), "model", w.listen(serve));
        ASSERT_TRUE(until([&] {
          return w.log.find(two ? "engine=i-2" : "engine=i-1") != w.log.npos;
        }));
        Conn *caller = w.connect(w.callers);
        std::string ask = World::ask("/gen/x", "id2", "",
                                     "Last-Event-Id: 2\r\nResumes: id1\r\n");
        ask.replace(ask.find("Ms: 3000"), 8, "Ms: 8000");
        caller->send(ask);
        until([&] { return SilentWorld::is_over(*caller); });
        bool whole;
        std::string body = SilentWorld::body_of(*caller, whole);
        EXPECT_EQ(World::status_of(caller->in), 200)
            << what << caller->in << w.log;
        EXPECT_TRUE(whole) << what << w.log;
        EXPECT_EQ(body, joined(parts_of(Kind::RESUMABLE, "id2", 2)))
            << what << w.log;
        // The one that is no longer listed may get the hedge, too.
        EXPECT_GE(from.size(), two ? 3u : 2u) << what << w.log;
        EXPECT_LE(from.size(), 3u) << what << w.log;
        for (size_t i = 1; i < from.size(); i++)
          EXPECT_EQ(from[i], i == 1 || place != Place::AFTER_TWO ? "2" : "4")
              << what;
      }
}

} // namespace
