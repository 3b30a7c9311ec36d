// long_event_test.cc - events that come in small parts
#include <gtest/gtest.h>

#include <ctime>
#include <string>

extern "C" {
#include "event_stream.h"
}

namespace {

double processor_seconds () {
  timespec ts;
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
  return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

// Guards against an event without end that takes all time of the process, as
// each of its bytes is looked at again for each further one.
TEST(LongEvent, IsSearchedOnce) {
  const double SECONDS_MAX = 2; // some 20 ms are needed
  for (std::string part : {"x", ":\n", "\n:", "\r", "xxxxxxxx"}) {
    mt_event_stream_t s{};
    mt_stream_event_t event;
    double begun = processor_seconds();
    for (size_t n = 0; n + part.size() < MT_EVENT_MAX; n += part.size()) {
      ASSERT_TRUE(mt_event_stream_feed(&s, part.data(), part.size()));
      ASSERT_FALSE(mt_event_stream_has_next(&s)) << part;
      ASSERT_FALSE(mt_event_stream_next(&s, &event)) << part;
      if (processor_seconds() > begun + SECONDS_MAX) break;
    }
    EXPECT_LT(processor_seconds() - begun, SECONDS_MAX) << part;
    mt_event_stream_free(&s);
  }
}

// The end of an event is found wherever its parts meet.
TEST(LongEvent, EndsWhereverItsPartsMeet) {
  const std::string first = "id: 7\ndata: x\n\n", second = "data: y\r\n\r\n",
                    text = first + second + "id";
  for (size_t size = 1; size <= text.size(); size++) {
    mt_event_stream_t s{};
    mt_stream_event_t event;
    std::string found;
    int events = 0;
    for (size_t at = 0; at < text.size(); at += size) {
      std::string part = text.substr(at, size);
      ASSERT_TRUE(mt_event_stream_feed(&s, part.data(), part.size()));
      while (mt_event_stream_has_next(&s)) {
        ASSERT_TRUE(mt_event_stream_next(&s, &event));
        found.append(event.text.p, event.text.n);
        EXPECT_EQ(event.id, events++ == 0 ? 7 : -1) << size;
      }
    }
    EXPECT_EQ(events, 2) << size;
    EXPECT_EQ(found, first + second) << size;
    EXPECT_TRUE(mt_event_stream_partial(&s)) << size;
    mt_event_stream_free(&s);
  }
}

} // namespace
