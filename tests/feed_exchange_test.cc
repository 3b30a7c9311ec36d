// feed_exchange_test.cc - fleets that gossip changes at the source, with a
// simulated clock and seeded message loss.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "engine.h"
#include "feed_exchange.h"
#include "inventory.h"
}

namespace {

constexpr mt_ms_t kTickMs = 25, kHelloIntervalMs = 150;
// No engine gets work later than this after it was removed.
constexpr mt_ms_t kDrainMs = 2000;

struct Fleet;

struct Router {
  Fleet *fleet = nullptr;
  mt_membership_t members{};
  mt_feed_exchange_t feeds{};
  mt_peer_message_t out{};
  bool rejected = false;
  std::map<std::string, mt_change_kind_t> known; // engines, domains, keys
  std::map<std::string, mt_ms_t> since;
  size_t outcomes[MT_FEED_OUTCOMES]{};
  uint64_t sent = 0, cross_domain = 0; // bytes
  ~Router() {
    mt_feed_exchange_free(&feeds);
    mt_membership_free(&members);
  }
};

// The source, and routers that read it or are rejected by it.
struct Fleet {
  std::vector<std::unique_ptr<Router>> routers;
  std::map<uint32_t, Router *> by_ip;
  std::vector<mt_change_t> changes; // at the source, rising revisions
  int64_t rev;
  mt_ms_t now = 100000;
  std::mt19937 random;
  unsigned loss = 0; // of 1,000 messages
  // Parts of inventories that were sent, and the size of the largest one.
  struct Part {
    Router *from, *to;
    std::unique_ptr<mt_peer_message_t> message;
  };
  std::vector<Part> parts;
  size_t part_bytes_max = 0, parts_bytes = 0;

  Fleet(int count, int domains, unsigned seed, int64_t first_rev = 100)
      : rev(first_rev), random(seed) {
    for (int i = 0; i < count; i++) {
      routers.push_back(std::make_unique<Router>());
      Router *r = routers.back().get();
      r->fleet = this;
      r->members.own_ip = 0x0a000001u + (uint32_t)i * 0x101u;
      r->members.own_domain = (mt_id_t)(1 + i % domains);
      r->members.own_reaches_source = true;
      const mt_feed_exchange_callbacks_t callbacks = {begin, send, apply,
                                                      count_outcome, r};
      mt_feed_exchange_open(&r->feeds, &r->members, &callbacks);
      by_ip[r->members.own_ip] = r;
    }
    update_members();
    for (auto &r : routers)
      for (int i = 0; i < MT_FEEDS; i++)
        mt_feed_exchange_source_read(&r->feeds, (mt_feed_kind_t)i, rev, rev,
                                     MT_FEED_LISTING);
  }
  void update_members () {
    for (auto &r : routers) {
      for (auto &other : routers) {
        mt_peer_t *peer =
            mt_membership_add(&r->members, other->members.own_ip);
        if (peer == nullptr) continue;
        peer->domain = other->members.own_domain;
        peer->reaches_source = !other->rejected;
        peer->last_seen = now;
      }
      r->members.own_reaches_source = !r->rejected;
      mt_membership_update(&r->members, now);
    }
  }
  static mt_peer_message_t *begin (void *ud, mt_peer_kind_t kind) {
    auto *r = (Router *)ud;
    mt_peer_message_begin(&r->out, kind);
    mt_feed_exchange_write_header(&r->feeds, &r->out);
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
      Router *other = r->fleet->by_ip[to[i]];
      bool remote = other->members.own_domain != r->members.own_domain;
      r->sent += n;
      if (copy->inventory.present) r->fleet->keep_part(r, other, *copy, n);
      r->cross_domain += remote ? n : 0;
      if (r->fleet->random() % 1000 >= r->fleet->loss)
        r->fleet->deliver(r, other, *copy);
    }
  }
  void keep_part (Router *from, Router *to, const mt_peer_message_t &m,
                  size_t bytes) {
    part_bytes_max = std::max(part_bytes_max, bytes);
    parts_bytes += bytes;
    if (parts.size() < 100)
      parts.push_back({from, to, std::make_unique<mt_peer_message_t>(m)});
  }
  void deliver (Router *from, Router *to, const mt_peer_message_t &m) {
    mt_peer_t *peer = mt_membership_add(&to->members, from->members.own_ip);
    to->members.now = now;
    mt_feed_exchange_receive_header(&to->feeds, peer, &m);
    if (m.kind == MT_PEER_CHANGES)
      mt_feed_exchange_receive_changes(&to->feeds, peer, &m);
    if (m.kind == MT_PEER_CHANGES_REQUEST)
      mt_feed_exchange_receive_request(&to->feeds, peer, &m);
  }
  static bool apply (void *ud, const mt_change_t *change, mt_ms_t since) {
    auto *r = (Router *)ud;
    r->known[change->name] = change->kind;
    r->since[change->name] = since;
    return strcmp(change->name, MT_CHANGE_UNNAMED) != 0;
  }
  static void count_outcome (void *ud, uint32_t, mt_feed_kind_t,
                             const mt_peer_span_t *, size_t,
                             mt_feed_outcome_t outcome) {
    ((Router *)ud)->outcomes[outcome]++;
  }
  // Adds a change at the source.
  void change (mt_change_kind_t kind, const std::string &name) {
    changes.push_back(mt_change_make(kind, name.c_str(), ++rev));
  }
  // A router reads the changes of one feed from the source, as from a watch.
  void read (Router *r, mt_feed_kind_t kind) {
    int64_t newest = r->feeds.feeds[kind].state.newest;
    for (const mt_change_t &c : changes) {
      if (mt_change_feed(c.kind) != kind) continue;
      newest = std::max(newest, c.rev);
      if (c.rev <= r->feeds.feeds[kind].state.applied) continue;
      if (mt_feed_exchange_add_change(&r->feeds, &c)) apply(r, &c, now);
    }
    mt_feed_exchange_resize_log(&r->feeds, r->known.size());
    mt_feed_exchange_source_read(&r->feeds, kind, newest, rev,
                                 MT_FEED_CHANGES);
  }
  // A router reads a list of engines that may be out of date.
  void list_engines (Router *r) {
    std::map<std::string, mt_change_t> listed;
    mt_map_t seen{};
    int64_t last = 0;
    for (const mt_change_t &c : changes) {
      if (c.kind == MT_CHANGE_ENGINE_GONE)
        listed.erase(c.name);
      else if (mt_change_feed(c.kind) == MT_FEED_ENGINES)
        listed[c.name] = c;
    }
    for (auto &row : listed) {
      mtV_put(&seen, mt_engine_key(row.first.c_str(), row.first.size()), r);
      last = std::max(last, row.second.rev);
      mt_feed_exchange_add_change(&r->feeds, &row.second);
      apply(r, &row.second, now);
    }
    mt_feed_exchange_remove_unlisted(&r->feeds, &seen, last);
    mt_feed_exchange_source_read(&r->feeds, MT_FEED_ENGINES, last, last,
                                 MT_FEED_STALE_LISTING);
    mtV_free(&seen);
  }
  void run (mt_ms_t ms) {
    for (mt_ms_t end = now + ms; now < end; now += kTickMs) {
      update_members();
      for (auto &r : routers) {
        r->members.now = now;
        bool reads = !r->rejected && mt_membership_watches(&r->members);
        for (int i = 0; i < MT_FEEDS && reads; i++)
          read(r.get(), (mt_feed_kind_t)i);
        if ((now + r->members.own_ip) % kHelloIntervalMs < kTickMs)
          hello(r.get());
        mt_feed_exchange_tick(&r->feeds);
      }
    }
  }
  // Sends a message without contents besides the header to some routers.
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
  // The router loses its state and lists the engines at the source.
  void restart (Router *r) {
    mt_feed_exchange_free(&r->feeds);
    const mt_feed_exchange_callbacks_t callbacks = {begin, send, apply,
                                                    count_outcome, r};
    mt_feed_exchange_open(&r->feeds, &r->members, &callbacks);
    r->known.clear();
    mt_feed_exchange_source_read(&r->feeds, MT_FEED_ENGINES, rev, rev,
                                 MT_FEED_LISTING);
  }
  // The source is restored from a backup in a new era, and routers that reach
  // it list it.
  void restore (int64_t count) {
    rev = mt_revision(mt_revision_era(rev) + 1, count);
    changes.clear();
    for (auto &r : routers)
      for (int i = 0; i < MT_FEEDS && !r->rejected; i++)
        mt_feed_exchange_source_read(&r->feeds, (mt_feed_kind_t)i, rev, rev,
                                     MT_FEED_LISTING);
  }
  int count_missing (const std::string &name, mt_change_kind_t kind) {
    int count = 0;
    for (auto &r : routers)
      count += !r->known.count(name) || r->known[name] != kind;
    return count;
  }
  void reject_some (double probability) {
    for (auto &r : routers)
      r->rejected =
          std::uniform_real_distribution<double>(0, 1)(random) < probability;
    routers[0]->rejected = false; // one router must read the source
  }
};

