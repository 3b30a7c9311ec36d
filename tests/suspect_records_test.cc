// suspect_records_test.cc - which quarantines are recorded at the source
#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "suspect_records.h"
}

namespace {

const uint64_t kName = 78;

struct Records {
  mt_suspects_t suspects{};
  mt_suspect_records_t records{};
  mt_ms_t now = 1000000;
  bool owner = true;
  ~Records() {
    mt_suspects_free(&suspects);
    mt_suspect_records_free(&records);
  }
  static bool owns (void *ud, uint64_t) {
    return ((Records *)ud)->owner;
  }
  // The next write, 200 ms after the one before; the source takes it.
  mt_suspect_record_t next (bool taken = true) {
    now += 200;
    mt_suspect_record_t record =
        mt_suspect_records_next(&records, &suspects, owns, this, now);
    if (taken) mt_suspect_records_written(&records, &record, now);
    return record;
  }
  void quarantine (uint64_t name = kName) {
    for (uint64_t engine = 1; engine <= 4; engine++) {
      now += 600; // not of one outage
      const mt_suspect_end_t end = {engine, now, engine > 2, engine, 1};
      mt_suspects_add_end(&suspects, name, &end, false, now);
    }
    ASSERT_EQ(mt_suspects_state(&suspects, name, now),
              MT_SUSPICION_QUARANTINE);
  }
};

// A letter is what happens before the next write is due: 'q' the name is
// quarantined, 'p' it is on probation, 'c' it is cleared, 'o' another router
// becomes the owner, 'b' this one again, 't' the record expires, 'r' the
// record was read at the start, '.' nothing; 'x' the write fails.
TEST(SuspectRecords, FollowTheOwnersQuarantines) {
  struct Row {
    const char *what, *history;
    mt_record_write_t write; // the last one
  } rows[] = {
      {"nothing", ".", MT_RECORD_NOTHING},
      {"probation", "p", MT_RECORD_NOTHING},
      {"quarantine", "q", MT_RECORD_PUT},
      {"it is recorded once", "q.", MT_RECORD_NOTHING},
      {"it is recorded again if the write failed", "qx.", MT_RECORD_PUT},
      {"not after it was cleared", "qxc", MT_RECORD_NOTHING},
      {"by the owner alone", "oq", MT_RECORD_NOTHING},
      {"a new owner records it", "oqb", MT_RECORD_PUT},
      {"a cleared one is deleted", "qc", MT_RECORD_DELETE},
      {"once", "qc.", MT_RECORD_NOTHING},
      {"by the owner alone", "qoc", MT_RECORD_NOTHING},
      {"it is recorded anew before it expires", "qt", MT_RECORD_PUT},
      {"what was read is not written", "rq", MT_RECORD_NOTHING},
      {"what was read is deleted when it is cleared", "rqc",
       MT_RECORD_DELETE},
  };
  for (const Row &row : rows) {
    SCOPED_TRACE(std::string(row.what) + " " + row.history);
    Records r;
    mt_record_write_t write = MT_RECORD_NOTHING;
    for (const char *p = row.history; *p != '\0'; p++) {
      const mt_suspect_end_t first = {1, r.now, false, 1, 1},
                             second = {2, r.now, false, 2, 1};
      switch (*p) {
        case 'q': r.quarantine(); break;
        case 'p':
          mt_suspects_add_end(&r.suspects, kName, &first, false, r.now);
          mt_suspects_add_end(&r.suspects, kName, &second, false, r.now);
          break;
        case 'c': mt_suspects_clear(&r.suspects, kName, r.now, r.now); break;
        case 'o': r.owner = false; break;
        case 'b': r.owner = true; break;
        case 'r': mt_suspect_records_read(&r.records, kName, r.now); continue;
        case 't':
          r.now += MT_SUSPECT_RECORD_TTL_MS;
          mt_suspects_clear(&r.suspects, kName, r.now - 1, r.now);
          r.now += 1000;
          r.quarantine();
          break;
        default: break;
      }
      mt_suspect_record_t record = r.next(p[1] != 'x');
      write = record.write;
      if (p[1] == 'x') p++;
      EXPECT_EQ(record.row.digest, write != MT_RECORD_NOTHING ? kName : 0);
      EXPECT_EQ(record.row.listed, write == MT_RECORD_PUT ? 4 : 0);
    }
    EXPECT_EQ(write, row.write);
  }
}

TEST(SuspectRecords, NumberAndRateAreBounded) {
  Records r;
  for (uint64_t i = 1; i <= 100; i++) r.quarantine(i);
  int written = 0;
  for (int i = 0; i < 200; i++) written += r.next().write == MT_RECORD_PUT;
  EXPECT_EQ(written, 64);
  r.records.next = r.now + 1;
  EXPECT_EQ(mt_suspect_records_next(&r.records, &r.suspects, Records::owns,
                                    &r, r.now)
                .write,
            MT_RECORD_NOTHING);
}

} // namespace
