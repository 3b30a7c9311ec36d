// rejecting_fleet.h - test fixture: several relays before engines that reject
// requests, joined without sockets or a clock
#ifndef rejecting_fleet_h
#define rejecting_fleet_h

#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "relay.h"

extern "C" {
#include "kv_cache.h"
#include "load_reporter.h"
}

// A workspace's requests arrive at one router, or at all in turn.
const int ALL_ROUTERS = -1;

struct Workspace {
  double per_s; // requests
  int router;   // at which they arrive, or ALL_ROUTERS
};

// What the callers of a workspace saw, by second.
struct Seen {
  std::map<int, int64_t> asked, begun; // tokens; callers' first tries, runs
  std::set<int> short_in;              // seconds with one refused or late
  int refused = 0;
};

class RejectingFleet {
public:
  static constexpr int ROUTERS = 6, ENGINES = 18, DOMAINS = 3;
  static constexpr mt_ms_t START_MS = 1000000, OBJECTIVE_MS = 600;
  static constexpr mt_ms_t REPORT_MS = 25, SHARES_MS = 150;
  static constexpr int64_t TOKENS_IN = 1600, TOKENS_OUT = 50;
  static constexpr int64_t TOKENS = TOKENS_IN + TOKENS_OUT;
  static constexpr int64_t TOKENS_PER_MS = 20; // prefill of one engine

  std::vector<Seen> seen;

  // Engines reject with probability `rejected`, but for the accepting ones.
  RejectingFleet(uint64_t seed, double rejected, std::set<int> accepting)
      : random(seed), rejects(rejected), sound(std::move(accepting)) {
    engines.resize(ENGINES);
    for (int i = 0; i < ROUTERS; i++) add_router(i);
    at(0, [this] { tick(); });
    at(0, [this] { exchange_shares(); });
  }

  // Requests arrive from now on, with exponential gaps.
  void add (const Workspace &tenant) {
    int who = (int)seen.size();
    seen.emplace_back();
    workspaces.push_back(tenant);
    arrive_later(who);
  }
  void run (mt_ms_t ms) {
    mt_ms_t end = now + ms;
    while (!queue.empty() && queue.begin()->first < end) {
      auto next = queue.extract(queue.begin());
      now = next.key();
      next.mapped()();
    }
    now = end;
  }
  // A caller's first try arrives at a router; returns its number.
  uint64_t arrive (int who, int router) {
    uint64_t caller = random();
    seen[(size_t)who].asked[second()] += TOKENS;
    return send({who, router, caller, 4 * (uint64_t)who + caller % 4, true});
  }
  // The engines that got attempts of the request, in this order.
  const std::vector<int> &engines_of (uint64_t number) {
    return tried[number];
  }
  Relay &router (int i) {
    return *routers[(size_t)i];
  }

private:
  struct Request {
    int who, router;
    uint64_t caller, subject; // names of its segments
    bool first;               // not a caller's retry
    mt_ms_t arrived = 0;
  };
  struct Engine {
    mt_ms_t free_at = 0; // prefills one prompt at a time
    std::set<uint64_t> cached;
  };
  struct Reporter {
    RejectingFleet *fleet;
    int router;
  };

  std::mt19937_64 random;
  double rejects;
  std::set<int> sound;
  mt_ms_t now = START_MS;
  uint64_t last_number = 0;
  std::multimap<mt_ms_t, std::function<void()>> queue;
  std::vector<std::unique_ptr<Relay>> routers;
  std::vector<Engine> engines;
  std::map<uint64_t, int> indices; // by engine's key
  std::vector<Workspace> workspaces;
  std::map<uint64_t, Request> requests;
  std::map<uint64_t, std::vector<int>> tried;