TEST(FeedExchange, ChangesReachAllRouters) {
  struct Row {
    const char *what;
    int count, domains;
    double rejected; // probability that the source rejects a router
    unsigned loss;   // of 1,000 messages
    mt_ms_t within;  // time until all routers know a change
  } rows[] = {{"a pair", 2, 1, 0.5, 0, 500},
              {"a small fleet", 6, 3, 0.5, 0, 500},
              {"a fleet", 12, 2, 0.35, 0, 500},
              {"a fleet with message loss", 12, 2, 0.35, 300, 2000},
              {"all but one are rejected", 12, 2, 1, 0, 500},
              {"all but one, with message loss", 24, 3, 1, 300, 2000},
              {"a large fleet", 85, 3, 0.35, 100, 1000}};
  for (const Row &row : rows)
    for (unsigned seed = 1; seed <= 10; seed++) {
      Fleet w(row.count, row.domains, seed);
      w.loss = row.loss;
      w.reject_some(row.rejected);
      w.run(500);
      for (int round = 0; round < 5; round++) {
        std::string name = "i-" + std::to_string(round);
        w.change(round % 2 ? MT_CHANGE_ENGINE_GONE
                           : MT_CHANGE_ENGINE_DRAINING,
                 name);
        w.change(MT_CHANGE_DOMAIN_EVACUATED, "d-" + name);
        w.run(row.within);
        EXPECT_EQ(w.count_missing(name, w.changes.end()[-2].kind), 0)
            << row.what << ", seed " << seed << ", round " << round;
        EXPECT_EQ(w.count_missing("d-" + name, MT_CHANGE_DOMAIN_EVACUATED), 0)
            << row.what << ", seed " << seed << ", round " << round;
      }
    }
}

// After a restore changes have lower counts than those known before.
TEST(FeedExchange, ChangesAfterARestoreReachRejectedRouters) {
  for (unsigned loss : {0u, 300u})
    for (unsigned seed = 1; seed <= 10; seed++) {
      Fleet w(12, 2, seed);
      w.reject_some(0.35);
      w.change(MT_CHANGE_ENGINE_READY, "i-1");
      w.run(500);
      w.loss = loss;
      for (int restores = 1; restores <= 3; restores++) {
        std::string name = "i-" + std::to_string(restores);
        w.restore(90 - restores);
        w.change(MT_CHANGE_ENGINE_DRAINING, name);
        w.change(MT_CHANGE_DOMAIN_EVACUATED, "d-" + name);
        w.run(loss ? 2000 : 500);
        EXPECT_EQ(w.count_missing(name, MT_CHANGE_ENGINE_DRAINING), 0)
            << "seed " << seed << ", restore " << restores;
        EXPECT_EQ(w.count_missing("d-" + name, MT_CHANGE_DOMAIN_EVACUATED), 0)
            << "seed " << seed << ", restore " << restores;
      }
    }
}

