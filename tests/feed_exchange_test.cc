// feed_exchange_test.cc - whole fleets that tell each other what changes at
// the source, with a clock by hand and messages that are lost by seeds.
#include <gtest/gtest.h>

#include <cstring>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "engine.h"
#include "feed_exchange.h"
}

namespace {

constexpr mt_ms_t kTick = 25, kHello = 150;

struct World;

struct Router {
  World *world = nullptr;
  mt_membership_t members{};
  mt_feed_exchange_t feeds{};
  mt_peer_message_t out{};
  bool turned_away = false;
  std::map<std::string, mt_change_kind_t> known; // engines, domains, keys
  std::map<std::string, mt_ms_t> since;
  size_t outcomes[MT_FEED_OUTCOMES]{};
  uint64_t sent = 0, crossed = 0;
  ~Router() {
    mt_feed_exchange_free(&feeds);
    mt_membership_free(&members);
  }
};

// The source, and routers that read it or are turned away.
struct World {
  std::vector<std::unique_ptr<Router>> routers;
  std::map<uint32_t, Router *> by_ip;
  std::vector<mt_change_t> changes; // at the source, rising revisions
  int64_t rev = 100;
  mt_ms_t now = 100000;
  std::mt19937 random;
  unsigned lost = 0; // of 1,000 messages

