// last_engine_test.cc - hedges whose engine fails after it has taken over
#include "silent_world.h"

namespace {

// Guards against answers that are lost as the engine of the hedge crashes
// while the first one, which is sound, would have gone on. The route has an
// attempt left; with two engines it can only be made at the first one.
TEST(LastEngine, AnAnswerOutlivesTheCrashOfTheHedgesEngine) {
  for (int engines : {3, 2}) {
    std::vector<Row> rows;
    for (Kind kind : {Kind::RESUMABLE, Kind::SAFE})
      for (Framing framing : {Framing::CHUNKED, Framing::LENGTH})
        for (Place place : {Place::BEFORE_HEAD, Place::AFTER_TWO})
          for (Place crash : {Place::BEFORE_HEAD, Place::AFTER_HEAD,
                              Place::IN_FIRST_EVENT, Place::AFTER_TWO})
            for (int after : {0, 100, 350, 900}) {
              Row row{kind, framing, {{place, 1500}}};
              row.other_stops = {{crash, after}};
              row.other_end = End::RESETS;
              row.engines = engines;
              rows.push_back(row);
            }
    SilentWorld w(rows);
    for (auto &c : w.cases) w.ask(*c);
    w.await_all();
    int lost = 0;
    for (auto &c : w.cases) {
      bool whole;
      std::string body = SilentWorld::body_of(*c->caller, whole);
      std::string expected = joined(parts_of(c->row.kind, c->id, 0));
      int status = World::status_of(c->caller->in);
      EXPECT_LE(c->overlap, OVERLAP_MAX_MS) << c->row.name();
      if (status == 200 && whole) {
        EXPECT_EQ(body, expected) << c->row.name();
        continue;
      }
      lost++;
      if (lost > 5) continue; // the first are enough
      printf("lost: %s crash %d/%dms arrivals %d status %d\n%s",
             c->row.name().c_str(), (int)c->row.other_stops[0].place,
             c->row.other_stops[0].ms, c->arrivals, status,
             w.lines_of(*c).c_str());
    }
    printf("%d engines: %d of %zu lost\n", engines, lost, rows.size());
    EXPECT_EQ(lost, 0) << engines << " engines, of " << rows.size();
  }
}

} // namespace