// The backup may be empty: the era begins at count 0, which is later than
// every revision of the era before.
TEST(FeedExchange,
     ChangesAfterARestoreFromAnEmptyBackupReachRejectedRouters) {
  for (mt_ms_t silence : {0, 50, 1000})
    for (unsigned seed = 1; seed <= 10; seed++) {
      Fleet w(12, 2, seed);
      w.reject_some(0.5);
      w.change(MT_CHANGE_ENGINE_READY, "i-1");
      w.run(500);
      w.loss = 1000;
      w.restore(0);
      w.change(MT_CHANGE_ENGINE_DRAINING, "i-1");
      w.change(MT_CHANGE_KEY_REVOKED, "k-1");
      w.run(silence);
      w.loss = 0;
      w.run(2000);
      EXPECT_EQ(w.count_missing("i-1", MT_CHANGE_ENGINE_DRAINING), 0)
          << "silence " << silence << ", seed " << seed;
      EXPECT_EQ(w.count_missing("k-1", MT_CHANGE_KEY_REVOKED), 0)
          << "silence " << silence << ", seed " << seed;
    }
}

// A datagram from before a restore changes nothing after it.
TEST(FeedExchange, ChangesOfAnEarlierEraAreIgnored) {
  Fleet w(4, 1, 1);
  Router *late = w.routers[1].get(), *reader = w.routers[2].get();
  late->rejected = true;
  w.run(300);
  w.restore(50);
  w.change(MT_CHANGE_ENGINE_DRAINING, "i-1");
  w.loss = 1000; // `late` does not receive it
  w.run(100);
  ASSERT_EQ(reader->known["i-1"], MT_CHANGE_ENGINE_DRAINING);
  const mt_feed_state_t before = reader->feeds.feeds[MT_FEED_ENGINES].state;
  mt_peer_message_t *m = Fleet::begin(late, MT_PEER_CHANGES);
  m->changes[m->changes_count++] =
      mt_change_make(MT_CHANGE_ENGINE_READY, "i-1", 900);
  m->spans[MT_FEED_ENGINES] = {100, 900};
  auto copy = std::make_unique<mt_peer_message_t>(*m);
  w.deliver(late, reader, *copy);
  EXPECT_EQ(reader->known["i-1"], MT_CHANGE_ENGINE_DRAINING);
  const mt_feed_state_t &after = reader->feeds.feeds[MT_FEED_ENGINES].state;
  EXPECT_EQ(after.received, before.received);
  EXPECT_EQ(after.newest, before.newest);
}

// Changes of the other feed raise the source's revision, which must not look
// like a missing change.
TEST(FeedExchange, ChangesOfOneFeedLeaveNoGapInTheOther) {
  Fleet w(12, 2, 1);
  for (int round = 0; round < 4; round++) {
    w.change(MT_CHANGE_OTHER, "declarations");
    w.run(400);
    w.change(MT_CHANGE_ENGINE_DRAINING, "i-" + std::to_string(round));
    w.run(400);
  }
  for (auto &r : w.routers) EXPECT_EQ(r->outcomes[MT_FEED_GAP], 0u);
}

// A router that missed a change applies later ones at once, and requests the
// missing one from a peer.
TEST(FeedExchange, AGapIsFilledByAPeer) {
  Fleet w(12, 2, 1);
  Router *behind = w.routers[5].get();
  behind->rejected = true;
  w.run(300);
  w.loss = 1000;
  w.change(MT_CHANGE_ENGINE_DRAINING, "i-1");
  w.run(100);
  EXPECT_EQ(behind->known.count("i-1"), 0u);
  w.loss = 0;
  w.change(MT_CHANGE_ENGINE_DRAINING, "i-2");
  w.run(kTickMs);
  EXPECT_EQ(behind->known["i-2"], MT_CHANGE_ENGINE_DRAINING);
  w.run(300);
  EXPECT_EQ(behind->known["i-1"], MT_CHANGE_ENGINE_DRAINING);
  EXPECT_FALSE(
      mt_feed_state_is_behind(&behind->feeds.feeds[MT_FEED_ENGINES].state));
}

// Guards against a router that goes on sending work to an engine that was
// removed, because it asks for the change where it cannot be had: most
// routers of its domain have just started, so they know the present revision
// but not the change, and each reply with a gap doubled the time to the next
// request.
TEST(FeedExchange, AGapIsFilledByTheOnlyPeersThatKnowTheChange) {
  for (unsigned seed = 1; seed <= 20; seed++) {
    SCOPED_TRACE(seed);
    Fleet w(12, 2, seed);
    Router *behind = w.routers[4].get();
    w.change(MT_CHANGE_ENGINE_READY, "i-1");
    w.run(300); // all receive it
    for (auto &r : w.routers) r->rejected = true;
    w.loss = 1000;
    w.change(MT_CHANGE_ENGINE_GONE, "i-1");
    w.read(w.routers[3].get(), MT_FEED_ENGINES);
    // All others of the domain restart and list the source.
    for (int i = 0; i < 12; i += 2)
      if (w.routers[i].get() != behind) w.restart(w.routers[i].get());
    w.loss = 0;
    mt_ms_t fell_behind = w.now;
    while (behind->known["i-1"] != MT_CHANGE_ENGINE_GONE &&
           w.now < fell_behind + 10000)
      w.run(kTickMs);
    EXPECT_LE(w.now - fell_behind, kDrainMs);
  }
}

