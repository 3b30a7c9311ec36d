// relay.h - test fixture: a relay whose clock and events the test controls.
#ifndef tests_relay_h
#define tests_relay_h

#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "placement.h"
#include "relay.h"
}

// A catalog with the routes /once/, /again/, /stream/ (resumable), /events/
// (not resumable), /open/ (no key needed) and /again/deep/, the services
// plain and model, and the workspaces w1 and w2.
inline mt_catalog_t *declared (int64_t version) {
  mt_catalog_t *c = mt_catalog_new(version);
  struct Row {
    const char *prefix;
    mt_route_kind_t kind;
    bool resumable, open;
    int attempts;
    mt_ms_t objective;
  } rows[] = {{"/once/", MT_ROUTE_ONCE, false, false, 2, 100},
              {"/again/", MT_ROUTE_REPEATABLE, false, false, 2, 100},
              {"/stream/", MT_ROUTE_STREAM, true, false, 2, 600},
              {"/events/", MT_ROUTE_STREAM, false, false, 1, 1000},
              {"/open/", MT_ROUTE_REPEATABLE, false, true, 2, 100},
              {"/again/deep/", MT_ROUTE_ONCE, false, false, 2, 100}};
  mt_catalog_add_service(c, "plain");
  mt_catalog_service_t *model = mt_catalog_add_service(c, "model");
  model->model = true;
  model->kv_capacity = 100000;
  model->kv_transfer = true;
  model->kv_bytes_per_token = 35000;
  model->link_mbps = 1000000;
  for (const Row &row : rows) {
    mt_catalog_route_t *r =
        mt_catalog_add_route(c, row.prefix, "h.example", row.prefix);
    r->kind = row.kind;
    r->resumable = row.resumable;
    r->open = row.open;
    r->attempts = row.attempts;
    r->objective = row.objective;
    r->timeout = 6000;
    r->pause = 200;
    const char *service = row.kind == MT_ROUTE_STREAM ? "model" : "plain";
    r->split[r->splits++] = {mtV_id(service, strlen(service)), 1};
  }
  mt_catalog_add_workspace(c, "w1");
  mt_catalog_add_key(c, "key-w1");
  mt_catalog_add_key(c, "other-key-w1");
  mt_catalog_add_workspace(c, "w2");
  mt_catalog_add_key(c, "key-w2");
  mt_catalog_complete(c);
  return c;
}

struct Relay {
  mt_relay_t *relay;
  mt_ms_t now = 1000000;
  mt_relay_effects_t effects{};

  explicit Relay(int engines = 3) {
    mt_relay_params_t params{};
    params.retry = {0.2, 10000, 50};
    params.max_running = 8192;
    params.wait_fraction = 0.5;
    params.objective_power = 1;
    params.over_share_power = 10;
    params.near_idle_fraction = 0.2;
    params.miss_weight = 10;
    params.miss_weight_relaxed = 5;
    params.kv_transfer_weight = 3;
    params.unlisted_grace_ms = 1200;
    relay = mt_relay_new("d1", &params);
    for (int i = 1; i <= engines; i++) {
      engine("m" + std::to_string(i), "model", 64);
      engine("p" + std::to_string(i), "plain", 4);
    }
  }
  ~Relay() {
    mt_relay_free(relay);
    free(effects.list);
  }
  Relay(const Relay &) = delete;