  void at (mt_ms_t delay, std::function<void()> what) {
    queue.emplace(now + delay, std::move(what));
  }
  double draw () {
    return (double)(random() >> 11) / (double)(1ULL << 53);
  }
  int second () const {
    return (int)((now - START_MS) / 1000);
  }
  static int domain_of_router (int i) {
    return i % DOMAINS;
  }
  static int domain_of_engine (int i) { // 1 is the first
    return (i - 1) * DOMAINS / ENGINES;
  }
  static mt_ms_t delay (int domain, int other) {
    return domain == other ? 1 : 3;
  }
  // 1 is the first engine; 0: unknown.
  int index_of (uint64_t key) const {
    auto found = indices.find(key);
    return found != indices.end() ? found->second : 0;
  }
  // A router of the engine's domain, as the membership chooses it.
  int owner_of (int engine) {
    int owner = -1;
    uint64_t most = 0;
    for (int i = 0; i < ROUTERS; i++) {
      if (domain_of_router(i) != domain_of_engine(engine)) continue;
      uint64_t weight = mtV_mix((uint64_t)i + 1, (uint64_t)engine);
      if (owner < 0 || weight > most) owner = i, most = weight;
    }
    return owner;
  }

  void add_router (int i) {
    routers.push_back(std::make_unique<Relay>(ENGINES));
    Relay &r = router(i);
    mt_catalog_t *c = declared(1);
    for (int w = 3; w <= 16; w++) {
      mt_catalog_add_workspace(c, ("w" + std::to_string(w)).c_str());
      mt_catalog_add_key(c, ("key-w" + std::to_string(w)).c_str());
    }
    c->limits.tokens_per_s = ENGINES * TOKENS_PER_MS * 1000;
    mt_relay_set_catalog(r.relay, c);
    r.relay->routers = ROUTERS;
    mt_relay_params_t *p = &r.relay->params; // the gateway's defaults
    p->wait_fraction = 0.38;
    p->ttft_fraction = 0.6;
    p->near_idle_fraction = 0.1;
    p->miss_weight = 50;
    p->miss_weight_relaxed = 13;
    p->remote_wait_fraction = 0.6;
    p->remote_wait_fraction_over_share = 0.1;
    p->cross_domain_ms = 15;
    for (int k = 1; k <= ENGINES; k++) {
      r.find("p" + std::to_string(k))->state = MT_ENGINE_GONE;
      mt_engine_t *e = r.find("m" + std::to_string(k));
      indices[e->key] = k;
      std::string name = "d" + std::to_string(domain_of_engine(k) + 1);
      e->domain = strdup(name.c_str());
      e->domain_id = mtV_id(name.data(), name.size());
      e->remote = domain_of_engine(k) != domain_of_router(i);
    }
  }

  // {== Callers

  void arrive_later (int who) {
    const Workspace &t = workspaces[(size_t)who];
    mt_ms_t gap = (mt_ms_t)(-std::log(1 - draw()) * 1000 / t.per_s);
    at(std::max(gap, (mt_ms_t)1), [this, who] {
      arrive(who, choose_router(who));
      arrive_later(who);
    });
  }
  int choose_router (int who) {
    int router = workspaces[(size_t)who].router;
    return router == ALL_ROUTERS ? (int)(random() % ROUTERS) : router;
  }
  uint64_t send (Request q) {
    uint64_t number = ++last_number;
    q.arrived = now;
    requests[number] = q;
    std::string id = "r" + std::to_string(number);
    std::string key = "key-w" + std::to_string(q.who + 1);
    mt_relay_incoming_t in{};
    in.id = {id.data(), id.size()};
    in.host = {"h.example", 9};
    in.path = {"/stream/x", 9};
    in.key = {key.data(), key.size()};
    in.deadline_ms = 5000;
    in.last_event = -1;
    in.tokens_in = TOKENS_IN;
    in.tokens_out = TOKENS_OUT;
    in.segments[0] = {q.subject + 1, TOKENS_IN / 2};
    in.segments[1] = {q.caller | 1, TOKENS_IN / 2};
    in.segments_count = 2;
    mt_relay_event_t event{};
    event.kind = MT_RELAY_REQUEST;
    event.request = number;
    event.u.incoming = &in;
    step(q.router, event);
    return number;
  }
  void refused (uint64_t number, mt_ms_t retry_after) {
    Request q = requests[number];
    seen[(size_t)q.who].short_in.insert(second());
    seen[(size_t)q.who].refused++;
    if (!q.first || retry_after == 0) return;
    q.first = false;
    if (workspaces.size() > (size_t)q.who) q.router = choose_router(q.who);
    at(retry_after, [this, q] { send(q); });
  }
  void first_token (uint64_t number) {
    const Request &q = requests[number];
    if (now - q.arrived > OBJECTIVE_MS)
      seen[(size_t)q.who].short_in.insert(second());
  }