// Guards against the same after the source has dropped its history: no peer
// can close that gap, requests become rare, and a later change whose message
// is lost was requested as rarely.
TEST(FeedExchange, AnOpenGapDoesNotDelayLaterChanges) {
  mt_ms_t slowest = 0;
  for (unsigned seed = 1; seed <= 200; seed++) {
    Fleet w(12, 2, seed);
    Router *behind = w.routers[4].get();
    w.change(MT_CHANGE_ENGINE_READY, "i-1");
    w.run(300); // all receive it
    for (auto &r : w.routers) r->rejected = true;
    w.change(MT_CHANGE_ENGINE_READY, "i-2"); // no router reads it
    for (auto &r : w.routers)
      if (r.get() != behind) w.restart(r.get());
    w.run(5000 + 100 * (seed % 12));
    w.loss = 1000;
    w.change(MT_CHANGE_ENGINE_GONE, "i-1");
    w.read(w.routers[3].get(), MT_FEED_ENGINES);
    w.loss = 300;
    mt_ms_t lost = w.now;
    while (behind->known["i-1"] != MT_CHANGE_ENGINE_GONE &&
           w.now < lost + 10000)
      w.run(kTickMs);
    slowest = std::max(slowest, w.now - lost);
  }
  EXPECT_LE(slowest, kDrainMs);
}

// The time of a removal is when it was first read, however late it arrives.
TEST(FeedExchange, LateChangesKeepTheirTime) {
  Fleet w(4, 1, 1);
  Router *behind = w.routers[2].get();
  behind->rejected = true;
  w.run(300);
  w.loss = 1000;
  w.change(MT_CHANGE_ENGINE_GONE, "i-1");
  mt_ms_t read_at = w.now;
  w.run(1000);
  w.loss = 0;
  w.run(500);
  ASSERT_EQ(behind->known["i-1"], MT_CHANGE_ENGINE_GONE);
  EXPECT_EQ(behind->since["i-1"], read_at);
}

// A router that has just started knows the draining engines of its first list
// and sends them to routers that missed the change.
TEST(FeedExchange, TheFirstListIsSentOnRequest) {
  Fleet w(4, 1, 1);
  for (auto &r : w.routers) r->rejected = true;
  w.change(MT_CHANGE_ENGINE_DRAINING, "i-1"); // no router reads it
  w.run(300);
  Router *restarted = w.routers[1].get();
  mt_feed_exchange_free(&restarted->feeds);
  const mt_feed_exchange_callbacks_t callbacks = {
      Fleet::begin, Fleet::send, Fleet::apply, Fleet::count_outcome,
      restarted};
  mt_feed_exchange_open(&restarted->feeds, &restarted->members, &callbacks);
  restarted->rejected = false;
  w.run(500);
  EXPECT_EQ(w.count_missing("i-1", MT_CHANGE_ENGINE_DRAINING), 0);
}

// Guards against a first list of an empty source, at revision 0, taken for no
// list: what the router read next was then neither kept nor sent, and to the
// others it claimed that there was no change. They never learnt of an engine.
TEST(FeedExchange, ChangesAfterAnEmptyFirstListAreSent) {
  struct Row {
    const char *what;
    mt_change_kind_t kind;
    int64_t received; // by the other routers: the source without an engine
  } rows[] = {
      {"a new engine, others have the same list", MT_CHANGE_ENGINE_READY, 0},
      {"a new engine, others have read on", MT_CHANGE_ENGINE_READY, 1},
      {"a drain, others have the same list", MT_CHANGE_ENGINE_DRAINING, 0},
      {"a drain, others have read on", MT_CHANGE_ENGINE_DRAINING, 1},
  };
  for (const Row &row : rows) {
    Fleet w(4, 2, 1, 0);
    w.rev = 1;
    for (auto &r : w.routers) {
      r->rejected = r != w.routers[0];
      if (row.received > 0 && r->rejected)
        mt_feed_exchange_source_read(&r->feeds, MT_FEED_ENGINES, 0,
                                     row.received, MT_FEED_CHANGES);
    }
    w.change(row.kind, "i-1");
    w.run(500);
    EXPECT_EQ(w.count_missing("i-1", row.kind), 0) << row.what;
  }
}

// Guards against the same at a router that the source rejects and that has
// read an empty list and nothing else: it took that for having read nothing,
// did not request changes whose messages were lost, and was sent none.
TEST(FeedExchange, LostChangesAfterAnEmptyFirstListAreRequested) {
  struct Row {
    const char *what;
    int count, domains;
    mt_feed_kind_t feed;
    mt_change_kind_t kind;
    mt_ms_t silence;  // nothing is delivered for this long
    int64_t received; // by the other routers, as in the test above
  } rows[] = {
      {"a drain", 4, 2, MT_FEED_ENGINES, MT_CHANGE_ENGINE_DRAINING, 50, 0},
      {"a new engine", 4, 2, MT_FEED_ENGINES, MT_CHANGE_ENGINE_READY, 50, 0},
      {"a pair", 2, 1, MT_FEED_ENGINES, MT_CHANGE_ENGINE_GONE, 200, 0},
      {"others have read on", 4, 2, MT_FEED_ENGINES,
       MT_CHANGE_ENGINE_DRAINING, 200, 1},
      {"a revoked key", 12, 3, MT_FEED_DECLARATIONS, MT_CHANGE_KEY_REVOKED,
       1000, 0},
      {"a large fleet", 30, 3, MT_FEED_DECLARATIONS,
       MT_CHANGE_DOMAIN_EVACUATED, 200, 0},
  };
  for (const Row &row : rows)
    for (int64_t era : {0, 1})
      for (unsigned seed = 1; seed <= 5; seed++) {
        Fleet w(row.count, row.domains, seed, mt_revision(era, 0));
        for (auto &r : w.routers) {
          r->rejected = r != w.routers[0];
          if (row.received > 0 && r->rejected)
            mt_feed_exchange_source_read(&r->feeds, row.feed, w.rev,
                                         w.rev + row.received,
                                         MT_FEED_CHANGES);
        }
        w.rev++;
        w.change(row.kind, "i-1");
        w.loss = 1000;
        w.run(row.silence);
        w.loss = 0;
        w.run(2000);
        EXPECT_EQ(w.count_missing("i-1", row.kind), 0)
            << row.what << ", era " << era << ", seed " << seed;
      }
}

