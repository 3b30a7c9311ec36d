// engine_speed_test.cc - slowness of engines as the whole fleet measures it
#include <gtest/gtest.h>

#include <msgpack.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <random>
#include <vector>

#include "relay.h"

extern "C" {
#include "peer_message.h"
}

namespace {

// {== The owner's model ====================================================

constexpr mt_ms_t start = 100000;

struct Answer {
  mt_ms_t at;
  double expected, measured;
};

// Answers of an engine by time, scattered by about a third. `slowness`: of
// the engine, ms after the start.
std::vector<Answer> answers (double per_s, mt_ms_t until,
                             const std::function<double(mt_ms_t)> &slowness) {
  std::mt19937 random(7);
  auto uniform = [&] { return ((double)random() + 1) / 4294967297.0; };
  std::vector<Answer> list;
  for (double sent = 0; sent < (double)until;) {
    sent += -std::log(uniform()) * 1000 / per_s;
    double expected = 100 + 150 * uniform();
    double work = expected * (0.5 + (uniform() + uniform()) / 2), at = sent;
    for (; work > 0; at++) work -= 1 / slowness((mt_ms_t)at);
    list.push_back({start + (mt_ms_t)at, expected, at - sent});
  }
  std::sort(list.begin(), list.end(),
            [] (const Answer &a, const Answer &b) { return a.at < b.at; });
  return list;
}

// An engine that slows down for 600 ms has to be seen as slow before that is
// over, and no longer half a second after it; one that stays slow, within a
// second or two; and the scatter of single answers is not to be taken for it.
TEST(EngineSpeed, FollowsAnEngine) {
  struct Row {
    const char *what;
    double usual, factor; // slowness; `factor` times that
    mt_ms_t from, to;     // while it is slowed down
    mt_ms_t silent;       // no answers from here on
    mt_ms_t at;           // the time that is checked
    double least, most;
  } rows[] = {
      {"average speed", 1, 1, 0, 0, 9999, 6000, 0.85, 1.15},
      {"fast", 0.6, 1, 0, 0, 9999, 6000, 0.5, 0.72},
      {"slow", 1.6, 1, 0, 0, 9999, 6000, 1.35, 1.85},
      {"slowed down, before", 1, 2.5, 6000, 6600, 9999, 6000, 0.85, 1.15},
      {"slowed down for 400 ms", 1, 2.5, 6000, 6600, 9999, 6400, 1.12, 2.5},
      {"slowed down for 600 ms", 1, 2.5, 6000, 6600, 9999, 6600, 1.25, 2.5},
      {"fast again for 600 ms", 1, 2.5, 6000, 6600, 9999, 7200, 0.85, 1.2},
      {"slow for a second", 1, 2.5, 6000, 9999, 9999, 7000, 1.5, 2.6},
      {"slow for three seconds", 1, 2.5, 6000, 9999, 9999, 9000, 1.9, 2.8},
      {"slow, then no answers", 1.6, 2.5, 5400, 6000, 6000, 8000, 1.4, 2.1},
  };
  for (const Row &row : rows) {
    mt_engine_speed_t speed{};
    auto slowness = [&] (mt_ms_t t) {
      return row.usual * (t >= row.from && t < row.to ? row.factor : 1);
    };
    for (const Answer &a : answers(45, row.at, slowness))
      if (a.at <= start + std::min(row.at, row.silent))
        mt_engine_speed_add(&speed, a.expected, a.measured, a.at);
    double seen = mt_engine_speed_figures(&speed, start + row.at).slowness;
    EXPECT_GE(seen, row.least) << row.what;
    EXPECT_LE(seen, row.most) << row.what;
  }
}

TEST(EngineSpeed, ScatterOfAnswersMovesItLittle) {
  mt_engine_speed_t speed{};
  double most = 0, least = 9;
  for (const Answer &a : answers(45, 20000, [] (mt_ms_t) { return 1; })) {
    mt_engine_speed_add(&speed, a.expected, a.measured, a.at);
    if (a.at < start + 3000) continue;
    double seen = mt_engine_speed_figures(&speed, a.at).slowness;
    most = std::max(most, seen);
    least = std::min(least, seen);
  }
  EXPECT_LT(most, 1.2);
  EXPECT_GT(least, 0.83);
}

// A single answer is no proof.
TEST(EngineSpeed, OneAnswerMovesItLittle) {
  mt_engine_speed_t speed{};
  mt_engine_speed_add(&speed, 100, 400, start);
  double seen = mt_engine_speed_figures(&speed, start).slowness;
  EXPECT_GT(seen, 1.2);
  EXPECT_LT(seen, 2.2);
}

// }==

// {== Reports ==============================================================

mt_speed_sums_t sums (int64_t answers, int64_t expected, int64_t measured) {
  return {true, answers, expected, measured, {}};
}

// False, absurd or repeated sums must not move the model beyond its bounds,
// and a restarted router's must not be taken for a negative difference.
TEST(EngineSpeed, ReportsCountByTheirDifference) {
  const mt_speed_sums_t none{}, last = sums(10, 1000, 1000);
  const int64_t huge = (int64_t)1 << 52;
  struct Row {
    const char *what;
    const mt_speed_sums_t *last;
    mt_speed_sums_t now;
    mt_speed_report_t outcome;
    double least, most; // slowness then; 0: unknown
  } rows[] = {
      {"first report", nullptr, sums(50, 5000, 20000),
       MT_SPEED_REPORT_BASELINE, 0, 0},
      {"first one since the router was updated", &none, sums(50, 5000, 20000),
       MT_SPEED_REPORT_BASELINE, 0, 0},
      {"no answers since", &last, last, MT_SPEED_REPORT_UNCHANGED, 0, 0},
      {"ten answers, half as fast", &last, sums(20, 2000, 3000),
       MT_SPEED_REPORT_USED, 1.5, 2},
      {"the router has restarted", &last, sums(2, 200, 200),
       MT_SPEED_REPORT_BASELINE, 0, 0},
      {"one sum fell", &last, sums(20, 2000, 900), MT_SPEED_REPORT_BASELINE,
       0, 0},
      {"a huge time", &last, sums(11, 1100, huge), MT_SPEED_REPORT_BOUNDED, 1,
       4},
      {"no time", &last, sums(20, 2000, 1000), MT_SPEED_REPORT_USED, 0.4, 1},
      {"nothing was expected", &last, sums(20, 1000, 9000),
       MT_SPEED_REPORT_BOUNDED, 1, 8},
      {"huge sums", &last, sums(huge, huge, huge), MT_SPEED_REPORT_BOUNDED, 1,
       1},
  };
  for (const Row &row : rows) {
    mt_engine_speed_t speed{};
    EXPECT_EQ(mt_engine_speed_report(&speed, row.last, &row.now, start),
              row.outcome)
        << row.what;
    mt_speed_figures_t figures = mt_engine_speed_figures(&speed, start);
    EXPECT_GE(figures.slowness, row.least - 1e-9) << row.what;
    EXPECT_LE(figures.slowness, row.most + 1e-9) << row.what;
  }
}

// One router that reports nonsense all the time cannot outweigh the others
// for long.
TEST(EngineSpeed, AFalseReportFades) {
  mt_engine_speed_t speed{};
  const mt_speed_sums_t zero = sums(0, 0, 0);
  const int64_t huge = (int64_t)1 << 52;
  const mt_speed_sums_t absurd = sums(huge, 1, huge);
  mt_engine_speed_report(&speed, &zero, &absurd, start);
  for (int i = 1; i <= 100; i++)
    mt_engine_speed_add(&speed, 150, 150, start + (mt_ms_t)i * 20);
  EXPECT_LT(mt_engine_speed_figures(&speed, start + 2000).slowness, 1.2);
}

TEST(EngineSpeed, OldFiguresAreNotUsed) {
  struct Row {
    const char *what;
    double slowness;
    mt_ms_t age, elapsed;
    double used; // own: 1.1
    bool fresh;
  } rows[] = {
      {"fresh", 2.5, 0, 0, 2.5, true},
      {"two seconds in all", 2.5, 1500, 500, 2.5, true},
      {"more than that", 2.5, 1500, 501, 1.1, false},
      {"old at the owner, as without reports", 2.5, 2001, 0, 1.1, false},
      {"a long time ago", 2.5, 0, 1000000, 1.1, false},
      {"huge age", 2.5, UINT64_MAX, UINT64_MAX, 1.1, false},
      {"unknown", 0, 0, 0, 1.1, true},
      {"out of range", 100, 0, 0, MT_SLOWNESS_MAX, true},
      {"negative", -3, 0, 0, 1.1, true},
  };
  for (const Row &row : rows) {
    mt_speed_figures_t f{};
    f.slowness = row.slowness;
    f.age = f.gaps.age = row.age;
    f.gaps.mean_ms = 40;
    EXPECT_EQ(mt_speed_slowness(&f, row.elapsed, 1.1), row.used) << row.what;
    EXPECT_EQ(mt_speed_gaps(&f, row.elapsed).mean_ms > 0, row.fresh)
        << row.what;
  }
}

// }==

// {== Messages =============================================================

using Message = std::unique_ptr<mt_peer_message_t>;

Message message_of (mt_peer_kind_t kind) {
  auto m = std::make_unique<mt_peer_message_t>();
  mt_peer_message_begin(m.get(), kind);
  return m;
}

std::string pack (const Message &m) {
  std::string bytes(MT_PEER_DATAGRAM_MAX, '\0');
  bytes.resize(mt_peer_message_pack(m.get(), &bytes[0], bytes.size()));
  return bytes;
}

Message unpack (const std::string &bytes) {
  Message m = message_of(MT_PEER_HELLO);
  return mt_peer_message_unpack(m.get(), bytes.data(), bytes.size())
             ? move(m)
             : nullptr;
}

constexpr size_t header_fields = 21, lists = 7, engine_fields = 7;

// A message of two engines in format version 8 as the build before this
// element packs it, then what `add` puts behind the rows, `added` elements.
std::string pack_before (
    mt_peer_kind_t kind, size_t added = 0,
    const std::function<void(msgpack_packer *)> &add = [] (msgpack_packer *) {
    }) {
  msgpack_sbuffer out;
  msgpack_packer pk;
  msgpack_sbuffer_init(&out);
  msgpack_packer_init(&pk, &out, msgpack_sbuffer_write);
  msgpack_pack_array(&pk, header_fields + lists);
  for (size_t i = 0; i < header_fields; i++)
    msgpack_pack_uint64(&pk, i == 0 ? 8 : i == 1 ? (uint64_t)kind : 0);
  for (size_t i = 0; i < lists; i++) {
    if (i != 2) {
      msgpack_pack_array(&pk, 0);
      continue;
    }
    msgpack_pack_array(&pk, 2 * engine_fields + added);
    for (uint64_t k = 1; k <= 2 * engine_fields; k++)
      msgpack_pack_uint64(&pk, k == 14 ? 1 : k == 7 ? 2 : k * 10);
    add(&pk);
  }
  std::string bytes(out.data, out.size);
  msgpack_sbuffer_destroy(&out);
  return bytes;
}

// The fields of the engines as the build before reads them: as many rows as
// fit, the remainder passed over. Empty if it would drop the message.
std::vector<uint64_t> read_before (const std::string &bytes) {
  std::vector<uint64_t> fields;
  msgpack_unpacked u;
  msgpack_unpacked_init(&u);
  msgpack_unpack_next(&u, bytes.data(), bytes.size(), nullptr);
  const msgpack_object &o = u.data;
  if (o.type == MSGPACK_OBJECT_ARRAY &&
      o.via.array.size == header_fields + lists) {
    const msgpack_object &engines = o.via.array.ptr[header_fields + 2];
    size_t rows = engines.via.array.size / engine_fields;
    for (size_t i = 0; i < rows * engine_fields; i++) {
      EXPECT_EQ(engines.via.array.ptr[i].type,
                MSGPACK_OBJECT_POSITIVE_INTEGER);
      fields.push_back(engines.via.array.ptr[i].via.u64);
    }
  }
  msgpack_unpacked_destroy(&u);
  return fields;
}

Message with_engines (mt_peer_kind_t kind, size_t count, bool gaps = true) {
  Message m = message_of(kind);
  for (size_t i = 0; i < count; i++) {
    mt_peer_engine_t e{};
    e.key = 90 + i;
    e.load = {10, 20, 3};
    e.tokens = 400;
    e.holder = 77;
    e.measured = sums(5 + (int64_t)i, 600, 900);
    e.speed = {1.25, 40 + i, {}};
    if (gaps) {
      e.measured.gaps = {true, 700, 30000, {30, 20, 10}};
      e.speed.gaps = {43, {0.04, 0.0125, 0}, 60};
    }
    m->engines[m->engines_count++] = e;
  }
  return m;
}

TEST(EngineSpeed, MessagesCarryIt) {
  for (size_t count : {1, 2, 32, 64}) {
    Message load = unpack(pack(with_engines(MT_PEER_LOAD, count))),
            quote = unpack(pack(with_engines(MT_PEER_QUOTE, count)));
    ASSERT_TRUE(load && quote) << count;
    ASSERT_EQ(load->engines_count, count);
    ASSERT_EQ(quote->engines_count, count);
    for (size_t i = 0; i < count; i++) {
      const mt_peer_engine_t &l = load->engines[i], &q = quote->engines[i];
      EXPECT_TRUE(l.measured.known);
      EXPECT_EQ(l.measured.answers, 5 + (int64_t)i);
      EXPECT_EQ(l.measured.expected_ms, 600);
      EXPECT_EQ(l.measured.measured_ms, 900);
      EXPECT_EQ(l.speed.slowness, 0);
      EXPECT_FALSE(q.measured.known);
      EXPECT_EQ(q.speed.slowness, 1.25);
      EXPECT_EQ(q.speed.age, 40 + i);
      EXPECT_EQ(q.tokens, 400);
      EXPECT_TRUE(l.measured.gaps.known);
      EXPECT_EQ(l.measured.gaps.count, 700);
      EXPECT_EQ(l.measured.gaps.ms, 30000);
      EXPECT_EQ(l.measured.gaps.over[2], 10);
      EXPECT_EQ(q.speed.gaps.mean_ms, 43);
      EXPECT_EQ(q.speed.gaps.over[1], 0.0125);
      EXPECT_EQ(q.speed.gaps.age, 60u);
    }
  }
}

// A router that doesn't measure gaps, or on the build before it did.
TEST(EngineSpeed, RowsWithoutGapsAreRead) {
  Message load = unpack(pack(with_engines(MT_PEER_LOAD, 2, false))),
          quote = unpack(pack(with_engines(MT_PEER_QUOTE, 2, false)));
  ASSERT_TRUE(load && quote);
  EXPECT_EQ(load->engines[1].measured.answers, 6);
  EXPECT_FALSE(load->engines[1].measured.gaps.known);
  EXPECT_EQ(quote->engines[1].speed.slowness, 1.25);
  EXPECT_EQ(quote->engines[1].speed.gaps.mean_ms, 0);
}

// Every request has three reports and up to eight quotes: their size decides
// what a router sends.
TEST(EngineSpeed, AnEngineTakesFewBytes) {
  struct Row {
    mt_peer_kind_t kind;
    size_t most;
  } rows[] = {{MT_PEER_LOAD, 36}, {MT_PEER_QUOTE, 22}};
  for (const Row &row : rows) {
    Message with = with_engines(row.kind, 1),
            without = with_engines(row.kind, 1);
    mt_peer_engine_t &e = with->engines[0];
    // After a day at 45 answers/s, 60 routers and 56 events.
    e.measured = sums(64800, 9720000, 11000000);
    e.measured.gaps = {true, 3600000, 144000000, {36000, 7200, 1800}};
    e.speed.gaps = {43, {0.02, 0.0125, 0.001}, 300};
    e.speed.age = 300;
    without->engines[0].measured = {};
    without->engines[0].speed = {};
    EXPECT_LE(pack(with).size(), pack(without).size() + row.most);
  }
}

// Routers of both builds work in one fleet while it is updated.
TEST(EngineSpeed, TheFormatStaysReadableBothWays) {
  for (mt_peer_kind_t kind : {MT_PEER_LOAD, MT_PEER_QUOTE}) {
    Message m = unpack(pack_before(kind));
    ASSERT_TRUE(m != nullptr);
    ASSERT_EQ(m->engines_count, 2u);
    EXPECT_EQ(m->engines[1].key, 80u);
    EXPECT_EQ(m->engines[1].load.running, 110);
    EXPECT_FALSE(m->engines[1].measured.known);
    EXPECT_EQ(m->engines[1].speed.slowness, 0);
    for (size_t count : {1, 2, 64}) {
      std::vector<uint64_t> fields =
          read_before(pack(with_engines(kind, count)));
      ASSERT_EQ(fields.size(), count * engine_fields);
      for (size_t i = 0; i < count; i++) {
        EXPECT_EQ(fields[i * engine_fields], 90 + i);
        EXPECT_EQ(fields[i * engine_fields + 4], 400u);
      }
    }
  }
}

// The rows are read whatever follows them; what is no element of this kind
// says nothing.
TEST(EngineSpeed, UnknownElementsArePassedOver) {
  auto array = [] (std::vector<uint64_t> numbers) {
    return [numbers] (msgpack_packer *pk) {
      msgpack_pack_array(pk, numbers.size());
      for (uint64_t n : numbers) msgpack_pack_uint64(pk, n);
    };
  };
  struct Row {
    const char *what;
    size_t added;
    std::function<void(msgpack_packer *)> add;
    bool known;
    int64_t answers; // of the second engine
  } rows[] = {
      {"two rows", 1, array({3, 1, 2, 3, 4, 5, 6}), true, 4},
      {"rows of a later build", 1, array({5, 1, 2, 3, 0, 0, 4, 5, 6, 0, 0}),
       true, 4},
      {"huge numbers", 1, array({3, 1, 2, 3, UINT64_MAX, UINT64_MAX, 6}),
       true, (int64_t)1 << 52},
      {"one row too few", 1, array({3, 1, 2, 3}), false, 0},
      {"rows too short", 1, array({1, 1, 2}), false, 0},
      {"rows of huge size", 1, array({UINT64_MAX, 1, 2}), false, 0},
      {"empty", 1, array({}), false, 0},
      {"a number", 1, [] (msgpack_packer *pk) { msgpack_pack_uint64(pk, 3); },
       false, 0},
      {"two elements", 2,
       [] (msgpack_packer *pk) {
         msgpack_pack_array(pk, 0);
         msgpack_pack_array(pk, 0);
       },
       false, 0},
  };
  for (const Row &row : rows) {
    Message m = unpack(pack_before(MT_PEER_LOAD, row.added, row.add));
    ASSERT_TRUE(m != nullptr) << row.what;
    ASSERT_EQ(m->engines_count, 2u) << row.what;
    EXPECT_EQ(m->engines[1].load.running, 110) << row.what;
    EXPECT_EQ(m->engines[1].measured.known, row.known) << row.what;
    EXPECT_EQ(m->engines[1].measured.answers, row.answers) << row.what;
  }
}

TEST(EngineSpeed, SpoiledMessagesAreBounded) {
  std::mt19937 random(1);
  for (mt_peer_kind_t kind : {MT_PEER_LOAD, MT_PEER_QUOTE}) {
    const std::string bytes = pack(with_engines(kind, 5));
    for (int i = 0; i < 20000; i++) {
      std::string spoiled = bytes;
      for (int k = 0; k < 3; k++)
        spoiled[random() % spoiled.size()] = (char)random();
      Message m = unpack(spoiled);
      if (m == nullptr) continue;
      for (size_t e = 0; e < m->engines_count; e++) {
        ASSERT_GE(m->engines[e].measured.answers, 0);
        ASSERT_LE(m->engines[e].measured.measured_ms, (int64_t)1 << 52);
        ASSERT_LE(m->engines[e].speed.slowness, MT_SLOWNESS_MAX);
        ASSERT_GE(m->engines[e].measured.gaps.count, 0);
        ASSERT_LE(m->engines[e].speed.gaps.over[0], 1);
        ASSERT_LE(m->engines[e].speed.gaps.mean_ms, 600000);
      }
    }
  }
}

// }==

// {== Placement ============================================================

void quote (Relay &w, uint64_t number,
            const std::vector<mt_relay_quote_t> &quotes) {
  mt_relay_event_t event{};
  event.kind = MT_RELAY_QUOTED;
  event.request = number;
  event.u.quotes.list = quotes.data();
  event.u.quotes.count = quotes.size();
  w.step(event);
}

// What 60 routers, each with one answer, tell the owner of the engine.
mt_relay_quote_t quote_after_reports (Relay &owner, uint64_t engine,
                                      int64_t measured, mt_ms_t since) {
  owner.relay->now = owner.now;
  for (uint64_t router = 1; router <= 60; router++) {
    mt_load_row_t row{};
    row.router = router;
    row.valid_until = owner.now + 2500;
    row.measured = sums(3, 400, 400);
    mt_relay_update_peer_load(owner.relay, engine, &row, nullptr, 0);
    row.measured = sums(4, 500, 400 + measured);
    mt_relay_update_peer_load(owner.relay, engine, &row, nullptr, 0);
  }
  owner.now += since;
  owner.relay->now = owner.now;
  return mt_relay_quote(owner.relay, engine, 99, nullptr, 0);
}

// A router that has no answer of an engine itself learns from the others that
// it is slow. Without the part it sends its request there.
TEST(EngineSpeed, ARouterAvoidsAnEngineThatIsSlowForOthers) {
  struct Row {
    const char *what;
    int64_t measured; // ms, for 100 expected
    mt_ms_t since;    // the owner's last report
    bool owner_off, off;
    bool avoided;
  } rows[] = {
      {"slow", 250, 0, false, false, true},
      {"as fast as others", 100, 0, false, false, false},
      {"reports reach the owner no more", 250, 2100, false, false, false},
      {"the owner doesn't know", 250, 0, true, false, false},
      {"switched off", 250, 0, false, true, false}};
  for (const Row &row : rows) {
    uint64_t favourite = 0;
    for (bool slow : {false, true}) {
      Relay owner(4), w(4);
      owner.declare();
      w.declare();
      w.relay->routers = 2;
      owner.relay->params.off[MT_RELAY_FLEET_SPEED] = row.owner_off;
      w.relay->params.off[MT_RELAY_FLEET_SPEED] = row.off;
      w.request(1, "/stream/x");
      std::vector<mt_relay_quote_t> quotes;
      for (uint64_t key : w.asked(1)) {
        mt_relay_quote_t q{};
        q.engine = key;
        q.peers.pending_prefill = 1000;
        if (slow && key == favourite)
          q.speed =
              quote_after_reports(owner, key, row.measured, row.since).speed;
        quotes.push_back(q);
      }
      quote(w, 1, quotes);
      const mt_relay_effect_t *fx = w.find(MT_RELAY_DO_START, 1);
      ASSERT_NE(fx, nullptr) << row.what;
      if (!slow)
        favourite = fx->u.start.engine;
      else
        EXPECT_EQ(fx->u.start.engine != favourite, row.avoided) << row.what;
      auto *r = (mt_relay_request_t *)mtV_get(&w.relay->requests, 1);
      EXPECT_GE(r->current.slowness, MT_SLOWNESS_MIN);
    }
  }
}

// The owner's figure after failures on the way: what 60 routers measure at an
// engine that takes 2.5 times as long, in 20 reports each.
TEST(EngineSpeed, FailuresOnTheWayDoLittleHarm) {
  struct Row {
    const char *what;
    uint64_t lost;        // one of so many reports is lost; 0: none
    int successor;        // after so many reports there is a new owner
    int router_restarted; // after so many reports routers start again
    bool repeated;        // each report comes twice
    double least;
  } rows[] = {{"none", 0, 0, 0, false, 2},
              {"one of two reports is lost", 2, 0, 0, false, 2},
              {"each report comes twice", 0, 0, 0, true, 2},
              {"the owner is replaced", 0, 15, 0, false, 2},
              {"the routers restart", 0, 0, 15, false, 2},
              {"the owner was replaced just now", 0, 19, 0, false, 0}};
  for (const Row &row : rows) {
    Relay first(1), second(1);
    Relay *owner = &first;
    for (int report = 1; report <= 20; report++) {
      if (report == row.successor + 1 && row.successor > 0) owner = &second;
      owner->now = first.now = first.now + 100;
      owner->relay->now = owner->now;
      for (uint64_t router = 1; router <= 60; router++) {
        int64_t n = report;
        if (row.router_restarted > 0 && report > row.router_restarted)
          n -= row.router_restarted;
        if (row.lost > 0 && (router + (uint64_t)report) % row.lost == 0)
          continue;
        mt_load_row_t load{};
        load.router = router;
        load.valid_until = owner->now + 2500;
        load.measured = sums(n, n * 150, n * 375);
        for (int k = 0; k <= row.repeated; k++)
          mt_relay_update_peer_load(owner->relay, owner->find("m1")->key,
                                    &load, nullptr, 0);
      }
    }
    double seen =
        mt_relay_quote(owner->relay, owner->find("m1")->key, 99, nullptr, 0)
            .speed.slowness;
    EXPECT_GE(seen, row.least) << row.what;
    EXPECT_LE(seen, 2.6) << row.what;
  }
}

// What a router measures itself goes into its reports, and at the engine's
// owner into its own model.
TEST(EngineSpeed, OwnAnswersAreMeasured) {
  for (bool off : {false, true}) {
    Relay w(1);
    w.declare();
    w.relay->params.off[MT_RELAY_FLEET_SPEED] = off;
    w.request(1, "/stream/x", "key-w1", 5000, 4000); // 200 ms expected
    ASSERT_NE(w.find(MT_RELAY_DO_START), nullptr);
    w.sent(1);
    w.now += 500;
    w.head(1, 200, true);
    w.event(1, 1);
    w.event(1, 2); // not a first event
    const mt_engine_t *e = w.find("m1");
    EXPECT_EQ(e->measured.answers, off ? 0 : 1);
    EXPECT_EQ(e->measured.measured_ms, off ? 0 : 500);
    mt_relay_quote_t q = mt_relay_quote(w.relay, e->key, 0, nullptr, 0);
    EXPECT_EQ(q.speed.slowness > 1, !off);
    EXPECT_EQ(w.relay->counters.speed_reports[MT_SPEED_REPORT_USED], 0u);
  }
}

TEST(EngineSpeed, OutcomesOfReportsAreCounted) {
  Relay w(1);
  w.declare();
  w.relay->now = w.now;
  mt_load_row_t row{};
  row.router = 5;
  row.valid_until = w.now + 1000;
  uint64_t key = w.find("m1")->key;
  const uint64_t *counts = w.relay->counters.speed_reports;
  mt_relay_update_peer_load(w.relay, key, &row, nullptr, 0);
  for (int i = 0; i < MT_SPEED_REPORT_COUNT; i++) EXPECT_EQ(counts[i], 0u);
  row.measured = sums(3, 300, 300);
  mt_relay_update_peer_load(w.relay, key, &row, nullptr, 0);
  EXPECT_EQ(counts[MT_SPEED_REPORT_BASELINE], 1u);
  mt_relay_update_peer_load(w.relay, key, &row, nullptr, 0); // repeated
  EXPECT_EQ(counts[MT_SPEED_REPORT_UNCHANGED], 1u);
  row.measured = sums(5, 500, 600);
  mt_relay_update_peer_load(w.relay, key, &row, nullptr, 0);
  EXPECT_EQ(counts[MT_SPEED_REPORT_USED], 1u);
  row.measured = sums(6, 600, 1 << 30);
  mt_relay_update_peer_load(w.relay, key, &row, nullptr, 0);
  EXPECT_EQ(counts[MT_SPEED_REPORT_BOUNDED], 1u);
  mt_relay_update_peer_load(w.relay, 12345, &row, nullptr, 0);
  EXPECT_EQ(counts[MT_SPEED_REPORT_IGNORED], 1u);
  // A lost report does no harm: the next one has its answers, too.
  mt_relay_update_peer_load(w.relay, key, &row, nullptr, 0);
  EXPECT_EQ(counts[MT_SPEED_REPORT_UNCHANGED], 2u);
}

// A new process of an engine may be on other hardware.
TEST(EngineSpeed, ARestartedEngineIsUnknown) {
  Relay w(1);
  mt_engine_t *e = w.find("m1");
  mt_engine_speed_add(&e->speed, 100, 400, w.now);
  e->quoted = w.now;
  e->quoted_speed = {4, 0, {}};
  w.relay->now = w.now;
  EXPECT_EQ(mt_relay_slowness(w.relay, e), 4);
  mt_engine_restarted(e);
  EXPECT_EQ(mt_engine_speed_figures(&e->speed, w.now).slowness, 0);
  EXPECT_EQ(mt_relay_slowness(w.relay, e), 1);
}

// }==

} // namespace