  // ==} {== Routers

  void step (int i, mt_relay_event_t event) {
    Relay &r = router(i);
    r.now = now;
    r.step(event);
    std::vector<mt_relay_effect_t> effects(r.effects.list,
                                           r.effects.list + r.effects.count);
    for (const mt_relay_effect_t &fx : effects) {
      switch (fx.kind) {
        case MT_RELAY_DO_GET_QUOTES: ask_owners(i, fx.request); break;
        case MT_RELAY_DO_START: start(i, fx); break;
        case MT_RELAY_DO_REPORT_NOT_RUN:
          report_not_run(i, fx.u.not_run);
          break;
        case MT_RELAY_DO_HEAD: first_token(fx.request); break;
        case MT_RELAY_DO_REFUSE:
          refused(fx.request, fx.u.refuse.retry_after);
          break;
        default: break;
      }
    }
  }
  mt_relay_request_t *find (int i, uint64_t number) {
    return (mt_relay_request_t *)mtV_get(&router(i).relay->requests, number);
  }
  void ask_owners (int i, uint64_t number) {
    const mt_relay_request_t *r = find(i, number);
    std::vector<mt_prefix_segment_t> segments(
        r->segments, r->segments + r->segments_count);
    for (size_t k = r->round_first; k < r->candidates_count; k++) {
      uint64_t key = r->candidates[k].engine;
      int owner = owner_of(index_of(key));
      mt_ms_t way = delay(domain_of_router(i), domain_of_router(owner));
      if (owner == i) way = 0;
      at(way, [this, i, number, key, owner, way, segments] {
        mt_relay_t *relay = router(owner).relay;
        relay->now = now;
        uint64_t asks = owner == i ? 0 : (uint64_t)i + 1;
        mt_relay_quote_t quote = mt_relay_quote(
            relay, key, asks, segments.data(), segments.size());
        quote.admission = mt_relay_admission(relay, key, true);
        at(way, [this, i, number, quote] {
          mt_relay_event_t event{};
          event.kind = MT_RELAY_QUOTED;
          event.request = number;
          event.u.quotes = {&quote, 1};
          step(i, event);
        });
      });
    }
  }
  // Reports this router's load at an engine to the engine's owner.
  void report (int i, mt_engine_t *e,
               std::vector<mt_prefix_segment_t> segments) {
    mt_load_row_t row{};
    row.router = (uint64_t)i + 1;
    row.load = e->local;
    row.tokens_processed = e->tokens_processed;
    row.measured = e->measured;
    row.measured.known = row.measured.gaps.known = true;
    e->load_dirty = false;
    e->reported_at = now;
    uint64_t key = e->key;
    int owner = owner_of(index_of(key));
    if (owner == i) return;
    at(delay(domain_of_router(i), domain_of_router(owner)),
       [this, owner, key, row, segments] {
         mt_load_row_t valid = row;
         valid.valid_until = now + 2500;
         router(owner).relay->now = now;
         mt_relay_update_peer_load(router(owner).relay, key, &valid,
                                   segments.data(), segments.size());
       });
  }
  // Reports a prompt that was not run to the engine's owner.
  void report_not_run (int i, const mt_prompt_not_run_t &prompt) {
    int owner = owner_of(index_of(prompt.engine));
    if (owner == i) return;
    at(delay(domain_of_router(i), domain_of_router(owner)),
       [this, i, owner, prompt] {
         router(owner).relay->now = now;
         mt_relay_peer_not_run(router(owner).relay, (uint64_t)i + 1, &prompt);
       });
  }
  void report_holder (const mt_relay_request_t *r) {
    const mt_relay_t *relay = router(0).relay;
    int home = index_of(r->home_global);
    if (home == 0 ||
        !mt_kv_cache_should_report(
            mt_catalog_find_service(relay->catalog, r->service), r))
      return;
    int owner = owner_of(home);
    uint64_t engine = r->current.engine->key;
    uint64_t segment =
        mt_kv_cache_home_segment(r->segments, r->segments_count);
    at(1, [this, owner, segment, engine] {
      mt_prefix_holders_set(&router(owner).relay->holders, segment, engine,
                            now);
    });
  }
  void tick () {
    const mt_load_reporter_callbacks_t callbacks = {
        [] (void *, const mt_engine_t *) { return 0u; },
        [] (void *ud, uint32_t, mt_engine_t **list, size_t count) {
          auto *from = (Reporter *)ud;
          for (size_t k = 0; k < count; k++)
            from->fleet->report(from->router, list[k], {});
        },
        nullptr};
    for (int i = 0; i < ROUTERS; i++) {
      mt_relay_event_t event{};
      event.kind = MT_RELAY_TICK;
      step(i, event);
      Reporter from = {this, i};
      mt_load_reporter_callbacks_t own = callbacks;
      own.ud = &from;
      mt_load_reporter_t reporter{};
      mt_load_reporter_tick(&reporter, &router(i).relay->engines, now, &own);
      mt_load_reporter_free(&reporter);
    }
    at(REPORT_MS, [this] { tick(); });
  }
  // Every router gets the sums of the others, as they were in this round.
  void exchange_shares () {
    for (int i = 0; i < ROUTERS; i++) {
      mt_fair_share_t *to = &router(i).relay->shares;
      for (size_t k = 0; k < to->count; k++) to->list[k]->peers = {0, 0};
      for (int from = 0; from < ROUTERS; from++) {
        const mt_fair_share_t *shares = &router(from).relay->shares;
        for (size_t k = 0; k < shares->count && from != i; k++) {
          const mt_share_t *s = shares->list[k];
          mt_share_rates_t *sum = &mt_fair_share_get(to, s->workspace)->peers;
          sum->demand += s->local.demand;
          sum->served += s->local.served;
        }
      }
    }
    at(SHARES_MS, [this] { exchange_shares(); });
  }