// The same under loss, with several changes in a row.
TEST(FeedExchange, ChangesAfterAnEmptyFirstListSurviveLoss) {
  for (int count : {4, 12})
    for (unsigned loss : {300u, 700u})
      for (unsigned seed = 1; seed <= 10; seed++) {
        Fleet w(count, 2, seed, 0);
        for (auto &r : w.routers) r->rejected = r != w.routers[0];
        w.loss = loss;
        for (int i = 0; i < 6; i++) {
          w.change(i % 2 ? MT_CHANGE_ENGINE_GONE : MT_CHANGE_ENGINE_DRAINING,
                   "i-" + std::to_string(i / 2));
          w.run(50);
        }
        w.run(loss > 500 ? 15000 : 2000);
        for (const char *name : {"i-0", "i-1", "i-2"})
          EXPECT_EQ(w.count_missing(name, MT_CHANGE_ENGINE_GONE), 0)
              << name << ", " << count << " routers, loss " << loss
              << ", seed " << seed;
      }
}

// A router that has read nothing is not behind: no changes would complete
// what it knows, so it requests none until it has read the source.
TEST(FeedExchange, ARouterThatHasReadNothingRequestsNoChanges) {
  Fleet w(4, 2, 1, 0);
  Router *starting = w.routers[3].get();
  mt_feed_exchange_free(&starting->feeds);
  const mt_feed_exchange_callbacks_t callbacks = {
      Fleet::begin, Fleet::send, Fleet::apply, Fleet::count_outcome,
      starting};
  mt_feed_exchange_open(&starting->feeds, &starting->members, &callbacks);
  for (auto &r : w.routers) r->rejected = r != w.routers[0];
  w.change(MT_CHANGE_ENGINE_DRAINING, "i-1");
  w.run(2000);
  const mt_feed_state_t &feed = starting->feeds.feeds[MT_FEED_ENGINES].state;
  EXPECT_EQ(starting->outcomes[MT_FEED_REQUESTED], 0u);
  EXPECT_EQ(feed.received, MT_REVISION_NONE);
  EXPECT_EQ(feed.newest, w.rev);
  EXPECT_EQ(starting->known["i-1"], MT_CHANGE_ENGINE_DRAINING);
}

// A list does not show removed engines. Its reader sends removals of unlisted
// engines, also of those known from peers only, but does not claim to know
// all changes up to the list. When it did, a gateway that took its changes
// for complete sent work to an engine for 14.7 s after it had been removed.
TEST(FeedExchange, AStaleListShowsRemovalsButCompletesNoRange) {
  Fleet w(4, 1, 1);
  Router *behind = w.routers[2].get(), *list_reader = w.routers[3].get();
  w.change(MT_CHANGE_ENGINE_READY, "i-1");
  w.run(300); // all receive it
  for (auto &r : w.routers) r->rejected = true;
  w.change(MT_CHANGE_ENGINE_GONE, "i-1"); // no router reads it
  w.change(MT_CHANGE_ENGINE_READY, "i-2");
  int64_t received = behind->feeds.feeds[MT_FEED_ENGINES].state.received;
  w.list_engines(list_reader);
  w.run(300);
  EXPECT_EQ(behind->known["i-1"], MT_CHANGE_ENGINE_GONE);
  EXPECT_EQ(behind->known["i-2"], MT_CHANGE_ENGINE_READY);
  EXPECT_EQ(behind->feeds.feeds[MT_FEED_ENGINES].state.received, received);
}

// Both watchers of a domain end as an engine crashes. A router that has just
// started reads the list without that engine, but cannot tell that it was
// removed. The next router that reads a list must date the removal from when
// it learned that it was behind: dated from the list, the engine got work for
// up to 2,385 ms, where the bound is 2,000 ms.
TEST(FeedExchange, RemovalsFoundByAListDateFromWhenTheRouterFellBehind) {
  for (mt_ms_t later : {100, 700, 2000}) {
    Fleet w(4, 1, 1);
    Router *restarted = w.routers[1].get(), *list_reader = w.routers[3].get();
    w.change(MT_CHANGE_ENGINE_READY, "i-1");
    w.run(300); // all receive it
    for (auto &r : w.routers) r->rejected = true;
    w.change(MT_CHANGE_ENGINE_GONE, "i-1"); // no router reads it
    w.change(MT_CHANGE_ENGINE_READY, "i-2");
    w.run(1000);
    w.update_members(); // sets the clock of all routers
    mt_feed_exchange_free(&restarted->feeds);
    const mt_feed_exchange_callbacks_t callbacks = {
        Fleet::begin, Fleet::send, Fleet::apply, Fleet::count_outcome,
        restarted};
    mt_feed_exchange_open(&restarted->feeds, &restarted->members, &callbacks);
    mt_feed_exchange_source_read(&restarted->feeds, MT_FEED_ENGINES, w.rev,
                                 w.rev, MT_FEED_LISTING);
    mt_ms_t known = restarted->members.now;
    w.run(later);
    w.update_members();
    EXPECT_EQ(
        mt_feed_exchange_behind_since(&list_reader->feeds, MT_FEED_ENGINES),
        known);
    w.list_engines(list_reader);
    w.run(300);
    Router *behind = w.routers[2].get();
    EXPECT_EQ(behind->known["i-1"], MT_CHANGE_ENGINE_GONE);
    EXPECT_EQ(behind->since["i-1"], known) << later;
  }
}