  World(int count, int domains, unsigned seed) : random(seed) {
    for (int i = 0; i < count; i++) {
      routers.push_back(std::make_unique<Router>());
      Router *r = routers.back().get();
      r->world = this;
      r->members.own_ip = 0x0a000001u + (uint32_t)i * 0x101u;
      r->members.own_domain = (mt_id_t)(1 + i % domains);
      r->members.own_source = true;
      const mt_feed_exchange_calls_t calls = {begin, send, apply, note, r};
      mt_feed_exchange_open(&r->feeds, &r->members, &calls);
      by_ip[r->members.own_ip] = r;
    }
    meet();
    for (auto &r : routers)
      for (int i = 0; i < MT_FEEDS; i++)
        mt_feed_exchange_read(&r->feeds, (mt_feed_kind_t)i, rev, rev,
                              MT_FEED_LISTING);
  }
  void meet () {
    for (auto &r : routers) {
      for (auto &other : routers) {
        mt_peer_t *peer =
            mt_membership_know(&r->members, other->members.own_ip);
        if (peer == nullptr) continue;
        peer->domain = other->members.own_domain;
        peer->source = !other->turned_away;
        peer->heard = now;
      }
      r->members.own_source = !r->turned_away;
      mt_membership_update(&r->members, now);
    }
  }
  static mt_peer_message_t *begin (void *ud, mt_peer_kind_t kind) {
    auto *r = (Router *)ud;
    mt_peer_message_begin(&r->out, kind);
    mt_feed_exchange_header(&r->feeds, &r->out);
    return &r->out;
  }
  static void send (void *ud, const uint32_t *to, size_t count) {
    auto *r = (Router *)ud;
    char bytes[MT_PEER_DATAGRAM_MAX];
    size_t n = mt_peer_message_pack(&r->out, bytes, sizeof bytes);
    ASSERT_GT(n, 0u);
    auto copy = std::make_unique<mt_peer_message_t>();
    ASSERT_TRUE(mt_peer_message_unpack(copy.get(), bytes, n));
    for (size_t i = 0; i < count; i++) {
      Router *other = r->world->by_ip[to[i]];
      bool far = other->members.own_domain != r->members.own_domain;
      r->sent += n;
      r->crossed += far ? n : 0;
      if (r->world->random() % 1000 >= r->world->lost)
        r->world->deliver(r, other, *copy);
    }
  }
  void deliver (Router *from, Router *to, const mt_peer_message_t &m) {
    mt_peer_t *peer = mt_membership_know(&to->members, from->members.own_ip);
    to->members.now = now;
    mt_feed_exchange_heard(&to->feeds, peer, &m);
    if (m.kind == MT_PEER_NEWS) mt_feed_exchange_news(&to->feeds, peer, &m);
    if (m.kind == MT_PEER_LACK) mt_feed_exchange_lack(&to->feeds, peer, &m);
  }
  static bool apply (void *ud, const mt_change_t *change, mt_ms_t since) {
    auto *r = (Router *)ud;
    r->known[change->name] = change->kind;
    r->since[change->name] = since;
    return strcmp(change->name, MT_CHANGE_SEVERAL) != 0;
  }
  static void note (void *ud, uint32_t, mt_feed_kind_t,
                    const mt_peer_span_t *, size_t,
                    mt_feed_outcome_t outcome) {
    ((Router *)ud)->outcomes[outcome]++;
  }
  // Something changes at the source.
  void change (mt_change_kind_t kind, const std::string &name) {
    changes.push_back(mt_change_named(kind, name.c_str(), ++rev));
  }
  // What the source tells a router of one feed, as a watch does.
  void read (Router *r, mt_feed_kind_t kind) {
    int64_t newest = r->feeds.feeds[kind].state.newest;
    for (const mt_change_t &c : changes) {
      if (mt_change_feed(c.kind) != kind) continue;
      newest = std::max(newest, c.rev);
      if (c.rev <= r->feeds.feeds[kind].state.taken) continue;
      if (mt_feed_exchange_changed(&r->feeds, &c)) apply(r, &c, now);
    }
    mt_feed_exchange_expect(&r->feeds, r->known.size());
    mt_feed_exchange_read(&r->feeds, kind, newest, rev, MT_FEED_CHANGES);
  }
  // A list of the engines that are there, as the source gives it for less.
  void list (Router *r) {
    std::map<std::string, mt_change_t> there;
    mt_map_t seen{};
    int64_t last = 0;
    for (const mt_change_t &c : changes) {
      if (c.kind == MT_CHANGE_ENGINE_GONE)
        there.erase(c.name);
      else if (mt_change_feed(c.kind) == MT_FEED_ENGINES)
        there[c.name] = c;
    }
    for (auto &row : there) {
      mtV_put(&seen, mt_engine_key(row.first.c_str(), row.first.size()), r);
      last = std::max(last, row.second.rev);
      mt_feed_exchange_changed(&r->feeds, &row.second);
      apply(r, &row.second, now);
    }
    mt_feed_exchange_listed(&r->feeds, &seen, last);
    mt_feed_exchange_read(&r->feeds, MT_FEED_ENGINES, last, last,
                          MT_FEED_PAST);
    mtV_free(&seen);
  }
  void run (mt_ms_t ms) {
    for (mt_ms_t end = now + ms; now < end; now += kTick) {
      meet();
      for (auto &r : routers) {
        r->members.now = now;
        bool reads = !r->turned_away && mt_membership_watches(&r->members);
        for (int i = 0; i < MT_FEEDS && reads; i++)
          read(r.get(), (mt_feed_kind_t)i);
        if ((now + r->members.own_ip) % kHello < kTick) hello(r.get());
        mt_feed_exchange_tick(&r->feeds);
      }
    }
  }
  // A message in which only the header counts, to some of the others.
  void hello (Router *r) {
    uint32_t to[3];
    size_t count = 0;
    for (int i = 0; i < 3; i++) {
      Router *other = routers[random() % routers.size()].get();
      if (other != r) to[count++] = other->members.own_ip;
    }
    begin(r, MT_PEER_HELLO);
    send(r, to, count);
  }
  // The source comes back from a copy, and who reads it lists it.
  void restore (int64_t count) {
    rev = mt_revision(mt_revision_era(rev) + 1, count);
    changes.clear();
    for (auto &r : routers)
      for (int i = 0; i < MT_FEEDS && !r->turned_away; i++)
        mt_feed_exchange_read(&r->feeds, (mt_feed_kind_t)i, rev, rev,
                              MT_FEED_LISTING);
  }
  int ignorant (const std::string &name, mt_change_kind_t kind) {
    int count = 0;
    for (auto &r : routers)
      count += !r->known.count(name) || r->known[name] != kind;
    return count;
  }
  void turn_away (double part) {
    for (auto &r : routers)
      r->turned_away =
          std::uniform_real_distribution<double>(0, 1)(random) < part;
    routers[0]->turned_away = false; // somebody has to be told
  }
};

TEST(FeedExchange, AllHearWhatOneOfThemReads) {
  struct Row {
    const char *what;
    int count, domains;
    double part;   // that the source turns away
    unsigned lost; // of 1,000 messages
    mt_ms_t within;
  } rows[] = {{"a pair", 2, 1, 0.5, 0, 500},
              {"a small fleet", 6, 3, 0.5, 0, 500},
              {"a fleet", 12, 2, 0.35, 0, 500},
              {"a fleet, messages are lost", 12, 2, 0.35, 300, 2000},
              {"all but one are turned away", 12, 2, 1, 0, 500},
              {"all but one, messages are lost", 24, 3, 1, 300, 2000},
              {"a large fleet", 85, 3, 0.35, 100, 1000}};
  for (const Row &row : rows)
    for (unsigned seed = 1; seed <= 10; seed++) {
      World w(row.count, row.domains, seed);
      w.lost = row.lost;
      w.turn_away(row.part);
      w.run(500);
      for (int round = 0; round < 5; round++) {
        std::string name = "i-" + std::to_string(round);
        w.change(round % 2 ? MT_CHANGE_ENGINE_GONE
                           : MT_CHANGE_ENGINE_DRAINING,
                 name);
        w.change(MT_CHANGE_DOMAIN_EMPTIED, "d-" + name);
        w.run(row.within);
        EXPECT_EQ(w.ignorant(name, w.changes.end()[-2].kind), 0)
            << row.what << ", seed " << seed << ", round " << round;
        EXPECT_EQ(w.ignorant("d-" + name, MT_CHANGE_DOMAIN_EMPTIED), 0)
            << row.what << ", seed " << seed << ", round " << round;
      }
    }
}

// Behind a restore changes have lower counts than what is known.
TEST(FeedExchange, ARestoreReachesWhoIsTurnedAway) {
  for (unsigned lost : {0u, 300u})
    for (unsigned seed = 1; seed <= 10; seed++) {
      World w(12, 2, seed);
      w.turn_away(0.35);
      w.change(MT_CHANGE_ENGINE_READY, "i-1");
      w.run(500);
      w.lost = lost;
      for (int restores = 1; restores <= 3; restores++) {
        std::string name = "i-" + std::to_string(restores);
        w.restore(90 - restores);
        w.change(MT_CHANGE_ENGINE_DRAINING, name);
        w.change(MT_CHANGE_DOMAIN_EMPTIED, "d-" + name);
        w.run(lost ? 2000 : 500);
        EXPECT_EQ(w.ignorant(name, MT_CHANGE_ENGINE_DRAINING), 0)
            << "seed " << seed << ", restore " << restores;
        EXPECT_EQ(w.ignorant("d-" + name, MT_CHANGE_DOMAIN_EMPTIED), 0)
            << "seed " << seed << ", restore " << restores;
      }
    }
}

// A datagram that is older than the restore changes nothing behind it.
TEST(FeedExchange, NewsOfAnEarlierEraMoveNothingBack) {
  World w(4, 1, 1);
  Router *late = w.routers[1].get(), *reader = w.routers[2].get();
  late->turned_away = true;
  w.run(300);
  w.restore(50);
  w.change(MT_CHANGE_ENGINE_DRAINING, "i-1");
  w.lost = 1000; // `late` hears nothing of it
  w.run(100);
  ASSERT_EQ(reader->known["i-1"], MT_CHANGE_ENGINE_DRAINING);
  const mt_feed_state_t before = reader->feeds.feeds[MT_FEED_ENGINES].state;
  mt_peer_message_t *m = World::begin(late, MT_PEER_NEWS);
  m->changes[m->changes_count++] =
      mt_change_named(MT_CHANGE_ENGINE_READY, "i-1", 900);
  m->spans[MT_FEED_ENGINES] = {100, 900};
  auto copy = std::make_unique<mt_peer_message_t>(*m);
  w.deliver(late, reader, *copy);
  EXPECT_EQ(reader->known["i-1"], MT_CHANGE_ENGINE_DRAINING);
  const mt_feed_state_t &after = reader->feeds.feeds[MT_FEED_ENGINES].state;
  EXPECT_EQ(after.told, before.told);
  EXPECT_EQ(after.newest, before.newest);
}

// The other feed's changes raise the source's revision; nothing is lacking.
TEST(FeedExchange, ChangesOfOneFeedLeaveNoGapInTheOther) {
  World w(12, 2, 1);
  for (int round = 0; round < 4; round++) {
    w.change(MT_CHANGE_DOCUMENT, "declarations");
    w.run(400);
    w.change(MT_CHANGE_ENGINE_DRAINING, "i-" + std::to_string(round));
    w.run(400);
  }
  for (auto &r : w.routers) EXPECT_EQ(r->outcomes[MT_FEED_GAP], 0u);
}

// Who missed some asks; what had come in the meantime was of use at once.
TEST(FeedExchange, AGapIsFilledByANeighbour) {
  World w(12, 2, 1);
  Router *deaf = w.routers[5].get();
  deaf->turned_away = true;
  w.run(300);
  w.lost = 1000;
  w.change(MT_CHANGE_ENGINE_DRAINING, "i-1");
  w.run(100);
  EXPECT_EQ(deaf->known.count("i-1"), 0u);
  w.lost = 0;
  w.change(MT_CHANGE_ENGINE_DRAINING, "i-2");
  w.run(kTick);
  EXPECT_EQ(deaf->known["i-2"], MT_CHANGE_ENGINE_DRAINING);
  w.run(300);
  EXPECT_EQ(deaf->known["i-1"], MT_CHANGE_ENGINE_DRAINING);
  EXPECT_FALSE(
      mt_feed_state_lacks(&deaf->feeds.feeds[MT_FEED_ENGINES].state));
}

// The time of a leaving is that of who heard it first, whoever tells it on.
TEST(FeedExchange, WhatIsToldLateKeepsItsTime) {
  World w(4, 1, 1);
  Router *deaf = w.routers[2].get();
  deaf->turned_away = true;
  w.run(300);
  w.lost = 1000;
  w.change(MT_CHANGE_ENGINE_GONE, "i-1");
  mt_ms_t heard = w.now;
  w.run(1000);
  w.lost = 0;
  w.run(500);
  ASSERT_EQ(deaf->known["i-1"], MT_CHANGE_ENGINE_GONE);
  EXPECT_EQ(deaf->since["i-1"], heard);
}

// One that has just started knows what its first list says of engines that
// leave, and who was not told hears it from there.
TEST(FeedExchange, AFirstListIsToldToWhoLacksIt) {
  World w(4, 1, 1);
  for (auto &r : w.routers) r->turned_away = true;
  w.change(MT_CHANGE_ENGINE_DRAINING, "i-1"); // nobody hears of it
  w.run(300);
  Router *started = w.routers[1].get();
  mt_feed_exchange_free(&started->feeds);
  const mt_feed_exchange_calls_t calls = {World::begin, World::send,
                                          World::apply, World::note, started};
  mt_feed_exchange_open(&started->feeds, &started->members, &calls);
  started->turned_away = false;
  w.run(500);
  EXPECT_EQ(w.ignorant("i-1", MT_CHANGE_ENGINE_DRAINING), 0);
}

// A list does not show what went. Its reader tells of engines that it knows
// by others' word alone, and vouches for nothing else: where it did, one got
// work for 14.7 s after it had left, by a gateway that held news up to there.
TEST(FeedExchange, AListTellsWhatWentAndVouchesForNothing) {
  World w(4, 1, 1);
  Router *deaf = w.routers[2].get(), *lister = w.routers[3].get();
  w.change(MT_CHANGE_ENGINE_READY, "i-1");
  w.run(300); // it is told to all
  for (auto &r : w.routers) r->turned_away = true;
  w.change(MT_CHANGE_ENGINE_GONE, "i-1"); // nobody hears of it
  w.change(MT_CHANGE_ENGINE_READY, "i-2");
  int64_t told = deaf->feeds.feeds[MT_FEED_ENGINES].state.told;
  w.list(lister);
  w.run(300);
  EXPECT_EQ(deaf->known["i-1"], MT_CHANGE_ENGINE_GONE);
  EXPECT_EQ(deaf->known["i-2"], MT_CHANGE_ENGINE_READY);
  EXPECT_EQ(deaf->feeds.feeds[MT_FEED_ENGINES].state.told, told);
}

// One that has just started has the newest list and cannot tell what went
// before it. Whoever reads a list after that knows since when it may have
// gone: the others' watchers had ended as an engine left without a word, and
// it got work for up to 2,385 ms where 2,000 are the bound.
TEST(FeedExchange, WhatAListNoLongerShowsMayHaveGoneWhenOthersKnewMore) {
  for (mt_ms_t later : {100, 700, 2000}) {
    World w(4, 1, 1);
    Router *started = w.routers[1].get(), *lister = w.routers[3].get();
    w.change(MT_CHANGE_ENGINE_READY, "i-1");
    w.run(300); // it is told to all
    for (auto &r : w.routers) r->turned_away = true;
    w.change(MT_CHANGE_ENGINE_GONE, "i-1"); // nobody hears of it
    w.change(MT_CHANGE_ENGINE_READY, "i-2");
    w.run(1000);
    w.meet(); // all have the same time
    mt_feed_exchange_free(&started->feeds);
    const mt_feed_exchange_calls_t calls = {
        World::begin, World::send, World::apply, World::note, started};
    mt_feed_exchange_open(&started->feeds, &started->members, &calls);
    mt_feed_exchange_read(&started->feeds, MT_FEED_ENGINES, w.rev, w.rev,
                          MT_FEED_LISTING);
    mt_ms_t known = started->members.now;
    w.run(later);
    w.meet();
    EXPECT_EQ(mt_feed_exchange_lacking(&lister->feeds, MT_FEED_ENGINES),
              known);
    w.list(lister);
    w.run(300);
    Router *deaf = w.routers[2].get();
    EXPECT_EQ(deaf->known["i-1"], MT_CHANGE_ENGINE_GONE);
    EXPECT_EQ(deaf->since["i-1"], known) << later;
  }
}

// Where nobody can tell all that is lacking, asking does not go on as before.
TEST(FeedExchange, AsksLessWhereNobodyKnows) {
  World w(4, 1, 1);
  for (auto &r : w.routers) r->turned_away = true;
  w.change(MT_CHANGE_ENGINE_GONE, "i-1");
  w.change(MT_CHANGE_ENGINE_READY, "i-2");
  Router *lister = w.routers[3].get();
  mt_feed_exchange_read(&lister->feeds, MT_FEED_ENGINES, w.rev, w.rev,
                        MT_FEED_LISTING);
  w.run(12000);
  size_t asked = w.routers[2]->outcomes[MT_FEED_ASKED];
  EXPECT_GE(asked, 9u); // each 1,200 ms at least
  EXPECT_LE(asked, 16u);
}

// What does not fit into one message comes in several; a message's size is
// bounded, whatever the names.
TEST(FeedExchange, ManyChangesAtOnceAreAllTold) {
  for (size_t length : {1, 60}) {
    World w(12, 2, 1);
    Router *deaf = w.routers[5].get();
    deaf->turned_away = true;
    w.run(300);
    w.lost = 1000;
    for (int i = 0; i < 700; i++)
      w.change(MT_CHANGE_ENGINE_GONE,
               std::string(length, 'e') + std::to_string(i));
    w.run(300);
    w.lost = 0;
    w.run(2000);
    EXPECT_EQ(deaf->known.size(), 700u) << length;
  }
}

// A router that has read nothing yet passes on what another failure domain
// tells it, once, also when there is far more than it can keep: one at a
// start of 986 routers and 2,500 engines did so 30 times a second, 20 KB to
// each of 200 neighbours.
TEST(FeedExchange, WhatIsToldAgainIsNotPassedOnAgain) {
  World w(40, 2, 1);
  Router *teller = w.routers[0].get(), *starts = w.routers[1].get();
  mt_feed_exchange_free(&starts->feeds);
  const mt_feed_exchange_calls_t calls = {World::begin, World::send,
                                          World::apply, World::note, starts};
  mt_feed_exchange_open(&starts->feeds, &starts->members, &calls);
  for (auto &r : w.routers) r->members.now = w.now;
  auto tell = [&] (int64_t first, int64_t last) {
    mt_peer_message_t *m =
        (mt_peer_message_t *)World::begin(teller, MT_PEER_NEWS);
    m->spans[MT_FEED_ENGINES] = {first - 1, last};
    for (int64_t rev = first; rev <= last; rev++)
      m->changes[m->changes_count++] = mt_change_named(
          MT_CHANGE_ENGINE_GONE, std::to_string(rev).c_str(), rev);
    World::send(teller, &starts->members.own_ip, 1);
  };
  size_t once = 0;
  for (int round = 0; round < 10; round++) {
    for (int64_t rev = 101; rev <= 3100; rev += 100) tell(rev, rev + 99);
    if (round == 0) once = starts->outcomes[MT_FEED_TOLD];
  }
  EXPECT_EQ(once, 30u);
  EXPECT_EQ(starts->outcomes[MT_FEED_TOLD], once);
}

// What thousands of engines that come cost does not grow with their number,
// and what ends among them is told by name. Nobody takes it for all there is.
TEST(FeedExchange, ManyEnginesThatComeCostLittle) {
  for (int count : {500, 2000}) {
    World w(85, 3, 1);
    w.change(MT_CHANGE_ENGINE_READY, "before");
    w.run(500);
    uint64_t before = 0, after = 0;
    for (auto &r : w.routers) before += r->sent;
    for (int i = 0; i < count; i++) {
      w.change(MT_CHANGE_ENGINE_READY, "i-" + std::to_string(i));
      if (i % 500 == 499) w.run(kTick); // as many as the source tells at once
    }
    w.change(MT_CHANGE_ENGINE_DRAINING, "before");
    w.run(500);
    size_t readers = 0;
    for (auto &r : w.routers) {
      after += r->sent;
      const mt_feed_state_t &feed = r->feeds.feeds[MT_FEED_ENGINES].state;
      EXPECT_EQ(feed.told, w.rev);
      EXPECT_EQ(r->known["before"], MT_CHANGE_ENGINE_DRAINING);
      bool has_all = r->known.count("i-0") != 0;
      readers += has_all;
      EXPECT_EQ(feed.taken == w.rev, has_all);
    }
    EXPECT_EQ(readers, 6u); // the watchers
    double each = (double)(after - before) / 85;
    printf("%d engines come at 85 routers: %.0f bytes each\n", count, each);
    EXPECT_LT(each, 10000);
  }
}

// In a fleet at rest nobody asks; one change costs a message a router or so.
TEST(FeedExchange, CostsLittle) {
  World w(85, 3, 1);
  w.run(1000);
  uint64_t before = 0, after = 0, crossed = 0;
  for (auto &r : w.routers) before += r->sent, crossed -= r->crossed;
  for (int round = 0; round < 20; round++) {
    w.change(MT_CHANGE_ENGINE_DRAINING, "i-" + std::to_string(round));
    w.run(kTick);
  }
  size_t asked = 0;
  for (auto &r : w.routers) {
    after += r->sent;
    crossed += r->crossed;
    asked += r->outcomes[MT_FEED_ASKED];
  }
  EXPECT_EQ(asked, 0u);
  printf("a change at 85 routers: %.0f bytes, %.0f to other domains\n",
         (double)(after - before) / 20, (double)crossed / 20);
}

} // namespace