  // ==} {== Engines

  void start (int i, const mt_relay_effect_t &fx) {
    const mt_relay_request_t *r = find(i, fx.request);
    uint64_t number = fx.request;
    int attempt = fx.attempt, engine = index_of(fx.u.start.engine);
    mt_ms_t way = delay(domain_of_router(i), domain_of_engine(engine));
    tried[number].push_back(engine);
    report_holder(r);
    report(i, r->current.engine,
           {r->segments, r->segments + r->segments_count});
    at(0, [this, i, number, attempt] {
      step(i, make_event(MT_RELAY_WRITTEN, number, attempt));
    });
    at(way, [this, i, number, attempt, engine, way] {
      if (sound.count(engine) == 0 && draw() < rejects)
        at(way, [this, i, number, attempt] { reject(i, number, attempt); });
      else
        prefill(i, number, attempt, engine);
    });
  }
  static mt_relay_event_t make_event (mt_relay_event_kind_t kind,
                                      uint64_t number, int attempt) {
    mt_relay_event_t event{};
    event.kind = kind;
    event.request = number;
    event.attempt = attempt;
    return event;
  }
  void head (int i, uint64_t number, int attempt, int status) {
    mt_relay_event_t event = make_event(MT_RELAY_HEAD, number, attempt);
    event.u.head.status = status;
    event.u.head.verdict = status == 200 ? MT_RELAY_RAN : MT_RELAY_NOT_RUN;
    event.u.head.events = status == 200;
    event.u.head.framed = true;
    step(i, event);
  }
  void reject (int i, uint64_t number, int attempt) {
    head(i, number, attempt, 503);
  }
  void prefill (int i, uint64_t number, int attempt, int engine) {
    const Request &q = requests[number];
    Engine &e = engines[(size_t)engine - 1];
    bool cached = !e.cached.insert(q.subject).second;
    int64_t miss = cached ? TOKENS_IN / 2 : TOKENS_IN;
    seen[(size_t)q.who].begun[second()] += TOKENS;
    e.free_at = std::max(e.free_at, now) + (mt_ms_t)(miss / TOKENS_PER_MS);
    at(e.free_at - now, [this, i, number, attempt] {
      head(i, number, attempt, 200);
      const char text[] = "id: 1\ndata: x\n\n";
      mt_relay_event_t event = make_event(MT_RELAY_DATA, number, attempt);
      event.u.data = {text, sizeof text - 1};
      step(i, event);
    });
    at(e.free_at - now + 10 * TOKENS_OUT, [this, i, number, attempt] {
      step(i, make_event(MT_RELAY_END, number, attempt));
    });
  }
  // ==}
};

#endif