// Where no peer can close the gap, requests become less frequent.
TEST(FeedExchange, RequestsBackOffWhereNoPeerKnows) {
  Fleet w(4, 1, 1);
  for (auto &r : w.routers) r->rejected = true;
  w.change(MT_CHANGE_ENGINE_GONE, "i-1");
  w.change(MT_CHANGE_ENGINE_READY, "i-2");
  Router *list_reader = w.routers[3].get();
  mt_feed_exchange_source_read(&list_reader->feeds, MT_FEED_ENGINES, w.rev,
                               w.rev, MT_FEED_LISTING);
  w.run(12000);
  size_t requests = w.routers[2]->outcomes[MT_FEED_REQUESTED];
  EXPECT_GE(requests, 9u); // at least one every 1,200 ms
  EXPECT_LE(requests, 16u);
}

// Changes that do not fit into one message are sent in several; the size of a
// message is bounded, however long the names are.
TEST(FeedExchange, ManyChangesAreSplitOverMessages) {
  for (size_t length : {1, 60}) {
    Fleet w(12, 2, 1);
    Router *behind = w.routers[5].get();
    behind->rejected = true;
    w.run(300);
    w.loss = 1000;
    for (int i = 0; i < 700; i++)
      w.change(MT_CHANGE_ENGINE_GONE,
               std::string(length, 'e') + std::to_string(i));
    w.run(300);
    w.loss = 0;
    w.run(2000);
    EXPECT_EQ(behind->known.size(), 700u) << length;
  }
}

// A router that has read nothing yet forwards changes from another failure
// domain once, even if they are more than its log can hold. Without this, at
// the start of 986 routers and 2,500 engines one router forwarded them 30
// times per second, 20 KB to each of 200 peers.
TEST(FeedExchange, RepeatedChangesAreForwardedOnce) {
  Fleet w(40, 2, 1);
  Router *sender = w.routers[0].get(), *starting = w.routers[1].get();
  mt_feed_exchange_free(&starting->feeds);
  const mt_feed_exchange_callbacks_t callbacks = {
      Fleet::begin, Fleet::send, Fleet::apply, Fleet::count_outcome,
      starting};
  mt_feed_exchange_open(&starting->feeds, &starting->members, &callbacks);
  for (auto &r : w.routers) r->members.now = w.now;
  auto send_span = [&] (int64_t first, int64_t last) {
    mt_peer_message_t *m =
        (mt_peer_message_t *)Fleet::begin(sender, MT_PEER_CHANGES);
    m->spans[MT_FEED_ENGINES] = {first - 1, last};
    for (int64_t rev = first; rev <= last; rev++)
      m->changes[m->changes_count++] = mt_change_make(
          MT_CHANGE_ENGINE_GONE, std::to_string(rev).c_str(), rev);
    Fleet::send(sender, &starting->members.own_ip, 1);
  };
  size_t once = 0;
  for (int round = 0; round < 10; round++) {
    for (int64_t rev = 101; rev <= 3100; rev += 100) send_span(rev, rev + 99);
    if (round == 0) once = starting->outcomes[MT_FEED_SENT];
  }
  EXPECT_EQ(once, 30u);
  EXPECT_EQ(starting->outcomes[MT_FEED_SENT], once);
}

// The traffic for thousands of new engines does not grow with their number,
// as they are not sent by name; withdrawals among them are. Only routers that
// have read the engines at the source count the changes as applied in full.
TEST(FeedExchange, ManyNewEnginesCauseLittleTraffic) {
  for (int count : {500, 2000}) {
    Fleet w(85, 3, 1);
    w.change(MT_CHANGE_ENGINE_READY, "before");
    w.run(500);
    uint64_t before = 0, after = 0;
    for (auto &r : w.routers) before += r->sent;
    for (int i = 0; i < count; i++) {
      w.change(MT_CHANGE_ENGINE_READY, "i-" + std::to_string(i));
      if (i % 500 == 499) w.run(kTickMs); // the source sends 500 at a time
    }
    w.change(MT_CHANGE_ENGINE_DRAINING, "before");
    w.run(500);
    size_t readers = 0;
    for (auto &r : w.routers) {
      after += r->sent;
      const mt_feed_state_t &feed = r->feeds.feeds[MT_FEED_ENGINES].state;
      EXPECT_EQ(feed.received, w.rev);
      EXPECT_EQ(r->known["before"], MT_CHANGE_ENGINE_DRAINING);
      bool has_all = r->known.count("i-0") != 0;
      readers += has_all;
      EXPECT_EQ(feed.applied == w.rev, has_all);
    }
    EXPECT_EQ(readers, 6u); // the watchers
    double each = (double)(after - before) / 85;
    printf("%d new engines, 85 routers: %.0f bytes each\n", count, each);
    EXPECT_LT(each, 10000);
  }
}