  mt_engine_t *engine (const std::string &name, const char *service,
                       int slots) {
    mt_engine_t *e = mt_engines_add(&relay->engines, name.c_str());
    e->service = mtV_id(service, strlen(service));
    e->slots = slots;
    return e;
  }
  mt_engine_t *find (const std::string &name) {
    return mt_engines_get(&relay->engines,
                          mt_engine_key(name.data(), name.size()));
  }
  // Puts the catalog above in force.
  void declare (int64_t version = 1) {
    mt_relay_set_catalog(relay, declared(version));
  }
  void step (mt_relay_event_t event) {
    event.now = now;
    effects.count = 0;
    mt_relay_step(relay, &event, &effects);
  }
  // Advances the clock in ticks of 25 ms, up to the first tick with effects.
  void pass (mt_ms_t ms) {
    for (mt_ms_t end = now + ms; now < end;) {
      now = std::min(now + 25, end);
      mt_relay_event_t tick{};
      tick.kind = MT_RELAY_TICK;
      step(tick);
      if (effects.count > 0) return; // for the test to inspect
    }
  }
  // A request arrives whose prompt has two segments; all requests share the
  // first.
  void request (uint64_t number, const char *path, const char *key = "key-w1",
                int64_t deadline = 5000, int64_t tokens = 1000,
                const char *host = "h.example", uint64_t digest = 0) {
    mt_relay_incoming_t incoming{};
    incoming.digest = digest;
    std::string id = "r" + std::to_string(number);
    incoming.id = {id.data(), id.size()};
    incoming.host = {host, strlen(host)};
    incoming.path = {path, strlen(path)};
    incoming.key = {key, strlen(key)};
    incoming.deadline_ms = deadline;
    incoming.last_event = -1;
    incoming.tokens_in = tokens;
    incoming.tokens_out = 50;
    incoming.segments[0] = {7, tokens / 2};
    incoming.segments[1] = {number * 2 + 1001, tokens - tokens / 2};
    incoming.segments_count = 2;
    mt_relay_event_t event{};
    event.kind = MT_RELAY_REQUEST;
    event.request = number;
    event.u.incoming = &incoming;
    step(event);
  }
  int attempt (uint64_t number) {
    auto *r = (mt_relay_request_t *)mtV_get(&relay->requests, number);
    return r ? r->current.number : 0;
  }
  mt_relay_event_t make_event (mt_relay_event_kind_t kind, uint64_t number,
                               int attempt_no = 0) {
    mt_relay_event_t event{};
    event.kind = kind;
    event.request = number;
    event.attempt = attempt_no ? attempt_no : attempt(number);
    return event;
  }
  void sent (uint64_t number) {
    step(make_event(MT_RELAY_WRITTEN, number));
  }
  void head (uint64_t number, int status, bool events = false,
             mt_relay_verdict_t verdict = MT_RELAY_RAN, bool framed = true) {
    mt_relay_event_t event = make_event(MT_RELAY_HEAD, number);
    event.u.head.status = status;
    event.u.head.events = events;
    event.u.head.verdict = verdict;
    event.u.head.framed = framed;
    step(event);
  }
  void data (uint64_t number, const std::string &text) {
    mt_relay_event_t event = make_event(MT_RELAY_DATA, number);
    event.u.data = {text.data(), text.size()};
    step(event);
  }
  void event (uint64_t number, int id) {
    data(number, "id: " + std::to_string(id) + "\ndata: x\n\n");
  }
  void end (uint64_t number) {
    step(make_event(MT_RELAY_END, number));
  }
  void fail (uint64_t number, bool not_sent = false) {
    mt_relay_event_t event = make_event(MT_RELAY_FAILED, number);
    event.u.failed.not_sent = not_sent;
    step(event);
  }
  const mt_relay_effect_t *find (mt_relay_effect_kind_t kind,
                                 uint64_t number = 0) const {
    for (size_t i = 0; i < effects.count; i++)
      if (effects.list[i].kind == kind &&
          (number == 0 || effects.list[i].request == number))
        return &effects.list[i];
    return nullptr;
  }
  // Engines whose owners the request asked for quotes in this step.
  std::vector<uint64_t> asked (uint64_t number) const {
    std::vector<uint64_t> keys;
    auto *r = (mt_relay_request_t *)mtV_get(&relay->requests, number);
    if (r == nullptr || find(MT_RELAY_DO_GET_QUOTES, number) == nullptr)
      return keys;
    for (size_t i = r->round_first; i < r->candidates_count; i++)
      keys.push_back(r->candidates[i].engine);
    return keys;
  }
  // Reason of the refusal in this step, or MT_RELAY_REFUSAL_COUNT.
  mt_relay_refusal_t refusal () const {
    const mt_relay_effect_t *fx = find(MT_RELAY_DO_REFUSE);
    return fx ? fx->u.refuse.why : MT_RELAY_REFUSAL_COUNT;
  }
  // True if no engine has any load.
  bool idle () const {
    for (size_t i = 0; i < relay->engines.count; i++) {
      const mt_engine_load_t &l = relay->engines.list[i]->local;
      if (l.running != 0 || l.pending_prefill != 0 || l.held != 0)
        return false;
    }
    return true;
  }
};

#endif