// Without loss no router sends a request; a change costs about one message
// per router.
TEST(FeedExchange, AFleetAtRestSendsNoRequests) {
  Fleet w(85, 3, 1);
  w.run(1000);
  uint64_t before = 0, after = 0, cross_domain = 0;
  for (auto &r : w.routers)
    before += r->sent, cross_domain -= r->cross_domain;
  for (int round = 0; round < 20; round++) {
    w.change(MT_CHANGE_ENGINE_DRAINING, "i-" + std::to_string(round));
    w.run(kTickMs);
  }
  size_t requests = 0;
  for (auto &r : w.routers) {
    after += r->sent;
    cross_domain += r->cross_domain;
    requests += r->outcomes[MT_FEED_REQUESTED];
  }
  EXPECT_EQ(requests, 0u);
  printf("a change at 85 routers: %.0f bytes, %.0f to other domains\n",
         (double)(after - before) / 20, (double)cross_domain / 20);
}

// A fleet whose routers compare the engines that they have in use.
struct ComparingFleet : Fleet {
  std::map<std::string, mt_engine_t> records; // with names alone

  ComparingFleet(int count, int domains, unsigned seed)
      : Fleet(count, domains, seed) {
    for (auto &r : routers) set_inventory(r.get());
  }
  static void set_inventory (Router *r) {
    const mt_feed_inventory_callbacks_t callbacks = {list, difference, r};
    mt_feed_exchange_set_inventory(&r->feeds, &callbacks);
  }
  const mt_engine_t *record (const std::string &engine) {
    auto at = records.try_emplace(engine).first;
    at->second.name = (char *)at->first.c_str();
    return &at->second;
  }
  static void list (void *ud, mt_feed_kind_t kind, mt_inventory_t *to) {
    auto *r = (Router *)ud;
    to->at = r->feeds.feeds[kind].state.applied;
    for (auto &row : r->known) {
      if (kind != MT_FEED_ENGINES || row.second == MT_CHANGE_ENGINE_GONE)
        continue;
      uint64_t id =
          mtV_hash(row.first.data(), row.first.size()) | MT_ITEM_IN_USE;
      to->items = (mt_item_t *)mtV_grow(to->items, to->count, &to->cap,
                                        sizeof *to->items);
      mt_item_t *item = &to->items[to->count++];
      *item = mt_item_t{};
      item->id =
          row.second == MT_CHANGE_ENGINE_DRAINING ? id ^ MT_ITEM_IN_USE : id;
      item->u.engine = ((ComparingFleet *)r->fleet)->record(row.first);
    }
  }
  static bool difference (void *, const mt_item_t *item,
                          mt_item_match_t match,
                          const mt_peer_inventory_t *part,
                          mt_change_t *change) {
    bool drains = match == MT_ITEM_OTHER_STATE;
    *change = mt_change_make(drains ? MT_CHANGE_ENGINE_DRAINING
                                    : MT_CHANGE_ENGINE_GONE,
                             item->u.engine->name, part->at);
    return match != MT_ITEM_SAME && !(drains && !(item->id & MT_ITEM_IN_USE));
  }
  // What the source has now.
  std::map<std::string, mt_change_kind_t> listed () const {
    std::map<std::string, mt_change_kind_t> all;
    for (const mt_change_t &c : changes)
      if (mt_change_feed(c.kind) == MT_FEED_ENGINES) all[c.name] = c.kind;
    return all;
  }
  // The router starts anew and lists the engines.
  void relist (Router *r) {
    mt_feed_exchange_free(&r->feeds);
    const mt_feed_exchange_callbacks_t callbacks = {begin, send, apply,
                                                    count_outcome, r};
    mt_feed_exchange_open(&r->feeds, &r->members, &callbacks);
    set_inventory(r);
    r->known = listed();
    mt_feed_exchange_source_read(&r->feeds, MT_FEED_ENGINES, rev, rev,
                                 MT_FEED_LISTING);
  }
  // All routers know these engines; then the source rejects them all.
  void start (int engines) {
    for (int i = 0; i < engines; i++) change(MT_CHANGE_ENGINE_READY, name(i));
    for (auto &r : routers) {
      relist(r.get());
      r->rejected = true;
    }
    run(300);
  }
  static std::string name (int i) {
    return "i-" + std::to_string(i);
  }
  // How many engines a router uses otherwise than the source lists them.
  int count_wrong (const Router *r) const {
    int count = 0;
    for (auto &row : listed()) {
      auto at = r->known.find(row.first);
      count += at != r->known.end() && at->second != row.second;
    }
    return count;
  }
};

// Guards against a router that goes on using what was removed in a span of
// revisions that no peer's log covers: all of them have started since and
// read a list.
TEST(FeedExchange, WhatNoLogCoversIsCompared) {
  struct Row {
    const char *what;
    int routers, domains, engines, gone, draining, added;
    unsigned loss;  // of 1,000 messages
    mt_ms_t within; // until the router agrees with the source
  } rows[] = {
      {"one engine", 3, 1, 7, 1, 0, 0, 0, 500},
      {"a drain", 3, 1, 7, 0, 1, 0, 0, 500},
      {"several", 12, 3, 40, 5, 5, 10, 0, 500},
      {"all engines are replaced", 8, 2, 200, 200, 0, 200, 0, 1000},
      {"with message loss", 12, 3, 200, 20, 20, 20, 300, 2000},
      {"the whole fleet", 12, 3, 10000, 40, 10, 50, 0, 1000},
      {"half of the whole fleet is replaced", 6, 2, 10000, 5000, 0, 5000, 0,
       2000},
  };
  for (const Row &row : rows)
    for (unsigned seed = 1; seed <= (row.engines < 1000 ? 20u : 1u); seed++) {
      SCOPED_TRACE(row.what);
      SCOPED_TRACE(seed);
      ComparingFleet w(row.routers, row.domains, seed);
      Router *behind = w.routers[0].get();
      w.start(row.engines);
      EXPECT_EQ(w.parts_bytes, 0u);
      for (int i = 0; i < row.gone; i++)
        w.change(MT_CHANGE_ENGINE_GONE, w.name(i));
      for (int i = 0; i < row.draining; i++)
        w.change(MT_CHANGE_ENGINE_DRAINING, w.name(row.gone + i));
      for (int i = 0; i < row.added; i++)
        w.change(MT_CHANGE_ENGINE_READY, w.name(row.engines + i));
      for (auto &r : w.routers)
        if (r.get() != behind) w.relist(r.get());
      w.loss = row.loss;
      w.run(row.within);
      EXPECT_EQ(w.count_wrong(behind), 0);
      EXPECT_EQ(behind->known.size(), (size_t)row.engines); // nothing added
      EXPECT_FALSE(mt_feed_state_is_behind(
          &behind->feeds.feeds[MT_FEED_ENGINES].state));
      if (w.part_bytes_max > 1472)
        ADD_FAILURE() << "a part has " << w.part_bytes_max << " bytes";
      if (seed == 1)
        printf("%s: parts of %zu bytes in all, %zu at most\n", row.what,
               w.parts_bytes, w.part_bytes_max);
    }
}

// The source changes while a comparison goes on, and peers that compare know
// different revisions of it.
TEST(FeedExchange, AComparisonSurvivesChangesMeanwhile) {
  for (unsigned loss : {0u, 300u})
    for (unsigned seed = 1; seed <= 20; seed++) {
      ComparingFleet w(8, 2, seed);
      Router *behind = w.routers[0].get();
      w.start(3000);
      w.loss = loss;
      for (int step = 0; step < 30; step++) {
        w.change(MT_CHANGE_ENGINE_GONE, w.name(10 * step));
        w.change(MT_CHANGE_ENGINE_DRAINING, w.name(10 * step + 1));
        if (step > 3) // returns under its name
          w.change(MT_CHANGE_ENGINE_READY, w.name(10 * (step - 3)));
        w.relist(w.routers[1 + step % 7].get());
        w.run(50);
      }
      for (auto &r : w.routers)
        if (r.get() != behind) w.relist(r.get());
      w.run(loss ? 4000 : 2000);
      // Engines that returned are only used again by the source's word or a
      // change's, so they may be missing; none is in use that must not be.
      int wrong = 0;
      for (auto &row : w.listed()) {
        mt_change_kind_t kind = behind->known[row.first];
        wrong += kind != row.second && kind == MT_CHANGE_ENGINE_READY;
        if (row.second == MT_CHANGE_ENGINE_READY && row.first.back() != '0')
          wrong += kind != MT_CHANGE_ENGINE_READY;
      }
      EXPECT_EQ(wrong, 0) << "loss " << loss << ", seed " << seed;
    }
}

// Parts that come again, late or in another order change nothing, also after
// an engine is listed again.
TEST(FeedExchange, LatePartsOfAnInventoryAreIgnored) {
  for (unsigned seed = 1; seed <= 20; seed++) {
    ComparingFleet w(3, 1, seed);
    Router *behind = w.routers[0].get(), *reader = w.routers[1].get();
    w.start(300);
    for (int i = 0; i < 100; i++) w.change(MT_CHANGE_ENGINE_GONE, w.name(i));
    for (int i : {1, 2}) w.relist(w.routers[i].get());
    w.run(1000);
    ASSERT_EQ(w.count_wrong(behind), 0);
    ASSERT_FALSE(w.parts.empty());
    reader->rejected = false;
    w.change(MT_CHANGE_ENGINE_READY, w.name(5));
    w.run(500);
    EXPECT_EQ(behind->known[w.name(5)], MT_CHANGE_ENGINE_READY);
    auto before = behind->known;
    const mt_feed_state_t state = behind->feeds.feeds[MT_FEED_ENGINES].state;
    std::shuffle(w.parts.begin(), w.parts.end(), w.random);
    for (const ComparingFleet::Part &part : w.parts)
      if (part.to == behind) w.deliver(part.from, part.to, *part.message);
    EXPECT_EQ(behind->known, before);
    EXPECT_EQ(behind->feeds.feeds[MT_FEED_ENGINES].state.received,
              state.received);
  }
}

// A part that no request of this router has asked for is ignored: datagrams
// are not authenticated.
TEST(FeedExchange, UnrequestedInventoriesAreIgnored) {
  ComparingFleet w(3, 1, 1);
  Router *forger = w.routers[1].get(), *r = w.routers[0].get();
  w.start(20);
  auto before = r->known;
  mt_peer_message_t *m = Fleet::begin(forger, MT_PEER_CHANGES);
  m->inventory.present = true;
  m->inventory.feed = MT_FEED_ENGINES;
  m->inventory.at = m->inventory.rev = w.rev + 5;
  memset(&m->inventory.listed, 0xff, sizeof m->inventory.listed);
  for (uint64_t digest : {(uint64_t)0, (uint64_t)1, UINT64_MAX}) {
    m->inventory.digest = digest;
    w.deliver(forger, r, *m);
  }
  EXPECT_EQ(r->known, before);
}

// Many changes of one revision, as of a large document, do not fit into a
// message: the reply holds the first ones and reaches nothing, which must not
// be taken for knowing them.
TEST(FeedExchange, MoreChangesOfOneRevisionThanAMessageHoldsAreCompared) {
  ComparingFleet w(3, 1, 1);
  Router *behind = w.routers[0].get(), *reader = w.routers[1].get();
  w.start(2000);
  int64_t rev = ++w.rev;
  for (int i = 0; i < 1500; i++)
    w.changes.push_back(
        mt_change_make(MT_CHANGE_ENGINE_GONE, w.name(i).c_str(), rev));
  reader->rejected = false;
  w.run(2000);
  EXPECT_EQ(w.count_wrong(behind), 0);
}

} // namespace
